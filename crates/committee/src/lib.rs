//! Agreement of a small group on a sequence of commands, by ballots: one replica of one part of the tier's state. Raft (Ongaro
//! and Ousterhout 2014) with pre-votes, a leader that steps down when it hears no quorum, reads confirmed by a round, snapshots,
//! and changes of the group in one entry that needs majorities of the old and the new group. A member is a disk: who comes back
//! without it has a new id, and votes only once the group has taken that id in.
//! No I/O: time, chance, messages and what the disk has saved are handed in; messages, records and commands are handed out.

use std::net::SocketAddr;

use bytes::Bytes;
use quick_error::quick_error;
use rainlug::Time;

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
    pub at: SocketAddr,
}

/// Figures of a group. Times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Between two signs of life of a leader.
    pub heartbeat: Time,
    /// The least time without one after which a member stands; up to twice that, drawn.
    pub election: Time,
    /// Disks on which an entry must be, beside a majority, to be committed.
    pub copies: usize,
    /// Bytes of entries in one message, at most.
    pub most_bytes: usize,
    /// Bytes of entries kept in memory after which a snapshot is asked for.
    pub compact_bytes: usize,
}

quick_error! {
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refused {
        /// Not the leader; who is, where known.
        NotLeader(leader: Option<Member>) { display("not the leader") }
        /// A change of the group is under way, or this leader has committed nothing yet.
        Busy { display("a change of the group is under way") }
    }
}

quick_error! {
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Odd {
        Malformed(what: &'static str) { display("malformed: {}", what) }
    }
}

/// What a replica wants done. Taken with [`Replica::take`].
#[derive(Debug, Default)]
pub struct Output {
    /// To other members: to be delivered whole and in order, or not at all.
    pub messages: Vec<(Member, Bytes)>,
    /// Records to be appended to the disk and synced, in order; then `saved(ticket)`. Later tickets cover earlier ones.
    pub save: Vec<(u64, Bytes)>,
    /// Records to replace all earlier ones of this replica; then `saved(ticket)`. `save` in the same output comes after it.
    pub rewrite: Option<(u64, Vec<Bytes>)>,
    /// A snapshot of the state machine that replaces its whole state, as of this index.
    pub restore: Option<(Index, Bytes)>,
    /// Committed commands in order, each once.
    pub committed: Vec<(Index, Bytes)>,
    /// Reads that may be answered from the state machine now (all committed before they were asked is in it), or not.
    pub reads: Vec<(u64, Result<(), Refused>)>,
    /// Something about who leads, or who is a member, has changed.
    pub changed: bool,
    /// The state machine should call `snapshot`.
    pub compact: bool,
}

/// One member's replica of one part.
pub struct Replica {}

impl Replica {
    /// A member with nothing saved. `founding` is the first group, the same for all its members; empty for one that waits to be
    /// taken in.
    pub fn new(_me: Member, _founding: Vec<Member>, _settings: Settings, _seed: u64, _now: Time) -> Self {
        todo!()
    }
    /// A member that has these records, all that it saved, in order. The state machine restarts from `take().restore` and
    /// `committed`.
    ///
    /// # Errors
    /// Where a record cannot be read.
    pub fn recover(
        _me: Member,
        _founding: Vec<Member>,
        _settings: Settings,
        _records: &[Bytes],
        _seed: u64,
        _now: Time,
    ) -> Result<Self, Odd> {
        todo!()
    }
    pub fn next(&self) -> Time {
        todo!()
    }
    pub fn due(&mut self, _now: Time) {
        todo!()
    }
    /// A message of another member's replica of this part.
    ///
    /// # Errors
    /// Where the bytes cannot be read; nothing has changed then.
    pub fn heard(&mut self, _now: Time, _bytes: &[u8]) -> Result<(), Odd> {
        todo!()
    }
    /// All records up to this ticket are on the disk.
    pub fn saved(&mut self, _now: Time, _ticket: u64) {
        todo!()
    }
    /// Proposes a command: its index, under which it is committed unless this leader is replaced first.
    ///
    /// # Errors
    /// Not the leader.
    pub fn propose(&mut self, _now: Time, _command: Bytes) -> Result<(Index, Term), Refused> {
        todo!()
    }
    /// Proposes another group, which differs by one member or swaps one for another.
    ///
    /// # Errors
    /// Not the leader, or not now.
    pub fn change(&mut self, _now: Time, _members: Vec<Member>) -> Result<Index, Refused> {
        todo!()
    }
    /// Asks for a read that sees all that was committed before; answered in [`Output::reads`].
    pub fn read(&mut self, _now: Time, _ticket: u64) {
        todo!()
    }
    /// The state machine's whole state as of all commands taken so far. Entries up to there are dropped.
    pub fn snapshot(&mut self, _now: Time, _state: Bytes) {
        todo!()
    }
    pub fn take(&mut self) -> Output {
        todo!()
    }
    pub fn me(&self) -> &Member {
        todo!()
    }
    pub fn leader(&self) -> Option<&Member> {
        todo!()
    }
    /// Leads, and has committed an entry of its own term.
    pub fn leads(&self) -> bool {
        todo!()
    }
    pub fn term(&self) -> Term {
        todo!()
    }
    /// The newest group that it knows, and whether that is committed.
    pub fn members(&self) -> (&[Member], bool) {
        todo!()
    }
    /// The leader's knowledge of who is behind: entries that each other member lacks on its disk.
    pub fn behind(&self) -> Vec<(MemberId, u64)> {
        todo!()
    }
}
