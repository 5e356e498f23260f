//! Clients that leave, come again, send too much or too little cross with what the program does for them: the
//! order of events is forced by what is sent and waited for, and by halting the program, so that several things
//! are ready in one turn.

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

/// A program with one host, and that host. Clients are waited for long, so that what ends a part before is that its
/// client has gone.
fn rig() -> (TestBed, ManualBackend) {
    within(1024, 1024)
}

fn within(told: u32, descriptors: u32) -> (TestBed, ManualBackend) {
    let mut rig = TestBed::start_with_descriptors(1, descriptors, |file| {
        file["limits"]["sockets"] = json!(told);
        file["settings"]["Limits"]["MaxOpen"] = json!(400);
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            class["AimUs"] = json!(50_000_000);
            class["DeadlineUs"] = json!(60_000_000);
        }
    });
    let host = ManualBackend::new(rig.backends.remove(0));
    (rig, host)
}

fn search(id: &str) -> String {
    query(id, "search", 60_000, &[0])
}

fn whole(response: Option<(u16, String)>) -> bool {
    response.is_some_and(|(status, body)| status == 200 && body.contains("\"total\":true"))
}

/// Another client's query is the next thing that the host hears, and is answered.
fn serves(rig: &TestBed, host: &mut ManualBackend, id: &str) {
    let mut client = rig.client();
    client.send(search(id));
    assert_eq!(host.answer_next_part("x").id, format!("{id}.0"));
    assert!(whole(client.response()));
}

// The request and its client's leave are there in one turn: nothing is sent on.
#[test]
fn a_client_that_asks_and_leaves_in_one_moment_is_not_sent_on() {
    let (rig, mut host) = rig();
    serves(&rig, &mut host, "first");
    let mut known = rig.client();
    known.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(known.response().map(|(status, _)| status), Some(404));
    rig.pause();
    let (mut closes, mut resets, mut halves) = (rig.client(), rig.client(), rig.client());
    closes.send(search("closes"));
    resets.send(search("resets"));
    halves.send(search("halves"));
    known.send(search("known"));
    halves.shut_down_writing();
    resets.reset();
    drop((closes, known));
    rig.resume();
    serves(&rig, &mut host, "other");
    assert_eq!(halves.read_to_end().0, "");
}

// A client leaves while its query is out: the host is told, however much its client had sent ahead.
#[test]
fn a_departure_behind_pipelined_bytes_is_noticed() {
    for (count, reset) in [(0, false), (1, false), (1, true), (100, false), (100, true)] {
        let (rig, mut host) = rig();
        let mut client = rig.client();
        client.send(search("a"));
        assert_eq!(host.next_part().1.id, "a.0");
        for i in 0..count {
            client.send(search(&format!("behind-{i}")));
        }
        // The program has read what it reads before the client goes.
        serves(&rig, &mut host, "other");
        if reset {
            client.reset();
        } else {
            drop(client);
        }
        assert_eq!(host.next_input(), BackendInput::Cancelled("a.0".into()), "{count} behind, reset {reset}");
        serves(&rig, &mut host, "last");
    }
}

// The answer and the leave of a client with one more request behind are there in one turn.
#[test]
fn a_request_behind_an_answer_is_not_sent_on_once_its_client_has_gone() {
    let (rig, mut host) = rig();
    let mut client = rig.client();
    client.send(search("a"));
    let part = host.next_part();
    rig.pause();
    client.send(search("b"));
    drop(client);
    host.answer_part(&part, "good", "x");
    rig.resume();
    serves(&rig, &mut host, "other");
}

// A whole request of the largest size may wait behind the one in work; more is bad input, and costs nobody else
// anything.
#[test]
fn a_flood_ahead_of_an_answer_is_turned_down() {
    let (rig, mut host) = rig();
    let mut client = rig.client();
    let mut large = search("large");
    let (length, room) = (large.len(), 64 * 1024);
    let old =
        large.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r')).expect("a length");
    let body: usize = old.0.parse().expect("a length");
    large = large.replacen(&format!("Content-Length: {body}"), &format!("Content-Length: {room}"), 1);
    large.push_str(&" ".repeat(room - body));
    assert!(large.len() > length);
    client.send(search("a") + &large);
    let part = host.next_part();
    serves(&rig, &mut host, "other");
    host.answer_part(&part, "good", "x");
    assert!(whole(client.response()));
    assert_eq!(host.answer_next_part("x").id, "large.0");
    assert!(whole(client.response()));
    // And now more than that.
    client.send(search("b"));
    assert_eq!(host.next_part().1.id, "b.0");
    client.send(search("c").repeat(500));
    let (text, end) = client.read_to_end();
    assert!(text.starts_with("HTTP/1.1 413 ") && text.contains("Connection: close"), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
    assert_eq!(host.next_input(), BackendInput::Cancelled("b.0".into()));
    serves(&rig, &mut host, "last");
}

// Clients leave at each state; none of them holds anything afterwards.
#[test]
fn clients_that_leave_at_any_state_hold_nothing() {
    let (rig, mut host) = rig();
    serves(&rig, &mut host, "first");
    serves(&rig, &mut host, "second");
    // The first two have gone by the time that a third is answered.
    let mut third = rig.client();
    third.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(third.response().map(|(status, _)| status), Some(404));
    let base = rig.descriptors() - 1;
    drop(third);
    for reset in [false, true] {
        let leave = |client: Connection| if reset { client.reset() } else { drop(client) };
        let request = search("a");
        let (head, body) = (&request[..40], &request[..request.len() - 5]);
        for part in ["", head, body] {
            let mut client = rig.client();
            client.send(part);
            serves(&rig, &mut host, "other");
            leave(client);
        }
        let mut asked = rig.client();
        asked.send(&request);
        host.next_part();
        leave(asked);
        assert_eq!(host.next_input(), BackendInput::Cancelled("a.0".into()));
        // An answer of 600,000 bytes of which it takes some.
        let mut half = Connection::connect_with_small_buffer(rig.program.http);
        half.send(query("half", "search", 60_000, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]));
        let parts: Vec<_> = (0..10).map(|_| host.next_part()).collect();
        parts.iter().for_each(|part| host.answer_part(part, "good", &"x".repeat(60_000)));
        half.head();
        leave(half);
        // One that was cut off, and is still sending.
        let mut lingers = rig.client();
        lingers.send("nonsense\r\n\r\n");
        lingers.head();
        leave(lingers);
    }
    rig.wait_for_descriptors(base);
    serves(&rig, &mut host, "last");
}

// The same on Flight: a call with its reset, and a call with the end of its connection, come in one turn.
#[test]
fn a_call_and_its_reset_in_one_moment_are_not_sent_on() {
    let (rig, mut host) = rig();
    serves(&rig, &mut host, "first");
    let connect = |id: &str| {
        let mut raw = RawHttp2Client::connect(rig.program.flight);
        let command = json!({"kind": "search", "id": id, "ranges": [0], "predicate": "c41e77d0"});
        let descriptor = FlightDescriptor::command(command.to_string().into());
        let info = raw.call("GetFlightInfo", &[], &grpc::frame(&descriptor));
        let info = FlightInfo::decode(info.messages[0].as_slice()).expect("a FlightInfo");
        (raw, grpc::frame(info.endpoint[0].ticket.as_ref().expect("a ticket")))
    };
    let (mut resets, reset) = connect("resets");
    let (mut closes, close) = connect("closes");
    let (mut out, asked) = connect("out");
    let stream = out.start_call("DoGet", &[], &asked);
    assert_eq!(host.next_part().1.id, "out.0");
    rig.pause();
    let cancelled = resets.start_call("DoGet", &[], &reset);
    resets.send_frame(raw_http2::RST_STREAM, 0, cancelled, &8_u32.to_be_bytes());
    closes.start_call("DoGet", &[], &close);
    drop(closes);
    out.send_frame(raw_http2::RST_STREAM, 0, stream, &8_u32.to_be_bytes());
    rig.resume();
    assert_eq!(host.next_input(), BackendInput::Cancelled("out.0".into()));
    serves(&rig, &mut host, "last");
}

// Many leave at once, and some come again at once: who left costs nothing, who came is answered.
#[test]
fn a_burst_of_departures_leaves_only_those_who_came_again() {
    let (rig, mut host) = rig();
    let mut clients: Vec<Connection> = (0..60).map(|_| rig.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(search(&format!("a{i}")));
    }
    let parts: Vec<_> = (0..60).map(|_| host.next_part()).collect();
    let base = rig.descriptors();
    rig.pause();
    for (i, client) in clients.drain(..).enumerate() {
        if i % 2 == 0 {
            client.reset();
        }
    }
    let mut again = rig.client();
    again.send(search("again"));
    // Of some the answer is there in the same turn.
    parts.iter().take(10).for_each(|part| host.answer_part(part, "good", "x"));
    rig.resume();
    let mut given_up = 0;
    loop {
        match host.next_input() {
            BackendInput::Cancelled(_) => given_up += 1,
            BackendInput::Part(at, part) => {
                assert_eq!(part.id, "again.0");
                host.answer_part(&(at, part), "good", "x");
                break;
            }
        }
    }
    assert!(whole(again.response()));
    while given_up < 50 {
        assert!(matches!(host.next_input(), BackendInput::Cancelled(_)));
        given_up += 1;
    }
    drop(again);
    rig.wait_for_descriptors(base - 60);
    serves(&rig, &mut host, "last");
}

// An answer goes out before the close, whatever the client has sent behind its last request: a close over unread
// bytes would reset the connection and take the rest of the answer with it.
#[test]
fn a_last_answer_is_not_lost_to_bytes_behind_its_request() {
    let (rig, mut host) = rig();
    let mut client = Connection::connect_with_small_buffer(rig.program.http);
    let request = query("a", "search", 60_000, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let last = request.replacen("Req-Id", "Connection: close\r\nReq-Id", 1);
    client.send(last);
    let parts: Vec<_> = (0..10).map(|_| host.next_part()).collect();
    parts.iter().for_each(|part| host.answer_part(part, "good", &"x".repeat(60_000)));
    let head = client.head();
    // Each time that the program can write, something that it has not read is there as well.
    let (mut got, mut end) = (Vec::new(), None);
    client.0.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
    while end.is_none() {
        rig.pause();
        // At the end the program may have closed.
        let _ = client.0.write_all(b"\r\n");
        end = match client.0.read_to_end(&mut got) {
            Ok(_) => Some(ConnectionEnd::Clean),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(_) => Some(ConnectionEnd::Reset),
        };
        rig.resume();
    }
    let length = head.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
    assert_eq!(
        (Some(got.len().to_string().as_str()), end),
        (length.map(|(length, _)| length), Some(ConnectionEnd::Clean))
    );
}

// Slow, split and chunked requests are one and the same request.
#[test]
fn requests_come_in_every_form() {
    let (rig, mut host) = rig();
    let mut client = rig.client();
    for byte in search("bytes").bytes() {
        client.send([byte]);
    }
    host.answer_next_part("x");
    assert!(whole(client.response()));
    let request = search("chunks");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    let (lines, _) = head.rsplit_once("\r\n").expect("lines");
    let (first, rest) = body.split_at(7);
    client.send(format!(
        "{lines}\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n7;x=y\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\nSum: 1\r\nMore: 2\r\n\r\n{}",
        rest.len(),
        search("behind"),
    ));
    assert_eq!(host.answer_next_part("x").id, "chunks.0");
    assert!(whole(client.response()));
    assert_eq!(host.answer_next_part("x").id, "behind.0");
    assert!(whole(client.response()));
    // An empty line behind a body is no request that has begun.
    client.send("\r\n");
    serves(&rig, &mut host, "other");
    client.send(search("after"));
    host.answer_next_part("x");
    assert!(whole(client.response()));
    let mut long = rig.client();
    long.send(format!("{lines}\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n{}", "x".repeat(65_537)));
    let (text, end) = long.read_to_end();
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
    assert_eq!(end, ConnectionEnd::Clean);
}

// Idle clients hold all that clients may hold while discovery is down: the call to discovery and those to hosts
// have descriptors of their own.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_hosts() {
    let (rig, mut host) = within(64, 64);
    accept(&rig.discovery).reset();
    let crowd: Vec<Connection> = (0..120).map(|_| Connection::connect(rig.program.http)).collect();
    rig.wait_for_log("accepting client connections is paused");
    let mut watch = accept(&rig.discovery);
    watch.head();
    let mut client = rig.client();
    client.send(search("a"));
    assert_eq!(host.answer_next_part("x").id, "a.0");
    assert!(whole(client.response()));
    assert!(!rig.has_logged("Too many open files"));
    drop(crowd);
}

/// The program's memory, in KB.
fn resident(rig: &TestBed) -> usize {
    let path = format!("/proc/{}/status", rig.program.child.id());
    let status = std::fs::read_to_string(path).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

// Floods of clients that send far ahead and go: their connections, buffers and queries are given back.
#[test]
fn a_flood_leaves_nothing_behind() {
    const CLIENTS: usize = 50;
    let (rig, mut host) = rig();
    serves(&rig, &mut host, "first");
    let (base, mut held) = (rig.descriptors(), Vec::new());
    for round in 0..6 {
        let mut clients: Vec<Connection> = (0..CLIENTS).map(|_| rig.client()).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(search(&format!("{round}-{i}")) + &search("ahead").repeat(200));
        }
        for _ in 0..CLIENTS {
            host.next_part();
        }
        for (i, client) in clients.into_iter().enumerate() {
            if i % 2 == 0 {
                client.reset();
            }
        }
        for _ in 0..CLIENTS {
            assert!(matches!(host.next_input(), BackendInput::Cancelled(_)));
        }
        // Connections to the host may be up to four.
        rig.wait_for_descriptors(base + 3);
        held.push(resident(&rig));
    }
    // What a round holds at its height is 2.5 MB, and the first rounds show how much of that the allocator keeps.
    assert!(held[5] < held[1] + 1024, "{held:?}");
    serves(&rig, &mut host, "last");
}

// Bad input is told in the log, but does not fill it, and costs nobody else an answer.
#[test]
fn bad_requests_are_told_in_a_few_lines() {
    let (rig, mut host) = rig();
    for i in 0..100 {
        let mut client = rig.client();
        client.send(if i % 2 == 0 { "nonsense\r\n\r\n" } else { "GET /nothing HTTP/1.1\r\n\r\n" });
        assert!(client.response().is_some_and(|(status, _)| status == [400, 404][i % 2]));
    }
    serves(&rig, &mut host, "other");
    rig.wait_for_log("malformed requests: 64 so far");
    let log = rig.program.log.lock().expect("a sound lock");
    assert_eq!(log.iter().filter(|line| line.contains("malformed requests: ")).count(), 7, "{log:#?}");
}
