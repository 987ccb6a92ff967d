//! The state machine of a part: what has been accepted, listed and ended.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use rainlug::Time;

use crate::lot::{Lot, LotHead, Sums};
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
    pub(crate) lots: BTreeMap<Arc<str>, Arc<Lot>>,
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
            Command::List { lot, item, state, text } => {
                self.list(lot, item, *state, text).unwrap_or(Applied::Nothing)
            }
            Command::End { lot, at: _ } => self.end(lot).unwrap_or(Applied::Nothing),
            // The ledger's.
            Command::Reserve { .. } | Command::Settle { .. } => Applied::Nothing,
            Command::Forget { before } => {
                self.forget(*before);
                Applied::Nothing
            }
        }
    }

    fn submit(&mut self, command: &Command) -> Option<Applied> {
        let Command::Submit { lot: id, route, host, sent, due, retain, max_tries, most, items } = command
        else {
            return None;
        };
        if self.knows(id) {
            return Some(Applied::Known);
        }
        let head = LotHead {
            id: Arc::from(&**id),
            number: self.accepted,
            route: route.clone(),
            host: host.clone(),
            sent: *sent,
            due: *due,
            retain: *retain,
            max_tries: *max_tries,
        };
        let lot = Lot::accepted(head, items)?;
        let waiting = self.waiting.get(route).copied().unwrap_or(0);
        if *most > 0 && waiting + lot.sums().waiting > u128::from(*most) {
            return Some(Applied::OverQuota);
        }
        self.insert(lot);
        self.note_closed(id);
        self.accepted += 1;
        Some(Applied::Accepted)
    }

    fn list(&mut self, id: &str, item: &str, state: State, text: &StoredText) -> Option<Applied> {
        let place = self.open_place(id, item)?;
        let position = self.change(id, |lot| lot.list(place, state, text))??;
        self.note_closed(id);
        Some(Applied::Listed { position })
    }

    fn end(&mut self, id: &str) -> Option<Applied> {
        if !self.lots.get(id)?.is_ended() {
            self.change(id, Lot::end)?;
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
            && let Some(lot) = self.lots.remove(&id)
        {
            items += lot.items().len().max(1);
            self.subtract(&lot.head.route, lot.sums());
        }
    }

    pub(crate) fn insert(&mut self, lot: Lot) {
        self.add(&lot.head.route, lot.sums());
        self.lots.insert(lot.head.id.clone(), Arc::new(lot));
    }

    /// Changes a batch job and the sums with it.
    pub(crate) fn change<T>(&mut self, id: &str, change: impl FnOnce(&mut Lot) -> T) -> Option<T> {
        let lot = Arc::make_mut(self.lots.get_mut(id)?);
        let (head, before) = (lot.head.clone(), lot.sums());
        let changed = change(lot);
        let after = lot.sums();
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
        if let Some(lot) = self.lots.get(id).filter(|lot| lot.is_closed()) {
            self.closed.insert((lot.head.sent, lot.head.id.clone()));
        }
    }

    /// Finds all of which nothing is to come. For a register that is restored.
    pub(crate) fn index_closed(&mut self) {
        let closed = self.lots.values().filter(|lot| lot.is_closed());
        self.closed = closed.map(|lot| (lot.head.sent, lot.head.id.clone())).collect();
    }

    /// The place of an item that is still to be listed.
    fn open_place(&self, id: &str, item: &str) -> Option<usize> {
        let lot = self.lots.get(id)?;
        lot.place(item).filter(|place| lot.is_open(*place))
    }

    /// All of it as it is now; equal registers give equal pieces. The cost is in proportion to the batch
    /// jobs, not to their contents.
    pub fn snapshot(&self) -> RegisterSnapshot {
        RegisterSnapshot::new(self.accepted, self.lots.values().cloned().collect())
    }

    /// The answer to a read from a position on (JSON, at most 1 MB of outputs, one at least); nothing where
    /// there is no such batch job. And whether it holds an output.
    pub fn read(&self, lot: &str, since: u64) -> Option<(String, bool)> {
        let lot = self.lots.get(lot)?;
        let from = usize::try_from(since).unwrap_or(usize::MAX).min(lot.outputs().len());
        let mut outputs = String::new();
        let mut count: u64 = 0;
        for output in &lot.outputs()[from..] {
            let had = outputs.len();
            if had + output.text.text_len() > MOST_READ && count > 0 {
                break;
            }
            let id = lot.items().get(output.place as usize).map_or("", |kept| &kept.id);
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
        let total = lot.items().len();
        let next = since.saturating_add(count);
        let answer = format!("{{\"grand_total\":{total},\"next_token\":{next},\"outputs\":[{outputs}]}}");
        Some((answer, count > 0))
    }

    /// Whether a read from a position on holds an output; nothing where there is no such batch job.
    pub fn has_output(&self, lot: &str, since: u64) -> Option<bool> {
        self.lots.get(lot).map(|lot| since < lot.sums().totals.listed)
    }

    /// The text of an output as it is stored.
    pub fn output(&self, lot: &str, position: u64) -> Option<&StoredText> {
        let output = self.lots.get(lot)?.outputs().get(usize::try_from(position).ok()?)?;
        Some(&output.text)
    }

    /// The body of an item that is not listed yet; nothing once its batch job is ended.
    pub fn body(&self, lot: &str, item: &str) -> Option<Bytes> {
        let lot = self.lots.get(lot)?;
        lot.body(lot.place(item)?)
    }

    /// Whether a batch job is accepted and not forgotten.
    pub fn knows(&self, lot: &str) -> bool {
        self.lots.contains_key(lot)
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
    pub fn open_lots(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.lots.keys().filter_map(|id| self.open_lot(id).map(|(route, tokens)| (route, &**id, tokens)))
    }

    /// The batch jobs sent since a time of which nothing is to come any more: route and id.
    pub fn closed_lots_since(&self, sent: Time) -> impl Iterator<Item = (&str, &str)> {
        let closed = self.closed.iter().rev().take_while(move |(at, _)| *at >= sent);
        closed.filter_map(|(_, id)| self.lots.get(id).map(|lot| (lot.head.route.as_str(), &**id)))
    }

    /// The route of a batch job that has items to be listed, and its tokens that wait.
    pub fn open_lot(&self, lot: &str) -> Option<(&str, u64)> {
        let lot = self.lots.get(lot).filter(|lot| !lot.is_closed())?;
        Some((&lot.head.route, u64::try_from(lot.sums().waiting).unwrap_or(u64::MAX)))
    }
}
