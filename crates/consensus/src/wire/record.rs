//! The layout of records on the disk.

use bytes::Bytes;
use deku::prelude::*;

use super::{
    check_bounds, concatenate, decode_entry, decode_replica_set, encode_replica_set, to_u32, to_usize,
};
use crate::entry::{Entry, LogPosition};
use crate::{DecodeError, Index, Member, MemberId, Term};

/// Bytes of a chunk's record before the chunk.
pub(crate) const CHUNK_RECORD_HEADER_BYTES: usize = 1 + 4;
/// Bytes of an entry's record before its content.
pub(crate) const ENTRY_RECORD_HEADER_BYTES: usize = 1 + 8 + 8 + 1;

/// Id 3 was that of a snapshot in one record; such a record cannot be read any more.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
enum RecordHeader {
    #[deku(id = 1)]
    HardState { term: u64, has_voted: u8, voted_for: u64 },
    /// The content follows.
    #[deku(id = 2)]
    Entry { index: u64, term: u64, kind: u8 },
    #[deku(id = 4)]
    MembershipCommitted { index: u64 },
    /// The replica set follows.
    #[deku(id = 5)]
    Snapshot { index: u64, term: u64, chunk_count: u32, replica_set_len: u32 },
    /// The chunk follows.
    #[deku(id = 6)]
    Chunk { number: u32 },
    #[deku(id = 7)]
    VoteFloor { term: u64, index: u64 },
}

/// A record of a replica on its disk.
pub(crate) enum Record {
    /// Term and vote (Raft 3.8).
    HardState {
        /// The newest term that the member knows.
        term: Term,
        /// Whom it voted for in that term.
        voted_for: Option<MemberId>,
    },
    /// An entry; it replaces those of its index and after.
    Entry {
        /// Its index.
        index: Index,
        /// The entry.
        entry: Entry,
    },
    /// The beginning of a snapshot; the records of its chunks follow at once.
    Snapshot {
        /// The last entry that it covers.
        position: LogPosition,
        /// The replica set as of that entry.
        members: Vec<Member>,
        /// How many chunks follow.
        chunk_count: u32,
    },
    /// A chunk of a snapshot.
    Chunk {
        /// Which one, from 0.
        number: u32,
        /// The chunk.
        chunk: Bytes,
    },
    /// The replica set entry at this index is committed.
    MembershipCommitted {
        /// The entry's index.
        index: Index,
    },
    /// The end of a log that this member dropped: it votes for no log that ends before.
    VoteFloor(LogPosition),
}

fn encode(header: &RecordHeader, bulk: &[&[u8]]) -> Bytes {
    concatenate(header.to_bytes().unwrap_or_default(), bulk)
}

/// The record of term and vote.
pub(crate) fn hard_state_record(term: Term, voted_for: Option<MemberId>) -> Bytes {
    let header = RecordHeader::HardState {
        term,
        has_voted: u8::from(voted_for.is_some()),
        voted_for: voted_for.unwrap_or_default(),
    };
    encode(&header, &[])
}

/// The record of an entry.
pub(crate) fn entry_record(index: Index, entry: &Entry) -> Bytes {
    encode(&RecordHeader::Entry { index, term: entry.term, kind: entry.kind as u8 }, &[&entry.data])
}

/// The record before those of a snapshot's chunks.
pub(crate) fn snapshot_record(position: LogPosition, members: &[Member], chunk_count: usize) -> Bytes {
    let replica_set = encode_replica_set(&[], members);
    let header = RecordHeader::Snapshot {
        index: position.index,
        term: position.term,
        chunk_count: to_u32(chunk_count),
        replica_set_len: to_u32(replica_set.len()),
    };
    encode(&header, &[&replica_set])
}

/// The beginning of a chunk's record; the chunk follows.
pub(super) fn chunk_record_header(number: u32) -> Vec<u8> {
    RecordHeader::Chunk { number }.to_bytes().unwrap_or_default()
}

/// The record of a chunk.
pub(crate) fn chunk_record(number: usize, chunk: &[u8]) -> Bytes {
    concatenate(chunk_record_header(to_u32(number)), &[chunk])
}

/// The record of a replica set entry being committed.
pub(crate) fn membership_committed_record(index: Index) -> Bytes {
    encode(&RecordHeader::MembershipCommitted { index }, &[])
}

/// The record of the end of a log that was dropped.
pub(crate) fn vote_floor_record(floor: LogPosition) -> Bytes {
    encode(&RecordHeader::VoteFloor { term: floor.term, index: floor.index }, &[])
}

/// Reads a record.
///
/// # Errors
/// Where the bytes are no record, or one that no replica writes.
pub(crate) fn decode_record(bytes: &Bytes) -> Result<Record, DecodeError> {
    let ((rest, _), header) =
        RecordHeader::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed("a record"))?;
    Ok(match header {
        RecordHeader::HardState { term, has_voted, voted_for } => {
            check_bounds(&[term])?;
            Record::HardState { term, voted_for: (has_voted != 0).then_some(voted_for) }
        }
        RecordHeader::Entry { index, term, kind } => {
            check_bounds(&[index, term])?;
            Record::Entry { index, entry: decode_entry(term, kind, bytes.slice_ref(rest))? }
        }
        RecordHeader::Snapshot { index, term, chunk_count, replica_set_len } => {
            check_bounds(&[index, term])?;
            if to_usize(replica_set_len) != rest.len() {
                return Err(DecodeError::Malformed("a snapshot's group"));
            }
            let members = decode_replica_set(rest)?.members;
            Record::Snapshot { position: LogPosition { term, index }, members, chunk_count }
        }
        RecordHeader::Chunk { number } => Record::Chunk { number, chunk: bytes.slice_ref(rest) },
        RecordHeader::MembershipCommitted { index } => {
            check_bounds(&[index])?;
            Record::MembershipCommitted { index }
        }
        RecordHeader::VoteFloor { term, index } => {
            check_bounds(&[term, index])?;
            Record::VoteFloor(LogPosition { term, index })
        }
    })
}
