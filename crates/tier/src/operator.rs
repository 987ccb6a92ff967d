//! The operator's subcommands: calls at a control address (or a front, for batch jobs), shown as text or as JSON.

use std::collections::BTreeMap;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeJson, SerJson};
use quick_error::quick_error;
use rainlug_registry::{Configuration, is_json};
use rainlug_sim_worker::client::{self, Ask, Response};
use tokio::time::{Instant, sleep};

use crate::check;
use crate::listings::Listing;
use crate::settings::{self, Finding};

/// An answer must be had in this time, also where a first one says that it is to be asked again.
const ANSWER: Duration = Duration::from_secs(3);
/// Between two tries, and two looks at what is watched.
const AGAIN: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a subcommand could not be carried out, in one line.
    #[derive(Debug)]
    pub enum Error {
        Address(text: String) { display("{}: HOST:PORT expected", text) }
        Call(source: client::Error) { from() display("{}", source) }
        /// The other side's word.
        Answered(status: u16, said: String) { display("answered {}{}", status, said) }
        DecodeError(what: &'static str) { display("{}: not what a rainlug of this version answers", what) }
        File(path: PathBuf, findings: Vec<Finding>) {
            display("{}: {}", path.display(), one_line(findings))
        }
        Unfinished(what: String) { display("{}", what) }
    }
}

/// Findings in one line.
fn one_line(findings: &[Finding]) -> String {
    settings::join(findings).replace(['\n', '\r'], " ")
}

impl Error {
    /// What the process ends with: 2 for files that cannot be used.
    pub fn code(&self) -> u8 {
        if matches!(self, Error::File(..)) { 2 } else { 1 }
    }
}

/// The address that a text names.
///
/// # Errors
/// Where it names none.
pub fn address(text: &str) -> Result<SocketAddr, Error> {
    let found = text.to_socket_addrs().ok().and_then(|mut all| all.find(SocketAddr::is_ipv4));
    found.ok_or_else(|| Error::Address(text.to_owned()))
}

pub(crate) fn read<T: DeJson>(body: &Bytes, what: &'static str) -> Result<T, Error> {
    let text = str::from_utf8(body).ok().filter(|_| is_json(body)).ok_or(Error::DecodeError(what))?;
    T::deserialize_json(text).map_err(|_| Error::DecodeError(what))
}

#[derive(DeJson)]
struct Refusal {
    error: String,
}

fn refused(told: &Response) -> Error {
    let said = read::<Refusal>(&told.body, "")
        .map_or_else(|_| String::new(), |r| format!(": {}", r.error.replace('\n', " ")));
    Error::Answered(told.status, said)
}

/// Asks until there is an answer that is not to be asked again, three seconds long.
async fn ask(at: SocketAddr, ask: Ask<'_>) -> Result<Response, Error> {
    let until = Instant::now() + ANSWER;
    loop {
        let told = client::call(at, ask, until.saturating_duration_since(Instant::now()).max(AGAIN)).await;
        let again = matches!(&told, Ok(told) if matches!(told.status, 429 | 503 | 504));
        if !again || Instant::now() + AGAIN >= until {
            return told.map_err(|error| match error {
                client::Error::Silent(at, _) => client::Error::Silent(at, ANSWER).into(),
                other => other.into(),
            });
        }
        sleep(AGAIN).await;
    }
}

async fn get(at: SocketAddr, path: &str) -> Result<Response, Error> {
    let told = ask(at, Ask::get(path)).await?;
    if told.status == 200 { Ok(told) } else { Err(refused(&told)) }
}

fn utf8(body: &Bytes) -> Result<String, Error> {
    String::from_utf8(body.to_vec()).map_err(|_| Error::DecodeError("the answer"))
}

/// Rows under their columns.
pub fn table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let width = |n: usize| {
        let cells = rows.iter().filter_map(|row| row.get(n)).map(|cell| cell.chars().count());
        cells.chain(columns.get(n).map(|c| c.len())).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut all = line(columns.to_vec());
    all.extend(rows.iter().map(|row| line(row.iter().map(String::as_str).collect())));
    all
}

/// A list of the control address.
///
/// # Errors
/// As all of these: where there is no answer, or none that can be used.
pub async fn list<L: Listing>(at: &str, json: bool) -> Result<String, Error> {
    let told = get(address(at)?, L::PATH).await?;
    if json {
        return Ok(utf8(&told.body)? + "\n");
    }
    let list: L = read(&told.body, "the list")?;
    let rows: Vec<Vec<String>> = list.lines().iter().map(L::cells).collect();
    Ok(table(L::COLUMNS, &rows))
}

/// All figures, as lines of name and value.
///
/// # Errors
/// As [`list`].
pub async fn figures(at: &str, json: bool) -> Result<String, Error> {
    let text = utf8(&get(address(at)?, "/v1/figures").await?.body)?;
    if !json {
        return Ok(text);
    }
    let pair = |line: &str| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    let figures: BTreeMap<String, f64> = text.lines().filter_map(pair).collect();
    Ok(figures.serialize_json() + "\n")
}

/// The configuration in force, as it was sent.
///
/// # Errors
/// As [`list`].
pub async fn configuration(at: &str) -> Result<String, Error> {
    let mut text = utf8(&get(address(at)?, "/v1/configuration").await?.body)?;
    if !text.ends_with('\n') {
        text.push('\n');
    }
    Ok(text)
}

fn file(path: &Path) -> Result<Configuration, Error> {
    let wrong = |findings| Error::File(path.to_owned(), findings);
    let bytes = std::fs::read(path).map_err(|e| wrong(vec![Finding::of_file(e.to_string())]))?;
    let text = Bytes::from(bytes);
    Configuration::parse(&text).map_err(|_| wrong(check::check_configuration(text)))
}

/// The configuration in force; none where there is none yet.
async fn in_force(at: SocketAddr) -> Result<Option<Configuration>, Error> {
    let told = ask(at, Ask::get("/v1/configuration")).await?;
    match told.status {
        200 => {
            Configuration::parse(&told.body).map(Some).map_err(|_| Error::DecodeError("the configuration"))
        }
        404 => Ok(None),
        _ => Err(refused(&told)),
    }
}

#[derive(SerJson)]
struct Taken {
    version: u64,
    base: u64,
}

/// Puts a file's configuration in force, in place of the version `base`; of the one in force where it is not said.
///
/// # Errors
/// As [`list`], and where the file is not sound.
pub async fn put(at: &str, path: &Path, base: Option<u64>, json: bool) -> Result<String, Error> {
    let at = address(at)?;
    let configuration = file(path)?;
    let base = match base {
        Some(base) => base,
        None => in_force(at).await?.map_or(0, |c| c.version),
    };
    let if_match = base.to_string();
    let fields = [("If-Match", if_match.as_str()), ("Content-Type", "application/json")];
    let body = &configuration.source;
    let told = ask(at, Ask { method: "PUT", path: "/v1/configuration", fields: &fields, body }).await?;
    let version = configuration.version;
    match told.status {
        200 if json => Ok(Taken { version, base }.serialize_json() + "\n"),
        200 if base == version => Ok(format!("version {version} was taken before\n")),
        200 => Ok(format!("version {version} is in force, built on {base}\n")),
        412 => Err(Error::Answered(
            412,
            format!(": another version than {base} is in force, or {version} is not above it"),
        )),
        _ => Err(refused(&told)),
    }
}

/// What differs between two configurations, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerJson)]
pub struct Difference {
    pub from: u64,
    pub to: u64,
    pub routes_added: Vec<String>,
    pub routes_removed: Vec<String>,
    pub routes_changed: Vec<String>,
    pub services_added: Vec<String>,
    pub services_removed: Vec<String>,
    pub services_changed: Vec<String>,
    pub limits_changed: bool,
}

/// Names that only the second has, only the first has, and that both have with other contents.
fn compared<T: PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> [Vec<String>; 3] {
    let by_name = |all: &'_ [T], of: &T| all.iter().position(|one| name(one) == name(of));
    let names = |all: Vec<&T>| all.into_iter().map(|one| name(one).to_owned()).collect();
    let added = new.iter().filter(|one| by_name(old, one).is_none()).collect();
    let removed = old.iter().filter(|one| by_name(new, one).is_none()).collect();
    let differs =
        |one: &&T| by_name(old, one).and_then(|at| old.get(at)).is_some_and(|before| before != *one);
    [names(added), names(removed), names(new.iter().filter(differs).collect())]
}

pub fn difference(old: Option<&Configuration>, new: &Configuration) -> Difference {
    let (routes, services) = old.map_or((&[][..], &[][..]), |old| (&old.routes[..], &old.services[..]));
    let [routes_added, routes_removed, routes_changed] = compared(routes, &new.routes, |r| &r.name);
    let [services_added, services_removed, services_changed] = compared(services, &new.services, |s| &s.name);
    Difference {
        from: old.map_or(0, |c| c.version),
        to: new.version,
        routes_added,
        routes_removed,
        routes_changed,
        services_added,
        services_removed,
        services_changed,
        limits_changed: old.is_some_and(|old| old.limits != new.limits),
    }
}

impl Difference {
    /// A line for each name that differs.
    pub fn text(&self) -> String {
        let mut text = format!("version {} -> {}\n", self.from, self.to);
        let sorts = [
            ("route", "added", &self.routes_added),
            ("route", "removed", &self.routes_removed),
            ("route", "changed", &self.routes_changed),
            ("service", "added", &self.services_added),
            ("service", "removed", &self.services_removed),
            ("service", "changed", &self.services_changed),
        ];
        for (what, how, names) in sorts {
            text.extend(names.iter().map(|name| format!("{what} {name}: {how}\n")));
        }
        if self.limits_changed {
            text.push_str("limits: changed\n");
        }
        if text.lines().count() == 1 {
            text.push_str("no difference in routes, services and limits\n");
        }
        text
    }
}

/// What a file would change of the configuration in force.
///
/// # Errors
/// As [`put`].
pub async fn diff(at: &str, path: &Path, json: bool) -> Result<String, Error> {
    let at = address(at)?;
    let new = file(path)?;
    let old = in_force(at).await?;
    let difference = difference(old.as_ref(), &new);
    Ok(if json { difference.serialize_json() + "\n" } else { difference.text() })
}

#[derive(DeJson)]
struct Retiring {
    state: String,
}

/// What a store's retirement is asked for.
#[derive(Clone, Debug)]
pub struct Retire {
    pub store: String,
    pub over_s: u64,
    /// Waits until it is complete, for so long at most.
    pub watch: Option<Duration>,
}

/// Asks for a store to be emptied.
///
/// # Errors
/// As [`list`], and where it is not complete in the time it is watched.
pub async fn retire(at: &str, retire: &Retire, json: bool) -> Result<String, Error> {
    let at = address(at)?;
    let store = &retire.store;
    if store.is_empty() || !store.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b)) {
        return Err(Error::Answered(404, format!(": no store has the name {store:?}")));
    }
    let (path, body) = (format!("/v1/retire/{store}"), format!("{{\"over_s\":{}}}", retire.over_s));
    let fields = [("Content-Type", "application/json")];
    let told = ask(at, Ask { method: "POST", path: &path, fields: &fields, body: body.as_bytes() }).await?;
    match told.status {
        200..=299 => {}
        404 => return Err(Error::Answered(404, format!(": no store has the name {store:?}"))),
        409 => return Err(Error::Answered(409, ": too few stores would remain".to_owned())),
        _ => return Err(refused(&told)),
    }
    let until = Instant::now() + retire.watch.unwrap_or_default();
    let state = loop {
        // A group that elects its leader just now is asked again.
        let told = get(at, &path).await;
        let state = match told {
            Ok(told) => read::<Retiring>(&told.body, "the state")?.state,
            Err(error) if Instant::now() >= until => return Err(error),
            Err(_) => "unknown".to_owned(),
        };
        if retire.watch.is_none() || state == "complete" {
            break state;
        }
        if Instant::now() >= until {
            return Err(Error::Unfinished(format!("{store}: still {state} at the end of the watch")));
        }
        sleep(LOOK).await;
    };
    Ok(if json { format!("{{\"state\":\"{state}\"}}\n") } else { format!("{store}: {state}\n") })
}

#[derive(Clone, Debug, SerJson, DeJson)]
struct Output {
    id: String,
    state: String,
    prompt: String,
}

#[derive(DeJson)]
struct Page {
    grand_total: u64,
    next_token: u64,
    outputs: Vec<Output>,
}

#[derive(SerJson)]
struct Results {
    grand_total: u64,
    outputs: Vec<Output>,
}

/// Reads all results of a batch job at a front, and waits for those that are not there yet.
///
/// # Errors
/// As [`list`], and where not all are there in the time.
pub async fn lot(at: &str, host: &str, id: &str, wait: Duration, json: bool) -> Result<String, Error> {
    let at = address(at)?;
    if id.is_empty() || !id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b)) {
        return Err(Error::Answered(404, format!(": no batch job has the id {id:?}")));
    }
    let until = Instant::now() + wait;
    let fields = [("Host", host), ("X-Rainlug-Wait-Ms", "1000")];
    let (mut outputs, mut since) = (Vec::new(), 0);
    let grand_total = loop {
        let path = format!("/v1/lots/{id}?since_item={since}");
        let told = ask(at, Ask { method: "GET", path: &path, fields: &fields, body: b"" }).await?;
        match told.status {
            200 => {}
            404 => return Err(Error::Answered(404, format!(": no batch job has the id {id:?}"))),
            _ => return Err(refused(&told)),
        }
        let page: Page = read(&told.body, "the results")?;
        if page.next_token != since + page.outputs.len() as u64 {
            return Err(Error::DecodeError("the results"));
        }
        since = page.next_token;
        outputs.extend(page.outputs);
        if since >= page.grand_total {
            break page.grand_total;
        }
        if Instant::now() >= until {
            return Err(Error::Unfinished(format!(
                "{id}: {since} of {} results after {:.0} s",
                page.grand_total,
                wait.as_secs_f64()
            )));
        }
        sleep(AGAIN).await;
    };
    if json {
        return Ok(Results { grand_total, outputs }.serialize_json() + "\n");
    }
    let rows: Vec<Vec<String>> =
        outputs.into_iter().map(|o| vec![o.id, o.state, o.prompt.replace('\n', " ")]).collect();
    Ok(table(&["ITEM", "STATE", "RESULT"], &rows))
}
