//! Reads what a dispatcher starts with from the settings' JSON. Keys that are not known are skipped.

use anyhow::{Context, Result, bail};
use rainlug::logic::Dispatcher;
use rainlug::{Allowed, Effect, Group, Known, Moment, Obligations, Place, Time, Weights, Workload};
use serde_json::Value;

use crate::fields::micros;

pub fn start(m: &mut Moment, seed: u64, text: &str) -> Result<(Dispatcher, usize)> {
    let all: Value = serde_json::from_str(text).context("expected settings as a JSON object")?;
    let place = Place {
        seed,
        group_size: number(&all, "/groupSize")? as usize,
        index: number(&all, "/index")? as usize,
        zone: number(&all, "/zone")? as usize,
    };
    let allowed = Allowed {
        assignments: number(&all, "/limits/mostAssignments")? as usize,
        withdrawal: flag(&all, "/limits/cancel"),
        copies: flag(&all, "/limits/parallelTries"),
        peers: flag(&all, "/limits/peers"),
        probes: flag(&all, "/limits/probes"),
        pause: if flag(&all, "/limits/retryAfter") { time(&all, "/limits/maxRetryAfterMs")? } else { 0 },
        must_ask: all.pointer("/discovery").and_then(Value::as_str) == Some("subscribe"),
    };
    let obligations = Obligations {
        cold_from: number(&all, "/obligations/coldFrom")?,
        warm_within: time(&all, "/obligations/warmWithinMs")?,
        overload_factor: number(&all, "/obligations/overloadFactor")?,
        fall: time(&all, "/obligations/fallMs")?,
        must_ask_in: if allowed.must_ask { time(&all, "/obligations/mustAskInMs")? } else { 0 },
    };
    let known = Known {
        reports_by_probe: all.pointer("/feedback/how").and_then(Value::as_str) == Some("pull"),
        live_weights: all.pointer("/weightSource").and_then(Value::as_str) == Some("live"),
        tells_start: flag(&all, "/specifics/tellsStart"),
        progress: time(&all, "/specifics/progressMs").unwrap_or(0),
        cross_zone: number(&all, "/prices/crossZone").unwrap_or(0.0),
    };
    let weights = Weights {
        whole: number(&all, "/scoreParts/whole").unwrap_or(1.0),
        worst_workload: number(&all, "/scoreParts/worstClass").unwrap_or(0.0),
        beyond_share: number(&all, "/overageRevenue").unwrap_or(1.0),
        by_work: all.pointer("/revenueBasis").and_then(Value::as_str) == Some("work"),
    };
    let workloads = list(&all, "/workloads")?.iter().enumerate().map(|(i, w)| workload(&all, i, w));
    let quotas = list(&all, "/customers").unwrap_or_default().iter();
    let quotas = quotas.map(|c| number(c, "/quotaPerS"));
    let (workloads, quotas) = (workloads.collect::<Result<Vec<_>>>()?, quotas.collect::<Result<_>>()?);
    let count = workloads.len();
    let made = Dispatcher::start(m, place, workloads, quotas, weights, allowed, obligations, known);
    Ok((made, count))
}

fn workload(all: &Value, i: usize, one: &Value) -> Result<Workload> {
    let stretch = number(all, &format!("/specifics/classStretch/{i}")).unwrap_or(0.0);
    let kind = number(all, &format!("/specifics/classKind/{i}")).ok().filter(|k| *k >= 0.0);
    Ok(Workload {
        effect: effect(one)?,
        due: time(one, "/dueTimeMs")?,
        stretch: stretch + number(one, "/aimStretch").unwrap_or(0.0),
        revenue: number(one, "/revenue")?,
        overdue: number(one, "/overdueRevenue").unwrap_or(0.0),
        kind: kind.map(|k| k as usize),
    })
}

fn effect(one: &Value) -> Result<Effect> {
    let group = match one.pointer("/keyScope").and_then(Value::as_str) {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        _ => Group::All,
    };
    match one.pointer("/idempotency").and_then(Value::as_str) {
        Some("repeatable") => Ok(Effect::Idempotent),
        Some("by_key") => Ok(Effect::Fingerprinted { group, window: time(one, "/windowMs")? }),
        Some("once") => Ok(Effect::SideEffecting),
        _ => bail!("expected idempotency as repeatable, by_key or once"),
    }
}

fn number(from: &Value, path: &str) -> Result<f64> {
    from.pointer(path).and_then(Value::as_f64).with_context(|| format!("settings lack a number at {path}"))
}

fn time(from: &Value, path: &str) -> Result<Time> {
    micros(number(from, path)?).with_context(|| format!("settings have no time at {path}"))
}

fn flag(from: &Value, path: &str) -> bool {
    from.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

fn list<'a>(from: &'a Value, path: &str) -> Result<&'a [Value]> {
    let found = from.pointer(path).and_then(Value::as_array);
    found.map(Vec::as_slice).with_context(|| format!("settings lack a list at {path}"))
}
