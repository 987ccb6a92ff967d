//! What this process holds of the fleet's budgets: tasks that may go are counted, those that may not are told when, and the
//! actor of the fleet's view carries its datagrams. Who may have how much is decided in `crates/budgets`, what is done about
//! it in the module.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;

use anyhow::Result;
use rainlug::Time;
use rainlug_budgets::{Kind, Odd, Outgoing, Party, UNIT, Ways};
use rainlug_setup::Use;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::broken;
use crate::base::Clock;

/// Processes with other terms that are told of by name.
const TOLD: usize = 64;

/// One unit of an occupancy that an assignment holds, since when.
pub struct Held {
    nth: usize,
    since: Time,
}

/// Totals of one budget.
#[derive(Default)]
struct Totals {
    used: Cell<u64>,
    refused: Cell<u64>,
}

pub struct Budgets {
    clock: Clock,
    party: RefCell<Party>,
    uses: Vec<Use>,
    totals: Vec<Totals>,
    /// Tasks that wait for each budget, with their marks, in the order of their coming.
    waiting: RefCell<Vec<VecDeque<(String, u64)>>>,
    /// What the assignment that goes out next has been counted for, and until when it may be written.
    counted: RefCell<Option<(Option<Held>, Time)>>,
    /// Ends of what may still run somewhere.
    ends: RefCell<BinaryHeap<Reverse<(Time, usize, Time)>>>,
    differing: RefCell<BTreeSet<SocketAddr>>,
    differed: Cell<u64>,
    /// More may go than before.
    pub more: Notify,
}

/// All of the protocol is on, but in a build that is broken on purpose, for the checkers to be tried on.
fn ways() -> Ways {
    let off = broken();
    Ways {
        voters_wait: off != "voters-wait" && off != "waits",
        dividers_wait: off != "dividers-wait" && off != "waits",
        dead_expire: off != "dead-expire",
        shrinks_first: off != "shrinks-first",
        ..Ways::default()
    }
}

impl Budgets {
    /// Of a process with that id, which begins now.
    pub fn new(told: rainlug_setup::Budgets, id: u64, seed: u64, clock: Clock) -> Self {
        let names: Vec<String> = told.terms.budgets.iter().map(|b| b.name.clone()).collect();
        let (count, roster) = (names.len(), told.terms.roster.len());
        log!(
            "budgets: {} of {} dispatchers, voters {}",
            names.join(", "),
            roster,
            told.terms.voters.join(", ")
        );
        Budgets {
            clock,
            party: RefCell::new(Party::new(told.terms, told.me, id, ways(), seed, clock.now())),
            uses: told.uses,
            totals: (0..count).map(|_| Totals::default()).collect(),
            waiting: RefCell::new(vec![VecDeque::new(); count]),
            counted: RefCell::default(),
            ends: RefCell::default(),
            differing: RefCell::default(),
            differed: Cell::default(),
            more: Notify::new(),
        }
    }

    /// No other process of this dispatcher lives any more that may use its part.
    pub fn alone(&self) {
        self.party.borrow_mut().alone(self.clock.now());
        self.more.notify_one();
    }

    /// Takes other wholes at a reload; whether all that has changed could be taken.
    pub fn reload(&self, told: rainlug_setup::Budgets) -> bool {
        let same = told.uses == self.uses;
        same && self.party.borrow_mut().reload(self.clock.now(), told.terms)
    }

    /// Where the dispatchers on the roster are, by the view.
    pub fn there(&self, found: BTreeMap<&str, Vec<SocketAddr>>) {
        self.party.borrow_mut().there(found);
    }

    pub fn next(&self) -> Time {
        self.party.borrow().next()
    }

    pub fn due(&self, out: &mut dyn Outgoing) {
        self.party.borrow_mut().due(self.clock.now(), out);
    }

    /// A datagram about budgets has come.
    ///
    /// # Errors
    /// Where it is none.
    pub fn heard(&self, from: SocketAddr, payload: &[u8], out: &mut dyn Outgoing) -> Result<(), Odd> {
        self.party.borrow_mut().heard(self.clock.now(), from, payload, out)
    }

    /// A process there has other terms: told once.
    pub fn differs(&self, at: SocketAddr, whole_only: bool) {
        self.differed.update(|n| n + 1);
        let mut differing = self.differing.borrow_mut();
        if differing.len() < TOLD && differing.insert(at) {
            let what = if whole_only { "wholes" } else { "roster, voters, times or reserves" };
            log!("budgets: the process at {at} is told other {what} than this one");
        }
    }

    /// Whether one more assignment of a workload may go; it is counted if it may.
    ///
    /// # Errors
    /// When it is worth asking again, for a task of that mark.
    pub fn may(&self, task: &str, mark: u64, workload: usize, again: bool) -> Result<(), Time> {
        let now = self.clock.now();
        let concerns = |does: &Use| match does {
            Use::Again => again,
            Use::Assignments(of) | Use::Tasks(of) => *of == workload,
            Use::Warming => false,
        };
        let (mut party, mut waiting) = (self.party.borrow_mut(), self.waiting.borrow_mut());
        let which = || self.uses.iter().enumerate().filter(|(_, does)| concerns(does)).map(|(nth, _)| nth);
        let mut until = Time::MAX;
        for nth in which() {
            let before = waiting[nth].iter().position(|w| w.1 == mark);
            match party.may(nth, now, before.unwrap_or(waiting[nth].len())) {
                Ok(by) => until = until.min(by),
                Err(at) => {
                    party.refuse(nth, now);
                    self.totals[nth].refused.update(|n| n + 1);
                    if before.is_none() {
                        waiting[nth].push_back((task.to_owned(), mark));
                    }
                    return Err(at);
                }
            }
        }
        let mut held = None;
        for nth in which() {
            party.take(nth);
            self.totals[nth].used.update(|n| n + 1);
            if matches!(self.uses[nth], Use::Tasks(_)) {
                held = Some(Held { nth, since: now });
            }
        }
        self.counted.replace(Some((held, until)));
        Ok(())
    }

    /// What the assignment that goes out now has been counted for, and until when it may be written.
    pub fn counted(&self) -> (Option<Held>, Time) {
        self.counted.take().unwrap_or((None, Time::MAX))
    }

    /// An assignment has ended; `over` where nothing of it can run any more.
    pub fn ended(&self, held: Held, over: bool) {
        let (now, mut party) = (self.clock.now(), self.party.borrow_mut());
        if over {
            return party.back(held.nth, now - held.since);
        }
        let longest = match party.terms().budgets[held.nth].kind {
            Kind::Occupancy { longest } => party.terms().over(longest),
            _ => 0,
        };
        self.ends.borrow_mut().push(Reverse((held.since + longest, held.nth, held.since)));
    }

    /// The task has its answer, and waits for nothing.
    pub fn answered(&self, task: &str) {
        self.waiting.borrow_mut().iter_mut().for_each(|waiting| waiting.retain(|w| w.0 != task));
    }

    /// The next task that may go now.
    pub fn released(&self) -> Option<u64> {
        let (now, mut party) = (self.clock.now(), self.party.borrow_mut());
        let mut ends = self.ends.borrow_mut();
        while let Some(Reverse((_, nth, since))) = ends.peek().copied().filter(|Reverse(e)| e.0 <= now) {
            ends.pop();
            party.back(nth, now - since);
        }
        let mut waiting = self.waiting.borrow_mut();
        let free = (0..waiting.len()).find(|n| !waiting[*n].is_empty() && party.may(*n, now, 0).is_ok())?;
        waiting[free].pop_front().map(|w| w.1)
    }

    /// When something may be released.
    pub fn release(&self) -> Time {
        let (now, mut party) = (self.clock.now(), self.party.borrow_mut());
        let end = self.ends.borrow().peek().map_or(Time::MAX, |Reverse(end)| end.0);
        let waiting = self.waiting.borrow();
        let waits = (0..waiting.len()).filter(|n| !waiting[*n].is_empty());
        waits.map(|n| party.may(n, now, 0).err().unwrap_or(now)).fold(end, Time::min)
    }

    /// This process's part of a cold worker's room, where one is kept account of.
    pub fn room(&self, worker: &str, wants: f64) -> Option<f64> {
        let nth = self.uses.iter().position(|does| *does == Use::Warming)?;
        let of = xxh3_64(worker.as_bytes()).max(1);
        Some(self.party.borrow_mut().part(nth, of, wants, self.clock.now()))
    }

    /// Its lines among the figures: its own share, use and asks; where it divides, the whole and its division.
    pub fn figures(&self) -> String {
        let (now, party) = (self.clock.now(), self.party.borrow());
        let (divides, epoch) = party.office(now);
        let units = |amount: u64| amount as f64 / UNIT as f64;
        let mut text = format!(
            "relay.budgets.divides:{}|g\nrelay.budgets.epoch:{epoch}|g\nrelay.budgets.datagrams_differing:{}|c\n",
            u8::from(divides),
            self.differed.get()
        );
        for (nth, (budget, totals)) in party.terms().budgets.iter().zip(&self.totals).enumerate() {
            let name = &budget.name;
            let (share, in_use, asked) = party.has(nth, now);
            let waiting = self.waiting.borrow()[nth].len();
            if budget.kind == Kind::Parts {
                let _ = writeln!(text, "relay.budgets.{name}.workers:{}|g", party.things(nth));
                continue;
            }
            let mut line = |key: &str, value: f64| {
                let _ = writeln!(text, "relay.budgets.{name}.{key}:{value}|g");
            };
            line("share", units(share));
            line("asked", units(asked));
            line("waiting", waiting as f64);
            if matches!(budget.kind, Kind::Occupancy { .. }) {
                line("in_use", units(in_use));
            }
            if divides {
                line("whole", units(budget.whole));
                for (name, lent) in party.division(nth).into_iter().filter(|(_, lent)| *lent > 0) {
                    line(&format!("lent.{}", party.terms().roster[usize::from(name)]), units(lent));
                }
            }
            let (used, refused) = (totals.used.get(), totals.refused.get());
            let _ = writeln!(
                text,
                "relay.budgets.{name}.used:{used}|c\nrelay.budgets.{name}.refused:{refused}|c"
            );
        }
        text
    }
}
