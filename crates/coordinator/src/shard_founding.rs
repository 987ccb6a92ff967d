//! Founding of the shards that stores hold: the leader of the configuration's shard gives each a first replica set as soon as there are
//! enough stores, and the stores named in it open their replicas when the topology tells them.

use std::collections::BTreeMap;

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, MemberId};

use crate::control::Change;
use crate::frame::join;
use crate::topology::decode_members;
use crate::{CONTROL, Coordinator, Origin};

/// How long to wait for the target number of stores once the fewest that are needed are there, in microseconds.
const GATHERING_TIMEOUT: Time = 3 * SECOND;

/// How the replica sets that are founded so far use the stores.
#[derive(Default)]
struct PlacedReplicas {
    replicas: BTreeMap<MemberId, usize>,
    /// Of those, the places at the head of a replica set: the first member campaigns first.
    first_places: BTreeMap<MemberId, usize>,
}

impl PlacedReplicas {
    fn add(&mut self, members: &[Member]) {
        if let Some(first) = members.first() {
            *self.first_places.entry(first.id).or_default() += 1;
        }
        for member in members {
            *self.replicas.entry(member.id).or_default() += 1;
        }
    }

    /// The first replica set of another shard: zones in turn, in each zone the store with the fewest replicas; equals in an order
    /// that is rotated by the shard's number. The store with the fewest first places comes first.
    fn next_replica_set(&self, stores: &[Member], number: u16, target: usize) -> Vec<Member> {
        let count = |counts: &BTreeMap<MemberId, usize>, m: &Member| counts.get(&m.id).copied().unwrap_or(0);
        let rotated: Vec<&Member> =
            (0..stores.len()).map(|i| &stores[(i + usize::from(number)) % stores.len()]).collect();
        let mut members: Vec<Member> = Vec::new();
        while members.len() < target.min(stores.len()) {
            let members_in = |zone: &str| members.iter().filter(|m| m.zone == zone).count();
            let free = rotated.iter().filter(|store| members.iter().all(|member| member.id != store.id));
            let next = free.min_by_key(|store| (members_in(&store.zone), count(&self.replicas, store)));
            let Some(next) = next.map(|store| Member::clone(store)) else { break };
            members.push(next);
        }
        let first = (0..members.len()).min_by_key(|at| count(&self.first_places, &members[*at]));
        if let Some(first) = first {
            members.swap(0, first);
        }
        members
    }
}

impl Coordinator {
    /// Founds the shards that are missing, once there are enough stores.
    pub(crate) fn create_shards(&mut self) {
        let now = self.now.steady;
        let (min, target) = (self.info.min_members(), self.info.target_members());
        let Some(control) = self.shards.get(&CONTROL).and_then(|shard| shard.control()) else { return };
        let staying = control.stores.values().filter(|store| !store.is_retiring());
        let stores: Vec<Member> = staying.map(|store| store.member.clone()).collect();
        let missing: Vec<u16> = (1..=self.info.last_shard())
            .filter(|number| !control.replica_sets.contains_key(number))
            .collect();
        if missing.is_empty() || stores.len() < min {
            return;
        }
        let since = *self.maintenance.enough_stores_since.get_or_insert(now);
        if stores.len() < target && now - since < GATHERING_TIMEOUT {
            return;
        }
        let mut placed = PlacedReplicas::default();
        control.replica_sets.values().for_each(|set| placed.add(&set.members));
        for number in missing {
            let members = placed.next_replica_set(&stores, number, target);
            placed.add(&members);
            self.propose_maintenance(Change::founded(number, &members));
        }
    }

    /// Proposes a change of the configuration's shard on this process's own account.
    pub(crate) fn propose_maintenance(&mut self, change: Change) {
        let nonce = self.calls.next_nonce();
        // No call waits for this nonce: whether the change took effect is seen in the state.
        self.propose(CONTROL, Origin::Own(nonce), join(&change, &[]));
    }

    /// Opens the replicas of shards that were founded with this store's disk, where it has none yet.
    pub(crate) fn open_founded_shards(&mut self) {
        let Some(me) = self.own_member().filter(|_| !self.info.role.is_gateway()) else { return };
        for set in self.topology.replica_sets.clone() {
            if self.shards.contains_key(&set.shard) || !set.has_founder(me.id) {
                continue;
            }
            if let Ok(founding) = decode_members(&set.founding) {
                let _ = self.open_shard(set.shard, founding, &[]);
            }
        }
    }
}
