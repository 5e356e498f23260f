//! One attempt on a Flight connection: its `DoGet`, what comes back, and how it ends.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use mallowgauge_core::stream_outcome::{self, StreamEnd, StreamStage};
use mallowgauge_core::table_memory::{StreamId, TableMemory, TableQueryId, WindowGrant};
use mallowgauge_core::{AttemptId, AttemptRequest, Table, Value};
use mallowgauge_flight::grpc::{self, Code, Deframer, Encoding};
use mallowgauge_flight::ipc::Collector;
use mallowgauge_flight::proto::{FlightData, Ticket};
use mallowgauge_flight::rows;
use mallowgauge_router::{BackendId, Micros, Outcome, ShardId};
use prost::Message;
use serde_json::json;

use super::flight_connection::FlightOptions;
use super::{UpstreamEvent, MESSAGE_TIMEOUT};

/// An answer may have this many times the bytes of a table while it is collected.
const COLLECTED_TABLE_MULTIPLE: usize = 4;

/// Where a part stands among those of its call, which its ticket says so that a backend can do their common work
/// once.
#[derive(Clone, Copy)]
pub(super) struct CallPosition {
    /// The call's number on its connection.
    pub(super) call: u64,
    /// How many parts the call has.
    pub(super) parts: usize,
}

/// Why an answer that came to its end holds no value.
#[derive(Debug, thiserror::Error)]
enum AnswerError {
    #[error("{0}")]
    Message(String),
    #[error("it ends within a message")]
    EndsWithinMessage,
    #[error("nothing came")]
    Empty,
    #[error("no table came")]
    NoTable,
    #[error("not one row")]
    NotOneRow,
    #[error("a row of another shard")]
    OtherShard,
    #[error("no memory")]
    NoMemory,
}

/// An attempt that somebody waits for, and its stream.
pub(super) struct PartStream {
    /// The stream's number among those of all connections.
    pub(super) id: StreamId,
    pub(super) attempt: AttemptId,
    pub(super) sent_at: Micros,
    /// Since when a message has come in part.
    pub(super) partial_since: Option<Micros>,
    backend: BackendId,
    query: TableQueryId,
    shard: ShardId,
    request: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    messages: Deframer,
    columns: Option<Collector>,
    stage: StreamStage,
    initial_window: usize,
    /// Bytes that have come and whose place in the window was not given back.
    unreleased: usize,
    /// Of these, so many wait for memory.
    waiting: usize,
    /// The query's tables have outgrown their bound.
    memory_exceeded: bool,
    /// Why what came cannot be used.
    error: Option<AnswerError>,
}

/// Numbers for streams, of all connections.
fn next_stream_id() -> StreamId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    StreamId(NEXT.fetch_add(1, Ordering::Relaxed))
}

fn ticket(attempt: &AttemptRequest, position: CallPosition) -> Ticket {
    let text = String::from_utf8_lossy(&attempt.body);
    let ticket = json!({"query": *attempt.request_id, "range": attempt.shard.0, "predicate": text,
                        "call": position.call, "parts": position.parts});
    Ticket { ticket: ticket.to_string().into() }
}

impl PartStream {
    /// Hands the attempt to `h2`.
    ///
    /// # Errors
    /// The connection takes no more streams; nothing of the attempt was written.
    #[allow(clippy::too_many_arguments)] // The connection's fields, borrowed apart
    pub(super) fn open(
        backend: BackendId,
        attempt: &AttemptRequest,
        position: CallPosition,
        now: Micros,
        addr: SocketAddr,
        sender: &mut SendRequest<Bytes>,
        options: &FlightOptions,
        cx: &mut Context<'_>,
    ) -> Result<Self, h2::Error> {
        if let Poll::Ready(Err(error)) = sender.poll_ready(cx) {
            return Err(error);
        }
        let scheme = if options.tls.is_some() { "https" } else { "http" };
        let request = http::Request::post(format!("{scheme}://{addr}{}DoGet", grpc::SERVICE))
            .header("content-type", grpc::CONTENT_TYPE)
            .header("te", "trailers")
            .header("grpc-timeout", grpc::write_timeout(attempt.remaining(now)))
            .header("grpc-accept-encoding", grpc::ACCEPTED)
            .body(())
            .map_err(|_| Reason::INTERNAL_ERROR)?;
        let (response, mut request) = sender.send_request(request, false)?;
        request.send_data(grpc::frame(&ticket(attempt, position)).into(), true)?;
        let id = next_stream_id();
        options.table_memory.open(id, attempt.call);
        let collected = options.max_table_bytes.saturating_mul(COLLECTED_TABLE_MULTIPLE);
        Ok(Self {
            id,
            attempt: attempt.attempt,
            sent_at: now,
            partial_since: None,
            backend,
            query: attempt.call,
            shard: attempt.shard,
            request,
            response: Some(response),
            body: None,
            messages: Deframer::new(options.max_table_bytes),
            columns: Some(Collector::new(collected)),
            stage: StreamStage::Sent,
            initial_window: options.initial_window as usize,
            unreleased: 0,
            waiting: 0,
            memory_exceeded: false,
            error: None,
        })
    }

    /// The backend may not send more until there is memory.
    pub(super) fn waits_for_memory(&self) -> bool {
        self.waiting > 0
    }

    /// Whether a message has come in part for too long.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        let overdue = self.partial_since.is_some_and(|since| since + MESSAGE_TIMEOUT <= now);
        overdue && !self.waits_for_memory()
    }

    /// Notes since when a message has come in part. A backend that may not send more is not the one that keeps a
    /// message from becoming complete.
    pub(super) fn note_partial_message(&mut self, now: Micros) {
        let since = if self.waits_for_memory() { now } else { self.partial_since.unwrap_or(now) };
        self.partial_since = (!self.messages.is_empty()).then_some(since);
    }

    /// Tells the backend that nobody listens any more.
    pub(super) fn reset(&mut self) {
        self.request.send_reset(Reason::CANCEL);
    }

    /// Lets the backend send so many bytes more.
    pub(super) fn release(&mut self, bytes: usize) {
        self.unreleased -= bytes.min(self.unreleased);
        self.waiting = self.waiting.saturating_sub(bytes);
        if let Some(body) = &mut self.body {
            // An error means that the stream is over, which its next poll says.
            let _ = body.flow_control().release_capacity(bytes);
        }
    }

    /// Reads what has come, until the stream is over.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, memory: &TableMemory) -> Poll<StreamEnd> {
        if let Some(response) = &mut self.response {
            let response = match Pin::new(response).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => return Poll::Ready(end_of_error(&error)),
                Poll::Ready(Ok(response)) => response,
            };
            if let Err(end) = self.begin_body(response) {
                return Poll::Ready(end);
            }
        }
        loop {
            let Some(body) = &mut self.body else { return Poll::Ready(StreamEnd::Status) };
            match body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Err(error))) => return Poll::Ready(end_of_error(&error)),
                Poll::Ready(Some(Ok(bytes))) => {
                    if !self.take_bytes(&bytes, memory) {
                        return Poll::Ready(StreamEnd::Malformed);
                    }
                }
                Poll::Ready(None) => break,
            }
        }
        let Some(body) = &mut self.body else { return Poll::Ready(StreamEnd::Status) };
        match body.poll_trailers(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(end_of_error(&error)),
            Poll::Ready(Ok(trailers)) => Poll::Ready(self.end_of_trailers(trailers.as_ref())),
        }
    }

    /// The head of the response has come: its body is read from now on, unless the head ends the stream.
    fn begin_body(&mut self, response: http::Response<RecvStream>) -> Result<(), StreamEnd> {
        if response.status() != http::StatusCode::OK {
            return Err(StreamEnd::Status);
        }
        if let Some(end) = end_of_status(response.headers()) {
            return Err(end);
        }
        self.stage = StreamStage::Answering;
        let encoding = response.headers().get("grpc-encoding").and_then(|value| value.to_str().ok());
        let encoding = encoding.map_or(Some(Encoding::Identity), Encoding::named);
        let encoding = encoding.ok_or(StreamEnd::Malformed)?;
        let messages = std::mem::replace(&mut self.messages, Deframer::new(0));
        self.messages = messages.encoded(encoding);
        self.response = None;
        self.body = Some(response.into_body());
        Ok(())
    }

    /// Takes bytes of the body; `false` where they cannot be used, or there is never memory for them.
    fn take_bytes(&mut self, bytes: &Bytes, memory: &TableMemory) -> bool {
        self.unreleased += bytes.len();
        self.messages.push(bytes);
        if let Err(error) = self.take_messages() {
            self.error = Some(AnswerError::Message(error));
            return false;
        }
        self.request_memory(memory)
    }

    /// Takes the complete messages that have come.
    fn take_messages(&mut self) -> Result<(), String> {
        while let Some(message) = self.messages.take().map_err(|error| format!("{error:?}"))? {
            let data = FlightData::decode(message).map_err(|error| error.to_string())?;
            self.columns.as_mut().ok_or("nothing more is due")?.take(data)?;
            // What comes next is another message, with a time of its own.
            self.partial_since = None;
        }
        Ok(())
    }

    /// Asks for memory for what the backend may send beyond its first window; `false` where the query's tables
    /// outgrow their bound. Nothing is asked for before half of the first window has come: most answers are smaller.
    fn request_memory(&mut self, memory: &TableMemory) -> bool {
        let fresh = self.unreleased - self.waiting;
        if fresh < self.initial_window / 2 {
            return true;
        }
        match memory.request_window(self.id, fresh) {
            // What waited before is part of the grant.
            WindowGrant::Granted => self.release(fresh + self.waiting),
            WindowGrant::Queued => self.waiting += fresh,
            WindowGrant::Exceeded => self.memory_exceeded = true,
        }
        !self.memory_exceeded
    }

    /// What the end of the body means. Without a status or within a message the stream was cut short, whatever it
    /// held.
    fn end_of_trailers(&mut self, trailers: Option<&http::HeaderMap>) -> StreamEnd {
        match trailers.and_then(end_of_status) {
            Some(StreamEnd::Ok) if self.messages.is_empty() => {
                self.stage = StreamStage::Complete;
                StreamEnd::Ok
            }
            Some(StreamEnd::Ok) => {
                self.error = Some(AnswerError::EndsWithinMessage);
                StreamEnd::Malformed
            }
            Some(end) => end,
            None => StreamEnd::Reset,
        }
    }

    /// The stream is over: how the attempt has ended.
    pub(super) fn end(&mut self, end: StreamEnd, memory: &TableMemory) -> UpstreamEvent {
        let mut outcome = stream_outcome::classify(self.stage, end);
        let mut value = None;
        if outcome == Outcome::Succeeded {
            match self.value(memory) {
                Ok(answer) => (outcome, value) = answer,
                Err(AnswerError::NoMemory) => self.memory_exceeded = true,
                Err(error) => {
                    self.warn_unusable(&error);
                    outcome = Outcome::ConnectionLost;
                }
            }
        } else if end == StreamEnd::Malformed {
            // The stream goes on; nobody listens to it any more.
            self.reset();
            if !self.memory_exceeded {
                self.warn_unusable(&self.error.as_ref().map(ToString::to_string).unwrap_or_default());
            }
        }
        memory.close(self.id);
        if self.memory_exceeded {
            return UpstreamEvent::TableMemoryExceeded(self.query, Some(self.attempt));
        }
        UpstreamEvent::AttemptEnded(self.attempt, outcome, value)
    }

    fn warn_unusable(&self, error: &dyn std::fmt::Display) {
        tracing::warn!("host {}: no answer for shard {}: {error}", self.backend.0, self.shard.0);
    }

    /// The outcome that a complete answer states, and its value: a row of the simple form, or a table that is kept
    /// as it is.
    fn value(&mut self, memory: &TableMemory) -> Result<(Outcome, Option<Value>), AnswerError> {
        let columns = self.columns.take().ok_or(AnswerError::Empty)?;
        let is_simple = columns.schema().is_some_and(rows::is_simple);
        let table = columns.finish().ok_or(AnswerError::NoTable)?;
        if is_simple {
            let rows = rows::read(&table.schema, &table.messages).map_err(AnswerError::Message)?;
            let [row] = rows.as_slice() else { return Err(AnswerError::NotOneRow) };
            if row.shard != self.shard {
                return Err(AnswerError::OtherShard);
            }
            let value = (row.outcome == Outcome::Succeeded).then(|| Value::Text(Rc::clone(&row.value)));
            return Ok((row.outcome, value));
        }
        let lease = memory.retain(self.id, table.bytes).ok_or(AnswerError::NoMemory)?;
        let (schema, messages, rows) = (table.schema, table.messages, table.rows);
        Ok((Outcome::Succeeded, Some(Value::Table(Rc::new(Table { schema, messages, rows, lease })))))
    }
}

/// What a status says, if there is one. It proves nothing about whether the part was executed, except where its
/// details say that it was not.
fn end_of_status(headers: &http::HeaderMap) -> Option<StreamEnd> {
    let code = grpc::status_of(headers)?;
    Some(if code == Code::Ok as u32 {
        StreamEnd::Ok
    } else if code == Code::DeadlineExceeded as u32 {
        StreamEnd::DeadlineStatus
    } else if grpc::details_of(headers).0.as_deref() == Some(grpc::LATER) {
        StreamEnd::RetryLaterStatus
    } else {
        StreamEnd::Status
    })
}

/// Only a stream that the backend has refused, or one above the last that its GOAWAY names, was not executed. `h2`
/// gives the backend's GOAWAY as the reason to those above it alone: it ends them while it reads the frame, and
/// ends the others with the connection's own error.
fn end_of_error(error: &h2::Error) -> StreamEnd {
    if error.is_reset() && error.is_remote() && error.reason() == Some(Reason::REFUSED_STREAM) {
        StreamEnd::RefusedStream
    } else if error.is_go_away() && error.is_remote() {
        StreamEnd::AboveGoAway
    } else if error.is_reset() {
        StreamEnd::Reset
    } else {
        StreamEnd::ConnectionLost
    }
}
