//! Exchange of worker reports: every process learns what all data planes see of workers.
//!
//! Each process sends what it saw to its zone's relay; relays exchange that with one another, and each sends all of it to the
//! processes of its zone. The relay is the highest by rendezvous hash among live processes, so it needs no election: two relays for
//! a while, or none, only delay reports. Datagrams may be lost and are not repeated.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_fleet::MOST;
use rainlug_registry::WorkerReport;
use rainlug_registry::report::{Scope, decode_reports, encode_reports};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Coordinator, Effect, Now};

/// What a relay sends to one process of its zone, at most, on average.
const MAX_BYTES_PER_SECOND: Time = 3_000;
/// Reports that were collected longer ago, because nobody relays them, are dropped, in microseconds.
const MAX_REPORT_AGE: Time = 2 * SECOND;

/// A report that waits to be relayed.
struct CollectedReport {
    report: WorkerReport,
    /// When it came, by the steady clock in microseconds.
    received_at: Time,
}

/// Reports by the worker's hash.
type Collected = BTreeMap<u32, CollectedReport>;

/// A process's state in the exchange.
#[derive(Default)]
pub(crate) struct ReportExchange {
    /// The relay of this process's zone, where that is another one.
    relay: Option<SocketAddr>,
    /// The other live processes of this zone.
    zone_members: Vec<SocketAddr>,
    /// The relays of the other zones.
    other_relays: Vec<SocketAddr>,
    /// As a relay: what this zone's processes saw.
    from_zone: Collected,
    /// As a relay: what other zones' processes saw.
    from_others: Collected,
    /// When a relay sends next, by the steady clock in microseconds.
    next_round: Time,
}

/// The process that relays for those at these addresses.
fn relay_of(members: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    members.max_by_key(|at| xxh3_64_with_seed(at.to_string().as_bytes(), 2))
}

fn collect(into: &mut Collected, now: Time, reports: impl IntoIterator<Item = WorkerReport>) {
    for report in reports {
        let merged = into.get(&report.worker).map_or(report, |known| {
            let mut known = known.aged(now);
            known.merge(&report);
            known
        });
        into.insert(report.worker, CollectedReport { report: merged, received_at: now });
    }
}

impl CollectedReport {
    /// The report as it is now: older by the time since it came.
    fn aged(&self, now: Time) -> WorkerReport {
        let age_ms = (now - self.received_at) / 1_000;
        self.report.aged(u16::try_from(age_ms).unwrap_or(u16::MAX))
    }
}

/// Takes what was collected, as it is now.
fn drain(from: &mut Collected, now: Time) -> Vec<WorkerReport> {
    let collected = std::mem::take(from).into_values();
    let fresh = collected.filter(|collected| now - collected.received_at <= MAX_REPORT_AGE);
    fresh.map(|collected| collected.aged(now)).collect()
}

impl ReportExchange {
    /// Takes over the live processes by zone, without this one.
    pub fn set_members(&mut self, zone: &str, me: SocketAddr, mut zones: BTreeMap<String, Vec<SocketAddr>>) {
        self.zone_members = zones.remove(zone).unwrap_or_default();
        let own = self.zone_members.iter().copied().chain([me]);
        self.relay = relay_of(own).filter(|at| *at != me);
        self.other_relays = zones.into_values().filter_map(|members| relay_of(members.into_iter())).collect();
    }
}

impl Coordinator {
    /// Takes what this process's data plane saw of workers since the last call; to be called several times a second.
    pub fn report(&mut self, now: Now, seen: Vec<WorkerReport>) {
        self.now = now;
        if let Some(relay) = self.reports.relay {
            self.send_reports(Scope::Process, &seen, &[relay]);
            return;
        }
        let now = now.steady;
        collect(&mut self.reports.from_zone, now, seen);
        if now < self.reports.next_round {
            return;
        }
        let from_zone = drain(&mut self.reports.from_zone, now);
        let relays = std::mem::take(&mut self.reports.other_relays);
        self.send_reports(Scope::Zone, &from_zone, &relays);
        self.reports.other_relays = relays;
        collect(&mut self.reports.from_others, now, from_zone);
        let all = drain(&mut self.reports.from_others, now);
        let members = std::mem::take(&mut self.reports.zone_members);
        let bytes = self.send_reports(Scope::Tier, &all, &members);
        self.reports.zone_members = members;
        self.reports.next_round = now + bytes * SECOND / MAX_BYTES_PER_SECOND;
        if !all.is_empty() {
            self.effects.push(Effect::Reports(all));
        }
    }

    /// Takes a datagram of another process's reports.
    pub(crate) fn receive_reports(&mut self, payload: &[u8]) {
        let Some((scope, reports)) = decode_reports(payload) else { return };
        let now = self.now.steady;
        match scope {
            Scope::Process => collect(&mut self.reports.from_zone, now, reports),
            Scope::Zone => collect(&mut self.reports.from_others, now, reports),
            Scope::Tier => self.effects.push(Effect::Reports(reports)),
        }
    }

    /// Sends reports to each of these; the number of bytes that each of them gets.
    fn send_reports(&mut self, scope: Scope, reports: &[WorkerReport], to: &[SocketAddr]) -> Time {
        let payloads: Vec<Bytes> =
            encode_reports(scope, reports, MOST).into_iter().map(Bytes::from).collect();
        for at in to {
            self.effects
                .extend(payloads.iter().map(|bytes| Effect::Datagram { to: *at, bytes: bytes.clone() }));
        }
        payloads.iter().map(|bytes| bytes.len() as Time).sum()
    }
}
