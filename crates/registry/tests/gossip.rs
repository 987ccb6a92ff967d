//! Members of a gossip: what is published at one reaches all, and copies converge.

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;

use bytes::Bytes;
use common::{DIGEST_INTERVAL, Effects, Fleet, MS, address, phase_of, phases, worker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_registry::gossip::{CONFIGURATION, Coverage, TOPOLOGY};
use rainlug_registry::{Gossip, Phase, Worker};

/// Given a fleet that knows 60 workers, when one of them drains, then all know within the bound, and the publisher knows that.
fn check_drain(size: usize, loss: f64, bound: Time) {
    let mut fleet = Fleet::new(size, 7);
    for n in 0..60 {
        fleet.publish_worker(n % size, worker(n, Phase::Ready, 1));
    }
    fleet.run(5 * SECOND);
    assert!(fleet.gossips.iter().all(|b| b.workers().count() == 60));
    fleet.loss = loss;
    for member in &mut fleet.members {
        (member.sent, member.received, member.messages) = (0, 0, 0);
    }
    assert!(fleet.publish_worker(0, worker(3, Phase::Draining, 2)));
    let took = fleet.until(20 * SECOND, |b| phase_of(b, 3) == Some(Phase::Draining)).unwrap();
    fleet.run(4 * SECOND);
    let coverage = fleet.gossips[0].worker_coverage("i-3");
    let sent: usize = fleet.members.iter().map(|m| m.sent).sum();
    let messages: usize = fleet.members.iter().map(|m| m.messages).sum();
    println!(
        "{size} members, loss {loss}: last after {} ms; known {coverage:?}; with digests, in {} ms: {} bytes and {:.1} messages a \
         member; publisher sent {} bytes, got {}",
        took / MS,
        (took + 4 * SECOND) / MS,
        sent / size,
        messages as f64 / size as f64,
        fleet.members[0].sent,
        fleet.members[0].received,
    );
    assert!(took <= bound, "{took}");
    assert_eq!(coverage, Coverage { acknowledged: size - 1, peers: size - 1 });
    assert!(sent / size < 8_000, "{sent}");
}

#[test]
fn given_14_members_when_a_worker_drains_then_all_know() {
    check_drain(14, 0.0, 300 * MS);
}

#[test]
fn given_60_members_when_a_worker_drains_then_all_know() {
    check_drain(60, 0.0, 300 * MS);
}

#[test]
fn given_360_members_when_a_worker_drains_then_all_know() {
    check_drain(360, 0.0, 300 * MS);
}

#[test]
fn given_lossy_links_when_a_worker_drains_then_all_know() {
    check_drain(9, 0.2, 1_200 * MS);
    check_drain(60, 0.2, 1_200 * MS);
}

#[test]
fn given_a_large_document_when_it_is_published_then_all_get_it_also_where_it_is_lost() {
    let text = Bytes::from(vec![b'x'; 1 << 20]);
    for loss in [0.0, 0.3] {
        let mut fleet = Fleet::new(30, 5);
        fleet.loss = loss;
        assert!(fleet.publish_configuration(4, 9, &text));
        assert!(!fleet.publish_configuration(4, 9, &text) && !fleet.publish_configuration(4, 8, &text));
        let took = fleet.until(10 * SECOND, |b| b.document(CONFIGURATION) == Some((9, &text))).unwrap();
        fleet.loss = 0.0;
        fleet.run(6 * SECOND);
        let received: usize = fleet.members.iter().map(|m| m.received).sum();
        println!("1 MiB to 30, loss {loss}: {} ms, {} bytes a member", took / MS, received / 30);
        assert!(took < 2 * SECOND);
        assert!(received / 30 < 5 << 20);
        assert_eq!(
            fleet.gossips[4].document_coverage(CONFIGURATION, 9),
            Coverage { acknowledged: 29, peers: 29 }
        );
        assert_eq!(
            fleet.gossips[4].document_coverage(CONFIGURATION, 10),
            Coverage { acknowledged: 0, peers: 29 }
        );
        assert_eq!(fleet.gossips[0].document(TOPOLOGY), None);
    }
}

#[test]
fn given_updates_that_are_all_lost_when_links_work_again_then_digests_repair_it() {
    // Given fleets of two sizes, and updates of which every message is lost.
    for size in [6, 30] {
        let mut fleet = Fleet::new(size, 3);
        fleet.run(3 * SECOND);
        fleet.loss = 1.0;
        fleet.publish_worker(0, worker(1, Phase::Ready, 1));
        fleet.publish_configuration(1, 2, &Bytes::from_static(b"two"));
        fleet.run(10 * SECOND);
        assert_eq!(phase_of(&fleet.gossips[2], 1), None);
        // When links work again, then digests bring it.
        fleet.loss = 0.0;
        let has = |b: &Gossip| phase_of(b, 1).is_some() && b.document(CONFIGURATION).is_some();
        let took = fleet.until(10 * DIGEST_INTERVAL, has).unwrap();
        println!("{size} members: repaired by digests in {} ms", took / MS);
        assert!(took < 4 * DIGEST_INTERVAL, "{took}");
    }
}

#[test]
fn given_a_member_that_was_isolated_or_suspended_then_it_catches_up() {
    for is_suspended in [false, true] {
        let mut fleet = Fleet::new(14, 2);
        for n in 0..100 {
            fleet.publish_worker(n % 14, worker(n, Phase::Ready, 1));
        }
        fleet.run(5 * SECOND);
        fleet.members[5].is_isolated = !is_suspended;
        fleet.members[5].is_suspended = is_suspended;
        for n in 0..20 {
            fleet.publish_worker(0, worker(n, Phase::Draining, 2));
        }
        fleet.publish_configuration(0, 3, &Bytes::from_static(b"three"));
        fleet.run(10 * SECOND);
        assert_eq!(phase_of(&fleet.gossips[5], 3), Some(Phase::Ready));
        (fleet.members[5].is_isolated, fleet.members[5].is_suspended) = (false, false);
        if !is_suspended {
            // The isolated member got an update of its own.
            fleet.members[5].is_isolated = true;
            fleet.publish_worker(5, worker(300, Phase::Ready, 1));
            fleet.run(SECOND);
            fleet.members[5].is_isolated = false;
        }
        fleet.with_member(5, |b, now, out| b.catch_up(now, out));
        let up = |b: &Gossip| phase_of(b, 19) == Some(Phase::Draining) && b.document(CONFIGURATION).is_some();
        let took = fleet.until(SECOND, up).unwrap();
        println!(
            "caught up after a {} in {} ms",
            if is_suspended { "suspension" } else { "partition" },
            took / MS
        );
        assert!(took < 200 * MS, "{took}");
        if !is_suspended {
            let took = fleet.until(10 * SECOND, |b| phase_of(b, 300).is_some()).unwrap();
            assert!(took < SECOND, "{took}");
        }
    }
}

#[test]
fn given_heartbeats_that_change_nothing_then_they_are_not_published() {
    let mut fleet = Fleet::new(5, 4);
    assert!(fleet.publish_worker(0, worker(1, Phase::Ready, 1)));
    fleet.run(5 * SECOND);
    let before = fleet.members[0].messages;
    for seq in 2..100 {
        assert!(!fleet.publish_worker(0, worker(1, Phase::Ready, seq)));
    }
    assert_eq!(fleet.members[0].messages, before);
    // An old heartbeat is no update either, and digests do not cover heartbeats: no differences are sent.
    assert!(!fleet.publish_worker(0, worker(1, Phase::Draining, 50)));
    fleet.members.iter_mut().for_each(|m| m.messages = 0);
    fleet.run(20 * SECOND);
    let messages: usize = fleet.members.iter().map(|m| m.messages).sum();
    assert!(messages <= 5 * 13, "{messages}");
    // A change of the address is an update, and so are draining and the end.
    let moved = Worker { address: "10.8.8.8:1".parse().unwrap(), ..worker(1, Phase::Ready, 100) };
    assert!(fleet.publish_worker(1, moved.clone()));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| b.workers().all(|w| w.address == moved.address)));
    assert!(
        fleet.publish_worker(1, worker(1, Phase::Draining, 101))
            && fleet.publish_worker(2, worker(1, Phase::Gone, 101))
    );
}

#[test]
fn given_an_unresponsive_worker_then_its_next_heartbeat_restores_it_and_else_it_is_delisted() {
    let mut fleet = Fleet::new(5, 6);
    fleet.publish_worker(0, worker(1, Phase::Ready, 1));
    fleet.publish_worker(0, worker(2, Phase::Ready, 1));
    assert!(!fleet.publish_worker(0, worker(1, Phase::Ready, 10)));
    fleet.run(SECOND);
    // Its heartbeats go on at another member. The first does not know that and declares it unresponsive: the other corrects that.
    assert!(!fleet.publish_worker(3, worker(1, Phase::Ready, 12)));
    assert!(fleet.publish_worker(0, worker(1, Phase::Unresponsive, 10)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 1) == Some(Phase::Ready)));
    // Unresponsive since its newest heartbeat, it is so for all until the next.
    assert!(fleet.publish_worker(0, worker(2, Phase::Unresponsive, 1)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2) == Some(Phase::Unresponsive)));
    assert!(fleet.publish_worker(4, worker(2, Phase::Ready, 2)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2) == Some(Phase::Ready)));
    // After a minute it is delisted everywhere, and does not come back by digests.
    fleet.publish_worker(1, worker(2, Phase::Unresponsive, 2));
    fleet.run(62 * SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2).is_none()));
    assert!(fleet.members.iter().all(|m| m.phases["i-2"] == Phase::Gone));
    fleet.run(120 * SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2).is_none() && phase_of(b, 1).is_some()));
    // A worker on the other side of a long partition comes back by its next heartbeat.
    assert!(fleet.publish_worker(1, worker(2, Phase::Ready, 90)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2) == Some(Phase::Ready)));
}

#[test]
fn given_a_tombstone_then_old_heartbeats_are_ignored_for_a_minute() {
    let mut fleet = Fleet::new(14, 8);
    fleet.publish_worker(0, worker(1, Phase::Ready, 5));
    fleet.run(SECOND);
    fleet.members[9].is_isolated = true;
    fleet.publish_worker(0, worker(1, Phase::Gone, 6));
    fleet.run(SECOND);
    assert!(fleet.members.iter().enumerate().all(|(n, m)| n == 9 || m.phases["i-1"] == Phase::Gone));
    for seq in [5, 6, 7, 90] {
        assert!(!fleet.publish_worker(3, worker(1, Phase::Ready, seq)));
        assert!(!fleet.publish_worker(3, worker(1, Phase::Draining, seq)));
    }
    // A member that still has it as ready does not bring it back, but learns of its end.
    fleet.run(20 * SECOND);
    assert_eq!(phase_of(&fleet.gossips[9], 1), Some(Phase::Ready));
    fleet.members[9].is_isolated = false;
    fleet.run(10 * SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 1).is_none()));
    assert_eq!(fleet.members[9].phases["i-1"], Phase::Gone);
    // Then it is forgotten by all, and stays so.
    fleet.run(100 * SECOND);
    assert!(fleet.gossips.iter().all(|b| b.workers().count() == 0));
    fleet.members.iter_mut().for_each(|m| m.sent = 0);
    fleet.run(20 * SECOND);
    assert!(fleet.members.iter().all(|m| m.sent < 15 * 160));
}

#[test]
fn given_a_process_that_is_no_peer_then_it_does_not_count() {
    let mut fleet = Fleet::new(3, 9);
    fleet.members[2].is_isolated = true;
    fleet.publish_worker(0, worker(1, Phase::Draining, 1));
    fleet.publish_configuration(0, 1, &Bytes::from_static(b"one"));
    fleet.run(2 * SECOND);
    assert_eq!(fleet.gossips[0].worker_coverage("i-1"), Coverage { acknowledged: 1, peers: 2 });
    assert_eq!(fleet.gossips[0].document_coverage(CONFIGURATION, 1), Coverage { acknowledged: 1, peers: 2 });
    let now = fleet.now;
    fleet.gossips[0].set_peers(now, &[address(1)]);
    assert_eq!(fleet.gossips[0].worker_coverage("i-1"), Coverage { acknowledged: 1, peers: 1 });
    assert_eq!(fleet.gossips[0].document_coverage(CONFIGURATION, 1), Coverage { acknowledged: 1, peers: 1 });
    fleet.gossips[0].set_peers(now, &[]);
    assert_eq!(fleet.gossips[0].document_coverage(CONFIGURATION, 1), Coverage { acknowledged: 0, peers: 0 });
}

#[test]
fn given_a_name_that_is_too_long_then_its_worker_is_refused() {
    let mut fleet = Fleet::new(2, 1);
    assert!(!fleet.publish_worker(0, Worker { zone: "z".repeat(257), ..worker(1, Phase::Ready, 1) }));
    assert_eq!(fleet.gossips[0].workers().count(), 0);
}

#[test]
fn given_any_number_of_workers_then_a_digest_has_the_same_size() {
    let digest = Cell::new(0);
    for workers in [10, 1_000] {
        let mut fleet = Fleet::new(3, 1);
        for n in 0..workers {
            fleet.publish_worker(0, worker(n, Phase::Ready, 1));
        }
        fleet.run(90 * SECOND);
        fleet.members.iter_mut().for_each(|m| (m.sent, m.messages) = (0, 0));
        fleet.run(20 * SECOND);
        let size = fleet.members[1].sent / fleet.members[1].messages;
        println!("{workers} workers, nothing new: {size} bytes a digest");
        assert!(digest.get() == 0 || size == digest.get());
        digest.set(size);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default()
    })]

    #[test]
    fn given_malformed_messages_then_they_are_dropped(mut bytes in proptest::collection::vec(any::<u8>(), 0..200), kind in 0..6_u8) {
        let mut gossip = Gossip::new(DIGEST_INTERVAL, 1, 0);
        gossip.set_peers(0, &[address(1), address(2)]);
        gossip.publish_worker(0, worker(1, Phase::Ready, 1), &mut Effects::default());
        gossip.receive(0, address(1), &bytes, &mut Effects::default());
        let mut framed = vec![1, kind];
        framed.append(&mut bytes);
        gossip.receive(0, address(1), &framed, &mut Effects::default());
        prop_assert!(gossip.workers().count() >= 1);
    }

    #[test]
    fn given_messages_with_changed_bytes_then_nothing_panics(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
        which in any::<prop::sample::Index>(),
    ) {
        let (mut a, mut b) = (Gossip::new(DIGEST_INTERVAL, 1, 0), Gossip::new(DIGEST_INTERVAL, 2, 0));
        a.set_peers(0, &[address(1)]);
        b.set_peers(0, &[address(0)]);
        let (mut from_a, mut from_b) = (Effects::default(), Effects::default());
        a.publish_worker(0, worker(1, Phase::Draining, 4), &mut from_a);
        a.publish_document(0, CONFIGURATION, 4, Bytes::from_static(b"four"), &mut from_a);
        b.publish_worker(0, worker(2, Phase::Ready, 4), &mut from_b);
        a.catch_up(0, &mut from_a);
        for (_, bytes) in &from_a.sent {
            b.receive(0, address(0), bytes, &mut from_b);
        }
        let mut bytes = which.get(&from_b.sent).1.to_vec();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(cut.index(bytes.len() * 2) + 1);
        let mut out = Effects::default();
        a.receive(1, address(1), &bytes, &mut out);
        a.handle_timeout(10 * SECOND, &mut out);
        a.handle_timeout(1_000 * SECOND, &mut out);
    }

    #[test]
    fn given_a_length_beyond_the_input_then_the_message_is_dropped(kind in 1..5_u8, length in any::<u32>()) {
        let mut gossip = Gossip::new(DIGEST_INTERVAL, 1, 0);
        let mut bytes = vec![1, kind, 8, 0];
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&[0, 1, 2, 3, 4, 5, 6, 7, 0xff, 0xff, 0xff, 0xff, 9]);
        gossip.receive(0, address(1), &bytes, &mut Effects::default());
        prop_assert_eq!(gossip.workers().count(), 0);
    }
}

/// What a worker reports, or is reported of it, at a member.
#[derive(Clone, Debug)]
struct Statement {
    member: usize,
    worker: usize,
    phase: Phase,
    call_seq: u64,
    pause_ms: i64,
}

fn statements(members: usize) -> impl Strategy<Value = Vec<Statement>> {
    let phases = prop_oneof![
        6 => Just(Phase::Ready), 3 => Just(Phase::Unresponsive), 2 => Just(Phase::Draining), 1 => Just(Phase::Gone)
    ];
    let statement = (0..members, 0..4_usize, phases, 0..12_u64, 0..400_i64).prop_map(
        |(member, worker, phase, call_seq, pause_ms)| Statement { member, worker, phase, call_seq, pause_ms },
    );
    proptest::collection::vec(statement, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default()
    })]

    /// Given any reports in any order at any members over lossy links, when no more come, then all copies are equal within a few
    /// digests and no differences are sent any more.
    #[test]
    fn given_any_reports_in_any_order_then_copies_converge(statements in statements(16), seed in any::<u32>(), few in any::<bool>()) {
        let size = if few { 5 } else { 16 };
        let mut fleet = Fleet::new(size, seed.into());
        fleet.loss = 0.4;
        for statement in &statements {
            fleet.publish_worker(statement.member % size, worker(statement.worker, statement.phase, statement.call_seq));
            if statement.phase == Phase::Ready {
                fleet.publish_configuration(statement.member % size, statement.call_seq, &Bytes::from(statement.call_seq.to_string()));
            }
            fleet.run(statement.pause_ms * MS);
        }
        fleet.loss = 0.0;
        fleet.run(16 * SECOND);
        let first = phases(&fleet.gossips[0]);
        for n in 0..size {
            prop_assert_eq!(&phases(&fleet.gossips[n]), &first, "member {}", n);
            prop_assert_eq!(fleet.gossips[n].document(CONFIGURATION), fleet.gossips[0].document(CONFIGURATION));
            // The effects agree with the state.
            let reported: BTreeMap<_, _> = fleet.members[n].phases.clone().into_iter()
                .filter(|(_, phase)| *phase != Phase::Gone).collect();
            prop_assert_eq!(&reported, &first);
        }
        // A worker that was ever reported gone is gone.
        for statement in statements.iter().filter(|t| t.phase == Phase::Gone) {
            let id = worker(statement.worker, statement.phase, 0).id;
            prop_assert!(!first.contains_key(&id));
        }
        fleet.members.iter_mut().for_each(|m| m.messages = 0);
        fleet.run(10 * SECOND);
        let messages: usize = fleet.members.iter().map(|m| m.messages).sum();
        prop_assert!(messages <= size * 7, "{} messages of {} members", messages, size);
    }
}
