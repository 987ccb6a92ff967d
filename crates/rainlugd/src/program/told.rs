//! What the program is told: the file that `RELAY_CONFIG` names. Each part is made of its own few keys.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs};

use anyhow::{Context, Result, ensure};
use rainlug::logic::Dispatcher;
use rainlug::{Moment, SECOND, Time};
use rainlug_setup as setup;
use serde_json::Value;

use crate::base::Clock;
use crate::protocol::words::{self, Entry};
use crate::routing::client::Door;
use crate::routing::figures::Figures;
use crate::routing::list::Source;
use crate::routing::{Reach, ToModule};
use crate::transport::{Bounds, Pool, Trust};

/// Idle connections are closed after this part of the time after which workers close them: a task written to one
/// that its worker is closing may have run, for all that can be known.
const IDLE_USE: f64 = 0.6;
/// A line of the list may take one part of so many of the memory.
const LIST_PART: usize = 16;
/// The process may be killed no sooner than the longest expiry after the word to stop, at most this, and
/// `LAST_KILL` more.
const SHORTEST_KILL: Time = 3 * SECOND;
const LAST_KILL: Time = 7 * SECOND / 10;

/// Keys that are read at the start alone, where a change of them would matter.
pub const LATER: [&str; 6] = ["name", "listen", "management", "fleet", "limits", "settings"];

/// Within this time of connecting a client that sends nothing that can be used is owed an error or a close.
const OWED: Time = 3 * SECOND;
/// Part of it in which a request must have come whole.
const HASTE: f64 = 0.6;

/// The file's path and what it holds.
pub fn read() -> Result<(String, Value)> {
    let path = env::var("RELAY_CONFIG").context("RELAY_CONFIG names no configuration file")?;
    let all = from(&path)?;
    Ok((path, all))
}

/// What the file there holds.
pub fn from(path: &str) -> Result<Value> {
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    serde_json::from_str(&text).with_context(|| format!("{path} is not JSON"))
}

fn settings(all: &Value) -> Result<&Value> {
    all.get("settings").context("settings lack an object at /settings")
}

pub fn room(all: &Value) -> Result<(Bounds, Pool)> {
    let descriptors = setup::count(all, "/limits/sockets")?;
    let memory = memory(all)?;
    Ok((Bounds::within(descriptors, memory, management(all)?.is_some()), Pool::within(memory)))
}

/// The second address, where there is one: not the clients'.
pub fn management(all: &Value) -> Result<Option<SocketAddr>> {
    let found = all.get("management").map(|_| setup::address(all, "/management")).transpose()?;
    let taken =
        found.is_some_and(|at| at.port() != 0 && Ok(at) == setup::address(all, "/listen").map_err(drop));
    ensure!(!taken, "/management is the clients' address, /listen");
    Ok(found)
}

/// The directory in which the processes of this dispatcher tell one another.
pub fn common() -> Option<PathBuf> {
    env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from)
}

pub fn name(all: &Value) -> Result<String> {
    setup::name(all, "/name")
}

/// The name of this dispatcher's zone; empty where zones have none.
pub fn zone(all: &Value) -> Result<String> {
    let settings = settings(all)?;
    Ok(setup::names(settings, "/zones")?
        .into_iter()
        .nth(setup::count(settings, "/zone")?)
        .unwrap_or_default())
}

pub fn figures(all: &Value) -> Result<Figures> {
    Ok(Figures::of(setup::names(settings(all)?, "/workloads")?))
}

fn memory(all: &Value) -> Result<usize> {
    Ok(setup::count(all, "/limits/memory_mb")? << 20)
}

pub fn reach(
    all: &Value,
    clock: Clock,
    (bounds, pool): (&Bounds, &Pool),
    module: &ToModule,
    figures: &Rc<Figures>,
) -> Result<Reach> {
    let settings = settings(all)?;
    // A send that waits for its connection must be out before the grace of a drain is over.
    let grace = setup::time(settings, "/obligations/drainGraceMs")?;
    let dial = setup::time(settings, "/limits/dialTimeoutMs")?.min(grace / 2);
    let idle = lasting(setup::time(settings, "/limits/connIdleMs")?);
    Ok(Reach {
        clock,
        pool: pool.clone(),
        room: bounds.workers.clone(),
        module: module.clone(),
        dial: lasting(dial),
        trust: Trust::up_to(idle.mul_f64(IDLE_USE)),
        figures: figures.clone(),
    })
}

pub fn door(
    all: &Value,
    clock: Clock,
    bounds: &Bounds,
    module: &ToModule,
    figures: &Rc<Figures>,
) -> Result<Door> {
    let settings = settings(all)?;
    let names = setup::names(settings, "/workloads")?.into_iter();
    Ok(Door {
        clock,
        module: module.clone(),
        room: bounds.clients.clone(),
        spare: bounds.turned_away.clone(),
        workloads: names.zip(setup::expiries(settings)?).collect(),
        customers: setup::names(settings, "/customers")?,
        patience: lasting(longest(settings)?),
        haste: lasting(OWED).mul_f64(HASTE),
        figures: figures.clone(),
        beside: None,
    })
}

pub fn source(all: &Value) -> Result<Source> {
    let settings = settings(all)?;
    Ok(Source {
        at: setup::address(all, "/discovery")?,
        zones: setup::names(settings, "/zones")?,
        kinds: setup::names(settings, "/hostTypes")?,
        most: memory(all)? / LIST_PART,
        brief: setup::must_ask(settings)? && setup::live_weights(settings)?,
    })
}

/// The list as it was last had, and its version.
pub fn known(all: &Value, from: &Source) -> Result<(u64, Vec<Entry>)> {
    let read = words::of_list(&all["known"], &from.zones, &from.kinds);
    let (rev, _, entries) = read.context("expected a list with rev, all and targets at /known")?;
    Ok((rev, entries))
}

/// Makes the module.
pub fn dispatcher(m: &mut Moment, all: &Value) -> Result<Dispatcher> {
    let (made, _) = setup::dispatcher(m, setup::seed(all, "/seed")?, settings(all)?)?;
    Ok(made)
}

/// True where the list comes only when it is asked for.
pub fn must_ask(all: &Value) -> Result<bool> {
    setup::must_ask(settings(all)?)
}

/// After the word to stop, every task is answered within this time.
pub fn closing(all: &Value) -> Result<Time> {
    Ok(longest(settings(all)?)?.min(SHORTEST_KILL) + LAST_KILL / 2)
}

fn longest(settings: &Value) -> Result<Time> {
    Ok(setup::expiries(settings)?.into_iter().max().unwrap_or(0))
}

fn lasting(time: Time) -> Duration {
    Duration::from_micros(time as u64)
}
