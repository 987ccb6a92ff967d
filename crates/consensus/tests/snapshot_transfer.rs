//! A snapshot's transfer completes: entries that come in between are retained for its receiver, and who was away gets the newest one.

mod common;

use common::{Cluster, MILLIS, SECOND, settings};
use rainlug_consensus::{MemberId, Settings, Time};

/// Between two changes.
const CHANGE_INTERVAL: Time = 5 * MILLIS;
const PADDING_BYTES: usize = 50;
/// What a change takes in the snapshot of the harness's state machine.
const CHANGE_STATE_BYTES: usize = 16;
/// What a chunk of a snapshot takes beside its bytes, at most.
const CHUNK_HEADER_BYTES: usize = 350;

fn change(cluster: &mut Cluster, change_count: usize) {
    for _ in 0..change_count {
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader, PADDING_BYTES);
        }
        cluster.run_for(CHANGE_INTERVAL);
    }
}

/// Given a member that is down after `before` changes and while `missed` more go on, when it is back and changes still go on, then
/// it lacks none but those in flight after one snapshot.
fn one_snapshot_is_enough(settings: Settings, before: usize, missed: usize) {
    let mut cluster = Cluster::new(1, &[1, 2, 3], settings);
    let leader = cluster.wait_for_leader();
    let away: MemberId = (1..=3).find(|&id| id != leader).expect("a follower");
    change(&mut cluster, before);
    cluster.power_off(away);
    change(&mut cluster, missed);
    cluster.traffic.remove(&away);
    cluster.start(away);
    let since = cluster.now;
    let lacks = |cluster: &Cluster| cluster.history.len() - cluster.nodes[&away].applied.len();
    while lacks(&cluster) > 2 && cluster.now - since < 5 * SECOND {
        change(&mut cluster, 1);
    }
    cluster.assert_sound();
    let state = cluster.history.len() * CHANGE_STATE_BYTES;
    let bytes = cluster.traffic[&away].snapshot_bytes;
    let (restores, time) = (cluster.nodes[&away].restores, (cluster.now - since) / MILLIS);
    println!(
        "{before} + {missed} changes: {time} ms, lacks {}, {restores} snapshots, {bytes} bytes of a state of {state}",
        lacks(&cluster)
    );
    assert!(
        lacks(&cluster) <= 2,
        "it does not catch up in five seconds: {restores} snapshots, {bytes} bytes"
    );
    assert_eq!(restores, 1);
    assert!(
        bytes <= state + (state / settings.max_message_bytes + 1) * CHUNK_HEADER_BYTES,
        "{bytes} bytes for {state}"
    );
}

#[test]
fn given_more_entries_during_a_transfer_than_are_retained_when_it_ends_then_the_log_continues() {
    one_snapshot_is_enough(settings(2), 0, 1_000);
    one_snapshot_is_enough(settings(2), 0, 3_000);
}

#[test]
fn given_a_large_state_when_a_member_is_back_then_it_gets_the_newest_snapshot_and_no_older_one() {
    one_snapshot_is_enough(
        Settings { max_lag_bytes: 6_400, compaction_threshold_bytes: 6_400, ..settings(2) },
        1_000,
        200,
    );
}

#[test]
fn given_a_follower_that_acknowledges_late_when_much_is_proposed_then_few_bytes_are_in_flight_to_it() {
    let settings = Settings { max_lag_bytes: 1_000_000, ..settings(2) };
    let mut cluster = Cluster::new(3, &[1, 2, 3], settings);
    let leader = cluster.wait_for_leader();
    let slow: MemberId = (1..=3).find(|&id| id != leader).expect("a follower");
    cluster.run_for(SECOND);
    cluster.nodes.get_mut(&slow).expect("a node").disk_delay = 2 * SECOND;
    cluster.traffic.remove(&slow);
    for _ in 0..200 {
        cluster.propose(leader, PADDING_BYTES);
    }
    cluster.run_for(100 * MILLIS);
    // One message may go beyond the bound, and each has a head.
    let sent = cluster.traffic[&slow].bytes;
    println!("{sent} bytes");
    assert!(sent < 2 * (settings.max_message_bytes + CHUNK_HEADER_BYTES), "{sent} bytes in flight");
    cluster.assert_sound();
}
