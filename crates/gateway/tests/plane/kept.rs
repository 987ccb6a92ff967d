//! Kept connections: a request that was passed on from one is answered before its connection ends.

use std::time::Duration;

use crate::common::*;
use rainlug_gateway::GatewaySettings;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Each route that clients' requests take.
const PATHS: [&str; 4] = ["/i/1", "/m/1", "/s/1", "/n/1"];

/// A dispatcher whose worker answers the first request of each route at once, and then does this.
async fn bench_with_second(routes: &str, limits: &str, acts: Vec<Act>) -> (Bench, Stand) {
    let worker = stand(move |_, seen| match seen.field("X-Rainlug-Attempt-Id").as_deref() {
        Some("first") => vec![ok("first")],
        _ => acts.clone(),
    })
    .await;
    let bench = Bench::bare().await;
    bench.gateway.configure(configuration(1, routes, limits));
    bench.gateway.worker(&crate::common::worker("i-0", worker.at));
    (bench, worker)
}

/// A connection that has carried a request already.
async fn kept(bench: &Bench) -> Client {
    let mut client = bench.client().await;
    assert_eq!(client.ask(&post("/m/1", "first", "", "")).await.status(), 200);
    client
}

#[test]
fn whatever_a_worker_does_before_it_answers_the_client_has_an_answer() {
    run(async {
        let mut brief = ROUTES.to_owned();
        for told in ["3000", "6000", "4000"] {
            brief = brief.replace(&format!(r#""timeout_ms":{told}"#), r#""timeout_ms":400"#);
        }
        let courses: [(Vec<Act>, &[u16]); 6] = [
            (vec![not_run()], &[503]),
            (vec![Act::Reset], &[502]),
            (vec![Act::Close], &[502]),
            (vec![Act::Write("no answer\r\n\r\n".into())], &[502, 504]),
            (vec![Act::Hang], &[504]),
            (vec![answer("500 Fault", SEAL, "fault")], &[500]),
        ];
        for (acts, statuses) in courses {
            for path in PATHS {
                let (bench, worker) = bench_with_second(&brief, LIMITS, acts.clone()).await;
                let mut client = kept(&bench).await;
                let got = client.ask(&post(path, "second", "", "body")).await;
                assert!(got.whole && statuses.contains(&got.status()), "{path} {acts:?}: {got:?}");
                assert!(worker.runs() >= 2, "it was passed on: {path} {acts:?}");
            }
        }
    });
}

#[test]
fn the_idle_time_does_not_end_a_connection_whose_request_is_at_a_worker() {
    run(async {
        let limits = LIMITS.replace(r#""idle_timeout_ms":5000"#, r#""idle_timeout_ms":200"#);
        for path in PATHS {
            let (bench, _) = bench_with_second(ROUTES, &limits, vec![Act::Sleep(500), ok("late")]).await;
            let got = kept(&bench).await.ask(&post(path, "second", "", "")).await;
            assert_eq!((got.status(), got.text(), got.whole), (200, "late", true), "{path}");
        }
    });
}

#[test]
fn a_configuration_that_drops_the_route_does_not_end_a_connection_whose_request_is_at_a_worker() {
    run(async {
        for path in PATHS {
            let (bench, worker) = bench_with_second(ROUTES, LIMITS, vec![Act::Sleep(200), ok("late")]).await;
            let mut client = kept(&bench).await;
            client.send(&post(path, "second", "", "")).await;
            while worker.runs() < 2 {
                sleep(Duration::from_millis(2)).await;
            }
            bench.gateway.configure(configuration(2, "", LIMITS));
            let got = client.got().await.expect("an answer");
            assert_eq!((got.status(), got.text(), got.whole), (200, "late", true), "{path}");
        }
    });
}

#[test]
fn new_clients_take_the_seats_of_idle_connections_and_of_none_whose_request_is_at_a_worker() {
    run(async {
        let worker = stand(|_, seen| match seen.field("X-Rainlug-Attempt-Id").as_deref() {
            Some("first" | "new") => vec![ok("at once")],
            _ => vec![Act::Sleep(800), ok("late")],
        })
        .await;
        let bench = Bench::of(GatewaySettings { max_fds: 64, ..settings() }).await;
        bench.gateway.configure(configuration(1, ROUTES, LIMITS));
        bench.gateway.worker(&crate::common::worker("i-0", worker.at));
        let mut at_work = Vec::new();
        for n in 0..4 {
            let mut client = kept(&bench).await;
            client.send(&post("/m/1", &format!("second-{n}"), "", "")).await;
            at_work.push(client);
        }
        let newcomers: Vec<_> = (0..60)
            .map(|_| {
                let front = bench.front;
                spawn_local(async move {
                    let stream = TcpStream::connect(front).await.unwrap();
                    let mut client = Client { stream, buffer: Vec::new() };
                    client.send(&post("/m/1", "new", "", "")).await;
                    let got = client.got().await;
                    // It stays connected for as long as the others are waited for.
                    sleep(Duration::from_millis(700)).await;
                    got.map(|got| got.status())
                })
            })
            .collect();
        for client in &mut at_work {
            let got = client.got().await.expect("an answer");
            assert_eq!((got.status(), got.text(), got.whole), (200, "late", true));
        }
        let mut served = 0;
        for newcomer in newcomers {
            // Those beyond all room are closed unread.
            match newcomer.await.unwrap() {
                Some(200) => served += 1,
                other => assert!(matches!(other, Some(503) | None), "{other:?}"),
            }
        }
        assert!(served > 0);
    });
}
