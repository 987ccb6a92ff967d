//! A write-ahead log: an append-only file of checksummed records, its compaction, and the thread that writes it.
//!
//! A store keeps one log for each shard that it has a replica of. The crate exists so that consensus can count on one promise:
//! **what a call reported as synced is found again** by the next [`Wal::open`], whatever loss of power or end of the process comes
//! in between, as long as the disk keeps what it has synced.
//!
//! # File format
//!
//! A log is one file of records without gaps. Numbers are little-endian.
//!
//! | bytes | field | meaning |
//! | --- | --- | --- |
//! | 4 | magic | `d0 52 4c 31` |
//! | 4 | length | bytes of the payload |
//! | 8 | batch | offset in the file at which the record's batch begins |
//! | 4 | checksum | CRC-32 over the record's own offset (8 bytes), length, batch and payload |
//! | length | payload | |
//!
//! A *batch* is what one append wrote with one sync. As its number is an offset, all bytes before that offset were synced when the
//! batch was written. A rewritten file holds one batch for each record: it gets its name only once it is synced.
//!
//! # Torn tails and damage
//!
//! Opening reads records until one is incomplete or fails its checksum. If no valid record of a later batch stands behind it, it
//! is what a loss of power left of the last append, whose sync never returned: it is cut off. If there is one, a record that had
//! been synced has changed, and opening fails with [`Error::Damaged`]; the file is left as it is.
//!
//! # Durability
//!
//! - [`Wal::open`]: all records that it returns, and the file's name, are synced.
//! - [`Wal::append`]: the records are synced; after an error none of them counts, and the next append first cuts off what is left.
//! - [`Wal::rewrite`] and [`Wal::compact`]: the new file is synced, renamed over the old one, and the directory is synced. After
//!   an error the old records stand, except where only the directory's sync failed; that is then repeated before the next append.
//! - [`Writer`]: nothing is durable when a call returns; [`WriterEvent::Synced`] says what is.
//!
//! # Full, slow and refusing disks
//!
//! [`DiskSpace`] accounts for the bytes of all logs of a disk. A rewrite needs space for the new file beside the old one and must
//! leave a reserve for appends; where it does not fit, the compaction is postponed and only the records that the log lacks are
//! appended. A [`Writer`] retries what the disk refuses until it succeeds, and reports the failure once. Its callers never wait
//! for the disk; what they have queued is held in memory without a bound.

#![warn(missing_docs)]

pub mod compaction;
mod disk_space;
mod error;
mod file_system;
mod log;
mod record;
mod record_io;
mod record_source;
mod writer;

pub use disk_space::DiskSpace;
pub use error::Error;
pub use file_system::{FileSystem, OsFileSystem};
pub use log::{CompactionOutcome, Wal};
pub use record_source::RecordSource;
pub use writer::{Synced, Writer, WriterEvent};
