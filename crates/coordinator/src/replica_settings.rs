//! Settings of the replicas of all shards, and the reason for each.

use rainlug::SECOND;
use rainlug_consensus::Settings;

use crate::{BATCH_SHARDS, NodeInfo, capacity};

/// A shard's log is rewritten once it takes one in so many of the disk's bytes, at the earliest: a store that is a member of every
/// shard then has a quarter of its disk in logs before the first rewrite.
pub(crate) const LOGS_PER_DISK: usize = 4 * BATCH_SHARDS as usize;

/// The settings of each replica of this process.
pub(crate) fn replica_settings(info: &NodeInfo) -> Settings {
    Settings {
        heartbeat_interval: SECOND / 10,
        election_timeout: 4 * SECOND / 10,
        min_replicas: info.tolerated_failures + 1,
        // Of this are a few copies on the leader's link at once, one for each follower.
        max_message_bytes: 128 << 10,
        compaction_threshold_bytes: (info.disk_bytes / LOGS_PER_DISK).clamp(4 << 20, 256 << 20),
        // A snapshot instead takes the room of a second copy at who lags.
        max_lag_bytes: capacity::lag_bytes(info.disk_bytes),
    }
}
