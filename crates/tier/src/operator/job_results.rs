//! `rainlug lot`: the results of a batch job.

use std::net::SocketAddr;
use std::time::Duration;

use nanoserde::{DeJson, SerJson};
use rainlug_sim_worker::client::Ask;
use tokio::time::{Instant, sleep};

use super::client::{RETRY_INTERVAL, is_path_name, parse_address, parse_json, refused, request};
use super::{Error, format_table};

/// How long a call waits for results at the other side, in milliseconds.
const MAX_POLL_MS: &str = "1000";

/// One item's result.
#[derive(Clone, Debug, SerJson, DeJson)]
struct Output {
    id: String,
    state: String,
    prompt: String,
}

/// The results from an offset on that are there.
#[derive(DeJson)]
struct Page {
    grand_total: u64,
    next_token: u64,
    outputs: Vec<Output>,
}

/// All results, as the subcommand prints them.
#[derive(SerJson)]
struct Results {
    grand_total: u64,
    outputs: Vec<Output>,
}

/// Reads all results of a batch job at a front address, and waits for those that are not there yet.
///
/// # Errors
/// As [`super::list`], and where not all are there in the time.
pub async fn read_job_results(
    at: &str,
    host: &str,
    id: &str,
    wait: Duration,
    json: bool,
) -> Result<String, Error> {
    let at = parse_address(at)?;
    if !is_path_name(id) {
        return Err(unknown_job(id));
    }
    let deadline = Instant::now() + wait;
    let mut results = Results { grand_total: 0, outputs: Vec::new() };
    loop {
        let since = results.outputs.len() as u64;
        let page = read_page(at, host, id, since).await?;
        results.outputs.extend(page.outputs);
        if page.next_token >= page.grand_total {
            results.grand_total = page.grand_total;
            break;
        }
        if Instant::now() >= deadline {
            return Err(Error::Unfinished(format!(
                "{id}: {} of {} results after {:.0} s",
                page.next_token,
                page.grand_total,
                wait.as_secs_f64()
            )));
        }
        sleep(RETRY_INTERVAL).await;
    }
    if json {
        return Ok(results.serialize_json() + "\n");
    }
    let rows: Vec<Vec<String>> =
        results.outputs.into_iter().map(|o| vec![o.id, o.state, o.prompt.replace('\n', " ")]).collect();
    Ok(format_table(&["ITEM", "STATE", "RESULT"], &rows))
}

/// The results from the offset `since` on.
async fn read_page(at: SocketAddr, host: &str, id: &str, since: u64) -> Result<Page, Error> {
    let fields = [("Host", host), ("X-Rainlug-Wait-Ms", MAX_POLL_MS)];
    let path = format!("/v1/lots/{id}?since_item={since}");
    let response = request(at, Ask { method: "GET", path: &path, fields: &fields, body: b"" }).await?;
    match response.status {
        200 => {}
        404 => return Err(unknown_job(id)),
        _ => return Err(refused(&response)),
    }
    let page: Page = parse_json(&response.body, "the results")?;
    if page.next_token != since + page.outputs.len() as u64 {
        return Err(Error::Unreadable("the results"));
    }
    Ok(page)
}

fn unknown_job(id: &str) -> Error {
    Error::Answered(404, format!(": no batch job has the id {id:?}"))
}
