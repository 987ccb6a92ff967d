//! What of log and snapshot is kept in memory.

use std::sync::Arc;

use bytes::Bytes;

use super::{Flow, Replica, Role};
use crate::Index;
use crate::log::Snapshot;

impl Replica {
    /// Drops from memory what has been handed out and followers have; the disk holds it. Of what they lack a leader keeps
    /// `lag_bytes`: who is further behind gets a snapshot.
    pub(super) fn trim(&mut self) {
        // Now and then: each time walks over what is kept.
        if self.log.weight() <= 2 * self.settings.most_bytes && !self.has_state {
            return;
        }
        let lacking = self.progress.values().map(|p| p.matched).min().unwrap_or(Index::MAX);
        let had = if self.role == Role::Leader { self.applied.min(lacking) } else { self.applied };
        self.log.compact(had, self.settings.most_bytes);
        let living = self.progress.values().filter(|progress| self.is_alive(progress));
        let allowance = living.map(|progress| progress.allowance).max();
        self.log.compact(self.applied, self.settings.lag_bytes + allowance.unwrap_or_default());
        let sends = self.progress.values().any(|p| matches!(p.flow, Flow::Snapshot { .. }));
        // What is to be restored or written is in the output.
        if self.has_state && !sends {
            self.has_state = false;
            let Snapshot { index, term, ref group, .. } = *self.snapshot;
            let group = group.clone();
            self.snapshot = Arc::new(Snapshot { index, term, group, state: Bytes::new() });
        }
    }
}
