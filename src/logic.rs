//! Every decision of rainlug: which worker a task goes to, when it waits, and how it ends.
//! How to call it: make a [`Dispatcher`] with `start`, then hand it each event with a [`Moment`]: the time
//! and an `Outgoing` for decisions (`lib.rs`). What is remembered and counted is in `state.rs`. A task runs
//! down the chain `STAGES`, and how its assignments end runs up it. Shares are solved by the M/G/1 model
//! (`shares`), turns taken by a billiard inside them (`placed`): docs/design.md tells where that is from.

use crate::state::{
    Assignment, Chance, Cold, Desk, Fleet, Part, Pulse, Seen, Task, Worker, micros, seconds, worst,
};
use crate::{Allowed, Effect, Group, Known, Lessons, Listed, Moment, Obligations, Outcome, Place, Report};
use crate::{SECOND, State, Time, Weights, Workload};

/// Between two solves of the shares; every other length of time below is a ratio to it or to a setting.
const SOLVE: Time = 5 * SECOND;
/// The dispatcher looks at its probes, its cold workers and its list this often.
const BEAT: Time = SOLVE / 20;
/// Jobs in flight under which no worker is skipped for having twice the mean.
const SKIP_FLOOR: f64 = 2.0;
/// Tasks that a θ must rest on, over those of a mean worker, to count as much as the mean θ.
const FEW: f64 = 0.1;
/// Part of a revenue over which a crossing is worse than a queue; with copies, for each part of five at most.
const DEAR: f64 = 0.04;
/// How far turns lean to near workers for each part of their time that far ones are busier.
const LEAN: f64 = 4.0;
/// A lean under this sends no task to a far worker while a near one has no queue.
const NEAR: f64 = 0.25;
/// Part of all turns that an unseen workload is given.
const UNSEEN: f64 = 0.01;
/// A silence this many times the mean gap is suspect: it has odds of e^-6 among the gaps seen before.
const SILENT: f64 = 6.0;
/// Progress that is told of a job this many times as long ago as it is due has been lost.
const OVERDUE: f64 = 1.25;
/// Errors in this part of a workload's tasks at a worker keep the workload away.
const ERRONEOUS: f64 = 0.25;
/// Part of the cold budget that is used, the rest being room for chance and heavy tasks.
const COLD_USE: f64 = 0.4;
/// Part of the fingerprint window that is used.
const WINDOW_USE: f64 = 0.9;
/// Utilisation is taken as no higher, and the fleet is asked to carry no more, than this.
const FULL: f64 = 0.95;
/// Dispatchers that feed one worker, where there are twice as many or more: each keeps to its part of the
/// fleet. With no second copy to find room, the fewer that each sees much of what its workers do.
const FEEDERS: [usize; 2] = [3, 12];
/// Workers of either side in a part, at least: one may be lost.
const LEAST: usize = 2;
/// Probes for each own task, at most.
const PROBES: f64 = 4.0;
/// Parts of its due time after which a bounced task may come back, perhaps to another dispatcher.
const BACK: Time = 4;
/// Running times before its due time at which a task must have started, if it is worth as much as the mean.
const HOPE: f64 = 1.5;
/// Part of a workload's running time after which a task that has not started is sent a second way.
const PATIENCE: f64 = 1.0 / 16.0;

/// A worker as Algorithm 1 sees it. Times are seconds of the whole worker, not of a core (Eq. 16).
#[derive(Clone, Copy, Debug)]
pub struct Station {
    /// Mean time of a task, θ.
    pub theta: f64,
    /// Second moment of that time, ω; the same for work of others, µ.
    pub omega: f64,
    /// Utilisation by others, ρ.
    pub rho: f64,
}

impl Station {
    /// ψ: the marginal response time of the first task sent here (Eq. 14).
    fn psi(&self) -> f64 {
        let a = 1.0 - self.rho;
        self.rho / self.theta * self.omega / (2.0 * a * a) + self.theta / a
    }

    /// Tasks a second at which the marginal response time is z (Eq. 7).
    fn rate(&self, z: f64) -> f64 {
        let (a, w) = (1.0 - self.rho, self.omega);
        let below = 2.0 * self.theta * a * z + (w - 2.0 * self.theta * self.theta);
        let kept = if below > 0.0 { (a * (w * a + self.rho * w) / below).sqrt() } else { a };
        ((a - kept) / self.theta).max(0.0)
    }
}

/// Algorithm 1 (PAP): shares of `rate` tasks a second, or nothing where it has no solution.
pub fn shares(stations: &[Station], rate: f64) -> Option<Vec<f64>> {
    let sound = |s: &Station| s.theta > 0.0 && s.omega > 0.0 && (0.0..1.0).contains(&s.rho);
    let most: f64 = stations.iter().map(|s| (1.0 - s.rho) / s.theta).sum();
    if !stations.iter().all(sound) || rate.is_nan() || rate <= 0.0 || rate >= most {
        return None;
    }
    let carried = |z: f64, among: &[usize]| among.iter().map(|&j| stations[j].rate(z)).sum::<f64>();
    let mut order: Vec<usize> = (0..stations.len()).collect();
    order.sort_by(|&i, &j| stations[i].psi().total_cmp(&stations[j].psi()).then(i.cmp(&j)));
    // Eq. 15, the largest k: at ψk the first k carry no more than there is.
    let fits = |k: &usize| carried(stations[order[k - 1]].psi(), &order[..*k]) <= rate;
    let k = (1..=order.len()).rev().find(fits)?;
    let admitted = &order[..k];
    let mut low = stations[admitted[k - 1]].psi();
    let mut high = 2.0 * low;
    while carried(high, admitted) < rate && high.is_finite() {
        high *= 2.0;
    }
    // Relative as well: reports of next to no rate make z so large that its halves are no finer than 0.001.
    while high - low > (1e-9 * high).max(0.001) {
        let z = (low + high) / 2.0;
        if carried(z, admitted) <= rate { low = z } else { high = z }
    }
    let mut found = vec![0.0; stations.len()];
    admitted.iter().for_each(|&j| found[j] = stations[j].rate(high));
    let sum: f64 = found.iter().sum();
    (sum > 0.0).then(|| found.iter().map(|r| r / sum).collect())
}

/// The ledger of effects. Every path that assigns or bounces asks it.
pub(crate) struct Ledger {
    effects: Vec<Effect>,
    assignments: usize,
    copies: bool,
}

impl Ledger {
    /// Whether the task may be assigned to `to` now, by what became of its earlier assignments.
    fn may_assign(&self, now: Time, task: &Task, to: &Worker, workers: &[Worker]) -> bool {
        if task.assignments.len() >= self.assignments || (task.out() > 0 && !self.may_copy(task)) {
            return false;
        }
        let Some(first) = task.assignments.iter().find(|a| !a.never_ran()) else { return true };
        match self.effects[task.workload] {
            Effect::Idempotent => true,
            Effect::SideEffecting => false,
            Effect::Fingerprinted { group, window } => {
                let before = &workers[first.worker];
                let same = match group {
                    Group::All => true,
                    Group::Zone => before.zone == to.zone,
                    Group::Cell => before.cell == to.cell,
                };
                same && ((now - first.sent) as f64) < window as f64 * WINDOW_USE
            }
        }
    }

    /// Whether one more may go out while others are out and none of them has started.
    fn may_copy(&self, task: &Task) -> bool {
        let effect = self.effects[task.workload];
        // An idempotent job may be killed for a better one, and keeps a try in reserve.
        let spare = effect != Effect::Idempotent || task.assignments.len() + 1 < self.assignments;
        let harmless = effect != Effect::SideEffecting;
        self.copies && spare && harmless && task.waits()
    }

    /// Whether the promise that asking again is harmless can be given.
    fn may_bounce(&self, task: &Task) -> bool {
        let effect = self.effects[task.workload];
        let free = matches!(effect, Effect::Idempotent | Effect::Fingerprinted { group: Group::All, .. });
        free || task.assignments.iter().all(Assignment::never_ran)
    }
}

enum Step {
    Pass,
    Keep,
    End,
}

type Down = fn(&mut Dispatcher, &mut Moment, u64) -> Step;
type Up = fn(&mut Dispatcher, Time, u64, usize, Outcome);

/// The chain: what each stage does with a task on its way down, and with an outcome on its way up.
const STAGES: [(Down, Up); 3] = [
    (Dispatcher::permitted, |to, _, n, nth, end| to.desk.enter(n, nth, end)),
    (Dispatcher::placed, Dispatcher::judged),
    (Dispatcher::waiting, |_, _, _, _, _| {}),
];

pub struct Dispatcher {
    place: Place,
    /// Processes of this dispatcher that live: more than one while it is upgraded.
    processes: usize,
    /// No workload may run again: its tasks make the trials that ill workers come back by.
    sole: bool,
    chance: Chance,
    workloads: Vec<Workload>,
    weights: Weights,
    ledger: Ledger,
    allowed: Allowed,
    obligations: Obligations,
    known: Known,
    fleet: Fleet,
    parts: usize,
    /// Of the group those that live, and how many parts as long as this one's would make up the fleet.
    live: usize,
    places: f64,
    part: Part,
    desk: Desk,
    seen: Seen,
    pulse: Pulse,
}

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

    /// A new process at a worker: cold, and nothing seen before holds for it.
    fn renew(&mut self, now: Time, j: usize, started: Option<Time>) {
        let worker = &mut self.fleet.workers[j];
        worker.forget(self.workloads.len(), SOLVE * self.parts.min(4) as Time);
        // Whoever was given back by hand is no warmer than that, whatever the list says of its start.
        let since = started.max(worker.back).filter(|&s| now - s < self.obligations.warm_within);
        let room = -self.chance.draw();
        worker.cold = since.map(|since| Cold { since, room, counted: now });
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

    /// So many other processes of this dispatcher live: its room at cold workers is for all of them.
    pub fn beside(&mut self, others: usize) {
        self.processes = 1 + others;
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

    /// What it has learnt, for the process that follows.
    pub fn lessons(&self) -> Lessons {
        Lessons::of(&self.seen, &self.fleet)
    }

    /// Takes over what the process before has learnt, with its age, before any task. It warms no worker.
    pub fn recall(&mut self, m: &mut Moment, lessons: Lessons) {
        lessons.teach(&mut self.seen, &mut self.fleet, -self.chance.draw());
        self.solve(m.now);
        self.move_on(m);
    }

    /// How many workers are in the list, and how many of these are avoided now, by hand or by choice.
    pub fn listed(&self, now: Time) -> (usize, usize) {
        self.fleet.listed(now, ERRONEOUS, !self.part.common)
    }

    /// Asks again, spread out and ever later, but never so late that the list counts as known unread.
    pub fn list_failed(&mut self, now: Time) {
        let longest = self.obligations.must_ask_in.max(SOLVE);
        let first = SOLVE / 10 * self.parts as Time;
        let pause = (first << self.pulse.asks_failed.min(8)).min(longest) as f64 * (0.5 + self.chance.draw());
        self.pulse.asks_failed += 1;
        self.pulse.ask_at = self.allowed.must_ask.then(|| now + pause as Time);
    }

    /// Solves for the part of the fleet that this dispatcher keeps to: the next workers on the ring from its
    /// own point, so many that each worker has its feeders; as many near ones as far ones.
    fn solve(&mut self, now: Time) {
        let (workers, (close, far)) = (&self.fleet.workers, self.fleet.by_zone(self.place.zone));
        let size = (((close.len() + far.len()) as f64 / self.places).ceil() as usize).max(LEAST);
        let mut part: Vec<usize> = Vec::new();
        for (times, among) in [(1, close), (2, far)] {
            let sound = part.iter().filter(|j| !workers[**j].barred(now)).count();
            let from = self.place.index % self.parts * among.len() / self.parts;
            part.extend(among.iter().cycle().skip(from).take((times * size - sound).min(among.len())));
        }
        let common = 2 * part.iter().filter(|j| workers[**j].ill(now, ERRONEOUS)).count() > part.len();
        let usable = |j: &usize| common || !workers[*j].barred(now);
        let ready: Vec<usize> = part.iter().copied().filter(usable).collect();
        let census = self.fleet.census(now, &ready, FEW);
        // Where each has a part of the fleet, own traffic says little of the whole: workers tell their rates.
        let own = self.seen.rate(now) * self.live as f64 / self.places;
        let rate = if self.parts > 1 && census.rate > 0.0 { census.rate * ready.len() as f64 } else { own };
        let spread = 1.0 + self.seen.spread(now);
        let station = |&j: &usize| {
            let (worker, theta) = (&workers[j], census.theta_of(now, &workers[j]));
            let own = theta * worker.share * rate;
            let like = census.utilisation.unwrap_or(own);
            let rho = (worker.utilisation.mean(now, like, 0.001) - own).clamp(0.0, FULL);
            Station { theta, omega: theta * theta * spread, rho }
        };
        let stations: Vec<Station> = ready.iter().map(station).collect();
        // Where more is asked than the fleet can carry the model has no solution: it is given what they can.
        let most: f64 = stations.iter().map(|s| FULL * (1.0 - s.rho) / s.theta.max(1e-9)).sum();
        let found = shares(&stations, rate.min(most)).unwrap_or(vec![1.0 / ready.len() as f64; ready.len()]);
        let least = (0..ready.len()).min_by(|&a, &b| stations[a].theta.total_cmp(&stations[b].theta));
        // Workers that were lost all together have not restarted: a common cause cut them off.
        for worker in &mut self.fleet.workers {
            worker.lost &= !common;
            (worker.share, worker.fastest) = (0.0, false);
        }
        for (i, &j) in ready.iter().enumerate() {
            let worker = &mut self.fleet.workers[j];
            (worker.share, worker.fastest) = (found[i], least == Some(i));
            worker.model_theta = stations[i].theta;
            worker.turns.iter_mut().for_each(|y| *y = self.chance.draw());
        }
        self.part = Part { workers: part, census, common, lean: 1.0 };
        self.lean(now);
    }

    /// Where a crossing has a price, turns lean to near workers, the more so the busier far ones are: zones
    /// with little traffic keep theirs, and the others cross with what their own workers cannot carry.
    fn lean(&mut self, now: Time) {
        if self.known.cross_zone <= 0.0 || self.parts == 1 {
            return;
        }
        let ((near, some), (far, others)) = self.fleet.busy(now, &self.part, self.place.zone);
        if some > 0.0 && others > 0.0 {
            self.part.lean = (LEAN * (near / some - far / others)).clamp(0.05, 1.0);
        }
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

    /// The final answer, at once: a bounce where the ledger allows that promise, else an abandonment.
    fn answer(&mut self, m: &mut Moment, n: u64) {
        let Some(task) = self.desk.get(n).filter(|t| !t.answered) else { return };
        // Who came back after its due time would come in vain.
        let pause = (self.workloads[task.workload].due / BACK).min(self.allowed.pause);
        match self.ledger.may_bounce(task) {
            true => m.out.bounce(&task.id, pause),
            false => m.out.abandon(&task.id),
        }
        self.earn(m.now, n, false);
        self.close(m, n);
    }

    fn earn(&mut self, now: Time, n: u64, finished: bool) {
        let Some(task) = self.desk.get(n).filter(|t| !t.answered) else { return };
        let overdue = self.workloads[task.workload].overdue;
        let earned = if now > self.due_time(now, task, 0.0) { overdue } else { 1.0 };
        self.seen.earned[task.workload].add(now, if finished { earned } else { 0.0 }, 1.0);
    }

    /// An answered task goes nowhere any more: what is still out is withdrawn.
    fn close(&mut self, m: &mut Moment, n: u64) {
        let Some((id, open)) = self.desk.close(n) else { return };
        open.iter().filter(|_| self.allowed.withdrawal).for_each(|i| m.out.withdraw(&id, *i));
    }

    /// By its expiry, by what became of its assignments so far, and by the hope left for those still out.
    fn permitted(&mut self, m: &mut Moment, n: u64) -> Step {
        let Some(task) = self.desk.get(n).filter(|t| !t.answered) else { return Step::Keep };
        if m.now >= task.expiry {
            return Step::End;
        }
        if task.out() > 0 {
            // What waits at a worker that tells of room is not heard there: an error. The connection of what
            // runs without the progress that is due is dead. Both go elsewhere if they may.
            let due = (self.known.progress as f64 * OVERDUE) as Time;
            let (quiet, load) = (self.seen.quiet(m.now, SILENT, SOLVE / 10), &self.workloads[task.workload]);
            let stays = !self.allowed.withdrawal || load.effect == Effect::SideEffecting;
            for a in task.watched(due).filter(|_| self.known.tells_start) {
                let worker = &mut self.fleet.workers[task.assignments[a].worker];
                let dead = task.assignments[a].overdue(m.now, due);
                if !dead && !worker.passes_over(m.now, (n, task, a), quiet) {
                    m.out.wake(m.now + quiet, n);
                } else if !stays && task.assignments.len() < self.allowed.assignments {
                    m.out.withdraw(&task.id, a);
                }
            }
            let patience = micros(self.seen.run(m.now, task.workload) * PATIENCE);
            let early = task.open().any(|i| m.now - task.assignments[i].sent < patience);
            if self.ledger.copies && !early && task.waits() && self.past_hope(m.now, task) {
                return Step::End; // it would only keep others waiting at its worker
            }
            if early || !self.ledger.may_copy(task) {
                return Step::Keep;
            }
        }
        let workers = &self.fleet.workers;
        let may = |w: &Worker| self.ledger.may_assign(m.now, task, w, workers);
        match workers.is_empty() || workers.iter().any(may) {
            true => Step::Pass,
            // Whoever waits at as many workers as it may be sent to is not lost yet: one may start it.
            false if task.out() > 0 => Step::Keep,
            false => Step::End,
        }
    }

    /// The billiard (Algorithm 2): the least (Xj + Yji)/Pji among the workers that are not skipped.
    fn placed(&mut self, m: &mut Moment, n: u64) -> Step {
        let now = m.now;
        let Some(task) = self.desk.get(n) else { return Step::Keep };
        let (i, load) = (task.workload, &self.workloads[task.workload]);
        // A new task does not pass dearer ones that wait: it would take the room they wait for.
        let dearer = |f| self.desk.get(f).is_some_and(|f| self.worth(now, f) > self.worth(now, task));
        if task.held.is_none() && self.desk.first_held().is_some_and(dearer) {
            return Step::Pass;
        }
        let (run, hope) = (self.seen.run(now, i), self.hope(now, task));
        let mine = self.seen.part(now, i).max(UNSEEN);
        let part = || self.part.workers.iter().map(|&j| (j, &self.fleet.workers[j]));
        let skip = (2.0 * self.fleet.mean_flying(&self.part)).max(SKIP_FLOOR);
        let mean = self.seen.mean_run(now);
        let last = now >= self.due_time(now, task, 1.0) && !self.past_hope(now, task);
        let elsewhere = self.seen.waits.mean(now, 0.0, 2.0);
        // A crossing costs the same whatever the task earns: to a cheap one it may be dearer than a queue.
        let crossing = if self.ledger.copies { DEAR * self.parts.min(5) as f64 } else { DEAR };
        let dear = crossing * self.revenue(now, i) < self.known.cross_zone;
        let near = self.part.lean < NEAR;
        let mut best: Option<((u8, f64), usize)> = None;
        for (j, worker) in part() {
            let idle = worker.in_flight == 0 && now - worker.last_sign >= SOLVE / 5;
            let trial = idle && (load.effect == Effect::Idempotent || self.sole);
            let skipped = worker.state != State::Ready
                || load.kind.is_some_and(|k| k != worker.kind)
                || worker.in_flight as f64 >= skip
                || (self.known.tells_start && !worker.unstarted.is_empty())
                || (!self.part.common && worker.bar.is_some() && (!trial || worker.barred(now)))
                || task.assignments.iter().any(|a| a.worker == j)
                || worker.cold.as_ref().is_some_and(|c| c.room <= 0.0)
                || !self.ledger.may_assign(now, task, worker, &self.fleet.workers)
                || worker.silence(now, self.known.progress.max(SOLVE / 10)) > SILENT
                || (!self.part.common && !trial && worker.fails(now, i, ERRONEOUS));
            if skipped {
                continue;
            }
            // Nothing is known of a worker that was given back, and the shares may leave it out for long.
            if worker.untried && load.effect == Effect::Idempotent {
                best = Some(((0, f64::MIN), j));
                continue;
            }
            let (theta, inside) = (worker.model_theta, worker.share > 0.0);
            let wait = worker.wait(now, SOLVE / 5, (theta, mean), elsewhere);
            let (late, queue) = (now + micros(wait) > hope, wait > theta / 4.0);
            let far = u8::from((dear || near) && worker.zone != self.place.zone);
            let place = if dear { 2 * far + u8::from(queue) } else { far + 2 * u8::from(queue) };
            let place = if inside { place } else { 4 };
            let tier = if late { 5 } else { place };
            let turns = f64::from(u8::from(worker.fastest)) + worker.turns[i];
            let lean = if worker.zone == self.place.zone { 1.0 } else { self.part.lean };
            let level = if inside { turns / (worker.share * mine * lean) } else { theta };
            let queued = queue && (task.out() > 0 || late && !last);
            if !queued && best.is_none_or(|(b, _)| (tier, level) < b) {
                best = Some(((tier, level), j));
            }
        }
        let Some((_, j)) = best else { return Step::Pass };
        // A budget of the fleet may be spent. Nobody else waits for that; who would wait in vain is answered.
        if let Err(at) = m.out.may(&task.id, n, i, !task.assignments.is_empty()) {
            let end = at >= hope && task.out() == 0;
            self.desk.release(n);
            return if end { Step::End } else { Step::Keep };
        }
        self.assign(m, n, j, task.slots * run / mean, hope);
        Step::Keep
    }

    fn assign(&mut self, m: &mut Moment, n: u64, j: usize, cost: f64, hope: Time) {
        let Some(task) = self.desk.get_mut(n) else { return };
        let worker = &mut self.fleet.workers[j];
        worker.turns[task.workload] += 1.0;
        worker.book(m.now, n, cost);
        task.assignments.push(Assignment::sent(j, m.now));
        m.out.assign(&task.id, &worker.id);
        m.out.wake(m.now + self.seen.quiet(m.now, SILENT, SOLVE / 10), n);
        let patient = m.now + micros(self.seen.run(m.now, task.workload) * PATIENCE) + 1;
        [patient, hope.max(patient)].iter().filter(|_| self.ledger.copies).for_each(|at| m.out.wake(*at, n));
        self.desk.release(n);
    }

    /// A task that no worker can take now waits here, so long as it is likely to move on in time.
    fn waiting(&mut self, m: &mut Moment, n: u64) -> Step {
        let Some(task) = self.desk.get(n).filter(|t| t.out() == 0) else { return Step::Keep };
        let latest = self.hope(m.now, task);
        if m.now >= latest {
            return Step::End;
        }
        if task.held.is_none() {
            let first = u64::MAX - (self.worth(m.now, task) * 1e6) as u64;
            self.desk.hold(n, first);
            m.out.wake(latest, n);
        }
        // Whoever is last in a queue that moves too slowly is told so at once, not when its time is up.
        let flying: usize = self.part.workers.iter().map(|&j| self.fleet.workers[j].in_flight).sum();
        let starts = self.seen.started.totals(m.now).1 / seconds(SOLVE / 5);
        let pace = starts.max(flying as f64 / self.seen.mean_run(m.now));
        while let Some(last) = self.desk.last_held() {
            let delay = micros(self.desk.count_held() as f64 / pace.max(0.1));
            let latest = self.desk.get(last).map_or(m.now, |t| self.hope(m.now, t));
            if m.now + delay < latest {
                break;
            }
            self.answer(m, last);
        }
        Step::Keep
    }

    /// What a mean task of the workload earns in time, by what a mean task of all earns.
    fn revenue(&self, now: Time, i: usize) -> f64 {
        let size = |i| if self.weights.by_work { self.seen.run(now, i) } else { 1.0 };
        let revenue = |i: usize| self.workloads[i].revenue * size(i);
        revenue(i) / self.seen.mean_revenue(now, revenue).max(1e-6)
    }

    /// What a second of work on it is worth to the users: in the whole, and in the workload served worst.
    fn worth(&self, now: Time, task: &Task) -> f64 {
        let (i, w) = (task.workload, self.weights);
        let mut worth = w.whole * self.revenue(now, i);
        if worst(&self.seen.earned, now) == Some(i) {
            worth += w.worst_workload / self.seen.part(now, i).max(UNSEEN);
        }
        let within = task.within_share + (1.0 - task.within_share) * w.beyond_share;
        worth * within / (task.slots * self.seen.run(now, i)).max(1e-3)
    }

    /// Until when a task may wait for its start; in parts the longer, the dearer it is or may be by its size.
    fn hope(&self, now: Time, task: &Task) -> Time {
        if !self.ledger.copies {
            let runs = if self.weights.slow_end > 0.0 { f64::MAX } else { 1.0 };
            return self.due_time(now, task, runs);
        }
        let large = self.weights.by_work && self.workloads[task.workload].effect == Effect::SideEffecting;
        let worth = if large { f64::MAX } else { self.worth(now, task) };
        let dear = worth * self.seen.mean_run(now) / self.weights.whole;
        let all = (self.due_time(now, task, HOPE / dear.max(0.1)) - task.arrived) as f64;
        task.arrived + (all * dear.min(1.0).powi(2)) as Time
    }

    /// Too late to be in time, and another task earns more with the time that it would take.
    fn past_hope(&self, now: Time, task: &Task) -> bool {
        let late = self.worth(now, task) * self.workloads[task.workload].overdue;
        now >= self.hope(now, task) && late < self.weights.whole / self.seen.mean_run(now)
    }

    /// When a task is due that takes the mean time of its workload, or `runs` of those before.
    fn due_time(&self, now: Time, task: &Task, runs: f64) -> Time {
        task.expiry.min(task.arrived + self.due_within(now, task.workload, runs))
    }

    /// How long after its arrival that is, where its client waits so long.
    fn due_within(&self, now: Time, i: usize, runs: f64) -> Time {
        let load = &self.workloads[i];
        load.due + micros((load.stretch - runs).max(0.0) * self.seen.usual(now, i))
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

    /// What an outcome says of its worker: its load, its speed and its health.
    fn judged(&mut self, now: Time, n: u64, assignment: usize, outcome: Outcome) {
        let Some(task) = self.desk.get(n) else { return };
        let (a, i) = (&task.assignments[assignment], task.workload);
        let worker = &mut self.fleet.workers[a.worker];
        // Silence counts only while something is out, and nothing else finds out who lets all time out.
        let unheard = self.sole && worker.last_sign <= a.sent && now - a.sent >= SOLVE / 2;
        worker.strike(a.sent, n);
        match outcome {
            Outcome::Finished => {
                worker.answered(now, i, 0.0);
                worker.bar = None;
                a.started.iter().for_each(|s| self.seen.ran(now, i, seconds(now - s)));
            }
            Outcome::Failed => worker.answered(now, i, 1.0),
            // One job may be killed, or one connection break, at a sound worker: a dead one refuses the next.
            Outcome::Reset => worker.last_sign = now,
            Outcome::TimedOut if !unheard => {}
            Outcome::Unreachable | Outcome::TimedOut => {
                worker.bar(now, SOLVE / 5, 2 * SOLVE);
                self.solve(now);
            }
            Outcome::Full => worker.waits.add(now, self.seen.run(now, i), 1.0),
            Outcome::Withdrawn | Outcome::NeverSent => {}
        }
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

    /// How the workers of its part stand with it, in a line for the trace.
    pub fn standing(&self, now: Time) -> String {
        self.fleet.standing(&self.part, now, ERRONEOUS)
    }

    /// A cold worker's room grows with what it can do by now, for this dispatcher by its part, told or even.
    fn warm(&mut self, m: &mut Moment, j: usize, feeders: f64) {
        let (now, worker) = (m.now, &mut self.fleet.workers[j]);
        worker.cold.take_if(|c| now - c.since >= self.obligations.warm_within);
        let Some(cold) = worker.cold.as_mut() else { return };
        let (from, age) = (self.obligations.cold_from, now - cold.since);
        let can = from + (1.0 - from) * age as f64 / self.obligations.warm_within as f64;
        // Before anyone has reported, all that is known of a worker is that it has a core: with no room at
        // all, a fleet and dispatchers that restarted together would wait for each other.
        let effort = self.part.census.effort / worker.size;
        let work = if effort > 0.0 { effort } else { self.seen.mean_run(now) };
        let whole = COLD_USE * self.obligations.overload_factor / work * can;
        let wants = self.seen.rate(now) * worker.share / whole;
        let rate = m.out.room(&worker.id, wants).map_or(whole / feeders, |part| whole * part);
        cold.grow(now, rate, rate * seconds(self.obligations.fall));
    }
}
