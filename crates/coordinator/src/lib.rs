//! All that one process of the tier has to do with the others, without I/O: membership, the gossip, the groups of the parts it
//! has a seat in, calls to the leaders of parts, and the duties that fall to it. Time, chance, bytes and what the disk has saved
//! are handed in; [`Effect`]s are handed out. The same runs on sockets and in the in-memory fleet of the tests.

mod admission;
mod api;
mod batch_shard;
mod calls;
pub mod capacity;
pub mod control;
mod diagnostics;
mod disk_fencing;
mod dissemination;
pub mod frame;
mod info;
pub mod invariants;
pub mod listing;
mod lost_membership;
mod machine;
mod maintenance;
mod membership;
mod quota;
mod replica_placement;
mod reports;
mod serving;
mod shard;
mod shard_founding;
pub mod topology;
mod worker_calls;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::RunOutcome;
use rainlug_consensus::{Member, MemberId, Settings};
use rainlug_fleet::{Card, View, Ways};
use rainlug_registry::{Configuration, Gossip, report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use api::{Answer, Call, Effect, Now};
pub use info::{KEEP_SLACK, NodeInfo, ProcessRole};

use dissemination::{AwaitedUpdate, Outbox, PendingAcknowledgement};
use frame::{DecodeError, Head, Request, split};
use membership::{COMPARING_PERIOD, LivePeer};
use quota::Reserved;
use replica_placement::JoinCandidate;
use shard::Shard;
use topology::Topology;

/// The part that holds the configuration.
pub const CONTROL: u16 = 0;
/// Parts of batch jobs, numbered from 1.
///
/// Each has its own group and leader, so repair and load use the links of as many stores. Four groups of five seats use each of
/// nine to twelve stores about twice; six would spread an emptied store's refill over more leaders yet. But each part costs
/// heartbeats, and a sync of its own for what it writes, and the smallest deployments have three stores with three seats for
/// each part: there six parts would only cost twice as much as three, and four are not much above.
pub const BATCH_SHARDS: u16 = 4;
/// A part's log is rewritten, at the earliest, at one in so many of the disk's bytes: where a store has a seat in each part, all
/// logs together take a quarter of its disk before that.
const LOGS_OF_A_DISK: usize = 4 * BATCH_SHARDS as usize;
/// Between two looks at the duties.
const MAINTENANCE_INTERVAL: Time = SECOND / 5;
/// The others of a new group stand for election so much later than its first one.
const HEAD_START: Time = SECOND / 5;
/// An answer that waits for its news to reach all waits no longer.
const DISSEMINATION_TIMEOUT: Time = SECOND / 5;
/// Beats that may be missing before a worker is called silent.
const MISSED_HEARTBEATS: f64 = 3.2;
/// A pause in this process's own time that means that it stood still.
const STOOD_STILL: Time = SECOND;

/// The identity of a seed's disk on first boot: all know it without a word.
pub fn founding_id(at: SocketAddr) -> MemberId {
    xxh3_64_with_seed(at.to_string().as_bytes(), 0x666f_756e_6465_7273).max(1)
}

/// The part that a route's ledger is in: there the tokens of its batch jobs are counted.
pub fn shard_of_route(route: &str) -> u16 {
    1 + (xxh3_64_with_seed(route.as_bytes(), 0) % u64::from(BATCH_SHARDS)) as u16
}

/// The part that a batch job is in.
pub fn shard_of_job(job: &str) -> u16 {
    1 + (xxh3_64_with_seed(job.as_bytes(), 1) % u64::from(BATCH_SHARDS)) as u16
}

/// Whom an answer goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A call of this process's own, by its nonce.
    Own(u64),
    Remote {
        to: SocketAddr,
        nonce: u64,
    },
    /// Straight to a caller of this process.
    Caller(u64),
}

/// One process's coordination.
pub struct Coordinator {
    info: NodeInfo,
    now: Now,
    rng: ChaCha8Rng,
    view: View,
    seen: u64,
    /// Who lives, by where it hears its peers: whether it takes requests, and where it serves workers.
    live_peers: BTreeMap<SocketAddr, LivePeer>,
    /// Since when somebody is not there.
    absent_since: BTreeMap<SocketAddr, Time>,
    gossip: Gossip,
    topology: Topology,
    topology_version: u64,
    configuration: Option<Configuration>,
    shards: BTreeMap<u16, Shard>,
    asks: BTreeMap<u64, calls::Ask>,
    nonce: u64,
    hints: BTreeMap<u16, SocketAddr>,
    /// Answers of ledgers that are not acted on yet.
    reservations: VecDeque<Reserved>,
    pending_acknowledgements: Vec<PendingAcknowledgement>,
    /// Whose duty a service's workers are, as long as the members are the same.
    registrars: RefCell<BTreeMap<String, Option<SocketAddr>>>,
    /// When the workers of services that are this process's duty were last heard.
    heartbeats: BTreeMap<String, Time>,
    join_candidates: BTreeMap<MemberId, JoinCandidate>,
    /// Disks of the core that were seated before, by where they were.
    maintenance_at: Time,
    announce_at: Time,
    enough_stores_since: Option<Time>,
    /// When it was last caught up with others, after a start, a cut or a freeze.
    caught_up_at: Option<Time>,
    started_at: Time,
    /// When anything came from a peer.
    last_contact: Time,
    /// Another process that takes requests is known, and has not left: to hear nothing means to be cut off.
    has_known_gateways: bool,
    /// Until when what it missed is compared with others.
    comparing_until: Time,
    admission: admission::Admission,
    reports: reports::ReportExchange,
    effects: Vec<Effect>,
    diagnostics: diagnostics::Diagnostics,
    violations: invariants::ViolationCounts,
}

/// The figures of a process's card: its role, and the port where it serves workers.
fn member_payload(info: &NodeInfo) -> Vec<u8> {
    let mut payload = vec![u8::from(info.role.is_gateway())];
    payload.extend(info.control_address.map_or(0, |c| c.port()).to_be_bytes());
    payload
}

fn settings(info: &NodeInfo) -> Settings {
    Settings {
        heartbeat_interval: SECOND / 10,
        election_timeout: 4 * SECOND / 10,
        min_replicas: info.tolerated_failures + 1,
        // Of this are a few copies on the leader's link at once, one for each follower.
        max_message_bytes: 128 << 10,
        compaction_threshold_bytes: (info.disk_bytes / LOGS_OF_A_DISK).clamp(4 << 20, 256 << 20),
        // A snapshot instead takes the room of a second copy at who lags.
        max_lag_bytes: capacity::lag_bytes(info.disk_bytes),
    }
}

impl Coordinator {
    /// `logs` are the records of the parts that this process's disk holds.
    ///
    /// # Errors
    /// Where a log's records are none of this program's.
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
            figures: member_payload(&info),
        };
        let period = 3 * SECOND / 10;
        let view = View::new(card, info.seeds.clone(), period, Ways::default(), rng.random(), now.steady);
        let gossip = Gossip::new(SECOND, rng.random(), now.steady);
        let mut coordinator = Coordinator {
            view,
            seen: 0,
            live_peers: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            gossip,
            topology: Topology::default(),
            topology_version: 0,
            configuration: None,
            shards: BTreeMap::new(),
            asks: BTreeMap::new(),
            nonce: rng.random::<u64>() >> 1,
            hints: BTreeMap::new(),
            reservations: VecDeque::new(),
            pending_acknowledgements: Vec::new(),
            registrars: RefCell::default(),
            heartbeats: BTreeMap::new(),
            join_candidates: BTreeMap::new(),
            maintenance_at: now.steady,
            announce_at: now.steady,
            enough_stores_since: None,
            caught_up_at: None,
            started_at: now.steady,
            last_contact: now.steady,
            has_known_gateways: false,
            comparing_until: now.steady,
            admission: admission::Admission::default(),
            reports: reports::ReportExchange::default(),
            effects: Vec::new(),
            diagnostics: diagnostics::Diagnostics::default(),
            violations: invariants::ViolationCounts::default(),
            rng,
            info,
            now,
        };
        for (number, records) in logs {
            let founding = if number == CONTROL { coordinator.founders() } else { Vec::new() };
            coordinator.open(number, founding, &records)?;
        }
        let seed = coordinator.info.seeds.contains(&coordinator.info.peer_address);
        let founds = coordinator.info.disk == Some(founding_id(coordinator.info.peer_address))
            && seed
            && coordinator.info.role.is_gateway();
        if founds && !coordinator.shards.contains_key(&CONTROL) {
            let founding = coordinator.founders();
            coordinator.open(CONTROL, founding, &[])?;
        }
        coordinator.run_deferred_work();
        Ok(coordinator)
    }

    /// The first group of the configuration's part.
    fn founders(&self) -> Vec<Member> {
        let mut seeds = self.info.seeds.clone();
        seeds.sort_unstable();
        seeds.dedup();
        let founder = |at: SocketAddr| Member {
            id: founding_id(at),
            name: String::new(),
            zone: String::new(),
            address: at,
        };
        seeds.into_iter().map(founder).collect()
    }

    fn me(&self) -> Option<Member> {
        let info = &self.info;
        let (name, zone) = (info.node_name.clone(), info.zone.clone());
        Some(Member { id: info.disk?, name, zone, address: info.peer_address })
    }

    /// Opens the replica of a part.
    fn open(
        &mut self,
        number: u16,
        founding: Vec<Member>,
        records: &[Bytes],
    ) -> Result<(), rainlug_consensus::DecodeError> {
        let Some(me) = self.me() else { return Ok(()) };
        let (settings, seed) = (settings(&self.info), self.rng.random());
        // The first of a new group is to lead it: the leaders of the parts begin at different stores.
        let is_to_lead = founding.first().is_none_or(|first| first.id == me.id);
        let waits = number != CONTROL && records.is_empty() && !is_to_lead;
        let begins = self.now.steady + if waits { HEAD_START } else { 0 };
        let mut shard = Shard::open(number, me, founding, settings, records, seed, begins)?;
        if number != CONTROL {
            shard.replica.fence(self.now.steady, self.topology.fenced.iter().copied());
        }
        self.shards.insert(number, shard);
        Ok(())
    }

    /// What there is to do now.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Coordinator::due`] wants to be called, at the latest, by the steady clock.
    pub fn next(&self) -> Time {
        let shards = self.shards.values().map(|p| p.replica.next_timeout());
        let asks = self.asks.values().map(|a| a.next());
        let held = self.pending_acknowledgements.iter().map(|h| h.until);
        let polls = self.shards.values().map(|p| p.next_poll());
        let reports = self.shards.values().filter_map(|p| p.reports.as_ref()).map(|r| r.next());
        let own = [self.view.next(), self.gossip.next_timeout(), self.maintenance_at];
        shards.chain(asks).chain(held).chain(polls).chain(reports).chain(own).min().unwrap_or(Time::MAX)
    }

    /// Does what its time has come for.
    pub fn due(&mut self, now: Now) {
        let stood_still = now.steady - self.now.steady.max(self.next()) > STOOD_STILL;
        self.now = now;
        // Replicas first: a leader that stood still must know that it may not be one any more.
        let numbers: Vec<u16> = self.shards.keys().copied().collect();
        for number in numbers {
            if let Some(shard) =
                self.shards.get_mut(&number).filter(|p| p.replica.next_timeout() <= now.steady)
            {
                shard.replica.handle_timeout(now.steady);
                self.drain(number);
            }
        }
        let mut outbox = Outbox::new(&mut self.effects);
        if self.view.next() <= now.steady {
            self.view.due(now.steady, &mut outbox);
        }
        if stood_still {
            self.comparing_until = now.steady + COMPARING_PERIOD;
            self.gossip.catch_up(now.steady, &mut outbox);
        }
        if self.gossip.next_timeout() <= now.steady {
            self.gossip.handle_timeout(now.steady, &mut outbox);
        }
        let updates = outbox.into_updates();
        self.apply_updates(updates);
        if self.maintenance_at <= now.steady {
            self.maintenance_at = now.steady + MAINTENANCE_INTERVAL;
            self.run_maintenance();
            self.rewrite_where_due();
        }
        self.retry();
        self.run_deferred_work();
    }

    /// A datagram's payload, from where it came.
    pub fn datagram(&mut self, now: Now, from: SocketAddr, payload: &[u8]) {
        self.record_contact(now);
        if report::is_report_datagram(payload) {
            return self.receive_reports(payload);
        }
        let mut outbox = Outbox::new(&mut self.effects);
        let _ = self.view.heard(now.steady, from, payload, &mut outbox);
        self.run_deferred_work();
    }

    /// A frame that came over a connection of the peer at `from`.
    ///
    /// # Errors
    /// Where it is no frame of this tier; nothing has changed.
    pub fn frame(&mut self, now: Now, from: SocketAddr, bytes: &Bytes) -> Result<(), DecodeError> {
        let (head, tail): (Head, Bytes) = split(bytes)?;
        self.record_contact(now);
        match head {
            Head::Gossip => {
                let mut outbox = Outbox::new(&mut self.effects);
                self.gossip.receive(now.steady, from, &tail, &mut outbox);
                let updates = outbox.into_updates();
                self.apply_updates(updates);
            }
            Head::Group { shard } => self.group(shard, &tail),
            Head::Ask { nonce, shard } => {
                let (request, tail) = split(&tail)?;
                self.serve(Origin::Remote { to: from, nonce }, shard, request, tail);
            }
            Head::Relay { .. } => {
                let (_, rest) = split::<Request>(&tail)?;
                let length = tail.len() - rest.len();
                self.relayed(from, &head, tail.slice(..length), rest);
            }
            Head::Answer { nonce, status, retry_ms, json } => {
                let retry = (retry_ms > 0).then_some(Time::from(retry_ms) * 1000);
                self.answered(nonce, Answer { status, retry, json: json > 0, body: tail });
            }
            Head::Elsewhere { nonce, proposed, leader } => {
                if proposed != 0 {
                    self.may_be_committed(nonce);
                }
                self.elsewhere(nonce, from, (leader.port != 0).then(|| leader.into()));
            }
        }
        self.run_deferred_work();
        Ok(())
    }

    fn group(&mut self, number: u16, bytes: &Bytes) {
        if self.info.disk.is_none()
            || self.info.role.is_gateway() != (number == CONTROL)
            || number > BATCH_SHARDS
        {
            return;
        }
        // A seat is given by the group. A founder must begin with the founding group, which no entry names: until the roster tells
        // of it, its leader is not heard.
        if !self.shards.contains_key(&number) {
            let Some(founding) = self.founding(number) else { return };
            if self.open(number, founding, &[]).is_err() {
                return;
            }
        }
        let now = self.now.steady;
        if let Some(shard) = self.shards.get_mut(&number) {
            if shard.replica.receive(now, bytes).is_err() {
                self.effects.push(Effect::Log("garbage", format!("of part {number}'s group")));
            }
            self.drain(number);
        }
    }

    /// What a part's replica begins with here: its founding group for one of that, nothing for another one; not known where the
    /// roster does not tell of the part yet.
    fn founding(&self, number: u16) -> Option<Vec<Member>> {
        if number == CONTROL {
            return Some(Vec::new());
        }
        let group = self.topology.replica_sets.iter().find(|g| g.shard == number)?;
        let founder = group.founding.iter().any(|s| Some(s.id) == self.info.disk);
        if founder { topology::decode_members(&group.founding).ok() } else { Some(Vec::new()) }
    }

    /// All of a part's records up to a ticket are on the disk, in a file of this length.
    pub fn saved(&mut self, now: Now, number: u16, ticket: u64, length: u64) {
        self.now = now;
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.disk.saved(ticket, length);
            shard.replica.persisted(now.steady, ticket);
            self.drain(number);
        }
        self.run_deferred_work();
    }

    /// How the run of an item ended, with the events (id, data) that came.
    pub fn ran(
        &mut self,
        now: Now,
        shard: u16,
        job: &str,
        item: &str,
        events: Vec<(u64, Bytes)>,
        end: RunOutcome,
    ) {
        self.now = now;
        self.item_ran(shard, job, item, events, end);
        self.run_deferred_work();
    }

    /// The process ends: it tells the others.
    pub fn leave(&mut self, now: Now) {
        self.now = now;
        let mut outbox = Outbox::new(&mut self.effects);
        self.view.leave(&mut outbox);
    }

    /// A connection to a peer broke or did not come up: what was asked there is asked elsewhere at once.
    pub fn unreachable(&mut self, now: Now, at: SocketAddr) {
        self.now = now;
        self.asked_in_vain(at);
        self.run_deferred_work();
    }

    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Figures as (name, value).
    pub fn metrics(&self) -> Vec<(String, f64)> {
        let mut metrics = vec![
            ("members_living".to_owned(), self.live_peers.len() as f64 + 1.0),
            (
                "configuration_version".to_owned(),
                self.configuration.as_ref().map_or(0.0, |c| c.version as f64),
            ),
            ("workers_known".to_owned(), self.gossip.workers().count() as f64),
            ("calls_in_hand".to_owned(), self.asks.len() as f64),
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

    /// Who leads a part, as far as this process knows, and the part's members.
    pub fn leads(&self, number: u16) -> (bool, Option<SocketAddr>, Vec<Member>) {
        let Some(shard) = self.shards.get(&number) else {
            return (false, self.hints.get(&number).copied(), Vec::new());
        };
        let leader = shard.replica.leader().map(|m| m.address);
        (shard.replica.is_serving_leader(), leader, shard.replica.members().to_vec())
    }
}
