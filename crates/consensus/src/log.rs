//! A replica's log in memory: entries behind a base, and the groups that they name.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;

use crate::state::SnapshotSource;
use crate::wire::read_group;
use crate::{Index, Member, Term};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    Noop = 0,
    Command = 1,
    ReplicaSet = 2,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: Term,
    pub kind: EntryKind,
    pub data: Bytes,
}

impl Entry {
    /// With what it takes beside its content, in bytes.
    pub fn weight(&self) -> usize {
        self.data.len() + 32
    }
}

/// A change of the group, or the group as of a snapshot.
#[derive(Clone, Debug)]
pub struct Group {
    pub index: Index,
    pub before: Vec<Member>,
    pub after: Vec<Member>,
}

#[derive(Clone)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub group: Vec<Member>,
    /// While it is needed in memory: while it is sent.
    pub state: Option<Source>,
}

/// A state to be sent.
#[derive(Clone)]
pub struct Source {
    /// No two states that a replica sends in one life have the same: pieces of one are never taken for another's.
    pub number: u64,
    pub state: Arc<dyn SnapshotSource>,
}

/// An entry in memory.
#[derive(Clone)]
struct Kept {
    entry: Entry,
    /// Weight of all entries that the log has had, up to this one: so no weight is ever summed up anew.
    weight_to: usize,
}

#[derive(Clone)]
pub struct Log {
    /// Index and term of the entry before the first in memory.
    base: (Index, Term),
    /// Weight of all entries up to there.
    base_weight: usize,
    entries: VecDeque<Kept>,
    /// The newest is `group`; these are older ones that may come back, by index.
    older: Vec<Group>,
    group: Group,
}

impl Log {
    pub fn new(index: Index, term: Term, group: Vec<Member>) -> Self {
        let group = Group { index, before: vec![], after: group };
        Self { base: (index, term), base_weight: 0, entries: VecDeque::new(), older: vec![], group }
    }
    /// Bytes that its entries take in memory.
    pub fn weight(&self) -> usize {
        self.weight_to(self.last()) - self.base_weight
    }
    /// Weight of the entries behind this one.
    pub fn weight_after(&self, index: Index) -> usize {
        self.weight_to(self.last()) - self.weight_to(index.min(self.last()))
    }
    /// Weight of all entries up to this one, also those that are not in memory any more.
    fn weight_to(&self, index: Index) -> usize {
        self.kept(index).map_or(self.base_weight, |kept| kept.weight_to)
    }
    fn kept(&self, index: Index) -> Option<&Kept> {
        let place = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }
    pub fn base(&self) -> Index {
        self.base.0
    }
    pub fn last(&self) -> Index {
        self.base.0 + self.entries.len() as u64
    }
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |kept| kept.entry.term)
    }
    pub fn group(&self) -> &Group {
        &self.group
    }
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.kept(index).map(|kept| &kept.entry)
    }
    /// None where it is not in memory.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.0 { Some(self.base.1) } else { self.get(index).map(|entry| entry.term) }
    }
    /// The newest index up to `index` of a term no newer than `term`; the base where none in memory is.
    pub fn common(&self, index: Index, term: Term) -> Index {
        let mut at = index.min(self.last());
        while at > self.base.0 && self.term(at).is_some_and(|own| own > term) {
            at -= 1;
        }
        at
    }
    pub fn push(&mut self, entry: Entry) {
        if entry.kind == EntryKind::ReplicaSet
            && let Ok((before, after)) = read_group(&entry.data)
        {
            let group = Group { index: self.last() + 1, before, after };
            self.older.push(std::mem::replace(&mut self.group, group));
        }
        let weight_to = self.weight_to(self.last()) + entry.weight();
        self.entries.push_back(Kept { entry, weight_to });
    }
    /// Drops what is behind `index`.
    pub fn truncate(&mut self, index: Index) {
        let kept = usize::try_from(index.saturating_sub(self.base.0)).unwrap_or(usize::MAX);
        self.entries.truncate(kept);
        while self.group.index > index
            && let Some(group) = self.older.pop()
        {
            self.group = group;
        }
    }
    /// The group as of a committed index.
    pub fn group_at(&self, index: Index) -> &Group {
        if self.group.index <= index {
            return &self.group;
        }
        self.older.iter().rev().find(|group| group.index <= index).unwrap_or(&self.group)
    }
    /// Drops entries up to `index` but a tail of this weight; `index` is committed.
    pub fn compact(&mut self, index: Index, tail: usize) {
        if index <= self.base.0 {
            return;
        }
        let most = self.weight_to(index);
        while self.base.0 < index
            && most - self.base_weight > tail
            && let Some(Kept { entry, weight_to }) = self.entries.pop_front()
        {
            self.base = (self.base.0 + 1, entry.term);
            self.base_weight = weight_to;
        }
        let current = self.group_at(index).index;
        self.older.retain(|group| group.index >= current);
    }
}
