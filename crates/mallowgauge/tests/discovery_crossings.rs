//! Where a list of hosts crosses with something else: the real program, its hosts and discovery in the test's hands.

use std::net::TcpListener;
use std::time::Duration;

use mallowgauge_testkit::manual_peers::{
    accept, accept_within, addr, endpoint_list, listener, query, Connection, Part, TestBed,
};
use serde_json::{json, Value};

/// A list as the body of an answer without a length, which ends with its connection.
fn endless(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{body}")
}

/// A list in chunks of one byte each.
fn crumbs(body: &str) -> String {
    let chunks: String = body.chars().map(|c| format!("1\r\n{c}\r\n")).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

fn pushed(file: &mut Value) {
    file["settings"]["MembershipMode"] = json!("automatic");
}

/// Asks, and says which host got the part; what the others had open is not looked at.
fn asks(rig: &TestBed, id: &str) -> (usize, Connection, Connection) {
    let mut client = rig.client();
    client.send(query(id, "place-hold", 3000, &[0]));
    let (host, wire) = first(rig);
    (host, wire, client)
}

/// The next connection to any host.
fn first(rig: &TestBed) -> (usize, Connection) {
    let at = |(host, listener)| Some((host, accept_within(listener, Duration::from_millis(5))?));
    let mut all = std::iter::repeat_with(|| rig.backends.iter().enumerate().find_map(at)).take(2000);
    all.find_map(|found| found).expect("a host is dialled")
}

/// Serves the one part of a query on this connection.
fn serve(wire: &mut Connection, client: &mut Connection) -> Part {
    let parts = wire.next_parts();
    wire.answer_part(&parts[0], "good", "x");
    assert_eq!(client.response().expect("an answer").0, 200);
    parts[0].clone()
}

/// What the platform's front hears when it asks whether the program takes queries.
fn health(rig: &TestBed) -> (u16, String) {
    let mut client = rig.client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    client.response().expect("an answer")
}

/// All hosts but one as they are, that one in another state.
fn but_one(rig: &TestBed, left: usize, state: &str) -> Vec<Value> {
    let state = |host| rig.endpoint(host, if host == left { state } else { "active" });
    (0..rig.backends.len()).map(state).collect()
}

/// The watch that follows an answer shows that the answer was read.
fn follows(wire: &mut Connection, generation: u64) {
    let head = wire.head();
    assert!(head.starts_with(&format!("GET /v1/servers?index={generation}&wait=")), "{head}");
}

// With pushed lists no watch was ever opened: hosts that drained or had left were used for good.
#[test]
fn pushed_lists_are_watched() {
    let rig = TestBed::start(3, pushed);
    let mut watch = accept(&rig.discovery);
    watch.head();
    watch.send_endpoint_list(2, true, &but_one(&rig, 0, "active"));
    follows(&mut watch, 2);
    watch.send_endpoint_list(3, false, &[rig.endpoint(0, "leaving"), rig.endpoint(1, "left")]);
    follows(&mut watch, 3);
    let (host, mut wire, mut client) = asks(&rig, "1");
    assert_eq!(host, 2);
    serve(&mut wire, &mut client);
}

// What has been pushed counts from the first moment: a query that comes before the saved list is checked waits for
// that, and the program is not ready.
#[test]
fn a_pushed_saved_list_is_checked_before_any_host_is_used() {
    let rig = TestBed::start(3, pushed);
    let mut watch = accept(&rig.discovery);
    let head = watch.head();
    assert!(head.starts_with("GET /v1/servers?index=1&wait=1 "), "a call that need not wait: {head}");
    let mut early = rig.client();
    early.send(query("1", "place-hold", 3000, &[0]));
    // Once these are answered, the query that came before them has been taken.
    assert_eq!(
        [health(&rig), health(&rig)],
        [(503, "starting\n".to_owned()), (503, "starting\n".to_owned())]
    );
    watch.send_endpoint_list(2, false, &[rig.endpoint(0, "leaving"), rig.endpoint(1, "left")]);
    let mut wire = accept(&rig.backends[2]);
    serve(&mut wire, &mut early);
    assert_eq!(health(&rig), (200, "ok\n".to_owned()));
}

// Nine in ten restarted processes are ready within 10 s, also with discovery down: the saved list is all there is.
#[test]
fn with_discovery_down_a_pushed_saved_list_is_used_in_the_end() {
    let rig = TestBed::start(3, |file| {
        pushed(file);
        file["discovery"] = json!(addr(&listener()).to_string());
    });
    rig.wait_for_log("the saved list of hosts is used unchecked");
    assert_eq!(health(&rig), (200, "ok\n".to_owned()));
    let (_, mut wire, mut client) = asks(&rig, "1");
    serve(&mut wire, &mut client);
}

// A reset is no end of a body without length, even where all of it seems to have come; a clean end is one.
#[test]
fn a_list_without_length_is_whole_at_a_clean_end_only() {
    let rig = TestBed::start(3, |_| {});
    let mut watch = accept(&rig.discovery);
    watch.head();
    let gone = endpoint_list(7, true, &[rig.endpoint(0, "active")]);
    watch.send(endless(&gone));
    // Once these are answered, all of it has been read.
    assert_eq!([health(&rig).0, health(&rig).0], [200, 200]);
    watch.reset();
    rig.wait_for_log("discovery failed");
    let mut watch = accept(&rig.discovery);
    let head = watch.head();
    assert!(head.contains("?index=1&"), "the list that was cut does not count: {head}");
    watch.send(endless(&endpoint_list(8, true, &but_one(&rig, 0, "leaving"))));
    drop(watch);
    follows(&mut accept(&rig.discovery), 8);
    let (host, mut wire, mut client) = asks(&rig, "1");
    assert_ne!(host, 0);
    serve(&mut wire, &mut client);
}

#[test]
fn a_list_counts_in_every_form_that_it_may_come_in() {
    let rig = TestBed::start(3, |_| {});
    let mut watch = accept(&rig.discovery);
    watch.head();
    watch.send(crumbs(&endpoint_list(2, false, &[rig.endpoint(0, "leaving")])));
    follows(&mut watch, 2);
    let body = serde_json::to_string_pretty(&json!({"generation": 3, "reset": false,
        "instances": [rig.endpoint(1, "leaving")]}));
    let body = body.expect("JSON");
    let whole = format!("HTTP/1.1 200 OK\r\ncontent-length:   {}\r\n\r\n{body}", body.len());
    whole.bytes().for_each(|byte| watch.send([byte]));
    follows(&mut watch, 3);
    watch.send_endpoint_list(4, false, &[]);
    follows(&mut watch, 4);
    let (host, mut wire, mut client) = asks(&rig, "1");
    assert_eq!(host, 2);
    serve(&mut wire, &mut client);
}

// A whole list older than the present one would bring hosts back that have left since.
#[test]
fn a_list_older_than_the_present_one_is_asked_for_anew() {
    let rig = TestBed::start(2, |_| {});
    let mut watch = accept(&rig.discovery);
    watch.head();
    watch.send_endpoint_list(9, true, &[rig.endpoint(1, "active")]);
    follows(&mut watch, 9);
    watch.send_endpoint_list(4, true, &rig.endpoints("active"));
    rig.wait_for_log("a list older than the present one");
    let mut watch = accept(&rig.discovery);
    let head = watch.head();
    assert!(head.starts_with("GET /v1/servers HTTP/1.1"), "the whole list: {head}");
    let (host, mut wire, mut client) = asks(&rig, "1");
    assert_eq!(host, 1, "meanwhile the present list holds");
    serve(&mut wire, &mut client);
    // Asked for as a whole it counts, whatever its version: discovery may have begun anew.
    watch.send_endpoint_list(5, true, &[rig.endpoint(0, "active")]);
    follows(&mut watch, 5);
    let (host, mut wire, mut client) = asks(&rig, "2");
    assert_eq!(host, 0);
    serve(&mut wire, &mut client);
}

// What cannot be a list, or never ends, costs its own connection and nothing else.
#[test]
fn spoilt_and_endless_answers_change_nothing() {
    let rig = TestBed::start(2, |_| {});
    let mut watch = accept(&rig.discovery);
    watch.head();
    let spoilt = endpoint_list(2, true, &[rig.endpoint(0, "active")]).replace("\"reset\"", "\"reset");
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"ge".to_owned();
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{spoilt}", spoilt.len());
    let empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned();
    let noise = "\0\x01\x02 no answer at all\r\n\r\n".to_owned();
    let endless_head = format!("HTTP/1.1 200 OK\r\n{}", "X: y\r\n".repeat(4000));
    let longer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 2 << 20);
    let without_end = endless(&" ".repeat((1 << 20) + 1));
    for answer in [cut, whole, empty, noise, endless_head, longer, without_end] {
        // It may be given up before all of it is written.
        let _ = std::io::Write::write_all(&mut watch.0, answer.as_bytes());
        assert!(watch.is_closed_by_peer(), "the connection of a spoilt answer is given up");
        watch = accept(&rig.discovery);
        let head = watch.head();
        assert!(head.contains("?index=1&"), "nothing was taken: {head}");
        let (_, mut wire, mut client) = asks(&rig, "1");
        serve(&mut wire, &mut client);
    }
}

// Bytes behind an answer belong to no call: the next one goes over a connection of its own.
#[test]
fn bytes_behind_an_answer_are_not_the_next_answer() {
    let rig = TestBed::start(2, |_| {});
    let mut watch = accept(&rig.discovery);
    watch.head();
    let once = |generation, hosts: &[Value]| {
        let body = endpoint_list(generation, true, hosts);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    watch.send(once(2, &rig.endpoints("active")) + &once(3, &[rig.endpoint(0, "active")]));
    follows(&mut accept(&rig.discovery), 2);
}

// A drain and a query that are read in the same turn: the host that drains gets nothing.
#[test]
fn a_drain_told_in_the_turn_of_a_query_counts_for_it() {
    let rig = TestBed::start(3, |_| {});
    let mut watch = accept(&rig.discovery);
    watch.head();
    watch.send_endpoint_list(2, true, &rig.endpoints("active"));
    follows(&mut watch, 2);
    let mut client = rig.client();
    client.send("GET /nothing HTTP/1.1\r\n\r\n");
    assert_eq!(client.response().expect("an answer").0, 404);
    rig.pause();
    client.send(query("1", "place-hold", 3000, &[0]));
    watch.send_endpoint_list(3, false, &[rig.endpoint(0, "leaving"), rig.endpoint(1, "left")]);
    rig.resume();
    let mut wire = accept(&rig.backends[2]);
    serve(&mut wire, &mut client);
    follows(&mut watch, 3);
}

// SIGHUP in the middle of an answer: what the old address still says is not waited for and does not count, and the
// first list from the new one counts whatever its version.
#[test]
fn a_move_in_the_middle_of_an_answer_takes_nothing_from_the_old_address() {
    let rig = TestBed::start(2, |_| {});
    let mut old = accept(&rig.discovery);
    old.head();
    let body = endpoint_list(50, true, &[rig.endpoint(0, "active")]);
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    old.send(&whole[..whole.len() - 1]);
    let new: TcpListener = listener();
    rig.program.reconfigure(|file| file["discovery"] = json!(addr(&new).to_string()));
    let mut moved = accept(&new);
    let head = moved.head();
    assert!(head.starts_with("GET /v1/servers HTTP/1.1"), "{head}");
    let _ = std::io::Write::write_all(&mut old.0, &whole.as_bytes()[whole.len() - 1..]);
    assert!(old.is_closed_by_peer());
    moved.send_endpoint_list(3, true, &[rig.endpoint(1, "active")]);
    follows(&mut moved, 3);
    let (host, mut wire, mut client) = asks(&rig, "1");
    assert_eq!(host, 1);
    serve(&mut wire, &mut client);
}

// A host that leaves and returns under its name, with another address and start, is used there and nowhere else.
#[test]
fn a_host_that_returns_under_its_name_is_used_where_it_is_now() {
    for told_gone in [true, false] {
        let rig = TestBed::start(1, |_| {});
        let mut watch = accept(&rig.discovery);
        watch.head();
        watch.send_endpoint_list(2, true, &rig.endpoints("active"));
        follows(&mut watch, 2);
        let (_, mut old, mut client) = asks(&rig, "1");
        serve(&mut old, &mut client);
        if told_gone {
            watch.send_endpoint_list(3, false, &[rig.endpoint(0, "left")]);
            follows(&mut watch, 3);
        }
        let elsewhere = listener();
        let mut back = rig.endpoint(0, "active");
        back["hostPort"] = json!(addr(&elsewhere).to_string());
        watch.send_endpoint_list(4, false, &[back]);
        follows(&mut watch, 4);
        client.send(query("2", "place-hold", 3000, &[0]));
        let mut new = accept(&elsewhere);
        serve(&mut new, &mut client);
    }
}
