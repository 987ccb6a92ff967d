//! Stories of a cold review: parts are founded while stores are lost, and stores are lost and refilled while jobs keep coming. What
//! was accepted stays readable, and each output keeps its position and its content.

mod common;

use std::collections::BTreeMap;

use common::{Fleet, MS, jobs_of, settle, stores, submit};
use rainlug::{SECOND, Time};
use rainlug_coordinator::{BATCH_SHARDS, Call};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long outputs have to be there after a batch job was sent.
const STATUS_TIME: Time = 40 * SECOND;
/// Bytes of noise in an output: a few of them are more than a leader keeps in memory for members that lag.
const NOISE: usize = 30_000;

fn read(id: &str, since: u64) -> Call {
    Call::Read { job: id.to_owned(), since, wait: 0 }
}

fn log_count(fleet: &Fleet, what: &str) -> usize {
    fleet.machines.iter().flat_map(|machine| &machine.log).filter(|line| line.contains(what)).count()
}

/// An accepted batch job, as a client sees it.
struct Job {
    sent: Time,
    items: usize,
    /// The outputs that were read, in the order of their positions.
    outputs: Vec<String>,
}

/// The outputs of an answer, each as its own text.
fn outputs(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let start = text.find("\"outputs\":[").expect("a list") + "\"outputs\":[".len();
    let list = &text[start..text.len() - 2];
    if list.is_empty() { Vec::new() } else { list.split(",{\"id\":").map(str::to_owned).collect() }
}

/// Reads a job from the start at any gateway: its outputs begin with those that were read before.
fn check(fleet: &mut Fleet, gateway: usize, name: &str, job: &mut Job, seed: u64) -> bool {
    let Some(answer) = fleet.ask(gateway, read(name, 0), 3.0) else { return false };
    if fleet.now - job.sent > STATUS_TIME {
        return false;
    }
    assert_ne!(answer.status, 404, "seed {seed}: {name}, sent {} ms ago", (fleet.now - job.sent) / MS);
    if answer.status != 200 {
        return false;
    }
    let found: Vec<String> = outputs(&answer.body)
        .into_iter()
        .map(|output| output.trim_start_matches("{\"id\":").to_owned())
        .collect();
    let common = found.len().min(job.outputs.len());
    assert_eq!(found[..common], job.outputs[..common], "seed {seed}: {name}");
    if found.len() > job.outputs.len() {
        job.outputs = found;
    }
    true
}

/// Jobs come, and one to `tolerate` stores at a time are killed, cut off, frozen or lose their disks, over slow links.
fn a_day_of_losses(seed: u64, stores_count: usize, tolerate: usize) -> (usize, usize) {
    let gateways = 2 * tolerate + 2;
    let mut fleet = Fleet::new(gateways - 1, 1, stores_count, seed);
    fleet.tolerate = tolerate;
    fleet.status_time = STATUS_TIME;
    fleet.output_padding = NOISE;
    fleet.run_time = 200 * MS;
    fleet.link = Some(7_500_000);
    fleet.link_bytes_per_second = 60_000_000;
    settle(&mut fleet);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    let (mut count, mut checked) = (0, 0);
    for _ in 0..10 {
        let mut lost: Vec<usize> = Vec::new();
        for _ in 0..rng.random_range(1..=tolerate) {
            let left: Vec<usize> = stores(&fleet).into_iter().filter(|at| !lost.contains(at)).collect();
            lost.push(*left.choose(&mut rng).expect("a store"));
        }
        let how = rng.random_range(0..4);
        for step in 0..16 {
            if step == 4 {
                let others: Vec<usize> = (0..fleet.machines.len()).filter(|at| !lost.contains(at)).collect();
                match how {
                    0 => lost.iter().for_each(|at| fleet.kill(*at, true)),
                    1 => lost.iter().for_each(|at| fleet.wipe(*at)),
                    2 => fleet.partition(&lost, &others),
                    _ => lost.iter().for_each(|at| fleet.freeze(*at)),
                }
            }
            count += 1;
            let (name, items) = (format!("day-{count}"), rng.random_range(1..8));
            let sent = fleet.now;
            let answer = fleet.ask(rng.random_range(0..gateways), submit(&name, items), 3.5);
            if answer.is_some_and(|answer| answer.status == 202) {
                jobs.insert(name, Job { sent, items, outputs: Vec::new() });
            }
            let newest: Vec<String> = jobs.keys().cloned().collect();
            if let Some(name) = newest.choose(&mut rng)
                && let Some(job) = jobs.get_mut(name)
            {
                let gateway = rng.random_range(0..gateways);
                checked += usize::from(check(&mut fleet, gateway, name, job, seed));
            }
            fleet.pass(0.1);
        }
        fleet.heal();
        for at in lost {
            match how {
                0 | 1 => fleet.start(at, false),
                2 => {}
                _ => fleet.thaw(at),
            }
        }
        let before = fleet.now;
        for (name, job) in &mut jobs {
            checked += usize::from(check(&mut fleet, rng.random_range(0..gateways), name, job, seed));
        }
        fleet.pass((6.0 - (fleet.now - before) as f64 / SECOND as f64).max(0.0));
        jobs.retain(|_, job| fleet.now - job.sent < STATUS_TIME);
    }
    fleet.pass(6.0);
    for (name, job) in &mut jobs {
        if fleet.now - job.sent < STATUS_TIME - 4 * SECOND {
            assert!(
                check(&mut fleet, 0, name, job, seed),
                "seed {seed}: {name} is not read after the losses"
            );
            assert_eq!(job.outputs.len(), job.items, "seed {seed}: {name} has all its outputs");
        }
    }
    assert_eq!(log_count(&fleet, " garbage"), 0, "seed {seed}");
    (checked, log_count(&fleet, " restore: "))
}

/// Several days by their seeds; they are days of something.
fn days_of_losses(stores_count: usize, tolerate: usize) {
    let (mut checked, mut restored) = (0, 0);
    for seed in 0..3 {
        let (reads, from_snapshots) = a_day_of_losses(8_000 + seed, stores_count, tolerate);
        checked += reads;
        restored += from_snapshots;
    }
    println!("{checked} reads, {restored} snapshots restored");
    assert!(checked > 1_000 && restored >= 12, "{checked} reads, {restored} snapshots restored");
}

#[test]
fn given_three_stores_lost_in_turn_when_jobs_keep_coming_then_outputs_keep_position_and_content() {
    days_of_losses(3, 1);
}

#[test]
fn given_five_stores_lost_in_turn_when_jobs_keep_coming_then_outputs_keep_position_and_content() {
    days_of_losses(5, 1);
}

#[test]
fn given_five_stores_lost_two_at_once_when_jobs_keep_coming_then_outputs_keep_position_and_content() {
    days_of_losses(5, 2);
}

#[test]
fn given_seven_stores_lost_two_at_once_when_jobs_keep_coming_then_outputs_keep_position_and_content() {
    days_of_losses(7, 2);
}

/// Takes a job in each part and reads it back, within so many seconds.
#[track_caller]
fn all_shards_serve(fleet: &mut Fleet, gateway: usize, seed: u64, seconds: f64) {
    let end = fleet.now + (seconds * SECOND as f64) as Time;
    for shard in 1..=BATCH_SHARDS {
        let name = jobs_of(shard, 1).remove(0);
        while fleet.ask(gateway, submit(&name, 2), 3.5).map(|answer| answer.status) != Some(202) {
            assert!(fleet.now < end, "seed {seed}: part {shard} takes no job within {seconds} s");
            fleet.pass(0.2);
        }
        while fleet.ask(gateway, read(&name, 0), 3.5).map(|answer| answer.status) != Some(200) {
            assert!(fleet.now < end, "seed {seed}: part {shard} is not read within {seconds} s");
            fleet.pass(0.2);
        }
    }
}

/// At some moment of the founding so many stores are lost at once, as many as are tolerated, with their disks or without.
fn founding_with_losses(seed: u64, stores_count: usize, tolerate: usize) {
    let gateways = 2 * tolerate + 1;
    let mut fleet = Fleet::new(gateways, 0, stores_count, seed);
    fleet.tolerate = tolerate;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    fleet.start_all();
    let is_founding = |fleet: &Fleet| {
        stores(fleet).into_iter().any(|at| {
            fleet.machines[at]
                .coordinator
                .as_ref()
                .is_some_and(|store| !store.shard_status(1).members.is_empty())
        })
    };
    assert!(fleet.until(15.0, is_founding), "seed {seed}: nothing is founded");
    fleet.pass(rng.random_range(0.0..0.6));
    let all = stores(&fleet);
    let lost: Vec<usize> = all.choose_multiple(&mut rng, tolerate).copied().collect();
    let with_disks = rng.random();
    for at in &lost {
        if with_disks { fleet.wipe(*at) } else { fleet.kill(*at, true) }
    }
    let pause = rng.random_range(0.0..8.0);
    fleet.pass(pause);
    lost.iter().for_each(|at| fleet.start(*at, false));
    fleet.pass(1.0);
    let answer = fleet.ask(0, Call::Configure { base: 0, text: common::configuration(5, "notary") }, 2.0);
    assert_eq!(answer.map(|answer| answer.status), Some(200), "seed {seed}");
    all_shards_serve(&mut fleet, 0, seed, 15.0);
    // All parts stand so that as many again may be lost.
    fleet.pass(8.0);
    let lost: Vec<usize> = all.choose_multiple(&mut rng, tolerate).copied().collect();
    lost.iter().for_each(|at| fleet.wipe(*at));
    let end = fleet.now + 10 * SECOND;
    for shard in 1..=BATCH_SHARDS {
        let name = jobs_of(shard, 1).remove(0);
        while fleet.ask(0, read(&name, 0), 3.5).map(|answer| answer.status) != Some(200) {
            assert!(fleet.now < end, "seed {seed}: {name} of part {shard} is not read after the second loss");
            fleet.pass(0.2);
        }
    }
}

#[test]
fn given_shards_that_are_being_founded_when_as_many_stores_are_lost_as_may_be_then_all_shards_serve() {
    for seed in 0..24 {
        for (count, tolerate) in [(3, 1), (4, 1), (5, 2), (9, 2)] {
            founding_with_losses(9_000 + seed, count, tolerate);
        }
    }
}
