//! An operator's configuration: read, checked as a whole, and looked up by host and path.

use std::borrow::Cow;
use std::collections::hash_map::{Entry, HashMap};
use std::fmt;
use std::rc::Rc;

use bytes::Bytes;

use crate::json::{Reader, Value};

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
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
    pub kind: RouteKind,
    pub timeout_ms: u64,
    pub target_ms: u64,
    /// 0 is the highest.
    pub priority: u32,
    /// Services and their weights; one with weight 1 where the route names a single `service`.
    pub split: Vec<(String, f64)>,
    pub max_attempts: u32,
    pub is_sticky: bool,
    pub is_resumable: bool,
    pub gap_target_ms: u64,
    /// Of bulk routes: how long after the batch job was first sent all results are due; until when an item may not be given up;
    /// tokens that may wait, 0 for no limit.
    pub run_target_ms: u64,
    pub retain_s: f64,
    pub max_queued_tokens: u64,
}

impl Route {
    /// Whether a request of it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent
            || self.kind == RouteKind::Bulk
            || (self.kind == RouteKind::Streaming && self.is_resumable)
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

/// A whole configuration that was read and checked; `source` is what the operator sent, to the byte.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Rc<Route>>,
    pub services: Vec<Service>,
    pub limits: Limits,
    pub source: Bytes,
    index: HashMap<String, Prefixes>,
}

/// The routes of one host: positions by prefix.
#[derive(Clone, Debug, Default, PartialEq)]
struct Prefixes {
    longest: usize,
    by_prefix: HashMap<String, usize>,
}

/// One thing that is wrong with a JSON document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where: a JSON pointer (RFC 6901) such as `/routes/3/timeout_ms`; `/` for the document itself.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

/// All that is wrong with a JSON document, in the order of its fields' checks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// A single finding about the document itself.
    pub(crate) fn of_document(expected: String) -> Self {
        Findings(vec![Finding { path: "/".to_owned(), expected }])
    }

    /// Adds a finding at a path.
    pub(crate) fn push(&mut self, path: String, expected: String) {
        self.0.push(Finding { path, expected });
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, Finding { path, expected }) in self.0.iter().enumerate() {
            let gap = if n == 0 { "" } else { "; " };
            write!(f, "{gap}{path}: {}", expected.replace(['\n', '\r'], " "))?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

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

impl Configuration {
    /// Reads and checks a configuration. Unknown fields are ignored. Whether its version is above the current one is for the
    /// caller to check.
    ///
    /// # Errors
    /// All that is wrong with it, each with its place.
    pub fn parse(text: &Bytes) -> Result<Self, Findings> {
        let whole = Value::read(text)?;
        let mut findings = Findings::default();
        if !matches!(whole, Value::Object(_)) {
            return Err(Findings::of_document("an object expected".to_owned()));
        }
        let mut top = Reader { object: &whole, place: String::new(), findings: &mut findings };
        let version = top.whole("version").unwrap_or(0);
        if version == 0 {
            top.wrong("version", "a version above 0 expected");
        }
        let services_told = top.need_list("services");
        let routes_told = top.need_list("routes");
        let mut services = HashMap::new();
        let mut read_services = Vec::new();
        for (n, object) in services_told.iter().enumerate() {
            let place = format!("/services/{n}");
            let service = service(&mut Reader { object, place: place.clone(), findings: &mut findings });
            match services.entry(service.name.clone()) {
                Entry::Occupied(first) => findings.push(
                    format!("{place}/name"),
                    format!("a name of its own expected, it is that of /services/{} too", first.get()),
                ),
                Entry::Vacant(free) => {
                    free.insert(n);
                }
            }
            read_services.push(service);
        }
        let mut routes = Vec::new();
        let mut index = HashMap::<String, Prefixes>::new();
        for (n, object) in routes_told.iter().enumerate() {
            let place = format!("/routes/{n}");
            let route =
                route(&mut Reader { object, place: place.clone(), findings: &mut findings }, &services);
            let prefixes = index.entry(host_of(&route.host).into_owned()).or_default();
            prefixes.longest = prefixes.longest.max(route.path_prefix.len());
            match prefixes.by_prefix.entry(route.path_prefix.clone()) {
                Entry::Occupied(first) => findings.push(
                    format!("{place}/path_prefix"),
                    format!(
                        "a host and prefix of its own expected, they are those of /routes/{} too",
                        first.get()
                    ),
                ),
                Entry::Vacant(free) => {
                    free.insert(n);
                }
            }
            routes.push(Rc::new(route));
        }
        let limits = limits(&whole, &mut findings);
        if findings.0.is_empty() {
            Ok(Self { version, routes, services: read_services, limits, source: text.clone(), index })
        } else {
            Err(findings)
        }
    }

    /// The route of a host and a path: of that host's routes whose prefix begins the path, the longest. Neither the host's case
    /// nor its port counts, nor what follows a `?`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let prefixes = self.index.get(host_of(host).as_ref())?;
        let path = path.split('?').next().unwrap_or_default();
        let longest = path.len().min(prefixes.longest);
        let slashes = path.bytes().take(longest).enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes
            .filter_map(|(at, _)| prefixes.by_prefix.get(path.get(..=at)?))
            .find_map(|position| self.routes.get(*position))
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}

/// A host in lower case and without its port.
fn host_of(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        Some((name, port))
            if port.bytes().all(|b| b.is_ascii_digit()) && (!name.contains(':') || name.ends_with(']')) =>
        {
            name
        }
        _ => host,
    };
    if host.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

fn service(from: &mut Reader) -> Service {
    let backend = from.object.field("backend");
    let mut service = Service {
        name: from.need("name").unwrap_or_default(),
        health_path: from.text("health_path").unwrap_or_default(),
        max_conns: from.whole("max_conns").unwrap_or(0),
        ..Service::default()
    };
    if let Some(object) = backend {
        let place = format!("{}/backend", from.place);
        let mut backend = Reader { object, place, findings: from.findings };
        service.slots = backend.whole("slots").unwrap_or(0);
        service.kv_capacity_tokens = backend.whole("kv_capacity_tokens").unwrap_or(0);
        service.stride = backend.whole("stride").unwrap_or(0);
    }
    service
}

fn limits(whole: &Value, findings: &mut Findings) -> Limits {
    let sane = Limits::default();
    let Some(object) = whole.field("limits") else { return sane };
    let mut from = Reader { object, place: "/limits".to_owned(), findings };
    let size = |n: Option<u64>, sane: usize| n.map_or(sane, |n| usize::try_from(n).unwrap_or(usize::MAX));
    Limits {
        max_header_bytes: size(from.whole("max_header_bytes"), sane.max_header_bytes),
        max_body_bytes: size(from.whole("max_body_bytes"), sane.max_body_bytes),
        header_timeout_ms: from.whole("header_timeout_ms").unwrap_or(sane.header_timeout_ms),
        idle_timeout_ms: from.whole("idle_timeout_ms").unwrap_or(sane.idle_timeout_ms),
    }
}

/// How long a batch job's results may take, and its items be tried, where the route doesn't say: an hour.
const RUN_TARGET_MS: u64 = 3_600_000;

fn route(from: &mut Reader, services: &HashMap<String, usize>) -> Route {
    let name = from.need("name").unwrap_or_default();
    let host = from.need("host").unwrap_or_default();
    let path_prefix = from.need("path_prefix");
    if path_prefix.as_ref().is_some_and(|p| !p.starts_with('/') || !p.ends_with('/')) {
        from.wrong("path_prefix", "a prefix that begins and ends with a slash expected");
    }
    let kind = match from.need("kind").as_deref() {
        Some("idempotent") => RouteKind::Idempotent,
        Some("mutating") => RouteKind::Mutating,
        Some("streaming") => RouteKind::Streaming,
        Some("bulk") => RouteKind::Bulk,
        Some(_) => {
            from.wrong("kind", "idempotent, mutating, streaming or bulk expected");
            RouteKind::Mutating
        }
        None => RouteKind::Mutating,
    };
    let timeout_ms = from.whole("timeout_ms");
    match timeout_ms {
        Some(0) => from.wrong("timeout_ms", "a time above 0 expected"),
        None if kind != RouteKind::Bulk && from.object.field("timeout_ms").is_none() => {
            from.wrong("timeout_ms", "a time above 0 expected, none is there");
        }
        _ => {}
    }
    let timeout_ms = timeout_ms.unwrap_or(0);
    let run_target_ms = from.whole("run_target_ms").unwrap_or(RUN_TARGET_MS);
    let retain_s = from.number("retain_s");
    if retain_s.is_some_and(|s| s < 0.0) {
        from.wrong("retain_s", "a time that is not negative expected");
    }
    Route {
        name,
        host,
        path_prefix: path_prefix.unwrap_or_default(),
        kind,
        timeout_ms,
        target_ms: from.whole("target_ms").unwrap_or(timeout_ms),
        priority: from.integer_u32("priority").unwrap_or(0),
        split: split(from, services),
        max_attempts: from.integer_u32("max_tries").unwrap_or(1).max(1),
        is_sticky: from.flag("sticky").unwrap_or(false),
        is_resumable: from.flag("resumable").unwrap_or(false),
        gap_target_ms: from.whole("gap_aim_ms").unwrap_or(0),
        run_target_ms,
        retain_s: retain_s.unwrap_or(run_target_ms as f64 / 1_000.0),
        max_queued_tokens: from.whole("max_queued_tokens").unwrap_or(0),
    }
}

fn split(from: &mut Reader, services: &HashMap<String, usize>) -> Vec<(String, f64)> {
    let unknown = "the name of one of the services expected";
    let Some(shares) = from.list("split") else {
        if from.object.field("service").is_none() && from.object.field("split").is_none() {
            from.wrong("service", "a service or a split expected, none is there");
        }
        let Some(name) = from.text("service") else { return Vec::new() };
        if !services.contains_key(&name) {
            from.wrong("service", unknown);
        }
        return vec![(name, 1.0)];
    };
    let mut split = Vec::new();
    let mut sum = 0.0;
    for (n, object) in shares.iter().enumerate() {
        let place = format!("{}/split/{n}", from.place);
        let mut share = Reader { object, place, findings: &mut *from.findings };
        let name = share.need("service");
        if name.as_ref().is_some_and(|name| !services.contains_key(name)) {
            share.wrong("service", unknown);
        }
        if object.field("weight").is_none() {
            share.wrong("weight", "a number expected, none is there");
        }
        let weight = share.number("weight").unwrap_or(0.0);
        if weight < 0.0 {
            share.wrong("weight", "a weight that is not negative expected");
        }
        sum += weight;
        split.push((name.unwrap_or_default(), weight));
    }
    if !(sum > 0.0 && sum.is_finite()) {
        from.wrong("split", "weights that add up to more than 0 expected");
    }
    split
}
