//! An append-only file of checksummed records, rewritten when that pays and there is room, and the thread that writes it.
//!
//! Nothing counts as kept before it is synced, and the names that it needs are. A disk that is full, slow or refuses calls holds
//! up what is to be kept, and nothing else: the thread tries again until the disk takes it. A bad record with one of a later batch
//! after it is damage; any other is what a loss of power left of the last batch.

pub mod compaction;
mod disk_space;
mod file_system;
mod log;
mod record;
mod source;
mod writer;

use std::path::PathBuf;

use quick_error::quick_error;

pub use disk_space::DiskSpace;
pub use file_system::{FileSystem, OsFileSystem};
pub use log::{CompactionOutcome, Wal};
pub use source::RecordSource;
pub use writer::{Synced, Writer, WriterEvent};

quick_error! {
    /// Why a log cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The system refused a call on this file or folder.
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
