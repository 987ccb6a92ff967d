//! A batch job as a client hands it in.

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use nanoserde::DeJson;

use crate::{DecodeError, Item, json};

/// Items that one batch job may have.
const MOST_ITEMS: usize = 200;

#[derive(DeJson)]
struct Submission {
    requests: Vec<Request>,
}

#[derive(DeJson)]
struct Request {
    id: String,
    path: String,
    #[nserde(default)]
    headers: BTreeMap<String, String>,
    body: String,
    token_count: u64,
}

/// Reads `POST` of a batch job: `{"requests":[{"id","path","headers","body"(base64),"token_count"}]}`. Fields besides are skipped;
/// headers come sorted by name.
///
/// # Errors
/// What is wrong, with its place: not JSON, none or more than 200 items, an id twice, a body that is not base64, an id, a path or a
/// header that does not go into a head of HTTP/1.1.
pub fn read_requests(body: &[u8]) -> Result<Vec<Item>, DecodeError> {
    let text = str::from_utf8(body).map_err(|e| odd(format!("not UTF-8 from byte {}", e.valid_up_to())))?;
    json::check(text).map_err(|at| odd(format!("not JSON from byte {at}")))?;
    let found = Submission::deserialize_json(text).map_err(|e| odd(e.to_string()))?;
    let count = found.requests.len();
    if !(1..=MOST_ITEMS).contains(&count) {
        return Err(odd(format!("requests: {count}, not 1 to {MOST_ITEMS}")));
    }
    let mut seen = BTreeSet::new();
    let mut items = Vec::with_capacity(count);
    for (i, request) in found.requests.into_iter().enumerate() {
        let wrong = |what: &str| odd(format!("requests[{i}].{what}"));
        let Request { id, path, headers, body, token_count } = request;
        if id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(wrong("id: not a word"));
        }
        if !seen.insert(id.clone()) {
            return Err(wrong("id: stands there before"));
        }
        if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic() || b >= 0x80) {
            return Err(wrong("path: not a path"));
        }
        for (name, value) in &headers {
            if name.is_empty() || !name.bytes().all(is_token) || value.bytes().any(is_control) {
                return Err(wrong("headers: not a header"));
            }
        }
        let body = STANDARD.decode(body).map_err(|_| wrong("body: not base64"))?.into();
        items.push(Item { id, path, headers: headers.into_iter().collect(), body, token_count });
    }
    Ok(items)
}

fn odd(what: String) -> DecodeError {
    DecodeError::Malformed(what)
}

/// RFC 9110, 5.6.2.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_control(byte: u8) -> bool {
    byte.is_ascii_control() && byte != b'\t'
}
