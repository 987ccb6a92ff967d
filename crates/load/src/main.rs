//! `rainlug-load`: sends a dispatcher tasks on a schedule that no answer slows, and counts each latency from the time at
//! which the task was meant to be sent. All of it is in the library.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::{Parser, Subcommand};
use rainlug_load::plan::Plan;
use rainlug_load::{driver, experiment, record, report, schedule, stub};
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
    /// Plays a plan with several values of one key, again and again in turn, since machines are noisy.
    Experiment {
        plan: PathBuf,
        /// The key that changes, such as `arrivals.rate`.
        #[arg(long)]
        vary: String,
        /// Its values, with commas between them.
        #[arg(long, value_delimiter = ',', required = true)]
        values: Vec<String>,
        #[arg(long, default_value_t = 3)]
        repeats: u32,
        #[arg(long, default_value = "load-experiment")]
        out: PathBuf,
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
            allowed(&plan, any_target)?;
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
        Does::Experiment { plan, vary, values, repeats, out, any_target } => {
            let plans = experiment::plans(&plan, &vary, &values)?;
            plans.iter().try_for_each(|p| allowed(p, any_target))?;
            let mut found: Vec<Vec<record::Result>> = vec![Vec::new(); plans.len()];
            for nth in 0..repeats {
                for (plan, (value, results)) in plans.iter().zip(values.iter().zip(&mut found)) {
                    // Each repeat has arrivals of its own, the same for all values.
                    let plan = Plan { seed: plan.seed.wrapping_add(u64::from(nth)), ..plan.clone() };
                    info!("{vary} {value}, {} of {repeats}", nth + 1);
                    results.push(runtime.block_on(driver::run(&plan, schedule::of(&plan)?)).result(&plan));
                }
            }
            let table = experiment::table(&vary, &values, &found)?;
            report::keep_experiment(&out, &vary, &values, &found, &table)?;
            print!("{table}");
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

fn allowed(plan: &Plan, any_target: bool) -> Result<()> {
    let local = plan.target.ip().is_loopback() || any_target;
    ensure!(local, "target {} is no loopback address; --any-target allows it", plan.target);
    Ok(())
}
