//! The roles of a process as subcommands of a program: `gateway`, `store` and `worker`. The soak test's program has them too.
//!
//! Doc comments on the fields of options are the text of `--help`.

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use rainlug_placement::Mechanisms;
use rainlug_sim_worker::{SimWorker, WorkerSettings, engine::Shape};

use crate::log;
use crate::process::{self, ProcessRole};
use crate::settings::Settings;

/// What a process ends with where its settings or options are wrong.
const EXIT_INVALID: u8 = 2;
/// A worker takes so many connections for each of its slots, within these bounds.
const CONNECTIONS_PER_SLOT: usize = 8;
const MIN_CONNECTIONS: usize = 16;
const MAX_CONNECTIONS: usize = 4096;
/// The shortest time between two heartbeats, in milliseconds.
const MIN_HEARTBEAT_MS: u64 = 10;

/// How a gateway or a store is started.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ServeOptions {
    /// The settings file, in place of the one that RAINLUG_SETTINGS names
    #[bpaf(long, argument("FILE"))]
    settings: Option<PathBuf>,
    /// For experiments: leaves a mechanism out; may be given several times. A wrong name lists them all
    #[bpaf(long("without"), argument("NAME"))]
    disabled_mechanisms: Vec<String>,
    /// Ends when standard input does
    #[bpaf(long("tied"), hide)]
    ends_with_input: bool,
}

/// How a stand-in worker is started.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct WorkerOptions {
    /// What its id begins with; the rest is drawn at each start
    #[bpaf(long, argument("NAME"), fallback("worker".to_owned()), display_fallback)]
    name: String,
    /// The service that it is of
    #[bpaf(long, argument("NAME"))]
    service: String,
    #[bpaf(long, argument("NAME"), fallback("north".to_owned()), display_fallback)]
    zone: String,
    /// Where it serves
    #[bpaf(long("at"), argument("IP:PORT"))]
    address: SocketAddr,
    /// Whom it tells of itself; may be given several times
    #[bpaf(long("control"), argument("IP:PORT"), some("a --control is expected"))]
    controls: Vec<SocketAddr>,
    #[bpaf(long("beat-ms"), argument("MS"), fallback(1000), display_fallback)]
    heartbeat_ms: u64,
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
    /// Words in the text of one token
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    words_per_token: u64,
    /// Ends when standard input does
    #[bpaf(long("tied"), hide)]
    ends_with_input: bool,
}

/// Asks this process to end in order once standard input does: the process that started it has then ended.
fn end_with_standard_input() {
    std::thread::spawn(|| {
        let mut input = std::io::stdin().lock();
        let mut bytes = [0; 64];
        while matches!(input.read(&mut bytes), Ok(1..)) {}
        let _ = nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM);
    });
}

/// Runs a future, and the local tasks that it spawns, on this thread until the future ends.
///
/// # Errors
/// Those of the future, and where no runtime can be had.
pub fn block_on_local<T, E: From<std::io::Error>>(
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Serves as a gateway or a store until the process is asked to end.
pub fn serve(role: ProcessRole, options: ServeOptions) -> ExitCode {
    let settings = match options.settings {
        Some(path) => Settings::from_file(&path),
        None => Settings::from_environment(),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(EXIT_INVALID, &error),
    };
    let mechanisms = match Mechanisms::without(&options.disabled_mechanisms) {
        Ok(mechanisms) => mechanisms,
        Err(error) => return exit_with_error(EXIT_INVALID, &error),
    };
    if options.ends_with_input {
        end_with_standard_input();
    }
    log::init(&settings.node, &settings.log_level);
    if mechanisms != Mechanisms::all() {
        log::event("experiment", &format!("left out: {}", options.disabled_mechanisms.join(", ")));
    }
    match block_on_local(process::run(role, settings, mechanisms)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error("stop", &error.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Serves as a stand-in worker until the process is asked to end.
pub fn serve_worker(options: WorkerOptions) -> ExitCode {
    let random = match rand::TryRngCore::try_next_u32(&mut rand::rngs::OsRng) {
        Ok(random) => random,
        Err(_) => std::process::id(),
    };
    if options.ends_with_input {
        end_with_standard_input();
    }
    log::init(&options.name, "info");
    let micros = |ms: f64| (ms.clamp(0.01, 60_000.0) * 1000.0) as rainlug::Time;
    let settings = WorkerSettings {
        id: format!("{}-{random:08x}", options.name),
        service: options.service,
        zone: options.zone,
        at: options.address,
        controls: options.controls,
        beat: Duration::from_millis(options.heartbeat_ms.max(MIN_HEARTBEAT_MS)),
        drain: Duration::from_millis(options.drain_ms),
        max_conns: options.slots.saturating_mul(CONNECTIONS_PER_SLOT).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS),
        health_path: "/liveness".to_owned(),
        shape: Shape {
            slots: options.slots,
            queue: options.slots,
            kv_tokens: options.kv_tokens,
            step: micros(options.step_ms),
            step_more: micros(options.step_more_ms),
            words_per_token: options.words_per_token,
            ..Shape::default()
        },
    };
    match block_on_local(SimWorker::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error("stop", &error.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Prints an error on standard error; returns the code that the process ends with.
pub fn exit_with_error(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("rainlug: {error}");
    ExitCode::from(code)
}
