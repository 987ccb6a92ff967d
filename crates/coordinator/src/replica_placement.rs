//! Which disks are members of which shard's replica set.
//!
//! The leader of the configuration's shard chooses the members of that shard; the leader of a shard that stores hold chooses those of its
//! own and reports them, so that the topology names them. One member is exchanged, added or removed at a time, and only once the
//! change before is committed (Raft 4.1: single-server changes). Members are spread over zones first, then over stores.

use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_consensus::{Member, ReplicationLag};
use rainlug_registry::gossip;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::calls::CallRequest;
use crate::frame::Request;
use crate::maintenance::ANNOUNCE_INTERVAL;
use crate::member_changes::{
    self, Candidates, MemberCondition, ObservedMember, ReplicaSetSizes, ReturningStore,
};
use crate::topology::encode_members;
use crate::{CONTROL, Coordinator, Effect};

/// A member that has been absent for longer is replaced, if another disk can take its place, in microseconds.
const REPLACE_ABSENT_AFTER: Time = 4 * SECOND;
/// A member that has been absent for longer leaves, where the others are up to date and enough, in microseconds.
const LEAVE_ABSENT_AFTER: Time = SECOND;
/// A disk that asked to be a member of the configuration's shard is a candidate for so long, in microseconds.
const CANDIDATE_TIMEOUT: Time = 3 * ANNOUNCE_INTERVAL;
/// A member that lacks fewer entries than this counts as up to date: the leader appends more meanwhile.
const UP_TO_DATE_ENTRIES: u64 = 64;
/// How long the report of a replica set may take, in microseconds; it is repeated until the topology shows it.
const REPORT_TIMEOUT: Time = SECOND / 2;

/// A disk of a gateway that asked to be a member of the configuration's shard.
pub(crate) struct JoinCandidate {
    /// The disk, as a member.
    pub member: Member,
    /// When it last asked, by the steady clock in microseconds.
    pub asked_at: Time,
}

/// These members without one of them.
fn without(members: &[Member], removed: &Member) -> Vec<Member> {
    members.iter().filter(|member| member.id != removed.id).cloned().collect()
}

/// These members and one more, which comes last.
fn with(members: &[Member], added: Member) -> Vec<Member> {
    members.iter().cloned().chain([added]).collect()
}

fn contains(members: &[Member], disk: &Member) -> bool {
    members.iter().any(|member| member.id == disk.id)
}

/// Whether a follower lacks few entries, as its leader knows.
fn is_up_to_date(member: &Member, lags: &[ReplicationLag]) -> bool {
    lags.iter().any(|lag| lag.member == member.id && lag.entries < UP_TO_DATE_ENTRIES)
}

/// The stores that could join a shard's replica set.
struct StoreCandidates<'a> {
    coordinator: &'a Coordinator,
    number: u16,
    listed: Vec<Member>,
}

impl StoreCandidates<'_> {
    /// The best live store that holds no replica yet and for which `may_join` holds.
    fn best(&self, others: &[Member], may_join: impl Fn(&Member) -> bool) -> Option<Member> {
        let coordinator = self.coordinator;
        let could_join = |store: &&Member| {
            may_join(store)
                && !coordinator.topology.is_fenced(store.id)
                && !contains(others, store)
                && coordinator.peers.live.contains_key(&store.address)
                && !coordinator.departures.is_departing(store.id, coordinator.now.steady)
        };
        coordinator.best_candidate(self.number, others, self.listed.iter().filter(could_join))
    }
}

impl Candidates for StoreCandidates<'_> {
    fn returning(&self, others: &[Member]) -> Option<ReturningStore> {
        let Coordinator { departures, topology, .. } = self.coordinator;
        let is_expected = |store: &Member| {
            departures.is_expected_back(store.id)
                && !topology.is_retiring(store.id)
                && !topology.is_fenced(store.id)
                && !contains(others, store)
        };
        if !self.listed.iter().any(is_expected) {
            return None;
        }
        let back = self.best(others, is_expected);
        Some(back.map_or(ReturningStore::Awaited, ReturningStore::Back))
    }

    fn best_staying(&self, others: &[Member]) -> Option<Member> {
        self.best(others, |store| !self.coordinator.topology.is_retiring(store.id))
    }

    fn best_retiring(&self, others: &[Member]) -> Option<Member> {
        let topology = &self.coordinator.topology;
        self.best(others, |store| topology.is_retiring(store.id) && !topology.is_emptied(store.id))
    }
}

impl Coordinator {
    fn is_absent(&self, address: &SocketAddr) -> bool {
        self.absence(address) > REPLACE_ABSENT_AFTER
    }

    /// How long the process at this address has been absent, in microseconds; 0 where it is alive.
    pub(crate) fn absence(&self, address: &SocketAddr) -> Time {
        if *address == self.info.peer_address || self.peers.live.contains_key(address) {
            return 0;
        }
        self.now.steady - self.peers.absent_since.get(address).copied().unwrap_or(self.contact.started_at)
    }

    /// The candidate that would best join the other members of a shard: in a zone with the fewest of them; there, the one with
    /// the fewest replicas.
    fn best_candidate<'a>(
        &self,
        number: u16,
        others: &[Member],
        candidates: impl Iterator<Item = &'a Member>,
    ) -> Option<Member> {
        let members_in = |zone: &str| others.iter().filter(|member| member.zone == zone).count();
        // Leaders of several shards that look for a store at once do not all find the same one.
        let tie_break = |disk: &Member| xxh3_64_with_seed(&disk.id.to_le_bytes(), u64::from(number));
        let rank =
            |disk: &&Member| (members_in(&disk.zone), self.topology.replica_count(disk.id), tie_break(disk));
        candidates.min_by_key(rank).cloned()
    }

    /// Chooses the members of the configuration's shard, whose leader this is.
    pub(crate) fn place_configuration_members(&mut self) {
        let now = self.now.steady;
        self.join_candidates.retain(|_, candidate| now - candidate.asked_at < CANDIDATE_TIMEOUT);
        let Some(shard) = self.shards.get(&CONTROL) else { return };
        if !shard.replica.is_replica_set_committed() {
            return;
        }
        let members = shard.replica.members().to_vec();
        if let Some(next) = self.next_configuration_members(&members) {
            self.change_replica_set(CONTROL, next);
        }
    }

    /// The next members of the configuration's shard, where they are to change: first a machine that came back with another disk
    /// replaces its old one, then an absent member is replaced, then members are added up to the target.
    fn next_configuration_members(&self, members: &[Member]) -> Option<Vec<Member>> {
        let candidates = self.join_candidates.values().map(|candidate| &candidate.member);
        let new: Vec<&Member> = candidates.filter(|candidate| !contains(members, candidate)).collect();
        let same_machine = new.iter().find_map(|candidate| {
            let old = members.iter().find(|member| member.address == candidate.address)?;
            Some((old, Member::clone(candidate)))
        });
        if let Some((old, new)) = same_machine {
            return Some(with(&without(members, old), new));
        }
        let is_departing = |member: &Member| self.departures.is_departing(member.id, self.now.steady);
        let is_ending = |member: &&Member| member.address != self.info.peer_address && is_departing(member);
        let live = new
            .into_iter()
            .filter(|candidate| self.peers.live.contains_key(&candidate.address) && !is_departing(candidate));
        let absent = || members.iter().find(|member| self.is_absent(&member.address));
        if let Some(gone) = members.iter().find(is_ending).or_else(absent) {
            let rest = without(members, gone);
            return Some(with(&rest, self.best_candidate(CONTROL, &rest, live)?));
        }
        if members.len() < self.info.target_members() {
            return Some(with(members, self.best_candidate(CONTROL, members, live)?));
        }
        None
    }

    fn change_replica_set(&mut self, number: u16, next: Vec<Member>) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if shard.replica.change_replica_set(self.now.steady, next.clone()).is_ok() {
            let names: Vec<String> = next.iter().map(|m| format!("{}@{}", m.name, m.address)).collect();
            self.effects.push(Effect::Log("replica set", format!("shard {number}: {}", names.join(" "))));
            self.process_output(number);
        }
    }

    /// Chooses the members of a shard of stores whose leader this is, or reports them where they stay.
    pub(crate) fn place_store_members(&mut self, number: u16) {
        let Some(shard) = self.shards.get(&number) else { return };
        if !shard.replica.is_replica_set_committed()
            || self.gossip.document(gossip::TOPOLOGY).is_none()
            || number == CONTROL
        {
            return;
        }
        let members = shard.replica.members().to_vec();
        match self.next_store_members(number, &members) {
            Some(next) => {
                self.expect_back(&members, &next);
                self.change_replica_set(number, next);
            }
            None => self.report_replica_set(number, &members),
        }
    }

    /// Those that leave because they are away are expected back for some time: no other store is filled meanwhile.
    fn expect_back(&mut self, members: &[Member], next: &[Member]) {
        for member in members.iter().filter(|member| !contains(next, member)) {
            let absence = self.absence(&member.address);
            self.departures.record_left(member.id, self.now.steady - absence);
        }
    }

    /// The stores in the topology.
    fn listed_stores(&self) -> Vec<Member> {
        self.topology.stores.iter().filter_map(|store| store.member.to_member().ok()).collect()
    }

    /// The next members of a shard of stores, where they are to change.
    fn next_store_members(&self, number: u16, members: &[Member]) -> Option<Vec<Member>> {
        let listed = self.listed_stores();
        let lags = self.shards.get(&number)?.replica.replication_lag();
        let observe = |member: &Member| ObservedMember {
            member: member.clone(),
            condition: self.member_condition(member, &listed, &lags),
            is_retiring: self.topology.is_retiring(member.id),
        };
        let observed: Vec<ObservedMember> = members.iter().map(observe).collect();
        let sizes = ReplicaSetSizes { min: self.info.min_members(), target: self.info.target_members() };
        member_changes::next_members(&observed, sizes, &StoreCandidates { coordinator: self, number, listed })
    }

    /// What the leader of a shard of stores knows of a member.
    fn member_condition(
        &self,
        member: &Member,
        listed: &[Member],
        lags: &[ReplicationLag],
    ) -> MemberCondition {
        if self.topology.is_fenced(member.id) || !contains(listed, member) {
            return MemberCondition::Lost;
        }
        if member.address == self.info.peer_address {
            return MemberCondition::UpToDate;
        }
        if self.is_absent(&member.address) {
            return MemberCondition::Absent;
        }
        let absence = self.absence(&member.address);
        if absence > LEAVE_ABSENT_AFTER {
            return MemberCondition::Away;
        }
        if absence > 0 {
            return MemberCondition::Silent;
        }
        if self.departures.is_departing(member.id, self.now.steady) {
            return MemberCondition::Departing;
        }
        if is_up_to_date(member, lags) { MemberCondition::UpToDate } else { MemberCondition::Lagging }
    }

    /// Reports a committed replica set to the configuration's shard, unless the topology shows it already: once the old members
    /// are not needed any more and all live members are up to date.
    fn report_replica_set(&mut self, number: u16, members: &[Member]) {
        let Some(shard) = self.shards.get(&number) else { return };
        if !shard.is_leader || !shard.replica.is_replica_set_durable() {
            return;
        }
        let (term, index) = (shard.replica.term(), shard.replica.replica_set_index());
        let lags = shard.replica.replication_lag();
        let needs_nothing = |member: &Member| {
            member.address == self.info.peer_address
                || is_up_to_date(member, &lags)
                || self.is_absent(&member.address)
        };
        let retirements = self.topology.retirements;
        let is_known = self.topology.replica_set(number).is_some_and(|known| {
            let same = known.members.iter().map(|record| record.id).eq(members.iter().map(|m| m.id));
            same && known.retirements == retirements && known.index >= index
        });
        if is_known || !members.iter().all(needs_nothing) {
            return;
        }
        let members = encode_members(members);
        let member_count = members.len() as u16;
        let request =
            Request::ReportReplicaSet { shard: number, term, index, retirements, member_count, members };
        self.call_shard(CallRequest::internal(CONTROL, &request, REPORT_TIMEOUT));
    }
}
