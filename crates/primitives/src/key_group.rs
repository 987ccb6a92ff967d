//! The keys of one group: their values, the group's count of revisions, and its recent puts.
//!
//! - Revisions of a group count up from 1, one for each put that took effect.
//! - A condition on a key's revision that was not met is not met later either, since revisions only rise: what was refused stays
//!   refused.

use std::collections::{BTreeMap, VecDeque};

use rainlug::Time;
/// Bytes of memory of a key and of a put in the history besides their texts, about.
const KEY_BYTES: usize = 96;
const EVENT_BYTES: usize = 96;

/// The group of a key: the key up to its first dot, with the dot; the whole key where it has none.
pub fn group_of(key: &str) -> &str {
    key.find('.').map_or(key, |dot| &key[..=dot])
}

/// A key's value, and the revision that its put got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The value.
    pub value: String,
    /// The revision.
    pub revision: u64,
}

/// A put that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision that it got.
    pub revision: u64,
}

/// What a put did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It has this revision, now or since it first came.
    Done {
        /// The revision.
        revision: u64,
    },
    /// It did nothing, and never will: the key has this revision (0: there is no such key).
    Conflict {
        /// The key's revision.
        revision: u64,
    },
}

/// What a watch finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchRead {
    /// Puts after the revision that was asked for may have been forgotten.
    TooOld,
    /// All puts after that revision up to this one; none where there are none.
    Puts {
        /// In the order of their revisions.
        puts: Vec<Put>,
        /// The last revision that they cover.
        revision: u64,
    },
}

/// A put in the history, and when this replica applied it (steady clock).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PastPut {
    pub(crate) put: Put,
    pub(crate) applied_at: Time,
}

/// A group of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyGroup {
    /// The last revision that was given; 0 where none was.
    pub(crate) revision: u64,
    pub(crate) keys: BTreeMap<String, Version>,
    /// Recent puts, oldest first.
    pub(crate) history: VecDeque<PastPut>,
    /// The newest revision that is not in the history any more.
    pub(crate) forgotten_revision: u64,
    /// Bytes of the texts in keys and history.
    pub(crate) text_bytes: usize,
}

impl KeyGroup {
    /// Applies a put; `expected_revision` is the condition, if it has one.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: &str,
        expected_revision: Option<u64>,
        now: Time,
    ) -> PutOutcome {
        let present = self.keys.get(key).map_or(0, |version| version.revision);
        if expected_revision.is_some_and(|expected| expected != present) {
            return PutOutcome::Conflict { revision: present };
        }
        self.revision += 1;
        let revision = self.revision;
        self.insert_key(key, Version { value: value.to_owned(), revision });
        let put = Put { key: key.to_owned(), value: value.to_owned(), revision };
        self.push_history(PastPut { put, applied_at: now });
        PutOutcome::Done { revision }
    }

    pub(crate) fn insert_key(&mut self, key: &str, version: Version) {
        self.text_bytes += version.value.len();
        match self.keys.insert(key.to_owned(), version) {
            Some(replaced) => self.text_bytes -= replaced.value.len(),
            None => self.text_bytes += key.len(),
        }
    }

    pub(crate) fn push_history(&mut self, past: PastPut) {
        self.text_bytes += past.put.key.len() + past.put.value.len();
        self.history.push_back(past);
    }

    /// Forgets the puts that were applied here before this time.
    pub(crate) fn forget_history(&mut self, before: Time) {
        while let Some(oldest) = self.history.front().filter(|past| past.applied_at < before) {
            self.forgotten_revision = oldest.put.revision;
            self.text_bytes -= oldest.put.key.len() + oldest.put.value.len();
            self.history.pop_front();
        }
    }

    /// A key's version.
    pub fn key(&self, key: &str) -> Option<&Version> {
        self.keys.get(key)
    }

    /// The last revision that was given; 0 where none was.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What a watch finds that knows all puts up to `since`: so many bytes of texts at most, but one put at least. With 0 it asks
    /// for the present revision alone.
    pub fn puts_since(&self, since: u64, max_bytes: usize) -> WatchRead {
        if since == 0 {
            return WatchRead::Puts { puts: Vec::new(), revision: self.revision };
        }
        if since < self.forgotten_revision {
            return WatchRead::TooOld;
        }
        let (mut puts, mut bytes) = (Vec::new(), 0);
        for past in self.history.iter().filter(|past| past.put.revision > since) {
            bytes += past.put.key.len() + past.put.value.len() + EVENT_BYTES;
            if bytes > max_bytes && !puts.is_empty() {
                break;
            }
            puts.push(past.put.clone());
        }
        let revision = puts.last().map_or(self.revision, |put| put.revision);
        WatchRead::Puts { puts, revision }
    }

    /// How many keys there are.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Bytes of memory, about; a snapshot has no more.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.text_bytes + KEY_BYTES * self.keys.len() + EVENT_BYTES * self.history.len()
    }
}
