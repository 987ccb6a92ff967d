//! The way out, and whether this dispatcher is ready.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::common::*;
use rainlug_gateway::GatewaySettings;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

async fn ready(bench: &Bench) -> u16 {
    let mut client = Client { stream: TcpStream::connect(bench.ready).await.unwrap(), buffer: Vec::new() };
    client.ask("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n").await.status()
}

#[test]
fn readiness_is_told_over_one_connection_or_many() {
    run(async {
        let bench = Bench::bare().await;
        let mut client =
            Client { stream: TcpStream::connect(bench.ready).await.unwrap(), buffer: Vec::new() };
        for (target, status) in [("/v1/readiness", 200), ("/v1/else", 404), ("/v1/readiness", 200)] {
            let got = client.ask(&format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
            assert_eq!((got.status(), got.body.len()), (status, 0));
        }
        for _ in 0..20 {
            assert_eq!(ready(&bench).await, 200);
        }
    });
}

/// Clients that ask all the time, on connections that they keep and on new ones, while the dispatcher stops.
#[test]
fn until_it_has_stopped_no_request_is_lost() {
    run(async {
        let worker = stand(|_, _| vec![Act::Sleep(30), ok("done")]).await;
        let bench = Rc::new(Bench::with(&[&worker]).await);
        let stopping = Rc::new(Cell::new(false));
        let (asked, answered, lost) =
            (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        for n in 0..20 {
            let (bench, stopping) = (bench.clone(), stopping.clone());
            let (asked, answered, lost) = (asked.clone(), answered.clone(), lost.clone());
            spawn_local(async move {
                let mut kept: Option<Client> = None;
                for turn in 0.. {
                    sleep(Duration::from_millis(7 + n)).await;
                    let mut client = match kept.take() {
                        Some(client) => client,
                        None => match TcpStream::connect(bench.front).await {
                            Ok(stream) => Client { stream, buffer: Vec::new() },
                            // Nothing was read.
                            Err(_) => return,
                        },
                    };
                    use tokio::io::AsyncWriteExt;
                    let text = post("/m/1", &format!("{n}-{turn}"), "", "body");
                    asked.set(asked.get() + 1);
                    if client.stream.write_all(text.as_bytes()).await.is_err() {
                        asked.set(asked.get() - 1);
                        continue;
                    }
                    let sent = Instant::now();
                    match client.got().await {
                        Some(got) if got.whole && got.status() == 200 => {
                            answered.set(answered.get() + 1);
                            let close = got.field("Connection").as_deref() == Some("close");
                            kept = (!close && n % 2 == 0).then_some(client);
                        }
                        // The end crossed the request, at once: it has not been read.
                        None if stopping.get() && sent.elapsed() < Duration::from_millis(200) => {
                            asked.set(asked.get() - 1)
                        }
                        other => lost.borrow_mut().push(format!("{n}-{turn}: {other:?}")),
                    }
                }
            });
        }
        sleep(Duration::from_millis(300)).await;
        let mut idle = bench.client().await;
        assert_eq!(idle.ask(&post("/m/1", "idle", "", "")).await.status(), 200);
        let mut slow = bench.client().await;
        stopping.set(true);
        let begun = Instant::now();
        let told = {
            let bench = bench.clone();
            spawn_local(async move { bench.gateway.stop().await })
        };
        sleep(Duration::from_millis(20)).await;
        assert_eq!(ready(&bench).await, 503);
        // Who has come and not asked yet is answered, and told that it is the last time.
        let got = slow.ask(&post("/m/1", "slow", "", "")).await;
        assert_eq!((got.status(), got.field("Connection").as_deref()), (200, Some("close")));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(ready(&bench).await, 503);
        assert!(idle.ended().await);
        drop(idle);
        told.await.unwrap();
        assert!(begun.elapsed() < Duration::from_millis(2000), "{:?}", begun.elapsed());
        sleep(Duration::from_millis(50)).await;
        assert_eq!(*lost.borrow(), Vec::<String>::new());
        assert!(
            answered.get() > 50 && answered.get() == asked.get(),
            "{} of {}",
            answered.get(),
            asked.get()
        );
        assert_eq!(bench.figure("in_hand"), 0.0);
        assert!(TcpStream::connect(bench.front).await.is_err());
    });
}

/// A client that asks one dispatcher after the other for a while; the requests that were answered, and those that were lost.
async fn ask_in_turn(benches: &[Rc<Bench>], client: usize, end: Instant) -> (usize, Vec<String>) {
    let (mut answered, mut lost, mut kept) = (0, Vec::new(), None);
    for turn in 0.. {
        if Instant::now() >= end {
            break;
        }
        sleep(Duration::from_millis(5 + client as u64)).await;
        let connection = match kept.take() {
            Some(connection) => Some(connection),
            None => {
                let connected = TcpStream::connect(benches[(client + turn) % benches.len()].front).await;
                connected.ok().map(|stream| Client { stream, buffer: Vec::new() })
            }
        };
        // One that has stopped takes no connections; the next one is asked.
        let Some(mut connection) = connection else { continue };
        use tokio::io::AsyncWriteExt;
        let text = post("/m/1", &format!("{client}-{turn}"), "", "body");
        if connection.stream.write_all(text.as_bytes()).await.is_err() {
            continue;
        }
        let sent = Instant::now();
        match connection.got().await {
            Some(got) if got.whole && got.status() == 200 => {
                answered += 1;
                let is_last = got.field("Connection").as_deref() == Some("close");
                kept = (!is_last && client.is_multiple_of(2)).then_some(connection);
            }
            // The end crossed the request, at once: it has not been read.
            None if sent.elapsed() < Duration::from_millis(200) => {}
            other => lost.push(format!("{client}-{turn}: {other:?}")),
        }
    }
    (answered, lost)
}

#[test]
fn two_dispatchers_that_stop_at_once_under_traffic_lose_no_request_and_are_unready_at_once() {
    run(async {
        let worker = stand(|_, _| vec![Act::Sleep(30), ok("done")]).await;
        let mut benches = Vec::new();
        for _ in 0..3 {
            benches.push(Rc::new(Bench::with(&[&worker]).await));
        }
        let end = Instant::now() + Duration::from_millis(2500);
        let clients: Vec<_> = (0..15)
            .map(|client| {
                let benches = benches.clone();
                spawn_local(async move { ask_in_turn(&benches, client, end).await })
            })
            .collect();
        sleep(Duration::from_millis(300)).await;
        let stops: Vec<_> = benches[..2]
            .iter()
            .map(|bench| {
                let bench = bench.clone();
                spawn_local(async move { bench.gateway.stop().await })
            })
            .collect();
        sleep(Duration::from_millis(20)).await;
        for _ in 0..2 {
            for (bench, status) in benches.iter().zip([503, 503, 200]) {
                assert_eq!(ready(bench).await, status);
            }
        }
        for stop in stops {
            stop.await.unwrap();
        }
        assert!(Instant::now() < end, "both have stopped while clients still ask");
        let mut answered = 0;
        for client in clients {
            let (count, lost) = client.await.unwrap();
            answered += count;
            assert_eq!(lost, Vec::<String>::new());
        }
        assert!(answered > 200, "{answered}");
        for bench in &benches[..2] {
            assert_eq!(bench.figure("in_hand"), 0.0);
            assert!(TcpStream::connect(bench.front).await.is_err());
        }
    });
}

#[test]
fn what_is_in_hand_is_finished() {
    run(async {
        let worker = stand(|_, _| vec![stream_head(), event(1), Act::Sleep(1500), event(2), last()]).await;
        let bench = Bench::with(&[&worker]).await;
        let mut client = bench.client().await;
        client.send(&post("/n/1", "a", "", "")).await;
        client.head().await.unwrap();
        assert_eq!(client.chunk().await.unwrap(), event_text(1));
        let stopped = async {
            bench.gateway.stop().await;
            assert_eq!(bench.figure("in_hand"), 0.0);
        };
        let reads = async {
            assert_eq!(client.chunk().await.unwrap(), event_text(2));
            assert_eq!(client.chunk().await.unwrap(), "");
            // It was not told that the connection ends; it ends after its answer.
            assert!(client.ended().await);
            drop(client);
        };
        tokio::join!(stopped, reads);
    });
}

/// A dispatcher with one worker, and so much time to stop.
async fn bench_with_grace(worker: &Stand, grace_s: f64) -> Bench {
    let bench = Bench::of(GatewaySettings { grace_s, ..settings() }).await;
    bench.gateway.configure(configuration(1, ROUTES, LIMITS));
    bench.gateway.worker(&crate::common::worker("i-0", worker.at));
    bench
}

/// A client whose request a worker has begun on.
async fn client_at_work(bench: &Bench, worker: &Stand) -> Client {
    let mut client = bench.client().await;
    client.send(&post("/s/1", "a", "", "")).await;
    while worker.runs() == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    client
}

/// Only what a worker is still at work on in the last sixth of the time may be given up.
#[test]
fn a_worker_that_answers_before_the_last_sixth_of_the_time_to_stop_is_waited_for() {
    waits_until_the_last_sixth(Duration::from_millis(3600));
}

/// A second before the end, which the process once kept for itself, would be before the last sixth here.
#[test]
fn a_worker_is_waited_for_also_where_the_time_to_stop_is_three_seconds() {
    waits_until_the_last_sixth(Duration::from_secs(3));
}

fn waits_until_the_last_sixth(grace: Duration) {
    run(async {
        let sixth = grace / 6;
        let works = (grace - sixth).as_millis() as u64 - 20;
        let worker = stand(move |_, _| vec![Act::Sleep(works), ok("late")]).await;
        let bench = bench_with_grace(&worker, grace.as_secs_f64()).await;
        let mut client = client_at_work(&bench, &worker).await;
        let begun = Instant::now();
        let stopped = async {
            bench.gateway.stop().await;
            assert_eq!(bench.figure("in_hand"), 0.0, "{:?}", begun.elapsed());
            assert!(begun.elapsed() < grace, "{:?}", begun.elapsed());
        };
        let answered = async {
            let got = client.got().await.expect("an answer");
            assert_eq!((got.status(), got.text(), got.whole), (200, "late", true));
            drop(client);
        };
        tokio::join!(stopped, answered);
    });
}

/// Some of the time to stop is left for the process's own end, also where a worker never answers.
#[test]
fn who_never_answers_is_waited_for_until_shortly_before_the_time_to_stop_is_over() {
    run(async {
        let grace = Duration::from_millis(2400);
        let worker = stand(|_, _| vec![Act::Hang]).await;
        let bench = bench_with_grace(&worker, grace.as_secs_f64()).await;
        let _client = client_at_work(&bench, &worker).await;
        let begun = Instant::now();
        bench.gateway.stop().await;
        let took = begun.elapsed();
        assert!(took > grace * 5 / 6 && took < grace - Duration::from_millis(100), "{took:?}");
    });
}

/// What is asked late on a connection that was kept could be cut at the end: it is turned away, with a promise and an answer.
#[test]
fn what_is_asked_late_in_a_stop_is_turned_away_with_an_answer() {
    run(async {
        let worker = stand(|_, _| vec![stream_head(), event(1), Act::Sleep(1300), event(2), last()]).await;
        let bench = bench_with_grace(&worker, 1.8).await;
        let mut client = bench.client().await;
        client.send(&post("/s/1", "a", "", "")).await;
        client.head().await.unwrap();
        let stopped = bench.gateway.stop();
        let asks = async {
            sleep(Duration::from_millis(1150)).await;
            client.send(&post("/s/1", "b", "", "")).await;
            for _ in 0..2 {
                client.chunk().await.unwrap();
            }
            assert_eq!(client.chunk().await.unwrap(), "");
            let got = client.got().await.expect("an answer");
            assert_eq!((got.status(), got.field("Connection").as_deref()), (503, Some("close")));
            assert!(got.field("Retry-After").is_some());
            assert_eq!(worker.runs(), 1);
            assert!(client.ended().await);
            drop(client);
        };
        tokio::join!(stopped, asks);
    });
}

/// Connections that came since the runtime had last looked at its sockets were in the queue of the listener as it was closed, and
/// were reset.
#[test]
fn given_connections_without_a_pause_when_the_listener_is_closed_then_none_that_was_made_is_reset() {
    run(async {
        let worker = stand(|_, _| vec![ok("done")]).await;
        let grace = Duration::from_millis(900);
        let bench = Rc::new(bench_with_grace(&worker, grace.as_secs_f64()).await);
        let front = bench.front;
        let stopped = {
            let bench = bench.clone();
            spawn_local(async move { bench.gateway.stop().await })
        };
        // Nobody asks for readiness, so the listener is closed after a third of the time to stop.
        sleep(grace / 3 - Duration::from_millis(10)).await;
        let mut answered = Vec::new();
        while let Ok(stream) = std::net::TcpStream::connect(front) {
            stream.set_nonblocking(true).unwrap();
            let mut client = Client { stream: TcpStream::from_std(stream).unwrap(), buffer: Vec::new() };
            answered.push(spawn_local(async move {
                client.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n").await;
                client.got().await.is_some_and(|got| got.whole)
            }));
            tokio::task::yield_now().await;
        }
        assert!(answered.len() > 10, "{}", answered.len());
        for (number, answered) in answered.into_iter().enumerate() {
            assert!(answered.await.unwrap(), "connection {number} has no answer");
        }
        stopped.await.unwrap();
    });
}
