//! Encodes a response as a stream of Flight messages. Messages are encoded one at a time as the client reads
//! them, so that nothing is buffered ahead and each part's table is freed once its last message was encoded.
//!
//! Text values become a table with the columns `range` (uint32) and `blob` (utf8). Tables keep their columns
//! and get `range` appended. Only the last message states in its metadata whether the response is complete,
//! so that a truncated stream cannot be mistaken for a complete one.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use arrow_array::{ArrayRef, Float64Array, RecordBatch, StringArray, UInt32Array};
use arrow_ipc::writer::{
    write_message, DictionaryTracker, EncodedData, IpcDataGenerator, IpcWriteContext, IpcWriteOptions,
};
use arrow_ipc::CompressionType;
use arrow_schema::{ArrowError, DataType, Field, Schema};
use bytes::Bytes;
use mallowgauge_core::sessions::Compression;
use mallowgauge_core::two_phase::Row;
use mallowgauge_core::{Table, Value};
use mallowgauge_router::ShardId;
use prost::encoding::{encode_key, encode_varint, encoded_len_varint, key_len, WireType};

use crate::grpc::{frame_with_reserved_prefix, Encoding, PREFIX_BYTES};
use crate::ipc::{self, EncodedMessage};
use crate::schema;

/// The size of text values in bytes after which a new record batch is started.
const TEXT_BATCH_BYTES: usize = 256 * 1024;

/// Returns the schema of a response with text values.
#[must_use]
pub fn text_schema() -> Schema {
    let column = |name: &str, kind| Field::new(name, kind, false);
    Schema::new(vec![column(schema::SHARD_COLUMN, DataType::UInt32), column("blob", DataType::Utf8)])
}

/// Returns the schema of a response to a two-phase query, which contains its best rows.
#[must_use]
pub fn ranked_schema() -> Schema {
    let column = |name: &str, kind| Field::new(name, kind, false);
    let (score, id) = (column("score", DataType::Float64), column("id", DataType::Utf8));
    Schema::new(vec![
        column(schema::SHARD_COLUMN, DataType::UInt32),
        score,
        id,
        column("blob", DataType::Utf8),
    ])
}

/// Encodes a schema as an IPC message.
fn encode_schema(schema: &Schema) -> EncodedData {
    let options = IpcWriteOptions::default();
    let mut tracker = DictionaryTracker::new(true);
    IpcDataGenerator::default().schema_to_bytes_with_dictionary_tracker(schema, &mut tracker, &options)
}

/// Returns the header of the schema message, which precedes the record batches.
#[must_use]
pub fn schema_header(schema: &Schema) -> Bytes {
    encode_schema(schema).ipc_message.into()
}

/// Encodes a schema for `FlightInfo` and `SchemaResult`, as an encapsulated IPC message.
///
/// # Errors
/// Returns Arrow's error if the schema cannot be encoded.
pub fn schema_message(schema: &Schema) -> Result<Bytes, ArrowError> {
    let mut out = Vec::new();
    write_message(&mut out, encode_schema(schema), &IpcWriteOptions::default())?;
    Ok(out.into())
}

/// Encodes a `FlightData` message with its gRPC prefix in several pieces. The body is copied only where
/// [`frame_with_reserved_prefix`] copies pieces.
#[must_use]
pub fn flight_data(header: &Bytes, metadata: &Bytes, body: Vec<Bytes>, encoding: Encoding) -> Vec<Bytes> {
    const HEADER: u32 = 2;
    const METADATA: u32 = 3;
    const BODY: u32 = 1000;
    let length: usize = body.iter().map(Bytes::len).sum();
    let field_bytes = |tag: u32, bytes: usize| key_len(tag) + encoded_len_varint(bytes as u64) + bytes;
    let mut head = Vec::with_capacity(
        PREFIX_BYTES + field_bytes(HEADER, header.len()) + field_bytes(METADATA, metadata.len()) + 16,
    );
    // Reserves the gRPC prefix in front of the same piece.
    head.extend_from_slice(&[0; PREFIX_BYTES]);
    for (tag, bytes) in [(HEADER, header), (METADATA, metadata)] {
        if !bytes.is_empty() {
            encode_key(tag, WireType::LengthDelimited, &mut head);
            encode_varint(bytes.len() as u64, &mut head);
            head.extend_from_slice(bytes);
        }
    }
    if length > 0 {
        encode_key(BODY, WireType::LengthDelimited, &mut head);
        encode_varint(length as u64, &mut head);
    }
    frame_with_reserved_prefix(head, body, encoding)
}

/// The options of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamOptions {
    /// The compression of record batches that are encoded here; those from backends stay as they are.
    pub compression: Compression,
    /// The compression of gRPC messages.
    pub encoding: Encoding,
    /// The metadata of each message except the schema and the last one.
    pub batch_metadata: Bytes,
    /// The metadata of the last message.
    pub final_metadata: Bytes,
    /// Whether the schema was already sent on this stream.
    pub schema_sent: bool,
}

/// The values that remain to be encoded.
enum Source {
    Texts(VecDeque<(ShardId, Rc<str>)>),
    Tables(VecDeque<(ShardId, Rc<Table>)>),
    /// A record batch that is already built; `None` once it was encoded.
    Batch(Option<RecordBatch>),
}

/// A response that is encoded message by message.
pub struct Stream {
    options: StreamOptions,
    schema: Option<Bytes>,
    /// The ids of the response's dictionaries in column order.
    dictionary_ids: Vec<i64>,
    source: Source,
    /// The index of the next message of the first remaining table.
    next_message: usize,
    /// Encoded messages to be sent next: a dictionary, once for each id that it has in the response.
    ready: VecDeque<EncodedMessage>,
    ended: bool,
}

impl Stream {
    /// Creates a stream of the parts' values.
    ///
    /// # Errors
    /// The values are not compatible with each other.
    pub fn new(values: &[(ShardId, Value)], options: StreamOptions) -> Result<Self, String> {
        let mut texts = VecDeque::new();
        let mut tables = VecDeque::new();
        for (shard, value) in values {
            match value {
                Value::Text(text) => texts.push_back((*shard, Rc::clone(text))),
                Value::Table(table) => tables.push_back((*shard, Rc::clone(table))),
            }
        }
        if !texts.is_empty() && !tables.is_empty() {
            return Err(schema::SchemaMismatch::TextAndTable.to_string());
        }
        let (schema, source) = if tables.is_empty() {
            (text_schema(), Source::Texts(texts))
        } else {
            (merged_schema(tables.iter().map(|(_, table)| table))?, Source::Tables(tables))
        };
        let header = schema_header(&schema);
        let dictionary_ids = ipc::schema_dictionary_ids(&header)?;
        let schema = (!options.schema_sent).then_some(header);
        Ok(Self {
            options,
            schema,
            dictionary_ids,
            source,
            next_message: 0,
            ready: VecDeque::new(),
            ended: false,
        })
    }

    /// Creates a stream of the best rows of a two-phase query.
    ///
    /// # Errors
    /// Returns Arrow's error if the record batch cannot be built.
    pub fn ranked(rows: &[Row], options: StreamOptions) -> Result<Self, String> {
        let shards = UInt32Array::from_iter_values(rows.iter().map(|row| row.shard.0));
        let scores = Float64Array::from_iter_values(rows.iter().map(|row| row.score));
        let text = |value: fn(&Row) -> &str| Arc::new(StringArray::from_iter_values(rows.iter().map(value)));
        let columns: Vec<ArrayRef> =
            vec![Arc::new(shards), Arc::new(scores), text(|row| &row.id), text(|row| &row.text)];
        let batch =
            RecordBatch::try_new(Arc::new(ranked_schema()), columns).map_err(|error| error.to_string())?;
        let schema = (!options.schema_sent).then(Self::ranked_schema_header);
        let (dictionary_ids, ready) = (Vec::new(), VecDeque::new());
        Ok(Self {
            options,
            schema,
            dictionary_ids,
            source: Source::Batch(Some(batch)),
            next_message: 0,
            ready,
            ended: false,
        })
    }

    /// Returns the header of the schema message of a two-phase query.
    #[must_use]
    pub fn ranked_schema_header() -> Bytes {
        schema_header(&ranked_schema())
    }

    /// Returns the schema of the response with the given values.
    ///
    /// # Errors
    /// The values are not compatible with each other.
    pub fn schema(values: &[(ShardId, Value)]) -> Result<Schema, String> {
        let table = |(_, value): &(ShardId, Value)| match value {
            Value::Table(table) => Some(Rc::clone(table)),
            Value::Text(_) => None,
        };
        let tables: Vec<Rc<Table>> = values.iter().filter_map(table).collect();
        if tables.is_empty() {
            Ok(text_schema())
        } else {
            merged_schema(tables.iter())
        }
    }

    /// Returns the header of the schema message of the response with the given values.
    ///
    /// # Errors
    /// The values are not compatible with each other.
    pub fn schema_header(values: &[(ShardId, Value)]) -> Result<Bytes, String> {
        Self::schema(values).map(|schema| schema_header(&schema))
    }

    /// Encodes the next message with its gRPC prefix, in several pieces; `None` at the end.
    ///
    /// # Errors
    /// The message cannot be encoded.
    pub fn next_message(&mut self) -> Result<Option<Vec<Bytes>>, String> {
        let encoding = self.options.encoding;
        if let Some(header) = self.schema.take() {
            return Ok(Some(flight_data(&header, &Bytes::new(), Vec::new(), encoding)));
        }
        if self.ended {
            return Ok(None);
        }
        let message = self.next_ipc_message()?;
        self.ended = self.is_last()?;
        let metadata = if self.ended { &self.options.final_metadata } else { &self.options.batch_metadata };
        Ok(Some(match message {
            Some(message) => flight_data(&message.header, metadata, message.body, encoding),
            // A response without rows still states whether it is complete.
            None => {
                self.ended = true;
                flight_data(&Bytes::new(), &self.options.final_metadata, Vec::new(), encoding)
            }
        }))
    }

    /// Returns whether all messages were encoded.
    fn is_last(&mut self) -> Result<bool, String> {
        Ok(match &mut self.source {
            Source::Texts(texts) => texts.is_empty(),
            Source::Batch(batch) => batch.is_none(),
            Source::Tables(tables) => {
                // Frees finished tables, and skips tables without messages.
                while tables.front().is_some_and(|(_, table)| table.messages.len() <= self.next_message) {
                    tables.pop_front();
                    self.next_message = 0;
                }
                tables.is_empty() && self.ready.is_empty()
            }
        })
    }

    /// Encodes the next dictionary or record batch; `None` at the end.
    fn next_ipc_message(&mut self) -> Result<Option<EncodedMessage>, String> {
        loop {
            if let Some(message) = self.ready.pop_front() {
                return Ok(Some(message));
            }
            if self.is_last()? {
                return Ok(None);
            }
            match &mut self.source {
                Source::Texts(texts) => return text_batch(texts, self.options.compression).map(Some),
                Source::Batch(batch) => {
                    let Some(batch) = batch.take() else { return Ok(None) };
                    return encode_batch(&batch, self.options.compression).map(Some);
                }
                Source::Tables(tables) => {
                    let Some((shard, table)) = tables.front() else { return Ok(None) };
                    let Some(message) = table.messages.get(self.next_message) else { return Ok(None) };
                    self.next_message += 1;
                    match ipc::dictionary_id(message) {
                        None => return ipc::with_shard_column(message, *shard).map(Some),
                        Some(id) => {
                            // The backend's dictionary ids, in the same column order as those of the
                            // response.
                            let backend_ids = ipc::schema_dictionary_ids(&table.schema)?;
                            let ids = self.dictionary_ids.iter().zip(backend_ids);
                            for (response_id, _) in ids.filter(|(_, backend_id)| *backend_id == id) {
                                self.ready.push_back(ipc::with_dictionary_id(message, *response_id)?);
                            }
                        }
                    }
                }
            }
        }
    }
}

/// Returns the schema of the response with the given tables.
fn merged_schema<'a>(tables: impl Iterator<Item = &'a Rc<Table>>) -> Result<Schema, String> {
    let mut headers: Vec<&Bytes> = tables.map(|table| &table.schema).collect();
    headers.dedup();
    let schemas: Vec<Schema> =
        headers.into_iter().map(|header| schema::read_schema(header)).collect::<Result<_, _>>()?;
    if let Some((first, rest)) = schemas.split_first() {
        rest.iter()
            .try_for_each(|other| schema::check_compatible(first, other))
            .map_err(|mismatch| mismatch.to_string())?;
    }
    Ok(schema::merge_schemas(&schemas))
}

/// Encodes the next text values as one record batch and removes them from the queue.
fn text_batch(
    texts: &mut VecDeque<(ShardId, Rc<str>)>,
    compression: Compression,
) -> Result<EncodedMessage, String> {
    let (mut shards, mut blobs, mut bytes) = (Vec::new(), Vec::new(), 0);
    while let Some((shard, text)) = texts.front().filter(|_| bytes < TEXT_BATCH_BYTES) {
        bytes += text.len();
        shards.push(shard.0);
        blobs.push(Rc::clone(text));
        texts.pop_front();
    }
    let blobs = StringArray::from_iter_values(blobs.iter().map(|text| &**text));
    let columns: Vec<ArrayRef> = vec![Arc::new(UInt32Array::from(shards)), Arc::new(blobs)];
    let batch = RecordBatch::try_new(Arc::new(text_schema()), columns).map_err(|error| error.to_string())?;
    encode_batch(&batch, compression)
}

/// Encodes a record batch as an IPC message.
fn encode_batch(batch: &RecordBatch, compression: Compression) -> Result<EncodedMessage, String> {
    let codec = match compression {
        Compression::None => None,
        Compression::Lz4 => Some(CompressionType::LZ4_FRAME),
        Compression::Zstd => Some(CompressionType::ZSTD),
    };
    let options =
        IpcWriteOptions::default().try_with_compression(codec).map_err(|error| error.to_string())?;
    let mut tracker = DictionaryTracker::new(true);
    let mut context = IpcWriteContext::default();
    let encoded = IpcDataGenerator::default().encode(batch, &mut tracker, &options, &mut context);
    let (_, data) = encoded.map_err(|error| error.to_string())?;
    Ok(EncodedMessage { header: data.ipc_message.into(), body: vec![data.arrow_data.into()] })
}
