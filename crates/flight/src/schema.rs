//! Decides which tables of parts make one answer, and what its columns are.
//!
//! The rule: tables agree if they have the same columns in the same order, by name and by type. What may
//! differ is whether a column can hold nulls (the answer's can, if any part's can: the layout is the same
//! either way), what the columns' metadata say (the first one's is kept), and dictionaries (each part brings
//! its own; they replace the ones before). Nested columns are held to the same rule all the way down. A part
//! whose table does not agree with those that are in counts as spoilt. So does one that has a column of the
//! name that the answer needs for itself, and a text among tables or a table among texts.

use std::sync::Arc;

use arrow_ipc::convert::try_fb_to_schema;
use arrow_schema::{DataType, Field, FieldRef, Fields, Schema};
use mallowgauge_core::Value;

/// The column that says which part a row comes from.
pub const SHARD_COLUMN: &str = "range";

/// Deeper nesting than this is not taken.
const DEEPEST: usize = 16;
/// More columns than this, nested ones counted, are not taken.
pub const MAX_COLUMNS: usize = 4096;

/// Reads the schema from its message.
///
/// # Errors
/// Says what is wrong with it.
pub fn read_schema(header: &[u8]) -> Result<Schema, String> {
    let message = arrow_ipc::root_as_message(header).map_err(|e| e.to_string())?;
    let schema = message.header_as_schema().ok_or("the first message is no schema")?;
    // Decimals and intervals of odd widths are turned down by the library, some of them by a panic.
    let schema = std::panic::catch_unwind(|| try_fb_to_schema(schema));
    let schema = schema.map_err(|_| "a schema that cannot be read")?.map_err(|e| e.to_string())?;
    let mut columns = 0;
    schema.fields().iter().try_for_each(|field| measure(field, 0, &mut columns))?;
    Ok(schema)
}

fn measure(field: &Field, depth: usize, columns: &mut usize) -> Result<(), String> {
    *columns += 1;
    if depth > DEEPEST || *columns > MAX_COLUMNS {
        return Err("a schema that is too deep or too wide".to_owned());
    }
    child_fields(field.data_type()).iter().try_for_each(|child| measure(child, depth + 1, columns))
}

/// The columns within a column.
#[must_use]
pub fn child_fields(kind: &DataType) -> Vec<&Field> {
    match kind {
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

/// Why two parts make no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchemaMismatch {
    /// One is a text and the other a table.
    TextAndTable,
    /// The columns are not as many.
    ColumnCount(usize, usize),
    /// This column differs.
    Column(String),
    /// The table has a column of a name that the answer needs.
    ReservedColumn(&'static str),
    /// The table's schema cannot be read.
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
            SchemaMismatch::Unreadable(why) => write!(f, "{why}"),
        }
    }
}

/// Whether two columns are the same but for nulls.
fn alike(one: &Field, other: &Field) -> bool {
    one.name() == other.name() && same_kind(one.data_type(), other.data_type())
}

fn same_kind(one: &DataType, other: &DataType) -> bool {
    match (one, other) {
        (DataType::Dictionary(key, value), DataType::Dictionary(other_key, other_value)) => {
            key == other_key && same_kind(value, other_value)
        }
        (DataType::FixedSizeList(_, n), DataType::FixedSizeList(_, m)) if n != m => false,
        (DataType::Map(_, sorted), DataType::Map(_, other)) if sorted != other => false,
        (DataType::Union(fields, mode), DataType::Union(others, other_mode)) => {
            let ids = |(id, _): (i8, _)| id;
            mode == other_mode
                && fields.iter().map(ids).eq(others.iter().map(ids))
                && fields.iter().zip(others.iter()).all(|((_, a), (_, b))| alike(a, b))
        }
        _ => {
            let (inner, others) = (child_fields(one), child_fields(other));
            if inner.is_empty() && others.is_empty() {
                return one == other;
            }
            std::mem::discriminant(one) == std::mem::discriminant(other)
                && inner.len() == others.len()
                && inner.iter().zip(others).all(|(a, b)| alike(a, b))
        }
    }
}

/// Whether a table with this schema can stand among others whose schema is the first.
///
/// # Errors
/// Says why not.
pub fn check_compatible(first: &Schema, other: &Schema) -> Result<(), SchemaMismatch> {
    let (ours, theirs) = (first.fields(), other.fields());
    if ours.len() != theirs.len() {
        return Err(SchemaMismatch::ColumnCount(ours.len(), theirs.len()));
    }
    let differs = ours.iter().zip(theirs.iter()).find(|(a, b)| !alike(a, b));
    differs.map_or(Ok(()), |(field, _)| Err(SchemaMismatch::Column(field.name().clone())))
}

/// Whether a value can stand beside those that are in, of which the first is given.
///
/// # Errors
/// Says why not.
pub fn check_value_schema(first: Option<&Value>, value: &Value) -> Result<(), SchemaMismatch> {
    let unreadable = |header: &[u8]| read_schema(header).map_err(SchemaMismatch::Unreadable);
    match (first, value) {
        (None | Some(Value::Text(_)), Value::Text(_)) => Ok(()),
        (Some(Value::Text(_)), Value::Table(_)) | (Some(Value::Table(_)), Value::Text(_)) => {
            Err(SchemaMismatch::TextAndTable)
        }
        (None, Value::Table(table)) => {
            let schema = unreadable(&table.schema)?;
            let taken = schema.fields().iter().any(|field| field.name() == SHARD_COLUMN);
            if taken {
                Err(SchemaMismatch::ReservedColumn(SHARD_COLUMN))
            } else {
                Ok(())
            }
        }
        // The usual case: hosts of one release write the very same bytes.
        (Some(Value::Table(ours)), Value::Table(table)) if ours.schema == table.schema => Ok(()),
        (Some(Value::Table(ours)), Value::Table(table)) => {
            check_compatible(&unreadable(&ours.schema)?, &unreadable(&table.schema)?)
        }
    }
}

fn widen(one: &FieldRef, other: &FieldRef) -> FieldRef {
    let field = Field::clone(one).with_data_type(wider(one.data_type(), other.data_type()));
    Arc::new(field.with_nullable(one.is_nullable() || other.is_nullable()))
}

fn widen_all(ours: &Fields, theirs: &Fields) -> Fields {
    ours.iter().zip(theirs).map(|(a, b)| widen(a, b)).collect()
}

fn wider(one: &DataType, other: &DataType) -> DataType {
    use DataType as T;
    match (one, other) {
        (T::List(a), T::List(b)) => T::List(widen(a, b)),
        (T::LargeList(a), T::LargeList(b)) => T::LargeList(widen(a, b)),
        (T::ListView(a), T::ListView(b)) => T::ListView(widen(a, b)),
        (T::LargeListView(a), T::LargeListView(b)) => T::LargeListView(widen(a, b)),
        (T::FixedSizeList(a, n), T::FixedSizeList(b, _)) => T::FixedSizeList(widen(a, b), *n),
        (T::Map(a, sorted), T::Map(b, _)) => T::Map(widen(a, b), *sorted),
        (T::Struct(a), T::Struct(b)) => T::Struct(widen_all(a, b)),
        (T::Dictionary(key, a), T::Dictionary(_, b)) => T::Dictionary(key.clone(), Box::new(wider(a, b))),
        (T::RunEndEncoded(ends, a), T::RunEndEncoded(_, b)) => T::RunEndEncoded(ends.clone(), widen(a, b)),
        (one, _) => one.clone(),
    }
}

/// The columns of an answer from tables that agree, and behind them the one that names the part.
#[must_use]
pub fn merge_schemas(schemas: &[Schema]) -> Schema {
    let mut all = schemas.iter();
    let first = all.next().cloned().unwrap_or_else(Schema::empty);
    let fields = all.fold(first.fields().clone(), |fields, schema| widen_all(&fields, schema.fields()));
    let range: FieldRef = Arc::new(Field::new(SHARD_COLUMN, DataType::UInt32, false));
    Schema::new_with_metadata(
        fields.iter().cloned().chain([range]).collect::<Fields>(),
        first.metadata().clone(),
    )
}
