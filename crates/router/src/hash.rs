//! Hashes that are stable across builds and runs, for choices that must not use a random draw.

use crate::ids::{QueryId, ShardId};

/// Maps a hash to a number from 0 to below 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Hashes a query and a shard.
pub(crate) fn hash_query_shard(query: QueryId, shard: ShardId) -> u64 {
    combine((query.0 >> 64) as u64 ^ combine(query.0 as u64, shard.0), shard.0)
}

/// Mixes a value into a hash with the finalizer of SplitMix64.
pub(crate) fn combine(hash: u64, value: u32) -> u64 {
    let mut x = hash ^ u64::from(value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
