//! Stories of what dispatchers tell one another of workers.

mod sim;

use rainlug::SECOND;
use rainlug_placement::{Ask, End, Placement};
use rainlug_registry::report::{ReportedLoad, worker_key};
use rainlug_registry::{Phase, WorkerReport};
use sim::{MS, listed};

fn placement(workers: usize) -> Placement {
    let mut placement = Placement::new("z", 1, 0);
    placement.service(8, 300_000);
    (0..workers).for_each(|w| placement.worker(0, &listed(&format!("w{w}"), Phase::Ready)));
    placement
}

fn small() -> Ask {
    Ask { class: 1, prompt: 600, out: 20, aim: 200 * MS, ..Ask::default() }
}

fn reported(worker: &str, load: Option<(u8, u8)>, failed: u8, ended: u8) -> WorkerReport {
    let load = load.map(|(running, waiting)| ReportedLoad { running, waiting, age_ms: 100 });
    WorkerReport { worker: worker_key(worker), load, failed, ended }
}

/// Requests one after the other; how many of them the worker got.
fn got(placement: &mut Placement, from: i64, worker: &str, count: i64) -> usize {
    let mut got = 0;
    for n in 0..count {
        let now = from + n * 5 * MS;
        let pick = placement.pick(now, &small()).expect("someone is ready");
        got += usize::from(pick.worker.id == worker);
        placement.started(now + MS, pick.ticket);
        placement.ended(now + 2 * MS, pick.ticket, End::Finished);
    }
    got
}

/// Given a worker that others report as full, when there is room elsewhere, then it gets nothing while that is news.
#[test]
fn a_worker_that_others_find_full_gets_nothing() {
    let mut placement = placement(4);
    let before = got(&mut placement, 0, "w1", 40);
    (0..4).for_each(|w| {
        let load = if w == 1 { (8, 3) } else { (2, 0) };
        placement.reported(SECOND, &reported(&format!("w{w}"), Some(load), 0, 1));
    });
    let after = got(&mut placement, SECOND, "w1", 40);
    assert!(before >= 8 && after == 0, "{before} before, {after} after");
}

/// Given a load that this dispatcher was told later itself, when an older report of it comes, then that changes nothing.
#[test]
fn an_older_report_changes_nothing() {
    let mut placement = placement(4);
    (0..4).for_each(|w| placement.load(SECOND, &format!("w{w}"), (1, 0, 8)));
    placement.reported(SECOND + 50 * MS, &reported("w1", Some((8, 8)), 0, 1));
    assert!(got(&mut placement, SECOND + 50 * MS, "w1", 40) >= 8);
}

/// Given a worker that fails a part of its requests, when others report that, then it gets nothing until it has faded.
#[test]
fn a_worker_that_fails_elsewhere_gets_nothing() {
    let mut placement = placement(4);
    placement.reported(0, &reported("w1", None, 3, 6));
    assert_eq!(got(&mut placement, 0, "w1", 100), 0);
    assert!(got(&mut placement, 4 * SECOND, "w1", 100) > 10, "it is tried again");
}

/// Given few failures among many requests, or one alone, then the worker goes on as before.
#[test]
fn a_few_failures_are_nothing() {
    let mut placement = placement(4);
    placement.reported(0, &reported("w1", None, 3, 30));
    placement.reported(0, &reported("w2", None, 1, 1));
    let (one, two) = (got(&mut placement, 0, "w1", 40), got(&mut placement, SECOND, "w2", 40));
    assert!(one >= 8 && two >= 8, "{one}, {two}");
}

/// Given that most workers are reported to fail, then the cause is a common one, and all go on.
#[test]
fn where_most_fail_none_is_avoided() {
    let mut placement = placement(4);
    (0..3).for_each(|w| placement.reported(0, &reported(&format!("w{w}"), None, 5, 5)));
    assert!(got(&mut placement, 0, "w1", 40) >= 8);
}

/// Given a request whose answer does not begin, when that has lasted, then it is reported as failed, once, before it ends.
#[test]
fn an_overdue_request_is_reported_once() {
    let mut placement = placement(1);
    assert!(placement.reports(0).is_empty());
    let pick = placement.pick(0, &small()).expect("a worker");
    assert!(placement.reports(300 * MS).is_empty(), "it may begin yet");
    let reports = placement.reports(SECOND);
    assert_eq!(reports, [reported("w0", None, 1, 1)]);
    placement.ended(2 * SECOND, pick.ticket, End::Silent);
    assert!(placement.reports(2 * SECOND).is_empty());
}

/// Given answers, when they are reported, then each worker's newest load goes with its age, and only once.
#[test]
fn what_was_seen_is_reported_once() {
    let mut placement = placement(2);
    let pick = placement.pick(0, &small()).expect("a worker");
    let worker = pick.worker.id.clone();
    placement.load(10 * MS, &worker, (3, 0, 8));
    placement.load(20 * MS, &worker, (4, 1, 8));
    placement.started(20 * MS, pick.ticket);
    placement.ended(30 * MS, pick.ticket, End::Finished);
    let reports = placement.reports(120 * MS);
    assert_eq!(reports, [reported(&worker, Some((4, 1)), 0, 1)]);
    assert!(placement.reports(130 * MS).is_empty());
}
