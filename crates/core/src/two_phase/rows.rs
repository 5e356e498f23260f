//! Rows of the second phase: parsing, ordering and truncation to the best.
//!
//! The order is total: descending score, then ascending id (as a string), then ascending shard. The same rows
//! give the same response in whatever order they arrive.

use std::cmp::Ordering;
use std::rc::Rc;

use mallowgauge_router::ShardId;
use serde_json::Value;

/// Maximum number of rows of one block.
pub const MAX_ROWS_PER_BLOCK: usize = 10_000;

/// A row of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The score by which the row is ranked; finite.
    pub score: f64,
    /// The id of the row within its block.
    pub id: Rc<str>,
    /// The shard of the row's block.
    pub shard: ShardId,
    /// The row's JSON text.
    pub text: Rc<str>,
}

impl Row {
    /// Compares two rows by their order in a response.
    #[must_use]
    pub fn order(&self, other: &Self) -> Ordering {
        let by_score = other.score.total_cmp(&self.score);
        by_score.then_with(|| self.id.cmp(&other.id)).then_with(|| self.shard.cmp(&other.shard))
    }
}

/// Why the value of a block is not a valid list of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowsError {
    /// The value is not a JSON list.
    #[error("value is not a JSON list")]
    NotAList,
    /// The list has more than [`MAX_ROWS_PER_BLOCK`] rows.
    #[error("list has more than {MAX_ROWS_PER_BLOCK} rows")]
    TooManyRows,
    /// A row has no finite number as its `score`.
    #[error("row has no finite number as its `score`")]
    MissingScore,
    /// A row has no string as its `id`.
    #[error("row has no string as its `id`")]
    MissingId,
}

/// Parses the rows of a block: a JSON list of objects with `score` and `id`.
///
/// # Errors
/// The text is not such a list.
pub fn parse_rows(shard: ShardId, text: &str) -> Result<Vec<Row>, RowsError> {
    let list: Vec<Value> = serde_json::from_str(text).map_err(|_| RowsError::NotAList)?;
    if list.len() > MAX_ROWS_PER_BLOCK {
        return Err(RowsError::TooManyRows);
    }
    list.into_iter().map(|value| parse_row(shard, &value)).collect()
}

fn parse_row(shard: ShardId, value: &Value) -> Result<Row, RowsError> {
    let score = value.get("score").and_then(Value::as_f64).filter(|score| score.is_finite());
    let score = score.ok_or(RowsError::MissingScore)?;
    let id = value.get("id").and_then(Value::as_str).ok_or(RowsError::MissingId)?;
    Ok(Row { score, id: id.into(), shard, text: value.to_string().into() })
}

/// The best rows so far.
#[derive(Clone, Debug)]
pub struct TopRows {
    rows: Vec<Row>,
    limit: usize,
}

impl TopRows {
    /// Creates an empty list for at most `limit` rows.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { rows: Vec::new(), limit }
    }

    /// Adds a block's rows.
    pub fn add(&mut self, rows: Vec<Row>) {
        self.rows.extend(rows);
        self.rows.sort_by(Row::order);
        self.rows.truncate(self.limit);
    }

    /// Returns the score that a row has to reach to be among the best; `None` until there are `limit` rows.
    #[must_use]
    pub fn threshold(&self) -> Option<f64> {
        self.rows.get(self.limit.checked_sub(1)?).map(|row| row.score)
    }

    /// Returns the rows, best first.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }
}
