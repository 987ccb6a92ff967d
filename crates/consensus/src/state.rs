//! The state machine's state as a replica sees it: read piece by piece by who sends or writes it, and built piece by piece where it
//! is restored. Nobody here holds all of it at once.

use bytes::Bytes;

use crate::Index;

/// A state machine's state as of one index. It never changes, is cheap to hold, and is encoded one piece at a time.
pub trait SnapshotSource: Send + Sync {
    /// How many pieces it has.
    fn chunks(&self) -> usize;
    /// A piece; the same bytes each time. About [`crate::Settings::most_bytes`] long at most, as it goes in one message.
    fn chunk(&self, number: usize) -> Bytes;
    /// Bytes of all pieces together.
    fn size(&self) -> u64;
}

/// A step of replacing the whole state of a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestoreStep {
    /// Another state is begun, empty, beside the one in force; one begun earlier and not finished is dropped.
    Begin,
    /// The next piece of the state that was begun.
    Chunk(Bytes),
    /// What was begun is dropped.
    Abandon,
    /// All pieces have come: the state that was begun is in force, as of this index.
    Finish(Index),
}

impl RestoreStep {
    /// Bytes that it hands on.
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
    /// This state, cut into pieces of so many bytes.
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
