//! The log itself: opening, appending to and rewriting a file of records.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;

use crate::record::is_followed_by_later_batch;
use crate::record_io::{read_records, read_tail, write_records};
use crate::record_source::{encoded_bytes, records_from};
use crate::{DiskSpace, Error, FileSystem, OsFileSystem, RecordSource, compaction};

/// What became of a request to compact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionOutcome {
    /// The log holds the given records and nothing else.
    Rewritten,
    /// The log holds its earlier records, followed by those of the given ones that they did not imply.
    Postponed,
}

/// A file of records, open for appending. Only one process at a time may have a file open. Its bytes count in its
/// [`DiskSpace`] until it is dropped.
pub struct Wal<F: FileSystem = OsFileSystem> {
    file_system: F,
    disk_space: Arc<DiskSpace>,
    directory: PathBuf,
    path: PathBuf,
    file: F::File,
    /// Bytes of complete, synced records.
    length: u64,
    /// Bytes of a failed append may stand behind `length`.
    is_tail_dirty: bool,
    /// The file was renamed to its name and the directory is not synced yet.
    is_directory_dirty: bool,
}

impl Wal {
    /// Opens or creates the log `name` in the directory `dir`, on a disk without a limit, and returns its records in order. Cuts
    /// off a torn tail and removes what is left of an unfinished rewrite. All that it returns is synced.
    ///
    /// # Errors
    /// Where files cannot be used, or a synced record is damaged.
    pub fn open(dir: &Path, name: &str) -> Result<(Self, Vec<Bytes>), Error> {
        Wal::open_with(OsFileSystem, Arc::new(DiskSpace::new(u64::MAX)), dir, name)
    }
}

impl<F: FileSystem> Wal<F> {
    /// As [`Wal::open`], on a file system whose space is accounted for in `disk_space`.
    ///
    /// # Errors
    /// As [`Wal::open`].
    pub fn open_with(
        file_system: F,
        disk_space: Arc<DiskSpace>,
        dir: &Path,
        name: &str,
    ) -> Result<(Self, Vec<Bytes>), Error> {
        let path = dir.join(name);
        let io_error = |source| Error::Io(path.clone(), source);
        let replacement = replacement_path(&path);
        match file_system.remove(&replacement) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(Error::Io(replacement, error));
            }
            _ => {}
        }
        let file = file_system.open(&path, false).map_err(io_error)?;
        let size = file_system.length(&file).map_err(io_error)?;
        let (records, length) = read_records(&file_system, &file, size).map_err(io_error)?;
        if length < size {
            let tail = read_tail(&file_system, &file, length).map_err(io_error)?;
            if is_followed_by_later_batch(&tail, length) {
                return Err(Error::Damaged(path, length));
            }
            file_system.set_length(&file, length).map_err(io_error)?;
        }
        // An earlier process may have ended between a write or a rename and its sync, and the caller acts on what is returned.
        file_system.sync(&file).map_err(io_error)?;
        file_system.sync_directory(dir).map_err(|error| Error::Io(dir.to_path_buf(), error))?;
        disk_space.add(length);
        let wal = Wal {
            file_system,
            disk_space,
            directory: dir.to_path_buf(),
            path,
            file,
            length,
            is_tail_dirty: false,
            is_directory_dirty: false,
        };
        Ok((wal, records))
    }

    /// Appends records as one batch, and syncs them. Without records, it only repairs what an earlier failure left.
    ///
    /// # Errors
    /// Where the file cannot be written or synced; none of these records then counts as kept.
    pub fn append(&mut self, records: &[Bytes]) -> Result<(), Error> {
        self.repair()?;
        if records.is_empty() {
            return Ok(());
        }
        self.is_tail_dirty = true;
        let start = self.length;
        let written =
            write_records(&self.file_system, &self.file, start, records_from(records, 0), |_| start)
                .and_then(|end| self.file_system.sync(&self.file).map(|()| end));
        match written {
            Ok(end) => {
                self.is_tail_dirty = false;
                self.length = end;
                self.disk_space.add(end - start);
                Ok(())
            }
            Err(error) => {
                // What was written takes space that others may need; if the cut fails too, the next append repeats it.
                let _ = self.repair();
                Err(self.io_error(error))
            }
        }
    }

    /// Replaces all records: writes a second file, syncs it, renames it over this one and syncs the directory.
    ///
    /// # Errors
    /// Where that fails or there is no space beside the old file, which then stands. Only where the directory's sync alone failed,
    /// the new one does, and that sync is repeated before the next append.
    pub fn rewrite<S: RecordSource + ?Sized>(&mut self, records: &S) -> Result<(), Error> {
        self.rewrite_keeping_free(records, 0)
    }

    /// Compacts the log to these records, the first `implied` of which follow from what it holds. If the rewrite is not
    /// [worth it](compaction::should_compact), has no space or fails, only the records behind those are appended.
    ///
    /// # Errors
    /// Where they cannot be appended either, or there are no implied records and [`Wal::rewrite`] fails.
    pub fn compact<S: RecordSource + ?Sized>(
        &mut self,
        records: &S,
        implied: usize,
    ) -> Result<CompactionOutcome, Error> {
        if implied == 0 {
            return self.rewrite(records).map(|()| CompactionOutcome::Rewritten);
        }
        if self.should_compact_to(encoded_bytes(records))
            && self.rewrite_keeping_free(records, self.disk_space.reserved_for_appends()).is_ok()
        {
            return Ok(CompactionOutcome::Rewritten);
        }
        self.append(&records_from(records, implied).collect::<Vec<_>>())?;
        Ok(CompactionOutcome::Postponed)
    }

    fn should_compact_to(&self, rewritten: u64) -> bool {
        let is_disk_half_full = self.disk_space.free() < self.disk_space.capacity() / 2;
        compaction::should_compact(self.length, rewritten, is_disk_half_full)
    }

    /// Rewrites the log if `min_free` bytes of the disk stay free while both files are there.
    fn rewrite_keeping_free<S: RecordSource + ?Sized>(
        &mut self,
        records: &S,
        min_free: u64,
    ) -> Result<(), Error> {
        let replacement = replacement_path(&self.path);
        let reserved = encoded_bytes(records);
        if !self.disk_space.reserve(reserved, min_free) {
            return Err(Error::Io(replacement, io::ErrorKind::StorageFull.into()));
        }
        match self.write_replacement(&replacement, records) {
            Ok((file, length)) => {
                self.disk_space.commit_reservation(reserved, length);
                self.disk_space.release(self.length);
                self.file = file;
                self.length = length;
                self.is_tail_dirty = false;
                self.is_directory_dirty = true;
                self.repair()
            }
            Err(error) => {
                // Half a file only takes space; if it stays, the next rewrite empties it and the next start removes it.
                let _ = self.file_system.remove(&replacement);
                self.disk_space.release(reserved);
                Err(Error::Io(replacement, error))
            }
        }
    }

    /// Writes and syncs the file that replaces the log's, and renames it over that one; the new file and its length.
    fn write_replacement<S: RecordSource + ?Sized>(
        &self,
        replacement: &Path,
        records: &S,
    ) -> io::Result<(F::File, u64)> {
        let file = self.file_system.open(replacement, true)?;
        // Each record is a batch of its own: as the file gets its name only once it is synced, none of them can be torn.
        let length = write_records(&self.file_system, &file, 0, records_from(records, 0), |offset| offset)?;
        self.file_system.sync(&file)?;
        self.file_system.rename(replacement, &self.path)?;
        Ok((file, length))
    }

    /// Removes the file. Its bytes leave the disk space, as those of any log that is dropped. The removal is not synced: after a
    /// loss of power the file may be back.
    ///
    /// # Errors
    /// Where the file cannot be removed. One that is no longer there counts as removed.
    pub fn remove(self) -> Result<(), Error> {
        match self.file_system.remove(&self.path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(self.io_error(error)),
            _ => Ok(()),
        }
    }

    /// Bytes of the file's complete, synced records.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The space of the disk that the log is on.
    pub fn disk_space(&self) -> &Arc<DiskSpace> {
        &self.disk_space
    }

    /// Repeats what an earlier failure left undone: the directory's sync, and the cut behind the last synced record.
    fn repair(&mut self) -> Result<(), Error> {
        if self.is_directory_dirty {
            let synced = self.file_system.sync_directory(&self.directory);
            synced.map_err(|error| Error::Io(self.directory.clone(), error))?;
            self.is_directory_dirty = false;
        }
        if self.is_tail_dirty {
            self.file_system.set_length(&self.file, self.length).map_err(|error| self.io_error(error))?;
            self.file_system.sync(&self.file).map_err(|error| self.io_error(error))?;
            self.is_tail_dirty = false;
        }
        Ok(())
    }

    fn io_error(&self, source: io::Error) -> Error {
        Error::Io(self.path.clone(), source)
    }
}

impl<F: FileSystem> Drop for Wal<F> {
    fn drop(&mut self) {
        self.disk_space.release(self.length);
    }
}

/// Where a rewrite is written before it gets the log's name.
fn replacement_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    name.into()
}
