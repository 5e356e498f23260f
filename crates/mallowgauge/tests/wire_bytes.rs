//! The program's bytes on three wires, held in full: answers to HTTP clients, frames to backends, calls to discovery.

use std::io::Read;
use std::time::Duration;

use insta::assert_snapshot;
use mallowgauge_testkit::manual_peers::{accept, accept_within, addr, frame, query, Connection, TestBed};
use regex::Regex;

/// What comes back for a request, to the end of the connection where it ends.
fn exchange(rig: &TestBed, request: &str) -> String {
    let mut client = rig.client();
    client.send(request);
    read_response(&mut client)
}

fn read_response(client: &mut Connection) -> String {
    let head = client.head();
    let length = head.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
    let mut body = vec![0; length.map_or(0, |(length, _)| length.parse().expect("a length"))];
    client.0.read_exact(&mut body).expect("a body");
    format!("{head}{}", String::from_utf8(body).expect("text"))
}

/// Line breaks as they are on the wire, one line of the snapshot each.
fn visible(text: &str) -> String {
    text.replace('\r', "\\r").replace("\n", "\\n\n").trim_end().to_owned()
}

/// The first connection to any backend, with that backend's number.
fn backend(rig: &TestBed) -> Connection {
    let next = |host| accept_within(host, Duration::from_millis(10));
    (0..500).flat_map(|_| &rig.backends).find_map(next).expect("the program connects")
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /api HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

const GOOD_HEADERS: &str = "Req-Id: q\r\nReq-Kind: search\r\nReq-Deadline-Ms: 4000\r\n";

#[test]
fn http_answers_to_requests_that_reach_no_backend() {
    let rig = TestBed::start(1, |_| {});
    let long = "x".repeat(70_000);
    let requests = [
        ("health", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()),
        (
            "health by another method",
            "PUT /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".to_owned(),
        ),
        ("query by another method", "GET /api HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()),
        ("another path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()),
        (
            "another path, then close",
            "GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned(),
        ),
        ("no HTTP", "what is this\r\n\r\n".to_owned()),
        ("a long head", format!("GET /healthz HTTP/1.1\r\nX: {}\r\n\r\n", &long[..17_000])),
        ("a long body", "POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_owned()),
        ("two lengths", "POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_owned()),
        (
            "length and chunks",
            "POST /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
        ),
        ("broken chunks", "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned()),
        ("no id", post("", "{}")),
        ("no class", post("Req-Id: q\r\n", "{}")),
        ("unknown class", post("Req-Id: q\r\nReq-Kind: browse\r\n", "{}")),
        ("no deadline", post("Req-Id: q\r\nReq-Kind: search\r\n", "{}")),
        ("signed deadline", post("Req-Id: q\r\nReq-Kind: search\r\nReq-Deadline-Ms: +1\r\n", "{}")),
        ("no JSON", post(GOOD_HEADERS, "{")),
        ("no ranges", post(GOOD_HEADERS, "{}")),
        ("a range without number", post(GOOD_HEADERS, r#"{"ranges":[{}],"predicate":"x"}"#)),
        ("a range without portion", post(GOOD_HEADERS, r#"{"ranges":[{"range":0}],"predicate":"x"}"#)),
        ("no predicate", post(GOOD_HEADERS, r#"{"ranges":[{"range":0,"portion":1.0}]}"#)),
        ("no parts", post(GOOD_HEADERS, r#"{"ranges":[],"predicate":"x"}"#)),
        (
            "unknown shard",
            post(GOOD_HEADERS, r#"{"ranges":[{"range":99999,"portion":1.0}],"predicate":"x"}"#),
        ),
        (
            "a shard twice",
            post(
                GOOD_HEADERS,
                r#"{"ranges":[{"range":0,"portion":0.5},{"range":0,"portion":0.5}],"predicate":"x"}"#,
            ),
        ),
        (
            "a negative portion",
            post(GOOD_HEADERS, r#"{"ranges":[{"range":0,"portion":-1.0}],"predicate":"x"}"#),
        ),
        (
            "a plan that is off",
            post(GOOD_HEADERS, r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x","plan":{}}"#),
        ),
        (
            "a plan that is no object",
            post(GOOD_HEADERS, r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x","plan":1}"#),
        ),
        (
            "a plan with an unknown key",
            post(
                GOOD_HEADERS,
                r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x","plan":{"other":1}}"#,
            ),
        ),
        (
            "no time",
            post(
                "Req-Id: q\r\nReq-Kind: search\r\nReq-Deadline-Ms: 0\r\n",
                r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x"}"#,
            ),
        ),
    ];
    let answers =
        requests.map(|(name, request)| format!("== {name}\n{}", visible(&exchange(&rig, &request))));
    assert_snapshot!(answers.join("\n"), @r#"
    == health
    HTTP/1.1 200 OK\r\n
    Content-Type: text/plain\r\n
    Content-Length: 3\r\n
    Connection: close\r\n
    \r\n
    ok\n
    == health by another method
    HTTP/1.1 405 Method Not Allowed\r\n
    Content-Type: application/json\r\n
    Allow: GET\r\n
    Content-Length: 18\r\n
    Connection: close\r\n
    \r\n
    {"error":"method"}
    == query by another method
    HTTP/1.1 405 Method Not Allowed\r\n
    Content-Type: application/json\r\n
    Allow: POST\r\n
    Content-Length: 18\r\n
    \r\n
    {"error":"method"}
    == another path
    HTTP/1.1 404 Not Found\r\n
    Content-Type: application/json\r\n
    Content-Length: 33\r\n
    \r\n
    {"error":"there is nothing here"}
    == another path, then close
    HTTP/1.1 404 Not Found\r\n
    Content-Type: application/json\r\n
    Content-Length: 33\r\n
    Connection: close\r\n
    \r\n
    {"error":"there is nothing here"}
    == no HTTP
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 35\r\n
    Connection: close\r\n
    \r\n
    {"error":"the head makes no sense"}
    == a long head
    HTTP/1.1 431 Request Header Fields Too Large\r\n
    Content-Type: application/json\r\n
    Content-Length: 33\r\n
    Connection: close\r\n
    \r\n
    {"error":"the head is too large"}
    == a long body
    HTTP/1.1 413 Content Too Large\r\n
    Content-Type: application/json\r\n
    Content-Length: 33\r\n
    Connection: close\r\n
    \r\n
    {"error":"the body is too large"}
    == two lengths
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 49\r\n
    Connection: close\r\n
    \r\n
    {"error":"the length of the body makes no sense"}
    == length and chunks
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 48\r\n
    Connection: close\r\n
    \r\n
    {"error":"the framing of the body is ambiguous"}
    == broken chunks
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 48\r\n
    Connection: close\r\n
    \r\n
    {"error":"the chunks of the body make no sense"}
    == no id
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 36\r\n
    \r\n
    {"error":"Req-Id is missing or odd"}
    == no class
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 32\r\n
    \r\n
    {"error":"the class is unknown"}
    == unknown class
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 32\r\n
    \r\n
    {"error":"the class is unknown"}
    == no deadline
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 45\r\n
    \r\n
    {"error":"Req-Deadline-Ms is missing or odd"}
    == signed deadline
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 45\r\n
    \r\n
    {"error":"Req-Deadline-Ms is missing or odd"}
    == no JSON
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 32\r\n
    \r\n
    {"error":"the body is not JSON"}
    == no ranges
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 29\r\n
    \r\n
    {"error":"ranges is missing"}
    == a range without number
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 33\r\n
    \r\n
    {"error":"a range has no number"}
    == a range without portion
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 34\r\n
    \r\n
    {"error":"a range has no portion"}
    == no predicate
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 32\r\n
    \r\n
    {"error":"predicate is missing"}
    == no parts
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 32\r\n
    \r\n
    {"error":"a query needs a part"}
    == unknown shard
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 34\r\n
    \r\n
    {"error":"there is no such shard"}
    == a shard twice
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 34\r\n
    \r\n
    {"error":"a shard is named twice"}
    == a negative portion
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 54\r\n
    \r\n
    {"error":"the shares of the parts do not add up to 1"}
    == a plan that is off
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 52\r\n
    \r\n
    {"error":"queries in two phases are not taken here"}
    == a plan that is no object
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 33\r\n
    \r\n
    {"error":"the plan is no object"}
    == a plan with an unknown key
    HTTP/1.1 400 Bad Request\r\n
    Content-Type: application/json\r\n
    Content-Length: 51\r\n
    \r\n
    {"error":"a plan has choose, top, wave and silent"}
    == no time
    HTTP/1.1 504 Gateway Timeout\r\n
    Content-Type: application/json\r\n
    Content-Length: 24\r\n
    \r\n
    {"error":"time ran out"}
    "#);
}

#[test]
fn http_answers_to_queries_and_the_frames_that_they_cause() {
    let rig = TestBed::start(1, |_| {});
    let mut seen = Vec::new();
    // Complete: the call's bytes, and the answer's.
    let mut client = rig.client();
    client.send(query("whole", "search", 4000, &[0]));
    let mut host = backend(&rig);
    let (letter, text) = host.frame().expect("a call");
    let (before, after) = text.split_once(" d=").expect("a wait");
    let (wait, after) = after.split_once(' ').expect("a length");
    assert!((1000..=4000).contains(&wait.parse::<u32>().expect("milliseconds")), "{wait}");
    seen.push(format!("== call\n{} {before} d=WAIT {}", letter as char, visible(after)));
    host.send(frame(b'q', "whole.0 good 0 util=0.5\nvalue \"x\""));
    seen.push(format!("== complete\n{}", visible(&read_response(&mut client))));
    // A query that must not be repeated fails with its part.
    client.send(query("failed", "place-hold", 4000, &[0]));
    let part = host.next_parts().pop().expect("a part");
    host.answer_part(&part, "bad", "");
    seen.push(format!("== failed\n{}", visible(&read_response(&mut client))));
    // One that gets no answer in its time.
    client.send(query("late", "place-hold", 600, &[0]));
    assert_eq!(host.next_parts().pop().map(|part| part.id).as_deref(), Some("late.0"));
    seen.push(format!("== late\n{}", visible(&read_response(&mut client))));
    assert_snapshot!(seen.join("\n"), @r#"
    == call
    m whole.0 0 d=WAIT 8\n
    c41e77d0
    == complete
    HTTP/1.1 200 OK\r\n
    Content-Type: application/json\r\n
    Content-Length: 59\r\n
    \r\n
    {"answers":[{"blob":"value \"x\"","range":0}],"total":true}
    == failed
    HTTP/1.1 502 Bad Gateway\r\n
    Content-Type: application/json\r\n
    Content-Length: 34\r\n
    \r\n
    {"error":"parts could not be had"}
    == late
    HTTP/1.1 504 Gateway Timeout\r\n
    Content-Type: application/json\r\n
    Content-Length: 24\r\n
    \r\n
    {"error":"time ran out"}
    "#);
}

#[test]
fn a_part_whose_client_left_is_given_up() {
    let rig = TestBed::start(1, |_| {});
    let mut client = rig.client();
    client.send(query("left", "search", 4000, &[0]));
    let mut host = backend(&rig);
    assert_eq!(host.next_parts().pop().map(|part| part.id).as_deref(), Some("left.0"));
    drop(client);
    let (letter, text) = host.frame().expect("the part is given up");
    assert_eq!((letter, &*text), (b'n', "left.0"));
}

#[test]
fn http_answers_beyond_the_limit_and_after_shutdown() {
    let rig = TestBed::start(1, |file| file["settings"]["Limits"]["MaxOpen"] = serde_json::json!(3));
    let mut seen = Vec::new();
    let mut open = rig.client();
    open.send(query("open", "search", 4000, &[0]));
    let mut host = backend(&rig);
    let part = host.next_parts().pop().expect("a part");
    // How long it says to wait is drawn.
    let rejected = exchange(&rig, &query("more", "search", 4000, &[0]));
    let wait = Regex::new(r"Retry-After: [0-9]\.[0-9]{3}\r").expect("a pattern");
    seen.push(format!("== one too many\n{}", visible(&wait.replace(&rejected, "Retry-After: S.MMM\r"))));
    let mut health = rig.client();
    rig.program.signal(libc::SIGTERM);
    rig.wait_for_log("Serving -> Draining");
    health.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    seen.push(format!("== health while draining\n{}", visible(&read_response(&mut health))));
    host.answer_part(&part, "good", "x");
    seen.push(format!("== answer while draining\n{}", visible(&read_response(&mut open))));
    assert_snapshot!(seen.join("\n"), @r#"
    == one too many
    HTTP/1.1 503 Service Unavailable\r\n
    Content-Type: application/json\r\n
    Retry-After: S.MMM\r\n
    Content-Length: 19\r\n
    \r\n
    {"error":"refused"}
    == health while draining
    HTTP/1.1 503 Service Unavailable\r\n
    Content-Type: text/plain\r\n
    Content-Length: 9\r\n
    Connection: close\r\n
    \r\n
    draining\n
    == answer while draining
    HTTP/1.1 200 OK\r\n
    Content-Type: application/json\r\n
    Content-Length: 49\r\n
    \r\n
    {"answers":[{"blob":"x","range":0}],"total":true}
    "#);
}

#[test]
fn http_answers_before_the_start_is_complete_and_to_a_request_that_never_is() {
    // Discovery pushes its lists here and says nothing: the program is not ready for as long as it waits for one.
    let rig = TestBed::start(1, |file| file["settings"]["MembershipMode"] = serde_json::json!("automatic"));
    let mut seen = Vec::new();
    let health = exchange(&rig, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    seen.push(format!("== health while starting\n{}", visible(&health)));
    let half = exchange(&rig, "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    seen.push(format!("== half a request\n{}", visible(&half)));
    assert_snapshot!(seen.join("\n"), @r#"
    == health while starting
    HTTP/1.1 503 Service Unavailable\r\n
    Content-Type: text/plain\r\n
    Content-Length: 9\r\n
    Connection: close\r\n
    \r\n
    starting\n
    == half a request
    HTTP/1.1 408 Request Timeout\r\n
    Content-Type: application/json\r\n
    Content-Length: 44\r\n
    Connection: close\r\n
    \r\n
    {"error":"the request did not come in time"}
    "#);
}

#[test]
fn calls_to_discovery() {
    let rig = TestBed::start(2, |_| {});
    let own = addr(&rig.discovery).to_string();
    let mut wire = accept(&rig.discovery);
    let mut seen = Vec::new();
    let mut take = |wire: &mut Connection, name: &str| {
        seen.push(format!("== {name}\n{}", visible(&wire.head().replace(&own, "DISCOVERY"))));
    };
    take(&mut wire, "first");
    wire.send_endpoint_list(7, true, &rig.endpoints("active"));
    take(&mut wire, "after a list");
    wire.send_endpoint_list(8, false, &[]);
    take(&mut wire, "after a change");
    drop(wire);
    let mut wire = accept(&rig.discovery);
    take(&mut wire, "after a connection that broke");
    assert_snapshot!(seen.join("\n"), @r#"
    == first
    GET /v1/servers?index=1&wait=2200 HTTP/1.1\r\n
    Host: DISCOVERY\r\n
    \r\n
    == after a list
    GET /v1/servers?index=7&wait=2200 HTTP/1.1\r\n
    Host: DISCOVERY\r\n
    \r\n
    == after a change
    GET /v1/servers?index=8&wait=2200 HTTP/1.1\r\n
    Host: DISCOVERY\r\n
    \r\n
    == after a connection that broke
    GET /v1/servers?index=8&wait=2200 HTTP/1.1\r\n
    Host: DISCOVERY\r\n
    \r\n
    "#);
}
