//! What of log and snapshot is kept in memory.

use std::sync::Arc;

use super::{Flow, Replica, Role};
use crate::Index;
use crate::log::Snapshot;

impl Replica {
    /// Drops from memory what has been handed out and followers have; the disk holds it. Of what they lack a leader keeps
    /// `lag_bytes`: who is further behind gets a snapshot.
    pub(super) fn trim(&mut self) {
        // Now and then: each time walks over what is kept.
        if self.log.weight() <= 2 * self.settings.max_message_bytes && self.snapshot.state.is_none() {
            return;
        }
        let lacking = self.progress.values().map(|p| p.matched).min().unwrap_or(Index::MAX);
        let had = if self.role == Role::Leader { self.applied.min(lacking) } else { self.applied };
        self.log.compact(had, self.settings.max_message_bytes);
        let living = self.progress.values().filter(|progress| self.is_alive(progress));
        let allowance = living.map(|progress| progress.allowance).max();
        self.log
            .compact(self.applied, self.settings.max_lag_bytes.saturating_add(allowance.unwrap_or_default()));
        let sends = self.progress.values().any(|p| matches!(p.flow, Flow::Snapshot { .. }));
        // What is to be written is in the output.
        if self.snapshot.state.is_some() && !sends {
            self.snapshot = Arc::new(Snapshot { state: None, ..Snapshot::clone(&self.snapshot) });
        }
    }
}
