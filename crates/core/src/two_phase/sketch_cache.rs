//! What scouts reported, cached for a short while so that a repeated query can skip its first phase.
//!
//! Sketches are known by predicate and block. They are bounded in number and age, and discarded with whatever
//! makes them doubtful: a backend that held the block restarted, drains or left, or another one holds it now.
//! A cached sketch only says where to look first: a response that rests on one is never `exact`.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_router::{Micros, ShardId};

use super::sketch::Sketch;

/// The limits of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SketchCacheLimits {
    /// Most sketches; with 0 none are cached.
    pub entries: usize,
    /// How long a sketch counts, in microseconds.
    pub age: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SketchKey {
    /// A hash of what the query asks.
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

/// The cached sketches.
#[derive(Debug)]
pub struct SketchCache {
    limits: SketchCacheLimits,
    entries: BTreeMap<SketchKey, CachedSketch>,
    by_age: BTreeSet<AgeEntry>,
}

impl SketchCache {
    /// An empty cache.
    #[must_use]
    pub fn new(limits: SketchCacheLimits) -> Self {
        Self { limits, entries: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    /// Caches what a scout reported; the oldest sketch is evicted for it if necessary.
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

    /// What is known of a block.
    #[must_use]
    pub fn get(&self, now: Micros, predicate: u64, shard: ShardId) -> Option<Sketch> {
        let cached = self.entries.get(&SketchKey { predicate, shard })?;
        (cached.stored_at + self.limits.age > now).then_some(cached.sketch)
    }

    /// Discards the sketches of these blocks.
    pub fn invalidate(&mut self, is_doubtful: impl Fn(ShardId) -> bool) {
        let by_age = &mut self.by_age;
        self.entries.retain(|&key, cached| {
            let doubtful = is_doubtful(key.shard);
            if doubtful {
                by_age.remove(&AgeEntry { stored_at: cached.stored_at, key });
            }
            !doubtful
        });
    }

    /// How many sketches are cached.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }
}
