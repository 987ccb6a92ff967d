//! Stories of many reads at once at a part's leader.

mod common;

use common::{Fleet, job, jobs_of, settled};
use rainlug_coordinator::Call;

const SHARD: u16 = 1;
const ITEMS: usize = 20;
/// As many as may wait for one round at once.
const MOST_READS: usize = 16;

fn with_job(seed: u64) -> (Fleet, String) {
    let mut fleet = settled(3, 2, 3, seed);
    let id = jobs_of(SHARD, 1).remove(0);
    let submit = Call::Submit { job: id.clone(), route: "lots".to_owned(), body: job(&id, ITEMS) };
    assert_eq!(fleet.ask(3, submit, 3.5).map(|answer| answer.status), Some(202));
    fleet.pass(8.0);
    (fleet, id)
}

/// How many reads that come at once are answered, by status, within 0.3 s.
fn read_at_once(fleet: &mut Fleet, id: &str, since: u64, wait: i64, count: usize) -> (usize, usize) {
    let read = || Call::Read { job: id.to_owned(), since, wait };
    let tickets: Vec<u64> = (0..count).map(|_| fleet.call(3, read())).collect();
    fleet.pass(0.3);
    let answered = tickets.iter().filter_map(|ticket| fleet.answers.get(ticket));
    let statuses: Vec<u16> = answered.map(|(_, answer)| answer.status).collect();
    let of = |status: u16| statuses.iter().filter(|found| **found == status).count();
    (of(200), of(503))
}

#[test]
fn given_more_reads_at_once_than_one_step_may_answer_then_the_rest_is_refused_at_once() {
    let (mut fleet, id) = with_job(61);
    let (read, refused) = read_at_once(&mut fleet, &id, 0, 0, 100);
    assert!(read >= MOST_READS, "{read} read");
    assert!(refused > 0, "{read} read");
    assert_eq!(read + refused, 100);
    // A moment later there is room again.
    assert_eq!(read_at_once(&mut fleet, &id, 0, 0, MOST_READS), (MOST_READS, 0));
}

#[test]
fn given_many_reads_that_wait_for_an_output_then_they_keep_no_read_from_its_answer() {
    let (mut fleet, id) = with_job(62);
    for _ in 0..10 {
        assert_eq!(read_at_once(&mut fleet, &id, ITEMS as u64, 2_000_000, 10), (0, 0));
    }
    assert_eq!(read_at_once(&mut fleet, &id, 0, 0, 10), (10, 0));
}
