//! Bytes on the wire and on the disk: a fixed layout by `deku`, then bulk bytes as they are.
//!
//! [`message`] lays out what replicas send each other, [`record`] what they keep on the disk; both share members, replica sets and
//! the kinds of entries. All integers are little-endian.

mod member;
mod message;
mod record;

use bytes::Bytes;
use deku::prelude::*;

use self::member::MemberLayout;
pub(crate) use self::message::{Envelope, decode_message, encode_message, encode_snapshot_chunk};
pub(crate) use self::record::{
    CHUNK_RECORD_HEADER_BYTES, ENTRY_RECORD_HEADER_BYTES, Record, chunk_record, decode_record, entry_record,
    hard_state_record, membership_committed_record, snapshot_record, vote_floor_record,
};
use crate::entry::{Entry, EntryKind, ReplicaSetChange};
use crate::{DecodeError, Member, Term};

/// Indexes and terms from here on are rejected, so that sums of them cannot overflow.
const MAX_INDEX_OR_TERM: u64 = 1 << 60;

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct ReplicaSetLayout {
    previous_count: u16,
    #[deku(count = "previous_count")]
    previous: Vec<MemberLayout>,
    members_count: u16,
    #[deku(count = "members_count")]
    members: Vec<MemberLayout>,
}

/// The content of a replica set entry.
pub(crate) fn encode_replica_set(previous: &[Member], members: &[Member]) -> Bytes {
    let layouts = |members: &[Member]| -> Vec<MemberLayout> {
        members.iter().take(usize::from(u16::MAX)).map(MemberLayout::from).collect()
    };
    let count = |layouts: &[MemberLayout]| u16::try_from(layouts.len()).unwrap_or(u16::MAX);
    let (previous, members) = (layouts(previous), layouts(members));
    let layout = ReplicaSetLayout {
        previous_count: count(&previous),
        previous,
        members_count: count(&members),
        members,
    };
    Bytes::from(layout.to_bytes().unwrap_or_default())
}

/// Reads the content of a replica set entry.
///
/// # Errors
/// Where the bytes are none, or more than one.
pub(crate) fn decode_replica_set(bytes: &[u8]) -> Result<ReplicaSetChange, DecodeError> {
    let ((rest, _), layout) =
        ReplicaSetLayout::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed("a group"))?;
    if !rest.is_empty() {
        return Err(DecodeError::Malformed("a group's end"));
    }
    let members =
        |layouts: Vec<MemberLayout>| layouts.into_iter().map(Member::try_from).collect::<Result<_, _>>();
    Ok(ReplicaSetChange { previous: members(layout.previous)?, members: members(layout.members)? })
}

/// An entry of this term, kind and content.
fn decode_entry(term: Term, kind: u8, data: Bytes) -> Result<Entry, DecodeError> {
    let kind = match kind {
        0 => EntryKind::Noop,
        1 => EntryKind::Command,
        2 => {
            decode_replica_set(&data)?;
            EntryKind::ReplicaSet
        }
        _ => return Err(DecodeError::Malformed("an entry's kind")),
    };
    Ok(Entry { term, kind, data })
}

/// Rejects indexes and terms that no run of this software reaches.
fn check_bounds(values: &[u64]) -> Result<(), DecodeError> {
    if values.iter().all(|&value| value < MAX_INDEX_OR_TERM) {
        Ok(())
    } else {
        Err(DecodeError::Malformed("a figure"))
    }
}

/// The header with the bulk bytes behind it.
fn concatenate(header: Vec<u8>, bulk: &[&[u8]]) -> Bytes {
    let mut bytes = header;
    bytes.reserve_exact(bulk.iter().map(|bytes| bytes.len()).sum());
    for part in bulk {
        bytes.extend_from_slice(part);
    }
    Bytes::from(bytes)
}

/// A count or length as it goes on the wire.
fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// A length from the wire; where it does not fit, one that nothing has.
fn to_usize(len: u32) -> usize {
    usize::try_from(len).unwrap_or(usize::MAX)
}
