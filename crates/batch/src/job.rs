//! A batch job as a [`crate::JobTable`] holds it.
//!
//! A snapshot shares batch jobs with the table, and the next change of one copies it. So that this stays cheap, a copy shares all
//! bulk with the original (requests and texts are reference-counted), and totals are kept up to date instead of summed up. Dropping
//! a request and adding an output keep the [`Groups`] up to date likewise.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;
use rainlug::Time;

use crate::item::{self, ALLOCATION_OVERHEAD, JobItem, Output};
use crate::layout::{Groups, max_group_bytes};
use crate::stored_text::StoredText;
use crate::wire::{COUNT_LEN, Source, read_shared_text, read_text, write_text};
use crate::{Item, ItemOutcome};

/// What of a batch job never changes. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(
    ctx = "_endian: Endian, source: Source<'_>",
    ctx_default = "Endian::Little, Source::default()",
    endian = "little"
)]
pub(crate) struct BatchJobHeader {
    #[deku(reader = "read_shared_text(deku::reader, source)", writer = "write_text(deku::writer, id)")]
    pub id: Arc<str>,
    /// Batch jobs that the table accepted before this one.
    pub number: u64,
    #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, route)")]
    pub route: String,
    #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, host)")]
    pub host: String,
    pub submitted_at: Time,
    pub deadline: Time,
    pub retain_until: Time,
    pub max_attempts: u32,
}

impl BatchJobHeader {
    /// Bytes of its encoding.
    pub(crate) fn encoded_len(&self) -> usize {
        const NUMBERS_LEN: usize = 4 * size_of::<u64>() + size_of::<u32>();
        3 * COUNT_LEN + self.texts_len() + NUMBERS_LEN
    }

    fn texts_len(&self) -> usize {
        self.id.len() + self.route.len() + self.host.len()
    }
}

/// How many items there are, and the bytes of their outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemTotals {
    /// Items that are neither finished nor ended with their batch job.
    pub open: u64,
    /// Items that are finished.
    pub finished: u64,
    /// Bytes of the finished items' outputs, as they are stored.
    pub output_bytes: u64,
}

impl ItemTotals {
    pub(crate) fn add(&mut self, other: ItemTotals) {
        self.open += other.open;
        self.finished += other.finished;
        self.output_bytes += other.output_bytes;
    }

    pub(crate) fn subtract(&mut self, other: ItemTotals) {
        self.open -= other.open;
        self.finished -= other.finished;
        self.output_bytes -= other.output_bytes;
    }
}

/// What a table sums up over its batch jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobTotals {
    /// Bytes of memory, about.
    pub memory_bytes: usize,
    pub items: ItemTotals,
    /// Tokens of items that are open. As `u128`, so that no sum of `u64` overflows.
    pub waiting_tokens: u128,
}

/// A batch job. Items are known by their index in the submission; a position is an index of outputs.
#[derive(Clone, Debug)]
pub(crate) struct BatchJob {
    header: Arc<BatchJobHeader>,
    is_ended: bool,
    items: Vec<JobItem>,
    item_indices: Arc<BTreeMap<Arc<str>, u32>>,
    outputs: Vec<Output>,
    item_groups: Groups,
    output_groups: Groups,
    totals: JobTotals,
}

impl BatchJob {
    /// A batch job without items.
    pub(crate) fn new(header: BatchJobHeader, is_ended: bool) -> Self {
        let memory_bytes = ALLOCATION_OVERHEAD + header.texts_len();
        BatchJob {
            header: Arc::new(header),
            is_ended,
            items: Vec::new(),
            item_indices: Arc::default(),
            outputs: Vec::new(),
            item_groups: Groups::default(),
            output_groups: Groups::default(),
            totals: JobTotals { memory_bytes, ..JobTotals::default() },
        }
    }

    /// A batch job as it is accepted; nothing where two items have the same id.
    pub(crate) fn accepted(header: BatchJobHeader, items: &[Item]) -> Option<Self> {
        let mut job = BatchJob::new(header, false);
        job.items.reserve_exact(items.len());
        for item in items {
            let item = JobItem::open(item.clone());
            let encoded_len = item.encoded_len();
            job.push_item(item)?;
            job.item_groups.push(encoded_len, max_group_bytes(job.header.id.len()));
        }
        Some(job)
    }

    /// Adds the items that a snapshot has as one group; nothing where they do not belong in this batch job or are no group.
    pub(crate) fn restore_items(&mut self, items: Vec<JobItem>) -> Option<()> {
        let count = items.len();
        let encoded_len = items.iter().map(JobItem::encoded_len).sum();
        if count == 0 || count > 1 && encoded_len > max_group_bytes(self.header.id.len()) {
            return None;
        }
        for item in items {
            if self.is_ended && item.request.is_some() {
                return None;
            }
            self.push_item(item)?;
        }
        self.item_groups.push_group(count, encoded_len);
        Some(())
    }

    /// Adds the next output of a snapshot; nothing where its item is missing, still open, or has an output already.
    pub(crate) fn restore_output(&mut self, output: Output) -> Option<()> {
        let item = self.items.get_mut(output.item_index as usize)?;
        if item.is_finished || item.request.is_some() {
            return None;
        }
        item.is_finished = true;
        self.push_output(output);
        Some(())
    }

    /// Whether each item is open, finished, or ended with the batch job. Commands keep it so; a snapshot may not.
    pub(crate) fn is_consistent(&self) -> bool {
        self.is_ended || self.totals.items.open + self.totals.items.finished == self.items.len() as u64
    }

    fn push_item(&mut self, item: JobItem) -> Option<()> {
        let index = u32::try_from(self.items.len()).ok()?;
        // Does not copy: items are only added before the batch job is shared.
        if Arc::make_mut(&mut self.item_indices).insert(item.id.clone(), index).is_some() {
            return None;
        }
        self.totals.memory_bytes += item.memory_bytes();
        if item.request.is_some() {
            self.totals.items.open += 1;
            self.totals.waiting_tokens += u128::from(item.token_count);
        }
        self.items.push(item);
        Some(())
    }

    fn push_output(&mut self, output: Output) {
        let stored_len = output.text.stored().len();
        self.totals.memory_bytes += ALLOCATION_OVERHEAD + stored_len;
        self.totals.items.finished += 1;
        self.totals.items.output_bytes += stored_len as u64;
        self.output_groups.push(output.encoded_len(), max_group_bytes(self.header.id.len()));
        self.outputs.push(output);
    }

    /// Finishes an open item. Returns its output's position, or nothing where the item is not open.
    pub(crate) fn finish_item(
        &mut self,
        index: usize,
        outcome: ItemOutcome,
        text: &StoredText,
    ) -> Option<u64> {
        let output = Output { item_index: u32::try_from(index).ok()?, outcome, text: text.clone() };
        self.drop_request(index)?;
        self.items.get_mut(index)?.is_finished = true;
        let position = self.outputs.len() as u64;
        self.push_output(output);
        Some(position)
    }

    /// Drops all open items' requests; they will have no output.
    pub(crate) fn end(&mut self) {
        for index in 0..self.items.len() {
            let _was_open = self.drop_request(index);
        }
        self.is_ended = true;
    }

    /// Drops the request of an open item; nothing where it is not open.
    fn drop_request(&mut self, index: usize) -> Option<()> {
        let item = self.items.get_mut(index)?;
        let request = item.request.take()?;
        self.totals.items.open -= 1;
        self.totals.waiting_tokens -= u128::from(item.token_count);
        self.totals.memory_bytes -= item::request_memory_bytes(&request);
        self.item_groups.shrink(index, item::request_encoded_len(&request));
        Some(())
    }

    pub(crate) fn header(&self) -> &Arc<BatchJobHeader> {
        &self.header
    }

    pub(crate) fn id(&self) -> &Arc<str> {
        &self.header.id
    }

    pub(crate) fn totals(&self) -> JobTotals {
        self.totals
    }

    /// Whether a client ended it.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Whether no item is open: all are finished, or the batch job ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.totals.items.open == 0
    }

    pub(crate) fn item_index(&self, id: &str) -> Option<usize> {
        self.item_indices.get(id).map(|index| *index as usize)
    }

    /// Whether the item is neither finished nor ended with its batch job.
    pub(crate) fn is_open(&self, index: usize) -> bool {
        self.request(index).is_some()
    }

    /// What an open item asks for.
    pub(crate) fn request(&self, index: usize) -> Option<&Arc<Item>> {
        self.items.get(index)?.request.as_ref()
    }

    /// The body of an open item's request.
    pub(crate) fn body(&self, index: usize) -> Option<Bytes> {
        self.request(index).map(|item| item.body.clone())
    }

    /// In the order of the submission.
    pub(crate) fn items(&self) -> &[JobItem] {
        &self.items
    }

    /// In the order in which items finished.
    pub(crate) fn outputs(&self) -> &[Output] {
        &self.outputs
    }

    pub(crate) fn item_groups(&self) -> &Groups {
        &self.item_groups
    }

    pub(crate) fn output_groups(&self) -> &Groups {
        &self.output_groups
    }
}
