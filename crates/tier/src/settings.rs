//! The settings file of a gateway or store: TOML, checked field by field so that all that is wrong is reported at once. Unknown
//! fields are ignored.

mod fields;

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use quick_error::quick_error;
use rainlug::{SECOND, Time};
use serde::Deserialize;

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where: a field's path, a line, or `/` for the whole file.
    pub place: String,
    /// What was expected there.
    pub expected: String,
}

impl Finding {
    pub(crate) fn new(place: &str, expected: String) -> Self {
        Finding { place: place.to_owned(), expected }
    }

    /// A finding about the whole file.
    pub(crate) fn of_file(expected: String) -> Self {
        Finding::new("/", expected)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.expected)
    }
}

/// Findings in one line.
pub(crate) fn join(findings: &[Finding]) -> String {
    let texts: Vec<String> = findings.iter().map(Finding::to_string).collect();
    texts.join("; ")
}

quick_error! {
    /// Why there are no settings.
    #[derive(Debug)]
    pub enum Error {
        /// `RAINLUG_SETTINGS` is not set, and no file was named.
        Unnamed { display("no settings: RAINLUG_SETTINGS names no file") }
        /// The file cannot be read.
        Unreadable(path: PathBuf, source: std::io::Error) {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// The file is read and wrong.
        Invalid(path: PathBuf, findings: Vec<Finding>) { display("{}: {}", path.display(), join(findings)) }
    }
}

/// The settings of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The process's name.
    pub node: String,
    /// The failure domain that the process's machine is in.
    pub zone: String,
    /// The region that the zone is in.
    #[serde(default)]
    pub region: String,
    /// The address of the process's machine.
    pub ip: IpAddr,
    /// Ports for traffic between processes of the tier, first and last.
    pub port_range: (u16, u16),
    /// Control addresses of the processes that a new one joins by.
    pub seeds: Vec<SocketAddr>,
    /// Whether the tier is founded now.
    #[serde(default)]
    pub first_boot: bool,
    /// The folder of the process's disk.
    pub data_dir: Option<PathBuf>,
    /// For drills only: names the peers that this process is isolated from ([`crate::faults`]).
    pub fault_file: Option<PathBuf>,
    /// Between two heartbeats of a worker, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the process listens.
    #[serde(default)]
    pub listen: Listen,
    /// What the process may use.
    pub limits: Limits,
    /// What the deployment's users rely on; all of it where it is not given.
    pub contracts: Option<Vec<String>>,
    /// Losses that the tier must outlive.
    pub tolerate: Tolerate,
    /// Bounds on time.
    pub bounds: Bounds,
    /// `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Addresses that a process listens at besides that of its peers.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    /// Clients' requests.
    pub front: Option<SocketAddr>,
    /// Readiness checks.
    pub ready: Option<SocketAddr>,
    /// Workers' heartbeats and operators' calls.
    pub control: Option<SocketAddr>,
}

/// What a process may use of its machine.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Share of the processors.
    pub cpu_share: f64,
    /// Memory, in millions of bytes.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub max_fds: u64,
    /// Disk, in millions of bytes.
    #[serde(default)]
    pub disk_mb: f64,
    /// Capacity of the machine's link, in millions of bits a second (0: unknown).
    #[serde(default)]
    pub link_mbps: f64,
}

/// How much may be lost at once without a loss of committed state.
#[derive(Clone, Debug, Deserialize)]
pub struct Tolerate {
    /// Machines.
    pub machines: u32,
    /// Zones.
    #[serde(default)]
    pub zones: u32,
    /// Regions.
    #[serde(default)]
    pub regions: u32,
}

/// Bounds on time.
#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
    /// Time for a graceful shutdown, in seconds.
    pub grace_s: f64,
    /// Handed to the gateway, which does not use it, in milliseconds.
    #[serde(default = "default_pass_ms")]
    pub pass_ms: f64,
    /// How long a finished batch job can be read, in seconds.
    #[serde(default = "default_status_s")]
    pub status_s: f64,
    /// How soon after its start a machine counts as complete again, with an empty disk too, in seconds (0: unknown).
    #[serde(default)]
    pub sync_s: f64,
    /// For how long a watch can go on from a revision that it was given, in seconds.
    #[serde(default = "default_history_s")]
    pub history_s: f64,
}

/// The contract of locks, numbers, keys and watches.
const PRIMITIVES_CONTRACT: &str = "coord";

/// Capacity of the link where the settings do not give it.
const DEFAULT_LINK_MBPS: f64 = 1000.0;
/// Time until a machine is complete where the settings do not give it.
const DEFAULT_SYNC_S: f64 = 5.0;

fn default_log_level() -> String {
    "info".to_owned()
}

fn default_history_s() -> f64 {
    20.0
}

fn default_pass_ms() -> f64 {
    120.0
}

fn default_status_s() -> f64 {
    120.0
}

impl Limits {
    /// Capacity of the machine's link, in bytes a second.
    pub fn link_bytes_per_second(&self) -> u64 {
        let mbps = if self.link_mbps > 0.0 { self.link_mbps } else { DEFAULT_LINK_MBPS };
        (mbps * 1e6 / 8.0) as u64
    }
}

impl Bounds {
    /// How soon after its start a machine counts as complete again, in microseconds.
    pub fn sync_time(&self) -> Time {
        let seconds = if self.sync_s > 0.0 { self.sync_s } else { DEFAULT_SYNC_S };
        (seconds * SECOND as f64) as Time
    }

    /// For how long a watch can go on from a revision that it was given, in microseconds.
    pub fn watch_history(&self) -> Time {
        (self.history_s * SECOND as f64) as Time
    }

    /// Time for a graceful shutdown.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }
}

impl Settings {
    /// Reads the file that `RAINLUG_SETTINGS` names.
    ///
    /// # Errors
    /// Where the variable is not set, or as [`Settings::from_file`].
    pub fn from_environment() -> Result<Self, Error> {
        let path = std::env::var_os("RAINLUG_SETTINGS").ok_or(Error::Unnamed)?;
        Settings::from_file(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Where the file cannot be read, or is wrong.
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Unreadable(path.to_owned(), e))?;
        Settings::parse(&text).map_err(|findings| Error::Invalid(path.to_owned(), findings))
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// All that is wrong.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let table = fields::parse_table(text)?;
        let findings = fields::check_fields(&table);
        if !findings.is_empty() {
            return Err(findings);
        }
        table.try_into().map_err(|e: toml::de::Error| vec![Finding::of_file(e.message().replace('\n', " "))])
    }

    /// All that is wrong with the text of a settings file: the findings of [`Settings::parse`], and what is missing for what the
    /// process is to serve.
    pub fn check(text: &str) -> Vec<Finding> {
        let table = match fields::parse_table(text) {
            Ok(table) => table,
            Err(findings) => return findings,
        };
        let mut findings = Settings::parse(text).err().unwrap_or_default();
        for finding in fields::check_served(&table) {
            if findings.iter().all(|known| known.place != finding.place) {
                findings.push(finding);
            }
        }
        findings
    }

    /// Whether applications rely on locks, numbers, keys and watches.
    pub fn serves_primitives(&self) -> bool {
        let contracts = self.contracts.as_ref();
        contracts.is_none_or(|contracts| contracts.iter().any(|contract| contract == PRIMITIVES_CONTRACT))
    }

    /// Where this process listens for its peers.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// Where the seeds listen for their peers: all machines use the same ports.
    pub fn seed_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|s| SocketAddr::new(s.ip(), self.port_range.0)).collect()
    }
}
