//! The size that a table's text is measured to have, against the text that is written of it.

use std::sync::Arc;

use arrow_array::builder::{Int8Builder, MapBuilder, StringBuilder};
use arrow_array::types::{Float64Type, Int32Type, Int64Type, Int8Type, UInt16Type};
use arrow_array::{
    Array, ArrayRef, BinaryArray, BinaryViewArray, BooleanArray, Decimal128Array, DictionaryArray,
    DurationMicrosecondArray, FixedSizeBinaryArray, FixedSizeListArray, Int32Array, Int8Array,
    LargeStringArray, ListArray, ListViewArray, NullArray, PrimitiveArray, RecordBatch, RunArray,
    StringArray, StringViewArray, StructArray, TimestampSecondArray,
};
use arrow_buffer::{NullBuffer, OffsetBuffer};
use arrow_schema::{Field, Fields};
use mallowgauge_flight::json_size::{check_json_size, MeasureError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Texts, some of them null, with characters that are escaped.
fn texts() -> impl Strategy<Value = Vec<Option<String>>> {
    let character =
        prop_oneof![any::<char>(), (0..0x20_u8).prop_map(char::from), Just('"'), Just('\\'), Just('a')];
    let text = prop::collection::vec(character, 0..6).prop_map(|all| all.into_iter().collect::<String>());
    prop::collection::vec(prop::option::of(text), 1..8)
}

fn item(values: &ArrayRef) -> Arc<Field> {
    Arc::new(Field::new("item", values.data_type().clone(), true))
}

/// A struct array of these columns, which have equal lengths.
fn structs(columns: &[(&str, ArrayRef)]) -> ArrayRef {
    let fields: Fields =
        columns.iter().map(|(name, column)| Field::new(*name, column.data_type().clone(), true)).collect();
    Arc::new(StructArray::new(fields, columns.iter().map(|(_, column)| Arc::clone(column)).collect(), None))
}

/// A map with one entry in each row.
fn map(keys: &[Option<String>]) -> ArrayRef {
    let mut builder = MapBuilder::new(None, StringBuilder::new(), Int8Builder::new());
    for key in keys {
        builder.keys().append_value(key.as_deref().unwrap_or_default());
        builder.values().append_value(1);
        builder.append(true).expect("as many keys as values");
    }
    Arc::new(builder.finish())
}

/// Columns of each type that can be written as JSON, made from texts and a number for each row.
fn columns(texts: &[Option<String>], number: i64) -> Vec<ArrayRef> {
    let rows = texts.len();
    let strings: ArrayRef = Arc::new(StringArray::from(texts.to_vec()));
    let nulls = NullBuffer::from_iter(texts.iter().map(Option::is_some));
    let bytes = || texts.iter().map(|text| text.as_ref().map(String::as_bytes));
    let numbers = PrimitiveArray::<Int64Type>::from_iter_values((0..rows).map(|row| number ^ row as i64));
    let floats = (0..rows).map(|row| f64::from_bits((number as u64).rotate_left(row as u32)));
    let small = Int8Array::from_iter_values((0..rows).map(|row| (number >> row) as i8));
    let keys = || Int8Array::new((0..rows as i8).rev().collect(), Some(nulls.clone()));
    let offsets = || OffsetBuffer::from_lengths(vec![1; rows]);
    let list: ArrayRef =
        Arc::new(ListArray::new(item(&strings), offsets(), Arc::clone(&strings), Some(nulls.clone())));
    let views_into_all = || (vec![0_i32; rows].into(), vec![rows as i32; rows].into());
    let (starts, sizes) = views_into_all();
    let ends = Int32Array::from(vec![rows as i32]);
    vec![
        Arc::new(NullArray::new(rows)),
        Arc::new(BooleanArray::new((0..rows).map(|row| row % 2 == 0).collect(), Some(nulls.clone()))),
        Arc::new(numbers.unary::<_, UInt16Type>(|number| number as u16)),
        Arc::new(PrimitiveArray::<Float64Type>::from_iter_values(floats)),
        Arc::new(Decimal128Array::from_iter_values((0..rows).map(|row| i128::from(number) << row))),
        Arc::new(numbers.unary::<_, Int32Type>(|number| number as i32)),
        Arc::new(TimestampSecondArray::from_iter_values(numbers.values().iter().copied())),
        Arc::new(DurationMicrosecondArray::from_iter_values(numbers.values().iter().copied())),
        Arc::new(numbers),
        Arc::new(LargeStringArray::from(texts.to_vec())),
        Arc::new(StringViewArray::from_iter(texts.iter().map(Option::as_deref))),
        Arc::new(BinaryArray::from_iter(bytes())),
        Arc::new(BinaryViewArray::from_iter(bytes())),
        Arc::new(FixedSizeBinaryArray::try_from_iter((0..rows).map(|_| [7_u8; 3])).expect("values")),
        Arc::new(FixedSizeListArray::new(item(&strings), 1, Arc::clone(&strings), Some(nulls.clone()))),
        Arc::new(ListViewArray::new(item(&list), starts, sizes, Arc::clone(&list), Some(nulls.clone()))),
        Arc::new(DictionaryArray::<Int8Type>::new(keys(), Arc::clone(&strings))),
        Arc::new(DictionaryArray::<Int8Type>::new(keys(), Arc::clone(&list))),
        Arc::new(RunArray::<Int32Type>::try_new(&ends, &*strings.slice(0, 1)).expect("a run")),
        map(texts),
        structs(&[("a \"name\"\n", strings), ("empty", Arc::new(small)), ("list", list)]),
    ]
}

fn batch(column: ArrayRef) -> RecordBatch {
    RecordBatch::try_from_iter_with_nullable([("column", column, true)]).expect("a batch")
}

fn written_bytes(batches: &[RecordBatch]) -> usize {
    let mut writer = arrow_json::ArrayWriter::new(Vec::new());
    writer.write_batches(&batches.iter().collect::<Vec<_>>()).expect("values that can be written");
    writer.finish().expect("values that can be written");
    writer.into_inner().len()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    // Guards the limit on text: no table becomes longer text than it is measured to have, and none is measured as much
    // longer than it is.
    #[test]
    fn text_is_never_longer_than_measured(texts in texts(), number in any::<i64>()) {
        for column in columns(&texts, number) {
            let batches = [batch(Arc::clone(&column)), batch(column.slice(column.len() / 2, column.len() - column.len() / 2))];
            let written = written_bytes(&batches);
            let shorter = check_json_size(&batches, written - 1);
            prop_assert!(matches!(shorter, Err(MeasureError::TooLong)), "{}: {written} bytes", column.data_type());
            let much_longer = check_json_size(&batches, written * 8 + 64);
            prop_assert!(much_longer.is_ok(), "{}: {written} bytes, {much_longer:?}", column.data_type());
        }
    }
}

// Guards the time that measuring takes: lists that share their items again and again are not walked to the end.
#[test]
fn measuring_stops_at_the_limit() {
    let mut values: ArrayRef = Arc::new(Int8Array::from(vec![1; 100]));
    for _ in 0..12 {
        let (starts, sizes) = (vec![0_i32; 100].into(), vec![100_i32; 100].into());
        values = Arc::new(ListViewArray::new(item(&values), starts, sizes, values, None));
    }
    let too_long = check_json_size(&[batch(values)], 1 << 20);
    assert!(matches!(too_long, Err(MeasureError::TooLong)));
}
