//! A whole small tier on this machine: every process with a loopback address of its own, so that all use the same ports. What
//! is started here is ended here.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use bpaf::Bpaf;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use quick_error::quick_error;
use rainlug_sim_worker::client::{self, Ask};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};
use toml::{Table, Value};

use crate::listings::Workers;
use crate::operator::format_table;

/// What is put first, and a batch job for it.
pub const CONFIGURATION: &str = include_str!("../../../deploy/local/configuration.json");
pub const HOST: &str = "local.example";
/// The service that all workers are of.
const SERVICE: &str = "model";
const ZONES: [&str; 3] = ["north", "middle", "south"];
/// The ports, counted from the base: clients, readiness, control, workers; between processes.
const FRONT: u16 = 0;
const READY: u16 = 1;
const CONTROL: u16 = 2;
const WORK: u16 = 3;
const PEERS: (u16, u16) = (10, 13);
/// The whole tier must be up in this time.
const UP: Duration = Duration::from_secs(30);
/// A process ends in this time after SIGTERM, or is killed.
const ENDS: Duration = Duration::from_secs(8);
/// One that died is started again after this time.
const AGAIN: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(100);
const BEAT_MS: u64 = 1000;

quick_error! {
    #[derive(Debug)]
    pub enum Error {
        Counts { display("--gateways, --stores and --workers: 1 to 50 each expected") }
        Port { display("--base-port: 1 to 65000 expected") }
        Files(path: PathBuf, source: std::io::Error) { source(source) display("{}: {}", path.display(), source) }
        Locked(dir: PathBuf) { display("{}: another `rainlug local` runs here", dir.display()) }
        Layout(dir: PathBuf, was: String) {
            display("{}: holds the state of a tier with {}; name the same, or another --dir", dir.display(), was)
        }
        Taken(at: SocketAddr, source: std::io::Error) {
            source(source)
            display("cannot listen on {} ({}): name another --base-port", at, source)
        }
        Start(name: String, source: std::io::Error) { source(source) display("{}: cannot be started: {}", name, source) }
        Ended(name: String, status: ExitStatus, log: PathBuf) {
            display("{}: ended before the tier was up ({}); see {}", name, status, log.display())
        }
        Slow(what: String) { display("not up within {} s: {}", UP.as_secs(), what) }
        Io(source: std::io::Error) { from() display("{}", source) }
    }
}

/// What is to be started.
#[derive(Clone, Debug, Bpaf)]
pub struct Plan {
    /// Where settings, disks and logs are
    #[bpaf(long, argument("DIR"), fallback(PathBuf::from("target/local")), debug_fallback)]
    pub dir: PathBuf,
    /// Processes that take requests
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub gateways: u8,
    /// Processes that keep batch jobs
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub stores: u8,
    /// Stand-in model workers
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub workers: u8,
    /// The first of the ports that all processes use
    #[bpaf(long, argument("PORT"), fallback(7400), display_fallback)]
    pub base_port: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineRole {
    Gateway,
    Store,
    Worker,
}

/// One process of the tier.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub role: MachineRole,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
}

impl Plan {
    /// # Errors
    /// Where counts or ports are none that there can be.
    pub fn validate(&self) -> Result<(), Error> {
        if [self.gateways, self.stores, self.workers].iter().any(|n| !(1..=50).contains(n)) {
            return Err(Error::Counts);
        }
        if !(1..=65_000).contains(&self.base_port) {
            return Err(Error::Port);
        }
        Ok(())
    }

    /// All processes, from 127.0.0.2 on: gateways, stores, workers.
    pub fn machines(&self) -> Vec<Machine> {
        let roles = [
            (MachineRole::Gateway, "gateway", self.gateways),
            (MachineRole::Store, "store", self.stores),
            (MachineRole::Worker, "worker", self.workers),
        ];
        let mut all = Vec::new();
        let mut last = 1;
        for (role, name, count) in roles {
            for (n, zone) in (1..=count).zip(ZONES.iter().cycle()) {
                last += 1;
                let ip = Ipv4Addr::new(127, 0, 0, last);
                all.push(Machine { name: format!("{name}-{n}"), role, ip, zone });
            }
        }
        all
    }

    /// Machines that may be lost at once with nothing lost.
    fn tolerates(&self) -> u8 {
        u8::from(self.gateways >= 3 && self.stores >= 3)
    }

    /// Where a machine serves clients.
    pub fn front_address(&self, machine: &Machine) -> SocketAddr {
        self.at(machine, FRONT)
    }

    /// Where a machine serves operators, figures and workers.
    pub fn control_address(&self, machine: &Machine) -> SocketAddr {
        self.at(machine, CONTROL)
    }

    /// Where a machine hears its peers.
    pub fn peer_address(&self, machine: &Machine) -> SocketAddr {
        self.at(machine, PEERS.0)
    }

    fn at(&self, machine: &Machine, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(machine.ip), self.base_port + port)
    }

    fn gateways(&self) -> Vec<Machine> {
        self.machines().into_iter().filter(|m| m.role == MachineRole::Gateway).collect()
    }

    /// Where clients, operators and `GET /v1/readiness` call.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        self.gateways().iter().map(|m| self.at(m, FRONT)).collect()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.gateways().iter().map(|m| self.at(m, CONTROL)).collect()
    }

    pub fn readiness_addresses(&self) -> Vec<SocketAddr> {
        self.gateways().iter().map(|m| self.at(m, READY)).collect()
    }

    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.dir.join("settings").join(format!("{name}.toml"))
    }

    /// A gateway's or store's disk.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.dir.join("data").join(name)
    }

    pub fn log_file(&self, name: &str) -> PathBuf {
        self.dir.join("logs").join(format!("{name}.log"))
    }

    /// The settings file of a gateway or store.
    pub fn settings_text(&self, machine: &Machine, first_boot: bool) -> String {
        let text = |text: &str| Value::String(text.to_owned());
        let address = |port| text(&self.at(machine, port).to_string());
        let gateway = machine.role == MachineRole::Gateway;
        let seeds = self.control_addresses().into_iter().take(if self.tolerates() > 0 { 3 } else { 1 });
        let seeds: Vec<Value> = seeds.map(|at| text(&at.to_string())).collect();
        let ports = [PEERS.0, PEERS.1].map(|p| Value::Integer(i64::from(self.base_port + p)));
        let mut listen = Table::new();
        if gateway {
            for (name, port) in [("front", FRONT), ("ready", READY), ("control", CONTROL)] {
                listen.insert(name.to_owned(), address(port));
            }
        }
        let serves = if gateway { vec![text("edge"), text("control")] } else { vec![text("storage")] };
        let table = |pairs: Vec<(&str, Value)>| -> Table {
            pairs.into_iter().map(|(n, v)| (n.to_owned(), v)).collect()
        };
        let limits = vec![
            ("cpu_share", Value::Float(0.45)),
            ("memory_mb", Value::Integer(256)),
            ("max_fds", Value::Integer(1024)),
            ("disk_mb", Value::Integer(256)),
        ];
        let bounds = vec![("grace_s", Value::Integer(6)), ("status_s", Value::Integer(600))];
        let all = vec![
            ("node", text(&machine.name)),
            ("role", text(if gateway { "gateway" } else { "store" })),
            ("zone", text(machine.zone)),
            ("ip", text(&machine.ip.to_string())),
            ("port_range", Value::Array(ports.to_vec())),
            ("seeds", Value::Array(seeds)),
            ("first_boot", Value::Boolean(first_boot)),
            ("data_dir", text(&self.data_dir(&machine.name).to_string_lossy())),
            ("beat_ms", Value::Integer(BEAT_MS as i64)),
            ("serves", Value::Array(serves)),
            ("listen", Value::Table(listen)),
            ("limits", Value::Table(table(limits))),
            ("tolerate", Value::Table(table(vec![("machines", Value::Integer(self.tolerates().into()))]))),
            ("bounds", Value::Table(table(bounds))),
        ];
        format!("# Written by `rainlug local`.\n{}", table(all))
    }

    fn write(&self, path: &Path, text: &str) -> Result<(), Error> {
        std::fs::write(path, text).map_err(|e| Error::Files(path.to_owned(), e))
    }

    fn folder(&self, name: &str) -> Result<PathBuf, Error> {
        let dir = self.dir.join(name);
        std::fs::create_dir_all(&dir).map_err(|e| Error::Files(dir.clone(), e))?;
        Ok(dir)
    }

    fn layout(&self) -> String {
        format!("--gateways {} --stores {} --base-port {}", self.gateways, self.stores, self.base_port)
    }

    /// Takes the folder: locked, and of this layout. Whether a tier was founded in it.
    fn take(&self) -> Result<(File, bool), Error> {
        for name in ["settings", "logs", "data"] {
            self.folder(name)?;
        }
        let lock = self.dir.join("lock");
        let file = File::create(&lock).map_err(|e| Error::Files(lock.clone(), e))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::Locked(self.dir.clone())),
            Err(TryLockError::Error(e)) => return Err(Error::Files(lock, e)),
        }
        let layout = self.dir.join("layout");
        match std::fs::read_to_string(&layout) {
            Ok(was) if was.trim() == self.layout() => {}
            Ok(was) => return Err(Error::Layout(self.dir.clone(), was.trim().replace(['\n', '\r'], " "))),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => self.write(&layout, &self.layout())?,
            Err(e) => return Err(Error::Files(layout, e)),
        }
        Ok((file, self.founded().exists()))
    }

    fn founded(&self) -> PathBuf {
        self.dir.join("founded")
    }

    fn write_settings(&self, first_boot: bool) -> Result<(), Error> {
        for machine in self.machines().iter().filter(|m| m.role != MachineRole::Worker) {
            self.write(&self.settings_file(&machine.name), &self.settings_text(machine, first_boot))?;
        }
        Ok(())
    }

    /// Finds that all addresses are free.
    ///
    /// # Errors
    /// The first one that is not.
    pub fn check_addresses_free(&self) -> Result<(), Error> {
        for machine in self.machines() {
            let ports = match machine.role {
                MachineRole::Gateway => vec![FRONT, READY, CONTROL, PEERS.0],
                MachineRole::Store => vec![PEERS.0],
                MachineRole::Worker => vec![WORK],
            };
            for at in ports.into_iter().map(|port| self.at(&machine, port)) {
                TcpListener::bind(at).map_err(|e| Error::Taken(at, e))?;
            }
        }
        Ok(())
    }

    /// What the program is started with for a machine.
    pub fn arguments(&self, machine: &Machine) -> Vec<String> {
        let settings = self.settings_file(&machine.name).to_string_lossy().into_owned();
        let mut all: Vec<String> = match machine.role {
            MachineRole::Gateway => vec!["gateway".into(), "--settings".into(), settings],
            MachineRole::Store => vec!["store".into(), "--settings".into(), settings],
            MachineRole::Worker => {
                let at = self.at(machine, WORK).to_string();
                let told = [
                    ("--name", machine.name.clone()),
                    ("--service", SERVICE.to_owned()),
                    ("--zone", machine.zone.to_owned()),
                    ("--at", at),
                    ("--beat-ms", BEAT_MS.to_string()),
                    ("--drain-ms", "1000".to_owned()),
                ];
                let controls = self.control_addresses().into_iter().map(|at| ("--control", at.to_string()));
                let told =
                    told.into_iter().chain(controls).flat_map(|(name, value)| [name.to_owned(), value]);
                std::iter::once("worker".to_owned()).chain(told).collect()
            }
        };
        all.push("--tied".to_owned());
        all
    }
}

/// Starts a process whose output goes to the end of a log. It has a group of its own: Ctrl-C is for this process, which ends the
/// others in order. With `--tied` it ends by itself should this process be killed, as its standard input ends with it.
///
/// # Errors
/// Where the log cannot be opened or the program not started.
pub fn spawn(program: &Path, arguments: &[String], log: &Path) -> std::io::Result<Child> {
    let output = OpenOptions::new().create(true).append(true).open(log)?;
    let errors = output.try_clone()?;
    Command::new(program)
        .args(arguments)
        .env_remove("RAINLUG_SETTINGS")
        .stdin(Stdio::piped())
        .stdout(output)
        .stderr(errors)
        .process_group(0)
        .spawn()
}

/// A process that was started here.
struct Started {
    machine: Machine,
    child: Child,
    /// When it was seen to have ended.
    over: Option<Instant>,
}

impl Started {
    fn start(plan: &Plan, machine: Machine) -> Result<Self, Error> {
        let log = plan.log_file(&machine.name);
        let failed = |e| Error::Start(machine.name.clone(), e);
        let program = std::env::current_exe().map_err(failed)?;
        let child = spawn(&program, &plan.arguments(&machine), &log).map_err(failed)?;
        Ok(Started { machine, child, over: None })
    }

    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn tell_to_end(&self) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), Signal::SIGTERM);
        }
    }
}

/// A tier that runs.
struct Tier {
    plan: Plan,
    all: Vec<Started>,
    _lock: File,
}

impl Drop for Tier {
    /// Whatever way this process goes, none of its own stays.
    fn drop(&mut self) {
        for started in &mut self.all {
            if started.ended().is_none() {
                let _ = started.child.kill();
                let _ = started.child.wait();
            }
        }
    }
}

impl Tier {
    /// Ends all in order: workers, while there is somebody to hear their drains; those who take requests; stores.
    async fn end(&mut self) {
        for role in [MachineRole::Worker, MachineRole::Gateway, MachineRole::Store] {
            let mut these: Vec<&mut Started> =
                self.all.iter_mut().filter(|s| s.machine.role == role).collect();
            these.iter_mut().filter(|s| s.over.is_none()).for_each(|s| s.tell_to_end());
            let until = Instant::now() + ENDS;
            while these.iter_mut().any(|s| s.ended().is_none()) && Instant::now() < until {
                sleep(LOOK / 4).await;
            }
            for started in these {
                if started.ended().is_none() {
                    eprintln!("rainlug: {} did not end in time and is killed", started.machine.name);
                    let _ = started.child.kill();
                    let _ = started.child.wait();
                }
            }
        }
    }

    /// Waits for something; an error where a process ends or the time does.
    async fn until(
        &mut self,
        what: &str,
        until: Instant,
        mut holds: impl AsyncFnMut(&Plan) -> bool,
    ) -> Result<(), Error> {
        loop {
            for started in &mut self.all {
                if let Some(status) = started.ended() {
                    let name = started.machine.name.clone();
                    let log = self.plan.log_file(&name);
                    return Err(Error::Ended(name, status, log));
                }
            }
            if holds(&self.plan).await {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(Error::Slow(what.to_owned()));
            }
            sleep(LOOK).await;
        }
    }

    /// Waits until all of it serves, and puts the first configuration.
    async fn up(&mut self, founded: bool) -> Result<(), Error> {
        let until = Instant::now() + UP;
        if !founded {
            self.until("nobody takes a configuration", until, async |plan| {
                let fields = [("If-Match", "0"), ("Content-Type", "application/json")];
                let put = Ask {
                    method: "PUT",
                    path: "/v1/configuration",
                    fields: &fields,
                    body: CONFIGURATION.as_bytes(),
                };
                status(plan.control_addresses().first(), put).await == Some(200)
            })
            .await?;
        }
        self.until("a gateway is not ready", until, async |plan| {
            for at in plan.readiness_addresses() {
                if status(Some(&at), Ask::get("/v1/readiness")).await != Some(200) {
                    return false;
                }
            }
            true
        })
        .await?;
        self.until("workers are not known", until, async |plan| {
            let Some(at) = plan.control_addresses().first().copied() else { return false };
            let Ok(told) = client::call(at, Ask::get("/v1/workers"), Duration::from_secs(1)).await else {
                return false;
            };
            crate::operator::parse_json::<Workers>(&told.body, "workers").is_ok_and(|w| {
                w.workers.iter().filter(|w| w.phase == "ready").count() >= usize::from(plan.workers)
            })
        })
        .await?;
        self.until("the stores do not keep batch jobs yet", until, async |plan| {
            let fields = [("Host", HOST)];
            let read = Ask { method: "GET", path: "/v1/lots/none", fields: &fields, body: b"" };
            status(plan.front_addresses().first(), read).await == Some(404)
        })
        .await
    }

    /// Starts again what has died a while ago.
    fn mend(&mut self) {
        for started in &mut self.all {
            let name = started.machine.name.clone();
            match started.over {
                None => {
                    if let Some(status) = started.ended() {
                        eprintln!(
                            "rainlug: {name} has ended ({status}), it is started again in {} s",
                            AGAIN.as_secs()
                        );
                        started.over = Some(Instant::now());
                    }
                }
                Some(over) if over.elapsed() >= AGAIN => {
                    match Started::start(&self.plan, started.machine.clone()) {
                        Ok(again) => {
                            eprintln!("rainlug: {name} is started again, process {}", again.child.id());
                            *started = again;
                        }
                        Err(error) => {
                            eprintln!("rainlug: {error}");
                            started.over = Some(Instant::now());
                        }
                    }
                }
                Some(_) => {}
            }
        }
    }

    fn shown(&self) -> String {
        let plan = &self.plan;
        let row = |s: &Started| {
            let m = &s.machine;
            let at = |port| plan.at(m, port).to_string();
            let (serves, control) = match m.role {
                MachineRole::Gateway => (at(FRONT), at(CONTROL)),
                MachineRole::Store => ("-".to_owned(), "-".to_owned()),
                MachineRole::Worker => (at(WORK), "-".to_owned()),
            };
            vec![m.name.clone(), m.zone.to_owned(), s.child.id().to_string(), serves, control]
        };
        let rows: Vec<Vec<String>> = self.all.iter().map(row).collect();
        let (front, control) = (plan.front_addresses(), plan.control_addresses());
        let other = front.last().map(SocketAddr::to_string).unwrap_or_default();
        let (front, control) =
            (front.first().map(SocketAddr::to_string), control.first().map(SocketAddr::to_string));
        let (front, control) = (front.unwrap_or_default(), control.unwrap_or_default());
        let program = std::env::args().next().unwrap_or_else(|| "rainlug".to_owned());
        format!(
            "{}
A request, a stream, a batch job:

  curl -s -H 'Host: {HOST}' -H 'X-Rainlug-Attempt-Id: '$(date +%s%N) http://{front}/ask/me
  curl -sN -X POST -H 'Host: {HOST}' -H 'X-Rainlug-Attempt-Id: '$(date +%s%N) -H 'X-Rainlug-Model: m' \\
    -H 'X-Rainlug-Token-Count: 300,40' -H 'X-Rainlug-Prompt-Prefix: a1:200,b1:100' -d hello http://{front}/chat/1
  curl -s -i -H 'Host: {HOST}' -H 'X-Rainlug-Attempt-Id: lot1' -H 'Content-Type: application/json' \\
    -d @deploy/local/lot.json http://{front}/batch/lot1
  {program} lot lot1 --at {other} --host {HOST}

What the tier knows: {program} members|workers|parts|stores|figures --at {control}
Kill any process by the number above; it is started again after {} s. Logs: {}
Ctrl-C ends all of it.
",
            format_table(&["NAME", "ZONE", "PROCESS", "SERVES", "CONTROL"], &rows),
            AGAIN.as_secs(),
            plan.dir.join("logs").display(),
        )
    }
}

async fn status(at: Option<&SocketAddr>, ask: Ask<'_>) -> Option<u16> {
    client::call(*at?, ask, Duration::from_millis(1500)).await.ok().map(|told| told.status)
}

/// Starts a tier, and serves until SIGINT or SIGTERM.
///
/// # Errors
/// Where it does not come up; nothing is left running then.
pub async fn run(mut plan: Plan) -> Result<(), Error> {
    plan.validate()?;
    std::fs::create_dir_all(&plan.dir).map_err(|e| Error::Files(plan.dir.clone(), e))?;
    plan.dir = plan.dir.canonicalize().map_err(|e| Error::Files(plan.dir.clone(), e))?;
    let (lock, founded) = plan.take()?;
    plan.check_addresses_free()?;
    plan.write_settings(!founded)?;
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let told = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::pin!(told);
    let mut tier = Tier { plan: plan.clone(), all: Vec::new(), _lock: lock };
    for machine in plan.machines() {
        tier.all.push(Started::start(&plan, machine)?);
    }
    println!("starting {} processes under {}", tier.all.len(), plan.dir.display());
    let up = tokio::select! {
        up = tier.up(founded) => Some(up),
        () = &mut told => None,
    };
    match up {
        Some(Ok(())) => {
            plan.write_settings(false)?;
            plan.write(&plan.founded(), "")?;
            println!("{}", tier.shown());
            let _ = std::io::stdout().flush();
            loop {
                tokio::select! {
                    () = &mut told => break,
                    () = sleep(LOOK) => tier.mend(),
                }
            }
        }
        Some(Err(error)) => {
            tier.end().await;
            return Err(error);
        }
        None => {}
    }
    println!("ending all in order");
    tier.end().await;
    Ok(())
}
