//! The bytes of a log's file, pinned: headers, batches, and what a rewrite leaves; and that committed files are read.

#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use std::fs;
use std::path::Path;

use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, Error, Wal};

fn records(all: &[&str]) -> Vec<Bytes> {
    all.iter().map(|text| Bytes::copy_from_slice(text.as_bytes())).collect()
}

fn open(dir: &Path) -> (Wal, Vec<Bytes>) {
    Wal::open(dir, "wal").expect("a wal")
}

fn file(dir: &Path) -> Bytes {
    fs::read(dir.join("wal")).expect("its file").into()
}

/// A file after each of these steps: two batches, one of them with an empty record; then a rewrite; then one more batch.
fn file_after_each_step() -> fixture::Lines {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    let mut files = fixture::Lines::new();
    wal.append(&records(&["first", "", "third"])).unwrap();
    wal.append(&records(&["fourth"])).unwrap();
    files.push(("appended".to_owned(), file(dir.path())));
    let compacted = wal.compact(&records(&["state", "rest"])[..], 0).unwrap();
    assert_eq!(compacted, CompactionOutcome::Rewritten);
    files.push(("rewritten".to_owned(), file(dir.path())));
    wal.append(&records(&["later", "last"])).unwrap();
    files.push(("appended to a rewritten one".to_owned(), file(dir.path())));
    files
}

/// Opens a file with these bytes.
fn read_back(bytes: &[u8]) -> Result<Vec<Bytes>, Error> {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("wal"), bytes).unwrap();
    Wal::open(dir.path(), "wal").map(|(_, records)| records)
}

#[test]
fn given_the_same_appends_and_rewrites_then_files_are_the_committed_ones() {
    fixture::pin("files", &file_after_each_step());
}

#[test]
fn given_committed_files_when_they_are_opened_then_their_records_come_back() {
    let expected: [&[&str]; 3] =
        [&["first", "", "third", "fourth"], &["state", "rest"], &["state", "rest", "later", "last"]];
    let files = fixture::read("files");
    assert_eq!(files.len(), expected.len());
    for ((kind, bytes), expected) in files.iter().zip(expected) {
        assert_eq!(read_back(bytes).unwrap(), records(expected), "{kind}");
    }
}

#[test]
fn given_a_committed_file_when_any_byte_of_it_differs_then_not_all_records_come_back() {
    let (_, bytes) = fixture::read("files").remove(0);
    let all = read_back(&bytes).unwrap();
    for at in 0..bytes.len() {
        let mut damaged = bytes.to_vec();
        damaged[at] ^= 1;
        assert!(read_back(&damaged).map_or(true, |found| found.len() < all.len()), "byte {at}");
    }
}
