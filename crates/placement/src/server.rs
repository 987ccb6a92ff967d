//! One worker as this dispatcher knows it.

use crate::backlog::Reading;
use crate::health::Health;
use crate::load::Load;
use crate::numbers::Faded;
use crate::prefix::Memory;
use crate::reports::Seen;
use rainlug::{SECOND, Time};
use rainlug_registry::{Phase, Worker};
use std::sync::Arc;

/// Own running times are smoothed over this time.
const SPAN: Time = 10 * SECOND;
/// A cold worker is taken to be so many times slower.
pub const COLD: f64 = 2.0;

#[derive(Clone, Debug)]
pub struct Server {
    pub worker: Arc<Worker>,
    /// Its id's hash.
    pub id: u64,
    pub near: bool,
    pub slots: u32,
    pub cold_until: Time,
    /// Own requests there: all, those not started, those of batch jobs.
    pub flying: u32,
    pub unstarted: u32,
    pub bulk: u32,
    /// Tokens of own prompts there that are not read yet, and memory that own requests hold or will hold.
    pub unread: u64,
    pub held: u64,
    pub memory: Memory,
    pub load: Load,
    pub health: Health,
    /// For the next report.
    pub seen: Seen,
    /// Seconds that own requests ran there, and their number as so many mean ones.
    pub ran: Faded<2>,
    /// By the last solve.
    pub share: f64,
    pub theta: f64,
    pub fastest: bool,
}

impl Server {
    pub fn new(now: Time, worker: &Worker, zone: &str) -> Self {
        let mut server = Server {
            worker: Arc::new(worker.clone()),
            id: xxhash_rust::xxh3::xxh3_64(worker.id.as_bytes()),
            near: false,
            slots: 0,
            cold_until: Time::MIN,
            flying: 0,
            unstarted: 0,
            bulk: 0,
            unread: 0,
            held: 0,
            memory: Memory::default(),
            load: Load::new(now),
            health: Health::new(now),
            seen: Seen::default(),
            ran: Faded::new(now, SPAN),
            share: 0.0,
            theta: 0.0,
            fastest: false,
        };
        server.told(now, worker, zone);
        server
    }

    /// What the list says of it.
    pub fn told(&mut self, now: Time, worker: &Worker, zone: &str) {
        self.near = worker.zone == zone;
        if worker.slots > 0 {
            self.slots = worker.slots;
        }
        let cold = Time::from(worker.warm_up_left_ms) * 1000;
        self.cold_until = if cold > 0 { now.saturating_add(cold) } else { Time::MIN };
        if *self.worker != *worker {
            self.worker = Arc::new(worker.clone());
        }
    }

    /// May be given anything at all.
    pub fn listed(&self) -> bool {
        matches!(self.worker.phase, Phase::Ready | Phase::Unresponsive)
    }

    pub fn cold(&self, now: Time) -> bool {
        self.cold_until > now
    }

    /// Own requests there, by what they weigh while it is cold.
    pub fn weight(&self, now: Time) -> f64 {
        f64::from(self.flying) * if self.cold(now) { COLD } else { 1.0 }
    }

    pub fn slots(&self, usual: u64) -> f64 {
        if self.slots > 0 { f64::from(self.slots) } else { usual as f64 }
    }

    /// All requests there by what is known, `fresh` being the age at which news of load counts by half.
    pub fn occupancy(&self, now: Time, fresh: f64, dispatchers: usize) -> f64 {
        f64::from(self.flying) + self.load.others(now, fresh, dispatchers)
    }

    /// Tokens to be read there before what is sent now: own ones, and those of others by how many of theirs waited, less what
    /// has been read since.
    pub fn ahead(&self, now: Time, reading: &Reading, mean: f64) -> f64 {
        let (waiting, age) = self.load.waiting(now);
        let others = if waiting > 0.0 { (waiting * mean - reading.tokens(age)).max(0.0) } else { 0.0 };
        self.unread as f64 + others
    }

    /// Silent beyond chance while own requests are there.
    pub fn silent(&self, now: Time) -> bool {
        self.flying > 0 && self.health.silent(now)
    }
}
