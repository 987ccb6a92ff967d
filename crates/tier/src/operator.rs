//! The operator's subcommands: calls at a control address (or a front address, for batch jobs), whose results are text or JSON.

mod client;
mod configuration;
mod job_results;
mod retirement;
mod table;

use std::collections::BTreeMap;
use std::path::PathBuf;

use nanoserde::SerJson;
use quick_error::quick_error;

pub(crate) use self::client::parse_json;
use self::client::{decode_text, get, parse_address};
pub use self::configuration::{
    Difference, diff_configuration, difference, get_configuration, put_configuration,
};
pub use self::job_results::read_job_results;
pub use self::retirement::{Retirement, retire_store};
pub use self::table::format_table;
use crate::listings::Listing;
use crate::settings::{self, Finding};

/// What the process ends with where a file cannot be used.
const EXIT_UNUSABLE_FILE: u8 = 2;
/// What the process ends with otherwise.
const EXIT_FAILURE: u8 = 1;

quick_error! {
    /// Why a subcommand could not be carried out, in one line.
    #[derive(Debug)]
    pub enum Error {
        /// The address is not one.
        Address(text: String) { display("{}: HOST:PORT expected", text) }
        /// There is no answer.
        Call(source: rainlug_sim_worker::client::Error) { from() display("{}", source) }
        /// The other side refuses the call: the status, and the reason after a colon or nothing.
        Answered(status: u16, reason: String) { display("answered {}{}", status, reason) }
        /// The answer is none that this program knows.
        Unreadable(name: &'static str) { display("{}: not what a rainlug of this version answers", name) }
        /// The operator's file is wrong.
        File(path: PathBuf, findings: Vec<Finding>) {
            display("{}: {}", path.display(), one_line(findings))
        }
        /// The time to wait is over.
        Unfinished(state: String) { display("{}", state) }
    }
}

/// Findings in one line.
fn one_line(findings: &[Finding]) -> String {
    settings::join(findings).replace(['\n', '\r'], " ")
}

impl Error {
    /// What the process ends with.
    pub fn exit_code(&self) -> u8 {
        if matches!(self, Error::File(..)) { EXIT_UNUSABLE_FILE } else { EXIT_FAILURE }
    }
}

/// A listing of the control address.
///
/// # Errors
/// Where there is no answer, or none that can be used; so with all subcommands.
pub async fn list<L: Listing>(at: &str, json: bool) -> Result<String, Error> {
    let response = get(parse_address(at)?, L::PATH).await?;
    if json {
        return Ok(decode_text(&response.body)? + "\n");
    }
    let listing: L = parse_json(&response.body, "the list")?;
    let rows: Vec<Vec<String>> = listing.rows().iter().map(L::cells).collect();
    Ok(format_table(L::COLUMNS, &rows))
}

/// All metrics of a process, as lines of name and value.
///
/// # Errors
/// As [`list`].
pub async fn read_metrics(at: &str, json: bool) -> Result<String, Error> {
    let text = decode_text(&get(parse_address(at)?, "/v1/figures").await?.body)?;
    if !json {
        return Ok(text);
    }
    let pair = |line: &str| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    let metrics: BTreeMap<String, f64> = text.lines().filter_map(pair).collect();
    Ok(metrics.serialize_json() + "\n")
}
