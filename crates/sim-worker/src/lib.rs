//! Stand-in model workers: the worker's side of what the tier speaks, over a simulated batch of slots. For trying a tier out and
//! for tests; no model runs here.

mod beats;
pub mod client;
pub mod engine;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use beats::Callees;
pub use beats::beat_addr;
use engine::{Engine, Event, Shape, Time};
pub use serve::token_texts;

/// The model that stand-ins have, and the version of its weights.
pub const MODEL: &str = "m";
pub const VERSION: u64 = 1;
/// How old a report is at most.
const REPORT: Duration = Duration::from_millis(200);

quick_error! {
    #[derive(Debug)]
    pub enum Error {
        Listen(at: SocketAddr, source: std::io::Error) { source(source) display("cannot listen on {}: {}", at, source) }
        Io(source: std::io::Error) { from() display("{}", source) }
    }
}

/// What a worker is told of itself.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Of this start: never used again.
    pub id: String,
    pub service: String,
    pub zone: String,
    pub at: SocketAddr,
    /// Who may be told of it.
    pub controls: Vec<SocketAddr>,
    pub beat: Duration,
    /// How long it serves on after its drain was heard.
    pub drain: Duration,
    pub max_conns: usize,
    pub health_path: String,
    pub shape: Shape,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Ready,
    Draining,
}

/// One worker.
pub struct SimWorker {
    told: WorkerSettings,
    engine: RefCell<Engine>,
    callers: RefCell<HashMap<u64, mpsc::UnboundedSender<Event>>>,
    callees: RefCell<Callees>,
    begun: Instant,
    phase: Cell<Phase>,
    seq: Cell<u64>,
    jobs: Cell<u64>,
    report: RefCell<Bytes>,
    drain_heard: Cell<bool>,
    /// Its phase has changed, the engine has something to do sooner.
    changed: Notify,
    sooner: Notify,
}

impl SimWorker {
    /// Serves until SIGTERM or SIGINT, then drains, says goodbye and ends.
    ///
    /// # Errors
    /// Where its address or signals cannot be had.
    pub async fn run(told: WorkerSettings) -> Result<(), Error> {
        let at = told.at;
        let listener = TcpListener::bind(at).await.map_err(|e| Error::Listen(at, e))?;
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        Self::serve(told, listener, stop).await;
        Ok(())
    }

    /// Serves until `stop` ends, then drains, says goodbye and ends. It needs a `LocalSet` round it.
    pub async fn serve(told: WorkerSettings, listener: TcpListener, stop: impl Future<Output = ()>) {
        // Workers begin at different ones of those that may be told.
        let turn = xxhash_rust::xxh3::xxh3_64(told.id.as_bytes()) as usize % told.controls.len().max(1);
        let shop = Rc::new(SimWorker {
            engine: RefCell::new(Engine::new(told.shape)),
            callers: RefCell::default(),
            callees: RefCell::new(Callees::new(told.controls.clone(), turn)),
            begun: Instant::now(),
            phase: Cell::new(Phase::Ready),
            seq: Cell::new(0),
            jobs: Cell::new(0),
            report: RefCell::default(),
            drain_heard: Cell::new(false),
            changed: Notify::new(),
            sooner: Notify::new(),
            told,
        });
        let who = &shop.told;
        spdlog::info!("worker {} of {} at {}", who.id, who.service, who.at, kv: { event = "start" });
        let tasks = [
            spawn_local(shop.clone().accept(listener)),
            spawn_local(shop.clone().steps()),
            spawn_local(shop.clone().reports()),
        ];
        let beats = spawn_local(shop.clone().beats());
        stop.await;
        spdlog::info!("told to end", kv: { event = "stop" });
        shop.drain().await;
        // A beat after the goodbye would bring it back.
        beats.abort();
        shop.goodbye().await;
        tasks.iter().for_each(|task| task.abort());
        spdlog::info!("ended", kv: { event = "stop" });
    }

    fn now(&self) -> Time {
        self.begun.elapsed().as_micros() as Time
    }

    /// Plays the engine in real time.
    async fn steps(self: Rc<Self>) {
        loop {
            let next = self.engine.borrow().next();
            let most = self.begun.elapsed() + Duration::from_secs(60);
            let at = self.begun + Duration::from_micros(next.max(0) as u64).min(most);
            tokio::select! {
                biased;
                () = self.sooner.notified() => continue,
                () = sleep_until(at) => {}
            }
            let now = self.now();
            let events = self.engine.borrow_mut().due(now);
            let callers = self.callers.borrow();
            for event in events {
                let (Event::Token { job, .. } | Event::Late { job, .. }) = event;
                if let Some(caller) = callers.get(&job) {
                    let _ = caller.send(event);
                }
            }
        }
    }

    async fn reports(self: Rc<Self>) {
        loop {
            let report = self.reported();
            *self.report.borrow_mut() = report.into();
            sleep(REPORT).await;
        }
    }

    fn reported(&self) -> String {
        let engine = self.engine.borrow();
        let (running, waiting, _) = engine.load();
        format!(
            "{{\"phase\":\"both\",\"model_list\":[{}],\"occupancy\":false,\"call_seq\":{},\"backlog\":{waiting},\
             \"active\":{running},\"kv_used\":{},\"kv_total\":{},\"open_handles\":0}}",
            self.model_list(),
            self.seq.get(),
            engine.kv_used(),
            self.told.shape.kv_tokens,
        )
    }

    fn model_list(&self) -> String {
        format!("{{\"name\":\"{MODEL}\",\"version\":{VERSION},\"lora_adapters\":[]}}")
    }
}
