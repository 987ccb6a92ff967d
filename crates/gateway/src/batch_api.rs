//! Calls on batch jobs: which one a request is.

use std::rc::Rc;

use rainlug_registry::{Route, RouteKind};

use crate::request::Request;
use crate::{BatchApi, Reply, Replying};

/// What a request asks of the batch jobs.
pub(crate) enum Call {
    /// It goes on although the client has gone: part of it may be done.
    Submit(Replying),
    Read(Replying),
    Wrong(u16),
}

/// The call under `/v1/lots/` or `/v1/items/`, where it is one.
pub(crate) fn call(request: &Request, batch_api: &dyn BatchApi) -> Option<Call> {
    let path = request.path();
    let named = |prefix| path.strip_prefix(prefix).filter(|id: &&str| !id.is_empty() && !id.contains('/'));
    if let Some(id) = named("/v1/lots/").map(str::to_owned) {
        return Some(match &request.method[..] {
            "GET" => match request.parameter("since_item").map_or(Ok(0), str::parse) {
                Ok(since) => Call::Read(batch_api.read(id, since, request.wait_ms)),
                Err(_) => Call::Wrong(400),
            },
            "DELETE" => Call::Submit(batch_api.end(id)),
            _ => Call::Wrong(405),
        });
    }
    let id = named("/v1/items/")?.to_owned();
    Some(match (&request.method[..], request.parameter("id")) {
        ("GET", Some(item)) => Call::Read(batch_api.item(id, item.to_owned())),
        ("GET", None) => Call::Wrong(400),
        _ => Call::Wrong(405),
    })
}

/// The call that a request under a bulk route is.
pub(crate) fn submit(request: &Request, route: &Rc<Route>, batch_api: &dyn BatchApi) -> Option<Call> {
    if route.kind != RouteKind::Bulk {
        return None;
    }
    Some(match (&request.method[..], &request.id) {
        ("POST", Some(id)) => Call::Submit(batch_api.submit(route.clone(), id.clone(), request.body.clone())),
        ("POST", None) => Call::Wrong(400),
        _ => Call::Wrong(405),
    })
}

impl Call {
    /// The answer to a call that cannot be waited for.
    pub fn late(&self) -> Reply {
        match self {
            // It may be done yet.
            Call::Submit(_) => Reply::of(504),
            _ => Reply::refused(0.5),
        }
    }
}
