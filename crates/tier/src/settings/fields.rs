//! The schema of a settings file: the path of each field, whether it is required, and the values that it may have.

use std::net::{IpAddr, SocketAddr};

use toml::{Table, Value};

use super::Finding;

/// A value that is shown in a finding is cut after so many characters.
const MAX_SHOWN_CHARS: usize = 60;

/// The values that a field may have.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A text, with its least and largest length in bytes.
    Text(usize, usize),
    /// An IPv4 address.
    Ip,
    /// An address and a port.
    Address,
    /// One address at least.
    Addresses,
    /// The first and the last port of a range.
    Ports,
    /// True or false.
    Flag,
    /// An integer, with its bounds.
    Integer(i64, i64),
    /// A number that is this large at least.
    AtLeast(f64),
    /// A number above this one.
    Above(f64),
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A table of texts.
    Texts,
    /// A list of texts.
    Words,
}

use Kind::{Above, Address, Addresses, AtLeast, Flag, Integer, Ip, OneOf, Ports, Text, Texts, Words};

/// All known fields: the path, whether the field is required, the values that it may have.
const FIELDS: [(&str, bool, Kind); 29] = [
    ("node", true, Text(1, 64)),
    ("zone", true, Text(1, 64)),
    ("region", false, Text(0, 256)),
    ("ip", true, Ip),
    ("port_range", true, Ports),
    ("seeds", true, Addresses),
    ("first_boot", false, Flag),
    ("data_dir", false, Text(1, 4096)),
    ("fault_file", false, Text(1, 4096)),
    ("beat_ms", true, Integer(1, 3_600_000)),
    ("zones", false, Texts),
    ("contracts", false, Words),
    ("listen.front", false, Address),
    ("listen.ready", false, Address),
    ("listen.control", false, Address),
    ("limits.cpu_share", true, Above(0.0)),
    ("limits.memory_mb", true, AtLeast(16.0)),
    ("limits.max_fds", true, Integer(64, i64::MAX)),
    ("limits.disk_mb", false, AtLeast(0.0)),
    ("limits.link_mbps", false, AtLeast(0.0)),
    ("tolerate.machines", true, Integer(0, 16)),
    ("tolerate.zones", false, Integer(0, u32::MAX as i64)),
    ("tolerate.regions", false, Integer(0, u32::MAX as i64)),
    ("bounds.grace_s", true, Above(0.0)),
    ("bounds.pass_ms", false, AtLeast(0.0)),
    ("bounds.status_s", false, AtLeast(0.0)),
    ("bounds.sync_s", false, AtLeast(0.0)),
    ("bounds.history_s", false, AtLeast(0.0)),
    ("log_level", false, OneOf(&["error", "warn", "info", "debug"])),
];

impl Kind {
    /// Whether a field of this kind may have a value.
    fn admits(self, value: &Value) -> bool {
        let is_address = |text: &Value| text.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok());
        let number = || value.as_float().or(value.as_integer().map(|n| n as f64)).filter(|n| n.is_finite());
        match self {
            Text(least, most) => value.as_str().is_some_and(|t| (least..=most).contains(&t.len())),
            Ip => value.as_str().is_some_and(|t| matches!(t.parse(), Ok(IpAddr::V4(_)))),
            Address => is_address(value),
            Addresses => value.as_array().is_some_and(|all| !all.is_empty() && all.iter().all(is_address)),
            Ports => value.as_array().is_some_and(|all| {
                let ports: Vec<i64> = all.iter().filter_map(Value::as_integer).collect();
                matches!(ports[..], [first, last] if all.len() == 2 && first > 0 && first <= last && last <= 65_535)
            }),
            Flag => value.is_bool(),
            Integer(least, most) => value.as_integer().is_some_and(|n| (least..=most).contains(&n)),
            AtLeast(least) => number().is_some_and(|n| n >= least),
            Above(bound) => number().is_some_and(|n| n > bound),
            OneOf(words) => value.as_str().is_some_and(|t| words.contains(&t)),
            Texts => value.as_table().is_some_and(|t| t.values().all(Value::is_str)),
            Words => value.as_array().is_some_and(|all| all.iter().all(Value::is_str)),
        }
    }

    /// What is expected, as a finding says it.
    fn expected(self) -> String {
        match self {
            Text(0, most) => format!("a text of at most {most} bytes"),
            Text(least, most) => format!("a text of {least} to {most} bytes"),
            Ip => "an IPv4 address".to_owned(),
            Address => "an address, IP:PORT".to_owned(),
            Addresses => "a list of addresses, IP:PORT, one at least".to_owned(),
            Ports => "the first and the last port, from 1 to 65535".to_owned(),
            Flag => "true or false".to_owned(),
            Integer(least, i64::MAX) => format!("a whole number, {least} at least"),
            Integer(least, most) => format!("a whole number from {least} to {most}"),
            Above(bound) => format!("a number above {bound}"),
            AtLeast(least) => format!("a number, {least} at least"),
            OneOf(words) => format!("one of {}", words.join(", ")),
            Texts => "names with texts".to_owned(),
            Words => "a list of texts".to_owned(),
        }
    }
}

/// Reads a text as TOML.
///
/// # Errors
/// The line at which it is not TOML, and what was expected there.
pub(super) fn parse_table(text: &str) -> Result<Table, Vec<Finding>> {
    text.parse::<Table>().map_err(|error| {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        vec![Finding::new(&format!("line {line}"), error.message().replace('\n', " "))]
    })
}

/// A value as a finding shows it.
fn shown(value: &Value) -> String {
    let text = value.to_string().replace(['\n', '\r'], " ");
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((at, _)) => format!("{}…", text.get(..at).unwrap_or_default()),
        None => text,
    }
}

/// What stands at a field's path.
enum Found<'a> {
    Value(&'a Value),
    Nothing,
    /// What should be the table of the field is something else: the table's name and what is there.
    NoTable(&'a str, &'a Value),
}

fn find<'a>(table: &'a Table, path: &'a str) -> Found<'a> {
    let found = match path.split_once('.') {
        None => table.get(path),
        Some((section, name)) => match table.get(section) {
            Some(Value::Table(inner)) => inner.get(name),
            Some(other) => return Found::NoTable(section, other),
            None => None,
        },
    };
    found.map_or(Found::Nothing, Found::Value)
}

/// All that is wrong with the known fields; unknown ones are ignored.
pub(super) fn check_fields(table: &Table) -> Vec<Finding> {
    let mut findings: Vec<Finding> = Vec::new();
    for (path, is_required, kind) in FIELDS {
        let finding = match find(table, path) {
            Found::Value(value) if kind.admits(value) => continue,
            Found::Value(value) => {
                Finding::new(path, format!("{} expected, {} is there", kind.expected(), shown(value)))
            }
            Found::Nothing if is_required => {
                Finding::new(path, format!("{} expected, nothing is there", kind.expected()))
            }
            Found::Nothing => continue,
            Found::NoTable(section, other) => {
                Finding::new(section, format!("a table expected, {} is there", shown(other)))
            }
        };
        // A section that is no table is reported once.
        if findings.iter().all(|known| known.place != finding.place) {
            findings.push(finding);
        }
    }
    findings
}

/// Addresses and folders that a process needs for what `serves` names, and that are missing.
pub(super) fn check_served(table: &Table) -> Vec<Finding> {
    let serves = match table.get("serves") {
        None => return Vec::new(),
        Some(Value::Array(list)) if list.iter().all(Value::is_str) => list,
        Some(other) => {
            return vec![Finding::new(
                "serves",
                format!("a list of texts expected, {} is there", shown(other)),
            )];
        }
    };
    let has_listener = |name: &str| table.get("listen").and_then(|l| l.get(name)).is_some();
    let mut findings = Vec::new();
    for (service, listeners) in
        [("edge", &["front", "ready"][..]), ("control", &["control"]), ("storage", &[])]
    {
        if !serves.iter().any(|s| s.as_str() == Some(service)) {
            continue;
        }
        for name in listeners.iter().filter(|name| !has_listener(name)) {
            let expected =
                format!("an address, IP:PORT, expected for one that serves {service}, nothing is there");
            findings.push(Finding::new(&format!("listen.{name}"), expected));
        }
        if service == "storage" && table.get("data_dir").is_none() {
            let expected = "a folder expected for one that serves storage, nothing is there";
            findings.push(Finding::new("data_dir", expected.to_owned()));
        }
    }
    findings
}
