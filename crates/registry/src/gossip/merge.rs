//! Tales of workers and texts are merged into what is known here, and entries are dropped when their time is over.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;

use super::entry::{Entry, entry, hash, mark, spans};
use super::{Gossip, Outgoing};
use crate::wire::WorkerEntry;
use crate::{Phase, Worker};

/// What came of merging a tale.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Merged {
    /// The mark here is now greater.
    pub(super) news: bool,
    /// It came out as neither of the two tales was told.
    pub(super) retold: bool,
    /// What stands here is newer than what was told.
    pub(super) older: bool,
}

impl Gossip {
    /// Drops who is to be listed no more, and forgets.
    pub(super) fn sweep(&mut self, now: Time, out: &mut dyn Outgoing) {
        let mut next = Time::MAX;
        self.workers.retain(|_, entry| {
            let Some((listed, whole)) = spans(entry.worker.phase) else { return true };
            if now - entry.since >= whole {
                return false;
            }
            if !entry.is_tombstoned && now - entry.since >= listed {
                entry.is_tombstoned = true;
                out.worker_changed(&Worker { phase: Phase::Gone, ..entry.worker.clone() });
            }
            next = next.min(entry.since + if entry.is_tombstoned { whole } else { listed });
            true
        });
        self.next_sweep = next;
    }

    pub(super) fn merge(
        &mut self,
        now: Time,
        mut theirs: Entry,
        remote: bool,
        out: &mut dyn Outgoing,
    ) -> Merged {
        let mut merged = Merged::default();
        let Some(mine) = self.workers.get_mut(&theirs.worker.id) else {
            if theirs.shown(now) {
                merged.news = true;
                self.keep(now, theirs, out);
            }
            return merged;
        };
        if theirs.worker.is_tombstone() {
            theirs.complete(&mine.worker);
        }
        let ahead = theirs.mark() > mine.mark();
        if mine.alike(&theirs.worker) {
            if remote && ahead {
                mine.published_seq = theirs.published_seq;
                mine.since = theirs.since;
                merged.news = true;
            }
            if theirs.worker.call_seq > mine.worker.call_seq {
                mine.worker.call_seq = theirs.worker.call_seq;
                mine.worker.warm_up_left_ms = theirs.worker.warm_up_left_ms;
                mine.warm_until = theirs.warm_until;
            }
            merged.older = mine.mark() > theirs.mark();
        } else if theirs.evidence() > mine.evidence() {
            let published_seq = if ahead { theirs.published_seq } else { theirs.worker.call_seq };
            merged = Merged { news: true, retold: published_seq != theirs.published_seq, older: false };
            self.keep(now, Entry { published_seq, ..theirs }, out);
        } else {
            if remote && ahead {
                // They have heard a tale that is newer than the last change here, but not what was said here since.
                mine.published_seq = mine.worker.call_seq;
                merged = Merged { news: true, retold: true, ..merged };
            }
            merged.older = mine.mark() > theirs.mark();
        }
        merged
    }

    pub(super) fn merge_all(
        &mut self,
        now: Time,
        from: SocketAddr,
        told: Vec<WorkerEntry>,
        out: &mut dyn Outgoing,
    ) -> Vec<(String, Merged)> {
        let mut all = Vec::new();
        for told in told {
            let (published_seq, age_ms) = (told.published_seq, told.age_ms);
            let Some(mut worker) = told.worker() else {
                self.garbage += 1;
                continue;
            };
            worker.call_seq = worker.call_seq.max(published_seq);
            self.note_worker(from, hash(&worker.id), mark(published_seq, worker.phase));
            let id = worker.id.clone();
            let merged = self.merge(now, entry(now, worker, published_seq, age_ms), true, out);
            all.push((id, merged));
        }
        all
    }

    fn keep(&mut self, now: Time, mut entry: Entry, out: &mut dyn Outgoing) {
        if let Some((listed, whole)) = spans(entry.worker.phase) {
            entry.is_tombstoned = now - entry.since >= listed;
            self.next_sweep =
                self.next_sweep.min(entry.since + if entry.is_tombstoned { whole } else { listed });
        }
        if entry.is_tombstoned {
            out.worker_changed(&Worker { phase: Phase::Gone, ..entry.worker.clone() });
        } else {
            out.worker_changed(&entry.worker);
        }
        self.workers.insert(entry.worker.id.clone(), entry);
    }

    pub(super) fn take_text(&mut self, kind: u8, version: u64, text: &Bytes, out: &mut dyn Outgoing) -> bool {
        let news = self.texts.get(&kind).is_none_or(|(mine, _)| *mine < version);
        if news {
            self.texts.insert(kind, (version, text.clone()));
            out.document_changed(kind, version, text);
        }
        news
    }
}
