//! One process's coordinator with what it acts on: sockets, disk and gateway. The node hands it what happens and carries its effects
//! out; it decides nothing itself.
//!
//! All runs on one thread. [`Node::step`] is the only way to the coordinator: effects are carried out, in order, before it
//! returns.

mod batch;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rainlug::Time;
use rainlug_coordinator::{Answer, Call, Coordinator, Effect, Now};
use rainlug_fleet::envelope::{Envelope, MOST as MAX_DATAGRAM_BYTES};
use rainlug_gateway::Gateway;
use rainlug_registry::Configuration;
use rainlug_wal::WriterEvent;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

pub(crate) use self::batch::BatchCalls;
use crate::clock::Clock;
use crate::control::AnswerCounts;
use crate::disk::{Disk, WriterReport};
use crate::log;
use crate::peers::{Frame, Peers};
use crate::step_times::StepTimes;

/// What the envelope of each datagram names: datagrams of other programs are dropped.
const TIER_NAME: &str = "rainlug";
/// Datagrams that are read before other tasks run.
const MAX_DATAGRAM_BURST: usize = 32;
/// Between two reports on workers to the other processes.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A process of the tier.
pub struct Node {
    clock: Clock,
    coordinator: RefCell<Coordinator>,
    datagrams: UdpSocket,
    envelope: Envelope,
    peers: Rc<Peers>,
    disk: RefCell<Option<Disk>>,
    gateway: Rc<Gateway>,
    /// Calls that wait for their answers, by ticket.
    pending_calls: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    last_ticket: Cell<u64>,
    /// Whether calls are answered 503 without being made, as the process ends.
    refuses_calls: Cell<bool>,
    /// The configuration in force.
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// When the timer fires, on the steady clock.
    timer_at: Cell<Time>,
    /// Wakes the timer, which then reads when it has to fire.
    timer_changed: Notify,
    is_applying_effects: Cell<bool>,
    step_times: StepTimes,
    answer_counts: AnswerCounts,
}

impl Node {
    /// A node that listens for its peers at `peer`; it does nothing before [`Node::spawn_tasks`].
    pub(crate) fn new(
        clock: Clock,
        coordinator: Coordinator,
        peer: SocketAddr,
        datagrams: UdpSocket,
        disk: Option<Disk>,
        gateway: Rc<Gateway>,
    ) -> Rc<Self> {
        Rc::new(Node {
            clock,
            coordinator: RefCell::new(coordinator),
            datagrams,
            envelope: Envelope::of(TIER_NAME),
            peers: Peers::new(peer),
            disk: RefCell::new(disk),
            gateway,
            pending_calls: RefCell::default(),
            last_ticket: Cell::new(0),
            refuses_calls: Cell::new(false),
            configuration: RefCell::default(),
            timer_at: Cell::new(0),
            timer_changed: Notify::new(),
            is_applying_effects: Cell::new(false),
            step_times: StepTimes::default(),
            answer_counts: AnswerCounts::default(),
        })
    }

    /// Starts the tasks that bring the coordinator what happens: frames, datagrams, times, reports of the disk and of workers.
    pub(crate) fn spawn_tasks(
        self: &Rc<Self>,
        connections: TcpListener,
        writer_reports: mpsc::UnboundedReceiver<WriterReport>,
        fault_file: Option<PathBuf>,
    ) {
        let node = self.clone();
        let on_frame = Rc::new(move |from, bytes: Bytes| {
            node.step("frame", |coordinator, now| {
                let _ = coordinator.receive_frame(now, from, &bytes);
            });
        });
        let node = Rc::downgrade(self);
        self.peers.on_unreachable(Rc::new(move |at| {
            if let Some(node) = node.upgrade() {
                node.step("unreachable", |coordinator, now| coordinator.peer_unreachable(now, at));
            }
        }));
        if let Some(file) = fault_file {
            spawn_local(self.peers.faults().clone().watch(file));
        }
        spawn_local(self.peers.clone().listen(connections, on_frame));
        spawn_local(self.clone().receive_datagrams());
        spawn_local(self.clone().run_timer());
        spawn_local(self.gateway.clone().run());
        spawn_local(self.clone().report_workers());
        spawn_local(self.clone().receive_writer_reports(writer_reports));
    }

    /// The data plane.
    pub(crate) fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// How calls at the control address were answered.
    pub(crate) fn answer_counts(&self) -> &AnswerCounts {
        &self.answer_counts
    }

    /// Whether the process can serve.
    pub(crate) fn is_ready(&self) -> bool {
        self.coordinator.borrow().is_ready(self.clock.now())
    }

    /// Whether this process leads any shard.
    pub(crate) fn leads_any_shard(&self) -> bool {
        self.coordinator.borrow().leads_any_shard()
    }

    /// Whether a leader has still to say whether a replica set goes on without this process.
    pub(crate) fn is_departing(&self) -> bool {
        self.coordinator.borrow().is_departing(self.clock.now())
    }

    /// Hands something to the coordinator, and carries out the effects. `kind` names the step in the log, should it take long.
    pub(crate) fn step<R>(
        self: &Rc<Self>,
        kind: &'static str,
        action: impl FnOnce(&mut Coordinator, Now) -> R,
    ) -> R {
        let started = Instant::now();
        let result = action(&mut self.coordinator.borrow_mut(), self.clock.now());
        self.apply_effects();
        self.step_times.record(kind, started.elapsed());
        result
    }

    /// Carries out effects until there are none. A step inside an effect leaves its own to the loop that runs already.
    fn apply_effects(self: &Rc<Self>) {
        if self.is_applying_effects.replace(true) {
            return;
        }
        loop {
            let effects = self.coordinator.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.apply_effect(effect));
        }
        self.is_applying_effects.set(false);
        if self.coordinator.borrow().next_timeout() < self.timer_at.get() {
            self.timer_changed.notify_one();
        }
    }

    fn apply_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            // What the socket does not take now is lost, as any datagram may be.
            Effect::Datagram { to, .. } if !self.peers.faults().may_send(to) => {}
            Effect::Datagram { to, bytes } => {
                let _ = self.datagrams.try_send_to(&self.envelope.seal(&bytes), to);
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
            Effect::ReplaceDiskIdentity { disk: id } => {
                if let Some(Err(error)) = self.disk.borrow_mut().as_mut().map(|d| d.renew_identity(id)) {
                    log::error("disk", &error.to_string());
                }
            }
            Effect::Answer { ticket, answer } => {
                if let Some(caller) = self.pending_calls.borrow_mut().remove(&ticket) {
                    let _ = caller.send(answer);
                }
            }
            Effect::Configuration { version, text } => self.configure(version, &text),
            Effect::Worker(worker) => self.gateway.worker(&worker),
            Effect::PeerCount(count) => self.gateway.others(count),
            Effect::Reports(reports) => self.gateway.reported(&reports),
            Effect::RunItem { shard, next } => {
                spawn_local(self.clone().run_item(shard, next));
            }
            Effect::Log(kind, text) => log::event(kind, &text),
        }
    }

    /// Puts a configuration in force.
    fn configure(&self, version: u64, text: &Bytes) {
        if let Ok(configuration) = Configuration::parse(text) {
            let configuration = Rc::new(configuration);
            *self.configuration.borrow_mut() = Some(configuration.clone());
            self.gateway.configure(configuration);
            log::event("configuration", &format!("version {version} is in force"));
        }
    }

    /// From now on calls are answered 503 without being made; those that have been made go on.
    pub(crate) fn refuse_calls(&self) {
        self.refuses_calls.set(true);
    }

    /// Whether a call has been made and not been answered.
    pub(crate) fn has_pending_calls(&self) -> bool {
        !self.pending_calls.borrow().is_empty()
    }

    /// A call of a client, worker or operator, and its answer.
    pub(crate) async fn call(self: Rc<Self>, call: Call) -> Answer {
        if self.refuses_calls.get() {
            return Answer::with_status(503);
        }
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let (caller, answer) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(ticket, caller);
        self.step("call", |coordinator, now| coordinator.call(now, ticket, call));
        answer.await.unwrap_or_else(|_| Answer::with_status(503))
    }

    /// Hands the coordinator what the disk's writers report; reports on logs of an earlier identity are dropped.
    async fn receive_writer_reports(
        self: Rc<Self>,
        mut writer_reports: mpsc::UnboundedReceiver<WriterReport>,
    ) {
        while let Some(report) = writer_reports.recv().await {
            let is_current = self.disk.borrow().as_ref().is_some_and(|disk| disk.id() == report.disk);
            if is_current {
                self.handle_writer_event(report.shard, report.event);
            }
        }
    }

    /// A disk that fails ends nothing: what is not persisted is not acknowledged.
    fn handle_writer_event(self: &Rc<Self>, shard: u16, event: WriterEvent) {
        match event {
            WriterEvent::Synced(synced) => {
                if let Some(compaction) = synced.compaction {
                    let (length, took) = (synced.length, synced.duration.as_millis());
                    log::event("disk", &format!("shard {shard}: {compaction:?}, {length} bytes, {took} ms"));
                }
                self.step("saved", |coordinator, now| {
                    coordinator.persisted(now, shard, synced.ticket, synced.length)
                });
            }
            WriterEvent::Failing(error) => log::error("disk", &format!("shard {shard} waits: {error}")),
            WriterEvent::Recovered => log::event("disk", &format!("shard {shard} is written again")),
        }
    }

    async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            if self.datagrams.readable().await.is_err() {
                continue;
            }
            for _ in 0..MAX_DATAGRAM_BURST {
                let Ok((length, from)) = self.datagrams.try_recv_from(&mut buffer) else { break };
                if !self.peers.faults().may_receive(from) {
                    continue;
                }
                if let Ok(payload) = self.envelope.open(&buffer[..length]) {
                    self.step("datagram", |coordinator, now| {
                        coordinator.receive_datagram(now, from, payload)
                    });
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Tells the other processes what the gateway saw of workers, again and again.
    async fn report_workers(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let reports = self.gateway.reports();
            self.step("report", |coordinator, now| coordinator.report(now, reports));
        }
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let next = self.coordinator.borrow().next_timeout();
            self.timer_at.set(next);
            tokio::select! {
                biased;
                () = self.timer_changed.notified() => continue,
                () = sleep_until(self.clock.instant(next)) => {}
            }
            self.step("timer", |coordinator, now| coordinator.handle_timeout(now));
            // Where the next time is now already, sockets come first.
            tokio::task::yield_now().await;
        }
    }

    /// All metrics of the process, as lines of name and value.
    pub(crate) fn metrics(&self) -> String {
        let mut all = self.coordinator.borrow().metrics();
        all.extend(self.gateway.metrics());
        all.extend(self.step_times.metrics());
        all.extend(self.answer_counts.metrics());
        all.extend(self.peers.metrics());
        all.iter().map(|(name, value)| format!("{name} {value}\n")).collect()
    }
}
