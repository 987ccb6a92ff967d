use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use rainlug::Time;

use crate::job::{BatchJob, BatchJobHeader};
use crate::{Applied, Command, Item, Register, State, StoredText};

/// Commands that one call of [`Schedule::overdue`] gives, at most: its caller proposes them all in one step.
pub const MOST_OVERDUE: usize = 256;
/// Items whose time is over that one call of [`Schedule::next`] passes over, at most.
const MOST_PASSED_OVER: usize = 1024;

/// An item to run now.
#[derive(Clone, Debug)]
pub struct Next {
    pub job: String,
    pub route: String,
    /// The `Host` that the batch job came with.
    pub host: String,
    pub item: Item,
    /// The last event had so far (0: none), to go on after it.
    pub last_event: u64,
    pub due: Time,
    /// When the item may be given up.
    pub until: Time,
}

/// How a run ended, for the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The worker's answer was whole.
    Complete,
    /// A 500: one of the tries that the item has.
    Failed,
    /// A 422: it can never be done.
    Never,
    /// It broke off, and goes on after the last event had.
    Again,
    /// No worker took it.
    NoRoom,
}

/// The part of the mean time of runs that the newest one makes up.
const NEWEST: f64 = 1.0 / 16.0;

/// Items whose batch jobs one call plans, but for the last one's.
const MOST_PLANNED: usize = 1024;

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
    due: Time,
    retain: Time,
    max_tries: u32,
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
    fn turn(&self, job: &Arc<str>, place: usize) -> Turn {
        (self.due, self.number, place, job.clone())
    }

    /// Places of items that no command lists yet.
    fn unproposed(&self) -> impl Iterator<Item = usize> {
        self.items.iter().filter(|(_, item)| !item.is_proposed).map(|(place, _)| *place)
    }
}

impl Schedule {
    /// All that the register has still to list, with no event had. A large plan is made over the next calls, in the order in which
    /// items run.
    pub fn new(register: &Register, _now: Time) -> Self {
        let mut open: Vec<&BatchJob> =
            register.jobs.values().map(|job| &**job).filter(|job| !job.is_closed()).collect();
        open.sort_unstable_by_key(|job| (job.head.due, job.head.number));
        let mut schedule = Schedule {
            unplanned: open.into_iter().map(|job| job.head.id.clone()).collect(),
            plans: BTreeMap::new(),
            ready: BTreeSet::new(),
            running: BTreeMap::new(),
            run_time: None,
            refused: BTreeMap::new(),
            retained: BTreeSet::new(),
        };
        schedule.plan_more(register);
        schedule
    }

    /// Plans further batch jobs as the register has them now.
    fn plan_more(&mut self, register: &Register) {
        let mut planned = 0;
        while planned < MOST_PLANNED
            && let Some(id) = self.unplanned.pop_front()
        {
            if let Some(job) = register.jobs.get(&id).filter(|_| !self.plans.contains_key(&id)) {
                planned += job.items().len().max(1);
                self.add(job);
            }
        }
    }

    /// After a command was applied to the register.
    pub fn applied(&mut self, register: &Register, command: &Command, applied: Applied) {
        match command {
            Command::Submit { job, .. } => {
                if let (Applied::Accepted, Some(job)) = (applied, register.jobs.get(&**job)) {
                    self.drop_job(&job.head.id);
                    self.add(job);
                }
            }
            Command::List { job, item, .. } => match register.jobs.get(&**job) {
                Some(found) => {
                    if let Some(place) = found.place(item).filter(|place| !found.is_open(*place)) {
                        self.drop_item(job, place);
                    }
                }
                None => self.drop_job(job),
            },
            Command::End { job, .. } => self.drop_job(job),
            // What is forgotten was dropped when it was ended or listed.
            Command::Forget { .. } => {}
            // The ledger's.
            Command::Reserve { .. } | Command::Settle { .. } => {}
        }
    }

    fn add(&mut self, job: &BatchJob) {
        if job.is_closed() {
            return;
        }
        let id = job.head.id.clone();
        let items: BTreeMap<_, _> = (0..job.items().len())
            .filter(|place| job.is_open(*place))
            .map(|place| (place, ItemPlan::default()))
            .collect();
        self.ready.extend(items.keys().map(|place| (job.head.due, job.head.number, *place, id.clone())));
        self.retained.insert((job.head.retain, id.clone()));
        let BatchJobHeader { number, due, retain, max_tries, .. } = *job.head;
        self.plans.insert(id, JobPlan { number, due, retain, max_tries, items });
    }

    fn drop_job(&mut self, job: &str) {
        let places: Vec<_> =
            self.plans.get(job).into_iter().flat_map(|plan| plan.items.keys().copied()).collect();
        places.into_iter().for_each(|place| self.drop_item(job, place));
    }

    fn drop_item(&mut self, job: &str, place: usize) {
        let Some((id, _)) = self.plans.get_key_value(job) else { return };
        let id = id.clone();
        let Some(plan) = self.plans.get_mut(job) else { return };
        if plan.items.remove(&place).is_none() {
            return;
        }
        let turn = plan.turn(&id, place);
        self.ready.remove(&turn);
        self.refused.remove(&turn);
        if plan.items.is_empty() {
            self.retained.remove(&(plan.retain, id));
            self.plans.remove(job);
        }
    }

    /// The next item to run; it counts as running until `ended`: the one due first of those that can be in time, as long as runs take
    /// of late, and then of the others. Where there is too much to do, what is late already makes nothing else late. Nothing is run
    /// whose time is over. None also where many items have to be passed over; the next call goes on behind them.
    pub fn next(&mut self, register: &Register, now: Time) -> Option<Next> {
        self.plan_more(register);
        let (due, _, place, id) = self.pop_in_time(now)?;
        let job = register.jobs.get(&*id)?;
        let item = Item::clone(job.request(place)?);
        let last_event = self.plans.get(&id)?.items.get(&place)?.last_event;
        self.running.insert((id.to_string(), item.id.clone()), now);
        let BatchJobHeader { route, host, retain, .. } = &*job.head;
        let (route, host, until) = (route.clone(), host.clone(), *retain);
        Some(Next { job: id.to_string(), route, host, item, last_event, due, until })
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
        for _ in 0..MOST_PASSED_OVER {
            let turn = self.ready.pop_first()?;
            if self.plans.get(&turn.3).is_some_and(|plan| plan.retain > now) {
                return Some(turn);
            }
        }
        None
    }

    /// A run has ended with these further events (id, data). Gives the command to propose where the item can be listed now; nothing
    /// where it was listed or its batch job ended meanwhile. Only events with an id over the last one had are taken.
    pub fn ended(
        &mut self,
        register: &Register,
        now: Time,
        job: &str,
        item: &str,
        events: Vec<(u64, Bytes)>,
        end: RunEnd,
    ) -> Option<Command> {
        let begun = self.running.remove(&(job.to_owned(), item.to_owned()))?;
        if end == RunEnd::Complete {
            self.note_run_time((now - begun).max(0));
        }
        let place = register.jobs.get(job)?.place(item)?;
        let id = self.plans.get_key_value(job)?.0.clone();
        let plan = self.plans.get_mut(job)?;
        let turn = plan.turn(&id, place);
        let kept = plan.items.get_mut(&place)?;
        for (event, data) in events {
            if event > kept.last_event {
                kept.last_event = event;
                kept.events.push(data);
            }
        }
        kept.failed = kept.failed.saturating_add(u32::from(end == RunEnd::Failed));
        let state = match end {
            RunEnd::Complete => Some(State::Complete),
            RunEnd::Never => Some(State::Abandoned),
            RunEnd::Failed if kept.failed >= plan.max_tries => Some(State::Abandoned),
            RunEnd::Failed | RunEnd::Again | RunEnd::NoRoom => None,
        };
        let Some(state) = state else {
            if !kept.is_proposed {
                self.ready.insert(turn);
            }
            return None;
        };
        let text = match state {
            State::Complete => StoredText::new(&std::mem::take(&mut kept.events).join(&b'\n')),
            State::Abandoned => StoredText::default(),
        };
        self.mark_proposed(&id, place);
        Some(Command::List { job: job.to_owned(), item: item.to_owned(), state, text })
    }

    fn note_run_time(&mut self, took: Time) {
        let mean =
            self.run_time.map_or(took as f64, |mean| mean as f64 * (1.0 - NEWEST) + took as f64 * NEWEST);
        self.run_time = Some(mean as Time);
    }

    /// A command given to be proposed did not get into the log. `overdue` gives it again, unless a later one lists its item.
    pub fn refused(&mut self, register: &Register, command: Command) {
        let Command::List { job, item, .. } = &command else { return };
        let Some(place) = register.jobs.get(&**job).and_then(|job| job.place(item)) else { return };
        let Some((id, plan)) = self.plans.get_key_value(&**job) else { return };
        if plan.items.contains_key(&place) {
            self.refused.insert(plan.turn(id, place), command);
        }
    }

    /// Commands to propose, [`MOST_OVERDUE`] at most: those that were refused, and one for each item whose time (`retain`) is over,
    /// to list it as abandoned.
    pub fn overdue(&mut self, register: &Register, now: Time) -> Vec<Command> {
        self.plan_more(register);
        let mut commands = Vec::new();
        while commands.len() < MOST_OVERDUE
            && let Some((_, command)) = self.refused.pop_first()
        {
            commands.push(command);
        }
        while commands.len() < MOST_OVERDUE
            && let Some((retain, id)) = self.retained.first().filter(|(retain, _)| *retain <= now).cloned()
        {
            let most = MOST_OVERDUE - commands.len();
            let abandoned = self.abandon(register, &id, most);
            if abandoned.len() < most {
                self.retained.remove(&(retain, id));
            }
            commands.extend(abandoned);
        }
        commands
    }

    /// Commands that abandon items of a batch job which none lists yet, so many at most.
    fn abandon(&mut self, register: &Register, id: &Arc<str>, most: usize) -> Vec<Command> {
        let Some(job) = register.jobs.get(id) else { return Vec::new() };
        let Some(plan) = self.plans.get(id) else { return Vec::new() };
        let places: Vec<usize> = plan.unproposed().take(most).collect();
        places
            .into_iter()
            .filter_map(|place| {
                let item = job.items().get(place)?.id.to_string();
                self.mark_proposed(id, place);
                let (state, text) = (State::Abandoned, StoredText::default());
                Some(Command::List { job: id.to_string(), item, state, text })
            })
            .collect()
    }

    /// The item does not run again. What was refused before of it is not proposed again.
    fn mark_proposed(&mut self, job: &Arc<str>, place: usize) {
        let Some(plan) = self.plans.get_mut(job) else { return };
        let turn = plan.turn(job, place);
        let Some(item) = plan.items.get_mut(&place) else { return };
        item.is_proposed = true;
        self.ready.remove(&turn);
        self.refused.remove(&turn);
    }

    /// Runs that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Items that could run now, of those planned so far.
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }
}
