//! The program: what it is told, its start, its signals, its clock and its log.

mod clock;
#[macro_use]
pub mod log;
mod told;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use rainlug::{Moment, Time};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

pub use clock::Clock;

use crate::protocol::head;
use crate::routing::client::{self, Door};
use crate::routing::list;
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
        LocalSet::new().block_on(&runtime, run(&all)).context(path)
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rainlugd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Makes every part of what is told, and opens the port only then.
async fn run(all: &Value) -> Result<()> {
    let clock = Clock::start();
    let mut stop = signal(SignalKind::terminate())?;
    let (mailbox, letters) = mpsc::channel(MAILBOX);
    let (bounds, pool) = told::room(all)?;
    let reach = Rc::new(told::reach(all, clock, &bounds, &pool, &mailbox)?);
    let door = Rc::new(told::door(all, clock, &bounds, &mailbox, LAST_CLIENTS)?);
    let source = told::source(all)?;
    let (rev, known) = told::known(all, &source)?;
    let asked = told::must_ask(all)?.then(Rc::<Notify>::default);
    let closing = told::closing(all)?;
    let mut desk = Desk::new(reach, asked.clone());
    let mut logic = told::dispatcher(&mut Moment { now: clock.now(), out: &mut desk }, all)?;
    let known = desk.listed(true, known);
    logic.list(&mut Moment { now: clock.now(), out: &mut desk }, true, true, &known);
    let listen = rainlug_setup::address(all, "/listen")?;
    let listener = TcpListener::bind(listen).await.with_context(|| format!("cannot listen on {listen}"))?;
    log!("listening on {}", listener.local_addr()?);
    let (stopping, stops) = watch::channel(false);
    spawn_local(list::follow(source, rev, mailbox.clone(), asked, pool.clone(), bounds.list.clone()));
    spawn_local(accept(listener, door, stops, bounds.clone(), pool));
    let module = spawn_local(module::run(logic, desk, letters));
    tokio::select! {
        // Tasks without an owner must not outlive the module.
        over = module => over.context("the module's actor ended"),
        () = wind_up(&mut stop, &stopping, clock, mailbox, closing, bounds.clients) => Ok(()),
    }
}

/// After the word to stop: ends when every task has its answer and no client is left.
async fn wind_up(
    stop: &mut Signal,
    stopping: &watch::Sender<bool>,
    clock: Clock,
    module: ToModule,
    within: Time,
    clients: Room,
) {
    stop.recv().await;
    let begun = Instant::now();
    log!("stopping: all answers within {within} us");
    stopping.send_replace(true);
    let _ = module.send(Mail::Closing(clock.now() + within)).await;
    while begun.elapsed() < LAST_CLIENTS || !clients.empty() {
        sleep(LOOK).await;
    }
}

/// Takes in clients. A failure to accept ends neither this nor the process, and does not spin.
async fn accept(
    listener: TcpListener,
    door: Rc<Door>,
    stops: watch::Receiver<bool>,
    bounds: Bounds,
    pool: Pool,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log!("cannot accept a client: {error}");
                sleep(BREATH).await;
                continue;
            }
        };
        let (seat, turned_away) = match bounds.clients.seat() {
            Some(seat) => (seat, false),
            None => {
                // What has been accepted is owed an answer: one that there is no room, from the reserve.
                bounds.clients.ask();
                let Some(seat) = bounds.turned_away.wait().await else { return };
                (seat, true)
            }
        };
        let link = Link::over(stream, head::request_body, &pool, seat);
        spawn_local(client::serve(link, door.clone(), stops.clone(), turned_away));
    }
}
