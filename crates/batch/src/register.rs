use std::collections::BTreeMap;

use bytes::Bytes;
use deku::prelude::*;
use rainlug::Time;

use crate::{Command, DecodeError, Item, State, json, wire};

/// Bytes that a read's answer has at most, unless one output alone is longer.
const MOST_READ: usize = 1_000_000;

/// Bytes of memory that a batch job, an item or an output has about, besides its texts.
const OVERHEAD: usize = 128;

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
    /// Bytes of the listed items' outputs.
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
#[derive(Default)]
pub struct Register {
    pub(crate) lots: BTreeMap<String, Lot>,
    /// Batch jobs accepted so far.
    accepted: u64,
    /// Tokens by route, where any wait. As `u128`, so that no sum of `u64` is too large.
    waiting: BTreeMap<String, u128>,
    size: usize,
    totals: Totals,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub(crate) struct Lot {
    #[deku(
        reader = "wire::read_text(deku::reader)",
        writer = "wire::write_bytes(deku::writer, id.as_bytes())"
    )]
    pub id: String,
    /// Batch jobs accepted before this one.
    pub number: u64,
    #[deku(
        reader = "wire::read_text(deku::reader)",
        writer = "wire::write_bytes(deku::writer, route.as_bytes())"
    )]
    pub route: String,
    #[deku(
        reader = "wire::read_text(deku::reader)",
        writer = "wire::write_bytes(deku::writer, host.as_bytes())"
    )]
    pub host: String,
    sent: Time,
    pub due: Time,
    pub retain: Time,
    pub max_tries: u32,
    pub is_ended: bool,
    #[deku(reader = "wire::read_list(deku::reader)", writer = "wire::write_list(deku::writer, items)")]
    pub items: Vec<Kept>,
    #[deku(reader = "wire::read_list(deku::reader)", writer = "wire::write_list(deku::writer, outputs)")]
    outputs: Vec<Output>,
    /// Where in `items` an item stands.
    #[deku(skip)]
    places: BTreeMap<String, usize>,
}

/// An item; once it is listed or its batch job ended, only its id is left.
#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
pub(crate) struct Kept {
    pub is_listed: bool,
    pub item: Item,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Output {
    place: u32,
    state: State,
    #[deku(reader = "wire::read_bytes(deku::reader)", writer = "wire::write_bytes(deku::writer, text)")]
    text: Bytes,
}

#[derive(DekuRead, DekuWrite)]
#[deku(endian = "little")]
struct Snapshot {
    accepted: u64,
    #[deku(reader = "wire::read_list(deku::reader)", writer = "wire::write_list(deku::writer, lots)")]
    lots: Vec<Lot>,
}

impl Kept {
    fn free(&mut self) {
        self.item.path = String::new();
        self.item.headers = Vec::new();
        self.item.body = Bytes::new();
    }
}

impl Lot {
    /// Finds items by id; nothing where one stands there twice.
    fn index(mut self) -> Option<Self> {
        self.places = self.items.iter().enumerate().map(|(i, kept)| (kept.item.id.clone(), i)).collect();
        (self.places.len() == self.items.len()).then_some(self)
    }

    /// Whether all of it is such as commands make it.
    fn is_sound(&self) -> bool {
        let mut listed = vec![false; self.items.len()];
        for output in &self.outputs {
            match listed.get_mut(output.place as usize) {
                Some(is_listed) if !*is_listed => *is_listed = true,
                _ => return false,
            }
        }
        self.items.iter().map(|kept| kept.is_listed).eq(listed)
    }

    pub(crate) fn place(&self, item: &str) -> Option<usize> {
        self.places.get(item).copied()
    }

    /// Whether the item is still to be listed.
    pub(crate) fn is_open(&self, place: usize) -> bool {
        !self.is_ended && self.items.get(place).is_some_and(|kept| !kept.is_listed)
    }

    fn waiting(&self) -> u128 {
        if self.is_ended {
            return 0;
        }
        self.items.iter().filter(|kept| !kept.is_listed).map(|kept| u128::from(kept.item.token_count)).sum()
    }

    fn totals(&self) -> Totals {
        let listed = self.outputs.len() as u64;
        let open = if self.is_ended { 0 } else { self.items.len() as u64 - listed };
        let output_bytes = self.outputs.iter().map(|output| output.text.len() as u64).sum();
        Totals { open, listed, output_bytes }
    }

    fn size(&self) -> usize {
        let item = |kept: &Kept| {
            let Item { id, path, headers, body, .. } = &kept.item;
            let headers: usize =
                headers.iter().map(|(name, value)| OVERHEAD + name.len() + value.len()).sum();
            2 * OVERHEAD + 2 * id.len() + path.len() + headers + body.len()
        };
        OVERHEAD
            + self.id.len()
            + self.route.len()
            + self.host.len()
            + self.items.iter().map(item).sum::<usize>()
            + self.outputs.iter().map(|output| OVERHEAD + output.text.len()).sum::<usize>()
    }
}

impl Register {
    pub fn apply(&mut self, command: &Command) -> Applied {
        match command {
            Command::Submit { .. } => self.submit(command).unwrap_or(Applied::Nothing),
            Command::List { lot, item, state, text } => {
                self.list(lot, item, *state, text).unwrap_or(Applied::Nothing)
            }
            Command::End { lot, at: _ } => self.end(lot),
            // The ledger's.
            Command::Reserve { .. } | Command::Settle { .. } => Applied::Nothing,
            Command::Forget { before } => {
                let (size, totals) = (&mut self.size, &mut self.totals);
                self.lots.retain(|_, lot| {
                    let is_kept = lot.sent >= *before || !lot.is_ended && lot.outputs.len() < lot.items.len();
                    if !is_kept {
                        *size -= lot.size();
                        totals.subtract(lot.totals());
                    }
                    is_kept
                });
                Applied::Nothing
            }
        }
    }

    fn submit(&mut self, command: &Command) -> Option<Applied> {
        let Command::Submit { lot: id, route, host, sent, due, retain, max_tries, most, items } = command
        else {
            return None;
        };
        if self.lots.contains_key(id) {
            return Some(Applied::Known);
        }
        let lot = Lot {
            id: id.clone(),
            number: self.accepted,
            route: route.clone(),
            host: host.clone(),
            sent: *sent,
            due: *due,
            retain: *retain,
            max_tries: *max_tries,
            is_ended: false,
            items: items.iter().map(|item| Kept { is_listed: false, item: item.clone() }).collect(),
            outputs: Vec::new(),
            places: BTreeMap::new(),
        };
        let lot = lot.index()?;
        let tokens = lot.waiting();
        let waiting = self.waiting.get(route).copied().unwrap_or(0);
        if *most > 0 && waiting + tokens > u128::from(*most) {
            return Some(Applied::OverQuota);
        }
        self.add(lot);
        self.accepted += 1;
        Some(Applied::Accepted)
    }

    fn add(&mut self, lot: Lot) {
        let tokens = lot.waiting();
        if tokens > 0 {
            *self.waiting.entry(lot.route.clone()).or_default() += tokens;
        }
        self.size += lot.size();
        self.totals.add(lot.totals());
        self.lots.insert(lot.id.clone(), lot);
    }

    fn list(&mut self, lot: &str, item: &str, state: State, text: &Bytes) -> Option<Applied> {
        let lot = self.lots.get_mut(lot)?;
        let place = lot.place(item)?;
        if !lot.is_open(place) {
            return None;
        }
        let output = Output { place: u32::try_from(place).ok()?, state, text: text.clone() };
        self.size -= lot.size();
        let kept = lot.items.get_mut(place)?;
        kept.is_listed = true;
        kept.free();
        subtract(&mut self.waiting, &lot.route, u128::from(kept.item.token_count));
        self.totals.open -= 1;
        self.totals.listed += 1;
        self.totals.output_bytes += text.len() as u64;
        let position = lot.outputs.len() as u64;
        lot.outputs.push(output);
        self.size += lot.size();
        Some(Applied::Listed { position })
    }

    fn end(&mut self, lot: &str) -> Applied {
        let Some(lot) = self.lots.get_mut(lot) else {
            return Applied::Nothing;
        };
        if !lot.is_ended {
            subtract(&mut self.waiting, &lot.route, lot.waiting());
            self.size -= lot.size();
            self.totals.open -= lot.totals().open;
            lot.is_ended = true;
            lot.items.iter_mut().for_each(Kept::free);
            self.size += lot.size();
        }
        Applied::Ended
    }

    /// All of it as bytes; equal registers give equal bytes.
    pub fn snapshot(&self) -> Bytes {
        // Written one by one: a list of them all would need them in a row.
        wire::encode(&Lots { accepted: self.accepted, lots: &self.lots }, self.size)
    }

    /// # Errors
    /// Where the bytes are not a snapshot; nothing has changed then.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), DecodeError> {
        let odd = |what: &dyn std::fmt::Display| DecodeError::Malformed(format!("snapshot: {what}"));
        let found: Snapshot = wire::decode(snapshot).map_err(|e| odd(&e))?;
        let mut register = Register { accepted: found.accepted, ..Register::default() };
        for lot in found.lots {
            let lot = lot.index().ok_or_else(|| odd(&"an item twice"))?;
            let is_in_order = register.lots.last_key_value().is_none_or(|(last, _)| *last < lot.id);
            if !lot.is_sound() || !is_in_order || lot.number >= found.accepted {
                return Err(odd(&"a batch job that cannot be"));
            }
            register.add(lot);
        }
        *self = register;
        Ok(())
    }

    /// The answer to a read from a position on (JSON, at most 1 MB of outputs, one at least); nothing where there is no such batch
    /// job. And whether it holds an output.
    pub fn read(&self, lot: &str, since: u64) -> Option<(String, bool)> {
        let lot = self.lots.get(lot)?;
        let from = usize::try_from(since).unwrap_or(usize::MAX).min(lot.outputs.len());
        let mut outputs = String::new();
        let mut count: u64 = 0;
        for output in &lot.outputs[from..] {
            let had = outputs.len();
            if had + output.text.len() > MOST_READ && count > 0 {
                break;
            }
            let id = lot.items.get(output.place as usize).map_or("", |kept| &kept.item.id);
            outputs.push_str(if count > 0 { ",{\"id\":" } else { "{\"id\":" });
            json::put_text(&mut outputs, id);
            outputs.push_str(match output.state {
                State::Complete => ",\"state\":\"complete\",\"prompt\":",
                State::Abandoned => ",\"state\":\"abandoned\",\"prompt\":",
            });
            json::put_text(&mut outputs, &String::from_utf8_lossy(&output.text));
            outputs.push('}');
            if outputs.len() > MOST_READ - 128 && count > 0 {
                outputs.truncate(had);
                break;
            }
            count += 1;
        }
        let total = lot.items.len();
        let next = since.saturating_add(count);
        let answer = format!("{{\"grand_total\":{total},\"next_token\":{next},\"outputs\":[{outputs}]}}");
        Some((answer, count > 0))
    }

    /// The body of an item that is not listed yet; nothing once its batch job is ended.
    pub fn body(&self, lot: &str, item: &str) -> Option<Bytes> {
        let lot = self.lots.get(lot)?;
        let place = lot.place(item)?;
        let kept = lot.items.get(place)?;
        lot.is_open(place).then(|| kept.item.body.clone())
    }

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
        self.lots
            .keys()
            .filter_map(|id| self.open_lot(id).map(|(route, tokens)| (route, id.as_str(), tokens)))
    }

    /// The route of a batch job that has items to be listed, and its tokens that wait.
    pub fn open_lot(&self, lot: &str) -> Option<(&str, u64)> {
        let lot = self.lots.get(lot).filter(|lot| !lot.is_ended && lot.outputs.len() < lot.items.len())?;
        Some((&lot.route, u64::try_from(lot.waiting()).unwrap_or(u64::MAX)))
    }
}

fn subtract(waiting: &mut BTreeMap<String, u128>, route: &str, tokens: u128) {
    if let Some(left) = waiting.get_mut(route) {
        *left -= tokens;
        if *left == 0 {
            waiting.remove(route);
        }
    }
}

/// Writes what [`Snapshot`] reads.
struct Lots<'a> {
    accepted: u64,
    lots: &'a BTreeMap<String, Lot>,
}

impl DekuWriter for Lots<'_> {
    fn to_writer<W: std::io::Write + std::io::Seek>(
        &self,
        writer: &mut Writer<W>,
        (): (),
    ) -> Result<(), DekuError> {
        self.accepted.to_writer(writer, deku::ctx::Endian::Little)?;
        wire::write_count(writer, self.lots.len())?;
        self.lots.values().try_for_each(|lot| lot.to_writer(writer, ()))
    }
}
