//! Sketches: what a scout reports of its block.

use serde_json::Value;

use super::rows::Row;

/// Longest sketch, in bytes of text.
const MAX_SKETCH_BYTES: usize = 1024;

/// What a scout reports of its block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sketch {
    /// No row of the block has a higher score; finite.
    pub bound: f64,
    /// How many rows the block has, if the scout says.
    pub count: Option<u64>,
}

impl Sketch {
    /// Whether the block has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == Some(0)
    }

    /// Whether these rows cannot be all of the block's, if the sketch is right.
    #[must_use]
    pub fn is_contradicted_by(&self, rows: &[Row]) -> bool {
        let above_bound = rows.iter().any(|row| row.score > self.bound);
        above_bound || self.count.is_some_and(|count| rows.len() as u64 > count)
    }
}

/// Why the value of a scout is no sketch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SketchError {
    /// The text is longer than any sketch.
    #[error("more than a sketch")]
    TooLong,
    /// The text is not JSON.
    #[error("no sketch")]
    NotJson,
    /// `bound` is missing or no finite number.
    #[error("a bound that is no number")]
    InvalidBound,
    /// `count` is no whole number from 0.
    #[error("a count that is no number")]
    InvalidCount,
}

/// Parses what a scout reported: a JSON object with `bound` and perhaps `count`.
///
/// # Errors
/// The text is no such object.
pub fn parse_sketch(text: &str) -> Result<Sketch, SketchError> {
    if text.len() > MAX_SKETCH_BYTES {
        return Err(SketchError::TooLong);
    }
    let value: Value = serde_json::from_str(text).map_err(|_| SketchError::NotJson)?;
    let count = match value.get("count") {
        None | Some(Value::Null) => None,
        Some(count) => Some(count.as_u64().ok_or(SketchError::InvalidCount)?),
    };
    let bound = value.get("bound").and_then(Value::as_f64).filter(|bound| bound.is_finite());
    Ok(Sketch { bound: bound.ok_or(SketchError::InvalidBound)?, count })
}
