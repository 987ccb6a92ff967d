//! Each mechanism acts on the ordinary path where it is on, and does not where it is left out.

mod sim;

use rainlug::{SECOND, Time};
use rainlug_placement::{Ask, End, Mechanisms, Pick, Placement, UnknownMechanism};
use rainlug_registry::report::{ReportedLoad, worker_key};
use rainlug_registry::{Phase, Worker, WorkerReport};
use sim::{MS, listed};

const SLOTS: u64 = 8;

/// Workers w0, w1 and so on, with a mechanism or without it.
fn placement(workers: usize, mechanism: Mechanisms, is_on: bool) -> Placement {
    let mut placement = Placement::new("z", 1, 0);
    placement.mechanisms(if is_on { Mechanisms::all() } else { Mechanisms::all() - mechanism });
    placement.service(SLOTS, 300_000);
    (0..workers).for_each(|w| placement.worker(0, &listed(&format!("w{w}"), Phase::Ready)));
    placement
}

fn small() -> Ask {
    Ask { class: 1, prompt: 600, out: 20, aim: 200 * MS, ..Ask::default() }
}

fn end(placement: &mut Placement, now: Time, pick: &Pick, how: End) {
    placement.started(now, pick.ticket);
    placement.ended(now, pick.ticket, how);
}

/// Requests one after the other, each ended after as long as its worker takes; how many w0 got of them.
fn first_ones_part(
    placement: &mut Placement,
    from: Time,
    count: usize,
    takes: impl Fn(&str) -> Time,
) -> usize {
    let (mut now, mut got) = (from, 0);
    for _ in 0..count {
        placement.due(now);
        let pick = placement.pick(now, &small()).expect("a worker");
        got += usize::from(pick.worker.id == "w0");
        now += takes(&pick.worker.id);
        end(placement, now, &pick, End::Finished);
    }
    got
}

#[test]
fn shares_give_a_slow_worker_less() {
    let got = |is_on| {
        let mut placement = placement(4, Mechanisms::SHARES, is_on);
        let takes = |worker: &str| if worker == "w0" { 80 * MS } else { 10 * MS };
        first_ones_part(&mut placement, 0, 1_200, takes);
        first_ones_part(&mut placement, 60 * SECOND, 400, takes)
    };
    let (with, without) = (got(true), got(false));
    assert!(with < 80 && without >= 80, "{with}, {without}");
}

#[test]
fn turns_are_more_even_than_chance() {
    let spread = |is_on| {
        let mut placement = placement(10, Mechanisms::TURNS, is_on);
        let mut got = [0usize; 10];
        for n in 0..100 {
            let pick = placement.pick(n * MS, &small()).expect("a worker");
            got[pick.worker.id[1..].parse::<usize>().expect("a number")] += 1;
            end(&mut placement, n * MS, &pick, End::Finished);
        }
        got.iter().max().expect("ten") - got.iter().min().expect("ten")
    };
    let (with, without) = (spread(true), spread(false));
    assert!(with <= 2 && without > 4, "{with}, {without}");
}

/// Requests that are never ended at w0, and at once elsewhere; how many it holds.
fn held(placement: &mut Placement) -> usize {
    let mut held = 0;
    for n in 0..300 {
        let Some(pick) = placement.pick(n * 5 * MS, &small()) else { continue };
        placement.started(n * 5 * MS, pick.ticket);
        if pick.worker.id == "w0" {
            held += 1;
        } else {
            placement.ended(n * 5 * MS + 1, pick.ticket, End::Finished);
        }
    }
    held
}

#[test]
fn the_skip_bounds_what_one_holds() {
    let with = held(&mut placement(4, Mechanisms::SKIP, true));
    let without = held(&mut placement(4, Mechanisms::SKIP, false));
    assert!(with == 3 && without > 3, "{with}, {without}");
}

#[test]
fn prefixes_bring_long_prompts_together() {
    let workers = |is_on| {
        let mut placement = placement(6, Mechanisms::PREFIX, is_on);
        let ask = Ask { class: 2, prompt: 9_000, prefix: vec![(7, 8_000), (8, 1_000)], ..small() };
        let mut used: Vec<String> = Vec::new();
        for n in 0..30 {
            let pick = placement.pick(n * 100 * MS, &ask).expect("a worker");
            used.push(pick.worker.id.clone());
            end(&mut placement, n * 100 * MS + MS, &pick, End::Finished);
        }
        used.sort();
        used.dedup();
        used.len()
    };
    let (with, without) = (workers(true), workers(false));
    assert!(with == 1 && without == 6, "{with}, {without}");
}

#[test]
fn told_load_keeps_requests_from_full_workers() {
    let got = |is_on| {
        let mut placement = placement(4, Mechanisms::TOLD_LOAD, is_on);
        placement.load(0, "w0", (8, 4, 8));
        (1..4).for_each(|w| placement.load(0, &format!("w{w}"), (1, 0, 8)));
        first_ones_part(&mut placement, MS, 40, |_| 0)
    };
    let (with, without) = (got(true), got(false));
    assert!(with == 0 && without >= 8, "{with}, {without}");
}

#[test]
fn reports_keep_requests_from_full_workers() {
    let got = |is_on| {
        let mut placement = placement(4, Mechanisms::REPORTS, is_on);
        for w in 0..4 {
            let load = ReportedLoad { running: if w == 0 { 8 } else { 1 }, waiting: 0, age_ms: 10 };
            let worker = worker_key(&format!("w{w}"));
            placement.reported(0, &WorkerReport { worker, load: Some(load), failed: 0, ended: 0 });
        }
        first_ones_part(&mut placement, MS, 40, |_| 0)
    };
    let (with, without) = (got(true), got(false));
    assert!(with == 0 && without >= 8, "{with}, {without}");
}

#[test]
fn health_keeps_requests_from_failing_workers() {
    let got = |is_on| {
        let mut placement = placement(4, Mechanisms::HEALTH, is_on);
        let (mut failed, mut now) = (0, 0);
        while failed < 6 && now < 2 * SECOND {
            now += 5 * MS;
            let pick = placement.pick(now, &small()).expect("a worker");
            let fails = pick.worker.id == "w0";
            failed += usize::from(fails);
            end(&mut placement, now, &pick, if fails { End::Failed } else { End::Finished });
        }
        first_ones_part(&mut placement, now, 40, |_| 0)
    };
    let (with, without) = (got(true), got(false));
    assert!(with <= 1 && without >= 8, "{with}, {without}");
}

#[test]
fn the_backlog_keeps_requests_from_unread_prompts() {
    let got = |is_on| {
        let mut placement = placement(2, Mechanisms::BACKLOG, is_on);
        // A token takes 20 µs, as it is learnt.
        for n in 0..40 {
            let now = n * SECOND / 10;
            let ask = Ask { prompt: 500 + 100 * (n as u32 % 8), ..small() };
            let pick = placement.pick(now, &ask).expect("a worker");
            let read = now + Time::from(ask.prompt) * 20;
            end(&mut placement, read, &pick, End::Finished);
        }
        let large = Ask { prompt: 60_000, tried: vec!["w1".to_owned()], ..small() };
        assert_eq!(placement.pick(5 * SECOND, &large).expect("a worker").worker.id, "w0");
        let mut got = 0;
        // No solve comes between, which would take the prompt into account as well.
        for _ in 0..40 {
            let pick = placement.pick(5 * SECOND, &small()).expect("a worker");
            got += usize::from(pick.worker.id == "w0");
            placement.ended(5 * SECOND, pick.ticket, End::GivenUp);
        }
        got
    };
    let (with, without) = (got(true), got(false));
    assert!(with == 0 && without >= 15, "{with}, {without}");
}

#[test]
fn near_workers_come_first_among_equals() {
    let got = |is_on| {
        (0..64)
            .filter(|seed| {
                let mut placement = Placement::new("z", *seed, 0);
                placement.mechanisms(if is_on {
                    Mechanisms::all()
                } else {
                    Mechanisms::all() - Mechanisms::NEAR
                });
                // By load alone they are equal: all are full.
                for (id, zone) in [("far", "y"), ("near", "z")] {
                    placement.worker(0, &Worker { zone: zone.to_owned(), ..listed(id, Phase::Ready) });
                    placement.load(0, id, (8, 0, 8));
                }
                placement.pick(0, &small()).is_some_and(|pick| pick.worker.id == "near")
            })
            .count()
    };
    let (with, without) = (got(true), got(false));
    assert!(with == 64 && without < 64, "{with}, {without}");
}

#[test]
fn names_are_checked_and_listed() {
    let names =
        |given: &[&str]| Mechanisms::without(&given.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>());
    assert_eq!(names(&[]), Ok(Mechanisms::all()));
    assert_eq!(
        names(&["told-load", "skip"]),
        Ok(Mechanisms::all() - Mechanisms::TOLD_LOAD - Mechanisms::SKIP)
    );
    assert_eq!(names(&["skip", "lights"]), Err(UnknownMechanism::Name("lights".to_owned())));
    let told = UnknownMechanism::Name("lights".to_owned()).to_string();
    assert!(Mechanisms::names().iter().all(|name| told.contains(name.as_str())), "{told}");
}
