//! Time as the cores take it: microseconds of a steady clock since the process began, and of the day.
//!
//! The time of day is read once and goes on by the steady clock, so that a step of the system's clock moves no deadline.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rainlug::Time;
use rainlug_coordinator::Now;
use tokio::time::Instant;

/// Timers are set for at most this far ahead; tokio's do not reach as far as a core's [`Time`] does.
const MAX_TIMER: Duration = Duration::from_secs(3600);

/// The process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The time of day at the start, in microseconds since the Unix epoch.
    started_wall: Time,
}

impl Clock {
    /// A clock whose steady time begins now.
    pub fn start() -> Self {
        let started_wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Time);
        Clock { started: Instant::now(), started_wall }
    }

    /// The steady time and the time of day.
    pub fn now(&self) -> Now {
        let steady = self.started.elapsed().as_micros() as Time;
        Now { steady, wall: self.started_wall + steady }
    }

    /// The instant of a time of the steady clock (microseconds), an hour ahead at most.
    pub fn instant(&self, steady: Time) -> Instant {
        let latest = self.started.elapsed() + MAX_TIMER;
        self.started + Duration::from_micros(steady.max(0) as u64).min(latest)
    }
}
