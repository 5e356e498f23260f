//! The Flight frontend: serves clients over Arrow Flight, which is gRPC over HTTP/2.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connection`, `stream_accept` | a client's connection; accepting new calls on it |
//! | `call`, `call_driver` | one call: reading and writing messages; driving the call's state |
//! | `method`, `methods` | the methods with one request message |
//! | `batch_stream`, `batch_driver` | `DoPut` and `DoExchange`: many queries on one stream |
//! | `submission`, `response`, `status` | submitting queries to the core; encoding outcomes as tables, metadata or statuses |
//! | `auth`, `tickets`, `command` | authentication; signed tickets; parsing of queries |
//! | `origin` | which process issued a ticket or poll descriptor |
//! | `service` | the state that all calls share |
//!
//! Decisions are taken in `mallowgauge_core`: admission of connections and calls (`stream_admission`), the state of
//! tickets and polled queries (`polled_queries`), how much batch streams may keep (`memory_budget`), when a batch stream may read and start queries
//! (`query_stream`), and
//! which sessions are kept (`sessions`).

mod auth;
mod batch_driver;
mod batch_stream;
mod call;
mod call_driver;
mod command;
mod connection;
mod method;
mod methods;
mod origin;
mod response;
mod service;
mod status;
mod stream_accept;
mod submission;
mod tickets;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use h2::server;
use mallowgauge_core::memory_budget::MemoryBudget;
use mallowgauge_core::polled_queries::{self, PolledQueries, RunId};
use mallowgauge_core::sessions::Sessions;
use mallowgauge_core::stream_admission::{StreamAdmission, StreamLimits, CONNECTION_WINDOW};
use mallowgauge_core::{Core, QueryResponse};
use mallowgauge_flight::answer::{schema_message, text_schema};
use mallowgauge_flight::seal;
use mallowgauge_net::{Handle, Stream};
use mallowgauge_router::Micros;
use mallowgauge_settings::FlightSettings as Settings;

use self::auth::Authenticator;
use self::call::Call;
use self::connection::{Connection, Lingering, State, LINGER_BYTES, LINGER_TIME};
use self::service::{random_bytes, FlightService, ABANDONED_POLL_TIME, OUTCOME_RETENTION, SESSION_IDLE_TIME};
use self::submission::Delivery;
use crate::http2_socket::{Http2Socket, Turn, WakeFlag};
use crate::tls::{self, Acceptor, TlsError};
use crate::token::SocketKind;

/// How long a stream that waits for other clients' queries starts none, in microseconds.
const YIELD_TIME: Micros = 20_000;

/// The Flight frontend: its connections, and the state that their calls share.
pub struct FlightFrontend {
    connections: BTreeMap<u64, Connection>,
    lingering: BTreeMap<u64, Lingering>,
    /// When connections whose streams wait for other clients' queries are driven again.
    yielding_until: Option<Micros>,
    /// Connections whose turn has ended before their sockets blocked.
    more_to_read: BTreeSet<u64>,
    service: FlightService,
    acceptor: Option<Acceptor>,
    /// No more connections are accepted, and idle ones are closed soon.
    finishing: bool,
}

/// The parameters of a frontend.
pub struct Setup<'a> {
    /// Limits on connections, calls and buffers.
    pub limits: StreamLimits,
    /// The operator's settings.
    pub settings: &'a Settings,
    /// The number of query classes.
    pub classes: usize,
}

/// Why changed settings of the Flight frontend cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The certificate or key cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// TLS cannot be enabled or disabled on an open listener.
    #[error("enabling or disabling flight.tls requires a restart")]
    TlsNeedsRestart,
}

impl FlightFrontend {
    /// Creates a frontend without connections.
    ///
    /// # Errors
    /// The certificate or key cannot be used.
    pub fn new(setup: &Setup<'_>) -> Result<Self, TlsError> {
        let Setup { limits, settings, classes } = setup;
        // Without a configured key, tickets and tokens are valid only until this process exits.
        let secret: [u8; 32] = random_bytes();
        let key = seal::Key::new(settings.key.as_deref().unwrap_or(&secret));
        let query_limits = polled_queries::PolledQueryLimits {
            queries: limits.polled_queries,
            outcome_bytes: limits.outcome_bytes,
            retention: OUTCOME_RETENTION,
            poll_timeout: ABANDONED_POLL_TIME,
        };
        let service = FlightService {
            admission: StreamAdmission::new(*limits),
            polled_queries: PolledQueries::new(query_limits),
            batch_memory: MemoryBudget::new(limits.batch_bytes),
            runs: BTreeMap::new(),
            connection_of_call: BTreeMap::new(),
            yielding: BTreeSet::new(),
            waiters: BTreeMap::new(),
            sessions: Sessions::new(limits.sessions, SESSION_IDLE_TIME),
            authenticator: Authenticator::new(settings.users.clone(), key.clone(), settings.token_lifetime),
            signing_key: key,
            issuer: u64::from_le_bytes(random_bytes()),
            ticket_lifetime: settings.ticket_lifetime,
            abandoned_poll_time: ABANDONED_POLL_TIME,
            custom_columns: settings.every_backend || !settings.backends.is_empty(),
            text_schema: schema_message(&text_schema()).ok(),
            known_schemas: vec![None; *classes],
            source_schemas: vec![None; *classes],
            outbox: Vec::new(),
            last_id: 0,
            draining: false,
        };
        let acceptor = settings.tls.as_ref().map(Acceptor::new).transpose()?;
        Ok(Self {
            connections: BTreeMap::new(),
            lingering: BTreeMap::new(),
            yielding_until: None,
            more_to_read: BTreeSet::new(),
            service,
            acceptor,
            finishing: false,
        })
    }

    /// Applies certificate, key and users from reloaded settings. Open connections are kept.
    ///
    /// # Errors
    /// The settings cannot be applied; the previous ones stay in use.
    pub fn reload(&mut self, settings: &Settings) -> Result<(), ReloadError> {
        let acceptor = settings.tls.as_ref().map(Acceptor::new).transpose()?;
        if acceptor.is_some() != self.acceptor.is_some() {
            return Err(ReloadError::TlsNeedsRestart);
        }
        self.acceptor = acceptor;
        if settings.users.is_some() == self.service.authenticator.is_required() {
            self.service.authenticator.replace_users(settings.users.clone());
        }
        Ok(())
    }

    /// Makes capacity for one more connection if needed, by closing a lingering connection, or else the one that has
    /// been idle for longest. Returns whether there is capacity.
    pub fn ensure_capacity(&mut self) -> bool {
        if !self.service.admission.has_capacity() && self.lingering.pop_first().is_some() {
            self.service.admission.disconnected();
        }
        if !self.service.admission.has_capacity() {
            let idle = self.connections.iter().filter(|(_, c)| c.calls.is_empty());
            if let Some(id) = idle.min_by_key(|(_, c)| c.idle_since).map(|(&id, _)| id) {
                self.connections.remove(&id);
                self.service.admission.disconnected();
            }
        }
        self.service.admission.has_capacity()
    }

    /// Starts a connection on an accepted socket.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: std::net::TcpStream) {
        let id = self.service.next_id();
        let stream = match Stream::from_accepted(handle, socket, SocketKind::FlightClient.token(id)) {
            Ok(stream) => Rc::new(stream),
            Err(e) => return tracing::warn!("accepted client connection failed: {e}"),
        };
        let session = match self.acceptor.as_ref().map(Acceptor::accept).transpose() {
            Ok(session) => session,
            Err(e) => return tracing::warn!("accepted client connection failed: {e}"),
        };
        let turn = Turn::default();
        let session = session.map(tls::Session::Server);
        let (wire, _) = Http2Socket::new(Rc::clone(&stream), session, turn.clone());
        let limits = self.service.admission.limits();
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(limits.header_bytes)
            .initial_window_size(limits.message_bytes as u32 + 5)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_send_buffer_size(limits.send_buffer);
        let state = State::Handshake(Box::pin(builder.handshake(wire)));
        let (flag, waker) = WakeFlag::waker();
        let calls = BTreeMap::new();
        let draining = false;
        self.connections
            .insert(id, Connection { stream, state, flag, waker, turn, calls, draining, idle_since: now });
        self.service.admission.connected();
    }

    /// Handles readiness of a connection's socket, or new output for it.
    pub fn handle_ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        self.drive_connection(now, id, core);
        self.deliver_outcomes(now, core);
    }

    fn drive_connection(&mut self, now: Micros, id: u64, core: &mut Core) {
        if let Some(lingering) = self.lingering.get_mut(&id) {
            if !lingering.discard_input() {
                self.lingering.remove(&id);
                self.service.admission.disconnected();
            }
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let alive = connection.handle_ready(now, id, &mut self.service, core);
        if alive && connection.turn.has_ended() {
            self.more_to_read.insert(id);
        }
        if !self.service.yielding.is_empty() {
            self.yielding_until.get_or_insert(now + YIELD_TIME);
        }
        if !alive {
            self.close(now, id, core);
        }
    }

    /// Delivers queued outcomes to their calls until the queue is empty.
    fn deliver_outcomes(&mut self, now: Micros, core: &mut Core) {
        while !self.service.outbox.is_empty() {
            let mut active = BTreeSet::new();
            for Delivery { target, outcome } in std::mem::take(&mut self.service.outbox) {
                let Some(&id) = self.service.connection_of_call.get(&target.call) else { continue };
                let connection = self.connections.get_mut(&id);
                let call = connection.and_then(|connection| connection.calls.get_mut(&target.call));
                if let Some(call) = call {
                    call.deliver(now, &target.tag, &target.id, outcome, &mut self.service, core);
                    active.insert(id);
                }
            }
            active.into_iter().for_each(|id| self.drive_connection(now, id, core));
        }
    }

    /// Closes a connection, and withdraws its calls from their queries.
    fn close(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.remove(&id) else { return };
        for (call_id, mut call) in connection.calls {
            self.service.connection_of_call.remove(&call_id);
            call.abandon_queries(&mut self.service, core);
            self.service.admission.call_ended();
        }
        let stream = connection.stream;
        stream.shutdown_write();
        let mut lingering = Lingering { stream, closes_at: now + LINGER_TIME, remaining_bytes: LINGER_BYTES };
        if lingering.discard_input() {
            self.lingering.insert(id, lingering);
        } else {
            self.service.admission.disconnected();
        }
    }

    /// Delivers the core's final response to a run.
    pub fn respond(&mut self, now: Micros, run: u64, response: QueryResponse, core: &mut Core) {
        let response = Rc::new(response);
        let waiters = self.service.run_completed(now, RunId(run), &response);
        self.service.queue_outcome(waiters, &Ok(response));
        self.deliver_outcomes(now, core);
    }

    /// Returns whether a call expects a response or writes one, or a polled query runs without a waiter. Every open
    /// connection without a call counts as busy, because h2 may still buffer part of a response.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let expects_response =
            |open: &Connection| open.calls.is_empty() || open.calls.values().any(Call::expects_response);
        !self.service.runs.is_empty()
            || !self.lingering.is_empty()
            || self.connections.values().any(expects_response)
    }

    /// Sends a GOAWAY to every client. Batch streams end once their open queries are answered.
    pub fn drain(&mut self, now: Micros, core: &mut Core) {
        self.service.draining = true;
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            if let Some(connection) = self.connections.get_mut(&id) {
                if let State::Open(open) = &mut connection.state {
                    if !std::mem::replace(&mut connection.draining, true) {
                        open.graceful_shutdown();
                    }
                }
                connection.calls.values_mut().for_each(Call::drain);
            }
            self.handle_ready(now, id, core);
        }
    }

    /// Drains, and closes idle connections soon; no more connections are accepted.
    pub fn finish(&mut self, now: Micros, core: &mut Core) {
        self.finishing = true;
        self.drain(now, core);
    }

    /// Returns when the first timeout of a call, connection or polled query is due.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        if !self.more_to_read.is_empty() {
            return Some(0);
        }
        let calls = self.connections.values().flat_map(|c| c.calls.values());
        let idle = self.connections.values().filter_map(|c| c.idle_until(self.finishing));
        let lingering = self.lingering.values().map(|lingering| lingering.closes_at);
        calls
            .filter_map(Call::poll_timeout)
            .chain(idle)
            .chain(lingering)
            .chain(self.service.polled_queries.poll_timeout())
            .chain(self.yielding_until)
            .min()
    }

    /// Continues connections whose turn has ended, and ends the calls, connections and polled queries whose timeouts are
    /// due.
    pub fn handle_timeout(&mut self, now: Micros, core: &mut Core) {
        for id in std::mem::take(&mut self.more_to_read) {
            self.handle_ready(now, id, core);
        }
        if self.yielding_until.is_some_and(|at| at <= now) {
            self.yielding_until = None;
            for id in std::mem::take(&mut self.service.yielding) {
                self.handle_ready(now, id, core);
            }
        }
        for run in self.service.polled_queries.handle_timeout(now) {
            self.service.cancel_run(run, core);
        }
        let is_due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let (mut idle, mut active) = (Vec::new(), Vec::new());
        let before = self.lingering.len();
        self.lingering.retain(|_, lingering| lingering.closes_at > now);
        (self.lingering.len()..before).for_each(|_| self.service.admission.disconnected());
        for (&id, connection) in &mut self.connections {
            if is_due(connection.idle_until(self.finishing)) {
                idle.push(id);
            }
            let mut any_due = false;
            for call in connection.calls.values_mut().filter(|call| is_due(call.poll_timeout())) {
                any_due = true;
                call.handle_poll_timeout(now, &mut self.service, core);
                if is_due(call.poll_timeout()) {
                    call.abandon_queries(&mut self.service, core);
                    call.handle_timeout(now);
                }
            }
            if any_due {
                active.push(id);
            }
        }
        idle.into_iter().for_each(|id| self.close(now, id, core));
        // The statuses of these calls have to be written.
        active.into_iter().for_each(|id| self.handle_ready(now, id, core));
    }
}
