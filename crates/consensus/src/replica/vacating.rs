//! A member that gives up its log and state, because it has no seat in the group any more.
//!
//! It must not become a member that never was: its group may have had entries, and votes, of it. So it keeps on its disk what
//! others may still build on:
//!
//! - its term and its vote in that term, so that it never votes twice in a term;
//! - where its log ended (`vote_floor`). It may know, alone of all that can be reached, of a change that has ended an old group. A
//!   member that missed that change may ask it for a vote of the old group. It refused because of its longer log, and goes on to;
//! - that it was here: with any record on the disk, a founding group does not count any more. Without that, members of the
//!   founding group that give up their logs could found the group once more.
//!
//! The entries themselves are not needed: a change of the group is committed only once a quorum of the new group has it and so all
//! before it. It is up to the caller to know that such a change is committed.

use std::sync::Arc;

use super::{Replica, Role};
use crate::log::{Log, Snapshot};
use crate::records::ChunkRecords;
use crate::{Index, Time};

impl Replica {
    /// Gives up log and state. Only for a member whose newest group was replaced by a committed one without it, told from elsewhere.
    /// The caller drops its state machine for an empty one at once. A leader or candidate keeps everything; false then.
    pub fn become_tombstone(&mut self, now: Time) -> bool {
        self.wake(now);
        if matches!(self.role, Role::Leader | Role::Candidate) {
            return false;
        }
        self.vote_floor = self.vote_floor.max((self.log.last_term(), self.log.last()));
        self.step_down();
        self.drop_log();
        self.rewrite(ChunkRecords::Received(Arc::new([])), false);
        true
    }

    /// Whether it knows no group and holds nothing of one.
    pub fn is_tombstone(&self) -> bool {
        let group = self.log.group();
        group.after.is_empty() && self.log.last() == 0 && self.incoming.is_none()
    }

    fn drop_log(&mut self) {
        const NOTHING: Index = 0;
        self.log = Log::new(NOTHING, 0, vec![]);
        self.snapshot = Arc::new(Snapshot { index: NOTHING, term: 0, group: vec![], state: None });
        (self.commit, self.applied, self.stable, self.settled) = (NOTHING, NOTHING, NOTHING, NOTHING);
        // Nothing that was to be acknowledged is kept.
        self.unsaved.clear();
        self.held.clear();
        self.incoming = None;
        self.restoring.clear();
        self.output.restore.clear();
        self.output.committed.clear();
        (self.weight, self.compact_asked, self.state_wanted) = (0, false, false);
    }
}
