//! Failure cases of Flight: malformed tables from backends, clients that violate the protocol, graceful shutdown, and
//! the memory budget.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arrow_array::RecordBatch;
use bytes::Bytes;
use mallowgauge_flight::answer::flight_data;
use mallowgauge_flight::grpc::{frame, Encoding};
use mallowgauge_flight::proto::{self, FlightData, FlightDescriptor, FlightInfo, Ticket};
use mallowgauge_testkit::columns::{listings, messages_of, numbers, Script, ScriptedReply, TableEncoding};
use mallowgauge_testkit::manual_peers::{query, Connection};
use mallowgauge_testkit::raw_http2::{self, RawHttp2Client, StreamReply};
use mallowgauge_testkit::Deployment;
use prost::Message;
use serde_json::{json, Value};

/// Backends that answer each part with a small table.
fn tables() -> Script {
    Arc::new(|_, ticket, _| ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()))
}

fn shard(ticket: &Value) -> u32 {
    ticket["range"].as_u64().expect("a shard") as u32
}

/// Starts the program with default settings and backends that follow the script.
fn start_deployment(script: Script) -> Deployment {
    Deployment::start(script, json!({}), |_| {})
}

fn command(kind: &str, id: &str, shards: &[u32]) -> Value {
    json!({"kind": kind, "id": id, "ranges": shards, "predicate": "c41e77d0"})
}

/// Calls `GetFlightInfo` and returns the framed ticket.
fn request_ticket(raw: &mut RawHttp2Client, command: &Value) -> Vec<u8> {
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    frame(info.endpoint[0].ticket.as_ref().expect("a ticket"))
}

/// Sends a query with `GetFlightInfo` and `DoGet`.
fn run_query(raw: &mut RawHttp2Client, command: &Value) -> StreamReply {
    let ticket = request_ticket(raw, command);
    raw.call("DoGet", &[("grpc-timeout", "3S")], &ticket)
}

/// Returns whether the program still answers a new client.
fn is_serving(deployment: &Deployment) -> bool {
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    run_query(
        &mut raw,
        &command(
            "search",
            &format!("probe-{:?}", std::time::Instant::now()).replace([' ', '{', '}', ':', ','], ""),
            &[5],
        ),
    )
    .status()
        == Some(0)
}

/// Returns the messages of a valid table, corrupted in the given way.
fn corrupted_table(corruption: &str, shard: u32) -> Vec<Bytes> {
    let valid = messages_of(&[listings(shard, 50), listings(shard, 50)], TableEncoding::default());
    let framed = |data: FlightData| Bytes::from(frame(&data));
    let decode = |index: usize| FlightData::decode(valid[index].slice(5..)).expect("FlightData");
    // The valid messages: schema, dictionary, batch, possibly another dictionary, batch.
    match corruption {
        "truncated" => {
            let mut data = decode(2);
            data.data_body = data.data_body.slice(..data.data_body.len() / 2);
            vec![valid[0].clone(), valid[1].clone(), framed(data)]
        }
        "reordered" => vec![valid[2].clone(), valid[0].clone(), valid[1].clone()],
        "no dictionary" => vec![valid[0].clone(), valid[2].clone()],
        "no schema" => valid[1..].to_vec(),
        "two schemas" => vec![valid[0].clone(), valid[0].clone(), valid[1].clone(), valid[2].clone()],
        "garbled header" => {
            let mut data = decode(2);
            let mut header = data.data_header.to_vec();
            header.iter_mut().skip(8).step_by(3).for_each(|b| *b ^= 0x5a);
            data.data_header = header.into();
            vec![valid[0].clone(), valid[1].clone(), framed(data)]
        }
        "a terabyte" => {
            // A compressed column whose header claims an uncompressed size of one terabyte.
            let encoding =
                TableEncoding { body_compression: Some(arrow_ipc::CompressionType::LZ4_FRAME), gzip: false };
            let valid = messages_of(&[numbers(64 << 10)], encoding);
            let mut data = FlightData::decode(valid[1].slice(5..)).expect("FlightData");
            let mut body = data.data_body.to_vec();
            body[..8].copy_from_slice(&(1_i64 << 40).to_le_bytes());
            data.data_body = body.into();
            vec![valid[0].clone(), framed(data)]
        }
        "three gigabytes" => vec![valid[0].clone(), Bytes::from_static(&[0, 0xb2, 0xd0, 0x5e, 0, 1, 2, 3])],
        "nothing" => vec![framed(FlightData::default())],
        "half a message" => vec![valid[0].clone(), valid[1].slice(..valid[1].len() / 2)],
        "short length" => {
            let mut last = valid[valid.len() - 1].to_vec();
            let length = u32::from_be_bytes([last[1], last[2], last[3], last[4]]) - 6;
            last[1..5].copy_from_slice(&length.to_be_bytes());
            [&valid[..valid.len() - 1], &[last.into()]].concat()
        }
        _ => panic!("unknown corruption: {corruption}"),
    }
}

#[test]
fn malformed_tables_are_never_forwarded_and_a_non_idempotent_query_is_not_retried() {
    for corruption in [
        "truncated",
        "reordered",
        "no dictionary",
        "no schema",
        "two schemas",
        "garbled header",
        "three gigabytes",
        "a terabyte",
        "nothing",
        "half a message",
        "short length",
    ] {
        // An idempotent query gets a corrupted table first and a valid one on retry; a non-idempotent one gets only
        // corrupted tables.
        let script: Script = Arc::new(move |_, ticket, earlier_attempts| {
            let non_idempotent = ticket["query"].as_str().is_some_and(|id| id.starts_with("hold"));
            if non_idempotent || earlier_attempts == 0 {
                ScriptedReply::Messages(corrupted_table(corruption, shard(ticket)))
            } else {
                ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default())
            }
        });
        let deployment = start_deployment(script);
        let mut raw = RawHttp2Client::connect(deployment.program.flight);
        let reply = run_query(&mut raw, &command("place-hold", "hold", &[0]));
        assert_eq!((reply.status(), reply.messages.len()), (Some(13), 0), "{corruption}");
        assert_eq!(deployment.attempts_by_shard("hold"), [(0, 1)], "{corruption}");
        let reply = run_query(&mut raw, &command("search", "search", &[1]));
        assert_eq!(reply.status(), Some(0), "{corruption}: {reply:?}");
        assert!(deployment.wait_for_log("unusable answer for shard"), "{corruption}");
    }
}

#[test]
fn endless_table_from_a_backend_stays_within_the_memory_budget() {
    let script: Script = Arc::new(|_, ticket, _| match shard(ticket) {
        0 => ScriptedReply::Endless(numbers(64 << 10)),
        _ => ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()),
    });
    let deployment = Deployment::start(script, json!({}), |file| file["limits"]["memory_mb"] = json!(48));
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let reply = run_query(&mut raw, &command("search", "q", &[0]));
    // DEADLINE_EXCEEDED, RESOURCE_EXHAUSTED, INTERNAL or UNAVAILABLE.
    assert!(matches!(reply.status(), Some(4 | 8 | 13 | 14)), "{reply:?}");
    // A non-idempotent query whose table exceeds the memory budget is possibly executed, so it fails and is not
    // reported as rejected.
    let reply = run_query(&mut raw, &command("place-hold", "h", &[0]));
    assert!(matches!(reply.status(), Some(4 | 13)), "{reply:?}");
    assert_eq!(deployment.attempts_by_shard("h"), [(0, 1)]);
    assert!(is_serving(&deployment));
    assert!(deployment.peak_memory_kb() < 48 << 10, "{} KB", deployment.peak_memory_kb());
}

// Guards the memory budget against clients that do not read: their answers stay in memory, so the program must stop
// reading from backends at the budget, keep serving other clients, and reject a query that does not fit instead of
// answering a part of it.
#[test]
fn slow_readers_stay_within_the_memory_budget() {
    let script: Script = Arc::new(|_, ticket, _| match shard(ticket) {
        0 => ScriptedReply::Table((0..8).map(|_| numbers(256 << 10)).collect(), TableEncoding::default()),
        _ => ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()),
    });
    let deployment = Deployment::start(script, json!({}), |file| {
        file["limits"]["memory_mb"] = json!(64);
        // Long objectives and deadlines, so that no query is rejected because the test machine is slow.
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["AimUs"], class["DeadlineUs"]) = (json!(60_000_000), json!(60_000_000));
        }
    });
    let mut readers = Vec::new();
    for connection in 0..4 {
        // The initial window size is 0, so the server cannot send any data.
        let mut raw = RawHttp2Client::with_settings(deployment.program.flight, &[(4, 0)]);
        for call in 0..10 {
            let id = format!("slow-{connection}-{call}");
            // The ticket is requested on another connection, which does read.
            let mut other = RawHttp2Client::connect(deployment.program.flight);
            let ticket = request_ticket(&mut other, &command("search", &id, &[0]));
            raw.start_call("DoGet", &[("grpc-timeout", "3S")], &ticket);
        }
        readers.push(raw);
    }
    // 40 answers of 2 MB each are requested, but tables may use only half of 32 MB.
    while deployment.attempts.lock().expect("an unpoisoned lock").len() < 12 {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let reply = run_query(&mut raw, &command("place-hold", "h", &[1]));
    assert!(matches!(reply.status(), Some(0 | 13)), "{reply:?}");
    assert!(deployment.peak_memory_kb() < 64 << 10, "{} KB", deployment.peak_memory_kb());
    drop(readers);
    // Disconnecting the readers must release their memory.
    let served = (0..200).any(|i| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let reply = run_query(&mut raw, &command("search", &format!("big-{i}"), &[0]));
        reply.status() == Some(0) && reply.messages.iter().map(Vec::len).sum::<usize>() > 2 << 20
    });
    assert!(served, "the memory of disconnected readers is not released");
}

#[test]
fn floods_of_frames_close_only_their_own_connection() {
    let deployment = start_deployment(tables());
    let mut other = RawHttp2Client::connect(deployment.program.flight);
    // Streams that are opened and reset immediately.
    let mut rapid_reset = RawHttp2Client::connect(deployment.program.flight);
    for _ in 0..3000 {
        let stream = rapid_reset.open_stream("DoGet", &[], false);
        if !rapid_reset.send_frame(raw_http2::RST_STREAM, 0, stream, &8_u32.to_be_bytes()) {
            break;
        }
    }
    // An endless header block.
    let mut endless_headers = RawHttp2Client::connect(deployment.program.flight);
    endless_headers.send_frame(raw_http2::HEADERS, 0, 1, &raw_http2::request_headers("DoGet", &[]));
    let line = raw_http2::request_headers("DoGet", &[("x-filler", "y")]);
    while endless_headers.send_frame(raw_http2::CONTINUATION, 0, 1, &line.repeat(20)) {}
    // A header block that is too large, sent in many CONTINUATION frames.
    let mut large_headers = RawHttp2Client::connect(deployment.program.flight);
    let many: Vec<(String, String)> = (0..3000).map(|i| (format!("x-{i}"), "y".repeat(20))).collect();
    let lines: Vec<(&str, &str)> = many.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let head = raw_http2::request_headers("DoGet", &lines);
    let (first, rest) = head.split_at(16 << 10);
    large_headers.send_frame(raw_http2::HEADERS, 0, 1, first);
    let chunks: Vec<&[u8]> = rest.chunks(16 << 10).collect();
    for (i, chunk) in chunks.iter().enumerate() {
        let last = i + 1 == chunks.len();
        if !large_headers.send_frame(
            raw_http2::CONTINUATION,
            if last { raw_http2::END_HEADERS } else { 0 },
            1,
            chunk,
        ) {
            break;
        }
    }
    // Thousands of PING and SETTINGS frames whose acknowledgements are not read.
    let mut pings = RawHttp2Client::connect(deployment.program.flight);
    for _ in 0..5000 {
        if !pings.send_frame(raw_http2::PING, 0, 0, &[7; 8])
            || !pings.send_frame(raw_http2::SETTINGS, 0, 0, &[])
        {
            break;
        }
    }
    // Input that is not HTTP/2, and a frame that is too long.
    let mut http1_client = RawHttp2Client::connect_without_preface(deployment.program.flight);
    http1_client.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(http1_client.is_closed());
    let mut long_frame = RawHttp2Client::connect(deployment.program.flight);
    long_frame.write(&[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1]);
    assert!(long_frame.is_closed());
    assert_eq!(run_query(&mut other, &command("search", "q", &[0])).status(), Some(0));
    assert!(is_serving(&deployment));
    assert!(deployment.peak_memory_kb() < 64 << 10, "{} KB", deployment.peak_memory_kb());
}

#[test]
fn client_that_half_closes_or_goes_away_gets_an_answer_or_an_error() {
    let deployment = start_deployment(tables());
    // The client half-closes its side after the request and still gets the answer.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let ticket = request_ticket(&mut raw, &command("search", "q", &[0]));
    let stream = raw.start_call("DoGet", &[], &ticket);
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0));
    // After a GOAWAY of the client, open streams are still answered.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let ticket = request_ticket(&mut raw, &command("search", "r", &[0]));
    let stream = raw.start_call("DoGet", &[], &ticket);
    raw.send_frame(raw_http2::GOAWAY, 0, 0, &[0; 8]);
    assert_eq!(raw.read_reply(stream, true).status(), Some(0));
    // A request that stays incomplete times out.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoGet", &[], false);
    raw.send_data(stream, &[0, 0, 0, 1], false);
    assert_eq!(raw.read_reply(stream, true).status(), Some(4));
    // A request that ends within its message is invalid.
    let stream = raw.open_stream("DoGet", &[], false);
    raw.send_data(stream, &[0, 0, 0, 1], true);
    assert_eq!(raw.read_reply(stream, true).status(), Some(3));
    assert!(is_serving(&deployment));
}

#[test]
fn unfinished_tls_handshake_times_out() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-slow-tls-{}", std::process::id()));
    let server = mallowgauge_testkit::tls::Authority::new().sign(false);
    let file = |name: &str, text: &str| mallowgauge_testkit::tls::write_file(&folder, name, text);
    let flight_settings = json!({"tls": {"certificate": file("cert.pem", &server.certificate), "key": file("key.pem", &server.key)}});
    let deployment = Deployment::start(tables(), flight_settings, |_| {});
    // A client that sends only the first bytes of its ClientHello, and one that does not use TLS.
    let mut slow = RawHttp2Client::connect_without_preface(deployment.program.flight);
    slow.write(&[0x16, 3, 1, 2, 0, 1, 0, 1]);
    let mut plaintext = RawHttp2Client::connect(deployment.program.flight);
    assert!(plaintext.is_closed());
    assert!(slow.is_closed());
    std::fs::remove_dir_all(folder).expect("a folder");
}

/// Returns a `DoExchange` message with one query.
fn exchange_query(tag: &str, command: &Value) -> Vec<u8> {
    let mut all = command.clone();
    all["tag"] = json!(tag);
    frame(&FlightData { app_metadata: all.to_string().into(), ..FlightData::default() })
}

#[test]
fn graceful_shutdown_answers_the_open_queries_of_an_exchange_and_ends_it() {
    let delay_answer = Arc::new(AtomicBool::new(true));
    let delayed = Arc::clone(&delay_answer);
    let script: Script = Arc::new(move |_, ticket, _| {
        while shard(ticket) == 0 && delayed.load(Ordering::Relaxed) {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default())
    });
    let mut deployment = start_deployment(script);
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoExchange", &[], false);
    raw.send_data(stream, &exchange_query("open", &command("place-hold", "h", &[0])), false);
    while deployment.attempts_by_shard("h").is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    deployment.program.signal(libc::SIGTERM);
    assert!(deployment.wait_for_log("Serving -> Draining"));
    raw.send_data(stream, &exchange_query("late", &command("place-hold", "late", &[1])), false);
    delay_answer.store(false, Ordering::Relaxed);
    let reply = raw.read_reply(stream, true);
    let results: Vec<Value> = reply
        .messages
        .iter()
        .filter_map(|m| {
            serde_json::from_slice(&FlightData::decode(m.as_slice()).expect("data").app_metadata).ok()
        })
        .filter(|value: &Value| value.get("status").is_some())
        .collect();
    let status_of =
        |tag: &str| results.iter().find(|value| value["tag"] == tag).map(|value| value["status"].clone());
    assert_eq!(status_of("open"), Some(json!("whole")));
    // A query that arrives after the shutdown request is rejected or not read at all, and is not executed.
    assert!(status_of("late").is_none_or(|status| status == "refused"));
    assert_eq!(deployment.attempts_by_shard("late"), []);
    assert_eq!(reply.status(), Some(14));
    assert_eq!(deployment.program.child.wait().expect("an exit").code(), Some(0));
}

/// Returns the `DoPut` messages for non-idempotent queries with these ids: the schema, then one batch.
fn bulk_queries(ids: &[&str]) -> Vec<Vec<u8>> {
    use arrow_array::StringArray;
    use arrow_schema::{DataType, Field, Schema};
    let schema = Arc::new(Schema::new(vec![Field::new("id", DataType::Utf8, false)]));
    let column = Arc::new(StringArray::from_iter_values(ids));
    let batch = RecordBatch::try_new(schema, vec![column]).expect("a batch");
    let mut all: Vec<Vec<u8>> =
        messages_of(&[batch], TableEncoding::default()).iter().map(|m| m.to_vec()).collect();
    let mut first = FlightData::decode(&all[0][5..]).expect("FlightData");
    let defaults = json!({"kind": "place-hold", "ranges": [0], "predicate": "c41e77d0"});
    first.flight_descriptor = Some(FlightDescriptor::command(defaults.to_string().into()));
    all[0] = frame(&first);
    all
}

#[test]
fn bulk_queries_execute_once_although_their_stream_is_interrupted() {
    let deployment = start_deployment(tables());
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    let first = bulk_queries(&["a", "b"]);
    assert!(first.iter().all(|message| raw.send_data(stream, message, false)));
    // Only half of the next batch is sent, so none of it is executed.
    let second = bulk_queries(&["c"]);
    raw.send_data(stream, &second[1][..second[1].len() / 2], false);
    while deployment.attempts_by_shard("b").is_empty() || deployment.attempts_by_shard("a").is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    drop(raw);
    // The client reconnects, sends all three again, and gets the recorded outcome of those that were executed.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    for message in bulk_queries(&["a", "b", "c"]) {
        raw.send_data(stream, &message, false);
    }
    raw.send_data(stream, &[], true);
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0));
    let result = |m: &Vec<u8>| proto::PutResult::decode(m.as_slice()).expect("a result").app_metadata;
    let results: Vec<Value> =
        reply.messages.iter().map(|m| serde_json::from_slice(&result(m)).expect("JSON")).collect();
    assert_eq!(results.len(), 3);
    assert!(results.iter().all(|value| value["status"] == "whole"), "{results:?}");
    for id in ["a", "b", "c"] {
        assert_eq!(deployment.attempts_by_shard(id), [(0, 1)], "{id}");
    }
}

#[test]
fn malformed_input_on_a_long_stream_is_reported() {
    let deployment = start_deployment(tables());
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let mut call = |method: &str, messages: &[Vec<u8>]| {
        let stream = raw.open_stream(method, &[], false);
        // The server may close the stream early; its status gives the reason.
        let _ = messages.iter().all(|message| raw.send_data(stream, message, false));
        raw.send_data(stream, &[], true);
        let reply = raw.read_reply(stream, true);
        (reply.status(), reply.header("grpc-message").map(str::to_owned))
    };
    let metadata =
        |text: &str| frame(&FlightData { app_metadata: text.to_owned().into(), ..FlightData::default() });
    let message = |reply: (Option<u32>, Option<String>)| reply.1.unwrap_or_default();
    assert_eq!(message(call("DoExchange", &[metadata("{")])), "the metadata are not JSON");
    assert_eq!(message(call("DoExchange", &[metadata("{\"tag\": 7}")])), "the tag is no text, or too long");
    assert_eq!(message(call("DoExchange", &[b"\0\0\0\0\x01\xff".to_vec()])), "this is no FlightData");
    let twice = exchange_query("t", &command("search", "q", &[0]));
    assert!(matches!(call("DoExchange", &[twice.clone(), twice]).0, Some(0 | 6)));
    let table = bulk_queries(&["a"]);
    assert!(message(call("DoPut", &[table[1].clone()])).contains("a batch before its schema"));
    let malformed =
        flight_data(&Bytes::from_static(b"no header"), &Bytes::new(), Vec::new(), Encoding::Identity);
    assert!(message(call("DoPut", &[malformed.concat()])).contains("the table makes no sense"));
    // An empty stream is not an error.
    assert_eq!(call("DoPut", &[]).0, Some(0));
    assert_eq!(call("DoExchange", &[]).0, Some(0));
    let ticket = frame(&Ticket { ticket: Bytes::from_static(b"made up") });
    assert_eq!(raw.call("DoGet", &[], &ticket).status(), Some(3));
    assert_eq!(deployment.attempts_by_shard("a"), []);
}

#[test]
fn client_goaway_does_not_affect_open_streams() {
    let deployment = start_deployment(tables());
    let send_goaway = |raw: &mut RawHttp2Client| raw.send_frame(raw_http2::GOAWAY, 0, 0, &[0; 8]);
    // Before any stream: the client may keep using the connection or close it; other clients are not affected.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    send_goaway(&mut raw);
    raw.shut_down_writing();
    assert!(raw.is_closed());
    // During a request: the rest of the request is accepted, and it is answered.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let ticket = request_ticket(&mut raw, &command("place-hold", "half", &[0]));
    let stream = raw.open_stream("DoGet", &[], false);
    raw.send_data(stream, &ticket[..10], false);
    send_goaway(&mut raw);
    raw.send_data(stream, &ticket[10..], true);
    assert_eq!(raw.read_reply(stream, true).status(), Some(0));
    assert_eq!(deployment.attempts_by_shard("half"), [(0, 1)]);
    // During an exchange: its open queries and those sent after the GOAWAY are answered.
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoExchange", &[], false);
    raw.send_data(stream, &exchange_query("a", &command("place-hold", "xa", &[0])), false);
    send_goaway(&mut raw);
    raw.send_data(stream, &exchange_query("b", &command("place-hold", "xb", &[1])), true);
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0));
    assert_eq!(
        (deployment.attempts_by_shard("xa"), deployment.attempts_by_shard("xb")),
        (vec![(0, 1)], vec![(1, 1)])
    );
    assert!(is_serving(&deployment));
}

/// A row whose text is the null that its dictionary holds.
fn dictionary_of_nulls() -> RecordBatch {
    use arrow_array::types::Int8Type;
    use arrow_array::{ArrayRef, DictionaryArray, Int8Array, NullArray};
    let keys = Int8Array::from(vec![0]);
    let column: ArrayRef = Arc::new(DictionaryArray::<Int8Type>::new(keys, Arc::new(NullArray::new(1))));
    RecordBatch::try_from_iter_with_nullable([("tag", column, true)]).expect("a batch")
}

// Guards against a table that the JSON writer panics on, from a client and from a backend: only its own query fails.
#[test]
fn dictionary_of_nulls_does_not_end_the_program() {
    let script: Script = Arc::new(|_, ticket, _| match shard(ticket) {
        0 => ScriptedReply::Table(vec![dictionary_of_nulls()], TableEncoding::default()),
        _ => ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()),
    });
    let deployment = start_deployment(script);
    let mut raw = RawHttp2Client::connect(deployment.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    for message in messages_of(&[dictionary_of_nulls()], TableEncoding::default()) {
        let _ = raw.send_data(stream, &message, false);
    }
    let _ = raw.send_data(stream, &[], true);
    assert_eq!(raw.read_reply(stream, true).status(), Some(3));
    assert!(is_serving(&deployment));
    let mut client = Connection::connect(deployment.program.http);
    client.send(query("nulls", "search", 3000, &[0]));
    assert_eq!(client.response().expect("an answer").0, 500);
    assert!(is_serving(&deployment));
}
