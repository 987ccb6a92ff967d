//! Who leads which shard: processes that end, disks that stall, and leaders that gather at one store.

mod common;

use common::{Fleet, MS, configuration, jobs_of, read, settled, stores, submit};
use rainlug::{SECOND, Time};
use rainlug_coordinator::{BATCH_SHARDS, CONTROL, Call};

/// Until somebody else leads a shard.
fn time_until_led_by_another(fleet: &mut Fleet, shard: u16, old: usize) -> Time {
    let since = fleet.now;
    let is_led = |fleet: &Fleet| fleet.leader(shard).is_some_and(|leader| leader != old);
    assert!(fleet.until(10.0, is_led), "shard {shard} has no other leader");
    fleet.now - since
}

/// A core of three, two more gateways and four stores, one of whose leaders ends: it is told first, or dies.
fn time_without_leader(shard: u16, seed: u64, is_told: bool) -> Time {
    let mut fleet = settled(3, 2, 4, 100 + seed);
    fleet.pass(2.0);
    let old = fleet.leader(shard).expect("a leader");
    if is_told {
        fleet.transfer_leaderships(old);
    } else {
        fleet.kill(old, false);
    }
    let took = time_until_led_by_another(&mut fleet, shard, old);
    if is_told {
        fleet.pass(0.1);
        fleet.kill(old, false);
    }
    let answer = fleet.ask(4, Call::Configure { base: 5, text: configuration(6, "notary") }, 3.0);
    assert_eq!(answer.map(|a| a.status), Some(200), "seed {seed}");
    took
}

#[test]
fn given_a_leader_that_is_told_to_end_when_it_hands_over_then_another_leads_within_a_few_round_trips() {
    for shard in [CONTROL, 1] {
        let told: Vec<Time> = (0..8).map(|seed| time_without_leader(shard, seed, true) / MS).collect();
        let killed: Vec<Time> = (0..8).map(|seed| time_without_leader(shard, seed, false) / MS).collect();
        println!("shard {shard}: told {told:?} ms, killed {killed:?} ms");
        assert!(told.iter().all(|ms| *ms < 60), "{told:?}");
        assert!(killed.iter().all(|ms| *ms > 200), "{killed:?}");
    }
}

#[test]
fn given_orders_under_way_when_the_leader_hands_over_then_each_is_answered_and_none_is_refused() {
    for seed in 0..8 {
        let mut fleet = settled(3, 2, 3, 200 + seed);
        let old = fleet.leader(CONTROL).expect("a leader");
        let job = jobs_of(1, 1).remove(0);
        fleet.transfer_leaderships(old);
        let order = fleet.call(4, Call::Configure { base: 5, text: configuration(6, "notary") });
        let old_store = fleet.leader(1).expect("a leader");
        fleet.transfer_leaderships(old_store);
        let submitted = fleet.call(3, submit(&job, 4));
        fleet.pass(3.0);
        assert_eq!(fleet.answers[&order].1.status, 200, "seed {seed}");
        assert_eq!(fleet.answers[&submitted].1.status, 202, "seed {seed}");
        fleet.kill(old, false);
        fleet.kill(old_store, false);
        fleet.pass(2.0);
        let answer = fleet.ask(4, read(&job), 3.0).expect("an answer");
        assert!(
            String::from_utf8_lossy(&answer.body).contains("\"next_token\":4"),
            "seed {seed}: {answer:?}"
        );
    }
}

#[test]
fn given_a_leader_whose_disk_stalls_when_it_has_waited_for_a_second_then_another_leads() {
    for seed in 0..8 {
        let mut fleet = settled(3, 2, 4, 300 + seed);
        fleet.pass(1.0);
        let old = fleet.leader(1).expect("a leader");
        fleet.slow_disks.insert(old, 30 * SECOND);
        let job = jobs_of(1, 1).remove(0);
        fleet.call(3, submit(&job, 2));
        let took = time_until_led_by_another(&mut fleet, 1, old);
        assert!(took < 2 * SECOND, "seed {seed}: {took}");
        fleet.pass(20.0);
        assert_ne!(fleet.leader(1), Some(old), "seed {seed}: it is elected again");
        assert_eq!(fleet.led_shards(old), 0, "seed {seed}");
        let later = jobs_of(1, 2).remove(1);
        assert_eq!(fleet.ask(4, submit(&later, 2), 3.5).map(|a| a.status), Some(202), "seed {seed}");
        // A store whose disk does not answer is asked to take a shard over once in a while, not again and again.
        let is_attempt = |line: &&String| line.contains(&format!("to storage-{old}"));
        let attempts: usize =
            fleet.machines.iter().map(|machine| machine.log.iter().filter(is_attempt).count()).sum();
        assert!(attempts <= 2, "seed {seed}: {attempts}");
    }
}

/// Stores that lead something die in turn until one leads three of the four shards or more: that one.
fn gathered(seed: u64) -> (Fleet, usize) {
    let mut fleet = settled(3, 2, 3, 400 + seed);
    for shard in 1..=BATCH_SHARDS {
        let job = jobs_of(shard, 1).remove(0);
        assert_eq!(fleet.ask(3, submit(&job, 8), 3.5).map(|a| a.status), Some(202));
    }
    for _ in 0..40 {
        let stores = stores(&fleet);
        let most = stores.iter().copied().max_by_key(|at| fleet.led_shards(*at)).expect("a store");
        if fleet.led_shards(most) >= 3 {
            return (fleet, most);
        }
        let other = stores.into_iter().find(|at| *at != most && fleet.led_shards(*at) > 0);
        let other = other.expect("another leads the rest");
        fleet.kill(other, false);
        fleet.pass(1.0);
        fleet.start(other, false);
        fleet.pass(1.0);
    }
    panic!("seed {seed}: leaders do not gather");
}

#[test]
fn given_leaders_that_gathered_at_one_store_when_nothing_else_happens_then_they_are_spread_one_at_a_time() {
    for seed in 0..8 {
        let (mut fleet, most) = gathered(seed);
        let (since, gathered) = (fleet.now, fleet.led_shards(most));
        let stores = stores(&fleet);
        let is_spread = |fleet: &Fleet| stores.iter().all(|at| fleet.led_shards(*at) <= 2);
        assert!(fleet.until(40.0, is_spread), "seed {seed}");
        println!("seed {seed}: {gathered} shards, {} s", (fleet.now - since) as f64 / SECOND as f64);
        fleet.pass(15.0);
        // Once they are even, nothing moves any more.
        let hand_overs = |fleet: &Fleet| {
            let lines = fleet.machines.iter().flat_map(|machine| &machine.log);
            lines.filter(|line| line.contains("hands over")).count()
        };
        let before = hand_overs(&fleet);
        fleet.pass(60.0);
        assert_eq!(hand_overs(&fleet), before, "seed {seed}");
        for shard in 1..=BATCH_SHARDS {
            let job = jobs_of(shard, 2).remove(1);
            assert_eq!(fleet.ask(4, submit(&job, 2), 3.5).map(|a| a.status), Some(202), "seed {seed}");
        }
    }
}
