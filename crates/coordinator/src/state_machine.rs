//! The state machine of a shard: what it is handed by the shard's replica, and its state, read and restored chunk by chunk.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use rainlug_batch::{JobTable, JobTableRestore, JobTableSnapshot, QuotaLedger};
use rainlug_consensus::{InMemoryState, SnapshotSource};

use crate::CONTROL;
use crate::control::Control;

/// Bytes of a chunk of the configuration part's snapshot: as much as a message of a replica set has.
const CHUNK_BYTES: usize = 128 << 10;

quick_error! {
    /// Why a state could not be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// No state was begun.
        NotBegun { display("no state was begun") }
        /// The chunks are none of such a state machine's.
        Malformed { display("not a snapshot of this state machine") }
    }
}

/// The state machine in force.
pub(crate) enum StateMachine {
    Control(Control),
    BatchJobs(JobTable),
}

/// A state that is built beside the one in force.
pub(crate) enum Restoring {
    /// Small enough to be read at once, when all of it is there.
    Control(BytesMut),
    /// The first chunk is the quota ledger, the others are the job table's.
    BatchJobs(Option<QuotaLedger>, Box<JobTableRestore>),
}

/// The state of a shard of batch jobs as the replica reads it: the quota ledger in one chunk, and the job table's chunks.
struct BatchShardSource {
    quota_ledger: Bytes,
    register: JobTableSnapshot,
}

impl SnapshotSource for BatchShardSource {
    fn chunks(&self) -> usize {
        1 + self.register.chunk_count()
    }

    fn chunk(&self, number: usize) -> Bytes {
        match number.checked_sub(1) {
            None => self.quota_ledger.clone(),
            Some(number) => self.register.chunk(number),
        }
    }

    fn size(&self) -> u64 {
        self.quota_ledger.len() as u64 + self.register.encoded_len()
    }
}

impl StateMachine {
    /// A shard's state machine that has applied nothing.
    pub fn empty(shard: u16) -> Self {
        if shard == CONTROL {
            StateMachine::Control(Control::default())
        } else {
            StateMachine::BatchJobs(JobTable::default())
        }
    }

    /// Its state and the quota ledger's as of now, to be read chunk by chunk later on.
    pub fn snapshot_source(&self, quota_ledger: &QuotaLedger) -> Arc<dyn SnapshotSource> {
        match self {
            StateMachine::Control(control) => Arc::new(InMemoryState::new(control.snapshot(), CHUNK_BYTES)),
            StateMachine::BatchJobs(register) => Arc::new(BatchShardSource {
                quota_ledger: quota_ledger.snapshot(),
                register: register.snapshot(),
            }),
        }
    }

    /// Another state, empty, to be built beside this one.
    pub fn restore_begin(&self) -> Restoring {
        match self {
            StateMachine::Control(_) => Restoring::Control(BytesMut::new()),
            StateMachine::BatchJobs(_) => Restoring::BatchJobs(None, Box::default()),
        }
    }
}

impl Restoring {
    /// Takes the next chunk.
    ///
    /// # Errors
    /// Where it cannot be one.
    pub fn take(&mut self, chunk: &Bytes) -> Result<(), RestoreError> {
        match self {
            Restoring::Control(bytes) => bytes.extend_from_slice(chunk),
            Restoring::BatchJobs(quota_ledger @ None, _) => {
                *quota_ledger = Some(QuotaLedger::restore(chunk).map_err(|_| RestoreError::Malformed)?);
            }
            Restoring::BatchJobs(Some(_), register) => {
                register.add_chunk(chunk).map_err(|_| RestoreError::Malformed)?;
            }
        }
        Ok(())
    }

    /// The state that was built, to be put in place of the one in force.
    ///
    /// # Errors
    /// Where the chunks are none of such a state machine's.
    pub fn finish(self) -> Result<(StateMachine, QuotaLedger), RestoreError> {
        match self {
            Restoring::Control(bytes) => {
                let control = Control::restore(&bytes.freeze()).map_err(|_| RestoreError::Malformed)?;
                Ok((StateMachine::Control(control), QuotaLedger::default()))
            }
            Restoring::BatchJobs(quota_ledger, register) => {
                let quota_ledger = quota_ledger.ok_or(RestoreError::Malformed)?;
                let register = register.finish().map_err(|_| RestoreError::Malformed)?;
                Ok((StateMachine::BatchJobs(register), quota_ledger))
            }
        }
    }
}
