//! An operator's configuration: parsed, validated as a whole, and looked up by host and path.

mod index;
mod parser;

use std::rc::Rc;

use bytes::Bytes;

use crate::Findings;
use index::RouteIndex;

/// How a route's requests may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They run at most once.
    Mutating,
    /// They are answered by a stream of events.
    Streaming,
    /// They are batch jobs.
    Bulk,
}

/// A route: which requests it takes, and how they are to be served. The JSON fields' names are those of the operators' pages.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in metrics.
    pub name: String,
    /// The host that requests have to name.
    pub host: String,
    /// What their path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// How they may be run.
    pub kind: RouteKind,
    /// After how many milliseconds a request is given up; may be 0 (none) for batch jobs only.
    pub timeout_ms: u64,
    /// The latency target in milliseconds; the timeout where none is stated.
    pub target_ms: u64,
    /// 0 is the highest.
    pub priority: u32,
    /// Services and their weights; one with weight 1 where the route names a single `service`.
    pub split: Vec<(String, f64)>,
    /// How often a request is sent to workers at most (`max_tries`); at least 1.
    pub max_attempts: u32,
    /// The field `sticky`: whether a client's requests prefer the worker that had its earlier ones. Nothing in the tier reads it.
    pub is_sticky: bool,
    /// Whether a stream that broke off may be resumed by another worker (`resumable`).
    pub is_resumable: bool,
    /// The target for the time between two events of a stream, in milliseconds (`gap_aim_ms`); 0 for none.
    pub gap_target_ms: u64,
    /// Of batch jobs: how many milliseconds after a job was first submitted all results are due.
    pub run_target_ms: u64,
    /// Of batch jobs: how many seconds after that items may be abandoned.
    pub retain_s: f64,
    /// Of batch jobs: how many tokens may be queued; 0 for no limit.
    pub max_queued_tokens: u64,
}

impl Route {
    /// Whether a request of the route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent
            || self.kind == RouteKind::Bulk
            || (self.kind == RouteKind::Streaming && self.is_resumable)
    }
}

/// A service: what a group of equal workers is to the operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name that routes and workers refer to.
    pub name: String,
    /// The path of health checks; empty where none is stated. Nothing in the tier reads it.
    pub health_path: String,
    /// Connections to one worker at most, from all processes together; 0 for no limit.
    pub max_conns: u64,
    /// Requests that a worker runs at once; 0 where not stated.
    pub slots: u64,
    /// Tokens that a worker's KV cache holds; 0 where not stated.
    pub kv_capacity_tokens: u64,
    /// The backend's `stride`; 0 where not stated. Nothing in the tier reads it.
    pub stride: u64,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's header.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Milliseconds in which a request's header has to arrive.
    pub header_timeout_ms: u64,
    /// Milliseconds that a connection may be idle, or a request's body may take.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A valid configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Above 0; each configuration in force has a higher one than that before.
    pub version: u64,
    /// In the operator's order.
    pub routes: Vec<Rc<Route>>,
    /// In the operator's order.
    pub services: Vec<Service>,
    /// Limits on what clients may send.
    pub limits: Limits,
    /// What the operator sent, to the byte.
    pub source: Bytes,
    index: RouteIndex,
}

impl Configuration {
    /// Parses and validates a configuration. Unknown fields are ignored. Whether its version is above the current one is for the
    /// caller to check.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(source: &Bytes) -> Result<Self, Findings> {
        parser::parse(source)
    }

    /// The route of a request: of the host's routes whose prefix the path begins with, the one with the longest. The host's case
    /// and port do not count, nor does what follows a `?`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.routes.get(self.index.find(host, path)?)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
