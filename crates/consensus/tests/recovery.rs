//! Crashes at each write: of what a member has asked to save any beginning may be on its disk. From each such disk it goes on,
//! also as one of the two that are left.

mod common;

use common::{Fault, MILLIS, SECOND, World, settings};
use rainlug_consensus::{MemberId, Settings, Time};

/// Between two changes: shorter than it takes to commit one, so that records follow the snapshot in a rewrite.
const PACE: Time = MILLIS;
const PADDING: usize = 50;
/// Changes in one course.
const CHANGES: usize = 60;

/// Whose crash it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Leader,
    Follower,
    /// A follower that was away, and gets a snapshot.
    Returning,
}

fn compacts_often() -> Settings {
    Settings { compaction_threshold_bytes: 1_000, max_lag_bytes: 1_000, ..settings(2) }
}

/// What a course with a crash came to.
#[derive(Debug, PartialEq, Eq)]
enum Course {
    /// Nothing broke.
    Sound,
    Broken(String),
    /// So many writes were never asked for.
    TooShort,
}

/// The member of this role crashes once it has asked for `requested` writes, with just `kept` of the unsynced ones on its disk. It
/// and the member that was away are then the only ones left.
fn crash_at(role: Role, requested: usize, kept: usize, fault: Fault) -> Course {
    let mut world = World::new(7, &[1, 2, 3], compacts_often());
    world.fault = fault;
    let leader = world.elect();
    let followers: Vec<MemberId> = (1..=3).filter(|&id| id != leader).collect();
    let (near, far) = (followers[0], followers[1]);
    let (crashing, helper) = match role {
        Role::Leader => (leader, near),
        Role::Follower => (near, leader),
        Role::Returning => (far, leader),
    };
    world.power_off(if role == Role::Returning { near } else { far });
    if role == Role::Returning {
        // Given that it was away for a while, with the others up.
        world.start(near);
        world.power_off(far);
        change(&mut world, CHANGES, leader);
        world.run_for(SECOND);
        world.power_off(near);
        world.start(far);
    }
    let from = if role == Role::Returning { 0 } else { world.nodes[&crashing].requested };
    if !change_until_requested(&mut world, crashing, from + requested, leader) {
        return Course::TooShort;
    }
    if world.unsynced(crashing) < kept {
        return Course::TooShort;
    }
    world.crash_keeping(crashing, kept);
    world.run_for(20 * MILLIS);
    // When the one that helped it is gone for good, and all others are up.
    world.power_off(helper);
    for id in 1..=3 {
        if id != helper {
            world.start(id);
        }
    }
    match goes_on(&mut world) {
        Err(what) => Course::Broken(what),
        Ok(()) => Course::Sound,
    }
}

fn change(world: &mut World, changes: usize, leader: MemberId) {
    for _ in 0..changes {
        world.propose(leader, PADDING);
        world.run_for(PACE);
    }
}

/// Changes go on until the member has asked for so many writes; whether it has.
fn change_until_requested(world: &mut World, id: MemberId, requested: usize, leader: MemberId) -> bool {
    for _ in 0..CHANGES {
        world.propose(leader, PADDING);
        if world.run_until(PACE, |world| world.nodes[&id].requested >= requested) {
            return true;
        }
    }
    false
}

/// One is elected, takes changes, and answers with the newest state.
fn goes_on(world: &mut World) -> Result<(), String> {
    let up = world.run_until(10 * SECOND, |world| world.leader().is_some());
    let leader = world.leader().filter(|_| up);
    let command = leader.and_then(|leader| world.propose(leader, PADDING));
    let committed =
        command.is_some_and(|command| world.run_until(5 * SECOND, |world| world.is_committed(command)));
    let ticket = leader.and_then(|leader| world.read(leader));
    world.run_for(SECOND);
    if let Some(violation) = world.violation.take() {
        return Err(violation);
    }
    let answered =
        |(leader, ticket): (MemberId, u64)| world.nodes[&leader].reads.get(&ticket) == Some(&Ok(()));
    if !committed || !leader.zip(ticket).is_some_and(answered) {
        return Err(format!("it does not go on: leader {leader:?}, committed: {committed}"));
    }
    Ok(())
}

/// All crashes of a role: how many there were, and what broke.
fn crashes(role: Role, fault: Fault) -> (usize, Vec<String>) {
    let (mut sound, mut broken) = (0, vec![]);
    for requested in 1.. {
        let first = crash_at(role, requested, 0, fault);
        if first == Course::TooShort {
            break;
        }
        let rest = (1..).map(|kept| crash_at(role, requested, kept, fault));
        for course in std::iter::once(first).chain(rest.take_while(|course| *course != Course::TooShort)) {
            match course {
                Course::Broken(what) => broken.push(format!("{role:?}, {requested} writes: {what}")),
                Course::Sound | Course::TooShort => sound += 1,
            }
        }
    }
    (sound, broken)
}

fn all_sound(role: Role, least: usize) {
    let (sound, broken) = crashes(role, Fault::None);
    println!("{role:?}: {sound} crashes");
    assert_eq!(broken, Vec::<String>::new());
    assert!(sound >= least, "{sound}");
}

#[test]
fn given_a_leader_when_it_crashes_at_any_write_then_what_is_left_goes_on() {
    all_sound(Role::Leader, 100);
}

#[test]
fn given_a_follower_when_it_crashes_at_any_write_then_what_is_left_goes_on() {
    all_sound(Role::Follower, 100);
}

#[test]
fn given_a_returning_member_when_it_crashes_at_any_write_then_what_is_left_goes_on() {
    all_sound(Role::Returning, 20);
}

#[test]
fn the_checker_finds_rewrites_that_a_crash_tears() {
    let (_, broken) = crashes(Role::Follower, Fault::TornRewrite);
    assert!(!broken.is_empty());
    println!("{} of the crashes with torn rewrites are found; first: {}", broken.len(), broken[0]);
}

#[test]
fn the_checker_finds_snapshots_that_are_not_whole() {
    let (_, broken) = crashes(Role::Follower, Fault::TornSnapshot);
    assert!(broken.iter().any(|what| what.contains("cannot read its own records")), "{broken:?}");
}

#[test]
fn the_checker_finds_forgotten_terms_and_votes() {
    let found = (0..20).find_map(|seed| {
        let mut world = World::new(seed, &[1, 2, 3], compacts_often());
        world.fault = Fault::NoHardState;
        for _ in 0..6 {
            world.run_until(10 * SECOND, |world| world.leader().is_some());
            (1..=3).for_each(|id| world.power_off(id));
            // What is on its way still tells of the term.
            world.run_for(100 * MILLIS);
            (1..=3).for_each(|id| world.start(id));
        }
        world.run_for(SECOND);
        world.violation.take()
    });
    assert!(found.as_ref().is_some_and(|what| what.contains("two leaders of term")), "{found:?}");
}
