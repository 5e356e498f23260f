//! Names of the things that a router deals with, and its unit of time.

/// A length of time or a point of the caller's clock, in microseconds.
pub type Micros = u64;

/// Names one query. The value is the caller's; it never repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u128);

/// Names one part of a query. Never repeats, and is distinct over all queries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u128);

/// Names one server, a machine that holds replicas of some shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// Number of a shard, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Names one zone, a place with its own servers and routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
