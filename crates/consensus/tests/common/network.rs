//! Links that lose, duplicate and delay messages, and what goes over them.

use bytes::Bytes;
use rainlug_consensus::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::MILLIS;

/// The id of a snapshot's chunk among the bodies of messages.
const INSTALL_SNAPSHOT: u8 = 6;

/// The id of the request to campaign at once.
pub const TIMEOUT_NOW: u8 = 8;

/// Probabilities for each message.
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    /// That it is delayed; also that a disk takes long.
    pub delay: f64,
}

impl Network {
    pub const CALM: Network = Network { loss: 0.0, duplication: 0.0, delay: 0.0 };

    /// How long a message takes. In order where the network is calm, as on one connection.
    pub fn latency(&self, rng: &mut ChaCha8Rng) -> Time {
        let is_delayed = rng.random_bool(self.delay);
        match (self.delay > 0.0, is_delayed) {
            (false, _) => MILLIS,
            (true, false) => rng.random_range(100..3 * MILLIS),
            (true, true) => rng.random_range(MILLIS..150 * MILLIS),
        }
    }
}

/// Bytes sent to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: usize,
    /// Of them in chunks of snapshots.
    pub snapshot_bytes: usize,
    pub in_flight_bytes: usize,
    pub max_in_flight_bytes: usize,
}

impl Traffic {
    pub fn count_sent(&mut self, message: &[u8]) {
        self.bytes += message.len();
        self.snapshot_bytes += if is_snapshot_chunk(message) { message.len() } else { 0 };
        self.in_flight_bytes += message.len();
        self.max_in_flight_bytes = self.max_in_flight_bytes.max(self.in_flight_bytes);
    }

    pub fn count_received(&mut self, message: &[u8]) {
        self.in_flight_bytes -= message.len();
    }
}

/// All that was sent and all that disks were to keep, in order.
#[derive(Default)]
pub struct Trace {
    pub messages: Vec<Bytes>,
    pub records: Vec<Bytes>,
}

/// Where a message's body begins: behind receiver, sender and term.
fn body_offset(bytes: &[u8]) -> usize {
    let length = |offset: usize| usize::from(u16::from_le_bytes([bytes[offset], bytes[offset + 1]]));
    let zone_offset = 18 + length(16);
    let address_offset = zone_offset + 2 + length(zone_offset);
    let term_offset = address_offset + 1 + 16 + 2 + 4 + 4;
    term_offset + 8
}

/// The id of a message's body.
pub fn body_code(bytes: &[u8]) -> u8 {
    bytes[body_offset(bytes)]
}

/// The request to campaign at once, from the sender of a message to its receiver and in its term.
pub fn timeout_now(message: &[u8]) -> Bytes {
    let mut bytes = message[..body_offset(message)].to_vec();
    bytes.push(TIMEOUT_NOW);
    Bytes::from(bytes)
}

pub fn is_snapshot_chunk(message: &[u8]) -> bool {
    body_code(message) == INSTALL_SNAPSHOT
}

/// The message with another last byte.
pub fn flip_last(message: &Bytes) -> Bytes {
    let mut bytes = message.to_vec();
    if let Some(last) = bytes.last_mut() {
        *last ^= 1;
    }
    Bytes::from(bytes)
}
