//! A shard of batch jobs at its leader: submissions and reads, committed commands, and which items run.

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{Applied, Command, RunEnd, RunOutcome, RunResult, parse_submission};
use rainlug_registry::RouteKind;

use crate::invariants::Invariant;
use crate::quota::Submission;
use crate::shard::StateMachine;
use crate::waiting::{Poll, ProposalFate, ReadQuery};
use crate::{Answer, Coordinator, Effect, Origin, capacity, shard_of_job};

/// Items that a leader runs at once, at most; which of them find a free slot is decided as each picks its worker.
const MAX_RUNNING_ITEMS: usize = 512;
/// The pause after an item found no free slot at any worker.
const NO_CAPACITY_PAUSE: Time = SECOND / 66;
/// Between the starts of two items.
const ITEM_START_INTERVAL: Time = SECOND / 500;
/// Between two looks for overdue items.
const SWEEP_INTERVAL: Time = SECOND / 4;
/// By how much the wall clocks of two leaders may differ: outputs are kept so much longer, in case a later leader's clock is ahead.
const CLOCK_SLACK: Time = 3 * SECOND;
/// Between two proposals to forget jobs whose retention is over.
const FORGET_INTERVAL: Time = 20 * SECOND;

impl Coordinator {
    /// Takes a submission: checks it, and asks for its tokens; the job is proposed once they are reserved.
    pub(crate) fn submit(&mut self, number: u16, origin: Origin, job: String, route: String, body: Bytes) {
        let wall = self.now.wall;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if number != shard_of_job(&job) {
            return self.reply(origin, Answer::with_status(400));
        }
        // The same one again, before the first is committed: one answer for both, and its bytes are kept once.
        if let Some(submission) = shard.submissions.get_mut(&job) {
            return submission.origins.push(origin);
        }
        let Some(job_table) = shard.job_table() else { return };
        // What is in the job table is committed, whoever leads now.
        if job_table.contains_job(&job) {
            return self.reply(origin, Answer::json(202, "{}"));
        }
        let Some(configuration) = &self.configuration else {
            return self.reply(origin, Answer::retry_after(503, SECOND / 2));
        };
        let Some(route) = configuration.routes.iter().find(|r| r.name == route && r.kind == RouteKind::Bulk)
        else {
            return self.reply(origin, Answer::retry_after(503, SECOND / 2));
        };
        let items = match parse_submission(&body) {
            Ok(items) => items,
            Err(odd) => {
                let error = odd.to_string().replace('\\', "\\\\").replace('"', "\\\"");
                return self.reply(origin, Answer::json(400, format!("{{\"error\":\"{error}\"}}")));
            }
        };
        let tokens = items.iter().fold(0, |sum: u64, item| sum.saturating_add(item.token_count));
        let bytes = capacity::job_bytes(body.len(), &items, shard.log_use().mean_output_bytes());
        if let Err(refusal) = self.check_capacity(number, bytes) {
            return self.reject_job(origin, refusal);
        }
        let command = Command::Submit {
            job: job.clone(),
            route: route.name.clone(),
            host: route.host.clone(),
            submitted_at: wall,
            deadline: wall + route.run_target_ms as Time * 1000,
            retain_until: wall + (route.retain_s * SECOND as f64) as Time + CLOCK_SLACK,
            max_attempts: route.max_attempts,
            // The route's ledger judges its quota.
            max_waiting_tokens: 0,
            items,
        };
        let (route, most) = (route.name.clone(), route.max_queued_tokens);
        let submission = Submission::new(route, tokens, bytes, origin, command.encode());
        self.reserve_tokens(number, &job, submission, most);
    }

    /// Ends a job at its client's request.
    pub(crate) fn end_job(&mut self, number: u16, origin: Origin, job: String) {
        let wall = self.now.wall;
        let Some(job_table) = self.shards.get(&number).and_then(|p| p.job_table()) else { return };
        if !job_table.contains_job(&job) {
            // Only a read index round makes sure of that.
            return self.begin_read(number, origin, ReadQuery::Body { job, item: String::new() });
        }
        self.propose(number, origin, Command::End { job, timestamp: wall }.encode());
    }

    /// Answers a read of a job's outputs, or lets it wait for the first one.
    pub(crate) fn answer_job_read(&mut self, number: u16, poll: Poll) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(job_table) = shard.job_table() else { return };
        if poll.until > now && job_table.has_output(&poll.job, poll.since) == Some(false) {
            return shard.waiting.add_poll(poll);
        }
        let page = job_table.read_outputs(&poll.job, poll.since);
        let answer = page.map_or(Answer::with_status(404), |page| Answer::json(200, page.json));
        self.reply(poll.origin, answer);
    }

    /// Applies a committed command of a shard of batch jobs; `proposal` is who waits for it.
    pub(crate) fn apply_batch_command(&mut self, number: u16, bytes: &Bytes, proposal: Option<ProposalFate>) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let StateMachine::BatchJobs(job_table) = &mut shard.state_machine else { return };
        let Ok(command) = Command::decode(bytes) else {
            return self.violated(Invariant::CommandRead, &format_args!("shard {number}"));
        };
        if let Some(booked) = shard.quota_ledger.apply(&command) {
            return self.finish_ledger_command(number, booked, proposal);
        }
        let applied = job_table.apply(&command);
        let others = match &command {
            Command::Submit { job, .. } => shard.submissions.remove(job).map_or(Vec::new(), |s| s.origins),
            _ => Vec::new(),
        };
        if let Some(reports) = &mut shard.reports {
            reports.applied(job_table, &command);
        }
        if let Some(schedule) = &mut shard.schedule {
            schedule.handle_applied(job_table, &command, applied);
        }
        if let (Command::FinishItem { job, .. }, Applied::ItemFinished { .. }) = (&command, applied) {
            let has_output =
                |poll: &Poll| poll.job == *job && job_table.has_output(job, poll.since) == Some(true);
            let ready = shard.waiting.take_polls(has_output).into_iter();
            let ready: Vec<(Origin, String)> = ready
                .filter_map(|poll| Some((poll.origin, job_table.read_outputs(&poll.job, poll.since)?.json)))
                .collect();
            for (origin, text) in ready {
                self.reply(origin, Answer::json(200, text));
            }
        }
        let answer = match applied {
            Applied::Accepted | Applied::AlreadyAccepted => Answer::json(202, "{}"),
            // The ledger granted it: a submission here names no limit.
            Applied::OverQuota => Answer::retry_after(429, SECOND / 2),
            Applied::Ended | Applied::ItemFinished { .. } => Answer::json(200, "{}"),
            Applied::NoChange => {
                Answer::with_status(if matches!(command, Command::End { .. }) { 404 } else { 200 })
            }
        };
        others.into_iter().for_each(|other| self.reply(other, answer.clone()));
        match proposal {
            Some(ProposalFate::Committed(origin)) => self.reply(origin, answer),
            Some(ProposalFate::Replaced(origin)) => self.redirect_proposed(number, origin),
            None => {}
        }
    }

    /// Answers reads that have waited for an output long enough without one.
    pub(crate) fn expire_polls(&mut self) {
        let now = self.now.steady;
        for number in self.shards.keys().copied().collect::<Vec<u16>>() {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            if shard.waiting.next_poll_timeout() > now {
                continue;
            }
            for poll in shard.waiting.take_polls(|poll| poll.until <= now) {
                self.answer_job_read(number, poll);
            }
        }
    }

    /// Where this process leads: starts items that are ready, and finishes those that are overdue.
    pub(crate) fn run_items(&mut self) {
        self.expire_polls();
        self.expire_watches();
        for number in self.shards.keys().copied().collect::<Vec<u16>>() {
            self.start_item(number);
            self.finish_overdue_items(number);
        }
    }

    /// Starts the next item that is ready, unless a pause lasts or outputs wait too long for disks.
    fn start_item(&mut self, number: u16) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(shard) = self.shards.get_mut(&number) else { return };
        // This runs after each event: nothing is summed up for shards that are not led here, nor while a pause lasts.
        if shard.schedule.is_none() || shard.next_item_at > now {
            return;
        }
        shard.next_item_at = 0;
        // What is held back goes on with the next event of a disk or a member.
        if self.is_item_start_paused(number) {
            return;
        }
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (StateMachine::BatchJobs(job_table), Some(schedule)) =
            (&shard.state_machine, shard.schedule.as_mut())
        else {
            return;
        };
        if schedule.running_count() < MAX_RUNNING_ITEMS
            && let Some(next) = schedule.start_next(job_table, wall, &mut self.run_ids)
        {
            self.effects.push(Effect::RunItem { shard: number, next });
            // One at a time: the next one is started once this one has found its worker.
            shard.next_item_at = now + ITEM_START_INTERVAL;
        }
    }

    /// Proposes the end of overdue items, and now and then to forget old jobs.
    fn finish_overdue_items(&mut self, number: u16) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (StateMachine::BatchJobs(job_table), Some(schedule)) =
            (&shard.state_machine, shard.schedule.as_mut())
        else {
            return;
        };
        if now - shard.last_sweep < SWEEP_INTERVAL {
            return;
        }
        let forget = now / FORGET_INTERVAL != shard.last_sweep / FORGET_INTERVAL;
        shard.last_sweep = now;
        let mut commands = schedule.take_proposals(job_table, wall);
        if forget && job_table.memory_bytes() > 0 {
            commands.push(Command::Forget { before: wall - self.info.job_retention });
        }
        self.propose_unattended(number, commands);
    }

    /// Proposes commands that nobody waits for. The schedule keeps those that are refused, for a later proposal.
    pub(crate) fn propose_unattended(&mut self, number: u16, commands: Vec<Command>) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if commands.is_empty() {
            return;
        }
        for command in commands {
            let proposed = shard.replica.propose(self.now.steady, command.encode());
            if proposed.is_err()
                && let (StateMachine::BatchJobs(job_table), Some(schedule)) =
                    (&shard.state_machine, shard.schedule.as_mut())
            {
                schedule.requeue_refused(job_table, command);
            }
        }
        self.process_output(number);
    }

    /// Proposes the outcome of an item's run, or lets the item be run again.
    pub(crate) fn finish_item(&mut self, number: u16, result: RunResult) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(schedule) = shard.schedule.as_mut() else { return };
        let has_capacity = result.outcome != RunOutcome::NoCapacity;
        let end = schedule.finish_run(wall, result);
        if !has_capacity && end != RunEnd::Unknown {
            shard.next_item_at = now + NO_CAPACITY_PAUSE;
        }
        match end {
            RunEnd::Finishes(command) => self.propose_unattended(number, vec![command]),
            RunEnd::EventMissing { last_event, came } => {
                let text = format!("shard {number}: event {came} came after event {last_event} of an item");
                self.effects.push(Effect::Log("event missing", text));
            }
            RunEnd::Open | RunEnd::Unknown => {}
        }
    }
}
