//! Random schedules: operators at work, one fault after the other, and the whole history checked.

use crate::faults::{FAULTS, VICTIMS, Victim, inject, pick};
use crate::operator::{Campaign, Habits};

/// How many schedules are played; `RAINLUG_COURSES` sets another number.
const COURSES: u64 = 200;
/// The first schedule's seed; `RAINLUG_COURSE_SEED` sets another one.
const SEED: u64 = 1;
/// One schedule in so many has batch jobs and workers too: they take longer.
const ERRANDS_SHARE: u64 = 5;
/// A thread plays every so many'th schedule.
const LANES: u64 = 4;

fn figure(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn schedule(seed: u64) {
    let core = if seed.is_multiple_of(4) { 5 } else { 3 };
    let habits = Habits { operators: 3 + (seed % 6) as usize, ..Habits::default() };
    let mut campaign = Campaign::new(core, 1, 0, habits, seed);
    for _ in 0..2 {
        let fault = FAULTS[campaign.draw(FAULTS.len())];
        let victim = VICTIMS[campaign.draw(VICTIMS.len())];
        let seconds = 0.2 + campaign.draw(40) as f64 / 10.0;
        campaign.pass(0.3);
        let at = pick(&campaign.fleet, victim);
        inject(&mut campaign, fault, at, seconds);
        campaign.pass(2.5);
    }
    let judged = campaign.judge();
    assert_eq!(judged, Ok(()), "schedule {seed}");
}

/// The same with stores, batch jobs and workers, and fewer operators.
fn schedule_with_requests(seed: u64) {
    let habits = Habits { operators: 2, ..Habits::default() };
    let mut campaign = Campaign::new(3, 1, 4, habits, seed);
    campaign.fleet.pass(6.0);
    campaign.add_requests(4);
    for _ in 0..2 {
        let fault = FAULTS[campaign.draw(FAULTS.len())];
        let victims = [Victim::Leader, Victim::Oldest, Victim::StoreLeader, Victim::StoreLeader];
        let victim = victims[campaign.draw(victims.len())];
        let seconds = 0.2 + campaign.draw(60) as f64 / 10.0;
        campaign.pass(0.5);
        let at = pick(&campaign.fleet, victim);
        inject(&mut campaign, fault, at, seconds);
        campaign.pass(4.0);
    }
    let judged = campaign.judge();
    assert_eq!(judged, Ok(()), "schedule {seed}");
}

#[test]
fn given_batch_jobs_and_workers_when_machines_have_faults_then_what_was_acknowledged_is_never_refused() {
    let (first, count) = (figure("RAINLUG_COURSE_SEED", SEED), figure("RAINLUG_COURSES", COURSES));
    (first..first + count / ERRANDS_SHARE).for_each(schedule_with_requests);
}

fn lane(nth: u64) {
    let (first, count) = (figure("RAINLUG_COURSE_SEED", SEED), figure("RAINLUG_COURSES", COURSES));
    (first..first + count).filter(|seed| seed % LANES == nth).for_each(schedule);
}

#[test]
fn given_operators_and_faults_when_a_first_lane_of_schedules_is_run_then_the_register_is_linearizable() {
    lane(0);
}

#[test]
fn given_operators_and_faults_when_a_second_lane_of_schedules_is_run_then_the_register_is_linearizable() {
    lane(1);
}

#[test]
fn given_operators_and_faults_when_a_third_lane_of_schedules_is_run_then_the_register_is_linearizable() {
    lane(2);
}

#[test]
fn given_operators_and_faults_when_a_fourth_lane_of_schedules_is_run_then_the_register_is_linearizable() {
    lane(3);
}
