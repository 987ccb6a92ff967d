//! The messages between replicas of one shard. How they are laid out in bytes is [`crate::wire`]'s concern.

use bytes::Bytes;

use crate::entry::{Entry, LogPosition};
use crate::{Index, Member, MemberId, Term};

/// A message as it was received.
pub(crate) struct Message {
    /// Whom it is for.
    pub(crate) to: MemberId,
    /// Who sent it.
    pub(crate) from: Member,
    /// The sender's term.
    pub(crate) term: Term,
    /// What it says.
    pub(crate) body: Body,
}

/// What a message says.
pub(crate) enum Body {
    /// A candidate asks for a vote.
    RequestVote(VoteRequest),
    /// The answer to [`Body::RequestVote`].
    Vote(VoteResponse),
    /// A leader's entries, or its heartbeat where there are none.
    AppendEntries(AppendEntries),
    /// The follower's log agrees with the leader's.
    AppendAccepted(AppendAccepted),
    /// The follower's log lacks the entry before those that were sent, or the sender's term is over.
    AppendRejected(AppendRejected),
    /// A chunk of a leader's snapshot.
    InstallSnapshot(SnapshotChunk),
    /// The follower waits for another chunk.
    SnapshotChunkWanted(SnapshotChunkWanted),
    /// The leader asks a follower to campaign at once (Raft 3.10).
    TimeoutNow,
}

/// What a vote is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteKind {
    /// A vote (Raft 3.4). It is refused while a leader is active (Raft 4.2.3).
    Vote,
    /// A pre-vote (Raft 9.6): whether a vote would be granted.
    PreVote,
    /// A vote for a candidate that its leader has asked to campaign: that leader being active is no reason against it.
    LeadershipTransfer,
}

/// Asks for a vote.
pub(crate) struct VoteRequest {
    /// What is asked for.
    pub(crate) kind: VoteKind,
    /// The term to be won.
    pub(crate) for_term: Term,
    /// Where the candidate's log ends.
    pub(crate) last: LogPosition,
}

/// Answers a [`VoteRequest`].
pub(crate) struct VoteResponse {
    /// Answers a pre-vote.
    pub(crate) is_pre_vote: bool,
    /// The term that was asked for.
    pub(crate) for_term: Term,
    /// Whether the vote is given.
    pub(crate) is_granted: bool,
    /// The voter's newest replica set entry where it knows that it is committed; index 0 otherwise.
    pub(crate) committed_replica_set: LogPosition,
}

/// Replicates entries (Raft 3.5).
pub(crate) struct AppendEntries {
    /// The leader's read round (Raft 6.4).
    pub(crate) read_round: u64,
    /// The entry before the first one sent.
    pub(crate) prev: LogPosition,
    /// What the leader knows to be committed.
    pub(crate) commit_index: Index,
    /// The entries after `prev`, in order.
    pub(crate) entries: Vec<Entry>,
}

/// The follower's log is as the leader's up to an index.
pub(crate) struct AppendAccepted {
    /// The read round that is answered.
    pub(crate) read_round: u64,
    /// All up to here is as in the leader's log, and persisted.
    pub(crate) matched_index: Index,
    /// The follower knows, on its disk, that its newest replica set is committed.
    pub(crate) is_replica_set_committed: bool,
}

/// The entry before those that were sent is not in the follower's log.
pub(crate) struct AppendRejected {
    /// The read round that is answered.
    pub(crate) read_round: u64,
    /// The index of the entry that is missing.
    pub(crate) prev_index: Index,
    /// The follower's newest entry that may be common.
    pub(crate) hint: LogPosition,
}

/// One chunk of a snapshot, and which snapshot it is of (Raft 5.1).
pub(crate) struct SnapshotChunk {
    /// The leader's read round (Raft 6.4).
    pub(crate) read_round: u64,
    /// The last entry that the snapshot covers.
    pub(crate) position: LogPosition,
    /// The replica set as of that entry.
    pub(crate) members: Vec<Member>,
    /// Which of the leader's states it is of.
    pub(crate) source: u64,
    /// How many chunks the snapshot has.
    pub(crate) chunk_count: u32,
    /// Which of them this is, from 0.
    pub(crate) number: u32,
    /// The chunk as its record on the disk; none where the state is empty.
    pub(crate) record: Option<Bytes>,
}

/// Asks the leader for a chunk.
pub(crate) struct SnapshotChunkWanted {
    /// The read round that is answered.
    pub(crate) read_round: u64,
    /// The state that is being received.
    pub(crate) source: u64,
    /// The chunk that comes next.
    pub(crate) number: u32,
}
