//! The layout of messages: a header, then the contents of entries or a snapshot's chunk.

use bytes::Bytes;
use deku::prelude::*;

use super::member::MemberLayout;
use super::record::{Record, chunk_record_header, decode_record};
use super::{
    check_bounds, concatenate, decode_entry, decode_replica_set, encode_replica_set, to_u32, to_usize,
};
use crate::entry::{Entry, LogPosition};
use crate::message::{
    AppendAccepted, AppendEntries, AppendRejected, Body, Message, SnapshotChunk, SnapshotChunkWanted,
    VoteKind, VoteRequest, VoteResponse,
};
use crate::{DecodeError, Member, MemberId, Term};

/// From whom to whom a message goes.
pub(crate) struct Envelope<'a> {
    /// The receiver.
    pub(crate) to: MemberId,
    /// The sender.
    pub(crate) from: &'a Member,
    /// The sender's term.
    pub(crate) term: Term,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct MessageHeader {
    to: u64,
    from: MemberLayout,
    term: u64,
    body: BodyLayout,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
enum BodyLayout {
    #[deku(id = 1)]
    RequestVote { kind: u8, for_term: u64, last_index: u64, last_term: u64 },
    #[deku(id = 2)]
    Vote { is_pre_vote: u8, for_term: u64, is_granted: u8, committed_index: u64, committed_term: u64 },
    /// The entries' contents follow.
    #[deku(id = 3)]
    AppendEntries {
        read_round: u64,
        prev_index: u64,
        prev_term: u64,
        commit_index: u64,
        count: u16,
        #[deku(count = "count")]
        entries: Vec<EntryHeader>,
    },
    #[deku(id = 4)]
    AppendAccepted { read_round: u64, matched_index: u64, is_replica_set_committed: u8 },
    #[deku(id = 5)]
    AppendRejected { read_round: u64, prev_index: u64, hint_index: u64, hint_term: u64 },
    /// The replica set follows, `replica_set_len` bytes, and then the record of the chunk.
    #[deku(id = 6)]
    InstallSnapshot {
        read_round: u64,
        index: u64,
        term: u64,
        source: u64,
        chunk_count: u32,
        number: u32,
        replica_set_len: u32,
    },
    #[deku(id = 7)]
    SnapshotChunkWanted { read_round: u64, source: u64, number: u32 },
    #[deku(id = 8)]
    TimeoutNow,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct EntryHeader {
    term: u64,
    kind: u8,
    len: u32,
}

impl From<&Entry> for EntryHeader {
    fn from(entry: &Entry) -> Self {
        Self { term: entry.term, kind: entry.kind as u8, len: to_u32(entry.data.len()) }
    }
}

/// The bytes of a message.
pub(crate) fn encode_message(envelope: &Envelope<'_>, body: &Body) -> Bytes {
    let layout = match body {
        Body::RequestVote(request) => BodyLayout::RequestVote {
            kind: encode_vote_kind(request.kind),
            for_term: request.for_term,
            last_index: request.last.index,
            last_term: request.last.term,
        },
        Body::Vote(vote) => BodyLayout::Vote {
            is_pre_vote: u8::from(vote.is_pre_vote),
            for_term: vote.for_term,
            is_granted: u8::from(vote.is_granted),
            committed_index: vote.committed_replica_set.index,
            committed_term: vote.committed_replica_set.term,
        },
        Body::AppendEntries(append) => return encode_append_entries(envelope, append),
        Body::AppendAccepted(accepted) => BodyLayout::AppendAccepted {
            read_round: accepted.read_round,
            matched_index: accepted.matched_index,
            is_replica_set_committed: u8::from(accepted.is_replica_set_committed),
        },
        Body::AppendRejected(rejected) => BodyLayout::AppendRejected {
            read_round: rejected.read_round,
            prev_index: rejected.prev_index,
            hint_index: rejected.hint.index,
            hint_term: rejected.hint.term,
        },
        Body::InstallSnapshot(chunk) => {
            let record = chunk.record.as_deref().unwrap_or_default();
            return encode_install_snapshot(envelope, chunk, &[record]);
        }
        Body::SnapshotChunkWanted(wanted) => BodyLayout::SnapshotChunkWanted {
            read_round: wanted.read_round,
            source: wanted.source,
            number: wanted.number,
        },
        Body::TimeoutNow => BodyLayout::TimeoutNow,
    };
    encode(envelope, layout, &[])
}

fn encode(envelope: &Envelope<'_>, body: BodyLayout, bulk: &[&[u8]]) -> Bytes {
    let header = MessageHeader { to: envelope.to, from: envelope.from.into(), term: envelope.term, body };
    concatenate(header.to_bytes().unwrap_or_default(), bulk)
}

fn encode_append_entries(envelope: &Envelope<'_>, append: &AppendEntries) -> Bytes {
    let body = BodyLayout::AppendEntries {
        read_round: append.read_round,
        prev_index: append.prev.index,
        prev_term: append.prev.term,
        commit_index: append.commit_index,
        count: u16::try_from(append.entries.len()).unwrap_or(u16::MAX),
        entries: append.entries.iter().map(EntryHeader::from).collect(),
    };
    let contents: Vec<&[u8]> = append.entries.iter().map(|entry| &*entry.data).collect();
    encode(envelope, body, &contents)
}

/// The bytes of a message with this chunk of a state. The chunk's record is written straight into the message, so that a chunk is
/// copied once.
pub(crate) fn encode_snapshot_chunk(envelope: &Envelope<'_>, chunk: &SnapshotChunk, state: &[u8]) -> Bytes {
    encode_install_snapshot(envelope, chunk, &[&chunk_record_header(chunk.number), state])
}

fn encode_install_snapshot(envelope: &Envelope<'_>, chunk: &SnapshotChunk, record: &[&[u8]]) -> Bytes {
    let replica_set = encode_replica_set(&[], &chunk.members);
    let body = BodyLayout::InstallSnapshot {
        read_round: chunk.read_round,
        index: chunk.position.index,
        term: chunk.position.term,
        source: chunk.source,
        chunk_count: chunk.chunk_count,
        number: chunk.number,
        replica_set_len: to_u32(replica_set.len()),
    };
    let mut bulk: Vec<&[u8]> = vec![&replica_set];
    bulk.extend(record);
    encode(envelope, body, &bulk)
}

/// Reads a message.
///
/// # Errors
/// Where the bytes are no message, or one that no replica sends.
pub(crate) fn decode_message(bytes: &Bytes) -> Result<Message, DecodeError> {
    let ((rest, _), header) =
        MessageHeader::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed("a message"))?;
    let from = Member::try_from(header.from)?;
    let term = header.term;
    check_bounds(&[term])?;
    let body = decode_body(header.body, term, bytes, rest)?;
    Ok(Message { to: header.to, from, term, body })
}

/// The body of a message of these bytes, which end in `bulk`.
fn decode_body(
    layout: BodyLayout,
    message_term: Term,
    bytes: &Bytes,
    bulk: &[u8],
) -> Result<Body, DecodeError> {
    Ok(match layout {
        BodyLayout::RequestVote { kind, for_term, last_index, last_term } => {
            check_bounds(&[for_term, last_index, last_term])?;
            let last = LogPosition { term: last_term, index: last_index };
            Body::RequestVote(VoteRequest { kind: decode_vote_kind(kind)?, for_term, last })
        }
        BodyLayout::Vote { is_pre_vote, for_term, is_granted, committed_index, committed_term } => {
            check_bounds(&[for_term])?;
            Body::Vote(VoteResponse {
                is_pre_vote: is_pre_vote != 0,
                for_term,
                is_granted: is_granted != 0,
                committed_replica_set: LogPosition { term: committed_term, index: committed_index },
            })
        }
        BodyLayout::AppendEntries { read_round, prev_index, prev_term, commit_index, entries, .. } => {
            check_bounds(&[prev_index, prev_term, commit_index])?;
            let prev = LogPosition { term: prev_term, index: prev_index };
            let entries = decode_entries(prev_term, message_term, &entries, bytes.slice_ref(bulk))?;
            Body::AppendEntries(AppendEntries { read_round, prev, commit_index, entries })
        }
        BodyLayout::AppendAccepted { read_round, matched_index, is_replica_set_committed } => {
            check_bounds(&[matched_index])?;
            let is_replica_set_committed = is_replica_set_committed != 0;
            Body::AppendAccepted(AppendAccepted { read_round, matched_index, is_replica_set_committed })
        }
        BodyLayout::AppendRejected { read_round, prev_index, hint_index, hint_term } => {
            check_bounds(&[prev_index, hint_index, hint_term])?;
            let hint = LogPosition { term: hint_term, index: hint_index };
            Body::AppendRejected(AppendRejected { read_round, prev_index, hint })
        }
        BodyLayout::InstallSnapshot {
            read_round,
            index,
            term,
            source,
            chunk_count,
            number,
            replica_set_len,
        } => {
            check_bounds(&[index, term])?;
            let (replica_set, record) = bulk
                .split_at_checked(to_usize(replica_set_len))
                .ok_or(DecodeError::Malformed("a snapshot's group"))?;
            Body::InstallSnapshot(SnapshotChunk {
                read_round,
                position: LogPosition { term, index },
                members: decode_replica_set(replica_set)?.members,
                source,
                chunk_count,
                number,
                record: check_chunk_record(bytes.slice_ref(record), chunk_count, number)?,
            })
        }
        BodyLayout::SnapshotChunkWanted { read_round, source, number } => {
            Body::SnapshotChunkWanted(SnapshotChunkWanted { read_round, source, number })
        }
        BodyLayout::TimeoutNow => Body::TimeoutNow,
    })
}

fn encode_vote_kind(kind: VoteKind) -> u8 {
    match kind {
        VoteKind::Vote => 0,
        VoteKind::PreVote => 1,
        VoteKind::LeadershipTransfer => 2,
    }
}

fn decode_vote_kind(kind: u8) -> Result<VoteKind, DecodeError> {
    match kind {
        0 => Ok(VoteKind::Vote),
        1 => Ok(VoteKind::PreVote),
        2 => Ok(VoteKind::LeadershipTransfer),
        _ => Err(DecodeError::Malformed("a kind of vote")),
    }
}

/// The entries of a message. Their terms do not fall, and none is newer than the message's.
fn decode_entries(
    prev_term: Term,
    message_term: Term,
    headers: &[EntryHeader],
    mut contents: Bytes,
) -> Result<Vec<Entry>, DecodeError> {
    let mut last_term = prev_term;
    let mut entries = Vec::with_capacity(headers.len());
    for header in headers {
        let len = to_usize(header.len);
        if len > contents.len() || header.term < last_term || header.term > message_term {
            return Err(DecodeError::Malformed("an entry"));
        }
        last_term = header.term;
        // Each with a buffer of its own: one that is kept long must not keep the whole message.
        let data = Bytes::copy_from_slice(&contents.split_to(len));
        entries.push(decode_entry(header.term, header.kind, data)?);
    }
    if !contents.is_empty() {
        return Err(DecodeError::Malformed("the end of the entries"));
    }
    Ok(entries)
}

/// The record of the chunk that a message brings, checked; none where the state is empty and so has no chunks.
fn check_chunk_record(record: Bytes, chunk_count: u32, number: u32) -> Result<Option<Bytes>, DecodeError> {
    if chunk_count == 0 && number == 0 && record.is_empty() {
        return Ok(None);
    }
    match decode_record(&record)? {
        Record::Chunk { number: own, .. } if own == number && number < chunk_count => Ok(Some(record)),
        _ => Err(DecodeError::Malformed("a snapshot's piece")),
    }
}
