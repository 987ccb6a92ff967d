//! A candidate, and the divider that it becomes: it lends what is not reserved, and counts what it lent until it is given back or
//! over for whoever may hold it.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Amount, Ask, Key, Terms, Time, Ways, fair};

/// Part of a share by which a new one must differ from the one before to be taken: shares that tremble make everybody ask again.
const TREMBLE: Amount = 16;
/// A holder that has not asked for so many grants' lengths wants nothing.
const FORGOTTEN: Time = 2;

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
    last: Amount,
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
    lent: BTreeMap<Key, BTreeMap<u64, Lent>>,
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
        let all = self.lent.entry(key).or_default();
        for lent in all.values_mut() {
            lent.grants.retain(|(.., until)| now < *until);
            if now - lent.heard > FORGOTTEN * terms.grant {
                lent.wants = 0;
            }
        }
        all.retain(|id, lent| *id == holder || !lent.grants.is_empty() || lent.wants > 0);
        let own = all.entry(holder).or_default();
        if ask.number <= own.asked {
            // Said before what was said since.
            return None;
        }
        (own.name, own.asked, own.wants, own.heard) = (name, ask.number, ask.wants, now);
        if ask.epoch == self.epoch {
            // What it has taken and no longer keeps is free. What is on its way to it, it may yet take.
            for grant in own.grants.iter_mut().filter(|(number, ..)| *number <= ask.seen) {
                grant.1 = grant.1.min(ask.keeps);
            }
        }
        let kept = if ask.epoch == self.epoch { own.last.min(ask.keeps) } else { ask.keeps };
        let others: Amount = all.iter().filter(|(id, _)| **id != holder).map(|(_, l)| l.most()).sum();
        let pool = terms.pool(nth);
        let share = share(all, holder, pool, terms.grain(nth))?;
        let own = all.get_mut(&holder)?;
        let trembles = share.abs_diff(own.last) <= own.last / TREMBLE && own.last <= ask.wants;
        // Nothing grows before what shrinks elsewhere has been given back or is over.
        let mut amount = if trembles { own.last } else { share }.min(pool.saturating_sub(others));
        if now < self.from[nth] {
            // What the one before lent may still be held by whoever has not been heard of. Who has it and has asked since this
            // office began may go on with what it keeps of it: that is nobody else's.
            amount = amount.min(kept);
        }
        own.last = amount;
        own.number += 1;
        own.grants.push((own.number, amount, now + terms.counted(nth)));
        Some((own.number, amount))
    }

    /// All that may be held of a budget by what this one lent.
    pub fn out(&self, key: Key) -> Amount {
        self.lent.get(&key).map_or(0, |all| all.values().map(Lent::most).sum())
    }

    /// What was last lent of a budget to each dispatcher, by its place on the roster.
    pub fn division(&self, key: Key) -> BTreeMap<u16, Amount> {
        let mut found = BTreeMap::new();
        for lent in self.lent.get(&key).into_iter().flat_map(|all| all.values()) {
            *found.entry(lent.name).or_default() += lent.last;
        }
        found
    }

    /// Forgets budgets of which nothing is held: things that came and went.
    pub fn tidy(&mut self, now: Time) {
        self.lent.retain(|_, all| all.values().any(|l| l.grants.iter().any(|(.., until)| now < *until)));
    }
}

impl Default for Divider {
    fn default() -> Self {
        Self::new()
    }
}

/// A holder's share: dispatchers get theirs by what their processes want together, and of that each process its own.
fn share(all: &BTreeMap<u64, Lent>, holder: u64, pool: Amount, grain: Amount) -> Option<Amount> {
    let mut names = BTreeMap::<u16, Amount>::new();
    all.values().for_each(|lent| *names.entry(lent.name).or_default() += lent.wants / grain);
    let of = all.get(&holder)?.name;
    let wanted: Vec<Amount> = names.values().copied().collect();
    let part = fair::shares(pool / grain, &wanted)[names.keys().position(|n| *n == of)?];
    let within: Vec<(u64, Amount)> =
        all.iter().filter(|(_, l)| l.name == of).map(|(id, l)| (*id, l.wants / grain)).collect();
    let wanted: Vec<Amount> = within.iter().map(|w| w.1).collect();
    Some(fair::shares(part, &wanted)[within.iter().position(|w| w.0 == holder)?] * grain)
}
