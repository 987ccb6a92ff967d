//! Settings of the replicas of all shards, and the reason for each.

use rainlug::SECOND;
use rainlug_consensus::Settings;

use crate::sharding::{ShardContent, content_of};
use crate::{BATCH_SHARDS, NodeInfo, capacity};

/// A shard's log is rewritten once it takes one in so many of the disk's bytes, at the earliest: a store that is a member of every
/// shard then has a quarter of its disk in logs before the first rewrite.
pub(crate) const LOGS_PER_DISK: usize = 4 * BATCH_SHARDS as usize;

/// A shard of primitives takes so many bytes of log before it is rewritten, and its leader keeps so many for members that lag, as its
/// state is small: one in so many of the disk's bytes, this many at most.
const PRIMITIVE_LOGS_PER_DISK: usize = 64;
const MAX_PRIMITIVE_LOG_BYTES: usize = 1 << 20;

/// The settings of this process's replica of a shard.
pub(crate) fn replica_settings(info: &NodeInfo, shard: u16) -> Settings {
    let settings = store_settings(info);
    if content_of(shard) != ShardContent::Primitives {
        return settings;
    }
    let log_bytes = (info.disk_bytes / PRIMITIVE_LOGS_PER_DISK).min(MAX_PRIMITIVE_LOG_BYTES);
    Settings { compaction_threshold_bytes: log_bytes, max_lag_bytes: log_bytes, ..settings }
}

fn store_settings(info: &NodeInfo) -> Settings {
    Settings {
        // A fraction of the election timeout, so that one lost message does not lead to an election (`docs/control.md`).
        heartbeat_interval: SECOND / 10,
        // Drawn from there up to twice that: a lost leader is replaced within about a second, for which callers wait.
        election_timeout: 4 * SECOND / 10,
        // As many disks as may be lost at once, and one more.
        min_replicas: info.tolerated_failures + 1,
        // The leader's link carries a few messages of this size at once, one for each follower; one that is not answered within a
        // heartbeat is sent again, so it must be small beside what a link carries in that time (`docs/control-bounds.md`).
        max_message_bytes: 128 << 10,
        // Large enough that rewrites are rare; the least is for disks so small that their share would mean constant rewriting, the most
        // bounds what a restart reads.
        compaction_threshold_bytes: (info.disk_bytes / LOGS_PER_DISK).clamp(4 << 20, 256 << 20),
        // Memory of the leader; a follower that lacks more gets a snapshot, for which it needs the disk space of a second copy.
        max_lag_bytes: capacity::lag_bytes(info.disk_bytes),
    }
}
