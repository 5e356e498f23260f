//! JSON bodies of queries and responses, shared by both frontends.

use std::borrow::Cow;
use std::rc::Rc;

use serde::Serialize;
use serde_json::{json, Value};

use mallowgauge_core as core;
use mallowgauge_core::two_phase::{BlockSelection, MissingSketchPolicy, PlanSpec, Ranked, Row};
use mallowgauge_core::{PartRequest, PlanRequest, QueryRequest};
use mallowgauge_flight::rows::{self, JsonError};
use mallowgauge_router::{ClassId, Micros, ShardId};

/// The fields of a query outside its body: HTTP headers, or fields of a Flight command.
#[derive(Clone, Debug)]
pub struct QueryMetadata {
    /// The client's id for the query.
    pub id: Rc<str>,
    /// The class of the query.
    pub class: ClassId,
    /// The time until the client's deadline, in microseconds.
    pub expires_in: Micros,
    /// Whether the client marked the query as a retry.
    pub retry: bool,
}

/// Why the body of a query is invalid. Clients see the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The body has no list of ranges.
    #[error("ranges is missing")]
    MissingRanges,
    /// A range has no shard number.
    #[error("a range has no number")]
    MissingRangeNumber,
    /// A range has no weight.
    #[error("a range has no portion")]
    MissingPortion,
    /// The body has no text for the backends.
    #[error("predicate is missing")]
    MissingPredicate,
    /// The plan is not a JSON object.
    #[error("the plan is no object")]
    PlanNotAnObject,
    /// The plan has an unknown key.
    #[error("a plan has choose, top, wave and silent")]
    UnknownPlanKey,
    /// The plan selects shards by an unknown rule.
    #[error("choose is none of best, share, threshold, all")]
    UnknownSelection,
    /// `top` or `wave` is not a non-negative integer.
    #[error("top and wave are whole numbers")]
    InvalidPlanNumber,
    /// The plan has an unknown policy for shards whose sketch is missing.
    #[error("silent is ask or skip")]
    UnknownMissingSketchPolicy,
}

/// Maximum length of a query's id, in bytes. Backends receive the id as part of one line.
const MAX_ID_BYTES: usize = 64;

/// Returns whether a text is a valid query id: printable ASCII without spaces, of limited length.
#[must_use]
pub fn is_valid_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Parses the body of a query.
///
/// # Errors
/// The body is invalid.
pub fn parse(metadata: QueryMetadata, body: &Value) -> Result<QueryRequest, QueryError> {
    let ranges = body.get("ranges").and_then(Value::as_array).ok_or(QueryError::MissingRanges)?;
    let mut hint = Some(0);
    let part = |value: &Value| {
        let shard = value
            .get("range")
            .and_then(mallowgauge_settings::parse_u32)
            .ok_or(QueryError::MissingRangeNumber)?;
        let weight = value.get("portion").and_then(Value::as_f64).ok_or(QueryError::MissingPortion)?;
        let price = value.get("price").and_then(Value::as_u64);
        hint = hint.zip(price).map(|(sum, price): (Micros, _)| sum.saturating_add(price));
        Ok(PartRequest { shard: ShardId(shard), weight })
    };
    let parts: Vec<PartRequest> = ranges.iter().map(part).collect::<Result<_, QueryError>>()?;
    let text = body.get("predicate").and_then(Value::as_str).ok_or(QueryError::MissingPredicate)?;
    let QueryMetadata { id, class, expires_in, retry } = metadata;
    let plan = match body.get("plan") {
        None | Some(Value::Null) => None,
        Some(plan) => Some(read_plan(plan, text)?),
    };
    Ok(QueryRequest {
        id,
        class,
        expires_in,
        retry,
        work_hint: hint,
        body: text.as_bytes().into(),
        parts,
        plan,
    })
}

/// Rows in the response if the plan sets no `top`.
const DEFAULT_ROW_LIMIT: u64 = 10;
/// Shards queried at a time if the plan sets no `wave`.
const DEFAULT_WAVE_SIZE: u64 = 4;
/// Prefix of a part's text that requests a sketch of the shard instead of rows.
pub const SCOUT_PREFIX: &str = "scout:";

/// Parses a plan: `{"choose": {"best": 3} | {"share": 0.5} | "threshold" | "all", "top": 10, "wave": 4,
/// "silent": "ask" | "skip"}`.
fn read_plan(plan: &Value, text: &str) -> Result<PlanRequest, QueryError> {
    let fields = plan.as_object().ok_or(QueryError::PlanNotAnObject)?;
    if fields.keys().any(|key| !["choose", "top", "wave", "silent"].contains(&key.as_str())) {
        return Err(QueryError::UnknownPlanKey);
    }
    let unknown_selection = QueryError::UnknownSelection;
    let selection = match fields.get("choose") {
        None => BlockSelection::Threshold,
        Some(Value::String(word)) if word == "threshold" => BlockSelection::Threshold,
        Some(Value::String(word)) if word == "all" => BlockSelection::All,
        Some(Value::Object(one)) => match (one.get("best"), one.get("share"), one.len()) {
            (Some(k), None, 1) => BlockSelection::Best(
                k.as_u64().and_then(|k| usize::try_from(k).ok()).ok_or(unknown_selection)?,
            ),
            (None, Some(share), 1) => BlockSelection::Share(share.as_f64().ok_or(unknown_selection)?),
            _ => return Err(unknown_selection),
        },
        Some(_) => return Err(unknown_selection),
    };
    let number = |key: &str, default: u64| {
        let value = fields.get(key).map_or(Some(default), Value::as_u64);
        value.and_then(|n| usize::try_from(n).ok()).ok_or(QueryError::InvalidPlanNumber)
    };
    let missing_sketches = match fields.get("silent").map(|word| word.as_str()) {
        None | Some(Some("ask")) => MissingSketchPolicy::Fetch,
        Some(Some("skip")) => MissingSketchPolicy::Skip,
        Some(_) => return Err(QueryError::UnknownMissingSketchPolicy),
    };
    let spec = PlanSpec {
        selection,
        row_limit: number("top", DEFAULT_ROW_LIMIT)?,
        wave_size: number("wave", DEFAULT_WAVE_SIZE)?,
        missing_sketches,
    };
    Ok(PlanRequest { spec, scout: format!("{SCOUT_PREFIX}{text}").into_bytes().into() })
}

/// Returns the response to a two-phase query without its rows: completeness and the outcome of each shard.
#[must_use]
pub fn ranked_summary(ranked: &Ranked) -> Value {
    let numbers = |shards: &[ShardId]| shards.iter().map(|shard| shard.0).collect::<Vec<_>>();
    let mut summary = json!({
        "total": ranked.complete, "exact": ranked.exact, "asked": numbers(&ranked.fetched),
        "pruned": numbers(&ranked.pruned), "skipped": numbers(&ranked.skipped),
        "failed": numbers(&ranked.failed),
    });
    if let Some(effect) = &ranked.effect {
        summary["held"] = json!({"range": effect.shard.0, "blob": *effect.value});
    }
    summary
}

/// Returns the response body of a two-phase query.
#[must_use]
pub fn write_ranked(ranked: &Ranked) -> Value {
    let mut body = ranked_summary(ranked);
    // Rows are forwarded as their backends wrote them, each with its shard.
    let row = |row: &Row| json!({"range": row.shard.0, "row": serde_json::from_str::<Value>(&row.text).ok()});
    body["rows"] = ranked.rows.iter().map(row).collect();
    body
}

/// The response body of a query. Clients see the fields in this order.
#[derive(Serialize)]
struct Answers<'a> {
    answers: Vec<Answer<'a>>,
    total: bool,
}

/// The value of a part.
#[derive(Serialize)]
struct Answer<'a> {
    blob: Cow<'a, str>,
    range: u32,
}

/// Bytes of an answer beside its text.
const ANSWER_OVERHEAD_BYTES: usize = 64;

/// Returns the response body of a query. A table from a backend becomes a JSON text: the list of its rows. The texts of
/// all tables have at most `max_text` bytes.
///
/// # Errors
/// A table cannot be converted to JSON, or the texts may be longer.
pub fn write_values(
    complete: bool,
    values: &[(ShardId, core::Value)],
    max_text: usize,
) -> Result<String, JsonError> {
    let mut remaining = max_text;
    let mut body_bytes = ANSWER_OVERHEAD_BYTES;
    let mut answers = Vec::with_capacity(values.len());
    for (shard, value) in values {
        let blob = match value {
            core::Value::Text(text) => Cow::Borrowed(&**text),
            core::Value::Table(table) => {
                let text = rows::to_json(&table.schema, &table.messages, remaining)?;
                remaining = remaining.saturating_sub(text.len());
                Cow::Owned(text)
            }
        };
        body_bytes += ANSWER_OVERHEAD_BYTES + blob.len();
        answers.push(Answer { blob, range: shard.0 });
    }
    let mut body = Vec::with_capacity(body_bytes);
    let written = serde_json::to_writer(&mut body, &Answers { answers, total: complete });
    written.map_err(|error| JsonError::Unreadable(error.to_string()))?;
    String::from_utf8(body).map_err(|error| JsonError::Unreadable(error.to_string()))
}
