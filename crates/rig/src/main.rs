//! `rainlug-rig`: several dispatchers, faults between them, and a verdict.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use rainlug_rig::check::Verdict;
use rainlug_rig::measure;
use rainlug_rig::play::play;
use rainlug_rig::report::{self, Kept};
use rainlug_rig::script::{Arm, Script};
use rainlug_rig::{shares, shrink, trial};
use tracing::{info, warn};

/// Fleets up to this size are played without any division too.
const UNDIVIDED: usize = 48;

#[derive(Parser)]
#[command(
    version,
    about = "Starts several dispatchers, puts faults between them, and checks what they say and do"
)]
struct Arguments {
    #[command(subcommand)]
    does: Does,
}

#[derive(Subcommand)]
enum Does {
    /// Plays a script. Exit 0 only if every check held.
    Run {
        script: PathBuf,
        /// In place of the script's.
        #[arg(long)]
        seed: Option<u64>,
        /// The folder for logs, record, tables and chart.
        #[arg(long, default_value = "rig-result")]
        out: PathBuf,
        /// The dispatcher; beside this program if it is not named.
        #[arg(long)]
        program: Option<PathBuf>,
        /// What of it is played.
        #[arg(long, value_enum, default_value_t = Arm::Whole)]
        arm: Arm,
    },
    /// Plays scripts as they are, without their faults, and without view and budgets, in turns, and compares. Exit 3 where the
    /// machine did not keep a schedule.
    Trial {
        #[arg(required = true)]
        scripts: Vec<PathBuf>,
        #[arg(long, default_value = "1..5")]
        seeds: String,
        /// Plays at once.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Plays that are kept in the folder are not played again: to go on after a break.
        #[arg(long)]
        kept: bool,
        /// A play that did not keep its schedule is played again, so many times.
        #[arg(long, default_value_t = 4)]
        again: usize,
        #[arg(long, default_value = "rig-trial")]
        out: PathBuf,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Takes faults and processes out of a failing script while it still fails, and writes what is left.
    Shrink {
        script: PathBuf,
        #[arg(long)]
        seed: Option<u64>,
        /// The smaller script.
        #[arg(long, default_value = "shrunk.toml")]
        out: PathBuf,
        /// Each smaller one is played up to so often: a failure need not come every time.
        #[arg(long, default_value_t = 3)]
        tries: usize,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Plays a script with one seed after the other.
    Sweep {
        script: PathBuf,
        /// Such as 1..20; the last one is played too.
        #[arg(long)]
        seeds: String,
        #[arg(long, default_value = "rig-sweep")]
        out: PathBuf,
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Writes tables and chart of a kept run anew.
    Report { folder: PathBuf },
    /// Measures the view in virtual time, beside plainer ways.
    Measure {
        #[arg(long, value_delimiter = ',', default_value = "5,48,300,1000,3000")]
        sizes: Vec<usize>,
        /// Parts of datagrams lost.
        #[arg(long, value_delimiter = ',', default_value = "0,0.05,0.2,0.4")]
        losses: Vec<f64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Member-periods of each undisturbed part.
        #[arg(long, default_value_t = 1e6)]
        long: f64,
        /// Leaves out the times until all agree after a change, which cost most.
        #[arg(long)]
        brief: bool,
        #[arg(long, default_value = "rig-measure")]
        out: PathBuf,
    },
    /// Measures budgets in virtual time, beside even parts and no division.
    Shares {
        #[arg(long, value_delimiter = ',', default_value = "5,48,300")]
        sizes: Vec<usize>,
        /// Parts of datagrams lost.
        #[arg(long, value_delimiter = ',', default_value = "0,0.2")]
        losses: Vec<f64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "rig-shares")]
        out: PathBuf,
    },
}

/// How it ended: all held, something did not, or the machine was too small to say.
enum End {
    Held,
    Failed,
    Marked,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    match does(Arguments::parse().does) {
        Ok(End::Held) => ExitCode::SUCCESS,
        Ok(End::Failed) => ExitCode::from(1),
        Ok(End::Marked) => ExitCode::from(3),
        Err(error) => {
            eprintln!("rainlug-rig: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn does(what: Does) -> Result<End> {
    match what {
        Does::Run { script, seed, out, program, arm } => {
            let script = Script::read(&script, seed)?.arm(arm);
            let verdicts = run(&script, &beside(program)?, &out)?;
            Ok(told(&verdicts, &script.name))
        }
        Does::Sweep { script, seeds, out, program } => {
            let (program, range) = (beside(program)?, range(&seeds)?);
            let mut end = End::Held;
            for seed in range {
                let read = Script::read(&script, Some(seed))?;
                let verdicts = run(&read, &program, &out.join(seed.to_string()))?;
                if let End::Failed = told(&verdicts, &format!("{} seed {seed}", read.name)) {
                    end = End::Failed;
                }
            }
            Ok(end)
        }
        Does::Trial { scripts, seeds, jobs, kept, again, out, program } => {
            let how = trial::How { jobs, kept, again };
            let played = trial::play(&scripts, range(&seeds)?, &beside(program)?, &out, how)?;
            report::put(&out, "trial.csv", &trial::csv(&played))?;
            report::put(&out, "trial.md", &trial::markdown(&played))?;
            trial::charts(&out, &played)?;
            print!("{}", trial::markdown(&played));
            let again: usize = played.iter().map(|p| p.again).sum();
            if again > 0 {
                println!("played again: {again} plays did not keep their schedule, and are set aside");
            }
            let (marked, judged): (Vec<_>, Vec<_>) = played.iter().partition(|p| p.figures.marked);
            let failed = judged.iter().find_map(|p| Some((p, p.figures.failed.as_ref()?)));
            if let Some((p, why)) = failed {
                println!("{} seed {} {:?}: failed {why}", p.trial, p.seed, p.arm);
                return Ok(End::Failed);
            }
            if !marked.is_empty() {
                println!("not judged: {} plays did not keep their schedule on this machine", marked.len());
                return Ok(End::Marked);
            }
            Ok(End::Held)
        }
        Does::Shrink { script, seed, out, tries, program } => {
            anyhow::ensure!(tries > 0, "--tries is 0");
            let (script, program) = (Script::read(&script, seed)?, beside(program)?);
            let folder = out.with_extension("plays");
            let mut played = 0;
            let mut check = None;
            let mut fails = |script: &Script, tries: usize| {
                (0..tries).any(|_| {
                    played += 1;
                    let verdicts = match run(script, &program, &folder.join(played.to_string())) {
                        Ok(verdicts) => verdicts,
                        Err(error) => {
                            warn!("{error:#}");
                            return false;
                        }
                    };
                    // Another failure is another story.
                    let found =
                        verdicts.iter().find(|v| !v.held && check.as_ref().is_none_or(|c| *c == v.check));
                    if let Some(found) = found {
                        info!("{} faults: {}: {}", script.faults.len(), found.check, found.words);
                        check.get_or_insert_with(|| found.check.clone());
                    }
                    found.is_some()
                })
            };
            if !fails(&script, tries) {
                println!("{}: it did not fail in {tries} plays", script.name);
                return Ok(End::Held);
            }
            let small = shrink::shrink(&script, &mut |script| fails(script, tries));
            std::fs::write(&out, small.text()).with_context(|| format!("cannot write {}", out.display()))?;
            println!(
                "{}: {} of {} faults are left in {}, {played} plays: {}",
                script.name,
                small.faults.len(),
                script.faults.len(),
                out.display(),
                check.unwrap_or_default()
            );
            Ok(End::Failed)
        }
        Does::Report { folder } => {
            let kept = report::read(&folder)?;
            report::write(&folder, &kept)?;
            Ok(End::Held)
        }
        Does::Measure { sizes, losses, seed, long, brief, out } => {
            anyhow::ensure!(
                sizes.iter().all(|s| (3..=10_000).contains(s)),
                "--sizes are not all from 3 to 10000"
            );
            anyhow::ensure!(
                losses.iter().all(|l| (0.0..1.0).contains(l)),
                "--losses are not all from 0 to under 1"
            );
            std::fs::create_dir_all(&out).with_context(|| format!("cannot make {}", out.display()))?;
            let put = |rows: &[measure::Row]| {
                report::put(&out, "view.csv", &measure::csv(rows))?;
                report::put(&out, "view.md", &measure::markdown(rows))
            };
            // What is there is kept as it comes: the whole takes minutes.
            let rows = measure::all(&sizes, &losses, seed, (long, brief), |rows| {
                put(rows).unwrap_or_else(|e| warn!("{e:#}"))
            });
            put(&rows)?;
            print!("{}", measure::markdown(&rows));
            Ok(End::Held)
        }
        Does::Shares { sizes, losses, seed, out } => {
            anyhow::ensure!(
                sizes.iter().all(|s| (4..=1000).contains(s)),
                "--sizes are not all from 4 to 1000"
            );
            anyhow::ensure!(
                losses.iter().all(|l| (0.0..1.0).contains(l)),
                "--losses are not all from 0 to under 1"
            );
            std::fs::create_dir_all(&out).with_context(|| format!("cannot make {}", out.display()))?;
            let mut rows = Vec::new();
            for size in sizes {
                for loss in &losses {
                    rows.push(shares::row(shares::Way::Lent, size, *loss, seed));
                    report::put(&out, "shares.csv", &shares::csv(&rows))?;
                    report::put(&out, "shares.md", &shares::markdown(&rows))?;
                }
                rows.push(shares::row(shares::Way::Even, size, 0.0, seed));
                // Undivided, each of hundreds spends the whole: that takes long, and says nothing new.
                if size <= UNDIVIDED {
                    rows.push(shares::row(shares::Way::Undivided, size, 0.0, seed));
                }
            }
            report::put(&out, "shares.csv", &shares::csv(&rows))?;
            report::put(&out, "shares.md", &shares::markdown(&rows))?;
            print!("{}", shares::markdown(&rows));
            let over: usize = rows.iter().filter(|r| r.way != shares::Way::Undivided).map(|r| r.over).sum();
            Ok(if over == 0 { End::Held } else { End::Failed })
        }
    }
}

fn run(script: &Script, program: &Path, out: &Path) -> Result<Vec<Verdict>> {
    let record = play(script, program, out)?;
    let verdicts = record.judge(&script.checks);
    let script = serde_json::to_value(script)?;
    let kept = Kept { version: env!("CARGO_PKG_VERSION").into(), script, record, verdicts };
    report::keep(out, &kept)?;
    report::write(out, &kept)?;
    Ok(kept.verdicts)
}

/// A line for what did not hold first, or that all did.
fn told(verdicts: &[Verdict], name: &str) -> End {
    match verdicts.iter().find(|v| !v.held) {
        Some(v) => {
            println!("{name}: failed at {:.1} s: {}: {}", v.at, v.check, v.words);
            End::Failed
        }
        None => {
            println!("{name}: {} checks held", verdicts.len());
            End::Held
        }
    }
}

fn beside(program: Option<PathBuf>) -> Result<PathBuf> {
    let here = std::env::current_exe().context("where this program is")?;
    Ok(program.unwrap_or_else(|| here.with_file_name("rainlugd")))
}

fn range(text: &str) -> Result<std::ops::RangeInclusive<u64>> {
    let ends = text.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    let (first, last): (u64, u64) = ends.with_context(|| format!("--seeds {text} is not such as 1..20"))?;
    anyhow::ensure!(first <= last, "--seeds {text} ends before it begins");
    Ok(first..=last)
}
