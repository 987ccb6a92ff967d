//! What a dispatcher remembers of tasks and workers, and what it measures and draws with. No decisions.

mod census;
mod chance;
mod desk;
mod fleet;
mod lessons;
mod pulse;
mod ring;
mod seen;
mod task;
mod worker;

pub(crate) use census::Census;
pub(crate) use chance::Chance;
pub(crate) use desk::Desk;
pub(crate) use fleet::{Fleet, Part};
pub use lessons::Lessons;
pub(crate) use pulse::Pulse;
use ring::alike;
pub(crate) use ring::{Ring, worst};
pub(crate) use seen::Seen;
pub(crate) use task::{Assignment, Task};
pub(crate) use worker::{Cold, Worker};

use crate::{SECOND, Time};

/// A length of time in seconds.
pub(crate) fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// Seconds as a length of time.
pub(crate) fn micros(seconds: f64) -> Time {
    (seconds * SECOND as f64) as Time
}
