//! One call of a Flight client: a stream of HTTP/2 whose messages come in, go out, and end with a status.
//! What a method makes of them stands in `methods` and `long`.

use std::collections::VecDeque;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use mallowgauge_core::polled_queries::{PolledQueryKey, WaiterId};
use mallowgauge_core::sessions::Options;
use mallowgauge_core::stream_admission::Reader;
use mallowgauge_flight::answer;
use mallowgauge_flight::grpc::{self, Code, Deframer, Encoding, Status};
use mallowgauge_router::Micros;

use super::auth::Identity;
use super::batch_stream::BatchStream;
use super::command::Command;
use super::method::Method;

/// A message has to be whole so long after its first byte, and a request after its head.
pub const REQUEST_TIMEOUT: Micros = 2_000_000;
/// A long stream on which nothing goes either way is kept for so long.
const BATCH_IDLE_TIMEOUT: Micros = 600_000_000;
/// The core and the module end a query in time; a call ends itself so long after its client's time.
const DEADLINE_GRACE: Micros = 50_000;

/// What a call's head says.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// How long the client waits.
    pub timeout: Option<Micros>,
    /// How the client's messages may be compressed.
    pub encoding: Encoding,
    /// Identity calls.
    pub identity: Identity,
    /// What the session has set.
    pub options: Options,
}

/// What a call waits for.
pub struct PendingOutcome {
    /// What comes of the outcome.
    pub outcome_use: OutcomeUse,
    /// When the call says how things stand, if there is no outcome by then.
    pub report_at: Option<Micros>,
    /// The caller under which the outcome comes.
    pub waiter: Option<WaiterId>,
}

/// What comes of an outcome.
pub enum OutcomeUse {
    /// The answer's table.
    Table,
    /// How a polled query stands.
    Poll(PolledQueryKey, Command),
}

/// What goes out.
pub enum OutboundItem {
    /// Messages that are ready, in gRPC's frames.
    Pieces(VecDeque<Bytes>),
    /// An answer whose messages are made as they go.
    Table(Box<answer::Stream>),
}

/// What a call is about once its head is in.
pub enum CallState {
    /// Its one message is coming in.
    Request(Method),
    /// It waits for an outcome.
    WaitingForOutcome(PendingOutcome),
    /// Many queries on one stream.
    BatchStream(Box<BatchStream>),
    /// Health is told as it changes: what was told last.
    HealthWatch(i32),
    /// Nothing more is to be done but to write.
    Closing,
}

/// One call.
pub struct Call {
    /// What its head says.
    pub head: CallHead,
    /// What it is about.
    pub state: CallState,
    /// When it came.
    pub arrived_at: Micros,
    body: Option<RecvStream>,
    deframer: Deframer,
    /// Bytes whose place in the client's window was not given back: those of messages that are not whole.
    unreleased: usize,
    /// Since when a message has been coming in.
    partial_since: Option<Micros>,
    respond: SendResponse<Bytes>,
    stream: Option<SendStream<Bytes>>,
    outbound: VecDeque<OutboundItem>,
    trailers: Option<HeaderMap>,
    /// Lines that go with the head of the answer.
    extra_headers: HeaderMap,
    reader: Reader,
    last_activity: Micros,
    send_buffer: usize,
    is_closed: bool,
}

/// What reading came to.
pub enum Read {
    /// Nothing more for now.
    Pending,
    /// A message.
    Message(Bytes),
    /// The client has said its last.
    End,
}

impl Call {
    /// Takes a stream whose head was understood.
    pub fn new(
        now: Micros,
        head: CallHead,
        work: CallState,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        (message, send_buffer): (usize, usize),
    ) -> Self {
        Self {
            state: work,
            arrived_at: now,
            body: Some(request.into_body()),
            deframer: Deframer::new(message).encoded(head.encoding),
            head,
            unreleased: 0,
            partial_since: None,
            respond,
            stream: None,
            outbound: VecDeque::new(),
            trailers: None,
            extra_headers: HeaderMap::new(),
            reader: Reader::new(now),
            last_activity: now,
            send_buffer,
            is_closed: false,
        }
    }

    /// When its client's time is up, by the clock here.
    pub fn deadline(&self) -> Option<Micros> {
        self.head.timeout.map(|wait| self.arrived_at.saturating_add(wait))
    }

    /// How long its client still waits.
    pub fn remaining_time(&self, now: Micros) -> Option<Micros> {
        self.deadline().map(|until| until.saturating_sub(now))
    }

    /// Whether the call is over and can be dropped.
    pub fn is_finished(&self) -> bool {
        self.is_closed
    }

    /// Whether an answer is owed or being written; who watches health is owed nothing.
    pub fn expects_response(&self) -> bool {
        !matches!(self.state, CallState::HealthWatch(_))
    }

    /// When something has to be done about it.
    pub fn poll_timeout(&self) -> Option<Micros> {
        let slow = self.partial_since.map(|since| since + REQUEST_TIMEOUT);
        let first = matches!(self.state, CallState::Request(_)).then_some(self.arrived_at + REQUEST_TIMEOUT);
        let written = !self.outbound.is_empty() || self.trailers.is_some();
        let stalled = written.then(|| self.reader.deadline());
        let waits = match &self.state {
            CallState::WaitingForOutcome(waiting) => waiting.report_at,
            CallState::BatchStream(_) => Some(self.last_activity + BATCH_IDLE_TIMEOUT),
            _ => None,
        };
        let time = self.deadline().map(|until| until + DEADLINE_GRACE);
        [slow, first, stalled, waits, time].into_iter().flatten().min()
    }

    /// Looks at the clock; the call may be over afterwards.
    pub fn handle_timeout(&mut self, now: Micros) {
        let late = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let written = !self.outbound.is_empty() || self.trailers.is_some();
        if written && self.reader.deadline() <= now {
            // A client that takes nothing would not take a status either.
            return self.reset(Reason::CANCEL);
        }
        if late(self.deadline().map(|until| until + DEADLINE_GRACE)) {
            return self.finish_with_error(now, &Status::new(Code::DeadlineExceeded, "time ran out"));
        }
        let first = matches!(self.state, CallState::Request(_)) && self.arrived_at + REQUEST_TIMEOUT <= now;
        if first || late(self.partial_since.map(|since| since + REQUEST_TIMEOUT)) {
            let status = Status::new(Code::DeadlineExceeded, "the request did not come in time");
            return self.finish_with_error(now, &status);
        }
        if matches!(self.state, CallState::BatchStream(_)) && self.last_activity + BATCH_IDLE_TIMEOUT <= now {
            self.finish_with_error(now, &Status::new(Code::Cancelled, "nothing was said for too long"));
        }
    }

    /// The next message, if one is whole.
    pub fn read(&mut self, now: Micros, context: &mut Context<'_>) -> Result<Read, Status> {
        loop {
            if let Some(message) = self.deframer.take().map_err(grpc::Bad::status)? {
                let used = self.unreleased - self.deframer.len();
                self.release(used);
                self.partial_since = (!self.deframer.is_empty()).then_some(now);
                self.last_activity = now;
                return Ok(Read::Message(message));
            }
            let Some(body) = &mut self.body else { return Ok(Read::End) };
            match body.poll_data(context) {
                Poll::Pending => return Ok(Read::Pending),
                Poll::Ready(Some(Ok(bytes))) => {
                    self.unreleased += bytes.len();
                    self.deframer.push(&bytes);
                    self.partial_since =
                        (!self.deframer.is_empty()).then(|| self.partial_since.unwrap_or(now));
                }
                Poll::Ready(Some(Err(_))) => {
                    self.body = None;
                    return Err(Status::new(Code::Cancelled, "the request broke off"));
                }
                Poll::Ready(None) => {
                    self.body = None;
                    self.partial_since = None;
                    if !self.deframer.is_empty() {
                        return Err(Status::new(Code::InvalidArgument, "the request ends within a message"));
                    }
                    return Ok(Read::End);
                }
            }
        }
    }

    fn release(&mut self, bytes: usize) {
        self.unreleased -= bytes;
        if let Some(body) = &mut self.body {
            let _ = body.flow_control().release_capacity(bytes);
        }
    }

    /// Whether the client has reset the stream.
    pub fn is_reset(&mut self, context: &mut Context<'_>) -> bool {
        match &mut self.stream {
            Some(stream) => stream.poll_reset(context).is_ready(),
            None => self.respond.poll_reset(context).is_ready(),
        }
    }

    /// A header line that goes with the answer.
    pub fn add_header(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.extra_headers.append(name, value);
        }
    }

    /// The encoding of what goes out: a client that compresses its requests gets compressed answers.
    pub fn encoding(&self) -> Encoding {
        self.head.encoding
    }

    /// Puts something behind what goes out.
    pub fn queue_item(&mut self, now: Micros, item: OutboundItem) {
        if self.outbound.is_empty() {
            self.reader.rested(now);
        }
        self.outbound.push_back(item);
    }

    /// Puts a message behind what goes out.
    pub fn queue_message(&mut self, now: Micros, message: &impl prost::Message) {
        let pieces = grpc::frame_pieces(vec![message.encode_to_vec().into()], self.encoding());
        self.queue_item(now, OutboundItem::Pieces(pieces.into()));
    }

    /// After what goes out the call ends with this status.
    pub fn finish(&mut self, status: &Status) {
        if self.trailers.is_none() {
            self.trailers = Some(status.trailers());
        }
        self.state = CallState::Closing;
    }

    /// The call ends with this status now; what was to go out does not.
    pub fn finish_with_error(&mut self, now: Micros, status: &Status) {
        if self.outbound.is_empty() {
            self.reader.rested(now);
        }
        self.outbound.clear();
        self.trailers = Some(status.trailers());
        self.state = CallState::Closing;
    }

    /// The stream is reset.
    pub fn reset(&mut self, reason: Reason) {
        match &mut self.stream {
            Some(stream) => stream.send_reset(reason),
            None => self.respond.send_reset(reason),
        }
        self.outbound.clear();
        self.is_closed = true;
    }

    fn response(&mut self) -> Response<()> {
        let mut response = Response::new(());
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(grpc::CONTENT_TYPE));
        headers.insert("grpc-accept-encoding", HeaderValue::from_static(grpc::ACCEPTED));
        if self.head.encoding == Encoding::Gzip {
            headers.insert("grpc-encoding", HeaderValue::from_static("gzip"));
        }
        headers.extend(std::mem::take(&mut self.extra_headers));
        response
    }

    /// Writes as much as the client's window takes, and says how much that was.
    pub fn write(&mut self, now: Micros, context: &mut Context<'_>) -> usize {
        let mut written = 0;
        if self.is_closed
            || (self.outbound.is_empty() && self.trailers.is_none() && !self.keeps_stream_open())
        {
            return written;
        }
        if self.stream.is_none() {
            let mut response = self.response();
            if self.outbound.is_empty() && !self.keeps_stream_open() {
                // A status alone goes with the head.
                response.headers_mut().extend(self.trailers.take().unwrap_or_default());
                let _ = self.respond.send_response(response, true);
                self.is_closed = true;
                return written;
            }
            match self.respond.send_response(response, false) {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => {
                    self.is_closed = true;
                    return written;
                }
            }
        }
        while let Some(piece) = self.next_piece() {
            let Some(stream) = &mut self.stream else { return written };
            stream.reserve_capacity(piece.len().min(self.send_buffer));
            let room = match stream.capacity() {
                0 => match stream.poll_capacity(context) {
                    Poll::Pending => break,
                    Poll::Ready(Some(Ok(room))) => room,
                    Poll::Ready(_) => {
                        self.is_closed = true;
                        return written;
                    }
                },
                room => room,
            };
            let size = room.min(piece.len());
            let Some(OutboundItem::Pieces(pieces)) = self.outbound.front_mut() else { break };
            let Some(piece) = pieces.front_mut() else { break };
            let now_goes = piece.split_to(size);
            if piece.is_empty() {
                pieces.pop_front();
            }
            if stream.send_data(now_goes, false).is_err() {
                self.is_closed = true;
                return written;
            }
            written += size;
        }
        self.reader.took(now, written);
        if written > 0 {
            self.last_activity = now;
        }
        if self.outbound.is_empty() {
            if let (Some(trailers), Some(stream)) = (self.trailers.take(), &mut self.stream) {
                let _ = stream.send_trailers(trailers);
                self.is_closed = true;
            }
        }
        written
    }

    fn keeps_stream_open(&self) -> bool {
        matches!(self.state, CallState::HealthWatch(_) | CallState::BatchStream(_))
    }

    /// The piece that goes next; answers are turned into messages one at a time.
    fn next_piece(&mut self) -> Option<Bytes> {
        loop {
            match self.outbound.front_mut()? {
                OutboundItem::Pieces(pieces) => match pieces.front() {
                    Some(piece) if piece.has_remaining() => return Some(piece.clone()),
                    Some(_) => drop(pieces.pop_front()),
                    None => drop(self.outbound.pop_front()),
                },
                OutboundItem::Table(answer) => match answer.message() {
                    Ok(Some(pieces)) => self.outbound.push_front(OutboundItem::Pieces(pieces.into())),
                    Ok(None) => drop(self.outbound.pop_front()),
                    Err(reason) => {
                        tracing::warn!("an answer could not be written: {reason}");
                        let status = Status::new(Code::Internal, "the answer could not be written");
                        self.outbound.clear();
                        self.trailers = Some(status.trailers());
                        return None;
                    }
                },
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // A call that ends without a status must not look whole: its stream is reset with a reason that
        // clients know.
        if !self.is_closed {
            self.reset(Reason::CANCEL);
        }
    }
}
