//! Admission: what a task is worth, how long it may wait here, and when it is answered instead.

use super::placement::UNSEEN;
use super::{Dispatcher, SOLVE, Step};
use crate::state::{Task, micros, seconds, worst};
use crate::{Effect, Moment, Time};

/// Parts of its due time after which a bounced task may come back, perhaps to another dispatcher.
const BACK: Time = 4;
/// Running times before its due time at which a task must have started, if it is worth as much as the mean.
const HOPE: f64 = 1.5;
/// Steps of worth by which tasks that wait are told apart.
const WORTH_STEPS: f64 = 1e6;
/// Tasks for each worker that may wait here while running times are guessed: how fast the queue moves is not known yet.
const WAITING_UNJUDGED: usize = 4;

impl Dispatcher {
    /// A task that no worker can take now waits here, so long as it is likely to move on in time.
    pub(super) fn waiting(&mut self, m: &mut Moment, n: u64) -> Step {
        let Some(task) = self.desk.get(n).filter(|t| t.out() == 0) else { return Step::Keep };
        let latest = self.hope(m.now, task);
        if m.now >= latest {
            return Step::End;
        }
        if task.held.is_none() {
            let place = self.waiting_place(m.now, task);
            self.desk.hold(n, place);
            m.out.wake(latest, n);
        }
        self.reject_tail(m);
        Step::Keep
    }

    /// Whoever is last in a queue that moves too slowly is told so at once, not when its time is up.
    fn reject_tail(&mut self, m: &mut Moment) {
        let flying: usize = self.part.workers.iter().map(|&j| self.fleet.workers[j].in_flight).sum();
        let starts = self.seen.started.totals(m.now).1 / seconds(SOLVE / 5);
        let pace = starts.max(flying as f64 / self.seen.mean_run(m.now));
        let guessed = self.seen.mean_run_is_guessed(m.now);
        let unjudged = if guessed { WAITING_UNJUDGED * self.part.workers.len() } else { 0 };
        while let Some(last) = self.desk.last_held().filter(|_| self.desk.count_held() > unjudged) {
            let delay = micros(self.desk.count_held() as f64 / pace.max(0.1));
            let latest = self.desk.get(last).map_or(m.now, |t| self.hope(m.now, t));
            if m.now + delay < latest {
                break;
            }
            self.answer(m, last);
        }
    }

    /// A task's place among those that wait, least first: by what it is worth now.
    fn waiting_place(&self, now: Time, task: &Task) -> u64 {
        u64::MAX - (self.worth(now, task) * WORTH_STEPS) as u64
    }

    /// Places those that wait anew. Who began to wait while a running time was a guess would else be passed by
    /// all that came after it was known.
    pub(super) fn reorder_waiting(&mut self, now: Time) {
        let places: Vec<(u64, u64)> =
            self.desk.held().map(|(n, task)| (n, self.waiting_place(now, task))).collect();
        for (n, place) in places {
            self.desk.release(n);
            self.desk.hold(n, place);
        }
    }

    /// The final answer, at once: a bounce where the ledger allows that promise, else an abandonment.
    pub(super) fn answer(&mut self, m: &mut Moment, n: u64) {
        let Some(task) = self.desk.get(n).filter(|t| !t.answered) else { return };
        // Who came back after its due time would come in vain.
        let pause = (self.workloads[task.workload].due / BACK).min(self.allowed.pause);
        match self.ledger.may_bounce(task) {
            true => m.out.bounce(&task.id, pause),
            false => m.out.abandon(&task.id),
        }
        self.earn(m.now, n, false);
        self.close(m, n);
    }

    /// What a mean task of the workload earns in time, by what a mean task of all earns.
    pub(super) fn revenue(&self, now: Time, i: usize) -> f64 {
        let size = |i| if self.weights.by_work { self.seen.run(now, i) } else { 1.0 };
        let revenue = |i: usize| self.workloads[i].revenue * size(i);
        revenue(i) / self.seen.mean_revenue(now, revenue).max(1e-6)
    }

    /// What a second of work on it is worth to the users: in the whole, and in the workload served worst.
    pub(super) fn worth(&self, now: Time, task: &Task) -> f64 {
        let (i, w) = (task.workload, self.weights);
        let mut worth = w.whole * self.revenue(now, i);
        if worst(&self.seen.earned, now) == Some(i) {
            worth += w.worst_workload / self.seen.part(now, i).max(UNSEEN);
        }
        let within = task.within_share + (1.0 - task.within_share) * w.beyond_share;
        worth * within / (task.slots * self.seen.run(now, i)).max(1e-3)
    }

    /// Until when a task may wait for its start; in parts the longer, the dearer it is or may be by its size.
    pub(super) fn hope(&self, now: Time, task: &Task) -> Time {
        if !self.ledger.copies {
            let runs = if self.weights.slow_end > 0.0 { f64::MAX } else { 1.0 };
            return self.due_time(now, task, runs);
        }
        let large = self.weights.by_work && self.workloads[task.workload].effect == Effect::SideEffecting;
        let worth = if large { f64::MAX } else { self.worth(now, task) };
        let dear = worth * self.seen.mean_run(now) / self.weights.whole;
        let all = (self.due_time(now, task, HOPE / dear.max(0.1)) - task.arrived) as f64;
        task.arrived + (all * dear.min(1.0).powi(2)) as Time
    }

    /// Too late to be in time, and another task earns more with the time that it would take.
    pub(super) fn past_hope(&self, now: Time, task: &Task) -> bool {
        let late = self.worth(now, task) * self.workloads[task.workload].overdue;
        now >= self.hope(now, task) && late < self.weights.whole / self.seen.mean_run(now)
    }

    /// When a task is due that takes the mean time of its workload, or `runs` of those before.
    pub(crate) fn due_time(&self, now: Time, task: &Task, runs: f64) -> Time {
        task.expiry.min(task.arrived + self.due_within(now, task.workload, runs))
    }

    /// How long after its arrival that is, where its client waits so long.
    pub(super) fn due_within(&self, now: Time, i: usize, runs: f64) -> Time {
        let load = &self.workloads[i];
        load.due + micros((load.stretch - runs).max(0.0) * self.seen.usual(now, i))
    }
}
