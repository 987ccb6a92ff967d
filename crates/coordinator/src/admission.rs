//! Which new batch jobs are taken: the bounds of [`crate::room`] at this process, and what follows where one
//! would be passed.

use rainlug::{SECOND, Time};
use rainlug_batch::Command;

use crate::capacity::{self, CapacityLimits, CapacityUsage, RejectionCounts, RejectionReason, ShardUsage};
use crate::quota::Submission;
use crate::shard::Shard;
use crate::{Answer, BATCH_SHARDS, CONTROL, Coordinator, Effect, Origin};

/// Entries that wait for their disks, from which on no batch job is taken: links or disks are too slow for
/// more.
const MOST_UNCOMMITTED: u64 = 512;
/// Bytes that wait for their disks, over all parts led here, from on which no batch job is taken and no item is
/// begun. Each is in memory up to twice, in the log and on its way, of some 300 MB; and a link of 60 Mbit/s
/// takes about a second for them.
const MOST_UNCOMMITTED_BYTES: usize = 8 << 20;
/// When to come back with a batch job that waits for a stall to end or for a rewrite.
const SHORT_RETRY: Time = SECOND;

/// Between two orders to forget while batch jobs are refused.
const FORGET_WHEN_FULL: Time = 2 * SECOND;

/// What became of batch jobs that had no room.
#[derive(Default)]
pub(crate) struct Admission {
    refusals: RejectionCounts,
    /// When old batch jobs were last forgotten to make room.
    forgot_at: Option<Time>,
}

fn shard_usage(shard: &Shard) -> ShardUsage {
    ShardUsage { log: shard.log_use(), is_led: shard.replica.is_serving_leader() }
}

impl Coordinator {
    /// The bounds of this process, and what it has in use of them.
    fn limits_and_usage(&self) -> (CapacityLimits, CapacityUsage) {
        (CapacityLimits::of(&self.info), self.usage())
    }

    /// What this process has in use.
    fn usage(&self) -> CapacityUsage {
        let submission = self.shards.values().flat_map(|shard| shard.submissions.values());
        let kept = self.shards.values().filter(|shard| !shard.replica.is_tombstone());
        CapacityUsage {
            shards: kept.map(shard_usage).collect(),
            proposed: submission.map(|submission| submission.bytes).sum(),
            max_shards_after_losses: self.max_shards_after_losses(),
        }
    }

    /// Parts that this store may come to have if as many others are lost as may be.
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

    /// Whether another batch job of so many bytes can be kept in a part that is led here, and written now.
    pub(crate) fn check_capacity(&self, number: u16, bytes: u64) -> Result<(), RejectionReason> {
        let Some(shard) = self.shards.get(&number) else { return Ok(()) };
        if shard.disk.is_stalled(self.now.steady) {
            return Err(RejectionReason::Stall);
        }
        if shard.replica.uncommitted_entries() > MOST_UNCOMMITTED
            || self.uncommitted_bytes() > MOST_UNCOMMITTED_BYTES
        {
            return Err(RejectionReason::Links);
        }
        let (bounds, usage) = self.limits_and_usage();
        bounds.admit(&usage, bytes)
    }

    /// Bytes that are proposed, or about to be, and not committed, over all parts that are led here.
    fn uncommitted_bytes(&self) -> usize {
        let led = self.shards.values().filter(|shard| shard.replica.is_leader());
        let bytes = led.map(|shard| {
            let reserving: usize = shard.submissions.values().map(Submission::bytes_to_propose).sum();
            shard.replica.uncommitted_bytes() + reserving
        });
        bytes.sum()
    }

    /// Whether outputs of a part led here wait too long or are too many already for more items to be run.
    pub(crate) fn is_item_start_paused(&self, number: u16) -> bool {
        let is_stalled = |shard: &Shard| shard.disk.is_stalled(self.now.steady);
        self.shards.get(&number).is_some_and(is_stalled) || self.uncommitted_bytes() > MOST_UNCOMMITTED_BYTES
    }

    /// Answers a batch job that is not taken, and makes room if a rewrite does.
    pub(crate) fn reject_job(&mut self, origin: Origin, refusal: RejectionReason) {
        self.admission.refusals.count(refusal);
        self.effects.push(Effect::Log("job refused", refusal.name().to_owned()));
        if !refusal.is_temporary() {
            self.forget_when_full();
        }
        let is_rewriting = self.rewrite_where_due();
        self.reply(origin, Answer::retry_after(503, self.retry_after(refusal, is_rewriting)));
    }

    /// When there may be room again: after a stall or a rewrite, or else once batch jobs are forgotten.
    fn retry_after(&self, refusal: RejectionReason, is_rewriting: bool) -> Time {
        if refusal.is_temporary() || is_rewriting && refusal != RejectionReason::Refill {
            return SHORT_RETRY;
        }
        FORGET_WHEN_FULL
    }

    /// Proposes to forget what may go by now, in each part that is led here. The entry also makes a rewrite
    /// possible that the disk has put off: a replica writes no snapshot twice.
    fn forget_when_full(&mut self) {
        let (now, before) = (self.now.steady, self.now.wall - self.info.job_retention);
        if self.admission.forgot_at.is_some_and(|forgot_at| now - forgot_at < FORGET_WHEN_FULL) {
            return;
        }
        self.admission.forgot_at = Some(now);
        let leads = |(number, shard): (&u16, &Shard)| shard.schedule.is_some().then_some(*number);
        let led: Vec<u16> = self.shards.iter().filter_map(leads).collect();
        for number in led {
            self.propose_unattended(number, vec![Command::Forget { before }]);
        }
    }

    /// Asks for the rewrites of logs that make room; whether one was asked for.
    pub(crate) fn rewrite_where_due(&mut self) -> bool {
        let ((bounds, usage), now) = (self.limits_and_usage(), self.now.steady);
        let numbers: Vec<u16> = self.shards.keys().copied().filter(|number| *number != CONTROL).collect();
        let mut is_asked = false;
        for number in numbers {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            if bounds.is_rewrite_due(&usage, &shard.log_use()) && shard.disk.may_ask_rewrite(now) {
                shard.is_snapshot_wanted = true;
                is_asked = true;
                self.process_output(number);
            }
        }
        is_asked
    }

    /// Bytes of memory that the state takes, or the files at a restart, and how much they may take at the very most.
    pub(crate) fn state_memory(&self) -> (u64, u64) {
        let (bounds, usage) = self.limits_and_usage();
        (usage.state_bytes().max(usage.file_bytes()), bounds.max_memory())
    }

    /// What is in use of the bounds, and the batch jobs that were not taken.
    pub(crate) fn capacity_metrics(&self) -> Vec<(String, f64)> {
        let (bounds, usage) = self.limits_and_usage();
        let seconds = |time: Time| time as f64 / SECOND as f64;
        let of = |name: &str, value: f64| (format!("room_{name}"), value);
        let mut metrics = vec![
            of("memory_bytes", usage.memory_bytes() as f64),
            of("memory_limit_bytes", bounds.memory_limit(usage.shards.len()) as f64),
            of("disk_bytes", usage.file_bytes().saturating_add(usage.future_output_bytes()) as f64),
            of("disk_limit_bytes", bounds.disk_limit() as f64),
            of("refill_seconds", seconds(bounds.recovery_time(&usage))),
            of("refill_limit_seconds", seconds(bounds.sync_time)),
        ];
        let refused = |(refusal, count): (RejectionReason, u64)| {
            (format!("batch_jobs_refused_{}", refusal.name()), count as f64)
        };
        metrics.extend(self.admission.refusals.counts().map(refused));
        metrics
    }
}
