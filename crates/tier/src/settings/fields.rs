//! The fields of a settings file: where each stands, whether it must, and what may stand there.

use std::net::{IpAddr, SocketAddr};

use toml::{Table, Value};

/// A finding: the place, and what was expected there.
pub type Finding = (String, String);

/// What a field may hold.
#[derive(Clone, Copy, Debug)]
enum Sort {
    /// A text of so many bytes.
    Text(usize, usize),
    Ip,
    Address,
    /// One address at least.
    Addresses,
    /// First and last.
    Ports,
    Flag,
    Whole(i64, i64),
    /// From this on; above it where `true`.
    Number(f64, bool),
    OneOf(&'static [&'static str]),
    /// Names with texts.
    Texts,
}

use Sort::{Address, Addresses, Flag, Ip, Number, OneOf, Ports, Text, Texts, Whole};

/// All known fields: the place, whether the field must be there, what it may hold.
const FIELDS: [(&str, bool, Sort); 27] = [
    ("node", true, Text(1, 64)),
    ("zone", true, Text(1, 64)),
    ("region", false, Text(0, 256)),
    ("ip", true, Ip),
    ("port_range", true, Ports),
    ("seeds", true, Addresses),
    ("first_boot", false, Flag),
    ("data_dir", false, Text(1, 4096)),
    ("fault_file", false, Text(1, 4096)),
    ("beat_ms", true, Whole(1, 3_600_000)),
    ("zones", false, Texts),
    ("listen.front", false, Address),
    ("listen.ready", false, Address),
    ("listen.control", false, Address),
    ("limits.cpu_share", true, Number(0.0, true)),
    ("limits.memory_mb", true, Number(16.0, false)),
    ("limits.max_fds", true, Whole(64, i64::MAX)),
    ("limits.disk_mb", false, Number(0.0, false)),
    ("limits.link_mbps", false, Number(0.0, false)),
    ("tolerate.machines", true, Whole(0, 16)),
    ("tolerate.zones", false, Whole(0, u32::MAX as i64)),
    ("tolerate.regions", false, Whole(0, u32::MAX as i64)),
    ("bounds.grace_s", true, Number(0.0, true)),
    ("bounds.pass_ms", false, Number(0.0, false)),
    ("bounds.status_s", false, Number(0.0, false)),
    ("bounds.sync_s", false, Number(0.0, false)),
    ("log_level", false, OneOf(&["error", "warn", "info", "debug"])),
];

impl Sort {
    fn holds(self, value: &Value) -> bool {
        let parses = |text: &Value| text.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok());
        match self {
            Text(least, most) => value.as_str().is_some_and(|t| (least..=most).contains(&t.len())),
            Ip => value.as_str().is_some_and(|t| matches!(t.parse(), Ok(IpAddr::V4(_)))),
            Address => parses(value),
            Addresses => value.as_array().is_some_and(|all| !all.is_empty() && all.iter().all(parses)),
            Ports => value.as_array().is_some_and(|all| {
                let ports: Vec<i64> = all.iter().filter_map(Value::as_integer).collect();
                matches!(ports[..], [first, last] if all.len() == 2 && first > 0 && first <= last && last <= 65_535)
            }),
            Flag => value.is_bool(),
            Whole(least, most) => value.as_integer().is_some_and(|n| (least..=most).contains(&n)),
            Number(least, above) => {
                let number = value.as_float().or(value.as_integer().map(|n| n as f64));
                number.is_some_and(|n| n.is_finite() && n >= least && !(above && n == least))
            }
            OneOf(words) => value.as_str().is_some_and(|t| words.contains(&t)),
            Texts => value.as_table().is_some_and(|t| t.values().all(Value::is_str)),
        }
    }

    fn expected(self) -> String {
        match self {
            Text(0, most) => format!("a text of at most {most} bytes"),
            Text(least, most) => format!("a text of {least} to {most} bytes"),
            Ip => "an IPv4 address".to_owned(),
            Address => "an address, IP:PORT".to_owned(),
            Addresses => "a list of addresses, IP:PORT, one at least".to_owned(),
            Ports => "the first and the last port, from 1 to 65535".to_owned(),
            Flag => "true or false".to_owned(),
            Whole(least, i64::MAX) => format!("a whole number, {least} at least"),
            Whole(least, most) => format!("a whole number from {least} to {most}"),
            Number(least, true) => format!("a number above {least}"),
            Number(least, false) => format!("a number, {least} at least"),
            OneOf(words) => format!("one of {}", words.join(", ")),
            Texts => "names with texts".to_owned(),
        }
    }
}

/// Reads a text as TOML.
///
/// # Errors
/// The line at which it is none, and what was expected there.
pub fn table(text: &str) -> Result<Table, Vec<String>> {
    text.parse::<Table>().map_err(|e| {
        let line =
            e.span().map_or(1, |s| text.get(..s.start).map_or(1, |before| before.matches('\n').count() + 1));
        vec![format!("line {line}: {}", e.message().replace('\n', " "))]
    })
}

fn shown(value: &Value) -> String {
    let text = value.to_string().replace(['\n', '\r'], " ");
    match text.char_indices().nth(60) {
        Some((at, _)) => format!("{}…", text.get(..at).unwrap_or_default()),
        None => text,
    }
}

/// All that is wrong with the known fields.
pub fn findings(table: &Table) -> Vec<Finding> {
    let mut findings: Vec<Finding> = Vec::new();
    let mut add = |place: &str, expected: String| {
        // A part of the file that is no table is told once.
        if findings.iter().all(|(at, _)| at != place) {
            findings.push((place.to_owned(), expected));
        }
    };
    for (place, needed, sort) in FIELDS {
        let (part, name) = place.split_once('.').map_or(("", place), |(part, name)| (part, name));
        let found = match table.get(part) {
            _ if part.is_empty() => table.get(name),
            Some(Value::Table(inner)) => inner.get(name),
            Some(other) => {
                add(part, format!("a table expected, {} is there", shown(other)));
                continue;
            }
            None => None,
        };
        match found {
            Some(value) if sort.holds(value) => {}
            Some(value) => add(place, format!("{} expected, {} is there", sort.expected(), shown(value))),
            None if needed => add(place, format!("{} expected, nothing is there", sort.expected())),
            None => {}
        }
    }
    findings
}

/// What is missing beyond that for what the file says the process serves.
pub fn unserved(table: &Table) -> Vec<Finding> {
    let serves = match table.get("serves") {
        None => return Vec::new(),
        Some(Value::Array(list)) if list.iter().all(Value::is_str) => list,
        Some(other) => {
            return vec![(
                "serves".to_owned(),
                format!("a list of texts expected, {} is there", shown(other)),
            )];
        }
    };
    let listens = |name: &str| table.get("listen").and_then(|l| l.get(name)).is_some();
    let mut findings = Vec::new();
    for (what, names) in [("edge", &["front", "ready"][..]), ("control", &["control"]), ("storage", &[])] {
        if !serves.iter().any(|s| s.as_str() == Some(what)) {
            continue;
        }
        for name in names.iter().filter(|name| !listens(name)) {
            let expected =
                format!("an address, IP:PORT, expected for one that serves {what}, nothing is there");
            findings.push((format!("listen.{name}"), expected));
        }
        if what == "storage" && table.get("data_dir").is_none() {
            findings.push((
                "data_dir".to_owned(),
                "a folder expected for one that serves storage, nothing is there".to_owned(),
            ));
        }
    }
    findings
}
