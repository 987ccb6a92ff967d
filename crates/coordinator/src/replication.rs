//! What follows from a replica's progress: messages and records go out, commands and snapshots reach the state machine, and whoever
//! waits is answered or redirected.

use bytes::Bytes;
use rainlug_batch::Schedule;
use rainlug_consensus::{Index, Ready, RestoreStep, Rewrite};
use rainlug_registry::gossip;

use crate::control::Outcome;
use crate::dissemination::{AwaitedUpdate, PendingAcknowledgement};
use crate::frame::{Head, join};
use crate::invariants::Invariant;
use crate::quota::UsageReports;
use crate::shard::StateMachine;
use crate::waiting::{PendingRead, ProposalFate};
use crate::{Answer, CONTROL, Coordinator, Effect, MAX_SPREAD_WAIT};

/// Bits of a topology's version below the term: versions of a later leader are newer than all of an earlier one's.
const TOPOLOGY_VERSION_BITS: u32 = 24;
/// How often a replica is asked for what is ready in one step.
const MAX_READY_ROUNDS: usize = 64;

impl Coordinator {
    /// Processes what a shard's replica has ready, until there is nothing more or the state machine has applied a bounded number of
    /// bytes. In that case the replica's next timeout is now, so that messages and heartbeats of other shards come between.
    pub(crate) fn process_output(&mut self, number: u16) {
        for _ in 0..MAX_READY_ROUNDS {
            let Some(shard) = self.shards.get_mut(&number) else { return };
            let output = shard.replica.take_ready();
            let is_idle = output.messages.is_empty()
                && output.records.is_empty()
                && output.rewrite.is_none()
                && output.restore.is_empty()
                && output.committed.is_empty()
                && output.reads.is_empty()
                && !output.has_status_changed
                && !output.needs_compaction;
            if is_idle && !std::mem::take(&mut shard.is_snapshot_wanted) {
                break;
            }
            if is_idle {
                // Nothing is on its way to the disk but what it was handed: the rewrite may be put off and nothing is missing.
                let state = shard.state_machine.snapshot_source(&shard.quota_ledger);
                let size = state.size();
                shard.replica.compact(self.now.steady, state);
                self.effects.push(Effect::Log("snapshot", format!("shard {number}: {size} bytes")));
                continue;
            }
            self.apply_output(number, output);
            if self.shards.get(&number).is_none_or(|shard| shard.replica.has_unapplied_entries()) {
                break;
            }
        }
        self.update_leadership(number);
    }

    /// Carries out what a replica has ready, in the order that the replica relies on.
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
        let has_committed = !output.committed.is_empty();
        for (index, command) in output.committed {
            self.apply_command(number, index, &command);
        }
        if has_committed && number == CONTROL {
            // Not after each command: a new leader applies its whole log at once, and what is old is in force nowhere again.
            self.publish_control_state();
        }
        for (ticket, result) in output.reads {
            let Some(shard) = self.shards.get_mut(&number) else { return };
            let Some(PendingRead { origin, query }) = shard.waiting.take_read(ticket) else { continue };
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

    /// Records up to the ticket are handed to the disk.
    fn record_write(&mut self, number: u16, ticket: u64) {
        let now = self.now.steady;
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.disk.write_started(now, ticket);
        }
    }

    fn restore(&mut self, number: u16, step: RestoreStep) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if let RestoreStep::Finish(index) = step {
            self.effects.push(Effect::Log("restore", format!("shard {number}: as of entry {index}")));
        }
        if let Err(error) = shard.restore(now, step) {
            self.violated(Invariant::StateRestored, &format_args!("shard {number}: {error}"));
            self.discard_disk(number);
        }
    }

    /// Applies a committed command and answers who proposed it.
    fn apply_command(&mut self, number: u16, index: Index, command: &Bytes) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let proposal = shard.waiting.take_proposal(index, command);
        match &mut shard.state_machine {
            StateMachine::Control(control) => {
                let outcome = control.apply(command);
                let version = control.version;
                let origin = match proposal {
                    Some(ProposalFate::Committed(origin)) => origin,
                    Some(ProposalFate::Replaced(origin)) => return self.redirect_proposed(number, origin),
                    None => return,
                };
                let answer = match outcome {
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
            StateMachine::BatchJobs(_) => self.apply_batch_command(number, command, proposal),
            StateMachine::Primitives(_) => self.apply_primitive_command(number, index, command, proposal),
        }
    }

    /// Takes up the leader's work where this process has come to lead the shard, and lays it down where it leads no more.
    fn update_leadership(&mut self, number: u16) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let leads = shard.replica.is_serving_leader();
        if leads == shard.is_leader {
            return;
        }
        shard.is_leader = leads;
        shard.led_since = self.now.steady;
        let is_whole = !leads || shard.restoring.is_none();
        let term = shard.replica.term();
        if leads {
            if let StateMachine::BatchJobs(job_table) = &shard.state_machine {
                shard.schedule = Some(Schedule::new(job_table));
                shard.reports = Some(UsageReports::new(job_table, term, self.now.wall));
            }
            self.effects.push(Effect::Log("leads", format!("shard {number}, term {term}")));
            self.check(Invariant::LeaderWhole, is_whole, || format!("shard {number}, term {term}"));
            if number == CONTROL {
                self.publish_control_state();
            }
        } else {
            (shard.schedule, shard.reports) = (None, None);
            let mut stranded = shard.waiting.take_stranded();
            stranded.unproposed.extend(shard.watches.take_all().into_iter().map(|watch| watch.origin));
            for submission in std::mem::take(&mut shard.submissions).into_values() {
                let is_proposed = submission.is_proposed();
                if is_proposed { &mut stranded.proposed } else { &mut stranded.unproposed }
                    .extend(submission.origins);
            }
            stranded.proposed.into_iter().for_each(|origin| self.redirect_proposed(number, origin));
            stranded.unproposed.into_iter().for_each(|origin| self.redirect(number, origin));
            self.effects.push(Effect::Log("steps down", format!("shard {number}, term {term}")));
        }
    }

    /// As the leader of the configuration's shard, publishes the committed configuration and topology through the gossip.
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
        // A leader of a later term has published a newer one.
        let superseded = self.topology_version >= (term + 1) << TOPOLOGY_VERSION_BITS;
        if let Some(topology) = topology.filter(|r| *r != self.topology && !superseded) {
            let version = (term << TOPOLOGY_VERSION_BITS).max(self.topology_version) + 1;
            self.publish_document(gossip::TOPOLOGY, version, topology.encode());
        }
    }
}
