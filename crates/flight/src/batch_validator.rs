//! Validates the header of a record batch against its schema and its body.
//!
//! The values in the columns are not inspected. Each buffer is checked to lie inside the body and to be as long as its
//! column needs. What a reader needs beyond the body is added up in a [`DecodedSize`], which the caller limits before
//! anything is decoded.

use arrow_ipc::RecordBatch;
use arrow_schema::{DataType, Field};

/// The length that marks an uncompressed buffer in a compressed body.
pub(crate) const UNCOMPRESSED_BUFFER: i64 = -1;

/// Validates a record batch by reading its lists of columns, buffers and counts in the order that a reader
/// does.
struct BatchValidator<'a> {
    /// The length and the null count of each column.
    nodes: std::vec::IntoIter<(i64, i64)>,
    /// The offset and the length of each buffer in the body.
    buffers: std::vec::IntoIter<(i64, i64)>,
    /// The number of data buffers of each view column.
    variadic_counts: std::vec::IntoIter<i64>,
    body: &'a [u8],
    compressed: bool,
    size: DecodedSize,
}

/// What a header states beyond the bytes of its body. A few bytes can state any amount of either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DecodedSize {
    /// The total decompressed size of the compressed buffers, in bytes.
    pub(crate) decompressed_bytes: u64,
    /// The number of values in columns whose own buffers need no bytes: nulls, structs, lists of a fixed size and runs.
    pub(crate) values_without_bytes: u64,
}

impl DecodedSize {
    /// Returns the sum of two sizes.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            decompressed_bytes: self.decompressed_bytes.saturating_add(other.decompressed_bytes),
            values_without_bytes: self.values_without_bytes.saturating_add(other.values_without_bytes),
        }
    }
}

/// Validates a record batch against its columns. Returns what it states beyond its body.
pub(crate) fn validate_batch(
    batch: RecordBatch<'_>,
    columns: &[&Field],
    body: &[u8],
) -> Result<DecodedSize, String> {
    let nodes: Vec<_> = batch.nodes().iter().flatten().map(|n| (n.length(), n.null_count())).collect();
    let buffers: Vec<_> = batch.buffers().iter().flatten().map(|b| (b.offset(), b.length())).collect();
    let variadic_counts: Vec<i64> = batch.variadicBufferCounts().iter().flatten().collect();
    let mut validator = BatchValidator {
        nodes: nodes.into_iter(),
        buffers: buffers.into_iter(),
        variadic_counts: variadic_counts.into_iter(),
        body,
        compressed: batch.compression().is_some(),
        size: DecodedSize::default(),
    };
    for column in columns {
        validator.column(column.data_type(), Some(batch.length()))?;
    }
    if validator.nodes.next().is_some() || validator.buffers.next().is_some() {
        return Err("more columns than the schema has".to_owned());
    }
    Ok(validator.size)
}

impl BatchValidator<'_> {
    /// Checks that the next buffer has at least `min_bytes` bytes, decompressed. Returns its bytes, unless it
    /// is compressed.
    fn buffer(&mut self, min_bytes: u64) -> Result<Option<&[u8]>, String> {
        let (offset, length) = self.buffers.next().ok_or("a buffer is missing")?;
        let (offset, length) = (usize::try_from(offset), usize::try_from(length));
        let (offset, length) = offset.ok().zip(length.ok()).ok_or("a buffer of a negative place")?;
        let end = offset.checked_add(length).filter(|&end| end <= self.body.len());
        let bytes = &self.body[offset.min(self.body.len())..end.ok_or("a buffer outside its body")?];
        let size = if self.compressed && !bytes.is_empty() {
            let prefix = bytes.first_chunk::<8>().ok_or("a compressed buffer that is too short")?;
            match i64::from_le_bytes(*prefix) {
                UNCOMPRESSED_BUFFER => bytes.len() as u64 - 8,
                stated => {
                    let stated =
                        u64::try_from(stated).map_err(|_| "a compressed buffer of a negative length")?;
                    let decompressed = &mut self.size.decompressed_bytes;
                    *decompressed = decompressed.saturating_add(stated);
                    stated
                }
            }
        } else {
            bytes.len() as u64
        };
        if size < min_bytes {
            return Err("a buffer that is too short for its column".to_owned());
        }
        Ok((!self.compressed).then_some(bytes))
    }

    /// Checks an offsets buffer. Returns its last offset, which is the number of entries or bytes that it
    /// refers to; `None` if the buffer is compressed.
    fn offsets(&mut self, rows: u64, is_large: bool) -> Result<Option<u64>, String> {
        let size: u64 = if is_large { 8 } else { 4 };
        // A column without rows may have an empty offsets buffer.
        let min_bytes = if rows == 0 { 0 } else { (rows + 1).saturating_mul(size) };
        let Some(bytes) = self.buffer(min_bytes)? else { return Ok(None) };
        if rows == 0 {
            return Ok(Some(0));
        }
        let offset_at = |index: u64| -> Option<i64> {
            let start = usize::try_from(index * size).ok()?;
            let bytes = bytes.get(start..)?;
            if is_large {
                bytes.first_chunk::<8>().map(|b| i64::from_le_bytes(*b))
            } else {
                bytes.first_chunk::<4>().map(|b| i32::from_le_bytes(*b).into())
            }
        };
        match (offset_at(0), offset_at(rows)) {
            (Some(first), Some(last)) if 0 <= first && first <= last => Ok(Some(last as u64)),
            _ => Err("offsets that run backwards".to_owned()),
        }
    }

    /// Checks a validity bitmap, which may be empty if the column has no nulls.
    fn validity(&mut self, rows: u64, nulls: u64) -> Result<(), String> {
        self.buffer(if nulls == 0 { 0 } else { rows.div_ceil(8) }).map(|_| ())
    }

    /// Checks a column of a type, with the given number of rows if it is known.
    fn column(&mut self, data_type: &DataType, rows: Option<i64>) -> Result<(), String> {
        use DataType as T;
        let (length, nulls) = self.nodes.next().ok_or("a column is missing")?;
        if rows.is_some_and(|rows| rows != length) || length < 0 || nulls < 0 || nulls > length {
            return Err("a column whose length makes no sense".to_owned());
        }
        let (rows, nulls) = (length as u64, nulls as u64);
        if !has_bytes(data_type) {
            self.size.values_without_bytes = self.size.values_without_bytes.saturating_add(rows);
        }
        let packed_bytes = |bits: u64| rows.saturating_mul(bits).div_ceil(8);
        match data_type {
            T::Null => {}
            T::Utf8 | T::Binary | T::LargeUtf8 | T::LargeBinary => {
                self.validity(rows, nulls)?;
                let is_large = matches!(data_type, T::LargeUtf8 | T::LargeBinary);
                let end = self.offsets(rows, is_large)?;
                self.buffer(end.unwrap_or(0))?;
            }
            T::Utf8View | T::BinaryView => {
                self.validity(rows, nulls)?;
                self.buffer(packed_bytes(128))?;
                let count =
                    self.variadic_counts.next().filter(|&n| n >= 0).ok_or("a count of buffers is missing")?;
                for _ in 0..count {
                    self.buffer(0)?;
                }
            }
            T::List(child) | T::LargeList(child) | T::Map(child, _) => {
                self.validity(rows, nulls)?;
                let end = self.offsets(rows, matches!(data_type, T::LargeList(_)))?;
                let entries = self.nodes.as_slice().first().map_or(0, |node| node.0);
                if end.is_some_and(|end| i64::try_from(end).is_ok_and(|end| end > entries)) {
                    return Err("a list that ends behind its entries".to_owned());
                }
                self.column(child.data_type(), None)?;
            }
            T::ListView(child) | T::LargeListView(child) => {
                self.validity(rows, nulls)?;
                let bits = if matches!(data_type, T::LargeListView(_)) { 64 } else { 32 };
                self.buffer(packed_bytes(bits))?;
                self.buffer(packed_bytes(bits))?;
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
                self.buffer(packed_bytes(8))?;
                let sparse = *mode == arrow_schema::UnionMode::Sparse;
                if !sparse {
                    self.buffer(packed_bytes(32))?;
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
                self.buffer(packed_bytes(bit_width(key)?))?;
            }
            data_type => {
                self.validity(rows, nulls)?;
                self.buffer(packed_bytes(bit_width(data_type)?))?;
            }
        }
        Ok(())
    }
}

/// Returns whether each value of a column of this type needs some bits in a buffer of the column itself, besides the
/// validity bitmap, which is left out where there are no nulls.
fn has_bytes(data_type: &DataType) -> bool {
    use DataType as T;
    !matches!(
        data_type,
        T::Null | T::Struct(_) | T::FixedSizeList(..) | T::RunEndEncoded(..) | T::FixedSizeBinary(0)
    )
}

/// Returns the size of a value of a fixed-width type, in bits.
fn bit_width(data_type: &DataType) -> Result<u64, String> {
    use DataType as T;
    Ok(match data_type {
        T::Boolean => 1,
        T::FixedSizeBinary(size) => u64::try_from(*size).map_err(|error| error.to_string())? * 8,
        kind => {
            kind.primitive_width().ok_or_else(|| format!("a column of a kind that is not taken: {kind}"))?
                as u64
                * 8
        }
    })
}
