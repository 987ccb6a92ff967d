//! Disks that lose what is not synced.

use std::collections::BTreeMap;

use bytes::Bytes;

/// Records on their way to the disk.
struct PendingWrite {
    ticket: u64,
    /// They take the place of all that the log held.
    is_rewrite: bool,
    records: Vec<Bytes>,
}

/// A disk: what is synced, and what is on its way.
#[derive(Default)]
pub struct Disk {
    pub id: u64,
    /// Records by shard.
    pub synced: BTreeMap<u16, Vec<Bytes>>,
    pending: BTreeMap<u16, Vec<PendingWrite>>,
}

impl Disk {
    /// An empty disk with this identity.
    pub fn empty(id: u64) -> Self {
        Disk { id, ..Disk::default() }
    }

    /// Records are handed to the disk: in place of all that a log holds, or for its end.
    pub(super) fn write(&mut self, shard: u16, ticket: u64, is_rewrite: bool, records: Vec<Bytes>) {
        self.pending.entry(shard).or_default().push(PendingWrite { ticket, is_rewrite, records });
    }

    /// What was handed over up to a ticket is synced.
    pub(super) fn sync(&mut self, shard: u16, ticket: u64) {
        let pending = self.pending.entry(shard).or_default();
        while pending.first().is_some_and(|write| write.ticket <= ticket) {
            let write = pending.remove(0);
            let kept = self.synced.entry(shard).or_default();
            if write.is_rewrite {
                kept.clear();
            }
            kept.extend(write.records);
        }
    }

    /// The process is gone. What is on its way is lost with the power; without, it reaches the disk.
    pub(super) fn finish(&mut self, has_power: bool) {
        let shards: Vec<u16> = self.pending.keys().copied().collect();
        if has_power {
            shards.into_iter().for_each(|shard| self.sync(shard, u64::MAX));
        }
        self.pending.clear();
    }
}
