//! Answers: the heads of workers' answers as they are read, those that go to clients, and this tier's own.

use std::time::Duration;

use bytes::Bytes;
use rainlug_transport::{Body, End, head};

use crate::Reply;
use crate::connections::Keep;

/// Ids, stamps and notes.
pub(crate) const ATTEMPT: &str = "X-Rainlug-Attempt-Id";
pub(crate) const TARGET: &str = "X-Rainlug-Target-Instance";
pub(crate) const DEADLINE: &str = "X-Rainlug-Deadline-Ms";
const SEAL: &str = "X-Rainlug-Server-Seal";
const NOT_RUN: &str = "X-Rainlug-Not-Run";
const LOAD: &str = "X-Rainlug-Server-Load";
const INSTANCE: &str = "X-Rainlug-Instance-Id";

/// Whose answer it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Echo {
    Ours,
    /// Of an earlier request.
    Other,
    Missing,
}

/// The head of a worker's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub framing: Body,
    pub echo: Echo,
    pub sealed: bool,
    pub not_run: bool,
    /// A series of events.
    pub events: bool,
    pub keep: Keep,
    /// Running, waiting, slots.
    pub load: Option<(u32, u32, u32)>,
    /// The worker that answered, where it says so.
    pub instance: Option<String>,
    /// The status line and the fields that go on to the client.
    pub lines: Vec<u8>,
}

impl Answer {
    /// Reads the head of the answer to the request of this id.
    ///
    /// # Errors
    /// `Malformed`, or `TooLarge` for a length that is none.
    pub fn read(text: &[u8], id: &str) -> Result<Self, End> {
        head::answer(text, |status, fields| {
            let framing = match status {
                100..=199 | 204 | 304 => Body::Length(0),
                200..=599 => fields.body()?.unwrap_or(Body::UntilEnd),
                _ => return Err(End::Malformed),
            };
            let echo = match fields.get(ATTEMPT) {
                Some(of) if of == id => Echo::Ours,
                Some(_) => Echo::Other,
                None => Echo::Missing,
            };
            let timeout = fields.get("Keep-Alive").and_then(|told| {
                told.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())
            });
            let content = fields.get("Content-Type").unwrap_or_default();
            let content = content.split(';').next().unwrap_or_default().trim();
            let mut lines = Vec::with_capacity(text.len() + 64);
            // Whatever its version, the one that goes on is this side's.
            let line = text.split(|b| *b == b'\r').next().unwrap_or_default();
            lines.extend_from_slice(b"HTTP/1.1");
            lines.extend_from_slice(line.get(8..).unwrap_or_default());
            lines.extend_from_slice(b"\r\n");
            end_to_end(fields, &mut lines, |_| true);
            Ok(Answer {
                status,
                framing,
                echo,
                sealed: fields.get(SEAL).is_some_and(|seal| !seal.is_empty()),
                not_run: fields.count(NOT_RUN) > 0,
                events: content.eq_ignore_ascii_case("text/event-stream"),
                keep: Keep { close: !fields.keeps() || framing == Body::UntilEnd, timeout },
                load: fields.get(LOAD).and_then(load),
                instance: fields.get(INSTANCE).map(str::to_owned),
                lines,
            })
        })?
    }

    pub fn success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether a client reads from the status alone that the request has not run and never will.
    pub fn promises(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }

    /// Whether the worker promises that it has not run and never will.
    pub fn turned_away(&self) -> bool {
        self.status == 421 || (self.not_run && !self.success() && self.status != 400)
    }
}

fn load(text: &str) -> Option<(u32, u32, u32)> {
    let mut metrics = text.split(',').map(|figure| figure.trim().parse().ok());
    Some((metrics.next()??, metrics.next()??, metrics.next()??))
}

/// Copies the fields that do not concern one connection only and that `passes` lets through. How the body is framed is said
/// anew.
pub(crate) fn end_to_end(fields: &head::Fields, to: &mut Vec<u8>, passes: impl Fn(&str) -> bool) {
    let one_hop = |name: &str| {
        let known =
            ["Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"];
        let ours = name.eq_ignore_ascii_case("Host") || prefixed(name, "X-Rainlug-");
        known.iter().any(|k| name.eq_ignore_ascii_case(k))
            || prefixed(name, "Proxy-")
            || (!ours && fields.says("Connection", name))
    };
    for (name, value) in fields.iter().filter(|(name, _)| !one_hop(name) && passes(name)) {
        field(to, name, value);
    }
}

fn prefixed(name: &str, prefix: &str) -> bool {
    name.get(..prefix.len()).is_some_and(|begin| begin.eq_ignore_ascii_case(prefix))
}

pub(crate) fn field(to: &mut Vec<u8>, name: &str, value: &[u8]) {
    for part in [name.as_bytes(), b": ", value, b"\r\n"] {
        to.extend_from_slice(part);
    }
}

/// A field whose value is a number.
pub(crate) fn number(to: &mut Vec<u8>, name: &str, value: u64) {
    let (mut digits, mut at, mut left) = ([b'0'; 20], 20, value);
    loop {
        at -= 1;
        if let Some(digit) = digits.get_mut(at) {
            *digit = b'0' + (left % 10) as u8;
        }
        left /= 10;
        if left == 0 || at == 0 {
            break;
        }
    }
    field(to, name, digits.get(at..).unwrap_or_default());
}

/// How an answer's body is framed for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
    /// There is none, and none is announced.
    Nothing,
}

/// What becomes of the client's connection after an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Then {
    Close,
    /// It may idle for so long.
    Keep(Duration),
}

/// Ends a head for a client.
pub(crate) fn finish(lines: &mut Vec<u8>, framing: Framing, then: Then) {
    match framing {
        Framing::Length(n) => number(lines, "Content-Length", n as u64),
        Framing::Chunked => lines.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Framing::Nothing => {}
    }
    match then {
        Then::Close => lines.extend_from_slice(b"Connection: close\r\n"),
        // A client that leaves a little sooner does not meet the end.
        Then::Keep(idle) if idle.as_secs() > 1 => {
            lines.extend_from_slice(b"Keep-Alive: timeout=");
            lines.extend_from_slice((idle.as_secs() - 1).to_string().as_bytes());
            lines.extend_from_slice(b"\r\n");
        }
        Then::Keep(_) => {}
    }
    lines.extend_from_slice(b"\r\n");
}

/// The line that opens a chunk, and what it needs before it where another one went before.
pub(crate) fn chunk(size: usize) -> Vec<u8> {
    let mut line = Vec::with_capacity(12);
    let digits = (usize::BITS - size.leading_zeros()).div_ceil(4).max(1);
    for place in (0..digits).rev() {
        let digit = ((size >> (4 * place)) & 15) as u8;
        line.push(if digit < 10 { b'0' + digit } else { b'a' + digit - 10 });
    }
    line.extend_from_slice(b"\r\n");
    line
}

impl Reply {
    pub(crate) fn of(status: u16) -> Self {
        Reply { status, retry_after: None, body: Bytes::new(), json: false }
    }

    /// Refused, not run, never will be; to be asked again after so many seconds.
    pub(crate) fn refused(pause: f64) -> Self {
        Reply { retry_after: Some(pause), ..Reply::of(503) }
    }

    pub(crate) fn head(&self, then: Then) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            202 => "Accepted",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            505 => "HTTP Version Not Supported",
            _ => "Other",
        };
        let mut lines = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        if let Some(pause) = self.retry_after.filter(|p| p.is_finite()) {
            lines.extend_from_slice(format!("Retry-After: {:.3}\r\n", pause.max(0.0)).as_bytes());
        }
        if !self.body.is_empty() {
            let kind: &[u8] = if self.json { b"application/json" } else { b"application/octet-stream" };
            field(&mut lines, "Content-Type", kind);
        }
        finish(&mut lines, Framing::Length(self.body.len()), then);
        lines
    }
}
