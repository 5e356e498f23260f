//! The hard cases of Flight: hosts that send nonsense, clients that do wrong byte by byte, drains, memory.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arrow_array::RecordBatch;
use bytes::Bytes;
use mallowgauge_flight::answer::flight_data;
use mallowgauge_flight::grpc::{frame, Encoding};
use mallowgauge_flight::proto::{self, FlightData, FlightDescriptor, FlightInfo, Ticket};
use mallowgauge_testkit::columns::{listings, messages_of, numbers, Script, ScriptedReply, TableEncoding};
use mallowgauge_testkit::raw_http2::{self, RawHttp2Client, StreamReply};
use mallowgauge_testkit::Deployment;
use prost::Message;
use serde_json::{json, Value};

fn tables() -> Script {
    Arc::new(|_, ticket, _| ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()))
}

fn shard(ticket: &Value) -> u32 {
    ticket["range"].as_u64().expect("a shard") as u32
}

fn quiet(script: Script) -> Deployment {
    Deployment::start(script, json!({}), |_| {})
}

fn command(kind: &str, id: &str, shards: &[u32]) -> Value {
    json!({"kind": kind, "id": id, "ranges": shards, "predicate": "c41e77d0"})
}

fn info(raw: &mut RawHttp2Client, command: &Value) -> Vec<u8> {
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    frame(info.endpoint[0].ticket.as_ref().expect("a ticket"))
}

fn ask(raw: &mut RawHttp2Client, command: &Value) -> StreamReply {
    let ticket = info(raw, command);
    raw.call("DoGet", &[("grpc-timeout", "3S")], &ticket)
}

/// Whether the program still serves others.
fn serves(cluster: &Deployment) -> bool {
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    ask(
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

/// The good messages of a table, bent in one way.
fn bent(how: &str, shard: u32) -> Vec<Bytes> {
    let good = messages_of(&[listings(shard, 50), listings(shard, 50)], TableEncoding::default());
    let whole = |data: FlightData| Bytes::from(frame(&data));
    let read = |at: usize| FlightData::decode(good[at].slice(5..)).expect("FlightData");
    // The schema, a dictionary, a batch, perhaps another dictionary, a batch.
    match how {
        "truncated" => {
            let mut data = read(2);
            data.data_body = data.data_body.slice(..data.data_body.len() / 2);
            vec![good[0].clone(), good[1].clone(), whole(data)]
        }
        "reordered" => vec![good[2].clone(), good[0].clone(), good[1].clone()],
        "no dictionary" => vec![good[0].clone(), good[2].clone()],
        "no schema" => good[1..].to_vec(),
        "two schemas" => vec![good[0].clone(), good[0].clone(), good[1].clone(), good[2].clone()],
        "garbled header" => {
            let mut data = read(2);
            let mut header = data.data_header.to_vec();
            header.iter_mut().skip(8).step_by(3).for_each(|b| *b ^= 0x5a);
            data.data_header = header.into();
            vec![good[0].clone(), good[1].clone(), whole(data)]
        }
        "a terabyte" => {
            // A compressed column that says it inflates to a terabyte.
            let dress =
                TableEncoding { body_compression: Some(arrow_ipc::CompressionType::LZ4_FRAME), gzip: false };
            let good = messages_of(&[numbers(64 << 10)], dress);
            let mut data = FlightData::decode(good[1].slice(5..)).expect("FlightData");
            let mut body = data.data_body.to_vec();
            body[..8].copy_from_slice(&(1_i64 << 40).to_le_bytes());
            data.data_body = body.into();
            vec![good[0].clone(), whole(data)]
        }
        "three gigabytes" => vec![good[0].clone(), Bytes::from_static(&[0, 0xb2, 0xd0, 0x5e, 0, 1, 2, 3])],
        "nothing" => vec![whole(FlightData::default())],
        "half a message" => vec![good[0].clone(), good[1].slice(..good[1].len() / 2)],
        _ => panic!("{how}"),
    }
}

#[test]
fn nonsense_from_a_host_is_never_served_and_a_hold_is_not_run_again() {
    for how in [
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
    ] {
        // A search gets nonsense at first and a table after that; a hold gets nonsense alone.
        let script: Script = Arc::new(move |_, ticket, before| {
            let hold = ticket["query"].as_str().is_some_and(|id| id.starts_with("hold"));
            if hold || before == 0 {
                ScriptedReply::Messages(bent(how, shard(ticket)))
            } else {
                ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default())
            }
        });
        let cluster = quiet(script);
        let mut raw = RawHttp2Client::connect(cluster.program.flight);
        let reply = ask(&mut raw, &command("place-hold", "hold", &[0]));
        assert_eq!((reply.status(), reply.messages.len()), (Some(13), 0), "{how}");
        assert_eq!(cluster.attempts_by_shard("hold"), [(0, 1)], "{how}");
        let reply = ask(&mut raw, &command("search", "search", &[1]));
        assert_eq!(reply.status(), Some(0), "{how}: {reply:?}");
        assert!(cluster.wait_for_log("unusable answer for shard"), "{how}");
    }
}

#[test]
fn a_host_without_end_does_not_fill_the_memory() {
    let script: Script = Arc::new(|_, ticket, _| match shard(ticket) {
        0 => ScriptedReply::Endless(numbers(64 << 10)),
        _ => ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()),
    });
    let cluster = Deployment::start(script, json!({}), |file| file["limits"]["memory_mb"] = json!(48));
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let reply = ask(&mut raw, &command("search", "q", &[0]));
    assert!(matches!(reply.status(), Some(4 | 8 | 13 | 14)), "{reply:?}");
    // A hold whose table has no room may have run, and is not refused as if it had not.
    let reply = ask(&mut raw, &command("place-hold", "h", &[0]));
    assert!(matches!(reply.status(), Some(4 | 13)), "{reply:?}");
    assert_eq!(cluster.attempts_by_shard("h"), [(0, 1)]);
    assert!(serves(&cluster));
    assert!(peak(&cluster) < 48 << 10, "{} KB", peak(&cluster));
}

/// The most memory that the program has held, in KB.
fn peak(cluster: &Deployment) -> u64 {
    let text =
        std::fs::read_to_string(format!("/proc/{}/status", cluster.program.child.id())).expect("a process");
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).expect("a line");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

// Readers that take nothing hold their answers' memory; hosts are not read beyond it, others go on, and what
// finds no room is refused and not half served.
#[test]
fn slow_readers_stay_inside_the_budget() {
    let script: Script = Arc::new(|_, ticket, _| match shard(ticket) {
        0 => ScriptedReply::Table((0..8).map(|_| numbers(256 << 10)).collect(), TableEncoding::default()),
        _ => ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default()),
    });
    let cluster = Deployment::start(script, json!({}), |file| {
        file["limits"]["memory_mb"] = json!(64);
        // What a slow machine does to an aim is no matter here: nothing is to be refused for that.
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["AimUs"], class["DeadlineUs"]) = (json!(60_000_000), json!(60_000_000));
        }
    });
    let mut readers = Vec::new();
    for connection in 0..4 {
        // The windows stay shut: nothing of an answer is taken.
        let mut raw = RawHttp2Client::with_settings(cluster.program.flight, &[(4, 0)]);
        for call in 0..10 {
            let id = format!("slow-{connection}-{call}");
            // The ticket comes over a connection of its own, which reads.
            let mut other = RawHttp2Client::connect(cluster.program.flight);
            let ticket = info(&mut other, &command("search", &id, &[0]));
            raw.start_call("DoGet", &[("grpc-timeout", "3S")], &ticket);
        }
        readers.push(raw);
    }
    // 40 answers of 2 MB each were asked for; half of 32 MB is what tables may hold.
    while cluster.attempts.lock().expect("a sound lock").len() < 12 {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let reply = ask(&mut raw, &command("place-hold", "h", &[1]));
    assert!(matches!(reply.status(), Some(0 | 13)), "{reply:?}");
    assert!(peak(&cluster) < 64 << 10, "{} KB", peak(&cluster));
    drop(readers);
    // With the readers gone their memory is there again.
    let again = (0..200).any(|i| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let reply = ask(&mut raw, &command("search", &format!("big-{i}"), &[0]));
        reply.status() == Some(0) && reply.messages.iter().map(Vec::len).sum::<usize>() > 2 << 20
    });
    assert!(again, "the memory of readers that are gone does not come back");
}

#[test]
fn floods_of_frames_end_their_connection_and_no_other() {
    let cluster = quiet(tables());
    let mut other = RawHttp2Client::connect(cluster.program.flight);
    // Streams that are opened and reset at once.
    let mut rapid = RawHttp2Client::connect(cluster.program.flight);
    for _ in 0..3000 {
        let stream = rapid.open_stream("DoGet", &[], false);
        if !rapid.send_frame(raw_http2::RST_STREAM, 0, stream, &8_u32.to_be_bytes()) {
            break;
        }
    }
    // Header lines without end.
    let mut endless = RawHttp2Client::connect(cluster.program.flight);
    endless.send_frame(raw_http2::HEADERS, 0, 1, &raw_http2::request_headers("DoGet", &[]));
    let line = raw_http2::request_headers("DoGet", &[("x-filler", "y")]);
    while endless.send_frame(raw_http2::CONTINUATION, 0, 1, &line.repeat(20)) {}
    // Many lines at once, and one that is too long.
    let mut bomb = RawHttp2Client::connect(cluster.program.flight);
    let many: Vec<(String, String)> = (0..3000).map(|i| (format!("x-{i}"), "y".repeat(20))).collect();
    let lines: Vec<(&str, &str)> = many.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let head = raw_http2::request_headers("DoGet", &lines);
    let (first, rest) = head.split_at(16 << 10);
    bomb.send_frame(raw_http2::HEADERS, 0, 1, first);
    let chunks: Vec<&[u8]> = rest.chunks(16 << 10).collect();
    for (i, chunk) in chunks.iter().enumerate() {
        let last = i + 1 == chunks.len();
        if !bomb.send_frame(raw_http2::CONTINUATION, if last { raw_http2::END_HEADERS } else { 0 }, 1, chunk)
        {
            break;
        }
    }
    // Pings and settings by the thousand, none of whose answers is read.
    let mut pings = RawHttp2Client::connect(cluster.program.flight);
    for _ in 0..5000 {
        if !pings.send_frame(raw_http2::PING, 0, 0, &[7; 8])
            || !pings.send_frame(raw_http2::SETTINGS, 0, 0, &[])
        {
            break;
        }
    }
    // What is no HTTP/2 at all, and a frame that is too long.
    let mut stranger = RawHttp2Client::connect_without_preface(cluster.program.flight);
    stranger.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(stranger.is_closed());
    let mut long = RawHttp2Client::connect(cluster.program.flight);
    long.write(&[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1]);
    assert!(long.is_closed());
    assert_eq!(ask(&mut other, &command("search", "q", &[0])).status(), Some(0));
    assert!(serves(&cluster));
    assert!(peak(&cluster) < 64 << 10, "{} KB", peak(&cluster));
}

#[test]
fn a_client_that_half_closes_or_goes_away_has_its_answer_or_nothing() {
    let cluster = quiet(tables());
    // The sending side is closed behind the request: the answer comes all the same.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let ticket = info(&mut raw, &command("search", "q", &[0]));
    let stream = raw.start_call("DoGet", &[], &ticket);
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0));
    // A GOAWAY of the client's: what is open is answered.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let ticket = info(&mut raw, &command("search", "r", &[0]));
    let stream = raw.start_call("DoGet", &[], &ticket);
    raw.send_frame(raw_http2::GOAWAY, 0, 0, &[0; 8]);
    assert_eq!(raw.read_reply(stream, true).status(), Some(0));
    // A request that never becomes whole is told so.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let stream = raw.open_stream("DoGet", &[], false);
    raw.send_data(stream, &[0, 0, 0, 1], false);
    assert_eq!(raw.read_reply(stream, true).status(), Some(4));
    // And one that ends within its message.
    let stream = raw.open_stream("DoGet", &[], false);
    raw.send_data(stream, &[0, 0, 0, 1], true);
    assert_eq!(raw.read_reply(stream, true).status(), Some(3));
    assert!(serves(&cluster));
}

#[test]
fn a_handshake_that_never_finishes_is_cut_off() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-slow-tls-{}", std::process::id()));
    let server = mallowgauge_testkit::tls::Authority::new().sign(false);
    let file = |name: &str, text: &str| mallowgauge_testkit::tls::write_file(&folder, name, text);
    let told = json!({"tls": {"certificate": file("cert.pem", &server.certificate), "key": file("key.pem", &server.key)}});
    let cluster = Deployment::start(tables(), told, |_| {});
    // A ClientHello of which only the first bytes come, and a client that speaks in the clear.
    let mut slow = RawHttp2Client::connect_without_preface(cluster.program.flight);
    slow.write(&[0x16, 3, 1, 2, 0, 1, 0, 1]);
    let mut clear = RawHttp2Client::connect(cluster.program.flight);
    assert!(clear.is_closed());
    assert!(slow.is_closed());
    std::fs::remove_dir_all(folder).expect("a folder");
}

/// A message with one query on an exchange.
fn query(tag: &str, command: &Value) -> Vec<u8> {
    let mut all = command.clone();
    all["tag"] = json!(tag);
    frame(&FlightData { app_metadata: all.to_string().into(), ..FlightData::default() })
}

#[test]
fn a_drain_answers_what_is_open_on_an_exchange_and_ends_it() {
    let hold = Arc::new(AtomicBool::new(true));
    let held = Arc::clone(&hold);
    let script: Script = Arc::new(move |_, ticket, _| {
        while shard(ticket) == 0 && held.load(Ordering::Relaxed) {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        ScriptedReply::Table(vec![listings(shard(ticket), 20)], TableEncoding::default())
    });
    let mut cluster = quiet(script);
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let stream = raw.open_stream("DoExchange", &[], false);
    raw.send_data(stream, &query("open", &command("place-hold", "h", &[0])), false);
    while cluster.attempts_by_shard("h").is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    cluster.program.signal(libc::SIGTERM);
    assert!(cluster.wait_for_log("Serving -> Draining"));
    raw.send_data(stream, &query("late", &command("place-hold", "late", &[1])), false);
    hold.store(false, Ordering::Relaxed);
    let reply = raw.read_reply(stream, true);
    let told: Vec<Value> = reply
        .messages
        .iter()
        .filter_map(|m| {
            serde_json::from_slice(&FlightData::decode(m.as_slice()).expect("data").app_metadata).ok()
        })
        .filter(|value: &Value| value.get("status").is_some())
        .collect();
    let of = |tag: &str| told.iter().find(|value| value["tag"] == tag).map(|value| value["status"].clone());
    assert_eq!(of("open"), Some(json!("whole")));
    // What came behind the drain is refused or was never read; it has not run.
    assert!(of("late").is_none_or(|status| status == "refused"));
    assert_eq!(cluster.attempts_by_shard("late"), []);
    assert_eq!(reply.status(), Some(14));
    assert_eq!(cluster.program.child.wait().expect("an exit").code(), Some(0));
}

/// A table of holds as `DoPut` carries it: schema, then a batch of these ids.
fn holds(ids: &[&str]) -> Vec<Vec<u8>> {
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
fn holds_in_bulk_run_once_though_their_stream_breaks_off() {
    let cluster = quiet(tables());
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    let first = holds(&["a", "b"]);
    assert!(first.iter().all(|message| raw.send_data(stream, message, false)));
    // The next batch comes in half: none of it runs.
    let second = holds(&["c"]);
    raw.send_data(stream, &second[1][..second[1].len() / 2], false);
    while cluster.attempts_by_shard("b").is_empty() || cluster.attempts_by_shard("a").is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    drop(raw);
    // The client comes again with all three, and is told the first outcome of those that ran.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let stream = raw.open_stream("DoPut", &[], false);
    for message in holds(&["a", "b", "c"]) {
        raw.send_data(stream, &message, false);
    }
    raw.send_data(stream, &[], true);
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0));
    let result = |m: &Vec<u8>| proto::PutResult::decode(m.as_slice()).expect("a result").app_metadata;
    let told: Vec<Value> =
        reply.messages.iter().map(|m| serde_json::from_slice(&result(m)).expect("JSON")).collect();
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|value| value["status"] == "whole"), "{told:?}");
    for id in ["a", "b", "c"] {
        assert_eq!(cluster.attempts_by_shard(id), [(0, 1)], "{id}");
    }
}

#[test]
fn bad_input_on_a_long_stream_is_told() {
    let cluster = quiet(tables());
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let mut said = |method: &str, messages: &[Vec<u8>]| {
        let stream = raw.open_stream(method, &[], false);
        // A stream that was ended early takes no more; its answer says why.
        let _ = messages.iter().all(|message| raw.send_data(stream, message, false));
        raw.send_data(stream, &[], true);
        let reply = raw.read_reply(stream, true);
        (reply.status(), reply.header("grpc-message").map(str::to_owned))
    };
    let metadata =
        |text: &str| frame(&FlightData { app_metadata: text.to_owned().into(), ..FlightData::default() });
    let words = |reply: (Option<u32>, Option<String>)| reply.1.unwrap_or_default();
    assert_eq!(words(said("DoExchange", &[metadata("{")])), "the metadata are not JSON");
    assert_eq!(words(said("DoExchange", &[metadata("{\"tag\": 7}")])), "the tag is no text, or too long");
    assert_eq!(words(said("DoExchange", &[b"\0\0\0\0\x01\xff".to_vec()])), "this is no FlightData");
    let twice = query("t", &command("search", "q", &[0]));
    assert!(matches!(said("DoExchange", &[twice.clone(), twice]).0, Some(0 | 6)));
    let table = holds(&["a"]);
    assert!(words(said("DoPut", &[table[1].clone()])).contains("a batch before its schema"));
    let spoilt =
        flight_data(&Bytes::from_static(b"no header"), &Bytes::new(), Vec::new(), Encoding::Identity);
    assert!(words(said("DoPut", &[spoilt.concat()])).contains("the table makes no sense"));
    // Nothing at all is no error.
    assert_eq!(said("DoPut", &[]).0, Some(0));
    assert_eq!(said("DoExchange", &[]).0, Some(0));
    let ticket = frame(&Ticket { ticket: Bytes::from_static(b"made up") });
    assert_eq!(raw.call("DoGet", &[], &ticket).status(), Some(3));
    assert_eq!(cluster.attempts_by_shard("a"), []);
}

#[test]
fn a_goaway_of_a_client_counts_for_what_comes_behind_it_alone() {
    let cluster = quiet(tables());
    let away = |raw: &mut RawHttp2Client| raw.send_frame(raw_http2::GOAWAY, 0, 0, &[0; 8]);
    // Before any stream: the connection may still be used by its client, or ends; nobody else notices.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    away(&mut raw);
    raw.shut_down_writing();
    assert!(raw.is_closed());
    // While a request is coming in: what is left of it is taken, and it is answered.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let ticket = info(&mut raw, &command("place-hold", "half", &[0]));
    let stream = raw.open_stream("DoGet", &[], false);
    raw.send_data(stream, &ticket[..10], false);
    away(&mut raw);
    raw.send_data(stream, &ticket[10..], true);
    assert_eq!(raw.read_reply(stream, true).status(), Some(0));
    assert_eq!(cluster.attempts_by_shard("half"), [(0, 1)]);
    // While an exchange is open: what is open on it is answered, and so is what comes behind.
    let mut raw = RawHttp2Client::connect(cluster.program.flight);
    let stream = raw.open_stream("DoExchange", &[], false);
    raw.send_data(stream, &query("a", &command("place-hold", "xa", &[0])), false);
    away(&mut raw);
    raw.send_data(stream, &query("b", &command("place-hold", "xb", &[1])), true);
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0));
    assert_eq!(
        (cluster.attempts_by_shard("xa"), cluster.attempts_by_shard("xb")),
        (vec![(0, 1)], vec![(1, 1)])
    );
    assert!(serves(&cluster));
}
