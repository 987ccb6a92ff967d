//! An item of a batch job as a [`crate::JobTable`] holds it, and the output that it finishes with.

use std::sync::Arc;

use bytes::Bytes;
use deku::prelude::*;

use crate::stored_text::{StoredText, read_stored_text, write_stored_text};
use crate::wire::{COUNT_LEN, Source};
use crate::{Item, ItemOutcome};

/// Bytes of memory that an allocation and its entry in a collection take about, besides their contents.
pub(crate) const ALLOCATION_OVERHEAD: usize = 128;

/// An item. Its request is dropped once it is finished or its batch job ended.
#[derive(Clone, Debug)]
pub(crate) struct JobItem {
    pub id: Arc<str>,
    /// Tokens of prompt and output together, at most.
    pub token_count: u64,
    pub is_finished: bool,
    /// Present as long as the item is open.
    pub request: Option<Arc<Item>>,
}

impl JobItem {
    /// An item as it was submitted.
    pub(crate) fn open(item: Item) -> Self {
        let (id, token_count) = (Arc::from(&*item.id), item.token_count);
        JobItem { id, token_count, is_finished: false, request: Some(Arc::new(item)) }
    }

    /// Bytes of its [`ItemRecord`].
    pub(crate) fn encoded_len(&self) -> usize {
        // Whether it is open; the lengths of id and path, the count of headers, the length of the body; the tokens.
        const FIXED_LEN: usize = 1 + 4 * COUNT_LEN + size_of::<u64>();
        FIXED_LEN + self.id.len() + self.request.as_deref().map_or(0, request_encoded_len)
    }

    /// Bytes of memory, about.
    pub(crate) fn memory_bytes(&self) -> usize {
        2 * ALLOCATION_OVERHEAD + 2 * self.id.len() + self.request.as_deref().map_or(0, request_memory_bytes)
    }
}

/// Bytes by which an open item's [`ItemRecord`] is longer than that of one without its request.
pub(crate) fn request_encoded_len(item: &Item) -> usize {
    request_len(item, 2 * COUNT_LEN)
}

/// Bytes of memory, about, that are freed with the request.
pub(crate) fn request_memory_bytes(item: &Item) -> usize {
    request_len(item, ALLOCATION_OVERHEAD)
}

fn request_len(item: &Item, header_overhead: usize) -> usize {
    let headers = item.headers.iter().map(|(name, value)| header_overhead + name.len() + value.len());
    item.path.len() + headers.sum::<usize>() + item.body.len()
}

/// An item as a snapshot has it. One that is not open has only its id and tokens.
#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) struct ItemRecord {
    is_open: bool,
    #[deku(
        reader = "Item::from_reader_with_ctx(deku::reader, source)",
        writer = "item.to_writer(deku::writer, ())"
    )]
    item: Item,
}

impl From<&JobItem> for ItemRecord {
    fn from(item: &JobItem) -> Self {
        let request = item.request.as_deref().cloned();
        ItemRecord {
            is_open: request.is_some(),
            item: request.unwrap_or_else(|| without_request(item.id.to_string(), item.token_count)),
        }
    }
}

impl ItemRecord {
    /// The item; one that is not open counts as finished once its output is restored. Nothing where an item that is not open has
    /// more than its id and tokens.
    pub(crate) fn into_job_item(self) -> Option<JobItem> {
        let ItemRecord { is_open, item } = self;
        if is_open {
            return Some(JobItem::open(item));
        }
        let Item { id, token_count, .. } = &item;
        let job_item =
            JobItem { id: Arc::from(&**id), token_count: *token_count, is_finished: false, request: None };
        (item == without_request(item.id.clone(), item.token_count)).then_some(job_item)
    }
}

fn without_request(id: String, token_count: u64) -> Item {
    Item { id, path: String::new(), headers: Vec::new(), body: Bytes::new(), token_count }
}

/// How an item finished, and its text.
#[derive(Clone, Debug, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) struct Output {
    /// Index of the item in its batch job.
    pub item_index: u32,
    pub outcome: ItemOutcome,
    #[deku(
        reader = "read_stored_text(deku::reader, source)",
        writer = "write_stored_text(deku::writer, text)"
    )]
    pub text: StoredText,
}

impl Output {
    /// Bytes of its encoding.
    pub(crate) fn encoded_len(&self) -> usize {
        const FIXED_LEN: usize = size_of::<u32>() + 1 + COUNT_LEN;
        FIXED_LEN + self.text.stored().len()
    }
}
