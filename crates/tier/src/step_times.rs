//! How long this process's single steps take. A step that takes long keeps heartbeats and elections waiting.

use std::cell::Cell;
use std::time::Duration;

use crate::log;
use crate::process_memory::{self, MemoryMetric};

/// A step that takes longer is logged: a quarter of the time after which followers take a silent leader for dead.
const LONG_STEP: Duration = Duration::from_millis(100);

/// Times of steps since the process began.
#[derive(Default)]
pub struct StepTimes {
    longest: Cell<Duration>,
    long: Cell<u64>,
}

impl StepTimes {
    /// A step of this kind has taken so long.
    pub fn ended(&self, kind: &'static str, took: Duration) {
        self.longest.set(self.longest.get().max(took));
        if took >= LONG_STEP {
            self.long.set(self.long.get() + 1);
            let memory = peak_memory_kilobytes();
            log::event("long step", &format!("{kind}: {} ms, peak memory {memory} kB", took.as_millis()));
        }
    }

    /// Figures as (name, value).
    pub fn metrics(&self) -> Vec<(String, f64)> {
        vec![
            ("step_longest_ms".to_owned(), self.longest.get().as_secs_f64() * 1000.0),
            ("steps_long".to_owned(), self.long.get() as f64),
            ("memory_peak_kb".to_owned(), peak_memory_kilobytes() as f64),
        ]
    }
}

/// The most memory that this process has had at once; 0 where the system does not tell.
fn peak_memory_kilobytes() -> u64 {
    process_memory::read_kibibytes("self", MemoryMetric::Peak).unwrap_or(0)
}
