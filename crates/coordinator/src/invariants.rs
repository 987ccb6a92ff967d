//! What must hold at every process, checked while it runs. A violation is counted, logged and told as a figure; the tests of the
//! in-memory fleet end at the first one.

use std::fmt;

use rainlug_consensus::{MAX_APPLY_BYTES, Ready, RestoreStep};

use crate::{Coordinator, Effect};

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A state that was sent or read from the disk is one of this state machine: what a replica counts as applied is in it.
    StateRestored,
    /// A committed command is one that the state machine reads.
    CommandRead,
    /// One step hands the state machine a bounded number of bytes, however large the state is.
    StepBounded,
    /// The state of all parts here, or the files that a restart reads, leave the process the memory that it needs besides.
    FitsMemory,
    /// Who begins to lead a part has all of its state: no other state is being built beside it.
    LeaderWhole,
}

impl Invariant {
    pub const ALL: [Invariant; 5] = [
        Invariant::StateRestored,
        Invariant::CommandRead,
        Invariant::StepBounded,
        Invariant::FitsMemory,
        Invariant::LeaderWhole,
    ];

    /// Its name in logs and figures.
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

/// Violations since the process began.
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

    /// Of all invariants together.
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

    /// What a replica has handed the state machine in one step is bounded, but for a single long command or piece.
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

    /// What this store keeps leaves the process the memory that it needs besides.
    pub(crate) fn check_memory(&mut self) {
        let (kept, limit) = self.state_memory();
        self.check(Invariant::FitsMemory, kept <= limit, || format!("{kept} bytes of {limit}"));
    }

    /// Violations of invariants at this process since it began.
    pub fn violations(&self) -> &ViolationCounts {
        &self.violations
    }

    /// Figures as (name, value).
    pub(crate) fn invariant_metrics(&self) -> Vec<(String, f64)> {
        let figure = |(invariant, count): (Invariant, u64)| {
            (format!("invariant_violations_{}", invariant.name()), count as f64)
        };
        self.violations.counts().map(figure).collect()
    }
}
