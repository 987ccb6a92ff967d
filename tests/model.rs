//! Algorithm 1 against its properties and one case worked out apart.

use proptest::prelude::*;
use rainlug::logic::{Station, shares};

fn station(theta: f64, spread: f64, rho: f64) -> Station {
    Station { theta, omega: theta * theta * (1.0 + spread), rho }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default() })]

    #[test]
    fn shares_sum_to_one_and_favour_the_fast_and_the_idle(
        workers in prop::collection::vec((0.01..2.0f64, 0.0..0.95f64), 1..20), spread in 0.0..4.0f64, load in 0.01..0.94f64,
    ) {
        let stations: Vec<Station> = workers.iter().map(|&(theta, rho)| station(theta, spread, rho)).collect();
        let most: f64 = stations.iter().map(|s| (1.0 - s.rho) / s.theta).sum();
        let found = shares(&stations, load * most).expect("less is asked than they can carry");
        prop_assert!((found.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        prop_assert!(found.iter().all(|p| *p >= 0.0));
        for (a, p) in stations.iter().zip(&found) {
            for (b, q) in stations.iter().zip(&found) {
                prop_assert!(!(a.theta >= b.theta && a.rho >= b.rho) || *p <= q + 1e-6, "{a:?} {p} {b:?} {q}");
            }
        }
    }
}

#[test]
fn a_worked_case() {
    // Exponential service, nobody else's load: the rates at which marginal times 1/(µ-λ)^2·µ meet, solved by hand
    // for µ = 4 and 1 at 2 tasks a second. √(4/1)·(1 - λ2) = 4 - λ1 with λ1 + λ2 = 2 gives λ2 = 0, so all go to one.
    let one = shares(&[station(0.25, 1.0, 0.0), station(1.0, 1.0, 0.0)], 2.0).unwrap();
    assert!(one[0] > 0.999, "{one:?}");
    // At 3 a second: 2·(1 - λ2) = 1 + λ2, so λ2 = 1/3.
    let two = shares(&[station(0.25, 1.0, 0.0), station(1.0, 1.0, 0.0)], 3.0).unwrap();
    assert!((two[1] - 1.0 / 9.0).abs() < 1e-3, "{two:?}");
}

#[test]
fn no_solution_is_no_panic() {
    assert_eq!(shares(&[], 1.0), None);
    assert_eq!(shares(&[station(0.1, 0.0, 0.0)], 0.0), None);
    assert_eq!(shares(&[station(0.0, 0.0, 0.0)], 1.0), None);
    assert_eq!(shares(&[station(0.5, 1.0, 0.5)], 1.5), None);
    // Reports of next to no rate: z is too large to be halved to 0.001.
    assert!(shares(&[station(1e9, 1.0, 0.95), station(4e9, 1.0, 0.9)], 1e-11).is_some());
    assert_eq!(shares(&[station(0.5, 0.0, 0.95)], 0.05), Some(vec![1.0]));
}
