//! A part whose state has grown over a long day. Steps take time here, by the bytes that they allocate; so a step that handles the
//! whole state at once keeps its process from hearing anything for longer than an election lasts.

// Counting allocations takes an allocator of its own.
#![allow(unsafe_code)]

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use common::{Cost, Fleet, job, settle, stores};
use rainlug_coordinator::Call;

/// Counts the bytes that a thread allocates.
struct CountingAllocator;

thread_local! {
    static ALLOCATED: Cell<u64> = const { Cell::new(0) };
}

fn count(bytes: usize) {
    // While a thread ends its count is gone; nobody reads it then.
    let _ = ALLOCATED.try_with(|allocated| allocated.set(allocated.get() + bytes as u64));
}

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size());
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        count(size);
        unsafe { System.realloc(pointer, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocated() -> u64 {
    ALLOCATED.with(Cell::get)
}

/// What a third of a core decodes, copies or encodes in a second.
const BYTES_PER_SECOND: u64 = 40_000_000;
/// A step may allocate so much: it then takes an eighth of the least time after which followers stand for election.
const MOST_ALLOCATED: u64 = 2_000_000;
const JOBS: usize = 60;
const ITEMS: usize = 50;
/// Bytes of text in each of an item's three events.
const EVENT_BYTES: usize = 4_000;
/// All that was accepted can be read again this long after the machines are back, in seconds.
const RECOVERY: f64 = 15.0;

fn job_id(number: usize) -> String {
    format!("job-{number}")
}

fn submit(fleet: &mut Fleet, at: usize, number: usize) {
    for _ in 0..50 {
        let call =
            Call::Submit { job: job_id(number), route: "lots".to_owned(), body: job(&job_id(number), ITEMS) };
        if fleet.ask(at, call, 3.5).is_some_and(|answer| answer.status == 202) {
            return;
        }
        fleet.pass(0.2);
    }
    panic!("{} is not accepted", job_id(number));
}

/// Whether all items of a batch job are listed and can be read.
fn is_whole(fleet: &mut Fleet, at: usize, number: usize) -> bool {
    let call = Call::Read { job: job_id(number), since: 0, wait: 0 };
    let answer = fleet.ask(at, call, 3.5);
    let whole = format!("\"next_token\":{ITEMS}");
    answer
        .is_some_and(|answer| answer.status == 200 && String::from_utf8_lossy(&answer.body).contains(&whole))
}

/// Seven stores of which two may be lost, and batch jobs whose outputs take 36 MB in all.
fn long_day(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(5, 2, 7, seed);
    fleet.tolerate = 2;
    settle(&mut fleet);
    fleet.event_bytes = EVENT_BYTES;
    for number in 0..JOBS {
        submit(&mut fleet, 5 + number % 2, number);
        fleet.pass(0.4);
    }
    let end = fleet.now + 30_000_000;
    let mut number = 0;
    while number < JOBS && fleet.now < end {
        if is_whole(&mut fleet, 5, number) {
            number += 1;
        } else {
            fleet.pass(0.2);
        }
    }
    assert_eq!(number, JOBS, "all items ran");
    fleet.cost = Some(Cost { allocated, bytes_per_second: BYTES_PER_SECOND });
    fleet.largest_step = 0;
    fleet
}

/// All lose power, and the first of the stores given their disks too.
fn lose_power_and_disks(fleet: &mut Fleet, wiped: &[usize]) {
    (0..fleet.machines.len()).for_each(|at| fleet.kill(at, true));
    wiped.iter().for_each(|at| fleet.wipe(*at));
    fleet.pass(1.5);
    (0..fleet.machines.len()).for_each(|at| fleet.start(at, false));
}

#[track_caller]
fn all_is_read_within(fleet: &mut Fleet, seconds: f64, seed: u64) {
    let end = fleet.now + (seconds * 1e6) as i64;
    for number in 0..JOBS {
        while !is_whole(fleet, 5, number) {
            assert!(
                fleet.now < end,
                "seed {seed}: {} cannot be read {seconds} s after the loss",
                job_id(number)
            );
            fleet.pass(0.1);
        }
    }
}

#[test]
fn given_a_large_shard_when_all_lose_power_and_two_their_disks_then_all_is_read_again() {
    for seed in 0..3 {
        let mut fleet = long_day(4_500 + seed);
        let stores = stores(&fleet);
        let wiped = [stores[seed as usize], stores[seed as usize + 2]];
        lose_power_and_disks(&mut fleet, &wiped);
        all_is_read_within(&mut fleet, RECOVERY, seed);
    }
}

#[test]
fn given_a_large_shard_when_it_is_restarted_and_refilled_then_no_step_handles_the_whole_state() {
    let mut fleet = long_day(4_600);
    let stores = stores(&fleet);
    lose_power_and_disks(&mut fleet, &stores[..2]);
    fleet.pass(RECOVERY);
    let largest = fleet.largest_step;
    assert!(largest <= MOST_ALLOCATED, "a step has allocated {largest} bytes");
}
