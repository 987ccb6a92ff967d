//! What the tests share: a dispatcher with plain figures, and a record of what it sends out.
#![allow(dead_code)]

use rainlug::logic::Dispatcher;
use rainlug::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Assign(String, String),
    Bounce(String),
    Abandon(String),
    Follow,
}

#[derive(Default)]
pub struct Record {
    pub now: Time,
    pub sent: Vec<(Time, Sent)>,
    pub wakes: Vec<(Time, u64)>,
    pub withdrawn: Vec<(String, usize)>,
    pub probes: usize,
    pub told: Vec<(usize, Vec<u8>)>,
}

impl Outgoing for Record {
    fn assign(&mut self, task: &str, worker: &str) {
        self.sent.push((self.now, Sent::Assign(task.into(), worker.into())));
    }
    fn withdraw(&mut self, task: &str, assignment: usize) {
        self.withdrawn.push((task.into(), assignment));
    }
    fn bounce(&mut self, task: &str, _: Time) {
        self.sent.push((self.now, Sent::Bounce(task.into())));
    }
    fn abandon(&mut self, task: &str) {
        self.sent.push((self.now, Sent::Abandon(task.into())));
    }
    fn wake(&mut self, at: Time, mark: u64) {
        self.wakes.push((at, mark));
    }
    fn probe(&mut self, _: &str) {
        self.probes += 1;
    }
    fn tell(&mut self, to: usize, news: &[u8]) {
        self.told.push((to, news.to_vec()));
    }
    fn follow(&mut self) {
        self.sent.push((self.now, Sent::Follow));
    }
}

pub struct Bench {
    pub out: Record,
    pub to: Dispatcher,
}

pub const MS: Time = 1000;

pub fn effects() -> [Effect; 3] {
    let marked = Effect::Fingerprinted { group: Group::Zone, window: 3 * SECOND };
    [Effect::Idempotent, Effect::SideEffecting, marked]
}

pub fn allowed() -> Allowed {
    let [withdrawal, copies, probes] = [true; 3];
    Allowed { assignments: 3, withdrawal, copies, probes, peers: false, pause: 0, must_ask: false }
}

pub fn known() -> Known {
    let [reports_by_probe, live_weights] = [false; 2];
    Known { reports_by_probe, tells_start: true, live_weights, progress: SECOND, cross_zone: 0.0 }
}

pub fn listed(id: &str, zone: usize, state: State, started: Option<Time>) -> Listed {
    Listed { id: id.into(), zone, kind: 0, cell: zone, state, weight: 1.0, started }
}

impl Bench {
    pub fn start(group_size: usize, must_ask: bool) -> Self {
        let place = Place { seed: 7, index: 0, group_size, zone: 0 };
        Self::start_as(place, Allowed { must_ask, ..allowed() }, known())
    }

    pub fn with_workers(group_size: usize, ids: &[&str]) -> Self {
        let mut bench = Self::start(group_size, false);
        bench.ready(ids);
        bench
    }

    pub fn start_as(place: Place, allowed: Allowed, known: Known) -> Self {
        let one =
            |effect| Workload { effect, due: 500 * MS, stretch: 2.0, revenue: 1.0, overdue: 0.5, kind: None };
        let weights = Weights { whole: 1.0, worst_workload: 0.2, beyond_share: 0.1, by_work: false };
        let obligations = Obligations {
            cold_from: 0.25,
            warm_within: 10 * SECOND,
            overload_factor: 3.0,
            fall: 2 * SECOND,
            must_ask_in: 10 * SECOND,
        };
        let mut out = Record::default();
        let m = &mut Moment { now: 0, out: &mut out };
        let workloads = effects().map(one).to_vec();
        let to = Dispatcher::start(m, place, workloads, Vec::new(), weights, allowed, obligations, known);
        Bench { out, to }
    }

    pub fn with<R>(&mut self, event: impl FnOnce(&mut Dispatcher, &mut Moment) -> R) -> R {
        let now = self.out.now;
        event(&mut self.to, &mut Moment { now, out: &mut self.out })
    }

    pub fn list(&mut self, entries: &[Listed]) {
        self.with(|to, m| to.list(m, false, false, entries));
    }

    pub fn ready(&mut self, ids: &[&str]) {
        let entries: Vec<Listed> = ids.iter().map(|id| listed(id, 0, State::Ready, None)).collect();
        self.list(&entries);
    }

    pub fn task(&mut self, id: &str, workload: usize) {
        self.with(|to, m| to.task(m, id, (workload, None), 5 * SECOND, 1.0));
    }

    pub fn tasks(&mut self, name: &str, n: usize, workload: usize) -> Vec<String> {
        let ids: Vec<String> = (0..n).map(|i| format!("{name}{i}")).collect();
        ids.iter().for_each(|id| self.task(id, workload));
        ids.iter().filter_map(|id| self.worker_of(id)).collect()
    }

    pub fn start_job(&mut self, id: &str, assignment: usize) {
        self.with(|to, m| to.sign(m, id, assignment));
    }

    pub fn end(&mut self, id: &str, assignment: usize, outcome: Outcome) {
        let end = (outcome, outcome == Outcome::Finished);
        self.with(|to, m| to.ended(m, id, assignment, end, Report::default()));
    }

    pub fn run(&mut self, id: &str, assignment: usize) {
        self.start_job(id, assignment);
        self.end(id, assignment, Outcome::Finished);
    }

    pub fn report(&mut self, worker: &str, report: Report) {
        self.with(|to, m| to.probed(m, worker, Outcome::Finished, report));
    }

    pub fn pass(&mut self, length: Time) {
        let until = self.out.now + length;
        while let Some(i) = (0..self.out.wakes.len()).min_by_key(|&i| (self.out.wakes[i], i)) {
            let (at, mark) = self.out.wakes[i];
            if at > until {
                break;
            }
            self.out.wakes.swap_remove(i);
            self.out.now = at.max(self.out.now);
            self.with(|to, m| to.due(m, mark));
        }
        self.out.now = until;
    }

    pub fn worker_of(&self, id: &str) -> Option<String> {
        self.out.sent.iter().rev().find_map(|(_, s)| match s {
            Sent::Assign(task, worker) if task == id => Some(worker.clone()),
            _ => None,
        })
    }
}
