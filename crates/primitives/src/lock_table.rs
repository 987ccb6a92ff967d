//! Locks: who holds each, with which fencing token, and when the hold ends.
//!
//! - A fencing token is the index of the log entry that granted it: tokens rise for ever, also over the loss of all leaders, and a
//!   lock that is free needs no state.
//! - A hold ends `hold_ms` after a replica has applied its last entry. Its holder counts from when it sent the call, which was
//!   earlier, so no replica ends a hold before its holder does, whoever leads next.
//! - A grant to another holder names the last entry of the hold that its leader saw end, and takes effect only while that is still
//!   the last one. A renewal that comes before the grant in the log therefore wins.

use std::collections::BTreeMap;

use rainlug::Time;

use crate::EntryTime;

/// A hold lasts longer by this fraction on a replica's clock, for the drift between its clock and the holder's.
const CLOCK_DRIFT_DIVISOR: Time = 64;

/// A lock's hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) holder: String,
    /// The first fencing token that the holder was given without giving the lock back or losing it.
    pub(crate) first_fence: u64,
    /// The newest fencing token.
    pub(crate) fence: u64,
    /// The last entry that granted or renewed it.
    pub(crate) last_entry: u64,
    pub(crate) hold_ms: u32,
    /// When it ends, on this replica's steady clock.
    pub(crate) expires_at: Time,
}

impl Hold {
    /// A hold that lasts from now on.
    pub(crate) fn new(holder: &str, hold_ms: u32, at: EntryTime) -> Self {
        let index = at.index;
        let expires_at = expiry(hold_ms, at.now);
        Hold {
            holder: holder.to_owned(),
            first_fence: index,
            fence: index,
            last_entry: index,
            hold_ms,
            expires_at,
        }
    }

    /// Lasts on, for the longer of both times: an earlier call may be the last one that its holder had an answer to.
    fn extend(&mut self, hold_ms: u32, at: EntryTime) {
        self.last_entry = at.index;
        self.hold_ms = self.hold_ms.max(hold_ms);
        self.expires_at = self.expires_at.max(expiry(self.hold_ms, at.now));
    }
}

/// When a hold ends that lasts so long from `now`.
pub(crate) fn expiry(hold_ms: u32, now: Time) -> Time {
    let hold = Time::from(hold_ms) * 1000;
    now + hold + hold / CLOCK_DRIFT_DIVISOR
}

/// Whether a lock can be granted to a holder, as a replica sees it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It is free, or held by the same holder.
    Free,
    /// The hold of another has ended, whose last entry this is.
    Expired {
        /// The index of that entry.
        last_entry: u64,
    },
    /// Another holds it.
    Held,
}

/// The locks that are held, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LockTable {
    pub(crate) holds: BTreeMap<String, Hold>,
}

impl LockTable {
    /// Whether a lock can be granted to this holder now.
    pub fn availability(&self, lock: &str, holder: &str, now: Time) -> Availability {
        match self.holds.get(lock) {
            None => Availability::Free,
            Some(hold) if hold.holder == holder => Availability::Free,
            Some(hold) if hold.expires_at <= now => Availability::Expired { last_entry: hold.last_entry },
            Some(_) => Availability::Held,
        }
    }

    /// Grants a lock; the fencing token, or none where another holds it. The same holder gets a higher token each time: a release
    /// of its earlier grant that arrives late then frees nothing.
    pub(crate) fn acquire(
        &mut self,
        lock: &str,
        holder: &str,
        hold_ms: u32,
        expired_entry: u64,
        at: EntryTime,
    ) -> Option<u64> {
        match self.holds.get_mut(lock) {
            Some(hold) if hold.holder == holder => {
                hold.extend(hold_ms, at);
                hold.fence = at.index;
            }
            Some(hold) if hold.last_entry != expired_entry => return None,
            _ => {
                self.holds.insert(lock.to_owned(), Hold::new(holder, hold_ms, at));
            }
        }
        Some(at.index)
    }

    /// Renews a hold; whether it is still the holder's.
    pub(crate) fn renew(
        &mut self,
        lock: &str,
        holder: &str,
        fence: u64,
        hold_ms: u32,
        at: EntryTime,
    ) -> bool {
        let is_same =
            |hold: &&mut Hold| hold.holder == holder && (hold.first_fence..=hold.fence).contains(&fence);
        let Some(hold) = self.holds.get_mut(lock).filter(is_same) else { return false };
        hold.extend(hold_ms, at);
        true
    }

    /// Frees a lock where this hold is the present one.
    pub(crate) fn release(&mut self, lock: &str, holder: &str, fence: u64) {
        if self.holds.get(lock).is_some_and(|hold| hold.holder == holder && hold.fence == fence) {
            self.holds.remove(lock);
        }
    }

    /// Forgets a hold whose last entry is still this one.
    pub(crate) fn expire(&mut self, lock: &str, expired_entry: u64) {
        if self.holds.get(lock).is_some_and(|hold| hold.last_entry == expired_entry) {
            self.holds.remove(lock);
        }
    }

    /// Locks whose holds ended before this time, with the last entry of each; so many at most.
    pub fn ended_before(&self, time: Time, most: usize) -> Vec<(String, u64)> {
        let ended = self.holds.iter().filter(|(_, hold)| hold.expires_at < time);
        ended.take(most).map(|(lock, hold)| (lock.clone(), hold.last_entry)).collect()
    }

    /// How many locks are held, or were and have not been forgotten.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Whether no lock is held.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }
}
