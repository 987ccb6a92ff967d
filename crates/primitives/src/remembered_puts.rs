//! The puts that took effect, to recognize one that comes again: callers repeat a put that had no clear answer, and a process that stood
//! still may pass one on late.
//!
//! How many are remembered is fixed, since it decides which puts take effect: replicas must forget the same ones.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_128;

/// How many puts of a shard are remembered. Callers repeat a put for some seconds; a shard commits some hundred entries a second.
pub const MAX_REMEMBERED_PUTS: usize = 8192;

/// The revisions of the last puts of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RememberedPuts {
    revisions: HashMap<u128, u64>,
    /// Oldest first.
    order: VecDeque<u128>,
}

/// What a put is recognized by. The key's length keeps key and value apart.
pub(crate) fn put_hash(key: &str, value: &str) -> u128 {
    let mut bytes = Vec::with_capacity(8 + key.len() + value.len());
    bytes.extend((key.len() as u64).to_le_bytes());
    bytes.extend(key.as_bytes());
    bytes.extend(value.as_bytes());
    xxh3_128(&bytes)
}

impl RememberedPuts {
    /// The revision that this put got, if it is remembered.
    pub(crate) fn revision(&self, hash: u128) -> Option<u64> {
        self.revisions.get(&hash).copied()
    }

    /// Remembers a put; the oldest one is forgotten where there are too many.
    pub(crate) fn add(&mut self, hash: u128, revision: u64) {
        self.revisions.insert(hash, revision);
        self.order.push_back(hash);
        if self.order.len() > MAX_REMEMBERED_PUTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.revisions.remove(&oldest);
        }
    }

    /// All of them, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u128, u64)> + '_ {
        self.order.iter().filter_map(|hash| Some((*hash, self.revision(*hash)?)))
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
