//! Entries: appended, saved, committed, and replaced by those of a newer leader.

use super::{Replica, Role};
use crate::log::{Entry, EntryKind, Snapshot};
use crate::records::{ChunkRecords, Records};
use crate::wire::{self, Body};
use crate::{Index, Member, Rewrite, Term};
use bytes::Bytes;

impl Replica {
    pub(super) fn save(&mut self, record: Bytes) -> u64 {
        if !std::mem::replace(&mut self.founded, true) && !self.snapshot.group.is_empty() {
            self.ticket += 1;
            let founding = wire::snapshot_record(0, 0, &self.snapshot.group, 0);
            self.output.records.push((self.ticket, founding));
        }
        self.ticket += 1;
        self.output.records.push((self.ticket, record));
        self.ticket
    }
    pub(super) fn push(&mut self, entry: Entry) -> Index {
        let index = self.log.last() + 1;
        let record = wire::entry_record(index, &entry);
        // Its content is in memory once: as the end of its record.
        let data = record.slice(wire::ENTRY_RECORD_HEAD..);
        self.log.push(Entry { data, ..entry });
        let ticket = self.save(record);
        self.unsaved.push_back((ticket, index));
        index
    }
    pub(super) fn append(&mut self, kind: EntryKind, data: Bytes) -> Index {
        self.push(Entry { term: self.term, kind, data })
    }
    pub(super) fn truncate(&mut self, index: Index) {
        self.log.truncate(index);
        self.stable = self.stable.min(index);
        for (_, last) in &mut self.unsaved {
            *last = (*last).min(index);
        }
    }
    /// All records anew: the snapshot with these pieces, and what follows it.
    pub(super) fn rewrite(&mut self, chunks: ChunkRecords, is_implied: bool) {
        let Snapshot { index, term, ref group, .. } = *self.snapshot;
        let settled = (self.settled > index).then(|| wire::settled_record(self.settled));
        let floor = (self.vote_floor > (0, 0)).then_some(self.vote_floor);
        let records = Records {
            snapshot: wire::snapshot_record(index, term, group, chunks.count()),
            chunks,
            hard_state: wire::hard_state_record(self.term, self.voted),
            first: index + 1,
            entries: (index + 1..=self.log.last()).filter_map(|at| self.log.get(at).cloned()).collect(),
            settled,
            vote_floor: floor.map(|(term, index)| wire::vote_floor_record(term, index)),
        };
        self.founded = true;
        self.ticket += 1;
        self.output.records.clear();
        self.output.rewrite = Some(Rewrite { ticket: self.ticket, records, is_implied });
        self.unsaved.push_back((self.ticket, self.log.last()));
    }
    /// A group entry is known to be committed.
    pub(super) fn settle(&mut self, index: Index) {
        if self.settled < index {
            self.settled = index;
            self.settled_ticket = self.save(wire::settled_record(index));
        }
    }

    /// Whether the newest group is known to be committed, on the disk too.
    pub(super) fn has_saved_settled(&self) -> bool {
        self.is_replica_set_committed() && self.settled_ticket <= self.saved
    }
    pub(super) fn appended(&self, round: u64, matched: Index) -> Body {
        Body::Appended { round, matched, settled: u8::from(self.has_saved_settled()) }
    }

    pub(super) fn advance(&mut self) {
        while self.role == Role::Leader {
            let commit = self.saved_by_enough();
            if commit <= self.commit || self.log.term(commit) != Some(self.term) {
                break;
            }
            self.commit_to(commit);
        }
    }
    pub(super) fn commit_to(&mut self, commit: Index) {
        self.commit = self.commit.max(commit.min(self.log.last()));
        let group = self.log.group().index;
        if group <= self.settled || group > self.commit || group <= self.snapshot.index {
            return;
        }
        self.settle(group);
        if self.role != Role::Leader {
            return;
        }
        // Who leaves learns of it now or never.
        self.broadcast_pending = true;
        self.flush();
        let members = &self.log.group().after;
        self.progress.retain(|id, _| members.iter().any(|member| member.id == *id));
        if members.iter().all(|member| member.id != self.me.id) {
            self.step_down();
        }
    }

    pub(super) fn append_requested(
        &mut self,
        from: &Member,
        round: u64,
        prev: (Index, Term),
        commit: Index,
        entries: Vec<Entry>,
    ) {
        let (prev_index, prev_term) = prev;
        // What is committed is the same everywhere.
        if prev_index > self.commit && self.log.term(prev_index) != Some(prev_term) {
            let hint_index = self.log.common(prev_index, prev_term).max(self.commit);
            let hint_term = self.log.term(hint_index).unwrap_or_default();
            let body = Body::Rejected { round, prev_index, hint_index, hint_term };
            self.hold(self.hard_ticket, from, body);
            return;
        }
        let bulky = !entries.is_empty();
        let last = prev_index + entries.len() as u64;
        for (index, entry) in (prev_index + 1..).zip(entries) {
            if index <= self.commit || self.log.term(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last() {
                self.truncate(index - 1);
            }
            self.push(entry);
        }
        self.commit_to(commit.min(last));
        let last = last.max(self.commit);
        if bulky && self.stable < last {
            self.hold(self.ticket, from, self.appended(round, last));
        } else {
            self.hold(self.hard_ticket, from, self.appended(round, last.min(self.stable)));
        }
    }
}
