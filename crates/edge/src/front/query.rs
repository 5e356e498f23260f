//! The body of a query and of an answer in JSON, which both frontends share.

use std::rc::Rc;

use serde_json::{json, Value};

use mallowgauge_core as core;
use mallowgauge_core::two_phase::{BlockSelection, MissingSketchPolicy, PlanSpec, Ranked, Row};
use mallowgauge_core::{PartRequest, PlanRequest, QueryRequest};
use mallowgauge_flight::rows;
use mallowgauge_router::{ClassId, Micros, ShardId};

/// What a query carries beside its body: in headers on one wire, in the command on the other.
#[derive(Clone, Debug)]
pub struct QueryMetadata {
    /// The client's id for the query.
    pub id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// How long the client waits, in microseconds.
    pub expires_in: Micros,
    /// Whether the client marked it as a retry.
    pub retry: bool,
}

/// What is wrong with the body of a query. Clients see the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// There is no list of ranges.
    #[error("ranges is missing")]
    NoRanges,
    /// A range without the number of a shard.
    #[error("a range has no number")]
    NoRangeNumber,
    /// A range without its weight.
    #[error("a range has no portion")]
    NoPortion,
    /// There is no text for the backends.
    #[error("predicate is missing")]
    NoPredicate,
    /// The plan is no JSON object.
    #[error("the plan is no object")]
    PlanNotObject,
    /// The plan has a key that none has.
    #[error("a plan has choose, top, wave and silent")]
    UnknownPlanKey,
    /// The plan chooses shards by no known rule.
    #[error("choose is none of best, share, threshold, all")]
    UnknownChoice,
    /// A number of the plan is none.
    #[error("top and wave are whole numbers")]
    NotWholeNumber,
    /// The plan says nothing known of shards that do not answer.
    #[error("silent is ask or skip")]
    UnknownSilentRule,
}

/// Longest id of a query, in bytes: it goes to backends within a line.
const LONGEST_ID: usize = 64;

/// Whether a text can be a query's id: printable ASCII without blanks.
#[must_use]
pub fn is_valid_id(text: &str) -> bool {
    (1..=LONGEST_ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Reads the body of a query.
///
/// # Errors
/// What is wrong with it.
pub fn parse(metadata: QueryMetadata, body: &Value) -> Result<QueryRequest, QueryError> {
    let ranges = body.get("ranges").and_then(Value::as_array).ok_or(QueryError::NoRanges)?;
    let mut hint = Some(0);
    let part = |value: &Value| {
        let shard =
            value.get("range").and_then(mallowgauge_settings::parse_u32).ok_or(QueryError::NoRangeNumber)?;
        let weight = value.get("portion").and_then(Value::as_f64).ok_or(QueryError::NoPortion)?;
        let price = value.get("price").and_then(Value::as_u64);
        hint = hint.zip(price).map(|(sum, price): (Micros, _)| sum.saturating_add(price));
        Ok(PartRequest { shard: ShardId(shard), weight })
    };
    let parts: Vec<PartRequest> = ranges.iter().map(part).collect::<Result<_, QueryError>>()?;
    let text = body.get("predicate").and_then(Value::as_str).ok_or(QueryError::NoPredicate)?;
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

/// Rows of the answer where a plan does not say how many.
const DEFAULT_TOP: u64 = 10;
/// Shards of a wave where a plan does not say how many.
const DEFAULT_WAVE: u64 = 4;
/// What the text of a part begins with that asks for a sketch of the shard.
pub const SCOUT: &str = "scout:";

/// Reads a plan: `{"choose": {"best": 3} | {"share": 0.5} | "threshold" | "all", "top": 10, "wave": 4,
/// "silent": "ask" | "skip"}`.
fn read_plan(plan: &Value, text: &str) -> Result<PlanRequest, QueryError> {
    let fields = plan.as_object().ok_or(QueryError::PlanNotObject)?;
    if fields.keys().any(|key| !["choose", "top", "wave", "silent"].contains(&key.as_str())) {
        return Err(QueryError::UnknownPlanKey);
    }
    let odd = QueryError::UnknownChoice;
    let selection = match fields.get("choose") {
        None => BlockSelection::Threshold,
        Some(Value::String(word)) if word == "threshold" => BlockSelection::Threshold,
        Some(Value::String(word)) if word == "all" => BlockSelection::All,
        Some(Value::Object(one)) => match (one.get("best"), one.get("share"), one.len()) {
            (Some(k), None, 1) => {
                BlockSelection::Best(k.as_u64().and_then(|k| usize::try_from(k).ok()).ok_or(odd)?)
            }
            (None, Some(share), 1) => BlockSelection::Share(share.as_f64().ok_or(odd)?),
            _ => return Err(odd),
        },
        Some(_) => return Err(odd),
    };
    let number = |key: &str, usual: u64| {
        let value = fields.get(key).map_or(Some(usual), Value::as_u64);
        value.and_then(|n| usize::try_from(n).ok()).ok_or(QueryError::NotWholeNumber)
    };
    let missing_sketches = match fields.get("silent").map(|word| word.as_str()) {
        None | Some(Some("ask")) => MissingSketchPolicy::Fetch,
        Some(Some("skip")) => MissingSketchPolicy::Skip,
        Some(_) => return Err(QueryError::UnknownSilentRule),
    };
    let spec = PlanSpec {
        selection,
        row_limit: number("top", DEFAULT_TOP)?,
        wave_size: number("wave", DEFAULT_WAVE)?,
        missing_sketches,
    };
    Ok(PlanRequest { spec, scout: format!("{SCOUT}{text}").into_bytes().into() })
}

/// What the answer of a query in two phases says of itself, beside its rows.
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

/// The body of the answer of a query in two phases.
#[must_use]
pub fn write_ranked(ranked: &Ranked) -> Value {
    let mut body = ranked_summary(ranked);
    // Rows go on as their backends wrote them, with the shard that each is from.
    let row = |row: &Row| json!({"range": row.shard.0, "row": serde_json::from_str::<Value>(&row.text).ok()});
    body["rows"] = ranked.rows.iter().map(row).collect();
    body
}

/// The body of an answer. Tables, which some backends answer with, become texts of JSON: a list of their rows.
///
/// # Errors
/// A table cannot be written so.
pub fn write_values(complete: bool, values: &[(ShardId, core::Value)]) -> Result<Value, String> {
    let text = |(shard, value): &(ShardId, core::Value)| {
        let blob = match value {
            core::Value::Text(text) => Value::from(&**text),
            core::Value::Table(table) => Value::from(rows::to_json(&table.schema, &table.messages)?),
        };
        Ok(json!({"range": shard.0, "blob": blob}))
    };
    let answers: Vec<Value> = values.iter().map(text).collect::<Result<_, String>>()?;
    Ok(json!({"total": complete, "answers": answers}))
}
