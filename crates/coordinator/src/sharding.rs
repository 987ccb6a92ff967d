//! Which shard holds what.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The shard that holds the configuration.
pub const CONTROL: u16 = 0;

/// How many shards of batch jobs there are; they are numbered from 1.
///
/// Each has its own replica set and leader, so repair and load use the links of as many stores. Four replica sets of five members use
/// each of nine to twelve stores about twice; six would spread an emptied store's refill over more leaders yet. But each shard costs
/// heartbeats and disk syncs of its own, and the smallest deployments have three stores that are all members of every shard: there six
/// shards would only cost twice as much as three, and four cost little more than three.
pub const BATCH_SHARDS: u16 = 4;

/// How many shards of primitives (locks, numbers, keys) there are; they are numbered from [`BATCH_SHARDS`] + 1. A leader that is lost
/// stops one of them; each costs heartbeats and disk syncs of its own.
pub const PRIMITIVE_SHARDS: u16 = 2;

/// The last of the shards that stores hold replicas of.
pub const LAST_SHARD: u16 = BATCH_SHARDS + PRIMITIVE_SHARDS;

/// What a shard holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardContent {
    /// The configuration, the stores and the replica sets.
    Configuration,
    /// Batch jobs.
    BatchJobs,
    /// Locks, numbers and keys of applications.
    Primitives,
}

/// What the shard of this number holds.
pub(crate) fn content_of(shard: u16) -> ShardContent {
    match shard {
        CONTROL => ShardContent::Configuration,
        1..=BATCH_SHARDS => ShardContent::BatchJobs,
        _ => ShardContent::Primitives,
    }
}

/// The shard that holds a lock or a number of this name, or a group of keys.
pub fn shard_of_primitive(name: &str) -> u16 {
    BATCH_SHARDS + 1 + (xxh3_64_with_seed(name.as_bytes(), 2) % u64::from(PRIMITIVE_SHARDS)) as u16
}

/// The shard with the quota ledger of a route, which counts the tokens of the route's batch jobs.
pub fn shard_of_route(route: &str) -> u16 {
    1 + (xxh3_64_with_seed(route.as_bytes(), 0) % u64::from(BATCH_SHARDS)) as u16
}

/// The shard that holds a batch job.
pub fn shard_of_job(job: &str) -> u16 {
    1 + (xxh3_64_with_seed(job.as_bytes(), 1) % u64::from(BATCH_SHARDS)) as u16
}
