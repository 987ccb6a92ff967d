//! One call over a connection of its own, with its answer whole.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use rainlug_transport::{End, Link, Piece, Pool, Room, Sizes, head};
use tokio::time::{Instant, timeout_at};

const SIZES: Sizes = Sizes { head: 16 << 10, body: 16 << 20, buffer: 8 << 10 };

quick_error! {
    /// Why there is no answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        Refused(at: SocketAddr) { display("{}: nobody takes the connection", at) }
        Silent(at: SocketAddr, within: Duration) { display("{}: no answer within {:.1} s", at, within.as_secs_f64()) }
        Broken(at: SocketAddr) { display("{}: the connection broke before the answer's end", at) }
        Odd(at: SocketAddr) { display("{}: what came is no answer of HTTP/1.1", at) }
    }
}

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Fields besides `Host` and those of the body; a `Host` here stands in place of the address.
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl<'a> Ask<'a> {
    pub fn get(path: &'a str) -> Self {
        Ask { method: "GET", path, fields: &[], body: b"" }
    }
}

/// What was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Where else to ask (307).
    pub location: Option<String>,
    pub body: Bytes,
}

/// Asks, and waits so long for the whole answer.
///
/// # Errors
/// Where there is no answer.
pub async fn call(at: SocketAddr, ask: Ask<'_>, within: Duration) -> Result<Response, Error> {
    let until = Instant::now() + within;
    match timeout_at(until, answered(at, &ask, until)).await {
        Ok(Ok(told)) => Ok(told),
        Err(_) | Ok(Err(End::NeverUp)) => Err(Error::Silent(at, within)),
        Ok(Err(End::Refused | End::NoRoom)) => Err(Error::Refused(at)),
        Ok(Err(End::Malformed | End::TooLarge)) => Err(Error::Odd(at)),
        Ok(Err(_)) => Err(Error::Broken(at)),
    }
}

async fn answered(at: SocketAddr, ask: &Ask<'_>, until: Instant) -> Result<Response, End> {
    let (room, pool) = (Room::of(1), Pool::within(1 << 20, SIZES));
    let seat = room.seat().ok_or(End::NoRoom)?;
    let mut link = Link::connect(at, until, head::answer_body, &pool, seat).await?;
    let mut text = format!("{} {} HTTP/1.1\r\n", ask.method, ask.path);
    if !ask.fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("Host")) {
        text.push_str(&format!("Host: {at}\r\n"));
    }
    for (name, value) in ask.fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("Connection: close\r\n");
    if ask.method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", ask.body.len()));
    }
    text.push_str("\r\n");
    link.send(text.as_bytes(), ask.body, &Cell::new(false)).await?;
    loop {
        let Piece::Head(head) = link.next().await? else { return Err(End::Malformed) };
        let (status, location) = head::answer(&head, |s, f| (s, f.get("Location").map(str::to_owned)))?;
        let body = link.body().await?;
        if status >= 200 {
            return Ok(Response { status, location, body });
        }
    }
}
