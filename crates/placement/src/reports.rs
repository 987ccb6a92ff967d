//! Reports: what this dispatcher saw of workers, for the others, and what they all saw.

use crate::{End, Job, Mechanisms, Placement};
use rainlug::Time;
use rainlug_registry::WorkerReport;
use rainlug_registry::report::{ReportedLoad, worker_key};

/// A request is overdue once its answer has not begun for so many times as long as was to be expected, and no sooner than so.
const OVERDUE: Time = 8;
const LEAST_OVERDUE: Time = rainlug::SECOND / 2;

/// What was seen of a worker since its last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    load: Option<(Time, u32, u32)>,
    failed: u8,
    ended: u8,
}

impl Seen {
    /// It has told its load: requests running, and waiting.
    pub fn loaded(&mut self, now: Time, (running, waiting): (u32, u32)) {
        self.load = Some((now, running, waiting));
    }

    /// A request has ended there. What was not run there, or given up here, says nothing.
    pub fn ended(&mut self, end: End) {
        let failed = match end {
            End::Finished => false,
            End::Failed | End::Unreachable | End::Silent => true,
            End::Full | End::Elsewhere | End::GivenUp => return,
        };
        self.failed = self.failed.saturating_add(u8::from(failed));
        self.ended = self.ended.saturating_add(1);
    }

    fn take(&mut self, now: Time, worker: &str) -> Option<WorkerReport> {
        let Seen { load, failed, ended } = std::mem::take(self);
        let narrow = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        let load = load.map(|(at, running, waiting)| ReportedLoad {
            running: narrow(running),
            waiting: narrow(waiting),
            age_ms: u16::try_from((now - at) / 1_000).unwrap_or(u16::MAX - 1),
        });
        let news = load.is_some() || ended > 0;
        news.then(|| WorkerReport { worker: worker_key(worker), load, failed, ended })
    }
}

impl Placement {
    /// What was seen of workers since the last call.
    pub fn reports(&mut self, now: Time) -> Vec<WorkerReport> {
        self.note_overdue(now);
        self.servers.iter_mut().filter_map(|s| s.seen.take(now, &s.worker.id)).collect()
    }

    /// How long the answer of an assignment was expected to take to begin; 0 where nothing was known.
    fn expected_start(&self, ticket: u64) -> Time {
        let Some(job) = self.jobs.get(&ticket) else { return 0 };
        if job.ahead > 0.0 {
            return self.reading.wait(job.ahead) as Time;
        }
        self.classes.get(&job.class).map_or(0, |class| (class.ran.mean(0.0) * 1e6) as Time)
    }

    /// A request whose answer ought to have begun long ago counts as failed before it ends.
    fn note_overdue(&mut self, now: Time) {
        let is_overdue = |(ticket, job): (&u64, &Job)| {
            let patience = LEAST_OVERDUE.max(OVERDUE * self.expected_start(*ticket));
            (!job.started && !job.overdue && now - job.sent > patience).then_some(*ticket)
        };
        let overdue: Vec<u64> = self.jobs.iter().filter_map(is_overdue).collect();
        for ticket in overdue {
            let Some(job) = self.jobs.get_mut(&ticket) else { continue };
            job.overdue = true;
            let server = &mut self.servers[job.server];
            server.seen.ended(End::Silent);
            server.health.overdue(now);
        }
    }

    /// What all dispatchers saw of a worker of this service, this one among them.
    pub fn reported(&mut self, now: Time, report: &WorkerReport) {
        let known = self.report_names.get(&report.worker).filter(|_| self.uses(Mechanisms::REPORTS));
        let Some(&j) = known else { return };
        let (fresh, others) = (self.fresh(now), self.others);
        let server = &mut self.servers[j];
        if let Some(load) = report.load {
            server.load.count(now, server.flying, fresh, others);
            let there = (u32::from(load.running), u32::from(load.waiting));
            server.load.heard(now, Time::from(load.age_ms) * 1_000, there, server.flying, server.unstarted);
        }
        server.health.reported(now, f64::from(report.failed), f64::from(report.ended));
    }
}
