//! Every decision of rainlug: which worker a task goes to, when it waits, and how it ends.
//!
//! How to call it: make a [`Dispatcher`] with `start`, then hand it each event as it comes: `list` and
//! `list_failed`, `task`, `sign` (a job started or told its progress), `ended` (how an assignment ended),
//! `left` (the client is gone), `probed`, and `due` for each `wake` it asked for. Each call takes the present
//! time and an [`Outgoing`] through which decisions leave. The types of this interface are in `lib.rs`.
//!
//! A task runs down a chain of stages (`STAGES`): `in_time`, `permitted`, `placed`, `waiting`. Each passes it on,
//! keeps it or ends it; how its assignments end runs up the same chain. Shares are solved by the M/G/1 model
//! (`shares`), turns are taken by a billiard inside them (`placed`). docs/design.md says where that is from.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{
    Allowed, Effect, Group, Known, Listed, Obligations, Outcome, Outgoing, Place, Report, State, Time,
};
use crate::{Customer, SECOND, Workload};

/// Between two solves of the shares; every other length of time below is a ratio to it or to a setting.
const SOLVE: Time = 5 * SECOND;
/// The dispatcher looks at its probes, its held tasks and its list this often.
const BEAT: Time = SOLVE / 20;
/// Jobs in flight under which no worker is skipped for having twice the mean.
const SKIP_FLOOR: f64 = 3.0;
/// Share of all turns that a workload unseen so far is given.
const UNSEEN: f64 = 0.01;
/// A silence this many times the mean gap is suspect: it has odds of e^-6 among the gaps seen before.
const SILENT: f64 = 6.0;
/// Errors in this part of a worker's tasks bar it.
const ERRONEOUS: f64 = 0.25;
/// Part of the cold budget that is used, the rest being room for chance and heavy tasks.
const COLD_USE: f64 = 0.4;
/// Part of the fingerprint window that is used.
const WINDOW_USE: f64 = 0.9;
/// Utilisation is taken as no higher, and the fleet is asked to carry no more, than this.
const FULL: f64 = 0.95;
/// Marks of wakes below this are the dispatcher's own, from here on they are tasks' numbers.
const FIRST: u64 = 16;

/// Sums over the last few buckets of time; the oldest bucket is used again for the newest.
#[derive(Clone, Default)]
struct Ring {
    width: Time,
    buckets: [(Time, f64, f64); 8],
}

impl Ring {
    fn over(span: Time) -> Self {
        Ring {
            width: (span / 8).max(1),
            buckets: Default::default(),
        }
    }

    fn add(&mut self, now: Time, sum: f64, weight: f64) {
        let turn = now.div_euclid(self.width);
        let bucket = &mut self.buckets[turn.rem_euclid(8) as usize];
        if bucket.0 != turn {
            *bucket = (turn, 0.0, 0.0);
        }
        bucket.1 += sum;
        bucket.2 += weight;
    }

    fn totals(&self, now: Time) -> (f64, f64) {
        let turn = now.div_euclid(self.width);
        let live = self.buckets.iter().filter(|b| b.0 > turn - 8);
        live.fold((0.0, 0.0), |t, b| (t.0 + b.1, t.1 + b.2))
    }

    /// The mean, drawn towards `prior` as if that had been seen `weight` times.
    fn mean(&self, now: Time, prior: f64, weight: f64) -> f64 {
        let (sum, seen) = self.totals(now);
        if seen + weight > 0.0 {
            (sum + prior * weight) / (seen + weight)
        } else {
            prior
        }
    }
}

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
        if below <= 0.0 {
            return 0.0; // z lies under this worker's ψ
        }
        let kept = (a * (w * a + self.rho * w) / below).sqrt();
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
        if carried(z, admitted) <= rate {
            low = z
        } else {
            high = z
        }
    }
    let mut found = vec![0.0; stations.len()];
    for &j in admitted {
        found[j] = stations[j].rate(high);
    }
    let sum: f64 = found.iter().sum();
    (sum > 0.0).then(|| found.iter().map(|r| r / sum).collect())
}

/// A worker kept from tasks until it has shown, by small trials, that it is well again.
struct Bar {
    until: Time,
    length: Time,
}

/// What a worker has just started with may be too much for it: what this dispatcher may send by now.
struct Cold {
    since: Time,
    /// Mean tasks that may be sent; grows with time, starts at random so that dispatchers spread out.
    room: f64,
    counted: Time,
}

struct Worker {
    id: String,
    zone: usize,
    cell: usize,
    kind: usize,
    state: State,
    started: Option<Time>,
    cold: Option<Cold>,
    bar: Option<Bar>,
    /// Could not be reached of late: what answers next may be a new, cold process.
    lost: bool,
    in_flight: usize,
    /// Assignments that have not shown to have started: when sent, and of which task.
    unstarted: BTreeSet<(Time, u64)>,
    last_sign: Time,
    gaps: Ring,
    /// Utilisation over rate: their sums give θ.
    theta: Ring,
    utilisation: Ring,
    /// Waits from assignment to start, seconds.
    waits: Ring,
    /// Running times over the workload's mean.
    slowness: Ring,
    /// Errors and outcomes, by workload.
    errors: Vec<Ring>,
    free: Option<(Time, f64)>,
    share: f64,
    fastest: bool,
    /// Yji, by workload.
    turns: Vec<f64>,
}

impl Worker {
    fn theta(&self, now: Time) -> Option<f64> {
        let (busy, rate) = self.theta.totals(now);
        (rate > 0.0 && busy > 0.0).then(|| busy / rate)
    }

    /// Level of the billiard: (Xj + Yji)/Pji, but for the workload's share, which is the same for all workers.
    fn level(&self, workload: usize, seen: f64) -> f64 {
        (f64::from(u8::from(self.fastest)) + self.turns[workload]) / (self.share * seen)
    }

    /// How unusual the present silence is, in mean gaps; none while nothing is out.
    fn silence(&self, now: Time, usual: Time) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        (now - self.last_sign) as f64 / self.gaps.mean(now, usual as f64, 2.0).max(usual as f64 / 2.0)
    }

    fn heard(&mut self, now: Time) {
        self.gaps.add(now, (now - self.last_sign) as f64, 1.0);
        self.last_sign = now;
        if std::mem::take(&mut self.lost) {
            // A process that comes back before the list says so is as cold as one that the list names.
            self.cold = Some(Cold {
                since: now,
                room: 0.0,
                counted: now,
            });
        }
    }

    /// Seconds that a task sent now is likely to wait for its start.
    fn wait(&self, now: Time, theta: f64) -> f64 {
        let oldest = self
            .unstarted
            .first()
            .map_or(0.0, |&(sent, _)| (now - sent) as f64 / SECOND as f64);
        let full = self
            .free
            .is_some_and(|(at, free)| free <= 0.0 && now - at < SOLVE / 5);
        let told = if full { theta } else { 0.0 };
        self.waits.mean(now, 0.0, 0.5).max(oldest).max(told) + theta * self.unstarted.len() as f64
    }

    fn bar(&mut self, now: Time, at_least: Time) {
        let length = self
            .bar
            .as_ref()
            .map_or(at_least, |b| (b.length * 2).clamp(at_least, 2 * SOLVE));
        if self.bar.as_ref().is_none_or(|b| b.until <= now) {
            self.bar = Some(Bar {
                until: now + length,
                length,
            });
        }
    }
}

struct Assignment {
    worker: usize,
    sent: Time,
    started: Option<Time>,
    outcome: Option<Outcome>,
}

impl Assignment {
    /// True where it is known that the task did not run here.
    fn never_ran(&self) -> bool {
        matches!(
            self.outcome,
            Some(Outcome::Full | Outcome::Unreachable | Outcome::NeverSent)
        )
    }
}

struct Task {
    id: String,
    workload: usize,
    slots: f64,
    arrived: Time,
    expiry: Time,
    within_share: bool,
    assignments: Vec<Assignment>,
    answered: bool,
    held: bool,
}

impl Task {
    fn out(&self) -> usize {
        self.assignments.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// The ledger of effects: whether the task may be assigned to `worker` now. Every path asks it.
    fn may_assign(
        &self,
        now: Time,
        effect: Effect,
        allowed: &Allowed,
        worker: &Worker,
        all: &[Worker],
    ) -> bool {
        let mut may_have_run = self.assignments.iter().filter(|a| !a.never_ran());
        let fits = self.assignments.len() < allowed.assignments && (allowed.copies || self.out() == 0);
        let Some(first) = may_have_run.next() else {
            return fits;
        };
        fits && match effect {
            Effect::Idempotent => true,
            Effect::SideEffecting => false,
            Effect::Fingerprinted { group, window } => {
                let before = &all[first.worker];
                let same = match group {
                    Group::All => true,
                    Group::Zone => before.zone == worker.zone,
                    Group::Cell => before.cell == worker.cell,
                };
                same && ((now - first.sent) as f64) < window as f64 * WINDOW_USE
            }
        }
    }

    /// Whether the ledger allows the promise that asking again is harmless.
    fn may_bounce(&self, effect: Effect) -> bool {
        let free = matches!(
            effect,
            Effect::Idempotent
                | Effect::Fingerprinted {
                    group: Group::All,
                    ..
                }
        );
        free || self.assignments.iter().all(Assignment::never_ran)
    }
}

enum Step {
    Pass,
    Keep,
    End,
}

type Down = fn(&mut Dispatcher, Time, u64, &mut dyn Outgoing) -> Step;
type Up = fn(&mut Dispatcher, Time, u64, usize, Outcome);

/// The chain: what each stage does with a task on its way down, and with an outcome on its way up.
const STAGES: [(Down, Up); 4] = [
    (Dispatcher::in_time, Dispatcher::in_time_up),
    (Dispatcher::permitted, Dispatcher::permitted_up),
    (Dispatcher::placed, Dispatcher::placed_up),
    (Dispatcher::waiting, Dispatcher::waiting_up),
];

pub struct Dispatcher {
    place: Place,
    workloads: Vec<Workload>,
    customers: Vec<Customer>,
    allowed: Allowed,
    obligations: Obligations,
    known: Known,
    drawn: u64,
    workers: Vec<Worker>,
    index: HashMap<String, usize>,
    tasks: BTreeMap<u64, Task>,
    numbers: HashMap<String, u64>,
    next: u64,
    held: BTreeSet<(u64, Time, u64)>,
    began: Time,
    beats: u64,
    /// Own tasks, all and by workload; running times in seconds by workload.
    arrivals: Ring,
    arrived: Vec<Ring>,
    runs: Vec<Ring>,
    squares: Vec<Ring>,
    quotas: Vec<Ring>,
    stale: bool,
    ask_at: Option<Time>,
    asks_failed: u32,
}

impl Dispatcher {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        now: Time,
        place: Place,
        workloads: Vec<Workload>,
        customers: Vec<Customer>,
        allowed: Allowed,
        obligations: Obligations,
        known: Known,
        out: &mut dyn Outgoing,
    ) -> Self {
        let each = vec![Ring::over(4 * SOLVE); workloads.len()];
        let quotas = vec![Ring::over(SOLVE); customers.len()];
        let mut made = Dispatcher {
            place,
            workloads,
            customers,
            allowed,
            obligations,
            known,
            drawn: 0,
            workers: Vec::new(),
            index: HashMap::new(),
            tasks: BTreeMap::new(),
            numbers: HashMap::new(),
            next: FIRST,
            held: BTreeSet::new(),
            began: now,
            beats: 0,
            arrivals: Ring::over(2 * SOLVE),
            arrived: each.clone(),
            runs: each.clone(),
            squares: each,
            quotas,
            stale: true,
            ask_at: None,
            asks_failed: 0,
        };
        // Dispatchers that start together must not ask together.
        made.ask_at = made
            .allowed
            .must_ask
            .then(|| now + (made.chance() * SOLVE as f64 / 10.0) as Time);
        out.wake(now + (made.chance() * BEAT as f64) as Time, 0);
        made
    }

    /// A number from 0 to 1, by the seed and a counter.
    fn chance(&mut self) -> f64 {
        let mut hasher = DefaultHasher::new();
        self.drawn += 1;
        (self.place.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// How many workloads there are.
    pub fn workloads(&self) -> usize {
        self.workloads.len()
    }

    // ---- the list of workers ----

    /// What the list says: changes only, or everything there is.
    pub fn list(
        &mut self,
        now: Time,
        everything: bool,
        cached: bool,
        entries: &[Listed],
        out: &mut dyn Outgoing,
    ) {
        if !cached {
            self.asks_failed = 0;
            self.ask_at = None;
        }
        if everything {
            for worker in &mut self.workers {
                worker.state = State::Gone;
            }
        }
        for entry in entries {
            let at = match self.index.get(&entry.id) {
                Some(&at) => at,
                None => self.meet(now, entry),
            };
            let cold = entry.started.filter(|&s| now - s < self.obligations.warm_within);
            let room = -self.chance();
            let worker = &mut self.workers[at];
            (worker.zone, worker.cell, worker.kind) = (entry.zone, entry.cell, entry.kind);
            worker.state = entry.state;
            // A new start time is a new process: cold, and nothing seen before holds for it.
            if entry.started != worker.started {
                worker.started = entry.started;
                worker.forget();
                worker.cold = cold.map(|since| Cold {
                    since,
                    room,
                    counted: now,
                });
            }
        }
        self.stale = true;
        self.move_on(now, out);
    }

    fn meet(&mut self, now: Time, entry: &Listed) -> usize {
        let mut worker = Worker {
            id: entry.id.clone(),
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.kind,
            state: entry.state,
            started: None,
            cold: None,
            bar: None,
            lost: false,
            in_flight: 0,
            unstarted: BTreeSet::new(),
            last_sign: now,
            gaps: Ring::default(),
            theta: Ring::default(),
            utilisation: Ring::default(),
            waits: Ring::default(),
            slowness: Ring::default(),
            errors: vec![Ring::default(); self.workloads.len()],
            free: None,
            share: 0.0,
            fastest: false,
            turns: vec![0.0; self.workloads.len()],
        };
        worker.forget();
        self.index.insert(entry.id.clone(), self.workers.len());
        self.workers.push(worker);
        self.workers.len() - 1
    }

    pub fn list_failed(&mut self, now: Time) {
        // Spread out and ever later, but never so late that the list counts as known unread.
        let longest = self.obligations.must_ask_in.max(SOLVE) / 4;
        let pause = ((SECOND / 2) << self.asks_failed.min(8)).min(longest);
        self.asks_failed += 1;
        self.ask_at = self
            .allowed
            .must_ask
            .then(|| now + (pause as f64 * (0.5 + self.chance() / 2.0)) as Time);
    }

    // ---- the model ----

    fn solve(&mut self, now: Time) {
        self.stale = false;
        let ready: Vec<usize> = (0..self.workers.len())
            .filter(|&j| self.admitted(now, j))
            .collect();
        let rate = self.arrivals.totals(now).0 * self.place.group_size as f64
            / ((now - self.began).clamp(SOLVE / 5, 2 * SOLVE) as f64 / SECOND as f64);
        let known: Vec<f64> = ready.iter().filter_map(|&j| self.workers[j].theta(now)).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let spread = self.spread(now);
        let stations: Vec<Station> = ready
            .iter()
            .map(|&j| {
                let worker = &self.workers[j];
                let theta = worker.theta(now).unwrap_or(mean);
                let own = theta * worker.share * rate;
                let rho = (worker.utilisation.mean(now, own, 0.001) - own).clamp(0.0, FULL);
                Station {
                    theta,
                    omega: theta * theta * (1.0 + spread),
                    rho,
                }
            })
            .collect();
        // Where more is asked than the fleet can carry the model has no solution; admission lets through what it
        // can carry, so the shares are those of that load.
        let most: f64 = FULL
            * stations
                .iter()
                .map(|s| (1.0 - s.rho) / s.theta.max(1e-9))
                .sum::<f64>();
        let found =
            shares(&stations, rate.min(most)).unwrap_or(vec![1.0 / ready.len().max(1) as f64; ready.len()]);
        let least = (0..ready.len()).min_by(|&a, &b| stations[a].theta.total_cmp(&stations[b].theta));
        for worker in &mut self.workers {
            (worker.share, worker.fastest) = (0.0, false);
        }
        for (i, &j) in ready.iter().enumerate() {
            self.workers[j].share = found[i];
            self.workers[j].fastest = least == Some(i);
            for workload in 0..self.workloads.len() {
                self.workers[j].turns[workload] = self.chance();
            }
        }
    }

    /// Squared coefficient of variation of own running times (Eq. 18).
    fn spread(&self, now: Time) -> f64 {
        let sum = |rings: &[Ring]| {
            rings
                .iter()
                .map(|r| r.totals(now))
                .fold((0.0, 0.0), |t, r| (t.0 + r.0, t.1 + r.1))
        };
        let ((runs, n), (squares, _)) = (sum(&self.runs), sum(&self.squares));
        if runs <= 0.0 {
            1.0
        } else {
            (squares * n / (runs * runs) - 1.0).max(0.0)
        }
    }

    /// Who the model may admit: ready, and not barred unless so many are that the cause must be a common one.
    fn admitted(&self, now: Time, j: usize) -> bool {
        let ready = |w: &&Worker| w.state == State::Ready;
        let barred = self
            .workers
            .iter()
            .filter(ready)
            .filter(|w| w.bar.is_some())
            .count();
        let common = 2 * barred > self.workers.iter().filter(ready).count();
        let worker = &self.workers[j];
        worker.state == State::Ready && (common || worker.bar.as_ref().is_none_or(|b| b.until <= now))
    }

    /// Mean running time of a workload, seconds.
    fn run(&self, now: Time, workload: usize) -> f64 {
        let prior = self.workloads[workload].due as f64 / SECOND as f64;
        self.runs[workload].mean(now, prior, 0.1)
    }

    // ---- a task on its way down ----

    #[allow(clippy::too_many_arguments)]
    pub fn task(
        &mut self,
        now: Time,
        id: &str,
        workload: usize,
        customer: Option<usize>,
        budget: Time,
        slots: f64,
        _memory: f64,
        out: &mut dyn Outgoing,
    ) {
        let n = self.next;
        self.next += 1;
        self.arrivals.add(now, 1.0, 1.0);
        self.arrived[workload].add(now, 1.0, 1.0);
        let within_share = customer
            .and_then(|c| Some((c, self.customers.get(c)?.quota)))
            .is_none_or(|(c, quota)| {
                self.quotas[c].add(now, 1.0, 1.0);
                let seen = (now - self.began).clamp(SOLVE / 5, SOLVE) as f64 / SECOND as f64;
                self.quotas[c].totals(now).0 * self.place.group_size as f64 / seen <= quota
            });
        let task = Task {
            id: id.to_owned(),
            workload,
            slots: slots.max(1.0),
            arrived: now,
            expiry: now + budget,
            within_share,
            assignments: Vec::new(),
            answered: false,
            held: false,
        };
        self.tasks.insert(n, task);
        self.numbers.insert(id.to_owned(), n);
        out.wake(now + budget, n);
        self.down(now, n, out);
    }

    fn down(&mut self, now: Time, n: u64, out: &mut dyn Outgoing) {
        for (stage, _) in STAGES {
            match stage(self, now, n, out) {
                Step::Pass => {}
                Step::Keep => return,
                Step::End => return self.answer(now, n, out),
            }
        }
    }

    /// The final answer, at once: a bounce where the ledger allows that promise, else an abandonment.
    fn answer(&mut self, now: Time, n: u64, out: &mut dyn Outgoing) {
        let Some(task) = self.tasks.get_mut(&n).filter(|t| !t.answered) else {
            return;
        };
        task.answered = true;
        if task.may_bounce(self.workloads[task.workload].effect) {
            out.bounce(&task.id, if now < task.expiry { self.allowed.pause } else { 0 });
        } else {
            out.abandon(&task.id);
        }
        self.close(n, out);
    }

    /// An answered task goes nowhere any more: what is still out is withdrawn.
    fn close(&mut self, n: u64, out: &mut dyn Outgoing) {
        let Some(task) = self.tasks.get_mut(&n) else {
            return;
        };
        task.answered = true;
        self.held.remove(&rank(task, &self.workloads, n));
        if self.allowed.withdrawal {
            for (i, _) in task
                .assignments
                .iter()
                .enumerate()
                .filter(|(_, a)| a.outcome.is_none())
            {
                out.withdraw(&task.id, i);
            }
        }
        if task.out() == 0 {
            self.numbers.remove(&task.id);
            self.tasks.remove(&n);
        }
    }

    fn in_time(&mut self, now: Time, n: u64, _: &mut dyn Outgoing) -> Step {
        match self.tasks.get(&n) {
            Some(task) if task.answered => Step::Keep,
            Some(task) if now < task.expiry => Step::Pass,
            Some(_) => Step::End,
            None => Step::Keep,
        }
    }

    fn permitted(&mut self, now: Time, n: u64, _: &mut dyn Outgoing) -> Step {
        let task = &self.tasks[&n];
        let effect = self.workloads[task.workload].effect;
        let may = |w: &Worker| task.may_assign(now, effect, &self.allowed, w, &self.workers);
        match self.workers.iter().any(may) || self.workers.is_empty() {
            true => Step::Pass,
            false if task.out() > 0 => Step::Keep,
            false => Step::End,
        }
    }

    /// The billiard (Algorithm 2): the least (Xj + Yji)/Pji among the workers that are not skipped.
    fn placed(&mut self, now: Time, n: u64, out: &mut dyn Outgoing) -> Step {
        if self.stale {
            self.solve(now);
        }
        let task = &self.tasks[&n];
        let (i, load) = (task.workload, &self.workloads[task.workload]);
        let run = self.run(now, i);
        let due = (task.arrived - now + load.due) as f64 / SECOND as f64 + load.stretch * run;
        let seen = (self.arrived[i].totals(now).0 / self.arrivals.totals(now).0.max(1.0)).max(UNSEEN);
        let ready = self.workers.iter().filter(|w| w.share > 0.0).count();
        let flying: usize = self
            .workers
            .iter()
            .filter(|w| w.share > 0.0)
            .map(|w| w.in_flight)
            .sum();
        let skip = (2.0 * flying as f64 / ready.max(1) as f64).max(SKIP_FLOOR);
        let cost = task.slots * run / self.mean_cost(now);
        let mut best: Option<((u8, f64), usize)> = None;
        let mut passed = Vec::new();
        for (j, worker) in self.workers.iter().enumerate() {
            if worker.share <= 0.0
                || worker.state != State::Ready
                || load.kind.is_some_and(|k| k != worker.kind)
            {
                continue;
            }
            let barred = worker.bar.as_ref().is_some_and(|b| {
                b.until > now || worker.in_flight > 0 || !matches!(load.effect, Effect::Idempotent)
            });
            let level = worker.level(i, seen);
            let theta = worker.theta(now).unwrap_or(0.1);
            let wait = worker.wait(now, theta);
            let finish = wait + run * worker.slowness.mean(now, 1.0, 2.0);
            let usual = self.known.progress.max(SECOND / 2);
            let skipped = worker.in_flight as f64 >= skip
                || barred
                || task.assignments.iter().any(|a| a.worker == j)
                || worker.silence(now, usual) > SILENT
                || worker.cold.as_ref().is_some_and(|c| c.room < cost)
                || !task.may_assign(now, load.effect, &self.allowed, worker, &self.workers);
            let far = self.known.cross_zone > 0.0 && worker.zone != self.place.zone;
            let tier = if finish > due {
                4
            } else if wait > theta / 2.0 {
                2 + u8::from(far)
            } else {
                u8::from(far)
            };
            if skipped || tier > 0 {
                passed.push((j, level));
            }
            if !skipped && best.is_none_or(|(b, _)| (tier, level) < b) {
                best = Some(((tier, level), j));
            }
        }
        let Some(((tier, level), j)) = best else {
            return Step::Pass;
        };
        if tier == 4 && load.overdue <= 0.0 && task.assignments.is_empty() {
            return Step::Pass;
        }
        // A skipped worker's turn is passed, or it would be owed a burst on its return.
        for (p, behind) in passed {
            if p != j && behind < level {
                let worker = &mut self.workers[p];
                worker.turns[i] += (level - behind) * worker.share * seen;
            }
        }
        let worker = &mut self.workers[j];
        worker.turns[i] += 1.0;
        if worker.in_flight == 0 {
            worker.last_sign = now;
        }
        worker.in_flight += 1;
        worker.unstarted.insert((now, n));
        if let Some(cold) = &mut worker.cold {
            cold.room -= cost;
        }
        let key = rank(&self.tasks[&n], &self.workloads, n);
        self.held.remove(&key);
        let task = self.tasks.get_mut(&n).expect("looked up above");
        task.held = false;
        task.assignments.push(Assignment {
            worker: j,
            sent: now,
            started: None,
            outcome: None,
        });
        out.assign(&task.id, &self.workers[j].id);
        Step::Keep
    }

    /// Mean running time times slots of own tasks.
    fn mean_cost(&self, now: Time) -> f64 {
        let mix = self
            .arrived
            .iter()
            .enumerate()
            .map(|(i, a)| (a.totals(now).0, self.run(now, i)));
        let (sum, n) = mix.fold((0.0, 0.0), |t, (count, run)| (t.0 + count * run, t.1 + count));
        if n > 0.0 { sum / n } else { 1.0 }
    }

    /// A task that no worker can take now waits here, so long as it can still be in time.
    fn waiting(&mut self, now: Time, n: u64, out: &mut dyn Outgoing) -> Step {
        let task = &self.tasks[&n];
        if task.out() > 0 {
            return Step::Keep;
        }
        let load = &self.workloads[task.workload];
        let run = self.run(now, task.workload);
        let latest = task.arrived + load.due + ((load.stretch - 1.0).max(0.0) * run * SECOND as f64) as Time;
        let latest = latest.min(task.expiry);
        if now >= latest {
            return Step::End;
        }
        self.held.insert(rank(task, &self.workloads, n));
        let task = self.tasks.get_mut(&n).expect("looked up above");
        if !std::mem::replace(&mut task.held, true) {
            out.wake(latest, n);
        }
        Step::Keep
    }

    // ---- what comes back ----

    /// A job told that it started or how far it is: a sign of life.
    pub fn sign(
        &mut self,
        now: Time,
        id: &str,
        assignment: usize,
        _done: Option<f64>,
        out: &mut dyn Outgoing,
    ) {
        let Some(&n) = self.numbers.get(id) else { return };
        let Some(a) = self
            .tasks
            .get_mut(&n)
            .and_then(|t| t.assignments.get_mut(assignment))
        else {
            return;
        };
        let worker = &mut self.workers[a.worker];
        worker.heard(now);
        if a.started.is_none() {
            a.started = Some(now);
            worker.unstarted.remove(&(a.sent, n));
            worker.waits.add(now, (now - a.sent) as f64 / SECOND as f64, 1.0);
            self.move_on(now, out);
        }
    }

    /// How an assignment ended; `closed` tells that the client has its answer.
    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: Time,
        id: &str,
        assignment: usize,
        outcome: Outcome,
        closed: bool,
        report: Report,
        out: &mut dyn Outgoing,
    ) {
        let Some(&n) = self.numbers.get(id) else { return };
        let Some(task) = self.tasks.get_mut(&n) else {
            return;
        };
        task.answered |= closed;
        let Some(a) = task
            .assignments
            .get_mut(assignment)
            .filter(|a| a.outcome.is_none())
        else {
            return;
        };
        a.outcome = Some(outcome);
        let j = a.worker;
        self.reported(now, j, report);
        for (_, stage) in STAGES.iter().rev() {
            stage(self, now, n, assignment, outcome);
        }
        if self.tasks[&n].answered {
            self.close(n, out);
        } else if self.tasks[&n].out() == 0 {
            self.down(now, n, out);
        }
        self.move_on(now, out);
    }

    fn waiting_up(&mut self, _: Time, _: u64, _: usize, _: Outcome) {}

    /// What the outcome says of the worker: its load, its speed and its health.
    fn placed_up(&mut self, now: Time, n: u64, assignment: usize, outcome: Outcome) {
        let task = &self.tasks[&n];
        let (a, i) = (&task.assignments[assignment], task.workload);
        let run = self.run(now, i);
        let idempotent = matches!(self.workloads[i].effect, Effect::Idempotent);
        let ran = a.started.map(|s| (now - s) as f64 / SECOND as f64);
        let worker = &mut self.workers[a.worker];
        worker.in_flight -= 1;
        worker.unstarted.remove(&(a.sent, n));
        match outcome {
            Outcome::Finished => {
                worker.heard(now);
                worker.errors[i].add(now, 0.0, 1.0);
                if let Some(ran) = ran {
                    self.runs[i].add(now, ran, 1.0);
                    self.squares[i].add(now, ran * ran, 1.0);
                    worker.slowness.add(now, ran / run.max(0.001), 1.0);
                }
                // Well again only by and by: a worker that fails half its tasks also finishes half of them.
                if let Some(bar) = worker.bar.as_mut().filter(|b| b.until <= now) {
                    bar.length /= 2;
                    if bar.length < SOLVE / 10 {
                        worker.bar = None;
                        self.stale = true;
                    }
                }
            }
            Outcome::Failed => {
                worker.heard(now);
                worker.errors[i].add(now, 1.0, 1.0);
                let (errors, all) = worker.errors[i].totals(now);
                if (errors >= 2.0 && errors / all > ERRONEOUS) || worker.bar.is_some() {
                    worker.bar(now, SOLVE / 5);
                    self.stale = true;
                }
            }
            // An idempotent job may have been killed for a better one: no fault of the worker.
            Outcome::Reset if idempotent => worker.last_sign = now,
            Outcome::Reset | Outcome::Unreachable => {
                worker.lost = true;
                worker.bar(now, SOLVE / 5);
                self.stale = true;
            }
            Outcome::Full => worker.waits.add(now, run, 1.0),
            Outcome::TimedOut | Outcome::Withdrawn | Outcome::NeverSent => {}
        }
    }

    fn permitted_up(&mut self, _: Time, _: u64, _: usize, _: Outcome) {}

    fn in_time_up(&mut self, _: Time, _: u64, _: usize, _: Outcome) {}

    fn reported(&mut self, now: Time, j: usize, report: Report) {
        let worker = &mut self.workers[j];
        if let (Some(busy), Some(rate)) = (report.utilisation, report.rate) {
            worker.theta.add(now, busy, rate);
            worker.utilisation.add(now, busy, 1.0);
        }
        if let Some(free) = report.free_slots {
            worker.free = Some((now, free));
        }
    }

    pub fn probed(
        &mut self,
        now: Time,
        worker: &str,
        outcome: Outcome,
        report: Report,
        out: &mut dyn Outgoing,
    ) {
        let Some(&j) = self.index.get(worker) else { return };
        if outcome == Outcome::Finished {
            self.reported(now, j, report);
            self.move_on(now, out);
        }
    }

    /// The client is gone: nothing is owed any more.
    pub fn left(&mut self, _: Time, id: &str, out: &mut dyn Outgoing) {
        if let Some(&n) = self.numbers.get(id) {
            self.close(n, out);
        }
    }

    /// Room may have appeared: held tasks move on, the best first, until one finds none.
    fn move_on(&mut self, now: Time, out: &mut dyn Outgoing) {
        while let Some(&(_, _, n)) = self.held.first() {
            self.down(now, n, out);
            if self.tasks.get(&n).is_some_and(|t| t.held && !t.answered) {
                return;
            }
        }
    }

    pub fn due(&mut self, now: Time, mark: u64, out: &mut dyn Outgoing) {
        if mark >= FIRST {
            return self.down(now, mark, out);
        }
        out.wake(now + BEAT, 0);
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = Some(now + self.obligations.must_ask_in / 2);
            out.follow();
        }
        for j in 0..self.workers.len() {
            self.warm(now, j);
            let worker = &self.workers[j];
            if self.allowed.probes
                && self.known.reports_by_probe
                && worker.state == State::Ready
                && self.beats % 2 == 0
            {
                out.probe(&worker.id);
            }
        }
        if self.beats.is_multiple_of((SOLVE / BEAT) as u64) {
            self.solve(now);
        }
        self.beats += 1;
        self.move_on(now, out);
    }

    /// A cold worker's room grows with what it can do by now, a dispatcher's part of it.
    fn warm(&mut self, now: Time, j: usize) {
        let like = |w: &&Worker| w.cold.is_none() && w.kind == self.workers[j].kind;
        let thetas: Vec<f64> = self
            .workers
            .iter()
            .filter(like)
            .filter_map(|w| w.theta(now))
            .collect();
        let theta = thetas.iter().sum::<f64>() / thetas.len() as f64;
        let worker = &mut self.workers[j];
        let Some(cold) = &mut worker.cold else { return };
        let age = (now - cold.since) as f64 / self.obligations.warm_within.max(1) as f64;
        if age >= 1.0 {
            worker.cold = None;
            return;
        }
        let can = self.obligations.cold_from + (1.0 - self.obligations.cold_from) * age;
        let part = COLD_USE * self.obligations.overload_factor * can / self.place.group_size.max(1) as f64;
        let rate = if theta > 0.0 { part / theta } else { 0.0 };
        let window = self.obligations.fall as f64 / SECOND as f64;
        cold.room += rate * (now - cold.counted) as f64 / SECOND as f64;
        cold.room = cold.room.min((rate * window).max(2.0));
        cold.counted = now;
    }
}

impl Worker {
    /// Drops what was seen of the process before.
    fn forget(&mut self) {
        self.gaps = Ring::over(4 * SOLVE);
        self.theta = Ring::over(SOLVE);
        self.utilisation = Ring::over(SOLVE);
        self.waits = Ring::over(SOLVE / 4);
        self.slowness = Ring::over(2 * SOLVE);
        self.errors.fill(Ring::over(2 * SOLVE));
        (self.bar, self.cold, self.free, self.lost) = (None, None, None, false);
    }
}

/// The order in which held tasks move on: dearest first, those within their customer's share before others.
fn rank(task: &Task, workloads: &[Workload], n: u64) -> (u64, Time, u64) {
    let worth = workloads[task.workload].revenue * if task.within_share { 1.0 } else { 0.1 };
    (u64::MAX - (worth.max(0.0) * 1000.0) as u64, task.expiry, n)
}
