//! The state machine of a shard of primitives.

use std::collections::BTreeMap;

use rainlug::Time;
use rainlug_codec::DecodeError;

use crate::Command;
use crate::key_group::{KeyGroup, PutOutcome, Version, WatchRead, group_of};
use crate::lock_table::LockTable;
use crate::remembered_puts::{RememberedPuts, put_hash};

/// Bytes of memory of a lock's hold and of a remembered put, about.
const HOLD_BYTES: usize = 192;
const REMEMBERED_PUT_BYTES: usize = 48;

/// Which entry of the log is applied, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryTime {
    /// The entry's index.
    pub index: u64,
    /// This replica's steady clock, in microseconds.
    pub now: Time,
}

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The lock is the caller's.
    Granted {
        /// The fencing token.
        fence: u64,
    },
    /// Another holds the lock.
    Held,
    /// The hold lasts on.
    Renewed,
    /// The hold is not the caller's any more.
    Lost,
    /// The lock is free, or was not the caller's.
    Released,
    /// The number that was handed out.
    Number(u64),
    /// What the put did.
    Put(PutOutcome),
}

/// The locks, keys and history of a shard. Replicas that have applied the same entries have the same state, but for the times on their
/// own clocks and what they have forgotten of the history by them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Primitives {
    pub(crate) locks: LockTable,
    /// By the group's name.
    pub(crate) groups: BTreeMap<String, KeyGroup>,
    pub(crate) remembered: RememberedPuts,
}

impl Primitives {
    /// Applies a committed command.
    ///
    /// # Errors
    /// Where a name or value is not UTF-8; the state is as before.
    pub fn apply(&mut self, command: &Command, at: EntryTime) -> Result<Outcome, DecodeError> {
        Ok(match command {
            Command::Acquire { lock, holder, hold_ms, expired_entry } => {
                let granted =
                    self.locks.acquire(lock.to_str()?, holder.to_str()?, *hold_ms, *expired_entry, at);
                granted.map_or(Outcome::Held, |fence| Outcome::Granted { fence })
            }
            Command::Renew { lock, holder, fence, hold_ms } => {
                let is_renewed = self.locks.renew(lock.to_str()?, holder.to_str()?, *fence, *hold_ms, at);
                if is_renewed { Outcome::Renewed } else { Outcome::Lost }
            }
            Command::Release { lock, holder, fence } => {
                self.locks.release(lock.to_str()?, holder.to_str()?, *fence);
                Outcome::Released
            }
            Command::Expire { lock, expired_entry } => {
                self.locks.expire(lock.to_str()?, *expired_entry);
                Outcome::Released
            }
            // Indexes rise for ever, so they are above every number that was handed out under any name.
            Command::NextNumber { .. } => Outcome::Number(at.index),
            Command::Put { key, value, is_conditional, expected_revision } => {
                let (key, value) = (key.to_str()?, value.to_str()?);
                let expected = (*is_conditional != 0).then_some(*expected_revision);
                Outcome::Put(self.put(key, value, expected, at.now))
            }
        })
    }

    /// Applies a put, unless it has taken effect before.
    fn put(&mut self, key: &str, value: &str, expected_revision: Option<u64>, now: Time) -> PutOutcome {
        let hash = put_hash(key, value);
        if let Some(revision) = self.remembered.revision(hash) {
            return PutOutcome::Done { revision };
        }
        let group = self.groups.entry(group_of(key).to_owned()).or_default();
        let outcome = group.put(key, value, expected_revision, now);
        if let PutOutcome::Done { revision } = outcome {
            self.remembered.add(hash, revision);
        }
        outcome
    }

    /// Forgets the puts that this replica applied before this time: watches cannot go on from before them any more.
    pub fn forget_history(&mut self, before: Time) {
        self.groups.values_mut().for_each(|group| group.forget_history(before));
    }

    /// The locks.
    pub fn locks(&self) -> &LockTable {
        &self.locks
    }

    /// A group of keys, where a put to one of them was ever committed.
    pub fn group(&self, name: &str) -> Option<&KeyGroup> {
        self.groups.get(name)
    }

    /// A key's version.
    pub fn key(&self, key: &str) -> Option<&Version> {
        self.group(group_of(key))?.key(key)
    }

    /// What a watch of a group finds that knows all puts up to `since`; see [`KeyGroup::puts_since`].
    pub fn puts_since(&self, group: &str, since: u64, max_bytes: usize) -> WatchRead {
        let none = WatchRead::Puts { puts: Vec::new(), revision: 0 };
        self.group(group).map_or(none, |group| group.puts_since(since, max_bytes))
    }

    /// How many keys there are.
    pub fn key_count(&self) -> usize {
        self.groups.values().map(KeyGroup::key_count).sum()
    }

    /// Bytes of memory of keys and their history, about.
    pub fn key_bytes(&self) -> usize {
        self.groups.values().map(KeyGroup::memory_bytes).sum()
    }

    /// Bytes of memory, about; a snapshot has no more.
    pub fn memory_bytes(&self) -> usize {
        self.key_bytes() + HOLD_BYTES * self.locks.len() + REMEMBERED_PUT_BYTES * self.remembered.len()
    }
}
