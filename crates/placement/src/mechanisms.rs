//! What the choice of a worker is made of, each of which can be left out of an experiment.

use bitflags::bitflags;
use quick_error::quick_error;

bitflags! {
    /// The mechanisms that are on. All of them are, unless an experiment leaves some out: what each is worth is measured so
    /// (`docs/further.md`).
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct Mechanisms: u32 {
        /// Shares by the queueing model, in place of equal ones.
        const SHARES = 1;
        /// Billiard turns inside the shares, in place of chance.
        const TURNS = 1 << 1;
        /// Workers that hold twice the mean are skipped.
        const SKIP = 1 << 2;
        /// Long prompts go to workers that have read their prefix.
        const PREFIX = 1 << 3;
        /// The load that workers tell with their answers.
        const TOLD_LOAD = 1 << 4;
        /// What other processes report of workers.
        const REPORTS = 1 << 5;
        /// Workers that fail, or are silent, are avoided.
        const HEALTH = 1 << 6;
        /// The predicted time until a prompt is read.
        const BACKLOG = 1 << 7;
        /// Of equals, workers of the own zone come first.
        const NEAR = 1 << 8;
        /// Calls to stores that nobody answers go by another process.
        const RELAYS = 1 << 9;
    }
}

quick_error! {
    /// A name that no mechanism has.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnknownMechanism {
        Name(name: String) { display("no mechanism is called {}; there are {}", name, Mechanisms::names().join(", ")) }
    }
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms::all()
    }
}

impl Mechanisms {
    /// The names of all, as [`Mechanisms::without`] takes them.
    pub fn names() -> Vec<String> {
        Mechanisms::all().iter_names().map(|(name, _)| name.to_lowercase().replace('_', "-")).collect()
    }

    /// All but those of these names.
    ///
    /// # Errors
    /// The first name that none has.
    pub fn without(names: &[String]) -> Result<Self, UnknownMechanism> {
        names.iter().try_fold(Mechanisms::all(), |left, name| {
            let one = Mechanisms::from_name(&name.to_uppercase().replace('-', "_"));
            one.map(|one| left - one).ok_or_else(|| UnknownMechanism::Name(name.clone()))
        })
    }
}
