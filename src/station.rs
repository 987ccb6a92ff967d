//! The figures of a worker that the M/G/1 model of [`crate::shares`] goes by.

/// A worker as Algorithm 1 sees it. Times are seconds of the whole worker, not of a core (Eq. 16).
#[derive(Clone, Copy, Debug)]
pub struct Station {
    /// Mean time of a task, θ.
    pub theta: f64,
    /// Second moment of that time, ω; the same for work of others, µ.
    pub omega: f64,
    /// Utilisation by others, ρ.
    pub rho: f64,
}
