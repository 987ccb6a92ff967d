//! The bytes of the gossip and of reports on workers, pinned; and that committed ones are read.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use std::collections::VecDeque;

use bytes::Bytes;
use common::{DIGEST_INTERVAL, Effects, MS, address, worker};
use rainlug::{SECOND, Time};
use rainlug_registry::gossip::{CONFIGURATION, TOPOLOGY};
use rainlug_registry::report::{ReportedLoad, Scope, decode_reports, encode_reports, worker_key};
use rainlug_registry::{Gossip, Phase, Worker, WorkerReport};

/// Of each kind, so many different messages are pinned.
const OF_EACH_KIND: usize = 6;
const MESSAGE_KINDS: [&str; 4] = ["News", "Ack", "Digest", "Difference"];

fn message_line(bytes: &Bytes) -> (String, Bytes) {
    // Behind the byte that all messages begin with.
    (MESSAGE_KINDS[usize::from(bytes[1]) - 1].to_owned(), bytes.clone())
}

/// Two processes and a third one that never answers.
struct Pair {
    now: Time,
    gossips: [Gossip; 2],
    /// All messages, in order.
    sent: Vec<Bytes>,
}

impl Pair {
    fn new() -> Self {
        let gossips = [0, 1].map(|n| {
            let mut gossip = Gossip::new(DIGEST_INTERVAL, 5 + n as u64, 0);
            gossip.set_peers(0, &[address(1 - n), address(2)]);
            gossip
        });
        Pair { now: 0, gossips, sent: vec![] }
    }

    /// One of them acts, and all that follows reaches both at once.
    fn with_member<T>(&mut self, n: usize, with_member: impl FnOnce(&mut Gossip, Time, &mut Effects) -> T) {
        let mut effects = Effects::default();
        with_member(&mut self.gossips[n], self.now, &mut effects);
        let mut in_flight: VecDeque<_> = effects.sent.into_iter().map(|sent| (n, sent)).collect();
        while let Some((from, (to, bytes))) = in_flight.pop_front() {
            self.sent.push(bytes.clone());
            let Some(to) = [0, 1].into_iter().find(|n| address(*n) == to) else { continue };
            let mut effects = Effects::default();
            self.gossips[to].receive(self.now, address(from), &bytes, &mut effects);
            in_flight.extend(effects.sent.into_iter().map(|sent| (to, sent)));
        }
    }

    fn pass(&mut self, time: Time) {
        let end = self.now + time;
        while self.now < end {
            self.now += 50 * MS;
            for n in [0, 1] {
                self.with_member(n, |gossip, now, out| gossip.handle_timeout(now, out));
            }
        }
    }
}

fn warming_worker() -> Worker {
    let address = "[2001:db8::1]:81".parse().expect("an address");
    Worker { address, warm_up_left_ms: 9_000, slots: 16, zone: String::new(), ..worker(4, Phase::Ready, 7) }
}

fn configuration() -> Bytes {
    Bytes::from_static(b"a configuration")
}

/// Two processes publish workers and documents; then one has missed updates, and digests repair that.
fn story() -> Pair {
    let mut pair = Pair::new();
    pair.with_member(0, |gossip, now, out| {
        gossip.publish_document(now, CONFIGURATION, 5, configuration(), out)
    });
    pair.with_member(1, |gossip, now, out| {
        gossip.publish_document(now, TOPOLOGY, 1, Bytes::from_static(b"groups"), out)
    });
    pair.with_member(0, |gossip, now, out| gossip.publish_worker(now, worker(3, Phase::Ready, 1), out));
    pair.with_member(1, |gossip, now, out| gossip.publish_worker(now, warming_worker(), out));
    pair.pass(3 * SECOND);
    for (seq, phase) in [(2, Phase::Unresponsive), (3, Phase::Draining), (4, Phase::Gone)] {
        pair.with_member(0, |gossip, now, out| gossip.publish_worker(now, worker(3, phase, seq), out));
        pair.pass(SECOND);
    }
    lose_state(&mut pair);
    pair.pass(5 * SECOND);
    pair
}

/// The second one starts anew, with a worker that the first one does not know.
fn lose_state(pair: &mut Pair) {
    let mut gossip = Gossip::new(DIGEST_INTERVAL, 99, pair.now);
    gossip.publish_worker(pair.now, worker(8, Phase::Ready, 1), &mut Effects::default());
    gossip.set_peers(pair.now, &[address(0), address(2)]);
    pair.gossips[1] = gossip;
    pair.with_member(1, |gossip, now, out| gossip.catch_up(now, out));
}

fn reports() -> Vec<WorkerReport> {
    let load = |age_ms| Some(ReportedLoad { running: 3, waiting: 250, age_ms });
    let report = |id: &str, load, failed| WorkerReport { worker: worker_key(id), load, failed, ended: 255 };
    vec![report("i-1", load(0), 0), report("i-2", None, 7), report("i-3", load(65_534), 255)]
}

const SCOPES: [Scope; 3] = [Scope::Process, Scope::Zone, Scope::Tier];
/// Room for two reports in a datagram.
const MAX_BYTES: usize = 24;

#[test]
fn given_a_fixed_seed_then_messages_of_each_kind_are_the_committed_ones() {
    let all = story().sent.iter().map(message_line).collect();
    let committed = fixture::pin("messages", &fixture::first_of_each_kind(all, OF_EACH_KIND));
    for kind in MESSAGE_KINDS {
        assert!(!fixture::of_kind(&committed, kind).is_empty(), "no {kind}");
    }
}

#[test]
fn given_committed_messages_when_a_gossip_receives_them_then_it_knows_their_content() {
    let mut gossip = Gossip::new(DIGEST_INTERVAL, 1, 0);
    gossip.set_peers(0, &[address(0), address(1)]);
    for (_, bytes) in fixture::read("messages") {
        gossip.receive(SECOND, address(0), &bytes, &mut Effects::default());
    }
    assert_eq!(gossip.malformed(), 0);
    assert_eq!(gossip.document(CONFIGURATION), Some((5, &configuration())));
    assert_eq!(gossip.document(TOPOLOGY), Some((1, &Bytes::from_static(b"groups"))));
    let known: Vec<&Worker> = gossip.workers().collect();
    assert!(known.contains(&&warming_worker()), "{known:?}");
    assert!(known.iter().all(|worker| worker.id != "i-3"), "it is gone: {known:?}");
}

#[test]
fn given_committed_messages_when_they_lack_their_last_byte_then_they_are_malformed() {
    let mut gossip = Gossip::new(DIGEST_INTERVAL, 1, 0);
    let messages = fixture::read("messages");
    for (_, bytes) in &messages {
        gossip.receive(SECOND, address(0), &bytes[..bytes.len() - 1], &mut Effects::default());
    }
    assert_eq!(gossip.malformed(), messages.len() as u64);
}

#[test]
fn given_reports_of_each_scope_then_their_bytes_are_the_committed_ones_and_are_read_again() {
    let write = |scope| encode_reports(scope, &reports(), MAX_BYTES);
    let line = |bytes: Vec<u8>| ("reports".to_owned(), Bytes::from(bytes));
    let made: fixture::Lines = SCOPES.into_iter().flat_map(write).map(line).collect();
    let committed = fixture::pin("reports", &made);
    let read = committed.iter().map(|(_, bytes)| decode_reports(bytes).expect("reports"));
    let expected = SCOPES
        .into_iter()
        .flat_map(|scope| [(scope, reports()[..2].to_vec()), (scope, reports()[2..].to_vec())]);
    assert_eq!(read.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
}
