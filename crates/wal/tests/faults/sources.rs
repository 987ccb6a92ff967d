//! Rewrites whose records are made while they are written: nothing is held, all is made anew where the disk refuses, and the room
//! that they take is what they have come to.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};

use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, DiskSpace, RecordSource, Wal, Writer, WriterEvent};

use crate::files::TestFiles;

const CAPACITY: u64 = 1 << 20;
/// Bytes before the payload of a record.
const HEADER: u64 = 20;
const RECORDS: usize = 100;
const RECORD: usize = 1_000;

/// Records that are made when they are asked for, and how many were.
#[derive(Clone)]
struct Made {
    made: Arc<AtomicUsize>,
    /// What it says of its size.
    size: u64,
}

impl Made {
    fn new(size: u64) -> Self {
        Self { made: Arc::default(), size }
    }
    fn made(&self) -> usize {
        self.made.load(Ordering::Relaxed)
    }
}

impl RecordSource for Made {
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

fn whole() -> Vec<Bytes> {
    (0..RECORDS).map(|number| Bytes::from(vec![number as u8; RECORD])).collect()
}

fn open(files: &TestFiles, disk_space: &Arc<DiskSpace>) -> (Wal<TestFiles>, Vec<Bytes>) {
    Wal::open_with(files.clone(), disk_space.clone(), Path::new("/data"), "wal").expect("a disk that works")
}

fn disk_space() -> Arc<DiskSpace> {
    Arc::new(DiskSpace::new(CAPACITY))
}

#[test]
fn given_a_disk_that_refuses_when_it_takes_calls_again_then_the_source_is_walked_over_once_more() {
    const EXACT: u64 = (RECORDS * RECORD) as u64;
    let files = TestFiles::default();
    let (wal, _) = open(&files, &disk_space());
    // Given room for half of the rewrite.
    files.set_capacity(Some(RECORDS * RECORD / 2));
    let (told, reports) = mpsc::channel();
    let writer = Writer::start(wal, move |report| told.send(report).expect("the test listens"));
    let source = Made::new(EXACT);
    writer.compact(1, source.clone(), 0);
    assert!(matches!(reports.recv().expect("it lives"), WriterEvent::Failing(_)));
    files.set_capacity(None);
    let done = loop {
        match reports.recv().expect("it lives") {
            WriterEvent::Synced(done) => break done,
            WriterEvent::Recovered => {}
            WriterEvent::Failing(error) => panic!("told of twice: {error}"),
        }
    };
    assert_eq!((done.ticket, done.compaction), (1, Some(CompactionOutcome::Rewritten)));
    assert_eq!(done.length, EXACT + RECORDS as u64 * HEADER);
    assert!(source.made() > RECORDS, "{} records made", source.made());
    assert_eq!(open(&files.after_kill(), &disk_space()).1, whole());
}

#[test]
fn given_a_rewrite_that_is_put_off_when_all_is_implied_then_no_record_is_made() {
    let files = TestFiles::default();
    let (mut wal, _) = open(&files, &disk_space());
    wal.append(&[Bytes::from("short")]).expect("a disk that works");
    let source = Made::new((RECORDS * RECORD) as u64);
    assert_eq!(wal.compact(&source, RECORDS).expect("put off"), CompactionOutcome::Postponed);
    assert_eq!(source.made(), 0);
}

#[test]
fn given_a_source_that_tells_a_wrong_size_when_it_is_written_then_the_room_in_use_is_what_was_written() {
    for told in [0, (RECORDS * RECORD) as u64, 3 * (RECORDS * RECORD) as u64] {
        let (files, disk_space) = (TestFiles::default(), disk_space());
        let (mut wal, _) = open(&files, &disk_space);
        wal.append(&[Bytes::from(vec![1; 5_000])]).expect("a disk that works");
        wal.rewrite(&Made::new(told)).expect("there is room");
        assert_eq!(disk_space.free(), CAPACITY - wal.length(), "{told}");
        assert_eq!(wal.length(), (RECORDS * RECORD) as u64 + RECORDS as u64 * HEADER);
    }
}
