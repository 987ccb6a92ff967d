//! One process's coordination: its state, and the entry points through which the process's main loop drives it.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{RunIds, RunResult};
use rainlug_consensus::{Member, MemberId};
use rainlug_fleet::{Card, View, Ways};
use rainlug_registry::{Configuration, Gossip, report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::calls::Calls;
use crate::departure::{Departure, Departures};
use crate::dissemination::{Outbox, PendingAcknowledgement};
use crate::founding::{founding_id, founding_members};
use crate::frame::{DecodeError, Head, Request, split};
use crate::leadership::LeadershipMoves;
use crate::membership::{COMPARING_PERIOD, LivePeer, member_payload};
use crate::quota::ReservationAnswer;
use crate::replica_placement::JoinCandidate;
use crate::replica_settings::replica_settings;
use crate::shard::Shard;
use crate::tied_sets::TieReports;
use crate::topology::{self, Topology};
use crate::{Answer, CONTROL, Effect, NodeInfo, Now, Origin, ShardStatus};
use crate::{admission, diagnostics, invariants, reports};

/// Between two runs of the periodic maintenance.
const MAINTENANCE_INTERVAL: Time = SECOND / 5;
/// Period of the membership protocol: each process pings one other in this time.
const MEMBERSHIP_PERIOD: Time = 3 * SECOND / 10;
/// Between two rounds of the gossip's anti-entropy.
const GOSSIP_INTERVAL: Time = SECOND;
/// By how much the other founding members of a new replica set delay their first campaign, so that its first member leads it.
const FIRST_MEMBER_HEAD_START: Time = SECOND / 5;
/// An acknowledgement that waits for its update to reach all processes waits no longer than this.
pub(crate) const MAX_SPREAD_WAIT: Time = SECOND / 5;
/// A timeout that is handled so much too late means that this process stood still.
const MAX_TIMEOUT_DELAY: Time = SECOND;

/// The other processes, as the membership protocol sees them.
pub(crate) struct Peers {
    pub view: View,
    /// The view's version that the fields below are derived from.
    pub view_version: u64,
    /// Live processes by the address where they hear their peers.
    pub live: BTreeMap<SocketAddr, LivePeer>,
    /// Since when (steady clock) a process that was live is not.
    pub absent_since: BTreeMap<SocketAddr, Time>,
    /// Another gateway is known that has not left: hearing nothing then means being isolated.
    pub has_gateways: bool,
    /// Which gateway expects the heartbeats of a service's workers: a cache that is valid for one version of the view.
    pub registrars: RefCell<BTreeMap<String, Option<SocketAddr>>>,
}

/// When this process was last in touch with others (steady clock).
pub(crate) struct Contact {
    pub started_at: Time,
    /// Anything came from a peer.
    pub last_received: Time,
    /// A peer answered something that this process had sent to it.
    pub last_answered: Time,
    /// Until then it compares what it missed with other processes, and takes no clients.
    pub comparing_until: Time,
    /// It last began to catch up on meeting others: after its start, a partition or a standstill.
    pub caught_up_at: Option<Time>,
}

/// Deadlines of the periodic maintenance (steady clock).
pub(crate) struct MaintenanceTimes {
    pub next_at: Time,
    /// When this process next asks to be a member or to be registered.
    pub announce_at: Time,
    /// Since when there have been enough stores to found the shards that stores hold.
    pub enough_stores_since: Option<Time>,
}

/// One process's coordination.
pub struct Coordinator {
    pub(crate) info: NodeInfo,
    /// The time of the event that is being handled.
    pub(crate) now: Now,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) peers: Peers,
    pub(crate) contact: Contact,
    pub(crate) maintenance: MaintenanceTimes,
    pub(crate) gossip: Gossip,
    /// The latest topology that was published, and its version.
    pub(crate) topology: Topology,
    pub(crate) topology_version: u64,
    /// The configuration in force here.
    pub(crate) configuration: Option<Configuration>,
    /// The shards that this process has a replica of.
    pub(crate) shards: BTreeMap<u16, Shard>,
    pub(crate) calls: Calls,
    /// Identities of the items' runs, for all schedules that this process makes.
    pub(crate) run_ids: RunIds,
    /// Answers of quota ledgers that are not acted on yet.
    pub(crate) reservation_answers: VecDeque<ReservationAnswer>,
    /// Acknowledgements that wait until their update has spread.
    pub(crate) pending_acknowledgements: Vec<PendingAcknowledgement>,
    /// When (steady clock) each worker whose heartbeats are due here was last heard.
    pub(crate) heartbeats: BTreeMap<String, Time>,
    /// Disks of gateways that want to be members of the configuration's shard, and when each asked last.
    pub(crate) join_candidates: BTreeMap<MemberId, JoinCandidate>,
    /// This process's own giving up of memberships, and that of members of shards that are led here.
    pub(crate) departure: Departure,
    pub(crate) departures: Departures,
    /// As the leader of the configuration's shard: replica sets that have lost half of their members.
    pub(crate) ties: TieReports,
    pub(crate) admission: admission::Admission,
    pub(crate) leadership_moves: LeadershipMoves,
    pub(crate) reports: reports::ReportExchange,
    pub(crate) diagnostics: diagnostics::Diagnostics,
    pub(crate) violations: invariants::ViolationCounts,
    /// What the process has to do, in this order.
    pub(crate) effects: Vec<Effect>,
}

impl Coordinator {
    /// A process that starts. `logs` are the records that its disk holds, by shard.
    ///
    /// # Errors
    /// Where a log has records that this program did not write.
    pub fn new(
        info: NodeInfo,
        logs: Vec<(u16, Vec<Bytes>)>,
        now: Now,
    ) -> Result<Self, rainlug_consensus::DecodeError> {
        let mut rng = ChaCha8Rng::seed_from_u64(info.seed);
        let card = Card {
            id: rng.random::<u64>().max(1),
            name: info.node_name.clone(),
            zone: info.zone.clone(),
            at: info.peer_address,
            start: now.wall,
            edition: 0,
            figures: member_payload(&info, false),
        };
        // The order of these draws is part of what a seed stands for.
        let view =
            View::new(card, info.seeds.clone(), MEMBERSHIP_PERIOD, Ways::default(), rng.random(), now.steady);
        let gossip = Gossip::new(GOSSIP_INTERVAL, rng.random(), now.steady);
        let calls = Calls::new(rng.random::<u64>() >> 1);
        let mut coordinator = Coordinator {
            peers: Peers {
                view,
                view_version: 0,
                live: BTreeMap::new(),
                absent_since: BTreeMap::new(),
                has_gateways: false,
                registrars: RefCell::default(),
            },
            contact: Contact {
                started_at: now.steady,
                last_received: now.steady,
                last_answered: now.steady,
                comparing_until: now.steady,
                caught_up_at: None,
            },
            maintenance: MaintenanceTimes {
                next_at: now.steady,
                announce_at: now.steady,
                enough_stores_since: None,
            },
            gossip,
            topology: Topology::default(),
            topology_version: 0,
            configuration: None,
            shards: BTreeMap::new(),
            calls,
            run_ids: RunIds::default(),
            reservation_answers: VecDeque::new(),
            pending_acknowledgements: Vec::new(),
            heartbeats: BTreeMap::new(),
            join_candidates: BTreeMap::new(),
            departure: Departure::default(),
            departures: Departures::default(),
            ties: TieReports::default(),
            admission: admission::Admission::default(),
            leadership_moves: LeadershipMoves::default(),
            reports: reports::ReportExchange::default(),
            diagnostics: diagnostics::Diagnostics::default(),
            violations: invariants::ViolationCounts::default(),
            effects: Vec::new(),
            rng,
            info,
            now,
        };
        coordinator.open_shards(logs)?;
        coordinator.run_deferred_work();
        Ok(coordinator)
    }

    /// Opens the shards that the disk holds; a seed on its first boot also founds the configuration's shard.
    fn open_shards(&mut self, logs: Vec<(u16, Vec<Bytes>)>) -> Result<(), rainlug_consensus::DecodeError> {
        let founding = founding_members(&self.info.seeds);
        for (number, records) in logs {
            let founding = if number == CONTROL { founding.clone() } else { Vec::new() };
            self.open_shard(number, founding, &records)?;
        }
        let is_founder = self.info.role.is_gateway()
            && self.info.disk == Some(founding_id(self.info.peer_address))
            && self.info.seeds.contains(&self.info.peer_address);
        if is_founder && !self.shards.contains_key(&CONTROL) {
            self.open_shard(CONTROL, founding, &[])?;
        }
        Ok(())
    }

    /// This process as a member of a replica set; none where it has no disk.
    pub(crate) fn own_member(&self) -> Option<Member> {
        let info = &self.info;
        let (name, zone) = (info.node_name.clone(), info.zone.clone());
        Some(Member { id: info.disk?, name, zone, address: info.peer_address })
    }

    /// Opens the replica of a shard, with the records that the disk holds of it.
    pub(crate) fn open_shard(
        &mut self,
        number: u16,
        founding: Vec<Member>,
        records: &[Bytes],
    ) -> Result<(), rainlug_consensus::DecodeError> {
        let Some(me) = self.own_member() else { return Ok(()) };
        let (settings, seed) = (replica_settings(&self.info, number), self.rng.random());
        // The first member of a new replica set is to lead it, so that the shards' first leaders are at different stores.
        let is_first = founding.first().is_none_or(|first| first.id == me.id);
        let is_head_start_given = number != CONTROL && records.is_empty() && !is_first;
        let head_start = if is_head_start_given { FIRST_MEMBER_HEAD_START } else { 0 };
        let started_at = self.now.steady + head_start;
        let mut shard = Shard::open(number, me, founding, settings, records, seed, started_at)?;
        if number != CONTROL {
            shard.replica.fence(self.now.steady, self.topology.fenced.iter().copied());
        }
        self.shards.insert(number, shard);
        Ok(())
    }

    /// Takes what the process has to do now, in this order. To be called after every other method that takes `&mut self`.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Coordinator::handle_timeout`] is to be called, at the latest (steady clock).
    pub fn next_timeout(&self) -> Time {
        let shards = self.shards.values().map(Shard::next_timeout);
        let acknowledgements = self.pending_acknowledgements.iter().map(|held| held.until);
        let own = [
            self.calls.next_timeout(),
            self.peers.view.next(),
            self.gossip.next_timeout(),
            self.maintenance.next_at,
        ];
        shards.chain(acknowledgements).chain(own).min().unwrap_or(Time::MAX)
    }

    /// Does what is due: elections and heartbeats of replicas, the membership protocol, gossip, maintenance, retries of calls.
    pub fn handle_timeout(&mut self, now: Now) {
        let delay = now.steady - self.now.steady.max(self.next_timeout());
        self.now = now;
        // Replicas first: a leader that stood still must know that it may not be one any more.
        self.handle_replica_timeouts();
        let mut outbox = Outbox::new(&mut self.effects);
        if self.peers.view.next() <= now.steady {
            self.peers.view.due(now.steady, &mut outbox);
        }
        if delay > MAX_TIMEOUT_DELAY {
            self.contact.comparing_until = now.steady + COMPARING_PERIOD;
            self.gossip.catch_up(now.steady, &mut outbox);
        }
        if self.gossip.next_timeout() <= now.steady {
            self.gossip.handle_timeout(now.steady, &mut outbox);
        }
        let updates = outbox.into_updates();
        self.apply_updates(updates);
        if self.maintenance.next_at <= now.steady {
            self.maintenance.next_at = now.steady + MAINTENANCE_INTERVAL;
            self.run_maintenance();
            self.rewrite_where_due();
        }
        self.retry_due_calls();
        self.run_deferred_work();
    }

    fn handle_replica_timeouts(&mut self) {
        let now = self.now.steady;
        let numbers: Vec<u16> = self.shards.keys().copied().collect();
        for number in numbers {
            if let Some(shard) =
                self.shards.get_mut(&number).filter(|shard| shard.replica.next_timeout() <= now)
            {
                shard.replica.handle_timeout(now);
                self.process_output(number);
            }
        }
    }

    /// Handles the payload of a datagram that came from a peer.
    pub fn receive_datagram(&mut self, now: Now, from: SocketAddr, payload: &[u8]) {
        self.record_received(now);
        if report::is_report_datagram(payload) {
            return self.receive_reports(payload);
        }
        let (unanswered_before, was_out_of_touch) =
            (self.peers.view.unanswered_probes(), self.is_out_of_touch(now));
        let mut outbox = Outbox::new(&mut self.effects);
        // What is malformed is dropped: datagrams may come from anywhere.
        let _ = self.peers.view.heard(now.steady, from, payload, &mut outbox);
        if self.peers.view.unanswered_probes() < unanswered_before {
            self.record_answered(was_out_of_touch);
        }
        self.run_deferred_work();
    }

    /// Handles a frame that came over a connection of the peer that hears its peers at `from`.
    ///
    /// # Errors
    /// Where it is not a frame of this tier. It then had no effect, but that the peer counts as heard if the frame's head is valid.
    pub fn receive_frame(&mut self, now: Now, from: SocketAddr, bytes: &Bytes) -> Result<(), DecodeError> {
        let (head, tail): (Head, Bytes) = split(bytes)?;
        self.record_received(now);
        if matches!(head, Head::Answer { .. } | Head::NotLeader { .. }) {
            self.record_answered(self.is_out_of_touch(now));
        }
        match head {
            Head::Gossip => {
                let mut outbox = Outbox::new(&mut self.effects);
                self.gossip.receive(now.steady, from, &tail, &mut outbox);
                let updates = outbox.into_updates();
                self.apply_updates(updates);
            }
            Head::Consensus { shard } => self.receive_consensus(shard, &tail),
            Head::Call { nonce, shard } => {
                let (request, tail) = split(&tail)?;
                self.handle_request(Origin::Remote { to: from, nonce }, shard, request, tail);
            }
            Head::Relay { .. } => {
                // Decoded only to find where the request ends.
                let (_, rest) = split::<Request>(&tail)?;
                let length = tail.len() - rest.len();
                self.receive_relayed_call(from, &head, tail.slice(..length), rest);
            }
            Head::Answer { nonce, status, retry_ms, json } => {
                let retry_after = (retry_ms > 0).then_some(Time::from(retry_ms) * 1000);
                self.complete_call(nonce, Answer { status, retry_after, is_json: json > 0, body: tail });
            }
            Head::NotLeader { nonce, proposed, leader } => {
                let leader = (leader.port != 0).then(|| leader.into());
                self.handle_not_leader(nonce, from, leader, proposed != 0);
            }
        }
        self.run_deferred_work();
        Ok(())
    }

    /// A message between the replicas of a shard.
    fn receive_consensus(&mut self, number: u16, message: &Bytes) {
        let is_kept_here =
            self.info.role.is_gateway() == (number == CONTROL) && number <= self.info.last_shard();
        if self.info.disk.is_none() || !is_kept_here {
            return;
        }
        // A leader that adds this disk makes it a member. A founding member must begin with the founding replica set, which no log
        // entry names: until the topology does, its leader's messages are dropped.
        if !self.shards.contains_key(&number) {
            let Some(founding) = self.founding_of(number) else { return };
            if self.open_shard(number, founding, &[]).is_err() {
                return;
            }
        }
        let now = self.now.steady;
        if let Some(shard) = self.shards.get_mut(&number) {
            if shard.replica.receive(now, message).is_err() {
                self.effects.push(Effect::Log("garbage", format!("to shard {number}")));
            }
            self.process_output(number);
        }
    }

    /// The replica set that a shard's replica begins with here: the founding one if this disk is of it, an empty one if not; none
    /// where the topology does not have the shard yet.
    fn founding_of(&self, number: u16) -> Option<Vec<Member>> {
        if number == CONTROL {
            return Some(Vec::new());
        }
        let group = self.topology.replica_set(number)?;
        let is_founding_member = group.founding.iter().any(|member| Some(member.id) == self.info.disk);
        if is_founding_member { topology::decode_members(&group.founding).ok() } else { Some(Vec::new()) }
    }

    /// All records of a shard up to `ticket` are synced to the disk, in a file of `length` bytes.
    pub fn persisted(&mut self, now: Now, number: u16, ticket: u64, length: u64) {
        self.now = now;
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.disk.write_finished(ticket, length);
            shard.replica.persisted(now.steady, ticket);
            self.process_output(number);
        }
        self.run_deferred_work();
    }

    /// The run of an item of a shard's batch jobs has ended.
    pub fn item_finished(&mut self, now: Now, shard: u16, result: RunResult) {
        self.now = now;
        self.finish_item(shard, result);
        self.run_deferred_work();
    }

    /// The process is about to end: it tells the others, so that none of them has to find out.
    pub fn leave(&mut self, now: Now) {
        self.now = now;
        let mut outbox = Outbox::new(&mut self.effects);
        self.peers.view.leave(&mut outbox);
    }

    /// A connection to a peer broke or did not come up: calls that wait for that peer are attempted elsewhere soon.
    pub fn peer_unreachable(&mut self, now: Now, peer: SocketAddr) {
        self.now = now;
        self.retry_unreachable(peer);
        self.run_deferred_work();
    }

    /// The configuration in force at this process.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Metrics as (name, value).
    pub fn metrics(&self) -> Vec<(String, f64)> {
        let version = self.configuration.as_ref().map_or(0.0, |c| c.version as f64);
        let mut metrics = vec![
            ("members_living".to_owned(), self.peers.live.len() as f64 + 1.0),
            ("configuration_version".to_owned(), version),
            ("workers_known".to_owned(), self.gossip.workers().count() as f64),
            ("calls_in_hand".to_owned(), self.calls.len() as f64),
        ];
        for shard in self.shards.values() {
            metrics.extend(shard.metrics());
        }
        if !self.info.role.is_gateway() {
            metrics.extend(self.capacity_metrics());
        }
        metrics.extend(self.invariant_metrics());
        metrics
    }

    /// Who leads a shard and who its members are, as far as this process knows.
    pub fn shard_status(&self, number: u16) -> ShardStatus {
        let Some(shard) = self.shards.get(&number) else {
            let leader = self.calls.leader_hint(number);
            return ShardStatus { is_leader: false, leader, members: Vec::new() };
        };
        ShardStatus {
            is_leader: shard.replica.is_serving_leader(),
            leader: shard.replica.leader().map(|m| m.address),
            members: shard.replica.members().to_vec(),
        }
    }
}
