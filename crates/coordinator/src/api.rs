//! What is handed to a process's coordination and what it hands out: calls and their answers, effects, times.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;
use rainlug_consensus::{MemberId, Records};
use rainlug_registry::{Worker, WorkerReport};

/// A call of a client, worker or operator; answered by [`Effect::Answer`].
#[derive(Clone, Debug)]
pub enum Call {
    Heartbeat(Worker),
    Deregister(String),
    Configure { base: u64, text: Bytes },
    Configuration,
    Retire { store: String },
    Retiring { store: String },
    Submit { job: String, route: String, body: Bytes },
    Read { job: String, since: u64, wait: Time },
    Body { job: String, item: String },
    End { job: String },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub retry: Option<Time>,
    pub json: bool,
    pub body: Bytes,
}

impl Answer {
    pub fn of(status: u16) -> Self {
        Answer { status, retry: None, json: false, body: Bytes::new() }
    }

    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Answer { status, retry: None, json: true, body: body.into() }
    }

    pub(crate) fn later(status: u16, retry: Time) -> Self {
        Answer { status, retry: Some(retry), json: false, body: Bytes::new() }
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
    /// Appended to the part's log and synced; then [`Coordinator::saved`].
    Save {
        shard: u16,
        ticket: u64,
        records: Vec<Bytes>,
    },
    /// In place of all that the log holds; then [`Coordinator::saved`]. The first `implied` follow from what it holds: the others,
    /// appended, do as well. The records are encoded while they are written.
    Rewrite {
        shard: u16,
        ticket: u64,
        records: Records,
        implied: usize,
    },
    /// The disk gets this identity, and what it held of parts of batch jobs is dropped.
    Renew {
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
    Others(usize),
    /// What all processes saw of workers of late.
    Reports(Vec<WorkerReport>),
    /// An item of a batch job to be run at a worker; then [`Coordinator::ran`].
    Run {
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
