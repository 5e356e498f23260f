//! Sketches: the summaries of blocks that scouts report.

use serde_json::Value;

use super::rows::Row;

/// Longest sketch, in bytes of text.
const MAX_SKETCH_BYTES: usize = 1024;

/// A scout's summary of its block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sketch {
    /// Upper bound of the scores of the block's rows; finite.
    pub bound: f64,
    /// Number of rows in the block, if reported.
    pub count: Option<u64>,
}

impl Sketch {
    /// Returns whether the block has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == Some(0)
    }

    /// Returns whether these rows of the block contradict the sketch: a score above the bound, or more rows
    /// than reported.
    #[must_use]
    pub fn is_contradicted_by(&self, rows: &[Row]) -> bool {
        let above_bound = rows.iter().any(|row| row.score > self.bound);
        above_bound || self.count.is_some_and(|count| rows.len() as u64 > count)
    }
}

/// Why the value of a scout is not a valid sketch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SketchError {
    /// The text is longer than a sketch may be.
    #[error("sketch is longer than {MAX_SKETCH_BYTES} bytes")]
    TooLong,
    /// The text is not JSON.
    #[error("sketch is not JSON")]
    NotJson,
    /// `bound` is missing or not a finite number.
    #[error("sketch has no finite `bound`")]
    InvalidBound,
    /// `count` is not a non-negative integer.
    #[error("`count` of the sketch is not a non-negative integer")]
    InvalidCount,
}

/// Parses the value of a scout: a JSON object with `bound` and optionally `count`.
///
/// # Errors
/// The text is not such an object.
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
