//! The HTTP frontend: client connections that speak the platform's protocol, and the policy that chooses which
//! connection to close when the connection limit is reached.

mod connection;
mod input_reader;
mod routes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;

use mallowgauge_core::client_memory::ClientMemory;
use mallowgauge_core::{Core, QueryResponse, ResponseHandle};
use mallowgauge_net::{Handle, Stream};
use mallowgauge_router::Micros;

use self::connection::{Connection, Progress, State};
use self::input_reader::InputReader;
use crate::lifecycle::Phase;
use crate::token::SocketKind;

pub use self::connection::MAX_INPUT_PER_CONNECTION;

/// At the connection limit, a connection without a complete request this long after it was opened may be closed, in
/// microseconds. Clients send their first request as soon as they are connected.
const FIRST_REQUEST_GRACE: Micros = 50_000;
/// How long after its last response a connection counts as recently used, in microseconds. A burst of new connections
/// does not evict such connections.
const RECENT_USE_PERIOD: Micros = 2_000_000;

/// The order in which connections are evicted, first variant first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// Its last response has been written; the server waits for the client to close.
    Lingering,
    /// Kept alive, and not used recently.
    LongIdle,
    /// Has sent no complete request since it was opened.
    NoRequestYet,
    /// Kept alive, and used recently.
    RecentlyUsed,
}

/// The connections of HTTP clients.
pub struct HttpFrontend {
    connections: BTreeMap<u64, Connection>,
    next_id: u64,
    max_connections: usize,
    /// Bytes of text that the tables of one query may become.
    text_bytes_per_query: usize,
    /// The lifecycle phase of the process.
    phase: Phase,
    /// Connections whose sockets may have more input. Each is driven once in an iteration of the event loop, however often
    /// its socket became ready meanwhile.
    more_to_read: BTreeSet<u64>,
    /// Connections whose requests are unread for lack of memory.
    awaiting_memory: BTreeSet<u64>,
    reader: InputReader,
    /// Requests so far that got a 4xx status.
    malformed_requests: u64,
}

impl HttpFrontend {
    /// Creates a frontend for at most `max_connections` connections, which makes at most `text_bytes_per_query` bytes of
    /// text from the tables of one query. The connections' buffers are reserved from `memory`.
    #[must_use]
    pub fn new(max_connections: usize, text_bytes_per_query: usize, memory: ClientMemory) -> Self {
        Self {
            text_bytes_per_query,
            connections: BTreeMap::new(),
            next_id: 1,
            max_connections,
            phase: Phase::Starting,
            more_to_read: BTreeSet::new(),
            awaiting_memory: BTreeSet::new(),
            reader: InputReader::new(memory),
            malformed_requests: 0,
        }
    }

    /// Makes capacity for one more connection, closing others in the order of `EvictionOrder`. Returns whether there
    /// is capacity.
    ///
    /// At most a quarter of the connections may be idle; beyond that the one idle for longest is closed. Otherwise
    /// clients that send one query and keep their connection would exhaust the number of connections that the
    /// platform's proxy opens to one instance, long before the limit here is reached.
    pub fn ensure_capacity(&mut self, now: Micros, core: &mut Core) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_kept_alive());
        if idle.clone().count() > self.max_connections / 4 {
            if let Some(id) = idle.min_by_key(|(_, connection)| connection.waiting_since).map(|(&id, _)| id) {
                self.evict(now, id, core);
            }
        }
        while self.connections.len() >= self.max_connections {
            let Some(id) = self.eviction_candidate(now) else { return false };
            self.evict(now, id, core);
        }
        true
    }

    /// Returns the connection to evict next: the first in eviction order, and among equals the one that has waited
    /// longest.
    fn eviction_candidate(&self, now: Micros) -> Option<u64> {
        // While many connections are so new that their first request may still be in transit, recently used ones are
        // kept and further clients wait to be accepted.
        let is_fresh = |c: &&Connection| c.is_new && c.waiting_since + FIRST_REQUEST_GRACE > now;
        let many_fresh = self.connections.values().filter(is_fresh).count() > self.max_connections / 4;
        let order = |c: &Connection| {
            let age = now.saturating_sub(c.waiting_since);
            match c.state {
                State::Lingering => Some(EvictionOrder::Lingering),
                _ if c.has_output() => None,
                State::Idle | State::ReadingBody(..) if c.is_new => {
                    (age >= FIRST_REQUEST_GRACE).then_some(EvictionOrder::NoRequestYet)
                }
                State::Idle if c.has_input() => None,
                State::Idle if age >= RECENT_USE_PERIOD => Some(EvictionOrder::LongIdle),
                State::Idle if !many_fresh => Some(EvictionOrder::RecentlyUsed),
                _ => None,
            }
        };
        let ranked = self.connections.iter().filter_map(|(&id, c)| Some((order(c)?, c.waiting_since, id)));
        ranked.min().map(|(_, _, id)| id)
    }

    /// Closes a connection unless a last read finds a request, which may have arrived in the meantime.
    fn evict(&mut self, now: Micros, id: u64, core: &mut Core) {
        self.handle_ready(now, id, core);
        if !self.connections.get(&id).is_some_and(Connection::owes_response) {
            self.linger(now, id, core);
            self.connections.remove(&id);
        }
    }

    /// Starts a lingering close: shuts down the write side first, and then reads and drops the input. A request in
    /// that input gets no response, so its client can send it again on another connection.
    fn linger(&mut self, now: Micros, id: u64, core: &mut Core) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.linger(now);
            self.handle_ready(now, id, core);
        }
    }

    /// Starts serving an accepted connection.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: TcpStream) {
        let id = self.next_id;
        self.next_id += 1;
        match Stream::from_accepted(handle, socket, SocketKind::HttpClient.token(id)) {
            Ok(stream) => {
                self.connections.insert(id, Connection::new(stream, now, self.reader.account()));
            }
            Err(error) => tracing::warn!("accepted client connection failed: {error}"),
        }
    }

    /// Handles readiness of a connection's socket.
    pub fn handle_ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let progress = connection.handle_ready(now, id, &mut self.reader, core, self.phase);
        let malformed_requests = std::mem::take(&mut connection.malformed_requests);
        let awaits_response = matches!(connection.state, State::AwaitingResponse);
        self.count_malformed_requests(malformed_requests.count, malformed_requests.last_status);
        match progress {
            Progress::Blocked => {}
            Progress::MoreToRead => _ = self.more_to_read.insert(id),
            Progress::AwaitingMemory => _ = self.awaiting_memory.insert(id),
            Progress::Closed => {
                if awaits_response {
                    core.client_disconnected(ResponseHandle::Http(id));
                }
                self.connections.remove(&id);
            }
        }
    }

    /// Counts malformed requests. Logs only when their number has doubled, so that a client cannot flood the log.
    fn count_malformed_requests(&mut self, count: u64, last_status: u16) {
        let before = self.malformed_requests;
        self.malformed_requests += count;
        if before.checked_ilog2() != self.malformed_requests.checked_ilog2() {
            tracing::warn!(
                "malformed requests: {} so far, the last got status {last_status}",
                self.malformed_requests
            );
        }
    }

    /// Sends the core's response to a client's query.
    pub fn respond(&mut self, now: Micros, id: u64, response: &QueryResponse, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.respond(now, response, self.text_bytes_per_query, self.phase);
        // Pipelined input is read now: the socket reports no further readiness for bytes that have already arrived.
        self.handle_ready(now, id, core);
    }

    /// Returns whether any client is still connected. Every wait for a client is bounded, and idle clients are not
    /// waited for in [`Phase::Finishing`].
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Sets the lifecycle phase of the process. Connections stay open while it drains: a client that is disconnected
    /// before the platform's proxy knows another instance has nowhere to connect to.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Returns when the first client timeout is due; 0 if there is more input to read.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let memory_freed = !self.awaiting_memory.is_empty() && self.reader.may_read_requests();
        if !self.more_to_read.is_empty() || memory_freed {
            return Some(0);
        }
        self.connections.values().filter_map(|connection| connection.deadline(self.phase)).min()
    }

    /// Continues connections that have more input, and closes those whose client has timed out, after a last read of
    /// their input.
    pub fn handle_timeout(&mut self, now: Micros, core: &mut Core) {
        for id in std::mem::take(&mut self.more_to_read) {
            self.handle_ready(now, id, core);
        }
        if self.reader.may_read_requests() {
            for id in std::mem::take(&mut self.awaiting_memory) {
                self.handle_ready(now, id, core);
            }
        }
        let phase = self.phase;
        let overdue = self.connections.iter().filter(|(_, connection)| connection.is_overdue(now, phase));
        let overdue: Vec<u64> = overdue.map(|(&id, _)| id).collect();
        for id in overdue {
            self.handle_ready(now, id, core);
            let connection = self.connections.get_mut(&id);
            let Some(connection) = connection.filter(|connection| connection.is_overdue(now, phase)) else {
                continue;
            };
            if connection.is_idle() {
                self.linger(now, id, core);
            } else if connection.request_started && !connection.has_output() {
                connection.reject_input(now, connection.timeout_error());
                self.handle_ready(now, id, core);
            } else {
                self.connections.remove(&id);
            }
        }
    }
}
