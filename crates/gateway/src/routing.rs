//! From a request to a route, from a route to a service, from a service to a worker.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use rainlug::Time;
use rainlug_placement::{Ask, End, Placement};
use rainlug_registry::{Phase, Route, Worker};
use tokio::sync::oneshot;

use crate::{Clock, Gateway};

/// Times that a pick is asked again where the worker it gave is not to be sent anything.
const MISPICKS: usize = 4;

/// A service as this dispatcher sees it: its picks, and who waits for one.
pub(crate) struct Service {
    pub placement: RefCell<Placement>,
    pub max_conns: Cell<u64>,
    waiting: RefCell<BTreeMap<(u32, u64), oneshot::Sender<()>>>,
    waited: Cell<u64>,
}

impl Service {
    pub fn new(placement: Placement) -> Rc<Self> {
        Rc::new(Service {
            placement: RefCell::new(placement),
            max_conns: Cell::new(0),
            waiting: RefCell::default(),
            waited: Cell::new(0),
        })
    }

    /// Ends when there may be room again; the most urgent go first, then those who came first.
    pub async fn room(&self, priority: u32) {
        struct Leaves<'a>(&'a Service, (u32, u64));
        impl Drop for Leaves<'_> {
            fn drop(&mut self) {
                self.0.waiting.borrow_mut().remove(&self.1);
            }
        }
        self.waited.update(|n| n + 1);
        let place = (priority, self.waited.get());
        let (go, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(place, go);
        let _leaves = Leaves(self, place);
        let _ = told.await;
    }

    /// Tells who waits first that there may be room.
    pub fn wake(&self) {
        while let Some((_, go)) = self.waiting.borrow_mut().pop_first() {
            if go.send(()).is_ok() {
                return;
            }
        }
    }
}

/// An assignment, until it is ended; where nobody ends it, this side gave up.
pub(crate) struct Ticket {
    number: u64,
    service: Rc<Service>,
    clock: Clock,
    ended: bool,
}

impl Ticket {
    /// The first event, or the head of the answer, has come.
    pub fn started(&self) {
        self.service.placement.borrow_mut().started(self.clock.now(), self.number);
    }

    /// One more event has come.
    pub fn progress(&self) {
        self.service.placement.borrow_mut().progress(self.clock.now(), self.number);
    }

    pub fn load(&self, worker: &str, load: (u32, u32, u32)) {
        self.service.placement.borrow_mut().load(self.clock.now(), worker, load);
    }

    pub fn end(mut self, end: End) {
        self.close(end);
    }

    fn close(&mut self, end: End) {
        if !std::mem::replace(&mut self.ended, true) {
            self.service.placement.borrow_mut().ended(self.clock.now(), self.number, end);
            self.service.wake();
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.close(End::GivenUp);
    }
}

/// A worker to send to.
pub(crate) struct Picked {
    pub ticket: Ticket,
    pub worker: Arc<Worker>,
    pub service: Rc<Service>,
}

/// The services of a route that take requests: the one whose weight's share `turn` falls in (0 up to 1) before
/// the others.
pub(crate) fn services(route: &Route, turn: f64) -> impl Iterator<Item = &str> {
    let weighed = || route.split.iter().filter(|(_, weight)| *weight > 0.0);
    let total: f64 = weighed().map(|(_, weight)| weight).sum();
    let mut left = turn * total;
    let chosen = weighed().position(|(_, weight)| {
        left -= weight;
        left < 0.0
    });
    let first = weighed().nth(chosen.unwrap_or_default());
    let others = weighed().enumerate().filter(move |(n, _)| Some(*n) != chosen && first.is_some());
    // Where none is chosen the first stands in front, and is not to come twice.
    let others = others.filter(move |(n, _)| chosen.is_some() || *n > 0);
    first.into_iter().chain(others.map(|(_, one)| one)).map(|(name, _)| name.as_str())
}

/// The class of a route's requests: the hash of its name.
pub(crate) fn class(name: &str) -> u64 {
    hash(name)
}

/// FNV-1a.
pub(crate) fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Gateway {
    /// Whether requests may be sent to a worker now, as far as it is known.
    pub(crate) fn sendable(&self, id: &str) -> bool {
        self.workers.borrow().get(id).is_some_and(|worker| worker.phase < Phase::Draining)
    }

    /// The next request's turn among those of a route; what has no split needs none.
    pub(crate) fn split_turn(&self, route: &Route) -> f64 {
        match route.split.len() {
            0 | 1 => 0.0,
            _ => self.split_turns.next(&route.name, self.draw()),
        }
    }

    /// Picks a worker for a request of a route; `turn` chooses between its services.
    pub(crate) fn pick(&self, route: &Route, turn: f64, ask: &Ask) -> Option<Picked> {
        services(route, turn).find_map(|name| {
            let service = self.services.borrow().get(name).cloned()?;
            self.pick_of(&service, name, ask)
        })
    }

    fn pick_of(&self, service: &Rc<Service>, name: &str, ask: &Ask) -> Option<Picked> {
        let mut more: Option<Ask> = None;
        for _ in 0..MISPICKS {
            let pick = service.placement.borrow_mut().pick(self.clock.now(), more.as_ref().unwrap_or(ask))?;
            let ticket =
                Ticket { number: pick.ticket, service: service.clone(), clock: self.clock, ended: false };
            let worker = pick.worker;
            if worker.service == name && self.sendable(&worker.id) {
                return Some(Picked { ticket, worker, service: service.clone() });
            }
            ticket.end(End::GivenUp);
            more.get_or_insert_with(|| ask.clone()).tried.push(worker.id.clone());
        }
        None
    }

    /// Seconds after which a request that found no worker should ask again.
    pub(crate) fn pause(&self, route: &Route) -> f64 {
        let services = self.services.borrow();
        let pauses = route.split.iter().filter(|(_, weight)| *weight > 0.0).filter_map(|(name, _)| {
            let pause: Time = services.get(name)?.placement.borrow().pause(self.clock.now());
            Some(pause)
        });
        let pause = pauses.min().unwrap_or(rainlug::SECOND / 2);
        pause.max(0) as f64 / rainlug::SECOND as f64
    }
}
