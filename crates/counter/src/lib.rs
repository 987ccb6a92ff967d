//! The data plane: what clients send at the front address goes to workers, and what these answer goes back. The choice of worker
//! is `rainlug-award`'s; this crate carries it out.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use rainlug_registry::{Configuration, Route, Worker};
use tokio::net::TcpListener;

/// An answer of this tier's own.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    /// Seconds after which to ask again.
    pub retry_after: Option<f64>,
    pub body: Bytes,
    /// `application/json`, or bytes as they are.
    pub json: bool,
}

pub type Replying = Pin<Box<dyn Future<Output = Reply>>>;

/// Where calls on batch jobs go: `POST` under a bulk route, `GET`/`DELETE /v1/lots/ID`, `GET /v1/items/ID?id=`.
pub trait Lots {
    fn submit(&self, route: Rc<Route>, id: String, body: Bytes) -> Replying;
    fn read(&self, id: String, since_item: u64, wait_ms: u64) -> Replying;
    fn item(&self, id: String, item: String) -> Replying;
    fn end(&self, id: String) -> Replying;
}

/// What the process is told of itself.
#[derive(Clone, Debug)]
pub struct Told {
    pub node: String,
    pub zone: String,
    pub memory_mb: usize,
    pub max_fds: usize,
    pub grace_s: f64,
    pub pass_ms: u64,
    pub seed: u64,
}

/// One item of a batch job to be run at a worker.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: String,
    pub route: Rc<Route>,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// The last event that is had already, 0 for none; the run goes on after it.
    pub last_event: u64,
    /// Milliseconds that the worker is given (`X-Rainlug-Deadline-Ms`).
    pub deadline_ms: u64,
    pub tried: Vec<String>,
}

/// How a run of an item ended. Events are (id, data) in order, from `last_event` + 1.
#[derive(Clone, Debug)]
pub struct Ran {
    pub worker: Option<String>,
    pub events: Vec<(u64, Bytes)>,
    pub end: RanEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RanEnd {
    Complete,
    /// 500: a failed attempt.
    Failed,
    /// 422: never.
    Never,
    /// Not run, broken off or lost; may go on elsewhere after the events that came.
    Again,
    /// No worker can take it now.
    NoRoom,
}

pub struct Counter {}

impl Counter {
    pub fn new(_told: Told) -> Rc<Self> {
        todo!()
    }
    /// The newest configuration that is in force; only ever goes up.
    pub fn configure(&self, _configuration: Rc<Configuration>) {
        todo!()
    }
    /// A worker is new or changed.
    pub fn worker(&self, _worker: &Worker) {
        todo!()
    }
    /// How many other dispatchers live.
    pub fn others(&self, _count: usize) {
        todo!()
    }
    /// Serves clients for good.
    pub async fn serve(self: Rc<Self>, _front: TcpListener, _lots: Rc<dyn Lots>) {
        todo!()
    }
    /// Answers `GET /v1/readiness` for good; 200 where `ready` says so and it is not stopping.
    pub async fn readiness(self: Rc<Self>, _at: TcpListener, _ready: Rc<dyn Fn() -> bool>) {
        todo!()
    }
    /// The timers of the picks, for good.
    pub async fn run(self: Rc<Self>) {
        todo!()
    }
    /// Runs an item of a batch job at a worker, once.
    pub async fn item(&self, _item: Item) -> Ran {
        todo!()
    }
    /// SIGTERM: unready at once, idle client connections are closed in order, what is in hand is finished; ends when all is.
    pub async fn stop(&self) {
        todo!()
    }
    /// Figures as (name, value), for the control address.
    pub fn figures(&self) -> Vec<(String, f64)> {
        todo!()
    }
    /// Where a worker was last reached, for tests.
    pub fn reaches(&self, _id: &str) -> Option<SocketAddr> {
        None
    }
}
