//! What the reports of some workers say of them together.

use std::collections::BTreeMap;

use super::Worker;
use crate::Time;

/// What the reports of some workers say of them together.
#[derive(Debug, Default)]
pub(crate) struct Census {
    /// Tasks a second of a mean worker; 0 where none has reported.
    pub rate: f64,
    /// Mean utilisation, where it is known of any.
    pub utilisation: Option<f64>,
    /// Mean θ of a worker of size 1.
    pub effort: f64,
    pub(super) few: f64,
    pub(super) kinds: BTreeMap<usize, (f64, f64)>,
}

impl Census {
    /// A worker's θ, drawn to its kind's by `few` tasks: one that reports little would look fast beyond all others.
    pub fn theta_of(&self, now: Time, worker: &Worker) -> f64 {
        let ((busy, tasks), kind) = (worker.theta.totals(now), self.kinds[&worker.kind]);
        (busy + kind.0 / kind.1.max(1e-9) * self.few) / (tasks + self.few).max(1e-9)
    }
}
