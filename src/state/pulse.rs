//! The rounds of probes and of calls for the list.

use std::ops::Range;

use crate::Time;

/// Where the dispatcher is in its own rounds of probes and calls for the list.
#[derive(Default)]
pub(crate) struct Pulse {
    pub beats: u64,
    /// Probes that own tasks have earned, and how many have gone out.
    pub credit: f64,
    pub probed: usize,
    pub ask_at: Option<Time>,
    pub asks_failed: u32,
}

impl Pulse {
    /// Counts a beat; true at every `turn`th.
    pub fn beat(&mut self, turn: u64) -> bool {
        self.beats += 1;
        self.beats.is_multiple_of(turn)
    }

    /// The numbers of the probes that may go out now, where `earned` more have been, and `most` at once.
    pub fn probes(&mut self, earned: f64, most: usize) -> Range<usize> {
        self.credit = (self.credit + earned).min(most as f64);
        let first = self.probed;
        self.probed += self.credit as usize;
        self.credit = self.credit.fract();
        first..self.probed
    }
}
