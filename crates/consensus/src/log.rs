//! A replica's log in memory: the entries after a base, and the replica sets that they name.
//!
//! The base is the newest entry that is not in memory any more; the disk or a snapshot has what precedes.

use std::collections::VecDeque;

use crate::entry::{Entry, LogPosition, ReplicaSet, ReplicaSetChange};
use crate::{Index, Member, Term};

/// An entry in memory.
#[derive(Clone)]
struct LogEntry {
    entry: Entry,
    /// Bytes of all entries that the log has had, up to this one: so that no sum is ever taken over the entries.
    total_bytes: usize,
}

/// The entries in memory, and the replica sets that they name.
#[derive(Clone)]
pub(crate) struct Log {
    /// The entry before the first in memory.
    base: LogPosition,
    /// Bytes of all entries up to there.
    base_bytes: usize,
    entries: VecDeque<LogEntry>,
    /// Replica sets before the newest, by index: a truncation may bring them back.
    earlier_replica_sets: Vec<ReplicaSet>,
    replica_set: ReplicaSet,
}

impl Log {
    /// A log without entries after `base`, where the replica set is `members`.
    pub(crate) fn new(base: LogPosition, members: Vec<Member>) -> Self {
        let replica_set = ReplicaSet { index: base.index, previous: vec![], members };
        Self { base, base_bytes: 0, entries: VecDeque::new(), earlier_replica_sets: vec![], replica_set }
    }

    /// Bytes that its entries take in memory.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes_up_to(self.last_index()) - self.base_bytes
    }

    /// Bytes that the entries after this index take in memory.
    pub(crate) fn bytes_after(&self, index: Index) -> usize {
        self.bytes_up_to(self.last_index()) - self.bytes_up_to(index.min(self.last_index()))
    }

    /// Bytes of all entries up to this index, also of those that are not in memory any more.
    fn bytes_up_to(&self, index: Index) -> usize {
        self.log_entry(index).map_or(self.base_bytes, |entry| entry.total_bytes)
    }

    fn log_entry(&self, index: Index) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The index of the entry before the first in memory.
    pub(crate) fn base_index(&self) -> Index {
        self.base.index
    }

    /// The index of the last entry.
    pub(crate) fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as u64
    }

    /// Where the log ends.
    pub(crate) fn last(&self) -> LogPosition {
        let term = self.entries.back().map_or(self.base.term, |last| last.entry.term);
        LogPosition { term, index: self.last_index() }
    }

    /// The entry at this index; none where it is not in memory.
    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        self.log_entry(index).map(|entry| &entry.entry)
    }

    /// The term of the entry at this index; none where it is not in memory.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index { Some(self.base.term) } else { self.get(index).map(|entry| entry.term) }
    }

    /// The position of the entry at this index; none where it is not in memory.
    pub(crate) fn position(&self, index: Index) -> Option<LogPosition> {
        self.term_at(index).map(|term| LogPosition { term, index })
    }

    /// Where logs may part at the latest: the newest index up to `hint.index` of a term no newer than `hint.term`; the base where no
    /// entry in memory is.
    pub(crate) fn newest_common_index(&self, hint: LogPosition) -> Index {
        let mut index = hint.index.min(self.last_index());
        while index > self.base.index && self.term_at(index).is_some_and(|term| term > hint.term) {
            index -= 1;
        }
        index
    }

    /// The newest replica set.
    pub(crate) fn replica_set(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// The replica set as of a committed index.
    pub(crate) fn replica_set_at(&self, index: Index) -> &ReplicaSet {
        if self.replica_set.index <= index {
            return &self.replica_set;
        }
        self.earlier_replica_sets.iter().rev().find(|set| set.index <= index).unwrap_or(&self.replica_set)
    }

    /// Appends an entry; `change` is its content where it changes the replica set.
    pub(crate) fn push(&mut self, entry: Entry, change: Option<ReplicaSetChange>) {
        if let Some(ReplicaSetChange { previous, members }) = change {
            let newest = ReplicaSet { index: self.last_index() + 1, previous, members };
            self.earlier_replica_sets.push(std::mem::replace(&mut self.replica_set, newest));
        }
        let total_bytes = self.bytes_up_to(self.last_index()) + entry.memory_bytes();
        self.entries.push_back(LogEntry { entry, total_bytes });
    }

    /// Drops what follows `index`.
    pub(crate) fn truncate(&mut self, index: Index) {
        let kept = usize::try_from(index.saturating_sub(self.base.index)).unwrap_or(usize::MAX);
        self.entries.truncate(kept);
        while self.replica_set.index > index
            && let Some(earlier) = self.earlier_replica_sets.pop()
        {
            self.replica_set = earlier;
        }
    }

    /// Drops entries up to `index`, which is committed, but for a tail of `tail_bytes`.
    pub(crate) fn compact(&mut self, index: Index, tail_bytes: usize) {
        if index <= self.base.index {
            return;
        }
        let bytes = self.bytes_up_to(index);
        while self.base.index < index
            && bytes - self.base_bytes > tail_bytes
            && let Some(LogEntry { entry, total_bytes }) = self.entries.pop_front()
        {
            self.base = LogPosition { term: entry.term, index: self.base.index + 1 };
            self.base_bytes = total_bytes;
        }
        let current = self.replica_set_at(index).index;
        self.earlier_replica_sets.retain(|set| set.index >= current);
    }
}
