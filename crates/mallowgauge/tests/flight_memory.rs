//! Small tables that stand for more than the memory: they come from clients, and from backends for clients over HTTP and
//! over Flight. A limit has to hold before its memory is spent.

use std::sync::Arc;
use std::time::Duration;

use mallowgauge_flight::grpc::frame;
use mallowgauge_flight::proto::{FlightData, FlightDescriptor, FlightInfo, PutResult};
use mallowgauge_testkit::columns::{listings, messages_of, Script, ScriptedReply, TableEncoding};
use mallowgauge_testkit::hostile_tables::{hostile_tables, rows_of_nulls, HostileTable};
use mallowgauge_testkit::manual_peers::{query, Connection};
use mallowgauge_testkit::raw_http2::{self, RawHttp2Client, StreamReply};
use mallowgauge_testkit::Deployment;
use prost::Message;
use serde_json::{json, Value};

/// The memory that the program may use, in MB.
const MEMORY_MB: u64 = 64;
/// A window for the results of a whole batch of queries, in bytes.
const RESULTS_WINDOW: u32 = 8 << 20;
/// gRPC's status `INVALID_ARGUMENT`.
const INVALID_ARGUMENT: u32 = 3;

/// Starts a program with a memory limit. Its backends answer shard 0 with the hostile table, if there is one.
fn start(hostile: Option<HostileTable>) -> Deployment {
    let script: Script = Arc::new(move |_, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        match &hostile {
            Some(table) if shard == 0 => ScriptedReply::Table(vec![table.batch.clone()], table.encoding),
            _ => ScriptedReply::Table(vec![listings(shard, 2)], TableEncoding::default()),
        }
    });
    Deployment::start(script, json!({}), |file| file["limits"]["memory_mb"] = json!(MEMORY_MB))
}

fn run_over_http(deployment: &Deployment, id: &str, shard: u32) -> (u16, String) {
    let mut client = Connection::connect(deployment.program.http);
    client.send(query(id, "search", 3000, &[shard]));
    client.response().expect("an answer")
}

fn run_over_flight(deployment: &Deployment, id: &str) -> StreamReply {
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let command = json!({"kind": "search", "id": id, "ranges": [0], "predicate": "c41e77d0"});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    let ticket = frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
    raw.call("DoGet", &[("grpc-timeout", "3S")], &ticket)
}

/// Checks that the program has stayed within its memory and answers other clients.
fn assert_unharmed(deployment: &Deployment, name: &str) {
    let peak_kb = deployment.peak_memory_kb();
    assert!(peak_kb < MEMORY_MB << 10, "{name}: {peak_kb} KB");
    let (status, body) = run_over_http(deployment, &format!("next-{}", name.replace(' ', "-")), 1);
    assert_eq!(status, 200, "{name}: {body}");
}

// Guards against a client that ends the program with one small table: 426 bytes were enough (review/2).
#[test]
fn small_table_of_a_client_does_not_use_up_the_memory() {
    for method in ["DoPut", "DoExchange"] {
        let deployment = start(None);
        for table in hostile_tables() {
            let messages = messages_of(std::slice::from_ref(&table.batch), table.encoding);
            assert!(
                messages.iter().map(|message| message.len()).sum::<usize>() < 256 << 10,
                "{}",
                table.name
            );
            let mut raw = RawHttp2Client::connect(deployment.program.flight);
            let stream = raw.open_stream(method, &[], false);
            // The program may end the stream early.
            let _ = messages.iter().all(|message| raw.send_data(stream, message, false));
            let _ = raw.send_data(stream, &[], true);
            let reply = raw.read_reply(stream, true);
            assert_eq!(reply.status(), Some(INVALID_ARGUMENT), "{method}, {}: {reply:?}", table.name);
            assert_unharmed(&deployment, table.name);
        }
    }
}

// Guards against a backend that ends the program with one small table, which becomes text for a client over HTTP.
#[test]
fn small_table_of_a_backend_does_not_use_up_the_memory_over_http() {
    for table in hostile_tables().into_iter().chain([rows_of_nulls()]) {
        let name = table.name;
        let deployment = start(Some(table));
        let (status, body) = run_over_http(&deployment, "hostile", 0);
        assert!((500..600).contains(&status), "{name}: {status} {}", body.len());
        assert_unharmed(&deployment, name);
    }
}

// Guards against a backend that ends the program with one small table, to which a column is appended for a client over
// Flight.
#[test]
fn small_table_of_a_backend_does_not_use_up_the_memory_over_flight() {
    for table in hostile_tables().into_iter().chain([rows_of_nulls()]) {
        let name = table.name;
        let deployment = start(Some(table));
        let reply = run_over_flight(&deployment, "hostile");
        let bytes: usize = reply.messages.iter().map(Vec::len).sum();
        // A table that stays small is forwarded; any other is rejected.
        assert!(bytes < 1 << 20, "{name}: {bytes} bytes");
        assert!(reply.status().is_some(), "{name}: {reply:?}");
        assert_unharmed(&deployment, name);
    }
}

/// As many rows as one batch of a client may have.
const ROWS: usize = 4096;
/// Length of a default: the copies of it for all rows would have 160 MB.
const DEFAULT_BYTES: usize = 40_000;

// Guards against a client whose rows are copied together with the long defaults of its stream before they start.
#[test]
fn long_defaults_are_not_copied_for_each_row_of_a_batch() {
    use arrow_array::{ArrayRef, Int8Array, RecordBatch};
    let deployment = start(None);
    let column: ArrayRef = Arc::new(Int8Array::from(vec![0; ROWS]));
    let batch = RecordBatch::try_from_iter([("row", column)]).expect("a batch");
    let mut messages = messages_of(&[batch], TableEncoding::default());
    let mut first = FlightData::decode(messages[0].slice(5..)).expect("FlightData");
    let defaults = json!({"kind": "search", "ranges": [0], "predicate": "x".repeat(DEFAULT_BYTES)});
    first.flight_descriptor = Some(FlightDescriptor::command(defaults.to_string().into()));
    messages[0] = frame(&first).into();
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    for message in messages {
        assert!(raw.send_data(stream, &message, false));
    }
    // The first result shows that the rows have been read.
    while raw.read_frame().expect("a frame of the first result").kind != raw_http2::DATA {}
    assert_unharmed(&deployment, "long defaults");
}

// Guards a whole batch of queries: it is within the limits, and its stream does not stand still before the last result.
#[test]
fn largest_batch_of_queries_is_answered_to_the_last() {
    use arrow_array::{ArrayRef, RecordBatch, StringArray};
    let deployment = start(None);
    let text = |value: fn(usize) -> String| -> ArrayRef {
        Arc::new(StringArray::from_iter_values((0..ROWS).map(value)))
    };
    let columns = [
        ("id", text(|row| format!("bulk-{row}"))),
        ("kind", text(|_| "unknown".to_owned())),
        ("predicate", text(|row| format!("c41e77d0-{row:032}"))),
    ];
    let batch = RecordBatch::try_from_iter(columns).expect("a batch");
    let socket = std::net::TcpStream::connect(deployment.program.flight).expect("connect");
    socket.set_read_timeout(Some(Duration::from_secs(20))).expect("set the read timeout");
    let mut raw = RawHttp2Client::from_socket(socket, RESULTS_WINDOW);
    let stream = raw.open_stream("DoPut", &[], false);
    let compressed = TableEncoding { body_compression: Some(arrow_ipc::CompressionType::ZSTD), gzip: false };
    for message in messages_of(&[batch], compressed) {
        assert!(raw.send_data(stream, &message, false));
    }
    raw.send_data(stream, &[], true);
    let reply = raw.read_reply(stream, true);
    assert_eq!((reply.status(), reply.messages.len()), (Some(0), ROWS));
    let first = PutResult::decode(reply.messages[0].as_slice()).expect("a result");
    let first: Value = serde_json::from_slice(&first.app_metadata).expect("JSON");
    assert_eq!(first["status"], "invalid");
}

/// Streams of one client, on several connections.
const STREAMS: usize = 120;
/// Streams on one connection: one less than it may have.
const STREAMS_PER_CONNECTION: usize = 15;
/// Length of the text in each row of a stream. All rows of all streams have 96 MB.
const ROW_BYTES: usize = 200;

// Guards against a client that leaves many batches unread and unstarted on as many streams.
#[test]
fn rows_that_wait_on_many_streams_stay_within_the_memory() {
    use arrow_array::types::Int8Type;
    use arrow_array::{ArrayRef, DictionaryArray, Int8Array, RecordBatch, StringArray};
    let deployment = start(None);
    let value: ArrayRef = Arc::new(StringArray::from(vec!["x".repeat(ROW_BYTES)]));
    let keys = Int8Array::from(vec![0; ROWS]);
    let texts: ArrayRef = Arc::new(DictionaryArray::<Int8Type>::new(keys, value));
    let batch = RecordBatch::try_from_iter([("predicate", texts)]).expect("a batch");
    let compressed = TableEncoding { body_compression: Some(arrow_ipc::CompressionType::ZSTD), gzip: false };
    let messages = messages_of(&[batch], compressed);
    let mut connections = Vec::new();
    for _ in 0..STREAMS / STREAMS_PER_CONNECTION {
        // The initial window size is 0, so no result can be sent.
        let mut raw = RawHttp2Client::with_settings(deployment.program.flight, &[(4, 0)]);
        for _ in 0..STREAMS_PER_CONNECTION {
            let stream = raw.open_stream("DoPut", &[], false);
            assert!(messages.iter().all(|message| raw.send_data(stream, message, false)));
        }
        connections.push(raw);
    }
    // The program reads all streams of a connection before the answer to the last.
    for raw in &mut connections {
        let stream = raw.start_call("GetSchema", &[], &frame(&FlightDescriptor::default()));
        let reply = raw.read_reply(stream, false);
        assert_eq!(reply.status(), Some(INVALID_ARGUMENT), "{reply:?}");
    }
    assert_unharmed(&deployment, "many streams");
    drop(connections);
    // The memory is available again.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    assert!(messages.iter().all(|message| raw.send_data(stream, message, false)));
    while raw.read_frame().expect("a frame of the first result").kind != raw_http2::DATA {}
}
