//! A replicated view of the tier: its workers, and the newest version of a few documents (the configuration, the topology).
//!
//! Every process has a copy. Updates spread by rumor mongering, as epidemic protocols do (Demers et al., *Epidemic algorithms for
//! replicated database maintenance*, 1987): the process that learns of one [publishes](Gossip::publish_worker) it to several
//! peers, these forward it to others, and it is retransmitted to peers that have not acknowledged it. What is lost all the same
//! is found by anti-entropy: digests of two copies are compared periodically, and each side sends what the
//! other lacks. Workers that are gone leave tombstones (death certificates) for a while, so that older updates do not bring them
//! back.
//!
//! Entries merge by their versions: the result does not depend on the order in which updates arrive, and copies that exchange
//! their entries become equal. There is no consensus here. What has to be agreed on, such as the configuration, is agreed on
//! elsewhere and published here with its version.
//!
//! The type does no I/O. Times are in microseconds of a steady clock, effects go to an [`Outgoing`], and all randomness comes from
//! the seed.

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
use entry::Entry;
use pending::{PendingUpdate, Subject};

/// The kind of document that holds the configuration in force.
pub const CONFIGURATION: u8 = 0;
/// The kind of document that holds the topology: stores and replica sets.
pub const TOPOLOGY: u8 = 1;

/// How many peers a [catch-up](Gossip::catch_up) compares digests with.
const CATCH_UP_PEERS: usize = 4;
/// The least interval between digests.
const MIN_DIGEST_INTERVAL: Time = 1_000;

/// Where a gossip's effects go.
pub trait Outgoing {
    /// Sends a message to a peer. It has to arrive complete and in order behind earlier ones, or not at all.
    fn send(&mut self, to: SocketAddr, bytes: Bytes);
    /// A worker is new here or has changed. One that is no longer listed comes with [`Phase::Gone`](crate::Phase::Gone).
    fn worker_changed(&mut self, worker: &Worker);
    /// A document has a newer version here.
    fn document_changed(&mut self, kind: u8, version: u64, content: &Bytes);
}

/// How many of the live peers are known to have an update, by their acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Peers that have acknowledged it, or something newer.
    pub acknowledged: usize,
    /// All live peers.
    pub peers: usize,
}

/// One process's copy of the replicated view.
pub struct Gossip {
    digest_interval: Time,
    rng: ChaCha8Rng,
    /// Sorted.
    peers: Vec<SocketAddr>,
    workers: BTreeMap<String, Entry>,
    /// Version and content by kind.
    documents: BTreeMap<u8, (u64, Bytes)>,
    /// The newest version of a document that a peer is known to have.
    peer_versions: BTreeMap<(u8, SocketAddr), u64>,
    pending: BTreeMap<Subject, PendingUpdate>,
    next_digest: Time,
    next_expiry: Time,
    malformed: u64,
}

impl Gossip {
    /// An empty copy. `digest_interval`, in microseconds, is about how often digests are compared with one peer; each time it is
    /// drawn from 80 % to 120 % of that.
    pub fn new(digest_interval: Time, seed: u64, now: Time) -> Self {
        let mut gossip = Self {
            digest_interval: digest_interval.max(MIN_DIGEST_INTERVAL),
            rng: ChaCha8Rng::seed_from_u64(seed),
            peers: Vec::new(),
            workers: BTreeMap::new(),
            documents: BTreeMap::new(),
            peer_versions: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_digest: now,
            next_expiry: Time::MAX,
            malformed: 0,
        };
        gossip.schedule_digest(now);
        gossip
    }

    /// Sets the other live processes, by membership (the addresses of their peer ports). What is known of others is dropped.
    pub fn set_peers(&mut self, now: Time, peers: &[SocketAddr]) {
        let was_alone = self.peers.is_empty();
        self.peers = peers.iter().copied().map(canonical).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        let Self { peers, peer_versions, pending, .. } = self;
        peer_versions.retain(|(_, peer), _| peers.binary_search(peer).is_ok());
        for update in pending.values_mut() {
            update.acknowledged_by.retain(|peer| peers.binary_search(peer).is_ok());
        }
        if was_alone && !self.peers.is_empty() {
            self.next_digest = now;
        }
    }

    /// Takes over what a worker reported to this process, and publishes it if it is an update; returns whether it is. A heartbeat
    /// that changes nothing but the number of the call is none. A worker with a name of more than 256 bytes is refused.
    pub fn publish_worker(&mut self, now: Time, mut worker: Worker, out: &mut dyn Outgoing) -> bool {
        if [&worker.id, &worker.service, &worker.zone].iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return false;
        }
        worker.address = canonical(worker.address);
        let id = worker.id.clone();
        let published_seq = worker.call_seq;
        let merged = self.merge(now, Entry::new(now, worker, published_seq, 0), false, out);
        if merged.is_update() {
            self.publish(now, Subjects::workers(vec![id]), out);
        }
        merged.is_update()
    }

    /// Takes over a document that was agreed on at a version, and publishes it if it is newer than the one here; returns whether
    /// it is.
    pub fn publish_document(
        &mut self,
        now: Time,
        kind: u8,
        version: u64,
        content: Bytes,
        out: &mut dyn Outgoing,
    ) -> bool {
        let is_newer = self.adopt_document(kind, version, &content, out);
        if is_newer {
            self.publish(now, Subjects::documents(vec![kind]), out);
        }
        is_newer
    }

    /// The newest known version of a document, and its content.
    pub fn document(&self, kind: u8) -> Option<(u64, &Bytes)> {
        self.documents.get(&kind).map(|(version, content)| (*version, content))
    }

    /// The listed workers by id: without those that deregistered, and those that have been unresponsive or draining too long.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|entry| !entry.is_delisted).map(|entry| &entry.worker)
    }

    /// How many peers have acknowledged this version of a document or a newer one.
    pub fn document_coverage(&self, kind: u8, version: u64) -> Coverage {
        let has = |peer: &&SocketAddr| self.peer_versions.get(&(kind, **peer)).is_some_and(|v| *v >= version);
        Coverage { acknowledged: self.peers.iter().filter(has).count(), peers: self.peers.len() }
    }

    /// How many peers have acknowledged the last update of a worker that was published here; known for a minute. No peer counts
    /// for an update that was not published here.
    pub fn worker_coverage(&self, id: &str) -> Coverage {
        let peers = self.peers.len();
        let acknowledged = match self.pending.get(&Subject::worker(id)) {
            Some(update) if update.is_complete => peers,
            Some(update) => update.acknowledged_by.len(),
            None => 0,
        };
        Coverage { acknowledged, peers }
    }

    /// Whether a worker's last update was published here and not all peers are known to have it.
    pub fn is_worker_propagating(&self, id: &str) -> bool {
        self.pending.get(&Subject::worker(id)).is_some_and(|update| !update.is_complete)
    }

    /// Whether a live peer is known to have a worker's last update. One that was not published here counts as known to all.
    pub fn is_worker_known_to(&self, id: &str, peer: SocketAddr) -> bool {
        let peer = canonical(peer);
        let update = self.pending.get(&Subject::worker(id));
        self.is_peer(&peer)
            && update.is_none_or(|update| update.is_complete || update.acknowledged_by.contains(&peer))
    }

    /// How many messages, or entries in them, could not be decoded.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Handles a message from another process. One that cannot be decoded is counted and dropped.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut dyn Outgoing) {
        let from = canonical(from);
        match Message::decode(bytes) {
            None => self.malformed += 1,
            Some(Message::Update(update)) => self.receive_update(now, from, update, out),
            Some(Message::Ack(ack)) => self.receive_ack(from, &ack),
            Some(Message::Digest(digest)) => self.receive_digest(now, from, &digest, out),
            Some(Message::Difference(difference)) => self.receive_difference(now, from, difference, out),
        }
    }

    /// Compares digests with several peers at once: after a partition, a suspended process or a start.
    pub fn catch_up(&mut self, now: Time, out: &mut dyn Outgoing) {
        let some: Vec<_> = self.peers.choose_multiple(&mut self.rng, CATCH_UP_PEERS).copied().collect();
        self.send_digest(now, &some, out);
    }

    /// When [`Gossip::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Time {
        let pending = self.pending.values().map(|update| update.retransmit_at.min(update.expires_at));
        pending.fold(self.next_digest.min(self.next_expiry), Time::min)
    }

    /// Does what is due: expires entries, retransmits updates and sends a digest.
    pub fn handle_timeout(&mut self, now: Time, out: &mut dyn Outgoing) {
        if self.next_expiry <= now {
            self.expire_entries(now, out);
        }
        self.pending.retain(|_, update| update.expires_at > now);
        self.retransmit(now, out);
        if self.next_digest <= now {
            self.schedule_digest(now);
            let one: Vec<_> = self.peers.choose(&mut self.rng).copied().into_iter().collect();
            self.send_digest(now, &one, out);
        }
    }

    fn is_peer(&self, address: &SocketAddr) -> bool {
        self.peers.binary_search(address).is_ok()
    }
}

/// What a message is about.
#[derive(Debug, Default)]
struct Subjects {
    /// Kinds of documents.
    documents: Vec<u8>,
    /// Ids of workers.
    workers: Vec<String>,
}

impl Subjects {
    fn documents(documents: Vec<u8>) -> Self {
        Subjects { documents, workers: Vec::new() }
    }

    fn workers(workers: Vec<String>) -> Self {
        Subjects { documents: Vec::new(), workers }
    }

    fn is_empty(&self) -> bool {
        self.documents.is_empty() && self.workers.is_empty()
    }
}

/// An address as it is compared: an IPv4 address that is mapped to IPv6 as IPv4.
fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

fn send(to: &[SocketAddr], message: &Message, out: &mut dyn Outgoing) {
    if let Some(bytes) = message.encode() {
        for peer in to {
            out.send(*peer, bytes.clone());
        }
    }
}
