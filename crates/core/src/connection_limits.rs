//! Limits on the connections of each kind, the choice of a backend connection for a call, and the eviction of
//! idle connections.
//!
//! If the endpoint list known at startup has more backends than the usual share of descriptors covers,
//! backends get more of the descriptors; beyond that, the connection that was idle longest is evicted. A call
//! that gets no connection failed for lack of local capacity, which is not a failure of the backend.

use std::cmp::Reverse;

use mallowgauge_router::Micros;

/// Descriptors reserved for the event loop, discovery, listeners and the log.
const RESERVED_DESCRIPTORS: usize = 16;
/// Maximum number of connections to one backend.
const MAX_CONNECTIONS_PER_BACKEND: usize = 8;
/// Connections to one backend that are opened while all existing ones are busy, so that few parts fail if
/// one breaks.
const MAX_SPREAD_CONNECTIONS: usize = 4;

/// The resources from which connection limits are derived.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionResources {
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Bytes of memory for connections to backends and to clients of the HTTP frontend, with their buffers.
    pub memory: usize,
    /// Backends in the endpoint list known at startup.
    pub backends: usize,
    /// Maximum bytes that a client's connection can buffer.
    pub bytes_per_client: usize,
}

/// Limits on connections and their buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum connections to backends.
    pub backends: usize,
    /// Maximum bytes in the buffers of all connections to backends together.
    pub backend_bytes: usize,
    /// Maximum connections of the HTTP frontend's clients, before the share of another frontend is subtracted.
    pub clients: usize,
    /// Maximum bytes in the buffers of the HTTP frontend's clients and of open queries together, beyond their
    /// allowances.
    pub client_bytes: usize,
}

impl ConnectionLimits {
    /// Derives the limits from the available resources.
    ///
    /// Backends get a quarter of the descriptors, or, if there are more backends than that, one descriptor
    /// each plus a quarter, up to five eighths of all; clients get the rest. Clients may fill half of the
    /// memory, backends a quarter.
    #[must_use]
    pub fn of(resources: ConnectionResources) -> Self {
        let descriptors = resources.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let wanted = resources.backends + resources.backends / 4;
        let backends = wanted.clamp(descriptors / 4, descriptors * 5 / 8).max(1);
        let clients_by_memory = resources.memory / 2 / resources.bytes_per_client.max(1);
        // The rest of the clients' half is for their uncounted allowances.
        let client_bytes = resources.memory / 16 * 5;
        let clients = (descriptors - backends.min(descriptors)).min(clients_by_memory).max(1);
        Self { backends, backend_bytes: resources.memory / 4, clients, client_bytes }
    }
}

/// One connection to the backend that a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionView {
    /// Its number.
    pub id: u64,
    /// Whether it has capacity for the call.
    pub has_capacity: bool,
    /// Whether something has been in flight for long and nothing was received.
    pub unresponsive: bool,
    /// Parts in flight on it.
    pub attempts_in_flight: usize,
    /// When something was last sent or received.
    pub last_used_at: Micros,
}

/// Whether one more connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCapacity {
    /// One may be opened.
    Available,
    /// One may be opened only if an idle connection, to any backend, is evicted.
    Exhausted,
}

/// The connection that a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The existing connection with this number.
    Use(u64),
    /// A new connection; if none can be opened or evicted for it, the given existing one, if any.
    Open(Option<u64>),
    /// None: the backend has its maximum number of connections, and none has capacity.
    Unavailable,
}

/// Chooses the connection for a call from `connections`, those to its backend. `limit` applies to the
/// connections to all `backends` together.
///
/// The connection with the fewest parts in flight is used; among equals the one used last, because the longer
/// a connection was idle, the likelier the other side has closed it without notice. Unresponsive connections are
/// used only if no more can be opened. While all are busy another one is opened, but no connection to another
/// backend is evicted for it: with hundreds of backends each instance would constantly close and open
/// connections, and all instances together would fill the backends' connection tables.
#[must_use]
pub fn choose_connection(
    connections: &[ConnectionView],
    limit: usize,
    backends: usize,
    capacity: ConnectionCapacity,
) -> ConnectionChoice {
    let may_open = connections.len() < MAX_CONNECTIONS_PER_BACKEND;
    let rank =
        |view: &&ConnectionView| (view.unresponsive, view.attempts_in_flight, Reverse(view.last_used_at));
    let Some(best) = connections.iter().filter(|view| view.has_capacity).min_by_key(rank) else {
        return if may_open { ConnectionChoice::Open(None) } else { ConnectionChoice::Unavailable };
    };
    if best.attempts_in_flight == 0 {
        return ConnectionChoice::Use(best.id);
    }
    let spread = (limit / backends.max(1)).clamp(1, MAX_SPREAD_CONNECTIONS);
    let may_spread = connections.len() < spread && capacity == ConnectionCapacity::Available;
    if (best.unresponsive && may_open) || (!best.unresponsive && may_spread) {
        return ConnectionChoice::Open(Some(best.id));
    }
    ConnectionChoice::Use(best.id)
}

/// Returns the connection to evict: of the idle ones, each given with the time of its last use, the one used
/// longest ago.
#[must_use]
pub fn connection_to_evict(idle: impl Iterator<Item = (u64, Micros)>) -> Option<u64> {
    idle.min_by_key(|&(id, used)| (used, id)).map(|(id, _)| id)
}

/// Returns the connection to close when the buffers of all connections, each given with its bytes, exceed
/// their limit: the one that buffers most, so that as few connections as possible lose their parts in flight.
#[must_use]
pub fn largest_connection(buffered: impl Iterator<Item = (u64, usize)>) -> Option<u64> {
    buffered.max_by_key(|&(id, bytes)| (bytes, id)).map(|(id, _)| id)
}
