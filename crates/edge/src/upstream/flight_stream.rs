//! One attempt on a Flight connection: its `DoGet` request, the response stream and the resulting outcome.

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
use mallowgauge_flight::ipc::{Collector, CollectorLimits};
use mallowgauge_flight::proto::{FlightData, Ticket};
use mallowgauge_flight::rows;
use mallowgauge_router::{BackendId, Micros, Outcome, ShardId};
use prost::Message;
use serde_json::json;

use super::flight_connection::FlightOptions;
use super::{UpstreamEvent, MESSAGE_TIMEOUT};

/// A table may be decoded to this many times the size limit of a table.
const DECODED_SIZE_MULTIPLE: usize = 4;

/// Identifies the call that a part belongs to. Tickets carry it, so that a backend can do the work that the parts of a
/// call share only once.
#[derive(Clone, Copy)]
pub(super) struct CallInfo {
    /// The call's number on its connection.
    pub(super) number: u64,
    /// Number of parts in the call.
    pub(super) parts: usize,
}

/// Why a response has no usable value. The messages are logged.
#[derive(Debug, thiserror::Error)]
enum ResponseError {
    #[error("{0}")]
    Message(String),
    #[error("response ends within a message")]
    TruncatedMessage,
    #[error("response is empty")]
    Empty,
    #[error("response holds no table")]
    NoTable,
    #[error("response does not hold exactly one row")]
    NotOneRow,
    #[error("response holds a row of another shard")]
    WrongShard,
    #[error("table memory is exhausted")]
    OutOfMemory,
}

/// An attempt that is not cancelled, and its stream.
pub(super) struct PartStream {
    /// The stream's number, unique over all connections.
    pub(super) id: StreamId,
    pub(super) attempt: AttemptId,
    pub(super) sent_at: Micros,
    /// When the incomplete message in `deframer` began.
    pub(super) partial_since: Option<Micros>,
    backend: BackendId,
    query: TableQueryId,
    shard: ShardId,
    request: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    deframer: Deframer,
    collector: Option<Collector>,
    stage: StreamStage,
    initial_window: usize,
    /// Received bytes that were not yet released to the flow-control window.
    unreleased_bytes: usize,
    /// The number of these bytes that wait for table memory.
    bytes_awaiting_memory: usize,
    /// Whether the query's tables have exceeded the table memory.
    memory_exceeded: bool,
    /// Why the response cannot be used.
    error: Option<ResponseError>,
}

/// Returns a stream number that is unique over all connections.
fn next_stream_id() -> StreamId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    StreamId(NEXT.fetch_add(1, Ordering::Relaxed))
}

fn ticket(attempt: &AttemptRequest, call: CallInfo) -> Ticket {
    let predicate = String::from_utf8_lossy(&attempt.body);
    let ticket = json!({"query": *attempt.request_id, "range": attempt.shard.0, "predicate": predicate,
                        "call": call.number, "parts": call.parts});
    Ticket { ticket: ticket.to_string().into() }
}

impl PartStream {
    /// Passes the attempt to `h2`.
    ///
    /// # Errors
    /// The connection accepts no more streams; no byte of the attempt was written.
    #[allow(clippy::too_many_arguments)] // The connection's fields, borrowed separately
    pub(super) fn open(
        backend: BackendId,
        attempt: &AttemptRequest,
        call: CallInfo,
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
        let request = http::Request::post(format!("{scheme}://{addr}{}DoGet", grpc::FLIGHT_SERVICE_PATH))
            .header("content-type", grpc::CONTENT_TYPE)
            .header("te", "trailers")
            .header("grpc-timeout", grpc::format_timeout(attempt.remaining(now)))
            .header("grpc-accept-encoding", grpc::ACCEPTED_ENCODINGS)
            .body(())
            .map_err(|_| Reason::INTERNAL_ERROR)?;
        let (response, mut request) = sender.send_request(request, false)?;
        request.send_data(grpc::frame(&ticket(attempt, call)).into(), true)?;
        let id = next_stream_id();
        options.table_memory.open(id, attempt.table_query);
        let limits = CollectorLimits {
            decoded_bytes: options.max_table_bytes.saturating_mul(DECODED_SIZE_MULTIPLE),
            shard_column_bytes: options.max_table_bytes,
        };
        Ok(Self {
            id,
            attempt: attempt.attempt,
            sent_at: now,
            partial_since: None,
            backend,
            query: attempt.table_query,
            shard: attempt.shard,
            request,
            response: Some(response),
            body: None,
            deframer: Deframer::new(options.max_table_bytes),
            collector: Some(Collector::new(limits)),
            stage: StreamStage::Sent,
            initial_window: options.initial_window as usize,
            unreleased_bytes: 0,
            bytes_awaiting_memory: 0,
            memory_exceeded: false,
            error: None,
        })
    }

    /// Whether the backend cannot send more until there is table memory.
    pub(super) fn waits_for_memory(&self) -> bool {
        self.bytes_awaiting_memory > 0
    }

    /// Whether a message has been incomplete for too long. Time spent waiting for memory does not count.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        let overdue = self.partial_since.is_some_and(|since| since + MESSAGE_TIMEOUT <= now);
        overdue && !self.waits_for_memory()
    }

    /// Updates when the incomplete message, if any, began. While the stream waits for memory the time restarts, since
    /// the backend cannot complete the message then.
    pub(super) fn update_partial_since(&mut self, now: Micros) {
        let since = if self.waits_for_memory() { now } else { self.partial_since.unwrap_or(now) };
        self.partial_since = (!self.deframer.is_empty()).then_some(since);
    }

    /// Resets the stream, which cancels the request at the backend.
    pub(super) fn reset(&mut self) {
        self.request.send_reset(Reason::CANCEL);
    }

    /// Releases bytes to the flow-control window, so that the backend can send as many more.
    pub(super) fn release(&mut self, bytes: usize) {
        self.unreleased_bytes -= bytes.min(self.unreleased_bytes);
        self.bytes_awaiting_memory = self.bytes_awaiting_memory.saturating_sub(bytes);
        if let Some(body) = &mut self.body {
            // An error means that the stream has ended, which its next poll reports.
            let _ = body.flow_control().release_capacity(bytes);
        }
    }

    /// Reads the available input; ready once the stream has ended.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, memory: &TableMemory) -> Poll<StreamEnd> {
        if let Some(response) = &mut self.response {
            let response = match Pin::new(response).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => return Poll::Ready(stream_end_from_error(&error)),
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
                Poll::Ready(Some(Err(error))) => return Poll::Ready(stream_end_from_error(&error)),
                Poll::Ready(Some(Ok(bytes))) => {
                    if !self.receive_bytes(&bytes, memory) {
                        return Poll::Ready(StreamEnd::Malformed);
                    }
                }
                Poll::Ready(None) => break,
            }
        }
        let Some(body) = &mut self.body else { return Poll::Ready(StreamEnd::Status) };
        match body.poll_trailers(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(stream_end_from_error(&error)),
            Poll::Ready(Ok(trailers)) => Poll::Ready(self.stream_end_from_trailers(trailers.as_ref())),
        }
    }

    /// Handles the response headers and starts to read the body, unless the headers end the stream.
    fn begin_body(&mut self, response: http::Response<RecvStream>) -> Result<(), StreamEnd> {
        if response.status() != http::StatusCode::OK {
            return Err(StreamEnd::Status);
        }
        if let Some(end) = stream_end_from_status(response.headers()) {
            return Err(end);
        }
        self.stage = StreamStage::Answering;
        let encoding = response.headers().get("grpc-encoding").and_then(|value| value.to_str().ok());
        let encoding = encoding.map_or(Some(Encoding::Identity), Encoding::from_name);
        let encoding = encoding.ok_or(StreamEnd::Malformed)?;
        let deframer = std::mem::replace(&mut self.deframer, Deframer::new(0));
        self.deframer = deframer.with_encoding(encoding);
        self.response = None;
        self.body = Some(response.into_body());
        Ok(())
    }

    /// Handles bytes of the body. Returns `false` if they are invalid or exceed the table memory.
    fn receive_bytes(&mut self, bytes: &Bytes, memory: &TableMemory) -> bool {
        self.unreleased_bytes += bytes.len();
        self.deframer.push(bytes);
        if let Err(error) = self.decode_messages() {
            self.error = Some(ResponseError::Message(error));
            return false;
        }
        self.request_memory(memory)
    }

    /// Decodes the complete messages that were received.
    fn decode_messages(&mut self) -> Result<(), String> {
        while let Some(message) = self.deframer.next_message().map_err(|error| format!("{error:?}"))? {
            let data = FlightData::decode(message).map_err(|error| error.to_string())?;
            self.collector.as_mut().ok_or("a message after the end of the table")?.push(data)?;
            // The next bytes belong to another message, which has its own timeout.
            self.partial_since = None;
        }
        Ok(())
    }

    /// Requests table memory for what the backend may send beyond the initial window. Returns `false` if the query's
    /// tables exceed the limit. Requests nothing before half of the initial window is received, since most responses
    /// are smaller.
    fn request_memory(&mut self, memory: &TableMemory) -> bool {
        let new_bytes = self.unreleased_bytes - self.bytes_awaiting_memory;
        if new_bytes < self.initial_window / 2 {
            return true;
        }
        match memory.request_window(self.id, new_bytes) {
            // The grant includes the bytes that waited before.
            WindowGrant::Granted => self.release(new_bytes + self.bytes_awaiting_memory),
            WindowGrant::Queued => self.bytes_awaiting_memory += new_bytes,
            WindowGrant::Exceeded => self.memory_exceeded = true,
        }
        !self.memory_exceeded
    }

    /// Returns how the stream ended. Without a status, or in the middle of a message, it was truncated, regardless
    /// of its content.
    fn stream_end_from_trailers(&mut self, trailers: Option<&http::HeaderMap>) -> StreamEnd {
        match trailers.and_then(stream_end_from_status) {
            Some(StreamEnd::Ok) if self.deframer.is_empty() => {
                self.stage = StreamStage::Complete;
                StreamEnd::Ok
            }
            Some(StreamEnd::Ok) => {
                self.error = Some(ResponseError::TruncatedMessage);
                StreamEnd::Malformed
            }
            Some(end) => end,
            None => StreamEnd::Reset,
        }
    }

    /// Ends the attempt, and returns the event with its outcome.
    pub(super) fn end(&mut self, end: StreamEnd, memory: &TableMemory) -> UpstreamEvent {
        let mut outcome = stream_outcome::classify(self.stage, end);
        let mut value = None;
        if outcome == Outcome::Succeeded {
            match self.value(memory) {
                Ok(answer) => (outcome, value) = answer,
                Err(ResponseError::OutOfMemory) => self.memory_exceeded = true,
                Err(error) => {
                    self.warn_unusable(&error);
                    outcome = Outcome::ConnectionLost;
                }
            }
        } else if end == StreamEnd::Malformed {
            // The backend may still be sending; the response is no longer needed.
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
        tracing::warn!("backend {}: unusable answer for shard {}: {error}", self.backend.0, self.shard.0);
    }

    /// Returns the outcome and the value of a complete response: that of a part result table, or a table with any other
    /// schema, which is kept as received.
    fn value(&mut self, memory: &TableMemory) -> Result<(Outcome, Option<Value>), ResponseError> {
        let collector = self.collector.take().ok_or(ResponseError::Empty)?;
        let is_part_result = collector.schema().is_some_and(rows::is_part_result_table);
        let table = collector.finish().ok_or(ResponseError::NoTable)?;
        if is_part_result {
            if table.rows != 1 {
                return Err(ResponseError::NotOneRow);
            }
            let rows =
                rows::read_part_results(&table.schema, &table.messages).map_err(ResponseError::Message)?;
            let [row] = rows.as_slice() else { return Err(ResponseError::NotOneRow) };
            if row.shard != self.shard {
                return Err(ResponseError::WrongShard);
            }
            let value = (row.outcome == Outcome::Succeeded).then(|| Value::Text(Rc::clone(&row.value)));
            return Ok((row.outcome, value));
        }
        let lease = memory.retain(self.id, table.bytes).ok_or(ResponseError::OutOfMemory)?;
        let (schema, messages, rows) = (table.schema, table.messages, table.rows);
        Ok((Outcome::Succeeded, Some(Value::Table(Rc::new(Table { schema, messages, rows, lease })))))
    }
}

/// Returns how a status ends the stream, if there is a status. A status does not show whether the part was executed,
/// unless its details state that it was not.
fn stream_end_from_status(headers: &http::HeaderMap) -> Option<StreamEnd> {
    let code = grpc::status_code(headers)?;
    Some(if code == Code::Ok as u32 {
        StreamEnd::Ok
    } else if code == Code::DeadlineExceeded as u32 {
        StreamEnd::DeadlineStatus
    } else if grpc::error_details(headers).0.as_deref() == Some(grpc::REASON_LATER) {
        StreamEnd::RetryLaterStatus
    } else {
        StreamEnd::Status
    })
}

/// Returns how an error ends the stream. Only a part whose stream the backend refused, or whose stream is above the
/// last one that its GOAWAY names, was certainly not executed. `h2` reports the backend's GOAWAY as the error of the
/// streams above the last one only: it ends these while it reads the frame, and the others with the connection's error.
fn stream_end_from_error(error: &h2::Error) -> StreamEnd {
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
