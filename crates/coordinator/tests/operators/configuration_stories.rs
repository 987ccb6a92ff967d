//! Named stories of operators, and what each must be answered.

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_coordinator::{BATCH_SHARDS, CONTROL, Call, Now};

use crate::common::{Fleet, MS, address, heartbeat};
use crate::faults::{Fault, VICTIMS, core, inject, partition, pick};
use crate::history::Response;
use crate::operator::{Campaign, Habits};

/// How long a control machine is cut off.
const CUT: f64 = 20.0;
/// The stores of `fleet_with_stores` come after its core and its plain machine.
const FIRST_STORE: usize = 4;

fn quiet(seed: u64) -> Campaign {
    Campaign::new(3, 1, 0, Habits { operators: 0, ..Habits::default() }, seed)
}

fn busy(seed: u64) -> Campaign {
    Campaign::new(3, 2, 0, Habits { operators: 6, ..Habits::default() }, seed)
}

/// With three stores that are on the roster and hold the parts of batch jobs.
fn fleet_with_stores(seed: u64) -> Campaign {
    let mut campaign = Campaign::new(3, 1, 3, Habits { operators: 0, ..Habits::default() }, seed);
    campaign.fleet.pass(6.0);
    campaign
}

fn leader(campaign: &Campaign) -> usize {
    campaign.fleet.leader(CONTROL).expect("a leader")
}

/// How many groups of batch jobs count on a machine, as their leaders know.
fn replica_count(fleet: &Fleet, store: usize) -> usize {
    let holds = |shard: u16| {
        let leader = fleet.leader(shard).expect("a leader");
        let coordinator = fleet.machines[leader].coordinator.as_ref().expect("it runs");
        coordinator.shard_status(shard).members.iter().any(|member| member.address == address(store))
    };
    (1..=BATCH_SHARDS).filter(|shard| holds(*shard)).count()
}

fn ready(campaign: &Campaign, at: usize) -> bool {
    let steady = campaign.fleet.now;
    let coordinator = campaign.fleet.machines[at].coordinator.as_ref().expect("it runs");
    coordinator.is_ready(Now { steady, wall: steady })
}

fn retire(store: &str) -> Call {
    Call::Retire { store: store.to_owned() }
}

#[test]
fn given_operators_when_a_machine_is_isolated_for_twenty_seconds_in_any_way_then_the_register_is_linearizable()
 {
    let cuts = [
        Fault::Isolate,
        Fault::BlockOutbound,
        Fault::BlockInbound,
        Fault::PartitionFromCore,
        Fault::IsolateAgain,
        Fault::IsolateAndRestart,
    ];
    for (nth, fault) in cuts.into_iter().enumerate() {
        for victim in VICTIMS {
            let mut campaign = busy(9_000 + nth as u64);
            campaign.pass(1.0);
            let at = pick(&campaign.fleet, victim);
            inject(&mut campaign, fault, at, CUT);
            campaign.pass(3.0);
            assert_eq!(campaign.judge(), Ok(()), "{fault:?} of {victim:?}");
        }
    }
}

#[test]
fn given_a_leader_just_isolated_when_an_order_is_not_above_what_it_has_then_it_does_not_refuse() {
    for seed in 0..10 {
        let mut campaign = quiet(seed);
        let at = leader(&campaign);
        let lower = campaign.order(5, 4);
        partition(&mut campaign, Fault::Isolate, at);
        campaign.fleet.pass(0.06);
        assert!(campaign.fleet.leader(CONTROL) == Some(at), "it does not know yet");
        assert_eq!(campaign.put(at, lower), Response::Unknown);
        campaign.heal();
        campaign.fleet.pass(2.0);
        assert_eq!(campaign.put(at, lower), Response::Invalid);
        assert_eq!(campaign.judge(), Ok(()));
    }
}

#[test]
fn given_a_leader_just_isolated_when_a_store_is_to_be_retired_then_it_neither_refuses_nor_confirms() {
    for seed in 0..6 {
        let mut campaign = fleet_with_stores(20 + seed);
        let at = leader(&campaign);
        let known = campaign.fleet.machines[FIRST_STORE].name.clone();
        partition(&mut campaign, Fault::Isolate, at);
        campaign.fleet.pass(0.06);
        for store in ["no-such", &known] {
            let answer = campaign.fleet.ask(at, retire(store), 1.0).expect("an answer");
            assert_eq!(answer.status, 503, "seed {seed}: {store}");
        }
        campaign.heal();
        campaign.fleet.pass(3.0);
        let status = campaign.fleet.ask(at, retire("no-such"), 1.0).map(|a| a.status);
        assert_eq!(status, Some(404));
    }
}

#[test]
fn given_stores_out_of_sight_when_one_is_to_be_retired_then_the_order_is_left_open_and_taken_when_they_are_back()
 {
    let mut campaign = fleet_with_stores(31);
    let stores: Vec<usize> = (FIRST_STORE..FIRST_STORE + 3).collect();
    let name = campaign.fleet.machines[FIRST_STORE].name.clone();
    let rest: Vec<usize> = (0..FIRST_STORE).collect();
    campaign.fleet.partition(&stores, &rest);
    campaign.fleet.pass(8.0);
    let status = campaign.fleet.ask(0, retire(&name), 1.0).map(|a| a.status);
    assert_eq!(status, Some(503), "enough are on the roster");
    campaign.heal();
    campaign.fleet.pass(6.0);
    let again = campaign.fleet.ask(1, retire(&name), 1.0).map(|a| a.status);
    assert_eq!(again, Some(200));
    let too_few = campaign.fleet.machines[FIRST_STORE + 1].name.clone();
    let last = campaign.fleet.ask(1, retire(&too_few), 1.0).map(|a| a.status);
    assert_eq!(last, Some(409));
}

#[test]
fn given_a_retired_store_when_the_order_comes_again_anywhere_also_after_restarts_then_it_is_acknowledged() {
    let mut campaign = fleet_with_stores(32);
    let name = campaign.fleet.machines[FIRST_STORE].name.clone();
    assert_eq!(campaign.fleet.ask(1, retire(&name), 1.0).map(|a| a.status), Some(200));
    let old = leader(&campaign);
    campaign.fleet.kill(old, true);
    campaign.fleet.pass(3.0);
    for at in (0..FIRST_STORE).filter(|at| *at != old) {
        assert_eq!(campaign.fleet.ask(at, retire(&name), 1.0).map(|a| a.status), Some(200));
    }
    campaign.fleet.start(old, false);
    campaign.fleet.pass(3.0);
    assert_eq!(campaign.fleet.ask(old, retire(&name), 1.0).map(|a| a.status), Some(200));
}

#[test]
fn given_a_machine_isolated_when_operators_call_it_then_it_says_so_well_before_they_move_on() {
    let mut campaign = quiet(40);
    for at in core(&campaign.fleet) {
        partition(&mut campaign, Fault::Isolate, at);
        // Its own first answer, and those once it knows that nobody hears it.
        for (after, most) in [(0.06, 800 * MS), (2.0, 300 * MS), (CUT - 4.0, 300 * MS)] {
            campaign.fleet.pass(after);
            let order = campaign.order(5, 6);
            for call in [campaign.put_call(order), Call::Configuration, retire("no-such")] {
                let since = campaign.fleet.now;
                let answer = campaign.fleet.ask(at, call, 1.0).expect("an answer");
                assert_eq!(answer.status, 503, "machine {at} after {after} s");
                assert!(campaign.fleet.now - since <= most, "{} ms", (campaign.fleet.now - since) / MS);
            }
        }
        campaign.heal();
        campaign.fleet.pass(6.0);
    }
}

#[test]
fn given_a_leader_isolated_when_an_order_is_sent_elsewhere_then_it_is_acknowledged_within_a_second_and_a_half()
 {
    const MOST: Time = 1500 * MS;
    for seed in 0..12 {
        let mut campaign = quiet(50 + seed);
        let at = leader(&campaign);
        partition(&mut campaign, Fault::Isolate, at);
        let mut base = 5;
        for wait in [0.0, 1.0, 5.0, 8.0] {
            campaign.fleet.pass(wait);
            for machine in campaign.fleet.others(at) {
                let order = campaign.order(base, base + 2);
                let since = campaign.fleet.now;
                while campaign.put(machine, order) != Response::Accepted {
                    assert!(campaign.fleet.now - since < MOST, "seed {seed}, machine {machine}");
                    campaign.fleet.pass(0.1);
                }
                let took = campaign.fleet.now - since;
                assert!(took < MOST, "seed {seed}, machine {machine}: {} ms", took / MS);
                base += 2;
            }
        }
        campaign.heal();
        campaign.fleet.pass(3.0);
        assert_eq!(campaign.judge(), Ok(()), "seed {seed}");
    }
}

#[test]
fn given_a_gateway_isolated_when_versions_go_on_then_it_is_ready_only_with_the_newest_in_force() {
    for (seed, seconds) in [(70, 1.5), (71, 2.0), (72, 3.0), (73, 8.0), (74, CUT)] {
        let mut campaign = quiet(seed);
        let at = 3;
        partition(&mut campaign, Fault::Isolate, at);
        campaign.fleet.pass(1.4);
        let order = campaign.order(5, 7);
        assert_eq!(campaign.put(0, order), Response::Accepted);
        let end = campaign.fleet.now + (seconds * SECOND as f64) as Time;
        while campaign.fleet.now < end {
            assert!(!ready(&campaign, at), "{} ms before its end", (end - campaign.fleet.now) / MS);
            campaign.fleet.pass(0.05);
        }
        campaign.heal();
        let back = campaign.fleet.now;
        while !ready(&campaign, at) {
            campaign.fleet.pass(0.01);
            assert!(campaign.fleet.now - back < 4 * SECOND, "it comes back");
        }
        assert_eq!(campaign.fleet.machines[at].in_force, [5, 7], "cut off for {seconds} s");
    }
}

#[test]
fn given_hundreds_of_versions_when_an_old_order_comes_again_after_snapshots_and_restarts_then_it_is_acknowledged()
 {
    const VERSIONS: usize = 400;
    const PADDING: usize = 30_000;
    let mut campaign =
        Campaign::new(3, 1, 0, Habits { operators: 0, padding: PADDING, ..Habits::default() }, 80);
    campaign.fleet.rewrites_put_off = 0.0;
    let orders: Vec<usize> = (0..VERSIONS as u64).map(|n| campaign.order(5 + 2 * n, 7 + 2 * n)).collect();
    for order in &orders {
        assert_eq!(campaign.put(order % 4, *order), Response::Accepted);
    }
    for at in core(&campaign.fleet) {
        let disk = campaign.fleet.machines[at].disk.as_ref().expect("a disk");
        let kept: usize = disk.synced[&CONTROL].iter().map(Bytes::len).sum();
        assert!(kept < VERSIONS * PADDING / 2, "there were snapshots: {kept}");
        campaign.fleet.kill(at, true);
        campaign.fleet.pass(1.0);
        campaign.fleet.start(at, false);
        campaign.fleet.pass(2.0);
    }
    campaign.fleet.wipe(1);
    campaign.fleet.start(1, false);
    campaign.fleet.pass(6.0);
    for (nth, order) in orders.iter().enumerate().step_by(13) {
        assert_eq!(campaign.put(nth % 4, *order), Response::Accepted, "order {nth}");
    }
    let other = campaign.order(5, 7);
    assert_eq!(campaign.put(2, other), Response::Conflict, "the same number, another text");
    assert_eq!(campaign.judge(), Ok(()));
}

#[test]
fn given_two_operators_with_one_number_when_answers_are_lost_and_leaders_change_then_one_text_has_it() {
    for seed in 0..20 {
        let mut campaign = quiet(100 + seed);
        let (one, other) = (campaign.order(5, 6), campaign.order(5, 6));
        let old = leader(&campaign);
        let calls = [campaign.put_call(one), campaign.put_call(other)];
        let machines = campaign.fleet.others(old);
        for (call, machine) in calls.into_iter().zip(&machines) {
            campaign.fleet.call(*machine, call);
        }
        // Somewhere between the proposal and the answer.
        campaign.fleet.pass(0.001 * (1 + seed % 10) as f64);
        campaign.fleet.kill(old, true);
        campaign.fleet.pass(3.0);
        campaign.fleet.start(old, false);
        campaign.fleet.pass(1.0);
        let responses = [campaign.put(machines[0], one), campaign.put(machines[1], other)];
        let winners = responses.iter().filter(|response| **response == Response::Accepted).count();
        assert_eq!(winners, 1, "seed {seed}: {responses:?}");
        assert!(responses.contains(&Response::Conflict), "seed {seed}: {responses:?}");
        assert_eq!(campaign.judge(), Ok(()), "seed {seed}");
    }
}

#[test]
fn given_a_store_to_be_retired_when_it_comes_back_with_an_empty_disk_then_the_order_still_holds() {
    for seed in 0..6 {
        let mut campaign = fleet_with_stores(140 + seed);
        let name = campaign.fleet.machines[FIRST_STORE].name.clone();
        assert_eq!(campaign.fleet.ask(1, retire(&name), 1.0).map(|a| a.status), Some(200));
        campaign.fleet.wipe(FIRST_STORE);
        campaign.fleet.pass(0.2 * seed as f64);
        campaign.fleet.start(FIRST_STORE, false);
        let begun = campaign.fleet.now;
        let asked = Call::RetirementStatus { store: name.clone() };
        while campaign.fleet.ask(2, asked.clone(), 1.0).is_none_or(|a| a.body != "{\"state\":\"complete\"}") {
            assert!(campaign.fleet.now - begun < 10 * SECOND, "seed {seed}: it is emptied");
            campaign.fleet.pass(0.05);
        }
        assert_eq!(
            replica_count(&campaign.fleet, FIRST_STORE),
            0,
            "seed {seed}: complete means that none counts on it"
        );
        assert_eq!(campaign.fleet.ask(0, retire(&name), 1.0).map(|a| a.status), Some(200));
    }
}

#[test]
fn given_seeds_that_begin_with_a_machine_isolated_when_others_restart_then_orders_at_them_are_taken_soon() {
    for (seed, fault) in [(160, Fault::Isolate), (161, Fault::PartitionFromCore), (162, Fault::BlockOutbound)]
    {
        let mut campaign = busy(seed);
        partition(&mut campaign, fault, 0);
        campaign.pass(1.0);
        for at in [3, 4] {
            campaign.fleet.kill(at, true);
            campaign.fleet.start(at, false);
        }
        campaign.fleet.pass(2.0);
        assert!(ready(&campaign, 3) && ready(&campaign, 4), "{fault:?}");
        let order = campaign.order(1_000_000, 1_000_001);
        let since = campaign.fleet.now;
        assert_eq!(campaign.put(3, order), Response::Conflict, "{fault:?}: a clear answer");
        assert!(campaign.fleet.now - since < SECOND);
        campaign.pass(CUT);
        campaign.heal();
        campaign.pass(3.0);
        assert_eq!(campaign.judge(), Ok(()), "{fault:?}");
    }
}

#[test]
fn given_a_core_of_one_when_all_others_are_gone_then_it_goes_on_as_before() {
    let mut campaign = Campaign::new(1, 1, 0, Habits { operators: 0, ..Habits::default() }, 170);
    campaign.fleet.kill(1, true);
    for (nth, wait) in [1.5, 3.0, 30.0].into_iter().enumerate() {
        campaign.fleet.pass(wait);
        assert!(ready(&campaign, 0), "after {wait} s");
        let told = heartbeat("w1", "notary", "ready", 1 + nth as u64);
        assert_eq!(campaign.fleet.ask(0, told, 1.0).map(|a| a.status), Some(200));
        let base = 5 + 2 * nth as u64;
        let order = campaign.order(base, base + 2);
        assert_eq!(campaign.put(0, order), Response::Accepted);
    }
}
