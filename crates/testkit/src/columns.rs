//! Stand-in Flight backends that answer parts with column tables by a script, and the tables that they send.

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

/// How a scripted backend responds to a part.
#[derive(Clone)]
pub enum ScriptedReply {
    /// Answers with a table.
    Table(Vec<RecordBatch>, TableEncoding),
    /// Answers with these messages and status OK.
    Messages(Vec<Bytes>),
    /// Sends this many bytes of a table, then resets the stream.
    Reset(Vec<RecordBatch>, usize),
    /// Rejects the part without executing it.
    Reject,
    /// Ends with this status.
    Fail(Code),
    /// Sends the first half of a table's bytes, then nothing more.
    Stall(Vec<RecordBatch>),
    /// Waits, then responds as given.
    Delay(std::time::Duration, Box<ScriptedReply>),
    /// Never answers.
    Hang,
    /// Sends this batch repeatedly without an end.
    Endless(RecordBatch),
}

/// How a table is encoded.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableEncoding {
    /// Compression of the record batches' bodies.
    pub body_compression: Option<CompressionType>,
    /// Whether gRPC messages are compressed with gzip.
    pub gzip: bool,
}

/// How often each part was sent to a set of backends, by query and shard.
pub type AttemptCounts = Arc<Mutex<BTreeMap<(String, u32), u32>>>;

/// Decides how a backend responds, from its number, the part's ticket and how often the part was sent before.
pub type Script = Arc<dyn Fn(usize, &Value, u32) -> ScriptedReply + Send + Sync>;

/// Starts a backend that responds by a script, over TLS if `tls` is given.
pub fn scripted_backend(
    number: usize,
    script: Script,
    attempts: AttemptCounts,
    tls: Option<Arc<rustls::ServerConfig>>,
) -> SocketAddr {
    listen(move |socket| {
        let (script, attempts, tls) = (Arc::clone(&script), Arc::clone(&attempts), tls.clone());
        tokio::task::spawn_local(async move {
            match tls {
                None => serve(number, socket, script, attempts).await,
                Some(tls) => {
                    if let Ok(session) = tokio_rustls::TlsAcceptor::from(tls).accept(socket).await {
                        serve(number, session, script, attempts).await;
                    }
                }
            }
        });
    })
}

async fn serve<S>(number: usize, socket: S, script: Script, attempts: AttemptCounts)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder.max_send_buffer_size(4 << 20).max_frame_size(1 << 20);
    let Ok(mut connection) = builder.handshake(socket).await else { return };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let (script, attempts) = (Arc::clone(&script), Arc::clone(&attempts));
        tokio::task::spawn_local(async move { answer(number, request, respond, script, attempts).await });
    }
}

async fn answer(
    number: usize,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    script: Script,
    attempts: AttemptCounts,
) -> Option<()> {
    let (messages, _) = read(request.into_body()).await?;
    let ticket = Ticket::decode(messages.first()?.clone()).ok()?;
    let ticket: Value = serde_json::from_slice(&ticket.ticket).ok()?;
    let key = (ticket["query"].as_str()?.to_owned(), ticket["range"].as_u64()? as u32);
    let earlier_attempts = {
        let mut attempts = attempts.lock().ok()?;
        let count = attempts.entry(key).or_default();
        *count += 1;
        *count - 1
    };
    let mut reply = script(number, &ticket, earlier_attempts);
    while let ScriptedReply::Delay(wait, then) = reply {
        let reset = std::future::poll_fn(|cx| respond.poll_reset(cx));
        if tokio::time::timeout(wait, reset).await.is_ok() {
            return None;
        }
        reply = *then;
    }
    let mut response_head = Response::builder().header("content-type", grpc::CONTENT_TYPE);
    if matches!(reply, ScriptedReply::Table(_, TableEncoding { gzip: true, .. })) {
        response_head = response_head.header("grpc-encoding", "gzip");
    }
    let (status, messages) = match reply {
        ScriptedReply::Reject => {
            (Status::new(Code::Unavailable, "later").with_reason(grpc::REASON_LATER), Vec::new())
        }
        ScriptedReply::Fail(code) => (Status::new(code, "failed by the script"), Vec::new()),
        ScriptedReply::Delay(..) => return None,
        ScriptedReply::Hang => {
            drop(std::future::poll_fn(|cx| respond.poll_reset(cx)).await);
            return None;
        }
        ScriptedReply::Table(batches, encoding) => {
            (Status::new(Code::Ok, ""), messages_of(&batches, encoding))
        }
        ScriptedReply::Messages(messages) => (Status::new(Code::Ok, ""), messages),
        ScriptedReply::Reset(batches, bytes) => {
            let all = messages_of(&batches, TableEncoding::default()).concat();
            let mut stream = respond.send_response(response_head.body(()).ok()?, false).ok()?;
            push(&mut stream, all[..bytes.min(all.len())].to_vec().into()).await?;
            // The bytes have to arrive before the reset does.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            stream.send_reset(Reason::INTERNAL_ERROR);
            return None;
        }
        ScriptedReply::Stall(batches) => {
            let all = messages_of(&batches, TableEncoding::default()).concat();
            let mut stream = respond.send_response(response_head.body(()).ok()?, false).ok()?;
            push(&mut stream, all[..all.len() / 2].to_vec().into()).await?;
            drop(std::future::poll_fn(|cx| stream.poll_reset(cx)).await);
            return None;
        }
        ScriptedReply::Endless(batch) => {
            let all = messages_of(&[batch], TableEncoding::default());
            let mut stream = respond.send_response(response_head.body(()).ok()?, false).ok()?;
            push(&mut stream, all[0].clone()).await?;
            loop {
                push(&mut stream, all[all.len() - 1].clone()).await?;
            }
        }
    };
    if messages.is_empty() {
        let mut response = response_head.body(()).ok()?;
        response.headers_mut().extend(status.trailers());
        respond.send_response(response, true).ok()?;
        return None;
    }
    let mut stream = respond.send_response(response_head.body(()).ok()?, false).ok()?;
    for message in messages {
        push(&mut stream, message).await?;
    }
    let trailers: HeaderMap = status.trailers();
    stream.send_trailers(trailers).ok()
}

/// Sends bytes as fast as the flow-control window allows; `None` if the stream ends first.
async fn push(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Option<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = match stream.capacity() {
            0 => std::future::poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?,
            capacity => capacity,
        };
        let size = capacity.min(bytes.len());
        stream.send_data(bytes.split_to(size), false).ok()?;
    }
    Some(())
}

/// Encodes batches as Flight messages with gRPC framing.
pub fn messages_of(batches: &[RecordBatch], encoding: TableEncoding) -> Vec<Bytes> {
    let options = IpcWriteOptions::default()
        .try_with_compression(encoding.body_compression)
        .expect("a supported compression");
    let (mut tracker, writer) = (DictionaryTracker::new(false), IpcDataGenerator::default());
    let schema = batches[0].schema();
    let schema_message = writer.schema_to_bytes_with_dictionary_tracker(&schema, &mut tracker, &options);
    let mut all = vec![schema_message];
    let mut context = IpcWriteContext::default();
    for batch in batches {
        let (dictionaries, body) =
            writer.encode(batch, &mut tracker, &options, &mut context).expect("a batch");
        all.extend(dictionaries);
        all.push(body);
    }
    all.into_iter().map(|encoded| message(encoded, encoding.gzip)).collect()
}

fn message(encoded: EncodedData, gzip: bool) -> Bytes {
    let (data_header, data_body) = (encoded.ipc_message.into(), encoded.arrow_data.into());
    let data = FlightData { data_header, data_body, ..FlightData::default() };
    if gzip {
        return frame_pieces(vec![data.encode_to_vec().into()], Encoding::Gzip).concat().into();
    }
    frame(&data).into()
}

/// A batch of listings: ids, nullable prices, makers as a dictionary, tags as lists, and nullable notes.
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

/// A batch with one column of integers that takes `bytes` bytes.
pub fn numbers(bytes: usize) -> RecordBatch {
    let column = Int64Array::from_iter_values(0..(bytes / 8) as i64);
    let schema = Arc::new(Schema::new(vec![Field::new("count", DataType::Int64, false)]));
    RecordBatch::try_new(schema, vec![Arc::new(column)]).expect("a batch")
}

/// An answer in text form: the part's outcome and one text.
pub fn text_reply(shard: u32, outcome: &str, blob: &str) -> ScriptedReply {
    let column = |name: &str, kind| Field::new(name, kind, false);
    let (outcome_column, blob_column) = (column("end", DataType::Utf8), column("blob", DataType::Utf8));
    let schema = Arc::new(Schema::new(vec![column("range", DataType::UInt32), outcome_column, blob_column]));
    let single = |text: &str| -> ArrayRef { Arc::new(StringArray::from_iter_values([text])) };
    let range: ArrayRef = Arc::new(arrow_array::UInt32Array::from(vec![shard]));
    let batch = RecordBatch::try_new(schema, vec![range, single(outcome), single(blob)]).expect("a batch");
    ScriptedReply::Table(vec![batch], TableEncoding::default())
}

/// What a part costs a backend of [`queueing_backend`], and how the backend answers it.
pub struct PartWork {
    /// How long the part takes.
    pub cost: std::time::Duration,
    /// The backend accepts the part and never answers.
    pub never_answers: bool,
    /// The answer.
    pub reply: ScriptedReply,
}

/// Decides what a part costs, from its ticket.
pub type PartCost = Arc<dyn Fn(&Value) -> PartWork + Send + Sync>;

/// Starts a backend that works on `concurrency` parts at a time. Further parts wait, and one that is reset while it
/// waits is dropped.
pub fn queueing_backend(concurrency: usize, costs: PartCost) -> SocketAddr {
    let slots = Arc::new(tokio::sync::Semaphore::new(concurrency));
    listen(move |socket| {
        let (slots, costs) = (Arc::clone(&slots), Arc::clone(&costs));
        tokio::task::spawn_local(async move {
            let Ok(mut connection) = h2::server::handshake(socket).await else { return };
            while let Some(Ok((request, respond))) = connection.accept().await {
                let (slots, costs) = (Arc::clone(&slots), Arc::clone(&costs));
                tokio::task::spawn_local(async move { work(request, respond, &slots, &costs).await });
            }
        });
    })
}

async fn work(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    slots: &tokio::sync::Semaphore,
    costs: &PartCost,
) -> Option<()> {
    let (messages, _) = read(request.into_body()).await?;
    let ticket = Ticket::decode(messages.first()?.clone()).ok()?;
    let ticket: Value = serde_json::from_slice(&ticket.ticket).ok()?;
    let slot = tokio::select! {
        slot = slots.acquire() => slot.ok()?,
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return None,
    };
    let PartWork { cost, never_answers, reply } = costs(&ticket);
    if never_answers {
        drop(slot);
        drop(std::future::poll_fn(|cx| respond.poll_reset(cx)).await);
        return None;
    }
    tokio::time::sleep(cost).await;
    drop(slot);
    let ScriptedReply::Table(batches, encoding) = reply else { return None };
    let head = Response::builder().header("content-type", grpc::CONTENT_TYPE).body(()).ok()?;
    let mut stream = respond.send_response(head, false).ok()?;
    for message in messages_of(&batches, encoding) {
        push(&mut stream, message).await?;
    }
    stream.send_trailers(Status::new(Code::Ok, "").trailers()).ok()
}
