//! A slow, plain model of the rules beside the module, on generated days: both must agree on what is allowed.

mod common;

use std::collections::{HashMap, HashSet};

use common::{Bench, MS, Sent, allowed, effects, known, listed, place};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rainlug::*;

#[derive(Clone, Debug)]
enum Event {
    Task(usize),
    Ends(usize, Outcome),
    Starts(usize),
    Leaves(usize),
    List(usize, State, bool),
    Passes(Time),
    Reports(usize, f64, f64),
    All(State),
    Closing(Time),
    Hand(usize, bool),
    /// A budget is used up, or comes back.
    Budget(usize, Option<Time>),
}

struct Out {
    task: String,
    number: usize,
    worker: String,
    sent: Time,
    outcome: Option<Outcome>,
}

#[derive(Default)]
struct Model {
    /// Workload, expiry and whether it has its final answer.
    tasks: HashMap<String, (usize, Time, bool)>,
    out: Vec<Out>,
    states: HashMap<String, State>,
    /// Taken out by hand, whatever the list says.
    by_hand: HashSet<String>,
    /// Two assignments of a task may be out together.
    copies: bool,
    /// When the process ends.
    closes: Option<Time>,
    read: usize,
}

fn zone(worker: &str) -> usize {
    worker.len() % 2
}

impl Model {
    /// Whether the effects of the task's assignments so far allow one more, to `to` where it is one.
    fn allows(&self, task: &str, now: Time, to: Option<&str>) -> bool {
        let proof = [Outcome::Full, Outcome::Unreachable, Outcome::NeverSent];
        let unproven = |o: &&Out| o.task == task && !o.outcome.is_some_and(|o| proof.contains(&o));
        let may_have_run: Vec<&Out> = self.out.iter().filter(unproven).collect();
        match (effects()[self.tasks[task].0], to) {
            (Effect::Idempotent, _) => true,
            _ if may_have_run.is_empty() => true,
            (Effect::Fingerprinted { window, .. }, Some(to)) => {
                may_have_run.iter().all(|o| zone(&o.worker) == zone(to))
                    && now < may_have_run[0].sent + window
            }
            _ => false,
        }
    }

    /// Reads what the module has sent since, and fails on what the rules forbid.
    fn check(&mut self, bench: &Bench) {
        for (now, sent) in &bench.out.sent[self.read..] {
            match sent {
                Sent::Assign(task, worker) => {
                    assert!(!self.tasks[task].2, "{task} sent after its answer");
                    assert!(*now < self.tasks[task].1, "{task} sent after its expiry");
                    assert_eq!(self.states.get(worker), Some(&State::Ready), "{worker} is not ready");
                    assert!(!self.by_hand.contains(worker), "{worker} is out by hand");
                    assert!(self.allows(task, *now, Some(worker)), "{task} may have run already");
                    let alone = !self.out.iter().any(|o| o.task == *task && o.outcome.is_none());
                    assert!(self.copies || alone, "{task} is out twice");
                    let number = self.out.iter().filter(|o| o.task == *task).count();
                    assert!(number < 3, "{task} sent too often");
                    let (task, worker) = (task.clone(), worker.clone());
                    self.out.push(Out { task, number, worker, sent: *now, outcome: None });
                }
                Sent::Bounce(task) | Sent::Abandon(task) => {
                    let bounced = matches!(sent, Sent::Bounce(_));
                    assert!(!bounced || self.allows(task, *now, None), "{task} bounced, may have run");
                    let entry = self.tasks.get_mut(task).expect("a task that was given");
                    assert!(!entry.2, "{task} answered twice");
                    assert!(*now <= entry.1, "{task} answered late");
                    entry.2 = true;
                }
                _ => {}
            }
        }
        self.read = bench.out.sent.len();
    }

    fn apply(&mut self, bench: &mut Bench, event: Event, n: usize) {
        let open: Vec<usize> = (0..self.out.len()).filter(|&i| self.out[i].outcome.is_none()).collect();
        match event {
            Event::Task(workload) => {
                let id = format!("t{n}");
                let expiry = bench.out.now + 5 * SECOND;
                let expiry = self.closes.map_or(expiry, |by| by.max(bench.out.now).min(expiry));
                self.tasks.insert(id.clone(), (workload, expiry, false));
                bench.task(&id, workload);
            }
            Event::Ends(i, outcome) if !open.is_empty() => self.end(bench, open[i % open.len()], outcome),
            Event::Starts(i) if !open.is_empty() => {
                let a = &self.out[open[i % open.len()]];
                bench.start_job(&a.task, a.number);
            }
            Event::Leaves(i) if !open.is_empty() => {
                let id = self.out[open[i % open.len()]].task.clone();
                self.tasks.get_mut(&id).expect("a task that was given").2 = true;
                bench.with(|to, m| to.left(m, &id));
            }
            Event::List(i, state, restarted) => {
                let id = "w".repeat(1 + i);
                let started = restarted.then_some(bench.out.now);
                self.states.insert(id.clone(), state);
                bench.list(&[listed(&id, zone(&id), state, started)]);
            }
            Event::Reports(i, busy, rate) => {
                let (utilisation, rate) = (Some(busy), Some(rate));
                let free_slots = Some(busy * 4.0);
                let errors = rate.map(|r| r * (busy - 0.5));
                bench.report(
                    &"w".repeat(1 + i),
                    Report { utilisation, rate, errors, free_slots, queue: rate },
                );
            }
            Event::All(state) => {
                let ids: Vec<String> = (0..5).map(|i| "w".repeat(1 + i)).collect();
                self.states.extend(ids.iter().map(|id| (id.clone(), state)));
                let entries: Vec<Listed> = ids.iter().map(|id| listed(id, zone(id), state, None)).collect();
                bench.list(&entries);
            }
            Event::Closing(within) => {
                let by = (bench.out.now + within).min(self.closes.unwrap_or(Time::MAX));
                self.closes = Some(by);
                self.tasks.values_mut().for_each(|t| t.1 = t.1.min(by));
                bench.with(|to, m| to.closing(m, by));
            }
            Event::Hand(i, out) => {
                let id = "w".repeat(1 + i);
                if out {
                    self.by_hand.insert(id.clone())
                } else {
                    self.by_hand.remove(&id)
                };
                bench.with(|to, m| to.hand(m, &id, out));
            }
            Event::Budget(of, wait) => bench.out.refuses[of] = wait,
            Event::Passes(length) => {
                let until = bench.out.now + length;
                // What is out at its task's expiry times out there, and not later.
                while let Some(i) =
                    self.out.iter().position(|o| o.outcome.is_none() && self.tasks[&o.task].1 <= until)
                {
                    let expiry = self.tasks[&self.out[i].task].1.max(bench.out.now);
                    bench.pass(expiry - bench.out.now);
                    self.check(bench);
                    self.end(bench, i, Outcome::TimedOut);
                }
                bench.pass(until - bench.out.now);
            }
            _ => {}
        }
        self.check(bench);
    }

    fn end(&mut self, bench: &mut Bench, i: usize, outcome: Outcome) {
        let a = &mut self.out[i];
        a.outcome = Some(outcome);
        if outcome == Outcome::Finished {
            self.tasks.get_mut(&a.task).expect("a task that was given").2 = true;
        }
        let (id, number) = (a.task.clone(), a.number);
        bench.end(&id, number, outcome);
        self.check(bench);
    }
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    let (often, seldom) =
        ([Finished, Finished, Failed, Reset, TimedOut], [Full, Unreachable, Withdrawn, NeverSent]);
    prop::sample::select([&often[..], &seldom].concat())
}

fn events() -> impl Strategy<Value = Event> {
    let state = prop::sample::select(vec![State::Ready, State::Ready, State::Draining, State::Gone]);
    prop_oneof![
        6 => (0..3usize).prop_map(Event::Task),
        5 => (any::<usize>(), outcomes()).prop_map(|(i, o)| Event::Ends(i, o)),
        4 => any::<usize>().prop_map(Event::Starts),
        1 => any::<usize>().prop_map(Event::Leaves),
        1 => prop::sample::select(vec![State::Ready, State::Gone]).prop_map(Event::All),
        2 => (0..5usize, state, any::<bool>()).prop_map(|(i, s, r)| Event::List(i, s, r)),
        1 => (0..5usize, any::<bool>()).prop_map(|(i, out)| Event::Hand(i, out)),
        1 => (0..4usize, prop::option::of(1..3 * SECOND)).prop_map(|(of, wait)| Event::Budget(of, wait)),
        4 => (1..900 * MS).prop_map(Event::Passes),
        2 => (0..5usize, 0.0..1.0f64, prop_oneof![Just(0.0), 0.01..9.0f64]).prop_map(|(i, b, r)| Event::Reports(i, b, r)),
    ]
}

#[test]
fn the_module_does_only_what_the_plain_model_allows_and_answers_all() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config { failure_persistence: None, ..Config::default() }, rng);
    let days = prop::collection::vec(events(), 1..150);
    runner
        .run(&(days, 0..8usize, 0..300usize), |(events, size, closing)| {
            let (place, copies) = (place([1, 3, 60, 2000][size % 4]), size < 4);
            let mut bench = Bench::start_as(place, Allowed { copies, ..allowed() }, known());
            let mut model = Model { copies, ..Model::default() };
            for (i, state) in [State::Ready; 4].into_iter().enumerate().skip(4 * (size % 2)) {
                model.apply(&mut bench, Event::List(i, state, false), 0);
            }
            for (n, event) in events.into_iter().enumerate() {
                // On some days the process is told to stop.
                if n == closing {
                    model.apply(&mut bench, Event::Closing(2 * SECOND), n);
                }
                model.apply(&mut bench, event, n);
            }
            model.apply(&mut bench, Event::Passes(6 * SECOND), 0);
            prop_assert!(model.tasks.values().all(|t| t.2), "a task was lost");
            Ok(())
        })
        .unwrap();
}
