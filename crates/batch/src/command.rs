use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;
use quick_error::quick_error;
use rainlug::Time;

use crate::text::{self, StoredText};
use crate::wire::{self, Source};
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

/// An item as it was handed in. Decoded, its body is a slice of the command.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub struct Item {
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, id.as_bytes())"
    )]
    pub id: String,
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, path.as_bytes())"
    )]
    pub path: String,
    #[deku(
        reader = "wire::read_pairs(deku::reader, source)",
        writer = "wire::write_pairs(deku::writer, headers)"
    )]
    pub headers: Vec<(String, String)>,
    #[deku(
        reader = "wire::read_bytes(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, body)"
    )]
    pub body: Bytes,
    /// Tokens of the prompt and the most out, added together.
    pub token_count: u64,
}

/// How an item was listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "endian: Endian", ctx_default = "Endian::Little", endian = "endian")]
pub enum ItemOutcome {
    #[deku(id = 0)]
    Complete,
    #[deku(id = 1)]
    Abandoned,
}

/// A change of the register, or of the ledger beside it. Encoded by `deku`. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub enum Command {
    /// `sent` is when the leader first saw it, `due` when all results are, `retain` when items may be given
    /// up. `most` tokens may wait on the route (0: no limit).
    #[deku(id = 0)]
    Submit {
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, job.as_bytes())"
        )]
        job: String,
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, route.as_bytes())"
        )]
        route: String,
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, host.as_bytes())"
        )]
        host: String,
        submitted_at: Time,
        deadline: Time,
        retain_until: Time,
        max_attempts: u32,
        max_waiting_tokens: u64,
        #[deku(
            reader = "wire::read_list(deku::reader, source)",
            writer = "wire::write_list(deku::writer, items)"
        )]
        items: Vec<Item>,
    },
    /// The next position of the batch job; nothing where the item is listed already or the batch job is not
    /// known.
    #[deku(id = 1)]
    FinishItem {
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, job.as_bytes())"
        )]
        job: String,
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, item.as_bytes())"
        )]
        item: String,
        outcome: ItemOutcome,
        /// Decoded, it is a slice of the command.
        #[deku(reader = "text::read(deku::reader, source)", writer = "text::write(deku::writer, text)")]
        text: StoredText,
    },
    #[deku(id = 2)]
    End {
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, job.as_bytes())"
        )]
        job: String,
        timestamp: Time,
    },
    /// Forgets batch jobs sent before, where all is listed or ended; those sent first, and of many a bounded
    /// number.
    #[deku(id = 3)]
    Forget { before: Time },
    /// Of the ledger: tokens of a batch job of `part`, before it is submitted there. `most` tokens may wait on the route (0: no
    /// limit).
    #[deku(id = 4)]
    Reserve {
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, route.as_bytes())"
        )]
        route: String,
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, job.as_bytes())"
        )]
        job: String,
        shard: u16,
        tokens: u64,
        max_waiting_tokens: u64,
        timestamp: Time,
    },
    /// Of the ledger: all unfinished batch jobs of a route in `part`, as that part's leader reports them, and those that have
    /// finished since its last report.
    #[deku(id = 5)]
    ReportUsage {
        #[deku(
            reader = "wire::read_text(deku::reader, source)",
            writer = "wire::write_bytes(deku::writer, route.as_bytes())"
        )]
        route: String,
        shard: u16,
        number: UsageReportNumber,
        timestamp: Time,
        #[deku(
            reader = "wire::read_list(deku::reader, source)",
            writer = "wire::write_list(deku::writer, usage)"
        )]
        usage: Vec<JobUsage>,
    },
}

impl Command {
    /// The bytes that [`Command::decode`] reads.
    pub fn encode(&self) -> Bytes {
        let about = match self {
            Command::Submit { items, .. } => items.iter().map(|i| 512 + i.body.len()).sum(),
            Command::FinishItem { text, .. } => text.stored().len(),
            Command::ReportUsage { usage, .. } => usage.iter().map(|open| 16 + open.job.len()).sum(),
            Command::End { .. } | Command::Forget { .. } | Command::Reserve { .. } => 0,
        };
        wire::encode(self, 512 + about)
    }

    /// Bodies and texts are slices of the bytes; all else is copied.
    ///
    /// # Errors
    /// Where the bytes are not a command.
    pub fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        wire::decode(bytes).map_err(DecodeError::Command)
    }
}
