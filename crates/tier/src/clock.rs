//! Time as the cores take it: microseconds of the steady clock since the process began, and of the day. The time of day is read once
//! and goes on by the steady clock, so that no step of it is felt.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rainlug::Time;
use rainlug_coordinator::Now;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    begun: Instant,
    /// The time of day when the process began, in microseconds.
    began_at: Time,
}

impl Clock {
    pub fn start() -> Self {
        let began_at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Time);
        Clock { begun: Instant::now(), began_at }
    }

    pub fn now(&self) -> Now {
        let steady = self.begun.elapsed().as_micros() as Time;
        Now { steady, wall: self.began_at + steady }
    }

    /// The instant of a time of the steady clock; what lies far ahead is cut to an hour.
    pub fn instant(&self, at: Time) -> Instant {
        let most = self.begun.elapsed() + Duration::from_secs(3600);
        self.begun + Duration::from_micros(at.max(0) as u64).min(most)
    }
}
