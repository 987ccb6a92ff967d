//! What a line says: a worker's word on a task, or the list's on workers.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{Listed, Report, State};
use serde_json::Value;

use super::report;
use crate::transport::End;

/// An entry of the list, and where the worker listens.
pub type Entry = (Listed, SocketAddr);

/// A worker's word on the task of that id: nothing where it is under way, or how it ended, with a report and a result.
pub fn of_worker(line: &[u8], id: &str) -> Result<Option<(End, Report, Bytes)>, End> {
    let mut told: Value = serde_json::from_slice(line).map_err(|_| End::Malformed)?;
    if told["id"].as_str() != Some(id) {
        return Err(End::Malformed);
    }
    let end = match told["state"].as_str() {
        Some("started" | "running") => return Ok(None),
        Some("done") => End::Done,
        Some("failed") => End::Failed,
        Some("returned") => End::Returned,
        Some("lost") => End::Lost,
        _ => return Err(End::Malformed),
    };
    let report = report::object(told.get("load"));
    let result = match told["result"].take() {
        Value::String(text) => text.into(),
        Value::Null if end == End::Done => return Err(End::Malformed),
        Value::Null => Bytes::new(),
        other => other.to_string().into(),
    };
    Ok(Some((end, report, result)))
}

/// A change of the list, or the whole of it: its version, whether it is whole, and its entries; `zones` and `kinds`
/// are named in the settings' order.
pub fn of_list(line: &Value, zones: &[String], kinds: &[String]) -> Option<(u64, bool, Vec<Entry>)> {
    let entries = line["targets"].as_array()?.iter();
    let entries = entries.filter_map(|e| {
        let entry = listed(e, zones, kinds);
        if entry.is_none() {
            log!("list: left out an entry that cannot be read: {e}");
        }
        entry
    });
    Some((line["rev"].as_u64()?, line["all"].as_bool()?, entries.collect()))
}

fn listed(entry: &Value, zones: &[String], kinds: &[String]) -> Option<Entry> {
    // A name that the settings do not have stands behind those that they have.
    let place = |among: &[String], key: &str| {
        let name = entry[key].as_str()?;
        Some(among.iter().position(|n| n == name).unwrap_or(among.len()))
    };
    let state = match entry["state"].as_str()? {
        "in_service" => State::Ready,
        "terminating" => State::Draining,
        "terminated" => State::Gone,
        _ => return None,
    };
    let weight = entry["capacity_hint"].as_f64().unwrap_or(1.0).max(0.0);
    let started = entry["boot_ms"].as_f64().filter(|ms| *ms > 0.0).and_then(rainlug_setup::micros);
    let listed = Listed {
        id: entry["uid"].as_str()?.to_owned(),
        zone: place(zones, "az")?,
        kind: place(kinds, "model")?,
        cell: entry["pod_group"].as_u64().unwrap_or(0) as usize,
        state,
        weight,
        started,
    };
    Some((listed, entry["endpoint"].as_str()?.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_worker_is_believed_only_on_the_task_that_it_was_given() {
        let line = |id: &str, rest: &str| format!(r#"{{"id":"{id}","from":"s-1","state":{rest}}}"#);
        let word = |text: String| of_worker(text.as_bytes(), "a1");
        assert!(matches!(word(line("a1", r#""started""#)), Ok(None)));
        let (end, report, result) =
            word(line("a1", r#""done","result":"x\"y","load":{"tps":3,"load_share":0.5}"#)).unwrap().unwrap();
        assert_eq!((end, report.rate, &result[..]), (End::Done, Some(3.0), &b"x\"y"[..]));
        assert!(matches!(word(line("a1", r#""returned""#)), Ok(Some((End::Returned, ..)))));
        for bad in [
            line("a2", r#""done","result":"x""#),
            line("a1", r#""done""#),
            line("a1", r#""asleep""#),
            "{".to_owned(),
            "[]".to_owned(),
        ] {
            assert!(matches!(word(bad.clone()), Err(End::Malformed)), "{bad}");
        }
    }

    #[test]
    fn an_odd_entry_leaves_the_others_as_they_are() {
        let text = r#"{"rev":7,"all":false,"targets":[
            {"uid":"s-1","endpoint":"127.0.0.1:80","az":"b","model":"z","pod_group":3,"state":"terminating",
             "capacity_hint":1.5,"boot_ms":1000},
            {"uid":"s-2","endpoint":"nowhere","az":"b","model":"z","state":"in_service"}, 7]}"#;
        let names = |list: &[&str]| list.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        let value = serde_json::from_str(text).unwrap();
        let (rev, all, entries) = of_list(&value, &names(&["a", "b"]), &names(&["y"])).unwrap();
        assert_eq!((rev, all, entries.len()), (7, false, 1));
        let one = &entries[0].0;
        assert_eq!((one.zone, one.kind, one.cell, one.state), (1, 1, 3, State::Draining));
        assert_eq!((one.weight, one.started), (1.5, Some(1_000_000)));
    }
}
