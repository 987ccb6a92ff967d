//! The control address: an HTTP server for workers' heartbeats and operators' calls ([`calls`]).

mod answer_counts;
mod calls;
mod primitives;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rainlug_coordinator::Answer;
use rainlug_transport::head::{self, Fields};
use rainlug_transport::{End, Link, Piece, Pool, Room, Sizes};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

pub(crate) use self::answer_counts::AnswerCounts;
use self::calls::Request;
use crate::http_response::write_response;
use crate::log;
use crate::node::Node;

/// The largest request body, in bytes: a configuration.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bounds of one connection's buffers, in bytes.
const SIZES: Sizes = Sizes { head: 16 << 10, body: MAX_BODY_BYTES, buffer: 4 << 10 };
/// Memory of all connections' bodies together, in bytes.
const POOL_BYTES: usize = 4 << 20;
/// Connections that are open at once, at most. One beyond them is closed: its caller tries another gateway.
const MAX_CONNECTIONS: usize = 512;
/// A connection without a request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A request must be complete in this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may take to close a connection that ends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two attempts to accept where the first one failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves the control address, and never returns.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let (slots, pool) = (Room::of(MAX_CONNECTIONS), Pool::within(POOL_BYTES, SIZES));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(slot) = slots.seat() else { continue };
        let (node, pool) = (node.clone(), pool.clone());
        spawn_local(async move {
            let mut link = Link::over(stream, head::request_body, &pool, slot);
            if let Err(end @ (End::Malformed | End::TooLarge)) = serve_connection(node, &mut link).await {
                let status = if end == End::TooLarge { 413 } else { 400 };
                let _ = write_response(&mut link, &Answer::with_status(status), true).await;
                let _ = timeout(CLOSE_TIMEOUT, link.finish()).await;
            }
        });
    }
}

/// What the server reads of a request's head.
struct RequestHead {
    method: String,
    path: String,
    if_match: Option<String>,
    closes: bool,
    expects_continue: bool,
}

impl RequestHead {
    fn read(method: &str, path: &str, fields: &Fields) -> Self {
        RequestHead {
            method: method.to_owned(),
            path: path.to_owned(),
            if_match: fields.get("If-Match").map(str::to_owned),
            closes: fields.says("Connection", "close"),
            expects_continue: fields.says("Expect", "100-continue"),
        }
    }
}

/// Serves one connection, request by request.
async fn serve_connection(node: Rc<Node>, link: &mut Link) -> Result<(), End> {
    loop {
        if timeout(IDLE_TIMEOUT, link.idle()).await.is_err() && link.sound() {
            return Ok(());
        }
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let first = timeout_at(deadline, link.next()).await.unwrap_or(Err(End::TimedOut));
        let Piece::Head(bytes) = first? else { return Err(End::Malformed) };
        let RequestHead { method, path, if_match, closes, expects_continue } =
            head::request(&bytes, RequestHead::read)?;
        if expects_continue {
            link.send(b"HTTP/1.1 100 Continue\r\n\r\n", b"", &Cell::new(false)).await?;
        }
        let body = timeout_at(deadline, link.body()).await.unwrap_or(Err(End::TimedOut))?;
        let answer = match calls::find(&method, &path) {
            Ok((action, name)) => {
                let query = path.split_once('?').map_or("", |(_, query)| query).to_owned();
                calls::perform(action, &node, Request { name, query, if_match, body }).await
            }
            Err(status) => Answer::with_status(status),
        };
        node.answer_counts().count(&path, answer.status);
        // With these nothing is wrong here: the caller built on an older version, or another holds the lock.
        if answer.status >= 400 && ![409, 412].contains(&answer.status) {
            log::debug("call", &format!("{method} {path}: {}", answer.status));
        }
        write_response(link, &answer, closes).await?;
        if closes {
            let _ = timeout(CLOSE_TIMEOUT, link.finish()).await;
            return Ok(());
        }
        link.rest();
    }
}
