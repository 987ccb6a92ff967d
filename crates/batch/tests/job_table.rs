//! What the job table does with commands, and what a client reads of it.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use common::{ROUTE, abandon, after, chunks, end, finish, item, read, restore, submit, submit_within};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug::SECOND;
use rainlug_batch::{
    Applied, Command, ItemOutcome, ItemTotals, JobTable, OutputPage, StoredText, parse_submission,
};

#[test]
fn given_an_accepted_job_when_submitted_again_then_it_is_already_accepted() {
    let mut table = JobTable::default();
    assert_eq!(table.apply(&submit("l", &["a", "b"])), Applied::Accepted);
    assert_eq!(table.apply(&submit("l", &["a", "b"])), Applied::AlreadyAccepted);
    assert_eq!(table.apply(&submit("l", &["c"])), Applied::AlreadyAccepted);
    assert!(table.contains_job("l") && !table.contains_job("m"));
    assert_eq!(read(&table, "l", 0).unwrap().grand_total, 2);
    assert_eq!(table.read_outputs("m", 0), None);
    table.apply(&end("l"));
    assert_eq!(table.apply(&submit("l", &["a"])), Applied::AlreadyAccepted);
}

#[test]
fn given_items_that_finish_then_outputs_are_in_the_order_of_finishing() {
    let mut table = after(&[submit("l", &["a", "b", "c"])]);
    assert_eq!(table.apply(&finish("l", "c", "text of c")), Applied::ItemFinished { position: 0 });
    assert_eq!(table.apply(&abandon("l", "a")), Applied::ItemFinished { position: 1 });
    assert_eq!(table.apply(&finish("l", "a", "late")), Applied::NoChange);
    assert_eq!(table.apply(&finish("l", "x", "")), Applied::NoChange);
    assert_eq!(table.apply(&finish("m", "a", "")), Applied::NoChange);
    let answer = table.read_outputs("l", 0).unwrap().json;
    let outputs =
        r#"{"id":"c","state":"complete","prompt":"text of c"},{"id":"a","state":"abandoned","prompt":""}"#;
    assert_eq!(answer, format!(r#"{{"grand_total":3,"next_token":2,"outputs":[{outputs}]}}"#));
    let answer = read(&table, "l", 1).unwrap();
    assert_eq!((answer.next_token, answer.outputs.len()), (2, 1));
}

#[test]
fn given_a_read_past_the_outputs_then_the_page_is_empty() {
    let table = after(&[submit("l", &["a", "b"]), finish("l", "a", "")]);
    for since in [1, 2, 7] {
        let answer = read(&table, "l", since).unwrap();
        assert_eq!((answer.grand_total, answer.next_token, answer.outputs.len()), (2, since, 0));
    }
    assert_eq!(
        table.read_outputs("l", u64::MAX),
        Some(OutputPage {
            json: r#"{"grand_total":2,"next_token":18446744073709551615,"outputs":[]}"#.into(),
            has_output: false
        })
    );
}

#[test]
fn given_large_outputs_then_a_page_has_a_megabyte_at_most_but_one_output_at_least() {
    let (half, huge) = ("h".repeat(400_000), "\n".repeat(1_500_000));
    let table = after(&[
        submit("l", &["a", "b", "c", "d", "e"]),
        finish("l", "a", &half),
        finish("l", "b", &half),
        finish("l", "c", &half),
        finish("l", "d", &huge),
        finish("l", "e", ""),
    ]);
    let counts: Vec<_> = (0..=5).map(|since| read(&table, "l", since).unwrap().outputs.len()).collect();
    assert_eq!(counts, [2, 2, 1, 1, 1, 0]);
    assert!(table.read_outputs("l", 0).unwrap().json.len() <= 1_000_000);
    assert_eq!(read(&table, "l", 3).unwrap().outputs[0].prompt, huge);
}

#[test]
fn given_texts_with_escapes_then_the_page_limit_counts_the_escaped_text() {
    let feeds = "\n".repeat(300_000);
    let table = after(&[submit("l", &["a", "b"]), finish("l", "a", &feeds), finish("l", "b", &feeds)]);
    assert_eq!(read(&table, "l", 0).unwrap().outputs.len(), 1);
}

#[test]
fn given_an_open_item_then_its_body_is_kept_until_it_finishes_or_its_job_ends() {
    let mut table = after(&[submit("l", &["a", "b"])]);
    assert_eq!(table.item_body("l", "a"), Some(Bytes::from("body of a")));
    assert_eq!(table.item_body("l", "x"), None);
    assert_eq!(table.item_body("m", "a"), None);
    table.apply(&finish("l", "a", ""));
    assert_eq!(table.item_body("l", "a"), None);
    assert_eq!(table.item_body("l", "b"), Some(Bytes::from("body of b")));
    table.apply(&end("l"));
    assert_eq!(table.item_body("l", "b"), None);
}

#[test]
fn given_a_job_with_an_output_when_it_ends_then_the_output_stays() {
    let mut table = after(&[submit("l", &["a", "b"]), finish("l", "a", "text")]);
    let before = table.read_outputs("l", 0);
    assert_eq!(table.apply(&end("l")), Applied::Ended);
    assert_eq!(table.apply(&end("l")), Applied::Ended);
    assert_eq!(table.apply(&end("m")), Applied::NoChange);
    assert_eq!(table.apply(&finish("l", "b", "late")), Applied::NoChange);
    assert_eq!(table.read_outputs("l", 0), before);
}

#[test]
fn given_open_items_then_their_tokens_wait_until_finished_or_ended() {
    let mut table = JobTable::default();
    let mut take = |command: &Command| (table.apply(command), table.waiting_tokens(ROUTE));
    let job = |job, tokens| submit_within(job, 100, common::DUE, vec![item("a", tokens), item("b", 10)]);
    assert_eq!(take(&job("l", 50)), (Applied::Accepted, 60));
    assert_eq!(take(&job("m", 31)), (Applied::OverQuota, 60));
    assert_eq!(take(&job("m", 30)), (Applied::Accepted, 100));
    assert_eq!(take(&job("l", 50)), (Applied::AlreadyAccepted, 100));
    assert_eq!(take(&finish("l", "a", "")).1, 50);
    assert_eq!(take(&end("m")).1, 10);
    assert_eq!(take(&abandon("l", "b")).1, 0);
    // No limit, and more than a count holds.
    let huge = submit_within("n", 0, common::DUE, vec![item("a", u64::MAX), item("b", u64::MAX)]);
    assert_eq!(take(&huge), (Applied::Accepted, u64::MAX));
    assert_eq!(take(&job("o", 1)), (Applied::OverQuota, u64::MAX));
    assert_eq!(take(&end("n")).1, 0);
    assert_eq!(table.waiting_tokens("other"), 0);
}

#[test]
fn given_a_job_over_quota_then_the_table_is_unchanged() {
    let mut table = JobTable::default();
    let job = submit_within("l", 9, common::DUE, vec![item("a", 10)]);
    assert_eq!(table.apply(&job), Applied::OverQuota);
    assert!(!table.contains_job("l"));
    assert_eq!(chunks(&table), chunks(&JobTable::default()));
}

#[test]
fn given_a_job_with_a_duplicate_item_then_it_is_not_accepted() {
    let mut table = JobTable::default();
    assert_eq!(table.apply(&submit("l", &["a", "a"])), Applied::NoChange);
    assert!(!table.contains_job("l"));
}

#[test]
fn given_old_jobs_when_forgetting_then_only_closed_ones_go() {
    let commands = [
        submit("open", &["a"]),
        submit("finished", &["a"]),
        submit("ended", &["a"]),
        finish("finished", "a", ""),
    ];
    let mut table = after(&commands);
    table.apply(&end("ended"));
    let known = |table: &JobTable| ["open", "finished", "ended"].map(|job| table.contains_job(job));
    table.apply(&Command::Forget { before: SECOND });
    assert_eq!(known(&table), [true, true, true]);
    table.apply(&Command::Forget { before: SECOND + 1 });
    assert_eq!(known(&table), [true, false, false]);
    assert_eq!(table.apply(&submit("ended", &["a"])), Applied::Accepted);
}

#[test]
fn given_a_large_body_then_memory_bytes_follow_its_life() {
    let mut table = JobTable::default();
    let mut large = item("a", 1);
    large.body = Bytes::from(vec![0; 100_000]);
    table.apply(&submit_within("l", 0, common::DUE, vec![large]));
    assert!(table.memory_bytes() >= 100_000);
    table.apply(&finish("l", "a", "short"));
    assert!(table.memory_bytes() < 2_000);
    table.apply(&Command::Forget { before: 2 * SECOND });
    assert_eq!(table.memory_bytes(), 0);
}

#[test]
fn given_a_forged_count_when_decoding_then_no_memory_is_reserved() {
    // A batch job's id of 4 GB.
    assert!(Command::decode(&Bytes::from_static(&[2, 0xff, 0xff, 0xff, 0xff, b'l'])).is_err());
    // Four thousand million items.
    let mut submit = vec![0];
    submit.extend([0; 12 + 3 * 8 + 4 + 8]);
    submit.extend([0xff; 4]);
    assert!(Command::decode(&submit.into()).is_err());
    // Four thousand million records in the first chunk of a snapshot.
    assert!(restore(&[Bytes::from_static(&[0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff])]).is_err());
}

/// Batch jobs of 100 items each, all ended.
fn many_ended(count: usize) -> JobTable {
    let ids: Vec<String> = (0..100).map(|id| id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
    let mut table = JobTable::default();
    for number in 0..count {
        let id = format!("{number:05}");
        table.apply(&submit(&id, &ids));
        table.apply(&end(&id));
    }
    table
}

#[test]
fn given_many_closed_jobs_then_each_forget_is_bounded_and_the_next_goes_on() {
    let mut table = many_ended(200);
    let known = |table: &JobTable| (0..200).filter(|id| table.contains_job(&format!("{id:05}"))).count();
    let mut counts = vec![known(&table)];
    while known(&table) > 0 {
        table.apply(&Command::Forget { before: 2 * SECOND });
        counts.push(known(&table));
    }
    // 82 batch jobs have the first 8192 items.
    assert_eq!(counts, [200, 118, 36, 0]);
    assert_eq!((table.memory_bytes(), table.totals()), (0, ItemTotals::default()));
}

#[test]
fn given_closed_jobs_when_forgetting_then_the_earliest_submitted_go_first() {
    let mut table = many_ended(100);
    let mut older = submit("older", &["a"]);
    if let Command::Submit { submitted_at, .. } = &mut older {
        *submitted_at -= 1;
    }
    table.apply(&older);
    table.apply(&end("older"));
    let mut restored = restore(&chunks(&table)).unwrap();
    for table in [&mut table, &mut restored] {
        table.apply(&Command::Forget { before: 2 * SECOND });
        assert!(!table.contains_job("older") && !table.contains_job("00000") && table.contains_job("00099"));
    }
    assert_eq!(chunks(&table), chunks(&restored));
}

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const JOBS: [&str; 4] = ["k", "l", "m", "n"];
const ITEMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let job = prop::sample::select(&JOBS);
    let tokens = prop::collection::btree_map(prop::sample::select(&ITEMS), 0_u64..60, 1..5);
    let route = prop::sample::select(&["r", "s"]);
    let max_waiting_tokens = prop::sample::select(&[0, 50, 120]);
    let submit = (job.clone(), route, 0_i64..100, max_waiting_tokens, tokens).prop_map(
        |(job, route, submitted_at, max_waiting_tokens, tokens)| Command::Submit {
            job: job.to_owned(),
            route: route.to_owned(),
            host: "h".into(),
            submitted_at,
            deadline: submitted_at + 10,
            retain_until: submitted_at + 20,
            max_attempts: 2,
            max_waiting_tokens,
            items: tokens.into_iter().map(|(id, tokens)| item(id, tokens)).collect(),
        },
    );
    let finish = (job.clone(), prop::sample::select(&ITEMS), any::<bool>(), any::<Vec<u8>>()).prop_map(
        |(job, item, is_complete, text)| Command::FinishItem {
            job: job.to_owned(),
            item: item.to_owned(),
            outcome: if is_complete { ItemOutcome::Complete } else { ItemOutcome::Abandoned },
            text: StoredText::new(&text),
        },
    );
    let end = job.prop_map(|job| Command::End { job: job.to_owned(), timestamp: 0 });
    let forget = (0_i64..100).prop_map(|before| Command::Forget { before });
    prop::collection::vec(prop_oneof![4 => submit, 10 => finish, 1 => end, 1 => forget], 0..60)
}

/// The plain model of one batch job.
#[derive(Default)]
struct Job {
    route: String,
    submitted_at: i64,
    tokens: BTreeMap<String, u64>,
    finished: Vec<(String, ItemOutcome, String)>,
    /// Bytes of outputs, as they are stored.
    stored: u64,
    is_ended: bool,
}

impl Job {
    fn open(&self) -> impl Iterator<Item = (&String, &u64)> {
        let finished: BTreeSet<_> = self.finished.iter().map(|(id, ..)| id).collect();
        self.tokens.iter().filter(move |(id, _)| !self.is_ended && !finished.contains(id))
    }
}

fn waiting(jobs: &BTreeMap<String, Job>, route: &str) -> u64 {
    jobs.values().filter(|job| job.route == route).flat_map(|job| job.open()).map(|(_, tokens)| tokens).sum()
}

fn step(jobs: &mut BTreeMap<String, Job>, command: &Command) -> Applied {
    match command {
        Command::Submit { job: id, route, submitted_at, max_waiting_tokens, items, .. } => {
            if jobs.contains_key(id) {
                return Applied::AlreadyAccepted;
            }
            let tokens: BTreeMap<_, _> = items.iter().map(|i| (i.id.clone(), i.token_count)).collect();
            if *max_waiting_tokens > 0
                && waiting(jobs, route) + tokens.values().sum::<u64>() > *max_waiting_tokens
            {
                return Applied::OverQuota;
            }
            let job = Job { route: route.clone(), submitted_at: *submitted_at, tokens, ..Job::default() };
            jobs.insert(id.clone(), job);
            Applied::Accepted
        }
        Command::FinishItem { job: id, item, outcome, text } => {
            let Some(job) = jobs.get_mut(id) else { return Applied::NoChange };
            if !job.open().any(|(id, _)| id == item) {
                return Applied::NoChange;
            }
            job.stored += text.stored().len() as u64;
            job.finished.push((
                item.clone(),
                *outcome,
                String::from_utf8_lossy(&text.text().unwrap()).into_owned(),
            ));
            Applied::ItemFinished { position: job.finished.len() as u64 - 1 }
        }
        Command::End { job: id, .. } => match jobs.get_mut(id) {
            Some(job) => {
                job.is_ended = true;
                Applied::Ended
            }
            None => Applied::NoChange,
        },
        Command::Reserve { .. } | Command::ReportUsage { .. } => Applied::NoChange,
        Command::Forget { before } => {
            jobs.retain(|_, job| job.submitted_at >= *before || job.open().next().is_some());
            Applied::NoChange
        }
    }
}

fn state_name(state: ItemOutcome) -> &'static str {
    match state {
        ItemOutcome::Complete => "complete",
        ItemOutcome::Abandoned => "abandoned",
    }
}

/// All that can be asked of two tables is the same.
fn assert_same(a: &JobTable, b: &JobTable) {
    for job in JOBS {
        assert_eq!(a.contains_job(job), b.contains_job(job));
        (0..6).for_each(|since| assert_eq!(a.read_outputs(job, since), b.read_outputs(job, since)));
        ITEMS.iter().for_each(|item| assert_eq!(a.item_body(job, item), b.item_body(job, item)));
    }
    ["r", "s"].iter().for_each(|route| assert_eq!(a.waiting_tokens(route), b.waiting_tokens(route)));
    assert_eq!(a.memory_bytes(), b.memory_bytes());
    assert_eq!(a.totals(), b.totals());
    assert_eq!(chunks(a), chunks(b));
}

proptest! {
    #![proptest_config(settings(300))]

    /// The plain model sums and searches anew at each step. So no item stands at two positions, the quota is never passed, and
    /// nothing that fits is refused.
    #[test]
    fn given_any_commands_then_the_table_does_as_the_plain_model(commands in commands()) {
        let mut table = JobTable::default();
        let mut jobs = BTreeMap::new();
        for command in &commands {
            prop_assert_eq!(table.apply(command), step(&mut jobs, command));
            let totals = ItemTotals {
                open: jobs.values().map(|job| job.open().count() as u64).sum(),
                finished: jobs.values().map(|job| job.finished.len() as u64).sum(),
                output_bytes: jobs.values().map(|job| job.stored).sum(),
            };
            prop_assert_eq!(table.totals(), totals);
            for route in ["r", "s"] {
                prop_assert_eq!(table.waiting_tokens(route), waiting(&jobs, route));
            }
            for id in JOBS {
                let Some(job) = jobs.get(id) else {
                    prop_assert!(!table.contains_job(id) && table.read_outputs(id, 0).is_none());
                    continue;
                };
                let answer = read(&table, id, 0).unwrap();
                prop_assert_eq!(answer.grand_total, job.tokens.len() as u64);
                let known: Vec<_> = job.finished.iter().map(|(id, state, text)| (&**id, state_name(*state), &**text)).collect();
                let found: Vec<_> = answer.outputs.iter().map(|o| (&*o.id, &*o.state, &*o.prompt)).collect();
                prop_assert_eq!(found, known);
                for since in 0..6 {
                    prop_assert_eq!(table.has_output(id, since), Some(table.read_outputs(id, since).unwrap().has_output));
                }
                let distinct: BTreeSet<_> = answer.outputs.iter().map(|o| &o.id).collect();
                prop_assert_eq!(distinct.len(), answer.outputs.len());
                for item in ITEMS {
                    let body = job.open().any(|(open, _)| open == item).then(|| Bytes::from(format!("body of {item}")));
                    prop_assert_eq!(table.item_body(id, item), body);
                }
            }
        }
    }

    /// A replica that plays the log, one that plays the log from its bytes, and one that goes on from a snapshot are the same.
    #[test]
    fn given_the_same_commands_then_replicas_are_equal(commands in commands(), at in any::<prop::sample::Index>()) {
        let played = after(&commands);
        let decoded: Vec<_> = commands.iter().map(|c| Command::decode(&c.encode()).unwrap()).collect();
        prop_assert_eq!(&decoded, &commands);
        assert_same(&played, &after(&decoded));
        let cut = at.index(commands.len() + 1);
        let mut restored = restore(&chunks(&after(&commands[..cut]))).unwrap();
        for command in &commands[cut..] {
            restored.apply(command);
        }
        assert_same(&played, &restored);
    }

    #[test]
    fn given_any_commands_then_an_output_keeps_its_position(commands in commands()) {
        let mut table = JobTable::default();
        let mut seen: BTreeMap<&str, Vec<common::Output>> = BTreeMap::new();
        for command in &commands {
            table.apply(command);
            for job in JOBS {
                let Some(answer) = read(&table, job, 0) else {
                    seen.remove(job);
                    continue;
                };
                let had = seen.insert(job, answer.outputs.clone()).unwrap_or_default();
                prop_assert!(answer.outputs.starts_with(&had));
            }
        }
    }

    #[test]
    fn given_texts_of_any_characters_then_a_read_returns_them_unchanged(text in any::<String>(), id in "\\PC{1,8}", controls in "[\\x00-\\x1f\"\\\\\\x7f\u{2028}é😀]{0,40}") {
        let table = after(&[submit("l", &[&id, "other"]), finish("l", &id, &text), finish("l", "other", &controls)]);
        if id != "other" {
            let answer = read(&table, "l", 0).unwrap();
            prop_assert_eq!(&answer.outputs[0].id, &id);
            prop_assert_eq!(&answer.outputs[0].prompt, &text);
            prop_assert_eq!(&answer.outputs[1].prompt, &controls);
        }
    }

    #[test]
    fn given_garbage_then_it_is_rejected_without_a_panic(bytes in any::<Vec<u8>>(), json in "[\\[\\]{}:,\"\\\\/*a0-9.eE+ -]{0,40}", tag in 0_u8..4) {
        let _ = parse_submission(&bytes);
        let _ = parse_submission(json.as_bytes());
        let _ = parse_submission(format!("{{\"requests\":[{{\"id\":{json}}}],\"more\":{json}}}").as_bytes());
        let tagged = Bytes::from([&[tag], &bytes[..]].concat());
        let _ = Command::decode(&bytes.clone().into());
        let _ = Command::decode(&tagged);
        let _ = StoredText::from_stored(tagged).map(|text| text.text().is_ok());
        prop_assert!(restore(&[bytes.clone().into()]).is_err());
        let header = chunks(&after(&[submit("l", &["a"])])).swap_remove(0);
        // The number and count of a second chunk before it.
        let second = Bytes::from([&[1, 0, 0, 0, 1, 0, 0, 0, tag], &bytes[..]].concat());
        prop_assert!(restore(&[header, second]).is_err());
    }

    /// What a harmed snapshot gives, if it is taken, can be used.
    #[test]
    fn given_a_corrupt_snapshot_then_what_it_restores_can_be_used(commands in commands(), more in commands(), at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut harmed = chunks(&after(&commands));
        let which = at.index(harmed.len());
        let mut bytes = harmed[which].to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        harmed[which] = bytes.into();
        if let Ok(mut table) = restore(&harmed) {
            for command in &more {
                table.apply(command);
            }
            JOBS.iter().for_each(|job| drop(table.read_outputs(job, 0)));
            prop_assert!(restore(&chunks(&table)).is_ok());
        }
        let mut bytes = more.first().map_or(Bytes::new(), Command::encode).to_vec();
        if !bytes.is_empty() {
            let at = at % bytes.len();
            bytes[at] ^= flip;
            if let Ok(command) = Command::decode(&bytes.into()) {
                JobTable::default().apply(&command);
            }
        }
    }
}
