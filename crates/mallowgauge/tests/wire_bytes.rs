//! Checks every byte that the program sends on three interfaces: responses to HTTP clients, frames to backends, and
//! requests to discovery.

use std::io::Read;
use std::time::Duration;

use insta::assert_snapshot;
use mallowgauge_testkit::manual_peers::{accept, accept_within, addr, frame, query, Connection, TestBed};
use regex::Regex;

/// Sends a request on a new connection and returns the response.
fn exchange(test_bed: &TestBed, request: &str) -> String {
    let mut client = test_bed.client();
    client.send(request);
    read_response(&mut client)
}

/// Reads a response with its body, as `Content-Length` gives it.
fn read_response(client: &mut Connection) -> String {
    let head = client.head();
    let length = head.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
    let mut body = vec![0; length.map_or(0, |(length, _)| length.parse().expect("a length"))];
    client.0.read_exact(&mut body).expect("a body");
    format!("{head}{}", String::from_utf8(body).expect("text"))
}

/// Escapes line breaks, so that the snapshot shows them, and starts a new line after each.
fn escape_line_breaks(text: &str) -> String {
    text.replace('\r', "\\r").replace("\n", "\\n\n").trim_end().to_owned()
}

/// Accepts the first connection that the program opens to any backend.
fn accept_any_backend(test_bed: &TestBed) -> Connection {
    let accept = |listener| accept_within(listener, Duration::from_millis(10));
    (0..500).flat_map(|_| &test_bed.backends).find_map(accept).expect("the program connects")
}

/// Returns a `POST` of a query with these headers and this body.
fn post(headers: &str, body: &str) -> String {
    format!("POST /api HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The headers of a valid query.
const VALID_HEADERS: &str = "Req-Id: q\r\nReq-Kind: search\r\nReq-Deadline-Ms: 4000\r\n";

#[test]
fn http_responses_to_requests_that_reach_no_backend() {
    let test_bed = TestBed::start(1, |_| {});
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
        ("no JSON", post(VALID_HEADERS, "{")),
        ("no ranges", post(VALID_HEADERS, "{}")),
        ("a range without number", post(VALID_HEADERS, r#"{"ranges":[{}],"predicate":"x"}"#)),
        ("a range without portion", post(VALID_HEADERS, r#"{"ranges":[{"range":0}],"predicate":"x"}"#)),
        ("no predicate", post(VALID_HEADERS, r#"{"ranges":[{"range":0,"portion":1.0}]}"#)),
        ("no parts", post(VALID_HEADERS, r#"{"ranges":[],"predicate":"x"}"#)),
        (
            "unknown shard",
            post(VALID_HEADERS, r#"{"ranges":[{"range":99999,"portion":1.0}],"predicate":"x"}"#),
        ),
        (
            "a shard twice",
            post(
                VALID_HEADERS,
                r#"{"ranges":[{"range":0,"portion":0.5},{"range":0,"portion":0.5}],"predicate":"x"}"#,
            ),
        ),
        (
            "a negative portion",
            post(VALID_HEADERS, r#"{"ranges":[{"range":0,"portion":-1.0}],"predicate":"x"}"#),
        ),
        (
            "a plan that is off",
            post(VALID_HEADERS, r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x","plan":{}}"#),
        ),
        (
            "a plan that is no object",
            post(VALID_HEADERS, r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x","plan":1}"#),
        ),
        (
            "a plan with an unknown key",
            post(
                VALID_HEADERS,
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
    let answers = requests
        .map(|(name, request)| format!("== {name}\n{}", escape_line_breaks(&exchange(&test_bed, &request))));
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
fn http_responses_to_queries_and_their_frames_to_backends() {
    let test_bed = TestBed::start(1, |_| {});
    let mut outputs = Vec::new();
    // A complete answer: the bytes of the call to the backend and of the response.
    let mut client = test_bed.client();
    client.send(query("whole", "search", 4000, &[0]));
    let mut backend = accept_any_backend(&test_bed);
    let (letter, text) = backend.frame().expect("a call");
    let (before, after) = text.split_once(" d=").expect("a deadline");
    let (wait, after) = after.split_once(' ').expect("a length");
    assert!((1000..=4000).contains(&wait.parse::<u32>().expect("milliseconds")), "{wait}");
    outputs.push(format!("== call\n{} {before} d=WAIT {}", letter as char, escape_line_breaks(after)));
    backend.send(frame(b'q', "whole.0 good 0 util=0.5\nvalue \"x\""));
    outputs.push(format!("== complete\n{}", escape_line_breaks(&read_response(&mut client))));
    // A non-idempotent query fails when its part fails.
    client.send(query("failed", "place-hold", 4000, &[0]));
    let part = backend.next_parts().pop().expect("a part");
    backend.answer_part(&part, "bad", "");
    outputs.push(format!("== failed\n{}", escape_line_breaks(&read_response(&mut client))));
    // A query that gets no answer before its deadline.
    client.send(query("late", "place-hold", 600, &[0]));
    assert_eq!(backend.next_parts().pop().map(|part| part.id).as_deref(), Some("late.0"));
    outputs.push(format!("== late\n{}", escape_line_breaks(&read_response(&mut client))));
    assert_snapshot!(outputs.join("\n"), @r#"
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
fn part_of_a_disconnected_client_is_cancelled() {
    let test_bed = TestBed::start(1, |_| {});
    let mut client = test_bed.client();
    client.send(query("left", "search", 4000, &[0]));
    let mut backend = accept_any_backend(&test_bed);
    assert_eq!(backend.next_parts().pop().map(|part| part.id).as_deref(), Some("left.0"));
    drop(client);
    let (letter, text) = backend.frame().expect("the part is cancelled");
    assert_eq!((letter, &*text), (b'n', "left.0"));
}

#[test]
fn http_responses_over_the_limit_and_during_shutdown() {
    let test_bed = TestBed::start(1, |file| file["settings"]["Limits"]["MaxOpen"] = serde_json::json!(3));
    let mut outputs = Vec::new();
    let mut open = test_bed.client();
    open.send(query("open", "search", 4000, &[0]));
    let mut backend = accept_any_backend(&test_bed);
    let part = backend.next_parts().pop().expect("a part");
    // The retry delay is random, so it is replaced before the comparison.
    let rejected = exchange(&test_bed, &query("more", "search", 4000, &[0]));
    let wait = Regex::new(r"Retry-After: [0-9]\.[0-9]{3}\r").expect("a pattern");
    outputs.push(format!(
        "== one too many\n{}",
        escape_line_breaks(&wait.replace(&rejected, "Retry-After: S.MMM\r"))
    ));
    let mut health = test_bed.client();
    test_bed.program.signal(libc::SIGTERM);
    test_bed.wait_for_log("Serving -> Draining");
    health.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    outputs.push(format!("== health while draining\n{}", escape_line_breaks(&read_response(&mut health))));
    backend.answer_part(&part, "good", "x");
    outputs.push(format!("== answer while draining\n{}", escape_line_breaks(&read_response(&mut open))));
    assert_snapshot!(outputs.join("\n"), @r#"
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
fn http_responses_during_startup_and_to_an_incomplete_request() {
    // In this mode discovery pushes endpoint lists, and here it sends none: the program is not ready while it waits for
    // the first one.
    let test_bed =
        TestBed::start(1, |file| file["settings"]["MembershipMode"] = serde_json::json!("automatic"));
    let mut outputs = Vec::new();
    let health = exchange(&test_bed, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    outputs.push(format!("== health while starting\n{}", escape_line_breaks(&health)));
    let half = exchange(&test_bed, "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    outputs.push(format!("== half a request\n{}", escape_line_breaks(&half)));
    assert_snapshot!(outputs.join("\n"), @r#"
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
fn requests_to_discovery() {
    let test_bed = TestBed::start(2, |_| {});
    let discovery_addr = addr(&test_bed.discovery).to_string();
    let mut connection = accept(&test_bed.discovery);
    let mut outputs = Vec::new();
    let mut record_request = |connection: &mut Connection, name: &str| {
        outputs.push(format!(
            "== {name}\n{}",
            escape_line_breaks(&connection.head().replace(&discovery_addr, "DISCOVERY"))
        ));
    };
    record_request(&mut connection, "first");
    connection.send_endpoint_list(7, true, &test_bed.endpoints("active"));
    record_request(&mut connection, "after a list");
    connection.send_endpoint_list(8, false, &[]);
    record_request(&mut connection, "after a change");
    drop(connection);
    let mut connection = accept(&test_bed.discovery);
    record_request(&mut connection, "after a connection that broke");
    assert_snapshot!(outputs.join("\n"), @r#"
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
