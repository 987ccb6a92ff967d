//! The settings file: read by a library for TOML, checked field by field, so that all that is wrong is told at once. Fields that
//! are not known are ignored.

pub mod fields;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use rainlug::{SECOND, Time};
use serde::Deserialize;

quick_error! {
    /// Why there are no settings.
    #[derive(Debug)]
    pub enum Error {
        /// `RAINLUG_SETTINGS` is not set, and no file was named.
        Unnamed { display("no settings: RAINLUG_SETTINGS names no file") }
        Unread(path: PathBuf, source: std::io::Error) {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// In one line: the place and what was expected.
        Wrong(path: PathBuf, findings: Vec<String>) { display("{}: {}", path.display(), findings.join("; ")) }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    pub ip: IpAddr,
    /// Ports for traffic between processes of the tier, first and last.
    pub port_range: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    #[serde(default)]
    pub first_boot: bool,
    pub data_dir: Option<PathBuf>,
    /// For drills only: names the peers that this process is cut off from ([`crate::faults`]).
    pub fault_file: Option<PathBuf>,
    pub beat_ms: u64,
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub listen: Listen,
    pub limits: Limits,
    pub tolerate: Tolerate,
    pub bounds: Bounds,
    #[serde(default = "level")]
    pub log_level: String,
}

fn level() -> String {
    "info".to_owned()
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    pub front: Option<SocketAddr>,
    pub ready: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub max_fds: u64,
    #[serde(default)]
    pub disk_mb: f64,
    /// What the machine's link carries, in millions of bits a second (0: not known).
    #[serde(default)]
    pub link_mbps: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Tolerate {
    pub machines: u32,
    #[serde(default)]
    pub zones: u32,
    #[serde(default)]
    pub regions: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
    pub grace_s: f64,
    #[serde(default = "pass")]
    pub pass_ms: f64,
    #[serde(default = "status")]
    pub status_s: f64,
    /// How soon after its start a machine counts as whole again, with an empty disk too, in seconds (0: not known).
    #[serde(default)]
    pub sync_s: f64,
}

/// Where the settings do not tell what the link carries.
const DEFAULT_LINK_MBPS: f64 = 1000.0;
/// Where the settings do not tell when a machine counts as whole again.
const DEFAULT_SYNC_S: f64 = 5.0;

impl Limits {
    /// What the machine's link carries, in bytes a second.
    pub fn link_bytes_per_second(&self) -> u64 {
        let mbps = if self.link_mbps > 0.0 { self.link_mbps } else { DEFAULT_LINK_MBPS };
        (mbps * 1e6 / 8.0) as u64
    }
}

impl Bounds {
    /// How soon after its start a machine counts as whole again.
    pub fn sync_time(&self) -> Time {
        let seconds = if self.sync_s > 0.0 { self.sync_s } else { DEFAULT_SYNC_S };
        (seconds * SECOND as f64) as Time
    }
}

fn pass() -> f64 {
    120.0
}

fn status() -> f64 {
    120.0
}

impl Settings {
    /// Reads the file that `RAINLUG_SETTINGS` names.
    ///
    /// # Errors
    /// Where there is none, or it cannot be used; all that is wrong in one line.
    pub fn from_environment() -> Result<Self, Error> {
        let path = std::env::var_os("RAINLUG_SETTINGS").ok_or(Error::Unnamed)?;
        Settings::from_file(Path::new(&path))
    }

    /// # Errors
    /// As [`Settings::from_environment`].
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Unread(path.to_owned(), e))?;
        Settings::read(&text).map_err(|findings| Error::Wrong(path.to_owned(), findings))
    }

    /// # Errors
    /// All findings, each with its place.
    pub fn read(text: &str) -> Result<Self, Vec<String>> {
        let table = fields::table(text)?;
        let findings = fields::findings(&table);
        if !findings.is_empty() {
            return Err(findings.iter().map(|(place, expected)| format!("{place}: {expected}")).collect());
        }
        table.try_into().map_err(|e: toml::de::Error| vec![e.message().replace('\n', " ")])
    }

    /// Where this process hears its peers.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port_range.0)
    }

    /// Where the seeds do: all machines use the same ports.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|s| SocketAddr::new(s.ip(), self.port_range.0)).collect()
    }
}
