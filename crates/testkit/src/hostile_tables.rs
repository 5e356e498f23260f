//! Tables of some kilobytes that stand for hundreds of megabytes: for tests of limits on memory.

use std::sync::Arc;

use arrow_array::types::{Int32Type, Int8Type};
use arrow_array::{
    Array, ArrayRef, DictionaryArray, FixedSizeListArray, Int32Array, Int8Array, LargeListArray, ListArray,
    NullArray, RecordBatch, RunArray, StringArray, StringViewArray, StructArray,
};
use arrow_buffer::OffsetBuffer;
use arrow_ipc::CompressionType;
use arrow_schema::{Field, Schema};

use crate::columns::TableEncoding;

/// How many values without bytes a table states. As text they need 500 MB.
const STATED_VALUES: usize = 100_000_000;
/// Rows that share one long value.
const ROWS: usize = 1600;
/// Length of the shared value: the text of all rows has 60 MB. It fits into a client's first window.
const SHARED_VALUE_BYTES: usize = 38_000;
/// Columns whose dictionaries are compressed, and the bytes of each after decompression: 240 MB together.
const COMPRESSED_DICTIONARIES: usize = 60;
const COMPRESSED_VALUE_BYTES: usize = 4_000_000;

/// A table, and how it is encoded.
#[derive(Clone)]
pub struct HostileTable {
    /// What makes it hostile.
    pub name: &'static str,
    /// Its only record batch.
    pub batch: RecordBatch,
    /// The encoding that makes it small.
    pub encoding: TableEncoding,
}

/// All tables that a client may send as queries: none has more rows than a client's batch may have.
pub fn hostile_tables() -> Vec<HostileTable> {
    let plain = TableEncoding::default();
    let compressed = TableEncoding { body_compression: Some(CompressionType::ZSTD), gzip: false };
    let table =
        |name, columns: Vec<ArrayRef>, encoding| HostileTable { name, batch: batch(columns), encoding };
    let nulls = || -> ArrayRef { Arc::new(NullArray::new(STATED_VALUES)) };
    let structs: ArrayRef = Arc::new(StructArray::new_empty_fields(STATED_VALUES, None));
    vec![
        table("list of nulls", vec![one_list(nulls())], plain),
        table("list of empty structs", vec![one_list(structs)], plain),
        table("fixed-size list of nulls", vec![one_fixed_size_list(nulls())], plain),
        table("list of runs", vec![one_list(one_run())], plain),
        table("shared dictionary value", vec![shared_dictionary_value()], plain),
        table("shared view", vec![shared_view()], plain),
        table("shared list", vec![shared_list()], plain),
        table("compressed dictionaries", compressed_dictionaries(), compressed),
    ]
}

/// A table of very many rows without bytes. Only a backend may send so many rows.
pub fn rows_of_nulls() -> HostileTable {
    let columns: Vec<ArrayRef> = vec![Arc::new(NullArray::new(STATED_VALUES))];
    HostileTable { name: "rows of nulls", batch: batch(columns), encoding: TableEncoding::default() }
}

fn batch(columns: Vec<ArrayRef>) -> RecordBatch {
    let field = |(number, column): (usize, &ArrayRef)| {
        Field::new(format!("column-{number}"), column.data_type().clone(), true)
    };
    let schema = Schema::new(columns.iter().enumerate().map(field).collect::<Vec<_>>());
    RecordBatch::try_new(Arc::new(schema), columns).expect("a batch")
}

fn item(values: &ArrayRef) -> Arc<Field> {
    Arc::new(Field::new("item", values.data_type().clone(), true))
}

/// One list with all the values.
fn one_list(values: ArrayRef) -> ArrayRef {
    let offsets = OffsetBuffer::from_lengths([values.len()]);
    Arc::new(LargeListArray::new(item(&values), offsets, values, None))
}

fn one_fixed_size_list(values: ArrayRef) -> ArrayRef {
    Arc::new(FixedSizeListArray::new(item(&values), values.len() as i32, values, None))
}

/// One short text that is repeated.
fn one_run() -> ArrayRef {
    let ends = Int32Array::from(vec![STATED_VALUES as i32]);
    Arc::new(RunArray::<Int32Type>::try_new(&ends, &StringArray::from(vec!["x"])).expect("a run"))
}

fn shared_dictionary_value() -> ArrayRef {
    let values: ArrayRef = Arc::new(StringArray::from(vec!["x".repeat(SHARED_VALUE_BYTES)]));
    Arc::new(DictionaryArray::<Int8Type>::new(Int8Array::from(vec![0; ROWS]), values))
}

fn shared_view() -> ArrayRef {
    let long = StringViewArray::from_iter_values(["x".repeat(SHARED_VALUE_BYTES)]);
    let views = vec![long.views()[0]; ROWS];
    Arc::new(StringViewArray::new(views.into(), long.data_buffers().to_vec(), None))
}

/// One long list as a dictionary value that all rows share.
fn shared_list() -> ArrayRef {
    let values: ArrayRef = Arc::new(Int8Array::from(vec![1; SHARED_VALUE_BYTES]));
    let offsets = OffsetBuffer::from_lengths([SHARED_VALUE_BYTES]);
    let list: ArrayRef = Arc::new(ListArray::new(item(&values), offsets, values, None));
    Arc::new(DictionaryArray::<Int8Type>::new(Int8Array::from(vec![0; ROWS]), list))
}

/// One row of long values that compress to a few bytes, each in the dictionary of a column.
fn compressed_dictionaries() -> Vec<ArrayRef> {
    let column = |_| -> ArrayRef {
        let values: ArrayRef = Arc::new(StringArray::from(vec!["x".repeat(COMPRESSED_VALUE_BYTES)]));
        Arc::new(DictionaryArray::<Int8Type>::new(Int8Array::from(vec![0]), values))
    };
    (0..COMPRESSED_DICTIONARIES).map(column).collect()
}
