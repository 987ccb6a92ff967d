//! Random numbers that a seed determines.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Chance, by a seed and a counter.
pub(crate) struct Chance {
    pub seed: u64,
    pub drawn: u64,
}

impl Chance {
    /// A number from 0 to below 1.
    pub fn draw(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
