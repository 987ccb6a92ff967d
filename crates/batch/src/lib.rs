//! Batch jobs. [`Register`] is the state machine of a part: what has been accepted, listed and ended, the same at every replica.
//! [`Ledger`] counts a route's tokens over all parts, in the log of one of them. [`Schedule`] is its owner's alone: which item
//! runs next. No I/O.

mod command;
mod json;
mod ledger;
mod register;
mod schedule;
mod submission;
mod wire;

pub use command::{Command, Item, State};
pub use ledger::{Booked, Ledger, MOST_LOTS, OpenLot, RESERVATION_GRACE, ReportNumber};
use quick_error::quick_error;
pub use register::{Applied, Register, Totals};
pub use schedule::{Next, RunEnd, Schedule};
pub use submission::read_requests;

quick_error! {
    /// Why bytes were not taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        Malformed(what: String) { display("malformed: {}", what) }
    }
}
