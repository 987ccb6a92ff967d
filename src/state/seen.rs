//! What a dispatcher measures of its own tasks.

use serde::{Deserialize, Serialize};

use super::{Ring, alike, micros, seconds};
use crate::Time;

/// How many runs the guess of a workload's running time counts for in the mean.
const PRIOR_RUNS: f64 = 0.1;
/// Part of a running time above which the guess in it decides the figure.
const GUESSED: f64 = 0.1;
/// Part of the mean running time of all tasks above which the guesses in it decide the figure.
const MEAN_GUESSED: f64 = 0.5;

/// What a dispatcher has measured of its own tasks.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Seen {
    began: Time,
    span: Time,
    arrived: Vec<Ring>,
    asked: Vec<Ring>,
    /// The longest that a client of the workload would wait.
    pub longest: Vec<Time>,
    runs: Vec<Ring>,
    /// The same over a long time: what the tasks take when all is well.
    usual: Vec<Ring>,
    squares: Vec<Ring>,
    /// Part of the revenue earned, by workload.
    pub earned: Vec<Ring>,
    /// A workload's running time until one is seen, seconds.
    priors: Vec<f64>,
    /// Tasks a second, over all dispatchers, that lie within each customer's share.
    quotas: Vec<f64>,
    /// Own starts, over a fifth of the span.
    pub started: Ring,
    /// Seconds from assignment to start, at all workers.
    pub waits: Ring,
}

impl Seen {
    /// Counts over `span`, and over four times that what is rarer: running times.
    pub fn since(began: Time, span: Time, priors: Vec<f64>, quotas: Vec<f64>) -> Self {
        let long = vec![Ring::over(4 * span); priors.len()];
        let (arrived, asked) =
            (vec![Ring::over(2 * span); priors.len()], vec![Ring::over(span); quotas.len()]);
        let usual = vec![Ring::over(32 * span); priors.len()];
        let (runs, squares, earned) = (long.clone(), long.clone(), long);
        Seen {
            began,
            span,
            arrived,
            asked,
            longest: vec![0; priors.len()],
            runs,
            usual,
            squares,
            earned,
            priors,
            quotas,
            started: Ring::over(span / 5),
            waits: Ring::over(span / 2),
        }
    }

    /// Whether this measures the same as another.
    pub(super) fn like(&self, other: &Seen) -> bool {
        let alike = alike(&self.rings(), &other.rings()) && self.longest.len() == other.longest.len();
        alike && self.span == other.span && (&self.priors, &self.quotas) == (&other.priors, &other.quotas)
    }

    fn rings(&self) -> Vec<&Ring> {
        let many = [&self.arrived, &self.asked, &self.runs, &self.usual, &self.squares, &self.earned];
        many.into_iter().flatten().chain([&self.started, &self.waits]).collect()
    }

    pub fn arrival(&mut self, now: Time, workload: usize, customer: Option<usize>, budget: Time) {
        self.arrived[workload].add(now, 1.0, 1.0);
        self.longest[workload] = self.longest[workload].max(budget);
        if let Some(ring) = customer.and_then(|c| self.asked.get_mut(c)) {
            ring.add(now, 1.0, 1.0);
        }
    }

    pub fn ran(&mut self, now: Time, workload: usize, run: f64) {
        self.runs[workload].add(now, run, 1.0);
        self.usual[workload].add(now, run, 1.0);
        self.squares[workload].add(now, run * run, 1.0);
    }

    /// A job started, so long after it was assigned.
    pub fn start(&mut self, now: Time, waited: f64) {
        self.started.add(now, 1.0, 1.0);
        self.waits.add(now, waited, 1.0);
    }

    /// How long a start may take: so many times the mean wait, and no less than `least`.
    pub fn quiet(&self, now: Time, times: f64, least: Time) -> Time {
        micros(times * self.waits.mean(now, 0.0, 1.0)).max(least)
    }

    /// Own tasks counted at present.
    fn count(&self, now: Time) -> f64 {
        self.arrived.iter().map(|r| r.totals(now).1).sum()
    }

    /// Own tasks a second.
    pub fn rate(&self, now: Time) -> f64 {
        self.count(now) / seconds((now - self.began).clamp(self.span / 5, 2 * self.span))
    }

    /// The part of a customer's tasks within its quota, if `all` dispatchers see as many as this one.
    pub fn within_share(&self, now: Time, customer: Option<usize>, all: f64) -> f64 {
        let known = customer.and_then(|c| self.asked.get(c).zip(self.quotas.get(c)));
        let Some((ring, quota)) = known else { return 1.0 };
        let rate = all * ring.totals(now).1 / seconds((now - self.began).clamp(self.span / 5, self.span));
        if rate > 0.0 { (quota / rate).min(1.0) } else { 1.0 }
    }

    /// A workload's part of own tasks.
    pub fn part(&self, now: Time, workload: usize) -> f64 {
        let count = self.count(now);
        if count > 0.0 { self.arrived[workload].totals(now).1 / count } else { 0.0 }
    }

    /// Mean revenue of own tasks.
    pub fn mean_revenue(&self, now: Time, revenue: impl Fn(usize) -> f64) -> f64 {
        (0..self.arrived.len()).map(|i| revenue(i) * self.part(now, i)).sum()
    }

    /// Mean running time of a workload, seconds.
    pub fn run(&self, now: Time, workload: usize) -> f64 {
        self.runs[workload].mean(now, self.priors[workload], PRIOR_RUNS)
    }

    /// Seconds of a workload's mean running time that rest on the guess.
    fn guess(&self, now: Time, workload: usize) -> f64 {
        let (_, runs) = self.runs[workload].totals(now);
        self.priors[workload] * PRIOR_RUNS / (runs + PRIOR_RUNS)
    }

    /// Whether the guess decides what a workload's mean running time is.
    pub fn run_is_guessed(&self, now: Time, workload: usize) -> bool {
        self.guess(now, workload) > GUESSED * self.run(now, workload)
    }

    /// Whether guesses decide what the mean running time of own tasks is.
    pub fn mean_run_is_guessed(&self, now: Time) -> bool {
        let arrivals = |workload: usize| self.arrived[workload].totals(now).1;
        let sum = |seconds: &dyn Fn(usize) -> f64| -> f64 {
            (0..self.arrived.len()).map(|workload| arrivals(workload) * seconds(workload)).sum()
        };
        sum(&|workload| self.guess(now, workload)) > MEAN_GUESSED * sum(&|workload| self.run(now, workload))
    }

    /// Mean running time of a workload over a long time, seconds.
    pub fn usual(&self, now: Time, workload: usize) -> f64 {
        self.usual[workload].mean(now, self.priors[workload], PRIOR_RUNS)
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
