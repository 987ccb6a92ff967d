//! The replicated state machine of a shard's batch jobs.
//!
//! [`JobTable`] is what all replicas of a shard agree on: which batch jobs were accepted, which of their items finished and with which
//! output, and which batch jobs were ended. It changes by [`Command`]s of the shard's log alone, so the same commands in the same order
//! give the same table (Ongaro's thesis, 3.3: state machine safety). Items that run are not in it; they are the leader's
//! [`Schedule`](crate::Schedule).

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use rainlug::Time;

use crate::item::Output;
use crate::job::{BatchJob, BatchJobHeader, ItemTotals, JobTotals};
use crate::{Command, Item, ItemOutcome, JobTableSnapshot, StoredText, json};

/// Bytes of a page of outputs at most, unless a single output is longer.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Bytes of a page besides its outputs, at most.
const PAGE_HEADER_BYTES: usize = 128;

/// Items that one [`Command::Forget`] forgets, about: the last batch job is forgotten as a unit.
const MAX_ITEMS_FORGOTTEN: usize = 8192;

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The batch job is accepted.
    Accepted,
    /// The batch job was accepted by an earlier command; this one changed nothing.
    AlreadyAccepted,
    /// The batch job is not accepted: with it, more tokens would wait on its route than may.
    OverQuota,
    /// The item is finished.
    ItemFinished {
        /// Where its output stands among those of the batch job, from 0.
        position: u64,
    },
    /// The batch job or the item is not known or the item not open, or the command is not about items of a batch job.
    NoChange,
    /// The batch job is ended, by this command or an earlier one.
    Ended,
}

/// Outputs of a batch job from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputPage {
    /// `{"grand_total","next_token","outputs":[{"id","state","prompt"}]}`; `next_token` is the position behind the last output.
    pub json: String,
    /// Whether `outputs` has one.
    pub has_output: bool,
}

/// A batch job that has open items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenJob<'a> {
    /// The batch job's id.
    pub id: &'a str,
    /// Its route's name.
    pub route: &'a str,
    /// Tokens of its open items.
    pub waiting_tokens: u64,
}

/// The batch jobs of a shard.
///
/// A change of a batch job copies it first where a [`JobTableSnapshot`] shares it; the copy shares the requests and texts.
#[derive(Default)]
pub struct JobTable {
    pub(crate) jobs: BTreeMap<Arc<str>, Arc<BatchJob>>,
    /// Batch jobs accepted so far, forgotten ones too.
    pub(crate) accepted_count: u64,
    /// Tokens of open items by route, where there are any. As `u128`, so that no sum of `u64` overflows.
    waiting_tokens: BTreeMap<String, u128>,
    memory_bytes: usize,
    totals: ItemTotals,
    /// Batch jobs without open items, by the time of their submission.
    closed: BTreeSet<(Time, Arc<str>)>,
}

impl JobTable {
    /// Applies a committed command. The cost is bounded by the command and the batch job that it is about.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let applied = match command {
            Command::Submit {
                job,
                route,
                host,
                submitted_at,
                deadline,
                retain_until,
                max_attempts,
                max_waiting_tokens,
                items,
            } => {
                if self.contains_job(job) {
                    return Applied::AlreadyAccepted;
                }
                let header = BatchJobHeader {
                    id: Arc::from(&**job),
                    number: self.accepted_count,
                    route: route.clone(),
                    host: host.clone(),
                    submitted_at: *submitted_at,
                    deadline: *deadline,
                    retain_until: *retain_until,
                    max_attempts: *max_attempts,
                };
                self.accept(header, items, *max_waiting_tokens)
            }
            Command::FinishItem { job, item, outcome, text } => self.finish_item(job, item, *outcome, text),
            Command::End { job, timestamp: _ } => self.end(job),
            Command::Forget { before } => {
                self.forget(*before);
                None
            }
            // The quota ledger's.
            Command::Reserve { .. } | Command::ReportUsage { .. } => None,
        };
        applied.unwrap_or(Applied::NoChange)
    }

    /// Accepts a batch job unless more than `max_waiting_tokens` (0: no limit) would then wait on its route.
    fn accept(&mut self, header: BatchJobHeader, items: &[Item], max_waiting_tokens: u64) -> Option<Applied> {
        let job = BatchJob::accepted(header, items)?;
        let id = job.id().clone();
        let waiting_tokens = self.waiting_tokens.get(&job.header().route).copied().unwrap_or(0);
        if max_waiting_tokens > 0
            && waiting_tokens + job.totals().waiting_tokens > u128::from(max_waiting_tokens)
        {
            return Some(Applied::OverQuota);
        }
        self.insert(job);
        self.index_if_closed(&id);
        self.accepted_count += 1;
        Some(Applied::Accepted)
    }

    fn finish_item(
        &mut self,
        id: &str,
        item: &str,
        outcome: ItemOutcome,
        text: &StoredText,
    ) -> Option<Applied> {
        let job = self.jobs.get(id)?;
        // Before `update`, which may copy the batch job.
        let index = job.item_index(item).filter(|index| job.is_open(*index))?;
        let position = self.update(id, |job| job.finish_item(index, outcome, text))??;
        self.index_if_closed(id);
        Some(Applied::ItemFinished { position })
    }

    fn end(&mut self, id: &str) -> Option<Applied> {
        if !self.jobs.get(id)?.is_ended() {
            self.update(id, BatchJob::end)?;
            self.index_if_closed(id);
        }
        Some(Applied::Ended)
    }

    /// Forgets closed batch jobs submitted before a time, earliest first, up to about [`MAX_ITEMS_FORGOTTEN`] items: the rest is for
    /// the next command.
    fn forget(&mut self, before: Time) {
        let mut items = 0;
        while items < MAX_ITEMS_FORGOTTEN
            && let Some((submitted_at, _)) = self.closed.first()
            && *submitted_at < before
            && let Some((_, id)) = self.closed.pop_first()
            && let Some(job) = self.jobs.remove(&id)
        {
            items += job.items().len().max(1);
            self.subtract(&job.header().route, job.totals());
        }
    }

    pub(crate) fn insert(&mut self, job: BatchJob) {
        self.add(&job.header().route, job.totals());
        self.jobs.insert(job.id().clone(), Arc::new(job));
    }

    /// Changes a batch job, and the table's totals with it.
    pub(crate) fn update<T>(&mut self, id: &str, change: impl FnOnce(&mut BatchJob) -> T) -> Option<T> {
        let job = Arc::make_mut(self.jobs.get_mut(id)?);
        let (header, before) = (job.header().clone(), job.totals());
        let changed = change(job);
        let after = job.totals();
        self.subtract(&header.route, before);
        self.add(&header.route, after);
        Some(changed)
    }

    fn add(&mut self, route: &str, totals: JobTotals) {
        self.memory_bytes += totals.memory_bytes;
        self.totals.add(totals.items);
        if totals.waiting_tokens == 0 {
            return;
        }
        match self.waiting_tokens.get_mut(route) {
            Some(waiting_tokens) => *waiting_tokens += totals.waiting_tokens,
            None => drop(self.waiting_tokens.insert(route.to_owned(), totals.waiting_tokens)),
        }
    }

    fn subtract(&mut self, route: &str, totals: JobTotals) {
        self.memory_bytes -= totals.memory_bytes;
        self.totals.subtract(totals.items);
        if let Some(waiting_tokens) = self.waiting_tokens.get_mut(route) {
            *waiting_tokens -= totals.waiting_tokens;
            if *waiting_tokens == 0 {
                self.waiting_tokens.remove(route);
            }
        }
    }

    fn index_if_closed(&mut self, id: &str) {
        if let Some(job) = self.jobs.get(id).filter(|job| job.is_closed()) {
            self.closed.insert((job.header().submitted_at, job.id().clone()));
        }
    }

    /// Indexes all closed batch jobs, after the table was restored.
    pub(crate) fn rebuild_closed_index(&mut self) {
        let closed = self.jobs.values().filter(|job| job.is_closed());
        self.closed = closed.map(|job| (job.header().submitted_at, job.id().clone())).collect();
    }

    /// The table as it is now; equal tables give equal chunks. The cost is in proportion to the batch jobs, not to their contents.
    pub fn snapshot(&self) -> JobTableSnapshot {
        JobTableSnapshot::new(self.accepted_count, self.jobs.values().cloned().collect())
    }

    /// The answer to a read of a batch job's outputs from a position on: at most 1 MB, but one output at least where there is one.
    /// Nothing where there is no such batch job.
    pub fn read_outputs(&self, job: &str, since: u64) -> Option<OutputPage> {
        let job = self.jobs.get(job)?;
        let first = usize::try_from(since).unwrap_or(usize::MAX).min(job.outputs().len());
        let mut outputs = String::new();
        let mut count: u64 = 0;
        for output in &job.outputs()[first..] {
            let len_before = outputs.len();
            // Spares the inflating of a text that cannot fit.
            if len_before + output.text.text_len() > MAX_PAGE_BYTES && count > 0 {
                break;
            }
            if count > 0 {
                outputs.push(',');
            }
            let id = job.items().get(output.item_index as usize).map_or("", |item| &item.id);
            push_output_json(&mut outputs, id, output);
            if outputs.len() > MAX_PAGE_BYTES - PAGE_HEADER_BYTES && count > 0 {
                outputs.truncate(len_before);
                break;
            }
            count += 1;
        }
        let total = job.items().len();
        let next = since.saturating_add(count);
        let json = format!("{{\"grand_total\":{total},\"next_token\":{next},\"outputs\":[{outputs}]}}");
        Some(OutputPage { json, has_output: count > 0 })
    }

    /// Whether a read from a position on has an output; nothing where there is no such batch job.
    pub fn has_output(&self, job: &str, since: u64) -> Option<bool> {
        self.jobs.get(job).map(|job| since < job.totals().items.finished)
    }

    /// The text of the output at a position.
    pub fn output_text(&self, job: &str, position: u64) -> Option<&StoredText> {
        let output = self.jobs.get(job)?.outputs().get(usize::try_from(position).ok()?)?;
        Some(&output.text)
    }

    /// The body of an open item's request.
    pub fn item_body(&self, job: &str, item: &str) -> Option<Bytes> {
        let job = self.jobs.get(job)?;
        job.body(job.item_index(item)?)
    }

    /// Whether a batch job is accepted and not forgotten.
    pub fn contains_job(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Tokens of a route's open items.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        self.waiting_tokens.get(route).copied().map_or(0, saturating_u64)
    }

    /// Counts of all items, and bytes of their outputs.
    pub fn totals(&self) -> ItemTotals {
        self.totals
    }

    /// Bytes of memory that the table holds, about.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// The batch jobs that have open items, by id.
    pub fn open_jobs(&self) -> impl Iterator<Item = OpenJob<'_>> {
        self.jobs.keys().filter_map(|id| self.open_job(id))
    }

    /// Route and id of the batch jobs without open items that were submitted since a time, the latest first.
    pub fn closed_jobs_since(&self, submitted_at: Time) -> impl Iterator<Item = (&str, &str)> {
        let closed = self.closed.iter().rev().take_while(move |(time, _)| *time >= submitted_at);
        closed.filter_map(|(_, id)| self.jobs.get(id).map(|job| (job.header().route.as_str(), &**id)))
    }

    /// A batch job that has open items; nothing where it has none.
    pub fn open_job(&self, job: &str) -> Option<OpenJob<'_>> {
        let job = self.jobs.get(job).filter(|job| !job.is_closed())?;
        let waiting_tokens = saturating_u64(job.totals().waiting_tokens);
        Some(OpenJob { id: job.id(), route: &job.header().route, waiting_tokens })
    }
}

fn saturating_u64(tokens: u128) -> u64 {
    u64::try_from(tokens).unwrap_or(u64::MAX)
}

fn push_output_json(json: &mut String, id: &str, output: &Output) {
    // A text that does not inflate though its checksum was right when it came cannot be read any more: its item counts as abandoned.
    let (outcome, text) = match output.text.text() {
        Ok(text) => (output.outcome, text),
        Err(_) => (ItemOutcome::Abandoned, Cow::default()),
    };
    json.push_str("{\"id\":");
    json::push_string(json, id);
    json.push_str(match outcome {
        ItemOutcome::Complete => ",\"state\":\"complete\",\"prompt\":",
        ItemOutcome::Abandoned => ",\"state\":\"abandoned\",\"prompt\":",
    });
    json::push_string(json, &String::from_utf8_lossy(&text));
    json.push('}');
}
