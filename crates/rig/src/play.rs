//! Plays a script: starts stand-ins, relays and processes, does to them what the timeline says, and writes down what is seen.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use anyhow::{Context, Result};
use nix::sys::signal::Signal;
use rainlug_load::plan::{Arrivals, Plan, SECOND, Workload};
use rainlug_load::record::{self, End, Ended};
use rainlug_load::stub::{Run, Stub, Working};
use rainlug_load::{driver, schedule};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};

use crate::check::{Record, Round};
use crate::observe::Observer;
use crate::process::Process;
use crate::relay::Relays;
use crate::rules::{self, DRAIN_GRACE, FALL, OVERLOAD, WINDOW, WORKLOADS};
use crate::script::{Act, Link, Load, Script, What, name};
use crate::spent;

/// How often processes are asked for their view: part of a period, but no oftener than this.
const ASKED: f64 = 0.5;
const OFTENEST: Duration = Duration::from_millis(50);
/// Workers that have just started do this part of their work, and all of it after so many seconds.
const COLD_FROM: f64 = 0.3;
const WARM_WITHIN: f64 = 9.0;
/// The front notices so much later that a dispatcher has died; of one that is told to end it knows at once.
const NOTICED: Duration = Duration::from_secs(1);
/// An upgrade's new process serves within this time.
const UPGRADED: Duration = Duration::from_secs(20);

/// A place for a process: it has an address for the fleet and a relay in front of it for good.
struct Slot {
    listen: SocketAddr,
    process: Mutex<Option<Process>>,
    management: Cell<Option<SocketAddr>>,
}

struct Stage {
    script: Script,
    program: PathBuf,
    folder: PathBuf,
    fronts: Vec<SocketAddr>,
    slots: Vec<Slot>,
    /// The slot in which each dispatcher runs, or ran last.
    active: Vec<Cell<usize>>,
    clients: Vec<Cell<Option<SocketAddr>>>,
    /// Dispatchers that run, and a count of changes: while a change is under way it is odd.
    running: RefCell<BTreeSet<usize>>,
    changes: Cell<u64>,
    under_way: Cell<u32>,
    relays: Rc<Relays>,
    stub: Stub,
    /// Where clients' tasks may go, for the front.
    takes: Taking,
    chance: RefCell<ChaCha8Rng>,
    /// Wholes as they were changed for each dispatcher; and when, to what.
    wholes: RefCell<BTreeMap<(usize, String), f64>>,
    changed: RefCell<Vec<(f64, String, f64)>>,
    record: RefCell<Record>,
    began: Cell<Instant>,
}

/// Plays a script with the program, and keeps configurations and logs in the folder.
///
/// # Errors
/// Where something cannot be started.
pub fn play(script: &Script, program: &Path, folder: &Path) -> Result<Record> {
    fs::create_dir_all(folder).with_context(|| format!("cannot make {}", folder.display()))?;
    let folder = fs::canonicalize(folder).with_context(|| format!("cannot use {}", folder.display()))?;
    let program =
        fs::canonicalize(program).with_context(|| format!("no program at {}", program.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = async {
        let mut terminated = signal(SignalKind::terminate())?;
        tokio::select! {
            // What is dropped by these is ended with it: see `Process::start`.
            _ = tokio::signal::ctrl_c() => anyhow::bail!("interrupted"),
            _ = terminated.recv() => anyhow::bail!("told to end"),
            done = on_stage(script, program, folder) => done,
        }
    };
    LocalSet::new().block_on(&runtime, run)
}

/// Addresses of this run's own: the loopback net is large, and another rig on this machine has another part of it.
fn addresses(count: usize, port: u16) -> Vec<SocketAddr> {
    let own = std::process::id();
    let [_, _, a, b] = own.to_be_bytes();
    (0..count).map(|n| SocketAddr::from(([127, 1 + a % 250, b, 1 + n as u8], port))).collect()
}

async fn on_stage(script: &Script, program: PathBuf, folder: PathBuf) -> Result<Record> {
    let workers = vec!["127.0.0.1:0".to_owned(); script.workers];
    let working = Working {
        work: Duration::from_millis(script.work_ms),
        slots: script.slots,
        turned_away: script.turned_away,
        cold_from: COLD_FROM,
        warm_within: Duration::from_secs_f64(WARM_WITHIN),
    };
    let stub = Stub::start(&workers, "127.0.0.1:0", &working, &script.zones).await?;
    let (fronts, listen) = (addresses(2 * script.count, 7100), addresses(2 * script.count, 7000));
    let relays = Relays::start(&fronts, listen.clone(), script.count, script.link, script.seed).await?;
    let slot = |listen| Slot { listen, process: Mutex::new(None), management: Cell::new(None) };
    let stage = Rc::new(Stage {
        program,
        folder,
        fronts,
        slots: listen.into_iter().map(slot).collect(),
        active: (0..script.count).map(Cell::new).collect(),
        clients: (0..script.count).map(|_| Cell::new(None)).collect(),
        running: RefCell::default(),
        changes: Cell::new(0),
        under_way: Cell::new(0),
        relays,
        stub,
        takes: Arc::new(RwLock::new(vec![None; script.count])),
        chance: RefCell::new(ChaCha8Rng::seed_from_u64(!script.seed)),
        wholes: RefCell::default(),
        changed: RefCell::default(),
        record: RefCell::default(),
        began: Cell::new(Instant::now()),
        script: script.clone(),
    });
    let first: Vec<usize> = (0..script.count).filter(|n| !script.later.contains(n)).collect();
    stage.start(&first).await?;
    stage.began.set(Instant::now());
    {
        let mut record = stage.record.borrow_mut();
        record.done = rules::Done::default();
        record.apart = !script.shared;
    }
    info!("{} processes serve", first.len());
    let load = stage.clone().load(&first);
    let asks = spawn_local(stage.clone().ask());
    let mut pending: Vec<JoinHandle<Result<()>>> = Vec::new();
    for (at, act) in &script.faults {
        sleep_until(stage.began.get() + Duration::from_secs_f64(*at)).await;
        info!("{:.1} s: {}", stage.now(), act.text());
        stage.record.borrow_mut().events.push((stage.now(), act.text()));
        pending.extend(stage.act(act).await?);
    }
    sleep_until(stage.began.get() + Duration::from_secs_f64(script.seconds)).await;
    asks.abort();
    for one in pending {
        one.await??;
    }
    if let Some(load) = load {
        // The last tasks have their budget yet.
        while !load.is_finished() {
            sleep(OFTENEST).await;
        }
        let results = load.join().map_err(|_| anyhow::anyhow!("the load ended badly"))??;
        let mut record = stage.record.borrow_mut();
        for (nth, result, all) in results {
            record.schedule_missed |= result.schedule_missed;
            record.all.extend(all);
            let ends = record.ends.entry(nth).or_default();
            result
                .workloads
                .iter()
                .flat_map(|w| &w.ends)
                .for_each(|(e, n)| *ends.entry(*e).or_default() += n);
        }
    }
    stage.finish().await;
    let mut record = stage.record.replace(Record::default());
    let carried = stage.relays.carried();
    (record.datagrams, record.bytes, record.lost) = (carried.datagrams, carried.bytes, carried.lost);
    (record.longest, record.connections) = (carried.longest, stage.stub.connections());
    let (runs, began) = (stage.stub.runs(), stage.began.get());
    if let Some(budgets) = script.budgets.as_ref().filter(|_| script.shared) {
        record.spent = spent::count(budgets, &stage.changed.borrow(), &runs, began, script.seconds);
    }
    record.broken = rules::judge(&runs, &record.all, &record.done, &working, script.zones.len(), began);
    record.warmed = warmed(&runs, &record.done.cold, began);
    if record.schedule_missed {
        warn!("the load did not keep its schedule: this machine is too small for the run");
    }
    Ok(record)
}

impl Stage {
    fn now(&self) -> f64 {
        self.began.get().elapsed().as_secs_f64()
    }

    /// What a process in a slot is told.
    fn configuration(&self, nth: usize, slot: usize) -> String {
        let script = &self.script;
        let clients = self.clients[nth].get().map_or("127.0.0.1:0".to_owned(), |at| at.to_string());
        let known: serde_json::Value = serde_json::from_str(&self.stub.known).unwrap_or_default();
        // Told wrongly on purpose, for the checkers to be tried on: see `Script::broken`.
        let lies = |of: &str| script.broken == of;
        let warm = if lies("told-warm") { 1.0 } else { WARM_WITHIN * 1000.0 };
        let workload = |(name, kind, due, revenue): (&str, &str, u64, f64)| {
            let expiry = script.expiry_ms.unwrap_or(if name == "bid" { 20_000 } else { 5000 });
            let kind = if lies("told-repeatable") { "repeatable" } else { kind };
            json!({"name": name, "idempotency": kind, "dueTimeMs": due, "expiryMs": expiry, "revenue": revenue,
                "keyScope": "zone", "windowMs": WINDOW * 1000.0})
        };
        let mut all = json!({
            "name": name(nth), "listen": clients, "management": "127.0.0.1:0", "discovery": self.stub.list.to_string(),
            "seed": format!("{:016x}", script.seed + nth as u64), "limits": {"memory_mb": 64, "sockets": 512},
            "known": known,
            "settings": {
                "index": nth, "groupSize": script.count, "zone": nth % script.zones.len(), "zones": script.zones,
                "hostTypes": ["plain"],
                "limits": {"mostAssignments": 3, "cancel": true, "connIdleMs": 30000, "dialTimeoutMs": 200},
                "obligations": {"coldFrom": COLD_FROM, "warmWithinMs": warm, "overloadFactor": OVERLOAD,
                    "fallMs": FALL * 1000.0, "drainGraceMs": DRAIN_GRACE * 1000.0},
                "specifics": {"tellsStart": true, "progressMs": 2000},
                "workloads": WORKLOADS.map(workload)
            }
        });
        if script.shared {
            let seeds: Vec<String> =
                self.fronts[..script.count.min(3)].iter().map(|f| f.to_string()).collect();
            all["fleet"] = json!({"name": "rig", "listen": self.slots[slot].listen.to_string(),
                "advertise": self.fronts[slot].to_string(), "periodMs": script.period_ms, "seeds": seeds,
                "holdMs": script.hold_ms});
            if let Some(budgets) = self.budgets(nth) {
                all["budgets"] = budgets;
            }
        }
        all.to_string()
    }

    /// What a dispatcher is told of budgets now.
    fn budgets(&self, nth: usize) -> Option<serde_json::Value> {
        let told = self.script.budgets.as_ref()?;
        let odd = told.odd.contains(&name(nth));
        let mut roster: Vec<String> = (0..self.script.count).map(name).collect();
        let voters: Vec<String> = (0..told.voters).map(name).collect();
        roster.retain(|n| !odd || *n == name(nth) || voters.contains(n));
        let divided: Vec<serde_json::Value> = told
            .divided
            .iter()
            .map(|d| {
                let changed = self.wholes.borrow().get(&(nth, d.name.clone())).copied();
                let mut one = json!({"name": d.name, "what": d.what, "reserve": d.reserve});
                if d.what != What::Warming {
                    one["whole"] = json!(changed.unwrap_or(d.whole));
                }
                for (key, value) in [("burst", d.burst), ("longestMs", d.longest_ms)] {
                    if let Some(value) = value {
                        one[key] = json!(value);
                    }
                }
                if let Some(workload) = &d.workload {
                    one["workload"] = json!(workload);
                }
                one
            })
            .collect();
        Some(json!({"roster": roster, "voters": voters, "grantMs": told.grant_ms, "leaseMs": told.lease_ms,
            "driftPpm": told.drift_ppm, "divided": divided}))
    }

    /// Tells dispatchers another whole of a budget, each by its file and SIGHUP.
    async fn reload(&self, on: &[usize], budget: &str, whole: f64) -> Result<()> {
        for nth in on {
            self.wholes.borrow_mut().insert((*nth, budget.to_owned()), whole);
            let slot = self.active[*nth].get();
            let text = self.configuration(*nth, slot);
            if let Some(process) = self.slots[slot].process.lock().await.as_ref() {
                process.retold(&text)?;
                process.signal(Signal::SIGHUP);
            }
        }
        self.changed.borrow_mut().push((self.now(), budget.to_owned(), whole));
        Ok(())
    }

    /// Stops a process for longer than a grant and lets it go for a moment, again and again, at moments of chance.
    async fn tremble(&self, nth: usize, count: usize) {
        let grant = self.script.budgets.as_ref().map_or(0.2, |b| b.grant_ms / 1000.0);
        for _ in 0..count {
            let [stopped, runs] = {
                let mut chance = self.chance.borrow_mut();
                [grant * (1.0 + 0.3 * chance.random::<f64>()), 0.005 + 0.1 * chance.random::<f64>()]
            };
            for (signal, time) in [(Signal::SIGSTOP, stopped), (Signal::SIGCONT, runs)] {
                if let Some(process) = self.slots[self.active[nth].get()].process.lock().await.as_ref() {
                    process.signal(signal);
                }
                sleep(Duration::from_secs_f64(time)).await;
            }
        }
    }

    /// Dispatchers change between this and its end: what is asked meanwhile shows neither what was nor what is to be.
    fn begins(&self) {
        self.under_way.update(|n| n + 1);
        self.changes.update(|n| n + 1);
    }

    fn ends(&self) {
        self.under_way.update(|n| n - 1);
        self.changes.update(|n| n + 1);
    }

    /// Starts a process in each one's slot, all at once, and waits until they serve.
    async fn start(&self, which: &[usize]) -> Result<()> {
        self.begins();
        for nth in which {
            self.trouble(*nth);
            self.begin(*nth, self.active[*nth].get()).await?;
        }
        for nth in which {
            self.opened(*nth, self.active[*nth].get()).await?;
            self.running.borrow_mut().insert(*nth);
        }
        self.ends();
        Ok(())
    }

    async fn begin(&self, nth: usize, slot: usize) -> Result<()> {
        let mut place = self.slots[slot].process.lock().await;
        if let Some(before) = place.as_mut() {
            // One that was told to end may still answer what it holds.
            if !before.over() && !before.end().await {
                self.record.borrow_mut().ended_badly.push(nth);
            }
        }
        let (text, common) = (self.configuration(nth, slot), self.folder.join("common").join(name(nth)));
        let called = format!("{}-{slot}-{:.0}", name(nth), self.now() * 1000.0);
        *place =
            Some(Process::start(&self.program, &self.folder, &called, &text, &common, &self.script.broken)?);
        Ok(())
    }

    async fn opened(&self, nth: usize, slot: usize) -> Result<()> {
        let mut place = self.slots[slot].process.lock().await;
        let process = place.as_mut().context("no process")?;
        let at = process.ready().await.with_context(|| format!("{}: see its log", name(nth)))?;
        self.clients[nth].set(Some(at));
        self.takes(nth, Some(at));
        self.record.borrow_mut().done.serves(nth, self.now());
        self.slots[slot].management.set(process.management());
        Ok(())
    }

    /// The front sends a dispatcher's address tasks from now on, or none any more.
    fn takes(&self, nth: usize, at: Option<SocketAddr>) {
        if let Ok(mut takes) = self.takes.write() {
            takes[nth] = at;
        }
    }

    /// The front notices a while later that a dispatcher is away, if it still is.
    fn missed(self: &Rc<Self>, nth: usize, after: Duration) {
        let stage = self.clone();
        spawn_local(async move {
            sleep(after).await;
            if !stage.running.borrow().contains(&nth) {
                stage.takes(nth, None);
            }
        });
    }

    fn trouble(&self, nth: usize) {
        self.record.borrow_mut().done.trouble(nth, self.now());
    }

    async fn signal(self: &Rc<Self>, which: &[usize], signal: Signal) {
        for nth in which {
            self.trouble(*nth);
            let mut place = self.slots[self.active[*nth].get()].process.lock().await;
            let Some(process) = place.as_mut() else { continue };
            match signal {
                Signal::SIGKILL => process.kill().await,
                _ => process.signal(signal),
            }
            let runs = signal == Signal::SIGCONT && !process.over() && !process.stopped();
            if runs {
                self.running.borrow_mut().insert(*nth);
                self.takes(*nth, self.clients[*nth].get());
                self.record.borrow_mut().done.serves(*nth, self.now());
            } else {
                self.running.borrow_mut().remove(nth);
                self.missed(*nth, if signal == Signal::SIGTERM { Duration::ZERO } else { NOTICED });
            }
        }
    }

    /// Does one thing; what takes its time goes on beside.
    async fn act(self: &Rc<Self>, act: &Act) -> Result<Option<JoinHandle<Result<()>>>> {
        self.begins();
        let mut beside = None;
        match act {
            Act::Kill(on) => self.signal(on, Signal::SIGKILL).await,
            Act::Terminate(on) => self.signal(on, Signal::SIGTERM).await,
            Act::Stop(on) => self.signal(on, Signal::SIGSTOP).await,
            Act::Continue(on) => self.signal(on, Signal::SIGCONT).await,
            Act::Start(on) => {
                let (stage, on) = (self.clone(), on.clone());
                beside = Some(spawn_local(async move { stage.start(&on).await }));
            }
            Act::Restart(on) => {
                self.signal(on, Signal::SIGKILL).await;
                let (stage, on) = (self.clone(), on.clone());
                beside = Some(spawn_local(async move { stage.start(&on).await }));
            }
            Act::Upgrade(on) => {
                let (stage, on) = (self.clone(), on.clone());
                beside = Some(spawn_local(async move {
                    for nth in on {
                        stage.upgrade(nth).await?;
                    }
                    Ok(())
                }));
            }
            Act::Link { from, to, link } => {
                for (a, b) in
                    from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b)
                {
                    self.relays.set(a, b, Some(*link));
                }
            }
            Act::Split(sides) => {
                let side = |n: usize| sides.iter().position(|s| s.contains(&n));
                let all = 0..self.script.count;
                for (a, b) in all.clone().flat_map(|a| all.clone().map(move |b| (a, b))) {
                    if side(a) != side(b) {
                        self.relays.set(a, b, Some(Link { cut: true, ..self.script.link }));
                    }
                }
            }
            Act::Heal => self.relays.heal(),
            Act::Reload(on, budget, whole) => self.reload(on, budget, *whole).await?,
            Act::Tremble(on, count) => {
                let (stage, on, count) = (self.clone(), on.clone(), *count);
                on.iter().for_each(|nth| self.trouble(*nth));
                beside = Some(spawn_local(async move {
                    let all = on.into_iter().map(|nth| {
                        let stage = stage.clone();
                        spawn_local(async move { stage.tremble(nth, count).await })
                    });
                    for one in all.collect::<Vec<_>>() {
                        one.await?;
                    }
                    Ok(())
                }));
            }
            Act::Garbage(on, count) => self.garbage(on, *count).await?,
            Act::Lose(of) => {
                for nth in of {
                    self.stub.lose(*nth);
                    self.record.borrow_mut().done.ends(*nth, self.now());
                }
            }
            Act::Serve(of) => {
                for nth in of {
                    self.stub.serve(*nth).await?;
                    let (now, mut record) = (self.now(), self.record.borrow_mut());
                    record.done.ends(*nth, now);
                    record.done.cold.push((*nth, now));
                }
            }
            Act::Drain(of) => {
                for nth in of {
                    self.stub.drain(*nth);
                    self.record.borrow_mut().done.drains(*nth, self.now());
                }
            }
            Act::List(on) => {
                self.stub.speaks(*on);
                self.record.borrow_mut().done.list(*on, self.now());
            }
        }
        self.ends();
        Ok(beside)
    }

    /// A second process beside the one that serves; when it serves too, the first is asked to end.
    async fn upgrade(&self, nth: usize) -> Result<()> {
        let (old, count) = (self.active[nth].get(), self.script.count);
        let new = if old < count { old + count } else { old - count };
        self.begin(nth, new).await?;
        self.opened(nth, new).await?;
        let (at, observer, begun) = (self.slots[new].management.get(), Observer::new(), Instant::now());
        while let Some(at) = at
            && !observer.serves(at).await
        {
            anyhow::ensure!(begun.elapsed() < UPGRADED, "the new process of {} does not serve", name(nth));
            sleep(OFTENEST).await;
        }
        self.active[nth].set(new);
        if let Some(process) = self.slots[old].process.lock().await.as_mut()
            && !process.end().await
        {
            self.record.borrow_mut().ended_badly.push(nth);
        }
        Ok(())
    }

    /// Datagrams that are none, at the relay and past it: empty, random, as long as can be, and ones that were true once.
    async fn garbage(&self, on: &[usize], count: usize) -> Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        for nth in on {
            let slot = self.active[*nth].get();
            for n in 0..count {
                let mut bytes = {
                    let mut chance = self.chance.borrow_mut();
                    let length = [0, 15, 16, 40, 400, 1400, 1500, 60_000][chance.random_range(0..8)];
                    let mut bytes = vec![0; length];
                    chance.fill_bytes(&mut bytes);
                    bytes
                };
                if n % 3 == 0 && bytes.len() > 4 {
                    bytes[..4].copy_from_slice(b"rlf\x01");
                }
                let at = if n % 2 == 0 { self.fronts[slot] } else { self.slots[slot].listen };
                let _ = socket.send_to(&bytes, at).await;
            }
        }
        Ok(())
    }

    /// Asks all that run for their views, again and again.
    async fn ask(self: Rc<Self>) {
        let observer = Observer::new();
        let pause = Duration::from_secs_f64(self.script.period_ms / 1000.0 * ASKED).max(OFTENEST);
        loop {
            sleep(pause).await;
            let (changes, running) =
                (self.changes.get(), self.running.borrow().iter().copied().collect::<Vec<_>>());
            let at = self.now();
            let asked: Vec<_> = running
                .iter()
                .filter_map(|n| Some((*n, self.slots[self.active[*n].get()].management.get()?)))
                .map(|(n, at)| {
                    let observer = observer.clone();
                    spawn_local(async move { observer.view(n, at).await })
                })
                .collect();
            let mut samples = Vec::new();
            for one in asked {
                samples.extend(one.await.ok().flatten());
            }
            let sure = changes == self.changes.get() && self.under_way.get() == 0;
            self.record.borrow_mut().rounds.push(Round { at, running, sure, samples });
        }
    }

    /// Clients of each of those dispatchers, or of all through the front, in a thread of their own.
    #[expect(clippy::type_complexity, reason = "a handle of a thread")]
    fn load(
        self: Rc<Self>,
        on: &[usize],
    ) -> Option<std::thread::JoinHandle<Result<Vec<(usize, record::Result, Vec<Ended>)>>>> {
        let load = self.script.load.clone()?;
        let seconds = self.script.seconds;
        let plan = |nth: usize, target: SocketAddr, rate: f64| Plan {
            target,
            seed: self.script.seed.wrapping_mul(1009).wrapping_add(nth as u64),
            seconds,
            connections: if load.front { 16_384 } else { 512 },
            arrivals: Arrivals::Poisson { rate },
            workloads: workloads(&load),
        };
        let (shifts, rate) = (load.shifts.clone(), load.rate);
        // One piece after the other, each with a rate of its own.
        let scheduled = move |nth: usize, plan: &Plan| -> Result<Vec<schedule::Due>> {
            if shifts.is_empty() {
                return schedule::of(plan);
            }
            let mut rates = vec![(0.0, rate)];
            rates.extend(shifts.iter().map(|s| (s.at, s.rates[nth])));
            let mut all = Vec::new();
            for (piece, (from, rate)) in rates.iter().enumerate().filter(|(_, r)| r.1 > 0.0) {
                let to = rates.get(piece + 1).map_or(seconds, |r| r.0);
                let seed = plan.seed.wrapping_add(piece as u64 * 7919);
                let arrivals = Arrivals::Poisson { rate: *rate };
                let part = schedule::of(&Plan { seed, seconds: to - from, arrivals, ..plan.clone() })?;
                all.extend(part.into_iter().map(|(due, w)| (due + (from * SECOND as f64) as u64, w)));
            }
            Ok(all)
        };
        let plans: Vec<(usize, Plan)> = if load.front {
            let rate = load.rate * self.script.count as f64;
            self.clients.iter().find_map(|c| c.get()).map(|at| (0, plan(0, at, rate))).into_iter().collect()
        } else {
            on.iter().filter_map(|n| Some((*n, plan(*n, self.clients[*n].get()?, load.rate)))).collect()
        };
        let front = load.front.then(|| self.takes.clone());
        Some(std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            LocalSet::new().block_on(&runtime, async {
                let mut runs = Vec::new();
                for (nth, plan) in plans {
                    let (schedule, front) = (scheduled(nth, &plan)?, front.clone());
                    runs.push(spawn_local(async move {
                        let mut seen = match front {
                            Some(takes) => {
                                driver::through(&plan, schedule, Rc::new(move |n| any(&takes, n))).await
                            }
                            None => driver::run(&plan, schedule).await,
                        };
                        let all = seen.all.take().unwrap_or_default();
                        (nth, seen.result(&plan), all)
                    }));
                }
                let mut results = Vec::new();
                for run in runs {
                    results.push(run.await?);
                }
                Ok(results)
            })
        }))
    }

    /// Ends all that still runs.
    async fn finish(&self) {
        let mut ending = Vec::new();
        for (slot, place) in self.slots.iter().enumerate() {
            if let Some(mut process) = place.process.lock().await.take() {
                ending.push((
                    slot % self.script.count,
                    spawn_local(async move { process.over() || process.end().await }),
                ));
            }
        }
        for (nth, one) in ending {
            if !one.await.unwrap_or(false) {
                self.record.borrow_mut().ended_badly.push(nth);
            }
        }
    }
}

/// Where clients' tasks may go: an address for each dispatcher that the front knows to serve.
type Taking = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// One of those, by a number of chance.
fn any(takes: &Taking, chance: u64) -> Option<(usize, SocketAddr)> {
    let takes = takes.read().ok()?;
    let open: Vec<(usize, SocketAddr)> =
        takes.iter().enumerate().filter_map(|(n, at)| Some((n, (*at)?))).collect();
    open.get(chance as usize % open.len().max(1)).copied()
}

/// What clients send, in the order of [`WORKLOADS`].
fn workloads(load: &Load) -> Vec<Workload> {
    let of = |((name, kind, ..), part): (&(&str, &str, u64, f64), &f64)| Workload {
        name: (*name).to_owned(),
        part: *part,
        budget_ms: load.budget_ms,
        body_bytes: 64,
        fingerprint: *kind == "by_key",
        retries: load.retries,
        backoff_ms: 50,
    };
    WORKLOADS.iter().zip(&load.parts).map(of).collect()
}

/// Tasks that each worker began while it was cold.
fn warmed(runs: &[Run], cold: &[(usize, f64)], began: Instant) -> Vec<u64> {
    let count = |(worker, at): &(usize, f64)| {
        let from = began + Duration::from_secs_f64(*at);
        let within = |at: Instant| at >= from && at < from + Duration::from_secs_f64(WARM_WITHIN);
        runs.iter().filter(|r| r.worker == *worker && r.began.is_some_and(within)).count() as u64
    };
    cold.iter().map(count).collect()
}

/// How all tasks of a run ended.
pub fn ends(record: &Record) -> BTreeMap<End, u64> {
    let mut all = BTreeMap::new();
    record.ends.values().flatten().for_each(|(end, n)| *all.entry(*end).or_default() += n);
    all
}
