//! Bytes of any kind from clients and from workers.

use crate::common::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(8),
        cases,
        ..ProptestConfig::default()
    }
}

/// Whatever a client sends, the answers to it are answers, and who comes after it is served.
#[test]
fn any_head_of_a_client_is_answered_or_its_connection_closed() {
    let parts = prop::collection::vec(
        prop::sample::select(vec![
            "POST /i/1 HTTP/1.1\r\n",
            "GET /v1/lots/a HTTP/1.1\r\n",
            "Host: a.example\r\n",
            "Host: b\r\n",
            "X-Rainlug-Attempt-Id: a\r\n",
            "Content-Length: 3\r\n",
            "Content-Length: -1\r\n",
            "Transfer-Encoding: chunked\r\n",
            "\r\n",
            "abc",
            "3\r\nabc\r\n0\r\n\r\n",
            "X-Rainlug-Prompt-Prefix: zz:1,ffffffffffffffffffff:99999999999\r\n",
            "X-Rainlug-Token-Count: ,\r\n",
            "X-Rainlug-Deadline-Ms: 99999999999999999999\r\n",
            "X-Rainlug-Deadline-Ms: 50\r\n",
            "Last-Event-Id: \u{e9}\r\n",
            "Expect: 100-continue\r\n",
            " folded\r\n",
            "HTTP/1.0\r\n",
            "\u{0}",
            "\n\n",
            "Connection: Host, close\r\n",
        ]),
        1..14,
    );
    run(async {
        let worker = stand(|_, _| vec![ok("x")]).await;
        let bench = Bench::with(&[&worker]).await;
        let mut runner = TestRunner::new(config(1));
        for _ in 0..150 {
            let text = parts.new_tree(&mut runner).unwrap().current().concat();
            let mut client = bench.client().await;
            client.send(&text).await;
            tokio::io::AsyncWriteExt::shutdown(&mut client.stream).await.unwrap();
            while let Some(got) = client.got().await {
                assert!((100..600).contains(&got.status()), "{text:?}: {got:?}");
            }
        }
        assert_eq!(bench.client().await.ask(&post("/m/1", "a", "", "")).await.status(), 200);
        for seen in worker.seen.borrow().iter() {
            assert!(seen.field("X-Rainlug-Target-Instance").as_deref() == Some("i-0"), "{seen:?}");
        }
    });
}

/// Whatever a worker sends, a client is given a whole answer of it or none that looks whole.
#[test]
fn any_answer_of_a_worker_is_passed_on_whole_or_not_as_whole() {
    let parts = prop::collection::vec(
        prop::sample::select(vec![
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nX-Rainlug-Server-Seal: s\r\nX-Rainlug-Attempt-Id: ID\r\n",
            "HTTP/1.1 100 Go\r\n\r\n",
            "HTTP/1.1 999 Eh\r\n",
            "HTTP/1.1 503 No\r\nX-Rainlug-Not-Run: 1\r\n",
            "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Content-Type: text/event-stream\r\n",
            "\r\n",
            "abc",
            "3\r\nabc\r\n",
            "a\r\nid: 1\ndata",
            "0\r\n\r\n",
            "\u{0}",
            "X-Rainlug-Attempt-Id: z\r\n",
            "9\r\nid: 5\n\n\n\n\r\n",
            "X-Rainlug-Server-Load: 1,2\r\n",
            "Keep-Alive: timeout=99999999999999999999\r\n",
        ]),
        1..10,
    );
    run(async {
        let mut runner = TestRunner::new(config(1));
        for n in 0..150 {
            let text = parts.new_tree(&mut runner).unwrap().current().concat();
            let told = text.clone();
            let worker = stand(move |_, _| vec![Act::Write(told.clone()), Act::Sleep(1), Act::Close]).await;
            let bench = Bench::with(&[&worker]).await;
            let path = ["/m/1", "/i/1", "/s/1", "/n/1"][n % 4];
            let mut client = bench.client().await;
            client.send(&post(path, "a", "X-Rainlug-Deadline-Ms: 500\r\n", "")).await;
            let Some(got) = client.got().await else { panic!("no answer to {text:?}") };
            if got.whole && (200..300).contains(&got.status()) {
                assert!(got.field("X-Rainlug-Server-Seal").is_some(), "{text:?}");
                assert_eq!(got.field("X-Rainlug-Attempt-Id").as_deref(), Some("a"), "{text:?}");
            }
            let promise = matches!(got.status(), 503 | 429 | 421 | 408);
            assert!(!promise || path != "/m/1" || text.contains("Not-Run"), "{text:?}: {got:?}");
        }
    });
}
