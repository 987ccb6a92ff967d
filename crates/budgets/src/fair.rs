//! Max-min fairness: nobody gets more than it asks for, and nobody less than another one but where it asked for less.

use crate::Amount;

/// Divides a pool among those who want so much.
pub fn shares(pool: Amount, wants: &[Amount]) -> Vec<Amount> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|n| wants[*n]);
    let (mut rest, mut shares) = (pool, vec![0; wants.len()]);
    for (done, nth) in order.into_iter().enumerate() {
        shares[nth] = wants[nth].min(rest / (wants.len() - done) as Amount);
        rest -= shares[nth];
    }
    shares
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..Default::default() })]

        /// The plain model: water is poured a drop at a time to whoever has least and wants more.
        #[test]
        fn as_water_poured_by_drops(pool in 0u64..200, wants in proptest::collection::vec(0u64..60, 1..8)) {
            let mut plain = vec![0; wants.len()];
            for _ in 0..pool {
                let thirsty = (0..wants.len()).filter(|n| plain[*n] < wants[*n]).min_by_key(|n| plain[*n]);
                thirsty.into_iter().for_each(|n| plain[n] += 1);
            }
            let found = shares(pool, &wants);
            prop_assert!(found.iter().sum::<u64>() <= pool);
            // Drops are whole: a share may differ by one, and what is left over with it.
            prop_assert!(found.iter().zip(&plain).all(|(a, b)| a.abs_diff(*b) <= wants.len() as u64), "{found:?} {plain:?}");
            prop_assert!(found.iter().zip(&wants).all(|(a, w)| a <= w));
        }
    }
}
