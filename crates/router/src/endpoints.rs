//! The endpoint list: the known backends, the shards that each holds, and when the list is watched again.
//!
//! Ring positions are numbered from 0. Shard `s` is held by the backends at `replication_factor` consecutive
//! positions around the ring, starting at position `s`.

use std::collections::BTreeMap;

use crate::backend::Backend;
use crate::events::{Endpoint, EndpointState, EndpointUpdate};
use crate::ids::{BackendId, Micros, ShardId};
use crate::random::Random;
use crate::settings::{Discovery, Settings};

/// Backoff before the list is watched again after the first failure, in microseconds; a random delay of up to
/// the same length is added. It doubles with each further failure.
const INITIAL_BACKOFF_US: Micros = 700_000;
/// Longest backoff, in microseconds, without the random delay. A watch that fails and the response to the
/// next one have to fit into the 6 s after which every router is expected to act on a change.
const MAX_BACKOFF_US: Micros = 1_290_000;

/// The known backends, as of the last endpoint update.
#[derive(Debug)]
pub(crate) struct Endpoints {
    backends: BTreeMap<BackendId, Backend>,
    /// The ready backends of each ring position.
    positions: Vec<Vec<BackendId>>,
    replication_factor: usize,
    /// Number of ready backends, counted as at least 1; 0 before the first update.
    ready: f64,
    discovery: Discovery,
    watching: bool,
    backoff: Micros,
}

impl Endpoints {
    pub(crate) fn new(settings: &Settings) -> Self {
        let positions = vec![Vec::new(); settings.layout.ring_positions as usize];
        Self {
            replication_factor: (settings.layout.replication_factor as usize).min(positions.len()),
            backends: BTreeMap::new(),
            positions,
            ready: 0.0,
            discovery: settings.discovery,
            watching: false,
            backoff: INITIAL_BACKOFF_US,
        }
    }

    /// Applies an endpoint update. `window` is the time for which work sent to a backend is remembered.
    /// Returns the delay after which the list has to be watched again, in microseconds, or `None` if it need
    /// not be.
    pub(crate) fn update(
        &mut self,
        update: EndpointUpdate,
        now: Micros,
        window: Micros,
        random: &mut Random,
    ) -> Option<Micros> {
        let mut cached = false;
        match update {
            EndpointUpdate::Failed => return Some(self.watch_failed(random)),
            EndpointUpdate::Delta(endpoints) => self.merge(endpoints),
            EndpointUpdate::Snapshot(endpoints) => self.replace(endpoints),
            EndpointUpdate::CachedSnapshot(endpoints) => {
                cached = true;
                self.replace(endpoints);
            }
        }
        self.evict_removed(now, window);
        self.index_positions();
        if cached && self.discovery == Discovery::Poll {
            return Some(0);
        }
        self.watching = true;
        self.backoff = INITIAL_BACKOFF_US;
        None
    }

    /// Returns whether updates arrive without another watch.
    pub(crate) fn is_watching(&self) -> bool {
        self.watching
    }

    fn watch_failed(&mut self, random: &mut Random) -> Micros {
        self.watching = false;
        let delay = self.backoff + random.up_to(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF_US);
        delay
    }

    fn replace(&mut self, endpoints: Vec<Endpoint>) {
        self.backends.values_mut().for_each(|backend| backend.state = EndpointState::Removed);
        self.merge(endpoints);
    }

    fn merge(&mut self, endpoints: Vec<Endpoint>) {
        for endpoint in endpoints {
            let backend = self.backends.entry(endpoint.backend).or_default();
            backend.state = endpoint.state;
            if endpoint.state != EndpointState::Removed {
                backend.ring_position = endpoint.ring_position;
                backend.zone = endpoint.zone;
            }
            if endpoint.started_at > backend.started_at {
                backend.started_at = endpoint.started_at;
                backend.health.reset();
            }
        }
    }

    /// Evicts removed backends once nothing is in flight there and no sent work is remembered, so that memory
    /// stays bounded while backends are replaced.
    fn evict_removed(&mut self, now: Micros, window: Micros) {
        self.backends.retain(|_, backend| {
            backend.recent_work.advance(now, window);
            let is_used = !backend.calls.is_empty() || backend.recent_work.len() > 0;
            backend.state != EndpointState::Removed || is_used
        });
    }

    fn index_positions(&mut self) {
        let count = self.positions.len().max(1);
        self.positions.iter_mut().for_each(Vec::clear);
        for (id, backend) in self.backends.iter().filter(|(_, b)| b.state == EndpointState::Ready) {
            let position = backend.ring_position as usize % count;
            self.positions.get_mut(position).into_iter().for_each(|ids| ids.push(*id));
        }
        self.ready = self.positions.iter().map(Vec::len).sum::<usize>().max(1) as f64;
    }

    /// Returns the ready backends that hold a shard.
    pub(crate) fn replicas(&self, shard: ShardId) -> impl Iterator<Item = (BackendId, &Backend)> {
        (0..self.replication_factor)
            .flat_map(move |offset| &self.positions[(shard.0 as usize + offset) % self.positions.len()])
            .filter_map(|id| Some((*id, self.backends.get(id)?)))
    }

    /// Returns the number of ready backends.
    pub(crate) fn ready(&self) -> f64 {
        self.ready
    }

    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BackendId, &Backend)> {
        self.backends.iter()
    }

    pub(crate) fn is_ejected(&self, id: BackendId) -> bool {
        self.backends.get(&id).is_some_and(|backend| backend.health.is_ejected())
    }
}
