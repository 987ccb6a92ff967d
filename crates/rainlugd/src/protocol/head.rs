//! Heads of HTTP/1.1 messages, read by httparse and written as plain text.

use std::fmt::Write as _;
use std::net::SocketAddr;

use httparse::{EMPTY_HEADER, Header, Request, Response, Status};
use rainlug::{SECOND, Time};

use crate::transport::{Body, End};

/// More fields than this in one head are not read.
const MOST_FIELDS: usize = 64;

/// The fields of one head.
pub struct Fields<'a>(&'a [Header<'a>]);

impl<'a> Fields<'a> {
    fn all(&self, name: &str) -> impl Iterator<Item = Option<&'a str>> {
        let named = self.0.iter().filter(move |f| f.name.eq_ignore_ascii_case(name));
        named.map(|f| str::from_utf8(f.value).ok().map(str::trim))
    }

    /// A field's value; nothing where there is none, or it is no text.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.all(name).next()?
    }

    /// Whether a field that is a list of words holds this one.
    pub fn says(&self, name: &str, word: &str) -> bool {
        let holds = |v: &str| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
        self.all(name).any(|v| v.is_some_and(holds))
    }

    fn body(&self) -> Result<Option<Body>, End> {
        let mut coded = self.all("Transfer-Encoding");
        let mut lengths = self.all("Content-Length");
        match (coded.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(Some(coding)), None)
                if coded.next().is_none() && coding.eq_ignore_ascii_case("chunked") =>
            {
                Ok(Some(Body::Chunked))
            }
            (None, Some(Some(length))) if lengths.all(|l| l == Some(length)) => {
                let plain = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                let length = plain.then_some(length).ok_or(End::Malformed)?;
                // More digits than a number holds are more bytes than fit.
                length.parse().map(|n| Some(Body::Length(n))).map_err(|_| End::TooLarge)
            }
            _ => Err(End::Malformed),
        }
    }
}

/// Reads a request's head: `read` is handed its method, its path with query, and its fields.
pub fn request<T>(head: &[u8], read: impl FnOnce(&str, &str, &Fields) -> T) -> Result<T, End> {
    let mut fields = [EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = Request::new(&mut fields);
    let done = parsed.parse(head).is_ok_and(|s| s == Status::Complete(head.len()));
    let (Some(method), Some(path), true) = (parsed.method, parsed.path, done) else {
        return Err(End::Malformed);
    };
    Ok(read(method, path, &Fields(parsed.headers)))
}

/// Reads an answer's head: `read` is handed its status and its fields.
pub fn answer<T>(head: &[u8], read: impl FnOnce(u16, &Fields) -> T) -> Result<T, End> {
    let mut fields = [EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = Response::new(&mut fields);
    let done = parsed.parse(head).is_ok_and(|s| s == Status::Complete(head.len()));
    let (Some(status), true) = (parsed.code, done) else { return Err(End::Malformed) };
    Ok(read(status, &Fields(parsed.headers)))
}

/// How the body after a request's head is framed.
pub fn request_body(head: &[u8]) -> Result<Body, End> {
    Ok(request(head, |_, _, fields| fields.body())??.unwrap_or(Body::Length(0)))
}

/// How the body after an answer's head is framed.
pub fn answer_body(head: &[u8]) -> Result<Body, End> {
    answer(head, |status, fields| match status {
        100..=199 | 204 | 304 => Ok(Body::Length(0)),
        _ => Ok(fields.body()?.unwrap_or(Body::UntilEnd)),
    })?
}

/// A number with a unit, as microseconds.
pub fn budget(text: &str) -> Option<Time> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    (0.0..1e15).contains(&number).then_some((number * scale) as Time)
}

/// One of the figures in `name=value,name=value`.
pub fn figure(text: &str, name: &str) -> Option<f64> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(n, _)| n.trim() == name).map(|(_, v)| v.trim().parse().ok()).next()??;
    (0.0..1e9).contains(&value).then_some(value)
}

/// The head of an answer to a client.
pub fn reply(status: u16, pause: Time, close: bool, length: usize) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n");
    if pause > 0 {
        let _ = write!(head, "Retry-After: {:.3}\r\n", pause as f64 / SECOND as f64);
    }
    head + if close { "Connection: close\r\n\r\n" } else { "\r\n" }
}

/// The head of a request without a body; its answer may be followed for as long as it comes.
pub fn get(path: &str, to: SocketAddr) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n")
}

/// What of a task's head goes to every worker; `assignment` completes it.
pub fn passed_on(path: &str, id: &str, fingerprint: Option<&str>) -> String {
    let fingerprint = fingerprint.map(|f| format!("Idempotency-Key: {f}\r\n")).unwrap_or_default();
    format!("POST {path} HTTP/1.1\r\nX-Call-Id: {id}\r\n{fingerprint}")
}

/// The head of an assignment, which tells how long its answer is waited for.
pub fn assignment(passed_on: &str, length: usize, to: SocketAddr, wait: Time) -> String {
    format!("{passed_on}Content-Length: {length}\r\nHost: {to}\r\nX-Budget: {}u\r\n\r\n", wait.max(0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bodies_are_framed_by_one_clear_word_or_not_at_all() {
        let of = |fields: &str| request_body(format!("POST /a HTTP/1.1\r\n{fields}\r\n").as_bytes());
        assert_eq!(of(""), Ok(Body::Length(0)));
        assert_eq!(of("content-length: 12\r\n"), Ok(Body::Length(12)));
        assert_eq!(of("Content-Length: 12\r\nContent-Length: 12\r\n"), Ok(Body::Length(12)));
        assert_eq!(of("Transfer-Encoding: chunked\r\n"), Ok(Body::Chunked));
        for bad in [
            "Content-Length: 12\r\nContent-Length: 13\r\n",
            "Content-Length: +12\r\n",
            "Content-Length: \r\n",
            "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "no field\r\n",
        ] {
            assert_eq!(of(bad), Err(End::Malformed), "{bad}");
        }
        assert_eq!(of("Content-Length: 99999999999999999999\r\n"), Err(End::TooLarge));
        assert_eq!(answer_body(b"HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n"), Ok(Body::Length(0)));
        assert_eq!(answer_body(b"HTTP/1.1 200 OK\r\n\r\n"), Ok(Body::UntilEnd));
    }

    #[test]
    fn budgets_and_figures_are_numbers_in_range_or_nothing() {
        assert_eq!(budget("480m"), Some(480_000));
        assert_eq!(budget("1.5m"), Some(1500));
        assert_eq!(budget("77u"), Some(77));
        for bad in ["", "m", "480", "480s", "-1m", "NaNm", "infm", "1e30m", "480µ"] {
            assert_eq!(budget(bad), None, "{bad}");
        }
        assert_eq!(figure("mem=1, slots=2", "slots"), Some(2.0));
        assert_eq!(figure("slots=-2", "slots"), None);
        assert_eq!(figure("slots", "slots"), None);
    }
}
