//! Stand-in hosts that answer parts with tables of their own columns, by a script; and how such tables look.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arrow_array::types::Int32Type;
use arrow_array::{
    Array, ArrayRef, DictionaryArray, Float64Array, Int64Array, ListArray, RecordBatch, StringArray,
};
use arrow_ipc::writer::{DictionaryTracker, EncodedData, IpcDataGenerator, IpcWriteContext, IpcWriteOptions};
use arrow_ipc::CompressionType;
use arrow_schema::{DataType, Field, Schema};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Request, Response};
use mallowgauge_flight::grpc::{self, frame, frame_pieces, Code, Encoding, Status};
use mallowgauge_flight::proto::{FlightData, Ticket};
use prost::Message;
use serde_json::Value;

use crate::flight::{listen, read};

/// What a host does about a part.
#[derive(Clone)]
pub enum ScriptedReply {
    /// Answers with a table.
    Table(Vec<RecordBatch>, TableEncoding),
    /// Answers with these messages and OK.
    Messages(Vec<Bytes>),
    /// Sends so many bytes of a table, and resets the stream.
    Reset(Vec<RecordBatch>, usize),
    /// Says that the part was turned away unseen.
    Reject,
    /// Ends with this status.
    Fail(Code),
    /// Sends a table's first messages and then nothing more.
    Stall(Vec<RecordBatch>),
    /// Does something else after so long.
    Delay(std::time::Duration, Box<ScriptedReply>),
    /// Says nothing.
    Hang,
    /// Sends this batch again and again.
    Endless(RecordBatch),
}

/// How a table is written.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableEncoding {
    /// The bodies' compression.
    pub body_compression: Option<CompressionType>,
    /// gRPC's compression.
    pub gzip: bool,
}

/// What has been asked of a set of hosts: by query and shard, how often.
pub type AttemptCounts = Arc<Mutex<BTreeMap<(String, u32), u32>>>;

/// Decides what a host does: its number, the part's ticket, and how often the part was asked before.
pub type Script = Arc<dyn Fn(usize, &Value, u32) -> ScriptedReply + Send + Sync>;

/// A host that plays a script; `tls` is its certificate and key where it has one.
pub fn scripted_backend(
    number: usize,
    script: Script,
    runs: AttemptCounts,
    tls: Option<Arc<rustls::ServerConfig>>,
) -> SocketAddr {
    listen(move |socket| {
        let (script, runs, tls) = (Arc::clone(&script), Arc::clone(&runs), tls.clone());
        tokio::task::spawn_local(async move {
            match tls {
                None => serve(number, socket, script, runs).await,
                Some(tls) => {
                    if let Ok(session) = tokio_rustls::TlsAcceptor::from(tls).accept(socket).await {
                        serve(number, session, script, runs).await;
                    }
                }
            }
        });
    })
}

async fn serve<S>(number: usize, socket: S, script: Script, runs: AttemptCounts)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder.max_send_buffer_size(4 << 20).max_frame_size(1 << 20);
    let Ok(mut connection) = builder.handshake(socket).await else { return };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let (script, runs) = (Arc::clone(&script), Arc::clone(&runs));
        tokio::task::spawn_local(async move { answer(number, request, respond, script, runs).await });
    }
}

async fn answer(
    number: usize,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    script: Script,
    runs: AttemptCounts,
) -> Option<()> {
    let (messages, _) = read(request.into_body()).await?;
    let ticket = Ticket::decode(messages.first()?.clone()).ok()?;
    let ticket: Value = serde_json::from_slice(&ticket.ticket).ok()?;
    let key = (ticket["query"].as_str()?.to_owned(), ticket["range"].as_u64()? as u32);
    let before = {
        let mut runs = runs.lock().ok()?;
        let count = runs.entry(key).or_default();
        *count += 1;
        *count - 1
    };
    let mut act = script(number, &ticket, before);
    while let ScriptedReply::Delay(wait, then) = act {
        let gone = std::future::poll_fn(|cx| respond.poll_reset(cx));
        if tokio::time::timeout(wait, gone).await.is_ok() {
            return None;
        }
        act = *then;
    }
    let mut head = Response::builder().header("content-type", grpc::CONTENT_TYPE);
    if matches!(act, ScriptedReply::Table(_, TableEncoding { gzip: true, .. })) {
        head = head.header("grpc-encoding", "gzip");
    }
    let (status, pieces) = match act {
        ScriptedReply::Reject => {
            (Status::new(Code::Unavailable, "later").with_reason(grpc::REASON_LATER), Vec::new())
        }
        ScriptedReply::Fail(code) => (Status::new(code, "as the script says"), Vec::new()),
        ScriptedReply::Delay(..) => return None,
        ScriptedReply::Hang => {
            drop(std::future::poll_fn(|cx| respond.poll_reset(cx)).await);
            return None;
        }
        ScriptedReply::Table(batches, dress) => (Status::new(Code::Ok, ""), messages_of(&batches, dress)),
        ScriptedReply::Messages(messages) => (Status::new(Code::Ok, ""), messages),
        ScriptedReply::Reset(batches, bytes) => {
            let all = messages_of(&batches, TableEncoding::default()).concat();
            let mut stream = respond.send_response(head.body(()).ok()?, false).ok()?;
            push(&mut stream, all[..bytes.min(all.len())].to_vec().into()).await?;
            // Let it get through before the stream is cut.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            stream.send_reset(Reason::INTERNAL_ERROR);
            return None;
        }
        ScriptedReply::Stall(batches) => {
            let all = messages_of(&batches, TableEncoding::default()).concat();
            let mut stream = respond.send_response(head.body(()).ok()?, false).ok()?;
            push(&mut stream, all[..all.len() / 2].to_vec().into()).await?;
            drop(std::future::poll_fn(|cx| stream.poll_reset(cx)).await);
            return None;
        }
        ScriptedReply::Endless(batch) => {
            let all = messages_of(&[batch], TableEncoding::default());
            let mut stream = respond.send_response(head.body(()).ok()?, false).ok()?;
            push(&mut stream, all[0].clone()).await?;
            loop {
                push(&mut stream, all[all.len() - 1].clone()).await?;
            }
        }
    };
    if pieces.is_empty() {
        let mut response = head.body(()).ok()?;
        response.headers_mut().extend(status.trailers());
        respond.send_response(response, true).ok()?;
        return None;
    }
    let mut stream = respond.send_response(head.body(()).ok()?, false).ok()?;
    for piece in pieces {
        push(&mut stream, piece).await?;
    }
    let trailers: HeaderMap = status.trailers();
    stream.send_trailers(trailers).ok()
}

/// Sends as fast as the reader's window takes.
async fn push(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Option<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let room = match stream.capacity() {
            0 => std::future::poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?,
            room => room,
        };
        let size = room.min(bytes.len());
        stream.send_data(bytes.split_to(size), false).ok()?;
    }
    Some(())
}

/// Batches as Flight's messages, in gRPC's frames.
pub fn messages_of(batches: &[RecordBatch], dress: TableEncoding) -> Vec<Bytes> {
    let options = IpcWriteOptions::default().try_with_compression(dress.body_compression).expect("a codec");
    let (mut tracker, writer) = (DictionaryTracker::new(false), IpcDataGenerator::default());
    let schema = batches[0].schema();
    let head = writer.schema_to_bytes_with_dictionary_tracker(&schema, &mut tracker, &options);
    let mut all = vec![head];
    let mut context = IpcWriteContext::default();
    for batch in batches {
        let (dictionaries, body) =
            writer.encode(batch, &mut tracker, &options, &mut context).expect("a batch");
        all.extend(dictionaries);
        all.push(body);
    }
    all.into_iter().map(|encoded| message(encoded, dress.gzip)).collect()
}

fn message(encoded: EncodedData, gzip: bool) -> Bytes {
    let (data_header, data_body) = (encoded.ipc_message.into(), encoded.arrow_data.into());
    let data = FlightData { data_header, data_body, ..FlightData::default() };
    if gzip {
        return frame_pieces(vec![data.encode_to_vec().into()], Encoding::Gzip).concat().into();
    }
    frame(&data).into()
}

/// A batch of listings: ids, prices that may be missing, makers as a dictionary, tags as lists.
pub fn listings(shard: u32, rows: usize) -> RecordBatch {
    let ids = Int64Array::from_iter_values((0..rows as i64).map(|i| i64::from(shard) * 1_000_000 + i));
    let prices: Float64Array = (0..rows).map(|i| (i % 7 != 3).then_some(i as f64 / 4.0)).collect();
    let names: Vec<String> = (0..rows).map(|i| format!("maker-{shard}-{}", i % 5)).collect();
    let makers: DictionaryArray<Int32Type> = names.iter().map(String::as_str).collect();
    let tags = ListArray::from_iter_primitive::<Int32Type, _, _>(
        (0..rows).map(|i| Some((0..(i % 3) as i32).map(Some).collect::<Vec<_>>())),
    );
    let notes: StringArray = (0..rows).map(|i| (i % 2 == 0).then(|| format!("note {i}"))).collect();
    let columns: Vec<(&str, ArrayRef)> = vec![
        ("listing", Arc::new(ids)),
        ("price", Arc::new(prices)),
        ("maker", Arc::new(makers)),
        ("tags", Arc::new(tags)),
        ("note", Arc::new(notes)),
    ];
    let nullable = |name: &str| name != "listing";
    let fields = columns.iter().map(|(name, c)| Field::new(*name, c.data_type().clone(), nullable(name)));
    let schema = Arc::new(Schema::new(fields.collect::<Vec<_>>()));
    RecordBatch::try_new(schema, columns.into_iter().map(|(_, column)| column).collect()).expect("a batch")
}

/// A batch of plain numbers, `bytes` long.
pub fn numbers(bytes: usize) -> RecordBatch {
    let column = Int64Array::from_iter_values(0..(bytes / 8) as i64);
    let schema = Arc::new(Schema::new(vec![Field::new("count", DataType::Int64, false)]));
    RecordBatch::try_new(schema, vec![Arc::new(column)]).expect("a batch")
}

/// The answer of the simple form: one text, with how the part went.
pub fn text_reply(shard: u32, end: &str, blob: &str) -> ScriptedReply {
    let column = |name: &str, kind| Field::new(name, kind, false);
    let (end_column, blob_column) = (column("end", DataType::Utf8), column("blob", DataType::Utf8));
    let schema = Arc::new(Schema::new(vec![column("range", DataType::UInt32), end_column, blob_column]));
    let one = |text: &str| -> ArrayRef { Arc::new(StringArray::from_iter_values([text])) };
    let range: ArrayRef = Arc::new(arrow_array::UInt32Array::from(vec![shard]));
    let batch = RecordBatch::try_new(schema, vec![range, one(end), one(blob)]).expect("a batch");
    ScriptedReply::Table(vec![batch], TableEncoding::default())
}

/// What a part costs a host that works, and what it answers then.
pub struct PartWork {
    /// How long it takes.
    pub cost: std::time::Duration,
    /// The host takes the part and never answers.
    pub never_answers: bool,
    /// The answer.
    pub reply: ScriptedReply,
}

/// Says what a part costs, from its ticket.
pub type PartCost = Arc<dyn Fn(&Value) -> PartWork + Send + Sync>;

/// A host that works on so many parts at a time; the others wait, and one that is reset meanwhile is dropped.
pub fn queueing_backend(at_a_time: usize, costs: PartCost) -> SocketAddr {
    let places = Arc::new(tokio::sync::Semaphore::new(at_a_time));
    listen(move |socket| {
        let (places, costs) = (Arc::clone(&places), Arc::clone(&costs));
        tokio::task::spawn_local(async move {
            let Ok(mut connection) = h2::server::handshake(socket).await else { return };
            while let Some(Ok((request, respond))) = connection.accept().await {
                let (places, costs) = (Arc::clone(&places), Arc::clone(&costs));
                tokio::task::spawn_local(async move { work(request, respond, &places, &costs).await });
            }
        });
    })
}

async fn work(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    places: &tokio::sync::Semaphore,
    costs: &PartCost,
) -> Option<()> {
    let (messages, _) = read(request.into_body()).await?;
    let ticket = Ticket::decode(messages.first()?.clone()).ok()?;
    let ticket: Value = serde_json::from_slice(&ticket.ticket).ok()?;
    let place = tokio::select! {
        place = places.acquire() => place.ok()?,
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return None,
    };
    let PartWork { cost, never_answers: hangs, reply: act } = costs(&ticket);
    if hangs {
        drop(place);
        drop(std::future::poll_fn(|cx| respond.poll_reset(cx)).await);
        return None;
    }
    tokio::time::sleep(cost).await;
    drop(place);
    let ScriptedReply::Table(batches, dress) = act else { return None };
    let head = Response::builder().header("content-type", grpc::CONTENT_TYPE).body(()).ok()?;
    let mut stream = respond.send_response(head, false).ok()?;
    for piece in messages_of(&batches, dress) {
        push(&mut stream, piece).await?;
    }
    stream.send_trailers(Status::new(Code::Ok, "").trailers()).ok()
}
