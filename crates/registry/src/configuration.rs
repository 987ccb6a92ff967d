//! An operator's configuration: read, checked as a whole, and looked up by host and path.

use std::rc::Rc;

use bytes::Bytes;

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run again.
    Idempotent,
    /// Runs at most once.
    Mutating,
    /// Answered by a series of events.
    Streaming,
    /// Batch jobs.
    Bulk,
}

/// A route: which requests it takes, and what is owed to them. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub kind: Kind,
    pub timeout_ms: u64,
    pub target_ms: u64,
    /// 0 is the highest.
    pub priority: u32,
    /// Services and their weights; one with weight 1 where the route names a single `service`.
    pub split: Vec<(String, f64)>,
    pub max_tries: u32,
    pub sticky: bool,
    pub resumable: bool,
    pub gap_aim_ms: u64,
    /// Of bulk routes: how long after the batch job was first sent all results are due; until when an item may not be given up;
    /// tokens that may wait, 0 for no limit.
    pub run_target_ms: u64,
    pub retain_s: f64,
    pub max_queued_tokens: u64,
}

impl Route {
    /// Whether a request of it may run more than once.
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent
            || self.kind == Kind::Bulk
            || (self.kind == Kind::Streaming && self.resumable)
    }
}

/// A service as the operator describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub max_conns: u64,
    /// Requests a worker runs at once, and tokens that its memory holds; 0 where not told.
    pub slots: u64,
    pub kv_capacity_tokens: u64,
    pub stride: u64,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// A whole configuration that was read and checked; `text` is what the operator sent, to the byte.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Rc<Route>>,
    pub services: Vec<Service>,
    pub limits: Limits,
    pub text: Bytes,
}

/// What is wrong with a configuration: each finding with its place (`/routes/3/timeout_ms`) and what was expected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<(String, String)>);

impl Configuration {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// All that is wrong with it, each with its place.
    pub fn read(_text: &Bytes) -> Result<Self, Findings> {
        todo!("routes, services, limits; nanoserde; unknown fields are ignored")
    }

    /// The route of a host and a path: of that host's routes whose prefix begins the path, the longest.
    pub fn route(&self, _host: &str, _path: &str) -> Option<&Rc<Route>> {
        todo!("an index made in `read`")
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}
