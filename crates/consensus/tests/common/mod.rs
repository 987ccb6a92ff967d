//! Replicas on a virtual clock, with disks, a network and a checker of what must hold at all times.
#![allow(dead_code, unused_imports, reason = "not every test uses all of it")]

mod cluster;
mod network;
mod node;

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug_consensus::{
    Index, MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, Member, MemberId, Ready, RestoreStep, Settings, Time,
};

pub use self::cluster::{Cluster, Fault};
pub use self::network::{Network, TIMEOUT_NOW, Trace, Traffic, body_code, timeout_now};
pub use self::node::Node;

pub const MILLIS: Time = 1_000;
pub const SECOND: Time = 1_000_000;

/// Settings under which little has to happen before messages are split, logs compacted and snapshots sent.
pub fn settings(min_replicas: usize) -> Settings {
    Settings {
        heartbeat_interval: 50 * MILLIS,
        election_timeout: 200 * MILLIS,
        min_replicas,
        max_message_bytes: 400,
        compaction_threshold_bytes: 4_000,
        max_lag_bytes: 1_000,
    }
}

pub fn member(id: MemberId) -> Member {
    let port = u16::try_from(1000 + id % 50_000).expect("a small number");
    Member {
        id,
        name: format!("member-{id}"),
        zone: format!("zone-{}", id % 3),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

pub fn members(ids: &[MemberId]) -> Vec<Member> {
    ids.iter().map(|&id| member(id)).collect()
}

/// The state of the harness's state machine: the indexes and ids of all commands.
pub fn encode(applied: &[(Index, u64)]) -> Bytes {
    let flat: Vec<u8> =
        applied.iter().flat_map(|(index, id)| [index.to_le_bytes(), id.to_le_bytes()].concat()).collect();
    Bytes::from(flat)
}

fn decode(state: &[u8]) -> Vec<(Index, u64)> {
    let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
    state.chunks(16).map(|pair| (number(&pair[..8]), number(&pair[8..]))).collect()
}

/// Whether a state machine gets more to do at once than it may: one chunk or command alone may be longer.
pub fn is_more_than_bounded(ready: &Ready) -> bool {
    let chunks = ready.restore.iter().map(|step| match step {
        RestoreStep::Chunk(chunk) => chunk.len(),
        _ => 0,
    });
    let commands = ready.committed.iter().map(|(_, command)| command.len());
    let lengths: Vec<usize> = chunks.chain(commands).collect();
    let bytes: usize = lengths.iter().sum();
    lengths.len() > MAX_APPLY_ENTRIES || lengths.len() > 1 && bytes > MAX_APPLY_BYTES
}

/// Whether a leader of the newest term lacks something that was handed out as committed anywhere. Nobody else commits once it
/// leads, and it commits all that was committed before with the first entry of its own term.
pub fn leads_with_old_state(applied: &[(Index, u64)], history: &[(Index, u64)]) -> bool {
    applied.len() < history.len()
}
