//! What a dispatcher remembers of a task and of a worker, and the two things it counts with. No decisions.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{Outcome, SECOND, State, Time};

const BUCKETS: Time = 8;

/// Sums over the last few buckets of time; the oldest bucket is used again for the newest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    width: Time,
    buckets: [(Time, f64, f64); BUCKETS as usize],
}

impl Ring {
    pub fn over(span: Time) -> Self {
        Ring { width: (span / BUCKETS).max(1), buckets: [(Time::MIN, 0.0, 0.0); BUCKETS as usize] }
    }

    pub fn add(&mut self, now: Time, sum: f64, weight: f64) {
        let turn = now.div_euclid(self.width);
        let bucket = &mut self.buckets[turn.rem_euclid(BUCKETS) as usize];
        if bucket.0 != turn {
            *bucket = (turn, 0.0, 0.0);
        }
        bucket.1 += sum;
        bucket.2 += weight;
    }

    pub fn totals(&self, now: Time) -> (f64, f64) {
        let oldest = now.div_euclid(self.width) - BUCKETS;
        let live = self.buckets.iter().filter(|b| b.0 > oldest);
        live.fold((0.0, 0.0), |t, b| (t.0 + b.1, t.1 + b.2))
    }

    /// The mean, drawn towards `prior` as if that had been seen `weight` times.
    pub fn mean(&self, now: Time, prior: f64, weight: f64) -> f64 {
        let (sum, seen) = self.totals(now);
        if seen + weight > 0.0 { (sum + prior * weight) / (seen + weight) } else { prior }
    }
}

/// Chance, by a seed and a counter.
pub(crate) struct Chance {
    pub seed: u64,
    pub drawn: u64,
}

impl Chance {
    /// A number from 0 to below 1.
    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A worker kept from tasks until it has shown, by small trials, that it is well again.
#[derive(Debug)]
pub(crate) struct Bar {
    pub until: Time,
    pub length: Time,
}

/// A worker that has just started.
#[derive(Debug)]
pub(crate) struct Cold {
    pub since: Time,
    /// Mean tasks that this dispatcher may send by now; grows with time.
    pub room: f64,
    pub counted: Time,
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub id: String,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub state: State,
    pub started: Option<Time>,
    pub cold: Option<Cold>,
    pub bar: Option<Bar>,
    /// Could not be reached of late: what answers next may be a new, cold process.
    pub lost: bool,
    pub in_flight: usize,
    /// Assignments not known to have started: when sent, and of which task.
    pub unstarted: BTreeSet<(Time, u64)>,
    pub last_sign: Time,
    /// Microseconds between signs of life.
    pub gaps: Ring,
    /// Utilisation, weighed by rate: its mean is θ, seconds of the whole worker for a task.
    pub theta: Ring,
    pub utilisation: Ring,
    /// Seconds from assignment to start.
    pub waits: Ring,
    /// Running times over their workload's mean.
    pub slowness: Ring,
    /// Errors among outcomes, by workload.
    pub errors: Vec<Ring>,
    /// Free slots as last reported, and when.
    pub free: Option<(Time, f64)>,
    pub share: f64,
    pub fastest: bool,
    /// Yji, by workload.
    pub turns: Vec<f64>,
}

impl Worker {
    /// Drops what was seen of a process that is no more; `span` is the time between two solves.
    pub fn forget(&mut self, workloads: usize, span: Time) {
        self.gaps = Ring::over(4 * span);
        (self.theta, self.utilisation) = (Ring::over(span), Ring::over(span));
        self.waits = Ring::over(span / 4);
        self.slowness = Ring::over(2 * span);
        self.errors = vec![Ring::over(2 * span); workloads];
        (self.bar, self.cold, self.free, self.lost) = (None, None, None, false);
    }

    pub fn theta(&self, now: Time) -> Option<f64> {
        let (busy, rate) = self.theta.totals(now);
        (rate > 0.0 && busy > 0.0).then(|| busy / rate)
    }
}

#[derive(Debug)]
pub(crate) struct Assignment {
    pub worker: usize,
    pub sent: Time,
    pub started: Option<Time>,
    pub outcome: Option<Outcome>,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub id: String,
    pub workload: usize,
    pub slots: f64,
    pub memory: f64,
    pub arrived: Time,
    pub expiry: Time,
    pub customer: Option<usize>,
    /// Came while its customer was within its share.
    pub within_share: bool,
    pub assignments: Vec<Assignment>,
    pub answered: bool,
    /// Its place among the tasks that wait here, least first.
    pub held: Option<(u64, Time, u64)>,
}

impl Task {
    /// Assignments still out.
    pub fn out(&self) -> usize {
        self.assignments.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// Which of the rings earns least.
pub(crate) fn worst(rings: &[Ring], now: Time) -> Option<usize> {
    let earned = |i: &usize| rings[*i].mean(now, 1.0, 1.0);
    (0..rings.len()).min_by(|i, j| earned(i).total_cmp(&earned(j)))
}

pub(crate) fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

pub(crate) fn micros(seconds: f64) -> Time {
    (seconds * SECOND as f64) as Time
}

/// What a dispatcher has measured of its own tasks.
pub(crate) struct Seen {
    began: Time,
    span: Time,
    arrived: Vec<Ring>,
    asked: Vec<Ring>,
    runs: Vec<Ring>,
    squares: Vec<Ring>,
    /// Part of the revenue earned, by workload and by customer.
    pub earned: Vec<Ring>,
    pub earned_of: Vec<Ring>,
    /// A workload's running time until one is seen, seconds.
    priors: Vec<f64>,
}

impl Seen {
    /// Counts over `span`, and over four times that what is rarer: running times.
    pub fn since(began: Time, span: Time, priors: Vec<f64>, customers: usize) -> Self {
        let long = vec![Ring::over(4 * span); priors.len()];
        let (arrived, asked) = (vec![Ring::over(2 * span); priors.len()], vec![Ring::over(span); customers]);
        let earned_of = vec![Ring::over(4 * span); customers];
        let (runs, squares, earned) = (long.clone(), long.clone(), long);
        Seen { began, span, arrived, asked, runs, squares, earned, earned_of, priors }
    }

    pub fn arrival(&mut self, now: Time, workload: usize, customer: Option<usize>) {
        self.arrived[workload].add(now, 1.0, 1.0);
        if let Some(ring) = customer.and_then(|c| self.asked.get_mut(c)) {
            ring.add(now, 1.0, 1.0);
        }
    }

    pub fn ran(&mut self, now: Time, workload: usize, run: f64) {
        self.runs[workload].add(now, run, 1.0);
        self.squares[workload].add(now, run * run, 1.0);
    }

    /// Own tasks a second.
    pub fn rate(&self, now: Time) -> f64 {
        let count: f64 = self.arrived.iter().map(|r| r.totals(now).1).sum();
        count / seconds((now - self.began).clamp(self.span / 5, 2 * self.span))
    }

    /// Own tasks a second of one customer.
    pub fn rate_of(&self, now: Time, customer: usize) -> f64 {
        let count = self.asked.get(customer).map_or(0.0, |r| r.totals(now).1);
        count / seconds((now - self.began).clamp(self.span / 5, self.span))
    }

    /// A workload's part of own tasks.
    pub fn part(&self, now: Time, workload: usize) -> f64 {
        let count: f64 = self.arrived.iter().map(|r| r.totals(now).1).sum();
        if count > 0.0 { self.arrived[workload].totals(now).1 / count } else { 0.0 }
    }

    /// A customer's part of own tasks.
    pub fn part_of(&self, now: Time, customer: usize) -> f64 {
        let count: f64 = self.asked.iter().map(|r| r.totals(now).1).sum();
        if count > 0.0 { self.asked[customer].totals(now).1 / count } else { 0.0 }
    }

    /// Mean revenue of own tasks.
    pub fn mean_revenue(&self, now: Time, revenue: impl Fn(usize) -> f64) -> f64 {
        (0..self.arrived.len()).map(|i| revenue(i) * self.part(now, i)).sum()
    }

    /// Mean running time of a workload, seconds.
    pub fn run(&self, now: Time, workload: usize) -> f64 {
        self.runs[workload].mean(now, self.priors[workload], 0.1)
    }

    /// Mean running time of own tasks, seconds.
    pub fn mean_run(&self, now: Time) -> f64 {
        let counted = self.arrived.iter().enumerate().map(|(i, a)| (a.totals(now).1, self.run(now, i)));
        let (sum, n) = counted.fold((0.0, 0.0), |t, (n, run)| (t.0 + n * run, t.1 + n));
        if n > 0.0 && sum > 0.0 { sum / n } else { 1.0 }
    }

    /// Squared coefficient of variation of own running times.
    pub fn spread(&self, now: Time) -> f64 {
        let sum = |rings: &[Ring]| -> f64 { rings.iter().map(|r| r.totals(now).0).sum() };
        let (runs, squares) = (sum(&self.runs), sum(&self.squares));
        let n: f64 = self.runs.iter().map(|r| r.totals(now).1).sum();
        if runs > 0.0 { (squares * n / (runs * runs) - 1.0).max(0.0) } else { 1.0 }
    }
}
