//! Which replica a part is sent to.
//!
//! The candidates are the ready backends that hold the shard, have no attempt of the part in flight, and may
//! be sent one more part by the slow-start rule. They are ordered by these criteria, and the first is chosen:
//! 1. healthy before ejected, and among ejected ones the lowest failure score;
//! 2. no earlier attempt of this part was sent to it;
//! 3. fewest of this router's own calls (or parts, where a call carries only one) in flight;
//! 4. in the router's own zone, if traffic between zones costs;
//! 5. a hash of query, shard and backend, weighted by the capacity that a backend has while it warms up.

use std::collections::BTreeMap;

use crate::backend::Backend;
use crate::hash::{combine, hash_query_shard, unit_interval};
use crate::ids::{BackendId, ZoneId};
use crate::query::{CallId, Part};
use crate::settings::Settings;

/// Sort key of a replica; the lowest is chosen. Fields are compared from first to last.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// See [`crate::outlier::BackendHealth::selection_penalty`].
    selection_penalty: u32,
    already_attempted: bool,
    in_flight: usize,
    other_zone: bool,
    tie_break: u64,
}

/// The calls that the current batch opens.
#[derive(Debug, Default)]
pub(crate) struct BatchCalls(BTreeMap<BackendId, OpenCall>);

#[derive(Debug)]
struct OpenCall {
    id: CallId,
    parts: u32,
}

impl BatchCalls {
    /// Returns whether the batch has a call to a backend.
    pub(crate) fn has_call(&self, backend: BackendId) -> bool {
        self.0.contains_key(&backend)
    }

    /// Returns whether one more part fits into the batch's last call to a backend.
    pub(crate) fn has_space(&self, backend: BackendId, parts_per_call: u32) -> bool {
        self.0.get(&backend).is_some_and(|call| call.parts < parts_per_call)
    }

    /// Opens a call to a backend; further parts join it.
    pub(crate) fn open(&mut self, backend: BackendId, id: CallId) {
        self.0.insert(backend, OpenCall { id, parts: 0 });
    }

    /// Adds a part to the batch's last call to a backend and returns the call's id.
    pub(crate) fn join(&mut self, backend: BackendId) -> Option<CallId> {
        let call = self.0.get_mut(&backend)?;
        call.parts += 1;
        Some(call.id)
    }
}

/// Ranks replicas by the order given in the module's documentation.
#[derive(Debug)]
pub(crate) struct ReplicaSelector {
    count_calls: bool,
    prefer_own_zone: bool,
    own_zone: Option<ZoneId>,
}

impl ReplicaSelector {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            count_calls: settings.layout.parts_per_call > 1,
            prefer_own_zone: settings.cross_zone_costs,
            own_zone: settings.zone,
        }
    }

    /// Chooses a backend among those that may be sent a part. `warm_up_fraction` returns the fraction of its
    /// capacity that a backend has.
    pub(crate) fn choose<'a>(
        &self,
        part: &Part,
        candidates: impl Iterator<Item = (BackendId, &'a Backend)>,
        batch: &BatchCalls,
        warm_up_fraction: impl Fn(&Backend) -> f64,
    ) -> Option<BackendId> {
        let hash = hash_query_shard(part.query, part.shard);
        let rank = |(id, backend): &(BackendId, &Backend)| {
            self.rank(
                part,
                *id,
                backend,
                batch.has_call(*id),
                tie_break(hash, *id, warm_up_fraction(backend)),
            )
        };
        candidates.min_by_key(rank).map(|(id, _)| id)
    }

    fn rank(&self, part: &Part, id: BackendId, backend: &Backend, in_batch: bool, tie_break: u64) -> Rank {
        // Calls are counted without the one that this batch opens, so that parts of one query tie.
        let in_flight = if self.count_calls {
            backend.calls.len() - usize::from(in_batch)
        } else {
            backend.parts_in_flight() as usize
        };
        Rank {
            selection_penalty: backend.health.selection_penalty(),
            already_attempted: part.attempts.iter().any(|attempt| attempt.backend == id),
            in_flight,
            // Only the first call of a batch to a backend counts as in the own zone: otherwise
            // neighbouring parts of a query would all go to the few backends of that zone.
            other_zone: self.prefer_own_zone && (in_batch || backend.zone != self.own_zone),
            tie_break,
        }
    }
}

/// Returns a number that is lowest at each backend in proportion to its capacity: an exponential variate with
/// the capacity as its rate, derived from the hash.
fn tie_break(hash: u64, backend: BackendId, capacity: f64) -> u64 {
    let variate = -(-unit_interval(combine(hash, backend.0))).ln_1p() / capacity;
    variate.to_bits() // The bits of non-negative floating-point numbers have the same order as the numbers.
}
