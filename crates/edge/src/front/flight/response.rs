//! Turns an outcome into what a call sends: a table, metadata on a batch stream, or a status.

use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::{Core, Failure, QueryResponse};
use mallowgauge_flight::answer::{self, Stream, Style};
use mallowgauge_flight::grpc::{self, Code, Status};
use mallowgauge_flight::proto::PutResult;
use mallowgauge_router::Micros;
use prost::Message;
use serde_json::{json, Value};

use super::batch_stream::BatchKind;
use super::call::{Call, CallState, OutboundItem, OutcomeUse};
use super::service::FlightService;
use super::status::{failure_status, internal_error};
use crate::front::query;

impl Call {
    /// The session's rule for partial answers, and the status of those that are none.
    pub fn checked_response(&self, answer: &Rc<QueryResponse>) -> Result<Rc<QueryResponse>, Status> {
        if let Some(status) = failure_status(answer) {
            return Err(status);
        }
        let part = match &**answer {
            QueryResponse::Completed { complete, .. } => !complete,
            // What was pruned by proof is not missing.
            QueryResponse::Ranked(ranked) => !ranked.exact,
            _ => false,
        };
        if self.head.options.whole_only && part {
            return Err(Status::new(Code::Aborted, "only a part of it is in").because("PARTIAL"));
        }
        Ok(Rc::clone(answer))
    }

    pub fn table_style(&self) -> Style {
        let compression = self.head.options.compression;
        Style { compression, encoding: self.encoding(), ..Style::default() }
    }

    /// An outcome has come for this call.
    pub fn deliver(
        &mut self,
        now: Micros,
        tag: &str,
        id: &str,
        outcome: Result<Rc<QueryResponse>, Status>,
        service: &mut FlightService,
        core: &Core,
    ) {
        match &mut self.state {
            CallState::WaitingForOutcome(waiting) => {
                match std::mem::replace(&mut waiting.outcome_use, OutcomeUse::Table) {
                    OutcomeUse::Table => match outcome.and_then(|answer| self.checked_response(&answer)) {
                        Ok(answer) => self.send_table(now, &answer),
                        Err(status) => self.finish_with_error(now, &status),
                    },
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

    /// An answer as a table, and the end of the call behind it.
    pub fn send_table(&mut self, now: Micros, answer: &QueryResponse) {
        let style = self.table_style();
        let stream = match answer {
            QueryResponse::Completed { complete, values } => {
                let last = json!({ "total": complete }).to_string().into();
                Stream::new(values, Style { last, ..style })
            }
            QueryResponse::Ranked(ranked) => {
                let last = query::marks(ranked).to_string().into();
                Stream::ranked(&ranked.rows, Style { last, ..style })
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

    /// An answer on a long stream: metadata that say which query it is for, and on an exchange its rows.
    pub fn deliver_to_batch(
        &mut self,
        now: Micros,
        tag: &str,
        id: &str,
        outcome: Result<Rc<QueryResponse>, Status>,
    ) {
        let outcome = outcome.and_then(|answer| match failure_status(&answer) {
            // The rejection_status's own words say more than the status would.
            Some(_) => Ok(answer),
            None => self.checked_response(&answer),
        });
        let style = self.table_style();
        let CallState::BatchStream(long) = &mut self.state else { return };
        let mut metadata = outcome_metadata(long.kind, tag, id, &outcome);
        let mut bytes = 256;
        let values = match outcome.as_deref() {
            Ok(QueryResponse::Completed { values, .. }) => values.as_slice(),
            _ => &[],
        };
        let ranked = match outcome.as_deref() {
            Ok(QueryResponse::Ranked(ranked)) => Some(ranked),
            _ => None,
        };
        let texts = ranked.iter().flat_map(|ranked| &ranked.rows).map(|row| row.text.len());
        let size = values.iter().map(|(_, value)| value.bytes()).chain(texts).sum::<usize>();
        let mut items = Vec::new();
        if long.kind == BatchKind::Put {
            if let Some(ranked) = ranked {
                metadata["rows"] = query::ranked(ranked)["rows"].take();
            }
            if !values.is_empty() {
                metadata["answers"] = values.iter().map(value_json).collect();
            }
            let metadata = metadata.to_string();
            bytes += metadata.len();
            let result = PutResult { app_metadata: metadata.into() }.encode_to_vec();
            items.push(OutboundItem::Pieces(grpc::frame_pieces(vec![result.into()], style.encoding).into()));
        } else {
            let header = match ranked {
                Some(_) => Some(Stream::ranked_header()),
                None => Stream::header(values).ok().filter(|_| !values.is_empty()),
            };
            let fits = match (&header, &long.sent_schema) {
                (Some(ours), Some(sent)) => ours == sent,
                (header, _) => header.is_some(),
            };
            let each = json!({ "tag": tag }).to_string().into();
            let last = |metadata: &Value| Bytes::from(metadata.to_string());
            let style = Style { each, last: last(&metadata), headless: long.sent_schema.is_some(), ..style };
            let stream = match ranked {
                Some(ranked) => Stream::ranked(&ranked.rows, style.clone()),
                None => Stream::new(values, style.clone()),
            };
            let stream = stream.ok().filter(|_| fits);
            match stream {
                Some(stream) => {
                    bytes += size;
                    long.sent_schema = long.sent_schema.take().or(header);
                    items.push(OutboundItem::Table(Box::new(stream)));
                }
                None => {
                    if header.is_some() {
                        // Another table than the stream's: its rows cannot stand here, the outcome can.
                        metadata["rows"] =
                            json!("another schema than this stream's; ask for them with DoGet");
                    }
                    let pieces =
                        answer::flight_data(&Bytes::new(), &last(&metadata), Vec::new(), style.encoding);
                    items.push(OutboundItem::Pieces(pieces.into()));
                }
            }
        }
        if !long.batch.answer(&tag.to_owned(), bytes) {
            long.batch.say(bytes);
        }
        items.into_iter().for_each(|item| self.queue_item(now, item));
    }
}

/// A text of an answer as it goes into a result; of a table only how long it is.
pub fn value_json((shard, value): &(mallowgauge_router::ShardId, mallowgauge_core::Value)) -> Value {
    match value {
        mallowgauge_core::Value::Text(text) => json!({"range": shard.0, "blob": **text}),
        mallowgauge_core::Value::Table(table) => json!({"range": shard.0, "rows": table.rows}),
    }
}

/// What a client is told of an answer in metadata.
pub fn outcome_metadata(
    form: BatchKind,
    tag: &str,
    id: &str,
    answer: &Result<std::rc::Rc<QueryResponse>, Status>,
) -> Value {
    let mut metadata = match answer {
        Ok(answer) => match &**answer {
            QueryResponse::Completed { complete, .. } => {
                json!({"status": if *complete { "whole" } else { "partial" }, "total": complete})
            }
            QueryResponse::Ranked(ranked) => {
                let mut metadata = query::marks(ranked);
                metadata["status"] = json!(if ranked.whole { "whole" } else { "partial" });
                metadata
            }
            QueryResponse::Rejected { retry_after, not_executed } => {
                json!({"status": "refused", "untouched": not_executed, "retry_after_ms": millis(*retry_after)})
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
            let mut metadata = json!({"status": kind, "error": status.words});
            if let Some(reason) = status.reason {
                metadata["reason"] = json!(reason);
            }
            if let Some(wait) = status.retry_after {
                metadata["retry_after_ms"] = json!(millis(wait));
            }
            metadata
        }
    };
    match form {
        BatchKind::Put => metadata["row"] = json!(tag.parse::<u64>().unwrap_or_default()),
        BatchKind::Exchange => metadata["tag"] = json!(tag),
    }
    metadata["id"] = json!(id);
    metadata
}

pub fn millis(micros: Micros) -> u64 {
    micros.div_ceil(1000)
}
