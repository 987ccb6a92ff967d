//! A holder: one process's share of one budget. Spending asks nobody.

use crate::{Amount, Kind, Terms, Time, UNIT};

/// What a holder says when it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    pub number: u32,
    pub wants: Amount,
    /// The epoch of its grants, the last one taken, and how much of it is kept.
    pub epoch: u32,
    pub seen: u32,
    pub keeps: Amount,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    nth: usize,
    /// Its own part counts from then: a process before it may have used it.
    from: Time,
    asked: (u32, Time),
    answered: bool,
    epoch: u32,
    seen: u32,
    granted: Amount,
    until: Time,
    /// Of a rate: what may be spent at `level_at`. Of an occupancy: what is in use.
    level: Amount,
    level_at: Time,
    /// What was refused since the last ask, and what was used.
    refused: Amount,
    used: Amount,
}

impl Holder {
    /// The only process of its dispatcher, which begins now. Nothing of what a process before it has spent or begun is known: of
    /// a rate nothing has come in yet, of an occupancy the own part may be in use until all that was begun is over.
    pub fn new(terms: &Terms, nth: usize, now: Time) -> Self {
        let mut holder = Holder {
            nth,
            from: now,
            asked: (0, now),
            answered: true,
            epoch: 0,
            seen: 0,
            granted: 0,
            until: now,
            level: 0,
            level_at: now,
            refused: 0,
            used: 0,
        };
        holder.not_before(terms, now);
        holder
    }

    /// Another process of this dispatcher has held the own part until now.
    pub fn not_before(&mut self, terms: &Terms, now: Time) {
        self.come_in(terms, now);
        self.from = match terms.budgets[self.nth].kind {
            Kind::Rate { .. } => now,
            Kind::Occupancy { longest } => now + terms.over(longest),
        };
    }

    /// What it may use now: its own, and what it was lent.
    pub fn share(&self, terms: &Terms, now: Time) -> Amount {
        let own = if now >= self.from { terms.own(self.nth) } else { 0 };
        own + if now < self.until { self.granted } else { 0 }
    }

    /// What of a rate has come in. A clock that runs fast must not bring in more.
    fn come_in(&mut self, terms: &Terms, now: Time) {
        if !matches!(terms.budgets[self.nth].kind, Kind::Rate { .. }) || now <= self.level_at {
            return;
        }
        // A grant that ended in between brought in until its end.
        let slow = u128::from(1_000_000 - u64::from(terms.drift));
        let brings = |rate: Amount, time: Time| {
            (u128::from(rate) * time.max(0) as u128 * slow / 1_000_000_000_000) as Amount
        };
        let own = brings(terms.own(self.nth), now - self.level_at.max(self.from));
        let lent = brings(self.granted, self.until.min(now) - self.level_at);
        self.level = (self.level + own + lent).min(terms.burst(self.nth));
        self.level_at = now;
    }

    /// Whether one more may go now; if not, when it is worth asking again. What may go counts as spent, or as in use until
    /// [`Holder::back`].
    pub fn take(&mut self, terms: &Terms, now: Time) -> Result<(), Time> {
        self.come_in(terms, now);
        let share = self.share(terms, now);
        let again = match terms.budgets[self.nth].kind {
            Kind::Rate { .. } if self.level >= UNIT => {
                self.level -= UNIT;
                None
            }
            Kind::Rate { .. } => {
                let lacks = u128::from(UNIT - self.level) * 1_000_000;
                // Without any share it is worth asking when a grant may have come.
                let wait = lacks.checked_div(u128::from(share)).map_or(terms.grant, |t| t as Time + 1);
                Some(now + wait.min(terms.grant))
            }
            Kind::Occupancy { .. } if self.level + UNIT <= share => {
                self.level += UNIT;
                None
            }
            Kind::Occupancy { .. } => Some(now + terms.grant / 2),
        };
        match again {
            None => {
                self.used += UNIT;
                Ok(())
            }
            Some(at) => {
                self.refused += UNIT;
                Err(at)
            }
        }
    }

    /// One of an occupancy is no longer in use.
    pub fn back(&mut self) {
        self.level = self.level.saturating_sub(UNIT);
    }

    /// What of an occupancy is in use.
    pub fn in_use(&self) -> Amount {
        self.level
    }

    /// It asks now, `since` microseconds after it asked before.
    pub fn ask(&mut self, terms: &Terms, now: Time, since: Time) -> Ask {
        self.come_in(terms, now);
        let own = terms.own(self.nth);
        let demand = match terms.budgets[self.nth].kind {
            // A quarter over what was asked of it, so that it can grow.
            Kind::Rate { .. } => {
                let all = u128::from(self.used + self.refused) * 1_000_000 / since.max(1) as u128;
                (all + all / 4) as Amount
            }
            Kind::Occupancy { .. } => {
                let all = self.level + self.refused;
                (all + all / 4).div_ceil(UNIT) * UNIT
            }
        };
        (self.refused, self.used) = (0, 0);
        self.asked = (self.asked.0 + 1, now);
        self.answered = false;
        let wants = demand.saturating_sub(own);
        // From here on it keeps no more than it wants, or has in use: that is said now, and done now.
        let busy = match terms.budgets[self.nth].kind {
            Kind::Occupancy { .. } => self.level.saturating_sub(if now >= self.from { own } else { 0 }),
            Kind::Rate { .. } => 0,
        };
        let granted = if now < self.until { self.granted } else { 0 };
        self.granted = granted.min(wants);
        let keeps = self.granted.max(busy);
        Ask { number: self.asked.0, wants, epoch: self.epoch, seen: self.seen, keeps }
    }

    /// What it was lent in answer to its ask of that number. An answer to an earlier one, or one that is over, is dropped.
    pub fn lent(
        &mut self,
        terms: &Terms,
        now: Time,
        epoch: u32,
        ask: u32,
        number: u32,
        amount: Amount,
    ) -> bool {
        if ask != self.asked.0 || self.answered {
            return false;
        }
        // From when it asked: the divider's count began later.
        let until = self.asked.1 + terms.grant;
        if now >= until {
            return false;
        }
        self.come_in(terms, now);
        self.answered = true;
        (self.epoch, self.seen, self.granted, self.until) = (epoch, number, amount, until);
        true
    }
}
