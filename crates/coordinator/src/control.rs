//! The state machine of the configuration's part: the configuration in force, the roster of stores, and which group has which
//! part of the batch jobs. The same at every replica.

use std::collections::BTreeMap;

use bytes::Bytes;
use deku::prelude::*;
use rainlug_consensus::{Member, MemberId};
use xxhash_rust::xxh3::xxh3_64;

use crate::frame::{DecodeError, MemberRecord, Text, join, split};
use crate::topology::{ShardReplicaSet, StoreRecord, Topology, decode_members, encode_members};

/// So many accepted versions are remembered, to know a configuration that is sent again.
const REMEMBERED: usize = 4096;

/// So many fenced disks are remembered. One that was away while as many others were fenced, and is the rest of a group that none
/// of these tells it of, is not expected.
const FENCES: usize = 4096;

/// Bytes of a snapshot for each version that was accepted, and for each store with its seats, about.
const ACCEPTED_BYTES: usize = 16;
const STORE_BYTES: usize = 256;

/// A change, as it is agreed on.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Change {
    /// The tail is the configuration.
    #[deku(id = "0")]
    Configure { base: u64, version: u64 },
    #[deku(id = "1")]
    RegisterStore { member: MemberRecord },
    #[deku(id = "2")]
    Retire { store: Text },
    /// The first group of a part, or how it stands now.
    #[deku(id = "3")]
    SetReplicaSet {
        shard: u16,
        term: u64,
        /// The group is as of this entry of the part's log, or a later one; 0 for the first group.
        index: u64,
        /// How many retirements its leader knew of.
        retirements: u32,
        member_count: u16,
        #[deku(count = "member_count")]
        members: Vec<MemberRecord>,
    },
    /// The disk has no part in breaking a tie from now on.
    #[deku(id = "4")]
    Fence { disk: u64 },
}

/// What a change did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// Another version is in force.
    Conflict,
    /// Its version is not above the one in force.
    Stale,
    Unknown,
}

/// A part's group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    pub founding: Vec<Member>,
    pub term: u64,
    /// The group is as of this entry of the part's log, or a later one.
    pub index: u64,
    /// Its leader had taken so many retirements into account when it told of this group.
    pub retirements: u32,
    pub members: Vec<Member>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Control {
    pub version: u64,
    pub text: Bytes,
    /// Versions that were accepted, with the hash of each.
    accepted: BTreeMap<u64, u64>,
    pub stores: BTreeMap<String, Store>,
    pub groups: BTreeMap<u16, Group>,
    /// Retirements that were ever ordered.
    retirements: u32,
    /// Disks that break no tie any more, in the order in which that was decided.
    fenced: Vec<MemberId>,
}

/// A store on the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    pub member: Member,
    /// The number of its retirement, from 1; 0 where it stays.
    pub retirement: u32,
}

impl Store {
    pub fn is_retiring(&self) -> bool {
        self.retirement > 0
    }
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Image {
    version: u64,
    versions: u32,
    #[deku(count = "versions")]
    accepted: Vec<Pair>,
    topology: Topology,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
struct Pair {
    version: u64,
    hash: u64,
}

impl Change {
    /// A part's first group, to be agreed on.
    pub fn founded(shard: u16, members: &[Member]) -> Self {
        let member_count = members.len() as u16;
        let members = encode_members(members);
        Change::SetReplicaSet { shard, term: 0, index: 0, retirements: 0, member_count, members }
    }
}

impl Control {
    /// Applies an agreed change.
    pub fn apply(&mut self, bytes: &Bytes) -> Result<Outcome, DecodeError> {
        let (change, tail): (Change, Bytes) = split(bytes)?;
        Ok(match change {
            Change::Configure { base, version } => self.configure(base, version, tail),
            Change::RegisterStore { member } => {
                self.enter_store(member.to_member()?);
                Outcome::Done
            }
            Change::Retire { store } => self.retire(store.to_str()?),
            Change::SetReplicaSet { shard, term, index, retirements, members: records, .. } => {
                self.seat(shard, (term, index), retirements, decode_members(&records)?);
                Outcome::Done
            }
            Change::Fence { disk } => {
                self.fence(disk);
                Outcome::Done
            }
        })
    }

    /// A store tells of itself. Whoever had its name or address with another disk is gone, and so is that disk.
    fn enter_store(&mut self, member: Member) {
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

    fn seat(&mut self, shard: u16, at: (u64, u64), retirements: u32, members: Vec<Member>) {
        let (term, index) = at;
        match self.groups.get_mut(&shard) {
            None => {
                let founding = members.clone();
                self.groups.insert(shard, Group { founding, term, index, retirements, members });
            }
            // A founding that came twice, or word of a leader before.
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
        let surplus = self.fenced.len().saturating_sub(FENCES);
        self.fenced.drain(..surplus);
    }

    pub fn is_fenced(&self, disk: MemberId) -> bool {
        self.fenced.contains(&disk)
    }

    /// How many retirements were ever ordered.
    pub fn retirements(&self) -> u32 {
        self.retirements
    }

    /// Whether a store that retires may be taken away: every part's leader knows that it retires, and has handed over to a group
    /// without it.
    pub fn may_go(&self, store: &Store) -> bool {
        // By name too: a group may still count on a disk that this machine has lost.
        let is_it = |member: &Member| member.id == store.member.id || member.name == store.member.name;
        let without_it =
            |group: &Group| group.retirements >= store.retirement && !group.members.iter().any(is_it);
        store.is_retiring() && self.groups.values().all(without_it)
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
        while self.accepted.len() > REMEMBERED {
            self.accepted.pop_first();
        }
        Outcome::Done
    }

    /// Whether this very configuration was accepted, now or before.
    pub fn accepted(&self, version: u64, text: &[u8]) -> bool {
        self.accepted.get(&version) == Some(&xxh3_64(text))
    }

    /// The roster, with the configuration's own group.
    pub fn topology(&self, core: &[Member]) -> Topology {
        let seat =
            |store: &Store| StoreRecord { member: (&store.member).into(), retirement: store.retirement };
        let stores = self.stores.values().map(seat).collect();
        let listed = |(shard, group): (&u16, &Group)| {
            ShardReplicaSet::new(
                *shard,
                (group.term, group.index),
                group.retirements,
                encode_members(&group.founding),
                encode_members(&group.members),
            )
        };
        let groups = self.groups.iter().map(listed).collect();
        Topology::new(encode_members(core), stores, groups, self.retirements, self.fenced.clone())
    }

    /// Bytes of its snapshot, about.
    pub fn size(&self) -> usize {
        self.text.len() + ACCEPTED_BYTES * self.accepted.len() + STORE_BYTES * self.stores.len()
    }

    pub fn snapshot(&self) -> Bytes {
        let accepted = self.accepted.iter().map(|(version, hash)| Pair { version: *version, hash: *hash });
        let accepted: Vec<Pair> = accepted.collect();
        let topology = self.topology(&[]);
        let image = Image { version: self.version, versions: accepted.len() as u32, accepted, topology };
        join(&image, &self.text)
    }

    /// # Errors
    /// Where the bytes are not a snapshot.
    pub fn restore(bytes: &Bytes) -> Result<Self, DecodeError> {
        let (image, text): (Image, Bytes) = split(bytes)?;
        let mut control = Control { version: image.version, text, ..Control::default() };
        control.accepted = image.accepted.iter().map(|p| (p.version, p.hash)).collect();
        for store in &image.topology.stores {
            let member = store.member.to_member()?;
            control.stores.insert(member.name.clone(), Store { member, retirement: store.retirement });
        }
        for group in &image.topology.replica_sets {
            let (founding, seated) = (decode_members(&group.founding)?, decode_members(&group.members)?);
            let (term, index, retirements) = (group.term, group.index, group.retirements);
            let seated = Group { founding, term, index, retirements, members: seated };
            control.groups.insert(group.shard, seated);
        }
        control.retirements = image.topology.retirements;
        control.fenced = image.topology.fenced;
        Ok(control)
    }
}
