//! The checker fires on answers that break a rule, and on no others.

use std::time::Duration;

use rainlug_soak::checker::{Checker, Item, Output, Page, Terms};
use xxhash_rust::xxh3::xxh3_64;

const LOT: &str = "lot";

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A lot of two items, accepted at one second.
fn accepted() -> Checker {
    let mut checker = Checker::new(Terms { keep: at(100), retain: at(10) });
    let item = |id: &str| Item { id: id.into(), body: id.into(), text_hash: xxh3_64(b"rain falls") };
    checker.sent(at(0), LOT, vec![item("a"), item("b")]);
    checker.submitted(at(1), LOT, false, 202);
    checker
}

fn complete(id: &str) -> Output {
    Output { id: id.into(), state: "complete".into(), prompt: "rain falls".into() }
}

fn page(since: u64, outputs: Vec<Output>) -> Page {
    Page { grand_total: 2, next_token: since + outputs.len() as u64, outputs }
}

fn read(checker: &mut Checker, now: u64, since: usize, page: &Page) {
    let begun = checker.read_begins(LOT).unwrap();
    checker.read(at(now), LOT, since, &begun, page);
}

fn faults(checker: &Checker) -> Vec<String> {
    checker.violations().iter().map(|violation| violation.what.clone()).collect()
}

#[test]
fn sound_answers_break_no_rule() {
    let mut checker = accepted();
    checker.submitted(at(2), LOT, true, 202);
    checker.submitted(at(2), LOT, true, 503);
    read(&mut checker, 2, 0, &page(0, vec![complete("b")]));
    read(&mut checker, 3, 1, &page(1, vec![complete("a")]));
    read(&mut checker, 4, 0, &page(0, vec![complete("b"), complete("a")]));
    assert_eq!(faults(&checker), Vec::<String>::new());
    assert!(checker.unfinished(at(5)).is_empty());
}

#[test]
fn a_result_that_changes_goes_or_comes_twice_is_found() {
    let sound = page(0, vec![complete("b"), complete("a")]);
    let other_text = Output { prompt: "rain".into(), ..complete("b") };
    let broken = [
        page(0, vec![complete("b")]),
        page(0, vec![complete("a"), complete("b")]),
        page(0, vec![other_text, complete("a")]),
        Page { grand_total: 3, ..sound.clone() },
        Page { next_token: 3, ..sound.clone() },
    ];
    for page in broken {
        let mut checker = accepted();
        read(&mut checker, 2, 0, &sound);
        read(&mut checker, 3, 0, &page);
        assert!(!faults(&checker).is_empty(), "{page:?}");
    }
    let mut checker = accepted();
    read(&mut checker, 2, 0, &page(0, vec![complete("a"), complete("a")]));
    assert!(faults(&checker)[0].contains("at positions 0 and 1"));
}

#[test]
fn a_text_that_is_none_of_the_items_and_an_early_end_of_an_item_are_found() {
    let wrong = Output { prompt: "rain falls falls".into(), ..complete("a") };
    let abandoned = Output { id: "a".into(), state: "abandoned".into(), prompt: String::new() };
    for (now, output, is_sound) in [(5, wrong, false), (5, abandoned.clone(), false), (11, abandoned, true)] {
        let mut checker = accepted();
        read(&mut checker, now, 0, &page(0, vec![output.clone()]));
        assert_eq!(faults(&checker).is_empty(), is_sound, "{output:?}");
    }
}

#[test]
fn an_accepted_lot_that_is_not_found_or_turned_away_is_found() {
    let mut checker = accepted();
    let begun = checker.read_begins(LOT).unwrap();
    checker.read_refused(at(2), LOT, &begun, 503);
    checker.read_refused(at(100), LOT, &begun, 404);
    assert_eq!(faults(&checker), Vec::<String>::new(), "the time it is kept for is over");
    checker.read_refused(at(99), LOT, &begun, 404);
    checker.submitted(at(3), LOT, true, 429);
    checker.ended(at(4), LOT, 404);
    assert_eq!(faults(&checker).len(), 3);
}

#[test]
fn a_job_is_owed_from_its_submission_on_and_only_once_it_was_accepted() {
    let mut checker = accepted();
    checker.sent(at(0), "other", Vec::new());
    assert!(checker.is_owed(at(99), LOT));
    assert!(!checker.is_owed(at(100), LOT), "the time it is kept for begins when it is sent");
    assert!(!checker.is_owed(at(2), "other"));
}

#[test]
fn a_body_that_is_gone_before_its_result_is_there_is_found() {
    let mut checker = accepted();
    let begun = checker.body_begins(LOT, "a").unwrap();
    checker.body(at(2), LOT, "a", &begun, 200, b"a");
    assert_eq!(faults(&checker), Vec::<String>::new());
    checker.body(at(2), LOT, "a", &begun, 200, b"b");
    assert_eq!(faults(&checker).len(), 1, "other bytes");
    checker.body(at(3), LOT, "a", &begun, 404, b"");
    read(&mut checker, 4, 0, &page(0, vec![complete("b")]));
    assert_eq!(faults(&checker).len(), 2, "no body and no result");
}

#[test]
fn results_that_come_after_an_end_are_found() {
    let mut checker = accepted();
    checker.end_begins(LOT);
    checker.ended(at(2), LOT, 200);
    read(&mut checker, 3, 0, &page(0, vec![complete("b")]));
    assert_eq!(faults(&checker), Vec::<String>::new(), "it was listed before the end");
    read(&mut checker, 4, 0, &page(0, vec![complete("b"), complete("a")]));
    assert_eq!(faults(&checker).len(), 1);
}

#[test]
fn an_older_configuration_and_two_in_place_of_one_are_found() {
    let mut checker = accepted();
    checker.change_begins(2, "two");
    checker.changed(at(1), 1, 2);
    checker.changed(at(1), 1, 2);
    let newest = checker.newest();
    checker.configuration(at(2), "here", newest, 2, "two");
    checker.configuration(at(2), "here", newest, 3, "three");
    assert_eq!(faults(&checker), Vec::<String>::new());
    checker.configuration(at(3), "here", newest, 1, "one");
    checker.configuration(at(3), "here", newest, 2, "another");
    checker.changed(at(4), 1, 4);
    assert_eq!(faults(&checker).len(), 3);
}
