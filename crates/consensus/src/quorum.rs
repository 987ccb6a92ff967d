//! Quorums of a group, some of whose members may be fenced.
//!
//! A quorum is a majority of the group. Where the group is of even size and has a fenced member, one half of it without any
//! fenced member is a quorum too: a group of two that has lost one disk for good goes on with the other.
//!
//! Why any two quorums of one group have a member in common: a majority meets each half. Two halves that are formed under fences
//! F and F' are disjoint only if together they are the whole group. Fences are decided in one order by another group and are
//! only added to, so one of the two contains the other, say F is part of F'; then neither half has a member of F, which is not
//! empty within the group. That a fenced member may still run, and does not know, changes nothing of this.

use std::collections::BTreeSet;

use crate::{Member, MemberId};

/// The quorums of one group under the fences known here.
pub struct Quorums<'a> {
    group: &'a [Member],
    fenced: &'a BTreeSet<MemberId>,
}

impl<'a> Quorums<'a> {
    /// The quorums of `group`, where the disks in `fenced` have no part in breaking a tie.
    pub fn new(group: &'a [Member], fenced: &'a BTreeSet<MemberId>) -> Self {
        Self { group, fenced }
    }

    fn is_fenced(&self, member: &Member) -> bool {
        self.fenced.contains(&member.id)
    }

    /// Whether half of the group, without fenced members, is enough.
    fn half_is_enough(&self) -> bool {
        self.group.len().is_multiple_of(2) && self.group.iter().any(|member| self.is_fenced(member))
    }

    /// Whether the members that agree are a quorum.
    pub fn is_met(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let agreeing = || self.group.iter().filter(|member| agrees(member.id));
        let half = self.group.len() / 2;
        if agreeing().count() > half {
            return true;
        }
        self.half_is_enough() && agreeing().filter(|member| !self.is_fenced(member)).count() >= half
    }

    /// The greatest figure that all members of some quorum have reached.
    pub fn reached<T: Ord + Default + Copy>(&self, figure: impl Fn(&Member) -> T) -> T {
        let half = self.group.len() / 2;
        let by_majority = nth_greatest(self.group.iter().map(&figure), half + 1);
        if !self.half_is_enough() {
            return by_majority;
        }
        let free = self.group.iter().filter(|member| !self.is_fenced(member));
        by_majority.max(nth_greatest(free.map(&figure), half))
    }
}

/// The figure that `count` of them have reached; the least there is where they are fewer.
pub fn nth_greatest<T: Ord + Default + Copy>(positions: impl Iterator<Item = T>, count: usize) -> T {
    let mut positions: Vec<T> = positions.collect();
    positions.sort_unstable_by(|a, b| b.cmp(a));
    positions.get(count.saturating_sub(1)).copied().unwrap_or_default()
}
