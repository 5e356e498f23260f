//! The pool: connections to each backend, opened as needed and kept while they are of use.
//!
//! Which connection a call takes, when another is opened and which one gives way is decided in
//! [`mallowgauge_core::connection_limits`]; this module owns the connections and asks.
//!
//! * A connection gives way to another only while it is idle, so no attempt is lost with it.
//! * Where the buffers of all connections outgrow their bound, the largest is closed: its attempts end as those of
//!   a lost connection do ([`BackendConnection`]).
//! * A backend that drains, moves or is removed gets back nothing that was already written; what was not ends as
//!   `NotSent`, and is decided about anew.

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

/// An idle connection is closed after this part of the time after which backends close it.
const IDLE_FRACTION: f64 = 0.8;

/// What discovery says of a backend, as far as it matters to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BackendTarget {
    addr: SocketAddr,
    speaks_flight: bool,
    ring_position: u32,
    /// It takes new parts.
    ready: bool,
    started_at: Option<Micros>,
}

impl BackendTarget {
    /// Whether a part that was sent to the backend as it was `before` may still begin.
    fn continues(&self, before: &BackendTarget) -> bool {
        self.ready && (self.addr, self.ring_position) == (before.addr, before.ring_position)
    }
}

/// A connection and what the pool's tables hold of it.
struct PooledConnection {
    backend: BackendId,
    addr: SocketAddr,
    /// When opening it began.
    opened_at: Micros,
    protocol: ProtocolConnection,
    /// Its entry in `timers`.
    timeout: Option<Micros>,
    /// Its part of `buffered_bytes`.
    buffered_bytes: usize,
}

/// What a call takes: a connection that is there, or a new one.
enum Selection {
    Existing(u64),
    New {
        /// The connection taken where none can be opened.
        fallback: Option<u64>,
        /// The idle connection, to whatever backend, that gives way to the new one.
        evict: Option<u64>,
    },
}

/// Connections to the backends.
pub struct ConnectionPool {
    links: ConnectionSettings,
    flight: FlightSettings,
    limits: ConnectionLimits,
    flight_options: FlightOptions,
    backends: BTreeMap<BackendId, BackendTarget>,
    connections: BTreeMap<u64, PooledConnection>,
    next_id: u64,
    /// The connections of each backend: with hundreds of backends, a look at all connections for each call would
    /// cost more than the call.
    by_backend: BTreeMap<BackendId, Vec<u64>>,
    /// When each connection has a time-out, for the same reason.
    timers: BTreeSet<(Micros, u64)>,
    /// What the buffers of all connections hold.
    buffered_bytes: usize,
    events: Vec<UpstreamEvent>,
}

impl ConnectionPool {
    /// A pool without connections, within these limits.
    #[must_use]
    pub fn new(
        links: ConnectionSettings,
        flight: FlightSettings,
        limits: ConnectionLimits,
        flight_options: FlightOptions,
    ) -> Self {
        Self {
            links,
            flight,
            limits,
            flight_options,
            backends: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 1,
            by_backend: BTreeMap::new(),
            timers: BTreeSet::new(),
            buffered_bytes: 0,
            events: Vec::new(),
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<UpstreamEvent> {
        std::mem::take(&mut self.events)
    }

    /// TLS settings for connections that are opened from now on.
    pub fn set_tls(&mut self, tls: Option<Connector>) {
        self.flight_options.tls = tls;
    }

    /// What discovery says of a backend. Where it drains or has moved, what was not begun there has to go
    /// elsewhere, however late a connection comes up or a socket has room. Where it is a new process, nobody may be
    /// left to close the idle connections to the one before.
    pub fn update_backend(&mut self, backend: BackendId, host: &ListedBackend) {
        let Some(addr) = host.address else { return };
        let target = BackendTarget {
            addr,
            speaks_flight: self.flight.every_backend || self.flight.backends.contains(&host.id),
            ring_position: host.ring_position,
            ready: host.state == EndpointState::Ready,
            started_at: host.started_at,
        };
        let Some(before) = self.backends.insert(backend, target) else { return };
        if !target.continues(&before) {
            self.revoke_all_unsent(backend);
        }
        if target.started_at != before.started_at {
            self.remove_connections(backend, |connection| {
                let is_older = target.started_at.is_some_and(|at| connection.opened_at < at);
                connection.protocol.is_idle() && is_older
            });
        }
    }

    /// A backend is removed: what is in flight there is waited for, and nothing else is kept of it.
    pub fn remove_backend(&mut self, now: Micros, backend: BackendId) {
        self.backends.remove(&backend);
        self.revoke_all_unsent(backend);
        self.remove_connections(backend, |connection| connection.protocol.in_flight(now) == 0);
    }

    /// Sends one batch of attempts to a backend, in as few calls as they fit in.
    pub fn send(
        &mut self,
        now: Micros,
        handle: &Handle,
        backend: BackendId,
        mut attempts: Vec<AttemptRequest>,
    ) {
        while !attempts.is_empty() {
            let rest = attempts.split_off(attempts.len().min(self.links.parts_per_call));
            // A permit may have come after the news that the backend drains.
            let ready = self.backends.get(&backend).is_some_and(|target| target.ready);
            let id = if ready { self.connection_for(now, handle, backend, &attempts) } else { None };
            match id {
                Some(id) => self.with_connection(id, |protocol, events| protocol.send(now, attempts, events)),
                // The lack is on this side: it says nothing of the backend.
                None => {
                    let not_sent = attempts.iter().map(|attempt| UpstreamEvent::not_sent(attempt.attempt));
                    self.events.extend(not_sent);
                }
            }
            attempts = rest;
        }
    }

    /// Nobody waits for an attempt any more.
    pub fn cancel(&mut self, now: Micros, backend: BackendId, attempt: AttemptId) {
        let silent_timeout = self.links.silence_timeout;
        for id in self.connections_of(backend) {
            self.with_connection(id, |protocol, events| {
                protocol.cancel(now, silent_timeout, attempt, events)
            });
        }
    }

    /// An attempt is not to begin any more, if it has not.
    pub fn revoke_unsent(&mut self, backend: BackendId, attempt: AttemptId) {
        for id in self.connections_of(backend) {
            self.with_connection(id, |protocol, events| {
                protocol.revoke_unsent(|send| send.attempt == attempt, events);
                true
            });
        }
    }

    /// Checks a backend's health.
    pub fn health_check(&mut self, now: Micros, handle: &Handle, backend: BackendId) {
        let deadline = now + self.links.connect_timeout;
        match self.connection_for(now, handle, backend, &[]) {
            Some(id) => {
                self.with_connection(id, |protocol, events| protocol.health_check(now, deadline, events));
            }
            None => self.events.push(UpstreamEvent::HealthCheckCompleted(backend, false)),
        }
    }

    /// A connection's socket is ready.
    pub fn handle_ready(&mut self, now: Micros, id: u64) {
        self.with_connection(id, |protocol, events| protocol.handle_ready(now, events));
    }

    /// When a connection has a time-out.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Gives up what has taken too long, and closes connections that have been idle for long.
    pub fn handle_timeout(&mut self, now: Micros) {
        let idle_timeout = self.idle_timeout();
        let due = self.timers.iter().take_while(|(at, _)| *at <= now);
        for id in due.map(|&(_, id)| id).collect::<Vec<_>>() {
            self.with_connection(id, |protocol, events| protocol.handle_timeout(now, idle_timeout, events));
        }
    }

    /// Lets backends go on for whose tables there is memory again, and says which query has to give way where
    /// nothing else would bring the others on.
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

    /// Microseconds after which an idle connection is closed, sooner than the backend would.
    fn idle_timeout(&self) -> Micros {
        (self.links.idle_timeout as f64 * IDLE_FRACTION) as Micros
    }

    fn connections_of(&self, backend: BackendId) -> Vec<u64> {
        self.by_backend.get(&backend).cloned().unwrap_or_default()
    }

    /// What was sent to a backend and not begun was not executed, and is decided about anew.
    fn revoke_all_unsent(&mut self, backend: BackendId) {
        for id in self.connections_of(backend) {
            self.with_connection(id, |protocol, events| {
                protocol.revoke_unsent(|_| true, events);
                !protocol.opens_for_nothing()
            });
        }
    }

    /// Drops the connections of a backend that are chosen by `which`; nobody may wait for anything on them.
    fn remove_connections(&mut self, backend: BackendId, which: impl Fn(&PooledConnection) -> bool) {
        for id in self.connections_of(backend) {
            if self.connections.get(&id).is_some_and(&which) {
                self.remove(id);
            }
        }
    }

    /// A connection that takes these attempts, as `connection_limits` selects it, or else a new one. What it has to
    /// say is read first: one that the backend has closed must not be written to.
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
            self.handle_ready(now, id);
            let connection = self.connections.get(&id);
            if connection.is_some_and(|c| self.takes(now, &target, c, c.protocol.in_flight(now), attempts)) {
                return Some(id);
            }
        };
        if let Some(id) = evict {
            self.remove(id);
        }
        if self.connections.len() >= self.limits.backends {
            tracing::warn!("host {}: no connection to spare", backend.0);
            return None;
        }
        self.open(now, handle, backend, &target).or(fallback)
    }

    /// Whether a connection with so much in flight takes these attempts: it leads to the backend's present process,
    /// and has room for all of them.
    fn takes(
        &self,
        now: Micros,
        target: &BackendTarget,
        connection: &PooledConnection,
        in_flight: usize,
        attempts: &[AttemptRequest],
    ) -> bool {
        // A start in the future is a wrong clock's.
        let started_at = target.started_at.filter(|&at| at <= now).unwrap_or(0);
        connection.addr == target.addr
            && connection.opened_at >= started_at
            && (in_flight == 0 || in_flight + attempts.len() <= self.links.max_attempts)
            && connection.protocol.accepts(attempts)
    }

    /// Asks `connection_limits` what a call takes; `None` where it has to be done without a connection.
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
                has_capacity: self.takes(now, target, connection, in_flight, attempts),
                silent: silent_since.is_some_and(|since| since + self.links.silence_timeout <= now),
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

    /// Begins to open a connection; `None` where the system does not let it.
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
                tracing::warn!("host {}: no connection: {error}", backend.0);
                return None;
            }
        };
        tracing::debug!("host {}: dialling {addr}", backend.0);
        let deadline = now + self.links.connect_timeout;
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

    /// Calls a connection, brings the pool's tables up to date, and closes the connection where `call` returns
    /// `false`. While the buffers of all connections hold too much, the largest closes.
    fn with_connection(
        &mut self,
        id: u64,
        call: impl FnOnce(&mut ProtocolConnection, &mut Vec<UpstreamEvent>) -> bool,
    ) {
        let idle_timeout = self.idle_timeout();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let alive = call(&mut connection.protocol, &mut self.events);
        let timeout = connection.protocol.poll_timeout(idle_timeout);
        if timeout != connection.timeout {
            connection.timeout.into_iter().for_each(|at| _ = self.timers.remove(&(at, id)));
            timeout.into_iter().for_each(|at| _ = self.timers.insert((at, id)));
            connection.timeout = timeout;
        }
        let buffered_bytes = connection.protocol.buffered_bytes();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes - connection.buffered_bytes;
        connection.buffered_bytes = buffered_bytes;
        if !alive {
            self.close(id);
        }
        self.close_largest();
    }

    /// Closes the largest connections, as few as can be, until the buffers of all are within their bound.
    fn close_largest(&mut self) {
        while self.buffered_bytes > self.limits.backend_bytes {
            let sizes = self.connections.iter().map(|(&id, connection)| (id, connection.buffered_bytes));
            let Some(id) = largest_connection(sizes) else { return };
            let backend = self.connections.get(&id).map_or(0, |connection| connection.backend.0);
            tracing::warn!("host {backend}: no room for what it sends");
            self.close(id);
        }
    }

    /// Ends everything on a connection, and drops it.
    fn close(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.protocol.close(&mut self.events);
        }
        self.remove(id);
    }

    /// Drops a connection.
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
