//! Fencing of disks, and new identities for disks that must not vote as what they were.
//!
//! A replica set that has lost exactly half of its members cannot elect a leader. Where other stores could take the lost places,
//! the configuration's shard fences the absent disks: their votes do not count any more, so the half that is left decides. A
//! disk that was only isolated comes back under a new identity, as an empty one (VR revisited, recovery).
//!
//! While a replica set changes, the old and the new one must agree. The configuration's shard knows only what was reported as committed,
//! so members report a set that is tied ([`crate::tied_sets`]).

use std::collections::BTreeSet;

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, MemberId};
use rand::Rng;

use crate::control::{Change, Control};
use crate::{CONTROL, Coordinator, Effect};

/// A member that has been absent for longer is fenced where its replica set cannot decide without it, in microseconds.
const FENCE_ABSENT_AFTER: Time = SECOND;

/// Whether more than half of an even replica set is fenced: nobody could decide then.
fn exceeds_half(members: &[Member], is_fenced: impl Fn(MemberId) -> bool) -> bool {
    let fenced = members.iter().filter(|member| is_fenced(member.id)).count();
    members.len().is_multiple_of(2) && 2 * fenced > members.len()
}

impl Coordinator {
    /// Fences disks whose absence leaves half of a replica set of a shard of stores, where another store could take their place: of the
    /// sets that were reported as committed, and of those that members report as tied.
    pub(crate) fn fence_absent_disks(&mut self) {
        let now = self.now.steady;
        self.ties.drop_old(now);
        let Some(control) = self.shards.get(&CONTROL).and_then(|shard| shard.control()) else { return };
        let reported = control.replica_sets.values().map(|set| &*set.members);
        let sets: Vec<&[Member]> = reported.chain(self.ties.sets()).collect();
        let is_fenced = |disk| control.is_fenced(disk);
        let mut fences: BTreeSet<MemberId> = BTreeSet::new();
        for members in &sets {
            let disks = self.disks_to_fence(members, is_fenced);
            let fenced_after = |disk| is_fenced(disk) || fences.contains(&disk) || disks.contains(&disk);
            // A disk may be one of the last that hold another shard.
            let is_bearable = sets.iter().all(|set| !exceeds_half(set, fenced_after));
            if !disks.is_empty() && is_bearable && self.has_spare_store(control, members) {
                fences.extend(disks);
            }
        }
        for disk in fences {
            self.effects.push(Effect::Log("fence", format!("disk {disk:x}")));
            self.propose_maintenance(Change::Fence { disk });
        }
    }

    /// The absent members of a replica set that has lost exactly half of its members, be they absent or fenced; nobody otherwise. Where more
    /// are gone the others cannot decide, and those that are absent may be the only ones that hold everything.
    pub(crate) fn disks_to_fence(
        &self,
        members: &[Member],
        is_fenced: impl Fn(MemberId) -> bool,
    ) -> Vec<MemberId> {
        let is_absent = |member: &&Member| {
            // Another disk may be at its address by now.
            !is_fenced(member.id) && self.absence(&member.address) > FENCE_ABSENT_AFTER
        };
        let absent: Vec<MemberId> = members.iter().filter(is_absent).map(|member| member.id).collect();
        let fenced = members.iter().filter(|member| is_fenced(member.id)).count();
        if 2 * (absent.len() + fenced) == members.len() { absent } else { Vec::new() }
    }

    /// Whether a live store could join these members: one that stays, or one that retires and cannot have been taken away yet.
    fn has_spare_store(&self, control: &Control, members: &[Member]) -> bool {
        control.stores.values().any(|store| {
            !control.may_go(store)
                && !control.is_fenced(store.member.id)
                && self.peers.live.contains_key(&store.member.address)
                && members.iter().all(|member| member.id != store.member.id)
        })
    }

    /// Tells all replicas of a store here which disks are fenced.
    pub(crate) fn apply_fences(&mut self) {
        for number in 1..=self.info.last_shard() {
            if let Some(shard) = self.shards.get_mut(&number) {
                shard.replica.fence(self.now.steady, self.topology.fenced.iter().copied());
                self.process_output(number);
            }
        }
    }

    /// A store whose disk was fenced, and is no member of any replica set any more, goes on with a new disk identity.
    pub(crate) fn replace_fenced_disk_identity(&mut self) {
        let Some(disk) = self.info.disk else { return };
        if self.info.role.is_gateway() || !self.topology.is_fenced(disk) {
            return;
        }
        let may_be_member = |number: u16| {
            let set = self.topology.replica_set(number);
            set.is_none_or(|set| set.has_member(disk))
        };
        if !(1..=self.info.last_shard()).any(may_be_member) {
            self.replace_disk_identity(disk);
        }
    }

    /// From now on the store is one with an empty disk.
    fn replace_disk_identity(&mut self, disk: MemberId) {
        self.shards.clear();
        let new: MemberId = self.rng.random::<u64>().max(1);
        self.info.disk = Some(new);
        let details = format!("disk {disk:x} is {new:x} from now on");
        self.effects.push(Effect::Log("disk identity", details));
        self.effects.push(Effect::ReplaceDiskIdentity { disk: new });
    }

    /// What the disk holds of a shard cannot be read, so this process must neither serve nor vote by it. A store counts its disk
    /// as lost and is filled again; a member of the configuration's shard takes no part in it until it is replaced.
    pub(crate) fn discard_disk(&mut self, number: u16) {
        if number == CONTROL {
            self.shards.remove(&CONTROL);
            self.info.disk = None;
        } else if let Some(disk) = self.info.disk {
            self.replace_disk_identity(disk);
        }
    }
}
