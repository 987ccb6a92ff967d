//! What is said of a seed, and of all seeds of a run.

use std::fmt::{self, Display, Formatter};

/// What is said of one seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Passed,
    Failed,
    /// No rule was seen broken, but not all was read that had to be: the seed shows nothing.
    NotJudged,
}

impl Verdict {
    /// The verdict on a seed with so many violations; `is_whole` says whether all was read that had to be.
    pub fn of(violations: usize, is_whole: bool) -> Self {
        match (violations, is_whole) {
            (1.., _) => Verdict::Failed,
            (0, true) => Verdict::Passed,
            (0, false) => Verdict::NotJudged,
        }
    }
}

/// How many seeds had which verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub passed: u64,
    pub failed: u64,
    pub not_judged: u64,
}

impl Tally {
    pub fn add(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Passed => self.passed += 1,
            Verdict::Failed => self.failed += 1,
            Verdict::NotJudged => self.not_judged += 1,
        }
    }

    /// Counts the seeds that were asked for and not begun as not judged.
    pub fn complete_to(&mut self, seeds: u64) {
        let judged = self.passed + self.failed + self.not_judged;
        self.not_judged += seeds.saturating_sub(judged);
    }

    /// Whether each seed was judged, and passed.
    pub fn is_success(&self) -> bool {
        self.failed == 0 && self.not_judged == 0
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} seeds passed, {} failed, {} not judged", self.passed, self.failed, self.not_judged)
    }
}
