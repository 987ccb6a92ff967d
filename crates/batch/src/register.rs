//! The state machine of a part: what has been accepted, listed and ended.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use rainlug::Time;

use crate::job::{BatchJob, BatchJobHeader, Sums};
use crate::{Command, RegisterSnapshot, State, StoredText, json};

/// Bytes that a read's answer has at most, unless one output alone is longer.
const MOST_READ: usize = 1_000_000;

/// Items that one command forgets, about: the last batch job is forgotten whole.
const MOST_FORGOTTEN: usize = 8192;

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    Accepted,
    /// Was accepted before.
    Known,
    /// Would go over the tokens that may wait.
    OverQuota,
    Listed {
        position: u64,
    },
    Nothing,
    Ended,
}

/// How many items a register holds, and the bytes of their outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Items still to be listed.
    pub open: u64,
    /// Items that are listed.
    pub listed: u64,
    /// Bytes of the listed items' outputs, as they are stored.
    pub output_bytes: u64,
}

impl Totals {
    fn add(&mut self, other: Totals) {
        self.open += other.open;
        self.listed += other.listed;
        self.output_bytes += other.output_bytes;
    }

    fn subtract(&mut self, other: Totals) {
        self.open -= other.open;
        self.listed -= other.listed;
        self.output_bytes -= other.output_bytes;
    }
}

/// The state machine of a part. The same commands in the same order give the same register.
///
/// A change of a batch job makes a copy of it first where a [`RegisterSnapshot`] holds it; the copy shares
/// its bulk.
#[derive(Default)]
pub struct Register {
    pub(crate) jobs: BTreeMap<Arc<str>, Arc<BatchJob>>,
    /// Batch jobs accepted so far.
    pub(crate) accepted: u64,
    /// Tokens by route, where any wait. As `u128`, so that no sum of `u64` is too large.
    waiting: BTreeMap<String, u128>,
    size: usize,
    totals: Totals,
    /// Batch jobs of which nothing is to come, by when they were sent.
    closed: BTreeSet<(Time, Arc<str>)>,
}

impl Register {
    /// Carries out a command. The cost is bounded by the command and the batch job that it is about.
    pub fn apply(&mut self, command: &Command) -> Applied {
        match command {
            Command::Submit { .. } => self.submit(command).unwrap_or(Applied::Nothing),
            Command::List { job, item, state, text } => {
                self.list(job, item, *state, text).unwrap_or(Applied::Nothing)
            }
            Command::End { job, at: _ } => self.end(job).unwrap_or(Applied::Nothing),
            // The ledger's.
            Command::Reserve { .. } | Command::Settle { .. } => Applied::Nothing,
            Command::Forget { before } => {
                self.forget(*before);
                Applied::Nothing
            }
        }
    }

    fn submit(&mut self, command: &Command) -> Option<Applied> {
        let Command::Submit { job: id, route, host, sent, due, retain, max_tries, most, items } = command
        else {
            return None;
        };
        if self.knows(id) {
            return Some(Applied::Known);
        }
        let head = BatchJobHeader {
            id: Arc::from(&**id),
            number: self.accepted,
            route: route.clone(),
            host: host.clone(),
            sent: *sent,
            due: *due,
            retain: *retain,
            max_tries: *max_tries,
        };
        let job = BatchJob::accepted(head, items)?;
        let waiting = self.waiting.get(route).copied().unwrap_or(0);
        if *most > 0 && waiting + job.sums().waiting > u128::from(*most) {
            return Some(Applied::OverQuota);
        }
        self.insert(job);
        self.note_closed(id);
        self.accepted += 1;
        Some(Applied::Accepted)
    }

    fn list(&mut self, id: &str, item: &str, state: State, text: &StoredText) -> Option<Applied> {
        let place = self.open_place(id, item)?;
        let position = self.change(id, |job| job.list(place, state, text))??;
        self.note_closed(id);
        Some(Applied::Listed { position })
    }

    fn end(&mut self, id: &str) -> Option<Applied> {
        if !self.jobs.get(id)?.is_ended() {
            self.change(id, BatchJob::end)?;
            self.note_closed(id);
        }
        Some(Applied::Ended)
    }

    /// Those sent first, until so many items are forgotten: the rest is for the next command.
    fn forget(&mut self, before: Time) {
        let mut items = 0;
        while items < MOST_FORGOTTEN
            && let Some((sent, _)) = self.closed.first()
            && *sent < before
            && let Some((_, id)) = self.closed.pop_first()
            && let Some(job) = self.jobs.remove(&id)
        {
            items += job.items().len().max(1);
            self.subtract(&job.head.route, job.sums());
        }
    }

    pub(crate) fn insert(&mut self, job: BatchJob) {
        self.add(&job.head.route, job.sums());
        self.jobs.insert(job.head.id.clone(), Arc::new(job));
    }

    /// Changes a batch job and the sums with it.
    pub(crate) fn change<T>(&mut self, id: &str, change: impl FnOnce(&mut BatchJob) -> T) -> Option<T> {
        let job = Arc::make_mut(self.jobs.get_mut(id)?);
        let (head, before) = (job.head.clone(), job.sums());
        let changed = change(job);
        let after = job.sums();
        self.subtract(&head.route, before);
        self.add(&head.route, after);
        Some(changed)
    }

    fn add(&mut self, route: &str, sums: Sums) {
        self.size += sums.size;
        self.totals.add(sums.totals);
        if sums.waiting == 0 {
            return;
        }
        match self.waiting.get_mut(route) {
            Some(waiting) => *waiting += sums.waiting,
            None => drop(self.waiting.insert(route.to_owned(), sums.waiting)),
        }
    }

    fn subtract(&mut self, route: &str, sums: Sums) {
        self.size -= sums.size;
        self.totals.subtract(sums.totals);
        if let Some(waiting) = self.waiting.get_mut(route) {
            *waiting -= sums.waiting;
            if *waiting == 0 {
                self.waiting.remove(route);
            }
        }
    }

    fn note_closed(&mut self, id: &str) {
        if let Some(job) = self.jobs.get(id).filter(|job| job.is_closed()) {
            self.closed.insert((job.head.sent, job.head.id.clone()));
        }
    }

    /// Finds all of which nothing is to come. For a register that is restored.
    pub(crate) fn index_closed(&mut self) {
        let closed = self.jobs.values().filter(|job| job.is_closed());
        self.closed = closed.map(|job| (job.head.sent, job.head.id.clone())).collect();
    }

    /// The place of an item that is still to be listed.
    fn open_place(&self, id: &str, item: &str) -> Option<usize> {
        let job = self.jobs.get(id)?;
        job.place(item).filter(|place| job.is_open(*place))
    }

    /// All of it as it is now; equal registers give equal pieces. The cost is in proportion to the batch
    /// jobs, not to their contents.
    pub fn snapshot(&self) -> RegisterSnapshot {
        RegisterSnapshot::new(self.accepted, self.jobs.values().cloned().collect())
    }

    /// The answer to a read from a position on (JSON, at most 1 MB of outputs, one at least); nothing where
    /// there is no such batch job. And whether it holds an output.
    pub fn read(&self, job: &str, since: u64) -> Option<(String, bool)> {
        let job = self.jobs.get(job)?;
        let from = usize::try_from(since).unwrap_or(usize::MAX).min(job.outputs().len());
        let mut outputs = String::new();
        let mut count: u64 = 0;
        for output in &job.outputs()[from..] {
            let had = outputs.len();
            if had + output.text.text_len() > MOST_READ && count > 0 {
                break;
            }
            let id = job.items().get(output.place as usize).map_or("", |kept| &kept.id);
            outputs.push_str(if count > 0 { ",{\"id\":" } else { "{\"id\":" });
            json::put_text(&mut outputs, id);
            // Nothing else can be told of a text that is damaged; its checksum was right when it came.
            let (state, text) = match output.text.text() {
                Ok(text) => (output.state, text),
                Err(_) => (State::Abandoned, Cow::default()),
            };
            outputs.push_str(match state {
                State::Complete => ",\"state\":\"complete\",\"prompt\":",
                State::Abandoned => ",\"state\":\"abandoned\",\"prompt\":",
            });
            json::put_text(&mut outputs, &String::from_utf8_lossy(&text));
            outputs.push('}');
            if outputs.len() > MOST_READ - 128 && count > 0 {
                outputs.truncate(had);
                break;
            }
            count += 1;
        }
        let total = job.items().len();
        let next = since.saturating_add(count);
        let answer = format!("{{\"grand_total\":{total},\"next_token\":{next},\"outputs\":[{outputs}]}}");
        Some((answer, count > 0))
    }

    /// Whether a read from a position on holds an output; nothing where there is no such batch job.
    pub fn has_output(&self, job: &str, since: u64) -> Option<bool> {
        self.jobs.get(job).map(|job| since < job.sums().totals.listed)
    }

    /// The text of an output as it is stored.
    pub fn output(&self, job: &str, position: u64) -> Option<&StoredText> {
        let output = self.jobs.get(job)?.outputs().get(usize::try_from(position).ok()?)?;
        Some(&output.text)
    }

    /// The body of an item that is not listed yet; nothing once its batch job is ended.
    pub fn body(&self, job: &str, item: &str) -> Option<Bytes> {
        let job = self.jobs.get(job)?;
        job.body(job.place(item)?)
    }

    /// Whether a batch job is accepted and not forgotten.
    pub fn knows(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Tokens that wait on a route: of items that are not listed, in batch jobs that are not ended.
    pub fn waiting(&self, route: &str) -> u64 {
        self.waiting.get(route).map_or(0, |tokens| u64::try_from(*tokens).unwrap_or(u64::MAX))
    }

    /// Its items and outputs.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Bytes of memory that it holds, about.
    pub fn size(&self) -> usize {
        self.size
    }

    /// The batch jobs that have items to be listed: route, id, and tokens that wait.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.jobs.keys().filter_map(|id| self.open_job(id).map(|(route, tokens)| (route, &**id, tokens)))
    }

    /// The batch jobs sent since a time of which nothing is to come any more: route and id.
    pub fn closed_jobs_since(&self, sent: Time) -> impl Iterator<Item = (&str, &str)> {
        let closed = self.closed.iter().rev().take_while(move |(at, _)| *at >= sent);
        closed.filter_map(|(_, id)| self.jobs.get(id).map(|job| (job.head.route.as_str(), &**id)))
    }

    /// The route of a batch job that has items to be listed, and its tokens that wait.
    pub fn open_job(&self, job: &str) -> Option<(&str, u64)> {
        let job = self.jobs.get(job).filter(|job| !job.is_closed())?;
        Some((&job.head.route, u64::try_from(job.sums().waiting).unwrap_or(u64::MAX)))
    }
}
