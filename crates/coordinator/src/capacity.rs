//! Whether another batch job can be kept: in this process's memory, on its disk, and so that an empty disk is
//! filled again in time.
//!
//! A job that was accepted must never be held up by one accepted later. So what counts is not what the parts
//! hold now but what they will hold once each accepted item is listed. A rewrite is never needed for that:
//! what one would free counts once it is made. The reasons for the figures: `docs/control-bounds.md`.

use std::collections::VecDeque;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{Item, ItemTotals};
use rainlug_wal::compaction;

use crate::{LOGS_PER_DISK, NodeInfo};

/// A disk that takes longer than this to write something is stalled.
pub const DISK_STALL_TIMEOUT: Time = SECOND;
/// Bytes of a record beside its content: headers of file and entry, ids and counts of a command.
const RECORD: u64 = 160;
/// Bytes of an output as long as none was seen.
const OUTPUT_GUESS: u64 = 4096;
/// Outputs seen that are needed for a mean of their lengths.
const OUTPUTS_NEEDED: u64 = 32;
/// Once logs take more than one part in so many of what they may, rewrites that pay are asked for.
const CROWDED_SHARE: u64 = 2;
/// Between two rewrites of a part that are asked for to make room: each writes the whole state.
const REWRITE_PAUSE: Time = 5 * SECOND;

/// Bytes of memory that a batch job has beside its items: its id, route and host.
const JOB_MEMORY: u64 = 512;
/// Bytes of memory that an item has beside its texts: places and vectors in the register.
const ITEM_MEMORY: u64 = 256;
/// Bytes of memory that a header has beside its text.
const HEADER_MEMORY: u64 = 128;
/// Memory of a process that keeps nothing: program, membership, gossip, connections with their buffers,
/// frames on their way (eight of 128 KiB at most for each follower and connection).
const BASE_MEMORY: u64 = 40_000_000;
/// Of the memory that is left, one part in so many is for what the allocator does not give back.
const ALLOCATOR_SHARE: u64 = 5;
/// Where the memory is smaller than what a process needs anyhow, the state has one part in so many of it.
const LEAST_MEMORY_SHARE: u64 = 32;

/// From the start of a process with an empty disk to the first bytes of its state: its word to the
/// configuration's part (each second), the fence and the seat (a round of two groups each).
const REFILL_START: Time = 3 * SECOND / 2;
/// Where the time for a refill is so short that this leaves little of it, the copy is reckoned with one part
/// in so many.
const LEAST_COPY_SHARE: Time = 4;
/// Of a link, three parts in four are for copies; the rest for new entries, runs of items, signs of life and
/// headers.
const REFILL_SHARE: (u64, u64) = (3, 4);

/// Entries that a leader keeps in memory for members that lag, in bytes: a snapshot instead takes the room of
/// a second copy there.
pub fn lag_bytes(disk_bytes: usize) -> usize {
    (disk_bytes / LOGS_PER_DISK).clamp(4 << 20, 16 << 20)
}

/// A part's log on this process's disk.
#[derive(Debug, Default)]
pub struct ShardDisk {
    /// Bytes of the file.
    pub length: u64,
    /// Tickets that are to be saved, and since when.
    unsaved: VecDeque<(u64, Time)>,
    /// When a rewrite was asked for to make room.
    rewrite_asked: Option<Time>,
}

impl ShardDisk {
    /// A log that holds these records.
    pub fn of(records: &[Bytes]) -> Self {
        let length = records.iter().map(|record| record.len() as u64).sum();
        ShardDisk { length, ..ShardDisk::default() }
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
        self.unsaved.front().is_some_and(|(_, since)| now - since > DISK_STALL_TIMEOUT)
    }

    /// Whether a rewrite may be asked for to make room: not soon after another one, and not while the disk is
    /// behind. It then counts as asked for.
    pub fn may_ask_rewrite(&mut self, now: Time) -> bool {
        let is_soon = self.rewrite_asked.is_some_and(|asked| now - asked < REWRITE_PAUSE);
        if is_soon || self.is_stalled(now) {
            return false;
        }
        self.rewrite_asked = Some(now);
        true
    }
}

/// What a part's log holds, and what the accepted items will add to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogUsage {
    /// Bytes of the file.
    pub length: u64,
    /// Bytes that the state takes in memory, about; it takes no more on a disk after a rewrite, nor on the
    /// way to an empty one.
    pub rewritten: u64,
    pub totals: ItemTotals,
}

impl LogUsage {
    /// Bytes that an item's output takes in the log, in the mean of those that came.
    pub fn mean_output_bytes(&self) -> u64 {
        let ItemTotals { finished, output_bytes, .. } = self.totals;
        let text = if finished < OUTPUTS_NEEDED { OUTPUT_GUESS } else { output_bytes / finished };
        text + RECORD
    }

    /// Bytes that outputs of accepted items will add.
    fn outputs_to_come(&self) -> u64 {
        self.totals.open.saturating_mul(self.mean_output_bytes())
    }

    /// Whether a rewrite would be made.
    pub fn pays(&self) -> bool {
        compaction::is_worthwhile(self.length, self.rewritten)
    }

    /// Whether the disk makes a rewrite that it is asked for and that frees something, as far as that rests on lengths.
    fn is_rewrite_made(&self, is_disk_half_full: bool) -> bool {
        let frees = self.length > self.rewritten;
        frees && compaction::should_compact(self.length, self.rewritten, is_disk_half_full)
    }
}

/// Bytes that a batch job will take at most, in the log as well as in memory: its request, and an output for
/// each item.
pub fn job_bytes(request: usize, items: &[Item], mean_output_bytes: u64) -> u64 {
    let headers: u64 = items.iter().map(|item| item.headers.len() as u64 * HEADER_MEMORY).sum();
    // An item's id is kept twice, to find its place by it.
    let ids: u64 = items.iter().map(|item| item.id.len() as u64).sum();
    let outputs = (items.len() as u64).saturating_mul(mean_output_bytes.saturating_add(ITEM_MEMORY));
    JOB_MEMORY + request as u64 + headers + ids + outputs
}

/// Why a new batch job is not taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The disk does not write.
    Stall,
    /// Too much waits for the disks of other members: links or disks are too slow for more.
    Links,
    /// It would not fit in memory, now or after a restart.
    Memory,
    /// It would not fit on the disk.
    Disk,
    /// An empty disk would not be filled again in time.
    Refill,
}

impl RejectionReason {
    pub const ALL: [RejectionReason; 5] = [
        RejectionReason::Stall,
        RejectionReason::Links,
        RejectionReason::Memory,
        RejectionReason::Disk,
        RejectionReason::Refill,
    ];

    /// Whether it ends without anything being forgotten or rewritten.
    pub fn is_temporary(self) -> bool {
        matches!(self, RejectionReason::Stall | RejectionReason::Links)
    }

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::Stall => "stall",
            RejectionReason::Links => "links",
            RejectionReason::Memory => "memory",
            RejectionReason::Disk => "disk",
            RejectionReason::Refill => "refill",
        }
    }
}

/// What one part on this process has in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardUsage {
    pub log: LogUsage,
    /// It is led here: members with an empty disk are filled from here.
    pub is_led: bool,
}

/// What is in use of a process's bounds.
#[derive(Clone, Debug, Default)]
pub struct CapacityUsage {
    pub shards: Vec<ShardUsage>,
    /// Bytes of batch jobs that are proposed, with their outputs to come.
    pub proposed: u64,
    /// Parts that this process may come to have once stores are lost and their seats move; no fewer than it has.
    pub max_shards_after_losses: u64,
}

impl CapacityUsage {
    fn sum(&self, bytes: impl Fn(&LogUsage) -> u64) -> u64 {
        self.shards.iter().fold(0, |sum, shard| sum.saturating_add(bytes(&shard.log)))
    }

    /// Bytes of all files.
    pub fn file_bytes(&self) -> u64 {
        self.sum(|log| log.length)
    }

    /// Bytes of the state of all parts.
    pub fn state_bytes(&self) -> u64 {
        self.sum(|log| log.rewritten)
    }

    /// So many bytes of the parts that are here, if this process had all that it may come to have, each as large as these in the
    /// mean.
    fn after_losses(&self, bytes: u64) -> u64 {
        let here = (self.shards.len() as u64).max(1);
        let scaled =
            u128::from(bytes) * u128::from(self.max_shards_after_losses.max(here)) / u128::from(here);
        u64::try_from(scaled).unwrap_or(u64::MAX)
    }

    /// Bytes of the state of the largest part.
    fn largest_state(&self) -> u64 {
        self.shards.iter().map(|shard| shard.log.rewritten).max().unwrap_or(0)
    }

    /// Bytes that will come for what is accepted or proposed.
    pub fn future_output_bytes(&self) -> u64 {
        self.sum(LogUsage::outputs_to_come).saturating_add(self.proposed)
    }

    /// Bytes of memory that are taken once all accepted is listed: by the state as it is kept, or by the
    /// files that a restart reads, whichever is more.
    pub fn memory_bytes(&self) -> u64 {
        self.state_bytes().max(self.file_bytes()).saturating_add(self.future_output_bytes())
    }

    /// Bytes of the state of parts led here, once all accepted is listed. Proposals are made by leaders only.
    fn led_bytes(&self) -> u64 {
        let led = self.shards.iter().filter(|shard| shard.is_led);
        let bytes = led.map(|shard| shard.log.rewritten.saturating_add(shard.log.outputs_to_come()));
        bytes.fold(self.proposed, u64::saturating_add)
    }
}

/// What a process has to keep batch jobs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Bytes of memory of the whole process.
    pub memory_bytes: u64,
    /// Bytes of the disk.
    pub disk_bytes: u64,
    pub link_bytes_per_second: u64,
    /// How soon a machine with an empty disk has to have all of its parts again.
    pub sync_time: Time,
    /// Members of a part that may be empty at once, and are filled by one leader.
    pub copies: u64,
}

impl CapacityLimits {
    pub fn of(info: &NodeInfo) -> Self {
        CapacityLimits {
            memory_bytes: info.memory_bytes as u64,
            disk_bytes: info.disk_bytes as u64,
            link_bytes_per_second: info.link_bytes_per_second,
            sync_time: info.sync_time,
            copies: info.tolerated_failures.max(1) as u64,
        }
    }

    /// Bytes of memory that the state of so many parts may take.
    pub fn memory_limit(&self, shards: usize) -> u64 {
        let tails = (shards as u64).saturating_mul(lag_bytes(self.disk_bytes as usize) as u64);
        let free = self.memory_bytes.saturating_sub(BASE_MEMORY).saturating_sub(tails);
        (free - free / ALLOCATOR_SHARE).max(self.memory_bytes / LEAST_MEMORY_SHARE)
    }

    /// Bytes of memory that the state may take at the very most: what is left beside a process that keeps nothing.
    pub fn max_memory(&self) -> u64 {
        self.memory_bytes.saturating_sub(BASE_MEMORY).max(self.memory_bytes / LEAST_MEMORY_SHARE)
    }

    /// Bytes of the disk that logs may take.
    pub fn disk_limit(&self) -> u64 {
        self.disk_bytes - compaction::reserved_for_appends(self.disk_bytes)
    }

    /// Bytes a second that copies of the state have of the link.
    fn recovery_bytes_per_second(&self) -> u64 {
        self.link_bytes_per_second / REFILL_SHARE.1 * REFILL_SHARE.0
    }

    /// The time before the first bytes of a refill.
    fn recovery_start(&self) -> Time {
        REFILL_START.min(self.sync_time - self.sync_time / LEAST_COPY_SHARE)
    }

    /// Bytes that can be copied over a link in time.
    pub fn recovery_limit(&self) -> u64 {
        let time = u128::try_from(self.sync_time - self.recovery_start()).unwrap_or(0);
        let bytes = u128::from(self.recovery_bytes_per_second()) * time / SECOND as u128;
        u64::try_from(bytes).unwrap_or(u64::MAX)
    }

    /// Bytes that a refill brings over the busiest link: to the empty disk all its parts, about those that
    /// are here; from a leader its parts, as often as disks may be empty at once.
    fn recovery_bytes(&self, usage: &CapacityUsage, job: u64) -> u64 {
        let taken = usage.state_bytes().saturating_add(usage.future_output_bytes()).saturating_add(job);
        let sent = usage.led_bytes().saturating_add(job).saturating_mul(self.copies);
        taken.max(sent)
    }

    /// How long a refill would take, once all accepted is listed.
    pub fn recovery_time(&self, usage: &CapacityUsage) -> Time {
        let micros = u128::from(self.recovery_bytes(usage, 0)) * SECOND as u128;
        let time = micros / u128::from(self.recovery_bytes_per_second().max(1));
        Time::try_from(time).unwrap_or(Time::MAX).saturating_add(self.recovery_start())
    }

    /// Whether a batch job of so many bytes, for a part that is led here, can be kept beside all that is
    /// accepted.
    ///
    /// # Errors
    /// The first bound that it would pass.
    pub fn admit(&self, usage: &CapacityUsage, job: u64) -> Result<(), RejectionReason> {
        let on_disk = usage
            .after_losses(usage.file_bytes().saturating_add(usage.future_output_bytes()).saturating_add(job));
        // A member that lags takes a leader's snapshot beside its old file, as a rewrite does.
        let on_disk = on_disk.saturating_add(usage.largest_state());
        let shards = usage.shards.len().max(usage.max_shards_after_losses as usize);
        if usage.after_losses(usage.memory_bytes().saturating_add(job)) > self.memory_limit(shards) {
            return Err(RejectionReason::Memory);
        }
        if on_disk > self.disk_limit() {
            return Err(RejectionReason::Disk);
        }
        if self.recovery_bytes(usage, job) > self.recovery_limit() {
            return Err(RejectionReason::Refill);
        }
        Ok(())
    }

    /// Whether a rewrite of one of the logs makes room that may be needed: files take a good part of what
    /// they may, the disk would make the rewrite, and its copy fits beside all files.
    pub fn is_rewrite_due(&self, usage: &CapacityUsage, log: &LogUsage) -> bool {
        let files = usage.file_bytes();
        let limit = self.disk_limit().min(self.memory_limit(usage.shards.len()));
        let is_crowded = files.saturating_add(usage.future_output_bytes()) > limit / CROWDED_SHARE;
        let fits = files.saturating_add(log.rewritten) <= self.disk_limit();
        is_crowded && fits && log.is_rewrite_made(files > self.disk_bytes / 2)
    }
}

/// Parts that the fullest of so many stores has once `lost` of them are lost, where seats go to those that have the fewest.
pub fn max_shards_after_losses(shards: u64, members: u64, stores: u64, lost: u64) -> u64 {
    let left = stores.saturating_sub(lost).max(1);
    (shards * members).div_ceil(left).min(shards)
}

/// How many batch jobs were not taken, by the reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionCounts([u64; RejectionReason::ALL.len()]);

impl RejectionCounts {
    pub fn count(&mut self, refusal: RejectionReason) {
        if let Some(count) = self.0.get_mut(refusal as usize) {
            *count += 1;
        }
    }

    pub fn counts(&self) -> impl Iterator<Item = (RejectionReason, u64)> + '_ {
        RejectionReason::ALL.into_iter().zip(self.0)
    }
}
