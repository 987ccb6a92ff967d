//! Machines cut into two sides: what a worker's end and a read of the configuration may be answered.
mod common;
use common::{configuration, heartbeat, settled};
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
