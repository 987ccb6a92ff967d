//! The topology: which disks hold the configuration's shard, which stores there are, which replica set each shard has, and which
//! disks are fenced.
//!
//! The leader of the configuration's shard publishes it; the gossip carries it to every process, which finds the shards' members
//! by it. A process may hold an old version, so whoever acts on it checks the index of a replica set or the fences first.

use bytes::Bytes;
use deku::prelude::*;
use rainlug_consensus::{Member, MemberId};

use crate::frame::{DecodeError, MemberRecord, join, split};

/// What all processes know of stores and replica sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct Topology {
    configuration_member_count: u16,
    /// The replica set of the configuration's shard.
    #[deku(count = "configuration_member_count")]
    pub configuration_members: Vec<MemberRecord>,
    store_count: u16,
    /// All stores that have announced themselves.
    #[deku(count = "store_count")]
    pub stores: Vec<StoreRecord>,
    replica_set_count: u16,
    /// The replica sets of the other shards that are founded.
    #[deku(count = "replica_set_count")]
    pub replica_sets: Vec<ShardReplicaSet>,
    /// How many retirements of stores were ever ordered.
    pub retirements: u32,
    fenced_count: u16,
    /// Disks whose vote does not break a tie any more, in the order in which that was decided.
    #[deku(count = "fenced_count")]
    pub fenced: Vec<MemberId>,
}

/// A store, and whether it retires.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
pub struct StoreRecord {
    /// The store's disk, as a member of replica sets.
    pub member: MemberRecord,
    /// The number of its retirement, from 1; 0 where it stays.
    pub retirement: u32,
}

impl StoreRecord {
    /// Whether it was ordered to give up its replicas, so that it may be taken away.
    pub fn is_retiring(&self) -> bool {
        self.retirement > 0
    }
}

/// The replica set of a shard of stores, as the shard's leader has reported it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
pub struct ShardReplicaSet {
    /// The shard's number.
    pub shard: u16,
    /// The term of the leader that reported it; 0 for the founding one.
    pub term: u64,
    /// It is as of this entry of the shard's log, or a later one; 0 for the founding one.
    pub index: u64,
    /// How many retirements the leader had taken into account.
    pub retirements: u32,
    founding_count: u16,
    /// The members that the shard was founded with; no entry of the log names them.
    #[deku(count = "founding_count")]
    pub founding: Vec<MemberRecord>,
    member_count: u16,
    /// The members now.
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

    /// Whether this disk is a member now.
    pub fn has_member(&self, disk: MemberId) -> bool {
        self.members.iter().any(|member| member.id == disk)
    }

    /// Whether the shard was founded with this disk.
    pub fn has_founder(&self, disk: MemberId) -> bool {
        self.founding.iter().any(|member| member.id == disk)
    }
}

impl Topology {
    /// A topology of these records.
    pub fn new(
        configuration_members: Vec<MemberRecord>,
        stores: Vec<StoreRecord>,
        replica_sets: Vec<ShardReplicaSet>,
        retirements: u32,
        fenced: Vec<MemberId>,
    ) -> Self {
        Self {
            configuration_member_count: configuration_members.len() as u16,
            configuration_members,
            store_count: stores.len() as u16,
            stores,
            replica_set_count: replica_sets.len() as u16,
            replica_sets,
            retirements,
            fenced_count: fenced.len() as u16,
            fenced,
        }
    }

    /// Its bytes, as the gossip carries them.
    pub fn encode(&self) -> Bytes {
        join(self, &[])
    }

    /// # Errors
    /// Where the bytes are not a topology.
    pub fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        split::<Topology>(bytes).map(|(topology, _)| topology)
    }

    /// Whether a disk is fenced.
    pub fn is_fenced(&self, disk: MemberId) -> bool {
        self.fenced.contains(&disk)
    }

    /// Whether the store with this disk is listed, and was ordered to give up its replicas.
    pub fn is_retiring(&self, disk: MemberId) -> bool {
        self.stores.iter().any(|store| store.member.id == disk && store.is_retiring())
    }

    /// Whether the shard's replica set is known as of this entry of its log or a later one, and without this disk.
    pub fn excludes_disk(&self, shard: u16, disk: MemberId, index: u64) -> bool {
        self.replica_set(shard).is_some_and(|set| set.index >= index && !set.has_member(disk))
    }

    /// Whether the store with this disk was ordered to give up its replicas, and has: it may have been taken away.
    pub fn is_emptied(&self, disk: MemberId) -> bool {
        let retiring = self.stores.iter().find(|store| store.member.id == disk && store.is_retiring());
        let is_without = |store: &StoreRecord| {
            let is_it = |member: &MemberRecord| member.id == disk || member.name == store.member.name;
            self.replica_sets
                .iter()
                .all(|set| set.retirements >= store.retirement && !set.members.iter().any(is_it))
        };
        retiring.is_some_and(is_without)
    }

    /// How many shards a store's disk holds a replica of.
    pub fn replica_count(&self, disk: MemberId) -> usize {
        self.replica_sets.iter().filter(|set| set.has_member(disk)).count()
    }

    /// The replica set of a shard of stores, where that is founded.
    pub fn replica_set(&self, shard: u16) -> Option<&ShardReplicaSet> {
        self.replica_sets.iter().find(|set| set.shard == shard)
    }
}

/// Members as they are encoded.
pub fn encode_members(members: &[Member]) -> Vec<MemberRecord> {
    members.iter().map(MemberRecord::from).collect()
}

/// # Errors
/// Where a member's name or zone is not UTF-8.
pub fn decode_members(records: &[MemberRecord]) -> Result<Vec<Member>, DecodeError> {
    records.iter().map(MemberRecord::to_member).collect()
}
