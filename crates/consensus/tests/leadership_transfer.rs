//! Leadership transfer: how long a shard has no leader, and what becomes of a transfer that cannot be made.

mod common;

use common::{Cluster, MILLIS, SECOND, TIMEOUT_NOW, body_code, settings, timeout_now};
use rainlug_consensus::{MemberId, ProposeError, Time, TransferError};

fn settled(seed: u64) -> (Cluster, MemberId, MemberId) {
    let mut cluster = Cluster::new(seed, &[1, 2, 3], settings(2));
    let leader = cluster.wait_for_leader();
    cluster.propose(leader, 0).expect("it leads");
    cluster.run_for(SECOND);
    let target = (1..=3).find(|id| *id != leader).expect("a follower");
    (cluster, leader, target)
}

/// How long nobody but the old leader serves.
fn time_without_leader(cluster: &mut Cluster, old: MemberId) -> Time {
    let since = cluster.now;
    assert!(cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some_and(|leader| leader != old)));
    cluster.now - since
}

#[test]
fn given_an_up_to_date_target_when_leadership_is_transferred_then_it_serves_within_a_few_round_trips() {
    let mut without = vec![];
    for seed in 0..20 {
        let (mut cluster, leader, target) = settled(seed);
        let last = cluster.propose(leader, 100).expect("it leads");
        cluster.transfer_leadership(leader, target).expect("the target is up to date");
        assert!(cluster.propose(leader, 0).is_none(), "no proposals while it hands over");
        without.push(time_without_leader(&mut cluster, leader));
        assert_eq!(cluster.leader(), Some(target), "seed {seed}");
        assert!(cluster.is_committed(last));
        let next = cluster.propose(target, 0).expect("it leads");
        cluster.wait_for_commit(next);
        cluster.run_for(SECOND);
        assert_eq!(cluster.leader(), Some(target), "seed {seed}: nobody else campaigns");
        cluster.assert_sound();
    }
    println!("{without:?} us");
    assert!(without.iter().all(|time| *time < 40 * MILLIS), "{without:?}");
}

#[test]
fn given_a_leader_that_ends_without_a_transfer_when_others_notice_then_that_takes_an_election_timeout() {
    let mut without = vec![];
    for seed in 0..20 {
        let (mut cluster, leader, _) = settled(seed);
        cluster.power_off(leader);
        without.push(time_without_leader(&mut cluster, leader));
    }
    println!("{without:?} us");
    assert!(without.iter().all(|time| *time > 100 * MILLIS), "{without:?}");
}

#[test]
fn given_a_target_that_lacks_much_or_is_no_member_when_a_transfer_is_asked_for_then_it_is_refused() {
    let (mut cluster, leader, target) = settled(30);
    assert_eq!(cluster.transfer_leadership(target, leader), Err(TransferError::NotLeader));
    assert_eq!(cluster.transfer_leadership(leader, 9), Err(TransferError::TargetBehind));
    assert_eq!(cluster.transfer_leadership(leader, leader), Err(TransferError::TargetBehind));
    cluster.isolate(target);
    for _ in 0..4 {
        cluster.propose(leader, 300).expect("it leads");
        cluster.run_for(200 * MILLIS);
    }
    assert_eq!(cluster.transfer_leadership(leader, target), Err(TransferError::TargetBehind));
    let targets = cluster.replica(leader).transfer_targets();
    assert!(targets.iter().all(|member| member.id != target) && targets.len() == 1, "{targets:?}");
    cluster.assert_sound();
}

#[test]
fn given_a_target_that_is_lost_when_leadership_is_transferred_then_the_leader_goes_on_after_an_election_timeout()
 {
    let (mut cluster, leader, target) = settled(31);
    cluster.power_off(target);
    cluster.transfer_leadership(leader, target).expect("it is not known to be lost");
    let third = (1..=3).find(|id| *id != leader && *id != target).expect("another follower");
    assert_eq!(cluster.transfer_leadership(leader, third), Err(TransferError::Busy));
    assert!(cluster.replica(leader).is_transferring_leadership());
    let now = cluster.now;
    let node = cluster.nodes.get_mut(&leader).expect("a node");
    let refused = node.replica.as_mut().expect("it is up").propose(now, vec![0; 8].into());
    assert_eq!(refused, Err(ProposeError::TransferInProgress));
    cluster.run_for(250 * MILLIS);
    assert_eq!(cluster.leader(), Some(leader));
    let command = cluster.propose(leader, 0).expect("it leads and takes proposals again");
    cluster.wait_for_commit(command);
    cluster.assert_sound();
}

#[test]
fn given_an_old_request_to_campaign_when_it_comes_again_then_it_changes_nothing() {
    let (mut cluster, leader, target) = settled(32);
    cluster.recording = Some(target);
    cluster.transfer_leadership(leader, target).expect("the target is up to date");
    time_without_leader(&mut cluster, leader);
    cluster.run_for(SECOND);
    let request = cluster.recorded.iter().find(|bytes| body_code(bytes) == TIMEOUT_NOW).cloned();
    let term = cluster.replica(target).term();
    cluster.replay(target, request.expect("it was sent"));
    cluster.run_for(SECOND);
    assert_eq!((cluster.leader(), cluster.replica(target).term()), (Some(target), term));
    cluster.assert_sound();
}

/// A broken leader that does not wait for its target: safe, as nobody votes for the target, but the shard is without a leader.
#[test]
fn given_a_target_that_lacks_entries_when_it_is_asked_to_campaign_then_it_is_not_elected_and_the_outage_shows()
 {
    let mut without = vec![];
    for seed in 40..60 {
        let (mut cluster, leader, target) = settled(seed);
        cluster.recording = Some(target);
        cluster.run_for(100 * MILLIS);
        let heartbeat = cluster.recorded.last().cloned().expect("a heartbeat");
        cluster.block_link(leader, target);
        let command = cluster.propose(leader, 100).expect("it leads");
        cluster.wait_for_commit(command);
        let third = (1..=3).find(|id| *id != leader && *id != target).expect("another follower");
        cluster.replay(target, timeout_now(&heartbeat));
        let since = cluster.now;
        let is_served = |cluster: &Cluster| {
            let leader = cluster.leader().map(|id| cluster.replica(id));
            leader.is_some_and(|replica| replica.term() >= cluster.replica(third).term())
        };
        cluster.run_for(20 * MILLIS);
        assert_ne!(cluster.leader(), Some(target), "seed {seed}");
        assert!(cluster.run_until(10 * SECOND, is_served), "seed {seed}");
        without.push(cluster.now - since);
        cluster.blocked_links.clear();
        cluster.run_for(SECOND);
        cluster.assert_sound();
        assert!(cluster.is_committed(command));
    }
    println!("{without:?} us");
    assert!(without.iter().all(|time| *time > 40 * MILLIS), "{without:?}");
}
