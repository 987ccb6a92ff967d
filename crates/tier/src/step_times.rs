//! How long the process's single steps take. All of a process's work runs on one thread: a step that takes long delays heartbeats
//! and elections.

use std::cell::Cell;
use std::time::Duration;

use crate::log;
use crate::process_memory::{self, MemoryMetric};

/// A step of this time or more is logged: a quarter of the time after which followers take an unresponsive leader for dead.
const LONG_STEP: Duration = Duration::from_millis(100);

/// Times of steps since the process began.
#[derive(Default)]
pub(crate) struct StepTimes {
    longest: Cell<Duration>,
    long_steps: Cell<u64>,
}

impl StepTimes {
    /// Counts a step of this kind that took so long.
    pub(crate) fn record(&self, kind: &'static str, duration: Duration) {
        self.longest.set(self.longest.get().max(duration));
        if duration >= LONG_STEP {
            self.long_steps.set(self.long_steps.get() + 1);
            let memory = peak_memory_kib();
            log::event("long step", &format!("{kind}: {} ms, peak memory {memory} kB", duration.as_millis()));
        }
    }

    /// The metrics as (name, value).
    pub(crate) fn metrics(&self) -> Vec<(String, f64)> {
        vec![
            ("step_longest_ms".to_owned(), self.longest.get().as_secs_f64() * 1000.0),
            ("steps_long".to_owned(), self.long_steps.get() as f64),
            ("memory_peak_kb".to_owned(), peak_memory_kib() as f64),
        ]
    }
}

/// The largest resident set of this process in KiB; 0 where the system does not say.
fn peak_memory_kib() -> u64 {
    process_memory::read_kibibytes("self", MemoryMetric::Peak).unwrap_or(0)
}
