//! Workers that send heartbeats to where the answers direct them, while the fleet's time passes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_coordinator::Call;
use rainlug_registry::{Phase, Worker};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Fleet, MS, address};
use super::inputs::SERVICES;

/// Between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Time = 1200 * MS;

struct HeartbeatingWorker {
    seq: u64,
    draining: bool,
    /// The gateway that the last answer named.
    registrar: Option<usize>,
    next_at: Time,
}

/// Workers of a fleet.
pub struct HeartbeatingWorkers {
    workers: Vec<HeartbeatingWorker>,
    /// Heartbeats that are not answered yet, by ticket.
    sent: BTreeMap<u64, usize>,
    rng: ChaCha8Rng,
}

impl HeartbeatingWorkers {
    /// So many workers, whose first heartbeats are spread over the time between two.
    pub fn new(fleet: &Fleet, count: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let worker = |_| HeartbeatingWorker {
            seq: 0,
            draining: false,
            registrar: None,
            next_at: fleet.now + rng.random_range(0..HEARTBEAT_INTERVAL),
        };
        let workers = (0..count).map(worker).collect();
        HeartbeatingWorkers { workers, sent: BTreeMap::new(), rng }
    }

    pub fn id(worker: usize) -> String {
        format!("worker-{worker:05}-3f9a2c")
    }

    /// A worker says that it drains, to where its heartbeats go; the call's ticket.
    pub fn drain(&mut self, fleet: &mut Fleet, worker: usize) -> u64 {
        self.take_answers(fleet);
        self.workers[worker].draining = true;
        self.heartbeat(fleet, worker)
    }

    /// Time passes until it holds, and heartbeats are sent; whether it did within so many seconds.
    pub fn until(&mut self, fleet: &mut Fleet, seconds: f64, mut holds: impl FnMut(&Fleet) -> bool) -> bool {
        let end = fleet.now + (seconds * SECOND as f64) as Time;
        loop {
            let beating = (0..self.workers.len()).filter(|worker| !self.workers[*worker].draining);
            let next = beating.min_by_key(|worker| self.workers[*worker].next_at);
            let Some(next) = next.filter(|worker| self.workers[*worker].next_at <= end) else {
                return fleet.until_time(end, holds);
            };
            if fleet.until_time(self.workers[next].next_at, &mut holds) {
                return true;
            }
            self.take_answers(fleet);
            self.heartbeat(fleet, next);
            self.workers[next].next_at += HEARTBEAT_INTERVAL;
        }
    }

    fn heartbeat(&mut self, fleet: &mut Fleet, worker: usize) -> u64 {
        let gateways: Vec<usize> =
            (0..fleet.machines.len()).filter(|at| fleet.machines[*at].gateway).collect();
        let drawn = gateways[self.rng.random_range(0..gateways.len())];
        let state = &mut self.workers[worker];
        state.seq += 1;
        let info = Worker {
            id: Self::id(worker),
            service: format!("model-{}", worker % SERVICES),
            address: SocketAddr::from(([10, 9, (worker / 250) as u8, (worker % 250) as u8 + 1], 80)),
            zone: format!("zone-{}", worker % fleet.zones),
            slots: 24,
            phase: if state.draining { Phase::Draining } else { Phase::Ready },
            warm_up_left_ms: 0,
            call_seq: state.seq,
        };
        let ticket = fleet.call(state.registrar.unwrap_or(drawn), Call::Heartbeat(info));
        self.sent.insert(ticket, worker);
        ticket
    }

    /// Answers may name the registrar that later heartbeats go to.
    fn take_answers(&mut self, fleet: &Fleet) {
        let workers = &mut self.workers;
        self.sent.retain(|ticket, worker| {
            let Some((_, answer)) = fleet.answers.get(ticket) else { return true };
            let text = String::from_utf8_lossy(&answer.body);
            let named = text.split('"').nth(3).and_then(|named| named.parse::<SocketAddr>().ok());
            if let Some(named) = named {
                let registrar = (0..fleet.machines.len()).find(|at| address(*at).ip() == named.ip());
                workers[*worker].registrar = registrar;
            }
            false
        });
    }
}
