//! `rainlug-soak`: runs seeds of the soak test. The tier's own roles are subcommands of it, so that it needs no other program.

use std::process::ExitCode;

use bpaf::Bpaf;
use rainlug_soak::options::{Options, options};
use rainlug_soak::run::run;
use rainlug_soak::tier::Error;
use rainlug_tier::node::Role;
use rainlug_tier::roles::{self, Started, Worker, started, worker};

/// What an interrupted run ends with.
const INTERRUPTED: u8 = 130;

/// Runs a small tier under load and random faults, and checks its answers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// A process of the tier
    #[bpaf(command, hide)]
    Gateway(#[bpaf(external(started))] Started),
    /// A process of the tier
    #[bpaf(command, hide)]
    Store(#[bpaf(external(started))] Started),
    /// A stand-in worker
    #[bpaf(command, hide)]
    Worker(#[bpaf(external(worker))] Worker),
    Soak(#[bpaf(external(options))] Options),
}

async fn soak(options: Options) -> Result<ExitCode, Error> {
    let (mut passed, mut failed) = (0, 0);
    let mut code = ExitCode::SUCCESS;
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        let outcome = run(options.clone(), seed).await;
        match outcome {
            Ok(outcome) if outcome.is_interrupted => {
                code = ExitCode::from(INTERRUPTED);
                break;
            }
            Ok(outcome) if outcome.violations.is_empty() => passed += 1,
            Ok(_) => failed += 1,
            Err(error) => {
                println!("seed {seed}: {error}");
                failed += 1;
            }
        }
    }
    println!("{passed} seeds passed, {failed} failed");
    if failed > 0 {
        code = ExitCode::FAILURE;
    }
    Ok(code)
}

fn main() -> ExitCode {
    match command().run() {
        Command::Gateway(started) => roles::serve(Role::Gateway, started),
        Command::Store(started) => roles::serve(Role::Store, started),
        Command::Worker(worker) => roles::work(worker),
        Command::Soak(options) if !options.is_sound() => {
            eprintln!("rainlug-soak: no such run: see docs/soak.md for what counts and limits may be");
            ExitCode::from(2)
        }
        Command::Soak(options) => match roles::runs(soak(options)) {
            Ok(code) => code,
            Err(error) => roles::failed(1, &error),
        },
    }
}
