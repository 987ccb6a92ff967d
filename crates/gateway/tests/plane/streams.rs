//! Streams: events as they come, and going on at another worker.

use std::time::{Duration, Instant};

use crate::common::*;
use bytes::Bytes;
use rainlug_gateway::{Event, Events, Item, RanEnd};
use tokio::time::sleep;

fn texts(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event_text).collect()
}

#[test]
fn events_are_the_same_however_their_bytes_arrive() {
    let text =
        ": hello\n\nid: 1\ndata: a\ndata: b\n\nversions: 3\r\nid: 2\r\ndata:c\r\n\r\nid: 3\ndata: unfinished";
    for step in [1, 2, 3, 7, 1000] {
        let (mut events, mut found) = (Events::default(), Vec::<Event>::new());
        for piece in text.as_bytes().chunks(step) {
            events.push(Bytes::copy_from_slice(piece));
            while let Some(event) = events.take().unwrap() {
                found.push(event);
            }
        }
        let ids: Vec<_> = found.iter().map(|e| e.id).collect();
        assert_eq!(ids, [None, Some(1), Some(2)], "{step}");
        assert_eq!((&found[1].data()[..], &found[2].data()[..]), (&b"a\nb"[..], &b"c"[..]));
        let joined: Vec<u8> = found.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!([&joined[..], &events.rest()[..]].concat(), text.as_bytes());
    }
}

#[test]
fn each_event_goes_on_at_once_and_only_whole() {
    run(async {
        let worker = stand(|_, _| {
            let (begin, end) = ("id: 2\nda", "ta: piece 2\n\n");
            vec![
                stream_head(),
                event(1),
                Act::Sleep(150),
                piece(begin),
                Act::Sleep(150),
                piece(end),
                event(3),
                last(),
            ]
        })
        .await;
        let bench = Bench::with(&[&worker]).await;
        for path in ["/s/1", "/n/1"] {
            let mut client = bench.client().await;
            client.send(&post(path, "a", "", "")).await;
            let begun = Instant::now();
            let head = client.head().await.unwrap();
            assert_eq!(field(&head, "X-Rainlug-Server-Seal").unwrap(), "s.1");
            assert_eq!(client.chunk().await.unwrap(), event_text(1));
            assert!(begun.elapsed() < Duration::from_millis(120), "{:?}", begun.elapsed());
            let second = client.chunk().await.unwrap();
            assert!(second.starts_with(&event_text(2)) && begun.elapsed() > Duration::from_millis(250));
            let mut rest = second;
            loop {
                match client.chunk().await.unwrap() {
                    text if text.is_empty() => break,
                    text => rest += &text,
                }
            }
            assert_eq!(rest, texts(2..=3));
            // The connection serves on.
            assert_eq!(client.ask(&post("/x/", "b", "", "")).await.status(), 404);
        }
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_worker_in_the_same_answer() {
    run(async {
        for end in [Act::Close, Act::Reset, Act::Write("zz\r\n".into())] {
            let breaks = stand(move |_, _| {
                vec![
                    stream_head(),
                    event(1),
                    event(2),
                    Act::Sleep(10),
                    piece("id: 3\nda"),
                    end.clone(),
                    Act::Sleep(50),
                ]
            })
            .await;
            let goes_on = stand(|_, seen| {
                let from: u64 = seen.field("Last-Event-Id").map_or(0, |id| id.parse().unwrap());
                let mut acts = vec![stream_head()];
                acts.extend((from + 1..=5).map(event));
                acts.push(last());
                acts
            })
            .await;
            let bench = Bench::with(&[&breaks, &goes_on]).await;
            let mut broke = 0;
            for n in 0..6 {
                let got = bench.client().await.ask(&post("/s/1", &format!("a{n}"), "", "the body")).await;
                assert_eq!((got.status(), got.whole), (200, true));
                assert_eq!(got.text(), texts(1..=5));
                broke = breaks.runs();
            }
            assert!(broke > 0, "none broke");
            let seen = goes_on.seen.borrow();
            let resumed = seen.iter().find(|seen| seen.field("Last-Event-Id").is_some()).unwrap();
            assert_eq!(
                (resumed.field("Last-Event-Id").unwrap(), &resumed.body[..]),
                ("2".into(), &b"the body"[..])
            );
            assert!(bench.figure("resumed") >= 1.0);
        }
    });
}

#[test]
fn a_resumed_run_gives_no_event_twice_and_keeps_the_clients_place() {
    run(async {
        // It starts over although it was asked to go on.
        let breaks = stand(|_, _| vec![stream_head(), event(8), Act::Sleep(10), Act::Reset]).await;
        let over = stand(|_, _| {
            let mut acts = vec![stream_head()];
            acts.extend((1..=9).map(event));
            acts.push(last());
            acts
        })
        .await;
        let bench = Bench::with(&[&breaks, &over]).await;
        for n in 0..6 {
            let got =
                bench.client().await.ask(&post("/s/1", &format!("a{n}"), "Last-Event-Id: 7\r\n", "")).await;
            assert_eq!((got.text(), got.whole), (&texts(8..=9)[..], true));
        }
        assert!(breaks.runs() > 0);
        assert!(breaks.seen.borrow().iter().all(|seen| seen.field("Last-Event-Id").as_deref() == Some("7")));
        assert!(over.seen.borrow().iter().any(|seen| seen.field("Last-Event-Id").as_deref() == Some("8")));
    });
}

#[test]
fn a_stream_that_cannot_go_on_is_cut() {
    run(async {
        let breaks = stand(|_, _| vec![stream_head(), event(1), Act::Sleep(10), Act::Reset]).await;
        let bench = Bench::with(&[&breaks]).await;
        for path in ["/s/1", "/n/1"] {
            let before = breaks.runs();
            let got = bench.client().await.ask(&post(path, "a", "", "")).await;
            assert_eq!((got.status(), got.whole, got.text()), (200, false, &event_text(1)[..]), "{path}");
            assert_eq!(breaks.runs(), before + 1);
        }
        // What must not run twice is not tried elsewhere either, nor before its first event.
        let before = stand(|_, _| vec![stream_head(), Act::Sleep(10), Act::Reset]).await;
        let bench = Bench::with(&[&before, &before]).await;
        assert_eq!(bench.client().await.ask(&post("/n/1", "a", "", "")).await.status(), 502);
        assert_eq!(before.runs(), 1);
    });
}

#[test]
fn a_silent_stream_goes_on_elsewhere() {
    run(async {
        let silent = stand(|_, _| vec![stream_head(), event(1), Act::Hang]).await;
        let goes_on = stand(|_, seen| {
            let from: u64 = seen.field("Last-Event-Id").map_or(0, |id| id.parse().unwrap());
            vec![stream_head(), piece(&texts(from + 1..=3)), last()]
        })
        .await;
        let bench = Bench::with(&[&silent, &goes_on]).await;
        for n in 0..6 {
            let got = bench.client().await.ask(&post("/s/1", &format!("a{n}"), "", "")).await;
            assert_eq!((got.text(), got.whole), (&texts(1..=3)[..], true));
            if silent.runs() > 0 {
                sleep(Duration::from_millis(20)).await;
                assert_eq!(*silent.left.borrow(), 1);
                return;
            }
        }
        panic!("the silent one was never tried");
    });
}

/// An item of which these events are had.
fn item_after(last_event: u64) -> Item {
    let configuration = configuration(1, ROUTES, LIMITS);
    Item {
        id: "e5".into(),
        route: configuration.routes.iter().find(|route| route.name == "jobs").unwrap().clone(),
        path: "/b/3/91c4".into(),
        headers: Vec::new(),
        body: Bytes::from_static(b"decoded"),
        last_event,
        deadline_ms: 5000,
        tried: Vec::new(),
    }
}

/// A worker that goes on later than it was asked to: its events would leave a hole in the item's text.
#[test]
fn given_an_item_when_its_worker_leaves_an_event_out_then_only_what_came_before_is_had() {
    run(async {
        let worker = stand(|n, _| match n {
            0 => vec![stream_head(), event(4), last()],
            _ => vec![stream_head(), event(3), event(5), last()],
        })
        .await;
        let bench = Bench::with(&[&worker]).await;
        let ran = bench.gateway.item(item_after(2)).await;
        assert_eq!((ran.end, ran.events), (RanEnd::Again, vec![]));
        let ran = bench.gateway.item(item_after(2)).await;
        // A worker that failed may be spared for a while.
        if ran.end != RanEnd::NoRoom {
            assert_eq!((ran.end, ran.events), (RanEnd::Again, vec![(3, Bytes::from("piece 3"))]));
        }
    });
}

#[test]
fn an_item_is_run_once_and_its_events_are_told() {
    run(async {
        let worker = stand(|n, _| match n {
            0 => vec![stream_head(), event(3), event(4), last()],
            1 => vec![stream_head(), event(1), Act::Sleep(10), Act::Reset],
            2 => vec![answer("500 Oh", "", "x")],
            3 => vec![answer("422 No", "", "")],
            4 => vec![not_run()],
            _ => vec![stream_head(), last()],
        })
        .await;
        let bench = Bench::with(&[&worker]).await;
        let headers = vec![("X-Rainlug-Model".into(), "m".into()), ("X-Bad".into(), "a\r\nb: c".into())];
        let item = Item { headers, ..item_after(2) };
        let ran = bench.gateway.item(item.clone()).await;
        assert_eq!(ran.end, RanEnd::Complete);
        assert_eq!(ran.worker.as_deref(), Some("i-0"));
        assert_eq!(ran.events, [(3, Bytes::from("piece 3")), (4, Bytes::from("piece 4"))]);
        let seen = worker.seen.borrow()[0].clone();
        assert!(seen.head.starts_with("POST /b/3/91c4 HTTP/1.1\r\nHost: a.example\r\n"), "{}", seen.head);
        assert_eq!((seen.field("Last-Event-Id").unwrap(), &seen.body[..]), ("2".into(), &b"decoded"[..]));
        assert_eq!(seen.field("X-Rainlug-Attempt-Id").unwrap(), "e5");
        assert!(seen.field("X-Bad").is_none() && seen.field("b").is_none());
        let item = Item { last_event: 0, ..item };
        let ran = bench.gateway.item(item.clone()).await;
        assert_eq!((ran.end, ran.events.len()), (RanEnd::Again, 1));
        assert!(worker.seen.borrow()[1].field("Last-Event-Id").is_none());
        for end in [RanEnd::Failed, RanEnd::Never, RanEnd::Again] {
            let ran = bench.gateway.item(item.clone()).await;
            // A worker that failed may be spared for a while.
            if ran.end != RanEnd::NoRoom {
                assert_eq!(ran.end, end);
            }
        }
        let tried = Item { tried: vec!["i-0".into()], ..item };
        assert_eq!(bench.gateway.item(tried).await.end, RanEnd::NoRoom);
    });
}

#[test]
fn a_run_that_was_gone_on_with_ends_with_a_whole_event() {
    run(async {
        let breaks = stand(|_, _| vec![stream_head(), event(1), Act::Sleep(10), Act::Reset]).await;
        let half = stand(|_, _| vec![stream_head(), event(2), piece("id: 3\nda"), last()]).await;
        let bench = Bench::with(&[&breaks, &half]).await;
        for n in 0..6 {
            let before = breaks.runs();
            let got = bench.client().await.ask(&post("/s/1", &format!("a{n}"), "", "")).await;
            if breaks.runs() > before {
                assert!(!got.whole, "{got:?}");
                return;
            }
        }
        panic!("the one that breaks was never tried");
    });
}
