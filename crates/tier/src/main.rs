//! `rainlug`: the serving tier. Each role of a process is a subcommand, and so is each thing that an operator asks for.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use rainlug_tier::check;
use rainlug_tier::listings::{Members, Shards, Stores, Workers};
use rainlug_tier::local::{self, Plan, plan};
use rainlug_tier::operator::{self, Retirement};
use rainlug_tier::process::ProcessRole;
use rainlug_tier::roles::{
    self, ServeOptions, WorkerOptions, exit_with_error, serve_options, worker_options,
};

/// A serving tier with a batch interface
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Rainlug {
    /// Starts a whole small tier on this machine's loopback addresses
    #[bpaf(command)]
    Local(#[bpaf(external(plan))] Plan),
    /// Takes requests, and keeps the configuration and the list of workers
    #[bpaf(command)]
    Gateway(#[bpaf(external(serve_options))] ServeOptions),
    /// Keeps batch jobs and runs their items
    #[bpaf(command)]
    Store(#[bpaf(external(serve_options))] ServeOptions),
    /// Stands in for a model worker: speaks the protocol and runs no model
    #[bpaf(command)]
    Worker(#[bpaf(external(worker_options))] WorkerOptions),
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

/// Prints what an operator asked for.
fn show(what: impl Future<Output = Result<String, operator::Error>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(1, &error),
    };
    match runtime.block_on(what) {
        Ok(text) => {
            use std::io::Write;
            // Who reads no further has read enough.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => exit_with_error(error.exit_code(), &error),
    }
}

fn main() -> ExitCode {
    match rainlug().run() {
        Rainlug::Gateway(options) => roles::serve(ProcessRole::Gateway, options),
        Rainlug::Store(options) => roles::serve(ProcessRole::Store, options),
        Rainlug::Worker(options) => roles::serve_worker(options),
        Rainlug::Local(plan) => match roles::block_on_local(local::run(plan)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(1, &error),
        },
        Rainlug::Check { files } => ExitCode::from(if check::check_files(&files) { 0 } else { 2 }),
        Rainlug::Members(a) => show(operator::list::<Members>(&a.at, a.json)),
        Rainlug::Workers(a) => show(operator::list::<Workers>(&a.at, a.json)),
        Rainlug::Parts(a) => show(operator::list::<Shards>(&a.at, a.json)),
        Rainlug::Stores(a) => show(operator::list::<Stores>(&a.at, a.json)),
        Rainlug::Figures(a) => show(operator::read_metrics(&a.at, a.json)),
        Rainlug::Configuration(Operation::Get(a)) => show(operator::get_configuration(&a.at)),
        Rainlug::Configuration(Operation::Put { asked: a, if_match, file }) => {
            show(operator::put_configuration(&a.at, &file, if_match, a.json))
        }
        Rainlug::Configuration(Operation::Diff { asked: a, file }) => {
            show(operator::diff_configuration(&a.at, &file, a.json))
        }
        Rainlug::Retire { asked: a, over_s, watch, wait_s, store } => {
            let retirement = Retirement { store, over_s, watch: watch.then(|| Duration::from_secs(wait_s)) };
            show(operator::retire_store(&a.at, &retirement, a.json))
        }
        Rainlug::Lot { asked: a, host, wait_s, id } => {
            show(operator::read_job_results(&a.at, &host, &id, Duration::from_secs(wait_s), a.json))
        }
    }
}
