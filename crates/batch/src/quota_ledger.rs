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
pub const MAX_JOBS: usize = 100_000;
/// A route that has no entry is forgotten once its last report is so old.
const FORGOTTEN_AFTER: Time = 600 * SECOND;

/// A batch job and its tokens that still wait; none where it is finished, so that its reservation is released at once.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub struct JobUsage {
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, job.as_bytes())"
    )]
    pub job: String,
    pub tokens: u64,
}

/// What a command did to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The tokens are reserved, by this command or by one before.
    Granted,
    /// The tokens would go over the quota.
    Refused,
    /// The report is entered.
    Reported,
    /// A newer report was entered before; this one changes nothing.
    Stale,
}

/// The order of a part's reports: by the term of the leader that made them, then by its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct UsageReportNumber {
    pub term: u64,
    pub sequence: u64,
}

/// Tokens by route. The same commands in the same order give the same ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaLedger {
    /// The latest time of day that any command has named: it never goes backwards.
    clock: Time,
    routes: BTreeMap<String, Account>,
}

/// A route's entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Account {
    /// The sum of all entries. As `u128`, so that no sum of `u64` is too large.
    tokens: u128,
    shards: BTreeMap<u16, ShardAccount>,
}

/// A route's entries of the batch jobs of one part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ShardAccount {
    /// The newest report that was entered, and when.
    reported: UsageReportNumber,
    reported_at: Time,
    jobs: BTreeMap<String, Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    tokens: u64,
    reserved_at: Time,
    /// A report has named it since it was reserved.
    is_reported: bool,
}

impl QuotaLedger {
    /// Applies a command; nothing where it is none of the ledger's.
    pub fn apply(&mut self, command: &Command) -> Option<QuotaOutcome> {
        match command {
            Command::Reserve { route, job, shard, tokens, max_waiting_tokens, timestamp } => {
                self.advance(*timestamp);
                Some(self.reserve(route, job, *shard, *tokens, *max_waiting_tokens))
            }
            Command::ReportUsage { route, shard, number, timestamp, usage } => {
                self.advance(*timestamp);
                Some(self.settle(route, *shard, *number, usage))
            }
            Command::Submit { .. }
            | Command::FinishItem { .. }
            | Command::End { .. }
            | Command::Forget { .. } => None,
        }
    }

    fn advance(&mut self, at: Time) {
        self.clock = self.clock.max(at);
        let clock = self.clock;
        self.routes.retain(|_, account| !account.is_forgotten(clock));
    }

    fn reserve(
        &mut self,
        route: &str,
        job: &str,
        shard: u16,
        tokens: u64,
        max_waiting_tokens: u64,
    ) -> QuotaOutcome {
        if !self.can_reserve(route, job, shard, tokens, max_waiting_tokens) {
            return QuotaOutcome::Refused;
        }
        let account = self.routes.entry(route.to_owned()).or_default();
        let jobs = &mut account.shards.entry(shard).or_default().jobs;
        let before = jobs.get(job).map_or(0, |entry| entry.tokens);
        // The same batch job again keeps its tokens. Its grace begins anew: a report made before may not name it.
        let entry = Entry { tokens: tokens.max(before), reserved_at: self.clock, is_reported: false };
        account.tokens += u128::from(entry.tokens - before);
        jobs.insert(job.to_owned(), entry);
        QuotaOutcome::Granted
    }

    /// Whether a reservation would be granted now. At most `most` tokens may wait (0: no limit); a batch job that is entered
    /// with as many tokens always has room.
    pub fn can_reserve(
        &self,
        route: &str,
        job: &str,
        shard: u16,
        tokens: u64,
        max_waiting_tokens: u64,
    ) -> bool {
        let Some(account) = self.routes.get(route) else {
            return max_waiting_tokens == 0 || tokens <= max_waiting_tokens;
        };
        let entry = account.shards.get(&shard).and_then(|shard| shard.jobs.get(job));
        let more = tokens.saturating_sub(entry.map_or(0, |entry| entry.tokens));
        let fits =
            max_waiting_tokens == 0 || account.tokens + u128::from(more) <= u128::from(max_waiting_tokens);
        match entry {
            Some(_) => more == 0 || fits,
            None => fits && account.jobs() < MAX_JOBS,
        }
    }

    fn settle(
        &mut self,
        route: &str,
        shard: u16,
        number: UsageReportNumber,
        open: &[JobUsage],
    ) -> QuotaOutcome {
        let account = self.routes.entry(route.to_owned()).or_default();
        let shard = account.shards.entry(shard).or_default();
        if shard.reported >= number {
            return QuotaOutcome::Stale;
        }
        account.tokens -= shard.tokens();
        shard.jobs = shard.settled(open, self.clock);
        account.tokens += shard.tokens();
        (shard.reported, shard.reported_at) = (number, self.clock);
        QuotaOutcome::Reported
    }

    /// Whether a report would change an entry, or is the first one of its term.
    pub fn would_change(
        &self,
        route: &str,
        shard: u16,
        number: UsageReportNumber,
        open: &[JobUsage],
        at: Time,
    ) -> bool {
        let Some(shard) = self.routes.get(route).and_then(|account| account.shards.get(&shard)) else {
            return !open.is_empty();
        };
        let clock = self.clock.max(at);
        number.term > shard.reported.term
            || number > shard.reported && shard.settled(open, clock) != shard.jobs
    }

    /// Tokens of a route that are reserved or wait.
    pub fn route_tokens(&self, route: &str) -> u64 {
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
        let image: Image = wire::decode(snapshot).map_err(DecodeError::QuotaLedger)?;
        let routes = image.routes.into_iter().map(|route| (route.route.clone(), Account::of(route)));
        Ok(QuotaLedger { clock: image.clock, routes: routes.collect() })
    }
}

impl Account {
    fn jobs(&self) -> usize {
        self.shards.values().map(|shard| shard.jobs.len()).sum()
    }

    fn is_forgotten(&self, clock: Time) -> bool {
        self.shards.values().all(|shard| shard.jobs.is_empty() && clock - shard.reported_at > FORGOTTEN_AFTER)
    }

    fn image(&self, route: &str) -> RouteImage {
        let shards = self.shards.iter().map(|(shard, account)| account.image(*shard)).collect();
        RouteImage { route: route.to_owned(), shards }
    }

    fn of(image: RouteImage) -> Self {
        let shards: BTreeMap<u16, ShardAccount> =
            image.shards.into_iter().map(|shard| (shard.shard, ShardAccount::of(shard))).collect();
        Account { tokens: shards.values().map(ShardAccount::tokens).sum(), shards }
    }
}

impl ShardAccount {
    fn tokens(&self) -> u128 {
        self.jobs.values().map(|entry| u128::from(entry.tokens)).sum()
    }

    /// The entries after a report: those that it names, and the reservations that it may not know of yet.
    fn settled(&self, open: &[JobUsage], clock: Time) -> BTreeMap<String, Entry> {
        let is_fresh = |entry: &Entry| !entry.is_reported && clock - entry.reserved_at < RESERVATION_GRACE;
        let fresh = self.jobs.iter().filter(|(_, entry)| is_fresh(entry));
        let mut jobs: BTreeMap<String, Entry> = fresh.map(|(job, entry)| (job.clone(), *entry)).collect();
        for JobUsage { job, tokens } in open {
            if *tokens == 0 {
                jobs.remove(job);
                continue;
            }
            let reserved_at = self.jobs.get(job).map_or(clock, |entry| entry.reserved_at);
            jobs.insert(job.clone(), Entry { tokens: *tokens, reserved_at, is_reported: true });
        }
        jobs
    }

    fn image(&self, shard: u16) -> ShardImage {
        let job = |(job, entry): (&String, &Entry)| EntryImage {
            job: job.clone(),
            tokens: entry.tokens,
            reserved_at: entry.reserved_at,
            is_reported: entry.is_reported,
        };
        let jobs = self.jobs.iter().map(job).collect();
        ShardImage { shard, reported: self.reported, reported_at: self.reported_at, jobs }
    }

    fn of(image: ShardImage) -> Self {
        let entry = |image: EntryImage| {
            let EntryImage { job, tokens, reserved_at, is_reported } = image;
            (job, Entry { tokens, reserved_at, is_reported })
        };
        ShardAccount {
            reported: image.reported,
            reported_at: image.reported_at,
            jobs: image.jobs.into_iter().map(entry).collect(),
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
        writer = "wire::write_list(deku::writer, shards)"
    )]
    shards: Vec<ShardImage>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct ShardImage {
    shard: u16,
    reported: UsageReportNumber,
    reported_at: Time,
    #[deku(
        reader = "wire::read_list(deku::reader, source)",
        writer = "wire::write_list(deku::writer, jobs)"
    )]
    jobs: Vec<EntryImage>,
}

#[derive(DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct EntryImage {
    #[deku(
        reader = "wire::read_text(deku::reader, source)",
        writer = "wire::write_bytes(deku::writer, job.as_bytes())"
    )]
    job: String,
    tokens: u64,
    reserved_at: Time,
    is_reported: bool,
}
