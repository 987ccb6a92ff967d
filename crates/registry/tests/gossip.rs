//! Stories of members of a gossip: what one is told reaches all, and copies converge.

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;

use bytes::Bytes;
use common::{Effects, Fleet, MS, SLOW, address, phase_of, phases, worker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_registry::gossip::{CONFIGURATION, Coverage, TOPOLOGY};
use rainlug_registry::{Gossip, Phase, Worker};

/// Given a fleet that knows 60 workers, when one of them drains, then all know within the bound, and the teller knows that.
fn drain(size: usize, loss: f64, bound: Time) {
    let mut fleet = Fleet::new(size, 7);
    for n in 0..60 {
        fleet.worker(n % size, worker(n, Phase::Ready, 1));
    }
    fleet.run(5 * SECOND);
    assert!(fleet.gossips.iter().all(|b| b.workers().count() == 60));
    fleet.loss = loss;
    for member in &mut fleet.members {
        (member.sent, member.received, member.messages) = (0, 0, 0);
    }
    assert!(fleet.worker(0, worker(3, Phase::Draining, 2)));
    let took = fleet.until(20 * SECOND, |b| phase_of(b, 3) == Some(Phase::Draining)).unwrap();
    fleet.run(4 * SECOND);
    let spread = fleet.gossips[0].worker_coverage("i-3");
    let sent: usize = fleet.members.iter().map(|m| m.sent).sum();
    let messages: usize = fleet.members.iter().map(|m| m.messages).sum();
    println!(
        "{size} members, loss {loss}: last after {} ms; known {spread:?}; with digests, in {} ms: {} bytes and {:.1} messages a \
         member; teller sent {} bytes, got {}",
        took / MS,
        (took + 4 * SECOND) / MS,
        sent / size,
        messages as f64 / size as f64,
        fleet.members[0].sent,
        fleet.members[0].received,
    );
    assert!(took <= bound, "{took}");
    assert_eq!(spread, Coverage { acknowledged: size - 1, peers: size - 1 });
    assert!(sent / size < 8_000, "{sent}");
}

#[test]
fn a_drain_reaches_14_members() {
    drain(14, 0.0, 300 * MS);
}

#[test]
fn a_drain_reaches_60_members() {
    drain(60, 0.0, 300 * MS);
}

#[test]
fn a_drain_reaches_360_members() {
    drain(360, 0.0, 300 * MS);
}

#[test]
fn a_drain_reaches_members_over_lossy_links() {
    drain(9, 0.2, 1_200 * MS);
    drain(60, 0.2, 1_200 * MS);
}

#[test]
fn a_large_text_reaches_all_and_a_lost_one_is_asked_for() {
    let text = Bytes::from(vec![b'x'; 1 << 20]);
    for loss in [0.0, 0.3] {
        let mut fleet = Fleet::new(30, 5);
        fleet.loss = loss;
        assert!(fleet.text(4, 9, &text));
        assert!(!fleet.text(4, 9, &text) && !fleet.text(4, 8, &text));
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
fn digests_alone_repair_what_was_lost() {
    // Given two groups of members, and news of which every message is lost.
    for size in [6, 30] {
        let mut fleet = Fleet::new(size, 3);
        fleet.run(3 * SECOND);
        fleet.loss = 1.0;
        fleet.worker(0, worker(1, Phase::Ready, 1));
        fleet.text(1, 2, &Bytes::from_static(b"two"));
        fleet.run(10 * SECOND);
        assert_eq!(phase_of(&fleet.gossips[2], 1), None);
        // When links are whole again, then digests bring it.
        fleet.loss = 0.0;
        let has = |b: &Gossip| phase_of(b, 1).is_some() && b.document(CONFIGURATION).is_some();
        let took = fleet.until(10 * SLOW, has).unwrap();
        println!("{size} members: repaired by digests in {} ms", took / MS);
        assert!(took < 4 * SLOW, "{took}");
    }
}

#[test]
fn who_was_cut_off_or_frozen_catches_up() {
    for freeze in [false, true] {
        let mut fleet = Fleet::new(14, 2);
        for n in 0..100 {
            fleet.worker(n % 14, worker(n, Phase::Ready, 1));
        }
        fleet.run(5 * SECOND);
        fleet.members[5].cut = !freeze;
        fleet.members[5].frozen = freeze;
        for n in 0..20 {
            fleet.worker(0, worker(n, Phase::Draining, 2));
        }
        fleet.text(0, 3, &Bytes::from_static(b"three"));
        fleet.run(10 * SECOND);
        assert_eq!(phase_of(&fleet.gossips[5], 3), Some(Phase::Ready));
        (fleet.members[5].cut, fleet.members[5].frozen) = (false, false);
        if !freeze {
            // The cut-off member heard news of its own.
            fleet.members[5].cut = true;
            fleet.worker(5, worker(300, Phase::Ready, 1));
            fleet.run(SECOND);
            fleet.members[5].cut = false;
        }
        fleet.act(5, |b, now, out| b.catch_up(now, out));
        let up = |b: &Gossip| phase_of(b, 19) == Some(Phase::Draining) && b.document(CONFIGURATION).is_some();
        let took = fleet.until(SECOND, up).unwrap();
        println!("caught up after a {} in {} ms", if freeze { "freeze" } else { "cut" }, took / MS);
        assert!(took < 200 * MS, "{took}");
        if !freeze {
            let took = fleet.until(10 * SECOND, |b| phase_of(b, 300).is_some()).unwrap();
            assert!(took < SECOND, "{took}");
        }
    }
}

#[test]
fn beats_that_change_nothing_are_not_passed_on() {
    let mut fleet = Fleet::new(5, 4);
    assert!(fleet.worker(0, worker(1, Phase::Ready, 1)));
    fleet.run(5 * SECOND);
    let before = fleet.members[0].messages;
    for seq in 2..100 {
        assert!(!fleet.worker(0, worker(1, Phase::Ready, seq)));
    }
    assert_eq!(fleet.members[0].messages, before);
    // An old beat is no news either, and digests agree without the beats: only digests go, no differences.
    assert!(!fleet.worker(0, worker(1, Phase::Draining, 50)));
    fleet.members.iter_mut().for_each(|m| m.messages = 0);
    fleet.run(20 * SECOND);
    let messages: usize = fleet.members.iter().map(|m| m.messages).sum();
    assert!(messages <= 5 * 13, "{messages}");
    // A change of the address is news, a drain is, and so is the end.
    let moved = Worker { address: "10.8.8.8:1".parse().unwrap(), ..worker(1, Phase::Ready, 100) };
    assert!(fleet.worker(1, moved.clone()));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| b.workers().all(|w| w.address == moved.address)));
    assert!(fleet.worker(1, worker(1, Phase::Draining, 101)) && fleet.worker(2, worker(1, Phase::Gone, 101)));
}

#[test]
fn a_silent_worker_comes_back_by_its_next_beat_and_else_is_dropped() {
    let mut fleet = Fleet::new(5, 6);
    fleet.worker(0, worker(1, Phase::Ready, 1));
    fleet.worker(0, worker(2, Phase::Ready, 1));
    assert!(!fleet.worker(0, worker(1, Phase::Ready, 10)));
    fleet.run(SECOND);
    // Its beats go on at another member, of which the owner doesn't know when it calls it silent: the other corrects that.
    assert!(!fleet.worker(3, worker(1, Phase::Ready, 12)));
    assert!(fleet.worker(0, worker(1, Phase::Unresponsive, 10)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 1) == Some(Phase::Ready)));
    // Silent by its newest beat, it is so for all, until the next.
    assert!(fleet.worker(0, worker(2, Phase::Unresponsive, 1)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2) == Some(Phase::Unresponsive)));
    assert!(fleet.worker(4, worker(2, Phase::Ready, 2)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2) == Some(Phase::Ready)));
    // After a minute of silence it is dropped everywhere, and doesn't come back by digests.
    fleet.worker(1, worker(2, Phase::Unresponsive, 2));
    fleet.run(62 * SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2).is_none()));
    assert!(fleet.members.iter().all(|m| m.phases["i-2"] == Phase::Gone));
    fleet.run(120 * SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2).is_none() && phase_of(b, 1).is_some()));
    // A worker that lives on the far side of a long cut comes back by its next beat.
    assert!(fleet.worker(1, worker(2, Phase::Ready, 90)));
    fleet.run(SECOND);
    assert!(fleet.gossips.iter().all(|b| phase_of(b, 2) == Some(Phase::Ready)));
}

#[test]
fn tombstones_keep_old_beats_out_for_a_minute() {
    let mut fleet = Fleet::new(14, 8);
    fleet.worker(0, worker(1, Phase::Ready, 5));
    fleet.run(SECOND);
    fleet.members[9].cut = true;
    fleet.worker(0, worker(1, Phase::Gone, 6));
    fleet.run(SECOND);
    assert!(fleet.members.iter().enumerate().all(|(n, m)| n == 9 || m.phases["i-1"] == Phase::Gone));
    for seq in [5, 6, 7, 90] {
        assert!(!fleet.worker(3, worker(1, Phase::Ready, seq)));
        assert!(!fleet.worker(3, worker(1, Phase::Draining, seq)));
    }
    // Who still has it as ready doesn't bring it back, but hears of its end.
    fleet.run(20 * SECOND);
    assert_eq!(phase_of(&fleet.gossips[9], 1), Some(Phase::Ready));
    fleet.members[9].cut = false;
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
fn who_is_not_among_the_peers_doesnt_count() {
    let mut fleet = Fleet::new(3, 9);
    fleet.members[2].cut = true;
    fleet.worker(0, worker(1, Phase::Draining, 1));
    fleet.text(0, 1, &Bytes::from_static(b"one"));
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
fn a_name_that_is_too_long_is_refused() {
    let mut fleet = Fleet::new(2, 1);
    assert!(!fleet.worker(0, Worker { zone: "z".repeat(257), ..worker(1, Phase::Ready, 1) }));
    assert_eq!(fleet.gossips[0].workers().count(), 0);
}

#[test]
fn what_a_digest_costs_grows_with_workers_but_not_with_members() {
    let digest = Cell::new(0);
    for workers in [10, 1_000] {
        let mut fleet = Fleet::new(3, 1);
        for n in 0..workers {
            fleet.worker(0, worker(n, Phase::Ready, 1));
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
    fn garbage_is_counted_and_dropped(mut bytes in proptest::collection::vec(any::<u8>(), 0..200), kind in 0..6_u8) {
        let mut gossip = Gossip::new(SLOW, 1, 0);
        gossip.set_peers(0, &[address(1), address(2)]);
        gossip.publish_worker(0, worker(1, Phase::Ready, 1), &mut Effects::default());
        gossip.receive(0, address(1), &bytes, &mut Effects::default());
        let mut framed = vec![1, kind];
        framed.append(&mut bytes);
        gossip.receive(0, address(1), &framed, &mut Effects::default());
        prop_assert!(gossip.workers().count() >= 1);
    }

    #[test]
    fn true_messages_with_changed_bytes_are_taken_without_panic(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
        which in any::<prop::sample::Index>(),
    ) {
        let (mut a, mut b) = (Gossip::new(SLOW, 1, 0), Gossip::new(SLOW, 2, 0));
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
    fn a_length_beyond_the_input_allocates_nothing(kind in 1..5_u8, length in any::<u32>()) {
        let mut gossip = Gossip::new(SLOW, 1, 0);
        let mut bytes = vec![1, kind, 8, 0];
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&[0, 1, 2, 3, 4, 5, 6, 7, 0xff, 0xff, 0xff, 0xff, 9]);
        gossip.receive(0, address(1), &bytes, &mut Effects::default());
        prop_assert_eq!(gossip.workers().count(), 0);
    }
}

/// What a worker says, or is said of it, at a member.
#[derive(Clone, Debug)]
struct Tale {
    member: usize,
    worker: usize,
    phase: Phase,
    call_seq: u64,
    pause_ms: i64,
}

fn tales(members: usize) -> impl Strategy<Value = Vec<Tale>> {
    let phases = prop_oneof![
        6 => Just(Phase::Ready), 3 => Just(Phase::Unresponsive), 2 => Just(Phase::Draining), 1 => Just(Phase::Gone)
    ];
    let tale = (0..members, 0..4_usize, phases, 0..12_u64, 0..400_i64).prop_map(
        |(member, worker, phase, call_seq, pause_ms)| Tale { member, worker, phase, call_seq, pause_ms },
    );
    proptest::collection::vec(tale, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default()
    })]

    /// Given any tales in any order at any members over lossy links, when no more come, then all copies are alike within some
    /// digests and no differences are sent any more.
    #[test]
    fn copies_converge(tales in tales(16), seed in any::<u32>(), few in any::<bool>()) {
        let size = if few { 5 } else { 16 };
        let mut fleet = Fleet::new(size, seed.into());
        fleet.loss = 0.4;
        for tale in &tales {
            fleet.worker(tale.member % size, worker(tale.worker, tale.phase, tale.call_seq));
            if tale.phase == Phase::Ready {
                fleet.text(tale.member % size, tale.call_seq, &Bytes::from(tale.call_seq.to_string()));
            }
            fleet.run(tale.pause_ms * MS);
        }
        fleet.loss = 0.0;
        fleet.run(16 * SECOND);
        let first = phases(&fleet.gossips[0]);
        for n in 0..size {
            prop_assert_eq!(&phases(&fleet.gossips[n]), &first, "member {}", n);
            prop_assert_eq!(fleet.gossips[n].document(CONFIGURATION), fleet.gossips[0].document(CONFIGURATION));
            // What was told outside is what stands inside.
            let told: BTreeMap<_, _> = fleet.members[n].phases.clone().into_iter()
                .filter(|(_, phase)| *phase != Phase::Gone).collect();
            prop_assert_eq!(&told, &first);
        }
        // Whoever was ever told gone is gone.
        for tale in tales.iter().filter(|t| t.phase == Phase::Gone) {
            let id = worker(tale.worker, tale.phase, 0).id;
            prop_assert!(!first.contains_key(&id));
        }
        fleet.members.iter_mut().for_each(|m| m.messages = 0);
        fleet.run(10 * SECOND);
        let messages: usize = fleet.members.iter().map(|m| m.messages).sum();
        prop_assert!(messages <= size * 7, "{} messages of {} members", messages, size);
    }
}
