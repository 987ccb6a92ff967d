//! The log: opening, appending and rewriting a file of records.

use std::io::{self, BufReader, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;

use crate::record::{self, HEADER};
use crate::source::{encoded_length, records_from};
use crate::{DiskSpace, Error, FileSystem, OsFileSystem, RecordSource, compaction};

/// Bytes that are collected before they are written, and read at once.
const BUFFER: usize = 1 << 20;

/// What became of a request to compact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionOutcome {
    /// The records stand in place of all that was there.
    Rewritten,
    /// The old records stand, followed by those that they did not imply.
    Postponed,
}

/// A file of records, open for appending. One process at a time may have it. Its bytes count in the disk's room until it is dropped.
pub struct Wal<F: FileSystem = OsFileSystem> {
    files: F,
    disk_space: Arc<DiskSpace>,
    directory: PathBuf,
    path: PathBuf,
    file: F::File,
    /// Bytes of whole, synced records.
    length: u64,
    /// Something may stand after `length`: an append failed.
    is_tail_dirty: bool,
    /// The file was renamed into place and the folder could not be synced yet.
    is_folder_dirty: bool,
}

impl Wal {
    /// Opens or creates the log `name` in `dir` and gives its records in order. What a loss of power left of the last append is
    /// cut off, and what it left of a rewrite is removed. All that it gives is synced.
    ///
    /// # Errors
    /// Where files cannot be used, or a synced record is damaged.
    pub fn open(dir: &Path, name: &str) -> Result<(Self, Vec<Bytes>), Error> {
        Wal::open_with(OsFileSystem, Arc::new(DiskSpace::new(u64::MAX)), dir, name)
    }
}

impl<F: FileSystem> Wal<F> {
    /// As [`Wal::open`], with files and room of its own.
    ///
    /// # Errors
    /// As [`Wal::open`].
    pub fn open_with(
        files: F,
        disk_space: Arc<DiskSpace>,
        dir: &Path,
        name: &str,
    ) -> Result<(Self, Vec<Bytes>), Error> {
        let path = dir.join(name);
        let at = |source| Error::Io(path.clone(), source);
        match files.remove(&fresh_path(&path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(Error::Io(fresh_path(&path), e)),
            _ => {}
        }
        let file = files.open(&path, false).map_err(at)?;
        let size = files.length(&file).map_err(at)?;
        let (records, length) = read_all(&files, &file, size).map_err(at)?;
        if length < size {
            let tail = read_from(&files, &file, length).map_err(at)?;
            if record::is_followed(&tail, length) {
                return Err(Error::Damaged(path, length));
            }
            files.set_length(&file, length).map_err(at)?;
        }
        // An earlier process may have ended between a write or a rename and its sync: what is given here has to last.
        files.sync(&file).map_err(at)?;
        files.sync_directory(dir).map_err(|e| Error::Io(dir.to_path_buf(), e))?;
        disk_space.add(length);
        let directory = dir.to_path_buf();
        let wal = Wal {
            files,
            disk_space,
            directory,
            path,
            file,
            length,
            is_tail_dirty: false,
            is_folder_dirty: false,
        };
        Ok((wal, records))
    }

    /// Appends records as one batch, and syncs. No records: nothing is done.
    ///
    /// # Errors
    /// Where the file cannot be written; nothing of these records then counts as kept.
    pub fn append(&mut self, records: &[Bytes]) -> Result<(), Error> {
        self.tidy()?;
        if records.is_empty() {
            return Ok(());
        }
        self.is_tail_dirty = true;
        let start = self.length;
        let written = write_records(&self.files, &self.file, start, records_from(records, 0), |_| start)
            .and_then(|end| self.files.sync(&self.file).map(|()| end));
        match written {
            Ok(end) => {
                self.is_tail_dirty = false;
                self.length = end;
                self.disk_space.add(end - start);
                Ok(())
            }
            Err(error) => {
                // What was written takes room that others may need; if the cut fails too, it is made before the next append.
                let _ = self.tidy();
                Err(self.failed(error))
            }
        }
    }

    /// Puts these records in place of all that is there: another file, synced, renamed over this one, the folder synced.
    ///
    /// # Errors
    /// Where that fails or there is no room beside the old file, which then stands. Only where the folder's sync alone failed,
    /// the new one does, and that sync is tried again before the next append.
    pub fn rewrite<S: RecordSource + ?Sized>(&mut self, records: &S) -> Result<(), Error> {
        self.rewrite_leaving(records, 0)
    }

    /// Compacts the log to these records. The first `implied` of them follow from what it holds: if a rewrite does not pay, has no
    /// room or fails, only the others are appended.
    ///
    /// # Errors
    /// Where that cannot be appended either, or there are no implied records and [`Wal::rewrite`] fails.
    pub fn compact<S: RecordSource + ?Sized>(
        &mut self,
        records: &S,
        implied: usize,
    ) -> Result<CompactionOutcome, Error> {
        if implied == 0 {
            return self.rewrite(records).map(|()| CompactionOutcome::Rewritten);
        }
        if self.is_rewrite_worthwhile(encoded_length(records))
            && self.rewrite_leaving(records, self.disk_space.reserved_for_appends()).is_ok()
        {
            return Ok(CompactionOutcome::Rewritten);
        }
        self.append(&records_from(records, implied).collect::<Vec<_>>())?;
        Ok(CompactionOutcome::Postponed)
    }

    /// Whether a rewrite to so many bytes is worth its writes.
    fn is_rewrite_worthwhile(&self, rewritten: u64) -> bool {
        let is_disk_half_full = self.disk_space.free() < self.disk_space.capacity() / 2;
        compaction::should_compact(self.length, rewritten, is_disk_half_full)
    }

    fn rewrite_leaving<S: RecordSource + ?Sized>(
        &mut self,
        records: &S,
        left_free: u64,
    ) -> Result<(), Error> {
        let fresh = fresh_path(&self.path);
        let reserved = encoded_length(records);
        if !self.disk_space.reserve(reserved, left_free) {
            return Err(Error::Io(fresh, io::ErrorKind::StorageFull.into()));
        }
        match self.put_in_place(&fresh, records) {
            Ok((file, length)) => {
                self.disk_space.settle(reserved, length);
                self.disk_space.release(self.length);
                self.file = file;
                self.length = length;
                self.is_tail_dirty = false;
                self.is_folder_dirty = true;
                self.tidy()
            }
            Err(error) => {
                // Half a file is only in the way; if it stays, the next rewrite empties it and the next start removes it.
                let _ = self.files.remove(&fresh);
                self.disk_space.release(reserved);
                Err(Error::Io(fresh, error))
            }
        }
    }

    /// Writes and syncs a fresh file, and renames it over the log's.
    fn put_in_place<S: RecordSource + ?Sized>(
        &self,
        fresh: &Path,
        records: &S,
    ) -> io::Result<(F::File, u64)> {
        let file = self.files.open(fresh, true)?;
        // Each a batch of its own: as the file gets its name only once synced, none of them can be torn.
        let length = write_records(&self.files, &file, 0, records_from(records, 0), |offset| offset)?;
        self.files.sync(&file)?;
        self.files.rename(fresh, &self.path)?;
        Ok((file, length))
    }

    /// Removes the file. Its bytes leave the room, as those of any log that is dropped.
    ///
    /// # Errors
    /// Where the file cannot be removed. One that is no longer there is none.
    pub fn remove(self) -> Result<(), Error> {
        match self.files.remove(&self.path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(self.failed(error)),
            _ => Ok(()),
        }
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The room of its disk.
    pub fn disk_space(&self) -> &Arc<DiskSpace> {
        &self.disk_space
    }

    /// Makes good what an earlier failure left.
    fn tidy(&mut self) -> Result<(), Error> {
        if self.is_folder_dirty {
            self.files.sync_directory(&self.directory).map_err(|e| Error::Io(self.directory.clone(), e))?;
            self.is_folder_dirty = false;
        }
        if self.is_tail_dirty {
            self.files.set_length(&self.file, self.length).map_err(|e| self.failed(e))?;
            self.files.sync(&self.file).map_err(|e| self.failed(e))?;
            self.is_tail_dirty = false;
        }
        Ok(())
    }

    fn failed(&self, source: io::Error) -> Error {
        Error::Io(self.path.clone(), source)
    }
}

/// A log counts in its disk's room for as long as it is open.
impl<F: FileSystem> Drop for Wal<F> {
    fn drop(&mut self) {
        self.disk_space.release(self.length);
    }
}

/// Where a rewrite is written before it gets the log's name.
fn fresh_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    name.into()
}

/// Writes records from an offset on, each with the number of its batch, and gives the offset behind them.
fn write_records<F: FileSystem>(
    files: &F,
    file: &F::File,
    start: u64,
    records: impl Iterator<Item = Bytes>,
    batch_at: impl Fn(u64) -> u64,
) -> io::Result<u64> {
    let mut written = start;
    let mut offset = start;
    let mut buffer = Vec::new();
    for payload in records {
        if buffer.len() + HEADER + payload.len() > BUFFER {
            files.write_all_at(file, &buffer, written)?;
            written = offset;
            buffer.clear();
        }
        buffer.extend_from_slice(&record::header(offset, batch_at(offset), &payload)?);
        offset += (HEADER + payload.len()) as u64;
        if payload.len() < BUFFER {
            buffer.extend_from_slice(&payload);
            continue;
        }
        // Too long to be worth a copy.
        files.write_all_at(file, &buffer, written)?;
        files.write_all_at(file, &payload, written + buffer.len() as u64)?;
        written = offset;
        buffer.clear();
    }
    files.write_all_at(file, &buffer, written)?;
    Ok(offset)
}

/// A file read from an offset on.
struct Cursor<'a, F: FileSystem> {
    files: &'a F,
    file: &'a F::File,
    offset: u64,
}

impl<F: FileSystem> Read for Cursor<'_, F> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.files.read_at(self.file, buffer, self.offset)?;
        self.offset += count as u64;
        Ok(count)
    }
}

/// The whole records at the start of a file of this size, and the offset behind them.
fn read_all<F: FileSystem>(files: &F, file: &F::File, size: u64) -> io::Result<(Vec<Bytes>, u64)> {
    let mut reader = BufReader::with_capacity(BUFFER, Cursor { files, file, offset: 0 });
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(payload) = record::read(&mut reader, offset, size - offset)? {
        offset += (HEADER + payload.len()) as u64;
        records.push(payload);
    }
    Ok((records, offset))
}

fn read_from<F: FileSystem>(files: &F, file: &F::File, offset: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    Cursor { files, file, offset }.read_to_end(&mut bytes)?;
    Ok(bytes)
}
