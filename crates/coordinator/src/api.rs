//! What is handed to a process's coordination and what it hands out: calls and their answers, effects, times.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;
use rainlug_consensus::{Member, MemberId, Records};
use rainlug_registry::{Worker, WorkerReport};

/// A call of a client, worker or operator; answered by [`Effect::Answer`].
#[derive(Clone, Debug)]
pub enum Call {
    Heartbeat(Worker),
    Deregister(String),
    Configure { base: u64, text: Bytes },
    Configuration,
    Retire { store: String },
    RetirementStatus { store: String },
    Submit { job: String, route: String, body: Bytes },
    Read { job: String, since: u64, wait: Time },
    Body { job: String, item: String },
    End { job: String },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<Time>,
    pub is_json: bool,
    pub body: Bytes,
}

impl Answer {
    pub fn with_status(status: u16) -> Self {
        Answer { status, retry_after: None, is_json: false, body: Bytes::new() }
    }

    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Answer { status, retry_after: None, is_json: true, body: body.into() }
    }

    pub(crate) fn retry_after(status: u16, delay: Time) -> Self {
        Answer { status, retry_after: Some(delay), is_json: false, body: Bytes::new() }
    }
}

/// What the process is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    Datagram {
        to: SocketAddr,
        bytes: Bytes,
    },
    /// Over a connection: whole and in order, or not at all; the head's bytes and then the tail's.
    Frame {
        to: SocketAddr,
        head: Bytes,
        tail: Bytes,
    },
    /// Appended to the part's log and synced; then [`Coordinator::persisted`].
    Append {
        shard: u16,
        ticket: u64,
        records: Vec<Bytes>,
    },
    /// In place of all that the log holds; then [`Coordinator::persisted`]. The first `implied` follow from what it holds: the others,
    /// appended, do as well. The records are encoded while they are written.
    Rewrite {
        shard: u16,
        ticket: u64,
        records: Records,
        implied: usize,
    },
    /// The disk gets this identity, and what it held of parts of batch jobs is dropped.
    ReplaceDiskIdentity {
        disk: MemberId,
    },
    Answer {
        ticket: u64,
        answer: Answer,
    },
    /// In force from now on.
    Configuration {
        version: u64,
        text: Bytes,
    },
    Worker(Worker),
    /// Others that send requests to workers.
    PeerCount(usize),
    /// What all processes saw of workers of late.
    Reports(Vec<WorkerReport>),
    /// An item of a batch job to be run at a worker; then [`Coordinator::item_finished`].
    RunItem {
        shard: u16,
        next: rainlug_batch::ItemRun,
    },
    /// Something that staff may want to know.
    Log(&'static str, String),
}

/// A process's time: its own steady clock, and the time of day, both in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    pub steady: Time,
    pub wall: Time,
}

/// A shard as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardStatus {
    /// This process leads the shard.
    pub is_leader: bool,
    /// Where the leader hears its peers, if it is known.
    pub leader: Option<SocketAddr>,
    /// The shard's members; empty where this process has no replica of it.
    pub members: Vec<Member>,
}
