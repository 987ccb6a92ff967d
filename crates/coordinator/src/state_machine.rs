//! The state machine of a shard, to which the replica applies committed commands, and its snapshots, which are read and restored chunk
//! by chunk so that no step handles a whole state at once.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use rainlug::Time;
use rainlug_batch::{JobTable, JobTableRestore, JobTableSnapshot, QuotaLedger};
use rainlug_consensus::{InMemoryState, SnapshotSource};
use rainlug_primitives::Primitives;

use crate::control::Control;
use crate::sharding::{ShardContent, content_of};

/// Bytes of a chunk of a small state's snapshot: as much as a consensus message carries.
const CHUNK_BYTES: usize = 128 << 10;

quick_error! {
    /// Why a state could not be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// A chunk came before a snapshot was begun.
        NotBegun { display("no state was begun") }
        /// The chunks are not a snapshot of this kind of state machine.
        Malformed { display("not a snapshot of this state machine") }
    }
}

/// The state machine in force.
pub(crate) enum StateMachine {
    /// Of the configuration's shard.
    Control(Control),
    /// Of a shard of batch jobs; its quota ledger stands beside it, in the shard.
    BatchJobs(JobTable),
    /// Of a shard of primitives.
    Primitives(Primitives),
}

/// A state that is restored beside the one in force, which it replaces once it is complete.
pub(crate) enum Restoring {
    /// Small enough to be read at once, when all of it is there.
    Control(BytesMut),
    /// As [`Restoring::Control`].
    Primitives(BytesMut),
    /// The first chunk is the quota ledger, the others are the job table's.
    BatchJobs(Option<QuotaLedger>, Box<JobTableRestore>),
}

/// The state of a shard of batch jobs as the replica reads it: the quota ledger in one chunk, and the job table's chunks.
struct BatchShardSource {
    quota_ledger: Bytes,
    job_table: JobTableSnapshot,
}

impl SnapshotSource for BatchShardSource {
    fn chunks(&self) -> usize {
        1 + self.job_table.chunk_count()
    }

    fn chunk(&self, number: usize) -> Bytes {
        match number.checked_sub(1) {
            None => self.quota_ledger.clone(),
            Some(number) => self.job_table.chunk(number),
        }
    }

    fn size(&self) -> u64 {
        self.quota_ledger.len() as u64 + self.job_table.encoded_len()
    }
}

impl StateMachine {
    /// A shard's state machine that has applied nothing.
    pub fn empty(shard: u16) -> Self {
        match content_of(shard) {
            ShardContent::Configuration => StateMachine::Control(Control::default()),
            ShardContent::BatchJobs => StateMachine::BatchJobs(JobTable::default()),
            ShardContent::Primitives => StateMachine::Primitives(Primitives::default()),
        }
    }

    /// Its state and the quota ledger's as of now, to be read chunk by chunk later on.
    pub fn snapshot_source(&self, quota_ledger: &QuotaLedger) -> Arc<dyn SnapshotSource> {
        match self {
            StateMachine::Control(control) => Arc::new(InMemoryState::new(control.snapshot(), CHUNK_BYTES)),
            StateMachine::Primitives(primitives) => {
                Arc::new(InMemoryState::new(primitives.snapshot(), CHUNK_BYTES))
            }
            StateMachine::BatchJobs(job_table) => Arc::new(BatchShardSource {
                quota_ledger: quota_ledger.snapshot(),
                job_table: job_table.snapshot(),
            }),
        }
    }

    /// Another state, empty, to be built beside this one.
    pub fn restore_begin(&self) -> Restoring {
        match self {
            StateMachine::Control(_) => Restoring::Control(BytesMut::new()),
            StateMachine::Primitives(_) => Restoring::Primitives(BytesMut::new()),
            StateMachine::BatchJobs(_) => Restoring::BatchJobs(None, Box::default()),
        }
    }
}

impl Restoring {
    /// Takes the next chunk.
    ///
    /// # Errors
    /// Where it is not a chunk of such a state.
    pub fn take(&mut self, chunk: &Bytes) -> Result<(), RestoreError> {
        match self {
            Restoring::Control(bytes) | Restoring::Primitives(bytes) => bytes.extend_from_slice(chunk),
            Restoring::BatchJobs(quota_ledger @ None, _) => {
                *quota_ledger = Some(QuotaLedger::restore(chunk).map_err(|_| RestoreError::Malformed)?);
            }
            Restoring::BatchJobs(Some(_), job_table) => {
                job_table.add_chunk(chunk).map_err(|_| RestoreError::Malformed)?;
            }
        }
        Ok(())
    }

    /// The state that was built, to be put in place of the one in force; `now` is the steady clock.
    ///
    /// # Errors
    /// Where the chunks are not a snapshot of this kind of state machine.
    pub fn finish(self, now: Time) -> Result<(StateMachine, QuotaLedger), RestoreError> {
        match self {
            Restoring::Control(bytes) => {
                let control = Control::restore(&bytes.freeze()).map_err(|_| RestoreError::Malformed)?;
                Ok((StateMachine::Control(control), QuotaLedger::default()))
            }
            Restoring::Primitives(bytes) => {
                let primitives =
                    Primitives::restore(&bytes.freeze(), now).map_err(|_| RestoreError::Malformed)?;
                Ok((StateMachine::Primitives(primitives), QuotaLedger::default()))
            }
            Restoring::BatchJobs(quota_ledger, job_table) => {
                let quota_ledger = quota_ledger.ok_or(RestoreError::Malformed)?;
                let job_table = job_table.finish().map_err(|_| RestoreError::Malformed)?;
                Ok((StateMachine::BatchJobs(job_table), quota_ledger))
            }
        }
    }
}
