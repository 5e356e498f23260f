//! Stand-ins that speak Arrow Flight: a backend and a client.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};

use arrow_array::{RecordBatch, StringArray, UInt32Array};
use arrow_ipc::reader::StreamReader;
use arrow_ipc::writer::{DictionaryTracker, IpcDataGenerator, IpcWriteContext, IpcWriteOptions};
use arrow_schema::{DataType, Field, Schema};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{HeaderMap, Request, Response};
use mallowgauge_flight::grpc::{format_timeout, frame, status_code, Deframer, FLIGHT_SERVICE_PATH};
use mallowgauge_flight::proto::{FlightData, FlightDescriptor, FlightInfo, Ticket};
use prost::Message;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;

use super::{stand_ins, BackendReply, Event, Query};

/// Runs a task to its end on a new thread with a single-threaded runtime.
pub(crate) fn run(task: impl std::future::Future + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime.expect("build a runtime"), task);
    });
}

/// Reads a body to its end: its messages and trailers. `None` if it breaks off.
pub(crate) async fn read(mut body: RecvStream) -> Option<(Vec<Bytes>, Option<HeaderMap>)> {
    let (mut frames, mut messages) = (Deframer::new(1 << 20), Vec::new());
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        let _ = body.flow_control().release_capacity(chunk.len());
        frames.push(&chunk);
        messages.extend(std::iter::from_fn(|| frames.next_message().expect("a valid gRPC message")));
    }
    frames.is_empty().then_some((messages, body.trailers().await.ok()?))
}

/// Starts a backend that speaks Flight and reports to `events`. If `last_stream` holds a value, the first connection
/// ends with a GOAWAY with that last processed stream.
pub fn backend(number: usize, events: Sender<Event>, last_stream: Arc<Mutex<Option<u32>>>) -> SocketAddr {
    listen(move |socket| {
        let events = events.clone();
        if let Some(last) = last_stream.lock().expect("lock is not poisoned").take() {
            tokio::task::spawn_local(go_away(number, socket, events, last));
            return;
        }
        tokio::task::spawn_local(async move {
            let mut connection = h2::server::handshake(socket).await.ok()?;
            while let Some(Ok((request, respond))) = connection.accept().await {
                tokio::task::spawn_local(do_get(number, request, respond, events.clone()));
            }
            events.send(Event::ConnectionClosed).ok()
        });
    })
}

/// Listens on a free port in a separate thread, and calls `accept` there for each connection. Tasks that `accept`
/// spawns run in that thread.
pub(crate) fn listen(accept: impl Fn(TcpStream) + Send + 'static) -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let addr = socket.local_addr().expect("local address");
    socket.set_nonblocking(true).expect("set the blocking mode");
    run(async move {
        let listener = TcpListener::from_std(socket).expect("register the listener");
        while let Ok((socket, _)) = listener.accept().await {
            socket.set_nodelay(true).expect("set TCP_NODELAY");
            accept(socket);
        }
    });
    addr
}

/// Reads one complete request from raw HTTP/2, then sends a GOAWAY with this last processed stream and closes the
/// connection.
async fn go_away(number: usize, mut socket: TcpStream, events: Sender<Event>, last: u32) -> Option<()> {
    let mut preface = [0; 24];
    socket.read_exact(&mut preface).await.ok()?;
    let mut frames = Deframer::new(1 << 20);
    let ticket = loop {
        let mut head = [0; 9];
        socket.read_exact(&mut head).await.ok()?;
        let mut body = vec![0; u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize];
        socket.read_exact(&mut body).await.ok()?;
        if head[3] == 0 {
            frames.push(&body);
            if let Some(message) = frames.next_message().expect("a valid gRPC message") {
                break Ticket::decode(message).expect("a ticket");
            }
        }
    };
    let ticket: Value = serde_json::from_slice(&ticket.ticket).expect("JSON");
    let shard = ticket["range"].as_u64().expect("a shard") as u32;
    drop(events.send(Event::Part(number, shard, Box::new(|_| {}))));
    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    let away = [&[0, 0, 8, 7, 0, 0, 0, 0, 0], &last.to_be_bytes()[..], &[0; 4]].concat();
    socket.write_all(&[&settings[..], &away].concat()).await.ok()
}

/// Reports a part to the scenario and answers it as the scenario says.
async fn do_get(
    number: usize,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    events: Sender<Event>,
) {
    assert_eq!(request.uri().path(), format!("{FLIGHT_SERVICE_PATH}DoGet"));
    assert!(request.headers().contains_key("grpc-timeout"), "the deadline is forwarded to backends");
    let (messages, _) = read(request.into_body()).await.expect("a request");
    let ticket = Ticket::decode(messages[0].clone()).expect("a ticket");
    let ticket: Value = serde_json::from_slice(&ticket.ticket).expect("JSON");
    assert_eq!(ticket["predicate"], "c41e77d0", "the query's text is forwarded unchanged");
    let shard = ticket["range"].as_u64().expect("a shard") as u32;
    let (sender, mut replies) = unbounded_channel();
    let reply = move |reply| drop::<Result<_, _>>(sender.send(reply));
    drop(events.send(Event::Part(number, shard, Box::new(reply))));
    let reply = tokio::select! {
        reply = replies.recv() => reply,
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => None,
    };
    let Some(reply) = reply else { return drop(events.send(Event::Cancel(shard))) };
    if matches!(&reply, BackendReply::Outcome(outcome, _) if outcome == "refused") {
        return respond.send_reset(Reason::REFUSED_STREAM);
    }
    let response = Response::builder().header("content-type", "application/grpc").body(());
    let mut stream = respond.send_response(response.expect("a head"), false).expect("a stream");
    let rows = match reply {
        BackendReply::Outcome(outcome, _) if outcome == "nonsense" => {
            let data_header = Bytes::from_static(b"no flatbuffer");
            let message = FlightData { data_header, ..FlightData::default() };
            return stream.send_data(frame(&message).into(), true).expect("send the data");
        }
        BackendReply::Outcome(outcome, _) if outcome == "half" => {
            let half = table(&[(shard, "good".to_owned(), "half".to_owned())]);
            stream.send_data(half[..half.len() - 1].to_vec().into(), false).expect("send the data");
            drop(std::future::poll_fn(|cx| stream.poll_reset(cx)).await);
            return;
        }
        BackendReply::Outcome(outcome, value) if outcome == "stray" => {
            [(shard + 1, "good".to_owned(), value)]
        }
        BackendReply::Outcome(outcome, value) => [(shard, outcome, value)],
        BackendReply::Disconnect => {
            // A complete table, then a reset in place of the trailers.
            let half = table(&[(shard, "good".to_owned(), "half".to_owned())]);
            stream.send_data(half.into(), false).expect("send the data");
            // Lets the bytes be sent before the reset.
            tokio::task::yield_now().await;
            return stream.send_reset(Reason::INTERNAL_ERROR);
        }
    };
    stream.send_data(table(&rows).into(), false).expect("send the data");
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", "0".parse().expect("a value"));
    stream.send_trailers(trailers).expect("a stream");
}

/// Encodes rows of shard, outcome and value as Flight messages.
fn table(rows: &[(u32, String, String)]) -> Vec<u8> {
    let column = |name: &str, kind| Field::new(name, kind, false);
    let (outcome, blob) = (column("end", DataType::Utf8), column("blob", DataType::Utf8));
    let schema = Arc::new(Schema::new(vec![column("range", DataType::UInt32), outcome, blob]));
    let text = |values: Vec<&String>| Arc::new(StringArray::from_iter_values(values));
    let ranges = UInt32Array::from_iter_values(rows.iter().map(|r| r.0));
    let (outcomes, blobs) = (rows.iter().map(|r| &r.1).collect(), rows.iter().map(|r| &r.2).collect());
    let batch =
        RecordBatch::try_new(Arc::clone(&schema), vec![Arc::new(ranges), text(outcomes), text(blobs)]);
    let (options, mut tracker) = (IpcWriteOptions::default(), DictionaryTracker::new(true));
    let writer = IpcDataGenerator::default();
    let head = writer.schema_to_bytes_with_dictionary_tracker(&schema, &mut tracker, &options);
    let mut context = IpcWriteContext::default();
    let body = writer.encode(&batch.expect("a batch"), &mut tracker, &options, &mut context);
    let message = |e: arrow_ipc::writer::EncodedData| {
        let data_header = e.ipc_message.into();
        let data_body = e.arrow_data.into();
        frame(&FlightData { data_header, data_body, ..FlightData::default() })
    };
    [message(head), message(body.expect("a batch").1)].concat()
}

/// Sends a query over Flight and passes a description of the response to `on_response`. The returned function
/// disconnects the client.
pub fn send_query(
    addr: SocketAddr,
    query: Query,
    on_response: impl Fn(String) + Send + 'static,
) -> Box<dyn FnOnce()> {
    let (closer, mut closed) = unbounded_channel::<()>();
    run(async move {
        tokio::select! {
            text = fetch(addr, query) => on_response(text),
            // The scenario drops its end only when the test has ended.
            _ = closed.recv() => {}
        }
    });
    Box::new(move || closer.send(()).expect("the client still runs"))
}

/// The messages of a call, or the description of its failure.
type CallResult = Result<Vec<Bytes>, String>;

/// Fetches a query's answer with GetFlightInfo and DoGet, and describes it.
async fn fetch(addr: SocketAddr, query: Query) -> String {
    let socket = TcpStream::connect(addr).await.expect("connect");
    let (sender, connection) = h2::client::handshake(socket).await.expect("HTTP/2");
    tokio::task::spawn_local(connection);
    let sender = Arc::new(Mutex::new(sender));
    let call = |method: &str, message: Vec<u8>| {
        let request = Request::post(format!("http://{addr}{FLIGHT_SERVICE_PATH}{method}"))
            .header("content-type", "application/grpc")
            .header("grpc-timeout", format_timeout(query.deadline_ms * 1000))
            .body(())
            .expect("a request");
        let sent = sender.lock().expect("lock is not poisoned").send_request(request, false);
        async move {
            let (response, mut stream) = sent.map_err(|e| e.to_string())?;
            stream.send_data(message.into(), true).map_err(|e| e.to_string())?;
            let response = response.await.map_err(|e| e.to_string())?;
            let head = response.headers().clone();
            let (messages, trailers) = read(response.into_body()).await.ok_or("response broke off")?;
            let trailers = trailers.unwrap_or(head);
            let advice = if trailers.contains_key("grpc-status-details-bin") { ", with advice" } else { "" };
            let message = || trailers["grpc-message"].to_str().expect("text").to_owned();
            match status_code(&trailers) {
                Some(0) => Ok(messages),
                Some(3) => Err(format!("invalid: {}", message())),
                Some(4) => Err("time up".to_owned()),
                Some(8 | 14) => Err(format!("refused{advice}")),
                Some(13) => Err("failed".to_owned()),
                other => Err(format!("status {other:?}")),
            }
        }
    };
    let mut command = query.body.clone();
    command["id"] = json!(query.id);
    command["kind"] = json!(query.kind);
    let cmd = command.to_string().into();
    let descriptor = FlightDescriptor { r#type: 2, cmd, path: Vec::new() };
    let info: CallResult = call("GetFlightInfo", frame(&descriptor)).await;
    let info = match info {
        Ok(messages) => FlightInfo::decode(messages[0].clone()).expect("a FlightInfo"),
        Err(text) => return text,
    };
    let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
    let messages: CallResult = call("DoGet", frame(&ticket)).await;
    messages.map_or_else(|text| text, |messages| decode(&messages))
}

/// Decodes the messages with the reader of the `arrow` crates and describes the answer.
fn decode(messages: &[Bytes]) -> String {
    let (mut stream, mut total) = (Vec::new(), Value::Null);
    for message in messages {
        let data = FlightData::decode(message.clone()).expect("FlightData");
        stream.extend_from_slice(&u32::MAX.to_le_bytes());
        stream.extend_from_slice(&u32::try_from(data.data_header.len()).expect("a size").to_le_bytes());
        stream.extend_from_slice(&data.data_header);
        stream.extend_from_slice(&data.data_body);
        if !data.app_metadata.is_empty() {
            total = serde_json::from_slice::<Value>(&data.app_metadata).expect("JSON")["total"].clone();
        }
    }
    let reader = StreamReader::try_new(stream.as_slice(), None).expect("a stream");
    let mut answers = Vec::new();
    for batch in reader {
        let batch = batch.expect("a batch");
        let ranges: UInt32Array = batch.column(0).to_data().into();
        let blobs: StringArray = batch.column(1).to_data().into();
        let row = |(range, blob)| json!({"range": range, "blob": blob});
        answers.extend(ranges.iter().zip(blobs.iter()).map(row));
    }
    stand_ins::describe_body(&json!({"total": total, "answers": answers}))
}
