//! Decodes tables into rows: part results from backends, and tables converted to JSON.
//!
//! A backend can respond to a part with a part result table of one row, with the columns `range` (uint32),
//! `end` (utf8: `good`, `bad` or `later`) and `blob` (utf8). A table with any other schema is itself the
//! part's value.

use std::rc::Rc;
use std::sync::Arc;

use arrow_array::cast::AsArray;
use arrow_array::types::UInt32Type;
use arrow_array::{RecordBatch, StringArray};
use arrow_buffer::Buffer;
use arrow_ipc::reader::StreamDecoder;
use arrow_json::writer::{JsonArray, JsonFormat, LineDelimited};
use arrow_schema::{ArrowError, DataType, Schema};
use bytes::Bytes;
use mallowgauge_core::Message;
use mallowgauge_router::{Outcome, ShardId};

use crate::json_size::{check_json_size, MeasureError};

/// The result of one part, as a backend reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartResult {
    /// The part's shard.
    pub shard: ShardId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The value; empty if there is none.
    pub value: Rc<str>,
}

/// Returns whether a schema is that of a part result table.
#[must_use]
pub fn is_part_result_table(schema: &Schema) -> bool {
    let columns = schema.fields().iter().map(|field| (field.name().as_str(), field.data_type()));
    columns.eq([("range", &DataType::UInt32), ("end", &DataType::Utf8), ("blob", &DataType::Utf8)])
}

/// Decodes the IPC messages of a table into its schema and record batches.
///
/// # Errors
/// Returns Arrow's error if a message is invalid.
pub fn decode_batches(
    schema: &Bytes,
    messages: &[Message],
) -> Result<(Arc<Schema>, Vec<RecordBatch>), String> {
    let mut decoder = StreamDecoder::new();
    let mut batches = Vec::new();
    let schema_message = Message { header: schema.clone(), body: Bytes::new() };
    for message in std::iter::once(&schema_message).chain(messages) {
        // The decoder reads the IPC stream format: a continuation marker, the length of the header, the
        // header and the body. The pieces are passed without a copy; the decoder copies only a misaligned
        // body.
        let length = u32::try_from(message.header.len()).map_err(|error| error.to_string())?;
        let mut prefix = u32::MAX.to_le_bytes().to_vec();
        prefix.extend_from_slice(&length.to_le_bytes());
        for piece in [Bytes::from(prefix), message.header.clone(), message.body.clone()] {
            let mut rest = Buffer::from(piece);
            while !rest.is_empty() {
                let before = rest.len();
                // The decoder validates its input. If it misses a check and panics, only this connection
                // fails instead of the process.
                let decode = std::panic::AssertUnwindSafe(|| decoder.decode(&mut rest));
                let batch = std::panic::catch_unwind(decode).map_err(|_| "a table that cannot be read")?;
                match batch.map_err(|error| error.to_string())? {
                    Some(batch) => batches.push(batch),
                    None if rest.len() == before => return Err("more bytes than the message says".to_owned()),
                    None => {}
                }
            }
        }
    }
    let schema = decoder.schema().ok_or("no schema")?;
    Ok((schema, batches))
}

/// Decodes a part result table.
///
/// # Errors
/// The table cannot be decoded, or is not a part result table.
pub fn read_part_results(schema: &Bytes, messages: &[Message]) -> Result<Vec<PartResult>, String> {
    let (_, batches) = decode_batches(schema, messages)?;
    let results: Vec<Vec<PartResult>> = batches.iter().map(batch_results).collect::<Result<_, _>>()?;
    Ok(results.concat())
}

/// Reads the part results of one record batch.
fn batch_results(batch: &RecordBatch) -> Result<Vec<PartResult>, String> {
    let column = |name: &str| batch.column_by_name(name).ok_or_else(|| format!("no column {name}"));
    let shards = column("range")?.as_primitive_opt::<UInt32Type>().ok_or("range is not uint32")?;
    let ends = column("end")?.as_string_opt::<i32>().ok_or("end is not utf8")?;
    let blobs = column("blob")?.as_string_opt::<i32>().ok_or("blob is not utf8")?;
    if has_bytes_outside_its_values(blobs) {
        return Err("blob has more bytes than its lengths say".to_owned());
    }
    let part_result = |((shard, end), blob): ((Option<u32>, Option<&str>), Option<&str>)| {
        let outcome = match end {
            Some("good") => Outcome::Succeeded,
            Some("bad") => Outcome::BackendError,
            Some("later") => Outcome::Rejected,
            _ => return Err("end is none of good, bad, later".to_owned()),
        };
        let shard = ShardId(shard.ok_or("range is null")?);
        Ok(PartResult { shard, outcome, value: blob.unwrap_or_default().into() })
    };
    shards.iter().zip(ends).zip(blobs).map(part_result).collect()
}

/// Returns whether a column's buffer holds other bytes than its values and padding, which is zero: then a length is
/// wrong, and a value is cut.
fn has_bytes_outside_its_values(column: &StringArray) -> bool {
    let offsets = column.value_offsets();
    let (start, end) = (offsets.first().copied().unwrap_or(0), offsets.last().copied().unwrap_or(0));
    let (start, end) = (usize::try_from(start).unwrap_or(0), usize::try_from(end).unwrap_or(0));
    let bytes = column.values().as_slice();
    let before = bytes.get(..start).unwrap_or_default();
    let behind = bytes.get(end..).unwrap_or_default();
    before.iter().chain(behind).any(|&byte| byte != 0)
}

/// Why a table cannot be converted to JSON.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// The table cannot be decoded, with the reason.
    #[error("{0}")]
    Unreadable(String),
    /// The text may exceed its limit, or a column cannot be formatted.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// The table has a type that cannot be converted.
    #[error(transparent)]
    Unsupported(#[from] ArrowError),
}

/// Converts a table to a JSON array with one object per row, the form in which HTTP/1.1 clients receive
/// tables. A table whose text may have more than `limit` bytes is not converted.
///
/// # Errors
/// The table cannot be decoded, has a type that cannot be converted, or its text may be too long.
pub fn to_json(schema: &Bytes, messages: &[Message], limit: usize) -> Result<String, JsonError> {
    let text = write_json::<JsonArray>(schema, messages, limit)?;
    let text = String::from_utf8(text).map_err(|error| JsonError::Unreadable(error.to_string()))?;
    Ok(if text.is_empty() { "[]".to_owned() } else { text })
}

/// Converts a table to JSON objects, one for each row. The objects share one buffer. A table whose text may have more
/// than `limit` bytes is not converted.
///
/// # Errors
/// As [`to_json`].
pub fn to_json_rows(schema: &Bytes, messages: &[Message], limit: usize) -> Result<Vec<Bytes>, JsonError> {
    let text = Bytes::from(write_json::<LineDelimited>(schema, messages, limit)?);
    // Line breaks in texts are escaped.
    let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    Ok(lines.map(|line| text.slice_ref(line)).collect())
}

fn write_json<F: JsonFormat>(
    schema: &Bytes,
    messages: &[Message],
    limit: usize,
) -> Result<Vec<u8>, JsonError> {
    let (_, batches) = decode_batches(schema, messages).map_err(JsonError::Unreadable)?;
    check_json_size(&batches, limit)?;
    let mut writer = arrow_json::Writer::<_, F>::new(Vec::new());
    let batches: Vec<&RecordBatch> = batches.iter().collect();
    writer.write_batches(&batches)?;
    writer.finish()?;
    Ok(writer.into_inner())
}
