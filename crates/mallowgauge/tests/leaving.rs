//! Three instances that take over each other's non-idempotent queries. The test plays the backend, or one of the
//! instances. Covers a query in flight while its instance shuts down, one that is asked again over the other frontend, and
//! a peer that disconnects within its hello.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mallowgauge_edge::peers::wire::{decode, encode, Frame};
use mallowgauge_flight::grpc::frame;
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo};
use mallowgauge_testkit::manual_peers::{accept, accept_within, addr, listener, query, Connection};
use mallowgauge_testkit::raw_http2::RawHttp2Client;
use mallowgauge_testkit::{config, Program};
use prost::Message;
use serde_json::{json, Value};

const TIMEOUT: Duration = Duration::from_secs(30);
/// gRPC's status `ALREADY_EXISTS`.
const ALREADY_EXISTS: u32 = 6;

/// Starts three instances with one peer list and one backend. Queries have a deadline of at most 2 s.
fn start_cluster(backend: &TcpListener, discovery: &TcpListener) -> Vec<Program> {
    start_instances(backend, discovery, 3).0
}

/// Starts the first `running` of three instances. Also returns the peer address of the first instance, and listeners at
/// the peer addresses of those not started.
fn start_instances(
    backend: &TcpListener,
    discovery: &TcpListener,
    running: usize,
) -> (Vec<Program>, SocketAddr, Vec<TcpListener>) {
    let mut ports: Vec<TcpListener> = (0..3).map(|_| listener()).collect();
    let name = |index: usize| format!("g{index}");
    let peer = |(index, port): (usize, &TcpListener)| json!({"name": name(index), "address": addr(port).to_string()});
    let list: Vec<Value> = ports.iter().enumerate().map(peer).collect();
    let listen_addresses: Vec<String> = ports.iter().map(|port| addr(port).to_string()).collect();
    let first = addr(&ports[0]);
    let others = ports.split_off(running);
    drop(ports);
    let start = |(index, listen): (usize, &String)| {
        let mut file = config(&[addr(backend)], addr(discovery));
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            class["DeadlineUs"] = json!(2_000_000);
        }
        let cluster = json!({"name": name(index), "listen": listen, "group": 3, "handover": {"life_ms": 2_100},
                             "peers": {"version": 1, "list": list}});
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": []}, "fleet": cluster});
        Program::start(&file, &operator, 1024)
    };
    (listen_addresses.iter().enumerate().take(running).map(start).collect(), first, others)
}

fn has_logged(program: &Program, text: &str) -> bool {
    program.log.lock().expect("a sound lock").iter().any(|line| line.contains(text))
}

fn wait_for_log(program: &Program, text: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while !has_logged(program, text) {
        assert!(Instant::now() < deadline, "no line {text}: {:#?}", program.log.lock());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Submits non-idempotent queries to the first instance until one is admitted. Returns its number, the connection of
/// its client and its connection to the backend. All instances have just started, and reject such queries until no query
/// id from before the start can be submitted any more.
fn submit_until_admitted(programs: &[Program], backend: &TcpListener) -> (u32, Connection, Connection) {
    for other in ["g1", "g2"] {
        wait_for_log(&programs[0], &format!("peer {other} connected"));
    }
    let deadline = Instant::now() + TIMEOUT;
    let admitted = (0..).find_map(|number| {
        assert!(Instant::now() < deadline, "no query was admitted");
        let mut client = Connection::connect(programs[0].http);
        client.send(query(&format!("hold-{number}"), "place-hold", 2_000, &[0]));
        accept_within(backend, Duration::from_millis(500)).map(|connection| (number, client, connection))
    });
    admitted.expect("an admitted query")
}

// Guards against treating a draining instance as lost: its peers took over the queries that it was still waiting for,
// and its clients got "possibly executed" whatever the backend answered.
#[test]
fn query_in_flight_during_shutdown_returns_its_backends_answer() {
    let (backend, discovery) = (listener(), listener());
    let programs = start_cluster(&backend, &discovery);
    let (_, mut client, mut at_backend) = submit_until_admitted(&programs, &backend);
    let parts = at_backend.next_parts();
    programs[0].signal(libc::SIGTERM);
    for other in &programs[1..] {
        wait_for_log(other, "peer g0 is left");
    }
    // A second signal changes nothing.
    programs[0].signal(libc::SIGTERM);
    // Leaves enough time for a takeover: two steps of 30 ms and a round of messages.
    std::thread::sleep(Duration::from_millis(300));
    at_backend.answer_part(&parts[0], "good", "held");
    let (status, body) = client.response().expect("a final answer");
    assert_eq!(status, 200, "{body}");
}

// A draining instance that dies with a query in flight: the query is taken over once the instance's connections end,
// long before the lifetime of the query id is over, after which any instance would determine its outcome.
#[test]
fn query_of_a_draining_instance_that_dies_is_taken_over() {
    let (backend, discovery) = (listener(), listener());
    let mut programs = start_cluster(&backend, &discovery);
    let (number, _client, mut at_backend) = submit_until_admitted(&programs, &backend);
    at_backend.next_parts();
    programs[0].signal(libc::SIGTERM);
    for other in &programs[1..] {
        wait_for_log(other, "peer g0 is left");
    }
    programs[0].child.kill().expect("a process");
    programs[0].child.wait().expect("an exit status");
    let mut resubmission = Connection::connect(programs[1].http);
    let request = query(&format!("hold-{number}"), "place-hold", 1_500, &[0]);
    resubmission.send(request.replace("Req-Kind", "Req-Retry: 1\r\nReq-Kind"));
    let (status, body) = resubmission.response().expect("a final answer");
    assert_eq!(status, 502, "{body}");
}

/// Asks an instance for a non-idempotent query over Flight. Returns the connection and the stream of its response.
fn ask_over_flight(program: &Program, id: &str, predicate: &str) -> (RawHttp2Client, u32) {
    let mut raw = RawHttp2Client::connect(program.flight);
    let command =
        json!({"kind": "place-hold", "id": id, "ranges": [0], "predicate": predicate, "retry": true});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    let ticket = info.endpoint[0].ticket.clone().expect("a ticket");
    let stream = raw.start_call("DoGet", &[("grpc-timeout", "2S")], &frame(&ticket));
    (raw, stream)
}

// Guards against a second execution of a non-idempotent query whose client lost its connection over HTTP and asks the
// same instance again over Flight, while the query is still in flight.
#[test]
fn query_asked_again_over_the_other_frontend_joins_its_run() {
    let (backend, discovery) = (listener(), listener());
    let programs = start_cluster(&backend, &discovery);
    let (number, client, mut at_backend) = submit_until_admitted(&programs, &backend);
    let parts = at_backend.next_parts();
    client.reset();
    let id = format!("hold-{number}");
    // The same id with another text is another query, which is rejected.
    let (mut raw, stream) = ask_over_flight(&programs[0], &id, "another");
    assert_eq!(raw.read_reply(stream, true).status(), Some(ALREADY_EXISTS));
    let (mut raw, stream) = ask_over_flight(&programs[0], &id, "c41e77d0");
    // A second part would come on a connection of its own, or on this one.
    assert!(accept_within(&backend, Duration::from_millis(300)).is_none(), "a second connection");
    at_backend.answer_part(&parts[0], "good", "held");
    let reply = raw.read_reply(stream, true);
    assert_eq!(reply.status(), Some(0), "{reply:?}");
    at_backend.0.set_read_timeout(Some(Duration::from_millis(300))).expect("set the read timeout");
    assert!(at_backend.0.read(&mut [0; 1]).is_err(), "a second part, or the end of the connection");
}

// The test plays the third instance. Its hello is cut at each byte, by a close and by a reset; no peer may become suspect
// and no other connection may end.
#[test]
fn hello_cut_at_any_byte_makes_no_peer_suspect() {
    let (backend, discovery) = (listener(), listener());
    let (programs, first, others) = start_instances(&backend, &discovery, 2);
    wait_for_log(&programs[0], "peer g1 connected");
    // The first instance connects to the third. Its hello is the template for one with the same peer list.
    let mut from_first = accept(&others[0]);
    let mut received = Vec::new();
    let hello = loop {
        let mut byte = [0];
        from_first.0.read_exact(&mut byte).expect("a hello");
        received.push(byte[0]);
        if let Some((Frame::Hello(hello), _)) = decode(&received, 64 * 1024).expect("a message") {
            break hello;
        }
    };
    drop(from_first);
    let mut own = hello.clone();
    (own.name, own.known, own.incarnation.nonce) = ("g2".to_owned(), None, hello.incarnation.nonce + 1);
    let bytes = encode(&Frame::Hello(own));
    for cut in 0..bytes.len() {
        let mut closed = Connection::connect(first);
        closed.send(&bytes[..cut]);
        drop(closed);
        let mut reset = Connection::connect(first);
        reset.send(&bytes[..cut]);
        reset.reset();
    }
    assert!(!has_logged(&programs[0], "peer g2 connected"));
    let mut complete = Connection::connect(first);
    complete.send(&bytes);
    wait_for_log(&programs[0], "peer g2 connected");
    for program in &programs {
        for line in [
            "peer g0 is suspect",
            "peer g1 is suspect",
            "connection to peer g0 ended",
            "connection to peer g1 ended",
        ] {
            assert!(!has_logged(program, line), "{line}");
        }
    }
}
