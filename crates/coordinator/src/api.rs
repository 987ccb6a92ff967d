//! What the process passes to its [`Coordinator`](crate::Coordinator) and what it gets back: calls and their answers, effects, times.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;
use rainlug_consensus::{Member, MemberId, Records};
use rainlug_registry::{Worker, WorkerReport};

use crate::PrimitiveCall;

/// A call of a client, worker or operator; answered by [`Effect::Answer`].
#[derive(Clone, Debug)]
pub enum Call {
    /// A worker's periodic sign of life, with its state.
    Heartbeat(Worker),
    /// The last call of the worker with this id.
    Deregister(String),
    /// Put a configuration in force, if version `base` is in force now.
    Configure {
        /// The version that the operator has edited.
        base: u64,
        /// The configuration as JSON.
        text: Bytes,
    },
    /// Read the configuration in force.
    Configuration,
    /// Move all replicas away from a store, for good.
    Retire {
        /// The store's name.
        store: String,
    },
    /// Read whether a store that retires may be taken away.
    RetirementStatus {
        /// The store's name.
        store: String,
    },
    /// Submit a batch job.
    Submit {
        /// The job's id.
        job: String,
        /// The name of its route.
        route: String,
        /// Its items, as the client sent them.
        body: Bytes,
    },
    /// Read a batch job's outputs.
    Read {
        /// The job's id.
        job: String,
        /// The position of the first output to read.
        since: u64,
        /// How long to wait for an output where there is none yet, in microseconds.
        wait: Time,
    },
    /// Read the body of an item's request.
    Body {
        /// The job's id.
        job: String,
        /// The item's id.
        item: String,
    },
    /// A call on locks, numbers and keys.
    Primitive(PrimitiveCall),
    /// End a batch job: what has not run will not run.
    End {
        /// The job's id.
        job: String,
    },
}

/// The answer to a call, in the terms of HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// When the caller may come back, in microseconds.
    pub retry_after: Option<Time>,
    /// The body is JSON.
    pub is_json: bool,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// An answer without a body.
    pub fn with_status(status: u16) -> Self {
        Answer { status, retry_after: None, is_json: false, body: Bytes::new() }
    }

    /// An answer with a body of JSON.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Answer { status, retry_after: None, is_json: true, body: body.into() }
    }

    /// An answer that tells the caller to come back, after so many microseconds.
    pub(crate) fn retry_after(status: u16, delay: Time) -> Self {
        Answer { status, retry_after: Some(delay), is_json: false, body: Bytes::new() }
    }
}

/// What the process is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a datagram. It may be lost.
    Datagram {
        /// Where the receiver hears its peers.
        to: SocketAddr,
        /// The payload.
        bytes: Bytes,
    },
    /// Send a frame over the connection to a peer: whole and in order, or not at all; the head's bytes and then the tail's.
    Frame {
        /// Where the receiver hears its peers.
        to: SocketAddr,
        /// The encoded head.
        head: Bytes,
        /// What follows it.
        tail: Bytes,
    },
    /// Append records to a shard's log and sync it; then call [`Coordinator::persisted`](crate::Coordinator::persisted).
    Append {
        /// The shard.
        shard: u16,
        /// What `persisted` is to be called with.
        ticket: u64,
        /// The records.
        records: Vec<Bytes>,
    },
    /// Replace all that a shard's log holds and sync it; then call [`Coordinator::persisted`](crate::Coordinator::persisted).
    Rewrite {
        /// The shard.
        shard: u16,
        /// What `persisted` is to be called with.
        ticket: u64,
        /// The records, which are encoded while they are written.
        records: Records,
        /// So many of the first records follow from what the log holds: to append the others is as good.
        implied: usize,
    },
    /// Give the disk this identity, and drop what it held of shards of stores.
    ReplaceDiskIdentity {
        /// The new identity.
        disk: MemberId,
    },
    /// Answer a call.
    Answer {
        /// The call's ticket.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// Put a configuration in force at this process.
    Configuration {
        /// Its version.
        version: u64,
        /// The configuration as JSON.
        text: Bytes,
    },
    /// A worker's state has changed.
    Worker(Worker),
    /// How many other gateways there are, which send requests to the same workers.
    PeerCount(usize),
    /// What all processes saw of workers of late.
    Reports(Vec<WorkerReport>),
    /// Run an item of a batch job at a worker; then call [`Coordinator::item_finished`](crate::Coordinator::item_finished).
    RunItem {
        /// The shard of the item's job.
        shard: u16,
        /// The item.
        next: rainlug_batch::ItemRun,
    },
    /// Write an event (its name and its text) to the log for operators.
    Log(&'static str, String),
}

/// A reading of the process's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock, in microseconds; its zero means nothing.
    pub steady: Time,
    /// The wall clock, in microseconds since the Unix epoch.
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
