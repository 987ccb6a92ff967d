//! The calls of the control address: each is a method and a path, with either a reader of the [`Call`] that the coordinator
//! answers, or a view of what this process knows.

use std::rc::Rc;

use bytes::Bytes;
use rainlug_coordinator::{Answer, Call};
use rainlug_registry::Worker;

use super::primitives;
use crate::listings::{Listing, Members, Shards, Stores, Workers};
use crate::node::Node;

/// A request, as a call's reader takes it.
pub(super) struct Request {
    /// What follows the call's own path: a worker's id or a store's name.
    pub(super) name: String,
    /// What follows `?` in the path; empty where nothing does.
    pub(super) query: String,
    /// The value of `If-Match`.
    pub(super) if_match: Option<String>,
    pub(super) body: Bytes,
}

/// How a call is answered.
#[derive(Clone, Copy)]
pub(super) enum Action {
    /// By the coordinator; the error is the answer to a request that cannot be read.
    Coordinate(fn(Request) -> Result<Call, Answer>),
    /// By what this process knows.
    View(fn(&Rc<Node>) -> Answer),
}

use Action::{Coordinate, View};

/// All calls: method, path and action. A path that ends in `/` is followed by a name.
const CALLS: [(&str, &str, Action); 18] = [
    ("PUT", "/v1/workers/", Coordinate(read_heartbeat)),
    ("DELETE", "/v1/workers/", Coordinate(|request| Ok(Call::Deregister(request.name)))),
    ("PUT", "/v1/configuration", Coordinate(read_configure)),
    ("GET", "/v1/configuration", Coordinate(|_| Ok(Call::Configuration))),
    ("POST", "/v1/retire/", Coordinate(|request| Ok(Call::Retire { store: request.name }))),
    ("GET", "/v1/retire/", Coordinate(|request| Ok(Call::RetirementStatus { store: request.name }))),
    ("POST", "/v1/locks/", Coordinate(primitives::read_acquire)),
    ("PUT", "/v1/locks/", Coordinate(primitives::read_renew)),
    ("DELETE", "/v1/locks/", Coordinate(primitives::read_release)),
    ("POST", "/v1/numbers/", Coordinate(primitives::read_number)),
    ("PUT", "/v1/cells/", Coordinate(primitives::read_put)),
    ("GET", "/v1/cells/", Coordinate(primitives::read_key)),
    ("GET", "/v1/watch/", Coordinate(primitives::read_watch)),
    ("GET", "/v1/figures", View(metrics)),
    ("GET", Members::PATH, View(list::<Members>)),
    ("GET", Workers::PATH, View(list::<Workers>)),
    ("GET", Shards::PATH, View(list::<Shards>)),
    ("GET", Stores::PATH, View(list::<Stores>)),
];

/// The action of a method and a path, and the name that follows the call's own path.
///
/// # Errors
/// The status of the answer where there is none: 405 where the path has other methods, 404 otherwise.
pub(super) fn find(method: &str, path: &str) -> Result<(Action, String), u16> {
    let path = path.split('?').next().unwrap_or_default();
    let name_after = |call_path: &str| match call_path.strip_suffix('/') {
        Some(_) => path.strip_prefix(call_path).filter(|name| !name.is_empty() && !name.contains('/')),
        None => (path == call_path).then_some(""),
    };
    let mut is_known_path = false;
    for (call_method, call_path, action) in CALLS {
        if let Some(name) = name_after(call_path) {
            is_known_path = true;
            if call_method == method {
                return Ok((action, name.to_owned()));
            }
        }
    }
    Err(if is_known_path { 405 } else { 404 })
}

/// Answers a request.
pub(super) async fn perform(action: Action, node: &Rc<Node>, request: Request) -> Answer {
    match action {
        Coordinate(read) => match read(request) {
            Ok(call) => node.clone().call(call).await,
            Err(answer) => answer,
        },
        View(view) => view(node),
    }
}

/// An answer that gives the reason for its status.
pub(super) fn refusal(status: u16, reason: &str) -> Answer {
    let reason = reason.replace('\\', "\\\\").replace('"', "\\\"");
    Answer::json(status, format!("{{\"error\":\"{reason}\"}}"))
}

fn read_heartbeat(request: Request) -> Result<Call, Answer> {
    Worker::parse(&request.name, &request.body)
        .map(Call::Heartbeat)
        .map_err(|findings| refusal(400, &findings.to_string()))
}

fn read_configure(request: Request) -> Result<Call, Answer> {
    let base = request.if_match.as_deref().map(|version| version.trim().trim_matches('"').parse());
    match base {
        Some(Ok(base)) => Ok(Call::Configure { base, text: request.body }),
        _ => Err(refusal(400, "If-Match: the version that this one builds on, 0 for the first")),
    }
}

fn metrics(node: &Rc<Node>) -> Answer {
    Answer { body: node.metrics().into(), ..Answer::with_status(200) }
}

fn list<L: Listing>(node: &Rc<Node>) -> Answer {
    Answer::json(200, node.step("listing", |coordinator, _| L::collect(coordinator).serialize_json()))
}
