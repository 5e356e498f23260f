//! An upper bound on the JSON text of record batches, computed before any of it is written.
//!
//! A few bytes of a table can stand for any amount of text: a list of nulls needs no bytes for its items, rows can share
//! one long value of a dictionary, and list views can overlap. So the text is measured first, and a table whose text would
//! exceed its limit is not written at all. Each value that is measured spends at least one byte of the limit, which
//! bounds the time as well.

use std::ops::Range;

use arrow_array::cast::AsArray;
use arrow_array::types::{ArrowDictionaryKeyType, RunEndIndexType};
use arrow_array::{
    downcast_dictionary_array, downcast_run_array, Array, DictionaryArray, GenericListViewArray,
    OffsetSizeTrait, RecordBatch, RunArray, StructArray,
};
use arrow_buffer::ArrowNativeType;
use arrow_cast::display::{ArrayFormatter, FormatOptions};
use arrow_schema::{ArrowError, DataType};

/// Bytes of `null`.
const NULL_BYTES: u64 = 4;
/// Bytes of the separator in front of or behind a value: a comma, or the colon behind a key.
const SEPARATOR_BYTES: u64 = 1;
/// Bytes of the quotes around a text, or of the brackets around a list or object.
const ENCLOSING_BYTES: u64 = 2;
/// Bytes of any value besides its content. A null is longer than the quotes or brackets of an empty value.
const VALUE_BYTES: u64 = SEPARATOR_BYTES + NULL_BYTES;
/// Bytes of the longest floating-point number: a sign, a point, 17 digits, and an exponent or leading zeros.
const MAX_FLOAT_BYTES: u64 = 32;
/// Additional bytes of a control character as `\u00XX`.
const LONG_ESCAPE_BYTES: u64 = 5;

/// Why the text of a table cannot be measured, or must not be written.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The text may exceed the limit.
    #[error("more text than may be made of one table")]
    TooLong,
    /// A value refers to a null in its dictionary, on which the library's writer panics.
    #[error("a dictionary value that is null")]
    NullDictionaryValue,
    /// A column's values cannot be formatted.
    #[error(transparent)]
    Format(#[from] ArrowError),
}

/// Checks that the JSON text of some record batches, a list of objects or an object a line, has at most `limit` bytes.
///
/// # Errors
/// The text may be longer, or a column cannot be formatted.
pub fn check_json_size(batches: &[RecordBatch], limit: usize) -> Result<(), MeasureError> {
    let mut budget = Budget { remaining: limit as u64 };
    budget.spend(ENCLOSING_BYTES)?;
    for batch in batches {
        budget.spend_struct(&StructArray::from(batch.clone()), 0..batch.num_rows())?;
    }
    Ok(())
}

/// The bytes that the remaining text may have.
struct Budget {
    remaining: u64,
}

impl Budget {
    fn spend(&mut self, bytes: u64) -> Result<(), MeasureError> {
        self.remaining = self.remaining.checked_sub(bytes).ok_or(MeasureError::TooLong)?;
        Ok(())
    }

    fn spend_each(&mut self, values: &Range<usize>, bytes: u64) -> Result<(), MeasureError> {
        self.spend((values.len() as u64).saturating_mul(bytes))
    }

    /// Spends the content of a text. Its length is spent before the text is read.
    fn spend_text(&mut self, text: &[u8]) -> Result<(), MeasureError> {
        self.spend(text.len() as u64)?;
        self.spend(text.iter().map(|byte| escape_bytes(*byte)).sum())
    }

    /// Spends these values of an array, each with its separator.
    fn spend_values(&mut self, array: &dyn Array, values: Range<usize>) -> Result<(), MeasureError> {
        use DataType as T;
        if values.is_empty() {
            return Ok(());
        }
        match array.data_type() {
            T::Utf8 => self.spend_strings::<i32>(array, values),
            T::LargeUtf8 => self.spend_strings::<i64>(array, values),
            T::Utf8View => self.spend_string_views(array, values),
            T::Binary => self.spend_binaries::<i32>(array, values),
            T::LargeBinary => self.spend_binaries::<i64>(array, values),
            T::BinaryView => self.spend_binary_views(array, values),
            T::FixedSizeBinary(size) => self.spend_each(&values, VALUE_BYTES + 2 * (*size).max(0) as u64),
            T::Struct(_) => self.spend_struct(array.as_struct(), values),
            T::List(_) => self.spend_lists::<i32>(array, values),
            T::LargeList(_) => self.spend_lists::<i64>(array, values),
            T::ListView(_) => self.spend_list_views(array.as_list_view::<i32>(), values),
            T::LargeListView(_) => self.spend_list_views(array.as_list_view::<i64>(), values),
            T::FixedSizeList(..) => self.spend_fixed_size_lists(array, values),
            T::Map(..) => self.spend_maps(array, values),
            T::Dictionary(..) => downcast_dictionary_array!(
                array => self.spend_dictionary(array, values),
                _ => Ok(())
            ),
            T::RunEndEncoded(..) => downcast_run_array!(
                array => self.spend_runs(array, values),
                _ => Ok(())
            ),
            other => match number_bytes(other) {
                Some(bytes) => self.spend_each(&values, SEPARATOR_BYTES + bytes.max(NULL_BYTES)),
                None => self.spend_formatted(array, values),
            },
        }
    }

    /// Spends values that are written as the library formats them: decimals, dates, times and intervals.
    fn spend_formatted(&mut self, array: &dyn Array, values: Range<usize>) -> Result<(), MeasureError> {
        let is_formatted = array.data_type().is_temporal() || array.data_type().is_decimal();
        if !is_formatted {
            // The writer rejects any other type before it writes anything.
            return Ok(());
        }
        let options = FormatOptions::new().with_display_error(true);
        let formatter = ArrayFormatter::try_new(array, &options)?;
        for index in values {
            self.spend(VALUE_BYTES)?;
            self.spend(formatter.value(index).to_string().len() as u64)?;
        }
        Ok(())
    }

    fn spend_strings<O: OffsetSizeTrait>(
        &mut self,
        array: &dyn Array,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        let strings = array.as_string::<O>();
        self.spend_each(&values, VALUE_BYTES)?;
        let content = content_range(strings.value_offsets(), &values);
        self.spend_text(&strings.value_data()[content])
    }

    fn spend_string_views(&mut self, array: &dyn Array, values: Range<usize>) -> Result<(), MeasureError> {
        let strings = array.as_string_view();
        self.spend_each(&values, VALUE_BYTES)?;
        for index in values.filter(|&index| strings.is_valid(index)) {
            self.spend_text(strings.value(index).as_bytes())?;
        }
        Ok(())
    }

    /// Spends binary values, which are written in hexadecimal.
    fn spend_binaries<O: OffsetSizeTrait>(
        &mut self,
        array: &dyn Array,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        let binaries = array.as_binary::<O>();
        self.spend_each(&values, VALUE_BYTES)?;
        let content = content_range(binaries.value_offsets(), &values);
        self.spend_each(&content, 2)
    }

    fn spend_binary_views(&mut self, array: &dyn Array, values: Range<usize>) -> Result<(), MeasureError> {
        let binaries = array.as_binary_view();
        self.spend_each(&values, VALUE_BYTES)?;
        for index in values.filter(|&index| binaries.is_valid(index)) {
            self.spend(2 * binaries.value(index).len() as u64)?;
        }
        Ok(())
    }

    fn spend_struct(&mut self, array: &StructArray, values: Range<usize>) -> Result<(), MeasureError> {
        self.spend_each(&values, VALUE_BYTES)?;
        for (field, column) in array.fields().iter().zip(array.columns()) {
            let name = field.name().as_bytes();
            let escapes: u64 = name.iter().map(|byte| escape_bytes(*byte)).sum();
            self.spend_each(&values, ENCLOSING_BYTES + SEPARATOR_BYTES + name.len() as u64 + escapes)?;
            self.spend_values(column, values.clone())?;
        }
        Ok(())
    }

    fn spend_lists<O: OffsetSizeTrait>(
        &mut self,
        array: &dyn Array,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        let lists = array.as_list::<O>();
        self.spend_each(&values, VALUE_BYTES)?;
        self.spend_values(lists.values(), content_range(lists.value_offsets(), &values))
    }

    fn spend_list_views<O: OffsetSizeTrait>(
        &mut self,
        lists: &GenericListViewArray<O>,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        self.spend_each(&values, VALUE_BYTES)?;
        for index in values.filter(|&index| lists.is_valid(index)) {
            let start = lists.value_offset(index).as_usize();
            self.spend_values(lists.values(), start..start + lists.value_size(index).as_usize())?;
        }
        Ok(())
    }

    fn spend_fixed_size_lists(
        &mut self,
        array: &dyn Array,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        let lists = array.as_fixed_size_list();
        self.spend_each(&values, VALUE_BYTES)?;
        let start = lists.value_offset_at(values.start);
        let items = values.len() * lists.value_length().as_usize();
        self.spend_values(lists.values(), start..start + items)
    }

    fn spend_maps(&mut self, array: &dyn Array, values: Range<usize>) -> Result<(), MeasureError> {
        let maps = array.as_map();
        self.spend_each(&values, VALUE_BYTES)?;
        let entries = content_range(maps.value_offsets(), &values);
        self.spend_values(maps.keys(), entries.clone())?;
        self.spend_values(maps.values(), entries)
    }

    fn spend_dictionary<K: ArrowDictionaryKeyType>(
        &mut self,
        array: &DictionaryArray<K>,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        self.spend_each(&values, VALUE_BYTES)?;
        let holds_nulls_only = array.values().data_type() == &DataType::Null;
        for index in values.filter(|&index| array.is_valid(index)) {
            if holds_nulls_only {
                return Err(MeasureError::NullDictionaryValue);
            }
            let key = array.keys().value(index).as_usize();
            self.spend_values(array.values(), key..key + 1)?;
        }
        Ok(())
    }

    fn spend_runs<R: RunEndIndexType>(
        &mut self,
        array: &RunArray<R>,
        values: Range<usize>,
    ) -> Result<(), MeasureError> {
        self.spend_each(&values, VALUE_BYTES)?;
        for index in values {
            let run = array.get_physical_index(index);
            self.spend_values(array.values(), run..run + 1)?;
        }
        Ok(())
    }
}

/// Returns the entries or bytes that these values refer to.
fn content_range<O: OffsetSizeTrait>(offsets: &[O], values: &Range<usize>) -> Range<usize> {
    offsets[values.start].as_usize()..offsets[values.end].as_usize()
}

/// Returns the additional bytes that a byte of a text needs because it is escaped.
fn escape_bytes(byte: u8) -> u64 {
    match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 1,
        0..0x20 => LONG_ESCAPE_BYTES,
        _ => 0,
    }
}

/// Returns the maximum bytes of a value of a numeric or boolean type or of null; `None` for other types.
fn number_bytes(data_type: &DataType) -> Option<u64> {
    use DataType as T;
    Some(match data_type {
        T::Null => NULL_BYTES,
        T::Boolean => "false".len() as u64,
        T::Int8 => "-128".len() as u64,
        T::UInt8 => "255".len() as u64,
        T::Int16 => "-32768".len() as u64,
        T::UInt16 => "65535".len() as u64,
        T::Int32 => "-2147483648".len() as u64,
        T::UInt32 => "4294967295".len() as u64,
        T::Int64 => "-9223372036854775808".len() as u64,
        T::UInt64 => "18446744073709551615".len() as u64,
        T::Float16 | T::Float32 | T::Float64 => MAX_FLOAT_BYTES,
        _ => return None,
    })
}
