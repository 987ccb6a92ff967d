//! Named stories of batch jobs that are submitted and ended more than once while machines are cut off.

use rainlug_coordinator::{Call, shard_of_job};

use crate::common::{Fleet, job, jobs_of, settled};

/// Core and plain machines come first.
const FIRST_STORE: usize = 4;
const CUT: f64 = 20.0;

fn submit(id: &str) -> Call {
    Call::Submit { job: id.to_owned(), route: "lots".to_owned(), body: job(id, 5) }
}

fn end(id: &str) -> Call {
    Call::End { job: id.to_owned() }
}

fn status(fleet: &mut Fleet, at: usize, call: Call) -> Option<u16> {
    fleet.ask(at, call, 4.0).map(|answer| answer.status)
}

/// Sends it to dispatcher after dispatcher until the answer is no 5xx.
fn until_clear(fleet: &mut Fleet, first: usize, call: &Call) -> u16 {
    for turn in 0..20 {
        let answered = status(fleet, (first + turn) % FIRST_STORE, call.clone());
        if let Some(clear) = answered.filter(|status| *status < 500) {
            return clear;
        }
        fleet.pass(0.1);
    }
    panic!("no clear answer");
}

fn leader(fleet: &Fleet) -> usize {
    fleet.leader(shard_of_job("job")).expect("a leader")
}

#[test]
fn given_a_batch_job_when_its_leader_is_isolated_before_the_answer_then_it_is_taken_once_and_acknowledged_again()
 {
    for seed in 0..10 {
        let mut fleet = settled(3, 1, 4, seed);
        let old = leader(&fleet);
        let first = fleet.call(0, submit("job"));
        fleet.pass(0.001 * seed as f64);
        fleet.isolate(old);
        assert_eq!(until_clear(&mut fleet, 1, &submit("job")), 202, "seed {seed}");
        fleet.pass(CUT);
        fleet.heal();
        fleet.pass(3.0);
        let refused = fleet.answers.get(&first).is_some_and(|(_, answer)| answer.status == 429);
        assert!(!refused, "seed {seed}");
        assert_eq!(status(&mut fleet, 2, submit("job")), Some(202), "seed {seed}: sent again");
        let answer =
            fleet.ask(3, Call::Read { job: "job".to_owned(), since: 0, wait: 0 }, 4.0).expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.contains("\"grand_total\":5") && text.contains("\"next_token\":5"), "{text}");
    }
}

#[test]
fn given_an_ended_batch_job_when_the_end_comes_again_anywhere_then_it_is_acknowledged_again() {
    for seed in 0..6 {
        let mut fleet = settled(3, 1, 4, 20 + seed);
        assert_eq!(status(&mut fleet, 0, submit("job")), Some(202));
        let old = leader(&fleet);
        fleet.call(1, end("job"));
        fleet.pass(0.002 * seed as f64);
        fleet.isolate(old);
        assert_eq!(until_clear(&mut fleet, 2, &end("job")), 200, "seed {seed}");
        fleet.pass(CUT);
        fleet.heal();
        fleet.pass(3.0);
        for at in 0..FIRST_STORE {
            assert_eq!(status(&mut fleet, at, end("job")), Some(200), "seed {seed}: at {at}");
        }
    }
}

#[test]
fn given_a_gateway_isolated_when_batch_jobs_come_to_it_then_nothing_is_refused_for_good() {
    let mut fleet = settled(3, 1, 4, 40);
    assert_eq!(status(&mut fleet, 0, submit("known")), Some(202));
    fleet.isolate(3);
    fleet.pass(2.0);
    let read = Call::Read { job: "known".to_owned(), since: 0, wait: 0 };
    for call in [submit("job"), submit("known"), end("known"), end("no-such"), read] {
        let since = fleet.now;
        let answered = status(&mut fleet, 3, call.clone()).expect("an answer");
        assert!(answered >= 500, "{answered} to {call:?}");
        assert!(fleet.now - since < rainlug::SECOND / 2, "soon");
    }
    fleet.heal();
    fleet.pass(3.0);
    assert_eq!(status(&mut fleet, 3, submit("known")), Some(202));
    assert_eq!(status(&mut fleet, 3, end("no-such")), Some(404));
}

#[test]
fn given_a_shards_leader_just_isolated_when_an_end_comes_to_a_gateway_of_its_side_then_it_is_not_refused() {
    for seed in 0..6 {
        let mut fleet = settled(3, 1, 4, 50 + seed);
        let old = leader(&fleet);
        let rest: Vec<usize> = (0..fleet.machines.len()).filter(|other| ![old, 3].contains(other)).collect();
        // Submitted on the other side, where another leader takes it.
        fleet.partition(&[old, 3], &rest);
        let late = fleet.call(3, end("job"));
        assert_eq!(until_clear(&mut fleet, 0, &submit("job")), 202);
        fleet.pass(3.0);
        let answer = fleet.answers.get(&late).map(|(_, answer)| answer.status);
        assert_eq!(answer, Some(503), "seed {seed}");
    }
}

/// The time after which no item of an ended job may reach a worker (`cancel_ms`).
const CANCEL: f64 = 3.0;
/// Three such jobs fill all places in which a leader runs items at once.
const ITEMS: usize = 190;

/// What befalls the store that leads a job's shard when the end of the job is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AtTheEnd {
    /// Nothing, and the job is not ended either.
    NoEnd,
    Nothing,
    Isolated,
    Frozen,
    HandsOver,
    Killed,
}

/// Items of a job that were begun, at any store and as often as they were.
fn begun(fleet: &Fleet, id: &str) -> usize {
    fleet.runs.iter().filter(|(_, job, _)| job == id).count()
}

/// A job whose items wait behind others is ended: how many of them were begun when the time to cancel was over, and at last.
fn begun_after_the_end(at_the_end: AtTheEnd, seed: u64) -> (usize, usize) {
    let mut fleet = settled(3, 1, 4, 70 + seed);
    fleet.run_time = 6 * rainlug::SECOND;
    let jobs = jobs_of(1, 4);
    for id in &jobs {
        let submission = Call::Submit { job: id.clone(), route: "lots".to_owned(), body: job(id, ITEMS) };
        assert_eq!(status(&mut fleet, 0, submission), Some(202));
    }
    let old = fleet.leader(1).expect("a leader");
    let ended = jobs.last().expect("one of four");
    match at_the_end {
        AtTheEnd::NoEnd | AtTheEnd::Nothing => {}
        AtTheEnd::Isolated => fleet.isolate(old),
        AtTheEnd::Frozen => fleet.freeze(old),
        AtTheEnd::HandsOver => fleet.transfer_leaderships(old),
        AtTheEnd::Killed => fleet.kill(old, false),
    }
    if at_the_end != AtTheEnd::NoEnd {
        assert_eq!(until_clear(&mut fleet, 1, &end(ended)), 200, "{at_the_end:?} seed {seed}");
    }
    fleet.pass(CANCEL);
    let in_time = begun(&fleet, ended);
    fleet.pass(CUT);
    fleet.heal();
    fleet.thaw(old);
    fleet.pass(CUT);
    (in_time, begun(&fleet, ended))
}

#[test]
fn given_a_job_whose_items_wait_when_it_is_ended_then_no_process_begins_one_after_the_time_to_cancel() {
    use AtTheEnd::{Frozen, HandsOver, Isolated, Killed, NoEnd, Nothing};
    for seed in 0..4 {
        for at_the_end in [Nothing, Isolated, Frozen, HandsOver, Killed] {
            let (in_time, at_last) = begun_after_the_end(at_the_end, seed);
            assert_eq!(in_time, at_last, "{at_the_end:?} seed {seed}");
        }
        let (in_time, at_last) = begun_after_the_end(NoEnd, seed);
        assert!(at_last > in_time, "seed {seed}: they would be begun later: {in_time} {at_last}");
    }
}
