//! What all tasks of a run share: the tier, the checker, the clock and the journal.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use rainlug_tier::local::MachineRole;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::checker::Checker;
use crate::losses::Losses;
use crate::options::Options;
use crate::primitive_history::History;
use crate::tier::Tier;

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Load and troubles.
    Load,
    /// Load, and no troubles but the closing one.
    Closing,
    /// No new jobs and no troubles: all must come to its end.
    Settle,
    Over,
}

pub struct Soak {
    pub options: Options,
    pub seed: u64,
    pub tier: RefCell<Tier>,
    pub checker: RefCell<Checker>,
    pub losses: RefCell<Losses>,
    /// What applications were told of locks, numbers and keys.
    pub primitives: RefCell<History>,
    stage: Cell<Stage>,
    is_flawed: Cell<bool>,
    begun: Instant,
    journal: RefCell<File>,
    counts: RefCell<BTreeMap<String, u64>>,
    versions: Cell<u64>,
}

impl Soak {
    pub fn new(options: Options, seed: u64, tier: Tier, checker: Checker, journal: File) -> Self {
        let losses = Losses::new(options.tolerate.into(), Duration::from_secs(options.sync_s));
        Soak {
            options,
            seed,
            tier: RefCell::new(tier),
            checker: RefCell::new(checker),
            losses: RefCell::new(losses),
            primitives: RefCell::default(),
            stage: Cell::new(Stage::Load),
            is_flawed: Cell::new(false),
            begun: Instant::now(),
            journal: RefCell::new(journal),
            counts: RefCell::default(),
            versions: Cell::new(1),
        }
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub fn enter(&self, stage: Stage) {
        self.note(&format!("{stage:?}"));
        self.stage.set(stage);
    }

    /// A generator for one task, which no other task draws from.
    pub fn random(&self, task: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(task))
    }

    /// Writes a line with its time.
    pub fn note(&self, text: &str) {
        let _ = writeln!(self.journal.borrow_mut(), "{:9.3} {text}", self.now().as_secs_f64());
    }

    /// Counts something for the closing lines.
    pub fn count(&self, what: impl Into<String>) {
        *self.counts.borrow_mut().entry(what.into()).or_default() += 1;
    }

    /// Keeps the largest of some figures for the closing lines.
    pub fn most(&self, what: impl Into<String>, figure: u64) {
        let mut counts = self.counts.borrow_mut();
        let most = counts.entry(what.into()).or_default();
        *most = figure.max(*most);
    }

    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.borrow().clone()
    }

    /// A rule is broken that the checker does not look at itself.
    pub fn violated(&self, what: String) {
        self.checker.borrow_mut().violated(self.now(), what);
    }

    /// The soak itself failed, or shows nothing: a seed without violations is not judged then.
    pub fn flawed(&self, what: &str) {
        let line = format!("seed {}, {:.3} s: the soak itself: {what}", self.seed, self.now().as_secs_f64());
        println!("{line}");
        self.note(&line);
        self.is_flawed.set(true);
    }

    pub fn is_flawed(&self) -> bool {
        self.is_flawed.get()
    }

    /// Writes violations that were not written yet, and prints them; `shown` of them were.
    pub fn show_violations(&self, shown: usize) -> usize {
        let checker = self.checker.borrow();
        let all = checker.violations();
        for violation in all.iter().skip(shown) {
            let line = format!("seed {}, {:.3} s: {}", self.seed, violation.at.as_secs_f64(), violation.what);
            println!("{line}");
            let _ = writeln!(self.journal.borrow_mut(), "VIOLATION {line}");
        }
        all.len()
    }

    /// A version that no configuration had yet.
    pub fn next_version(&self) -> u64 {
        self.versions.update(|version| version + 1);
        self.versions.get()
    }

    /// When the run began.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// Some gateway, by its index.
    pub fn any_gateway(&self, random: &mut SmallRng) -> Option<usize> {
        let gateways = self.tier.borrow().of(&[MachineRole::Gateway]);
        (!gateways.is_empty()).then(|| gateways[random.random_range(0..gateways.len())])
    }

    /// Where a gateway serves clients.
    pub fn front_of(&self, gateway: usize) -> SocketAddr {
        let tier = self.tier.borrow();
        tier.plan.front_address(&tier.hosts[gateway].machine)
    }

    /// Where a gateway serves applications and operators.
    pub fn control_of(&self, gateway: usize) -> SocketAddr {
        let tier = self.tier.borrow();
        tier.plan.control_address(&tier.hosts[gateway].machine)
    }

    fn any(&self, random: &mut SmallRng, at: impl Fn(&Tier, usize) -> SocketAddr) -> SocketAddr {
        let tier = self.tier.borrow();
        let gateways = tier.of(&[MachineRole::Gateway]);
        let index = gateways.get(random.random_range(0..gateways.len().max(1))).copied().unwrap_or(0);
        at(&tier, index)
    }

    /// Where some gateway serves clients.
    pub fn any_front(&self, random: &mut SmallRng) -> SocketAddr {
        self.any(random, |tier, index| tier.plan.front_address(&tier.hosts[index].machine))
    }

    /// Where some gateway serves operators.
    pub fn any_control(&self, random: &mut SmallRng) -> SocketAddr {
        self.any(random, |tier, index| tier.plan.control_address(&tier.hosts[index].machine))
    }
}
