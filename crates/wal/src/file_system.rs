//! The file operations that a log needs, behind a trait so that tests can lose power between any two of them.
//!
//! As with POSIX, written bytes survive a loss of power once their file was synced, and names (new files, renames, removals) once
//! their directory was.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// A file system on one disk.
///
/// # Errors
/// Each method returns the error of the operating system; a log then counts nothing as done.
pub trait FileSystem: Send + 'static {
    /// An open file.
    type File: Send;

    /// Opens a file for reading and writing, created if it is missing, emptied if `truncate` is set.
    fn open(&self, path: &Path, truncate: bool) -> io::Result<Self::File>;
    /// The file's length in bytes.
    fn length(&self, file: &Self::File) -> io::Result<u64>;
    /// Reads up to the buffer's length from an offset; 0 at the end of the file.
    fn read_at(&self, file: &Self::File, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes all bytes at an offset; after an error any number of them may be there.
    fn write_all_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<()>;
    /// Cuts the file off at a length, or extends it with zeros.
    fn set_length(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// Makes the file's bytes and length durable.
    fn sync(&self, file: &Self::File) -> io::Result<()>;
    /// Renames a file, over the one that has the name, if any.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes the names in a directory durable.
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
}

/// The operating system's file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    type File = File;

    fn open(&self, path: &Path, truncate: bool) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(truncate).open(path)
    }

    fn length(&self, file: &File) -> io::Result<u64> {
        Ok(file.metadata()?.len())
    }

    fn read_at(&self, file: &File, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        file.read_at(buffer, offset)
    }

    fn write_all_at(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
        file.write_all_at(bytes, offset)
    }

    fn set_length(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        File::open(directory)?.sync_all()
    }
}
