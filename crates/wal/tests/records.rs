//! What a log keeps over losses of power, and what its thread does with it.

use std::fs;
use std::path::Path;
use std::sync::mpsc;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug_wal::{CompactionOutcome, Error, Synced, Wal, Writer, WriterEvent};

/// Bytes before the payload of a record.
const HEADER: usize = 20;

fn texts(all: &[&str]) -> Vec<Bytes> {
    all.iter().map(|text| Bytes::copy_from_slice(text.as_bytes())).collect()
}

fn open(dir: &Path) -> (Wal, Vec<Bytes>) {
    Wal::open(dir, "wal").expect("a wal")
}

fn kept(report: WriterEvent) -> Synced {
    match report {
        WriterEvent::Synced(done) => done,
        other => panic!("{other:?}"),
    }
}

fn records(dir: &Path) -> Vec<Bytes> {
    open(dir).1
}

#[test]
fn records_come_back_in_order() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, found) = open(dir.path());
    assert!(found.is_empty());
    assert_eq!(wal.length(), 0);
    wal.append(&texts(&["a", "", "ccc"])).unwrap();
    wal.append(&[]).unwrap();
    wal.append(&texts(&["dd"])).unwrap();
    assert_eq!(wal.length(), (4 * HEADER + 6) as u64);
    assert_eq!(fs::metadata(dir.path().join("wal")).unwrap().len(), wal.length());
    drop(wal);

    let (mut wal, found) = open(dir.path());
    assert_eq!(found, texts(&["a", "", "ccc", "dd"]));
    wal.append(&texts(&["e"])).unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "", "ccc", "dd", "e"]));
}

#[test]
fn a_tail_cut_anywhere_loses_of_the_last_batch_alone() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["first", "second"])).unwrap();
    let synced = wal.length() as usize;
    wal.append(&texts(&["third", "fourth"])).unwrap();
    let whole = fs::read(&path).unwrap();
    let third = synced + HEADER + 5;
    for cut in synced..=whole.len() {
        fs::write(&path, &whole[..cut]).unwrap();
        let (mut wal, found) = open(dir.path());
        let count = 2 + usize::from(cut >= third) + usize::from(cut == whole.len());
        assert_eq!(found, texts(&["first", "second", "third", "fourth"][..count]), "cut at {cut}");
        // What is appended then stands after what was found, and a second loss of power does no more.
        wal.append(&texts(&["next"])).unwrap();
        let mut all = found;
        all.push("next".into());
        assert_eq!(records(dir.path()), all, "cut at {cut}");
        let length = wal.length();
        wal.append(&texts(&["torn", "too"])).unwrap();
        let mut bytes = fs::read(&path).unwrap();
        bytes[length as usize..][..HEADER].fill(0);
        fs::write(&path, bytes).unwrap();
        assert_eq!(records(dir.path()), all, "cut at {cut}");
    }
}

#[test]
fn pages_of_the_last_batch_may_be_missing_in_any_order() {
    const PAGE: usize = 4096;
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    let first = Bytes::from(vec![1; 3 * PAGE / 2]);
    wal.append(std::slice::from_ref(&first)).unwrap();
    let synced = wal.length() as usize;
    wal.append(&(2..12).map(|i| Bytes::from(vec![i; PAGE / 2 - HEADER])).collect::<Vec<_>>()).unwrap();
    let whole = fs::read(&path).unwrap();
    let pages = whole.len().div_ceil(PAGE);
    for missing in 1..1_u32 << (pages - 1) {
        let mut bytes = whole.clone();
        for page in (1..pages).filter(|page| missing >> (page - 1) & 1 == 1) {
            let from = (page * PAGE).max(synced);
            bytes[from..((page + 1) * PAGE).min(whole.len())].fill(0);
        }
        fs::write(&path, bytes).unwrap();
        let found = records(dir.path());
        assert_eq!(found.first(), Some(&first));
        let kept = found[1..].iter().zip(2..).all(|(record, i)| record.iter().all(|byte| *byte == i));
        assert!(kept && found.len() < 11, "missing pages {missing:b}");
    }
}

#[test]
fn damage_in_the_middle_is_named() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["first"])).unwrap();
    let second = wal.length();
    wal.append(&texts(&["second"])).unwrap();
    let third = wal.length();
    wal.append(&texts(&["third"])).unwrap();
    let whole = fs::read(&path).unwrap();
    for at in second..third {
        let mut bytes = whole.clone();
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
fn a_rewritten_record_is_damaged_and_not_torn() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("wal");
    let (mut wal, _) = open(dir.path());
    wal.rewrite(&texts(&["first", "second", "third"])).unwrap();
    let mut bytes = fs::read(&path).unwrap();
    bytes[HEADER + 5 + HEADER] ^= 1;
    fs::write(&path, bytes).unwrap();
    let offset = (HEADER + 5) as u64;
    assert!(matches!(Wal::open(dir.path(), "wal"), Err(Error::Damaged(_, at)) if at == offset));
}

#[test]
fn a_record_within_a_torn_record_is_no_later_one() {
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
    bytes[synced..][..HEADER].fill(0);
    fs::write(&path, bytes).unwrap();
    assert_eq!(records(dir.path()), texts(&["first"]));
}

#[test]
fn a_rewrite_puts_records_in_place_of_all() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a", "b", "c"])).unwrap();
    wal.rewrite(&texts(&["abc"])).unwrap();
    assert_eq!(wal.length(), (HEADER + 3) as u64);
    wal.append(&texts(&["d"])).unwrap();
    assert_eq!(records(dir.path()), texts(&["abc", "d"]));
    wal.rewrite(&[]).unwrap();
    assert!(records(dir.path()).is_empty());
}

#[test]
fn a_rewrite_broken_off_before_the_rename_leaves_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a", "b"])).unwrap();
    drop(wal);
    let fresh = dir.path().join("wal.new");
    fs::write(&fresh, b"half of a rewrite").unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "b"]));
    assert!(!fresh.exists());
}

#[test]
fn a_failed_rewrite_leaves_the_old_file() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a"])).unwrap();
    let fresh = dir.path().join("wal.new");
    fs::create_dir(&fresh).unwrap();
    assert!(matches!(wal.rewrite(&texts(&["b"])), Err(Error::Io(named, _)) if named == fresh));
    wal.append(&texts(&["c"])).unwrap();
    fs::remove_dir(&fresh).unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "c"]));
}

#[test]
fn a_rewrite_without_space_leaves_the_old_file() {
    let dir = tempfile::tempdir().unwrap();
    let (mut wal, _) = open(dir.path());
    wal.append(&texts(&["a"])).unwrap();
    std::os::unix::fs::symlink("/dev/full", dir.path().join("wal.new")).unwrap();
    assert!(matches!(wal.rewrite(&texts(&["b"])), Err(Error::Io(..))));
    assert_eq!(wal.length(), (HEADER + 1) as u64);
    wal.append(&texts(&["c"])).unwrap();
    assert_eq!(records(dir.path()), texts(&["a", "c"]));
}

#[test]
fn what_cannot_be_opened_is_named() {
    let dir = tempfile::tempdir().unwrap();
    let missing = dir.path().join("missing");
    let result = Wal::open(&missing, "wal").map(|_| ());
    let named = missing.join("wal");
    assert!(matches!(&result, Err(Error::Io(path, _)) if *path == named), "{result:?}");
}

#[test]
fn waiting_appends_go_as_one_and_rewrites_in_their_turn() {
    let dir = tempfile::tempdir().unwrap();
    let (wal, _) = open(dir.path());
    let (done, finished) = mpsc::channel();
    let (go, gate) = mpsc::channel::<()>();
    let writer = Writer::start(wal, move |report| {
        let one = kept(report);
        let is_first = one.ticket == 1;
        done.send(one).unwrap();
        if is_first {
            gate.recv().unwrap();
        }
    });
    writer.append(1, texts(&["a"]));
    assert_eq!(finished.recv().unwrap().ticket, 1);
    // The thread is held up now.
    writer.append(2, texts(&["b"]));
    writer.append(3, texts(&["c", "d"]));
    writer.compact(4, texts(&["abcd"]), 0);
    writer.append(5, texts(&["e"]));
    writer.append(6, texts(&["f"]));
    go.send(()).unwrap();
    drop(writer);
    let all: Vec<Synced> = finished.iter().collect();
    let compactions: Vec<_> = all.iter().map(|one| one.compaction).collect();
    assert_eq!(compactions, [None, Some(CompactionOutcome::Rewritten), None]);
    let header = HEADER as u64;
    let told: Vec<_> = all.iter().map(|one| (one.ticket, one.length)).collect();
    assert_eq!(told, [(3, 4 * header + 4), (4, header + 4), (6, 3 * header + 6)]);
    assert_eq!(records(dir.path()), texts(&["abcd", "e", "f"]));
}

/// A rewrite of what the log does not hold cannot be put off: the thread tries again until it is made, and then goes on.
#[test]
fn the_thread_tells_of_failures_and_tries_again() {
    let dir = tempfile::tempdir().unwrap();
    let (wal, _) = open(dir.path());
    let fresh = dir.path().join("wal.new");
    fs::create_dir(&fresh).unwrap();
    let (done, finished) = mpsc::channel();
    let writer = Writer::start(wal, move |one| done.send(one).unwrap());
    writer.compact(1, texts(&["a"]), 0);
    let failed = finished.recv().unwrap();
    assert!(matches!(&failed, WriterEvent::Failing(Error::Io(named, _)) if *named == fresh), "{failed:?}");
    writer.append(2, texts(&["b"]));
    assert!(
        fs::read(dir.path().join("wal")).unwrap().is_empty(),
        "nothing is kept yet, and nothing out of turn"
    );
    fs::remove_dir(&fresh).unwrap();
    assert!(matches!(finished.recv().unwrap(), WriterEvent::Recovered));
    let first = kept(finished.recv().unwrap());
    assert_eq!((first.ticket, first.length), (1, (HEADER + 1) as u64));
    let second = kept(finished.recv().unwrap());
    assert_eq!((second.ticket, second.length), (2, 2 * (HEADER + 1) as u64));
    assert_eq!(records(dir.path()), texts(&["a", "b"]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    /// Whatever is written: the batches before the last are all there, and of the last one a beginning.
    #[test]
    fn only_the_last_batch_can_lose(
        batches in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..600), 1..5), 1..8),
        harmed in prop::collection::vec((0.0..1.0, 0.0..1.0), 0..4),
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
        for (from, to) in harmed {
            let place = |part: f64| synced + (part * tail as f64) as usize;
            let (from, to) = (place(from), place(to));
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
    fn a_changed_byte_of_a_synced_batch_is_found(
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
