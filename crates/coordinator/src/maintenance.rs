//! What a process does from time to time: it announces its disk, reports workers whose heartbeats are missing, and, where it leads
//! a shard, keeps that shard's replica set complete.

use std::collections::BTreeSet;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_registry::{Phase, Worker};

use crate::calls::Goal;
use crate::frame::{MemberRecord, Request};
use crate::{BATCH_SHARDS, CONTROL, Coordinator, Effect, MISSED_HEARTBEATS};

/// Between two announcements of a process's disk, in microseconds.
pub(crate) const ANNOUNCE_INTERVAL: Time = SECOND;

impl Coordinator {
    /// Runs all of it once, several times a second. The order is part of the behaviour: each step sees what those before it did.
    pub(crate) fn run_maintenance(&mut self) {
        self.mark_unresponsive_workers();
        self.diagnose();
        self.check_memory();
        if self.announce_at <= self.now.steady {
            self.announce_at = self.now.steady + ANNOUNCE_INTERVAL;
            self.announce();
        }
        if self.shards.get(&CONTROL).is_some_and(|shard| shard.led) {
            self.post();
            self.place_configuration_members();
            self.create_shards();
            self.fence_absent_disks();
        }
        for number in 1..=BATCH_SHARDS {
            if self.shards.get(&number).is_some_and(|shard| shard.replica.is_leader()) {
                self.place_store_members(number);
            }
        }
        self.tombstone_lost_memberships();
        self.watch_routes();
    }

    /// Publishes workers as unresponsive whose heartbeats this process is the registrar for, and that miss several of them.
    fn mark_unresponsive_workers(&mut self) {
        let now = self.now.steady;
        if !self.info.role.is_gateway() {
            return;
        }
        if self.is_isolated(self.now) {
            // Heartbeats go elsewhere meanwhile; once that is over, the full time is given again.
            self.heartbeats.clear();
            return;
        }
        let timeout = (self.info.heartbeat_interval as f64 * MISSED_HEARTBEATS) as Time;
        let mut unresponsive: Vec<Worker> = Vec::new();
        let mut registered = BTreeSet::new();
        for worker in self.gossip.workers().filter(|worker| worker.phase == Phase::Ready) {
            if self.registrar(&worker.service) != Some(self.info.peer_address) {
                continue;
            }
            registered.insert(worker.id.clone());
            if self.heartbeats.get(&worker.id).is_some_and(|last| now - last > timeout) {
                unresponsive.push(worker.clone());
            }
        }
        self.heartbeats.retain(|id, _| registered.contains(id));
        for id in registered {
            // This process may have become the registrar just now: the first heartbeat gets the full time.
            self.heartbeats.entry(id).or_insert(now);
        }
        for mut worker in unresponsive {
            self.heartbeats.remove(&worker.id);
            worker.phase = Phase::Unresponsive;
            self.effects.push(Effect::Log("worker unresponsive", worker.id.clone()));
            self.publish_worker(worker);
        }
    }

    /// Asks for membership in the configuration's shard (a gateway's disk), or to be listed as a store, until the topology shows
    /// it.
    fn announce(&mut self) {
        let Some(me) = self.me() else { return };
        let seat = MemberRecord::from(&me);
        let request = if self.info.role.is_gateway() {
            if self.topology.configuration_members.iter().any(|member| member.id == me.id) {
                return;
            }
            Request::Join { seat }
        } else {
            if self.topology.stores.iter().any(|store| store.member == seat) {
                return;
            }
            Request::Shelve { seat }
        };
        self.ask(CONTROL, &request, Bytes::new(), Goal::Nobody, ANNOUNCE_INTERVAL, 0, 503);
    }
}
