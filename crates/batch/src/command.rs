//! Commands of a shard's log. They change its [`JobTable`](crate::JobTable) or the [`QuotaLedger`](crate::QuotaLedger) beside it.
//!
//! Their encoding is replicated and stored, so it stays as it is; tests pin it.

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;
use quick_error::quick_error;
use rainlug::Time;

use crate::stored_text::{StoredText, read_stored_text, write_stored_text};
use crate::wire::{
    self, Source, read_bytes, read_list, read_text, read_text_pairs, write_bytes, write_list, write_text,
    write_text_pairs,
};
use crate::{JobUsage, UsageReportNumber};

quick_error! {
    /// Why bytes could not be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are not one [`Command`].
        Command(cause: DekuError) { display("malformed command: {}", cause) }
        /// The bytes are not a snapshot of a [`QuotaLedger`](crate::QuotaLedger).
        QuotaLedger(cause: DekuError) { display("malformed quota ledger: {}", cause) }
    }
}

/// An item as it was submitted: a request to a worker. Decoded, its body is a slice of the command.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub struct Item {
    /// Distinct within the batch job.
    #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, id)")]
    pub id: String,
    /// The request's path, with its query.
    #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, path)")]
    pub path: String,
    /// The request's header fields: name, value.
    #[deku(
        reader = "read_text_pairs(deku::reader, source)",
        writer = "write_text_pairs(deku::writer, headers)"
    )]
    pub headers: Vec<(String, String)>,
    /// The request's body.
    #[deku(reader = "read_bytes(deku::reader, source)", writer = "write_bytes(deku::writer, body)")]
    pub body: Bytes,
    /// Tokens of the prompt and of the longest possible output together.
    pub token_count: u64,
}

/// How an item finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "endian: Endian", ctx_default = "Endian::Little", endian = "endian")]
pub enum ItemOutcome {
    /// A worker's answer is its output.
    #[deku(id = 0)]
    Complete,
    /// It was given up: its attempts or its time ran out, or it can never succeed. Its output is empty.
    #[deku(id = 1)]
    Abandoned,
}

/// A change of the job table, or of the quota ledger. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub enum Command {
    /// Accepts a batch job.
    #[deku(id = 0)]
    Submit {
        /// The batch job's id.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
        job: String,
        /// The name of its route.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, route)")]
        route: String,
        /// The `Host` of its requests to workers.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, host)")]
        host: String,
        /// When the leader first saw it.
        submitted_at: Time,
        /// When all outputs are to be there; the schedule's order.
        deadline: Time,
        /// When items that are not finished are abandoned.
        retain_until: Time,
        /// Failed runs after which an item is abandoned.
        max_attempts: u32,
        /// Tokens that may wait on the route in this shard's table, with this batch job's (0: no limit).
        max_waiting_tokens: u64,
        /// The items, with distinct ids.
        #[deku(reader = "read_list(deku::reader, source)", writer = "write_list(deku::writer, items)")]
        items: Vec<Item>,
    },
    /// Finishes an item: its output gets the next position of the batch job. Changes nothing where the item is not open.
    #[deku(id = 1)]
    FinishItem {
        /// The batch job's id.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
        job: String,
        /// The item's id.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, item)")]
        item: String,
        /// How it finished.
        outcome: ItemOutcome,
        /// The output's text. Decoded, it is a slice of the command.
        #[deku(
            reader = "read_stored_text(deku::reader, source)",
            writer = "write_stored_text(deku::writer, text)"
        )]
        text: StoredText,
    },
    /// Ends a batch job: its open items will have no output.
    #[deku(id = 2)]
    End {
        /// The batch job's id.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
        job: String,
        /// When the leader proposed it.
        timestamp: Time,
    },
    /// Forgets batch jobs without open items, a bounded number of them, earliest first.
    #[deku(id = 3)]
    Forget {
        /// Only batch jobs that were submitted before this time.
        before: Time,
    },
    /// Of the quota ledger: reserves a batch job's tokens before it is submitted to its shard.
    #[deku(id = 4)]
    Reserve {
        /// The name of the batch job's route.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, route)")]
        route: String,
        /// The batch job's id.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
        job: String,
        /// The batch job's shard.
        shard: u16,
        /// Tokens of all its items.
        tokens: u64,
        /// Tokens that may be reserved on the route, with these (0: no limit).
        max_waiting_tokens: u64,
        /// When the ledger's leader proposed it.
        timestamp: Time,
    },
    /// Of the quota ledger: a shard's leader reports its batch jobs of a route.
    #[deku(id = 5)]
    ReportUsage {
        /// The route's name.
        #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, route)")]
        route: String,
        /// The shard.
        shard: u16,
        /// The report's place among those of the shard.
        number: UsageReportNumber,
        /// When the ledger's leader proposed it.
        timestamp: Time,
        /// All batch jobs of the route with open items in the shard, and those without that were not reported as such before.
        #[deku(reader = "read_list(deku::reader, source)", writer = "write_list(deku::writer, usage)")]
        usage: Vec<JobUsage>,
    },
}

impl Command {
    /// The bytes that [`Command::decode`] reads.
    pub fn encode(&self) -> Bytes {
        /// Bytes of a command or item besides bodies and texts, generously.
        const CAPACITY: usize = 512;
        let contents = match self {
            Command::Submit { items, .. } => items.iter().map(|item| CAPACITY + item.body.len()).sum(),
            Command::FinishItem { text, .. } => text.stored().len(),
            Command::ReportUsage { usage, .. } => usage.iter().map(|usage| 16 + usage.job.len()).sum(),
            Command::End { .. } | Command::Forget { .. } | Command::Reserve { .. } => 0,
        };
        wire::encode(self, CAPACITY + contents)
    }

    /// Decodes a command. Bodies and texts are slices of the bytes; all else is copied.
    ///
    /// # Errors
    /// Where the bytes are not one command.
    pub fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        wire::decode(bytes).map_err(DecodeError::Command)
    }
}
