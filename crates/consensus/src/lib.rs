//! Raft consensus, without I/O: one replica of one shard of the tier's state.
//!
//! A [`Replica`] is a state machine of its own. Time, randomness, messages of other members and what the disk has synced are passed
//! in; messages, records for the disk and committed commands come out as a [`Ready`]. So the tests run whole replica sets on a virtual
//! clock, and the processes drive it from one thread.
//!
//! It follows Ongaro's thesis (*Consensus: Bridging Theory and Practice*, 2014; "Raft" with a section number in comments), with:
//!
//! - pre-votes (Raft 9.6), and a leader that steps down once it has no contact with a quorum (Raft 6.2);
//! - leadership transfer (Raft 3.10);
//! - reads that a round of heartbeats confirms (read index, Raft 6.4);
//! - snapshots that are sent, written and restored chunk by chunk (Raft 5);
//! - changes of the replica set in one entry, which needs quorums of the old and the new set (after Raft 4.3);
//! - fenced disks, that have no part in breaking the tie of an even replica set ([`Quorums`]);
//! - a minimum of disks that an entry must be on, beside a majority ([`Settings::min_replicas`]).
//!
//! A member is a disk: a process that comes back without its disk is a member with a new id, and votes only once the replica set
//! includes that id.

#![warn(missing_docs)]

mod entry;
mod log;
mod message;
mod progress;
mod quorum;
mod ready;
mod records;
mod replica;
mod snapshot;
mod wire;

use std::net::SocketAddr;

use quick_error::quick_error;
pub use quorum::Quorums;
pub use rainlug::Time;
pub use ready::{Ready, Rewrite};
pub use records::Records;
pub use replica::{MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, Replica};
pub use snapshot::{InMemoryState, RestoreStep, SnapshotSource};

/// A disk's identity, drawn when it is first used.
pub type MemberId = u64;
/// The number of an election; at most one leader has it (Raft 3.3).
pub type Term = u64;
/// The position of an entry in the log, from 1.
pub type Index = u64;

/// A member of a replica set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The disk's identity.
    pub id: MemberId,
    /// The process's name, for operators.
    pub name: String,
    /// The failure domain that it is in.
    pub zone: String,
    /// Where its process listens for its peers.
    pub address: SocketAddr,
}

/// Settings of a replica; the same for all members of a shard. Times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Time,
    /// The shortest time without contact to a leader after which a member campaigns; it draws from there up to twice that.
    pub election_timeout: Time,
    /// Disks that an entry must be on, beside those of a majority, to be committed.
    pub min_replicas: usize,
    /// Bytes of entries in one message, at most; a single entry may be longer.
    pub max_message_bytes: usize,
    /// Bytes of entries applied since the last snapshot after which the next one is asked for.
    pub compaction_threshold_bytes: usize,
    /// Bytes of entries that a leader keeps in memory for followers that lack them.
    pub max_lag_bytes: usize,
}

quick_error! {
    /// Why a replica does not take a proposal or answer a read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposeError {
        /// This member is not the leader; who is, where known.
        NotLeader(leader: Option<Member>) { display("not the leader") }
        /// A change of the replica set is not committed yet, or the proposed one differs by more than one member.
        ChangeInProgress { display("a change of the group is under way") }
        /// This leader is handing its post over; it takes proposals again should that fail.
        TransferInProgress { display("leadership is being transferred") }
    }
}

quick_error! {
    /// Why leadership is not transferred now.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum TransferError {
        /// This member does not lead, or has not committed an entry of its term yet.
        NotLeader { display("not the leader") }
        /// Another transfer, or a change of the replica set, is under way.
        Busy { display("another change is under way") }
        /// The target is no member, out of contact, or lacks too much of the log.
        TargetBehind { display("the target is not up to date") }
    }
}

/// How far a member is behind its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationLag {
    /// The member.
    pub member: MemberId,
    /// Entries of the leader's log that it is not known to have on its disk.
    pub entries: u64,
}

quick_error! {
    /// Bytes of a message or record that cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// What cannot be read.
        Malformed(what: &'static str) { display("malformed: {}", what) }
    }
}
