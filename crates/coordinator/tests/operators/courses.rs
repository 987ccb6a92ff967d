//! Random courses: operators at work, one trouble after the other, and the whole history checked.

use crate::operator::{Campaign, Habits};
use crate::trouble::{TROUBLES, VICTIMS, befall, pick};

/// How many courses are played; `RAINLUG_COURSES` sets another number.
const COURSES: u64 = 200;
/// The first course's seed; `RAINLUG_COURSE_SEED` sets another one.
const SEED: u64 = 1;
/// A thread plays every so many'th course.
const LANES: u64 = 4;

fn figure(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn course(seed: u64) {
    let core = if seed.is_multiple_of(4) { 5 } else { 3 };
    let habits = Habits { operators: 3 + (seed % 6) as usize, ..Habits::default() };
    let mut campaign = Campaign::new(core, 1, 0, habits, seed);
    for _ in 0..2 {
        let trouble = TROUBLES[campaign.draw(TROUBLES.len())];
        let victim = VICTIMS[campaign.draw(VICTIMS.len())];
        let seconds = 0.2 + campaign.draw(40) as f64 / 10.0;
        campaign.pass(0.3);
        let at = pick(&campaign.fleet, victim);
        befall(&mut campaign, trouble, at, seconds);
        campaign.pass(2.5);
    }
    let judged = campaign.judge();
    assert_eq!(judged, Ok(()), "course {seed}");
}

fn lane(nth: u64) {
    let (first, count) = (figure("RAINLUG_COURSE_SEED", SEED), figure("RAINLUG_COURSES", COURSES));
    (first..first + count).filter(|seed| seed % LANES == nth).for_each(course);
}

#[test]
fn given_operators_and_troubles_when_a_first_lane_of_courses_is_played_then_the_register_is_linearizable() {
    lane(0);
}

#[test]
fn given_operators_and_troubles_when_a_second_lane_of_courses_is_played_then_the_register_is_linearizable() {
    lane(1);
}

#[test]
fn given_operators_and_troubles_when_a_third_lane_of_courses_is_played_then_the_register_is_linearizable() {
    lane(2);
}

#[test]
fn given_operators_and_troubles_when_a_fourth_lane_of_courses_is_played_then_the_register_is_linearizable() {
    lane(3);
}
