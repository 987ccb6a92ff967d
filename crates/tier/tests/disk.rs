//! The process's disk: its identity and the logs of its shards.

use std::fs;

use bytes::Bytes;
use rainlug_tier::disk::{Disk, WriterReport};
use rainlug_wal::{Error, WriterEvent};
use tokio::sync::mpsc;

const CAPACITY: u64 = 1 << 20;

#[test]
fn an_identity_is_given_once_and_records_come_back() {
    let above = tempfile::tempdir().unwrap();
    let dir = above.path().join("data").join("store");
    let (told, mut reports) = mpsc::unbounded_channel();
    let (mut disk, logs) = Disk::open(&dir, CAPACITY, 7, told).unwrap();
    assert_eq!((disk.id(), logs.len()), (7, 0));
    disk.append(1, 1, vec![Bytes::from("a")]);
    disk.append(1, 2, vec![Bytes::from("b")]);
    loop {
        match reports.blocking_recv() {
            Some(WriterReport { disk: 7, shard: 1, event: WriterEvent::Synced(done) })
                if done.ticket == 2 =>
            {
                break;
            }
            Some(WriterReport { disk: 7, shard: 1, event: WriterEvent::Synced(_) }) => {}
            other => panic!("{other:?}"),
        }
    }
    drop(disk);
    let (told, _reports) = mpsc::unbounded_channel();
    let (disk, logs) = Disk::open(&dir, CAPACITY, 8, told).unwrap();
    assert_eq!(disk.id(), 7, "the disk's, and not what was drawn now");
    assert_eq!(logs, [(1, vec![Bytes::from("a"), Bytes::from("b")])]);
}

#[test]
fn an_identity_that_lost_its_record_with_the_power_is_given_anew() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("identity"), b"").unwrap();
    let (told, _reports) = mpsc::unbounded_channel();
    let (disk, _) = Disk::open(dir.path(), CAPACITY, 9, told).unwrap();
    assert_eq!(disk.id(), 9);
}

#[test]
fn a_folder_that_cannot_be_made_is_named() {
    let above = tempfile::tempdir().unwrap();
    let dir = above.path().join("data");
    fs::write(&dir, b"a file").unwrap();
    let (told, _reports) = mpsc::unbounded_channel();
    match Disk::open(&dir, CAPACITY, 9, told) {
        Err(Error::Io(named, _)) => assert_eq!(named, dir),
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("a file is no folder"),
    }
}

#[test]
fn a_disk_that_gets_another_identity_has_nothing_of_the_earlier_one_and_keeps_the_new_one() {
    let dir = tempfile::tempdir().unwrap();
    let (told, mut reports) = mpsc::unbounded_channel();
    let (mut disk, _) = Disk::open(dir.path(), CAPACITY, 7, told).unwrap();
    disk.append(1, 5, vec![Bytes::from("earlier")]);
    assert!(matches!(reports.blocking_recv(), Some(WriterReport { disk: 7, .. })));
    disk.renew_identity(8).unwrap();
    assert_eq!(disk.id(), 8);
    disk.append(1, 1, vec![Bytes::from("later")]);
    assert!(matches!(reports.blocking_recv(), Some(WriterReport { disk: 8, shard: 1, .. })));
    drop(disk);
    let (told, _reports) = mpsc::unbounded_channel();
    let (disk, logs) = Disk::open(dir.path(), CAPACITY, 9, told).unwrap();
    assert_eq!(disk.id(), 8);
    assert_eq!(logs, [(1, vec![Bytes::from("later")])]);
}

#[test]
fn a_disk_that_gets_another_identity_has_all_its_space_again() {
    let dir = tempfile::tempdir().unwrap();
    let (told, mut reports) = mpsc::unbounded_channel();
    let (mut disk, _) = Disk::open(dir.path(), CAPACITY, 7, told).unwrap();
    disk.append(1, 1, vec![Bytes::from(vec![1; 1000])]);
    assert!(matches!(reports.blocking_recv(), Some(WriterReport { disk: 7, .. })));
    let space = disk.space().clone();
    assert!(space.free() <= CAPACITY - 1000);
    disk.renew_identity(8).unwrap();
    drop(disk);
    while reports.blocking_recv().is_some() {}
    assert_eq!(space.free(), CAPACITY, "once the earlier log's thread has ended");
    assert!(!dir.path().join("part-1").exists());
}
