//! The errors of a log.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why a log cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system refused a call on this file or directory, or there is no space for a rewrite.
        Io(path: PathBuf, source: io::Error) {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// The record at this offset, in bytes, was synced and is not what was written.
        Damaged(path: PathBuf, offset: u64) {
            display("{}: the record at byte {} is damaged", path.display(), offset)
        }
    }
}
