//! Clients and backends that send small or unsound messages without pause. Each gets its turn, and no more: other clients
//! get their answers in time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mallowgauge_flight::grpc::frame;
use mallowgauge_flight::proto::FlightDescriptor;
use mallowgauge_testkit::manual_peers::{answer_all_parts, query, Connection, TestBed};
use mallowgauge_testkit::raw_http2::{self, request_headers};
use serde_json::json;

/// How long each sender goes on.
const DURATION: Duration = Duration::from_secs(2);
/// How long a usual client waits for its answer, in milliseconds.
const DEADLINE_MS: u64 = 1_000;
/// Senders, and how long a client waits beside them, as in the users' own runs.
const SENDERS: usize = 6;
const SHORT_DEADLINE_MS: u64 = 261;
/// What an answer may be late by: the platform's slack, and what each time limit grows by on sockets.
const SLACK: Duration = Duration::from_millis(20 + 50);
/// HTTP/2's connection preface, and settings without entries.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// An HTTP/2 frame without content, of a type that is not defined and that receivers ignore.
const UNKNOWN_FRAME: &[u8] = &[0, 0, 0, 0xfa, 0, 0, 0, 0, 0];

/// Senders in the background. They end when this is dropped.
#[derive(Default)]
struct Senders {
    over: Arc<AtomicBool>,
}

impl Senders {
    /// Connects, sends `first`, and then what `next` returns, without pause. Reads whatever comes. Connects again where
    /// the program closes the connection.
    fn start(
        &self,
        addr: SocketAddr,
        first: &'static [u8],
        mut next: impl FnMut() -> Vec<u8> + Send + 'static,
    ) {
        let over = Arc::clone(&self.over);
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok(mut socket) = TcpStream::connect(addr) else { continue };
                let mut reader = socket.try_clone().expect("clone the socket");
                std::thread::spawn(move || while reader.read(&mut [0; 65_536]).is_ok_and(|read| read > 0) {});
                let mut sent = socket.write_all(first);
                while sent.is_ok() && !over.load(Ordering::Relaxed) {
                    sent = socket.write_all(&next());
                }
                // Ends the thread that reads.
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
        });
    }
}

impl Drop for Senders {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn start() -> TestBed {
    let test_bed = TestBed::start(3, |file| file["settings"]["Limits"]["MaxOpen"] = json!(400));
    test_bed.backends.iter().for_each(|backend| answer_all_parts(backend, Duration::ZERO, "x".to_owned()));
    test_bed
}

/// Asks queries over HTTP for some time, and checks that each is answered before its client's time is up.
fn assert_answers_in_time(test_bed: &TestBed) {
    let until = Instant::now() + DURATION;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let (status, body) = ask_in_time(test_bed, number, DEADLINE_MS);
        assert_eq!(status, 200, "{body}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Asks one query over HTTP, and checks that its final answer comes before its client's time is up.
fn ask_in_time(test_bed: &TestBed, number: u64, deadline_ms: u64) -> (u16, String) {
    let mut client = test_bed.client();
    let asked_at = Instant::now();
    client.send(query(&format!("usual-{number}"), "search", deadline_ms, &[0, 1]));
    let (status, body) = client.response().expect("an answer");
    let took = asked_at.elapsed();
    assert!(took < Duration::from_millis(deadline_ms) + SLACK, "{status} after {took:?}");
    (status, body)
}

// Guards against clients that keep others from their answers with small requests without pause: requests for paths that do
// not exist, and queries of ever new classes.
#[test]
fn small_requests_without_pause_do_not_delay_other_clients() {
    let test_bed = start();
    let senders = Senders::default();
    for _ in 0..20 {
        senders.start(test_bed.program.http, b"", || b"GET / HTTP/1.1\r\n\r\n".repeat(1_000));
        let mut number = 0;
        senders.start(test_bed.program.http, b"", move || {
            let class = |number: u64| format!("class-{number}");
            let requests = (number..number + 100).map(|n| query(&format!("id-{n}"), &class(n), 3_000, &[0]));
            number += 100;
            requests.collect::<String>().into_bytes()
        });
    }
    assert_answers_in_time(&test_bed);
}

// Guards the picture of the users' own runs, with their number of senders and their clients' time: answers came late.
#[test]
fn clients_with_little_time_are_answered_in_time_beside_senders_without_pause() {
    let test_bed = start();
    let senders = Senders::default();
    for _ in 0..SENDERS {
        senders.start(test_bed.program.http, b"", || {
            b"POST /api HTTP/1.1\r\nReq-Kind: search\r\nContent-Length: 2\r\n\r\n{}".repeat(20)
        });
    }
    let until = Instant::now() + 2 * DURATION;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let (status, body) = ask_in_time(&test_bed, number, SHORT_DEADLINE_MS);
        // With so little time a query may be refused.
        assert!([200, 503].contains(&status), "{status} {body}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

// Guards against one Flight client that stops the program with frames without content (review/7), and with calls.
#[test]
fn frames_without_pause_do_not_delay_other_clients() {
    let test_bed = start();
    let senders = Senders::default();
    senders.start(test_bed.program.flight, PREFACE, || UNKNOWN_FRAME.repeat(20_000));
    let mut stream = 1_u32;
    senders.start(test_bed.program.flight, PREFACE, move || {
        let mut calls = Vec::new();
        for _ in 0..50 {
            calls.extend(call(stream));
            stream = (stream + 2) & 0x7fff_ffff;
        }
        calls
    });
    assert_answers_in_time(&test_bed);
}

/// A call of `GetFlightInfo` with a command of an unknown class.
fn call(stream: u32) -> Vec<u8> {
    let frame_of = |kind: u8, flags: u8, payload: &[u8]| {
        let length = u32::try_from(payload.len()).expect("a short frame").to_be_bytes();
        [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
    };
    let command = json!({"kind": format!("class-{stream}"), "ranges": [0], "predicate": "x"});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let headers = frame_of(raw_http2::HEADERS, 4, &request_headers("GetFlightInfo", &[]));
    [headers, frame_of(raw_http2::DATA, 1, &frame(&descriptor))].concat()
}

// Guards against one Flight backend that stops the program in the same way.
#[test]
fn frames_of_a_backend_without_pause_do_not_delay_clients() {
    let test_bed = TestBed::start_with_flight(1, |_| {});
    flood_from_backend(&test_bed.backends[0]);
    let mut asking = test_bed.client();
    asking.send(query("asks-the-backend", "search", 4_000, &[0]));
    let until = Instant::now() + DURATION;
    while Instant::now() < until {
        let asked_at = Instant::now();
        let mut client = Connection::connect(test_bed.program.http);
        client.send("GET /healthz HTTP/1.1\r\n\r\n");
        assert_eq!(client.response().expect("an answer").0, 200);
        let took = asked_at.elapsed();
        assert!(took < Duration::from_millis(DEADLINE_MS) + SLACK, "{took:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Accepts connections in the background, and sends frames without content on each, without pause.
fn flood_from_backend(listener: &TcpListener) {
    let listener = listener.try_clone().expect("clone the listener");
    let settings = &PREFACE[PREFACE.len() - UNKNOWN_FRAME.len()..];
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut sent = socket.write_all(settings);
                while sent.is_ok() {
                    sent = socket.write_all(&UNKNOWN_FRAME.repeat(20_000));
                }
            });
        }
    });
}
