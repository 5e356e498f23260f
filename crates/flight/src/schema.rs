//! Checks whether the tables of several parts can form one response, and merges their schemas.
//!
//! Two tables are compatible if they have the same columns in the same order, by name and by type, including
//! nested columns. These may differ:
//! - Nullability: a column of the response is nullable if it is nullable in any part. The memory layout is
//!   the same either way.
//! - Column metadata: that of the first table is kept.
//! - Dictionaries: each part sends its own, which replace the previous ones.
//!
//! A part's value is invalid if its table is not compatible with those already received, if the table has a
//! column with the reserved name [`SHARD_COLUMN`], or if it is a text where the others are tables or vice
//! versa.

use std::sync::Arc;

use arrow_ipc::convert::try_fb_to_schema;
use arrow_schema::{DataType, Field, FieldRef, Fields, Schema};
use mallowgauge_core::Value;

/// The name of the column that holds the number of the shard that a row comes from.
pub const SHARD_COLUMN: &str = "range";

/// The maximum nesting depth of a column.
const MAX_DEPTH: usize = 16;
/// The maximum number of columns, including nested ones.
pub const MAX_COLUMNS: usize = 4096;

/// Decodes a schema from the header of its IPC message.
///
/// # Errors
/// Returns a description of the problem if the header is not a valid schema, uses an unsupported type or
/// exceeds the limits on depth and columns.
pub fn read_schema(header: &[u8]) -> Result<Schema, String> {
    let message = arrow_ipc::root_as_message(header).map_err(|error| error.to_string())?;
    let schema = message.header_as_schema().ok_or("the first message is no schema")?;
    // The library rejects decimals and intervals of unsupported widths, some of them with a panic.
    let schema = std::panic::catch_unwind(|| try_fb_to_schema(schema));
    let schema = schema.map_err(|_| "a schema that cannot be read")?.map_err(|error| error.to_string())?;
    let mut columns = 0;
    schema.fields().iter().try_for_each(|field| check_limits(field, 0, &mut columns))?;
    Ok(schema)
}

/// Counts a column and its nested columns and checks the limits.
fn check_limits(field: &Field, depth: usize, columns: &mut usize) -> Result<(), String> {
    *columns += 1;
    if depth > MAX_DEPTH || *columns > MAX_COLUMNS {
        return Err("a schema that is too deep or too wide".to_owned());
    }
    child_fields(field.data_type()).iter().try_for_each(|child| check_limits(child, depth + 1, columns))
}

/// Returns the fields nested directly in a data type.
#[must_use]
pub fn child_fields(data_type: &DataType) -> Vec<&Field> {
    match data_type {
        DataType::List(field)
        | DataType::LargeList(field)
        | DataType::ListView(field)
        | DataType::LargeListView(field)
        | DataType::FixedSizeList(field, _)
        | DataType::Map(field, _) => vec![field],
        DataType::Struct(fields) => fields.iter().map(AsRef::as_ref).collect(),
        DataType::Union(fields, _) => fields.iter().map(|(_, field)| field.as_ref()).collect(),
        DataType::RunEndEncoded(ends, values) => vec![ends, values],
        _ => Vec::new(),
    }
}

/// The reason why a part's value cannot be combined with the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchemaMismatch {
    /// One value is a text and the other a table.
    TextAndTable,
    /// The number of columns differs: that of the first table and that of the other one.
    ColumnCount(usize, usize),
    /// The column with this name differs in name or type.
    Column(String),
    /// The table has a column with this reserved name.
    ReservedColumn(&'static str),
    /// The table's schema cannot be decoded, with the reason.
    Unreadable(String),
}

impl std::fmt::Display for SchemaMismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SchemaMismatch::TextAndTable => write!(f, "a text among tables, or a table among texts"),
            SchemaMismatch::ColumnCount(one, other) => {
                write!(f, "{other} columns where the others have {one}")
            }
            SchemaMismatch::Column(name) => write!(f, "the column {name} differs from the others'"),
            SchemaMismatch::ReservedColumn(name) => write!(f, "it has a column {name} of its own"),
            SchemaMismatch::Unreadable(reason) => write!(f, "{reason}"),
        }
    }
}

/// Returns whether two columns have the same name and type, ignoring nullability and metadata.
fn fields_match(one: &Field, other: &Field) -> bool {
    one.name() == other.name() && types_match(one.data_type(), other.data_type())
}

/// Returns whether two data types are equal, ignoring the nullability and metadata of nested fields.
fn types_match(one: &DataType, other: &DataType) -> bool {
    match (one, other) {
        (DataType::Dictionary(key, value), DataType::Dictionary(other_key, other_value)) => {
            key == other_key && types_match(value, other_value)
        }
        (DataType::FixedSizeList(_, n), DataType::FixedSizeList(_, m)) if n != m => false,
        (DataType::Map(_, sorted), DataType::Map(_, other)) if sorted != other => false,
        (DataType::Union(fields, mode), DataType::Union(others, other_mode)) => {
            let ids = |(id, _): (i8, _)| id;
            mode == other_mode
                && fields.iter().map(ids).eq(others.iter().map(ids))
                && fields.iter().zip(others.iter()).all(|((_, a), (_, b))| fields_match(a, b))
        }
        _ => {
            let (inner, others) = (child_fields(one), child_fields(other));
            if inner.is_empty() && others.is_empty() {
                return one == other;
            }
            std::mem::discriminant(one) == std::mem::discriminant(other)
                && inner.len() == others.len()
                && inner.iter().zip(others).all(|(a, b)| fields_match(a, b))
        }
    }
}

/// Checks whether a table with the schema `other` can be combined with tables that have the schema `first`.
///
/// # Errors
/// Returns the first difference found.
pub fn check_compatible(first: &Schema, other: &Schema) -> Result<(), SchemaMismatch> {
    let (first_fields, other_fields) = (first.fields(), other.fields());
    if first_fields.len() != other_fields.len() {
        return Err(SchemaMismatch::ColumnCount(first_fields.len(), other_fields.len()));
    }
    let differs = first_fields.iter().zip(other_fields.iter()).find(|(a, b)| !fields_match(a, b));
    differs.map_or(Ok(()), |(field, _)| Err(SchemaMismatch::Column(field.name().clone())))
}

/// Checks whether a part's value can be combined with the values already received, of which `first` is one.
///
/// # Errors
/// Returns the reason why it cannot.
pub fn check_value_schema(first: Option<&Value>, value: &Value) -> Result<(), SchemaMismatch> {
    let decode = |header: &[u8]| read_schema(header).map_err(SchemaMismatch::Unreadable);
    match (first, value) {
        (None | Some(Value::Text(_)), Value::Text(_)) => Ok(()),
        (Some(Value::Text(_)), Value::Table(_)) | (Some(Value::Table(_)), Value::Text(_)) => {
            Err(SchemaMismatch::TextAndTable)
        }
        (None, Value::Table(table)) => {
            let schema = decode(&table.schema)?;
            let has_reserved = schema.fields().iter().any(|field| field.name() == SHARD_COLUMN);
            if has_reserved {
                Err(SchemaMismatch::ReservedColumn(SHARD_COLUMN))
            } else {
                Ok(())
            }
        }
        // The usual case: backends of the same release encode identical schema bytes.
        (Some(Value::Table(first)), Value::Table(table)) if first.schema == table.schema => Ok(()),
        (Some(Value::Table(first)), Value::Table(table)) => {
            check_compatible(&decode(&first.schema)?, &decode(&table.schema)?)
        }
    }
}

/// Returns the first field with the merged data type, nullable if either of the two fields is.
fn merge_fields(one: &FieldRef, other: &FieldRef) -> FieldRef {
    let field = Field::clone(one).with_data_type(merge_types(one.data_type(), other.data_type()));
    Arc::new(field.with_nullable(one.is_nullable() || other.is_nullable()))
}

fn merge_all(one: &Fields, other: &Fields) -> Fields {
    one.iter().zip(other).map(|(a, b)| merge_fields(a, b)).collect()
}

fn merge_types(one: &DataType, other: &DataType) -> DataType {
    use DataType as T;
    match (one, other) {
        (T::List(a), T::List(b)) => T::List(merge_fields(a, b)),
        (T::LargeList(a), T::LargeList(b)) => T::LargeList(merge_fields(a, b)),
        (T::ListView(a), T::ListView(b)) => T::ListView(merge_fields(a, b)),
        (T::LargeListView(a), T::LargeListView(b)) => T::LargeListView(merge_fields(a, b)),
        (T::FixedSizeList(a, n), T::FixedSizeList(b, _)) => T::FixedSizeList(merge_fields(a, b), *n),
        (T::Map(a, sorted), T::Map(b, _)) => T::Map(merge_fields(a, b), *sorted),
        (T::Struct(a), T::Struct(b)) => T::Struct(merge_all(a, b)),
        (T::Dictionary(key, a), T::Dictionary(_, b)) => {
            T::Dictionary(key.clone(), Box::new(merge_types(a, b)))
        }
        (T::RunEndEncoded(ends, a), T::RunEndEncoded(_, b)) => {
            T::RunEndEncoded(ends.clone(), merge_fields(a, b))
        }
        (one, _) => one.clone(),
    }
}

/// Merges the schemas of compatible tables and appends [`SHARD_COLUMN`].
#[must_use]
pub fn merge_schemas(schemas: &[Schema]) -> Schema {
    let mut all = schemas.iter();
    let first = all.next().cloned().unwrap_or_else(Schema::empty);
    let fields = all.fold(first.fields().clone(), |fields, schema| merge_all(&fields, schema.fields()));
    let shard: FieldRef = Arc::new(Field::new(SHARD_COLUMN, DataType::UInt32, false));
    Schema::new_with_metadata(
        fields.iter().cloned().chain([shard]).collect::<Fields>(),
        first.metadata().clone(),
    )
}
