//! A holder: one process's share of one budget. Spending asks nobody.

use crate::{Amount, Kind, Terms, Time, UNIT};

/// Part of a mean time in use by which one more observation moves it.
const LEARNS: Time = 8;
/// Asks whose mean says what is used; as many as there are in a grant's length.
const LASTS: usize = 4;
/// Asks that are no further apart than such a part of a grant say the same.
const AT_ONCE: Time = 8;

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
    /// Its own part counts from then, if it may be used at all.
    from: Option<Time>,
    asked: (u32, Time),
    answered: bool,
    epoch: u32,
    seen: u32,
    granted: Amount,
    until: Time,
    /// Of a rate: what may be spent at `level_at`. Of an occupancy: what is in use. Of parts: what is wanted.
    level: Amount,
    level_at: Time,
    /// The most that was in use since the last ask, what was refused since, and what was used.
    peak: Amount,
    refused: Amount,
    used: Amount,
    /// How long one is in use, as far as seen.
    lasts: Time,
    /// What it would use if it had it, as last asked; and on the mean of its last asks.
    demand: Amount,
    last: [Amount; LASTS],
}

impl Holder {
    /// Of a process that begins now, without a part of its own.
    pub fn new(nth: usize, now: Time) -> Self {
        Holder {
            nth,
            from: None,
            asked: (0, now),
            answered: true,
            epoch: 0,
            seen: 0,
            granted: 0,
            until: now,
            level: 0,
            level_at: now,
            peak: 0,
            refused: 0,
            used: 0,
            lasts: 0,
            demand: 0,
            last: [0; LASTS],
        }
    }

    /// Another process of this dispatcher, which is over, may have held the own part until `before`; from now on this one has it.
    /// Nothing of what that one spent or began is known: of a rate nothing has come in yet, of an occupancy the own part may be
    /// in use until all that was begun is over.
    pub fn owns(&mut self, terms: &Terms, now: Time, before: Time) {
        self.come_in(terms, now);
        self.from = Some(match terms.budgets[self.nth].kind {
            Kind::Rate { .. } | Kind::Parts => now,
            Kind::Occupancy { longest } => (before + terms.over(longest)).max(now),
        });
    }

    /// It has neither an own part nor a grant any more.
    pub fn nothing(&mut self, terms: &Terms, now: Time) {
        self.come_in(terms, now);
        (self.from, self.granted, self.until) = (None, 0, now);
    }

    fn own(&self, terms: &Terms, now: Time) -> Amount {
        if self.from.is_some_and(|from| now >= from) { terms.own(self.nth) } else { 0 }
    }

    /// What it was lent that holds now.
    pub fn granted(&self, now: Time) -> Amount {
        if now < self.until { self.granted } else { 0 }
    }

    /// What it may use now: its own, and what it was lent.
    pub fn share(&self, terms: &Terms, now: Time) -> Amount {
        self.own(terms, now) + self.granted(now)
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
        let own = self.from.map_or(0, |from| brings(terms.own(self.nth), now - self.level_at.max(from)));
        let lent = brings(self.granted, self.until.min(now) - self.level_at);
        self.level = (self.level + own + lent).min(terms.burst(self.nth));
        self.level_at = now;
    }

    /// Whether one more may go now, and until when it may be begun; if not, when it is worth asking again, where so many wait
    /// already.
    pub fn may(&mut self, terms: &Terms, now: Time, waiting: usize) -> Result<Time, Time> {
        self.come_in(terms, now);
        let (share, more) = (self.share(terms, now), 1 + waiting as Amount);
        match terms.budgets[self.nth].kind {
            Kind::Rate { .. } if self.level >= UNIT => Ok(now + terms.grant),
            Kind::Rate { .. } => {
                let lacks = u128::from(more * UNIT - self.level) * 1_000_000;
                // Without any share it is worth asking when a grant may have come.
                Err(now + lacks.checked_div(u128::from(share)).map_or(terms.grant, |t| t as Time + 1))
            }
            Kind::Occupancy { .. } if self.level + UNIT <= self.own(terms, now) => Ok(Time::MAX),
            Kind::Occupancy { .. } if self.level + UNIT <= share => Ok(self.until),
            Kind::Occupancy { .. } => {
                // So many are in use, and one ends in each such part of the time that one lasts.
                let ends = (u128::from(more) * self.lasts as u128).checked_div(u128::from(self.level / UNIT));
                Err(now + ends.filter(|t| *t > 0).map_or(terms.grant, |t| t as Time))
            }
            Kind::Parts => Err(now + terms.grant),
        }
    }

    /// One more goes now, as [`Holder::may`] has just said that it may: it counts as spent, or as in use until
    /// [`Holder::back`].
    pub fn take(&mut self, terms: &Terms) {
        match terms.budgets[self.nth].kind {
            Kind::Rate { .. } => self.level = self.level.saturating_sub(UNIT),
            Kind::Occupancy { .. } => self.level += UNIT,
            Kind::Parts => {}
        }
        self.peak = self.peak.max(self.level);
        self.used += UNIT;
    }

    /// One could not go.
    pub fn refuse(&mut self) {
        self.refused += UNIT;
    }

    /// One of an occupancy is no longer in use, after so long.
    pub fn back(&mut self, after: Time) {
        self.level = self.level.saturating_sub(UNIT);
        self.lasts += if self.lasts == 0 { after } else { (after - self.lasts) / LEARNS };
    }

    /// So much of the parts is of use.
    pub fn want(&mut self, wants: Amount) {
        self.level = wants;
    }

    /// What of an occupancy is in use.
    pub fn in_use(&self) -> Amount {
        self.level
    }

    /// What it would use if it had it, as last asked.
    pub fn demand(&self) -> Amount {
        self.demand
    }

    /// Whether there is anything to say to a divider: something is wanted, or held.
    pub fn concerned(&self, terms: &Terms, now: Time) -> bool {
        // What of a rate has come in is nobody's concern.
        let level = if matches!(terms.budgets[self.nth].kind, Kind::Rate { .. }) { 0 } else { self.level };
        self.used + self.refused + level + self.demand + self.granted(now) > 0
    }

    /// Whether something was refused since the last ask.
    pub fn hungry(&self) -> bool {
        self.refused > 0
    }

    /// It asks now, `since` microseconds after it asked before.
    pub fn ask(&mut self, terms: &Terms, now: Time, since: Time) -> Ask {
        self.come_in(terms, now);
        let own = self.own(terms, now);
        // A quarter over what was asked of it, so that it can grow.
        let grows = |all: u128| ((all + all / 4) as Amount).min(terms.budgets[self.nth].whole);
        let (demand, busy) = match terms.budgets[self.nth].kind {
            Kind::Rate { .. } => {
                (grows(u128::from(self.used + self.refused) * 1_000_000 / since.max(1) as u128), 0)
            }
            Kind::Occupancy { .. } => {
                // Where nothing was refused it is enough as it is: each unit more is one that another one lacks.
                let lacked = self.refused > 0;
                let wanted = if lacked { grows(u128::from(self.peak + self.refused)) } else { self.peak };
                (wanted, self.level.saturating_sub(own))
            }
            Kind::Parts => (self.level, 0),
        };
        if since >= terms.grant / AT_ONCE {
            self.last.rotate_left(1);
            self.last[LASTS - 1] = demand;
        }
        let mean = self.last.iter().sum::<Amount>() / LASTS as Amount;
        // Who lacked something wants what it lacked. Who did not wants of a rate what it uses on the mean: in so short a time little
        // is seen, and between two asks at once nothing.
        let rate = matches!(terms.budgets[self.nth].kind, Kind::Rate { .. });
        let demand = match self.refused {
            0 if rate => mean,
            _ if rate => demand.max(mean),
            _ => demand,
        };
        let demand = if since < terms.grant / AT_ONCE { demand.max(self.demand) } else { demand };
        // An occupancy is had in whole units.
        let demand = demand.div_ceil(terms.grain(self.nth)) * terms.grain(self.nth);
        self.demand = demand;
        (self.refused, self.used) = (0, 0);
        self.peak = self.level;
        self.asked = (self.asked.0 + 1, now);
        self.answered = false;
        let wants = demand.saturating_sub(own);
        // From here on it keeps no more than it wants, or has in use: that is said now, and done now.
        self.granted = self.granted(now).min(wants);
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
