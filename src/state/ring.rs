//! Sums and means over a sliding window of time.

use serde::{Deserialize, Serialize};

use crate::Time;

const BUCKETS: Time = 8;

/// Sums over the last few buckets of time; the oldest bucket is used again for the newest.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Ring {
    width: Time,
    /// Empty until something is seen: most of a large fleet never is.
    buckets: Vec<(Time, f64, f64)>,
}

impl Ring {
    pub fn over(span: Time) -> Self {
        Ring { width: (span / BUCKETS).max(1), buckets: Vec::new() }
    }

    pub fn add(&mut self, now: Time, sum: f64, weight: f64) {
        let turn = now.div_euclid(self.width);
        self.buckets.resize(BUCKETS as usize, (Time::MIN, 0.0, 0.0));
        let bucket = &mut self.buckets[turn.rem_euclid(BUCKETS) as usize];
        if bucket.0 != turn {
            *bucket = (turn, 0.0, 0.0);
        }
        bucket.1 += sum;
        bucket.2 += weight;
    }

    /// Whether this is the same measure as another ring's, in numbers that it can hold.
    pub(super) fn like(&self, other: &Ring) -> bool {
        let sound = |b: &(Time, f64, f64)| [b.1, b.2].iter().all(|n| n.is_finite() && *n >= 0.0);
        let whole = [0, BUCKETS as usize].contains(&self.buckets.len());
        self.width == other.width && whole && self.buckets.iter().all(sound)
    }

    pub fn totals(&self, now: Time) -> (f64, f64) {
        let oldest = now.div_euclid(self.width) - BUCKETS;
        let live = self.buckets.iter().filter(|b| b.0 > oldest);
        live.fold((0.0, 0.0), |t, b| (t.0 + b.1, t.1 + b.2))
    }

    /// The mean, drawn towards `prior` as if that had been seen `weight` times.
    pub fn mean(&self, now: Time, prior: f64, weight: f64) -> f64 {
        let (sum, seen) = self.totals(now);
        if seen + weight > 0.0 { (sum + prior * weight) / (seen + weight) } else { prior }
    }
}

/// Whether these are the same measures as others.
pub(super) fn alike(mine: &[&Ring], others: &[&Ring]) -> bool {
    mine.len() == others.len() && mine.iter().zip(others).all(|(a, b)| a.like(b))
}

/// Which of the rings earns least.
pub(crate) fn worst(rings: &[Ring], now: Time) -> Option<usize> {
    let earned = |i: &usize| rings[*i].mean(now, 1.0, 1.0);
    (0..rings.len()).min_by(|i, j| earned(i).total_cmp(&earned(j)))
}
