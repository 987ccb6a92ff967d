//! A shard that this process has a replica of: the replica, its state machine, and what its leader keeps beside them.

use std::collections::BTreeMap;

use bytes::Bytes;
use rainlug::Time;
use rainlug_batch::{JobTable, QuotaLedger, Schedule};
use rainlug_consensus::{Member, Replica, RestoreStep, Settings};
use rainlug_primitives::Primitives;

use crate::capacity::{LogUsage, ShardDisk};
use crate::control::Control;
use crate::primitive_answers::PrimitiveAnswers;
use crate::quota::{Submission, UsageReports};
pub(crate) use crate::state_machine::StateMachine;
use crate::state_machine::{RestoreError, Restoring};
use crate::waiting::WaitingRequests;
use crate::watch_list::WatchList;

/// A shard's replica and all that belongs to it at this process.
pub(crate) struct Shard {
    pub number: u16,
    pub replica: Replica,
    pub state_machine: StateMachine,
    /// The state that a snapshot is being restored to; it replaces the one in force when it is complete.
    pub restoring: Option<Restoring>,
    /// Tokens that wait on the routes that this shard counts.
    pub quota_ledger: QuotaLedger,
    /// This shard's part of the disk.
    pub disk: ShardDisk,
    /// The state machine is to be snapshotted once the replica has nothing else to do.
    pub is_snapshot_wanted: bool,
    /// Since when (steady clock) this disk is known not to be a member any more.
    pub lost_membership_since: Option<Time>,
    /// When a tie of its replica set was last reported (steady clock).
    pub tie_reported_at: Time,

    /// This process leads the shard and may serve.
    pub is_leader: bool,
    /// When it last came to lead the shard (steady clock).
    pub led_since: Time,
    /// As the leader: who waits for what.
    pub waiting: WaitingRequests,
    /// As the leader: watches that wait for a put.
    pub watches: WatchList,
    /// As the leader of primitives: what it has answered.
    pub primitive_answers: PrimitiveAnswers,
    /// As the leader: batch jobs that are reserving their tokens or are proposed, by id.
    pub submissions: BTreeMap<String, Submission>,
    /// As the leader of batch jobs: which items run and which are ready.
    pub schedule: Option<Schedule>,
    /// As the leader of batch jobs: what is reported to the quota ledgers of the jobs' routes.
    pub reports: Option<UsageReports>,
    /// No item is started before (steady clock); 0 where the next one may start at once.
    pub next_item_at: Time,
    /// When overdue items were last looked for (steady clock).
    pub last_sweep: Time,
}

impl Shard {
    /// A shard with the records that the disk holds of it. Its replica does not campaign before an election timeout after `now`.
    ///
    /// # Errors
    /// Where the records are not a replica's.
    pub fn open(
        number: u16,
        me: Member,
        founding: Vec<Member>,
        settings: Settings,
        records: &[Bytes],
        seed: u64,
        now: Time,
    ) -> Result<Self, rainlug_consensus::DecodeError> {
        let replica = Replica::recover(me, founding, settings, records, seed, now)?;
        Ok(Shard {
            number,
            replica,
            state_machine: StateMachine::empty(number),
            restoring: None,
            quota_ledger: QuotaLedger::default(),
            disk: ShardDisk::with_records(records),
            is_snapshot_wanted: false,
            lost_membership_since: None,
            tie_reported_at: 0,
            is_leader: false,
            led_since: 0,
            waiting: WaitingRequests::default(),
            watches: WatchList::default(),
            primitive_answers: PrimitiveAnswers::default(),
            submissions: BTreeMap::new(),
            schedule: None,
            reports: None,
            next_item_at: 0,
            last_sweep: now,
        })
    }

    /// A step of replacing the state machine's state by a snapshot's; `now` is the steady clock.
    ///
    /// # Errors
    /// Where the steps are out of order or the snapshot cannot be read.
    pub fn restore(&mut self, now: Time, step: RestoreStep) -> Result<(), RestoreError> {
        match step {
            RestoreStep::Begin => self.restoring = Some(self.state_machine.restore_begin()),
            RestoreStep::Abandon => self.restoring = None,
            RestoreStep::Chunk(chunk) => {
                self.restoring.as_mut().ok_or(RestoreError::NotBegun)?.take(&chunk)?;
            }
            RestoreStep::Finish(_) => {
                let restoring = self.restoring.take().ok_or(RestoreError::NotBegun)?;
                let (machine, quota_ledger) = restoring.finish(now)?;
                self.state_machine = machine;
                self.quota_ledger = quota_ledger;
            }
        }
        Ok(())
    }

    /// When the replica, a waiting read, the next item or a usage report is due (steady clock).
    pub fn next_timeout(&self) -> Time {
        let report = self.reports.as_ref().map_or(Time::MAX, |reports| reports.next_timeout());
        self.replica.next_timeout().min(self.next_job_timeout()).min(report)
    }

    /// When a waiting read has to be answered or the next item may start.
    fn next_job_timeout(&self) -> Time {
        let polls = self.waiting.next_poll_timeout().min(self.watches.next_timeout());
        let waits = self.schedule.as_ref().is_some_and(|s| s.ready_count() > 0);
        if waits && self.next_item_at > 0 { polls.min(self.next_item_at) } else { polls }
    }

    /// The state of the configuration's shard.
    pub fn control(&self) -> Option<&Control> {
        match &self.state_machine {
            StateMachine::Control(control) => Some(control),
            StateMachine::BatchJobs(_) | StateMachine::Primitives(_) => None,
        }
    }

    /// The state of a shard of batch jobs.
    pub fn job_table(&self) -> Option<&JobTable> {
        match &self.state_machine {
            StateMachine::BatchJobs(job_table) => Some(job_table),
            StateMachine::Control(_) | StateMachine::Primitives(_) => None,
        }
    }

    /// The state of a shard of primitives.
    pub fn primitives(&self) -> Option<&Primitives> {
        match &self.state_machine {
            StateMachine::Primitives(primitives) => Some(primitives),
            StateMachine::Control(_) | StateMachine::BatchJobs(_) => None,
        }
    }

    /// What its log takes on the disk, and would take after a rewrite.
    pub fn log_use(&self) -> LogUsage {
        let length = self.disk.length;
        match &self.state_machine {
            StateMachine::BatchJobs(job_table) => {
                LogUsage { length, rewritten: job_table.memory_bytes() as u64, totals: job_table.totals() }
            }
            StateMachine::Control(control) => {
                LogUsage { length, rewritten: control.size() as u64, ..LogUsage::default() }
            }
            StateMachine::Primitives(primitives) => {
                LogUsage { length, rewritten: primitives.memory_bytes() as u64, ..LogUsage::default() }
            }
        }
    }

    /// Metrics as (name, value); none of a tombstone.
    pub fn metrics(&self) -> Vec<(String, f64)> {
        if self.replica.is_tombstone() {
            return Vec::new();
        }
        let name = |what: &str| format!("part_{}_{what}", self.number);
        let mut metrics = vec![
            (name("leads"), f64::from(u8::from(self.is_leader))),
            (name("term"), self.replica.term() as f64),
            (name("members"), self.replica.members().len() as f64),
        ];
        if let Some(job_table) = self.job_table() {
            metrics.push((name("bytes"), job_table.memory_bytes() as f64));
            metrics.push((name("file_bytes"), self.disk.length as f64));
            metrics.push((name("tokens_counted"), self.quota_ledger.total_tokens() as f64));
        }
        if let Some(primitives) = self.primitives() {
            metrics.push((name("bytes"), primitives.memory_bytes() as f64));
            metrics.push((name("file_bytes"), self.disk.length as f64));
            metrics.push((name("locks_held"), primitives.locks().len() as f64));
            metrics.push((name("keys"), primitives.key_count() as f64));
            metrics.push((name("watchers"), self.watches.len() as f64));
            metrics.extend(self.primitive_answers.counts().map(|(what, count)| (name(what), count as f64)));
        }
        if let Some(reports) = &self.reports {
            metrics.push((name("tokens_waiting"), reports.tokens() as f64));
        }
        if let Some(schedule) = &self.schedule {
            metrics.push((name("items_running"), schedule.running_count() as f64));
            metrics.push((name("items_waiting"), schedule.ready_count() as f64));
        }
        metrics
    }
}
