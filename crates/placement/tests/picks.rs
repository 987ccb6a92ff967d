//! Stories of single picks.

mod sim;

use rainlug::{SECOND, Time};
use rainlug_placement::{Ask, End, Pick, Placement};
use rainlug_registry::{Phase, Worker};
use sim::{MS, listed};
use std::collections::HashMap;

fn placement(workers: usize) -> Placement {
    let mut placement = Placement::new("z", 1, 0);
    placement.service(8, 300_000);
    (0..workers).for_each(|w| placement.worker(0, &listed(&format!("w{w}"), Phase::Ready)));
    placement
}

fn small() -> Ask {
    Ask { class: 1, prompt: 600, out: 20, aim: 200 * MS, ..Ask::default() }
}

fn finish(placement: &mut Placement, now: Time, pick: &Pick) {
    placement.started(now, pick.ticket);
    placement.ended(now, pick.ticket, End::Finished);
}

/// So many requests, one after the other, each taking a time; who got them.
fn series(placement: &mut Placement, from: Time, count: usize, ask: &Ask) -> HashMap<String, usize> {
    let mut got = HashMap::new();
    for n in 0..count as Time {
        let now = from + n * 20 * MS;
        placement.due(now);
        let pick = placement.pick(now, ask).expect("someone is ready");
        *got.entry(pick.worker.id.clone()).or_default() += 1;
        finish(placement, now + 10 * MS, &pick);
    }
    got
}

/// Given like workers, when requests come one by one, then turns go round evenly.
#[test]
fn turns_go_round() {
    let got = series(&mut placement(5), 0, 100, &small());
    assert!(got.len() == 5 && got.values().all(|n| (17..=23).contains(n)), "{got:?}");
}

/// Given a worker that never ends what it has, then it holds no more than twice the mean, three being let pass.
#[test]
fn who_holds_twice_the_mean_is_skipped() {
    let mut placement = placement(5);
    let mut held = 0;
    for n in 0..400 {
        let pick = placement.pick(n * 5 * MS, &small()).unwrap();
        // It gives signs of life: silence is another matter.
        placement.started(n * 5 * MS, pick.ticket);
        if pick.worker.id == "w2" {
            held += 1;
        } else {
            placement.ended(n * 5 * MS + 1, pick.ticket, End::Finished);
        }
    }
    assert_eq!(held, 3);
}

/// Given workers that are draining or gone, then they get nothing, and others do.
#[test]
fn drained_and_gone_get_nothing() {
    let mut placement = placement(4);
    placement.worker(0, &listed("w0", Phase::Draining));
    placement.worker(0, &listed("w1", Phase::Gone));
    let got = series(&mut placement, 0, 60, &small());
    assert!(got.len() == 2 && !got.contains_key("w0") && !got.contains_key("w1"), "{got:?}");
    placement.worker(2 * SECOND, &listed("w2", Phase::Draining));
    placement.worker(2 * SECOND, &listed("w3", Phase::Gone));
    assert!(placement.pick(2 * SECOND, &small()).is_none());
}

/// Given one that is silent and one that is not, then the silent one is the last resort.
#[test]
fn silent_is_a_last_resort() {
    let mut placement = placement(2);
    placement.worker(0, &listed("w0", Phase::Unresponsive));
    let got = series(&mut placement, 0, 40, &small());
    assert_eq!(got.get("w0"), None);
    placement.worker(SECOND, &listed("w1", Phase::Gone));
    assert_eq!(placement.pick(SECOND, &small()).unwrap().worker.id, "w0");
}

/// Given what was tried, then it is not picked again.
#[test]
fn tried_ones_are_not_picked() {
    let mut placement = placement(3);
    let ask = Ask { tried: vec!["w0".into(), "w2".into()], ..small() };
    assert_eq!(series(&mut placement, 0, 20, &ask)["w1"], 20);
    let ask = Ask { tried: vec!["w0".into(), "w1".into(), "w2".into()], ..small() };
    assert!(placement.pick(SECOND, &ask).is_none());
}

/// Given a measured reading rate and a worker with a huge prompt unread, when small ones come, then they go to others.
#[test]
fn a_small_request_avoids_a_huge_prompt() {
    let mut placement = placement(4);
    // 130 tokens are read in a millisecond.
    for n in 0..60 {
        let prompt = if n % 3 == 0 { 9_000 } else { 600 };
        let pick = placement.pick(n * SECOND / 4, &Ask { prompt, ..small() }).unwrap();
        let then = n * SECOND / 4 + 2 * MS + Time::from(prompt) * MS / 130;
        placement.started(then, pick.ticket);
        placement.ended(then + 10 * MS, pick.ticket, End::Finished);
    }
    let now = 16 * SECOND;
    let huge = placement.pick(now, &Ask { class: 2, prompt: 17_000, ..small() }).unwrap();
    let others: Vec<Pick> = (0..6).map(|n| placement.pick(now + n, &small()).unwrap()).collect();
    assert!(others.iter().all(|p| p.worker.id != huge.worker.id));
    // And once it is read, they come there again.
    placement.started(now + 140 * MS, huge.ticket);
    others.iter().for_each(|p| finish(&mut placement, now + 150 * MS, p));
    let again: Vec<Pick> = (0..8).map(|n| placement.pick(now + 200 * MS + n, &small()).unwrap()).collect();
    assert!(again.iter().any(|p| p.worker.id == huge.worker.id));
}

/// Given a worker that cannot be reached, then it is left alone for a second, tried, left alone for two, and is back after the
/// first answer.
#[test]
fn a_bar_doubles_and_ends() {
    let mut placement = placement(4);
    let mut now = 0;
    let mut tries = Vec::new();
    let mut step = |placement: &mut Placement, now: Time, dead: bool| {
        let pick = placement.pick(now, &small()).unwrap();
        if pick.worker.id == "w1" {
            tries.push(now);
            if dead {
                placement.ended(now, pick.ticket, End::Unreachable);
                return;
            }
        }
        finish(placement, now + MS, &pick);
    };
    while now < 8 * SECOND {
        step(&mut placement, now, true);
        placement.due(now);
        now += 10 * MS;
    }
    // The next trial is at 15 s.
    while now < 24 * SECOND {
        step(&mut placement, now, false);
        placement.due(now);
        now += 10 * MS;
    }
    let dead: Vec<Time> = tries.iter().copied().filter(|t| *t < 8 * SECOND).collect();
    assert_eq!(dead.len(), 4, "{dead:?}");
    for (pair, bar) in dead.windows(2).zip([1, 2, 4]) {
        assert!((pair[1] - pair[0] - bar * SECOND).abs() <= 10 * MS, "{dead:?}");
    }
    assert!(tries.len() > 150, "{}", tries.len());
}

/// Given that more than half cannot be reached, then the cause is a common one, and no bar holds.
#[test]
fn a_common_cause_bars_nobody() {
    let mut placement = placement(3);
    for n in 0..3 {
        let pick = placement.pick(n, &small()).unwrap();
        placement.ended(n, pick.ticket, End::Unreachable);
    }
    assert!(placement.pick(10 * MS, &small()).is_some());
}

/// Given a worker that turned one away for being full, then it gets none until it tells its load.
#[test]
fn full_holds_until_load_is_told() {
    let mut placement = placement(2);
    let pick = placement.pick(0, &small()).unwrap();
    let (full, other) = (pick.worker.id.clone(), if pick.worker.id == "w0" { "w1" } else { "w0" });
    placement.ended(0, pick.ticket, End::Full);
    for n in 1..4 {
        let pick = placement.pick(n * MS, &small()).unwrap();
        assert_eq!(pick.worker.id, other);
        finish(&mut placement, n * MS, &pick);
    }
    placement.load(5 * MS, &full, (1, 0, 8));
    assert!(series(&mut placement, 6 * MS, 4, &small()).contains_key(&full));
}

/// Given that another process has a worker's address, then it gets nothing for two seconds.
#[test]
fn elsewhere_is_as_good_as_gone() {
    let mut placement = placement(2);
    let pick = placement.pick(0, &small()).unwrap();
    let there = pick.worker.id.clone();
    placement.ended(0, pick.ticket, End::Elsewhere);
    assert!(!series(&mut placement, MS, 90, &small()).contains_key(&there));
    placement.due(6 * SECOND);
    assert!(series(&mut placement, 6 * SECOND, 20, &small()).contains_key(&there));
}

/// Given workers that tell their load, when all slots of one are taken by others, then it is passed over; when no worker has
/// any, the shortest queue is taken, and nothing where all are long.
#[test]
fn slots_taken_by_others_count() {
    let mut placement = placement(2);
    placement.load(0, "w0", (8, 0, 8));
    placement.load(0, "w1", (2, 0, 8));
    let pick = placement.pick(MS, &small()).unwrap();
    assert_eq!(pick.worker.id, "w1");
    finish(&mut placement, MS, &pick);
    placement.load(2 * MS, "w0", (8, 3, 8));
    placement.load(2 * MS, "w1", (8, 1, 8));
    let pick = placement.pick(2 * MS, &small()).unwrap();
    assert_eq!(pick.worker.id, "w1");
    placement.load(3 * MS, "w0", (8, 7, 8));
    placement.load(3 * MS, "w1", (8, 7, 8));
    assert!(placement.pick(3 * MS, &small()).is_none());
    assert!((20 * MS..=500 * MS).contains(&placement.pause(3 * MS)));
}

/// Given batch jobs, then they keep off workers with 0.75 of their slots taken, by whomever, or with prompts unread; live ones go
/// there all the same.
#[test]
fn batch_jobs_take_spare_room_only() {
    let mut placement = placement(1);
    let bulk = Ask { bulk: true, class: 9, ..small() };
    placement.load(0, "w0", (6, 0, 8));
    assert!(placement.pick(0, &bulk).is_none());
    placement.load(MS, "w0", (1, 0, 8));
    let live = placement.pick(MS, &small()).unwrap();
    assert!(placement.pick(MS, &bulk).is_none());
    placement.started(2 * MS, live.ticket);
    placement.ended(3 * MS, live.ticket, End::Finished);
    placement.load(3 * MS, "w0", (0, 0, 8));
    let mut taken = 0;
    while let Some(pick) = placement.pick(3 * MS, &bulk) {
        // The next waits until this one is read.
        assert!(placement.pick(3 * MS, &bulk).is_none());
        placement.started(3 * MS, pick.ticket);
        taken += 1;
    }
    assert_eq!(taken, 6);
    assert!(placement.pick(3 * MS, &small()).is_some());
    placement.load(4 * MS, "w0", (0, 2, 8));
    assert!(placement.pick(4 * MS, &bulk).is_none());
}

/// Given workers that told of full slots when they were last heard, when nothing of this dispatcher's is there and the news is a
/// second old, then one request of a batch job goes to each, and what it hears decides on the next.
#[test]
fn batch_jobs_find_out_after_old_news() {
    let mut placement = placement(2);
    let bulk = Ask { bulk: true, class: 9, ..small() };
    for n in 0..20 {
        ["w0", "w1"].iter().for_each(|id| placement.load(n * 100 * MS, id, (8, 0, 8)));
        assert!(placement.pick(n * 100 * MS, &bulk).is_none());
    }
    let later = 4 * SECOND;
    let picks: Vec<Pick> = std::iter::from_fn(|| placement.pick(later, &bulk)).collect();
    assert_eq!(picks.len(), 2, "one each");
    for pick in &picks {
        placement.started(later + MS, pick.ticket);
    }
    placement.load(later + MS, "w0", (1, 0, 8));
    placement.load(later + MS, "w1", (8, 0, 8));
    let next = placement.pick(later + 2 * MS, &bulk).map(|p| p.worker.id.clone());
    assert_eq!(next.as_deref(), Some("w0"));
}

/// Given dispatchers that never met, when each has one request of a long prefix, then all send it to the same worker, though
/// each has something else in flight at another; different prefixes go to different ones.
#[test]
fn strangers_agree_by_hash() {
    let mut first = std::collections::HashSet::new();
    for prefix in 0..20u64 {
        let mut chosen = std::collections::HashSet::new();
        for seed in 0..8 {
            let mut placement = Placement::new("z", seed, 0);
            placement.service(8, 300_000);
            (0..12).for_each(|w| placement.worker(0, &listed(&format!("w{w}"), Phase::Ready)));
            placement.pick(0, &small()).unwrap();
            let prefix = vec![(prefix, 13_000), (1000 + seed, 3_000)];
            let ask = Ask { class: 2, prompt: 16_000, prefix, aim: 300 * MS, ..Ask::default() };
            chosen.insert(placement.pick(0, &ask).unwrap().worker.id.clone());
        }
        assert!(chosen.len() == 1, "{chosen:?}");
        first.extend(chosen);
    }
    assert!(first.len() > 8, "{first:?}");
}

/// Given that others have taken half of the slots of the first in a prefix's order, and few of any other worker's, then the prefix
/// goes past it; where all are as laden, it goes there.
#[test]
fn a_prefix_goes_past_a_laden_worker() {
    let prefix = vec![(7, 13_000), (8, 3_000)];
    let ask = Ask { class: 2, prompt: 16_000, prefix, aim: 300 * MS, ..Ask::default() };
    let first = placement(12).pick(0, &ask).unwrap().worker.id.clone();
    let with = |all: u32| {
        let mut placement = placement(12);
        for w in (0..12).map(|w| format!("w{w}")) {
            placement.load(0, &w, (if w == first { 12 } else { all }, 0, 24));
        }
        placement.pick(0, &ask).unwrap().worker.id.clone()
    };
    assert_ne!(with(1), first);
    assert_eq!(with(12), first);
}

/// Given a cold worker, then it gets less than others until it is warm.
#[test]
fn a_cold_worker_gets_less() {
    let mut placement = placement(3);
    placement.worker(0, &Worker { warm_up_left_ms: 60_000, ..listed("w3", Phase::Ready) });
    let mut out: Vec<(Time, Pick)> = Vec::new();
    let mut got: HashMap<String, usize> = HashMap::new();
    for n in 0..3000 {
        let now = n * 10 * MS;
        placement.due(now);
        out.retain(|(at, pick)| {
            let over = *at <= now;
            if over {
                finish(&mut placement, now, pick);
            }
            !over
        });
        let pick = placement.pick(now, &small()).unwrap();
        *got.entry(pick.worker.id.clone()).or_default() += 1;
        out.push((now + 100 * MS, pick));
    }
    assert!(got["w3"] * 3 < got["w0"] * 2, "{got:?}");
}

/// Given many like routes, when one dispatcher is asked the same, then it answers the same: all chance is by its seed.
#[test]
fn the_same_seed_picks_the_same() {
    assert_eq!(series(&mut placement(5), 0, 50, &small()), series(&mut placement(5), 0, 50, &small()));
}

/// Given no worker that is known, as after a start, then who asks is told to come back after a beat's time; with workers that are
/// full, much sooner.
#[test]
fn who_finds_nobody_comes_back_after_a_beat() {
    let mut none = Placement::new("zone", 1, 0);
    assert!(none.pick(0, &small()).is_none());
    assert_eq!(none.pause(0), SECOND);
    let mut full = placement(1);
    full.load(0, "w0", (8, 7, 8));
    assert!(full.pick(0, &small()).is_none());
    assert!(full.pause(0) <= SECOND / 2);
}
