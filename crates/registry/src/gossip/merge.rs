//! Merging received entries and documents into this copy, and expiring entries.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;

use super::entry::{Entry, EntryVersion, Retention, hash};
use super::{Gossip, Outgoing};
use crate::wire::WorkerEntry;
use crate::{Phase, Worker};

/// What came of merging an entry into this copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merge {
    /// Nothing that is to be published has changed here.
    Unchanged,
    /// This copy has a newer version than the sender.
    NewerHere,
    /// The received version is now the one here.
    Adopted,
    /// The result is newer than both: neither process has published it as it is.
    Combined,
}

impl Merge {
    /// Whether the version here is now greater.
    pub(super) fn is_update(self) -> bool {
        matches!(self, Merge::Adopted | Merge::Combined)
    }
}

impl Gossip {
    /// Delists entries whose time is over, and forgets those that are no longer remembered.
    pub(super) fn expire_entries(&mut self, now: Time, out: &mut dyn Outgoing) {
        let mut next = Time::MAX;
        self.workers.retain(|_, entry| {
            let Some(retention) = Retention::of(entry.worker.phase) else { return true };
            if now - entry.since >= retention.remembered {
                return false;
            }
            if !entry.is_delisted && now - entry.since >= retention.listed {
                entry.is_delisted = true;
                out.worker_changed(&Worker { phase: Phase::Gone, ..entry.worker.clone() });
            }
            next = next.min(entry.expiry(retention));
            true
        });
        self.next_expiry = next;
    }

    /// Merges an entry, which another process sent if `is_remote`, or a worker reported here.
    pub(super) fn merge(
        &mut self,
        now: Time,
        mut theirs: Entry,
        is_remote: bool,
        out: &mut dyn Outgoing,
    ) -> Merge {
        let Some(mine) = self.workers.get_mut(&theirs.worker.id) else {
            if !theirs.is_shared(now) {
                return Merge::Unchanged;
            }
            self.store(now, theirs, out);
            return Merge::Adopted;
        };
        if theirs.worker.is_tombstone() {
            theirs.fill_from(&mine.worker);
        }
        let is_ahead = theirs.published_version() > mine.published_version();
        let mut merged = Merge::Unchanged;
        if mine.is_unchanged_by(&theirs.worker) {
            if is_remote && is_ahead {
                mine.published_seq = theirs.published_seq;
                mine.since = theirs.since;
                merged = Merge::Adopted;
            }
            if theirs.worker.call_seq > mine.worker.call_seq {
                mine.worker.call_seq = theirs.worker.call_seq;
                mine.worker.warm_up_left_ms = theirs.worker.warm_up_left_ms;
                mine.warm_until = theirs.warm_until;
            }
        } else if theirs.call_version() > mine.call_version() {
            let published_seq = if is_ahead { theirs.published_seq } else { theirs.worker.call_seq };
            let is_as_received = published_seq == theirs.published_seq;
            self.store(now, Entry { published_seq, ..theirs }, out);
            return if is_as_received { Merge::Adopted } else { Merge::Combined };
        } else if is_remote && is_ahead {
            // They have a version that is newer than the last change here, but lack what the worker has reported here since.
            mine.published_seq = mine.worker.call_seq;
            merged = Merge::Combined;
        }
        if merged == Merge::Unchanged && mine.published_version() > theirs.published_version() {
            merged = Merge::NewerHere;
        }
        merged
    }

    /// Merges entries that a process has sent; what came of each, by the worker's id.
    pub(super) fn merge_all(
        &mut self,
        now: Time,
        from: SocketAddr,
        received: Vec<WorkerEntry>,
        out: &mut dyn Outgoing,
    ) -> Vec<(String, Merge)> {
        let mut all = Vec::new();
        for entry in received {
            let (published_seq, age_ms) = (entry.published_seq, entry.age_ms);
            let Some(mut worker) = entry.into_worker() else {
                self.malformed += 1;
                continue;
            };
            worker.call_seq = worker.call_seq.max(published_seq);
            self.record_worker_version(
                from,
                hash(&worker.id),
                EntryVersion::new(published_seq, worker.phase),
            );
            let id = worker.id.clone();
            let merged = self.merge(now, Entry::new(now, worker, published_seq, age_ms), true, out);
            all.push((id, merged));
        }
        all
    }

    /// Puts an entry in the place of what was known of its worker.
    fn store(&mut self, now: Time, mut entry: Entry, out: &mut dyn Outgoing) {
        if let Some(retention) = Retention::of(entry.worker.phase) {
            entry.is_delisted = now - entry.since >= retention.listed;
            self.next_expiry = self.next_expiry.min(entry.expiry(retention));
        }
        if entry.is_delisted {
            out.worker_changed(&Worker { phase: Phase::Gone, ..entry.worker.clone() });
        } else {
            out.worker_changed(&entry.worker);
        }
        self.workers.insert(entry.worker.id.clone(), entry);
    }

    /// Takes over a document if it is newer than the one here; whether it is.
    pub(super) fn adopt_document(
        &mut self,
        kind: u8,
        version: u64,
        content: &Bytes,
        out: &mut dyn Outgoing,
    ) -> bool {
        let is_newer = self.documents.get(&kind).is_none_or(|(mine, _)| *mine < version);
        if is_newer {
            self.documents.insert(kind, (version, content.clone()));
            out.document_changed(kind, version, content);
        }
        is_newer
    }
}

impl Entry {
    /// When the entry is next to be delisted or forgotten.
    fn expiry(&self, retention: Retention) -> Time {
        self.since + if self.is_delisted { retention.remembered } else { retention.listed }
    }
}
