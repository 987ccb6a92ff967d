//! The body of a client's `POST` of a batch job.
//!
//! Whatever a client sends ends as a list of valid [`Item`]s or as a [`SubmissionError`] that names the offending field; the error's
//! text is part of the answer to the client.

use std::collections::{BTreeMap, BTreeSet};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use nanoserde::{DeJson, DeJsonErr};
use quick_error::quick_error;

use crate::{Item, json};

/// Items that one batch job may have.
const MAX_ITEMS: usize = 200;

quick_error! {
    /// Why a submission is rejected. The texts are read by clients; `index` counts requests from 0.
    #[derive(Debug)]
    pub enum SubmissionError {
        /// Not UTF-8; that many bytes are valid.
        NotUtf8(valid_up_to: usize) { display("malformed: not UTF-8 from byte {}", valid_up_to) }
        /// Not one JSON value (RFC 8259) from this byte on.
        NotJson(offset: usize) { display("malformed: not JSON from byte {}", offset) }
        /// A field is missing or has the wrong type.
        Fields(cause: DeJsonErr) { display("malformed: {}", cause) }
        /// Too many items, or none.
        ItemCount(count: usize) { display("malformed: requests: {}, not 1 to {}", count, MAX_ITEMS) }
        /// An id is empty or has other characters than visible ASCII.
        InvalidId(index: usize) { display("malformed: requests[{}].id: not a word", index) }
        /// Two items have the same id.
        DuplicateId(index: usize) { display("malformed: requests[{}].id: stands there before", index) }
        /// A path that does not go into a request line of HTTP/1.1.
        InvalidPath(index: usize) { display("malformed: requests[{}].path: not a path", index) }
        /// A header that does not go into a head of HTTP/1.1.
        InvalidHeader(index: usize) { display("malformed: requests[{}].headers: not a header", index) }
        /// A body that is not base64 (RFC 4648, padded).
        InvalidBody(index: usize) { display("malformed: requests[{}].body: not base64", index) }
    }
}

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

/// Parses `{"requests":[{"id","path","headers","body"(base64),"token_count"}]}` with 1 to 200 requests. Other fields are skipped;
/// headers come sorted by name.
///
/// # Errors
/// The first fault found, see [`SubmissionError`].
pub fn parse_submission(body: &[u8]) -> Result<Vec<Item>, SubmissionError> {
    let text = str::from_utf8(body).map_err(|error| SubmissionError::NotUtf8(error.valid_up_to()))?;
    json::check(text).map_err(SubmissionError::NotJson)?;
    let submission = Submission::deserialize_json(text).map_err(SubmissionError::Fields)?;
    let count = submission.requests.len();
    if !(1..=MAX_ITEMS).contains(&count) {
        return Err(SubmissionError::ItemCount(count));
    }
    let mut seen = BTreeSet::new();
    let requests = submission.requests.into_iter().enumerate();
    requests.map(|(index, request)| request.into_item(index, &mut seen)).collect()
}

impl Request {
    /// The item, with its id added to those `seen`.
    fn into_item(self, index: usize, seen: &mut BTreeSet<String>) -> Result<Item, SubmissionError> {
        let Request { id, path, headers, body, token_count } = self;
        if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(SubmissionError::InvalidId(index));
        }
        if !seen.insert(id.clone()) {
            return Err(SubmissionError::DuplicateId(index));
        }
        if !path.starts_with('/') || !path.bytes().all(|byte| byte.is_ascii_graphic() || byte >= 0x80) {
            return Err(SubmissionError::InvalidPath(index));
        }
        if !headers.iter().all(|(name, value)| is_header(name, value)) {
            return Err(SubmissionError::InvalidHeader(index));
        }
        let body = STANDARD.decode(body).map_err(|_| SubmissionError::InvalidBody(index))?.into();
        Ok(Item { id, path, headers: headers.into_iter().collect(), body, token_count })
    }
}

fn is_header(name: &str, value: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_token) && !value.bytes().any(is_control)
}

/// RFC 9110, 5.6.2.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_control(byte: u8) -> bool {
    byte.is_ascii_control() && byte != b'\t'
}
