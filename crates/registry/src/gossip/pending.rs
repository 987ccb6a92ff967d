//! News that was first told here: who has it, by acknowledgements, digests and what they tell themselves.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rainlug::Time;

use super::Gossip;
use super::entry::{EntryVersion, hash, mark};
use crate::wire::{Ack, DocumentVersion, WorkerVersion, phase};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Document(u8),
    /// Hash of the id.
    Worker(u64),
}

/// News that was first told here.
#[derive(Debug)]
pub(super) struct Pending {
    /// Of a worker: its id, what was told, and who has it.
    pub(super) id: String,
    pub(super) mark: EntryVersion,
    pub(super) have: BTreeSet<SocketAddr>,
    pub(super) direct: Vec<SocketAddr>,
    pub(super) tries: u8,
    pub(super) again: Time,
    pub(super) until: Time,
    pub(super) done: bool,
}

impl Pending {
    /// All have it.
    pub(super) fn settle(&mut self) {
        self.done = true;
        self.again = Time::MAX;
        self.have.clear();
    }
}

impl Gossip {
    /// A peer has a version of a text.
    pub(super) fn note_text(&mut self, from: SocketAddr, text: DocumentVersion) {
        if self.peers.binary_search(&from).is_ok() && self.texts.contains_key(&text.kind) {
            let known = self.versions.entry((text.kind, from)).or_default();
            *known = text.version.max(*known);
        }
    }

    /// A peer has a tale of a worker.
    pub(super) fn note_worker(&mut self, from: SocketAddr, id: u64, mark: EntryVersion) {
        if let Some(news) = self.pending.get_mut(&Subject::Worker(id))
            && !news.done
            && mark >= news.mark
            && self.peers.binary_search(&from).is_ok()
        {
            news.have.insert(from);
            if news.have.len() == self.peers.len() {
                news.settle();
            }
        }
    }

    pub(super) fn worker_mark(&self, id: &str) -> Option<WorkerVersion> {
        let entry = self.workers.get(id)?;
        Some(WorkerVersion {
            id: hash(id),
            published_seq: entry.published_seq,
            phase: entry.worker.phase as u8,
        })
    }

    pub(super) fn heard_ack(&mut self, from: SocketAddr, ack: &Ack) {
        for text in &ack.texts {
            self.note_text(from, *text);
        }
        for worker in &ack.workers {
            match phase(worker.phase) {
                Some(phase) => self.note_worker(from, worker.id, mark(worker.published_seq, phase)),
                None => self.garbage += 1,
            }
        }
    }
}
