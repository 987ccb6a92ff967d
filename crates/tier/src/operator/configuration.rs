//! `rainlug configuration`: the configuration in force, and a file's in its place.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use nanoserde::SerJson;
use rainlug_registry::Configuration;
use rainlug_sim_worker::client::Ask;

use super::Error;
use super::client::{decode_text, get, parse_address, refused, request};
use crate::check;
use crate::settings::Finding;

const PATH: &str = "/v1/configuration";

/// The configuration in force, as it was sent.
///
/// # Errors
/// As [`super::list`].
pub async fn get_configuration(at: &str) -> Result<String, Error> {
    let mut text = decode_text(&get(parse_address(at)?, PATH).await?.body)?;
    if !text.ends_with('\n') {
        text.push('\n');
    }
    Ok(text)
}

/// A file's configuration.
fn read_file(path: &Path) -> Result<Configuration, Error> {
    let invalid = |findings| Error::File(path.to_owned(), findings);
    let bytes = std::fs::read(path).map_err(|e| invalid(vec![Finding::of_file(e.to_string())]))?;
    let text = Bytes::from(bytes);
    Configuration::parse(&text).map_err(|_| invalid(check::check_configuration(text)))
}

/// The configuration in force; `None` where there is none yet.
async fn configuration_in_force(at: SocketAddr) -> Result<Option<Configuration>, Error> {
    let response = request(at, Ask::get(PATH)).await?;
    match response.status {
        200 => {
            Configuration::parse(&response.body).map(Some).map_err(|_| Error::Unreadable("the configuration"))
        }
        404 => Ok(None),
        _ => Err(refused(&response)),
    }
}

/// The answer to `put` as JSON.
#[derive(SerJson)]
struct Accepted {
    version: u64,
    base: u64,
}

/// Puts a file's configuration in force, built on the version `base`; on the one in force where that is `None`.
///
/// # Errors
/// As [`super::list`], and where the file is not sound.
pub async fn put_configuration(
    at: &str,
    path: &Path,
    base: Option<u64>,
    json: bool,
) -> Result<String, Error> {
    let at = parse_address(at)?;
    let configuration = read_file(path)?;
    let base = match base {
        Some(base) => base,
        None => configuration_in_force(at).await?.map_or(0, |c| c.version),
    };
    let if_match = base.to_string();
    let fields = [("If-Match", if_match.as_str()), ("Content-Type", "application/json")];
    let body = &configuration.source;
    let response = request(at, Ask { method: "PUT", path: PATH, fields: &fields, body }).await?;
    let version = configuration.version;
    match response.status {
        200 if json => Ok(Accepted { version, base }.serialize_json() + "\n"),
        200 if base == version => Ok(format!("version {version} was taken before\n")),
        200 => Ok(format!("version {version} is in force, built on {base}\n")),
        412 => Err(Error::Answered(
            412,
            format!(": another version than {base} is in force, or {version} is not above it"),
        )),
        _ => Err(refused(&response)),
    }
}

/// What differs between two configurations, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerJson)]
pub struct Difference {
    /// The version of the first; 0 where there is none.
    pub from: u64,
    /// The version of the second.
    pub to: u64,
    /// Routes that only the second has.
    pub routes_added: Vec<String>,
    /// Routes that only the first has.
    pub routes_removed: Vec<String>,
    /// Routes that both have, with other contents.
    pub routes_changed: Vec<String>,
    /// Services that only the second has.
    pub services_added: Vec<String>,
    /// Services that only the first has.
    pub services_removed: Vec<String>,
    /// Services that both have, with other contents.
    pub services_changed: Vec<String>,
    /// Whether the limits differ.
    pub limits_changed: bool,
}

/// Names that only the second has, only the first has, and that both have with other contents.
fn compare_by_name<T: PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> [Vec<String>; 3] {
    let position = |all: &'_ [T], of: &T| all.iter().position(|one| name(one) == name(of));
    let names = |all: Vec<&T>| all.into_iter().map(|one| name(one).to_owned()).collect();
    let added = new.iter().filter(|one| position(old, one).is_none()).collect();
    let removed = old.iter().filter(|one| position(new, one).is_none()).collect();
    let differs =
        |one: &&T| position(old, one).and_then(|at| old.get(at)).is_some_and(|before| before != *one);
    [names(added), names(removed), names(new.iter().filter(differs).collect())]
}

/// Compares two configurations; `None` stands for an empty one of version 0.
pub fn difference(old: Option<&Configuration>, new: &Configuration) -> Difference {
    let (routes, services) = old.map_or((&[][..], &[][..]), |old| (&old.routes[..], &old.services[..]));
    let [routes_added, routes_removed, routes_changed] = compare_by_name(routes, &new.routes, |r| &r.name);
    let [services_added, services_removed, services_changed] =
        compare_by_name(services, &new.services, |s| &s.name);
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
        let groups = [
            ("route", "added", &self.routes_added),
            ("route", "removed", &self.routes_removed),
            ("route", "changed", &self.routes_changed),
            ("service", "added", &self.services_added),
            ("service", "removed", &self.services_removed),
            ("service", "changed", &self.services_changed),
        ];
        for (kind, change, names) in groups {
            text.extend(names.iter().map(|name| format!("{kind} {name}: {change}\n")));
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
/// As [`put_configuration`].
pub async fn diff_configuration(at: &str, path: &Path, json: bool) -> Result<String, Error> {
    let at = parse_address(at)?;
    let new = read_file(path)?;
    let old = configuration_in_force(at).await?;
    let difference = difference(old.as_ref(), &new);
    Ok(if json { difference.serialize_json() + "\n" } else { difference.text() })
}
