//! Endpoint lists from discovery that race with queries, shutdowns of connections and reloads. Runs the real program; the
//! test plays its backends and discovery.

use std::net::TcpListener;
use std::time::Duration;

use mallowgauge_testkit::manual_peers::{
    accept, accept_within, addr, endpoint_list, listener, query, Connection, Part, TestBed,
};
use serde_json::{json, Value};

/// A list as the body of a response without a length, which ends with the connection.
fn without_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{body}")
}

/// A list in chunks of one byte each.
fn in_one_byte_chunks(body: &str) -> String {
    let chunks: String = body.chars().map(|c| format!("1\r\n{c}\r\n")).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

fn use_push(file: &mut Value) {
    file["settings"]["MembershipMode"] = json!("automatic");
}

/// Submits a query. Returns the backend that got its part, the connection to it and the client's connection.
/// Connections that other backends opened before are ignored.
fn submit(test_bed: &TestBed, id: &str) -> (usize, Connection, Connection) {
    let mut client = test_bed.client();
    client.send(query(id, "place-hold", 3000, &[0]));
    let (backend, connection) = accept_at_any_backend(test_bed);
    (backend, connection, client)
}

/// The next connection to any backend.
fn accept_at_any_backend(test_bed: &TestBed) -> (usize, Connection) {
    let accept = |(index, listener)| Some((index, accept_within(listener, Duration::from_millis(5))?));
    let mut rounds =
        std::iter::repeat_with(|| test_bed.backends.iter().enumerate().find_map(accept)).take(2000);
    rounds.find_map(|found| found).expect("a connection to a backend")
}

/// Answers the only part of a query on this connection.
fn answer_part(connection: &mut Connection, client: &mut Connection) -> Part {
    let parts = connection.next_parts();
    connection.answer_part(&parts[0], "good", "x");
    assert_eq!(client.response().expect("a response").0, 200);
    parts[0].clone()
}

/// The response to the platform's health check.
fn health(test_bed: &TestBed) -> (u16, String) {
    let mut client = test_bed.client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    client.response().expect("a response")
}

/// All backends as active, except one in the given state.
fn with_one_in_state(test_bed: &TestBed, changed: usize, state: &str) -> Vec<Value> {
    let state = |index| test_bed.endpoint(index, if index == changed { state } else { "active" });
    (0..test_bed.backends.len()).map(state).collect()
}

/// Expects the watch after a list, which shows that the list was applied.
fn expect_watch(connection: &mut Connection, generation: u64) {
    let head = connection.head();
    assert!(head.starts_with(&format!("GET /v1/servers?index={generation}&wait=")), "{head}");
}

// Guards against a missing watch where lists are pushed: backends that drained or were removed stayed in use.
#[test]
fn pushed_lists_are_watched() {
    let test_bed = TestBed::start(3, use_push);
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    watch.send_endpoint_list(2, true, &with_one_in_state(&test_bed, 0, "active"));
    expect_watch(&mut watch, 2);
    watch.send_endpoint_list(3, false, &[test_bed.endpoint(0, "leaving"), test_bed.endpoint(1, "left")]);
    expect_watch(&mut watch, 3);
    let (backend, mut connection, mut client) = submit(&test_bed, "1");
    assert_eq!(backend, 2);
    answer_part(&mut connection, &mut client);
}

// Changes pushed before the start count as notified from the beginning: until the cached snapshot is confirmed, queries
// wait and the program is not ready.
#[test]
fn cached_snapshot_is_confirmed_before_use_where_lists_are_pushed() {
    let test_bed = TestBed::start(3, use_push);
    let mut watch = accept(&test_bed.discovery);
    let head = watch.head();
    assert!(head.starts_with("GET /v1/servers?index=1&wait=1 "), "a poll: {head}");
    let mut early = test_bed.client();
    early.send(query("1", "place-hold", 3000, &[0]));
    // Once these are answered, the earlier query has been accepted.
    assert_eq!(
        [health(&test_bed), health(&test_bed)],
        [(503, "starting\n".to_owned()), (503, "starting\n".to_owned())]
    );
    watch.send_endpoint_list(2, false, &[test_bed.endpoint(0, "leaving"), test_bed.endpoint(1, "left")]);
    let mut connection = accept(&test_bed.backends[2]);
    answer_part(&mut connection, &mut early);
    assert_eq!(health(&test_bed), (200, "ok\n".to_owned()));
}

// Nine of ten restarted processes have to be ready within 10 s, also with discovery down: only the cached snapshot is
// available then.
#[test]
fn cached_snapshot_is_used_unconfirmed_while_discovery_is_down() {
    let test_bed = TestBed::start(3, |file| {
        use_push(file);
        file["discovery"] = json!(addr(&listener()).to_string());
    });
    test_bed.wait_for_log("using the cached endpoint list unverified");
    assert_eq!(health(&test_bed), (200, "ok\n".to_owned()));
    let (_, mut connection, mut client) = submit(&test_bed, "1");
    answer_part(&mut connection, &mut client);
}

// A body without a length ends with a regular close. After a reset it is incomplete, even if all of it seems to have
// arrived.
#[test]
fn list_without_length_is_complete_only_after_a_regular_close() {
    let test_bed = TestBed::start(3, |_| {});
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    let truncated = endpoint_list(7, true, &[test_bed.endpoint(0, "active")]);
    watch.send(without_length(&truncated));
    // Once these are answered, the body has been read.
    assert_eq!([health(&test_bed).0, health(&test_bed).0], [200, 200]);
    watch.reset();
    test_bed.wait_for_log("discovery request failed");
    let mut watch = accept(&test_bed.discovery);
    let head = watch.head();
    assert!(head.contains("?index=1&"), "the truncated list is not applied: {head}");
    watch.send(without_length(&endpoint_list(8, true, &with_one_in_state(&test_bed, 0, "leaving"))));
    drop(watch);
    expect_watch(&mut accept(&test_bed.discovery), 8);
    let (backend, mut connection, mut client) = submit(&test_bed, "1");
    assert_ne!(backend, 0);
    answer_part(&mut connection, &mut client);
}

#[test]
fn lists_are_read_in_every_encoding() {
    let test_bed = TestBed::start(3, |_| {});
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    watch.send(in_one_byte_chunks(&endpoint_list(2, false, &[test_bed.endpoint(0, "leaving")])));
    expect_watch(&mut watch, 2);
    let body = serde_json::to_string_pretty(&json!({"generation": 3, "reset": false,
        "instances": [test_bed.endpoint(1, "leaving")]}));
    let body = body.expect("JSON");
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length:   {}\r\n\r\n{body}", body.len());
    response.bytes().for_each(|byte| watch.send([byte]));
    expect_watch(&mut watch, 3);
    watch.send_endpoint_list(4, false, &[]);
    expect_watch(&mut watch, 4);
    let (backend, mut connection, mut client) = submit(&test_bed, "1");
    assert_eq!(backend, 2);
    answer_part(&mut connection, &mut client);
}

// A snapshot older than the list in use would bring back backends that were removed since.
#[test]
fn outdated_list_is_rejected_and_the_snapshot_requested() {
    let test_bed = TestBed::start(2, |_| {});
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    watch.send_endpoint_list(9, true, &[test_bed.endpoint(1, "active")]);
    expect_watch(&mut watch, 9);
    watch.send_endpoint_list(4, true, &test_bed.endpoints("active"));
    test_bed.wait_for_log("endpoint list is older than the one in use");
    let mut watch = accept(&test_bed.discovery);
    let head = watch.head();
    assert!(head.starts_with("GET /v1/servers HTTP/1.1"), "a request for the snapshot: {head}");
    let (backend, mut connection, mut client) = submit(&test_bed, "1");
    assert_eq!(backend, 1, "the list in use still applies");
    answer_part(&mut connection, &mut client);
    // A requested snapshot is applied whatever its version: discovery may have restarted.
    watch.send_endpoint_list(5, true, &[test_bed.endpoint(0, "active")]);
    expect_watch(&mut watch, 5);
    let (backend, mut connection, mut client) = submit(&test_bed, "2");
    assert_eq!(backend, 0);
    answer_part(&mut connection, &mut client);
}

// A malformed or endless response only closes its connection.
#[test]
fn malformed_and_endless_responses_change_nothing() {
    let test_bed = TestBed::start(2, |_| {});
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    let malformed = endpoint_list(2, true, &[test_bed.endpoint(0, "active")]).replace("\"reset\"", "\"reset");
    let truncated = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"ge".to_owned();
    let complete = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{malformed}", malformed.len());
    let empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned();
    let noise = "\0\x01\x02 no answer at all\r\n\r\n".to_owned();
    let endless_head = format!("HTTP/1.1 200 OK\r\n{}", "X: y\r\n".repeat(4000));
    let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 2 << 20);
    let endless_body = without_length(&" ".repeat((1 << 20) + 1));
    let responses = [truncated, complete, empty, noise, endless_head, too_long, endless_body];
    for (number, response) in responses.iter().enumerate() {
        // The program may close the connection before all of it is written.
        let _ = std::io::Write::write_all(&mut watch.0, response.as_bytes());
        assert!(watch.is_closed_by_peer(), "the connection of a malformed response is closed");
        watch = accept(&test_bed.discovery);
        let head = watch.head();
        assert!(head.contains("?index=1&"), "nothing was applied: {head}");
        let (_, mut connection, mut client) = submit(&test_bed, &number.to_string());
        answer_part(&mut connection, &mut client);
    }
}

// Bytes after a response belong to no request: the next request uses a new connection.
#[test]
fn bytes_after_a_response_are_not_the_next_response() {
    let test_bed = TestBed::start(2, |_| {});
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    let response = |generation, instances: &[Value]| {
        let body = endpoint_list(generation, true, instances);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    watch.send(response(2, &test_bed.endpoints("active")) + &response(3, &[test_bed.endpoint(0, "active")]));
    expect_watch(&mut accept(&test_bed.discovery), 2);
}

// A query and a list with draining backends, read in the same event-loop iteration: the query is not sent to these.
#[test]
fn drain_read_in_the_iteration_of_a_query_applies_to_it() {
    let test_bed = TestBed::start(3, |_| {});
    let mut watch = accept(&test_bed.discovery);
    watch.head();
    watch.send_endpoint_list(2, true, &test_bed.endpoints("active"));
    expect_watch(&mut watch, 2);
    let mut client = test_bed.client();
    client.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(client.response().expect("a response").0, 404);
    test_bed.pause();
    client.send(query("1", "place-hold", 3000, &[0]));
    watch.send_endpoint_list(3, false, &[test_bed.endpoint(0, "leaving"), test_bed.endpoint(1, "left")]);
    test_bed.resume();
    let mut connection = accept(&test_bed.backends[2]);
    answer_part(&mut connection, &mut client);
    expect_watch(&mut watch, 3);
}

// SIGHUP in the middle of a response: the rest from the old address is neither awaited nor applied, and the first list from
// the new address is applied whatever its version.
#[test]
fn relocation_in_the_middle_of_a_response_discards_the_response() {
    let test_bed = TestBed::start(2, |_| {});
    let mut old = accept(&test_bed.discovery);
    old.head();
    let body = endpoint_list(50, true, &[test_bed.endpoint(0, "active")]);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    old.send(&response[..response.len() - 1]);
    let new: TcpListener = listener();
    test_bed.program.reconfigure(|file| file["discovery"] = json!(addr(&new).to_string()));
    let mut moved = accept(&new);
    let head = moved.head();
    assert!(head.starts_with("GET /v1/servers HTTP/1.1"), "{head}");
    let _ = std::io::Write::write_all(&mut old.0, &response.as_bytes()[response.len() - 1..]);
    assert!(old.is_closed_by_peer());
    moved.send_endpoint_list(3, true, &[test_bed.endpoint(1, "active")]);
    expect_watch(&mut moved, 3);
    let (backend, mut connection, mut client) = submit(&test_bed, "1");
    assert_eq!(backend, 1);
    answer_part(&mut connection, &mut client);
}

// A backend that returns under its name with another address is used only at the new address, whether or not its removal
// was listed in between.
#[test]
fn backend_that_returns_with_another_address_is_used_there() {
    for removal_listed in [true, false] {
        let test_bed = TestBed::start(1, |_| {});
        let mut watch = accept(&test_bed.discovery);
        watch.head();
        watch.send_endpoint_list(2, true, &test_bed.endpoints("active"));
        expect_watch(&mut watch, 2);
        let (_, mut old, mut client) = submit(&test_bed, "1");
        answer_part(&mut old, &mut client);
        if removal_listed {
            watch.send_endpoint_list(3, false, &[test_bed.endpoint(0, "left")]);
            expect_watch(&mut watch, 3);
        }
        let new_address = listener();
        let mut returned = test_bed.endpoint(0, "active");
        returned["hostPort"] = json!(addr(&new_address).to_string());
        watch.send_endpoint_list(4, false, &[returned]);
        expect_watch(&mut watch, 4);
        client.send(query("2", "place-hold", 3000, &[0]));
        let mut new = accept(&new_address);
        answer_part(&mut new, &mut client);
    }
}
