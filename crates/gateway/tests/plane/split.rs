//! How the services of a split share a route's requests among several dispatchers.

use std::rc::Rc;

use crate::common::*;
use rainlug_gateway::{Gateway, GatewaySettings};

/// Dispatchers, and what each is asked: 300 requests together, the fewest by which shares are judged.
const DISPATCHERS: u64 = 10;
const REQUESTS_EACH: usize = 30;
/// How far a share may lie off its weight's.
const SHARE_TOLERANCE: f64 = 0.02;

fn split_routes(weights: (u32, u32)) -> String {
    let split = format!(
        r#""split":[{{"service":"s","weight":{}}},{{"service":"t","weight":{}}}]"#,
        weights.0, weights.1
    );
    ROUTES.replace(r#""service":"s""#, &split)
}

fn announce(gateway: &Rc<Gateway>, s: &Stand, t: &Stand) {
    gateway.worker(&worker("i-s", s.at));
    gateway.worker(&rainlug_registry::Worker { service: "t".into(), ..worker("i-t", t.at) });
}

#[test]
fn each_service_gets_its_share_of_a_few_hundred_requests_over_all_dispatchers() {
    run(async {
        for (window, weights) in [(90, 10), (50, 50), (70, 30), (25, 75), (40, 60)].into_iter().enumerate() {
            let (s, t) = (stand(|_, _| vec![ok("s")]).await, stand(|_, _| vec![ok("t")]).await);
            for n in 0..DISPATCHERS {
                let seed = 1000 * window as u64 + n;
                let bench = Bench::of(GatewaySettings { seed, ..settings() }).await;
                bench.gateway.configure(configuration(1, &split_routes(weights), LIMITS));
                announce(&bench.gateway, &s, &t);
                let mut client = bench.client().await;
                for request in 0..REQUESTS_EACH {
                    let got = client.ask(&post("/m/1", &format!("{n}-{request}"), "", "")).await;
                    assert_eq!(got.status(), 200);
                }
            }
            let share = s.runs() as f64 / (s.runs() + t.runs()) as f64;
            let due = f64::from(weights.0) / f64::from(weights.0 + weights.1);
            assert!((share - due).abs() <= SHARE_TOLERANCE, "{weights:?}: {share}");
        }
    });
}

#[test]
fn each_route_keeps_its_own_shares_also_after_its_weights_have_changed() {
    run(async {
        let (s, t) = (stand(|_, _| vec![ok("s")]).await, stand(|_, _| vec![ok("t")]).await);
        let bench = Bench::bare().await;
        announce(&bench.gateway, &s, &t);
        let mut client = bench.client().await;
        for (version, weights) in [(1, (50, 50)), (2, (80, 20))] {
            bench.gateway.configure(configuration(version, &split_routes(weights), LIMITS));
            let asked_before = s.runs();
            for n in 0..100 {
                // The other route is asked in between, not always equally often.
                for path in ["/m/1", "/i/1", "/i/2"].iter().take(1 + (n % 3) as usize) {
                    let got = client.ask(&post(path, &format!("{version}-{n}-{path}"), "", "")).await;
                    assert_eq!(got.status(), 200);
                }
            }
            let of_route = |stand: &Stand| {
                let of_version = format!("X-Rainlug-Attempt-Id: {version}-");
                let seen = stand.seen.borrow();
                seen.iter()
                    .filter(|seen| seen.head.starts_with("POST /m/") && seen.head.contains(&of_version))
                    .count() as i64
            };
            let due = i64::from(weights.0);
            assert!((of_route(&s) - due).abs() <= 2, "{weights:?}: {}", of_route(&s));
            assert!(s.runs() > asked_before && of_route(&s) + of_route(&t) == 100);
        }
    });
}
