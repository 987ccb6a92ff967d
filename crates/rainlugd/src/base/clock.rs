//! One clock: Unix time read once at the start, and the monotonic clock from there.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rainlug::Time;
use tokio::time::Instant;

/// Waits longer than this are cut to it: timers do not take every length.
const FAR: Time = 24 * 3600 * rainlug::SECOND;

#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Time,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix: unix.as_micros() as Time }
    }

    pub fn now(&self) -> Time {
        self.unix + self.began.elapsed().as_micros() as Time
    }

    /// The moment as the runtime's timers take it.
    pub fn instant(&self, at: Time) -> Instant {
        let after = at.saturating_sub(self.unix).clamp(0, self.now() - self.unix + FAR);
        self.began + Duration::from_micros(after as u64)
    }
}
