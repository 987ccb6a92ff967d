//! Quorums of a replica set, some of whose members may be fenced.
//!
//! A quorum is a majority of the members. Where the replica set is of even size and has a fenced member, one half of it without any
//! fenced member is a quorum too: a replica set of two that has lost one disk for good continues with the other.
//!
//! Why any two quorums of one replica set have a member in common: a majority meets each half. Two halves that are formed under
//! fences F and F' are disjoint only if together they are the whole set. Fences are decided in one order by another shard and are
//! only added to, so one of the two contains the other, say F is contained in F'; then neither half has a member of F, which is not
//! empty within the replica set. That a fenced member may still run, and does not know, changes nothing of this.

use std::collections::BTreeSet;

use crate::{Member, MemberId};

/// The quorums of one replica set under the fences known here.
pub struct Quorums<'a> {
    members: &'a [Member],
    fenced: &'a BTreeSet<MemberId>,
}

impl<'a> Quorums<'a> {
    /// The quorums of `members`, where the disks in `fenced` have no part in breaking a tie.
    pub fn new(members: &'a [Member], fenced: &'a BTreeSet<MemberId>) -> Self {
        Self { members, fenced }
    }

    fn is_fenced(&self, member: &Member) -> bool {
        self.fenced.contains(&member.id)
    }

    /// Whether half of the members, without fenced ones, is enough.
    fn is_half_enough(&self) -> bool {
        self.members.len().is_multiple_of(2) && self.members.iter().any(|member| self.is_fenced(member))
    }

    /// Whether the members that agree are a quorum.
    pub fn is_met(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let agreeing = || self.members.iter().filter(|member| agrees(member.id));
        let half = self.members.len() / 2;
        if agreeing().count() > half {
            return true;
        }
        self.is_half_enough() && agreeing().filter(|member| !self.is_fenced(member)).count() >= half
    }

    /// The greatest value that all members of some quorum have reached.
    pub fn reached<T: Ord + Default + Copy>(&self, value: impl Fn(&Member) -> T) -> T {
        let half = self.members.len() / 2;
        let by_majority = nth_greatest(self.members.iter().map(&value), half + 1);
        if !self.is_half_enough() {
            return by_majority;
        }
        let unfenced = self.members.iter().filter(|member| !self.is_fenced(member));
        by_majority.max(nth_greatest(unfenced.map(&value), half))
    }
}

/// The greatest value that `count` of them have reached; the default one where they are fewer.
pub(crate) fn nth_greatest<T: Ord + Default + Copy>(values: impl Iterator<Item = T>, count: usize) -> T {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(count.saturating_sub(1)).copied().unwrap_or_default()
}
