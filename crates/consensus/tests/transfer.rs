//! A snapshot's transfer ends: entries that come meanwhile are kept for who gets it, and who was away gets the newest one.

mod common;

use common::{MILLIS, SECOND, World, settings};
use rainlug_consensus::{MemberId, Settings, Time};

/// Between two changes.
const PACE: Time = 5 * MILLIS;
const PADDING: usize = 50;
/// What a change takes in the snapshot of the harness's state machine.
const CHANGE_IN_STATE: usize = 16;
/// What a piece of a snapshot takes beside its bytes, at most.
const CHUNK_HEADER: usize = 350;

fn change(world: &mut World, changes: usize) {
    for _ in 0..changes {
        if let Some(leader) = world.leader() {
            world.propose(leader, PADDING);
        }
        world.run_for(PACE);
    }
}

/// Given a member that is down after `before` changes and while `missed` more go on, when it is back and changes still go on, then
/// it lacks none but those on their way after one snapshot.
fn one_snapshot_is_enough(settings: Settings, before: usize, missed: usize) {
    let mut world = World::new(1, &[1, 2, 3], settings);
    let leader = world.elect();
    let away: MemberId = (1..=3).find(|&id| id != leader).expect("a follower");
    change(&mut world, before);
    world.power_off(away);
    change(&mut world, missed);
    world.traffic.remove(&away);
    world.start(away);
    let since = world.now;
    let lacks = |world: &World| world.history.len() - world.nodes[&away].applied.len();
    while lacks(&world) > 2 && world.now - since < 5 * SECOND {
        change(&mut world, 1);
    }
    world.sound();
    let state = world.history.len() * CHANGE_IN_STATE;
    let bytes = world.traffic[&away].snapshot_bytes;
    let (restores, time) = (world.nodes[&away].restores, (world.now - since) / MILLIS);
    println!(
        "{before} + {missed} changes: {time} ms, lacks {}, {restores} snapshots, {bytes} bytes of a state of {state}",
        lacks(&world)
    );
    assert!(lacks(&world) <= 2, "it does not catch up in five seconds: {restores} snapshots, {bytes} bytes");
    assert_eq!(restores, 1);
    assert!(
        bytes <= state + (state / settings.max_message_bytes + 1) * CHUNK_HEADER,
        "{bytes} bytes for {state}"
    );
}

#[test]
fn given_more_entries_during_a_transfer_than_are_kept_for_laggards_when_it_ends_then_the_log_goes_on() {
    one_snapshot_is_enough(settings(2), 0, 1_000);
    one_snapshot_is_enough(settings(2), 0, 3_000);
}

#[test]
fn given_a_large_state_when_one_is_back_then_it_gets_the_newest_snapshot_and_no_older_one() {
    one_snapshot_is_enough(
        Settings { max_lag_bytes: 6_400, compaction_threshold_bytes: 6_400, ..settings(2) },
        1_000,
        200,
    );
}

#[test]
fn given_a_follower_that_acknowledges_late_when_much_is_proposed_then_few_bytes_are_on_their_way_to_it() {
    let settings = Settings { max_lag_bytes: 1_000_000, ..settings(2) };
    let mut world = World::new(3, &[1, 2, 3], settings);
    let leader = world.elect();
    let slow: MemberId = (1..=3).find(|&id| id != leader).expect("a follower");
    world.run_for(SECOND);
    world.nodes.get_mut(&slow).expect("a node").disk_delay = 2 * SECOND;
    world.traffic.remove(&slow);
    for _ in 0..200 {
        world.propose(leader, PADDING);
    }
    world.run_for(100 * MILLIS);
    // One message may go beyond the bound, and each has a head.
    let sent = world.traffic[&slow].bytes;
    println!("{sent} bytes");
    assert!(sent < 2 * (settings.max_message_bytes + CHUNK_HEADER), "{sent} bytes on their way");
    world.sound();
}
