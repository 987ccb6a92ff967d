//! What the control address lists for operators: one `GET` for each list, answered by this process's own view.

// In what nanoserde derives for fields that may be absent.
#![allow(clippy::question_mark)]

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;

use nanoserde::{DeJson, SerJson};
use rainlug_coordinator::{Answer, Coordinator};

use crate::control::{Asked, Exchange};
use crate::node::Node;

/// One list: its path, its lines, and the columns of a line as text.
pub trait Listing: Sized + SerJson + DeJson + 'static {
    type Row;
    const PATH: &'static str;
    const COLUMNS: &'static [&'static str];

    fn of(coordinator: &Coordinator) -> Self;
    fn rows(&self) -> &[Self::Row];
    fn cells(line: &Self::Row) -> Vec<String>;
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub role: String,
    pub standing: String,
    pub peer: String,
    pub control: Option<String>,
    pub for_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Members {
    pub members: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub phase: String,
    pub slots: u32,
    pub call_seq: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Workers {
    pub workers: Vec<Worker>,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Store {
    pub name: String,
    pub zone: String,
    pub peer: String,
    pub standing: String,
    pub retiring: bool,
    pub parts: Vec<u16>,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Stores {
    pub stores: Vec<Store>,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Part {
    pub number: u16,
    pub holds: String,
    pub leader: Option<String>,
    pub members: Vec<String>,
    pub term: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, SerJson, DeJson)]
pub struct Parts {
    pub parts: Vec<Part>,
}

fn text(address: SocketAddr) -> String {
    address.to_string()
}

fn or_dash(text: &Option<String>) -> String {
    text.clone().unwrap_or_else(|| "-".to_owned())
}

impl Listing for Members {
    type Row = Member;
    const PATH: &'static str = "/v1/members";
    const COLUMNS: &'static [&'static str] = &["NAME", "ROLE", "ZONE", "STANDING", "FOR", "PEERS", "CONTROL"];

    fn of(coordinator: &Coordinator) -> Self {
        let member = |m: rainlug_coordinator::listing::MemberListing| Member {
            name: m.name,
            zone: m.zone,
            role: m.role.to_owned(),
            standing: m.standing.to_owned(),
            peer: text(m.peer),
            control: m.control.map(text),
            for_ms: m.for_ms,
        };
        Members { members: coordinator.list_members().into_iter().map(member).collect() }
    }

    fn rows(&self) -> &[Member] {
        &self.members
    }

    fn cells(m: &Member) -> Vec<String> {
        let (name, role, zone, standing) =
            (m.name.clone(), m.role.clone(), m.zone.clone(), m.standing.clone());
        vec![
            name,
            role,
            zone,
            standing,
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

    fn of(coordinator: &Coordinator) -> Self {
        let worker = |w: rainlug_coordinator::listing::WorkerListing| Worker {
            id: w.id,
            service: w.service,
            zone: w.zone,
            address: text(w.address),
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
        let (id, service, zone, address) =
            (w.id.clone(), w.service.clone(), w.zone.clone(), w.address.clone());
        vec![id, service, zone, address, w.phase.clone(), w.slots.to_string(), w.call_seq.to_string()]
    }
}

impl Listing for Stores {
    type Row = Store;
    const PATH: &'static str = "/v1/stores";
    const COLUMNS: &'static [&'static str] = &["NAME", "ZONE", "PEERS", "STANDING", "RETIRING", "PARTS"];

    fn of(coordinator: &Coordinator) -> Self {
        let store = |s: rainlug_coordinator::listing::StoreListing| Store {
            name: s.name,
            zone: s.zone,
            peer: text(s.peer),
            standing: s.standing.to_owned(),
            retiring: s.retiring,
            parts: s.shards,
        };
        Stores { stores: coordinator.list_stores().into_iter().map(store).collect() }
    }

    fn rows(&self) -> &[Store] {
        &self.stores
    }

    fn cells(s: &Store) -> Vec<String> {
        let parts: Vec<String> = s.parts.iter().map(u16::to_string).collect();
        let parts = if parts.is_empty() { "-".to_owned() } else { parts.join(",") };
        let retiring = if s.retiring { "yes" } else { "no" };
        vec![s.name.clone(), s.zone.clone(), s.peer.clone(), s.standing.clone(), retiring.to_owned(), parts]
    }
}

impl Listing for Parts {
    type Row = Part;
    const PATH: &'static str = "/v1/parts";
    const COLUMNS: &'static [&'static str] = &["PART", "HOLDS", "LEADER", "TERM", "MEMBERS"];

    fn of(coordinator: &Coordinator) -> Self {
        let part = |p: rainlug_coordinator::listing::ShardListing| Part {
            number: p.number,
            holds: p.holds.to_owned(),
            leader: p.leader,
            members: p.members,
            term: p.term,
        };
        Parts { parts: coordinator.list_shards().into_iter().map(part).collect() }
    }

    fn rows(&self) -> &[Part] {
        &self.parts
    }

    fn cells(p: &Part) -> Vec<String> {
        let members = if p.members.is_empty() { "-".to_owned() } else { p.members.join(",") };
        vec![p.number.to_string(), p.holds.clone(), or_dash(&p.leader), p.term.to_string(), members]
    }
}

/// `GET` of a list.
pub struct List<L>(PhantomData<L>);

impl<L: Listing> Exchange for List<L> {
    type Answer = Answer;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = L::PATH;

    fn read(_: Asked) -> Result<Self, Answer> {
        Ok(List(PhantomData))
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        Answer::json(200, node.with("listing", |coordinator, _| L::of(coordinator).serialize_json()))
    }
}
