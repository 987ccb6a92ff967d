//! What a process does from time to time: it announces its disk, reports workers whose heartbeats are missing, and, where it leads
//! a shard, keeps that shard's replica set complete.

use std::collections::BTreeSet;

use rainlug::{SECOND, Time};
use rainlug_registry::{Phase, Worker};

use crate::calls::CallRequest;
use crate::frame::{MemberRecord, Request};
use crate::{CONTROL, Coordinator, Effect};

/// Between two announcements of a process's disk, in microseconds.
pub(crate) const ANNOUNCE_INTERVAL: Time = SECOND;
/// Heartbeats that may be missing before a worker counts as unresponsive; the fraction leaves room for one that is late.
const MAX_MISSED_HEARTBEATS: f64 = 3.2;

impl Coordinator {
    /// Runs all of it once, several times a second. The order is part of the behaviour: each step sees what those before it did.
    pub(crate) fn run_maintenance(&mut self) {
        self.mark_unresponsive_workers();
        self.diagnose();
        self.publish_capacity();
        self.check_memory();
        if self.maintenance.announce_at <= self.now.steady {
            self.maintenance.announce_at = self.now.steady + ANNOUNCE_INTERVAL;
            self.announce();
        }
        if self.shards.get(&CONTROL).is_some_and(|shard| shard.is_leader) {
            self.publish_control_state();
            self.place_configuration_members();
            self.create_shards();
            self.fence_absent_disks();
        }
        self.report_ties();
        self.departures.drop_old(self.now.steady);
        self.request_departure();
        for number in 1..=self.info.last_shard() {
            if self.shards.get(&number).is_some_and(|shard| shard.replica.is_leader()) {
                self.place_store_members(number);
            }
        }
        self.clean_up_primitives();
        self.move_leaderships();
        self.tombstone_lost_memberships();
        self.track_routes();
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
        let timeout = (self.info.heartbeat_interval as f64 * MAX_MISSED_HEARTBEATS) as Time;
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
        let Some(me) = self.own_member() else { return };
        let member = MemberRecord::from(&me);
        let request = if self.info.role.is_gateway() {
            if self.topology.configuration_members.iter().any(|known| known.id == me.id) {
                return;
            }
            Request::Join { member }
        } else {
            if self.topology.stores.iter().any(|store| store.member == member) {
                return;
            }
            Request::RegisterStore { member }
        };
        self.call_shard(CallRequest::internal(CONTROL, &request, ANNOUNCE_INTERVAL));
    }
}
