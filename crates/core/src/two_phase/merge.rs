//! Rows of the second phase: read, put in order, cut to the best.
//!
//! The order is stated and total: the higher score first, then the smaller id (as text), then the smaller
//! block. Two runs over the same rows give the same answer, in whatever order the rows came.

use std::cmp::Ordering;
use std::rc::Rc;

use mallowgauge_router::ShardId;
use serde_json::Value;

/// More rows than this from one block are not taken.
pub const MOST_ROWS: usize = 10_000;

/// A row of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What it is ranked by; a number, never an odd one.
    pub score: f64,
    /// What it is known by within its block.
    pub id: Rc<str>,
    /// The block it comes from.
    pub shard: ShardId,
    /// The row as its host wrote it.
    pub text: Rc<str>,
}

impl Row {
    /// How two rows stand in the answer.
    #[must_use]
    pub fn order(&self, other: &Self) -> Ordering {
        other
            .score
            .total_cmp(&self.score)
            .then_with(|| self.id.cmp(&other.id))
            .then_with(|| self.shard.cmp(&other.shard))
    }
}

/// Reads the rows of a block: a JSON list of objects with `score` and `id`.
///
/// # Errors
/// Says what is wrong with them.
pub fn rows(shard: ShardId, text: &str) -> Result<Vec<Row>, &'static str> {
    let list: Vec<Value> = serde_json::from_str(text).map_err(|_| "no list of rows")?;
    if list.len() > MOST_ROWS {
        return Err("more rows than are taken");
    }
    let row = |value: Value| {
        let score = value.get("score").and_then(Value::as_f64).filter(|score| score.is_finite());
        let score = score.ok_or("a row without a score")?;
        let id = value.get("id").and_then(Value::as_str).ok_or("a row without an id")?.into();
        Ok(Row { score, id, shard, text: value.to_string().into() })
    };
    list.into_iter().map(row).collect()
}

/// The best rows so far, at most `most`.
#[derive(Clone, Debug)]
pub struct Best {
    rows: Vec<Row>,
    most: usize,
}

impl Best {
    /// None yet.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { rows: Vec::new(), most }
    }

    /// Puts in a block's rows.
    pub fn add(&mut self, rows: Vec<Row>) {
        self.rows.extend(rows);
        self.rows.sort_by(Row::order);
        self.rows.truncate(self.most);
    }

    /// The score that a row has to reach to come in, once there are enough.
    #[must_use]
    pub fn bar(&self) -> Option<f64> {
        self.rows.get(self.most.checked_sub(1)?).map(|row| row.score)
    }

    /// The rows, best first.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }
}

/// What a scout says of its block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sketch {
    /// No row of the block has a higher score.
    pub bound: f64,
    /// How many rows it has; unknown where it does not say.
    pub count: Option<u64>,
}

/// Reads what a scout said: a JSON object with `bound`, perhaps `count`.
///
/// # Errors
/// Says what is wrong with it.
pub fn sketch(text: &str) -> Result<Sketch, &'static str> {
    // A scout is short; what is not is none.
    if text.len() > 1024 {
        return Err("more than a sketch");
    }
    let value: Value = serde_json::from_str(text).map_err(|_| "no sketch")?;
    let bound = value.get("bound").and_then(Value::as_f64).filter(|bound| bound.is_finite());
    let count = match value.get("count") {
        None | Some(Value::Null) => None,
        Some(count) => Some(count.as_u64().ok_or("a count that is no number")?),
    };
    Ok(Sketch { bound: bound.ok_or("a bound that is no number")?, count })
}
