//! What processes of the tier send one another over connections: a head by `deku`, and a tail of plain bytes that is passed on
//! as it is.

use bytes::{Bytes, BytesMut};
use deku::prelude::*;
use quick_error::quick_error;

quick_error! {
    /// Why bytes were not taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// They end too early, or say what no process says.
        Malformed { display("not a frame of this tier") }
    }
}

/// A text of a head: 64 KiB at most.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct Text {
    length: u16,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        let bytes = text.as_bytes()[..text.len().min(usize::from(u16::MAX))].to_vec();
        Text { length: bytes.len() as u16, bytes }
    }
}

impl Text {
    pub fn to_str(&self) -> Result<&str, DecodeError> {
        str::from_utf8(&self.bytes).map_err(|_| DecodeError::Malformed)
    }
}

/// An address of a peer: IPv4 and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct PeerAddress {
    pub ip: [u8; 4],
    pub port: u16,
}

impl PeerAddress {
    /// No address.
    pub const NONE: PeerAddress = PeerAddress { ip: [0; 4], port: 0 };
}

impl From<std::net::SocketAddr> for PeerAddress {
    fn from(at: std::net::SocketAddr) -> Self {
        let ip = match at.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => [0; 4],
        };
        PeerAddress { ip, port: at.port() }
    }
}

impl From<PeerAddress> for std::net::SocketAddr {
    fn from(place: PeerAddress) -> Self {
        (place.ip, place.port).into()
    }
}

/// A member of a group on the wire.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct MemberRecord {
    pub id: u64,
    pub name: Text,
    pub zone: Text,
    pub at: PeerAddress,
}

impl From<&rainlug_consensus::Member> for MemberRecord {
    fn from(m: &rainlug_consensus::Member) -> Self {
        MemberRecord {
            id: m.id,
            name: m.name.as_str().into(),
            zone: m.zone.as_str().into(),
            at: m.address.into(),
        }
    }
}

impl MemberRecord {
    pub fn to_member(&self) -> Result<rainlug_consensus::Member, DecodeError> {
        Ok(rainlug_consensus::Member {
            id: self.id,
            name: self.name.to_str()?.to_owned(),
            zone: self.zone.to_str()?.to_owned(),
            address: self.at.into(),
        })
    }
}

/// The head of a frame; what the tail holds stands with each.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Head {
    /// Of the gossip.
    #[deku(id = "0")]
    Gossip,
    /// Of a part's group.
    #[deku(id = "1")]
    Consensus { shard: u16 },
    /// A call to a part's leader; the tail is the request.
    #[deku(id = "2")]
    Call { nonce: u64, shard: u16 },
    /// Its answer; the tail is the body.
    #[deku(id = "3")]
    Answer { nonce: u64, status: u16, retry_ms: u32, json: u8 },
    /// Its answer: another one leads, as far as is known (port 0: nobody).
    #[deku(id = "4")]
    NotLeader {
        nonce: u64,
        /// Not 0 where it was proposed first, and may be committed yet.
        proposed: u8,
        leader: PeerAddress,
    },
    /// A call to a part's leader by way of the receiver, which asks on; the tail is as with [`Head::Call`].
    #[deku(id = "5")]
    Relay { nonce: u64, shard: u16, within_ms: u32, slack_ms: u32, unclear: u16 },
}

/// What is asked of a part's leader.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Request {
    /// Of the configuration's part. The tail is the configuration; `base` is `If-Match`.
    #[deku(id = "0")]
    Configure { base: u64 },
    #[deku(id = "1")]
    Configuration,
    #[deku(id = "2")]
    Retire { store: Text },
    #[deku(id = "3")]
    RetirementStatus { store: Text },
    /// A disk of the core would have a seat.
    #[deku(id = "4")]
    Join { member: MemberRecord },
    /// A store is there.
    #[deku(id = "5")]
    RegisterStore { member: MemberRecord },
    /// A part's group as it stands committed.
    #[deku(id = "6")]
    ReportReplicaSet {
        shard: u16,
        term: u64,
        /// The group is as of this entry of the part's log, or a later one.
        index: u64,
        /// How many retirements its leader knows of.
        retirements: u32,
        member_count: u16,
        #[deku(count = "member_count")]
        members: Vec<MemberRecord>,
    },
    /// Who leads the part: asked before a long tail is sent.
    #[deku(id = "7")]
    Locate,
    /// Of a part of batch jobs. The tail is the body as the client sent it.
    #[deku(id = "16")]
    Submit { job: Text, route: Text },
    #[deku(id = "17")]
    Read { job: Text, since: u64, wait_ms: u32 },
    #[deku(id = "18")]
    Body { job: Text, item: Text },
    #[deku(id = "19")]
    End { job: Text },
    /// Of a route's ledger: tokens of a batch job of `part`, before it is proposed there.
    #[deku(id = "20")]
    Reserve { job: Text, route: Text, shard: u16, tokens: u64, most: u64 },
    /// Of a route's ledger. The tail is the command that settles, but for its time.
    #[deku(id = "21")]
    ReportUsage,
}

/// A head and its tail in one piece.
pub fn join<H: DekuContainerWrite>(head: &H, tail: &[u8]) -> Bytes {
    // Writing to memory fails for no head that this program makes.
    let head = head.to_bytes().unwrap_or_default();
    let mut bytes = BytesMut::with_capacity(head.len() + tail.len());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(tail);
    bytes.freeze()
}

/// Takes them apart.
///
/// # Errors
/// Where the bytes do not begin with a head.
pub fn split<H: for<'a> DekuContainerRead<'a>>(bytes: &Bytes) -> Result<(H, Bytes), DecodeError> {
    let ((rest, bit), head) = H::from_bytes((bytes, 0)).map_err(|_| DecodeError::Malformed)?;
    if bit != 0 {
        return Err(DecodeError::Malformed);
    }
    let at = bytes.len() - rest.len();
    Ok((head, bytes.slice(at..)))
}
