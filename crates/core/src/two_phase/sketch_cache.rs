//! A cache of sketches, so that a query repeated within a short time can skip its first phase.
//!
//! Sketches are keyed by predicate and block. Their number and age are limited, and they are invalidated when
//! they may be outdated: when a backend with a replica of the block restarted, drains or was removed, or when
//! another backend has one now. A cached sketch only decides the order of fetches: a response that depends on
//! one is never exact.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_router::{Micros, ShardId};

use super::sketch::Sketch;

/// The limits of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SketchCacheLimits {
    /// Maximum number of sketches; 0 disables the cache.
    pub entries: usize,
    /// Maximum age of a sketch, in microseconds.
    pub age: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SketchKey {
    /// Hash of the query's body.
    predicate: u64,
    shard: ShardId,
}

#[derive(Debug)]
struct CachedSketch {
    stored_at: Micros,
    sketch: Sketch,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AgeEntry {
    stored_at: Micros,
    key: SketchKey,
}

/// A cache of sketches, limited in number and age.
#[derive(Debug)]
pub struct SketchCache {
    limits: SketchCacheLimits,
    entries: BTreeMap<SketchKey, CachedSketch>,
    by_age: BTreeSet<AgeEntry>,
}

impl SketchCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(limits: SketchCacheLimits) -> Self {
        Self { limits, entries: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    /// Caches a reported sketch, and evicts the oldest one if necessary.
    pub fn insert(&mut self, now: Micros, predicate: u64, shard: ShardId, sketch: Sketch) {
        if self.limits.entries == 0 {
            return;
        }
        let key = SketchKey { predicate, shard };
        if let Some(previous) = self.entries.insert(key, CachedSketch { stored_at: now, sketch }) {
            self.by_age.remove(&AgeEntry { stored_at: previous.stored_at, key });
        }
        self.by_age.insert(AgeEntry { stored_at: now, key });
        while self.entries.len() > self.limits.entries {
            if let Some(oldest) = self.by_age.pop_first() {
                self.entries.remove(&oldest.key);
            }
        }
    }

    /// Returns the sketch of a block, unless it is too old.
    #[must_use]
    pub fn get(&self, now: Micros, predicate: u64, shard: ShardId) -> Option<Sketch> {
        let cached = self.entries.get(&SketchKey { predicate, shard })?;
        (cached.stored_at + self.limits.age > now).then_some(cached.sketch)
    }

    /// Discards the sketches of blocks on these shards.
    pub fn invalidate(&mut self, is_outdated: impl Fn(ShardId) -> bool) {
        let by_age = &mut self.by_age;
        self.entries.retain(|&key, cached| {
            let outdated = is_outdated(key.shard);
            if outdated {
                by_age.remove(&AgeEntry { stored_at: cached.stored_at, key });
            }
            !outdated
        });
    }

    /// Returns the number of cached sketches.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }
}
