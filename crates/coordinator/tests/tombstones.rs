//! Stories of stores that lose a seat: what nobody counts on any more is given up, and nothing else.

mod common;

use common::{Fleet, jobs_of, settled};
use rainlug_coordinator::{Answer, BATCH_SHARDS, Call};

const SHARD: u16 = 1;
const ITEMS: usize = 20;
/// Of five gateways and four stores, the stores.
const STORES: std::ops::Range<usize> = 5..9;

fn submit(id: &str) -> Call {
    common::submit(id, ITEMS)
}

fn is_member(fleet: &Fleet, at: usize) -> bool {
    let id = fleet.machines[at].disk.as_ref().unwrap().id;
    let leader = fleet.leader(SHARD).expect("a leader");
    let group = fleet.machines[leader].coordinator.as_ref().unwrap().shard_status(SHARD).members;
    group.iter().any(|member| member.id == id)
}

fn followers(fleet: &Fleet) -> Vec<usize> {
    STORES.filter(|at| is_member(fleet, *at) && fleet.leader(SHARD) != Some(*at)).collect()
}

fn spare(fleet: &Fleet) -> usize {
    STORES.into_iter().find(|at| !is_member(fleet, *at)).expect("a store without a seat")
}

fn metrics(fleet: &Fleet, at: usize) -> Vec<(String, f64)> {
    let metrics = fleet.machines[at].coordinator.as_ref().unwrap().metrics();
    metrics.into_iter().filter(|figure| figure.0.starts_with(&format!("part_{SHARD}_"))).collect()
}

fn state_bytes(fleet: &Fleet, at: usize) -> f64 {
    let name = format!("part_{SHARD}_bytes");
    metrics(fleet, at).into_iter().find(|figure| figure.0 == name).map_or(0.0, |figure| figure.1)
}

fn disk_bytes(fleet: &Fleet, at: usize) -> usize {
    let disk = fleet.machines[at].disk.as_ref().unwrap();
    disk.synced.get(&SHARD).map_or(0, |records| records.iter().map(|record| record.len()).sum())
}

/// All items of a batch job are listed, as read at a gateway.
fn assert_whole(fleet: &mut Fleet, id: &str) {
    let read = Call::Read { job: id.to_owned(), since: 0, wait: 0 };
    let answer = fleet.ask(3, read, 3.0).expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains(&format!("\"next_token\":{ITEMS},")), "{}: {text:.200}", answer.status);
}

/// A fleet with a batch job in the part, all of it listed.
fn with_job(seed: u64) -> (Fleet, String) {
    let mut fleet = settled(3, 2, 4, seed);
    let id = jobs_of(SHARD, 1).remove(0);
    assert_eq!(fleet.ask(3, submit(&id), 3.5).map(|answer: Answer| answer.status), Some(202));
    fleet.pass(8.0);
    (fleet, id)
}

/// A follower was away until another store got its seat, and is back.
fn with_lost_seat(seed: u64) -> (Fleet, String, usize) {
    let (mut fleet, id) = with_job(seed);
    let out = followers(&fleet).remove(0);
    fleet.kill(out, true);
    fleet.pass(8.0);
    fleet.start(out, false);
    assert!(state_bytes(&fleet, out) > 0.0 || disk_bytes(&fleet, out) > 1_000);
    (fleet, id, out)
}

#[test]
fn a_store_that_is_no_member_any_more_keeps_nothing_of_the_shard_but_its_vote() {
    let (mut fleet, id, out) = with_lost_seat(41);
    fleet.pass(30.0);
    assert!(!is_member(&fleet, out), "another one has its seat");
    assert!(metrics(&fleet, out).is_empty(), "{:?}", metrics(&fleet, out));
    assert!(disk_bytes(&fleet, out) < 100, "{} bytes", disk_bytes(&fleet, out));
    // Also after another start.
    fleet.kill(out, true);
    fleet.start(out, false);
    fleet.pass(2.0);
    assert!(metrics(&fleet, out).is_empty(), "{:?}", metrics(&fleet, out));
    assert_whole(&mut fleet, &id);
}

#[test]
fn a_store_that_dropped_a_shard_is_a_member_again_and_filled() {
    let (mut fleet, id, out) = with_lost_seat(42);
    fleet.pass(30.0);
    let gone = followers(&fleet).remove(0);
    fleet.kill(gone, true);
    fleet.pass(12.0);
    assert!(is_member(&fleet, out), "it has the seat of the one that is gone");
    // What it was filled with is enough for the part to go on with it.
    let leader = fleet.leader(SHARD).unwrap();
    fleet.kill(leader, true);
    fleet.pass(8.0);
    assert!(state_bytes(&fleet, out) > 0.0);
    assert_whole(&mut fleet, &id);
}

#[test]
fn a_store_that_was_added_and_is_not_in_the_topology_yet_keeps_the_shard() {
    let (mut fleet, id) = with_job(43);
    let (gateways, stores): (Vec<usize>, Vec<usize>) = ((0..5).collect(), STORES.collect());
    let new = spare(&fleet);
    let out = followers(&fleet).remove(0);
    // Nobody can tell the configuration's part of the new group.
    fleet.partition(&gateways, &stores);
    fleet.kill(out, true);
    fleet.pass(8.0);
    assert!(is_member(&fleet, new), "it has the seat of the one that is gone");
    assert!(state_bytes(&fleet, new) > 0.0);
    let others: Vec<usize> = STORES.filter(|at| *at != new && *at != out).collect();
    others.iter().for_each(|at| fleet.kill(*at, true));
    fleet.heal();
    fleet.pass(20.0);
    assert!(state_bytes(&fleet, new) > 0.0, "it may be needed");
    // It is: with one of the two others it is a majority.
    fleet.start(others[0], false);
    fleet.pass(8.0);
    assert_whole(&mut fleet, &id);
}

#[test]
fn a_store_that_has_a_change_it_is_named_in_keeps_it_while_nobody_else_is_there() {
    let (mut fleet, id) = with_job(44);
    let new = spare(&fleet);
    let out = followers(&fleet).remove(0);
    let others: Vec<usize> = STORES.filter(|at| *at != new && *at != out).collect();
    fleet.kill(out, true);
    // The change has just reached it; it cannot know whether that was committed.
    let is_named = |fleet: &Fleet| {
        let store = &fleet.machines[new];
        let group = store.coordinator.as_ref().map(|coordinator| coordinator.shard_status(SHARD).members);
        group.is_some_and(|group| group.iter().any(|member| member.address == store.at))
    };
    assert!(fleet.until(10.0, is_named));
    others.iter().for_each(|at| fleet.kill(*at, true));
    fleet.pass(20.0);
    assert!(is_named(&fleet));
    others.iter().for_each(|at| fleet.start(*at, false));
    fleet.pass(8.0);
    assert_whole(&mut fleet, &id);
}

#[test]
fn a_store_that_is_isolated_keeps_the_shard() {
    let (mut fleet, _) = with_job(46);
    let out = followers(&fleet).remove(0);
    let others: Vec<usize> = (0..9).filter(|at| *at != out).collect();
    // For it, it is still in the group: nothing that it knows says otherwise.
    fleet.partition(&[out], &others);
    fleet.pass(30.0);
    assert!(!is_member(&fleet, out));
    assert!(state_bytes(&fleet, out) > 0.0);
}

#[test]
fn stores_that_are_members_never_drop_a_shard() {
    let (mut fleet, _) = with_job(45);
    for at in STORES {
        fleet.kill(at, true);
        fleet.pass(1.0);
        fleet.start(at, false);
        fleet.pass(3.0);
    }
    fleet.pass(10.0);
    let vacated = |at: usize| fleet.machines[at].log.iter().filter(|line| line.contains("tombstone")).count();
    assert_eq!(STORES.map(vacated).sum::<usize>(), 0);
    assert!((1..=BATCH_SHARDS).all(|shard| fleet.leader(shard).is_some()));
}
