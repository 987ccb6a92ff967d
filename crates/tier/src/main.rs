//! `rainlug`: the serving tier. Each role of a process is a subcommand, and so is each thing that an operator asks for.
//!
//! The names of subcommands and options are the users': where a name in the code differs, an attribute keeps theirs. Doc comments on
//! what derives `Bpaf` are the text of `--help`.

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

/// What `rainlug check` ends with where a file is not sound.
const EXIT_NOT_SOUND: u8 = 2;
/// What other subcommands end with where they fail.
const EXIT_FAILURE: u8 = 1;

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
    Members(#[bpaf(external(target))] Target),
    /// Lists the workers
    #[bpaf(command)]
    Workers(#[bpaf(external(target))] Target),
    /// Lists the parts of the state, with who leads and who keeps each
    #[bpaf(command("parts"))]
    Shards(#[bpaf(external(target))] Target),
    /// Lists the stores
    #[bpaf(command)]
    Stores(#[bpaf(external(target))] Target),
    /// Reads or changes the configuration in force
    #[bpaf(command)]
    Configuration(#[bpaf(external(configuration_command))] ConfigurationCommand),
    /// Asks for a store to be emptied
    #[bpaf(command)]
    Retire {
        #[bpaf(external(target))]
        target: Target,
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
    #[bpaf(command("figures"))]
    Metrics(#[bpaf(external(target))] Target),
    /// Reads all results of a batch job, at a front address
    #[bpaf(command("lot"))]
    JobResults {
        #[bpaf(external(target))]
        target: Target,
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
struct Target {
    /// Whom to ask
    #[bpaf(long("at"), argument("HOST:PORT"))]
    address: String,
    /// Answers as JSON
    json: bool,
}

#[derive(Clone, Debug, Bpaf)]
enum ConfigurationCommand {
    /// Shows the configuration in force
    #[bpaf(command)]
    Get(#[bpaf(external(target))] Target),
    /// Puts a file's configuration in force
    #[bpaf(command)]
    Put {
        #[bpaf(external(target))]
        target: Target,
        /// The version that it builds on; without this, the one in force
        #[bpaf(long("if-match"), argument("N"))]
        base_version: Option<u64>,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows what a file would change of the configuration in force
    #[bpaf(command)]
    Diff {
        #[bpaf(external(target))]
        target: Target,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Runs an operator's subcommand, and prints its result.
fn run_operator(command: impl Future<Output = Result<String, operator::Error>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(EXIT_FAILURE, &error),
    };
    match runtime.block_on(command) {
        Ok(text) => {
            use std::io::Write;
            // A reader that closes the pipe has read enough.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => exit_with_error(error.exit_code(), &error),
    }
}

fn run_configuration(command: ConfigurationCommand) -> ExitCode {
    match command {
        ConfigurationCommand::Get(to) => run_operator(operator::get_configuration(&to.address)),
        ConfigurationCommand::Put { target: to, base_version, file } => {
            run_operator(operator::put_configuration(&to.address, &file, base_version, to.json))
        }
        ConfigurationCommand::Diff { target: to, file } => {
            run_operator(operator::diff_configuration(&to.address, &file, to.json))
        }
    }
}

fn main() -> ExitCode {
    match rainlug().run() {
        Rainlug::Gateway(options) => roles::serve(ProcessRole::Gateway, options),
        Rainlug::Store(options) => roles::serve(ProcessRole::Store, options),
        Rainlug::Worker(options) => roles::serve_worker(options),
        Rainlug::Local(plan) => match roles::block_on_local(local::run(plan)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(EXIT_FAILURE, &error),
        },
        Rainlug::Check { files } if check::check_files(&files) => ExitCode::SUCCESS,
        Rainlug::Check { .. } => ExitCode::from(EXIT_NOT_SOUND),
        Rainlug::Members(to) => run_operator(operator::list::<Members>(&to.address, to.json)),
        Rainlug::Workers(to) => run_operator(operator::list::<Workers>(&to.address, to.json)),
        Rainlug::Shards(to) => run_operator(operator::list::<Shards>(&to.address, to.json)),
        Rainlug::Stores(to) => run_operator(operator::list::<Stores>(&to.address, to.json)),
        Rainlug::Metrics(to) => run_operator(operator::read_metrics(&to.address, to.json)),
        Rainlug::Configuration(command) => run_configuration(command),
        Rainlug::Retire { target: to, over_s, watch, wait_s, store } => {
            let watch = watch.then(|| Duration::from_secs(wait_s));
            run_operator(operator::retire_store(&to.address, &Retirement { store, over_s, watch }, to.json))
        }
        Rainlug::JobResults { target: to, host, wait_s, id } => {
            let wait = Duration::from_secs(wait_s);
            run_operator(operator::read_job_results(&to.address, &host, &id, wait, to.json))
        }
    }
}
