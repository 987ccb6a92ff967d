//! A part that this process has a replica of: the replica, its state machine, and who waits for what.

use std::collections::BTreeMap;

use bytes::Bytes;
use rainlug::Time;
use rainlug_batch::{JobTable, QuotaLedger, Schedule};
use rainlug_consensus::{Index, Member, Ready, Replica, RestoreStep, Rewrite, Settings};
use rainlug_registry::gossip;

use crate::capacity::{LogUsage, ShardDisk};
use crate::control::{Control, Outcome};
use crate::dissemination::{AwaitedUpdate, PendingAcknowledgement};
use crate::frame::{Head, join};
use crate::invariants::Invariant;
use crate::quota::{Submission, UsageReports};
pub(crate) use crate::state_machine::StateMachine;
use crate::state_machine::{RestoreError, Restoring};
use crate::{Answer, CONTROL, Coordinator, Effect, MAX_SPREAD_WAIT, Origin};

/// Versions of the roster that one term has, as a power of two: those of later leaders are newer.
const ROSTERS_OF_A_TERM: u32 = 24;
/// How often a replica is asked what it wants in one go.
const MOST_TAKES: usize = 64;

/// A read that waits for its round, or for something to read.
pub(crate) enum ReadQuery {
    Configuration,
    /// Nothing to read: the order is judged once this leader is confirmed.
    Retire(String),
    RetirementStatus(String),
    BatchJob {
        job: String,
        since: u64,
        until: Time,
    },
    Body {
        job: String,
        item: String,
    },
}

pub(crate) struct Shard {
    pub number: u16,
    pub replica: Replica,
    pub state_machine: StateMachine,
    /// A state that is built beside the one in force.
    pub restoring: Option<Restoring>,
    /// Tokens of the routes that this part counts.
    pub quota_ledger: QuotaLedger,
    /// What its leader reports to ledgers; none while it does not lead.
    pub reports: Option<UsageReports>,
    /// Proposals by index, with the command: another one committed there is not theirs.
    pub waiting: BTreeMap<Index, (Bytes, Origin)>,
    pub reads: BTreeMap<u64, (Origin, ReadQuery)>,
    pub polls: Vec<(Origin, String, u64, Time)>,
    pub tickets: u64,
    pub is_leader: bool,
    /// Its leader's plan of items; none while it does not lead.
    pub schedule: Option<Schedule>,
    /// No item is begun before.
    pub next_item_at: Time,
    pub last_sweep: Time,
    /// Since when it may be given up: nobody leads it, and its group is told to be without this disk.
    pub lost_membership_since: Option<Time>,
    pub disk: ShardDisk,
    /// A snapshot of the machine is asked for.
    pub is_snapshot_wanted: bool,
    /// Batch jobs that are judged or proposed and not agreed on.
    pub submissions: BTreeMap<String, Submission>,
}

impl Shard {
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
            reports: None,
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            polls: Vec::new(),
            tickets: 0,
            is_leader: false,
            schedule: None,
            next_item_at: 0,
            last_sweep: now,
            lost_membership_since: None,
            disk: ShardDisk::with_records(records),
            is_snapshot_wanted: false,
            submissions: BTreeMap::new(),
        })
    }

    /// A step of replacing the state machine's whole state.
    fn restore(&mut self, step: RestoreStep) -> Result<(), RestoreError> {
        match step {
            RestoreStep::Begin => self.restoring = Some(self.state_machine.restore_begin()),
            RestoreStep::Abandon => self.restoring = None,
            RestoreStep::Chunk(chunk) => {
                self.restoring.as_mut().ok_or(RestoreError::NotBegun)?.take(&chunk)?;
            }
            RestoreStep::Finish(_) => {
                let restoring = self.restoring.take().ok_or(RestoreError::NotBegun)?;
                let (machine, quota_ledger) = restoring.finish()?;
                self.state_machine = machine;
                self.quota_ledger = quota_ledger;
            }
        }
        Ok(())
    }

    /// When the replica, a waiting read, the next item or a usage report is due (steady clock).
    pub fn next_timeout(&self) -> Time {
        let report = self.reports.as_ref().map_or(Time::MAX, |reports| reports.next());
        self.replica.next_timeout().min(self.next_poll()).min(report)
    }

    pub fn next_poll(&self) -> Time {
        let polls = self.polls.iter().map(|p| p.3).min().unwrap_or(Time::MAX);
        let waits = self.schedule.as_ref().is_some_and(|s| s.ready_count() > 0);
        if waits && self.next_item_at > 0 { polls.min(self.next_item_at) } else { polls }
    }

    pub fn control(&self) -> Option<&Control> {
        match &self.state_machine {
            StateMachine::Control(control) => Some(control),
            StateMachine::BatchJobs(_) => None,
        }
    }

    pub fn register(&self) -> Option<&JobTable> {
        match &self.state_machine {
            StateMachine::BatchJobs(register) => Some(register),
            StateMachine::Control(_) => None,
        }
    }

    /// Its log's part of the disk.
    pub fn log_use(&self) -> LogUsage {
        let length = self.disk.length;
        match &self.state_machine {
            StateMachine::BatchJobs(register) => {
                LogUsage { length, rewritten: register.memory_bytes() as u64, totals: register.totals() }
            }
            StateMachine::Control(control) => {
                LogUsage { length, rewritten: control.size() as u64, ..LogUsage::default() }
            }
        }
    }

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
        if let Some(register) = self.register() {
            metrics.push((name("bytes"), register.memory_bytes() as f64));
            metrics.push((name("file_bytes"), self.disk.length as f64));
            metrics.push((name("tokens_counted"), self.quota_ledger.total_tokens() as f64));
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

impl Coordinator {
    /// Carries out what a part's replica wants: until it wants nothing more, or the state machine has had a bounded part of what
    /// it is to do. The replica's next time is now then, so that messages and signs of life of others come between.
    pub(crate) fn process_output(&mut self, number: u16) {
        for _ in 0..MOST_TAKES {
            let Some(shard) = self.shards.get_mut(&number) else { return };
            let output = shard.replica.take_ready();
            let quiet = output.messages.is_empty()
                && output.records.is_empty()
                && output.rewrite.is_none()
                && output.restore.is_empty()
                && output.committed.is_empty()
                && output.reads.is_empty()
                && !output.has_status_changed
                && !output.needs_compaction;
            if quiet && !std::mem::take(&mut shard.is_snapshot_wanted) {
                break;
            }
            if quiet {
                // Nothing is on its way to the disk but what it was handed: the rewrite may be put off and nothing is missing.
                let state = shard.state_machine.snapshot_source(&shard.quota_ledger);
                let size = state.size();
                shard.replica.compact(self.now.steady, state);
                self.effects.push(Effect::Log("snapshot", format!("part {number}: {size} bytes")));
                continue;
            }
            self.apply_output(number, output);
            if self.shards.get(&number).is_none_or(|shard| shard.replica.has_unapplied_entries()) {
                break;
            }
        }
        self.update_leadership(number);
    }

    fn apply_output(&mut self, number: u16, output: Ready) {
        self.check_step(&output);
        for (to, bytes) in output.messages {
            self.effects.push(Effect::Frame {
                to: to.address,
                head: join(&Head::Consensus { shard: number }, &[]),
                tail: bytes,
            });
        }
        if let Some(Rewrite { ticket, records, is_implied }) = output.rewrite {
            let implied = if is_implied { records.count() } else { 0 };
            self.record_write(number, ticket);
            self.effects.push(Effect::Rewrite { shard: number, ticket, records, implied });
        }
        if let Some((ticket, _)) = output.records.last() {
            let ticket = *ticket;
            self.record_write(number, ticket);
            let records = output.records.into_iter().map(|(_, record)| record).collect();
            self.effects.push(Effect::Append { shard: number, ticket, records });
        }
        for step in output.restore {
            self.restore(number, step);
        }
        let agreed = !output.committed.is_empty();
        for (index, command) in output.committed {
            self.apply_command(number, index, &command);
        }
        if agreed && number == CONTROL {
            // Not after each command: a new leader applies its whole log at once, and what is old is in force nowhere again.
            self.publish_control_state();
        }
        for (ticket, result) in output.reads {
            let Some(shard) = self.shards.get_mut(&number) else { return };
            let Some((origin, query)) = shard.reads.remove(&ticket) else { continue };
            match result {
                Ok(()) => self.answer_read(number, origin, query),
                Err(_) => self.redirect(number, origin),
            }
        }
        if output.needs_compaction
            && let Some(shard) = self.shards.get_mut(&number)
        {
            if output.needs_snapshot || shard.log_use().is_rewrite_worthwhile() {
                shard.is_snapshot_wanted = true;
            } else {
                shard.replica.postpone_compaction();
            }
        }
        if output.has_status_changed && number == CONTROL {
            self.publish_control_state();
        }
    }

    fn record_write(&mut self, number: u16, ticket: u64) {
        let now = self.now.steady;
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.disk.write_started(now, ticket);
        }
    }

    fn restore(&mut self, number: u16, step: RestoreStep) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if let RestoreStep::Finish(index) = step {
            self.effects.push(Effect::Log("restore", format!("part {number}: as of entry {index}")));
        }
        if let Err(error) = shard.restore(step) {
            self.violated(Invariant::StateRestored, &format_args!("part {number}: {error}"));
            self.discard_disk(number);
        }
    }

    fn apply_command(&mut self, number: u16, index: Index, command: &Bytes) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let mine = shard.waiting.remove(&index).map(|(own, origin)| (own == command, origin));
        match &mut shard.state_machine {
            StateMachine::Control(control) => {
                let outcome = control.apply(command);
                let version = control.version;
                let Some((own, origin)) = mine else { return };
                let answer = match outcome {
                    _ if !own => return self.redirect_proposed(number, origin),
                    Ok(Outcome::Done) => Answer::with_status(200),
                    Ok(Outcome::Conflict) => Answer::json(412, format!("{{\"version\":{version}}}")),
                    Ok(Outcome::Stale) => {
                        Answer::json(400, "{\"error\":\"/version: above the one in force\"}")
                    }
                    Ok(Outcome::Unknown) => Answer::with_status(404),
                    Err(_) => Answer::with_status(500),
                };
                let (until, update) = (now + MAX_SPREAD_WAIT, AwaitedUpdate::Configuration(version));
                self.pending_acknowledgements.push(PendingAcknowledgement { origin, answer, until, update });
            }
            StateMachine::BatchJobs(_) => self.apply_batch_command(number, command, mine),
        }
    }

    /// What follows from who leads.
    fn update_leadership(&mut self, number: u16) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let leads = shard.replica.is_serving_leader();
        if leads == shard.is_leader {
            return;
        }
        shard.is_leader = leads;
        let is_whole = !leads || shard.restoring.is_none();
        let term = shard.replica.term();
        if leads {
            if let StateMachine::BatchJobs(register) = &shard.state_machine {
                shard.schedule = Some(Schedule::new(register));
                shard.reports = Some(UsageReports::new(register, term, self.now.wall));
            }
            self.effects.push(Effect::Log("leads", format!("part {number}, term {term}")));
            self.check(Invariant::LeaderWhole, is_whole, || format!("part {number}, term {term}"));
            if number == CONTROL {
                self.publish_control_state();
            }
        } else {
            (shard.schedule, shard.reports) = (None, None);
            let mut proposed: Vec<Origin> =
                std::mem::take(&mut shard.waiting).into_values().map(|w| w.1).collect();
            let mut origins: Vec<Origin> = Vec::new();
            origins.extend(std::mem::take(&mut shard.reads).into_values().map(|r| r.0));
            origins.extend(std::mem::take(&mut shard.polls).into_iter().map(|p| p.0));
            for submission in std::mem::take(&mut shard.submissions).into_values() {
                if submission.is_proposed() { &mut proposed } else { &mut origins }
                    .extend(submission.origins);
            }
            proposed.into_iter().for_each(|origin| self.redirect_proposed(number, origin));
            origins.into_iter().for_each(|origin| self.redirect(number, origin));
            self.effects.push(Effect::Log("steps down", format!("part {number}, term {term}")));
        }
    }

    /// The leader of the configuration's part enters what is agreed on in the gossip.
    pub(crate) fn publish_control_state(&mut self) {
        let Some(shard) = self.shards.get(&CONTROL).filter(|p| p.replica.is_serving_leader()) else { return };
        let Some(control) = shard.control() else { return };
        let (version, text) = (control.version, control.text.clone());
        let (core, settled) = (shard.replica.members(), shard.replica.is_replica_set_committed());
        let topology = settled.then(|| control.topology(core));
        let term = shard.replica.term();
        if version > 0 && self.gossip.document(gossip::CONFIGURATION).is_none_or(|(known, _)| known < version)
        {
            self.publish_document(gossip::CONFIGURATION, version, text);
        }
        // A leader of a later term has told of a newer one.
        let superseded = self.topology_version >= (term + 1) << ROSTERS_OF_A_TERM;
        if let Some(topology) = topology.filter(|r| *r != self.topology && !superseded) {
            let version = (term << ROSTERS_OF_A_TERM).max(self.topology_version) + 1;
            self.publish_document(gossip::TOPOLOGY, version, topology.encode());
        }
    }
}
