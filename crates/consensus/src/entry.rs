//! What a log is made of: entries, their positions, and the replica sets that some of them name.

use bytes::Bytes;

use crate::{Index, Member, Term};

/// Memory that an entry takes beside its content, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Where an entry stands in a log. The order is that of "up to date" (Raft 3.6.1): by term, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    /// The term of the leader that appended the entry.
    pub(crate) term: Term,
    /// The entry's index.
    pub(crate) index: Index,
}

/// What an entry's content is. The numbers are those on the wire and on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryKind {
    /// Nothing: a leader's first entry.
    Noop = 0,
    /// A command for the state machine.
    Command = 1,
    /// A change of the replica set.
    ReplicaSet = 2,
}

/// An entry of the log.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The term of the leader that appended it.
    pub(crate) term: Term,
    /// What the content is.
    pub(crate) kind: EntryKind,
    /// The content.
    pub(crate) data: Bytes,
}

impl Entry {
    /// What it takes in memory, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.data.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// The content of an [`EntryKind::ReplicaSet`] entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaSetChange {
    /// The members that it replaces; empty where it is none of a change.
    pub(crate) previous: Vec<Member>,
    /// The members from this entry on.
    pub(crate) members: Vec<Member>,
}

/// A replica set that the log names, or that a snapshot does.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSet {
    /// The index of its entry, or of the snapshot.
    pub(crate) index: Index,
    /// Whom it replaces; empty where it comes from a snapshot.
    pub(crate) previous: Vec<Member>,
    /// Its members.
    pub(crate) members: Vec<Member>,
}
