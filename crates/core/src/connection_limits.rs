//! How many connections there may be of each kind, which connection to a backend a call takes, when another is
//! opened, and which one is evicted for it.
//!
//! Where there are more backends than an instance may hold connections, the endpoint list says so at the
//! start: backends then get more of the descriptors, and beyond that the connection that was idle longest is
//! evicted. A call that finds no connection found no capacity here, which is no failure of the backend.

use std::cmp::Reverse;

use mallowgauge_router::Micros;

/// Descriptors kept for what is neither a client nor a backend: the event loop, discovery, listeners, the log.
const RESERVED_DESCRIPTORS: usize = 16;
/// Most connections to one backend.
const MAX_CONNECTIONS_PER_BACKEND: usize = 8;
/// While all connections to a backend are busy, others are opened up to so many, so that one that breaks takes
/// few parts with it.
const MAX_SPREAD_CONNECTIONS: usize = 4;

/// What the limits on connections follow from.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionResources {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Bytes of memory for connections to backends and those of the platform's clients, with their buffers.
    pub memory: usize,
    /// Backends in the endpoint list that was known at the start.
    pub backends: usize,
    /// The most bytes that a client's connection can hold.
    pub bytes_per_client: usize,
}

/// How many connections there may be, and what buffers they may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections to backends.
    pub backends: usize,
    /// Bytes that the buffers of all connections to backends may hold together.
    pub backend_bytes: usize,
    /// Connections of the platform's clients, before another frontend takes some of them.
    pub clients: usize,
}

impl ConnectionLimits {
    /// A quarter of the descriptors goes to backends, or one for each and a quarter to spare where there are
    /// more of them, up to five eighths; the rest is the clients'. Half of the memory may be filled by clients,
    /// a quarter by backends.
    #[must_use]
    pub fn of(means: ConnectionResources) -> Self {
        let descriptors = means.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let wanted = means.backends + means.backends / 4;
        let backends = wanted.clamp(descriptors / 4, descriptors * 5 / 8).max(1);
        let clients_by_memory = means.memory / 2 / means.bytes_per_client.max(1);
        let clients = (descriptors - backends.min(descriptors)).min(clients_by_memory).max(1);
        Self { backends, backend_bytes: means.memory / 4, clients }
    }
}

/// One connection to the backend that a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionView {
    /// Its number.
    pub id: u64,
    /// It has capacity for the call.
    pub has_capacity: bool,
    /// Something has been in flight for long, and nothing was received.
    pub silent: bool,
    /// Parts in flight on it.
    pub attempts_in_flight: usize,
    /// When something was last sent or received.
    pub last_used_at: Micros,
}

/// Whether one more connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCapacity {
    /// It may.
    Available,
    /// Only if an idle one, to whatever backend, is evicted.
    Exhausted,
}

/// Which connection a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// This one.
    Use(u64),
    /// A new one; where none can be opened or evicted for it, the other one if there is one.
    Open(Option<u64>),
    /// The backend has as many as it may have, and none has capacity.
    Unavailable,
}

/// The connection for a call, where `held` are those to its backend, `most` is the limit for all backends
/// together and `hosts` counts the backends.
///
/// The one with the fewest parts in flight is taken, and of those the one used last, since the longer one was
/// idle the likelier it was closed without notice. MissingSketchPolicy ones are taken only where no more can be opened.
/// While all are busy another is opened, but none to another backend is evicted for that: with hundreds of
/// backends each instance would close and open connections all day, and all of them together would fill the
/// backends' tables.
#[must_use]
pub fn choose(
    held: &[ConnectionView],
    most: usize,
    hosts: usize,
    room: ConnectionCapacity,
) -> ConnectionChoice {
    let may_open = held.len() < MAX_CONNECTIONS_PER_BACKEND;
    let rank = |view: &&ConnectionView| (view.silent, view.attempts_in_flight, Reverse(view.last_used_at));
    let Some(best) = held.iter().filter(|view| view.has_capacity).min_by_key(rank) else {
        return if may_open { ConnectionChoice::Open(None) } else { ConnectionChoice::Unavailable };
    };
    if best.attempts_in_flight == 0 {
        return ConnectionChoice::Use(best.id);
    }
    let spread = (most / hosts.max(1)).clamp(1, MAX_SPREAD_CONNECTIONS);
    let may_spread = held.len() < spread && room == ConnectionCapacity::Available;
    if (best.silent && may_open) || (!best.silent && may_spread) {
        return ConnectionChoice::Open(Some(best.id));
    }
    ConnectionChoice::Use(best.id)
}

/// Which connection is evicted: of those that are idle, each with when it was last used, the one used longest
/// ago.
#[must_use]
pub fn connection_to_evict(resting: impl Iterator<Item = (u64, Micros)>) -> Option<u64> {
    resting.min_by_key(|&(id, used)| (used, id)).map(|(id, _)| id)
}

/// Which connection is closed when the buffers of all, each given with its bytes, exceed their limit: the one
/// that holds most, so that as few as can be lose what is in flight on them.
#[must_use]
pub fn largest_connection(held: impl Iterator<Item = (u64, usize)>) -> Option<u64> {
    held.max_by_key(|&(id, bytes)| (bytes, id)).map(|(id, _)| id)
}
