//! The short form of the soak: one seed, two troubles at once, real processes.

use std::process::Command;
use std::time::{Duration, Instant};

/// The whole run takes no longer.
const MOST: Duration = Duration::from_secs(90);

#[test]
fn a_short_soak_breaks_no_rule() {
    let dir = tempfile::tempdir().unwrap();
    let begun = Instant::now();
    let output = Command::new(env!("CARGO_BIN_EXE_rainlug-soak"))
        .args(["--seed", "3", "--seconds", "16", "--overlap", "2", "--rate", "4", "--retain-s", "8"])
        .arg("--dir")
        .arg(dir.path())
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let journal = std::fs::read_to_string(dir.path().join("seed-3").join("journal.log")).unwrap_or_default();
    assert!(output.status.success(), "{text}\n{journal}");
    assert!(text.ends_with("1 seeds passed, 0 failed, 0 not judged\n"), "{text}");
    assert!(begun.elapsed() < MOST, "{:?}", begun.elapsed());
}

#[test]
fn what_is_no_run_is_refused() {
    for arguments in [["--tolerate", "3"], ["--stores", "2"], ["--seconds", "0"], ["--memory-mb", "4000"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_rainlug-soak")).args(arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}
