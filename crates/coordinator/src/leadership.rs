//! Which of its shards a process should not lead, and to whom it hands them over.
//!
//! A leader that waits to be replaced leaves its shard without one for an election timeout. It hands its post over by itself instead
//! (leadership transfer, Raft 3.10) in three cases:
//!
//! - The process is about to end. The items that run there are waited for, so that they are not run twice.
//! - Its disk has stalled or is full. Followers still commit without it, but it could not vote or persist anything if it were asked to.
//! - It leads more than its share of the batch jobs' bytes, while another member of the replica set leads few. All outputs of a
//!   shard go through its leader's link and memory, so leaders that gathered at one store during faults make it refuse jobs. Shards are
//!   moved one at a time; no item is started in a shard that is about to move, so that few are run twice.

use std::collections::BTreeMap;

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, MemberId};

use crate::shard::Shard;
use crate::{CONTROL, Coordinator, Effect, Now};

/// What leading a shard counts for beside the bytes of its state: link and processor time also go to small ones.
const SHARD_BASE_BYTES: u64 = 1 << 20;
/// A shard is moved where its new leader then leads no more than this fraction of what the old one led, in quarters. Less would move
/// shards forth and back.
const MAX_LOAD_QUARTERS: u64 = 3;
/// So long no shard that this process knows of has had another leader before one is moved for balance. A move interrupts the items that
/// run in the shard, so it waits until restarts and elections are over.
const SETTLING_TIME: Time = 10 * SECOND;
/// How long the items that run in a shard are waited for before it is moved.
const ITEM_DRAIN_TIME: Time = 2 * SECOND;
/// A store that did not take a shard over is not asked again for so long. It may answer and have a disk that does not: while a transfer
/// is tried the shard takes no proposals.
const FAILED_TARGET_TIME: Time = 30 * SECOND;

/// Why a shard is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveReason {
    /// The process is about to end.
    Stopping,
    /// Its disk has stalled or is full.
    DiskStalled,
    /// It leads more than its share.
    Balance,
}

/// A shard that is about to be moved to another leader, for balance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedMove {
    shard: u16,
    target: MemberId,
    /// It is made then at the latest (steady clock).
    deadline: Time,
}

/// A process's handing over of leaderships.
#[derive(Default)]
pub(crate) struct LeadershipMoves {
    /// The process is about to end; until then (steady clock) it waits for the items that run.
    stopping_until: Option<Time>,
    planned: Option<PlannedMove>,
    /// Transfers that have begun and whose end was not seen yet: the target by shard.
    begun: BTreeMap<u16, MemberId>,
    /// Members that did not take a shard over, and until when (steady clock) they are not asked again.
    failed_targets: BTreeMap<MemberId, Time>,
    /// Who leads the shards that stores hold, as far as this process's replicas know.
    known_leaders: BTreeMap<u16, MemberId>,
    /// Since when (steady clock) that has not changed.
    unchanged_since: Time,
}

/// A shard's weight in the balance of leaders, in bytes.
fn leader_load(shard: &Shard) -> u64 {
    SHARD_BASE_BYTES + shard.log_use().rewritten
}

/// How many items of a shard that is led here run.
fn running_items(shard: &Shard) -> usize {
    shard.schedule.as_ref().map_or(0, |schedule| schedule.running_count())
}

impl Coordinator {
    /// The process is about to end: hands over every shard that it leads, or comes to lead, once its items have ended. They are
    /// waited for until then, by the steady clock.
    pub fn transfer_leaderships(&mut self, now: Now, wait_until: Time) {
        self.now = now;
        self.leadership_moves.stopping_until = Some(wait_until);
        self.move_leaderships();
        self.run_deferred_work();
    }

    /// Whether this process leads any shard.
    pub fn leads_any_shard(&self) -> bool {
        self.shards.values().any(|shard| shard.replica.is_leader())
    }

    /// Whether no item is to be started in a shard, as it is about to be moved.
    pub(crate) fn is_about_to_move(&self, number: u16) -> bool {
        self.leadership_moves.stopping_until.is_some()
            || self.leadership_moves.planned.is_some_and(|planned| planned.shard == number)
    }

    /// Hands over what this process should not lead. Part of the periodic maintenance.
    pub(crate) fn move_leaderships(&mut self) {
        self.record_failed_transfers();
        self.transfer_unsuitable();
        if self.leadership_moves.stopping_until.is_none() {
            self.balance_leaders();
        }
    }

    /// Hands over the shards that this process cannot lead well: all where it is about to end, else those whose disk has stalled.
    fn transfer_unsuitable(&mut self) {
        let now = self.now.steady;
        let stopping_until = self.leadership_moves.stopping_until;
        let is_drained = |shard: &Shard, until: Time| running_items(shard) == 0 || now >= until;
        let reason = |shard: &Shard| {
            if stopping_until.is_some_and(|until| is_drained(shard, until)) {
                return Some(MoveReason::Stopping);
            }
            shard.disk.is_stalled(now).then_some(MoveReason::DiskStalled)
        };
        let begun = &self.leadership_moves.begun;
        let led = self.shards.iter().filter(|(_, shard)| shard.replica.is_serving_leader());
        let unmoved = led.filter(|(number, _)| !begun.contains_key(number));
        let unsuitable: Vec<(u16, MoveReason)> =
            unmoved.filter_map(|(number, shard)| Some((*number, reason(shard)?))).collect();
        for (number, reason) in unsuitable {
            if let Some(target) = self.best_successor(number, reason) {
                self.transfer_leadership(number, target);
            }
        }
    }

    /// Records which transfers have been abandoned, so that their targets are not asked again soon.
    fn record_failed_transfers(&mut self) {
        let now = self.now.steady;
        let moves = &mut self.leadership_moves;
        moves.failed_targets.retain(|_, until| now < *until);
        for (number, target) in std::mem::take(&mut moves.begun) {
            let Some(shard) = self.shards.get(&number) else { continue };
            if shard.replica.is_transferring_leadership() {
                moves.begun.insert(number, target);
            } else if shard.replica.is_leader() {
                moves.failed_targets.insert(target, now + FAILED_TARGET_TIME);
            }
        }
    }

    /// Plans to move one shard to a store that leads less, or makes the move that is planned.
    fn balance_leaders(&mut self) {
        let now = self.now.steady;
        self.record_leaders();
        if let Some(planned) = self.leadership_moves.planned {
            if self.is_move_due(planned) {
                self.leadership_moves.planned = None;
                self.transfer_leadership(planned.shard, planned.target);
            }
            return;
        }
        let is_moving = !self.leadership_moves.begun.is_empty();
        if is_moving || now - self.leadership_moves.unchanged_since < SETTLING_TIME {
            return;
        }
        let own_load = self.known_load(self.info.disk.unwrap_or_default());
        let moves = (1..=self.info.last_shard()).filter_map(|number| self.possible_move(number, own_load));
        let best = moves.min_by_key(|(load_after, _, _)| *load_after);
        if let Some((_, shard, target)) = best {
            let deadline = now + ITEM_DRAIN_TIME;
            self.leadership_moves.planned = Some(PlannedMove { shard, target, deadline });
        }
    }

    /// Records who leads the shards that stores hold, and when that last changed.
    fn record_leaders(&mut self) {
        let leaders =
            self.store_shards().filter_map(|(number, shard)| Some((*number, shard.replica.leader()?.id)));
        let leaders: BTreeMap<u16, MemberId> = leaders.collect();
        if leaders != self.leadership_moves.known_leaders {
            self.leadership_moves.known_leaders = leaders;
            self.leadership_moves.unchanged_since = self.now.steady;
        }
    }

    /// Whether the items of a shard that is to be moved have ended, or their time has.
    fn is_move_due(&self, planned: PlannedMove) -> bool {
        self.shards.get(&planned.shard).is_none_or(|shard| running_items(shard) == 0)
            || self.now.steady >= planned.deadline
    }

    /// What the new leader of a shard would then lead, the shard and that leader, where moving it makes leaders more even.
    fn possible_move(&self, number: u16, own_load: u64) -> Option<(u64, u16, MemberId)> {
        let shard = self.shards.get(&number).filter(|shard| shard.is_leader)?;
        let target = self.best_successor(number, MoveReason::Balance)?;
        let load_after = self.known_load(target) + leader_load(shard);
        (4 * load_after <= MAX_LOAD_QUARTERS * own_load).then_some((load_after, number, target))
    }

    /// The member that would best lead a shard: one that stays, and of those the one that leads least.
    fn best_successor(&self, number: u16, reason: MoveReason) -> Option<MemberId> {
        let replica = &self.shards.get(&number)?.replica;
        let (targets, lags) = (replica.transfer_targets(), replica.replication_lag());
        let has_all = |member: &Member| lags.iter().any(|lag| lag.member == member.id && lag.entries == 0);
        // What this disk does not write others must have written: where all disks stall, nothing is gained by a move.
        let is_disk_sound = |member: &Member| reason != MoveReason::DiskStalled || has_all(member);
        let stays = |member: &&Member| {
            self.peers.live.contains_key(&member.address)
                && !self.leadership_moves.failed_targets.contains_key(&member.id)
                && !self.departures.is_departing(member.id, self.now.steady)
                && !self.topology.is_fenced(member.id)
                && !self.topology.is_retiring(member.id)
                && is_disk_sound(member)
        };
        let staying = targets.iter().filter(stays);
        staying.min_by_key(|member| (self.known_load(member.id), member.id)).map(|member| member.id)
    }

    /// What a store leads of the shards that this process has a replica of.
    fn known_load(&self, disk: MemberId) -> u64 {
        let is_led = |shard: &&Shard| shard.replica.leader().is_some_and(|leader| leader.id == disk);
        self.store_shards().map(|(_, shard)| shard).filter(is_led).map(leader_load).sum()
    }

    /// The shards other than the configuration's that this process has a replica of.
    fn store_shards(&self) -> impl Iterator<Item = (&u16, &Shard)> {
        self.shards.iter().filter(|(number, _)| **number != CONTROL)
    }

    fn transfer_leadership(&mut self, number: u16, target: MemberId) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if shard.replica.transfer_leadership(self.now.steady, target).is_err() {
            return;
        }
        self.leadership_moves.begun.insert(number, target);
        let member = shard.replica.members().iter().find(|member| member.id == target);
        let text = format!("shard {number} to {}", member.map_or("", |member| &member.name));
        self.effects.push(Effect::Log("hands over", text));
        self.process_output(number);
    }
}
