//! Batch streams: `DoPut` carries a table of queries and returns one result per row; `DoExchange` carries tagged
//! queries and responses in any order. `mallowgauge_core::query_stream` decides which queries may start, and when the
//! stream ends.

use std::collections::VecDeque;

use bytes::Bytes;
use mallowgauge_core::memory_budget::{MemoryBudget, MemoryExhausted, Reservation};
use mallowgauge_core::polled_queries::WaiterId;
use mallowgauge_core::query_stream::{QueryStream, QueryStreamLimits, QueryStreamPhase};
use mallowgauge_core::stream_admission::StreamLimits;
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::ipc::{Collector, CollectorLimits};
use mallowgauge_flight::json_size::MeasureError;
use mallowgauge_flight::proto::FlightData;
use mallowgauge_flight::rows::{self, JsonError};
use prost::Message as _;
use serde_json::{Map, Value};

use super::status::{batch_memory_exhausted, invalid_argument};

/// No more queries are read while more bytes of responses than this wait to be sent.
const RESPONSE_BACKLOG_BYTES: usize = 256 * 1024;
/// Maximum size of a client's columns after they are decoded, and of the JSON text of one batch, in bytes.
const MAX_DECODED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a client's dictionaries, in bytes.
const MAX_DICTIONARY_BYTES: usize = 512 * 1024;
/// Maximum number of rows of one record batch of queries.
const MAX_BATCH_ROWS: u64 = 4096;
/// Maximum length of the JSON text of one query, in bytes.
const MAX_QUERY_BYTES: usize = 256 * 1024;
/// Maximum length of a query's tag, in bytes.
const MAX_TAG_BYTES: usize = 64;

/// The method of a batch stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchKind {
    /// `DoPut`.
    Put,
    /// `DoExchange`.
    Exchange,
}

/// A client's message on a batch stream.
#[derive(Clone, Debug)]
pub enum BatchMessage {
    /// The tag of a query, and the JSON text of its fields. It is parsed and merged with the defaults once the query
    /// starts: both take many times the memory of the text.
    Query(String, Bytes),
    /// Cancels the query of this tag.
    Cancel(String),
}

/// The state of a batch stream.
pub struct BatchStream {
    /// The method of the stream.
    pub kind: BatchKind,
    /// The open queries, by tag.
    pub batch: QueryStream<String, WaiterId>,
    /// Queries and cancellations that were read but not started; those of one message at most.
    pub queue: VecDeque<BatchMessage>,
    /// The schema that was sent to the client; a stream carries one schema only.
    pub sent_schema: Option<Bytes>,
    /// The status that the stream ends with once all queries are answered; `None` stands for `OK`.
    pub final_status: Option<Status>,
    /// Fields of the descriptor's command: the defaults for fields that a query does not set.
    defaults: Map<String, Value>,
    started: bool,
    columns: Collector,
    received_schema: Bytes,
    next_row: u64,
    /// Memory for the dictionaries in `columns` and the texts in `queue`.
    memory: Reservation,
}

impl BatchStream {
    /// Creates a stream on which nothing has been received.
    pub fn new(kind: BatchKind, limits: &StreamLimits, memory: &MemoryBudget) -> Self {
        Self {
            kind,
            batch: QueryStream::new(QueryStreamLimits {
                window: limits.queries_per_stream,
                backlog: RESPONSE_BACKLOG_BYTES,
            }),
            queue: VecDeque::new(),
            sent_schema: None,
            final_status: None,
            defaults: Map::new(),
            started: false,
            columns: Collector::new(CollectorLimits {
                decoded_bytes: MAX_DECODED_BYTES,
                shard_column_bytes: usize::MAX,
            }),
            received_schema: Bytes::new(),
            next_row: 0,
            memory: memory.reservation(),
        }
    }

    /// Returns whether the next message may be read.
    pub fn can_read(&self) -> bool {
        self.queue.is_empty() && self.batch.may_read()
    }

    /// Returns whether a queued query or cancellation may start.
    pub fn can_start(&self) -> bool {
        !self.queue.is_empty() && (self.batch.may_read() || self.batch.phase() != QueryStreamPhase::Open)
    }

    /// Removes the next query or cancellation from the queue.
    pub fn next_message(&mut self) -> Option<BatchMessage> {
        let message = self.queue.pop_front();
        if self.queue.is_empty() {
            // Dictionaries stay reserved: what is less than before is always available.
            let _ = self.memory.resize(self.columns.bytes());
        }
        message
    }

    /// Records that the client has ended its side of the stream.
    pub fn input_ended(&mut self) {
        if self.queue.is_empty() {
            self.batch.half_close();
        }
    }

    /// Queues the queries of a client's message.
    ///
    /// # Errors
    /// The message is malformed, or exceeds a limit.
    pub fn receive(&mut self, message: Bytes) -> Result<(), Status> {
        let mut data = FlightData::decode(message).map_err(|_| invalid_argument("this is no FlightData"))?;
        if let Some(descriptor) = data.flight_descriptor.take() {
            if self.started {
                return Err(invalid_argument("a descriptor behind the first message"));
            }
            if !descriptor.cmd.is_empty() {
                let value = serde_json::from_slice(&descriptor.cmd);
                let Ok(Value::Object(fields)) = value else {
                    return Err(invalid_argument("the command is not JSON"));
                };
                self.defaults = fields;
            }
        }
        self.started = true;
        if !data.data_header.is_empty() {
            self.receive_columns(data)
        } else if !data.app_metadata.is_empty() {
            self.receive_metadata(data.app_metadata)
        } else {
            Ok(())
        }
    }

    /// Queues a query or a cancellation that was sent as metadata.
    fn receive_metadata(&mut self, text: Bytes) -> Result<(), Status> {
        let Ok(Value::Object(fields)) = serde_json::from_slice(&text) else {
            return Err(invalid_argument("the metadata are not JSON"));
        };
        if let Some(tag) = fields.get("cancel") {
            let tag = tag.as_str().ok_or_else(|| invalid_argument("the tag to cancel is no text"))?;
            self.queue.push_back(BatchMessage::Cancel(tag.to_owned()));
            return Ok(());
        }
        let tag = match fields.get("tag") {
            Some(Value::String(tag)) if tag.len() <= MAX_TAG_BYTES => tag.clone(),
            None => {
                self.next_row += 1;
                (self.next_row - 1).to_string()
            }
            Some(_) => return Err(invalid_argument("the tag is no text, or too long")),
        };
        self.queue.push_back(BatchMessage::Query(tag, text));
        Ok(())
    }

    /// Parses the fields of a query, and adds the defaults for those that it does not set.
    ///
    /// # Errors
    /// The text is too long, or no JSON object.
    pub fn parse_query(&self, text: &[u8]) -> Result<Value, Status> {
        if text.len() > MAX_QUERY_BYTES {
            return Err(invalid_argument("a query that is too long"));
        }
        let Ok(Value::Object(fields)) = serde_json::from_slice(text) else {
            return Err(invalid_argument("the query is no object"));
        };
        let mut merged = self.defaults.clone();
        merged.extend(fields);
        Ok(Value::Object(merged))
    }

    /// Reads a schema, dictionary or record batch. Each row of a record batch is a query.
    fn receive_columns(&mut self, data: FlightData) -> Result<(), Status> {
        let is_schema = self.columns.is_empty();
        let header = data.data_header.clone();
        self.columns
            .push(data)
            .map_err(|reason| invalid_argument(format!("the table makes no sense: {reason}")))?;
        if is_schema {
            self.received_schema = header;
            return Ok(());
        }
        // Dictionaries are kept for later record batches; a record batch is dropped once its rows are queued.
        let (messages, rows) = self.columns.take_batch();
        let dictionaries = self.columns.bytes();
        if dictionaries > MAX_DICTIONARY_BYTES {
            return Err(invalid_argument("dictionaries that are too large"));
        }
        self.memory.resize(dictionaries).map_err(|MemoryExhausted| batch_memory_exhausted())?;
        let Some(rows) = rows else { return Ok(()) };
        if rows > MAX_BATCH_ROWS {
            return Err(invalid_argument("too many rows in one batch"));
        }
        let limit = MAX_DECODED_BYTES.min(self.memory.limit() - dictionaries);
        let available = self.memory.available() - dictionaries;
        let queries = rows::to_json_rows(&self.received_schema, &messages, available.min(limit));
        let queries = queries.map_err(|error| match error {
            JsonError::Measure(MeasureError::TooLong) if available < limit => batch_memory_exhausted(),
            error => invalid_argument(format!("the rows: {error}")),
        })?;
        let text_bytes: usize = queries.iter().map(Bytes::len).sum();
        self.memory.resize(dictionaries + text_bytes).map_err(|MemoryExhausted| batch_memory_exhausted())?;
        for text in queries {
            let tag = self.next_row.to_string();
            self.next_row += 1;
            self.queue.push_back(BatchMessage::Query(tag, text));
        }
        Ok(())
    }
}
