//! Stories over an in-memory fleet: given, when, then.

mod common;

use bytes::Bytes;
use common::{Fleet, MS, configuration, heartbeat, jobs_of, settle, settled, submit};
use rainlug::SECOND;
use rainlug_coordinator::{BATCH_SHARDS, CONTROL, Call, shard_of_job, shard_of_route};
use rainlug_registry::Phase;

fn configure(base: u64, version: u64) -> Call {
    Call::Configure { base, text: configuration(version, "notary") }
}

/// Tokens that a ledger's part has counted, as one of its members knows.
fn counted(fleet: &Fleet, at: usize, shard: u16) -> f64 {
    let metrics = fleet.machines[at].coordinator.as_ref().map(|c| c.metrics()).unwrap_or_default();
    let name = format!("part_{shard}_tokens_counted");
    metrics.iter().find(|(found, _)| *found == name).map_or(0.0, |(_, value)| *value)
}

fn read(id: &str, since: u64) -> Call {
    Call::Read { job: id.to_owned(), since, wait: 0 }
}

#[test]
fn given_empty_disks_when_all_start_then_the_shards_are_founded_and_a_configuration_is_in_force_everywhere() {
    let fleet = settled(4, 6, 4, 1);
    for machine in &fleet.machines {
        assert_eq!(machine.in_force, [5], "{}", machine.name);
    }
    for shard in CONTROL..=BATCH_SHARDS {
        let leader = fleet.leader(shard).expect("a leader");
        let members = fleet.machines[leader].coordinator.as_ref().unwrap().shard_status(shard).members;
        let zones: std::collections::BTreeSet<&str> =
            members.iter().map(|m| m.address.to_string().leak() as &str).collect();
        assert_eq!((members.len(), zones.len()), (3, 3), "part {shard}");
    }
}

#[test]
fn given_a_configuration_when_it_is_changed_anywhere_then_all_act_on_it_before_the_answer() {
    let mut fleet = settled(4, 6, 4, 2);
    let answer = fleet.ask(9, configure(5, 7), 2.0).expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(fleet.machines.iter().all(|m| m.in_force == [5, 7]));
    let back = fleet.ask(8, Call::Configuration, 2.0).expect("an answer");
    assert_eq!(back.body, configuration(7, "notary"));
    // The very same again, also after newer ones.
    assert_eq!(fleet.ask(3, configure(5, 7), 2.0).map(|a| a.status), Some(200));
    assert_eq!(fleet.ask(3, configure(7, 9), 2.0).map(|a| a.status), Some(200));
    assert_eq!(fleet.ask(4, configure(5, 7), 2.0).map(|a| a.status), Some(200));
    assert!(fleet.machines.iter().all(|m| m.in_force == [5, 7, 9]));
}

#[test]
fn given_two_operators_when_they_build_on_one_version_then_one_wins_and_the_other_never_comes_into_force() {
    for seed in 0..20 {
        let mut fleet = settled(4, 2, 3, 100 + seed);
        let one = fleet.call(1, Call::Configure { base: 5, text: configuration(6, "notary") });
        let two = fleet.call(5, Call::Configure { base: 5, text: configuration(8, "notary") });
        fleet.pass(2.0);
        let statuses = [one, two].map(|t| fleet.answers[&t].1.status);
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 412], "seed {seed}");
        let won = if statuses[0] == 200 { 6 } else { 8 };
        assert!(fleet.machines.iter().all(|m| m.in_force == [5, won]));
    }
}

#[test]
fn given_an_invalid_configuration_when_it_is_sent_then_it_is_refused_with_its_places_and_nothing_changes() {
    let mut fleet = settled(3, 2, 3, 3);
    let bad = String::from_utf8_lossy(&configuration(9, "notary"))
        .replace("\"timeout_ms\":4000", "\"timeout_ms\":0");
    let answer = fleet.ask(2, Call::Configure { base: 5, text: Bytes::from(bad) }, 2.0).expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(String::from_utf8_lossy(&answer.body).contains("/routes/0/timeout_ms"));
    assert_eq!(fleet.ask(2, configure(5, 4), 2.0).map(|a| a.status), Some(400), "not above the one in force");
    assert_eq!(fleet.ask(2, configure(4, 9), 2.0).map(|a| a.status), Some(412));
    fleet.pass(1.0);
    assert!(fleet.machines.iter().all(|m| m.in_force == [5]));
}

#[test]
fn given_a_worker_when_its_heartbeat_says_draining_then_all_know_before_it_is_acknowledged() {
    let mut fleet = settled(4, 6, 3, 4);
    assert_eq!(fleet.ask(2, heartbeat("w1", "notary", "ready", 1), 2.0).map(|a| a.status), Some(200));
    fleet.pass(1.0);
    assert!(fleet.machines.iter().all(|m| m.workers["w1"].phase == Phase::Ready));
    let since = fleet.now;
    assert_eq!(fleet.ask(7, heartbeat("w1", "notary", "draining", 2), 2.0).map(|a| a.status), Some(200));
    assert!(fleet.now - since < 100 * MS);
    assert!(fleet.machines.iter().all(|m| m.workers["w1"].phase == Phase::Draining));
    // A late beat changes nothing.
    fleet.ask(1, heartbeat("w1", "notary", "ready", 1), 2.0);
    fleet.pass(1.0);
    assert!(fleet.machines.iter().all(|m| m.workers["w1"].phase == Phase::Draining));
    assert_eq!(fleet.ask(5, Call::Deregister("w1".to_owned()), 2.0).map(|a| a.status), Some(200));
    fleet.pass(1.0);
    assert!(fleet.machines.iter().all(|m| m.workers["w1"].phase == Phase::Gone));
}

#[test]
fn given_a_frozen_neighbour_when_a_worker_drains_then_the_others_know_and_the_answer_is_not_held_a_second() {
    let mut fleet = settled(4, 6, 3, 5);
    fleet.ask(2, heartbeat("w1", "notary", "ready", 1), 2.0);
    fleet.freeze(8);
    let since = fleet.now;
    assert_eq!(fleet.ask(7, heartbeat("w1", "notary", "draining", 2), 2.0).map(|a| a.status), Some(200));
    assert!(fleet.now - since < 500 * MS);
    let knows = |m: &common::Machine| m.frozen || m.workers["w1"].phase == Phase::Draining;
    assert!(fleet.machines.iter().all(knows));
    fleet.thaw(8);
    fleet.pass(1.5);
    assert_eq!(fleet.machines[8].workers["w1"].phase, Phase::Draining);
}

#[test]
fn given_a_worker_when_its_heartbeats_stop_then_it_is_called_unresponsive_and_its_next_heartbeat_brings_it_back()
 {
    let mut fleet = settled(3, 3, 3, 6);
    for seq in 1..5 {
        fleet.ask(2, heartbeat("w1", "notary", "ready", seq), 2.0);
        fleet.pass(1.1);
    }
    // Beats go to whom the answer names; here they all came to another one, who heard only some.
    fleet.pass(8.0);
    assert!(fleet.machines.iter().all(|m| m.workers["w1"].phase == Phase::Unresponsive));
    fleet.ask(4, heartbeat("w1", "notary", "ready", 9), 2.0);
    fleet.pass(1.0);
    assert!(fleet.machines.iter().all(|m| m.workers["w1"].phase == Phase::Ready));
}

#[test]
fn given_a_batch_job_when_it_is_accepted_then_it_runs_and_reads_the_same_everywhere() {
    let mut fleet = settled(4, 2, 4, 7);
    let answer = fleet.ask(5, submit("job", 40), 3.0).expect("an answer");
    assert_eq!(answer.status, 202);
    assert_eq!(fleet.ask(1, submit("job", 40), 3.0).map(|a| a.status), Some(202), "sent again");
    fleet.pass(8.0);
    let one = fleet.ask(0, read("job", 0), 3.0).expect("an answer");
    let two = fleet.ask(4, read("job", 0), 3.0).expect("an answer");
    assert_eq!(one.status, 200);
    assert_eq!(one.body, two.body);
    let text = String::from_utf8_lossy(&one.body).into_owned();
    assert!(text.contains("\"grand_total\":40") && text.contains("\"next_token\":40"), "{text}");
    assert!(text.contains("job-7 1\\njob-7 2\\njob-7 3"), "{text}");
    assert_eq!(fleet.runs.len(), 40, "each once");
    assert_eq!(fleet.ask(3, read("no-such", 0), 3.0).map(|a| a.status), Some(404));
}

#[test]
fn given_a_full_route_when_one_more_batch_job_comes_then_it_is_refused_with_the_time_to_come_back() {
    let mut fleet = settled(3, 1, 3, 8);
    fleet.run_time = 3600 * SECOND;
    for n in 0..5 {
        assert_eq!(fleet.ask(n % 4, submit(&format!("job{n}"), 200), 3.0).map(|a| a.status), Some(202));
    }
    let refused = fleet.ask(2, submit("one-more", 1), 3.0).expect("an answer");
    assert!(refused.status == 429 && refused.retry_after.is_some(), "{refused:?}");
    assert_eq!(fleet.ask(1, Call::End { job: "job3".to_owned() }, 3.0).map(|a| a.status), Some(200));
    // The part of the ended job tells the route's ledger.
    fleet.pass(0.5);
    assert_eq!(fleet.ask(2, submit("one-more", 200), 3.0).map(|a| a.status), Some(202));
    assert_eq!(fleet.ask(2, submit("two-more", 1), 3.0).map(|a| a.status), Some(429));
}

#[test]
fn given_an_acknowledged_change_when_its_leader_loses_power_at_once_then_the_next_one_has_it() {
    for seed in 0..10 {
        let mut fleet = settled(4, 2, 3, 200 + seed);
        assert_eq!(fleet.ask(4, configure(5, 7), 2.0).map(|a| a.status), Some(200));
        let leader = fleet.leader(CONTROL).expect("a leader");
        fleet.kill(leader, true);
        let asked = (leader + 1) % 4;
        fleet.pass(2.0);
        let back = fleet.ask(asked, Call::Configuration, 2.0).expect("an answer");
        assert_eq!(back.body, configuration(7, "notary"), "seed {seed}");
        fleet.start(leader, false);
        fleet.pass(3.0);
        assert_eq!(fleet.machines[leader].in_force.last(), Some(&7));
        assert_eq!(fleet.ask(leader, configure(7, 8), 2.0).map(|a| a.status), Some(200));
    }
}

#[test]
fn given_an_acknowledged_change_when_a_disk_is_lost_and_all_others_lose_power_then_it_is_read_back() {
    for (seed, wiped) in (0..12).map(|n| (300 + n, n as usize % 4)) {
        let mut fleet = settled(4, 2, 4, seed);
        assert_eq!(fleet.ask(5, submit("job", 3), 3.0).map(|a| a.status), Some(202));
        assert_eq!(fleet.ask(4, configure(5, 7), 2.0).map(|a| a.status), Some(200));
        let all = fleet.machines.len();
        (0..all).for_each(|at| fleet.kill(at, true));
        fleet.wipe(wiped);
        fleet.wipe(6 + wiped);
        fleet.pass(1.0);
        (0..all).for_each(|at| fleet.start(at, false));
        fleet.pass(5.0);
        let back = fleet.ask(wiped, Call::Configuration, 2.0).expect("an answer");
        assert_eq!(back.body, configuration(7, "notary"), "seed {seed}");
        assert!(fleet.machines.iter().all(|m| m.in_force.last() == Some(&7)), "seed {seed}");
        fleet.pass(4.0);
        let job = fleet.ask(2, read("job", 0), 3.0).expect("an answer");
        assert!(String::from_utf8_lossy(&job.body).contains("\"next_token\":3"), "seed {seed}: {job:?}");
    }
}

#[test]
fn given_a_core_machine_lost_for_good_when_an_empty_one_comes_elsewhere_then_it_becomes_a_member() {
    let mut fleet = settled(3, 2, 3, 9);
    fleet.kill(1, true);
    let new = fleet.add(true, true, 1);
    fleet.pass(2.0);
    fleet.start(new, false);
    fleet.pass(10.0);
    let leader = fleet.leader(CONTROL).expect("a leader");
    let members = fleet.machines[leader].coordinator.as_ref().unwrap().shard_status(CONTROL).members;
    let places: Vec<_> = members.iter().map(|m| m.address).collect();
    assert!(members.len() == 3 && places.contains(&common::address(new)), "{places:?}");
    // Now another one may be lost.
    fleet.kill(0, true);
    fleet.pass(2.0);
    assert_eq!(fleet.ask(new, configure(5, 7), 2.0).map(|a| a.status), Some(200));
}

#[test]
fn given_a_core_partitioned_in_two_when_the_leader_is_alone_then_the_rest_goes_on_and_it_follows_when_healed()
{
    for seed in 0..6 {
        let mut fleet = settled(4, 2, 3, 400 + seed);
        let leader = fleet.leader(CONTROL).expect("a leader");
        let rest: Vec<usize> = (0..fleet.machines.len()).filter(|at| *at != leader).collect();
        fleet.partition(&[leader], &rest);
        let lost = fleet.call(leader, configure(5, 6));
        fleet.pass(2.0);
        let other = rest[0];
        assert_eq!(fleet.ask(other, configure(5, 8), 2.0).map(|a| a.status), Some(200));
        assert!(fleet.answers.get(&lost).is_none_or(|(_, a)| a.status >= 500), "never acknowledged");
        fleet.heal();
        fleet.pass(4.0);
        assert_eq!(fleet.machines[leader].in_force, [5, 8]);
        let back = fleet.ask(leader, Call::Configuration, 2.0).expect("an answer");
        assert_eq!(back.body, configuration(8, "notary"));
    }
}

#[test]
fn given_batch_jobs_when_their_leader_freezes_then_another_goes_on_and_nothing_is_listed_twice() {
    let mut fleet = settled(3, 2, 4, 10);
    assert_eq!(fleet.ask(3, submit("job", 100), 3.0).map(|a| a.status), Some(202));
    fleet.pass(0.4);
    let shard = shard_of_job("job");
    let leader = fleet.leader(shard).expect("a leader");
    fleet.freeze(leader);
    fleet.pass(3.0);
    let before = fleet.ask(0, read("job", 0), 3.0).expect("an answer");
    fleet.thaw(leader);
    fleet.pass(6.0);
    let after = fleet.ask(1, read("job", 0), 3.0).expect("an answer");
    assert!(String::from_utf8_lossy(&after.body).contains("\"next_token\":100"));
    let text = String::from_utf8_lossy(&after.body).into_owned();
    for n in 0..100 {
        assert_eq!(text.matches(&format!("\"id\":\"job-{n}\"")).count(), 1);
    }
    // What was read before stands where it stood.
    let text_before = String::from_utf8_lossy(&before.body).into_owned();
    let outputs = |t: &str| {
        t.split_once("\"outputs\":[").map(|o| o.1.trim_end_matches("]}").to_owned()).unwrap_or_default()
    };
    assert!(outputs(&text).starts_with(&outputs(&text_before)));
}

#[test]
fn given_a_store_to_be_retired_when_it_is_complete_then_another_ones_disk_may_be_lost() {
    for seed in 0..6 {
        let mut fleet = settled(3, 2, 4, 500 + seed);
        assert_eq!(fleet.ask(3, submit("job", 20), 3.0).map(|a| a.status), Some(202));
        fleet.pass(4.0);
        let retired = 5 + seed as usize % 4;
        let name = fleet.machines[retired].name.clone();
        assert_eq!(fleet.ask(1, Call::Retire { store: name.clone() }, 2.0).map(|a| a.status), Some(200));
        assert_eq!(
            fleet.ask(1, Call::Retire { store: "no-such".to_owned() }, 2.0).map(|a| a.status),
            Some(404)
        );
        let mut complete = false;
        for _ in 0..40 {
            fleet.pass(0.25);
            let answer =
                fleet.ask(0, Call::RetirementStatus { store: name.clone() }, 2.0).expect("an answer");
            complete = answer.body == "{\"state\":\"complete\"}";
            if complete {
                break;
            }
        }
        assert!(complete, "seed {seed}");
        fleet.kill(retired, true);
        let other = 5 + (retired - 5 + 1 + seed as usize % 3) % 4;
        fleet.wipe(other);
        fleet.pass(1.0);
        fleet.start(other, false);
        fleet.pass(6.0);
        let job = fleet.ask(2, read("job", 0), 3.0).expect("an answer");
        assert!(String::from_utf8_lossy(&job.body).contains("\"next_token\":20"), "seed {seed}: {job:?}");
    }
}

#[test]
fn given_all_lose_power_when_they_are_back_then_changes_are_taken_again_within_seconds() {
    let mut fleet = settled(4, 6, 4, 11);
    let all = fleet.machines.len();
    (0..all).for_each(|at| fleet.kill(at, true));
    fleet.pass(1.0);
    (0..all).for_each(|at| fleet.start(at, false));
    let since = fleet.now;
    let back = fleet.until(10.0, |f| f.machines.iter().all(|m| m.in_force.last() == Some(&5)));
    assert!(back && fleet.now - since < 3 * SECOND, "after {} ms", (fleet.now - since) / MS);
    assert_eq!(fleet.ask(2, configure(5, 7), 2.0).map(|a| a.status), Some(200));
}

#[test]
fn given_many_versions_when_all_lose_power_then_only_the_newest_comes_into_force_anywhere() {
    for seed in 0..5 {
        let mut fleet = settled(4, 6, 4, 40 + seed);
        for (base, version) in [(5, 7), (7, 9), (9, 12)] {
            assert_eq!(fleet.ask(9, configure(base, version), 2.0).map(|a| a.status), Some(200));
        }
        let all = fleet.machines.len();
        (0..all).for_each(|at| fleet.kill(at, true));
        fleet.pass(1.0);
        (0..all).for_each(|at| fleet.start(at, false));
        assert!(fleet.until(10.0, |f| f.machines.iter().all(|m| m.in_force.last() == Some(&12))));
        for machine in &fleet.machines {
            assert_eq!(machine.in_force, [12], "seed {seed}: {}", machine.name);
        }
    }
}

#[test]
fn given_updates_of_a_new_shard_in_any_order_when_it_is_founded_then_each_member_knows_the_group_and_may_lead()
 {
    for seed in 0..40 {
        let mut fleet = settled(3, 2, 3, 700 + seed);
        fleet.pass(1.0);
        for shard in 1..=BATCH_SHARDS {
            for store in 5..8 {
                let members = fleet.machines[store].coordinator.as_ref().unwrap().shard_status(shard).members;
                assert_eq!(members.len(), 3, "seed {seed}: part {shard} at {store}");
            }
            let leader = fleet.leader(shard).expect("a leader");
            fleet.wipe(leader);
            assert!(fleet.until(3.0, |f| f.leader(shard).is_some()), "seed {seed}: part {shard}");
            fleet.start(leader, false);
            fleet.pass(6.0);
        }
    }
}

#[test]
fn given_a_store_that_hears_a_shards_leader_before_the_topology_then_it_begins_nothing_without_a_group() {
    let mut fleet = common::Fleet::new(3, 0, 1, 12);
    fleet.start(3, true);
    let head =
        rainlug_coordinator::frame::join(&rainlug_coordinator::frame::Head::Consensus { shard: 1 }, b"");
    let now = rainlug_coordinator::Now { steady: fleet.now, wall: fleet.now };
    let coordinator = fleet.machines[3].coordinator.as_mut().expect("it runs");
    coordinator.receive_frame(now, common::address(0), &head).expect("a frame");
    assert!(
        coordinator.metrics().iter().all(|(name, _)| !name.starts_with("part_1")),
        "a part without a group"
    );
}

#[test]
fn given_a_small_disk_when_batch_jobs_would_not_fit_then_they_are_refused_until_outputs_are_known_to_be_short()
 {
    let mut fleet = Fleet::new(4, 6, 4, 61);
    fleet.disk_bytes = 2 << 20;
    fleet.run_time = 2 * SECOND;
    settle(&mut fleet);
    let mut accepted = Vec::new();
    let refused = jobs_of(1, 20).into_iter().find_map(|id| {
        let answer = fleet.ask(5, submit(&id, 100), 2.0).expect("an answer");
        if answer.status == 202 {
            accepted.push(id);
            return None;
        }
        Some(answer)
    });
    let refused = refused.expect("20 jobs of 100 items do not fit as long as their outputs may be long");
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some_and(|pause| pause > 0));
    // 100 outputs of 4 KB and some each: four jobs on the disk, of which a quarter is kept for the part that may come from a lost store.
    assert_eq!(accepted.len(), 3);
    for id in &accepted {
        assert_eq!(fleet.ask(6, read(id, 0), 2.0).map(|a| a.status), Some(200), "{id}");
    }
    fleet.pass(20.0);
    assert_eq!(fleet.ask(5, submit("later", 100), 2.0).map(|a| a.status), Some(202));
}

#[test]
fn given_a_stalled_disk_when_a_batch_job_comes_then_it_is_refused_at_once_and_the_one_before_is_accepted_in_the_end()
 {
    let mut fleet = settled(4, 6, 4, 62);
    // Its tokens are reserved and it is on its way to its own leader's disk when that and all others stall.
    let quota_ledger = shard_of_route("lots");
    let counts = fleet.leader(quota_ledger).expect("a leader");
    let elsewhere = |shard: &u16| fleet.leader(*shard).is_some_and(|leader| leader != counts);
    let shard = (1..=BATCH_SHARDS).find(elsewhere).expect("another store leads a part");
    let [ref first, ref second] = jobs_of(shard, 2)[..] else { panic!("two names") };
    let ticket = fleet.call(5, submit(first, 3));
    assert!(fleet.until(1.0, |fleet| counted(fleet, counts, quota_ledger) == 300.0));
    fleet.sync = 2 * SECOND;
    fleet.pass(1.2);
    assert!(!fleet.answers.contains_key(&ticket), "nothing is acknowledged before it is saved");
    let refused = fleet.ask(6, submit(second, 3), 0.3).expect("an answer at once");
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some_and(|pause| pause > 0));
    fleet.sync = MS;
    assert!(fleet.until(10.0, |fleet| fleet.answers.contains_key(&ticket)));
    assert_eq!(fleet.answers[&ticket].1.status, 202);
    assert_eq!(fleet.ask(6, submit(second, 3), 2.0).map(|a| a.status), Some(202));
}

#[test]
fn given_a_batch_job_sent_again_before_it_is_agreed_on_then_its_bytes_are_logged_once_and_all_are_answered() {
    let mut fleet = settled(4, 6, 4, 63);
    let tickets: Vec<u64> = (4..8).map(|at| fleet.call(at, submit("twice", 50))).collect();
    fleet.pass(2.0);
    for ticket in tickets {
        assert_eq!(fleet.answers.get(&ticket).map(|a| a.1.status), Some(202));
    }
    let leader = fleet.leader(shard_of_job("twice")).expect("a leader");
    let disk = fleet.machines[leader].disk.as_ref().expect("a store has a disk");
    let log = &disk.synced[&shard_of_job("twice")];
    let bodies = log.iter().filter(|r| r.len() > 2000 && r.windows(8).any(|w| w == b"twice-49")).count();
    assert_eq!(bodies, 1);
}
