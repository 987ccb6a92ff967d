//! What of each budget is used, by what came to the stand-in workers and what ran there: never by what dispatchers believe.

use std::collections::BTreeSet;

use rainlug_load::stub::Run;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::script::{Budgets, Divided, What};

/// The part of a second by which what was counted at a dispatcher may arrive later: a connection may take so long, and a machine
/// that is busy.
const LATE: f64 = 0.25;
/// Seconds of a step of the series.
pub const STEP: f64 = 0.5;

/// One budget in one run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Spent {
    pub name: String,
    /// An occupancy's mean in each step, a rate's arrivals a second.
    pub series: Vec<f64>,
    /// The whole that any process may have gone by, in each step.
    pub wholes: Vec<f64>,
    /// The most at once of an occupancy; the most that a rate's bucket was drawn down, of its burst.
    pub most: f64,
    /// When it was over, and by how much.
    pub over: Vec<(f64, f64)>,
}

/// The whole that holds at a moment, by the changes that were made: the larger one, until all that was begun by it is over.
fn whole_at(budgets: &Budgets, divided: &Divided, changes: &[(f64, String, f64)], at: f64) -> f64 {
    let grace = budgets.settles(divided);
    let mut found = divided.whole;
    let mut before = divided.whole;
    for (when, _, whole) in changes.iter().filter(|(when, name, _)| *name == divided.name && *when <= at) {
        found = if at < when + grace { found.max(before).max(*whole) } else { *whole };
        before = *whole;
    }
    found
}

/// Counts a run's budgets, with the changes of wholes that were made in it.
pub fn count(
    budgets: &Budgets,
    changes: &[(f64, String, f64)],
    runs: &[Run],
    began: Instant,
    seconds: f64,
) -> Vec<Spent> {
    let since = |at: Instant| {
        let after = at.saturating_duration_since(began).as_secs_f64();
        after - began.saturating_duration_since(at).as_secs_f64()
    };
    // Each, when it came, when it had ended, and whether its task had come before.
    let mut known = BTreeSet::new();
    let all: Vec<(&Run, f64, f64, bool)> = runs
        .iter()
        .map(|run| {
            let again = !known.insert(run.id.as_str());
            (run, since(run.came), run.ended.map_or(f64::MAX, since), again)
        })
        .collect();
    let steps = (seconds / STEP).ceil() as usize;
    budgets.divided.iter().map(|divided| one(budgets, divided, changes, &all, steps)).collect()
}

fn one(
    budgets: &Budgets,
    divided: &Divided,
    changes: &[(f64, String, f64)],
    all: &[(&Run, f64, f64, bool)],
    steps: usize,
) -> Spent {
    let whole = |at: f64| whole_at(budgets, divided, changes, at);
    let mut spent = Spent {
        name: divided.name.clone(),
        series: vec![0.0; steps],
        wholes: (0..steps).map(|n| whole(n as f64 * STEP)).collect(),
        ..Spent::default()
    };
    let of = |run: &Run| divided.workload.as_ref().is_none_or(|w| *w == run.path);
    if divided.what == What::Tasks {
        let mine: Vec<_> = all.iter().filter(|(run, ..)| of(run) && !run.turned_away).collect();
        let mut moves: Vec<(f64, i64)> = mine.iter().flat_map(|r| [(r.1, 1), (r.2, -1)]).collect();
        moves.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut running = 0;
        for (at, by) in moves.into_iter().filter(|m| m.0 < f64::MAX) {
            running += by;
            spent.most = spent.most.max(running as f64);
            if by > 0 && running as f64 > whole(at) {
                spent.over.push((at, running as f64 - whole(at)));
            }
        }
        for (_, from, to, _) in mine {
            for (n, mean) in spent.series.iter_mut().enumerate() {
                let start = n as f64 * STEP;
                *mean += (to.min(start + STEP) - from.max(start)).max(0.0) / STEP;
            }
        }
    } else if let Some(burst) = divided.burst {
        let (mut level, mut last) = (burst, f64::MIN);
        for (run, at, _, again) in all {
            if divided.what == What::Retries && !again || !of(run) {
                continue;
            }
            level = if last == f64::MIN { burst } else { (level + (at - last) * whole(*at)).min(burst) };
            last = *at;
            level -= 1.0;
            spent.most = spent.most.max(burst - level);
            if level < -LATE * whole(*at) {
                spent.over.push((*at, -level));
            }
            if let Some(step) = spent.series.get_mut((at / STEP).max(0.0) as usize).filter(|_| *at >= 0.0) {
                *step += 1.0 / STEP;
            }
        }
    }
    spent
}

impl Spent {
    /// The part of the whole that is used on the mean between two moments.
    pub fn used(&self, from: f64, by: f64) -> f64 {
        let within = |n: usize| (from..by).contains(&(n as f64 * STEP));
        let parts = self.series.iter().zip(&self.wholes).enumerate().filter(|(n, _)| within(*n));
        let (sum, all) = parts.fold((0.0, 0.0), |(s, a), (_, (used, whole))| (s + used, a + whole));
        if all > 0.0 { sum / all } else { 0.0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn budgets(what: What) -> Budgets {
        let workload = (what == What::Tasks).then(|| "bid".to_owned());
        let divided = Divided {
            name: "b".into(),
            what,
            workload,
            whole: 2.0,
            reserve: 0.0,
            burst: Some(3.0),
            longest_ms: None,
        };
        Budgets {
            grant_ms: 1000.0,
            lease_ms: 500.0,
            drift_ppm: 10_000,
            voters: 3,
            odd: vec![],
            divided: vec![divided],
        }
    }

    fn run(id: &str, came: f64, ended: f64, began: Instant) -> Run {
        let at = |seconds: f64| began + Duration::from_secs_f64(seconds);
        Run {
            worker: 0,
            path: "bid".into(),
            mark: id.into(),
            id: id.into(),
            came: at(came),
            turned_away: false,
            began: Some(at(came)),
            ended: Some(at(ended)),
        }
    }

    #[test]
    fn what_runs_at_once_and_what_comes_again_is_counted_at_the_workers() {
        let began = Instant::now();
        let runs: Vec<Run> = [("a", 1.0, 3.0), ("b", 1.5, 2.0), ("c", 2.0, 4.0)]
            .iter()
            .map(|r| run(r.0, r.1, r.2, began))
            .collect();
        let tasks = &count(&budgets(What::Tasks), &[], &runs, began, 5.0)[0];
        assert_eq!((tasks.most, tasks.over.len()), (2.0, 0));
        assert!((tasks.used(1.0, 4.0) - 0.75).abs() < 1e-9, "{}", tasks.used(1.0, 4.0));
        let more = [&runs[..], &[run("d", 2.5, 2.6, began)]].concat();
        let tasks = &count(&budgets(What::Tasks), &[], &more, began, 5.0)[0];
        assert_eq!(tasks.over, [(2.5, 1.0)]);
        // A smaller whole holds once all that was begun before is over.
        let smaller = [(0.0, "b".to_owned(), 1.0)];
        assert!(count(&budgets(What::Tasks), &smaller, &runs, began, 5.0)[0].over.is_empty());
        let late: Vec<Run> = runs
            .iter()
            .map(|r| Run { came: r.came + Duration::from_secs(60), ended: None, ..r.clone() })
            .collect();
        assert_eq!(count(&budgets(What::Tasks), &smaller, &late, began, 90.0)[0].over.len(), 2);
        // Retries: first comings are none.
        let often = |id: fn(usize) -> String| -> Vec<Run> {
            (0..8).map(|n| run(&id(n), 1.0 + 0.01 * n as f64, 9.0, began)).collect()
        };
        assert!(
            count(&budgets(What::Retries), &[], &often(|n| format!("t{n}")), began, 5.0)[0].over.is_empty()
        );
        assert!(!count(&budgets(What::Retries), &[], &often(|_| "t".into()), began, 5.0)[0].over.is_empty());
    }
}
