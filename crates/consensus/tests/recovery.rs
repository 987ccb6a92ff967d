//! Crashes at each write: of what a member has asked to write any beginning may be on its disk. From each such disk it goes on,
//! also as one of the two that are left.

mod common;

use common::{Cluster, Fault, MILLIS, SECOND, settings};
use rainlug_consensus::{MemberId, Settings, Time};

/// Between two changes: shorter than it takes to commit one, so that records follow the snapshot in a rewrite.
const CHANGE_INTERVAL: Time = MILLIS;
const PADDING_BYTES: usize = 50;
/// Changes in one run.
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

/// How a run with a crash ended.
#[derive(Debug, PartialEq, Eq)]
enum CrashOutcome {
    /// Nothing broke.
    Sound,
    Broken(String),
    /// So many writes were never asked for.
    TooShort,
}

/// The member of this role crashes once it has asked for `requested` writes, with just `kept` of the unsynced ones on its disk. It
/// and the member that was away are then the only ones left.
fn crash_at(role: Role, requested_writes: usize, kept: usize, fault: Fault) -> CrashOutcome {
    let mut cluster = Cluster::new(7, &[1, 2, 3], compacts_often());
    cluster.fault = fault;
    let leader = cluster.wait_for_leader();
    let followers: Vec<MemberId> = (1..=3).filter(|&id| id != leader).collect();
    let (near, far) = (followers[0], followers[1]);
    let (crashing, partner) = match role {
        Role::Leader => (leader, near),
        Role::Follower => (near, leader),
        Role::Returning => (far, leader),
    };
    cluster.power_off(if role == Role::Returning { near } else { far });
    if role == Role::Returning {
        // Given that it was away for a while, with the others up.
        cluster.start(near);
        cluster.power_off(far);
        change(&mut cluster, CHANGES, leader);
        cluster.run_for(SECOND);
        cluster.power_off(near);
        cluster.start(far);
    }
    let from = if role == Role::Returning { 0 } else { cluster.nodes[&crashing].requested_writes };
    if !change_until_requested(&mut cluster, crashing, from + requested_writes, leader) {
        return CrashOutcome::TooShort;
    }
    if cluster.unsynced_writes(crashing) < kept {
        return CrashOutcome::TooShort;
    }
    cluster.crash_keeping_writes(crashing, kept);
    cluster.run_for(20 * MILLIS);
    // When the one that helped it is gone for good, and all others are up.
    cluster.power_off(partner);
    for id in 1..=3 {
        if id != partner {
            cluster.start(id);
        }
    }
    match check_progress(&mut cluster) {
        Err(what) => CrashOutcome::Broken(what),
        Ok(()) => CrashOutcome::Sound,
    }
}

fn change(cluster: &mut Cluster, change_count: usize, leader: MemberId) {
    for _ in 0..change_count {
        cluster.propose(leader, PADDING_BYTES);
        cluster.run_for(CHANGE_INTERVAL);
    }
}

/// Changes go on until the member has asked for so many writes; whether it has.
fn change_until_requested(
    cluster: &mut Cluster,
    id: MemberId,
    requested_writes: usize,
    leader: MemberId,
) -> bool {
    for _ in 0..CHANGES {
        cluster.propose(leader, PADDING_BYTES);
        if cluster
            .run_until(CHANGE_INTERVAL, |cluster| cluster.nodes[&id].requested_writes >= requested_writes)
        {
            return true;
        }
    }
    false
}

/// One is elected, takes changes, and answers with the newest state.
fn check_progress(cluster: &mut Cluster) -> Result<(), String> {
    let up = cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some());
    let leader = cluster.leader().filter(|_| up);
    let command = leader.and_then(|leader| cluster.propose(leader, PADDING_BYTES));
    let committed =
        command.is_some_and(|command| cluster.run_until(5 * SECOND, |cluster| cluster.is_committed(command)));
    let ticket = leader.and_then(|leader| cluster.read(leader));
    cluster.run_for(SECOND);
    if let Some(violation) = cluster.violation.take() {
        return Err(violation);
    }
    let answered_reads =
        |(leader, ticket): (MemberId, u64)| cluster.nodes[&leader].reads.get(&ticket) == Some(&Ok(()));
    if !committed || !leader.zip(ticket).is_some_and(answered_reads) {
        return Err(format!("it does not go on: leader {leader:?}, committed: {committed}"));
    }
    Ok(())
}

/// All crashes of a role: how many there were, and what broke.
fn crashes(role: Role, fault: Fault) -> (usize, Vec<String>) {
    let (mut sound, mut broken) = (0, vec![]);
    for requested_writes in 1.. {
        let first = crash_at(role, requested_writes, 0, fault);
        if first == CrashOutcome::TooShort {
            break;
        }
        let rest = (1..).map(|kept| crash_at(role, requested_writes, kept, fault));
        for outcome in
            std::iter::once(first).chain(rest.take_while(|outcome| *outcome != CrashOutcome::TooShort))
        {
            match outcome {
                CrashOutcome::Broken(what) => {
                    broken.push(format!("{role:?}, {requested_writes} writes: {what}"))
                }
                CrashOutcome::Sound | CrashOutcome::TooShort => sound += 1,
            }
        }
    }
    (sound, broken)
}

fn assert_all_sound(role: Role, least: usize) {
    let (sound, broken) = crashes(role, Fault::None);
    println!("{role:?}: {sound} crashes");
    assert_eq!(broken, Vec::<String>::new());
    assert!(sound >= least, "{sound}");
}

#[test]
fn given_a_leader_when_it_crashes_at_any_write_then_the_remaining_members_make_progress() {
    assert_all_sound(Role::Leader, 100);
}

#[test]
fn given_a_follower_when_it_crashes_at_any_write_then_the_remaining_members_make_progress() {
    assert_all_sound(Role::Follower, 100);
}

#[test]
fn given_a_returning_member_when_it_crashes_at_any_write_then_the_remaining_members_make_progress() {
    assert_all_sound(Role::Returning, 20);
}

#[test]
fn given_rewrites_that_a_crash_tears_when_the_member_recovers_then_the_checker_finds_it() {
    let (_, broken) = crashes(Role::Follower, Fault::TornRewrite);
    assert!(!broken.is_empty());
    println!("{} of the crashes with torn rewrites are found; first: {}", broken.len(), broken[0]);
}

#[test]
fn given_incomplete_snapshots_when_the_member_recovers_then_the_checker_finds_it() {
    let (_, broken) = crashes(Role::Follower, Fault::TornSnapshot);
    assert!(broken.iter().any(|what| what.contains("cannot read its own records")), "{broken:?}");
}

#[test]
fn given_a_disk_that_forgets_term_and_vote_when_all_restart_then_the_checker_finds_it() {
    let found = (0..20).find_map(|seed| {
        let mut cluster = Cluster::new(seed, &[1, 2, 3], compacts_often());
        cluster.fault = Fault::NoHardState;
        for _ in 0..6 {
            cluster.run_until(10 * SECOND, |cluster| cluster.leader().is_some());
            (1..=3).for_each(|id| cluster.power_off(id));
            // What is in flight still has the term.
            cluster.run_for(100 * MILLIS);
            (1..=3).for_each(|id| cluster.start(id));
        }
        cluster.run_for(SECOND);
        cluster.violation.take()
    });
    assert!(found.as_ref().is_some_and(|what| what.contains("two leaders of term")), "{found:?}");
}
