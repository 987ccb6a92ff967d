//! Stories of batch jobs that would not fit: refused at once and in time, and taken again once there is room.

mod common;

use common::{Fleet, MS, figure, read, settle, stores};
use rainlug::SECOND;
use rainlug_coordinator::capacity::lag_bytes;
use rainlug_coordinator::{Answer, BATCH_SHARDS, Call};

/// Bytes that the narrowest bound leaves to batch jobs.
const NARROW: u64 = 2_000_000;
const ITEMS: usize = 20;

fn submit(id: &str) -> Call {
    common::submit(id, ITEMS)
}

fn sum(fleet: &Fleet, name: &str) -> f64 {
    stores(fleet).into_iter().filter_map(|at| figure(fleet, at, name)).sum()
}

/// Three stores, each with all parts, whose outputs are 2 KB long and kept for 25 s.
fn three_stores(seed: u64, narrow: impl Fn(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::new(4, 4, 3, seed);
    fleet.run_time = 2 * SECOND;
    fleet.output_padding = 2_000;
    fleet.status_time = 5 * SECOND;
    narrow(&mut fleet);
    settle(&mut fleet);
    fleet
}

fn little_memory(fleet: &mut Fleet) {
    fleet.disk_bytes = 32 << 20;
    let tails = usize::from(BATCH_SHARDS) * lag_bytes(fleet.disk_bytes);
    fleet.memory_bytes = 40_000_000 + tails + NARROW as usize / 4 * 5;
}

fn little_disk(fleet: &mut Fleet) {
    fleet.disk_bytes = NARROW as usize;
}

fn slow_link(fleet: &mut Fleet) {
    // In 5 s, of which 1.5 s pass before the copy, at three quarters of the link.
    fleet.link_bytes_per_second = NARROW * 4 / 3 * 2 / 7;
}

/// Whether a store has no more in use of its bounds than it may.
fn is_within_bounds(fleet: &Fleet, at: usize) -> bool {
    let of = |name: &str| figure(fleet, at, name).unwrap_or(f64::MAX);
    of("room_memory_bytes") <= of("room_memory_limit_bytes")
        && of("room_disk_bytes") <= of("room_disk_limit_bytes")
        && of("room_refill_seconds") <= of("room_refill_limit_seconds")
}

/// A job was just taken by a leader that has no more in use than it may.
fn assert_taken_within_bounds(fleet: &Fleet) {
    let mut leaders = (1..=BATCH_SHARDS).filter_map(|shard| fleet.leader(shard));
    assert!(leaders.any(|at| is_within_bounds(fleet, at)), "no leader had room for what was taken");
}

/// No store's state takes more of memory, or longer to copy, than it may. Files of those that do not lead may
/// be longer than the leader's until they are rewritten.
fn assert_state_within_bounds(fleet: &Fleet) {
    for at in stores(fleet) {
        let of = |name: &str| figure(fleet, at, name).unwrap_or(0.0);
        let state: f64 = (1..=BATCH_SHARDS).map(|shard| of(&format!("part_{shard}_bytes"))).sum();
        assert!(state <= of("room_memory_limit_bytes"), "store {at}: {state} bytes of state");
        let (needed, allowed) = (of("room_refill_seconds"), of("room_refill_limit_seconds"));
        assert!(needed <= allowed, "store {at}: a refill takes {needed} s of {allowed}");
    }
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503);
    let retry = answer.retry_after.expect("a refusal tells when to come back");
    assert!((SECOND..=5 * SECOND).contains(&retry), "come back after {retry} us");
}

/// Jobs are submitted for 100 s, faster than outputs are forgotten.
fn refuses_and_takes_again(seed: u64, reason: &str, narrow: impl Fn(&mut Fleet)) {
    let mut fleet = three_stores(seed, narrow);
    let (mut accepted, mut refused, mut taken_after) = (Vec::new(), 0, 0);
    let (mut taken_at, mut known_again) = (fleet.now, 0);
    for nth in 0..200 {
        let id = format!("job-{nth}");
        let answer = fleet.ask(5, submit(&id), 0.4).expect("an answer at once");
        if answer.status == 202 {
            accepted.push(id);
            taken_at = fleet.now;
            taken_after += usize::from(refused > 0);
            assert_taken_within_bounds(&fleet);
        } else {
            assert_refused(&answer);
            refused += 1;
            // Known jobs are never refused: here the newest, as long as it is not forgotten.
            let known = accepted.last().expect("one was accepted");
            if fleet.now - taken_at < 24 * SECOND {
                assert_eq!(fleet.ask(6, submit(known), 0.4).map(|a| a.status), Some(202), "{known}");
                known_again += 1;
            }
        }
        assert_state_within_bounds(&fleet);
        fleet.pass(0.5);
        assert_state_within_bounds(&fleet);
    }
    assert!(refused > 10 && taken_after > 10, "{refused} refused, {taken_after} taken after the first");
    assert!(known_again > 10, "{known_again} known ones sent again");
    let counted = sum(&fleet, &format!("batch_jobs_refused_{reason}"));
    assert!(counted > 0.0, "none was refused for {reason}");
    // Whatever was refused last: in the end a job is taken and all of it is listed.
    let last = "the-last";
    let is_taken = (0..60).any(|_| {
        fleet.pass(1.0);
        fleet.ask(5, submit(last), 0.4).is_some_and(|answer| answer.status == 202)
    });
    assert!(is_taken, "once outputs are forgotten there is room");
    fleet.pass(10.0);
    let answer = fleet.ask(6, read(last), 2.0).expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(text.matches("\"complete\"").count(), ITEMS, "{}", answer.status);
}

#[test]
fn given_little_memory_when_outputs_grow_then_jobs_are_refused_before_it_is_full_and_taken_once_they_are_forgotten()
 {
    refuses_and_takes_again(71, "memory", little_memory);
}

#[test]
fn given_a_small_disk_when_outputs_grow_then_jobs_are_refused_before_it_is_full_and_taken_once_they_are_forgotten()
 {
    refuses_and_takes_again(72, "disk", little_disk);
}

#[test]
fn given_a_slow_link_when_outputs_grow_then_jobs_are_refused_before_a_recovery_takes_too_long_and_taken_later()
 {
    refuses_and_takes_again(73, "refill", slow_link);
}

#[test]
fn given_all_lose_power_at_the_bound_then_what_was_accepted_is_there_and_new_jobs_are_refused() {
    let mut fleet = three_stores(74, slow_link);
    let mut accepted = Vec::new();
    for nth in 0..60 {
        let id = format!("job-{nth}");
        if fleet.ask(5, submit(&id), 0.4).map(|a| a.status) == Some(202) {
            accepted.push(id);
        }
        fleet.pass(0.1);
    }
    assert!(accepted.len() < 60, "none was refused");
    (0..fleet.machines.len()).for_each(|at| fleet.kill(at, true));
    (0..fleet.machines.len()).for_each(|at| fleet.start(at, false));
    fleet.pass(5.0);
    for id in &accepted {
        assert_eq!(fleet.ask(6, read(id), 2.0).map(|a| a.status), Some(200), "{id}");
    }
    assert_state_within_bounds(&fleet);
    // Leaders of parts are others now, so a little more may fit; it ends before any bound is passed.
    let mut refused = 0;
    for nth in 0..20 {
        let answer = fleet.ask(5, submit(&format!("one-more-{nth}")), 0.4).expect("an answer at once");
        if answer.status == 202 {
            assert_taken_within_bounds(&fleet);
        } else {
            assert_refused(&answer);
            refused += 1;
        }
        assert_state_within_bounds(&fleet);
    }
    assert!(refused > 10, "{refused} of 20 refused");
}

/// Bytes a second of each machine's link where refills are timed.
const LINK: u64 = 7_500_000;

/// The stores that lack anything of what the leaders have.
fn lacking(fleet: &Fleet, among: &[usize]) -> Vec<usize> {
    let has_all = |at: usize| {
        let id = fleet.machines[at].disk.as_ref().map(|disk| disk.id);
        (1..=BATCH_SHARDS).all(|shard| {
            let Some(leader) = fleet.leader(shard) else { return false };
            let Some(coordinator) = &fleet.machines[leader].coordinator else { return false };
            let bytes = |at| figure(fleet, at, &format!("part_{shard}_bytes"));
            let is_member =
                coordinator.shard_status(shard).members.iter().any(|member| Some(member.id) == id);
            is_member && bytes(at).is_some() && bytes(at) == bytes(leader)
        })
    };
    among.iter().copied().filter(|at| !has_all(*at)).collect()
}

/// Two of five stores lose their disks at once, while all have as much as they may by the link that they are
/// told of: how many seconds after their start they have all again. They lead as many parts as any two do, or as few.
fn refill_takes(seed: u64, with_leader: bool, told_link: u64) -> f64 {
    refill_over_takes(LINK, 35_000, seed, with_leader, told_link)
}

/// The same over links of so many bytes a second, with outputs of so many bytes an event.
fn refill_over_takes(link: u64, output_padding: usize, seed: u64, with_leader: bool, told_link: u64) -> f64 {
    let mut fleet = Fleet::new(5, 2, 5, seed);
    fleet.tolerate = 2;
    fleet.seeds = 5;
    fleet.link = Some(link);
    fleet.link_bytes_per_second = told_link;
    fleet.output_padding = output_padding;
    settle(&mut fleet);
    let mut refused = 0;
    for nth in 0..200 {
        let id = format!("job-{nth}");
        let answer = fleet.ask(5, submit(&id), 2.0).expect("an answer");
        refused += usize::from(answer.status == 503);
        fleet.pass(0.3);
    }
    assert!(refused > 0 && sum(&fleet, "batch_jobs_refused_refill") > 0.0, "{refused} refused");
    fleet.pass(5.0);
    let reckoned = stores(&fleet).into_iter().filter_map(|at| figure(&fleet, at, "room_refill_seconds"));
    let longest = reckoned.fold(0.0, f64::max);
    assert!((4.5..=5.0).contains(&longest), "a refill takes {longest} s as reckoned");
    let leaders: Vec<usize> = (1..=BATCH_SHARDS).filter_map(|shard| fleet.leader(shard)).collect();
    let shards_led = |at: &usize| leaders.iter().filter(|leader| *leader == at).count();
    let mut lost = stores(&fleet);
    lost.sort_by_key(shards_led);
    if with_leader {
        lost.reverse();
    }
    lost.truncate(2);
    let lost_leaders: usize = lost.iter().map(shards_led).sum();
    assert!(lost_leaders < leaders.len(), "none that leads is left");
    assert!(lost_leaders > 0 || !with_leader, "none that leads is lost");
    lost.iter().for_each(|at| fleet.wipe(*at));
    fleet.pass(0.5);
    lost.iter().for_each(|at| fleet.start(*at, false));
    let begun = fleet.now;
    let is_whole = fleet.until(30.0, |fleet| lacking(fleet, &lost).is_empty());
    assert!(is_whole, "seed {seed}: never whole: {:?}", lacking(&fleet, &lost));
    (fleet.now - begun) as f64 / 1e6
}

#[test]
fn given_stores_at_the_bound_when_two_disks_are_lost_then_they_are_filled_again_in_time() {
    for seed in 80..83 {
        let took = refill_takes(seed, false, LINK);
        assert!(took <= 5.0, "seed {seed}: {took} s");
    }
}

#[test]
fn given_stores_at_the_bound_when_a_leaders_disk_is_lost_too_then_they_are_filled_again_in_time() {
    for seed in 83..86 {
        let took = refill_takes(seed, true, LINK);
        assert!(took <= 5.0, "seed {seed}: {took} s");
    }
}

#[test]
fn given_stores_that_assume_a_faster_link_when_two_disks_are_lost_then_the_story_finds_it_too_late() {
    let took = refill_takes(86, false, 3 * LINK);
    assert!(took > 5.0, "the story would find nothing: {took} s");
}

/// Bytes a second of a link over which two pieces of a snapshot take longer than the pause between heartbeats.
const SLOW_LINK: u64 = 2_000_000;

#[test]
fn given_links_on_which_a_piece_takes_longer_than_a_heartbeat_when_two_disks_are_lost_then_they_are_filled_in_time()
 {
    for seed in 87..90 {
        let took = refill_over_takes(SLOW_LINK, 3_000, seed, false, SLOW_LINK);
        assert!(took <= 5.0, "seed {seed}: {took} s");
    }
}

/// How long outputs have to be there in the stories of clocks, in seconds.
const STATUS: i64 = 20;

/// The time after which a finished job is not found any more, where the leader that took it is killed and the
/// others' times of day are ahead by so much.
fn kept_for(seed: u64, skew_ms: i64) -> i64 {
    let mut fleet = Fleet::new(3, 1, 3, seed);
    fleet.status_time = STATUS * SECOND;
    settle(&mut fleet);
    let sent = fleet.now;
    assert_eq!(fleet.ask(0, submit("kept"), 3.0).map(|a| a.status), Some(202));
    fleet.pass(3.0);
    let before = fleet.ask(1, read("kept"), 3.0).expect("an answer");
    assert_eq!(before.status, 200);
    let all = stores(&fleet);
    let leader = *all.iter().find(|at| fleet.leader(shard_of_kept(&fleet)) == Some(**at)).expect("one leads");
    all.iter().filter(|at| **at != leader).for_each(|at| fleet.machines[*at].skew = skew_ms * MS);
    fleet.kill(leader, true);
    loop {
        fleet.pass(0.5);
        let answer = fleet.ask(1, read("kept"), 3.0).expect("an answer");
        match answer.status {
            200 => assert_eq!(answer.body, before.body),
            404 => return (fleet.now - sent) / SECOND,
            _ => {}
        }
        assert!(fleet.now - sent < 200 * SECOND, "never forgotten");
    }
}

/// The part that has the one batch job.
fn shard_of_kept(fleet: &Fleet) -> u16 {
    let bytes = |shard: &u16| sum(fleet, &format!("part_{shard}_bytes")) as u64;
    (1..=BATCH_SHARDS).max_by_key(bytes).expect("there are parts")
}

#[test]
fn given_a_leader_whose_clock_is_ahead_when_it_takes_over_then_outputs_stay_as_long_as_they_must_and_go_soon_after()
 {
    for (seed, skew_ms) in [(90, 0), (91, 2_500), (92, 4_000), (93, -4_000)] {
        let kept = kept_for(seed, skew_ms);
        // A margin is left, and then one more time between two orders to forget passes at most.
        assert!(
            (STATUS + 10..=STATUS + 20 + 20 + 5).contains(&kept),
            "{skew_ms} ms ahead: kept for {kept} s"
        );
    }
}

#[test]
fn given_clocks_further_apart_than_the_slack_then_the_story_finds_outputs_that_went_too_early() {
    assert!(kept_for(94, 45_000) < STATUS, "the story would find nothing");
}

/// A store comes back with a disk of so many bytes; the other two are as they were.
fn give_small_disk(fleet: &mut Fleet, store: usize, bytes: usize) {
    let usual = fleet.disk_bytes;
    fleet.kill(store, false);
    fleet.pass(0.5);
    fleet.disk_bytes = bytes;
    fleet.start(store, false);
    fleet.disk_bytes = usual;
    fleet.pass(3.0);
}

/// Submits for a minute: how many jobs were taken, and how many refused.
fn submit_for_a_minute(fleet: &mut Fleet) -> (usize, usize) {
    let (mut taken, mut refused) = (0, 0);
    for nth in 0..240 {
        let answer = fleet.ask(4, submit(&format!("minute-{nth}")), 3.5);
        match answer.map(|answer| answer.status) {
            Some(202) => taken += 1,
            Some(503) => refused += 1,
            other => panic!("job {nth}: {other:?}"),
        }
        fleet.pass(0.25);
    }
    (taken, refused)
}

#[test]
fn given_a_follower_whose_disk_is_smaller_when_jobs_come_then_its_leaders_refuse_what_it_cannot_hold() {
    for seed in 0..4 {
        let mut fleet = three_stores(80 + seed, |_| {});
        let small = stores(&fleet)[seed as usize % 3];
        let (taken_before, refused_before) = submit_for_a_minute(&mut fleet);
        assert!(taken_before > 200 && refused_before == 0, "seed {seed}: {taken_before} {refused_before}");
        fleet.pass(40.0);
        give_small_disk(&mut fleet, small, NARROW as usize);
        // What the small one leads it bounds itself; here the others lead.
        fleet.transfer_leaderships(small);
        fleet.pass(3.0);
        assert_eq!(fleet.led_shards(small), 0, "seed {seed}");
        let (taken, refused) = submit_for_a_minute(&mut fleet);
        assert!(taken > 0 && refused > 0, "seed {seed}: {taken} taken, {refused} refused");
        assert!(sum(&fleet, "batch_jobs_refused_follower") > 0.0, "seed {seed}");
        let of = |name: &str| figure(&fleet, small, name).unwrap_or(f64::MAX);
        let state: f64 = (1..=BATCH_SHARDS).map(|shard| of(&format!("part_{shard}_bytes"))).sum();
        assert!(state <= of("room_disk_limit_bytes"), "seed {seed}: {state}");
        // As outputs are forgotten there is room again.
        fleet.pass(60.0);
        assert_eq!(fleet.ask(4, submit("again"), 3.5).map(|a| a.status), Some(202), "seed {seed}");
    }
}
