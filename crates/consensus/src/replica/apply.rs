//! What is handed to the state machine: at most a bounded amount at a time, so that a long log or a big snapshot delays no message.

use std::collections::VecDeque;

use super::Replica;
use crate::Index;
use crate::entry::EntryKind;
use crate::snapshot::RestoreStep;

/// Bytes of commands and chunks in one [`crate::Ready`], at most; one that is longer goes alone.
pub const MAX_APPLY_BYTES: usize = 256 << 10;
/// Entries and steps of restoring in one [`crate::Ready`], at most.
pub const MAX_APPLY_ENTRIES: usize = 256;

/// What the state machine has been handed, and what it has to restore first.
#[derive(Clone, Default)]
pub(super) struct Application {
    /// Handed to the state machine, up to here; while a state is to be restored, as of its end.
    applied_index: Index,
    /// To be handed to the state machine before further entries.
    restore_steps: VecDeque<RestoreStep>,
}

impl Application {
    /// Up to where the state machine has been handed the log, once it has restored what it is to restore.
    pub(super) fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Whether a state is to be restored before further entries are applied.
    pub(super) fn is_restoring(&self) -> bool {
        !self.restore_steps.is_empty()
    }

    /// Adds a step.
    pub(super) fn push_restore_step(&mut self, step: RestoreStep) {
        self.restore_steps.push_back(step);
    }

    /// Begins another state.
    pub(super) fn begin_restore(&mut self) {
        self.drop_unfinished_restore();
        self.restore_steps.push_back(RestoreStep::Begin);
    }

    /// Abandons the state that was begun.
    pub(super) fn abandon_restore(&mut self) {
        self.drop_unfinished_restore();
        self.restore_steps.push_back(RestoreStep::Abandon);
    }

    /// All chunks have come: the state machine is at this index.
    pub(super) fn finish_restore(&mut self, index: Index) {
        self.applied_index = index;
        self.restore_steps.push_back(RestoreStep::Finish(index));
    }

    /// Drops steps of a state that is not complete and that the state machine has not been handed.
    fn drop_unfinished_restore(&mut self) {
        while self.restore_steps.back().is_some_and(|step| !matches!(step, RestoreStep::Finish(_))) {
            self.restore_steps.pop_back();
        }
    }

    /// The state machine is at this index, and nothing is to be restored.
    pub(super) fn reset(&mut self, applied_index: Index) {
        self.applied_index = applied_index;
        self.restore_steps.clear();
    }
}

/// What one [`crate::Ready`] hands to the state machine.
#[derive(Default)]
struct ApplyBudget {
    entries: usize,
    bytes: usize,
}

impl ApplyBudget {
    /// Whether an entry of so many bytes may go too; it is counted then.
    fn try_add(&mut self, bytes: usize) -> bool {
        let fits = self.entries < MAX_APPLY_ENTRIES && self.bytes + bytes <= MAX_APPLY_BYTES;
        let is_allowed = self.entries == 0 || fits;
        if is_allowed {
            self.entries += 1;
            self.bytes += bytes;
        }
        is_allowed
    }
}

impl Replica {
    /// The state machine has not been handed all yet that it could be.
    pub fn has_unapplied_entries(&self) -> bool {
        self.application.is_restoring() || self.application.applied_index < self.commit_index
    }

    /// Hands the state machine the next part of what it has to do.
    pub(super) fn apply(&mut self) {
        let mut budget = ApplyBudget::default();
        let restore_steps = &mut self.application.restore_steps;
        while let Some(step) = restore_steps.pop_front_if(|step| budget.try_add(step.len())) {
            self.ready.restore.push(step);
        }
        if !self.application.is_restoring() {
            self.apply_entries(&mut budget);
        }
    }

    fn apply_entries(&mut self, budget: &mut ApplyBudget) {
        while self.application.applied_index < self.commit_index
            && let Some(entry) = self.log.get(self.application.applied_index + 1)
            && budget.try_add(entry.data.len())
        {
            self.application.applied_index += 1;
            self.compaction.count_applied(entry.memory_bytes());
            if entry.kind == EntryKind::Command {
                self.ready.committed.push((self.application.applied_index, entry.data.clone()));
            }
        }
    }
}
