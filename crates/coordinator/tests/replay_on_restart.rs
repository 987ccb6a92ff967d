//! Stores that restart with a long log: it is applied part by part, and other things are done between two parts.

mod common;

use common::{Fleet, settled};
use rainlug_consensus::MAX_APPLY_BYTES;
use rainlug_coordinator::Call;

const JOBS: usize = 400;
const ITEMS: usize = 8;
/// So many of them may wait at once.
const QUEUED: usize = 100;
/// Bytes by which a state grows in one part, at most: an item's place in it takes more than its command.
const MOST_GROWTH: f64 = 1.5 * MAX_APPLY_BYTES as f64;
const STORES: std::ops::Range<usize> = 3..6;

fn submit(id: &str) -> Call {
    common::submit(id, ITEMS)
}

fn name(number: usize) -> String {
    format!("lot-{number}")
}

/// Bytes of the state that a store holds of all parts.
fn state_bytes(fleet: &Fleet, store: usize) -> f64 {
    let metrics = fleet.machines[store].coordinator.as_ref().map(|c| c.metrics()).unwrap_or_default();
    let is_state =
        |name: &str| name.starts_with("part_") && name.ends_with("_bytes") && !name.contains("file");
    metrics.iter().filter(|(name, _)| is_state(name)).map(|(_, value)| value).sum()
}

/// How many batch jobs can be read whole.
fn whole(fleet: &mut Fleet) -> usize {
    let end = format!("\"next_token\":{ITEMS}");
    let is_whole = |fleet: &mut Fleet, number: usize| {
        let read = Call::Read { job: name(number), since: 0, wait: 0 };
        let answer = fleet.ask(0, read, 3.5);
        answer.is_some_and(|answer| String::from_utf8_lossy(&answer.body).contains(&end))
    };
    (0..JOBS).filter(|&number| is_whole(fleet, number)).count()
}

#[test]
fn given_a_long_log_when_all_stores_restart_then_it_is_applied_in_parts_and_nothing_is_missing() {
    let mut fleet = settled(3, 0, 3, 11);
    // Given that no rewrite shortens the logs.
    fleet.rewrites_put_off = 1.0;
    for number in 0..JOBS {
        let answer = fleet.ask(0, submit(&name(number)), 3.5);
        assert_eq!(answer.map(|answer| answer.status), Some(202));
        if number % QUEUED == QUEUED - 1 {
            fleet.pass(5.0);
        }
    }
    assert_eq!(whole(&mut fleet), JOBS);
    let before: Vec<f64> = STORES.map(|store| state_bytes(&fleet, store)).collect();
    for store in STORES {
        fleet.kill(store, true);
    }
    fleet.pass(1.0);
    for store in STORES {
        fleet.start(store, false);
    }
    // When they come back, then between two calls a store has a part of its state, and says that it is to be called at once.
    let mut sizes: Vec<Vec<f64>> = vec![vec![]; STORES.len()];
    let mut idle_in_between = 0;
    fleet.until(10.0, |fleet| {
        for (place, store) in STORES.enumerate() {
            let size = state_bytes(fleet, store);
            if sizes[place].last() != Some(&size) {
                sizes[place].push(size);
            }
        }
        let coordinators = STORES.filter_map(|store| fleet.machines[store].coordinator.as_ref());
        idle_in_between += coordinators.filter(|coordinator| coordinator.next_timeout() <= fleet.now).count();
        false
    });
    println!("{before:?}, then {sizes:?}");
    for (place, sizes) in sizes.iter().enumerate() {
        let growth = sizes.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(growth.clone().all(|bytes| bytes <= MOST_GROWTH), "store {place}: {sizes:?}");
        assert!(before[place] > 3.0 * MOST_GROWTH, "store {place}: the state is small");
        assert!(sizes.last().is_some_and(|last| last >= &before[place]), "store {place}");
    }
    assert!(idle_in_between > 0);
    assert_eq!(whole(&mut fleet), JOBS);
}
