//! Which workers are ill, by outcomes, errors and silence, and how they come back.

use super::{Dispatcher, SOLVE};
use crate::state::{Worker, seconds};
use crate::{Effect, Moment, Outcome, Time};

/// A silence this many times the mean gap is suspect: it has odds of e^-6 among the gaps seen before.
pub(super) const SILENT: f64 = 6.0;
/// Progress that is told of a job this many times as long ago as it is due has been lost.
const OVERDUE: f64 = 1.25;
/// Errors in this part of a workload's tasks at a worker keep the workload away.
pub(crate) const ERRONEOUS: f64 = 0.25;

impl Dispatcher {
    /// What an outcome says of its worker: its load, its speed and its health.
    pub(super) fn judged(&mut self, now: Time, n: u64, assignment: usize, outcome: Outcome) {
        let Some(task) = self.desk.get(n) else { return };
        let (a, i) = (&task.assignments[assignment], task.workload);
        let worker = &mut self.fleet.workers[a.worker];
        // Silence counts only while something is out, and nothing else finds out who lets all time out.
        let unheard = self.sole && worker.last_sign <= a.sent && now - a.sent >= SOLVE / 2;
        worker.strike(a.sent, n);
        match outcome {
            Outcome::Finished => {
                worker.answered(now, i, 0.0);
                worker.bar = None;
                if let Some(started) = a.started {
                    self.learn_run(now, i, seconds(now - started));
                }
            }
            Outcome::Failed => worker.answered(now, i, 1.0),
            // One job may be killed, or one connection break, at a sound worker: a dead one refuses the next.
            Outcome::Reset => worker.last_sign = now,
            Outcome::TimedOut if !unheard => {}
            Outcome::Unreachable | Outcome::TimedOut => {
                worker.bar(now, SOLVE / 5, 2 * SOLVE);
                self.solve(now);
            }
            Outcome::Full => worker.waits.add(now, self.seen.run(now, i), 1.0),
            Outcome::Withdrawn | Outcome::NeverSent => {}
        }
    }

    /// Takes a running time, in seconds, of a workload. The first ones replace a guess, by which tasks wait in order.
    fn learn_run(&mut self, now: Time, workload: usize, run: f64) {
        let guessed = self.seen.run_is_guessed(now, workload);
        self.seen.ran(now, workload, run);
        if guessed {
            self.reorder_waiting(now);
        }
    }

    /// What waits at a worker that tells of room is not heard there: an error. The connection of what runs
    /// without the progress that is due is dead. Both go elsewhere if they may.
    pub(super) fn watch(&mut self, m: &mut Moment, n: u64) {
        let Some(task) = self.desk.get(n) else { return };
        let due = (self.known.progress as f64 * OVERDUE) as Time;
        let (quiet, load) = (self.seen.quiet(m.now, SILENT, SOLVE / 10), &self.workloads[task.workload]);
        let stays = !self.allowed.withdrawal || load.effect == Effect::SideEffecting;
        for a in task.watched(due).filter(|_| self.known.tells_start) {
            let worker = &mut self.fleet.workers[task.assignments[a].worker];
            let dead = task.assignments[a].overdue(m.now, due);
            if !dead && !worker.passes_over(m.now, (n, task, a), quiet) {
                m.out.wake(m.now + quiet, n);
            } else if !stays && task.assignments.len() < self.allowed.assignments {
                m.out.withdraw(&task.id, a);
            }
        }
    }

    /// Whether a worker is kept from a task of the workload, by its health: idle ones are tried again.
    pub(super) fn avoids(&self, now: Time, worker: &Worker, i: usize) -> bool {
        let idle = worker.in_flight == 0 && now - worker.last_sign >= SOLVE / 5;
        let trial = idle && (self.workloads[i].effect == Effect::Idempotent || self.sole);
        (!self.part.common && worker.bar.is_some() && (!trial || worker.barred(now)))
            || worker.silence(now, self.known.progress.max(SOLVE / 10)) > SILENT
            || (!self.part.common && !trial && worker.fails(now, i, ERRONEOUS))
    }
}
