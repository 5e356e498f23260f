//! The body of a query and of an answer, which both fronts write alike.

use std::rc::Rc;

use serde_json::{json, Value};

use mallowgauge_core as core;
use mallowgauge_core::two_phase::{Choose, Ranked, Row, Silent, Spec};
use mallowgauge_core::{PartRequest, PlanRequest, QueryRequest};
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
pub fn read(frame: Frame, body: &Value) -> Result<QueryRequest, &'static str> {
    let ranges = body.get("ranges").and_then(Value::as_array).ok_or("ranges is missing")?;
    let mut hint = Some(0);
    let part = |value: &Value| {
        let shard =
            value.get("range").and_then(mallowgauge_settings::small).ok_or("a range has no number")?;
        let weight = value.get("portion").and_then(Value::as_f64).ok_or("a range has no portion")?;
        let price = value.get("price").and_then(Value::as_u64);
        hint = hint.zip(price).map(|(sum, price): (Micros, _)| sum.saturating_add(price));
        Ok(PartRequest { shard: ShardId(shard), weight })
    };
    let parts: Vec<PartRequest> = ranges.iter().map(part).collect::<Result<_, &'static str>>()?;
    let text = body.get("predicate").and_then(Value::as_str).ok_or("predicate is missing")?;
    let Frame { id, class, expires_in, retry } = frame;
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

/// Rows that are given where a plan does not say how many, and blocks of a wave.
const TOP: u64 = 10;
const WAVE: u64 = 4;
/// What a part's text begins with that asks a scout.
pub const SCOUT: &str = "scout:";

/// Reads a plan: `{"choose": {"best": 3} | {"share": 0.5} | "threshold" | "all", "top": 10, "wave": 4,
/// "silent": "ask" | "skip"}`.
fn read_plan(plan: &Value, text: &str) -> Result<PlanRequest, &'static str> {
    let fields = plan.as_object().ok_or("the plan is no object")?;
    if fields.keys().any(|key| !["choose", "top", "wave", "silent"].contains(&key.as_str())) {
        return Err("a plan has choose, top, wave and silent");
    }
    let odd = "choose is none of best, share, threshold, all";
    let choose = match fields.get("choose") {
        None => Choose::Threshold,
        Some(Value::String(word)) if word == "threshold" => Choose::Threshold,
        Some(Value::String(word)) if word == "all" => Choose::All,
        Some(Value::Object(one)) => match (one.get("best"), one.get("share"), one.len()) {
            (Some(k), None, 1) => Choose::Best(k.as_u64().and_then(|k| usize::try_from(k).ok()).ok_or(odd)?),
            (None, Some(share), 1) => Choose::Share(share.as_f64().ok_or(odd)?),
            _ => return Err(odd),
        },
        Some(_) => return Err(odd),
    };
    let number = |key: &str, usual: u64| {
        let value = fields.get(key).map_or(Some(usual), Value::as_u64);
        value.and_then(|n| usize::try_from(n).ok()).ok_or("top and wave are whole numbers")
    };
    let silent = match fields.get("silent").map(|word| word.as_str()) {
        None | Some(Some("ask")) => Silent::Ask,
        Some(Some("skip")) => Silent::Skip,
        Some(_) => return Err("silent is ask or skip"),
    };
    let spec = Spec { choose, top: number("top", TOP)?, wave: number("wave", WAVE)?, silent };
    Ok(PlanRequest { spec, scout: format!("{SCOUT}{text}").into_bytes().into() })
}

/// What an answer in two phases says of itself, beside its rows.
#[must_use]
pub fn marks(ranked: &Ranked) -> Value {
    let numbers = |shards: &[ShardId]| shards.iter().map(|shard| shard.0).collect::<Vec<_>>();
    let mut marks = json!({
        "total": ranked.whole, "exact": ranked.exact, "asked": numbers(&ranked.asked),
        "pruned": numbers(&ranked.pruned), "skipped": numbers(&ranked.skipped),
        "failed": numbers(&ranked.failed),
    });
    if let Some(effect) = &ranked.effect {
        marks["held"] = json!({"range": effect.shard.0, "blob": *effect.value});
    }
    marks
}

/// Writes the body of an answer in two phases.
#[must_use]
pub fn ranked(ranked: &Ranked) -> Value {
    let mut body = marks(ranked);
    // Rows go on as their hosts wrote them, with the block that each is from.
    let row = |row: &Row| json!({"range": row.shard.0, "row": serde_json::from_str::<Value>(&row.text).ok()});
    body["rows"] = ranked.rows.iter().map(row).collect();
    body
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
