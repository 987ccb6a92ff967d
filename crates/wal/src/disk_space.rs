//! The room of one disk, shared by the logs on it.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::compaction;

/// A ledger of a disk's bytes: what its logs hold, and what rewrites under way are going to.
#[derive(Debug)]
pub struct DiskSpace {
    capacity: u64,
    used: Mutex<u64>,
    released: Condvar,
}

impl DiskSpace {
    /// The room of a disk of so many bytes.
    pub fn new(capacity: u64) -> Self {
        DiskSpace { capacity, used: Mutex::new(0), released: Condvar::new() }
    }

    /// Bytes of the disk.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Bytes that no log holds and no rewrite has reserved.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(*self.lock())
    }

    /// Bytes that appends have to themselves.
    pub fn reserved_for_appends(&self) -> u64 {
        compaction::reserved_for_appends(self.capacity)
    }

    /// A log has become longer.
    pub(crate) fn add(&self, bytes: u64) {
        let mut used = self.lock();
        *used = used.saturating_add(bytes);
    }

    /// A log has become shorter, or a reservation is given back.
    pub(crate) fn release(&self, bytes: u64) {
        let mut used = self.lock();
        *used = used.saturating_sub(bytes);
        drop(used);
        self.released.notify_all();
    }

    /// Reserves bytes for a rewrite and leaves others free; false where they are not there.
    pub(crate) fn reserve(&self, bytes: u64, left_free: u64) -> bool {
        let mut used = self.lock();
        let wanted = used.saturating_add(bytes);
        let fits = wanted.saturating_add(left_free) <= self.capacity;
        if fits {
            *used = wanted;
        }
        fits
    }

    /// What was reserved is in use; it has come to so many bytes.
    pub(crate) fn settle(&self, reserved: u64, written: u64) {
        match written.checked_sub(reserved) {
            Some(more) => self.add(more),
            None => self.release(reserved - written),
        }
    }

    /// Waits until something is released, at most so long.
    pub(crate) fn wait(&self, most: Duration) {
        // Both an early and a late end are fine: the caller tries again.
        let _ = self.released.wait_timeout(self.lock(), most);
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
