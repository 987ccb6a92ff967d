//! What a group does, told as given, when, then.

mod common;

use common::{MILLIS, SECOND, World, member, members, settings};
use rainlug_consensus::{ProposeError, Replica};

fn three(seed: u64) -> (World, u64) {
    let mut world = World::new(seed, &[1, 2, 3], settings(2));
    let leader = world.elect();
    (world, leader)
}

fn others(leader: u64) -> Vec<u64> {
    (1..=3).filter(|&id| id != leader).collect()
}

fn is_ok(world: &World, id: u64, ticket: u64) -> bool {
    world.nodes[&id].reads.get(&ticket) == Some(&Ok(()))
}

#[test]
fn a_group_elects_one_and_commits() {
    let (mut world, leader) = three(1);
    let command = world.propose(leader, 0).expect("it leads");
    world.commit(command);
    world.run_for(SECOND);
    // All have heard of it, and of who leads.
    for id in 1..=3 {
        assert_eq!(world.nodes[&id].applied.len(), 1);
        assert_eq!(world.replica(id).leader(), Some(&member(leader)));
    }
    assert!(world.replica(leader).replication_lag().iter().all(|lag| lag.entries == 0));
    world.sound();
}

#[test]
fn followers_hear_of_a_commit_before_the_next_heartbeat() {
    let (mut world, leader) = three(2);
    world.run_for(SECOND);
    world.propose(leader, 0).expect("it leads");
    // There and back, two disks, and there again.
    world.run_for(8 * MILLIS);
    assert!(world.nodes.values().all(|node| node.applied.len() == 1));
}

#[test]
fn one_alone_commits_and_reads() {
    let mut world = World::new(3, &[1], settings(2));
    assert_eq!(world.elect(), 1);
    let command = world.propose(1, 0).expect("it leads");
    world.commit(command);
    let ticket = world.read(1).expect("it is up");
    assert!(is_ok(&world, 1, ticket));
    world.power_off(1);
    world.start(1);
    world.elect();
    assert_eq!(world.nodes[&1].applied.len(), 1);
}

#[test]
fn a_leader_is_killed_and_another_has_all() {
    let (mut world, leader) = three(4);
    let command = world.propose(leader, 0).expect("it leads");
    world.commit(command);
    world.power_off(leader);
    let since = world.now;
    let next = world.elect();
    assert!(next != leader && world.now - since < SECOND, "{} us", world.now - since);
    assert_eq!(world.nodes[&next].applied.len(), 1);
    world.sound();
}

#[test]
fn a_leader_that_speaks_but_does_not_hear_steps_down() {
    let (mut world, leader) = three(5);
    for other in others(leader) {
        world.cut(other, leader);
    }
    let term = world.replica(leader).term();
    assert!(world.run_until(SECOND, |world| !world.replica(leader).is_serving_leader()));
    assert!(world.run_until(2 * SECOND, |world| world.leader().is_some_and(|next| next != leader)));
    assert!(world.replica(world.leader().expect("one leads")).term() > term);
    world.sound();
}

#[test]
fn one_that_does_not_hear_does_not_disturb() {
    let (mut world, leader) = three(6);
    let deaf = others(leader)[0];
    for id in 1..=3 {
        world.cut(id, deaf);
    }
    let term = world.replica(leader).term();
    world.run_for(10 * SECOND);
    assert_eq!((world.leader(), world.replica(leader).term()), (Some(leader), term));
    world.cuts.clear();
    world.run_for(2 * SECOND);
    assert_eq!((world.leader(), world.replica(leader).term()), (Some(leader), term));
    assert_eq!(world.replica(deaf).leader(), Some(&member(leader)));
}

#[test]
fn what_is_acknowledged_outlives_a_disk_while_all_others_lose_power() {
    for seed in 0..20 {
        let (mut world, leader) = three(seed);
        // One is out of reach, so only two disks have it.
        let far = others(leader)[0];
        world.isolate(far);
        let command = world.propose(leader, 0).expect("it leads");
        world.commit(command);
        let has_it = others(leader)[1];
        let lost = if seed % 2 == 0 { leader } else { has_it };
        let left = if seed % 2 == 0 { has_it } else { leader };
        let new = world.wipe(lost);
        world.power_off(left);
        world.power_off(far);
        world.cuts.clear();
        world.start(far);
        // One that lacks it is not enough, and the new id has no vote.
        world.run_for(5 * SECOND);
        assert_eq!(world.leader(), None);
        world.start(left);
        let next = world.elect();
        assert_eq!(next, left);
        assert!(world.nodes[&next].applied.iter().any(|(_, id)| *id == command));
        let group = members(&[left, far, new]);
        world.change(next, group.clone()).expect("the group is at rest");
        assert!(world.run_until(5 * SECOND, |world| world.replica(new).members() == &group[..]
            && world.replica(new).is_replica_set_committed()));
        world.run_for(SECOND);
        assert_eq!(world.nodes[&new].applied, world.history);
        world.sound();
    }
}

#[test]
fn a_swapped_group_forgets_the_old_member_also_after_a_power_loss() {
    let (mut world, leader) = three(8);
    let gone = others(leader)[0];
    let stays = others(leader)[1];
    let new = world.wipe(gone);
    world.change(leader, members(&[leader, stays, new])).expect("the group is at rest");
    assert!(world.run_until(5 * SECOND, |world| world.replica(new).is_replica_set_committed()
        && !world.replica(new).members().is_empty()));
    world.run_for(SECOND);
    for id in [leader, stays, new] {
        world.power_off(id);
    }
    // The old member never comes back, and one of the old group does not either.
    world.start(leader);
    world.start(new);
    world.elect();
    world.sound();
}

#[test]
fn a_group_grows_to_five_and_shrinks() {
    let (mut world, mut leader) = three(9);
    let mut ids = vec![1, 2, 3];
    for id in [4, 5] {
        world.add(id, vec![]);
        ids.push(id);
        world.change(leader, members(&ids)).expect("the group is at rest");
        // One change at a time.
        assert_eq!(world.change(leader, members(&[1, 2, 3])), Err(ProposeError::ChangeInProgress));
        assert!(world.run_until(5 * SECOND, |world| world.replica(id).members().len() == ids.len()
            && world.replica(id).is_replica_set_committed()));
    }
    let command = world.propose(leader, 0).expect("it leads");
    world.commit(command);
    // Two of five may go.
    for id in [4, 5] {
        world.power_off(id);
    }
    let command = world.propose(leader, 0).expect("it leads");
    world.commit(command);
    for id in [4, 5] {
        world.start(id);
    }
    world.run_for(SECOND);
    // A leader that leaves hands over.
    ids.retain(|&id| id != leader);
    world.change(leader, members(&ids)).expect("the group is at rest");
    let left = leader;
    assert!(world.run_until(5 * SECOND, |world| world.leader().is_some_and(|next| next != left)));
    leader = world.leader().expect("one leads");
    assert_eq!(world.replica(leader).members(), &members(&ids)[..]);
    assert!(world.replica(leader).is_replica_set_committed());
    world.run_for(5 * SECOND);
    assert_eq!(world.leader(), Some(leader));
    world.sound();
}

#[test]
fn a_change_by_more_than_one_is_refused() {
    let (mut world, leader) = three(10);
    world.add(4, vec![]);
    world.add(5, vec![]);
    assert_eq!(world.change(leader, members(&[1, 2, 3, 4, 5])), Err(ProposeError::ChangeInProgress));
    assert_eq!(world.change(leader, members(&[])), Err(ProposeError::ChangeInProgress));
    assert_eq!(world.change(leader, members(&[1, 2, 2])), Err(ProposeError::ChangeInProgress));
    let follower = others(leader)[0];
    assert_eq!(
        world.change(follower, members(&[1, 2, 3, 4])),
        Err(ProposeError::NotLeader(Some(member(leader))))
    );
}

#[test]
fn one_far_behind_gets_a_snapshot_in_pieces() {
    let (mut world, leader) = three(11);
    let far = others(leader)[0];
    world.power_off(far);
    for _ in 0..300 {
        world.propose(leader, 50).expect("it leads");
        world.run_for(5 * MILLIS);
    }
    assert!(world.nodes[&leader].disk.len() < 200, "its records are rewritten");
    world.start(far);
    assert!(world.run_until(10 * SECOND, |world| world.nodes[&far].applied.len() == 300));
    // Pieces, and heads.
    assert!(world.longest < 400 + 600, "{}", world.longest);
    // And it recovers from it.
    world.run_for(SECOND);
    world.power_off(far);
    world.start(far);
    assert!(world.run_until(SECOND, |world| world.nodes[&far].applied.len() == 300));
    world.sound();
}

#[test]
fn a_frozen_leader_wakes_and_answers_no_read() {
    let (mut world, leader) = three(12);
    world.run_for(SECOND);
    world.freeze(leader, 3 * SECOND);
    world.run_for(2 * SECOND);
    let next = world.leader().expect("one leads");
    assert_ne!(next, leader);
    let command = world.propose(next, 0).expect("it leads");
    world.commit(command);
    assert!(world.replica(leader).is_serving_leader(), "it does not know yet");
    // The first that it does when it wakes is to answer a read.
    world.run_until(2 * SECOND, |world| world.now >= world.nodes[&leader].frozen_until - MILLIS);
    let ticket = world.read(leader).expect("it is up");
    assert!(matches!(world.nodes[&leader].reads[&ticket], Err(ProposeError::NotLeader(_))));
    world.run_for(2 * SECOND);
    assert_eq!(world.replica(leader).leader(), Some(&member(next)));
    world.sound();
}

#[test]
fn a_frozen_follower_wakes_and_does_not_stand() {
    let (mut world, leader) = three(13);
    world.run_for(SECOND);
    let follower = others(leader)[0];
    let term = world.replica(leader).term();
    world.freeze(follower, 3 * SECOND);
    world.run_for(5 * SECOND);
    assert_eq!((world.leader(), world.replica(follower).term()), (Some(leader), term));
}

#[test]
fn a_read_waits_for_a_round_of_the_group() {
    let (mut world, leader) = three(14);
    world.run_for(SECOND);
    let (one, two) = (world.read(leader).expect("it is up"), world.read(leader).expect("it is up"));
    assert!(!is_ok(&world, leader, one));
    // There and back.
    world.run_for(3 * MILLIS);
    assert!(is_ok(&world, leader, one) && is_ok(&world, leader, two));
    world.isolate(leader);
    let ticket = world.read(leader).expect("it is up");
    world.run_for(SECOND);
    assert!(matches!(world.nodes[&leader].reads[&ticket], Err(ProposeError::NotLeader(_))));
    world.sound();
}

#[test]
fn big_commands_go_through() {
    let (mut world, leader) = three(15);
    let command = world.propose(leader, 1 << 20).expect("it leads");
    world.commit(command);
    world.run_for(SECOND);
    assert!(world.nodes.values().all(|node| node.applied.len() == 1));
    world.sound();
}

#[test]
fn what_cannot_be_read_changes_nothing() {
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

/// Given a group that loses power and comes back, when nobody leads, then one does within an election time: it need not wait as
/// long as for a leader that was heard.
#[test]
fn a_group_that_starts_again_elects_soon() {
    for seed in 0..20 {
        let mut world = World::new(seed, &[1, 2, 3], settings(2));
        assert!(world.run_until(2 * SECOND, |world| world.leader().is_some()));
        for id in 1..=3 {
            world.power_off(id);
        }
        world.run_for(SECOND);
        for id in 1..=3 {
            world.start(id);
        }
        let since = world.now;
        assert!(world.run_until(2 * SECOND, |world| world.leader().is_some()));
        assert!(world.now - since <= world.settings.election_timeout, "seed {seed}: {}", world.now - since);
    }
}
