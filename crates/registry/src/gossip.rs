//! What every process of the tier knows: workers, and newest versions of a few texts (the configuration, the groups of the
//! parts). Entries are merged by their versions, passed on to a few others when they are news, and gaps are found by comparing
//! digests. No order and no agreement is needed for that: what needs agreement is agreed on before it is entered here.

mod digest;
mod entry;
mod merge;
mod pending;
mod push;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::Worker;
use crate::wire::Message;
use crate::worker::MAX_NAME_BYTES;
use entry::{Entry, entry, hash};
use pending::{Pending, Subject};

/// The text of the configuration in force; of the groups of parts.
pub const CONFIGURATION: u8 = 0;
pub const TOPOLOGY: u8 = 1;

/// Where a gossip's effects go.
pub trait Outgoing {
    /// Bytes for another process: delivered whole and in order, or not at all.
    fn send(&mut self, to: SocketAddr, bytes: Bytes);
    /// A worker is new here or has changed.
    fn worker_changed(&mut self, worker: &Worker);
    /// A text has a newer version here.
    fn document_changed(&mut self, kind: u8, version: u64, text: &Bytes);
}

/// How many of the live peers are known to have an update, by their acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Peers that have said that they have it, or something newer.
    pub acknowledged: usize,
    /// All live peers.
    pub peers: usize,
}

/// Others that everything is compared with after a cut.
const CATCH_UP: usize = 4;

/// One process's copy.
pub struct Gossip {
    slow: Time,
    rng: ChaCha8Rng,
    peers: Vec<SocketAddr>,
    workers: BTreeMap<String, Entry>,
    texts: BTreeMap<u8, (u64, Bytes)>,
    /// The newest version of a text that a peer is known to have.
    versions: BTreeMap<(u8, SocketAddr), u64>,
    pending: BTreeMap<Subject, Pending>,
    next_digest: Time,
    next_sweep: Time,
    garbage: u64,
}

impl Gossip {
    /// `slow` is how long a gap may stay before digests are compared with one other, in microseconds.
    pub fn new(slow: Time, seed: u64, now: Time) -> Self {
        let mut new = Self {
            slow: slow.max(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            peers: Vec::new(),
            workers: BTreeMap::new(),
            texts: BTreeMap::new(),
            versions: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_digest: now,
            next_sweep: Time::MAX,
            garbage: 0,
        };
        new.plan_digest(now);
        new
    }

    /// The other processes that live now, by membership (addresses of their peer ports).
    pub fn set_peers(&mut self, now: Time, peers: &[SocketAddr]) {
        let lonely = self.peers.is_empty();
        self.peers = peers.iter().copied().map(canonical).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        let Self { peers, versions, pending, .. } = self;
        versions.retain(|(_, peer), _| peers.binary_search(peer).is_ok());
        for news in pending.values_mut() {
            news.have.retain(|peer| peers.binary_search(peer).is_ok());
        }
        if lonely && !self.peers.is_empty() {
            self.next_digest = now;
        }
    }

    /// What a worker said here. True where it was news. It is passed on at once. Beats that change nothing but the number of the
    /// call are no news. Refused where a name is longer than 256 bytes.
    pub fn publish_worker(&mut self, now: Time, mut worker: Worker, out: &mut dyn Outgoing) -> bool {
        if [&worker.id, &worker.service, &worker.zone].iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return false;
        }
        worker.address = canonical(worker.address);
        let id = worker.id.clone();
        let published_seq = worker.call_seq;
        let merged = self.merge(now, entry(now, worker, published_seq, 0), false, out);
        if merged.news {
            self.tell(now, &[], &[id], out);
        }
        merged.news
    }

    /// A text that is agreed on, at a version. True where it was newer than what stood here; it is passed on at once.
    pub fn publish_document(
        &mut self,
        now: Time,
        kind: u8,
        version: u64,
        text: Bytes,
        out: &mut dyn Outgoing,
    ) -> bool {
        let news = self.take_text(kind, version, &text, out);
        if news {
            self.tell(now, &[kind], &[], out);
        }
        news
    }

    pub fn document(&self, kind: u8) -> Option<(u64, &Bytes)> {
        self.texts.get(&kind).map(|(version, text)| (*version, text))
    }

    /// The workers by id, without those that said goodbye or have been silent for a minute.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|entry| !entry.is_tombstoned).map(|entry| &entry.worker)
    }

    /// Whether all peers that live have said that they have this news (or something newer); how many have, of how many.
    pub fn document_coverage(&self, kind: u8, version: u64) -> Coverage {
        let has = |peer: &&SocketAddr| self.versions.get(&(kind, **peer)).is_some_and(|v| *v >= version);
        Coverage { acknowledged: self.peers.iter().filter(has).count(), peers: self.peers.len() }
    }

    /// The same of a worker's last news that was first told here, for a minute from then; none have other news.
    pub fn worker_coverage(&self, id: &str) -> Coverage {
        let peers = self.peers.len();
        let acknowledged = match self.pending.get(&Subject::Worker(hash(id))) {
            Some(news) if news.done => peers,
            Some(news) => news.have.len(),
            None => 0,
        };
        Coverage { acknowledged, peers }
    }

    /// Whether a worker's last news was first told here and not all peers are known to have it.
    pub fn is_worker_propagating(&self, id: &str) -> bool {
        self.pending.get(&Subject::Worker(hash(id))).is_some_and(|news| !news.done)
    }

    /// Whether a peer is known to have a worker's last news; what came from others is known to all peers that live.
    pub fn is_worker_known_to(&self, id: &str, at: SocketAddr) -> bool {
        let at = canonical(at);
        let news = self.pending.get(&Subject::Worker(hash(id)));
        self.peers.binary_search(&at).is_ok() && news.is_none_or(|news| news.done || news.have.contains(&at))
    }

    /// Messages, or entries in them, that could not be read.
    pub fn malformed(&self) -> u64 {
        self.garbage
    }

    /// Bytes from another process's gossip. Garbage is counted and dropped.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut dyn Outgoing) {
        let from = canonical(from);
        match Message::read(bytes) {
            None => self.garbage += 1,
            Some(Message::Update(news)) => self.heard_news(now, from, news, out),
            Some(Message::Ack(ack)) => self.heard_ack(from, &ack),
            Some(Message::Digest(digest)) => self.heard_digest(now, from, &digest, out),
            Some(Message::Difference(difference)) => self.heard_difference(now, from, difference, out),
        }
    }

    /// Compares everything with several others at once: after a cut, a freeze or a start.
    pub fn catch_up(&mut self, now: Time, out: &mut dyn Outgoing) {
        let some: Vec<_> = self.peers.choose_multiple(&mut self.rng, CATCH_UP).copied().collect();
        self.send_digest(now, &some, out);
    }

    /// When `due` wants to be called.
    pub fn next_timeout(&self) -> Time {
        let pending = self.pending.values().map(|news| news.again.min(news.until));
        pending.fold(self.next_digest.min(self.next_sweep), Time::min)
    }

    pub fn handle_timeout(&mut self, now: Time, out: &mut dyn Outgoing) {
        if self.next_sweep <= now {
            self.sweep(now, out);
        }
        self.pending.retain(|_, news| news.until > now);
        self.tell_again(now, out);
        if self.next_digest <= now {
            self.plan_digest(now);
            let one: Vec<_> = self.peers.choose(&mut self.rng).copied().into_iter().collect();
            self.send_digest(now, &one, out);
        }
    }
}

fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

fn send(to: &[SocketAddr], message: &Message, out: &mut dyn Outgoing) {
    if let Some(bytes) = message.write() {
        for peer in to {
            out.send(*peer, bytes.clone());
        }
    }
}
