use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use rainlug::Time;

use crate::job::{BatchJob, BatchJobHeader};
use crate::{Applied, Command, Item, ItemOutcome, JobTable, StoredText};

/// Commands that one call of [`Schedule::overdue`] gives, at most: its caller proposes them all in one step.
pub const MAX_PROPOSALS: usize = 256;
/// Items whose time is over that one call of [`Schedule::next`] passes over, at most.
const MAX_EXPIRED_SKIPPED: usize = 1024;

/// An item to run now.
#[derive(Clone, Debug)]
pub struct ItemRun {
    pub job: String,
    pub route: String,
    /// The `Host` that the batch job came with.
    pub host: String,
    pub item: Item,
    /// The last event had so far (0: none), to go on after it.
    pub last_event: u64,
    pub deadline: Time,
    /// When the item may be given up.
    pub retain_until: Time,
}

/// How a run ended, for the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The worker's answer was whole.
    Complete,
    /// A 500: one of the tries that the item has.
    Failed,
    /// A 422: it can never be done.
    Unprocessable,
    /// It broke off, and goes on after the last event had.
    Interrupted,
    /// No worker took it.
    NoCapacity,
}

/// The part of the mean time of runs that the newest one makes up.
const NEWEST: f64 = 1.0 / 16.0;

/// Items whose batch jobs one call plans, but for the last one's.
const MAX_ITEMS_PLANNED: usize = 1024;

/// Items in the order in which they run: due time, number of the batch job, place in it. The id at the end finds the plan.
type Turn = (Time, u64, usize, Arc<str>);

/// The owner's plan. It is made anew from the register by whoever becomes the owner. Times are Unix time in microseconds.
///
/// Each command is given to be proposed once: what a leader has in its log stays there until another leader replaces it, and that
/// one has a plan of its own. Only a command that was [refused](Schedule::refused) is given again.
pub struct Schedule {
    /// Batch jobs that the register had when the plan was begun and that are still to be planned, the one due first at the front.
    unplanned: VecDeque<Arc<str>>,
    plans: BTreeMap<Arc<str>, JobPlan>,
    ready: BTreeSet<Turn>,
    /// Runs that have not ended, by batch job and item, and when they began; also of items dropped since.
    running: BTreeMap<(String, String), Time>,
    /// How long whole runs take, on average.
    run_time: Option<Time>,
    /// Commands that were refused, to be proposed again; one an item.
    refused: BTreeMap<Turn, Command>,
    /// Batch jobs that may have items to abandon when their time is over.
    retained: BTreeSet<(Time, Arc<str>)>,
}

struct JobPlan {
    number: u64,
    deadline: Time,
    retain_until: Time,
    max_attempts: u32,
    /// By place; only those still to be listed.
    items: BTreeMap<usize, ItemPlan>,
}

#[derive(Default)]
struct ItemPlan {
    /// Data of the events had so far.
    events: Vec<Bytes>,
    last_event: u64,
    failed: u32,
    /// A command that lists it was given to be proposed.
    is_proposed: bool,
}

impl JobPlan {
    fn turn(&self, job: &Arc<str>, item_index: usize) -> Turn {
        (self.deadline, self.number, item_index, job.clone())
    }

    /// Places of items that no command lists yet.
    fn unproposed(&self) -> impl Iterator<Item = usize> {
        self.items.iter().filter(|(_, item)| !item.is_proposed).map(|(item_index, _)| *item_index)
    }
}

impl Schedule {
    /// All that the register has still to list, with no event had. A large plan is made over the next calls, in the order in which
    /// items run.
    pub fn new(table: &JobTable) -> Self {
        let mut open: Vec<&BatchJob> =
            table.jobs.values().map(|job| &**job).filter(|job| !job.is_closed()).collect();
        open.sort_unstable_by_key(|job| (job.header().deadline, job.header().number));
        let mut schedule = Schedule {
            unplanned: open.into_iter().map(|job| job.id().clone()).collect(),
            plans: BTreeMap::new(),
            ready: BTreeSet::new(),
            running: BTreeMap::new(),
            run_time: None,
            refused: BTreeMap::new(),
            retained: BTreeSet::new(),
        };
        schedule.plan_more(table);
        schedule
    }

    /// Plans further batch jobs as the register has them now.
    fn plan_more(&mut self, table: &JobTable) {
        let mut planned = 0;
        while planned < MAX_ITEMS_PLANNED
            && let Some(id) = self.unplanned.pop_front()
        {
            if let Some(job) = table.jobs.get(&id).filter(|_| !self.plans.contains_key(&id)) {
                planned += job.items().len().max(1);
                self.add(job);
            }
        }
    }

    /// After a command was applied to the register.
    pub fn handle_applied(&mut self, table: &JobTable, command: &Command, applied: Applied) {
        match command {
            Command::Submit { job, .. } => {
                if let (Applied::Accepted, Some(job)) = (applied, table.jobs.get(&**job)) {
                    self.drop_job(&job.header().id);
                    self.add(job);
                }
            }
            Command::FinishItem { job, item, .. } => match table.jobs.get(&**job) {
                Some(found) => {
                    if let Some(item_index) =
                        found.item_index(item).filter(|item_index| !found.is_open(*item_index))
                    {
                        self.drop_item(job, item_index);
                    }
                }
                None => self.drop_job(job),
            },
            Command::End { job, .. } => self.drop_job(job),
            // What is forgotten was dropped when it was ended or listed.
            Command::Forget { .. } => {}
            // The ledger's.
            Command::Reserve { .. } | Command::ReportUsage { .. } => {}
        }
    }

    fn add(&mut self, job: &BatchJob) {
        if job.is_closed() {
            return;
        }
        let id = job.id().clone();
        let items: BTreeMap<_, _> = (0..job.items().len())
            .filter(|item_index| job.is_open(*item_index))
            .map(|item_index| (item_index, ItemPlan::default()))
            .collect();
        self.ready.extend(
            items
                .keys()
                .map(|item_index| (job.header().deadline, job.header().number, *item_index, id.clone())),
        );
        self.retained.insert((job.header().retain_until, id.clone()));
        let BatchJobHeader { number, deadline, retain_until, max_attempts, .. } = **job.header();
        self.plans.insert(id, JobPlan { number, deadline, retain_until, max_attempts, items });
    }

    fn drop_job(&mut self, job: &str) {
        let index_by_id: Vec<_> =
            self.plans.get(job).into_iter().flat_map(|plan| plan.items.keys().copied()).collect();
        index_by_id.into_iter().for_each(|item_index| self.drop_item(job, item_index));
    }

    fn drop_item(&mut self, job: &str, item_index: usize) {
        let Some((id, _)) = self.plans.get_key_value(job) else { return };
        let id = id.clone();
        let Some(plan) = self.plans.get_mut(job) else { return };
        if plan.items.remove(&item_index).is_none() {
            return;
        }
        let turn = plan.turn(&id, item_index);
        self.ready.remove(&turn);
        self.refused.remove(&turn);
        if plan.items.is_empty() {
            self.retained.remove(&(plan.retain_until, id));
            self.plans.remove(job);
        }
    }

    /// The next item to run; it counts as running until `ended`: the one due first of those that can be in time, as long as runs take
    /// of late, and then of the others. Where there is too much to do, what is late already makes nothing else late. Nothing is run
    /// whose time is over. None also where many items have to be passed over; the next call goes on behind them.
    pub fn start_next(&mut self, table: &JobTable, now: Time) -> Option<ItemRun> {
        self.plan_more(table);
        let (deadline, _, item_index, id) = self.pop_in_time(now)?;
        let job = table.jobs.get(&*id)?;
        let item = Item::clone(job.request(item_index)?);
        let last_event = self.plans.get(&id)?.items.get(&item_index)?.last_event;
        self.running.insert((id.to_string(), item.id.clone()), now);
        let BatchJobHeader { route, host, retain_until, .. } = &**job.header();
        let (route, host, retain_until) = (route.clone(), host.clone(), *retain_until);
        Some(ItemRun { job: id.to_string(), route, host, item, last_event, deadline, retain_until })
    }

    /// Takes the first ready item that can be in time, or the first one whose time is not over; those before that one are dropped, and
    /// `overdue` abandons them.
    fn pop_in_time(&mut self, now: Time) -> Option<Turn> {
        let earliest_due = now + self.run_time.unwrap_or(0);
        let timely = self.ready.range((earliest_due, 0, 0, Arc::from(""))..).next().cloned();
        if let Some(turn) = timely {
            self.ready.remove(&turn);
            return Some(turn);
        }
        for _ in 0..MAX_EXPIRED_SKIPPED {
            let turn = self.ready.pop_first()?;
            if self.plans.get(&turn.3).is_some_and(|plan| plan.retain_until > now) {
                return Some(turn);
            }
        }
        None
    }

    /// A run has ended with these further events (id, data). Gives the command to propose where the item can be listed now; nothing
    /// where it was listed or its batch job ended meanwhile. Only events with an id over the last one had are taken.
    pub fn finish_run(
        &mut self,
        table: &JobTable,
        now: Time,
        job: &str,
        item: &str,
        events: Vec<(u64, Bytes)>,
        end: RunOutcome,
    ) -> Option<Command> {
        let begun = self.running.remove(&(job.to_owned(), item.to_owned()))?;
        if end == RunOutcome::Complete {
            self.note_run_time((now - begun).max(0));
        }
        let item_index = table.jobs.get(job)?.item_index(item)?;
        let id = self.plans.get_key_value(job)?.0.clone();
        let plan = self.plans.get_mut(job)?;
        let turn = plan.turn(&id, item_index);
        let kept = plan.items.get_mut(&item_index)?;
        for (event, data) in events {
            if event > kept.last_event {
                kept.last_event = event;
                kept.events.push(data);
            }
        }
        kept.failed = kept.failed.saturating_add(u32::from(end == RunOutcome::Failed));
        let outcome = match end {
            RunOutcome::Complete => Some(ItemOutcome::Complete),
            RunOutcome::Unprocessable => Some(ItemOutcome::Abandoned),
            RunOutcome::Failed if kept.failed >= plan.max_attempts => Some(ItemOutcome::Abandoned),
            RunOutcome::Failed | RunOutcome::Interrupted | RunOutcome::NoCapacity => None,
        };
        let Some(outcome) = outcome else {
            if !kept.is_proposed {
                self.ready.insert(turn);
            }
            return None;
        };
        let text = match outcome {
            ItemOutcome::Complete => StoredText::new(&std::mem::take(&mut kept.events).join(&b'\n')),
            ItemOutcome::Abandoned => StoredText::default(),
        };
        self.mark_proposed(&id, item_index);
        Some(Command::FinishItem { job: job.to_owned(), item: item.to_owned(), outcome, text })
    }

    fn note_run_time(&mut self, took: Time) {
        let mean =
            self.run_time.map_or(took as f64, |mean| mean as f64 * (1.0 - NEWEST) + took as f64 * NEWEST);
        self.run_time = Some(mean as Time);
    }

    /// A command given to be proposed did not get into the log. `overdue` gives it again, unless a later one lists its item.
    pub fn requeue_refused(&mut self, table: &JobTable, command: Command) {
        let Command::FinishItem { job, item, .. } = &command else { return };
        let Some(item_index) = table.jobs.get(&**job).and_then(|job| job.item_index(item)) else { return };
        let Some((id, plan)) = self.plans.get_key_value(&**job) else { return };
        if plan.items.contains_key(&item_index) {
            self.refused.insert(plan.turn(id, item_index), command);
        }
    }

    /// Commands to propose, [`MOST_OVERDUE`] at most: those that were refused, and one for each item whose time (`retain`) is over,
    /// to list it as abandoned.
    pub fn take_proposals(&mut self, table: &JobTable, now: Time) -> Vec<Command> {
        self.plan_more(table);
        let mut commands = Vec::new();
        while commands.len() < MAX_PROPOSALS
            && let Some((_, command)) = self.refused.pop_first()
        {
            commands.push(command);
        }
        while commands.len() < MAX_PROPOSALS
            && let Some((retain_until, id)) =
                self.retained.first().filter(|(retain_until, _)| *retain_until <= now).cloned()
        {
            let limit = MAX_PROPOSALS - commands.len();
            let abandoned = self.abandon(table, &id, limit);
            if abandoned.len() < limit {
                self.retained.remove(&(retain_until, id));
            }
            commands.extend(abandoned);
        }
        commands
    }

    /// Commands that abandon items of a batch job which none lists yet, so many at most.
    fn abandon(&mut self, table: &JobTable, id: &Arc<str>, limit: usize) -> Vec<Command> {
        let Some(job) = table.jobs.get(id) else { return Vec::new() };
        let Some(plan) = self.plans.get(id) else { return Vec::new() };
        let index_by_id: Vec<usize> = plan.unproposed().take(limit).collect();
        index_by_id
            .into_iter()
            .filter_map(|item_index| {
                let item = job.items().get(item_index)?.id.to_string();
                self.mark_proposed(id, item_index);
                let (outcome, text) = (ItemOutcome::Abandoned, StoredText::default());
                Some(Command::FinishItem { job: id.to_string(), item, outcome, text })
            })
            .collect()
    }

    /// The item does not run again. What was refused before of it is not proposed again.
    fn mark_proposed(&mut self, job: &Arc<str>, item_index: usize) {
        let Some(plan) = self.plans.get_mut(job) else { return };
        let turn = plan.turn(job, item_index);
        let Some(item) = plan.items.get_mut(&item_index) else { return };
        item.is_proposed = true;
        self.ready.remove(&turn);
        self.refused.remove(&turn);
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
