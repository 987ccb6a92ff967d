//! Answers as HTTP/1.1 responses, for the servers of this crate.

use std::cell::Cell;

use rainlug_coordinator::Answer;
use rainlug_transport::{End, Link};

/// Writes an answer; `close` says in it that the connection ends.
///
/// # Errors
/// Where the connection breaks.
pub(crate) async fn write_response(link: &mut Link, answer: &Answer, close: bool) -> Result<(), End> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        answer.status,
        reason_phrase(answer.status),
        answer.body.len()
    );
    if answer.is_json {
        head.push_str("Content-Type: application/json\r\n");
    }
    if let Some(delay) = answer.retry_after {
        head.push_str(&format!("Retry-After: {:.3}\r\n", delay as f64 / 1e6));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    link.send(head.as_bytes(), &answer.body, &Cell::new(false)).await
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
