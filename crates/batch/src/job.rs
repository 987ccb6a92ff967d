//! A batch job as it is kept. A copy of one shares all bulk with the original, and sums over its contents are
//! kept with it, so nothing is done here in proportion to bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;
use rainlug::Time;

use crate::snapshot;
use crate::text::{self, StoredText};
use crate::wire::{self, COUNT, Source};
use crate::{Item, State, Totals};

/// Bytes of memory that a batch job, an item or an output has about, besides its texts.
const OVERHEAD: usize = 128;

/// What of a batch job never changes.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(
    ctx = "_endian: Endian, source: Source<'_>",
    ctx_default = "Endian::Little, Source::default()",
    endian = "little"
)]
pub(crate) struct BatchJobHeader {
    #[deku(
        reader = "wire::read_shared_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, id.as_bytes())"
    )]
    pub id: Arc<str>,
    /// Batch jobs accepted before this one.
    pub number: u64,
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, route.as_bytes())"
    )]
    pub route: String,
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, host.as_bytes())"
    )]
    pub host: String,
    pub sent: Time,
    pub due: Time,
    pub retain: Time,
    pub max_tries: u32,
}

impl BatchJobHeader {
    /// Bytes of its encoding.
    pub fn encoded_len(&self) -> usize {
        const NUMBERS: usize = 4 * size_of::<u64>() + size_of::<u32>();
        3 * COUNT + self.id.len() + self.route.len() + self.host.len() + NUMBERS
    }
}

/// An item; once it is listed or its batch job ended, its request is gone.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub id: Arc<str>,
    pub token_count: u64,
    pub is_listed: bool,
    /// There as long as the item is open.
    pub request: Option<Arc<Item>>,
}

impl Kept {
    pub fn open(item: Item) -> Self {
        let (id, token_count) = (Arc::from(&*item.id), item.token_count);
        Kept { id, token_count, is_listed: false, request: Some(Arc::new(item)) }
    }

    /// Bytes of its encoding by [`crate::snapshot::ItemCode`].
    pub fn encoded_len(&self) -> usize {
        const FIXED: usize = 1 + 4 * COUNT + size_of::<u64>();
        FIXED + self.id.len() + self.request.as_deref().map_or(0, request_encoded_len)
    }

    /// Bytes of memory, about.
    fn size(&self) -> usize {
        2 * OVERHEAD + 2 * self.id.len() + self.request.as_deref().map_or(0, request_size)
    }
}

fn request_encoded_len(item: &Item) -> usize {
    let headers: usize = item.headers.iter().map(|(name, value)| 2 * COUNT + name.len() + value.len()).sum();
    item.path.len() + headers + item.body.len()
}

fn request_size(item: &Item) -> usize {
    let headers: usize = item.headers.iter().map(|(name, value)| OVERHEAD + name.len() + value.len()).sum();
    item.path.len() + headers + item.body.len()
}

/// A listed item's state and text.
#[derive(Clone, Debug, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub(crate) struct Output {
    pub place: u32,
    pub state: State,
    #[deku(reader = "text::read(deku::reader, source)", writer = "text::write(deku::writer, text)")]
    pub text: StoredText,
}

impl Output {
    /// Bytes of its encoding.
    pub fn encoded_len(&self) -> usize {
        const FIXED: usize = size_of::<u32>() + 1 + COUNT;
        FIXED + self.text.stored().len()
    }
}

/// Items or outputs that follow each other and go into the same piece of a snapshot. Kept as they come, so
/// that a snapshot is laid out without a look at each item and output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Group {
    /// Behind the last one.
    pub end: usize,
    /// Of all their encodings.
    pub encoded_len: usize,
}

/// The contents of a batch job that a register keeps sums of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sums {
    /// Bytes of memory, about.
    pub size: usize,
    pub totals: Totals,
    /// Tokens of items that are open. As `u128`, so that no sum of `u64` is too large.
    pub waiting: u128,
}

#[derive(Clone, Debug)]
pub(crate) struct BatchJob {
    pub head: Arc<BatchJobHeader>,
    is_ended: bool,
    items: Vec<Kept>,
    /// Where in `items` an item stands.
    places: Arc<BTreeMap<Arc<str>, u32>>,
    outputs: Vec<Output>,
    item_groups: Vec<Group>,
    output_groups: Vec<Group>,
    sums: Sums,
}

impl BatchJob {
    /// One without items.
    pub fn new(head: BatchJobHeader, is_ended: bool) -> Self {
        let size = OVERHEAD + head.id.len() + head.route.len() + head.host.len();
        BatchJob {
            head: Arc::new(head),
            is_ended,
            items: Vec::new(),
            places: Arc::default(),
            outputs: Vec::new(),
            item_groups: Vec::new(),
            output_groups: Vec::new(),
            sums: Sums { size, ..Sums::default() },
        }
    }

    /// One that is accepted with these items; nothing where one stands there twice.
    pub fn accepted(head: BatchJobHeader, items: &[Item]) -> Option<Self> {
        let mut job = BatchJob::new(head, false);
        job.items.reserve_exact(items.len());
        for item in items {
            let kept = Kept::open(item.clone());
            let encoded_len = kept.encoded_len();
            job.push_item(kept)?;
            add_to_groups(&mut job.item_groups, encoded_len, job.head.id.len());
        }
        Some(job)
    }

    /// The items that a snapshot has as one group; nothing where they do not belong in this batch job or are
    /// no group.
    pub fn restore_items(&mut self, items: Vec<Kept>) -> Option<()> {
        let encoded_len = items.iter().map(Kept::encoded_len).sum();
        if items.is_empty() || items.len() > 1 && encoded_len > snapshot::run_room(self.head.id.len()) {
            return None;
        }
        for kept in items {
            if self.is_ended && kept.request.is_some() {
                return None;
            }
            self.push_item(kept)?;
        }
        self.item_groups.push(Group { end: self.items.len(), encoded_len });
        Some(())
    }

    /// The next output as a snapshot has it; nothing where its item is not there, still open or listed
    /// before.
    pub fn restore_output(&mut self, output: Output) -> Option<()> {
        let kept = self.items.get_mut(output.place as usize)?;
        if kept.is_listed || kept.request.is_some() {
            return None;
        }
        kept.is_listed = true;
        self.push_output(output);
        Some(())
    }

    /// Whether all items are open, listed, or ended with the batch job. For one that is restored.
    pub fn is_whole(&self) -> bool {
        self.is_ended || self.sums.totals.open + self.sums.totals.listed == self.items.len() as u64
    }

    fn push_item(&mut self, kept: Kept) -> Option<()> {
        let place = u32::try_from(self.items.len()).ok()?;
        // The only place where it is changed, before any copy is made.
        if Arc::make_mut(&mut self.places).insert(kept.id.clone(), place).is_some() {
            return None;
        }
        self.sums.size += kept.size();
        if kept.request.is_some() {
            self.sums.totals.open += 1;
            self.sums.waiting += u128::from(kept.token_count);
        }
        self.items.push(kept);
        Some(())
    }

    fn push_output(&mut self, output: Output) {
        let stored = output.text.stored().len();
        self.sums.size += OVERHEAD + stored;
        self.sums.totals.listed += 1;
        self.sums.totals.output_bytes += stored as u64;
        add_to_groups(&mut self.output_groups, output.encoded_len(), self.head.id.len());
        self.outputs.push(output);
    }

    /// Lists an open item; its position, or nothing where it is not open.
    pub fn list(&mut self, place: usize, state: State, text: &StoredText) -> Option<u64> {
        let output = Output { place: u32::try_from(place).ok()?, state, text: text.clone() };
        self.free(place)?;
        self.items.get_mut(place)?.is_listed = true;
        let position = self.outputs.len() as u64;
        self.push_output(output);
        Some(position)
    }

    /// Gives up all open items.
    pub fn end(&mut self) {
        for place in 0..self.items.len() {
            let _was_open = self.free(place);
        }
        self.is_ended = true;
    }

    /// Frees the request of an open item.
    fn free(&mut self, place: usize) -> Option<()> {
        let kept = self.items.get_mut(place)?;
        let request = kept.request.take()?;
        self.sums.totals.open -= 1;
        self.sums.waiting -= u128::from(kept.token_count);
        self.sums.size -= request_size(&request);
        let group = self.item_groups.partition_point(|group| group.end <= place);
        self.item_groups.get_mut(group)?.encoded_len -= request_encoded_len(&request);
        Some(())
    }

    pub fn sums(&self) -> Sums {
        self.sums
    }

    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Whether nothing of it is to come.
    pub fn is_closed(&self) -> bool {
        self.sums.totals.open == 0
    }

    pub fn place(&self, item: &str) -> Option<usize> {
        self.places.get(item).map(|place| *place as usize)
    }

    /// Whether the item is still to be listed.
    pub fn is_open(&self, place: usize) -> bool {
        self.request(place).is_some()
    }

    /// What an open item asks for.
    pub fn request(&self, place: usize) -> Option<&Arc<Item>> {
        self.items.get(place)?.request.as_ref()
    }

    pub fn body(&self, place: usize) -> Option<Bytes> {
        self.request(place).map(|item| item.body.clone())
    }

    pub fn items(&self) -> &[Kept] {
        &self.items
    }

    pub fn outputs(&self) -> &[Output] {
        &self.outputs
    }

    pub fn item_groups(&self) -> &[Group] {
        &self.item_groups
    }

    pub fn output_groups(&self) -> &[Group] {
        &self.output_groups
    }
}

/// The next one joins the last group where there is room for it.
fn add_to_groups(groups: &mut Vec<Group>, encoded_len: usize, id_len: usize) {
    let end = groups.last().map_or(0, |group| group.end) + 1;
    match groups.last_mut() {
        Some(group) if group.encoded_len + encoded_len <= snapshot::run_room(id_len) => {
            group.end = end;
            group.encoded_len += encoded_len;
        }
        _ => groups.push(Group { end, encoded_len }),
    }
}
