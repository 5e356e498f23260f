//! Answers as Arrow tables: `range` and `blob` for clients; hosts add `end`, which says how a part went.

use std::rc::Rc;
use std::sync::Arc;

use arrow_array::cast::AsArray;
use arrow_array::types::UInt32Type;
use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt32Array};
use arrow_buffer::Buffer;
use arrow_ipc::reader::StreamDecoder;
use arrow_ipc::writer::{
    write_message, DictionaryTracker, EncodedData, IpcDataGenerator, IpcWriteContext, IpcWriteOptions,
};
use arrow_schema::{ArrowError, DataType, Field, Schema};
use bytes::Bytes;

use crate::grpc::{self, FlightData};
use mallowgauge_router::{Outcome, ShardId};

/// Bytes of values after which a new record batch is begun.
const BATCH: usize = 256 * 1024;

fn schema() -> Schema {
    let column = |name: &str, kind| Field::new(name, kind, false);
    Schema::new(vec![column("range", DataType::UInt32), column("blob", DataType::Utf8)])
}

fn encoded_schema() -> EncodedData {
    let options = IpcWriteOptions::default();
    let mut tracker = DictionaryTracker::new(true);
    IpcDataGenerator::default().schema_to_bytes_with_dictionary_tracker(&schema(), &mut tracker, &options)
}

/// The schema as `FlightInfo` carries it.
///
/// # Errors
/// As Arrow says.
pub fn schema_message() -> Result<Bytes, ArrowError> {
    let mut out = Vec::new();
    write_message(&mut out, encoded_schema(), &IpcWriteOptions::default())?;
    Ok(out.into())
}

fn data(encoded: EncodedData, app_metadata: Bytes) -> Vec<u8> {
    let data_header = encoded.ipc_message.into();
    grpc::frame(&FlightData { data_header, app_metadata, data_body: encoded.arrow_data.into() })
}

/// The messages of an answer, in gRPC's frames: the schema, then the batches. Only the last of them says
/// whether the answer is whole, so that a stream cut short cannot look it.
///
/// # Errors
/// As Arrow says.
pub fn answer(whole: bool, values: &[(ShardId, Rc<str>)]) -> Result<Vec<u8>, ArrowError> {
    let mut out = data(encoded_schema(), Bytes::new());
    let mut batches = Vec::new();
    let mut bytes = BATCH;
    for row in values {
        if bytes >= BATCH {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += row.1.len();
        batches.last_mut().into_iter().for_each(|batch: &mut Vec<_>| batch.push(row));
    }
    let count = batches.len();
    for (i, rows) in batches.into_iter().enumerate() {
        let ranges = UInt32Array::from_iter_values(rows.iter().map(|(shard, _)| shard.0));
        let blobs = StringArray::from_iter_values(rows.iter().map(|(_, value)| &**value));
        let columns: Vec<ArrayRef> = vec![Arc::new(ranges), Arc::new(blobs)];
        let batch = RecordBatch::try_new(Arc::new(schema()), columns)?;
        let last = serde_json::json!({ "total": whole }).to_string();
        let words = if i + 1 == count { Bytes::from(last) } else { Bytes::new() };
        let (_, encoded) = IpcDataGenerator::default().encode(
            &batch,
            &mut DictionaryTracker::new(true),
            &IpcWriteOptions::default(),
            &mut IpcWriteContext::default(),
        )?;
        out.extend(data(encoded, words));
    }
    Ok(out)
}

/// How a host says that one part went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The part's shard.
    pub shard: ShardId,
    /// How it went.
    pub outcome: Outcome,
    /// Its value, if it was served.
    pub value: Rc<str>,
}

/// Reads the tables that hosts answer with: `range` (uint32), `end` (utf8), `blob` (utf8).
#[derive(Default)]
pub struct Reader {
    decoder: StreamDecoder,
}

impl Reader {
    /// Takes one message; the rows that it holds, none for a schema.
    ///
    /// # Errors
    /// It is no such table.
    pub fn take(&mut self, message: &FlightData) -> Result<Vec<Row>, String> {
        if message.data_header.is_empty() {
            return Ok(Vec::new());
        }
        // The decoder reads the stream format: a mark, the header's length, the header, the body.
        let length = u32::try_from(message.data_header.len()).map_err(|e| e.to_string())?;
        let mut stream = u32::MAX.to_le_bytes().to_vec();
        stream.extend_from_slice(&length.to_le_bytes());
        stream.extend_from_slice(&message.data_header);
        stream.extend_from_slice(&message.data_body);
        let mut rest = Buffer::from(stream);
        // The decoder checks what it reads; should a check be missing there, the connection pays for it,
        // not the process.
        let decode = std::panic::AssertUnwindSafe(|| self.decoder.decode(&mut rest));
        let batch = std::panic::catch_unwind(decode).map_err(|_| "a table that cannot be read")?;
        let batch = batch.map_err(|e| e.to_string())?;
        if !rest.is_empty() {
            return Err("more bytes than the message says".to_owned());
        }
        batch.map_or(Ok(Vec::new()), |batch| rows(&batch))
    }
}

fn rows(batch: &RecordBatch) -> Result<Vec<Row>, String> {
    let column = |name: &str| batch.column_by_name(name).ok_or_else(|| format!("no column {name}"));
    let ranges = column("range")?.as_primitive_opt::<UInt32Type>().ok_or("range is not uint32")?;
    let ends = column("end")?.as_string_opt::<i32>().ok_or("end is not utf8")?;
    let blobs = column("blob")?.as_string_opt::<i32>().ok_or("blob is not utf8")?;
    let row = |((range, end), blob): ((Option<u32>, Option<&str>), Option<&str>)| {
        let outcome = match end {
            Some("good") => Outcome::Served,
            Some("bad") => Outcome::Fault,
            Some("later") => Outcome::NoRoom,
            _ => return Err("end is none of good, bad, later".to_owned()),
        };
        let shard = ShardId(range.ok_or("range is null")?);
        Ok(Row { shard, outcome, value: blob.unwrap_or_default().into() })
    };
    ranges.iter().zip(ends).zip(blobs).map(row).collect()
}
