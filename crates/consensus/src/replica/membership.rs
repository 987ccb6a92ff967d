//! The replica set: its changes, its quorums, and what its members have reached.
//!
//! A change is one entry (after Raft 4.1, which changes by one member at a time), which may also swap one member for another. While
//! it is not known to be committed, elections, reads and commitment need quorums of the old and of the new replica set (as in joint
//! consensus, Raft 4.3).

use std::collections::BTreeSet;

use super::{Replica, Role};
use crate::entry::{EntryKind, LogPosition};
use crate::progress::{Progress, ProgressState};
use crate::quorum::{Quorums, nth_greatest};
use crate::{Index, Member, MemberId, ProposeError, Time, wire};

/// Whether two replica sets differ by one member, or by one that is swapped for another.
fn differ_by_one(old: &BTreeSet<MemberId>, new: &BTreeSet<MemberId>) -> bool {
    old.difference(new).count() <= 1 && new.difference(old).count() <= 1
}

impl Replica {
    /// Proposes another replica set, which differs by one member or swaps one for another: the index of its entry.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`]; or [`ProposeError::ChangeInProgress`], also where the sets differ by more, where the new one is
    /// empty, where an id is in it twice, or where leadership is being transferred.
    pub fn change_replica_set(&mut self, now: Time, members: Vec<Member>) -> Result<Index, ProposeError> {
        self.advance_clock(now);
        if self.role != Role::Leader {
            return Err(self.not_leader());
        }
        let ids = |members: &[Member]| members.iter().map(|member| member.id).collect::<BTreeSet<_>>();
        let previous = self.log.replica_set().members.clone();
        let (old, new) = (ids(&previous), ids(&members));
        let is_valid = !new.is_empty() && new.len() == members.len() && differ_by_one(&old, &new);
        // It need not have committed an entry of its own term, other than Raft 4.1 has it: where half of the replica set is fenced it
        // cannot before another member has joined. A change that was committed is on a quorum of the set that it replaced, so
        // whoever was elected has it.
        if !self.is_replica_set_committed() || !is_valid || self.is_transferring_leadership() {
            return Err(ProposeError::ChangeInProgress);
        }
        let next_index = self.log.last_index() + 1;
        for member in members.iter().filter(|member| member.id != self.local_member.id) {
            let progress = self.progress.entry(member.id).or_insert_with(|| {
                let state = ProgressState::Probe { is_sent: false };
                Progress::new(member.clone(), next_index, state, self.now)
            });
            progress.member = member.clone();
        }
        Ok(self.append(EntryKind::ReplicaSet, wire::encode_replica_set(&previous, &members)))
    }

    /// These disks have no part in breaking a tie from now on (see [`Quorums`]). Of any two sets of fences that members of a shard
    /// are ever given, one must contain the other: they are decided in one order, elsewhere. They are not kept on the disk.
    pub fn fence(&mut self, now: Time, disks: impl IntoIterator<Item = MemberId>) {
        self.advance_clock(now);
        let count = self.fenced.len();
        self.fenced.extend(disks);
        if self.fenced.len() > count {
            self.count_votes();
            self.advance_commit();
        }
    }

    /// The newest replica set that it knows; [`Replica::is_replica_set_committed`] says whether that is committed.
    pub fn members(&self) -> &[Member] {
        &self.log.replica_set().members
    }

    /// The index of the entry that names the newest replica set that it knows, or of a snapshot that does.
    pub fn replica_set_index(&self) -> Index {
        self.log.replica_set().index
    }

    /// Whether the newest replica set that it knows is known to be committed.
    pub fn is_replica_set_committed(&self) -> bool {
        self.replica_set_index() <= self.commit_index.max(self.membership_commit_index)
    }

    /// Whether as many members of the newest replica set as an entry needs to be committed have all up to its change on their disks,
    /// and know there that it is committed. What was committed before, and the replica set itself, then rest on no member that has
    /// left.
    pub fn is_replica_set_durable(&self) -> bool {
        let is_own_persisted = self.is_replica_set_committed() && self.persistence.is_membership_persisted();
        let own = if is_own_persisted { self.persistence.persisted_index() } else { 0 };
        let reached = |member: &Member| {
            let of_follower = |p: &Progress| p.matched_index.min(p.membership_committed_index);
            self.value_of(member, of_follower, own)
        };
        let members = self.members();
        let required = self.required_replicas(members.len());
        self.is_replica_set_committed()
            && nth_greatest(members.iter().map(reached), required) >= self.replica_set_index()
    }

    /// The replica set entry at this index is known to be committed.
    pub(super) fn mark_membership_committed(&mut self, index: Index) {
        if self.membership_commit_index < index {
            self.membership_commit_index = index;
            self.persist_membership_committed(index);
        }
    }

    /// Another member knows that the replica set entry at this position is committed.
    pub(super) fn learn_membership_committed(&mut self, position: LogPosition) {
        let is_newest = self.replica_set_index() == position.index
            && self.log.term_at(position.index) == Some(position.term);
        if self.role != Role::Leader && is_newest {
            self.mark_membership_committed(position.index);
        }
    }

    /// The replica sets of which each must agree: the newest one, and the one that it replaces while the change is not known to be
    /// committed.
    pub fn replica_sets(&self) -> impl Iterator<Item = &[Member]> {
        let replica_set = self.log.replica_set();
        let is_changing = !self.is_replica_set_committed() && !replica_set.previous.is_empty();
        std::iter::once(&*replica_set.members).chain(is_changing.then_some(&*replica_set.previous))
    }

    /// The members but this one.
    pub(super) fn other_members(&self) -> Vec<Member> {
        let is_other = |member: &&Member| member.id != self.local_member.id;
        let mut others: Vec<Member> = self.replica_sets().flatten().filter(is_other).cloned().collect();
        others.sort_unstable();
        others.dedup_by_key(|member| member.id);
        others
    }

    /// Whether this member is in the replica set, or in the one that is being replaced.
    pub(super) fn is_member(&self) -> bool {
        self.replica_sets().flatten().any(|member| member.id == self.local_member.id)
    }

    /// How many of so many members must have persisted an entry before it is committed, while the replica set does not change.
    pub(super) fn required_replicas(&self, members: usize) -> usize {
        (members / 2 + 1).max(self.settings.min_replicas.min(members))
    }

    /// A value of a member: `of_follower` where it is another one, `own` where it is this one.
    pub(super) fn value_of<T: Default>(
        &self,
        member: &Member,
        of_follower: impl Fn(&Progress) -> T,
        own: T,
    ) -> T {
        if member.id == self.local_member.id {
            return own;
        }
        self.progress.get(&member.id).map_or_else(T::default, of_follower)
    }

    /// What a quorum of each replica set that must agree has reached; of this member it is `own`.
    pub(super) fn reached_by_quorums<T: Ord + Default + Copy>(
        &self,
        of_follower: impl Fn(&Progress) -> T,
        own: T,
    ) -> T {
        let reached = |members| {
            let quorums = Quorums::new(members, &self.fenced);
            quorums.reached(|member| self.value_of(member, &of_follower, own))
        };
        self.replica_sets().map(reached).min().unwrap_or_default()
    }

    /// Whether a quorum of each replica set that must agree has voted for this member.
    pub(super) fn is_elected_by_quorums(&self) -> bool {
        self.replica_sets()
            .all(|members| Quorums::new(members, &self.fenced).is_met(|id| self.votes.contains(&id)))
    }
}
