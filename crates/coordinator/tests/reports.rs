//! Stories of reports on workers: what one process saw reaches all.

mod common;

use common::Fleet;
use rainlug_registry::WorkerReport;
use rainlug_registry::report::ReportedLoad;

/// Rounds of reports in which all hear of what one saw.
const ROUNDS: usize = 4;

fn report(worker: u32) -> WorkerReport {
    let load = ReportedLoad { running: 5, waiting: 1, age_ms: 10 };
    WorkerReport { worker, load: Some(load), failed: 1, ended: 2 }
}

fn settled() -> Fleet {
    let mut fleet = Fleet::new(4, 8, 4, 3);
    fleet.loss = 0.0;
    fleet.start_all();
    fleet.pass(6.0);
    fleet
}

/// One machine saw something; some rounds go by. Who was told of it, and how often each.
fn told(fleet: &mut Fleet, at: usize, worker: u32) -> Vec<usize> {
    fleet.machines.iter_mut().for_each(|machine| machine.reports.clear());
    fleet.report(at, vec![report(worker)]);
    for _ in 0..ROUNDS {
        fleet.pass(0.2);
        (0..fleet.machines.len()).for_each(|place| fleet.report(place, Vec::new()));
    }
    fleet.pass(0.2);
    let times = |reports: &[WorkerReport]| reports.iter().filter(|told| told.worker == worker).count();
    fleet.machines.iter().map(|machine| times(&machine.reports)).collect()
}

/// Given processes in four zones, when one saw something of a worker, then each process is told of it, once.
#[test]
fn what_one_saw_reaches_each_process_once() {
    let mut fleet = settled();
    for at in 0..fleet.machines.len() {
        let times = told(&mut fleet, at, 1_000 + at as u32);
        assert!(times.iter().all(|n| *n == 1), "from {at}: {times:?}");
    }
    let seen = fleet.machines[0].reports.last().copied().expect("it was told");
    assert_eq!((seen.failed, seen.ended), (1, 2));
    let age = seen.load.map_or(0, |load| load.age_ms);
    assert!((10..1_500).contains(&age), "its age goes on meanwhile: {age} ms");
}

/// Given that any one process has died and the others know it, then what one saw reaches all others still.
#[test]
fn another_process_relays_after_a_death() {
    for dead in 0..8 {
        let mut fleet = settled();
        fleet.kill(dead, true);
        fleet.pass(8.0);
        let at = (dead + 4) % 8;
        let mut times = told(&mut fleet, at, 77);
        times.remove(dead);
        assert!(times.iter().all(|n| *n == 1), "without {dead}: {times:?}");
    }
}

/// Given many workers and many reports, then a process is sent no more than a bounded number of bytes a second.
#[test]
fn reports_are_sent_at_a_bounded_rate() {
    let mut fleet = settled();
    fleet.pass(1.0);
    let quiet = fleet.bytes_to.clone();
    fleet.pass(10.0);
    let idle = fleet.bytes_to.clone();
    for _ in 0..50 {
        for at in 0..fleet.machines.len() {
            fleet.report(at, (0..600).map(report).collect());
        }
        fleet.pass(0.2);
    }
    let mut rates: Vec<u64> = (0..fleet.machines.len())
        .map(|at| (fleet.bytes_to[&at] - idle[&at]).saturating_sub(idle[&at] - quiet[&at]) / 10)
        .collect();
    rates.sort_unstable();
    // Relays, one in each of four zones, take in what others saw: that many reports are far beyond what happens.
    let plain = &rates[..rates.len() - 4];
    assert!(plain.iter().all(|rate| *rate < 4_500), "bytes a second: {rates:?}");
}
