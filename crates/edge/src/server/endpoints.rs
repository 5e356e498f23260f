//! Endpoint updates: from the cached snapshot of the start and from discovery to the router and the connections.

use mallowgauge_router::{Endpoint, EndpointState, EndpointUpdate, Micros, ZoneId};
use mallowgauge_settings::endpoint_list::{EndpointList, ListedBackend};
use mallowgauge_settings::find_zone;

use super::Server;
use crate::discovery::DiscoveryEvent;

/// How long the cached snapshot waits to be confirmed by discovery where changes are pushed, in microseconds.
/// The program has to be ready within 10 s of its start, also without discovery.
const CACHED_SNAPSHOT_WAIT: Micros = 3_000_000;

/// The endpoint list that the server started with, while it is not in use.
pub(super) struct CachedSnapshot {
    list: EndpointList,
    /// When it is used even if discovery has not answered.
    use_at: Micros,
}

/// Where an endpoint list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Kept from the last run; it may be old.
    Cache,
    /// Told by discovery just now.
    Discovery,
}

impl Server {
    /// Starts with the cached endpoint list: at once, or where discovery pushes changes after it has had the time
    /// to confirm it. Whatever was pushed before the start counts as notified from the first moment.
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

    /// When the cached snapshot is used unconfirmed.
    pub(super) fn cached_snapshot_timeout(&self) -> Option<Micros> {
        self.cached_snapshot.as_ref().map(|cached| cached.use_at)
    }

    /// Uses the cached snapshot if discovery took too long to confirm it.
    pub(super) fn use_unconfirmed_snapshot(&mut self, now: Micros) {
        if self.cached_snapshot_timeout().is_some_and(|at| at <= now) {
            tracing::warn!("the saved list of hosts is used unchecked: discovery did not answer in time");
            self.use_cached_snapshot();
        }
    }

    /// Passes on what discovery has said.
    pub(super) fn handle_discovery_events(&mut self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        for event in events {
            match event {
                DiscoveryEvent::Endpoints(list) => {
                    self.use_cached_snapshot();
                    self.apply_endpoints(&list, Source::Discovery);
                }
                DiscoveryEvent::Failed(error) => {
                    tracing::warn!("discovery failed: {error}");
                    self.core.endpoint_update(EndpointUpdate::Failed);
                }
            }
        }
    }

    /// The cached snapshot counts from now on, if it did not before; with it the server can serve.
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

    /// Brings the registry, the connections and the router to the state of a list, in this order.
    fn apply_endpoints(&mut self, list: &EndpointList, source: Source) {
        let now = self.clock.now();
        let update = self.backends.apply(list);
        let mut endpoints = Vec::new();
        for (backend, host) in update.named {
            self.pool.update_backend(backend, host);
            if host.state != EndpointState::Ready || host.started_at.is_some() {
                tracing::info!("host {} is {:?}, started {:?}", host.id, host.state, host.started_at);
            }
            endpoints.push(Endpoint {
                backend,
                ring_position: host.ring_position,
                state: host.state,
                started_at: host.started_at,
                zone: self.zone_index(host),
            });
        }
        for backend in update.removed {
            self.pool.remove_backend(now, backend);
        }
        self.core.endpoint_update(match (source, list.is_snapshot) {
            (Source::Cache, _) => EndpointUpdate::CachedSnapshot(endpoints),
            (Source::Discovery, true) => EndpointUpdate::Snapshot(endpoints),
            (Source::Discovery, false) => EndpointUpdate::Delta(endpoints),
        });
    }

    /// The number of a backend's zone, if the settings name it.
    fn zone_index(&self, host: &ListedBackend) -> Option<ZoneId> {
        host.zone.as_ref().and_then(|name| find_zone(&self.zones, name))
    }
}
