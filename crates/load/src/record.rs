//! What a run saw: latencies counted from the intended time of sending, and outcomes by kind.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::plan::{Plan, SECOND};

/// Latencies are kept to three digits, up to an hour.
const LONGEST: u64 = 3600 * SECOND;

/// Part of the tasks sent late by more than `SLACK` over which the generator itself did not keep its schedule.
const LATE_PART: f64 = 0.01;
const SLACK: u64 = 10_000;

/// How a task ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    Finished,
    Bounced,
    Abandoned,
    /// Any answer that the protocol does not know.
    Odd,
    Refused,
    Broken,
    TimedOut,
    /// All connections of the plan were in use at its time.
    NotSent,
}

/// One task's end, in microseconds of the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    pub workload: usize,
    pub due: u64,
    pub sent: u64,
    pub done: u64,
    pub end: End,
    pub again: u32,
    /// Where its last try went, as what, and when.
    pub by: Option<(usize, u64, u64)>,
}

/// Counts of a run while it lasts.
pub struct Recorder {
    began: Vec<Series>,
    /// Each task's end, in that order, where they are asked for.
    pub all: Option<Vec<Ended>>,
}

struct Series {
    latencies: Histogram<u64>,
    seconds: BTreeMap<u64, (Histogram<u64>, u64)>,
    ends: BTreeMap<End, u64>,
    again: u64,
    late: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST, 3).expect("bounds that are fixed")
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Result {
    pub version: String,
    pub machine: String,
    pub plan: Plan,
    /// Too many tasks were sent late by the generator itself: its figures are not to be trusted.
    pub schedule_missed: bool,
    pub workloads: Vec<Figures>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figures {
    pub name: String,
    pub tasks: u64,
    pub ends: BTreeMap<End, u64>,
    /// Further tries, inside the first ones' latencies.
    pub again: u64,
    pub late: u64,
    /// Percentile and milliseconds, of finished tasks.
    pub percentiles: Vec<(f64, f64)>,
    /// For each second of intended sending: tasks, finished ones, and milliseconds at 50 and 99 percent.
    pub seconds: Vec<(u64, u64, u64, f64, f64)>,
}

impl Figures {
    pub fn finished(&self) -> u64 {
        self.ends.get(&End::Finished).copied().unwrap_or(0)
    }

    /// Milliseconds at one of `PERCENTILES`.
    pub fn percentile(&self, percent: f64) -> Option<f64> {
        self.percentiles.iter().find(|p| p.0 == percent).map(|p| p.1)
    }
}

pub const PERCENTILES: [f64; 6] = [50.0, 75.0, 90.0, 95.0, 99.0, 99.9];

impl Recorder {
    pub fn of(workloads: usize) -> Self {
        let series = || Series {
            latencies: histogram(),
            seconds: BTreeMap::new(),
            ends: BTreeMap::new(),
            again: 0,
            late: 0,
        };
        Recorder { began: (0..workloads).map(|_| series()).collect(), all: None }
    }

    /// A task meant for `due` was sent at `sent` and ended at `done`, all in microseconds of the run.
    pub fn ended(
        &mut self,
        workload: usize,
        (due, sent, done): (u64, u64, u64),
        end: End,
        again: u32,
        by: Option<(usize, u64, u64)>,
    ) {
        self.all.iter_mut().for_each(|all| all.push(Ended { workload, due, sent, done, end, again, by }));
        let series = &mut self.began[workload];
        *series.ends.entry(end).or_default() += 1;
        series.again += u64::from(again);
        series.late += u64::from(sent > due + SLACK);
        let (latencies, tasks) = series.seconds.entry(due / SECOND).or_insert_with(|| (histogram(), 0));
        *tasks += 1;
        if end == End::Finished {
            series.latencies.saturating_record(done.saturating_sub(due));
            latencies.saturating_record(done.saturating_sub(due));
        }
    }

    pub fn result(&self, plan: &Plan) -> Result {
        let at = |h: &Histogram<u64>, p: f64| h.value_at_percentile(p) as f64 / 1000.0;
        let figures = |(series, load): (&Series, &crate::plan::Workload)| Figures {
            name: load.name.clone(),
            tasks: series.ends.values().sum(),
            ends: series.ends.clone(),
            again: series.again,
            late: series.late,
            percentiles: PERCENTILES.iter().map(|p| (*p, at(&series.latencies, *p))).collect(),
            seconds: series
                .seconds
                .iter()
                .map(|(second, (h, tasks))| (*second, *tasks, h.len(), at(h, 50.0), at(h, 99.0)))
                .collect(),
        };
        let workloads: Vec<Figures> = self.began.iter().zip(&plan.workloads).map(figures).collect();
        let (late, all) = workloads.iter().fold((0, 0), |t, w| (t.0 + w.late, t.1 + w.tasks));
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        Result {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            machine: format!("{} {}, {cores} cores", std::env::consts::OS, std::env::consts::ARCH),
            plan: plan.clone(),
            schedule_missed: late as f64 > LATE_PART * all as f64,
            workloads,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Arrivals;
    use crate::schedule::{of, tests::plan};

    /// A server that answers in no time and stands still from 1 s to 3 s, in virtual time: exact to the histogram.
    #[test]
    fn a_pause_of_two_seconds_is_seen_whole_and_a_closed_loop_misses_it() {
        let plan = plan(Arrivals::Constant { rate: 1000.0 }, 4.0);
        let done = |at: u64| if (SECOND..3 * SECOND).contains(&at) { 3 * SECOND } else { at };
        let (mut open, mut closed, mut free) = (Recorder::of(1), Recorder::of(1), 0);
        for (due, _) in of(&plan).unwrap() {
            open.ended(0, (due, due, done(due)), End::Finished, 0, None);
            // Who waits for each answer before the next is sent, and counts from there.
            let sent = due.max(free);
            free = done(sent);
            closed.ended(0, (sent, sent, free), End::Finished, 0, None);
        }
        let found = open.result(&plan).workloads.remove(0);
        // Half of the tasks come while it stands still, evenly: 2 s for the first of them, nothing for the last.
        for (percent, truth) in [(75.0, 1000.0), (90.0, 1600.0), (95.0, 1800.0), (99.0, 1960.0)] {
            let seen = found.percentile(percent).unwrap();
            assert!((seen / truth - 1.0).abs() < 0.01, "{percent}: {seen} for {truth}");
        }
        let missed = closed.result(&plan).workloads.remove(0);
        assert!(missed.percentile(99.0).unwrap() < 1.0);
    }

    #[test]
    fn a_generator_that_sends_late_says_so() {
        let plan = plan(Arrivals::Constant { rate: 100.0 }, 1.0);
        let mut seen = Recorder::of(2);
        (0..99).for_each(|i| seen.ended(0, (i, i, i + 5), End::Finished, 0, None));
        seen.ended(0, (5, 5 + SLACK + 1, 99_000), End::Finished, 0, None);
        assert!(!seen.result(&plan).schedule_missed);
        seen.ended(1, (5, 5 + SLACK + 1, 99_000), End::Finished, 0, None);
        assert!(seen.result(&plan).schedule_missed);
    }
}
