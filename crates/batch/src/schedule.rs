//! Which item of a shard runs next. The schedule is the shard leader's own; it is not replicated.
//!
//! A new leader makes it anew from the [`JobTable`]: events that runs gave under the leader before are lost, and their items run again
//! from the start. The schedule decides and nothing else: the leader hands an [`ItemRun`] to a worker, tells the schedule how it
//! ended, and proposes the [`Command`]s that it gets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rainlug::Time;

use crate::item_progress::ItemProgress;
use crate::job::{BatchJob, BatchJobHeader};
use crate::{
    Applied, Command, Item, ItemOutcome, ItemRun, JobTable, RunEnd, RunId, RunIds, RunOutcome, RunResult,
    StoredText,
};

/// Commands that one call of [`Schedule::take_proposals`] gives, at most: its caller proposes them all in one step.
pub const MAX_PROPOSALS: usize = 256;
/// Expired items that one call of [`Schedule::start_next`] skips, at most.
const MAX_EXPIRED_SKIPPED: usize = 1024;
/// Items that one call plans, about: the last batch job is planned as a unit.
const MAX_ITEMS_PLANNED: usize = 1024;
/// Weight of the newest run in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 1.0 / 16.0;

/// The plan of a shard's leader. Times are Unix time in microseconds.
///
/// Each command is given once: what a leader has in its log stays there until another leader replaces it, and that one has a plan of
/// its own. Only a command that the log [refused](Schedule::requeue_refused) is given again.
pub struct Schedule {
    /// Batch jobs that the table had when the schedule was made and that are still to be planned, earliest deadline first.
    unplanned: VecDeque<Arc<str>>,
    plans: BTreeMap<Arc<str>, JobPlan>,
    /// Items that neither run nor have a command that finishes them.
    ready: BTreeSet<QueueKey>,
    /// Runs that this schedule has begun; also those whose item was dropped since.
    running: BTreeMap<RunId, RunningItem>,
    /// Moving average of how long complete runs take.
    mean_run_time: Option<Time>,
    /// Commands to be proposed again, one for an item at most.
    refused: BTreeMap<QueueKey, Command>,
    /// When the open items of a batch job are to be abandoned.
    expiries: BTreeSet<(Time, Arc<str>)>,
}

/// An item that runs.
struct RunningItem {
    job: Arc<str>,
    /// The batch job's number: another one may have come under the same id since.
    job_number: u64,
    item_index: usize,
    /// The item's id.
    item: String,
    started_at: Time,
}

/// The order in which items run. The batch job's id comes last: it only finds the plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    deadline: Time,
    /// The batch job's number: batch jobs accepted before it.
    job_number: u64,
    item_index: usize,
    job: Arc<str>,
}

/// What the schedule holds of a batch job.
struct JobPlan {
    number: u64,
    deadline: Time,
    retain_until: Time,
    max_attempts: u32,
    /// Open items by index.
    items: BTreeMap<usize, ItemProgress>,
}

impl JobPlan {
    fn queue_key(&self, job: &Arc<str>, item_index: usize) -> QueueKey {
        QueueKey { deadline: self.deadline, job_number: self.number, item_index, job: job.clone() }
    }

    /// Indices of items that no command finishes yet.
    fn unproposed(&self) -> impl Iterator<Item = usize> {
        self.items.iter().filter(|(_, progress)| !progress.is_proposed).map(|(index, _)| *index)
    }
}

impl Schedule {
    /// A schedule of all open items of a table. A large one is planned over the next calls, in the order in which items run.
    pub fn new(table: &JobTable) -> Self {
        let mut open: Vec<&BatchJob> =
            table.jobs.values().map(|job| &**job).filter(|job| !job.is_closed()).collect();
        open.sort_unstable_by_key(|job| (job.header().deadline, job.header().number));
        let mut schedule = Schedule {
            unplanned: open.into_iter().map(|job| job.id().clone()).collect(),
            plans: BTreeMap::new(),
            ready: BTreeSet::new(),
            running: BTreeMap::new(),
            mean_run_time: None,
            refused: BTreeMap::new(),
            expiries: BTreeSet::new(),
        };
        schedule.plan_more(table);
        schedule
    }

    /// Plans further batch jobs as the table has them now.
    fn plan_more(&mut self, table: &JobTable) {
        let mut planned = 0;
        while planned < MAX_ITEMS_PLANNED
            && let Some(id) = self.unplanned.pop_front()
        {
            if let Some(job) = table.jobs.get(&id).filter(|_| !self.plans.contains_key(&id)) {
                planned += job.items().len().max(1);
                self.plan(job);
            }
        }
    }

    /// Follows a command that was applied to the table.
    pub fn handle_applied(&mut self, table: &JobTable, command: &Command, applied: Applied) {
        match command {
            Command::Submit { job, .. } => {
                if let (Applied::Accepted, Some(job)) = (applied, table.jobs.get(&**job)) {
                    self.drop_job(job.id());
                    self.plan(job);
                }
            }
            Command::FinishItem { job, item, .. } => match table.jobs.get(&**job) {
                Some(found) => {
                    if let Some(index) = found.item_index(item).filter(|index| !found.is_open(*index)) {
                        self.drop_item(job, index);
                    }
                }
                None => self.drop_job(job),
            },
            Command::End { job, .. } => self.drop_job(job),
            // What is forgotten was dropped when its last item finished or it ended.
            Command::Forget { .. } => {}
            // The quota ledger's.
            Command::Reserve { .. } | Command::ReportUsage { .. } => {}
        }
    }

    fn plan(&mut self, job: &BatchJob) {
        if job.is_closed() {
            return;
        }
        let id = job.id();
        let BatchJobHeader { number, deadline, retain_until, max_attempts, .. } = **job.header();
        let open = (0..job.items().len()).filter(|index| job.is_open(*index));
        let items = open.map(|index| (index, ItemProgress::default())).collect();
        let plan = JobPlan { number, deadline, retain_until, max_attempts, items };
        self.ready.extend(plan.items.keys().map(|index| plan.queue_key(id, *index)));
        self.expiries.insert((retain_until, id.clone()));
        self.plans.insert(id.clone(), plan);
    }

    fn drop_job(&mut self, job: &str) {
        let Some(plan) = self.plans.get(job) else { return };
        let indices: Vec<usize> = plan.items.keys().copied().collect();
        indices.into_iter().for_each(|index| self.drop_item(job, index));
    }

    /// Forgets an item, and its batch job with the last one.
    fn drop_item(&mut self, job: &str, index: usize) {
        let Some((id, _)) = self.plans.get_key_value(job) else { return };
        let id = id.clone();
        let Some(plan) = self.plans.get_mut(job) else { return };
        if plan.items.remove(&index).is_none() {
            return;
        }
        let key = plan.queue_key(&id, index);
        self.ready.remove(&key);
        self.refused.remove(&key);
        if plan.items.is_empty() {
            self.expiries.remove(&(plan.retain_until, id));
            self.plans.remove(job);
        }
    }

    /// The next item to run, under an identity of `run_ids`. It counts as running until [`Schedule::finish_run`].
    ///
    /// Items run by deadline, but those that can meet it, as long as runs take of late, go before the others: where there is too much
    /// to do, what is late already makes nothing else late. Expired items do not run. Nothing also where many expired items have to be
    /// skipped; the next call goes on behind them.
    pub fn start_next(&mut self, table: &JobTable, now: Time, run_ids: &mut RunIds) -> Option<ItemRun> {
        self.plan_more(table);
        let QueueKey { deadline, job_number, item_index, job: id } = self.pop_ready(now)?;
        let job = table.jobs.get(&*id)?;
        let item = Item::clone(job.request(item_index)?);
        let last_event = self.plans.get(&id)?.items.get(&item_index)?.last_event;
        let run = run_ids.next_id();
        let (running_job, running_item) = (id.clone(), item.id.clone());
        self.running.insert(
            run,
            RunningItem { job: running_job, job_number, item_index, item: running_item, started_at: now },
        );
        let header = job.header();
        Some(ItemRun {
            id: run,
            job: id.to_string(),
            route: header.route.clone(),
            host: header.host.clone(),
            item,
            last_event,
            deadline,
            retain_until: header.retain_until,
        })
    }

    /// Takes the first ready item that can meet its deadline, or else the first one that is not expired. Expired ones before it are
    /// dropped from the queue; [`Schedule::take_proposals`] abandons them.
    fn pop_ready(&mut self, now: Time) -> Option<QueueKey> {
        let earliest_deadline = now + self.mean_run_time.unwrap_or(0);
        let first_timely =
            QueueKey { deadline: earliest_deadline, job_number: 0, item_index: 0, job: Arc::from("") };
        let timely = self.ready.range(first_timely..).next().cloned();
        if let Some(key) = timely {
            self.ready.remove(&key);
            return Some(key);
        }
        for _ in 0..MAX_EXPIRED_SKIPPED {
            let key = self.ready.pop_first()?;
            if self.plans.get(&key.job).is_some_and(|plan| plan.retain_until > now) {
                return Some(key);
            }
        }
        None
    }

    /// Takes what a run gave. A run that this schedule has not begun changes nothing: its item may be run by another one now. Events with
    /// ids up to the last one are passed over; where one is missing, what follows is not taken and the item runs again.
    pub fn finish_run(&mut self, now: Time, result: RunResult) -> RunEnd {
        let Some(running) = self.running.remove(&result.run) else { return RunEnd::Unknown };
        if result.outcome == RunOutcome::Complete {
            self.observe_run_time((now - running.started_at).max(0));
        }
        let RunningItem { job, job_number, item_index, item, .. } = running;
        let Some(plan) = self.plans.get_mut(&job).filter(|plan| plan.number == job_number) else {
            return RunEnd::Open;
        };
        let key = plan.queue_key(&job, item_index);
        let Some(progress) = plan.items.get_mut(&item_index) else { return RunEnd::Open };
        let added = progress.add_events(result.events);
        let run_outcome = if added.is_ok() { result.outcome } else { RunOutcome::Interrupted };
        if let Some(outcome) = progress.outcome_after(&run_outcome, plan.max_attempts) {
            let text = progress.take_text(outcome);
            self.mark_proposed(&job, item_index);
            return RunEnd::Finishes(Command::FinishItem { job: job.to_string(), item, outcome, text });
        }
        let last_event = progress.last_event;
        if !progress.is_proposed {
            self.ready.insert(key);
        }
        match added {
            Ok(()) => RunEnd::Open,
            Err(came) => RunEnd::EventMissing { last_event, came },
        }
    }

    fn observe_run_time(&mut self, run_time: Time) {
        let mean = self.mean_run_time.map_or(run_time as f64, |mean| {
            mean as f64 * (1.0 - RUN_TIME_WEIGHT) + run_time as f64 * RUN_TIME_WEIGHT
        });
        self.mean_run_time = Some(mean as Time);
    }

    /// Takes back a command that did not get into the log. [`Schedule::take_proposals`] gives it again, unless a later one finishes its
    /// item.
    pub fn requeue_refused(&mut self, table: &JobTable, command: Command) {
        let Command::FinishItem { job, item, .. } = &command else { return };
        let Some(index) = table.jobs.get(&**job).and_then(|job| job.item_index(item)) else { return };
        let Some((id, plan)) = self.plans.get_key_value(&**job) else { return };
        if plan.items.contains_key(&index) {
            self.refused.insert(plan.queue_key(id, index), command);
        }
    }

    /// Commands to propose, [`MAX_PROPOSALS`] at most: those that were refused, and one for each item that is expired (the time is past
    /// its batch job's `retain_until`), to abandon it.
    pub fn take_proposals(&mut self, table: &JobTable, now: Time) -> Vec<Command> {
        self.plan_more(table);
        let mut commands = Vec::new();
        while commands.len() < MAX_PROPOSALS
            && let Some((_, command)) = self.refused.pop_first()
        {
            commands.push(command);
        }
        while commands.len() < MAX_PROPOSALS
            && let Some(expiry) = self.expiries.first().filter(|(time, _)| *time <= now).cloned()
        {
            let limit = MAX_PROPOSALS - commands.len();
            let abandoned = self.abandon(table, &expiry.1, limit);
            if abandoned.len() < limit {
                self.expiries.remove(&expiry);
            }
            commands.extend(abandoned);
        }
        commands
    }

    /// Commands that abandon items of a batch job which no command finishes yet, `limit` at most.
    fn abandon(&mut self, table: &JobTable, id: &Arc<str>, limit: usize) -> Vec<Command> {
        let Some(job) = table.jobs.get(id) else { return Vec::new() };
        let Some(plan) = self.plans.get(id) else { return Vec::new() };
        let indices: Vec<usize> = plan.unproposed().take(limit).collect();
        let abandon_item = |index: usize| {
            let item = job.items().get(index)?.id.to_string();
            self.mark_proposed(id, index);
            let (outcome, text) = (ItemOutcome::Abandoned, StoredText::default());
            Some(Command::FinishItem { job: id.to_string(), item, outcome, text })
        };
        indices.into_iter().filter_map(abandon_item).collect()
    }

    /// The item does not run again, and an earlier command of it is not proposed again.
    fn mark_proposed(&mut self, job: &Arc<str>, index: usize) {
        let Some(plan) = self.plans.get_mut(job) else { return };
        let key = plan.queue_key(job, index);
        let Some(progress) = plan.items.get_mut(&index) else { return };
        progress.is_proposed = true;
        self.ready.remove(&key);
        self.refused.remove(&key);
    }

    /// Runs that have not ended.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Items that could run now, of those planned so far.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }
}
