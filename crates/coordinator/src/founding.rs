//! The founding replica set of the configuration's shard, which all seeds derive from the settings alone.

use std::net::SocketAddr;

use rainlug_consensus::{Member, MemberId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The identity of a seed's disk on first boot. It follows from the seed's address, so that all seeds know it without a message.
pub fn founding_id(at: SocketAddr) -> MemberId {
    xxh3_64_with_seed(at.to_string().as_bytes(), 0x666f_756e_6465_7273).max(1)
}

/// The founding members of the configuration's shard: one for each seed, in the order of their addresses.
pub(crate) fn founding_members(seeds: &[SocketAddr]) -> Vec<Member> {
    let mut seeds = seeds.to_vec();
    seeds.sort_unstable();
    seeds.dedup();
    let founder = |at: SocketAddr| Member {
        id: founding_id(at),
        name: String::new(),
        zone: String::new(),
        address: at,
    };
    seeds.into_iter().map(founder).collect()
}
