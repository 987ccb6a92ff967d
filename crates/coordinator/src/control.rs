//! The state machine of the configuration's shard: the configuration in force, the stores, and the replica sets of the shards of
//! batch jobs. Replicas that have applied the same commands have the same state.

use std::collections::BTreeMap;

use bytes::Bytes;
use deku::prelude::*;
use rainlug_consensus::{Member, MemberId};
use xxhash_rust::xxh3::xxh3_64;

use crate::frame::{DecodeError, MemberRecord, Text, join, split};
use crate::topology::{ShardReplicaSet, StoreRecord, Topology, decode_members, encode_members};

/// How many accepted versions are remembered, to recognize a configuration that is sent again.
const MAX_ACCEPTED_VERSIONS: usize = 4096;

/// How many fenced disks are remembered. It is not expected that a disk comes back after so many others were fenced, and then completes
/// a replica set whose other members have not heard of its fence.
const MAX_FENCED_DISKS: usize = 4096;

/// Bytes of a snapshot for each version that was accepted, and for each store with its seats, about.
const ACCEPTED_BYTES: usize = 16;
const STORE_BYTES: usize = 256;

/// A change, as it is committed.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Change {
    /// The tail is the configuration.
    #[deku(id = "0")]
    Configure {
        /// The version that has to be in force.
        base: u64,
        /// The version of the configuration in the tail.
        version: u64,
    },
    /// A store is there.
    #[deku(id = "1")]
    RegisterStore {
        /// The store's disk.
        member: MemberRecord,
    },
    /// A store is to give up its replicas.
    #[deku(id = "2")]
    Retire {
        /// The store's name.
        store: Text,
    },
    /// The founding replica set of a shard, or how it stands now.
    #[deku(id = "3")]
    SetReplicaSet {
        /// The shard's number.
        shard: u16,
        /// The term of the leader that reported it; 0 for the founding replica set.
        term: u64,
        /// The replica set is as of this entry of the shard's log, or a later one; 0 for the founding replica set.
        index: u64,
        /// How many retirements its leader knew of.
        retirements: u32,
        /// The length of `members`.
        member_count: u16,
        /// The replica set.
        #[deku(count = "member_count")]
        members: Vec<MemberRecord>,
    },
    /// The disk's vote does not break a tie from now on.
    #[deku(id = "4")]
    Fence {
        /// The disk's identity.
        disk: u64,
    },
}

/// What a change did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect, or had done so before.
    Done,
    /// Another version is in force.
    Conflict,
    /// Its version is not above the one in force.
    Stale,
    /// There is no such store.
    Unknown,
}

/// A shard's replica set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// The members that the shard was founded with; no entry of its log names them.
    pub founding: Vec<Member>,
    /// The term of the leader that reported it; 0 for the founding one.
    pub term: u64,
    /// The replica set is as of this entry of the shard's log, or a later one.
    pub index: u64,
    /// How many retirements that leader had taken into account.
    pub retirements: u32,
    /// The members now.
    pub members: Vec<Member>,
}

/// The state of the configuration's shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Control {
    /// The version of the configuration in force; 0 where there is none.
    pub version: u64,
    /// The configuration in force, as JSON.
    pub text: Bytes,
    /// Versions that were accepted, with the hash of each.
    accepted: BTreeMap<u64, u64>,
    /// The stores by name.
    pub stores: BTreeMap<String, Store>,
    /// The replica sets of the other shards that are founded.
    pub replica_sets: BTreeMap<u16, ReplicaSet>,
    /// Retirements that were ever ordered.
    retirements: u32,
    /// Disks whose vote does not break a tie any more, in the order in which that was decided.
    fenced: Vec<MemberId>,
}

/// A store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Its disk, as a member of replica sets.
    pub member: Member,
    /// The number of its retirement, from 1; 0 where it stays.
    pub retirement: u32,
}

impl Store {
    /// Whether it was ordered to give up its replicas.
    pub fn is_retiring(&self) -> bool {
        self.retirement > 0
    }
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct SnapshotImage {
    version: u64,
    versions: u32,
    #[deku(count = "versions")]
    accepted: Vec<AcceptedVersion>,
    topology: Topology,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
struct AcceptedVersion {
    version: u64,
    hash: u64,
}

impl Change {
    /// A shard's founding replica set, to be committed.
    pub fn founded(shard: u16, members: &[Member]) -> Self {
        let member_count = members.len() as u16;
        let members = encode_members(members);
        Change::SetReplicaSet { shard, term: 0, index: 0, retirements: 0, member_count, members }
    }
}

impl Control {
    /// Applies a committed change.
    ///
    /// # Errors
    /// Where the bytes are not a change; the state is as before.
    pub fn apply(&mut self, bytes: &Bytes) -> Result<Outcome, DecodeError> {
        let (change, tail): (Change, Bytes) = split(bytes)?;
        Ok(match change {
            Change::Configure { base, version } => self.configure(base, version, tail),
            Change::RegisterStore { member } => {
                self.register_store(member.to_member()?);
                Outcome::Done
            }
            Change::Retire { store } => self.retire(store.to_str()?),
            Change::SetReplicaSet { shard, term, index, retirements, members: records, .. } => {
                self.set_replica_set(shard, (term, index), retirements, decode_members(&records)?);
                Outcome::Done
            }
            Change::Fence { disk } => {
                self.fence(disk);
                Outcome::Done
            }
        })
    }

    /// Enters a store. Whoever had its name or address with another disk is gone, and so is that disk.
    fn register_store(&mut self, member: Member) {
        let replaced = |store: &Store| {
            let same_place = store.member.address == member.address || store.member.name == member.name;
            same_place && store.member.id != member.id
        };
        let gone: Vec<MemberId> = self.stores.values().filter(|s| replaced(s)).map(|s| s.member.id).collect();
        gone.into_iter().for_each(|disk| self.fence(disk));
        self.stores.retain(|name, store| *name == member.name || store.member.address != member.address);
        // A machine that is to go is still to go where it has lost its disk meanwhile.
        let retirement = self.stores.get(&member.name).map_or(0, |store| store.retirement);
        self.stores.insert(member.name.clone(), Store { member, retirement });
    }

    fn retire(&mut self, name: &str) -> Outcome {
        let Some(store) = self.stores.get_mut(name) else { return Outcome::Unknown };
        if !store.is_retiring() {
            self.retirements += 1;
            store.retirement = self.retirements;
        }
        Outcome::Done
    }

    fn set_replica_set(&mut self, shard: u16, at: (u64, u64), retirements: u32, members: Vec<Member>) {
        let (term, index) = at;
        match self.replica_sets.get_mut(&shard) {
            None => {
                let founding = members.clone();
                self.replica_sets.insert(shard, ReplicaSet { founding, term, index, retirements, members });
            }
            // A founding that is committed twice, or the report of an earlier leader.
            Some(group) if term <= group.term && (term == 0 || term < group.term) => {}
            Some(group) => {
                (group.term, group.index) = (term, index);
                (group.retirements, group.members) = (retirements, members);
            }
        }
    }

    fn fence(&mut self, disk: MemberId) {
        if self.is_fenced(disk) {
            return;
        }
        self.fenced.push(disk);
        let surplus = self.fenced.len().saturating_sub(MAX_FENCED_DISKS);
        self.fenced.drain(..surplus);
    }

    /// Whether a disk is fenced.
    pub fn is_fenced(&self, disk: MemberId) -> bool {
        self.fenced.contains(&disk)
    }

    /// How many retirements were ever ordered.
    pub fn retirements(&self) -> u32 {
        self.retirements
    }

    /// Whether a store that retires may be taken away: every shard's leader knows that it retires, and leads a replica set
    /// without it.
    pub fn may_go(&self, store: &Store) -> bool {
        // By name too: a replica set may still count on a disk that this machine has lost.
        let is_it = |member: &Member| member.id == store.member.id || member.name == store.member.name;
        let without_it =
            |group: &ReplicaSet| group.retirements >= store.retirement && !group.members.iter().any(is_it);
        store.is_retiring() && self.replica_sets.values().all(without_it)
    }

    fn configure(&mut self, base: u64, version: u64, text: Bytes) -> Outcome {
        let hash = xxh3_64(&text);
        if self.accepted.get(&version) == Some(&hash) {
            return Outcome::Done;
        }
        if base != self.version {
            return Outcome::Conflict;
        }
        if version <= self.version {
            return Outcome::Stale;
        }
        (self.version, self.text) = (version, text);
        self.accepted.insert(version, hash);
        while self.accepted.len() > MAX_ACCEPTED_VERSIONS {
            self.accepted.pop_first();
        }
        Outcome::Done
    }

    /// Whether this very configuration was accepted, now or before.
    pub fn accepted(&self, version: u64, text: &[u8]) -> bool {
        self.accepted.get(&version) == Some(&xxh3_64(text))
    }

    /// The topology, with the replica set of the configuration's shard.
    pub fn topology(&self, core: &[Member]) -> Topology {
        let seat =
            |store: &Store| StoreRecord { member: (&store.member).into(), retirement: store.retirement };
        let stores = self.stores.values().map(seat).collect();
        let listed = |(shard, group): (&u16, &ReplicaSet)| {
            ShardReplicaSet::new(
                *shard,
                (group.term, group.index),
                group.retirements,
                encode_members(&group.founding),
                encode_members(&group.members),
            )
        };
        let groups = self.replica_sets.iter().map(listed).collect();
        Topology::new(encode_members(core), stores, groups, self.retirements, self.fenced.clone())
    }

    /// Bytes of its snapshot, about.
    pub fn size(&self) -> usize {
        self.text.len() + ACCEPTED_BYTES * self.accepted.len() + STORE_BYTES * self.stores.len()
    }

    /// Its bytes, for [`Control::restore`].
    pub fn snapshot(&self) -> Bytes {
        let accepted =
            self.accepted.iter().map(|(version, hash)| AcceptedVersion { version: *version, hash: *hash });
        let accepted: Vec<AcceptedVersion> = accepted.collect();
        let topology = self.topology(&[]);
        let image =
            SnapshotImage { version: self.version, versions: accepted.len() as u32, accepted, topology };
        join(&image, &self.text)
    }

    /// The state that a snapshot was taken of.
    ///
    /// # Errors
    /// Where the bytes are not a snapshot.
    pub fn restore(bytes: &Bytes) -> Result<Self, DecodeError> {
        let (image, text): (SnapshotImage, Bytes) = split(bytes)?;
        let mut control = Control { version: image.version, text, ..Control::default() };
        control.accepted = image.accepted.iter().map(|p| (p.version, p.hash)).collect();
        for store in &image.topology.stores {
            let member = store.member.to_member()?;
            control.stores.insert(member.name.clone(), Store { member, retirement: store.retirement });
        }
        for group in &image.topology.replica_sets {
            let (founding, seated) = (decode_members(&group.founding)?, decode_members(&group.members)?);
            let (term, index, retirements) = (group.term, group.index, group.retirements);
            let seated = ReplicaSet { founding, term, index, retirements, members: seated };
            control.replica_sets.insert(group.shard, seated);
        }
        control.retirements = image.topology.retirements;
        control.fenced = image.topology.fenced;
        Ok(control)
    }
}
