//! One connection of an HTTP client. Requests are handled one after the other: each is answered before the next is
//! read.
//!
//! Every wait for the client is bounded, see [`Connection::deadline`]. What a connection buffers is reserved from the
//! memory of all clients before it is read; without memory the input stays unread.

use mallowgauge_core::client_memory::{ClientMemoryUse, InputUse};
use mallowgauge_core::{Core, QueryResponse, ResponseHandle};
use mallowgauge_net::{ReadEnd, Stream};
use mallowgauge_router::Micros;

use super::input_reader::InputReader;
use super::routes::{error_body, no_room, render, route, Reply, HEALTH_PATH, QUERY_PATH};
use crate::front::http1::{self, BodyReader, MessageError, RequestHead};
use crate::lifecycle::Phase;

/// Maximum buffered input, in bytes: a whole head fits, and body bytes are consumed as they arrive.
const MAX_INPUT: usize = http1::MAX_HEAD_BYTES;
/// Maximum buffered input while the client waits for its response, in bytes. One pipelined request of maximum size
/// fits, so that the end of the stream behind it is noticed and the client counts as disconnected. A client that
/// sends more is rejected.
const MAX_PIPELINED_INPUT: usize = MAX_INPUT + http1::MAX_REQUEST_BODY_BYTES;
/// Maximum memory for one client's input, in bytes: a head or the last read, and a body; or input pipelined behind a
/// query.
pub const MAX_INPUT_PER_CONNECTION: usize = MAX_PIPELINED_INPUT;

/// How long receiving a request may take, in microseconds: from when the connection was opened for the first request,
/// from its first bytes for later ones.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long a client may read nothing of its response, in microseconds.
const RESPONSE_STALL_TIMEOUT: Micros = 10_000_000;
/// How long an idle connection is kept open, in microseconds.
const KEEP_ALIVE_TIMEOUT: Micros = 10_000_000;
/// How long a client may continue to send after its last response, in microseconds.
const LINGER_TIMEOUT: Micros = 500_000;
/// How many bytes a client may send after its last response.
const LINGER_BYTES: usize = 256 * 1024;
/// How long to wait for a first request in [`Phase::Finishing`], in microseconds.
const FIRST_REQUEST_TIMEOUT_FINISHING: Micros = 250_000;
/// Responses up to this size are queued though there is no memory, in bytes: they say what has become of a request.
const MAX_UNRESERVED_RESPONSE: usize = 1024;
/// Consecutive reads from one client before other connections are served.
const MAX_CONSECUTIVE_READS: usize = 4;
/// Requests that are read from one client before other connections are served.
const MAX_CONSECUTIVE_REQUESTS: usize = 16;

#[derive(Debug)]
pub(super) enum State {
    /// Waiting for a request, or for the rest of its head.
    Idle,
    /// The head is complete, the body is not.
    ReadingBody(Box<RequestHead>, BodyReader),
    /// The query was submitted to the core.
    AwaitingResponse,
    /// The last response is being written.
    Closing,
    /// The write side is shut down; input is dropped until the client closes too. Closing a socket with unread input
    /// would reset the connection, and the client could lose the response.
    Lingering,
}

/// The result of driving a connection.
pub(super) enum Progress {
    /// The socket has no more input, or accepts no more output.
    Blocked,
    /// There may be more input; other connections are served first.
    MoreToRead,
    /// There is no memory for more of the request.
    AwaitingMemory,
    /// The connection has ended.
    Closed,
}

/// Counts requests that got a 4xx status.
#[derive(Default)]
pub(super) struct MalformedRequests {
    pub(super) count: u64,
    pub(super) last_status: u16,
}

pub(super) struct Connection {
    pub(super) state: State,
    /// No complete request has been received yet.
    pub(super) is_new: bool,
    /// Part of a request has been received.
    pub(super) request_started: bool,
    /// When the current wait for the client started.
    pub(super) waiting_since: Micros,
    /// Those not yet collected by the frontend.
    pub(super) malformed_requests: MalformedRequests,
    stream: Stream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The memory of all buffers.
    memory: ClientMemoryUse,
    /// Whether the rest of a request is unread for lack of memory.
    awaits_memory: bool,
    /// The connection closes after the current response.
    close: bool,
    /// How many more bytes after the last response are read and dropped.
    linger_bytes: usize,
    /// How many more requests are read before other connections are served.
    requests_left: usize,
    /// The client has left behind requests that are not read yet; none of them may begin.
    client_left: bool,
}

impl Connection {
    pub(super) fn new(stream: Stream, now: Micros, memory: ClientMemoryUse) -> Self {
        Self {
            state: State::Idle,
            is_new: true,
            request_started: false,
            waiting_since: now,
            malformed_requests: MalformedRequests::default(),
            stream,
            input: Vec::new(),
            output: Vec::new(),
            memory,
            awaits_memory: false,
            close: false,
            linger_bytes: LINGER_BYTES,
            requests_left: MAX_CONSECUTIVE_REQUESTS,
            client_left: false,
        }
    }

    /// Returns whether the connection is idle after at least one request.
    pub(super) fn is_kept_alive(&self) -> bool {
        self.is_idle() && !self.is_new
    }

    /// Returns whether no part of a request has been received and no response is pending.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle) && !self.has_input() && !self.has_output()
    }

    /// Returns whether there is buffered input.
    pub(super) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns whether there is buffered output.
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Returns whether the client waits for a response, or for the rest of one.
    pub(super) fn owes_response(&self) -> bool {
        matches!(self.state, State::AwaitingResponse) || self.has_output()
    }

    /// Returns when the wait for the client times out; `None` while the client waits for the server.
    pub(super) fn deadline(&self, phase: Phase) -> Option<Micros> {
        let timeout = match self.state {
            State::AwaitingResponse => return None,
            State::Lingering => LINGER_TIMEOUT,
            _ if self.has_output() => RESPONSE_STALL_TIMEOUT,
            State::Idle if !self.request_started && phase == Phase::Finishing => match self.is_new {
                true => FIRST_REQUEST_TIMEOUT_FINISHING,
                false => 0,
            },
            State::Idle if !self.request_started && !self.is_new => KEEP_ALIVE_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        Some(self.waiting_since + timeout)
    }

    /// Returns whether the client has timed out.
    pub(super) fn is_overdue(&self, now: Micros, phase: Phase) -> bool {
        self.deadline(phase).is_some_and(|at| at <= now)
    }

    /// Shuts down the write side; from now on input is dropped.
    pub(super) fn linger(&mut self, now: Micros) {
        self.stream.shutdown_write();
        self.state = State::Lingering;
        self.waiting_since = now;
        self.request_started = false;
    }

    /// Reads and writes until the socket blocks, with at most [`MAX_CONSECUTIVE_READS`] reads and
    /// [`MAX_CONSECUTIVE_REQUESTS`] requests.
    pub(super) fn handle_ready(
        &mut self,
        now: Micros,
        id: u64,
        reader: &mut InputReader,
        core: &mut Core,
        phase: Phase,
    ) -> Progress {
        self.awaits_memory = false;
        self.requests_left = MAX_CONSECUTIVE_REQUESTS;
        for _ in 0..MAX_CONSECUTIVE_READS {
            if !self.flush(now) {
                return Progress::Closed;
            }
            let awaits_response = matches!(self.state, State::AwaitingResponse);
            let (limit, input_use) = match awaits_response {
                true => (MAX_PIPELINED_INPUT, InputUse::ReadAhead),
                false => (MAX_INPUT, InputUse::Request),
            };
            let Some(end) = reader.read(&self.stream, &mut self.input, limit, input_use, &self.memory) else {
                return self.memory_exhausted();
            };
            if awaits_response && self.input.len() >= limit {
                core.client_disconnected(ResponseHandle::Http(id));
                self.reject_input(now, MessageError::TooMuchPipelinedInput);
                continue;
            }
            let Some(consumed) = self.handle_input(now, id, core, phase) else { return Progress::Closed };
            if self.client_left {
                return Progress::Closed;
            }
            if self.requests_left == 0 && self.may_hold_request() {
                return Progress::MoreToRead;
            }
            if end.is_over() {
                return Progress::Closed;
            }
            if end == ReadEnd::Blocked || (!consumed && self.input.len() >= limit) {
                return Progress::Blocked;
            }
        }
        Progress::MoreToRead
    }

    /// Leaves the input unread. That a client has left behind it is known once the kernel has received all of it.
    fn memory_exhausted(&mut self) -> Progress {
        if self.stream.is_closed_by_peer() {
            return Progress::Closed;
        }
        if matches!(self.state, State::AwaitingResponse) {
            // It is read on once the response is queued.
            return Progress::Blocked;
        }
        self.awaits_memory = true;
        Progress::AwaitingMemory
    }

    /// Why a request that has not been received in time is rejected.
    pub(super) fn timeout_error(&self) -> MessageError {
        match self.awaits_memory {
            true => MessageError::MemoryExhausted,
            false => MessageError::RequestTimeout,
        }
    }

    /// Returns the bytes in all buffers.
    fn buffered_bytes(&self) -> usize {
        let request = match &self.state {
            State::ReadingBody(head, body) => head.bytes() + body.bytes(),
            State::Idle | State::AwaitingResponse | State::Closing | State::Lingering => 0,
        };
        self.input.len() + request + self.output.len()
    }

    /// Processes the buffered input. Returns whether any of it was consumed, or `None` when the connection has ended.
    fn handle_input(&mut self, now: Micros, id: u64, core: &mut Core, phase: Phase) -> Option<bool> {
        let length = self.input.len();
        if matches!(self.state, State::Lingering) {
            self.linger_bytes = self.linger_bytes.checked_sub(length)?;
            self.input.clear();
        }
        let mut consumed = false;
        // While a client does not read its responses, its next requests are not handled.
        while self.may_read_request() {
            match self.read_request(now, id, core, phase) {
                Ok(true) => consumed = true,
                Ok(false) => break,
                Err(error) => {
                    self.reject_input(now, error);
                    consumed = true;
                }
            }
            if !self.flush(now) {
                return None;
            }
        }
        consumed |= self.input.len() < length;
        self.track_request_start(now);
        if self.input.is_empty() {
            // Idle connections hold no buffers.
            self.input = Vec::new();
        }
        self.input.shrink_to_fit();
        let receives_request = matches!(self.state, State::Idle | State::ReadingBody(..));
        if self.memory.resize(self.buffered_bytes()).is_err() && receives_request && !self.has_output() {
            // The parsed head takes more than its bytes on the wire.
            self.reject_input(now, MessageError::MemoryExhausted);
        }
        Some(consumed)
    }

    /// Returns whether the next piece of a request is read from the buffered input now.
    fn may_read_request(&self) -> bool {
        match self.state {
            State::Idle => self.requests_left > 0 && !self.has_output(),
            State::ReadingBody(..) => !self.has_output(),
            State::AwaitingResponse | State::Closing | State::Lingering => false,
        }
    }

    /// Returns whether the buffered input may hold another request that could be read.
    fn may_hold_request(&self) -> bool {
        matches!(self.state, State::Idle) && self.has_input() && !self.has_output()
    }

    /// Starts the request timeout at the first bytes of a request. For the first request it starts with the
    /// connection.
    fn track_request_start(&mut self, now: Micros) {
        let started = match self.state {
            State::ReadingBody(..) => true,
            State::Idle => self.has_input(),
            State::AwaitingResponse | State::Closing | State::Lingering => false,
        };
        if started && !self.request_started && !self.is_new {
            self.waiting_since = now;
        }
        self.request_started = started;
    }

    /// Reads the next piece of a request; `false` if more input is needed first.
    fn read_request(
        &mut self,
        now: Micros,
        id: u64,
        core: &mut Core,
        phase: Phase,
    ) -> Result<bool, MessageError> {
        match &mut self.state {
            State::Idle => {
                let Some((head, body)) = http1::read_request(&mut self.input)? else { return Ok(false) };
                if head.expects_continue && self.input.is_empty() {
                    self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                self.state = State::ReadingBody(Box::new(head), body);
                self.requests_left = self.requests_left.saturating_sub(1);
                Ok(true)
            }
            State::ReadingBody(head, body) => {
                let Some(body) = body.take(&mut self.input)? else { return Ok(false) };
                self.is_new = false;
                self.client_left = head.path == QUERY_PATH && self.stream.is_closed_by_peer();
                if self.client_left {
                    return Ok(false);
                }
                if let State::ReadingBody(head, _) =
                    std::mem::replace(&mut self.state, State::AwaitingResponse)
                {
                    // A health check is its client's only request: closing frees the connection for other clients.
                    self.close = head.close || head.path == HEALTH_PATH;
                    if let Err(reply) = route(now, id, &head, &body, core, phase) {
                        self.reply(now, &reply, phase);
                    }
                }
                Ok(true)
            }
            State::AwaitingResponse | State::Closing | State::Lingering => Ok(false),
        }
    }

    /// Queues the core's response to the query, with at most `max_text` bytes of text made from tables.
    pub(super) fn respond(&mut self, now: Micros, response: &QueryResponse, max_text: usize, phase: Phase) {
        if matches!(self.state, State::AwaitingResponse) {
            self.reply(now, &render(response, max_text), phase);
        }
    }

    fn reply(&mut self, now: Micros, reply: &Reply, phase: Phase) {
        self.count_malformed_request(reply.status);
        let close = self.close || phase == Phase::Finishing;
        let mut response = http1::encode_response(reply.status, &reply.headers, &reply.body, close);
        let fits = self.memory.resize(self.buffered_bytes() + response.len()).is_ok();
        if !fits && response.len() > MAX_UNRESERVED_RESPONSE {
            let no_room = no_room();
            response = http1::encode_response(no_room.status, &no_room.headers, &no_room.body, close);
        }
        response.shrink_to_fit();
        self.output.append(&mut response);
        self.state = if close { State::Closing } else { State::Idle };
        self.waiting_since = now;
    }

    fn count_malformed_request(&mut self, status: u16) {
        if (400..500).contains(&status) {
            self.malformed_requests.count += 1;
            self.malformed_requests.last_status = status;
        }
    }

    /// Rejects malformed input. The start of the next request is unknown then, so nothing more is read from this
    /// client.
    pub(super) fn reject_input(&mut self, now: Micros, error: MessageError) {
        tracing::debug!("malformed request: {error}");
        self.count_malformed_request(error.status());
        self.output.extend(http1::encode_response(
            error.status(),
            &[],
            &error_body(&error.to_string()),
            true,
        ));
        self.state = State::Closing;
        self.request_started = false;
        self.waiting_since = now;
        self.input = Vec::new();
    }

    /// Writes as much output as the socket accepts; `false` when the connection has ended.
    fn flush(&mut self, now: Micros) -> bool {
        if self.has_output() {
            match self.stream.write(&self.output) {
                Ok(0) => {}
                Ok(written) => {
                    self.output.drain(..written);
                    self.waiting_since = now;
                }
                Err(_) => return false,
            }
        }
        if !self.has_output() {
            // Idle connections hold no buffers.
            self.output = Vec::new();
            if matches!(self.state, State::Closing) {
                self.linger(now);
            }
        }
        true
    }
}
