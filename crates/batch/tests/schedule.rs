//! Which item runs next, and what is proposed when its run ends.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use common::{DUE, RETAIN, abandon, end, finish, item, read, submit, submit_within};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::{SECOND, Time};
use rainlug_batch::{
    Applied, Command, ItemRun, JobTable, MAX_OUTPUT_BYTES, MAX_PROPOSALS, RunEnd, RunId, RunIds, RunOutcome,
    RunResult, Schedule,
};

/// A shard's leader: each command is applied, and the schedule follows.
struct Leader {
    table: JobTable,
    schedule: Schedule,
    run_ids: RunIds,
    /// The newest run of each item, by batch job and item.
    runs: BTreeMap<(String, String), RunId>,
    now: Time,
}

impl Leader {
    fn new(commands: &[Command]) -> Self {
        let table = JobTable::default();
        let schedule = Schedule::new(&table);
        let (run_ids, runs) = (RunIds::default(), BTreeMap::new());
        let mut leader = Leader { table, schedule, run_ids, runs, now: 2 * SECOND };
        for command in commands {
            leader.apply(command);
        }
        leader
    }

    fn apply(&mut self, command: &Command) -> Applied {
        let applied = self.table.apply(command);
        self.schedule.handle_applied(&self.table, command, applied);
        applied
    }

    fn start_next(&mut self) -> Option<ItemRun> {
        let next = self.schedule.start_next(&self.table, self.now, &mut self.run_ids)?;
        self.runs.insert((next.job.clone(), next.item.id.clone()), next.id);
        Some(next)
    }

    /// The next ones as `job/item`.
    fn take(&mut self, count: usize) -> Vec<String> {
        (0..count)
            .map_while(|_| self.start_next())
            .map(|next| format!("{}/{}", next.job, next.item.id))
            .collect()
    }

    fn finish_run(
        &mut self,
        job: &str,
        item: &str,
        events: &[(u64, &str)],
        end: RunOutcome,
    ) -> Option<Command> {
        let newest = self.runs.get(&(job.to_owned(), item.to_owned())).copied();
        let run = newest.unwrap_or_else(|| self.run_ids.next_id());
        self.end_run(run, events, end)
    }

    fn end_run(&mut self, run: RunId, events: &[(u64, &str)], outcome: RunOutcome) -> Option<Command> {
        let events = events.iter().map(|(id, data)| (*id, Bytes::copy_from_slice(data.as_bytes()))).collect();
        match self.schedule.finish_run(self.now, RunResult { run, events, outcome }) {
            RunEnd::Finishes(command) => Some(command),
            RunEnd::Open | RunEnd::EventMissing { .. } | RunEnd::Unknown => None,
        }
    }

    fn requeue_refused(&mut self, command: &Command) {
        self.schedule.requeue_refused(&self.table, command.clone());
    }

    fn take_proposals(&mut self) -> Vec<Command> {
        self.schedule.take_proposals(&self.table, self.now)
    }

    fn counts(&self) -> (usize, usize) {
        (self.schedule.running_count(), self.schedule.ready_count())
    }
}

#[test]
fn given_several_jobs_then_items_run_by_deadline() {
    let items = |ids: &[&str]| ids.iter().map(|id| item(id, 1)).collect::<Vec<_>>();
    let mut leader = Leader::new(&[
        submit_within("z", 0, DUE, items(&["2", "1"])),
        submit_within("b", 0, DUE, items(&["3"])),
        submit_within("c", 0, DUE - 1, items(&["4"])),
    ]);
    assert_eq!(leader.counts(), (0, 4));
    assert_eq!(leader.take(9), ["c/4", "z/2", "z/1", "b/3"]);
    assert_eq!(leader.counts(), (4, 0));
}

#[test]
fn given_a_ready_item_when_started_then_the_run_has_all_a_worker_needs() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    let next = leader.start_next().unwrap();
    assert_eq!((&*next.job, &*next.route, &*next.host), ("l", common::ROUTE, "bulk.example"));
    assert_eq!((next.last_event, next.deadline, next.retain_until), (0, DUE, RETAIN));
    assert_eq!(next.item, item("a", 10));
}

#[test]
fn given_a_complete_run_then_the_item_finishes_with_all_its_data() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    let command =
        leader.finish_run("l", "a", &[(1, "one"), (2, ""), (3, "three")], RunOutcome::Complete).unwrap();
    assert_eq!(command, finish("l", "a", "one\n\nthree"));
    assert!(leader.start_next().is_none(), "it is proposed already");
    assert_eq!(leader.apply(&command), Applied::ItemFinished { position: 0 });
    assert_eq!(leader.counts(), (0, 0));
    leader.now += 100 * SECOND;
    assert!(leader.take_proposals().is_empty());
}

#[test]
fn given_a_long_text_when_its_run_completes_then_it_is_proposed_compressed() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    let lines: Vec<(u64, String)> = (1..=50).map(|id| (id, format!("line {id} of some letters"))).collect();
    let events: Vec<(u64, &str)> = lines.iter().map(|(id, line)| (*id, &**line)).collect();
    let command = leader.finish_run("l", "a", &events, RunOutcome::Complete).unwrap();
    let text = lines.iter().map(|(_, line)| &**line).collect::<Vec<_>>().join("\n");
    let Command::FinishItem { text: stored, .. } = &command else { panic!("{command:?}") };
    assert!(stored.stored().len() < text.len() / 2);
    assert!(command.encode().len() < text.len());
    leader.apply(&command);
    assert_eq!(leader.table.totals().output_bytes, stored.stored().len() as u64);
    assert_eq!(read(&leader.table, "l", 0).unwrap().outputs[0].prompt, text);
}

#[test]
fn given_an_interrupted_run_then_the_next_goes_on_after_its_last_event() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    assert_eq!(leader.finish_run("l", "a", &[(1, "one"), (2, "two")], RunOutcome::Interrupted), None);
    assert_eq!(leader.start_next().unwrap().last_event, 2);
    assert_eq!(leader.finish_run("l", "a", &[], RunOutcome::NoCapacity), None);
    assert_eq!(leader.start_next().unwrap().last_event, 2);
    // What comes again, or goes back, is not taken twice.
    let events = [(1, "one"), (2, "two"), (3, "three"), (3, "three"), (2, "two"), (4, "four")];
    let command = leader.finish_run("l", "a", &events, RunOutcome::Complete);
    assert_eq!(command, Some(finish("l", "a", "one\ntwo\nthree\nfour")));
}

#[test]
fn given_failed_runs_then_the_item_is_abandoned_after_its_last_attempt() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    for end in [RunOutcome::Failed, RunOutcome::Interrupted, RunOutcome::Failed, RunOutcome::NoCapacity] {
        leader.start_next().unwrap();
        assert_eq!(leader.finish_run("l", "a", &[(1, "one")], end), None);
    }
    leader.start_next().unwrap();
    assert_eq!(leader.finish_run("l", "a", &[], RunOutcome::Failed), Some(abandon("l", "a")));
    assert!(leader.start_next().is_none());
}

#[test]
fn given_an_unprocessable_item_then_it_is_abandoned_at_once() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    assert_eq!(leader.finish_run("l", "a", &[], RunOutcome::Unprocessable), Some(abandon("l", "a")));
}

#[test]
fn given_an_output_that_no_message_carries_then_its_item_is_abandoned_and_one_just_below_is_whole() {
    for (bytes, is_whole) in [(MAX_OUTPUT_BYTES - 2, true), (MAX_OUTPUT_BYTES, false)] {
        let mut leader = Leader::new(&[submit("l", &["a"])]);
        // No run of it is too long by itself.
        let half = "x".repeat(bytes / 2);
        leader.start_next().unwrap();
        assert_eq!(leader.finish_run("l", "a", &[(1, &half)], RunOutcome::Interrupted), None);
        leader.start_next().unwrap();
        let command = leader.finish_run("l", "a", &[(2, &half)], RunOutcome::Complete).unwrap();
        if is_whole {
            assert_eq!(command, finish("l", "a", &format!("{half}\n{half}")));
            assert!(command.encode().len() < 16 << 20);
        } else {
            assert_eq!(command, abandon("l", "a"));
        }
    }
}

#[test]
fn given_a_refused_proposal_then_it_is_made_again_until_applied() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    let command = leader.finish_run("l", "a", &[(1, "one")], RunOutcome::Complete).unwrap();
    for _ in 0..2 {
        leader.requeue_refused(&command);
        assert_eq!(leader.take_proposals(), std::slice::from_ref(&command));
        assert!(leader.take_proposals().is_empty());
    }
    leader.requeue_refused(&command);
    leader.apply(&command);
    assert!(leader.take_proposals().is_empty(), "what is finished meanwhile is not proposed again");
    leader.requeue_refused(&command);
    assert!(leader.take_proposals().is_empty());
}

/// A leader's log loses nothing in its term: that its entries wait for a quorum's disks is no reason to send them again.
#[test]
fn given_proposals_that_do_not_commit_then_one_leader_makes_each_once() {
    const OUTPUTS: usize = 900;
    let items = (0..OUTPUTS).map(|number| item(&number.to_string(), 1)).collect();
    let mut leader = Leader::new(&[submit_within("l", 0, DUE, items)]);
    let mut proposed = Vec::new();
    for _ in 0..60 {
        for _ in 0..OUTPUTS / 60 {
            let next = leader.start_next().unwrap();
            proposed.extend(leader.finish_run("l", &next.item.id, &[(1, "one")], RunOutcome::Complete));
        }
        leader.now += SECOND;
        assert!(leader.take_proposals().is_empty());
    }
    assert_eq!((proposed.len(), leader.counts()), (OUTPUTS, (0, 0)));
    leader.now = RETAIN + 60 * SECOND;
    assert!(leader.take_proposals().is_empty());
    // The next leader may lack them: it plans them anew.
    leader.schedule = Schedule::new(&leader.table);
    assert_eq!(leader.counts(), (0, OUTPUTS));
}

#[test]
fn given_many_expired_items_then_each_is_abandoned_once_in_bounded_steps() {
    const { assert!(MAX_PROPOSALS <= 256) };
    const JOBS: usize = 8;
    const ITEMS: usize = 100;
    let submits: Vec<Command> = (0..JOBS)
        .map(|job| {
            let items = (0..ITEMS).map(|number| item(&number.to_string(), 1)).collect();
            submit_within(&format!("job {job}"), 0, DUE, items)
        })
        .collect();
    let mut leader = Leader::new(&submits);
    leader.now = RETAIN;
    let mut abandoned = Vec::new();
    while abandoned.len() < JOBS * ITEMS {
        let commands = leader.take_proposals();
        assert_eq!(commands.len(), MAX_PROPOSALS.min(JOBS * ITEMS - abandoned.len()));
        abandoned.extend(commands);
        leader.now += SECOND;
    }
    assert!(leader.take_proposals().is_empty());
    let distinct: BTreeSet<Vec<u8>> = abandoned.iter().map(|command| command.encode().to_vec()).collect();
    assert_eq!(distinct.len(), JOBS * ITEMS);
    for command in &abandoned {
        assert!(matches!(leader.apply(command), Applied::ItemFinished { .. }));
    }
    assert_eq!(leader.counts(), (0, 0));
}

#[test]
fn given_many_refused_commands_then_each_step_gives_a_bounded_number() {
    const OUTPUTS: usize = MAX_PROPOSALS + 1;
    let items = (0..OUTPUTS).map(|number| item(&number.to_string(), 1)).collect();
    let mut leader = Leader::new(&[submit_within("l", 0, DUE, items)]);
    while let Some(next) = leader.start_next() {
        let command = leader.finish_run("l", &next.item.id, &[], RunOutcome::Complete).unwrap();
        leader.requeue_refused(&command);
    }
    assert_eq!(
        (leader.take_proposals().len(), leader.take_proposals().len(), leader.take_proposals().len()),
        (MAX_PROPOSALS, 1, 0)
    );
}

/// However many are passed over: those that can still run are found within a few calls.
#[test]
fn given_many_expired_items_then_those_that_can_run_are_found() {
    const OVER: usize = 5000;
    let items = (0..OVER).map(|number| item(&number.to_string(), 1)).collect();
    let mut later = submit_within("later", 0, DUE + SECOND, vec![item("a", 1)]);
    if let Command::Submit { retain_until, .. } = &mut later {
        *retain_until = RETAIN + 10 * SECOND;
    }
    let mut leader = Leader::new(&[submit_within("over", 0, DUE, items), later]);
    leader.now = RETAIN;
    let found = (0..10).find_map(|_| leader.start_next()).unwrap();
    assert_eq!((&*found.job, &*found.item.id), ("later", "a"));
    assert_eq!(leader.counts(), (1, 0));
}

#[test]
fn given_unfinished_items_when_they_expire_then_they_are_abandoned() {
    let mut leader = Leader::new(&[submit("l", &["a", "b", "c"])]);
    leader.apply(&finish("l", "a", ""));
    leader.start_next().unwrap();
    leader.now = RETAIN - 1;
    assert!(leader.take_proposals().is_empty());
    leader.now = RETAIN;
    assert!(leader.start_next().is_none(), "nothing runs once its time is over");
    assert_eq!(leader.take_proposals(), [abandon("l", "b"), abandon("l", "c")]);
    assert!(leader.take_proposals().is_empty());
    assert_eq!(leader.counts(), (1, 0));
    // The one that still runs does not run again, but may finish as what it is.
    assert_eq!(leader.finish_run("l", "b", &[], RunOutcome::Interrupted), None);
    assert_eq!(leader.counts(), (0, 0));
    leader.now += SECOND;
    assert!(leader.take_proposals().is_empty(), "each is proposed once");
    leader.requeue_refused(&abandon("l", "c"));
    leader.requeue_refused(&abandon("l", "b"));
    assert_eq!(leader.take_proposals(), [abandon("l", "b"), abandon("l", "c")]);
    leader.apply(&abandon("l", "b"));
    leader.apply(&abandon("l", "c"));
    leader.now += SECOND;
    assert!(leader.take_proposals().is_empty());
}

#[test]
fn given_a_run_that_completes_after_expiry_then_it_is_proposed_as_complete() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    leader.now = RETAIN;
    assert_eq!(leader.take_proposals(), [abandon("l", "a")]);
    leader.requeue_refused(&abandon("l", "a"));
    let whole = leader.finish_run("l", "a", &[(1, "one")], RunOutcome::Complete);
    assert_eq!(whole, Some(finish("l", "a", "one")));
    assert!(leader.take_proposals().is_empty(), "the refused one is not proposed behind it");
    leader.requeue_refused(&finish("l", "a", "one"));
    assert_eq!(leader.take_proposals(), [finish("l", "a", "one")]);
}

#[test]
fn given_ended_jobs_and_finished_items_then_they_do_not_run() {
    let mut leader = Leader::new(&[submit("l", &["a", "b", "c"]), submit("m", &["d", "e"])]);
    assert_eq!(leader.take(1), ["l/a"]);
    leader.apply(&end("l"));
    assert_eq!(leader.counts(), (1, 2));
    assert_eq!(leader.finish_run("l", "a", &[(1, "one")], RunOutcome::Complete), None);
    assert_eq!(leader.counts(), (0, 2));
    leader.apply(&finish("m", "d", ""));
    assert_eq!(leader.take(9), ["m/e"]);
    leader.apply(&finish("m", "e", ""));
    assert_eq!(leader.finish_run("m", "e", &[], RunOutcome::Failed), None);
    assert_eq!(leader.counts(), (0, 0));
}

#[test]
fn given_a_run_that_was_never_started_when_finished_then_nothing_changes() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    assert_eq!(leader.finish_run("l", "a", &[(1, "one")], RunOutcome::Complete), None);
    assert_eq!(leader.finish_run("m", "x", &[], RunOutcome::Unprocessable), None);
    assert_eq!(leader.counts(), (0, 1));
}

#[test]
fn given_a_job_submitted_twice_then_it_is_planned_once() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    assert_eq!(leader.apply(&submit("l", &["a"])), Applied::AlreadyAccepted);
    assert_eq!(leader.counts(), (1, 0));
    assert!(leader.start_next().is_none());
}

#[test]
fn given_a_new_leader_then_it_plans_the_open_items() {
    let mut leader = Leader::new(&[submit("l", &["a", "b"]), submit("m", &["c"]), submit("n", &["d"])]);
    leader.start_next().unwrap();
    leader.finish_run("l", "a", &[(1, "one")], RunOutcome::Interrupted);
    leader.apply(&finish("l", "b", ""));
    leader.apply(&end("m"));
    leader.schedule = Schedule::new(&leader.table);
    assert_eq!(leader.counts(), (0, 2));
    let next = leader.start_next().unwrap();
    assert_eq!((&*next.item.id, next.last_event), ("a", 0), "events had are its former leader's alone");
    assert_eq!(leader.take(9), ["n/d"]);
}

/// What is finished or ended before it is planned is not planned.
#[test]
fn given_a_large_table_then_it_is_planned_over_several_steps_in_running_order() {
    const JOBS: usize = 30;
    const ITEMS: usize = 200;
    let job = |number: usize| format!("job {number}");
    let submits: Vec<Command> = (0..JOBS)
        .map(|number| {
            let items = (0..ITEMS).map(|place| item(&place.to_string(), 1)).collect();
            submit_within(&job(number), 0, DUE - number as Time, items)
        })
        .collect();
    let mut leader = Leader::new(&submits);
    leader.schedule = Schedule::new(&leader.table);
    assert!((1..JOBS * ITEMS / 4).contains(&leader.counts().1), "{:?}", leader.counts());
    leader.apply(&finish(&job(0), "0", ""));
    leader.apply(&end(&job(1)));
    let late = submit_within("late", 0, DUE + SECOND, vec![item("a", 1)]);
    leader.apply(&late);
    let mut expected: Vec<String> = (0..JOBS)
        .rev()
        .flat_map(|number| (0..ITEMS).map(move |place| format!("job {number}/{place}")))
        .filter(|id| !id.starts_with("job 1/") && id != "job 0/0")
        .collect();
    expected.push("late/a".to_owned());
    assert_eq!(leader.take(JOBS * ITEMS), expected);
    assert_eq!(leader.counts(), (expected.len(), 0));
}

/// Under an id whose earlier batch job was forgotten before it was planned.
#[test]
fn given_a_job_accepted_during_planning_then_it_is_planned_once() {
    const ITEMS: usize = 200;
    let items = || (0..ITEMS).map(|place| item(&place.to_string(), 1)).collect::<Vec<_>>();
    let submits: Vec<Command> = (0..30)
        .map(|number| submit_within(&format!("job {number}"), 0, DUE - number as Time, items()))
        .collect();
    let mut leader = Leader::new(&submits);
    leader.schedule = Schedule::new(&leader.table);
    leader.apply(&end("job 0"));
    leader.apply(&Command::Forget { before: RETAIN });
    assert_eq!(leader.apply(&submit_within("job 0", 0, DUE - SECOND, items())), Applied::Accepted);
    assert_eq!(leader.take(1), ["job 0/0"]);
    let all = leader.take(30 * ITEMS);
    assert_eq!(all.len(), 30 * ITEMS - 1);
    assert_eq!(all.iter().filter(|id| *id == "job 0/0").count(), 0, "it runs already");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    /// However runs end, proposals are refused and leaders change: no item runs beside itself, none is given up before its time or
    /// its attempts, each text is complete, and at last all is finished.
    #[test]
    fn given_any_runs_then_every_item_finishes_exactly_once(
        sizes in prop::collection::vec(1_usize..6, 1..4),
        steps in prop::collection::vec((0_u8..8, any::<prop::sample::Index>(), 0_u64..4, any::<bool>(), 0_i64..2 * SECOND), 0..200),
    ) {
        const EVENTS: u64 = 5;
        let text = (1..=EVENTS).map(|id| format!("event {id}")).collect::<Vec<_>>().join("\n");
        let mut leader = Leader::new(&[]);
        for (i, size) in sizes.iter().enumerate() {
            let items = (0..*size).map(|j| item(&j.to_string(), 1)).collect();
            leader.apply(&submit_within(&format!("job {i}"), 0, DUE - i as Time, items));
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
            leader.now += pause;
            let mut proposed = Vec::new();
            match what {
                0 | 1 => {
                    if let Some(next) = leader.start_next() {
                        prop_assert!(!running.iter().any(|run| run.job == next.job && run.item.id == next.item.id));
                        running.push(next);
                    }
                }
                2 => proposed = leader.take_proposals(),
                3 if is_lost => {
                    leader.schedule = Schedule::new(&leader.table);
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
                    let result = RunResult { run: run.id, events, outcome: end };
                    if let RunEnd::Finishes(command) = leader.schedule.finish_run(leader.now, result) {
                        proposed.push(command);
                    }
                }
                _ => {}
            }
            prop_assert_eq!(leader.schedule.running_count(), running.len());
            for command in proposed {
                prop_assert!(!is_early(&command, &failed, &never, leader.now), "{:?}", command);
                if is_lost {
                    leader.requeue_refused(&command);
                } else {
                    leader.apply(&command);
                }
            }
        }
        leader.now = leader.now.max(RETAIN) + 10 * SECOND;
        for command in leader.take_proposals() {
            leader.apply(&command);
        }
        for (i, size) in sizes.iter().enumerate() {
            let answer = read(&leader.table, &format!("job {i}"), 0).unwrap();
            let ids: BTreeSet<_> = answer.outputs.iter().map(|output| &output.id).collect();
            prop_assert_eq!((answer.outputs.len(), ids.len()), (*size, *size));
            for output in &answer.outputs {
                prop_assert_eq!(&output.prompt, if output.state == "complete" { &text } else { "" });
            }
        }
        prop_assert_eq!(leader.schedule.ready_count(), 0);
    }
}

#[test]
fn given_items_past_their_deadline_then_timely_ones_run_first() {
    let items = |ids: &[&str]| ids.iter().map(|id| item(id, 1)).collect::<Vec<_>>();
    let mut leader = Leader::new(&[
        submit_within("late", 0, DUE, items(&["1", "2"])),
        submit_within("timely", 0, DUE + 10 * SECOND, items(&["3", "4"])),
    ]);
    assert_eq!(leader.take(1), ["late/1"], "it can be in time yet");
    leader.now = DUE + SECOND;
    assert_eq!(leader.take(9), ["timely/3", "timely/4", "late/2"]);
}

#[test]
fn given_the_mean_run_time_then_items_that_cannot_meet_their_deadline_run_last() {
    let items = |ids: &[&str]| ids.iter().map(|id| item(id, 1)).collect::<Vec<_>>();
    let mut leader = Leader::new(&[
        submit_within("first", 0, DUE, items(&["1", "2"])),
        submit_within("second", 0, DUE + 10 * SECOND, items(&["3"])),
    ]);
    assert_eq!(leader.take(1), ["first/1"]);
    leader.now += 2 * SECOND;
    leader.finish_run("first", "1", &[(1, "x")], RunOutcome::Complete).expect("it finishes");
    leader.now = DUE - SECOND;
    assert_eq!(leader.take(9), ["second/3", "first/2"], "a run takes two seconds");
}

/// Guards against review/3: the end of a run of the schedule before was taken for that of the present schedule's run.
#[test]
fn given_a_run_of_the_schedule_before_when_it_ends_then_nothing_of_the_present_run_changes() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    leader.start_next().unwrap();
    assert_eq!(leader.finish_run("l", "a", &[(1, "one"), (2, "two")], RunOutcome::Interrupted), None);
    let old = leader.start_next().unwrap();
    leader.schedule = Schedule::new(&leader.table);
    let present = leader.start_next().unwrap();
    assert_eq!((old.last_event, present.last_event), (2, 0));
    for outcome in [
        RunOutcome::NoCapacity,
        RunOutcome::Interrupted,
        RunOutcome::Failed,
        RunOutcome::Unprocessable,
        RunOutcome::Complete,
    ] {
        assert_eq!(leader.end_run(old.id, &[(3, "three")], outcome), None);
        assert_eq!(leader.counts(), (1, 0), "the present one runs");
    }
    let command = leader.end_run(present.id, &[(1, "one"), (2, "two"), (3, "three")], RunOutcome::Complete);
    assert_eq!(command, Some(finish("l", "a", "one\ntwo\nthree")));
    assert_eq!(leader.end_run(present.id, &[], RunOutcome::Complete), None, "a run ends once");
}

/// Another batch job may have come under the id of one that ended and was forgotten while its item ran.
#[test]
fn given_a_run_of_a_forgotten_job_when_another_one_has_its_id_then_its_end_is_not_the_new_ones() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    let old = leader.start_next().unwrap();
    leader.apply(&end("l"));
    leader.apply(&Command::Forget { before: RETAIN });
    assert_eq!(leader.apply(&submit("l", &["a"])), Applied::Accepted);
    assert_eq!(leader.end_run(old.id, &[(1, "old")], RunOutcome::Complete), None);
    let new = leader.start_next().unwrap();
    let command = leader.end_run(new.id, &[(1, "new")], RunOutcome::Complete);
    assert_eq!(command, Some(finish("l", "a", "new")));
}

/// A text has each event from the first on: a worker that goes on later than it was asked to leaves a hole.
#[test]
fn given_a_run_that_leaves_an_event_out_when_it_completes_then_the_item_runs_again_from_what_is_had() {
    let mut leader = Leader::new(&[submit("l", &["a"])]);
    let run = leader.start_next().unwrap();
    assert_eq!(leader.end_run(run.id, &[(1, "one")], RunOutcome::Interrupted), None);
    for late in [&[(3, "three")][..], &[(2, "two"), (4, "four")]] {
        let run = leader.start_next().unwrap();
        assert_eq!(leader.end_run(run.id, late, RunOutcome::Complete), None);
        assert_eq!(leader.counts(), (0, 1));
    }
    let run = leader.start_next().unwrap();
    assert_eq!(run.last_event, 2);
    let command = leader.end_run(run.id, &[(3, "three")], RunOutcome::Complete);
    assert_eq!(command, Some(finish("l", "a", "one\ntwo\nthree")));
}
