//! Rumor mongering: an update is sent to some peers at once, forwarded by them, and retransmitted to those that have not
//! acknowledged it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::entry::EntryVersion;
use super::merge::Merge;
use super::pending::{PendingUpdate, Subject};
use super::{Gossip, Outgoing, Subjects, canonical, send};
use crate::wire::{Ack, BUCKETS, Digest, DocumentVersion, Message, Publisher, Update};

/// Up to this many peers get an update from its publisher; where there are more, those forward it to [`FANOUT`] others each, and
/// so on, [`MAX_HOPS`] times at most.
const MAX_DIRECT_PEERS: usize = 12;
const FANOUT: usize = 3;
const MAX_HOPS: u8 = 8;

/// An update is retransmitted to peers that have not acknowledged it after the minimum delay, then after twice as long each time
/// up to the maximum: [`MAX_RETRANSMITS`] times in about four seconds.
const MIN_RETRANSMIT_DELAY: Time = 150_000;
const MAX_RETRANSMIT_DELAY: Time = 600_000;
const MAX_RETRANSMITS: u8 = 8;
/// Of the peers that the update was not sent to directly, this many get it by the first retransmit, and by each later one.
const FIRST_RETRANSMIT_PEERS: usize = 32;
const RETRANSMIT_PEERS: usize = 64;

/// How many updates are tracked until all peers have them, and how long.
const MAX_PENDING: usize = 256;
const PENDING_LIFETIME: Time = 60 * SECOND;

/// What the entries of a received update came to.
#[derive(Default)]
struct Received {
    /// Adopted: to be forwarded.
    adopted: Subjects,
    /// Workers whose version here is now newer than both: to be published.
    combined: Vec<String>,
    /// Newer here: to be sent back.
    newer_here: Subjects,
    ack: Ack,
}

impl Gossip {
    /// Sends others what was first known here, and tracks who has it.
    pub(super) fn publish(&mut self, now: Time, subjects: Subjects, out: &mut dyn Outgoing) {
        let direct: Vec<_> = self.peers.choose_multiple(&mut self.rng, MAX_DIRECT_PEERS).copied().collect();
        let update = |id: &str, version: EntryVersion| PendingUpdate {
            id: id.to_owned(),
            version,
            acknowledged_by: BTreeSet::new(),
            sent_to: direct.clone(),
            retransmits: 0,
            retransmit_at: now + MIN_RETRANSMIT_DELAY,
            expires_at: now + PENDING_LIFETIME,
            is_complete: false,
        };
        for kind in &subjects.documents {
            self.pending.insert(Subject::Document(*kind), update("", EntryVersion::of_document()));
        }
        for id in &subjects.workers {
            if let Some(entry) = self.workers.get(id) {
                self.pending.insert(Subject::worker(id), update(id, entry.published_version()));
            }
        }
        while self.pending.len() > MAX_PENDING {
            let oldest = self.pending.iter().min_by_key(|(_, update)| update.expires_at);
            let Some(oldest) = oldest.map(|(subject, _)| *subject) else { break };
            self.pending.remove(&oldest);
        }
        self.send_update(now, &direct, MAX_HOPS, Publisher::Sender, &subjects, out);
    }

    /// Retransmits what is due. Of documents only the versions are sent: a peer that lacks one answers.
    pub(super) fn retransmit(&mut self, now: Time, out: &mut dyn Outgoing) {
        let mut workers = BTreeMap::<SocketAddr, (u8, Vec<String>)>::new();
        let mut document_peers = BTreeSet::new();
        let Self { pending, peers, peer_versions, documents, rng, .. } = self;
        let due = pending.iter_mut().filter(|(_, update)| update.retransmit_at <= now && !update.is_complete);
        for (subject, update) in due {
            let has = |peer: &SocketAddr| match subject {
                Subject::Document(kind) => {
                    let version = documents.get(kind).map_or(0, |(version, _)| *version);
                    peer_versions.get(&(*kind, *peer)).is_some_and(|known| *known >= version)
                }
                Subject::Worker(_) => update.acknowledged_by.contains(peer),
            };
            let missing: Vec<_> = peers.iter().copied().filter(|peer| !has(peer)).collect();
            if missing.is_empty() && !peers.is_empty() {
                update.complete();
                continue;
            }
            let hops = if update.retransmits == 0 { MAX_HOPS } else { 0 };
            for peer in update.retransmit_to(missing, rng) {
                match subject {
                    Subject::Document(_) => {
                        document_peers.insert(peer);
                    }
                    Subject::Worker(_) => {
                        let (max_hops, ids) = workers.entry(peer).or_default();
                        *max_hops = hops.max(*max_hops);
                        ids.push(update.id.clone());
                    }
                }
            }
            update.schedule_retransmit(now);
        }
        for (peer, (hops, ids)) in workers {
            self.send_update(now, &[peer], hops, Publisher::Sender, &Subjects::workers(ids), out);
        }
        if !document_peers.is_empty() {
            let digest = Digest { wants_ack: 1, documents: self.document_versions(), buckets: [0; BUCKETS] };
            let peers: Vec<_> = document_peers.into_iter().collect();
            send(&peers, &Message::Digest(digest), out);
        }
    }

    /// Sends the current versions of some subjects, if there are any, to some peers.
    pub(super) fn send_update(
        &self,
        now: Time,
        to: &[SocketAddr],
        hops: u8,
        publisher: Publisher,
        subjects: &Subjects,
        out: &mut dyn Outgoing,
    ) {
        let documents: Vec<_> =
            subjects.documents.iter().filter_map(|kind| self.document_to_wire(*kind)).collect();
        let known = subjects.workers.iter().filter_map(|id| self.workers.get(id));
        let workers: Vec<_> = known.map(|entry| entry.to_wire(now)).collect();
        let is_empty = documents.is_empty() && workers.is_empty();
        if !to.is_empty() && !is_empty {
            send(to, &Message::Update(Update { hops, publisher, documents, workers }), out);
        }
    }

    pub(super) fn receive_update(
        &mut self,
        now: Time,
        from: SocketAddr,
        update: Update,
        out: &mut dyn Outgoing,
    ) {
        let (hops, is_direct) = (update.hops, update.publisher == Publisher::Sender);
        let publisher = match update.publisher {
            Publisher::Sender => Some(from),
            Publisher::Other(address) => Some(canonical(address.into())),
            Publisher::Nobody => None,
        };
        let Received { adopted, combined, newer_here, ack } = self.merge_update(now, from, update, out);
        if let Some(publisher) = publisher.filter(|publisher| is_direct || self.is_peer(publisher))
            && !(ack.documents.is_empty() && ack.workers.is_empty())
        {
            send(&[publisher], &Message::Ack(ack), out);
        }
        self.forward(now, from, publisher, hops, &adopted, out);
        self.send_update(now, &[from], 0, Publisher::Nobody, &newer_here, out);
        if !combined.is_empty() {
            self.publish(now, Subjects::workers(combined), out);
        }
    }

    /// Merges all that an update holds. Its publisher gets acknowledgements of what is new here; of everything, if it sent the
    /// update itself.
    fn merge_update(
        &mut self,
        now: Time,
        from: SocketAddr,
        update: Update,
        out: &mut dyn Outgoing,
    ) -> Received {
        let is_direct = update.publisher == Publisher::Sender;
        let mut received = Received::default();
        for document in update.documents {
            let (kind, version) = (document.kind, document.version);
            let is_newer = self.adopt_document(kind, version, &document.content, out);
            self.record_document_version(from, DocumentVersion { kind, version });
            let mine = self.documents.get(&kind).map_or(version, |(version, _)| *version);
            if is_newer {
                received.adopted.documents.push(kind);
            } else if mine > version {
                received.newer_here.documents.push(kind);
            }
            if is_newer || is_direct {
                received.ack.documents.push(DocumentVersion { kind, version: mine });
            }
        }
        for (id, merged) in self.merge_all(now, from, update.workers, out) {
            if merged.is_update() || is_direct {
                received.ack.workers.extend(self.worker_version(&id));
            }
            match merged {
                Merge::Combined => received.combined.push(id),
                Merge::Adopted => received.adopted.workers.push(id),
                Merge::NewerHere => received.newer_here.workers.push(id),
                Merge::Unchanged => {}
            }
        }
        received
    }

    /// Forwards an update to some others, where there are more peers than its publisher sends it to.
    pub(super) fn forward(
        &mut self,
        now: Time,
        from: SocketAddr,
        publisher: Option<SocketAddr>,
        hops: u8,
        subjects: &Subjects,
        out: &mut dyn Outgoing,
    ) {
        if hops == 0 || self.peers.len() <= MAX_DIRECT_PEERS || subjects.is_empty() {
            return;
        }
        let others: Vec<_> =
            self.peers.iter().copied().filter(|peer| *peer != from && Some(*peer) != publisher).collect();
        let some: Vec<_> = others.choose_multiple(&mut self.rng, FANOUT).copied().collect();
        let publisher = publisher.map_or(Publisher::Nobody, |publisher| Publisher::Other(publisher.into()));
        self.send_update(now, &some, hops.min(MAX_HOPS) - 1, publisher, subjects, out);
    }
}

impl PendingUpdate {
    /// The peers to retransmit to, of those that lack the update: at first, all that it was sent to directly; and some others.
    fn retransmit_to(&self, missing: Vec<SocketAddr>, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let is_first = self.retransmits == 0;
        let was_sent = |peer: &SocketAddr| is_first && self.sent_to.contains(peer);
        let (mut peers, others): (Vec<_>, Vec<_>) = missing.into_iter().partition(was_sent);
        let count = if is_first { FIRST_RETRANSMIT_PEERS } else { RETRANSMIT_PEERS };
        peers.extend(others.choose_multiple(rng, count));
        peers
    }

    fn schedule_retransmit(&mut self, now: Time) {
        self.retransmits += 1;
        self.retransmit_at = if self.retransmits < MAX_RETRANSMITS {
            now + (MIN_RETRANSMIT_DELAY << self.retransmits).min(MAX_RETRANSMIT_DELAY)
        } else {
            Time::MAX
        };
    }
}
