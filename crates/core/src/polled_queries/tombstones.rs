//! Tombstones of evicted non-idempotent polled queries, which ensure that these are not executed again.
//!
//! A tombstone represents a key for the rest of its outcome's retention. After that, only one timestamp is
//! kept for all of them: a ticket created at or before it may belong to a forgotten query.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use mallowgauge_router::Micros;

use super::{PolledQueryKey, PolledQuerySpec};

/// Maximum tombstones per polled query that may be kept: a tombstone needs a small fraction of a query's
/// memory.
const TOMBSTONES_PER_QUERY: usize = 16;

/// A hash of a key. Equal keys have equal hashes, which is sufficient: if two keys collide, one of them is
/// rejected unnecessarily.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyHash(u64);

impl KeyHash {
    fn of(key: &PolledQueryKey) -> Self {
        Self(BuildHasherDefault::<DefaultHasher>::default().hash_one(key))
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Micros,
    key: KeyHash,
}

/// The tombstones, up to [`TOMBSTONES_PER_QUERY`] per polled query that may be kept.
#[derive(Debug)]
pub(super) struct Tombstones {
    capacity: usize,
    /// Creation time of each tombstone's query.
    created_at: BTreeMap<KeyHash, Micros>,
    expiries: BTreeSet<Expiry>,
    /// Queries created at or before this time may have been forgotten entirely.
    forgotten_until: Option<Micros>,
}

impl Tombstones {
    /// Creates an empty set, for up to `queries` polled queries.
    pub(super) fn new(queries: usize) -> Self {
        Self {
            capacity: queries * TOMBSTONES_PER_QUERY,
            created_at: BTreeMap::new(),
            expiries: BTreeSet::new(),
            forgotten_until: None,
        }
    }

    /// Returns whether a query may have been executed and forgotten. Without a ticket, and so without a
    /// creation time, only a tombstone of its key proves that.
    pub(super) fn cover(&self, key: &PolledQueryKey, spec: &PolledQuerySpec) -> bool {
        let has_tombstone = self.created_at.contains_key(&KeyHash::of(key));
        has_tombstone
            || spec.ticket_created_at.is_some_and(|created_at| Some(created_at) <= self.forgotten_until)
    }

    /// Adds a tombstone that expires at `at`. Returns `false` if there is no capacity for one.
    pub(super) fn insert(&mut self, key: &PolledQueryKey, created_at: Micros, at: Micros) -> bool {
        if self.created_at.len() >= self.capacity {
            return false;
        }
        let key = KeyHash::of(key);
        self.created_at.insert(key, created_at);
        self.expiries.insert(Expiry { at, key });
        true
    }

    /// Records that a query created at this time is forgotten entirely.
    pub(super) fn forget(&mut self, created_at: Micros) {
        self.forgotten_until = self.forgotten_until.max(Some(created_at));
    }

    /// Returns when the first tombstone expires.
    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Removes expired tombstones.
    pub(super) fn handle_timeout(&mut self, now: Micros) {
        while self.poll_timeout().is_some_and(|at| at <= now) {
            let created_at = self.expiries.pop_first().and_then(|expiry| self.created_at.remove(&expiry.key));
            self.forgotten_until = self.forgotten_until.max(created_at);
        }
    }
}
