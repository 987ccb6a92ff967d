//! What all processes see of workers, told to all. Each process sends what it saw to its zone's relay; relays tell one another, and
//! each tells all of it to the processes of its zone. A relay is found by rendezvous hash among those that live, so that it needs no
//! ballot: two that take each other's place for a while, or none, cost nothing but news. Datagrams may be lost, and are not repeated.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rainlug_fleet::MOST;
use rainlug_registry::WorkerReport;
use rainlug_registry::report::{Scope, decode_reports, encode_reports};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Coordinator, Effect, Now};

/// What a relay sends to one process of its zone, at most, over time.
const BYTES_PER_SECOND: Time = 3_000;
/// What is collected for longer than this, because nobody relays it, is dropped.
const STALE: Time = 2 * SECOND;

/// A report, and when it came.
type Collected = BTreeMap<u32, (WorkerReport, Time)>;

/// A process's part in the exchange.
#[derive(Default)]
pub(crate) struct ReportExchange {
    /// The relay of this process's zone, where that is another one.
    relay: Option<SocketAddr>,
    /// The other processes of this zone, and the relays of the other zones.
    zone_members: Vec<SocketAddr>,
    other_relays: Vec<SocketAddr>,
    /// As a relay: what this zone's processes saw, and what other zones' did.
    from_zone: Collected,
    from_others: Collected,
    next_round: Time,
}

/// The process that relays for those at these addresses.
fn relay_of(members: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    members.max_by_key(|at| xxh3_64_with_seed(at.to_string().as_bytes(), 2))
}

fn collect(into: &mut Collected, now: Time, reports: impl IntoIterator<Item = WorkerReport>) {
    for report in reports {
        let merged = into.get(&report.worker).map_or(report, |(known, at)| {
            let mut known = aged(known, *at, now);
            known.merge(&report);
            known
        });
        into.insert(report.worker, (merged, now));
    }
}

fn aged(report: &WorkerReport, since: Time, now: Time) -> WorkerReport {
    report.aged(u16::try_from((now - since) / 1_000).unwrap_or(u16::MAX))
}

/// Takes what was collected, as it is now.
fn drain(from: &mut Collected, now: Time) -> Vec<WorkerReport> {
    let fresh = std::mem::take(from).into_values().filter(|(_, at)| now - *at <= STALE);
    fresh.map(|(report, at)| aged(&report, at, now)).collect()
}

impl ReportExchange {
    /// Who lives, by zone, but for this process.
    pub fn members(&mut self, zone: &str, me: SocketAddr, mut zones: BTreeMap<String, Vec<SocketAddr>>) {
        self.zone_members = zones.remove(zone).unwrap_or_default();
        let own = self.zone_members.iter().copied().chain([me]);
        self.relay = relay_of(own).filter(|at| *at != me);
        self.other_relays = zones.into_values().filter_map(|members| relay_of(members.into_iter())).collect();
    }
}

impl Coordinator {
    /// What this process's data plane saw of workers since the last call; to be called several times a second.
    pub fn report(&mut self, now: Now, seen: Vec<WorkerReport>) {
        self.now = now;
        if let Some(relay) = self.reports.relay {
            return self.send_reports(Scope::Process, &seen, &[relay]);
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
        let bytes = self.send_reports_counted(Scope::Tier, &all, &members);
        self.reports.zone_members = members;
        self.reports.next_round = now + bytes * SECOND / BYTES_PER_SECOND;
        if !all.is_empty() {
            self.effects.push(Effect::Reports(all));
        }
    }

    /// A datagram of another process's reports.
    pub(crate) fn receive_reports(&mut self, payload: &[u8]) {
        let Some((scope, reports)) = decode_reports(payload) else { return };
        let now = self.now.steady;
        match scope {
            Scope::Process => collect(&mut self.reports.from_zone, now, reports),
            Scope::Zone => collect(&mut self.reports.from_others, now, reports),
            Scope::Tier => self.effects.push(Effect::Reports(reports)),
        }
    }

    fn send_reports(&mut self, scope: Scope, reports: &[WorkerReport], to: &[SocketAddr]) {
        self.send_reports_counted(scope, reports, to);
    }

    /// Sends reports to each of these; the bytes that each of them gets.
    fn send_reports_counted(&mut self, scope: Scope, reports: &[WorkerReport], to: &[SocketAddr]) -> Time {
        let payloads: Vec<Bytes> =
            encode_reports(scope, reports, MOST).into_iter().map(Bytes::from).collect();
        for at in to {
            self.effects
                .extend(payloads.iter().map(|bytes| Effect::Datagram { to: *at, bytes: bytes.clone() }));
        }
        payloads.iter().map(|bytes| bytes.len() as Time).sum()
    }
}
