//! What many dispatchers do together, each an instance of the module that hears of its own tasks alone.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Bench, MS, Sent, allowed, fleet, in_group, known, listed, place};
use rainlug::*;

/// One of a hundred dispatchers that feed sixty workers.
fn one_of_many(index: usize) -> Bench {
    let mut bench = in_group(index, 100, allowed(), known());
    bench.list(&fleet(60, None));
    bench
}

fn report(errors: f64, rate: f64) -> Report {
    Report { rate: Some(rate), errors: Some(errors), ..Report::default() }
}

/// Three copies of a task waited at busy workers, and for lack of a fourth it was abandoned 11 ms after it had come.
#[test]
fn a_task_that_waits_at_as_many_workers_as_it_may_stays_there() {
    let mut bench = one_of_many(0);
    bench.task("one", 2);
    bench.pass(200 * MS);
    let sent = |bench: &Bench| bench.out.sent.iter().map(|(_, s)| s.clone()).collect::<Vec<_>>();
    assert_eq!(sent(&bench).len(), 3, "{:?}", sent(&bench));
    assert!(sent(&bench).iter().all(|s| matches!(s, Sent::Assign(..))));
    bench.start_job("one", 2);
    assert_eq!(bench.out.withdrawn, [("one".to_owned(), 0), ("one".to_owned(), 1)]);
    [0, 1].iter().for_each(|i| bench.end("one", *i, Outcome::Withdrawn));
    bench.run("one", 2);
    assert_eq!(sent(&bench).len(), 3);
}

/// Each dispatcher found each failing worker by two errors of each workload: 500 errors told the fleet of six workers.
/// A worker's own report of errors, which comes with the first, tells of all workloads.
#[test]
fn one_report_of_errors_keeps_side_effects_away_until_one_without() {
    let (mut failed, mut dispatchers) = (0, 0);
    for index in 0..100 {
        let mut bench = one_of_many(index);
        for i in 0..40 {
            let id = format!("t{i}");
            bench.task(&id, 1 + i % 2);
            let fails = bench.worker_of(&id).as_deref() == Some("w0");
            let (end, told) = match fails {
                true => (Outcome::Failed, report(2.0, 1.0)),
                false => (Outcome::Finished, report(0.0, 3.0)),
            };
            bench.start_job(&id, 0);
            bench.with(|to, m| to.ended(m, &id, 0, (end, true), told));
            failed += usize::from(fails);
            bench.pass(200 * MS);
        }
        let went = (0..40).any(|i| bench.worker_of(&format!("t{i}")).as_deref() == Some("w0"));
        if went {
            dispatchers += 1;
            // Who gets no tasks makes no errors: that does not make it well.
            bench.report("w0", report(0.0, 0.0));
            assert!(!bench.tasks("idle", 12, 1).contains(&"w0".to_owned()));
            (0..12).for_each(|i| bench.run(&format!("idle{i}"), 0));
            bench.report("w0", report(0.0, 3.0));
            assert!(bench.tasks("well", 12, 1).contains(&"w0".to_owned()));
        }
    }
    assert!(dispatchers > 5 && failed == dispatchers, "{failed} errors at {dispatchers} dispatchers");
}

/// A list that answers calls in turn, so many a second, and whose callers give up after 2 s: an answer to one that has
/// gone costs it as much.
struct Source {
    free_at: Time,
    cost: Time,
    answers: Vec<(Time, usize, bool)>,
}

impl Source {
    fn call(&mut self, now: Time, who: usize) {
        let done = self.free_at.max(now) + self.cost;
        if done - now > 4 * SECOND {
            self.answers.push((now, who, false));
            return;
        }
        self.free_at = done;
        let late = done - now > 2 * SECOND;
        self.answers.push((done.min(now + 2 * SECOND), who, !late));
    }
}

/// Seventy of a hundred dispatchers restarted; their calls for the list came again so soon that each was answered too
/// late to be heard, and nobody had a list for the rest of the day.
#[test]
fn dispatchers_that_restart_together_all_get_the_list() {
    let mut source = Source { free_at: 0, cost: SECOND / 13, answers: Vec::new() };
    let follows = Allowed { must_ask: true, ..allowed() };
    let mut benches: Vec<Bench> = (0..100)
        .map(|index| in_group(index, 100, follows, Known { live_weights: true, ..known() }))
        .collect();
    let entries = [listed("a", 0, State::Ready, None)];
    let (mut last, mut longest) = (vec![0; 100], 0);
    for now in (0..60 * SECOND).step_by(20_000) {
        for (who, bench) in benches.iter_mut().enumerate() {
            let asked = |b: &Bench| b.out.sent.iter().filter(|(_, s)| *s == Sent::Follow).count();
            let before = asked(bench);
            bench.pass(20 * MS);
            (before..asked(bench)).for_each(|_| source.call(now, who));
        }
        let (due, later): (Vec<_>, Vec<_>) = source.answers.drain(..).partition(|a| a.0 <= now);
        source.answers = later;
        for (_, who, heard) in due {
            if heard {
                longest = longest.max(now - last[who]);
                last[who] = now;
                benches[who].list(&entries);
            } else {
                benches[who].with(|to, m| to.list_failed(m.now));
            }
        }
    }
    // After 40 s from a call that failed, the list counts as read.
    assert!(longest <= 40 * SECOND, "{longest}");
    assert!(last.iter().all(|at| 60 * SECOND - at <= 40 * SECOND), "{last:?}");
    let mean = last.iter().map(|at| 60 * SECOND - at).sum::<Time>() / 100;
    assert!(mean <= 10 * SECOND, "{mean}");
}

/// Half of all assignments crossed zones, though two zones had room for all of their own traffic. Turns stay with near
/// workers that are no busier than far ones, and a zone that is busier than the others still crosses.
#[test]
fn turns_stay_near_while_far_workers_are_no_less_busy() {
    let crossed = |near_busy: f64, far_busy: f64| {
        let far = |w: &str| w[1..].parse::<usize>().unwrap() % 2 == 1;
        let mut crossed = 0;
        for index in 0..40 {
            let mut bench = in_group(index, 100, allowed(), Known { cross_zone: 0.1, ..known() });
            let entry = |i: usize| listed(&format!("w{i}"), i % 2, State::Ready, None);
            bench.list(&(0..60).map(entry).collect::<Vec<_>>());
            for i in 0..60 {
                let busy = Some(if i % 2 == 1 { far_busy } else { near_busy });
                let told = Report { utilisation: busy, rate: Some(4.0), ..Report::default() };
                bench.report(&format!("w{i}"), told);
            }
            bench.pass(500 * MS);
            for i in 0..10 {
                let id = format!("t{i}");
                bench.task(&id, 1);
                crossed += usize::from(bench.worker_of(&id).is_some_and(|w| far(&w)));
                bench.run(&id, 0);
            }
        }
        crossed
    };
    let (quiet, alike, busy) = (crossed(0.4, 0.8), crossed(0.7, 0.7), crossed(0.8, 0.4));
    assert!(quiet <= alike && alike < 40 && busy > 180, "{quiet} {alike} {busy} of 400");
}

/// Workers and dispatchers that all start anew: nobody has reported, so nobody had room for a cold worker, and nobody
/// could report, until all were warm. Together they must still not push one over.
#[test]
fn a_fleet_that_starts_anew_with_its_dispatchers_comes_to_work() {
    let born = SECOND;
    let (mut first, mut to_one) = (Vec::new(), Vec::new());
    for index in 0..100 {
        let mut bench = in_group(index, 100, allowed(), known());
        bench.pass(born);
        bench.list(&fleet(60, Some(0)));
        for i in 0..20 {
            bench.task(&format!("t{i}"), i % 2);
            bench.pass(400 * MS);
        }
        let assigned = bench.out.sent.iter().filter_map(|(at, s)| match s {
            Sent::Assign(_, worker) => Some((*at, worker.clone())),
            _ => None,
        });
        let assigned: Vec<_> = assigned.collect();
        first.extend(assigned.first().map(|(at, _)| *at));
        to_one.extend(assigned.into_iter().filter(|(_, w)| w == "w0").map(|(at, _)| at));
    }
    let early = first.iter().filter(|at| **at < 5 * SECOND).count();
    assert!(early >= 40, "{early} of 100 sent something while all were cold");
    // One core, tasks of half a second: two a second when warm, a quarter at first, three times as many for two seconds.
    for from in (0..7 * SECOND).step_by(250_000) {
        let sent = to_one.iter().filter(|t| (from..from + 2 * SECOND).contains(*t)).count();
        assert!(sent as f64 <= 12.0 * (0.25 + 0.075 * from as f64 / 1e6) + 1.0, "{sent} from {from}");
    }
}

/// Lists and reports that are odd but may come: no panic, no task without its one answer, whatever the group's size.
#[test]
fn odd_lists_and_reports_leave_every_task_its_answer() {
    let absurd = [0.0, -1.0, 1e300, f64::MIN_POSITIVE, f64::NAN, f64::INFINITY];
    for group_size in [1, 2, 100, 5000] {
        let known = Known { live_weights: true, cross_zone: 0.1, ..known() };
        let mut bench = in_group(group_size - 1, group_size, allowed(), known);
        let entries = |from: usize, to: usize| -> Vec<Listed> {
            let entry = |i: usize| {
                let weight = absurd[i % absurd.len()];
                Listed { weight, ..listed(&format!("w{i}"), i % 4, State::Ready, None) }
            };
            (from..to).map(entry).collect()
        };
        let sizes = [(0, 0), (0, 30), (0, 60), (0, 30), (60, 90), (0, 0), (0, 1), (5, 400), (0, 0)];
        for (turn, (from, to)) in sizes.into_iter().enumerate() {
            bench.with(|to_, m| to_.list(m, true, false, &entries(from, to)));
            for (i, odd) in absurd.iter().cycle().take(to - from).enumerate() {
                let some =
                    |n: usize| Some(absurd[(i + n) % absurd.len()]).filter(|_| !(i + n).is_multiple_of(3));
                let told = Report {
                    utilisation: Some(*odd),
                    rate: some(1),
                    errors: some(2),
                    free_slots: some(3),
                    queue: some(4),
                };
                bench.report(&format!("w{}", from + i), told);
            }
            (0..9).for_each(|i| bench.task(&format!("t{turn}.{i}"), i % 3));
            bench.pass(6 * SECOND);
        }
        for task in (0..sizes.len()).flat_map(|t| (0..9).map(move |i| format!("t{t}.{i}"))) {
            let ends = |s: &Sent| matches!(s, Sent::Bounce(t) | Sent::Abandon(t) if *t == task);
            let answers = bench.out.sent.iter().filter(|(_, s)| ends(s)).count();
            assert_eq!(answers, 1, "{task} among {group_size}");
        }
    }
}

/// A fleet in two locations whose tasks must never run twice, and go out one at a time.
fn no_copies() -> Allowed {
    Allowed { copies: false, pause: 2 * SECOND, ..allowed() }
}

fn in_two_locations(states: [State; 2]) -> Vec<Listed> {
    (0..176).map(|i| listed(&format!("w{i}"), i % 2, states[i % 2], None)).collect()
}

/// Twenty-four dispatchers fed each worker and each saw one start of it in seconds: tasks met in queues that no second
/// copy could leave.
#[test]
fn without_copies_few_dispatchers_feed_a_worker_and_all_are_fed() {
    let fed = |copies: bool| {
        let mut feeders = BTreeMap::new();
        for index in 0..298 {
            let allowed = Allowed { copies, ..no_copies() };
            let mut bench = in_group(index, 298, allowed, known());
            bench.list(&in_two_locations([State::Ready; 2]));
            let part = BTreeSet::from_iter(bench.tasks("t", 40, 1));
            part.into_iter().for_each(|w| *feeders.entry(w).or_insert(0) += 1);
        }
        feeders
    };
    let (few, many) = (fed(false), fed(true));
    assert_eq!((few.len(), many.len()), (176, 176));
    assert!(few.values().all(|n| (1..=12).contains(n)), "{few:?}");
    assert!(many.values().sum::<usize>() > 2 * few.values().sum::<usize>(), "{few:?} {many:?}");
}

/// Half of the fleet was lost with a location. Until the list says so, its workers are barred one by one, and parts of
/// one or two workers were left; then parts were one worker.
#[test]
fn a_lost_location_leaves_a_part_of_the_other_one_and_comes_back() {
    let far = |w: &String| w[1..].parse::<usize>().unwrap() % 2 == 1;
    let mut bench = in_group(5, 298, no_copies(), Known { cross_zone: 0.03, ..known() });
    bench.list(&in_two_locations([State::Ready; 2]));
    for n in 0..4 {
        let id = format!("lost{n}");
        bench.task(&id, 1);
        for nth in 0..3 {
            let at =
                bench.out.sent.iter().filter(|(_, s)| matches!(s, Sent::Assign(t, _) if *t == id)).count();
            if at <= nth {
                break;
            }
            if bench.worker_of(&id).is_some_and(|w| far(&w)) {
                bench.run(&id, nth);
                break;
            }
            bench.end(&id, nth, Outcome::Unreachable);
        }
    }
    let served = |bench: &mut Bench, name: &str| {
        let workers = bench.tasks(name, 20, 1);
        for id in (0..20).map(|i| format!("{name}{i}")) {
            if bench.worker_of(&id).is_some() {
                bench.run(&id, 0);
            }
        }
        BTreeSet::from_iter(workers)
    };
    let reached = served(&mut bench, "more");
    assert!(reached.iter().filter(|w| far(w)).count() >= 3, "{reached:?}");
    bench.list(&in_two_locations([State::Gone, State::Ready]));
    bench.pass(6 * SECOND);
    let left = served(&mut bench, "left");
    assert!(left.len() >= 3 && left.iter().all(&far), "{left:?}");
    let now = bench.out.now;
    let back = |i: usize| listed(&format!("w{}", 2 * i), 0, State::Ready, Some(now));
    bench.list(&(0..88).map(back).collect::<Vec<_>>());
    bench.pass(12 * SECOND);
    assert!(served(&mut bench, "back").iter().any(|w| !far(w)), "{:?}", bench.out.sent);
}

/// Nothing but work that must not run twice: a worker that took a task and said nothing was given the next as soon as
/// that had timed out, and one that was barred had no idempotent task to come back by.
#[test]
fn in_a_fleet_of_side_effects_a_worker_that_hangs_is_left_and_comes_back() {
    let mut bench = Bench::start_for(place(1), no_copies(), known(), &[Effect::SideEffecting], 0.0);
    bench.ready(&["a", "b", "c", "d"]);
    bench.task("first", 0);
    let hangs = bench.worker_of("first").unwrap();
    bench.pass(5 * SECOND);
    bench.end("first", 0, Outcome::TimedOut);
    let sent_there = |bench: &mut Bench, name: &str| {
        let mut there = Vec::new();
        for id in (0..8).map(|i| format!("{name}{i}")) {
            bench.task(&id, 0);
            if bench.worker_of(&id).as_ref() == Some(&hangs) {
                there.push(id);
            } else {
                bench.run(&id, 0);
            }
        }
        there
    };
    assert_eq!(sent_there(&mut bench, "early"), Vec::<String>::new());
    let mut back = Vec::new();
    for n in 0..8 {
        bench.pass(SECOND);
        let there = sent_there(&mut bench, &format!("late{n}-"));
        assert!(there.len() <= 1, "one trial at a time: {there:?}");
        back.extend(there);
        if let Some(id) = back.last() {
            bench.run(id, 0);
            break;
        }
    }
    assert!(!back.is_empty(), "it never came back");
    bench.pass(12 * SECOND);
    assert!(!sent_there(&mut bench, "well").is_empty(), "it answered, and gets its turns again");
}

/// Clients that were bounced with the longest pause came back after their due time and took the room of others.
#[test]
fn a_bounce_asks_to_come_back_in_time_and_who_comes_too_late_does_not_wait() {
    let come = |budget: Time| {
        let mut bench = Bench::start_for(place(1), no_copies(), known(), &[Effect::SideEffecting], 0.0);
        bench.ready(&["a"]);
        bench.task("holds", 0);
        bench.with(|to, m| to.task(m, "comes", (0, None), budget, 1.0));
        let bounced = bench.out.sent.iter().any(|(_, s)| *s == Sent::Bounce("comes".into()));
        assert!(bench.out.pauses.iter().all(|p| (1..=500 * MS / 4).contains(p)), "{:?}", bench.out.pauses);
        bounced
    };
    // The due time is 0.5 s and twice the running time, taken for 0.5 s before any is known.
    assert!(come(3 * SECOND), "its due time was over when it came");
    assert!(!come(1400 * MS), "it has come for the first time, with little time");
    assert!(!come(5 * SECOND), "it has all its time");
}
