//! Validates Arrow IPC messages against their schema and appends a column to them, without decoding or
//! copying their columns.
//!
//! A record batch consists of a header, which holds the length of each column and the positions of its
//! buffers in the body, and the body. A column is appended by adding its entries to the end of the header's
//! lists and its buffer to the end of the body. The values in the columns are not inspected. Each buffer is
//! checked to lie inside the body and to be as long as its column needs, so that a reader cannot be misled by
//! a header.

use std::collections::BTreeSet;

use arrow_ipc::{
    BodyCompressionBuilder, Buffer, DictionaryBatchBuilder, FieldNode, MessageBuilder, MessageHeader,
    MetadataVersion, RecordBatch, RecordBatchBuilder,
};
use arrow_schema::{DataType, Field, Schema};
use bytes::Bytes;
use flatbuffers::FlatBufferBuilder;
use mallowgauge_core::Message;
use mallowgauge_router::ShardId;

use crate::batch_validator::{validate_batch, DecodedSize, UNCOMPRESSED_BUFFER};
use crate::proto::FlightData;
use crate::schema;

/// The alignment of bodies and buffers, in bytes.
const ALIGNMENT: usize = 8;

/// Bytes of one row in the column that [`with_shard_column`] appends.
const SHARD_BYTES: usize = size_of::<u32>();

/// Limits on what the messages of a stream state. They hold before memory is spent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CollectorLimits {
    /// Bytes of all compressed columns after decompression, and values of all columns whose values need no bytes. A
    /// dictionary counts for as long as it is kept.
    pub decoded_bytes: usize,
    /// Bytes of the column that [`with_shard_column`] appends to one record batch.
    pub shard_column_bytes: usize,
}

/// A validated message, and what it states beyond its body.
#[derive(Clone, Debug)]
struct CollectedMessage {
    message: Message,
    decoded_size: DecodedSize,
}

impl CollectedMessage {
    fn bytes(&self) -> usize {
        self.message.header.len() + self.message.body.len()
    }
}

/// Validates and collects the messages of a stream into a table.
#[derive(Debug)]
pub struct Collector {
    limits: CollectorLimits,
    schema: Option<StreamSchema>,
    schema_header: Bytes,
    messages: Vec<CollectedMessage>,
    rows: u64,
    bytes: usize,
    decoded_size: DecodedSize,
}

/// The schema of a stream, and the dictionaries received so far.
#[derive(Debug)]
struct StreamSchema {
    schema: Schema,
    /// The ids of the dictionaries and the types of their values, in column order.
    dictionaries: Vec<(i64, DataType)>,
    /// The ids of the dictionaries that were received.
    received_dictionaries: BTreeSet<i64>,
}

/// A validated table.
#[derive(Debug)]
pub struct CheckedTable {
    /// The header of the schema message.
    pub schema: Bytes,
    /// The dictionaries and record batches.
    pub messages: Vec<Message>,
    /// The number of rows.
    pub rows: u64,
    /// The size of its messages in bytes.
    pub bytes: usize,
}

impl Collector {
    /// Creates a collector for a stream.
    #[must_use]
    pub fn new(limits: CollectorLimits) -> Self {
        Self {
            limits,
            schema: None,
            schema_header: Bytes::new(),
            messages: Vec::new(),
            rows: 0,
            bytes: 0,
            decoded_size: DecodedSize::default(),
        }
    }

    /// Returns whether the schema has not been received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.schema.is_none()
    }

    /// Returns the schema, once it has been received.
    #[must_use]
    pub fn schema(&self) -> Option<&Schema> {
        self.schema.as_ref().map(|stream| &stream.schema)
    }

    /// Validates and adds the next message of the stream. A message with metadata only is ignored.
    ///
    /// # Errors
    /// Returns a description of the problem if the message is invalid, does not match the schema or states more than
    /// the limits allow.
    pub fn push(&mut self, data: FlightData) -> Result<(), String> {
        if data.data_header.is_empty() {
            return if data.data_body.is_empty() {
                Ok(())
            } else {
                Err("a body without a header".to_owned())
            };
        }
        let message = arrow_ipc::root_as_message(&data.data_header).map_err(|error| error.to_string())?;
        if message.bodyLength() != i64::try_from(data.data_body.len()).unwrap_or(-1) {
            return Err("the body is not as long as its header says".to_owned());
        }
        if !matches!(message.version(), MetadataVersion::V4 | MetadataVersion::V5) {
            return Err("a version of Arrow's format that is not known".to_owned());
        }
        let message_type = message.header_type();
        let decoded_size;
        match (&mut self.schema, message_type) {
            (None, MessageHeader::Schema) => {
                let schema = schema::read_schema(&data.data_header)?;
                let dictionaries = dictionary_types(&data.data_header, &schema)?;
                self.schema =
                    Some(StreamSchema { schema, dictionaries, received_dictionaries: BTreeSet::new() });
                self.bytes += data.data_header.len();
                self.schema_header = data.data_header;
                return Ok(());
            }
            (None, _) => return Err("a batch before its schema".to_owned()),
            (Some(_), MessageHeader::Schema) => return Err("a second schema".to_owned()),
            (Some(stream), MessageHeader::DictionaryBatch) => {
                let batch = message.header_as_dictionary_batch().ok_or("no dictionary")?;
                let dictionary = stream.dictionaries.iter().find(|(id, _)| *id == batch.id());
                let (id, value_type) = dictionary.ok_or("a dictionary of no column")?;
                if batch.isDelta() && !stream.received_dictionaries.contains(id) {
                    return Err("an addition to a dictionary that has not come".to_owned());
                }
                let columns = [Field::new("", value_type.clone(), true)];
                let columns: Vec<&Field> = columns.iter().collect();
                let batch = batch.data().ok_or("a dictionary without values")?;
                decoded_size = validate_batch(batch, &columns, &data.data_body)?;
                stream.received_dictionaries.insert(*id);
            }
            (Some(stream), MessageHeader::RecordBatch) => {
                let batch = message.header_as_record_batch().ok_or("no record batch")?;
                let missing =
                    stream.dictionaries.iter().find(|(id, _)| !stream.received_dictionaries.contains(id));
                if let Some((id, _)) = missing {
                    return Err(format!("the dictionary {id} is missing"));
                }
                let columns: Vec<&Field> = stream.schema.fields().iter().map(AsRef::as_ref).collect();
                decoded_size = validate_batch(batch, &columns, &data.data_body)?;
                let rows = u64::try_from(batch.length()).map_err(|error| error.to_string())?;
                if rows > (self.limits.shard_column_bytes / SHARD_BYTES) as u64 {
                    return Err("more rows than one batch may have".to_owned());
                }
                self.rows += rows;
            }
            _ => return Err("a message that is neither schema, dictionary nor batch".to_owned()),
        }
        self.decoded_size = self.decoded_size.plus(decoded_size);
        let limit = self.limits.decoded_bytes as u64;
        if self.decoded_size.decompressed_bytes > limit {
            return Err("compressed columns that would inflate to too much".to_owned());
        }
        if self.decoded_size.values_without_bytes > limit {
            return Err("more values than a table may have".to_owned());
        }
        self.bytes += data.data_header.len() + data.data_body.len();
        let message = Message { header: data.data_header, body: data.data_body };
        self.messages.push(CollectedMessage { message, decoded_size });
        Ok(())
    }

    /// Returns the table at the end of the stream; `None` if no schema was received.
    #[must_use]
    pub fn finish(self) -> Option<CheckedTable> {
        let Self { schema, schema_header, messages, rows, bytes, .. } = self;
        let messages = messages.into_iter().map(|collected| collected.message).collect();
        schema.map(|_| CheckedTable { schema: schema_header, messages, rows, bytes })
    }

    /// Removes the last record batch and returns it together with the dictionaries that it needs, which
    /// remain in the collector, and with its number of rows. Returns no messages and `None` if the last
    /// message is a dictionary or there is none.
    pub fn take_batch(&mut self) -> (Vec<Message>, Option<u64>) {
        let is_dictionary = |collected: &CollectedMessage| dictionary_id(&collected.message).is_some();
        if self.messages.last().is_none_or(is_dictionary) {
            self.drop_replaced_dictionary();
            return (Vec::new(), None);
        }
        let messages = self.messages.iter().map(|collected| collected.message.clone()).collect();
        self.messages.pop();
        self.update_size();
        (messages, Some(std::mem::take(&mut self.rows)))
    }

    /// Removes the previous messages of a dictionary that the last message replaces.
    fn drop_replaced_dictionary(&mut self) {
        let full_dictionary_id = |message: &Message| {
            let header = arrow_ipc::root_as_message(&message.header).ok();
            let batch = header.and_then(|header| header.header_as_dictionary_batch());
            batch.filter(|batch| !batch.isDelta()).map(|batch| batch.id())
        };
        if let Some(id) = self.messages.last().and_then(|last| full_dictionary_id(&last.message)) {
            let last = self.messages.pop();
            self.messages.retain(|collected| dictionary_id(&collected.message) != Some(id));
            self.messages.extend(last);
        }
        self.update_size();
    }

    /// Recomputes the sizes after messages were removed.
    fn update_size(&mut self) {
        let bytes = self.messages.iter().map(CollectedMessage::bytes).sum::<usize>();
        self.bytes = self.schema_header.len() + bytes;
        let sizes = self.messages.iter().map(|collected| collected.decoded_size);
        self.decoded_size = sizes.fold(DecodedSize::default(), DecodedSize::plus);
    }

    /// Returns the size of the collected messages in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Returns the ids of the dictionaries in a schema message, with the types of their values.
fn dictionary_types(header: &[u8], schema: &Schema) -> Result<Vec<(i64, DataType)>, String> {
    let mut types = Vec::new();
    schema.fields().iter().for_each(|field| collect_value_types(field, &mut types));
    let ids = schema_dictionary_ids(header)?;
    if ids.len() != types.len() {
        return Err("dictionaries that do not belong to their columns".to_owned());
    }
    Ok(ids.into_iter().zip(types).collect())
}

/// Collects the types of the dictionaries' values in column order, each before those nested in it.
fn collect_value_types(field: &Field, types: &mut Vec<DataType>) {
    let data_type = match field.data_type() {
        DataType::Dictionary(_, value) => {
            types.push(DataType::clone(value));
            value
        }
        data_type => data_type,
    };
    schema::child_fields(data_type).into_iter().for_each(|child| collect_value_types(child, types));
}

/// Returns the ids of the dictionaries in a schema message in column order, each before those nested in it.
///
/// # Errors
/// The message is not a schema.
pub fn schema_dictionary_ids(header: &[u8]) -> Result<Vec<i64>, String> {
    fn collect(field: arrow_ipc::Field<'_>, ids: &mut Vec<i64>) {
        ids.extend(field.dictionary().map(|dictionary| dictionary.id()));
        field.children().into_iter().flatten().for_each(|child| collect(child, ids));
    }
    let message = arrow_ipc::root_as_message(header).map_err(|error| error.to_string())?;
    let schema = message.header_as_schema().ok_or("no schema")?;
    let mut ids = Vec::new();
    schema.fields().into_iter().flatten().for_each(|field| collect(field, &mut ids));
    Ok(ids)
}

/// An IPC message to be sent to a client: a header, and a body in several pieces, which avoids copying.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    /// The header.
    pub header: Bytes,
    /// The pieces of the body.
    pub body: Vec<Bytes>,
}

/// The lists in a record batch's header, from which a modified header is written.
struct BatchLists {
    nodes: Vec<FieldNode>,
    buffers: Vec<Buffer>,
    variadic_counts: Option<Vec<i64>>,
}

impl BatchLists {
    fn from_batch(batch: RecordBatch<'_>) -> Self {
        Self {
            nodes: batch.nodes().iter().flatten().copied().collect(),
            buffers: batch.buffers().iter().flatten().copied().collect(),
            variadic_counts: batch.variadicBufferCounts().map(|counts| counts.iter().collect()),
        }
    }

    fn write<'f>(
        &self,
        fbb: &mut FlatBufferBuilder<'f>,
        batch: RecordBatch<'_>,
    ) -> flatbuffers::WIPOffset<RecordBatch<'f>> {
        let nodes = fbb.create_vector(&self.nodes);
        let buffers = fbb.create_vector(&self.buffers);
        let variadic_counts = self.variadic_counts.as_ref().map(|counts| fbb.create_vector(counts));
        let compression = batch.compression().map(|compression| {
            let mut builder = BodyCompressionBuilder::new(fbb);
            builder.add_codec(compression.codec());
            builder.add_method(compression.method());
            builder.finish()
        });
        let mut builder = RecordBatchBuilder::new(fbb);
        builder.add_length(batch.length());
        builder.add_nodes(nodes);
        builder.add_buffers(buffers);
        variadic_counts.into_iter().for_each(|counts| builder.add_variadicBufferCounts(counts));
        compression.into_iter().for_each(|compression| builder.add_compression(compression));
        builder.finish()
    }
}

/// Writes a message header around a record batch or dictionary and returns its bytes.
fn finish_message(
    fbb: &mut FlatBufferBuilder<'_>,
    message_type: MessageHeader,
    header: flatbuffers::WIPOffset<flatbuffers::UnionWIPOffset>,
    body_length: usize,
) -> Bytes {
    let mut builder = MessageBuilder::new(fbb);
    builder.add_version(MetadataVersion::V5);
    builder.add_header_type(message_type);
    builder.add_header(header);
    builder.add_bodyLength(i64::try_from(body_length).unwrap_or(i64::MAX));
    let root = builder.finish();
    fbb.finish(root, None);
    Bytes::copy_from_slice(fbb.finished_data())
}

/// Padding between the pieces of a body.
const ZEROS: Bytes = Bytes::from_static(&[0; ALIGNMENT]);

/// Returns a record batch with [`schema::SHARD_COLUMN`] appended.
///
/// # Errors
/// The message is not a record batch.
pub fn with_shard_column(message: &Message, shard: ShardId) -> Result<EncodedMessage, String> {
    let header = arrow_ipc::root_as_message(&message.header).map_err(|error| error.to_string())?;
    let batch = header.header_as_record_batch().ok_or("no record batch")?;
    let rows = usize::try_from(batch.length()).map_err(|error| error.to_string())?;
    let mut column = Vec::with_capacity(rows * SHARD_BYTES + 2 * ALIGNMENT);
    if batch.compression().is_some() && rows > 0 {
        // In a compressed body each buffer is preceded by its decompressed length, or by this value.
        column.extend_from_slice(&UNCOMPRESSED_BUFFER.to_le_bytes());
    }
    for _ in 0..rows {
        column.extend_from_slice(&shard.0.to_le_bytes());
    }
    let length = column.len();
    column.resize(length.next_multiple_of(ALIGNMENT), 0);
    let mut body = vec![message.body.clone()];
    let padding = message.body.len().next_multiple_of(ALIGNMENT) - message.body.len();
    if padding > 0 {
        body.push(ZEROS.slice(..padding));
    }
    let column_offset = message.body.len() + padding;
    let body_length = column_offset + column.len();
    body.push(column.into());
    let to_i64 = |bytes: usize| i64::try_from(bytes).map_err(|error| error.to_string());
    let mut lists = BatchLists::from_batch(batch);
    lists.nodes.push(FieldNode::new(batch.length(), 0));
    lists.buffers.push(Buffer::new(to_i64(column_offset)?, 0));
    lists.buffers.push(Buffer::new(to_i64(column_offset)?, to_i64(length)?));
    let mut fbb = FlatBufferBuilder::new();
    let root = lists.write(&mut fbb, batch);
    let header = finish_message(&mut fbb, MessageHeader::RecordBatch, root.as_union_value(), body_length);
    Ok(EncodedMessage { header, body })
}

/// Returns a dictionary batch with another id; unchanged if it already has that id.
///
/// # Errors
/// The message is not a dictionary batch.
pub fn with_dictionary_id(message: &Message, id: i64) -> Result<EncodedMessage, String> {
    let header = arrow_ipc::root_as_message(&message.header).map_err(|error| error.to_string())?;
    let dictionary = header.header_as_dictionary_batch().ok_or("no dictionary")?;
    let body = vec![message.body.clone()];
    if dictionary.id() == id {
        return Ok(EncodedMessage { header: message.header.clone(), body });
    }
    let batch = dictionary.data().ok_or("a dictionary without values")?;
    let mut fbb = FlatBufferBuilder::new();
    let data = BatchLists::from_batch(batch).write(&mut fbb, batch);
    let mut builder = DictionaryBatchBuilder::new(&mut fbb);
    builder.add_id(id);
    builder.add_data(data);
    builder.add_isDelta(dictionary.isDelta());
    let root = builder.finish();
    let header =
        finish_message(&mut fbb, MessageHeader::DictionaryBatch, root.as_union_value(), message.body.len());
    Ok(EncodedMessage { header, body })
}

/// Returns the id of a dictionary batch; `None` for any other message.
#[must_use]
pub fn dictionary_id(message: &Message) -> Option<i64> {
    let header = arrow_ipc::root_as_message(&message.header).ok()?;
    header.header_as_dictionary_batch().map(|dictionary| dictionary.id())
}
