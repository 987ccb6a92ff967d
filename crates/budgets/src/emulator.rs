//! Many dispatchers on one virtual clock, each with its view of the fleet, its budgets, and a clock of its own that drifts; and an
//! account, in true time, of all that is spent and runs. One seed is one course of events.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rainlug_fleet::emulator::{Emulator, Link, Watcher, address};
use rainlug_fleet::{Card, View};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Kind, Outgoing, Party, Terms, Time, UNIT, Ways};

/// How often a process tries to spend, and at least once for so many tries: what comes in between is not saved for long.
pub const TICK: Time = 20_000;
const TRIES: f64 = 8.0;
const MILLION: i128 = 1_000_000;
/// The view's period.
const PERIOD: Time = 1_000_000;

/// What is spent and runs, in true time, whoever believes what.
pub struct Account {
    /// The wholes that anybody may go by now.
    pub wholes: Vec<u64>,
    burst: Vec<f64>,
    longest: Vec<Time>,
    now: Time,
    level: Vec<f64>,
    /// Of each budget what runs: its end, whose it is, its beginning; and how long what has ended lasted, by whose it is.
    runs: Vec<BinaryHeap<Reverse<(Time, u64, Time)>>>,
    ended: Vec<HashMap<u64, Vec<Time>>>,
    pub spent: Vec<u64>,
    /// Units of each occupancy times microseconds in use.
    pub in_use: Vec<f64>,
    pub over: Vec<String>,
    /// Bytes of datagrams about budgets, and the time that they and asking took.
    pub bytes: u64,
    pub took: Duration,
}

impl Account {
    fn of(terms: &Terms, now: Time) -> Self {
        let all = &terms.budgets;
        let count = all.len();
        let burst = |kind| match kind {
            Kind::Rate { burst } => burst as f64 / UNIT as f64,
            _ => 0.0,
        };
        let longest = |kind| match kind {
            Kind::Occupancy { longest } => longest,
            _ => 0,
        };
        let burst: Vec<f64> = all.iter().map(|b| burst(b.kind)).collect();
        Account {
            wholes: all.iter().map(|b| b.whole).collect(),
            longest: all.iter().map(|b| longest(b.kind)).collect(),
            now,
            level: burst.clone(),
            burst,
            runs: vec![BinaryHeap::new(); count],
            ended: vec![HashMap::new(); count],
            spent: vec![0; count],
            in_use: vec![0.0; count],
            over: Vec::new(),
            bytes: 0,
            took: Duration::ZERO,
        }
    }

    fn to(&mut self, now: Time) {
        let past = (now - self.now) as f64 / UNIT as f64;
        for nth in 0..self.wholes.len() {
            let whole = self.wholes[nth] as f64 / UNIT as f64;
            self.level[nth] = (self.level[nth] + whole * past).min(self.burst[nth]);
            let mut last = self.now;
            while let Some(Reverse((end, whose, begun))) =
                self.runs[nth].peek().copied().filter(|Reverse(run)| run.0 <= now)
            {
                self.in_use[nth] += self.runs[nth].len() as f64 * (end - last) as f64;
                last = end;
                self.runs[nth].pop();
                self.ended[nth].entry(whose).or_default().push(end - begun);
            }
            self.in_use[nth] += self.runs[nth].len() as f64 * (now - last) as f64;
        }
        self.now = now;
    }

    fn spend(&mut self, nth: usize, now: Time, whose: u64, lasts: Option<Time>) {
        self.to(now);
        self.spent[nth] += 1;
        if let Some(lasts) = lasts {
            self.runs[nth].push(Reverse((now + lasts, whose, now)));
            let running = self.runs[nth].len() as u64;
            if running * UNIT > self.wholes[nth] {
                self.over.push(format!("{now}: {running} of budget {nth} run"));
            }
        } else {
            self.level[nth] -= 1.0;
            if self.level[nth] < -1e-6 {
                self.over.push(format!("{now}: budget {nth} is over by {}", -self.level[nth]));
                self.level[nth] = 0.0;
            }
        }
    }

    /// How long each lasted of what has just ended for that process.
    fn ended(&mut self, nth: usize, now: Time, whose: u64) -> Vec<Time> {
        self.to(now);
        self.ended[nth].remove(&whose).unwrap_or_default()
    }
}

/// One process.
pub struct Node {
    id: u64,
    view: View,
    pub party: Party,
    drift: i64,
    offset: Time,
    chance: ChaCha8Rng,
    /// Tries a second, and how many of these are of each budget.
    hunger: Rc<Cell<f64>>,
    parts: Vec<f64>,
    hints: u64,
    next: Time,
    spent: Time,
    account: Rc<RefCell<Account>>,
}

/// What is said about budgets goes the way of all datagrams.
struct Both<'a>(&'a mut dyn rainlug_fleet::Outgoing, &'a RefCell<Account>);

impl Outgoing for Both<'_> {
    fn send(&mut self, to: SocketAddr, payload: &[u8]) {
        self.1.borrow_mut().bytes += (payload.len() + rainlug_fleet::ENVELOPE) as u64;
        self.0.send(to, payload);
    }

    fn divides(&mut self, _: Option<SocketAddr>, _: u32) {}

    fn differs(&mut self, _: SocketAddr, _: bool) {}

    fn changed(&mut self) {}
}

impl Node {
    /// Its own clock.
    pub fn local(&self, now: Time) -> Time {
        self.offset + (i128::from(now) * (MILLION + i128::from(self.drift)) / MILLION) as Time
    }

    fn true_time(&self, local: Time) -> Time {
        if local == Time::MAX {
            return Time::MAX;
        }
        let rate = MILLION + i128::from(self.drift);
        ((i128::from(local - self.offset) * MILLION + rate - 1) / rate) as Time
    }

    fn spend(&mut self, now: Time) {
        let (local, all) = (self.local(now), self.party.terms().budgets.len());
        for nth in 0..all {
            let lasts = self.account.borrow().longest[nth];
            for after in self.account.borrow_mut().ended(nth, now, self.id) {
                self.party.back(nth, after);
            }
            let tries = self.parts[nth] * self.hunger.get() * (now - self.spent) as f64 / UNIT as f64;
            let tries = tries as u64 + u64::from(self.chance.random_bool(tries.fract()));
            for _ in 0..tries {
                if self.party.may(nth, local, 0).is_ok() {
                    self.party.take(nth);
                    let run = (lasts > 0).then(|| self.chance.random_range(lasts / 15..lasts));
                    self.account.borrow_mut().spend(nth, now, self.id, run);
                } else {
                    self.party.refuse(nth, local);
                }
            }
        }
        self.spent = now;
    }
}

impl Watcher for Node {
    fn next(&self) -> Time {
        self.next.min(self.true_time(self.view.next().min(self.party.next())))
    }

    fn due(&mut self, now: Time, out: &mut dyn rainlug_fleet::Outgoing) {
        let local = self.local(now);
        if now >= self.next {
            self.spend(now);
            let few = (TRIES * UNIT as f64 / self.hunger.get().max(1.0)) as Time;
            self.next = now + few.clamp(TICK / 40, TICK);
        }
        self.view.due(local, out);
        if self.hints != self.view.version() {
            self.hints = self.view.version();
            self.party.there(self.view.others());
        }
        let begun = Instant::now();
        self.party.due(local, &mut Both(out, &self.account));
        self.account.borrow_mut().took += begun.elapsed();
    }

    fn heard(
        &mut self,
        now: Time,
        from: SocketAddr,
        payload: &[u8],
        out: &mut dyn rainlug_fleet::Outgoing,
    ) -> Result<(), rainlug_fleet::Odd> {
        let local = self.local(now);
        if !crate::concerns(payload) {
            return self.view.heard(local, from, payload, out);
        }
        let begun = Instant::now();
        let heard = self.party.heard(local, from, payload, &mut Both(out, &self.account));
        self.account.borrow_mut().took += begun.elapsed();
        heard
    }

    fn living(&self) -> usize {
        self.view.processes_living()
    }

    fn digest(&self) -> u64 {
        self.view.digest()
    }
}

/// A fleet; each dispatcher has two places, for the processes of an upgrade.
pub struct World {
    pub fleet: Emulator<Node>,
    pub account: Rc<RefCell<Account>>,
    pub terms: Terms,
    pub ways: Ways,
    pub size: usize,
    /// What part of all tries are of each budget.
    pub parts: Vec<f64>,
    /// Clocks are off by up to so many parts in a million, and by less than the terms allow for.
    pub drift: i64,
    hunger: Vec<Rc<Cell<f64>>>,
    /// The place in which each dispatcher runs, or ran last.
    active: Vec<usize>,
}

impl World {
    /// Nobody runs yet.
    pub fn new(terms: Terms, link: Link, ways: Ways, seed: u64) -> Self {
        let size = terms.roster.len();
        let fleet = Emulator::new(2 * size, link, seed);
        World {
            account: Rc::new(RefCell::new(Account::of(&terms, fleet.now))),
            fleet,
            drift: i64::from(terms.drift) * 999 / 1000,
            parts: vec![1.0; terms.budgets.len()],
            terms,
            ways,
            size,
            hunger: (0..size).map(|_| Rc::new(Cell::new(0.0))).collect(),
            active: (0..size).collect(),
        }
    }

    /// So many tries a second of that dispatcher, of each budget.
    pub fn hunger(&self, of: usize, tries: f64) {
        self.hunger[of].set(tries);
    }

    fn node(&mut self, at: usize) -> Node {
        let (name, chance) = (at % self.size, &mut self.fleet.chance);
        let id = chance.random::<u64>().max(1);
        let drift = chance.random_range(-self.drift..=self.drift);
        // Monotonic clocks begin anywhere.
        let offset = chance.random_range(0..1_000_000_000);
        let (seed, now) = (chance.random::<u64>(), self.fleet.now);
        let local = offset + (i128::from(now) * (MILLION + i128::from(drift)) / MILLION) as Time;
        let called = self.terms.roster[name].clone();
        let (zone, at) = (String::new(), address(at));
        let card = Card { id, name: called, zone, at, start: local, edition: 0, figures: Vec::new() };
        let seeds = (0..self.size.min(3)).map(address).collect();
        Node {
            id,
            view: View::new(card, seeds, PERIOD, rainlug_fleet::Ways::default(), seed, local),
            party: Party::new(self.terms.clone(), name as u16, id, self.ways, !seed, local),
            drift,
            offset,
            next: now + self.fleet.chance.random_range(0..TICK),
            spent: now,
            chance: ChaCha8Rng::seed_from_u64(seed),
            hunger: self.hunger[name].clone(),
            parts: self.parts.clone(),
            hints: 0,
            account: self.account.clone(),
        }
    }

    /// A process of a dispatcher begins, in the place of the one before, which is over.
    pub fn start(&mut self, of: usize) {
        self.start_beside(of, self.active[of]);
        self.alone(of);
    }

    fn start_beside(&mut self, of: usize, at: usize) {
        let node = self.node(at);
        self.fleet.start(at, node.id, node);
        self.active[of] = at;
    }

    fn alone(&mut self, of: usize) {
        self.fleet.with(self.active[of], |node, now, _| {
            let local = node.local(now);
            node.party.alone(local);
        });
    }

    pub fn start_all(&mut self) {
        (0..self.size).for_each(|of| self.start(of));
    }

    pub fn lives(&self, of: usize) -> bool {
        self.fleet.get(self.active[of]).is_some()
    }

    pub fn kill(&mut self, of: usize) {
        self.fleet.kill(self.active[of]);
    }

    pub fn stop(&mut self, of: usize, stopped: bool) {
        self.fleet.stop(self.active[of], stopped);
    }

    /// A second process beside the first, which ends after a time.
    pub fn upgrade(&mut self, of: usize, after: Time) {
        let old = self.active[of];
        self.start_beside(of, if old < self.size { old + self.size } else { old - self.size });
        self.fleet.pass(after);
        self.fleet.kill(old);
        self.alone(of);
    }

    /// Parts dispatchers for which this holds, in both directions.
    pub fn split(&mut self, apart: impl Fn(usize, usize) -> bool) {
        let size = self.size;
        self.fleet.split(|a, b| apart(a % size, b % size));
    }

    /// Other wholes for one dispatcher, by reload.
    pub fn reload(&mut self, of: usize, terms: &Terms) {
        self.fleet.with(self.active[of], |node, now, _| {
            let local = node.local(now);
            node.party.reload(local, terms.clone())
        });
    }

    /// Who divides, if one does.
    pub fn divider(&self) -> Option<usize> {
        let divides = |at: &usize| {
            let node = self.fleet.get(*at);
            node.is_some_and(|node| node.party.office(node.local(self.fleet.now)).0)
        };
        (0..self.size).find(|of| divides(&self.active[*of]))
    }

    /// Use of a budget over some time: units a second of a rate, mean units of an occupancy.
    pub fn use_over(&mut self, nth: usize, time: Time) -> f64 {
        let rate = matches!(self.terms.budgets[nth].kind, Kind::Rate { .. });
        let total = |world: &World| {
            world.account.borrow_mut().to(world.fleet.now);
            let account = world.account.borrow();
            if rate { account.spent[nth] as f64 * UNIT as f64 } else { account.in_use[nth] }
        };
        let before = total(self);
        self.fleet.pass(time);
        (total(self) - before) / time as f64
    }

    /// The time until such a part of a budget's whole, less the own parts of those that are dead, is in use over a second, if it
    /// is within `most`.
    pub fn until_used(&mut self, nth: usize, part: f64, most: Time) -> Option<Time> {
        let begun = self.fleet.now;
        let dead = (0..self.size).filter(|of| !self.lives(*of)).count() as u64;
        let whole = (self.terms.budgets[nth].whole - dead * self.terms.own(nth)) as f64 / UNIT as f64;
        let mut last = std::collections::VecDeque::new();
        while self.fleet.now - begun < most {
            last.push_back(self.use_over(nth, UNIT as Time / 10));
            if last.len() > 10 {
                last.pop_front();
            }
            if last.len() == 10 && last.iter().sum::<f64>() / 10.0 >= part * whole {
                // It was in use so much from when that second began.
                return Some((self.fleet.now - begun - UNIT as Time).max(0));
            }
        }
        None
    }
}
