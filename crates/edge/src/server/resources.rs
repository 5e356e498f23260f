//! Divides the limits on file descriptors and memory between the kinds of connections. With all of their buffers
//! full, the connections use at most seven eighths of the memory.

use mallowgauge_core::connection_limits::{ConnectionLimits, ConnectionResources};
use mallowgauge_core::stream_admission;
use mallowgauge_settings::Config;

use crate::front::http;

/// Buffer bytes of one Flight connection to a backend, without the memory for tables.
const BYTES_PER_FLIGHT_BACKEND: usize = 128 * 1024;
/// The share of the memory that connections to other instances may use, as a divisor. The share is larger where
/// they also carry takeover records.
const PEERS_MEMORY_DIVISOR: usize = 16;
const PEERS_WITH_TAKEOVER_MEMORY_DIVISOR: usize = 8;

/// Limits on the number of connections of each kind and on the memory that they use.
#[derive(Debug)]
pub(super) struct ResourceLimits {
    /// Connections to backends and of HTTP clients.
    pub(super) connections: ConnectionLimits,
    /// Connections and streams of Flight clients, and the memory for tables.
    pub(super) flight: stream_admission::StreamLimits,
}

impl ResourceLimits {
    /// Divides the configured limits, given the number of `backends` known at startup. Descriptors and memory
    /// for connections to other instances are reserved first. If Flight is configured on either side, it gets half of the remaining memory, and the
    /// other connections share the rest.
    pub(super) fn from_config(config: &Config, backends: usize) -> Self {
        let (peer_descriptors, peer_memory) = peer_reservation(config);
        let descriptors = config.connections.max_descriptors - peer_descriptors;
        let memory = config.memory - peer_memory;
        let flight = &config.flight;
        let uses_flight = flight.listen.is_some() || flight.every_backend || !flight.backends.is_empty();

        let memory_without_flight = if uses_flight { memory / 2 } else { memory };
        let mut connections = ConnectionLimits::of(ConnectionResources {
            descriptors,
            memory: memory_without_flight,
            backends,
            bytes_per_client: http::MAX_INPUT_PER_CONNECTION,
        });
        if uses_flight {
            let max_backends = memory_without_flight / 4 / BYTES_PER_FLIGHT_BACKEND;
            connections.backends = connections.backends.min(max_backends).max(1);
        }
        let streams = (connections.backends * config.connections.max_attempts_in_flight)
            .min(config.core_limits.max_open);
        let flight_descriptors = if uses_flight { descriptors } else { 0 };
        let flight_limits = stream_admission::StreamLimits::of(memory / 2, flight_descriptors, streams);
        if flight.listen.is_some() {
            connections.clients = connections.clients.saturating_sub(flight_limits.connections).max(1);
        }
        Self { connections, flight: flight_limits }
    }
}

/// The file descriptors and the bytes of memory reserved for connections to other instances.
fn peer_reservation(config: &Config) -> (usize, usize) {
    let Some((settings, limits)) = &config.peers else { return (0, 0) };
    let divisor = match settings.request_lifetime {
        Some(_) => PEERS_WITH_TAKEOVER_MEMORY_DIVISOR,
        None => PEERS_MEMORY_DIVISOR,
    };
    (limits.sockets_needed, config.memory / divisor)
}
