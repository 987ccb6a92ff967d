//! A job table as of one moment, encoded chunk by chunk.
//!
//! Chunks are numbered from 0. The first holds a [`Header`], the others [`Record`]s: for each batch job, by id, its header and its
//! items; then for each batch job its outputs. Outputs stand apart because a restored table slices its texts and bodies from the
//! chunks: outputs are kept long, and would keep the memory of bodies that are freed soon.

use std::sync::Arc;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;

use crate::item::{ItemRecord, Output};
use crate::job::{BatchJob, BatchJobHeader};
pub use crate::layout::CHUNK_BYTES;
use crate::layout::{CHUNK_HEADER_LEN, TAG_LEN, group_header_len};
use crate::wire::{self, Source, read_list, read_shared_text, write_list, write_text};

/// The version of this encoding.
pub(crate) const VERSION: u16 = 1;

/// Bytes of [`Record::Header`].
const HEADER_LEN: usize = TAG_LEN + size_of::<u16>() + 4 * size_of::<u64>() + size_of::<u32>();

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) struct Chunk {
    pub number: u32,
    #[deku(reader = "read_list(deku::reader, source)", writer = "write_list(deku::writer, records)")]
    pub records: Vec<Record>,
}

/// What all chunks together hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "_endian: Endian", ctx_default = "Endian::Little", endian = "little")]
pub(crate) struct Header {
    pub version: u16,
    /// With the header's own.
    pub chunks: u32,
    /// Batch jobs accepted so far, forgotten ones too.
    pub accepted_count: u64,
    pub jobs: u64,
    pub items: u64,
    pub outputs: u64,
}

#[derive(DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) enum Record {
    #[deku(id = 0)]
    Header(Header),
    #[deku(id = 1)]
    BatchJob {
        #[deku(ctx = "source")]
        header: BatchJobHeader,
        is_ended: bool,
    },
    /// The next items of a batch job.
    #[deku(id = 2)]
    Items {
        #[deku(reader = "read_shared_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
        job: Arc<str>,
        #[deku(reader = "read_list(deku::reader, source)", writer = "write_list(deku::writer, items)")]
        items: Vec<ItemRecord>,
    },
    /// The next outputs of a batch job.
    #[deku(id = 3)]
    Outputs {
        #[deku(reader = "read_shared_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
        job: Arc<str>,
        #[deku(reader = "read_list(deku::reader, source)", writer = "write_list(deku::writer, outputs)")]
        outputs: Vec<Output>,
    },
}

/// What becomes one record. Indices are those of the batch job, and of the group in it.
#[derive(Clone, Copy)]
enum RecordRef {
    BatchJob(usize),
    Items { job: usize, group: usize },
    Outputs { job: usize, group: usize },
}

/// A job table as it was when this was taken. It shares what has not changed since, and is cheap to take and to clone.
#[derive(Clone)]
pub struct JobTableSnapshot(Arc<Contents>);

struct Contents {
    header: Header,
    /// By id.
    jobs: Vec<Arc<BatchJob>>,
    records: Vec<RecordRef>,
    /// Index of the first record of each chunk behind the header's.
    chunk_starts: Vec<usize>,
    /// Bytes of all chunks.
    encoded_len: u64,
}

impl JobTableSnapshot {
    /// Lays out chunks for batch jobs, which are sorted by id. The cost is in proportion to the batch jobs, not to their contents.
    pub(crate) fn new(accepted_count: u64, jobs: Vec<Arc<BatchJob>>) -> Self {
        let records = records(&jobs);
        let mut chunk_starts = Vec::new();
        let mut chunk_len = 0;
        let mut encoded_len = CHUNK_HEADER_LEN + HEADER_LEN;
        for (index, record) in records.iter().enumerate() {
            let record_len = record.encoded_len(&jobs);
            if chunk_starts.is_empty() || chunk_len + record_len > CHUNK_BYTES {
                chunk_starts.push(index);
                chunk_len = CHUNK_HEADER_LEN;
                encoded_len += CHUNK_HEADER_LEN;
            }
            chunk_len += record_len;
            encoded_len += record_len;
        }
        let header = Header {
            version: VERSION,
            chunks: u32::try_from(1 + chunk_starts.len()).unwrap_or(u32::MAX),
            accepted_count,
            jobs: jobs.len() as u64,
            items: jobs.iter().map(|job| job.items().len() as u64).sum(),
            outputs: jobs.iter().map(|job| job.outputs().len() as u64).sum(),
        };
        let encoded_len = encoded_len as u64;
        JobTableSnapshot(Arc::new(Contents { header, jobs, records, chunk_starts, encoded_len }))
    }

    /// How many chunks there are: one at least.
    pub fn chunk_count(&self) -> usize {
        1 + self.0.chunk_starts.len()
    }

    /// Encodes a chunk, at most [`CHUNK_BYTES`] long unless it is a single item or output; empty where there is none of that number.
    pub fn chunk(&self, number: usize) -> Bytes {
        if number >= self.chunk_count() {
            return Bytes::new();
        }
        let Contents { header, jobs, records, chunk_starts, .. } = &*self.0;
        let records = match number.checked_sub(1) {
            None => vec![Record::Header(*header)],
            Some(index) => {
                let start = chunk_starts[index];
                let end = chunk_starts.get(index + 1).copied().unwrap_or(records.len());
                records[start..end].iter().map(|record| record.to_record(jobs)).collect()
            }
        };
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        wire::encode(&Chunk { number, records }, CHUNK_BYTES)
    }

    /// Bytes of all chunks.
    pub fn encoded_len(&self) -> u64 {
        self.0.encoded_len
    }

    /// How many batch jobs two snapshots share: these are in memory once.
    pub fn shared_job_count(&self, other: &JobTableSnapshot) -> usize {
        self.0.jobs.iter().filter(|job| other.shares(job)).count()
    }

    fn shares(&self, job: &Arc<BatchJob>) -> bool {
        let found = self.0.jobs.binary_search_by(|own| own.id().cmp(job.id()));
        found.is_ok_and(|index| Arc::ptr_eq(&self.0.jobs[index], job))
    }
}

/// All records behind the header, in their order.
fn records(jobs: &[Arc<BatchJob>]) -> Vec<RecordRef> {
    let mut records = Vec::with_capacity(3 * jobs.len());
    for (index, job) in jobs.iter().enumerate() {
        records.push(RecordRef::BatchJob(index));
        records.extend((0..job.item_groups().len()).map(|group| RecordRef::Items { job: index, group }));
    }
    for (index, job) in jobs.iter().enumerate() {
        records.extend((0..job.output_groups().len()).map(|group| RecordRef::Outputs { job: index, group }));
    }
    records
}

impl RecordRef {
    /// Bytes of the record.
    fn encoded_len(self, jobs: &[Arc<BatchJob>]) -> usize {
        match self {
            RecordRef::BatchJob(job) => TAG_LEN + jobs[job].header().encoded_len() + size_of::<bool>(),
            RecordRef::Items { job, group } => {
                group_header_len(jobs[job].id().len()) + jobs[job].item_groups().encoded_len(group)
            }
            RecordRef::Outputs { job, group } => {
                group_header_len(jobs[job].id().len()) + jobs[job].output_groups().encoded_len(group)
            }
        }
    }

    fn to_record(self, jobs: &[Arc<BatchJob>]) -> Record {
        match self {
            RecordRef::BatchJob(job) => {
                let job = &jobs[job];
                Record::BatchJob { header: (**job.header()).clone(), is_ended: job.is_ended() }
            }
            RecordRef::Items { job, group } => {
                let job = &jobs[job];
                let items = &job.items()[job.item_groups().members(group)];
                Record::Items { job: job.id().clone(), items: items.iter().map(ItemRecord::from).collect() }
            }
            RecordRef::Outputs { job, group } => {
                let job = &jobs[job];
                let outputs = job.outputs()[job.output_groups().members(group)].to_vec();
                Record::Outputs { job: job.id().clone(), outputs }
            }
        }
    }
}
