//! The JSON bodies of answers.

use nanoserde::SerJson;

use crate::key_group::{Put, Version, WatchRead};

#[derive(SerJson)]
struct Fence {
    fence: u64,
}

#[derive(SerJson)]
struct Number {
    payload: u64,
}

#[derive(SerJson)]
struct Revision {
    revision: u64,
}

#[derive(SerJson)]
struct KeyVersion {
    payload: String,
    revision: u64,
}

#[derive(SerJson)]
struct Event {
    name: String,
    payload: String,
    revision: u64,
}

#[derive(SerJson)]
struct Events {
    events: Vec<Event>,
    revision: u64,
}

impl From<Put> for Event {
    fn from(put: Put) -> Self {
        Event { name: put.key, payload: put.value, revision: put.revision }
    }
}

/// A fencing token.
pub fn fence(fence: u64) -> String {
    Fence { fence }.serialize_json()
}

/// A number.
pub fn number(payload: u64) -> String {
    Number { payload }.serialize_json()
}

/// A key's revision.
pub fn revision(revision: u64) -> String {
    Revision { revision }.serialize_json()
}

/// A key's value and revision.
pub fn key(version: &Version) -> String {
    KeyVersion { payload: version.value.clone(), revision: version.revision }.serialize_json()
}

/// What a watch finds; none where what it asks for is too old.
pub fn watch(read: WatchRead) -> Option<String> {
    let WatchRead::Puts { puts, revision } = read else { return None };
    let events = puts.into_iter().map(Event::from).collect();
    Some(Events { events, revision }.serialize_json())
}
