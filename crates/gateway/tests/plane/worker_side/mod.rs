//! Any interleaving that workers may play, and the rules that hold all the same.

mod checker;
mod recording;
mod scripted;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::common::*;
use bytes::Bytes;
use rainlug_gateway::{Item, RanEnd};
use recording::{ItemRun, Kind, Received, Recording, Sent};
use scripted::{Play, plays, scripted};

/// Cases of each test; `RAINLUG_FUZZ_CASES` gives another number, and `RAINLUG_FUZZ_SEED` is added to the seeds.
const CASES: u64 = 25;
/// A body that the buffers of a connection do not always hold.
const LARGE_BODY: usize = 6_000_000;
const LARGE_LIMITS: &str =
    r#"{"max_header_bytes":4096,"max_body_bytes":8000000,"header_timeout_ms":300,"idle_timeout_ms":5000}"#;

/// Runs of an item that does not come to its end, and the time of each.
const ITEM_RUNS: usize = 6;
const ITEM_MS: u64 = 150;

/// What a client sends next on its connection.
#[derive(Clone, Debug)]
struct Call {
    kind: Kind,
    deadline_ms: u64,
    large: bool,
    /// It leaves after so long.
    leaves_ms: Option<u64>,
}

fn calls() -> impl Strategy<Value = Call> {
    let kind = prop_oneof![
        2 => prop::sample::select(Kind::ALL.to_vec()), 1 => Just(Kind::ResumableStream)
    ];
    let deadline = prop_oneof![14 => Just(150u64), 1 => Just(1300)];
    let leaves = prop::option::weighted(0.1, 0..40u64);
    (kind, deadline, prop::bool::weighted(0.15), leaves)
        .prop_map(|(kind, deadline_ms, large, leaves_ms)| Call { kind, deadline_ms, large, leaves_ms })
}

/// The scripts of some workers, the calls of some clients, and how many items there are.
type Case = (Vec<Vec<Play>>, Vec<Vec<Call>>, usize);

fn cases() -> impl Strategy<Value = Case> {
    (
        prop::collection::vec(prop::collection::vec(plays(), 1..6), 1..4),
        prop::collection::vec(prop::collection::vec(calls(), 1..6), 1..4),
        0..3usize,
    )
}

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

#[test]
fn whatever_workers_play_no_answer_is_mixed_up_and_nothing_runs_twice_seed_18() {
    fuzz(18);
}

/// The same with other seeds: the test runner plays them at the same time.
#[test]
fn whatever_workers_play_no_answer_is_mixed_up_and_nothing_runs_twice_seed_19() {
    fuzz(19);
}

#[test]
fn whatever_workers_play_no_answer_is_mixed_up_and_nothing_runs_twice_seed_20() {
    fuzz(20);
}

fn fuzz(seed: u64) {
    let config = ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed + from_environment("RAINLUG_FUZZ_SEED", 0)),
        cases: u32::try_from(from_environment("RAINLUG_FUZZ_CASES", CASES)).unwrap(),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let seen = RefCell::new((0, 0, 0));
    TestRunner::new(config)
        .run(&cases(), |case| {
            let recording = Rc::new(RefCell::new(Recording::default()));
            run(play(case, recording.clone()));
            let recording = recording.borrow();
            let whole = recording.received.iter().filter(|got| got.whole && got.status == 200).count();
            seen.borrow_mut().0 += recording.sent.len();
            let complete = recording.items.iter().filter(|run| run.end == RanEnd::Complete).count();
            seen.borrow_mut().1 += whole + complete;
            seen.borrow_mut().2 += recording.runs.len();
            prop_assert_eq!(recording.check(), Ok(()), "{}", recording.brief());
            Ok(())
        })
        .unwrap();
    let (sent, whole, runs) = *seen.borrow();
    println!("{sent} requests, {whole} whole successes, {runs} runs");
    assert!(whole * 4 > sent && runs > whole, "too little goes well for the rest to mean much");
}

async fn play((scripts, calls, items): Case, recording: Rc<RefCell<Recording>>) {
    let bench = Rc::new(Bench::bare().await);
    bench.gateway.configure(configuration(1, ROUTES, LARGE_LIMITS));
    for (number, script) in scripts.into_iter().enumerate() {
        let id = format!("i-{number}");
        let at = scripted(id.clone(), script, recording.clone()).await;
        bench.gateway.worker(&worker(&id, at));
    }
    let clients = calls
        .into_iter()
        .enumerate()
        .map(|(number, calls)| spawn_local(client(bench.clone(), number, calls, recording.clone())));
    let items = (0..items).map(|number| spawn_local(item(bench.clone(), number, recording.clone())));
    for caller in clients.chain(items).collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    // What was written last is read.
    sleep(Duration::from_millis(10)).await;
}

/// Sends its calls one after the other, on one connection as long as that lasts.
async fn client(bench: Rc<Bench>, number: usize, calls: Vec<Call>, recording: Rc<RefCell<Recording>>) {
    let mut kept: Option<Client> = None;
    for (turn, call) in calls.into_iter().enumerate() {
        let mut client = match kept.take() {
            Some(client) => client,
            None => bench.client().await,
        };
        let id = format!("c{number}t{turn}");
        let body = id.repeat(if call.large { LARGE_BODY / id.len() } else { 1 });
        let sent = Sent { kind: call.kind, deadline_ms: call.deadline_ms, body: body.clone().into_bytes() };
        recording.borrow_mut().sent.insert(id.clone(), sent);
        let deadline = format!("X-Rainlug-Deadline-Ms: {}\r\n", call.deadline_ms);
        let text = post(&format!("{}{id}", call.kind.prefix()), &id, &deadline, &body);
        let exchange = async {
            client.stream.write_all(text.as_bytes()).await.ok()?;
            client.got().await
        };
        let patience = call.leaves_ms.map_or(Duration::from_secs(10), Duration::from_millis);
        let Ok(Some(got)) = timeout(patience, exchange).await else { continue };
        let keeps = got.whole && got.field("Connection").as_deref() != Some("close");
        let (status, whole) = (got.status(), got.whole);
        let received = Received { id, status, head: got.head, body: got.body, whole };
        recording.borrow_mut().received.push(received);
        if keeps && rests(&mut client, &recording).await {
            kept = Some(client);
        }
    }
}

/// Whether a connection that waits for nothing stays; what comes on it is recorded.
async fn rests(client: &mut Client, recording: &Rc<RefCell<Recording>>) -> bool {
    let read = timeout(Duration::from_millis(3), client.stream.read_buf(&mut client.buffer)).await;
    recording.borrow_mut().unasked.extend_from_slice(&client.buffer);
    read.is_err()
}

/// Runs of an item, the next one where the last one ended, and at once: the same worker may get it again on the same connection.
async fn item(bench: Rc<Bench>, number: usize, recording: Rc<RefCell<Recording>>) {
    let id = format!("item{number}");
    let sent = Sent { kind: Kind::Item, deadline_ms: ITEM_MS, body: b"body".to_vec() };
    recording.borrow_mut().sent.insert(id.clone(), sent);
    let configuration = configuration(1, ROUTES, LARGE_LIMITS);
    let route = configuration.routes.iter().find(|route| route.name == "jobs").unwrap().clone();
    let mut last_event = 0;
    for _ in 0..ITEM_RUNS {
        let before = recording.borrow().runs.len();
        let item = Item {
            id: id.clone(),
            route: route.clone(),
            path: format!("/b/{id}"),
            headers: Vec::new(),
            body: Bytes::from_static(b"body"),
            last_event,
            deadline_ms: ITEM_MS,
            tried: Vec::new(),
        };
        let ran = bench.gateway.item(item).await;
        let number = |data: &Bytes| std::str::from_utf8(data).unwrap().parse().unwrap();
        let events: Vec<(u64, usize)> = ran.events.iter().map(|(id, data)| (*id, number(data))).collect();
        let last = events.last().map_or(last_event, |(id, _)| *id);
        let run = ItemRun { id: id.clone(), before, last_event, events, end: ran.end };
        recording.borrow_mut().items.push(run);
        last_event = last;
        if matches!(ran.end, RanEnd::Complete | RanEnd::Never) {
            return;
        }
    }
}
