//! Runs of items that outlive the leadership under which they were begun: a text has each of its events once, from the first on.

mod common;

use common::{Fleet, MS, jobs_of, read, settled, stores, submit};
use rainlug::SECOND;
use rainlug_coordinator::BATCH_SHARDS;

const ITEMS: usize = 4;
/// Events of an item's whole output.
const EVENTS: usize = 3;

/// The outputs of a batch job: each item's id and its events.
fn outputs(fleet: &mut Fleet, job: &str) -> Vec<(String, Vec<String>)> {
    let Some(answer) = fleet.ask(0, read(job), 2.0).filter(|answer| answer.status == 200) else {
        return Vec::new();
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let quoted = |text: &str| text.split('"').next().unwrap_or_default().to_owned();
    let output = |part: &str| {
        let prompt = part.split("\"prompt\":\"").nth(1).map(quoted).unwrap_or_default();
        (quoted(part), prompt.split("\\n").map(str::to_owned).collect())
    };
    text.split("{\"id\":\"").skip(1).map(output).collect()
}

/// All stores but one stand still until it has lost its leaderships. How many shards it leads again after that.
fn lose_quorum(fleet: &mut Fleet, leader: usize) -> usize {
    let led: Vec<u16> = (1..=BATCH_SHARDS).filter(|shard| fleet.leader(*shard) == Some(leader)).collect();
    let others: Vec<usize> = stores(fleet).into_iter().filter(|at| *at != leader).collect();
    others.iter().for_each(|at| fleet.freeze(*at));
    fleet.pass(0.9);
    assert_eq!(fleet.led_shards(leader), 0, "it has stepped down");
    others.iter().for_each(|at| fleet.thaw(*at));
    assert!(fleet.until(5.0, |fleet| led.iter().all(|shard| fleet.leader(*shard).is_some())));
    led.iter().filter(|shard| fleet.leader(**shard) == Some(leader)).count()
}

/// Guards against review/3: a run that was to go on after event n ended under the next election of the same leader, which took its events
/// for the whole text.
#[test]
fn given_a_run_that_goes_on_after_an_event_when_its_leader_is_elected_anew_then_the_text_lacks_no_event() {
    let mut elected_again = 0;
    for seed in 0..8 {
        let mut fleet = settled(3, 2, 3, 2_600 + seed);
        fleet.interrupts_first_runs = true;
        fleet.run_time = 2_500 * MS;
        let jobs: Vec<String> = (1..=BATCH_SHARDS).map(|shard| jobs_of(shard, 1).remove(0)).collect();
        for job in &jobs {
            assert_eq!(
                fleet.ask(1, submit(job, ITEMS), 3.0).map(|answer| answer.status),
                Some(202),
                "seed {seed}"
            );
        }
        fleet.pass(0.2);
        // What is begun from now on lasts: the runs of the next election have given nothing yet when the earlier ones end.
        fleet.interrupts_first_runs = false;
        let leader = stores(&fleet)[seed as usize % 3];
        elected_again += lose_quorum(&mut fleet, leader);
        let end = fleet.now + 12 * SECOND;
        for job in &jobs {
            while outputs(&mut fleet, job).len() < ITEMS {
                assert!(fleet.now < end, "seed {seed}: {job} is not done");
                fleet.pass(0.2);
            }
            for (item, events) in outputs(&mut fleet, job) {
                let whole: Vec<String> = (1..=EVENTS).map(|nth| format!("{item} {nth}")).collect();
                assert_eq!(events, whole, "seed {seed}: {item}");
            }
        }
    }
    assert!(elected_again > 0, "no leader was elected anew");
}
