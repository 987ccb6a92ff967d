//! Frames, which processes of the tier send one another over connections: a head in a fixed layout (`deku`, little-endian), and a tail
//! of plain bytes that is passed on as it is.
//!
//! Processes of two versions talk to one another during an upgrade: ids and layouts stay as they are.

use deku::prelude::*;

pub use rainlug_codec::{DecodeError, Text, join, split};

/// An address of a peer: IPv4 and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct PeerAddress {
    /// The IPv4 address.
    pub ip: [u8; 4],
    /// The port; 0 where there is no address.
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
    fn from(address: PeerAddress) -> Self {
        (address.ip, address.port).into()
    }
}

/// A member of a replica set on the wire.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct MemberRecord {
    /// The disk's identity.
    pub id: u64,
    /// The name of its process's machine.
    pub name: Text,
    /// The failure domain.
    pub zone: Text,
    /// Where the process hears its peers.
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
    /// The member that it stands for.
    ///
    /// # Errors
    /// Where its name or zone is not UTF-8.
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
    /// A message of the gossip, in the tail.
    #[deku(id = "0")]
    Gossip,
    /// A message between the replicas of a shard, in the tail.
    #[deku(id = "1")]
    Consensus {
        /// The shard's number.
        shard: u16,
    },
    /// A call to a shard's leader; the tail is a [`Request`] and what follows it.
    #[deku(id = "2")]
    Call {
        /// What the answer names; unique at the caller.
        nonce: u64,
        /// The shard's number.
        shard: u16,
    },
    /// The answer to a call; the tail is the body.
    #[deku(id = "3")]
    Answer {
        /// The call's nonce.
        nonce: u64,
        /// An HTTP status.
        status: u16,
        /// When to come back, in milliseconds; 0: not said.
        retry_ms: u32,
        /// Not 0 where the body is JSON.
        json: u8,
    },
    /// The answer to a call of a process that does not lead the shard.
    #[deku(id = "4")]
    NotLeader {
        /// The call's nonce.
        nonce: u64,
        /// Not 0 where it was proposed first, and may be committed yet.
        proposed: u8,
        /// Who leads, as far as is known; [`PeerAddress::NONE`] if nobody.
        leader: PeerAddress,
    },
    /// A call to a shard's leader by way of the receiver, which attempts it in its turn; the tail is as with [`Head::Call`].
    #[deku(id = "5")]
    Relay {
        /// What the answer names; unique at the caller.
        nonce: u64,
        /// The shard's number.
        shard: u16,
        /// How long the call may be attempted, in milliseconds.
        within_ms: u32,
        /// How long the leader may wait before it answers, in milliseconds.
        slack_ms: u32,
        /// The status where time ran out and the call may have taken effect.
        unclear: u16,
    },
}

/// What a shard's leader is asked for.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Request {
    /// To the configuration's shard: put the configuration in the tail in force.
    #[deku(id = "0")]
    Configure {
        /// The version that has to be in force (`If-Match`).
        base: u64,
    },
    /// To the configuration's shard: read the configuration.
    #[deku(id = "1")]
    Configuration,
    /// To the configuration's shard: retire a store.
    #[deku(id = "2")]
    Retire {
        /// The store's name.
        store: Text,
    },
    /// To the configuration's shard: read whether a store may be taken away.
    #[deku(id = "3")]
    RetirementStatus {
        /// The store's name.
        store: Text,
    },
    /// To the configuration's shard: a gateway's disk could be a member of it.
    #[deku(id = "4")]
    Join {
        /// The disk.
        member: MemberRecord,
    },
    /// To the configuration's shard: a store is there.
    #[deku(id = "5")]
    RegisterStore {
        /// The store's disk.
        member: MemberRecord,
    },
    /// To the configuration's shard: the committed replica set of a shard of stores, from that shard's leader.
    #[deku(id = "6")]
    ReportReplicaSet {
        /// The shard's number.
        shard: u16,
        /// The leader's term.
        term: u64,
        /// The replica set is as of this entry of the shard's log, or a later one.
        index: u64,
        /// How many retirements the leader knows of.
        retirements: u32,
        /// The length of `members`.
        member_count: u16,
        /// The replica set.
        #[deku(count = "member_count")]
        members: Vec<MemberRecord>,
    },
    /// To any shard: who leads it. Asked before a long tail is sent.
    #[deku(id = "7")]
    Locate,
    /// To the configuration's shard: half the members of a replica set that must agree are absent, from a member that is not.
    #[deku(id = "8")]
    ReportTie {
        /// The shard's number.
        shard: u16,
        /// The newest replica set there is as of this entry of the shard's log, or a later one.
        index: u64,
        /// The length of `members`.
        member_count: u16,
        /// The replica set that is tied: the newest one, or the one that it replaces.
        #[deku(count = "member_count")]
        members: Vec<MemberRecord>,
    },
    /// To any shard: leave this member out of the replica set; its process is about to end.
    #[deku(id = "9")]
    Depart {
        /// The member's disk.
        member: u64,
    },
    /// To a shard of batch jobs: take a job. The tail is the body as the client sent it.
    #[deku(id = "16")]
    Submit {
        /// The job's id.
        job: Text,
        /// The name of its route.
        route: Text,
    },
    /// To a shard of batch jobs: read a job's outputs.
    #[deku(id = "17")]
    Read {
        /// The job's id.
        job: Text,
        /// The position of the first output to read.
        since: u64,
        /// How long to wait where there is no output yet, in milliseconds.
        wait_ms: u32,
    },
    /// To a shard of batch jobs: read the body of an item's request.
    #[deku(id = "18")]
    Body {
        /// The job's id.
        job: Text,
        /// The item's id.
        item: Text,
    },
    /// To a shard of batch jobs: end a job.
    #[deku(id = "19")]
    End {
        /// The job's id.
        job: Text,
    },
    /// To the shard with a route's quota ledger: reserve a job's tokens, before the job is proposed.
    #[deku(id = "20")]
    Reserve {
        /// The job's id.
        job: Text,
        /// The route's name.
        route: Text,
        /// The shard that the job is in.
        shard: u16,
        /// The job's tokens.
        tokens: u64,
        /// How many tokens may wait on the route; 0: no limit.
        most: u64,
    },
    /// To the shard with a route's quota ledger: which tokens wait. The tail is the command to propose, but for its time.
    #[deku(id = "21")]
    ReportUsage,
    /// To a shard of primitives: grant a lock.
    #[deku(id = "32")]
    AcquireLock {
        /// The lock's name.
        lock: Text,
        /// Who asks for it.
        holder: Text,
        /// How long the hold lasts, in milliseconds.
        hold_ms: u32,
    },
    /// To a shard of primitives: make a hold last longer.
    #[deku(id = "33")]
    RenewLock {
        /// The lock's name.
        lock: Text,
        /// Who holds it.
        holder: Text,
        /// The holder's fencing token.
        fence: u64,
        /// How long the hold lasts from now on, in milliseconds.
        hold_ms: u32,
    },
    /// To a shard of primitives: free a lock.
    #[deku(id = "34")]
    ReleaseLock {
        /// The lock's name.
        lock: Text,
        /// Who holds it.
        holder: Text,
        /// The holder's fencing token.
        fence: u64,
    },
    /// To a shard of primitives: hand out the next number of a name.
    #[deku(id = "35")]
    NextNumber {
        /// The name.
        name: Text,
    },
    /// To a shard of primitives: put a value to a key.
    #[deku(id = "36")]
    PutKey {
        /// The key.
        key: Text,
        /// The value.
        value: Text,
        /// Not 0 where the key must have the revision `expected_revision`.
        is_conditional: u8,
        /// The revision that the key must have; 0: there must be no such key.
        expected_revision: u64,
    },
    /// To a shard of primitives: read a key.
    #[deku(id = "37")]
    ReadKey {
        /// The key.
        key: Text,
    },
    /// To a shard of primitives: read the puts to a group of keys after a revision.
    #[deku(id = "38")]
    Watch {
        /// The group's name.
        group: Text,
        /// The last revision that the caller knows; 0 asks for the present one alone.
        since: u64,
        /// How long to wait where there are no such puts, in milliseconds.
        wait_ms: u32,
    },
}
