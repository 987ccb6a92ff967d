//! The workers that the list has named, and the part of them that a dispatcher keeps to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::{Census, Ring, Worker};
use crate::{Listed, State, Time};

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
