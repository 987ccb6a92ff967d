//! Turns inside the shares, taken by a billiard (Algorithm 2), and whom it skips.

/// (Xj + Yji)/Pji, the least of which is next: `turns` is Y, X is 1 for the least θ, and `part` is P.
pub fn level(turns: f64, fastest: bool, part: f64) -> f64 {
    (f64::from(u8::from(fastest)) + turns) / part
}

/// Jobs in flight at which a worker is skipped: twice the `mean` of all, and no fewer than `floor`.
pub fn skip_at(mean: f64, floor: f64) -> f64 {
    (2.0 * mean).max(floor)
}
