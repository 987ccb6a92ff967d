//! Calls at a process of the tier, as all subcommands make them.

use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

use bytes::Bytes;
use nanoserde::DeJson;
use rainlug_registry::is_json;
use rainlug_sim_worker::client::{self, Ask, Response};
use tokio::time::{Instant, sleep};

use super::Error;

/// An answer must be had in this time, also where the first one says that the call is to be made again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Between two attempts.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The address that a text names.
///
/// # Errors
/// Where it names none.
pub(super) fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    let found = text.to_socket_addrs().ok().and_then(|mut all| all.find(SocketAddr::is_ipv4));
    found.ok_or_else(|| Error::Address(text.to_owned()))
}

/// Whether a name may stand in a path as it is.
pub(super) fn is_path_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b))
}

/// Makes a call, again and again while the answer says that it may succeed later, for as long as [`ANSWER_TIMEOUT`].
///
/// # Errors
/// Where there is no answer.
pub(super) async fn request(at: SocketAddr, ask: Ask<'_>) -> Result<Response, Error> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let timeout = deadline.saturating_duration_since(Instant::now()).max(RETRY_INTERVAL);
        let result = client::call(at, ask, timeout).await;
        let is_temporary = matches!(&result, Ok(response) if matches!(response.status, 429 | 503 | 504));
        if !is_temporary || Instant::now() + RETRY_INTERVAL >= deadline {
            return result.map_err(|error| match error {
                client::Error::Silent(at, _) => client::Error::Silent(at, ANSWER_TIMEOUT).into(),
                other => other.into(),
            });
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// The answer to a `GET`.
///
/// # Errors
/// Where there is none, or its status is not 200.
pub(super) async fn get(at: SocketAddr, path: &str) -> Result<Response, Error> {
    let response = request(at, Ask::get(path)).await?;
    if response.status == 200 { Ok(response) } else { Err(refused(&response)) }
}

#[derive(DeJson)]
struct Refusal {
    error: String,
}

/// The error for an answer that refuses a call, with the reason that it gives.
pub(super) fn refused(response: &Response) -> Error {
    let reason = parse_json::<Refusal>(&response.body, "")
        .map_or_else(|_| String::new(), |r| format!(": {}", r.error.replace('\n', " ")));
    Error::Answered(response.status, reason)
}

/// The body of an answer as text.
///
/// # Errors
/// Where it is not UTF-8.
pub(super) fn decode_text(body: &Bytes) -> Result<String, Error> {
    String::from_utf8(body.to_vec()).map_err(|_| Error::Unreadable("the answer"))
}

/// Reads a body as JSON; `name` says in an error what it should have been.
///
/// # Errors
/// Where it is something else.
pub(crate) fn parse_json<T: DeJson>(body: &Bytes, name: &'static str) -> Result<T, Error> {
    let text = str::from_utf8(body).ok().filter(|_| is_json(body)).ok_or(Error::Unreadable(name))?;
    T::deserialize_json(text).map_err(|_| Error::Unreadable(name))
}
