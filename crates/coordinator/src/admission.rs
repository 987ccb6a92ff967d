//! Admission control: which new batch jobs are accepted, by the limits of [`crate::capacity`], and what follows a rejection.
//!
//! A rejected client is told when to come back. Meanwhile capacity is freed: batch jobs whose time is over are forgotten, and logs
//! whose rewrite frees enough are rewritten.

use rainlug::{SECOND, Time};
use rainlug_batch::Command;

use crate::capacity::{self, CapacityLimits, CapacityUsage, RejectionCounts, RejectionReason, ShardUsage};
use crate::membership::member_payload;
use crate::quota::Submission;
use crate::shard::Shard;
use crate::sharding::{ShardContent, content_of};
use crate::{Answer, BATCH_SHARDS, CONTROL, Coordinator, Effect, Origin};

/// Uncommitted entries of a shard above which no batch job is accepted: links or disks are too slow for more.
const MAX_UNCOMMITTED_ENTRIES: u64 = 512;
/// Uncommitted bytes over all shards led here above which no batch job is accepted and no item is started. Each is in memory up
/// to twice, in the log and on its way, of some 300 MB; and a link of 60 Mbit/s takes about a second for them.
const MAX_UNCOMMITTED_BYTES: usize = 8 << 20;
/// When a client is to retry a batch job that waits for a stall to end or for a rewrite, in microseconds.
const SHORT_RETRY: Time = SECOND;

/// Between two proposals to forget batch jobs while others are rejected, in microseconds.
const FORGET_INTERVAL: Time = 2 * SECOND;

/// What became of batch jobs for which there was no capacity.
#[derive(Default)]
pub(crate) struct Admission {
    rejections: RejectionCounts,
    /// The other processes know that this one has no room for more.
    is_full_published: bool,
    /// When batch jobs were last forgotten to free capacity, by the steady clock in microseconds.
    forgot_at: Option<Time>,
}

/// The memory that the state takes.
pub(crate) struct StateMemory {
    /// What it takes now, or its files at a restart, whichever is more.
    pub used_bytes: u64,
    /// What it may take at the very most.
    pub max_bytes: u64,
}

fn shard_usage(shard: &Shard) -> ShardUsage {
    ShardUsage { log: shard.log_use(), is_led: shard.replica.is_serving_leader() }
}

impl Coordinator {
    /// The limits of this process, and what it has in use of them.
    fn limits_and_usage(&self) -> (CapacityLimits, CapacityUsage) {
        (CapacityLimits::from_info(&self.info), self.usage())
    }

    /// What this process has in use.
    fn usage(&self) -> CapacityUsage {
        let submission = self.shards.values().flat_map(|shard| shard.submissions.values());
        // Shards of primitives have a part of memory and disk of their own, see `CapacityLimits::from_info`.
        let has_jobs = |shard: &&Shard| content_of(shard.number) != ShardContent::Primitives;
        let kept = self.shards.values().filter(|shard| !shard.replica.is_tombstone()).filter(has_jobs);
        CapacityUsage {
            shards: kept.map(shard_usage).collect(),
            proposed: submission.map(|submission| submission.bytes).sum(),
            max_shards_after_losses: self.max_shards_after_losses(),
        }
    }

    /// How many replicas this store may come to hold if as many others are lost as is tolerated.
    fn max_shards_after_losses(&self) -> u64 {
        let stores = self.topology.stores.iter().filter(|store| !store.is_retiring()).count() as u64;
        let members = self.info.target_members() as u64;
        capacity::max_shards_after_losses(
            u64::from(BATCH_SHARDS),
            members,
            stores,
            self.info.tolerated_failures as u64,
        )
    }

    /// Whether another batch job of so many bytes can be kept in a shard that is led here, and written now.
    ///
    /// # Errors
    /// The first reason against it.
    pub(crate) fn check_capacity(&self, number: u16, bytes: u64) -> Result<(), RejectionReason> {
        let Some(shard) = self.shards.get(&number) else { return Ok(()) };
        if shard.disk.is_stalled(self.now.steady) {
            return Err(RejectionReason::DiskStalled);
        }
        if shard.replica.uncommitted_entries() > MAX_UNCOMMITTED_ENTRIES
            || self.uncommitted_bytes() > MAX_UNCOMMITTED_BYTES
        {
            return Err(RejectionReason::ReplicationBacklog);
        }
        let (limits, usage) = self.limits_and_usage();
        limits.admit(&usage, bytes)?;
        if self.has_full_follower(shard) {
            return Err(RejectionReason::FollowerFull);
        }
        Ok(())
    }

    /// Whether a live member of a shard's replica set has published that it has no room for more. It may hold other shards than the
    /// leader does, or have a smaller disk.
    fn has_full_follower(&self, shard: &Shard) -> bool {
        let members = shard.replica.members().iter();
        let mut live = members.filter_map(|member| self.peers.live.get(&member.address));
        live.any(|peer| peer.is_full)
    }

    /// A store publishes through the membership whether it has room for more batch jobs; their leaders reject them while it has not.
    pub(crate) fn publish_capacity(&mut self) {
        if self.info.role.is_gateway() {
            return;
        }
        let (limits, usage) = self.limits_and_usage();
        let is_full = !limits.has_capacity(&usage);
        if is_full != self.admission.is_full_published {
            self.admission.is_full_published = is_full;
            self.peers.view.attach(&member_payload(&self.info, is_full));
        }
    }

    /// Bytes that are proposed, or about to be, and not committed, over all shards that are led here.
    fn uncommitted_bytes(&self) -> usize {
        let led = self.shards.values().filter(|shard| shard.replica.is_leader());
        let bytes = led.map(|shard| {
            let reserving: usize = shard.submissions.values().map(Submission::bytes_to_propose).sum();
            shard.replica.uncommitted_bytes() + reserving
        });
        bytes.sum()
    }

    /// Whether a shard led here is about to be moved, or uncommitted outputs of it wait too long, or are too many, for more items to
    /// be started.
    pub(crate) fn is_item_start_paused(&self, number: u16) -> bool {
        let is_stalled = |shard: &Shard| shard.disk.is_stalled(self.now.steady);
        self.is_about_to_move(number)
            || self.shards.get(&number).is_some_and(is_stalled)
            || self.uncommitted_bytes() > MAX_UNCOMMITTED_BYTES
    }

    /// Rejects a batch job, and frees capacity where that is possible.
    pub(crate) fn reject_job(&mut self, origin: Origin, reason: RejectionReason) {
        self.admission.rejections.count(reason);
        self.effects.push(Effect::Log("job rejected", reason.name().to_owned()));
        if !reason.is_temporary() {
            self.forget_when_full();
        }
        let is_rewriting = self.rewrite_where_due();
        self.reply(origin, Answer::retry_after(503, self.retry_after(reason, is_rewriting)));
    }

    /// When there may be capacity again, in microseconds: after a stall or a rewrite, or else once batch jobs are forgotten.
    fn retry_after(&self, reason: RejectionReason, is_rewriting: bool) -> Time {
        if reason.is_temporary() || is_rewriting && reason != RejectionReason::RecoveryTime {
            return SHORT_RETRY;
        }
        FORGET_INTERVAL
    }

    /// Proposes to forget the batch jobs whose time is over, in each shard that is led here. The entry also makes a rewrite possible
    /// that the disk has put off: a replica writes no snapshot twice.
    fn forget_when_full(&mut self) {
        let (now, before) = (self.now.steady, self.now.wall - self.info.job_retention);
        if self.admission.forgot_at.is_some_and(|forgot_at| now - forgot_at < FORGET_INTERVAL) {
            return;
        }
        self.admission.forgot_at = Some(now);
        let leads = |(number, shard): (&u16, &Shard)| shard.schedule.is_some().then_some(*number);
        let led: Vec<u16> = self.shards.iter().filter_map(leads).collect();
        for number in led {
            self.propose_unattended(number, vec![Command::Forget { before }]);
        }
    }

    /// Asks for the rewrites of logs that free capacity; whether one was asked for.
    pub(crate) fn rewrite_where_due(&mut self) -> bool {
        let ((limits, usage), now) = (self.limits_and_usage(), self.now.steady);
        let numbers: Vec<u16> = self.shards.keys().copied().filter(|number| *number != CONTROL).collect();
        let mut is_asked = false;
        for number in numbers {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            if limits.is_rewrite_due(&usage, &shard.log_use()) && shard.disk.may_ask_rewrite(now) {
                shard.is_snapshot_wanted = true;
                is_asked = true;
                self.process_output(number);
            }
        }
        is_asked
    }

    /// The memory that the state takes, or the files at a restart.
    pub(crate) fn state_memory(&self) -> StateMemory {
        let (limits, usage) = self.limits_and_usage();
        StateMemory {
            used_bytes: usage.state_bytes().max(usage.file_bytes()),
            max_bytes: limits.max_memory(),
        }
    }

    /// Metrics as (name, value): what is in use of the limits, and the rejected batch jobs.
    pub(crate) fn capacity_metrics(&self) -> Vec<(String, f64)> {
        let (limits, usage) = self.limits_and_usage();
        let seconds = |time: Time| time as f64 / SECOND as f64;
        let of = |name: &str, value: f64| (format!("room_{name}"), value);
        let mut metrics = vec![
            of("memory_bytes", usage.memory_bytes() as f64),
            of("memory_limit_bytes", limits.memory_limit(usage.shards.len()) as f64),
            of("disk_bytes", usage.file_bytes().saturating_add(usage.future_output_bytes()) as f64),
            of("disk_limit_bytes", limits.disk_limit() as f64),
            of("refill_seconds", seconds(limits.recovery_time(&usage))),
            of("refill_limit_seconds", seconds(limits.sync_time)),
        ];
        let refused = |(reason, count): (RejectionReason, u64)| {
            (format!("batch_jobs_refused_{}", reason.name()), count as f64)
        };
        metrics.extend(self.admission.rejections.counts().map(refused));
        metrics
    }
}
