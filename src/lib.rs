//! rainlug decides which worker each task goes to.
//!
//! [`logic::Dispatcher`] takes every decision. This file holds the types it is called with and the
//! [`Outgoing`] trait through which its decisions leave; it decides nothing.

mod dispatcher;
pub mod logic;
pub mod shares;
mod state;
mod station;
pub mod turns;

use serde::{Deserialize, Serialize};
pub use state::Lessons;

/// A moment or a length of time, in whole microseconds.
pub type Time = i64;

/// One second.
pub const SECOND: Time = 1_000_000;

/// What the users allow a task of a workload to do to the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run again.
    Idempotent,
    /// Carries a mark by which the workers of one group drop repeats, for `window` from the first assignment
    /// that may have run.
    Fingerprinted { group: Group, window: Time },
    /// Must never run twice.
    SideEffecting,
}

/// Which workers drop one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A kind of task, as the users price and time it.
#[derive(Clone, Debug)]
pub struct Workload {
    pub effect: Effect,
    pub due: Time,
    /// The due time grows by this many times the task's own running time.
    pub stretch: f64,
    pub revenue: f64,
    /// The part of the revenue that an answer between due time and expiry earns.
    pub overdue: f64,
    /// The one kind of worker that can run it.
    pub kind: Option<usize>,
}

/// How the users weigh what is answered in time, in parts of the whole.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    pub whole: f64,
    pub worst_workload: f64,
    /// By how evenly each few seconds are served: missed due times weigh more there than early bounces.
    pub slow_end: f64,
    /// What a task beyond its customer's share earns, as a part of its revenue.
    pub beyond_share: f64,
    /// Revenue counts for each unit of work, not for each task.
    pub by_work: bool,
}

/// Where this dispatcher stands among its like.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub seed: u64,
    /// Its number in the group, from 0.
    pub index: usize,
    pub group_size: usize,
    pub zone: usize,
}

/// What the deployment permits a dispatcher to do.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    pub assignments: usize,
    pub withdrawal: bool,
    /// Two assignments of a task may be out together.
    pub copies: bool,
    pub probes: bool,
    /// The longest pause that clients follow; 0 where they are told none.
    pub pause: Time,
    /// True where the list of workers comes only when asked for.
    pub must_ask: bool,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Obligations {
    pub cold_from: f64,
    pub warm_within: Time,
    pub overload_factor: f64,
    pub fall: Time,
    pub must_ask_in: Time,
}

/// What workers tell of themselves, and the prices that bear on where a task goes.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Reports come with probes alone.
    pub reports_by_probe: bool,
    pub tells_start: bool,
    /// The list's weights fall as a worker holds more: its size over one more than its tasks for each core.
    pub live_weights: bool,
    pub progress: Time,
    pub cross_zone: f64,
}

/// One line of the list of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub id: String,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub state: State,
    /// The list's figure for what it can do, to be compared with other workers'.
    pub weight: f64,
    /// When its process last started; `None` is long ago.
    pub started: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A worker's report on itself; a value that did not come is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Busy share of the cores, 0 to 1.
    pub utilisation: Option<f64>,
    /// Jobs a second, of the whole worker.
    pub rate: Option<f64>,
    /// Errors a second, of the whole worker.
    pub errors: Option<f64>,
    pub free_slots: Option<f64>,
    /// Tasks that wait there.
    pub queue: Option<f64>,
}

/// How an assignment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    Failed,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Withdrawn,
    NeverSent,
}

impl Outcome {
    /// True where it is known that the task did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent)
    }
}

/// The time of an event and where the decisions on it go.
pub struct Moment<'a> {
    pub now: Time,
    pub out: &'a mut dyn Outgoing,
}

/// Where decisions go. Each call takes effect at the time of the event being answered.
pub trait Outgoing {
    /// Assigns the task to the worker until its expiry. A task's assignments are numbered from 0.
    fn assign(&mut self, task: &str, worker: &str);
    fn withdraw(&mut self, task: &str, assignment: usize);
    /// Final answer: it has not run; it may be asked again after `pause`.
    fn bounce(&mut self, task: &str, pause: Time);
    /// Final answer without a promise.
    fn abandon(&mut self, task: &str);
    fn wake(&mut self, at: Time, mark: u64);
    /// Whether one more assignment of a workload may go out now, as the next thing, by the budgets that a fleet has in common;
    /// `again` where the task had one before. If it may not, the task of that mark is woken when it is worth asking again.
    ///
    /// # Errors
    /// That moment.
    fn may(&mut self, _task: &str, _mark: u64, _workload: usize, _again: bool) -> Result<(), Time> {
        Ok(())
    }
    /// This dispatcher's part of a cold worker's room, from 0 to 1, where it has use for so large a part; nothing where no fleet
    /// keeps account of it.
    fn room(&mut self, _worker: &str, _wants: f64) -> Option<f64> {
        None
    }
    fn probe(&mut self, worker: &str);
    /// Asks for the list of workers and its changes from now on.
    fn follow(&mut self);
}
