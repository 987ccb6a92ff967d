//! Log compaction (Raft 5): when the state machine is asked for a snapshot, and what of log and snapshot stays in memory.

use std::sync::Arc;

use super::{Replica, Role};
use crate::records::ChunkRecords;
use crate::snapshot::{NumberedSource, Snapshot, SnapshotSource};
use crate::{Index, Time};

/// Whether the state machine is to be asked for a snapshot.
#[derive(Clone, Default)]
pub(super) struct Compaction {
    /// Bytes of the entries applied since the newest snapshot.
    applied_bytes: usize,
    /// The state machine was asked, and has not answered.
    is_requested: bool,
    /// A follower needs entries that are not in memory any more.
    is_snapshot_needed: bool,
    /// States that were handed in to be sent, so far.
    source_count: u64,
}

impl Compaction {
    /// An entry of so many bytes was applied.
    pub(super) fn count_applied(&mut self, bytes: usize) {
        self.applied_bytes += bytes;
    }

    /// A follower needs a snapshot.
    pub(super) fn need_snapshot(&mut self) {
        self.is_snapshot_needed = true;
    }

    /// The state machine has another state, that needs no compaction yet.
    pub(super) fn restart(&mut self) {
        self.applied_bytes = 0;
        self.is_requested = false;
    }

    /// Nothing is left to be compacted or sent.
    pub(super) fn reset(&mut self) {
        self.restart();
        self.is_snapshot_needed = false;
    }
}

impl Replica {
    /// Takes the state machine's whole state as of all that was taken so far. Entries up to there are dropped.
    pub fn compact(&mut self, now: Time, state: Arc<dyn SnapshotSource>) {
        self.advance_clock(now);
        self.compaction.is_requested = false;
        if self.application.is_restoring() {
            // The state is of an index that the state machine has not reached or has left.
            return;
        }
        let index = self.application.applied_index();
        self.compaction.is_snapshot_needed = false;
        self.compaction.source_count += 1;
        let source = Some(NumberedSource { number: self.compaction.source_count, state: state.clone() });
        if index == self.snapshot.position.index {
            // The disk has it.
            self.snapshot = Arc::new(Snapshot { source, ..Snapshot::clone(&self.snapshot) });
            return;
        }
        let Some(position) = self.log.position(index) else { return };
        let members = self.log.replica_set_at(index).members.clone();
        self.compaction.applied_bytes = 0;
        self.snapshot = Arc::new(Snapshot { position, members, source });
        self.rewrite(ChunkRecords::Encoded(state), true);
    }

    /// The snapshot that was asked for does not pay now; it is asked for again after as many bytes.
    pub fn postpone_compaction(&mut self) {
        self.compaction.restart();
    }

    /// Asks the state machine for a snapshot where the log is long or a member needs one.
    pub(super) fn request_compaction(&mut self) {
        let compaction = &mut self.compaction;
        if !compaction.is_requested
            && compaction.applied_bytes > self.settings.compaction_threshold_bytes
            && self.application.applied_index() > self.snapshot.position.index
        {
            compaction.is_requested = true;
            self.ready.needs_compaction = true;
        }
        if !self.application.is_restoring()
            && std::mem::take(&mut compaction.is_snapshot_needed)
            && !compaction.is_requested
        {
            compaction.is_requested = true;
            self.ready.needs_compaction = true;
            self.ready.needs_snapshot = true;
        }
    }

    /// Drops from memory what has been applied and followers have; the disk holds it. Of what followers lack a leader keeps
    /// `max_lag_bytes`: who is further behind gets a snapshot.
    pub(super) fn drop_unneeded(&mut self) {
        // Now and then only: each time iterates over what is kept.
        if self.log.bytes() <= 2 * self.settings.max_message_bytes && self.snapshot.source.is_none() {
            return;
        }
        let applied_index = self.application.applied_index();
        let by_all = self.progress.values().map(|p| p.matched_index).min().unwrap_or(Index::MAX);
        let unneeded = if self.role == Role::Leader { applied_index.min(by_all) } else { applied_index };
        self.log.compact(unneeded, self.settings.max_message_bytes);
        let active = self.progress.values().filter(|progress| progress.is_active(self.now, &self.settings));
        let retained_bytes = active.map(|progress| progress.retained_bytes).max().unwrap_or_default();
        self.log.compact(applied_index, self.settings.max_lag_bytes.saturating_add(retained_bytes));
        let is_being_sent = self.progress.values().any(|progress| progress.is_receiving_snapshot());
        // What is to be written is in the records that were handed out.
        if self.snapshot.source.is_some() && !is_being_sent {
            self.snapshot = Arc::new(Snapshot { source: None, ..Snapshot::clone(&self.snapshot) });
        }
    }
}
