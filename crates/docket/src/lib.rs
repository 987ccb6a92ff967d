//! An append-only file of checksummed records, rewritten when long, and the thread that writes it.

use std::path::{Path, PathBuf};

use bytes::Bytes;
use quick_error::quick_error;

quick_error! {
    /// Why a docket cannot be used.
    #[derive(Debug)]
    pub enum Error {
        Io(path: PathBuf, source: std::io::Error) {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// A record that was synced is not what was written.
        Damaged(path: PathBuf, offset: u64) {
            display("{}: the record at byte {} is damaged", path.display(), offset)
        }
    }
}

pub struct Docket {}

impl Docket {
    /// Opens or creates the docket `name` in `dir` and gives its records in order.
    ///
    /// # Errors
    /// Where files cannot be used, or a synced record is damaged.
    pub fn open(_dir: &Path, _name: &str) -> Result<(Self, Vec<Bytes>), Error> {
        todo!()
    }
    /// Appends records by one write, and syncs.
    ///
    /// # Errors
    /// Where the file cannot be written; nothing of these records then counts as kept.
    pub fn append(&mut self, _records: &[Bytes]) -> Result<(), Error> {
        todo!()
    }
    /// Puts these records in place of all that is there: another file, synced, renamed over this one, the folder synced.
    ///
    /// # Errors
    /// Where that fails; the old file then stands.
    pub fn rewrite(&mut self, _records: &[Bytes]) -> Result<(), Error> {
        todo!()
    }
    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        todo!()
    }
}

/// What the thread has done: all up to `ticket` is synced, or failed.
#[derive(Debug)]
pub struct Done {
    pub ticket: u64,
    /// Bytes of the file now.
    pub length: u64,
    pub took: std::time::Duration,
    pub result: Result<(), Error>,
}

/// A thread that owns a docket: calls do not wait for the disk. Several waiting appends are written and synced as one.
pub struct Writer {}

impl Writer {
    pub fn start(_docket: Docket, _done: impl Fn(Done) + Send + 'static) -> Self {
        todo!()
    }
    pub fn append(&self, _ticket: u64, _records: Vec<Bytes>) {
        todo!()
    }
    pub fn rewrite(&self, _ticket: u64, _records: Vec<Bytes>) {
        todo!()
    }
}
