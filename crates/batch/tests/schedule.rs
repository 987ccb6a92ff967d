//! Which item runs next, and what is proposed when its run ends.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use common::{DUE, RETAIN, abandon, end, item, list, read, submit, submit_within};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_batch::{Applied, Command, ItemRun, JobTable, MAX_PROPOSALS, RunOutcome, Schedule};

/// A part's owner: each command is applied, and the schedule told of it.
struct Owner {
    table: JobTable,
    schedule: Schedule,
    now: Time,
}

impl Owner {
    fn of(commands: &[Command]) -> Self {
        let table = JobTable::default();
        let schedule = Schedule::new(&table);
        let mut owner = Owner { table, schedule, now: 2 * SECOND };
        for command in commands {
            owner.apply(command);
        }
        owner
    }

    fn apply(&mut self, command: &Command) -> Applied {
        let applied = self.table.apply(command);
        self.schedule.handle_applied(&self.table, command, applied);
        applied
    }

    fn next(&mut self) -> Option<ItemRun> {
        self.schedule.start_next(&self.table, self.now)
    }

    /// The next ones as `lot/item`.
    fn take(&mut self, count: usize) -> Vec<String> {
        (0..count).map_while(|_| self.next()).map(|next| format!("{}/{}", next.job, next.item.id)).collect()
    }

    fn ended(&mut self, job: &str, item: &str, events: &[(u64, &str)], end: RunOutcome) -> Option<Command> {
        let events = events.iter().map(|(id, data)| (*id, Bytes::copy_from_slice(data.as_bytes()))).collect();
        self.schedule.finish_run(&self.table, self.now, job, item, events, end)
    }

    fn refused(&mut self, command: &Command) {
        self.schedule.requeue_refused(&self.table, command.clone());
    }

    fn overdue(&mut self) -> Vec<Command> {
        self.schedule.take_proposals(&self.table, self.now)
    }

    fn counts(&self) -> (usize, usize) {
        (self.schedule.running_count(), self.schedule.ready_count())
    }
}

#[test]
fn what_is_due_first_runs_first() {
    let items = |ids: &[&str]| ids.iter().map(|id| item(id, 1)).collect::<Vec<_>>();
    let mut owner = Owner::of(&[
        submit_within("z", 0, DUE, items(&["2", "1"])),
        submit_within("b", 0, DUE, items(&["3"])),
        submit_within("c", 0, DUE - 1, items(&["4"])),
    ]);
    assert_eq!(owner.counts(), (0, 4));
    assert_eq!(owner.take(9), ["c/4", "z/2", "z/1", "b/3"]);
    assert_eq!(owner.counts(), (4, 0));
}

#[test]
fn a_next_one_tells_all_that_a_run_needs() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    let next = owner.next().unwrap();
    assert_eq!((&*next.job, &*next.route, &*next.host), ("l", common::ROUTE, "bulk.example"));
    assert_eq!((next.last_event, next.deadline, next.retain_until), (0, DUE, RETAIN));
    assert_eq!(next.item, item("a", 10));
}

#[test]
fn a_whole_run_is_listed_with_all_its_data() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    let command = owner.ended("l", "a", &[(1, "one"), (2, ""), (3, "three")], RunOutcome::Complete).unwrap();
    assert_eq!(command, list("l", "a", "one\n\nthree"));
    assert!(owner.next().is_none(), "it is proposed already");
    assert_eq!(owner.apply(&command), Applied::ItemFinished { position: 0 });
    assert_eq!(owner.counts(), (0, 0));
    owner.now += 100 * SECOND;
    assert!(owner.overdue().is_empty());
}

#[test]
fn a_long_text_is_proposed_compressed() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    let lines: Vec<(u64, String)> = (1..=50).map(|id| (id, format!("line {id} of some letters"))).collect();
    let events: Vec<(u64, &str)> = lines.iter().map(|(id, line)| (*id, &**line)).collect();
    let command = owner.ended("l", "a", &events, RunOutcome::Complete).unwrap();
    let text = lines.iter().map(|(_, line)| &**line).collect::<Vec<_>>().join("\n");
    let Command::FinishItem { text: stored, .. } = &command else { panic!("{command:?}") };
    assert!(stored.stored().len() < text.len() / 2);
    assert!(command.encode().len() < text.len());
    owner.apply(&command);
    assert_eq!(owner.table.totals().output_bytes, stored.stored().len() as u64);
    assert_eq!(read(&owner.table, "l", 0).unwrap().outputs[0].prompt, text);
}

#[test]
fn a_run_broken_off_goes_on_after_its_last_event() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    assert_eq!(owner.ended("l", "a", &[(1, "one"), (2, "two")], RunOutcome::Interrupted), None);
    assert_eq!(owner.next().unwrap().last_event, 2);
    assert_eq!(owner.ended("l", "a", &[], RunOutcome::NoCapacity), None);
    assert_eq!(owner.next().unwrap().last_event, 2);
    // What comes again, or goes back, is not taken twice.
    let events = [(1, "one"), (2, "two"), (3, "three"), (3, "three"), (2, "two"), (4, "four")];
    let command = owner.ended("l", "a", &events, RunOutcome::Complete);
    assert_eq!(command, Some(list("l", "a", "one\ntwo\nthree\nfour")));
}

#[test]
fn an_item_is_abandoned_after_its_last_try() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    for end in [RunOutcome::Failed, RunOutcome::Interrupted, RunOutcome::Failed, RunOutcome::NoCapacity] {
        owner.next().unwrap();
        assert_eq!(owner.ended("l", "a", &[(1, "one")], end), None);
    }
    owner.next().unwrap();
    assert_eq!(owner.ended("l", "a", &[], RunOutcome::Failed), Some(abandon("l", "a")));
    assert!(owner.next().is_none());
}

#[test]
fn an_item_that_can_never_be_done_is_abandoned_at_once() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    assert_eq!(owner.ended("l", "a", &[], RunOutcome::Unprocessable), Some(abandon("l", "a")));
}

#[test]
fn a_refused_proposal_is_made_again_until_it_is_taken() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    let command = owner.ended("l", "a", &[(1, "one")], RunOutcome::Complete).unwrap();
    for _ in 0..2 {
        owner.refused(&command);
        assert_eq!(owner.overdue(), std::slice::from_ref(&command));
        assert!(owner.overdue().is_empty());
    }
    owner.refused(&command);
    owner.apply(&command);
    assert!(owner.overdue().is_empty(), "what is listed meanwhile is not proposed again");
    owner.refused(&command);
    assert!(owner.overdue().is_empty());
}

/// A leader's log loses nothing in its term: that its entries wait for a quorum's disks is no reason to send them again.
#[test]
fn a_proposal_that_is_not_agreed_on_is_made_once_by_one_leader() {
    const OUTPUTS: usize = 900;
    let items = (0..OUTPUTS).map(|number| item(&number.to_string(), 1)).collect();
    let mut owner = Owner::of(&[submit_within("l", 0, DUE, items)]);
    let mut proposed = Vec::new();
    for _ in 0..60 {
        for _ in 0..OUTPUTS / 60 {
            let next = owner.next().unwrap();
            proposed.extend(owner.ended("l", &next.item.id, &[(1, "one")], RunOutcome::Complete));
        }
        owner.now += SECOND;
        assert!(owner.overdue().is_empty());
    }
    assert_eq!((proposed.len(), owner.counts()), (OUTPUTS, (0, 0)));
    owner.now = RETAIN + 60 * SECOND;
    assert!(owner.overdue().is_empty());
    // The next leader may lack them: it plans them anew.
    owner.schedule = Schedule::new(&owner.table);
    assert_eq!(owner.counts(), (0, OUTPUTS));
}

#[test]
fn items_whose_time_is_over_are_abandoned_once_each_and_not_all_in_one_step() {
    const { assert!(MAX_PROPOSALS <= 256) };
    const JOBS: usize = 8;
    const ITEMS: usize = 100;
    let submits: Vec<Command> = (0..JOBS)
        .map(|job| {
            let items = (0..ITEMS).map(|number| item(&number.to_string(), 1)).collect();
            submit_within(&format!("lot {job}"), 0, DUE, items)
        })
        .collect();
    let mut owner = Owner::of(&submits);
    owner.now = RETAIN;
    let mut abandoned = Vec::new();
    while abandoned.len() < JOBS * ITEMS {
        let commands = owner.overdue();
        assert_eq!(commands.len(), MAX_PROPOSALS.min(JOBS * ITEMS - abandoned.len()));
        abandoned.extend(commands);
        owner.now += SECOND;
    }
    assert!(owner.overdue().is_empty());
    let distinct: BTreeSet<Vec<u8>> = abandoned.iter().map(|command| command.encode().to_vec()).collect();
    assert_eq!(distinct.len(), JOBS * ITEMS);
    for command in &abandoned {
        assert!(matches!(owner.apply(command), Applied::ItemFinished { .. }));
    }
    assert_eq!(owner.counts(), (0, 0));
}

#[test]
fn no_step_gives_more_refused_commands_than_it_may() {
    const OUTPUTS: usize = MAX_PROPOSALS + 1;
    let items = (0..OUTPUTS).map(|number| item(&number.to_string(), 1)).collect();
    let mut owner = Owner::of(&[submit_within("l", 0, DUE, items)]);
    while let Some(next) = owner.next() {
        let command = owner.ended("l", &next.item.id, &[], RunOutcome::Complete).unwrap();
        owner.refused(&command);
    }
    assert_eq!((owner.overdue().len(), owner.overdue().len(), owner.overdue().len()), (MAX_PROPOSALS, 1, 0));
}

/// However many are passed over: those that can still run are found within a few calls.
#[test]
fn items_whose_time_is_over_do_not_hide_those_that_can_run() {
    const OVER: usize = 5000;
    let items = (0..OVER).map(|number| item(&number.to_string(), 1)).collect();
    let mut later = submit_within("later", 0, DUE + SECOND, vec![item("a", 1)]);
    if let Command::Submit { retain_until, .. } = &mut later {
        *retain_until = RETAIN + 10 * SECOND;
    }
    let mut owner = Owner::of(&[submit_within("over", 0, DUE, items), later]);
    owner.now = RETAIN;
    let found = (0..10).find_map(|_| owner.next()).unwrap();
    assert_eq!((&*found.job, &*found.item.id), ("later", "a"));
    assert_eq!(owner.counts(), (1, 0));
}

#[test]
fn what_is_not_listed_when_its_time_is_over_is_abandoned() {
    let mut owner = Owner::of(&[submit("l", &["a", "b", "c"])]);
    owner.apply(&list("l", "a", ""));
    owner.next().unwrap();
    owner.now = RETAIN - 1;
    assert!(owner.overdue().is_empty());
    owner.now = RETAIN;
    assert!(owner.next().is_none(), "nothing runs once its time is over");
    assert_eq!(owner.overdue(), [abandon("l", "b"), abandon("l", "c")]);
    assert!(owner.overdue().is_empty());
    assert_eq!(owner.counts(), (1, 0));
    // The one that still runs does not run again, but may be listed as what it is.
    assert_eq!(owner.ended("l", "b", &[], RunOutcome::Interrupted), None);
    assert_eq!(owner.counts(), (0, 0));
    owner.now += SECOND;
    assert!(owner.overdue().is_empty(), "each is proposed once");
    owner.refused(&abandon("l", "c"));
    owner.refused(&abandon("l", "b"));
    assert_eq!(owner.overdue(), [abandon("l", "b"), abandon("l", "c")]);
    owner.apply(&abandon("l", "b"));
    owner.apply(&abandon("l", "c"));
    owner.now += SECOND;
    assert!(owner.overdue().is_empty());
}

#[test]
fn a_run_that_is_whole_after_its_time_is_proposed_as_whole() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    owner.now = RETAIN;
    assert_eq!(owner.overdue(), [abandon("l", "a")]);
    owner.refused(&abandon("l", "a"));
    let whole = owner.ended("l", "a", &[(1, "one")], RunOutcome::Complete);
    assert_eq!(whole, Some(list("l", "a", "one")));
    assert!(owner.overdue().is_empty(), "the refused one is not proposed behind it");
    owner.refused(&list("l", "a", "one"));
    assert_eq!(owner.overdue(), [list("l", "a", "one")]);
}

#[test]
fn nothing_runs_of_what_is_ended_or_listed() {
    let mut owner = Owner::of(&[submit("l", &["a", "b", "c"]), submit("m", &["d", "e"])]);
    assert_eq!(owner.take(1), ["l/a"]);
    owner.apply(&end("l"));
    assert_eq!(owner.counts(), (1, 2));
    assert_eq!(owner.ended("l", "a", &[(1, "one")], RunOutcome::Complete), None);
    assert_eq!(owner.counts(), (0, 2));
    owner.apply(&list("m", "d", ""));
    assert_eq!(owner.take(9), ["m/e"]);
    owner.apply(&list("m", "e", ""));
    assert_eq!(owner.ended("m", "e", &[], RunOutcome::Failed), None);
    assert_eq!(owner.counts(), (0, 0));
}

#[test]
fn a_run_that_was_not_given_out_is_nothing() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    assert_eq!(owner.ended("l", "a", &[(1, "one")], RunOutcome::Complete), None);
    assert_eq!(owner.ended("m", "x", &[], RunOutcome::Unprocessable), None);
    assert_eq!(owner.counts(), (0, 1));
}

#[test]
fn a_batch_job_accepted_twice_is_planned_once() {
    let mut owner = Owner::of(&[submit("l", &["a"])]);
    owner.next().unwrap();
    assert_eq!(owner.apply(&submit("l", &["a"])), Applied::AlreadyAccepted);
    assert_eq!(owner.counts(), (1, 0));
    assert!(owner.next().is_none());
}

#[test]
fn a_new_owner_plans_what_is_left() {
    let mut owner = Owner::of(&[submit("l", &["a", "b"]), submit("m", &["c"]), submit("n", &["d"])]);
    owner.next().unwrap();
    owner.ended("l", "a", &[(1, "one")], RunOutcome::Interrupted);
    owner.apply(&list("l", "b", ""));
    owner.apply(&end("m"));
    owner.schedule = Schedule::new(&owner.table);
    assert_eq!(owner.counts(), (0, 2));
    let next = owner.next().unwrap();
    assert_eq!((&*next.item.id, next.last_event), ("a", 0), "events had are its former owner's alone");
    assert_eq!(owner.take(9), ["n/d"]);
}

/// What is listed or ended before it is planned is not planned.
#[test]
fn a_large_plan_is_made_over_several_steps_in_the_order_of_running() {
    const JOBS: usize = 30;
    const ITEMS: usize = 200;
    let job = |number: usize| format!("lot {number}");
    let submits: Vec<Command> = (0..JOBS)
        .map(|number| {
            let items = (0..ITEMS).map(|place| item(&place.to_string(), 1)).collect();
            submit_within(&job(number), 0, DUE - number as Time, items)
        })
        .collect();
    let mut owner = Owner::of(&submits);
    owner.schedule = Schedule::new(&owner.table);
    assert!((1..JOBS * ITEMS / 4).contains(&owner.counts().1), "{:?}", owner.counts());
    owner.apply(&list(&job(0), "0", ""));
    owner.apply(&end(&job(1)));
    let late = submit_within("late", 0, DUE + SECOND, vec![item("a", 1)]);
    owner.apply(&late);
    let mut expected: Vec<String> = (0..JOBS)
        .rev()
        .flat_map(|number| (0..ITEMS).map(move |place| format!("lot {number}/{place}")))
        .filter(|id| !id.starts_with("lot 1/") && id != "lot 0/0")
        .collect();
    expected.push("late/a".to_owned());
    assert_eq!(owner.take(JOBS * ITEMS), expected);
    assert_eq!(owner.counts(), (expected.len(), 0));
}

/// Under an id whose earlier batch job was forgotten before it was planned.
#[test]
fn a_batch_job_accepted_while_the_plan_is_made_is_planned_once() {
    const ITEMS: usize = 200;
    let items = || (0..ITEMS).map(|place| item(&place.to_string(), 1)).collect::<Vec<_>>();
    let submits: Vec<Command> = (0..30)
        .map(|number| submit_within(&format!("lot {number}"), 0, DUE - number as Time, items()))
        .collect();
    let mut owner = Owner::of(&submits);
    owner.schedule = Schedule::new(&owner.table);
    owner.apply(&end("lot 0"));
    owner.apply(&Command::Forget { before: RETAIN });
    assert_eq!(owner.apply(&submit_within("lot 0", 0, DUE - SECOND, items())), Applied::Accepted);
    assert_eq!(owner.take(1), ["lot 0/0"]);
    let all = owner.take(30 * ITEMS);
    assert_eq!(all.len(), 30 * ITEMS - 1);
    assert_eq!(all.iter().filter(|id| *id == "lot 0/0").count(), 0, "it runs already");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    /// However runs end, proposals are refused and owners change: no item runs beside itself, none is given up before its time or
    /// its tries, each text is whole, and at last all is listed.
    #[test]
    fn at_last_all_is_listed_once(
        sizes in prop::collection::vec(1_usize..6, 1..4),
        steps in prop::collection::vec((0_u8..8, any::<prop::sample::Index>(), 0_u64..4, any::<bool>(), 0_i64..2 * SECOND), 0..200),
    ) {
        const EVENTS: u64 = 5;
        let text = (1..=EVENTS).map(|id| format!("event {id}")).collect::<Vec<_>>().join("\n");
        let mut owner = Owner::of(&[]);
        for (i, size) in sizes.iter().enumerate() {
            let items = (0..*size).map(|j| item(&j.to_string(), 1)).collect();
            owner.apply(&submit_within(&format!("lot {i}"), 0, DUE - i as Time, items));
        }
        let mut running: Vec<ItemRun> = Vec::new();
        let mut failed: BTreeMap<(String, String), u32> = BTreeMap::new();
        let mut never: BTreeSet<(String, String)> = BTreeSet::new();
        let is_early = |command: &Command, failed: &BTreeMap<_, u32>, never: &BTreeSet<_>, now| match command {
            Command::FinishItem { job, item, outcome: rainlug_batch::ItemOutcome::Abandoned, .. } => {
                let key = (job.clone(), item.clone());
                now < RETAIN && failed.get(&key).is_none_or(|count| *count < 3) && !never.contains(&key)
            }
            _ => false,
        };
        for (what, which, count, is_lost, pause) in steps {
            owner.now += pause;
            let mut proposed = Vec::new();
            match what {
                0 | 1 => {
                    if let Some(next) = owner.next() {
                        prop_assert!(!running.iter().any(|run| run.job == next.job && run.item.id == next.item.id));
                        running.push(next);
                    }
                }
                2 => proposed = owner.overdue(),
                3 if is_lost => {
                    owner.schedule = Schedule::new(&owner.table);
                    running.clear();
                    failed.clear();
                    never.clear();
                }
                _ if !running.is_empty() => {
                    let run = running.swap_remove(which.index(running.len()));
                    let key = (run.job.clone(), run.item.id.clone());
                    let (to, end) = match what {
                        4 => (EVENTS, RunOutcome::Complete),
                        5 => {
                            *failed.entry(key).or_default() += 1;
                            (0, RunOutcome::Failed)
                        }
                        6 if count == 0 => {
                            never.insert(key);
                            (0, RunOutcome::Unprocessable)
                        }
                        _ => (EVENTS.min(run.last_event + count), RunOutcome::Interrupted),
                    };
                    let events: Vec<_> = (run.last_event + 1..=to).map(|id| (id, Bytes::from(format!("event {id}")))).collect();
                    proposed.extend(owner.schedule.finish_run(&owner.table, owner.now, &run.job, &run.item.id, events, end));
                }
                _ => {}
            }
            prop_assert_eq!(owner.schedule.running_count(), running.len());
            for command in proposed {
                prop_assert!(!is_early(&command, &failed, &never, owner.now), "{:?}", command);
                if is_lost {
                    owner.refused(&command);
                } else {
                    owner.apply(&command);
                }
            }
        }
        owner.now = owner.now.max(RETAIN) + 10 * SECOND;
        for command in owner.overdue() {
            owner.apply(&command);
        }
        for (i, size) in sizes.iter().enumerate() {
            let answer = read(&owner.table, &format!("lot {i}"), 0).unwrap();
            let ids: BTreeSet<_> = answer.outputs.iter().map(|output| &output.id).collect();
            prop_assert_eq!((answer.outputs.len(), ids.len()), (*size, *size));
            for output in &answer.outputs {
                prop_assert_eq!(&output.prompt, if output.state == "complete" { &text } else { "" });
            }
        }
        prop_assert_eq!(owner.schedule.ready_count(), 0);
    }
}

#[test]
fn what_is_late_already_runs_after_what_can_be_in_time() {
    let items = |ids: &[&str]| ids.iter().map(|id| item(id, 1)).collect::<Vec<_>>();
    let mut owner = Owner::of(&[
        submit_within("late", 0, DUE, items(&["1", "2"])),
        submit_within("timely", 0, DUE + 10 * SECOND, items(&["3", "4"])),
    ]);
    assert_eq!(owner.take(1), ["late/1"], "it can be in time yet");
    owner.now = DUE + SECOND;
    assert_eq!(owner.take(9), ["timely/3", "timely/4", "late/2"]);
}

#[test]
fn what_cannot_be_in_time_by_the_time_that_runs_take_counts_as_late() {
    let items = |ids: &[&str]| ids.iter().map(|id| item(id, 1)).collect::<Vec<_>>();
    let mut owner = Owner::of(&[
        submit_within("first", 0, DUE, items(&["1", "2"])),
        submit_within("second", 0, DUE + 10 * SECOND, items(&["3"])),
    ]);
    assert_eq!(owner.take(1), ["first/1"]);
    owner.now += 2 * SECOND;
    owner.ended("first", "1", &[(1, "x")], RunOutcome::Complete).expect("it is listed");
    owner.now = DUE - SECOND;
    assert_eq!(owner.take(9), ["second/3", "first/2"], "a run takes two seconds");
}
