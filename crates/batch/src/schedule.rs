use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use rainlug::{SECOND, Time};

use crate::lot::{Lot, LotHead};
use crate::{Applied, Command, Item, Register, State, StoredText};

/// A proposal that was not applied by then is taken as lost and made again: one by the time that is over, and one by a run.
const OVERDUE_AGAIN: Time = SECOND;
const ENDED_AGAIN: Time = 5 * SECOND;

/// An item to run now.
#[derive(Clone, Debug)]
pub struct Next {
    pub lot: String,
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

/// Items in the order in which they run: due time, number of the batch job, place in it. The id at the end finds the plan.
type Turn = (Time, u64, usize, Arc<str>);

/// The owner's plan. It is made anew from the register by whoever becomes the owner. Times are Unix time in microseconds.
pub struct Schedule {
    plans: BTreeMap<Arc<str>, LotPlan>,
    ready: BTreeSet<Turn>,
    /// Runs that have not ended, by batch job and item; also of items dropped since.
    running: BTreeSet<(String, String)>,
    /// When each proposal is made again.
    proposed: BTreeSet<Turn>,
    /// Batch jobs whose time is not over.
    retained: BTreeSet<(Time, Arc<str>)>,
}

struct LotPlan {
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
    proposal: Option<Proposal>,
}

struct Proposal {
    command: Command,
    again: Time,
    pause: Time,
}

impl Schedule {
    /// All that the register has still to list, with no event had.
    pub fn new(register: &Register, _now: Time) -> Self {
        let mut schedule = Schedule {
            plans: BTreeMap::new(),
            ready: BTreeSet::new(),
            running: BTreeSet::new(),
            proposed: BTreeSet::new(),
            retained: BTreeSet::new(),
        };
        register.lots.values().for_each(|lot| schedule.add(lot));
        schedule
    }

    /// After a command was applied to the register.
    pub fn applied(&mut self, register: &Register, command: &Command, applied: Applied) {
        match command {
            Command::Submit { lot, .. } => {
                if let (Applied::Accepted, Some(lot)) = (applied, register.lots.get(&**lot)) {
                    self.drop_lot(&lot.head.id);
                    self.add(lot);
                }
            }
            Command::List { lot, item, .. } => match register.lots.get(&**lot) {
                Some(found) => {
                    if let Some(place) = found.place(item).filter(|place| !found.is_open(*place)) {
                        self.drop_item(lot, place);
                    }
                }
                None => self.drop_lot(lot),
            },
            Command::End { lot, .. } => self.drop_lot(lot),
            // What is forgotten was dropped when it was ended or listed.
            Command::Forget { .. } => {}
            // The ledger's.
            Command::Reserve { .. } | Command::Settle { .. } => {}
        }
    }

    fn add(&mut self, lot: &Lot) {
        if lot.is_closed() {
            return;
        }
        let id = lot.head.id.clone();
        let items: BTreeMap<_, _> = (0..lot.items().len())
            .filter(|place| lot.is_open(*place))
            .map(|place| (place, ItemPlan::default()))
            .collect();
        self.ready.extend(items.keys().map(|place| (lot.head.due, lot.head.number, *place, id.clone())));
        self.retained.insert((lot.head.retain, id.clone()));
        let LotHead { number, due, retain, max_tries, .. } = *lot.head;
        self.plans.insert(id, LotPlan { number, due, retain, max_tries, items });
    }

    fn drop_lot(&mut self, lot: &str) {
        let places: Vec<_> =
            self.plans.get(lot).into_iter().flat_map(|plan| plan.items.keys().copied()).collect();
        places.into_iter().for_each(|place| self.drop_item(lot, place));
    }

    fn drop_item(&mut self, lot: &str, place: usize) {
        let Some((id, _)) = self.plans.get_key_value(lot) else { return };
        let id = id.clone();
        let Some(plan) = self.plans.get_mut(lot) else { return };
        let Some(item) = plan.items.remove(&place) else { return };
        self.ready.remove(&(plan.due, plan.number, place, id.clone()));
        if let Some(proposal) = item.proposal {
            self.proposed.remove(&(proposal.again, plan.number, place, id.clone()));
        }
        if plan.items.is_empty() {
            self.retained.remove(&(plan.retain, id));
            self.plans.remove(lot);
        }
    }

    /// The next item to run, the one due first; it counts as running until `ended`. Nothing is run whose time is over.
    pub fn next(&mut self, register: &Register, now: Time) -> Option<Next> {
        let is_in_time = |turn: &&Turn| self.plans.get(&turn.3).is_some_and(|plan| plan.retain > now);
        let turn = self.ready.iter().find(is_in_time)?.clone();
        self.ready.remove(&turn);
        let (due, _, place, id) = turn;
        let lot = register.lots.get(&*id)?;
        let item = Item::clone(lot.request(place)?);
        let last_event = self.plans.get(&id)?.items.get(&place)?.last_event;
        self.running.insert((id.to_string(), item.id.clone()));
        let LotHead { route, host, retain, .. } = &*lot.head;
        let (route, host, until) = (route.clone(), host.clone(), *retain);
        Some(Next { lot: id.to_string(), route, host, item, last_event, due, until })
    }

    /// A run has ended with these further events (id, data). Gives the command to propose where the item can be listed now; nothing
    /// where it was listed or its batch job ended meanwhile. Only events with an id over the last one had are taken.
    pub fn ended(
        &mut self,
        register: &Register,
        now: Time,
        lot: &str,
        item: &str,
        events: Vec<(u64, Bytes)>,
        end: RunEnd,
    ) -> Option<Command> {
        if !self.running.remove(&(lot.to_owned(), item.to_owned())) {
            return None;
        }
        let place = register.lots.get(lot)?.place(item)?;
        let id = self.plans.get_key_value(lot)?.0.clone();
        let plan = self.plans.get_mut(lot)?;
        let turn = (plan.due, plan.number, place, id.clone());
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
            if kept.proposal.is_none() {
                self.ready.insert(turn);
            }
            return None;
        };
        let text = match state {
            State::Complete => StoredText::new(&std::mem::take(&mut kept.events).join(&b'\n')),
            State::Abandoned => StoredText::default(),
        };
        let command = Command::List { lot: lot.to_owned(), item: item.to_owned(), state, text };
        self.propose(&id, place, &command, now, ENDED_AGAIN);
        Some(command)
    }

    /// Items whose time (`retain`) is over, to be listed as abandoned; and again what was proposed and not applied for a while.
    pub fn overdue(&mut self, register: &Register, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some((again, number, place, id)) =
            self.proposed.first().filter(|turn| turn.0 <= now).cloned()
        {
            self.proposed.remove(&(again, number, place, id.clone()));
            let kept = self.plans.get(&id).and_then(|plan| plan.items.get(&place));
            if let Some((command, pause)) =
                kept.and_then(|kept| kept.proposal.as_ref()).map(|p| (p.command.clone(), p.pause))
            {
                self.propose(&id, place, &command, now, pause);
                commands.push(command);
            }
        }
        while let Some((retain, id)) = self.retained.first().filter(|(retain, _)| *retain <= now).cloned() {
            self.retained.remove(&(retain, id.clone()));
            let Some(plan) = self.plans.get(&id) else { continue };
            let places: Vec<_> = plan
                .items
                .iter()
                .filter(|(_, kept)| kept.proposal.is_none())
                .map(|(place, _)| *place)
                .collect();
            for place in places {
                let Some(item) = register.lots.get(&*id).and_then(|lot| lot.items().get(place)) else {
                    continue;
                };
                let (lot, item) = (id.to_string(), item.id.to_string());
                let command =
                    Command::List { lot, item, state: State::Abandoned, text: StoredText::default() };
                self.propose(&id, place, &command, now, OVERDUE_AGAIN);
                commands.push(command);
            }
        }
        commands
    }

    /// The item does not run again; its command is kept, to be made again after a pause unless it is applied.
    fn propose(&mut self, lot: &Arc<str>, place: usize, command: &Command, now: Time, pause: Time) {
        let Some(plan) = self.plans.get_mut(lot) else { return };
        let Some(kept) = plan.items.get_mut(&place) else { return };
        self.ready.remove(&(plan.due, plan.number, place, lot.clone()));
        let again = now.saturating_add(pause);
        let proposal = Proposal { command: command.clone(), again, pause };
        if let Some(before) = kept.proposal.replace(proposal) {
            self.proposed.remove(&(before.again, plan.number, place, lot.clone()));
        }
        self.proposed.insert((again, plan.number, place, lot.clone()));
    }

    /// Runs that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Items that could run now.
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }
}
