//! One connection of an HTTP client: its requests come one after the other, each answered before the next is read.
//!
//! No wait for a client is without bound: see [`Connection::deadline`].

use mallowgauge_core::{Core, QueryResponse, ResponseHandle};
use mallowgauge_net::{ReadEnd, Stream};
use mallowgauge_router::Micros;

use super::routes::{error_body, render, route, Reply, HEALTH_PATH};
use crate::front::http1::{self, BodyReader, MessageError, RequestHead};
use crate::lifecycle::Phase;

/// Most bytes of input held: a whole head fits, and of a body what has come is taken off at once.
const LONGEST_INPUT: usize = http1::LONGEST_HEAD;
/// Most bytes of input held while the client waits for its answer: the end of what it sends, by which it leaves, is
/// seen behind one more request of the largest size. A client that sends more is cut off.
const LONGEST_INPUT_AHEAD: usize = LONGEST_INPUT + http1::LONGEST_BODY;
/// The most bytes that a connection holds of what its client sent: a head or what was read last, and a body; or what
/// was sent ahead of an answer.
pub const LARGEST: usize = LONGEST_INPUT_AHEAD;

/// How long a request may take, from when its connection was opened or its first bytes came, in microseconds.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long a client may take nothing of its answer, in microseconds.
const ANSWER_TIMEOUT: Micros = 10_000_000;
/// How long a connection is kept without another request, in microseconds.
const KEEP_ALIVE: Micros = 10_000_000;
/// How long, in microseconds, and how much, in bytes, a client may go on sending after its last answer.
const LINGER_TIMEOUT: Micros = 500_000;
const LINGER_BYTES: usize = 256 * 1024;
/// How long a first request is waited for while the process finishes, in microseconds.
const FIRST_REQUEST_WHILE_FINISHING: Micros = 250_000;
/// Reads of one client in a row before other connections get their turn.
const READS_IN_A_ROW: usize = 16;

#[derive(Debug)]
pub(super) enum State {
    /// Waits for a request, or for the rest of its head.
    Idle,
    /// The head is complete, the body is not.
    ReadingBody(Box<RequestHead>, BodyReader),
    /// The core has the query.
    AwaitingAnswer,
    /// The last answer is being written.
    Closing,
    /// Nothing more is written, and the client has been told so; what it still sends is dropped until it closes too.
    /// A close over unread bytes would reset the connection and could take the answer with it.
    Lingering,
}

/// How a connection goes on.
pub(super) enum Progress {
    /// The socket has nothing more, or takes nothing more.
    Blocked,
    /// There is more to read; other connections come first.
    MoreToRead,
    /// The connection is over.
    Closed,
}

/// Requests that were answered with a status of 4xx.
#[derive(Default)]
pub(super) struct BadRequests {
    pub(super) count: u64,
    pub(super) last_status: u16,
}

pub(super) struct Connection {
    pub(super) state: State,
    /// No request of this client has become complete yet.
    pub(super) is_new: bool,
    /// A part of a request has come.
    pub(super) request_begun: bool,
    /// When the present wait for the client began.
    pub(super) since: Micros,
    /// Since they were last taken.
    pub(super) bad_requests: BadRequests,
    stream: Stream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The connection closes after this answer.
    close: bool,
    /// So many bytes after the last answer are still dropped.
    linger_bytes: usize,
}

impl Connection {
    pub(super) fn new(stream: Stream, now: Micros) -> Self {
        Self {
            state: State::Idle,
            is_new: true,
            request_begun: false,
            since: now,
            bad_requests: BadRequests::default(),
            stream,
            input: Vec::new(),
            output: Vec::new(),
            close: false,
            linger_bytes: LINGER_BYTES,
        }
    }

    /// It has had an answer, and nothing of another request has come.
    pub(super) fn is_kept_alive(&self) -> bool {
        self.is_idle() && !self.is_new
    }

    /// Nothing of a request has come, and no answer is owed.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle) && !self.has_input() && !self.has_output()
    }

    /// Something of the client's waits to be read.
    pub(super) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Something of an answer waits to be written.
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// The client waits for an answer, or for the rest of one.
    pub(super) fn owes_answer(&self) -> bool {
        matches!(self.state, State::AwaitingAnswer) || self.has_output()
    }

    /// When the client has kept the connection waiting for too long; `None` while it is the client that waits.
    pub(super) fn deadline(&self, phase: Phase) -> Option<Micros> {
        let timeout = match self.state {
            State::AwaitingAnswer => return None,
            State::Lingering => LINGER_TIMEOUT,
            _ if self.has_output() => ANSWER_TIMEOUT,
            State::Idle if !self.request_begun && phase == Phase::Finishing => match self.is_new {
                true => FIRST_REQUEST_WHILE_FINISHING,
                false => 0,
            },
            State::Idle if !self.request_begun && !self.is_new => KEEP_ALIVE,
            _ => REQUEST_TIMEOUT,
        };
        Some(self.since + timeout)
    }

    /// Whether the client has kept the connection waiting for too long.
    pub(super) fn is_overdue(&self, now: Micros, phase: Phase) -> bool {
        self.deadline(phase).is_some_and(|at| at <= now)
    }

    /// Tells the client that nothing more will be written.
    pub(super) fn linger(&mut self, now: Micros) {
        self.stream.shutdown_write();
        self.state = State::Lingering;
        self.since = now;
        self.request_begun = false;
    }

    /// Reads and writes as far as the socket lets it, within [`READS_IN_A_ROW`].
    pub(super) fn handle_ready(&mut self, now: Micros, id: u64, core: &mut Core, phase: Phase) -> Progress {
        for _ in 0..READS_IN_A_ROW {
            if !self.flush(now) {
                return Progress::Closed;
            }
            let awaits_answer = matches!(self.state, State::AwaitingAnswer);
            let limit = if awaits_answer { LONGEST_INPUT_AHEAD } else { LONGEST_INPUT };
            let end = self.stream.read(&mut self.input, limit);
            if awaits_answer && end == ReadEnd::Full {
                core.client_disconnected(ResponseHandle::Http(id));
                self.reject_input(now, MessageError::TooMuchAhead);
                continue;
            }
            let Some(advanced) = self.handle_input(now, id, core, phase) else { return Progress::Closed };
            if end.is_over() {
                return Progress::Closed;
            }
            if end == ReadEnd::Blocked || !advanced {
                return Progress::Blocked;
            }
        }
        Progress::MoreToRead
    }

    /// Takes what has come; whether anything was taken, or `None` when the connection is over.
    fn handle_input(&mut self, now: Micros, id: u64, core: &mut Core, phase: Phase) -> Option<bool> {
        let length = self.input.len();
        if matches!(self.state, State::Lingering) {
            self.linger_bytes = self.linger_bytes.checked_sub(length)?;
            self.input.clear();
        }
        let mut advanced = false;
        // A client that does not take its answers gets no more of them.
        while matches!(self.state, State::Idle | State::ReadingBody(..)) && !self.has_output() {
            match self.read_request(now, id, core, phase) {
                Ok(true) => advanced = true,
                Ok(false) => break,
                Err(error) => {
                    self.reject_input(now, error);
                    advanced = true;
                }
            }
            if !self.flush(now) {
                return None;
            }
        }
        advanced |= self.input.len() < length;
        self.note_request_begun(now);
        if self.input.is_empty() {
            // Idle clients hold no buffers.
            self.input = Vec::new();
        }
        Some(advanced)
    }

    /// The time for a request runs from its first bytes; the time for the first request from the connection's start.
    fn note_request_begun(&mut self, now: Micros) {
        let begun = match self.state {
            State::ReadingBody(..) => true,
            State::Idle => self.has_input(),
            State::AwaitingAnswer | State::Closing | State::Lingering => false,
        };
        if begun && !self.request_begun && !self.is_new {
            self.since = now;
        }
        self.request_begun = begun;
    }

    /// Takes the next piece of a request; `false` when more has to come first.
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
                Ok(true)
            }
            State::ReadingBody(_, body) => {
                let Some(body) = body.take(&mut self.input)? else { return Ok(false) };
                self.is_new = false;
                if let State::ReadingBody(head, _) = std::mem::replace(&mut self.state, State::AwaitingAnswer)
                {
                    // Who asks for the health has nothing more to ask, and the place is wanted.
                    self.close = head.close || head.path == HEALTH_PATH;
                    if let Err(reply) = route(now, id, &head, &body, core, phase) {
                        self.reply(now, &reply, phase);
                    }
                }
                Ok(true)
            }
            State::AwaitingAnswer | State::Closing | State::Lingering => Ok(false),
        }
    }

    /// The core has answered the query.
    pub(super) fn respond(&mut self, now: Micros, response: &QueryResponse, phase: Phase) {
        if matches!(self.state, State::AwaitingAnswer) {
            self.reply(now, &render(response), phase);
        }
    }

    fn reply(&mut self, now: Micros, reply: &Reply, phase: Phase) {
        self.count_bad_request(reply.status);
        let close = self.close || phase == Phase::Finishing;
        self.output.extend(http1::write(reply.status, &reply.headers, &reply.body, close));
        self.state = if close { State::Closing } else { State::Idle };
        self.since = now;
    }

    fn count_bad_request(&mut self, status: u16) {
        if (400..500).contains(&status) {
            self.bad_requests.count += 1;
            self.bad_requests.last_status = status;
        }
    }

    /// Where the next request begins is unknown, so nothing more is read from this client.
    pub(super) fn reject_input(&mut self, now: Micros, error: MessageError) {
        tracing::debug!("bad request: {error}");
        self.count_bad_request(error.status());
        self.output.extend(http1::write(error.status(), &[], &error_body(&error.to_string()), true));
        self.state = State::Closing;
        self.request_begun = false;
        self.since = now;
        self.input = Vec::new();
    }

    /// Writes what the socket takes; `false` when the connection is over.
    fn flush(&mut self, now: Micros) -> bool {
        if self.has_output() {
            match self.stream.write(&self.output) {
                Ok(0) => {}
                Ok(written) => {
                    self.output.drain(..written);
                    self.since = now;
                }
                Err(_) => return false,
            }
        }
        if !self.has_output() {
            // Idle clients hold no buffers.
            self.output = Vec::new();
            if matches!(self.state, State::Closing) {
                self.linger(now);
            }
        }
        true
    }
}
