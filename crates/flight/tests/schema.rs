//! Checks of schema compatibility between parts, and of the merged schema of a response.

use std::sync::Arc;

use arrow_schema::{DataType, Field, Schema};
use mallowgauge_flight::schema::{check_compatible, merge_schemas, SHARD_COLUMN};

fn field(name: &str, data_type: DataType, nullable: bool) -> Field {
    Field::new(name, data_type, nullable)
}

fn list(nullable: bool) -> DataType {
    DataType::List(Arc::new(field("item", DataType::Int64, nullable)))
}

#[test]
fn nullability_is_merged_in_nested_columns() {
    let required =
        Schema::new(vec![field("price", DataType::Float64, false), field("tags", list(false), false)]);
    let nullable =
        Schema::new(vec![field("price", DataType::Float64, true), field("tags", list(true), false)]);
    assert_eq!(check_compatible(&required, &nullable), Ok(()));
    assert_eq!(check_compatible(&nullable, &required), Ok(()));
    let merged = merge_schemas(&[required, nullable]);
    assert!(merged.field(0).is_nullable());
    assert_eq!(merged.field(1).data_type(), &list(true));
    assert_eq!(merged.field(2), &field(SHARD_COLUMN, DataType::UInt32, false));
}

#[test]
fn schemas_must_match_in_column_names_types_order_and_count() {
    let schema = |columns: &[(&str, DataType)]| {
        Schema::new(
            columns.iter().map(|(name, data_type)| field(name, data_type.clone(), false)).collect::<Vec<_>>(),
        )
    };
    let first = schema(&[("a", DataType::Int32), ("b", DataType::Utf8)]);
    let mismatch =
        |other: &Schema| check_compatible(&first, other).expect_err("a schema mismatch").to_string();
    assert_eq!(
        mismatch(&schema(&[("a", DataType::Int64), ("b", DataType::Utf8)])),
        "the column a differs from the others'"
    );
    assert_eq!(
        mismatch(&schema(&[("b", DataType::Utf8), ("a", DataType::Int32)])),
        "the column a differs from the others'"
    );
    assert_eq!(mismatch(&schema(&[("a", DataType::Int32)])), "1 columns where the others have 2");
    let wide_keys = DataType::Dictionary(Box::new(DataType::Int32), Box::new(DataType::Utf8));
    let narrow_keys = DataType::Dictionary(Box::new(DataType::Int8), Box::new(DataType::Utf8));
    assert!(
        check_compatible(&schema(&[("d", wide_keys.clone())]), &schema(&[("d", wide_keys.clone())])).is_ok()
    );
    assert!(check_compatible(&schema(&[("d", wide_keys.clone())]), &schema(&[("d", narrow_keys)])).is_err());
    assert!(check_compatible(&schema(&[("d", wide_keys)]), &schema(&[("d", DataType::Utf8)])).is_err());
}
