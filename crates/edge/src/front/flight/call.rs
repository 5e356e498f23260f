//! One call of a Flight client: reads and writes the messages of an HTTP/2 stream, and ends it with a status. The
//! messages are handled in `call_driver`, `methods` and `batch_driver`.

use std::collections::VecDeque;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use mallowgauge_core::polled_queries::{PolledQueryKey, WaiterId};
use mallowgauge_core::sessions::Options;
use mallowgauge_core::stream_admission::SlowReaderDetector;
use mallowgauge_flight::answer;
use mallowgauge_flight::grpc::{self, Code, Deframer, Encoding, Status};
use mallowgauge_router::Micros;

use super::auth::Identity;
use super::batch_stream::BatchStream;
use super::command::Command;
use super::method::Method;

/// How long receiving a message may take after its first byte, and a request message after the call's head, in
/// microseconds.
pub const REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long a batch stream without any data in either direction is kept open, in microseconds.
const BATCH_IDLE_TIMEOUT: Micros = 600_000_000;
/// How long after its deadline a call that is still open ends itself, in microseconds. The core ends a query before
/// the deadline.
const DEADLINE_GRACE: Micros = 50_000;

/// The head of a call.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// The client's timeout, in microseconds.
    pub timeout: Option<Micros>,
    /// The compression of the client's messages.
    pub encoding: Encoding,
    /// The caller's identity.
    pub identity: Identity,
    /// The options of the caller's session.
    pub options: Options,
}

/// The outcome that a call waits for.
pub struct PendingOutcome {
    /// What is done with the outcome.
    pub outcome_use: OutcomeUse,
    /// When the call reports the query's progress if there is no outcome yet.
    pub report_at: Option<Micros>,
    /// The waiter that the outcome is delivered to.
    pub waiter: Option<WaiterId>,
}

/// What is done with an outcome.
pub enum OutcomeUse {
    /// The response is sent as a table.
    Table,
    /// The state of the polled query is sent.
    Poll(PolledQueryKey, Command),
}

/// An item of the outbound queue.
pub enum OutboundItem {
    /// Encoded gRPC frames.
    Pieces(VecDeque<Bytes>),
    /// A table whose messages are encoded as they are written.
    Table(Box<answer::Stream>),
}

/// The state of a call.
pub enum CallState {
    /// Reading the one request message.
    Request(Method),
    /// Waiting for the outcome of a query.
    WaitingForOutcome(PendingOutcome),
    /// Carrying many queries.
    BatchStream(Box<BatchStream>),
    /// Reporting the health status whenever it changes; holds the last reported status.
    HealthWatch(i32),
    /// Writing the remaining output.
    Closing,
}

/// One call of a client.
pub struct Call {
    /// The head of the call.
    pub head: CallHead,
    /// The state of the call.
    pub state: CallState,
    /// When the head was read.
    pub arrived_at: Micros,
    body: Option<RecvStream>,
    deframer: Deframer,
    /// Received bytes not yet released to the flow-control window: those of incomplete messages.
    unreleased: usize,
    /// When the current incomplete message started.
    partial_since: Option<Micros>,
    respond: SendResponse<Bytes>,
    stream: Option<SendStream<Bytes>>,
    outbound: VecDeque<OutboundItem>,
    trailers: Option<HeaderMap>,
    /// Additional headers for the head of the response.
    extra_headers: HeaderMap,
    slow_reader: SlowReaderDetector,
    last_activity: Micros,
    send_buffer: usize,
    is_closed: bool,
}

/// The result of reading from a call.
pub enum ReadResult {
    /// No complete message is available yet.
    Pending,
    /// A complete message.
    Message(Bytes),
    /// The client has ended its side of the stream.
    End,
}

impl Call {
    /// Creates a call for a stream whose head was read. The last argument holds two limits in bytes: on a message,
    /// and on the data buffered in the connection.
    pub fn new(
        now: Micros,
        head: CallHead,
        state: CallState,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        (max_message, send_buffer): (usize, usize),
    ) -> Self {
        Self {
            state,
            arrived_at: now,
            body: Some(request.into_body()),
            deframer: Deframer::new(max_message).with_encoding(head.encoding),
            head,
            unreleased: 0,
            partial_since: None,
            respond,
            stream: None,
            outbound: VecDeque::new(),
            trailers: None,
            extra_headers: HeaderMap::new(),
            slow_reader: SlowReaderDetector::new(now),
            last_activity: now,
            send_buffer,
            is_closed: false,
        }
    }

    /// Returns the client's deadline, on the server's clock.
    pub fn deadline(&self) -> Option<Micros> {
        self.head.timeout.map(|timeout| self.arrived_at.saturating_add(timeout))
    }

    /// Returns the time left until the client's deadline.
    pub fn remaining_time(&self, now: Micros) -> Option<Micros> {
        self.deadline().map(|until| until.saturating_sub(now))
    }

    /// Returns whether the stream has ended and the call can be dropped.
    pub fn is_finished(&self) -> bool {
        self.is_closed
    }

    /// Returns whether a response is expected or being written. A health watch has no final response.
    pub fn expects_response(&self) -> bool {
        !matches!(self.state, CallState::HealthWatch(_))
    }

    /// Returns whether all queued output was written, as far as the client's flow-control window is concerned.
    pub fn is_output_written(&self) -> bool {
        self.outbound.is_empty()
    }

    /// Returns when the call's first timeout is due.
    pub fn poll_timeout(&self) -> Option<Micros> {
        let message_timeout = self.partial_since.map(|since| since + REQUEST_TIMEOUT);
        let request_timeout =
            matches!(self.state, CallState::Request(_)).then_some(self.arrived_at + REQUEST_TIMEOUT);
        let has_output = !self.outbound.is_empty() || self.trailers.is_some();
        let stall_timeout = has_output.then(|| self.slow_reader.deadline());
        let state_timeout = match &self.state {
            CallState::WaitingForOutcome(pending) => pending.report_at,
            CallState::BatchStream(_) => Some(self.last_activity + BATCH_IDLE_TIMEOUT),
            _ => None,
        };
        let deadline = self.deadline().map(|until| until + DEADLINE_GRACE);
        [message_timeout, request_timeout, stall_timeout, state_timeout, deadline].into_iter().flatten().min()
    }

    /// Ends the call if one of its timeouts is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        let is_due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let has_output = !self.outbound.is_empty() || self.trailers.is_some();
        if has_output && self.slow_reader.deadline() <= now {
            // A client that does not read its response would not read a status either.
            return self.reset(Reason::CANCEL);
        }
        if is_due(self.deadline().map(|until| until + DEADLINE_GRACE)) {
            return self.finish_with_error(now, &Status::new(Code::DeadlineExceeded, "time ran out"));
        }
        let request_timed_out =
            matches!(self.state, CallState::Request(_)) && self.arrived_at + REQUEST_TIMEOUT <= now;
        if request_timed_out || is_due(self.partial_since.map(|since| since + REQUEST_TIMEOUT)) {
            let status = Status::new(Code::DeadlineExceeded, "the request did not come in time");
            return self.finish_with_error(now, &status);
        }
        if matches!(self.state, CallState::BatchStream(_)) && self.last_activity + BATCH_IDLE_TIMEOUT <= now {
            self.finish_with_error(now, &Status::new(Code::Cancelled, "nothing was said for too long"));
        }
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// The message is malformed or too large, or the stream was aborted.
    pub fn read(&mut self, now: Micros, context: &mut Context<'_>) -> Result<ReadResult, Status> {
        loop {
            if let Some(message) = self.deframer.next_message().map_err(grpc::FrameError::status)? {
                let used = self.unreleased - self.deframer.len();
                self.release(used);
                self.partial_since = (!self.deframer.is_empty()).then_some(now);
                self.last_activity = now;
                return Ok(ReadResult::Message(message));
            }
            let Some(body) = &mut self.body else { return Ok(ReadResult::End) };
            match body.poll_data(context) {
                Poll::Pending => return Ok(ReadResult::Pending),
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
                    return Ok(ReadResult::End);
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

    /// Returns whether the client has reset the stream.
    pub fn is_reset(&mut self, context: &mut Context<'_>) -> bool {
        match &mut self.stream {
            Some(stream) => stream.poll_reset(context).is_ready(),
            None => self.respond.poll_reset(context).is_ready(),
        }
    }

    /// Adds a header to the head of the response.
    pub fn add_header(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.extra_headers.append(name, value);
        }
    }

    /// Returns the encoding of responses: a client that compresses its requests gets compressed responses.
    pub fn encoding(&self) -> Encoding {
        self.head.encoding
    }

    /// Queues an item to be written.
    pub fn queue_item(&mut self, now: Micros, item: OutboundItem) {
        if self.outbound.is_empty() {
            self.slow_reader.resumed(now);
        }
        self.outbound.push_back(item);
    }

    /// Queues a message to be written.
    pub fn queue_message(&mut self, now: Micros, message: &impl prost::Message) {
        let pieces = grpc::frame_pieces(vec![message.encode_to_vec().into()], self.encoding());
        self.queue_item(now, OutboundItem::Pieces(pieces.into()));
    }

    /// Ends the call with this status once the queued items are written.
    pub fn finish(&mut self, status: &Status) {
        if self.trailers.is_none() {
            self.trailers = Some(status.trailers());
        }
        self.state = CallState::Closing;
    }

    /// Ends the call with this status, and drops the queued items.
    pub fn finish_with_error(&mut self, now: Micros, status: &Status) {
        if self.outbound.is_empty() {
            self.slow_reader.resumed(now);
        }
        self.outbound.clear();
        self.trailers = Some(status.trailers());
        self.state = CallState::Closing;
    }

    /// Resets the stream.
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
        headers.insert("grpc-accept-encoding", HeaderValue::from_static(grpc::ACCEPTED_ENCODINGS));
        if self.head.encoding == Encoding::Gzip {
            headers.insert("grpc-encoding", HeaderValue::from_static("gzip"));
        }
        headers.extend(std::mem::take(&mut self.extra_headers));
        response
    }

    /// Writes as much as the client's flow-control window allows; returns the number of bytes.
    pub fn write(&mut self, now: Micros, context: &mut Context<'_>) -> usize {
        let nothing_queued = self.outbound.is_empty() && self.trailers.is_none();
        if self.is_closed || (nothing_queued && !self.keeps_stream_open()) {
            return 0;
        }
        if self.stream.is_none() {
            self.send_head();
        }
        if self.is_closed {
            return 0;
        }
        let written = self.write_outbound(context);
        if self.is_closed {
            return written;
        }
        self.slow_reader.bytes_read(now, written);
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

    /// Sends the head of the response. Without messages the head includes the status and ends the stream.
    fn send_head(&mut self) {
        let mut response = self.response();
        if self.outbound.is_empty() && !self.keeps_stream_open() {
            response.headers_mut().extend(self.trailers.take().unwrap_or_default());
            let _ = self.respond.send_response(response, true);
            self.is_closed = true;
            return;
        }
        match self.respond.send_response(response, false) {
            Ok(stream) => self.stream = Some(stream),
            Err(_) => self.is_closed = true,
        }
    }

    /// Writes queued pieces while the client's window has capacity; returns the number of bytes.
    fn write_outbound(&mut self, context: &mut Context<'_>) -> usize {
        let mut written = 0;
        while let Some(piece) = self.next_piece() {
            let Some(stream) = &mut self.stream else { break };
            stream.reserve_capacity(piece.len().min(self.send_buffer));
            let capacity = match stream.capacity() {
                0 => match stream.poll_capacity(context) {
                    Poll::Pending => break,
                    Poll::Ready(Some(Ok(capacity))) => capacity,
                    Poll::Ready(_) => {
                        self.is_closed = true;
                        break;
                    }
                },
                capacity => capacity,
            };
            let size = capacity.min(piece.len());
            let Some(OutboundItem::Pieces(pieces)) = self.outbound.front_mut() else { break };
            let Some(piece) = pieces.front_mut() else { break };
            let sent = piece.split_to(size);
            if piece.is_empty() {
                pieces.pop_front();
            }
            if stream.send_data(sent, false).is_err() {
                self.is_closed = true;
                break;
            }
            written += size;
        }
        written
    }

    fn keeps_stream_open(&self) -> bool {
        matches!(self.state, CallState::HealthWatch(_) | CallState::BatchStream(_))
    }

    /// Returns the piece to be written next. Tables are encoded one message at a time.
    fn next_piece(&mut self) -> Option<Bytes> {
        loop {
            match self.outbound.front_mut()? {
                OutboundItem::Pieces(pieces) => match pieces.front() {
                    Some(piece) if piece.has_remaining() => return Some(piece.clone()),
                    Some(_) => drop(pieces.pop_front()),
                    None => drop(self.outbound.pop_front()),
                },
                OutboundItem::Table(answer) => match answer.next_message() {
                    Ok(Some(pieces)) => self.outbound.push_front(OutboundItem::Pieces(pieces.into())),
                    Ok(None) => drop(self.outbound.pop_front()),
                    Err(reason) => {
                        tracing::warn!("response could not be encoded: {reason}");
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
        // The client must not mistake a call that ends without a status for a complete one.
        if !self.is_closed {
            self.reset(Reason::CANCEL);
        }
    }
}
