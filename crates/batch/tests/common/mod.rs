//! Commands and readers that the tests share.
#![allow(dead_code, reason = "no test file uses all")]

use bytes::Bytes;
use nanoserde::DeJson;
use rainlug::{SECOND, Time};
use rainlug_batch::{
    Command, Item, ItemOutcome, JobTable, JobTableRestore, OutputPage, RestoreError, StoredText,
};

pub const ROUTE: &str = "bulk";
pub const DUE: Time = 60 * SECOND;
pub const RETAIN: Time = 100 * SECOND;

#[derive(DeJson, Debug, PartialEq)]
pub struct Answer {
    pub grand_total: u64,
    pub next_token: u64,
    pub outputs: Vec<Output>,
}

#[derive(DeJson, Debug, PartialEq, Clone)]
pub struct Output {
    pub id: String,
    pub state: String,
    pub prompt: String,
}

pub fn item(id: &str, token_count: u64) -> Item {
    Item {
        id: id.into(),
        path: format!("/bulk/{id}"),
        headers: vec![("X-Rainlug-Model".into(), "m".into())],
        body: Bytes::from(format!("body of {id}")),
        token_count,
    }
}

/// With no limit, for items of 10 tokens each.
pub fn submit(job: &str, items: &[&str]) -> Command {
    submit_within(job, 0, DUE, items.iter().map(|id| item(id, 10)).collect())
}

pub fn submit_within(job: &str, max_waiting_tokens: u64, deadline: Time, items: Vec<Item>) -> Command {
    Command::Submit {
        job: job.into(),
        route: ROUTE.into(),
        host: "bulk.example".into(),
        submitted_at: SECOND,
        deadline,
        retain_until: RETAIN,
        max_attempts: 3,
        max_waiting_tokens,
        items,
    }
}

pub fn finish(job: &str, item: &str, text: &str) -> Command {
    let text = StoredText::new(text.as_bytes());
    Command::FinishItem { job: job.into(), item: item.into(), outcome: ItemOutcome::Complete, text }
}

pub fn abandon(job: &str, item: &str) -> Command {
    Command::FinishItem {
        job: job.into(),
        item: item.into(),
        outcome: ItemOutcome::Abandoned,
        text: StoredText::default(),
    }
}

pub fn end(job: &str) -> Command {
    Command::End { job: job.into(), timestamp: 2 * SECOND }
}

/// What a read gives, and that it says rightly whether there is an output.
pub fn read(table: &JobTable, job: &str, since: u64) -> Option<Answer> {
    let OutputPage { json, has_output } = table.read_outputs(job, since)?;
    assert!(!json.bytes().any(|byte| byte < b' '), "unescaped: {json:?}");
    let answer = Answer::deserialize_json(&json).unwrap_or_else(|e| panic!("{e}: {json}"));
    assert_eq!(has_output, !answer.outputs.is_empty());
    assert_eq!(answer.next_token, since + answer.outputs.len() as u64);
    Some(answer)
}

/// The table that these commands make.
pub fn after(commands: &[Command]) -> JobTable {
    let mut table = JobTable::default();
    for command in commands {
        table.apply(command);
    }
    table
}

/// All chunks of its snapshot.
pub fn chunks(table: &JobTable) -> Vec<Bytes> {
    let snapshot = table.snapshot();
    (0..snapshot.chunk_count()).map(|number| snapshot.chunk(number)).collect()
}

pub fn restore(chunks: &[Bytes]) -> Result<JobTable, RestoreError> {
    let mut restore = JobTableRestore::default();
    chunks.iter().try_for_each(|chunk| restore.add_chunk(chunk))?;
    restore.finish()
}
