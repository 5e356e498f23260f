//! Long streams: `DoPut`, a table of queries with one result a row, and `DoExchange`, queries and answers as
//! they come, each with a tag. Which may begin and when the stream is over is decided in `core::batch`.

use std::collections::VecDeque;

use bytes::Bytes;
use mallowgauge_core::batch::{Batch, Bounds, Phase};
use mallowgauge_core::polled_queries::WaiterId;
use mallowgauge_core::stream_admission::Limits;
use mallowgauge_core::{Failure, Message, QueryResponse};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::ipc::Collector;
use mallowgauge_flight::proto::FlightData;
use mallowgauge_flight::rows;
use mallowgauge_router::Micros;
use prost::Message as _;
use serde_json::{json, Map, Value};

use crate::front::query;

/// Bytes of answers that wait to be taken, above which no more queries are read.
const BACKLOG: usize = 256 * 1024;
/// A client's columns may inflate to so many bytes.
const INFLATED: usize = 4 * 1024 * 1024;
/// A client's dictionaries may hold so many bytes.
const DICTIONARIES: usize = 512 * 1024;
/// Most rows of one record batch of queries.
const ROWS: u64 = 4096;

/// Which of the two it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `DoPut`.
    Put,
    /// `DoExchange`.
    Exchange,
}

/// What a client says on a long stream.
#[derive(Clone, Debug)]
pub enum Said {
    /// A query with its tag.
    Query(String, Value),
    /// The query of this tag is not wanted any more.
    Cancel(String),
}

/// A long stream.
pub struct Long {
    /// Which of the two it is.
    pub form: Form,
    /// The queries that are open.
    pub batch: Batch<String, WaiterId>,
    /// What was said and has not been begun: of one message at most.
    pub queue: VecDeque<Said>,
    /// The schema that the client has been sent.
    pub schema: Option<Bytes>,
    /// Why the stream ends with something other than OK once all is answered.
    pub last: Option<Status>,
    /// What stands in the descriptor counts for all queries.
    defaults: Map<String, Value>,
    begun: bool,
    columns: Collector,
    schema_in: Bytes,
    rows: u64,
}

fn bad(words: impl Into<std::borrow::Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, words)
}

impl Long {
    /// A stream on which nothing has come.
    pub fn new(form: Form, limits: &Limits) -> Self {
        Self {
            form,
            batch: Batch::new(Bounds { window: limits.batch, backlog: BACKLOG }),
            queue: VecDeque::new(),
            schema: None,
            last: None,
            defaults: Map::new(),
            begun: false,
            columns: Collector::new(INFLATED),
            schema_in: Bytes::new(),
            rows: 0,
        }
    }

    /// Whether the next message may be read.
    pub fn reads(&self) -> bool {
        self.queue.is_empty() && self.batch.reads()
    }

    /// Whether something that was said can be begun.
    pub fn begins(&self) -> bool {
        !self.queue.is_empty() && (self.batch.reads() || self.batch.phase() != Phase::Open)
    }

    /// The client has said its last, and all of it was begun.
    pub fn settle(&mut self, ended: bool) {
        if ended && self.queue.is_empty() {
            self.batch.half_close();
        }
    }

    /// Takes a message.
    pub fn take(&mut self, message: Bytes) -> Result<(), Status> {
        let mut data = FlightData::decode(message).map_err(|_| bad("this is no FlightData"))?;
        if let Some(descriptor) = data.flight_descriptor.take() {
            if self.begun {
                return Err(bad("a descriptor behind the first message"));
            }
            if !descriptor.cmd.is_empty() {
                let value = serde_json::from_slice(&descriptor.cmd);
                let Ok(Value::Object(fields)) = value else { return Err(bad("the command is not JSON")) };
                self.defaults = fields;
            }
        }
        self.begun = true;
        if !data.data_header.is_empty() {
            self.table(data)
        } else if !data.app_metadata.is_empty() {
            let value = serde_json::from_slice(&data.app_metadata);
            let Ok(Value::Object(fields)) = value else { return Err(bad("the metadata are not JSON")) };
            self.say(fields)
        } else {
            Ok(())
        }
    }

    /// A query or a cancellation in metadata.
    fn say(&mut self, fields: Map<String, Value>) -> Result<(), Status> {
        if let Some(tag) = fields.get("cancel") {
            let tag = tag.as_str().ok_or_else(|| bad("the tag to cancel is no text"))?;
            self.queue.push_back(Said::Cancel(tag.to_owned()));
            return Ok(());
        }
        let tag = match fields.get("tag") {
            Some(Value::String(tag)) if tag.len() <= 64 => tag.clone(),
            None => {
                self.rows += 1;
                (self.rows - 1).to_string()
            }
            Some(_) => return Err(bad("the tag is no text, or too long")),
        };
        let query = self.with_defaults(fields);
        self.queue.push_back(Said::Query(tag, query));
        Ok(())
    }

    fn with_defaults(&self, fields: Map<String, Value>) -> Value {
        let mut all = self.defaults.clone();
        all.extend(fields);
        Value::Object(all)
    }

    /// Columns: each row is a query.
    fn table(&mut self, data: FlightData) -> Result<(), Status> {
        let schema = self.columns.is_empty();
        let header = data.data_header.clone();
        self.columns.take(data).map_err(|why| bad(format!("the table makes no sense: {why}")))?;
        if schema {
            self.schema_in = header;
            return Ok(());
        }
        // Dictionaries stay for the batches to come; a batch is done with once its rows are queries.
        let (messages, rows) = self.columns.take_batch();
        if self.columns.bytes() > DICTIONARIES {
            return Err(bad("dictionaries that are too large"));
        }
        let Some(rows) = rows else { return Ok(()) };
        if rows > ROWS {
            return Err(bad("too many rows in one batch"));
        }
        let text = rows_of(&self.schema_in, &messages).map_err(|why| bad(format!("the rows: {why}")))?;
        for fields in text {
            let tag = self.rows.to_string();
            self.rows += 1;
            let query = self.with_defaults(fields);
            self.queue.push_back(Said::Query(tag, query));
        }
        Ok(())
    }
}

fn rows_of(schema: &Bytes, messages: &[Message]) -> Result<Vec<Map<String, Value>>, String> {
    let text = rows::json(schema, messages)?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// What a client is told of an answer in metadata.
pub fn told(form: Form, tag: &str, id: &str, answer: &Result<std::rc::Rc<QueryResponse>, Status>) -> Value {
    let mut told = match answer {
        Ok(answer) => match &**answer {
            QueryResponse::Completed { complete: whole, .. } => {
                json!({"status": if *whole { "whole" } else { "partial" }, "total": whole})
            }
            QueryResponse::Ranked(ranked) => {
                let mut told = query::ranked_summary(ranked);
                told["status"] = json!(if ranked.whole { "whole" } else { "partial" });
                told
            }
            QueryResponse::Rejected { retry_after, not_executed: untouched } => {
                json!({"status": "refused", "untouched": untouched, "retry_after_ms": ms(*retry_after)})
            }
            QueryResponse::Failed(Failure::Invalid(words)) => json!({"status": "invalid", "error": words}),
            QueryResponse::Failed(Failure::DeadlineExceeded) => json!({"status": "time_up"}),
            QueryResponse::Failed(Failure::PartsFailed | Failure::MemoryExhausted) => {
                json!({"status": "failed"})
            }
        },
        Err(status) => {
            let kind = match status.code {
                Code::InvalidArgument => "invalid",
                Code::Unavailable | Code::ResourceExhausted => "refused",
                Code::Cancelled => "cancelled",
                _ => "failed",
            };
            let mut told = json!({"status": kind, "error": status.words});
            if let Some(reason) = status.reason {
                told["reason"] = json!(reason);
            }
            if let Some(wait) = status.retry_after {
                told["retry_after_ms"] = json!(ms(wait));
            }
            told
        }
    };
    match form {
        Form::Put => told["row"] = json!(tag.parse::<u64>().unwrap_or_default()),
        Form::Exchange => told["tag"] = json!(tag),
    }
    told["id"] = json!(id);
    told
}

fn ms(micros: Micros) -> u64 {
    micros.div_ceil(1000)
}
