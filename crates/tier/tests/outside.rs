//! What operators and deploy tools see of the program: settings files, deploy files, subcommands, listings, names of figures.

#[path = "../../../tests/common/text_fixture.rs"]
mod fixture;
#[path = "outside/tier.rs"]
mod tier;

use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

use rainlug_tier::local::{Machine, Plan};
use rainlug_tier::settings::Settings;
use toml::{Table, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rainlug");
/// What `rainlug local` does not write and a settings file may hold.
const OPTIONAL: &str = r#"
region = "coast"
fault_file = "data/faults"
log_level = "debug"
zones = { north = "coast" }
contracts = ["base", "coord"]
limits = { link_mbps = 60.0 }
tolerate = { zones = 1, regions = 2 }
bounds = { pass_ms = 130, sync_s = 5.1, history_s = 20 }
"#;

fn plan() -> Plan {
    Plan { dir: "local".into(), gateways: 3, stores: 3, workers: 1, base_port: 7400 }
}

/// The settings of the first machine of a role, with all keys that are read.
fn all_keys(name: &str) -> Table {
    let plan = plan();
    let machine: Machine = plan.machines().into_iter().find(|m| m.name == format!("{name}-1")).unwrap();
    let mut settings: Table = plan.settings_text(&machine, true).parse().unwrap();
    for (key, value) in OPTIONAL.parse::<Table>().unwrap() {
        match (settings.get_mut(&key), value) {
            (Some(Value::Table(there)), Value::Table(more)) => there.extend(more),
            (_, value) => drop(settings.insert(key, value)),
        }
    }
    settings
}

/// The places of all keys, `limits.disk_mb`, with their values; tables have a place too.
fn places(table: &Table) -> Vec<(String, Value)> {
    let mut found = Vec::new();
    for (key, value) in table {
        found.push((key.clone(), value.clone()));
        if let Value::Table(inner) = value {
            found.extend(places(inner).into_iter().map(|(rest, value)| (format!("{key}.{rest}"), value)));
        }
    }
    found
}

/// The file with another value at a place, or none.
fn with(table: &Table, place: &str, value: Option<Value>) -> String {
    let mut changed = table.clone();
    let (outer, key) = place.rsplit_once('.').unwrap_or(("", place));
    let inner = match outer {
        "" => &mut changed,
        outer => changed[outer].as_table_mut().unwrap(),
    };
    match value {
        Some(value) => drop(inner.insert(key.to_owned(), value)),
        None => drop(inner.remove(key)),
    }
    changed.to_string()
}

/// A value that no key of this type may have.
fn of_another_type(value: &Value) -> Value {
    if value.is_table() { Value::Integer(7) } else { Table::new().into() }
}

/// What `rainlug check` finds in files, by their names: the places.
fn checked(files: &[(String, String)]) -> BTreeMap<String, String> {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(dir.path().join(name), text).unwrap();
    }
    let names = files.iter().map(|(name, _)| name);
    let output = Command::new(PROGRAM).current_dir(dir.path()).arg("check").args(names).output().unwrap();
    let mut found = BTreeMap::<String, String>::new();
    for line in str::from_utf8(&output.stdout).unwrap().lines() {
        let [name, place] = line.splitn(3, ": ").take(2).collect::<Vec<_>>()[..] else { panic!("{line}") };
        let places = found.entry(name.to_owned()).or_default();
        *places = format!("{places} {place}").trim_start().to_owned();
    }
    found
}

/// What is read of a settings file, by its keys.
fn read(s: &Settings) -> String {
    let lines = [
        ("node", s.node.clone()),
        ("zone", s.zone.clone()),
        ("region", s.region.clone()),
        ("ip", s.ip.to_string()),
        ("port_range", format!("{:?}", s.port_range)),
        ("seeds", format!("{:?}", s.seeds)),
        ("first_boot", s.first_boot.to_string()),
        ("data_dir", format!("{:?}", s.data_dir)),
        ("fault_file", format!("{:?}", s.fault_file)),
        ("beat_ms", s.heartbeat_ms.to_string()),
        ("zones", format!("{:?}", s.zones)),
        ("log_level", s.log_level.clone()),
        ("listen.front", format!("{:?}", s.listen.front)),
        ("listen.ready", format!("{:?}", s.listen.ready)),
        ("listen.control", format!("{:?}", s.listen.control)),
        ("limits.cpu_share", s.limits.cpu_share.to_string()),
        ("limits.memory_mb", s.limits.memory_mb.to_string()),
        ("limits.max_fds", s.limits.max_fds.to_string()),
        ("limits.disk_mb", s.limits.disk_mb.to_string()),
        ("limits.link_mbps", s.limits.link_mbps.to_string()),
        ("tolerate.machines", s.tolerate.machines.to_string()),
        ("tolerate.zones", s.tolerate.zones.to_string()),
        ("tolerate.regions", s.tolerate.regions.to_string()),
        ("bounds.grace_s", s.bounds.grace_s.to_string()),
        ("bounds.pass_ms", s.bounds.pass_ms.to_string()),
        ("bounds.status_s", s.bounds.status_s.to_string()),
        ("bounds.sync_s", s.bounds.sync_s.to_string()),
        ("bounds.history_s", s.bounds.history_s.to_string()),
        ("contracts", format!("{:?}", s.contracts)),
    ];
    lines.iter().map(|(key, value)| format!("{key} = {value}\n")).collect()
}

/// A committed file of the role, what is read of it, and what the check finds where a key is absent or of another type.
fn settings_file(role: &str) {
    let name = format!("{role}.toml");
    let settings = all_keys(role);
    fixture::assert_same(&name, &settings.to_string());
    let committed = fixture::expected(&name);
    let more = with(&settings, "not_known", Some(Value::Boolean(true)));
    let mut files = vec![(name.clone(), committed.clone()), ("unknown-key.toml".to_owned(), more)];
    for (place, value) in places(&settings) {
        files.push((format!("without-{place}.toml"), with(&settings, &place, None)));
        files.push((format!("odd-{place}.toml"), with(&settings, &place, Some(of_another_type(&value)))));
    }
    let found = checked(&files);
    assert_eq!((&found[&name][..], &found["unknown-key.toml"][..]), ("sound", "sound"));
    let mut lines = read(&Settings::parse(&committed).unwrap()) + "\n";
    for (place, _) in places(&settings) {
        let of = |how: &str| &found[&format!("{how}-{place}.toml")];
        lines += &format!("{place}: absent {}; odd {}\n", of("without"), of("odd"));
    }
    fixture::assert_same(&format!("{role}-checked.txt"), &lines);
}

#[test]
fn a_gateway_s_settings_file_is_read_as_committed() {
    settings_file("gateway");
}

#[test]
fn a_store_s_settings_file_is_read_as_committed() {
    settings_file("store");
}

/// All keys and values of a deploy file, and whether the files that it names are there.
fn deploy(text: &str) -> String {
    let table: Table = text.parse().unwrap();
    let leaves = places(&table).into_iter().filter(|(_, value)| !value.is_table());
    leaves.map(|(place, value)| format!("{place} = {value}\n")).collect()
}

#[test]
fn both_deploy_files_say_what_they_said() {
    let system = include_str!("../../../deploy/system.toml");
    let balancer = include_str!("../../../deploy/balancer.toml");
    fixture::assert_same("deploy.txt", &format!("{}\n{}", deploy(system), deploy(balancer)));
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let balancer: Table = balancer.parse().unwrap();
    for list in ["policy", "node"] {
        for file in balancer[list].as_array().unwrap() {
            assert!(root.join(file.as_str().unwrap()).exists(), "{list}: {file}");
        }
    }
    let roles = system.parse::<Table>().unwrap()["roles"].as_table().unwrap().clone();
    for (role, fields) in roles {
        let command = fields["run"].as_str().unwrap().split(' ').nth(1).unwrap().to_owned();
        assert_eq!(command, role);
        assert!(help(&[&command]).0, "{command}");
    }
}

/// The help of a subcommand, and whether there is one.
fn help(of: &[&str]) -> (bool, String) {
    let output = Command::new(PROGRAM).args(of).arg("--help").output().unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

/// The subcommands that a help lists, each four spaces in; further lines of its words are deeper.
fn commands(help: &str) -> Vec<&str> {
    let listed = help.split_once("Available commands:").map_or("", |(_, after)| after);
    let names = listed.lines().filter_map(|line| line.strip_prefix("    "));
    names.filter(|line| !line.starts_with(' ')).filter_map(|line| line.split(' ').next()).collect()
}

/// Subcommands and their options, a line for each subcommand.
fn usage(of: &[&str]) -> String {
    let (_, help) = help(of);
    let is_option = |word: &&str| word.starts_with("--");
    let cut = |c: char| !(c.is_ascii_lowercase() || c == '-');
    let options: BTreeSet<&str> = help.split(cut).filter(is_option).collect();
    let options = options.into_iter().collect::<Vec<_>>().join(" ");
    let own = format!("{}: {options}\n", [&["rainlug"], of].concat().join(" "));
    let below = commands(&help).into_iter().map(|command| usage(&[of, &[command]].concat()));
    own + &below.collect::<String>()
}

#[test]
fn subcommands_and_options_have_their_names() {
    fixture::assert_same("usage.txt", &usage(&[]));
}

#[test]
fn listings_answers_and_figures_have_their_names() {
    let tier = tier::Tier::start();
    for name in ["listings.txt", "figures-gateway.txt", "figures-store.txt"] {
        fixture::assert_same(name, &tier::settled(name, || tier.told(name)));
    }
    fixture::assert_same("retire.txt", &tier.retire());
}

#[test]
fn given_a_tier_when_an_application_makes_each_call_of_its_protocol_then_none_goes_unserved() {
    let tier = tier::Tier::start();
    let calls = [
        ("POST", "/v1/locks/l1", r#"{"holder":"a3.7","hold_ms":3000}"#, 200),
        ("POST", "/v1/locks/l1", r#"{"holder":"b","hold_ms":3000}"#, 409),
        ("PUT", "/v1/locks/l1", r#"{"holder":"a3.7","fence":0,"hold_ms":3000}"#, 409),
        ("DELETE", "/v1/locks/l1", r#"{"holder":"a3.7","fence":0}"#, 200),
        ("POST", "/v1/numbers/n2", "{}", 200),
        ("GET", "/v1/cells/g1.2d", "", 404),
        ("PUT", "/v1/cells/g1.2d", r#"{"payload":"5c0e7a21d94b36f8","enabled":0}"#, 200),
        ("PUT", "/v1/cells/g1.2d", r#"{"payload":"91bd3f06","enabled":0}"#, 412),
        ("GET", "/v1/cells/g1.2d", "", 200),
        ("GET", "/v1/watch/g1.?since_item=0&wait_ms=2000", "", 200),
        ("GET", "/v1/watch/g1.?since_item=1&wait_ms=10", "", 200),
    ];
    for (method, path, body, status) in calls {
        assert_eq!(tier.settled_status(method, path, body), status, "{method} {path} {body}");
    }
}
