//! The HTTP frontend: the connections of clients on the platform's protocol, and which of them gives way where there
//! is no room for another.

mod connection;
mod routes;

use std::collections::BTreeMap;
use std::net::TcpStream;

use mallowgauge_core::{Core, QueryResponse, ResponseHandle};
use mallowgauge_net::{Handle, Stream};
use mallowgauge_router::Micros;

use self::connection::{Connection, Progress, State};
use crate::front::http1::MessageError;
use crate::lifecycle::Phase;
use crate::token::SocketKind;

pub use self::connection::LARGEST;

/// A client's first request follows its connection at once: with no room left, one that has sent nothing for longer
/// than this, in microseconds, may be closed.
const FIRST_BYTES_TIMEOUT: Micros = 50_000;
/// A connection that had an answer within so many microseconds does not give way to a crowd of new ones.
const RECENTLY_USED: Micros = 2_000_000;

/// Which connections give way first, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// Has had its last answer.
    Lingering,
    /// Kept alive, and not used recently.
    IdleForLong,
    /// Has sent nothing, or no complete request, since it was opened.
    SilentSinceOpened,
    /// Kept alive, and used recently.
    RecentlyUsed,
}

/// The connections of HTTP clients.
pub struct HttpFrontend {
    connections: BTreeMap<u64, Connection>,
    next_id: u64,
    max_connections: usize,
    /// Where the process is between start and exit.
    phase: Phase,
    /// Connections that have more to read.
    more_to_read: Vec<u64>,
    /// Requests answered with a status of 4xx so far.
    bad_requests: u64,
}

impl HttpFrontend {
    /// A frontend for at most `max_connections`.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            connections: BTreeMap::new(),
            next_id: 1,
            max_connections,
            phase: Phase::Starting,
            more_to_read: Vec::new(),
            bad_requests: 0,
        }
    }

    /// Whether one more connection fits; where there is no room, others are closed in the order of `Eviction`.
    ///
    /// At most a quarter of the places are kept for idle connections, the newest: clients that ask once and stay
    /// would else use up what the platform's proxy lets through to one instance, long before it is full here.
    pub fn has_room(&mut self, now: Micros, core: &mut Core) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_kept_alive());
        if idle.clone().count() > self.max_connections / 4 {
            if let Some(id) = idle.min_by_key(|(_, connection)| connection.since).map(|(&id, _)| id) {
                self.evict(now, id, core);
            }
        }
        while self.connections.len() >= self.max_connections {
            let Some(id) = self.eviction_candidate(now) else { return false };
            self.evict(now, id, core);
        }
        true
    }

    /// The connection that gives way first; of those of one rank, the one that has waited longest.
    fn eviction_candidate(&self, now: Micros) -> Option<u64> {
        // While many are too new to tell a crowd from clients whose request is on its way, those that were used
        // recently stay, and others wait to be accepted.
        let is_fresh = |c: &&Connection| c.is_new && c.since + FIRST_BYTES_TIMEOUT > now;
        let crowded = self.connections.values().filter(is_fresh).count() > self.max_connections / 4;
        let rank = |c: &Connection| {
            let age = now.saturating_sub(c.since);
            match c.state {
                State::Lingering => Some(Eviction::Lingering),
                _ if c.has_output() => None,
                State::Idle | State::ReadingBody(..) if c.is_new => {
                    (age >= FIRST_BYTES_TIMEOUT).then_some(Eviction::SilentSinceOpened)
                }
                State::Idle if c.has_input() => None,
                State::Idle if age >= RECENTLY_USED => Some(Eviction::IdleForLong),
                State::Idle if !crowded => Some(Eviction::RecentlyUsed),
                _ => None,
            }
        };
        let ranked = self.connections.iter().filter_map(|(&id, c)| Some((rank(c)?, c.since, id)));
        ranked.min().map(|(_, _, id)| id)
    }

    /// Closes a connection after a last look for a request, which may have come in the same moment.
    fn evict(&mut self, now: Micros, id: u64, core: &mut Core) {
        self.handle_ready(now, id, core);
        if !self.connections.get(&id).is_some_and(Connection::owes_answer) {
            self.linger(now, id, core);
            self.connections.remove(&id);
        }
    }

    /// Tells a client that nothing more will be written, and only then reads what it has sent until then: a request
    /// among that was not answered, and its client sends it again elsewhere.
    fn linger(&mut self, now: Micros, id: u64, core: &mut Core) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.linger(now);
            self.handle_ready(now, id, core);
        }
    }

    /// Takes an accepted connection.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: TcpStream) {
        let id = self.next_id;
        self.next_id += 1;
        match Stream::from_accepted(handle, socket, SocketKind::HttpClient.token(id)) {
            Ok(stream) => _ = self.connections.insert(id, Connection::new(stream, now)),
            Err(error) => tracing::warn!("connection not taken: {error}"),
        }
    }

    /// A connection's socket is ready.
    pub fn handle_ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let progress = connection.handle_ready(now, id, core, self.phase);
        let bad_requests = std::mem::take(&mut connection.bad_requests);
        let awaits_answer = matches!(connection.state, State::AwaitingAnswer);
        self.count_bad_requests(bad_requests.count, bad_requests.last_status);
        match progress {
            Progress::Blocked => {}
            Progress::MoreToRead => self.more_to_read.push(id),
            Progress::Closed => {
                if awaits_answer {
                    core.client_disconnected(ResponseHandle::Http(id));
                }
                self.connections.remove(&id);
            }
        }
    }

    /// Each doubling of the number of bad requests is worth a line of the log, so that nobody can fill it.
    fn count_bad_requests(&mut self, count: u64, last_status: u16) {
        let before = self.bad_requests;
        self.bad_requests += count;
        if before.checked_ilog2() != self.bad_requests.checked_ilog2() {
            tracing::warn!("bad requests: {} so far, the last was answered {last_status}", self.bad_requests);
        }
    }

    /// The core has answered a client's query.
    pub fn respond(&mut self, now: Micros, id: u64, response: &QueryResponse, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.respond(now, response, self.phase);
        // What the client sent ahead is read now: the socket will not be said to be ready for it again.
        self.handle_ready(now, id, core);
    }

    /// Whether any client is still connected. Each wait for one is bounded, and while the process finishes those
    /// that are idle are not waited for.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.connections.is_empty()
    }

    /// The phase of the process has changed. While it drains, connections stay open: a client that is sent away
    /// before the platform's proxy knows of another instance has nowhere to go.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// When the first client has kept its connection waiting for too long; at once if there is more to read.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        if !self.more_to_read.is_empty() {
            return Some(0);
        }
        self.connections.values().filter_map(|connection| connection.deadline(self.phase)).min()
    }

    /// Goes on where there is more to read, and ends connections whose clients have kept them waiting for too long,
    /// after a last look at what they have sent.
    pub fn handle_timeout(&mut self, now: Micros, core: &mut Core) {
        for id in std::mem::take(&mut self.more_to_read) {
            self.handle_ready(now, id, core);
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
            } else if connection.request_begun && !connection.has_output() {
                connection.reject_input(now, MessageError::RequestTimeout);
                self.handle_ready(now, id, core);
            } else {
                self.connections.remove(&id);
            }
        }
    }
}
