//! What many dispatchers do together that are told which of them live, each an instance of the module. Their views may differ.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use common::{Bench, MS, Sent, allowed, fleet, in_group, known};
use rainlug::*;

const WORKERS: usize = 120;

/// A group of dispatchers with no second copies: three feed each worker.
fn group(size: usize) -> Vec<Bench> {
    let allowed = Allowed { copies: false, ..allowed() };
    let benches = (0..size).map(|index| {
        let mut bench = in_group(index, size, allowed, known());
        bench.list(&fleet(WORKERS, None));
        bench
    });
    benches.collect()
}

/// Those for which a hash says so, `tenths` of ten.
fn some(size: usize, tenths: u64) -> BTreeSet<usize> {
    let hash = BuildHasherDefault::<DefaultHasher>::default();
    (0..size).filter(|n| hash.hash_one(n) % 10 < tenths).collect()
}

fn told(bench: &mut Bench, living: &BTreeSet<usize>) {
    let living: Vec<usize> = living.iter().copied().collect();
    bench.with(|to, m| to.group(m, &living));
}

/// The part of the fleet that each of `among` keeps to: pairs of dispatcher and worker.
fn parts(benches: &mut [Bench], among: &BTreeSet<usize>, turn: &str) -> BTreeSet<(usize, String)> {
    let mut pairs = BTreeSet::new();
    for n in among {
        // More tasks than workers: each worker gets one that it has not started.
        pairs.extend(benches[*n].tasks(turn, WORKERS, 0).into_iter().map(|w| (*n, w)));
        for id in (0..WORKERS).map(|i| format!("{turn}{i}")) {
            if benches[*n].worker_of(&id).is_some() {
                benches[*n].run(&id, 0);
            } else {
                benches[*n].with(|to, m| to.left(m, &id));
            }
        }
    }
    pairs
}

/// How many dispatchers feed each worker.
fn feeders(pairs: &BTreeSet<(usize, String)>) -> BTreeMap<String, usize> {
    let mut all: BTreeMap<String, usize> = fleet(WORKERS, None).into_iter().map(|w| (w.id, 0)).collect();
    pairs.iter().for_each(|(_, w)| *all.entry(w.clone()).or_default() += 1);
    all
}

/// Nobody but the one before takes over from one that dies, and gives it back at its return; all others keep their parts.
#[test]
fn one_death_moves_no_part_and_a_return_gives_it_back() {
    for size in [48, 300] {
        let (all, mut benches) = ((0..size).collect::<BTreeSet<_>>(), group(size));
        let before = parts(&mut benches, &all, "before");
        assert!(feeders(&before).values().all(|n| *n >= 1), "{:?}", feeders(&before));
        for dead in [0, 5, size - 1] {
            let living: BTreeSet<usize> = all.iter().copied().filter(|n| *n != dead).collect();
            living.iter().for_each(|n| told(&mut benches[*n], &living));
            let after = parts(&mut benches, &living, &format!("after{dead}."));
            let kept: BTreeSet<_> = before.iter().filter(|(n, _)| *n != dead).cloned().collect();
            let gained: Vec<_> = after.difference(&kept).collect();
            assert!(kept.is_subset(&after), "{size}: {:?} moved", kept.difference(&after));
            let takers: BTreeSet<usize> = gained.iter().map(|(n, _)| *n).collect();
            let theirs = before.len() - kept.len();
            assert!(takers.len() == 1 && gained.len() <= theirs, "{size}: {gained:?} for {theirs}");
            living.iter().for_each(|n| told(&mut benches[*n], &all));
            let back = parts(&mut benches, &living, &format!("back{dead}."));
            assert_eq!(back, kept, "{size}");
        }
    }
}

/// A group of forty-eight of which the first four live: they were left with two near workers each, and one with thirteen places.
#[test]
fn those_left_have_parts_alike_though_they_stand_side_by_side() {
    let (living, mut benches) = ((0..4).collect::<BTreeSet<_>>(), group(48));
    living.iter().for_each(|n| told(&mut benches[*n], &living));
    let pairs = parts(&mut benches, &living, "t");
    let each: Vec<usize> = living.iter().map(|n| pairs.iter().filter(|p| p.0 == *n).count()).collect();
    assert!(each.iter().all(|n| *n >= WORKERS * 12 / 16), "{each:?}");
    assert!(feeders(&pairs).values().all(|n| (1..=4).contains(n)));
}

/// With seven in ten dead a third of the workers had no feeder: nobody sent them anything, and the others had all.
#[test]
fn when_seven_in_ten_are_gone_those_left_feed_every_worker() {
    for size in [48, 300] {
        let mut benches = group(size);
        let living: BTreeSet<usize> = (0..size).filter(|n| !some(size, 7).contains(n)).collect();
        let before = parts(&mut benches, &living, "before");
        let starved = |pairs| feeders(pairs).values().filter(|n| **n == 0).count();
        assert!(starved(&before) > WORKERS / 8, "{} without a feeder among {size}", starved(&before));
        living.iter().for_each(|n| told(&mut benches[*n], &living));
        let after = parts(&mut benches, &living, "after");
        assert_eq!(starved(&after), 0, "among {size}");
        assert!(before.is_subset(&after));
        // About as many feed each worker as did before, not all that are left.
        let most = feeders(&after).into_values().max().unwrap_or(0);
        assert!(most <= 9, "{most} feed one worker");
    }
}

/// Two halves of a fleet that do not see one another, and single ones that see nobody: workers are fed by more, a bounded
/// number of times more, and by all of their own half.
#[test]
fn views_that_differ_double_feeders_at_most() {
    for size in [48, 300] {
        let (all, mut benches) = ((0..size).collect::<BTreeSet<_>>(), group(size));
        let before = feeders(&parts(&mut benches, &all, "before")).values().sum::<usize>();
        let one = some(size, 5);
        let other: BTreeSet<usize> = all.difference(&one).copied().collect();
        one.iter().for_each(|n| told(&mut benches[*n], &one));
        other.iter().for_each(|n| told(&mut benches[*n], &other));
        let pairs = parts(&mut benches, &all, "apart");
        let sum = feeders(&pairs).values().sum::<usize>();
        assert!(sum as f64 <= 2.5 * before as f64, "{size}: {sum} for {before}");
        for half in [&one, &other] {
            let own: BTreeSet<_> = pairs.iter().filter(|(n, _)| half.contains(n)).cloned().collect();
            assert!(feeders(&own).values().all(|n| *n >= 1));
        }
    }
}

/// Whatever each believes of the others, together they do not push a cold worker over: its room goes by the whole group.
#[test]
fn cold_workers_are_safe_from_dispatchers_that_believe_all_others_gone() {
    for (size, views) in [(48, "alone"), (300, "mixed"), (300, "halves")] {
        let mut to_each: BTreeMap<String, Vec<Time>> = BTreeMap::new();
        let half = some(size, 5);
        for index in 0..size {
            let allowed = Allowed { copies: false, ..allowed() };
            let mut bench = in_group(index, size, allowed, known());
            let seen: BTreeSet<usize> = match views {
                "alone" => BTreeSet::from([index]),
                "mixed" => some(size, index as u64 % 11).into_iter().chain([index]).collect(),
                _ => (0..size).filter(|n| half.contains(n) == half.contains(&index)).collect(),
            };
            bench.list(&fleet(60, None));
            told(&mut bench, &seen);
            bench.pass(SECOND);
            bench.list(&fleet(60, Some(SECOND)));
            for i in 0..20 {
                bench.task(&format!("t{i}"), 0);
                bench.pass(400 * MS);
            }
            for (at, sent) in &bench.out.sent {
                if let Sent::Assign(_, worker) = sent {
                    to_each.entry(worker.clone()).or_default().push(*at);
                }
            }
        }
        assert!(to_each.len() > 40, "{views}: only {} of 60 cold workers got anything", to_each.len());
        // One core, tasks of half a second: two a second when warm, a quarter of that at first. It falls over three times as
        // much for two seconds, and chance.
        for from in (SECOND..8 * SECOND).step_by(250_000) {
            let whole = 12.0 * (0.25 + 0.075 * (from - SECOND) as f64 / 1e6);
            let count =
                |sent: &Vec<Time>| sent.iter().filter(|t| (from..from + 2 * SECOND).contains(*t)).count();
            let counts: Vec<usize> = to_each.values().map(count).collect();
            let (most, all) = (counts.iter().max().copied().unwrap_or(0), counts.iter().sum::<usize>());
            assert!(most as f64 <= whole + 3.0 * whole.sqrt() + 3.0, "{views} of {size}: {most} of {whole}");
            assert!(
                all as f64 <= 0.6 * whole * counts.len() as f64,
                "{views} of {size}: {all} of {whole} each"
            );
        }
    }
}
