//! A full, refusing or stalled disk holds up what is to be kept, and loses nothing that was acknowledged.

use std::path::Path;
use std::sync::{Arc, mpsc};

use bytes::Bytes;
use rainlug_wal::{CompactionOutcome, DiskSpace, Synced, Wal, Writer, WriterEvent};

use crate::files::TestFiles;

const CAPACITY: usize = 4096;
/// Bytes before the payload of a record.
const HEADER: usize = 20;

type Records = Vec<Bytes>;

fn record(fill: u8, length: usize) -> Records {
    vec![Bytes::from(vec![fill; length])]
}

fn limited() -> TestFiles {
    let files = TestFiles::default();
    files.set_capacity(Some(CAPACITY));
    files
}

fn disk_space() -> Arc<DiskSpace> {
    Arc::new(DiskSpace::new(CAPACITY as u64))
}

fn open(files: &TestFiles, disk_space: &Arc<DiskSpace>, name: &str) -> (Wal<TestFiles>, Records) {
    Wal::open_with(files.clone(), disk_space.clone(), Path::new("/data"), name).expect("a disk that works")
}

/// What is found after every outcome of a loss of power, if that is the same.
fn survivors(files: &TestFiles, name: &str) -> Records {
    let mut all: Vec<Records> =
        files.after_power_loss().iter().map(|disk| open(disk, &disk_space(), name).1).collect();
    all.dedup();
    assert_eq!(all.len(), 1, "{all:?}");
    all.remove(0)
}

fn started(wal: Wal<TestFiles>) -> (Writer, mpsc::Receiver<WriterEvent>) {
    let (told, reports) = mpsc::channel();
    (Writer::start(wal, move |report| told.send(report).expect("the test listens")), reports)
}

fn done(reports: &mpsc::Receiver<WriterEvent>) -> Synced {
    match reports.recv().expect("the thread lives") {
        WriterEvent::Synced(done) => done,
        other => panic!("{other:?}"),
    }
}

fn failing(reports: &mpsc::Receiver<WriterEvent>) {
    let report = reports.recv().expect("the thread lives");
    assert!(matches!(report, WriterEvent::Failing(_)), "{report:?}");
}

fn recovered(reports: &mpsc::Receiver<WriterEvent>) {
    let report = reports.recv().expect("the thread lives");
    assert!(matches!(report, WriterEvent::Recovered), "{report:?}");
}

#[test]
fn an_append_waits_for_room_and_is_told_of_once() {
    let files = limited();
    let (wal, _) = open(&files, &disk_space(), "wal");
    let (writer, reports) = started(wal);
    writer.append(1, record(1, 1000));
    assert_eq!(done(&reports).ticket, 1);
    writer.append(2, record(2, 4000));
    failing(&reports);
    // Later ones do not overtake it, and nothing is told of before it is kept.
    writer.append(3, record(3, 10));
    assert_eq!(survivors(&files, "wal"), record(1, 1000));
    files.set_capacity(None);
    recovered(&reports);
    let mut last = done(&reports).ticket;
    if last == 2 {
        last = done(&reports).ticket;
    }
    assert_eq!(last, 3);
    assert_eq!(survivors(&files, "wal"), [record(1, 1000), record(2, 4000), record(3, 10)].concat());
}

#[test]
fn what_does_not_fit_leaves_no_bytes_behind() {
    let files = limited();
    let (mut wal, _) = open(&files, &disk_space(), "wal");
    wal.append(&record(1, 1000)).unwrap();
    let used = files.used();
    assert!(wal.append(&record(2, 4000)).is_err());
    assert_eq!(files.used(), used);
    wal.append(&record(3, 2000)).unwrap();
    assert_eq!(survivors(&files, "wal"), [record(1, 1000), record(3, 2000)].concat());
}

#[test]
fn a_rewrite_without_room_is_put_off_and_its_new_records_are_appended() {
    let files = limited();
    let (mut wal, _) = open(&files, &disk_space(), "wal");
    wal.append(&record(1, 3000)).unwrap();
    // It pays, but the copy has no room beside the file.
    let records = [record(9, 1200), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Postponed);
    assert_eq!(survivors(&files, "wal"), [record(1, 3000), record(2, 50)].concat());
    assert_eq!(files.used(), 3050 + 2 * HEADER);
}

#[test]
fn a_disk_smaller_than_told_puts_a_rewrite_off_too() {
    let files = limited();
    let disk_space = Arc::new(DiskSpace::new(1 << 20));
    let (mut wal, _) = open(&files, &disk_space, "wal");
    wal.append(&record(1, 3000)).unwrap();
    let records = [record(9, 1200), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Postponed);
    assert_eq!(files.used(), 3050 + 2 * HEADER, "half a rewrite takes no room");
    assert_eq!(disk_space.free(), (1 << 20) - files.used() as u64, "its reservation is given back");
}

#[test]
fn a_rewrite_that_does_not_pay_is_put_off() {
    let files = limited();
    let (mut wal, _) = open(&files, &disk_space(), "wal");
    wal.append(&record(1, 500)).unwrap();
    let records = [record(9, 400), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Postponed);
    assert_eq!(wal.length(), 550 + 2 * HEADER as u64);
    let records = [record(9, 100), record(2, 50)].concat();
    assert_eq!(wal.compact(&records, 1).unwrap(), CompactionOutcome::Rewritten);
    assert_eq!(survivors(&files, "wal"), records);
}

#[test]
fn two_logs_of_a_disk_rewrite_only_with_room_for_both() {
    let files = limited();
    let disk_space = disk_space();
    let (mut one, _) = open(&files, &disk_space, "one");
    let (mut two, _) = open(&files, &disk_space, "two");
    one.append(&record(1, 1400)).unwrap();
    two.append(&record(2, 1400)).unwrap();
    assert_eq!(disk_space.free(), (CAPACITY - files.used()) as u64);
    // 1256 bytes are free, of which 128 are kept back.
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
    assert_eq!(disk_space.free(), (CAPACITY - files.used()) as u64);
    assert_eq!(survivors(&files, "one"), [record(3, 600), record(4, 10)].concat());
    assert_eq!(survivors(&files, "two"), [record(5, 700), record(6, 10)].concat());
}

#[test]
fn room_that_one_log_frees_lets_another_go_on() {
    let files = limited();
    let disk_space = disk_space();
    let (mut one, _) = open(&files, &disk_space, "one");
    let (two, _) = open(&files, &disk_space, "two");
    one.append(&record(1, 3000)).unwrap();
    let (writer, reports) = started(two);
    writer.append(1, record(2, 2000));
    failing(&reports);
    one.rewrite(&record(3, 100)).unwrap();
    recovered(&reports);
    assert_eq!(done(&reports).ticket, 1);
    assert_eq!(survivors(&files, "two"), record(2, 2000));
}

#[test]
fn a_later_rewrite_makes_room_for_itself_where_appends_wait() {
    let files = limited();
    let (mut wal, _) = open(&files, &disk_space(), "wal");
    wal.append(&record(1, 2500)).unwrap();
    let (writer, reports) = started(wal);
    writer.append(2, record(2, 2000));
    failing(&reports);
    let whole = [record(9, 300), record(3, 50)].concat();
    writer.compact(3, whole.clone(), 1);
    recovered(&reports);
    let told = done(&reports);
    assert_eq!((told.ticket, told.compaction), (3, Some(CompactionOutcome::Rewritten)));
    assert_eq!(survivors(&files, "wal"), whole);
}

#[test]
fn a_stalled_disk_holds_up_no_caller_and_is_told_of_nothing_early() {
    let files = limited();
    let (wal, _) = open(&files, &disk_space(), "wal");
    let (writer, reports) = started(wal);
    files.set_stalled(true);
    writer.append(1, record(1, 10));
    writer.append(2, record(2, 10));
    assert!(reports.try_recv().is_err());
    assert!(survivors(&files, "wal").is_empty());
    files.set_stalled(false);
    while done(&reports).ticket < 2 {}
    assert_eq!(survivors(&files, "wal"), [record(1, 10), record(2, 10)].concat());
}

#[test]
fn a_log_is_made_once_the_disk_lets_it() {
    let files = limited();
    files.set_refusing(true);
    let (told, reports) = mpsc::channel();
    let (disk, shared) = (files.clone(), disk_space());
    let open_it = move || Ok(Wal::open_with(disk.clone(), shared.clone(), Path::new("/data"), "wal")?.0);
    let writer =
        Writer::open(disk_space(), open_it, move |report| told.send(report).expect("the test listens"));
    writer.append(1, record(1, 10));
    failing(&reports);
    files.set_refusing(false);
    recovered(&reports);
    assert_eq!(done(&reports).ticket, 1);
    assert_eq!(survivors(&files, "wal"), record(1, 10));
}

#[test]
fn a_thread_that_nobody_waits_for_ends_on_a_disk_that_refuses() {
    let files = limited();
    let (wal, _) = open(&files, &disk_space(), "wal");
    let (writer, reports) = started(wal);
    files.set_refusing(true);
    writer.append(1, record(1, 10));
    failing(&reports);
    drop(writer);
    assert!(reports.recv().is_err());
}

#[test]
fn a_log_that_is_removed_gives_its_room_back() {
    let files = limited();
    let disk_space = disk_space();
    let (mut earlier, _) = open(&files, &disk_space, "earlier");
    earlier.append(&record(1, 2500)).unwrap();
    let (mut later, _) = open(&files, &disk_space, "later");
    assert!(later.compact(&record(2, 2500), 0).is_err());
    earlier.remove().unwrap();
    assert_eq!(disk_space.free(), CAPACITY as u64);
    assert_eq!(later.compact(&record(2, 2500), 0).unwrap(), CompactionOutcome::Rewritten);
    assert_eq!(disk_space.free(), (CAPACITY - files.used()) as u64);
}

#[test]
fn a_log_that_is_opened_again_counts_once() {
    let files = limited();
    let disk_space = disk_space();
    let (mut wal, _) = open(&files, &disk_space, "wal");
    wal.append(&record(1, 1000)).unwrap();
    drop(wal);
    assert_eq!(disk_space.free(), CAPACITY as u64);
    let (_wal, records) = open(&files, &disk_space, "wal");
    assert_eq!(records, record(1, 1000));
    assert_eq!(disk_space.free(), (CAPACITY - files.used()) as u64);
}

/// Also where its thread is in the middle of something and has more to do.
#[test]
fn a_log_given_up_leaves_neither_file_nor_room_behind() {
    let files = limited();
    let disk_space = disk_space();
    let (mut wal, _) = open(&files, &disk_space, "wal");
    wal.append(&record(1, 1000)).unwrap();
    let (writer, reports) = started(wal);
    files.set_stalled(true);
    writer.append(1, record(2, 100));
    writer.compact(2, record(3, 500), 0);
    writer.remove();
    files.set_stalled(false);
    while reports.recv().is_ok() {}
    assert_eq!((files.used(), disk_space.free()), (0, CAPACITY as u64));
}

#[test]
fn a_log_given_up_on_a_disk_that_refuses_lets_its_thread_end() {
    let files = limited();
    let disk_space = disk_space();
    let (wal, _) = open(&files, &disk_space, "wal");
    let (writer, reports) = started(wal);
    files.set_refusing(true);
    writer.append(1, record(1, 10));
    failing(&reports);
    writer.remove();
    assert!(reports.recv().is_err());
    assert_eq!(disk_space.free(), CAPACITY as u64);
}

/// A disk that refused and has a little room takes what fits, in order, though far more waits.
#[test]
fn appends_that_fit_are_written_though_more_waits_than_fits() {
    const EACH: usize = 100 + HEADER;
    const FIT: u64 = (CAPACITY / EACH) as u64;
    let files = limited();
    let (wal, _) = open(&files, &disk_space(), "wal");
    let (writer, reports) = started(wal);
    files.set_refusing(true);
    for ticket in 1..=2 * FIT {
        writer.append(ticket, record(ticket as u8, 100));
    }
    failing(&reports);
    files.set_refusing(false);
    recovered(&reports);
    let (mut written, mut writes) = (0, 0);
    while written < FIT {
        let told = done(&reports);
        writes += 1;
        assert!(told.ticket > written && told.ticket <= FIT, "{told:?}");
        assert_eq!(told.length, told.ticket * EACH as u64);
        written = told.ticket;
    }
    assert!(writes <= 10, "it takes twice as many at once after each success: {writes} writes");
    failing(&reports);
    files.set_capacity(None);
    recovered(&reports);
    while written < 2 * FIT {
        written = done(&reports).ticket;
    }
    let all: Records = (1..=2 * FIT).flat_map(|ticket| record(ticket as u8, 100)).collect();
    assert_eq!(survivors(&files, "wal"), all);
}

/// What waits is written in parts: a short record is not held up by many megabytes behind it.
#[test]
fn no_append_is_merged_with_more_than_a_megabyte() {
    const EACH: usize = 300_000;
    const COUNT: u64 = 20;
    let files = TestFiles::default();
    let disk_space = Arc::new(DiskSpace::new(1 << 30));
    let (wal, _) = open(&files, &disk_space, "wal");
    let (writer, reports) = started(wal);
    files.set_stalled(true);
    for ticket in 1..=COUNT {
        writer.append(ticket, record(ticket as u8, EACH));
    }
    files.set_stalled(false);
    let (mut written, mut length) = (0, 0);
    while written < COUNT {
        let told = done(&reports);
        assert!(told.length - length <= 1 << 20, "{told:?} after {length} bytes");
        (written, length) = (told.ticket, told.length);
    }
    assert_eq!(length, COUNT * (EACH + HEADER) as u64);
}

/// Full during an append, during a rewrite and between, at every size of disk; power goes after each.
#[test]
fn no_size_of_disk_loses_what_was_acknowledged() {
    for capacity in 0..600 {
        let files = TestFiles::default();
        let disk_space = Arc::new(DiskSpace::new(1 << 20));
        let (mut wal, _) = open(&files, &disk_space, "wal");
        files.set_capacity(Some(capacity));
        let mut held = Records::new();
        for step in 0..12_u8 {
            let fresh = record(step, 40);
            let before = held.clone();
            let kept = if step % 4 == 3 {
                let whole = [record(100 + step, 60), fresh.clone()].concat();
                let compacted = wal.compact(&whole, 1);
                match compacted {
                    Ok(CompactionOutcome::Rewritten) => held = whole,
                    Ok(CompactionOutcome::Postponed) => held.extend(fresh),
                    Err(_) => {}
                }
                compacted.is_ok()
            } else {
                let appended = wal.append(&fresh);
                if appended.is_ok() {
                    held.extend(fresh);
                }
                appended.is_ok()
            };
            assert!(kept || held == before);
            assert_eq!(survivors(&files, "wal"), held, "{capacity} bytes, step {step}");
        }
        files.set_capacity(None);
        wal.append(&record(200, 40)).unwrap();
        held.extend(record(200, 40));
        assert_eq!(survivors(&files, "wal"), held, "{capacity} bytes, room again");
    }
}
