//! A seed passes only where all that had to be read was read, and no rule was broken.

use rainlug_soak::verdict::{Tally, Verdict};

#[test]
fn an_interrupted_seed_is_not_judged_but_what_it_broke_counts() {
    assert_eq!(Verdict::of(0, true), Verdict::Passed);
    assert_eq!(Verdict::of(0, false), Verdict::NotJudged);
    assert_eq!(Verdict::of(1, true), Verdict::Failed);
    assert_eq!(Verdict::of(1, false), Verdict::Failed);
}

#[test]
fn seeds_that_were_not_begun_are_not_judged() {
    let mut tally = Tally::default();
    tally.add(Verdict::Passed);
    assert!(tally.is_success());
    tally.add(Verdict::NotJudged);
    tally.complete_to(5);
    assert_eq!(tally, Tally { passed: 1, failed: 0, not_judged: 4 });
    assert!(!tally.is_success());
    assert_eq!(tally.to_string(), "1 seeds passed, 0 failed, 4 not judged");
}
