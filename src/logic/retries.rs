//! Whether a task may be assigned once more: its effect, what became of its assignments, and hedges.

use super::{Dispatcher, Ledger, Step};
use crate::state::{Assignment, Task, Worker, micros};
use crate::{Effect, Group, Moment, Time};

/// Part of the fingerprint window that is used.
const WINDOW_USE: f64 = 0.9;
/// Part of a workload's running time after which a task that has not started is sent a second way.
pub(super) const PATIENCE: f64 = 1.0 / 16.0;

impl Ledger {
    /// Whether the task may be assigned to `to` now, by what became of its earlier assignments.
    pub(super) fn may_assign(&self, now: Time, task: &Task, to: &Worker, workers: &[Worker]) -> bool {
        if task.assignments.len() >= self.assignments || (task.out() > 0 && !self.may_copy(task)) {
            return false;
        }
        let Some(first) = task.assignments.iter().find(|a| !a.never_ran()) else { return true };
        match self.effects[task.workload] {
            Effect::Idempotent => true,
            Effect::SideEffecting => false,
            Effect::Fingerprinted { group, window } => {
                let same = workers[first.worker].shares_group(to, group);
                same && ((now - first.sent) as f64) < window as f64 * WINDOW_USE
            }
        }
    }

    /// Whether one more may go out while others are out and none of them has started.
    pub(super) fn may_copy(&self, task: &Task) -> bool {
        let effect = self.effects[task.workload];
        // An idempotent job may be killed for a better one, and keeps a try in reserve.
        let spare = effect != Effect::Idempotent || task.assignments.len() + 1 < self.assignments;
        let harmless = effect != Effect::SideEffecting;
        self.copies && spare && harmless && task.waits()
    }

    /// Whether the promise that asking again is harmless can be given.
    pub(super) fn may_bounce(&self, task: &Task) -> bool {
        let effect = self.effects[task.workload];
        let free = matches!(effect, Effect::Idempotent | Effect::Fingerprinted { group: Group::All, .. });
        free || task.assignments.iter().all(Assignment::never_ran)
    }
}

impl Dispatcher {
    /// By its expiry, by what became of its assignments so far, and by the hope left for those still out.
    pub(super) fn permitted(&mut self, m: &mut Moment, n: u64) -> Step {
        match self.desk.get(n).filter(|t| !t.answered) {
            None => return Step::Keep,
            Some(task) if m.now >= task.expiry => return Step::End,
            Some(_) => self.watch(m, n),
        }
        let Some(task) = self.desk.get(n) else { return Step::Keep };
        if task.out() > 0 {
            let patience = micros(self.seen.run(m.now, task.workload) * PATIENCE);
            let early = task.open().any(|i| m.now - task.assignments[i].sent < patience);
            if self.ledger.copies && !early && task.waits() && self.past_hope(m.now, task) {
                return Step::End; // it would only keep others waiting at its worker
            }
            if early || !self.ledger.may_copy(task) {
                return Step::Keep;
            }
        }
        let workers = &self.fleet.workers;
        let may = |w: &Worker| self.ledger.may_assign(m.now, task, w, workers);
        match workers.is_empty() || workers.iter().any(may) {
            true => Step::Pass,
            // Whoever waits at as many workers as it may be sent to is not lost yet: one may start it.
            false if task.out() > 0 => Step::Keep,
            false => Step::End,
        }
    }
}
