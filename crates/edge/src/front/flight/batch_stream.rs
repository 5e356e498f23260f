//! Batch streams: `DoPut`, a table of queries with one result a row, and `DoExchange`, queries and answers in any
//! order, each with a tag. Which queries may begin, and when the stream is over, is decided in
//! `mallowgauge_core::query_stream`.

use std::collections::VecDeque;

use bytes::Bytes;
use mallowgauge_core::polled_queries::WaiterId;
use mallowgauge_core::query_stream::{QueryStream, QueryStreamLimits, QueryStreamPhase};
use mallowgauge_core::stream_admission::StreamLimits;
use mallowgauge_core::Message;
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::ipc::Collector;
use mallowgauge_flight::proto::FlightData;
use mallowgauge_flight::rows;
use prost::Message as _;
use serde_json::{Map, Value};

use super::status::invalid_argument;

/// No more queries are read while more bytes of answers than this wait for the client.
const RESPONSE_BACKLOG_BYTES: usize = 256 * 1024;
/// Bound, in bytes, on a client's columns after decompression.
const MAX_INFLATED_BYTES: usize = 4 * 1024 * 1024;
/// Bound, in bytes, on a client's dictionaries.
const MAX_DICTIONARY_BYTES: usize = 512 * 1024;
/// Most rows of one record batch of queries.
const MAX_BATCH_ROWS: u64 = 4096;

/// Which method the stream belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchKind {
    /// `DoPut`.
    Put,
    /// `DoExchange`.
    Exchange,
}

/// A message of a client on a batch stream.
#[derive(Clone, Debug)]
pub enum BatchMessage {
    /// A query with its tag.
    Query(String, Value),
    /// Cancels the query of this tag.
    Cancel(String),
}

/// The state of a batch stream.
pub struct BatchStream {
    /// Which method the stream belongs to.
    pub kind: BatchKind,
    /// The queries that are open.
    pub batch: QueryStream<String, WaiterId>,
    /// What was read and has not begun yet, of one message at most.
    pub queue: VecDeque<BatchMessage>,
    /// The schema that the client has been sent; one stream carries one schema.
    pub sent_schema: Option<Bytes>,
    /// The status that the stream ends with once all is answered, if it is not `OK`.
    pub final_status: Option<Status>,
    /// Fields of the descriptor's command; they apply to every query that does not set them.
    defaults: Map<String, Value>,
    started: bool,
    columns: Collector,
    received_schema: Bytes,
    next_row: u64,
}

impl BatchStream {
    /// A stream on which nothing has been received.
    pub fn new(form: BatchKind, limits: &StreamLimits) -> Self {
        Self {
            kind: form,
            batch: QueryStream::new(QueryStreamLimits {
                window: limits.queries_per_stream,
                backlog: RESPONSE_BACKLOG_BYTES,
            }),
            queue: VecDeque::new(),
            sent_schema: None,
            final_status: None,
            defaults: Map::new(),
            started: false,
            columns: Collector::new(MAX_INFLATED_BYTES),
            received_schema: Bytes::new(),
            next_row: 0,
        }
    }

    /// Whether the next message may be read.
    pub fn can_read(&self) -> bool {
        self.queue.is_empty() && self.batch.may_read()
    }

    /// Whether something that was read may begin.
    pub fn can_begin(&self) -> bool {
        !self.queue.is_empty() && (self.batch.may_read() || self.batch.phase() != QueryStreamPhase::Open)
    }

    /// The client sends nothing more.
    pub fn input_ended(&mut self) {
        if self.queue.is_empty() {
            self.batch.half_close();
        }
    }

    /// Takes a message of the client.
    ///
    /// # Errors
    /// The message is malformed, or exceeds a bound.
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
            let value = serde_json::from_slice(&data.app_metadata);
            let Ok(Value::Object(fields)) = value else {
                return Err(invalid_argument("the metadata are not JSON"));
            };
            self.receive_metadata(fields)
        } else {
            Ok(())
        }
    }

    /// A query or a cancellation in metadata.
    fn receive_metadata(&mut self, fields: Map<String, Value>) -> Result<(), Status> {
        if let Some(tag) = fields.get("cancel") {
            let tag = tag.as_str().ok_or_else(|| invalid_argument("the tag to cancel is no text"))?;
            self.queue.push_back(BatchMessage::Cancel(tag.to_owned()));
            return Ok(());
        }
        let tag = match fields.get("tag") {
            Some(Value::String(tag)) if tag.len() <= 64 => tag.clone(),
            None => {
                self.next_row += 1;
                (self.next_row - 1).to_string()
            }
            Some(_) => return Err(invalid_argument("the tag is no text, or too long")),
        };
        let query = self.with_defaults(fields);
        self.queue.push_back(BatchMessage::Query(tag, query));
        Ok(())
    }

    fn with_defaults(&self, fields: Map<String, Value>) -> Value {
        let mut all = self.defaults.clone();
        all.extend(fields);
        Value::Object(all)
    }

    /// Takes a piece of a table; each row of it is a query.
    fn receive_columns(&mut self, data: FlightData) -> Result<(), Status> {
        let schema = self.columns.is_empty();
        let header = data.data_header.clone();
        self.columns
            .push(data)
            .map_err(|reason| invalid_argument(format!("the table makes no sense: {reason}")))?;
        if schema {
            self.received_schema = header;
            return Ok(());
        }
        // Dictionaries are kept for later record batches; a record batch is dropped once its rows are queries.
        let (messages, rows) = self.columns.take_batch();
        if self.columns.bytes() > MAX_DICTIONARY_BYTES {
            return Err(invalid_argument("dictionaries that are too large"));
        }
        let Some(rows) = rows else { return Ok(()) };
        if rows > MAX_BATCH_ROWS {
            return Err(invalid_argument("too many rows in one batch"));
        }
        let text = rows_of(&self.received_schema, &messages)
            .map_err(|reason| invalid_argument(format!("the rows: {reason}")))?;
        for fields in text {
            let tag = self.next_row.to_string();
            self.next_row += 1;
            let query = self.with_defaults(fields);
            self.queue.push_back(BatchMessage::Query(tag, query));
        }
        Ok(())
    }
}

fn rows_of(schema: &Bytes, messages: &[Message]) -> Result<Vec<Map<String, Value>>, String> {
    let text = rows::to_json(schema, messages)?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}
