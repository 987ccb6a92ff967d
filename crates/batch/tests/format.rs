//! The bytes of batch jobs, pinned: commands, the chunks of a job table's snapshot and a ledger's snapshot; and that committed
//! bytes are read.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use bytes::Bytes;
use common::{DUE, ROUTE, abandon, chunks, end, finish, item, read, restore, submit, submit_within};
use rainlug::SECOND;
use rainlug_batch::{
    Command, Item, ItemOutcome, JobTable, JobUsage, QuotaLedger, StoredText, UsageReportNumber,
};

/// An output as it is stored where it is long enough to be compressed.
const LONG_OUTPUT: &str = "the same words again and again, ";

fn reserve(job: &str, shard: u16, tokens: u64) -> Command {
    let (route, job) = (ROUTE.to_owned(), job.to_owned());
    Command::Reserve { route, job, shard, tokens, max_waiting_tokens: 1000, timestamp: 3 * SECOND }
}

fn report_usage(shard: u16, open: &[(&str, u64)]) -> Command {
    let usage =
        open.iter().map(|(job, tokens)| JobUsage { job: (*job).to_owned(), tokens: *tokens }).collect();
    let number = UsageReportNumber { term: 7, sequence: 9 };
    Command::ReportUsage { route: ROUTE.to_owned(), shard, number, timestamp: 4 * SECOND, usage }
}

fn finish_with(job: &str, item: &str, outcome: ItemOutcome, text: StoredText) -> Command {
    Command::FinishItem { job: job.to_owned(), item: item.to_owned(), outcome, text }
}

/// A command of every kind, and the ways in which parts of them can be empty or full.
fn commands() -> Vec<(&'static str, Command)> {
    let bare = Item { headers: vec![], body: Bytes::new(), path: String::new(), ..item("bare", 0) };
    let full = Item { body: (0..=255).collect(), token_count: u64::MAX, ..item("full-ä", 1) };
    let long = StoredText::new(LONG_OUTPUT.repeat(20).as_bytes());
    vec![
        ("submit", submit("job", &["a", "b", "c"])),
        ("submit", submit_within("other", 500, DUE, vec![bare, full])),
        ("submit", submit("nothing", &[])),
        ("list", finish("job", "a", "out")),
        ("list", finish_with("job", "b", ItemOutcome::Complete, long)),
        ("list", finish_with("job", "c", ItemOutcome::Complete, StoredText::plain(b"plain"))),
        ("list", abandon("other", "bare")),
        ("end", end("other")),
        ("forget", Command::Forget { before: 5 * SECOND }),
        ("reserve", reserve("job", 2, 30)),
        ("settle", report_usage(2, &[("job", 20), ("other", 1)])),
        ("settle", report_usage(3, &[])),
    ]
}

fn encoded_commands() -> fixture::Lines {
    commands().iter().map(|(kind, command)| ((*kind).to_owned(), command.encode())).collect()
}

/// Three batch jobs: one is all finished, one has open items, one was ended.
fn table() -> JobTable {
    let mut table = JobTable::default();
    let text = LONG_OUTPUT.repeat(20);
    let commands = [
        submit("complete", &["a", "b"]),
        submit("open", &["c", "d", "e"]),
        submit("ended", &["f", "g"]),
        finish("complete", "a", "out of a"),
        finish("complete", "b", &text),
        finish("open", "d", "out of d"),
        abandon("ended", "g"),
        end("ended"),
    ];
    for command in &commands {
        table.apply(command);
    }
    table
}

/// A batch job that is too long for one chunk.
fn long_table() -> JobTable {
    let mut table = JobTable::default();
    let items = (0..2).map(|id| Item { body: vec![b'b'; 40_000].into(), ..item(&format!("{id}"), 1) });
    table.apply(&submit_within("long", 0, DUE, items.collect()));
    table
}

fn quota_ledger() -> QuotaLedger {
    let mut quota_ledger = QuotaLedger::default();
    for command in [reserve("job", 2, 30), reserve("late", 2, 40), reserve("far", 4, 500)] {
        quota_ledger.apply(&command);
    }
    quota_ledger.apply(&report_usage(2, &[("job", 20)]));
    quota_ledger
}

#[test]
fn given_a_command_of_every_kind_then_its_bytes_are_the_committed_ones_and_are_read_again() {
    let committed = fixture::pin("commands", &encoded_commands());
    for ((_, bytes), (kind, command)) in committed.iter().zip(commands()) {
        assert_eq!(Command::decode(bytes), Ok(command), "{kind}");
        assert!(Command::decode(&bytes.slice(..bytes.len() - 1)).is_err(), "{kind} without its end");
    }
}

#[test]
fn given_texts_that_are_stored_then_their_bytes_are_the_committed_ones_and_are_read_again() {
    let texts = [String::new(), "short".to_owned(), LONG_OUTPUT.repeat(20)];
    let stored =
        |text: &String| ("stored text".to_owned(), StoredText::new(text.as_bytes()).stored().clone());
    let committed = fixture::pin("texts", &texts.iter().map(stored).collect::<Vec<_>>());
    for ((_, bytes), text) in committed.into_iter().zip(texts) {
        let stored = StoredText::from_stored(bytes).unwrap();
        assert_eq!(stored.text().unwrap(), text.as_bytes());
    }
}

#[test]
fn given_a_job_table_then_its_chunks_are_the_committed_ones_and_restore_the_same_table() {
    let made = chunks(&table()).into_iter().map(|chunk| ("piece".to_owned(), chunk));
    let committed = fixture::pin("register", &made.collect::<Vec<_>>());
    let restored = restore(&fixture::of_kind(&committed, "piece")).unwrap();
    let complete = read(&restored, "complete", 0).unwrap();
    assert_eq!((complete.grand_total, complete.next_token), (2, 2));
    assert_eq!(complete.outputs[0].prompt, "out of a");
    assert_eq!(complete.outputs[1].prompt, LONG_OUTPUT.repeat(20));
    assert_eq!(read(&restored, "open", 0).unwrap().outputs[0].id, "d");
    assert_eq!(read(&restored, "open", 0).unwrap().grand_total, 3);
    let ended = read(&restored, "ended", 0).unwrap();
    assert_eq!(ended.outputs[0].state, "abandoned");
    assert_eq!(restored.totals(), table().totals());
    assert_eq!(chunks(&restored), chunks(&table()));
}

#[test]
fn given_a_job_table_of_several_chunks_then_each_begins_and_ends_as_committed() {
    // The bodies between are all one letter.
    let edges = |chunk: Bytes| {
        let end = chunk.len().saturating_sub(200);
        let length = ("length".to_owned(), Bytes::copy_from_slice(&(chunk.len() as u32).to_le_bytes()));
        let start = ("start".to_owned(), chunk.slice(..chunk.len().min(200)));
        [length, start, ("end".to_owned(), chunk.slice(end..))]
    };
    let made: fixture::Lines = chunks(&long_table()).into_iter().flat_map(edges).collect();
    assert_eq!(made.len(), 3 * 3, "a header and two chunks");
    fixture::pin("long_register", &made);
}

#[test]
fn given_a_ledger_then_its_snapshot_is_the_committed_one_and_is_read_again() {
    let committed = fixture::pin("ledger", &[("ledger".to_owned(), quota_ledger().snapshot())]);
    let restored = QuotaLedger::restore(&committed[0].1).unwrap();
    assert_eq!(restored.route_tokens(ROUTE), 20 + 40 + 500);
    assert_eq!(restored.snapshot(), quota_ledger().snapshot());
}
