//! Losses one after the other: what was accepted is kept, and the parts of batch jobs decide again before the next loss.

mod common;

use common::{Fleet, configuration, read, settled, submit};
use rainlug_coordinator::{Answer, BATCH_SHARDS, Call};

const MS: i64 = 1_000;
/// After a machine is back with an empty disk, this long passes before another loss.
const BETWEEN_LOSSES: f64 = 5.0;

fn status(answer: Option<Answer>) -> Option<u16> {
    answer.map(|a| a.status)
}

/// Submits until it is accepted, for so many seconds at most.
#[track_caller]
fn accepted(fleet: &mut Fleet, at: usize, id: &str, within: f64) {
    let end = fleet.now + (within * 1e6) as i64;
    while fleet.now < end {
        if status(fleet.ask(at, submit(id, 5), 3.5)) == Some(202) {
            return;
        }
        fleet.pass(0.1);
    }
    panic!("{id} is not accepted within {within} s");
}

#[track_caller]
fn is_whole(fleet: &mut Fleet, at: usize, id: &str) {
    let mut last = None;
    for _ in 0..50 {
        last = fleet.ask(at, read(id), 3.5);
        if last.as_ref().is_some_and(|a| String::from_utf8_lossy(&a.body).contains("\"next_token\":5")) {
            return;
        }
        fleet.pass(0.2);
    }
    panic!("{id} cannot be read whole: {last:?}");
}

fn is_retired(fleet: &mut Fleet, at: usize, store: &str, within: f64) -> bool {
    let end = fleet.now + (within * 1e6) as i64;
    while fleet.now < end {
        let answer = fleet.ask(at, Call::RetirementStatus { store: store.to_owned() }, 2.0);
        if answer.is_some_and(|a| a.body == "{\"state\":\"complete\"}") {
            return true;
        }
        fleet.pass(0.02);
    }
    false
}

/// All stores but these.
fn others(fleet: &Fleet, but: &[usize]) -> Vec<usize> {
    let is_store = |at: &usize| !fleet.machines[*at].gateway && !but.contains(at);
    (0..fleet.machines.len()).filter(is_store).collect()
}

#[test]
fn given_three_stores_when_one_retires_and_another_is_wiped_at_once_then_the_third_goes_on() {
    for seed in 0..12 {
        let mut fleet = settled(3, 2, 3, 700 + seed);
        accepted(&mut fleet, 3, "before", 3.0);
        let retired = 5 + seed as usize % 3;
        let name = fleet.machines[retired].name.clone();
        assert_eq!(status(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0)), Some(200));
        assert!(is_retired(&mut fleet, 0, &name, 8.0), "seed {seed}");
        fleet.kill(retired, true);
        let rest = others(&fleet, &[retired]);
        let wiped = rest[seed as usize / 3 % 2];
        fleet.wipe(wiped);
        fleet.pass(2.0);
        fleet.start(wiped, false);
        accepted(&mut fleet, 2, "between", BETWEEN_LOSSES);
        fleet.pass(BETWEEN_LOSSES);
        // The next loss is that of the disk that had held everything.
        let next = rest[1 - seed as usize / 3 % 2];
        fleet.wipe(next);
        fleet.pass(2.0);
        fleet.start(next, false);
        accepted(&mut fleet, 2, "after", BETWEEN_LOSSES);
        fleet.pass(BETWEEN_LOSSES);
        // All lose power.
        let up: Vec<usize> = (0..fleet.machines.len()).filter(|at| *at != retired).collect();
        up.iter().for_each(|at| fleet.kill(*at, true));
        fleet.pass(1.0);
        up.iter().for_each(|at| fleet.start(*at, false));
        fleet.pass(3.0);
        for job in ["before", "between", "after"] {
            is_whole(&mut fleet, 1, job);
        }
    }
}

#[test]
fn given_two_stores_left_when_another_is_to_retire_then_too_few_would_remain() {
    let mut fleet = settled(3, 1, 3, 31);
    let first = fleet.machines[4].name.clone();
    assert_eq!(status(fleet.ask(0, Call::Retire { store: first.clone() }, 2.0)), Some(200));
    assert!(is_retired(&mut fleet, 0, &first, 8.0));
    fleet.kill(4, true);
    fleet.pass(6.0);
    let second = fleet.machines[5].name.clone();
    assert_eq!(status(fleet.ask(0, Call::Retire { store: second }, 2.0)), Some(409));
    assert_eq!(status(fleet.ask(0, Call::Retire { store: first }, 2.0)), Some(200), "an order sent again");
}

#[test]
fn given_two_stores_left_when_one_goes_for_good_and_an_empty_one_comes_elsewhere_then_it_becomes_a_member() {
    for seed in 0..6 {
        let mut fleet = settled(3, 2, 3, 800 + seed);
        accepted(&mut fleet, 3, "before", 3.0);
        let name = fleet.machines[5].name.clone();
        assert_eq!(status(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0)), Some(200));
        assert!(is_retired(&mut fleet, 0, &name, 8.0), "seed {seed}");
        fleet.kill(5, true);
        let gone = 6 + seed as usize % 2;
        fleet.kill(gone, true);
        fleet.pass(1.0);
        let new = fleet.add(false, true, 1);
        fleet.start(new, false);
        accepted(&mut fleet, 2, "between", 2.0 * BETWEEN_LOSSES);
        fleet.pass(2.0);
        let left = if gone == 6 { 7 } else { 6 };
        fleet.wipe(left);
        fleet.pass(1.0);
        fleet.start(left, false);
        accepted(&mut fleet, 2, "after", BETWEEN_LOSSES);
        for job in ["before", "between", "after"] {
            is_whole(&mut fleet, 1, job);
        }
    }
}

#[test]
fn given_a_store_that_was_fenced_when_it_comes_back_then_it_is_a_new_disk_that_survives_the_next_loss() {
    let mut fleet = settled(3, 2, 3, 900);
    accepted(&mut fleet, 3, "before", 3.0);
    let name = fleet.machines[5].name.clone();
    assert_eq!(status(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0)), Some(200));
    assert!(is_retired(&mut fleet, 0, &name, 8.0));
    fleet.kill(5, true);
    let away = fleet.machines[6].disk.as_ref().map(|d| d.id);
    fleet.kill(6, true);
    let new = fleet.add(false, true, 1);
    fleet.start(new, false);
    accepted(&mut fleet, 2, "between", 2.0 * BETWEEN_LOSSES);
    fleet.pass(3.0);
    fleet.start(6, false);
    fleet.pass(BETWEEN_LOSSES);
    assert_ne!(fleet.machines[6].disk.as_ref().map(|d| d.id), away, "it has another identity");
    // It has a seat again, and two further losses in turn are borne.
    for lost in [7, new] {
        fleet.wipe(lost);
        fleet.pass(1.0);
        fleet.start(lost, false);
        fleet.pass(BETWEEN_LOSSES);
    }
    for job in ["before", "between"] {
        is_whole(&mut fleet, 1, job);
    }
}

#[test]
fn given_a_retiring_store_when_it_loses_its_disk_then_it_is_still_to_go() {
    let mut fleet = settled(3, 2, 4, 41);
    let name = fleet.machines[5].name.clone();
    assert_eq!(status(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0)), Some(200));
    fleet.wipe(5);
    fleet.pass(1.0);
    fleet.start(5, false);
    assert!(is_retired(&mut fleet, 0, &name, 10.0));
    fleet.pass(10.0);
    let seats = |shard| {
        fleet.machines[0].coordinator.as_ref().map(|c| c.shard_status(shard).members).unwrap_or_default()
    };
    assert!((1..=BATCH_SHARDS).all(|shard| seats(shard).iter().all(|m| m.name != name)));
}

#[test]
fn given_seven_stores_that_survive_two_losses_when_three_retire_then_two_at_once_are_still_survived() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(5, 2, 7, 60 + seed);
        fleet.tolerate = 2;
        fleet.start_all();
        fleet.pass(6.0);
        let first = Call::Configure { base: 0, text: configuration(5, "notary") };
        assert_eq!(status(fleet.ask(0, first, 2.0)), Some(200));
        fleet.pass(1.0);
        accepted(&mut fleet, 3, "before", 3.0);
        for retired in [7, 8, 9] {
            let name = fleet.machines[retired].name.clone();
            assert_eq!(status(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0)), Some(200));
            assert!(is_retired(&mut fleet, 0, &name, 12.0), "seed {seed}, {name}");
            fleet.kill(retired, true);
        }
        let fourth = fleet.machines[10].name.clone();
        fleet.pass(6.0);
        assert_eq!(status(fleet.ask(1, Call::Retire { store: fourth }, 2.0)), Some(409));
        // Two of the four that are left, then the two others.
        for pair in [[10, 11], [12, 13]] {
            pair.iter().for_each(|at| fleet.wipe(*at));
            fleet.pass(2.0);
            pair.iter().for_each(|at| fleet.start(*at, false));
            accepted(&mut fleet, 2, &format!("after-{}", pair[0]), BETWEEN_LOSSES);
            fleet.pass(BETWEEN_LOSSES);
        }
        for job in ["before", "after-10", "after-12"] {
            is_whole(&mut fleet, 1, job);
        }
    }
}

#[test]
fn given_two_stores_left_and_no_other_when_one_is_isolated_then_nothing_is_fenced_and_it_goes_on_when_healed()
{
    let mut fleet = settled(3, 2, 3, 77);
    accepted(&mut fleet, 3, "before", 3.0);
    let name = fleet.machines[5].name.clone();
    assert_eq!(status(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0)), Some(200));
    assert!(is_retired(&mut fleet, 0, &name, 8.0));
    fleet.kill(5, true);
    let disks = |fleet: &Fleet| [6, 7].map(|at| fleet.machines[at].disk.as_ref().map(|d| d.id));
    let before = disks(&fleet);
    let rest: Vec<usize> = (0..6).chain([7]).collect();
    fleet.partition(&[6], &rest);
    let refused = fleet.ask(2, submit("during", 5), 4.0);
    assert!(refused.as_ref().is_none_or(|a| a.status >= 500), "{refused:?}");
    fleet.pass(20.0);
    fleet.heal();
    let since = fleet.now;
    accepted(&mut fleet, 2, "after", BETWEEN_LOSSES);
    println!("accepted {} ms after the cut", (fleet.now - since) / MS);
    assert_eq!(disks(&fleet), before);
    is_whole(&mut fleet, 1, "before");
}
