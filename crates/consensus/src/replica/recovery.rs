//! A member that comes back with what its disk holds.

use std::sync::Arc;

use bytes::Bytes;

use super::Replica;
use crate::log::{Log, Snapshot};
use crate::state::RestoreStep;
use crate::wire::{self, Record};
use crate::{DecodeError, Index, Member, Settings, Time};

/// Pieces of a snapshot that are still to come among the records.
struct Missing {
    index: Index,
    chunks: u32,
    next: u32,
}

impl Replica {
    /// A member that has these records, all that it saved, in order. The state machine restarts from what `take` hands out. The
    /// founding group counts only where there is no record.
    ///
    /// # Errors
    /// Where a record cannot be read, or a snapshot is not whole.
    pub fn recover(
        me: Member,
        founding: Vec<Member>,
        settings: Settings,
        records: &[Bytes],
        seed: u64,
        now: Time,
    ) -> Result<Self, DecodeError> {
        let mut replica = Self::new(me, founding, settings, seed, now);
        let mut missing = None;
        for record in records {
            replica.founded = true;
            let record = wire::read_record(record)?;
            missing = match missing.take() {
                Some(missing) => replica.recover_chunk(missing, record)?,
                None => replica.recover_record(record)?,
            };
        }
        if missing.is_some() {
            return Err(DecodeError::Malformed("a snapshot that is not whole"));
        }
        replica.stable = replica.log.last();
        replica.commit = replica.snapshot.index;
        replica.applied = replica.snapshot.index;
        replica.seen = replica.observe();
        Ok(replica)
    }

    /// Takes a record that is not within a snapshot; the pieces that have to follow it, if any.
    fn recover_record(&mut self, record: Record) -> Result<Option<Missing>, DecodeError> {
        match record {
            Record::HardState { term, voted } => {
                self.term = term;
                self.voted = voted;
            }
            Record::Entry { index, entry } => {
                if index <= self.snapshot.index || index > self.log.last() + 1 {
                    return Err(DecodeError::Malformed("an entry's place"));
                }
                self.log.truncate(index - 1);
                self.log.push(entry);
            }
            Record::Settled { index } => self.settled = self.settled.max(index),
            Record::VoteFloor { term, index } => self.vote_floor = self.vote_floor.max((term, index)),
            Record::Snapshot { index, term, group, chunks } => {
                self.log = Log::new(index, term, group.clone());
                self.snapshot = Arc::new(Snapshot { index, term, group, state: None });
                self.restoring.clear();
                if index > 0 {
                    self.restoring.push_back(RestoreStep::Begin);
                }
                return Ok(self.recover_rest(Missing { index, chunks, next: 0 }));
            }
            Record::Chunk { .. } => return Err(DecodeError::Malformed("a piece of no snapshot")),
        }
        Ok(None)
    }

    /// Takes the next piece of a snapshot.
    fn recover_chunk(&mut self, missing: Missing, record: Record) -> Result<Option<Missing>, DecodeError> {
        match record {
            Record::Chunk { number, state } if number == missing.next => {
                self.restoring.push_back(RestoreStep::Chunk(state));
                Ok(self.recover_rest(Missing { next: number + 1, ..missing }))
            }
            _ => Err(DecodeError::Malformed("a snapshot that is not whole")),
        }
    }

    /// What is still missing, if anything is; otherwise the snapshot is whole.
    fn recover_rest(&mut self, missing: Missing) -> Option<Missing> {
        if missing.next < missing.chunks {
            return Some(missing);
        }
        if missing.index > 0 {
            self.restoring.push_back(RestoreStep::Finish(missing.index));
        }
        None
    }
}
