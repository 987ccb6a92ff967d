//! The adapter over short transcripts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"index":0,"groupSize": 2, "zone": 0, "discovery": "automatic", "unheardOf": [1],
 "limits": {"mostAssignments": 3, "parallelTries": true, "cancel": true, "probes": true, "retryAfter": true,
 "maxRetryAfterMs": 2000.0}, "obligations": {"coldFrom": 0.3, "warmWithinMs": 9000.0, "overloadFactor": 3.0,
 "fallMs": 3000.0}, "feedback": {"how": "piggyback"}, "specifics": {"classStretch": [2.5], "progressMs": 2000.0,
 "tellsStart": true}, "workloads": [{"dueTimeMs": 150.0, "expiryMs": 5000.0, "idempotency": "repeatable",
 "revenue": 1.0}]}"#;

fn speak(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainlug-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn opening() -> String {
    let settings = SETTINGS.replace('\n', "");
    format!(
        "TICK 1000.5\nNEW_INSTANCE dispatcher-0 42 {settings}\nINVENTORY 3 1\nWORKER 10.0.0.1:8080 0 0 0 on 1 -\n\
         DISCOVERY dispatcher-0 cached 1 3\nEND\n"
    )
}

#[test]
fn a_task_is_assigned_and_finished() {
    let batches = "TICK 1010\nQUERY dispatcher-0 2a4d43e85d3a91c4 0 - - 5000 - 1 - 0 0 0\nEND\n\
         TICK 1020\nHINT_UPDATE dispatcher-0 2a4d43e85d3a91c4 0 10.0.0.1:8080 1 -\n\
         DONE dispatcher-0 2a4d43e85d3a91c4 0 10.0.0.1:8080 Ok 10 1 - tps:1.5,new:3,load_share:0.2,x0:3\nEND\n\
         TICK 1030\nSTOP dispatcher-0\nEND\n";
    let output = speak(&(opening() + batches));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("TRANSMIT dispatcher-0 2a4d43e85d3a91c4 - 10.0.0.1:8080\n"), "{text}");
    assert!(!text.contains("TURN_AWAY") && !text.contains("ABORT"));
    assert_eq!(text.lines().filter(|l| *l == "END").count(), 4);
}

#[test]
fn bad_input_is_one_message_and_nothing_half_written() {
    let cases = [
        ("HELLO\n", "expected TICK"),
        ("TICK x\n", "expected the clock"),
        ("TICK 1\nDUE dispatcher-9 4\n", "expected a running instance"),
        ("TICK 1\nNEW_INSTANCE dispatcher-1 4 {}\n", "settings lack a number at /groupSize"),
        ("TICK 1\nQUERY dispatcher-0 aa 7 - - 50 - 1 - 0 0 0\n", "expected a class of the settings"),
        ("TICK 1\nQUERY dispatcher-0 aa 0 - - NaN - 1 - 0 0 0\n", "expected a time budget"),
        ("TICK 1\nDONE dispatcher-0 aa 0 w Great 1 1 - -\n", "expected an outcome"),
        ("TICK 1\nDISCOVERY dispatcher-0 full 2 9\n", "expected the slot"),
        ("TICK 1\nWHAT dispatcher-0\n", "expected an event"),
    ];
    for (lines, expected) in cases {
        let output = speak(&(opening() + lines + "END\n"));
        assert!(!output.status.success(), "{lines}");
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(
            message.contains(expected) && message.contains("line ") && message.lines().count() == 1,
            "{message}"
        );
        assert!(output.stdout.ends_with(b"END\n"));
        assert_eq!(String::from_utf8(output.stdout).unwrap().matches("END").count(), 1);
    }
}
