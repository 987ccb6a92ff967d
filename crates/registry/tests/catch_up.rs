//! Members that missed hundreds of versions of the documents: how they catch up, at what cost, and that no version decreases.

mod common;

use bytes::Bytes;
use common::{DIGEST_INTERVAL, Fleet, MS, is_increasing};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_registry::Gossip;
use rainlug_registry::gossip::{CONFIGURATION, TOPOLOGY};

const KINDS: [u8; 2] = [CONFIGURATION, TOPOLOGY];
/// Bytes of one document.
const DOCUMENT_BYTES: usize = 10_000;
/// Peers that a member compares digests with when it catches up.
const CATCH_UP_PEERS: usize = 4;
/// Bytes of a message beside its documents, at most.
const MAX_MESSAGE_OVERHEAD: usize = 300;

fn text_of(kind: u8, version: u64) -> Bytes {
    let mut text = format!("{kind} {version} ").into_bytes();
    text.resize(DOCUMENT_BYTES, b'x');
    Bytes::from(text)
}

/// A member publishes a range of versions of both kinds.
fn publish_versions(fleet: &mut Fleet, at: usize, first: u64, last: u64) {
    for version in first..=last {
        for kind in KINDS {
            fleet.publish_document(at, kind, version, &text_of(kind, version));
        }
        fleet.run(10 * MS);
    }
}

fn knows(gossip: &Gossip, version: u64) -> bool {
    KINDS.iter().all(|kind| gossip.document(*kind).is_some_and(|(known, _)| known >= version))
}

fn knows_exactly(gossip: &Gossip, version: u64) -> bool {
    KINDS.iter().all(|kind| gossip.document(*kind) == Some((version, &text_of(*kind, version))))
}

/// A member that is `behind` versions behind is connected again and catches up: time, messages and bytes that it took.
fn catch_up_after(size: usize, behind: u64) -> (Time, usize, usize) {
    const ISOLATED: usize = 2;
    let mut fleet = Fleet::new(size, 11);
    publish_versions(&mut fleet, 0, 1, 1);
    fleet.run(3 * SECOND);
    fleet.members[ISOLATED].is_isolated = true;
    publish_versions(&mut fleet, 0, 2, 1 + behind);
    fleet.run(6 * SECOND);
    assert!(knows_exactly(&fleet.gossips[ISOLATED], 1));
    let member = &mut fleet.members[ISOLATED];
    (member.is_isolated, member.received, member.received_messages) = (false, 0, 0);
    fleet.with_member(ISOLATED, |gossip, now, out| gossip.catch_up(now, out));
    let took = fleet.until(SECOND, |gossip| knows_exactly(gossip, 1 + behind)).expect("it catches up");
    fleet.run(100 * MS);
    let member = &fleet.members[ISOLATED];
    // No version in between, and none twice.
    for kind in KINDS {
        assert_eq!(member.versions[&kind], [1, 1 + behind]);
    }
    (took, member.received_messages, member.received)
}

#[test]
fn given_a_member_that_is_versions_behind_when_it_catches_up_then_one_exchange_brings_the_newest() {
    println!("members  behind  time (ms)  messages  bytes, of two documents of {DOCUMENT_BYTES}");
    for size in [5, 30] {
        for behind in [1, 50, 500] {
            let (took, messages, bytes) = catch_up_after(size, behind);
            println!("{size}  {behind}  {}  {messages}  {bytes}", took / MS);
            // A round trip.
            assert!(took <= 40 * MS, "{took}");
            assert!(
                bytes
                    <= CATCH_UP_PEERS * (2 * DOCUMENT_BYTES + MAX_MESSAGE_OVERHEAD)
                        + messages * MAX_MESSAGE_OVERHEAD,
                "{bytes}"
            );
            assert!(messages <= CATCH_UP_PEERS + 2, "{messages}");
        }
    }
}

#[test]
fn given_a_member_that_is_versions_behind_when_it_does_not_catch_up_itself_then_digests_bring_the_newest() {
    let mut fleet = Fleet::new(14, 12);
    fleet.run(3 * SECOND);
    fleet.members[5].is_isolated = true;
    publish_versions(&mut fleet, 0, 1, 500);
    fleet.run(10 * SECOND);
    fleet.members[5].is_isolated = false;
    let took =
        fleet.until(2 * DIGEST_INTERVAL, |gossip| knows_exactly(gossip, 500)).expect("digests bring it");
    println!("500 versions behind, by digests alone: {} ms", took / MS);
    // Its own digest comes after 1.2 intervals at most; those of 13 others mostly sooner.
    assert!(took <= DIGEST_INTERVAL * 12 / 10 + 40 * MS, "{took}");
}

#[test]
fn given_lost_updates_when_links_work_again_then_the_newest_is_known_within_a_few_digests() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(9, seed);
        fleet.run(3 * SECOND);
        fleet.loss = 0.5;
        publish_versions(&mut fleet, 3, 1, 500);
        fleet.loss = 0.0;
        let took =
            fleet.until(2 * DIGEST_INTERVAL, |gossip| knows_exactly(gossip, 500)).expect("they are repaired");
        assert!(took <= DIGEST_INTERVAL, "seed {seed}: {took}");
        for member in &fleet.members {
            assert!(member.versions.values().all(|versions| is_increasing(versions)), "seed {seed}");
        }
    }
}

#[test]
fn given_newer_versions_when_an_old_leader_publishes_late_then_no_version_decreases_and_it_learns_the_newest()
{
    for size in [5, 30] {
        let mut fleet = Fleet::new(size, 13);
        publish_versions(&mut fleet, 0, 1, 1);
        fleet.run(3 * SECOND);
        fleet.members[4].is_isolated = true;
        publish_versions(&mut fleet, 0, 2, 300);
        fleet.run(5 * SECOND);
        // What it publishes is newer only for itself.
        fleet.members[4].is_isolated = false;
        for kind in KINDS {
            assert!(fleet.publish_document(4, kind, 2, &text_of(kind, 2)));
        }
        let took = fleet.until(SECOND, |gossip| knows_exactly(gossip, 300)).expect("all have the newest");
        assert!(took <= 40 * MS, "{size} members: {took}");
        for (n, member) in fleet.members.iter().enumerate() {
            assert!(member.versions.values().all(|versions| is_increasing(versions)), "member {n}");
            assert!(n == 4 || member.versions.values().all(|versions| versions.last() == Some(&300)));
        }
    }
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A document of a kind is published somewhere: its next version, or, by a former leader, an older one.
    Post {
        member: usize,
        kind: u8,
        back: u64,
    },
    Isolate(usize),
    Suspend(usize),
    Restart(usize),
    Heal,
    Wait(i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let member = || 0..16_usize;
    let kind = prop_oneof![Just(CONFIGURATION), Just(TOPOLOGY)];
    let back = prop_oneof![3 => Just(0_u64), 1 => 1..30_u64];
    let step = prop_oneof![
        12 => (member(), kind, back).prop_map(|(member, kind, back)| Step::Post { member, kind, back }),
        2 => member().prop_map(Step::Isolate),
        2 => member().prop_map(Step::Suspend),
        1 => member().prop_map(Step::Restart),
        1 => Just(Step::Heal),
        6 => (1..300_i64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

fn heal(fleet: &mut Fleet) {
    for member in &mut fleet.members {
        (member.is_isolated, member.is_suspended) = (false, false);
    }
}

/// Runs a schedule over bad links, then lets copies converge over good ones; what is wrong, if anything is.
fn run_schedule(fleet: &mut Fleet, steps: &[Step], restart: fn(&mut Fleet, usize)) -> Result<(), String> {
    let size = fleet.members.len();
    let mut newest = [0_u64; KINDS.len()];
    for step in steps {
        match step {
            Step::Post { member, kind, back } => {
                let next = &mut newest[usize::from(*kind)];
                *next += u64::from(*back == 0);
                let version = next.saturating_sub(*back).max(1);
                fleet.publish_document(member % size, *kind, version, &text_of(*kind, version));
            }
            Step::Isolate(member) => fleet.members[member % size].is_isolated = true,
            Step::Suspend(member) => fleet.members[member % size].is_suspended = true,
            Step::Restart(member) => restart(fleet, member % size),
            Step::Heal => heal(fleet),
            Step::Wait(time) => fleet.run(time * MS),
        }
    }
    heal(fleet);
    (fleet.loss, fleet.duplication, fleet.delay_probability) = (0.0, 0.0, 0.0);
    let least =
        KINDS.map(|kind| fleet.gossips.iter().filter_map(|gossip| Some(gossip.document(kind)?.0)).max());
    fleet.run(16 * SECOND);
    check(fleet, least)
}

/// Each member's versions increase, and all members have the same, none older than one that was known before.
fn check(fleet: &Fleet, least: [Option<u64>; KINDS.len()]) -> Result<(), String> {
    for (n, member) in fleet.members.iter().enumerate() {
        if let Some((kind, versions)) = member.versions.iter().find(|(_, versions)| !is_increasing(versions))
        {
            return Err(format!("kind {kind} decreases at {n}: {versions:?}"));
        }
        for (kind, least) in KINDS.into_iter().zip(least) {
            let known = fleet.gossips[n].document(kind);
            if known != fleet.gossips[0].document(kind) || known.map(|(version, _)| version) < least {
                return Err(format!("kind {kind} at {n}: {:?} for {least:?}", known.map(|known| known.0)));
            }
        }
    }
    Ok(())
}

fn fleet_with_bad_links(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    (fleet.loss, fleet.duplication, fleet.delay_probability) = (0.2, 0.2, 0.2);
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 80, failure_persistence: None, rng_seed: RngSeed::Fixed(51), ..ProptestConfig::default()
    })]

    /// Given messages that are lost, duplicated and late, partitions, suspensions, restarts and former leaders, then versions
    /// increase within one incarnation of each member, and all copies are equal in the end.
    #[test]
    fn given_any_schedule_of_faults_then_versions_increase_and_copies_converge(steps in steps(), seed in any::<u32>(), few in any::<bool>()) {
        let mut fleet = fleet_with_bad_links(if few { 5 } else { 16 }, seed.into());
        prop_assert_eq!(run_schedule(&mut fleet, &steps, Fleet::restart), Ok(()));
    }
}

#[test]
fn given_a_member_that_forgets_within_one_incarnation_then_the_checker_finds_it() {
    let steps: Vec<Step> = (0..40)
        .flat_map(|n| {
            let publish_document = |member| Step::Post { member, kind: CONFIGURATION, back: 0 };
            [publish_document(0), Step::Wait(40), Step::Restart(n % 5), Step::Wait(40)]
        })
        .collect();
    assert_eq!(run_schedule(&mut fleet_with_bad_links(5, 1), &steps, Fleet::restart), Ok(()));
    let found = run_schedule(&mut fleet_with_bad_links(5, 1), &steps, Fleet::lose_state);
    assert!(found.as_ref().is_err_and(|what| what.contains("decreases")), "{found:?}");
}

#[test]
fn given_copies_that_differ_then_the_checker_finds_them() {
    let mut fleet = Fleet::new(5, 1);
    publish_versions(&mut fleet, 0, 1, 1);
    fleet.run(SECOND);
    assert_eq!(check(&fleet, [Some(1); 2]), Ok(()));
    assert!(check(&fleet, [Some(2), Some(1)]).is_err(), "an older one than was known");
    fleet.members[3].is_isolated = true;
    publish_versions(&mut fleet, 0, 2, 2);
    fleet.run(SECOND);
    assert!(check(&fleet, [Some(2); 2]).is_err(), "one that was isolated");
    assert!(!is_increasing(&[1, 3, 2]) && !is_increasing(&[2, 2]) && is_increasing(&[1, 2, 9]));
    assert!(knows(&fleet.gossips[0], 2) && !knows(&fleet.gossips[3], 2));
}
