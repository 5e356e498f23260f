//! What is left of non-idempotent polled queries that had to be evicted: enough to never execute them again.
//!
//! A tombstone stands for an id, for as long as the outcome was to be retained. After that only one instant is
//! left for all of them: a ticket that was created up to then may belong to a query that has been forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use mallowgauge_router::Micros;

use super::{PolledQueryKey, PolledQuerySpec};

/// Tombstones for each polled query that may be known: a tombstone takes a small part of a query's memory.
const TOMBSTONES_PER_QUERY: usize = 16;

/// A hash of a key. Equal keys have equal hashes, which is all that is needed: where two keys share one by
/// chance, one of them is rejected.
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

/// The tombstones, at most so many for each polled query that may be known.
#[derive(Debug)]
pub(super) struct Tombstones {
    capacity: usize,
    /// When the query was created that each tombstone stands for.
    created_at: BTreeMap<KeyHash, Micros>,
    expiries: BTreeSet<Expiry>,
    /// Queries that were created up to then may have been forgotten entirely.
    forgotten_until: Option<Micros>,
}

impl Tombstones {
    /// None yet, where `queries` polled queries may be known.
    pub(super) fn new(queries: usize) -> Self {
        Self {
            capacity: queries * TOMBSTONES_PER_QUERY,
            created_at: BTreeMap::new(),
            expiries: BTreeSet::new(),
            forgotten_until: None,
        }
    }

    /// Whether a query may have been executed and forgotten. Without a ticket that says when it was created
    /// only its own tombstone tells.
    pub(super) fn cover(&self, key: &PolledQueryKey, spec: &PolledQuerySpec) -> bool {
        let has_own = self.created_at.contains_key(&KeyHash::of(key));
        has_own || spec.ticket_created_at.is_some_and(|created_at| Some(created_at) <= self.forgotten_until)
    }

    /// Leaves a tombstone that expires at `at`; `false` if there is no capacity for one.
    pub(super) fn insert(&mut self, key: &PolledQueryKey, created_at: Micros, at: Micros) -> bool {
        if self.created_at.len() >= self.capacity {
            return false;
        }
        let key = KeyHash::of(key);
        self.created_at.insert(key, created_at);
        self.expiries.insert(Expiry { at, key });
        true
    }

    /// A query that was created then is forgotten entirely.
    pub(super) fn forget(&mut self, created_at: Micros) {
        self.forgotten_until = self.forgotten_until.max(Some(created_at));
    }

    /// When the first tombstone expires.
    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Removes tombstones that have expired.
    pub(super) fn handle_timeout(&mut self, now: Micros) {
        while self.poll_timeout().is_some_and(|at| at <= now) {
            let created_at = self.expiries.pop_first().and_then(|expiry| self.created_at.remove(&expiry.key));
            self.forgotten_until = self.forgotten_until.max(created_at);
        }
    }
}
