//! A refusal promises that the call has no effect, also where an earlier try of the same call is under way.

mod common;

use std::collections::BTreeSet;

use bytes::Bytes;
use common::{Fleet, MS, jobs_of, settled, submit};
use rainlug_coordinator::{BATCH_SHARDS, Call, shard_of_route};

#[test]
fn given_a_submission_that_waits_for_slow_disks_when_the_route_fills_meanwhile_then_it_is_not_refused_and_run()
 {
    let mut refused = 0;
    for offset in 0..24 {
        let mut fleet = settled(3, 1, 3, 90);
        fleet.run_time = 5_000 * MS;
        for name in ["a", "b", "c", "d"] {
            assert_eq!(fleet.ask(3, submit(name, 200), 3.0).map(|a| a.status), Some(202));
        }
        // Given that the first items end at about 5 s, and commits take over a second from now on.
        fleet.pass(4.5);
        fleet.sync = 1_500 * MS;
        fleet.call(3, submit("filling", 200));
        fleet.pass(0.3 + f64::from(offset) * 0.05);
        // When a submission fits, and its second try finds the route full.
        let answer = fleet.ask(3, submit("late", 100), 4.0);
        fleet.sync = 2 * MS;
        fleet.run_time = 100 * MS;
        fleet.pass(20.0);
        let ran = fleet.runs.iter().any(|(_, job, _)| job == "late");
        let status = answer.map(|a| a.status);
        refused += usize::from(status.is_some_and(|status| [429, 503].contains(&status)));
        assert!(!ran || status.is_none_or(|status| ![429, 503].contains(&status)), "{offset}: {status:?}");
    }
    assert!(refused > 0, "no course had a refusal");
}

/// Members of a part's group, its leader first, by the place of their machines.
fn group(fleet: &Fleet, shard: u16) -> Vec<usize> {
    let leader = fleet.leader(shard).expect("a leader");
    let members = fleet.machines[leader].coordinator.as_ref().expect("it runs").shard_status(shard).members;
    let place = |at| fleet.machines.iter().position(|machine| machine.at == at);
    let others = members.iter().filter_map(|member| place(member.address)).filter(|at| *at != leader);
    [leader].into_iter().chain(others).collect()
}

#[test]
fn given_a_submission_whose_leader_is_killed_when_the_next_one_finds_no_ledger_then_it_is_not_refused_and_run()
 {
    let mut unclear = 0;
    for offset in 0..24 {
        let mut fleet = settled(3, 1, 9, 92 + offset % 3);
        let quota_ledger = shard_of_route("lots");
        let counts = fleet.leader(quota_ledger).expect("a leader");
        // Given a part whose group decides without its leader and without two members of the ledger's group.
        let losses = |shard: u16| -> Vec<usize> {
            let rest = &group(&fleet, shard)[1..];
            group(&fleet, quota_ledger).into_iter().filter(|at| !rest.contains(at)).take(2).collect()
        };
        let serves = |shard: &u16| {
            *shard != quota_ledger && losses(*shard).len() == 2 && fleet.leader(*shard) != Some(counts)
        };
        let shard = (1..=BATCH_SHARDS).find(serves).expect("such a part");
        let (name, lost, leader) = (jobs_of(shard, 1).remove(0), losses(shard), group(&fleet, shard)[0]);
        // When its leader is killed about when it has proposed a job, and the ledger's group decides nothing from then on.
        let ticket = fleet.call(3, submit(&name, 100));
        let figure = format!("part_{quota_ledger}_tokens_counted");
        let is_reserved = |fleet: &Fleet| {
            let metrics = fleet.machines[counts].coordinator.as_ref().expect("it runs").metrics();
            metrics.iter().any(|(found, value)| *found == figure && *value > 0.0)
        };
        assert!(fleet.until(1.0, is_reserved), "{offset}");
        fleet.pass(0.000_3 * offset as f64);
        let killed: BTreeSet<usize> = lost.into_iter().chain([leader]).collect();
        killed.iter().for_each(|at| fleet.kill(*at, true));
        fleet.pass(4.0);
        let status = fleet.answers.get(&ticket).expect("an answer").1.status;
        unclear += usize::from(status == 504);
        killed.iter().for_each(|at| fleet.start(*at, false));
        fleet.pass(5.0);
        let ran = fleet.runs.iter().any(|(_, job, _)| *job == name);
        assert!(status == 504 || ran == (status == 202), "{offset}: {status}");
        assert!(![429, 503].contains(&status), "{offset}: nobody knows that it does not run");
    }
    assert!(unclear > 0, "no course had a refusal after an unresolved try");
}

/// The body of a batch job of 100 items of a kilobyte and more.
fn long_job(name: &str) -> Bytes {
    let body = "q83vEjRW".repeat(150);
    let item = |n| {
        format!(r#"{{"id":"{name}-{n}","path":"/l/{n}","headers":{{}},"body":"{body}","token_count":1}}"#)
    };
    let items: Vec<String> = (0..100).map(item).collect();
    Bytes::from(format!(r#"{{"requests":[{}]}}"#, items.join(",")))
}

#[test]
fn given_a_shard_without_a_leader_when_a_long_job_is_submitted_then_its_bytes_go_only_to_a_leader() {
    let mut fleet = settled(3, 1, 3, 91);
    let [ref first, ref long] = jobs_of(2, 2)[..] else { panic!("two names") };
    // Far more than all the groups say of their elections.
    let request = long_job(long);
    let body = request.len() as u64;
    assert!(body > 100_000);
    // Given that a job was accepted, so that the leader is known, and then two of three stores are without power.
    assert_eq!(fleet.ask(3, submit(first, 200), 3.0).map(|a| a.status), Some(202));
    let stores: Vec<usize> = (0..fleet.machines.len()).filter(|at| !fleet.machines[*at].gateway).collect();
    stores[1..].iter().for_each(|at| fleet.kill(*at, true));
    fleet.pass(2.0);
    let before = fleet.bytes;
    let ticket = fleet.call(3, Call::Submit { job: long.clone(), route: "lots".to_owned(), body: request });
    fleet.pass(1.5);
    assert!(fleet.bytes - before < body / 2, "{} bytes for a job of {body}", fleet.bytes - before);
    // When they are back, then the same call is accepted.
    stores[1..].iter().for_each(|at| fleet.start(*at, false));
    fleet.pass(1.5);
    assert_eq!(fleet.answers.get(&ticket).map(|a| a.1.status), Some(202));
}
