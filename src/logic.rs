//! The dispatcher: every event of a task, a worker or the list comes in here, and every decision is taken under it.
//! How to call it: make a [`Dispatcher`] with `start`, then hand it each event with a [`Moment`]: the time
//! and an `Outgoing` for decisions (`lib.rs`). Its fields are in `dispatcher.rs`, what it remembers and counts is in
//! `state.rs`. A task runs down the chain `STAGES`, and how its assignments end runs up it; the decisions stand by
//! concern in the modules here, in `shares` and in `turns`.

mod admission;
pub(crate) mod health;
mod placement;
mod retries;
mod slow_start;
mod subset;

pub use crate::dispatcher::Dispatcher;
use crate::dispatcher::{Ledger, Step};
pub use crate::shares::{Station, shares};
use crate::state::{Chance, Desk, Fleet, Part, Pulse, Seen, Task, seconds};
use crate::{Allowed, Effect, Known, Lessons, Listed, Moment, Obligations, Outcome, Place, Report};
use crate::{SECOND, State, Time, Weights, Workload};

/// Between two solves of the shares; every other length of time here is a ratio to it or to a setting.
const SOLVE: Time = 5 * SECOND;
/// The dispatcher looks at its probes, its cold workers and its list this often.
const BEAT: Time = SOLVE / 20;
/// Dispatchers that feed one worker, where there are twice as many or more: each keeps to its part of the
/// fleet. With no second copy to find room, the fewer that each sees much of what its workers do.
const FEEDERS: [usize; 2] = [3, 12];
/// Probes for each own task, at most.
const PROBES: f64 = 4.0;

type Down = fn(&mut Dispatcher, &mut Moment, u64) -> Step;
type Up = fn(&mut Dispatcher, Time, u64, usize, Outcome);

/// The chain: what each stage does with a task on its way down, and with an outcome on its way up.
const STAGES: [(Down, Up); 3] = [
    (Dispatcher::permitted, |to, _, n, nth, end| to.desk.enter(n, nth, end)),
    (Dispatcher::placed, Dispatcher::judged),
    (Dispatcher::waiting, |_, _, _, _, _| {}),
];

impl Dispatcher {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        m: &mut Moment,
        place: Place,
        workloads: Vec<Workload>,
        quotas: Vec<f64>,
        weights: Weights,
        allowed: Allowed,
        obligations: Obligations,
        known: Known,
    ) -> Self {
        let mut chance = Chance { seed: place.seed, drawn: 0 };
        let effects = workloads.iter().map(|w| w.effect).collect();
        let parts = (place.group_size / FEEDERS[usize::from(allowed.copies)]).max(1);
        // Dispatchers that start together must neither ask nor solve together.
        let spread = (SOLVE / 10 * parts as Time).min(obligations.must_ask_in.max(SOLVE) / 2);
        let ask_at = allowed.must_ask.then(|| m.now + (chance.draw() * spread as f64) as Time);
        m.out.wake(m.now + (chance.draw() * BEAT as f64) as Time, 0);
        // Where load is told late, and many dispatchers each see little, copies find out where there is room.
        let copies = parts > 1 && allowed.withdrawal && known.tells_start && !known.reports_by_probe;
        let beats = (chance.draw() * SOLVE as f64) as u64 / BEAT as u64;
        Dispatcher {
            place,
            processes: 1,
            sole: workloads.iter().all(|w| w.effect != Effect::Idempotent),
            chance,
            ledger: Ledger { effects, assignments: allowed.assignments, copies: copies && allowed.copies },
            allowed,
            obligations,
            known,
            fleet: Fleet::of(place.index / parts),
            parts,
            live: place.group_size,
            places: parts as f64,
            part: Part::default(),
            desk: Desk::default(),
            seen: Seen::since(m.now, SOLVE, workloads.iter().map(|w| seconds(w.due)).collect(), quotas),
            pulse: Pulse { beats, ask_at, ..Pulse::default() },
            workloads,
            weights,
        }
    }

    /// What the list says: changes, or everything; `cached` is what it said to an earlier process.
    pub fn list(&mut self, m: &mut Moment, everything: bool, cached: bool, entries: &[Listed]) {
        if !cached {
            // Live weights change all of the list all the time: a watch held for them leaves others no room.
            let again = self.obligations.must_ask_in as f64 * (0.8 + 0.15 * self.chance.draw());
            let brief = self.allowed.must_ask && self.known.live_weights;
            (self.pulse.asks_failed, self.pulse.ask_at) = (0, brief.then(|| m.now + again as Time));
        }
        let mut changed = everything || self.part.workers.is_empty();
        self.fleet.workers.iter_mut().filter(|_| everything).for_each(|w| w.state = State::Gone);
        for entry in entries {
            let (j, new, moved) = self.fleet.enter(entry);
            changed |= (new || moved) && (self.parts == 1 || self.part.workers.contains(&j));
            // A new start time is a new process.
            if new {
                self.renew(m.now, j, entry.started);
            }
            if self.known.live_weights && !cached {
                self.fleet.workers[j].weighed(m.now, entry.weight);
            }
        }
        if changed {
            self.solve(m.now);
        }
        self.move_on(m);
    }

    /// Staff take a worker out or give it back, whatever the list says; then it is a process that starts now.
    pub fn hand(&mut self, m: &mut Moment, id: &str, out: bool) {
        let Some(j) = self.fleet.hand(id, out) else { return };
        if !out {
            self.renew(m.now, j, Some(m.now));
            self.fleet.workers[j].give_back(m.now);
        }
        self.solve(m.now);
        self.move_on(m);
    }

    /// Which numbers of the group live, as known for some time. Whoever is gone leaves its place to the one
    /// before, and parts grow as the living are fewer. What bounds a sum over all goes by the whole group.
    pub fn group(&mut self, m: &mut Moment, living: &[usize]) {
        let own = self.place.index % self.parts;
        let number = |k: &usize| self.place.index - own + (own + k) % self.parts;
        let there = |k: &usize| number(k) >= self.place.group_size || living.contains(&number(k));
        let gap = (1..self.parts).find(there).unwrap_or(self.parts) as f64;
        self.live = living.len().max(1);
        self.places = self.parts as f64 / gap.max(self.place.group_size as f64 / self.live as f64);
        self.solve(m.now);
        self.move_on(m);
    }

    /// Takes over what the process before has learnt, with its age, before any task. It warms no worker.
    pub fn recall(&mut self, m: &mut Moment, lessons: Lessons) {
        lessons.teach(&mut self.seen, &mut self.fleet, -self.chance.draw());
        self.solve(m.now);
        self.move_on(m);
    }

    /// Asks again, spread out and ever later, but never so late that the list counts as known unread.
    pub fn list_failed(&mut self, now: Time) {
        let longest = self.obligations.must_ask_in.max(SOLVE);
        let first = SOLVE / 10 * self.parts as Time;
        let pause = (first << self.pulse.asks_failed.min(8)).min(longest) as f64 * (0.5 + self.chance.draw());
        self.pulse.asks_failed += 1;
        self.pulse.ask_at = self.allowed.must_ask.then(|| now + pause as Time);
    }

    /// A task has come, of a workload and a customer; `budget` is the time its client will wait.
    pub fn task(&mut self, m: &mut Moment, id: &str, of: (usize, Option<usize>), budget: Time, slots: f64) {
        let (workload, customer) = of;
        let Some(load) = self.workloads.get(workload) else { return m.out.abandon(id) };
        self.seen.arrival(m.now, workload, customer, budget);
        let within_share = self.seen.within_share(m.now, customer, self.live as f64);
        let expiry = self.desk.last_call(m.now + budget);
        // How long its client has waited in earlier tries, if all begin with the longest time; not where late
        // answers earn something, nor of one that comes with less than a whole due time: it is impatient.
        let again = load.overdue <= 0.0 && budget > self.due_within(m.now, workload, 0.0);
        let arrived = m.now - if again { self.seen.longest[workload] - budget } else { 0 };
        let (id, slots) = (id.to_owned(), slots.max(1.0));
        let task = Task { id, workload, slots, arrived, expiry, within_share, ..Task::default() };
        let n = self.desk.take(task);
        m.out.wake(expiry, n);
        self.down(m, n);
    }

    fn down(&mut self, m: &mut Moment, n: u64) {
        for (stage, _) in STAGES {
            match stage(self, m, n) {
                Step::Pass => {}
                Step::Keep => return,
                Step::End => return self.answer(m, n),
            }
        }
    }

    /// An answered task goes nowhere any more: what is still out is withdrawn.
    fn close(&mut self, m: &mut Moment, n: u64) {
        let Some((id, open)) = self.desk.close(n) else { return };
        open.iter().filter(|_| self.allowed.withdrawal).for_each(|i| m.out.withdraw(&id, *i));
    }

    /// A job told that it started, or how far it is: a sign of life.
    pub fn sign(&mut self, m: &mut Moment, id: &str, assignment: usize) {
        let Some((n, task)) = self.desk.named(id) else { return };
        let Some(a) = task.assignments.get_mut(assignment) else { return };
        let worker = &mut self.fleet.workers[a.worker];
        worker.heard(m.now);
        a.heard = m.now;
        if a.started.is_none() {
            a.started = Some(m.now);
            worker.starts(m.now, a.sent, n);
            self.seen.start(m.now, seconds(m.now - a.sent));
            // The first copy to start is the one that stays.
            let others: Vec<usize> = task.open().filter(|i| *i != assignment).collect();
            let first = others.iter().all(|i| task.assignments[*i].started.is_none());
            others.iter().filter(|_| first).for_each(|i| m.out.withdraw(&task.id, *i));
            self.move_on(m);
        }
    }

    /// How an assignment ended; `closed` tells that the client has its answer.
    pub fn ended(&mut self, m: &mut Moment, id: &str, nth: usize, end: (Outcome, bool), report: Report) {
        let Some((n, task)) = self.desk.named(id) else { return };
        let Some(a) = task.assignments.get(nth).filter(|a| a.outcome.is_none()) else { return };
        self.fleet.workers[a.worker].report(m.now, report);
        for (_, stage) in STAGES.iter().rev() {
            stage(self, m.now, n, nth, end.0);
        }
        if end.1 {
            self.earn(m.now, n, end.0 == Outcome::Finished);
            self.close(m, n);
        } else if self.desk.get(n).is_some_and(|t| t.out() == 0) {
            self.down(m, n);
        }
        self.desk.clear(n);
        self.move_on(m);
    }

    pub fn probed(&mut self, m: &mut Moment, worker: &str, outcome: Outcome, report: Report) {
        let Some(j) = self.fleet.named(worker).filter(|_| outcome == Outcome::Finished) else { return };
        self.fleet.workers[j].report(m.now, report);
        self.move_on(m);
    }

    /// The process ends: every task must have its answer by then, also those that still come.
    pub fn closing(&mut self, m: &mut Moment, by: Time) {
        self.desk.call_by(by).iter().for_each(|n| m.out.wake(by, *n));
    }

    pub fn left(&mut self, m: &mut Moment, id: &str) {
        let Some((n, _)) = self.desk.named(id) else { return };
        self.close(m, n);
    }

    /// Room may have appeared: held tasks move on, the best first, until one finds none.
    fn move_on(&mut self, m: &mut Moment) {
        while let Some(n) = self.desk.first_held() {
            self.down(m, n);
            if self.desk.first_held() == Some(n) {
                return;
            }
        }
    }

    /// A wake is due: a task's by its number, or the dispatcher's own beat.
    pub fn due(&mut self, m: &mut Moment, mark: u64) {
        if mark > 0 {
            return self.down(m, mark);
        }
        m.out.wake(m.now + BEAT, 0);
        if self.pulse.ask_at.is_some_and(|at| at <= m.now) {
            self.pulse.ask_at = Some(m.now + self.obligations.must_ask_in / 2);
            m.out.follow();
        }
        // What probes may cost grows with own tasks: hundreds of dispatchers that probe all sink the fleet.
        if self.allowed.probes && self.known.reports_by_probe {
            let earned = PROBES * self.seen.rate(m.now) * seconds(BEAT);
            for nth in self.pulse.probes(earned, self.part.workers.len() / 2) {
                m.out.probe(&self.fleet.workers[self.part.workers[nth % self.part.workers.len()]].id);
            }
        }
        let (all, ready) = (self.place.group_size.max(1), self.fleet.ready().max(1));
        let feeders = (all * self.part.workers.len()).div_ceil(ready).clamp(1, all) * self.processes;
        (0..self.part.workers.len()).for_each(|i| self.warm(m, self.part.workers[i], feeders as f64));
        match self.pulse.beat((SOLVE / BEAT) as u64) {
            true => self.solve(m.now),
            false => self.lean(m.now),
        }
        self.move_on(m);
    }
}
