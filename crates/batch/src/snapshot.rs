//! A register as of one moment, encoded piece by piece. Pieces are numbered; the first is a header, and the
//! others are made of records: for each batch job its head and its items, then for each its outputs. So what
//! is listed and kept long is not in the same buffers as bodies, which are freed soon.

use std::sync::Arc;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;

use crate::Item;
use crate::job::{BatchJob, BatchJobHeader, Group, Kept, Output};
use crate::wire::{self, COUNT, Source};

/// A piece is no longer, unless it is one item or output alone.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Of this encoding.
pub(crate) const VERSION: u16 = 1;

/// Bytes of a piece besides its records: its number, and their count.
const CHUNK_HEADER: usize = 2 * COUNT;
/// Bytes of a record's tag.
const TAG: usize = 1;
/// Bytes of [`Record::Header`].
const HEADER: usize = TAG + size_of::<u16>() + 4 * size_of::<u64>() + size_of::<u32>();

/// Bytes that items or outputs of a batch job may have together in one piece.
pub(crate) fn run_room(id_len: usize) -> usize {
    CHUNK_BYTES.saturating_sub(CHUNK_HEADER + run_head(id_len))
}

/// Bytes of [`Record::Items`] and of [`Record::Outputs`] besides what they list.
fn run_head(id_len: usize) -> usize {
    TAG + COUNT + id_len + COUNT
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) struct Chunk {
    pub number: u32,
    #[deku(
        reader = "wire::read_list(deku::reader, source)",
        writer = "wire::write_list(deku::writer, records)"
    )]
    pub records: Vec<Record>,
}

/// What all the pieces together hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "_endian: Endian", ctx_default = "Endian::Little", endian = "little")]
pub(crate) struct Header {
    pub version: u16,
    pub chunks: u32,
    /// Batch jobs accepted so far.
    pub accepted: u64,
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
        head: BatchJobHeader,
        is_ended: bool,
    },
    /// The next items of a batch job.
    #[deku(id = 2)]
    Items {
        #[deku(
            reader = "wire::read_shared_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, job.as_bytes())"
        )]
        job: Arc<str>,
        #[deku(
            reader = "wire::read_list(deku::reader, source)",
            writer = "wire::write_list(deku::writer, items)"
        )]
        items: Vec<ItemCode>,
    },
    /// The next outputs of a batch job.
    #[deku(id = 3)]
    Outputs {
        #[deku(
            reader = "wire::read_shared_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, job.as_bytes())"
        )]
        job: Arc<str>,
        #[deku(
            reader = "wire::read_list(deku::reader, source)",
            writer = "wire::write_list(deku::writer, outputs)"
        )]
        outputs: Vec<Output>,
    },
}

/// An item; one that is not open has only its id and tokens.
#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) struct ItemCode {
    is_open: bool,
    #[deku(
        reader = "Item::from_reader_with_ctx(deku::reader, source)",
        writer = "item.to_writer(deku::writer, ())"
    )]
    item: Item,
}

impl From<&Kept> for ItemCode {
    fn from(kept: &Kept) -> Self {
        let item =
            kept.request.as_deref().cloned().unwrap_or_else(|| closed(kept.id.to_string(), kept.token_count));
        ItemCode { is_open: kept.request.is_some(), item }
    }
}

impl ItemCode {
    /// Nothing where it is neither open nor freed.
    pub fn into_kept(self) -> Option<Kept> {
        let ItemCode { is_open, item } = self;
        if is_open {
            return Some(Kept::open(item));
        }
        let Item { id, token_count, .. } = &item;
        let kept = Kept { id: Arc::from(&**id), token_count: *token_count, is_listed: false, request: None };
        (item == closed(item.id.clone(), item.token_count)).then_some(kept)
    }
}

fn closed(id: String, token_count: u64) -> Item {
    Item { id, path: String::new(), headers: Vec::new(), body: Bytes::new(), token_count }
}

/// What becomes one record.
#[derive(Clone, Copy)]
enum Unit {
    BatchJob(usize),
    /// With the place of a group of items.
    Items(usize, usize),
    /// With the place of a group of outputs.
    Outputs(usize, usize),
}

/// A register as it was when this was taken. It shares what did not change since, and costs little to take
/// and to clone.
#[derive(Clone)]
pub struct RegisterSnapshot(Arc<Layout>);

struct Layout {
    header: Header,
    /// By id.
    jobs: Vec<Arc<BatchJob>>,
    units: Vec<Unit>,
    /// The first unit of each piece behind the header's.
    starts: Vec<usize>,
    size: u64,
}

impl RegisterSnapshot {
    /// Its cost is in proportion to the batch jobs, not to their contents.
    pub(crate) fn new(accepted: u64, jobs: Vec<Arc<BatchJob>>) -> Self {
        let units = units(&jobs);
        let mut starts = Vec::new();
        let mut length = 0;
        let mut size = CHUNK_HEADER + HEADER;
        for (at, unit) in units.iter().enumerate() {
            let record = encoded_len(&jobs, *unit);
            if starts.is_empty() || length + record > CHUNK_BYTES {
                starts.push(at);
                length = CHUNK_HEADER;
                size += CHUNK_HEADER;
            }
            length += record;
            size += record;
        }
        let header = Header {
            version: VERSION,
            chunks: u32::try_from(1 + starts.len()).unwrap_or(u32::MAX),
            accepted,
            jobs: jobs.len() as u64,
            items: jobs.iter().map(|job| job.items().len() as u64).sum(),
            outputs: jobs.iter().map(|job| job.outputs().len() as u64).sum(),
        };
        RegisterSnapshot(Arc::new(Layout { header, jobs, units, starts, size: size as u64 }))
    }

    /// One at least.
    pub fn chunks(&self) -> usize {
        1 + self.0.starts.len()
    }

    /// A piece, at most [`PIECE_BYTES`] long unless it is one item or output alone; empty where there is none
    /// of that number.
    pub fn chunk(&self, number: usize) -> Bytes {
        if number >= self.chunks() {
            return Bytes::new();
        }
        let records = match number.checked_sub(1) {
            None => vec![Record::Header(self.0.header)],
            Some(at) => {
                let start = self.0.starts[at];
                let end = self.0.starts.get(at + 1).copied().unwrap_or(self.0.units.len());
                self.0.units[start..end].iter().map(|unit| self.record(*unit)).collect()
            }
        };
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        wire::encode(&Chunk { number, records }, CHUNK_BYTES)
    }

    /// Bytes of all pieces.
    pub fn size(&self) -> u64 {
        self.0.size
    }

    /// Batch jobs that two snapshots hold in common: one copy of them is in memory.
    pub fn shared_jobs(&self, other: &RegisterSnapshot) -> usize {
        self.0.jobs.iter().filter(|job| other.holds(job)).count()
    }

    fn holds(&self, job: &Arc<BatchJob>) -> bool {
        let found = self.0.jobs.binary_search_by(|held| held.head.id.cmp(&job.head.id));
        found.is_ok_and(|at| Arc::ptr_eq(&self.0.jobs[at], job))
    }

    fn record(&self, unit: Unit) -> Record {
        match unit {
            Unit::BatchJob(job) => {
                let job = &self.0.jobs[job];
                Record::BatchJob { head: (*job.head).clone(), is_ended: job.is_ended() }
            }
            Unit::Items(job, group) => {
                let job = &self.0.jobs[job];
                let items = &job.items()[range(job.item_groups(), group)];
                Record::Items { job: job.head.id.clone(), items: items.iter().map(ItemCode::from).collect() }
            }
            Unit::Outputs(job, group) => {
                let job = &self.0.jobs[job];
                let outputs = job.outputs()[range(job.output_groups(), group)].to_vec();
                Record::Outputs { job: job.head.id.clone(), outputs }
            }
        }
    }
}

fn units(jobs: &[Arc<BatchJob>]) -> Vec<Unit> {
    let mut units = Vec::with_capacity(3 * jobs.len());
    for (at, job) in jobs.iter().enumerate() {
        units.push(Unit::BatchJob(at));
        units.extend((0..job.item_groups().len()).map(|group| Unit::Items(at, group)));
    }
    for (at, job) in jobs.iter().enumerate() {
        units.extend((0..job.output_groups().len()).map(|group| Unit::Outputs(at, group)));
    }
    units
}

fn encoded_len(jobs: &[Arc<BatchJob>], unit: Unit) -> usize {
    match unit {
        Unit::BatchJob(job) => TAG + jobs[job].head.encoded_len() + size_of::<bool>(),
        Unit::Items(job, group) => {
            run_head(jobs[job].head.id.len()) + jobs[job].item_groups()[group].encoded_len
        }
        Unit::Outputs(job, group) => {
            run_head(jobs[job].head.id.len()) + jobs[job].output_groups()[group].encoded_len
        }
    }
}

fn range(groups: &[Group], group: usize) -> std::ops::Range<usize> {
    let start = group.checked_sub(1).map_or(0, |before| groups[before].end);
    start..groups[group].end
}
