//! Replica sets of stores that change beside a loss: one store is ordered to be emptied or replaced as planned, and another one is lost
//! at any moment of that. The shards of batch jobs serve again, and what was accepted is read.

mod common;

use common::{Fleet, configuration, jobs_of, read, settled, stores, submit};
use rainlug::{SECOND, Time};
use rainlug_coordinator::{Answer, BATCH_SHARDS, Call};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// After a loss everything serves again within this time, in seconds (`recover_s` of the smallest deployment).
const RECOVERY_TIME: f64 = 12.0;
/// A machine that is new or back counts as lost for so long, in seconds (`sync_s`).
const SYNC_TIME: f64 = 5.0;
/// How long an answer may take, in seconds.
const ANSWER_TIME: f64 = 2.0;

fn status(answer: Option<Answer>) -> Option<u16> {
    answer.map(|answer| answer.status)
}

/// A batch job for each shard.
fn jobs() -> Vec<String> {
    (1..=BATCH_SHARDS).map(|shard| jobs_of(shard, 1).remove(0)).collect()
}

/// A gateway that runs.
fn gateway(fleet: &Fleet) -> usize {
    let runs = |at: &usize| fleet.machines[*at].gateway && fleet.machines[*at].coordinator.is_some();
    (0..fleet.machines.len()).find(runs).expect("a gateway")
}

/// Asks until the answer has this status; panics where it does not come in time.
#[track_caller]
fn until_status(fleet: &mut Fleet, expected: u16, within: f64, what: &str, call: impl Fn() -> Call) {
    let end = fleet.now + (within * SECOND as f64) as Time;
    let mut last = None;
    while fleet.now < end {
        let at = gateway(fleet);
        last = status(fleet.ask(at, call(), ANSWER_TIME));
        if last == Some(expected) {
            return;
        }
        fleet.pass(0.1);
    }
    panic!("{what}: {last:?} after {within} s");
}

/// Every shard takes a job and has it read.
#[track_caller]
fn accept_jobs(fleet: &mut Fleet, within: f64, what: &str) {
    for job in jobs() {
        until_status(fleet, 202, within, what, || submit(&job, 3));
    }
}

/// The job of every shard is read, and a new one is taken.
#[track_caller]
fn all_shards_serve(fleet: &mut Fleet, within: f64, what: &str) {
    let end = fleet.now + (within * SECOND as f64) as Time;
    for job in jobs() {
        let left = |fleet: &Fleet| (end - fleet.now).max(SECOND) as f64 / SECOND as f64;
        let time = left(fleet);
        until_status(fleet, 200, time, what, || read(&job));
        let time = left(fleet);
        until_status(fleet, 202, time, what, || submit(&job, 3));
    }
    // What is new is committed, too.
    for shard in 1..=BATCH_SHARDS {
        let job = jobs_of(shard, 2).remove(1);
        until_status(fleet, 202, within, what, || submit(&job, 1));
    }
}

fn retire(fleet: &mut Fleet, store: usize) {
    let name = fleet.machines[store].name.clone();
    until_status(fleet, 200, ANSWER_TIME, "the order to empty a store", || Call::Retire {
        store: name.clone(),
    });
}

fn is_retired(fleet: &mut Fleet, store: usize) -> bool {
    let name = fleet.machines[store].name.clone();
    let at = gateway(fleet);
    let answer = fleet.ask(at, Call::RetirementStatus { store: name }, ANSWER_TIME);
    answer.is_some_and(|answer| answer.body == "{\"state\":\"complete\"}")
}

/// The replica set of each shard as every store knows it.
fn replica_sets(fleet: &Fleet) -> String {
    let mut lines = Vec::new();
    for at in stores(fleet) {
        let Some(store) = &fleet.machines[at].coordinator else { continue };
        for shard in 1..=BATCH_SHARDS {
            let known = store.shard_status(shard);
            let names: Vec<&str> = known.members.iter().map(|member| member.name.as_str()).collect();
            lines.push(format!("{at}, shard {shard}: leads {}, {names:?}", known.is_leader));
        }
    }
    lines.join("\n")
}

/// Waits until a store may be taken away, and takes it away.
#[track_caller]
fn take_away_when_retired(fleet: &mut Fleet, store: usize, within: f64, what: &str) {
    let end = fleet.now + (within * SECOND as f64) as Time;
    while !is_retired(fleet, store) {
        assert!(
            fleet.now < end,
            "{what}: the store is not emptied within {within} s: {}",
            replica_sets(fleet)
        );
        fleet.pass(0.1);
    }
    fleet.kill(store, true);
}

/// A new store with an empty disk, in the zone of another one.
fn add_store(fleet: &mut Fleet, zone_of: usize) -> usize {
    let new = fleet.add(false, true, zone_of % 3);
    fleet.start(new, false);
    new
}

/// A fleet of three stores with a job in every shard; the stores, turned by the seed.
fn three_stores(seed: u64) -> (Fleet, [usize; 3]) {
    let mut fleet = settled(3, 2, 3, 1_300 + seed);
    accept_jobs(&mut fleet, 5.0, "before");
    fleet.pass(1.0);
    let mut turned = stores(&fleet);
    turned.rotate_left(seed as usize % 3);
    (fleet, [turned[0], turned[1], turned[2]])
}

/// What becomes of a store that is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is gone for good, and a new one with an empty disk comes.
    Replaced,
    /// It is back after a while, with its disk.
    Away,
    /// It is back with an empty disk.
    Wiped,
    /// It stands still for a while.
    Frozen,
}

/// A store is lost beside the order to empty another one: so long after the order, or before it, in seconds.
fn loss_beside_retirement(seed: u64, loss: Loss, after_order: f64) {
    let what = format!("seed {seed}, {loss:?}, {after_order} s after the order");
    let (mut fleet, [retiring, lost, _]) = three_stores(seed);
    let lose = |fleet: &mut Fleet| match loss {
        Loss::Replaced | Loss::Away => fleet.kill(lost, true),
        Loss::Wiped => fleet.wipe(lost),
        Loss::Frozen => fleet.freeze(lost),
    };
    if after_order < 0.0 {
        lose(&mut fleet);
        fleet.pass(-after_order);
        retire(&mut fleet, retiring);
    } else {
        retire(&mut fleet, retiring);
        fleet.pass(after_order);
        lose(&mut fleet);
    }
    match loss {
        Loss::Replaced => {
            fleet.pass(1.0);
            add_store(&mut fleet, lost);
        }
        Loss::Wiped => {
            fleet.pass(1.0);
            fleet.start(lost, false);
        }
        Loss::Away => {
            // Two of three are left, and serve, unless one of them was emptied already, as reports under way may say.
            fleet.pass(1.0);
            if !is_retired(&mut fleet, retiring) {
                all_shards_serve(&mut fleet, RECOVERY_TIME, &what);
            }
            fleet.start(lost, false);
        }
        Loss::Frozen => {
            fleet.pass(3.0);
            fleet.thaw(lost);
        }
    }
    all_shards_serve(&mut fleet, RECOVERY_TIME, &what);
    // The order was answered with 200: it goes on by itself.
    take_away_when_retired(&mut fleet, retiring, 2.0 * RECOVERY_TIME, &what);
    fleet.pass(SYNC_TIME);
    all_shards_serve(&mut fleet, RECOVERY_TIME, &format!("{what}, then it was taken away"));
}

/// When a store is lost beside the order, in seconds after it: before it is noticed, before the change is proposed, before it is
/// committed, before it is reported, and after all that.
const MOMENTS: [f64; 12] = [-1.2, -0.8, -0.3, -0.02, 0.0, 0.01, 0.03, 0.1, 0.2, 0.3, 0.45, 0.7];

/// Each moment with each store as the one that is to be emptied.
fn moments() -> impl Iterator<Item = (u64, f64)> {
    (0..3 * MOMENTS.len() as u64).map(|seed| (seed, MOMENTS[seed as usize / 3]))
}

/// Guards against review/1: two of three members lived and had everything, and no shard could decide anything any more.
#[test]
fn given_a_store_gone_for_good_when_another_one_is_ordered_to_be_emptied_then_all_shards_serve_again() {
    for (seed, moment) in moments() {
        loss_beside_retirement(seed, Loss::Replaced, moment);
    }
}

/// The same for a store that comes back: meanwhile the one that is to be emptied still has everything and votes.
#[test]
fn given_a_store_that_is_away_when_another_one_is_ordered_to_be_emptied_then_all_shards_serve_without_it() {
    for (seed, moment) in moments() {
        loss_beside_retirement(seed, Loss::Away, moment);
    }
}

/// The same for a disk that is lost, and a store that stands still.
#[test]
fn given_a_store_wiped_or_frozen_when_another_one_is_ordered_to_be_emptied_then_all_shards_serve_again() {
    for (seed, moment) in moments() {
        loss_beside_retirement(seed, Loss::Wiped, moment);
        loss_beside_retirement(seed, Loss::Frozen, moment);
    }
}

/// Kills all that run but these, and starts them again after a second.
fn lose_power(fleet: &mut Fleet, but: &[usize]) {
    let runs = |at: &usize| fleet.machines[*at].coordinator.is_some() && !but.contains(at);
    let up: Vec<usize> = (0..fleet.machines.len()).filter(runs).collect();
    up.iter().for_each(|at| fleet.kill(*at, true));
    fleet.pass(1.0);
    up.iter().for_each(|at| fleet.start(*at, false));
}

/// A store is emptied and taken away, another one is replaced as planned (the new one first), and so long after that, in seconds, the
/// one that is left of the first three loses its disk; all others lose power then, or not.
fn loss_after_planned_changes(seed: u64, after: f64, with_power_loss: bool) {
    let what = format!("seed {seed}, {after} s after the replacement, power lost: {with_power_loss}");
    let (mut fleet, [retiring, replaced, last]) = three_stores(seed);
    retire(&mut fleet, retiring);
    take_away_when_retired(&mut fleet, retiring, RECOVERY_TIME, &what);
    fleet.pass(1.0);
    let successor = add_store(&mut fleet, replaced);
    fleet.pass(SYNC_TIME);
    fleet.end_in_order(replaced);
    fleet.pass(after);
    fleet.wipe(last);
    if with_power_loss {
        lose_power(&mut fleet, &[last]);
    } else {
        fleet.pass(1.0);
    }
    fleet.start(last, false);
    all_shards_serve(&mut fleet, RECOVERY_TIME, &what);
    // And the next one, once the lost one is whole again.
    fleet.pass(SYNC_TIME);
    fleet.wipe(successor);
    fleet.pass(1.0);
    fleet.start(successor, false);
    all_shards_serve(&mut fleet, RECOVERY_TIME, &format!("{what}, then the successor"));
}

/// Guards against review/2: a member that was gone for good stayed in each set of three, and the loss of one more disk left no majority.
#[test]
fn given_a_store_emptied_and_another_replaced_when_the_last_one_is_lost_then_all_shards_serve_again() {
    for (seed, after) in [0.0, 0.05, 0.3, 1.0, 2.0, 3.9, 4.1, 6.0].into_iter().enumerate() {
        loss_after_planned_changes(seed as u64, after, false);
        loss_after_planned_changes(seed as u64 + 1, after, true);
    }
}

/// The same without a planned end: a member that is gone for good and has no successor leaves after a while.
#[test]
fn given_two_stores_and_a_dead_one_when_another_disk_is_lost_later_then_all_shards_serve_again() {
    for seed in 0..6 {
        let (mut fleet, [dead, lost, _]) = three_stores(seed);
        fleet.kill(dead, true);
        fleet.pass(8.0);
        fleet.wipe(lost);
        fleet.pass(1.0);
        fleet.start(lost, false);
        all_shards_serve(&mut fleet, RECOVERY_TIME, &format!("seed {seed}"));
        // The dead one wakes with its log and its votes, and is a member again.
        fleet.start(dead, false);
        fleet.pass(SYNC_TIME);
        all_shards_serve(&mut fleet, RECOVERY_TIME, &format!("seed {seed}, all are back"));
    }
}

/// Stores that are restarted in turn leave and come back, each with what its disk has.
#[test]
fn given_stores_restarted_in_turn_when_each_is_back_at_once_then_no_other_one_is_filled_and_all_shards_serve()
{
    for (seed, count) in [(0, 3), (1, 3), (2, 4), (3, 5)] {
        let mut fleet = settled(3, 2, count, 1_400 + seed);
        accept_jobs(&mut fleet, 5.0, "before");
        fleet.pass(1.0);
        let members = |fleet: &Fleet| {
            let sorted = |shard| {
                fleet.members_of(shard).map(|mut members| {
                    members.sort_unstable();
                    members
                })
            };
            (1..=BATCH_SHARDS).map(sorted).collect::<Vec<_>>()
        };
        let before = members(&fleet);
        for store in stores(&fleet) {
            fleet.end_in_order(store);
            fleet.pass(0.5);
            fleet.start(store, false);
            all_shards_serve(&mut fleet, RECOVERY_TIME, &format!("seed {seed}, {count} stores"));
            fleet.pass(SYNC_TIME);
        }
        assert_eq!(members(&fleet), before, "seed {seed}, {count} stores");
    }
}

/// A gateway of the core is replaced as planned, and so long after that, in seconds, another one loses its disk.
fn core_loss_after_replacement(seed: u64, after: f64, with_power_loss: bool) {
    let what = format!("seed {seed}, {after} s after the replacement, power lost: {with_power_loss}");
    let mut fleet = settled(3, 2, 3, 1_500 + seed);
    accept_jobs(&mut fleet, 5.0, "before");
    let (replaced, lost) = (seed as usize % 3, (seed as usize + 1 + seed as usize / 3 % 2) % 3);
    let successor = fleet.add(true, true, replaced);
    fleet.start(successor, false);
    fleet.pass(SYNC_TIME);
    fleet.end_in_order(replaced);
    fleet.pass(after);
    fleet.wipe(lost);
    if with_power_loss {
        lose_power(&mut fleet, &[lost]);
    } else {
        fleet.pass(1.0);
    }
    fleet.start(lost, false);
    until_status(&mut fleet, 200, RECOVERY_TIME, &what, || Call::Configure {
        base: 5,
        text: configuration(6, "notary"),
    });
    all_shards_serve(&mut fleet, RECOVERY_TIME, &what);
}

/// The same cause at the configuration's shard: a member that had ended as planned was replaced only after it had been absent for a while.
#[test]
fn given_a_core_gateway_replaced_when_another_one_is_lost_at_once_then_the_configuration_is_still_decided() {
    for (seed, after) in [0.0, 0.05, 0.3, 1.0, 2.0, 3.9, 4.1, 6.0].into_iter().enumerate() {
        core_loss_after_replacement(seed as u64, after, false);
        core_loss_after_replacement(seed as u64 + 1, after, true);
    }
}

/// A store is replaced as planned and told to end, and another one loses its disk so long after that, in seconds: it ends once it is not needed.
#[test]
fn given_a_store_told_to_end_when_another_disk_is_lost_before_it_ends_then_all_shards_serve_again() {
    for (seed, after) in [0.0, 0.02, 0.1, 0.3, 0.6].into_iter().enumerate() {
        let what = format!("seed {seed}, {after} s after it was told to end");
        let (mut fleet, [retiring, replaced, last]) = three_stores(seed as u64);
        retire(&mut fleet, retiring);
        take_away_when_retired(&mut fleet, retiring, RECOVERY_TIME, &what);
        let _successor = add_store(&mut fleet, replaced);
        fleet.pass(SYNC_TIME);
        fleet.tell_to_end(replaced);
        fleet.pass(after);
        fleet.wipe(last);
        fleet.pass(1.0);
        fleet.start(last, false);
        fleet.end_when_released(replaced);
        all_shards_serve(&mut fleet, RECOVERY_TIME, &what);
    }
}

/// A process that has been left out and still has calls to answer was added again, and then ended as a member.
#[test]
fn given_a_store_that_takes_long_to_end_when_it_was_left_out_then_no_set_has_it_when_it_ends() {
    let (mut fleet, [ending, _, _]) = three_stores(1);
    fleet.tell_to_end(ending);
    fleet.pass(6.0);
    fleet.end_when_released(ending);
    for shard in 1..=BATCH_SHARDS {
        let members = fleet.members_of(shard).expect("it has a leader");
        assert!(!members.contains(&ending), "shard {shard}: {members:?}");
    }
}

/// Found by the soak: a lost disk whose machine was back counted as present, so the other one, away for a while, was fenced as the absent
/// half, and nobody that held anything could decide any more.
#[test]
fn given_two_members_one_wiped_and_back_when_the_other_is_away_then_it_is_not_fenced_and_serves_again() {
    for (seed, after) in [0.0, 0.1, 0.3, 0.6].into_iter().enumerate() {
        let what = format!("seed {seed}, {after} s after the wiped one was back");
        let (mut fleet, [retiring, wiped, away]) = three_stores(seed as u64);
        retire(&mut fleet, retiring);
        take_away_when_retired(&mut fleet, retiring, RECOVERY_TIME, &what);
        fleet.pass(1.0);
        fleet.wipe(wiped);
        fleet.pass(1.0);
        fleet.start(wiped, false);
        fleet.pass(after);
        fleet.kill(away, true);
        fleet.pass(4.0);
        fleet.start(away, false);
        all_shards_serve(&mut fleet, RECOVERY_TIME, &what);
    }
}

/// Stores that are restarted in turn are members again before the next one is told to end.
#[test]
fn given_a_store_that_is_restarted_at_once_then_every_shard_has_it_again_within_a_second() {
    for seed in 0..6 {
        let (mut fleet, [restarted, _, _]) = three_stores(seed);
        fleet.end_in_order(restarted);
        fleet.pass(0.3);
        fleet.start(restarted, false);
        let is_member = |fleet: &Fleet, shard| {
            fleet.members_of(shard).is_some_and(|members| members.len() == 3 && members.contains(&restarted))
        };
        let is_back = |fleet: &Fleet| (1..=BATCH_SHARDS).all(|shard| is_member(fleet, shard));
        assert!(fleet.until(1.0, is_back), "seed {seed}: {}", replica_sets(&fleet));
    }
}

/// Where all end at once there is nobody to wait for.
#[test]
fn given_all_stores_told_to_end_at_once_then_none_waits_for_the_others() {
    let (mut fleet, all) = three_stores(0);
    all.into_iter().for_each(|at| fleet.tell_to_end(at));
    let is_waiting = |fleet: &Fleet, at: usize| {
        let process = fleet.machines[at].coordinator.as_ref();
        process.is_some_and(|process| process.is_departing(fleet.time(at)))
    };
    assert!(fleet.until(1.0, |fleet| all.iter().all(|at| !is_waiting(fleet, *at))));
}

/// What happens next on a drawn course.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A store is emptied and taken away, where enough stay; another one is lost so long after the order, in seconds, or none is.
    Retire(Option<f64>),
    /// A store is replaced as planned; another one loses its disk so long after its end, in seconds, or none does.
    Replace(Option<f64>),
    /// A store comes.
    Add,
    /// A store is lost.
    Lose(Loss),
    /// A store is told to end and started again.
    Restart,
}

struct Course {
    fleet: Fleet,
    rng: ChaCha8Rng,
    /// Stores that run, or will again.
    stores: Vec<usize>,
    what: String,
}

impl Course {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..=5);
        let mut fleet = settled(3, 2, count, 3_000 + seed);
        accept_jobs(&mut fleet, 5.0, "before");
        fleet.pass(1.0);
        let stores = stores(&fleet);
        Course { fleet, rng, stores, what: format!("seed {seed}, {count} stores") }
    }

    fn draw(&mut self) -> Step {
        let delay = |rng: &mut ChaCha8Rng| rng.random_bool(0.6).then(|| rng.random_range(-1.0..1.5_f64));
        let loss = [Loss::Replaced, Loss::Away, Loss::Wiped, Loss::Frozen];
        match self.rng.random_range(0..6) {
            0 | 1 if self.stores.len() > 2 => Step::Retire(delay(&mut self.rng)),
            2 => Step::Replace(delay(&mut self.rng).map(f64::abs)),
            3 if self.stores.len() < 5 => Step::Add,
            4 => Step::Restart,
            _ => Step::Lose(loss[self.rng.random_range(0..loss.len())]),
        }
    }

    /// A store, which is not this one.
    fn any_store(&mut self, but: Option<usize>) -> usize {
        let others: Vec<usize> = self.stores.iter().copied().filter(|at| Some(*at) != but).collect();
        others[self.rng.random_range(0..others.len())]
    }

    fn lose(&mut self, at: usize, loss: Loss) {
        match loss {
            Loss::Replaced | Loss::Away => self.fleet.kill(at, true),
            Loss::Wiped => self.fleet.wipe(at),
            Loss::Frozen => self.fleet.freeze(at),
        }
    }

    fn end_loss(&mut self, at: usize, loss: Loss) {
        self.fleet.pass(1.0);
        match loss {
            Loss::Replaced => {
                self.stores.retain(|store| *store != at);
                let new = add_store(&mut self.fleet, at);
                self.stores.push(new);
            }
            Loss::Away | Loss::Wiped => self.fleet.start(at, false),
            Loss::Frozen => self.fleet.thaw(at),
        }
    }

    fn retire(&mut self, loss_after: Option<f64>) {
        let retiring = self.any_store(None);
        let lost = loss_after.map(|after| (self.any_store(Some(retiring)), Loss::Wiped, after));
        if let Some((at, loss, after)) = lost.filter(|(_, _, after)| *after < 0.0) {
            self.lose(at, loss);
            self.fleet.pass(-after);
        }
        let name = self.fleet.machines[retiring].name.clone();
        let what = self.what.clone();
        until_status(&mut self.fleet, 200, RECOVERY_TIME, &what, || Call::Retire { store: name.clone() });
        if let Some((at, loss, after)) = lost {
            if after >= 0.0 {
                self.fleet.pass(after);
                self.lose(at, loss);
            }
            self.end_loss(at, loss);
        }
        take_away_when_retired(&mut self.fleet, retiring, 2.0 * RECOVERY_TIME, &what);
        self.stores.retain(|store| *store != retiring);
    }

    fn replace(&mut self, loss_after: Option<f64>) {
        let replaced = self.any_store(None);
        let new = add_store(&mut self.fleet, replaced);
        self.fleet.pass(SYNC_TIME);
        self.fleet.end_in_order(replaced);
        self.stores.retain(|store| *store != replaced);
        self.stores.push(new);
        if let Some(after) = loss_after {
            self.fleet.pass(after);
            let lost = self.any_store(Some(new));
            self.lose(lost, Loss::Wiped);
            self.end_loss(lost, Loss::Wiped);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Retire(loss_after) => self.retire(loss_after),
            Step::Replace(loss_after) => self.replace(loss_after),
            Step::Add => {
                let at = self.any_store(None);
                let new = add_store(&mut self.fleet, at);
                self.stores.push(new);
            }
            Step::Lose(loss) => {
                let at = self.any_store(None);
                self.lose(at, loss);
                self.end_loss(at, loss);
            }
            Step::Restart => {
                let at = self.any_store(None);
                self.fleet.end_in_order(at);
                self.fleet.pass(0.5);
                self.fleet.start(at, false);
            }
        }
        all_shards_serve(&mut self.fleet, RECOVERY_TIME, &self.what);
        self.fleet.pass(SYNC_TIME);
    }
}

/// Orders and losses in any order, one loss at a time; at the end one more disk is lost and all others lose power.
fn drawn_course(seed: u64) {
    let mut course = Course::new(seed);
    for _ in 0..5 {
        let step = course.draw();
        course.what += &format!(", {step:?}");
        course.take(step);
    }
    let lost = course.any_store(None);
    course.fleet.wipe(lost);
    lose_power(&mut course.fleet, &[lost]);
    course.fleet.start(lost, false);
    all_shards_serve(&mut course.fleet, RECOVERY_TIME, &course.what);
}

#[test]
fn given_stores_that_are_emptied_replaced_added_and_lost_in_any_order_then_all_shards_serve_after_each() {
    let seeds = std::env::var("RAINLUG_COURSES").ok().and_then(|count| count.parse().ok()).unwrap_or(12);
    for seed in 0..seeds {
        drawn_course(seed);
    }
}
