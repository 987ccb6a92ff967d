//! The state machine of the configuration's part: the configuration in force, the roster of stores, and which group has which
//! part of the batch jobs. The same at every replica.

use std::collections::BTreeMap;

use bytes::Bytes;
use deku::prelude::*;
use rainlug_consensus::Member;
use xxhash_rust::xxh3::xxh3_64;

use crate::frame::{DecodeError, Seat, Text, join, split};

/// So many accepted versions are remembered, to know a configuration that is sent again.
const REMEMBERED: usize = 4096;

/// A change, as it is agreed on.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "little")]
pub enum Change {
    /// The tail is the configuration.
    #[deku(id = "0")]
    Configure { base: u64, version: u64 },
    #[deku(id = "1")]
    Store { seat: Seat },
    #[deku(id = "2")]
    Retire { store: Text },
    /// The first group of a part, or how it stands now.
    #[deku(id = "3")]
    Seated {
        part: u16,
        term: u64,
        count: u16,
        #[deku(count = "count")]
        seats: Vec<Seat>,
    },
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
    pub members: Vec<Member>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Control {
    pub version: u64,
    pub text: Bytes,
    /// Versions that were accepted, with the hash of each.
    accepted: BTreeMap<u64, u64>,
    pub stores: BTreeMap<String, (Member, bool)>,
    pub groups: BTreeMap<u16, Group>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Image {
    version: u64,
    versions: u32,
    #[deku(count = "versions")]
    accepted: Vec<Pair>,
    roster: Roster,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
struct Pair {
    version: u64,
    hash: u64,
}

/// The roster of stores and the groups of parts, as the gossip carries them.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
pub struct Roster {
    cores: u16,
    /// The configuration's own group.
    #[deku(count = "cores")]
    pub core: Vec<Seat>,
    shelved: u16,
    #[deku(count = "shelved")]
    pub stores: Vec<Shelved>,
    parts: u16,
    #[deku(count = "parts")]
    pub groups: Vec<Listed>,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
pub struct Shelved {
    pub seat: Seat,
    pub retiring: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", endian = "endian")]
pub struct Listed {
    pub part: u16,
    pub term: u64,
    founders: u16,
    #[deku(count = "founders")]
    pub founding: Vec<Seat>,
    seated: u16,
    #[deku(count = "seated")]
    pub members: Vec<Seat>,
}

impl Roster {
    pub fn encode(&self) -> Bytes {
        join(self, &[])
    }

    /// # Errors
    /// Where the bytes are not a roster.
    pub fn decode(bytes: &Bytes) -> Result<Self, DecodeError> {
        split::<Roster>(bytes).map(|(roster, _)| roster)
    }
}

fn seats(members: &[Member]) -> Vec<Seat> {
    members.iter().map(Seat::from).collect()
}

pub fn members(seats: &[Seat]) -> Result<Vec<Member>, DecodeError> {
    seats.iter().map(Seat::member).collect()
}

impl Change {
    /// A part's group, to be agreed on.
    pub fn seated(part: u16, term: u64, members: &[Member]) -> Self {
        let seats = seats(members);
        Change::Seated { part, term, count: seats.len() as u16, seats }
    }
}

impl Control {
    /// Applies an agreed change.
    pub fn apply(&mut self, bytes: &Bytes) -> Result<Outcome, DecodeError> {
        let (change, tail): (Change, Bytes) = split(bytes)?;
        Ok(match change {
            Change::Configure { base, version } => self.configure(base, version, tail),
            Change::Store { seat } => {
                let member = seat.member()?;
                // Whoever had this address before is not there any more.
                self.stores.retain(|name, (old, _)| *name == member.name || old.at != member.at);
                match self.stores.get_mut(&member.name) {
                    // The same machine, also with another disk: an order to retire it still holds.
                    Some((old, _)) if old.id == member.id || old.at == member.at => *old = member,
                    _ => {
                        self.stores.insert(member.name.clone(), (member, false));
                    }
                }
                Outcome::Done
            }
            Change::Retire { store } => match self.stores.get_mut(store.to_str()?) {
                Some((_, retiring)) => {
                    *retiring = true;
                    Outcome::Done
                }
                None => Outcome::Unknown,
            },
            Change::Seated { part, term, seats, .. } => {
                let members = members(&seats)?;
                match self.groups.get_mut(&part) {
                    None => {
                        self.groups.insert(part, Group { founding: members.clone(), term, members });
                    }
                    // A founding that came twice, or word of a leader before.
                    Some(group) if term <= group.term && (term == 0 || term < group.term) => {}
                    Some(group) => (group.term, group.members) = (term, members),
                }
                Outcome::Done
            }
        })
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
    pub fn roster(&self, core: &[Member]) -> Roster {
        let stores = self.stores.values();
        let stores: Vec<Shelved> =
            stores.map(|(m, retiring)| Shelved { seat: m.into(), retiring: u8::from(*retiring) }).collect();
        let listed = |(part, group): (&u16, &Group)| Listed {
            part: *part,
            term: group.term,
            founders: group.founding.len() as u16,
            founding: seats(&group.founding),
            seated: group.members.len() as u16,
            members: seats(&group.members),
        };
        let groups: Vec<Listed> = self.groups.iter().map(listed).collect();
        let (cores, shelved, parts) = (core.len() as u16, stores.len() as u16, groups.len() as u16);
        Roster { cores, core: seats(core), shelved, stores, parts, groups }
    }

    pub fn snapshot(&self) -> Bytes {
        let accepted = self.accepted.iter().map(|(version, hash)| Pair { version: *version, hash: *hash });
        let accepted: Vec<Pair> = accepted.collect();
        let roster = self.roster(&[]);
        let image = Image { version: self.version, versions: accepted.len() as u32, accepted, roster };
        join(&image, &self.text)
    }

    /// # Errors
    /// Where the bytes are not a snapshot.
    pub fn restore(bytes: &Bytes) -> Result<Self, DecodeError> {
        let (image, text): (Image, Bytes) = split(bytes)?;
        let mut control = Control { version: image.version, text, ..Control::default() };
        control.accepted = image.accepted.iter().map(|p| (p.version, p.hash)).collect();
        for store in &image.roster.stores {
            let member = store.seat.member()?;
            control.stores.insert(member.name.clone(), (member, store.retiring > 0));
        }
        for group in &image.roster.groups {
            let (founding, seated) = (members(&group.founding)?, members(&group.members)?);
            control.groups.insert(group.part, Group { founding, term: group.term, members: seated });
        }
        Ok(control)
    }
}
