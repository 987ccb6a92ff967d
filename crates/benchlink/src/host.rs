//! Takes batches apart, line by line, and hands each event to its instance.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

use anyhow::{Context, Result, bail, ensure};
use rainlug::logic::Dispatcher;
use rainlug::{Listed, Moment, Outcome, Outgoing, State, Time};

use crate::fields::Fields;

/// Answers batches until the input ends.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut host = Host::default();
    let (mut line, mut number) = (String::new(), 0usize);
    loop {
        line.clear();
        number += 1;
        if input.read_line(&mut line).with_context(|| format!("line {number}: expected UTF-8 text"))? == 0 {
            return Ok(());
        }
        let text = line.strip_suffix('\n').unwrap_or(&line);
        let done = host.line(text.strip_suffix('\r').unwrap_or(text));
        if done.with_context(|| format!("line {number}"))? {
            host.reply.push_str("END\n");
            output.write_all(host.reply.as_bytes())?;
            output.flush()?;
            host.reply.clear();
        }
    }
}

#[derive(Default)]
struct Host {
    /// The clock of the batch being read; none between batches.
    now: Option<Time>,
    /// The running instances, and how many workloads each was told of.
    instances: HashMap<String, (Dispatcher, usize)>,
    lists: HashMap<usize, Vec<Listed>>,
    /// The list being read and how many of its lines are still to come.
    open: Option<(usize, usize)>,
    reply: String,
}

impl Host {
    /// Takes one line; true when it closed its batch.
    fn line(&mut self, line: &str) -> Result<bool> {
        let mut fields = Fields::of(line);
        let word = fields.word("a message")?;
        if let Some((slot, left)) = self.open {
            ensure!(word == "WORKER", "expected WORKER, found '{word}'");
            let entry = listed(&mut fields)?;
            self.lists.entry(slot).or_default().push(entry);
            self.open = (left > 1).then_some((slot, left - 1));
            return Ok(false);
        }
        let Some(now) = self.now else {
            ensure!(word == "TICK", "expected TICK, found '{word}'");
            self.now = Some(fields.time("the clock")?);
            return Ok(false);
        };
        match word {
            "END" => {
                self.now = None;
                return Ok(true);
            }
            "INVENTORY" => {
                let (slot, entries) = (fields.value("a slot")?, fields.value("a number of entries")?);
                self.lists.insert(slot, Vec::new());
                self.open = (entries > 0).then_some((slot, entries));
                return Ok(false);
            }
            _ => {}
        }
        let name = fields.word("an instance")?;
        let mut out = Replies { name, reply: &mut self.reply };
        let m = &mut Moment { now, out: &mut out };
        if word == "NEW_INSTANCE" {
            let seed = fields.value("a seed")?;
            let settings = fields.text("settings")?;
            let settings = serde_json::from_str(settings).context("expected settings as a JSON object")?;
            let made = rainlug_setup::dispatcher(m, seed, &settings)?;
            self.instances.insert(name.to_owned(), made);
            return Ok(false);
        }
        if word == "STOP" {
            self.instances.remove(name);
            return Ok(false);
        }
        let (to, workloads) = self
            .instances
            .get_mut(name)
            .with_context(|| format!("expected a running instance, found '{name}'"))?;
        event(to, *workloads, m, word, &mut fields, &self.lists)?;
        Ok(false)
    }
}

fn event(
    to: &mut Dispatcher,
    workloads: usize,
    m: &mut Moment,
    word: &str,
    fields: &mut Fields,
    lists: &HashMap<usize, Vec<Listed>>,
) -> Result<()> {
    match word {
        "QUERY" => {
            let id = fields.word("a request id")?;
            let workload = fields.value("a class")?;
            let customer = fields.maybe("a tenant")?;
            let _key: Option<u64> = fields.maybe("a key")?;
            let budget = fields.time("a time budget")?;
            let _hint = fields.amount("predicted work")?;
            let slots = fields.amount("slots")?.unwrap_or(1.0);
            ensure!(workload < workloads, "expected a class of the settings, found {workload}");
            to.task(m, id, (workload, customer), budget, slots);
        }
        "DONE" => {
            let (id, assignment) = (fields.word("a request id")?, fields.value("an attempt")?);
            fields.word("a worker")?;
            let outcome = outcome(fields.word("an outcome")?)?;
            fields.maybe_time("a delay")?;
            let closed = fields.flag("finished")?;
            fields.word("a remark")?;
            to.ended(m, id, assignment, (outcome, closed), fields.report()?);
        }
        "HINT_UPDATE" => {
            let (id, assignment) = (fields.word("a request id")?, fields.value("an attempt")?);
            fields.word("a worker")?;
            fields.value::<u32>("the kind of note")?;
            to.sign(m, id, assignment);
        }
        // No workload of a jobs service is streamed: the answer's start is one more sign of life.
        "HEAD_RECEIVED" => to.sign(m, fields.word("a request id")?, fields.value("an attempt")?),
        "CANCELLED_BY_CLIENT" => to.left(m, fields.word("a request id")?),
        "DUE" => to.due(m, fields.value("a mark")?),
        "PROBED" => {
            let outcome = outcome(fields.word("an outcome")?)?;
            fields.maybe_time("a delay")?;
            let worker = fields.word("a worker")?;
            to.probed(m, worker, outcome, fields.report()?);
        }
        "DISCOVERY" => {
            let scope = fields.word("a scope")?;
            if scope == "failed" {
                to.list_failed(m.now);
                return Ok(());
            }
            ensure!(["delta", "full", "cached"].contains(&scope), "expected a scope, found '{scope}'");
            fields.word("an epoch")?;
            let slot: usize = fields.value("a slot")?;
            let entries =
                lists.get(&slot).with_context(|| format!("expected the slot of a list, found {slot}"))?;
            to.list(m, scope != "delta", scope == "cached", entries);
        }
        // No dispatcher sends any.
        "PEER_DATA" => {}
        _ => bail!("expected an event, found '{word}'"),
    }
    Ok(())
}

fn listed(fields: &mut Fields) -> Result<Listed> {
    let id = fields.word("a worker")?.to_owned();
    let (zone, kind, cell) = (fields.value("a zone")?, fields.value("a shape")?, fields.value("a pack")?);
    let state = match fields.word("a condition")? {
        "on" => State::Ready,
        "fading" => State::Draining,
        "off" => State::Gone,
        word => bail!("expected on, fading or off, found '{word}'"),
    };
    let weight = fields.amount("a weight")?.unwrap_or(1.0);
    let started = fields.maybe_time("a start time")?.filter(|&at| at != 0);
    Ok(Listed { id, zone, kind, cell, state, weight, started })
}

fn outcome(word: &str) -> Result<Outcome> {
    Ok(match word {
        "Ok" => Outcome::Finished,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::Full,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::Unreachable,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Withdrawn,
        "Ignored" => Outcome::NeverSent,
        _ => bail!("expected an outcome, found '{word}'"),
    })
}

/// Writes one instance's decisions as reply lines.
struct Replies<'a> {
    name: &'a str,
    reply: &'a mut String,
}

fn put(reply: &mut String, line: std::fmt::Arguments) {
    reply.write_fmt(line).expect("a string takes every line");
}

/// Microseconds as the wire's milliseconds.
struct Millis(Time);

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        write!(f, "{sign}{}.{:03}", self.0.abs() / 1000, self.0.abs() % 1000)
    }
}

impl Outgoing for Replies<'_> {
    fn assign(&mut self, task: &str, worker: &str) {
        put(self.reply, format_args!("TRANSMIT {} {task} - {worker}\n", self.name));
    }

    fn withdraw(&mut self, task: &str, assignment: usize) {
        put(self.reply, format_args!("RETRACT {} {task} {assignment}\n", self.name));
    }

    fn bounce(&mut self, task: &str, pause: Time) {
        put(self.reply, format_args!("TURN_AWAY {} {task} {}\n", self.name, Millis(pause)));
    }

    fn abandon(&mut self, task: &str) {
        put(self.reply, format_args!("ABORT {} {task}\n", self.name));
    }

    fn wake(&mut self, at: Time, mark: u64) {
        put(self.reply, format_args!("NOTIFY_ME {} {} {mark}\n", self.name, Millis(at)));
    }

    fn probe(&mut self, worker: &str) {
        put(self.reply, format_args!("SOUND_OUT {} {worker}\n", self.name));
    }

    fn follow(&mut self) {
        put(self.reply, format_args!("WATCH {} 1\n", self.name));
    }
}
