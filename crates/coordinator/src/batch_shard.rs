//! A part of batch jobs at its leader: what clients ask of it, and which items run.

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{Applied, Command, RunOutcome, parse_submission};
use rainlug_registry::RouteKind;

use crate::invariants::Invariant;
use crate::quota::Submission;
use crate::shard::{ReadQuery, StateMachine};
use crate::{Answer, Coordinator, Effect, Origin, capacity, shard_of_job};

/// Items that a leader has running, at most; which of them find room at workers is decided by each pick.
const RUNNING: usize = 512;
/// The pause after an item found no room.
const NO_ROOM: Time = SECOND / 66;
/// Between the starts of two items.
const BETWEEN: Time = SECOND / 500;
/// Between two looks at what is overdue.
const SWEEP: Time = SECOND / 4;
/// By how much the times of day of two leaders may differ: no item is given up so much before its time by a later leader's clock.
const CLOCK_SLACK: Time = 3 * SECOND;
/// Between two orders to forget.
const FORGET: Time = 20 * SECOND;

impl Coordinator {
    pub(crate) fn submit(&mut self, number: u16, origin: Origin, job: String, route: String, body: Bytes) {
        let wall = self.now.wall;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if number != shard_of_job(&job) {
            return self.reply(origin, Answer::with_status(400));
        }
        // The same one again, before the first is agreed on: one answer for both, and its bytes but once.
        if let Some(submission) = shard.submissions.get_mut(&job) {
            return submission.origins.push(origin);
        }
        let Some(register) = shard.register() else { return };
        // What is in the register is agreed on, whoever leads now.
        if register.contains_job(&job) {
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

    pub(crate) fn end_job(&mut self, number: u16, origin: Origin, job: String) {
        let wall = self.now.wall;
        let Some(register) = self.shards.get(&number).and_then(|p| p.register()) else { return };
        if !register.contains_job(&job) {
            // Only after a round is that sure.
            return self.begin_read(number, origin, ReadQuery::Body { job, item: String::new() });
        }
        self.propose(number, origin, Command::End { job, timestamp: wall }.encode());
    }

    pub(crate) fn answer_job_read(
        &mut self,
        number: u16,
        origin: Origin,
        job: String,
        since: u64,
        until: Time,
    ) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(register) = shard.register() else { return };
        match register.has_output(&job, since) {
            Some(false) if until > now => shard.polls.push((origin, job, since, until)),
            _ => {
                let answer = register.read_outputs(&job, since);
                self.reply(
                    origin,
                    answer.map_or(Answer::with_status(404), |page| Answer::json(200, page.json)),
                );
            }
        }
    }

    /// A command of a part of batch jobs is agreed on; `mine` is who waits for it, and whether it is what was proposed.
    pub(crate) fn apply_batch_command(&mut self, number: u16, bytes: &Bytes, mine: Option<(bool, Origin)>) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let StateMachine::BatchJobs(register) = &mut shard.state_machine else { return };
        let Ok(command) = Command::decode(bytes) else {
            return self.violated(Invariant::CommandRead, &format_args!("part {number}"));
        };
        if let Some(booked) = shard.quota_ledger.apply(&command) {
            return self.finish_ledger_command(number, booked, mine);
        }
        let applied = register.apply(&command);
        let others = match &command {
            Command::Submit { job, .. } => shard.submissions.remove(job).map_or(Vec::new(), |s| s.origins),
            _ => Vec::new(),
        };
        if let Some(reports) = &mut shard.reports {
            reports.applied(register, &command);
        }
        if let Some(schedule) = &mut shard.schedule {
            schedule.handle_applied(register, &command, applied);
        }
        if let (Command::FinishItem { job, .. }, Applied::ItemFinished { .. }) = (&command, applied) {
            let (ready, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut shard.polls)
                .into_iter()
                .partition(|(_, of, since, _)| of == job && register.has_output(of, *since) == Some(true));
            shard.polls = rest;
            let ready: Vec<(Origin, String)> = ready
                .into_iter()
                .filter_map(|(origin, of, since, _)| Some((origin, register.read_outputs(&of, since)?.json)))
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
        match mine {
            Some((true, origin)) => self.reply(origin, answer),
            Some((false, origin)) => self.redirect_proposed(number, origin),
            None => {}
        }
    }

    /// Reads that waited for an output long enough are answered without one.
    pub(crate) fn expire_polls(&mut self) {
        let now = self.now.steady;
        for number in self.shards.keys().copied().collect::<Vec<u16>>() {
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            if shard.polls.iter().all(|p| p.3 > now) {
                continue;
            }
            let (over, rest): (Vec<_>, Vec<_>) =
                std::mem::take(&mut shard.polls).into_iter().partition(|p| p.3 <= now);
            shard.polls = rest;
            for (origin, job, since, until) in over {
                self.answer_job_read(number, origin, job, since, until);
            }
        }
    }

    /// Begins items where this process leads, and lists what is overdue.
    pub(crate) fn run_items(&mut self) {
        self.expire_polls();
        for number in self.shards.keys().copied().collect::<Vec<u16>>() {
            self.start_item(number);
            self.finish_overdue_items(number);
        }
    }

    fn start_item(&mut self, number: u16) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(shard) = self.shards.get_mut(&number) else { return };
        // After each event: nothing is summed up for parts that are not led here, nor while a pause lasts.
        if shard.schedule.is_none() || shard.next_item_at > now {
            return;
        }
        shard.next_item_at = 0;
        // What is held back goes on with the next word of a disk or a member.
        if self.is_item_start_paused(number) {
            return;
        }
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (StateMachine::BatchJobs(register), Some(schedule)) =
            (&shard.state_machine, shard.schedule.as_mut())
        else {
            return;
        };
        if schedule.running_count() < RUNNING
            && let Some(next) = schedule.start_next(register, wall)
        {
            self.effects.push(Effect::RunItem { shard: number, next });
            // One at a time: the next one is begun as soon as this one has found its worker.
            shard.next_item_at = now + BETWEEN;
        }
    }

    fn finish_overdue_items(&mut self, number: u16) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (StateMachine::BatchJobs(register), Some(schedule)) =
            (&shard.state_machine, shard.schedule.as_mut())
        else {
            return;
        };
        if now - shard.last_sweep < SWEEP {
            return;
        }
        let forget = now / FORGET != shard.last_sweep / FORGET;
        shard.last_sweep = now;
        let mut commands = schedule.take_proposals(register, wall);
        if forget && register.memory_bytes() > 0 {
            commands.push(Command::Forget { before: wall - self.info.job_retention });
        }
        self.propose_unattended(number, commands);
    }

    /// Proposes commands that nobody waits for. The schedule keeps those that are refused.
    pub(crate) fn propose_unattended(&mut self, number: u16, commands: Vec<Command>) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if commands.is_empty() {
            return;
        }
        for command in commands {
            let proposed = shard.replica.propose(self.now.steady, command.encode());
            if proposed.is_err()
                && let (StateMachine::BatchJobs(register), Some(schedule)) =
                    (&shard.state_machine, shard.schedule.as_mut())
            {
                schedule.requeue_refused(register, command);
            }
        }
        self.process_output(number);
    }

    pub(crate) fn finish_item(
        &mut self,
        number: u16,
        job: &str,
        item: &str,
        events: Vec<(u64, Bytes)>,
        end: RunOutcome,
    ) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (StateMachine::BatchJobs(register), Some(schedule)) =
            (&shard.state_machine, shard.schedule.as_mut())
        else {
            return;
        };
        if end == RunOutcome::NoCapacity {
            shard.next_item_at = now + NO_ROOM;
        }
        if let Some(command) = schedule.finish_run(register, wall, job, item, events, end) {
            self.propose_unattended(number, vec![command]);
        }
    }
}
