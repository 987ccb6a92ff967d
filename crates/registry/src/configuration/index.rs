//! Finding the route of a request: by host, then by the longest path prefix.

use std::borrow::Cow;
use std::collections::hash_map::{Entry, HashMap};

/// Positions of routes by host and path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteIndex {
    by_host: HashMap<String, Prefixes>,
}

/// Positions of one host's routes by prefix.
#[derive(Clone, Debug, Default, PartialEq)]
struct Prefixes {
    /// Bytes of the longest prefix.
    longest: usize,
    by_prefix: HashMap<String, usize>,
}

impl RouteIndex {
    /// Adds the route at a position. Where one with the same host and prefix is there already, that one stays.
    ///
    /// # Errors
    /// The position of that one.
    pub fn insert(&mut self, host: &str, path_prefix: &str, position: usize) -> Result<(), usize> {
        let prefixes = self.by_host.entry(normalize_host(host).into_owned()).or_default();
        prefixes.longest = prefixes.longest.max(path_prefix.len());
        match prefixes.by_prefix.entry(path_prefix.to_owned()) {
            Entry::Occupied(first) => Err(*first.get()),
            Entry::Vacant(free) => {
                free.insert(position);
                Ok(())
            }
        }
    }

    /// The position of the host's route with the longest prefix that the path begins with. What follows a `?` does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.by_host.get(normalize_host(host).as_ref())?;
        let path = path.split('?').next().unwrap_or_default();
        let longest = path.len().min(prefixes.longest);
        // All prefixes end with a slash.
        let slashes = path.bytes().take(longest).enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.filter_map(|(at, _)| prefixes.by_prefix.get(path.get(..=at)?)).next().copied()
    }
}

/// A host in lower case and without its port.
fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        Some((name, port))
            if port.bytes().all(|b| b.is_ascii_digit()) && (!name.contains(':') || name.ends_with(']')) =>
        {
            name
        }
        _ => host,
    };
    if host.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}
