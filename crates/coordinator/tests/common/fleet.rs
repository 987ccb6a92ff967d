//! The fleet and its virtual clock: processes that start and end, links with delay, loss and partitions, and the events between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use super::disk::Disk;
use super::inputs::configuration;
use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{RunId, RunOutcome, RunResult};
use rainlug_coordinator::{
    Answer, BATCH_SHARDS, Call, Coordinator, Effect, NodeInfo, Now, ProcessRole, RETENTION_SLACK, founding_id,
};
use rainlug_registry::{Worker, WorkerReport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: Time = SECOND / 1000;
/// How long a process that ends waits for others to lead its shards, in seconds.
const TRANSFER_TIME: f64 = 2.4;
/// How long it waits for replica sets that are to go on without it, in seconds.
const DEPARTURE_TIME: f64 = 4.0;
/// How long it takes to tell its peers, in seconds.
const LEAVE_TIME: f64 = 0.01;
/// How long a run takes that breaks off.
const INTERRUPTED_RUN_TIME: Time = 20 * MS;

enum Event {
    Datagram { to: usize, incarnation: u32, from: SocketAddr, bytes: Bytes },
    Frame { to: usize, incarnation: u32, from: SocketAddr, bytes: Bytes },
    Saved { at: usize, incarnation: u32, shard: u16, ticket: u64 },
    Wake { at: usize, incarnation: u32 },
    Ran { at: usize, incarnation: u32, ran: Ran },
}

/// An item's run that has ended.
struct Ran {
    shard: u16,
    run: RunId,
    events: Vec<(u64, Bytes)>,
    outcome: RunOutcome,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub at: SocketAddr,
    pub gateway: bool,
    pub disk: Option<Disk>,
    pub coordinator: Option<Coordinator>,
    pub frozen: bool,
    incarnation: u32,
    wakes_at: Time,
    /// By how much its time of day is ahead.
    pub skew: Time,
    /// It is at work on a step until then, and takes nothing in.
    busy_until: Time,
    /// What it has in force, by version and text; every version that it ever acted on.
    pub in_force: Vec<u64>,
    pub workers: BTreeMap<String, Worker>,
    /// Reports on workers that were handed to its data plane.
    pub reports: Vec<WorkerReport>,
    pub log: Vec<String>,
}

pub struct Fleet {
    pub now: Time,
    pub machines: Vec<Machine>,
    pub answers: BTreeMap<u64, (Time, Answer)>,
    pub runs: Vec<(usize, String, String)>,
    /// Every text that came into force, and where.
    pub in_force_log: Vec<(usize, Bytes)>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    events_by_number: BTreeMap<u64, Event>,
    count: u64,
    tickets: u64,
    partitioned: BTreeSet<(usize, usize)>,
    order: BTreeMap<(usize, usize), Time>,
    /// Bytes a second that each machine's link carries, in frames each way; without it, any number.
    pub link: Option<u64>,
    /// Until when each machine's link is busy with what it sends, and with what it takes.
    sending: BTreeMap<usize, Time>,
    taking: BTreeMap<usize, Time>,
    rng: ChaCha8Rng,
    pub loss: f64,
    pub sync: Time,
    /// How long disks take that are not like the others.
    pub slow_disks: BTreeMap<usize, Time>,
    pub tolerate: usize,
    pub disk_bytes: usize,
    pub memory_bytes: usize,
    pub link_bytes_per_second: u64,
    pub sync_time: Time,
    /// How long outputs have to be there after a batch job was sent.
    pub status_time: Time,
    /// The chance that a disk puts off a rewrite that may be put off.
    pub rewrites_put_off: f64,
    /// So many of the first machines are told to each process as seeds.
    pub seeds: usize,
    pub run_time: Time,
    /// Runs from the first event on soon break off behind it: their items go on elsewhere.
    pub interrupts_first_runs: bool,
    /// Bytes of noise in each item's output.
    pub output_padding: usize,
    pub bytes: u64,
    /// Bytes that were sent to each machine's place.
    pub bytes_to: BTreeMap<usize, u64>,
    /// Bytes that each machine has sent.
    pub bytes_from: BTreeMap<usize, u64>,
    /// The machines that are added are in so many zones in turn.
    pub zones: usize,
    /// Locks, numbers and keys are served.
    pub serves_primitives: bool,
    /// How long puts are kept for watches.
    pub watch_history: Time,
    /// Bytes of text in each event of an item's run, at least.
    pub event_bytes: usize,
    /// What steps cost; they take no time where there is none.
    pub cost: Option<Cost>,
    /// Disks are damaged on purpose, so invariants are violated.
    pub has_damaged_disks: bool,
    /// The most bytes that one step has allocated.
    pub largest_step: u64,
    /// All frames and datagrams that were sent, in order; kept where there is one.
    pub trace: Option<Trace>,
}

#[derive(Default)]
pub struct Trace {
    pub frames: Vec<Bytes>,
    pub datagrams: Vec<Bytes>,
}

/// The time that a step takes, by the bytes that it allocates: what it decodes, copies and encodes.
#[derive(Clone, Copy)]
pub struct Cost {
    /// Bytes that this thread has allocated so far.
    pub allocated: fn() -> u64,
    pub bytes_per_second: u64,
}

pub fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 7000))
}

impl Fleet {
    /// `core` gateways with a disk, `plain` without one, and `stores`; zones in turn. Nobody runs yet.
    pub fn new(core: usize, plain: usize, stores: usize, seed: u64) -> Self {
        let mut fleet = Fleet {
            now: SECOND,
            machines: Vec::new(),
            answers: BTreeMap::new(),
            runs: Vec::new(),
            in_force_log: Vec::new(),
            events: BinaryHeap::new(),
            events_by_number: BTreeMap::new(),
            count: 0,
            tickets: 0,
            partitioned: BTreeSet::new(),
            order: BTreeMap::new(),
            link: None,
            sending: BTreeMap::new(),
            taking: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.002,
            sync: 2 * MS,
            slow_disks: BTreeMap::new(),
            tolerate: 1,
            disk_bytes: 256 << 20,
            memory_bytes: 300_000_000,
            link_bytes_per_second: 60_000_000,
            sync_time: 5 * SECOND,
            status_time: 120 * SECOND,
            rewrites_put_off: 0.5,
            seeds: 3,
            run_time: 300 * MS,
            interrupts_first_runs: false,
            output_padding: 0,
            bytes: 0,
            bytes_to: BTreeMap::new(),
            bytes_from: BTreeMap::new(),
            zones: 4,
            serves_primitives: false,
            watch_history: 40 * SECOND,
            event_bytes: 0,
            cost: None,
            largest_step: 0,
            has_damaged_disks: false,
            trace: None,
        };
        (0..core).for_each(|n| {
            fleet.add(true, true, n);
        });
        (0..plain).for_each(|n| {
            fleet.add(true, false, n);
        });
        (0..stores).for_each(|n| {
            fleet.add(false, true, n);
        });
        fleet
    }

    /// One more machine, which does not run yet.
    pub fn add(&mut self, gateway: bool, disk: bool, zone: usize) -> usize {
        let place = self.machines.len();
        let kind = if gateway { "edge" } else { "storage" };
        self.machines.push(Machine {
            name: format!("{kind}-{place}"),
            zone: format!("zone-{}", zone % self.zones),
            at: address(place),
            gateway,
            disk: disk.then(Disk::default),
            coordinator: None,
            frozen: false,
            incarnation: 0,
            wakes_at: Time::MAX,
            skew: 0,
            busy_until: 0,
            in_force: Vec::new(),
            workers: BTreeMap::new(),
            reports: Vec::new(),
            log: Vec::new(),
        });
        place
    }

    pub fn start_all(&mut self) {
        (0..self.machines.len()).for_each(|at| self.start(at, true));
    }

    /// The clocks of a machine.
    pub fn time(&self, at: usize) -> Now {
        Now { steady: self.now, wall: 1_700_000_000 * SECOND + self.now + self.machines[at].skew }
    }

    /// A process begins at a machine, with what its disk holds.
    pub fn start(&mut self, at: usize, first_boot: bool) {
        let seeds: Vec<SocketAddr> = (0..self.seeds).map(address).collect();
        let (seed, now, drawn) = (self.rng.random(), self.time(at), self.rng.random::<u64>().max(1));
        let machine = &mut self.machines[at];
        assert!(machine.coordinator.is_none(), "{} runs", machine.name);
        let founds = first_boot && machine.gateway && seeds.contains(&machine.at);
        let mut logs = Vec::new();
        if let Some(disk) = &mut machine.disk {
            if disk.id == 0 {
                disk.id = if founds { founding_id(machine.at) } else { drawn };
            }
            logs = disk.synced.iter().map(|(shard, records)| (*shard, records.clone())).collect();
        }
        let info = NodeInfo {
            node_name: machine.name.clone(),
            zone: machine.zone.clone(),
            peer_address: machine.at,
            control_address: machine.gateway.then(|| SocketAddr::new(machine.at.ip(), 8000)),
            role: if machine.gateway { ProcessRole::Gateway } else { ProcessRole::Store },
            disk: machine.disk.as_ref().map(|d| d.id),
            first_boot,
            seeds,
            tolerated_failures: self.tolerate,
            heartbeat_interval: 1200 * MS,
            disk_bytes: self.disk_bytes,
            memory_bytes: self.memory_bytes,
            link_bytes_per_second: self.link_bytes_per_second,
            sync_time: self.sync_time,
            relays_enabled: true,
            job_retention: self.status_time + RETENTION_SLACK,
            serves_primitives: self.serves_primitives,
            watch_history: self.watch_history,
            seed,
        };
        machine.coordinator = Some(Coordinator::new(info, logs, now).expect("its own records"));
        machine.incarnation += 1;
        machine.frozen = false;
        machine.in_force.clear();
        machine.workers.clear();
        self.after(at);
    }

    /// Which start of its process this is.
    pub fn incarnation(&self, at: usize) -> u32 {
        self.machines[at].incarnation
    }

    /// The process is gone. With `power`, what is not synced is lost; without, what was written reaches the disk.
    pub fn kill(&mut self, at: usize, power: bool) {
        let machine = &mut self.machines[at];
        machine.coordinator = None;
        machine.incarnation += 1;
        machine.wakes_at = Time::MAX;
        if let Some(disk) = &mut machine.disk {
            disk.finish(!power);
        }
    }

    /// Its disk is empty from now on.
    pub fn wipe(&mut self, at: usize) {
        self.kill(at, true);
        self.machines[at].disk = Some(Disk::default());
    }

    pub fn freeze(&mut self, at: usize) {
        self.machines[at].frozen = true;
    }

    pub fn thaw(&mut self, at: usize) {
        self.machines[at].frozen = false;
        let incarnation = self.machines[at].incarnation;
        self.push(self.now, Event::Wake { at, incarnation });
    }

    /// A process is told to end, and waits two seconds at most for the items that it runs; it runs on until it is killed.
    pub fn transfer_leaderships(&mut self, at: usize) {
        let (now, wait_until) = (self.time(at), self.now + 2 * SECOND);
        if let Some(coordinator) = &mut self.machines[at].coordinator {
            coordinator.transfer_leaderships(now, wait_until);
        }
        self.after(at);
    }

    /// A process is told to end: it hands over what it leads, and asks to be left out of its replica sets.
    pub fn tell_to_end(&mut self, at: usize) {
        self.transfer_leaderships(at);
        let now = self.time(at);
        if let Some(coordinator) = &mut self.machines[at].coordinator {
            coordinator.depart(now);
        }
        self.after(at);
    }

    /// A process that was told to end does so once it leads nothing and its replica sets go on without it, where they can.
    pub fn end_when_released(&mut self, at: usize) {
        let process = |fleet: &Fleet, what: fn(&Coordinator, Now) -> bool| {
            fleet.machines[at].coordinator.as_ref().is_some_and(|process| what(process, fleet.time(at)))
        };
        self.until(TRANSFER_TIME, |fleet| !process(fleet, |process, _| process.leads_any_shard()));
        self.until(DEPARTURE_TIME, |fleet| !process(fleet, |process, now| process.is_departing(now)));
        let now = self.time(at);
        if let Some(coordinator) = &mut self.machines[at].coordinator {
            coordinator.leave(now);
        }
        self.after(at);
        self.pass(LEAVE_TIME);
        self.kill(at, false);
    }

    /// A process is told to end, and ends in order.
    pub fn end_in_order(&mut self, at: usize) {
        self.tell_to_end(at);
        self.end_when_released(at);
    }

    /// Nothing passes between the two sides.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.partitioned.insert((*a, *b));
                self.partitioned.insert((*b, *a));
            }
        }
    }

    /// Nothing passes from the one side to the other.
    pub fn partition_one_way(&mut self, from: &[usize], to: &[usize]) {
        self.partitioned.extend(from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))));
    }

    pub fn is_partitioned(&self) -> bool {
        !self.partitioned.is_empty()
    }

    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// A call at a machine; its ticket.
    pub fn call(&mut self, at: usize, call: Call) -> u64 {
        self.tickets += 1;
        let (ticket, now) = (self.tickets, self.time(at));
        if let Some(coordinator) = &mut self.machines[at].coordinator {
            coordinator.call(now, ticket, call);
        }
        self.after(at);
        ticket
    }

    /// A call, and its answer within so many seconds.
    pub fn ask(&mut self, at: usize, call: Call, within: f64) -> Option<Answer> {
        let ticket = self.call(at, call);
        self.until(within, |fleet| fleet.answers.contains_key(&ticket));
        self.answers.get(&ticket).map(|a| a.1.clone())
    }

    /// A machine's data plane saw something of workers.
    pub fn report(&mut self, at: usize, seen: Vec<WorkerReport>) {
        let now = self.time(at);
        if let Some(coordinator) = &mut self.machines[at].coordinator {
            coordinator.report(now, seen);
        }
        self.after(at);
    }

    pub fn pass(&mut self, seconds: f64) {
        self.until(seconds, |_| false);
    }

    /// Time passes until it holds; whether it did within so many seconds.
    pub fn until(&mut self, seconds: f64, holds: impl FnMut(&Fleet) -> bool) -> bool {
        self.until_time(self.now + (seconds * SECOND as f64) as Time, holds)
    }

    /// Time passes until it holds; whether it did by then.
    pub fn until_time(&mut self, end: Time, mut holds: impl FnMut(&Fleet) -> bool) -> bool {
        if holds(self) {
            return true;
        }
        while let Some(Reverse((at, nth))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events_by_number.remove(&nth) {
                self.handle(event);
                if holds(self) {
                    return true;
                }
            }
        }
        self.now = end;
        false
    }

    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events_by_number.insert(self.count, event);
        self.events.push(Reverse((at, self.count)));
    }

    fn handle(&mut self, event: Event) {
        let (at, incarnation) = match &event {
            Event::Datagram { to, incarnation, .. } | Event::Frame { to, incarnation, .. } => {
                (*to, *incarnation)
            }
            Event::Saved { at, incarnation, .. }
            | Event::Wake { at, incarnation }
            | Event::Ran { at, incarnation, .. } => (*at, *incarnation),
        };
        let now = self.time(at);
        let machine = &mut self.machines[at];
        if machine.incarnation != incarnation || machine.coordinator.is_none() {
            return;
        }
        if machine.frozen {
            // It finds all that when it goes on.
            if !matches!(event, Event::Wake { .. }) {
                self.push(self.now + 20 * MS, event);
            }
            return;
        }
        if machine.busy_until > self.now {
            let until = machine.busy_until;
            self.push(until, event);
            return;
        }
        let allocated_before = self.cost.map(|cost| (cost.allocated)());
        let Some(coordinator) = machine.coordinator.as_mut() else { return };
        match event {
            Event::Datagram { from, bytes, .. } => coordinator.receive_datagram(now, from, &bytes),
            Event::Frame { from, bytes, .. } => {
                coordinator.receive_frame(now, from, &bytes).expect("a frame of its own kind")
            }
            Event::Saved { shard, ticket, .. } => {
                if let Some(disk) = &mut machine.disk {
                    disk.sync(shard, ticket);
                }
                let kept = machine.disk.as_ref().and_then(|disk| disk.synced.get(&shard));
                let length = kept.into_iter().flatten().map(|record| record.len() as u64).sum();
                coordinator.persisted(now, shard, ticket, length);
            }
            Event::Wake { .. } => {
                machine.wakes_at = Time::MAX;
                coordinator.handle_timeout(now);
            }
            Event::Ran { ran: Ran { shard, run, events, outcome }, .. } => {
                coordinator.item_finished(now, shard, RunResult { run, events, outcome });
            }
        }
        if let (Some(cost), Some(before)) = (self.cost, allocated_before) {
            self.charge(at, (cost.allocated)() - before, cost.bytes_per_second);
        }
        self.after(at);
    }

    /// A step has allocated so many bytes: the machine is at work until it is over.
    fn charge(&mut self, at: usize, bytes: u64, bytes_per_second: u64) {
        self.largest_step = self.largest_step.max(bytes);
        let took = bytes as i128 * i128::from(SECOND) / i128::from(bytes_per_second);
        self.machines[at].busy_until = self.now + took as Time;
    }

    fn place(&self, at: SocketAddr) -> Option<usize> {
        self.machines.iter().position(|m| m.at == at)
    }

    /// Carries out what the coordinator at a machine wants.
    fn after(&mut self, at: usize) {
        let Some(coordinator) = self.machines[at].coordinator.as_mut() else { return };
        let effects = coordinator.take_effects();
        for (invariant, count) in coordinator.violations().counts().filter(|_| !self.has_damaged_disks) {
            assert_eq!(count, 0, "{at} violates {}: {effects:?}", invariant.name());
        }
        let (from, incarnation) = (self.machines[at].at, self.machines[at].incarnation);
        for effect in effects {
            match effect {
                Effect::Datagram { to, bytes } => {
                    if let Some(trace) = &mut self.trace {
                        trace.datagrams.push(bytes.clone());
                    }
                    self.bytes += bytes.len() as u64;
                    *self.bytes_from.entry(at).or_default() += bytes.len() as u64;
                    let Some(to) = self.place(to).filter(|to| !self.partitioned.contains(&(at, *to))) else {
                        continue;
                    };
                    *self.bytes_to.entry(to).or_default() += bytes.len() as u64;
                    if self.rng.random::<f64>() >= self.loss {
                        let (delay, incarnation) = (self.delay(), self.machines[to].incarnation);
                        self.push(self.now + delay, Event::Datagram { to, incarnation, from, bytes });
                    }
                }
                Effect::Frame { to, head, tail } => {
                    let bytes = Bytes::from([&head[..], &tail[..]].concat());
                    if let Some(trace) = &mut self.trace {
                        trace.frames.push(bytes.clone());
                    }
                    self.bytes += bytes.len() as u64;
                    *self.bytes_from.entry(at).or_default() += bytes.len() as u64;
                    let Some(to) = self.place(to).filter(|to| !self.partitioned.contains(&(at, *to))) else {
                        continue;
                    };
                    *self.bytes_to.entry(to).or_default() += bytes.len() as u64;
                    let (delay, incarnation) = (self.delay(), self.machines[to].incarnation);
                    let delay = delay + self.link_delay(at, to, bytes.len());
                    let due = self.order.get(&(at, to)).copied().unwrap_or(0).max(self.now + delay);
                    self.order.insert((at, to), due);
                    self.push(due, Event::Frame { to, incarnation, from, bytes });
                }
                Effect::Append { shard, ticket, records } => self.write(at, shard, ticket, false, records),
                Effect::ReplaceDiskIdentity { disk } => {
                    self.machines[at].disk = Some(Disk::empty(disk));
                }
                Effect::Rewrite { shard, ticket, records, implied } => {
                    // A disk may put off every rewrite whose first records only repeat what it holds.
                    let is_put_off = implied > 0 && self.rng.random_bool(self.rewrites_put_off);
                    let left_out = if is_put_off { implied } else { 0 };
                    let records = records.iter().skip(left_out).collect();
                    self.write(at, shard, ticket, !is_put_off, records);
                }
                Effect::Answer { ticket, answer } => {
                    self.answers.insert(ticket, (self.now, answer));
                }
                Effect::Configuration { version, text } => {
                    self.machines[at].in_force.push(version);
                    self.in_force_log.push((at, text));
                }
                Effect::Worker(worker) => {
                    self.machines[at].workers.insert(worker.id.clone(), worker);
                }
                Effect::RunItem { shard, next } => {
                    self.runs.push((at, next.job.clone(), next.item.id.clone()));
                    let first = next.last_event + 1;
                    let padding = self.event_bytes;
                    let event = |n: u64| (n, Bytes::from(format!("{} {n}{:padding$}", next.item.id, "")));
                    let mut events: Vec<(u64, Bytes)> = (first..=3).map(event).collect();
                    if self.output_padding > 0 {
                        events.push((4, self.noise(self.output_padding)));
                    }
                    let (mut took, mut outcome) = (self.run_time, RunOutcome::Complete);
                    if self.interrupts_first_runs && next.last_event == 0 {
                        events.truncate(1);
                        (took, outcome) = (INTERRUPTED_RUN_TIME, RunOutcome::Interrupted);
                    }
                    let ran = Ran { shard, run: next.id, events, outcome };
                    self.push(self.now + took, Event::Ran { at, incarnation, ran });
                }
                Effect::PeerCount(_) => {}
                Effect::Reports(reports) => self.machines[at].reports.extend(reports),
                Effect::Log(what, text) => {
                    self.machines[at].log.push(format!("{} {what}: {text}", self.now / MS))
                }
            }
        }
        let machine = &mut self.machines[at];
        let next = machine.coordinator.as_ref().map_or(Time::MAX, |o| o.next_timeout());
        if next < machine.wakes_at {
            machine.wakes_at = next;
            let incarnation = machine.incarnation;
            self.push(next.max(self.now), Event::Wake { at, incarnation });
        }
    }

    fn write(&mut self, at: usize, shard: u16, ticket: u64, whole: bool, records: Vec<Bytes>) {
        let sync = self.slow_disks.get(&at).copied().unwrap_or(self.sync);
        let incarnation = self.machines[at].incarnation;
        if let Some(disk) = &mut self.machines[at].disk {
            disk.write(shard, ticket, whole, records);
        }
        self.push(self.now + sync, Event::Saved { at, incarnation, shard, ticket });
    }

    /// So many letters, digits and signs that no compression makes much shorter.
    fn noise(&mut self, length: usize) -> Bytes {
        (0..length).map(|_| self.rng.random_range(b'#'..b'\\')).collect()
    }

    /// How long a frame waits for the links of both machines and takes on them.
    fn link_delay(&mut self, from: usize, to: usize, bytes: usize) -> Time {
        let Some(rate) = self.link else { return 0 };
        let time = (bytes as u64 * SECOND as u64 / rate) as Time;
        let sent = self.sending.get(&from).copied().unwrap_or(0).max(self.now) + time;
        let taken = self.taking.get(&to).copied().unwrap_or(0).max(sent - time) + time;
        self.sending.insert(from, sent);
        self.taking.insert(to, taken);
        taken - self.now
    }

    fn delay(&mut self) -> Time {
        MS / 2 + (self.rng.random::<f64>() * MS as f64) as Time
    }

    /// All machines but one.
    pub fn others(&self, of: usize) -> Vec<usize> {
        (0..self.machines.len()).filter(|at| *at != of).collect()
    }

    /// Nothing passes between a machine and all others.
    pub fn isolate(&mut self, at: usize) {
        self.partition(&[at], &self.others(at));
    }

    /// The members of a shard as its leader knows them; none where nobody leads it.
    pub fn members_of(&self, shard: u16) -> Option<Vec<usize>> {
        let leader = self.machines[self.leader(shard)?].coordinator.as_ref()?;
        let members = leader.shard_status(shard).members;
        Some(members.iter().filter_map(|member| self.place(member.address)).collect())
    }

    /// How many shards of batch jobs a machine leads.
    pub fn led_shards(&self, at: usize) -> usize {
        let Some(coordinator) = &self.machines[at].coordinator else { return 0 };
        (1..=BATCH_SHARDS).filter(|shard| coordinator.shard_status(*shard).is_leader).count()
    }

    /// Who leads a shard.
    pub fn leader(&self, shard: u16) -> Option<usize> {
        let leads = |m: &Machine| {
            !m.frozen && m.coordinator.as_ref().is_some_and(|o| o.shard_status(shard).is_leader)
        };
        self.machines.iter().position(leads)
    }
}

/// Where the stores are.
pub fn stores(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.machines.len()).filter(|at| !fleet.machines[*at].gateway).collect()
}

/// A figure of the process at a machine.
pub fn figure(fleet: &Fleet, at: usize, name: &str) -> Option<f64> {
    let metrics = fleet.machines[at].coordinator.as_ref()?.metrics();
    metrics.into_iter().find(|(found, _)| found == name).map(|(_, value)| value)
}

/// A fleet that has founded its parts and has the first configuration, version 5, in force everywhere.
pub fn settled(core: usize, plain: usize, stores: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(core, plain, stores, seed);
    settle(&mut fleet);
    fleet
}

/// Starts a fleet, and brings it to where [`settled`] has it.
pub fn settle(fleet: &mut Fleet) {
    fleet.start_all();
    fleet.pass(6.0);
    let answer = fleet.ask(0, Call::Configure { base: 0, text: configuration(5, "notary") }, 2.0);
    assert_eq!(answer.map(|a| a.status), Some(200));
    fleet.pass(1.0);
}
