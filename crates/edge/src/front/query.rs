//! The body of a query and of an answer, which both fronts write alike.

use std::rc::Rc;

use serde_json::{json, Value};

use mallowgauge_core as core;
use mallowgauge_core::{Ask, AskPart};
use mallowgauge_flight::rows;
use mallowgauge_router::{ClassId, Micros, ShardId};

/// What stands beside the body: in headers on one wire, in the command on the other.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The client's id for the query.
    pub id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// How long the client waits.
    pub expires_in: Micros,
    /// Whether the client marked it as a further try.
    pub retry: bool,
}

/// Longest id of a query: it goes to hosts on a line of its own.
const LONGEST_ID: usize = 64;

/// Whether a text can be a query's id.
#[must_use]
pub fn is_id(text: &str) -> bool {
    (1..=LONGEST_ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Reads the body of a query.
///
/// # Errors
/// Says what is wrong with it.
pub fn read(frame: Frame, body: &Value) -> Result<Ask, &'static str> {
    let ranges = body.get("ranges").and_then(Value::as_array).ok_or("ranges is missing")?;
    let mut hint = Some(0);
    let part = |value: &Value| {
        let shard =
            value.get("range").and_then(mallowgauge_settings::small).ok_or("a range has no number")?;
        let weight = value.get("portion").and_then(Value::as_f64).ok_or("a range has no portion")?;
        let price = value.get("price").and_then(Value::as_u64);
        hint = hint.zip(price).map(|(sum, price): (Micros, _)| sum.saturating_add(price));
        Ok(AskPart { shard: ShardId(shard), weight })
    };
    let parts: Vec<AskPart> = ranges.iter().map(part).collect::<Result<_, &'static str>>()?;
    let text = body.get("predicate").and_then(Value::as_str).ok_or("predicate is missing")?;
    let Frame { id, class, expires_in, retry } = frame;
    Ok(Ask { id, class, expires_in, retry, work_hint: hint, text: text.as_bytes().into(), parts })
}

/// Writes the body of an answer. Tables, which some hosts answer with, become texts of JSON: a list of their
/// rows.
///
/// # Errors
/// A table cannot be written so.
pub fn answer(whole: bool, values: &[(ShardId, core::Value)]) -> Result<Value, String> {
    let text = |(shard, value): &(ShardId, core::Value)| {
        let blob = match value {
            core::Value::Text(text) => Value::from(&**text),
            core::Value::Table(table) => Value::from(rows::json(&table.schema, &table.messages)?),
        };
        Ok(json!({"range": shard.0, "blob": blob}))
    };
    let answers: Vec<Value> = values.iter().map(text).collect::<Result<_, String>>()?;
    Ok(json!({"total": whole, "answers": answers}))
}
