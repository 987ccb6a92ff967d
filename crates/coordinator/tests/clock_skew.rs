//! Times of day differ between machines: nothing is given up before its time.

mod common;

use common::{Fleet, MS, job, settled};
use rainlug_coordinator::{Call, shard_of_job};

/// By how much a later leader's time of day is ahead.
const SKEW: i64 = 2_500 * MS;
/// `retain_s` of the route.
const RETAIN: f64 = 40.0;

fn listed(fleet: &mut Fleet) -> String {
    let read = Call::Read { job: "slow".to_owned(), since: 0, wait: 0 };
    let answer = fleet.ask(1, read, 3.0).expect("an answer");
    String::from_utf8_lossy(&answer.body).into_owned()
}

#[test]
fn given_a_leader_whose_clock_is_ahead_when_it_takes_over_then_no_item_is_abandoned_before_its_time() {
    let mut fleet = settled(3, 1, 3, 17);
    fleet.run_time = 600_000 * MS;
    let submit = Call::Submit { job: "slow".to_owned(), route: "lots".to_owned(), body: job("slow", 5) };
    assert_eq!(fleet.ask(0, submit, 3.0).map(|a| a.status), Some(202));
    let sent = fleet.now;
    let stores: Vec<usize> = (0..fleet.machines.len()).filter(|at| !fleet.machines[*at].gateway).collect();
    let leader = fleet.leader(shard_of_job("slow")).expect("one leads");
    stores.iter().filter(|at| **at != leader).for_each(|at| fleet.machines[*at].skew = SKEW);
    fleet.kill(leader, true);
    let since = |fleet: &Fleet| (fleet.now - sent) as f64 / 1e6;
    while since(&fleet) < RETAIN - 0.5 {
        fleet.pass(0.5);
        let text = listed(&mut fleet);
        assert!(!text.contains("abandoned"), "after {} s: {text}", since(&fleet));
    }
    fleet.pass(8.0);
    let text = listed(&mut fleet);
    assert!(text.contains("abandoned"), "after {} s: {text}", since(&fleet));
}
