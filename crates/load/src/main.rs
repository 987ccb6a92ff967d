//! `rainlug-load`: sends a dispatcher tasks on a schedule that no answer slows, and counts each latency from the time at
//! which the task was meant to be sent.

mod driver;
mod plan;
mod record;
mod report;
mod schedule;
mod stub;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::{Parser, Subcommand};
use plan::Plan;
use tracing::{info, warn};

#[derive(Parser)]
#[command(version, about = "Open-loop load for a dispatcher")]
struct Arguments {
    #[command(subcommand)]
    does: Does,
}

#[derive(Subcommand)]
enum Does {
    /// Plays a plan and keeps its result and report.
    Run {
        plan: PathBuf,
        /// The folder for the result.
        #[arg(long, default_value = "load-result")]
        out: PathBuf,
        /// Lets the target be another machine's address.
        #[arg(long)]
        any_target: bool,
    },
    /// A stand-in worker and list for a dispatcher to be tried with.
    Stub {
        #[arg(long, default_value = "127.0.0.1:9000")]
        worker: String,
        #[arg(long, default_value = "127.0.0.1:8500")]
        list: String,
        /// Running time of each task.
        #[arg(long, default_value_t = 20)]
        work_ms: u64,
    },
    /// Two results beside each other.
    Compare { first: PathBuf, second: PathBuf },
    /// Writes tables and charts of a result anew.
    Report { folder: PathBuf },
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    match does(Arguments::parse().does) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rainlug-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn does(what: Does) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match what {
        Does::Run { plan, out, any_target } => {
            let plan = Plan::read(&plan)?;
            let local = plan.target.ip().is_loopback() || any_target;
            ensure!(local, "target {} is no loopback address; --any-target allows it", plan.target);
            let schedule = schedule::of(&plan)?;
            info!(tasks = schedule.len(), target = %plan.target, "running for {} s", plan.seconds);
            let result = runtime.block_on(driver::run(&plan, schedule)).result(&plan);
            report::keep(&out, &result)?;
            report::write(&out, &result)?;
            if result.schedule_missed {
                warn!("the generator did not keep its own schedule");
            }
            print!("{}", report::markdown(&result)?);
        }
        Does::Stub { worker, list, work_ms } => {
            runtime.block_on(stub::run(&worker, &list, Duration::from_millis(work_ms)))?;
        }
        Does::Compare { first, second } => {
            print!("{}", report::compare(&report::read(&first)?, &report::read(&second)?)?);
        }
        Does::Report { folder } => report::write(&folder, &report::read(&folder)?)?,
    }
    Ok(())
}
