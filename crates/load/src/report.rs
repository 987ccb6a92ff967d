//! Tables and charts of a result, and two results beside each other.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};
use plotters::prelude::*;

use crate::record;

pub fn read(folder: &Path) -> Result<record::Result> {
    let path = folder.join("result.json");
    let text = fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is no result", path.display()))
}

pub fn keep(folder: &Path, result: &record::Result) -> Result<()> {
    fs::create_dir_all(folder).with_context(|| format!("cannot make {}", folder.display()))?;
    put(folder, "result.json", &serde_json::to_string_pretty(result)?)
}

fn put(folder: &Path, name: &str, text: &str) -> Result<()> {
    let path = folder.join(name);
    fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
}

/// Writes `report.md`, `workloads.csv`, `seconds.csv` and two charts beside the result.
pub fn write(folder: &Path, result: &record::Result) -> Result<()> {
    put(folder, "report.md", &markdown(result)?)?;
    let (mut loads, mut seconds) = (
        String::from("workload,tasks,end,count\n"),
        String::from("workload,second,tasks,finished,p50_ms,p99_ms\n"),
    );
    for load in &result.workloads {
        for (end, count) in &load.ends {
            writeln!(loads, "{},{},{},{count}", load.name, load.tasks, word(*end))?;
        }
        for (second, tasks, finished, p50, p99) in &load.seconds {
            writeln!(seconds, "{},{second},{tasks},{finished},{p50:.3},{p99:.3}", load.name)?;
        }
    }
    put(folder, "workloads.csv", &loads)?;
    put(folder, "seconds.csv", &seconds)?;
    let lines = |of: fn(&(u64, u64, u64, f64, f64)) -> f64| -> Vec<(String, Vec<(f64, f64)>)> {
        let points = |w: &record::Figures| w.seconds.iter().map(|s| (s.0 as f64, of(s))).collect();
        result.workloads.iter().map(|w| (w.name.clone(), points(w))).collect()
    };
    chart(&folder.join("latency.svg"), "99th percentile from the intended sending, ms", &lines(|s| s.4))?;
    chart(&folder.join("throughput.svg"), "finished tasks a second", &lines(|s| s.2 as f64))
}

/// Writes `experiment.md`, a chart of p99 against the value where the values are numbers, and every result.
pub fn keep_experiment(
    folder: &Path,
    key: &str,
    values: &[String],
    found: &[Vec<record::Result>],
    table: &str,
) -> Result<()> {
    for (value, results) in values.iter().zip(found) {
        for (nth, result) in results.iter().enumerate() {
            let name: String = value.chars().map(|c| if c.is_alphanumeric() { c } else { '-' }).collect();
            keep(&folder.join(format!("{name}-{nth}")), result)?;
        }
    }
    put(folder, "experiment.md", table)?;
    let numbers: Vec<f64> = values.iter().filter_map(|v| v.parse().ok()).collect();
    let repeats = found.iter().map(Vec::len).min().unwrap_or(0);
    if numbers.len() < values.len() || repeats == 0 {
        return Ok(());
    }
    let line = |nth: usize| {
        let p99 =
            |r: &record::Result| r.workloads.iter().filter_map(|w| w.percentile(99.0)).fold(0.0, f64::max);
        let points = numbers.iter().zip(found).map(|(x, results)| (*x, p99(&results[nth])));
        (format!("repeat {}", nth + 1), points.collect())
    };
    let lines: Vec<_> = (0..repeats).map(line).collect();
    chart(&folder.join("experiment.svg"), &format!("99th percentile, ms, by {key}"), &lines)
}

fn word(end: record::End) -> String {
    serde_json::to_value(end).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

pub fn markdown(result: &record::Result) -> Result<String> {
    let mut text = format!(
        "rainlug-load {}, {}, seed {}, {} s against {}\n\n",
        result.version, result.machine, result.plan.seed, result.plan.seconds, result.plan.target
    );
    if result.schedule_missed {
        text += "**The generator did not keep its own schedule: these figures are not to be trusted.**\n\n";
    }
    text += "| workload | tasks | asked again | ends |";
    let of = |p: &f64| format!(" p{p} ms |");
    text += &record::PERCENTILES.iter().map(of).collect::<String>();
    text += &format!("\n|{}\n", " --- |".repeat(4 + record::PERCENTILES.len()));
    for load in &result.workloads {
        let ends: Vec<_> = load.ends.iter().map(|(e, n)| format!("{n} {}", word(*e))).collect();
        write!(text, "| {} | {} | {} | {} |", load.name, load.tasks, load.again, ends.join(", "))?;
        load.percentiles.iter().try_for_each(|(_, ms)| write!(text, " {ms:.1} |"))?;
        text.push('\n');
    }
    Ok(text)
}

/// The second result by the first, workload by workload.
pub fn compare(a: &record::Result, b: &record::Result) -> Result<String> {
    let mut text =
        String::from("| workload | figure | first | second | ratio |\n| --- | --- | --- | --- | --- |\n");
    let mut row = |name: &str, figure: &str, x: f64, y: f64| {
        let ratio = if x > 0.0 { format!("{:.3}", y / x) } else { "-".to_owned() };
        writeln!(text, "| {name} | {figure} | {x:.2} | {y:.2} | {ratio} |")
    };
    let mut met = 0;
    for x in &a.workloads {
        let Some(y) = b.workloads.iter().find(|y| y.name == x.name) else { continue };
        met += 1;
        let part = |w: &record::Figures| w.finished() as f64 / w.tasks.max(1) as f64;
        row(&x.name, "part finished", part(x), part(y))?;
        for ((percent, p), (_, q)) in x.percentiles.iter().zip(&y.percentiles) {
            row(&x.name, &format!("p{percent} ms"), *p, *q)?;
        }
    }
    if met == 0 {
        bail!("the two results have no workload in common");
    }
    if a.schedule_missed || b.schedule_missed {
        text += "\n**A generator did not keep its own schedule: the ratios are not to be trusted.**\n";
    }
    Ok(text)
}

fn chart(path: &Path, title: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<()> {
    let points = || lines.iter().flat_map(|(_, l)| l);
    let (far, high) = points().fold((1.0f64, 1.0f64), |t, p| (t.0.max(p.0), t.1.max(p.1)));
    let drawn = || -> std::result::Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (800, 400)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..far, 0.0..1.1 * high)?;
        chart.configure_mesh().draw()?;
        for (n, (name, line)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let mark = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color);
            chart
                .draw_series(LineSeries::new(line.iter().copied(), color.stroke_width(2)))?
                .label(name)
                .legend(mark);
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    };
    match drawn() {
        Ok(()) => Ok(()),
        Err(error) => bail!("cannot draw {}: {error}", path.display()),
    }
}
