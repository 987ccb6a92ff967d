//! A refusal promises that the call has no effect, also where an earlier try of the same call is under way.

mod common;

use common::{MS, lot, settled};
use rainlug_coordinator::Call;

fn submit(id: &str, items: usize) -> Call {
    Call::Submit { lot: id.to_owned(), route: "lots".to_owned(), body: lot(id, items) }
}

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
        let ran = fleet.runs.iter().any(|(_, lot, _)| lot == "late");
        let status = answer.map(|a| a.status);
        refused += usize::from(status == Some(504));
        assert!(!ran || status.is_none_or(|status| ![429, 503].contains(&status)), "{offset}: {status:?}");
    }
    assert!(refused > 0, "no course had a refusal after an unresolved try");
}

#[test]
fn given_a_part_without_a_leader_when_a_long_job_is_submitted_then_its_bytes_go_only_to_a_leader() {
    let mut fleet = settled(3, 1, 3, 91);
    let body = lot("long", 200).len() as u64;
    assert!(body > 20_000);
    // Given that a job was accepted, so that the leader is known, and then two of three stores are without power.
    assert_eq!(fleet.ask(3, submit("first", 200), 3.0).map(|a| a.status), Some(202));
    let stores: Vec<usize> = (0..fleet.machines.len()).filter(|at| !fleet.machines[*at].gateway).collect();
    stores[1..].iter().for_each(|at| fleet.kill(*at, true));
    fleet.pass(2.0);
    let before = fleet.bytes;
    let ticket = fleet.call(3, submit("long", 200));
    fleet.pass(1.5);
    assert!(fleet.bytes - before < body, "{} bytes for a job of {body}", fleet.bytes - before);
    // When they are back, then the same call is accepted.
    stores[1..].iter().for_each(|at| fleet.start(*at, false));
    fleet.pass(1.5);
    assert_eq!(fleet.answers.get(&ticket).map(|a| a.1.status), Some(202));
}
