//! `rainlug retire`: a store emptied before it is taken away.

use std::time::Duration;

use nanoserde::DeJson;
use rainlug_sim_worker::client::Ask;
use tokio::time::{Instant, sleep};

use super::Error;
use super::client::{get, is_path_name, parse_address, parse_json, refused, request};

/// Between two reads of the state of a retirement.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The answer to `GET /v1/retire/NODE`.
#[derive(DeJson)]
struct RetirementState {
    state: String,
}

/// Which store is to be emptied, and how.
#[derive(Clone, Debug)]
pub struct Retirement {
    /// The store's name.
    pub store: String,
    /// How long emptying it may take, in seconds.
    pub over_s: u64,
    /// Waits until the store is empty, for so long at most; `None` waits not at all.
    pub watch: Option<Duration>,
}

/// Asks for a store to be emptied.
///
/// # Errors
/// As [`super::list`], and where it is not complete in the time it is watched.
pub async fn retire_store(at: &str, retirement: &Retirement, json: bool) -> Result<String, Error> {
    let at = parse_address(at)?;
    let store = &retirement.store;
    if !is_path_name(store) {
        return Err(unknown_store(store));
    }
    let (path, body) = (format!("/v1/retire/{store}"), format!("{{\"over_s\":{}}}", retirement.over_s));
    let fields = [("Content-Type", "application/json")];
    let response =
        request(at, Ask { method: "POST", path: &path, fields: &fields, body: body.as_bytes() }).await?;
    match response.status {
        200..=299 => {}
        404 => return Err(unknown_store(store)),
        409 => return Err(Error::Answered(409, ": too few stores would remain".to_owned())),
        _ => return Err(refused(&response)),
    }
    let deadline = Instant::now() + retirement.watch.unwrap_or_default();
    let state = loop {
        // While a shard elects its leader the state is unknown; it is read again.
        let state = match get(at, &path).await {
            Ok(response) => parse_json::<RetirementState>(&response.body, "the state")?.state,
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => "unknown".to_owned(),
        };
        if retirement.watch.is_none() || state == "complete" {
            break state;
        }
        if Instant::now() >= deadline {
            return Err(Error::Unfinished(format!("{store}: still {state} at the end of the watch")));
        }
        sleep(WATCH_INTERVAL).await;
    };
    Ok(if json { format!("{{\"state\":\"{state}\"}}\n") } else { format!("{store}: {state}\n") })
}

fn unknown_store(store: &str) -> Error {
    Error::Answered(404, format!(": no store has the name {store:?}"))
}
