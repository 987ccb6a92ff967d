//! A member that restarts from what its disk holds.

use std::sync::Arc;

use bytes::Bytes;

use super::Replica;
use crate::log::Log;
use crate::snapshot::{RestoreStep, Snapshot};
use crate::wire::{self, Record};
use crate::{DecodeError, Index, Member, Settings, Time};

/// Chunks of a snapshot that are still to come among the records.
struct MissingChunks {
    snapshot_index: Index,
    chunk_count: u32,
    /// The number of the next one.
    next: u32,
}

impl Replica {
    /// A member that has these records, all that it persisted, in order. The state machine restarts empty, and is restored by what
    /// [`Replica::take_ready`] returns. The founding replica set counts only where there is no record.
    ///
    /// # Errors
    /// Where a record cannot be read, or a snapshot is not complete.
    pub fn recover(
        local_member: Member,
        founding: Vec<Member>,
        settings: Settings,
        records: &[Bytes],
        seed: u64,
        now: Time,
    ) -> Result<Self, DecodeError> {
        let mut replica = Self::new(local_member, founding, settings, seed, now);
        let mut missing = None;
        for record in records {
            replica.persistence.set_has_records();
            let record = wire::decode_record(record)?;
            missing = match missing.take() {
                Some(missing) => replica.recover_chunk(missing, record)?,
                None => replica.recover_record(record)?,
            };
        }
        if missing.is_some() {
            return Err(DecodeError::Malformed("a snapshot that is not whole"));
        }
        replica.persistence.set_persisted_index(replica.log.last_index());
        replica.commit_index = replica.snapshot.position.index;
        replica.last_status = replica.status();
        Ok(replica)
    }

    /// Takes a record that is not within a snapshot; the chunks that have to follow it, if any.
    fn recover_record(&mut self, record: Record) -> Result<Option<MissingChunks>, DecodeError> {
        match record {
            Record::HardState { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Entry { index, entry } => {
                if index <= self.snapshot.position.index || index > self.log.last_index() + 1 {
                    return Err(DecodeError::Malformed("an entry's place"));
                }
                self.log.truncate(index - 1);
                self.push_recovered(entry);
            }
            Record::MembershipCommitted { index } => {
                self.membership_commit_index = self.membership_commit_index.max(index);
            }
            Record::VoteFloor(floor) => self.vote_floor = self.vote_floor.max(floor),
            Record::Snapshot { position, members, chunk_count } => {
                let snapshot_index = position.index;
                self.log = Log::new(position, members.clone());
                self.snapshot = Arc::new(Snapshot { position, members, source: None });
                self.application.reset(snapshot_index);
                if snapshot_index > 0 {
                    self.application.push_restore_step(RestoreStep::Begin);
                }
                return Ok(self.recover_rest(MissingChunks { snapshot_index, chunk_count, next: 0 }));
            }
            Record::Chunk { .. } => return Err(DecodeError::Malformed("a piece of no snapshot")),
        }
        Ok(None)
    }

    /// Takes the next chunk of a snapshot.
    fn recover_chunk(
        &mut self,
        missing: MissingChunks,
        record: Record,
    ) -> Result<Option<MissingChunks>, DecodeError> {
        match record {
            Record::Chunk { number, chunk } if number == missing.next => {
                self.application.push_restore_step(RestoreStep::Chunk(chunk));
                Ok(self.recover_rest(MissingChunks { next: number + 1, ..missing }))
            }
            _ => Err(DecodeError::Malformed("a snapshot that is not whole")),
        }
    }

    /// What is still missing, if anything is; otherwise the snapshot is complete.
    fn recover_rest(&mut self, missing: MissingChunks) -> Option<MissingChunks> {
        if missing.next < missing.chunk_count {
            return Some(missing);
        }
        if missing.snapshot_index > 0 {
            self.application.finish_restore(missing.snapshot_index);
        }
        None
    }
}
