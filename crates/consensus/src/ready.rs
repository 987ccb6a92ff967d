//! What a replica wants its caller to do.

use bytes::Bytes;

use crate::{Index, Member, ProposeError, Records, RestoreStep};

/// Records that replace all earlier ones of a replica.
#[derive(Clone, Debug)]
pub struct Rewrite {
    /// To be passed to [`crate::Replica::persisted`] once they are on the disk.
    pub ticket: u64,
    /// All records of the replica.
    pub records: Records,
    /// They follow from what the disk holds already: the rewrite may be left undone, and the ticket is persisted with those before
    /// it.
    pub is_implied: bool,
}

/// What a replica wants done, from [`crate::Replica::take_ready`].
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages to other members: each is to be delivered complete and in order, or not at all.
    pub messages: Vec<(Member, Bytes)>,
    /// Tickets and records, to be appended to the disk in order and synced; then the newest ticket is to be passed to
    /// [`crate::Replica::persisted`]. A later ticket covers earlier ones.
    pub records: Vec<(u64, Bytes)>,
    /// Records to replace all earlier ones of this replica. `records` come after it.
    pub rewrite: Option<Rewrite>,
    /// Steps of replacing the whole state of the state machine, in order. The state in force stays until the last of them, and
    /// `committed` of earlier calls is for it.
    pub restore: Vec<RestoreStep>,
    /// Committed commands with their indexes, in order, each once; to be applied after `restore`.
    pub committed: Vec<(Index, Bytes)>,
    /// Reads by their tickets: they may be answered from the state machine now (all that was committed before they were asked is in
    /// it), or have failed.
    pub reads: Vec<(u64, Result<(), ProposeError>)>,
    /// Who leads, or who is a member, has changed.
    pub has_status_changed: bool,
    /// The state machine should call [`crate::Replica::compact`]; or [`crate::Replica::postpone_compaction`], unless a member needs
    /// the snapshot. Not before all that was taken is applied, and nothing is left to be applied.
    pub needs_compaction: bool,
    /// A member needs the snapshot that is asked for.
    pub needs_snapshot: bool,
}
