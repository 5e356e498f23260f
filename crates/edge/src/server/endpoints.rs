//! Applies endpoint lists, from the cached snapshot and from discovery, to the router and the connection pool.

use mallowgauge_router::{Endpoint, EndpointState, EndpointUpdate, Micros, ZoneId};
use mallowgauge_settings::endpoint_list::{EndpointList, ListedBackend};
use mallowgauge_settings::find_zone;

use super::Server;
use crate::discovery::DiscoveryEvent;

/// How long the server waits for discovery to confirm the cached snapshot if discovery pushes changes, in microseconds.
/// The program has to be ready within 10 s of its start, also without discovery.
const CACHED_SNAPSHOT_WAIT: Micros = 3_000_000;

/// The endpoint list that the server started with, until it is applied.
pub(super) struct CachedSnapshot {
    list: EndpointList,
    /// When it is applied even if discovery has not answered.
    use_at: Micros,
}

/// Where an endpoint list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Saved by the previous run; may be outdated.
    Cache,
    /// Just received from discovery.
    Discovery,
}

impl Server {
    /// Starts with the cached endpoint list. It is applied at once, unless discovery pushes changes (`pushed`). In that
    /// case the server first gives discovery time to confirm it, because changes pushed before the start count as
    /// notified from the beginning.
    pub(super) fn start_with_cached(&mut self, list: EndpointList, pushed: bool) {
        if !pushed {
            self.apply_endpoints(&list, Source::Cache);
            return self.start_serving();
        }
        let now = self.clock.now();
        self.cached_snapshot = Some(CachedSnapshot { list, use_at: now + CACHED_SNAPSHOT_WAIT });
        let event = self.discovery.watch(now, &self.handle);
        self.handle_discovery_events(event);
    }

    /// When the cached snapshot is applied unconfirmed.
    pub(super) fn cached_snapshot_timeout(&self) -> Option<Micros> {
        self.cached_snapshot.as_ref().map(|cached| cached.use_at)
    }

    /// Applies the cached snapshot if discovery did not confirm it in time.
    pub(super) fn use_unconfirmed_snapshot(&mut self, now: Micros) {
        if self.cached_snapshot_timeout().is_some_and(|at| at <= now) {
            tracing::warn!("discovery did not respond in time: using the cached endpoint list unverified");
            self.use_cached_snapshot();
        }
    }

    /// Applies the lists from discovery and reports its failures to the core.
    pub(super) fn handle_discovery_events(&mut self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        for event in events {
            match event {
                DiscoveryEvent::Endpoints(list) => {
                    self.use_cached_snapshot();
                    self.apply_endpoints(&list, Source::Discovery);
                }
                DiscoveryEvent::Failed(error) => {
                    tracing::warn!("discovery request failed: {error}");
                    self.core.endpoint_update(EndpointUpdate::Failed);
                }
            }
        }
    }

    /// Applies the cached snapshot, unless that was done before, and starts serving.
    fn use_cached_snapshot(&mut self) {
        if let Some(cached) = self.cached_snapshot.take() {
            self.apply_endpoints(&cached.list, Source::Cache);
            self.start_serving();
        }
    }

    fn start_serving(&mut self) {
        self.lifecycle.start_serving();
        self.http.set_phase(self.lifecycle.phase());
    }

    /// Applies a list to the registry, the connection pool and the router, in this order.
    fn apply_endpoints(&mut self, list: &EndpointList, source: Source) {
        let now = self.clock.now();
        let update = self.backends.apply(list);
        let mut endpoints = Vec::new();
        for (id, backend) in update.listed {
            self.pool.update_backend(id, backend);
            if backend.state != EndpointState::Ready || backend.started_at.is_some() {
                tracing::info!(
                    "backend {} is {:?}, started at {:?}",
                    backend.id,
                    backend.state,
                    backend.started_at
                );
            }
            endpoints.push(Endpoint {
                backend: id,
                ring_position: backend.ring_position,
                state: backend.state,
                started_at: backend.started_at,
                zone: self.zone_index(backend),
            });
        }
        for id in update.removed {
            self.pool.remove_backend(now, id);
        }
        self.core.endpoint_update(match (source, list.is_snapshot) {
            (Source::Cache, _) => EndpointUpdate::CachedSnapshot(endpoints),
            (Source::Discovery, true) => EndpointUpdate::Snapshot(endpoints),
            (Source::Discovery, false) => EndpointUpdate::Delta(endpoints),
        });
    }

    /// The index of a backend's zone, if the settings name it.
    fn zone_index(&self, backend: &ListedBackend) -> Option<ZoneId> {
        backend.zone.as_ref().and_then(|name| find_zone(&self.zones, name))
    }
}
