//! What falls to this process from time to time: to ask for its own seat, to call workers silent, and, where it leads a part, to
//! give the part's seats to those who are there (`seats`).

use std::collections::BTreeSet;

use rainlug::{SECOND, Time};
use rainlug_registry::Phase;

use crate::calls::CallRequest;
use crate::frame::{MemberRecord, Request};
use crate::{BATCH_SHARDS, CONTROL, Coordinator, Effect};

/// Between two words of a process about itself.
pub(crate) const ANNOUNCE: Time = SECOND;
/// Heartbeats that may be missing before a worker counts as unresponsive; the share leaves room for one that is late.
const MAX_MISSED_HEARTBEATS: f64 = 3.2;

impl Coordinator {
    pub(crate) fn run_maintenance(&mut self) {
        self.mark_unresponsive_workers();
        self.diagnose();
        self.check_memory();
        if self.maintenance.announce_at <= self.now.steady {
            self.maintenance.announce_at = self.now.steady + ANNOUNCE;
            self.announce();
        }
        if self.shards.get(&CONTROL).is_some_and(|p| p.is_leader) {
            self.publish_control_state();
            self.place_configuration_members();
            self.create_shards();
            self.fence_absent_disks();
        }
        for number in 1..=BATCH_SHARDS {
            if self.shards.get(&number).is_some_and(|p| p.replica.is_leader()) {
                self.place_store_members(number);
            }
        }
        self.tombstone_lost_memberships();
        self.track_routes();
    }

    /// Workers whose beats are this process's duty, and do not come.
    fn mark_unresponsive_workers(&mut self) {
        let (now, patience) =
            (self.now.steady, (self.info.heartbeat_interval as f64 * MAX_MISSED_HEARTBEATS) as Time);
        if !self.info.role.is_gateway() {
            return;
        }
        if self.is_isolated(self.now) {
            // Beats go elsewhere meanwhile; at its return they are awaited in full.
            self.heartbeats.clear();
            return;
        }
        let mut quiet = Vec::new();
        let mut mine = BTreeSet::new();
        for worker in self.gossip.workers().filter(|w| w.phase == Phase::Ready) {
            if self.registrar(&worker.service) != Some(self.info.peer_address) {
                continue;
            }
            mine.insert(worker.id.clone());
            if self.heartbeats.get(&worker.id).is_some_and(|at| now - at > patience) {
                quiet.push(worker.clone());
            }
        }
        self.heartbeats.retain(|id, _| mine.contains(id));
        for id in mine {
            // The duty may have just come here: the first beats are awaited in full.
            self.heartbeats.entry(id).or_insert(now);
        }
        for mut worker in quiet {
            self.heartbeats.remove(&worker.id);
            worker.phase = Phase::Unresponsive;
            self.effects.push(Effect::Log("silent", worker.id.clone()));
            self.publish_worker(worker);
        }
    }

    /// Asks for a seat in the core, or to be on the roster of stores.
    fn announce(&mut self) {
        let Some(me) = self.own_member() else { return };
        let member = MemberRecord::from(&me);
        if self.info.role.is_gateway() {
            if !self.topology.configuration_members.iter().any(|s| s.id == me.id) {
                let request = Request::Join { member };
                self.call_shard(CallRequest::internal(CONTROL, &request, ANNOUNCE));
            }
        } else if !self.topology.stores.iter().any(|s| s.member == member) {
            let request = Request::RegisterStore { member };
            self.call_shard(CallRequest::internal(CONTROL, &request, ANNOUNCE));
        }
    }
}
