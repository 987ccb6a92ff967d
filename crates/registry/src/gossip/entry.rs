//! What is known of one worker, and which of two versions of it is newer.

use rainlug::{SECOND, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::wire::{BUCKETS, WorkerEntry};
use crate::{Phase, Worker};

/// Before an entry expires it is no longer sent to peers for this long, so that it does not come back from one that is late.
const QUIET_BEFORE_EXPIRY: Time = 15 * SECOND;

/// How long an entry stays, from the beginning of its phase.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retention {
    /// It is listed as a worker this long.
    pub(super) listed: Time,
    /// It is remembered this long, as a tombstone once it is no longer listed.
    pub(super) remembered: Time,
}

impl Retention {
    /// By phase; entries of workers that are ready stay.
    pub(super) fn of(phase: Phase) -> Option<Self> {
        let (listed, remembered) = match phase {
            Phase::Ready => return None,
            Phase::Unresponsive => (60 * SECOND, 120 * SECOND),
            Phase::Draining => (600 * SECOND, 660 * SECOND),
            Phase::Gone => (0, 60 * SECOND),
        };
        Some(Retention { listed, remembered })
    }
}

/// Orders the versions of a worker's entry; the greater one is kept. [`Phase::Gone`] is above all others: a worker's id is never
/// used again. The fields' order is the order of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryVersion {
    is_gone: bool,
    seq: u64,
    phase: Phase,
}

impl EntryVersion {
    pub(super) fn new(seq: u64, phase: Phase) -> Self {
        EntryVersion { is_gone: phase == Phase::Gone, seq, phase }
    }

    /// Below those of all workers: documents have versions of their own.
    pub(super) fn of_document() -> Self {
        EntryVersion::new(0, Phase::Ready)
    }
}

/// A worker as it is known here.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) worker: Worker,
    /// The worker's `call_seq` at its last change.
    pub(super) published_seq: u64,
    /// When the phase began, as far as known.
    pub(super) since: Time,
    /// When the worker will have warmed up.
    pub(super) warm_until: Time,
    /// It is only a tombstone: remembered, and no longer listed.
    pub(super) is_delisted: bool,
}

impl Entry {
    /// An entry whose phase began `age_ms` ago.
    pub(super) fn new(now: Time, worker: Worker, published_seq: u64, age_ms: u32) -> Self {
        Entry {
            published_seq,
            since: now - Time::from(age_ms) * 1_000,
            warm_until: now + Time::from(worker.warm_up_left_ms) * 1_000,
            is_delisted: false,
            worker,
        }
    }

    /// The version that copies compare. Heartbeats that change nothing do not change it.
    pub(super) fn published_version(&self) -> EntryVersion {
        EntryVersion::new(self.published_seq, self.worker.phase)
    }

    /// The version by the worker's last call: which of two differing entries is newer.
    pub(super) fn call_version(&self) -> EntryVersion {
        EntryVersion::new(self.worker.call_seq, self.worker.phase)
    }

    /// Whether a worker differs from this one in nothing but the number of its call and its warm-up.
    pub(super) fn is_unchanged_by(&self, other: &Worker) -> bool {
        let mine = &self.worker;
        mine.phase == other.phase
            && mine.address == other.address
            && mine.service == other.service
            && mine.slots == other.slots
            && mine.zone == other.zone
    }

    /// Fills a tombstone's unknown fields from what was known of the worker.
    pub(super) fn fill_from(&mut self, known: &Worker) {
        let (phase, call_seq) = (self.worker.phase, self.worker.call_seq);
        self.worker = Worker { phase, call_seq, ..known.clone() };
    }

    /// Whether the entry is sent to peers and counts in digests.
    pub(super) fn is_shared(&self, now: Time) -> bool {
        Retention::of(self.worker.phase)
            .is_none_or(|retention| now - self.since < retention.remembered - QUIET_BEFORE_EXPIRY)
    }

    pub(super) fn to_wire(&self, now: Time) -> WorkerEntry {
        let ms = |time: Time| u32::try_from(time.max(0) / 1_000).unwrap_or(u32::MAX);
        WorkerEntry {
            published_seq: self.published_seq,
            call_seq: self.worker.call_seq,
            phase: self.worker.phase as u8,
            age_ms: ms(now - self.since),
            slots: self.worker.slots,
            warm_up_left_ms: ms(self.warm_until - now),
            address: self.worker.address.into(),
            id: self.worker.id.clone(),
            service: self.worker.service.clone(),
            zone: self.worker.zone.clone(),
        }
    }
}

/// A worker's id as it is named in acknowledgements.
pub(super) fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The bucket of a digest that a worker counts in.
pub(super) fn bucket(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}
