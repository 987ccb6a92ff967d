//! Answers that come too early, too often or without a clear end, and calls that may not be repeated.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::common::*;
use bytes::Bytes;
use rainlug_gateway::{Item, RanEnd};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A body that no buffers of a connection hold.
const LARGE: usize = 24 << 20;
const LARGE_LIMITS: &str =
    r#"{"max_header_bytes":4096,"max_body_bytes":60000000,"header_timeout_ms":300,"idle_timeout_ms":5000}"#;

/// What a worker got on each of its connections.
type Taken = Rc<RefCell<Vec<Vec<u8>>>>;

/// A worker that handles each connection by hand, and takes few bytes before it reads.
async fn raw_worker<F: Future<Output = ()> + 'static>(
    handle: impl Fn(TcpStream, Taken, usize) -> F + 'static,
) -> (SocketAddr, Taken) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let (at, taken) = (listener.local_addr().unwrap(), Taken::default());
    let given = taken.clone();
    spawn_local(async move {
        for nth in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            taken.borrow_mut().push(Vec::new());
            spawn_local(handle(stream, taken.clone(), nth));
        }
    });
    (at, given)
}

async fn bench_for_large_bodies(workers: &[SocketAddr]) -> Bench {
    let bench = Bench::bare().await;
    bench.gateway.configure(configuration(1, ROUTES, LARGE_LIMITS));
    for (nth, at) in workers.iter().enumerate() {
        bench.gateway.worker(&worker(&format!("i-{nth}"), *at));
    }
    bench
}

/// Reads once; false at the connection's end.
async fn read_some(stream: &mut TcpStream, taken: &Taken, nth: usize) -> bool {
    let mut buffer = vec![0; 64 << 10];
    let Ok(read @ 1..) = stream.read(&mut buffer).await else { return false };
    taken.borrow_mut()[nth].extend_from_slice(&buffer[..read]);
    true
}

#[test]
fn an_answer_that_comes_before_the_body_is_read_is_passed_on_and_nothing_else_is_written() {
    run(async {
        let (at, taken) = raw_worker(|mut stream, taken, nth| async move {
            read_some(&mut stream, &taken, nth).await;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: a{nth}\r\n{SEAL}Content-Length: 5\r\n\r\nearly"
            );
            stream.write_all(answer.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(700)).await;
            while read_some(&mut stream, &taken, nth).await {}
        })
        .await;
        let bench = bench_for_large_bodies(&[at]).await;
        let mut client = bench.client().await;
        let body = "x".repeat(LARGE);
        for nth in 0..2 {
            client.send(&post("/m/1", &format!("a{nth}"), "", &body)).await;
            let sent = Instant::now();
            let got = client.got().await.unwrap();
            assert_eq!((got.status(), got.text()), (200, "early"));
            assert!(sent.elapsed() < Duration::from_millis(500), "{:?}", sent.elapsed());
        }
        sleep(Duration::from_millis(1000)).await;
        let taken = taken.borrow();
        assert_eq!(taken.len(), 2, "a connection that owes a part of a body carries nothing else");
        for bytes in taken.iter() {
            let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
            assert!(bytes[end..].iter().all(|b| *b == b'x') && bytes.len() - end <= LARGE);
        }
    });
}

#[test]
fn a_body_is_written_on_while_its_answer_comes() {
    run(async {
        let (at, taken) = raw_worker(|mut stream, taken, nth| async move {
            read_some(&mut stream, &taken, nth).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: a\r\n{SEAL}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let first = event_text(1);
            let chunk = format!("{head}{:x}\r\n{first}\r\n", first.len());
            stream.write_all(chunk.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(300)).await;
            while taken.borrow()[nth].len() < LARGE && read_some(&mut stream, &taken, nth).await {}
            stream.write_all(b"0\r\n\r\n").await.unwrap();
            sleep(Duration::from_secs(2)).await;
        })
        .await;
        let bench = bench_for_large_bodies(&[at]).await;
        let mut client = bench.client().await;
        client.send(&post("/n/1", "a", "", &"x".repeat(LARGE))).await;
        let sent = Instant::now();
        client.head().await.unwrap();
        assert_eq!(client.chunk().await.unwrap(), event_text(1));
        assert!(sent.elapsed() < Duration::from_millis(250), "{:?}", sent.elapsed());
        assert_eq!(client.chunk().await.unwrap(), "");
        assert!(taken.borrow()[0].len() >= LARGE);
    });
}

#[test]
fn a_worker_that_takes_no_more_of_a_body_is_given_up_for_another_where_it_may_be() {
    run(async {
        let (stuck, taken) = raw_worker(|stream, _, _| async move {
            let _open = stream;
            std::future::pending().await
        })
        .await;
        let good = stand(|_, _| vec![ok("here")]).await;
        let bench = bench_for_large_bodies(&[stuck, good.at]).await;
        let body = "x".repeat(LARGE);
        for n in 0..6 {
            let got = bench.client().await.ask(&post("/i/1", &format!("i{n}"), "", &body)).await;
            assert_eq!((got.status(), got.text()), (200, "here"));
            if !taken.borrow().is_empty() {
                return;
            }
        }
        panic!("the stuck one was never tried");
    });
}

#[test]
fn a_status_that_promises_too_much_is_not_passed_on_for_what_may_have_run() {
    run(async {
        for status in ["408 Late", "429 Many", "503 Full"] {
            let ran = stand(move |_, _| vec![answer(status, SEAL, "it has run")]).await;
            let bench = Bench::with(&[&ran, &ran]).await;
            for path in ["/m/1", "/n/1"] {
                let before = ran.runs();
                let got = bench.client().await.ask(&post(path, "a", "", "")).await;
                assert_eq!((got.status(), ran.runs()), (502, before + 1), "{status} {path}");
                assert!(got.field("X-Rainlug-Server-Seal").is_none());
            }
        }
    });
}

#[test]
fn an_answer_without_length_is_whole_where_its_connection_ends_and_not_where_it_is_reset() {
    run(async {
        for (path, fields, body) in [
            ("/m/1", "", "small".to_owned()),
            ("/m/1", "", "y".repeat(100_000)),
            ("/n/1", "Content-Type: text/event-stream\r\n", event_text(1) + &event_text(2)),
        ] {
            for (end, whole) in [(Act::Close, true), (Act::Reset, false)] {
                let text = format!("HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: ID\r\n{SEAL}{fields}\r\n{body}");
                let worker =
                    stand(move |_, _| vec![Act::Write(text.clone()), Act::Sleep(20), end.clone()]).await;
                let bench = Bench::with(&[&worker]).await;
                let mut client = bench.client().await;
                let got = client.ask(&post(path, "a", "", "")).await;
                assert_eq!(got.status() == 200 && got.whole, whole, "{got:?}");
                assert!(!whole || got.text() == body);
                if got.whole {
                    assert_eq!(client.ask(&post("/x/1", "b", "", "")).await.status(), 404);
                } else {
                    assert!(client.ended().await);
                }
            }
        }
    });
}

#[test]
fn an_unframed_stream_that_ends_inside_an_event_is_not_whole() {
    run(async {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: ID\r\n{SEAL}Content-Type: text/event-stream\r\n\r\n{}id: 2\nda",
            event_text(1)
        );
        let worker = stand(move |_, _| vec![Act::Write(text.clone()), Act::Sleep(20), Act::Close]).await;
        let bench = Bench::with(&[&worker]).await;
        let got = bench.client().await.ask(&post("/n/1", "a", "", "")).await;
        assert_eq!((got.text(), got.whole), (&event_text(1)[..], false));
    });
}

#[test]
fn an_item_is_not_run_again_on_a_connection_that_carried_it() {
    run(async {
        // Whatever comes first on a connection that has carried the item may be an answer too many to its first run.
        let worker = stand(|_, seen| {
            let (id, first) = (seen.field("X-Rainlug-Attempt-Id").unwrap(), seen.nth == 0);
            if first || id == "e6" {
                return vec![stream_head(), event(1), last()];
            }
            vec![stream_head(), event(9), last()]
        })
        .await;
        let bench = Bench::with(&[&worker]).await;
        let route =
            configuration(1, ROUTES, LIMITS).routes.iter().find(|r| r.name == "jobs").unwrap().clone();
        for (id, nth) in [("e5", 0), ("e5", 0), ("e6", 1)] {
            let item = Item {
                id: id.into(),
                route: route.clone(),
                path: "/b/3/91c4".into(),
                headers: Vec::new(),
                body: Bytes::new(),
                last_event: 0,
                deadline_ms: 5000,
                tried: Vec::new(),
            };
            let ran = bench.gateway.item(item).await;
            assert_eq!((ran.end, &ran.events[..]), (RanEnd::Complete, &[(1, Bytes::from("piece 1"))][..]));
            assert_eq!(worker.seen.borrow().last().unwrap().nth, nth, "{id}");
        }
    });
}

#[test]
fn a_batch_job_is_answered_in_the_time_of_its_route() {
    run(async {
        let bench = Bench::bare().await;
        let brief = ROUTES.replace(r#""kind":"bulk","timeout_ms":3000"#, r#""kind":"bulk","timeout_ms":200"#);
        bench.gateway.configure(configuration(1, &brief, LIMITS));
        let begun = Instant::now();
        let got = bench.client().await.ask(&post("/b/1", "slow", "", "{}")).await;
        assert_eq!(got.status(), 504, "it may be kept yet");
        assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_client_that_leaves_much_unread_is_noticed_too() {
    run(async {
        let worker = stand(|_, _| vec![Act::Hang]).await;
        let bench = Bench::with(&[&worker]).await;
        let mut client = bench.client().await;
        client.send(&post("/m/1", "a", "", "")).await;
        while worker.runs() == 0 {
            sleep(Duration::from_millis(2)).await;
        }
        client.send(&post("/m/1", "b", "", &"x".repeat(60_000))).await;
        sleep(Duration::from_millis(50)).await;
        drop(client);
        sleep(Duration::from_millis(400)).await;
        assert_eq!((*worker.left.borrow(), bench.figure("in_hand")), (1, 0.0));
    });
}

#[test]
fn an_answer_without_length_that_is_reset_while_the_body_is_written_is_not_whole() {
    run(async {
        let (at, taken) = raw_worker(|mut stream, taken, nth| async move {
            read_some(&mut stream, &taken, nth).await;
            let answer = format!("HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: a\r\n{SEAL}\r\nhalf of it");
            stream.write_all(answer.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger().unwrap();
        })
        .await;
        let bench = bench_for_large_bodies(&[at]).await;
        let got = bench.client().await.ask(&post("/m/1", "a", "", &"x".repeat(LARGE))).await;
        assert_eq!((got.status(), taken.borrow().len()), (502, 1));
    });
}
