//! Batch jobs. [`Register`] is the state machine of a part: what has been accepted, listed and ended, the
//! same at every replica. [`RegisterSnapshot`] is all of it at one moment, encoded piece by piece, and
//! [`RegisterRestore`] takes these pieces. [`Ledger`] counts a route's tokens over all parts, in the log of one
//! of them. [`Schedule`] is its owner's alone: which item runs next. No I/O.

mod command;
mod job;
mod json;
mod quota_ledger;
mod register;
mod restore;
mod schedule;
mod snapshot;
mod submission;
mod text;
mod wire;

pub use command::{Command, Item, State};
use quick_error::quick_error;
pub use quota_ledger::{Booked, MAX_JOBS, OpenJob, QuotaLedger, RESERVATION_GRACE, ReportNumber};
pub use register::{Applied, Register, Totals};
pub use restore::RegisterRestore;
pub use schedule::{MOST_OVERDUE, Next, RunEnd, Schedule};
pub use snapshot::{CHUNK_BYTES, RegisterSnapshot};
pub use submission::read_requests;
pub use text::{MOST_INFLATED, StoredText};

quick_error! {
    /// Why bytes were not taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        Malformed(what: String) { display("malformed: {}", what) }
    }
}
