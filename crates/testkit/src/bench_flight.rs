//! `make bench-flight`: measures the cost of column tables from four stand-in backends through the program to one
//! reader, compared with the same tables as text over HTTP and with reading the backends directly; and the memory
//! that the program needs for 200 slow readers. The backends run in this process, the program and each reader in
//! separate processes whose CPU time is read from `/proc`. The variants run alternately, and medians are printed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use mallowgauge_flight::grpc::{frame, status_code, Deframer, FLIGHT_SERVICE_PATH};
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo, Ticket};
use mallowgauge_testkit::columns::{
    listings, numbers, scripted_backend, AttemptCounts, Script, ScriptedReply, TableEncoding,
};
use mallowgauge_testkit::{config, stand_ins, Program};
use prost::Message;
use serde_json::{json, Value};

const BACKENDS: u32 = 4;
/// Measured rounds; one more warms up.
const ROUNDS: usize = 5;
/// Record batches of a part and the rows of each batch: about four megabytes.
const BATCHES: usize = 8;
const ROWS: usize = 10_000;

/// Returns the CPU seconds that a process has used.
fn cpu(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let rest = text.rsplit_once(')').expect("a name").1;
    let field =
        |at: usize| -> f64 { rest.split_whitespace().nth(at).and_then(|n| n.parse().ok()).expect("ticks") };
    (field(11) + field(12)) / 100.0
}

/// Returns a field of `/proc/PID/status`, in KB.
fn memory(pid: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = text.lines().find(|line| line.starts_with(field)).expect("a field of this name");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

fn query(id: &str, shards: u32) -> Value {
    let ranges: Vec<u32> = (0..shards).collect();
    json!({"kind": "search", "id": id, "ranges": ranges, "predicate": "c41e77d0"})
}

/// Starts a program with these backends and this memory limit.
fn start(backends: &[SocketAddr], memory_mb: u64) -> (Program, stand_ins::DiscoveryStandIn) {
    let discovery = stand_ins::DiscoveryStandIn::start();
    let mut file = config(backends, discovery.addr);
    file["settings"]["FamilyInfo"]["Places"] = json!(backends.len());
    file["settings"]["FamilyInfo"]["Width"] = json!(backends.len());
    file["settings"]["Limits"]["MaxOpen"] = json!(400);
    for class in 0..3 {
        file["settings"]["Classes"][class]["AimUs"] = json!(20_000_000);
        file["settings"]["Classes"][class]["DeadlineUs"] = json!(30_000_000);
    }
    file["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 4096});
    let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": "all"}});
    (Program::start(&file, &operator, 4096), discovery)
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

/// Makes a call and reads it to its end: the bytes of its messages, the first message and the status (99 if the call
/// broke off). Messages are not decoded.
async fn call(
    sender: &mut h2::client::SendRequest<Bytes>,
    method: &str,
    message: Vec<u8>,
) -> (u64, Bytes, u32) {
    let request = Request::post(format!("http://bench{FLIGHT_SERVICE_PATH}{method}"))
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
    while let Some(chunk) = body.data().await {
        let Ok(chunk) = chunk else { return (bytes, first, 99) };
        let _ = body.flow_control().release_capacity(chunk.len());
        frames.push(&chunk);
        while let Ok(Some(message)) = frames.next_message() {
            bytes += message.len() as u64;
            if first.is_empty() {
                first = message;
            }
        }
    }
    let trailers = body.trailers().await.ok().flatten().unwrap_or(head);
    (bytes, first, status_code(&trailers).unwrap_or(99))
}

/// Runs a reader process: reads `count` answers and prints bytes, seconds and CPU seconds.
fn reader(kind: &str, addrs: &[SocketAddr], count: usize) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let local = tokio::task::LocalSet::new();
    let started = Instant::now();
    let cpu_before = cpu(std::process::id());
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
    let cpu_seconds = cpu(std::process::id()) - cpu_before;
    println!("{bytes} {} {cpu_seconds}", started.elapsed().as_secs_f64());
}

/// Fetches one answer as text over HTTP; returns its bytes.
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

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Compares reading the backends directly, over Flight through the program, and as text over HTTP.
fn throughput() {
    let table: Vec<_> = (0..BATCHES).map(|_| listings(0, ROWS)).collect();
    let bytes: usize = mallowgauge_testkit::columns::messages_of(&table, TableEncoding::default())
        .iter()
        .map(Bytes::len)
        .sum();
    let script: Script =
        Arc::new(move |_, _, _| ScriptedReply::Table(table.clone(), TableEncoding::default()));
    let backends: Vec<SocketAddr> = (0..BACKENDS as usize)
        .map(|i| scripted_backend(i, Arc::clone(&script), AttemptCounts::default(), None))
        .collect();
    let (program, _discovery) = start(&backends, 1024);
    let megabytes = f64::from(BACKENDS) * bytes as f64 / 1e6;
    println!(
        "tables of {:.1} MB from each of {BACKENDS} backends; medians of {ROUNDS} alternating rounds",
        bytes as f64 / 1e6
    );
    println!("per megabyte of column data, whatever its encoding on the wire:");
    println!("{:8} {:>10} {:>16} {:>16} {:>10}", "path", "MB/s", "program ms/MB", "reader ms/MB", "wire MB");
    let executable = std::env::current_exe().expect("path of this executable");
    // Text is slow: fewer queries give rounds of similar length.
    let kinds = [("direct", 20), ("flight", 20), ("text", 2)];
    let mut measured: Vec<[Vec<f64>; 4]> = kinds.iter().map(|_| Default::default()).collect();
    for round in 0..=ROUNDS {
        for (index, (kind, count)) in kinds.iter().enumerate() {
            let addrs: Vec<String> = match *kind {
                "direct" => backends.iter().map(ToString::to_string).collect(),
                "flight" => vec![program.flight.to_string()],
                _ => vec![program.http.to_string()],
            };
            let cpu_before = cpu(program.child.id());
            let output =
                Command::new(&executable).args(["reader", kind, &count.to_string()]).args(&addrs).output();
            let output = output.expect("run a reader");
            assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
            let program_cpu = cpu(program.child.id()) - cpu_before;
            let text = String::from_utf8(output.stdout).expect("text");
            let reported: Vec<f64> = text.split_whitespace().map(|n| n.parse().expect("a number")).collect();
            // The first round is a warm-up.
            if round > 0 {
                let total_megabytes = megabytes * *count as f64;
                let figures = [
                    total_megabytes / reported[1],
                    program_cpu * 1000.0 / total_megabytes,
                    reported[2] * 1000.0 / total_megabytes,
                    reported[0] / 1e6 / *count as f64,
                ];
                measured[index].iter_mut().zip(figures).for_each(|(list, figure)| list.push(figure));
            }
        }
    }
    let mut speeds = Vec::new();
    for ((kind, _), figures) in kinds.iter().zip(measured) {
        let [speed, used, read, wire] = figures.map(median);
        println!("{kind:8} {speed:>10.0} {used:>16.2} {read:>16.2} {wire:>10.1}");
        speeds.push((speed, used, read));
    }
    let (direct, flight, text) = (speeds[0], speeds[1], speeds[2]);
    println!("speed of flight compared with text: {:.1} times", flight.0 / text.0);
    println!("CPU of the program compared with reading directly: {:.2} times", flight.1 / direct.2);
    println!("peak memory of the program: {} MB of 1024", memory(program.child.id(), "VmHWM:") / 1024);
    println!("cores needed for 10 Gbit/s at that rate: {:.1}", 1250.0 * flight.1 / 1000.0);
}

/// Measures the program's memory while many readers read answers of about 60 MB very slowly.
fn slow(readers: usize) {
    const READERS_PER_CONNECTION: usize = 8;
    const MEMORY_MB: u64 = 640;
    let script: Script = Arc::new(|_, _, _| {
        ScriptedReply::Table((0..15).map(|_| numbers(1 << 20)).collect(), TableEncoding::default())
    });
    let backends: Vec<SocketAddr> = (0..BACKENDS as usize)
        .map(|i| scripted_backend(i, Arc::clone(&script), AttemptCounts::default(), None))
        .collect();
    let (program, _discovery) = start(&backends, MEMORY_MB);
    let addr = program.flight;
    println!(
        "\n{readers} readers that read answers of 60 MB at 16 KB per second; {MEMORY_MB} MB for the program"
    );
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let local = tokio::task::LocalSet::new();
    let outcomes = local.block_on(&runtime, async {
        let (mut tasks, mut senders) = (Vec::new(), Vec::new());
        // As many connections as the program accepts with this memory limit, with several readers on each.
        for _ in 0..readers / READERS_PER_CONNECTION {
            let socket = tokio::net::TcpStream::connect(addr).await.expect("connect");
            let mut builder = h2::client::Builder::new();
            builder.initial_connection_window_size(1 << 20);
            let (sender, connection) = builder.handshake(socket).await.expect("HTTP/2");
            tokio::task::spawn_local(connection);
            senders.push(sender);
        }
        for reader in 0..readers {
            let mut sender: h2::client::SendRequest<Bytes> = senders[reader / READERS_PER_CONNECTION].clone();
            tasks.push(tokio::task::spawn_local(async move {
                let read_slowly = async {
                    let descriptor =
                        FlightDescriptor::command(query(&format!("s-{reader}"), BACKENDS).to_string().into());
                    let (_, info, status) = call(&mut sender, "GetFlightInfo", frame(&descriptor)).await;
                    if status != 0 {
                        return Some(status);
                    }
                    let info = FlightInfo::decode(info).ok()?;
                    let request = Request::post(format!("http://bench{FLIGHT_SERVICE_PATH}DoGet"))
                        .header("content-type", "application/grpc")
                        .header("grpc-timeout", "20S")
                        .body(())
                        .ok()?;
                    let (response, mut stream) = sender.send_request(request, false).ok()?;
                    stream.send_data(frame(info.endpoint[0].ticket.as_ref()?).into(), true).ok()?;
                    let response = response.await.ok()?;
                    if let Some(status) = status_code(response.headers()) {
                        return Some(status);
                    }
                    let mut body = response.into_body();
                    while let Some(Ok(chunk)) = body.data().await {
                        tokio::time::sleep(Duration::from_millis(chunk.len() as u64 / 16)).await;
                        let _ = body.flow_control().release_capacity(chunk.len());
                    }
                    body.trailers().await.ok().flatten().as_ref().and_then(status_code)
                };
                tokio::time::timeout(Duration::from_secs(25), read_slowly).await.ok().flatten()
            }));
        }
        let mut outcomes = std::collections::BTreeMap::<String, usize>::new();
        for task in tasks {
            let outcome = match task.await.expect("the reader task") {
                Some(0) => "complete".to_owned(),
                Some(8 | 14) => "rejected".to_owned(),
                Some(4) => "deadline exceeded".to_owned(),
                Some(code) => format!("status {code}"),
                None => "broken off or still reading".to_owned(),
            };
            *outcomes.entry(outcome).or_default() += 1;
        }
        outcomes
    });
    println!("outcomes: {outcomes:?}");
    println!("peak memory: {} MB of {MEMORY_MB}", memory(program.child.id(), "VmHWM:") / 1024);
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

/// Sends one query and prints the program's log, for debugging.
fn once() {
    let table: Vec<_> = (0..BATCHES).map(|_| listings(0, ROWS)).collect();
    let script: Script =
        Arc::new(move |_, _, _| ScriptedReply::Table(table.clone(), TableEncoding::default()));
    let backends: Vec<SocketAddr> = (0..BACKENDS as usize)
        .map(|i| scripted_backend(i, Arc::clone(&script), AttemptCounts::default(), None))
        .collect();
    let (program, _discovery) = start(&backends, 1024);
    let executable = std::env::current_exe().expect("path of this executable");
    let output =
        Command::new(&executable).args(["reader", "flight", "1", &program.flight.to_string()]).output();
    println!("{}", String::from_utf8_lossy(&output.expect("run a reader").stderr));
    println!("{:#?}", program.log.lock().expect("lock is not poisoned"));
}
