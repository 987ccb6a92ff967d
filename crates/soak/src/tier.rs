//! The tier under test: its processes, disks, settings and fault files. What is started here is ended here, by its id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus};

use std::net::Ipv4Addr;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use quick_error::quick_error;
use rainlug_tier::local::{self, Machine, MachineRole, Plan, spawn};
use tokio::time::Instant;
use toml::{Table, Value};

use crate::network::Network;
use crate::options::Limits;

/// Machines that come for others get addresses from here on.
const LATER_ADDRESSES: u8 = 100;
/// As many processes as are ever started of stores that come for others.
const MOST_LATER: u8 = 100;

quick_error! {
    #[derive(Debug)]
    pub enum Error {
        Files(path: PathBuf, source: std::io::Error) { source(source) display("{}: {}", path.display(), source) }
        Start(name: String, source: std::io::Error) { source(source) display("{}: cannot be started: {}", name, source) }
        Plan(source: local::Error) { from() display("{}", source) }
        Settings(name: String, what: String) { display("{}: settings: {}", name, what) }
        Unready(what: &'static str) { display("the tier did not come up: {}", what) }
        Io(source: std::io::Error) { from() display("{}", source) }
    }
}

/// What a machine's process does just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Running {
    Up,
    Paused,
    /// Asked to end.
    Stopping,
    /// Ended by the soak.
    Down,
    /// Ended by itself, and not started again.
    Gone,
}

/// A machine and its process.
pub struct Host {
    pub machine: Machine,
    pub running: Running,
    /// A trouble has it in hand.
    pub is_busy: bool,
    /// It has used its processor time of this period.
    is_throttled: bool,
    /// When it was last killed, paused or resumed.
    disturbed_at: Option<Instant>,
    child: Option<Child>,
}

impl Host {
    /// The id of its process, while it has one.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = self.process().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(process), signal);
        }
    }

    /// Stops the process, or lets it go on unless it is paused.
    pub fn throttle(&mut self, is_throttled: bool) {
        if self.is_throttled == is_throttled {
            return;
        }
        self.is_throttled = is_throttled;
        if matches!(self.running, Running::Up | Running::Stopping) {
            self.signal(if is_throttled { Signal::SIGSTOP } else { Signal::SIGCONT });
        }
    }

    fn is_disturbed(&mut self) {
        self.disturbed_at = Some(Instant::now());
    }

    /// Kills the process, also a paused one, and waits for its end.
    fn kill(&mut self) {
        self.is_disturbed();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All machines of the tier.
pub struct Tier {
    pub plan: Plan,
    program: PathBuf,
    limits: Limits,
    pub hosts: Vec<Host>,
    pub network: Network,
    later: u8,
    first_boot: bool,
}

impl Tier {
    /// Prepares folders and settings; nothing is started yet.
    ///
    /// # Errors
    /// Where folders or files cannot be written.
    pub fn new(plan: Plan, program: PathBuf, limits: Limits) -> Result<Self, Error> {
        for folder in ["settings", "logs", "data", "faults"] {
            let folder = plan.dir.join(folder);
            std::fs::create_dir_all(&folder).map_err(|e| Error::Files(folder.clone(), e))?;
        }
        let host = |machine| Host {
            machine,
            running: Running::Down,
            is_busy: false,
            is_throttled: false,
            disturbed_at: None,
            child: None,
        };
        let hosts = plan.machines().into_iter().map(host).collect();
        let tier =
            Tier { plan, program, limits, hosts, network: Network::default(), later: 0, first_boot: true };
        tier.write_settings()?;
        Ok(tier)
    }

    /// From now on, processes are not the first ones of their machines.
    ///
    /// # Errors
    /// Where settings cannot be written.
    pub fn founded(&mut self) -> Result<(), Error> {
        self.first_boot = false;
        self.write_settings()
    }

    fn write_settings(&self) -> Result<(), Error> {
        let keepers = self.hosts.iter().filter(|host| host.machine.role != MachineRole::Worker);
        keepers.map(|host| &host.machine).try_for_each(|machine| self.write_settings_of(machine))
    }

    fn write_settings_of(&self, machine: &Machine) -> Result<(), Error> {
        let text = self.settings(machine)?;
        write(&self.plan.settings_file(&machine.name), &text)
    }

    /// The settings of `rainlug local`, with this run's limits and fault file.
    fn settings(&self, machine: &Machine) -> Result<String, Error> {
        let wrong = |what: &str| Error::Settings(machine.name.clone(), what.to_owned());
        let text = self.plan.settings_text(machine, self.first_boot);
        let mut all: Table = text.parse().map_err(|e: toml::de::Error| wrong(e.message()))?;
        let fault_file = self.fault_file(&machine.name).to_string_lossy().into_owned();
        all.insert("fault_file".to_owned(), Value::String(fault_file));
        let Limits { memory_mb, disk_mb, status_s, sync_s, link_mbps, tolerate, .. } = self.limits;
        let numbers = [
            ("limits", "memory_mb", Some(memory_mb.into())),
            ("limits", "disk_mb", Some(disk_mb.into())),
            ("limits", "link_mbps", link_mbps.map(i64::from)),
            ("tolerate", "machines", Some(tolerate.into())),
            ("bounds", "status_s", Some(status_s.into())),
            ("bounds", "sync_s", i64::try_from(sync_s).ok()),
        ];
        for (table, name, number) in numbers {
            let table = all.get_mut(table).and_then(Value::as_table_mut).ok_or_else(|| wrong(table))?;
            if let Some(number) = number {
                table.insert(name.to_owned(), Value::Integer(number));
            }
        }
        // A store tells its figures there.
        let listen = all.get_mut("listen").and_then(Value::as_table_mut).ok_or_else(|| wrong("listen"))?;
        listen.insert("control".to_owned(), Value::String(self.plan.control_address(machine).to_string()));
        Ok(all.to_string())
    }

    fn fault_file(&self, name: &str) -> PathBuf {
        self.plan.dir.join("faults").join(name)
    }

    /// What the program is started with, workers fast enough to fill disks.
    fn arguments(&self, machine: &Machine) -> Vec<String> {
        let mut all = self.plan.arguments(machine);
        if machine.role == MachineRole::Worker {
            let words = self.limits.words_per_token.to_string();
            let more =
                ["--slots", "32", "--step-ms", "2", "--step-more-ms", "0.05", "--words-per-token", &words];
            all.extend(more.map(str::to_owned));
        }
        all
    }

    /// Starts a machine's process where it has none.
    ///
    /// # Errors
    /// Where it cannot be started.
    pub fn start(&mut self, index: usize) -> Result<(), Error> {
        let Some(machine) = self.hosts.get(index).map(|host| host.machine.clone()) else { return Ok(()) };
        let (arguments, log) = (self.arguments(&machine), self.plan.log_file(&machine.name));
        self.write_faults()?;
        let Some(host) = self.hosts.get_mut(index).filter(|host| host.child.is_none()) else { return Ok(()) };
        let child = spawn(&self.program, &arguments, &log).map_err(|e| Error::Start(machine.name, e))?;
        host.child = Some(child);
        host.running = Running::Up;
        host.is_throttled = false;
        Ok(())
    }

    /// Kills a machine's process, as a loss of power would end it.
    pub fn kill(&mut self, index: usize) {
        if let Some(host) = self.hosts.get_mut(index) {
            host.kill();
            host.running = Running::Down;
        }
    }

    /// Kills a machine's process that broke a limit; the machine starts it again.
    pub fn kill_by_limit(&mut self, index: usize) {
        if let Some(host) = self.hosts.get_mut(index) {
            host.kill();
            host.running = Running::Gone;
        }
    }

    /// Asks a machine's process to end in order; before that, maybe, to read its settings again.
    pub fn terminate(&mut self, index: usize, is_hung_up: bool) {
        if let Some(host) = self.hosts.get_mut(index).filter(|host| host.running == Running::Up) {
            if is_hung_up {
                host.signal(Signal::SIGHUP);
            }
            host.signal(Signal::SIGTERM);
            host.running = Running::Stopping;
        }
    }

    /// Whether a machine's process has been asked to end and has not ended.
    pub fn is_stopping(&self, index: usize) -> bool {
        self.hosts.get(index).is_some_and(|host| host.running == Running::Stopping)
    }

    /// Whether a machine's process was killed, paused or resumed since then, or is paused.
    pub fn was_disturbed(&self, index: usize, since: Instant) -> bool {
        self.hosts.get(index).is_some_and(|host| {
            host.running == Running::Paused || host.disturbed_at.is_some_and(|disturbed| disturbed >= since)
        })
    }

    /// Stops a machine's process until it is resumed.
    pub fn pause(&mut self, index: usize) {
        if let Some(host) = self.hosts.get_mut(index).filter(|host| host.running == Running::Up) {
            host.signal(Signal::SIGSTOP);
            host.running = Running::Paused;
            host.is_disturbed();
        }
    }

    pub fn resume(&mut self, index: usize) {
        if let Some(host) = self.hosts.get_mut(index).filter(|host| host.running == Running::Paused) {
            host.running = Running::Up;
            host.is_disturbed();
            if !host.is_throttled {
                host.signal(Signal::SIGCONT);
            }
        }
    }

    /// Empties the disk of a machine that is down.
    ///
    /// # Errors
    /// Where its folder cannot be removed.
    pub fn wipe(&mut self, index: usize) -> Result<(), Error> {
        let Some(host) = self.hosts.get(index).filter(|host| host.child.is_none()) else { return Ok(()) };
        let folder = self.plan.data_dir(&host.machine.name);
        match std::fs::remove_dir_all(&folder) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(Error::Files(folder, error)),
            _ => Ok(()),
        }
    }

    /// Takes a retired store away for good and starts another one, under another name and address.
    ///
    /// # Errors
    /// Where that cannot be started.
    pub fn replace(&mut self, index: usize) -> Result<String, Error> {
        self.kill(index);
        self.wipe(index)?;
        self.later = (self.later + 1).min(MOST_LATER);
        let Some(host) = self.hosts.get_mut(index) else { return Ok(String::new()) };
        let name = format!("store-{}", LATER_ADDRESSES + self.later);
        host.machine.name = name.clone();
        host.machine.ip = Ipv4Addr::new(127, 0, 0, LATER_ADDRESSES + self.later);
        let machine = host.machine.clone();
        self.write_settings_of(&machine)?;
        self.start(index)?;
        Ok(name)
    }

    /// Writes all fault files.
    ///
    /// # Errors
    /// Where one cannot be written.
    pub fn write_faults(&self) -> Result<(), Error> {
        let peers: Vec<SocketAddr> =
            self.hosts.iter().map(|host| self.plan.peer_address(&host.machine)).collect();
        for host in self.hosts.iter().filter(|host| host.machine.role != MachineRole::Worker) {
            let text = self.network.faults_of(self.plan.peer_address(&host.machine), &peers);
            let file = self.fault_file(&host.machine.name);
            let next = file.with_extension("next");
            write(&next, &text)?;
            std::fs::rename(&next, &file).map_err(|e| Error::Files(file, e))?;
        }
        Ok(())
    }

    /// Processes that have ended by themselves since the last look.
    pub fn ended(&mut self) -> Vec<(String, ExitStatus)> {
        let mut all = Vec::new();
        for host in &mut self.hosts {
            let status = host.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                host.child = None;
                let was_asked = host.running == Running::Stopping && status.success();
                host.running = if was_asked { Running::Down } else { Running::Gone };
                if !was_asked {
                    all.push((host.machine.name.clone(), status));
                }
            }
        }
        all
    }

    /// Gateways and stores that are down, paused or cut off.
    pub fn away(&self) -> Vec<String> {
        let cut_off = self.network.impaired();
        let is_away = |host: &&Host| {
            host.running != Running::Up || cut_off.contains(&self.plan.peer_address(&host.machine))
        };
        let keepers = self.hosts.iter().filter(|host| host.machine.role != MachineRole::Worker);
        keepers.filter(is_away).map(|host| host.machine.name.clone()).collect()
    }

    /// Machines of these roles, by index.
    pub fn of(&self, roles: &[MachineRole]) -> Vec<usize> {
        let all = self.hosts.iter().enumerate();
        all.filter(|(_, host)| roles.contains(&host.machine.role)).map(|(index, _)| index).collect()
    }

    pub fn name(&self, index: usize) -> String {
        self.hosts.get(index).map(|host| host.machine.name.clone()).unwrap_or_default()
    }
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|e| Error::Files(path.to_owned(), e))
}
