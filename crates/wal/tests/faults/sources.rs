//! Rewrites whose records are made while they are written: none is kept in memory, all are made again where the disk refuses, and
//! the space that they take is what was written.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};

use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, DiskSpace, RecordSource, Wal, Writer, WriterEvent};

use crate::disk::TestDisk;

const CAPACITY: u64 = 1 << 20;
/// Bytes before the payload of a record.
const HEADER_BYTES: u64 = 20;
const RECORDS: usize = 100;
const RECORD: usize = 1_000;

/// Records that are made when they are asked for, and how many were.
#[derive(Clone)]
struct GeneratedRecords {
    made: Arc<AtomicUsize>,
    /// The size that it claims.
    size: u64,
}

impl GeneratedRecords {
    fn new(size: u64) -> Self {
        Self { made: Arc::default(), size }
    }
    fn made(&self) -> usize {
        self.made.load(Ordering::Relaxed)
    }
}

impl RecordSource for GeneratedRecords {
    fn count(&self) -> usize {
        RECORDS
    }
    fn record(&self, number: usize) -> Bytes {
        self.made.fetch_add(1, Ordering::Relaxed);
        Bytes::from(vec![number as u8; RECORD])
    }
    fn payload_bytes(&self) -> u64 {
        self.size
    }
}

fn all_records() -> Vec<Bytes> {
    (0..RECORDS).map(|number| Bytes::from(vec![number as u8; RECORD])).collect()
}

fn open(disk: &TestDisk, disk_space: &Arc<DiskSpace>) -> (Wal<TestDisk>, Vec<Bytes>) {
    Wal::open_with(disk.clone(), disk_space.clone(), Path::new("/data"), "wal").expect("a disk that works")
}

fn disk_space() -> Arc<DiskSpace> {
    Arc::new(DiskSpace::new(CAPACITY))
}

#[test]
fn given_a_disk_that_refuses_when_it_recovers_then_the_source_is_read_again() {
    const EXACT: u64 = (RECORDS * RECORD) as u64;
    let disk = TestDisk::default();
    let (wal, _) = open(&disk, &disk_space());
    // Given space for half of the rewrite.
    disk.set_capacity(Some(RECORDS * RECORD / 2));
    let (sender, events) = mpsc::channel();
    let writer = Writer::start(wal, move |event| sender.send(event).expect("the test listens"));
    let source = GeneratedRecords::new(EXACT);
    writer.compact(1, source.clone(), 0);
    assert!(matches!(events.recv().expect("the thread runs"), WriterEvent::Failing(_)));
    disk.set_capacity(None);
    let synced = loop {
        match events.recv().expect("the thread runs") {
            WriterEvent::Synced(synced) => break synced,
            WriterEvent::Recovered => {}
            WriterEvent::Failing(error) => panic!("reported twice: {error}"),
        }
    };
    assert_eq!((synced.ticket, synced.compaction), (1, Some(CompactionOutcome::Rewritten)));
    assert_eq!(synced.length, EXACT + RECORDS as u64 * HEADER_BYTES);
    assert!(source.made() > RECORDS, "{} records made", source.made());
    assert_eq!(open(&disk.after_kill(), &disk_space()).1, all_records());
}

#[test]
fn given_a_postponed_rewrite_when_all_is_implied_then_no_record_is_made() {
    let disk = TestDisk::default();
    let (mut wal, _) = open(&disk, &disk_space());
    wal.append(&[Bytes::from("short")]).expect("a disk that works");
    let source = GeneratedRecords::new((RECORDS * RECORD) as u64);
    assert_eq!(wal.compact(&source, RECORDS).expect("postponed"), CompactionOutcome::Postponed);
    assert_eq!(source.made(), 0);
}

#[test]
fn given_a_source_with_a_wrong_size_when_it_is_written_then_the_space_in_use_is_what_was_written() {
    for claimed in [0, (RECORDS * RECORD) as u64, 3 * (RECORDS * RECORD) as u64] {
        let (disk, disk_space) = (TestDisk::default(), disk_space());
        let (mut wal, _) = open(&disk, &disk_space);
        wal.append(&[Bytes::from(vec![1; 5_000])]).expect("a disk that works");
        wal.rewrite(&GeneratedRecords::new(claimed)).expect("there is space");
        assert_eq!(disk_space.free(), CAPACITY - wal.length(), "{claimed}");
        assert_eq!(wal.length(), (RECORDS * RECORD) as u64 + RECORDS as u64 * HEADER_BYTES);
    }
}
