//! Arrow's IPC messages as they lie: checked against their schema, passed on with a column added, without
//! decoding or copying the columns that they hold.
//!
//! A record batch is a header, which says how long each column is and where in the body its buffers lie, and
//! the body. To add a column its entry goes to the end of the header's lists and its buffer to the end of the
//! body. What the columns hold is not looked into; that each buffer lies inside the body and is as long as
//! its column needs is checked, so that no reader is led astray by a header.

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

use crate::proto::FlightData;
use crate::schema;

/// Where bodies and buffers begin.
const ALIGN: usize = 8;

/// What a stream of messages came to be.
#[derive(Debug, Default)]
pub struct Collector {
    schema: Option<Known>,
    header: Bytes,
    messages: Vec<Message>,
    rows: u64,
    bytes: usize,
    inflated: u64,
    most_inflated: u64,
}

#[derive(Debug)]
struct Known {
    schema: Schema,
    /// The ids of dictionaries with the kinds of their values, in the order of the columns.
    dictionaries: Vec<(i64, DataType)>,
    seen: BTreeSet<i64>,
}

/// A table that was checked.
#[derive(Debug)]
pub struct CheckedTable {
    /// The header of its schema.
    pub schema: Bytes,
    /// Its other messages.
    pub messages: Vec<Message>,
    /// Its rows.
    pub rows: u64,
    /// Bytes that it holds.
    pub bytes: usize,
}

impl Collector {
    /// A stream of which nothing has come, whose compressed columns may inflate to so many bytes.
    #[must_use]
    pub fn new(most_inflated: usize) -> Self {
        Self { most_inflated: most_inflated as u64, ..Self::default() }
    }

    /// Whether nothing but metadata has come.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.schema.is_none()
    }

    /// The schema, once it has come.
    #[must_use]
    pub fn schema(&self) -> Option<&Schema> {
        self.schema.as_ref().map(|known| &known.schema)
    }

    /// Takes a message.
    ///
    /// # Errors
    /// It is none that belongs here.
    pub fn push(&mut self, data: FlightData) -> Result<(), String> {
        if data.data_header.is_empty() {
            return if data.data_body.is_empty() {
                Ok(())
            } else {
                Err("a body without a header".to_owned())
            };
        }
        let message = arrow_ipc::root_as_message(&data.data_header).map_err(|e| e.to_string())?;
        if message.bodyLength() != i64::try_from(data.data_body.len()).unwrap_or(-1) {
            return Err("the body is not as long as its header says".to_owned());
        }
        if !matches!(message.version(), MetadataVersion::V4 | MetadataVersion::V5) {
            return Err("a version of Arrow's format that is not known".to_owned());
        }
        let kind = message.header_type();
        match (&mut self.schema, kind) {
            (None, MessageHeader::Schema) => {
                let schema = schema::read_schema(&data.data_header)?;
                let dictionaries = dictionaries(&data.data_header, &schema)?;
                self.schema = Some(Known { schema, dictionaries, seen: BTreeSet::new() });
                self.bytes += data.data_header.len();
                self.header = data.data_header;
                return Ok(());
            }
            (None, _) => return Err("a batch before its schema".to_owned()),
            (Some(_), MessageHeader::Schema) => return Err("a second schema".to_owned()),
            (Some(known), MessageHeader::DictionaryBatch) => {
                let batch = message.header_as_dictionary_batch().ok_or("no dictionary")?;
                let values = known.dictionaries.iter().find(|(id, _)| *id == batch.id());
                let (id, kind) = values.ok_or("a dictionary of no column")?;
                if batch.isDelta() && !known.seen.contains(id) {
                    return Err("an addition to a dictionary that has not come".to_owned());
                }
                let columns = [Field::new("", kind.clone(), true)];
                let columns: Vec<&Field> = columns.iter().collect();
                let batch = batch.data().ok_or("a dictionary without values")?;
                self.inflated += check(batch, &columns, &data.data_body)?;
                known.seen.insert(*id);
            }
            (Some(known), MessageHeader::RecordBatch) => {
                let batch = message.header_as_record_batch().ok_or("no record batch")?;
                if let Some((id, _)) = known.dictionaries.iter().find(|(id, _)| !known.seen.contains(id)) {
                    return Err(format!("the dictionary {id} is missing"));
                }
                let columns: Vec<&Field> = known.schema.fields().iter().map(AsRef::as_ref).collect();
                self.inflated += check(batch, &columns, &data.data_body)?;
                self.rows += u64::try_from(batch.length()).map_err(|e| e.to_string())?;
            }
            _ => return Err("a message that is neither schema, dictionary nor batch".to_owned()),
        }
        if self.inflated > self.most_inflated {
            return Err("compressed columns that would inflate to too much".to_owned());
        }
        self.bytes += data.data_header.len() + data.data_body.len();
        self.messages.push(Message { header: data.data_header, body: data.data_body });
        Ok(())
    }

    /// The table, once its stream has ended; `None` if there was no schema.
    #[must_use]
    pub fn finish(self) -> Option<CheckedTable> {
        let Self { schema, header, messages, rows, bytes, .. } = self;
        schema.map(|_| CheckedTable { schema: header, messages, rows, bytes })
    }

    /// The batch that came last with the dictionaries that it needs, which stay here; `None` in the place of
    /// its rows if a dictionary came last.
    pub fn take_batch(&mut self) -> (Vec<Message>, Option<u64>) {
        let is_dictionary = |message: &Message| dictionary_id(message).is_some();
        if self.messages.last().is_none_or(is_dictionary) {
            self.prune();
            return (Vec::new(), None);
        }
        let all = self.messages.clone();
        self.messages.pop();
        self.count();
        (all, Some(std::mem::take(&mut self.rows)))
    }

    /// A dictionary that was replaced is not kept.
    fn prune(&mut self) {
        let whole = |message: &Message| {
            let head = arrow_ipc::root_as_message(&message.header).ok();
            let batch = head.and_then(|head| head.header_as_dictionary_batch());
            batch.filter(|batch| !batch.isDelta()).map(|batch| batch.id())
        };
        if let Some(id) = self.messages.last().and_then(whole) {
            let last = self.messages.pop();
            self.messages.retain(|message| dictionary_id(message) != Some(id));
            self.messages.extend(last);
        }
        self.count();
    }

    fn count(&mut self) {
        let held = |message: &Message| message.header.len() + message.body.len();
        self.bytes = self.header.len() + self.messages.iter().map(held).sum::<usize>();
        self.inflated = 0;
    }

    /// Bytes held so far.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// The ids of dictionaries in a schema's message, with the kinds of their values.
fn dictionaries(header: &[u8], schema: &Schema) -> Result<Vec<(i64, DataType)>, String> {
    let mut kinds = Vec::new();
    schema.fields().iter().for_each(|field| values(field, &mut kinds));
    let ids = schema_dictionary_ids(header)?;
    if ids.len() != kinds.len() {
        return Err("dictionaries that do not belong to their columns".to_owned());
    }
    Ok(ids.into_iter().zip(kinds).collect())
}

/// The kinds of the dictionaries' values in the order of the columns, each before those within it.
fn values(field: &Field, kinds: &mut Vec<DataType>) {
    let kind = match field.data_type() {
        DataType::Dictionary(_, value) => {
            kinds.push(DataType::clone(value));
            value
        }
        kind => kind,
    };
    schema::child_fields(kind).into_iter().for_each(|child| values(child, kinds));
}

/// The ids of dictionaries in the order of the columns, each before those within it.
///
/// # Errors
/// The message is no schema.
pub fn schema_dictionary_ids(header: &[u8]) -> Result<Vec<i64>, String> {
    fn walk(field: arrow_ipc::Field<'_>, ids: &mut Vec<i64>) {
        ids.extend(field.dictionary().map(|dictionary| dictionary.id()));
        field.children().into_iter().flatten().for_each(|child| walk(child, ids));
    }
    let message = arrow_ipc::root_as_message(header).map_err(|e| e.to_string())?;
    let schema = message.header_as_schema().ok_or("no schema")?;
    let mut ids = Vec::new();
    schema.fields().into_iter().flatten().for_each(|field| walk(field, &mut ids));
    Ok(ids)
}

/// Goes through a batch's lists of columns, buffers and counts as a reader will.
struct Walk<'a> {
    nodes: std::vec::IntoIter<(i64, i64)>,
    buffers: std::vec::IntoIter<(i64, i64)>,
    variadic: std::vec::IntoIter<i64>,
    body: &'a [u8],
    compressed: bool,
    inflated: u64,
}

/// Checks a batch against its columns: what its compressed buffers say that they inflate to.
fn check(batch: RecordBatch<'_>, columns: &[&Field], body: &[u8]) -> Result<u64, String> {
    let nodes: Vec<_> = batch.nodes().iter().flatten().map(|n| (n.length(), n.null_count())).collect();
    let buffers: Vec<_> = batch.buffers().iter().flatten().map(|b| (b.offset(), b.length())).collect();
    let variadic: Vec<i64> = batch.variadicBufferCounts().iter().flatten().collect();
    let mut walk = Walk {
        nodes: nodes.into_iter(),
        buffers: buffers.into_iter(),
        variadic: variadic.into_iter(),
        body,
        compressed: batch.compression().is_some(),
        inflated: 0,
    };
    for column in columns {
        walk.column(column.data_type(), Some(batch.length()))?;
    }
    if walk.nodes.next().is_some() || walk.buffers.next().is_some() {
        return Err("more columns than the schema has".to_owned());
    }
    Ok(walk.inflated)
}

impl Walk<'_> {
    /// The next buffer, of `least` bytes or more once it is inflated; its bytes, unless it is compressed.
    fn buffer(&mut self, least: u64) -> Result<Option<&[u8]>, String> {
        let (offset, length) = self.buffers.next().ok_or("a buffer is missing")?;
        let (offset, length) = (usize::try_from(offset), usize::try_from(length));
        let (offset, length) = offset.ok().zip(length.ok()).ok_or("a buffer of a negative place")?;
        let end = offset.checked_add(length).filter(|&end| end <= self.body.len());
        let bytes = &self.body[offset.min(self.body.len())..end.ok_or("a buffer outside its body")?];
        let held = if self.compressed && !bytes.is_empty() {
            let head = bytes.first_chunk::<8>().ok_or("a compressed buffer that is too short")?;
            match i64::from_le_bytes(*head) {
                -1 => bytes.len() as u64 - 8,
                said => {
                    let said = u64::try_from(said).map_err(|_| "a compressed buffer of a negative length")?;
                    self.inflated = self.inflated.saturating_add(said);
                    said
                }
            }
        } else {
            bytes.len() as u64
        };
        if held < least {
            return Err("a buffer that is too short for its column".to_owned());
        }
        Ok((!self.compressed).then_some(bytes))
    }

    /// Offsets into something that holds so many entries; `None` if that is not to be seen from here.
    fn offsets(&mut self, rows: u64, wide: bool) -> Result<Option<u64>, String> {
        let size: u64 = if wide { 8 } else { 4 };
        // A column without rows may come without offsets.
        let least = if rows == 0 { 0 } else { (rows + 1).saturating_mul(size) };
        let Some(bytes) = self.buffer(least)? else { return Ok(None) };
        if rows == 0 {
            return Ok(Some(0));
        }
        let at = |index: u64| -> Option<i64> {
            let from = usize::try_from(index * size).ok()?;
            let bytes = bytes.get(from..)?;
            if wide {
                bytes.first_chunk::<8>().map(|b| i64::from_le_bytes(*b))
            } else {
                bytes.first_chunk::<4>().map(|b| i32::from_le_bytes(*b).into())
            }
        };
        match (at(0), at(rows)) {
            (Some(first), Some(last)) if 0 <= first && first <= last => Ok(Some(last as u64)),
            _ => Err("offsets that run backwards".to_owned()),
        }
    }

    fn validity(&mut self, rows: u64, nulls: u64) -> Result<(), String> {
        self.buffer(if nulls == 0 { 0 } else { rows.div_ceil(8) }).map(|_| ())
    }

    /// A column of a kind, with so many rows if that is known.
    fn column(&mut self, kind: &DataType, rows: Option<i64>) -> Result<(), String> {
        use DataType as T;
        let (length, nulls) = self.nodes.next().ok_or("a column is missing")?;
        if rows.is_some_and(|rows| rows != length) || length < 0 || nulls < 0 || nulls > length {
            return Err("a column whose length makes no sense".to_owned());
        }
        let (rows, nulls) = (length as u64, nulls as u64);
        let fixed = |bits: u64| rows.saturating_mul(bits).div_ceil(8);
        match kind {
            T::Null => {}
            T::Utf8 | T::Binary | T::LargeUtf8 | T::LargeBinary => {
                self.validity(rows, nulls)?;
                let wide = matches!(kind, T::LargeUtf8 | T::LargeBinary);
                let end = self.offsets(rows, wide)?;
                self.buffer(end.unwrap_or(0))?;
            }
            T::Utf8View | T::BinaryView => {
                self.validity(rows, nulls)?;
                self.buffer(fixed(128))?;
                let count =
                    self.variadic.next().filter(|&n| n >= 0).ok_or("a count of buffers is missing")?;
                for _ in 0..count {
                    self.buffer(0)?;
                }
            }
            T::List(child) | T::LargeList(child) | T::Map(child, _) => {
                self.validity(rows, nulls)?;
                let end = self.offsets(rows, matches!(kind, T::LargeList(_)))?;
                let held = self.nodes.as_slice().first().map_or(0, |node| node.0);
                if end.is_some_and(|end| i64::try_from(end).is_ok_and(|end| end > held)) {
                    return Err("a list that ends behind its entries".to_owned());
                }
                self.column(child.data_type(), None)?;
            }
            T::ListView(child) | T::LargeListView(child) => {
                self.validity(rows, nulls)?;
                let bits = if matches!(kind, T::LargeListView(_)) { 64 } else { 32 };
                self.buffer(fixed(bits))?;
                self.buffer(fixed(bits))?;
                self.column(child.data_type(), None)?;
            }
            T::FixedSizeList(child, size) => {
                self.validity(rows, nulls)?;
                let entries = length.checked_mul(i64::from(*size)).ok_or("a list that is too long")?;
                self.column(child.data_type(), Some(entries))?;
            }
            T::Struct(fields) => {
                self.validity(rows, nulls)?;
                for field in fields {
                    self.column(field.data_type(), Some(length))?;
                }
            }
            T::Union(fields, mode) => {
                self.buffer(fixed(8))?;
                let sparse = *mode == arrow_schema::UnionMode::Sparse;
                if !sparse {
                    self.buffer(fixed(32))?;
                }
                for (_, field) in fields.iter() {
                    self.column(field.data_type(), sparse.then_some(length))?;
                }
            }
            T::RunEndEncoded(ends, values) => {
                self.column(ends.data_type(), None)?;
                self.column(values.data_type(), None)?;
            }
            T::Dictionary(key, _) => {
                self.validity(rows, nulls)?;
                self.buffer(fixed(bits(key)?))?;
            }
            kind => {
                self.validity(rows, nulls)?;
                self.buffer(fixed(bits(kind)?))?;
            }
        }
        Ok(())
    }
}

/// How many bits an entry of a plain column takes.
fn bits(kind: &DataType) -> Result<u64, String> {
    use DataType as T;
    Ok(match kind {
        T::Boolean => 1,
        T::FixedSizeBinary(size) => u64::try_from(*size).map_err(|e| e.to_string())? * 8,
        kind => {
            kind.primitive_width().ok_or_else(|| format!("a column of a kind that is not taken: {kind}"))?
                as u64
                * 8
        }
    })
}

/// A message on its way to a client: a header, and a body in pieces that are not copied.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    /// The header.
    pub header: Bytes,
    /// The body's pieces.
    pub body: Vec<Bytes>,
}

/// The parts of a batch's header, while it is being written anew.
struct Lists {
    nodes: Vec<FieldNode>,
    buffers: Vec<Buffer>,
    variadic: Option<Vec<i64>>,
}

impl Lists {
    fn of(batch: RecordBatch<'_>) -> Self {
        Self {
            nodes: batch.nodes().iter().flatten().copied().collect(),
            buffers: batch.buffers().iter().flatten().copied().collect(),
            variadic: batch.variadicBufferCounts().map(|counts| counts.iter().collect()),
        }
    }

    fn write<'f>(
        &self,
        fbb: &mut FlatBufferBuilder<'f>,
        batch: RecordBatch<'_>,
    ) -> flatbuffers::WIPOffset<RecordBatch<'f>> {
        let nodes = fbb.create_vector(&self.nodes);
        let buffers = fbb.create_vector(&self.buffers);
        let variadic = self.variadic.as_ref().map(|counts| fbb.create_vector(counts));
        let compression = batch.compression().map(|said| {
            let mut builder = BodyCompressionBuilder::new(fbb);
            builder.add_codec(said.codec());
            builder.add_method(said.method());
            builder.finish()
        });
        let mut builder = RecordBatchBuilder::new(fbb);
        builder.add_length(batch.length());
        builder.add_nodes(nodes);
        builder.add_buffers(buffers);
        variadic.into_iter().for_each(|variadic| builder.add_variadicBufferCounts(variadic));
        compression.into_iter().for_each(|compression| builder.add_compression(compression));
        builder.finish()
    }
}

fn finish(
    fbb: &mut FlatBufferBuilder<'_>,
    kind: MessageHeader,
    header: flatbuffers::WIPOffset<flatbuffers::UnionWIPOffset>,
    body: usize,
) -> Bytes {
    let mut builder = MessageBuilder::new(fbb);
    builder.add_version(MetadataVersion::V5);
    builder.add_header_type(kind);
    builder.add_header(header);
    builder.add_bodyLength(i64::try_from(body).unwrap_or(i64::MAX));
    let root = builder.finish();
    fbb.finish(root, None);
    Bytes::copy_from_slice(fbb.finished_data())
}

const ZEROS: Bytes = Bytes::from_static(&[0; ALIGN]);

/// A record batch with a column behind the others that names its part.
///
/// # Errors
/// It is no record batch.
pub fn with_shard_column(message: &Message, shard: ShardId) -> Result<EncodedMessage, String> {
    let head = arrow_ipc::root_as_message(&message.header).map_err(|e| e.to_string())?;
    let batch = head.header_as_record_batch().ok_or("no record batch")?;
    let rows = usize::try_from(batch.length()).map_err(|e| e.to_string())?;
    let mut column = Vec::with_capacity(rows * 4 + 2 * ALIGN);
    if batch.compression().is_some() && rows > 0 {
        // In a compressed body each buffer says how long it is; this one says that it is as it is.
        column.extend_from_slice(&(-1_i64).to_le_bytes());
    }
    for _ in 0..rows {
        column.extend_from_slice(&shard.0.to_le_bytes());
    }
    let length = column.len();
    column.resize(length.next_multiple_of(ALIGN), 0);
    let mut body = vec![message.body.clone()];
    let gap = message.body.len().next_multiple_of(ALIGN) - message.body.len();
    if gap > 0 {
        body.push(ZEROS.slice(..gap));
    }
    let at = message.body.len() + gap;
    let total = at + column.len();
    body.push(column.into());
    let place = |bytes: usize| i64::try_from(bytes).map_err(|e| e.to_string());
    let mut lists = Lists::of(batch);
    lists.nodes.push(FieldNode::new(batch.length(), 0));
    lists.buffers.push(Buffer::new(place(at)?, 0));
    lists.buffers.push(Buffer::new(place(at)?, place(length)?));
    let mut fbb = FlatBufferBuilder::new();
    let root = lists.write(&mut fbb, batch);
    let header = finish(&mut fbb, MessageHeader::RecordBatch, root.as_union_value(), total);
    Ok(EncodedMessage { header, body })
}

/// A dictionary under another id; as it is where the id stays.
///
/// # Errors
/// It is no dictionary.
pub fn with_dictionary_id(message: &Message, id: i64) -> Result<EncodedMessage, String> {
    let head = arrow_ipc::root_as_message(&message.header).map_err(|e| e.to_string())?;
    let dictionary = head.header_as_dictionary_batch().ok_or("no dictionary")?;
    let body = vec![message.body.clone()];
    if dictionary.id() == id {
        return Ok(EncodedMessage { header: message.header.clone(), body });
    }
    let batch = dictionary.data().ok_or("a dictionary without values")?;
    let mut fbb = FlatBufferBuilder::new();
    let data = Lists::of(batch).write(&mut fbb, batch);
    let mut builder = DictionaryBatchBuilder::new(&mut fbb);
    builder.add_id(id);
    builder.add_data(data);
    builder.add_isDelta(dictionary.isDelta());
    let root = builder.finish();
    let header = finish(&mut fbb, MessageHeader::DictionaryBatch, root.as_union_value(), message.body.len());
    Ok(EncodedMessage { header, body })
}

/// The id of a dictionary's message; `None` for any other message.
#[must_use]
pub fn dictionary_id(message: &Message) -> Option<i64> {
    let head = arrow_ipc::root_as_message(&message.header).ok()?;
    head.header_as_dictionary_batch().map(|dictionary| dictionary.id())
}
