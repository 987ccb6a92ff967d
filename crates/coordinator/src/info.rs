//! What a process is told at its start about itself and the deployment.
//!
//! All of it comes from the settings file and the machine; only the disk's identity changes while the process runs (see
//! `replica_placement`).

use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rainlug_consensus::MemberId;

use crate::{BATCH_SHARDS, LAST_SHARD};

/// How long batch jobs are kept beyond the time for which they can be asked for, in microseconds: it covers the clocks of two
/// leaders that differ, a read that is under way, and a margin (`docs/control-bounds.md`, *How long outputs stay*).
pub const RETENTION_SLACK: Time = 20 * SECOND;

/// What a process does for the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// It takes clients' requests; with a disk it may also hold a replica of the configuration's shard.
    Gateway,
    /// It holds replicas of the shards of batch jobs and of primitives.
    Store,
}

impl ProcessRole {
    /// Whether the process takes clients' requests.
    pub fn is_gateway(self) -> bool {
        self == ProcessRole::Gateway
    }
}

/// A process's own settings, and the deployment's.
#[derive(Clone, Debug)]
pub struct NodeInfo {
    /// The machine's name, unique in the deployment.
    pub node_name: String,
    /// The failure domain that the machine is in.
    pub zone: String,
    /// Where peers reach this process, by datagrams and by connections.
    pub peer_address: SocketAddr,
    /// Where it serves workers and operators, if it does.
    pub control_address: Option<SocketAddr>,
    /// What the process does for the tier.
    pub role: ProcessRole,
    /// The identity of its disk; none where it has no disk.
    pub disk: Option<MemberId>,
    /// Whether the deployment starts for the first time: seeds then found the configuration's shard.
    pub first_boot: bool,
    /// The peer addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// How many machines with a disk may be lost at once without loss of data or service.
    pub tolerated_failures: usize,
    /// Between two heartbeats of a worker, in microseconds.
    pub heartbeat_interval: Time,
    /// The size of its disk, in bytes.
    pub disk_bytes: usize,
    /// The memory that the whole process may take, in bytes.
    pub memory_bytes: usize,
    /// What its machine's link carries each way; all processes of the machine share it.
    pub link_bytes_per_second: u64,
    /// How soon after its start a machine with an empty disk must have all of its replicas again, in microseconds.
    pub sync_time: Time,
    /// Whether a call that nobody answers is sent once more through another process; experiments leave that out.
    pub relays_enabled: bool,
    /// How long batch jobs are kept after they were submitted, in microseconds.
    pub job_retention: Time,
    /// Whether locks, numbers and keys of applications are served: their shards are then founded.
    pub serves_primitives: bool,
    /// How long puts to keys are kept for watches, in microseconds.
    pub watch_history: Time,
    /// Seeds the random number generator.
    pub seed: u64,
}

impl NodeInfo {
    /// The last of the shards that the deployment's stores hold.
    pub fn last_shard(&self) -> u16 {
        if self.serves_primitives { LAST_SHARD } else { BATCH_SHARDS }
    }

    /// The members of a replica set when nothing is lost: a majority is left after `tolerated_failures` losses at once.
    pub fn target_members(&self) -> usize {
        2 * self.tolerated_failures + 1
    }

    /// The fewest members that a replica set may have: half of them are left after `tolerated_failures` losses, and each
    /// committed entry is on more disks than are lost (`docs/control.md`, *Losses one after the other*).
    pub fn min_members(&self) -> usize {
        (2 * self.tolerated_failures).max(self.tolerated_failures + 1)
    }
}
