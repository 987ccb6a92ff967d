//! Capacity: whether one more batch job can be kept in this process's memory and on its disk, and so that a machine with an empty
//! disk still recovers in time.
//!
//! A job that was accepted must never be held up by one accepted later. So what counts is not what the shards hold now but what
//! they will hold once each accepted item has finished. No rewrite of a log is ever needed for that: what one would free counts
//! once it is made. The reasons for the constants: `docs/control-bounds.md`.

use std::collections::VecDeque;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{Item, ItemTotals};
use rainlug_wal::compaction;

use crate::{LOGS_PER_DISK, NodeInfo};

/// A disk that takes longer than this to write something is stalled, in microseconds.
pub const DISK_STALL_TIMEOUT: Time = SECOND;
/// Bytes of a record besides its content: headers of file and entry, ids and counts of a command.
const RECORD_OVERHEAD_BYTES: u64 = 160;
/// The assumed length of an output, in bytes, until enough of them were seen.
const ASSUMED_OUTPUT_BYTES: u64 = 4096;
/// Outputs that must have been seen before the mean of their lengths counts.
const MIN_OUTPUTS_FOR_MEAN: u64 = 32;
/// Rewrites that pay are asked for once logs take more than the limit divided by this.
const REWRITE_LIMIT_DIVISOR: u64 = 2;
/// Between two rewrites of a shard's log that are asked for to free capacity, in microseconds: each writes the whole state.
const MIN_REWRITE_INTERVAL: Time = 5 * SECOND;

/// Bytes of memory that a batch job takes besides its items: its id, route and host.
const JOB_MEMORY_BYTES: u64 = 512;
/// Bytes of memory that an item takes besides its texts: offsets and vectors in the register.
const ITEM_MEMORY_BYTES: u64 = 256;
/// Bytes of memory that a header takes besides its text.
const HEADER_MEMORY_BYTES: u64 = 128;
/// Bytes of memory of a process that keeps nothing: program, membership, gossip, connections with their buffers, frames in flight
/// (eight of 128 KiB at most for each follower and connection).
const BASE_MEMORY_BYTES: u64 = 40_000_000;
/// The memory that is left, divided by this, is for what the allocator does not give back.
const ALLOCATOR_DIVISOR: u64 = 5;
/// Where the memory is smaller than what a process needs anyhow, the state gets the memory divided by this.
const MIN_STATE_MEMORY_DIVISOR: u64 = 32;

/// From the start of a process with an empty disk to the first bytes of its state, in microseconds: its announcement to the
/// configuration's shard (each second), the fence and the change of the replica set (a commit in each of two shards).
const RECOVERY_START: Time = 3 * SECOND / 2;
/// Where the time for a recovery is so short that this leaves little of it, the copy is assumed to get the time divided by this.
const MIN_COPY_TIME_DIVISOR: Time = 4;
/// Bytes of memory and of the disk that are kept for all shards of primitives, for their states, logs and rewrites; one in so many
/// where there are few.
const PRIMITIVES_BYTES: u64 = 16_000_000;
const PRIMITIVES_DIVISOR: u64 = 8;

/// Of a link, three quarters are for copies; the rest for new entries, runs of items, heartbeats and headers.
const RECOVERY_LINK_QUARTERS: u64 = 3;

/// How many bytes of entries a leader keeps in memory for members that lag: a snapshot instead takes the space of a second copy
/// there.
pub fn lag_bytes(disk_bytes: usize) -> usize {
    (disk_bytes / LOGS_PER_DISK).clamp(4 << 20, 16 << 20)
}

/// A shard's log on this process's disk, as far as admission control needs it.
#[derive(Debug, Default)]
pub struct ShardDisk {
    /// Bytes of the file.
    pub length: u64,
    /// Writes that are not finished, in their order.
    pending: VecDeque<PendingWrite>,
    /// When a rewrite was last asked for to free capacity.
    rewrite_asked_at: Option<Time>,
}

/// Records that are handed to the disk.
#[derive(Debug)]
struct PendingWrite {
    ticket: u64,
    /// By the steady clock, in microseconds.
    started_at: Time,
}

impl ShardDisk {
    /// A log that holds these records.
    pub fn with_records(records: &[Bytes]) -> Self {
        let length = records.iter().map(|record| record.len() as u64).sum();
        ShardDisk { length, ..ShardDisk::default() }
    }

    /// Records up to a ticket are handed to the disk.
    pub fn write_started(&mut self, now: Time, ticket: u64) {
        self.pending.push_back(PendingWrite { ticket, started_at: now });
    }

    /// Records up to a ticket are persisted, in a file of this length in bytes.
    pub fn write_finished(&mut self, ticket: u64, length: u64) {
        self.length = length;
        while self.pending.front().is_some_and(|write| write.ticket <= ticket) {
            self.pending.pop_front();
        }
    }

    /// Whether something has waited for the disk too long.
    pub fn is_stalled(&self, now: Time) -> bool {
        self.pending.front().is_some_and(|write| now - write.started_at > DISK_STALL_TIMEOUT)
    }

    /// Whether a rewrite may be asked for to free capacity: not soon after another one, and not while the disk is
    /// behind. It then counts as asked for.
    pub fn may_ask_rewrite(&mut self, now: Time) -> bool {
        let is_soon = self.rewrite_asked_at.is_some_and(|asked| now - asked < MIN_REWRITE_INTERVAL);
        if is_soon || self.is_stalled(now) {
            return false;
        }
        self.rewrite_asked_at = Some(now);
        true
    }
}

/// What a shard's log holds, and what the accepted items will add to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogUsage {
    /// Bytes of the file.
    pub length: u64,
    /// Bytes that the state takes in memory, about; it takes no more on a disk after a rewrite, nor on the way to an empty one.
    pub rewritten: u64,
    /// Counts of the items that the state holds, and bytes of their outputs.
    pub totals: ItemTotals,
}

impl LogUsage {
    /// Bytes that an item's output takes in the log, by the mean of those that came.
    pub fn mean_output_bytes(&self) -> u64 {
        let ItemTotals { finished, output_bytes, .. } = self.totals;
        let text =
            if finished < MIN_OUTPUTS_FOR_MEAN { ASSUMED_OUTPUT_BYTES } else { output_bytes / finished };
        text + RECORD_OVERHEAD_BYTES
    }

    /// Bytes that outputs of accepted items will add.
    fn outputs_to_come(&self) -> u64 {
        self.totals.open.saturating_mul(self.mean_output_bytes())
    }

    /// Whether a rewrite would free enough to be worth its writes.
    pub fn is_rewrite_worthwhile(&self) -> bool {
        compaction::is_worthwhile(self.length, self.rewritten)
    }

    /// Whether the disk makes a rewrite that it is asked for and that frees something, as far as that rests on lengths.
    fn is_rewrite_made(&self, is_disk_half_full: bool) -> bool {
        let frees = self.length > self.rewritten;
        frees && compaction::should_compact(self.length, self.rewritten, is_disk_half_full)
    }
}

/// Bytes that a batch job will take at most, in the log as well as in memory: its request, and an output for each item.
pub fn job_bytes(request: usize, items: &[Item], mean_output_bytes: u64) -> u64 {
    let headers: u64 = items.iter().map(|item| item.headers.len() as u64 * HEADER_MEMORY_BYTES).sum();
    // An item's id is kept twice, to find its place by it.
    let ids: u64 = items.iter().map(|item| item.id.len() as u64).sum();
    let outputs = (items.len() as u64).saturating_mul(mean_output_bytes.saturating_add(ITEM_MEMORY_BYTES));
    JOB_MEMORY_BYTES + request as u64 + headers + ids + outputs
}

/// Why a new batch job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The disk is stalled.
    DiskStalled,
    /// Too much waits for the disks of other members: links or disks are too slow for more.
    ReplicationBacklog,
    /// The state would not fit in memory, now or after a restart.
    Memory,
    /// The logs would not fit on the disk.
    Disk,
    /// A machine with an empty disk would not recover in time.
    RecoveryTime,
    /// Another member of the replica set has no memory or disk left for more.
    FollowerFull,
}

impl RejectionReason {
    /// All reasons, in the order of the metrics.
    pub const ALL: [RejectionReason; 6] = [
        RejectionReason::DiskStalled,
        RejectionReason::ReplicationBacklog,
        RejectionReason::Memory,
        RejectionReason::Disk,
        RejectionReason::RecoveryTime,
        RejectionReason::FollowerFull,
    ];

    /// Whether it passes without batch jobs being forgotten or logs rewritten.
    pub fn is_temporary(self) -> bool {
        matches!(self, RejectionReason::DiskStalled | RejectionReason::ReplicationBacklog)
    }

    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::DiskStalled => "stall",
            RejectionReason::ReplicationBacklog => "links",
            RejectionReason::Memory => "memory",
            RejectionReason::Disk => "disk",
            RejectionReason::RecoveryTime => "refill",
            RejectionReason::FollowerFull => "follower",
        }
    }
}

/// What one shard has in use on this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardUsage {
    /// Its log.
    pub log: LogUsage,
    /// Its leader is here: members with an empty disk are filled from here.
    pub is_led: bool,
}

/// What is in use of a process's capacity.
#[derive(Clone, Debug, Default)]
pub struct CapacityUsage {
    /// The shards that the process holds a replica of.
    pub shards: Vec<ShardUsage>,
    /// Bytes of batch jobs that are proposed and not committed, with their future outputs.
    pub proposed: u64,
    /// Replicas that this process may come to hold once stores are lost and theirs move; no fewer than it has.
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

    /// Bytes of the state of all shards here.
    pub fn state_bytes(&self) -> u64 {
        self.sum(|log| log.rewritten)
    }

    /// Bytes of the shards that are here, scaled to all that this process may come to hold, each as large as these on average.
    fn after_losses(&self, bytes: u64) -> u64 {
        let here = (self.shards.len() as u64).max(1);
        let scaled =
            u128::from(bytes) * u128::from(self.max_shards_after_losses.max(here)) / u128::from(here);
        u64::try_from(scaled).unwrap_or(u64::MAX)
    }

    /// Bytes of the state of the largest shard.
    fn largest_state(&self) -> u64 {
        self.shards.iter().map(|shard| shard.log.rewritten).max().unwrap_or(0)
    }

    /// Bytes that outputs of what is accepted or proposed will add.
    pub fn future_output_bytes(&self) -> u64 {
        self.sum(LogUsage::outputs_to_come).saturating_add(self.proposed)
    }

    /// Bytes of memory that are taken once all accepted items have finished: by the state as it is kept, or by the files that a
    /// restart reads, whichever is more.
    pub fn memory_bytes(&self) -> u64 {
        self.state_bytes().max(self.file_bytes()).saturating_add(self.future_output_bytes())
    }

    /// Bytes of the state of shards led here, once all accepted items have finished. Only leaders propose.
    fn led_bytes(&self) -> u64 {
        let led = self.shards.iter().filter(|shard| shard.is_led);
        let bytes = led.map(|shard| shard.log.rewritten.saturating_add(shard.log.outputs_to_come()));
        bytes.fold(self.proposed, u64::saturating_add)
    }
}

/// The limits of a process that admission control keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Bytes of memory of the whole process.
    pub memory_bytes: u64,
    /// Bytes of the disk.
    pub disk_bytes: u64,
    /// Bytes a second that the machine's link carries each way.
    pub link_bytes_per_second: u64,
    /// How soon a machine with an empty disk has to have all of its replicas again, in microseconds.
    pub sync_time: Time,
    /// Members of a replica set that may be empty at once, and are filled by one leader.
    pub copies: u64,
}

impl CapacityLimits {
    /// The limits by a process's settings.
    pub fn from_info(info: &NodeInfo) -> Self {
        let for_jobs = |bytes: usize| {
            let bytes = bytes as u64;
            let reserved = PRIMITIVES_BYTES.min(bytes / PRIMITIVES_DIVISOR);
            if info.serves_primitives { bytes - reserved } else { bytes }
        };
        CapacityLimits {
            memory_bytes: for_jobs(info.memory_bytes),
            disk_bytes: for_jobs(info.disk_bytes),
            link_bytes_per_second: info.link_bytes_per_second,
            sync_time: info.sync_time,
            copies: info.tolerated_failures.max(1) as u64,
        }
    }

    /// Bytes of memory that the state of so many shards may take.
    pub fn memory_limit(&self, shards: usize) -> u64 {
        let lag_buffers = (shards as u64).saturating_mul(lag_bytes(self.disk_bytes as usize) as u64);
        let free = self.memory_bytes.saturating_sub(BASE_MEMORY_BYTES).saturating_sub(lag_buffers);
        (free - free / ALLOCATOR_DIVISOR).max(self.memory_bytes / MIN_STATE_MEMORY_DIVISOR)
    }

    /// Bytes of memory that the state may take at the very most: what is left beside a process that keeps nothing.
    pub fn max_memory(&self) -> u64 {
        self.memory_bytes.saturating_sub(BASE_MEMORY_BYTES).max(self.memory_bytes / MIN_STATE_MEMORY_DIVISOR)
    }

    /// Bytes of the disk that logs may take.
    pub fn disk_limit(&self) -> u64 {
        self.disk_bytes - compaction::reserved_for_appends(self.disk_bytes)
    }

    /// Bytes a second of the link that copies of the state get.
    fn recovery_bytes_per_second(&self) -> u64 {
        self.link_bytes_per_second / 4 * RECOVERY_LINK_QUARTERS
    }

    /// The time before the first bytes of a recovery, in microseconds.
    fn recovery_start(&self) -> Time {
        RECOVERY_START.min(self.sync_time - self.sync_time / MIN_COPY_TIME_DIVISOR)
    }

    /// Bytes that can be copied over the link within the time for a recovery.
    pub fn recovery_limit(&self) -> u64 {
        let time = u128::try_from(self.sync_time - self.recovery_start()).unwrap_or(0);
        let bytes = u128::from(self.recovery_bytes_per_second()) * time / SECOND as u128;
        u64::try_from(bytes).unwrap_or(u64::MAX)
    }

    /// Bytes that a recovery brings over the busiest link: to the empty disk all its shards, about those that are here; from a
    /// leader its shards, as often as disks may be empty at once.
    fn recovery_bytes(&self, usage: &CapacityUsage, job: u64) -> u64 {
        let taken = usage.state_bytes().saturating_add(usage.future_output_bytes()).saturating_add(job);
        let sent = usage.led_bytes().saturating_add(job).saturating_mul(self.copies);
        taken.max(sent)
    }

    /// How long a recovery would take once all accepted items have finished, in microseconds.
    pub fn recovery_time(&self, usage: &CapacityUsage) -> Time {
        let micros = u128::from(self.recovery_bytes(usage, 0)) * SECOND as u128;
        let time = micros / u128::from(self.recovery_bytes_per_second().max(1));
        Time::try_from(time).unwrap_or(Time::MAX).saturating_add(self.recovery_start())
    }

    /// Whether a batch job of so many bytes, for a shard that is led here, can be kept besides all that is accepted.
    ///
    /// # Errors
    /// The first limit that it would exceed.
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
            return Err(RejectionReason::RecoveryTime);
        }
        Ok(())
    }

    /// Whether this process has memory and disk for more than what is accepted, as a member of its shards' replica sets. Files count
    /// with what a rewrite leaves of them: a member rewrites its own in its own time.
    pub fn has_capacity(&self, usage: &CapacityUsage) -> bool {
        let rewritten = |shard: &ShardUsage| ShardUsage {
            log: LogUsage { length: shard.log.rewritten, ..shard.log },
            ..*shard
        };
        let usage = CapacityUsage { shards: usage.shards.iter().map(rewritten).collect(), ..*usage };
        !matches!(self.admit(&usage, 0), Err(RejectionReason::Memory | RejectionReason::Disk))
    }

    /// Whether a rewrite of one of the logs frees capacity that may be needed: files take a good part of the limit, the disk would
    /// make the rewrite, and its copy fits besides all files.
    pub fn is_rewrite_due(&self, usage: &CapacityUsage, log: &LogUsage) -> bool {
        let files = usage.file_bytes();
        let limit = self.disk_limit().min(self.memory_limit(usage.shards.len()));
        let is_crowded = files.saturating_add(usage.future_output_bytes()) > limit / REWRITE_LIMIT_DIVISOR;
        let fits = files.saturating_add(log.rewritten) <= self.disk_limit();
        is_crowded && fits && log.is_rewrite_made(files > self.disk_bytes / 2)
    }
}

/// How many replicas the fullest of so many stores holds once `lost` of them are lost, where each replica moves to the store with
/// the fewest.
pub fn max_shards_after_losses(shards: u64, members: u64, stores: u64, lost: u64) -> u64 {
    let left = stores.saturating_sub(lost).max(1);
    (shards * members).div_ceil(left).min(shards)
}

/// How many batch jobs were rejected, by the reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionCounts([u64; RejectionReason::ALL.len()]);

impl RejectionCounts {
    /// Counts one more.
    pub fn count(&mut self, reason: RejectionReason) {
        if let Some(count) = self.0.get_mut(reason as usize) {
            *count += 1;
        }
    }

    /// Each reason with its count since the process began.
    pub fn counts(&self) -> impl Iterator<Item = (RejectionReason, u64)> + '_ {
        RejectionReason::ALL.into_iter().zip(self.0)
    }
}
