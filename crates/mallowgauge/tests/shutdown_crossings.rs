//! Races of SIGTERM with clients and backends. Runs the real program; the test plays its clients and its
//! backend. The order of events is forced by what these send and wait for, and by pausing the program, so
//! that one event-loop iteration finds several events.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

use mallowgauge_flight::grpc;
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo};
use mallowgauge_testkit::manual_peers::{
    query, BackendInput, Connection, ConnectionEnd, ManualBackend, TestBed,
};
use mallowgauge_testkit::raw_http2::{self, RawHttp2Client};
use mallowgauge_testkit::{config, program_path};
use prost::Message;
use serde_json::{json, Value};

/// Longer than the program drains at most, counted from SIGTERM.
const BEYOND_MAX_DRAIN: Duration = Duration::from_millis(2100);

/// Starts the program with one backend.
fn start() -> (TestBed, ManualBackend) {
    start_with_descriptors(1024)
}

fn start_with_descriptors(descriptors: u32) -> (TestBed, ManualBackend) {
    start_with(descriptors, |_| {})
}

fn start_with(descriptors: u32, change: impl FnOnce(&mut Value)) -> (TestBed, ManualBackend) {
    let mut test_bed = TestBed::start_with_descriptors(1, descriptors, |file| {
        file["settings"]["Limits"]["MaxOpen"] = json!(400);
        // So long an objective that a pause of the program does not count against its backend.
        file["settings"]["Classes"][0]["AimUs"] = json!(3_900_000);
        change(file);
    });
    let backend = ManualBackend::new(test_bed.backends.remove(0));
    (test_bed, backend)
}

/// Sends SIGTERM, and waits until the program is draining.
fn terminate(test_bed: &TestBed) {
    test_bed.program.signal(libc::SIGTERM);
    test_bed.wait_for_log("Serving -> Draining");
}

fn is_complete(response: Option<(u16, String)>) -> bool {
    response.is_some_and(|(status, body)| status == 200 && body.contains("\"total\":true"))
}

// SIGTERM arrives while the configuration is still being read: the program starts and then shuts down
// gracefully, with exit code 0.
#[test]
fn sigterm_during_startup_shuts_down_gracefully() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-early-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("config.json");
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let mut child = Command::new(program_path())
        .env("RELAY_CONFIG", &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // Opening the pipe blocks until its reader has opened it: the program is reading its configuration now.
    let mut pipe = std::fs::File::create(&path).expect("a pipe");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    let unused_address = "127.0.0.1:1".parse().expect("an address");
    pipe.write_all(config(&[unused_address], unused_address).to_string().as_bytes())
        .expect("a reader of the pipe");
    drop(pipe);
    let lines: Vec<String> =
        BufReader::new(child.stdout.take().expect("a pipe")).lines().map_while(Result::ok).collect();
    let phases: Vec<&str> = lines.iter().filter_map(|line| Some(line.split_once("phase ")?.1)).collect();
    let exit_code = child.wait().expect("an exit status").code();
    std::fs::remove_dir_all(folder).expect("a folder");
    assert_eq!(
        phases,
        ["Starting -> Serving", "Serving -> Draining", "Draining -> Finishing", "Finishing -> Stopped"]
    );
    assert_eq!(exit_code, Some(0));
}

// A second SIGTERM, SIGINT and SIGHUP do not affect a shutdown in progress.
#[test]
fn repeated_sigterm_and_reload_do_not_affect_a_shutdown() {
    let (mut test_bed, mut backend) = start();
    let mut client = test_bed.client();
    client.send(query("a", "search", 4000, &[0]));
    let part = backend.next_part();
    terminate(&test_bed);
    test_bed.pause();
    for signal in [libc::SIGTERM, libc::SIGINT, libc::SIGHUP] {
        test_bed.program.signal(signal);
    }
    test_bed.resume();
    test_bed.wait_for_log("configuration reloaded");
    test_bed.wait_for_log("Draining -> Finishing");
    for signal in [libc::SIGTERM, libc::SIGHUP] {
        test_bed.program.signal(signal);
    }
    backend.answer_part(&part, "good", "x");
    assert!(is_complete(client.response()));
    drop(client);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}

// Requests in every state arrive in the event-loop iteration in which the program stops accepting
// connections: on an idle connection, in the backlog, and partly read.
#[test]
fn requests_written_before_the_listener_closes_are_answered() {
    let (mut test_bed, mut backend) = start();
    let mut idle = test_bed.client();
    idle.send(query("rests", "search", 4000, &[0]));
    backend.answer_next_part("x");
    assert!(is_complete(idle.response()));
    terminate(&test_bed);
    test_bed.pause();
    let mut backlog = test_bed.client();
    backlog.send(query("backlog", "search", 4000, &[0]));
    idle.send(query("again", "search", 4000, &[0]));
    let mut partial = test_bed.client();
    let request = query("half", "search", 4000, &[0]);
    partial.send(&request[..40]);
    // Paused for longer than the maximum drain, the program reads all this in the iteration in which the
    // drain ends.
    std::thread::sleep(BEYOND_MAX_DRAIN);
    test_bed.resume();
    test_bed.wait_for_log("Draining -> Finishing");
    partial.send(&request[40..]);
    for _ in 0..3 {
        backend.answer_next_part("x");
    }
    for client in [&mut backlog, &mut idle, &mut partial] {
        let (text, end) = client.read_to_end();
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(end, ConnectionEnd::Clean);
    }
    drop((backlog, idle, partial));
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}

// A partial head and a partial body have arrived when the program stops accepting connections: it waits for
// the rest of both.
#[test]
fn request_partly_received_when_the_drain_ends_is_answered() {
    let (mut test_bed, mut backend) = start();
    let request = |id| query(id, "search", 4000, &[0]);
    let (mut head, mut body) = (test_bed.client(), test_bed.client());
    head.send(&request("head")[..40]);
    let at = request("body").len() - 9;
    body.send(&request("body")[..at]);
    terminate(&test_bed);
    test_bed.wait_for_log("Draining -> Finishing");
    body.send(&request("body")[at..]);
    backend.answer_next_part("x");
    head.send(&request("head")[40..]);
    backend.answer_next_part("x");
    for client in [&mut head, &mut body] {
        assert!(is_complete(client.response()));
        assert_eq!(client.read_to_end(), (String::new(), ConnectionEnd::Clean));
    }
    drop((head, body));
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}

// An idle client's connection is half-closed first. What the client sends after that is read and discarded:
// the connection is not reset, and no part is sent to the backend.
#[test]
fn request_after_the_half_close_is_discarded_without_a_reset() {
    let (mut test_bed, mut backend) = start();
    let mut idle = test_bed.client();
    idle.send(query("a", "search", 4000, &[0]));
    backend.answer_next_part("x");
    assert!(is_complete(idle.response()));
    terminate(&test_bed);
    assert_eq!(idle.read_to_end(), (String::new(), ConnectionEnd::Clean));
    // A reset would arrive before the call returns.
    idle.send(query("b", "search", 4000, &[0]));
    assert!(idle.0.take_error().expect("a socket").is_none(), "the connection was reset");
    assert_eq!(idle.read_to_end(), (String::new(), ConnectionEnd::Clean));
    drop(idle);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
    assert_eq!(backend.remaining_inputs(), []);
}

// Idle clients that do not close their connection, even after it was half-closed, do not keep the program
// running.
#[test]
fn idle_clients_do_not_keep_the_program_running() {
    let (mut test_bed, _backend) = start();
    let unused = test_bed.client();
    let mut idle = test_bed.client();
    idle.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(idle.response().map(|(status, _)| status), Some(404));
    test_bed.program.signal(libc::SIGTERM);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
    drop((unused, idle));
}

// A response to a client that reads late is partly written when the drain ends.
#[test]
fn partly_written_response_is_completed() {
    let (mut test_bed, mut backend) = start();
    let mut client = Connection::connect_with_small_buffer(test_bed.program.http);
    client.send(query("a", "search", 4000, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]));
    let parts: Vec<_> = (0..10).map(|_| backend.next_part()).collect();
    terminate(&test_bed);
    parts.iter().for_each(|part| backend.answer_part(part, "good", &"x".repeat(60_000)));
    test_bed.wait_for_log("Draining -> Finishing");
    let (status, body) = client.response().expect("a complete response");
    assert_eq!((status, body.matches('x').count()), (200, 600_000));
    assert_eq!(client.read_to_end(), (String::new(), ConnectionEnd::Clean));
    drop(client);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}

// The same on Flight: the last response is in flight to a client that reads late, the program half-closes its
// connection, and the client sends another frame.
#[test]
fn flight_response_is_not_lost_to_bytes_after_the_last_call() {
    let (test_bed, mut backend) = start();
    let socket = Connection::connect_with_small_buffer(test_bed.program.flight).0;
    let addr = socket.local_addr().expect("an address");
    let mut client = RawHttp2Client::from_socket(socket, 16 << 20);
    let command = json!({"kind": "search", "id": "a", "ranges": [0], "predicate": "c41e77d0"});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let info = client.call("GetFlightInfo", &[], &grpc::frame(&descriptor));
    let info = FlightInfo::decode(info.messages[0].as_slice()).expect("a FlightInfo");
    let ticket = grpc::frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
    let stream = client.start_call("DoGet", &[], &ticket);
    backend.answer_next_part(&"x".repeat(60_000));
    // Once another query is answered, the response has been written as far as the socket allows.
    let mut other = test_bed.client();
    other.send(query("other", "search", 4000, &[0]));
    backend.answer_next_part("x");
    assert!(is_complete(other.response()));
    terminate(&test_bed);
    // Acknowledges the shutdown PING, after which the program ends the connection.
    client.send_frame(raw_http2::PING, raw_http2::ACK, 0, &[0x0b, 0x7b, 0xa2, 0xf0, 0x8b, 0x9b, 0xfe, 0x54]);
    test_bed.wait_for_half_close(addr);
    client.send_frame(raw_http2::PING, 0, 0, &[1; 8]);
    let reply = client.read_reply(stream, false);
    assert_eq!(reply.status(), Some(0));
    let received = reply.messages.iter().flatten().filter(|&&byte| byte == b'x').count();
    assert!(received >= 60_000, "{received}");
}

// A request is completed late, with a deadline after the time at which the platform may kill the program: its
// part gets a shorter timeout.
#[test]
fn request_completed_late_is_answered_before_the_program_may_be_killed() {
    let (mut test_bed, mut backend) = start();
    let mut client = test_bed.client();
    let request = query("a", "search", 4000, &[0]);
    client.send(&request[..40]);
    terminate(&test_bed);
    test_bed.wait_for_log("Draining -> Finishing");
    client.send(&request[40..]);
    let part = backend.next_part();
    // Deadlines count as 3 s at most, and SIGKILL may come 0.7 s after that. 0.65 s have passed.
    assert!(part.1.timeout_ms <= 3_700 - 650, "{part:?}");
    // The backend does not answer.
    let (text, end) = client.read_to_end();
    assert!(text.starts_with("HTTP/1.1 5"), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
    drop(client);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}

// A request is completed so late that no value can be obtained for it: it is rejected at once, and not
// dropped.
#[test]
fn request_completed_too_late_is_rejected_at_once() {
    let (mut test_bed, backend) = start_with(1024, |file| {
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["AimUs"], class["DeadlineUs"]) = (json!(200_000), json!(300_000));
        }
    });
    let mut client = test_bed.client();
    let request = query("a", "search", 300, &[0]);
    client.send(&request[..40]);
    terminate(&test_bed);
    test_bed.wait_for_log("Draining -> Finishing");
    // The last responses are due 0.9 s after SIGTERM, and 0.65 s have passed.
    std::thread::sleep(Duration::from_millis(300));
    client.send(&request[40..]);
    let (text, end) = client.read_to_end();
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: "), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
    drop(client);
    assert_eq!(test_bed.wait_for_exit(), Some(0));
    assert_eq!(backend.remaining_inputs(), []);
}

// Clients keep sending on every connection that stays open: each request is answered or finds its connection
// closed cleanly, and the program exits nevertheless.
#[test]
fn clients_that_keep_sending_do_not_keep_the_program_running() {
    let (mut test_bed, mut backend) = start();
    let mut clients: Vec<Connection> = (0..4).map(|_| test_bed.client()).collect();
    let backend = std::thread::spawn(move || {
        let mut served = 0;
        loop {
            match backend.next_input_or_end() {
                Some(BackendInput::Part(at, part)) => backend.answer_part(&(at, part), "good", "x"),
                Some(_) => continue,
                None => return served,
            }
            served += 1;
        }
    });
    terminate(&test_bed);
    let mut answered = 0;
    while !clients.is_empty() {
        clients.retain_mut(|client| {
            let request = query(&format!("q{answered}"), "search", 1000, &[0]);
            let response = client.0.write_all(request.as_bytes()).ok().and_then(|()| client.response());
            answered += usize::from(response.is_some());
            response.is_some_and(|response| {
                assert!(is_complete(Some(response)));
                true
            })
        });
    }
    assert_eq!(test_bed.wait_for_exit(), Some(0));
    // No part was sent to the backend for a client that got no answer.
    assert_eq!(backend.join().expect("a backend"), answered);
}

// No descriptors are left when the drain ends: clients in the backlog wait until some are free again.
#[test]
fn clients_in_the_backlog_are_not_reset_when_descriptors_run_out() {
    let (mut test_bed, mut backend) = start_with_descriptors(40);
    let mut first = test_bed.client();
    first.send(query("first", "search", 4000, &[0]));
    let part = backend.next_part();
    let mut clients = vec![first];
    while !test_bed.has_logged("accepting client connections is paused") {
        let mut client = test_bed.client();
        client.send(query(&format!("q{}", clients.len()), "search", 4000, &[0]));
        clients.push(client);
        assert!(clients.len() < 40, "the program does not run out of descriptors");
        backend.poll();
    }
    // From here on no connection is accepted before another is closed.
    let mut last = test_bed.client();
    last.send(query("last", "search", 4000, &[0]));
    terminate(&test_bed);
    test_bed.wait_for_log("Draining -> Finishing");
    backend.answer_part(&part, "good", "x");
    for _ in 0..clients.len() {
        backend.answer_next_part("x");
    }
    for client in clients.iter_mut().chain([&mut last]) {
        assert!(is_complete(client.response()));
    }
    drop((clients, last));
    assert_eq!(test_bed.wait_for_exit(), Some(0));
}
