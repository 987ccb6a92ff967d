//! Commitment (Raft 3.6.2): an entry is committed once it is on the disks of enough members, and the leader has one of its own term
//! there.

use super::{Replica, Role};
use crate::quorum::nth_greatest;
use crate::{Index, Member};

impl Replica {
    /// A leader commits what is on enough disks.
    pub(super) fn advance_commit(&mut self) {
        while self.role == Role::Leader {
            let index = self.persisted_by_enough();
            if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
                break;
            }
            self.commit_to(index);
        }
    }

    /// The entries up to this index are committed. Where the newest replica set is among them, a leader informs its followers, and
    /// steps down where it is not a member any more (Raft 4.2.2).
    pub(super) fn commit_to(&mut self, index: Index) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        let replica_set_index = self.replica_set_index();
        if replica_set_index <= self.membership_commit_index
            || replica_set_index > self.commit_index
            || replica_set_index <= self.snapshot.position.index
        {
            return;
        }
        self.mark_membership_committed(replica_set_index);
        if self.role != Role::Leader {
            return;
        }
        // A member that was removed gets no later message.
        self.is_broadcast_pending = true;
        self.replicate();
        let members = &self.log.replica_set().members;
        self.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
        if members.iter().all(|member| member.id != self.local_member.id) {
            self.step_down();
        }
    }

    /// The newest entry that is on the disks of enough members to be committed.
    fn persisted_by_enough(&self) -> Index {
        let own = self.persistence.persisted_index();
        let matched = |member: &Member| self.value_of(member, |progress| progress.matched_index, own);
        let replica_set = self.log.replica_set();
        if self.is_replica_set_committed() {
            let required = self.required_replicas(replica_set.members.len());
            return nth_greatest(replica_set.members.iter().map(matched), required);
        }
        // While the replica set changes: quorums of both sets have the entry, and it is on the least number of disks, of either.
        let mut either: Vec<&Member> = replica_set.members.iter().chain(&replica_set.previous).collect();
        either.sort_unstable_by_key(|member| member.id);
        either.dedup_by_key(|member| member.id);
        let required = self.settings.min_replicas.min(replica_set.members.len());
        let by_quorums = self.reached_by_quorums(|progress| progress.matched_index, own);
        by_quorums.min(nth_greatest(either.into_iter().map(matched), required))
    }
}
