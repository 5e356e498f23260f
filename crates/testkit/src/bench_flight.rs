//! `make bench-flight`: what column tables cost from four stand-in hosts through the program to one reader,
//! beside the same tables as text over HTTP, and beside reading the hosts directly; and what 200 readers
//! that hardly read make of the memory. Hosts run here, the program and each reader in processes of their
//! own, whose CPU is read from the system. All sides run in turns, and medians are printed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use mallowgauge_flight::grpc::{frame, status_of, Deframer, SERVICE};
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo, Ticket};
use mallowgauge_testkit::columns::{
    listings, numbers, scripted_backend, AttemptCounts, Script, ScriptedReply, TableEncoding,
};
use mallowgauge_testkit::{config, stand_ins, Program};
use prost::Message;
use serde_json::{json, Value};

const BACKENDS: u32 = 4;
const ROUNDS: usize = 5;
/// Record batches of a part, and their rows: about four megabytes.
const BATCHES: usize = 8;
const ROWS: usize = 10_000;

/// CPU seconds that a process has used.
fn cpu(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let rest = text.rsplit_once(')').expect("a name").1;
    let field =
        |at: usize| -> f64 { rest.split_whitespace().nth(at).and_then(|n| n.parse().ok()).expect("ticks") };
    (field(11) + field(12)) / 100.0
}

/// A line of a process's status, in KB.
fn memory(pid: u32, what: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = text.lines().find(|line| line.starts_with(what)).expect("a line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

fn query(id: &str, shards: u32) -> Value {
    let ranges: Vec<u32> = (0..shards).collect();
    json!({"kind": "search", "id": id, "ranges": ranges, "predicate": "c41e77d0"})
}

/// A program with these hosts, which may use so much memory.
fn start(hosts: &[SocketAddr], memory_mb: u64) -> (Program, stand_ins::DiscoveryStandIn) {
    let roster = stand_ins::DiscoveryStandIn::start();
    let mut file = config(hosts, roster.addr);
    file["settings"]["FamilyInfo"]["Places"] = json!(hosts.len());
    file["settings"]["FamilyInfo"]["Width"] = json!(hosts.len());
    file["settings"]["Limits"]["MaxOpen"] = json!(400);
    for class in 0..3 {
        file["settings"]["Classes"][class]["AimUs"] = json!(20_000_000);
        file["settings"]["Classes"][class]["DeadlineUs"] = json!(30_000_000);
    }
    file["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 4096});
    let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": "all"}});
    (Program::start(&file, &operator, 4096), roster)
}

async fn connect(addr: SocketAddr) -> h2::client::SendRequest<Bytes> {
    let socket = tokio::net::TcpStream::connect(addr).await.expect("connect");
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(4 << 20).initial_connection_window_size(16 << 20).max_frame_size(1 << 20);
    socket.set_nodelay(true).expect("set TCP_NODELAY");
    let (sender, connection) = builder.handshake(socket).await.expect("HTTP/2");
    tokio::task::spawn_local(connection);
    sender
}

/// A call to its end: its messages' bytes, the first message, and its status. Messages are not decoded.
async fn call(
    sender: &mut h2::client::SendRequest<Bytes>,
    method: &str,
    message: Vec<u8>,
) -> (u64, Bytes, u32) {
    let request = Request::post(format!("http://bench{SERVICE}{method}"))
        .header("content-type", "application/grpc")
        .header("grpc-timeout", "30S")
        .body(())
        .expect("a request");
    let (response, mut stream) = sender.send_request(request, false).expect("a stream");
    stream.send_data(message.into(), true).expect("send the data");
    let Ok(response) = response.await else { return (0, Bytes::new(), 99) };
    let head = response.headers().clone();
    let mut body = response.into_body();
    let (mut frames, mut bytes, mut first) = (Deframer::new(1 << 30), 0, Bytes::new());
    while let Some(piece) = body.data().await {
        let Ok(piece) = piece else { return (bytes, first, 99) };
        let _ = body.flow_control().release_capacity(piece.len());
        frames.push(&piece);
        while let Ok(Some(message)) = frames.take() {
            bytes += message.len() as u64;
            if first.is_empty() {
                first = message;
            }
        }
    }
    let trailers = body.trailers().await.ok().flatten().unwrap_or(head);
    (bytes, first, status_of(&trailers).unwrap_or(99))
}

/// What a reader does; prints bytes, seconds and CPU seconds.
fn reader(kind: &str, addrs: &[SocketAddr], count: usize) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let local = tokio::task::LocalSet::new();
    let began = Instant::now();
    let before = cpu(std::process::id());
    let bytes: u64 = match kind {
        "text" => (0..count).map(|i| text(addrs[0], i)).sum(),
        "flight" => local.block_on(&runtime, async {
            let mut sender = connect(addrs[0]).await;
            let mut sum = 0;
            for i in 0..count {
                let id = format!("f-{}-{i}", std::process::id());
                let descriptor = FlightDescriptor::command(query(&id, BACKENDS).to_string().into());
                let (_, info, _) = call(&mut sender, "GetFlightInfo", frame(&descriptor)).await;
                let info = FlightInfo::decode(info).expect("a FlightInfo");
                let ticket = frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
                let (bytes, _, status) = call(&mut sender, "DoGet", ticket).await;
                assert_eq!(status, 0, "an answer of {bytes} bytes");
                sum += bytes;
            }
            sum
        }),
        _ => local.block_on(&runtime, async {
            let mut senders = Vec::new();
            for addr in addrs {
                senders.push(connect(*addr).await);
            }
            let mut sum = 0;
            for i in 0..count {
                let mut tasks = Vec::new();
                for (shard, sender) in senders.iter().enumerate() {
                    let ticket = json!({"query": format!("d-{i}"), "range": shard, "predicate": "x"});
                    let ticket = frame(&Ticket { ticket: ticket.to_string().into() });
                    let mut sender = sender.clone();
                    tasks.push(tokio::task::spawn_local(async move {
                        call(&mut sender, "DoGet", ticket).await.0
                    }));
                }
                for task in tasks {
                    sum += task.await.expect("a table");
                }
            }
            sum
        }),
    };
    let cpu = cpu(std::process::id()) - before;
    println!("{bytes} {} {cpu}", began.elapsed().as_secs_f64());
}

fn text(addr: SocketAddr, number: usize) -> u64 {
    let mut socket = TcpStream::connect(addr).expect("connect");
    let id = format!("t-{}-{number}", std::process::id());
    let share = 1.0 / f64::from(BACKENDS);
    let ranges: Vec<Value> = (0..BACKENDS).map(|s| json!({"range": s, "portion": share})).collect();
    let body = json!({"ranges": ranges, "predicate": "c41e77d0"}).to_string();
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: search\r\nReq-Deadline-Ms: 30000\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).expect("send the data");
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).expect("an answer");
    assert!(
        answer.starts_with(b"HTTP/1.1 200"),
        "{}",
        String::from_utf8_lossy(&answer[..100.min(answer.len())])
    );
    answer.len() as u64
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

fn throughput() {
    let table: Vec<_> = (0..BATCHES).map(|_| listings(0, ROWS)).collect();
    let bytes: usize = mallowgauge_testkit::columns::messages_of(&table, TableEncoding::default())
        .iter()
        .map(Bytes::len)
        .sum();
    let script: Script =
        Arc::new(move |_, _, _| ScriptedReply::Table(table.clone(), TableEncoding::default()));
    let hosts: Vec<SocketAddr> = (0..BACKENDS as usize)
        .map(|i| scripted_backend(i, Arc::clone(&script), AttemptCounts::default(), None))
        .collect();
    let (program, _roster) = start(&hosts, 1024);
    let megabytes = f64::from(BACKENDS) * bytes as f64 / 1e6;
    println!(
        "tables of {:.1} MB from each of {BACKENDS} hosts; {ROUNDS} rounds in turns, medians",
        bytes as f64 / 1e6
    );
    println!("per megabyte of columns, whatever they were turned into:");
    println!("{:8} {:>10} {:>16} {:>16} {:>10}", "path", "MB/s", "program ms/MB", "reader ms/MB", "wire MB");
    let me = std::env::current_exe().expect("a path");
    // Text is slow: fewer queries of it take as long.
    let kinds = [("direct", 20), ("flight", 20), ("text", 2)];
    let mut seen: Vec<[Vec<f64>; 4]> = kinds.iter().map(|_| Default::default()).collect();
    for round in 0..=ROUNDS {
        for (at, (kind, count)) in kinds.iter().enumerate() {
            let addrs: Vec<String> = match *kind {
                "direct" => hosts.iter().map(ToString::to_string).collect(),
                "flight" => vec![program.flight.to_string()],
                _ => vec![program.http.to_string()],
            };
            let before = cpu(program.child.id());
            let out = Command::new(&me).args(["reader", kind, &count.to_string()]).args(&addrs).output();
            let out = out.expect("a reader");
            assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
            let used = cpu(program.child.id()) - before;
            let text = String::from_utf8(out.stdout).expect("text");
            let said: Vec<f64> = text.split_whitespace().map(|n| n.parse().expect("a number")).collect();
            // The first round warms up.
            if round > 0 {
                let all = megabytes * *count as f64;
                let figures = [
                    all / said[1],
                    used * 1000.0 / all,
                    said[2] * 1000.0 / all,
                    said[0] / 1e6 / *count as f64,
                ];
                seen[at].iter_mut().zip(figures).for_each(|(list, figure)| list.push(figure));
            }
        }
    }
    let mut speeds = Vec::new();
    for ((kind, _), figures) in kinds.iter().zip(seen) {
        let [speed, used, read, wire] = figures.map(median);
        println!("{kind:8} {speed:>10.0} {used:>16.2} {read:>16.2} {wire:>10.1}");
        speeds.push((speed, used, read));
    }
    let (direct, flight, text) = (speeds[0], speeds[1], speeds[2]);
    println!("flight beside text: {:.1} times the speed", flight.0 / text.0);
    println!("the program's CPU beside reading directly: {:.2} times", flight.1 / direct.2);
    println!("peak memory of the program: {} MB of 1024", memory(program.child.id(), "VmHWM:") / 1024);
    println!("what 10 Gbit/s need at that rate: {:.1} cores", 1250.0 * flight.1 / 1000.0);
}

/// Readers that take next to nothing of answers of about 60 MB.
fn slow(readers: usize) {
    const A_CONNECTION: usize = 8;
    const MEMORY: u64 = 640;
    let script: Script = Arc::new(|_, _, _| {
        ScriptedReply::Table((0..15).map(|_| numbers(1 << 20)).collect(), TableEncoding::default())
    });
    let hosts: Vec<SocketAddr> = (0..BACKENDS as usize)
        .map(|i| scripted_backend(i, Arc::clone(&script), AttemptCounts::default(), None))
        .collect();
    let (program, _roster) = start(&hosts, MEMORY);
    let addr = program.flight;
    println!("\n{readers} readers that take 16 KB a second of answers of 60 MB; {MEMORY} MB for the program");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let local = tokio::task::LocalSet::new();
    let ends = local.block_on(&runtime, async {
        let (mut tasks, mut senders) = (Vec::new(), Vec::new());
        // As many connections as the program takes with this memory, and several readers on each.
        for _ in 0..readers / A_CONNECTION {
            let socket = tokio::net::TcpStream::connect(addr).await.expect("connect");
            let mut builder = h2::client::Builder::new();
            builder.initial_connection_window_size(1 << 20);
            let (sender, connection) = builder.handshake(socket).await.expect("HTTP/2");
            tokio::task::spawn_local(connection);
            senders.push(sender);
        }
        for i in 0..readers {
            let mut sender: h2::client::SendRequest<Bytes> = senders[i / A_CONNECTION].clone();
            tasks.push(tokio::task::spawn_local(async move {
                let work = async {
                    let descriptor =
                        FlightDescriptor::command(query(&format!("s-{i}"), BACKENDS).to_string().into());
                    let (_, info, status) = call(&mut sender, "GetFlightInfo", frame(&descriptor)).await;
                    if status != 0 {
                        return Some(status);
                    }
                    let info = FlightInfo::decode(info).ok()?;
                    let request = Request::post(format!("http://bench{SERVICE}DoGet"))
                        .header("content-type", "application/grpc")
                        .header("grpc-timeout", "20S")
                        .body(())
                        .ok()?;
                    let (response, mut stream) = sender.send_request(request, false).ok()?;
                    stream.send_data(frame(info.endpoint[0].ticket.as_ref()?).into(), true).ok()?;
                    let response = response.await.ok()?;
                    if let Some(status) = status_of(response.headers()) {
                        return Some(status);
                    }
                    let mut body = response.into_body();
                    while let Some(Ok(piece)) = body.data().await {
                        tokio::time::sleep(Duration::from_millis(piece.len() as u64 / 16)).await;
                        let _ = body.flow_control().release_capacity(piece.len());
                    }
                    body.trailers().await.ok().flatten().as_ref().and_then(status_of)
                };
                tokio::time::timeout(Duration::from_secs(25), work).await.ok().flatten()
            }));
        }
        let mut ends = std::collections::BTreeMap::<String, usize>::new();
        for task in tasks {
            let end = match task.await.expect("a task") {
                Some(0) => "whole".to_owned(),
                Some(8 | 14) => "refused".to_owned(),
                Some(4) => "time up".to_owned(),
                Some(code) => format!("status {code}"),
                None => "cut off, or still reading".to_owned(),
            };
            *ends.entry(end).or_default() += 1;
        }
        ends
    });
    println!("ends: {ends:?}");
    println!("peak memory: {} MB of {MEMORY}", memory(program.child.id(), "VmHWM:") / 1024);
    if readers < 200 {
        println!("{:#?}", program.log.lock().expect("lock is not poisoned"));
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["reader", kind, count, ..] => {
            let addrs: Vec<SocketAddr> =
                arguments[3..].iter().map(|a| a.parse().expect("an address")).collect();
            reader(kind, &addrs, count.parse().expect("a number"));
        }
        ["throughput"] => throughput(),
        ["once"] => once(),
        ["slow", readers] => slow(readers.parse().expect("a number")),
        _ => {
            throughput();
            slow(200);
        }
    }
}

/// One query, and the program's log: for looking into what went wrong.
fn once() {
    let table: Vec<_> = (0..BATCHES).map(|_| listings(0, ROWS)).collect();
    let script: Script =
        Arc::new(move |_, _, _| ScriptedReply::Table(table.clone(), TableEncoding::default()));
    let hosts: Vec<SocketAddr> = (0..BACKENDS as usize)
        .map(|i| scripted_backend(i, Arc::clone(&script), AttemptCounts::default(), None))
        .collect();
    let (program, _roster) = start(&hosts, 1024);
    let me = std::env::current_exe().expect("a path");
    let out = Command::new(&me).args(["reader", "flight", "1", &program.flight.to_string()]).output();
    println!("{}", String::from_utf8_lossy(&out.expect("a reader").stderr));
    println!("{:#?}", program.log.lock().expect("lock is not poisoned"));
}
