//! Accounting for the space of one disk, shared by all logs on it.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::compaction;

/// The bytes of a disk that its open logs take and that rewrites in progress have reserved. It counts only what goes through this
/// crate, and it bounds rewrites only: an append is refused by the file system, not by this.
#[derive(Debug)]
pub struct DiskSpace {
    capacity: u64,
    used: Mutex<u64>,
    released: Condvar,
}

impl DiskSpace {
    /// A disk of `capacity` bytes on which nothing is used.
    pub fn new(capacity: u64) -> Self {
        DiskSpace { capacity, used: Mutex::new(0), released: Condvar::new() }
    }

    /// Bytes of the disk.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Bytes that no open log takes and no rewrite has reserved.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(*self.lock())
    }

    /// Bytes that rewrites leave to appends.
    pub fn reserved_for_appends(&self) -> u64 {
        compaction::reserved_for_appends(self.capacity)
    }

    /// Counts bytes that a log has grown by.
    pub(crate) fn add(&self, bytes: u64) {
        let mut used = self.lock();
        *used = used.saturating_add(bytes);
    }

    /// Gives back bytes of a log or of a reservation, and wakes all that wait for space.
    pub(crate) fn release(&self, bytes: u64) {
        let mut used = self.lock();
        *used = used.saturating_sub(bytes);
        drop(used);
        self.released.notify_all();
    }

    /// Reserves bytes for a rewrite if at least `min_free` bytes stay free beside them; false, and nothing reserved, otherwise.
    pub(crate) fn reserve(&self, bytes: u64, min_free: u64) -> bool {
        let mut used = self.lock();
        let wanted = used.saturating_add(bytes);
        let fits = wanted.saturating_add(min_free) <= self.capacity;
        if fits {
            *used = wanted;
        }
        fits
    }

    /// Turns a reservation into use: `written` bytes were written where `reserved` had been reserved.
    pub(crate) fn commit_reservation(&self, reserved: u64, written: u64) {
        match written.checked_sub(reserved) {
            Some(more) => self.add(more),
            None => self.release(reserved - written),
        }
    }

    /// Waits until something is released, at most for `timeout`. It may return early: callers check again in any case.
    pub(crate) fn wait_for_release(&self, timeout: Duration) {
        let _ = self.released.wait_timeout(self.lock(), timeout);
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
