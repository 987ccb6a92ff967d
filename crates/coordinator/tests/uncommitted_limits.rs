//! Stories of parts whose entries are not committed for a while: what waits is bounded by bytes.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, jobs_of, settled};
use rainlug::SECOND;
use rainlug_coordinator::{BATCH_SHARDS, Call};

const SHARD: u16 = 1;
const ITEMS: usize = 150;
const JOBS: usize = 10;
/// Of five gateways and three stores, the stores.
const STORES: std::ops::Range<usize> = 5..8;
/// Bytes of an item's output, and at least so many of them once they are compressed.
const OUTPUT: usize = 40_000;
const COMPRESSED: usize = 28_000;

fn submit(id: &str) -> Call {
    common::submit(id, ITEMS)
}

/// A fleet that has taken batch jobs and run few of their items.
fn with_jobs(seed: u64) -> Fleet {
    let mut fleet = settled(3, 2, 3, seed);
    fleet.output_padding = OUTPUT;
    let tickets: Vec<u64> = jobs_of(SHARD, JOBS).iter().map(|id| fleet.call(3, submit(id))).collect();
    assert!(fleet.until(2.0, |fleet| tickets.iter().all(|ticket| fleet.answers.contains_key(ticket))));
    assert!(tickets.iter().filter(|ticket| fleet.answers[ticket].1.status == 202).count() > JOBS / 2);
    fleet
}

fn stall(fleet: &mut Fleet, disks: &[usize]) {
    fleet.slow_disks = disks.iter().map(|at| (*at, 60 * SECOND)).collect();
}

/// Items that were begun.
fn begun(fleet: &Fleet) -> usize {
    fleet.runs.iter().map(|(_, job, item)| (job, item)).collect::<BTreeSet<_>>().len()
}

#[test]
fn given_disks_of_all_followers_stall_then_items_and_jobs_wait_once_8_mb_do() {
    let mut fleet = with_jobs(51);
    let leader = fleet.leader(SHARD).unwrap();
    let others: Vec<usize> = STORES.filter(|at| *at != leader).collect();
    let before = begun(&fleet);
    stall(&mut fleet, &others);
    fleet.pass(10.0);
    assert_eq!(fleet.leader(SHARD), Some(leader), "nothing ends its lead");
    // Those that were running when the bound was met end too.
    let most = (8 << 20) / COMPRESSED + 200;
    let more = begun(&fleet) - before;
    assert!(more >= (8 << 20) / OUTPUT - 20, "{more} items");
    assert!(more <= most, "{more} items of {OUTPUT} bytes");
    let late = jobs_of(SHARD, JOBS + 1).pop().unwrap();
    let answer = fleet.ask(3, submit(&late), 3.0).expect("an answer at once");
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
}

#[test]
fn given_the_leaders_disk_stalls_then_no_more_items_are_started_until_it_writes_again() {
    let mut fleet = with_jobs(52);
    fleet.output_padding = 0;
    let all: Vec<usize> = STORES.collect();
    stall(&mut fleet, &all);
    fleet.pass(3.0);
    let stalled = begun(&fleet);
    fleet.pass(10.0);
    assert_eq!(begun(&fleet), stalled);
    fleet.slow_disks.clear();
    fleet.pass(80.0);
    assert!(begun(&fleet) > stalled);
    assert!((1..=BATCH_SHARDS).all(|shard| fleet.leader(shard).is_some()));
}
