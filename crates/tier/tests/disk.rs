//! The process's disk: its identity and the logs of its shards.

use std::fs;

use bytes::Bytes;
use rainlug_tier::disk::{Disk, WriterReport};
use rainlug_wal::{Error, WriterEvent};
use tokio::sync::mpsc;

const CAPACITY: u64 = 1 << 20;

#[test]
fn given_a_new_disk_when_reopened_then_identity_and_records_are_kept() {
    let above = tempfile::tempdir().unwrap();
    let dir = above.path().join("data").join("store");
    let (sender, mut reports) = mpsc::unbounded_channel();
    let (mut disk, logs) = Disk::open(&dir, CAPACITY, 7, sender).unwrap();
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
    let (sender, _reports) = mpsc::unbounded_channel();
    let (disk, logs) = Disk::open(&dir, CAPACITY, 8, sender).unwrap();
    assert_eq!(disk.id(), 7, "the disk's, and not what was drawn now");
    assert_eq!(logs, [(1, vec![Bytes::from("a"), Bytes::from("b")])]);
}

#[test]
fn given_an_identity_file_without_a_record_when_opened_then_a_new_identity_is_stored() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("identity"), b"").unwrap();
    let (sender, _reports) = mpsc::unbounded_channel();
    let (disk, _) = Disk::open(dir.path(), CAPACITY, 9, sender).unwrap();
    assert_eq!(disk.id(), 9);
}

#[test]
fn given_a_file_in_place_of_the_folder_when_opened_then_the_error_names_it() {
    let above = tempfile::tempdir().unwrap();
    let dir = above.path().join("data");
    fs::write(&dir, b"a file").unwrap();
    let (sender, _reports) = mpsc::unbounded_channel();
    match Disk::open(&dir, CAPACITY, 9, sender) {
        Err(Error::Io(named, _)) => assert_eq!(named, dir),
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("a file is no folder"),
    }
}

#[test]
fn given_records_when_the_identity_is_renewed_then_they_are_gone_and_the_new_identity_is_kept() {
    let dir = tempfile::tempdir().unwrap();
    let (sender, mut reports) = mpsc::unbounded_channel();
    let (mut disk, _) = Disk::open(dir.path(), CAPACITY, 7, sender).unwrap();
    disk.append(1, 5, vec![Bytes::from("earlier")]);
    assert!(matches!(reports.blocking_recv(), Some(WriterReport { disk: 7, .. })));
    disk.renew_identity(8).unwrap();
    assert_eq!(disk.id(), 8);
    disk.append(1, 1, vec![Bytes::from("later")]);
    assert!(matches!(reports.blocking_recv(), Some(WriterReport { disk: 8, shard: 1, .. })));
    drop(disk);
    let (sender, _reports) = mpsc::unbounded_channel();
    let (disk, logs) = Disk::open(dir.path(), CAPACITY, 9, sender).unwrap();
    assert_eq!(disk.id(), 8);
    assert_eq!(logs, [(1, vec![Bytes::from("later")])]);
}

#[test]
fn given_records_when_the_identity_is_renewed_then_their_space_is_free_again() {
    let dir = tempfile::tempdir().unwrap();
    let (sender, mut reports) = mpsc::unbounded_channel();
    let (mut disk, _) = Disk::open(dir.path(), CAPACITY, 7, sender).unwrap();
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
