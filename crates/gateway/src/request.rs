//! A client's request: its head as it is read, and what of it goes to workers.

use std::time::Duration;

use bytes::Bytes;
use rainlug_registry::Route;
use rainlug_transport::{Body, End, head};
use tokio::time::Instant;

use crate::answers::{ATTEMPT, DEADLINE, TARGET, end_to_end, field, number};
use crate::millis;

/// Parts of a prompt that are looked at.
const MOST_PARTS: usize = 64;
const LAST_EVENT: &str = "Last-Event-Id";

/// A request, read whole.
#[derive(Debug)]
pub(crate) struct Request {
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// Lower case, without a port.
    pub host: String,
    pub id: Option<String>,
    pub framing: Body,
    /// Whether a body was announced, if only an empty one.
    pub framed: bool,
    /// The connection may carry another request after it.
    pub keeps: bool,
    /// The client waits for a word before it sends the body.
    pub expects: bool,
    pub versioned: bool,
    pub deadline: Option<Duration>,
    pub wait_ms: u64,
    pub prompt: u32,
    pub out: u32,
    pub prefix: Vec<(u64, u32)>,
    pub last_event: Option<String>,
    /// The opening line and the fields that go to every worker as they are.
    pub lines: Bytes,
    pub body: Bytes,
    pub arrived: Instant,
}

/// Why a head is not a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unfit {
    Malformed,
    TooLarge,
    /// HTTP/1.0, which has no chunks.
    Version,
}

impl From<End> for Unfit {
    fn from(end: End) -> Self {
        if end == End::TooLarge { Unfit::TooLarge } else { Unfit::Malformed }
    }
}

impl Request {
    /// Reads a request's head.
    ///
    /// # Errors
    /// Where it is none that may be passed on.
    pub fn read(text: &[u8], arrived: Instant) -> Result<Self, Unfit> {
        head::request(text, |method, target, fields| {
            if fields.old() {
                return Err(Unfit::Version);
            }
            let framing = fields.body()?;
            let one = |name| fields.count(name) <= 1;
            let host = fields.get("Host").filter(|host| !host.is_empty());
            let (Some(host), true, true) = (host, one("Host"), one(ATTEMPT)) else {
                return Err(Unfit::Malformed);
            };
            if !target.starts_with('/') {
                return Err(Unfit::Malformed);
            }
            let mut lines = Vec::with_capacity(text.len() + 160);
            for part in [method, " ", target, " HTTP/1.1\r\n"] {
                lines.extend_from_slice(part.as_bytes());
            }
            end_to_end(fields, &mut lines, |name| {
                [DEADLINE, TARGET, LAST_EVENT, "Expect"].iter().all(|own| !name.eq_ignore_ascii_case(own))
            });
            let counted = fields.get("X-Rainlug-Token-Count").and_then(|count| count.split_once(','));
            let (prompt, out) = counted.unwrap_or_default();
            Ok(Request {
                method: method.to_owned(),
                target: target.to_owned(),
                host: plain_host(host),
                id: fields.get(ATTEMPT).filter(|id| !id.is_empty()).map(str::to_owned),
                framing: framing.unwrap_or(Body::Length(0)),
                framed: framing.is_some(),
                keeps: fields.keeps(),
                expects: fields.says("Expect", "100-continue"),
                versioned: fields.count("Expect-Version") > 0,
                deadline: fields.get(DEADLINE).and_then(|ms| ms.parse().ok()).map(millis),
                wait_ms: fields.get("X-Rainlug-Wait-Ms").and_then(|ms| ms.parse().ok()).unwrap_or(0),
                prompt: prompt.trim().parse().unwrap_or(0),
                out: out.trim().parse().unwrap_or(0),
                prefix: fields.get("X-Rainlug-Prompt-Prefix").map(prefix).unwrap_or_default(),
                last_event: fields.get(LAST_EVENT).map(str::to_owned),
                lines: lines.into(),
                body: Bytes::new(),
                arrived,
            })
        })?
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// When its time is over, on this route.
    pub fn until(&self, route: &Route) -> Instant {
        let most = millis(route.timeout_ms);
        self.arrived + self.deadline.map_or(most, |told| told.min(most))
    }

    /// What completes `lines` for one worker, which has until then; the run goes on after the event `last`.
    pub fn completed(&self, worker: &str, left: Duration, last: Option<u64>) -> Vec<u8> {
        let mut end = Vec::with_capacity(160);
        if self.framed || !self.body.is_empty() || !matches!(&self.method[..], "GET" | "HEAD" | "DELETE") {
            number(&mut end, "Content-Length", self.body.len() as u64);
        }
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        number(&mut end, DEADLINE, left.max(1));
        field(&mut end, TARGET, worker.as_bytes());
        match (last, &self.last_event) {
            (Some(last), _) => number(&mut end, LAST_EVENT, last),
            (None, Some(told)) => field(&mut end, LAST_EVENT, told.as_bytes()),
            (None, None) => {}
        }
        end.extend_from_slice(b"\r\n");
        end
    }
}

/// A host in lower case, without its port.
fn plain_host(host: &str) -> String {
    let bare = match host.rsplit_once(':') {
        Some((bare, port)) if port.bytes().all(|b| b.is_ascii_digit()) => bare,
        _ => host,
    };
    bare.to_ascii_lowercase()
}

/// Ids in hex and tokens: `ID:TOKENS,ID:TOKENS`. A part that cannot be read ends the list.
fn prefix(text: &str) -> Vec<(u64, u32)> {
    let parts = text.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        let last = id.len().saturating_sub(16);
        Some((u64::from_str_radix(id.get(last..)?, 16).ok()?, tokens.trim().parse().ok()?))
    });
    parts.take(MOST_PARTS).collect()
}
