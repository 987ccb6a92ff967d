//! A candidate, and the divider that it becomes: it lends what is not reserved, and counts what it lent until it is given back or
//! over for whoever may hold it.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Amount, Terms, Time, fair};

/// Part of a share by which a new one must differ from the one before to be taken: shares that tremble make everybody ask again.
const TREMBLE: Amount = 16;
/// A holder that has not asked for so many grants' lengths wants nothing.
const FORGOTTEN: Time = 2;

/// What one holder has of one budget, as far as it may have it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lent {
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
    /// Its office lasts until then; from when it lends each budget.
    until: Option<Time>,
    from: Vec<Time>,
    lent: Vec<BTreeMap<u64, Lent>>,
}

impl Divider {
    pub fn new(terms: &Terms) -> Self {
        let count = terms.budgets.len();
        Divider {
            epoch: 0,
            asked: Time::MIN,
            voices: BTreeSet::new(),
            until: None,
            from: vec![Time::MAX; count],
            lent: vec![BTreeMap::new(); count],
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

    /// A voter, by its place among the voters, gave its voice, asked for at `asked` in that epoch.
    pub fn voiced(&mut self, terms: &Terms, now: Time, voter: u16, epoch: u32, asked: Time) {
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
            self.from = (0..terms.budgets.len()).map(|nth| now + terms.counted(nth)).collect();
            self.lent.iter_mut().for_each(BTreeMap::clear);
        }
        self.until = Some(until);
    }

    /// A holder asks for so much of a budget beyond its own: it has taken grants of this epoch up to the number `seen`, and
    /// keeps no more than `keeps` of them. Its asks have growing numbers. What it is lent: the grant's number and amount.
    #[expect(clippy::too_many_arguments, reason = "a message's fields")]
    pub fn lend(
        &mut self,
        terms: &Terms,
        now: Time,
        nth: usize,
        holder: u64,
        ask: u32,
        wants: Amount,
        (epoch, seen, keeps): (u32, u32, Amount),
    ) -> Option<(u32, Amount)> {
        if !self.holds(now) || nth >= terms.budgets.len() || now < self.from[nth] {
            return None;
        }
        let all = &mut self.lent[nth];
        for lent in all.values_mut() {
            lent.grants.retain(|(.., until)| now < *until);
            if now - lent.heard > FORGOTTEN * terms.grant {
                lent.wants = 0;
            }
        }
        all.retain(|id, lent| *id == holder || !lent.grants.is_empty() || lent.wants > 0);
        let own = all.entry(holder).or_default();
        if ask <= own.asked {
            // Said before what was said since.
            return None;
        }
        (own.asked, own.wants, own.heard) = (ask, wants, now);
        if epoch == self.epoch {
            // What it has taken and no longer keeps is free. What is on its way to it, it may yet take.
            for grant in own.grants.iter_mut().filter(|(number, ..)| *number <= seen) {
                grant.1 = grant.1.min(keeps);
            }
        }
        let others: Amount = all.iter().filter(|(id, _)| **id != holder).map(|(_, l)| l.most()).sum();
        let ids: Vec<u64> = all.keys().copied().collect();
        let wanted: Vec<Amount> = all.values().map(|l| l.wants).collect();
        let pool = terms.pool(nth);
        let place = ids.iter().position(|id| *id == holder)?;
        let share = fair::shares(pool, &wanted)[place];
        let own = all.get_mut(&holder)?;
        let trembles = share.abs_diff(own.last) <= own.last / TREMBLE && own.last <= wants;
        // Nothing grows before what shrinks elsewhere has been given back or is over.
        let amount = if trembles { own.last } else { share }.min(pool.saturating_sub(others));
        own.last = amount;
        own.number += 1;
        own.grants.push((own.number, amount, now + terms.counted(nth)));
        Some((own.number, amount))
    }

    /// All that may be held of a budget by what this one lent.
    pub fn out(&self, nth: usize) -> Amount {
        self.lent[nth].values().map(Lent::most).sum()
    }
}
