//! Checks of schema compatibility between parts, and of the merged schema of a response.

use std::sync::Arc;

use arrow_schema::{DataType, Field, Schema};
use mallowgauge_flight::schema::{check_compatible, merge_schemas, SHARD_COLUMN};

fn field(name: &str, kind: DataType, nullable: bool) -> Field {
    Field::new(name, kind, nullable)
}

fn list(nullable: bool) -> DataType {
    DataType::List(Arc::new(field("item", DataType::Int64, nullable)))
}

#[test]
fn nulls_are_widened_all_the_way_down() {
    let strict =
        Schema::new(vec![field("price", DataType::Float64, false), field("tags", list(false), false)]);
    let loose = Schema::new(vec![field("price", DataType::Float64, true), field("tags", list(true), false)]);
    assert_eq!(check_compatible(&strict, &loose), Ok(()));
    assert_eq!(check_compatible(&loose, &strict), Ok(()));
    let united = merge_schemas(&[strict, loose]);
    assert!(united.field(0).is_nullable());
    assert_eq!(united.field(1).data_type(), &list(true));
    assert_eq!(united.field(2), &field(SHARD_COLUMN, DataType::UInt32, false));
}

#[test]
fn names_types_order_and_number_have_to_be_the_same() {
    let schema = |columns: &[(&str, DataType)]| {
        Schema::new(columns.iter().map(|(n, k)| field(n, k.clone(), false)).collect::<Vec<_>>())
    };
    let first = schema(&[("a", DataType::Int32), ("b", DataType::Utf8)]);
    let clash = |other: &Schema| check_compatible(&first, other).expect_err("a clash").to_string();
    assert_eq!(
        clash(&schema(&[("a", DataType::Int64), ("b", DataType::Utf8)])),
        "the column a differs from the others'"
    );
    assert_eq!(
        clash(&schema(&[("b", DataType::Utf8), ("a", DataType::Int32)])),
        "the column a differs from the others'"
    );
    assert_eq!(clash(&schema(&[("a", DataType::Int32)])), "1 columns where the others have 2");
    let words = DataType::Dictionary(Box::new(DataType::Int32), Box::new(DataType::Utf8));
    let short = DataType::Dictionary(Box::new(DataType::Int8), Box::new(DataType::Utf8));
    assert!(check_compatible(&schema(&[("d", words.clone())]), &schema(&[("d", words.clone())])).is_ok());
    assert!(check_compatible(&schema(&[("d", words.clone())]), &schema(&[("d", short)])).is_err());
    assert!(check_compatible(&schema(&[("d", words)]), &schema(&[("d", DataType::Utf8)])).is_err());
}
