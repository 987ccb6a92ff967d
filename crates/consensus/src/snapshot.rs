//! The state machine's state as a replica sees it: read chunk by chunk by whoever sends or writes it, and built chunk by chunk where
//! it is restored. This crate never has all of it in memory at once.

use std::sync::Arc;

use bytes::Bytes;

use crate::entry::LogPosition;
use crate::{Index, Member};

/// A state machine's state as of one index. It never changes, is cheap to hold, and is encoded one chunk at a time.
pub trait SnapshotSource: Send + Sync {
    /// How many chunks it has.
    fn chunks(&self) -> usize;
    /// The chunk of this number, from 0; the same bytes each time. At most about [`crate::Settings::max_message_bytes`] long, as it
    /// goes in one message.
    fn chunk(&self, number: usize) -> Bytes;
    /// Bytes of all chunks together.
    fn size(&self) -> u64;
}

/// A step of replacing the whole state of a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestoreStep {
    /// Begin another state, empty, beside the one in force; drop one that was begun earlier and not finished.
    Begin,
    /// Add the next chunk to the state that was begun.
    Chunk(Bytes),
    /// Drop the state that was begun.
    Abandon,
    /// All chunks have come: the state that was begun is in force, as of this index.
    Finish(Index),
}

impl RestoreStep {
    /// Bytes of state that it carries.
    pub(crate) fn len(&self) -> usize {
        match self {
            RestoreStep::Chunk(chunk) => chunk.len(),
            RestoreStep::Begin | RestoreStep::Abandon | RestoreStep::Finish(_) => 0,
        }
    }
}

/// A state that is small enough to be encoded at once.
#[derive(Clone, Debug)]
pub struct InMemoryState {
    state: Bytes,
    chunk_bytes: usize,
}

impl InMemoryState {
    /// This state, cut into chunks of `chunk_bytes`.
    pub fn new(state: Bytes, chunk_bytes: usize) -> Self {
        Self { state, chunk_bytes: chunk_bytes.max(1) }
    }
}

impl SnapshotSource for InMemoryState {
    fn chunks(&self) -> usize {
        self.state.len().div_ceil(self.chunk_bytes)
    }

    fn chunk(&self, number: usize) -> Bytes {
        let start = number.saturating_mul(self.chunk_bytes).min(self.state.len());
        let end = start.saturating_add(self.chunk_bytes).min(self.state.len());
        self.state.slice(start..end)
    }

    fn size(&self) -> u64 {
        self.state.len() as u64
    }
}

/// The newest snapshot of a replica (Raft 5.1).
#[derive(Clone)]
pub(crate) struct Snapshot {
    /// The last entry that it covers.
    pub(crate) position: LogPosition,
    /// The replica set as of that entry.
    pub(crate) members: Vec<Member>,
    /// Its state, while that is needed in memory: while it is sent.
    pub(crate) source: Option<NumberedSource>,
}

/// A state to be sent.
#[derive(Clone)]
pub(crate) struct NumberedSource {
    /// Differs for any two states that a replica sends between two restarts: a chunk of one is never taken for another's.
    pub(crate) number: u64,
    /// The state.
    pub(crate) state: Arc<dyn SnapshotSource>,
}
