//! What one process of a dispatcher hands to the next.

use serde::{Deserialize, Serialize};

use super::{Cold, Fleet, Seen, Worker};
use crate::State;

/// What one process of a dispatcher teaches the next. The rings know how old each of their sums is.
#[derive(Clone, Serialize, Deserialize)]
pub struct Lessons {
    seen: Seen,
    workers: Vec<Worker>,
}

impl Lessons {
    pub(crate) fn of(seen: &Seen, fleet: &Fleet) -> Self {
        let listed = fleet.workers.iter().filter(|w| w.state != State::Gone);
        Lessons { seen: seen.clone(), workers: listed.cloned().collect() }
    }

    /// Whatever is of another shape, or of a process that a worker no longer has, is passed over. A cold worker gets no
    /// more than `room` for what was learnt.
    pub(crate) fn teach(self, seen: &mut Seen, fleet: &mut Fleet, room: f64) {
        if self.seen.like(seen) {
            *seen = self.seen;
        }
        for old in self.workers {
            let Some(new) = fleet.named(&old.id).map(|j| &mut fleet.workers[j]) else { continue };
            if old.started == new.started && old.like(new) {
                let since = old.cold.iter().chain(&new.cold).map(|c| c.since).max();
                let least = old.cold.iter().chain(&new.cold).map(|c| c.room).fold(room, f64::min);
                new.cold = since.zip(new.cold.as_ref().or(old.cold.as_ref())).map(|(since, c)| Cold {
                    since,
                    room: least,
                    counted: c.counted,
                });
                (new.bar, new.lost, new.back) = (old.bar, old.lost, old.back.max(new.back));
                (new.gaps, new.theta, new.utilisation) = (old.gaps, old.theta, old.utilisation);
                (new.reports, new.waits, new.errors) = (old.reports, old.waits, old.errors);
                (new.erring, new.slots, new.free) = (old.erring, old.slots, old.free);
            }
        }
    }
}
