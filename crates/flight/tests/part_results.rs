//! Part result tables whose lengths do not fit their bytes.

use std::sync::Arc;

use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt32Array};
use arrow_ipc::writer::{DictionaryTracker, IpcDataGenerator, IpcWriteContext, IpcWriteOptions};
use arrow_schema::{DataType, Field, Schema};
use mallowgauge_core::Message;
use mallowgauge_flight::answer::schema_header;
use mallowgauge_flight::rows::{read_part_results, PartResult};

const VALUE: &str = "1840277719";

/// Encodes a part result and reads it back, with the length of its value changed.
fn read_with_length(length: u8) -> Result<Vec<PartResult>, String> {
    let column = |name: &str, kind| Field::new(name, kind, false);
    let schema = Schema::new(vec![
        column("range", DataType::UInt32),
        column("end", DataType::Utf8),
        column("blob", DataType::Utf8),
    ]);
    let text = |value: &str| -> ArrayRef { Arc::new(StringArray::from(vec![value])) };
    let columns = vec![Arc::new(UInt32Array::from(vec![3])) as ArrayRef, text("good"), text(VALUE)];
    let batch = RecordBatch::try_new(Arc::new(schema.clone()), columns).expect("a batch");
    let (mut tracker, options) = (DictionaryTracker::new(false), IpcWriteOptions::default());
    let (_, encoded) = IpcDataGenerator::default()
        .encode(&batch, &mut tracker, &options, &mut IpcWriteContext::default())
        .expect("a message");
    let mut body = encoded.arrow_data;
    let offsets = [0, 0, 0, 0, VALUE.len() as u8, 0, 0, 0];
    let place = body.windows(offsets.len()).position(|bytes| bytes == offsets).expect("the value's offsets");
    body[place + 4] = length;
    let message = Message { header: encoded.ipc_message.into(), body: body.into() };
    read_part_results(&schema_header(&schema), &[message])
}

// Guards against serving a value that its length cuts short, as with the platform's frames.
#[test]
fn value_shorter_than_its_bytes_is_rejected() {
    let whole = read_with_length(VALUE.len() as u8).expect("a part result");
    assert_eq!(&*whole[0].value, VALUE);
    for length in 0..VALUE.len() as u8 {
        assert!(read_with_length(length).is_err(), "a value cut to {length} bytes");
    }
}
