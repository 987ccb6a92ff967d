//! Tables as text.

/// Rows under their column names, each column as wide as its widest cell.
pub fn format_table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let width = |n: usize| {
        let cells = rows.iter().filter_map(|row| row.get(n)).map(|cell| cell.chars().count());
        cells.chain(columns.get(n).map(|c| c.len())).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut text = line(columns.to_vec());
    text.extend(rows.iter().map(|row| line(row.iter().map(String::as_str).collect())));
    text
}
