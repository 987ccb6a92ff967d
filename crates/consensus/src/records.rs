//! All records of a replica, for a rewrite: those of a snapshot and of what follows it, each encoded when it is asked for.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::entry::Entry;
use crate::snapshot::SnapshotSource;
use crate::{Index, wire};

/// The chunks of a snapshot's state, as records.
#[derive(Clone)]
pub(crate) enum ChunkRecords {
    /// Encoded from the state of this process.
    Encoded(Arc<dyn SnapshotSource>),
    /// As they came from a leader.
    Received(Arc<[Bytes]>),
}

impl ChunkRecords {
    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        match self {
            ChunkRecords::Encoded(state) => state.chunks(),
            ChunkRecords::Received(records) => records.len(),
        }
    }

    fn record(&self, number: usize) -> Option<Bytes> {
        match self {
            ChunkRecords::Encoded(state) if number < state.chunks() => {
                Some(wire::chunk_record(number, &state.chunk(number)))
            }
            ChunkRecords::Encoded(_) => None,
            ChunkRecords::Received(records) => records.get(number).cloned(),
        }
    }

    /// Bytes of all of them together.
    fn size(&self) -> u64 {
        match self {
            ChunkRecords::Encoded(state) => {
                state.size() + (state.chunks() * wire::CHUNK_RECORD_HEADER_BYTES) as u64
            }
            ChunkRecords::Received(records) => records.iter().map(|record| record.len() as u64).sum(),
        }
    }
}

/// All records of a replica: its snapshot and what follows it.
///
/// They can be iterated over any number of times. One at a time is in memory, beside what the state machine and the log hold.
#[derive(Clone)]
pub struct Records {
    /// The beginning of the snapshot.
    pub(crate) snapshot: Bytes,
    /// The chunks of the snapshot.
    pub(crate) chunks: ChunkRecords,
    /// Term and vote.
    pub(crate) hard_state: Bytes,
    /// The index of the first of `entries`.
    pub(crate) first_index: Index,
    /// The entries after the snapshot.
    pub(crate) entries: Vec<Entry>,
    /// That a replica set entry after the snapshot is committed.
    pub(crate) membership_committed: Option<Bytes>,
    /// Where a log ended that this member dropped.
    pub(crate) vote_floor: Option<Bytes>,
}

impl Records {
    /// How many there are.
    pub fn count(&self) -> usize {
        2 + self.chunks.count() + self.entries.len() + self.trailing_records().count()
    }

    /// The records after the entries.
    fn trailing_records(&self) -> impl Iterator<Item = &Bytes> {
        self.membership_committed.iter().chain(&self.vote_floor)
    }

    /// How many of the first ones are the snapshot: its beginning and its chunks.
    pub fn snapshot_count(&self) -> usize {
        1 + self.chunks.count()
    }

    /// The record of this number, from 0, encoded now; none after the last one.
    pub fn record(&self, number: usize) -> Option<Bytes> {
        let Some(offset) = number.checked_sub(1) else { return Some(self.snapshot.clone()) };
        let Some(offset) = offset.checked_sub(self.chunks.count()) else { return self.chunks.record(offset) };
        let Some(offset) = offset.checked_sub(1) else { return Some(self.hard_state.clone()) };
        match self.entries.get(offset) {
            Some(entry) => Some(wire::entry_record(self.first_index + offset as u64, entry)),
            None => self.trailing_records().nth(offset - self.entries.len()).cloned(),
        }
    }

    /// All of them in order.
    pub fn iter(&self) -> impl Iterator<Item = Bytes> + '_ {
        (0..self.count()).filter_map(|number| self.record(number))
    }

    /// Bytes of all records together.
    pub fn size(&self) -> u64 {
        let entry_bytes = |entry: &Entry| wire::ENTRY_RECORD_HEADER_BYTES + entry.data.len();
        let entries: usize = self.entries.iter().map(entry_bytes).sum();
        let trailing: usize = self.trailing_records().map(Bytes::len).sum();
        let others = self.snapshot.len() + self.hard_state.len() + trailing;
        self.chunks.size() + (entries + others) as u64
    }
}

impl fmt::Debug for Records {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Records").field("count", &self.count()).field("size", &self.size()).finish()
    }
}
