//! What is spoken between replicas and what is on their disks: a head by `deku`, and bulk bytes behind it as they are.

use std::net::{IpAddr, Ipv6Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

use bytes::Bytes;
use deku::prelude::*;

use crate::log::{Entry, EntryKind};
use crate::{DecodeError, Index, Member, MemberId, Term};

/// Indexes and terms beyond this are not believed, so sums of them cannot run over.
const MOST: u64 = 1 << 60;

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
struct MemberCode {
    id: u64,
    name_len: u16,
    #[deku(count = "name_len")]
    name: Vec<u8>,
    zone_len: u16,
    #[deku(count = "zone_len")]
    zone: Vec<u8>,
    v6: u8,
    ip: [u8; 16],
    port: u16,
    flow: u32,
    scope: u32,
}

impl From<&Member> for MemberCode {
    fn from(member: &Member) -> Self {
        let (v6, ip, flow, scope) = match member.address {
            SocketAddr::V4(at) => (0, at.ip().to_ipv6_mapped().octets(), 0, 0),
            SocketAddr::V6(at) => (1, at.ip().octets(), at.flowinfo(), at.scope_id()),
        };
        let (name_len, name) = text(&member.name);
        let (zone_len, zone) = text(&member.zone);
        Self {
            id: member.id,
            name_len,
            name,
            zone_len,
            zone,
            v6,
            ip,
            port: member.address.port(),
            flow,
            scope,
        }
    }
}

fn text(text: &str) -> (u16, Vec<u8>) {
    let end = text.floor_char_boundary(usize::from(u16::MAX));
    let bytes = text.as_bytes().get(..end).unwrap_or_default().to_vec();
    (u16::try_from(bytes.len()).unwrap_or(u16::MAX), bytes)
}

impl TryFrom<MemberCode> for Member {
    type Error = DecodeError;
    fn try_from(code: MemberCode) -> Result<Self, DecodeError> {
        let text = |bytes| String::from_utf8(bytes).map_err(|_| DecodeError::Malformed("a member's name"));
        let ip = Ipv6Addr::from(code.ip);
        let at = match (code.v6, IpAddr::V6(ip).to_canonical()) {
            (0, IpAddr::V4(ip)) => SocketAddr::V4(SocketAddrV4::new(ip, code.port)),
            (1, _) => SocketAddr::V6(SocketAddrV6::new(ip, code.port, code.flow, code.scope)),
            _ => return Err(DecodeError::Malformed("a member's address")),
        };
        Ok(Self { id: code.id, name: text(code.name)?, zone: text(code.zone)?, address: at })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct GroupCode {
    before_count: u16,
    #[deku(count = "before_count")]
    before: Vec<MemberCode>,
    after_count: u16,
    #[deku(count = "after_count")]
    after: Vec<MemberCode>,
}

/// A group entry's content: the group that it ends, and the one that it starts.
pub fn group(before: &[Member], after: &[Member]) -> Bytes {
    let code = |members: &[Member]| -> Vec<MemberCode> {
        members.iter().take(usize::from(u16::MAX)).map(MemberCode::from).collect()
    };
    let (before, after) = (code(before), code(after));
    let count = |members: &[MemberCode]| u16::try_from(members.len()).unwrap_or(u16::MAX);
    let code = GroupCode { before_count: count(&before), before, after_count: count(&after), after };
    Bytes::from(code.to_bytes().unwrap_or_default())
}

pub fn read_group(bytes: &[u8]) -> Result<(Vec<Member>, Vec<Member>), DecodeError> {
    let ((rest, _), code) =
        GroupCode::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed("a group"))?;
    if !rest.is_empty() {
        return Err(DecodeError::Malformed("a group's end"));
    }
    let members = |codes: Vec<MemberCode>| codes.into_iter().map(Member::try_from).collect::<Result<_, _>>();
    Ok((members(code.before)?, members(code.after)?))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct EntryHead {
    term: u64,
    kind: u8,
    len: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum Body {
    /// Asks for a vote in `for_term`, or whether one would be given.
    #[deku(id = 1)]
    RequestVote { pre: u8, for_term: u64, last_index: u64, last_term: u64 },
    /// With the newest group entry that the voter knows to be committed.
    #[deku(id = 2)]
    Vote { pre: u8, for_term: u64, granted: u8, settled_index: u64, settled_term: u64 },
    #[deku(id = 3)]
    AppendEntries {
        round: u64,
        prev_index: u64,
        prev_term: u64,
        commit: u64,
        count: u16,
        #[deku(count = "count")]
        heads: Vec<EntryHead>,
    },
    /// All up to `matched` is as in the leader's log, and saved.
    #[deku(id = 4)]
    Appended {
        round: u64,
        matched: u64,
        /// Not 0 where the follower's newest group is known to be committed, on its disk too.
        settled: u8,
    },
    /// What precedes the entries is not there; the follower's newest entry that may be common.
    #[deku(id = 5)]
    Rejected { round: u64, prev_index: u64, hint_index: u64, hint_term: u64 },
    /// The piece `number` of the `pieces` of a snapshot, as its record; the group precedes it in the bulk. `source` tells the
    /// states of one leader apart.
    #[deku(id = 6)]
    InstallSnapshot {
        round: u64,
        index: u64,
        last_term: u64,
        source: u64,
        chunks: u32,
        number: u32,
        group_len: u32,
    },
    /// The follower waits for the piece `wanted`.
    #[deku(id = 7)]
    SnapshotWanted { round: u64, source: u64, wanted: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Head {
    to: u64,
    from: MemberCode,
    term: u64,
    body: Body,
}

pub struct Message {
    pub to: MemberId,
    pub from: Member,
    /// The sender's.
    pub term: Term,
    pub body: Body,
    /// Of [`Body::AppendEntries`].
    pub entries: Vec<Entry>,
    /// Of [`Body::InstallSnapshot`]: its group.
    pub group: Vec<Member>,
    /// Of [`Body::InstallSnapshot`]: the record of its piece; none where the state is empty.
    pub chunk: Option<Bytes>,
}

fn joined(head: Vec<u8>, bulk: &[&[u8]]) -> Bytes {
    let mut bytes = head;
    bytes.reserve_exact(bulk.iter().map(|bytes| bytes.len()).sum());
    for shard in bulk {
        bytes.extend_from_slice(shard);
    }
    Bytes::from(bytes)
}

pub fn message(to: MemberId, from: &Member, term: Term, body: Body, bulk: &[&[u8]]) -> Bytes {
    joined(Head { to, from: from.into(), term, body }.to_bytes().unwrap_or_default(), bulk)
}

pub fn entry_head(entry: &Entry) -> EntryHead {
    EntryHead {
        term: entry.term,
        kind: entry.kind as u8,
        len: u32::try_from(entry.data.len()).unwrap_or(u32::MAX),
    }
}

fn entry(term: Term, kind: u8, data: Bytes) -> Result<Entry, DecodeError> {
    let kind = match kind {
        0 => EntryKind::Noop,
        1 => EntryKind::Command,
        2 => {
            read_group(&data)?;
            EntryKind::ReplicaSet
        }
        _ => return Err(DecodeError::Malformed("an entry's kind")),
    };
    Ok(Entry { term, kind, data })
}

fn believed(metrics: &[u64]) -> Result<(), DecodeError> {
    if metrics.iter().all(|&figure| figure < MOST) { Ok(()) } else { Err(DecodeError::Malformed("a figure")) }
}

pub fn read_message(bytes: &Bytes) -> Result<Message, DecodeError> {
    let ((rest, _), head) = Head::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed("a message"))?;
    let from = Member::try_from(head.from)?;
    believed(&[head.term])?;
    let mut message = Message {
        to: head.to,
        from,
        term: head.term,
        body: head.body,
        entries: vec![],
        group: vec![],
        chunk: None,
    };
    match &message.body {
        Body::RequestVote { for_term, last_index, last_term, .. } => {
            believed(&[*for_term, *last_index, *last_term])?;
        }
        Body::Vote { for_term, .. } => believed(&[*for_term])?,
        Body::AppendEntries { prev_index, prev_term, commit, heads, .. } => {
            believed(&[*prev_index, *prev_term, *commit])?;
            let mut bulk = bytes.slice_ref(rest);
            let mut last = *prev_term;
            for head in heads {
                let len = usize::try_from(head.len).unwrap_or(usize::MAX);
                if len > bulk.len() || head.term < last || head.term > message.term {
                    return Err(DecodeError::Malformed("an entry"));
                }
                last = head.term;
                // Each with a buffer of its own: one that is kept long must not keep the whole message.
                let data = Bytes::copy_from_slice(&bulk.split_to(len));
                message.entries.push(entry(head.term, head.kind, data)?);
            }
            if !bulk.is_empty() {
                return Err(DecodeError::Malformed("the end of the entries"));
            }
        }
        Body::Appended { matched, .. } => believed(&[*matched])?,
        Body::Rejected { prev_index, hint_index, hint_term, .. } => {
            believed(&[*prev_index, *hint_index, *hint_term])?;
        }
        Body::InstallSnapshot { index, last_term, chunks, number, group_len, .. } => {
            believed(&[*index, *last_term])?;
            let len = usize::try_from(*group_len).unwrap_or(usize::MAX);
            let group = rest.get(..len).ok_or(DecodeError::Malformed("a snapshot's group"))?;
            message.group = read_group(group)?.1;
            let record = bytes.slice_ref(rest.get(len..).unwrap_or_default());
            message.chunk = read_message_chunk(record, *chunks, *number)?;
        }
        Body::SnapshotWanted { .. } => {}
    }
    Ok(message)
}

/// The record of a piece that came in a message; an empty state has no pieces.
fn read_message_chunk(record: Bytes, chunks: u32, number: u32) -> Result<Option<Bytes>, DecodeError> {
    const MALFORMED: DecodeError = DecodeError::Malformed("a snapshot's piece");
    if chunks == 0 && number == 0 && record.is_empty() {
        return Ok(None);
    }
    match read_record(&record)? {
        Record::Chunk { number: own, .. } if own == number && number < chunks => Ok(Some(record)),
        _ => Err(MALFORMED),
    }
}

/// Bytes of the record of a piece before the piece.
pub const CHUNK_RECORD_HEADER: usize = 1 + 4;
/// Bytes of the record of an entry before its content.
pub const ENTRY_RECORD_HEAD: usize = 1 + 8 + 8 + 1;

/// The code 3 was that of a snapshot in one record; such a record cannot be read any more.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
enum RecordHead {
    #[deku(id = 1)]
    HardState { term: u64, has_voted: u8, voted: u64 },
    #[deku(id = 2)]
    Entry { index: u64, term: u64, kind: u8 },
    #[deku(id = 4)]
    Settled { index: u64 },
    #[deku(id = 5)]
    Snapshot { index: u64, term: u64, chunks: u32, group_len: u32 },
    #[deku(id = 6)]
    Chunk { number: u32 },
    #[deku(id = 7)]
    VoteFloor { term: u64, index: u64 },
}

pub enum Record {
    HardState {
        term: Term,
        voted: Option<MemberId>,
    },
    Entry {
        index: Index,
        entry: Entry,
    },
    /// So many pieces of its state follow at once.
    Snapshot {
        index: Index,
        term: Term,
        group: Vec<Member>,
        chunks: u32,
    },
    Chunk {
        number: u32,
        state: Bytes,
    },
    /// The group entry at this index is committed.
    Settled {
        index: Index,
    },
    /// The end of a log that this member gave up: it votes for no log that ends before.
    VoteFloor {
        term: Term,
        index: Index,
    },
}

fn record(head: &RecordHead, bulk: &[&[u8]]) -> Bytes {
    joined(head.to_bytes().unwrap_or_default(), bulk)
}

pub fn hard_state_record(term: Term, voted: Option<MemberId>) -> Bytes {
    let head = RecordHead::HardState {
        term,
        has_voted: u8::from(voted.is_some()),
        voted: voted.unwrap_or_default(),
    };
    record(&head, &[])
}

pub fn entry_record(index: Index, entry: &Entry) -> Bytes {
    record(&RecordHead::Entry { index, term: entry.term, kind: entry.kind as u8 }, &[&entry.data])
}

/// The record before those of so many pieces.
pub fn snapshot_record(index: Index, term: Term, members: &[Member], chunks: usize) -> Bytes {
    let chunks = u32::try_from(chunks).unwrap_or(u32::MAX);
    let group = group(&[], members);
    let group_len = u32::try_from(group.len()).unwrap_or(u32::MAX);
    record(&RecordHead::Snapshot { index, term, chunks, group_len }, &[&group])
}

/// The beginning of a piece's record; the piece follows.
pub fn chunk_header(number: usize) -> Vec<u8> {
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    RecordHead::Chunk { number }.to_bytes().unwrap_or_default()
}

pub fn chunk_record(number: usize, state: &[u8]) -> Bytes {
    joined(chunk_header(number), &[state])
}

pub fn settled_record(index: Index) -> Bytes {
    record(&RecordHead::Settled { index }, &[])
}

pub fn vote_floor_record(term: Term, index: Index) -> Bytes {
    record(&RecordHead::VoteFloor { term, index }, &[])
}

pub fn read_record(bytes: &Bytes) -> Result<Record, DecodeError> {
    let ((rest, _), head) =
        RecordHead::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed("a record"))?;
    Ok(match head {
        RecordHead::HardState { term, has_voted, voted } => {
            believed(&[term])?;
            Record::HardState { term, voted: (has_voted != 0).then_some(voted) }
        }
        RecordHead::Entry { index, term, kind } => {
            believed(&[index, term])?;
            Record::Entry { index, entry: entry(term, kind, bytes.slice_ref(rest))? }
        }
        RecordHead::Snapshot { index, term, chunks, group_len } => {
            believed(&[index, term])?;
            if usize::try_from(group_len).unwrap_or(usize::MAX) != rest.len() {
                return Err(DecodeError::Malformed("a snapshot's group"));
            }
            Record::Snapshot { index, term, group: read_group(rest)?.1, chunks }
        }
        RecordHead::Chunk { number } => Record::Chunk { number, state: bytes.slice_ref(rest) },
        RecordHead::Settled { index } => {
            believed(&[index])?;
            Record::Settled { index }
        }
        RecordHead::VoteFloor { term, index } => {
            believed(&[term, index])?;
            Record::VoteFloor { term, index }
        }
    })
}
