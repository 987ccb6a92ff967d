//! What the control address lists for operators: this process's own view, as JSON and as rows of a table.

// In what nanoserde derives for fields that may be absent.
#![allow(clippy::question_mark)]

use nanoserde::{DeJson, SerJson};
use rainlug_coordinator::Coordinator;
use rainlug_coordinator::listing::{MemberListing, ShardListing, StoreListing, WorkerListing};

/// One listing: its path at the control address, its rows, and the cells of a row as text.
pub trait Listing: Sized + SerJson + DeJson + 'static {
    /// What a row shows.
    type Row;
    /// The path at the control address.
    const PATH: &'static str;
    /// The names of the columns.
    const COLUMNS: &'static [&'static str];

    /// What the coordinator knows now.
    fn collect(coordinator: &Coordinator) -> Self;
    /// All rows, in order.
    fn rows(&self) -> &[Self::Row];
    /// The cells of a row, one for each column.
    fn cells(row: &Self::Row) -> Vec<String>;
}

/// A process of the tier.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Member {
    /// The process's name.
    pub name: String,
    /// The zone of its machine.
    pub zone: String,
    /// `gateway` or `store`; empty where it is unknown.
    pub role: String,
    /// `alive`, `suspect`, `gone` or `left`.
    pub standing: String,
    /// Where it listens for its peers.
    pub peer: String,
    /// Where it serves workers and operators, if it does.
    pub control: Option<String>,
    /// How long it has had this standing, in milliseconds.
    pub for_ms: u64,
}

/// The processes of the tier.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Members {
    /// All processes that are known.
    pub members: Vec<Member>,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Worker {
    /// Its id, which differs at each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The zone of its machine.
    pub zone: String,
    /// Where it serves.
    pub address: String,
    /// `ready`, `silent` or `draining`.
    pub phase: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The number of its last heartbeat.
    pub call_seq: u64,
}

/// The workers.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Workers {
    /// All workers that are known.
    pub workers: Vec<Worker>,
}

/// A store.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Store {
    /// The process's name.
    pub name: String,
    /// The zone of its machine.
    pub zone: String,
    /// Where it listens for its peers.
    pub peer: String,
    /// As of a [`Member`]; `unknown` where it was never met.
    pub standing: String,
    /// Whether it is being emptied.
    #[nserde(rename = "retiring")]
    pub is_retiring: bool,
    /// The shards that it holds replicas of.
    #[nserde(rename = "parts")]
    pub shards: Vec<u16>,
}

/// The stores.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Stores {
    /// All stores of the topology.
    pub stores: Vec<Store>,
}

/// A shard and its replica set.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Shard {
    /// Its number; 0 is the configuration's.
    pub number: u16,
    /// `configuration` or `lots` (batch jobs).
    #[nserde(rename = "holds")]
    pub contents: String,
    /// Its leader's name, or address; `None` where this process does not know it.
    pub leader: Option<String>,
    /// The names of the members of its replica set.
    pub members: Vec<String>,
    /// The leader's term.
    pub term: u64,
}

/// The shards of the state.
#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Shards {
    /// All shards, by number.
    #[nserde(rename = "parts")]
    pub shards: Vec<Shard>,
}

fn or_dash(text: &Option<String>) -> String {
    text.clone().unwrap_or_else(|| "-".to_owned())
}

impl Listing for Members {
    type Row = Member;
    const PATH: &'static str = "/v1/members";
    const COLUMNS: &'static [&'static str] = &["NAME", "ROLE", "ZONE", "STANDING", "FOR", "PEERS", "CONTROL"];

    fn collect(coordinator: &Coordinator) -> Self {
        let member = |m: MemberListing| Member {
            name: m.name,
            zone: m.zone,
            role: m.role.to_owned(),
            standing: m.standing.to_owned(),
            peer: m.peer_address.to_string(),
            control: m.control_address.map(|at| at.to_string()),
            for_ms: m.for_ms,
        };
        Members { members: coordinator.list_members().into_iter().map(member).collect() }
    }

    fn rows(&self) -> &[Member] {
        &self.members
    }

    fn cells(m: &Member) -> Vec<String> {
        vec![
            m.name.clone(),
            m.role.clone(),
            m.zone.clone(),
            m.standing.clone(),
            format!("{} s", m.for_ms / 1000),
            m.peer.clone(),
            or_dash(&m.control),
        ]
    }
}

impl Listing for Workers {
    type Row = Worker;
    const PATH: &'static str = "/v1/workers";
    const COLUMNS: &'static [&'static str] = &["ID", "SERVICE", "ZONE", "ADDRESS", "PHASE", "SLOTS", "CALLS"];

    fn collect(coordinator: &Coordinator) -> Self {
        let worker = |w: WorkerListing| Worker {
            id: w.id,
            service: w.service,
            zone: w.zone,
            address: w.address.to_string(),
            phase: w.phase.to_owned(),
            slots: w.slots,
            call_seq: w.call_seq,
        };
        Workers { workers: coordinator.list_workers().into_iter().map(worker).collect() }
    }

    fn rows(&self) -> &[Worker] {
        &self.workers
    }

    fn cells(w: &Worker) -> Vec<String> {
        vec![
            w.id.clone(),
            w.service.clone(),
            w.zone.clone(),
            w.address.clone(),
            w.phase.clone(),
            w.slots.to_string(),
            w.call_seq.to_string(),
        ]
    }
}

impl Listing for Stores {
    type Row = Store;
    const PATH: &'static str = "/v1/stores";
    const COLUMNS: &'static [&'static str] = &["NAME", "ZONE", "PEERS", "STANDING", "RETIRING", "PARTS"];

    fn collect(coordinator: &Coordinator) -> Self {
        let store = |s: StoreListing| Store {
            name: s.name,
            zone: s.zone,
            peer: s.peer_address.to_string(),
            standing: s.standing.to_owned(),
            is_retiring: s.is_retiring,
            shards: s.shards,
        };
        Stores { stores: coordinator.list_stores().into_iter().map(store).collect() }
    }

    fn rows(&self) -> &[Store] {
        &self.stores
    }

    fn cells(s: &Store) -> Vec<String> {
        let shards: Vec<String> = s.shards.iter().map(u16::to_string).collect();
        let shards = if shards.is_empty() { "-".to_owned() } else { shards.join(",") };
        let retiring = if s.is_retiring { "yes" } else { "no" };
        vec![s.name.clone(), s.zone.clone(), s.peer.clone(), s.standing.clone(), retiring.to_owned(), shards]
    }
}

impl Listing for Shards {
    type Row = Shard;
    const PATH: &'static str = "/v1/parts";
    const COLUMNS: &'static [&'static str] = &["PART", "HOLDS", "LEADER", "TERM", "MEMBERS"];

    fn collect(coordinator: &Coordinator) -> Self {
        let shard = |s: ShardListing| Shard {
            number: s.number,
            contents: s.content.to_owned(),
            leader: s.leader,
            members: s.members,
            term: s.term,
        };
        Shards { shards: coordinator.list_shards().into_iter().map(shard).collect() }
    }

    fn rows(&self) -> &[Shard] {
        &self.shards
    }

    fn cells(p: &Shard) -> Vec<String> {
        let members = if p.members.is_empty() { "-".to_owned() } else { p.members.join(",") };
        vec![p.number.to_string(), p.contents.clone(), or_dash(&p.leader), p.term.to_string(), members]
    }
}
