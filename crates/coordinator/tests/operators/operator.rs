//! Operators that work at a fleet concurrently and record what they see.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rainlug::Time;
use rainlug_coordinator::Call;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{Fleet, MS};
use crate::history::{CALLER_TIMEOUT, Invocation, Operation, OrderId, Response, Violation, check};
use crate::requests::Requests;

/// Between two looks of the operators at their answers.
pub const STEP: Time = 20 * MS;
/// After a cut, what was on its way still arrives.
const ON_ITS_WAY: Time = 50 * MS;
/// A small disk: a log of 4 MiB is replaced by a snapshot.
const DISK: usize = 32 << 20;
/// An order without a clear answer is sent again so often.
const MOST_TRIES: usize = 12;

/// An order: a whole configuration.
#[derive(Clone)]
struct Order {
    base: u64,
    version: u64,
    text: Bytes,
}

/// What an operator does next.
#[derive(Clone, Copy)]
enum Plan {
    Put(OrderId),
    PutMalformed,
    Get,
}

struct Pending {
    plan: Plan,
    operation: usize,
    ticket: u64,
    machine: usize,
    incarnation: u32,
}

struct Operator {
    /// The version that it believes to be current.
    known: u64,
    plan: Option<Plan>,
    tries: usize,
    pending: Option<Pending>,
    resume: Time,
}

/// How the operators behave.
#[derive(Clone, Copy)]
pub struct Habits {
    pub operators: usize,
    /// The share of answers that are lost on their way.
    pub lost_answers: f64,
    /// Between an answer and the next call, at most.
    pub pause: Time,
    /// Bytes that each configuration takes beside its content.
    pub padding: usize,
}

impl Default for Habits {
    fn default() -> Self {
        Habits { operators: 4, lost_answers: 0.2, pause: 400 * MS, padding: 0 }
    }
}

/// A fleet, the operators that call it, and the history of their calls.
pub struct Campaign {
    pub fleet: Fleet,
    habits: Habits,
    orders: Vec<Order>,
    by_text: BTreeMap<Bytes, OrderId>,
    /// Orders that were acknowledged, to be sent again at times.
    taken: Vec<OrderId>,
    operators: Vec<Operator>,
    /// No operator begins anything any more.
    closed: bool,
    pub history: Vec<Operation>,
    /// Callers beside the operators, where there are any.
    requests: Option<Requests>,
    seen_in_force: usize,
    known_in_force: BTreeSet<OrderId>,
    /// Machines that cannot exchange messages with a majority of the core, and since when.
    without_quorum: BTreeMap<usize, Time>,
    rng: ChaCha8Rng,
    /// Statuses that no page names for a call.
    pub unexpected: Vec<(u16, &'static str)>,
}

fn text(version: u64, service: &str, padding: usize) -> Bytes {
    let text = crate::common::configuration(version, service);
    Bytes::from([&text[..], " ".repeat(padding).as_bytes()].concat())
}

impl Campaign {
    /// A fleet in which version 5 is in force; it was acknowledged.
    pub fn new(core: usize, plain: usize, stores: usize, habits: Habits, seed: u64) -> Self {
        let mut fleet = Fleet::new(core, plain, stores, seed);
        fleet.tolerate = (core - 1) / 2;
        fleet.disk_bytes = DISK;
        fleet.seeds = core.min(3);
        fleet.start_all();
        let first = Order { base: 0, version: 5, text: text(5, "first", 0) };
        let mut campaign = Campaign {
            fleet,
            habits,
            by_text: BTreeMap::from([(first.text.clone(), 0)]),
            orders: vec![first],
            taken: Vec::new(),
            operators: Vec::new(),
            closed: false,
            history: Vec::new(),
            requests: None,
            seen_in_force: 0,
            known_in_force: BTreeSet::new(),
            without_quorum: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x6f70_6572),
            unexpected: Vec::new(),
        };
        campaign.put_until_taken(0);
        campaign.fleet.pass(1.0);
        for _ in 0..habits.operators {
            let (plan, pending, resume) = (None, None, campaign.fleet.now);
            campaign.operators.push(Operator { known: 5, plan, tries: 0, pending, resume });
        }
        campaign
    }

    /// An order on a base, with a text of its own.
    pub fn order(&mut self, base: u64, version: u64) -> OrderId {
        let order = self.orders.len();
        let text = text(version, &format!("service{order}"), self.habits.padding);
        self.by_text.insert(text.clone(), order);
        self.orders.push(Order { base, version, text });
        order
    }

    pub fn put_call(&self, order: OrderId) -> Call {
        let Order { base, text, .. } = self.orders[order].clone();
        Call::Configure { base, text }
    }

    /// Sends an order to machine after machine until it is acknowledged; how long that took.
    pub fn put_until_taken(&mut self, order: OrderId) -> Time {
        let since = self.fleet.now;
        for turn in 0..40 {
            let running = self.running();
            if self.put(running[turn % running.len()], order) == Response::Accepted {
                return self.fleet.now - since;
            }
            self.fleet.pass(0.1);
        }
        panic!("order {order} was never acknowledged");
    }

    /// One call of an order at a machine, to its end.
    pub fn put(&mut self, machine: usize, order: OrderId) -> Response {
        self.finish(machine, Plan::Put(order))
    }

    /// One read at a machine, to its end.
    pub fn get(&mut self, machine: usize) -> Response {
        self.finish(machine, Plan::Get)
    }

    fn finish(&mut self, machine: usize, plan: Plan) -> Response {
        let pending = self.invoke(machine, plan);
        let ticket = pending.ticket;
        self.fleet.until(1.0, |fleet| fleet.answers.contains_key(&ticket));
        self.conclude(&pending);
        self.history[pending.operation].response
    }

    fn running(&self) -> Vec<usize> {
        let machines = self.fleet.machines.iter().enumerate();
        machines.filter(|(_, m)| m.gateway && m.coordinator.is_some()).map(|(at, _)| at).collect()
    }

    fn invoke(&mut self, machine: usize, plan: Plan) -> Pending {
        let (invocation, call) = match plan {
            Plan::Put(order) => {
                let Order { base, version, .. } = self.orders[order];
                (Invocation::Put { order, base, version }, self.put_call(order))
            }
            Plan::PutMalformed => (Invocation::PutMalformed, self.malformed()),
            Plan::Get => (Invocation::Get, Call::Configuration),
        };
        let now = self.fleet.now;
        let cut_for = self.without_quorum.get(&machine).map(|since| now - since);
        self.history.push(Operation {
            invocation,
            response: Response::Unknown,
            invoked: now,
            responded: Time::MAX,
            without_quorum: cut_for.is_some_and(|time| time > ON_ITS_WAY),
            undisturbed: !self.fleet.machines[machine].frozen,
        });
        let (operation, incarnation) = (self.history.len() - 1, self.fleet.incarnation(machine));
        let ticket = self.fleet.call(machine, call);
        Pending { plan, operation, ticket, machine, incarnation }
    }

    /// A configuration that no version makes valid.
    fn malformed(&mut self) -> Call {
        let whole = String::from_utf8_lossy(&text(1_000_000, "any", 0)).into_owned();
        let broken = match self.rng.random_range(0..3) {
            0 => whole[..whole.len() / 2].to_owned(),
            1 => whole.replace("\"timeout_ms\":4000", "\"timeout_ms\":0"),
            _ => whole.replacen("\"service\":\"any\"", "\"service\":\"none\"", 1),
        };
        Call::Configure { base: self.orders.last().map_or(0, |o| o.version), text: Bytes::from(broken) }
    }

    /// Takes the answer into the history, or closes the call without one. True where the answer was clear.
    fn conclude(&mut self, pending: &Pending) -> bool {
        let alive = self.fleet.incarnation(pending.machine) == pending.incarnation;
        let operation = &mut self.history[pending.operation];
        let Some((responded, answer)) = self.fleet.answers.get(&pending.ticket) else {
            operation.undisturbed &= alive;
            operation.responded = if operation.undisturbed { self.fleet.now } else { Time::MAX };
            return false;
        };
        operation.responded = *responded;
        operation.response = match (answer.status, operation.invocation) {
            (200, Invocation::Put { .. } | Invocation::PutMalformed) => Response::Accepted,
            (412, Invocation::Put { .. } | Invocation::PutMalformed) => Response::Conflict,
            (400, Invocation::Put { .. } | Invocation::PutMalformed) => Response::Invalid,
            (200, Invocation::Get) => Response::Value(self.by_text.get(&answer.body).copied()),
            (404, Invocation::Get) => Response::Value(None),
            (503, _) => Response::Unknown,
            (status, _) => {
                self.unexpected.push((status, "a call of an operator"));
                Response::Unknown
            }
        };
        operation.response != Response::Unknown
    }

    /// Time passes while the operators go on with their work.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.fleet.now + (seconds * rainlug::SECOND as f64) as Time;
        while self.fleet.now < end {
            self.fleet.pass(STEP as f64 / rainlug::SECOND as f64);
            self.note_in_force();
            for at in 0..self.operators.len() {
                self.step(at);
            }
            if !self.closed {
                self.run_requests();
            }
        }
    }

    /// So many callers of batch jobs and workers go about their business from now on.
    pub fn add_requests(&mut self, callers: usize) {
        self.requests = Some(Requests::new(callers, self.fleet.now));
    }

    fn run_requests(&mut self) {
        let running = self.running();
        if let Some(requests) = &mut self.requests {
            requests.step(&mut self.fleet, &running, &mut self.rng);
        }
    }

    fn step(&mut self, at: usize) {
        if let Some(pending) = self.operators[at].pending.take() {
            let waited = self.fleet.now - self.history[pending.operation].invoked;
            let answered = self.fleet.answers.contains_key(&pending.ticket);
            if !answered && waited < CALLER_TIMEOUT {
                self.operators[at].pending = Some(pending);
                return;
            }
            let clear = self.conclude(&pending);
            let lost = self.rng.random::<f64>() < self.habits.lost_answers;
            if lost {
                self.lose(pending.operation);
            }
            self.learn(at, &pending, clear && !lost);
        }
        let idle = self.operators[at].pending.is_none();
        if idle && !self.closed && self.operators[at].resume <= self.fleet.now {
            self.act(at);
        }
    }

    /// An answer is lost on its way. What was acknowledged still was; a refusal that nobody saw binds nobody, as the order may come
    /// again when its base is current.
    fn lose(&mut self, operation: usize) {
        let operation = &mut self.history[operation];
        if matches!(operation.response, Response::Conflict | Response::Invalid) {
            operation.response = Response::Unknown;
        }
    }

    /// What an operator makes of an answer.
    fn learn(&mut self, at: usize, pending: &Pending, clear: bool) {
        let response = self.history[pending.operation].response;
        let operator = &mut self.operators[at];
        let most = if clear { self.habits.pause } else { 100 * MS };
        operator.resume = self.fleet.now + self.rng.random_range(0..=most);
        if !clear {
            operator.tries += 1;
            operator.plan = Some(if operator.tries < MOST_TRIES { pending.plan } else { Plan::Get });
            return;
        }
        operator.tries = 0;
        operator.plan = match (pending.plan, response) {
            (Plan::Put(order), Response::Accepted) => {
                operator.known = operator.known.max(self.orders[order].version);
                self.taken.push(order);
                None
            }
            (Plan::Put(_), _) => Some(Plan::Get),
            (Plan::Get, Response::Value(Some(order))) => {
                operator.known = self.orders[order].version;
                None
            }
            _ => None,
        };
    }

    fn act(&mut self, at: usize) {
        let plan = match self.operators[at].plan.take() {
            Some(plan) => plan,
            None => self.next_plan(at),
        };
        let running = self.running();
        let Some(machine) = running.choose(&mut self.rng).copied() else { return };
        let pending = self.invoke(machine, plan);
        self.operators[at].pending = Some(pending);
    }

    fn next_plan(&mut self, at: usize) -> Plan {
        let known = self.operators[at].known;
        match self.rng.random_range(0..20) {
            0 => Plan::PutMalformed,
            // Not above what is current.
            1 => {
                let lower = known.saturating_sub(self.rng.random_range(0..3)).max(1);
                Plan::Put(self.order(known, lower))
            }
            // On a base that nobody has made yet.
            2 => Plan::Put(self.order(known + 1, known + 3)),
            3..6 => self.taken.choose(&mut self.rng).map_or(Plan::Get, |order| Plan::Put(*order)),
            6..10 => Plan::Get,
            // Uneven steps; others on the same base often pick the same number.
            _ => {
                let version = known + self.rng.random_range(1..4);
                Plan::Put(self.order(known, version))
            }
        }
    }

    /// What machines have put in force is part of the history.
    fn note_in_force(&mut self) {
        let seen = self.fleet.in_force_log.split_off(self.seen_in_force.min(self.fleet.in_force_log.len()));
        self.fleet.in_force_log.extend(seen.iter().cloned());
        self.seen_in_force = self.fleet.in_force_log.len();
        for (_, text) in seen {
            let Some(order) = self.by_text.get(&text).copied() else {
                self.unexpected.push((0, "a text in force that nobody sent"));
                continue;
            };
            if self.known_in_force.insert(order) {
                let now = self.fleet.now;
                self.history.push(Operation {
                    invocation: Invocation::InForce { order },
                    response: Response::Accepted,
                    invoked: now,
                    responded: now,
                    without_quorum: false,
                    undisturbed: false,
                });
            }
        }
    }

    /// These machines cannot reach a majority of the core from now on.
    pub fn lose_quorum(&mut self, machines: &[usize]) {
        let now = self.fleet.now;
        self.without_quorum.extend(machines.iter().map(|at| (*at, now)));
    }

    /// All links work again.
    pub fn heal(&mut self) {
        self.fleet.heal();
        self.without_quorum.clear();
        for pending in self.operators.iter().filter_map(|o| o.pending.as_ref()) {
            self.history[pending.operation].without_quorum = false;
        }
    }

    pub fn freeze(&mut self, machine: usize) {
        self.fleet.freeze(machine);
        self.disturb(machine);
    }

    fn disturb(&mut self, machine: usize) {
        for pending in self.operators.iter().filter_map(|o| o.pending.as_ref()) {
            if pending.machine == machine {
                self.history[pending.operation].undisturbed = false;
            }
        }
    }

    /// The operators finish, all machines are asked what is in force, and the history is checked.
    pub fn judge(mut self) -> Result<(), Violation> {
        self.closed = true;
        self.pass(6.0);
        for machine in self.running() {
            let response = self.get(machine);
            assert!(matches!(response, Response::Value(Some(_))), "at {machine}: {response:?}");
        }
        let running = self.running();
        if let Some(requests) = &mut self.requests {
            requests.judge(&mut self.fleet, &running);
        }
        self.fleet.pass(2.0);
        self.note_in_force();
        assert_eq!(self.unexpected, [], "statuses or texts that no page names");
        self.check_versions_rise();
        let orders: Vec<(u64, u64)> = self.orders.iter().map(|o| (o.base, o.version)).collect();
        let checked = check(&orders, &self.history);
        if checked.is_err() {
            self.print();
        }
        checked
    }

    /// The history, for whoever looks into a violation.
    fn print(&self) {
        for (at, operation) in self.history.iter().enumerate() {
            println!("{at}: {operation:?}");
        }
    }

    /// Within one incarnation of a machine no older version comes into force, and at the end all act on the same one.
    fn check_versions_rise(&self) {
        for machine in self.fleet.machines.iter().filter(|m| m.coordinator.is_some()) {
            assert!(machine.in_force.is_sorted_by(|a, b| a < b), "{}: {:?}", machine.name, machine.in_force);
        }
        let last: BTreeSet<_> = self.fleet.machines.iter().filter_map(|m| m.in_force.last()).collect();
        assert_eq!(last.len(), 1, "{last:?}");
    }

    pub fn draw(&mut self, most: usize) -> usize {
        self.rng.random_range(0..most)
    }
}
