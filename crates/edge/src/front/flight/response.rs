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

use super::batch_stream::Form;
use super::call::{Call, Item, Wanted, Work};
use super::service::Office;
use super::status::{failure, internal};
use crate::front::query;

impl Call {
    /// The session's rule for partial answers, and the status of those that are none.
    pub fn shown(&self, answer: &Rc<QueryResponse>) -> Result<Rc<QueryResponse>, Status> {
        if let Some(status) = failure(answer) {
            return Err(status);
        }
        let part = match &**answer {
            QueryResponse::Completed { complete: whole, .. } => !whole,
            // What was pruned by proof is not missing.
            QueryResponse::Ranked(ranked) => !ranked.exact,
            _ => false,
        };
        if self.head.options.whole_only && part {
            return Err(Status::new(Code::Aborted, "only a part of it is in").because("PARTIAL"));
        }
        Ok(Rc::clone(answer))
    }

    pub fn style(&self) -> Style {
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
        office: &mut Office,
        core: &Core,
    ) {
        match &mut self.work {
            Work::Waiting(waiting) => match std::mem::replace(&mut waiting.form, Wanted::Table) {
                Wanted::Table => match outcome.and_then(|answer| self.shown(&answer)) {
                    Ok(answer) => self.table(now, &answer),
                    Err(status) => self.fail(now, &status),
                },
                Wanted::Poll(key, command) => match outcome {
                    Ok(_) => self.stands(now, &key, &command, office, core),
                    Err(status) => self.fail(now, &status),
                },
            },
            Work::Long(_) => self.deliver_long(now, tag, id, outcome),
            _ => {}
        }
    }

    /// An answer as a table, and the end of the call behind it.
    pub fn table(&mut self, now: Micros, answer: &QueryResponse) {
        let style = self.style();
        let stream = match answer {
            QueryResponse::Completed { complete: whole, values } => {
                let last = json!({ "total": whole }).to_string().into();
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
                self.push(now, Item::Answer(Box::new(stream)));
                self.end(&Status::new(Code::Ok, ""));
            }
            Err(_) => self.fail(now, &internal()),
        }
    }

    /// An answer on a long stream: metadata that say which query it is for, and on an exchange its rows.
    pub fn deliver_long(
        &mut self,
        now: Micros,
        tag: &str,
        id: &str,
        outcome: Result<Rc<QueryResponse>, Status>,
    ) {
        let outcome = outcome.and_then(|answer| match failure(&answer) {
            // The refusal's own words say more than the status would.
            Some(_) => Ok(answer),
            None => self.shown(&answer),
        });
        let style = self.style();
        let Work::Long(long) = &mut self.work else { return };
        let mut told = told(long.form, tag, id, &outcome);
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
        if long.form == Form::Put {
            if let Some(ranked) = ranked {
                told["rows"] = query::ranked(ranked)["rows"].take();
            }
            if !values.is_empty() {
                told["answers"] = values.iter().map(short).collect();
            }
            let metadata = told.to_string();
            bytes += metadata.len();
            let result = PutResult { app_metadata: metadata.into() }.encode_to_vec();
            items.push(Item::Pieces(grpc::frame_pieces(vec![result.into()], style.encoding).into()));
        } else {
            let header = match ranked {
                Some(_) => Some(Stream::ranked_header()),
                None => Stream::header(values).ok().filter(|_| !values.is_empty()),
            };
            let fits = match (&header, &long.schema) {
                (Some(ours), Some(sent)) => ours == sent,
                (header, _) => header.is_some(),
            };
            let each = json!({ "tag": tag }).to_string().into();
            let last = |told: &Value| Bytes::from(told.to_string());
            let style = Style { each, last: last(&told), headless: long.schema.is_some(), ..style };
            let stream = match ranked {
                Some(ranked) => Stream::ranked(&ranked.rows, style.clone()),
                None => Stream::new(values, style.clone()),
            };
            let stream = stream.ok().filter(|_| fits);
            match stream {
                Some(stream) => {
                    bytes += size;
                    long.schema = long.schema.take().or(header);
                    items.push(Item::Answer(Box::new(stream)));
                }
                None => {
                    if header.is_some() {
                        // Another table than the stream's: its rows cannot stand here, the outcome can.
                        told["rows"] = json!("another schema than this stream's; ask for them with DoGet");
                    }
                    let pieces = answer::flight_data(&Bytes::new(), &last(&told), Vec::new(), style.encoding);
                    items.push(Item::Pieces(pieces.into()));
                }
            }
        }
        if !long.batch.answer(&tag.to_owned(), bytes) {
            long.batch.say(bytes);
        }
        items.into_iter().for_each(|item| self.push(now, item));
    }
}

/// A text of an answer as it goes into a result; of a table only how long it is.
pub fn short((shard, value): &(mallowgauge_router::ShardId, mallowgauge_core::Value)) -> Value {
    match value {
        mallowgauge_core::Value::Text(text) => json!({"range": shard.0, "blob": **text}),
        mallowgauge_core::Value::Table(table) => json!({"range": shard.0, "rows": table.rows}),
    }
}

/// What a client is told of an answer in metadata.
pub fn told(form: Form, tag: &str, id: &str, answer: &Result<std::rc::Rc<QueryResponse>, Status>) -> Value {
    let mut told = match answer {
        Ok(answer) => match &**answer {
            QueryResponse::Completed { complete: whole, .. } => {
                json!({"status": if *whole { "whole" } else { "partial" }, "total": whole})
            }
            QueryResponse::Ranked(ranked) => {
                let mut told = query::marks(ranked);
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

pub fn ms(micros: Micros) -> u64 {
    micros.div_ceil(1000)
}
