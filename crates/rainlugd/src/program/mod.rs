//! The program: what it is told, its start, its signals, its clock and its log.

mod clock;
#[macro_use]
pub mod log;
mod stances;
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
use rainlug_handover::Stance;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep};

pub use clock::Clock;
pub use stances::Stances;

use crate::protocol::head;
use crate::protocol::words::Entry;
use crate::routing::client::{self, Door};
use crate::routing::figures::Figures;
use crate::routing::list::{self, Source};
use crate::routing::management::{self, Office};
use crate::routing::module::{self, Desk};
use crate::routing::{MAILBOX, Mail, ToModule};
use crate::transport::{Bounds, Link, Pool, Room};

/// New connections still come for so long after the word to stop.
const LAST_CLIENTS: Duration = Duration::from_millis(500);
/// How often it is looked whether the last client has gone.
const LOOK: Duration = Duration::from_millis(10);
/// The pause after a failure to accept that would come again at once.
const BREATH: Duration = Duration::from_millis(10);

pub fn main() -> ExitCode {
    let done = told::read().and_then(|(path, all)| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, run(&path, &all)).context(path)
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
    figures: Rc<Figures>,
}

/// Makes every part of what is told. Nothing moves yet: at a reload this is how a file is checked.
fn parts(all: &Value, clock: Clock, mailbox: &ToModule) -> Result<Parts> {
    let (bounds, pool) = told::room(all)?;
    let figures = Rc::new(told::figures(all)?);
    let reach = Rc::new(told::reach(all, clock, (&bounds, &pool), mailbox, &figures)?);
    let source = told::source(all)?;
    let (rev, known) = told::known(all, &source)?;
    let asked = told::must_ask(all)?.then(Rc::<Notify>::default);
    let mut desk = Desk::new(reach, asked.clone());
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
        figures,
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
    let Parts { bounds, pool, door, source, rev, known, asked, closing, mut desk, mut logic, .. } = made;
    let (listen, management, figures) = (made.listen, made.management, made.figures);
    let known = desk.listed(true, known);
    logic.list(&mut Moment { now: clock.now(), out: &mut desk }, true, true, &known);
    figures.listed(logic.listed(clock.now()));
    let stances = Rc::new(Stances::new(clock));
    if let Some(at) = management {
        let listener =
            TcpListener::bind(at).await.with_context(|| format!("cannot listen on {at}, /management"))?;
        log!("managed on {}", listener.local_addr()?);
        let office = Office {
            module: words.clone(),
            figures,
            stances: stances.clone(),
            room: bounds.management.clone(),
        };
        spawn_local(manage(listener, Rc::new(office), Pool::within(0)));
    }
    let listener = TcpListener::bind(listen).await.with_context(|| format!("cannot listen on {listen}"))?;
    log!("listening on {}", listener.local_addr()?);
    let (moves, sources) = watch::channel(Rc::new(source));
    spawn_local(list::follow(sources, rev, mailbox.clone(), asked, pool.clone(), bounds.list.clone()));
    spawn_local(accept(listener, Rc::new(door), stances.watch(), bounds.clone(), pool));
    let module = spawn_local(module::run(logic, desk, staff, letters));
    tokio::select! {
        // Tasks without an owner must not outlive the module.
        over = module => over.context("the module's actor ended"),
        never = reload(again, path, all, clock, &mailbox, moves) => match never {},
        () = wind_up(&mut stop, &stances, clock, mailbox.clone(), closing, bounds.clients) => Ok(()),
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
    moves: watch::Sender<Rc<Source>>,
) -> Infallible {
    loop {
        let Some(()) = again.recv().await else { pending().await };
        let read = told::from(path).and_then(|new| {
            let made = parts(&new, clock, mailbox).with_context(|| path.to_owned())?;
            Ok((made.source, new))
        });
        match read {
            Ok((source, new)) => {
                let later: Vec<&str> = told::LATER.into_iter().filter(|k| all.get(k) != new.get(k)).collect();
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

/// After the word to stop: ends when every task has its answer and no client is left.
async fn wind_up(
    stop: &mut Signal,
    stances: &Stances,
    clock: Clock,
    module: ToModule,
    within: Time,
    clients: Room,
) {
    stop.recv().await;
    let begun = Instant::now();
    log!("stopping: all answers within {within} us");
    stances.stop();
    let _ = module.send(Mail::Closing(clock.now() + within)).await;
    while begun.elapsed() < LAST_CLIENTS || !clients.empty() {
        sleep(LOOK).await;
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

/// The next connection; nothing after a failure to accept, which would come again at once without a pause.
async fn accepted(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log!("cannot accept a client: {error}");
            sleep(BREATH).await;
            None
        }
    }
}

/// Takes in clients. A failure to accept ends neither this nor the process, and does not spin.
async fn accept(
    listener: TcpListener,
    door: Rc<Door>,
    stance: watch::Receiver<Stance>,
    bounds: Bounds,
    pool: Pool,
) {
    loop {
        let Some(stream) = accepted(&listener).await else { continue };
        let (seat, turned_away) = match bounds.clients.seat() {
            Some(seat) => (seat, false),
            // What has been accepted is owed an answer, be it that there is no room, from the reserve. An idle client
            // goes; whoever comes next must not have to wait until it has.
            None => tokio::select! {
                biased;
                Some(seat) = bounds.clients.wait() => (seat, false),
                Some(seat) = bounds.turned_away.wait() => (seat, true),
                else => return,
            },
        };
        let link = Link::over(stream, head::request_body, &pool, seat);
        spawn_local(client::serve(link, door.clone(), stance.clone(), turned_away));
        // The newcomer is known to be silent before the next one asks for a seat: else a kept client would go for it.
        yield_now().await;
    }
}
