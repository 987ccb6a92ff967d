//! Nodes on a virtual clock, and the checker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use rainlug_consensus::{
    InMemoryState, Index, Member, MemberId, ProposeError, Ready, Replica, RestoreStep, Settings, Term, Time,
    TransferError,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::{Network, Trace, Traffic, flip_last, is_snapshot_chunk};
use super::node::{Node, WriteBatch};
use super::{SECOND, encode, is_more_than_bounded, leads_with_old_state, member, members};

enum Event {
    Deliver { to: MemberId, bytes: Bytes },
    Synced { node: MemberId, incarnation: u64, writes: usize },
}

/// What the harness does wrong on purpose, for the checker to find.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Says that records are persisted before they are.
    EarlyPersisted,
    /// A process that lost its disk goes on under its old id.
    ReusedId,
    /// Term and vote are not on the disk after a restart.
    NoHardState,
    /// After a restart the disk is as it was before its newest rewrite.
    StaleDisk,
    /// A crash may leave of a rewrite's records only those of the snapshot.
    TornRewrite,
    /// A crash may leave only some of a snapshot's chunks.
    TornSnapshot,
    /// The last byte of a snapshot's chunks is another one on arrival.
    FlippedChunk,
}

pub struct Cluster {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    pub nodes: BTreeMap<MemberId, Node>,
    /// By time, then in the order in which they were scheduled.
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    /// Sender and receiver of messages that are lost.
    pub blocked_links: BTreeSet<(MemberId, MemberId)>,
    pub network: Network,
    pub fault: Fault,
    /// All that any replica has handed out as committed.
    pub history: Vec<(Index, u64)>,
    leaders: BTreeMap<Term, MemberId>,
    /// The newest term whose leader was seen to serve.
    pub newest_serving_term: Term,
    /// How much was committed anywhere when each read was asked.
    committed_before_read: BTreeMap<u64, usize>,
    pub answered_reads: usize,
    last_ticket: u64,
    last_command: u64,
    pub next_id: MemberId,
    /// The first violation that was found.
    pub violation: Option<String>,
    pub longest_message_bytes: usize,
    /// By receiver.
    pub traffic: BTreeMap<MemberId, Traffic>,
    /// Messages to this member are recorded, to be delivered again.
    pub recording: Option<MemberId>,
    pub recorded: Vec<Bytes>,
    /// Kept where there is one.
    pub trace: Option<Trace>,
}

/// Processes and links.
impl Cluster {
    pub fn new(seed: u64, founding: &[MemberId], settings: Settings) -> Self {
        let mut cluster = Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            blocked_links: BTreeSet::new(),
            network: Network::CALM,
            fault: Fault::None,
            history: vec![],
            leaders: BTreeMap::new(),
            newest_serving_term: 0,
            committed_before_read: BTreeMap::new(),
            answered_reads: 0,
            last_ticket: 0,
            last_command: 0,
            next_id: 100,
            violation: None,
            longest_message_bytes: 0,
            traffic: BTreeMap::new(),
            recording: None,
            recorded: vec![],
            trace: None,
        };
        for &id in founding {
            cluster.add(id, members(founding));
        }
        cluster
    }

    pub fn add(&mut self, id: MemberId, founding: Vec<Member>) {
        self.nodes.insert(id, Node::new(member(id), founding));
        self.start(id);
    }

    pub fn start(&mut self, id: MemberId) {
        let seed = self.rng.random();
        let (fault, settings, now) = (self.fault, self.settings, self.now);
        let node = self.node_mut(id);
        if node.has_lost_disk || node.replica.is_some() {
            return;
        }
        node.prepare_start(fault);
        let (local_member, founding) = (node.local_member.clone(), node.founding.clone());
        match Replica::recover(local_member, founding, settings, &node.disk, seed, now) {
            Ok(replica) => {
                node.is_recovering = replica.has_unapplied_entries();
                node.replica = Some(replica);
            }
            Err(error) => self.record_violation(format!("{id} cannot read its own records: {error}")),
        }
        self.drive(id);
    }

    /// The process ends; of what was not synced any beginning may be on the disk.
    pub fn crash(&mut self, id: MemberId) {
        let unsynced = self.unsynced_writes(id);
        let kept = self.rng.random_range(0..=unsynced);
        self.crash_keeping_writes(id, kept);
    }

    /// Writes that it has asked for and that are not synced.
    pub fn unsynced_writes(&self, id: MemberId) -> usize {
        self.nodes[&id].unsynced_writes()
    }

    /// The process ends, and of what was not synced just so many writes are on the disk.
    pub fn crash_keeping_writes(&mut self, id: MemberId, kept: usize) {
        let fault = self.fault;
        self.node_mut(id).crash(kept, fault);
    }

    /// The process ends, and nothing that was not synced is on the disk.
    pub fn power_off(&mut self, id: MemberId) {
        self.node_mut(id).drop_unsynced();
        self.crash(id);
    }

    /// The disk is lost; the process comes back with a new id, that is returned.
    pub fn wipe_disk(&mut self, id: MemberId) -> MemberId {
        self.crash(id);
        let is_id_reused = self.fault == Fault::ReusedId;
        let node = self.node_mut(id);
        node.disk.clear();
        if is_id_reused {
            self.start(id);
            return id;
        }
        node.has_lost_disk = true;
        self.next_id += 1;
        let new = self.next_id;
        self.add(new, vec![]);
        new
    }

    /// The process stands still.
    pub fn freeze(&mut self, id: MemberId, time: Time) {
        let until = self.now + time;
        self.node_mut(id).frozen_until = until;
    }

    pub fn block_link(&mut self, from: MemberId, to: MemberId) {
        self.blocked_links.insert((from, to));
    }

    pub fn isolate(&mut self, id: MemberId) {
        let others: Vec<MemberId> = self.nodes.keys().copied().collect();
        for other in others {
            self.blocked_links.extend([(id, other), (other, id)]);
        }
    }

    fn node_mut(&mut self, id: MemberId) -> &mut Node {
        self.nodes.get_mut(&id).expect("a known node")
    }

    fn replica_mut(&mut self, id: MemberId) -> Option<&mut Replica> {
        self.nodes.get_mut(&id)?.replica.as_mut()
    }
}

/// What clients and operators do.
impl Cluster {
    pub fn replica(&self, id: MemberId) -> &Replica {
        self.nodes[&id].replica.as_ref().expect("it is up")
    }

    fn replicas(&self) -> impl Iterator<Item = (MemberId, &Replica)> {
        self.nodes.iter().filter_map(|(&id, node)| Some((id, node.replica.as_ref()?)))
    }

    /// Who serves as the leader of the newest term.
    pub fn leader(&self) -> Option<MemberId> {
        let serving = self.replicas().filter(|(_, replica)| replica.is_serving_leader());
        serving.max_by_key(|(_, replica)| replica.term()).map(|(id, _)| id)
    }

    /// Who is elected in the newest term, though it may not serve yet.
    pub fn elected_leader(&self) -> Option<MemberId> {
        let elected = self.replicas().filter(|(_, replica)| replica.is_leader());
        elected.max_by_key(|(_, replica)| replica.term()).map(|(id, _)| id)
    }

    /// Proposes the next command there, with so many bytes beside its id: its id.
    pub fn propose(&mut self, id: MemberId, padding_bytes: usize) -> Option<u64> {
        let now = self.now;
        self.replica_mut(id)?;
        self.last_command += 1;
        let command = self.last_command;
        let mut bytes = command.to_le_bytes().to_vec();
        bytes.resize(8 + padding_bytes, 0);
        let is_proposed = self.replica_mut(id)?.propose(now, Bytes::from(bytes)).is_ok();
        self.drive(id);
        is_proposed.then_some(command)
    }

    /// Asks for a read there: its ticket.
    pub fn read(&mut self, id: MemberId) -> Option<u64> {
        let now = self.now;
        self.replica_mut(id)?;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.committed_before_read.insert(ticket, self.history.len());
        self.replica_mut(id)?.read_index(now, ticket);
        self.drive(id);
        Some(ticket)
    }

    pub fn change_replica_set(&mut self, id: MemberId, members: Vec<Member>) -> Result<Index, ProposeError> {
        let now = self.now;
        let changed = self.replica_mut(id).expect("it is up").change_replica_set(now, members);
        self.drive(id);
        changed
    }

    pub fn transfer_leadership(&mut self, from: MemberId, to: MemberId) -> Result<(), TransferError> {
        let now = self.now;
        let begun = self.replica_mut(from).expect("it is up").transfer_leadership(now, to);
        self.drive(from);
        begun
    }

    /// Gives a node these fences.
    pub fn fence(&mut self, id: MemberId, disks: &[MemberId]) {
        let now = self.now;
        if let Some(replica) = self.replica_mut(id) {
            replica.fence(now, disks.iter().copied());
            self.drive(id);
        }
    }

    pub fn is_committed(&self, command: u64) -> bool {
        self.history.iter().any(|(_, id)| *id == command)
    }

    /// Delivers a recorded message again.
    pub fn replay(&mut self, to: MemberId, bytes: Bytes) {
        self.send(self.now, to, bytes);
    }
}

/// What a replica hands out, and what must hold of it.
impl Cluster {
    fn record_violation(&mut self, violation: String) {
        let now = self.now;
        self.violation.get_or_insert_with(|| format!("at {now} us: {violation}"));
    }

    /// Does what a replica wants until it asks for no snapshot, and checks it.
    pub fn drive(&mut self, id: MemberId) {
        while let Some(ready) = self.take_ready(id) {
            self.record_trace(&ready);
            if is_more_than_bounded(&ready) {
                self.record_violation(format!("{id} hands out more than the bound"));
            }
            let Ready { messages, records, rewrite, restore, committed, reads, .. } = ready;
            let incarnation = self.node_mut(id).incarnation;
            let batch = self.node_mut(id).request_writes(rewrite, records);
            self.restore(id, restore);
            self.apply(id, committed);
            self.answer_reads(id, reads);
            self.check_leadership(id);
            self.schedule_sync(id, incarnation, batch);
            self.send_messages(id, messages);
            if self.fault == Fault::EarlyPersisted && batch.newest_ticket > 0 {
                let now = self.now;
                if let Some(replica) = self.replica_mut(id) {
                    replica.persisted(now, batch.newest_ticket);
                }
                continue;
            }
            if !ready.needs_compaction {
                return;
            }
        }
    }

    /// What a replica wants, after the snapshot that it has asked for; none where the process is down.
    fn take_ready(&mut self, id: MemberId) -> Option<Ready> {
        let (now, max_message_bytes) = (self.now, self.settings.max_message_bytes);
        let node = self.nodes.get_mut(&id)?;
        let replica = node.replica.as_mut()?;
        if std::mem::take(&mut node.is_compaction_requested) {
            let source = InMemoryState::new(encode(&node.applied), max_message_bytes);
            replica.compact(now, Arc::new(source));
        }
        let ready = replica.take_ready();
        node.is_compaction_requested = ready.needs_compaction;
        Some(ready)
    }

    fn record_trace(&mut self, ready: &Ready) {
        if let Some(trace) = &mut self.trace {
            trace.messages.extend(ready.messages.iter().map(|(_, bytes)| bytes.clone()));
            trace.records.extend(ready.rewrite.iter().flat_map(|rewrite| rewrite.records.iter()));
            trace.records.extend(ready.records.iter().map(|(_, record)| record.clone()));
        }
    }

    fn restore(&mut self, id: MemberId, steps: Vec<RestoreStep>) {
        for step in steps {
            let node = self.nodes.get_mut(&id).expect("a known node");
            for violation in node.restore(step, &self.history) {
                self.record_violation(format!("{id} {violation}"));
            }
        }
    }

    fn apply(&mut self, id: MemberId, committed: Vec<(Index, Bytes)>) {
        for (index, bytes) in committed {
            let command = u64::from_le_bytes(bytes[..8].try_into().expect("eight bytes"));
            let node = self.node_mut(id);
            let position = node.applied.len();
            node.applied.push((index, command));
            match self.history.get(position) {
                Some(known) if *known == (index, command) => {}
                Some(known) => {
                    let known = *known;
                    self.record_violation(format!("{id} has {command} at {index}, others {known:?}"));
                }
                None => self.history.push((index, command)),
            }
        }
    }

    fn answer_reads(&mut self, id: MemberId, reads: Vec<(u64, Result<(), ProposeError>)>) {
        for (ticket, answer) in reads {
            let node = self.node_mut(id);
            let applied = node.applied.len();
            let is_repeated = node.reads.insert(ticket, answer.clone()).is_some();
            if is_repeated {
                self.record_violation(format!("read {ticket} is answered twice"));
            }
            if answer.is_ok() {
                self.answered_reads += 1;
                if self.committed_before_read.get(&ticket).is_none_or(|committed| applied < *committed) {
                    let violation = format!("read {ticket} at {id} misses what was committed before it");
                    self.record_violation(violation);
                }
            }
        }
    }

    fn check_leadership(&mut self, id: MemberId) {
        let replica = self.replica(id);
        let term = replica.term();
        let is_leader = replica.leader().is_some_and(|leader| leader.id == id);
        let is_serving = replica.is_serving_leader();
        if is_leader && *self.leaders.entry(term).or_insert(id) != id {
            self.record_violation(format!("two leaders of term {term}"));
        }
        let is_newest = term >= self.newest_serving_term;
        if is_serving && is_newest && leads_with_old_state(&self.nodes[&id].applied, &self.history) {
            self.record_violation(format!("{id} leads term {term} with old state"));
        }
        if is_serving {
            self.newest_serving_term = self.newest_serving_term.max(term);
        }
    }

    fn schedule_sync(&mut self, id: MemberId, incarnation: u64, batch: WriteBatch) {
        if batch.count == 0 {
            return;
        }
        let disk_delay = self.nodes[&id].disk_delay;
        let is_delayed = self.rng.random_bool(self.network.delay);
        let delay = self.rng.random_range(1..=disk_delay) * if is_delayed { 50 } else { 1 };
        self.schedule(self.now + delay, Event::Synced { node: id, incarnation, writes: batch.count });
    }

    fn send_messages(&mut self, id: MemberId, messages: Vec<(Member, Bytes)>) {
        for (to, bytes) in messages {
            self.longest_message_bytes = self.longest_message_bytes.max(bytes.len());
            if self.blocked_links.contains(&(id, to.id)) || self.rng.random_bool(self.network.loss) {
                continue;
            }
            for _ in 0..=u8::from(self.rng.random_bool(self.network.duplication)) {
                let latency = self.network.latency(&mut self.rng);
                self.send(self.now + latency, to.id, bytes.clone());
            }
        }
    }

    /// Puts a message on its way.
    fn send(&mut self, arrival: Time, to: MemberId, bytes: Bytes) {
        self.traffic.entry(to).or_default().count_sent(&bytes);
        if self.recording == Some(to) {
            self.recorded.push(bytes.clone());
        }
        let is_flipped = self.fault == Fault::FlippedChunk && is_snapshot_chunk(&bytes);
        let bytes = if is_flipped { flip_last(&bytes) } else { bytes };
        self.schedule(arrival, Event::Deliver { to, bytes });
    }
}

/// The clock.
impl Cluster {
    fn schedule(&mut self, time: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((time, self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { to, bytes } => self.deliver(to, bytes),
            Event::Synced { node, incarnation, writes } => self.sync(node, incarnation, writes),
        }
    }

    fn deliver(&mut self, to: MemberId, bytes: Bytes) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if node.frozen_until > now {
            let arrival = node.frozen_until + self.rng.random_range(0..2);
            self.schedule(arrival, Event::Deliver { to, bytes });
            return;
        }
        if let Some(traffic) = self.traffic.get_mut(&to) {
            traffic.count_received(&bytes);
        }
        if let Some(replica) = node.replica.as_mut() {
            if let Err(error) = replica.receive(now, &bytes) {
                self.record_violation(format!("{to} cannot read: {error}"));
            }
            self.drive(to);
        }
    }

    fn sync(&mut self, id: MemberId, incarnation: u64, writes: usize) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.incarnation != incarnation {
            return;
        }
        if node.frozen_until > now {
            let time = node.frozen_until;
            self.schedule(time, Event::Synced { node: id, incarnation, writes });
            return;
        }
        let ticket = node.sync(writes);
        if self.fault != Fault::EarlyPersisted
            && let Some(replica) = node.replica.as_mut()
        {
            replica.persisted(now, ticket);
            self.drive(id);
        }
    }

    /// The first replica whose timeout is due, and when.
    fn next_timeout(&self) -> Option<(Time, MemberId)> {
        let timeout = |(id, replica): (MemberId, &Replica)| {
            (replica.next_timeout().max(self.nodes[&id].frozen_until), id)
        };
        self.replicas().map(timeout).min()
    }

    fn handle_timeout(&mut self, id: MemberId) {
        let now = self.now;
        if let Some(replica) = self.replica_mut(id) {
            replica.handle_timeout(now);
            assert!(
                replica.has_unapplied_entries() || replica.next_timeout() > now,
                "it is due at once again"
            );
        }
        self.drive(id);
    }

    pub fn run_for(&mut self, time: Time) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds, for so long at most; whether it held.
    pub fn run_until(&mut self, time: Time, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + time;
        loop {
            if condition(self) {
                return true;
            }
            let event_time = self.events.first_key_value().map(|((time, _), _)| *time);
            let timeout = self.next_timeout();
            let next = event_time.into_iter().chain(timeout.map(|(time, _)| time)).min().unwrap_or(Time::MAX);
            if next > end || self.violation.is_some() {
                self.now = end;
                return false;
            }
            self.now = self.now.max(next);
            // A process that wakes may see its clock first, or its messages.
            if let Some((time, id)) = timeout
                && time <= self.now
                && (event_time.is_none_or(|event_time| event_time > time) || self.rng.random())
            {
                self.handle_timeout(id);
            } else if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
    }

    /// Runs until there is a leader: its id.
    #[track_caller]
    pub fn wait_for_leader(&mut self) -> MemberId {
        assert!(
            self.run_until(10 * SECOND, |cluster| cluster.leader().is_some()),
            "no leader within ten seconds"
        );
        self.leader().expect("one leads")
    }

    #[track_caller]
    pub fn wait_for_commit(&mut self, command: u64) {
        assert!(self.run_until(10 * SECOND, |cluster| cluster.is_committed(command)), "it is not committed");
    }

    #[track_caller]
    pub fn assert_sound(&self) {
        assert_eq!(self.violation, None);
    }
}
