//! Parsing and validating a configuration: all findings in one pass.

use std::collections::hash_map::{Entry, HashMap};
use std::rc::Rc;

use bytes::Bytes;

use super::index::RouteIndex;
use super::{Configuration, Limits, Route, RouteKind, Service};
use crate::Findings;
use crate::json::{ObjectReader, Value};

/// The run target of a batch job, in milliseconds, where its route does not state one: an hour.
const DEFAULT_RUN_TARGET_MS: u64 = 3_600_000;

const UNKNOWN_SERVICE: &str = "the name of one of the services expected";

/// Positions of services by name.
type ServiceIndex = HashMap<String, usize>;

pub fn parse(source: &Bytes) -> Result<Configuration, Findings> {
    let document = Value::parse_object(source)?;
    let mut findings = Findings::default();
    let mut top = ObjectReader::of_document(&document, &mut findings);
    let version = top.integer("version").unwrap_or(0);
    if version == 0 {
        top.add_finding("version", "a version above 0 expected");
    }
    let service_values = top.required_list("services");
    let route_values = top.required_list("routes");
    let (services, service_index) = parse_services(&mut top, service_values);
    let (routes, index) = parse_routes(&mut top, route_values, &service_index);
    let limits = parse_limits(&mut top);
    if findings.is_empty() {
        Ok(Configuration { version, routes, services, limits, source: source.clone(), index })
    } else {
        Err(findings)
    }
}

fn parse_services(top: &mut ObjectReader, values: &[Value]) -> (Vec<Service>, ServiceIndex) {
    let (mut services, mut index) = (Vec::new(), ServiceIndex::new());
    for (n, value) in values.iter().enumerate() {
        let mut fields = top.nested(&format!("services/{n}"), value);
        let service = parse_service(&mut fields);
        match index.entry(service.name.clone()) {
            Entry::Occupied(first) => fields.add_finding(
                "name",
                format!("a name of its own expected, it is that of /services/{} too", first.get()),
            ),
            Entry::Vacant(free) => {
                free.insert(n);
            }
        }
        services.push(service);
    }
    (services, index)
}

fn parse_service(fields: &mut ObjectReader) -> Service {
    let mut service = Service {
        name: fields.required_string("name").unwrap_or_default(),
        health_path: fields.string("health_path").unwrap_or_default(),
        max_conns: fields.integer("max_conns").unwrap_or(0),
        ..Service::default()
    };
    if let Some(value) = fields.value("backend") {
        let mut backend = fields.nested("backend", value);
        service.slots = backend.integer("slots").unwrap_or(0);
        service.kv_capacity_tokens = backend.integer("kv_capacity_tokens").unwrap_or(0);
        service.stride = backend.integer("stride").unwrap_or(0);
    }
    service
}

fn parse_routes(
    top: &mut ObjectReader,
    values: &[Value],
    services: &ServiceIndex,
) -> (Vec<Rc<Route>>, RouteIndex) {
    let (mut routes, mut index) = (Vec::new(), RouteIndex::default());
    for (n, value) in values.iter().enumerate() {
        let mut fields = top.nested(&format!("routes/{n}"), value);
        let route = parse_route(&mut fields, services);
        if let Err(first) = index.insert(&route.host, &route.path_prefix, n) {
            fields.add_finding(
                "path_prefix",
                format!("a host and prefix of its own expected, they are those of /routes/{first} too"),
            );
        }
        routes.push(Rc::new(route));
    }
    (routes, index)
}

fn parse_route(fields: &mut ObjectReader, services: &ServiceIndex) -> Route {
    let name = fields.required_string("name").unwrap_or_default();
    let host = fields.required_string("host").unwrap_or_default();
    let path_prefix = fields.required_string("path_prefix");
    if path_prefix.as_ref().is_some_and(|p| !p.starts_with('/') || !p.ends_with('/')) {
        fields.add_finding("path_prefix", "a prefix that begins and ends with a slash expected");
    }
    let kind = parse_kind(fields);
    let timeout_ms = parse_timeout(fields, kind);
    let run_target_ms = fields.integer("run_target_ms").unwrap_or(DEFAULT_RUN_TARGET_MS);
    let retain_s = fields.number("retain_s");
    if retain_s.is_some_and(|s| s < 0.0) {
        fields.add_finding("retain_s", "a time that is not negative expected");
    }
    Route {
        name,
        host,
        path_prefix: path_prefix.unwrap_or_default(),
        kind,
        timeout_ms,
        target_ms: fields.integer("target_ms").unwrap_or(timeout_ms),
        priority: fields.integer_u32("priority").unwrap_or(0),
        split: parse_split(fields, services),
        max_attempts: fields.integer_u32("max_tries").unwrap_or(1).max(1),
        is_sticky: fields.bool("sticky").unwrap_or(false),
        is_resumable: fields.bool("resumable").unwrap_or(false),
        gap_target_ms: fields.integer("gap_aim_ms").unwrap_or(0),
        run_target_ms,
        retain_s: retain_s.unwrap_or(run_target_ms as f64 / 1_000.0),
        max_queued_tokens: fields.integer("max_queued_tokens").unwrap_or(0),
    }
}

fn parse_kind(fields: &mut ObjectReader) -> RouteKind {
    match fields.required_string("kind").as_deref() {
        Some("idempotent") => RouteKind::Idempotent,
        Some("mutating") => RouteKind::Mutating,
        Some("streaming") => RouteKind::Streaming,
        Some("bulk") => RouteKind::Bulk,
        Some(_) => {
            fields.add_finding("kind", "idempotent, mutating, streaming or bulk expected");
            RouteKind::Mutating
        }
        None => RouteKind::Mutating,
    }
}

/// The timeout, which only routes of batch jobs may leave out.
fn parse_timeout(fields: &mut ObjectReader, kind: RouteKind) -> u64 {
    let timeout_ms = fields.integer("timeout_ms");
    match timeout_ms {
        Some(0) => fields.add_finding("timeout_ms", "a time above 0 expected"),
        None if kind != RouteKind::Bulk && !fields.has("timeout_ms") => {
            fields.add_finding("timeout_ms", "a time above 0 expected, none is there");
        }
        _ => {}
    }
    timeout_ms.unwrap_or(0)
}

/// The services of a route and their weights: its `split`, or its single `service`.
fn parse_split(fields: &mut ObjectReader, services: &ServiceIndex) -> Vec<(String, f64)> {
    let Some(shares) = fields.list("split") else { return parse_single_service(fields, services) };
    let mut split = Vec::new();
    let mut sum = 0.0;
    for (n, value) in shares.iter().enumerate() {
        let mut share = fields.nested(&format!("split/{n}"), value);
        let name = share.required_string("service");
        if name.as_ref().is_some_and(|name| !services.contains_key(name)) {
            share.add_finding("service", UNKNOWN_SERVICE);
        }
        if !share.has("weight") {
            share.add_finding("weight", "a number expected, none is there");
        }
        let weight = share.number("weight").unwrap_or(0.0);
        if weight < 0.0 {
            share.add_finding("weight", "a weight that is not negative expected");
        }
        sum += weight;
        split.push((name.unwrap_or_default(), weight));
    }
    if !(sum > 0.0 && sum.is_finite()) {
        fields.add_finding("split", "weights that add up to more than 0 expected");
    }
    split
}

fn parse_single_service(fields: &mut ObjectReader, services: &ServiceIndex) -> Vec<(String, f64)> {
    if !fields.has("service") && !fields.has("split") {
        fields.add_finding("service", "a service or a split expected, none is there");
    }
    let Some(name) = fields.string("service") else { return Vec::new() };
    if !services.contains_key(&name) {
        fields.add_finding("service", UNKNOWN_SERVICE);
    }
    vec![(name, 1.0)]
}

fn parse_limits(top: &mut ObjectReader) -> Limits {
    let defaults = Limits::default();
    let Some(value) = top.value("limits") else { return defaults };
    let mut fields = top.nested("limits", value);
    let bytes =
        |n: Option<u64>, default: usize| n.map_or(default, |n| usize::try_from(n).unwrap_or(usize::MAX));
    Limits {
        max_header_bytes: bytes(fields.integer("max_header_bytes"), defaults.max_header_bytes),
        max_body_bytes: bytes(fields.integer("max_body_bytes"), defaults.max_body_bytes),
        header_timeout_ms: fields.integer("header_timeout_ms").unwrap_or(defaults.header_timeout_ms),
        idle_timeout_ms: fields.integer("idle_timeout_ms").unwrap_or(defaults.idle_timeout_ms),
    }
}
