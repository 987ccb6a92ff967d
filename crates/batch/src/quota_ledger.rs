//! The quota ledger: tokens of a route's batch jobs over all shards.
//!
//! A route's quota counts the batch jobs of all shards, so it is judged in one place: the log of the shard that the route's name maps
//! to. Before a batch job is submitted to its own shard, its tokens are reserved here. From then on the leader of its shard reports
//! what still waits ([`Command::ReportUsage`]), and each report replaces the shard's entries. A reservation that no report names in
//! time ([`RESERVATION_GRACE`]) is released: its batch job was never accepted.
//!
//! The ledger is part of the shard's replicated state. Its only clock is the timestamps of commands, so replicas agree.

use std::collections::BTreeMap;

use bytes::Bytes;
use deku::ctx::Endian;
use deku::prelude::*;
use rainlug::{SECOND, Time};

use crate::wire::{self, Source, read_map, read_text, write_map, write_text};
use crate::{Command, DecodeError};

/// A reservation that no report has named is released after this time (microseconds): its batch job was never accepted.
pub const RESERVATION_GRACE: Time = 30 * SECOND;
/// Batch jobs that one route may have in its ledger.
pub const MAX_JOBS: usize = 100_000;
/// A route without entries is forgotten once its last report is older than this.
const ROUTE_RETENTION: Time = 600 * SECOND;
/// Bytes of a snapshot that are allocated at first.
const SNAPSHOT_CAPACITY: usize = 64;

/// What a batch job uses of its route's quota.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub struct JobUsage {
    /// The batch job's id.
    #[deku(reader = "read_text(deku::reader, source)", writer = "write_text(deku::writer, job)")]
    pub job: String,
    /// Tokens of its open items; 0 where it has none, so that its reservation is released at once.
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

/// The order of a shard's reports: by the term of the leader that made them, then by the leader's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: Endian", ctx_default = "Endian::Little")]
pub struct UsageReportNumber {
    /// The leader's term (Ongaro's thesis, 3.3).
    pub term: u64,
    /// Reports of the leader up to this one.
    pub sequence: u64,
}

/// Reserved and waiting tokens by route. The same commands in the same order give the same ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
pub struct QuotaLedger {
    /// The latest timestamp of all commands: it never goes backwards.
    clock: Time,
    #[deku(
        reader = "read_map(deku::reader, source, read_text)",
        writer = "write_map(deku::writer, routes, write_text)"
    )]
    routes: BTreeMap<String, RouteAccount>,
}

/// The entries of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct RouteAccount {
    #[deku(
        reader = "read_map(deku::reader, source, |reader, _| u16::from_reader_with_ctx(reader, Endian::Little))",
        writer = "write_map(deku::writer, shards, |writer, shard| shard.to_writer(writer, Endian::Little))"
    )]
    shards: BTreeMap<u16, ShardAccount>,
    /// Tokens of all entries; not stored. As `u128`, so that no sum of `u64` overflows.
    #[deku(skip, default = "shards.values().map(ShardAccount::tokens).sum()")]
    tokens: u128,
}

/// The entries of one route that are batch jobs of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct ShardAccount {
    last_report: UsageReportNumber,
    /// The ledger's clock when the last report was entered.
    last_report_at: Time,
    #[deku(
        reader = "read_map(deku::reader, source, read_text)",
        writer = "write_map(deku::writer, jobs, write_text)"
    )]
    jobs: BTreeMap<String, Entry>,
}

/// A batch job's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "_source: Source<'_>", ctx_default = "Source::default()", endian = "little")]
struct Entry {
    tokens: u64,
    reserved_at: Time,
    /// A report has named it since it was reserved.
    is_reported: bool,
}

impl QuotaLedger {
    /// Applies a committed command; nothing where it is none of the ledger's.
    pub fn apply(&mut self, command: &Command) -> Option<QuotaOutcome> {
        match command {
            Command::Reserve { route, job, shard, tokens, max_waiting_tokens, timestamp } => {
                self.advance_clock(*timestamp);
                Some(self.reserve(route, job, *shard, *tokens, *max_waiting_tokens))
            }
            Command::ReportUsage { route, shard, number, timestamp, usage } => {
                self.advance_clock(*timestamp);
                Some(self.report(route, *shard, *number, usage))
            }
            Command::Submit { .. }
            | Command::FinishItem { .. }
            | Command::End { .. }
            | Command::Forget { .. } => None,
        }
    }

    fn advance_clock(&mut self, timestamp: Time) {
        self.clock = self.clock.max(timestamp);
        let clock = self.clock;
        self.routes.retain(|_, account| !account.is_expired(clock));
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

    /// Whether a reservation would be granted now: at most `max_waiting_tokens` may be reserved on the route (0: no limit), and at most
    /// [`MAX_JOBS`] batch jobs. A batch job that has as many tokens reserved already is always granted them.
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
        let additional = tokens.saturating_sub(entry.map_or(0, |entry| entry.tokens));
        let fits = max_waiting_tokens == 0
            || account.tokens + u128::from(additional) <= u128::from(max_waiting_tokens);
        match entry {
            Some(_) => additional == 0 || fits,
            None => fits && account.job_count() < MAX_JOBS,
        }
    }

    fn report(
        &mut self,
        route: &str,
        shard: u16,
        number: UsageReportNumber,
        usage: &[JobUsage],
    ) -> QuotaOutcome {
        let account = self.routes.entry(route.to_owned()).or_default();
        let shard = account.shards.entry(shard).or_default();
        if shard.last_report >= number {
            return QuotaOutcome::Stale;
        }
        account.tokens -= shard.tokens();
        shard.jobs = shard.jobs_after_report(usage, self.clock);
        account.tokens += shard.tokens();
        (shard.last_report, shard.last_report_at) = (number, self.clock);
        QuotaOutcome::Reported
    }

    /// Whether a report would change an entry, or is the first one of its term. Others need not be committed.
    pub fn would_change(
        &self,
        route: &str,
        shard: u16,
        number: UsageReportNumber,
        usage: &[JobUsage],
        timestamp: Time,
    ) -> bool {
        let Some(shard) = self.routes.get(route).and_then(|account| account.shards.get(&shard)) else {
            return !usage.is_empty();
        };
        let clock = self.clock.max(timestamp);
        number.term > shard.last_report.term
            || number > shard.last_report && shard.jobs_after_report(usage, clock) != shard.jobs
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

    /// The ledger as bytes; equal ledgers give equal bytes.
    pub fn snapshot(&self) -> Bytes {
        wire::encode(self, SNAPSHOT_CAPACITY)
    }

    /// The ledger that a [`QuotaLedger::snapshot`] was taken of.
    ///
    /// # Errors
    /// Where the bytes are not a snapshot.
    pub fn restore(snapshot: &Bytes) -> Result<Self, DecodeError> {
        wire::decode(snapshot).map_err(DecodeError::QuotaLedger)
    }
}

impl RouteAccount {
    fn job_count(&self) -> usize {
        self.shards.values().map(|shard| shard.jobs.len()).sum()
    }

    fn is_expired(&self, clock: Time) -> bool {
        self.shards
            .values()
            .all(|shard| shard.jobs.is_empty() && clock - shard.last_report_at > ROUTE_RETENTION)
    }
}

impl ShardAccount {
    fn tokens(&self) -> u128 {
        self.jobs.values().map(|entry| u128::from(entry.tokens)).sum()
    }

    /// The entries after a report: those that it names, and recent reservations that it may not know of yet.
    fn jobs_after_report(&self, usage: &[JobUsage], clock: Time) -> BTreeMap<String, Entry> {
        let is_recent = |entry: &Entry| !entry.is_reported && clock - entry.reserved_at < RESERVATION_GRACE;
        let recent = self.jobs.iter().filter(|(_, entry)| is_recent(entry));
        let mut jobs: BTreeMap<String, Entry> = recent.map(|(job, entry)| (job.clone(), *entry)).collect();
        for JobUsage { job, tokens } in usage {
            if *tokens == 0 {
                jobs.remove(job);
                continue;
            }
            let reserved_at = self.jobs.get(job).map_or(clock, |entry| entry.reserved_at);
            jobs.insert(job.clone(), Entry { tokens: *tokens, reserved_at, is_reported: true });
        }
        jobs
    }
}
