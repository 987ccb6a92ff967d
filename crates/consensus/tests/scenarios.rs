//! Scenarios of a replica set: elections, commits, reads, changes of its members.

mod common;

use common::{Cluster, MILLIS, SECOND, member, members, settings};
use rainlug_consensus::{ProposeError, Replica};

fn three(seed: u64) -> (Cluster, u64) {
    let mut cluster = Cluster::new(seed, &[1, 2, 3], settings(2));
    let leader = cluster.wait_for_leader();
    (cluster, leader)
}

fn others(leader: u64) -> Vec<u64> {
    (1..=3).filter(|&id| id != leader).collect()
}

fn is_read_answered(cluster: &Cluster, id: u64, ticket: u64) -> bool {
    cluster.nodes[&id].reads.get(&ticket) == Some(&Ok(()))
}

#[test]
fn given_three_members_when_they_start_then_they_elect_a_leader_and_commit() {
    let (mut cluster, leader) = three(1);
    let command = cluster.propose(leader, 0).expect("it leads");
    cluster.wait_for_commit(command);
    cluster.run_for(SECOND);
    // All have it, and know who leads.
    for id in 1..=3 {
        assert_eq!(cluster.nodes[&id].applied.len(), 1);
        assert_eq!(cluster.replica(id).leader(), Some(&member(leader)));
    }
    assert!(cluster.replica(leader).replication_lag().iter().all(|lag| lag.entries == 0));
    cluster.assert_sound();
}

#[test]
fn given_a_committed_command_when_followers_are_told_then_they_apply_it_before_the_next_heartbeat() {
    let (mut cluster, leader) = three(2);
    cluster.run_for(SECOND);
    cluster.propose(leader, 0).expect("it leads");
    // There and back, two disks, and there again.
    cluster.run_for(8 * MILLIS);
    assert!(cluster.nodes.values().all(|node| node.applied.len() == 1));
}

#[test]
fn given_a_single_member_when_it_starts_then_it_commits_and_reads() {
    let mut cluster = Cluster::new(3, &[1], settings(2));
    assert_eq!(cluster.wait_for_leader(), 1);
    let command = cluster.propose(1, 0).expect("it leads");
    cluster.wait_for_commit(command);
    let ticket = cluster.read(1).expect("it is up");
    assert!(is_read_answered(&cluster, 1, ticket));
    cluster.power_off(1);
    cluster.start(1);
    cluster.wait_for_leader();
    assert_eq!(cluster.nodes[&1].applied.len(), 1);
}

#[test]
fn given_a_committed_command_when_the_leader_loses_power_then_the_next_leader_has_it() {
    let (mut cluster, leader) = three(4);
    let command = cluster.propose(leader, 0).expect("it leads");
    cluster.wait_for_commit(command);
    cluster.power_off(leader);
    let since = cluster.now;
    let next = cluster.wait_for_leader();
    assert!(next != leader && cluster.now - since < SECOND, "{} us", cluster.now - since);
    assert_eq!(cluster.nodes[&next].applied.len(), 1);
    cluster.assert_sound();
}

#[test]
fn given_a_leader_that_sends_but_receives_nothing_when_an_election_timeout_passes_then_it_steps_down() {
    let (mut cluster, leader) = three(5);
    for other in others(leader) {
        cluster.block_link(other, leader);
    }
    let term = cluster.replica(leader).term();
    assert!(cluster.run_until(SECOND, |cluster| !cluster.replica(leader).is_serving_leader()));
    assert!(cluster.run_until(2 * SECOND, |cluster| cluster.leader().is_some_and(|next| next != leader)));
    assert!(cluster.replica(cluster.leader().expect("one leads")).term() > term);
    cluster.assert_sound();
}

#[test]
fn given_a_member_that_receives_nothing_when_it_campaigns_then_the_leader_stays() {
    let (mut cluster, leader) = three(6);
    let unreachable = others(leader)[0];
    for id in 1..=3 {
        cluster.block_link(id, unreachable);
    }
    let term = cluster.replica(leader).term();
    cluster.run_for(10 * SECOND);
    assert_eq!((cluster.leader(), cluster.replica(leader).term()), (Some(leader), term));
    cluster.blocked_links.clear();
    cluster.run_for(2 * SECOND);
    assert_eq!((cluster.leader(), cluster.replica(leader).term()), (Some(leader), term));
    assert_eq!(cluster.replica(unreachable).leader(), Some(&member(leader)));
}

#[test]
fn given_a_committed_command_when_a_disk_is_lost_and_all_lose_power_then_it_is_kept() {
    for seed in 0..20 {
        let (mut cluster, leader) = three(seed);
        // One is out of reach, so only two disks have it.
        let far = others(leader)[0];
        cluster.isolate(far);
        let command = cluster.propose(leader, 0).expect("it leads");
        cluster.wait_for_commit(command);
        let has_it = others(leader)[1];
        let lost = if seed % 2 == 0 { leader } else { has_it };
        let left = if seed % 2 == 0 { has_it } else { leader };
        let new = cluster.wipe_disk(lost);
        cluster.power_off(left);
        cluster.power_off(far);
        cluster.blocked_links.clear();
        cluster.start(far);
        // One that lacks it is not enough, and the new id has no vote.
        cluster.run_for(5 * SECOND);
        assert_eq!(cluster.leader(), None);
        cluster.start(left);
        let next = cluster.wait_for_leader();
        assert_eq!(next, left);
        assert!(cluster.nodes[&next].applied.iter().any(|(_, id)| *id == command));
        let replica_set = members(&[left, far, new]);
        cluster.change_replica_set(next, replica_set.clone()).expect("no change is in progress");
        assert!(cluster.run_until(5 * SECOND, |cluster| cluster.replica(new).members() == &replica_set[..]
            && cluster.replica(new).is_replica_set_committed()));
        cluster.run_for(SECOND);
        assert_eq!(cluster.nodes[&new].applied, cluster.history);
        cluster.assert_sound();
    }
}

#[test]
fn given_a_swapped_member_when_all_lose_power_then_the_new_replica_set_elects_without_the_old_member() {
    let (mut cluster, leader) = three(8);
    let gone = others(leader)[0];
    let stays = others(leader)[1];
    let new = cluster.wipe_disk(gone);
    cluster.change_replica_set(leader, members(&[leader, stays, new])).expect("no change is in progress");
    assert!(cluster.run_until(5 * SECOND, |cluster| cluster.replica(new).is_replica_set_committed()
        && !cluster.replica(new).members().is_empty()));
    cluster.run_for(SECOND);
    for id in [leader, stays, new] {
        cluster.power_off(id);
    }
    // The old member never comes back, and one of the old replica set does not either.
    cluster.start(leader);
    cluster.start(new);
    cluster.wait_for_leader();
    cluster.assert_sound();
}

#[test]
fn given_three_members_when_two_join_and_the_leader_leaves_then_the_others_go_on() {
    let (mut cluster, mut leader) = three(9);
    let mut ids = vec![1, 2, 3];
    for id in [4, 5] {
        cluster.add(id, vec![]);
        ids.push(id);
        cluster.change_replica_set(leader, members(&ids)).expect("no change is in progress");
        // One change at a time.
        assert_eq!(
            cluster.change_replica_set(leader, members(&[1, 2, 3])),
            Err(ProposeError::ChangeInProgress)
        );
        assert!(cluster.run_until(5 * SECOND, |cluster| cluster.replica(id).members().len() == ids.len()
            && cluster.replica(id).is_replica_set_committed()));
    }
    let command = cluster.propose(leader, 0).expect("it leads");
    cluster.wait_for_commit(command);
    // Two of five may go.
    for id in [4, 5] {
        cluster.power_off(id);
    }
    let command = cluster.propose(leader, 0).expect("it leads");
    cluster.wait_for_commit(command);
    for id in [4, 5] {
        cluster.start(id);
    }
    cluster.run_for(SECOND);
    // A leader that leaves hands over.
    ids.retain(|&id| id != leader);
    cluster.change_replica_set(leader, members(&ids)).expect("no change is in progress");
    let left = leader;
    assert!(cluster.run_until(5 * SECOND, |cluster| cluster.leader().is_some_and(|next| next != left)));
    leader = cluster.leader().expect("one leads");
    assert_eq!(cluster.replica(leader).members(), &members(&ids)[..]);
    assert!(cluster.replica(leader).is_replica_set_committed());
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    cluster.assert_sound();
}

#[test]
fn given_a_replica_set_when_a_change_by_more_than_one_is_proposed_then_it_is_rejected() {
    let (mut cluster, leader) = three(10);
    cluster.add(4, vec![]);
    cluster.add(5, vec![]);
    assert_eq!(
        cluster.change_replica_set(leader, members(&[1, 2, 3, 4, 5])),
        Err(ProposeError::ChangeInProgress)
    );
    assert_eq!(cluster.change_replica_set(leader, members(&[])), Err(ProposeError::ChangeInProgress));
    assert_eq!(cluster.change_replica_set(leader, members(&[1, 2, 2])), Err(ProposeError::ChangeInProgress));
    let follower = others(leader)[0];
    assert_eq!(
        cluster.change_replica_set(follower, members(&[1, 2, 3, 4])),
        Err(ProposeError::NotLeader(Some(member(leader))))
    );
}

#[test]
fn given_a_follower_far_behind_when_it_is_back_then_it_gets_a_snapshot_in_chunks() {
    let (mut cluster, leader) = three(11);
    let far = others(leader)[0];
    cluster.power_off(far);
    for _ in 0..300 {
        cluster.propose(leader, 50).expect("it leads");
        cluster.run_for(5 * MILLIS);
    }
    assert!(cluster.nodes[&leader].disk.len() < 200, "its records are rewritten");
    cluster.start(far);
    assert!(cluster.run_until(10 * SECOND, |cluster| cluster.nodes[&far].applied.len() == 300));
    // Chunks, and headers.
    assert!(cluster.longest_message_bytes < 400 + 600, "{}", cluster.longest_message_bytes);
    // And it recovers from it.
    cluster.run_for(SECOND);
    cluster.power_off(far);
    cluster.start(far);
    assert!(cluster.run_until(SECOND, |cluster| cluster.nodes[&far].applied.len() == 300));
    cluster.assert_sound();
}

#[test]
fn given_a_frozen_leader_when_it_wakes_then_it_answers_no_read() {
    let (mut cluster, leader) = three(12);
    cluster.run_for(SECOND);
    cluster.freeze(leader, 3 * SECOND);
    cluster.run_for(2 * SECOND);
    let next = cluster.leader().expect("one leads");
    assert_ne!(next, leader);
    let command = cluster.propose(next, 0).expect("it leads");
    cluster.wait_for_commit(command);
    assert!(cluster.replica(leader).is_serving_leader(), "it does not know yet");
    // The first that it does when it wakes is to answer a read.
    cluster.run_until(2 * SECOND, |cluster| cluster.now >= cluster.nodes[&leader].frozen_until - MILLIS);
    let ticket = cluster.read(leader).expect("it is up");
    assert!(matches!(cluster.nodes[&leader].reads[&ticket], Err(ProposeError::NotLeader(_))));
    cluster.run_for(2 * SECOND);
    assert_eq!(cluster.replica(leader).leader(), Some(&member(next)));
    cluster.assert_sound();
}

#[test]
fn given_a_frozen_follower_when_it_wakes_then_it_does_not_campaign() {
    let (mut cluster, leader) = three(13);
    cluster.run_for(SECOND);
    let follower = others(leader)[0];
    let term = cluster.replica(leader).term();
    cluster.freeze(follower, 3 * SECOND);
    cluster.run_for(5 * SECOND);
    assert_eq!((cluster.leader(), cluster.replica(follower).term()), (Some(leader), term));
}

#[test]
fn given_a_read_when_a_quorum_has_not_answered_a_round_then_it_waits() {
    let (mut cluster, leader) = three(14);
    cluster.run_for(SECOND);
    let (one, two) = (cluster.read(leader).expect("it is up"), cluster.read(leader).expect("it is up"));
    assert!(!is_read_answered(&cluster, leader, one));
    // There and back.
    cluster.run_for(3 * MILLIS);
    assert!(is_read_answered(&cluster, leader, one) && is_read_answered(&cluster, leader, two));
    cluster.isolate(leader);
    let ticket = cluster.read(leader).expect("it is up");
    cluster.run_for(SECOND);
    assert!(matches!(cluster.nodes[&leader].reads[&ticket], Err(ProposeError::NotLeader(_))));
    cluster.assert_sound();
}

#[test]
fn given_a_command_larger_than_a_message_when_it_is_proposed_then_it_is_applied() {
    let (mut cluster, leader) = three(15);
    let command = cluster.propose(leader, 1 << 20).expect("it leads");
    cluster.wait_for_commit(command);
    cluster.run_for(SECOND);
    assert!(cluster.nodes.values().all(|node| node.applied.len() == 1));
    cluster.assert_sound();
}

#[test]
fn given_malformed_bytes_when_they_are_received_or_recovered_then_nothing_changes() {
    let mut replica = Replica::new(member(1), members(&[1, 2, 3]), settings(2), 1, 0);
    for length in 0..200_u8 {
        let bytes: bytes::Bytes = (0..length).map(|byte| byte.wrapping_mul(37)).collect();
        let _ = replica.receive(0, &bytes);
    }
    assert_eq!(replica.term(), 0);
    assert!(replica.take_ready().messages.is_empty());
    let record = bytes::Bytes::from_static(&[9, 9, 9]);
    assert!(Replica::recover(member(1), vec![], settings(2), &[record], 1, 0).is_err());
}

/// Nobody had contact to a leader, so nobody waits for one as long as otherwise.
#[test]
fn given_a_power_loss_of_all_when_they_restart_then_a_leader_is_elected_within_an_election_timeout() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, &[1, 2, 3], settings(2));
        assert!(cluster.run_until(2 * SECOND, |cluster| cluster.leader().is_some()));
        for id in 1..=3 {
            cluster.power_off(id);
        }
        cluster.run_for(SECOND);
        for id in 1..=3 {
            cluster.start(id);
        }
        let since = cluster.now;
        assert!(cluster.run_until(2 * SECOND, |cluster| cluster.leader().is_some()));
        assert!(
            cluster.now - since <= cluster.settings.election_timeout,
            "seed {seed}: {}",
            cluster.now - since
        );
    }
}
