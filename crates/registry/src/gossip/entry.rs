//! What is known of one worker, and which of two tales of it is newer.

use rainlug::{SECOND, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::wire::{BUCKETS, WorkerEntry};
use crate::{Phase, Worker};

/// Before it is forgotten, an entry isn't told to others any more, so that it doesn't come back from them.
const HUSH: Time = 15 * SECOND;

/// For how long an entry is listed as a worker, and for how long it is remembered, by phase.
pub(super) fn spans(phase: Phase) -> Option<(Time, Time)> {
    match phase {
        Phase::Ready => None,
        Phase::Unresponsive => Some((60 * SECOND, 120 * SECOND)),
        Phase::Draining => Some((600 * SECOND, 660 * SECOND)),
        Phase::Gone => Some((0, 60 * SECOND)),
    }
}

/// What of a worker is compared: the greater one is kept. Beats that change nothing don't change it.
pub(super) type EntryVersion = (bool, u64, Phase);

pub(super) fn mark(published_seq: u64, phase: Phase) -> EntryVersion {
    (phase == Phase::Gone, published_seq, phase)
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) worker: Worker,
    /// `call_seq` at the last change.
    pub(super) published_seq: u64,
    /// When the phase began, as far as known.
    pub(super) since: Time,
    pub(super) warm_until: Time,
    /// Not listed any more.
    pub(super) is_tombstoned: bool,
}

impl Entry {
    pub(super) fn mark(&self) -> EntryVersion {
        mark(self.published_seq, self.worker.phase)
    }

    /// Which of two tales is newer.
    pub(super) fn evidence(&self) -> EntryVersion {
        mark(self.worker.call_seq, self.worker.phase)
    }

    pub(super) fn alike(&self, other: &Worker) -> bool {
        let mine = &self.worker;
        mine.phase == other.phase
            && mine.address == other.address
            && mine.service == other.service
            && mine.slots == other.slots
            && mine.zone == other.zone
    }

    /// Of a tombstone: the worker's name and place are those that were known.
    pub(super) fn complete(&mut self, known: &Worker) {
        let (phase, call_seq) = (self.worker.phase, self.worker.call_seq);
        self.worker = Worker { phase, call_seq, ..known.clone() };
    }

    pub(super) fn shown(&self, now: Time) -> bool {
        spans(self.worker.phase).is_none_or(|(_, whole)| now - self.since < whole - HUSH)
    }

    pub(super) fn told(&self, now: Time) -> WorkerEntry {
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

pub(super) fn entry(now: Time, worker: Worker, published_seq: u64, age_ms: u32) -> Entry {
    Entry {
        published_seq,
        since: now - Time::from(age_ms) * 1_000,
        warm_until: now + Time::from(worker.warm_up_left_ms) * 1_000,
        is_tombstoned: false,
        worker,
    }
}

pub(super) fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

pub(super) fn bucket(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}
