//! Quotas over all shards of batch jobs.
//!
//! A route's waiting tokens are counted by the quota ledger in one shard, [`shard_of_route`]. The leader of a job's shard reserves the
//! job's tokens there before it proposes the job, and reports which tokens still wait. A reservation that later reports do not name is
//! released after a grace period ([`RESERVATION_GRACE`]): a job that came to nothing holds no tokens for long.

use std::collections::BTreeMap;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_batch::{
    Command, JobTable, JobUsage, OpenJob, QuotaOutcome, RESERVATION_GRACE, UsageReportNumber,
};
use rainlug_registry::RouteKind;

use crate::calls::{CallCompletion, CallRequest};
use crate::frame::Request;
use crate::waiting::ProposalFate;
use crate::{Answer, Coordinator, Origin, shard_of_route};

/// How long a batch job waits for its tokens. Less than its client's process waits for the job's leader, so that a
/// refusal arrives.
const RESERVATION_TIMEOUT: Time = 8 * SECOND / 10;
/// How long a ledger's leader may wait for its replica set.
const LEDGER_LEADER_WAIT: Time = SECOND / 5;
/// Between two reports on the same route where something has changed.
const MIN_REPORT_INTERVAL: Time = SECOND / 4;
/// Between two reports of the same route, where nothing has: reservations that came to nothing are released by one of them.
const MAX_REPORT_INTERVAL: Time = 5 * SECOND;
/// How long a report is attempted; then a newer one is made.
const REPORT_TIMEOUT: Time = SECOND;
/// Finished batch jobs of a route that are still to be reported, where its ledger cannot be reached. Those that are left out are
/// released like reservations that came to nothing.
const MAX_FINISHED: usize = 10_000;
/// How long a batch job whose reservation was not answered is reported as finished: the reservation may be applied late.
const LATE_RESERVATION_TIMEOUT: Time = 3 * SECOND;
/// When to come back with a batch job that is over the quota.
const OVER_QUOTA_RETRY: Time = SECOND / 2;
/// When to come back with a batch job whose quota ledger cannot be reached.
const NO_LEDGER_RETRY: Time = SECOND / 2;

/// A batch job that is not committed yet.
pub(crate) struct Submission {
    /// Bytes that it and its outputs will take on the disk.
    pub bytes: u64,
    /// Who waits for it, except for the one whose proposal it is.
    pub origins: Vec<Origin>,
    route: String,
    tokens: u64,
    stage: Stage,
}

/// How far a submission has come.
enum Stage {
    /// Its tokens are being reserved; then the command is proposed.
    Reserving {
        command: Bytes,
    },
    Proposed,
}

impl Submission {
    /// A submission whose tokens are to be reserved before `command` is proposed.
    pub fn new(route: String, tokens: u64, bytes: u64, origin: Origin, command: Bytes) -> Self {
        Submission { bytes, origins: vec![origin], route, tokens, stage: Stage::Reserving { command } }
    }

    /// Bytes that it holds until it is proposed.
    pub fn bytes_to_propose(&self) -> usize {
        match &self.stage {
            Stage::Reserving { command } => command.len(),
            Stage::Proposed => 0,
        }
    }

    /// Whether it may be committed yet.
    pub fn is_proposed(&self) -> bool {
        matches!(self.stage, Stage::Proposed)
    }
}

/// A ledger's answer to a reservation.
pub(crate) struct ReservationAnswer {
    /// The shard of the batch job.
    pub shard: u16,
    pub job: String,
    pub answer: Answer,
}

/// What the leader of a shard reports to the quota ledgers of its batch jobs' routes.
pub(crate) struct UsageReports {
    last: UsageReportNumber,
    routes: BTreeMap<String, RouteReport>,
}

/// What is reported to one route's quota ledger.
#[derive(Default)]
struct RouteReport {
    /// Unfinished batch jobs with the tokens that wait.
    open: BTreeMap<String, u64>,
    /// Batch jobs that have finished, or came to nothing, and until when each is reported of, once at least: maybe no report has named
    /// it while it was unfinished, or its reservation is still on its way.
    finished: BTreeMap<String, Time>,
    /// Those of them that the last report named.
    reported_finished: Vec<String>,
    /// There is something that no report has named.
    is_changed: bool,
    /// The last report is not answered yet.
    is_under_way: bool,
    sent_at: Time,
}

impl RouteReport {
    fn finish(&mut self, job: &str) {
        if self.open.remove(job).is_some() {
            self.add_finished(job, 0);
        }
    }

    fn add_finished(&mut self, job: &str, until: Time) {
        self.finished.insert(job.to_owned(), until);
        if self.finished.len() > MAX_FINISHED {
            self.finished.pop_first();
        }
        self.is_changed = true;
    }

    /// Begins a report: the tokens of each job, without those that are only proposed.
    fn begin_report(&mut self, now: Time) -> BTreeMap<String, u64> {
        (self.is_changed, self.is_under_way, self.sent_at) = (false, true, now);
        self.reported_finished =
            self.finished.iter().filter(|(_, until)| **until <= now).map(|(job, _)| job.clone()).collect();
        let finished = self.finished.keys().map(|job| (job.clone(), 0));
        finished.chain(self.open.clone()).collect()
    }

    /// The last report was answered, or had no answer in time.
    fn finish_report(&mut self, is_entered: bool) {
        self.is_under_way = false;
        self.is_changed |= !is_entered;
        for job in std::mem::take(&mut self.reported_finished).iter().filter(|_| is_entered) {
            self.finished.remove(job);
        }
        self.is_changed |= !self.finished.is_empty();
    }

    fn next_report_at(&self) -> Time {
        match (self.is_under_way, self.is_changed) {
            (true, _) => Time::MAX,
            (false, true) => self.sent_at + MIN_REPORT_INTERVAL,
            (false, false) => self.sent_at + MAX_REPORT_INTERVAL,
        }
    }
}

impl UsageReports {
    /// Of a leader that has just been elected: all is to be reported, also of batch jobs that finished under the leader before and that
    /// no report may have named.
    pub fn new(job_table: &JobTable, term: u64, wall: Time) -> Self {
        let mut reports =
            UsageReports { last: UsageReportNumber { term, sequence: 0 }, routes: BTreeMap::new() };
        for OpenJob { id, route, waiting_tokens } in job_table.open_jobs() {
            reports.route(route).open.insert(id.to_owned(), waiting_tokens);
        }
        for (route, job) in job_table.closed_jobs_since(wall - 2 * RESERVATION_GRACE) {
            reports.route(route).add_finished(job, 0);
        }
        reports
    }

    /// Nothing was proposed of a batch job whose tokens were asked for; the quota ledger may enter the reservation yet.
    fn cancel_reservation(&mut self, route: &str, job: &str, now: Time) {
        self.route(route).add_finished(job, now + LATE_RESERVATION_TIMEOUT);
    }

    /// A batch job's tokens are asked for.
    fn begin_reservation(&mut self, route: &str, job: &str) {
        self.route(route).finished.remove(job);
    }

    fn route(&mut self, route: &str) -> &mut RouteReport {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteReport { is_changed: true, ..RouteReport::default() });
        }
        self.routes.entry(route.to_owned()).or_default()
    }

    /// After a command was applied to the job table.
    pub fn applied(&mut self, job_table: &JobTable, command: &Command) {
        let (Command::Submit { job, .. } | Command::FinishItem { job, .. } | Command::End { job, .. }) =
            command
        else {
            return;
        };
        if let Some(OpenJob { route, waiting_tokens: tokens, .. }) = job_table.open_job(job) {
            let report = self.route(route);
            report.is_changed |= report.open.insert(job.clone(), tokens) != Some(tokens);
            return;
        }
        for report in self.routes.values_mut() {
            report.finish(job);
        }
    }

    /// Tokens that wait in the shard.
    pub fn tokens(&self) -> u64 {
        self.routes
            .values()
            .flat_map(|route| route.open.values())
            .fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// When the next report is due.
    pub fn next_timeout(&self) -> Time {
        self.routes.values().map(RouteReport::next_report_at).min().unwrap_or(Time::MAX)
    }

    /// The reports that are due now, for each route.
    fn take_due_reports(
        &mut self,
        now: Time,
        shard: u16,
        submissions: &BTreeMap<String, Submission>,
    ) -> Vec<(String, Command)> {
        let mut due = Vec::new();
        for (route, report) in self.routes.iter_mut().filter(|(_, report)| report.next_report_at() <= now) {
            self.last.sequence += 1;
            let mut open = report.begin_report(now);
            // What is proposed may be committed yet, even if it takes longer than the reservation's grace.
            let proposed = submissions.iter().filter(|(_, s)| s.is_proposed() && s.route == *route);
            open.extend(proposed.map(|(job, s)| (job.clone(), s.tokens)));
            let open = open.into_iter().map(|(job, tokens)| JobUsage { job, tokens }).collect();
            let command = Command::ReportUsage {
                route: route.clone(),
                shard,
                number: self.last,
                timestamp: 0,
                usage: open,
            };
            due.push((route.clone(), command));
        }
        due
    }
}

impl Coordinator {
    /// Asks for a batch job's tokens; the job is proposed once they are reserved. At most `most` may wait on the route (0: no
    /// limit, and no need to ask: the shard's reports tell of the job).
    pub(crate) fn reserve_tokens(&mut self, number: u16, job: &str, submission: Submission, most: u64) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let (route, tokens) = (submission.route.clone(), submission.tokens);
        shard.submissions.insert(job.to_owned(), submission);
        if let Some(reports) = &mut shard.reports {
            reports.begin_reservation(&route, job);
        }
        if most == 0 {
            let granted =
                ReservationAnswer { shard: number, job: job.to_owned(), answer: Answer::with_status(200) };
            return self.reservation_answers.push_back(granted);
        }
        let request =
            Request::Reserve { job: job.into(), route: route.as_str().into(), shard: number, tokens, most };
        let completion = CallCompletion::Reservation { shard: number, job: job.to_owned() };
        self.call_shard(CallRequest {
            leader_wait: LEDGER_LEADER_WAIT,
            ..CallRequest::new(shard_of_route(&route), &request, completion, RESERVATION_TIMEOUT)
        });
    }

    /// A ledger has answered a reservation, or did not in time.
    pub(crate) fn queue_reservation_answer(&mut self, shard: u16, job: String, answer: Answer) {
        self.reservation_answers.push_back(ReservationAnswer { shard, job, answer });
    }

    /// Acts on the answers of ledgers. Not where they arrive: that may be in the midst of another shard's commands.
    pub(crate) fn finish_reservations(&mut self) {
        while let Some(ReservationAnswer { shard, job, answer }) = self.reservation_answers.pop_front() {
            if answer.status == 200 {
                self.propose_reserved(shard, &job);
            } else {
                let refusal = if answer.status == 429 {
                    Answer::retry_after(429, OVER_QUOTA_RETRY)
                } else {
                    Answer::retry_after(503, NO_LEDGER_RETRY)
                };
                self.refuse_submitting(shard, &job, &refusal);
            }
        }
    }

    fn propose_reserved(&mut self, number: u16, job: &str) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(submission) = shard.submissions.get_mut(job) else { return };
        let Stage::Reserving { command } = std::mem::replace(&mut submission.stage, Stage::Proposed) else {
            return;
        };
        let origin = submission.origins.remove(0);
        if !self.propose(number, origin, command) {
            self.send_submitting_elsewhere(number, job);
        }
    }

    /// Nothing was proposed: who waits for the batch job may rely on it.
    fn refuse_submitting(&mut self, number: u16, job: &str, refusal: &Answer) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if shard.submissions.get(job).is_none_or(Submission::is_proposed) {
            return;
        }
        let Some(submission) = shard.submissions.remove(job) else { return };
        if refusal.status != 429
            && let Some(reports) = &mut shard.reports
        {
            reports.cancel_reservation(&submission.route, job, now);
        }
        submission.origins.into_iter().for_each(|origin| self.reply(origin, refusal.clone()));
    }

    fn send_submitting_elsewhere(&mut self, number: u16, job: &str) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let origins = shard.submissions.remove(job).map_or(Vec::new(), |submission| submission.origins);
        origins.into_iter().for_each(|origin| self.redirect(number, origin));
    }

    /// A reservation, asked of this process as the leader of the quota ledger's shard.
    pub(crate) fn receive_reservation(&mut self, number: u16, origin: Origin, command: Command) {
        let Command::Reserve { route, job, shard, tokens, max_waiting_tokens, .. } = &command else { return };
        let Some(counts) = self.shards.get(&number) else { return };
        if shard_of_route(route) != number {
            return self.reply(origin, Answer::with_status(400));
        }
        // A refusal need not be committed: where this copy is old, the job fits when it comes again.
        if !counts.quota_ledger.can_reserve(route, job, *shard, *tokens, *max_waiting_tokens) {
            return self.reply(origin, Answer::retry_after(429, OVER_QUOTA_RETRY));
        }
        self.propose(number, origin, command.encode());
    }

    /// A report, made to this process as the leader of the quota ledger's shard.
    pub(crate) fn receive_usage_report(&mut self, number: u16, origin: Origin, report: &Bytes) {
        let wall = self.now.wall;
        let Some(counts) = self.shards.get(&number) else { return };
        let Ok(Command::ReportUsage { route, shard, number: nth, usage, .. }) = Command::decode(report)
        else {
            return self.reply(origin, Answer::with_status(400));
        };
        if shard_of_route(&route) != number {
            return self.reply(origin, Answer::with_status(400));
        }
        if !counts.quota_ledger.would_change(&route, shard, nth, &usage, wall) {
            return self.reply(origin, Answer::with_status(200));
        }
        let command = Command::ReportUsage { route, shard, number: nth, timestamp: wall, usage };
        self.propose(number, origin, command.encode());
    }

    /// A command of a ledger is committed; `proposal` is who waits for it.
    pub(crate) fn finish_ledger_command(
        &mut self,
        number: u16,
        booked: QuotaOutcome,
        proposal: Option<ProposalFate>,
    ) {
        let answer = match booked {
            QuotaOutcome::Granted | QuotaOutcome::Reported | QuotaOutcome::Stale => Answer::with_status(200),
            QuotaOutcome::Refused => Answer::retry_after(429, OVER_QUOTA_RETRY),
        };
        match proposal {
            Some(ProposalFate::Committed(origin)) => self.reply(origin, answer),
            Some(ProposalFate::Replaced(origin)) => self.redirect_proposed(number, origin),
            None => {}
        }
    }

    /// Shards that this process leads report on all routes, also where they have none of its batch jobs.
    pub(crate) fn track_routes(&mut self) {
        let Some(configuration) = &self.configuration else { return };
        for reports in self.shards.values_mut().filter_map(|shard| shard.reports.as_mut()) {
            let routes = configuration.routes.iter().filter(|route| route.kind == RouteKind::Bulk);
            routes.for_each(|route| {
                reports.route(&route.name);
            });
        }
    }

    /// Sends the reports that are due.
    pub(crate) fn send_usage_reports(&mut self) {
        let now = self.now.steady;
        let mut due = Vec::new();
        for (number, shard) in &mut self.shards {
            if let Some(reports) = &mut shard.reports {
                let reports = reports.take_due_reports(now, *number, &shard.submissions);
                due.extend(reports.into_iter().map(|(route, command)| (*number, route, command)));
            }
        }
        for (shard, route, command) in due {
            let quota_ledger = shard_of_route(&route);
            let completion = CallCompletion::UsageReport { shard, route };
            self.call_shard(CallRequest {
                tail: command.encode(),
                leader_wait: LEDGER_LEADER_WAIT,
                ..CallRequest::new(quota_ledger, &Request::ReportUsage, completion, REPORT_TIMEOUT)
            });
        }
    }

    /// A report was answered, or had no answer in time.
    pub(crate) fn finish_usage_report(&mut self, number: u16, route: &str, is_entered: bool) {
        let reports = self.shards.get_mut(&number).and_then(|shard| shard.reports.as_mut());
        if let Some(report) = reports.and_then(|reports| reports.routes.get_mut(route)) {
            report.finish_report(is_entered);
        }
    }
}
