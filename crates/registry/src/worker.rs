//! A worker as it tells of itself.

use std::net::SocketAddr;

use crate::Findings;
use crate::json::{Reader, Value};

/// The most bytes that an id, or the name of a service or zone, may have.
pub const MAX_NAME_BYTES: usize = 256;

/// Where a worker is in its life. Only ever goes on, but from `Silent` back to `Ready` or `Draining` by its next beat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    #[default]
    Ready,
    /// Several beats have not come.
    Unresponsive,
    Draining,
    /// Said goodbye.
    Gone,
}

/// One process of a worker. Its `id` is never used again; its address may be, by another service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub phase: Phase,
    /// How much longer it stays slow from its start, in milliseconds, as of the beat.
    pub warm_up_left_ms: u32,
    /// Goes up with every call: of two tales the higher is newer.
    pub call_seq: u64,
}

impl Worker {
    /// That a worker is gone of which nothing else is known here.
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

    /// Whether only its end is known.
    pub fn is_tombstone(&self) -> bool {
        self.phase == Phase::Gone && self.service.is_empty()
    }

    /// Reads the body of a beat, `PUT /v1/workers/ID`. Unknown fields are ignored.
    ///
    /// # Errors
    /// What is wrong with it, with its place (that of the id is `/id`).
    pub fn parse(id: &str, body: &[u8]) -> Result<Self, Findings> {
        let whole = Value::read(body)?;
        if !matches!(whole, Value::Object(_)) {
            return Err(Findings::of_document("an object expected".to_owned()));
        }
        let mut findings = Findings::default();
        let mut from = Reader { object: &whole, place: String::new(), findings: &mut findings };
        if id.is_empty() {
            from.wrong("id", "an id expected");
        }
        let service = from.need("service").unwrap_or_default();
        let zone = from.text("zone").unwrap_or_default();
        for (field, text) in [("id", id), ("service", &service), ("zone", &zone)] {
            if text.len() > MAX_NAME_BYTES {
                from.wrong(field, "at most 256 bytes expected");
            }
        }
        let address = from.need("address").map(|text| text.parse());
        if let Some(Err(_)) = address {
            from.wrong("address", "IP:PORT expected");
        }
        let phase = match from.need("state").as_deref() {
            Some("draining") => Phase::Draining,
            Some("ready") => Phase::Ready,
            Some(_) => {
                from.wrong("state", "ready or draining expected");
                Phase::Ready
            }
            None => Phase::Ready,
        };
        let slots = from.integer_u32("slots").unwrap_or(0);
        let warm_up_left_ms =
            from.whole("cold_left_ms").map_or(0, |ms| u32::try_from(ms).unwrap_or(u32::MAX));
        let call_seq = from.whole("call_seq").unwrap_or(0);
        match address {
            Some(Ok(address)) if findings.0.is_empty() => Ok(Self {
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
