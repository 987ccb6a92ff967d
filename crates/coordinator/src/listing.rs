//! Listings for operators: members, workers, stores and shards as this process knows them now. Nothing is asked of other processes.

use std::net::SocketAddr;

use rainlug_fleet::Standing;
use rainlug_registry::{Phase, Worker};

use crate::sharding::{ShardContent, content_of};
use crate::topology::StoreRecord;
use crate::{CONTROL, Coordinator};

/// A process of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberListing {
    /// The machine's name.
    pub name: String,
    /// The failure domain that it is in.
    pub zone: String,
    /// `gateway` or `store`; empty where its membership card does not say.
    pub role: &'static str,
    /// `alive`, `suspect`, `gone` or `left`.
    pub standing: &'static str,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where it serves workers and operators, if it does.
    pub control_address: Option<SocketAddr>,
    /// How long it has had this standing, in milliseconds.
    pub for_ms: u64,
}

/// A worker, as the gossip has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Its id, as it calls itself.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The failure domain that it is in.
    pub zone: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// `ready`, `silent` or `draining`.
    pub phase: &'static str,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The number of its last call.
    pub call_seq: u64,
}

/// A store in the topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreListing {
    /// The machine's name.
    pub name: String,
    /// The failure domain that it is in.
    pub zone: String,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// By membership, as for members; `unknown` where it was never met.
    pub standing: &'static str,
    /// Whether it was ordered to give up its replicas.
    pub is_retiring: bool,
    /// The shards that it holds a replica of, by number.
    pub shards: Vec<u16>,
}

/// A shard and its replica set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardListing {
    /// Its number; 0 holds the configuration.
    pub number: u16,
    /// What it holds: `configuration` or `lots`.
    pub content: &'static str,
    /// Its leader's name, or address where the name is not known; none where this process knows no leader.
    pub leader: Option<String>,
    /// Names of its members, or addresses where a name is not known.
    pub members: Vec<String>,
    /// The term of its leader.
    pub term: u64,
}

/// What this process knows of a shard; processes by their peer addresses.
struct ShardView {
    leader: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    term: u64,
}

fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Gone => "gone",
        Standing::Left => "left",
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
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
            for (card, standing, since) in member.processes {
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
                    standing: standing_name(standing),
                    peer_address: card.at,
                    control_address: (port != 0).then(|| SocketAddr::new(card.at.ip(), port)),
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
            phase: phase_name(worker.phase),
            slots: worker.slots,
            call_seq: worker.call_seq,
        };
        self.gossip.workers().map(line).collect()
    }

    /// The stores in the topology, by name.
    pub fn list_stores(&self) -> Vec<StoreListing> {
        let members = self.list_members();
        let standing_at = |address: SocketAddr| {
            members.iter().filter(|member| member.peer_address == address).map(|member| member.standing).min()
        };
        let line = |store: &StoreRecord| {
            let member = store.member.to_member().ok()?;
            let sets = self.topology.replica_sets.iter().filter(|set| set.has_member(member.id));
            Some(StoreListing {
                standing: standing_at(member.address).unwrap_or("unknown"),
                shards: sets.map(|set| set.shard).collect(),
                name: member.name,
                zone: member.zone,
                peer_address: member.address,
                is_retiring: store.is_retiring(),
            })
        };
        let mut lines: Vec<StoreListing> = self.topology.stores.iter().filter_map(line).collect();
        lines.sort_by(|a, b| a.name.cmp(&b.name));
        lines
    }

    /// All shards as far as this process knows them: those that it holds no replica of, by the topology and by where calls went
    /// last.
    pub fn list_shards(&self) -> Vec<ShardListing> {
        let members = self.list_members();
        let name_at = |address: SocketAddr| {
            let member = members.iter().find(|member| member.peer_address == address);
            member.map_or_else(|| address.to_string(), |member| member.name.clone())
        };
        let line = |number: u16| {
            let view = self.view_of_shard(number);
            ShardListing {
                number,
                content: match content_of(number) {
                    ShardContent::Configuration => "configuration",
                    ShardContent::BatchJobs => "lots",
                    ShardContent::Primitives => "locks",
                },
                leader: view.leader.map(name_at),
                members: view.members.into_iter().map(name_at).collect(),
                term: view.term,
            }
        };
        (CONTROL..=self.info.last_shard()).map(line).collect()
    }

    fn view_of_shard(&self, number: u16) -> ShardView {
        if let Some(shard) = self.shards.get(&number) {
            return ShardView {
                leader: shard.replica.leader().map(|member| member.address),
                members: shard.replica.members().iter().map(|member| member.address).collect(),
                term: shard.replica.term(),
            };
        }
        let set = self.topology.replica_set(number);
        let records = if number == CONTROL {
            Some(&self.topology.configuration_members)
        } else {
            set.map(|set| &set.members)
        };
        let members = records.into_iter().flatten().filter_map(|record| record.to_member().ok());
        ShardView {
            leader: self.calls.leader_hint(number),
            members: members.map(|member| member.address).collect(),
            term: set.map_or(0, |set| set.term),
        }
    }
}
