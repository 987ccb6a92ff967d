//! Machines cut into two sides: what a worker's end and a read of the configuration may be answered.
mod common;
use common::{Fleet, MS, configuration, heartbeat, settled};
use rainlug::{SECOND, Time};
use rainlug_coordinator::Call;
use rainlug_registry::Phase;

#[test]
fn given_core_machines_partitioned_into_halves_that_others_reach_when_a_worker_leaves_in_the_smaller_half_then_all_know_in_time()
 {
    for seed in 0..8 {
        for core in [3usize, 4] {
            let mut fleet = settled(core, 6, 0, 400 + seed);
            fleet.ask(0, heartbeat("w1", "notary", "ready", 1), 1.0);
            fleet.ask(0, heartbeat("w2", "notary", "ready", 1), 1.0);
            fleet.pass(1.0);
            let half: Vec<usize> = (0..core / 2).collect();
            let rest: Vec<usize> = (core / 2..core).collect();
            fleet.partition(&half, &rest);
            fleet.pass(4.0);
            for (call, id, phase) in [
                (heartbeat("w1", "notary", "draining", 2), "w1", Phase::Draining),
                (Call::Deregister("w2".into()), "w2", Phase::Gone),
            ] {
                let got = fleet.ask(0, call, 1.0).map(|a| a.status);
                if got == Some(200) {
                    let all = fleet.until(2.0, |f| {
                        f.machines.iter().all(|m| m.workers.get(id).is_some_and(|w| w.phase >= phase))
                    });
                    assert!(all, "seed {seed} core {core} {id}");
                }
            }
        }
    }
}

#[test]
fn given_machines_partitioned_into_halves_that_nobody_bridges_when_a_worker_leaves_in_the_smaller_half_then_nothing_is_acknowledged_that_the_rest_lacks()
 {
    let mut broken = 0;
    for seed in 0..8 {
        for wait in [0.1, 0.5, 1.0, 4.0] {
            let mut fleet = settled(3, 3, 0, 500 + seed);
            fleet.ask(0, heartbeat("w1", "notary", "ready", 1), 1.0);
            fleet.pass(1.0);
            fleet.partition(&[0, 3], &[1, 2, 4, 5]);
            fleet.pass(wait);
            let got = fleet.ask(0, heartbeat("w1", "notary", "draining", 2), 1.0).map(|a| a.status);
            let all = fleet.until(2.0, |f| {
                f.machines.iter().all(|m| m.workers.get("w1").is_some_and(|w| w.phase >= Phase::Draining))
            });
            broken += usize::from(got == Some(200) && !all);
        }
    }
    assert_eq!(broken, 0);
}

#[test]
fn given_core_machines_partitioned_into_halves_when_the_configuration_is_read_anywhere_then_it_is_the_newest_or_503()
 {
    for seed in 0..8 {
        for core in [3usize, 4] {
            let mut fleet = settled(core, 6, 0, 600 + seed);
            let half: Vec<usize> = (0..core / 2).collect();
            let rest: Vec<usize> = (core / 2..core).collect();
            fleet.partition(&half, &rest);
            let mut newest = 0;
            let mut base = fleet.machines[0].in_force.last().copied().unwrap_or(0);
            for turn in 0..12u64 {
                let at = (turn as usize) % (core + 6);
                let version = base + 1;
                let put = fleet
                    .ask(at, Call::Configure { base, text: configuration(version, "notary") }, 1.2)
                    .map(|a| a.status);
                if put == Some(200) {
                    newest = version;
                    base = version;
                }
                fleet.pass(0.3);
                for reader in 0..core + 6 {
                    match fleet.ask(reader, Call::Configuration, 1.2) {
                        Some(a) if a.status == 200 => {
                            let text = String::from_utf8_lossy(&a.body).into_owned();
                            let v: u64 = text
                                .split("\"version\":")
                                .nth(1)
                                .unwrap()
                                .chars()
                                .skip_while(|c| !c.is_ascii_digit())
                                .take_while(char::is_ascii_digit)
                                .collect::<String>()
                                .parse()
                                .unwrap();
                            assert!(v >= newest, "seed {seed} reader {reader}: {v} < {newest}");
                            base = base.max(v);
                        }
                        other => {
                            assert!(
                                other.as_ref().is_none_or(|a| a.status >= 500),
                                "seed {seed} reader {reader} {:?}",
                                other.map(|a| a.status)
                            );
                        }
                    }
                }
            }
        }
    }
}

/// Whether a machine's process takes clients.
fn is_ready(fleet: &Fleet, at: usize) -> bool {
    let now = fleet.time(at);
    fleet.machines[at].coordinator.as_ref().is_some_and(|coordinator| coordinator.is_ready(now))
}

/// Seconds until the machine's readiness is this; none within the time.
fn seconds_until_ready(fleet: &mut Fleet, at: usize, ready: bool, within: f64) -> Option<f64> {
    let since = fleet.now;
    // Readiness changes without an event: it is asked for, as a load balancer does.
    while fleet.now - since < (within * SECOND as f64) as Time {
        if is_ready(fleet, at) == ready {
            return Some((fleet.now - since) as f64 / SECOND as f64);
        }
        fleet.pass(0.02);
    }
    None
}

/// What a one-way partition of a gateway without a disk comes to: seconds until it is not ready, and after its end until it is.
fn one_way(seed: u64, is_mute: bool) -> (f64, f64) {
    let mut fleet = settled(3, 4, 0, 700 + seed);
    fleet.ask(0, heartbeat("w1", "notary", "ready", 1), 1.0);
    fleet.pass(2.0);
    let (at, rest) = (5, fleet.others(5));
    if is_mute {
        fleet.partition_one_way(&[at], &rest);
    } else {
        fleet.partition_one_way(&rest, &[at]);
    }
    let shown = seconds_until_ready(&mut fleet, at, false, 10.0).expect("it is out of touch");
    let end = fleet.now + 20 * SECOND;
    while fleet.now < end {
        assert!(!is_ready(&fleet, at), "seed {seed}: it is ready again in the partition");
        fleet.pass(0.05);
    }
    let answer = fleet.ask(at, heartbeat("w1", "notary", "draining", 2), 1.0);
    assert_eq!(answer.map(|a| a.status), Some(503), "seed {seed}: nobody else would know");
    fleet.heal();
    let back = seconds_until_ready(&mut fleet, at, true, 10.0).expect("it is back in touch");
    (shown, back)
}

#[test]
fn given_a_gateway_that_only_receives_when_nobody_answers_it_then_it_is_not_ready_until_it_is_answered() {
    let courses: Vec<(f64, f64)> = (0..8).map(|seed| one_way(seed, true)).collect();
    println!("{courses:.2?}");
    assert!(courses.iter().all(|(shown, back)| *shown < 3.0 && *back < 3.0), "{courses:.2?}");
}

#[test]
fn given_a_gateway_that_only_sends_when_nothing_reaches_it_then_it_is_not_ready_until_something_does() {
    let courses: Vec<(f64, f64)> = (0..8).map(|seed| one_way(seed, false)).collect();
    println!("{courses:.2?}");
    assert!(courses.iter().all(|(shown, back)| *shown < 3.0 && *back < 3.0), "{courses:.2?}");
}

#[test]
fn given_links_that_lose_one_datagram_in_ten_when_a_minute_passes_then_every_gateway_stays_ready() {
    for seed in 0..8 {
        let mut fleet = settled(3, 4, 0, 800 + seed);
        fleet.loss = 0.1;
        for _ in 0..3000 {
            fleet.pass(0.02);
            for at in 0..fleet.machines.len() {
                assert!(is_ready(&fleet, at), "seed {seed} machine {at} at {}", fleet.now);
            }
        }
    }
}

/// Milliseconds from a worker's last call to its acknowledgement, and the bytes that the machine sent meanwhile, in calm.
fn acknowledgement_in_calm(core: usize, plain: usize, seed: u64) -> (f64, u64) {
    let mut fleet = settled(core, plain, 0, 900 + seed);
    fleet.ask(0, heartbeat("w1", "notary", "ready", 1), 1.0);
    fleet.pass(1.0);
    let (since, sent) = (fleet.now, fleet.bytes_from[&4]);
    let answer = fleet.ask(4, heartbeat("w1", "notary", "draining", 2), 1.0);
    assert_eq!(answer.map(|a| a.status), Some(200), "seed {seed}");
    ((fleet.now - since) as f64 / MS as f64, fleet.bytes_from[&4] - sent)
}

#[test]
fn given_calm_when_a_worker_drains_then_the_acknowledgement_takes_a_few_round_trips() {
    for (core, plain) in [(3, 6), (3, 40)] {
        let courses: Vec<(f64, u64)> =
            (0..8).map(|seed| acknowledgement_in_calm(core, plain, seed)).collect();
        println!("{core} + {plain}: {courses:.1?}");
        assert!(courses.iter().all(|(ms, _)| *ms < 200.0), "{courses:.1?}");
    }
}
