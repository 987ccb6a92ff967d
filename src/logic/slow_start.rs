//! Slow start: how much goes to workers whose processes have just started.

use super::{Dispatcher, SOLVE};
use crate::state::{Cold, seconds};
use crate::{Moment, Time};

/// Part of the cold budget that is used, the rest being room for chance and heavy tasks.
const COLD_USE: f64 = 0.4;

impl Dispatcher {
    /// A new process at a worker: cold, and nothing seen before holds for it.
    pub(super) fn renew(&mut self, now: Time, j: usize, started: Option<Time>) {
        let worker = &mut self.fleet.workers[j];
        worker.forget(self.workloads.len(), SOLVE * self.parts.min(4) as Time);
        // Whoever was given back by hand is no warmer than that, whatever the list says of its start.
        let since = started.max(worker.back).filter(|&s| now - s < self.obligations.warm_within);
        let room = -self.chance.draw();
        worker.cold = since.map(|since| Cold { since, room, counted: now });
    }

    /// A cold worker's room grows with what it can do by now, for this dispatcher by its part, told or even.
    pub(super) fn warm(&mut self, m: &mut Moment, j: usize, feeders: f64) {
        let (now, worker) = (m.now, &mut self.fleet.workers[j]);
        worker.cold.take_if(|c| now - c.since >= self.obligations.warm_within);
        let Some(cold) = worker.cold.as_mut() else { return };
        let (from, age) = (self.obligations.cold_from, now - cold.since);
        let can = from + (1.0 - from) * age as f64 / self.obligations.warm_within as f64;
        // Before anyone has reported, all that is known of a worker is that it has a core: with no room at
        // all, a fleet and dispatchers that restarted together would wait for each other.
        let effort = self.part.census.effort / worker.size;
        let work = if effort > 0.0 { effort } else { self.seen.mean_run(now) };
        let whole = COLD_USE * self.obligations.overload_factor / work * can;
        let wants = self.seen.rate(now) * worker.share / whole;
        let rate = m.out.room(&worker.id, wants).map_or(whole / feeders, |part| whole * part);
        cold.grow(now, rate, rate * seconds(self.obligations.fall));
    }
}
