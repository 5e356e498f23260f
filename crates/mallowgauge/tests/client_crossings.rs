//! Races on connections to clients that disconnect, reconnect, or send too much or too little. Runs the real
//! program; the test plays its clients and its backend. The order of events is forced by what these send and
//! wait for, and by pausing the program, so that one event-loop iteration finds several events.

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use mallowgauge_flight::grpc;
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo};
use mallowgauge_testkit::manual_peers::{
    accept, query, BackendInput, Connection, ConnectionEnd, ManualBackend, TestBed,
};
use mallowgauge_testkit::raw_http2::{self, RawHttp2Client};
use prost::Message;
use serde_json::json;

/// Starts the program with one backend. Deadlines are long, so that a part ends early only because its client
/// has disconnected.
fn start() -> (TestBed, ManualBackend) {
    start_with_descriptors(1024, 1024)
}

fn start_with_descriptors(socket_limit: u32, descriptors: u32) -> (TestBed, ManualBackend) {
    let mut test_bed = TestBed::start_with_descriptors(1, descriptors, |file| {
        file["limits"]["sockets"] = json!(socket_limit);
        file["settings"]["Limits"]["MaxOpen"] = json!(400);
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            class["AimUs"] = json!(50_000_000);
            class["DeadlineUs"] = json!(60_000_000);
        }
    });
    let backend = ManualBackend::new(test_bed.backends.remove(0));
    (test_bed, backend)
}

fn search(id: &str) -> String {
    query(id, "search", 60_000, &[0])
}

fn is_complete(response: Option<(u16, String)>) -> bool {
    response.is_some_and(|(status, body)| status == 200 && body.contains("\"total\":true"))
}

/// Submits a query as another client. Its part has to be the backend's next input; answers it.
fn assert_next_query_is_answered(test_bed: &TestBed, backend: &mut ManualBackend, id: &str) {
    let mut client = test_bed.client();
    client.send(search(id));
    assert_eq!(backend.answer_next_part("x").id, format!("{id}.0"));
    assert!(is_complete(client.response()));
}

// A request and its client's disconnect are read in the same event-loop iteration: no part is sent to the
// backend.
#[test]
fn query_of_a_client_that_disconnects_at_once_is_not_sent() {
    let (test_bed, mut backend) = start();
    assert_next_query_is_answered(&test_bed, &mut backend, "first");
    let mut reused = test_bed.client();
    reused.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(reused.response().map(|(status, _)| status), Some(404));
    test_bed.pause();
    let (mut closes, mut resets, mut half_closes) = (test_bed.client(), test_bed.client(), test_bed.client());
    closes.send(search("closes"));
    resets.send(search("resets"));
    half_closes.send(search("halves"));
    reused.send(search("known"));
    half_closes.shut_down_writing();
    resets.reset();
    drop((closes, reused));
    test_bed.resume();
    assert_next_query_is_answered(&test_bed, &mut backend, "other");
    assert_eq!(half_closes.read_to_end().0, "");
}

// A client disconnects while its query is in flight: the backend gets a cancellation, however many bytes the
// client has pipelined.
#[test]
fn disconnect_after_pipelined_bytes_is_detected() {
    for (count, reset) in [(0, false), (1, false), (1, true), (100, false), (100, true)] {
        let (test_bed, mut backend) = start();
        let mut client = test_bed.client();
        client.send(search("a"));
        assert_eq!(backend.next_part().1.id, "a.0");
        for i in 0..count {
            client.send(search(&format!("behind-{i}")));
        }
        // After this query the program has read as much of the pipelined bytes as it reads ahead.
        assert_next_query_is_answered(&test_bed, &mut backend, "other");
        if reset {
            client.reset();
        } else {
            drop(client);
        }
        assert_eq!(
            backend.next_input(),
            BackendInput::Cancelled("a.0".into()),
            "{count} pipelined requests, reset {reset}"
        );
        assert_next_query_is_answered(&test_bed, &mut backend, "last");
    }
}

// A response and the disconnect of its client, which has pipelined another request, are read in the same
// event-loop iteration.
#[test]
fn pipelined_request_of_a_disconnected_client_is_not_sent() {
    let (test_bed, mut backend) = start();
    let mut client = test_bed.client();
    client.send(search("a"));
    let part = backend.next_part();
    test_bed.pause();
    client.send(search("b"));
    drop(client);
    backend.answer_part(&part, "good", "x");
    test_bed.resume();
    assert_next_query_is_answered(&test_bed, &mut backend, "other");
}

// A request of the maximum size may be pipelined behind the one in progress. More is rejected as malformed,
// and affects no other client.
#[test]
fn too_much_pipelined_input_is_rejected() {
    let (test_bed, mut backend) = start();
    let mut client = test_bed.client();
    let mut large = search("large");
    let (length, max_body_bytes) = (large.len(), 64 * 1024);
    let old_length =
        large.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r')).expect("a length");
    let body: usize = old_length.0.parse().expect("a length");
    large =
        large.replacen(&format!("Content-Length: {body}"), &format!("Content-Length: {max_body_bytes}"), 1);
    large.push_str(&" ".repeat(max_body_bytes - body));
    assert!(large.len() > length);
    client.send(search("a") + &large);
    let part = backend.next_part();
    assert_next_query_is_answered(&test_bed, &mut backend, "other");
    backend.answer_part(&part, "good", "x");
    assert!(is_complete(client.response()));
    assert_eq!(backend.answer_next_part("x").id, "large.0");
    assert!(is_complete(client.response()));
    // Pipelines more than that.
    client.send(search("b"));
    assert_eq!(backend.next_part().1.id, "b.0");
    client.send(search("c").repeat(500));
    let (text, end) = client.read_to_end();
    assert!(text.starts_with("HTTP/1.1 413 ") && text.contains("Connection: close"), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
    assert_eq!(backend.next_input(), BackendInput::Cancelled("b.0".into()));
    assert_next_query_is_answered(&test_bed, &mut backend, "last");
}

// Clients disconnect in every state of a request. None of them may leave a descriptor behind.
#[test]
fn disconnects_in_any_state_release_all_descriptors() {
    let (test_bed, mut backend) = start();
    assert_next_query_is_answered(&test_bed, &mut backend, "first");
    assert_next_query_is_answered(&test_bed, &mut backend, "second");
    // The connections of the first two are closed once a third client is answered.
    let mut third = test_bed.client();
    third.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(third.response().map(|(status, _)| status), Some(404));
    let base = test_bed.descriptors() - 1;
    drop(third);
    for reset in [false, true] {
        let disconnect = |client: Connection| if reset { client.reset() } else { drop(client) };
        let request = search("a");
        let (head, body) = (&request[..40], &request[..request.len() - 5]);
        for part in ["", head, body] {
            let mut client = test_bed.client();
            client.send(part);
            assert_next_query_is_answered(&test_bed, &mut backend, "other");
            disconnect(client);
        }
        let mut submitted = test_bed.client();
        submitted.send(&request);
        backend.next_part();
        disconnect(submitted);
        assert_eq!(backend.next_input(), BackendInput::Cancelled("a.0".into()));
        // A response of 600,000 bytes, of which the client reads only the beginning.
        let mut partial_reader = Connection::connect_with_small_buffer(test_bed.program.http);
        partial_reader.send(query("half", "search", 60_000, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]));
        let parts: Vec<_> = (0..10).map(|_| backend.next_part()).collect();
        parts.iter().for_each(|part| backend.answer_part(part, "good", &"x".repeat(60_000)));
        partial_reader.head();
        disconnect(partial_reader);
        // A client whose malformed request was rejected, and that keeps its connection open.
        let mut rejected = test_bed.client();
        rejected.send("nonsense\r\n\r\n");
        rejected.head();
        disconnect(rejected);
    }
    test_bed.wait_for_descriptors(base);
    assert_next_query_is_answered(&test_bed, &mut backend, "last");
}

// The same on Flight: a call and its reset, and a call and the end of its connection, are read in the same
// event-loop iteration.
#[test]
fn flight_call_that_is_reset_at_once_is_not_sent() {
    let (test_bed, mut backend) = start();
    assert_next_query_is_answered(&test_bed, &mut backend, "first");
    let connect = |id: &str| {
        let mut raw = RawHttp2Client::connect(test_bed.program.flight);
        let command = json!({"kind": "search", "id": id, "ranges": [0], "predicate": "c41e77d0"});
        let descriptor = FlightDescriptor::command(command.to_string().into());
        let info = raw.call("GetFlightInfo", &[], &grpc::frame(&descriptor));
        let info = FlightInfo::decode(info.messages[0].as_slice()).expect("a FlightInfo");
        (raw, grpc::frame(info.endpoint[0].ticket.as_ref().expect("a ticket")))
    };
    let (mut resets, reset) = connect("resets");
    let (mut closes, close) = connect("closes");
    let (mut in_flight, in_flight_ticket) = connect("out");
    let stream = in_flight.start_call("DoGet", &[], &in_flight_ticket);
    assert_eq!(backend.next_part().1.id, "out.0");
    test_bed.pause();
    let cancelled = resets.start_call("DoGet", &[], &reset);
    resets.send_frame(raw_http2::RST_STREAM, 0, cancelled, &8_u32.to_be_bytes());
    closes.start_call("DoGet", &[], &close);
    drop(closes);
    in_flight.send_frame(raw_http2::RST_STREAM, 0, stream, &8_u32.to_be_bytes());
    test_bed.resume();
    assert_eq!(backend.next_input(), BackendInput::Cancelled("out.0".into()));
    assert_next_query_is_answered(&test_bed, &mut backend, "last");
}

// Many clients disconnect at once, and one reconnects at once: those that left cost nothing, the new one is
// answered.
#[test]
fn only_reconnected_clients_remain_after_a_burst_of_disconnects() {
    let (test_bed, mut backend) = start();
    let mut clients: Vec<Connection> = (0..60).map(|_| test_bed.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(search(&format!("a{i}")));
    }
    let parts: Vec<_> = (0..60).map(|_| backend.next_part()).collect();
    let base = test_bed.descriptors();
    test_bed.pause();
    for (i, client) in clients.drain(..).enumerate() {
        if i % 2 == 0 {
            client.reset();
        }
    }
    let mut reconnected = test_bed.client();
    reconnected.send(search("again"));
    // Some responses arrive in the same event-loop iteration.
    parts.iter().take(10).for_each(|part| backend.answer_part(part, "good", "x"));
    test_bed.resume();
    let mut cancelled = 0;
    loop {
        match backend.next_input() {
            BackendInput::Cancelled(_) => cancelled += 1,
            BackendInput::Part(at, part) => {
                assert_eq!(part.id, "again.0");
                backend.answer_part(&(at, part), "good", "x");
                break;
            }
        }
    }
    assert!(is_complete(reconnected.response()));
    while cancelled < 50 {
        assert!(matches!(backend.next_input(), BackendInput::Cancelled(_)));
        cancelled += 1;
    }
    drop(reconnected);
    test_bed.wait_for_descriptors(base - 60);
    assert_next_query_is_answered(&test_bed, &mut backend, "last");
}

// A response is delivered before the close, whatever the client has sent after its last request: closing a
// socket with unread bytes would reset the connection and discard the rest of the response.
#[test]
fn last_response_is_not_lost_to_bytes_after_its_request() {
    let (test_bed, mut backend) = start();
    let mut client = Connection::connect_with_small_buffer(test_bed.program.http);
    let request = query("a", "search", 60_000, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let last = request.replacen("Req-Id", "Connection: close\r\nReq-Id", 1);
    client.send(last);
    let parts: Vec<_> = (0..10).map(|_| backend.next_part()).collect();
    parts.iter().for_each(|part| backend.answer_part(part, "good", &"x".repeat(60_000)));
    let head = client.head();
    // Whenever the program can write, there are also bytes that it has not read.
    let (mut got, mut end) = (Vec::new(), None);
    client.0.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout");
    while end.is_none() {
        test_bed.pause();
        // The program may have closed the connection by now.
        let _ = client.0.write_all(b"\r\n");
        end = match client.0.read_to_end(&mut got) {
            Ok(_) => Some(ConnectionEnd::Clean),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(_) => Some(ConnectionEnd::Reset),
        };
        test_bed.resume();
    }
    let length = head.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
    assert_eq!(
        (Some(got.len().to_string().as_str()), end),
        (length.map(|(length, _)| length), Some(ConnectionEnd::Clean))
    );
}

// Requests that are sent byte by byte, in chunks or with others behind them are read alike.
#[test]
fn requests_are_read_in_every_encoding() {
    let (test_bed, mut backend) = start();
    let mut client = test_bed.client();
    for byte in search("bytes").bytes() {
        client.send([byte]);
    }
    backend.answer_next_part("x");
    assert!(is_complete(client.response()));
    let request = search("chunks");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    let (lines, _) = head.rsplit_once("\r\n").expect("lines");
    let (first, rest) = body.split_at(7);
    client.send(format!(
        "{lines}\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n7;x=y\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\nSum: 1\r\nMore: 2\r\n\r\n{}",
        rest.len(),
        search("behind"),
    ));
    assert_eq!(backend.answer_next_part("x").id, "chunks.0");
    assert!(is_complete(client.response()));
    assert_eq!(backend.answer_next_part("x").id, "behind.0");
    assert!(is_complete(client.response()));
    // An empty line after a body does not start a request.
    client.send("\r\n");
    assert_next_query_is_answered(&test_bed, &mut backend, "other");
    client.send(search("after"));
    backend.answer_next_part("x");
    assert!(is_complete(client.response()));
    let mut long = test_bed.client();
    long.send(format!("{lines}\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n{}", "x".repeat(65_537)));
    let (text, end) = long.read_to_end();
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
}

// Idle clients use all descriptors for clients while discovery is down: the connections to discovery and to
// backends have reserved descriptors.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_backends() {
    let (test_bed, mut backend) = start_with_descriptors(64, 64);
    accept(&test_bed.discovery).reset();
    let idle_clients: Vec<Connection> =
        (0..120).map(|_| Connection::connect(test_bed.program.http)).collect();
    test_bed.wait_for_log("accepting client connections is paused");
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    let mut client = test_bed.client();
    client.send(search("a"));
    assert_eq!(backend.answer_next_part("x").id, "a.0");
    assert!(is_complete(client.response()));
    assert!(!test_bed.has_logged("Too many open files"));
    drop(idle_clients);
}

/// The resident memory of the program, in KB.
fn resident_kb(test_bed: &TestBed) -> usize {
    let path = format!("/proc/{}/status", test_bed.program.child.id());
    let status = std::fs::read_to_string(path).expect("the status of the program");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

// Many clients pipeline a lot and disconnect: their connections, buffers and queries are released.
#[test]
fn flood_of_pipelining_clients_leaks_nothing() {
    const CLIENTS: usize = 50;
    let (test_bed, mut backend) = start();
    assert_next_query_is_answered(&test_bed, &mut backend, "first");
    let (base, mut resident_sizes_kb) = (test_bed.descriptors(), Vec::new());
    for round in 0..6 {
        let mut clients: Vec<Connection> = (0..CLIENTS).map(|_| test_bed.client()).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(search(&format!("{round}-{i}")) + &search("ahead").repeat(200));
        }
        for _ in 0..CLIENTS {
            backend.next_part();
        }
        for (i, client) in clients.into_iter().enumerate() {
            if i % 2 == 0 {
                client.reset();
            }
        }
        for _ in 0..CLIENTS {
            assert!(matches!(backend.next_input(), BackendInput::Cancelled(_)));
        }
        // There may be up to four connections to the backend.
        test_bed.wait_for_descriptors(base + 3);
        resident_sizes_kb.push(resident_kb(&test_bed));
    }
    // A round uses up to 2.5 MB, and the first rounds show how much of that the allocator keeps.
    assert!(resident_sizes_kb[5] < resident_sizes_kb[1] + 1024, "{resident_sizes_kb:?}");
    assert_next_query_is_answered(&test_bed, &mut backend, "last");
}

// Malformed requests are logged, but do not fill the log, and affect no other client.
#[test]
fn malformed_requests_are_logged_in_a_few_lines() {
    let (test_bed, mut backend) = start();
    for i in 0..100 {
        let mut client = test_bed.client();
        client.send(if i % 2 == 0 { "nonsense\r\n\r\n" } else { "GET /nothing HTTP/1.1\r\n\r\n" });
        assert!(client.response().is_some_and(|(status, _)| status == [400, 404][i % 2]));
    }
    assert_next_query_is_answered(&test_bed, &mut backend, "other");
    test_bed.wait_for_log("malformed requests: 64 so far");
    let log = test_bed.program.log.lock().expect("the log");
    assert_eq!(log.iter().filter(|line| line.contains("malformed requests: ")).count(), 7, "{log:#?}");
}

// Guards against executing a place-hold a second time when its client has left and comes again under the same id.
#[test]
fn id_of_a_client_that_left_is_not_executed_twice() {
    let (test_bed, mut backend) = start();
    let hold = query("hold", "place-hold", 60_000, &[0]);
    let mut client = test_bed.client();
    client.send(&hold);
    let part = backend.next_part();
    client.reset();
    assert_eq!(backend.next_input(), BackendInput::Cancelled("hold.0".to_owned()));
    for _ in 0..2 {
        let mut again = test_bed.client();
        again.send(&hold);
        let (status, body) = again.response().expect("an answer");
        assert!(status == 400 && body.contains("may have run"), "{status} {body}");
    }
    backend.answer_part(&part, "good", "x");
    assert_next_query_is_answered(&test_bed, &mut backend, "next");
}

// Guards against executing a place-hold whose Flight client has left before it was read.
#[test]
fn call_of_a_flight_client_that_left_is_not_sent() {
    let (test_bed, mut backend) = start();
    let mut raw = RawHttp2Client::connect(test_bed.program.flight);
    let command = json!({"kind": "place-hold", "id": "hold", "ranges": [0], "predicate": "c41e77d0"});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &grpc::frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    let ticket = grpc::frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
    test_bed.pause();
    raw.start_call("DoGet", &[], &ticket);
    drop(raw);
    test_bed.resume();
    assert_next_query_is_answered(&test_bed, &mut backend, "next");
    assert_next_query_is_answered(&test_bed, &mut backend, "after");
}
