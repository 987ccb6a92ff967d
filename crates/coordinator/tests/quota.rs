//! Stories of quotas: batch jobs are spread over all parts, and a route's tokens are counted in one of them.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Fleet, MS, jobs_of, read, settle, settled, submit};
use rainlug::SECOND;
use rainlug_coordinator::{BATCH_SHARDS, Call, shard_of_job, shard_of_route};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// `max_queued_tokens` of the route, and tokens of an item.
const QUOTA: f64 = 100_000.0;
const ITEM: f64 = 100.0;
/// Ten of these use up the quota.
const TENTH: usize = 100;
/// Gateways come first.
const GATEWAYS: usize = 4;
/// A reservation is released after its grace, by the next report.
const LEAK: f64 = 30.0 + 5.0 + 2.0;

fn status(fleet: &mut Fleet, at: usize, call: Call) -> u16 {
    fleet.ask(at, call, 4.0).expect("an answer").status
}

/// Sends it to gateway after gateway until the answer is no 5xx.
fn until_clear(fleet: &mut Fleet, first: usize, call: &Call) -> u16 {
    for turn in 0..30 {
        let answered = status(fleet, (first + turn) % GATEWAYS, call.clone());
        if answered < 500 {
            return answered;
        }
        fleet.pass(0.2);
    }
    panic!("no clear answer");
}

/// One of the figures of a part at its leader.
fn figure(fleet: &Fleet, shard: u16, what: &str) -> Option<f64> {
    let metrics = fleet.machines[fleet.leader(shard)?].coordinator.as_ref()?.metrics();
    let name = format!("part_{shard}_{what}");
    metrics.iter().find(|(found, _)| *found == name).map(|(_, value)| *value)
}

/// Tokens that the route's ledger has counted.
fn counted(fleet: &Fleet) -> f64 {
    figure(fleet, shard_of_route("lots"), "tokens_counted").expect("a leader")
}

/// Sums the tokens that wait in all parts each time that a batch job is accepted.
#[derive(Default)]
struct Checker {
    /// As each part's leader had them last: where nobody leads, nothing changes.
    waiting: BTreeMap<u16, f64>,
    seen: usize,
    accepted: usize,
    most: f64,
}

impl Checker {
    fn look(&mut self, fleet: &Fleet) {
        if fleet.answers.len() == self.seen {
            return;
        }
        self.seen = fleet.answers.len();
        let accepted = fleet.answers.values().filter(|(_, answer)| answer.status == 202).count();
        if accepted > self.accepted {
            self.accepted = accepted;
            self.most = self.most.max(self.sum(fleet));
        }
    }

    fn sum(&mut self, fleet: &Fleet) -> f64 {
        for shard in 1..=BATCH_SHARDS {
            if let Some(tokens) = figure(fleet, shard, "tokens_waiting") {
                self.waiting.insert(shard, tokens);
            }
        }
        self.waiting.values().sum()
    }

    fn pass(&mut self, fleet: &mut Fleet, seconds: f64) {
        fleet.until(seconds, |fleet| {
            self.look(fleet);
            false
        });
    }
}

/// Three machines of the core, another gateway, and so many stores; items take so long.
fn fleet(stores: usize, seed: u64, run_time: i64) -> Fleet {
    let mut fleet = settled(3, 1, stores, seed);
    fleet.run_time = run_time;
    fleet
}

const LONG: i64 = 600 * SECOND;

/// A batch job whose part another store leads than the ledger's.
fn job_led_elsewhere(fleet: &Fleet) -> String {
    let quota_ledger = fleet.leader(shard_of_route("lots")).expect("a leader");
    let is_elsewhere = |shard: &u16| fleet.leader(*shard).is_some_and(|leader| leader != quota_ledger);
    let shard = (1..=BATCH_SHARDS).find(is_elsewhere).expect("another store leads a part");
    jobs_of(shard, 1).remove(0)
}

#[test]
fn given_many_gateways_when_more_comes_at_once_than_may_wait_then_just_the_quota_is_taken_over_all_shards() {
    for seed in 0..6 {
        let mut fleet = fleet(5, seed, LONG);
        let mut checker = Checker::default();
        let names: Vec<String> = (0..40).map(|nth| format!("lot-{nth}")).collect();
        let tickets: Vec<u64> = names
            .iter()
            .enumerate()
            .map(|(nth, name)| fleet.call(nth % GATEWAYS, submit(name, TENTH)))
            .collect();
        checker.pass(&mut fleet, 3.0);
        let statuses: Vec<u16> = tickets.iter().map(|ticket| fleet.answers[ticket].1.status).collect();
        let taken: Vec<&String> =
            names.iter().zip(&statuses).filter(|(_, status)| **status == 202).map(|(name, _)| name).collect();
        assert_eq!(taken.len(), 10, "seed {seed}: {statuses:?}");
        assert_eq!(statuses.iter().filter(|status| **status == 429).count(), 30, "seed {seed}");
        let shards: BTreeSet<u16> = taken.iter().map(|name| shard_of_job(name)).collect();
        assert!(shards.len() > 1, "seed {seed}");
        assert_eq!((checker.most, counted(&fleet)), (QUOTA, QUOTA), "seed {seed}");
        for (at, known) in taken.into_iter().take(GATEWAYS).enumerate() {
            let refused = fleet.ask(at, submit("one-more", 1), 2.0).expect("an answer");
            assert_eq!(refused.status, 429, "seed {seed}");
            assert!(refused.retry_after.is_some_and(|pause| pause > 0));
            assert_eq!(status(&mut fleet, at, submit(known, TENTH)), 202, "what is known is taken");
        }
        // Nothing is released that waits.
        fleet.pass(LEAK);
        assert_eq!(counted(&fleet), QUOTA, "seed {seed}");
    }
}

#[test]
fn given_nine_tenths_of_the_quota_when_a_batch_job_fits_then_it_is_taken_in_each_shard_and_no_larger_one() {
    for shard in 1..=BATCH_SHARDS {
        let mut fleet = fleet(4, 100 + u64::from(shard), LONG);
        for nth in 0..9 {
            assert_eq!(status(&mut fleet, nth % GATEWAYS, submit(&format!("lot-{nth}"), TENTH)), 202);
        }
        let [ref larger, ref fits] = jobs_of(shard, 2)[..] else { panic!("two names") };
        assert_eq!(status(&mut fleet, 0, submit(larger, TENTH + 1)), 429);
        assert_eq!(status(&mut fleet, 1, submit(fits, TENTH)), 202);
        assert_eq!(status(&mut fleet, 2, submit(larger, 1)), 429);
    }
}

#[test]
fn given_the_whole_quota_when_items_finish_or_batch_jobs_end_then_their_tokens_come_back_within_a_second() {
    for seed in 0..4 {
        let mut fleet = fleet(4, 200 + seed, 300 * MS);
        let mut checker = Checker::default();
        for round in 0..2 {
            let calls: Vec<Call> = (0..10).map(|nth| submit(&format!("lot-{round}-{nth}"), TENTH)).collect();
            let tickets: Vec<u64> = calls
                .iter()
                .enumerate()
                .map(|(nth, call)| fleet.call(nth % GATEWAYS, call.clone()))
                .collect();
            checker.pass(&mut fleet, 0.2);
            let statuses: Vec<u16> = tickets.iter().map(|ticket| fleet.answers[ticket].1.status).collect();
            assert_eq!(statuses, [202; 10], "seed {seed}, round {round}");
            assert!(fleet.until(20.0, |fleet| checker.sum(fleet) == 0.0), "all items finish");
            fleet.pass(1.0);
            assert_eq!(counted(&fleet), 0.0, "seed {seed}, round {round}");
        }
        fleet.run_time = LONG;
        assert_eq!(status(&mut fleet, 0, submit("ended", 10 * TENTH / 5)), 202);
        assert!(counted(&fleet) > 0.0);
        assert_eq!(status(&mut fleet, 1, Call::End { job: "ended".to_owned() }), 200);
        fleet.pass(1.0);
        assert_eq!(counted(&fleet), 0.0, "seed {seed}");
        assert!(checker.most <= QUOTA, "seed {seed}: {}", checker.most);
    }
}

/// Kills a leader at some moment of a submission; the job is then taken once, and in the end just what waits is counted.
fn a_leader_is_killed_during_a_submission(of_ledger: bool) {
    for seed in 0..16 {
        let mut fleet = fleet(5, 300 + seed, LONG);
        let mut checker = Checker::default();
        for nth in 0..8 {
            assert_eq!(status(&mut fleet, nth % GATEWAYS, submit(&format!("lot-{nth}"), TENTH)), 202);
        }
        let name = job_led_elsewhere(&fleet);
        let shard = if of_ledger { shard_of_route("lots") } else { shard_of_job(&name) };
        let leader = fleet.leader(shard).expect("a leader");
        let first = fleet.call(0, submit(&name, TENTH));
        checker.pass(&mut fleet, 0.0008 * seed as f64);
        fleet.kill(leader, true);
        checker.pass(&mut fleet, 4.0);
        let answer = fleet.answers.get(&first).expect("an answer").1.status;
        assert!(answer == 202 || answer >= 500, "seed {seed}: {answer}");
        assert_eq!(until_clear(&mut fleet, 1, &submit(&name, TENTH)), 202, "seed {seed}");
        fleet.start(leader, false);
        assert_eq!(until_clear(&mut fleet, 2, &submit("tenth", TENTH)), 202, "seed {seed}: it fits");
        assert_eq!(until_clear(&mut fleet, 3, &submit("one-more", 1)), 429, "seed {seed}");
        checker.pass(&mut fleet, LEAK);
        assert_eq!((checker.sum(&fleet), counted(&fleet)), (QUOTA, QUOTA), "seed {seed}");
        assert!(checker.most <= QUOTA, "seed {seed}: {}", checker.most);
    }
}

#[test]
fn given_a_submission_when_the_ledgers_leader_is_killed_then_nothing_is_lost_or_taken_over_the_quota() {
    a_leader_is_killed_during_a_submission(true);
}

#[test]
fn given_a_submission_when_the_batch_jobs_leader_is_killed_then_nothing_is_lost_or_taken_over_the_quota() {
    a_leader_is_killed_during_a_submission(false);
}

#[test]
fn given_a_reservation_when_its_batch_job_never_comes_then_it_is_released_after_its_grace() {
    let mut leaked = 0;
    for seed in 0..8 {
        let mut fleet = fleet(5, 400 + seed, LONG);
        let name = job_led_elsewhere(&fleet);
        let leader = fleet.leader(shard_of_job(&name)).expect("a leader");
        let ticket = fleet.call(0, submit(&name, TENTH));
        assert!(fleet.until(1.0, |fleet| counted(fleet) > 0.0), "it is reserved");
        // Its leader is gone before it hears of that, and so is the gateway that would ask again.
        fleet.kill(leader, true);
        fleet.kill(0, true);
        fleet.pass(2.0);
        assert!(!fleet.answers.contains_key(&ticket), "seed {seed}");
        fleet.start(leader, false);
        fleet.start(0, false);
        fleet.pass(3.0);
        assert_eq!(status(&mut fleet, 1, read(&name)), 404, "seed {seed}: it was not proposed");
        leaked += usize::from(counted(&fleet) > 0.0);
        fleet.pass(LEAK);
        assert_eq!(counted(&fleet), 0.0, "seed {seed}");
    }
    assert_eq!(leaked, 8, "the story is told");
}

#[test]
fn given_the_same_batch_job_when_it_comes_to_two_gateways_at_once_then_both_are_answered_and_it_counts_once()
{
    for seed in 0..6 {
        let mut fleet = fleet(4, 500 + seed, LONG);
        let first = fleet.call(0, submit("same", 10 * TENTH / 5));
        fleet.pass(0.0007 * seed as f64);
        let second = fleet.call(1, submit("same", 10 * TENTH / 5));
        fleet.pass(1.0);
        for ticket in [first, second] {
            assert_eq!(fleet.answers[&ticket].1.status, 202, "seed {seed}");
        }
        assert_eq!(counted(&fleet), 200.0 * ITEM, "seed {seed}");
    }
}

#[test]
fn given_a_ledger_without_a_quorum_when_a_batch_job_comes_then_it_is_refused_at_once_and_does_not_run() {
    for seed in 0..4 {
        let mut fleet = fleet(9, 600 + seed, 300 * MS);
        let quota_ledger = shard_of_route("lots");
        let gone: Vec<usize> = fleet.members_of(quota_ledger).expect("a leader")[..2].to_vec();
        let lives = |shard: &u16| {
            let members = fleet.members_of(*shard).expect("a leader");
            members.iter().filter(|member| !gone.contains(member)).count() > members.len() / 2
        };
        let shard =
            (1..=BATCH_SHARDS).filter(|shard| *shard != quota_ledger).find(lives).expect("a part that lives");
        let name = jobs_of(shard, 1).remove(0);
        gone.iter().for_each(|store| fleet.kill(*store, true));
        fleet.pass(3.0);
        for _ in 0..3 {
            let since = fleet.now;
            let refused = fleet.ask(1, submit(&name, 3), 4.0).expect("an answer");
            assert_eq!(refused.status, 503, "seed {seed}");
            assert!(refused.retry_after.is_some_and(|pause| pause > 0));
            assert!(fleet.now - since < SECOND, "seed {seed}: after {} ms", (fleet.now - since) / MS);
        }
        fleet.pass(5.0);
        assert_eq!(status(&mut fleet, 2, read(&name)), 404, "seed {seed}");
        gone.iter().for_each(|store| fleet.start(*store, false));
        fleet.pass(3.0);
        assert!(fleet.runs.iter().all(|(_, job, _)| *job != name), "seed {seed}");
        assert_eq!(until_clear(&mut fleet, 3, &submit(&name, 3)), 202, "seed {seed}");
        fleet.pass(3.0);
        assert!(fleet.runs.iter().any(|(_, job, _)| *job == name), "seed {seed}");
    }
}

#[test]
fn given_the_whole_quota_when_any_store_loses_its_disk_then_what_waits_is_still_counted() {
    for seed in 0..5 {
        let mut fleet = fleet(5, 700 + seed, LONG);
        let mut checker = Checker::default();
        for nth in 0..10 {
            assert_eq!(status(&mut fleet, nth % GATEWAYS, submit(&format!("lot-{nth}"), TENTH)), 202);
        }
        let leader = fleet.leader(shard_of_route("lots")).expect("a leader");
        let wiped = if seed == 0 { leader } else { GATEWAYS + seed as usize };
        fleet.wipe(wiped);
        checker.pass(&mut fleet, 2.0);
        assert_eq!(until_clear(&mut fleet, 0, &submit("one-more", 1)), 429, "seed {seed}");
        fleet.start(wiped, false);
        checker.pass(&mut fleet, LEAK);
        assert_eq!((checker.sum(&fleet), counted(&fleet)), (QUOTA, QUOTA), "seed {seed}");
        assert_eq!(until_clear(&mut fleet, 1, &submit("one-more", 1)), 429, "seed {seed}");
    }
}

#[test]
fn given_stores_that_are_killed_and_wiped_in_turn_when_jobs_keep_coming_then_the_quota_holds_and_none_is_lost()
 {
    for seed in 0..6 {
        let mut fleet = fleet(6, 800 + seed, 400 * MS);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut checker = Checker::default();
        let mut sent: BTreeMap<String, (usize, u64)> = BTreeMap::new();
        let mut count = 0;
        for _ in 0..12 {
            let store = GATEWAYS + rng.random_range(0..6);
            for _ in 0..30 {
                count += 1;
                let (name, items) = (format!("lot-{count}"), rng.random_range(1..=TENTH));
                let ticket = fleet.call(rng.random_range(0..GATEWAYS), submit(&name, items));
                sent.insert(name, (items, ticket));
                checker.pass(&mut fleet, 0.02);
            }
            if rng.random_bool(0.3) {
                fleet.wipe(store)
            } else {
                fleet.kill(store, true)
            }
            checker.pass(&mut fleet, rng.random_range(0.1..3.0));
            fleet.start(store, false);
            checker.pass(&mut fleet, 5.0);
        }
        checker.pass(&mut fleet, 20.0);
        let refused = fleet.answers.values().filter(|(_, answer)| answer.status == 429).count();
        assert!(checker.accepted > 60 && refused > 0, "seed {seed}: {} taken", checker.accepted);
        assert!(checker.most <= QUOTA, "seed {seed}: {}", checker.most);
        for (name, (items, ticket)) in &sent {
            if fleet.answers.get(ticket).is_some_and(|(_, answer)| answer.status == 202) {
                let answer = fleet.ask(1, read(name), 3.0).expect("an answer");
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                assert!(text.contains(&format!("\"grand_total\":{items},")), "seed {seed}: {name}: {text}");
                let open = figure(&fleet, shard_of_job(name), "tokens_waiting");
                assert_eq!(open, Some(0.0), "seed {seed}: all items are listed");
            }
        }
        checker.pass(&mut fleet, LEAK);
        assert_eq!(counted(&fleet), 0.0, "seed {seed}: all is given back");
    }
}

#[test]
fn given_nine_stores_when_the_shards_are_founded_then_members_and_leaders_are_spread() {
    let mut leaders = 0;
    for seed in 0..10 {
        for tolerate in [1, 2] {
            let mut fleet = Fleet::new(2 * tolerate + 1, 1, 9, 900 + seed);
            (fleet.tolerate, fleet.seeds) = (tolerate, 3);
            settle(&mut fleet);
            fleet.pass(3.0);
            let groups: Vec<Vec<usize>> =
                (1..=BATCH_SHARDS).map(|shard| fleet.members_of(shard).expect("a leader")).collect();
            let seats: Vec<usize> = (2 * tolerate + 2..fleet.machines.len())
                .map(|store| groups.iter().filter(|group| group.contains(&store)).count())
                .collect();
            assert!(groups.iter().all(|group| group.len() == 2 * tolerate + 1));
            let (least, most) = (seats.iter().min(), seats.iter().max());
            assert!(least >= Some(&1) && most <= Some(&(tolerate + 1)), "seed {seed}: {seats:?}");
            let led: BTreeSet<usize> = (1..=BATCH_SHARDS).filter_map(|shard| fleet.leader(shard)).collect();
            assert!(led.len() >= 3, "seed {seed}: {led:?}");
            leaders += led.len();
        }
    }
    assert!(leaders >= 72, "{leaders} of 80 parts have a leader of their own");
}

#[test]
fn given_nine_stores_when_one_goes_for_good_then_its_replicas_go_to_several_others() {
    for seed in 0..6 {
        let mut fleet = fleet(9, 950 + seed, 300 * MS);
        let gone = GATEWAYS + seed as usize;
        fleet.kill(gone, true);
        fleet.pass(12.0);
        let groups: Vec<Vec<usize>> =
            (1..=BATCH_SHARDS).map(|shard| fleet.members_of(shard).expect("a leader")).collect();
        assert!(groups.iter().all(|group| group.len() == 3 && !group.contains(&gone)), "seed {seed}");
        let seats = |store| groups.iter().filter(|group| group.contains(&store)).count();
        let most = (GATEWAYS..fleet.machines.len()).map(seats).max();
        assert!(most <= Some(2), "seed {seed}: {groups:?}");
    }
}
