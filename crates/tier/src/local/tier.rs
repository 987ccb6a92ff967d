//! The processes of a tier that runs: started, restarted where they end, and shut down in order.

use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rainlug_sim_worker::client::{self, Ask};
use tokio::time::{Instant, sleep};

use super::plan::{Machine, MachineRole, Plan};
use super::{CONFIGURATION, Error, HOST};
use crate::listings::Workers;
use crate::operator::parse_json;

/// The whole tier must be up in this time.
pub(super) const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// A process that does not end in this time after SIGTERM is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// A process that ended is started again after this time.
pub(super) const RESTART_DELAY: Duration = Duration::from_secs(5);
/// Between two checks of the processes.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same while the tier shuts down.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A call at a process is answered in this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a process whose output goes to the end of a log. It has a process group of its own: Ctrl-C is for this process, which ends
/// the others in order. With `--tied` it ends by itself should this process be killed, as its standard input ends with it.
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
pub(super) struct Process {
    pub(super) machine: Machine,
    child: Child,
    /// When it was seen to have ended.
    ended_at: Option<Instant>,
}

impl Process {
    fn start(plan: &Plan, machine: Machine) -> Result<Self, Error> {
        let log = plan.log_file(&machine.name);
        let start_error = |e| Error::Start(machine.name.clone(), e);
        let program = std::env::current_exe().map_err(start_error)?;
        let child = spawn(&program, &plan.arguments(&machine), &log).map_err(start_error)?;
        Ok(Process { machine, child, ended_at: None })
    }

    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it did.
    fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn terminate(&self) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), Signal::SIGTERM);
        }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A tier that runs.
pub(super) struct Tier {
    pub(super) plan: Plan,
    pub(super) processes: Vec<Process>,
    /// The lock on the tier's folder.
    _lock: File,
}

impl Drop for Tier {
    /// However this process ends, none of the tier's stays.
    fn drop(&mut self) {
        for process in &mut self.processes {
            if process.exit_status().is_none() {
                process.kill();
            }
        }
    }
}

impl Tier {
    /// Starts all processes of a plan whose folder is locked.
    pub(super) fn start(plan: &Plan, lock: File) -> Result<Self, Error> {
        let mut tier = Tier { plan: plan.clone(), processes: Vec::new(), _lock: lock };
        for machine in plan.machines() {
            tier.processes.push(Process::start(plan, machine)?);
        }
        Ok(tier)
    }

    /// How many processes it has.
    pub(super) fn len(&self) -> usize {
        self.processes.len()
    }

    /// Ends all in order: workers while there are gateways to take their last heartbeats, then gateways, then stores.
    pub(super) async fn shut_down(&mut self) {
        for role in [MachineRole::Worker, MachineRole::Gateway, MachineRole::Store] {
            let mut processes: Vec<&mut Process> =
                self.processes.iter_mut().filter(|p| p.machine.role == role).collect();
            processes.iter_mut().filter(|p| p.ended_at.is_none()).for_each(|p| p.terminate());
            let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
            while processes.iter_mut().any(|p| p.exit_status().is_none()) && Instant::now() < deadline {
                sleep(SHUTDOWN_POLL_INTERVAL).await;
            }
            for process in processes {
                if process.exit_status().is_none() {
                    eprintln!("rainlug: {} did not end in time and is killed", process.machine.name);
                    process.kill();
                }
            }
        }
    }

    /// Waits until a condition holds; `missing` says in an error what does not.
    async fn wait_until(
        &mut self,
        missing: &str,
        deadline: Instant,
        mut is_met: impl AsyncFnMut(&Plan) -> bool,
    ) -> Result<(), Error> {
        loop {
            for process in &mut self.processes {
                if let Some(status) = process.exit_status() {
                    let name = process.machine.name.clone();
                    let log = self.plan.log_file(&name);
                    return Err(Error::Ended(name, status, log));
                }
            }
            if is_met(&self.plan).await {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::Slow(missing.to_owned()));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all of it serves, and puts the first configuration where none was.
    ///
    /// # Errors
    /// Where a process ends, or it takes too long.
    pub(super) async fn wait_until_up(&mut self, is_founded: bool) -> Result<(), Error> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        if !is_founded {
            self.wait_until("nobody takes a configuration", deadline, put_configuration).await?;
        }
        self.wait_until("a gateway is not ready", deadline, gateways_are_ready).await?;
        self.wait_until("workers are not known", deadline, workers_are_known).await?;
        self.wait_until("the stores do not keep batch jobs yet", deadline, stores_answer).await
    }

    /// Starts again what ended a while ago.
    pub(super) fn restart_ended(&mut self) {
        for process in &mut self.processes {
            let name = process.machine.name.clone();
            match process.ended_at {
                None => {
                    if let Some(status) = process.exit_status() {
                        let delay = RESTART_DELAY.as_secs();
                        eprintln!("rainlug: {name} has ended ({status}), it is started again in {delay} s");
                        process.ended_at = Some(Instant::now());
                    }
                }
                Some(ended_at) if ended_at.elapsed() >= RESTART_DELAY => {
                    match Process::start(&self.plan, process.machine.clone()) {
                        Ok(restarted) => {
                            eprintln!("rainlug: {name} is started again, process {}", restarted.id());
                            *process = restarted;
                        }
                        Err(error) => {
                            eprintln!("rainlug: {error}");
                            process.ended_at = Some(Instant::now());
                        }
                    }
                }
                Some(_) => {}
            }
        }
    }
}

/// The status of the answer to a call.
async fn status(at: Option<&SocketAddr>, ask: Ask<'_>) -> Option<u16> {
    client::call(*at?, ask, CALL_TIMEOUT).await.ok().map(|response| response.status)
}

async fn put_configuration(plan: &Plan) -> bool {
    let fields = [("If-Match", "0"), ("Content-Type", "application/json")];
    let body = CONFIGURATION.as_bytes();
    let ask = Ask { method: "PUT", path: "/v1/configuration", fields: &fields, body };
    status(plan.control_addresses().first(), ask).await == Some(200)
}

async fn gateways_are_ready(plan: &Plan) -> bool {
    for at in plan.readiness_addresses() {
        if status(Some(&at), Ask::get("/v1/readiness")).await != Some(200) {
            return false;
        }
    }
    true
}

async fn workers_are_known(plan: &Plan) -> bool {
    let Some(at) = plan.control_addresses().first().copied() else { return false };
    let Ok(response) = client::call(at, Ask::get("/v1/workers"), LIST_TIMEOUT).await else {
        return false;
    };
    parse_json::<Workers>(&response.body, "workers").is_ok_and(|listing| {
        listing.workers.iter().filter(|w| w.phase == "ready").count() >= usize::from(plan.workers)
    })
}

/// Whether a read of a batch job that there is none of is answered by the shard that would hold it.
async fn stores_answer(plan: &Plan) -> bool {
    let fields = [("Host", HOST)];
    let ask = Ask { method: "GET", path: "/v1/lots/none", fields: &fields, body: b"" };
    status(plan.front_addresses().first(), ask).await == Some(404)
}
