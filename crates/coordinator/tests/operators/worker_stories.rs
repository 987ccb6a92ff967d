//! Named stories of workers whose calls come to machines that are cut off, that know nothing of them, or late.

use rainlug::{SECOND, Time};
use rainlug_coordinator::Call;
use rainlug_registry::Phase;

use crate::common::{Fleet, MS, address, heartbeat, settled};

const CUT: f64 = 20.0;
const BEAT: f64 = 1.2;

fn phases(fleet: &Fleet, id: &str) -> Vec<Option<Phase>> {
    fleet.machines.iter().map(|machine| machine.workers.get(id).map(|worker| worker.phase)).collect()
}

fn deregister(id: &str) -> Call {
    Call::Deregister(id.to_owned())
}

/// A worker that beats where it is told to, until a beat fails there.
struct Beating {
    machine: usize,
    call_seq: u64,
}

impl Beating {
    fn heartbeat(&mut self, fleet: &mut Fleet, state: &str) -> u16 {
        let since = fleet.now;
        let mut status = 0;
        for _ in 0..4 {
            self.call_seq += 1;
            let answer = fleet.ask(self.machine, heartbeat("w1", "notary", state, self.call_seq), 1.0);
            status = answer.as_ref().map_or(0, |answer| answer.status);
            if status == 200 {
                let body = answer.map(|answer| answer.body).unwrap_or_default();
                self.follow(fleet, &String::from_utf8_lossy(&body));
                break;
            }
            self.machine = (self.machine + 1) % 4;
        }
        let left = (BEAT * SECOND as f64) as Time - (fleet.now - since);
        fleet.pass(left.max(0) as f64 / SECOND as f64);
        status
    }

    fn follow(&mut self, fleet: &Fleet, body: &str) {
        let named = (0..fleet.machines.len()).find(|at| body.contains(&format!("\"{}:", address(*at).ip())));
        self.machine = named.unwrap_or(self.machine);
    }
}

#[test]
fn given_a_machine_that_does_not_know_a_worker_when_it_deregisters_there_then_all_know_that_it_is_gone() {
    let mut fleet = settled(3, 3, 0, 1);
    let rest = fleet.others(4);
    fleet.partition(&[4], &rest);
    assert_eq!(fleet.ask(0, heartbeat("w1", "notary", "ready", 7), 1.0).map(|a| a.status), Some(200));
    fleet.pass(0.5);
    fleet.heal();
    assert_eq!(fleet.machines[4].workers.get("w1"), None, "it has not heard of it");
    assert_eq!(fleet.ask(4, deregister("w1"), 1.0).map(|a| a.status), Some(200));
    for at in rest {
        assert_eq!(fleet.machines[at].workers["w1"].phase, Phase::Gone, "machine {at}");
        assert_eq!(fleet.machines[at].workers["w1"].service, "notary", "machine {at}");
    }
}

#[test]
fn given_a_worker_that_deregistered_when_heartbeats_come_late_or_it_says_so_again_then_it_stays_gone() {
    let mut fleet = settled(3, 3, 0, 2);
    fleet.ask(0, heartbeat("w1", "notary", "ready", 7), 1.0);
    fleet.pass(0.5);
    assert_eq!(fleet.ask(1, deregister("w1"), 1.0).map(|a| a.status), Some(200));
    assert!(phases(&fleet, "w1").iter().all(|phase| *phase == Some(Phase::Gone)), "before the answer");
    for (at, seq) in [(2, 6), (3, 5), (4, 9), (0, 7)] {
        assert_eq!(fleet.ask(at, heartbeat("w1", "notary", "ready", seq), 1.0).map(|a| a.status), Some(200));
        fleet.pass(3.0);
        assert!(phases(&fleet, "w1").iter().all(|phase| *phase == Some(Phase::Gone)), "beat {seq}");
    }
    assert_eq!(fleet.ask(5, deregister("w1"), 1.0).map(|a| a.status), Some(200));
}

#[test]
fn given_a_machine_isolated_when_workers_call_it_then_they_are_redirected_and_their_state_is_kept() {
    let mut fleet = settled(3, 3, 0, 3);
    fleet.ask(0, heartbeat("w1", "notary", "ready", 1), 1.0);
    fleet.ask(0, heartbeat("w2", "notary", "ready", 1), 1.0);
    fleet.pass(1.0);
    let rest = fleet.others(2);
    fleet.partition(&[2], &rest);
    fleet.pass(2.0);
    for call in
        [heartbeat("w1", "notary", "draining", 2), deregister("w2"), heartbeat("w3", "notary", "ready", 1)]
    {
        let since = fleet.now;
        assert_eq!(fleet.ask(2, call, 1.0).map(|a| a.status), Some(503));
        assert!(fleet.now - since < 50 * MS);
    }
    fleet.heal();
    fleet.pass(3.0);
    assert!(phases(&fleet, "w1").iter().all(|phase| *phase == Some(Phase::Draining)));
    assert!(phases(&fleet, "w2").iter().all(|phase| *phase == Some(Phase::Gone)));
    assert!(phases(&fleet, "w3").iter().all(|phase| *phase == Some(Phase::Ready)));
}

#[test]
fn given_a_machine_that_nobody_hears_when_a_worker_says_that_it_leaves_then_it_is_redirected() {
    let mut fleet = settled(3, 3, 0, 4);
    fleet.ask(0, heartbeat("w1", "notary", "ready", 1), 1.0);
    fleet.ask(0, heartbeat("w2", "notary", "ready", 1), 1.0);
    fleet.pass(1.0);
    let rest = fleet.others(4);
    fleet.partition_one_way(&[4], &rest);
    fleet.pass(5.0);
    for call in [heartbeat("w1", "notary", "draining", 2), deregister("w2")] {
        let since = fleet.now;
        assert_eq!(fleet.ask(4, call.clone(), 1.0).map(|a| a.status), Some(503));
        assert!(fleet.now - since <= 300 * MS);
        assert_eq!(fleet.ask(4, call.clone(), 1.0).map(|a| a.status), Some(503), "said there again");
        assert_eq!(fleet.ask(5, call, 1.0).map(|a| a.status), Some(200));
    }
    for at in rest {
        assert_eq!(fleet.machines[at].workers["w1"].phase, Phase::Draining, "machine {at}");
        assert_eq!(fleet.machines[at].workers["w2"].phase, Phase::Gone, "machine {at}");
    }
}

#[test]
fn given_a_worker_that_sends_heartbeats_to_one_machine_when_that_is_isolated_then_no_other_calls_it_unresponsive()
 {
    for seed in 0..8 {
        let mut fleet = settled(3, 2, 0, 10 + seed);
        let mut worker = Beating { machine: 0, call_seq: 0 };
        (0..3).for_each(|_| {
            worker.heartbeat(&mut fleet, "ready");
        });
        let at = worker.machine;
        let rest = fleet.others(at);
        fleet.partition(&[at], &rest);
        let end = fleet.now + (CUT * SECOND as f64) as Time;
        while fleet.now < end {
            assert_eq!(worker.heartbeat(&mut fleet, "ready"), 200, "seed {seed}");
        }
        fleet.heal();
        (0..4).for_each(|_| {
            worker.heartbeat(&mut fleet, "ready");
        });
        for at in 0..fleet.machines.len() {
            let silent =
                fleet.machines[at].log.iter().filter(|line| line.contains("worker unresponsive: w1")).count();
            assert_eq!(silent, 0, "seed {seed}: machine {at}");
            assert_eq!(fleet.machines[at].workers["w1"].phase, Phase::Ready, "seed {seed}: machine {at}");
        }
    }
}

#[test]
fn given_a_worker_that_sends_heartbeats_to_one_machine_when_that_is_partitioned_from_the_core_only_then_none_calls_it_unresponsive()
 {
    for seed in 0..8 {
        let mut fleet = settled(3, 2, 0, 30 + seed);
        let mut worker = Beating { machine: 0, call_seq: 0 };
        (0..3).for_each(|_| {
            worker.heartbeat(&mut fleet, "ready");
        });
        let at = worker.machine;
        let core: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        fleet.partition(&[at], &core);
        let end = fleet.now + (CUT * SECOND as f64) as Time;
        while fleet.now < end {
            assert_eq!(worker.heartbeat(&mut fleet, "ready"), 200, "seed {seed}");
        }
        fleet.heal();
        fleet.pass(2.0);
        for machine in &fleet.machines {
            assert!(!machine.log.iter().any(|line| line.contains("worker unresponsive: w1")), "seed {seed}");
            assert_eq!(machine.workers["w1"].phase, Phase::Ready, "seed {seed}: {}", machine.name);
        }
    }
}
