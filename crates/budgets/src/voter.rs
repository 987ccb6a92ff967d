//! A voter: it promises its voice to one candidate at a time, for a time. It has no disk: one that has just begun may have
//! promised before, and says nothing until every promise of its own is over.

use crate::{Terms, Time};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// No promise before this.
    from: Time,
    promised: Option<(u64, u32, Time)>,
    highest: u32,
}

impl Voter {
    /// A voter that begins now, the only process of its name.
    pub fn new(terms: &Terms, now: Time) -> Self {
        Voter { from: now + terms.over(terms.lease), promised: None, highest: 0 }
    }

    /// A candidate asks for its voice in an epoch; whether it is promised. Where it is not, the highest epoch it knows of.
    ///
    /// # Errors
    /// That epoch.
    pub fn asked(&mut self, terms: &Terms, now: Time, candidate: u64, epoch: u32) -> Result<(), u32> {
        let other = self.promised.is_some_and(|(to, _, until)| to != candidate && now < until);
        // An epoch belongs to one candidate: it tells that one's answers from those of the one before.
        let taken = self.promised.is_some_and(|(to, in_epoch, _)| epoch == in_epoch && to != candidate);
        if now < self.from || other || taken || epoch < self.highest {
            return Err(self.highest);
        }
        self.highest = epoch;
        self.promised = Some((candidate, epoch, now + terms.over(terms.lease)));
        Ok(())
    }

    /// The candidate has given up, and will not come into office by what was promised to it.
    pub fn released(&mut self, now: Time, candidate: u64) {
        self.promised.iter_mut().filter(|p| p.0 == candidate).for_each(|p| p.2 = p.2.min(now));
    }

    /// Until when it can promise nothing to that candidate.
    pub fn bound(&self, now: Time, candidate: u64) -> Time {
        let other = self.promised.filter(|(to, _, until)| *to != candidate && now < *until);
        other.map_or(Time::MIN, |(.., until)| until).max(self.from)
    }
}
