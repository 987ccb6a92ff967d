//! What processes report to one another of workers: the load that a worker stated last, and how requests fared there. A process
//! that balances over many workers sees each of them seldom; together the processes see each several times a second.
//!
//! Reports travel as datagrams and are never retransmitted.

use deku::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// The first byte of a datagram that carries reports; no other payload of the tier begins with it.
const MAGIC: u8 = 0x40;
/// The age of a load that is not known.
const UNKNOWN_AGE_MS: u16 = u16::MAX;
/// Bytes of a batch before its reports, and of each report.
const HEADER_BYTES: usize = 4;
const REPORT_BYTES: usize = 10;

/// A worker's key in reports: 32 bits of its id's hash. Two workers with one key would mix up their loads, and nothing else.
pub fn worker_key(worker: &str) -> u32 {
    xxh3_64(worker.as_bytes()) as u32
}

/// A worker's load as it stated it with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it ran.
    pub running: u8,
    /// Requests in its queue.
    pub waiting: u8,
    /// How long ago it stated this, in milliseconds.
    pub age_ms: u16,
}

/// What was seen of one worker since the report before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The [`worker_key`] of its id.
    pub worker: u32,
    /// The newest load that is known.
    pub load: Option<ReportedLoad>,
    /// Requests that failed there, of those in `ended`.
    pub failed: u8,
    /// Requests that ended there or are overdue.
    pub ended: u8,
}

impl WorkerReport {
    /// Adds what another process saw of the same worker: keeps the newer load, and sums the counts.
    pub fn merge(&mut self, other: &WorkerReport) {
        let age_ms = |load: Option<ReportedLoad>| load.map_or(UNKNOWN_AGE_MS, |load| load.age_ms);
        if age_ms(other.load) < age_ms(self.load) {
            self.load = other.load;
        }
        self.failed = self.failed.saturating_add(other.failed);
        self.ended = self.ended.saturating_add(other.ended);
    }

    /// The report as it is so many milliseconds later.
    pub fn aged(mut self, by_ms: u16) -> Self {
        if let Some(load) = &mut self.load {
            load.age_ms = load.age_ms.saturating_add(by_ms).min(UNKNOWN_AGE_MS - 1);
        }
        self
    }
}

/// Whose reports a batch holds, and so who is to get it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "_: deku::ctx::Endian", id_type = "u8")]
pub enum Scope {
    /// Those of one process, for the relay of its zone.
    #[deku(id = "1")]
    Process,
    /// Those of a zone, for the relays of the other zones.
    #[deku(id = "2")]
    Zone,
    /// Those of the tier, for the processes of the relay's zone.
    #[deku(id = "3")]
    Tier,
}

#[derive(Clone, Copy, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little", endian = "endian")]
struct WireReport {
    worker: u32,
    running: u8,
    waiting: u8,
    age_ms: u16,
    failed: u8,
    ended: u8,
}

/// The magic is [`MAGIC`], which deku takes as a literal only.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
#[deku(endian = "little", magic = b"\x40")]
struct WireBatch {
    scope: Scope,
    count: u16,
    #[deku(count = "count")]
    reports: Vec<WireReport>,
}

impl From<&WorkerReport> for WireReport {
    fn from(report: &WorkerReport) -> Self {
        let load = report.load.unwrap_or(ReportedLoad { running: 0, waiting: 0, age_ms: UNKNOWN_AGE_MS });
        WireReport {
            worker: report.worker,
            running: load.running,
            waiting: load.waiting,
            age_ms: load.age_ms,
            failed: report.failed,
            ended: report.ended,
        }
    }
}

impl From<&WireReport> for WorkerReport {
    fn from(wire: &WireReport) -> Self {
        let load = ReportedLoad { running: wire.running, waiting: wire.waiting, age_ms: wire.age_ms };
        WorkerReport {
            worker: wire.worker,
            load: Some(load).filter(|load| load.age_ms != UNKNOWN_AGE_MS),
            failed: wire.failed,
            ended: wire.ended,
        }
    }
}

/// Whether a datagram's payload carries reports.
pub fn is_report_datagram(payload: &[u8]) -> bool {
    payload.first() == Some(&MAGIC)
}

/// Encodes reports into payloads of at most `max_bytes` each, but of at least one report.
pub fn encode_reports(scope: Scope, reports: &[WorkerReport], max_bytes: usize) -> Vec<Vec<u8>> {
    let max_reports = (max_bytes.saturating_sub(HEADER_BYTES) / REPORT_BYTES).clamp(1, usize::from(u16::MAX));
    let encode = |batch: &[WorkerReport]| {
        let reports: Vec<WireReport> = batch.iter().map(WireReport::from).collect();
        WireBatch { scope, count: reports.len() as u16, reports }.to_bytes().ok()
    };
    reports.chunks(max_reports).filter_map(encode).collect()
}

/// Decodes a payload; none where it is not exactly one batch.
pub fn decode_reports(payload: &[u8]) -> Option<(Scope, Vec<WorkerReport>)> {
    match WireBatch::from_bytes((payload, 0)) {
        Ok((([], _), batch)) => Some((batch.scope, batch.reports.iter().map(WorkerReport::from).collect())),
        _ => None,
    }
}
