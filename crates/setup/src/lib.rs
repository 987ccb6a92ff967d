//! Reads a dispatcher's settings from JSON into the module's types. Every key that either program reads is read and
//! checked here, and every default stands here; what is wrong is said with the key's path. Unknown keys are skipped.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail, ensure};
use rainlug::logic::Dispatcher;
use rainlug::{Allowed, Effect, Group, Known, Moment, Obligations, Place, Report, Time, Weights, Workload};
use rainlug_budgets::{Amount, Budget, Kind, Terms, UNIT};
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
    /// Who is gone for so long is no longer counted on.
    pub hold: Time,
    /// Its number in its group, and the group's size.
    pub number: (usize, usize),
}

/// A period without a key, and its bounds, in milliseconds.
const PERIOD: (f64, f64, f64) = (1000.0, 20.0, 60_000.0);
/// The same of the time for which one that is gone still counts.
const HOLD: (f64, f64, f64) = (10_000.0, 0.0, 600_000.0);
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
    let (usual, least, most) = HOLD;
    let hold = number_or(all, "/fleet/holdMs", usual)?;
    ensure!((least..=most).contains(&hold), "/fleet/holdMs is not from {least} to {most}");
    let hold = micros(hold).with_context(|| lack("a time", "/fleet/holdMs"))?;
    let number = (count(all, "/settings/index")?, count(all, "/settings/groupSize")?);
    Ok(Some(Fleet { name: fleet, listen, advertise, seeds, period, hold, number }))
}

/// What of this dispatcher's a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Assignments of tasks that had one before, a second.
    Again,
    /// Assignments of a workload, a second.
    Assignments(usize),
    /// Tasks of a workload at workers, at once.
    Tasks(usize),
    /// Room at each cold worker.
    Warming,
}

/// What is told of the budgets that a fleet has in common.
#[derive(Debug)]
pub struct Budgets {
    pub terms: Terms,
    /// Of the terms' budgets, in their order.
    pub uses: Vec<Use>,
    /// This dispatcher's place on the roster.
    pub me: u16,
}

/// A grant's length, and its bounds, in milliseconds; the part of it that is a lease; the bound on drift.
const GRANT: (f64, f64, f64) = (2000.0, 200.0, 60_000.0);
const LEASE: f64 = 0.5;
const DRIFT: (f64, f64) = (10_000.0, 200_000.0);
/// The reserve's part of a whole, where none is told.
const RESERVE: f64 = 0.1;
/// Dispatchers on a roster, voters among them where none are named, and budgets, at most.
const MOST_NAMES: usize = 1000;
const VOTERS: usize = 3;
const MOST_BUDGETS: usize = 32;
/// The largest whole.
const MOST_WHOLE: f64 = 1e9;

fn amount(units: f64) -> Amount {
    (units * UNIT as f64).round() as Amount
}

/// The budgets; nothing where there is no such section.
pub fn budgets(all: &Value) -> Result<Option<Budgets>> {
    let Some(section) = all.get("budgets") else { return Ok(None) };
    ensure!(section.is_object(), lack("an object", "/budgets"));
    ensure!(all.get("fleet").is_some(), lack("an object (as budgets is set)", "/fleet"));
    ensure!(all.get("management").is_some(), lack("an address (as budgets is set)", "/management"));
    let roster = distinct(names(all, "/budgets/roster")?, "/budgets/roster")?;
    ensure!((1..=MOST_NAMES).contains(&roster.len()), "/budgets/roster is not of 1 to {MOST_NAMES} names");
    let own = name(all, "/name")?;
    let me = roster.iter().position(|n| *n == own);
    let me = me.with_context(|| format!("/budgets/roster does not name this dispatcher, {own}"))?;
    let voters = match all.pointer("/budgets/voters") {
        Some(_) => distinct(names(all, "/budgets/voters")?, "/budgets/voters")?,
        None => roster[..if roster.len() < VOTERS { 1 } else { VOTERS }].to_vec(),
    };
    ensure!(voters.len() % 2 == 1, "/budgets/voters is not of an odd number of names");
    let stranger = voters.iter().find(|v| !roster.contains(v));
    ensure!(
        stranger.is_none(),
        "/budgets/voters names {}, who is not on /budgets/roster",
        stranger.map_or("", |s| s)
    );
    let (usual, least, most) = GRANT;
    let grant = number_or(all, "/budgets/grantMs", usual)?;
    ensure!((least..=most).contains(&grant), "/budgets/grantMs is not from {least} to {most}");
    let lease = number_or(all, "/budgets/leaseMs", grant * LEASE)?;
    ensure!((least / 2.0..=most).contains(&lease), "/budgets/leaseMs is not from {} to {most}", least / 2.0);
    let (usual, most) = DRIFT;
    let drift = number_or(all, "/budgets/driftPpm", usual)?;
    ensure!(drift <= most && drift.fract() == 0.0, "/budgets/driftPpm is not a whole number up to {most}");
    let times = |ms: f64, at: &str| micros(ms).with_context(|| lack("a time", at));
    let (grant, lease) = (times(grant, "/budgets/grantMs")?, times(lease, "/budgets/leaseMs")?);
    let count = length(all, "/budgets/divided")?.unwrap_or(0);
    ensure!((1..=MOST_BUDGETS).contains(&count), "/budgets/divided is not of 1 to {MOST_BUDGETS} budgets");
    let (mut divided, mut uses) = (Vec::<Budget>::new(), Vec::<Use>::new());
    for i in 0..count {
        let (budget, does) = budget(all, i, roster.len(), grant)?;
        let at = format!("/budgets/divided/{i}");
        ensure!(
            divided.iter().all(|b| b.name != budget.name),
            "{at}/name is another budget's too: {}",
            budget.name
        );
        ensure!(!uses.contains(&does), "{at} limits what another budget limits");
        divided.push(budget);
        uses.push(does);
    }
    let terms = Terms { roster, voters, grant, lease, drift: drift as u32, budgets: divided };
    Ok(Some(Budgets { terms, uses, me: me as u16 }))
}

fn distinct(names: Vec<String>, path: &str) -> Result<Vec<String>> {
    let mut seen = BTreeSet::new();
    let twice = names.iter().find(|n| !seen.insert(n.as_str()));
    ensure!(twice.is_none(), "{path} names {} twice", twice.map_or("", |t| t));
    let fits = |name: &String| (1..=LONGEST_NAME).contains(&name.len());
    ensure!(names.iter().all(fits), "{path} has a name that is not of 1 to {LONGEST_NAME} bytes");
    Ok(names)
}

fn budget(all: &Value, i: usize, dispatchers: usize, grant: Time) -> Result<(Budget, Use)> {
    let at = |key: &str| format!("/budgets/divided/{i}/{key}");
    let called = name(all, &at("name"))?;
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    ensure!(
        (1..=LONGEST_NAME).contains(&called.len()) && called.chars().all(plain),
        "{} is not of 1 to {LONGEST_NAME} letters, digits, - and _",
        at("name")
    );
    let what = word(all, &at("what"))?;
    let does = match what {
        Some("retries") => Use::Again,
        Some("assignments") => Use::Assignments(workload_named(all, &at("workload"))?),
        Some("tasks") => Use::Tasks(workload_named(all, &at("workload"))?),
        Some("warming") => Use::Warming,
        _ => bail!("{} is not retries, assignments, tasks or warming", at("what")),
    };
    let warming = does == Use::Warming;
    let whole = if warming { number_or(all, &at("whole"), 1.0)? } else { number(all, &at("whole"))? };
    ensure!(whole > 0.0 && whole <= MOST_WHOLE, "{} is not over 0 and up to {MOST_WHOLE}", at("whole"));
    ensure!(!warming || whole == 1.0, "{} is not 1, all of a worker's room", at("whole"));
    let reserve = number_or(all, &at("reserve"), whole * RESERVE)?;
    ensure!(reserve <= whole, "{} is over {}", at("reserve"), at("whole"));
    let kind = match does {
        Use::Warming => Kind::Parts,
        Use::Tasks(workload) => {
            ensure!(whole.fract() == 0.0, "{} is not a whole number", at("whole"));
            let (expiry, margin) = (
                time(all, &format!("/settings/workloads/{workload}/expiryMs"))?,
                time_or(all, "/settings/limits/dialTimeoutMs", 0)?,
            );
            let longest = time_or(all, &at("longestMs"), expiry + margin)?;
            ensure!(longest >= expiry, "{} is under the workload's expiry", at("longestMs"));
            ensure!(grant <= expiry, "/budgets/grantMs is over the expiry of {}", at("workload"));
            Kind::Occupancy { longest }
        }
        Use::Again | Use::Assignments(_) => {
            let burst = number_or(all, &at("burst"), whole.max(dispatchers as f64))?;
            ensure!(
                burst >= dispatchers as f64 && burst <= MOST_WHOLE,
                "{} is not one for each on /budgets/roster, {dispatchers}, or more",
                at("burst")
            );
            Kind::Rate { burst: amount(burst) }
        }
    };
    Ok((Budget { name: called, kind, whole: amount(whole), reserve: amount(reserve) }, does))
}

fn workload_named(all: &Value, path: &str) -> Result<usize> {
    let called = name(all, path)?;
    let found = names(all, "/settings/workloads")?.into_iter().position(|w| w == called);
    found.with_context(|| format!("{path} is none of /settings/workloads: {called}"))
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
            let mut all = json!({"name": "n0", "settings": {"index": 2, "groupSize": 5},
                "fleet": {"name": "f", "listen": "127.0.0.1:0"}});
            all["fleet"][key] = value;
            all
        };
        assert!(fleet(&json!({"name": "n0"})).unwrap().is_none());
        let made = fleet(&with("seeds", json!(["127.0.0.1:7001", "[::1]:7002"]))).unwrap().unwrap();
        assert_eq!((made.seeds.len(), made.period, made.advertise), (2, 1_000_000, None));
        assert_eq!((made.hold, made.number), (10_000_000, (2, 5)));
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
            ("holdMs", json!(-1)),
            ("holdMs", json!(1e9)),
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
    fn budgets_are_read_and_each_wrong_key_is_named() {
        let all = json!({"name": "n1", "management": "127.0.0.1:0", "fleet": {"name": "f", "listen": "127.0.0.1:0"},
            "settings": {"limits": {"dialTimeoutMs": 200}, "workloads": [{"name": "post", "expiryMs": 5000}, {"name": "search", "expiryMs": 4000}]},
            "budgets": {"roster": ["n0", "n1", "n2", "n3"], "divided": [
                {"name": "retries", "what": "retries", "whole": 50, "reserve": 10},
                {"name": "ledger", "what": "tasks", "workload": "post", "whole": 40, "reserve": 6},
                {"name": "sent", "what": "assignments", "workload": "search", "whole": 2.5, "burst": 4},
                {"name": "cold", "what": "warming"}]}});
        let made = budgets(&all).unwrap().unwrap();
        assert_eq!(made.uses, [Use::Again, Use::Tasks(0), Use::Assignments(1), Use::Warming]);
        assert_eq!((made.me, made.terms.voters.len(), made.terms.grant), (1, 3, 2_000_000));
        assert_eq!(made.terms.budgets[0].kind, Kind::Rate { burst: 50 * UNIT });
        assert_eq!(made.terms.budgets[1].kind, Kind::Occupancy { longest: 5_200_000 });
        assert_eq!((made.terms.own(1), made.terms.budgets[3].reserve), (UNIT, UNIT / 10));
        assert!(budgets(&json!({"name": "n1"})).unwrap().is_none());
        let wrong: [(&str, Value, &str); 25] = [
            ("/budgets/roster", json!([]), "/budgets/roster"),
            ("/budgets/roster", json!(["n0", "n2"]), "/budgets/roster does not name this dispatcher, n1"),
            ("/budgets/roster", json!(["n1", "n0", "n1"]), "/budgets/roster names n1 twice"),
            ("/budgets/voters", json!([]), "/budgets/voters is not of an odd number"),
            ("/budgets/voters", json!(["n0", "n1"]), "/budgets/voters is not of an odd number"),
            ("/budgets/voters", json!(["n9"]), "/budgets/voters names n9"),
            ("/budgets/grantMs", json!(5500), "/budgets/grantMs is over the expiry of /budgets/divided/1"),
            ("/budgets/grantMs", json!(1), "/budgets/grantMs is not from"),
            ("/budgets/leaseMs", json!("long"), "/budgets/leaseMs"),
            ("/budgets/driftPpm", json!(500_000), "/budgets/driftPpm"),
            ("/budgets/divided", json!([]), "/budgets/divided"),
            ("/budgets/divided/0/whole", json!(0), "/budgets/divided/0/whole"),
            ("/budgets/divided/0/whole", json!(-1), "/budgets/divided/0/whole is negative"),
            ("/budgets/divided/0/whole", json!(1e300), "/budgets/divided/0/whole"),
            ("/budgets/divided/0/whole", Value::Null, "/budgets/divided/0/whole"),
            ("/budgets/divided/0/reserve", json!(51), "/budgets/divided/0/reserve is over"),
            ("/budgets/divided/0/burst", json!(3), "/budgets/divided/0/burst is not one for each"),
            ("/budgets/divided/0/name", json!("a b"), "/budgets/divided/0/name"),
            ("/budgets/divided/0/what", json!("spend"), "/budgets/divided/0/what"),
            ("/budgets/divided/1/workload", json!("pay"), "/budgets/divided/1/workload is none of"),
            ("/budgets/divided/1/whole", json!(41.5), "/budgets/divided/1/whole is not a whole number"),
            ("/budgets/divided/1/longestMs", json!(4999), "/budgets/divided/1/longestMs"),
            ("/budgets/divided/1/name", json!("retries"), "/budgets/divided/1/name is another budget's too"),
            ("/budgets/divided/2/what", json!("retries"), "/budgets/divided/2 limits what another"),
            ("/budgets/divided/3/whole", json!(2), "/budgets/divided/3/whole"),
        ];
        for (path, value, words) in wrong {
            let mut all = all.clone();
            let (at, key) = path.rsplit_once('/').unwrap();
            let place = all.pointer_mut(at).unwrap();
            match key.parse::<usize>() {
                Ok(n) => place[n] = value.clone(),
                Err(_) => place[key] = value.clone(),
            }
            let said = format!("{:#}", budgets(&all).err().unwrap_or_else(|| panic!("{path} {value}")));
            assert!(said.contains(words) && !said.contains('\n'), "{path} {value}: {said}");
        }
        for key in ["fleet", "management"] {
            let mut all = all.clone();
            all.as_object_mut().unwrap().remove(key);
            let said = format!("{:#}", budgets(&all).unwrap_err());
            assert!(said.contains(&format!("/{key}")), "{said}");
        }
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
