//! Sums that fade with time, and hashing of what is hashed already.

use rainlug::Time;
use std::hash::{BuildHasherDefault, Hasher};

/// Sums of which a part of 1/e is left after `span` microseconds.
#[derive(Clone, Debug)]
pub struct Faded<const N: usize> {
    span: f64,
    begun: Time,
    at: Time,
    sums: [f64; N],
}

impl<const N: usize> Faded<N> {
    pub fn new(now: Time, span: Time) -> Self {
        Faded { span: span.max(1) as f64, begun: now, at: now, sums: [0.0; N] }
    }

    pub fn add(&mut self, now: Time, values: [f64; N]) {
        let kept = self.kept(now);
        self.at = self.at.max(now);
        for (sum, value) in self.sums.iter_mut().zip(values) {
            *sum = *sum * kept + if value.is_finite() { value } else { 0.0 };
        }
    }

    pub fn sums(&self, now: Time) -> [f64; N] {
        let kept = self.kept(now);
        self.sums.map(|s| s * kept)
    }

    /// The first sum over the second, or `other` where that rests on nothing; fading leaves it as it is.
    pub fn mean(&self, other: f64) -> f64 {
        ratio([self.sums[0], self.sums[1]], other)
    }

    /// The `nth` sum as of the last addition: no smaller than it is now.
    pub fn most(&self, nth: usize) -> f64 {
        self.sums[nth]
    }

    /// Seconds that the sums stand for: the span once it has passed, less before.
    pub fn seconds(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.begun).max(0) as f64 / self.span;
        (self.span * (1.0 - (-age).exp()) / 1e6).max(self.span / 1e8)
    }

    fn kept(&self, now: Time) -> f64 {
        (-(now.saturating_sub(self.at).max(0) as f64) / self.span).exp()
    }
}

/// The first sum over the second, or `other` where that rests on nothing.
pub fn ratio(sums: [f64; 2], other: f64) -> f64 {
    if sums[1] > 1e-9 { sums[0] / sums[1] } else { other }
}

/// Spreads the bits of a number (splitmix64).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// For keys that are hashes or counted numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plain(u64);

impl Hasher for Plain {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, self.0);
    }
    fn write_u64(&mut self, n: u64) {
        self.0 = mix(n);
    }
}

pub type Map<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<Plain>>;
