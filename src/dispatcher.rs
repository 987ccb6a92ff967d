//! The dispatcher's state, and the calls that only read it or write something down. [`crate::logic`] decides.

use crate::logic::health::ERRONEOUS;
use crate::state::{Chance, Desk, Fleet, Part, Pulse, Seen};
use crate::{Allowed, Effect, Known, Lessons, Obligations, Place, Time, Weights, Workload};

/// What becomes of a task after a stage of the chain.
pub(crate) enum Step {
    /// The next stage has it.
    Pass,
    /// It stays as it is until the next event.
    Keep,
    /// It is answered now.
    End,
}

/// The ledger of effects. Every path that assigns or bounces asks it.
pub(crate) struct Ledger {
    pub(crate) effects: Vec<Effect>,
    pub(crate) assignments: usize,
    pub(crate) copies: bool,
}

/// One dispatcher: what it was told at its start, what it remembers and what it counts.
pub struct Dispatcher {
    pub(crate) place: Place,
    /// Processes of this dispatcher that live: more than one while it is upgraded.
    pub(crate) processes: usize,
    /// No workload may run again: its tasks make the trials that ill workers come back by.
    pub(crate) sole: bool,
    pub(crate) chance: Chance,
    pub(crate) workloads: Vec<Workload>,
    pub(crate) weights: Weights,
    pub(crate) ledger: Ledger,
    pub(crate) allowed: Allowed,
    pub(crate) obligations: Obligations,
    pub(crate) known: Known,
    pub(crate) fleet: Fleet,
    pub(crate) parts: usize,
    /// Of the group those that live, and how many parts as long as this one's would make up the fleet.
    pub(crate) live: usize,
    pub(crate) places: f64,
    pub(crate) part: Part,
    pub(crate) desk: Desk,
    pub(crate) seen: Seen,
    pub(crate) pulse: Pulse,
}

impl Dispatcher {
    /// So many other processes of this dispatcher live: its room at cold workers is for all of them.
    pub fn beside(&mut self, others: usize) {
        self.processes = 1 + others;
    }

    /// What it has learnt, for the process that follows.
    pub fn lessons(&self) -> Lessons {
        Lessons::of(&self.seen, &self.fleet)
    }

    /// How many workers are in the list, and how many of these are avoided now, by hand or by choice.
    pub fn listed(&self, now: Time) -> (usize, usize) {
        self.fleet.listed(now, ERRONEOUS, !self.part.common)
    }

    /// How the workers of its part stand with it, in a line for the trace.
    pub fn standing(&self, now: Time) -> String {
        self.fleet.standing(&self.part, now, ERRONEOUS)
    }

    /// Counts what an answered task has earned.
    pub(crate) fn earn(&mut self, now: Time, n: u64, finished: bool) {
        let Some(task) = self.desk.get(n).filter(|t| !t.answered) else { return };
        let overdue = self.workloads[task.workload].overdue;
        let earned = if now > self.due_time(now, task, 0.0) { overdue } else { 1.0 };
        self.seen.earned[task.workload].add(now, if finished { earned } else { 0.0 }, 1.0);
    }
}
