//! What is remembered of one worker.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Chance, Ring, Task, alike, seconds};
use crate::{Group, Report, State, Time};

/// A worker kept from tasks until it has shown, by small trials, that it is well again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Bar {
    pub until: Time,
    pub length: Time,
}

/// A worker that has just started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Cold {
    pub since: Time,
    /// Mean tasks that this dispatcher may send by now; grows with time.
    pub room: f64,
    pub counted: Time,
}

impl Cold {
    /// Room grows by `rate` a second, up to `most`.
    pub fn grow(&mut self, now: Time, rate: f64, most: f64) {
        self.room = (self.room + rate * seconds(now - self.counted)).min(most);
        self.counted = now;
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Worker {
    pub id: String,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub state: State,
    pub started: Option<Time>,
    /// Taken out by hand, and when it was last given back.
    pub out: bool,
    pub back: Option<Time>,
    /// Given back, and not used since.
    pub untried: bool,
    /// What it can do at best, by the list's weights.
    pub size: f64,
    pub cold: Option<Cold>,
    pub bar: Option<Bar>,
    /// Could not be reached of late: what answers next may be a new, cold process.
    pub lost: bool,
    #[serde(skip)]
    pub in_flight: usize,
    /// The most free slots it ever told of.
    pub slots: f64,
    /// Assignments not known to have started: when sent, and of which task.
    #[serde(skip)]
    pub unstarted: BTreeSet<(Time, u64)>,
    #[serde(skip)]
    pub last_sign: Time,
    /// Microseconds between signs of life.
    pub gaps: Ring,
    /// Utilisation, weighed by rate: its mean is θ, seconds of the whole worker for a task.
    pub theta: Ring,
    pub utilisation: Ring,
    /// Rates as reported.
    pub reports: Ring,
    /// Seconds from assignment to start.
    pub waits: Ring,
    /// Part of its tasks that were errors, by its last report of any.
    pub erring: f64,
    /// Errors among outcomes, by workload.
    pub errors: Vec<Ring>,
    /// Free slots as last reported, and when.
    pub free: Option<(Time, f64)>,
    #[serde(skip)]
    pub share: f64,
    /// θ as the model was last given it.
    pub model_theta: f64,
    pub fastest: bool,
    /// Yji, by workload.
    #[serde(skip)]
    pub turns: Vec<f64>,
}

impl Worker {
    /// Whether the same is measured of it as of another.
    pub(super) fn like(&self, other: &Worker) -> bool {
        alike(&self.rings(), &other.rings())
    }

    fn rings(&self) -> Vec<&Ring> {
        let single = [&self.gaps, &self.theta, &self.utilisation, &self.reports, &self.waits];
        single.into_iter().chain(&self.errors).collect()
    }

    /// Whether it and another worker are of one group, and so drop one another's repeats.
    pub fn shares_group(&self, other: &Worker, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Cell => self.cell == other.cell,
        }
    }

    /// The present silence, in mean gaps; `usual` is the gap to go by until some are seen.
    pub fn silence(&self, now: Time, usual: Time) -> f64 {
        let since = if self.in_flight == 0 { now } else { self.last_sign };
        (now - since) as f64 / self.gaps.mean(now, usual as f64, 2.0).max(usual as f64 / 2.0)
    }

    /// Takes an answer: a sign of life, and an error or none.
    pub fn answered(&mut self, now: Time, workload: usize, errors: f64) {
        self.heard(now);
        self.errors[workload].add(now, errors, 1.0);
    }

    /// Takes what it reports of itself.
    pub fn report(&mut self, now: Time, report: Report) {
        if let (Some(busy), Some(rate)) = (report.utilisation, report.rate) {
            self.theta.add(now, busy, rate);
            self.reports.add(now, rate, 1.0);
            self.utilisation.add(now, busy, 1.0);
        }
        // Who gets no tasks makes no errors: that says nothing of whether it would.
        let (errors, rate) = (report.errors.unwrap_or(0.0).max(0.0), report.rate.unwrap_or(0.0).max(0.0));
        if errors + rate > 0.0 {
            self.erring = errors / (errors + rate);
        }
        self.slots = self.slots.max(report.free_slots.unwrap_or(0.0));
        // What waits there counts as slots less than none, a mean running time each for all slots together.
        let queue = report.queue.unwrap_or(0.0).clamp(0.0, 1e6) / self.slots.max(1.0);
        self.free = report.free_slots.map(|free| (now, free - queue)).or(self.free);
    }

    /// Takes a live weight: its size over one more than the tasks that it holds for each core.
    pub fn weighed(&mut self, now: Time, weight: f64) {
        let held = self.size / weight.max(1e-3) - 1.0;
        self.utilisation.add(now, held.min(1.0), 1.0);
        self.free = Some((now, 1.0 - held));
    }

    /// Whether errors are more than `part` of a workload's outcomes; that alone, as others may do well here.
    pub fn fails(&self, now: Time, workload: usize, part: f64) -> bool {
        let (errors, all) = self.errors[workload].totals(now);
        self.erring > part || errors >= 2.0 && errors > part * all
    }

    pub fn ill(&self, now: Time, part: f64) -> bool {
        self.bar.is_some() || (0..self.errors.len()).any(|i| self.fails(now, i, part))
    }

    pub fn barred(&self, now: Time) -> bool {
        self.bar.as_ref().is_some_and(|b| b.until > now)
    }

    /// Bars it, as one that was lost: for the `first` length, and each time for twice as long, up to `longest`.
    pub fn bar(&mut self, now: Time, first: Time, longest: Time) {
        self.lost = true;
        let length = self.bar.as_ref().map_or(first, |b| (2 * b.length).min(longest));
        if !self.barred(now) {
            self.bar = Some(Bar { until: now + length, length });
        }
    }

    /// Takes a sign of life.
    pub fn heard(&mut self, now: Time) {
        self.gaps.add(now, (now - self.last_sign) as f64, 1.0);
        self.last_sign = now;
        // A process that answers again before the list names its start is as cold as one that it names.
        if std::mem::take(&mut self.lost) {
            self.cold = Some(Cold { since: now, room: -1.0, counted: now });
        }
    }

    /// Seconds that a task sent now is likely to wait for its start; what it told is `fresh` for so long.
    pub fn wait(&self, now: Time, fresh: Time, (theta, run): (f64, f64), elsewhere: f64) -> f64 {
        let oldest = self.unstarted.first().map_or(0.0, |&(sent, _)| seconds(now - sent));
        let room = self.free.filter(|&(at, _)| now - at < fresh).map(|(_, free)| free > 0.0);
        // Who sees few starts goes by what waits are like elsewhere, unless the worker has told of room.
        let behind = self.free.map_or(0.0, |(_, free)| run * (-free).max(0.0));
        let told = if room == Some(false) { theta.max(behind) } else { 0.0 };
        let prior = if room == Some(true) { 0.0 } else { elsewhere.max(told) };
        self.waits.mean(now, prior, 0.25).max(oldest)
    }

    /// Drops what was seen of a process that is no more; `span` is the time between two solves.
    pub fn forget(&mut self, workloads: usize, span: Time) {
        self.gaps = Ring::over(4 * span);
        (self.theta, self.utilisation, self.reports) = (Ring::over(span), Ring::over(span), Ring::over(span));
        self.waits = Ring::over(span / 4);
        self.errors = vec![Ring::over(2 * span); workloads];
        self.turns = vec![0.0; workloads];
        (self.bar, self.cold, self.free, self.lost, self.erring) = (None, None, None, false, 0.0);
    }

    /// Given back by hand: what is still out was sent to a process that is no more, and says nothing of this one.
    pub fn give_back(&mut self, now: Time) {
        (self.back, self.last_sign, self.untried) = (Some(now), now, true);
        self.unstarted.clear();
        // Who is told of it is told alone, or with the few of its group: the spread may be less wide.
        self.cold.iter_mut().for_each(|c| c.room /= 2.0);
    }

    /// Takes its share of a solve, with the θ that the model was given; its turns begin anew, by chance.
    pub fn take_share(&mut self, share: f64, theta: f64, fastest: bool, chance: &mut Chance) {
        self.share = share;
        self.model_theta = theta;
        self.fastest = fastest;
        self.turns.iter_mut().for_each(|y| *y = chance.draw());
    }

    /// An assignment goes out; silence counts from here if nothing was out before.
    pub fn book(&mut self, now: Time, task: u64, cost: f64) {
        if self.in_flight == 0 {
            self.last_sign = now;
        }
        self.in_flight += 1;
        self.untried = false;
        self.cold.iter_mut().for_each(|c| c.room -= cost);
        self.unstarted.insert((now, task));
    }

    /// The job of an assignment that went out at `sent` has started.
    pub fn starts(&mut self, now: Time, sent: Time, task: u64) {
        self.unstarted.remove(&(sent, task));
        self.waits.add(now, seconds(now - sent), 1.0);
    }

    /// Whether an assignment has waited `quiet` and more for its start while the worker told of room for it: that is as
    /// good as two errors of its workload here, and true once.
    pub fn passes_over(&mut self, now: Time, (n, task, a): (u64, &Task, usize), quiet: Time) -> bool {
        let sent = task.assignments[a].sent;
        let room = self.free.is_some_and(|(at, free)| free > task.slots - 1.0 && at - sent >= quiet);
        let over = room && now - sent >= quiet && self.unstarted.remove(&(sent, n));
        // Dearer to learn than an error that comes at once: one is enough to keep the workload away for a while.
        if over {
            self.errors[task.workload].add(now, 2.0, 2.0);
        }
        over
    }

    /// An assignment that went out at `sent` has ended.
    pub fn strike(&mut self, sent: Time, task: u64) {
        self.in_flight -= 1;
        self.unstarted.remove(&(sent, task));
    }
}
