//! An append that the disk refuses. Alone in its file: it exchanges the file behind a descriptor, which no other thread may
//! disturb.

// A descriptor is closed under the log's feet to make its write fail.
#![allow(unsafe_code)]

use std::fs::{self, File, OpenOptions};
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd, RawFd};
use std::path::Path;

use bytes::Bytes;
use rainlug_wal::{Error, Wal};

fn descriptor_of(path: &Path) -> RawFd {
    let all = fs::read_dir("/proc/self/fd").unwrap().flatten();
    let found = all.filter(|entry| fs::read_link(entry.path()).is_ok_and(|to| to == path));
    let numbers: Vec<RawFd> = found.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect();
    assert_eq!(numbers.len(), 1, "{numbers:?}");
    numbers[0]
}

/// Puts another file behind a descriptor.
fn exchange(descriptor: RawFd, path: &Path) {
    // SAFETY: the owner does not use it meanwhile, and finds an open file behind the same number after.
    drop(unsafe { OwnedFd::from_raw_fd(descriptor) });
    // The lowest free number is taken.
    let file: File = OpenOptions::new().read(true).write(true).open(path).unwrap();
    assert_eq!(file.into_raw_fd(), descriptor);
}

#[test]
fn given_a_failed_append_then_what_it_left_is_cut_off_before_the_next() {
    let dir = tempfile::tempdir().unwrap();
    let directory = dir.path().canonicalize().unwrap();
    let path = directory.join("wal");
    let (mut wal, _) = Wal::open(&directory, "wal").unwrap();
    wal.append(&[Bytes::from("kept")]).unwrap();
    let kept = fs::read(&path).unwrap();
    wal.append(&[Bytes::from("one"), Bytes::from("two")]).unwrap();
    let complete = fs::read(&path).unwrap();
    fs::write(&path, &kept).unwrap();
    drop(wal);

    let (mut wal, found) = Wal::open(&directory, "wal").unwrap();
    assert_eq!(found, ["kept"]);
    let descriptor = descriptor_of(&path);
    exchange(descriptor, Path::new("/dev/full"));
    for _ in 0..2 {
        // The second time, it is the cut to the good length that fails.
        let result = wal.append(&[Bytes::from("one"), Bytes::from("two")]);
        assert!(matches!(&result, Err(Error::Io(named, _)) if *named == path), "{result:?}");
        assert_eq!(wal.length(), kept.len() as u64);
    }
    // All of it has come to the disk, yet the append returned an error.
    fs::write(&path, &complete).unwrap();
    exchange(descriptor, &path);
    // Without the cut, "two" would stand after it.
    wal.append(&[Bytes::from("new")]).unwrap();
    assert_eq!(wal.length(), fs::metadata(&path).unwrap().len());
    drop(wal);
    assert_eq!(Wal::open(&directory, "wal").unwrap().1, ["kept", "new"]);
}
