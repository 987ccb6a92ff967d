//! Heads of HTTP/1.1 messages, as this protocol writes them; how they are read is the transport's.

use std::fmt::Write as _;
use std::net::SocketAddr;

use rainlug::{SECOND, Time};

pub use rainlug_transport::head::{Fields, answer, answer_body, request, request_body};

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
