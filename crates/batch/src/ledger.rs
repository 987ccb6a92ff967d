//! The ledger of a route: the tokens of all unfinished batch jobs, in whichever part each of them is kept. It is replicated in
//! the log of one part, so that a quota over all parts is judged in one place.

use std::collections::BTreeMap;

use bytes::Bytes;
use deku::prelude::*;
use rainlug::{SECOND, Time};

use crate::wire::{self, Source};
use crate::{Command, DecodeError};

/// A reservation that no report has named is released after this time: its batch job was never accepted.
pub const RESERVATION_GRACE: Time = 30 * SECOND;
/// Batch jobs that one route may have in its ledger.
pub const MOST_LOTS: usize = 100_000;
/// A route that has no entry is forgotten once its last report is so old.
const FORGOTTEN_AFTER: Time = 600 * SECOND;

/// A batch job and its tokens that still wait; none where it is finished, so that its reservation is released at once.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub struct OpenLot {
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, lot.as_bytes())"
    )]
    pub lot: String,
    pub tokens: u64,
}

/// What a command did to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Booked {
    /// The tokens are reserved, by this command or by one before.
    Granted,
    /// The tokens would go over the quota.
    Refused,
    /// The report is entered.
    Settled,
    /// A newer report was entered before; this one changes nothing.
    Stale,
}

/// The order of a part's reports: by the term of the leader that made them, then by its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReportNumber {
    pub term: u64,
    pub sequence: u64,
}

/// Tokens by route. The same commands in the same order give the same ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// The latest time of day that any command has named: it never goes backwards.
    clock: Time,
    routes: BTreeMap<String, Account>,
}

/// A route's entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Account {
    /// The sum of all entries. As `u128`, so that no sum of `u64` is too large.
    tokens: u128,
    parts: BTreeMap<u16, PartAccount>,
}

/// A route's entries of the batch jobs of one part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct PartAccount {
    /// The newest report that was entered, and when.
    reported: ReportNumber,
    reported_at: Time,
    lots: BTreeMap<String, Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    tokens: u64,
    reserved_at: Time,
    /// A report has named it since it was reserved.
    is_reported: bool,
}

impl Ledger {
    /// Applies a command; nothing where it is none of the ledger's.
    pub fn apply(&mut self, command: &Command) -> Option<Booked> {
        match command {
            Command::Reserve { route, lot, part, tokens, most, at } => {
                self.advance(*at);
                Some(self.reserve(route, lot, *part, *tokens, *most))
            }
            Command::Settle { route, part, number, at, open } => {
                self.advance(*at);
                Some(self.settle(route, *part, *number, open))
            }
            Command::Submit { .. } | Command::List { .. } | Command::End { .. } | Command::Forget { .. } => {
                None
            }
        }
    }

    fn advance(&mut self, at: Time) {
        self.clock = self.clock.max(at);
        let clock = self.clock;
        self.routes.retain(|_, account| !account.is_forgotten(clock));
    }

    fn reserve(&mut self, route: &str, lot: &str, part: u16, tokens: u64, most: u64) -> Booked {
        if !self.has_room(route, lot, part, tokens, most) {
            return Booked::Refused;
        }
        let account = self.routes.entry(route.to_owned()).or_default();
        let lots = &mut account.parts.entry(part).or_default().lots;
        let before = lots.get(lot).map_or(0, |entry| entry.tokens);
        // The same batch job again keeps its tokens. Its grace begins anew: a report made before may not name it.
        let entry = Entry { tokens: tokens.max(before), reserved_at: self.clock, is_reported: false };
        account.tokens += u128::from(entry.tokens - before);
        lots.insert(lot.to_owned(), entry);
        Booked::Granted
    }

    /// Whether a reservation would be granted now. At most `most` tokens may wait (0: no limit); a batch job that is entered
    /// with as many tokens always has room.
    pub fn has_room(&self, route: &str, lot: &str, part: u16, tokens: u64, most: u64) -> bool {
        let Some(account) = self.routes.get(route) else {
            return most == 0 || tokens <= most;
        };
        let entry = account.parts.get(&part).and_then(|part| part.lots.get(lot));
        let more = tokens.saturating_sub(entry.map_or(0, |entry| entry.tokens));
        let fits = most == 0 || account.tokens + u128::from(more) <= u128::from(most);
        match entry {
            Some(_) => more == 0 || fits,
            None => fits && account.lots() < MOST_LOTS,
        }
    }

    fn settle(&mut self, route: &str, part: u16, number: ReportNumber, open: &[OpenLot]) -> Booked {
        let account = self.routes.entry(route.to_owned()).or_default();
        let part = account.parts.entry(part).or_default();
        if part.reported >= number {
            return Booked::Stale;
        }
        account.tokens -= part.tokens();
        part.lots = part.settled(open, self.clock);
        account.tokens += part.tokens();
        (part.reported, part.reported_at) = (number, self.clock);
        Booked::Settled
    }

    /// Whether a report would change an entry, or is the first one of its term.
    pub fn would_change(
        &self,
        route: &str,
        part: u16,
        number: ReportNumber,
        open: &[OpenLot],
        at: Time,
    ) -> bool {
        let Some(part) = self.routes.get(route).and_then(|account| account.parts.get(&part)) else {
            return !open.is_empty();
        };
        let clock = self.clock.max(at);
        number.term > part.reported.term || number > part.reported && part.settled(open, clock) != part.lots
    }

    /// Tokens of a route that are reserved or wait.
    pub fn tokens(&self, route: &str) -> u64 {
        self.routes.get(route).map_or(0, |account| u64::try_from(account.tokens).unwrap_or(u64::MAX))
    }

    /// Tokens of all its routes.
    pub fn total_tokens(&self) -> u64 {
        let tokens: u128 = self.routes.values().map(|account| account.tokens).sum();
        u64::try_from(tokens).unwrap_or(u64::MAX)
    }

    /// All of it as bytes; equal ledgers give equal bytes.
    pub fn snapshot(&self) -> Bytes {
        let routes = self.routes.iter().map(|(route, account)| account.image(route)).collect();
        wire::encode(&Image { clock: self.clock, routes }, 64)
    }

    /// # Errors
    /// Where the bytes are not a snapshot.
    pub fn restore(snapshot: &Bytes) -> Result<Self, DecodeError> {
        let image: Image =
            wire::decode(snapshot).map_err(|e| DecodeError::Malformed(format!("ledger: {e}")))?;
        let routes = image.routes.into_iter().map(|route| (route.route.clone(), Account::of(route)));
        Ok(Ledger { clock: image.clock, routes: routes.collect() })
    }
}

impl Account {
    fn lots(&self) -> usize {
        self.parts.values().map(|part| part.lots.len()).sum()
    }

    fn is_forgotten(&self, clock: Time) -> bool {
        self.parts.values().all(|part| part.lots.is_empty() && clock - part.reported_at > FORGOTTEN_AFTER)
    }

    fn image(&self, route: &str) -> RouteImage {
        let parts = self.parts.iter().map(|(part, account)| account.image(*part)).collect();
        RouteImage { route: route.to_owned(), parts }
    }

    fn of(image: RouteImage) -> Self {
        let parts: BTreeMap<u16, PartAccount> =
            image.parts.into_iter().map(|part| (part.part, PartAccount::of(part))).collect();
        Account { tokens: parts.values().map(PartAccount::tokens).sum(), parts }
    }
}

impl PartAccount {
    fn tokens(&self) -> u128 {
        self.lots.values().map(|entry| u128::from(entry.tokens)).sum()
    }

    /// The entries after a report: those that it names, and the reservations that it may not know of yet.
    fn settled(&self, open: &[OpenLot], clock: Time) -> BTreeMap<String, Entry> {
        let is_fresh = |entry: &Entry| !entry.is_reported && clock - entry.reserved_at < RESERVATION_GRACE;
        let fresh = self.lots.iter().filter(|(_, entry)| is_fresh(entry));
        let mut lots: BTreeMap<String, Entry> = fresh.map(|(lot, entry)| (lot.clone(), *entry)).collect();
        for OpenLot { lot, tokens } in open {
            if *tokens == 0 {
                lots.remove(lot);
                continue;
            }
            let reserved_at = self.lots.get(lot).map_or(clock, |entry| entry.reserved_at);
            lots.insert(lot.clone(), Entry { tokens: *tokens, reserved_at, is_reported: true });
        }
        lots
    }

    fn image(&self, part: u16) -> PartImage {
        let lot = |(lot, entry): (&String, &Entry)| EntryImage {
            lot: lot.clone(),
            tokens: entry.tokens,
            reserved_at: entry.reserved_at,
            is_reported: entry.is_reported,
        };
        let lots = self.lots.iter().map(lot).collect();
        PartImage { part, reported: self.reported, reported_at: self.reported_at, lots }
    }

    fn of(image: PartImage) -> Self {
        let entry = |image: EntryImage| {
            let EntryImage { lot, tokens, reserved_at, is_reported } = image;
            (lot, Entry { tokens, reserved_at, is_reported })
        };
        PartAccount {
            reported: image.reported,
            reported_at: image.reported_at,
            lots: image.lots.into_iter().map(entry).collect(),
        }
    }
}

/// A ledger as it stands in a snapshot.
#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct Image {
    clock: Time,
    #[deku(
        reader = "wire::read_list(deku::reader, source)",
        writer = "wire::write_list(deku::writer, routes)"
    )]
    routes: Vec<RouteImage>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct RouteImage {
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, route.as_bytes())"
    )]
    route: String,
    #[deku(
        reader = "wire::read_list(deku::reader, source)",
        writer = "wire::write_list(deku::writer, parts)"
    )]
    parts: Vec<PartImage>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct PartImage {
    part: u16,
    reported: ReportNumber,
    reported_at: Time,
    #[deku(
        reader = "wire::read_list(deku::reader, source)",
        writer = "wire::write_list(deku::writer, lots)"
    )]
    lots: Vec<EntryImage>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct EntryImage {
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, lot.as_bytes())"
    )]
    lot: String,
    tokens: u64,
    reserved_at: Time,
    is_reported: bool,
}
