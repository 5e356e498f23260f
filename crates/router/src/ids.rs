//! Identifiers of queries, parts, backends, shards, zones and classes, and the unit of time.

/// A duration, or an instant of the caller's clock, in microseconds.
pub type Micros = u64;

/// Identifies a query. Assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u128);

/// Identifies a part of a query. Unique over all queries and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u128);

/// Identifies a backend: a server that holds replicas of some shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// Shard number, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Identifies a zone: a location with its own backends and routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Position of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
