//! Fixtures: bytes that this program has made, committed as hex text, so that a test fails where one byte of them changes.
//!
//! A file of fixtures has a line for each piece of bytes, `kind: hex`. It is never written by hand: the test that compares it
//! writes it where `RAINLUG_WRITE_FIXTURES` is set to 1 (a new file is read by other tests from the next run on). Whoever does that
//! changes what other versions read.
#![allow(dead_code, reason = "not every test uses all of it")]

use std::path::{Path, PathBuf};

use bytes::Bytes;

/// Pieces of bytes, each with its kind.
pub type Lines = Vec<(String, Bytes)>;

/// Whether fixtures are to be written and not compared.
pub fn is_writing() -> bool {
    std::env::var("RAINLUG_WRITE_FIXTURES").is_ok_and(|value| value == "1")
}

/// The folder of the fixtures of the crate under test.
pub fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/format")
}

fn path(name: &str) -> PathBuf {
    folder().join(format!("{name}.hex"))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Bytes {
    assert!(text.len().is_multiple_of(2), "half a byte: {text}");
    let digits: Vec<&str> = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]).collect();
    digits.into_iter().map(|two| u8::from_str_radix(two, 16).expect("hex")).collect()
}

fn to_text(lines: &[(String, Bytes)]) -> String {
    lines.iter().map(|(kind, bytes)| format!("{kind}: {}\n", to_hex(bytes))).collect()
}

/// The committed fixtures of a file.
pub fn read(name: &str) -> Lines {
    let text = std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"));
    let line = |line: &str| {
        let (kind, hex) = line.split_once(':').unwrap_or_else(|| panic!("{name}: {line}"));
        (kind.to_owned(), from_hex(hex.trim()))
    };
    text.lines().map(line).collect()
}

/// Fails unless the committed fixtures are these, byte by byte; gives the committed ones. Where fixtures are to be written, it
/// writes these.
#[track_caller]
pub fn pin(name: &str, made: &[(String, Bytes)]) -> Lines {
    if is_writing() {
        let fresh = path(name).with_extension("new");
        std::fs::write(&fresh, to_text(made)).expect("the fixtures are written");
        std::fs::rename(fresh, path(name)).expect("the fixtures are in place");
    }
    let committed = read(name);
    for (number, (committed, made)) in committed.iter().zip(made).enumerate() {
        assert!(
            committed == made,
            "{name}.hex, line {}: committed {}: {}\nmade now {}: {}",
            number + 1,
            committed.0,
            to_hex(&committed.1),
            made.0,
            to_hex(&made.1),
        );
    }
    assert_eq!(committed.len(), made.len(), "lines of {name}.hex, and pieces that are made now");
    committed
}

/// The pieces of one kind.
pub fn of_kind(lines: &[(String, Bytes)], kind: &str) -> Vec<Bytes> {
    lines.iter().filter(|(found, _)| found == kind).map(|(_, bytes)| bytes.clone()).collect()
}

/// The first so many different pieces of each kind, in their order.
pub fn first_of_each_kind(all: Lines, most: usize) -> Lines {
    let mut kept = Lines::new();
    for line in all {
        if !kept.contains(&line) && kept.iter().filter(|(kind, _)| *kind == line.0).count() < most {
            kept.push(line);
        }
    }
    kept
}
