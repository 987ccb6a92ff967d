//! One plan with several values of one key.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail, ensure};
use toml::Value;

use crate::plan::Plan;
use crate::record;

/// The plan with each of the values at the key, checked as any other.
pub fn plans(path: &Path, key: &str, values: &[String]) -> Result<Vec<Plan>> {
    let name = path.display();
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
    let all: Value = toml::from_str(&text).with_context(|| name.to_string())?;
    let with = |value: &String| {
        let mut all = all.clone();
        let mut at = &mut all;
        for part in key.split('.') {
            let found = match (&mut *at, part.parse::<usize>()) {
                (Value::Array(list), Ok(n)) => list.get_mut(n),
                (Value::Table(table), _) => table.get_mut(part),
                _ => None,
            };
            at = found.with_context(|| format!("{name} has no key {key}"))?;
        }
        *at = match at {
            Value::Float(_) => value.parse().map(Value::Float).ok(),
            Value::Integer(_) => value.parse().map(Value::Integer).ok(),
            Value::String(_) => Some(Value::String(value.clone())),
            _ => bail!("{name}: {key} is no number and no text"),
        }
        .with_context(|| format!("{value} is not of the kind of {key}"))?;
        let plan: Plan = all.try_into().with_context(|| format!("{name} with {key} = {value}"))?;
        plan.at(path).with_context(|| format!("{name} with {key} = {value}"))
    };
    values.iter().map(with).collect()
}

/// The median of what the repeats gave, with the least and the most.
fn spread(mut of: Vec<f64>) -> Option<(f64, f64, f64)> {
    of.sort_by(f64::total_cmp);
    Some((*of.get(of.len() / 2)?, *of.first()?, *of.last()?))
}

/// A line for each value and workload; ratios are to the first value.
pub fn table(key: &str, values: &[String], found: &[Vec<record::Result>]) -> Result<String> {
    let first = found.first().and_then(|f| f.first()).context("nothing was played")?;
    let mut text = format!("| {key} | workload | finished a second | p50 ms | p99 ms | p99 by the first |\n");
    text += &format!("|{}\n", " --- |".repeat(6));
    for (n, load) in first.workloads.iter().enumerate() {
        let percentile = |results: &[record::Result], percent: f64| {
            spread(results.iter().filter_map(|r| r.workloads[n].percentile(percent)).collect())
        };
        let base = percentile(&found[0], 99.0).map_or(0.0, |s| s.0);
        for (value, results) in values.iter().zip(found) {
            let done = |r: &record::Result| r.workloads[n].finished() as f64 / r.plan.seconds;
            let rate = spread(results.iter().map(done).collect());
            let (rate, half, most) = (rate, percentile(results, 50.0), percentile(results, 99.0));
            ensure!(rate.is_some() && half.is_some() && most.is_some(), "nothing was played");
            let said = |s: Option<(f64, f64, f64)>| {
                s.map_or_else(String::new, |(m, l, h)| format!("{m:.2} ({l:.2} to {h:.2})"))
            };
            let ratio = most.map_or(0.0, |m| m.0) / base.max(1e-9);
            let missed = if results.iter().any(|r| r.schedule_missed) { " (schedule not kept)" } else { "" };
            let (rate, half, most) = (said(rate), said(half), said(most));
            writeln!(text, "| {value}{missed} | {} | {rate} | {half} | {most} | {ratio:.2} |", load.name)?;
        }
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Arrivals;
    use crate::record::{End, Recorder};
    use crate::schedule::tests::plan;

    #[test]
    fn a_key_is_changed_and_a_wrong_one_is_named() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("plan.toml");
        fs::write(&path, toml::to_string(&plan(Arrivals::Constant { rate: 5.0 }, 2.0)).unwrap()).unwrap();
        let said = |key: &str, values: &[&str]| {
            let values: Vec<String> = values.iter().map(|v| v.to_string()).collect();
            plans(&path, key, &values).map_err(|e| format!("{e:#}"))
        };
        let made = said("arrivals.rate", &["10", "20"]).unwrap();
        assert!(matches!(made[1].arrivals, Arrivals::Constant { rate: 20.0 }));
        assert_eq!(said("workloads.1.budget_ms", &["70"]).unwrap()[0].workloads[1].budget_ms, 70);
        assert!(said("arrivals.speed", &["1"]).unwrap_err().contains("no key arrivals.speed"));
        assert!(said("arrivals.rate", &["fast"]).unwrap_err().contains("fast is not of the kind"));
        assert!(said("arrivals.rate", &["-1"]).unwrap_err().contains("not a positive number"));
        assert!(said("workloads", &["1"]).unwrap_err().contains("no number and no text"));
        // A trace is named from the plan's folder here too.
        let recorded = plan(Arrivals::Trace { file: "t.csv".into() }, 2.0);
        fs::write(&path, toml::to_string(&recorded).unwrap()).unwrap();
        let made = said("seed", &["4"]).unwrap().remove(0);
        assert!(matches!(made.arrivals, Arrivals::Trace { file } if file == folder.path().join("t.csv")));
    }

    #[test]
    fn a_table_has_medians_and_their_spread() {
        let plan = plan(Arrivals::Constant { rate: 1.0 }, 2.0);
        let result = |ms: u64| {
            let mut seen = Recorder::of(2);
            (0..10).for_each(|_| seen.ended(0, (0, 0, ms * 1000), End::Finished, 0, None));
            seen.result(&plan)
        };
        let found = [vec![result(10), result(30), result(20)], vec![result(40); 3]];
        let text = table("seed", &["1".to_owned(), "2".to_owned()], &found).unwrap();
        assert!(text.contains("| 1 | search | 5.00 (5.00 to 5.00) | 20.0"), "{text}");
        assert!(text.lines().any(|l| l.starts_with("| 2 | search |") && l.ends_with("| 2.00 |")), "{text}");
        assert!(table("seed", &[], &[]).is_err());
    }
}
