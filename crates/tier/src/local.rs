//! `rainlug local`: a whole small tier on this machine. Every process has a loopback address of its own, so that all use the same
//! ports as on machines of their own. What is started here is ended here.

mod folder;
mod plan;
mod settings_text;
mod summary;
mod tier;

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;

use quick_error::quick_error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

pub use self::plan::{Machine, MachineRole, Plan, plan};
pub use self::tier::spawn;
use self::tier::{POLL_INTERVAL, STARTUP_TIMEOUT, Tier};

/// The tier's first configuration.
pub const CONFIGURATION: &str = include_str!("../../../deploy/local/configuration.json");
/// The host of all routes of [`CONFIGURATION`].
pub const HOST: &str = "local.example";

quick_error! {
    /// Why a tier was not started, or did not come up.
    #[derive(Debug)]
    pub enum Error {
        /// Numbers of processes out of bounds.
        Counts { display("--gateways, --stores and --workers: 1 to 50 each expected") }
        /// A base port out of bounds.
        Port { display("--base-port: 1 to 65000 expected") }
        /// A file or folder cannot be used.
        Files(path: PathBuf, source: std::io::Error) { source(source) display("{}: {}", path.display(), source) }
        /// The folder is in use.
        Locked(dir: PathBuf) { display("{}: another `rainlug local` runs here", dir.display()) }
        /// The folder holds a tier of other processes or ports.
        Layout(dir: PathBuf, found: String) {
            display("{}: holds the state of a tier with {}; name the same, or another --dir", dir.display(), found)
        }
        /// An address is in use.
        Taken(at: SocketAddr, source: std::io::Error) {
            source(source)
            display("cannot listen on {} ({}): name another --base-port", at, source)
        }
        /// A process cannot be started.
        Start(name: String, source: std::io::Error) { source(source) display("{}: cannot be started: {}", name, source) }
        /// A process ended too early.
        Ended(name: String, status: ExitStatus, log: PathBuf) {
            display("{}: ended before the tier was up ({}); see {}", name, status, log.display())
        }
        /// The tier is not up in time.
        Slow(missing: String) { display("not up within {} s: {}", STARTUP_TIMEOUT.as_secs(), missing) }
        /// The system refuses signal handlers or a runtime.
        Io(source: std::io::Error) { from() display("{}", source) }
    }
}

/// Starts a tier, and serves until SIGINT or SIGTERM.
///
/// # Errors
/// Where it does not come up; nothing is left running then.
pub async fn run(mut plan: Plan) -> Result<(), Error> {
    plan.validate()?;
    plan.create_dir()?;
    let (lock, is_founded) = plan.lock_dir()?;
    plan.check_addresses_free()?;
    plan.write_settings(!is_founded)?;
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::pin!(stop);
    let mut tier = Tier::start(&plan, lock)?;
    println!("starting {} processes under {}", tier.len(), plan.dir.display());
    let result = tokio::select! {
        result = tier.wait_until_up(is_founded) => Some(result),
        () = &mut stop => None,
    };
    match result {
        Some(Ok(())) => {
            plan.write_settings(false)?;
            plan.mark_founded()?;
            println!("{}", tier.summary());
            let _ = std::io::stdout().flush();
            loop {
                tokio::select! {
                    () = &mut stop => break,
                    () = sleep(POLL_INTERVAL) => tier.restart_ended(),
                }
            }
        }
        Some(Err(error)) => {
            tier.shut_down().await;
            return Err(error);
        }
        None => {}
    }
    println!("ending all in order");
    tier.shut_down().await;
    Ok(())
}
