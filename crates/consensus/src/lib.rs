//! Agreement of a small group on a sequence of commands, by ballots: one replica of one part of the tier's state. Raft (Ongaro
//! and Ousterhout 2014) with pre-votes, a leader that steps down when it hears no quorum, reads confirmed by a round, snapshots,
//! and changes of the group in one entry that needs majorities of the old and the new group. A member is a disk: who comes back
//! without it has a new id, and votes only once the group has taken that id in.
//! No I/O: time, chance, messages and what the disk has saved are handed in; messages, records and commands are handed out.

mod log;
mod quorum;
mod records;
mod replica;
mod state;
mod wire;

use std::net::SocketAddr;

use bytes::Bytes;
use quick_error::quick_error;
pub use quorum::Quorums;
pub use rainlug::Time;
pub use records::Records;
pub use replica::{MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, Replica};
pub use state::{InMemoryState, RestoreStep, SnapshotSource};

/// A disk's identity, drawn when it is first used.
pub type MemberId = u64;
pub type Term = u64;
pub type Index = u64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    pub id: MemberId,
    pub name: String,
    pub zone: String,
    /// Where its process hears its peers.
    pub address: SocketAddr,
}

/// Figures of a group. Times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Between two signs of life of a leader.
    pub heartbeat_interval: Time,
    /// The least time without one after which a member stands; up to twice that, drawn.
    pub election_timeout: Time,
    /// Disks on which an entry must be, beside a majority, to be committed.
    pub min_replicas: usize,
    /// Bytes of entries in one message, at most.
    pub max_message_bytes: usize,
    /// Bytes of entries on the disk since the last snapshot after which the next one is asked for.
    pub compaction_threshold_bytes: usize,
    /// Bytes of entries that a leader keeps in memory for a follower that lacks them.
    pub max_lag_bytes: usize,
}

quick_error! {
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposeError {
        /// Not the leader; who is, where known.
        NotLeader(leader: Option<Member>) { display("not the leader") }
        /// A change of the group is under way, or this leader has committed nothing yet.
        ChangeInProgress { display("a change of the group is under way") }
    }
}

/// How far a member is behind its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationLag {
    pub member: MemberId,
    /// Entries of the leader's log that it is not known to have on its disk.
    pub entries: u64,
}

quick_error! {
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        Malformed(what: &'static str) { display("malformed: {}", what) }
    }
}

/// Records that replace all earlier ones of a replica.
#[derive(Clone, Debug)]
pub struct Rewrite {
    /// Once they are on the disk: `persisted(ticket)`.
    pub ticket: u64,
    pub records: Records,
    /// They follow from what the disk holds already: the rewrite may be left undone, and the ticket is saved with those before it.
    pub is_implied: bool,
}

/// What a replica wants done. Taken with [`Replica::take_ready`].
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// To other members: to be delivered whole and in order, or not at all.
    pub messages: Vec<(Member, Bytes)>,
    /// Records to be appended to the disk and synced, in order; then `persisted(ticket)`. Later tickets cover earlier ones.
    pub records: Vec<(u64, Bytes)>,
    /// Records to replace all earlier ones of this replica; then `persisted(ticket)`. `save` in the same output comes after it.
    pub rewrite: Option<Rewrite>,
    /// Steps of replacing the whole state of the state machine, in order. The state in force goes on until the last of them, and
    /// `committed` in an earlier output is for it.
    pub restore: Vec<RestoreStep>,
    /// Committed commands in order, each once; they come after what is to be restored.
    pub committed: Vec<(Index, Bytes)>,
    /// Reads that may be answered from the state machine now (all committed before they were asked is in it), or not.
    pub reads: Vec<(u64, Result<(), ProposeError>)>,
    /// Something about who leads, or who is a member, has changed.
    pub has_status_changed: bool,
    /// The state machine should call `snapshot`; or `postpone_snapshot`, unless a member needs it. Not before all that was taken
    /// is applied, and nothing is left to be handed out.
    pub needs_compaction: bool,
    /// A member needs the snapshot that is asked for.
    pub needs_snapshot: bool,
}
