//! The simple form in which a host answers one part: a table of one row with the columns `range` (uint32),
//! `end` (utf8: `good`, `bad`, `later`) and `blob` (utf8). Any other table stands for itself.

use std::rc::Rc;
use std::sync::Arc;

use arrow_array::cast::AsArray;
use arrow_array::types::UInt32Type;
use arrow_array::RecordBatch;
use arrow_buffer::Buffer;
use arrow_ipc::reader::StreamDecoder;
use arrow_schema::{DataType, Schema};
use bytes::Bytes;
use mallowgauge_core::Message;
use mallowgauge_router::{Outcome, ShardId};

/// How a host says that one part went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartResult {
    /// The part's shard.
    pub shard: ShardId,
    /// How it went.
    pub outcome: Outcome,
    /// Its value, if it was served.
    pub value: Rc<str>,
}

/// Whether a table with this schema is of the simple form.
#[must_use]
pub fn is_part_result_table(schema: &Schema) -> bool {
    let columns = schema.fields().iter().map(|field| (field.name().as_str(), field.data_type()));
    columns.eq([("range", &DataType::UInt32), ("end", &DataType::Utf8), ("blob", &DataType::Utf8)])
}

/// Decodes a table's messages into record batches.
///
/// # Errors
/// As Arrow says.
pub fn decode_batches(
    schema: &Bytes,
    messages: &[Message],
) -> Result<(Arc<Schema>, Vec<RecordBatch>), String> {
    let mut decoder = StreamDecoder::new();
    let mut batches = Vec::new();
    let head = Message { header: schema.clone(), body: Bytes::new() };
    for message in std::iter::once(&head).chain(messages) {
        // The decoder reads the stream format: a mark, the header's length, the header, the body. The pieces
        // go in as they are; only a body that lies at an odd address is moved by the decoder.
        let length = u32::try_from(message.header.len()).map_err(|e| e.to_string())?;
        let mut prefix = u32::MAX.to_le_bytes().to_vec();
        prefix.extend_from_slice(&length.to_le_bytes());
        for piece in [Bytes::from(prefix), message.header.clone(), message.body.clone()] {
            let mut rest = Buffer::from(piece);
            while !rest.is_empty() {
                let before = rest.len();
                // The decoder checks what it reads; should a check be missing there, the connection pays for
                // it, not the process.
                let decode = std::panic::AssertUnwindSafe(|| decoder.decode(&mut rest));
                let batch = std::panic::catch_unwind(decode).map_err(|_| "a table that cannot be read")?;
                match batch.map_err(|e| e.to_string())? {
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

/// Reads a table of the simple form.
///
/// # Errors
/// It is no such table.
pub fn read_part_results(schema: &Bytes, messages: &[Message]) -> Result<Vec<PartResult>, String> {
    let (_, batches) = decode_batches(schema, messages)?;
    let rows: Vec<Vec<PartResult>> = batches.iter().map(rows).collect::<Result<_, _>>()?;
    Ok(rows.concat())
}

fn rows(batch: &RecordBatch) -> Result<Vec<PartResult>, String> {
    let column = |name: &str| batch.column_by_name(name).ok_or_else(|| format!("no column {name}"));
    let ranges = column("range")?.as_primitive_opt::<UInt32Type>().ok_or("range is not uint32")?;
    let ends = column("end")?.as_string_opt::<i32>().ok_or("end is not utf8")?;
    let blobs = column("blob")?.as_string_opt::<i32>().ok_or("blob is not utf8")?;
    let row = |((range, end), blob): ((Option<u32>, Option<&str>), Option<&str>)| {
        let outcome = match end {
            Some("good") => Outcome::Succeeded,
            Some("bad") => Outcome::BackendError,
            Some("later") => Outcome::Rejected,
            _ => return Err("end is none of good, bad, later".to_owned()),
        };
        let shard = ShardId(range.ok_or("range is null")?);
        Ok(PartResult { shard, outcome, value: blob.unwrap_or_default().into() })
    };
    ranges.iter().zip(ends).zip(blobs).map(row).collect()
}

/// A table's rows as JSON, for clients on a wire of text: a list of objects.
///
/// # Errors
/// It cannot be written so.
pub fn to_json(schema: &Bytes, messages: &[Message]) -> Result<String, String> {
    let (_, batches) = decode_batches(schema, messages)?;
    let mut writer = arrow_json::ArrayWriter::new(Vec::new());
    let all: Vec<&RecordBatch> = batches.iter().collect();
    writer.write_batches(&all).map_err(|e| e.to_string())?;
    writer.finish().map_err(|e| e.to_string())?;
    let text = String::from_utf8(writer.into_inner()).map_err(|e| e.to_string())?;
    Ok(if text.is_empty() { "[]".to_owned() } else { text })
}
