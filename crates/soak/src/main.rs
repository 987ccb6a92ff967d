//! `rainlug-soak`: runs seeds of the soak test. The tier's own roles are subcommands of it, so that it needs no other program.

use std::process::ExitCode;

use bpaf::Bpaf;
use rainlug_soak::options::{Options, options};
use rainlug_soak::run::run;
use rainlug_soak::tier::Error;
use rainlug_soak::verdict::{Tally, Verdict};
use rainlug_tier::process::ProcessRole;
use rainlug_tier::roles::{self, ServeOptions, WorkerOptions, serve_options, worker_options};

/// What an interrupted run ends with.
const INTERRUPTED: u8 = 130;

/// Runs a small tier under load and random faults, and checks its answers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// A process of the tier
    #[bpaf(command, hide)]
    Gateway(#[bpaf(external(serve_options))] ServeOptions),
    /// A process of the tier
    #[bpaf(command, hide)]
    Store(#[bpaf(external(serve_options))] ServeOptions),
    /// A stand-in worker
    #[bpaf(command, hide)]
    Worker(#[bpaf(external(worker_options))] WorkerOptions),
    Soak(#[bpaf(external(options))] Options),
}

async fn soak(options: Options) -> Result<ExitCode, Error> {
    let mut tally = Tally::default();
    let mut is_interrupted = false;
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        match run(options.clone(), seed).await {
            Ok(outcome) => {
                tally.add(outcome.verdict());
                is_interrupted = outcome.is_interrupted;
            }
            Err(error) => {
                println!("seed {seed}: {error}");
                tally.add(Verdict::Failed);
            }
        }
        if is_interrupted {
            break;
        }
    }
    tally.complete_to(options.seeds);
    println!("{tally}");
    Ok(match tally {
        tally if tally.is_success() => ExitCode::SUCCESS,
        Tally { failed: 0, .. } if is_interrupted => ExitCode::from(INTERRUPTED),
        _ => ExitCode::FAILURE,
    })
}

fn main() -> ExitCode {
    match command().run() {
        Command::Gateway(options) => roles::serve(ProcessRole::Gateway, options),
        Command::Store(options) => roles::serve(ProcessRole::Store, options),
        Command::Worker(options) => roles::serve_worker(options),
        Command::Soak(options) if !options.is_sound() => {
            eprintln!("rainlug-soak: no such run: see docs/soak.md for what counts and limits may be");
            ExitCode::from(2)
        }
        Command::Soak(options) => match roles::block_on_local(soak(options)) {
            Ok(code) => code,
            Err(error) => roles::exit_with_error(1, &error),
        },
    }
}
