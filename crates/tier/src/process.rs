//! A gateway or store from its start to its end: settings, disk and sockets opened, the [`Node`] and its servers run, a graceful
//! shutdown.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use rainlug::Time;
pub use rainlug_coordinator::ProcessRole;
use rainlug_coordinator::{Coordinator, NodeInfo, RETENTION_SLACK, founding_id};
use rainlug_gateway::{Gateway, GatewaySettings};
use rainlug_placement::Mechanisms;
use rand::TryRngCore;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::clock::Clock;
use crate::disk::{Disk, ShardLog, WriterReport};
use crate::node::{BatchCalls, Node};
use crate::settings::{self, Settings};
use crate::signals::Signals;
use crate::{control, log, metrics};

/// Between two attempts to open a disk that refuses calls.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A process that ends waits for the batch items that it runs, so that they are not run again: for this part of the time to stop, and
/// for no longer than this.
const ITEM_DRAIN_PART: u32 = 3;
const MAX_ITEM_DRAIN_TIME: Duration = Duration::from_millis(2500);
/// A process that ends waits no longer than this for others to lead its shards: the time of an election, which they then need anyway.
const TRANSFER_TIME: Duration = Duration::from_millis(400);
/// Between two looks whether they do.
const TRANSFER_POLL: Duration = Duration::from_millis(10);
/// Calls of operators and workers are waited for until this part of the time to stop is left.
const CALL_RESERVE_PART: u32 = 6;
/// A process that ends has this long to tell its peers.
const LEAVE_TIME: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a process could not start or go on.
    #[derive(Debug)]
    pub enum Error {
        /// There are no settings.
        Settings(source: settings::Error) { from() display("{}", source) }
        /// An address is taken, or not this machine's.
        Listen(at: SocketAddr, source: std::io::Error) { source(source) display("cannot listen on {}: {}", at, source) }
        /// The disk is damaged.
        Disk(source: rainlug_wal::Error) { from() display("{}", source) }
        /// A log's records are sound and cannot be read.
        Log(source: rainlug_consensus::DecodeError) { from() display("a wal holds what is not this program's: {}", source) }
        /// The settings lack what the role needs.
        Missing(place: &'static str) { display("{}: needed by this role", place) }
        /// The system refuses signal handlers or a runtime.
        Io(source: std::io::Error) { from() display("{}", source) }
    }
}

/// A number from the system's random source.
fn random_u64() -> u64 {
    rand::rngs::OsRng.try_next_u64().unwrap_or_else(|_| std::process::id().into())
}

async fn listen(at: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(at).await.map_err(|e| Error::Listen(at, e))
}

/// Opens the disk; one that refuses calls is tried again until it does not.
async fn open_disk(
    dir: &Path,
    capacity: u64,
    new_id: u64,
    reports: mpsc::UnboundedSender<WriterReport>,
) -> Result<(Disk, Vec<ShardLog>), Error> {
    let mut is_failing = false;
    loop {
        match Disk::open(dir, capacity, new_id, reports.clone()) {
            Err(error @ rainlug_wal::Error::Io(..)) => {
                if !std::mem::replace(&mut is_failing, true) {
                    log::error("disk", &format!("waits: {error}"));
                }
                sleep(DISK_RETRY_INTERVAL).await;
            }
            opened => return Ok(opened?),
        }
    }
}

/// Capacity of the process's disk, in bytes.
fn disk_bytes(settings: &Settings) -> u64 {
    (settings.limits.disk_mb.max(1.0) * 1e6) as u64
}

/// What the coordinator is told of its process.
fn node_info(
    role: ProcessRole,
    settings: &Settings,
    mechanisms: Mechanisms,
    disk: Option<&Disk>,
) -> NodeInfo {
    NodeInfo {
        node_name: settings.node.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address(),
        control_address: settings.listen.control,
        role,
        disk: disk.map(Disk::id),
        first_boot: settings.first_boot,
        seeds: settings.seed_peer_addresses(),
        tolerated_failures: settings.tolerate.machines as usize,
        heartbeat_interval: settings.heartbeat_ms as Time * 1000,
        disk_bytes: disk_bytes(settings) as usize,
        memory_bytes: (settings.limits.memory_mb * 1e6) as usize,
        link_bytes_per_second: settings.limits.link_bytes_per_second(),
        sync_time: settings.bounds.sync_time(),
        relays_enabled: mechanisms.contains(Mechanisms::RELAYS),
        job_retention: (settings.bounds.status_s * 1e6) as Time + RETENTION_SLACK,
        serves_primitives: settings.serves_primitives(),
        watch_history: settings.bounds.watch_history() + RETENTION_SLACK,
        seed: random_u64(),
    }
}

fn gateway_settings(settings: &Settings, mechanisms: Mechanisms) -> GatewaySettings {
    GatewaySettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        memory_mb: settings.limits.memory_mb as usize,
        max_fds: settings.limits.max_fds as usize,
        grace_s: settings.bounds.grace_s,
        pass_ms: settings.bounds.pass_ms as u64,
        seed: random_u64(),
        mechanisms,
    }
}

/// Opens the disk that the settings name, if they do, and the logs that it holds.
async fn open_configured_disk(
    role: ProcessRole,
    settings: &Settings,
    reports: mpsc::UnboundedSender<WriterReport>,
) -> Result<(Option<Disk>, Vec<ShardLog>), Error> {
    let peer = settings.peer_address();
    let founds_tier =
        settings.first_boot && role == ProcessRole::Gateway && settings.seed_peer_addresses().contains(&peer);
    let new_id = if founds_tier { founding_id(peer) } else { random_u64().max(1) };
    let Some(dir) = &settings.data_dir else { return Ok((None, Vec::new())) };
    let (disk, logs) = open_disk(dir, disk_bytes(settings), new_id, reports).await?;
    Ok((Some(disk), logs))
}

/// Starts a process in a role and serves until it is asked to end.
///
/// # Errors
/// Where settings, sockets or disk cannot be used.
pub async fn run(role: ProcessRole, settings: Settings, mechanisms: Mechanisms) -> Result<(), Error> {
    // First of all: a signal without a handler would end a process that serves already.
    let mut signals = Signals::install()?;
    let node = tokio::select! {
        biased;
        started = start(role, &settings, mechanisms) => started?,
        () = signals.stop() => return Ok(()),
    };
    signals.stop().await;
    stop(&node, role, settings.bounds.grace()).await;
    Ok(())
}

/// Opens the disk, founds or joins the tier, and starts the servers.
async fn start(role: ProcessRole, settings: &Settings, mechanisms: Mechanisms) -> Result<Rc<Node>, Error> {
    let clock = Clock::start();
    let (reports, writer_reports) = mpsc::unbounded_channel();
    let (disk, logs) = open_configured_disk(role, settings, reports).await?;
    let info = node_info(role, settings, mechanisms, disk.as_ref());
    let peer = info.peer_address;
    let datagrams = UdpSocket::bind(peer).await.map_err(|e| Error::Listen(peer, e))?;
    let connections = listen(peer).await?;
    let gateway = Gateway::new(gateway_settings(settings, mechanisms));
    let coordinator = Coordinator::new(info, logs, clock.now())?;
    let node = Node::new(clock, coordinator, peer, datagrams, disk, gateway);
    log::event("start", &format!("{role:?}, peers at {peer}"));
    node.spawn_tasks(connections, writer_reports, settings.fault_file.clone());
    spawn_servers(&node, role, settings).await?;
    node.step("start", |_, _| ());
    Ok(node)
}

/// Starts the servers of the addresses that the settings name.
async fn spawn_servers(node: &Rc<Node>, role: ProcessRole, settings: &Settings) -> Result<(), Error> {
    if let Some(at) = settings.listen.control {
        spawn_local(control::serve(node.clone(), listen(at).await?));
    }
    let measured = node.clone();
    spawn_local(metrics::start(settings.ip, Rc::new(move || measured.metrics())));
    if role == ProcessRole::Gateway {
        let front = settings.listen.front.ok_or(Error::Missing("listen.front"))?;
        let batch_calls = Rc::new(BatchCalls::new(node.clone()));
        spawn_local(node.gateway().clone().serve(listen(front).await?, batch_calls));
    }
    if let Some(at) = settings.listen.ready {
        let checked = node.clone();
        let is_ready = Rc::new(move || checked.is_ready());
        spawn_local(node.gateway().clone().readiness(listen(at).await?, is_ready));
    }
    Ok(())
}

/// Hands over the shards that this process leads once the items that it runs have ended, and waits for that.
async fn transfer_leaderships(node: &Rc<Node>, grace: Duration) {
    let drain_time = (grace / ITEM_DRAIN_PART).min(MAX_ITEM_DRAIN_TIME);
    node.step("hand over", |coordinator, now| {
        coordinator.transfer_leaderships(now, now.steady + drain_time.as_micros() as Time)
    });
    let end = Instant::now() + drain_time + TRANSFER_TIME;
    while node.leads_any_shard() && Instant::now() < end {
        sleep(TRANSFER_POLL).await;
    }
}

/// Waits until the replica sets that can go on without this process do, or the time is over.
async fn leave_replica_sets(node: &Rc<Node>, end: Instant) {
    while node.is_departing() && Instant::now() < end {
        sleep(TRANSFER_POLL).await;
    }
}

/// Waits until every call that has been made is answered, or the time is over. Calls that come now are refused: others serve them.
async fn drain_calls(node: &Rc<Node>, end: Instant) {
    node.refuse_calls();
    while node.has_pending_calls() && Instant::now() < end {
        sleep(TRANSFER_POLL).await;
    }
}

/// Shuts down in order: leaderships and requests first, then memberships in replica sets, calls, and the membership of the tier.
async fn stop(node: &Rc<Node>, role: ProcessRole, grace: Duration) {
    log::event("stop", "told to end");
    let calls_end = Instant::now() + grace - grace / CALL_RESERVE_PART;
    node.step("depart", |coordinator, now| coordinator.depart(now));
    if role == ProcessRole::Gateway {
        // Bounded by itself: it ends before the grace period does.
        tokio::join!(transfer_leaderships(node, grace), node.gateway().stop());
    } else {
        transfer_leaderships(node, grace).await;
    }
    leave_replica_sets(node, calls_end).await;
    drain_calls(node, calls_end).await;
    node.step("leave", |coordinator, now| coordinator.leave(now));
    sleep(LEAVE_TIME).await;
    log::event("stop", "ended");
}
