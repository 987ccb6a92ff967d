//! The records of a snapshot and of what follows it, each encoded when it is asked for.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::log::Entry;
use crate::state::SnapshotSource;
use crate::{Index, wire};

/// The pieces of a snapshot's state, as records.
#[derive(Clone)]
pub(crate) enum ChunkRecords {
    /// Encoded from the state of this process.
    Encoded(Arc<dyn SnapshotSource>),
    /// As they came from a leader.
    Received(Arc<[Bytes]>),
}

impl ChunkRecords {
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

    fn size(&self) -> u64 {
        match self {
            ChunkRecords::Encoded(state) => {
                state.size() + (state.chunks() * wire::CHUNK_RECORD_HEADER) as u64
            }
            ChunkRecords::Received(records) => records.iter().map(|record| record.len() as u64).sum(),
        }
    }
}

/// All records of a replica: its snapshot and what follows it. They can be walked over any number of times; one at a time is in
/// memory beside what the state machine and the log hold.
#[derive(Clone)]
pub struct Records {
    pub(crate) snapshot: Bytes,
    pub(crate) chunks: ChunkRecords,
    pub(crate) hard_state: Bytes,
    pub(crate) first: Index,
    /// From `first` on.
    pub(crate) entries: Vec<Entry>,
    pub(crate) settled: Option<Bytes>,
    /// Where this member gave up a log.
    pub(crate) vote_floor: Option<Bytes>,
}

impl Records {
    /// How many there are.
    pub fn count(&self) -> usize {
        2 + self.chunks.count() + self.entries.len() + self.last_records().count()
    }

    /// What follows the entries.
    fn last_records(&self) -> impl Iterator<Item = &Bytes> {
        self.settled.iter().chain(&self.vote_floor)
    }

    /// How many of the first stand for the snapshot: its head and its pieces.
    pub fn snapshot_count(&self) -> usize {
        1 + self.chunks.count()
    }

    /// A record, encoded now; none behind the last one.
    pub fn record(&self, number: usize) -> Option<Bytes> {
        let Some(place) = number.checked_sub(1) else { return Some(self.snapshot.clone()) };
        let Some(place) = place.checked_sub(self.chunks.count()) else { return self.chunks.record(place) };
        let Some(place) = place.checked_sub(1) else { return Some(self.hard_state.clone()) };
        match self.entries.get(place) {
            Some(entry) => Some(wire::entry_record(self.first + place as u64, entry)),
            None => self.last_records().nth(place - self.entries.len()).cloned(),
        }
    }

    /// All of them in order.
    pub fn iter(&self) -> impl Iterator<Item = Bytes> + '_ {
        (0..self.count()).filter_map(|number| self.record(number))
    }

    /// Bytes of all records together.
    pub fn size(&self) -> u64 {
        let entries: usize =
            self.entries.iter().map(|entry| wire::ENTRY_RECORD_HEAD + entry.data.len()).sum();
        let last: usize = self.last_records().map(Bytes::len).sum();
        let others = self.snapshot.len() + self.hard_state.len() + last;
        self.chunks.size() + (entries + others) as u64
    }
}

impl fmt::Debug for Records {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.debug_struct("Records").field("count", &self.count()).field("size", &self.size()).finish()
    }
}
