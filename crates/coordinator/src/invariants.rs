//! Invariants that every process checks while it runs.
//!
//! A violation is counted, logged and published as a metric; service goes on. The tests' in-memory fleet ends at the first one.

use std::fmt;

use rainlug_consensus::{MAX_APPLY_BYTES, Ready, RestoreStep};

use crate::admission::StateMemory;
use crate::{Coordinator, Effect};

/// Something that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A snapshot that was received or read from the disk can be restored: what a replica counts as applied is in the state.
    StateRestored,
    /// The state machine can decode every committed command.
    CommandRead,
    /// One step passes the state machine a bounded number of bytes, however large the state is.
    StepBounded,
    /// The state of all shards here, or the files that a restart reads, leave the process the memory that it needs besides.
    FitsMemory,
    /// A replica that begins to lead a shard has all of its state: no snapshot is being restored.
    LeaderWhole,
}

impl Invariant {
    /// All invariants, in the order of the metrics.
    pub const ALL: [Invariant; 5] = [
        Invariant::StateRestored,
        Invariant::CommandRead,
        Invariant::StepBounded,
        Invariant::FitsMemory,
        Invariant::LeaderWhole,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::StateRestored => "state_restored",
            Invariant::CommandRead => "command_read",
            Invariant::StepBounded => "step_bounded",
            Invariant::FitsMemory => "fits_memory",
            Invariant::LeaderWhole => "leader_whole",
        }
    }
}

/// How often each invariant was violated since the process began.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViolationCounts([u64; Invariant::ALL.len()]);

impl ViolationCounts {
    fn count(&mut self, invariant: Invariant) {
        if let Some(count) = self.0.get_mut(invariant as usize) {
            *count += 1;
        }
    }

    /// Each invariant with how often it was violated.
    pub fn counts(&self) -> impl Iterator<Item = (Invariant, u64)> + '_ {
        Invariant::ALL.into_iter().zip(self.0)
    }

    /// Violations of all invariants together.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl Coordinator {
    /// Counts and logs a violation, unless the invariant holds.
    pub(crate) fn check(&mut self, invariant: Invariant, holds: bool, details: impl FnOnce() -> String) {
        if !holds {
            self.violated(invariant, &details());
        }
    }

    /// An invariant does not hold.
    pub(crate) fn violated(&mut self, invariant: Invariant, details: &dyn fmt::Display) {
        self.violations.count(invariant);
        self.effects.push(Effect::Log("invariant", format!("{} violated: {details}", invariant.name())));
    }

    /// What a replica has passed to the state machine in one step is bounded, except for a single long command or chunk.
    pub(crate) fn check_step(&mut self, output: &Ready) {
        let chunks = output.restore.iter().map(|step| match step {
            RestoreStep::Chunk(chunk) => chunk.len(),
            RestoreStep::Begin | RestoreStep::Abandon | RestoreStep::Finish(_) => 0,
        });
        let commands = output.committed.iter().map(|(_, command)| command.len());
        let (mut bytes, mut longest) = (0, 0);
        for length in chunks.chain(commands) {
            bytes += length;
            longest = longest.max(length);
        }
        let holds = bytes <= MAX_APPLY_BYTES || bytes == longest;
        self.check(Invariant::StepBounded, holds, || format!("{bytes} bytes at once"));
    }

    /// The state leaves the process the memory that it needs besides.
    pub(crate) fn check_memory(&mut self) {
        let StateMemory { used_bytes, max_bytes } = self.state_memory();
        let holds = used_bytes <= max_bytes;
        self.check(Invariant::FitsMemory, holds, || format!("{used_bytes} bytes of {max_bytes}"));
    }

    /// Violations of invariants at this process since it began.
    pub fn violations(&self) -> &ViolationCounts {
        &self.violations
    }

    /// Metrics as (name, value).
    pub(crate) fn invariant_metrics(&self) -> Vec<(String, f64)> {
        let figure = |(invariant, count): (Invariant, u64)| {
            (format!("invariant_violations_{}", invariant.name()), count as f64)
        };
        self.violations.counts().map(figure).collect()
    }
}
