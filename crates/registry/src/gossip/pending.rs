//! Updates that were published here: which peers have them, by acknowledgements, digests and what they send themselves.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rainlug::Time;

use super::Gossip;
use super::entry::{EntryVersion, hash};
use crate::wire::{Ack, DocumentVersion, WorkerVersion, decode_phase};

/// What an update is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    /// A document of a kind.
    Document(u8),
    /// The worker with this hash of its id.
    Worker(u64),
}

impl Subject {
    pub(super) fn worker(id: &str) -> Self {
        Subject::Worker(hash(id))
    }
}

/// An update that was published here and may not have reached all peers yet.
#[derive(Debug)]
pub(super) struct PendingUpdate {
    /// The id of a worker; empty for a document.
    pub(super) id: String,
    /// The version of a worker that was published.
    pub(super) version: EntryVersion,
    /// Peers that are known to have a worker's version. Those that have a document are found by their versions.
    pub(super) acknowledged_by: BTreeSet<SocketAddr>,
    /// Peers that it was sent to first.
    pub(super) sent_to: Vec<SocketAddr>,
    /// How often it was retransmitted.
    pub(super) retransmits: u8,
    pub(super) retransmit_at: Time,
    /// When it is no longer tracked.
    pub(super) expires_at: Time,
    /// All peers have it.
    pub(super) is_complete: bool,
}

impl PendingUpdate {
    /// Records that all peers have it.
    pub(super) fn complete(&mut self) {
        self.is_complete = true;
        self.retransmit_at = Time::MAX;
        self.acknowledged_by.clear();
    }
}

impl Gossip {
    /// Records that a peer has a version of a document.
    pub(super) fn record_document_version(&mut self, from: SocketAddr, document: DocumentVersion) {
        if self.is_peer(&from) && self.documents.contains_key(&document.kind) {
            let known = self.peer_versions.entry((document.kind, from)).or_default();
            *known = document.version.max(*known);
        }
    }

    /// Records that a peer has a version of the worker whose id has this hash.
    pub(super) fn record_worker_version(&mut self, from: SocketAddr, id_hash: u64, version: EntryVersion) {
        if let Some(update) = self.pending.get_mut(&Subject::Worker(id_hash))
            && !update.is_complete
            && version >= update.version
            && self.peers.binary_search(&from).is_ok()
        {
            update.acknowledged_by.insert(from);
            if update.acknowledged_by.len() == self.peers.len() {
                update.complete();
            }
        }
    }

    /// The version of a worker here, as it is acknowledged.
    pub(super) fn worker_version(&self, id: &str) -> Option<WorkerVersion> {
        let entry = self.workers.get(id)?;
        Some(WorkerVersion {
            id_hash: hash(id),
            published_seq: entry.published_seq,
            phase: entry.worker.phase as u8,
        })
    }

    pub(super) fn receive_ack(&mut self, from: SocketAddr, ack: &Ack) {
        for document in &ack.documents {
            self.record_document_version(from, *document);
        }
        for worker in &ack.workers {
            match decode_phase(worker.phase) {
                Some(phase) => {
                    let version = EntryVersion::new(worker.published_seq, phase);
                    self.record_worker_version(from, worker.id_hash, version);
                }
                None => self.malformed += 1,
            }
        }
    }
}
