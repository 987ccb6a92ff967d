//! A register is made from the pieces of a snapshot, one by one.

use std::sync::Arc;

use bytes::Bytes;

use crate::job::{BatchJob, BatchJobHeader, Kept, Output};
use crate::snapshot::{Chunk, Header, ItemCode, Record, VERSION};
use crate::{DecodeError, Register, wire};

/// Takes the pieces of a [`crate::RegisterSnapshot`] in their order. Bodies and texts stay slices of their
/// pieces. After an error no more pieces are taken.
#[derive(Default)]
pub struct RegisterRestore {
    stage: Stage,
    register: Register,
    header: Option<Header>,
    /// Pieces taken.
    chunks: u32,
    items: u64,
    outputs: u64,
}

/// What may come next.
#[derive(Default)]
enum Stage {
    #[default]
    Header,
    /// Batch jobs in their order, each with its items.
    BatchJobs,
    /// Outputs of the last batch job that had some, or of a later one.
    Outputs(Arc<str>),
    Failed,
}

impl RegisterRestore {
    /// The work is bounded by the piece.
    ///
    /// # Errors
    /// Where it is not the next piece of a snapshot.
    pub fn take(&mut self, chunk: &Bytes) -> Result<(), DecodeError> {
        let taken = self.take_records(chunk);
        if taken.is_err() {
            self.stage = Stage::Failed;
        }
        taken
    }

    fn take_records(&mut self, chunk: &Bytes) -> Result<(), DecodeError> {
        let Chunk { number, records } = wire::decode(chunk).map_err(|e| malformed(&e))?;
        if number != self.chunks || self.header.is_some_and(|header| number >= header.chunks) {
            return Err(malformed(&format!("piece {number}, not {}", self.chunks)));
        }
        self.chunks += 1;
        if records.is_empty() || number == 0 && records.len() > 1 {
            return Err(malformed(&format!("{} records in piece {number}", records.len())));
        }
        records.into_iter().try_for_each(|record| self.take_record(record))
    }

    fn take_record(&mut self, record: Record) -> Result<(), DecodeError> {
        match record {
            Record::Header(header) => self.take_header(header),
            Record::BatchJob { head, is_ended } => self.take_job(head, is_ended),
            Record::Items { job, items } => self.take_items(&job, items),
            Record::Outputs { job, outputs } => self.take_outputs(job, outputs),
        }
    }

    fn take_header(&mut self, header: Header) -> Result<(), DecodeError> {
        if !matches!(self.stage, Stage::Header) || header.version != VERSION {
            return Err(malformed(&"a header"));
        }
        self.register.accepted = header.accepted;
        self.header = Some(header);
        self.stage = Stage::BatchJobs;
        Ok(())
    }

    fn take_job(&mut self, head: BatchJobHeader, is_ended: bool) -> Result<(), DecodeError> {
        let is_in_order = self.register.jobs.last_key_value().is_none_or(|(last, _)| *last < head.id);
        if !matches!(self.stage, Stage::BatchJobs) || !is_in_order || head.number >= self.register.accepted {
            return Err(malformed(&"a batch job that cannot be"));
        }
        self.register.insert(BatchJob::new(head, is_ended));
        Ok(())
    }

    fn take_items(&mut self, id: &str, items: Vec<ItemCode>) -> Result<(), DecodeError> {
        let is_last = self.register.jobs.last_key_value().is_some_and(|(last, _)| **last == *id);
        if !matches!(self.stage, Stage::BatchJobs) || !is_last {
            return Err(malformed(&"items without their batch job"));
        }
        self.items += items.len() as u64;
        let kept: Option<Vec<Kept>> = items.into_iter().map(ItemCode::into_kept).collect();
        let restored = kept.and_then(|kept| self.register.change(id, |job| job.restore_items(kept))?);
        restored.ok_or_else(|| malformed(&"items that cannot be"))
    }

    fn take_outputs(&mut self, id: Arc<str>, outputs: Vec<Output>) -> Result<(), DecodeError> {
        let is_in_order = match &self.stage {
            Stage::BatchJobs => true,
            Stage::Outputs(last) => *last <= id,
            Stage::Header | Stage::Failed => false,
        };
        if !is_in_order || outputs.is_empty() {
            return Err(malformed(&"outputs out of their order"));
        }
        self.outputs += outputs.len() as u64;
        let restored = self
            .register
            .change(&id, |job| outputs.into_iter().try_for_each(|output| job.restore_output(output)));
        self.stage = Stage::Outputs(id);
        restored.flatten().ok_or_else(|| malformed(&"outputs that cannot be"))
    }

    /// The register, once all pieces are taken.
    ///
    /// # Errors
    /// Where pieces are missing, or they do not make a register together.
    pub fn finish(mut self) -> Result<Register, DecodeError> {
        let header = self.header.ok_or_else(|| malformed(&"no header"))?;
        let found = Header {
            chunks: self.chunks,
            jobs: self.register.jobs.len() as u64,
            items: self.items,
            outputs: self.outputs,
            ..header
        };
        if matches!(self.stage, Stage::Failed) || found != header {
            return Err(malformed(&"pieces are missing"));
        }
        if !self.register.jobs.values().all(|job| job.is_whole()) {
            return Err(malformed(&"an item that is neither open nor listed"));
        }
        self.register.index_closed();
        Ok(self.register)
    }
}

fn malformed(what: &dyn std::fmt::Display) -> DecodeError {
    DecodeError::Malformed(format!("snapshot: {what}"))
}
