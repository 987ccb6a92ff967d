//! Builds a job table from the chunks of a snapshot, one by one.
//!
//! Chunks come from another process. Whatever their bytes are, the result is an error or a job table that commands could have made:
//! every index, order and sum is checked.

use std::sync::Arc;

use bytes::Bytes;
use deku::DekuError;
use quick_error::quick_error;

use crate::item::{ItemRecord, JobItem, Output};
use crate::job::{BatchJob, BatchJobHeader};
use crate::snapshot::{Chunk, Header, Record, VERSION};
use crate::{JobTable, wire};

quick_error! {
    /// Why a job table cannot be restored from chunks.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// The bytes are not a chunk.
        Chunk(cause: DekuError) { display("snapshot: {}", cause) }
        /// Not the next chunk, or one more than the header promised.
        ChunkNumber(found: u32, expected: u32) { display("snapshot: chunk {}, not {}", found, expected) }
        /// A chunk without records, or a first one with more than the header.
        RecordCount(number: u32, count: usize) { display("snapshot: {} records in chunk {}", count, number) }
        /// A header of another version, or not at the start.
        Header { display("snapshot: a header") }
        /// A batch job out of order, or with a number that was never given.
        Job { display("snapshot: a batch job that cannot be") }
        /// Items that do not follow their batch job.
        ItemsWithoutJob { display("snapshot: items without their batch job") }
        /// Items that their batch job cannot have.
        Items { display("snapshot: items that cannot be") }
        /// Outputs out of order.
        OutputOrder { display("snapshot: outputs out of their order") }
        /// Outputs that their batch job cannot have.
        Outputs { display("snapshot: outputs that cannot be") }
        /// No chunk was added.
        NoHeader { display("snapshot: no header") }
        /// Fewer chunks, batch jobs, items or outputs than the header promised, or an error before.
        Incomplete { display("snapshot: chunks are missing") }
        /// An item without request and output, in a batch job that is not ended.
        ItemWithoutOutput { display("snapshot: an item that is neither open nor finished") }
    }
}

/// Takes the chunks of a [`crate::JobTableSnapshot`] in their order. Bodies and texts stay slices of their chunks, so nothing large is
/// copied. After an error all further chunks are rejected.
#[derive(Default)]
pub struct JobTableRestore {
    stage: Stage,
    table: JobTable,
    header: Option<Header>,
    /// Chunks, items and outputs added so far.
    chunks: u32,
    items: u64,
    outputs: u64,
}

/// Which records may come next.
#[derive(Default)]
enum Stage {
    #[default]
    Header,
    /// Batch jobs by id, each followed by its items.
    BatchJobs,
    /// Outputs of the last batch job that had some (its id), or of a later one.
    Outputs(Arc<str>),
    Failed,
}

impl JobTableRestore {
    /// Adds the next chunk. The work is bounded by the chunk's length.
    ///
    /// # Errors
    /// Where it is not the next chunk of a snapshot.
    pub fn add_chunk(&mut self, chunk: &Bytes) -> Result<(), RestoreError> {
        let added = self.add_records(chunk);
        if added.is_err() {
            self.stage = Stage::Failed;
        }
        added
    }

    fn add_records(&mut self, chunk: &Bytes) -> Result<(), RestoreError> {
        let Chunk { number, records } = wire::decode(chunk).map_err(RestoreError::Chunk)?;
        if number != self.chunks || self.header.is_some_and(|header| number >= header.chunks) {
            return Err(RestoreError::ChunkNumber(number, self.chunks));
        }
        self.chunks += 1;
        if records.is_empty() || number == 0 && records.len() > 1 {
            return Err(RestoreError::RecordCount(number, records.len()));
        }
        records.into_iter().try_for_each(|record| self.add_record(record))
    }

    fn add_record(&mut self, record: Record) -> Result<(), RestoreError> {
        match record {
            Record::Header(header) => self.add_header(header),
            Record::BatchJob { header, is_ended } => self.add_job(header, is_ended),
            Record::Items { job, items } => self.add_items(&job, items),
            Record::Outputs { job, outputs } => self.add_outputs(job, outputs),
        }
    }

    fn add_header(&mut self, header: Header) -> Result<(), RestoreError> {
        if !matches!(self.stage, Stage::Header) || header.version != VERSION {
            return Err(RestoreError::Header);
        }
        self.table.accepted_count = header.accepted_count;
        self.header = Some(header);
        self.stage = Stage::BatchJobs;
        Ok(())
    }

    fn add_job(&mut self, header: BatchJobHeader, is_ended: bool) -> Result<(), RestoreError> {
        let is_in_order = self.table.jobs.last_key_value().is_none_or(|(last, _)| *last < header.id);
        let is_numbered = header.number < self.table.accepted_count;
        if !matches!(self.stage, Stage::BatchJobs) || !is_in_order || !is_numbered {
            return Err(RestoreError::Job);
        }
        self.table.insert(BatchJob::new(header, is_ended));
        Ok(())
    }

    fn add_items(&mut self, id: &str, items: Vec<ItemRecord>) -> Result<(), RestoreError> {
        let is_last = self.table.jobs.last_key_value().is_some_and(|(last, _)| **last == *id);
        if !matches!(self.stage, Stage::BatchJobs) || !is_last {
            return Err(RestoreError::ItemsWithoutJob);
        }
        self.items += items.len() as u64;
        let items: Option<Vec<JobItem>> = items.into_iter().map(ItemRecord::into_job_item).collect();
        let restored = items.and_then(|items| self.table.update(id, |job| job.restore_items(items))?);
        restored.ok_or(RestoreError::Items)
    }

    fn add_outputs(&mut self, id: Arc<str>, outputs: Vec<Output>) -> Result<(), RestoreError> {
        let is_in_order = match &self.stage {
            Stage::BatchJobs => true,
            Stage::Outputs(last) => *last <= id,
            Stage::Header | Stage::Failed => false,
        };
        if !is_in_order || outputs.is_empty() {
            return Err(RestoreError::OutputOrder);
        }
        self.outputs += outputs.len() as u64;
        let restored = self
            .table
            .update(&id, |job| outputs.into_iter().try_for_each(|output| job.restore_output(output)));
        self.stage = Stage::Outputs(id);
        restored.flatten().ok_or(RestoreError::Outputs)
    }

    /// The job table, once all chunks are added.
    ///
    /// # Errors
    /// Where chunks are missing, or do not make a job table together.
    pub fn finish(mut self) -> Result<JobTable, RestoreError> {
        let header = self.header.ok_or(RestoreError::NoHeader)?;
        let found = Header {
            chunks: self.chunks,
            jobs: self.table.jobs.len() as u64,
            items: self.items,
            outputs: self.outputs,
            ..header
        };
        if matches!(self.stage, Stage::Failed) || found != header {
            return Err(RestoreError::Incomplete);
        }
        if !self.table.jobs.values().all(|job| job.is_consistent()) {
            return Err(RestoreError::ItemWithoutOutput);
        }
        self.table.rebuild_closed_index();
        Ok(self.table)
    }
}
