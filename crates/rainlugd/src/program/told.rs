//! What the program is told at its start: the file that `RELAY_CONFIG` names.

use std::net::SocketAddr;
use std::time::Duration;
use std::{env, fs};

use anyhow::{Context, Result};
use rainlug::{SECOND, Time};
use rainlug_setup as setup;
use serde_json::Value;

/// The process may be killed no sooner than the longest expiry after the word to stop, at most this, and
/// `LAST_KILL` more.
const SHORTEST_KILL: Time = 3 * SECOND;
const LAST_KILL: Time = 7 * SECOND / 10;

/// Everything is checked before the first socket is opened.
pub struct Told {
    /// The file.
    pub path: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub descriptors: usize,
    pub memory: usize,
    pub known: Value,
    /// The module's own part, and what of it the program uses too.
    pub settings: Value,
    pub names: Vec<String>,
    pub expiries: Vec<Time>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub must_ask: bool,
    pub dial: Duration,
    pub idle: Duration,
    pub patience: Duration,
    /// After the word to stop, every task is answered within this time.
    pub closing: Time,
}

pub fn read() -> Result<Told> {
    let path = env::var("RELAY_CONFIG").context("RELAY_CONFIG names no configuration file")?;
    let text = fs::read_to_string(&path).with_context(|| format!("cannot read {path}"))?;
    let all = serde_json::from_str(&text).with_context(|| format!("{path} is not JSON"))?;
    told(path.clone(), all).context(path)
}

fn told(path: String, mut all: Value) -> Result<Told> {
    let mut settings =
        all.get_mut("settings").map(Value::take).context("settings lack an object at /settings")?;
    // The protocol has no message between dispatchers.
    if let Some(peers) = settings.pointer_mut("/limits/peers") {
        *peers = Value::Bool(false);
    }
    let of = &settings;
    let expiries = setup::expiries(of)?;
    let longest = expiries.iter().copied().max().unwrap_or(0);
    let lasting = |time: Time| Duration::from_micros(time as u64);
    // A send that waits for its connection must be out before the grace of a drain is over.
    let grace = setup::time(of, "/obligations/drainGraceMs")?;
    Ok(Told {
        path,
        listen: setup::address(&all, "/listen")?,
        discovery: setup::address(&all, "/discovery")?,
        seed: setup::seed(&all, "/seed")?,
        descriptors: setup::count(&all, "/limits/sockets")?,
        memory: setup::count(&all, "/limits/memory_mb")? << 20,
        known: all.get_mut("known").map(Value::take).unwrap_or_default(),
        names: setup::names(of, "/workloads")?,
        customers: setup::names(of, "/customers")?,
        zones: setup::names(of, "/zones")?,
        kinds: setup::names(of, "/hostTypes")?,
        must_ask: setup::must_ask(of)?,
        dial: lasting(setup::time(of, "/limits/dialTimeoutMs")?.min(grace / 2)),
        idle: lasting(setup::time(of, "/limits/connIdleMs")?),
        patience: lasting(longest),
        closing: longest.min(SHORTEST_KILL) + LAST_KILL / 2,
        expiries,
        settings,
    })
}
