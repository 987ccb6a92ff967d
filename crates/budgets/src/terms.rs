//! What all processes of a fleet have to be told alike.

use crate::{Amount, Time};

const MILLION: i128 = 1_000_000;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// So much a second, and at once `burst` more.
    Rate { burst: Amount },
    /// So much at any moment. What is in use ends within `longest` of its beginning, in microseconds, whoever has died.
    Occupancy { longest: Time },
}

/// One budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub name: String,
    pub kind: Kind,
    pub whole: Amount,
    /// Of the whole: evenly everybody's own for good.
    pub reserve: Amount,
}

/// Whom it is divided among, and how long what is said holds. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Names of dispatchers that may hold any of it.
    pub roster: Vec<String>,
    /// Those of them that elect the divider; an odd number.
    pub voters: Vec<String>,
    /// A grant's length for its holder.
    pub grant: Time,
    /// The length of a divider's office for itself, without renewal.
    pub lease: Time,
    /// No clock runs faster or slower than true by more parts in a million.
    pub drift: u32,
    pub budgets: Vec<Budget>,
}

impl Terms {
    /// How long whoever granted a time has to wait until it is over for whoever counts it, on any two clocks.
    pub fn over(&self, time: Time) -> Time {
        let (time, drift) = (i128::from(time), i128::from(self.drift));
        // Rounded up, and a microsecond for each clock's own rounding.
        ((time * (MILLION + drift) + MILLION - drift - 1) / (MILLION - drift)) as Time + 2
    }

    /// What is lent of a budget: all but the reserve.
    pub fn pool(&self, nth: usize) -> Amount {
        self.budgets[nth].whole - self.own(nth) * self.roster.len() as Amount
    }

    /// Everybody's own.
    pub fn own(&self, nth: usize) -> Amount {
        let share = self.budgets[nth].reserve / self.roster.len().max(1) as Amount;
        // An occupancy is held in whole units.
        if matches!(self.budgets[nth].kind, Kind::Occupancy { .. }) {
            share / crate::UNIT * crate::UNIT
        } else {
            share
        }
    }

    /// What may be spent at once of a rate, beside what comes in: everybody's own too.
    pub fn burst(&self, nth: usize) -> Amount {
        match self.budgets[nth].kind {
            Kind::Rate { burst } => burst / self.roster.len().max(1) as Amount,
            Kind::Occupancy { .. } => 0,
        }
    }

    /// How long a divider counts a grant of that budget from its answer.
    pub fn counted(&self, nth: usize) -> Time {
        match self.budgets[nth].kind {
            Kind::Rate { .. } => self.over(self.grant),
            // What was begun at the grant's last moment.
            Kind::Occupancy { longest } => self.over(self.grant + longest),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::UNIT;

    #[test]
    fn the_slowest_counts_longer_than_the_fastest_waits() {
        let budgets = vec![
            Budget {
                name: "r".into(),
                kind: Kind::Rate { burst: 10 * UNIT },
                whole: 100 * UNIT,
                reserve: 10 * UNIT,
            },
            Budget {
                name: "o".into(),
                kind: Kind::Occupancy { longest: 7 },
                whole: 40 * UNIT,
                reserve: 10 * UNIT,
            },
        ];
        let roster: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
        let terms = Terms {
            voters: roster.clone(),
            roster,
            grant: 2_000_000,
            lease: 3_000_000,
            drift: 10_000,
            budgets,
        };
        // 2 s on a clock 1% slow last 2.02 s; a clock 1% fast has by then counted 2.0404 s.
        assert!(terms.over(2_000_000) >= 2_040_404, "{}", terms.over(2_000_000));
        assert_eq!(terms.own(1), 3 * UNIT);
        assert_eq!(terms.pool(1), 31 * UNIT);
        assert_eq!(terms.pool(0) + 3 * terms.own(0), 100 * UNIT);
    }
}
