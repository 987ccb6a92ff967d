//! Calls with whole answers, over a connection of their own or one after the other.

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

/// Asks on a connection of its own, and waits so long for the whole answer.
///
/// # Errors
/// Where there is no answer.
pub async fn call(at: SocketAddr, ask: Ask<'_>, within: Duration) -> Result<Response, Error> {
    let until = Instant::now() + within;
    let answered = async {
        let mut connection = Connection::connect(at, until).await?;
        connection.exchange(&ask, true).await
    };
    timeout_at(until, answered).await.unwrap_or(Err(End::NeverUp)).map_err(|end| error(at, within, end))
}

fn error(at: SocketAddr, within: Duration, end: End) -> Error {
    match end {
        End::NeverUp => Error::Silent(at, within),
        End::Refused | End::NoRoom => Error::Refused(at),
        End::Malformed | End::TooLarge => Error::Odd(at),
        _ => Error::Broken(at),
    }
}

/// A connection that takes one request after the other.
pub struct Connection {
    at: SocketAddr,
    link: Link,
    is_closing: bool,
}

impl Connection {
    /// Connects, and waits so long for that.
    ///
    /// # Errors
    /// Where there is no connection.
    pub async fn open(at: SocketAddr, within: Duration) -> Result<Self, Error> {
        Self::connect(at, Instant::now() + within).await.map_err(|end| error(at, within, end))
    }

    async fn connect(at: SocketAddr, until: Instant) -> Result<Self, End> {
        let (room, pool) = (Room::of(1), Pool::within(1 << 20, SIZES));
        let seat = room.seat().ok_or(End::NoRoom)?;
        let link = Link::connect(at, until, head::answer_body, &pool, seat).await?;
        Ok(Connection { at, link, is_closing: false })
    }

    /// Asks, and waits so long for the whole answer. The connection is of no use after an error.
    ///
    /// # Errors
    /// Where there is no answer.
    pub async fn ask(&mut self, ask: Ask<'_>, within: Duration) -> Result<Response, Error> {
        let answered = timeout_at(Instant::now() + within, self.exchange(&ask, false)).await;
        answered.unwrap_or(Err(End::NeverUp)).map_err(|end| error(self.at, within, end))
    }

    /// Whether the last answer said that the connection ends with it.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    async fn exchange(&mut self, ask: &Ask<'_>, is_last: bool) -> Result<Response, End> {
        self.link.send(head_text(self.at, ask, is_last).as_bytes(), ask.body, &Cell::new(false)).await?;
        loop {
            let Piece::Head(head) = self.link.next().await? else { return Err(End::Malformed) };
            let (status, location, is_closing) = head::answer(&head, |status, fields| {
                (status, fields.get("Location").map(str::to_owned), fields.says("Connection", "close"))
            })?;
            let body = self.link.body().await?;
            if status >= 200 {
                self.is_closing = is_closing;
                self.link.rest();
                return Ok(Response { status, location, body });
            }
        }
    }
}

fn head_text(at: SocketAddr, ask: &Ask<'_>, is_last: bool) -> String {
    let mut text = format!("{} {} HTTP/1.1\r\n", ask.method, ask.path);
    if !ask.fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("Host")) {
        text.push_str(&format!("Host: {at}\r\n"));
    }
    for (name, value) in ask.fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if is_last {
        text.push_str("Connection: close\r\n");
    }
    if ask.method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", ask.body.len()));
    }
    text + "\r\n"
}
