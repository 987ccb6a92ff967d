//! Which worker a task goes to: turns inside the shares, and what comes before them.

use super::health::SILENT;
use super::retries::PATIENCE;
use super::{Dispatcher, SOLVE, Step};
use crate::state::{Assignment, micros};
use crate::{Effect, Moment, State, Time, turns};

/// Jobs in flight under which no worker is skipped for having twice the mean.
const SKIP_FLOOR: f64 = 2.0;
/// Part of a revenue over which a crossing is worse than a queue; with copies, for each part of five at most.
const DEAR: f64 = 0.04;
/// A lean under this sends no task to a far worker while a near one has no queue.
const NEAR: f64 = 0.25;
/// Part of all turns that an unseen workload is given.
pub(super) const UNSEEN: f64 = 0.01;

impl Dispatcher {
    /// The billiard (Algorithm 2): the least (Xj + Yji)/Pji among the workers that are not skipped.
    pub(super) fn placed(&mut self, m: &mut Moment, n: u64) -> Step {
        let now = m.now;
        let Some(task) = self.desk.get(n) else { return Step::Keep };
        let (i, load) = (task.workload, &self.workloads[task.workload]);
        // A new task does not pass dearer ones that wait: it would take the room they wait for.
        let dearer = |f| self.desk.get(f).is_some_and(|f| self.worth(now, f) > self.worth(now, task));
        if task.held.is_none() && self.desk.first_held().is_some_and(dearer) {
            return Step::Pass;
        }
        let (run, hope) = (self.seen.run(now, i), self.hope(now, task));
        let mine = self.seen.part(now, i).max(UNSEEN);
        let part = || self.part.workers.iter().map(|&j| (j, &self.fleet.workers[j]));
        let skip = turns::skip_at(self.fleet.mean_flying(&self.part), SKIP_FLOOR);
        let mean = self.seen.mean_run(now);
        let last = now >= self.due_time(now, task, 1.0) && !self.past_hope(now, task);
        let elsewhere = self.seen.waits.mean(now, 0.0, 2.0);
        // A crossing costs the same whatever the task earns: to a cheap one it may be dearer than a queue.
        let crossing = if self.ledger.copies { DEAR * self.parts.min(5) as f64 } else { DEAR };
        let dear = crossing * self.revenue(now, i) < self.known.cross_zone;
        let near = self.part.lean < NEAR;
        let mut best: Option<((u8, f64), usize)> = None;
        for (j, worker) in part() {
            let skipped = worker.state != State::Ready
                || load.kind.is_some_and(|k| k != worker.kind)
                || worker.in_flight as f64 >= skip
                || (self.known.tells_start && !worker.unstarted.is_empty())
                || task.assignments.iter().any(|a| a.worker == j)
                || worker.cold.as_ref().is_some_and(|c| c.room <= 0.0)
                || !self.ledger.may_assign(now, task, worker, &self.fleet.workers)
                || self.avoids(now, worker, i);
            if skipped {
                continue;
            }
            // Nothing is known of a worker that was given back, and the shares may leave it out for long.
            if worker.untried && load.effect == Effect::Idempotent {
                best = Some(((0, f64::MIN), j));
                continue;
            }
            let (theta, inside) = (worker.model_theta, worker.share > 0.0);
            let wait = worker.wait(now, SOLVE / 5, (theta, mean), elsewhere);
            let (late, queue) = (now + micros(wait) > hope, wait > theta / 4.0);
            let far = u8::from((dear || near) && worker.zone != self.place.zone);
            let place = if dear { 2 * far + u8::from(queue) } else { far + 2 * u8::from(queue) };
            let place = if inside { place } else { 4 };
            let tier = if late { 5 } else { place };
            let lean = if worker.zone == self.place.zone { 1.0 } else { self.part.lean };
            let level = match inside {
                true => turns::level(worker.turns[i], worker.fastest, worker.share * mine * lean),
                false => theta,
            };
            let queued = queue && (task.out() > 0 || late && !last);
            if !queued && best.is_none_or(|(b, _)| (tier, level) < b) {
                best = Some(((tier, level), j));
            }
        }
        let Some((_, j)) = best else { return Step::Pass };
        // A budget of the fleet may be spent. Nobody else waits for that; who would wait in vain is answered.
        if let Err(at) = m.out.may(&task.id, n, i, !task.assignments.is_empty()) {
            let end = at >= hope && task.out() == 0;
            self.desk.release(n);
            return if end { Step::End } else { Step::Keep };
        }
        self.assign(m, n, j, task.slots * run / mean, hope);
        Step::Keep
    }

    fn assign(&mut self, m: &mut Moment, n: u64, j: usize, cost: f64, hope: Time) {
        let Some(task) = self.desk.get_mut(n) else { return };
        let worker = &mut self.fleet.workers[j];
        worker.turns[task.workload] += 1.0;
        worker.book(m.now, n, cost);
        task.assignments.push(Assignment::sent(j, m.now));
        m.out.assign(&task.id, &worker.id);
        m.out.wake(m.now + self.seen.quiet(m.now, SILENT, SOLVE / 10), n);
        let patient = m.now + micros(self.seen.run(m.now, task.workload) * PATIENCE) + 1;
        [patient, hope.max(patient)].iter().filter(|_| self.ledger.copies).for_each(|at| m.out.wake(*at, n));
        self.desk.release(n);
    }
}
