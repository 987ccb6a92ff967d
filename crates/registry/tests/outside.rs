//! The JSON that operators and workers send: every key, and the outcome where one is absent or of another type.

#[path = "../../../tests/common/text_fixture.rs"]
mod fixture;
#[path = "../../../tests/common/keys.rs"]
mod keys;

use bytes::Bytes;
use rainlug_registry::{Configuration, Findings, Route, RouteKind, Service, Worker};
use serde_json::{Value, json};

/// A configuration with all keys that are read.
fn configuration() -> Value {
    json!({
        "version": 5,
        "routes": [
            {"name": "ask", "host": "a.example", "path_prefix": "/ask/", "kind": "idempotent", "timeout_ms": 5000,
             "target_ms": 1000, "priority": 1, "service": "model", "max_tries": 3},
            {"name": "pay", "host": "a.example", "path_prefix": "/pay/", "kind": "mutating", "timeout_ms": 4000,
             "split": [{"service": "model", "weight": 0.5}, {"service": "other", "weight": 1.5}]},
            {"name": "chat", "host": "a.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000,
             "service": "model", "sticky": true, "resumable": true, "gap_aim_ms": 500},
            {"name": "batch", "host": "b.example", "path_prefix": "/batch/", "kind": "bulk", "service": "other",
             "run_target_ms": 60000, "retain_s": 300.5, "max_queued_tokens": 1000}
        ],
        "services": [
            {"name": "model", "health_path": "/liveness", "max_conns": 64,
             "backend": {"slots": 8, "kv_capacity_tokens": 60000, "stride": 4}},
            {"name": "other"}
        ],
        "limits": {"max_header_bytes": 16385, "max_body_bytes": 4194305, "header_timeout_ms": 3001, "idle_timeout_ms": 15001}
    })
}

/// A heartbeat with all keys that are read.
fn heartbeat() -> Value {
    json!({"service": "model", "zone": "north", "address": "10.0.0.1:7403", "state": "draining", "slots": 8,
        "cold_left_ms": 1200, "call_seq": 9})
}

fn bytes(value: &Value) -> Bytes {
    Bytes::from(value.to_string())
}

fn rejected(findings: &Findings) -> String {
    format!("refused: {findings}")
}

/// What was parsed: a line for each key, with its value.
fn read(text: &Value) -> Result<Vec<String>, Findings> {
    let found = Configuration::parse(&bytes(text))?;
    let mut lines = vec![format!("version {}", found.version)];
    found.routes.iter().for_each(|r| lines.extend(route(r)));
    found.services.iter().for_each(|s| lines.extend(service(s)));
    let limits = found.limits;
    lines.push(format!("limits max_header_bytes {}", limits.max_header_bytes));
    lines.push(format!("limits max_body_bytes {}", limits.max_body_bytes));
    lines.push(format!("limits header_timeout_ms {}", limits.header_timeout_ms));
    lines.push(format!("limits idle_timeout_ms {}", limits.idle_timeout_ms));
    Ok(lines)
}

fn route(r: &Route) -> Vec<String> {
    let values = [
        ("host", r.host.clone()),
        ("path_prefix", r.path_prefix.clone()),
        ("kind", kind(r.kind).to_owned()),
        ("timeout_ms", r.timeout_ms.to_string()),
        ("target_ms", r.target_ms.to_string()),
        ("priority", r.priority.to_string()),
        ("split", format!("{:?}", r.split)),
        ("max_tries", r.max_attempts.to_string()),
        ("sticky", r.is_sticky.to_string()),
        ("resumable", r.is_resumable.to_string()),
        ("gap_aim_ms", r.gap_target_ms.to_string()),
        ("run_target_ms", r.run_target_ms.to_string()),
        ("retain_s", r.retain_s.to_string()),
        ("max_queued_tokens", r.max_queued_tokens.to_string()),
    ];
    values.into_iter().map(|(key, value)| format!("{} {key} {value}", r.name)).collect()
}

fn service(s: &Service) -> Vec<String> {
    let values = [
        ("health_path", s.health_path.clone()),
        ("max_conns", s.max_conns.to_string()),
        ("slots", s.slots.to_string()),
        ("kv_capacity_tokens", s.kv_capacity_tokens.to_string()),
        ("stride", s.stride.to_string()),
    ];
    values.into_iter().map(|(key, value)| format!("{} {key} {value}", s.name)).collect()
}

fn kind(of: RouteKind) -> &'static str {
    match of {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Mutating => "mutating",
        RouteKind::Streaming => "streaming",
        RouteKind::Bulk => "bulk",
    }
}

#[test]
fn given_a_configuration_when_any_key_is_absent_or_of_another_type_then_its_result_is_the_committed_one() {
    let complete = read(&configuration()).unwrap();
    let outcome = |text: &Value| match read(text) {
        Ok(lines) => {
            let changed: Vec<String> = lines.into_iter().filter(|line| !complete.contains(line)).collect();
            format!("taken, {}", changed.join(", "))
        }
        Err(findings) => rejected(&findings),
    };
    let keys = keys::said_of_each_key(&configuration(), outcome);
    fixture::assert_same("configuration.txt", &format!("{}\n\n{keys}", complete.join("\n")));
}

#[test]
fn given_a_heartbeat_when_any_key_is_absent_or_of_another_type_then_its_result_is_the_committed_one() {
    let outcome = |text: &Value| match Worker::parse("w1", &bytes(text)) {
        Ok(w) => format!(
            "{} service {} zone {} address {} {:?} slots {} cold_left_ms {} call_seq {}",
            w.id, w.service, w.zone, w.address, w.phase, w.slots, w.warm_up_left_ms, w.call_seq
        ),
        Err(findings) => rejected(&findings),
    };
    fixture::assert_same("beat.txt", &keys::said_of_each_key(&heartbeat(), outcome));
}

#[test]
fn given_unknown_keys_then_they_are_skipped() {
    let mut more = configuration();
    for outer in ["", "/routes/0", "/services/0", "/services/0/backend", "/limits"] {
        more.pointer_mut(outer).unwrap()["not_known"] = json!({"odd": true});
    }
    assert_eq!(read(&more), read(&configuration()));
}
