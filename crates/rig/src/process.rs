//! Processes of the built program: started, signalled by their ids, read, and ended in any case.

use std::cell::Cell;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A process says where it listens within this time, or has failed.
const READY: Duration = Duration::from_secs(30);
/// It ends within this time of SIGTERM, or is killed.
const ENDS: Duration = Duration::from_secs(15);

/// The addresses that a process has said.
#[derive(Clone, Copy, Default)]
struct Said {
    management: Option<SocketAddr>,
    clients: Option<SocketAddr>,
    over: bool,
}

pub struct Process {
    child: Child,
    told: PathBuf,
    said: watch::Receiver<Said>,
    stopped: Cell<bool>,
}

impl Process {
    /// Starts the program with a configuration, which is kept beside its log.
    pub fn start(
        program: &Path,
        folder: &Path,
        called: &str,
        text: &str,
        common: &Path,
        broken: &str,
    ) -> Result<Self> {
        let (told, log) = (folder.join(format!("{called}.json")), folder.join(format!("{called}.log")));
        std::fs::write(&told, text).with_context(|| format!("cannot write {}", told.display()))?;
        std::fs::create_dir_all(common).with_context(|| format!("cannot make {}", common.display()))?;
        let mut file = File::create(&log).with_context(|| format!("cannot write {}", log.display()))?;
        let mut command = Command::new(program);
        command.env("RELAY_CONFIG", &told).env("TMPDIR", common).env("RAINLUG_BROKEN", broken);
        // Whatever becomes of the rig, nothing that it started outlives it.
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().with_context(|| format!("cannot start {}", program.display()))?;
        let (tell, said) = watch::channel(Said::default());
        let lines = child.stderr.take().context("a process without standard error")?;
        spawn_local(async move {
            let mut lines = BufReader::new(lines).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let _ = writeln!(file, "{line}");
                let after = |words: &str| line.strip_prefix(words).and_then(|at| at.parse().ok());
                if let Some(at) = after("managed on ") {
                    tell.send_modify(|s| s.management = Some(at));
                } else if let Some(at) = after("listening on ") {
                    tell.send_modify(|s| s.clients = Some(at));
                }
            }
            tell.send_modify(|s| s.over = true);
        });
        Ok(Process { child, told, said, stopped: Cell::new(false) })
    }

    /// Waits until it serves; its clients' address.
    pub async fn ready(&mut self) -> Result<SocketAddr> {
        let mut said = self.said.clone();
        let found = timeout(READY, said.wait_for(|s| s.clients.is_some() || s.over)).await;
        match found.context("it did not serve in time")?.context("its log ended")?.clients {
            Some(at) => Ok(at),
            None => bail!("it ended before it served"),
        }
    }

    pub fn management(&self) -> Option<SocketAddr> {
        self.said.borrow().management
    }

    /// Another configuration, for it to read again.
    pub fn retold(&self, text: &str) -> Result<()> {
        std::fs::write(&self.told, text).with_context(|| format!("cannot write {}", self.told.display()))
    }

    pub fn stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Sends it a signal, by its id.
    pub fn signal(&self, signal: Signal) {
        match signal {
            Signal::SIGSTOP => self.stopped.set(true),
            Signal::SIGCONT => self.stopped.set(false),
            _ => {}
        }
        if let Some(id) = self.child.id() {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait().await;
    }

    /// Asks it to end, and kills it if it does not; whether it ended by itself, and well.
    pub async fn end(&mut self) -> bool {
        self.signal(Signal::SIGCONT);
        self.signal(Signal::SIGTERM);
        match timeout(ENDS, self.child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                self.kill().await;
                false
            }
        }
    }

    /// Whether it has ended.
    pub fn over(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}
