//! `rainlug`: the serving tier, its role a subcommand.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use rainlug_tier::node::{Node, Role};
use rainlug_tier::{log, settings::Settings};

/// A serving tier with a batch interface
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Takes requests, and keeps the configuration and the list of workers
    #[bpaf(command)]
    Counter(#[bpaf(external(started))] Started),
    /// Keeps batch jobs and runs their items
    #[bpaf(command)]
    Archive(#[bpaf(external(started))] Started),
}

#[derive(Clone, Debug, Bpaf)]
struct Started {
    /// The settings file, in place of the one that RAINLUG_SETTINGS names
    #[bpaf(long, argument("FILE"))]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let (role, started) = match command().run() {
        Command::Counter(started) => (Role::Counter, started),
        Command::Archive(started) => (Role::Archive, started),
    };
    let settings = match started.settings {
        Some(path) => Settings::from_file(&path),
        None => Settings::from_environment(),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("rainlug: {error}");
            return ExitCode::from(2);
        }
    };
    log::start(&settings.node, &settings.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, Node::run(role, settings)),
        Err(error) => Err(error.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error("stop", &error.to_string());
            ExitCode::FAILURE
        }
    }
}
