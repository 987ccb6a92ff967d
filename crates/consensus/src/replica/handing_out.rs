//! What goes to the state machine: a bounded part at a time, so that a long log or a big snapshot keeps no message waiting.

use super::Replica;
use crate::log::EntryKind;
use crate::state::RestoreStep;

/// Bytes of commands and pieces that one [`Replica::take_ready`] hands out, at most; one that is longer goes alone.
pub const MAX_APPLY_BYTES: usize = 256 << 10;
/// Entries and steps of restoring that one [`Replica::take_ready`] hands out, at most.
pub const MAX_APPLY_ENTRIES: usize = 256;

/// What was handed out in one `take`.
#[derive(Default)]
struct Handed {
    entries: usize,
    bytes: usize,
}

impl Handed {
    /// Whether so many bytes more may go; they are counted then.
    fn add(&mut self, bytes: usize) -> bool {
        let has_room = self.entries < MAX_APPLY_ENTRIES && self.bytes + bytes <= MAX_APPLY_BYTES;
        let may_go = self.entries == 0 || has_room;
        if may_go {
            self.entries += 1;
            self.bytes += bytes;
        }
        may_go
    }
}

impl Replica {
    /// The state machine has not been handed all yet that it could be.
    pub fn has_unapplied_entries(&self) -> bool {
        !self.restoring.is_empty() || self.applied < self.commit
    }

    /// Hands out the next part of what the state machine has to do.
    pub(super) fn hand_out(&mut self) {
        let mut handed = Handed::default();
        while let Some(step) = self.restoring.pop_front_if(|step| handed.add(step.len())) {
            self.output.restore.push(step);
        }
        if self.restoring.is_empty() {
            self.hand_out_entries(&mut handed);
        }
    }

    fn hand_out_entries(&mut self, handed: &mut Handed) {
        while self.applied < self.commit
            && let Some(entry) = self.log.get(self.applied + 1)
            && handed.add(entry.data.len())
        {
            self.applied += 1;
            self.weight += entry.weight();
            if entry.kind == EntryKind::Command {
                self.output.committed.push((self.applied, entry.data.clone()));
            }
        }
    }

    /// Another state is to be built.
    pub(super) fn begin_restore(&mut self) {
        self.forget_unfinished();
        self.restoring.push_back(RestoreStep::Begin);
    }

    /// The state that was begun will not be finished.
    pub(super) fn abandon_incoming(&mut self) {
        if self.incoming.take().is_some() {
            self.forget_unfinished();
            self.restoring.push_back(RestoreStep::Abandon);
        }
    }

    /// Drops steps of a state that is not whole and that the state machine has not been handed.
    fn forget_unfinished(&mut self) {
        while self.restoring.back().is_some_and(|step| !matches!(step, RestoreStep::Finish(_))) {
            self.restoring.pop_back();
        }
    }
}
