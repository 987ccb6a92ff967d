//! Batch jobs. [`Register`] is the state machine of a part: what has been accepted, listed and ended, the
//! same at every replica. [`RegisterSnapshot`] is all of it at one moment, encoded piece by piece, and
//! [`RegisterRestore`] takes these pieces. [`Ledger`] counts a route's tokens over all parts, in the log of one
//! of them. [`Schedule`] is its owner's alone: which item runs next. No I/O.

mod command;
mod item;
mod job;
mod job_table;
mod json;
mod layout;
mod quota_ledger;
mod restore;
mod schedule;
mod snapshot;
mod submission;
mod text;
mod wire;

pub use command::{Command, DecodeError, Item, ItemOutcome};
pub use job::ItemTotals;
pub use job_table::{Applied, JobTable, OpenJob, OutputPage};
pub use quota_ledger::{JobUsage, MAX_JOBS, QuotaLedger, QuotaOutcome, RESERVATION_GRACE, UsageReportNumber};
pub use restore::{JobTableRestore, RestoreError};
pub use schedule::{ItemRun, MAX_PROPOSALS, RunOutcome, Schedule};
pub use snapshot::{CHUNK_BYTES, JobTableSnapshot};
pub use submission::{SubmissionError, parse_submission};
pub use text::{MAX_INFLATED_BYTES, StoredText, StoredTextError};
