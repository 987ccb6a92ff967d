//! The program: what it is told, its start and its signals.

mod clients;
mod stop;
mod told;

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use rainlug::logic::Dispatcher;
use rainlug::{Moment, Time};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::sleep;

use self::clients::{Newcomers, accept, accepted, open, take_passed};
use self::stop::{InHand, tell_others, wind_up};

use crate::base::Clock;
use crate::protocol::head;
use crate::protocol::words::Entry;
use crate::routing::client::Door;
use crate::routing::figures::Figures;
use crate::routing::list::{self, Source};
use crate::routing::management::{self, Office};
use crate::routing::module::{self, Desk};
use crate::routing::{Beside, Budgets, MAILBOX, Peers, Stances, ToModule, UnderWay};
use crate::transport::{Bounds, Link, Pool};

/// How often it is looked whether an older process has ended.
const SOLE: Duration = Duration::from_millis(25);

pub fn main() -> ExitCode {
    let done = told::read().and_then(|(path, all)| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let done = LocalSet::new().block_on(&runtime, run(&path, &all)).context(path);
        // Work on files that does not come back keeps no process.
        runtime.shutdown_background();
        done
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rainlugd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// What the process is made of.
struct Parts {
    bounds: Bounds,
    pool: Pool,
    door: Door,
    source: Source,
    rev: u64,
    known: Vec<Entry>,
    asked: Option<Rc<Notify>>,
    closing: Time,
    desk: Desk,
    logic: Dispatcher,
    listen: SocketAddr,
    management: Option<SocketAddr>,
    fleet: Option<rainlug_setup::Fleet>,
    budgets: Option<rainlug_setup::Budgets>,
    figures: Rc<Figures>,
    heard: Rc<Notify>,
}

/// Makes every part of what is told. Nothing moves yet: at a reload this is how a file is checked.
fn parts(all: &Value, clock: Clock, mailbox: &ToModule) -> Result<Parts> {
    let (bounds, pool) = told::room(all)?;
    let figures = Rc::new(told::figures(all)?);
    let reach = Rc::new(told::reach(all, clock, (&bounds, &pool), mailbox, &figures)?);
    let source = told::source(all)?;
    let (rev, known) = told::known(all, &source)?;
    let asked = told::must_ask(all)?.then(Rc::<Notify>::default);
    let heard = Rc::<Notify>::default();
    let mut desk = Desk::new(reach, asked.clone(), heard.clone());
    Ok(Parts {
        door: told::door(all, clock, &bounds, mailbox, &figures)?,
        logic: told::dispatcher(&mut Moment { now: clock.now(), out: &mut desk }, all)?,
        closing: told::closing(all)?,
        listen: rainlug_setup::address(all, "/listen")?,
        bounds,
        pool,
        source,
        rev,
        known,
        asked,
        desk,
        management: told::management(all)?,
        fleet: rainlug_setup::fleet(all)?,
        budgets: rainlug_setup::budgets(all)?,
        figures,
        heard,
    })
}

/// Makes every part of what is told, and opens the port only then.
async fn run(path: &str, all: &Value) -> Result<()> {
    let clock = Clock::start();
    // Before the port is open: a signal that finds nobody waiting for it ends the process.
    let (mut stop, again) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let (mailbox, letters) = mpsc::channel(MAILBOX);
    let (words, staff) = mpsc::channel(MAILBOX);
    let made = parts(all, clock, &mailbox)?;
    let Parts { bounds, pool, mut door, source, rev, known, asked, closing, mut desk, mut logic, .. } = made;
    let stances = Rc::new(Stances::new(clock));
    let mut beside = None;
    let calls = UnderWay::default();
    let opened = |fleet| Peers::open(fleet, made.budgets, told::name(all)?, told::zone(all)?, clock);
    let peers = made.fleet.map(opened).transpose()?.map(Rc::new);
    let budgets = peers.as_ref().and_then(|peers| peers.budgets());
    budgets.iter().for_each(|budgets| desk.counts(budgets.clone()));
    if let Some(peers) = peers.clone() {
        let module = mailbox.clone();
        spawn_local(async move { peers.run(&module).await });
    }
    if let Some(at) = made.management {
        let cannot = || format!("cannot listen on {at}, /management");
        let listener = TcpListener::bind(at).await.with_context(cannot)?;
        let (name, dir) = (told::name(all)?, told::common());
        let (module, stances) = (words.clone(), stances.clone());
        let (to, all, known) = (module.clone(), bounds.clone(), peers.clone());
        let others = Beside::of(dir.as_deref(), &name, clock, to, stances.clone(), all, known);
        let others = Rc::new(others);
        for worker in others.begin().await {
            logic.hand(&mut Moment { now: clock.now(), out: &mut desk }, &worker, true);
        }
        logic.beside(others.count());
        log!("managed on {}", listener.local_addr()?);
        let (figures, room, beside_it) = (made.figures.clone(), bounds.management.clone(), others.clone());
        let office = Office {
            module,
            figures,
            stances,
            beside: beside_it,
            peers: peers.clone(),
            room,
            calls: calls.clone(),
        };
        spawn_local(manage(listener, Rc::new(office), Pool::within(0)));
        beside = Some(others);
    }
    let known = desk.listed(true, known);
    logic.list(&mut Moment { now: clock.now(), out: &mut desk }, true, true, &known);
    made.figures.listed(logic.listed(clock.now()));
    let (moves, sources) = watch::channel(Rc::new(source));
    spawn_local(list::follow(sources, rev, mailbox.clone(), asked, pool.clone(), bounds.list.clone()));
    let module = spawn_local(module::run(logic, desk, staff, letters));
    if let Some(others) = beside.clone() {
        spawn_local(async move { others.look().await });
    }
    if let Some((others, budgets)) = beside.clone().zip(budgets.clone()) {
        if others.placed() {
            spawn_local(async move {
                // An older process has this dispatcher's own part, and its voice, until it has ended.
                while !others.sole().await {
                    sleep(SOLE).await;
                }
                budgets.alone();
            });
        } else {
            log!(
                "budgets: no own part and no voice: nobody can say whether another process of this dispatcher lives"
            );
        }
    }
    let served = async {
        let opened = tokio::select! {
            biased;
            _ = stop.recv() => None,
            listener = open(made.listen, beside.as_deref(), &made.heard) => Some(listener?),
        };
        let mut accepting = None;
        if let Some(listener) = opened {
            let listener = Rc::new(listener);
            stances.opened();
            beside.iter().for_each(|others| others.serves(&listener));
            let address = listener.local_addr()?;
            door.beside = beside.clone();
            let newcomers =
                Newcomers { door: Rc::new(door), stance: stances.watch(), bounds: bounds.clone(), pool };
            if let Some(others) = beside.clone() {
                spawn_local(take_passed(address, newcomers.clone(), others));
            }
            // Whoever reads this may end the process before at once: that one must find this one serving.
            log!("listening on {address}");
            accepting = Some(spawn_local(accept(listener, newcomers, beside.clone())));
            stop.recv().await;
        }
        if let Some(others) = &beside {
            tell_others(&stances, others).await;
        }
        let follows = || stances.is_followed();
        let leaves = async {
            if let Some(peers) = &peers {
                peers.leave(follows, Duration::from_micros(closing as u64)).await;
            }
        };
        let in_hand = InHand { clients: bounds.clients, accepting, calls };
        let winds_up = wind_up(&stances, beside.as_deref(), clock, mailbox.clone(), closing, in_hand);
        tokio::join!(leaves, winds_up);
        Ok(())
    };
    tokio::select! {
        // Tasks without an owner must not outlive the module.
        over = module => over.context("the module's actor ended"),
        never = reload(again, path, all, clock, &mailbox, (moves, budgets)) => match never {},
        served = served => served,
    }
}

/// At each SIGHUP reads the file again and moves to the list's source that it names now. A file that cannot be used
/// changes nothing.
async fn reload(
    mut again: Signal,
    path: &str,
    all: &Value,
    clock: Clock,
    mailbox: &ToModule,
    (moves, budgets): (watch::Sender<Rc<Source>>, Option<Rc<Budgets>>),
) -> Infallible {
    loop {
        let Some(()) = again.recv().await else { pending().await };
        let read = told::from(path).and_then(|new| {
            let made = parts(&new, clock, mailbox).with_context(|| path.to_owned())?;
            Ok((made.source, made.budgets, new))
        });
        match read {
            Ok((source, divided, new)) => {
                let changed = |k: &&str| all.get(k) != new.get(k);
                let mut later: Vec<&str> = told::LATER.into_iter().filter(changed).collect();
                let kept = match (&budgets, divided) {
                    (Some(budgets), Some(divided)) => budgets.reload(divided),
                    (None, None) => true,
                    _ => false,
                };
                later.extend((!kept).then_some("budgets"));
                let restart = if later.is_empty() { "" } else { "; only after a restart: " };
                log!("reloaded: the list is at {}{restart}{}", source.at, later.join(", "));
                if **moves.borrow() != source {
                    moves.send_replace(Rc::new(source));
                }
            }
            Err(error) => log!("not reloaded, all stays as it was: {error:#}"),
        }
    }
}

/// Takes in calls at the second address. Who comes when all seats are taken waits until the oldest silent one has gone.
async fn manage(listener: TcpListener, office: Rc<Office>, pool: Pool) {
    loop {
        let Some(stream) = accepted(&listener).await else { continue };
        let Some(seat) = office.room.wait().await else { return };
        spawn_local(management::serve(Link::over(stream, head::request_body, &pool, seat), office.clone()));
        // The newcomer is known to be silent before the next one asks for a seat.
        yield_now().await;
    }
}
