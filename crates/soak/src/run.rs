//! One run: the tier comes up, bears load and troubles, settles, and all that was accepted is read once more.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rainlug_sim_worker::client::{self, Ask};
use rainlug_tier::local::Plan;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::applications::applications;
use crate::checker::{Checker, Terms, Violation};
use crate::client::{reads, reads_on_open_connections, submits};
use crate::monitor;
use crate::operator::{change, configures, retires};
use crate::options::{Options, WORKERS};
use crate::settle::{probes, settle};
use crate::soak::{Soak, Stage};
use crate::throttle::throttles;
use crate::tier::{Error, Tier};
use crate::trouble::{closing_fault, troubles};
use crate::verdict::Verdict;

/// First numbers of tasks of a kind: each draws from a generator of its own.
const SUBMITTERS: u64 = 1000;
const READERS: u64 = 2000;
const OPEN_READERS: u64 = 2500;
const CALLERS: u64 = 2700;
const OPERATORS: u64 = 3000;
const TROUBLES: u64 = 4000;
/// Applications that call for locks, numbers, keys and watches.
const APPLICATIONS: u64 = 6;
/// The tier must be up in this time.
const UP: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_millis(200);
/// First ports that are tried: below those that the system gives away by itself.
const FIRST_PORTS: std::ops::Range<u16> = 30_000..32_000;
const PORTS: u16 = 20;

/// How a run went.
pub struct Outcome {
    pub violations: Vec<Violation>,
    /// A signal ended it early.
    pub is_interrupted: bool,
    /// All that had to be read at the end was read, or is among the violations.
    pub is_whole: bool,
}

impl Outcome {
    pub fn verdict(&self) -> Verdict {
        Verdict::of(self.violations.len(), self.is_whole && !self.is_interrupted)
    }
}

/// Runs one seed.
///
/// # Errors
/// Where the tier cannot be started, or does not come up.
pub async fn run(options: Options, seed: u64) -> Result<Outcome, Error> {
    let (soak, folder) = prepare(options, seed)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (is_interrupted, is_whole) = tokio::select! {
        played = play(&soak) => (false, played?),
        _ = terminate.recv() => (true, false),
        _ = interrupt.recv() => (true, false),
    };
    soak.enter(Stage::Over);
    soak.tier.borrow_mut().hosts.clear();
    let violations = soak.checker.borrow().violations().to_vec();
    let is_whole = is_whole && !soak.is_flawed();
    let outcome = Outcome { violations, is_interrupted, is_whole };
    close(&soak, &folder, outcome.verdict());
    Ok(outcome)
}

/// Where everything of a seed goes, made anew.
fn prepare(options: Options, seed: u64) -> Result<(Rc<Soak>, PathBuf), Error> {
    let files = |path: &PathBuf, error| Error::Files(path.clone(), error);
    std::fs::create_dir_all(&options.dir).map_err(|e| files(&options.dir, e))?;
    let folder = options.dir.canonicalize().map_err(|e| files(&options.dir, e))?.join(format!("seed-{seed}"));
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(|e| files(&folder, e))?;
    }
    std::fs::create_dir_all(&folder).map_err(|e| files(&folder, e))?;
    let plan = free_plan(&options, &folder)?;
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?,
    };
    let journal = folder.join("journal.log");
    let journal = File::create(&journal).map_err(|e| files(&journal, e))?;
    let tier = Tier::new(plan, program, options.limits())?;
    let terms = Terms { keep: options.keep(), retain: Duration::from_secs(options.retain_s) };
    Ok((Rc::new(Soak::new(options, seed, tier, Checker::new(terms), journal)), folder))
}

/// A plan whose addresses are free; runs beside this one begin the search elsewhere.
fn free_plan(options: &Options, folder: &std::path::Path) -> Result<Plan, Error> {
    let count = (FIRST_PORTS.end - FIRST_PORTS.start) / PORTS;
    let begin = (std::process::id() % u32::from(count)) as u16;
    let mut taken = None;
    for n in 0..count {
        let base_port = FIRST_PORTS.start + (begin + n) % count * PORTS;
        let plan = Plan {
            dir: folder.to_owned(),
            gateways: options.gateways(),
            stores: options.stores,
            workers: WORKERS,
            base_port,
        };
        match plan.check_addresses_free() {
            Ok(()) => return Ok(plan),
            Err(error) => taken = Some(error),
        }
    }
    Err(taken.map_or(Error::Unready("no ports"), Error::Plan))
}

/// Plays the run; whether all was read at its end that had to be.
async fn play(soak: &Rc<Soak>) -> Result<bool, Error> {
    let watch = [spawn_local(monitor::processes(soak.clone())), spawn_local(monitor::metrics(soak.clone()))];
    let count = soak.tier.borrow().hosts.len();
    for index in 0..count {
        soak.tier.borrow_mut().start(index)?;
    }
    come_up(soak).await?;
    soak.enter(Stage::Load);
    let mut all = Vec::new();
    if let Some(share) = soak.options.cpu_share {
        all.push(spawn_local(throttles(soak.clone(), share)));
    }
    for client in 0..u64::from(soak.options.clients) {
        all.push(spawn_local(submits(soak.clone(), SUBMITTERS + client)));
        all.push(spawn_local(reads(soak.clone(), READERS + client)));
        all.push(spawn_local(reads_on_open_connections(soak.clone(), OPEN_READERS + client)));
    }
    for application in 0..APPLICATIONS {
        all.push(spawn_local(applications(soak.clone(), CALLERS + application, application as usize)));
    }
    all.push(spawn_local(configures(soak.clone(), OPERATORS)));
    all.push(spawn_local(retires(soak.clone(), OPERATORS + 1)));
    for row in 0..u64::from(soak.options.overlap) {
        all.push(spawn_local(troubles(soak.clone(), TROUBLES + row)));
    }
    sleep(Duration::from_secs(soak.options.seconds)).await;
    soak.enter(Stage::Closing);
    closing_fault(soak, &mut soak.random(2)).await?;
    soak.enter(Stage::Settle);
    let is_whole = settle(soak).await;
    soak.enter(Stage::Over);
    for task in all.into_iter().chain(watch) {
        if task.await.is_err_and(|error| error.is_panic()) {
            soak.flawed("a task panicked");
        }
    }
    Ok(is_whole)
}

pub async fn status(at: SocketAddr, ask: Ask<'_>) -> Option<u16> {
    client::call(at, ask, Duration::from_millis(1500)).await.ok().map(|told| told.status)
}

/// Waits until the whole tier serves, and puts the first configuration.
async fn come_up(soak: &Soak) -> Result<(), Error> {
    let mut random = soak.random(0);
    let until = Instant::now() + UP;
    while !change(soak, &mut random, 0, 1).await {
        wait(until, "nobody takes a configuration").await?;
    }
    let fronts = soak.tier.borrow().plan.front_addresses();
    for at in fronts {
        for (host, path) in probes() {
            let fields = [("Host", host)];
            let ask = Ask { method: "GET", path: &path, fields: &fields, body: b"" };
            while status(at, ask).await != Some(404) {
                wait(until, "the stores do not keep batch jobs").await?;
            }
        }
    }
    soak.tier.borrow_mut().founded()
}

async fn wait(until: Instant, what: &'static str) -> Result<(), Error> {
    if Instant::now() >= until {
        return Err(Error::Unready(what));
    }
    sleep(RETRY).await;
    Ok(())
}

/// Writes what was counted, and removes disks of runs that went well.
fn close(soak: &Soak, folder: &std::path::Path, verdict: Verdict) {
    let (accepted, results) = soak.checker.borrow().counts();
    let broken = soak.checker.borrow().violations().len();
    let line = format!(
        "seed {}: {accepted} lots accepted, {results} results read, {broken} violations, {verdict:?}, {:.0} s; logs in {}",
        soak.seed,
        soak.now().as_secs_f64(),
        folder.display()
    );
    println!("{line}");
    soak.note(&line);
    let counts: Vec<String> = soak.counts().iter().map(|(what, count)| format!("{what}: {count}")).collect();
    println!("  {}", counts.join(", "));
    soak.note(&counts.join("\n"));
    if verdict == Verdict::Passed {
        let _ = std::fs::remove_dir_all(folder.join("data"));
    }
}
