//! Members that missed hundreds of versions of the texts: how they catch up, what that costs, and that none goes back.

mod common;

use bytes::Bytes;
use common::{Fleet, MS, SLOW, rises};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_registry::Gossip;
use rainlug_registry::gossip::{CONFIGURATION, TOPOLOGY};

const KINDS: [u8; 2] = [CONFIGURATION, TOPOLOGY];
/// Bytes of one text.
const TEXT: usize = 10_000;
/// Others that a member compares everything with at once.
const ASKED: usize = 4;
/// What a message takes beside its texts, at most.
const MESSAGE_HEAD: usize = 300;

fn text_of(kind: u8, version: u64) -> Bytes {
    let mut text = format!("{kind} {version} ").into_bytes();
    text.resize(TEXT, b'x');
    Bytes::from(text)
}

/// One member posts so many versions of both kinds, from the first on.
fn post_versions(fleet: &mut Fleet, at: usize, first: u64, last: u64) {
    for version in first..=last {
        for kind in KINDS {
            fleet.post(at, kind, version, &text_of(kind, version));
        }
        fleet.run(10 * MS);
    }
}

fn knows(gossip: &Gossip, version: u64) -> bool {
    KINDS.iter().all(|kind| gossip.document(*kind).is_some_and(|(known, _)| known >= version))
}

fn knows_just(gossip: &Gossip, version: u64) -> bool {
    KINDS.iter().all(|kind| gossip.document(*kind) == Some((version, &text_of(*kind, version))))
}

/// A member that is `behind` versions behind meets the others again: what catching up took.
fn meets_again(size: usize, behind: u64) -> (Time, usize, usize) {
    const AWAY: usize = 2;
    let mut fleet = Fleet::new(size, 11);
    post_versions(&mut fleet, 0, 1, 1);
    fleet.run(3 * SECOND);
    fleet.members[AWAY].cut = true;
    post_versions(&mut fleet, 0, 2, 1 + behind);
    fleet.run(6 * SECOND);
    assert!(knows_just(&fleet.gossips[AWAY], 1));
    let member = &mut fleet.members[AWAY];
    (member.cut, member.received, member.heard) = (false, 0, 0);
    fleet.act(AWAY, |gossip, now, out| gossip.catch_up(now, out));
    let took = fleet.until(SECOND, |gossip| knows_just(gossip, 1 + behind)).expect("it catches up");
    fleet.run(100 * MS);
    let member = &fleet.members[AWAY];
    // No version in between, and none twice.
    for kind in KINDS {
        assert_eq!(member.versions[&kind], [1, 1 + behind]);
    }
    (took, member.heard, member.received)
}

#[test]
fn given_a_member_that_is_versions_behind_when_it_meets_the_others_then_one_exchange_brings_the_newest() {
    println!("members  behind  time (ms)  messages  bytes, of two texts of {TEXT}");
    for size in [5, 30] {
        for behind in [1, 50, 500] {
            let (took, messages, bytes) = meets_again(size, behind);
            println!("{size}  {behind}  {}  {messages}  {bytes}", took / MS);
            // There and back.
            assert!(took <= 40 * MS, "{took}");
            assert!(bytes <= ASKED * (2 * TEXT + MESSAGE_HEAD) + messages * MESSAGE_HEAD, "{bytes}");
            assert!(messages <= ASKED + 2, "{messages}");
        }
    }
}

#[test]
fn given_a_member_that_is_versions_behind_when_nobody_tells_it_to_compare_then_digests_do() {
    let mut fleet = Fleet::new(14, 12);
    fleet.run(3 * SECOND);
    fleet.members[5].cut = true;
    post_versions(&mut fleet, 0, 1, 500);
    fleet.run(10 * SECOND);
    fleet.members[5].cut = false;
    let took = fleet.until(2 * SLOW, |gossip| knows_just(gossip, 500)).expect("digests bring it");
    println!("500 versions behind, by digests alone: {} ms", took / MS);
    // Its own comes after 1.2 times the span at most; those of 13 others mostly sooner.
    assert!(took <= SLOW * 12 / 10 + 40 * MS, "{took}");
}

#[test]
fn given_gaps_when_links_are_whole_again_then_the_newest_is_known_within_the_time_of_a_few_digests() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(9, seed);
        fleet.run(3 * SECOND);
        fleet.loss = 0.5;
        post_versions(&mut fleet, 3, 1, 500);
        fleet.loss = 0.0;
        let took = fleet.until(2 * SLOW, |gossip| knows_just(gossip, 500)).expect("they are closed");
        assert!(took <= SLOW, "seed {seed}: {took}");
        for member in &fleet.members {
            assert!(member.versions.values().all(|versions| rises(versions)), "seed {seed}");
        }
    }
}

#[test]
fn given_newer_versions_when_an_old_leader_posts_late_then_nobody_goes_back_and_it_learns_the_newest() {
    for size in [5, 30] {
        let mut fleet = Fleet::new(size, 13);
        post_versions(&mut fleet, 0, 1, 1);
        fleet.run(3 * SECOND);
        fleet.members[4].cut = true;
        post_versions(&mut fleet, 0, 2, 300);
        fleet.run(5 * SECOND);
        // What it posts is newer only for itself.
        fleet.members[4].cut = false;
        for kind in KINDS {
            assert!(fleet.post(4, kind, 2, &text_of(kind, 2)));
        }
        let took = fleet.until(SECOND, |gossip| knows_just(gossip, 300)).expect("all have the newest");
        assert!(took <= 40 * MS, "{size} members: {took}");
        for (n, member) in fleet.members.iter().enumerate() {
            assert!(member.versions.values().all(|versions| rises(versions)), "member {n}");
            assert!(n == 4 || member.versions.values().all(|versions| versions.last() == Some(&300)));
        }
    }
}

/// What happens in a course.
#[derive(Clone, Debug)]
enum Step {
    /// A text of a kind is posted somewhere: the next version, or, by a leader that is not one any more, an older one.
    Post {
        member: usize,
        kind: u8,
        back: u64,
    },
    Cut(usize),
    Freeze(usize),
    Restart(usize),
    Heal,
    Pass(i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let member = || 0..16_usize;
    let kind = prop_oneof![Just(CONFIGURATION), Just(TOPOLOGY)];
    let back = prop_oneof![3 => Just(0_u64), 1 => 1..30_u64];
    let step = prop_oneof![
        12 => (member(), kind, back).prop_map(|(member, kind, back)| Step::Post { member, kind, back }),
        2 => member().prop_map(Step::Cut),
        2 => member().prop_map(Step::Freeze),
        1 => member().prop_map(Step::Restart),
        1 => Just(Step::Heal),
        6 => (1..300_i64).prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..200)
}

fn heal(fleet: &mut Fleet) {
    for member in &mut fleet.members {
        (member.cut, member.frozen) = (false, false);
    }
}

/// Plays a course over bad links, and lets it come to rest over whole ones; what broke, if anything did.
fn course(fleet: &mut Fleet, steps: &[Step], restart: fn(&mut Fleet, usize)) -> Result<(), String> {
    let size = fleet.members.len();
    let mut newest = [0_u64; KINDS.len()];
    for step in steps {
        match step {
            Step::Post { member, kind, back } => {
                let next = &mut newest[usize::from(*kind)];
                *next += u64::from(*back == 0);
                let version = next.saturating_sub(*back).max(1);
                fleet.post(member % size, *kind, version, &text_of(*kind, version));
            }
            Step::Cut(member) => fleet.members[member % size].cut = true,
            Step::Freeze(member) => fleet.members[member % size].frozen = true,
            Step::Restart(member) => restart(fleet, member % size),
            Step::Heal => heal(fleet),
            Step::Pass(time) => fleet.run(time * MS),
        }
    }
    heal(fleet);
    (fleet.loss, fleet.twice, fleet.late) = (0.0, 0.0, 0.0);
    let least =
        KINDS.map(|kind| fleet.gossips.iter().filter_map(|gossip| Some(gossip.document(kind)?.0)).max());
    fleet.run(16 * SECOND);
    check(fleet, least)
}

/// Each member's versions rise, and all have the same, which nobody had a newer one of before.
fn check(fleet: &Fleet, least: [Option<u64>; KINDS.len()]) -> Result<(), String> {
    for (n, member) in fleet.members.iter().enumerate() {
        if let Some((kind, versions)) = member.versions.iter().find(|(_, versions)| !rises(versions)) {
            return Err(format!("kind {kind} goes back at {n}: {versions:?}"));
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

fn bad_links(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    (fleet.loss, fleet.twice, fleet.late) = (0.2, 0.2, 0.2);
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 80, failure_persistence: None, rng_seed: RngSeed::Fixed(51), ..ProptestConfig::default()
    })]

    /// Given messages that are lost, doubled and late, cuts, freezes, restarts and leaders of before, then versions rise within
    /// one life at each member, and all copies are alike in the end.
    #[test]
    fn versions_rise_and_converge(steps in steps(), seed in any::<u32>(), few in any::<bool>()) {
        let mut fleet = bad_links(if few { 5 } else { 16 }, seed.into());
        prop_assert_eq!(course(&mut fleet, &steps, Fleet::restart), Ok(()));
    }
}

#[test]
fn the_checker_finds_a_member_that_forgets_within_one_life() {
    let steps: Vec<Step> = (0..40)
        .flat_map(|n| {
            let post = |member| Step::Post { member, kind: CONFIGURATION, back: 0 };
            [post(0), Step::Pass(40), Step::Restart(n % 5), Step::Pass(40)]
        })
        .collect();
    assert_eq!(course(&mut bad_links(5, 1), &steps, Fleet::restart), Ok(()));
    let found = course(&mut bad_links(5, 1), &steps, Fleet::forget);
    assert!(found.as_ref().is_err_and(|what| what.contains("goes back")), "{found:?}");
}

#[test]
fn the_checker_finds_copies_that_differ() {
    let mut fleet = Fleet::new(5, 1);
    post_versions(&mut fleet, 0, 1, 1);
    fleet.run(SECOND);
    assert_eq!(check(&fleet, [Some(1); 2]), Ok(()));
    assert!(check(&fleet, [Some(2), Some(1)]).is_err(), "an older one than was known");
    fleet.members[3].cut = true;
    post_versions(&mut fleet, 0, 2, 2);
    fleet.run(SECOND);
    assert!(check(&fleet, [Some(2); 2]).is_err(), "one that was cut off");
    assert!(!rises(&[1, 3, 2]) && !rises(&[2, 2]) && rises(&[1, 2, 9]));
    assert!(knows(&fleet.gossips[0], 2) && !knows(&fleet.gossips[3], 2));
}
