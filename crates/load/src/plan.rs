//! What a run is asked for: a plan in TOML, read and checked in one place.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};

/// A second of the schedule, in its microseconds.
pub const SECOND: u64 = 1_000_000;
/// No plan sends more tasks than this: the schedule is made ahead.
const MOST_TASKS: f64 = 5e6;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub target: SocketAddr,
    pub seed: u64,
    pub seconds: f64,
    /// Tasks in flight beyond this are not sent, but counted as such.
    pub connections: usize,
    pub arrivals: Arrivals,
    pub workloads: Vec<Workload>,
}

/// When tasks come.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "shape", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Arrivals {
    /// Evenly spaced.
    Constant {
        rate: f64,
    },
    Poisson {
        rate: f64,
    },
    /// Poisson, from one rate to another over the whole run.
    Ramp {
        from: f64,
        to: f64,
    },
    /// Poisson, `times` as many between two seconds.
    Surge {
        rate: f64,
        times: f64,
        start: f64,
        end: f64,
    },
    /// Poisson, a wave of so many seconds round the rate, by a part of it.
    Diurnal {
        rate: f64,
        swing: f64,
        period: f64,
    },
    /// A recorded trace: CSV lines `seconds,workload`, sorted by time.
    Trace {
        file: PathBuf,
    },
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub name: String,
    /// Its part of all tasks, by the others'.
    pub part: f64,
    pub budget_ms: u64,
    #[serde(default)]
    pub body_bytes: usize,
    /// Carries a fingerprint.
    #[serde(default)]
    pub fingerprint: bool,
    /// How often a bounced task is asked again, as part of its first try.
    #[serde(default)]
    pub retries: u32,
    #[serde(default)]
    pub backoff_ms: u64,
}

impl Plan {
    pub fn read(path: &Path) -> Result<Plan> {
        let text = fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        let plan: Plan = toml::from_str(&text).with_context(|| path.display().to_string())?;
        plan.at(path).with_context(|| path.display().to_string())
    }

    /// The plan as it stands in a file there, checked: a trace is named from the file's folder.
    pub fn at(mut self, path: &Path) -> Result<Plan> {
        if let Arrivals::Trace { file } = &mut self.arrivals {
            *file = path.parent().unwrap_or(Path::new("")).join(&file);
        }
        self.check()?;
        Ok(self)
    }

    fn check(&self) -> Result<()> {
        let positive = |key: &str, value: f64| {
            ensure!(value.is_finite() && value > 0.0, "{key} is not a positive number");
            Ok(value)
        };
        positive("seconds", self.seconds)?;
        ensure!((1..=100_000).contains(&self.connections), "connections is not from 1 to 100000");
        ensure!(!self.workloads.is_empty(), "workloads is empty");
        for (i, load) in self.workloads.iter().enumerate() {
            let path = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
            ensure!(!load.name.is_empty() && load.name.chars().all(path), "workloads[{i}].name is no path");
            positive(&format!("workloads[{i}].part"), load.part)?;
            ensure!(load.budget_ms > 0, "workloads[{i}].budget_ms is 0");
            ensure!(load.body_bytes <= 64 << 10, "workloads[{i}].body_bytes is over 64 KiB");
        }
        let most = match &self.arrivals {
            Arrivals::Constant { rate } | Arrivals::Poisson { rate } => positive("arrivals.rate", *rate)?,
            Arrivals::Ramp { from, to } => {
                positive("arrivals.from", *from)?.max(positive("arrivals.to", *to)?)
            }
            Arrivals::Surge { rate, times, start, end } => {
                ensure!(*start >= 0.0 && start < end, "arrivals.start is not before arrivals.end");
                positive("arrivals.rate", *rate)? * positive("arrivals.times", *times)?.max(1.0)
            }
            Arrivals::Diurnal { rate, swing, period } => {
                ensure!((0.0..=1.0).contains(swing), "arrivals.swing is not from 0 to 1");
                positive("arrivals.period", *period)?;
                2.0 * positive("arrivals.rate", *rate)?
            }
            Arrivals::Trace { .. } => 0.0,
        };
        ensure!(most * self.seconds <= MOST_TASKS, "arrivals make more than {MOST_TASKS} tasks");
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAN: &str = r#"
target = "127.0.0.1:8080"
seed = 7
seconds = 4.0
connections = 64
arrivals = { shape = "poisson", rate = 50.0 }
[[workloads]]
name = "search"
part = 1.0
budget_ms = 4000
"#;

    fn error(text: &str) -> String {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("plan.toml");
        fs::write(&path, text).unwrap();
        Plan::read(&path).map_or_else(|e| format!("{e:#}"), |_| "none".to_owned())
    }

    #[test]
    fn what_is_wrong_in_a_plan_is_named_with_its_key() {
        assert_eq!(error(PLAN), "none");
        let cases = [
            (PLAN.replace("50.0", "-1.0"), "arrivals.rate is not a positive number"),
            (PLAN.replace("50.0", "nan"), "arrivals.rate is not a positive number"),
            (PLAN.replace("50.0", "1e9"), "arrivals make more than"),
            (PLAN.replace("seconds = 4.0", "seconds = 0.0"), "seconds is not a positive"),
            (PLAN.replace("seed = 7\n", ""), "missing field `seed`"),
            (PLAN.replace("part = 1.0", "prat = 1.0"), "unknown field `prat`"),
            (PLAN.replace("4000", "0"), "workloads[0].budget_ms is 0"),
            (PLAN.replace("\"search\"", "\"a b\""), "workloads[0].name is no path"),
            (PLAN.split("[[").next().unwrap().to_owned(), "missing field `workloads`"),
            (String::new(), "missing field"),
        ];
        for (text, words) in cases {
            let said = error(&text);
            assert!(said.contains(words) && said.contains("plan.toml"), "{words}: {said}");
        }
    }
}
