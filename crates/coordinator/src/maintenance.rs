//! What falls to this process from time to time: to ask for its own seat, to call workers silent, and, where it leads a part, to
//! give the part's seats to those who are there (`seats`).

use std::collections::BTreeSet;

use rainlug::{SECOND, Time};
use rainlug_registry::Phase;

use crate::calls::Goal;
use crate::frame::{MemberRecord, Request};
use crate::{BATCH_SHARDS, CONTROL, Coordinator, Effect, MISSED_HEARTBEATS};

/// Between two words of a process about itself.
pub(crate) const ANNOUNCE: Time = SECOND;
impl Coordinator {
    pub(crate) fn run_maintenance(&mut self) {
        self.mark_unresponsive_workers();
        self.diagnose();
        self.check_memory();
        if self.announce_at <= self.now.steady {
            self.announce_at = self.now.steady + ANNOUNCE;
            self.announce();
        }
        if self.shards.get(&CONTROL).is_some_and(|p| p.led) {
            self.post();
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
        self.watch_routes();
    }

    /// Workers whose beats are this process's duty, and do not come.
    fn mark_unresponsive_workers(&mut self) {
        let (now, patience) =
            (self.now.steady, (self.info.heartbeat_interval as f64 * MISSED_HEARTBEATS) as Time);
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
        let Some(me) = self.me() else { return };
        let seat = MemberRecord::from(&me);
        if self.info.role.is_gateway() {
            if !self.topology.configuration_members.iter().any(|s| s.id == me.id) {
                self.ask(
                    CONTROL,
                    &Request::Join { seat },
                    bytes::Bytes::new(),
                    Goal::Nobody,
                    ANNOUNCE,
                    0,
                    503,
                );
            }
        } else if !self.topology.stores.iter().any(|s| s.member == seat) {
            self.ask(CONTROL, &Request::Shelve { seat }, bytes::Bytes::new(), Goal::Nobody, ANNOUNCE, 0, 503);
        }
    }
}
