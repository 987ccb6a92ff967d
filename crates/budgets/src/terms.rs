//! What all processes of a fleet have to be told alike.

use xxhash_rust::xxh3::Xxh3;

use crate::{Amount, Time, UNIT};

const MILLION: i128 = 1_000_000;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// So much a second, and at once `burst` more.
    Rate { burst: Amount },
    /// So much at any moment. What is in use ends within `longest` of its beginning, in microseconds, whoever has died.
    Occupancy { longest: Time },
    /// Parts of something that comes and goes, each such thing a budget of its own, of which one unit is the whole.
    Parts,
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
        self.budgets[nth].whole.saturating_sub(self.own(nth) * self.roster.len() as Amount)
    }

    /// The least that is lent of a budget, and of which any loan is a multiple.
    pub fn grain(&self, nth: usize) -> Amount {
        if matches!(self.budgets[nth].kind, Kind::Occupancy { .. }) { UNIT } else { 1 }
    }

    /// Everybody's own.
    pub fn own(&self, nth: usize) -> Amount {
        let share = self.budgets[nth].reserve / self.roster.len().max(1) as Amount;
        // An occupancy is held in whole units.
        share / self.grain(nth) * self.grain(nth)
    }

    /// What may be spent at once of a rate, beside what comes in: everybody's own too.
    pub fn burst(&self, nth: usize) -> Amount {
        match self.budgets[nth].kind {
            Kind::Rate { burst } => burst / self.roster.len().max(1) as Amount,
            Kind::Occupancy { .. } | Kind::Parts => 0,
        }
    }

    /// How long a divider counts a grant of that budget from its answer.
    pub fn counted(&self, nth: usize) -> Time {
        match self.budgets[nth].kind {
            Kind::Rate { .. } | Kind::Parts => self.over(self.grant),
            // What was begun at the grant's last moment.
            Kind::Occupancy { longest } => self.over(self.grant + longest),
        }
    }

    /// Of all that own parts and times rest on: equal where two processes may both use their own parts.
    pub fn frame(&self) -> u64 {
        let mut sum = Xxh3::new();
        let text = |sum: &mut Xxh3, text: &str| {
            sum.update(&(text.len() as u64).to_be_bytes());
            sum.update(text.as_bytes());
        };
        for names in [&self.roster, &self.voters] {
            sum.update(&(names.len() as u64).to_be_bytes());
            names.iter().for_each(|name| text(&mut sum, name));
        }
        let numbers = |sum: &mut Xxh3, all: &[u64]| all.iter().for_each(|n| sum.update(&n.to_be_bytes()));
        numbers(&mut sum, &[self.grant as u64, self.lease as u64, u64::from(self.drift)]);
        for budget in &self.budgets {
            text(&mut sum, &budget.name);
            let (kind, figure) = match budget.kind {
                Kind::Rate { burst } => (1, burst),
                Kind::Occupancy { longest } => (2, longest as u64),
                Kind::Parts => (3, 0),
            };
            numbers(&mut sum, &[kind, figure, budget.reserve]);
        }
        sum.digest()
    }

    /// Of all, the wholes too: equal where the one may lend to the other.
    pub fn digest(&self) -> u64 {
        let mut sum = Xxh3::new();
        sum.update(&self.frame().to_be_bytes());
        self.budgets.iter().for_each(|b| sum.update(&b.whole.to_be_bytes()));
        sum.digest()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        // The whole may change without what is everybody's own; all else may not.
        let with = |change: &dyn Fn(&mut Terms)| {
            let mut other = terms.clone();
            change(&mut other);
            (other.frame() == terms.frame(), other.digest() == terms.digest())
        };
        assert_eq!(with(&|_| ()), (true, true));
        assert_eq!(with(&|t| t.budgets[1].whole += UNIT), (true, false));
        assert_eq!(with(&|t| t.budgets[1].reserve += UNIT), (false, false));
        assert_eq!(with(&|t| t.roster.swap(0, 1)), (false, false));
        assert_eq!(with(&|t| t.drift += 1), (false, false));
        assert_eq!(with(&|t| t.budgets[0].name = "s".into()), (false, false));
    }
}
