//! A candidate, and the divider that it becomes: it lends what is not reserved, and counts what it lent until it is given back or
//! over for whoever may hold it.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Amount, Ask, Key, Terms, Time, Ways, fair};

/// Part of a share by which a new one must differ from the one before to be taken: shares that tremble make everybody ask again.
const TREMBLE: Amount = 16;
/// A holder that has not asked for so many grants' lengths wants nothing.
const FORGOTTEN: Time = 2;
/// Shares are divided anew once in such a part of a grant, or when somebody wants much more: each ask of hundreds would else
/// cost a look at all.
const ANEW: Time = 32;

/// What one holder has of one budget, as far as it may have it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lent {
    /// Of which dispatcher it is a process, by its place on the roster.
    name: u16,
    /// Number, amount, and until when it counts.
    grants: Vec<(u32, Amount, Time)>,
    number: u32,
    asked: u32,
    wants: Amount,
    heard: Time,
    /// Its share as last divided, and what it was lent last.
    share: Amount,
    last: Amount,
}

/// What is lent of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Book {
    all: BTreeMap<u64, Lent>,
    /// The most that all may hold together, as last counted: what has run out since is counted yet.
    most: Amount,
    looked: Option<Time>,
}

impl Book {
    /// Counts what may still be held, and divides the pool anew.
    fn look(&mut self, terms: &Terms, now: Time, nth: usize) {
        self.looked = Some(now);
        for lent in self.all.values_mut() {
            lent.grants.retain(|(.., until)| now < *until);
            if now - lent.heard > FORGOTTEN * terms.grant {
                lent.wants = 0;
            }
        }
        self.all.retain(|_, lent| !lent.grants.is_empty() || lent.wants > 0);
        self.most = self.all.values().map(Lent::most).sum();
        let grain = terms.grain(nth);
        // Dispatchers get theirs by what their processes want together, and of that each process its own.
        let mut names = BTreeMap::<u16, Vec<u64>>::new();
        self.all.iter().for_each(|(id, lent)| names.entry(lent.name).or_default().push(*id));
        let wants = |id: &u64| self.all.get(id).map_or(0, |lent| lent.wants / grain);
        let wanted: Vec<Amount> = names.values().map(|ids| ids.iter().map(wants).sum()).collect();
        let parts = fair::shares(terms.pool(nth) / grain, &wanted);
        for (ids, part) in names.into_values().zip(parts) {
            let wanted: Vec<Amount> =
                ids.iter().map(|id| self.all.get(id).map_or(0, |lent| lent.wants / grain)).collect();
            for (id, share) in ids.iter().zip(fair::shares(part, &wanted)) {
                self.all.entry(*id).and_modify(|lent| lent.share = share * grain);
            }
        }
    }
}

impl Lent {
    fn most(&self) -> Amount {
        self.grants.iter().map(|g| g.1).max().unwrap_or(0)
    }
}

/// A process that may divide.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Divider {
    epoch: u32,
    /// When the voices now gathered were asked for, and whose they are.
    asked: Time,
    voices: BTreeSet<u16>,
    /// Its office lasts until then; from when on each budget may grow for somebody.
    until: Option<Time>,
    from: Vec<Time>,
    lent: BTreeMap<Key, Book>,
}

impl Divider {
    pub fn new() -> Self {
        Divider {
            epoch: 0,
            asked: Time::MIN,
            voices: BTreeSet::new(),
            until: None,
            from: Vec::new(),
            lent: BTreeMap::new(),
        }
    }

    /// Whether it may lend now.
    pub fn holds(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// It asks the voters for their voices now, in office or for it: in which epoch.
    pub fn stand(&mut self, now: Time) -> u32 {
        if !self.holds(now) {
            self.until = None;
            self.epoch += 1;
        }
        (self.asked, self.voices) = (now, BTreeSet::new());
        self.epoch
    }

    /// A voter knows of a higher epoch.
    pub fn outbid(&mut self, now: Time, epoch: u32) {
        if !self.holds(now) {
            self.epoch = self.epoch.max(epoch);
        }
    }

    /// Its office is over now, and what it lent goes on elsewhere.
    pub fn resign(&mut self) {
        self.until = None;
        self.voices.clear();
        self.asked = Time::MIN;
    }

    /// A voter, by its place among the voters, gave its voice, asked for at `asked` in that epoch.
    pub fn voiced(&mut self, terms: &Terms, ways: Ways, now: Time, voter: u16, epoch: u32, asked: Time) {
        if epoch != self.epoch || asked != self.asked || usize::from(voter) >= terms.voters.len() {
            return;
        }
        self.voices.insert(voter);
        // From when it asked, not from the answer: a voter's count began later.
        let until = asked + terms.lease;
        if 2 * self.voices.len() <= terms.voters.len() || now >= until {
            return;
        }
        if self.until.is_none() {
            // Whoever divided before may have lent until just now: what it lent is over by then, wherever it is.
            let wait = |nth| if ways.dividers_wait { terms.counted(nth) } else { 0 };
            self.from = (0..terms.budgets.len()).map(|nth| now + wait(nth)).collect();
            self.lent.clear();
        }
        self.until = Some(until);
    }

    /// A holder, a process of the dispatcher in that place of the roster, asks for so much of a budget beyond its own. It has
    /// taken grants of this epoch up to the number `seen`, and keeps no more than `keeps` of them, or of those of an epoch
    /// before. It asked after it had heard of the epoch `known`. Its asks have growing numbers. What it is lent: the grant's
    /// number and amount.
    pub fn lend(
        &mut self,
        terms: &Terms,
        now: Time,
        key: Key,
        (name, holder): (u16, u64),
        known: u32,
        ask: Ask,
    ) -> Option<(u32, Amount)> {
        let nth = usize::from(key.0);
        let on_it = usize::from(name) < terms.roster.len() && nth < terms.budgets.len();
        if !self.holds(now) || !on_it || known != self.epoch {
            return None;
        }
        let book = self.lent.entry(key).or_default();
        let own = book.all.entry(holder).or_default();
        if ask.number <= own.asked {
            // Said before what was said since.
            return None;
        }
        let (before, wanted) = (own.most(), own.wants);
        (own.name, own.asked, own.wants, own.heard) = (name, ask.number, ask.wants, now);
        own.grants.retain(|(.., until)| now < *until);
        if ask.epoch == self.epoch {
            // What it has taken and no longer keeps is free. What is on its way to it, it may yet take.
            for grant in own.grants.iter_mut().filter(|(number, ..)| *number <= ask.seen) {
                grant.1 = grant.1.min(ask.keeps);
            }
        }
        let kept = if ask.epoch == self.epoch { own.last.min(ask.keeps) } else { ask.keeps };
        book.most = book.most - before + own.most();
        if book.looked.is_none_or(|at| now - at >= terms.grant / ANEW) || ask.wants > 2 * wanted {
            book.look(terms, now, nth);
        }
        let pool = terms.pool(nth);
        let own = book.all.entry(holder).or_default();
        let others = book.most - own.most();
        let share = own.share.min(ask.wants);
        let trembles = share.abs_diff(own.last) <= own.last / TREMBLE && own.last <= ask.wants;
        // Nothing grows before what shrinks elsewhere has been given back or is over.
        let mut amount = if trembles { own.last } else { share }.min(pool.saturating_sub(others));
        if now < self.from[nth] {
            // What the one before lent may still be held by whoever has not been heard of. Who has it and has asked since this
            // office began may go on with what it keeps of it: that is nobody else's.
            amount = amount.min(kept);
        }
        let before = own.most();
        (own.name, own.asked, own.wants, own.heard) = (name, ask.number, ask.wants, now);
        own.last = amount;
        own.number += 1;
        own.grants.push((own.number, amount, now + terms.counted(nth)));
        book.most = book.most - before + own.most();
        Some((own.number, amount))
    }

    /// All that may be held of a budget by what this one lent.
    pub fn out(&self, key: Key) -> Amount {
        self.lent.get(&key).map_or(0, |book| book.all.values().map(Lent::most).sum())
    }

    /// What was last lent of a budget to each dispatcher, by its place on the roster.
    pub fn division(&self, key: Key) -> BTreeMap<u16, Amount> {
        let mut found = BTreeMap::new();
        for lent in self.lent.get(&key).into_iter().flat_map(|book| book.all.values()) {
            *found.entry(lent.name).or_default() += lent.last;
        }
        found
    }

    /// Forgets budgets of which nothing is held: things that came and went.
    pub fn tidy(&mut self, now: Time) {
        let holds = |l: &Lent| l.grants.iter().any(|(.., until)| now < *until);
        self.lent.retain(|_, book| book.all.values().any(holds));
    }
}

impl Default for Divider {
    fn default() -> Self {
        Self::new()
    }
}
