//! SIGTERM crosses with what clients and hosts do: the order of events is forced by what is sent and waited for,
//! and by halting the program, so that several things are ready in one turn.

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

/// Later than the program goes on draining at most, counted from SIGTERM.
const DRAINED: Duration = Duration::from_millis(2100);

/// A program with one host, and that host.
fn rig() -> (TestBed, ManualBackend) {
    within(1024)
}

fn within(descriptors: u32) -> (TestBed, ManualBackend) {
    changed(descriptors, |_| {})
}

fn changed(descriptors: u32, change: impl FnOnce(&mut Value)) -> (TestBed, ManualBackend) {
    let mut rig = TestBed::start_with_descriptors(1, descriptors, |file| {
        file["settings"]["Limits"]["MaxOpen"] = json!(400);
        // A program that is halted for a while does not doubt its host for that.
        file["settings"]["Classes"][0]["AimUs"] = json!(3_900_000);
        change(file);
    });
    let host = ManualBackend::new(rig.backends.remove(0));
    (rig, host)
}

/// The program is told to end, and has heard so.
fn terminate(rig: &TestBed) {
    rig.program.signal(libc::SIGTERM);
    rig.wait_for_log("Serving -> Draining");
}

fn whole(response: Option<(u16, String)>) -> bool {
    response.is_some_and(|(status, body)| status == 200 && body.contains("\"total\":true"))
}

// SIGTERM comes while the configuration is still being read: what was begun is ended in order, with exit code 0.
#[test]
fn a_sigterm_before_the_program_is_ready_ends_it_in_order() {
    let folder = std::env::temp_dir().join(format!("mallowgauge-early-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("config.json");
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let mut child = Command::new(program_path())
        .env("RELAY_CONFIG", &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // Opening a pipe waits for its reader: the program is reading its configuration now.
    let mut pipe = std::fs::File::create(&path).expect("a pipe");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    let none = "127.0.0.1:1".parse().expect("an address");
    pipe.write_all(config(&[none], none).to_string().as_bytes()).expect("a reader");
    drop(pipe);
    let lines: Vec<String> =
        BufReader::new(child.stdout.take().expect("a pipe")).lines().map_while(Result::ok).collect();
    let phases: Vec<&str> = lines.iter().filter_map(|line| Some(line.split_once("phase ")?.1)).collect();
    let ended = child.wait().expect("an exit code").code();
    std::fs::remove_dir_all(folder).expect("a folder");
    assert_eq!(
        phases,
        ["Starting -> Serving", "Serving -> Draining", "Draining -> Finishing", "Finishing -> Stopped"]
    );
    assert_eq!(ended, Some(0));
}

// A second SIGTERM, SIGINT and SIGHUP change nothing about a stop that is under way.
#[test]
fn a_second_sigterm_and_a_reload_cost_nothing() {
    let (mut rig, mut host) = rig();
    let mut client = rig.client();
    client.send(query("a", "search", 4000, &[0]));
    let part = host.next_part();
    terminate(&rig);
    rig.pause();
    for signal in [libc::SIGTERM, libc::SIGINT, libc::SIGHUP] {
        rig.program.signal(signal);
    }
    rig.resume();
    rig.wait_for_log("configuration reloaded");
    rig.wait_for_log("Draining -> Finishing");
    for signal in [libc::SIGTERM, libc::SIGHUP] {
        rig.program.signal(signal);
    }
    host.answer_part(&part, "good", "x");
    assert!(whole(client.response()));
    drop(client);
    assert_eq!(rig.wait_for_exit(), Some(0));
}

// Everything that a client can have under way is there in the very turn in which the program ends to take
// connections: on a resting connection, in the backlog, half read.
#[test]
fn what_was_written_before_the_last_look_is_answered() {
    let (mut rig, mut host) = rig();
    let mut resting = rig.client();
    resting.send(query("rests", "search", 4000, &[0]));
    host.answer_next_part("x");
    assert!(whole(resting.response()));
    terminate(&rig);
    rig.pause();
    let mut backlog = rig.client();
    backlog.send(query("backlog", "search", 4000, &[0]));
    resting.send(query("again", "search", 4000, &[0]));
    let mut half = rig.client();
    let request = query("half", "search", 4000, &[0]);
    half.send(&request[..40]);
    // Halted past the longest drain, the program reads all this in the turn in which it finishes.
    std::thread::sleep(DRAINED);
    rig.resume();
    rig.wait_for_log("Draining -> Finishing");
    half.send(&request[40..]);
    for _ in 0..3 {
        host.answer_next_part("x");
    }
    for client in [&mut backlog, &mut resting, &mut half] {
        let (text, end) = client.read_to_end();
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert_eq!(end, ConnectionEnd::Clean);
    }
    drop((backlog, resting, half));
    assert_eq!(rig.wait_for_exit(), Some(0));
}

// Half a head, and half a body, are in when the program takes no more connections: both are waited for.
#[test]
fn a_request_half_in_when_the_program_finishes_is_answered() {
    let (mut rig, mut host) = rig();
    let request = |id| query(id, "search", 4000, &[0]);
    let (mut head, mut body) = (rig.client(), rig.client());
    head.send(&request("head")[..40]);
    let at = request("body").len() - 9;
    body.send(&request("body")[..at]);
    terminate(&rig);
    rig.wait_for_log("Draining -> Finishing");
    body.send(&request("body")[at..]);
    host.answer_next_part("x");
    head.send(&request("head")[40..]);
    host.answer_next_part("x");
    for client in [&mut head, &mut body] {
        assert!(whole(client.response()));
        assert_eq!(client.read_to_end(), (String::new(), ConnectionEnd::Clean));
    }
    drop((head, body));
    assert_eq!(rig.wait_for_exit(), Some(0));
}

// A client that rests is told first that nothing more will be written. What it sends after that is read and
// passed over: no reset, and nothing is sent on.
#[test]
fn a_request_after_the_shutdown_is_neither_sent_on_nor_met_by_a_reset() {
    let (mut rig, mut host) = rig();
    let mut resting = rig.client();
    resting.send(query("a", "search", 4000, &[0]));
    host.answer_next_part("x");
    assert!(whole(resting.response()));
    terminate(&rig);
    assert_eq!(resting.read_to_end(), (String::new(), ConnectionEnd::Clean));
    // A reset would come back before the call returns.
    resting.send(query("b", "search", 4000, &[0]));
    assert!(resting.0.take_error().expect("a socket").is_none(), "the connection was reset");
    assert_eq!(resting.read_to_end(), (String::new(), ConnectionEnd::Clean));
    drop(resting);
    assert_eq!(rig.wait_for_exit(), Some(0));
    assert_eq!(host.remaining_inputs(), []);
}

// A client that rests until it is ended, and does not close even then, does not keep the program.
#[test]
fn clients_that_rest_do_not_keep_the_program() {
    let (mut rig, _host) = rig();
    let silent = rig.client();
    let mut resting = rig.client();
    resting.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(resting.response().map(|(status, _)| status), Some(404));
    rig.program.signal(libc::SIGTERM);
    assert_eq!(rig.wait_for_exit(), Some(0));
    drop((silent, resting));
}

// An answer is half written when the program finishes, to a client that reads late.
#[test]
fn an_answer_half_written_is_finished() {
    let (mut rig, mut host) = rig();
    let mut client = Connection::connect_with_small_buffer(rig.program.http);
    client.send(query("a", "search", 4000, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]));
    let parts: Vec<_> = (0..10).map(|_| host.next_part()).collect();
    terminate(&rig);
    parts.iter().for_each(|part| host.answer_part(part, "good", &"x".repeat(60_000)));
    rig.wait_for_log("Draining -> Finishing");
    let (status, body) = client.response().expect("a whole answer");
    assert_eq!((status, body.matches('x').count()), (200, 600_000));
    assert_eq!(client.read_to_end(), (String::new(), ConnectionEnd::Clean));
    drop(client);
    assert_eq!(rig.wait_for_exit(), Some(0));
}

// The same on Flight: the last answer is on its way to a client that reads late, its connection ends, and the
// client says something more.
#[test]
fn an_answer_on_flight_is_not_lost_to_bytes_behind_the_last_call() {
    let (rig, mut host) = rig();
    let socket = Connection::connect_with_small_buffer(rig.program.flight).0;
    let addr = socket.local_addr().expect("an address");
    let mut client = RawHttp2Client::from_socket(socket, 16 << 20);
    let command = json!({"kind": "search", "id": "a", "ranges": [0], "predicate": "c41e77d0"});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let info = client.call("GetFlightInfo", &[], &grpc::frame(&descriptor));
    let info = FlightInfo::decode(info.messages[0].as_slice()).expect("a FlightInfo");
    let ticket = grpc::frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
    let stream = client.start_call("DoGet", &[], &ticket);
    host.answer_next_part(&"x".repeat(60_000));
    // Another query shows that the answer has gone out as far as it can.
    let mut other = rig.client();
    other.send(query("other", "search", 4000, &[0]));
    host.answer_next_part("x");
    assert!(whole(other.response()));
    terminate(&rig);
    // This acknowledges the end, and the connection is over.
    client.send_frame(raw_http2::PING, raw_http2::ACK, 0, &[0x0b, 0x7b, 0xa2, 0xf0, 0x8b, 0x9b, 0xfe, 0x54]);
    rig.wait_for_half_close(addr);
    client.send_frame(raw_http2::PING, 0, 0, &[1; 8]);
    let reply = client.read_reply(stream, false);
    assert_eq!(reply.status(), Some(0));
    let held = reply.messages.iter().flatten().filter(|&&byte| byte == b'x').count();
    assert!(held >= 60_000, "{held}");
}

// A request becomes whole late, for longer than the platform may let the program live: its host is told less.
#[test]
fn what_is_taken_late_is_answered_before_the_program_may_be_killed() {
    let (mut rig, mut host) = rig();
    let mut client = rig.client();
    let request = query("a", "search", 4000, &[0]);
    client.send(&request[..40]);
    terminate(&rig);
    rig.wait_for_log("Draining -> Finishing");
    client.send(&request[40..]);
    let part = host.next_part();
    // Deadlines count as 3 s at most, and SIGKILL may come 0.7 s after that. 0.65 s of it are over.
    assert!(part.1.timeout_ms <= 3_700 - 650, "{part:?}");
    // The host hangs.
    let (text, end) = client.read_to_end();
    assert!(text.starts_with("HTTP/1.1 5"), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
    drop(client);
    assert_eq!(rig.wait_for_exit(), Some(0));
}

// A request becomes whole so late that nothing can be had for it any more: it is refused at once, and not lost.
#[test]
fn what_is_taken_too_late_is_refused_at_once() {
    let (mut rig, host) = changed(1024, |file| {
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            (class["AimUs"], class["DeadlineUs"]) = (json!(200_000), json!(300_000));
        }
    });
    let mut client = rig.client();
    let request = query("a", "search", 300, &[0]);
    client.send(&request[..40]);
    terminate(&rig);
    rig.wait_for_log("Draining -> Finishing");
    // The last answers are due 0.9 s after SIGTERM, and 0.65 s of these are over.
    std::thread::sleep(Duration::from_millis(300));
    client.send(&request[40..]);
    let (text, end) = client.read_to_end();
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: "), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
    drop(client);
    assert_eq!(rig.wait_for_exit(), Some(0));
    assert_eq!(host.remaining_inputs(), []);
}

// Clients go on sending on every connection that stays open: each request is answered, or finds a clean end, and
// the program ends all the same.
#[test]
fn clients_that_never_stop_sending_do_not_keep_the_program() {
    let (mut rig, mut host) = rig();
    let mut clients: Vec<Connection> = (0..4).map(|_| rig.client()).collect();
    let host = std::thread::spawn(move || {
        let mut served = 0;
        loop {
            match host.next_input_or_end() {
                Some(BackendInput::Part(at, part)) => host.answer_part(&(at, part), "good", "x"),
                Some(_) => continue,
                None => return served,
            }
            served += 1;
        }
    });
    terminate(&rig);
    let mut answered = 0;
    while !clients.is_empty() {
        clients.retain_mut(|client| {
            let request = query(&format!("q{answered}"), "search", 1000, &[0]);
            let response = client.0.write_all(request.as_bytes()).ok().and_then(|()| client.response());
            answered += usize::from(response.is_some());
            response.is_some_and(|response| {
                assert!(whole(Some(response)));
                true
            })
        });
    }
    assert_eq!(rig.wait_for_exit(), Some(0));
    // Nothing was sent on whose client got no answer.
    assert_eq!(host.join().expect("a host"), answered);
}

// No descriptors are left when the program finishes: clients in the backlog wait until there are some again.
#[test]
fn clients_in_the_backlog_are_not_reset_for_want_of_descriptors() {
    let (mut rig, mut host) = within(40);
    let mut first = rig.client();
    first.send(query("first", "search", 4000, &[0]));
    let part = host.next_part();
    let mut clients = vec![first];
    while !rig.has_logged("accepting client connections is paused") {
        let mut client = rig.client();
        client.send(query(&format!("q{}", clients.len()), "search", 4000, &[0]));
        clients.push(client);
        assert!(clients.len() < 40, "no end of descriptors");
        host.poll();
    }
    // From here on nothing is accepted before something has been closed.
    let mut last = rig.client();
    last.send(query("last", "search", 4000, &[0]));
    terminate(&rig);
    rig.wait_for_log("Draining -> Finishing");
    host.answer_part(&part, "good", "x");
    for _ in 0..clients.len() {
        host.answer_next_part("x");
    }
    for client in clients.iter_mut().chain([&mut last]) {
        assert!(whole(client.response()));
    }
    drop((clients, last));
    assert_eq!(rig.wait_for_exit(), Some(0));
}
