//! A worker as it registers itself.

use std::net::SocketAddr;

use crate::Findings;
use crate::json::{ObjectReader, Value};

/// The most bytes that an id, or the name of a service or zone, may have.
pub const MAX_NAME_BYTES: usize = 256;

/// The phase of a worker's lifecycle. It only ever advances, but for [`Unresponsive`](Phase::Unresponsive), from which its next
/// heartbeat returns it to [`Ready`](Phase::Ready). The numbers are on the wire, and later phases compare as greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes requests.
    #[default]
    Ready,
    /// Several of its heartbeats are missing.
    Unresponsive,
    /// It finishes what it has and takes no more requests (graceful shutdown).
    Draining,
    /// It has deregistered.
    Gone,
}

/// One process of a worker. Its `id` is never used again; its address may be, by another service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// What it calls itself, unique in time and space.
    pub id: String,
    /// The service that it serves, by the name in the [`Configuration`](crate::Configuration).
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain; empty where it did not say.
    pub zone: String,
    /// Requests that it runs at once; 0 where it did not say.
    pub slots: u32,
    /// The phase of its lifecycle.
    pub phase: Phase,
    /// How much longer it stays slow after its start (slow start), in milliseconds from its heartbeat.
    pub warm_up_left_ms: u32,
    /// Increases with each of its calls: of two states of a worker the one with the higher number is newer.
    pub call_seq: u64,
}

impl Worker {
    /// The tombstone of a worker of which nothing but its end is known.
    pub fn tombstone(id: String) -> Self {
        Self {
            id,
            service: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: String::new(),
            slots: 0,
            phase: Phase::Gone,
            warm_up_left_ms: 0,
            call_seq: 0,
        }
    }

    /// Whether nothing but its end is known.
    pub fn is_tombstone(&self) -> bool {
        self.phase == Phase::Gone && self.service.is_empty()
    }

    /// Parses the body of a heartbeat, `PUT /v1/workers/ID`. Unknown fields are ignored.
    ///
    /// # Errors
    /// All that is wrong with it; the path of the id is `/id`.
    pub fn parse(id: &str, body: &[u8]) -> Result<Self, Findings> {
        let body = Value::parse_object(body)?;
        let mut findings = Findings::default();
        let mut fields = ObjectReader::of_document(&body, &mut findings);
        if id.is_empty() {
            fields.add_finding("id", "an id expected");
        }
        let service = fields.required_string("service").unwrap_or_default();
        let zone = fields.string("zone").unwrap_or_default();
        for (field, name) in [("id", id), ("service", &service), ("zone", &zone)] {
            if name.len() > MAX_NAME_BYTES {
                fields.add_finding(field, "at most 256 bytes expected");
            }
        }
        let address = fields.required_string("address").map(|address| address.parse());
        if let Some(Err(_)) = address {
            fields.add_finding("address", "IP:PORT expected");
        }
        let phase = parse_phase(&mut fields);
        let slots = fields.integer_u32("slots").unwrap_or(0);
        let warm_up_left_ms =
            fields.integer("cold_left_ms").map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX));
        let call_seq = fields.integer("call_seq").unwrap_or(0);
        match address {
            Some(Ok(address)) if findings.is_empty() => Ok(Self {
                id: id.to_owned(),
                service,
                address,
                zone,
                slots,
                phase,
                warm_up_left_ms,
                call_seq,
            }),
            _ => Err(findings),
        }
    }
}

fn parse_phase(fields: &mut ObjectReader) -> Phase {
    match fields.required_string("state").as_deref() {
        Some("draining") => Phase::Draining,
        Some("ready") => Phase::Ready,
        Some(_) => {
            fields.add_finding("state", "ready or draining expected");
            Phase::Ready
        }
        None => Phase::Ready,
    }
}
