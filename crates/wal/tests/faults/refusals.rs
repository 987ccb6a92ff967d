//! A full, refusing or stalled disk delays what is to be written, and loses nothing that was acknowledged.

use std::path::Path;
use std::sync::{Arc, mpsc};

use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, DiskSpace, Synced, Wal, Writer, WriterEvent};

use crate::disk::TestDisk;

const CAPACITY: usize = 4096;
/// Bytes before the payload of a record.
const HEADER_BYTES: usize = 20;

type Records = Vec<Bytes>;

fn record(fill: u8, length: usize) -> Records {
    vec![Bytes::from(vec![fill; length])]
}

fn limited_disk() -> TestDisk {
    let disk = TestDisk::default();
    disk.set_capacity(Some(CAPACITY));
    disk
}

fn disk_space() -> Arc<DiskSpace> {
    Arc::new(DiskSpace::new(CAPACITY as u64))
}

fn open(disk: &TestDisk, disk_space: &Arc<DiskSpace>, name: &str) -> (Wal<TestDisk>, Records) {
    Wal::open_with(disk.clone(), disk_space.clone(), Path::new("/data"), name).expect("a disk that works")
}

/// What is found after every outcome of a loss of power, if that is the same.
fn survivors(disk: &TestDisk, name: &str) -> Records {
    let mut all: Vec<Records> =
        disk.after_power_loss().iter().map(|disk| open(disk, &disk_space(), name).1).collect();
    all.dedup();
    assert_eq!(all.len(), 1, "{all:?}");
    all.remove(0)
}

fn start(wal: Wal<TestDisk>) -> (Writer, mpsc::Receiver<WriterEvent>) {
    let (sender, events) = mpsc::channel();
    (Writer::start(wal, move |event| sender.send(event).expect("the test listens")), events)
}

fn expect_synced(events: &mpsc::Receiver<WriterEvent>) -> Synced {
    match events.recv().expect("the thread runs") {
        WriterEvent::Synced(synced) => synced,
        other => panic!("{other:?}"),
    }
}

fn expect_failing(events: &mpsc::Receiver<WriterEvent>) {
    let event = events.recv().expect("the thread runs");
    assert!(matches!(event, WriterEvent::Failing(_)), "{event:?}");
}

fn expect_recovered(events: &mpsc::Receiver<WriterEvent>) {
    let event = events.recv().expect("the thread runs");
    assert!(matches!(event, WriterEvent::Recovered), "{event:?}");
}

#[test]
fn given_a_full_disk_when_appending_then_it_waits_for_space_and_fails_once() {
    let disk = limited_disk();
    let (wal, _) = open(&disk, &disk_space(), "wal");
    let (writer, events) = start(wal);
    writer.append(1, record(1, 1000));
    assert_eq!(expect_synced(&events).ticket, 1);
    writer.append(2, record(2, 4000));
    expect_failing(&events);
    // Later ones do not overtake it, and nothing is reported before it is synced.
    writer.append(3, record(3, 10));
    assert_eq!(survivors(&disk, "wal"), record(1, 1000));
    disk.set_capacity(None);
    expect_recovered(&events);
    let mut last = expect_synced(&events).ticket;
    if last == 2 {
        last = expect_synced(&events).ticket;
    }
    assert_eq!(last, 3);
    assert_eq!(survivors(&disk, "wal"), [record(1, 1000), record(2, 4000), record(3, 10)].concat());
}

#[test]
fn given_an_append_that_does_not_fit_then_it_leaves_no_bytes_behind() {
    let disk = limited_disk();
    let (mut wal, _) = open(&disk, &disk_space(), "wal");
    wal.append(&record(1, 1000)).unwrap();
    let used = disk.used();
    assert!(wal.append(&record(2, 4000)).is_err());
    assert_eq!(disk.used(), used);
    wal.append(&record(3, 2000)).unwrap();
    assert_eq!(survivors(&disk, "wal"), [record(1, 1000), record(3, 2000)].concat());
}

#[test]
fn given_no_space_for_a_rewrite_then_it_is_postponed_and_its_new_records_are_appended() {
    let disk = limited_disk();
    let (mut wal, _) = open(&disk, &disk_space(), "wal");
    wal.append(&record(1, 3000)).unwrap();
    // It is worthwhile, but there is no space for a second file.
    let records = [record(9, 1200), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Postponed);
    assert_eq!(survivors(&disk, "wal"), [record(1, 3000), record(2, 50)].concat());
    assert_eq!(disk.used(), 3050 + 2 * HEADER_BYTES);
}

#[test]
fn given_a_disk_smaller_than_its_capacity_says_then_a_rewrite_is_postponed() {
    let disk = limited_disk();
    let disk_space = Arc::new(DiskSpace::new(1 << 20));
    let (mut wal, _) = open(&disk, &disk_space, "wal");
    wal.append(&record(1, 3000)).unwrap();
    let records = [record(9, 1200), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Postponed);
    assert_eq!(disk.used(), 3050 + 2 * HEADER_BYTES, "half a rewrite takes no space");
    assert_eq!(disk_space.free(), (1 << 20) - disk.used() as u64, "its reservation is given back");
}

#[test]
fn given_a_rewrite_that_is_not_worthwhile_then_it_is_postponed() {
    let disk = limited_disk();
    let (mut wal, _) = open(&disk, &disk_space(), "wal");
    wal.append(&record(1, 500)).unwrap();
    let records = [record(9, 400), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Postponed);
    assert_eq!(wal.length(), 550 + 2 * HEADER_BYTES as u64);
    let records = [record(9, 100), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Rewritten);
    assert_eq!(survivors(&disk, "wal"), records);
}

#[test]
fn given_two_logs_on_a_disk_then_they_rewrite_only_with_space_for_both() {
    let disk = limited_disk();
    let disk_space = disk_space();
    let (mut one, _) = open(&disk, &disk_space, "one");
    let (mut two, _) = open(&disk, &disk_space, "two");
    one.append(&record(1, 1400)).unwrap();
    two.append(&record(2, 1400)).unwrap();
    assert_eq!(disk_space.free(), (CAPACITY - disk.used()) as u64);
    // 1256 bytes are free, of which 128 are reserved for appends.
    assert!(one.rewrite(&record(3, 1300)).is_err());
    assert_eq!(
        one.compact(&[record(3, 1150), record(4, 10)].concat(), 1).unwrap(),
        CompactionOutcome::Postponed
    );
    assert_eq!(
        one.compact(&[record(3, 600), record(4, 10)].concat(), 1).unwrap(),
        CompactionOutcome::Rewritten
    );
    // What the first one freed is the second one's.
    assert_eq!(
        two.compact(&[record(5, 700), record(6, 10)].concat(), 1).unwrap(),
        CompactionOutcome::Rewritten
    );
    assert_eq!(disk_space.free(), (CAPACITY - disk.used()) as u64);
    assert_eq!(survivors(&disk, "one"), [record(3, 600), record(4, 10)].concat());
    assert_eq!(survivors(&disk, "two"), [record(5, 700), record(6, 10)].concat());
}

#[test]
fn given_a_log_that_waits_for_space_when_another_frees_some_then_it_goes_on() {
    let disk = limited_disk();
    let disk_space = disk_space();
    let (mut one, _) = open(&disk, &disk_space, "one");
    let (two, _) = open(&disk, &disk_space, "two");
    one.append(&record(1, 3000)).unwrap();
    let (writer, events) = start(two);
    writer.append(1, record(2, 2000));
    expect_failing(&events);
    one.rewrite(&record(3, 100)).unwrap();
    expect_recovered(&events);
    assert_eq!(expect_synced(&events).ticket, 1);
    assert_eq!(survivors(&disk, "two"), record(2, 2000));
}

#[test]
fn given_appends_that_wait_for_space_when_a_compaction_follows_then_it_goes_first() {
    let disk = limited_disk();
    let (mut wal, _) = open(&disk, &disk_space(), "wal");
    wal.append(&record(1, 2500)).unwrap();
    let (writer, events) = start(wal);
    writer.append(2, record(2, 2000));
    expect_failing(&events);
    let compacted_to = [record(9, 300), record(3, 50)].concat();
    writer.compact(3, compacted_to.clone(), 1);
    expect_recovered(&events);
    let synced = expect_synced(&events);
    assert_eq!((synced.ticket, synced.compaction), (3, Some(CompactionOutcome::Rewritten)));
    assert_eq!(survivors(&disk, "wal"), compacted_to);
}

#[test]
fn given_a_stalled_disk_then_no_caller_waits_and_nothing_is_reported_early() {
    let disk = limited_disk();
    let (wal, _) = open(&disk, &disk_space(), "wal");
    let (writer, events) = start(wal);
    disk.set_stalled(true);
    writer.append(1, record(1, 10));
    writer.append(2, record(2, 10));
    assert!(events.try_recv().is_err());
    assert!(survivors(&disk, "wal").is_empty());
    disk.set_stalled(false);
    while expect_synced(&events).ticket < 2 {}
    assert_eq!(survivors(&disk, "wal"), [record(1, 10), record(2, 10)].concat());
}

#[test]
fn given_a_disk_that_refuses_when_it_recovers_then_the_log_is_created() {
    let disk = limited_disk();
    disk.set_refusing(true);
    let (sender, events) = mpsc::channel();
    let (opened, shared) = (disk.clone(), disk_space());
    let open_it = move || Ok(Wal::open_with(opened.clone(), shared.clone(), Path::new("/data"), "wal")?.0);
    let writer =
        Writer::open(disk_space(), open_it, move |event| sender.send(event).expect("the test listens"));
    writer.append(1, record(1, 10));
    expect_failing(&events);
    disk.set_refusing(false);
    expect_recovered(&events);
    assert_eq!(expect_synced(&events).ticket, 1);
    assert_eq!(survivors(&disk, "wal"), record(1, 10));
}

#[test]
fn given_a_disk_that_refuses_when_the_writer_is_dropped_then_its_thread_ends() {
    let disk = limited_disk();
    let (wal, _) = open(&disk, &disk_space(), "wal");
    let (writer, events) = start(wal);
    disk.set_refusing(true);
    writer.append(1, record(1, 10));
    expect_failing(&events);
    drop(writer);
    assert!(events.recv().is_err());
}

#[test]
fn given_a_log_when_it_is_removed_then_its_space_is_free_again() {
    let disk = limited_disk();
    let disk_space = disk_space();
    let (mut earlier, _) = open(&disk, &disk_space, "earlier");
    earlier.append(&record(1, 2500)).unwrap();
    let (mut later, _) = open(&disk, &disk_space, "later");
    assert!(later.compact(&record(2, 2500), 0).is_err());
    earlier.remove().unwrap();
    assert_eq!(disk_space.free(), CAPACITY as u64);
    assert_eq!(later.compact(&record(2, 2500), 0).unwrap(), CompactionOutcome::Rewritten);
    assert_eq!(disk_space.free(), (CAPACITY - disk.used()) as u64);
}

#[test]
fn given_a_log_when_it_is_opened_again_then_its_bytes_count_once() {
    let disk = limited_disk();
    let disk_space = disk_space();
    let (mut wal, _) = open(&disk, &disk_space, "wal");
    wal.append(&record(1, 1000)).unwrap();
    drop(wal);
    assert_eq!(disk_space.free(), CAPACITY as u64);
    let (_wal, records) = open(&disk, &disk_space, "wal");
    assert_eq!(records, record(1, 1000));
    assert_eq!(disk_space.free(), (CAPACITY - disk.used()) as u64);
}

/// Also where its thread is in the middle of something and has more to do.
#[test]
fn given_a_writer_with_pending_work_when_it_is_removed_then_neither_file_nor_space_stays_in_use() {
    let disk = limited_disk();
    let disk_space = disk_space();
    let (mut wal, _) = open(&disk, &disk_space, "wal");
    wal.append(&record(1, 1000)).unwrap();
    let (writer, events) = start(wal);
    disk.set_stalled(true);
    writer.append(1, record(2, 100));
    writer.compact(2, record(3, 500), 0);
    writer.remove();
    disk.set_stalled(false);
    while events.recv().is_ok() {}
    assert_eq!((disk.used(), disk_space.free()), (0, CAPACITY as u64));
}

#[test]
fn given_a_disk_that_refuses_when_a_writer_is_removed_then_its_thread_ends() {
    let disk = limited_disk();
    let disk_space = disk_space();
    let (wal, _) = open(&disk, &disk_space, "wal");
    let (writer, events) = start(wal);
    disk.set_refusing(true);
    writer.append(1, record(1, 10));
    expect_failing(&events);
    writer.remove();
    assert!(events.recv().is_err());
    assert_eq!(disk_space.free(), CAPACITY as u64);
}

/// A disk that refused and has a little space takes what fits, in order, though far more waits.
#[test]
fn given_more_appends_than_fit_then_those_that_fit_are_written() {
    const EACH: usize = 100 + HEADER_BYTES;
    const FIT: u64 = (CAPACITY / EACH) as u64;
    let disk = limited_disk();
    let (wal, _) = open(&disk, &disk_space(), "wal");
    let (writer, events) = start(wal);
    disk.set_refusing(true);
    for ticket in 1..=2 * FIT {
        writer.append(ticket, record(ticket as u8, 100));
    }
    expect_failing(&events);
    disk.set_refusing(false);
    expect_recovered(&events);
    let (mut written, mut writes) = (0, 0);
    while written < FIT {
        let synced = expect_synced(&events);
        writes += 1;
        assert!(synced.ticket > written && synced.ticket <= FIT, "{synced:?}");
        assert_eq!(synced.length, synced.ticket * EACH as u64);
        written = synced.ticket;
    }
    assert!(writes <= 10, "it takes twice as many at once after each success: {writes} writes");
    expect_failing(&events);
    disk.set_capacity(None);
    expect_recovered(&events);
    while written < 2 * FIT {
        written = expect_synced(&events).ticket;
    }
    let all: Records = (1..=2 * FIT).flat_map(|ticket| record(ticket as u8, 100)).collect();
    assert_eq!(survivors(&disk, "wal"), all);
}

/// What waits is written in parts: a short record is not expected up by many megabytes behind it.
#[test]
fn given_many_waiting_appends_then_none_is_merged_with_more_than_a_megabyte() {
    const EACH: usize = 300_000;
    const COUNT: u64 = 20;
    let disk = TestDisk::default();
    let disk_space = Arc::new(DiskSpace::new(1 << 30));
    let (wal, _) = open(&disk, &disk_space, "wal");
    let (writer, events) = start(wal);
    disk.set_stalled(true);
    for ticket in 1..=COUNT {
        writer.append(ticket, record(ticket as u8, EACH));
    }
    disk.set_stalled(false);
    let (mut written, mut length) = (0, 0);
    while written < COUNT {
        let synced = expect_synced(&events);
        assert!(synced.length - length <= 1 << 20, "{synced:?} after {length} bytes");
        (written, length) = (synced.ticket, synced.length);
    }
    assert_eq!(length, COUNT * (EACH + HEADER_BYTES) as u64);
}

/// Full during an append, during a rewrite and between, at every size of disk; power goes after each.
#[test]
fn given_a_disk_of_any_size_then_nothing_acknowledged_is_lost() {
    for capacity in 0..600 {
        let disk = TestDisk::default();
        let disk_space = Arc::new(DiskSpace::new(1 << 20));
        let (mut wal, _) = open(&disk, &disk_space, "wal");
        disk.set_capacity(Some(capacity));
        let mut expected = Records::new();
        for step in 0..12_u8 {
            let replacement = record(step, 40);
            let before = expected.clone();
            let is_done = if step % 4 == 3 {
                let compacted_to = [record(100 + step, 60), replacement.clone()].concat();
                let compacted = wal.compact(&compacted_to, 1);
                match compacted {
                    Ok(CompactionOutcome::Rewritten) => expected = compacted_to,
                    Ok(CompactionOutcome::Postponed) => expected.extend(replacement),
                    Err(_) => {}
                }
                compacted.is_ok()
            } else {
                let appended = wal.append(&replacement);
                if appended.is_ok() {
                    expected.extend(replacement);
                }
                appended.is_ok()
            };
            assert!(is_done || expected == before);
            assert_eq!(survivors(&disk, "wal"), expected, "{capacity} bytes, step {step}");
        }
        disk.set_capacity(None);
        wal.append(&record(200, 40)).unwrap();
        expected.extend(record(200, 40));
        assert_eq!(survivors(&disk, "wal"), expected, "{capacity} bytes, space again");
    }
}
