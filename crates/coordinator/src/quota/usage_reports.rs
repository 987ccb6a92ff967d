//! What the leader of a shard reports to the quota ledgers of its batch jobs' routes: which tokens still wait.

use std::collections::BTreeMap;

use rainlug::{SECOND, Time};
use rainlug_batch::{Command, JobTable, JobUsage, OpenJob, RESERVATION_GRACE, UsageReportNumber};
use rainlug_registry::RouteKind;

use super::{LEDGER_LEADER_WAIT, Submission};
use crate::calls::{CallCompletion, CallRequest};
use crate::frame::Request;
use crate::{Coordinator, shard_of_route};

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
    pub(super) fn cancel_reservation(&mut self, route: &str, job: &str, now: Time) {
        self.route(route).add_finished(job, now + LATE_RESERVATION_TIMEOUT);
    }

    /// A batch job's tokens are asked for.
    pub(super) fn begin_reservation(&mut self, route: &str, job: &str) {
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
