//! Members of a gossip on a virtual clock: messages in memory with delays and losses, members that are isolated or suspended.
#![allow(dead_code, reason = "not every test uses all of it")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_registry::gossip::{CONFIGURATION, Outgoing};
use rainlug_registry::{Gossip, Phase, Worker};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: Time = 1_000;
pub const DIGEST_INTERVAL: Time = 2 * SECOND;
/// The longest delay of a message that is late.
pub const MAX_LATE_DELAY: Time = 3 * SECOND;

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_660))
}

pub fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { panic!("{address}") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

pub fn worker(n: usize, phase: Phase, call_seq: u64) -> Worker {
    Worker {
        id: format!("i-{n}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 9, (n >> 8) as u8, n as u8], 8_080)),
        zone: "z".to_owned(),
        slots: 8,
        phase,
        warm_up_left_ms: 0,
        call_seq,
    }
}

#[derive(Default)]
pub struct Effects {
    pub sent: Vec<(SocketAddr, Bytes)>,
    pub workers: Vec<Worker>,
    pub documents: Vec<(u8, u64)>,
}

impl Outgoing for Effects {
    fn send(&mut self, to: SocketAddr, bytes: Bytes) {
        self.sent.push((to, bytes));
    }
    fn worker_changed(&mut self, worker: &Worker) {
        self.workers.push(worker.clone());
    }
    fn document_changed(&mut self, kind: u8, version: u64, _content: &Bytes) {
        self.documents.push((kind, version));
    }
}

#[derive(Default)]
pub struct Member {
    /// No message reaches or leaves it.
    pub is_isolated: bool,
    /// It does not run; messages to it wait.
    pub is_suspended: bool,
    /// The phases that its effects have reported last.
    pub phases: BTreeMap<String, Phase>,
    /// Versions of documents that became known in this incarnation, by kind, in order.
    pub versions: BTreeMap<u8, Vec<u64>>,
    /// Messages received.
    pub received_messages: usize,
    pub received: usize,
    pub sent: usize,
    pub messages: usize,
}

/// Whether each version is above the one before.
pub fn is_increasing(versions: &[u64]) -> bool {
    versions.is_sorted_by(|earlier, later| earlier < later)
}

/// A message, ordered by its arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Time,
    number: usize,
    from: usize,
    to: usize,
    bytes: Bytes,
}

pub struct Fleet {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub loss: f64,
    /// The probability that a message arrives twice, and that it is up to `MAX_LATE_DELAY` late and so arrives behind later ones.
    pub duplication: f64,
    pub delay_probability: f64,
    pub gossips: Vec<Gossip>,
    pub members: Vec<Member>,
    /// When each member is due, and the same in order of time.
    due: Vec<Time>,
    timers: BTreeSet<(Time, usize)>,
    wire: BinaryHeap<Reverse<InFlight>>,
    count: usize,
}

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        let peers: Vec<_> = (0..size).map(address).collect();
        let gossips = (0..size).map(|n| {
            let mut gossip = Gossip::new(DIGEST_INTERVAL, seed * 1_000 + n as u64, 0);
            let others: Vec<_> = peers.iter().copied().filter(|p| *p != address(n)).collect();
            gossip.set_peers(0, &others);
            gossip
        });
        let gossips: Vec<_> = gossips.collect();
        let due: Vec<_> = gossips.iter().map(Gossip::next_timeout).collect();
        Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            delay_probability: 0.0,
            timers: due.iter().enumerate().map(|(n, at)| (*at, n)).collect(),
            due,
            gossips,
            members: (0..size).map(|_| Member::default()).collect(),
            wire: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Calls one member, and carries out its effects.
    pub fn with_member<T>(
        &mut self,
        n: usize,
        with_member: impl FnOnce(&mut Gossip, Time, &mut Effects) -> T,
    ) -> T {
        let mut effects = Effects::default();
        let result = with_member(&mut self.gossips[n], self.now, &mut effects);
        self.timers.remove(&(self.due[n], n));
        self.due[n] = self.gossips[n].next_timeout();
        self.timers.insert((self.due[n], n));
        for worker in effects.workers {
            self.members[n].phases.insert(worker.id, worker.phase);
        }
        for (kind, version) in effects.documents {
            self.members[n].versions.entry(kind).or_default().push(version);
        }
        for (to, bytes) in effects.sent {
            self.members[n].sent += bytes.len();
            self.members[n].messages += 1;
            let to = number(to);
            assert_ne!(to, n);
            if self.members[n].is_isolated || self.members[to].is_isolated || self.rng.random_bool(self.loss)
            {
                continue;
            }
            for _ in 0..=u8::from(self.rng.random_bool(self.duplication)) {
                let max_delay =
                    if self.rng.random_bool(self.delay_probability) { MAX_LATE_DELAY } else { 20 * MS };
                let delay = self.rng.random_range(MS..=max_delay);
                self.count += 1;
                let (arrives_at, number, bytes) = (self.now + delay, self.count, bytes.clone());
                self.wire.push(Reverse(InFlight { arrives_at, number, from: n, to, bytes }));
            }
        }
        result
    }

    /// Handles the next event before `until`; false where there is none.
    pub fn step(&mut self, until: Time) -> bool {
        let timer = self.timers.iter().find(|(_, n)| !self.members[*n].is_suspended).copied();
        let wire = self.wire.peek().map(|Reverse(next)| next.arrives_at);
        match (wire, timer) {
            (Some(at), timer) if at <= until && timer.is_none_or(|(t, _)| at <= t) => {
                let Some(Reverse(InFlight { number, from, to, bytes, .. })) = self.wire.pop() else {
                    return false;
                };
                self.now = self.now.max(at);
                if self.members[to].is_suspended {
                    self.wire.push(Reverse(InFlight { arrives_at: at + 50 * MS, number, from, to, bytes }));
                } else if !self.members[to].is_isolated {
                    self.members[to].received += bytes.len();
                    self.members[to].received_messages += 1;
                    self.with_member(to, |b, now, out| b.receive(now, address(from), &bytes, out));
                }
                true
            }
            (_, Some((at, n))) if at <= until => {
                self.now = self.now.max(at);
                self.with_member(n, |b, now, out| b.handle_timeout(now, out));
                assert!(self.gossips[n].next_timeout() > self.now, "due again at once");
                true
            }
            _ => {
                self.now = self.now.max(until);
                false
            }
        }
    }

    pub fn run(&mut self, time: Time) {
        let until = self.now + time;
        while self.step(until) {}
    }

    /// Runs until all members have it, at most for `timeout`; how long that took.
    pub fn until(&mut self, timeout: Time, has: impl Fn(&Gossip) -> bool) -> Option<Time> {
        let start = self.now;
        loop {
            if self.gossips.iter().all(&has) {
                return Some(self.now - start);
            }
            if !self.step(start + timeout) {
                return self.gossips.iter().all(&has).then_some(self.now - start);
            }
        }
    }

    pub fn publish_worker(&mut self, n: usize, worker: Worker) -> bool {
        self.with_member(n, |b, now, out| b.publish_worker(now, worker, out))
    }

    pub fn publish_configuration(&mut self, n: usize, version: u64, content: &Bytes) -> bool {
        self.publish_document(n, CONFIGURATION, version, content)
    }

    pub fn publish_document(&mut self, n: usize, kind: u8, version: u64, content: &Bytes) -> bool {
        self.with_member(n, |b, now, out| b.publish_document(now, kind, version, content.clone(), out))
    }

    /// A member loses all that it knows, and catches up with the others.
    pub fn lose_state(&mut self, n: usize) {
        let (seed, now) = (self.rng.random(), self.now);
        let others: Vec<_> = (0..self.members.len()).filter(|other| *other != n).map(address).collect();
        self.gossips[n] = Gossip::new(DIGEST_INTERVAL, seed, now);
        self.with_member(n, |b, now, out| {
            b.set_peers(now, &others);
            b.catch_up(now, out);
        });
    }

    /// A new incarnation of a member begins.
    pub fn restart(&mut self, n: usize) {
        self.members[n].versions.clear();
        self.members[n].phases.clear();
        self.lose_state(n);
    }
}

pub fn phase_of(gossip: &Gossip, n: usize) -> Option<Phase> {
    let id = format!("i-{n}");
    gossip.workers().find(|w| w.id == id).map(|w| w.phase)
}

pub fn phases(gossip: &Gossip) -> BTreeMap<String, Phase> {
    gossip.workers().map(|w| (w.id.clone(), w.phase)).collect()
}
