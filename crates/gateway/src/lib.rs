//! The data plane: what clients send at the front address goes to workers, and what these answer goes back. The choice of worker
//! is `rainlug-placement`'s; this crate carries it out.

mod answers;
mod batch_api;
mod connections;
mod forward;
mod items;
mod metrics;
mod request;
mod routing;
mod server;
mod split;
mod stopping;
mod stream;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug::Time;
use rainlug_placement::{Mechanisms, Placement};
use rainlug_registry::{Configuration, Limits, Phase, Route, Worker, WorkerReport};
use rainlug_transport::{Bounds, Pool, Sizes};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

use crate::connections::Connections;
use crate::metrics::Figures;
use crate::routing::Service;
use crate::split::SplitTurns;
use crate::stopping::Stopping;

pub use crate::stream::{Event, Events};

/// Buffers, and the largest head of a worker's answer, in bytes. Bodies come in parts.
const SIZES: Sizes = Sizes { head: 16 << 10, body: usize::MAX, buffer: 8 << 10 };
/// What clients may send before there is a configuration.
const LIMITS: Limits = Limits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
};
/// Bodies of requests that are in hand may take one part of so many of the memory.
const BODIES: usize = 4;
/// Beyond so many microseconds (a hundred years) there are no instants.
const MOST_MICROS: u64 = 3_155_760_000_000_000;
/// How often idle connections to workers are looked through, and the timers of new services.
const LOOK: Duration = Duration::from_millis(500);

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
pub trait BatchApi {
    fn submit(&self, route: Rc<Route>, id: String, body: Bytes) -> Replying;
    fn read(&self, id: String, since_item: u64, wait_ms: u64) -> Replying;
    fn item(&self, id: String, item: String) -> Replying;
    fn end(&self, id: String) -> Replying;
}

/// What the process is told of itself.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub node: String,
    pub zone: String,
    pub memory_mb: usize,
    pub max_fds: usize,
    pub grace_s: f64,
    pub pass_ms: u64,
    pub seed: u64,
    /// For experiments.
    pub mechanisms: Mechanisms,
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

/// Milliseconds that somebody else names; a day at most, so that no sum goes over.
fn millis(told: u64) -> Duration {
    Duration::from_millis(told.min(86_400_000))
}

/// The clock of the picks: microseconds since the start.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    fn now(self) -> Time {
        Time::try_from(self.0.elapsed().as_micros()).unwrap_or(Time::MAX)
    }

    fn instant(self, at: Time) -> Instant {
        self.0 + Duration::from_micros(u64::try_from(at).unwrap_or_default().min(MOST_MICROS))
    }
}

pub struct Gateway {
    told: GatewaySettings,
    clock: Clock,
    configuration: RefCell<Option<Rc<Configuration>>>,
    services: RefCell<HashMap<String, Rc<Service>>>,
    workers: RefCell<HashMap<String, Worker>>,
    others: Cell<usize>,
    chance: Cell<u64>,
    split_turns: SplitTurns,
    pool: Pool,
    bounds: Bounds,
    connections: Rc<Connections>,
    /// Bytes of bodies of requests in hand.
    bodies: Cell<usize>,
    stopping: Stopping,
    metrics: Figures,
}

impl Gateway {
    pub fn new(told: GatewaySettings) -> Rc<Self> {
        let memory = told.memory_mb << 20;
        let pool = Pool::within(memory, SIZES);
        let bounds = Bounds::within(told.max_fds, memory, SIZES, false);
        let connections = Rc::new(Connections::new(pool.clone(), bounds.workers.clone()));
        Rc::new(Gateway {
            clock: Clock(Instant::now()),
            configuration: RefCell::default(),
            services: RefCell::default(),
            workers: RefCell::default(),
            others: Cell::new(0),
            chance: Cell::new(told.seed),
            split_turns: SplitTurns::default(),
            pool,
            bounds,
            connections,
            bodies: Cell::new(0),
            stopping: Stopping::new(told.grace_s),
            metrics: Figures::default(),
            told,
        })
    }

    /// The newest configuration that is in force; only ever goes up.
    pub fn configure(&self, configuration: Rc<Configuration>) {
        let older = self.configuration.borrow().as_ref().is_some_and(|c| c.version >= configuration.version);
        if older {
            return;
        }
        for told in &configuration.services {
            let known = self.services.borrow().get(&told.name).cloned();
            let service = known.unwrap_or_else(|| self.open(&told.name));
            service.max_conns.set(told.max_conns);
            service.placement.borrow_mut().service(told.slots, told.kv_capacity_tokens);
        }
        self.split_turns.keep(&configuration.routes);
        spdlog::debug!("configuration {} is in force here", configuration.version);
        *self.configuration.borrow_mut() = Some(configuration);
    }

    /// A service that was not known.
    fn open(&self, name: &str) -> Rc<Service> {
        let now = self.clock.now();
        let mut placement = Placement::new(&self.told.zone, self.draw_bits(), now);
        placement.mechanisms(self.told.mechanisms);
        placement.others(self.others.get());
        for worker in self.workers.borrow().values().filter(|w| w.service == name) {
            placement.worker(now, worker);
        }
        let service = Service::new(placement);
        self.services.borrow_mut().insert(name.to_owned(), service.clone());
        service
    }

    /// A worker is new or changed.
    pub fn worker(&self, worker: &Worker) {
        if worker.phase == Phase::Gone {
            self.workers.borrow_mut().remove(&worker.id);
        } else {
            self.workers.borrow_mut().insert(worker.id.clone(), worker.clone());
        }
        if worker.phase >= Phase::Draining {
            self.connections.drop_idle(&worker.id, worker.phase == Phase::Gone);
        }
        let service = self.services.borrow().get(&worker.service).cloned();
        if let Some(service) = service {
            service.placement.borrow_mut().worker(self.clock.now(), worker);
            service.wake();
        }
    }

    /// How many other dispatchers live.
    pub fn others(&self, count: usize) {
        self.others.set(count);
        self.services.borrow().values().for_each(|service| service.placement.borrow_mut().others(count));
    }

    /// What was seen of workers since the last call, for the other processes.
    pub fn reports(&self) -> Vec<WorkerReport> {
        let now = self.clock.now();
        let services = self.services.borrow();
        services.values().flat_map(|service| service.placement.borrow_mut().reports(now)).collect()
    }

    /// What all processes saw of workers.
    pub fn reported(&self, reports: &[WorkerReport]) {
        let now = self.clock.now();
        for service in self.services.borrow().values() {
            let mut placement = service.placement.borrow_mut();
            reports.iter().for_each(|report| placement.reported(now, report));
        }
    }

    /// Serves clients for good.
    pub async fn serve(self: Rc<Self>, front: TcpListener, batch_api: Rc<dyn BatchApi>) {
        server::accept(self, front, batch_api).await;
    }

    /// Answers `GET /v1/readiness` for good; 200 where `ready` says so and it is not stopping.
    pub async fn readiness(self: Rc<Self>, at: TcpListener, ready: Rc<dyn Fn() -> bool>) {
        server::readiness(self, at, ready).await;
    }

    /// The timers of the picks, for good.
    pub async fn run(self: Rc<Self>) {
        let mut look = Instant::now() + LOOK;
        loop {
            let services: Vec<Rc<Service>> = self.services.borrow().values().cloned().collect();
            let next = services.iter().map(|service| service.placement.borrow().next()).min();
            let next = next.map_or(look, |next| self.clock.instant(next).min(look));
            sleep_until(next).await;
            let now = self.clock.now();
            for service in services {
                let due = service.placement.borrow().next() <= now;
                if due {
                    service.placement.borrow_mut().due(now);
                    service.wake();
                }
            }
            if Instant::now() >= look {
                self.connections.reap();
                look = Instant::now() + LOOK;
            }
        }
    }

    /// Runs an item of a batch job at a worker, once.
    pub async fn item(&self, item: Item) -> Ran {
        items::run(self, item).await
    }

    /// SIGTERM: unready at once, idle client connections are closed in order, what is in hand is finished; ends when all is.
    pub async fn stop(&self) {
        self.stopping.stop().await;
    }

    /// Figures as (name, value), for the control address.
    pub fn metrics(&self) -> Vec<(String, f64)> {
        self.metrics.all(self)
    }

    /// Where a worker was last reached, for tests.
    pub fn reaches(&self, id: &str) -> Option<SocketAddr> {
        self.connections.reached(id)
    }

    fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    fn limits(&self) -> Limits {
        self.configuration.borrow().as_ref().map_or(LIMITS, |configuration| configuration.limits)
    }

    /// This dispatcher's part of the connections that a worker of the service takes.
    fn connections_each(&self, service: &Service) -> usize {
        match service.max_conns.get() {
            0 => usize::MAX,
            most => usize::try_from(most).unwrap_or(usize::MAX) / (self.others.get() + 1),
        }
    }

    /// Bits by chance (splitmix64).
    fn draw_bits(&self) -> u64 {
        self.chance.set(self.chance.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        let mut bits = self.chance.get();
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// A number from 0 up to 1.
    fn draw(&self) -> f64 {
        (self.draw_bits() >> 11) as f64 / (1u64 << 53) as f64
    }
}
