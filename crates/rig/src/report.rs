//! Tables and a chart of a run.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use anyhow::{Context, Result, bail};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::check::{Record, Verdict};
use crate::play::ends;
use crate::spent::STEP;

/// A run as it is kept: its script as played, what was seen, how it was judged.
#[derive(Deserialize, Serialize)]
pub struct Kept {
    pub version: String,
    pub script: serde_json::Value,
    pub record: Record,
    pub verdicts: Vec<Verdict>,
}

pub fn put(folder: &Path, name: &str, text: &str) -> Result<()> {
    let path = folder.join(name);
    fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
}

pub fn keep(folder: &Path, kept: &Kept) -> Result<()> {
    put(folder, "record.json", &serde_json::to_string(kept)?)
}

pub fn read(folder: &Path) -> Result<Kept> {
    let path = folder.join("record.json");
    let text = fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is no record", path.display()))
}

/// Writes `report.md`, `views.csv` and `views.svg`.
pub fn write(folder: &Path, kept: &Kept) -> Result<()> {
    put(folder, "report.md", &markdown(kept)?)?;
    let mut views = String::from("seconds,dispatcher,version,distrust,alive,suspect,gone,left\n");
    for round in &kept.record.rounds {
        for s in &round.samples {
            let count = |state: &str| s.states.values().filter(|v| *v == state).count();
            let [alive, suspect, gone, left] = ["alive", "suspect", "gone", "left"].map(count);
            writeln!(
                views,
                "{:.3},d{},{},{},{alive},{suspect},{gone},{left}",
                round.at, s.who, s.version, s.distrust
            )?;
        }
    }
    put(folder, "views.csv", &views)?;
    if !kept.record.spent.is_empty() {
        let names: Vec<String> = kept.record.spent.iter().map(|s| format!("{0},{0}_whole", s.name)).collect();
        let mut budgets = format!("seconds,{}\n", names.join(","));
        for n in 0..kept.record.spent[0].series.len() {
            let values: Vec<String> =
                kept.record.spent.iter().map(|s| format!("{:.2},{}", s.series[n], s.wholes[n])).collect();
            writeln!(budgets, "{:.1},{}", n as f64 * STEP, values.join(","))?;
        }
        put(folder, "budgets.csv", &budgets)?;
        used(&folder.join("budgets.svg"), &kept.record)?;
    }
    chart(&folder.join("views.svg"), &kept.record)
}

pub fn markdown(kept: &Kept) -> Result<String> {
    let (script, record) = (&kept.script, &kept.record);
    let mut text = format!(
        "rainlug-rig {}: {}, {} dispatchers, seed {}, {} s\n\n",
        kept.version,
        script["name"].as_str().unwrap_or_default(),
        script["count"],
        script["seed"],
        script["seconds"]
    );
    if record.schedule_missed {
        text += "**The load did not keep its schedule: the machine is too small for this run.**\n\n";
    }
    text += "| check | held | seconds | |\n| --- | --- | --- | --- |\n";
    for v in &kept.verdicts {
        writeln!(
            text,
            "| {} | {} | {:.1} | {} |",
            v.check,
            if v.held { "yes" } else { "**no**" },
            v.at,
            v.words
        )?;
    }
    if !record.spent.is_empty() {
        text +=
            "\n| budget | most at once, or drawn from the burst | over the whole |\n| --- | --- | --- |\n";
        for s in &record.spent {
            writeln!(text, "| {} | {:.1} | {} |", s.name, s.most, s.over.len())?;
        }
    }
    text += "\n| seconds | done |\n| --- | --- |\n";
    for (at, act) in &record.events {
        writeln!(text, "| {at:.1} | {act} |")?;
    }
    let seconds = script["seconds"].as_f64().unwrap_or(1.0).max(0.001);
    let each = record.bytes as f64 / seconds / script["count"].as_f64().unwrap_or(1.0).max(1.0);
    let tasks: Vec<String> = ends(record).iter().map(|(end, n)| format!("{n} {end:?}")).collect();
    writeln!(
        text,
        "\n{} datagrams between dispatchers ({} lost by the script), {each:.0} bytes a second for each, the longest {}. Tasks: {}. \
         {} connections to workers.",
        record.datagrams,
        record.lost,
        record.longest,
        if tasks.is_empty() { "none".into() } else { tasks.join(", ") },
        record.connections
    )?;
    Ok(text)
}

/// How many each holds for there, over time, and what was done when.
fn chart(path: &Path, record: &Record) -> Result<()> {
    // A line of pieces: while a process is away there is nothing to draw, and no line over the gap.
    let mut lines = std::collections::BTreeMap::<usize, Vec<Vec<(f64, f64)>>>::new();
    for round in &record.rounds {
        for s in &round.samples {
            let there = s.states.values().filter(|v| *v == "alive" || *v == "suspect").count();
            // Lines that lie on one another would hide all but one.
            let shift = (s.who % 8) as f64 * 0.02;
            let pieces = lines.entry(s.who).or_insert_with(|| vec![Vec::new()]);
            pieces.last_mut().into_iter().for_each(|piece| piece.push((round.at, there as f64 + shift)));
        }
        for (who, pieces) in &mut lines {
            if !round.samples.iter().any(|s| s.who == *who) && pieces.last().is_some_and(|p| !p.is_empty()) {
                pieces.push(Vec::new());
            }
        }
    }
    let far = record.rounds.last().map_or(1.0, |r| r.at.max(1.0));
    let high = lines.values().flatten().flatten().fold(1.0f64, |h, p| h.max(p.1));
    let drawn = || -> std::result::Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (1000, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("dispatchers that each holds for there", ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..far, 0.0..high + 1.0)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (n, (at, act)) in record.events.iter().enumerate() {
            let ends = vec![(*at, 0.0), (*at, high + 1.0)];
            chart.draw_series(LineSeries::new(ends, RED.mix(0.4)))?;
            // Many would lie on one another; the report has them all.
            let words: String = act.chars().take(if record.events.len() > 20 { 0 } else { 40 }).collect();
            let place = (*at, (high + 1.0) * (0.06 + 0.05 * (n % 6) as f64));
            chart.draw_series([Text::new(words, place, ("sans-serif", 10).into_font())])?;
        }
        for (who, piece) in lines.iter().flat_map(|(who, pieces)| pieces.iter().map(move |p| (who, p))) {
            let color = Palette99::pick(*who).to_rgba();
            chart.draw_series(LineSeries::new(piece.iter().copied(), color.stroke_width(1)))?;
        }
        area.present()?;
        Ok(())
    };
    match drawn() {
        Ok(()) => Ok(()),
        Err(error) => bail!("cannot draw {}: {error}", path.display()),
    }
}

/// The part of each budget's whole that is used, over time, and what was done when.
fn used(path: &Path, record: &Record) -> Result<()> {
    let far = record.spent[0].series.len() as f64 * STEP;
    let drawn = || -> std::result::Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (1000, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("part of each budget's whole in use at the workers", ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..far.max(1.0), 0.0..1.3)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (n, (at, act)) in record.events.iter().enumerate() {
            chart.draw_series(LineSeries::new([(*at, 0.0), (*at, 1.3)], RED.mix(0.4)))?;
            let words: String = act.chars().take(if record.events.len() > 20 { 0 } else { 40 }).collect();
            let place = (*at, 1.3 - 0.05 * (1 + n % 4) as f64);
            chart.draw_series([Text::new(words, place, ("sans-serif", 10).into_font())])?;
        }
        for (nth, spent) in record.spent.iter().enumerate() {
            let color = Palette99::pick(nth).to_rgba();
            let parts = spent.series.iter().zip(&spent.wholes).enumerate();
            let parts = parts.map(|(n, (used, whole))| (n as f64 * STEP, used / whole));
            let line = chart.draw_series(LineSeries::new(parts, color.stroke_width(1)))?;
            line.label(&spent.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK.mix(0.3)).draw()?;
        area.present()?;
        Ok(())
    };
    match drawn() {
        Ok(()) => Ok(()),
        Err(error) => bail!("cannot draw {}: {error}", path.display()),
    }
}
