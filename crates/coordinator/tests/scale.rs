//! What must not grow with the size of the deployment, as far as fleets of thirty and sixty gateways show it.

mod common;

use common::{Fleet, HeartbeatingWorkers, large_configuration};
use rainlug::{SECOND, Time};
use rainlug_coordinator::Call;
use rainlug_registry::Phase;

/// How soon all processes have to know something after it was acknowledged, in microseconds.
const BOUND: Time = 2 * SECOND;
/// Failure domains that the machines are in.
const ZONES: usize = 11;
/// A machine's link: 1 Gbit/s.
const LINK_BYTES_PER_SECOND: u64 = 125_000_000;
const DISK_BYTES: usize = 500_000_000;
/// The time over which traffic at rest is counted, in seconds.
const REST_SECONDS: f64 = 20.0;

/// So many gateways, 3 to 8 of them with a disk for the configuration's shard, and a store for each twelve, with a first
/// configuration (version 5, 5 KB) in force everywhere.
fn large_fleet(gateways: usize, seed: u64) -> Fleet {
    let with_disk = (gateways / 20).clamp(3, 8);
    let mut fleet = Fleet::new(0, 0, 0, seed);
    fleet.zones = ZONES;
    fleet.link = Some(LINK_BYTES_PER_SECOND);
    fleet.link_bytes_per_second = LINK_BYTES_PER_SECOND;
    fleet.disk_bytes = DISK_BYTES;
    (0..gateways).for_each(|at| {
        fleet.add(true, at < with_disk, at);
    });
    (0..(gateways / 12).max(3)).for_each(|store| {
        fleet.add(false, true, gateways + store);
    });
    fleet.start_all();
    fleet.pass(10.0);
    let answer = fleet.ask(0, Call::Configure { base: 0, text: large_configuration(5, 5_000) }, 2.0);
    assert_eq!(answer.map(|answer| answer.status), Some(200), "the first configuration");
    assert!(fleet.until(5.0, |fleet| is_in_force_everywhere(fleet, 5)), "it is in force everywhere");
    fleet.pass(2.0);
    fleet
}

fn is_in_force_everywhere(fleet: &Fleet, version: u64) -> bool {
    fleet.machines.iter().all(|machine| machine.in_force.contains(&version))
}

#[test]
fn given_sixty_members_when_a_configuration_is_acknowledged_then_it_is_in_force_at_all_within_two_seconds() {
    let mut fleet = large_fleet(60, 21);
    for (version, at) in [(6, 0), (7, 17), (8, 41), (9, 59)] {
        let change = Call::Configure { base: version - 1, text: large_configuration(version, 50_000) };
        let ticket = fleet.call(at, change);
        assert!(
            fleet.until(2.0, |fleet| fleet.answers.contains_key(&ticket)),
            "version {version}: an answer"
        );
        let (acknowledged_at, answer) = fleet.answers[&ticket].clone();
        assert_eq!(answer.status, 200);
        assert!(
            fleet.until(4.0, |fleet| is_in_force_everywhere(fleet, version)),
            "version {version} is in force everywhere"
        );
        let took = fleet.now - acknowledged_at;
        assert!(took <= BOUND, "version {version}: {took} us after its answer");
        fleet.pass(0.5);
    }
}

#[test]
fn given_sixty_members_and_forty_workers_when_one_drains_then_all_know_within_two_seconds() {
    let mut fleet = large_fleet(60, 22);
    let mut workers = HeartbeatingWorkers::new(&fleet, 40, 22);
    workers.until(&mut fleet, 2.5, |_| false);
    for worker in [0, 13, 26, 39] {
        let id = HeartbeatingWorkers::id(worker);
        let drains = |phase: Phase| phase >= Phase::Draining;
        let is_known = |machine: &common::Machine| machine.workers.get(&id).is_some_and(|w| drains(w.phase));
        assert!(!fleet.machines.iter().any(is_known), "{id} drains only now");
        let drained_at = fleet.now;
        let ticket = workers.drain(&mut fleet, worker);
        let everywhere = |fleet: &Fleet| fleet.machines.iter().all(is_known);
        assert!(workers.until(&mut fleet, 4.0, everywhere), "{id} is known to drain everywhere");
        assert!(fleet.now <= drained_at + BOUND, "{id}");
        workers.until(&mut fleet, 1.0, |fleet| fleet.answers.contains_key(&ticket));
        assert_eq!(fleet.answers.get(&ticket).map(|(_, answer)| answer.status), Some(200));
    }
}

/// Bytes in and out a second at a gateway without a disk, when nothing happens.
fn bytes_per_second_at_rest(gateways: usize) -> f64 {
    let mut fleet = large_fleet(gateways, 23);
    let without_disk: Vec<usize> = (0..fleet.machines.len())
        .filter(|at| fleet.machines[*at].gateway && fleet.machines[*at].disk.is_none())
        .collect();
    let bytes = |fleet: &Fleet| -> u64 {
        let of = |at: &usize| fleet.bytes_from.get(at).unwrap_or(&0) + fleet.bytes_to.get(at).unwrap_or(&0);
        without_disk.iter().map(of).sum()
    };
    let before = bytes(&fleet);
    fleet.pass(REST_SECONDS);
    (bytes(&fleet) - before) as f64 / without_disk.len() as f64 / REST_SECONDS
}

/// Nothing at rest grows with the fleet. The bound leaves the noise of 20 s: docs/CAPACITY.md has what was measured.
#[test]
fn given_twice_the_members_when_nothing_happens_then_a_member_sends_and_receives_as_much_as_before() {
    let (thirty, sixty) = (bytes_per_second_at_rest(30), bytes_per_second_at_rest(60));
    println!("{thirty:.0} B/s at 30 members, {sixty:.0} B/s at 60");
    assert!(thirty > 0.0 && sixty <= 1.1 * thirty, "{thirty:.0} B/s at 30 members, {sixty:.0} B/s at 60");
}
