//! What scouts have said, kept for a short while so that a repeated search can skip its first phase.
//!
//! Sketches are known by predicate and block. They are bounded in entries and age, and thrown away with
//! whatever makes them doubtful: a host that held the block started anew, drains or left, or another holds it
//! now. A sketch that is kept is still only a hint of where to look first: an answer that rests on one never
//! says `exact`.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_router::{Micros, ShardId};

use super::merge::Sketch;

/// The bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most sketches.
    pub entries: usize,
    /// They count for so long.
    pub age: Micros,
}

type Key = (u64, ShardId);

/// The sketches that are kept.
#[derive(Debug)]
pub struct Sketches {
    bounds: Bounds,
    entries: BTreeMap<Key, (Micros, Sketch)>,
    by_age: BTreeSet<(Micros, Key)>,
}

impl Sketches {
    /// None yet.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, entries: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    /// A scout has spoken.
    pub fn put(&mut self, now: Micros, predicate: u64, shard: ShardId, sketch: Sketch) {
        if self.bounds.entries == 0 {
            return;
        }
        let key = (predicate, shard);
        if let Some((at, _)) = self.entries.insert(key, (now, sketch)) {
            self.by_age.remove(&(at, key));
        }
        self.by_age.insert((now, key));
        while self.entries.len() > self.bounds.entries {
            if let Some((_, oldest)) = self.by_age.pop_first() {
                self.entries.remove(&oldest);
            }
        }
    }

    /// What is known of a block.
    #[must_use]
    pub fn get(&self, now: Micros, predicate: u64, shard: ShardId) -> Option<Sketch> {
        let (at, sketch) = self.entries.get(&(predicate, shard))?;
        (*at + self.bounds.age > now).then_some(*sketch)
    }

    /// Something has happened to holders of these blocks.
    pub fn forget(&mut self, doubtful: impl Fn(ShardId) -> bool) {
        let by_age = &mut self.by_age;
        self.entries.retain(|key, (at, _)| {
            let stays = !doubtful(key.1);
            if !stays {
                by_age.remove(&(*at, *key));
            }
            stays
        });
    }

    /// How many are kept.
    #[must_use]
    pub fn held(&self) -> usize {
        self.entries.len()
    }
}
