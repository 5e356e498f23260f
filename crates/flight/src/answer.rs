//! A final answer as a stream of Flight's messages, made one at a time as the client takes them, so that
//! nothing is written ahead and each part's table is let go once its last message is out.
//!
//! Texts become a table with the columns `range` (uint32) and `blob` (utf8). Tables keep their columns and
//! get `range` behind them. The last message, and only that, says in its metadata whether the answer is
//! whole, so that a stream cut short never looks it.

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

use crate::grpc::{frame_with_reserved_prefix, Encoding};
use crate::ipc::{self, EncodedMessage};
use crate::schema;

/// Bytes of texts after which a new record batch is begun.
const BATCH: usize = 256 * 1024;

/// The columns of texts.
#[must_use]
pub fn text_schema() -> Schema {
    let column = |name: &str, kind| Field::new(name, kind, false);
    Schema::new(vec![column(schema::SHARD_COLUMN, DataType::UInt32), column("blob", DataType::Utf8)])
}

/// The columns of the best rows of a query in two phases.
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

fn encoded(schema: &Schema) -> EncodedData {
    let options = IpcWriteOptions::default();
    let mut tracker = DictionaryTracker::new(true);
    IpcDataGenerator::default().schema_to_bytes_with_dictionary_tracker(schema, &mut tracker, &options)
}

/// A schema's message, as it goes before its batches.
#[must_use]
pub fn schema_header(schema: &Schema) -> Bytes {
    encoded(schema).ipc_message.into()
}

/// A schema as `FlightInfo` and `SchemaResult` carry it.
///
/// # Errors
/// As Arrow says.
pub fn schema_message(schema: &Schema) -> Result<Bytes, ArrowError> {
    let mut out = Vec::new();
    write_message(&mut out, encoded(schema), &IpcWriteOptions::default())?;
    Ok(out.into())
}

/// A `FlightData` in pieces, the body as it lies.
#[must_use]
pub fn flight_data(header: &Bytes, metadata: &Bytes, body: Vec<Bytes>, encoding: Encoding) -> Vec<Bytes> {
    const HEADER: u32 = 2;
    const METADATA: u32 = 3;
    const BODY: u32 = 1000;
    let length: usize = body.iter().map(Bytes::len).sum();
    let room = |tag: u32, bytes: usize| key_len(tag) + encoded_len_varint(bytes as u64) + bytes;
    let mut head = Vec::with_capacity(5 + room(HEADER, header.len()) + room(METADATA, metadata.len()) + 16);
    // The frame's own five bytes go in front of the same piece.
    head.extend_from_slice(&[0; 5]);
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

/// How an answer's messages are written.
#[derive(Clone, Debug, Default)]
pub struct StreamOptions {
    /// How the bodies are compressed that are made here.
    pub compression: Compression,
    /// How gRPC's messages are compressed.
    pub encoding: Encoding,
    /// Goes as metadata with each batch but the last.
    pub batch_metadata: Bytes,
    /// Goes as metadata with the last batch.
    pub final_metadata: Bytes,
    /// The stream has had its schema.
    pub schema_sent: bool,
}

enum Source {
    Texts(VecDeque<(ShardId, Rc<str>)>),
    Tables(VecDeque<(ShardId, Rc<Table>)>),
    /// A batch that is made.
    Batch(Option<RecordBatch>),
}

/// An answer on its way out.
pub struct Stream {
    options: StreamOptions,
    schema: Option<Bytes>,
    /// The ids of the answer's dictionaries, in the order of the columns.
    ids: Vec<i64>,
    source: Source,
    /// The next message of the first table.
    next: usize,
    /// Messages that are ready, at most a dictionary under several ids.
    ready: VecDeque<EncodedMessage>,
    ended: bool,
}

impl Stream {
    /// An answer with these values, which agree with each other.
    ///
    /// # Errors
    /// They do not.
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
            (united(tables.iter().map(|(_, table)| table))?, Source::Tables(tables))
        };
        let header = schema_header(&schema);
        let ids = ipc::schema_dictionary_ids(&header)?;
        let schema = (!options.schema_sent).then_some(header);
        Ok(Self { options, schema, ids, source, next: 0, ready: VecDeque::new(), ended: false })
    }

    /// The best rows of a query in two phases.
    ///
    /// # Errors
    /// As Arrow says.
    pub fn ranked(rows: &[Row], options: StreamOptions) -> Result<Self, String> {
        let ranges = UInt32Array::from_iter_values(rows.iter().map(|row| row.shard.0));
        let scores = Float64Array::from_iter_values(rows.iter().map(|row| row.score));
        let text = |of: fn(&Row) -> &str| Arc::new(StringArray::from_iter_values(rows.iter().map(of)));
        let columns: Vec<ArrayRef> =
            vec![Arc::new(ranges), Arc::new(scores), text(|row| &row.id), text(|row| &row.text)];
        let batch = RecordBatch::try_new(Arc::new(ranked_schema()), columns).map_err(|e| e.to_string())?;
        let schema = (!options.schema_sent).then(Self::ranked_schema_header);
        let (ids, ready) = (Vec::new(), VecDeque::new());
        Ok(Self { options, schema, ids, source: Source::Batch(Some(batch)), next: 0, ready, ended: false })
    }

    /// The schema of such an answer, as a message's header.
    #[must_use]
    pub fn ranked_schema_header() -> Bytes {
        schema_header(&ranked_schema())
    }

    /// The columns of the answer with these values.
    ///
    /// # Errors
    /// They do not agree.
    pub fn schema(values: &[(ShardId, Value)]) -> Result<Schema, String> {
        let table = |(_, value): &(ShardId, Value)| match value {
            Value::Table(table) => Some(Rc::clone(table)),
            Value::Text(_) => None,
        };
        let tables: Vec<Rc<Table>> = values.iter().filter_map(table).collect();
        if tables.is_empty() {
            Ok(text_schema())
        } else {
            united(tables.iter())
        }
    }

    /// The same as a message's header.
    ///
    /// # Errors
    /// They do not agree.
    pub fn schema_header(values: &[(ShardId, Value)]) -> Result<Bytes, String> {
        Self::schema(values).map(|schema| schema_header(&schema))
    }

    /// The next message, in pieces, in gRPC's frame; `None` at the end.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn next_message(&mut self) -> Result<Option<Vec<Bytes>>, String> {
        let encoding = self.options.encoding;
        if let Some(header) = self.schema.take() {
            return Ok(Some(flight_data(&header, &Bytes::new(), Vec::new(), encoding)));
        }
        if self.ended {
            return Ok(None);
        }
        let out = self.outgoing()?;
        self.ended = self.is_last()?;
        let metadata = if self.ended { &self.options.final_metadata } else { &self.options.batch_metadata };
        Ok(Some(match out {
            Some(out) => flight_data(&out.header, metadata, out.body, encoding),
            // An answer without any rows still says whether it is whole.
            None => {
                self.ended = true;
                flight_data(&Bytes::new(), &self.options.final_metadata, Vec::new(), encoding)
            }
        }))
    }

    /// Whether nothing follows what went out last.
    fn is_last(&mut self) -> Result<bool, String> {
        Ok(match &mut self.source {
            Source::Texts(texts) => texts.is_empty(),
            Source::Batch(batch) => batch.is_none(),
            Source::Tables(tables) => {
                // A table whose last message is out is let go, and one without any is passed over.
                while tables.front().is_some_and(|(_, table)| table.messages.len() <= self.next) {
                    tables.pop_front();
                    self.next = 0;
                }
                tables.is_empty() && self.ready.is_empty()
            }
        })
    }

    fn outgoing(&mut self) -> Result<Option<EncodedMessage>, String> {
        loop {
            if let Some(out) = self.ready.pop_front() {
                return Ok(Some(out));
            }
            if self.is_last()? {
                return Ok(None);
            }
            match &mut self.source {
                Source::Texts(texts) => return text_batch(texts, self.options.compression).map(Some),
                Source::Batch(batch) => {
                    let Some(batch) = batch.take() else { return Ok(None) };
                    return write_batch(&batch, self.options.compression).map(Some);
                }
                Source::Tables(tables) => {
                    let Some((shard, table)) = tables.front() else { return Ok(None) };
                    let Some(message) = table.messages.get(self.next) else { return Ok(None) };
                    self.next += 1;
                    match ipc::dictionary_id(message) {
                        None => return ipc::with_shard_column(message, *shard).map(Some),
                        Some(id) => {
                            // The columns of this host's dictionary, by their places.
                            let theirs = ipc::schema_dictionary_ids(&table.schema)?;
                            for (ours, _) in self.ids.iter().zip(theirs).filter(|(_, theirs)| *theirs == id) {
                                self.ready.push_back(ipc::with_dictionary_id(message, *ours)?);
                            }
                        }
                    }
                }
            }
        }
    }
}

fn united<'a>(tables: impl Iterator<Item = &'a Rc<Table>>) -> Result<Schema, String> {
    let mut headers: Vec<&Bytes> = tables.map(|table| &table.schema).collect();
    headers.dedup();
    let schemas: Vec<Schema> =
        headers.into_iter().map(|header| schema::read_schema(header)).collect::<Result<_, _>>()?;
    if let Some((first, rest)) = schemas.split_first() {
        rest.iter()
            .try_for_each(|other| schema::check_compatible(first, other))
            .map_err(|clash| clash.to_string())?;
    }
    Ok(schema::merge_schemas(&schemas))
}

fn text_batch(
    texts: &mut VecDeque<(ShardId, Rc<str>)>,
    compression: Compression,
) -> Result<EncodedMessage, String> {
    let (mut ranges, mut blobs, mut bytes) = (Vec::new(), Vec::new(), 0);
    while let Some((shard, text)) = texts.front().filter(|_| bytes < BATCH) {
        bytes += text.len();
        ranges.push(shard.0);
        blobs.push(Rc::clone(text));
        texts.pop_front();
    }
    let blobs = StringArray::from_iter_values(blobs.iter().map(|text| &**text));
    let columns: Vec<ArrayRef> = vec![Arc::new(UInt32Array::from(ranges)), Arc::new(blobs)];
    let batch = RecordBatch::try_new(Arc::new(text_schema()), columns).map_err(|e| e.to_string())?;
    write_batch(&batch, compression)
}

fn write_batch(batch: &RecordBatch, compression: Compression) -> Result<EncodedMessage, String> {
    let codec = match compression {
        Compression::None => None,
        Compression::Lz4 => Some(CompressionType::LZ4_FRAME),
        Compression::Zstd => Some(CompressionType::ZSTD),
    };
    let options = IpcWriteOptions::default().try_with_compression(codec).map_err(|e| e.to_string())?;
    let mut tracker = DictionaryTracker::new(true);
    let mut context = IpcWriteContext::default();
    let written = IpcDataGenerator::default().encode(batch, &mut tracker, &options, &mut context);
    let (_, data) = written.map_err(|e| e.to_string())?;
    Ok(EncodedMessage { header: data.ipc_message.into(), body: vec![data.arrow_data.into()] })
}
