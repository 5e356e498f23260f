//! Discovery: one HTTP/1.1 connection, with one call at a time, that watches the endpoint list.
//!
//! A change counts as notified 6 s after discovery had it and could be reached, whatever became of the calls in
//! between. So any two consecutive calls have to fit into that: the first given up, the router's backoff after it
//! (at most 1.4 s after a first failure, 2.6 s later), and the second answered. `tests/discovery_timing.rs` holds
//! each path against it. One case does not fit: a watch that falls silent as the next call after a refusal, at the
//! longest backoff, takes 6.1 s.

use std::io;
use std::net::SocketAddr;

use mallowgauge_net::{Handle, ReadEnd, Stream};
use mallowgauge_router::Micros;
use mallowgauge_settings::endpoint_list::{parse, EndpointList};
use mallowgauge_settings::error::{EndpointListError, OneLine};
use serde_json::Value;

use crate::front::http1::{MessageError, Response, ResponseReader};
use crate::token::SocketKind;

/// How long discovery may hold a watch back for a change, in microseconds.
const WATCH_WAIT: Micros = 2_200_000;
/// How long after that wait an answer to a watch may still come, in microseconds.
const WATCH_GRACE: Micros = 1_300_000;
/// How long the answer to any other call may take, in microseconds.
const CALL_TIMEOUT: Micros = 2_400_000;
/// How long opening the connection may take, in microseconds.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Longest response in bytes: room for a list of some thousands of backends.
const LONGEST_RESPONSE: usize = 1024 * 1024;

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    /// The changes; the answer is held back until there is one.
    Watch,
    /// The changes so far, answered at once.
    Poll,
    /// The whole list.
    FetchSnapshot,
}

impl Call {
    /// How long the answer may take, in microseconds.
    fn timeout(self) -> Micros {
        match self {
            Call::Watch => WATCH_WAIT + WATCH_GRACE,
            Call::Poll | Call::FetchSnapshot => CALL_TIMEOUT,
        }
    }
}

/// Why a call failed, as the log has it.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection did not come up in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The answer did not come in time.
    #[error("silent for too long")]
    ResponseTimeout,
    /// The address does not take connections.
    #[error("no connection")]
    ConnectFailed,
    /// The socket cannot be opened or written.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The connection ended within an answer.
    #[error("the connection broke")]
    ConnectionLost,
    /// The answer is longer than any list.
    #[error("an answer without end")]
    ResponseTooLong,
    /// What came is no HTTP response.
    #[error(transparent)]
    MalformedResponse(#[from] MessageError),
    /// Discovery answered with another status than 200.
    #[error("answer {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("no list: {0}")]
    NotJson(serde_json::Error),
    /// The body is no endpoint list.
    #[error("no list: {0}")]
    MalformedEndpoints(OneLine<EndpointListError>),
    /// The list is older than the one in use: a backend removed since would be taken to be there again.
    #[error("a list older than the present one")]
    OutdatedEndpoints,
}

/// What a call to discovery came to.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// An endpoint list came, whole or the changes.
    Endpoints(EndpointList),
    /// A call failed; with it the watch has ended.
    Failed(DiscoveryError),
}

/// The call that waits for its answer.
struct InFlight {
    call: Call,
    /// The connection for it is still being opened.
    connecting: bool,
    /// When it is given up.
    deadline: Micros,
}

/// The connection to discovery.
pub struct Discovery {
    addr: SocketAddr,
    stream: Option<Stream>,
    input: Vec<u8>,
    output: Vec<u8>,
    reader: ResponseReader,
    in_flight: Option<InFlight>,
    /// Version of the list in use.
    generation: u64,
    /// The versions that discovery counts need not go on from the present one: it has moved, or answered with an
    /// older one. The next call fetches the snapshot, which is taken whatever its version.
    restart_with_snapshot: bool,
    /// The next watch begins with a poll: the cached snapshot has to be confirmed before it is used, or the call
    /// before was silent, and silence shows sooner on a poll than on one watch after the other.
    poll_first: bool,
}

impl Discovery {
    /// No call is made before one is asked for. `generation` is the version of the list in use; with `poll_first`
    /// the first answer has to come at once.
    #[must_use]
    pub fn new(addr: SocketAddr, generation: u64, poll_first: bool) -> Self {
        Self {
            addr,
            stream: None,
            input: Vec::new(),
            output: Vec::new(),
            reader: ResponseReader::new(LONGEST_RESPONSE),
            in_flight: None,
            generation,
            restart_with_snapshot: false,
            poll_first,
        }
    }

    /// Watches for changes from now on.
    pub fn watch(&mut self, now: Micros, handle: &Handle) -> Option<DiscoveryEvent> {
        if self.in_flight.is_some() {
            return None;
        }
        self.start_call(now, handle, Call::Watch)
    }

    /// Calls another address from now on, at once; the answer that the old one owes is not waited for.
    pub fn relocate(&mut self, now: Micros, handle: &Handle, addr: SocketAddr) -> Option<DiscoveryEvent> {
        if addr == self.addr {
            return None;
        }
        self.addr = addr;
        self.stream = None;
        self.restart_with_snapshot = true;
        self.start_call(now, handle, Call::Watch)
    }

    /// When the call in flight is given up.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.in_flight.as_ref().map(|in_flight| in_flight.deadline)
    }

    /// Gives up a call that has taken too long.
    pub fn handle_timeout(&mut self, now: Micros) -> Option<DiscoveryEvent> {
        let in_flight = self.in_flight.as_ref().filter(|in_flight| in_flight.deadline <= now)?;
        let error = if in_flight.connecting {
            DiscoveryError::ConnectTimeout
        } else {
            DiscoveryError::ResponseTimeout
        };
        // After silence alone: a call that was answered, if only with a refusal, is followed by one call and
        // not by two, which an overloaded discovery would feel.
        self.poll_first = true;
        Some(self.fail(error))
    }

    fn start_call(&mut self, now: Micros, handle: &Handle, wanted: Call) -> Option<DiscoveryEvent> {
        let call = match wanted {
            _ if self.restart_with_snapshot => Call::FetchSnapshot,
            Call::Watch if self.poll_first => Call::Poll,
            call => call,
        };
        self.output = self.request(call);
        self.input = Vec::new();
        self.reader = ResponseReader::new(LONGEST_RESPONSE);
        let mut in_flight = InFlight { call, connecting: false, deadline: now + call.timeout() };
        if self.stream.is_none() {
            match Stream::connect(handle, self.addr, SocketKind::Discovery.token(0)) {
                Ok(stream) => self.stream = Some(stream),
                Err(error) => return Some(self.fail(error.into())),
            }
            in_flight.connecting = true;
            in_flight.deadline = now + CONNECT_TIMEOUT;
        }
        self.in_flight = Some(in_flight);
        self.flush(now)
    }

    /// The bytes of a call.
    fn request(&self, call: Call) -> Vec<u8> {
        let query = match call {
            Call::Poll => format!("?index={}&wait=1", self.generation),
            Call::Watch => format!("?index={}&wait={}", self.generation, WATCH_WAIT / 1000),
            Call::FetchSnapshot => String::new(),
        };
        format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr).into_bytes()
    }

    /// Writes what the socket takes, once the connection is up.
    fn flush(&mut self, now: Micros) -> Option<DiscoveryEvent> {
        let stream = self.stream.as_ref()?;
        match stream.connected() {
            None => return None,
            Some(false) => return Some(self.fail(DiscoveryError::ConnectFailed)),
            Some(true) => {}
        }
        if let Some(in_flight) = self.in_flight.as_mut().filter(|in_flight| in_flight.connecting) {
            in_flight.connecting = false;
            in_flight.deadline = now + in_flight.call.timeout();
        }
        match stream.write(&self.output) {
            Ok(written) => drop(self.output.drain(..written)),
            Err(error) => return Some(self.fail(error.into())),
        }
        None
    }

    fn fail(&mut self, error: DiscoveryError) -> DiscoveryEvent {
        self.stream = None;
        self.input = Vec::new();
        self.output = Vec::new();
        self.in_flight = None;
        DiscoveryEvent::Failed(error)
    }

    /// The socket is ready: the answer is read, and the next watch goes out at once.
    pub fn handle_ready(&mut self, now: Micros, handle: &Handle) -> Vec<DiscoveryEvent> {
        if let Some(failed) = self.flush(now) {
            return vec![failed];
        }
        match self.read_response() {
            Ok(Some(response)) => self.handle_response(now, handle, &response),
            Ok(None) => Vec::new(),
            Err(error) => vec![self.fail(error)],
        }
    }

    /// Reads until the answer is complete; `None` while more has to come.
    fn read_response(&mut self) -> Result<Option<Response>, DiscoveryError> {
        if self.in_flight.as_ref().is_some_and(|in_flight| in_flight.connecting) {
            return Ok(None);
        }
        loop {
            let Some(stream) = &self.stream else { return Ok(None) };
            let end = stream.read(&mut self.input, LONGEST_RESPONSE);
            if self.in_flight.is_none() {
                self.drop_unsolicited(end);
                return Ok(None);
            }
            let length = self.input.len();
            let response = self.reader.take(&mut self.input, end == ReadEnd::Closed);
            match response? {
                Some(response) => {
                    // Bytes after the answer belong to no call; they must not be taken for the next one's.
                    if response.close || end.is_over() || !self.input.is_empty() {
                        self.stream = None;
                    }
                    return Ok(Some(response));
                }
                // What the reader took made room for what the socket still holds.
                None if end == ReadEnd::Full && self.input.len() < length => {}
                None if end == ReadEnd::Blocked => return Ok(None),
                None if end == ReadEnd::Full => return Err(DiscoveryError::ResponseTooLong),
                None => return Err(DiscoveryError::ConnectionLost),
            }
        }
    }

    /// With no call in flight, what comes is the end of the connection, or answers nothing and ends it too.
    fn drop_unsolicited(&mut self, end: ReadEnd) {
        if end != ReadEnd::Blocked || !self.input.is_empty() {
            self.stream = None;
            self.input = Vec::new();
        }
    }

    /// A complete answer: the list that it holds, and the next call.
    fn handle_response(&mut self, now: Micros, handle: &Handle, response: &Response) -> Vec<DiscoveryEvent> {
        let list = match self.accept_list(response) {
            Ok(list) => list,
            Err(error) => return vec![self.fail(error)],
        };
        self.generation = list.generation;
        self.poll_first = false;
        let answered = self.in_flight.take().map(|in_flight| in_flight.call);
        if answered == Some(Call::FetchSnapshot) {
            self.restart_with_snapshot = false;
        }
        let mut events = vec![DiscoveryEvent::Endpoints(list)];
        events.extend(self.start_call(now, handle, Call::Watch));
        events
    }

    /// The list of an answer, if it may be used.
    fn accept_list(&mut self, response: &Response) -> Result<EndpointList, DiscoveryError> {
        if response.status != 200 {
            return Err(DiscoveryError::Status(response.status));
        }
        let body: Value = serde_json::from_slice(&response.body).map_err(DiscoveryError::NotJson)?;
        let list = parse(&body).map_err(DiscoveryError::MalformedEndpoints)?;
        if list.generation < self.generation && !self.restart_with_snapshot {
            self.restart_with_snapshot = true;
            return Err(DiscoveryError::OutdatedEndpoints);
        }
        Ok(list)
    }
}
