//! A worker as it tells of itself.

use std::net::SocketAddr;

/// Where a worker is in its life. Only ever goes on, but from `Silent` back to `Ready` or `Draining` by its next beat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    #[default]
    Ready,
    /// Several beats have not come.
    Silent,
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
    pub cold_left_ms: u32,
    /// Goes up with every call: of two tales the higher is newer.
    pub call_seq: u64,
}

impl Worker {
    /// Reads the body of a beat, `PUT /v1/workers/ID`.
    ///
    /// # Errors
    /// What is wrong with it, with its place.
    pub fn read(_id: &str, _body: &[u8]) -> Result<Self, crate::Findings> {
        todo!(
            "nanoserde; service, address, zone, slots, state ready|draining, cold_left_ms, call_seq; unknown fields ignored"
        )
    }
}
