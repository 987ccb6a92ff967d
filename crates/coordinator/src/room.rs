//! Whether another batch job fits on the disk of its part's leader.
//!
//! A job that was accepted must never be held up by one accepted later. So what counts is not what the logs hold now but what they
//! will hold once each accepted item is listed. A rewrite is never needed for that; where one can be made, what it frees counts
//! as free.

use std::collections::VecDeque;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::Totals;

/// A disk that takes longer than this to write something is stalled.
pub const DISK_PATIENCE: Time = SECOND;
/// Bytes of a record beside its content: headers of file and entry, ids and counts of a command.
const RECORD: u64 = 160;
/// Bytes of an output as long as none was seen.
const OUTPUT_GUESS: u64 = 4096;
/// Outputs seen that are needed for a mean of their lengths.
const OUTPUTS_NEEDED: u64 = 32;
/// Of the disk's bytes, one in so many is kept back: lists and elections go on when no batch job is taken any more.
const KEPT_BACK_SHARE: u64 = 32;
/// A rewrite is made only where it shortens the file by one part in so many.
const LEAST_GAIN_SHARE: u64 = 5;

/// A part's log on this process's disk.
#[derive(Debug, Default)]
pub struct PartDisk {
    /// Bytes of the file.
    pub length: u64,
    /// Tickets that are to be saved, and since when.
    unsaved: VecDeque<(u64, Time)>,
}

impl PartDisk {
    /// A log that holds these records.
    pub fn of(records: &[Bytes]) -> Self {
        let length = records.iter().map(|record| record.len() as u64).sum();
        PartDisk { length, unsaved: VecDeque::new() }
    }

    /// Records up to a ticket are handed to the disk.
    pub fn saving(&mut self, now: Time, ticket: u64) {
        self.unsaved.push_back((ticket, now));
    }

    /// Records up to a ticket are saved in a file of this length.
    pub fn saved(&mut self, ticket: u64, length: u64) {
        self.length = length;
        while self.unsaved.front().is_some_and(|(first, _)| *first <= ticket) {
            self.unsaved.pop_front();
        }
    }

    /// Whether something has waited for the disk too long.
    pub fn is_stalled(&self, now: Time) -> bool {
        self.unsaved.front().is_some_and(|(_, since)| now - since > DISK_PATIENCE)
    }
}

/// What a part's log holds, and what the accepted items will add to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogUse {
    /// Bytes of the file.
    pub length: u64,
    /// Bytes that it would have if it were rewritten, about.
    pub rewritten: u64,
    pub totals: Totals,
}

impl LogUse {
    /// Bytes that an item's output takes in the log, in the mean of those that came.
    pub fn mean_output(&self) -> u64 {
        let Totals { listed, output_bytes, .. } = self.totals;
        let text = if listed < OUTPUTS_NEEDED { OUTPUT_GUESS } else { output_bytes / listed };
        text + RECORD
    }

    /// Bytes that outputs of accepted items will add.
    fn outputs_to_come(&self) -> u64 {
        self.totals.open.saturating_mul(self.mean_output())
    }

    /// Whether a rewrite would be made.
    pub fn pays(&self) -> bool {
        self.length.saturating_sub(self.rewritten) >= self.length / LEAST_GAIN_SHARE
    }

    /// What a rewrite would free; nothing where none would be made.
    fn gain(&self) -> u64 {
        if self.pays() { self.length.saturating_sub(self.rewritten) } else { 0 }
    }
}

/// Bytes that a batch job will take in the log: its request, and an output for each item.
pub fn job_bytes(request: usize, items: usize, mean_output: u64) -> u64 {
    RECORD + request as u64 + (items as u64).saturating_mul(mean_output)
}

/// Whether so many more bytes fit on a disk with these logs, once all that is accepted is listed.
pub fn fits(capacity: u64, logs: impl IntoIterator<Item = LogUse>, needed: u64) -> bool {
    let mut logs: Vec<LogUse> = logs.into_iter().collect();
    let usable = capacity - capacity / KEPT_BACK_SHARE;
    let mut used: u64 = logs.iter().map(|log| log.length).sum();
    let to_come: u64 = logs.iter().map(LogUse::outputs_to_come).sum();
    // The shortest first: what it frees may make room for the next one's copy.
    logs.sort_by_key(|log| log.rewritten);
    for log in logs {
        if used + to_come + needed <= usable {
            return true;
        }
        if used + log.rewritten <= usable {
            used -= log.gain();
        }
    }
    used + to_come + needed <= usable
}
