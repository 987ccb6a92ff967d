//! The log as it changes: entries that a leader appends, and those that a follower takes from it (Raft 3.5).

use bytes::Bytes;

use super::Replica;
use crate::entry::{Entry, EntryKind, LogPosition, ReplicaSetChange};
use crate::message::{AppendAccepted, AppendEntries, AppendRejected, Body};
use crate::{Index, Member, wire};

/// The change of the replica set that an entry is, if it is one. Bytes that are none were rejected where the entry was decoded.
fn replica_set_change(entry: &Entry) -> Option<ReplicaSetChange> {
    let is_change = entry.kind == EntryKind::ReplicaSet;
    is_change.then(|| wire::decode_replica_set(&entry.data).ok()).flatten()
}

impl Replica {
    /// Appends an entry of this term; its index.
    pub(super) fn append(&mut self, kind: EntryKind, data: Bytes) -> Index {
        self.push_entry(Entry { term: self.term, kind, data })
    }

    fn push_entry(&mut self, entry: Entry) -> Index {
        let index = self.log.last_index() + 1;
        let change = replica_set_change(&entry);
        let entry = self.persist_entry(index, entry);
        self.log.push(entry, change);
        index
    }

    /// Appends an entry that the disk holds already.
    pub(super) fn push_recovered(&mut self, entry: Entry) {
        let change = replica_set_change(&entry);
        self.log.push(entry, change);
    }

    fn truncate(&mut self, last_index: Index) {
        self.log.truncate(last_index);
        self.persistence.truncate(last_index);
    }

    /// Takes a leader's entries, where the entry before them is here too.
    pub(super) fn handle_append_entries(&mut self, leader: &Member, append: AppendEntries) {
        let AppendEntries { read_round, prev, commit_index, entries } = append;
        // What is committed is the same everywhere.
        if prev.index > self.commit_index && self.log.term_at(prev.index) != Some(prev.term) {
            self.reject_append(leader, read_round, prev);
            return;
        }
        let has_entries = !entries.is_empty();
        let last_index = prev.index + entries.len() as u64;
        for (index, entry) in (prev.index + 1..).zip(entries) {
            if index <= self.commit_index || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last_index() {
                self.truncate(index - 1);
            }
            self.push_entry(entry);
        }
        self.commit_to(commit_index.min(last_index));
        let last_index = last_index.max(self.commit_index);
        let persisted_index = self.persistence.persisted_index();
        if has_entries && persisted_index < last_index {
            self.send_after_writes(leader, &self.append_accepted(read_round, last_index));
        } else {
            let matched_index = last_index.min(persisted_index);
            self.send_after_hard_state(leader, &self.append_accepted(read_round, matched_index));
        }
    }

    fn reject_append(&mut self, leader: &Member, read_round: u64, prev: LogPosition) {
        let index = self.log.newest_common_index(prev).max(self.commit_index);
        let hint = LogPosition { term: self.log.term_at(index).unwrap_or_default(), index };
        let rejected = AppendRejected { read_round, prev_index: prev.index, hint };
        self.send_after_hard_state(leader, &Body::AppendRejected(rejected));
    }

    /// The answer that all up to `matched_index` is as in the leader's log.
    pub(super) fn append_accepted(&self, read_round: u64, matched_index: Index) -> Body {
        let is_replica_set_committed =
            self.is_replica_set_committed() && self.persistence.is_membership_persisted();
        Body::AppendAccepted(AppendAccepted { read_round, matched_index, is_replica_set_committed })
    }
}
