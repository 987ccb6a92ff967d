//! Time: what workers are handed of it, when a client is answered, and when work for one that has left ends.

use std::time::{Duration, Instant};

use crate::common::*;
use bytes::Bytes;
use rainlug_gateway::{Item, RanEnd};
use tokio::time::sleep;

/// A client must be answered, and a worker told, in this time.
const HALF_A_SECOND: Duration = Duration::from_millis(500);

fn deadline_of(seen: &Seen) -> u64 {
    seen.field("X-Rainlug-Deadline-Ms").unwrap().parse().unwrap()
}

#[test]
fn each_try_is_handed_what_is_left_of_the_clients_time() {
    run(async {
        let slow = stand(|_, _| vec![Act::Sleep(300), not_run()]).await;
        let bench = Bench::with(&[&slow, &slow]).await;
        for path in ["/i/1", "/m/1", "/s/1", "/n/1"] {
            let before = slow.runs();
            let told = "X-Rainlug-Deadline-Ms: 2000\r\n";
            assert_eq!(bench.client().await.ask(&post(path, "a", told, "")).await.status(), 503, "{path}");
            let seen = slow.seen.borrow();
            let handed: Vec<u64> = seen[before..].iter().map(deadline_of).collect();
            assert_eq!(handed.len(), 2, "{path}");
            assert!((1500..=2000).contains(&handed[0]) && handed[1] <= handed[0] - 300, "{path} {handed:?}");
        }
    });
}

#[test]
fn without_a_deadline_of_the_client_the_routes_time_is_handed_on() {
    run(async {
        let worker = stand(|_, _| vec![ok("x")]).await;
        let bench = Bench::with(&[&worker]).await;
        for (path, most) in [("/i/1", 3000), ("/m/1", 3000), ("/n/1", 4000)] {
            for told in ["", "X-Rainlug-Deadline-Ms: 90000\r\n"] {
                assert_eq!(bench.client().await.ask(&post(path, "a", told, "")).await.status(), 200);
                let handed = deadline_of(worker.seen.borrow().last().unwrap());
                assert!((most - 500..=most).contains(&handed), "{path} {handed}");
            }
        }
    });
}

#[test]
fn an_item_is_handed_its_own_time() {
    run(async {
        let worker = stand(|_, _| vec![stream_head(), event(1), last()]).await;
        let bench = Bench::with(&[&worker]).await;
        let route =
            configuration(1, ROUTES, LIMITS).routes.iter().find(|r| r.name == "jobs").unwrap().clone();
        let item = Item {
            id: "e5".into(),
            route,
            path: "/b/3/91c4".into(),
            headers: vec![("X-Rainlug-Deadline-Ms".into(), "99999".into())],
            body: Bytes::new(),
            last_event: 0,
            deadline_ms: 700,
            tried: Vec::new(),
        };
        assert_eq!(bench.gateway.item(item).await.end, RanEnd::Complete);
        let seen = worker.seen.borrow();
        assert_eq!(seen[0].head.matches("X-Rainlug-Deadline-Ms").count(), 1);
        assert!((400..=700).contains(&deadline_of(&seen[0])));
    });
}

#[test]
fn at_its_routes_timeout_a_request_is_answered_or_cut() {
    run(async {
        let timeout = Duration::from_millis(300);
        let mut brief = ROUTES.to_owned();
        for told in ["3000", "6000", "4000"] {
            brief = brief.replace(&format!(r#""timeout_ms":{told}"#), r#""timeout_ms":300"#);
        }
        for begins in [false, true] {
            let worker = stand(move |_, _| match begins {
                false => vec![Act::Hang],
                true => vec![stream_head(), event(1), Act::Hang],
            })
            .await;
            let bench = Bench::bare().await;
            bench.gateway.configure(configuration(1, &brief, LIMITS));
            bench.gateway.worker(&worker_at(&worker));
            for path in ["/i/1", "/m/1", "/s/1", "/n/1"] {
                let begun = Instant::now();
                let mut client = bench.client().await;
                let got = client.ask(&post(path, "a", "X-Rainlug-Deadline-Ms: 20000\r\n", "")).await;
                let took = begun.elapsed();
                assert!(got.status() == 504 || !got.whole, "{path}: {got:?}");
                assert!(took >= timeout && took < timeout + HALF_A_SECOND, "{path}: {took:?}");
            }
            sleep(Duration::from_millis(50)).await;
            assert_eq!(*worker.left.borrow(), 4, "no worker is left at work");
        }
    });
}

fn worker_at(stand: &Stand) -> rainlug_registry::Worker {
    worker("i-0", stand.at)
}

#[test]
fn a_client_that_leaves_in_a_stream_or_before_it_ends_the_work_for_it() {
    run(async {
        for begins in [false, true] {
            for path in ["/i/1", "/m/1", "/s/1", "/n/1"] {
                let worker = stand(move |_, _| match begins {
                    false => vec![Act::Hang],
                    true => vec![stream_head(), event(1), Act::Hang],
                })
                .await;
                let bench = Bench::with(&[&worker, &worker]).await;
                let mut client = bench.client().await;
                client.send(&post(path, "a", "", "body")).await;
                while worker.runs() == 0 {
                    sleep(Duration::from_millis(2)).await;
                }
                if begins && matches!(path, "/s/1" | "/n/1") {
                    client.head().await.unwrap();
                }
                drop(client);
                let left = Instant::now();
                while *worker.left.borrow() == 0 {
                    assert!(left.elapsed() < HALF_A_SECOND, "{path}");
                    sleep(Duration::from_millis(2)).await;
                }
                sleep(Duration::from_millis(20)).await;
                assert_eq!(
                    (worker.runs(), bench.figure("in_hand")),
                    (1, 0.0),
                    "{path}: it is not sent again"
                );
            }
        }
    });
}
