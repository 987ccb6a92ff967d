//! What a log is made of: entries, their positions, and the replica sets that some of them name.

use bytes::Bytes;

use crate::{Index, Member, Term};

/// Memory that an entry takes beside its content, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Where an entry stands in a log. The order is that of "up to date" (Raft 3.6.1): by term, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The entry's index.
    pub index: Index,
}

/// What an entry's content is. The numbers are those on the wire and on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// Nothing: a leader's first entry.
    Noop = 0,
    /// A command for the state machine.
    Command = 1,
    /// A change of the replica set.
    ReplicaSet = 2,
}

/// An entry of the log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// What the content is.
    pub kind: EntryKind,
    /// The content.
    pub data: Bytes,
}

impl Entry {
    /// What it takes in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.data.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// The content of an [`EntryKind::ReplicaSet`] entry.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSetChange {
    /// The members that it replaces; empty where it is none of a change.
    pub previous: Vec<Member>,
    /// The members from this entry on.
    pub members: Vec<Member>,
}

/// A replica set that the log names, or that a snapshot does.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    /// The index of its entry, or of the snapshot.
    pub index: Index,
    /// Whom it replaces; empty where it comes from a snapshot.
    pub previous: Vec<Member>,
    /// Its members.
    pub members: Vec<Member>,
}
