//! The module's actor: it alone owns the dispatcher, hands it each event and carries out what it decides. It never
//! waits for another actor.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use rainlug::logic::Dispatcher;
use rainlug::{Listed, Moment, Outcome, Outgoing, Report, State, Time};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::sleep_until;

use super::budgets::{self, Budgets};
use super::outcome::outcome;
use super::worker::{self, Order, Reach, Standing};
use super::{Answer, Mail, Parcel, broken};
use crate::protocol::words::Entry;
use crate::transport::End;

/// A task that is owed an answer or has assignments out.
struct Held {
    parcel: Rc<Parcel>,
    client: Option<oneshot::Sender<Answer>>,
    expiry: Time,
    assignments: Vec<Way>,
    /// What each assignment holds of a budget.
    counted: Vec<Option<budgets::Held>>,
}

/// How far an assignment is.
enum Way {
    /// Dropping this gives it up.
    Out {
        _hold: oneshot::Sender<()>,
    },
    GivenUp,
    Ended,
}

/// A worker's mailbox and what its actor is told of its standing.
struct Actor {
    mailbox: mpsc::Sender<Order>,
    standing: watch::Sender<Standing>,
}

/// Where the dispatcher's decisions go.
pub struct Desk {
    reach: Rc<Reach>,
    held: HashMap<String, Held>,
    workers: HashMap<String, Actor>,
    /// The list as last told, and whether its source has said any of it to this process.
    listed: BTreeMap<String, Entry>,
    told: bool,
    wakes: BinaryHeap<Reverse<(Time, u64, u64)>>,
    count: u64,
    /// Ends of assignments and probes that found their worker's mailbox full.
    unsent: VecDeque<(Rc<Parcel>, usize)>,
    unprobed: VecDeque<String>,
    asked: Option<Rc<Notify>>,
    /// What the fleet has in common, where that is kept.
    budgets: Option<Rc<Budgets>>,
    /// Told when the list has said something.
    heard: Rc<Notify>,
}

impl Desk {
    pub fn new(reach: Rc<Reach>, asked: Option<Rc<Notify>>, heard: Rc<Notify>) -> Self {
        Desk {
            reach,
            held: HashMap::new(),
            workers: HashMap::new(),
            listed: BTreeMap::new(),
            told: false,
            wakes: BinaryHeap::new(),
            count: 0,
            unsent: VecDeque::new(),
            unprobed: VecDeque::new(),
            asked,
            budgets: None,
            heard,
        }
    }

    /// From now on what goes out is counted.
    pub fn counts(&mut self, budgets: Rc<Budgets>) {
        self.budgets = Some(budgets);
    }

    /// Tells the workers' actors what the list says, before the module hears of it.
    pub fn listed(&mut self, everything: bool, mut entries: Vec<Entry>) -> Vec<Listed> {
        if broken() == "drains" {
            entries
                .iter_mut()
                .filter(|e| e.0.state == State::Draining)
                .for_each(|e| e.0.state = State::Ready);
        }
        if everything {
            self.listed.clear();
            let named: HashSet<&str> = entries.iter().map(|(e, _)| e.id.as_str()).collect();
            for (_, actor) in self.workers.iter().filter(|(id, _)| !named.contains(id.as_str())) {
                actor.standing.send_if_modified(|s| std::mem::replace(&mut s.1, State::Gone) != State::Gone);
            }
        }
        for (entry, at) in &entries {
            self.listed.insert(entry.id.clone(), (entry.clone(), *at));
            let told = (*at, entry.state, entry.started);
            if let Some(actor) = self.workers.get(&entry.id) {
                // A drain alone leaves the connections as they are.
                actor.standing.send_if_modified(|s| {
                    let before = std::mem::replace(s, told);
                    (before.0, before.2) != (told.0, told.2) || told.1 == State::Gone
                });
            } else {
                let (standing, follows) = watch::channel(told);
                let mailbox = worker::start(entry.id.clone(), follows, self.reach.clone());
                self.workers.insert(entry.id.clone(), Actor { mailbox, standing });
            }
        }
        self.listed.retain(|_, (entry, _)| entry.state != State::Gone);
        entries.into_iter().map(|(entry, _)| entry).collect()
    }

    fn now(&self) -> Time {
        self.reach.clock.now()
    }

    fn answer(&mut self, task: &str, answer: Answer) {
        self.budgets.iter().for_each(|budgets| budgets.answered(task));
        if let Some(client) = self.held.get_mut(task).and_then(|h| h.client.take()) {
            trace!(self.now(), "answer {task} {}", answer.word());
            tell(client, answer);
        }
        self.forget(task);
    }

    /// Forgets a task that is owed nothing and has nothing out.
    fn forget(&mut self, task: &str) {
        let over = |h: &Held| h.client.is_none() && h.assignments.iter().all(|a| matches!(a, Way::Ended));
        if self.held.get(task).is_some_and(over) {
            self.held.remove(task);
        }
    }

    /// The task, if it is still the one that the parcel is of.
    fn of(&mut self, parcel: &Rc<Parcel>) -> Option<&mut Held> {
        self.held.get_mut(&parcel.id).filter(|h| Rc::ptr_eq(&h.parcel, parcel))
    }
}

fn tell(client: oneshot::Sender<Answer>, answer: Answer) {
    if broken() == "answers" {
        // Its task is never answered, and stays with it as long as the process lives.
        return std::mem::forget(client);
    }
    // A client that has gone says so itself.
    let _ = client.send(answer);
}

impl Outgoing for Desk {
    fn assign(&mut self, task: &str, worker: &str) {
        // Taken in any case: it must not count for the next one.
        let (counted, until) = self.budgets.as_ref().map_or((None, Time::MAX), |b| b.counted());
        let Some(held) = self.held.get_mut(task) else { return };
        let (nth, parcel) = (held.assignments.len(), held.parcel.clone());
        trace!(self.reach.clock.now(), "assign {task} {nth} {worker}");
        let (hold, given_up) = oneshot::channel();
        held.assignments.push(Way::Out { _hold: hold });
        held.counted.push(counted);
        let order = Order::Assign { parcel: parcel.clone(), nth, expiry: held.expiry, until, given_up };
        if self.workers.get(worker).is_none_or(|w| w.mailbox.try_send(order).is_err()) {
            self.unsent.push_back((parcel, nth));
        }
    }

    fn withdraw(&mut self, task: &str, assignment: usize) {
        let way = self.held.get_mut(task).and_then(|h| h.assignments.get_mut(assignment));
        if let Some(way) = way.filter(|w| matches!(w, Way::Out { .. })) {
            *way = Way::GivenUp;
            trace!(self.now(), "withdraw {task} {assignment}");
        }
    }

    fn bounce(&mut self, task: &str, pause: Time) {
        self.answer(task, Answer::Bounced(pause));
    }

    fn abandon(&mut self, task: &str) {
        self.answer(task, Answer::Abandoned);
    }

    fn wake(&mut self, at: Time, mark: u64) {
        self.count += 1;
        self.wakes.push(Reverse((at, self.count, mark)));
    }

    fn may(&mut self, task: &str, mark: u64, workload: usize, again: bool) -> Result<(), Time> {
        let Some(budgets) = &self.budgets else { return Ok(()) };
        let found = budgets.may(task, mark, workload, again);
        if let Err(at) = found {
            self.wake(at, mark);
        }
        found
    }

    fn room(&mut self, worker: &str, wants: f64) -> Option<f64> {
        self.budgets.as_ref()?.room(worker, wants)
    }

    fn probe(&mut self, worker: &str) {
        trace!(self.now(), "probe {worker}");
        if self.workers.get(worker).is_none_or(|w| w.mailbox.try_send(Order::Probe).is_err()) {
            self.unprobed.push_back(worker.to_owned());
        }
    }

    fn follow(&mut self) {
        if let Some(asked) = &self.asked {
            asked.notify_one();
        }
    }
}

/// Hands the dispatcher what comes, until all who send have gone.
/// Staff's words come first: their answers must not wait behind tasks.
pub async fn run(
    mut logic: Dispatcher,
    mut desk: Desk,
    mut words: mpsc::Receiver<Mail>,
    mut mailbox: mpsc::Receiver<Mail>,
) {
    loop {
        let next = desk.wakes.peek().map_or(Time::MAX, |Reverse((at, ..))| *at);
        let budgets = desk.budgets.clone();
        let next = budgets.iter().map(|b| b.release()).fold(next, Time::min);
        let more = async {
            match &budgets {
                Some(budgets) => budgets.more.notified().await,
                None => std::future::pending().await,
            }
        };
        let mail = tokio::select! {
            biased;
            Some(word) = words.recv() => Some(word),
            mail = mailbox.recv() => match mail {
                Some(mail) => Some(mail),
                None => return,
            },
            () = sleep_until(desk.reach.clock.instant(next)) => None,
            () = more => None,
        };
        wake(&mut logic, &mut desk);
        if let Some(mail) = mail {
            take(&mut logic, &mut desk, mail);
        }
        while let Some(mark) = budgets.as_ref().and_then(|b| b.released()) {
            let now = desk.now();
            logic.due(&mut Moment { now, out: &mut desk }, mark);
        }
        turn_back(&mut logic, &mut desk);
    }
}

fn wake(logic: &mut Dispatcher, desk: &mut Desk) {
    while let Some(Reverse((at, _, mark))) = desk.wakes.peek().copied() {
        let now = desk.now();
        if at > now {
            return;
        }
        desk.wakes.pop();
        logic.due(&mut Moment { now, out: desk }, mark);
        if mark == 0 {
            desk.reach.figures.listed(logic.listed(now));
            trace!(now, "standing {}", logic.standing(now));
        }
    }
}

/// What could not be sent ends in the event that decided it, as one of its own.
fn turn_back(logic: &mut Dispatcher, desk: &mut Desk) {
    while let Some((parcel, nth)) = desk.unsent.pop_front() {
        ended(logic, desk, &parcel, nth, End::NoRoom, Report::default(), Bytes::new());
    }
    while let Some(worker) = desk.unprobed.pop_front() {
        let now = desk.now();
        logic.probed(&mut Moment { now, out: desk }, &worker, outcome(End::NoRoom), Report::default());
    }
}

fn take(logic: &mut Dispatcher, desk: &mut Desk, mail: Mail) {
    let now = desk.now();
    match mail {
        Mail::Task { parcel, of, at, budget, slots, client } => {
            // A second task of an id that is still held must not disturb the first: its client is told by the drop.
            if desk.held.contains_key(&parcel.id) {
                return;
            }
            trace!(now, "task {} {} {budget}", parcel.id, of.0);
            let expiry = at + budget;
            let held = Held {
                parcel: parcel.clone(),
                client: Some(client),
                expiry,
                assignments: Vec::new(),
                counted: Vec::new(),
            };
            desk.held.insert(parcel.id.clone(), held);
            logic.task(&mut Moment { now, out: desk }, &parcel.id, of, expiry - now, slots);
        }
        Mail::Left(parcel) => {
            let Some(held) = desk.of(&parcel) else { return };
            if held.client.take().is_some() {
                logic.left(&mut Moment { now, out: desk }, &parcel.id);
                desk.forget(&parcel.id);
            }
        }
        Mail::Sign(parcel, nth) => {
            if desk.of(&parcel).is_some() {
                trace!(now, "sign {} {nth}", parcel.id);
                logic.sign(&mut Moment { now, out: desk }, &parcel.id, nth);
            }
        }
        Mail::Ended { parcel, nth, end, report, result } => {
            ended(logic, desk, &parcel, nth, end, report, result);
        }
        Mail::Probed { worker, end, report } => {
            logic.probed(&mut Moment { now, out: desk }, &worker, outcome(end), report);
        }
        Mail::List { everything, entries } => {
            trace!(now, "list {} {}", if everything { "whole" } else { "changes" }, entries.len());
            let entries = desk.listed(everything, entries);
            logic.list(&mut Moment { now, out: desk }, everything, false, &entries);
            desk.told = true;
            desk.heard.notify_one();
            desk.reach.figures.listed(logic.listed(now));
        }
        Mail::Hand { worker, out, known } => {
            let actor = desk.workers.get(&worker);
            if let Some(actor) = actor {
                // Its process is about to be restarted, or was: idle connections are of no use.
                actor.standing.send_modify(|_| ());
            }
            let binds = known.is_none() || actor.is_some();
            if let Some(known) = known {
                let _ = known.send(binds);
            }
            if binds {
                trace!(now, "hand {worker} {out}");
                logic.hand(&mut Moment { now, out: desk }, &worker, out);
                desk.reach.figures.listed(logic.listed(now));
            }
        }
        Mail::Teach(to) => {
            let _ = to.send((desk.listed.values().cloned().collect(), logic.lessons()));
        }
        Mail::Learn(entries, lessons) => {
            trace!(now, "learnt {}", entries.len());
            // The source's own word is newer.
            if !desk.told {
                let entries = desk.listed(true, entries);
                logic.list(&mut Moment { now, out: desk }, true, true, &entries);
            }
            logic.recall(&mut Moment { now, out: desk }, *lessons);
            desk.reach.figures.listed(logic.listed(now));
        }
        Mail::Beside(others) => logic.beside(others),
        Mail::Group(living) => {
            trace!(now, "group {}", living.len());
            logic.group(&mut Moment { now, out: desk }, &living);
        }
        Mail::ListFailed => logic.list_failed(now),
        Mail::Closing(by) => logic.closing(&mut Moment { now, out: desk }, by),
    }
}

/// An assignment has ended: the first that is finished answers the client.
fn ended(
    logic: &mut Dispatcher,
    desk: &mut Desk,
    parcel: &Rc<Parcel>,
    nth: usize,
    end: End,
    report: Report,
    result: Bytes,
) {
    let now = desk.now();
    let Some(held) = desk.of(parcel) else { return };
    held.assignments[nth] = Way::Ended;
    let outcome = outcome(end);
    let counted = held.counted.get_mut(nth).and_then(Option::take);
    trace!(now, "end {} {nth} {end:?}", parcel.id);
    if let Some(client) = held.client.take_if(|_| outcome == Outcome::Finished) {
        trace!(now, "answer {} finished", parcel.id);
        tell(client, Answer::Finished(result));
    }
    let closed = held.client.is_none();
    if let Some((budgets, counted)) = desk.budgets.as_ref().zip(counted) {
        // What was given up, or not heard of again, may run as long as anything may.
        let over = outcome.never_ran() || matches!(outcome, Outcome::Finished | Outcome::Failed);
        budgets.ended(counted, over);
    }
    logic.ended(&mut Moment { now, out: desk }, &parcel.id, nth, (outcome, closed), report);
    desk.forget(&parcel.id);
}
