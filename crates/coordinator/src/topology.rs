//! The roster as the gossip carries it: the configuration's own group, the stores, the groups of the parts, and the disks that
//! are fenced.

use bytes::Bytes;
use deku::prelude::*;
use rainlug_consensus::{Member, MemberId};

use crate::frame::{DecodeError, MemberRecord, join, split};

/// What all processes know of stores and groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct Topology {
    core_count: u16,
    /// The configuration's own group.
    #[deku(count = "core_count")]
    pub core: Vec<MemberRecord>,
    store_count: u16,
    #[deku(count = "store_count")]
    pub stores: Vec<StoreRecord>,
    group_count: u16,
    #[deku(count = "group_count")]
    pub groups: Vec<ShardReplicaSet>,
    /// Retirements that were ever ordered.
    pub retirements: u32,
    fenced_count: u16,
    /// Disks that break no tie any more, in the order in which that was decided.
    #[deku(count = "fenced_count")]
    pub fenced: Vec<MemberId>,
}

/// A store and whether it is to go.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
pub struct StoreRecord {
    pub seat: MemberRecord,
    /// The number of its retirement, from 1; 0 where it stays.
    pub retirement: u32,
}

impl StoreRecord {
    pub fn is_retiring(&self) -> bool {
        self.retirement > 0
    }
}

/// A part's group, as its leader has told of it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
pub struct ShardReplicaSet {
    pub shard: u16,
    pub term: u64,
    /// The group is as of this entry of the part's log, or a later one; 0 for the first group.
    pub index: u64,
    /// Its leader had taken so many retirements into account.
    pub retirements: u32,
    founding_count: u16,
    #[deku(count = "founding_count")]
    pub founding: Vec<MemberRecord>,
    member_count: u16,
    #[deku(count = "member_count")]
    pub members: Vec<MemberRecord>,
}

impl ShardReplicaSet {
    /// `at` are term and index.
    pub fn new(
        shard: u16,
        at: (u64, u64),
        retirements: u32,
        founding: Vec<MemberRecord>,
        members: Vec<MemberRecord>,
    ) -> Self {
        let (term, index) = at;
        let (founding_count, member_count) = (founding.len() as u16, members.len() as u16);
        Self { shard, term, index, retirements, founding_count, founding, member_count, members }
    }
}

impl Topology {
    pub fn new(
        core: Vec<MemberRecord>,
        stores: Vec<StoreRecord>,
        groups: Vec<ShardReplicaSet>,
        retirements: u32,
        fenced: Vec<MemberId>,
    ) -> Self {
        Self {
            core_count: core.len() as u16,
            core,
            store_count: stores.len() as u16,
            stores,
            group_count: groups.len() as u16,
            groups,
            retirements,
            fenced_count: fenced.len() as u16,
            fenced,
        }
    }

    pub fn encode(&self) -> Bytes {
        join(self, &[])
    }

    /// # Errors
    /// Where the bytes are not a roster.
    pub fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        split::<Topology>(bytes).map(|(topology, _)| topology)
    }

    pub fn is_fenced(&self, disk: MemberId) -> bool {
        self.fenced.contains(&disk)
    }

    /// Whether the group that is told of a part, as of an entry no older than this one, is without this disk.
    pub fn is_without(&self, shard: u16, disk: MemberId, index: u64) -> bool {
        let is_seat = |seat: &MemberRecord| seat.id == disk;
        self.group(shard).is_some_and(|group| group.index >= index && !group.members.iter().any(is_seat))
    }

    /// How many seats a disk has in the groups of batch jobs.
    pub fn seats_of(&self, disk: MemberId) -> usize {
        self.groups.iter().filter(|group| group.members.iter().any(|seat| seat.id == disk)).count()
    }

    /// The group of a part, where it is founded.
    pub fn group(&self, shard: u16) -> Option<&ShardReplicaSet> {
        self.groups.iter().find(|group| group.shard == shard)
    }
}

pub fn seats(members: &[Member]) -> Vec<MemberRecord> {
    members.iter().map(MemberRecord::from).collect()
}

/// # Errors
/// Where a seat's name is no text.
pub fn members(seats: &[MemberRecord]) -> Result<Vec<Member>, DecodeError> {
    seats.iter().map(MemberRecord::to_member).collect()
}
