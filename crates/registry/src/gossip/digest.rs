//! Anti-entropy: digests of two copies are compared, and each side sends what the other lacks.
//!
//! A digest holds the versions of all documents, and a hash over the versions of all workers in each of [`BUCKETS`] buckets. A
//! process whose digest differs answers with a difference: the documents that are newer here and all workers of the differing
//! buckets. The other merges that and returns what was missing in it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rainlug::Time;
use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

use super::entry::{Entry, EntryVersion, bucket, hash};
use super::merge::Merge;
use super::pending::Subject;
use super::{Gossip, Outgoing, Subjects, send};
use crate::wire::{
    Ack, BUCKETS, Difference, Digest, Document, DocumentVersion, Message, WorkerEntry, decode_phase,
};

/// Updates that a difference brought are forwarded if there are no more than this, this many times.
const MAX_FORWARDED: usize = 32;
const FORWARD_HOPS: u8 = 2;

impl Gossip {
    /// Draws when the next digest is sent.
    pub(super) fn schedule_digest(&mut self, now: Time) {
        self.next_digest = now + self.digest_interval * self.rng.random_range(800..=1_200) / 1_000;
    }

    pub(super) fn send_digest(&self, now: Time, to: &[SocketAddr], out: &mut dyn Outgoing) {
        if !to.is_empty() {
            let digest = Digest {
                wants_ack: 0,
                documents: self.document_versions(),
                buckets: self.bucket_hashes(now),
            };
            send(to, &Message::Digest(digest), out);
        }
    }

    pub(super) fn document_to_wire(&self, kind: u8) -> Option<Document> {
        let (version, content) = self.documents.get(&kind)?;
        Some(Document { kind, version: *version, content: content.clone() })
    }

    pub(super) fn document_versions(&self) -> Vec<DocumentVersion> {
        let versions = self.documents.iter();
        versions.map(|(kind, (version, _))| DocumentVersion { kind: *kind, version: *version }).collect()
    }

    /// The documents that are newer here than the other side's versions.
    fn documents_newer_than(&self, theirs: &[DocumentVersion]) -> Vec<Document> {
        let is_newer =
            |kind: u8, version: u64| theirs.iter().filter(|t| t.kind == kind).all(|t| t.version < version);
        let newer = self.documents.iter().filter(|(kind, (version, _))| is_newer(**kind, *version));
        newer.filter_map(|(kind, _)| self.document_to_wire(*kind)).collect()
    }

    /// Whether the other side has a document that is missing or older here.
    fn lacks_any(&self, theirs: &[DocumentVersion]) -> bool {
        theirs.iter().any(|theirs| {
            self.documents.get(&theirs.kind).is_none_or(|(version, _)| *version < theirs.version)
        })
    }

    fn bucket_hashes(&self, now: Time) -> [u64; BUCKETS] {
        let mut hashers: [Xxh3; BUCKETS] = std::array::from_fn(|_| Xxh3::new());
        for (id, entry) in self.workers.iter().filter(|(_, entry)| entry.is_shared(now)) {
            if let Some(hasher) = hashers.get_mut(bucket(hash(id))) {
                hasher.update(id.as_bytes());
                hasher.update(&[0xff, entry.worker.phase as u8]);
                hasher.update(&entry.published_seq.to_le_bytes());
            }
        }
        hashers.map(|hasher| hasher.digest())
    }

    /// The buckets, as bits, in which the workers here differ from the digest's.
    fn differing_buckets(&self, now: Time, digest: &Digest) -> u16 {
        let mut differing = 0;
        for (n, (mine, theirs)) in self.bucket_hashes(now).iter().zip(&digest.buckets).enumerate() {
            differing |= u16::from(mine != theirs) << n;
        }
        differing
    }

    pub(super) fn receive_digest(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest: &Digest,
        out: &mut dyn Outgoing,
    ) {
        for document in &digest.documents {
            self.record_document_version(from, *document);
        }
        let mut differing = 0;
        if digest.buckets != [0; BUCKETS] {
            differing = self.differing_buckets(now, digest);
            self.record_equal_buckets(from, differing);
        }
        let documents = self.documents_newer_than(&digest.documents);
        let wants_reply = differing != 0 || self.lacks_any(&digest.documents);
        if wants_reply || !documents.is_empty() {
            let difference = Difference {
                wants_reply: u8::from(wants_reply),
                buckets: differing,
                versions: self.document_versions(),
                documents,
                workers: self.shared_in(now, differing).map(|entry| entry.to_wire(now)).collect(),
            };
            send(&[from], &Message::Difference(difference), out);
        } else if digest.wants_ack != 0 {
            let ack = Ack { documents: self.document_versions(), workers: Vec::new() };
            send(&[from], &Message::Ack(ack), out);
        }
    }

    /// A peer has all pending updates of workers in buckets that do not differ.
    fn record_equal_buckets(&mut self, from: SocketAddr, differing: u16) {
        let equal = self.pending.iter().filter_map(|(subject, update)| match subject {
            Subject::Worker(id) if !update.is_complete && differing >> bucket(*id) & 1 == 0 => {
                Some((*id, update.version))
            }
            _ => None,
        });
        let equal: Vec<_> = equal.collect();
        for (id, version) in equal {
            self.record_worker_version(from, id, version);
        }
    }

    /// The entries in some buckets, given as bits, that are sent to peers.
    fn shared_in(&self, now: Time, buckets: u16) -> impl Iterator<Item = &Entry> {
        let is_within = move |id: &str| buckets >> bucket(hash(id)) & 1 == 1;
        let shared = self.workers.iter().filter(move |(id, entry)| is_within(id) && entry.is_shared(now));
        shared.map(|(_, entry)| entry)
    }

    pub(super) fn receive_difference(
        &mut self,
        now: Time,
        from: SocketAddr,
        difference: Difference,
        out: &mut dyn Outgoing,
    ) {
        let Difference { wants_reply, buckets, versions, documents, workers } = difference;
        let (mut adopted, mut combined) = (Subjects::default(), Vec::new());
        for document in documents {
            let (kind, version) = (document.kind, document.version);
            if self.adopt_document(kind, version, &document.content, out) {
                adopted.documents.push(kind);
            }
            self.record_document_version(from, DocumentVersion { kind, version });
        }
        for version in &versions {
            self.record_document_version(from, *version);
        }
        let theirs = versions_by_id(&workers);
        for (id, merged) in self.merge_all(now, from, workers, out) {
            match merged {
                Merge::Combined => combined.push(id),
                Merge::Adopted => adopted.workers.push(id),
                Merge::NewerHere | Merge::Unchanged => {}
            }
        }
        if wants_reply != 0 {
            let is_lacking = |entry: &&Entry| {
                theirs.get(&entry.worker.id).is_none_or(|version| *version < entry.published_version())
            };
            let lacking = self.shared_in(now, buckets).filter(is_lacking);
            let workers: Vec<_> = lacking.map(|entry| entry.to_wire(now)).collect();
            let documents = self.documents_newer_than(&versions);
            if !(workers.is_empty() && documents.is_empty()) {
                let versions = self.document_versions();
                let reply = Difference { wants_reply: 0, buckets: 0, versions, documents, workers };
                send(&[from], &Message::Difference(reply), out);
            }
        }
        if adopted.documents.len() + adopted.workers.len() <= MAX_FORWARDED {
            self.forward(now, from, None, FORWARD_HOPS, &adopted, out);
        }
        if !combined.is_empty() {
            self.publish(now, Subjects::workers(combined), out);
        }
    }
}

/// The versions of received entries, without those that cannot be decoded.
fn versions_by_id(workers: &[WorkerEntry]) -> BTreeMap<String, EntryVersion> {
    let versions = workers.iter().filter_map(|entry| {
        let phase = decode_phase(entry.phase)?;
        Some((entry.id.clone(), EntryVersion::new(entry.published_seq, phase)))
    });
    versions.collect()
}
