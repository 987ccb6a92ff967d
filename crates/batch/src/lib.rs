//! Batch jobs of a shard, without I/O.
//!
//! A batch job is a list of items; each is a request to a worker, and finishes with an output that the client reads. Every shard of
//! batch jobs is a replicated log of [`Command`]s; this crate has the state machines that the log changes, and the plan of its leader:
//!
//! - [`JobTable`]: batch jobs, their open items and outputs; the same at every replica.
//! - [`JobTableSnapshot`] and [`JobTableRestore`]: a table as of one moment, encoded chunk by chunk and built again.
//! - [`QuotaLedger`]: a route's tokens over all shards, kept in the log of one of them.
//! - [`Schedule`]: which item runs next; the leader's alone, made anew by the next one.
//! - [`parse_submission`]: a client's batch job.
//!
//! All of it is deterministic: time comes with commands and calls, as Unix time in microseconds.

#![warn(missing_docs, unreachable_pub)]

mod command;
mod item;
mod item_progress;
mod job;
mod job_table;
mod json;
mod layout;
mod quota_ledger;
mod restore;
mod run;
mod schedule;
mod snapshot;
mod stored_text;
mod submission;
mod wire;

pub use command::{Command, DecodeError, Item, ItemOutcome};
pub use item_progress::MAX_OUTPUT_BYTES;
pub use job::ItemTotals;
pub use job_table::{Applied, JobTable, OpenJob, OutputPage};
pub use quota_ledger::{JobUsage, MAX_JOBS, QuotaLedger, QuotaOutcome, RESERVATION_GRACE, UsageReportNumber};
pub use restore::{JobTableRestore, RestoreError};
pub use run::{ItemRun, RunEnd, RunId, RunIds, RunOutcome, RunResult};
pub use schedule::{MAX_PROPOSALS, Schedule};
pub use snapshot::{CHUNK_BYTES, JobTableSnapshot};
pub use stored_text::{MAX_INFLATED_BYTES, StoredText, StoredTextError};
pub use submission::{SubmissionError, parse_submission};
