//! Runs of items: what a leader hands to a worker, and what comes back.
//!
//! A run has an identity of its own. A schedule is made anew with each election, while runs of the one before go on at their workers: what they
//! bring belongs to none of the present schedule's runs, though it is of the same item.

use bytes::Bytes;
use rainlug::Time;

use crate::{Command, Item};

/// The identity of a run, which no other run of the process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(u64);

/// Gives each run of a process its identity. All schedules of a process share one.
#[derive(Debug, Default)]
pub struct RunIds {
    given: u64,
}

impl RunIds {
    /// An identity that was not given before.
    pub fn next_id(&mut self) -> RunId {
        self.given += 1;
        RunId(self.given)
    }
}

/// A run of an item, to be handed to a worker now. Times are Unix time in microseconds.
#[derive(Clone, Debug)]
pub struct ItemRun {
    /// The run's identity.
    pub id: RunId,
    /// The batch job's id.
    pub job: String,
    /// The name of the batch job's route.
    pub route: String,
    /// The `Host` of the request to the worker.
    pub host: String,
    /// The request, and the item's id.
    pub item: Item,
    /// Id of the last event that earlier runs gave (0: none); the run is to go on after it.
    pub last_event: u64,
    /// When all outputs of the batch job are to be there.
    pub deadline: Time,
    /// When the item is abandoned.
    pub retain_until: Time,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The worker's answer is complete.
    Complete,
    /// The worker answered 500. It counts as one of the item's attempts.
    Failed,
    /// The worker answered 422: the item can never succeed.
    Unprocessable,
    /// The answer broke off; the next run goes on after its last event.
    Interrupted,
    /// No worker took it.
    NoCapacity,
}

/// What a run gave until it ended.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Which run it was.
    pub run: RunId,
    /// Ids and data of its events, in the order in which they came.
    pub events: Vec<(u64, Bytes)>,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// What becomes of an item whose run has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// This command finishes it, and is to be proposed.
    Finishes(Command),
    /// It runs again, or is finished already.
    Open,
    /// It runs again: an event is missing between what was had and what the run gave.
    EventMissing {
        /// The id of the last event that is had.
        last_event: u64,
        /// The id of the event that came.
        came: u64,
    },
    /// The run is none of this schedule's.
    Unknown,
}
