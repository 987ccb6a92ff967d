//! When each task is to be sent, made ahead from the plan and its seed: it does not depend on any answer.

use std::f64::consts::TAU;
use std::fs;

use anyhow::{Context, Result, bail, ensure};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::plan::{Arrivals, Plan, SECOND};

/// A task: microseconds after the start, and the number of its workload.
pub type Due = (u64, usize);

pub fn of(plan: &Plan) -> Result<Vec<Due>> {
    let mut chance = ChaCha8Rng::seed_from_u64(plan.seed);
    let end = plan.seconds;
    let times: Vec<f64> = match &plan.arrivals {
        Arrivals::Trace { file } => {
            return trace(
                plan,
                &file.display().to_string(),
                &fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?,
            );
        }
        Arrivals::Constant { rate } => (0..(end * rate).ceil() as u64).map(|i| i as f64 / rate).collect(),
        Arrivals::Poisson { rate } => poisson(&mut chance, end, *rate, |_| *rate),
        Arrivals::Ramp { from, to } => {
            poisson(&mut chance, end, from.max(*to), |at| from + (to - from) * at / end)
        }
        Arrivals::Surge { rate, times, start, end: over } => {
            poisson(&mut chance, end, rate * times.max(1.0), |at| {
                if (*start..*over).contains(&at) { rate * times } else { *rate }
            })
        }
        Arrivals::Diurnal { rate, swing, period } => {
            poisson(&mut chance, end, 2.0 * rate, |at| rate * (1.0 + swing * (TAU * at / period).sin()))
        }
    };
    let whole: f64 = plan.workloads.iter().map(|w| w.part).sum();
    let mut draw = || {
        let mut rest = chance.random::<f64>() * whole;
        let found = plan.workloads.iter().position(|w| {
            rest -= w.part;
            rest < 0.0
        });
        found.unwrap_or(plan.workloads.len() - 1)
    };
    Ok(times.into_iter().map(|at| ((at * SECOND as f64) as u64, draw())).collect())
}

/// Poisson arrivals of a rate that changes, by thinning those of the highest.
fn poisson(chance: &mut ChaCha8Rng, end: f64, most: f64, rate: impl Fn(f64) -> f64) -> Vec<f64> {
    let (mut at, mut times) = (0.0, Vec::new());
    loop {
        at -= (1.0 - chance.random::<f64>()).ln() / most;
        if at >= end {
            return times;
        }
        if chance.random::<f64>() * most < rate(at) {
            times.push(at);
        }
    }
}

/// A recorded trace: a line `seconds,workload` each.
fn trace(plan: &Plan, name: &str, text: &str) -> Result<Vec<Due>> {
    let mut found: Vec<Due> = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let place = || format!("{name}, line {}", n + 1);
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let Some((at, workload)) = line.split_once(',') else { bail!("{}: not `seconds,workload`", place()) };
        let at: f64 = at.trim().parse().with_context(|| format!("{}: seconds is no number", place()))?;
        ensure!(at.is_finite() && at >= 0.0, "{}: seconds is not 0 or more", place());
        let known = plan.workloads.iter().position(|w| w.name == workload.trim());
        let workload =
            known.with_context(|| format!("{}: workload {} is not in the plan", place(), workload.trim()))?;
        let at = (at * SECOND as f64) as u64;
        ensure!(
            found.last().is_none_or(|(before, _)| *before <= at),
            "{}: earlier than the line before",
            place()
        );
        if at < (plan.seconds * SECOND as f64) as u64 {
            found.push((at, workload));
        }
    }
    ensure!(!found.is_empty(), "{name}: no task within the plan's seconds");
    Ok(found)
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use crate::plan::Workload;

    pub fn plan(arrivals: Arrivals, seconds: f64) -> Plan {
        let workload = |name: &str, part| Workload {
            name: name.to_owned(),
            part,
            budget_ms: 5000,
            body_bytes: 0,
            fingerprint: false,
            retries: 0,
            backoff_ms: 0,
        };
        let workloads = vec![workload("search", 3.0), workload("bid", 1.0)];
        Plan { target: ([127, 0, 0, 1], 1).into(), seed: 3, seconds, connections: 100, arrivals, workloads }
    }

    #[test]
    fn a_seed_makes_one_schedule_and_parts_and_rates_are_kept() {
        let surge = plan(Arrivals::Surge { rate: 100.0, times: 5.0, start: 20.0, end: 30.0 }, 60.0);
        let made = of(&surge).unwrap();
        assert_eq!(made, of(&surge).unwrap());
        assert_ne!(made, of(&Plan { seed: 4, ..surge }).unwrap());
        assert!(made.is_sorted_by_key(|d| d.0));
        let within =
            |from: u64, to: u64| made.iter().filter(|d| (from * SECOND..to * SECOND).contains(&d.0)).count();
        assert!((4700..5300).contains(&within(20, 30)) && (1850..2150).contains(&within(0, 20)));
        let bids = made.iter().filter(|d| d.1 == 1).count() as f64 / made.len() as f64;
        assert!((0.23..0.27).contains(&bids), "{bids}");
    }

    #[test]
    fn a_faulty_trace_is_named_with_its_line() {
        let plan = plan(Arrivals::Constant { rate: 1.0 }, 10.0);
        let said =
            |text: &str| trace(&plan, "t.csv", text).map_or_else(|e| format!("{e:#}"), |t| format!("{t:?}"));
        assert_eq!(said("# recorded\n0.5,search\n0.5,bid\n11,bid\n"), "[(500000, 0), (500000, 1)]");
        let cases = [
            ("0,search\n0.5", "t.csv, line 2: not `seconds,workload`"),
            ("0,search\nx,bid", "t.csv, line 2: seconds is no number"),
            ("-1,bid", "t.csv, line 1: seconds is not 0 or more"),
            ("1,sell", "t.csv, line 1: workload sell is not in the plan"),
            ("2,bid\n1,bid", "t.csv, line 2: earlier than the line before"),
            ("", "t.csv: no task within"),
        ];
        cases.iter().for_each(|(text, words)| assert!(said(text).contains(words), "{}", said(text)));
    }
}
