//! Connections to workers: those that idle, and how many there are.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rainlug_registry::Worker;
use rainlug_transport::{End, Link, Pool, Room, Trust, head};
use tokio::time::Instant;

use crate::millis;
use crate::routing::hash;

/// Without a word from the worker, an idle connection is used again for so long at most.
const TRUSTED: Duration = Duration::from_secs(5);
/// An idle connection is not used within this part of the time that its worker keeps it, nor within so long.
const MARGIN: u32 = 5;
const LEAST_MARGIN: Duration = Duration::from_millis(200);
/// A worker that nothing is known of is given so few connections.
const LEAST_CONNS: usize = 2;

/// Items on a connection whose ids it remembers.
const REMEMBERED: usize = 8;

/// The last items that a connection carried, by hashes of their ids. An answer too many to one of them may come where the next
/// one is due, and could not be told from the answer to the same id asked again.
#[derive(Default)]
struct Carried {
    hashes: [Option<u64>; REMEMBERED],
    next: usize,
}

impl Carried {
    fn add(&mut self, id: &str) {
        if let Some(place) = self.hashes.get_mut(self.next) {
            *place = Some(hash(id));
        }
        self.next = (self.next + 1) % REMEMBERED;
    }

    fn holds(&self, id: &str) -> bool {
        self.hashes.contains(&Some(hash(id)))
    }
}

/// A connection to a worker. It counts as one of the worker's until it is dropped.
pub(crate) struct Connection {
    pub link: Link,
    /// How long it had idled before this use.
    pub rested: Option<Duration>,
    carried: Carried,
    _open: Open,
}

impl Connection {
    /// An item of this id is written to it.
    pub fn carries(&mut self, id: &str) {
        self.carried.add(id);
    }
}

/// What a worker says in an answer of the connection's future.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Keep {
    pub close: bool,
    /// Seconds that it is kept idly.
    pub timeout: Option<u64>,
}

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
    told: bool,
}

/// One connection in the count of a worker's.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn of(count: &Rc<Cell<usize>>) -> Self {
        count.update(|n| n + 1);
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.update(|n| n.saturating_sub(1));
    }
}

#[derive(Default)]
struct Reach {
    at: Option<SocketAddr>,
    open: Rc<Cell<usize>>,
    /// The longest idle first; the last is used first.
    idle: Vec<Idle>,
}

/// All connections to workers.
pub(crate) struct Connections {
    reaches: RefCell<HashMap<String, Reach>>,
    pool: Pool,
    room: Room,
    trust: Trust,
    pub dialled: Cell<u64>,
    pub reused: Cell<u64>,
}

impl Connections {
    pub fn new(pool: Pool, room: Room) -> Self {
        Connections {
            reaches: RefCell::default(),
            pool,
            room,
            trust: Trust::up_to(TRUSTED),
            dialled: Cell::new(0),
            reused: Cell::new(0),
        }
    }

    /// The last used of a worker's idle connections that is sound and not too old, and has not carried this item.
    pub fn idle(&self, worker: &Worker, item: Option<&str>) -> Option<Connection> {
        let mut reaches = self.reaches.borrow_mut();
        let reach = reaches.get_mut(&worker.id).filter(|r| r.at == Some(worker.address))?;
        let now = Instant::now();
        let apart = |one: &Idle| !item.is_some_and(|id| one.connection.carried.holds(id));
        while let Some(at) = reach.idle.iter().rposition(apart) {
            let mut one = reach.idle.remove(at);
            // Several seconds were learned to be too long since it came to rest.
            let until = if one.told { one.until } else { one.until.min(one.since + self.trust.time()) };
            if now < until && one.connection.link.sound() {
                one.connection.rested = Some(now - one.since);
                self.reused.update(|n| n + 1);
                return Some(one.connection);
            }
        }
        None
    }

    /// A new connection, up by `until`; a worker has `most` at once.
    ///
    /// # Errors
    /// `NoRoom` where there is none here or in that number; `Refused` or `NeverUp`.
    pub async fn dial(&self, worker: &Worker, most: usize, until: Instant) -> Result<Connection, End> {
        let open = {
            let mut reaches = self.reaches.borrow_mut();
            let reach = reaches.entry(worker.id.clone()).or_default();
            if reach.at != Some(worker.address) {
                reach.idle.clear();
                reach.at = Some(worker.address);
            }
            if reach.open.get() >= most.max(LEAST_CONNS) {
                return Err(End::NoRoom);
            }
            Open::of(&reach.open)
        };
        let seat = self.room.seat().or_else(|| {
            self.evict();
            self.room.seat()
        });
        let seat = seat.ok_or(End::NoRoom)?;
        self.dialled.update(|n| n + 1);
        let mut link = Link::connect(worker.address, until, head::answer_body, &self.pool, seat).await?;
        link.in_parts();
        Ok(Connection { link, rested: None, carried: Carried::default(), _open: open })
    }

    /// Tells whether a connection that had idled had broken when it was used again.
    pub fn used(&self, connection: &Connection, broke: bool) {
        connection.rested.iter().for_each(|idle| self.trust.used(*idle, broke));
    }

    /// Takes a connection back after a whole answer, unless it is not to be used again.
    pub fn put(&self, worker: &Worker, mut connection: Connection, keep: Keep) {
        if keep.close || !connection.link.untouched() {
            return;
        }
        let time = match keep.timeout.map(|told| millis(told.saturating_mul(1000))) {
            Some(told) => told.saturating_sub((told / MARGIN).max(LEAST_MARGIN)),
            None => self.trust.time(),
        };
        let mut reaches = self.reaches.borrow_mut();
        let reach = reaches.get_mut(&worker.id).filter(|r| r.at == Some(worker.address));
        if let Some(reach) = reach.filter(|_| !time.is_zero()) {
            connection.link.rest();
            let since = Instant::now();
            let until = since + time;
            reach.idle.push(Idle { connection, since, until, told: keep.timeout.is_some() });
        }
    }

    /// Closes a worker's idle connections; `gone` forgets it.
    pub fn drop_idle(&self, id: &str, gone: bool) {
        let mut reaches = self.reaches.borrow_mut();
        if let Some(reach) = reaches.get_mut(id) {
            reach.idle.clear();
        }
        if gone {
            reaches.remove(id);
        }
    }

    /// Closes those that have idled for too long, and those that their workers have closed.
    pub fn reap(&self) {
        let now = Instant::now();
        for reach in self.reaches.borrow_mut().values_mut() {
            reach.idle.retain_mut(|one| now < one.until && !one.connection.link.spoiled());
        }
    }

    /// Closes the one that has idled longest.
    fn evict(&self) {
        let mut reaches = self.reaches.borrow_mut();
        let oldest = reaches.values_mut().filter(|r| !r.idle.is_empty());
        if let Some(reach) = oldest.min_by_key(|r| r.idle.first().map(|one| one.since)) {
            reach.idle.remove(0);
        }
    }

    pub fn counts(&self) -> (usize, usize) {
        let reaches = self.reaches.borrow();
        let idle = reaches.values().map(|r| r.idle.len()).sum();
        (reaches.values().map(|r| r.open.get()).sum(), idle)
    }

    pub fn reached(&self, id: &str) -> Option<SocketAddr> {
        self.reaches.borrow().get(id)?.at
    }
}
