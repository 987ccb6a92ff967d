//! What a dispatcher remembers of tasks and workers, and what it measures and draws with. No decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::{Group, Listed, Outcome, Report, SECOND, State, Time};

const BUCKETS: Time = 8;

/// Sums over the last few buckets of time; the oldest bucket is used again for the newest.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Ring {
    width: Time,
    /// Empty until something is seen: most of a large fleet never is.
    buckets: Vec<(Time, f64, f64)>,
}

impl Ring {
    pub fn over(span: Time) -> Self {
        Ring { width: (span / BUCKETS).max(1), buckets: Vec::new() }
    }

    pub fn add(&mut self, now: Time, sum: f64, weight: f64) {
        let turn = now.div_euclid(self.width);
        self.buckets.resize(BUCKETS as usize, (Time::MIN, 0.0, 0.0));
        let bucket = &mut self.buckets[turn.rem_euclid(BUCKETS) as usize];
        if bucket.0 != turn {
            *bucket = (turn, 0.0, 0.0);
        }
        bucket.1 += sum;
        bucket.2 += weight;
    }

    /// Whether this is the same measure as another ring's, in numbers that it can hold.
    fn like(&self, other: &Ring) -> bool {
        let sound = |b: &(Time, f64, f64)| [b.1, b.2].iter().all(|n| n.is_finite() && *n >= 0.0);
        let whole = [0, BUCKETS as usize].contains(&self.buckets.len());
        self.width == other.width && whole && self.buckets.iter().all(sound)
    }

    pub fn totals(&self, now: Time) -> (f64, f64) {
        let oldest = now.div_euclid(self.width) - BUCKETS;
        let live = self.buckets.iter().filter(|b| b.0 > oldest);
        live.fold((0.0, 0.0), |t, b| (t.0 + b.1, t.1 + b.2))
    }

    /// The mean, drawn towards `prior` as if that had been seen `weight` times.
    pub fn mean(&self, now: Time, prior: f64, weight: f64) -> f64 {
        let (sum, seen) = self.totals(now);
        if seen + weight > 0.0 { (sum + prior * weight) / (seen + weight) } else { prior }
    }
}

/// Whether these are the same measures as others.
fn alike(mine: &[&Ring], others: &[&Ring]) -> bool {
    mine.len() == others.len() && mine.iter().zip(others).all(|(a, b)| a.like(b))
}

/// Chance, by a seed and a counter.
pub(crate) struct Chance {
    pub seed: u64,
    pub drawn: u64,
}

impl Chance {
    /// A number from 0 to below 1.
    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A worker kept from tasks until it has shown, by small trials, that it is well again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Bar {
    pub until: Time,
    pub length: Time,
}

/// A worker that has just started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Cold {
    pub since: Time,
    /// Mean tasks that this dispatcher may send by now; grows with time.
    pub room: f64,
    pub counted: Time,
}

impl Cold {
    /// Room grows by `rate` a second, up to `most`.
    pub fn grow(&mut self, now: Time, rate: f64, most: f64) {
        self.room = (self.room + rate * seconds(now - self.counted)).min(most);
        self.counted = now;
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Worker {
    pub id: String,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub state: State,
    pub started: Option<Time>,
    /// Taken out by hand, and when it was last given back.
    pub out: bool,
    pub back: Option<Time>,
    /// Given back, and not used since.
    pub untried: bool,
    /// What it can do at best, by the list's weights.
    pub size: f64,
    pub cold: Option<Cold>,
    pub bar: Option<Bar>,
    /// Could not be reached of late: what answers next may be a new, cold process.
    pub lost: bool,
    #[serde(skip)]
    pub in_flight: usize,
    /// The most free slots it ever told of.
    pub slots: f64,
    /// Assignments not known to have started: when sent, and of which task.
    #[serde(skip)]
    pub unstarted: BTreeSet<(Time, u64)>,
    #[serde(skip)]
    pub last_sign: Time,
    /// Microseconds between signs of life.
    pub gaps: Ring,
    /// Utilisation, weighed by rate: its mean is θ, seconds of the whole worker for a task.
    pub theta: Ring,
    pub utilisation: Ring,
    /// Rates as reported.
    pub reports: Ring,
    /// Seconds from assignment to start.
    pub waits: Ring,
    /// Part of its tasks that were errors, by its last report of any.
    pub erring: f64,
    /// Errors among outcomes, by workload.
    pub errors: Vec<Ring>,
    /// Free slots as last reported, and when.
    pub free: Option<(Time, f64)>,
    #[serde(skip)]
    pub share: f64,
    /// θ as the model was last given it.
    pub model_theta: f64,
    pub fastest: bool,
    /// Yji, by workload.
    #[serde(skip)]
    pub turns: Vec<f64>,
}

/// Where the dispatcher is in its own rounds of probes and calls for the list.
#[derive(Default)]
pub(crate) struct Pulse {
    pub beats: u64,
    /// Probes that own tasks have earned, and how many have gone out.
    pub credit: f64,
    pub probed: usize,
    pub ask_at: Option<Time>,
    pub asks_failed: u32,
}

impl Pulse {
    /// Counts a beat; true at every `turn`th.
    pub fn beat(&mut self, turn: u64) -> bool {
        self.beats += 1;
        self.beats.is_multiple_of(turn)
    }

    /// The numbers of the probes that may go out now, where `earned` more have been, and `most` at once.
    pub fn probes(&mut self, earned: f64, most: usize) -> std::ops::Range<usize> {
        self.credit = (self.credit + earned).min(most as f64);
        let first = self.probed;
        self.probed += self.credit as usize;
        self.credit = self.credit.fract();
        first..self.probed
    }
}

/// What the reports of some workers say of them together.
#[derive(Debug, Default)]
pub(crate) struct Census {
    /// Tasks a second of a mean worker; 0 where none has reported.
    pub rate: f64,
    /// Mean utilisation, where it is known of any.
    pub utilisation: Option<f64>,
    /// Mean θ of a worker of size 1.
    pub effort: f64,
    few: f64,
    kinds: BTreeMap<usize, (f64, f64)>,
}

/// The part of the fleet that a dispatcher keeps to, as last solved for.
#[derive(Default)]
pub(crate) struct Part {
    pub workers: Vec<usize>,
    /// What they had reported by then.
    pub census: Census,
    /// So many are barred or fail that the cause must be a common one.
    pub common: bool,
    /// What a far worker's share counts, by a near one's.
    pub lean: f64,
}

impl Census {
    /// A worker's θ, drawn to its kind's by `few` tasks: one that reports little would look fast beyond all others.
    pub fn theta_of(&self, now: Time, worker: &Worker) -> f64 {
        let ((busy, tasks), kind) = (worker.theta.totals(now), self.kinds[&worker.kind]);
        (busy + kind.0 / kind.1.max(1e-9) * self.few) / (tasks + self.few).max(1e-9)
    }
}

impl Worker {
    /// Whether the same is measured of it as of another.
    fn like(&self, other: &Worker) -> bool {
        alike(&self.rings(), &other.rings())
    }

    fn rings(&self) -> Vec<&Ring> {
        let single = [&self.gaps, &self.theta, &self.utilisation, &self.reports, &self.waits];
        single.into_iter().chain(&self.errors).collect()
    }

    /// Whether it and another worker are of one group, and so drop one another's repeats.
    pub fn shares_group(&self, other: &Worker, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Cell => self.cell == other.cell,
        }
    }

    /// The present silence, in mean gaps; `usual` is the gap to go by until some are seen.
    pub fn silence(&self, now: Time, usual: Time) -> f64 {
        let since = if self.in_flight == 0 { now } else { self.last_sign };
        (now - since) as f64 / self.gaps.mean(now, usual as f64, 2.0).max(usual as f64 / 2.0)
    }

    /// Takes an answer: a sign of life, and an error or none.
    pub fn answered(&mut self, now: Time, workload: usize, errors: f64) {
        self.heard(now);
        self.errors[workload].add(now, errors, 1.0);
    }

    /// Takes what it reports of itself.
    pub fn report(&mut self, now: Time, report: Report) {
        if let (Some(busy), Some(rate)) = (report.utilisation, report.rate) {
            self.theta.add(now, busy, rate);
            self.reports.add(now, rate, 1.0);
            self.utilisation.add(now, busy, 1.0);
        }
        // Who gets no tasks makes no errors: that says nothing of whether it would.
        let (errors, rate) = (report.errors.unwrap_or(0.0).max(0.0), report.rate.unwrap_or(0.0).max(0.0));
        if errors + rate > 0.0 {
            self.erring = errors / (errors + rate);
        }
        self.slots = self.slots.max(report.free_slots.unwrap_or(0.0));
        // What waits there counts as slots less than none, a mean running time each for all slots together.
        let queue = report.queue.unwrap_or(0.0).clamp(0.0, 1e6) / self.slots.max(1.0);
        self.free = report.free_slots.map(|free| (now, free - queue)).or(self.free);
    }

    /// Takes a live weight: its size over one more than the tasks that it holds for each core.
    pub fn weighed(&mut self, now: Time, weight: f64) {
        let held = self.size / weight.max(1e-3) - 1.0;
        self.utilisation.add(now, held.min(1.0), 1.0);
        self.free = Some((now, 1.0 - held));
    }

    /// Whether errors are more than `part` of a workload's outcomes; that alone, as others may do well here.
    pub fn fails(&self, now: Time, workload: usize, part: f64) -> bool {
        let (errors, all) = self.errors[workload].totals(now);
        self.erring > part || errors >= 2.0 && errors > part * all
    }

    pub fn ill(&self, now: Time, part: f64) -> bool {
        self.bar.is_some() || (0..self.errors.len()).any(|i| self.fails(now, i, part))
    }

    pub fn barred(&self, now: Time) -> bool {
        self.bar.as_ref().is_some_and(|b| b.until > now)
    }

    /// Bars it, as one that was lost: for the `first` length, and each time for twice as long, up to `longest`.
    pub fn bar(&mut self, now: Time, first: Time, longest: Time) {
        self.lost = true;
        let length = self.bar.as_ref().map_or(first, |b| (2 * b.length).min(longest));
        if !self.barred(now) {
            self.bar = Some(Bar { until: now + length, length });
        }
    }

    /// Takes a sign of life.
    pub fn heard(&mut self, now: Time) {
        self.gaps.add(now, (now - self.last_sign) as f64, 1.0);
        self.last_sign = now;
        // A process that answers again before the list names its start is as cold as one that it names.
        if std::mem::take(&mut self.lost) {
            self.cold = Some(Cold { since: now, room: -1.0, counted: now });
        }
    }

    /// Seconds that a task sent now is likely to wait for its start; what it told is `fresh` for so long.
    pub fn wait(&self, now: Time, fresh: Time, (theta, run): (f64, f64), elsewhere: f64) -> f64 {
        let oldest = self.unstarted.first().map_or(0.0, |&(sent, _)| seconds(now - sent));
        let room = self.free.filter(|&(at, _)| now - at < fresh).map(|(_, free)| free > 0.0);
        // Who sees few starts goes by what waits are like elsewhere, unless the worker has told of room.
        let behind = self.free.map_or(0.0, |(_, free)| run * (-free).max(0.0));
        let told = if room == Some(false) { theta.max(behind) } else { 0.0 };
        let prior = if room == Some(true) { 0.0 } else { elsewhere.max(told) };
        self.waits.mean(now, prior, 0.25).max(oldest)
    }

    /// Drops what was seen of a process that is no more; `span` is the time between two solves.
    pub fn forget(&mut self, workloads: usize, span: Time) {
        self.gaps = Ring::over(4 * span);
        (self.theta, self.utilisation, self.reports) = (Ring::over(span), Ring::over(span), Ring::over(span));
        self.waits = Ring::over(span / 4);
        self.errors = vec![Ring::over(2 * span); workloads];
        self.turns = vec![0.0; workloads];
        (self.bar, self.cold, self.free, self.lost, self.erring) = (None, None, None, false, 0.0);
    }

    /// Given back by hand: what is still out was sent to a process that is no more, and says nothing of this one.
    pub fn give_back(&mut self, now: Time) {
        (self.back, self.last_sign, self.untried) = (Some(now), now, true);
        self.unstarted.clear();
        // Who is told of it is told alone, or with the few of its group: the spread may be less wide.
        self.cold.iter_mut().for_each(|c| c.room /= 2.0);
    }

    /// Takes its share of a solve, with the θ that the model was given; its turns begin anew, by chance.
    pub fn take_share(&mut self, share: f64, theta: f64, fastest: bool, chance: &mut Chance) {
        self.share = share;
        self.model_theta = theta;
        self.fastest = fastest;
        self.turns.iter_mut().for_each(|y| *y = chance.draw());
    }

    /// An assignment goes out; silence counts from here if nothing was out before.
    pub fn book(&mut self, now: Time, task: u64, cost: f64) {
        if self.in_flight == 0 {
            self.last_sign = now;
        }
        self.in_flight += 1;
        self.untried = false;
        self.cold.iter_mut().for_each(|c| c.room -= cost);
        self.unstarted.insert((now, task));
    }

    /// The job of an assignment that went out at `sent` has started.
    pub fn starts(&mut self, now: Time, sent: Time, task: u64) {
        self.unstarted.remove(&(sent, task));
        self.waits.add(now, seconds(now - sent), 1.0);
    }

    /// Whether an assignment has waited `quiet` and more for its start while the worker told of room for it: that is as
    /// good as two errors of its workload here, and true once.
    pub fn passes_over(&mut self, now: Time, (n, task, a): (u64, &Task, usize), quiet: Time) -> bool {
        let sent = task.assignments[a].sent;
        let room = self.free.is_some_and(|(at, free)| free > task.slots - 1.0 && at - sent >= quiet);
        let over = room && now - sent >= quiet && self.unstarted.remove(&(sent, n));
        // Dearer to learn than an error that comes at once: one is enough to keep the workload away for a while.
        if over {
            self.errors[task.workload].add(now, 2.0, 2.0);
        }
        over
    }

    /// An assignment that went out at `sent` has ended.
    pub fn strike(&mut self, sent: Time, task: u64) {
        self.in_flight -= 1;
        self.unstarted.remove(&(sent, task));
    }
}

#[derive(Debug)]
pub(crate) struct Assignment {
    pub worker: usize,
    pub sent: Time,
    pub started: Option<Time>,
    /// When its worker last told that it runs.
    pub heard: Time,
    pub outcome: Option<Outcome>,
}

impl Assignment {
    pub fn sent(worker: usize, now: Time) -> Self {
        Assignment { worker, sent: now, started: None, heard: now, outcome: None }
    }

    /// Whether it runs and has told nothing for as long as `due`.
    pub fn overdue(&self, now: Time, due: Time) -> bool {
        due > 0 && self.started.is_some() && now - self.heard >= due
    }

    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Task {
    pub id: String,
    pub workload: usize,
    pub slots: f64,
    pub arrived: Time,
    pub expiry: Time,
    /// The part of its customer's tasks that lay within the customer's share when it came.
    pub within_share: f64,
    pub assignments: Vec<Assignment>,
    pub answered: bool,
    /// Its place among the tasks that wait here, least first.
    pub held: Option<(u64, Time, u64)>,
}

impl Task {
    /// The numbers of the assignments still out.
    pub fn open(&self) -> impl Iterator<Item = usize> {
        let open = |(i, a): (usize, &Assignment)| a.outcome.is_none().then_some(i);
        self.assignments.iter().enumerate().filter_map(open)
    }

    /// Those of which word is awaited: of their start, or where some is due, of their progress.
    pub fn watched(&self, due: Time) -> impl Iterator<Item = usize> {
        self.open().filter(move |a| due > 0 || self.assignments[*a].started.is_none())
    }

    /// None of those still out has started.
    pub fn waits(&self) -> bool {
        self.open().all(|i| self.assignments[i].started.is_none())
    }

    pub fn out(&self) -> usize {
        self.open().count()
    }
}

/// Which of the rings earns least.
pub(crate) fn worst(rings: &[Ring], now: Time) -> Option<usize> {
    let earned = |i: &usize| rings[*i].mean(now, 1.0, 1.0);
    (0..rings.len()).min_by(|i, j| earned(i).total_cmp(&earned(j)))
}

pub(crate) fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

pub(crate) fn micros(seconds: f64) -> Time {
    (seconds * SECOND as f64) as Time
}

/// The workers that the list has named so far, in the order of their first mention.
#[derive(Default)]
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    index: HashMap<String, usize>,
    /// The ids that staff have taken out, whether the list names them now or not.
    out: BTreeSet<String>,
    /// The workers in an order by chance that stays the same whatever the list adds or drops.
    ring: BTreeMap<u64, usize>,
    /// Dispatchers of one round have one order.
    round: usize,
}

impl Fleet {
    pub fn of(round: usize) -> Self {
        Fleet { round, ..Fleet::default() }
    }

    pub fn named(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Staff take an id out, or give it back; gives the worker where that changes what holds for it.
    pub fn hand(&mut self, id: &str, out: bool) -> Option<usize> {
        let changed = if out { self.out.insert(id.to_owned()) } else { self.out.remove(id) };
        let j = self.named(id).filter(|_| changed)?;
        self.workers[j].out = out;
        Some(j)
    }

    /// How many workers are in the list, and how many of these are avoided: by hand, or, where errors and bars count, for
    /// those.
    pub fn listed(&self, now: Time, errors: f64, count: bool) -> (usize, usize) {
        let listed = || self.workers.iter().filter(|w| w.state != State::Gone);
        let avoided = |w: &&Worker| w.out || count && w.ill(now, errors);
        (listed().count(), listed().filter(avoided).count())
    }

    /// Counts what `among` have reported; `few` is the part of a mean worker's tasks that a θ must rest on.
    pub fn census(&self, now: Time, among: &[usize], few: f64) -> Census {
        let workers = || among.iter().map(|&j| &self.workers[j]);
        let add = |t: (f64, f64), u: (f64, f64)| (t.0 + u.0, t.1 + u.1);
        let sum = |of: fn(&Worker) -> &Ring| workers().map(|w| of(w).totals(now)).fold((0.0, 0.0), add);
        let (rates, reports) = sum(|w| &w.reports);
        let (used, told) = sum(|w| &w.utilisation);
        let (_, tasks) = sum(|w| &w.theta);
        let (few, any) = (few * tasks / among.len().max(1) as f64, tasks.max(1e-9));
        let effort = workers().map(|w| w.theta.totals(now).0 * w.size).sum::<f64>() / any;
        let mut kinds = BTreeMap::new();
        for worker in workers() {
            let kind = kinds.entry(worker.kind).or_insert((effort / worker.size * few, few));
            *kind = add(*kind, worker.theta.totals(now));
        }
        let rate = if reports > 0.0 { rates / reports } else { 0.0 };
        let utilisation = (told > 0.0).then(|| used / told);
        Census { rate, utilisation, effort, few, kinds }
    }

    /// The workers of a part: how many, and the ids of those gone, barred, cold, ill and without a share.
    pub fn standing(&self, part: &Part, now: Time, errors: f64) -> String {
        let of = |is: &dyn Fn(&Worker) -> bool| {
            let found = part.workers.iter().map(|&j| &self.workers[j]).filter(|w| is(w));
            found.map(|w| w.id.as_str()).collect::<Vec<_>>().join(",")
        };
        let gone = of(&|w| w.state != State::Ready);
        let (barred, cold) = (of(&|w| w.barred(now)), of(&|w| w.cold.is_some()));
        let (ill, idle) = (of(&|w| w.ill(now, errors)), of(&|w| w.share <= 0.0));
        let all = part.workers.len();
        format!("part={all} gone={gone} barred={barred} cold={cold} ill={ill} unshared={idle}")
    }

    /// What the near workers of a part have told of their utilisation, in sum, and how many have; and the far ones.
    pub fn busy(&self, now: Time, part: &Part, zone: usize) -> ((f64, f64), (f64, f64)) {
        let busy = |near: bool| {
            let part = part.workers.iter().map(|&j| &self.workers[j]);
            let among = part.filter(|w| w.state == State::Ready && (w.zone == zone) == near);
            let told =
                among.map(|w| w.utilisation.totals(now)).filter(|t| t.1 > 0.0).map(|(u, n)| (u / n, 1.0));
            told.fold((0.0, 0.0), |t, u| (t.0 + u.0, t.1 + u.1))
        };
        (busy(true), busy(false))
    }

    /// Jobs in flight at a mean worker of a part, of those with a share.
    pub fn mean_flying(&self, part: &Part) -> f64 {
        let open = || part.workers.iter().map(|&j| &self.workers[j]).filter(|w| w.share > 0.0);
        open().map(|w| w.in_flight).sum::<usize>() as f64 / open().count().max(1) as f64
    }

    /// The ready workers that staff have not taken out, in the ring's order: near ones, and far ones.
    pub fn by_zone(&self, zone: usize) -> (Vec<usize>, Vec<usize>) {
        let ready =
            self.ring.values().filter(|j| self.workers[**j].state == State::Ready && !self.workers[**j].out);
        ready.partition(|j| self.workers[**j].zone == zone)
    }

    /// Leaves no worker with a share.
    pub fn clear_shares(&mut self) {
        for worker in &mut self.workers {
            worker.share = 0.0;
            worker.fastest = false;
        }
    }

    /// How many workers the list says are ready.
    pub fn ready(&self) -> usize {
        self.workers.iter().filter(|w| w.state == State::Ready).count()
    }

    /// Takes over an entry of the list; tells whether its process is a new one, and whether its state has changed.
    pub fn enter(&mut self, entry: &Listed) -> (usize, bool, bool) {
        let known = self.named(&entry.id);
        let j = known.unwrap_or(self.workers.len());
        if known.is_none() {
            self.index.insert(entry.id.clone(), j);
            let mut hasher = DefaultHasher::new();
            (self.round, &entry.id).hash(&mut hasher);
            let key = hasher.finish();
            self.ring.insert(key, j);
            let out = self.out.contains(&entry.id);
            self.workers.push(Worker { id: entry.id.clone(), out, ..Worker::default() });
        }
        let worker = &mut self.workers[j];
        (worker.zone, worker.cell, worker.kind) = (entry.zone, entry.cell, entry.kind);
        let changed = std::mem::replace(&mut worker.state, entry.state) != entry.state;
        worker.size = worker.size.max(entry.weight).max(1e-6);
        let before = std::mem::replace(&mut worker.started, entry.started);
        (j, known.is_none() || before != entry.started, changed)
    }
}

/// The tasks that are owed an answer or have assignments out, numbered from 1, and which of them wait here.
#[derive(Default)]
pub(crate) struct Desk {
    tasks: BTreeMap<u64, Task>,
    numbers: HashMap<String, u64>,
    held: BTreeSet<(u64, Time, u64)>,
    last: u64,
    /// When the process ends.
    closes: Option<Time>,
}

impl Desk {
    pub fn take(&mut self, task: Task) -> u64 {
        self.last += 1;
        let n = self.last;
        self.numbers.insert(task.id.clone(), n);
        self.tasks.insert(n, task);
        n
    }

    /// The expiry, or the end of the process where that comes first.
    pub fn last_call(&self, expiry: Time) -> Time {
        self.closes.map_or(expiry, |by| by.min(expiry))
    }

    /// The process ends by then: no expiry is later. Gives the numbers of the tasks that are owed an answer.
    pub fn call_by(&mut self, by: Time) -> Vec<u64> {
        self.closes = Some(self.last_call(by));
        self.tasks.values_mut().for_each(|t| t.expiry = t.expiry.min(by));
        self.tasks.iter().filter(|(_, t)| !t.answered).map(|(n, _)| *n).collect()
    }

    pub fn named(&mut self, id: &str) -> Option<(u64, &mut Task)> {
        let n = self.numbers.get(id).copied()?;
        self.tasks.get_mut(&n).map(|task| (n, task))
    }

    pub fn get(&self, n: u64) -> Option<&Task> {
        self.tasks.get(&n)
    }

    pub fn get_mut(&mut self, n: u64) -> Option<&mut Task> {
        self.tasks.get_mut(&n)
    }

    pub fn enter(&mut self, n: u64, assignment: usize, outcome: Outcome) {
        if let Some(task) = self.tasks.get_mut(&n) {
            task.assignments[assignment].outcome = Some(outcome);
        }
    }

    /// Lets the task wait, at the place that `first` gives it: least first, then by expiry.
    pub fn hold(&mut self, n: u64, first: u64) {
        if let Some(task) = self.tasks.get_mut(&n) {
            let place = (first, task.expiry, n);
            task.held = Some(place);
            self.held.insert(place);
        }
    }

    pub fn release(&mut self, n: u64) {
        if let Some(place) = self.tasks.get_mut(&n).and_then(|t| t.held.take()) {
            self.held.remove(&place);
        }
    }

    pub fn first_held(&self) -> Option<u64> {
        self.held.first().map(|&(_, _, n)| n)
    }

    pub fn last_held(&self) -> Option<u64> {
        self.held.last().map(|&(_, _, n)| n)
    }

    pub fn count_held(&self) -> usize {
        self.held.len()
    }

    /// Takes a task for answered; gives its id and the numbers of the assignments still out.
    pub fn close(&mut self, n: u64) -> Option<(String, Vec<usize>)> {
        self.release(n);
        let task = self.tasks.get_mut(&n)?;
        task.answered = true;
        let closed = (task.id.clone(), task.open().collect());
        self.clear(n);
        Some(closed)
    }

    /// Forgets a task that is answered and has nothing out.
    pub fn clear(&mut self, n: u64) {
        if let Some(task) = self.tasks.get(&n).filter(|t| t.answered && t.out() == 0) {
            self.numbers.remove(&task.id);
            self.tasks.remove(&n);
        }
    }
}

/// What one process of a dispatcher teaches the next. The rings know how old each of their sums is.
#[derive(Clone, Serialize, Deserialize)]
pub struct Lessons {
    seen: Seen,
    workers: Vec<Worker>,
}

impl Lessons {
    pub(crate) fn of(seen: &Seen, fleet: &Fleet) -> Self {
        let listed = fleet.workers.iter().filter(|w| w.state != State::Gone);
        Lessons { seen: seen.clone(), workers: listed.cloned().collect() }
    }

    /// Whatever is of another shape, or of a process that a worker no longer has, is passed over. A cold worker gets no
    /// more than `room` for what was learnt.
    pub(crate) fn teach(self, seen: &mut Seen, fleet: &mut Fleet, room: f64) {
        if self.seen.like(seen) {
            *seen = self.seen;
        }
        for old in self.workers {
            let Some(new) = fleet.named(&old.id).map(|j| &mut fleet.workers[j]) else { continue };
            if old.started == new.started && old.like(new) {
                let since = old.cold.iter().chain(&new.cold).map(|c| c.since).max();
                let least = old.cold.iter().chain(&new.cold).map(|c| c.room).fold(room, f64::min);
                new.cold = since.zip(new.cold.as_ref().or(old.cold.as_ref())).map(|(since, c)| Cold {
                    since,
                    room: least,
                    counted: c.counted,
                });
                (new.bar, new.lost, new.back) = (old.bar, old.lost, old.back.max(new.back));
                (new.gaps, new.theta, new.utilisation) = (old.gaps, old.theta, old.utilisation);
                (new.reports, new.waits, new.errors) = (old.reports, old.waits, old.errors);
                (new.erring, new.slots, new.free) = (old.erring, old.slots, old.free);
            }
        }
    }
}

/// What a dispatcher has measured of its own tasks.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Seen {
    began: Time,
    span: Time,
    arrived: Vec<Ring>,
    asked: Vec<Ring>,
    /// The longest that a client of the workload would wait.
    pub longest: Vec<Time>,
    runs: Vec<Ring>,
    /// The same over a long time: what the tasks take when all is well.
    usual: Vec<Ring>,
    squares: Vec<Ring>,
    /// Part of the revenue earned, by workload.
    pub earned: Vec<Ring>,
    /// A workload's running time until one is seen, seconds.
    priors: Vec<f64>,
    /// Tasks a second, over all dispatchers, that lie within each customer's share.
    quotas: Vec<f64>,
    /// Own starts, over a fifth of the span.
    pub started: Ring,
    /// Seconds from assignment to start, at all workers.
    pub waits: Ring,
}

impl Seen {
    /// Counts over `span`, and over four times that what is rarer: running times.
    pub fn since(began: Time, span: Time, priors: Vec<f64>, quotas: Vec<f64>) -> Self {
        let long = vec![Ring::over(4 * span); priors.len()];
        let (arrived, asked) =
            (vec![Ring::over(2 * span); priors.len()], vec![Ring::over(span); quotas.len()]);
        let usual = vec![Ring::over(32 * span); priors.len()];
        let (runs, squares, earned) = (long.clone(), long.clone(), long);
        Seen {
            began,
            span,
            arrived,
            asked,
            longest: vec![0; priors.len()],
            runs,
            usual,
            squares,
            earned,
            priors,
            quotas,
            started: Ring::over(span / 5),
            waits: Ring::over(span / 2),
        }
    }

    /// Whether this measures the same as another.
    fn like(&self, other: &Seen) -> bool {
        let alike = alike(&self.rings(), &other.rings()) && self.longest.len() == other.longest.len();
        alike && self.span == other.span && (&self.priors, &self.quotas) == (&other.priors, &other.quotas)
    }

    fn rings(&self) -> Vec<&Ring> {
        let many = [&self.arrived, &self.asked, &self.runs, &self.usual, &self.squares, &self.earned];
        many.into_iter().flatten().chain([&self.started, &self.waits]).collect()
    }

    pub fn arrival(&mut self, now: Time, workload: usize, customer: Option<usize>, budget: Time) {
        self.arrived[workload].add(now, 1.0, 1.0);
        self.longest[workload] = self.longest[workload].max(budget);
        if let Some(ring) = customer.and_then(|c| self.asked.get_mut(c)) {
            ring.add(now, 1.0, 1.0);
        }
    }

    pub fn ran(&mut self, now: Time, workload: usize, run: f64) {
        self.runs[workload].add(now, run, 1.0);
        self.usual[workload].add(now, run, 1.0);
        self.squares[workload].add(now, run * run, 1.0);
    }

    /// A job started, so long after it was assigned.
    pub fn start(&mut self, now: Time, waited: f64) {
        self.started.add(now, 1.0, 1.0);
        self.waits.add(now, waited, 1.0);
    }

    /// How long a start may take: so many times the mean wait, and no less than `least`.
    pub fn quiet(&self, now: Time, times: f64, least: Time) -> Time {
        micros(times * self.waits.mean(now, 0.0, 1.0)).max(least)
    }

    /// Own tasks counted at present.
    fn count(&self, now: Time) -> f64 {
        self.arrived.iter().map(|r| r.totals(now).1).sum()
    }

    /// Own tasks a second.
    pub fn rate(&self, now: Time) -> f64 {
        self.count(now) / seconds((now - self.began).clamp(self.span / 5, 2 * self.span))
    }

    /// The part of a customer's tasks within its quota, if `all` dispatchers see as many as this one.
    pub fn within_share(&self, now: Time, customer: Option<usize>, all: f64) -> f64 {
        let known = customer.and_then(|c| self.asked.get(c).zip(self.quotas.get(c)));
        let Some((ring, quota)) = known else { return 1.0 };
        let rate = all * ring.totals(now).1 / seconds((now - self.began).clamp(self.span / 5, self.span));
        if rate > 0.0 { (quota / rate).min(1.0) } else { 1.0 }
    }

    /// A workload's part of own tasks.
    pub fn part(&self, now: Time, workload: usize) -> f64 {
        let count = self.count(now);
        if count > 0.0 { self.arrived[workload].totals(now).1 / count } else { 0.0 }
    }

    /// Mean revenue of own tasks.
    pub fn mean_revenue(&self, now: Time, revenue: impl Fn(usize) -> f64) -> f64 {
        (0..self.arrived.len()).map(|i| revenue(i) * self.part(now, i)).sum()
    }

    /// Mean running time of a workload, seconds.
    pub fn run(&self, now: Time, workload: usize) -> f64 {
        self.runs[workload].mean(now, self.priors[workload], 0.1)
    }

    /// Mean running time of a workload over a long time, seconds.
    pub fn usual(&self, now: Time, workload: usize) -> f64 {
        self.usual[workload].mean(now, self.priors[workload], 0.1)
    }

    /// Mean running time of own tasks, seconds.
    pub fn mean_run(&self, now: Time) -> f64 {
        let counted = self.arrived.iter().enumerate().map(|(i, a)| (a.totals(now).1, self.run(now, i)));
        let (sum, n) = counted.fold((0.0, 0.0), |t, (n, run)| (t.0 + n * run, t.1 + n));
        if n > 0.0 && sum > 0.0 { sum / n } else { 1.0 }
    }

    /// Squared coefficient of variation of own running times.
    pub fn spread(&self, now: Time) -> f64 {
        let sum = |rings: &[Ring]| -> f64 { rings.iter().map(|r| r.totals(now).0).sum() };
        let (runs, squares) = (sum(&self.runs), sum(&self.squares));
        let n: f64 = self.runs.iter().map(|r| r.totals(now).1).sum();
        if runs > 0.0 { (squares * n / (runs * runs) - 1.0).max(0.0) } else { 1.0 }
    }
}
