//! Scripts: what is started, what is done to it and when, and what must hold. Read and checked whole before anything starts.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use anyhow::{Context, Result, anyhow, bail};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use toml::Spanned;

/// Processes that a script may have.
const MOST: usize = 64;
const LONGEST: f64 = 7200.0;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Read {
    #[serde(default = "one")]
    seed: u64,
    seconds: Spanned<f64>,
    #[serde(default = "period")]
    period_ms: Spanned<f64>,
    #[serde(default = "hold")]
    hold_ms: Spanned<f64>,
    processes: Processes,
    load: Option<Load>,
    budgets: Option<Spanned<Budgets>>,
    #[serde(default)]
    link: Link,
    #[serde(default)]
    fault: Vec<RawFault>,
    random: Option<Random>,
    #[serde(default)]
    check: Vec<RawCheck>,
}

fn one() -> u64 {
    1
}

fn period() -> Spanned<f64> {
    Spanned::new(0..0, 200.0)
}

fn hold() -> Spanned<f64> {
    Spanned::new(0..0, 10_000.0)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Processes {
    count: Spanned<usize>,
    later: Option<Spanned<Vec<String>>>,
    #[serde(default = "zones")]
    zones: Spanned<Vec<String>>,
    #[serde(default = "workers")]
    workers: Spanned<usize>,
    #[serde(default = "work")]
    work_ms: u64,
    /// Tasks at once at each worker; 0 is any number.
    #[serde(default)]
    slots: usize,
    /// Each worker turns away every task of this number; 0 is none.
    #[serde(default)]
    turned_away: usize,
    /// The longest that clients wait, of both workloads, where it is not as usual.
    expiry_ms: Option<u64>,
    /// Parts of the view that are off in all of them, in a build that can be broken.
    #[serde(default)]
    broken: String,
}

fn zones() -> Spanned<Vec<String>> {
    Spanned::new(0..0, vec!["north".into(), "south".into()])
}

fn workers() -> Spanned<usize> {
    Spanned::new(0..0, 2)
}

fn work() -> u64 {
    10
}

/// Tasks a second to each dispatcher.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub rate: f64,
    #[serde(default = "budget")]
    pub budget_ms: u64,
    /// Parts of the tasks that are searches, bids and orders.
    #[serde(default = "parts")]
    pub parts: Vec<f64>,
    /// Clients come through one front that knows, a little late, who serves; else each dispatcher has clients of its own.
    #[serde(default)]
    pub front: bool,
    /// How often a client asks again after a bounce.
    #[serde(default = "again")]
    pub retries: u32,
    /// Other rates from some moment on: the moment, and a rate for each dispatcher.
    #[serde(default)]
    pub shifts: Vec<Shift>,
}

/// Rates of dispatchers, in their order, from a moment on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    pub at: f64,
    pub rates: Vec<f64>,
}

fn parts() -> Vec<f64> {
    vec![4.0, 1.0]
}

fn again() -> u32 {
    2
}

/// What dispatchers are told of budgets.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    #[serde(default = "grant")]
    pub grant_ms: f64,
    #[serde(default = "lease")]
    pub lease_ms: f64,
    #[serde(default = "drift")]
    pub drift_ppm: u32,
    /// So many of the first dispatchers are the voters.
    #[serde(default = "voters")]
    pub voters: usize,
    /// Dispatchers that are told another roster, of themselves and the voters.
    #[serde(default)]
    pub odd: Vec<String>,
    pub divided: Vec<Divided>,
}

fn grant() -> f64 {
    1000.0
}

fn lease() -> f64 {
    500.0
}

fn drift() -> u32 {
    10_000
}

fn voters() -> usize {
    3
}

/// What a budget limits.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Retries,
    Assignments,
    Tasks,
    Warming,
}

/// One budget.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Divided {
    pub name: String,
    pub what: What,
    pub workload: Option<String>,
    #[serde(default = "whole")]
    pub whole: f64,
    pub reserve: f64,
    pub burst: Option<f64>,
    pub longest_ms: Option<f64>,
}

fn whole() -> f64 {
    1.0
}

impl Budgets {
    /// Seconds after a change of a whole at the last process until nothing goes by the one before.
    pub fn settles(&self, divided: &Divided) -> f64 {
        let longest = divided.longest_ms.unwrap_or(0.0);
        (2.0 * self.lease_ms + 2.0 * self.grant_ms + longest) / 1000.0 * 1.05 + 1.0
    }
}

fn budget() -> u64 {
    4000
}

/// One way between two processes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    #[serde(default)]
    pub loss: f64,
    #[serde(default)]
    pub delay_ms: f64,
    #[serde(default)]
    pub spread_ms: f64,
    #[serde(default)]
    pub twice: f64,
    #[serde(default)]
    pub corrupt: f64,
    #[serde(default)]
    pub cut: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFault {
    at: Spanned<f64>,
    kind: Spanned<String>,
    on: Option<Spanned<Vec<String>>>,
    from: Option<Spanned<Vec<String>>>,
    to: Option<Spanned<Vec<String>>>,
    sides: Option<Spanned<Vec<Vec<String>>>>,
    workers: Option<Spanned<Vec<String>>>,
    count: Option<usize>,
    loss: Option<f64>,
    delay_ms: Option<f64>,
    spread_ms: Option<f64>,
    twice: Option<f64>,
    corrupt: Option<f64>,
    cut: Option<bool>,
    /// Of a reload: the budget, and its new whole.
    budget: Option<String>,
    whole: Option<f64>,
}

/// What is done, to processes by their number.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    Start(Vec<usize>),
    Kill(Vec<usize>),
    Terminate(Vec<usize>),
    Stop(Vec<usize>),
    Continue(Vec<usize>),
    /// Killed, and started again under its name at once.
    Restart(Vec<usize>),
    /// A second process beside it, then SIGTERM to the first.
    Upgrade(Vec<usize>),
    Link {
        from: Vec<usize>,
        to: Vec<usize>,
        link: Link,
    },
    /// Sides that reach only themselves.
    Split(Vec<Vec<usize>>),
    Heal,
    /// So many datagrams that are none.
    Garbage(Vec<usize>, usize),
    /// So often stopped for longer than a grant, and let go for a moment.
    Tremble(Vec<usize>, usize),
    /// Another whole of a budget, at SIGHUP.
    Reload(Vec<usize>, String, f64),
    /// Stand-in workers die with what they run.
    Lose(Vec<usize>),
    /// A new process at each of these workers, cold.
    Serve(Vec<usize>),
    /// The list says that these take nothing new.
    Drain(Vec<usize>),
    /// The list falls silent, or speaks again.
    List(bool),
}

impl Act {
    /// As tables and charts name it.
    pub fn text(&self) -> String {
        let names = |of: &[usize]| of.iter().map(|n| name(*n)).collect::<Vec<_>>().join(" ");
        match self {
            Act::Start(on) => format!("start {}", names(on)),
            Act::Kill(on) => format!("kill {}", names(on)),
            Act::Terminate(on) => format!("terminate {}", names(on)),
            Act::Stop(on) => format!("stop {}", names(on)),
            Act::Continue(on) => format!("continue {}", names(on)),
            Act::Restart(on) => format!("restart {}", names(on)),
            Act::Upgrade(on) => format!("upgrade {}", names(on)),
            Act::Link { from, to, link } if link.cut => format!("cut {} to {}", names(from), names(to)),
            Act::Link { from, to, .. } => format!("link {} to {}", names(from), names(to)),
            Act::Split(sides) => {
                format!("split {}", sides.iter().map(|s| names(s)).collect::<Vec<_>>().join(" | "))
            }
            Act::Heal => "heal".to_owned(),
            Act::Garbage(on, count) => format!("garbage {count} to {}", names(on)),
            Act::Tremble(on, count) => format!("tremble {count} times {}", names(on)),
            Act::Reload(on, budget, whole) => format!("reload {budget} {whole} {}", names(on)),
            Act::Lose(of) => format!("lose {}", workers_called(of)),
            Act::Serve(of) => format!("serve {}", workers_called(of)),
            Act::Drain(of) => format!("drain {}", workers_called(of)),
            Act::List(on) => if *on { "list back" } else { "list out" }.to_owned(),
        }
    }
}

fn workers_called(of: &[usize]) -> String {
    of.iter().map(|n| worker(*n)).collect::<Vec<_>>().join(" ")
}

/// The stand-in worker of that number.
pub fn worker(nth: usize) -> String {
    format!("w{nth}")
}

/// The dispatcher of that number.
pub fn name(nth: usize) -> String {
    format!("d{nth}")
}

/// Faults by chance: their kinds, the mean seconds between two, and from when to when.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Random {
    kinds: Spanned<Vec<String>>,
    every: Spanned<f64>,
    from: f64,
    to: f64,
    /// Each is undone after up to so many seconds.
    lasts: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCheck {
    kind: Spanned<String>,
    who: Option<Spanned<Vec<String>>>,
    whom: Option<Spanned<Vec<String>>>,
    state: Option<Spanned<String>>,
    from: Option<Spanned<f64>>,
    by: Option<Spanned<f64>>,
    part: Option<Spanned<f64>>,
    budget: Option<Spanned<String>>,
}

/// What must hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// All that run hold just one another for alive, at some moment between the two.
    Agree { from: f64, by: f64 },
    /// These have those in a state, at some moment between the two.
    Sees { who: Vec<usize>, whom: Vec<usize>, state: String, from: f64, by: f64 },
    /// None of these has any of those in a state, at any moment between the two.
    Never { who: Vec<usize>, whom: Vec<usize>, state: String, from: f64, by: f64 },
    /// Such a part of all tasks was finished.
    Finished { part: f64 },
    /// Such a part of a budget's whole was used on the mean between the two.
    Used { budget: String, part: f64, from: f64, by: f64 },
    /// No more than such a part was.
    Unused { budget: String, part: f64, from: f64, by: f64 },
}

/// A script that can be played.
#[derive(Clone, Debug, Serialize)]
pub struct Script {
    pub name: String,
    pub seed: u64,
    pub seconds: f64,
    pub period_ms: f64,
    /// As `fleet.holdMs`.
    pub hold_ms: f64,
    pub count: usize,
    pub later: Vec<usize>,
    pub zones: Vec<String>,
    pub workers: usize,
    pub work_ms: u64,
    pub slots: usize,
    pub turned_away: usize,
    pub expiry_ms: Option<u64>,
    pub broken: String,
    pub load: Option<Load>,
    pub budgets: Option<Budgets>,
    pub link: Link,
    pub faults: Vec<(f64, Act)>,
    pub checks: Vec<Check>,
    /// Whether dispatchers are told of their fleet and its budgets at all.
    pub shared: bool,
}

/// What of a trial is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Arm {
    /// As the script says.
    Whole,
    /// Without its faults.
    Calm,
    /// With its faults, and without view and budgets.
    Apart,
}

/// States that a view can say, and that it says nothing of somebody.
const STATES: [&str; 6] = ["alive", "suspect", "gone", "left", "absent", "not-alive"];

/// Where in a file something stands.
struct Place<'a> {
    file: String,
    text: &'a str,
}

impl Place<'_> {
    fn error(&self, at: std::ops::Range<usize>, words: &str) -> anyhow::Error {
        let line = self.text[..at.start.min(self.text.len())].matches('\n').count() + 1;
        anyhow!("{}, line {line}: {}", self.file, words.lines().collect::<Vec<_>>().join(" "))
    }
}

impl Script {
    /// Reads a script; a seed given replaces its own.
    ///
    /// # Errors
    /// One line with file, line and key.
    pub fn read(path: &Path, seed: Option<u64>) -> Result<Script> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).with_context(|| format!("cannot read {file}"))?;
        let name = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        Script::of(&text, &file, &name, seed)
    }

    /// A script by its text.
    ///
    /// # Errors
    /// As `read`.
    pub fn of(text: &str, file: &str, called: &str, seed: Option<u64>) -> Result<Script> {
        let place = Place { file: file.to_owned(), text };
        let read: Read =
            toml::from_str(text).map_err(|e| place.error(e.span().unwrap_or(0..0), e.message()))?;
        let fails = |at: std::ops::Range<usize>, words: String| Err::<(), _>(place.error(at, &words));
        let (count, seconds) = (*read.processes.count.get_ref(), *read.seconds.get_ref());
        if !(1..=MOST).contains(&count) {
            fails(read.processes.count.span(), format!("processes.count is not from 1 to {MOST}"))?;
        }
        if !(seconds > 0.0 && seconds <= LONGEST) {
            fails(read.seconds.span(), format!("seconds is not over 0 and up to {LONGEST}"))?;
        }
        if !(20.0..=60_000.0).contains(read.period_ms.get_ref()) {
            fails(read.period_ms.span(), "period_ms is not from 20 to 60000".into())?;
        }
        if !(0.0..=600_000.0).contains(read.hold_ms.get_ref()) {
            fails(read.hold_ms.span(), "hold_ms is not from 0 to 600000".into())?;
        }
        if !(1..=64).contains(read.processes.workers.get_ref()) {
            fails(read.processes.workers.span(), "processes.workers is not from 1 to 64".into())?;
        }
        if read.processes.zones.get_ref().is_empty() {
            fails(read.processes.zones.span(), "processes.zones is empty".into())?;
        }
        let numbers: BTreeMap<String, usize> = (0..count).map(|n| (name(n), n)).collect();
        let those = |key: &str, names: &Spanned<Vec<String>>| -> Result<Vec<usize>> {
            let number = |n: &String| {
                let found = numbers.get(n).copied();
                found.ok_or_else(|| place.error(names.span(), &format!("{key}: no process is called {n}")))
            };
            names.get_ref().iter().map(number).collect()
        };
        let time = |key: &str, at: &Spanned<f64>| -> Result<f64> {
            if (0.0..=seconds).contains(at.get_ref()) {
                return Ok(*at.get_ref());
            }
            bail!(
                place.error(at.span(), &format!("{key} is {}, and the run ends at {seconds}", at.get_ref()))
            )
        };
        part(&read.link, "link").map_err(|e| place.error(0..0, &e))?;
        if let Some(budgets) = &read.budgets {
            let told = budgets.get_ref();
            those("budgets.odd", &Spanned::new(budgets.span(), told.odd.clone()))?;
            if !(1..=count).contains(&told.voters) {
                fails(budgets.span(), format!("budgets.voters is not from 1 to {count}"))?;
            }
            let rate = |d: &&Divided| matches!(d.what, What::Retries | What::Assignments);
            if let Some(lacking) = told.divided.iter().filter(rate).find(|d| d.burst.is_none()) {
                fails(budgets.span(), format!("budgets.divided {} lacks the key burst", lacking.name))?;
            }
            let tasks = |d: &&Divided| d.what == What::Tasks;
            if let Some(lacking) = told.divided.iter().filter(tasks).find(|d| d.longest_ms.is_none()) {
                fails(budgets.span(), format!("budgets.divided {} lacks the key longest_ms", lacking.name))?;
            }
        }
        let divided: Vec<String> =
            read.budgets.iter().flat_map(|b| b.get_ref().divided.iter().map(|d| d.name.clone())).collect();
        let mut faults = Vec::new();
        let workers: Vec<String> = (0..*read.processes.workers.get_ref()).map(worker).collect();
        for raw in &read.fault {
            let act = act(raw, &place, &those, &read.link, (&divided, &workers))?;
            faults.push((time("fault.at", &raw.at)?, act));
        }
        let seed = seed.unwrap_or(read.seed);
        if let Some(random) = &read.random {
            time("random.every", &random.every)?;
            for kind in random.kinds.get_ref() {
                if !RANDOM.contains(&kind.as_str()) {
                    fails(
                        random.kinds.span(),
                        format!("random.kinds: {kind} is none of {}", RANDOM.join(", ")),
                    )?;
                }
            }
            if random.kinds.get_ref().is_empty()
                || *random.every.get_ref() <= 0.0
                || random.to + random.lasts > seconds
            {
                fails(
                    random.kinds.span(),
                    "random: no kinds, no time between two, or a fault after the end".into(),
                )?;
            }
            faults.extend(by_chance(random, count, workers.len(), seed));
        }
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut checks = Vec::new();
        for raw in &read.check {
            checks.push(check(raw, &place, &those, &time, (seconds, count, &divided))?);
        }
        if let Some(load) = &read.load
            && load
                .shifts
                .iter()
                .any(|s| s.rates.len() != count || s.rates.iter().any(|r| !(0.0..=10_000.0).contains(r)))
        {
            fails(0..0, format!("load.shifts.rates are not {count} from 0 to 10000"))?;
        }
        if let Some(load) = &read.load
            && !(load.rate > 0.0 && load.rate <= 10_000.0 && load.budget_ms > 0)
        {
            fails(0..0, "load.rate is not over 0 and up to 10000, or load.budget_ms is 0".into())?;
        }
        if let Some(load) = &read.load {
            let sound =
                load.parts.iter().all(|p| (0.0..=1e6).contains(p)) && load.parts.iter().sum::<f64>() > 0.0;
            if !(2..=3).contains(&load.parts.len()) || !sound {
                fails(0..0, "load.parts are not two or three parts from 0, one of them over it".into())?;
            }
            if load.front && !load.shifts.is_empty() {
                fails(0..0, "load.front and load.shifts do not go together".into())?;
            }
        }
        Ok(Script {
            name: called.to_owned(),
            seed,
            seconds,
            period_ms: *read.period_ms.get_ref(),
            hold_ms: *read.hold_ms.get_ref(),
            count,
            later: read.processes.later.as_ref().map_or(Ok(Vec::new()), |l| those("processes.later", l))?,
            zones: read.processes.zones.into_inner(),
            workers: read.processes.workers.into_inner(),
            work_ms: read.processes.work_ms,
            slots: read.processes.slots,
            turned_away: read.processes.turned_away,
            expiry_ms: read.processes.expiry_ms,
            budgets: read.budgets.map(Spanned::into_inner),
            broken: read.processes.broken,
            load: read.load,
            link: read.link,
            faults,
            checks,
            shared: true,
        })
    }

    /// The script as it is played, each fault with its moment: read again it is the same.
    pub fn text(&self) -> String {
        let called = |of: &[usize]| json!(of.iter().map(|n| name(*n)).collect::<Vec<_>>());
        let workers = |of: &[usize]| json!(of.iter().map(|n| worker(*n)).collect::<Vec<_>>());
        let fault = |(at, act): &(f64, Act)| {
            let (kind, more) = match act {
                Act::Start(on) => ("start", json!({"on": called(on)})),
                Act::Kill(on) => ("kill", json!({"on": called(on)})),
                Act::Terminate(on) => ("terminate", json!({"on": called(on)})),
                Act::Stop(on) => ("stop", json!({"on": called(on)})),
                Act::Continue(on) => ("continue", json!({"on": called(on)})),
                Act::Restart(on) => ("restart", json!({"on": called(on)})),
                Act::Upgrade(on) => ("upgrade", json!({"on": called(on)})),
                Act::Garbage(on, count) => ("garbage", json!({"on": called(on), "count": count})),
                Act::Tremble(on, count) => ("tremble", json!({"on": called(on), "count": count})),
                Act::Reload(on, budget, whole) => {
                    ("reload", json!({"on": called(on), "budget": budget, "whole": whole}))
                }
                Act::Link { from, to, link } => {
                    let mut all = json!(link);
                    (all["from"], all["to"]) = (called(from), called(to));
                    ("link", all)
                }
                Act::Split(sides) => {
                    ("split", json!({"sides": sides.iter().map(|s| called(s)).collect::<Vec<_>>()}))
                }
                Act::Heal => ("heal", json!({})),
                Act::Lose(of) => ("lose", json!({"workers": workers(of)})),
                Act::Serve(of) => ("serve", json!({"workers": workers(of)})),
                Act::Drain(of) => ("drain", json!({"workers": workers(of)})),
                Act::List(on) => (if *on { "list-back" } else { "list-out" }, json!({})),
            };
            with(more, json!({"at": at, "kind": kind}))
        };
        let check = |check: &Check| match check {
            Check::Agree { from, by } => json!({"kind": "agree", "from": from, "by": by}),
            Check::Sees { who, whom, state, from, by } => json!({"kind": "sees", "who": called(who),
                "whom": called(whom), "state": state, "from": from, "by": by}),
            Check::Never { who, whom, state, from, by } => json!({"kind": "never", "who": called(who),
                "whom": called(whom), "state": state, "from": from, "by": by}),
            Check::Finished { part } => json!({"kind": "finished", "part": part}),
            Check::Used { budget, part, from, by } => {
                json!({"kind": "used", "budget": budget, "part": part, "from": from, "by": by})
            }
            Check::Unused { budget, part, from, by } => {
                json!({"kind": "unused", "budget": budget, "part": part, "from": from, "by": by})
            }
        };
        let mut all = json!({"seed": self.seed, "seconds": self.seconds, "period_ms": self.period_ms,
            "hold_ms": self.hold_ms, "link": self.link,
            "processes": {"count": self.count, "later": called(&self.later), "zones": self.zones,
                "workers": self.workers, "work_ms": self.work_ms, "slots": self.slots,
                "turned_away": self.turned_away, "broken": self.broken}});
        if let Some(expiry) = self.expiry_ms {
            all["processes"]["expiry_ms"] = json!(expiry);
        }
        if let Some(load) = &self.load {
            all["load"] = json!(load);
        }
        if let Some(budgets) = &self.budgets {
            all["budgets"] = json!(budgets);
        }
        all["fault"] = self.faults.iter().map(fault).collect();
        all["check"] = self.checks.iter().map(check).collect();
        // TOML knows no null.
        toml::to_string(&bare(all)).unwrap_or_else(|error| format!("# cannot be written: {error}\n"))
    }

    /// What of it an arm plays.
    pub fn arm(self, arm: Arm) -> Script {
        match arm {
            Arm::Whole => self,
            Arm::Calm => Script { faults: Vec::new(), checks: Vec::new(), ..self },
            Arm::Apart => Script { checks: Vec::new(), shared: false, ..self },
        }
    }
}

/// Two objects in one.
fn with(mut more: Value, mut first: Value) -> Value {
    if let (Some(more), Some(first)) = (more.as_object_mut(), first.as_object_mut()) {
        first.append(more);
    }
    first
}

/// Without what is null.
fn bare(all: Value) -> Value {
    match all {
        Value::Object(of) => {
            Value::Object(of.into_iter().filter(|(_, v)| !v.is_null()).map(|(k, v)| (k, bare(v))).collect())
        }
        Value::Array(of) => Value::Array(of.into_iter().map(bare).collect()),
        one => one,
    }
}

/// Parts of datagrams are parts, and times are no less than nothing.
fn part(link: &Link, key: &str) -> std::result::Result<(), String> {
    for (name, value) in [("loss", link.loss), ("twice", link.twice), ("corrupt", link.corrupt)] {
        if !(0.0..=1.0).contains(&value) {
            return Err(format!("{key}.{name} is not from 0 to 1"));
        }
    }
    for (name, value) in [("delay_ms", link.delay_ms), ("spread_ms", link.spread_ms)] {
        if !(0.0..=600_000.0).contains(&value) {
            return Err(format!("{key}.{name} is not from 0 to 600000"));
        }
    }
    Ok(())
}

type Those<'a> = &'a dyn Fn(&str, &Spanned<Vec<String>>) -> Result<Vec<usize>>;

fn act(
    raw: &RawFault,
    place: &Place,
    those: Those,
    base: &Link,
    (divided, workers): (&[String], &[String]),
) -> Result<Act> {
    let kind = raw.kind.get_ref().as_str();
    let lacks = |key: &str| place.error(raw.kind.span(), &format!("fault {kind} lacks the key {key}"));
    let on = || those("fault.on", raw.on.as_ref().ok_or_else(|| lacks("on"))?);
    let odd = |key: &str, set: bool, kinds: &[&str]| {
        let wrong = set && !kinds.contains(&kind);
        if wrong {
            Err(place.error(raw.kind.span(), &format!("fault {kind} has no key {key}")))
        } else {
            Ok(())
        }
    };
    odd(
        "on",
        raw.on.is_some(),
        &[
            "start",
            "kill",
            "terminate",
            "stop",
            "continue",
            "restart",
            "upgrade",
            "garbage",
            "tremble",
            "reload",
        ],
    )?;
    let of_workers = || -> Result<Vec<usize>> {
        let named = raw.workers.as_ref().ok_or_else(|| lacks("workers"))?;
        let number = |n: &String| {
            let found = workers.iter().position(|w| w == n);
            found.ok_or_else(|| place.error(named.span(), &format!("fault.workers: no worker is called {n}")))
        };
        named.get_ref().iter().map(number).collect()
    };
    odd("workers", raw.workers.is_some(), &["lose", "serve", "drain"])?;
    odd("budget", raw.budget.is_some(), &["reload"])?;
    odd("whole", raw.whole.is_some(), &["reload"])?;
    odd("from", raw.from.is_some(), &["link"])?;
    odd("to", raw.to.is_some(), &["link"])?;
    odd("sides", raw.sides.is_some(), &["split"])?;
    odd("count", raw.count.is_some(), &["garbage", "tremble"])?;
    let link = Link {
        loss: raw.loss.unwrap_or(base.loss),
        delay_ms: raw.delay_ms.unwrap_or(base.delay_ms),
        spread_ms: raw.spread_ms.unwrap_or(base.spread_ms),
        twice: raw.twice.unwrap_or(base.twice),
        corrupt: raw.corrupt.unwrap_or(base.corrupt),
        cut: raw.cut.unwrap_or(base.cut),
    };
    odd("loss, delay_ms, spread_ms, twice, corrupt or cut", link != *base, &["link"])?;
    Ok(match kind {
        "start" => Act::Start(on()?),
        "kill" => Act::Kill(on()?),
        "terminate" => Act::Terminate(on()?),
        "stop" => Act::Stop(on()?),
        "continue" => Act::Continue(on()?),
        "restart" => Act::Restart(on()?),
        "upgrade" => Act::Upgrade(on()?),
        "garbage" => Act::Garbage(on()?, raw.count.unwrap_or(1000)),
        "tremble" => Act::Tremble(on()?, raw.count.unwrap_or(10)),
        "reload" => {
            let budget = raw.budget.clone().ok_or_else(|| lacks("budget"))?;
            if !divided.contains(&budget) {
                bail!(place.error(raw.kind.span(), &format!("fault.budget: no budget is called {budget}")));
            }
            Act::Reload(on()?, budget, raw.whole.ok_or_else(|| lacks("whole"))?)
        }
        "heal" => Act::Heal,
        "lose" => Act::Lose(of_workers()?),
        "serve" => Act::Serve(of_workers()?),
        "drain" => Act::Drain(of_workers()?),
        "list-out" => Act::List(false),
        "list-back" => Act::List(true),
        "link" => {
            part(&link, "fault").map_err(|e| place.error(raw.kind.span(), &e))?;
            let from = those("fault.from", raw.from.as_ref().ok_or_else(|| lacks("from"))?)?;
            let to = those("fault.to", raw.to.as_ref().ok_or_else(|| lacks("to"))?)?;
            Act::Link { from, to, link }
        }
        "split" => {
            let sides = raw.sides.as_ref().ok_or_else(|| lacks("sides"))?;
            let side = |s: &Vec<String>| those("fault.sides", &Spanned::new(sides.span(), s.clone()));
            Act::Split(sides.get_ref().iter().map(side).collect::<Result<_>>()?)
        }
        _ => bail!(place.error(raw.kind.span(), &format!("fault.kind: {kind} is no kind of fault"))),
    })
}

fn check(
    raw: &RawCheck,
    place: &Place,
    those: Those,
    time: &dyn Fn(&str, &Spanned<f64>) -> Result<f64>,
    (seconds, count, divided): (f64, usize, &[String]),
) -> Result<Check> {
    let kind = raw.kind.get_ref().as_str();
    let lacks = |key: &str| place.error(raw.kind.span(), &format!("check {kind} lacks the key {key}"));
    let from = raw.from.as_ref().map_or(Ok(0.0), |t| time("check.from", t))?;
    let by = raw.by.as_ref().map_or(Ok(seconds), |t| time("check.by", t))?;
    if by < from {
        bail!(place.error(raw.kind.span(), "check.by is before check.from"));
    }
    let all = || (0..count).collect::<Vec<_>>();
    let who = raw.who.as_ref().map_or_else(|| Ok(all()), |w| those("check.who", w))?;
    let whom = raw.whom.as_ref().map_or_else(|| Ok(all()), |w| those("check.whom", w))?;
    let state = || {
        let state = raw.state.as_ref().ok_or_else(|| lacks("state"))?;
        if !STATES.contains(&state.get_ref().as_str()) {
            bail!(place.error(state.span(), &format!("check.state is none of {}", STATES.join(", "))));
        }
        Ok(state.get_ref().clone())
    };
    let part = || {
        let part = raw.part.as_ref().ok_or_else(|| lacks("part"))?;
        if !(0.0..=1.0).contains(part.get_ref()) {
            bail!(place.error(part.span(), "check.part is not from 0 to 1"));
        }
        Ok(*part.get_ref())
    };
    let budget = || {
        let budget = raw.budget.as_ref().ok_or_else(|| lacks("budget"))?;
        if !divided.contains(budget.get_ref()) {
            bail!(
                place
                    .error(budget.span(), &format!("check.budget: no budget is called {}", budget.get_ref()))
            );
        }
        Ok(budget.get_ref().clone())
    };
    Ok(match kind {
        "agree" => Check::Agree { from, by },
        "sees" => Check::Sees { who, whom, state: state()?, from, by },
        "never" => Check::Never { who, whom, state: state()?, from, by },
        "finished" => Check::Finished { part: part()? },
        "used" => Check::Used { budget: budget()?, part: part()?, from, by },
        "unused" => Check::Unused { budget: budget()?, part: part()?, from, by },
        _ => bail!(place.error(raw.kind.span(), &format!("check.kind: {kind} is no kind of check"))),
    })
}

/// Kinds that can be drawn.
const RANDOM: [&str; 12] = [
    "kill",
    "restart",
    "terminate",
    "stop",
    "split",
    "cut",
    "slow",
    "loss",
    "upgrade",
    "lose",
    "drain",
    "list",
];

/// Draws faults, each with its undoing.
fn by_chance(random: &Random, count: usize, workers: usize, seed: u64) -> Vec<(f64, Act)> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let (mut at, mut faults) = (random.from, Vec::new());
    // One after the other on each process: what is down is not stopped, and what is stopped not killed.
    let (mut busy, mut away, mut silent) = (vec![0.0; count], vec![0.0; workers], 0.0);
    while at < random.to {
        let until = at + random.lasts * (0.3 + 0.7 * chance.random::<f64>());
        let kind = random.kinds.get_ref().choose(&mut chance).map_or("", String::as_str);
        let one = chance.random_range(0..count);
        let other = (one + chance.random_range(1..count.max(2))) % count;
        let free = busy[one] < at;
        let of = if ["lose", "drain"].contains(&kind) { chance.random_range(0..workers) } else { 0 };
        let whole = away[of] < at;
        let way = |link: Link| Act::Link { from: vec![one], to: vec![other], link };
        let pair = match kind {
            "kill" if free => Some((Act::Kill(vec![one]), Some(Act::Start(vec![one])))),
            "terminate" if free => Some((Act::Terminate(vec![one]), Some(Act::Start(vec![one])))),
            "stop" if free => Some((Act::Stop(vec![one]), Some(Act::Continue(vec![one])))),
            "restart" if free => Some((Act::Restart(vec![one]), None)),
            "upgrade" if free => Some((Act::Upgrade(vec![one]), None)),
            "lose" if whole => Some((Act::Lose(vec![of]), Some(Act::Serve(vec![of])))),
            "drain" if whole => Some((Act::Drain(vec![of]), Some(Act::Serve(vec![of])))),
            "list" if silent < at => Some((Act::List(false), Some(Act::List(true)))),
            "split" => {
                let (a, b) = (0..count).partition(|_| chance.random::<bool>());
                Some((Act::Split(vec![a, b]), Some(Act::Heal)))
            }
            "cut" => Some((way(Link { cut: true, ..Link::default() }), Some(Act::Heal))),
            "slow" => {
                Some((way(Link { delay_ms: 400.0, spread_ms: 400.0, ..Link::default() }), Some(Act::Heal)))
            }
            "loss" => {
                let (all, link) = ((0..count).collect::<Vec<_>>(), Link { loss: 0.2, ..Link::default() });
                Some((Act::Link { from: all.clone(), to: all, link }, Some(Act::Heal)))
            }
            _ => None,
        };
        if let Some((does, undoes)) = pair {
            match does {
                Act::Split(_) | Act::Link { .. } => {}
                // It is warm again before the next one.
                Act::Lose(_) | Act::Drain(_) => away[of] = until + 10.0,
                Act::List(_) => silent = until + 5.0,
                // A process that was terminated has some seconds to end.
                _ => busy[one] = until + 6.0,
            }
            faults.push((at, does));
            faults.extend(undoes.map(|act| (until, act)));
        }
        at -= (1.0 - chance.random::<f64>()).ln() * random.every.get_ref();
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str = "seconds = 10.0\n[processes]\ncount = 3\n";

    fn said(rest: &str) -> String {
        match Script::of(&format!("{HEAD}{rest}"), "s.toml", "s", None) {
            Ok(_) => String::new(),
            Err(error) => format!("{error:#}"),
        }
    }

    #[test]
    fn a_wrong_script_is_told_by_file_line_and_key() {
        let cases = [
            ("colour = 1\n", "line 4: unknown field `colour`"),
            (
                "[[fault]]\nat = 1.0\nkind = \"kill\"\non = [\"d7\"]\n",
                "line 7: fault.on: no process is called d7",
            ),
            ("[[fault]]\nat = 11.0\nkind = \"heal\"\n", "line 5: fault.at is 11, and the run ends at 10"),
            ("[[fault]]\nat = 1.0\nkind = \"melt\"\n", "line 6: fault.kind: melt is no kind of fault"),
            ("[[fault]]\nat = 1.0\nkind = \"kill\"\n", "line 6: fault kill lacks the key on"),
            ("[[fault]]\nat = 1.0\nkind = \"heal\"\nloss = 0.5\n", "line 6: fault heal has no key loss"),
            (
                "[[fault]]\nat = 1.0\nkind = \"link\"\nfrom = [\"d0\"]\nto = [\"d1\"]\nloss = 2.0\n",
                "fault.loss is not",
            ),
            ("[[check]]\nkind = \"sees\"\nstate = \"tired\"\n", "line 6: check.state is none of alive"),
            ("[[check]]\nkind = \"agree\"\nfrom = 5.0\nby = 3.0\n", "line 5: check.by is before check.from"),
            ("[[check]]\nkind = \"finished\"\n", "line 5: check finished lacks the key part"),
            ("[[check]]\nkind = \"used\"\npart = 0.5\n", "line 5: check used lacks the key budget"),
            (
                "[[check]]\nkind = \"used\"\nbudget = \"b\"\npart = 0.5\n",
                "line 6: check.budget: no budget is called b",
            ),
            ("[budgets]\nvoters = 9\ndivided = []\n", "budgets.voters is not from 1 to 3"),
            ("[[fault]]\nat = 1.0\nkind = \"drain\"\n", "line 6: fault drain lacks the key workers"),
            (
                "[[fault]]\nat = 1.0\nkind = \"lose\"\nworkers = [\"w9\"]\n",
                "line 7: fault.workers: no worker is called w9",
            ),
            (
                "[[fault]]\nat = 1.0\nkind = \"heal\"\nworkers = [\"w0\"]\n",
                "line 6: fault heal has no key workers",
            ),
            ("[load]\nrate = 1.0\nparts = [1.0]\n", "load.parts are not two or three parts"),
            ("[load]\nrate = 1.0\nparts = [0.0, 0.0]\n", "load.parts are not two or three parts"),
            (
                "[[budgets.divided]]\nname = \"b\"\nwhat = \"retries\"\nreserve = 1\n",
                "budgets.divided b lacks the key burst",
            ),
            ("[load]\nrate = 1.0\n[[load.shifts]]\nat = 1.0\nrates = [1.0]\n", "load.shifts.rates are not 3"),
            (
                "[random]\nkinds = [\"melt\"]\nevery = 1.0\nfrom = 0.0\nto = 5.0\nlasts = 1.0\n",
                "line 5: random.kinds: melt",
            ),
        ];
        for (rest, words) in cases {
            let line = said(rest);
            assert!(
                line.starts_with("s.toml, line ") && line.contains(words) && !line.contains('\n'),
                "{line}"
            );
        }
        assert!(said("").is_empty());
        let held = Script::of("seconds = 1.0\nhold_ms = -1.0\n[processes]\ncount = 1\n", "s.toml", "s", None);
        assert!(format!("{:#}", held.unwrap_err()).contains("line 2: hold_ms is not from 0"));
        let many = Script::of("seconds = 1.0\n[processes]\ncount = 65\n", "s.toml", "s", None);
        assert!(format!("{:#}", many.unwrap_err()).contains("line 3: processes.count is not from 1 to 64"));
    }

    #[test]
    fn a_seed_is_one_timeline_and_what_is_done_is_undone() {
        let text = "seconds = 100.0\n[processes]\ncount = 8\n[random]\nkinds = [\"kill\", \"split\", \"stop\"]\n\
                    every = 2.0\nfrom = 5.0\nto = 80.0\nlasts = 4.0\n";
        let made = |seed| Script::of(text, "s.toml", "s", Some(seed)).unwrap().faults;
        assert_eq!(made(3), made(3));
        assert_ne!(made(3), made(4));
        let faults = made(3);
        let count = |f: fn(&Act) -> bool| faults.iter().filter(|(_, a)| f(a)).count();
        assert_eq!(count(|a| matches!(a, Act::Kill(_))), count(|a| matches!(a, Act::Start(_))));
        assert_eq!(count(|a| matches!(a, Act::Split(_))), count(|a| matches!(a, Act::Heal)));
        assert!(faults.len() > 30 && faults.is_sorted_by(|a, b| a.0 <= b.0));
    }
}
