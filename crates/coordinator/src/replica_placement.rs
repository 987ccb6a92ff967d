//! Who has a seat in which group: the leader of the configuration's part keeps its own group whole, founds the parts of batch
//! jobs and fences disks; the leader of a part of batch jobs keeps that part's group whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, MemberId};
use rainlug_registry::gossip;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::calls::CallRequest;
use crate::control::Change;
use crate::frame::{MemberRecord, Request, join};
use crate::maintenance::ANNOUNCE;
use crate::shard::StateMachine;
use crate::topology::decode_members;
use crate::{BATCH_SHARDS, CONTROL, Coordinator, Effect, Origin};

/// Who has not been there for so long loses a seat, if another one can have it.
const ABSENT: Time = 4 * SECOND;
/// Who has not been there for so long is fenced, where its group cannot decide without and another store could have its seat.
const FENCE_ABSENT: Time = SECOND;
/// The wait for more stores than are needed at least, before the parts are founded.
const GATHER: Time = 3 * SECOND;
/// Entries that a member may lack and still count as one that holds all: the leader goes on meanwhile.
const NEARLY_ALL: u64 = 64;

/// What disks have in the groups that are founded so far.
#[derive(Default)]
struct Founded {
    seats: BTreeMap<MemberId, usize>,
    /// Of those the first seats: who has one is the first to stand for election.
    first_seats: BTreeMap<MemberId, usize>,
}

impl Founded {
    fn add(&mut self, group: &[Member]) {
        if let Some(first) = group.first() {
            *self.first_seats.entry(first.id).or_default() += 1;
        }
        for member in group {
            *self.seats.entry(member.id).or_default() += 1;
        }
    }

    /// The first group of another part: zones in turn, in each of them who has the fewest seats. Equals are taken in an order that
    /// is turned by the part's number. The first seat goes to who has the fewest of these.
    fn next_replica_set(&self, stores: &[Member], number: u16, target: usize) -> Vec<Member> {
        let count = |counts: &BTreeMap<MemberId, usize>, m: &Member| counts.get(&m.id).copied().unwrap_or(0);
        let turned: Vec<&Member> =
            (0..stores.len()).map(|i| &stores[(i + usize::from(number)) % stores.len()]).collect();
        let mut group: Vec<Member> = Vec::new();
        while group.len() < target.min(stores.len()) {
            let crowd = |zone: &str| group.iter().filter(|m| m.zone == zone).count();
            let free = turned.iter().filter(|m| group.iter().all(|g| g.id != m.id));
            let next = free.min_by_key(|m| (crowd(&m.zone), count(&self.seats, m)));
            let Some(next) = next.map(|m| Member::clone(m)) else { break };
            group.push(next);
        }
        let first = (0..group.len()).min_by_key(|place| count(&self.first_seats, &group[*place]));
        if let Some(first) = first {
            group.swap(0, first);
        }
        group
    }
}

impl Coordinator {
    fn is_absent(&self, at: &SocketAddr) -> bool {
        self.absence(at) > ABSENT
    }

    /// How long it has not been there; 0 where it is.
    fn absence(&self, at: &SocketAddr) -> Time {
        if *at == self.info.peer_address || self.peers.live.contains_key(at) {
            return 0;
        }
        self.now.steady - self.peers.absent_since.get(at).copied().unwrap_or(self.contact.started_at)
    }

    /// Where a member of a part's group would best be replaced by, or joined by, one of those: in a zone that has the fewest of
    /// the others; there, who has the fewest seats over all parts of batch jobs.
    fn best_candidate<'a>(
        &self,
        number: u16,
        others: &[Member],
        from: impl Iterator<Item = &'a Member>,
    ) -> Option<Member> {
        let crowd = |zone: &str| others.iter().filter(|m| m.zone == zone).count();
        // Leaders of several parts that look for a seat at once do not all find the same store.
        let turn = |m: &Member| xxh3_64_with_seed(&m.id.to_le_bytes(), u64::from(number));
        from.min_by_key(|m| (crowd(&m.zone), self.topology.replica_count(m.id), turn(m))).cloned()
    }

    /// The seats of the configuration's group.
    pub(crate) fn place_configuration_members(&mut self) {
        let now = self.now.steady;
        self.join_candidates.retain(|_, (_, heard)| now - *heard < 3 * ANNOUNCE);
        let target = self.info.target_members();
        let Some(shard) = self.shards.get(&CONTROL) else { return };
        let (members, settled) = (shard.replica.members(), shard.replica.is_replica_set_committed());
        if !settled {
            return;
        }
        let members = members.to_vec();
        let fresh: Vec<Member> = self
            .join_candidates
            .values()
            .map(|(m, _)| m)
            .filter(|m| members.iter().all(|s| s.id != m.id))
            .cloned()
            .collect();
        let without =
            |out: &Member| -> Vec<Member> { members.iter().filter(|m| m.id != out.id).cloned().collect() };
        // The same machine with another disk; then who is gone; then free seats.
        let same = fresh
            .iter()
            .find_map(|f| members.iter().find(|m| m.address == f.address).map(|m| (m.clone(), f.clone())));
        let gone = members.iter().find(|m| self.is_absent(&m.address)).cloned();
        let next = if let Some((old, new)) = same {
            Some([without(&old), vec![new]].concat())
        } else if let Some(old) = gone {
            let rest = without(&old);
            self.best_candidate(CONTROL, &rest, fresh.iter().filter(|f| !self.is_absent(&f.address)))
                .map(|new| [rest, vec![new]].concat())
        } else if members.len() < target {
            self.best_candidate(CONTROL, &members, fresh.iter())
                .map(|new| [members.clone(), vec![new]].concat())
        } else {
            None
        };
        if let Some(next) = next {
            self.change_replica_set(CONTROL, next);
        }
    }

    fn change_replica_set(&mut self, number: u16, next: Vec<Member>) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if shard.replica.change_replica_set(self.now.steady, next.clone()).is_ok() {
            let names: Vec<String> = next.iter().map(|m| format!("{}@{}", m.name, m.address)).collect();
            self.effects.push(Effect::Log("seats", format!("part {number}: {}", names.join(" "))));
            self.process_output(number);
        }
    }

    /// The first groups of the parts of batch jobs.
    pub(crate) fn create_shards(&mut self) {
        let now = self.now.steady;
        let (least, target) = (self.info.min_members(), self.info.target_members());
        let Some(control) = self.shards.get(&CONTROL).and_then(|p| p.control()) else { return };
        let stores: Vec<Member> =
            control.stores.values().filter(|s| !s.is_retiring()).map(|s| s.member.clone()).collect();
        let missing: Vec<u16> = (1..=BATCH_SHARDS).filter(|n| !control.groups.contains_key(n)).collect();
        if missing.is_empty() || stores.len() < least {
            return;
        }
        let since = *self.maintenance.enough_stores_since.get_or_insert(now);
        if stores.len() < target && now - since < GATHER {
            return;
        }
        let mut founded = Founded::default();
        control.groups.values().for_each(|group| founded.add(&group.members));
        for number in missing {
            let group = founded.next_replica_set(&stores, number, target);
            founded.add(&group);
            self.propose_maintenance(Change::founded(number, &group));
        }
    }

    fn propose_maintenance(&mut self, change: Change) {
        let nonce = self.calls.next_nonce();
        // Its own nonce is nobody's: whether it took effect is seen in the state.
        self.propose(CONTROL, Origin::Own(nonce), join(&change, &[]));
    }

    /// Parts that were founded with this store among them, and that it does not have, begin here.
    pub(crate) fn open_founded_shards(&mut self) {
        let Some(me) = self.own_member().filter(|_| !self.info.role.is_gateway()) else { return };
        for group in self.topology.replica_sets.clone() {
            if self.shards.contains_key(&group.shard) || !group.founding.iter().any(|s| s.id == me.id) {
                continue;
            }
            if let Ok(founding) = decode_members(&group.founding) {
                let _ = self.open_shard(group.shard, founding, &[]);
            }
        }
    }

    /// Fences disks whose absence leaves a group of batch jobs without a majority, where another store could have the seat. That a
    /// fenced one may only be cut off does no harm: it takes a new identity when it hears of it.
    pub(crate) fn fence_absent_disks(&mut self) {
        let Some(control) = self.shards.get(&CONTROL).and_then(|p| p.control()) else { return };
        let mut fences: Vec<MemberId> = Vec::new();
        for group in control.groups.values() {
            let absent = |m: &&Member| self.absence(&m.address) > FENCE_ABSENT;
            let gone: Vec<&Member> = group.members.iter().filter(absent).collect();
            let half = group.members.len() / 2;
            let decides = group.members.len() - gone.len() > half;
            let is_tied = group.members.len().is_multiple_of(2) && gone.len() == half;
            let could_have_the_seat = control.stores.values().any(|s| {
                !s.is_retiring()
                    && !control.is_fenced(s.member.id)
                    && self.peers.live.contains_key(&s.member.address)
                    && group.members.iter().all(|m| m.id != s.member.id)
            });
            if !decides && is_tied && could_have_the_seat {
                fences.extend(gone.iter().map(|m| m.id).filter(|disk| !control.is_fenced(*disk)));
            }
        }
        for disk in fences {
            self.effects.push(Effect::Log("fence", format!("disk {disk:x}")));
            self.propose_maintenance(Change::Fence { disk });
        }
    }

    /// All replicas of batch jobs here learn which disks are fenced.
    pub(crate) fn apply_fences(&mut self) {
        for number in 1..=BATCH_SHARDS {
            if let Some(shard) = self.shards.get_mut(&number) {
                shard.replica.fence(self.now.steady, self.topology.fenced.iter().copied());
                self.process_output(number);
            }
        }
    }

    /// A store whose disk was fenced and has no seat any more is a store with a new disk from now on.
    pub(crate) fn replace_fenced_disk_identity(&mut self) {
        let Some(disk) =
            self.info.disk.filter(|disk| !self.info.role.is_gateway() && self.topology.is_fenced(*disk))
        else {
            return;
        };
        let has_seat = |number: u16| {
            let group = self.topology.replica_set(number);
            group.is_none_or(|group| group.members.iter().any(|seat| seat.id == disk))
        };
        if (1..=BATCH_SHARDS).any(has_seat) {
            return;
        }
        self.replace_disk_identity(disk);
    }

    /// The store is one with an empty disk from now on.
    fn replace_disk_identity(&mut self, disk: MemberId) {
        self.shards.clear();
        let new: MemberId = self.rng.random::<u64>().max(1);
        self.info.disk = Some(new);
        self.effects.push(Effect::Log("fenced", format!("disk {disk:x} is {new:x} from now on")));
        self.effects.push(Effect::ReplaceDiskIdentity { disk: new });
    }

    /// What the disk holds of a part cannot be read, so this process must neither serve nor vote by it. A store counts its disk as
    /// lost and is filled again; a member of the configuration's part takes no part in it until it is replaced.
    pub(crate) fn discard_disk(&mut self, number: u16) {
        if number == CONTROL {
            self.shards.remove(&CONTROL);
            self.info.disk = None;
        } else if let Some(disk) = self.info.disk {
            self.replace_disk_identity(disk);
        }
    }

    /// The seats of a part of batch jobs whose elected leader this is.
    fn next_replica_set(&self, number: u16, members: &[Member]) -> Option<Vec<Member>> {
        let listed: Vec<(Member, bool)> = self
            .topology
            .stores
            .iter()
            .filter_map(|s| Some((s.member.to_member().ok()?, s.is_retiring())))
            .collect();
        let is_listed = |m: &Member| listed.iter().any(|(l, _)| l.id == m.id);
        let is_retiring = |m: &Member| listed.iter().any(|(l, retiring)| l.id == m.id && *retiring);
        let could_join = |(store, retiring): &&(Member, bool)| {
            !retiring
                && !self.topology.is_fenced(store.id)
                && members.iter().all(|m| m.id != store.id)
                && self.peers.live.contains_key(&store.address)
        };
        let may_leave = |m: &Member| is_retiring(m) || self.topology.is_fenced(m.id);
        let spare: Vec<&Member> = listed.iter().filter(could_join).map(|(store, _)| store).collect();
        // First those that hold nothing any more, then those that are to go, then those that may come back.
        let lost = members.iter().find(|m| self.topology.is_fenced(m.id) || !is_listed(m));
        let leaving = members.iter().find(|m| is_retiring(m));
        let gone = members.iter().find(|m| self.is_absent(&m.address));
        match lost.or(leaving).or(gone) {
            Some(out) => {
                let rest: Vec<Member> = members.iter().filter(|m| m.id != out.id).cloned().collect();
                match self.best_candidate(number, &rest, spare.iter().copied()) {
                    Some(new) => Some([rest, vec![new]].concat()),
                    // Nobody can have its seat. A fenced one gives it up too, and comes back as a new disk.
                    None if may_leave(out) && rest.len() >= self.info.min_members() => Some(rest),
                    None => None,
                }
            }
            None if members.len() < self.info.target_members() => {
                let new = self.best_candidate(number, members, spare.iter().copied())?;
                Some([members.to_vec(), vec![new]].concat())
            }
            None => None,
        }
    }

    pub(crate) fn place_store_members(&mut self, number: u16) {
        let Some(shard) = self.shards.get(&number) else { return };
        let (members, settled) = (shard.replica.members(), shard.replica.is_replica_set_committed());
        if !settled
            || self.gossip.document(gossip::TOPOLOGY).is_none()
            || !matches!(shard.state_machine, StateMachine::BatchJobs(_))
        {
            return;
        }
        let members = members.to_vec();
        match self.next_replica_set(number, &members) {
            Some(next) => self.change_replica_set(number, next),
            None => self.publish_replica_set(number, &members),
        }
    }

    /// Tells the configuration's part of the group as it stands, once it has been handed over and all that live hold nearly all.
    fn publish_replica_set(&mut self, number: u16, group: &[Member]) {
        let Some(shard) =
            self.shards.get(&number).filter(|p| p.is_leader && p.replica.is_replica_set_durable())
        else {
            return;
        };
        let (term, index) = (shard.replica.term(), shard.replica.replica_set_index());
        let behind = shard.replica.replication_lag();
        let holds_all = |m: &Member| {
            m.address == self.info.peer_address
                || behind.iter().any(|lag| lag.member == m.id && lag.entries < NEARLY_ALL)
                || self.is_absent(&m.address)
        };
        let retirements = self.topology.retirements;
        let is_known = self.topology.replica_set(number).is_some_and(|told| {
            let same = told.members.iter().map(|s| s.id).eq(group.iter().map(|m| m.id));
            same && told.retirements == retirements && told.index >= index
        });
        if is_known || !group.iter().all(holds_all) {
            return;
        }
        let members: Vec<MemberRecord> = group.iter().map(MemberRecord::from).collect();
        let member_count = members.len() as u16;
        let request =
            Request::ReportReplicaSet { shard: number, term, index, retirements, member_count, members };
        self.call_shard(CallRequest::internal(CONTROL, &request, SECOND / 2));
    }
}
