//! The rules that hold for all machines at once, checked from outside: what was asked and answered, and nothing of the product's
//! own code. Times are counted from the start of the run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub at: Duration,
    pub what: String,
}

/// One result as a read gives it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Output {
    pub id: String,
    pub state: String,
    pub prompt: String,
}

/// The answer to a read of a lot.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Page {
    pub grand_total: u64,
    pub next_token: u64,
    pub outputs: Vec<Output>,
}

/// An item as it is sent, and the text that workers answer it with.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: String,
    pub body: Vec<u8>,
    pub text_hash: u64,
}

/// What is compared of one result.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Listed {
    id: String,
    is_complete: bool,
    text_hash: u64,
}

#[derive(Debug, Default)]
struct BatchJob {
    items: BTreeMap<String, Item>,
    first_sent: Duration,
    accepted: Option<Duration>,
    /// An end was asked for, and acknowledged.
    is_end_asked: bool,
    is_ended: bool,
    /// How many results it had at the first read after its end.
    final_count: Option<usize>,
    outputs: Vec<Listed>,
    places: BTreeMap<String, usize>,
    /// Items whose body was no longer there: they must be among the results of later reads.
    bodiless: BTreeSet<String>,
}

/// What was known when a read of a lot was asked for.
#[derive(Clone, Debug)]
pub struct ReadBegun {
    known: usize,
    is_accepted: bool,
    is_ended: bool,
    bodiless: BTreeSet<String>,
}

/// What was known when an item's body was asked for.
#[derive(Clone, Debug)]
pub struct BodyBegun {
    is_accepted: bool,
    is_listed: bool,
}

/// An acknowledged change of the configuration.
#[derive(Clone, Copy, Debug)]
struct Change {
    base: u64,
    version: u64,
}

/// What must hold for how long.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// A lot can be read for so long after it was first sent.
    pub keep: Duration,
    /// No item may be given up sooner than this after its lot was sent.
    pub retain: Duration,
}

/// Everything that was asked and answered so far, and the rules that it broke.
pub struct Checker {
    terms: Terms,
    jobs: BTreeMap<String, BatchJob>,
    /// Lots to be read, the newest last.
    order: Vec<String>,
    changes: Vec<Change>,
    /// The texts that were sent, by version.
    texts: BTreeMap<u64, String>,
    violations: Vec<Violation>,
}

impl Checker {
    pub fn new(terms: Terms) -> Self {
        Checker {
            terms,
            jobs: BTreeMap::new(),
            order: Vec::new(),
            changes: Vec::new(),
            texts: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Notes a broken rule.
    pub fn violated(&mut self, at: Duration, what: String) {
        self.violations.push(Violation { at, what });
    }

    /// A lot is sent for the first time.
    pub fn sent(&mut self, now: Duration, id: &str, items: Vec<Item>) {
        let items = items.into_iter().map(|item| (item.id.clone(), item)).collect();
        self.jobs.insert(id.to_owned(), BatchJob { items, first_sent: now, ..BatchJob::default() });
    }

    /// A submission was answered; `was_accepted` says whether the lot had its 202 before this one was sent.
    pub fn submitted(&mut self, now: Duration, id: &str, was_accepted: bool, status: u16) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        match status {
            202 => {
                if job.accepted.is_none() {
                    job.accepted = Some(now);
                    self.order.push(id.to_owned());
                }
            }
            429 | 503 | 504 if !was_accepted => {}
            503 | 504 => {}
            _ if was_accepted => {
                self.violated(now, format!("lot {id}: accepted, and turned away when sent again: {status}"));
            }
            _ => self.violated(now, format!("lot {id}: its submission was answered {status}")),
        }
    }

    /// Whether a lot had its 202.
    pub fn is_accepted(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.accepted.is_some())
    }

    /// Whether a lot must still be there.
    fn is_kept(&self, now: Duration, job: &BatchJob) -> bool {
        now < job.first_sent + self.terms.keep
    }

    /// Accepted lots that must still be there, the newest last.
    pub fn readable(&self, now: Duration) -> Vec<&str> {
        let is_kept = |id: &&String| self.jobs.get(*id).is_some_and(|job| self.is_kept(now, job));
        self.order.iter().filter(is_kept).map(String::as_str).collect()
    }

    /// Whether a lot must still be there at a time.
    pub fn is_owed(&self, at: Duration, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.accepted.is_some() && self.is_kept(at, job))
    }

    /// Readable lots that have neither all their results nor an end.
    pub fn unfinished(&self, now: Duration) -> Vec<&str> {
        self.readable(now).into_iter().filter(|id| !self.is_finished(id)).collect()
    }

    /// Whether all results of a lot are known, or its end was asked for.
    pub fn is_finished(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_end_asked || job.outputs.len() == job.items.len())
    }

    /// How many results of a lot are known.
    pub fn known(&self, id: &str) -> usize {
        self.jobs.get(id).map_or(0, |job| job.outputs.len())
    }

    /// An item of a lot by a draw; none where the lot is not known.
    pub fn item(&self, id: &str, draw: usize) -> Option<String> {
        let job = self.jobs.get(id)?;
        job.items.keys().nth(draw % job.items.len().max(1)).cloned()
    }

    /// A read is asked for.
    pub fn read_begins(&self, id: &str) -> Option<ReadBegun> {
        let job = self.jobs.get(id)?;
        Some(ReadBegun {
            known: job.outputs.len(),
            is_accepted: job.accepted.is_some(),
            is_ended: job.is_ended,
            bodiless: job.bodiless.clone(),
        })
    }

    /// A read was answered with something else than a page.
    pub fn read_refused(&mut self, now: Duration, id: &str, begun: &ReadBegun, status: u16) {
        let is_kept = self.jobs.get(id).is_some_and(|job| self.is_kept(now, job));
        match status {
            404 if begun.is_accepted && is_kept => {
                self.violated(now, format!("lot {id}: accepted, and a read was answered 404"));
            }
            404 | 429 | 500.. => {}
            _ => self.violated(now, format!("lot {id}: a read was answered {status}")),
        }
    }

    /// A read was answered with a page.
    pub fn read(&mut self, now: Duration, id: &str, since: usize, begun: &ReadBegun, page: &Page) {
        let retain = self.terms.retain;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let found = page_faults(job, now, retain, since, begun, page);
        found.into_iter().for_each(|what| self.violated(now, format!("lot {id}: {what}")));
    }

    /// An item's body is asked for.
    pub fn body_begins(&self, id: &str, item: &str) -> Option<BodyBegun> {
        let job = self.jobs.get(id)?;
        Some(BodyBegun { is_accepted: job.accepted.is_some(), is_listed: job.places.contains_key(item) })
    }

    /// An item's body was answered.
    pub fn body(&mut self, now: Duration, id: &str, item: &str, begun: &BodyBegun, status: u16, body: &[u8]) {
        let is_kept = self.jobs.get(id).is_some_and(|job| self.is_kept(now, job));
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(sent) = job.items.get(item) else { return };
        match status {
            200 if sent.body != body => {
                let (got, sent) = (body.len(), sent.body.len());
                self.violated(now, format!("lot {id}: item {item}: {got} bytes that are not its {sent}"));
            }
            200 if begun.is_listed => {
                self.violated(now, format!("lot {id}: item {item}: its body came after its result was read"));
            }
            404 if begun.is_accepted && is_kept && !job.is_end_asked => {
                job.bodiless.insert(item.to_owned());
            }
            _ => {}
        }
    }

    /// An end is asked for.
    pub fn end_begins(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_end_asked = true;
        }
    }

    /// An end was answered.
    pub fn ended(&mut self, now: Duration, id: &str, status: u16) {
        let is_kept = self.jobs.get(id).is_some_and(|job| self.is_kept(now, job));
        match (status, self.jobs.get_mut(id)) {
            (200, Some(job)) => job.is_ended = true,
            (404, Some(job)) if job.accepted.is_some() && is_kept => {
                self.violated(now, format!("lot {id}: accepted, and its end was answered 404"));
            }
            _ => {}
        }
    }

    /// A change of the configuration is sent.
    pub fn change_begins(&mut self, version: u64, text: &str) {
        self.texts.insert(version, text.to_owned());
    }

    /// A change of the configuration was acknowledged.
    pub fn changed(&mut self, now: Duration, base: u64, version: u64) {
        let other = self.changes.iter().find(|c| c.base == base && c.version != version).copied();
        if let Some(other) = other {
            let versions = (other.version, version);
            self.violated(
                now,
                format!("configuration: versions {versions:?} were both taken in place of {base}"),
            );
        }
        self.changes.push(Change { base, version });
    }

    /// The newest configuration that was acknowledged; a read that begins now must give it or a newer one.
    pub fn newest(&self) -> u64 {
        self.changes.iter().map(|change| change.version).max().unwrap_or(0)
    }

    /// The configuration was read; `newest` is what [`Checker::newest`] said when it was asked for.
    pub fn configuration(&mut self, now: Duration, at: &str, newest: u64, version: u64, text: &str) {
        if version < newest {
            self.violated(
                now,
                format!("configuration: {at} gave version {version} after {newest} was acknowledged"),
            );
        }
        if self.texts.get(&version).is_some_and(|sent| sent != text) {
            self.violated(now, format!("configuration: {at} gave version {version} with another text"));
        }
    }

    /// Counts for the closing lines: lots accepted, and results read.
    pub fn counts(&self) -> (usize, usize) {
        (self.order.len(), self.jobs.values().map(|job| job.outputs.len()).sum())
    }
}

/// What is wrong with a page; what it tells for the first time is kept.
fn page_faults(
    job: &mut BatchJob,
    now: Duration,
    retain: Duration,
    since: usize,
    begun: &ReadBegun,
    page: &Page,
) -> Vec<String> {
    let mut faults = Vec::new();
    let count = since + page.outputs.len();
    if page.grand_total != job.items.len() as u64 {
        faults.push(format!("a total of {}, {} items were sent", page.grand_total, job.items.len()));
    }
    if page.next_token != count as u64 {
        faults.push(format!("from {since}, {} results, and next {}", page.outputs.len(), page.next_token));
    }
    if count < begun.known {
        faults.push(format!("{} results were read before, now {count}", begun.known));
    }
    for (position, output) in (since..).zip(&page.outputs) {
        faults.extend(output_fault(job, now, retain, position, output));
    }
    let owed = begun.bodiless.iter().filter(|_| !job.is_end_asked);
    for item in owed.filter(|item| !job.places.contains_key(*item)) {
        faults.push(format!("item {item}: no body any more, and no result"));
    }
    job.bodiless.retain(|item| !begun.bodiless.contains(item));
    if begun.is_ended {
        let first = *job.final_count.get_or_insert(count);
        if first != count {
            faults.push(format!("ended, and its results went from {first} to {count}"));
        }
    }
    faults
}

/// What is wrong with one result of a page.
fn output_fault(
    job: &mut BatchJob,
    now: Duration,
    retain: Duration,
    position: usize,
    output: &Output,
) -> Option<String> {
    let Output { id, state, prompt } = output;
    let Some(item) = job.items.get(id) else {
        return Some(format!("position {position}: an item {id:?} that was not sent"));
    };
    let is_complete = state == "complete";
    let listed = Listed { id: id.clone(), is_complete, text_hash: xxh3_64(prompt.as_bytes()) };
    if let Some(before) = job.outputs.get(position) {
        return (*before != listed).then(|| format!("position {position}: was {before:?}, now {listed:?}"));
    }
    if let Some(other) = job.places.get(id) {
        return Some(format!("item {id}: at positions {other} and {position}"));
    }
    if job.outputs.len() != position {
        return Some(format!("position {position}: read before {}", job.outputs.len()));
    }
    let is_early = now < job.first_sent + retain;
    let is_text_right = !is_complete || listed.text_hash == item.text_hash;
    job.places.insert(id.clone(), position);
    job.outputs.push(listed);
    match &state[..] {
        "complete" if !is_text_right => {
            Some(format!("item {id}: complete with a text of {} bytes that is none of its", prompt.len()))
        }
        "abandoned" if is_early => Some(format!("item {id}: abandoned before its time")),
        "complete" | "abandoned" => None,
        other => Some(format!("item {id}: state {other:?}")),
    }
}
