//! One run: the tier comes up, bears load and troubles, settles, and all that was accepted is read once more.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rainlug_sim_worker::client::{self, Ask};
use rainlug_tier::local::{Plan, Role};
use rand::rngs::SmallRng;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::checker::{Checker, Terms, Violation};
use crate::client::{HOSTS, read, reads, submits};
use crate::monitor;
use crate::operator::{change, configures, retires};
use crate::options::{Options, WORKERS};
use crate::soak::{Soak, Stage};
use crate::throttle::throttles;
use crate::tier::{Error, Tier};
use crate::trouble::{closing_fault, troubles};

/// First numbers of tasks of a kind: each draws from a generator of its own.
const SUBMITTERS: u64 = 1000;
const READERS: u64 = 2000;
const OPERATORS: u64 = 3000;
const TROUBLES: u64 = 4000;
/// The tier must be up in this time.
const UP: Duration = Duration::from_secs(30);
/// After all troubles, the tier has this time beyond that of its youngest items to finish all.
const SETTLES: Duration = Duration::from_secs(25);
/// All accepted lots are read once more, until none could be for so long.
const READ_ALL: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_millis(200);
/// First ports that are tried: below those that the system gives away by itself.
const FIRST_PORTS: std::ops::Range<u16> = 30_000..32_000;
const PORTS: u16 = 20;

/// How a run went.
pub struct Outcome {
    pub violations: Vec<Violation>,
    /// A signal ended it early.
    pub is_interrupted: bool,
}

/// Runs one seed.
///
/// # Errors
/// Where the tier cannot be started, or does not come up.
pub async fn run(options: Options, seed: u64) -> Result<Outcome, Error> {
    let (soak, folder) = prepare(options, seed)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let is_interrupted = tokio::select! {
        played = play(&soak) => {
            played?;
            false
        }
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
    };
    soak.enter(Stage::Over);
    soak.tier.borrow_mut().hosts.clear();
    close(&soak, &folder);
    let violations = soak.checker.borrow().violations().to_vec();
    Ok(Outcome { violations, is_interrupted })
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
        match plan.free() {
            Ok(()) => return Ok(plan),
            Err(error) => taken = Some(error),
        }
    }
    Err(taken.map_or(Error::Unready("no ports"), Error::Plan))
}

async fn play(soak: &Rc<Soak>) -> Result<(), Error> {
    let watch = [spawn_local(monitor::processes(soak.clone())), spawn_local(monitor::figures(soak.clone()))];
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
    settle(soak).await;
    soak.enter(Stage::Over);
    for task in all.into_iter().chain(watch) {
        if task.await.is_err_and(|error| error.is_panic()) {
            soak.violated("the soak itself: a task panicked".to_owned());
        }
    }
    Ok(())
}

async fn status(at: SocketAddr, ask: Ask<'_>) -> Option<u16> {
    client::call(at, ask, Duration::from_millis(1500)).await.ok().map(|told| told.status)
}

/// Waits until the whole tier serves, and puts the first configuration.
async fn come_up(soak: &Soak) -> Result<(), Error> {
    let mut random = soak.random(0);
    let until = Instant::now() + UP;
    while !change(soak, &mut random, 0, 1).await {
        wait(until, "nobody takes a configuration").await?;
    }
    let fronts = soak.tier.borrow().plan.fronts();
    for at in fronts {
        for host in HOSTS {
            let fields = [("Host", host)];
            let ask = Ask { method: "GET", path: "/v1/lots/none", fields: &fields, body: b"" };
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

/// Ends all troubles, waits until all lots are finished, and reads them all. What is to be read is what could be read when that
/// began: a lot that the tier does not serve any more must not pass because its time is over meanwhile.
async fn settle(soak: &Soak) {
    let ids = owned(soak.checker.borrow().readable(soak.now()));
    heal(soak);
    let until = soak.now() + Duration::from_secs(soak.options.retain_s) + SETTLES;
    let mut random = soak.random(1);
    back_after(soak, &mut random, until).await;
    // Troubles in hand end by themselves, and what they left is healed once more.
    while soak.now() < until {
        sleep(RETRY).await;
        heal(soak);
        let unfinished: Vec<&String> =
            ids.iter().filter(|id| !soak.checker.borrow().is_finished(id)).collect();
        if unfinished.is_empty() {
            break;
        }
        for id in unfinished {
            let known = soak.checker.borrow().known(id);
            if soak.now() < until {
                read(soak, soak.any_front(&mut random), id, known, "0").await;
            }
        }
    }
    soak.note("all is read once more");
    read_all(soak, &mut random, &ids).await;
}

/// Reads all of these lots from their beginning; each must be there, with all its results.
async fn read_all(soak: &Soak, random: &mut SmallRng, ids: &[String]) {
    let mut until = soak.now() + READ_ALL;
    for id in ids {
        let status = read_patiently(soak, random, id, until).await;
        let is_finished = soak.checker.borrow().is_finished(id);
        let known = soak.checker.borrow().known(id);
        match status {
            Some(200) => until = soak.now() + READ_ALL,
            // Its time is over, or the checker has said so.
            Some(404) => {}
            _ => soak.violated(format!("lot {id}: accepted, and cannot be read at the end")),
        }
        if status == Some(200) && !is_finished {
            soak.violated(format!("lot {id}: accepted, and not finished at the end: {known} results"));
        }
    }
}

/// Reads a lot until there is a page or it is not found; nothing is asked once the time is over.
async fn read_patiently(soak: &Soak, random: &mut SmallRng, id: &str, until: Duration) -> Option<u16> {
    while soak.now() < until {
        let status = read(soak, soak.any_front(random), id, 0, "0").await;
        if matches!(status, Some(200 | 404)) {
            return status;
        }
        sleep(RETRY).await;
    }
    None
}

/// Counts how long it takes until each route's part serves again: a lot that nobody sent is not found.
async fn back_after(soak: &Soak, random: &mut SmallRng, until: Duration) {
    let begun = soak.now();
    for host in HOSTS {
        let fields = [("Host", host)];
        let ask = Ask { method: "GET", path: "/v1/lots/none", fields: &fields, body: b"" };
        while status(soak.any_front(random), ask).await != Some(404) && soak.now() < until {
            sleep(RETRY).await;
        }
        let millis = u64::try_from((soak.now() - begun).as_millis()).unwrap_or(u64::MAX);
        soak.most("ms until all routes served after the closing fault", millis);
    }
}

fn owned(ids: Vec<&str>) -> Vec<String> {
    ids.into_iter().map(str::to_owned).collect()
}

fn heal(soak: &Soak) {
    let mut tier = soak.tier.borrow_mut();
    tier.network.heal_all();
    let mut failed = tier.write_faults().err();
    for index in tier.of(&[Role::Gateway, Role::Store, Role::Worker]) {
        tier.resume(index);
        if !tier.hosts[index].is_busy {
            failed = failed.or(tier.start(index).err());
        }
    }
    drop(tier);
    if let Some(error) = failed {
        soak.violated(format!("the soak itself: {error}"));
    }
}

/// Writes what was counted, and removes disks of runs that went well.
fn close(soak: &Soak, folder: &std::path::Path) {
    let (accepted, results) = soak.checker.borrow().counts();
    let broken = soak.checker.borrow().violations().len();
    let line = format!(
        "seed {}: {accepted} lots accepted, {results} results read, {broken} violations, {:.0} s; logs in {}",
        soak.seed,
        soak.now().as_secs_f64(),
        folder.display()
    );
    println!("{line}");
    soak.note(&line);
    let counts: Vec<String> = soak.counts().iter().map(|(what, count)| format!("{what}: {count}")).collect();
    println!("  {}", counts.join(", "));
    soak.note(&counts.join("\n"));
    if broken == 0 {
        let _ = std::fs::remove_dir_all(folder.join("data"));
    }
}
