//! Reads a dispatcher's settings from JSON into the module's types. Every key that either program reads is read and
//! checked here, and every default stands here; what is wrong is said with the key's path. Unknown keys are skipped.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail, ensure};
use rainlug::logic::Dispatcher;
use rainlug::{Allowed, Effect, Group, Known, Moment, Obligations, Place, Report, Time, Weights, Workload};
use serde_json::Value;

/// Makes a dispatcher by its settings; gives it with the number of its workloads.
pub fn dispatcher(m: &mut Moment, seed: u64, all: &Value) -> Result<(Dispatcher, usize)> {
    let place = Place {
        seed,
        group_size: count(all, "/groupSize")?,
        index: count(all, "/index")?,
        zone: count(all, "/zone")?,
    };
    let zones = length(all, "/zones")?.unwrap_or(usize::MAX);
    ensure!(place.zone < zones, "/zone is none of /zones");
    let allowed = Allowed {
        assignments: count(all, "/limits/mostAssignments")?,
        withdrawal: flag(all, "/limits/cancel")?,
        copies: flag(all, "/limits/parallelTries")?,
        probes: flag(all, "/limits/probes")?,
        pause: if flag(all, "/limits/retryAfter")? { time(all, "/limits/maxRetryAfterMs")? } else { 0 },
        must_ask: must_ask(all)?,
    };
    let obligations = Obligations {
        cold_from: number(all, "/obligations/coldFrom")?,
        warm_within: time(all, "/obligations/warmWithinMs")?,
        overload_factor: number(all, "/obligations/overloadFactor")?,
        fall: time(all, "/obligations/fallMs")?,
        must_ask_in: if allowed.must_ask { time(all, "/obligations/mustAskInMs")? } else { 0 },
    };
    let known = Known {
        reports_by_probe: word(all, "/feedback/how")? == Some("pull"),
        live_weights: live_weights(all)?,
        tells_start: flag(all, "/specifics/tellsStart")?,
        progress: time_or(all, "/specifics/progressMs", 0)?,
        cross_zone: number_or(all, "/prices/crossZone", 0.0)?,
    };
    let weights = Weights {
        whole: number_or(all, "/scoreParts/whole", 1.0)?,
        worst_workload: number_or(all, "/scoreParts/worstClass", 0.0)?,
        slow_end: slow_end(all)?,
        beyond_share: number_or(all, "/overageRevenue", 1.0)?,
        by_work: word(all, "/revenueBasis")? == Some("work"),
    };
    let quotas = (0..length(all, "/customers")?.unwrap_or(0))
        .map(|i| number(all, &format!("/customers/{i}/quotaPerS")));
    let quotas = quotas.collect::<Result<_>>()?;
    let workloads = workloads(all)?;
    let count = workloads.len();
    Ok((Dispatcher::start(m, place, workloads, quotas, weights, allowed, obligations, known), count))
}

/// The weight of the slow end. It and the share of misses that is accepted come together or not at all.
fn slow_end(all: &Value) -> Result<f64> {
    let [weight, allowed] = ["/scoreParts/slowEnd", "/scoreParts/missAllowed"];
    match (all.pointer(weight), all.pointer(allowed)) {
        (None, None) => return Ok(0.0),
        (Some(_), None) => bail!(lack("a number (as slowEnd is set)", allowed)),
        (None, Some(_)) => bail!(lack("a number (as missAllowed is set)", weight)),
        (Some(_), Some(_)) => {}
    }
    ensure!(number(all, allowed)? <= 1.0, "{allowed} is over 1");
    // It is kept by early bounces; where copies find room, tasks wait longer, and it would go unread.
    ensure!(!flag(all, "/limits/parallelTries")?, "{weight} does not go with /limits/parallelTries");
    let found = number(all, weight)?;
    ensure!(found <= 1.0, "{weight} is over 1");
    Ok(found)
}

fn workloads(all: &Value) -> Result<Vec<Workload>> {
    let found = length(all, "/workloads")?.with_context(|| lack("a list", "/workloads"))?;
    (0..found).map(|i| workload(all, i)).collect()
}

fn workload(all: &Value, i: usize) -> Result<Workload> {
    let at = |key: &str| format!("/workloads/{i}/{key}");
    let kind_at = format!("/specifics/classKind/{i}");
    // -1 is any kind.
    let kind = all.pointer(&kind_at).map(|k| k.as_i64().with_context(|| lack("a whole number", &kind_at)));
    Ok(Workload {
        effect: effect(all, i)?,
        due: time(all, &at("dueTimeMs"))?,
        stretch: number_or(all, &format!("/specifics/classStretch/{i}"), 0.0)?
            + number_or(all, &at("aimStretch"), 0.0)?,
        revenue: number(all, &at("revenue"))?,
        overdue: number_or(all, &at("overdueRevenue"), 0.0)?,
        kind: kind.transpose()?.and_then(|k| usize::try_from(k).ok()),
    })
}

fn effect(all: &Value, i: usize) -> Result<Effect> {
    let at = |key: &str| format!("/workloads/{i}/{key}");
    let group = match word(all, &at("keyScope"))? {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        _ => Group::All,
    };
    match word(all, &at("idempotency"))? {
        Some("repeatable") => Ok(Effect::Idempotent),
        Some("by_key") => Ok(Effect::Fingerprinted { group, window: time(all, &at("windowMs"))? }),
        Some("once") => Ok(Effect::SideEffecting),
        _ => bail!("{} is not repeatable, by_key or once", at("idempotency")),
    }
}

/// Takes over a field of a load report, by the settings' names (`/feedback/fields`); others decide nothing. `x0` is
/// free slots.
pub fn set_report(report: &mut Report, name: &str, value: f64) {
    let value = Some(value).filter(|v| v.is_finite());
    match name {
        "load_share" => report.utilisation = value,
        "tps" => report.rate = value,
        "err_ps" => report.errors = value,
        "x0" => report.free_slots = value,
        "depth" => report.queue = value,
        _ => {}
    }
}

/// The longest that clients wait for a task of each workload, in the order of the settings.
pub fn expiries(all: &Value) -> Result<Vec<Time>> {
    (0..length(all, "/workloads")?.unwrap_or(0))
        .map(|i| time(all, &format!("/workloads/{i}/expiryMs")))
        .collect()
}

/// What is told of the fleet that a dispatcher is one of.
#[derive(Debug)]
pub struct Fleet {
    pub name: String,
    pub listen: SocketAddr,
    /// Where others reach it, if that is not where it listens.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub period: Time,
}

/// A period without a key, and its bounds, in milliseconds.
const PERIOD: (f64, f64, f64) = (1000.0, 20.0, 60_000.0);
/// Names and zones go round in datagrams: they are no longer than this, in bytes.
const LONGEST_NAME: usize = 64;

/// The fleet; nothing where there is no such section. The dispatcher's own name and zone are checked with it.
pub fn fleet(all: &Value) -> Result<Option<Fleet>> {
    let Some(section) = all.get("fleet") else { return Ok(None) };
    ensure!(section.is_object(), lack("an object", "/fleet"));
    let fits = |name: &str| (1..=LONGEST_NAME).contains(&name.len());
    let (fleet, own) = (name(all, "/fleet/name")?, name(all, "/name")?);
    ensure!(fits(&fleet), "/fleet/name is not of 1 to {LONGEST_NAME} bytes");
    ensure!(fits(&own), "/name is not of 1 to {LONGEST_NAME} bytes, as /fleet is set");
    let zones = names(all, "/settings/zones")?;
    ensure!(
        zones.iter().all(|z| z.len() <= LONGEST_NAME),
        "/settings/zones has a name over {LONGEST_NAME} bytes"
    );
    let reached = |at: SocketAddr| !at.ip().is_unspecified() && at.port() != 0;
    let listen = address(all, "/fleet/listen")?;
    let advertise = all.pointer("/fleet/advertise").map(|_| address(all, "/fleet/advertise")).transpose()?;
    if let Some(at) = advertise {
        ensure!(reached(at), "/fleet/advertise is no address that others reach");
    }
    ensure!(
        advertise.is_some() || !listen.ip().is_unspecified(),
        "/fleet/advertise is needed: /fleet/listen is every address of the machine"
    );
    ensure!(
        advertise.is_none_or(|at| at.is_ipv4() == listen.is_ipv4()),
        "/fleet/advertise is not of the same kind of address as /fleet/listen"
    );
    let seeds = (0..length(all, "/fleet/seeds")?.unwrap_or(0)).map(|i| {
        let at = format!("/fleet/seeds/{i}");
        let seed = address(all, &at)?;
        ensure!(reached(seed), "{at} is no address that can be reached");
        Ok(seed)
    });
    let seeds = seeds.collect::<Result<_>>()?;
    let (usual, least, most) = PERIOD;
    let period = number_or(all, "/fleet/periodMs", usual)?;
    ensure!((least..=most).contains(&period), "/fleet/periodMs is not from {least} to {most}");
    let period = micros(period).with_context(|| lack("a time", "/fleet/periodMs"))?;
    Ok(Some(Fleet { name: fleet, listen, advertise, seeds, period }))
}

/// True where the list of workers comes only when asked for.
pub fn must_ask(all: &Value) -> Result<bool> {
    Ok(word(all, "/discovery")? == Some("subscribe"))
}

/// True where the list's weights fall as workers hold more.
pub fn live_weights(all: &Value) -> Result<bool> {
    Ok(word(all, "/weightSource")? == Some("live"))
}

/// The names in a list of names or of objects with names; none where there is no list.
pub fn names(all: &Value, path: &str) -> Result<Vec<String>> {
    let Some(found) = all.pointer(path) else { return Ok(Vec::new()) };
    let name = |v: &Value| v.as_str().or_else(|| v.pointer("/name")?.as_str()).map(str::to_owned);
    let list = found.as_array().and_then(|l| l.iter().map(name).collect());
    list.with_context(|| lack("a list of names", path))
}

/// How many a list holds, where there is one.
fn length(all: &Value, path: &str) -> Result<Option<usize>> {
    let count = |v: &Value| v.as_array().map(Vec::len).with_context(|| lack("a list", path));
    all.pointer(path).map(count).transpose()
}

/// A text.
pub fn name(all: &Value, path: &str) -> Result<String> {
    word(all, path)?.map(str::to_owned).with_context(|| lack("a text", path))
}

/// An address and port.
pub fn address(all: &Value, path: &str) -> Result<SocketAddr> {
    let found = word(all, path)?.and_then(|a| a.parse().ok());
    found.with_context(|| lack("an address and port", path))
}

/// A seed in hexadecimal digits.
pub fn seed(all: &Value, path: &str) -> Result<u64> {
    let found = word(all, path)?.and_then(|s| u64::from_str_radix(s, 16).ok());
    found.with_context(|| lack("a number in hexadecimal digits", path))
}

/// A finite number of 0 or more.
fn number(from: &Value, path: &str) -> Result<f64> {
    let found = from.pointer(path).and_then(Value::as_f64).with_context(|| lack("a number", path))?;
    ensure!(found >= 0.0, "{path} is negative");
    Ok(found)
}

fn number_or(from: &Value, path: &str, default: f64) -> Result<f64> {
    if from.pointer(path).is_some() { number(from, path) } else { Ok(default) }
}

/// A whole number of 0 or more.
pub fn count(from: &Value, path: &str) -> Result<usize> {
    let found = number(from, path)?;
    ensure!(found.fract() == 0.0 && found < 1e15, "{path} is not a whole number");
    Ok(found as usize)
}

/// Milliseconds.
pub fn time(from: &Value, path: &str) -> Result<Time> {
    micros(number(from, path)?).with_context(|| format!("{path} is no time"))
}

fn time_or(from: &Value, path: &str, default: Time) -> Result<Time> {
    if from.pointer(path).is_some() { time(from, path) } else { Ok(default) }
}

/// False where there is none.
fn flag(from: &Value, path: &str) -> Result<bool> {
    from.pointer(path).map_or(Ok(false), |v| v.as_bool().with_context(|| lack("true or false", path)))
}

fn word<'a>(from: &'a Value, path: &str) -> Result<Option<&'a str>> {
    from.pointer(path).map(|v| v.as_str().with_context(|| lack("a text", path))).transpose()
}

fn lack(what: &str, path: &str) -> String {
    format!("settings lack {what} at {path}")
}

/// Milliseconds as whole microseconds, or nothing where the number makes no moment.
pub fn micros(ms: f64) -> Option<Time> {
    (ms.is_finite() && ms.abs() < 1e15).then(|| (ms * 1000.0).round() as Time)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rainlug::Outgoing;
    use serde_json::json;

    struct Nowhere;

    impl Outgoing for Nowhere {
        fn assign(&mut self, _: &str, _: &str) {}
        fn withdraw(&mut self, _: &str, _: usize) {}
        fn bounce(&mut self, _: &str, _: Time) {}
        fn abandon(&mut self, _: &str) {}
        fn wake(&mut self, _: Time, _: u64) {}
        fn probe(&mut self, _: &str) {}
        fn follow(&mut self) {}
    }

    fn settings(copies: bool, score: Value) -> Value {
        json!({"groupSize": 4, "index": 0, "zone": 1, "zones": ["a", "b"], "scoreParts": score,
            "limits": {"mostAssignments": 3, "cancel": true, "parallelTries": copies},
            "obligations": {"coldFrom": 0.3, "warmWithinMs": 9000, "overloadFactor": 3, "fallMs": 3000},
            "workloads": [{"name": "copy", "idempotency": "once", "dueTimeMs": 300, "revenue": 1}]})
    }

    /// What is said of settings that are refused; nothing of those that hold.
    fn said(all: &Value) -> Option<String> {
        let made = dispatcher(&mut Moment { now: 0, out: &mut Nowhere }, 1, all);
        made.err().map(|e| format!("{e:#}"))
    }

    #[test]
    fn a_fleet_is_read_and_each_wrong_key_is_named() {
        let with = |key: &str, value: Value| {
            let mut all = json!({"name": "n0", "fleet": {"name": "f", "listen": "127.0.0.1:0"}});
            all["fleet"][key] = value;
            all
        };
        assert!(fleet(&json!({"name": "n0"})).unwrap().is_none());
        let made = fleet(&with("seeds", json!(["127.0.0.1:7001", "[::1]:7002"]))).unwrap().unwrap();
        assert_eq!((made.seeds.len(), made.period, made.advertise), (2, 1_000_000, None));
        let wrong = [
            ("name", json!("")),
            ("name", json!("x".repeat(65))),
            ("name", json!(7)),
            ("listen", json!("here")),
            ("advertise", json!("0.0.0.0:7000")),
            ("advertise", json!("127.0.0.1:0")),
            ("advertise", json!("[::1]:7000")),
            ("seeds", json!("127.0.0.1:7001")),
            ("seeds", json!(["127.0.0.1"])),
            ("seeds", json!(["127.0.0.1:0"])),
            ("periodMs", json!(0)),
            ("periodMs", json!(1e9)),
            ("periodMs", json!("fast")),
        ];
        for (key, value) in wrong {
            let said = format!("{:#}", fleet(&with(key, value.clone())).unwrap_err());
            assert!(said.contains(&format!("/fleet/{key}")) && !said.contains('\n'), "{key} {value}: {said}");
        }
        let said = format!("{:#}", fleet(&with("listen", json!("0.0.0.0:7000"))).unwrap_err());
        assert!(said.contains("/fleet/advertise is needed"), "{said}");
        assert!(fleet(&json!({"name": "n0", "fleet": 3})).is_err());
        assert!(
            fleet(&json!({"fleet": {"name": "f", "listen": "127.0.0.1:0"}})).is_err(),
            "a dispatcher has a name"
        );
    }

    #[test]
    fn one_build_takes_either_shape_and_refuses_a_mix_by_its_key() {
        let even = json!({"whole": 0.7, "slowEnd": 0.2, "missAllowed": 0.01});
        assert_eq!(said(&settings(true, json!({"whole": 1.0}))), None);
        assert_eq!(said(&settings(false, json!({"whole": 1.0}))), None);
        assert_eq!(said(&settings(false, even.clone())), None);
        let refused = |all: Value, key: &str| {
            let line = said(&all).expect("refused");
            assert!(line.contains(key) && !line.contains('\n'), "{line}");
        };
        refused(settings(true, even), "/limits/parallelTries");
        refused(settings(false, json!({"slowEnd": 0.2})), "/scoreParts/missAllowed");
        refused(settings(false, json!({"missAllowed": 0.01})), "/scoreParts/slowEnd");
        refused(settings(false, json!({"slowEnd": 1.2, "missAllowed": 0.01})), "/scoreParts/slowEnd");
        refused(settings(false, json!({"slowEnd": 0.2, "missAllowed": 7})), "/scoreParts/missAllowed");
        refused(settings(false, json!({"slowEnd": "much", "missAllowed": 0.01})), "/scoreParts/slowEnd");
        refused(settings(false, json!({"slowEnd": -0.2, "missAllowed": 0.01})), "/scoreParts/slowEnd");
        let mut nowhere = settings(false, json!({}));
        nowhere["zone"] = json!(2);
        refused(nowhere, "/zone");
    }
}
