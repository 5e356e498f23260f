//! The pool of connections to all backends, which are opened on demand and closed when idle.
//!
//! [`mallowgauge_core::connection_limits`] decides which connection a call takes, when another one is opened and which
//! one is evicted; this module owns the connections and applies these decisions.
//!
//! * Only idle connections are evicted for another one, so no attempt is lost.
//! * If the buffers of all connections exceed their limit, the largest connection is closed; its attempts end like
//!   those of a lost connection ([`BackendConnection`]).
//! * If a backend drains, moves or is removed, attempts that are already written stay in flight. Unsent ones end as
//!   `NotSent`, and the router decides about them again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mallowgauge_core::connection_limits::{
    choose_connection, connection_to_evict, largest_connection, ConnectionCapacity, ConnectionChoice,
    ConnectionLimits, ConnectionView,
};
use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_net::{Handle, Stream};
use mallowgauge_router::{BackendId, EndpointState, Micros};
use mallowgauge_settings::endpoint_list::ListedBackend;
use mallowgauge_settings::{ConnectionSettings, FlightSettings};

use super::connection::{BackendConnection, ProtocolConnection};
use super::flight_connection::{FlightConnection, FlightOptions};
use super::frame_connection::FrameConnection;
use super::UpstreamEvent;
use crate::tls::Connector;
use crate::token::SocketKind;

/// Bytes of texts in events that were not taken, above which no further connection is read.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// An idle connection is closed after this fraction of the time after which backends close it.
const IDLE_FRACTION: f64 = 0.8;

/// What discovery reports of a backend, as far as connections depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BackendTarget {
    addr: SocketAddr,
    speaks_flight: bool,
    ring_position: u32,
    /// Whether the backend accepts new parts.
    ready: bool,
    started_at: Option<Micros>,
}

impl BackendTarget {
    /// Whether an unsent attempt that was meant for the backend's `previous` state may still be sent.
    fn accepts_unsent_of(&self, previous: &BackendTarget) -> bool {
        self.ready && (self.addr, self.ring_position) == (previous.addr, previous.ring_position)
    }
}

/// A connection and its entries in the pool's indexes.
struct PooledConnection {
    backend: BackendId,
    addr: SocketAddr,
    /// When the connect started.
    opened_at: Micros,
    protocol: ProtocolConnection,
    /// Its entry in `timers`.
    timeout: Option<Micros>,
    /// Its share of the pool's `buffered_bytes`.
    buffered_bytes: usize,
}

/// The connection that a call takes: an existing one, or a new one.
enum Selection {
    Existing(u64),
    New {
        /// The connection to use if a new one cannot be opened.
        fallback: Option<u64>,
        /// The idle connection, to any backend, that is evicted for the new one.
        evict: Option<u64>,
    },
}

/// The pool of connections to all backends.
pub struct ConnectionPool {
    settings: ConnectionSettings,
    flight_settings: FlightSettings,
    limits: ConnectionLimits,
    flight_options: FlightOptions,
    backends: BTreeMap<BackendId, BackendTarget>,
    connections: BTreeMap<u64, PooledConnection>,
    next_id: u64,
    /// The connections of each backend. With hundreds of backends, scanning all connections for each call would cost
    /// more than the call itself.
    by_backend: BTreeMap<BackendId, Vec<u64>>,
    /// The connections ordered by their next timeout, for the same reason.
    timers: BTreeSet<(Micros, u64)>,
    /// Bytes in the buffers of all connections.
    buffered_bytes: usize,
    events: Vec<UpstreamEvent>,
    /// Bytes of the texts in `events`.
    event_bytes: usize,
    /// Connections whose sockets may have more input.
    more_to_read: Vec<u64>,
}

impl ConnectionPool {
    /// Creates an empty pool with these limits.
    #[must_use]
    pub fn new(
        settings: ConnectionSettings,
        flight_settings: FlightSettings,
        limits: ConnectionLimits,
        flight_options: FlightOptions,
    ) -> Self {
        Self {
            settings,
            flight_settings,
            limits,
            flight_options,
            backends: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 1,
            by_backend: BTreeMap::new(),
            timers: BTreeSet::new(),
            buffered_bytes: 0,
            events: Vec::new(),
            event_bytes: 0,
            more_to_read: Vec::new(),
        }
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<UpstreamEvent> {
        self.event_bytes = 0;
        std::mem::take(&mut self.events)
    }

    /// Sets the TLS connector for connections that are opened from now on.
    pub fn set_tls(&mut self, tls: Option<Connector>) {
        self.flight_options.tls = tls;
    }

    /// Applies an endpoint list entry. If the backend drains or has moved, its unsent attempts are revoked, so that
    /// they are not sent there when a connection is established or a socket becomes writable later. If it has
    /// restarted, idle connections to the previous process are closed, since that process may not be there to close
    /// them.
    pub fn update_backend(&mut self, backend: BackendId, listed: &ListedBackend) {
        let Some(addr) = listed.address else { return };
        let target = BackendTarget {
            addr,
            speaks_flight: self.flight_settings.every_backend
                || self.flight_settings.backends.contains(&listed.id),
            ring_position: listed.ring_position,
            ready: listed.state == EndpointState::Ready,
            started_at: listed.started_at,
        };
        let Some(previous) = self.backends.insert(backend, target) else { return };
        if !target.accepts_unsent_of(&previous) {
            self.revoke_all_unsent(backend);
        }
        if target.started_at != previous.started_at {
            self.remove_connections(backend, |connection| {
                let is_older = target.started_at.is_some_and(|at| connection.opened_at < at);
                connection.protocol.is_idle() && is_older
            });
        }
    }

    /// Removes a backend: revokes its unsent attempts and closes the connections on which nothing is in flight.
    pub fn remove_backend(&mut self, now: Micros, backend: BackendId) {
        self.backends.remove(&backend);
        self.revoke_all_unsent(backend);
        self.remove_connections(backend, |connection| connection.protocol.in_flight(now) == 0);
    }

    /// Sends a batch of attempts to a backend, in as few calls as possible.
    pub fn send(
        &mut self,
        now: Micros,
        handle: &Handle,
        backend: BackendId,
        mut attempts: Vec<AttemptRequest>,
    ) {
        while !attempts.is_empty() {
            let rest = attempts.split_off(attempts.len().min(self.settings.parts_per_call));
            // A permit may be granted after discovery reported that the backend drains.
            let ready = self.backends.get(&backend).is_some_and(|target| target.ready);
            let id = if ready { self.connection_for(now, handle, backend, &attempts) } else { None };
            match id {
                Some(id) => self.with_connection(id, |protocol, events| protocol.send(now, attempts, events)),
                // No connection is available on this side, which is no failure of the backend.
                None => {
                    let not_sent = attempts.iter().map(|attempt| UpstreamEvent::not_sent(attempt.attempt));
                    self.events.extend(not_sent);
                }
            }
            attempts = rest;
        }
    }

    /// Cancels an attempt whose result is no longer needed.
    pub fn cancel(&mut self, now: Micros, backend: BackendId, attempt: AttemptId) {
        let silent_timeout = self.settings.silence_timeout;
        for id in self.connections_of(backend) {
            self.with_connection(id, |protocol, events| {
                protocol.cancel(now, silent_timeout, attempt, events)
            });
        }
    }

    /// Revokes an attempt, if no byte of it is written.
    pub fn revoke_unsent(&mut self, backend: BackendId, attempt: AttemptId) {
        for id in self.connections_of(backend) {
            self.with_connection(id, |protocol, events| {
                protocol.revoke_unsent(|request| request.attempt == attempt, events);
                true
            });
        }
    }

    /// Starts a health check of a backend.
    pub fn health_check(&mut self, now: Micros, handle: &Handle, backend: BackendId) {
        let deadline = now + self.settings.connect_timeout;
        match self.connection_for(now, handle, backend, &[]) {
            Some(id) => {
                self.with_connection(id, |protocol, events| protocol.health_check(now, deadline, events));
            }
            None => self.events.push(UpstreamEvent::HealthCheckCompleted(backend, false)),
        }
    }

    /// Handles the readiness of a connection's socket. While many texts wait to be taken, it is read later: their memory
    /// is accounted only once they are taken.
    pub fn handle_ready(&mut self, now: Micros, id: u64) {
        if self.event_bytes >= MAX_EVENT_BYTES {
            self.read_later(id);
        } else {
            self.read(now, id);
        }
    }

    fn read_later(&mut self, id: u64) {
        if !self.more_to_read.contains(&id) {
            self.more_to_read.push(id);
        }
    }

    fn read(&mut self, now: Micros, id: u64) {
        self.with_connection(id, |protocol, events| protocol.handle_ready(now, events));
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) has to be called next.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        if !self.more_to_read.is_empty() {
            return Some(0);
        }
        self.timers.first().map(|(at, _)| *at)
    }

    /// Continues connections that have more input, ends whatever has timed out, and closes connections that have been
    /// idle for too long.
    pub fn handle_timeout(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.more_to_read) {
            self.handle_ready(now, id);
        }
        let idle_timeout = self.idle_timeout();
        let due = self.timers.iter().take_while(|(at, _)| *at <= now);
        for id in due.map(|&(_, id)| id).collect::<Vec<_>>() {
            self.with_connection(id, |protocol, events| protocol.handle_timeout(now, idle_timeout, events));
        }
    }

    /// Grants free table memory to the streams that wait for it. If no stream could ever proceed otherwise, reports
    /// the query to evict.
    pub fn grant_table_memory(&mut self, now: Micros) {
        if !self.flight_options.table_memory.has_waiting_streams() {
            return;
        }
        for (stream, bytes) in self.flight_options.table_memory.take_grants() {
            let ids: Vec<u64> = self.connections.keys().copied().collect();
            for id in ids {
                let mut found = false;
                self.with_connection(id, |protocol, events| {
                    let ProtocolConnection::Flight(connection) = protocol else { return true };
                    let alive = connection.grant_memory(now, stream, bytes, events);
                    found = alive.is_some();
                    alive.unwrap_or(true)
                });
                if found {
                    break;
                }
            }
        }
        let query = self.flight_options.table_memory.query_to_evict();
        self.events.extend(query.map(|query| UpstreamEvent::TableMemoryExceeded(query, None)));
    }

    /// Microseconds after which an idle connection is closed, earlier than the backend does it.
    fn idle_timeout(&self) -> Micros {
        (self.settings.idle_timeout as f64 * IDLE_FRACTION) as Micros
    }

    fn connections_of(&self, backend: BackendId) -> Vec<u64> {
        self.by_backend.get(&backend).cloned().unwrap_or_default()
    }

    /// Revokes all unsent attempts of a backend, which were not executed; the router decides about them again.
    fn revoke_all_unsent(&mut self, backend: BackendId) {
        for id in self.connections_of(backend) {
            self.with_connection(id, |protocol, events| {
                protocol.revoke_unsent(|_| true, events);
                !protocol.is_connecting_unused()
            });
        }
    }

    /// Drops the connections of a backend that match `predicate`; nothing that is waited for may be in flight on them.
    fn remove_connections(&mut self, backend: BackendId, predicate: impl Fn(&PooledConnection) -> bool) {
        for id in self.connections_of(backend) {
            if self.connections.get(&id).is_some_and(&predicate) {
                self.remove(id);
            }
        }
    }

    /// Returns the connection that `connection_limits` selects for these attempts, or opens a new one. Reads from the
    /// connection first, since one that the backend has closed must not be written to.
    fn connection_for(
        &mut self,
        now: Micros,
        handle: &Handle,
        backend: BackendId,
        attempts: &[AttemptRequest],
    ) -> Option<u64> {
        let target = *self.backends.get(&backend)?;
        let (fallback, evict) = loop {
            let id = match self.select(now, backend, &target, attempts)? {
                Selection::Existing(id) => id,
                Selection::New { fallback, evict } => break (fallback, evict),
            };
            self.read(now, id);
            let connection = self.connections.get(&id);
            if connection.is_some_and(|c| self.can_take(now, &target, c, c.protocol.in_flight(now), attempts))
            {
                return Some(id);
            }
        };
        if let Some(id) = evict {
            self.remove(id);
        }
        if self.connections.len() >= self.limits.backends {
            tracing::warn!("backend {}: connection limit reached", backend.0);
            return None;
        }
        self.open(now, handle, backend, &target).or(fallback)
    }

    /// Whether a connection with `in_flight` attempts can take these as well: it is connected to the backend's current
    /// process and has capacity for all of them.
    fn can_take(
        &self,
        now: Micros,
        target: &BackendTarget,
        connection: &PooledConnection,
        in_flight: usize,
        attempts: &[AttemptRequest],
    ) -> bool {
        // A start time in the future is due to clock skew.
        let started_at = target.started_at.filter(|&at| at <= now).unwrap_or(0);
        connection.addr == target.addr
            && connection.opened_at >= started_at
            && (in_flight == 0 || in_flight + attempts.len() <= self.settings.max_attempts_in_flight)
            && connection.protocol.accepts(attempts)
    }

    /// Selects the connection for a call by `connection_limits`; `None` if none is available.
    fn select(
        &self,
        now: Micros,
        backend: BackendId,
        target: &BackendTarget,
        attempts: &[AttemptRequest],
    ) -> Option<Selection> {
        let view = |&id: &u64| {
            let connection = self.connections.get(&id)?;
            let in_flight = connection.protocol.in_flight(now);
            let silent_since = connection.protocol.silent_since();
            Some(ConnectionView {
                id,
                has_capacity: self.can_take(now, target, connection, in_flight, attempts),
                unresponsive: silent_since.is_some_and(|since| since + self.settings.silence_timeout <= now),
                attempts_in_flight: in_flight,
                last_used_at: connection.protocol.last_used(),
            })
        };
        let ids = self.by_backend.get(&backend).map(Vec::as_slice).unwrap_or_default();
        let views: Vec<ConnectionView> = ids.iter().filter_map(view).collect();
        let limit = self.limits.backends;
        let capacity = if self.connections.len() < limit {
            ConnectionCapacity::Available
        } else {
            ConnectionCapacity::Exhausted
        };
        let fallback = match choose_connection(&views, limit, self.backends.len(), capacity) {
            ConnectionChoice::Use(id) => return Some(Selection::Existing(id)),
            ConnectionChoice::Unavailable => return None,
            ConnectionChoice::Open(fallback) => fallback,
        };
        if capacity == ConnectionCapacity::Available {
            return Some(Selection::New { fallback, evict: None });
        }
        let idle = self.connections.iter().filter(|(_, connection)| connection.protocol.is_idle());
        let evict = connection_to_evict(idle.map(|(&id, connection)| (id, connection.protocol.last_used())));
        match (evict, fallback) {
            (None, Some(id)) => Some(Selection::Existing(id)),
            (evict, fallback) => Some(Selection::New { fallback, evict }),
        }
    }

    /// Starts to open a connection; `None` if the operating system refuses.
    fn open(
        &mut self,
        now: Micros,
        handle: &Handle,
        backend: BackendId,
        target: &BackendTarget,
    ) -> Option<u64> {
        let id = self.next_id;
        self.next_id += 1;
        let addr = target.addr;
        let stream = match Stream::connect(handle, addr, SocketKind::Backend.token(id)) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!("backend {}: cannot open a connection: {error}", backend.0);
                return None;
            }
        };
        tracing::debug!("backend {}: connecting to {addr}", backend.0);
        let deadline = now + self.settings.connect_timeout;
        let protocol = if target.speaks_flight {
            let options = self.flight_options.clone();
            ProtocolConnection::Flight(FlightConnection::new(backend, stream, now, deadline, addr, options))
        } else {
            ProtocolConnection::Frames(FrameConnection::new(backend, stream, now, deadline))
        };
        let connection =
            PooledConnection { backend, addr, opened_at: now, protocol, timeout: None, buffered_bytes: 0 };
        self.connections.insert(id, connection);
        self.by_backend.entry(backend).or_default().push(id);
        self.with_connection(id, |_, _| true);
        Some(id)
    }

    /// Runs `call` on a connection, updates the pool's indexes, and closes the connection if `call` returns `false`.
    /// Then closes the largest connections while the buffers of all exceed their limit.
    fn with_connection(
        &mut self,
        id: u64,
        call: impl FnOnce(&mut ProtocolConnection, &mut Vec<UpstreamEvent>) -> bool,
    ) {
        let idle_timeout = self.idle_timeout();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let events_before = self.events.len();
        let alive = call(&mut connection.protocol, &mut self.events);
        self.event_bytes += self.events[events_before..].iter().map(UpstreamEvent::text_bytes).sum::<usize>();
        let read_later = alive && connection.protocol.has_more_to_read();
        let timeout = connection.protocol.poll_timeout(idle_timeout);
        if timeout != connection.timeout {
            connection.timeout.into_iter().for_each(|at| _ = self.timers.remove(&(at, id)));
            timeout.into_iter().for_each(|at| _ = self.timers.insert((at, id)));
            connection.timeout = timeout;
        }
        let buffered_bytes = connection.protocol.buffered_bytes();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes - connection.buffered_bytes;
        connection.buffered_bytes = buffered_bytes;
        if read_later {
            self.read_later(id);
        }
        if !alive {
            self.close(id);
        }
        self.close_largest();
    }

    /// Closes the largest connections, as few as possible, until the buffers of all are within their limit.
    fn close_largest(&mut self) {
        while self.buffered_bytes > self.limits.backend_bytes {
            let sizes = self.connections.iter().map(|(&id, connection)| (id, connection.buffered_bytes));
            let Some(id) = largest_connection(sizes) else { return };
            let backend = self.connections.get(&id).map_or(0, |connection| connection.backend.0);
            tracing::warn!("backend {backend}: receive buffer limit reached, closing its connection");
            self.close(id);
        }
    }

    /// Ends everything on a connection and drops it.
    fn close(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.protocol.close(&mut self.events);
        }
        self.remove(id);
    }

    /// Drops a connection and its entries in the indexes.
    fn remove(&mut self, id: u64) {
        let Some(removed) = self.connections.remove(&id) else { return };
        self.buffered_bytes -= removed.buffered_bytes;
        removed.timeout.into_iter().for_each(|at| _ = self.timers.remove(&(at, id)));
        if let Some(ids) = self.by_backend.get_mut(&removed.backend) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_backend.remove(&removed.backend);
            }
        }
    }
}
