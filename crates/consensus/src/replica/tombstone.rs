//! A member that drops its log and state, because it is not in the replica set any more.
//!
//! It must not restart as a new member: others may rely on entries that it acknowledged and on votes that it gave. So it keeps on
//! its disk:
//!
//! - its term and its vote in that term, so that it never votes twice in a term;
//! - where its log ended (`vote_floor`). It may know, alone of all that can be reached, of a change that has ended an old replica
//!   set. A member that missed that change may ask it for a vote of the old set. It refused because of its longer log, and still
//!   does;
//! - that it was here: with any record on the disk, a founding replica set does not count any more. Without that, founding members
//!   that drop their logs could found the replica set once more.
//!
//! The entries themselves are not needed: a change of the replica set is committed only once a quorum of the new set has it and so
//! all before it. It is up to the caller to know that such a change is committed.

use std::sync::Arc;

use super::{Replica, Role};
use crate::Time;
use crate::entry::LogPosition;
use crate::log::Log;
use crate::records::ChunkRecords;
use crate::snapshot::Snapshot;

impl Replica {
    /// Drops log and state. Only for a member whose newest replica set was replaced by a committed one without it, as is known from
    /// elsewhere. The caller replaces its state machine by an empty one at once. A leader or candidate keeps everything; false then.
    pub fn become_tombstone(&mut self, now: Time) -> bool {
        self.advance_clock(now);
        if matches!(self.role, Role::Leader | Role::Candidate) {
            return false;
        }
        self.vote_floor = self.vote_floor.max(self.log.last());
        self.step_down();
        self.drop_log();
        self.rewrite(ChunkRecords::Received(Arc::new([])), false);
        true
    }

    /// Whether it knows no replica set and holds nothing of one.
    pub fn is_tombstone(&self) -> bool {
        self.members().is_empty() && self.log.last_index() == 0 && self.incoming_snapshot.is_none()
    }

    fn drop_log(&mut self) {
        let position = LogPosition::default();
        self.log = Log::new(position, vec![]);
        self.snapshot = Arc::new(Snapshot { position, members: vec![], source: None });
        self.commit_index = position.index;
        self.membership_commit_index = position.index;
        self.persistence.drop_log();
        self.incoming_snapshot = None;
        self.application.reset(position.index);
        self.ready.restore.clear();
        self.ready.committed.clear();
        self.compaction.reset();
    }
}
