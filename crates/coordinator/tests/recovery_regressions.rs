//! Faults that the cold review of the mend of LOST on long days has shown, each with its story.

mod common;

use common::{Fleet, MS, figure, jobs_of, read, settle, settled, stores, submit};
use rainlug::SECOND;
use rainlug_coordinator::{BATCH_SHARDS, Call, shard_of_job, shard_of_route};

/// The code of a snapshot's piece among records.
const CHUNK: u8 = 6;

#[test]
fn given_a_snapshot_that_cannot_be_restored_when_its_store_is_up_then_it_does_not_serve_with_another_state() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(3, 1, 3, 7_000 + seed);
        fleet.output_padding = 4_000;
        fleet.has_damaged_disks = true;
        settle(&mut fleet);
        let names = jobs_of(1, 12);
        for name in &names {
            assert_eq!(fleet.ask(3, submit(name, 20), 3.5).map(|a| a.status), Some(202));
            fleet.pass(1.0);
        }
        fleet.pass(5.0);
        let leader = fleet.leader(1).expect("a leader");
        let odd = stores(&fleet).into_iter().find(|at| *at != leader).expect("a follower");
        fleet.wipe(odd);
        fleet.start(odd, false);
        fleet.pass(15.0);
        fleet.kill(odd, false);
        let disk = fleet.machines[odd].disk.as_mut().expect("a disk");
        let records = disk.synced.get_mut(&1).expect("records");
        let chunks = records.iter_mut().filter(|record| record[0] == CHUNK);
        let mut damaged = 0;
        for record in chunks.skip(2).take(1) {
            let mut bytes = record.to_vec();
            bytes[5..9].copy_from_slice(&[0xff; 4]);
            *record = bytes.into();
            damaged += 1;
        }
        assert_eq!(damaged, 1, "seed {seed}: a snapshot is on the disk");
        fleet.start(odd, false);
        fleet.pass(2.0);
        let leader = fleet.leader(1).expect("a leader");
        if leader != odd {
            fleet.kill(leader, true);
        }
        fleet.pass(3.0);
        // It may lead once it has been filled again; whoever leads has all that was accepted.
        for name in &names {
            let answer = (0..20).find_map(|_| {
                fleet.pass(0.2);
                fleet.ask(3, read(name), 3.5).filter(|answer| answer.status != 503)
            });
            assert_eq!(answer.map(|a| a.status), Some(200), "seed {seed}: {name}");
        }
    }
}

#[test]
fn given_a_store_that_has_lost_its_memberships_when_it_leads_another_shard_then_it_takes_jobs() {
    let mut starved = Vec::new();
    for seed in 0..4 {
        let mut fleet = Fleet::new(3, 1, 9, 7_100 + seed);
        fleet.output_padding = 2_000;
        fleet.run_time = 500 * MS;
        fleet.status_time = 5 * SECOND;
        // A refill of 2 MB in time.
        fleet.link_bytes_per_second = 2_000_000 * 4 / 3 * 2 / 7;
        settle(&mut fleet);
        for nth in 0..400 {
            fleet.ask(3, submit(&format!("job-{nth}"), 10), 0.6).expect("an answer");
            fleet.pass(0.02);
        }
        let of = |fleet: &Fleet, at: usize| {
            (1..=BATCH_SHARDS).filter_map(|p| figure(fleet, at, &format!("part_{p}_bytes"))).sum::<f64>()
        };
        let all = stores(&fleet);
        let odd = *all.iter().max_by(|x, y| of(&fleet, **x).total_cmp(&of(&fleet, **y))).expect("a store");
        let others: Vec<usize> = (0..fleet.machines.len()).filter(|at| *at != odd).collect();
        let Some(shard) =
            (1..=BATCH_SHARDS).find(|shard| !fleet.members_of(*shard).unwrap_or_default().contains(&odd))
        else {
            continue;
        };
        fleet.partition(&[odd], &others);
        fleet.pass(8.0);
        fleet.heal();
        // All outputs may go after 25 s.
        fleet.pass(60.0);
        // Members of a part that it was never in go for good, until it has a seat there.
        for _ in 0..4 {
            let members = fleet.members_of(shard).unwrap_or_default();
            if members.contains(&odd) {
                break;
            }
            if let Some(gone) = members.iter().find(|at| fleet.leader(shard) != Some(**at)) {
                fleet.kill(*gone, true);
            }
            fleet.pass(10.0);
        }
        for _ in 0..40 {
            match fleet.leader(shard) {
                Some(leader) if leader != odd => {
                    fleet.freeze(leader);
                    fleet.pass(1.0);
                    fleet.thaw(leader);
                }
                Some(_) => break,
                None => {}
            }
            fleet.pass(0.5);
        }
        if fleet.leader(shard) != Some(odd) {
            continue;
        }
        let name = jobs_of(shard, 500).pop().expect("a name");
        assert_eq!(shard_of_job(&name), shard);
        let taken = (0..60).find(|_| {
            fleet.pass(1.0);
            fleet.ask(3, submit(&name, 10), 0.6).is_some_and(|answer| answer.status == 202)
        });
        if taken.is_none() && fleet.leader(shard) == Some(odd) {
            starved.push(seed);
        }
    }
    assert_eq!(starved, [], "refused for a minute though nothing is kept that counts");
}

fn big(id: &str, tokens: u64) -> Call {
    let body = format!(
        r#"{{"requests":[{{"id":"{id}-0","path":"/l/0","headers":{{"X-Rainlug-Model":"m"}},"body":"q83vEjRWeJA=","token_count":{tokens}}}]}}"#
    );
    Call::Submit { job: id.to_owned(), route: "lots".to_owned(), body: body.into() }
}

/// After how many seconds a job that fits is taken.
fn taken_after(fleet: &mut Fleet, id: &str, tokens: u64) -> (f64, Vec<u16>) {
    let begun = fleet.now;
    let mut statuses = Vec::new();
    for _ in 0..200 {
        let status = fleet.ask(1, big(id, tokens), 4.0).map_or(0, |answer| answer.status);
        if status == 202 {
            break;
        }
        if statuses.last() != Some(&status) {
            statuses.push(status);
        }
        fleet.pass(0.25);
    }
    ((fleet.now - begun) as f64 / SECOND as f64, statuses)
}

#[test]
fn given_a_slow_spell_when_it_is_over_then_a_job_that_fits_is_taken_soon() {
    let mut waits = Vec::new();
    for seed in 0..4 {
        let mut fleet = settled(3, 1, 5, 7_300 + seed);
        fleet.run_time = 50 * MS;
        fleet.sync = 900 * MS;
        let mut statuses = Vec::new();
        for nth in 0..6 {
            statuses.push(fleet.ask(0, big(&format!("slow-{nth}"), 24_000), 4.0).map_or(0, |a| a.status));
        }
        fleet.sync = 2 * MS;
        fleet.pass(3.0);
        let (wait, refusals) = taken_after(&mut fleet, "fits", 60_000);
        println!("seed {seed}: {statuses:?}; taken after {wait} s, {refusals:?}");
        waits.push(wait);
    }
    assert!(waits.iter().all(|wait| *wait < 5.0), "{waits:?}");
}

#[test]
fn given_jobs_that_have_finished_when_their_leader_is_killed_then_a_job_that_fits_is_taken_soon() {
    let mut waits = Vec::new();
    for seed in 0..4 {
        let mut fleet = settled(3, 1, 5, 7_400 + seed);
        fleet.run_time = 5 * MS;
        let shard = (1..=BATCH_SHARDS)
            .find(|p| {
                *p != shard_of_route("lots") && fleet.leader(*p) != fleet.leader(shard_of_route("lots"))
            })
            .expect("a part");
        let names = jobs_of(shard, 4);
        assert_eq!(fleet.ask(0, big(&names[0], 1_000), 4.0).map(|a| a.status), Some(202));
        fleet.pass(0.03);
        let status = fleet.ask(0, big(&names[1], 80_000), 4.0).map(|a| a.status);
        fleet.pass(0.05);
        let read = fleet.ask(0, read(&names[1]), 1.0).expect("an answer");
        let is_done = String::from_utf8_lossy(&read.body).contains("complete");
        let leader = fleet.leader(shard).expect("a leader");
        fleet.kill(leader, true);
        fleet.pass(3.0);
        let (wait, refusals) = taken_after(&mut fleet, "fits", 60_000);
        println!("seed {seed}: {status:?}, done {is_done}; taken after {wait} s, {refusals:?}");
        waits.push(wait);
    }
    assert!(waits.iter().all(|wait| *wait < 5.0), "{waits:?}");
}
