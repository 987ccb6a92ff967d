//! What a log keeps over losses of power, and what its writer's thread does with it.

use std::fs;
use std::path::Path;
use std::sync::mpsc;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug_wal::{CompactionOutcome, Error, Synced, Wal, Writer, WriterEvent};

/// Bytes before the payload of a record.
const HEADER_BYTES: usize = 20;

fn texts(all: &[&str]) -> Vec<Bytes> {
    all.iter().map(|text| Bytes::copy_from_slice(text.as_bytes())).collect()
}

fn open(dir: &Path) -> (Wal, Vec<Bytes>) {
    Wal::open(dir, "wal").expect("a wal")
}

fn expect_synced(event: WriterEvent) -> Synced {
    match event {
        WriterEvent::Synced(synced) => synced,
        other => panic!("{other:?}"),
    }
}

fn records(dir: &Path) -> Vec<Bytes> {
    open(dir).1
}

#[test]
fn given_appended_records_when_the_log_is_opened_again_then_they_come_back_in_order() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, found) = open(dir.path());
    assert!(found.is_empty());
    assert_eq!(wal.length(), 0);
    wal.append(&texts(&["a", "", "ccc"])).unwrap();
    wal.append(&[]).unwrap();
    wal.append(&texts(&["dd"])).unwrap();
    assert_eq!(wal.length(), (4 * HEADER_BYTES + 6) as u64);
    assert_eq!(fs::metadata(dir.path().join("wal")).unwrap().len(), wal.length());
    drop(wal);

    let (mut wal, found) = open(dir.path());
    assert_eq!(found, texts(&["a", "", "ccc", "dd"]));
    wal.append(&texts(&["e"])).unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "", "ccc", "dd", "e"]));
}

#[test]
fn given_a_tail_torn_anywhere_then_only_records_of_the_last_batch_are_lost() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["first", "second"])).unwrap();
    let synced = wal.length() as usize;
    wal.append(&texts(&["third", "fourth"])).unwrap();
    let complete = fs::read(&path).unwrap();
    let third = synced + HEADER_BYTES + 5;
    for cut in synced..=complete.len() {
        fs::write(&path, &complete[..cut]).unwrap();
        let (mut wal, found) = open(dir.path());
        let count = 2 + usize::from(cut >= third) + usize::from(cut == complete.len());
        assert_eq!(found, texts(&["first", "second", "third", "fourth"][..count]), "cut at {cut}");
        // What is appended then stands after what was found, and a second loss of power does no more.
        wal.append(&texts(&["next"])).unwrap();
        let mut all = found;
        all.push("next".into());
        assert_eq!(records(dir.path()), all, "cut at {cut}");
        let length = wal.length();
        wal.append(&texts(&["torn", "too"])).unwrap();
        let mut bytes = fs::read(&path).unwrap();
        bytes[length as usize..][..HEADER_BYTES].fill(0);
        fs::write(&path, bytes).unwrap();
        assert_eq!(records(dir.path()), all, "cut at {cut}");
    }
}

#[test]
fn given_missing_pages_of_the_last_batch_then_only_its_records_are_lost() {
    const PAGE: usize = 4096;
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    let first = Bytes::from(vec![1; 3 * PAGE / 2]);
    wal.append(std::slice::from_ref(&first)).unwrap();
    let synced = wal.length() as usize;
    wal.append(&(2..12).map(|i| Bytes::from(vec![i; PAGE / 2 - HEADER_BYTES])).collect::<Vec<_>>()).unwrap();
    let complete = fs::read(&path).unwrap();
    let pages = complete.len().div_ceil(PAGE);
    for missing in 1..1_u32 << (pages - 1) {
        let mut bytes = complete.clone();
        for page in (1..pages).filter(|page| missing >> (page - 1) & 1 == 1) {
            let from = (page * PAGE).max(synced);
            bytes[from..((page + 1) * PAGE).min(complete.len())].fill(0);
        }
        fs::write(&path, bytes).unwrap();
        let found = records(dir.path());
        assert_eq!(found.first(), Some(&first));
        let kept = found[1..].iter().zip(2..).all(|(record, i)| record.iter().all(|byte| *byte == i));
        assert!(kept && found.len() < 11, "missing pages {missing:b}");
    }
}

#[test]
fn given_damage_before_a_later_batch_then_opening_names_it_and_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["first"])).unwrap();
    let second = wal.length();
    wal.append(&texts(&["second"])).unwrap();
    let third = wal.length();
    wal.append(&texts(&["third"])).unwrap();
    let complete = fs::read(&path).unwrap();
    for at in second..third {
        let mut bytes = complete.clone();
        bytes[at as usize] ^= 0x10;
        fs::write(&path, &bytes).unwrap();
        match Wal::open(dir.path(), "wal") {
            Err(Error::Damaged(named, offset)) => assert_eq!((named, offset), (path.clone(), second)),
            Err(other) => panic!("byte {at}: {other}"),
            Ok((_, found)) => panic!("byte {at}: {found:?}"),
        }
        assert_eq!(fs::read(&path).unwrap(), bytes, "what is damaged stays as it is");
    }
}

#[test]
fn given_a_changed_byte_of_a_rewritten_record_then_it_is_damage_and_no_torn_tail() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.rewrite(&texts(&["first", "second", "third"])).unwrap();
    let mut bytes = fs::read(&path).unwrap();
    bytes[HEADER_BYTES + 5 + HEADER_BYTES] ^= 1;
    fs::write(&path, bytes).unwrap();
    let offset = (HEADER_BYTES + 5) as u64;
    assert!(matches!(Wal::open(dir.path(), "wal"), Err(Error::Damaged(_, at)) if at == offset));
}

#[test]
fn given_a_record_within_a_torn_payload_then_it_is_not_taken_for_a_later_batch() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["first"])).unwrap();
    wal.append(&texts(&["second"])).unwrap();
    wal.append(&texts(&["third"])).unwrap();
    let inner = fs::read(&path).unwrap();
    wal.rewrite(&texts(&["first"])).unwrap();
    let synced = wal.length() as usize;
    wal.append(&[inner.into()]).unwrap();
    let mut bytes = fs::read(&path).unwrap();
    bytes[synced..][..HEADER_BYTES].fill(0);
    fs::write(&path, bytes).unwrap();
    assert_eq!(records(dir.path()), texts(&["first"]));
}

#[test]
fn given_a_rewrite_then_its_records_replace_all() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a", "b", "c"])).unwrap();
    wal.rewrite(&texts(&["abc"])).unwrap();
    assert_eq!(wal.length(), (HEADER_BYTES + 3) as u64);
    wal.append(&texts(&["d"])).unwrap();
    assert_eq!(records(dir.path()), texts(&["abc", "d"]));
    wal.rewrite(&[]).unwrap();
    assert!(records(dir.path()).is_empty());
}

#[test]
fn given_a_rewrite_interrupted_before_its_rename_then_nothing_of_it_stays() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a", "b"])).unwrap();
    drop(wal);
    let replacement = dir.path().join("wal.new");
    fs::write(&replacement, b"half of a rewrite").unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "b"]));
    assert!(!replacement.exists());
}

#[test]
fn given_a_rewrite_that_fails_then_the_old_file_stands() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a"])).unwrap();
    let replacement = dir.path().join("wal.new");
    fs::create_dir(&replacement).unwrap();
    assert!(matches!(wal.rewrite(&texts(&["b"])), Err(Error::Io(named, _)) if named == replacement));
    wal.append(&texts(&["c"])).unwrap();
    fs::remove_dir(&replacement).unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "c"]));
}

#[test]
fn given_a_rewrite_without_space_then_the_old_file_stands() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a"])).unwrap();
    std::os::unix::fs::symlink("/dev/full", dir.path().join("wal.new")).unwrap();
    assert!(matches!(wal.rewrite(&texts(&["b"])), Err(Error::Io(..))));
    assert_eq!(wal.length(), (HEADER_BYTES + 1) as u64);
    wal.append(&texts(&["c"])).unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "c"]));
}

#[test]
fn given_a_missing_directory_when_opening_then_the_error_names_the_file() {
    let dir = tempfile::tempdir().unwrap();
    let missing = dir.path().join("missing");
    let result = Wal::open(&missing, "wal").map(|_| ());
    let named = missing.join("wal");
    assert!(matches!(&result, Err(Error::Io(path, _)) if *path == named), "{result:?}");
}

#[test]
fn given_waiting_operations_then_appends_are_merged_and_compactions_keep_their_order() {
    let dir = tempfile::tempdir().unwrap();
    let (wal, _) = open(dir.path());
    let (sender, events) = mpsc::channel();
    let (go, gate) = mpsc::channel::<()>();
    let writer = Writer::start(wal, move |event| {
        let one = expect_synced(event);
        let is_first = one.ticket == 1;
        sender.send(one).unwrap();
        if is_first {
            gate.recv().unwrap();
        }
    });
    writer.append(1, texts(&["a"]));
    assert_eq!(events.recv().unwrap().ticket, 1);
    // The thread is blocked now.
    writer.append(2, texts(&["b"]));
    writer.append(3, texts(&["c", "d"]));
    writer.compact(4, texts(&["abcd"]), 0);
    writer.append(5, texts(&["e"]));
    writer.append(6, texts(&["f"]));
    go.send(()).unwrap();
    drop(writer);
    let all: Vec<Synced> = events.iter().collect();
    let compactions: Vec<_> = all.iter().map(|one| one.compaction).collect();
    assert_eq!(compactions, [None, Some(CompactionOutcome::Rewritten), None]);
    let header = HEADER_BYTES as u64;
    let reported: Vec<_> = all.iter().map(|one| (one.ticket, one.length)).collect();
    assert_eq!(reported, [(3, 4 * header + 4), (4, header + 4), (6, 3 * header + 6)]);
    assert_eq!(records(dir.path()), texts(&["abcd", "e", "f"]));
}

/// A rewrite to records that the log does not imply cannot be postponed: the thread retries until it succeeds, and then goes on.
#[test]
fn given_a_rewrite_that_fails_then_the_thread_reports_it_once_and_retries() {
    let dir = tempfile::tempdir().unwrap();
    let (wal, _) = open(dir.path());
    let replacement = dir.path().join("wal.new");
    fs::create_dir(&replacement).unwrap();
    let (sender, events) = mpsc::channel();
    let writer = Writer::start(wal, move |one| sender.send(one).unwrap());
    writer.compact(1, texts(&["a"]), 0);
    let failed = events.recv().unwrap();
    assert!(
        matches!(&failed, WriterEvent::Failing(Error::Io(named, _)) if *named == replacement),
        "{failed:?}"
    );
    writer.append(2, texts(&["b"]));
    assert!(
        fs::read(dir.path().join("wal")).unwrap().is_empty(),
        "nothing is written yet, and nothing out of order"
    );
    fs::remove_dir(&replacement).unwrap();
    assert!(matches!(events.recv().unwrap(), WriterEvent::Recovered));
    let first = expect_synced(events.recv().unwrap());
    assert_eq!((first.ticket, first.length), (1, (HEADER_BYTES + 1) as u64));
    let second = expect_synced(events.recv().unwrap());
    assert_eq!((second.ticket, second.length), (2, 2 * (HEADER_BYTES + 1) as u64));
    assert_eq!(records(dir.path()), texts(&["a", "b"]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    /// Whatever is written: the batches before the last are all there, and of the last one a beginning.
    #[test]
    fn given_any_damage_to_the_last_batch_then_all_earlier_batches_are_found(
        batches in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..600), 1..5), 1..8),
        zeroed in prop::collection::vec((0.0..1.0, 0.0..1.0), 0..4),
        cut in 0.0..1.0,
    ) {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("wal");
        let (mut wal, _) = open(dir.path());
        let mut synced = 0;
        for batch in &batches {
            synced = wal.length() as usize;
            wal.append(&batch.iter().map(|r| Bytes::copy_from_slice(r)).collect::<Vec<_>>()).unwrap();
        }
        let mut bytes = fs::read(&path).unwrap();
        let tail = bytes.len() - synced;
        for (from, to) in zeroed {
            let offset_of = |fraction: f64| synced + (fraction * tail as f64) as usize;
            let (from, to) = (offset_of(from), offset_of(to));
            bytes[from.min(to)..from.max(to)].fill(0);
        }
        bytes.truncate(synced + ((1.0 - cut) * tail as f64) as usize);
        fs::write(&path, bytes).unwrap();
        let all: Vec<&Vec<u8>> = batches.iter().flatten().collect();
        let before = all.len() - batches.last().map_or(0, Vec::len);
        let found = records(dir.path());
        prop_assert!((before..=all.len()).contains(&found.len()));
        prop_assert!(found.iter().zip(all).all(|(found, written)| found == written));
    }

    /// A changed byte before the last batch is found, and nothing panics on any bytes.
    #[test]
    fn given_a_changed_byte_of_a_synced_batch_then_it_is_found(
        sizes in prop::collection::vec(0_usize..400, 2..8),
        at in 0.0..1.0,
        flip in 1_u8..,
        garbage in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("wal");
        let (mut wal, _) = open(dir.path());
        let mut synced = 0;
        for size in sizes {
            synced = wal.length();
            wal.append(&[Bytes::from(vec![7; size])]).unwrap();
        }
        let mut bytes = fs::read(&path).unwrap();
        bytes[(at * synced as f64) as usize] ^= flip;
        fs::write(&path, bytes).unwrap();
        let is_damaged = matches!(Wal::open(dir.path(), "wal"), Err(Error::Damaged(..)));
        prop_assert!(is_damaged);
        fs::write(&path, garbage).unwrap();
        prop_assert!(records(dir.path()).is_empty());
    }
}
