//! Every decision of rainlug: which worker a task goes to, when it waits, and how it ends.
//!
//! How to call it: make a [`Dispatcher`] with `start`, then hand it each event as it comes: `list` and
//! `list_failed`, `task`, `sign` (a job started or told its progress), `ended` (an assignment ended), `left`
//! (the client is gone), `probed`, and `due` for each `wake` it asked for. Each call takes a [`Moment`]: the
//! time and an `Outgoing` for decisions. That interface is in `lib.rs`, what is remembered in `state.rs`.
//!
//! A task runs down the chain `STAGES`; each stage passes it on, keeps it or ends it, and how its assignments
//! end runs up the same chain. Shares are solved by the M/G/1 model (`shares`), turns are taken by a billiard
//! inside them (`placed`). docs/design.md tells where that is from, and when each exception acts.

use crate::state::{Assignment, Bar, Chance, Cold, Desk, Fleet, Seen, Task, Worker, micros, seconds, worst};
use crate::{Allowed, Effect, Group, Known, Listed, Moment, Obligations, Outcome, Place, Report};
use crate::{SECOND, State, Time, Weights, Workload};

/// Between two solves of the shares; every other length of time below is a ratio to it or to a setting.
const SOLVE: Time = 5 * SECOND;
/// The dispatcher looks at its probes, its cold workers and its list this often.
const BEAT: Time = SOLVE / 20;
/// Jobs in flight under which no worker is skipped for having twice the mean.
const SKIP_FLOOR: f64 = 2.0;
/// Tasks that a θ must rest on, over those of a mean worker, to count as much as the mean θ.
const FEW: f64 = 0.1;
/// Mean service times that crossing is worth if it costs all of a mean revenue.
const CROSSING: f64 = 40.0;
/// Part of all turns that an unseen workload is given.
const UNSEEN: f64 = 0.01;
/// A silence this many times the mean gap is suspect: it has odds of e^-6 among the gaps seen before.
const SILENT: f64 = 6.0;
/// Errors in this part of a workload's tasks at a worker keep the workload away.
const ERRONEOUS: f64 = 0.25;
/// Part of the cold budget that is used, the rest being room for chance and heavy tasks.
const COLD_USE: f64 = 0.4;
/// Part of the fingerprint window that is used.
const WINDOW_USE: f64 = 0.9;
/// Utilisation is taken as no higher, and the fleet is asked to carry no more, than this.
const FULL: f64 = 0.95;
/// Marks of wakes below this are the dispatcher's own, from here on they are tasks' numbers.
const FIRST: u64 = 16;

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
    if stations.is_empty() || !stations.iter().all(sound) || rate.is_nan() || rate <= 0.0 {
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
    while carried(high, admitted) < rate {
        high *= 2.0;
        if high > 1e9 {
            return None; // more than the workers can carry at any z
        }
    }
    while high - low > 0.001 {
        let z = (low + high) / 2.0;
        if carried(z, admitted) <= rate { low = z } else { high = z }
    }
    let rate_of = |j| if admitted.contains(&j) { stations[j].rate(high) } else { 0.0 };
    let found: Vec<f64> = (0..stations.len()).map(rate_of).collect();
    let sum: f64 = found.iter().sum();
    (sum > 0.0).then(|| found.iter().map(|r| r / sum).collect())
}

impl Worker {
    /// The present silence, in mean gaps.
    fn silence(&self, now: Time, usual: Time) -> f64 {
        let since = if self.in_flight == 0 { now } else { self.last_sign };
        (now - since) as f64 / self.gaps.mean(now, usual as f64, 2.0).max(usual as f64 / 2.0)
    }

    fn heard(&mut self, now: Time) {
        self.gaps.add(now, (now - self.last_sign) as f64, 1.0);
        self.last_sign = now;
        // A process that answers again before the list names its start is as cold as one that it names.
        if std::mem::take(&mut self.lost) {
            self.cold = Some(Cold { since: now, room: 0.0, counted: now });
        }
    }

    /// Seconds that a task sent now is likely to wait for its start.
    fn wait(&self, now: Time, theta: f64, elsewhere: f64) -> f64 {
        let oldest = self.unstarted.first().map_or(0.0, |&(sent, _)| seconds(now - sent));
        let room = self.free.filter(|&(at, _)| now - at < SOLVE / 5).map(|(_, free)| free > 0.0);
        // Who sees few starts goes by what waits are like elsewhere, unless the worker has told of room.
        let told = if room == Some(false) { theta } else { 0.0 };
        let prior = if room == Some(true) { 0.0 } else { elsewhere.max(told) };
        self.waits.mean(now, prior, 0.25).max(oldest)
    }

    /// Fast errors look like speed; and one workload may fail where the others do well.
    fn fails(&self, now: Time, workload: usize) -> bool {
        let (errors, all) = self.errors[workload].totals(now);
        errors >= 2.0 && errors > ERRONEOUS * all
    }

    fn bar(&mut self, now: Time) {
        let length = self.bar.as_ref().map_or(SOLVE / 5, |b| (2 * b.length).min(2 * SOLVE));
        if self.bar.as_ref().is_none_or(|b| b.until <= now) {
            self.bar = Some(Bar { until: now + length, length });
        }
    }
}

impl Assignment {
    /// True where it is known that the task did not run here.
    fn never_ran(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Full | Outcome::Unreachable | Outcome::NeverSent))
    }
}

/// The ledger of effects. Every path that assigns or bounces asks it; it allows no second copy.
pub(crate) struct Ledger {
    effects: Vec<Effect>,
    assignments: usize,
}

impl Ledger {
    /// Whether the task may be assigned to `to` now, by what became of its earlier assignments.
    fn may_assign(&self, now: Time, task: &Task, to: &Worker, workers: &[Worker]) -> bool {
        if task.assignments.len() >= self.assignments || task.out() > 0 {
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
const STAGES: [(Down, Up); 4] = [
    (Dispatcher::in_time, |_, _, _, _, _| {}),
    (Dispatcher::permitted, Dispatcher::entered),
    (Dispatcher::placed, Dispatcher::judged),
    (Dispatcher::waiting, |_, _, _, _, _| {}),
];

pub struct Dispatcher {
    place: Place,
    chance: Chance,
    workloads: Vec<Workload>,
    weights: Weights,
    ledger: Ledger,
    allowed: Allowed,
    obligations: Obligations,
    known: Known,
    fleet: Fleet,
    desk: Desk,
    seen: Seen,
    beats: u64,
    /// Something changed that the shares rest on.
    stale: bool,
    /// So many workers are barred or fail that the cause must be a common one.
    common: bool,
    ask_at: Option<Time>,
    asks_failed: u32,
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
        let priors = workloads.iter().map(|w| seconds(w.due)).collect();
        // Dispatchers that start together must not ask together.
        let ask_at = allowed.must_ask.then(|| m.now + micros(chance.draw() / 2.0));
        m.out.wake(m.now + (chance.draw() * BEAT as f64) as Time, 0);
        Dispatcher {
            place,
            chance,
            ledger: Ledger { effects, assignments: allowed.assignments },
            allowed,
            obligations,
            known,
            fleet: Fleet::default(),
            desk: Desk::from(FIRST),
            seen: Seen::since(m.now, SOLVE, priors, quotas),
            beats: 0,
            stale: true,
            common: false,
            ask_at,
            asks_failed: 0,
            workloads,
            weights,
        }
    }

    // ---- the list of workers ----

    /// What the list says: changes, or everything; `cached` is what it said to an earlier process.
    pub fn list(&mut self, m: &mut Moment, everything: bool, cached: bool, entries: &[Listed]) {
        if !cached {
            (self.asks_failed, self.ask_at) = (0, None);
        }
        if everything {
            self.fleet.workers.iter_mut().for_each(|w| w.state = State::Gone);
        }
        for entry in entries {
            let (j, new) = self.fleet.enter(entry);
            // A new start time is a new process: cold, and nothing seen before holds for it.
            if new {
                let worker = &mut self.fleet.workers[j];
                worker.forget(self.workloads.len(), SOLVE);
                let since = entry.started.filter(|&s| m.now - s < self.obligations.warm_within);
                let room = -self.chance.draw();
                worker.cold = since.map(|since| Cold { since, room, counted: m.now });
            }
        }
        self.stale = true;
        self.move_on(m);
    }

    /// Asks again, spread out and ever later, but never so late that the list counts as known unread.
    pub fn list_failed(&mut self, now: Time) {
        let longest = self.obligations.must_ask_in.max(SOLVE) / 4;
        let pause = ((SOLVE / 10) << self.asks_failed.min(8)).min(longest) as f64;
        self.asks_failed += 1;
        let spread = 0.5 + self.chance.draw() / 2.0;
        self.ask_at = self.allowed.must_ask.then(|| now + (pause * spread) as Time);
    }

    // ---- the model ----

    fn solve(&mut self, now: Time) {
        self.stale = false;
        let on = || (0..self.fleet.workers.len()).filter(|&j| self.fleet.workers[j].state == State::Ready);
        let barred = |j: &usize| self.fleet.workers[*j].bar.as_ref().is_some_and(|b| b.until > now);
        let ill = |w: &Worker| w.bar.is_some() || (0..self.workloads.len()).any(|i| w.fails(now, i));
        self.common = 2 * on().filter(|&j| ill(&self.fleet.workers[j])).count() > on().count();
        let ready: Vec<usize> = on().filter(|j| self.common || !barred(j)).collect();
        let (rate, spread) = (self.seen.rate(now) * self.place.group_size as f64, self.seen.spread(now));
        let measured: Vec<(f64, f64)> =
            ready.iter().map(|&j| self.fleet.workers[j].theta.totals(now)).collect();
        let (busy, tasks) = measured.iter().fold((0.0, 0.0), |t, m| (t.0 + m.0, t.1 + m.1));
        let (mean, few) = (busy / tasks.max(1e-9), FEW * tasks / ready.len().max(1) as f64);
        let station = |(&j, &(busy, tasks)): (&usize, &(f64, f64))| {
            let worker = &self.fleet.workers[j];
            // A worker that reports next to nothing would look fast beyond all others: drawn to the mean.
            let theta = (busy + mean * few) / (tasks + few).max(1e-9);
            let own = theta * worker.share * rate;
            let rho = (worker.utilisation.mean(now, own, 0.001) - own).clamp(0.0, FULL);
            Station { theta, omega: theta * theta * (1.0 + spread), rho }
        };
        let stations: Vec<Station> = ready.iter().zip(&measured).map(station).collect();
        // Where more is asked than the fleet can carry the model has no solution: it is given what they can.
        let most: f64 = stations.iter().map(|s| FULL * (1.0 - s.rho) / s.theta.max(1e-9)).sum();
        let found = shares(&stations, rate.min(most)).unwrap_or(vec![1.0 / ready.len() as f64; ready.len()]);
        let least = (0..ready.len()).min_by(|&a, &b| stations[a].theta.total_cmp(&stations[b].theta));
        // Workers that were lost all together have not restarted: a common cause cut them off.
        for worker in &mut self.fleet.workers {
            worker.lost &= !self.common;
            (worker.share, worker.fastest) = (0.0, false);
        }
        for (i, &j) in ready.iter().enumerate() {
            let worker = &mut self.fleet.workers[j];
            (worker.share, worker.fastest) = (found[i], least == Some(i));
            worker.model_theta = stations[i].theta;
            // The model knows no crossing: a free near worker outside the shares may be worth one.
            let bearable = stations[i].theta <= CROSSING * self.known.cross_zone * mean;
            worker.stands_in = bearable && worker.zone == self.place.zone;
            worker.turns.iter_mut().for_each(|y| *y = self.chance.draw());
        }
    }

    // ---- a task on its way down ----

    /// A task has come, of a workload and a customer; `budget` is the time its client will wait.
    pub fn task(&mut self, m: &mut Moment, id: &str, of: (usize, Option<usize>), budget: Time, slots: f64) {
        let (workload, customer) = of;
        let Some(_) = self.workloads.get(workload) else { return m.out.abandon(id) };
        self.seen.arrival(m.now, workload, customer);
        let within = |c| self.seen.within_share(m.now, c, self.place.group_size as f64);
        let within_share = customer.map_or(1.0, within);
        let (id, slots, arrived, expiry) = (id.to_owned(), slots.max(1.0), m.now, m.now + budget);
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
        match self.ledger.may_bounce(task) {
            true => m.out.bounce(&task.id, self.allowed.pause),
            false => m.out.abandon(&task.id),
        }
        self.earn(m.now, n, false);
        self.close(m, n);
    }

    fn earn(&mut self, now: Time, n: u64, finished: bool) {
        let Some(task) = self.desk.get(n).filter(|t| !t.answered) else { return };
        let late = now > self.due_time(now, task, 0.0);
        let earned = if late { self.workloads[task.workload].overdue } else { 1.0 };
        self.seen.earned[task.workload].add(now, if finished { earned } else { 0.0 }, 1.0);
    }

    /// An answered task goes nowhere any more: what is still out is withdrawn.
    fn close(&mut self, m: &mut Moment, n: u64) {
        let Some(task) = self.desk.get_mut(n) else { return };
        task.answered = true;
        let out = task.assignments.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        if self.allowed.withdrawal {
            out.for_each(|(i, _)| m.out.withdraw(&task.id, i));
        }
        self.desk.release(n);
        self.desk.clear(n);
    }

    fn in_time(&mut self, m: &mut Moment, n: u64) -> Step {
        match self.desk.get(n).filter(|t| !t.answered).map(|t| m.now < t.expiry) {
            Some(true) => Step::Pass,
            Some(false) => Step::End,
            None => Step::Keep,
        }
    }

    fn permitted(&mut self, m: &mut Moment, n: u64) -> Step {
        let Some(task) = self.desk.get(n).filter(|t| t.out() == 0) else { return Step::Keep };
        let workers = &self.fleet.workers;
        let may = |w: &Worker| self.ledger.may_assign(m.now, task, w, workers);
        if workers.is_empty() || workers.iter().any(may) { Step::Pass } else { Step::End }
    }

    /// The billiard (Algorithm 2): the least (Xj + Yji)/Pji among the workers that are not skipped.
    fn placed(&mut self, m: &mut Moment, n: u64) -> Step {
        let now = m.now;
        if self.stale {
            self.solve(now);
        }
        let Some(task) = self.desk.get(n) else { return Step::Keep };
        let (i, load) = (task.workload, &self.workloads[task.workload]);
        // A new task does not pass dearer ones that wait: it would take the room they wait for.
        let worth = self.worth(now, task);
        let dearer = |f| self.desk.get(f).is_some_and(|f| self.worth(now, f) > worth);
        if task.held.is_none() && self.desk.first_held().is_some_and(dearer) {
            return Step::Pass;
        }
        let (run, mean_run) = (self.seen.run(now, i), self.seen.mean_run(now));
        let due = seconds(self.due_time(now, task, 0.0) - now);
        let part = self.seen.part(now, i).max(UNSEEN);
        let open = || self.fleet.workers.iter().filter(|w| w.share > 0.0 && w.state == State::Ready);
        let flying: usize = open().map(|w| w.in_flight).sum();
        let skip = (2.0 * flying as f64 / open().count().max(1) as f64).max(SKIP_FLOOR);
        let cost = task.slots * run / mean_run;
        let earns = worth * load.overdue >= self.weights.whole / mean_run;
        let last = earns && now >= self.due_time(now, task, 1.0);
        let elsewhere = self.seen.waits.mean(now, 0.0, 2.0);
        let mut best: Option<((u8, f64), usize)> = None;
        for (j, worker) in self.fleet.workers.iter().enumerate() {
            if worker.state != State::Ready || load.kind.is_some_and(|k| k != worker.kind) {
                continue;
            }
            let idle = worker.in_flight == 0 && now - worker.last_sign >= SOLVE / 5;
            let trial = idle && load.effect == Effect::Idempotent;
            let skipped = worker.in_flight as f64 >= skip
                || (self.known.tells_start && !worker.unstarted.is_empty())
                || (!self.common && worker.bar.as_ref().is_some_and(|b| b.until > now || !trial))
                || (!self.common && !trial && worker.fails(now, i))
                || task.assignments.iter().any(|a| a.worker == j)
                || worker.silence(now, self.known.progress.max(SOLVE / 10)) > SILENT
                || worker.cold.as_ref().is_some_and(|c| c.room < cost)
                || !self.ledger.may_assign(now, task, worker, &self.fleet.workers);
            let theta = worker.model_theta;
            let wait = worker.wait(now, theta, elsewhere);
            let far = u8::from(self.known.cross_zone > 0.0 && worker.zone != self.place.zone);
            let late = wait + run * worker.slowness.mean(now, 1.0, 2.0) > due;
            // Outside the shares only where all inside them are skipped, or in place of a crossing.
            let inside = worker.share > 0.0;
            let queue = wait > theta / 4.0;
            let outside = if worker.stands_in && !queue { 1 } else { 4 };
            let near = if inside { 2 * far + u8::from(queue) } else { outside };
            let tier = if late { 5 } else { near };
            let turns = f64::from(u8::from(worker.fastest)) + worker.turns[i];
            let level = if inside { turns / (worker.share * part) } else { theta };
            let queued = late && queue && !last;
            if !skipped && !queued && best.is_none_or(|(b, _)| (tier, level) < b) {
                best = Some(((tier, level), j));
            }
        }
        let Some((_, j)) = best else { return Step::Pass };
        self.assign(m, n, j, cost);
        Step::Keep
    }

    fn assign(&mut self, m: &mut Moment, n: u64, j: usize, cost: f64) {
        let Some(task) = self.desk.get_mut(n) else { return };
        let worker = &mut self.fleet.workers[j];
        worker.turns[task.workload] += 1.0;
        worker.book(m.now, n);
        if let Some(cold) = &mut worker.cold {
            cold.room -= cost;
        }
        task.assignments.push(Assignment { worker: j, sent: m.now, started: None, outcome: None });
        m.out.assign(&task.id, &worker.id);
        self.desk.release(n);
    }

    /// A task that no worker can take now waits here, so long as it is likely to move on in time.
    fn waiting(&mut self, m: &mut Moment, n: u64) -> Step {
        let Some(task) = self.desk.get(n) else { return Step::Keep };
        let latest = self.due_time(m.now, task, 1.0);
        if m.now >= latest {
            return Step::End;
        }
        if task.held.is_none() {
            let first = u64::MAX - (self.worth(m.now, task) * 1e6) as u64;
            self.desk.hold(n, first);
            m.out.wake(latest, n);
        }
        // Whoever is last in a queue that moves too slowly is told so at once, not when its time is up.
        let flying: usize = self.fleet.workers.iter().map(|w| w.in_flight).sum();
        let starts = self.seen.started.totals(m.now).1 / seconds(SOLVE / 5);
        let pace = starts.max(flying as f64 / self.seen.mean_run(m.now));
        while let Some(last) = self.desk.last_held() {
            let delay = micros(self.desk.count_held() as f64 / pace.max(0.1));
            let latest = self.desk.get(last).map_or(m.now, |t| self.due_time(m.now, t, 1.0));
            if m.now + delay < latest {
                break;
            }
            self.answer(m, last);
        }
        Step::Keep
    }

    /// What a second of work on it is worth to the users: in the whole, and in the workload served worst.
    fn worth(&self, now: Time, task: &Task) -> f64 {
        let (i, w) = (task.workload, self.weights);
        let size = |i: usize| if w.by_work { self.seen.run(now, i) } else { 1.0 };
        let revenue = |i: usize| self.workloads[i].revenue * size(i);
        let mut worth = w.whole * revenue(i) / self.seen.mean_revenue(now, revenue).max(1e-6);
        if worst(&self.seen.earned, now) == Some(i) {
            worth += w.worst_workload / self.seen.part(now, i).max(UNSEEN);
        }
        let within = task.within_share + (1.0 - task.within_share) * w.beyond_share;
        worth * within / (task.slots * self.seen.run(now, i)).max(1e-3)
    }

    /// When a task is due that takes the mean time of its workload, or `runs` of those before.
    fn due_time(&self, now: Time, task: &Task, runs: f64) -> Time {
        let load = &self.workloads[task.workload];
        let slack = (load.stretch - runs).max(0.0) * self.seen.usual(now, task.workload);
        task.expiry.min(task.arrived + load.due + micros(slack))
    }

    // ---- what comes back ----

    /// A job told that it started, or how far it is: a sign of life.
    pub fn sign(&mut self, m: &mut Moment, id: &str, assignment: usize) {
        let Some(n) = self.desk.number(id) else { return };
        let Some(task) = self.desk.get_mut(n) else { return };
        let Some(a) = task.assignments.get_mut(assignment) else { return };
        let worker = &mut self.fleet.workers[a.worker];
        worker.heard(m.now);
        if a.started.is_none() {
            a.started = Some(m.now);
            worker.unstarted.remove(&(a.sent, n));
            worker.waits.add(m.now, seconds(m.now - a.sent), 1.0);
            self.seen.start(m.now, seconds(m.now - a.sent));
            self.move_on(m);
        }
    }

    /// How an assignment ended; `closed` tells that the client has its answer.
    pub fn ended(&mut self, m: &mut Moment, id: &str, nth: usize, end: (Outcome, bool), report: Report) {
        let Some(n) = self.desk.number(id) else { return };
        let Some(task) = self.desk.get(n) else { return };
        let Some(a) = task.assignments.get(nth).filter(|a| a.outcome.is_none()) else { return };
        self.reported(m.now, a.worker, report);
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
        let run = self.seen.run(now, i);
        let worker = &mut self.fleet.workers[a.worker];
        worker.strike(a.sent, n);
        let open = worker.bar.is_none();
        match outcome {
            Outcome::Finished => {
                worker.heard(now);
                worker.errors[i].add(now, 0.0, 1.0);
                if let Some(ran) = a.started.map(|s| seconds(now - s)) {
                    self.seen.ran(now, i, ran);
                    worker.slowness.add(now, ran / run.max(0.001), 1.0);
                }
                worker.bar = None;
            }
            Outcome::Failed => {
                worker.heard(now);
                worker.errors[i].add(now, 1.0, 1.0);
                self.stale |= worker.fails(now, i);
            }
            // An idempotent job may have been killed for a better one: no fault of the worker.
            Outcome::Reset if self.workloads[i].effect == Effect::Idempotent => worker.last_sign = now,
            Outcome::Reset | Outcome::Unreachable => {
                worker.lost = true;
                worker.bar(now);
            }
            Outcome::Full => worker.waits.add(now, run, 1.0),
            Outcome::TimedOut | Outcome::Withdrawn | Outcome::NeverSent => {}
        }
        self.stale |= open != worker.bar.is_none();
    }

    fn entered(&mut self, _: Time, n: u64, assignment: usize, outcome: Outcome) {
        if let Some(task) = self.desk.get_mut(n) {
            task.assignments[assignment].outcome = Some(outcome);
        }
    }

    fn reported(&mut self, now: Time, j: usize, report: Report) {
        let worker = &mut self.fleet.workers[j];
        if let (Some(busy), Some(rate)) = (report.utilisation, report.rate) {
            worker.theta.add(now, busy, rate);
            worker.utilisation.add(now, busy, 1.0);
        }
        worker.free = report.free_slots.map(|free| (now, free)).or(worker.free);
    }

    pub fn probed(&mut self, m: &mut Moment, worker: &str, outcome: Outcome, report: Report) {
        if let Some(j) = self.fleet.named(worker).filter(|_| outcome == Outcome::Finished) {
            self.reported(m.now, j, report);
            self.move_on(m);
        }
    }

    /// The client is gone: nothing is owed any more.
    pub fn left(&mut self, m: &mut Moment, id: &str) {
        if let Some(n) = self.desk.number(id) {
            self.close(m, n);
        }
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

    /// A wake is due: a task's, or the dispatcher's own beat.
    pub fn due(&mut self, m: &mut Moment, mark: u64) {
        if mark >= FIRST {
            return self.down(m, mark);
        }
        m.out.wake(m.now + BEAT, 0);
        if self.ask_at.is_some_and(|at| at <= m.now) {
            self.ask_at = Some(m.now + self.obligations.must_ask_in / 2);
            m.out.follow();
        }
        let probing = self.allowed.probes && self.known.reports_by_probe && self.beats.is_multiple_of(2);
        for j in 0..self.fleet.workers.len() {
            self.warm(m.now, j);
            if probing && self.fleet.workers[j].state == State::Ready {
                m.out.probe(&self.fleet.workers[j].id);
            }
        }
        if self.beats.is_multiple_of((SOLVE / BEAT) as u64) {
            self.solve(m.now);
        }
        self.beats += 1;
        self.move_on(m);
    }

    /// A cold worker's room grows with what it can do by now, a dispatcher's part of it.
    fn warm(&mut self, now: Time, j: usize) {
        let kind = self.fleet.workers[j].kind;
        let like = self.fleet.workers.iter().filter(|w| w.cold.is_none() && w.kind == kind);
        let (sum, n) = like.fold((0.0, 0.0), |t, w| (t.0 + w.model_theta, t.1 + 1.0));
        let worker = &mut self.fleet.workers[j];
        let theta = if sum > 0.0 { sum / n } else { worker.model_theta };
        worker.cold.take_if(|c| now - c.since >= self.obligations.warm_within);
        let Some(cold) = &mut worker.cold else { return };
        let (from, age) = (self.obligations.cold_from, now - cold.since);
        let can = from + (1.0 - from) * age as f64 / self.obligations.warm_within as f64;
        let part = COLD_USE * self.obligations.overload_factor * can / self.place.group_size.max(1) as f64;
        let rate = if theta > 0.0 { part / theta } else { 0.0 };
        cold.room += rate * seconds(now - cold.counted);
        cold.room = cold.room.min((rate * seconds(self.obligations.fall)).max(2.0));
        cold.counted = now;
    }
}
