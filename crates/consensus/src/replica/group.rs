//! The group and what its members have reached: quorums, copies, and whether a change has been handed over.

use super::{Progress, Replica};
use crate::quorum::{Quorums, nth_greatest};
use crate::{Index, Member};

impl Replica {
    /// The groups of which each must agree.
    pub(super) fn groups(&self) -> impl Iterator<Item = &[Member]> {
        let group = self.log.group();
        let before = (!self.is_replica_set_committed() && !group.before.is_empty()).then_some(&*group.before);
        std::iter::once(&*group.after).chain(before)
    }
    pub fn is_replica_set_committed(&self) -> bool {
        self.log.group().index <= self.commit.max(self.settled)
    }
    /// How many of a group must have saved an entry before it is committed, while no change of the group is under way.
    pub(super) fn copies(&self, group: usize) -> usize {
        (group / 2 + 1).max(self.settings.min_replicas.min(group))
    }
    /// A figure of each follower, and this member's own.
    pub(super) fn figure<T: Default>(&self, member: &Member, of: impl Fn(&Progress) -> T, own: T) -> T {
        if member.id == self.me.id {
            return own;
        }
        self.progress.get(&member.id).map_or_else(T::default, of)
    }
    /// What a quorum of each group that must agree has reached; of this member it is `own`.
    pub(super) fn reached_by_quorums<T: Ord + Default + Copy>(
        &self,
        of: impl Fn(&Progress) -> T,
        own: T,
    ) -> T {
        let reached =
            |group| Quorums::new(group, &self.fenced).reached(|member| self.figure(member, &of, own));
        self.groups().map(reached).min().unwrap_or_default()
    }
    /// The newest entry that is on the disks of enough members to be committed.
    pub(super) fn saved_by_enough(&self) -> Index {
        let figure = |member: &Member| self.figure(member, |progress| progress.matched, self.stable);
        let group = self.log.group();
        if self.is_replica_set_committed() {
            return nth_greatest(group.after.iter().map(figure), self.copies(group.after.len()));
        }
        // While the group changes: quorums of both groups know of it, and it is on as many disks as must hold it, of either.
        let mut either: Vec<&Member> = group.after.iter().chain(&group.before).collect();
        either.sort_unstable_by_key(|member| member.id);
        either.dedup_by_key(|member| member.id);
        let copies = self.settings.min_replicas.min(group.after.len());
        let known = self.reached_by_quorums(|progress| progress.matched, self.stable);
        known.min(nth_greatest(either.into_iter().map(figure), copies))
    }
    /// Whether so many members of the newest group as an entry needs to be committed hold all up to its change on their disks,
    /// and know there that it is committed. What was committed before, and the group itself, then rest on no member that has left.
    pub fn is_replica_set_durable(&self) -> bool {
        let group = self.log.group();
        let own = if self.has_saved_settled() { self.stable } else { 0 };
        let figure = |member: &Member| self.figure(member, |p| p.matched.min(p.settled), own);
        self.is_replica_set_committed()
            && nth_greatest(group.after.iter().map(figure), self.copies(group.after.len())) >= group.index
    }
    /// All but this member.
    pub(super) fn others(&self) -> Vec<Member> {
        let mut others: Vec<Member> =
            self.groups().flatten().filter(|member| member.id != self.me.id).cloned().collect();
        others.sort_unstable();
        others.dedup_by_key(|member| member.id);
        others
    }

    pub(super) fn has_seat(&self) -> bool {
        self.groups().flatten().any(|member| member.id == self.me.id)
    }
}
