//! What an operator may want to see of this process's view: members, workers, stores, parts. It is what this process knows now;
//! nothing is asked of others.

use std::net::SocketAddr;

use rainlug_consensus::Member;
use rainlug_fleet::Standing;
use rainlug_registry::{Phase, Worker};

use crate::frame::MemberRecord;
use crate::{BATCH_SHARDS, CONTROL, Coordinator};

/// A process of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberListing {
    pub name: String,
    pub zone: String,
    /// `gateway` or `store`; empty where it does not say.
    pub role: &'static str,
    /// `alive`, `suspect`, `gone` or `left`.
    pub standing: &'static str,
    /// Where it hears its peers.
    pub peer: SocketAddr,
    /// Where it serves workers and operators, if it does.
    pub control: Option<SocketAddr>,
    /// How long it has stood so, in milliseconds.
    pub for_ms: u64,
}

/// A worker, as the gossip has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// `ready`, `silent` or `draining`.
    pub phase: &'static str,
    pub slots: u32,
    pub call_seq: u64,
}

/// A store on the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreListing {
    pub name: String,
    pub zone: String,
    pub peer: SocketAddr,
    /// By membership, as for members; `unknown` where it was never met.
    pub standing: &'static str,
    pub retiring: bool,
    /// The parts that it has a seat in.
    pub shards: Vec<u16>,
}

/// A part and its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardListing {
    pub number: u16,
    /// `configuration` or `lots`.
    pub holds: &'static str,
    /// Its leader's name, or address; none where this process does not know.
    pub leader: Option<String>,
    pub members: Vec<String>,
    pub term: u64,
}

fn standing(of: Standing) -> &'static str {
    match of {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Gone => "gone",
        Standing::Left => "left",
    }
}

fn phase(of: Phase) -> &'static str {
    match of {
        Phase::Ready => "ready",
        Phase::Unresponsive => "silent",
        Phase::Draining => "draining",
        Phase::Gone => "gone",
    }
}

impl Coordinator {
    /// All processes that this one knows of, itself too, by name.
    pub fn list_members(&self) -> Vec<MemberListing> {
        let mut lines = Vec::new();
        for member in self.peers.view.members() {
            for (card, stands, since) in member.processes {
                let (role, port) = match card.figures[..] {
                    [role, high, low, ..] => {
                        (if role == 1 { "gateway" } else { "store" }, u16::from_be_bytes([high, low]))
                    }
                    _ => ("", 0),
                };
                lines.push(MemberListing {
                    name: card.name.clone(),
                    zone: card.zone.clone(),
                    role,
                    standing: standing(stands),
                    peer: card.at,
                    control: (port != 0).then(|| SocketAddr::new(card.at.ip(), port)),
                    for_ms: u64::try_from((self.now.steady - since).max(0) / 1000).unwrap_or(0),
                });
            }
        }
        lines
    }

    /// All workers that the gossip lists, by id.
    pub fn list_workers(&self) -> Vec<WorkerListing> {
        let line = |worker: &Worker| WorkerListing {
            id: worker.id.clone(),
            service: worker.service.clone(),
            zone: worker.zone.clone(),
            address: worker.address,
            phase: phase(worker.phase),
            slots: worker.slots,
            call_seq: worker.call_seq,
        };
        self.gossip.workers().map(line).collect()
    }

    /// The roster of stores, by name.
    pub fn list_stores(&self) -> Vec<StoreListing> {
        let members = self.list_members();
        let stands = |at: SocketAddr| members.iter().filter(|m| m.peer == at).map(|m| m.standing).min();
        let mut lines: Vec<StoreListing> = Vec::new();
        for (member, retiring) in self.shelved() {
            let holds = |seats: &[MemberRecord]| seats.iter().any(|s| s.id == member.id);
            let shards =
                self.topology.replica_sets.iter().filter(|g| holds(&g.members)).map(|g| g.shard).collect();
            let standing = stands(member.address).unwrap_or("unknown");
            lines.push(StoreListing {
                name: member.name,
                zone: member.zone,
                peer: member.address,
                standing,
                retiring,
                shards,
            });
        }
        lines.sort_by(|a, b| a.name.cmp(&b.name));
        lines
    }

    fn shelved(&self) -> impl Iterator<Item = (Member, bool)> {
        self.topology.stores.iter().filter_map(|s| Some((s.member.to_member().ok()?, s.is_retiring())))
    }

    /// All parts, as far as this process knows: of a part that it has no replica in, by the roster and by where calls went last.
    pub fn list_shards(&self) -> Vec<ShardListing> {
        let members = self.list_members();
        let named = |at: SocketAddr| {
            let member = members.iter().find(|m| m.peer == at);
            member.map_or_else(|| at.to_string(), |m| m.name.clone())
        };
        let line = |number: u16| {
            let (leader, seats, term) = match self.shards.get(&number) {
                Some(shard) => {
                    let seats: Vec<SocketAddr> = shard.replica.members().iter().map(|m| m.address).collect();
                    (shard.replica.leader().map(|m| m.address), seats, shard.replica.term())
                }
                None => {
                    let listed = self.topology.replica_sets.iter().find(|g| g.shard == number);
                    let seats = if number == CONTROL {
                        Some(&self.topology.configuration_members)
                    } else {
                        listed.map(|g| &g.members)
                    };
                    let seats = seats
                        .into_iter()
                        .flatten()
                        .filter_map(|s| s.to_member().ok())
                        .map(|m| m.address)
                        .collect();
                    (self.calls.leader_hint(number), seats, listed.map_or(0, |g| g.term))
                }
            };
            ShardListing {
                number,
                holds: if number == CONTROL { "configuration" } else { "lots" },
                leader: leader.map(named),
                members: seats.into_iter().map(named).collect(),
                term,
            }
        };
        (CONTROL..=BATCH_SHARDS).map(line).collect()
    }
}
