//! One process of the tier: the coordinator's core with sockets, disk and data plane round it. It carries effects out and decides
//! nothing.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quick_error::quick_error;
use rainlug::Time;
use rainlug_batch::{ItemRun, RunOutcome};
use rainlug_coordinator::{
    Answer, Call, Coordinator, Effect, NodeInfo, Now, ProcessRole, RETENTION_SLACK, founding_id,
};
use rainlug_fleet::envelope::{Envelope, MOST};
use rainlug_gateway::{Gateway, Item, RanEnd, Reply, Replying};
use rainlug_placement::Mechanisms;
use rainlug_registry::{Configuration, Route};
use rainlug_wal::WriterEvent;
use rand::TryRngCore;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::clock::Clock;
use crate::control;
use crate::disk::{Disk, ShardLog, WriterReport};
use crate::log;
use crate::peers::{Frame, Peers};

use crate::settings::{self, Settings};
use crate::step_times::StepTimes;

/// Datagrams read in one go.
const BURST: usize = 32;
/// The largest request body at the control address, in bytes: a configuration.
pub const MOST_CONTROL: usize = 8 << 20;

/// Between two reports on workers.
const REPORT: Duration = Duration::from_millis(200);
/// Between two tries to open a disk that refuses calls.
const DISK_PAUSE: Duration = Duration::from_millis(250);

quick_error! {
    /// Why a process could not start or go on.
    #[derive(Debug)]
    pub enum Error {
        Settings(source: settings::Error) { from() display("{}", source) }
        Listen(at: SocketAddr, source: std::io::Error) { source(source) display("cannot listen on {}: {}", at, source) }
        Disk(source: rainlug_wal::Error) { from() display("{}", source) }
        Wal(odd: rainlug_consensus::DecodeError) { from() display("a wal holds what is not this program's: {}", odd) }
        Missing(place: &'static str) { display("{}: needed by this role", place) }
        Io(source: std::io::Error) { from() display("{}", source) }
    }
}

pub struct Node {
    role: ProcessRole,
    clock: Clock,
    coordinator: RefCell<Coordinator>,
    socket: UdpSocket,
    envelope: Envelope,
    peers: Rc<Peers>,
    disk: RefCell<Option<Disk>>,
    gateway: Rc<Gateway>,
    answers: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    tickets: Cell<u64>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// When the timer rings, and word that it has to ring sooner.
    rings: Cell<Time>,
    sooner: Notify,
    pumping: Cell<bool>,
    steps: StepTimes,
}

/// Chance that no other process has.
fn draw() -> u64 {
    rand::rngs::OsRng.try_next_u64().unwrap_or_else(|_| std::process::id().into())
}

async fn listen(at: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(at).await.map_err(|e| Error::Listen(at, e))
}

/// Opens the disk; one that refuses calls is tried again until it does not.
async fn open_disk(
    dir: &Path,
    capacity: u64,
    drawn: u64,
    told: mpsc::UnboundedSender<WriterReport>,
) -> Result<(Disk, Vec<ShardLog>), Error> {
    let mut is_failing = false;
    loop {
        match Disk::open(dir, capacity, drawn, told.clone()) {
            Err(error @ rainlug_wal::Error::Io(..)) => {
                if !std::mem::replace(&mut is_failing, true) {
                    log::error("disk", &format!("waits: {error}"));
                }
                sleep(DISK_PAUSE).await;
            }
            opened => return Ok(opened?),
        }
    }
}

impl Node {
    /// Starts a process in a role and serves until it is told to end.
    ///
    /// # Errors
    /// Where settings, sockets or disk cannot be used.
    pub async fn run(role: ProcessRole, settings: Settings, mechanisms: Mechanisms) -> Result<(), Error> {
        let clock = Clock::start();
        let (saved, mut on_disk) = mpsc::unbounded_channel::<WriterReport>();
        let peer = settings.peer_address();
        let seeds = settings.seed_peer_addresses();
        let founds = settings.first_boot && role == ProcessRole::Gateway && seeds.contains(&peer);
        let drawn = if founds { founding_id(peer) } else { draw().max(1) };
        let disk_bytes = (settings.limits.disk_mb.max(1.0) * 1e6) as u64;
        let (disk, logs) = match &settings.data_dir {
            Some(dir) => {
                let (disk, logs) = open_disk(dir, disk_bytes, drawn, saved).await?;
                (Some(disk), logs)
            }
            None => (None, Vec::new()),
        };
        let control_at = settings.listen.control;
        let told = NodeInfo {
            node_name: settings.node.clone(),
            zone: settings.zone.clone(),
            peer_address: peer,
            control_address: control_at,
            role,
            disk: disk.as_ref().map(Disk::id),
            first_boot: settings.first_boot,
            seeds,
            tolerated_failures: settings.tolerate.machines as usize,
            heartbeat_interval: settings.heartbeat_ms as Time * 1000,
            disk_bytes: disk_bytes as usize,
            memory_bytes: (settings.limits.memory_mb * 1e6) as usize,
            link_bytes_per_second: settings.limits.link_bytes_per_second(),
            sync_time: settings.bounds.sync_time(),
            relays_enabled: mechanisms.contains(Mechanisms::RELAYS),
            job_retention: (settings.bounds.status_s * 1e6) as Time + RETENTION_SLACK,
            seed: draw(),
        };
        let socket = UdpSocket::bind(peer).await.map_err(|e| Error::Listen(peer, e))?;
        let frames = listen(peer).await?;
        let gateway = Gateway::new(rainlug_gateway::GatewaySettings {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            memory_mb: settings.limits.memory_mb as usize,
            max_fds: settings.limits.max_fds as usize,
            grace_s: settings.bounds.grace_s,
            pass_ms: settings.bounds.pass_ms as u64,
            seed: draw(),
            mechanisms,
        });
        let coordinator = Coordinator::new(told, logs, clock.now())?;
        let node = Rc::new(Node {
            role,
            clock,
            coordinator: RefCell::new(coordinator),
            socket,
            envelope: Envelope::of("rainlug"),
            peers: Peers::new(peer),
            disk: RefCell::new(disk),
            gateway,
            answers: RefCell::default(),
            tickets: Cell::new(0),
            configuration: RefCell::default(),
            rings: Cell::new(0),
            sooner: Notify::new(),
            pumping: Cell::new(false),
            steps: StepTimes::default(),
        });
        log::event("start", &format!("{:?}, peers at {peer}", role));
        let taken = node.clone();
        let frame = Rc::new(move |from, bytes: Bytes| {
            taken.with("frame", |coordinator, now| {
                let _ = coordinator.receive_frame(now, from, &bytes);
            });
        });
        let tells = Rc::downgrade(&node);
        node.peers.on_unreachable(Rc::new(move |at| {
            if let Some(node) = tells.upgrade() {
                node.with("unreachable", |coordinator, now| coordinator.peer_unreachable(now, at));
            }
        }));
        if let Some(file) = settings.fault_file {
            spawn_local(node.peers.faults().clone().watch(file));
        }
        spawn_local(node.peers.clone().listen(frames, frame));
        spawn_local(node.clone().datagrams());
        spawn_local(node.clone().timer());
        spawn_local(node.gateway.clone().run());
        spawn_local(node.clone().report());
        let keeps = node.clone();
        spawn_local(async move {
            while let Some(told) = on_disk.recv().await {
                let is_current = keeps.disk.borrow().as_ref().is_some_and(|disk| disk.id() == told.disk);
                if is_current {
                    keeps.disk_told(told.shard, told.event);
                }
            }
        });
        if let Some(at) = control_at {
            spawn_local(control::serve(node.clone(), listen(at).await?));
        }
        spawn_local(crate::metrics::start(node.clone(), settings.ip));
        if role == ProcessRole::Gateway {
            let front = settings.listen.front.ok_or(Error::Missing("listen.front"))?;
            spawn_local(node.gateway.clone().serve(listen(front).await?, Rc::new(Desk(node.clone()))));
        }
        if let Some(at) = settings.listen.ready {
            let coordinator = node.clone();
            let ready = Rc::new(move || coordinator.coordinator.borrow().is_ready(coordinator.clock.now()));
            spawn_local(node.gateway.clone().readiness(listen(at).await?, ready));
        }
        node.with("start", |_, _| ());
        node.until_told().await
    }

    /// Serves until SIGTERM, then ends in order.
    async fn until_told(self: Rc<Self>) -> Result<(), Error> {
        let (mut terminate, mut hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        let mut interrupt = signal(SignalKind::interrupt())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => match Settings::from_environment() {
                    Ok(_) => log::event("settings", "read again"),
                    Err(error) => log::error("settings", &error.to_string()),
                },
            }
        }
        log::event("stop", "told to end");
        if self.role == ProcessRole::Gateway {
            // Bounded by itself: it ends before the grace does.
            self.gateway.stop().await;
        }
        self.with("leave", |coordinator, now| coordinator.leave(now));
        sleep(Duration::from_millis(50)).await;
        log::event("stop", "ended");
        Ok(())
    }

    /// Hands something to the coordinator, and carries out what follows. `step` names the kind of call in the log, should it
    /// take long.
    pub fn with<R>(self: &Rc<Self>, step: &'static str, what: impl FnOnce(&mut Coordinator, Now) -> R) -> R {
        let begun = Instant::now();
        let result = what(&mut self.coordinator.borrow_mut(), self.clock.now());
        self.pump();
        self.steps.record(step, begun.elapsed());
        result
    }

    fn pump(self: &Rc<Self>) {
        if self.pumping.replace(true) {
            return;
        }
        loop {
            let effects = self.coordinator.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
        self.pumping.set(false);
        if self.coordinator.borrow().next_timeout() < self.rings.get() {
            self.sooner.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            // What the socket does not take now is lost, as any datagram may be.
            Effect::Datagram { to, .. } if !self.peers.faults().may_send(to) => {}
            Effect::Datagram { to, bytes } => {
                let _ = self.socket.try_send_to(&self.envelope.seal(&bytes), to);
            }
            Effect::Frame { to, head, tail } => self.peers.send(to, Frame { head, tail }),
            Effect::Append { shard, ticket, records } => {
                if let Some(disk) = self.disk.borrow_mut().as_mut() {
                    disk.append(shard, ticket, records);
                }
            }
            Effect::Rewrite { shard, ticket, records, implied } => {
                if let Some(disk) = self.disk.borrow_mut().as_mut() {
                    disk.compact(shard, ticket, records, implied);
                }
            }
            Effect::ReplaceDiskIdentity { disk } => {
                if let Some(Err(error)) = self.disk.borrow_mut().as_mut().map(|d| d.renew_identity(disk)) {
                    log::error("disk", &error.to_string());
                }
            }
            Effect::Answer { ticket, answer } => {
                if let Some(waits) = self.answers.borrow_mut().remove(&ticket) {
                    let _ = waits.send(answer);
                }
            }
            Effect::Configuration { version, text } => {
                if let Ok(read) = Configuration::parse(&text) {
                    let read = Rc::new(read);
                    *self.configuration.borrow_mut() = Some(read.clone());
                    self.gateway.configure(read);
                    log::event("configuration", &format!("version {version} is in force"));
                }
            }
            Effect::Worker(worker) => self.gateway.worker(&worker),
            Effect::PeerCount(count) => self.gateway.others(count),
            Effect::Reports(reports) => self.gateway.reported(&reports),
            Effect::RunItem { shard, next } => {
                spawn_local(self.clone().item(shard, next));
            }
            Effect::Log(what, text) => log::event(what, &text),
        }
    }

    /// A part's log is further, or the disk holds it up. That ends nothing: what is not saved is not acknowledged.
    fn disk_told(self: &Rc<Self>, shard: u16, report: WriterEvent) {
        match report {
            WriterEvent::Synced(done) => {
                if let Some(compaction) = done.compaction {
                    let (length, took) = (done.length, done.duration.as_millis());
                    log::event("disk", &format!("part {shard}: {compaction:?}, {length} bytes, {took} ms"));
                }
                self.with("saved", |coordinator, now| {
                    coordinator.persisted(now, shard, done.ticket, done.length)
                });
            }
            WriterEvent::Failing(error) => log::error("disk", &format!("part {shard} waits: {error}")),
            WriterEvent::Recovered => log::event("disk", &format!("part {shard} is written again")),
        }
    }

    /// A call of a client, worker or operator.
    pub async fn call(self: Rc<Self>, call: Call) -> Answer {
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let (waits, answered) = oneshot::channel();
        self.answers.borrow_mut().insert(ticket, waits);
        self.with("call", |coordinator, now| coordinator.call(now, ticket, call));
        answered.await.unwrap_or_else(|_| Answer::with_status(503))
    }

    async fn item(self: Rc<Self>, shard: u16, next: ItemRun) {
        let route = {
            let configuration = self.configuration.borrow();
            configuration.as_ref().and_then(|c| c.routes.iter().find(|r| r.name == next.route).cloned())
        };
        let (job, id) = (next.job.clone(), next.item.id.clone());
        let (events, end) = match route {
            None => (Vec::new(), RunOutcome::NoCapacity),
            Some(route) => {
                let left = (next.retain_until - self.clock.now().wall).max(0) / 1000;
                let item = Item {
                    id: next.item.id,
                    route,
                    path: next.item.path,
                    headers: next.item.headers,
                    body: next.item.body,
                    last_event: next.last_event,
                    deadline_ms: left as u64,
                    tried: Vec::new(),
                };
                let ran = self.gateway.item(item).await;
                let end = match ran.end {
                    RanEnd::Complete => RunOutcome::Complete,
                    RanEnd::Failed => RunOutcome::Failed,
                    RanEnd::Never => RunOutcome::Unprocessable,
                    RanEnd::Again => RunOutcome::Interrupted,
                    RanEnd::NoRoom => RunOutcome::NoCapacity,
                };
                (ran.events, end)
            }
        };
        self.with("ran", |coordinator, now| coordinator.item_finished(now, shard, &job, &id, events, end));
    }

    async fn datagrams(self: Rc<Self>) {
        let mut buffer = [0; MOST + 1];
        loop {
            if self.socket.readable().await.is_err() {
                continue;
            }
            for _ in 0..BURST {
                let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else { break };
                if !self.peers.faults().may_receive(from) {
                    continue;
                }
                if let Ok(payload) = self.envelope.open(&buffer[..length]) {
                    self.with("datagram", |coordinator, now| {
                        coordinator.receive_datagram(now, from, payload)
                    });
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Tells the other processes what was seen of workers, for good.
    async fn report(self: Rc<Self>) {
        loop {
            sleep(REPORT).await;
            let seen = self.gateway.reports();
            self.with("report", |coordinator, now| coordinator.report(now, seen));
        }
    }

    async fn timer(self: Rc<Self>) {
        loop {
            let next = self.coordinator.borrow().next_timeout();
            self.rings.set(next);
            tokio::select! {
                biased;
                () = self.sooner.notified() => continue,
                () = sleep_until(self.clock.instant(next)) => {}
            }
            self.with("timer", |coordinator, now| coordinator.handle_timeout(now));
            // Where the next time is now already, sockets come first.
            tokio::task::yield_now().await;
        }
    }

    /// Figures as lines of name and value.
    pub fn metrics(&self) -> String {
        let mut all = self.coordinator.borrow().metrics();
        all.extend(self.gateway.metrics());
        all.extend(self.steps.metrics());
        all.extend(self.peers.metrics());
        all.iter().map(|(name, value)| format!("{name} {value}\n")).collect()
    }
}

fn reply(answer: Answer) -> Reply {
    Reply {
        status: answer.status,
        retry_after: answer.retry_after.map(|r| r as f64 / 1e6),
        body: answer.body,
        json: answer.is_json,
    }
}

/// Where the data plane brings calls on batch jobs.
struct Desk(Rc<Node>);

impl rainlug_gateway::BatchApi for Desk {
    fn submit(&self, route: Rc<Route>, id: String, body: Bytes) -> Replying {
        let call = Call::Submit { job: id, route: route.name.clone(), body };
        let node = self.0.clone();
        Box::pin(async move { reply(node.call(call).await) })
    }

    fn read(&self, id: String, since_item: u64, wait_ms: u64) -> Replying {
        let call = Call::Read { job: id, since: since_item, wait: wait_ms as Time * 1000 };
        let node = self.0.clone();
        Box::pin(async move { reply(node.call(call).await) })
    }

    fn item(&self, id: String, item: String) -> Replying {
        let node = self.0.clone();
        Box::pin(async move { reply(node.call(Call::Body { job: id, item }).await) })
    }

    fn end(&self, id: String) -> Replying {
        let node = self.0.clone();
        Box::pin(async move { reply(node.call(Call::End { job: id }).await) })
    }
}
