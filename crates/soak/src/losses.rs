//! Disks that count as lost: no more of them at once than the tier is told to tolerate.
//!
//! A wiped disk counts until its process has run for `sync` in which it could be refilled: while no more machines are away (wiped,
//! down, paused or cut off) than are tolerated. So no trouble asks more of the tier than its pages promise.

use std::time::Duration;

#[derive(Debug)]
struct Loss {
    machine: String,
    left: Duration,
}

/// The disks that count as lost now.
#[derive(Debug)]
pub struct Losses {
    tolerate: usize,
    sync: Duration,
    counted: Vec<Loss>,
}

impl Losses {
    pub fn new(tolerate: usize, sync: Duration) -> Self {
        Losses { tolerate, sync, counted: Vec::new() }
    }

    /// How many more disks may be wiped while no machine but those that count as lost is away, or all are.
    pub fn allowed(&self) -> usize {
        self.tolerate.saturating_sub(self.counted.len())
    }

    /// Whether no disk counts as lost.
    pub fn is_empty(&self) -> bool {
        self.counted.is_empty()
    }

    /// A disk is wiped.
    pub fn wiped(&mut self, machine: &str) {
        self.counted.retain(|loss| loss.machine != machine);
        self.counted.push(Loss { machine: machine.to_owned(), left: self.sync });
    }

    pub fn counts(&self, machine: &str) -> bool {
        self.counted.iter().any(|loss| loss.machine == machine)
    }

    /// Time has passed with these machines away.
    pub fn passed(&mut self, time: Duration, away: &[String]) {
        let others = away.iter().filter(|machine| !self.counts(machine)).count();
        if self.counted.len() + others > self.tolerate {
            return;
        }
        for loss in self.counted.iter_mut().filter(|loss| !away.contains(&loss.machine)) {
            loss.left = loss.left.saturating_sub(time);
        }
        self.counted.retain(|loss| !loss.left.is_zero());
    }
}
