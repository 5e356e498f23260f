//! Encodes an outcome for its call: as a table, as metadata on a batch stream, or as a status.

use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::two_phase::Ranked;
use mallowgauge_core::{Core, Failure, QueryResponse, Value as QueryValue};
use mallowgauge_flight::answer::{self, Stream, StreamOptions};
use mallowgauge_flight::grpc::{self, Code, Status};
use mallowgauge_flight::proto::PutResult;
use mallowgauge_router::{Micros, ShardId};
use prost::Message;
use serde_json::{json, Value};

use super::batch_stream::{BatchKind, BatchStream};
use super::call::{Call, CallState, OutboundItem, OutcomeUse};
use super::service::{FlightService, Outcome};
use super::status::{failure_status, internal_error};
use crate::front::query;

/// Bytes that a message counts in the response backlog in addition to its rows or metadata.
const MESSAGE_OVERHEAD: usize = 256;

impl Call {
    /// Checks that a response can be sent: that it is not a rejection or failure, and not partial if the session
    /// accepts complete responses only.
    ///
    /// # Errors
    /// The status that the client gets instead.
    pub fn checked_response(&self, response: &Rc<QueryResponse>) -> Result<Rc<QueryResponse>, Status> {
        if let Some(status) = failure_status(response) {
            return Err(status);
        }
        let partial = match &**response {
            QueryResponse::Completed { complete, .. } => !complete,
            // Rows that provably do not belong to the result are not missing.
            QueryResponse::Ranked(ranked) => !ranked.exact,
            _ => false,
        };
        if self.head.options.complete_only && partial {
            return Err(Status::new(Code::Aborted, "only a part of it is in").with_reason("PARTIAL"));
        }
        Ok(Rc::clone(response))
    }

    /// Returns the options of the streams of tables sent to this client.
    fn stream_options(&self) -> StreamOptions {
        let compression = self.head.options.compression;
        StreamOptions { compression, encoding: self.encoding(), ..StreamOptions::default() }
    }

    /// Sends the outcome of one of this call's queries.
    pub fn deliver(
        &mut self,
        now: Micros,
        tag: &str,
        id: &str,
        outcome: Outcome,
        service: &mut FlightService,
        core: &Core,
    ) {
        match &mut self.state {
            CallState::WaitingForOutcome(pending) => {
                match std::mem::replace(&mut pending.outcome_use, OutcomeUse::Table) {
                    OutcomeUse::Table => {
                        match outcome.and_then(|response| self.checked_response(&response)) {
                            Ok(response) => self.send_table(now, &response),
                            Err(status) => self.finish_with_error(now, &status),
                        }
                    }
                    OutcomeUse::Poll(key, command) => match outcome {
                        Ok(_) => self.send_poll_info(now, &key, &command, service, core),
                        Err(status) => self.finish_with_error(now, &status),
                    },
                }
            }
            CallState::BatchStream(_) => self.deliver_to_batch(now, tag, id, outcome),
            _ => {}
        }
    }

    /// Sends a response as a table, and ends the call after it.
    pub fn send_table(&mut self, now: Micros, response: &QueryResponse) {
        let options = self.stream_options();
        let stream = match response {
            QueryResponse::Completed { complete, values } => {
                let last = json!({ "total": complete }).to_string().into();
                Stream::new(values, StreamOptions { final_metadata: last, ..options })
            }
            QueryResponse::Ranked(ranked) => {
                let last = query::ranked_summary(ranked).to_string().into();
                Stream::ranked(&ranked.rows, StreamOptions { final_metadata: last, ..options })
            }
            _ => return,
        };
        match stream {
            Ok(stream) => {
                self.queue_item(now, OutboundItem::Table(Box::new(stream)));
                self.finish(&Status::new(Code::Ok, ""));
            }
            Err(_) => self.finish_with_error(now, &internal_error()),
        }
    }

    /// Sends an outcome on a batch stream: metadata that identify the query, and on a `DoExchange` its rows.
    fn deliver_to_batch(&mut self, now: Micros, tag: &str, id: &str, outcome: Outcome) {
        let outcome = outcome.and_then(|response| match failure_status(&response) {
            // The metadata of a rejection or failure are more detailed than its status.
            Some(_) => Ok(response),
            None => self.checked_response(&response),
        });
        let options = self.stream_options();
        let CallState::BatchStream(stream) = &mut self.state else { return };
        let metadata = outcome_metadata(stream.kind, tag, id, &outcome);
        let response = outcome.as_deref().ok();
        let (item, bytes) = match stream.kind {
            BatchKind::Put => put_result(metadata, response, &options),
            BatchKind::Exchange => exchange_item(stream, tag, metadata, response, options),
        };
        if !stream.batch.answer(&tag.to_owned(), bytes) {
            stream.batch.untagged_response(bytes);
        }
        self.queue_item(now, item);
    }
}

/// Returns the values of a response; empty for a response of ranked rows.
fn response_values(response: Option<&QueryResponse>) -> &[(ShardId, QueryValue)] {
    match response {
        Some(QueryResponse::Completed { values, .. }) => values,
        _ => &[],
    }
}

fn response_ranking(response: Option<&QueryResponse>) -> Option<&Ranked> {
    match response {
        Some(QueryResponse::Ranked(ranked)) => Some(ranked),
        _ => None,
    }
}

/// Returns the result of one row of a `DoPut`, and its size in bytes. The metadata hold the complete outcome.
fn put_result(
    mut metadata: Value,
    response: Option<&QueryResponse>,
    options: &StreamOptions,
) -> (OutboundItem, usize) {
    if let Some(ranked) = response_ranking(response) {
        metadata["rows"] = query::write_ranked(ranked)["rows"].take();
    }
    let values = response_values(response);
    if !values.is_empty() {
        metadata["answers"] = values.iter().map(value_json).collect();
    }
    let metadata = metadata.to_string();
    let bytes = MESSAGE_OVERHEAD + metadata.len();
    let result = PutResult { app_metadata: metadata.into() }.encode_to_vec();
    let pieces = grpc::frame_pieces(vec![result.into()], options.encoding);
    (OutboundItem::Pieces(pieces.into()), bytes)
}

/// Returns the response to one query of a `DoExchange`, and its size in bytes: the rows if they have the stream's
/// schema, otherwise the metadata alone.
fn exchange_item(
    stream: &mut BatchStream,
    tag: &str,
    mut metadata: Value,
    response: Option<&QueryResponse>,
    options: StreamOptions,
) -> (OutboundItem, usize) {
    let (values, ranked) = (response_values(response), response_ranking(response));
    let header = match ranked {
        Some(_) => Some(Stream::ranked_schema_header()),
        None => Stream::schema_header(values).ok().filter(|_| !values.is_empty()),
    };
    let has_stream_schema = match (&header, &stream.sent_schema) {
        (Some(header), Some(sent)) => header == sent,
        (header, _) => header.is_some(),
    };
    let options = StreamOptions {
        batch_metadata: json!({ "tag": tag }).to_string().into(),
        final_metadata: metadata.to_string().into(),
        schema_sent: stream.sent_schema.is_some(),
        ..options
    };
    let encoding = options.encoding;
    let table = match ranked {
        Some(ranked) => Stream::ranked(&ranked.rows, options),
        None => Stream::new(values, options),
    };
    if let Some(table) = table.ok().filter(|_| has_stream_schema) {
        stream.sent_schema = stream.sent_schema.take().or(header);
        let texts = ranked.iter().flat_map(|ranked| &ranked.rows).map(|row| row.text.len());
        let size = values.iter().map(|(_, value)| value.bytes()).chain(texts).sum::<usize>();
        return (OutboundItem::Table(Box::new(table)), MESSAGE_OVERHEAD + size);
    }
    if header.is_some() {
        metadata["rows"] = json!("another schema than this stream's; ask for them with DoGet");
    }
    let last = Bytes::from(metadata.to_string());
    let pieces = answer::flight_data(&Bytes::new(), &last, Vec::new(), encoding);
    (OutboundItem::Pieces(pieces.into()), MESSAGE_OVERHEAD)
}

/// Returns a value for the metadata: a text in full, but only the number of rows of a table.
fn value_json((shard, value): &(ShardId, QueryValue)) -> Value {
    match value {
        QueryValue::Text(text) => json!({"range": shard.0, "blob": **text}),
        QueryValue::Table(table) => json!({"range": shard.0, "rows": table.rows}),
    }
}

/// Returns the metadata of an outcome on a batch stream. The texts of `status` are part of the protocol.
fn outcome_metadata(kind: BatchKind, tag: &str, id: &str, outcome: &Outcome) -> Value {
    let mut metadata = match outcome {
        Ok(response) => response_metadata(response),
        Err(status) => status_metadata(status),
    };
    match kind {
        BatchKind::Put => metadata["row"] = json!(tag.parse::<u64>().unwrap_or_default()),
        BatchKind::Exchange => metadata["tag"] = json!(tag),
    }
    metadata["id"] = json!(id);
    metadata
}

fn completeness(complete: bool) -> &'static str {
    if complete {
        "whole"
    } else {
        "partial"
    }
}

fn response_metadata(response: &QueryResponse) -> Value {
    match response {
        QueryResponse::Completed { complete, .. } => {
            json!({"status": completeness(*complete), "total": complete})
        }
        QueryResponse::Ranked(ranked) => {
            let mut metadata = query::ranked_summary(ranked);
            metadata["status"] = json!(completeness(ranked.complete));
            metadata
        }
        QueryResponse::Rejected { retry_after, not_executed } => {
            json!({"status": "refused", "untouched": not_executed, "retry_after_ms": millis(*retry_after)})
        }
        QueryResponse::Failed(Failure::Invalid(error)) => {
            json!({"status": "invalid", "error": error.message()})
        }
        QueryResponse::Failed(Failure::DeadlineExceeded) => json!({"status": "time_up"}),
        QueryResponse::Failed(Failure::PartsFailed | Failure::MemoryExhausted) => json!({"status": "failed"}),
    }
}

fn status_metadata(status: &Status) -> Value {
    let kind = match status.code {
        Code::InvalidArgument => "invalid",
        Code::Unavailable | Code::ResourceExhausted => "refused",
        Code::Cancelled => "cancelled",
        _ => "failed",
    };
    let mut metadata = json!({"status": kind, "error": status.message});
    if let Some(reason) = status.reason {
        metadata["reason"] = json!(reason);
    }
    if let Some(retry_after) = status.retry_after {
        metadata["retry_after_ms"] = json!(millis(retry_after));
    }
    metadata
}

/// Converts microseconds to milliseconds, rounded up.
fn millis(micros: Micros) -> u64 {
    micros.div_ceil(1000)
}
