//! `rainlug`: the serving tier. Each role of a process is a subcommand, and so is each thing that an operator asks for.

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use rainlug_sim_worker::{SimWorker, WorkerSettings, engine::Shape};
use rainlug_tier::listings::{Members, Parts, Stores, Workers};
use rainlug_tier::local::{self, Plan, plan};
use rainlug_tier::node::{Node, Role};
use rainlug_tier::operator::{self, Retire};
use rainlug_tier::{check, log, settings::Settings};

/// A serving tier with a batch interface
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Rainlug {
    /// Starts a whole small tier on this machine's loopback addresses
    #[bpaf(command)]
    Local(#[bpaf(external(plan))] Plan),
    /// Takes requests, and keeps the configuration and the list of workers
    #[bpaf(command)]
    Gateway(#[bpaf(external(started))] Started),
    /// Keeps batch jobs and runs their items
    #[bpaf(command)]
    Store(#[bpaf(external(started))] Started),
    /// Stands in for a model worker: speaks the protocol and runs no model
    #[bpaf(command)]
    Worker(#[bpaf(external(worker))] Worker),
    /// Checks settings files (.toml) and configurations (.json), and names all that is wrong
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"), some("a FILE is expected"))]
        files: Vec<PathBuf>,
    },
    /// Lists the tier's processes
    #[bpaf(command)]
    Members(#[bpaf(external(asked))] Asked),
    /// Lists the workers
    #[bpaf(command)]
    Workers(#[bpaf(external(asked))] Asked),
    /// Lists the parts of the state, with who leads and who keeps each
    #[bpaf(command)]
    Parts(#[bpaf(external(asked))] Asked),
    /// Lists the stores
    #[bpaf(command)]
    Stores(#[bpaf(external(asked))] Asked),
    /// Reads or changes the configuration in force
    #[bpaf(command)]
    Configuration(#[bpaf(external(operation))] Operation),
    /// Asks for a store to be emptied
    #[bpaf(command)]
    Retire {
        #[bpaf(external(asked))]
        asked: Asked,
        /// Seconds that emptying it may take
        #[bpaf(long, argument("S"), fallback(10), display_fallback)]
        over_s: u64,
        /// Waits until it is complete
        watch: bool,
        /// Seconds to wait at most
        #[bpaf(long, argument("S"), fallback(300), display_fallback)]
        wait_s: u64,
        /// The store's name
        #[bpaf(positional("NODE"))]
        store: String,
    },
    /// Shows a process's figures
    #[bpaf(command)]
    Figures(#[bpaf(external(asked))] Asked),
    /// Reads all results of a batch job, at a front address
    #[bpaf(command)]
    Lot {
        #[bpaf(external(asked))]
        asked: Asked,
        /// The host of the batch job's route
        #[bpaf(long, argument("HOST"))]
        host: String,
        /// Seconds to wait for results at most
        #[bpaf(long, argument("S"), fallback(60), display_fallback)]
        wait_s: u64,
        #[bpaf(positional("ID"))]
        id: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Started {
    /// The settings file, in place of the one that RAINLUG_SETTINGS names
    #[bpaf(long, argument("FILE"))]
    settings: Option<PathBuf>,
    /// Ends when standard input does
    #[bpaf(long, hide)]
    tied: bool,
}

#[derive(Clone, Debug, Bpaf)]
struct Asked {
    /// Whom to ask
    #[bpaf(long, argument("HOST:PORT"))]
    at: String,
    /// Answers as JSON
    json: bool,
}

#[derive(Clone, Debug, Bpaf)]
enum Operation {
    /// Shows the configuration in force
    #[bpaf(command)]
    Get(#[bpaf(external(asked))] Asked),
    /// Puts a file's configuration in force
    #[bpaf(command)]
    Put {
        #[bpaf(external(asked))]
        asked: Asked,
        /// The version that it builds on; without this, the one in force
        #[bpaf(long, argument("N"))]
        if_match: Option<u64>,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows what a file would change of the configuration in force
    #[bpaf(command)]
    Diff {
        #[bpaf(external(asked))]
        asked: Asked,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Worker {
    /// What its id begins with; the rest is drawn at each start
    #[bpaf(long, argument("NAME"), fallback("worker".to_owned()), display_fallback)]
    name: String,
    /// The service that it is of
    #[bpaf(long, argument("NAME"))]
    service: String,
    #[bpaf(long, argument("NAME"), fallback("north".to_owned()), display_fallback)]
    zone: String,
    /// Where it serves
    #[bpaf(long, argument("IP:PORT"))]
    at: SocketAddr,
    /// Whom it tells of itself; may be given several times
    #[bpaf(long, argument("IP:PORT"), some("a --control is expected"))]
    control: Vec<SocketAddr>,
    #[bpaf(long, argument("MS"), fallback(1000), display_fallback)]
    beat_ms: u64,
    /// Time that it serves on for after its drain was heard
    #[bpaf(long, argument("MS"), fallback(2000), display_fallback)]
    drain_ms: u64,
    /// Requests that it runs at once
    #[bpaf(long, argument("N"), fallback(8), display_fallback)]
    slots: usize,
    /// Tokens that its memory holds
    #[bpaf(long, argument("TOKENS"), fallback(60_000), display_fallback)]
    kv_tokens: u64,
    /// Time of one step with one request, and what each further one adds
    #[bpaf(long, argument("MS"), fallback(12.0), display_fallback)]
    step_ms: f64,
    #[bpaf(long, argument("MS"), fallback(2.0), display_fallback)]
    step_more_ms: f64,
    /// Ends when standard input does
    #[bpaf(long, hide)]
    tied: bool,
}

/// Asks this process to end in order once standard input does: who started it has ended.
fn tie() {
    std::thread::spawn(|| {
        let mut input = std::io::stdin().lock();
        let mut bytes = [0; 64];
        while matches!(input.read(&mut bytes), Ok(1..)) {}
        let _ = nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM);
    });
}

fn runs<T, E: From<std::io::Error>>(what: impl Future<Output = Result<T, E>>) -> Result<T, E> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, what)
}

fn serve(role: Role, started: Started) -> ExitCode {
    let settings = match started.settings {
        Some(path) => Settings::from_file(&path),
        None => Settings::from_environment(),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => return failed(2, &error),
    };
    if started.tied {
        tie();
    }
    log::start(&settings.node, &settings.log_level);
    match runs(Node::run(role, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error("stop", &error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn work(worker: Worker) -> ExitCode {
    let drawn = match rand::TryRngCore::try_next_u32(&mut rand::rngs::OsRng) {
        Ok(drawn) => drawn,
        Err(_) => std::process::id(),
    };
    if worker.tied {
        tie();
    }
    log::start(&worker.name, "info");
    let micros = |ms: f64| (ms.clamp(0.01, 60_000.0) * 1000.0) as rainlug::Time;
    let told = WorkerSettings {
        id: format!("{}-{drawn:08x}", worker.name),
        service: worker.service,
        zone: worker.zone,
        at: worker.at,
        controls: worker.control,
        beat: Duration::from_millis(worker.beat_ms.max(10)),
        drain: Duration::from_millis(worker.drain_ms),
        max_conns: worker.slots.saturating_mul(8).clamp(16, 4096),
        health_path: "/liveness".to_owned(),
        shape: Shape {
            slots: worker.slots,
            queue: worker.slots,
            kv_tokens: worker.kv_tokens,
            step: micros(worker.step_ms),
            step_more: micros(worker.step_more_ms),
            ..Shape::default()
        },
    };
    match runs(SimWorker::run(told)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error("stop", &error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn failed(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rainlug: {error}");
    ExitCode::from(code)
}

/// Prints what an operator asked for.
fn show(what: impl Future<Output = Result<String, operator::Error>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(1, &error),
    };
    match runtime.block_on(what) {
        Ok(text) => {
            use std::io::Write;
            // Who reads no further has read enough.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => failed(error.code(), &error),
    }
}

fn main() -> ExitCode {
    match rainlug().run() {
        Rainlug::Gateway(started) => serve(Role::Gateway, started),
        Rainlug::Store(started) => serve(Role::Store, started),
        Rainlug::Worker(worker) => work(worker),
        Rainlug::Local(plan) => match runs(local::run(plan)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(1, &error),
        },
        Rainlug::Check { files } => ExitCode::from(if check::run(&files) { 0 } else { 2 }),
        Rainlug::Members(a) => show(operator::list::<Members>(&a.at, a.json)),
        Rainlug::Workers(a) => show(operator::list::<Workers>(&a.at, a.json)),
        Rainlug::Parts(a) => show(operator::list::<Parts>(&a.at, a.json)),
        Rainlug::Stores(a) => show(operator::list::<Stores>(&a.at, a.json)),
        Rainlug::Figures(a) => show(operator::figures(&a.at, a.json)),
        Rainlug::Configuration(Operation::Get(a)) => show(operator::configuration(&a.at)),
        Rainlug::Configuration(Operation::Put { asked: a, if_match, file }) => {
            show(operator::put(&a.at, &file, if_match, a.json))
        }
        Rainlug::Configuration(Operation::Diff { asked: a, file }) => {
            show(operator::diff(&a.at, &file, a.json))
        }
        Rainlug::Retire { asked: a, over_s, watch, wait_s, store } => {
            let retire = Retire { store, over_s, watch: watch.then(|| Duration::from_secs(wait_s)) };
            show(operator::retire(&a.at, &retire, a.json))
        }
        Rainlug::Lot { asked: a, host, wait_s, id } => {
            show(operator::lot(&a.at, &host, &id, Duration::from_secs(wait_s), a.json))
        }
    }
}
