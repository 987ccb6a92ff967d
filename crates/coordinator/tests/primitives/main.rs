//! Locks, numbers, keys and watches over an in-memory fleet, under faults in turn and at once.

mod callers;
#[path = "../common/mod.rs"]
mod common;
#[path = "../../../soak/src/primitive_history.rs"]
mod history;

use std::collections::BTreeMap;

use callers::{Caller, GROUPS, KEYS, LOCKS, NUMBERS, key};
use common::{Fleet, MS, figure, settle, stores};
use history::History;
use rainlug::SECOND;
use rainlug_coordinator::{Answer, BATCH_SHARDS, Call, LAST_SHARD, PrimitiveCall, shard_of_primitive};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CORE: usize = 3;
const GATEWAYS: usize = 5;
const STORES: usize = 5;

fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(CORE, GATEWAYS - CORE, STORES, seed);
    fleet.serves_primitives = true;
    settle(&mut fleet);
    assert!(
        fleet.until(10.0, |fleet| (BATCH_SHARDS + 1..=LAST_SHARD).all(|shard| fleet.leader(shard).is_some()))
    );
    fleet
}

fn ask(fleet: &mut Fleet, call: PrimitiveCall) -> Answer {
    for _ in 0..50 {
        match fleet.ask(CORE, Call::Primitive(call.clone()), 1.0) {
            Some(answer) if answer.status < 429 => return answer,
            _ => fleet.pass(0.1),
        }
    }
    panic!("no answer to {call:?}");
}

fn acquire(lock: &str, holder: &str, hold_ms: u32) -> PrimitiveCall {
    PrimitiveCall::AcquireLock { lock: lock.to_owned(), holder: holder.to_owned(), hold_ms }
}

fn renew(lock: &str, holder: &str, fence: u64, hold_ms: u32) -> PrimitiveCall {
    PrimitiveCall::RenewLock { lock: lock.to_owned(), holder: holder.to_owned(), fence, hold_ms }
}

fn release(lock: &str, holder: &str, fence: u64) -> PrimitiveCall {
    PrimitiveCall::ReleaseLock { lock: lock.to_owned(), holder: holder.to_owned(), fence }
}

fn number(name: &str) -> PrimitiveCall {
    PrimitiveCall::NextNumber { name: name.to_owned() }
}

fn put(key: &str, value: &str, expected_revision: Option<u64>) -> PrimitiveCall {
    PrimitiveCall::PutKey { key: key.to_owned(), value: value.to_owned(), expected_revision }
}

fn read(key: &str) -> PrimitiveCall {
    PrimitiveCall::ReadKey { key: key.to_owned() }
}

fn watch(group: &str, since: u64, wait_ms: i64) -> PrimitiveCall {
    PrimitiveCall::Watch { group: group.to_owned(), since, wait: wait_ms * MS }
}

fn field(answer: &Answer, name: &str) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    body[name].as_u64().expect("a number")
}

#[test]
fn given_a_held_lock_when_others_ask_then_one_holds_it_and_fences_rise() {
    let mut fleet = fleet(1);
    let first = ask(&mut fleet, acquire("l", "a", 1500));
    assert_eq!(first.status, 200);
    assert_eq!(ask(&mut fleet, acquire("l", "b", 1500)).status, 409);
    // The holder itself gets it again, with a fence no lower.
    let again = ask(&mut fleet, acquire("l", "a", 1500));
    assert!(again.status == 200 && field(&again, "fence") >= field(&first, "fence"));
    assert_eq!(ask(&mut fleet, renew("l", "a", field(&first, "fence"), 1500)).status, 200);
    assert_eq!(ask(&mut fleet, renew("l", "b", field(&first, "fence"), 1500)).status, 409);
    // A release of somebody else, or of an earlier grant, frees nothing.
    assert_eq!(ask(&mut fleet, release("l", "b", field(&again, "fence"))).status, 200);
    assert_eq!(ask(&mut fleet, release("l", "a", field(&first, "fence"))).status, 200);
    assert_eq!(ask(&mut fleet, acquire("l", "b", 1500)).status, 409);
    assert_eq!(ask(&mut fleet, release("l", "a", field(&again, "fence"))).status, 200);
    let other = ask(&mut fleet, acquire("l", "b", 1500));
    assert!(other.status == 200 && field(&other, "fence") > field(&again, "fence"));
    assert_eq!(ask(&mut fleet, renew("l", "a", field(&again, "fence"), 1500)).status, 409);
}

#[test]
fn given_a_holder_that_died_when_its_time_is_over_then_the_lock_is_free_soon() {
    let mut fleet = fleet(2);
    assert_eq!(ask(&mut fleet, acquire("l", "a", 2000)).status, 200);
    fleet.pass(1.8);
    assert_eq!(ask(&mut fleet, acquire("l", "b", 1000)).status, 409);
    fleet.pass(0.4);
    assert_eq!(ask(&mut fleet, acquire("l", "b", 1000)).status, 200);
}

#[test]
fn given_a_held_lock_when_its_leader_is_killed_then_nobody_else_gets_it_before_its_time_and_its_holder_renews_it()
 {
    let mut fleet = fleet(3);
    let shard = shard_of_primitive("l");
    let fence = field(&ask(&mut fleet, acquire("l", "a", 3000)), "fence");
    let sent = fleet.now;
    let leader = fleet.leader(shard).expect("a leader");
    fleet.kill(leader, true);
    assert_eq!(ask(&mut fleet, acquire("l", "b", 1000)).status, 409);
    assert!(fleet.now < sent + 3 * SECOND);
    assert_eq!(ask(&mut fleet, renew("l", "a", fence, 2000)).status, 200);
    fleet.pass(3.2);
    assert_eq!(ask(&mut fleet, acquire("l", "b", 1000)).status, 200);
}

#[test]
fn given_a_leader_that_is_cut_off_when_it_is_asked_then_it_hands_out_no_number_and_reads_no_key() {
    let mut fleet = fleet(4);
    let shard = shard_of_primitive("n");
    let before = field(&ask(&mut fleet, number("n")), "payload");
    let leader = fleet.leader(shard).expect("a leader");
    let others: Vec<usize> = stores(&fleet).into_iter().filter(|at| *at != leader).collect();
    // One gateway stays with the leader: it cannot be answered from there.
    let with_it = GATEWAYS - 1;
    let rest: Vec<usize> = (0..with_it).chain(others).collect();
    fleet.partition(&[leader, with_it], &rest);
    let cut_off = fleet.call(with_it, Call::Primitive(number("n")));
    let later = field(&ask(&mut fleet, number("n")), "payload");
    assert!(later > before);
    fleet.pass(2.0);
    let answer = &fleet.answers.get(&cut_off).expect("an answer").1;
    assert!(answer.status >= 503, "{answer:?}");
    fleet.heal();
    fleet.pass(3.0);
    assert!(field(&ask(&mut fleet, number("n")), "payload") > later);
}

#[test]
fn given_a_leader_that_stood_still_when_a_read_reaches_it_before_it_knows_then_it_answers_no_old_value() {
    let mut fleet = fleet(10);
    ask(&mut fleet, put("g1.a", "one", None));
    // Given that a gateway knows the leader, which then stands still, and that only this gateway reaches it.
    assert_eq!(field(&ask(&mut fleet, read("g1.a")), "revision"), 1);
    let leader = fleet.leader(shard_of_primitive("g1.")).expect("a leader");
    fleet.freeze(leader);
    let others: Vec<usize> = fleet.others(leader).into_iter().filter(|at| *at != CORE).collect();
    fleet.partition(&[leader], &others);
    fleet.pass(2.0);
    let acknowledged = fleet.ask(CORE + 1, Call::Primitive(put("g1.a", "two", Some(1))), 1.0);
    assert_eq!(acknowledged.map(|answer| answer.status), Some(200));
    // When it goes on with the read, and looks at its timers later.
    let reads = fleet.call(CORE, Call::Primitive(read("g1.a")));
    fleet.pass(0.005);
    fleet.machines[leader].frozen = false;
    fleet.until(2.0, |fleet| fleet.answers.contains_key(&reads));
    let answer = fleet.answers[&reads].1.clone();
    assert!(answer.status == 503 || field(&answer, "revision") == 2, "{answer:?}");
}

#[test]
fn given_a_put_when_it_comes_again_then_it_has_its_first_revision_and_a_condition_holds_once() {
    let mut fleet = fleet(5);
    assert_eq!(ask(&mut fleet, read("g1.a")).status, 404);
    assert_eq!(field(&ask(&mut fleet, put("g1.a", "one", Some(0))), "revision"), 1);
    assert_eq!(field(&ask(&mut fleet, put("g1.b", "two", None)), "revision"), 2);
    assert_eq!(field(&ask(&mut fleet, put("g1.a", "one", Some(0))), "revision"), 1);
    let refused = ask(&mut fleet, put("g1.a", "three", Some(0)));
    assert_eq!((refused.status, field(&refused, "revision")), (412, 1));
    assert_eq!(field(&ask(&mut fleet, put("g1.a", "four", Some(1))), "revision"), 3);
    assert_eq!(field(&ask(&mut fleet, put("g1.a", "one", Some(0))), "revision"), 1);
    assert_eq!(field(&ask(&mut fleet, read("g1.a")), "revision"), 3);
}

#[test]
fn given_a_watch_when_puts_come_then_it_is_answered_at_once_with_all_of_them() {
    let mut fleet = fleet(6);
    assert_eq!(&ask(&mut fleet, watch("g1.", 0, 500)).body[..], br#"{"events":[],"revision":0}"#);
    ask(&mut fleet, put("g1.a", "one", None));
    assert_eq!(&ask(&mut fleet, watch("g1.", 0, 500)).body[..], br#"{"events":[],"revision":1}"#);
    let waits = fleet.call(CORE, Call::Primitive(watch("g1.", 1, 2000)));
    fleet.pass(0.5);
    assert!(!fleet.answers.contains_key(&waits));
    let sent = fleet.now;
    ask(&mut fleet, put("g1.b", "two", None));
    assert!(fleet.until(0.1, |fleet| fleet.answers.contains_key(&waits)));
    let (at, answer) = &fleet.answers[&waits];
    assert!(at - sent < 100 * MS);
    assert_eq!(
        &answer.body[..],
        br#"{"events":[{"name":"g1.b","payload":"two","revision":2}],"revision":2}"#
    );
    // Without a put it is answered after its time.
    let sent = fleet.now;
    assert_eq!(&ask(&mut fleet, watch("g1.", 2, 500)).body[..], br#"{"events":[],"revision":2}"#);
    assert!((500 * MS..700 * MS).contains(&(fleet.now - sent)));
}

#[test]
fn given_a_watch_that_waits_when_its_leader_is_killed_then_the_next_one_has_all_puts() {
    let mut fleet = fleet(7);
    ask(&mut fleet, put("g1.a", "one", None));
    let waits = fleet.call(CORE, Call::Primitive(watch("g1.", 1, 4000)));
    fleet.pass(0.3);
    let leader = fleet.leader(shard_of_primitive("g1.")).expect("a leader");
    fleet.kill(leader, true);
    ask(&mut fleet, put("g1.b", "two", None));
    fleet.until(5.0, |fleet| fleet.answers.contains_key(&waits));
    let status = fleet.answers[&waits].1.status;
    assert!([200, 503].contains(&status), "{status}");
    let all = ask(&mut fleet, watch("g1.", 1, 500));
    assert_eq!(&all.body[..], br#"{"events":[{"name":"g1.b","payload":"two","revision":2}],"revision":2}"#);
}

#[test]
fn given_an_old_revision_when_its_history_is_over_then_a_watch_is_told_so_and_never_before() {
    let mut fleet = Fleet::new(CORE, GATEWAYS - CORE, STORES, 8);
    (fleet.serves_primitives, fleet.watch_history) = (true, 5 * SECOND);
    settle(&mut fleet);
    ask(&mut fleet, put("g1.a", "one", None));
    let given = field(&ask(&mut fleet, watch("g1.", 0, 0)), "revision");
    ask(&mut fleet, put("g1.a", "two", None));
    for round in 0..4 {
        ask(&mut fleet, put("g1.a", &format!("early {round}"), None));
        assert_eq!(ask(&mut fleet, watch("g1.", given, 0)).status, 200);
        fleet.pass(1.0);
    }
    fleet.pass(6.0);
    ask(&mut fleet, put("g1.a", "late", None));
    assert_eq!(ask(&mut fleet, watch("g1.", given, 0)).status, 410);
}

#[test]
fn given_all_power_is_lost_and_the_disks_that_are_tolerated_when_all_are_back_then_nothing_acknowledged_is_lost()
 {
    for seed in 0..4 {
        let mut fleet = fleet(20 + seed);
        let mut fences = Vec::new();
        for lock in 0..4 {
            fences.push(field(&ask(&mut fleet, acquire(&format!("l{lock}"), "a", 1000)), "fence"));
        }
        let numbers: Vec<u64> =
            (0..4).map(|n| field(&ask(&mut fleet, number(&format!("n{n}"))), "payload")).collect();
        ask(&mut fleet, put("g1.a", "one", None));
        ask(&mut fleet, put("g2.a", "one", None));
        let shard = BATCH_SHARDS + 1 + (seed % 2) as u16;
        let acknowledged = field(&ask(&mut fleet, put("g1.a", "two", Some(1))), "revision");
        let lost = fleet.leader(shard).expect("a leader");
        fleet.wipe(lost);
        let machines = fleet.machines.len();
        (0..machines).filter(|at| *at != lost).for_each(|at| fleet.kill(at, true));
        fleet.pass(1.0);
        (0..machines).for_each(|at| fleet.start(at, false));
        assert_eq!(field(&ask(&mut fleet, read("g1.a")), "revision"), acknowledged);
        assert_eq!(field(&ask(&mut fleet, watch("g1.", 0, 0)), "revision"), acknowledged);
        assert_eq!(field(&ask(&mut fleet, put("g1.a", "two", Some(1))), "revision"), acknowledged);
        fleet.pass(1.5);
        for (lock, fence) in fences.iter().enumerate() {
            let answer = ask(&mut fleet, acquire(&format!("l{lock}"), "b", 1000));
            assert!(answer.status == 200 && field(&answer, "fence") > *fence, "{answer:?}");
        }
        for (n, before) in numbers.iter().enumerate() {
            assert!(field(&ask(&mut fleet, number(&format!("n{n}"))), "payload") > *before);
        }
    }
}

#[test]
fn given_a_deployment_without_them_when_a_lock_is_asked_for_then_the_call_says_so() {
    let mut fleet = Fleet::new(CORE, GATEWAYS - CORE, STORES, 9);
    settle(&mut fleet);
    assert_eq!(fleet.ask(CORE, Call::Primitive(acquire("l", "a", 1000)), 1.0).map(|a| a.status), Some(501));
}

/// A fault, and its end where it has one.
fn trouble(fleet: &mut Fleet, rng: &mut ChaCha8Rng, wiped: &mut bool) {
    let stores = stores(fleet);
    let shard = rng.random_range(BATCH_SHARDS + 1..=LAST_SHARD);
    let any = stores[rng.random_range(0..stores.len())];
    let at = if rng.random_bool(0.6) { fleet.leader(shard).unwrap_or(any) } else { any };
    let runs = fleet.machines[at].coordinator.is_some();
    match rng.random_range(0..8) {
        0 if runs => fleet.kill(at, rng.random_bool(0.5)),
        1 if runs => fleet.freeze(at),
        2 => fleet.isolate(at),
        3 => fleet.partition_one_way(&[at], &fleet.others(at)),
        4 => drop(fleet.slow_disks.insert(at, rng.random_range(20..1500) * MS)),
        5 => {
            // All at once; their disks remain.
            let all: Vec<usize> =
                (0..fleet.machines.len()).filter(|at| fleet.machines[*at].coordinator.is_some()).collect();
            let power = rng.random_bool(0.5);
            all.into_iter().for_each(|at| fleet.kill(at, power));
        }
        6 if runs && !*wiped => {
            *wiped = true;
            fleet.wipe(at);
        }
        _ if runs => fleet.transfer_leaderships(at),
        _ => {}
    }
}

fn end_trouble(fleet: &mut Fleet) {
    fleet.heal();
    fleet.slow_disks.clear();
    for at in 0..fleet.machines.len() {
        if fleet.machines[at].coordinator.is_none() {
            fleet.start(at, false);
        } else if fleet.machines[at].frozen {
            fleet.thaw(at);
        }
    }
}

fn play(
    fleet: &mut Fleet,
    callers: &mut [Caller],
    seconds: f64,
    may_begin: bool,
    rng: &mut ChaCha8Rng,
    history: &mut History,
) {
    let end = fleet.now + (seconds * SECOND as f64) as i64;
    while fleet.now < end {
        fleet.pass(0.01);
        for caller in callers.iter_mut() {
            caller.act(fleet, GATEWAYS, may_begin, rng, history);
        }
        assert_eq!(history.violations, [""; 0]);
    }
}

/// Reads back all that was acknowledged, as the end of a day does.
fn read_back(fleet: &mut Fleet, history: &mut History) {
    for number in 0..KEYS {
        let (key, sent) = (key(number), fleet.now);
        let answer = ask(fleet, read(&key));
        history.read(&key, sent, if answer.status == 200 { field(&answer, "revision") } else { 0 });
    }
    for group in GROUPS {
        let sent = fleet.now;
        let answer = ask(fleet, watch(group, 0, 0));
        history.watched(group, 0, sent, &[], field(&answer, "revision"));
    }
    for n in 0..NUMBERS {
        let sent = fleet.now;
        let answer = ask(fleet, number(&format!("n{n}")));
        history.number(&format!("n{n}"), sent, fleet.now, field(&answer, "payload"));
    }
    for lock in 0..LOCKS {
        let (lock, mut sent) = (format!("l{lock}"), fleet.now);
        let mut answer = ask(fleet, acquire(&lock, "reader", 1000));
        for _ in 0..60 {
            if answer.status == 200 {
                break;
            }
            fleet.pass(0.1);
            sent = fleet.now;
            answer = ask(fleet, acquire(&lock, "reader", 1000));
        }
        history.fence(&lock, usize::MAX, sent, fleet.now, field(&answer, "fence"));
    }
}

fn random_history(seed: u64) -> History {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = fleet(1000 + seed);
    let (mut history, mut wiped) = (History::default(), false);
    let mut callers: Vec<Caller> = (0..8).map(Caller::new).collect();
    for _ in 0..4 {
        play(&mut fleet, &mut callers, 1.0, true, &mut rng, &mut history);
        for _ in 0..rng.random_range(1..3) {
            trouble(&mut fleet, &mut rng, &mut wiped);
            let lasts = rng.random_range(0.0..1.5);
            play(&mut fleet, &mut callers, lasts, true, &mut rng, &mut history);
        }
        end_trouble(&mut fleet);
        play(&mut fleet, &mut callers, 2.0, true, &mut rng, &mut history);
    }
    // The last fault: a store loses its disk, and all others lose power.
    play(&mut fleet, &mut callers, 6.0, true, &mut rng, &mut history);
    let lost = fleet.leader(LAST_SHARD).unwrap_or(CORE + GATEWAYS);
    fleet.wipe(lost);
    (0..fleet.machines.len()).filter(|at| *at != lost).for_each(|at| fleet.kill(at, true));
    fleet.pass(1.0);
    end_trouble(&mut fleet);
    play(&mut fleet, &mut callers, 6.0, false, &mut rng, &mut history);
    assert!(callers.iter().all(Caller::is_idle));
    read_back(&mut fleet, &mut history);
    assert_eq!(history.violations, [""; 0]);
    for shard in BATCH_SHARDS + 1..=LAST_SHARD {
        let leader = fleet.leader(shard).expect("a leader");
        assert!(figure(&fleet, leader, &format!("part_{shard}_keys")).is_some());
    }
    history
}

#[test]
fn given_random_faults_when_applications_call_then_no_rule_of_locks_numbers_keys_and_watches_is_broken() {
    let seeds: u64 = std::env::var("PRIMITIVE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    let first: u64 =
        std::env::var("PRIMITIVE_FIRST_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut counts: BTreeMap<&'static str, usize> = BTreeMap::new();
    for seed in first..first + seeds {
        let history = random_history(seed);
        println!("seed {seed}: {:?}", history.counts);
        history.counts.into_iter().for_each(|(what, count)| *counts.entry(what).or_default() += count);
    }
    for what in ["holds", "locks refused", "numbers", "puts", "puts refused", "reads", "watches", "unclear"] {
        assert!(counts.contains_key(what), "no {what}");
    }
}
