//! What the module does where a budget of the fleet's is used up: what waits for it holds up nobody else, what would wait in vain is
//! answered at once, and a cold worker gets from all together what it can take.

mod common;

use common::{Bench, MS, Sent, allowed, in_group, known, listed};
use rainlug::*;

#[test]
fn a_task_that_waits_for_a_budget_holds_up_no_other_and_goes_when_it_may() {
    let mut bench = Bench::with_workers(1, &["a", "b"]);
    bench.out.refuses[1] = Some(50 * MS);
    bench.task("ledger", 1);
    bench.task("free", 0);
    assert_eq!((bench.worker_of("ledger"), bench.worker_of("free").is_some()), (None, true));
    bench.out.refuses[1] = None;
    bench.pass(60 * MS);
    assert!(bench.worker_of("ledger").is_some(), "woken when it was worth asking again");
}

/// One that was held for want of a worker would keep its place at the head of the queue, and the queue with it.
#[test]
fn one_that_was_held_leaves_the_queue_when_its_budget_is_used_up() {
    let mut bench = Bench::with_workers(1, &["a", "b", "c", "d"]);
    bench.tasks("first", 4, 0);
    bench.task("ledger", 1);
    bench.task("free", 0);
    assert_eq!((bench.worker_of("ledger"), bench.worker_of("free")), (None, None));
    bench.out.refuses[1] = Some(100 * MS);
    bench.start_job("first0", 0);
    assert_eq!((bench.worker_of("ledger"), bench.worker_of("free").is_some()), (None, true));
}

#[test]
fn who_would_wait_in_vain_is_answered_at_once_and_told_when_to_come_back() {
    let rules = Allowed { pause: SECOND, ..allowed() };
    let mut bench = Bench::start_as(common::place(1), rules, known());
    bench.ready(&["a", "b", "c"]);
    bench.out.refuses[1] = Some(3 * SECOND);
    bench.task("ledger", 1);
    assert_eq!(bench.out.sent, [(bench.out.now, Sent::Bounce("ledger".into()))]);
    assert!(bench.out.pauses[0] > 0);
    // What goes again, and was turned away, never ran.
    bench.out.refuses = [None, None, None, Some(3 * SECOND)];
    bench.task("again", 1);
    bench.end("again", 0, Outcome::Full);
    assert_eq!(bench.out.sent.last().unwrap().1, Sent::Bounce("again".into()));
    // What may have run and must not twice is not bounced.
    bench.task("ran", 1);
    bench.end("ran", 0, Outcome::Reset);
    assert_eq!(bench.out.sent.last().unwrap().1, Sent::Abandon("ran".into()));
}

/// Ten are configured, three live and each has a third by the account: the worker got three tenths of what it can take.
#[test]
fn a_cold_worker_gets_its_whole_room_from_those_that_live_and_no_more() {
    let sent = |room: Option<f64>| {
        let (mut times, born) = (Vec::new(), 5 * SECOND);
        for index in 0..3 {
            let mut bench = in_group(index, 10, allowed(), known());
            bench.out.room = room;
            bench.list(&common::fleet(2, None));
            let busy = Report { utilisation: Some(0.5), rate: Some(5.0), ..Report::default() };
            for _ in 0..20 {
                (0..2).for_each(|i| bench.report(&format!("w{i}"), busy));
                bench.pass(born / 20);
            }
            bench.list(&[listed("cold", 0, State::Ready, Some(born))]);
            for i in 0..300 {
                (0..2).for_each(|i| bench.report(&format!("w{i}"), busy));
                let id = format!("t{i}");
                bench.task(&id, i % 2);
                bench.run(&id, 0);
                bench.pass(30 * MS);
            }
            let cold = |s: &Sent| matches!(s, Sent::Assign(_, w) if w == "cold");
            times.extend(bench.out.sent.iter().filter(|(_, s)| cold(s)).map(|(at, _)| at - born));
        }
        times
    };
    let (counted, told) = (sent(None), sent(Some(1.0 / 3.0)));
    assert!(told.len() as f64 > 1.5 * counted.len() as f64, "{} of {}", told.len(), counted.len());
    for from in (0..7 * SECOND).step_by(250_000) {
        let sent = told.iter().filter(|t| (from..from + 2 * SECOND).contains(*t)).count();
        assert!(sent as f64 <= 60.0 * (0.25 + 0.075 * from as f64 / 1e6), "{sent} from {from}");
    }
    assert!(sent(Some(0.0)).len() < counted.len(), "who has no part sends nothing while it is cold");
}
