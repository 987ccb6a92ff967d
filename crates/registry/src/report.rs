//! What processes tell one another of workers: the load that a worker told last, and how requests fared there. A dispatcher of
//! many sees each worker seldom; together they see it several times a second.

use deku::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// The first byte of a datagram that carries reports; no other payload of the tier begins with it.
const KIND: u8 = 0x40;
/// The age of a load that is not known.
const UNKNOWN: u16 = u16::MAX;
/// Bytes of a batch before its reports, and of each report.
const HEAD_BYTES: usize = 4;
const REPORT_BYTES: usize = 10;

/// A worker's name in reports: a part of its id's hash. Two workers of one name would blur each other's load, and nothing else.
pub fn worker_key(worker: &str) -> u32 {
    xxh3_64(worker.as_bytes()) as u32
}

/// A worker's load as it told it with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u8,
    pub waiting: u8,
    /// How long ago it was told, in milliseconds.
    pub age_ms: u16,
}

/// What was seen of one worker since the report before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// [`report_name`] of its id.
    pub worker: u32,
    pub load: Option<ReportedLoad>,
    /// Requests that failed there, among all that ended or are overdue.
    pub failed: u8,
    pub ended: u8,
}

impl WorkerReport {
    /// Adds what another process saw of the same worker: the newer load, and the sums.
    pub fn merge(&mut self, other: &WorkerReport) {
        let age = |load: Option<ReportedLoad>| load.map_or(UNKNOWN, |told| told.age_ms);
        if age(other.load) < age(self.load) {
            self.load = other.load;
        }
        self.failed = self.failed.saturating_add(other.failed);
        self.ended = self.ended.saturating_add(other.ended);
    }

    /// The report as it is so many milliseconds later.
    pub fn aged(mut self, by_ms: u16) -> Self {
        if let Some(load) = &mut self.load {
            load.age_ms = load.age_ms.saturating_add(by_ms).min(UNKNOWN - 1);
        }
        self
    }
}

/// How far a batch of reports has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(ctx = "_: deku::ctx::Endian", id_type = "u8")]
pub enum Scope {
    /// One process's, for the relay of its zone.
    #[deku(id = "1")]
    Process,
    /// All of a zone's, for the relays of the other zones.
    #[deku(id = "2")]
    Zone,
    /// All, for the processes of the relay's zone.
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
        let load = report.load.unwrap_or(ReportedLoad { running: 0, waiting: 0, age_ms: UNKNOWN });
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
            load: Some(load).filter(|load| load.age_ms != UNKNOWN),
            failed: wire.failed,
            ended: wire.ended,
        }
    }
}

/// Whether a datagram's payload carries reports.
pub fn is_report_datagram(payload: &[u8]) -> bool {
    payload.first() == Some(&KIND)
}

/// Payloads of at most so many bytes each that carry the reports.
pub fn encode_reports(scope: Scope, reports: &[WorkerReport], most_bytes: usize) -> Vec<Vec<u8>> {
    let most = (most_bytes.saturating_sub(HEAD_BYTES) / REPORT_BYTES).clamp(1, usize::from(u16::MAX));
    let batch = |some: &[WorkerReport]| {
        let reports: Vec<WireReport> = some.iter().map(WireReport::from).collect();
        WireBatch { scope, count: reports.len() as u16, reports }.to_bytes().ok()
    };
    reports.chunks(most).filter_map(batch).collect()
}

/// The scope and the reports of a payload; nothing where it is not a whole batch.
pub fn decode_reports(payload: &[u8]) -> Option<(Scope, Vec<WorkerReport>)> {
    match WireBatch::from_bytes((payload, 0)) {
        Ok((([], _), batch)) => Some((batch.scope, batch.reports.iter().map(WorkerReport::from).collect())),
        _ => None,
    }
}
