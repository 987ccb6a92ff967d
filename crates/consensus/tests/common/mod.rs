//! Replicas on a virtual clock, with disks, a network and a checker of what must hold.
#![allow(dead_code, reason = "not every test uses all of it")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rainlug_consensus::{
    InMemoryState, Index, MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, Member, MemberId, ProposeError, Ready, Records,
    Replica, RestoreStep, Rewrite, Settings, Term, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MILLIS: Time = 1_000;
pub const SECOND: Time = 1_000_000;

pub fn settings(copies: usize) -> Settings {
    Settings {
        heartbeat_interval: 50 * MILLIS,
        election_timeout: 200 * MILLIS,
        min_replicas: copies,
        max_message_bytes: 400,
        compaction_threshold_bytes: 4_000,
        max_lag_bytes: 1_000,
    }
}

pub fn member(id: MemberId) -> Member {
    let port = u16::try_from(1000 + id % 50_000).expect("a small number");
    Member {
        id,
        name: format!("member-{id}"),
        zone: format!("zone-{}", id % 3),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

pub fn members(ids: &[MemberId]) -> Vec<Member> {
    ids.iter().map(|&id| member(id)).collect()
}

enum Write {
    Append(u64, Bytes),
    Rewrite(Rewrite),
}

pub struct Node {
    pub me: Member,
    founding: Vec<Member>,
    pub replica: Option<Replica>,
    pub disk: Vec<Bytes>,
    writes: VecDeque<Write>,
    /// Lives and events of an earlier life are told apart.
    life: u64,
    pub frozen_until: Time,
    /// The state machine: all commands so far.
    pub applied: Vec<(Index, u64)>,
    /// A state that is begun beside it.
    pub building: Option<Vec<u8>>,
    /// Its state is still being read from its own disk.
    recovering: bool,
    pub lost: bool,
    /// How long its disk takes, and the chance that it takes long.
    pub disk_delay: Time,
    pub reads: BTreeMap<u64, Result<(), ProposeError>>,
    wants_snapshot: bool,
    /// Writes that this life has asked for.
    pub requested: usize,
    /// Snapshots that this life has restored, beside the one it began with.
    pub restores: usize,
    /// The disk before its newest rewrite.
    before_rewrite: Vec<Bytes>,
}

/// Bytes on the way to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: usize,
    /// Of them in pieces of snapshots.
    pub snapshot_bytes: usize,
    pub in_flight: usize,
    pub most_in_flight: usize,
}

/// The code of a snapshot's piece among the bodies of messages.
const INSTALL_SNAPSHOT: u8 = 6;
/// The code of term and vote among records.
const HARD_STATE: u8 = 1;

/// The code of a message's body, behind receiver, sender and term.
pub fn body_code(bytes: &[u8]) -> u8 {
    let length = |at: usize| usize::from(u16::from_le_bytes([bytes[at], bytes[at + 1]]));
    let zone_at = 18 + length(16);
    let address_at = zone_at + 2 + length(zone_at);
    let term_at = address_at + 1 + 16 + 2 + 4 + 4;
    bytes[term_at + 8]
}

/// All that was sent and all that disks were to keep, in order.
#[derive(Default)]
pub struct Trace {
    pub messages: Vec<Bytes>,
    pub records: Vec<Bytes>,
}

enum Event {
    Deliver { to: MemberId, bytes: Bytes },
    Synced { node: MemberId, life: u64, writes: usize },
}

pub struct Network {
    pub loss: f64,
    pub twice: f64,
    pub slow: f64,
}

/// What the harness does wrong on purpose, for the checker to find.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Says that records are saved before they are.
    EarlySaved,
    /// A machine that lost its disk goes on under its old id.
    OldId,
    /// Term and vote are not on the disk after a restart.
    NoHardState,
    /// After a restart the disk is as it was before its newest rewrite.
    OlderDisk,
    /// A crash may leave of a rewrite's records only those of the snapshot.
    TornRewrite,
    /// A crash may leave some of a snapshot's pieces only.
    TornSnapshot,
    /// The last byte of a snapshot's pieces is another one on arrival.
    FlippedChunk,
}

pub struct World {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    pub nodes: BTreeMap<MemberId, Node>,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    pub cuts: BTreeSet<(MemberId, MemberId)>,
    pub network: Network,
    pub fault: Fault,
    /// All that any replica has handed out as committed.
    pub history: Vec<(Index, u64)>,
    leaders: BTreeMap<Term, MemberId>,
    pub leads_seen: Term,
    /// Reads under way: how much was committed anywhere when they were asked.
    asked: BTreeMap<u64, usize>,
    pub answered: usize,
    next_ticket: u64,
    next_command: u64,
    pub next_id: MemberId,
    pub violation: Option<String>,
    /// Messages delivered.
    pub delivered: usize,
    pub longest: usize,
    /// By receiver.
    pub traffic: BTreeMap<MemberId, Traffic>,
    /// Messages to this member are kept, to be delivered again.
    pub recording: Option<MemberId>,
    pub recorded: Vec<Bytes>,
    /// Kept where there is one.
    pub trace: Option<Trace>,
}

pub fn encode(applied: &[(Index, u64)]) -> Bytes {
    let flat: Vec<u8> =
        applied.iter().flat_map(|(index, id)| [index.to_le_bytes(), id.to_le_bytes()].concat()).collect();
    Bytes::from(flat)
}

fn decode(state: &[u8]) -> Vec<(Index, u64)> {
    let word = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
    state.chunks(16).map(|pair| (word(&pair[..8]), word(&pair[8..]))).collect()
}

impl World {
    pub fn new(seed: u64, founding: &[MemberId], settings: Settings) -> Self {
        let mut world = Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            network: Network { loss: 0.0, twice: 0.0, slow: 0.0 },
            fault: Fault::None,
            history: vec![],
            leaders: BTreeMap::new(),
            leads_seen: 0,
            asked: BTreeMap::new(),
            answered: 0,
            next_ticket: 0,
            next_command: 0,
            next_id: 100,
            violation: None,
            delivered: 0,
            longest: 0,
            traffic: BTreeMap::new(),
            recording: None,
            recorded: vec![],
            trace: None,
        };
        for &id in founding {
            world.add(id, members(founding));
        }
        world
    }

    pub fn add(&mut self, id: MemberId, founding: Vec<Member>) {
        let me = member(id);
        let node = Node {
            me,
            founding,
            replica: None,
            disk: vec![],
            writes: VecDeque::new(),
            life: 0,
            frozen_until: 0,
            applied: vec![],
            building: None,
            recovering: false,
            lost: false,
            disk_delay: MILLIS,
            reads: BTreeMap::new(),
            wants_snapshot: false,
            requested: 0,
            restores: 0,
            before_rewrite: vec![],
        };
        self.nodes.insert(id, node);
        self.start(id);
    }
    pub fn start(&mut self, id: MemberId) {
        let seed = self.rng.random();
        let node = self.nodes.get_mut(&id).expect("a known node");
        if node.lost || node.replica.is_some() {
            return;
        }
        node.frozen_until = 0;
        node.applied.clear();
        node.building = None;
        node.requested = 0;
        node.restores = 0;
        match self.fault {
            Fault::NoHardState => node.disk.retain(|record| record[0] != HARD_STATE),
            Fault::OlderDisk if !node.before_rewrite.is_empty() => {
                node.disk = node.before_rewrite.clone();
            }
            _ => {}
        }
        let replica = Replica::recover(
            node.me.clone(),
            node.founding.clone(),
            self.settings,
            &node.disk,
            seed,
            self.now,
        );
        match replica {
            Ok(replica) => {
                node.recovering = replica.has_unapplied_entries();
                node.replica = Some(replica);
            }
            Err(odd) => self.violate(format!("{id} cannot read its own records: {odd}")),
        }
        self.pump(id);
    }
    /// The process ends; of what was not synced any beginning may be on the disk.
    pub fn crash(&mut self, id: MemberId) {
        let unsynced = self.unsynced(id);
        let kept = self.rng.random_range(0..=unsynced);
        self.crash_keeping(id, kept);
    }
    /// Writes that it has asked for and that are not synced.
    pub fn unsynced(&self, id: MemberId) -> usize {
        self.nodes[&id].writes.len()
    }
    /// The process ends, and of what was not synced just so many writes are on the disk.
    pub fn crash_keeping(&mut self, id: MemberId, kept: usize) {
        let node = self.nodes.get_mut(&id).expect("a known node");
        node.replica = None;
        node.life += 1;
        let writes = std::mem::take(&mut node.writes);
        for write in writes.into_iter().take(kept) {
            match write {
                Write::Rewrite(rewrite) if self.fault == Fault::TornRewrite => {
                    node.disk = first_records(&rewrite.records, rewrite.records.snapshot_count());
                    break;
                }
                Write::Rewrite(rewrite) if self.fault == Fault::TornSnapshot => {
                    node.disk = first_records(&rewrite.records, rewrite.records.snapshot_count() - 1);
                    break;
                }
                write => {
                    node.keep(write);
                }
            }
        }
        node.wants_snapshot = false;
    }
    /// The process ends, and nothing that was not synced is on the disk.
    pub fn power_off(&mut self, id: MemberId) {
        self.nodes.get_mut(&id).expect("a known node").writes.clear();
        self.crash(id);
    }
    /// The disk is lost; the machine comes back with a new id, that is returned.
    pub fn wipe(&mut self, id: MemberId) -> MemberId {
        self.crash(id);
        let node = self.nodes.get_mut(&id).expect("a known node");
        node.disk.clear();
        if self.fault == Fault::OldId {
            self.start(id);
            return id;
        }
        node.lost = true;
        self.next_id += 1;
        let new = self.next_id;
        self.add(new, vec![]);
        new
    }
    pub fn freeze(&mut self, id: MemberId, time: Time) {
        let until = self.now + time;
        self.nodes.get_mut(&id).expect("a known node").frozen_until = until;
    }
    pub fn cut(&mut self, from: MemberId, to: MemberId) {
        self.cuts.insert((from, to));
    }
    pub fn isolate(&mut self, id: MemberId) {
        let others: Vec<MemberId> = self.nodes.keys().copied().collect();
        for other in others {
            self.cuts.extend([(id, other), (other, id)]);
        }
    }
    pub fn replica(&self, id: MemberId) -> &Replica {
        self.nodes[&id].replica.as_ref().expect("it is up")
    }
    /// Who leads in the newest term.
    pub fn leader(&self) -> Option<MemberId> {
        let up = self.nodes.iter().filter_map(|(&id, node)| Some((id, node.replica.as_ref()?)));
        up.filter(|(_, replica)| replica.is_serving_leader())
            .max_by_key(|(_, replica)| replica.term())
            .map(|(id, _)| id)
    }

    /// Who is elected in the newest term, though it may not serve yet.
    pub fn elected(&self) -> Option<MemberId> {
        let up = self.nodes.iter().filter_map(|(&id, node)| Some((id, node.replica.as_ref()?)));
        let elected = up.filter(|(_, replica)| replica.is_leader());
        elected.max_by_key(|(_, replica)| replica.term()).map(|(id, _)| id)
    }

    /// Proposes the next command there: its id.
    pub fn propose(&mut self, id: MemberId, padding: usize) -> Option<u64> {
        let now = self.now;
        let replica = self.nodes.get_mut(&id)?.replica.as_mut()?;
        self.next_command += 1;
        let command = self.next_command;
        let mut bytes = command.to_le_bytes().to_vec();
        bytes.resize(8 + padding, 0);
        let proposed = replica.propose(now, Bytes::from(bytes)).is_ok();
        self.pump(id);
        proposed.then_some(command)
    }
    pub fn read(&mut self, id: MemberId) -> Option<u64> {
        let now = self.now;
        let replica = self.nodes.get_mut(&id)?.replica.as_mut()?;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.asked.insert(ticket, self.history.len());
        replica.read_index(now, ticket);
        self.pump(id);
        Some(ticket)
    }
    pub fn change(&mut self, id: MemberId, members: Vec<Member>) -> Result<Index, ProposeError> {
        let now = self.now;
        let replica = self.nodes.get_mut(&id).and_then(|node| node.replica.as_mut()).expect("it is up");
        let changed = replica.change_replica_set(now, members);
        self.pump(id);
        changed
    }
    /// Tells a node that these disks are fenced.
    pub fn fence(&mut self, id: MemberId, disks: &[MemberId]) {
        let now = self.now;
        if let Some(replica) = self.nodes.get_mut(&id).and_then(|node| node.replica.as_mut()) {
            replica.fence(now, disks.iter().copied());
            self.pump(id);
        }
    }
    pub fn is_committed(&self, command: u64) -> bool {
        self.history.iter().any(|(_, id)| *id == command)
    }

    fn violate(&mut self, what: String) {
        let now = self.now;
        self.violation.get_or_insert_with(|| format!("at {now} us: {what}"));
    }
    fn event(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Puts a message on its way.
    fn send(&mut self, at: Time, to: MemberId, bytes: Bytes) {
        let is_chunk = body_code(&bytes) == INSTALL_SNAPSHOT;
        let traffic = self.traffic.entry(to).or_default();
        traffic.bytes += bytes.len();
        traffic.snapshot_bytes += if is_chunk { bytes.len() } else { 0 };
        traffic.in_flight += bytes.len();
        traffic.most_in_flight = traffic.most_in_flight.max(traffic.in_flight);
        if self.recording == Some(to) {
            self.recorded.push(bytes.clone());
        }
        let bytes = if is_chunk && self.fault == Fault::FlippedChunk { flip_last(&bytes) } else { bytes };
        self.event(at, Event::Deliver { to, bytes });
    }
    /// Delivers a message again.
    pub fn replay(&mut self, to: MemberId, bytes: Bytes) {
        self.send(self.now, to, bytes);
    }

    /// Takes what a replica hands out, and checks it.
    pub fn pump(&mut self, id: MemberId) {
        loop {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&id) else { return };
            let Some(replica) = node.replica.as_mut() else { return };
            if std::mem::take(&mut node.wants_snapshot) {
                let source = InMemoryState::new(encode(&node.applied), self.settings.max_message_bytes);
                replica.compact(now, Arc::new(source));
            }
            let output = replica.take_ready();
            if let Some(trace) = &mut self.trace {
                trace.messages.extend(output.messages.iter().map(|(_, bytes)| bytes.clone()));
                trace.records.extend(output.rewrite.iter().flat_map(|rewrite| rewrite.records.iter()));
                trace.records.extend(output.records.iter().map(|(_, record)| record.clone()));
            }
            let mut wrong = vec![];
            if is_more_than_bounded(&output) {
                wrong.push(format!("{id} hands out more than the bound"));
            }
            let term = replica.term();
            let leading = replica.leader().is_some_and(|leader| leader.id == id);
            let leads = replica.is_serving_leader();
            node.wants_snapshot = output.needs_compaction;
            let mut writes = 0;
            let mut newest = 0;
            if let Some(rewrite) = output.rewrite {
                newest = rewrite.ticket;
                node.writes.push_back(Write::Rewrite(rewrite));
                writes += 1;
            }
            for (ticket, record) in output.records {
                assert!(ticket > newest, "tickets rise");
                newest = ticket;
                node.writes.push_back(Write::Append(ticket, record));
                writes += 1;
            }
            node.requested += writes;
            let life = node.life;
            let disk_delay = node.disk_delay;
            for step in output.restore {
                let Some((index, state)) = node.build(id, step, &mut wrong) else { continue };
                node.restores += usize::from(!std::mem::take(&mut node.recovering));
                let before = std::mem::replace(&mut node.applied, decode(&state));
                if node.applied.len() < before.len() {
                    wrong.push(format!("{id} goes back to {index}"));
                }
                if node.applied.last().is_some_and(|(last, _)| *last > index) {
                    wrong.push(format!("{id} restores more than up to {index}"));
                }
                if !self.history.starts_with(&node.applied) {
                    wrong.push(format!("{id} restores what was not committed, up to {index}"));
                }
            }
            for (index, bytes) in output.committed {
                let command = u64::from_le_bytes(bytes[..8].try_into().expect("eight bytes"));
                let place = node.applied.len();
                node.applied.push((index, command));
                match self.history.get(place) {
                    Some(known) if *known == (index, command) => {}
                    Some(known) => {
                        wrong.push(format!("{id} has {command} at {index}, others {known:?}"));
                    }
                    None => self.history.push((index, command)),
                }
            }
            for (ticket, answer) in output.reads {
                if node.reads.insert(ticket, answer.clone()).is_some() {
                    wrong.push(format!("read {ticket} is answered twice"));
                }
                if answer.is_ok() {
                    self.answered += 1;
                    if self.asked.get(&ticket).is_none_or(|seen| node.applied.len() < *seen) {
                        wrong.push(format!("read {ticket} at {id} misses what was committed before it"));
                    }
                }
            }
            if leading && *self.leaders.entry(term).or_insert(id) != id {
                wrong.push(format!("two leaders of term {term}"));
            }
            if leads && term >= self.leads_seen && leads_with_old_state(&node.applied, &self.history) {
                wrong.push(format!("{id} leads term {term} with old state"));
            }
            if leads {
                self.leads_seen = self.leads_seen.max(term);
            }
            for what in wrong {
                self.violate(what);
            }
            if writes > 0 {
                let slow = self.rng.random_bool(self.network.slow);
                let delay = self.rng.random_range(1..=disk_delay) * if slow { 50 } else { 1 };
                self.event(now + delay, Event::Synced { node: id, life, writes });
            }
            for (to, bytes) in output.messages {
                self.longest = self.longest.max(bytes.len());
                if self.cuts.contains(&(id, to.id)) || self.rng.random_bool(self.network.loss) {
                    continue;
                }
                for _ in 0..=u8::from(self.rng.random_bool(self.network.twice)) {
                    let slow = self.rng.random_bool(self.network.slow);
                    // In order where the network is calm, as on one connection.
                    let delay = match (self.network.slow > 0.0, slow) {
                        (false, _) => MILLIS,
                        (true, false) => self.rng.random_range(100..3 * MILLIS),
                        (true, true) => self.rng.random_range(MILLIS..150 * MILLIS),
                    };
                    self.send(now + delay, to.id, bytes.clone());
                }
            }
            if self.fault == Fault::EarlySaved && newest > 0 {
                if let Some(replica) = self.nodes.get_mut(&id).and_then(|node| node.replica.as_mut()) {
                    replica.persisted(now, newest);
                }
                continue;
            }
            if !output.needs_compaction {
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { to, bytes } => {
                let Some(node) = self.nodes.get_mut(&to) else { return };
                if node.frozen_until > now {
                    let at = node.frozen_until + self.rng.random_range(0..2);
                    self.event(at, Event::Deliver { to, bytes });
                    return;
                }
                if let Some(traffic) = self.traffic.get_mut(&to) {
                    traffic.in_flight -= bytes.len();
                }
                if let Some(replica) = node.replica.as_mut() {
                    self.delivered += 1;
                    if let Err(odd) = replica.receive(now, &bytes) {
                        self.violate(format!("{to} cannot read: {odd}"));
                    }
                    self.pump(to);
                }
            }
            Event::Synced { node: id, life, writes } => {
                let Some(node) = self.nodes.get_mut(&id) else { return };
                if node.life != life {
                    return;
                }
                if node.frozen_until > now {
                    let at = node.frozen_until;
                    self.event(at, Event::Synced { node: id, life, writes });
                    return;
                }
                let mut newest = 0;
                for write in node.writes.drain(..writes).collect::<Vec<_>>() {
                    newest = node.keep(write);
                }
                if self.fault != Fault::EarlySaved
                    && let Some(replica) = node.replica.as_mut()
                {
                    replica.persisted(now, newest);
                    self.pump(id);
                }
            }
        }
    }

    pub fn run_for(&mut self, time: Time) {
        self.run_until(time, |_| false);
    }
    /// Runs until it holds, for so long at most; whether it held.
    pub fn run_until(&mut self, time: Time, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + time;
        loop {
            if holds(self) {
                return true;
            }
            let event = self.events.first_key_value().map(|((at, _), _)| *at);
            let due = self
                .nodes
                .iter()
                .filter_map(|(&id, node)| {
                    Some((node.replica.as_ref()?.next_timeout().max(node.frozen_until), id))
                })
                .min();
            let next = event.into_iter().chain(due.map(|(at, _)| at)).min().unwrap_or(Time::MAX);
            if next > end || self.violation.is_some() {
                self.now = end;
                return false;
            }
            self.now = self.now.max(next);
            // A process that wakes may see its clock first, or its messages.
            if let Some((at, id)) = due
                && at <= self.now
                && (event.is_none_or(|event| event > at) || self.rng.random())
            {
                let now = self.now;
                if let Some(replica) = self.nodes.get_mut(&id).and_then(|node| node.replica.as_mut()) {
                    replica.handle_timeout(now);
                    assert!(
                        replica.has_unapplied_entries() || replica.next_timeout() > now,
                        "it is due at once again"
                    );
                }
                self.pump(id);
            } else if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
    }
    /// Runs until there is a leader: its id.
    #[track_caller]
    pub fn elect(&mut self) -> MemberId {
        assert!(
            self.run_until(10 * SECOND, |world| world.leader().is_some()),
            "no leader within ten seconds"
        );
        self.leader().expect("one leads")
    }
    #[track_caller]
    pub fn commit(&mut self, command: u64) {
        assert!(self.run_until(10 * SECOND, |world| world.is_committed(command)), "it is not committed");
    }
    #[track_caller]
    pub fn sound(&self) {
        assert_eq!(self.violation, None);
    }
}

impl Node {
    /// A write is on the disk; its ticket.
    fn keep(&mut self, write: Write) -> u64 {
        match write {
            Write::Append(ticket, record) => {
                self.disk.push(record);
                ticket
            }
            Write::Rewrite(Rewrite { ticket, records, .. }) => {
                assert_eq!(records.size(), records.iter().map(|record| record.len() as u64).sum::<u64>());
                self.before_rewrite = std::mem::replace(&mut self.disk, records.iter().collect());
                ticket
            }
        }
    }

    /// A step of building another state; the state once it is whole.
    fn build(
        &mut self,
        id: MemberId,
        step: RestoreStep,
        wrong: &mut Vec<String>,
    ) -> Option<(Index, Vec<u8>)> {
        match step {
            RestoreStep::Begin => self.building = Some(vec![]),
            RestoreStep::Abandon => self.building = None,
            RestoreStep::Chunk(chunk) => match &mut self.building {
                Some(building) => building.extend_from_slice(&chunk),
                None => wrong.push(format!("{id} gets a piece of nothing")),
            },
            RestoreStep::Finish(index) => match self.building.take() {
                Some(state) => return Some((index, state)),
                None => wrong.push(format!("{id} is to finish nothing")),
            },
        }
        None
    }
}

fn first_records(records: &Records, count: usize) -> Vec<Bytes> {
    records.iter().take(count).collect()
}

/// Whether a state machine gets more to do at once than it may: one piece or command alone may be longer.
pub fn is_more_than_bounded(output: &Ready) -> bool {
    let chunks = output.restore.iter().map(|step| match step {
        RestoreStep::Chunk(chunk) => chunk.len(),
        _ => 0,
    });
    let commands = output.committed.iter().map(|(_, command)| command.len());
    let lengths: Vec<usize> = chunks.chain(commands).collect();
    let bytes: usize = lengths.iter().sum();
    lengths.len() > MAX_APPLY_ENTRIES || lengths.len() > 1 && bytes > MAX_APPLY_BYTES
}

fn flip_last(bytes: &Bytes) -> Bytes {
    let mut bytes = bytes.to_vec();
    if let Some(last) = bytes.last_mut() {
        *last ^= 1;
    }
    Bytes::from(bytes)
}

/// Whether a leader of the newest term lacks something that was handed out as committed anywhere. Nobody else commits once it
/// leads, and it commits all that was committed before with the first entry of its own term.
pub fn leads_with_old_state(applied: &[(Index, u64)], history: &[(Index, u64)]) -> bool {
    applied.len() < history.len()
}
