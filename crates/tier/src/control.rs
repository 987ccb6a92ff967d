//! The control address: calls of workers and operators. Each call and its answer are a pair of types behind one generic handler.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rainlug_coordinator::{Answer, Call};
use rainlug_registry::Worker;
use rainlug_transport::head::{self, Fields};
use rainlug_transport::{End, Link, Piece, Pool, Room, Sizes};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::listings::{self, List};
use crate::log;
use crate::node::{MOST_CONTROL, Node};

const SIZES: Sizes = Sizes { head: 16 << 10, body: MOST_CONTROL, buffer: 4 << 10 };
/// Callers' connections that are open at once, at most.
const CALLERS: usize = 512;
const IDLE: Duration = Duration::from_secs(30);
const REQUEST: Duration = Duration::from_secs(5);

/// What was asked: the part of the path after the call's own, the fields that calls read, and the body.
pub struct Asked {
    pub rest: String,
    pub if_match: Option<String>,
    pub body: Bytes,
}

/// A call, paired with its answer.
pub trait Exchange: Sized {
    /// What goes back to the caller.
    type Answer: Into<Answer>;
    const METHOD: &'static str;
    /// The whole path, or all of it up to a name.
    const PATH: &'static str;

    /// # Errors
    /// The answer to what cannot be read.
    fn read(asked: Asked) -> Result<Self, Answer>;
    fn carry_out(self, node: Rc<Node>) -> impl Future<Output = Self::Answer>;
}

fn refused(status: u16, error: &str) -> Answer {
    let error = error.replace('\\', "\\\\").replace('"', "\\\"");
    Answer::json(status, format!("{{\"error\":\"{error}\"}}"))
}

/// `PUT /v1/workers/ID`
struct Heartbeat(Worker);

impl Exchange for Heartbeat {
    type Answer = Answer;
    const METHOD: &'static str = "PUT";
    const PATH: &'static str = "/v1/workers/";

    fn read(asked: Asked) -> Result<Self, Answer> {
        Worker::parse(&asked.rest, &asked.body).map(Heartbeat).map_err(|f| refused(400, &f.to_string()))
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        node.call(Call::Heartbeat(self.0)).await
    }
}

/// `DELETE /v1/workers/ID`
struct Deregister(String);

impl Exchange for Deregister {
    type Answer = Answer;
    const METHOD: &'static str = "DELETE";
    const PATH: &'static str = "/v1/workers/";

    fn read(asked: Asked) -> Result<Self, Answer> {
        Ok(Deregister(asked.rest))
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        node.call(Call::Deregister(self.0)).await
    }
}

/// `PUT /v1/configuration`
struct Configure {
    base: u64,
    text: Bytes,
}

impl Exchange for Configure {
    type Answer = Answer;
    const METHOD: &'static str = "PUT";
    const PATH: &'static str = "/v1/configuration";

    fn read(asked: Asked) -> Result<Self, Answer> {
        let base = asked.if_match.as_deref().map(|m| m.trim().trim_matches('"').parse());
        match base {
            Some(Ok(base)) => Ok(Configure { base, text: asked.body }),
            _ => Err(refused(400, "If-Match: the version that this one builds on, 0 for the first")),
        }
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        node.call(Call::Configure { base: self.base, text: self.text }).await
    }
}

/// `GET /v1/configuration`
struct Configuration;

impl Exchange for Configuration {
    type Answer = Answer;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/configuration";

    fn read(_: Asked) -> Result<Self, Answer> {
        Ok(Configuration)
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        node.call(Call::Configuration).await
    }
}

/// `POST /v1/retire/NODE`
struct Retire(String);

impl Exchange for Retire {
    type Answer = Answer;
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/v1/retire/";

    fn read(asked: Asked) -> Result<Self, Answer> {
        Ok(Retire(asked.rest))
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        node.call(Call::Retire { store: self.0 }).await
    }
}

/// `GET /v1/retire/NODE`
struct Retiring(String);

impl Exchange for Retiring {
    type Answer = Answer;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/retire/";

    fn read(asked: Asked) -> Result<Self, Answer> {
        Ok(Retiring(asked.rest))
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        node.call(Call::RetirementStatus { store: self.0 }).await
    }
}

/// `GET /v1/figures`
struct Figures;

impl Exchange for Figures {
    type Answer = Answer;
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/v1/figures";

    fn read(_: Asked) -> Result<Self, Answer> {
        Ok(Figures)
    }

    async fn carry_out(self, node: Rc<Node>) -> Answer {
        Answer { body: node.metrics().into(), ..Answer::with_status(200) }
    }
}

type Handling = Pin<Box<dyn Future<Output = Answer>>>;
type Handler = fn(Rc<Node>, Asked) -> Handling;

/// The one handler of all calls.
fn handle<E: Exchange + 'static>(node: Rc<Node>, asked: Asked) -> Handling {
    Box::pin(async move {
        match E::read(asked) {
            Ok(call) => call.carry_out(node).await.into(),
            Err(answer) => answer,
        }
    })
}

const fn entry<E: Exchange + 'static>() -> (&'static str, &'static str, Handler) {
    (E::METHOD, E::PATH, handle::<E>)
}

const CALLS: [(&str, &str, Handler); 11] = [
    entry::<Heartbeat>(),
    entry::<Deregister>(),
    entry::<Configure>(),
    entry::<Configuration>(),
    entry::<Retire>(),
    entry::<Retiring>(),
    entry::<Figures>(),
    entry::<List<listings::Members>>(),
    entry::<List<listings::Workers>>(),
    entry::<List<listings::Parts>>(),
    entry::<List<listings::Stores>>(),
];

/// The handler of a method and a path, and what follows the handler's own path.
fn find(method: &str, path: &str) -> Result<(Handler, String), u16> {
    let path = path.split('?').next().unwrap_or_default();
    let fits = |of: &str| match of.strip_suffix('/') {
        Some(_) => path.strip_prefix(of).filter(|rest| !rest.is_empty() && !rest.contains('/')),
        None => (path == of).then_some(""),
    };
    let mut known = false;
    for (by, of, handler) in CALLS {
        if let Some(rest) = fits(of) {
            known = true;
            if by == method {
                return Ok((handler, rest.to_owned()));
            }
        }
    }
    Err(if known { 405 } else { 404 })
}

/// Serves the control address for good.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let (room, pool) = (Room::of(CALLERS), Pool::within(4 << 20, SIZES));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        // Whoever finds no room calls another dispatcher.
        let Some(seat) = room.seat() else { continue };
        let (node, pool) = (node.clone(), pool.clone());
        spawn_local(async move {
            let mut link = Link::over(stream, head::request_body, &pool, seat);
            if let Err(end @ (End::Malformed | End::TooLarge)) = caller(node, &mut link).await {
                let status = if end == End::TooLarge { 413 } else { 400 };
                let _ = answer(&mut link, &Answer::with_status(status), true).await;
                let _ = timeout(Duration::from_secs(1), link.finish()).await;
            }
        });
    }
}

/// Serves one caller's connection, call by call.
async fn caller(node: Rc<Node>, link: &mut Link) -> Result<(), End> {
    loop {
        if timeout(IDLE, link.idle()).await.is_err() {
            return Ok(());
        }
        let until = Instant::now() + REQUEST;
        let first = timeout_at(until, link.next()).await.unwrap_or(Err(End::TimedOut));
        let Piece::Head(head) = first? else { return Err(End::Malformed) };
        let read = |method: &str, path: &str, fields: &Fields| {
            let if_match = fields.get("If-Match").map(str::to_owned);
            let expects = fields.says("Expect", "100-continue");
            (method.to_owned(), path.to_owned(), if_match, fields.says("Connection", "close"), expects)
        };
        let (method, path, if_match, close, expects) = head::request(&head, read)?;
        if expects {
            link.send(b"HTTP/1.1 100 Continue\r\n\r\n", b"", &Cell::new(false)).await?;
        }
        let body = timeout_at(until, link.body()).await.unwrap_or(Err(End::TimedOut))?;
        let told = match find(&method, &path) {
            Ok((handler, rest)) => handler(node.clone(), Asked { rest, if_match, body }).await,
            Err(status) => Answer::with_status(status),
        };
        if told.status >= 400 && told.status != 412 {
            log::debug("call", &format!("{method} {path}: {}", told.status));
        }
        answer(link, &told, close).await?;
        if close {
            let _ = timeout(Duration::from_secs(1), link.finish()).await;
            return Ok(());
        }
        link.rest();
    }
}

pub(crate) async fn answer(link: &mut Link, answer: &Answer, close: bool) -> Result<(), End> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        answer.status,
        reason(answer.status),
        answer.body.len()
    );
    if answer.is_json {
        head.push_str("Content-Type: application/json\r\n");
    }
    if let Some(retry) = answer.retry_after {
        head.push_str(&format!("Retry-After: {:.3}\r\n", retry as f64 / 1e6));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    link.send(head.as_bytes(), &answer.body, &Cell::new(false)).await
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
