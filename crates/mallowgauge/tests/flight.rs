//! Conformance of the Flight frontend, tested with the independent client of the `arrow-flight` crate.
//! The catalogue in `docs/flight-conformance.md` names these tests.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use arrow_array::cast::AsArray;
use arrow_array::types::{Float64Type, Int32Type, Int64Type, UInt32Type};
use arrow_array::RecordBatch;
use arrow_flight::error::FlightError;
use arrow_flight::{
    Action, CancelFlightInfoRequest, FlightClient, FlightData, FlightDescriptor, FlightInfo, Ticket,
};
use arrow_ipc::CompressionType;
use bytes::Bytes;
use common::{base64, status, FailedCall};
use futures::{StreamExt, TryStreamExt};
use mallowgauge_flight::proto::{self, OptionValue, SessionOptionValue, SessionOptions};
use mallowgauge_flight::seal;
use mallowgauge_testkit::columns::{listings, Script, ScriptedReply, TableEncoding};
use mallowgauge_testkit::{tls, Deployment};
use prost::Message;
use serde_json::{json, Value};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::Code;

/// Number of rows in each part's table.
const ROWS: usize = 20;

/// Backends that answer each part with a table of two batches.
fn tables() -> Script {
    Arc::new(|_, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        ScriptedReply::Table(
            vec![listings(shard, ROWS / 2), listings(shard + 100, ROWS / 2)],
            TableEncoding::default(),
        )
    })
}

/// Starts the program with default settings and backends that follow the script.
fn start_deployment(script: Script) -> Deployment {
    Deployment::start(script, json!({}), |_| {})
}

async fn client(deployment: &Deployment) -> FlightClient {
    let addr = format!("http://{}", deployment.program.flight);
    FlightClient::new(Endpoint::new(addr).expect("an address").connect().await.expect("a connection"))
}

fn command(kind: &str, id: &str, shards: &[u32]) -> Value {
    json!({"kind": kind, "id": id, "ranges": shards, "predicate": "c41e77d0"})
}

fn descriptor(command: &Value) -> FlightDescriptor {
    FlightDescriptor::new_cmd(command.to_string())
}

fn ticket(info: &FlightInfo) -> Ticket {
    info.endpoint[0].ticket.clone().expect("a ticket")
}

/// Redeems a ticket. Returns its batches and the metadata of the last message.
async fn get(client: &mut FlightClient, ticket: Ticket) -> Result<(Vec<RecordBatch>, Value), FailedCall> {
    let mut request = tonic::Request::new(ticket);
    *request.metadata_mut() = client.metadata().clone();
    let response = client.inner_mut().do_get(request).await.map_err(|e| status(e.into()))?;
    let messages: Vec<FlightData> =
        response.into_inner().try_collect().await.map_err(|e| status(e.into()))?;
    let last = messages.last().map(|data| data.app_metadata.clone()).unwrap_or_default();
    let earlier_metadata = messages[..messages.len() - 1].iter().any(|data| !data.app_metadata.is_empty());
    assert!(!earlier_metadata, "only the last message says whether the answer is complete");
    let decoded = arrow_flight::decode::FlightRecordBatchStream::new_from_flight_data(futures::stream::iter(
        messages.into_iter().map(Ok),
    ));
    let batches = decoded.try_collect().await.expect("batches that the arrow-flight decoder accepts");
    Ok((batches, serde_json::from_slice(&last).expect("JSON")))
}

/// Sends a query with `GetFlightInfo` and redeems its ticket.
async fn run_query(
    client: &mut FlightClient,
    command: &Value,
) -> Result<(Vec<RecordBatch>, Value), FailedCall> {
    let info = client.get_flight_info(descriptor(command)).await.map_err(status)?;
    get(client, ticket(&info)).await
}

/// Counts the rows of each part, by shard.
fn rows_by_shard(batches: &[RecordBatch]) -> BTreeMap<u32, usize> {
    let mut rows = BTreeMap::new();
    for batch in batches {
        let column = batch.column_by_name("range").expect("a column range");
        for shard in column.as_primitive::<UInt32Type>().values() {
            *rows.entry(*shard).or_default() += 1;
        }
    }
    rows
}

#[tokio::test]
async fn tables_are_forwarded_as_backends_sent_them() {
    let deployment = start_deployment(tables());
    let mut client = client(&deployment).await;
    let (batches, metadata) =
        run_query(&mut client, &command("search", "q1", &[0, 1, 2])).await.expect("an answer");
    assert_eq!(metadata, json!({"total": true}));
    assert_eq!(rows_by_shard(&batches), BTreeMap::from([(0, ROWS), (1, ROWS), (2, ROWS)]));
    for batch in &batches {
        let shard = batch.column_by_name("range").expect("range").as_primitive::<UInt32Type>().value(0);
        // Each part's first batch holds the listings of its shard, the second those of shard + 100; the first id tells
        // which batch this is.
        let first_id = batch.column_by_name("listing").expect("ids").as_primitive::<Int64Type>().value(0);
        let source = u32::try_from(first_id / 1_000_000).expect("a shard");
        assert!(source == shard || source == shard + 100);
        let expected = listings(source, ROWS / 2);
        for name in ["listing", "price", "tags", "note"] {
            assert_eq!(batch.column_by_name(name), expected.column_by_name(name), "{name}");
        }
        // Dictionaries are replaced from part to part; the words have to be those of each part.
        let words = |batch: &RecordBatch| -> Vec<String> {
            let column = batch.column_by_name("maker").expect("makers").as_dictionary::<Int32Type>();
            let values = column.values().as_string::<i32>();
            column.keys().iter().map(|key| values.value(key.expect("a key") as usize).to_owned()).collect()
        };
        assert_eq!(words(batch), words(&expected));
    }
}

#[tokio::test]
async fn nullability_is_merged_and_other_schema_differences_fail() {
    // Shards 0 and 1 differ only in nullability. Backend 2 sends another column type, so its parts fail.
    let script: Script = Arc::new(|backend, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        let batch = listings(shard, 4);
        let (schema, mut columns) = (batch.schema(), batch.columns().to_vec());
        let mut fields: Vec<_> = schema.fields().iter().map(|f| f.as_ref().clone()).collect();
        if shard == 1 {
            fields[0] = fields[0].clone().with_nullable(true);
        }
        if backend == 2 {
            fields[0] = arrow_schema::Field::new("listing", arrow_schema::DataType::Float64, false);
            let ids = columns[0].as_primitive::<Int64Type>().values().iter().map(|&id| id as f64);
            columns[0] = Arc::new(ids.collect::<arrow_array::PrimitiveArray<Float64Type>>());
        }
        let batch = RecordBatch::try_new(Arc::new(arrow_schema::Schema::new(fields)), columns);
        ScriptedReply::Table(vec![batch.expect("a batch")], TableEncoding::default())
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let mut failures = 0;
    for i in 0..8 {
        let id = format!("q{i}");
        match run_query(&mut client, &command("search", &id, &[0, 1])).await {
            Ok((batches, metadata)) => {
                assert_eq!(metadata, json!({"total": true}));
                assert_eq!(rows_by_shard(&batches), BTreeMap::from([(0, 4), (1, 4)]));
                let types: std::collections::BTreeSet<String> =
                    batches.iter().map(|b| b.schema().field(0).data_type().to_string()).collect();
                assert_eq!(types.len(), 1, "an answer must not mix column types");
            }
            Err(_) => failures += 1,
        }
    }
    assert!(failures < 8, "some queries reach only backends with equal types");
}

#[tokio::test]
async fn compressed_bodies_and_messages_from_backends_are_accepted() {
    for encoding in [
        TableEncoding { body_compression: Some(CompressionType::LZ4_FRAME), gzip: false },
        TableEncoding { body_compression: Some(CompressionType::ZSTD), gzip: false },
        TableEncoding { body_compression: None, gzip: true },
    ] {
        let script: Script = Arc::new(move |_, ticket, _| {
            ScriptedReply::Table(
                vec![listings(ticket["range"].as_u64().expect("a shard") as u32, 1000)],
                encoding,
            )
        });
        let deployment = start_deployment(script);
        let mut client = client(&deployment).await;
        let (batches, metadata) =
            run_query(&mut client, &command("search", "q1", &[0, 1])).await.expect("an answer");
        assert_eq!(metadata, json!({"total": true}), "{encoding:?}");
        assert_eq!(rows_by_shard(&batches), BTreeMap::from([(0, 1000), (1, 1000)]));
        let batch = &batches[0];
        let shard = batch.column_by_name("range").expect("range").as_primitive::<UInt32Type>().value(0);
        assert_eq!(batch.column_by_name("price"), listings(shard, 1000).column_by_name("price"));
    }
}

#[tokio::test]
async fn client_that_compresses_gets_compressed_answers() {
    let deployment = start_deployment(tables());
    let addr = format!("http://{}", deployment.program.flight);
    let mut raw = mallowgauge_testkit::raw_http2::RawHttp2Client::connect(deployment.program.flight);
    let descriptor = proto::FlightDescriptor::command(command("search", "q1", &[0]).to_string().into());
    let gzip = mallowgauge_flight::grpc::frame_pieces(
        vec![
            Bytes::from([descriptor.encode_to_vec(), vec![]].concat()),
            Bytes::from(
                vec![0x1a, 0xfe, 0x04].into_iter().chain(std::iter::repeat_n(b'p', 638)).collect::<Vec<u8>>(),
            ),
        ],
        mallowgauge_flight::grpc::Encoding::Gzip,
    );
    let bytes = gzip.concat();
    assert_eq!(bytes[0], 1, "the request is compressed");
    let stream = raw.start_call("GetFlightInfo", &[("grpc-encoding", "gzip")], &bytes);
    let mut answer = Vec::new();
    // Reads the frames one by one: the compressed flag of the gRPC message is what this test checks.
    let mut frame_types = Vec::new();
    while let Some(frame) = raw.read_frame() {
        if frame.stream == stream && frame.kind == 0 {
            answer.extend_from_slice(&frame.payload);
        }
        frame_types.push(frame.kind);
        if frame.stream == stream && frame.flags & 1 != 0 {
            break;
        }
    }
    assert_eq!(answer.first(), Some(&1), "the answer is compressed: {addr} {frame_types:?}");
}

#[tokio::test]
async fn unknown_encodings_and_methods_are_rejected_as_specified() {
    let deployment = start_deployment(tables());
    let mut raw = mallowgauge_testkit::raw_http2::RawHttp2Client::connect(deployment.program.flight);
    let reply = raw.call("DoGet", &[("grpc-encoding", "br")], b"\0\0\0\0\0");
    assert_eq!((reply.status(), reply.header("grpc-accept-encoding")), (Some(12), Some("identity,gzip")));
    assert_eq!(raw.call("DoNothing", &[], b"").status(), Some(12));
    assert_eq!(raw.call("/other.Service/DoGet", &[], b"").status(), Some(12));
    // A message with the compressed flag on a call without grpc-encoding.
    assert_eq!(raw.call("DoGet", &[], b"\x01\0\0\0\0").status(), Some(13));
    assert_eq!(raw.call("DoGet", &[("grpc-timeout", "5 parsecs")], b"\0\0\0\0\0").status(), Some(3));
    // A gzip bomb: ten megabytes of zeros in a few kilobytes.
    let bomb = vec![Bytes::from(vec![0_u8; 10 << 20])];
    let bomb =
        mallowgauge_flight::grpc::frame_pieces(bomb, mallowgauge_flight::grpc::Encoding::Gzip).concat();
    assert!(bomb.len() < 64 << 10);
    assert_eq!(raw.call("DoGet", &[("grpc-encoding", "gzip")], &bomb).status(), Some(8));
}

#[tokio::test]
async fn four_of_five_parts_give_a_partial_answer_on_every_method() {
    let script: Script = Arc::new(|_, ticket, _| match ticket["range"].as_u64() {
        Some(4) => ScriptedReply::Hang,
        shard => {
            ScriptedReply::Table(vec![listings(shard.expect("a shard") as u32, 4)], TableEncoding::default())
        }
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let four: BTreeMap<u32, usize> = (0..4).map(|shard| (shard, 4)).collect();
    let (batches, metadata) =
        run_query(&mut client, &command("sales-report", "g", &[0, 1, 2, 3, 4])).await.expect("an answer");
    assert_eq!((rows_by_shard(&batches), metadata), (four.clone(), json!({"total": false})));
    // With PollFlightInfo.
    let (info, _) =
        poll(&mut client, &command("sales-report", "p", &[0, 1, 2, 3, 4])).await.expect("a completed query");
    let (batches, metadata) = get(&mut client, ticket(&info)).await.expect("the outcome");
    assert_eq!((rows_by_shard(&batches), metadata), (four.clone(), json!({"total": false})));
    // With DoExchange.
    let query =
        json!({"tag": "x", "kind": "sales-report", "ranges": [0, 1, 2, 3, 4], "predicate": "c41e77d0"});
    let results = exchange(&mut client, vec![query]).await;
    assert_eq!(results["x"].0["status"], "partial");
    assert_eq!(results["x"].1, 16);
    // With DoPut.
    let results = put(
        &mut client,
        vec![json!({"kind": "sales-report", "ranges": [0, 1, 2, 3, 4], "predicate": "c41e77d0"})],
    )
    .await;
    assert_eq!((&results[0]["status"], &results[0]["total"]), (&json!("partial"), &json!(false)));
    // A session that accepts only complete answers gets an error instead.
    set_options(&mut client, &[("whole_only", OptionValue::Bool(true))]).await;
    let failed =
        run_query(&mut client, &command("sales-report", "w", &[0, 1, 2, 3, 4])).await.expect_err("a failure");
    assert_eq!((failed.0, failed.1.as_deref()), (Code::Aborted, Some("PARTIAL")));
}

/// Polls until the query completes. Returns the last `FlightInfo` and the number of calls.
async fn poll(client: &mut FlightClient, command: &Value) -> Result<(FlightInfo, u32), FailedCall> {
    let mut next = descriptor(command);
    let mut last_progress = 0.0;
    for calls in 1..100 {
        let info = client.poll_flight_info(next).await.map_err(status)?;
        let progress = info.progress.expect("progress");
        assert!((last_progress..=1.0).contains(&progress), "progress never decreases");
        last_progress = progress;
        match info.flight_descriptor {
            None => {
                assert!(info.expiration_time.is_some());
                return Ok((info.info.expect("a FlightInfo"), calls));
            }
            Some(descriptor) => next = descriptor,
        }
    }
    panic!("the query does not complete")
}

/// Sends these requests on one exchange. Returns the final metadata and the number of rows for each tag.
async fn exchange(client: &mut FlightClient, requests: Vec<Value>) -> BTreeMap<String, (Value, usize)> {
    let expected = requests.iter().filter(|value| value.get("tag").is_some()).count();
    let messages = requests
        .into_iter()
        .map(|value| FlightData { app_metadata: value.to_string().into(), ..FlightData::default() });
    let stream = futures::stream::iter(messages.collect::<Vec<FlightData>>());
    let response = client.inner_mut().do_exchange(stream).await.expect("an exchange").into_inner();
    let all: Vec<FlightData> = response.try_collect().await.expect("messages");
    // Unlike other clients, this decoder rejects messages that carry only metadata, so they are filtered out.
    let with_header = all.iter().filter(|data| !data.data_header.is_empty()).cloned().map(Ok);
    let stream = futures::stream::iter(with_header.collect::<Vec<Result<FlightData, FlightError>>>());
    let decoded = arrow_flight::decode::FlightRecordBatchStream::new_from_flight_data(stream);
    let mut batches =
        decoded.map(|batch| batch.expect("a batch").num_rows()).collect::<Vec<_>>().await.into_iter();
    let mut results = BTreeMap::<String, (Value, usize)>::new();
    for message in all {
        let metadata: Value = serde_json::from_slice(&message.app_metadata).unwrap_or_default();
        let kind = arrow_ipc::root_as_message(&message.data_header).map(|head| head.header_type());
        let rows = match kind {
            Ok(arrow_ipc::MessageHeader::RecordBatch) => batches.next().expect("a batch for each message"),
            _ => 0,
        };
        let Some(tag) = metadata["tag"].as_str() else { continue };
        let entry = results.entry(tag.to_owned()).or_default();
        entry.1 += rows;
        if metadata.get("status").is_some() {
            assert!(entry.0.is_null(), "one final answer for each tag");
            entry.0 = metadata;
        }
    }
    assert_eq!(results.len(), expected);
    results
}

/// Sends queries as rows of a table with `DoPut`. Returns the results in the order of the rows.
async fn put(client: &mut FlightClient, queries: Vec<Value>) -> Vec<Value> {
    use arrow_schema::{DataType, Field, Schema};
    let item = Arc::new(Field::new("item", DataType::UInt32, true));
    let fields = vec![
        Field::new("id", DataType::Utf8, true),
        Field::new("kind", DataType::Utf8, true),
        Field::new("ranges", DataType::List(item), true),
        Field::new("predicate", DataType::Utf8, true),
    ];
    let schema = Arc::new(Schema::new(fields));
    let text = |key: &str| -> arrow_array::ArrayRef {
        Arc::new(
            queries.iter().map(|q| q[key].as_str().map(str::to_owned)).collect::<arrow_array::StringArray>(),
        )
    };
    let ranges = arrow_array::ListArray::from_iter_primitive::<UInt32Type, _, _>(queries.iter().map(|q| {
        let all = q["ranges"].as_array()?;
        Some(all.iter().map(|v| v.as_u64().map(|n| n as u32)).collect::<Vec<_>>())
    }));
    let columns = vec![text("id"), text("kind"), Arc::new(ranges), text("predicate")];
    let batch = RecordBatch::try_new(schema, columns).expect("a batch");
    let stream = arrow_flight::encode::FlightDataEncoderBuilder::new()
        .with_flight_descriptor(Some(FlightDescriptor::new_cmd("{}")))
        .build(futures::stream::iter([Ok(batch)]));
    let results = client.do_put(stream).await.expect("a stream");
    let results: Vec<_> = results.try_collect().await.expect("results");
    let mut results: Vec<Value> =
        results.iter().map(|r| serde_json::from_slice(&r.app_metadata).expect("JSON")).collect();
    results.sort_by_key(|value| value["row"].as_u64());
    results
}

/// Sets session options and keeps the session's cookie. Returns the error of each rejected option.
async fn set_options(client: &mut FlightClient, options: &[(&str, OptionValue)]) -> BTreeMap<String, i32> {
    let value = |v: &OptionValue| SessionOptionValue { option_value: Some(v.clone()) };
    let session_options = options.iter().map(|(name, v)| ((*name).to_owned(), value(v))).collect();
    let body = SessionOptions { session_options }.encode_to_vec();
    let request = tonic::Request::new(Action::new("SetSessionOptions", body));
    let response = client.inner_mut().do_action(request).await.expect("an action");
    if let Some(cookie) = response.metadata().get("set-cookie") {
        let cookie = cookie.to_str().expect("text").to_owned();
        client.add_header("cookie", &cookie).expect("a header");
    }
    let result = response.into_inner().try_next().await.expect("a result").expect("one");
    let result = proto::SetSessionOptionsResult::decode(result.body).expect("a result");
    result.errors.into_iter().map(|(name, error)| (name, error.value)).collect()
}

#[tokio::test]
async fn ticket_of_a_non_idempotent_query_executes_once_and_repeats_its_outcome() {
    let deployment = start_deployment(tables());
    let mut client = client(&deployment).await;
    let info = client.get_flight_info(descriptor(&command("place-hold", "h1", &[0, 1]))).await.expect("info");
    let first = get(&mut client, ticket(&info)).await.expect("the outcome");
    let second = get(&mut client, ticket(&info)).await.expect("the outcome");
    assert_eq!(first, second);
    // Another ticket, a DoPut row and an exchange with the same id are the same query.
    let (third, _) =
        run_query(&mut client, &command("place-hold", "h1", &[0, 1])).await.expect("the outcome");
    assert_eq!(rows_by_shard(&third), BTreeMap::from([(0, ROWS), (1, ROWS)]));
    let results = put(&mut client, vec![command("place-hold", "h1", &[0, 1])]).await;
    assert_eq!((&results[0]["status"], &results[0]["id"]), (&json!("whole"), &json!("h1")));
    let mut query = command("place-hold", "h1", &[0, 1]);
    query["tag"] = json!("t");
    assert_eq!(exchange(&mut client, vec![query]).await["t"].0["status"], "whole");
    assert_eq!(
        poll(&mut client, &command("place-hold", "h1", &[0, 1])).await.expect("a completed query").1,
        1
    );
    assert_eq!(deployment.attempts_by_shard("h1"), [(0, 1), (1, 1)]);
    // The same id with another query is rejected.
    let failed = run_query(&mut client, &command("place-hold", "h1", &[2])).await.expect_err("a rejection");
    assert_eq!((failed.0, failed.1.as_deref()), (Code::AlreadyExists, Some("ID_IN_USE")));
    // An idempotent query is executed each time.
    for _ in 0..2 {
        run_query(&mut client, &command("search", "s1", &[0])).await.expect("an answer");
    }
    assert_eq!(deployment.attempts_by_shard("s1"), [(0, 2)]);
}

#[tokio::test]
async fn interrupted_non_idempotent_query_is_not_retried_on_any_method() {
    let script: Script = Arc::new(|_, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        ScriptedReply::Reset(vec![listings(shard, 1000)], 4000)
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let info = client.get_flight_info(descriptor(&command("place-hold", "get", &[0]))).await.expect("info");
    for _ in 0..3 {
        let failed = get(&mut client, ticket(&info)).await.expect_err("a failure");
        assert_eq!(failed.0, Code::Internal);
    }
    for _ in 0..2 {
        let results = put(&mut client, vec![command("place-hold", "put", &[0])]).await;
        assert_eq!(results[0]["status"], "failed");
        let mut query = command("place-hold", "exchange", &[0]);
        query["tag"] = json!("t");
        assert_eq!(exchange(&mut client, vec![query]).await["t"].0["status"], "failed");
        let failed = poll(&mut client, &command("place-hold", "poll", &[0])).await.expect_err("a failure");
        assert_eq!(failed.0, Code::Internal);
    }
    for id in ["get", "put", "exchange", "poll"] {
        assert_eq!(deployment.attempts_by_shard(id), [(0, 1)], "{id}");
    }
}

#[tokio::test]
async fn non_idempotent_query_rejected_by_a_backend_is_retried_elsewhere() {
    let script: Script = Arc::new(|_, ticket, earlier_attempts| match earlier_attempts {
        0 => ScriptedReply::Reject,
        _ => ScriptedReply::Table(
            vec![listings(ticket["range"].as_u64().expect("a shard") as u32, 2)],
            TableEncoding::default(),
        ),
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let (batches, _) = run_query(&mut client, &command("place-hold", "h", &[0])).await.expect("an answer");
    assert_eq!(
        (rows_by_shard(&batches), deployment.attempts_by_shard("h")),
        (BTreeMap::from([(0, 2)]), vec![(0, 2)])
    );
}

#[tokio::test]
async fn polled_query_runs_between_polls_and_completes_once() {
    let deployment = start_deployment(tables());
    let mut client = client(&deployment).await;
    let query = command("sales-report", "r1", &[0, 1, 2]);
    let (info, calls) = poll(&mut client, &query).await.expect("a completed query");
    assert!(calls >= 2, "the first call only starts the query");
    assert_eq!(info.total_records, 3 * ROWS as i64);
    assert!(info.total_bytes > 0 && !info.schema.is_empty());
    let (first, metadata) = get(&mut client, ticket(&info)).await.expect("the outcome");
    let (again, _) = get(&mut client, ticket(&info)).await.expect("the outcome");
    assert_eq!((rows_by_shard(&first).len(), metadata), (3, json!({"total": true})));
    assert_eq!(first, again);
    assert_eq!(poll(&mut client, &query).await.expect("a completed query").1, 1);
    assert_eq!(deployment.attempts_by_shard("r1"), [(0, 1), (1, 1), (2, 1)]);
}

#[tokio::test]
async fn flights_are_cancelled_renewed_and_expired() {
    let script: Script = Arc::new(|_, ticket, _| match ticket["range"].as_u64() {
        Some(0) => ScriptedReply::Hang,
        shard => {
            ScriptedReply::Table(vec![listings(shard.expect("a shard") as u32, 2)], TableEncoding::default())
        }
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    // A running query is cancelled: the client that waits for it gets the status.
    let slow = client.get_flight_info(descriptor(&command("search", "slow", &[0]))).await.expect("info");
    let mut other = FlightClient::new(channel(&deployment).await);
    let waiting = tokio::spawn({
        let ticket = ticket(&slow);
        async move { get(&mut other, ticket).await }
    });
    while deployment.attempts_by_shard("slow").is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let result =
        client.cancel_flight_info(CancelFlightInfoRequest::new(slow.clone())).await.expect("a result");
    assert_eq!(result.status(), arrow_flight::CancelStatus::Cancelled);
    assert_eq!(waiting.await.expect("a task").expect_err("a failure").0, Code::Cancelled);
    assert_eq!(get(&mut client, ticket(&slow)).await.expect_err("a failure").0, Code::Cancelled);
    // A non-idempotent query that is possibly executed cannot be cancelled.
    let non_idempotent =
        client.get_flight_info(descriptor(&command("place-hold", "hold", &[0]))).await.expect("info");
    let mut other = FlightClient::new(channel(&deployment).await);
    let waiting = tokio::spawn({
        let ticket = ticket(&non_idempotent);
        async move { get(&mut other, ticket).await }
    });
    while deployment.attempts_by_shard("hold").is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let result =
        client.cancel_flight_info(CancelFlightInfoRequest::new(non_idempotent)).await.expect("a result");
    assert_eq!(result.status(), arrow_flight::CancelStatus::NotCancellable);
    waiting.abort();
    // A renewed endpoint is valid for longer, and an expired one is no longer valid.
    let info = client.get_flight_info(descriptor(&command("search", "fresh", &[1]))).await.expect("info");
    let request = arrow_flight::RenewFlightEndpointRequest::new(info.endpoint[0].clone());
    let renewed = client.renew_flight_endpoint(request).await.expect("an endpoint");
    let expiration = |e: &arrow_flight::FlightEndpoint| {
        let time = e.expiration_time.as_ref().expect("a time");
        (time.seconds, time.nanos)
    };
    assert!(expiration(&renewed) >= expiration(&info.endpoint[0]));
    get(&mut client, renewed.ticket.clone().expect("a ticket")).await.expect("an answer");
    let action = Action::new("ExpireFlightEndpoint", renewed.encode_to_vec());
    let none: Vec<Bytes> =
        client.do_action(action).await.expect("an action").try_collect().await.expect("results");
    assert!(none.is_empty());
    assert_eq!(get(&mut client, ticket(&info)).await.expect_err("a failure").0, Code::Cancelled);
}

async fn channel(deployment: &Deployment) -> Channel {
    let addr = format!("http://{}", deployment.program.flight);
    Endpoint::new(addr).expect("an address").connect().await.expect("a connection")
}

#[tokio::test]
async fn schemas_flights_and_actions_are_listed() {
    let deployment = start_deployment(tables());
    let mut client = client(&deployment).await;
    // No backend has sent a table of this class yet, so the schema is unknown.
    let query = command("search", "q", &[0]);
    let failed = status(client.get_schema(descriptor(&query)).await.expect_err("an unknown schema"));
    assert_eq!((failed.0, failed.1.as_deref()), (Code::NotFound, Some("SCHEMA_UNKNOWN")));
    let (batches, _) = run_query(&mut client, &query).await.expect("an answer");
    let schema = client.get_schema(descriptor(&query)).await.expect("a schema");
    assert_eq!(schema.fields().len(), 6);
    assert_eq!(&schema, batches[0].schema().as_ref());
    let path = FlightDescriptor::new_path(vec!["search".to_owned()]);
    assert_eq!(client.get_schema(path).await.expect("a schema"), schema);
    run_query(&mut client, &command("place-hold", "h", &[0])).await.expect("an answer");
    let list = |client: &mut FlightClient, filter: Value| {
        let expression = if filter.is_null() { String::new() } else { filter.to_string() };
        let mut inner = client.inner().clone();
        async move {
            let criteria = arrow_flight::Criteria { expression: expression.into() };
            let stream = inner.list_flights(criteria).await?.into_inner();
            let infos: Vec<FlightInfo> = stream.try_collect().await?;
            let metadata = |i: &FlightInfo| serde_json::from_slice::<Value>(&i.app_metadata).expect("JSON");
            Ok::<Vec<Value>, tonic::Status>(infos.iter().map(metadata).collect())
        }
    };
    let all = list(&mut client, Value::Null).await.expect("flights");
    let kinds: Vec<&str> = all.iter().filter_map(|f| f["kind"].as_str()).collect();
    assert_eq!(kinds, ["search", "place-hold", "sales-report"]);
    assert!(all.iter().any(|f| f["id"] == "h" && f["state"] == "done"), "{all:?}");
    let one = list(&mut client, json!({"kind": "search"})).await.expect("flights");
    assert_eq!(one.len(), 1);
    let failed = list(&mut client, json!({"colour": "red"})).await.expect_err("no such criterion");
    assert_eq!(failed.code(), Code::InvalidArgument);
    let actions: Vec<_> = client.list_actions().await.expect("actions").try_collect().await.expect("all");
    let names: Vec<&str> = actions.iter().map(|a| a.r#type.as_str()).collect();
    for name in [
        "CancelFlightInfo",
        "RenewFlightEndpoint",
        "SetSessionOptions",
        "GetSessionOptions",
        "CloseSession",
        "Advice",
    ] {
        assert!(names.contains(&name), "{name}");
    }
    let advice: Vec<Bytes> = client
        .do_action(Action::new("Advice", ""))
        .await
        .expect("an action")
        .try_collect()
        .await
        .expect("one");
    let advice: Value = serde_json::from_slice(&advice[0]).expect("JSON");
    assert!(advice["retry_after_ms"].is_u64() && advice["serving"] == true);
    let failed = match client.do_action(Action::new("Dance", "")).await {
        Ok(stream) => status(stream.try_collect::<Vec<Bytes>>().await.expect_err("no such action")),
        Err(e) => status(e),
    };
    assert_eq!((failed.0, failed.1.as_deref()), (Code::Unimplemented, Some("NO_SUCH_ACTION")));
}

#[tokio::test]
async fn query_is_split_over_ordered_endpoints() {
    let deployment = start_deployment(tables());
    let mut client = client(&deployment).await;
    let mut query = command("search", "q", &[0, 1, 2, 3, 4]);
    query["endpoints"] = json!(2);
    let info = client.get_flight_info(descriptor(&query)).await.expect("info");
    assert_eq!((info.endpoint.len(), info.ordered), (2, true));
    let mut parts = BTreeMap::new();
    for endpoint in &info.endpoint {
        assert!(endpoint.expiration_time.is_some() && endpoint.location.is_empty());
        let (batches, metadata) =
            get(&mut client, endpoint.ticket.clone().expect("a ticket")).await.expect("rows");
        assert_eq!(metadata, json!({"total": true}));
        parts.extend(rows_by_shard(&batches));
    }
    assert_eq!(parts, (0..5).map(|shard| (shard, ROWS)).collect());
    let mut non_idempotent = command("place-hold", "h", &[0, 1]);
    non_idempotent["endpoints"] = json!(2);
    let failed = status(
        client
            .get_flight_info(descriptor(&non_idempotent))
            .await
            .expect_err("a non-idempotent query is not split"),
    );
    assert_eq!(failed.0, Code::InvalidArgument);
}

#[tokio::test]
async fn sessions_keep_their_options() {
    let script: Script = Arc::new(|_, _, _| ScriptedReply::Fail(Code::Internal.into_grpc()));
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let errors = set_options(
        &mut client,
        &[
            ("compression", OptionValue::String("zstd".to_owned())),
            ("timeout_ms", OptionValue::Int64(-4)),
            ("colour", OptionValue::String("red".to_owned())),
        ],
    )
    .await;
    assert_eq!(errors, BTreeMap::from([("colour".to_owned(), 1), ("timeout_ms".to_owned(), 2)]));
    let options = |client: &mut FlightClient| {
        let request = tonic::Request::new(Action::new("GetSessionOptions", ""));
        let mut inner = client.inner().clone();
        let metadata = client.metadata().clone();
        async move {
            let mut request = request;
            *request.metadata_mut() = metadata;
            let mut stream = inner.do_action(request).await.expect("an action").into_inner();
            let result = stream.try_next().await.expect("a result").expect("one");
            SessionOptions::decode(result.body).expect("options").session_options
        }
    };
    let session_options = options(&mut client).await;
    assert_eq!(session_options["compression"].option_value, Some(OptionValue::String("zstd".to_owned())));
    assert_eq!(session_options["timeout_ms"].option_value, None);
    let closed: Vec<Bytes> = client
        .do_action(Action::new("CloseSession", ""))
        .await
        .expect("an action")
        .try_collect()
        .await
        .expect("one");
    assert_eq!(proto::CloseSessionResult::decode(closed[0].clone()).expect("a result").status, 1);
    assert_eq!(
        options(&mut client).await["compression"].option_value,
        Some(OptionValue::String("none".to_owned()))
    );
}

trait IntoGrpc {
    fn into_grpc(self) -> mallowgauge_flight::grpc::Code;
}

impl IntoGrpc for Code {
    fn into_grpc(self) -> mallowgauge_flight::grpc::Code {
        assert_eq!(self, Code::Internal);
        mallowgauge_flight::grpc::Code::Internal
    }
}

#[tokio::test]
async fn exchange_answers_queries_as_they_complete_and_cancels_one() {
    let script: Script = Arc::new(|_, ticket, _| match ticket["range"].as_u64() {
        Some(9) => ScriptedReply::Hang,
        shard => {
            ScriptedReply::Table(vec![listings(shard.expect("a shard") as u32, 4)], TableEncoding::default())
        }
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let query = |tag: &str, kind: &str, shards: &[u32]| {
        let mut all = command(kind, &format!("x-{tag}"), shards);
        all["tag"] = json!(tag);
        all
    };
    let mut requests: Vec<Value> = (0..30).map(|i| query(&format!("s{i}"), "search", &[i % 5])).collect();
    requests.push(query("slow", "search", &[9]));
    requests.push(query("odd", "browse", &[1]));
    requests.push(json!({"cancel": "slow"}));
    let results = exchange(&mut client, requests).await;
    for i in 0..30 {
        let (status, rows) = &results[&format!("s{i}")];
        assert_eq!((&status["status"], *rows), (&json!("whole"), 4), "{i}: {status}");
    }
    assert_eq!(results["slow"].0["status"], "cancelled");
    assert_eq!(
        (&results["odd"].0["status"], &results["odd"].0["error"]),
        (&json!("invalid"), &json!("the class is unknown"))
    );
}

#[tokio::test]
async fn bulk_queries_have_one_result_per_row() {
    let deployment = start_deployment(tables());
    let mut client = client(&deployment).await;
    let queries: Vec<Value> = (0..200)
        .map(|i| match i {
            7 => json!({"id": "odd", "kind": "place-hold", "ranges": [77], "predicate": "c41e77d0"}),
            _ => command("place-hold", &format!("bulk-{i}"), &[i % 10]),
        })
        .collect();
    let results = put(&mut client, queries).await;
    assert_eq!(results.len(), 200);
    for (row, value) in results.iter().enumerate() {
        assert_eq!(value["row"], row);
        // A query over the limit is rejected with a retry delay and is not executed.
        match (row, value["status"].as_str()) {
            (7, status) => assert_eq!(status, Some("invalid")),
            (_, Some("whole")) => assert_eq!(deployment.attempts_by_shard(&format!("bulk-{row}")).len(), 1),
            (_, Some("refused")) => assert!(value["retry_after_ms"].as_u64() > Some(0), "{value}"),
            (_, other) => panic!("row {row}: {other:?}: {value}"),
        }
    }
    let complete = results.iter().filter(|value| value["status"] == "whole").count();
    assert!(complete > 100, "{complete} of 200");
}

#[tokio::test]
async fn tokens_and_tickets_are_bound_to_their_user() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-users-{}", std::process::id()));
    let secret = |password: &str| seal::password_entry(password, b"salt", 1000);
    let text = format!("# who may call\nann:{}\nbob:{}\n", secret("wheat"), secret("oats"));
    let users = tls::write_file(&folder, "users.txt", &text);
    let key = tls::write_file(&folder, "flight.key", "a key that two copies share");
    let flight_settings = json!({"users": users, "key": key});
    let (deployment, second_deployment) = (
        Deployment::start(tables(), flight_settings.clone(), |_| {}),
        Deployment::start(tables(), flight_settings, |_| {}),
    );
    let mut anonymous = client(&deployment).await;
    let failed = status(
        anonymous.get_flight_info(descriptor(&command("search", "q", &[0]))).await.expect_err("no token"),
    );
    assert_eq!(failed.0, Code::Unauthenticated);
    // The handshake takes basic credentials and returns a bearer token.
    let login = |addr: std::net::SocketAddr, name: &'static str, password: &'static str| async move {
        let channel = Endpoint::new(format!("http://{addr}")).expect("an address").connect().await;
        let mut client = FlightClient::new(channel.expect("a connection"));
        let basic = base64(format!("{name}:{password}").as_bytes());
        let padded = format!("{basic}{}", "=".repeat((4 - basic.len() % 4) % 4));
        client.add_header("authorization", &format!("Basic {padded}")).expect("a header");
        let request = futures::stream::iter([arrow_flight::HandshakeRequest::default()]);
        let mut request = tonic::Request::new(request);
        *request.metadata_mut() = client.metadata().clone();
        let response = client.inner_mut().handshake(request).await?;
        let bearer = response.metadata().get("authorization").map(|v| v.to_str().expect("text").to_owned());
        Ok::<String, tonic::Status>(bearer.expect("a token"))
    };
    let wrong = login(deployment.program.flight, "ann", "oats").await.expect_err("a wrong password");
    assert_eq!(wrong.code(), Code::Unauthenticated);
    let ann = login(deployment.program.flight, "ann", "wheat").await.expect("a token");
    let bob = login(deployment.program.flight, "bob", "oats").await.expect("a token");
    let mut as_ann = client(&deployment).await;
    as_ann.add_header("authorization", &ann).expect("a header");
    let info = as_ann.get_flight_info(descriptor(&command("search", "q", &[0]))).await.expect("info");
    get(&mut as_ann, ticket(&info)).await.expect("an answer");
    // Another user's ticket and a modified ticket are rejected.
    let mut as_bob = client(&deployment).await;
    as_bob.add_header("authorization", &bob).expect("a header");
    let failed = get(&mut as_bob, ticket(&info)).await.expect_err("another user's ticket");
    assert_eq!(failed.0, Code::PermissionDenied);
    let mut modified = ticket(&info);
    modified.ticket =
        modified.ticket.iter().enumerate().map(|(i, b)| if i == 40 { b ^ 1 } else { *b }).collect();
    let failed = get(&mut as_ann, modified).await.expect_err("a modified ticket");
    assert_eq!((failed.0, failed.1.as_deref()), (Code::InvalidArgument, Some("TICKET_FORGED")));
    // An instance with the same key accepts token and ticket, but not the ticket of a non-idempotent query, which is
    // possibly executed by the instance that issued it.
    let non_idempotent =
        as_ann.get_flight_info(descriptor(&command("place-hold", "h", &[0]))).await.expect("info");
    let mut second_client = client(&second_deployment).await;
    second_client.add_header("authorization", &ann).expect("a header");
    get(&mut second_client, ticket(&info)).await.expect("an answer");
    let failed =
        get(&mut second_client, ticket(&non_idempotent)).await.expect_err("a ticket of another instance");
    assert_eq!((failed.0, failed.1.as_deref()), (Code::FailedPrecondition, Some("OTHER_ISSUER")));
    assert_eq!(second_deployment.attempts_by_shard("h"), []);
    std::fs::remove_dir_all(folder).expect("a folder");
}

#[tokio::test]
async fn mutual_tls_certificate_is_replaced_while_connections_are_open() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-tls-{}", std::process::id()));
    let (authority, clients, backends) =
        (tls::Authority::new(), tls::Authority::new(), tls::Authority::new());
    let (server, client_identity, backend) =
        (authority.sign(false), clients.sign(false), backends.sign(false));
    let certificate = tls::write_file(&folder, "cert.pem", &server.certificate);
    let key = tls::write_file(&folder, "key.pem", &server.key);
    let flight_settings = json!({
        "tls": {"certificate": certificate, "key": key, "client_ca": tls::write_file(&folder, "clients.pem", &clients.pem)},
        "host_tls": {"ca": tls::write_file(&folder, "hosts.pem", &backends.pem), "name": "localhost",
            "certificate": tls::write_file(&folder, "us.pem", &client_identity.certificate),
            "key": tls::write_file(&folder, "us.key", &client_identity.key)},
    });
    let deployment = Deployment::start_with_tls(
        tables(),
        flight_settings,
        Some(backend.server_config(Some(&clients.pem))),
        |_| {},
    );
    let connect = |root: &str, identity: Option<&tls::Identity>| {
        let mut config =
            ClientTlsConfig::new().ca_certificate(Certificate::from_pem(root)).domain_name("localhost");
        if let Some(identity) = identity {
            config = config.identity(Identity::from_pem(&identity.certificate, &identity.key));
        }
        let addr = format!("https://{}", deployment.program.flight);
        Endpoint::new(addr).expect("an address").tls_config(config).expect("a config").connect_lazy()
    };
    let query = command("search", "q", &[0, 1, 2]);
    let mut client = FlightClient::new(connect(&authority.pem, Some(&client_identity)));
    let (batches, metadata) = run_query(&mut client, &query).await.expect("an answer");
    assert_eq!((rows_by_shard(&batches).len(), metadata), (3, json!({"total": true})));
    let mut without_certificate = FlightClient::new(connect(&authority.pem, None));
    without_certificate.get_flight_info(descriptor(&query)).await.expect_err("a client without certificate");
    // SIGHUP loads a new certificate from a new authority: the open connection stays, new ones get the new
    // certificate.
    let second = tls::Authority::new();
    let replacement = second.sign(false);
    tls::write_file(&folder, "cert.pem", &replacement.certificate);
    tls::write_file(&folder, "key.pem", &replacement.key);
    deployment.program.signal(1);
    assert!(deployment.wait_for_log("configuration reloaded"));
    run_query(&mut client, &query).await.expect("the open connection stays usable");
    let mut new = FlightClient::new(connect(&second.pem, Some(&client_identity)));
    run_query(&mut new, &query).await.expect("the new certificate");
    let mut old = FlightClient::new(connect(&authority.pem, Some(&client_identity)));
    old.get_flight_info(descriptor(&query)).await.expect_err("the old certificate is no longer presented");
    // An invalid key file leaves the configuration unchanged.
    tls::write_file(&folder, "key.pem", "no key");
    deployment.program.signal(1);
    assert!(
        deployment.wait_for_log("configuration reload failed, previous configuration kept: flight.tls.key")
    );
    run_query(&mut new, &query).await.expect("the previous certificate stays in use");
    std::fs::remove_dir_all(folder).expect("a folder");
}

#[tokio::test]
async fn text_answers_are_compressed_as_the_session_option_says() {
    let script: Script = Arc::new(|_, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        mallowgauge_testkit::columns::text_reply(shard, "good", &"wheat ".repeat(500))
    });
    let deployment = start_deployment(script);
    let mut client = client(&deployment).await;
    let mut sizes = Vec::new();
    for codec in ["none", "lz4", "zstd"] {
        set_options(&mut client, &[("compression", OptionValue::String(codec.to_owned()))]).await;
        let query = command("search", &format!("q-{codec}"), &[0, 1]);
        let (batches, metadata) = run_query(&mut client, &query).await.expect("an answer");
        assert_eq!(metadata, json!({"total": true}));
        assert_eq!(rows_by_shard(&batches), BTreeMap::from([(0, 1), (1, 1)]));
        let blob = batches[0].column_by_name("blob").expect("blobs").as_string::<i32>().value(0);
        assert_eq!(blob.len(), 3000);
        let info = client.get_flight_info(descriptor(&query)).await.expect("info");
        let mut request = tonic::Request::new(ticket(&info));
        *request.metadata_mut() = client.metadata().clone();
        let stream = client.inner_mut().do_get(request).await.expect("a stream").into_inner();
        let messages: Vec<FlightData> = stream.try_collect().await.expect("messages");
        sizes.push(messages.iter().map(|data| data.data_body.len()).sum::<usize>());
    }
    assert!(sizes[1] < sizes[0] / 4 && sizes[2] < sizes[0] / 4, "{sizes:?}");
}

#[tokio::test]
async fn expired_backend_certificate_is_rejected() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-expired-{}", std::process::id()));
    let backends = tls::Authority::new();
    let flight_settings = json!({"host_tls": {"ca": tls::write_file(&folder, "hosts.pem", &backends.pem), "name": "localhost"}});
    let deployment = Deployment::start_with_tls(
        tables(),
        flight_settings,
        Some(backends.sign(true).server_config(None)),
        |_| {},
    );
    let mut client = client(&deployment).await;
    run_query(&mut client, &command("search", "q", &[0])).await.expect_err("an expired certificate");
    assert_eq!(deployment.attempts_by_shard("q"), []);
    assert!(deployment.wait_for_log("TLS handshake failed"));
    std::fs::remove_dir_all(folder).expect("a folder");
}

#[tokio::test]
async fn health_is_reported_and_watched() {
    let deployment = start_deployment(tables());
    let mut raw = mallowgauge_testkit::raw_http2::RawHttp2Client::connect(deployment.program.flight);
    let check_request = |service: &str| {
        let message = proto::HealthCheckRequest { service: service.to_owned() };
        mallowgauge_flight::grpc::frame(&message)
    };
    for service in ["", "arrow.flight.protocol.FlightService"] {
        let reply = raw.call("/grpc.health.v1.Health/Check", &[], &check_request(service));
        let health = proto::HealthCheckResponse::decode(reply.messages[0].as_slice()).expect("health");
        assert_eq!((reply.status(), health.status), (Some(0), 1));
    }
    assert_eq!(raw.call("/grpc.health.v1.Health/Check", &[], &check_request("other")).status(), Some(5));
    let watch = raw.start_call("/grpc.health.v1.Health/Watch", &[], &check_request(""));
    // The first status must arrive before the shutdown.
    while raw.read_frame().expect("a frame").kind != 0 {}
    deployment.program.signal(15);
    let reply = raw.read_reply(watch, true);
    let last = reply.messages.last().expect("a status update");
    assert_eq!(proto::HealthCheckResponse::decode(last.as_slice()).expect("health").status, 2);
}
