//! Trials: a script's arms, played in turns with one seed after the other, and what each was worth.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

use anyhow::{Context, Result, bail};
use clap::ValueEnum;
use plotters::prelude::*;
use rainlug_load::record::End;
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::check::{Record, Verdict};
use crate::report::{self, Kept};
use crate::rules::WORKLOADS;
use crate::script::{Arm, Script};

/// The first seconds of a run count for nothing: dispatchers begin with nothing learnt.
const LEARNING: usize = 5;
/// Seconds over which a part is taken, and how much of what it was before counts as the same.
const SMOOTH: usize = 3;
const SAME: f64 = 0.95;

/// What one play was worth.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Figures {
    /// The part of the revenue offered that was answered in time, in the whole and in each second.
    pub in_time: f64,
    pub seconds: Vec<f64>,
    /// Seconds from the first fault until it stays at what it was before; nothing where it does not.
    pub recovered: Option<f64>,
    /// Of a thousand tasks: turned away at the door, without an answer or with an error, bounced.
    pub refused: f64,
    pub errors: f64,
    pub bounced: f64,
    pub connections: u64,
    /// Tasks that a worker began while it was cold, on the mean.
    pub warmed: f64,
    pub rules: usize,
    pub over: usize,
    /// The first check that did not hold.
    pub failed: Option<String>,
    /// The machine did not keep the load's schedule.
    pub marked: bool,
}

/// The figures of a play whose first fault comes at a moment.
pub fn figures(record: &Record, verdicts: &[Verdict], first: f64, length: f64) -> Figures {
    let mut seconds = vec![(0.0, 0.0); length.ceil() as usize];
    let mut count = BTreeMap::<End, u64>::new();
    for e in &record.all {
        let (_, _, due, revenue) = WORKLOADS[e.workload];
        *count.entry(e.end).or_default() += 1;
        if let Some(second) = seconds.get_mut((e.due / 1_000_000) as usize) {
            second.0 += revenue;
            second.1 += if e.end == End::Finished && e.done - e.due <= due * 1000 { revenue } else { 0.0 };
        }
    }
    let part = |of: &[(f64, f64)]| {
        let (all, earned) = of.iter().fold((0.0, 0.0), |t, s| (t.0 + s.0, t.1 + s.1));
        if all > 0.0 { earned / all } else { 1.0 }
    };
    let first = (first as usize).clamp(LEARNING + 1, seconds.len().max(LEARNING + 1));
    let before = part(seconds.get(LEARNING..first).unwrap_or_default());
    let low = |from: &usize| part(&seconds[*from..(from + SMOOTH).min(seconds.len())]) < SAME * before;
    let last = (first..seconds.len().saturating_sub(SMOOTH)).rev().find(low);
    let recovered = match last {
        None => Some(0.0),
        Some(second) if second + SMOOTH + 1 >= seconds.len() => None,
        Some(second) => Some((second + 1 - first) as f64),
    };
    let all = record.all.len().max(1) as f64 / 1000.0;
    let of = |ends: &[End]| ends.iter().filter_map(|e| count.get(e)).sum::<u64>() as f64 / all;
    Figures {
        in_time: part(seconds.get(LEARNING..).unwrap_or_default()),
        seconds: seconds.iter().map(|s| part(&[*s])).collect(),
        recovered,
        refused: of(&[End::Refused, End::NotSent]),
        errors: of(&[End::Broken, End::TimedOut, End::Abandoned, End::Odd]),
        bounced: of(&[End::Bounced]),
        connections: record.connections,
        warmed: record.warmed.iter().sum::<u64>() as f64 / record.warmed.len().max(1) as f64,
        rules: record.broken.len(),
        over: record.spent.iter().map(|s| s.over.len()).sum(),
        failed: verdicts
            .iter()
            .find(|v| !v.held)
            .map(|v| format!("at {:.1} s: {}: {}", v.at, v.check, v.words)),
        marked: record.schedule_missed,
    }
}

/// One play of a trial.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Played {
    pub trial: String,
    pub arm: Arm,
    pub seed: u64,
    pub figures: Figures,
    /// Plays before it that did not keep their schedule.
    #[serde(default)]
    pub again: usize,
}

/// How a trial's plays are played.
#[derive(Clone, Copy, Debug)]
pub struct How {
    /// So many at once.
    pub jobs: usize,
    /// What is in the folder is not played again.
    pub kept: bool,
    /// A play that did not keep its schedule says nothing: it is played again, so many times.
    pub again: usize,
}

/// Plays each script's arms for each seed, in turns, each in a process of its own.
///
/// # Errors
/// Where one cannot be played.
pub fn play(
    scripts: &[PathBuf],
    seeds: std::ops::RangeInclusive<u64>,
    program: &Path,
    out: &Path,
    how: How,
) -> Result<Vec<Played>> {
    let mut plays = Vec::new();
    for script in scripts {
        for seed in seeds.clone() {
            // Read once before anything starts.
            let read = Script::read(script, Some(seed))?;
            plays.extend(Arm::value_variants().iter().map(|arm| (script.clone(), read.clone(), *arm)));
        }
    }
    let (next, done) = (Mutex::new(plays.into_iter()), Mutex::new(Vec::new()));
    let worker = || -> Result<()> {
        let mut first = Ok(());
        loop {
            let Some((path, script, arm)) = next.lock().ok().and_then(|mut plays| plays.next()) else {
                return first;
            };
            // One that cannot be played does not keep the others from it.
            match one(&path, &script, arm, program, out, how) {
                Ok(played) => done.lock().map_err(|_| anyhow::anyhow!("another play failed"))?.push(played),
                Err(error) => first = first.and(Err(error)),
            }
        }
    };
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..how.jobs.max(1)).map(|_| scope.spawn(worker)).collect();
        all.into_iter().try_for_each(|one| one.join().map_err(|_| anyhow::anyhow!("a play ended badly"))?)
    })?;
    let mut done = done.into_inner().map_err(|_| anyhow::anyhow!("a play ended badly"))?;
    done.sort_by_key(|p| (p.trial.clone(), p.seed, p.arm));
    Ok(done)
}

fn one(path: &Path, script: &Script, arm: Arm, program: &Path, out: &Path, how: How) -> Result<Played> {
    let called = arm.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default();
    let folder = out.join(&script.name).join(format!("{}-{called}", script.seed));
    let found = if how.kept { report::read(&folder).ok() } else { None };
    let kept = match found {
        Some(found) => found,
        None => on_schedule(path, script, &called, program, &folder, how.again)?,
    };
    let first = script.faults.first().map_or(script.seconds, |f| f.0);
    let figures = figures(&kept.record, &kept.verdicts, first, script.seconds);
    let again = set_aside(&folder).count();
    Ok(Played { trial: script.name.clone(), arm, seed: script.seed, figures, again })
}

/// A play that kept its schedule, in so many more tries; the last one where none did. Those before it are set aside.
fn on_schedule(
    path: &Path,
    script: &Script,
    arm: &str,
    program: &Path,
    folder: &Path,
    again: usize,
) -> Result<Kept> {
    for aside in set_aside(folder) {
        fs::remove_dir_all(&aside).with_context(|| format!("cannot remove {}", aside.display()))?;
    }
    for nth in 1..=again {
        played(path, script, arm, program, folder)?;
        let found = report::read(folder)?;
        if !found.record.schedule_missed {
            return Ok(found);
        }
        let aside = aside(folder, nth);
        fs::rename(folder, &aside).with_context(|| format!("cannot write {}", aside.display()))?;
        warn!("{} seed {} {arm}: off schedule, played again", script.name, script.seed);
    }
    played(path, script, arm, program, folder)?;
    report::read(folder)
}

/// Where the nth play that did not keep its schedule is set aside.
fn aside(folder: &Path, nth: usize) -> PathBuf {
    folder.with_added_extension(format!("off-schedule-{nth}"))
}

/// The plays that were set aside.
fn set_aside(folder: &Path) -> impl Iterator<Item = PathBuf> {
    (1..).map(|nth| aside(folder, nth)).take_while(|aside| aside.exists())
}

fn played(path: &Path, script: &Script, arm: &str, program: &Path, folder: &Path) -> Result<()> {
    let here = std::env::current_exe().context("where this program is")?;
    let mut play = Command::new(here);
    play.arg("run").arg(path).args(["--seed", &script.seed.to_string(), "--arm", arm]);
    play.arg("--program").arg(program).arg("--out").arg(folder);
    let ended = play.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).output();
    let ended = ended.with_context(|| format!("cannot play {}", script.name))?;
    if !matches!(ended.status.code(), Some(0 | 1)) {
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        bail!(
            "{} seed {} {arm}: {}",
            script.name,
            script.seed,
            said.lines().last().unwrap_or("it was killed")
        );
    }
    Ok(())
}

/// Mean, least and most.
fn spread(of: &[f64]) -> (f64, f64, f64) {
    let mean = of.iter().sum::<f64>() / of.len().max(1) as f64;
    (mean, of.iter().copied().fold(f64::MAX, f64::min), of.iter().copied().fold(f64::MIN, f64::max))
}

/// All plays by trial and arm.
fn rows(played: &[Played]) -> BTreeMap<(&str, Arm), Vec<&Figures>> {
    let mut rows: BTreeMap<(&str, Arm), Vec<&Figures>> = BTreeMap::new();
    played.iter().for_each(|p| rows.entry((&p.trial, p.arm)).or_default().push(&p.figures));
    rows
}

pub fn csv(played: &[Played]) -> String {
    let mut text = String::from(
        "trial,arm,seed,in_time,recovered_s,refused_per_mille,errors_per_mille,bounced_per_mille,connections,\
         cold_tasks,rules_broken,over_the_whole,schedule_kept,played_again,failed\n",
    );
    for Played { trial, arm, seed, figures: f, again } in played {
        let recovered = f.recovered.map_or("never".into(), |s| format!("{s:.0}"));
        let _ = writeln!(
            text,
            "{trial},{arm:?},{seed},{:.4},{recovered},{:.2},{:.2},{:.2},{},{:.1},{},{},{},{again},{}",
            f.in_time,
            f.refused,
            f.errors,
            f.bounced,
            f.connections,
            f.warmed,
            f.rules,
            f.over,
            !f.marked,
            f.failed.as_deref().unwrap_or_default().replace(',', ";")
        );
    }
    text
}

pub fn markdown(played: &[Played]) -> String {
    let mut text = String::from(
        "| trial | arm | plays | revenue in time | recovered, s | refused, errors, bounced of 1,000 | new connections | \
         tasks at a cold worker | rules broken | over the whole | failed |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for ((trial, arm), of) in rows(played) {
        let all = |what: fn(&Figures) -> f64| spread(&of.iter().map(|f| what(f)).collect::<Vec<_>>());
        let (mean, least, most) = all(|f| f.in_time);
        let seconds: Vec<f64> = of.iter().filter_map(|f| f.recovered).collect();
        let (back, soonest, latest) = spread(&seconds);
        let never = of.len() - seconds.len();
        let recovered = match (seconds.is_empty(), never) {
            (true, _) => "never".to_owned(),
            (_, 0) => format!("{back:.0} ({soonest:.0} to {latest:.0})"),
            _ => format!("{back:.0} ({soonest:.0} to {latest:.0}), {never} never"),
        };
        let marked = of.iter().filter(|f| f.marked).count();
        let plays =
            if marked > 0 { format!("{}, {marked} off schedule", of.len()) } else { of.len().to_string() };
        let _ = writeln!(
            text,
            "| {trial} | {} | {plays} | {mean:.3} ({least:.3} to {most:.3}) | {recovered} | {:.1}, {:.1}, {:.1} | {:.0} | \
             {:.0} | {} | {} | {} |",
            match arm {
                Arm::Whole => "as written",
                Arm::Calm => "no fault",
                Arm::Apart => "no view, no budgets",
            },
            all(|f| f.refused).0,
            all(|f| f.errors).0,
            all(|f| f.bounced).0,
            all(|f| f.connections as f64).0,
            all(|f| f.warmed).0,
            of.iter().map(|f| f.rules).sum::<usize>(),
            of.iter().map(|f| f.over).sum::<usize>(),
            of.iter().filter(|f| f.failed.is_some()).count(),
        );
    }
    text
}

/// A chart of each trial: the part answered in time, by second, the mean of each arm's plays.
///
/// # Errors
/// Where a file cannot be written.
pub fn charts(folder: &Path, played: &[Played]) -> Result<()> {
    let mut trials: Vec<&str> = played.iter().map(|p| p.trial.as_str()).collect();
    trials.dedup();
    for trial in trials {
        let path = folder.join(format!("{trial}.svg"));
        let all = rows(played);
        let drawn = || -> std::result::Result<(), Box<dyn std::error::Error>> {
            let area = SVGBackend::new(&path, (1000, 380)).into_drawing_area();
            area.fill(&WHITE)?;
            let arms: Vec<_> = all.iter().filter(|((t, _), _)| *t == trial).collect();
            let far = arms.iter().flat_map(|(_, of)| of.iter().map(|f| f.seconds.len())).max().unwrap_or(1);
            let mut chart = ChartBuilder::on(&area)
                .caption(format!("{trial}: revenue answered in time, of that offered"), ("sans-serif", 18))
                .margin(10)
                .x_label_area_size(30)
                .y_label_area_size(40)
                .build_cartesian_2d(0.0..far as f64, 0.0..1.05)?;
            chart.configure_mesh().x_desc("seconds").draw()?;
            for (nth, ((_, arm), of)) in arms.into_iter().enumerate() {
                let mean = |n: usize| {
                    spread(&of.iter().filter_map(|f| f.seconds.get(n).copied()).collect::<Vec<_>>()).0
                };
                let color = Palette99::pick(nth).to_rgba();
                let line = (0..far).map(|n| (n as f64 + 0.5, mean(n)));
                let drawn = chart.draw_series(LineSeries::new(line, color.stroke_width(2)))?;
                drawn
                    .label(format!("{arm:?}"))
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
            }
            chart.configure_series_labels().border_style(BLACK.mix(0.3)).draw()?;
            area.present()?;
            Ok(())
        };
        if let Err(error) = drawn() {
            bail!("cannot draw {}: {error}", path.display());
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use rainlug_load::record::Ended;

    /// A task a second, each worth the same; those within `lost` are bounced.
    fn record(lost: std::ops::Range<u64>) -> Record {
        let end = |n: u64| {
            let (due, end) = (n * 1_000_000, if lost.contains(&n) { End::Bounced } else { End::Finished });
            Ended { workload: 0, due, sent: due, done: due + 300_000, end, again: 0, by: None }
        };
        Record { all: (0..40).map(end).collect(), ..Record::default() }
    }

    #[test]
    fn recovery_is_counted_from_the_first_fault_until_it_stays() {
        let of = |lost: std::ops::Range<u64>| figures(&record(lost), &[], 10.0, 40.0);
        let calm = of(0..0);
        assert_eq!((calm.in_time, calm.recovered, calm.bounced), (1.0, Some(0.0), 0.0));
        let hurt = of(12..20);
        assert_eq!((hurt.recovered, hurt.bounced), (Some(10.0), 200.0));
        assert!((hurt.in_time - 27.0 / 35.0).abs() < 1e-9);
        assert_eq!(of(12..40).recovered, None);
        // Late is not in time.
        let mut late = record(0..0);
        late.all[20].done += 1;
        assert_eq!(figures(&late, &[], 10.0, 40.0).seconds[20], 0.0);
    }

    #[test]
    fn tables_tell_each_arm_with_its_spread_and_what_was_off() {
        let of = |arm, seed, in_time, marked| {
            let figures = Figures { in_time, marked, recovered: Some(3.0), ..Figures::default() };
            Played { trial: "t".into(), arm, seed, figures, again: 0 }
        };
        let all = [of(Arm::Whole, 1, 0.5, false), of(Arm::Whole, 2, 0.7, true), of(Arm::Calm, 1, 0.9, false)];
        let table = markdown(&all);
        assert!(
            table.contains("| t | as written | 2, 1 off schedule | 0.600 (0.500 to 0.700) | 3 (3 to 3) |"),
            "{table}"
        );
        assert!(table.contains("| t | no fault | 1 | 0.900"), "{table}");
        assert_eq!(csv(&all).lines().count(), 4);
        let folder = tempfile::tempdir().unwrap();
        charts(folder.path(), &all).unwrap();
        assert!(std::fs::read_to_string(folder.path().join("t.svg")).unwrap().contains("Whole"));
    }
}
