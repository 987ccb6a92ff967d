//! The dispatcher's configuration: every key that is read, and what the program says where one is absent or of another type.

#[path = "../../../tests/common/text_fixture.rs"]
mod fixture;
#[path = "../../../tests/common/keys.rs"]
mod keys;

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

/// A configuration with all keys, for a dispatcher that is one of three. Nobody listens where the list and the others would be.
fn configuration() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"rev": 3, "all": true, "targets": [{"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "north", "model": "plain",
            "pod_group": 3, "state": "in_service", "capacity_hint": 1.5, "boot_ms": 1000}]},
        "fleet": {"name": "tenders", "listen": "127.0.0.1:0", "advertise": "127.0.0.1:7946", "seeds": ["127.0.0.1:9"],
            "periodMs": 1000, "holdMs": 9000},
        "budgets": {"roster": ["n0", "n1", "n2"], "voters": ["n0"], "grantMs": 2000, "leaseMs": 1100, "driftPpm": 9000, "divided": [
            {"name": "retries", "what": "retries", "whole": 20, "reserve": 3, "burst": 6},
            {"name": "bids", "what": "tasks", "workload": "bid", "whole": 6, "reserve": 3, "longestMs": 30000},
            {"name": "sent", "what": "assignments", "workload": "search", "whole": 9, "reserve": 2, "burst": 5},
            {"name": "warming", "what": "warming", "whole": 1}]},
        "settings": {
            "index": 0, "groupSize": 3, "zone": 0, "zones": ["north"], "hostTypes": ["plain"],
            "limits": {"mostAssignments": 3, "cancel": true, "parallelTries": false, "probes": true, "retryAfter": true,
                "maxRetryAfterMs": 500, "connIdleMs": 30000, "dialTimeoutMs": 200},
            "obligations": {"coldFrom": 0.3, "warmWithinMs": 9000, "overloadFactor": 3, "fallMs": 3000, "mustAskInMs": 700,
                "drainGraceMs": 500},
            "discovery": "subscribe", "weightSource": "live", "feedback": {"how": "pull"},
            "specifics": {"tellsStart": true, "progressMs": 2000, "classKind": [0, -1], "classStretch": [0.5, 0.25]},
            "prices": {"crossZone": 0.1}, "overageRevenue": 0.5, "revenueBasis": "work",
            "scoreParts": {"whole": 0.7, "worstClass": 0.1, "slowEnd": 0.2, "missAllowed": 0.01},
            "customers": [{"name": "c1", "quotaPerS": 20}],
            "workloads": [
                {"name": "search", "idempotency": "repeatable", "dueTimeMs": 150, "expiryMs": 5000, "revenue": 1, "aimStretch": 0.5},
                {"name": "bid", "idempotency": "by_key", "keyScope": "zone", "windowMs": 4000, "dueTimeMs": 800, "expiryMs": 20000,
                 "revenue": 10, "overdueRevenue": 2}]
        }
    })
}

/// Starts the program with a configuration, and ends it once it listens: what it said, without what is drawn or timed.
fn said(dir: &Path, text: &Value) -> String {
    std::fs::write(dir.join("n0.json"), text.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_rainlugd"))
        .current_dir(dir)
        .env("RELAY_CONFIG", "n0.json")
        .env_remove("TMPDIR")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut said = "ended without a word".to_owned();
    let mut left_out = "";
    for line in BufReader::new(program.stderr.take().unwrap()).lines().map_while(Result::ok) {
        if line.contains("left out an entry") {
            left_out = ", an entry of the list is left out";
        }
        if line.contains("listening on ") {
            said = format!("taken{left_out}");
            break;
        }
        if let Some(refusal) = line.strip_prefix("rainlugd: ") {
            said = format!("refused: {}", refusal.trim_start_matches("n0.json: "));
        }
    }
    let _ = program.kill();
    program.wait().unwrap();
    said
}

#[test]
fn every_key_of_a_configuration_is_read_by_its_name() {
    let dir = tempfile::tempdir().unwrap();
    assert_eq!(said(dir.path(), &configuration()), "taken");
    fixture::assert_same(
        "configuration.txt",
        &keys::said_of_each_key(&configuration(), |text| said(dir.path(), text)),
    );
}

#[test]
fn keys_that_are_not_known_are_skipped() {
    let dir = tempfile::tempdir().unwrap();
    let mut more = configuration();
    for outer in
        ["", "/limits", "/fleet", "/budgets", "/settings", "/settings/limits", "/settings/workloads/0"]
    {
        more.pointer_mut(outer).unwrap()["notKnown"] = json!({"odd": true});
    }
    assert_eq!(said(dir.path(), &more), "taken");
}
