//! Stand-ins for the platform's own protocols: a backend that speaks frames, discovery, and an HTTP client.

use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

use serde_json::{json, Value};

use super::{BackendReply, Event, Query, TEST_TIMEOUT};

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let addr = listener.local_addr().expect("local address");
    (listener, addr)
}

/// Encodes a frame with this kind letter and payload.
fn frame(letter: u8, payload: &str) -> Vec<u8> {
    let length = u32::try_from(payload.len() + 1).expect("a short frame");
    [&length.to_be_bytes()[..], &[letter], payload.as_bytes()].concat()
}

/// Starts a backend that speaks frames and reports to `events`. With `manual_health_checks` the scenario answers
/// health checks; otherwise the backend does.
pub fn frame_backend(number: usize, events: Sender<Event>, manual_health_checks: bool) -> SocketAddr {
    let (listener, addr) = listener();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let events = events.clone();
            std::thread::spawn(move || {
                serve(number, socket, &events, manual_health_checks);
                drop(events.send(Event::ConnectionClosed));
            });
        }
    });
    addr
}

/// Reads the next frame: its kind letter and its payload.
fn read_frame(socket: &mut TcpStream) -> Option<(u8, String)> {
    let mut head = [0; 5];
    socket.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut rest = vec![0; length - 1];
    socket.read_exact(&mut rest).ok()?;
    Some((head[4], String::from_utf8(rest).expect("text")))
}

fn serve(
    number: usize,
    mut socket: TcpStream,
    events: &Sender<Event>,
    manual_health_checks: bool,
) -> Option<()> {
    loop {
        let (letter, text) = read_frame(&mut socket)?;
        match letter {
            b'm' => report_parts(number, &text, &socket, events),
            b'n' => {
                let shard = text.rsplit('.').next().and_then(|s| s.parse().ok());
                drop(events.send(Event::Cancel(shard.expect("a part id that ends with the shard"))));
            }
            b'o' if manual_health_checks => {
                let socket = socket.try_clone().ok()?;
                let reply =
                    move || (&socket).write_all(&frame(b'o', "good")).expect("write to the connection");
                drop(events.send(Event::HealthCheck(Box::new(reply))));
            }
            b'o' => socket.write_all(&frame(b'o', "good")).ok()?,
            letter => panic!("unexpected frame kind {letter}"),
        }
    }
}

/// Reports the parts of a frame to the scenario.
fn report_parts(number: usize, mut text: &str, socket: &TcpStream, events: &Sender<Event>) {
    while let Some((line, rest)) = text.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, time_left, length] = words[..] else { panic!("malformed part line: {line}") };
        assert!(id.ends_with(&format!(".{shard}")) && time_left.starts_with("d="), "{line}");
        let (carried, after) = rest.split_at(length.parse().expect("a length"));
        assert_eq!(carried, "c41e77d0", "the query's text is forwarded unchanged");
        text = after;
        let (id, socket) = (id.to_owned(), socket.try_clone().expect("clone the socket"));
        let reply = move |reply: BackendReply| match reply {
            BackendReply::Outcome(outcome, _) if outcome == "nonsense" => {
                (&socket).write_all(&frame(b'z', "")).expect("send the data")
            }
            BackendReply::Outcome(outcome, value) => {
                let good = frame(b'q', &format!("{id} good 0 util=0.5\n{value}"));
                let answer = match &*outcome {
                    "stray" => frame(b'q', &format!("x{id} good 0 util=0.5\n{value}")),
                    "half" => good[..good.len() - 1].to_vec(),
                    "twice" => [good.clone(), good].concat(),
                    "noisy" => {
                        let report = [&b"=\xff= "[..], b"\n", value.as_bytes()].concat();
                        let line = format!("q{id} good 0 ").into_bytes();
                        let length = u32::try_from(line.len() + report.len()).expect("a short frame");
                        [&length.to_be_bytes()[..], &line, &report, b"\0\0\x01\0q"].concat()
                    }
                    outcome => frame(b'q', &format!("{id} {outcome} 0 util=0.5\n{value}")),
                };
                (&socket).write_all(&answer).expect("write to the connection");
            }
            BackendReply::Disconnect => socket.shutdown(Shutdown::Both).expect("shut down the socket"),
        };
        drop(events.send(Event::Part(number, shard.parse().expect("a shard"), Box::new(reply))));
    }
}

/// The entry of a backend in discovery's endpoint list.
pub fn endpoint(backend: usize, addr: SocketAddr, state: &str) -> Value {
    json!({"instanceId": format!("s-{backend}"), "hostPort": addr.to_string(), "zone": "regina-dc1",
           "machineType": "m2", "cell": backend, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

/// Stand-in discovery. It keeps each watch open until the test publishes a change or a failure.
pub struct DiscoveryStandIn {
    pub addr: SocketAddr,
    responses: Sender<String>,
    requests: Receiver<()>,
    first_request_seen: Cell<bool>,
    generation: Cell<u64>,
}

impl DiscoveryStandIn {
    pub fn start() -> Self {
        let (listener, addr) = listener();
        let (responses, next_response) = channel::<String>();
        let (on_request, requests) = channel();
        std::thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let mut lines = BufReader::new(socket.try_clone().expect("clone the socket")).lines();
                // A request head ends with an empty line; a GET has no body.
                while lines.by_ref().map_while(Result::ok).any(|line| line.is_empty()) {
                    on_request.send(()).expect("the test still runs");
                    let Ok(response) = next_response.recv() else { return };
                    if socket.write_all(response.as_bytes()).is_err() {
                        break;
                    }
                }
            }
        });
        Self { addr, responses, requests, first_request_seen: Cell::new(false), generation: Cell::new(1) }
    }

    /// Answers the pending watch with a delta that holds this endpoint.
    pub fn publish(&self, endpoint: &Value) {
        self.generation.set(self.generation.get() + 1);
        let list = json!({"generation": self.generation.get(), "reset": false, "instances": [endpoint]});
        self.respond("200 OK", &list.to_string());
    }

    /// Answers the pending watch with status 503.
    pub fn fail(&self) {
        self.respond("503 Service Unavailable", "");
    }

    /// Answers the pending watch, and waits for the next request: the program has then read this response.
    fn respond(&self, status: &str, body: &str) {
        if !self.first_request_seen.replace(true) {
            self.requests.recv_timeout(TEST_TIMEOUT).expect("a watch");
        }
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        self.responses.send(head + body).expect("discovery runs");
        self.requests.recv_timeout(TEST_TIMEOUT).expect("the next watch");
    }
}

/// Describes a response body in the form that transcripts use.
pub fn describe_body(body: &Value) -> String {
    let mark = if body["total"] == true { "whole" } else { "partial" };
    let value = |a: &Value| match a["blob"].as_str().unwrap_or_default() {
        long if long.len() > 100 => format!(" {}=({} bytes)", a["range"], long.len()),
        blob => format!(" {}={blob}", a["range"]),
    };
    let values: Vec<String> = body["answers"].as_array().into_iter().flatten().map(value).collect();
    mark.to_owned() + &values.concat()
}

/// Sends a request and reads the response to the end of the connection: its status, head and body. `None` if the
/// connection breaks.
pub fn exchange(mut socket: &TcpStream, request: &str) -> Option<(u16, String, String)> {
    socket.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_owned(), body.to_owned()))
}

/// A query as an HTTP request that closes the connection.
pub fn http_request(query: &Query) -> String {
    let (Query { id, kind, deadline_ms: ms, .. }, body) = (query, query.body.to_string());
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n\
         Req-Deadline-Ms: {ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a query over HTTP and passes a description of the response to `on_response`. The returned function
/// disconnects the client.
pub fn send_query(
    addr: SocketAddr,
    query: Query,
    on_response: impl Fn(String) + Send + 'static,
) -> Box<dyn FnOnce()> {
    let socket = TcpStream::connect(addr).expect("connect");
    let closer = socket.try_clone().expect("clone the socket");
    std::thread::spawn(move || {
        let Some((status, head, text)) = exchange(&socket, &http_request(&query)) else { return };
        let response: Value = serde_json::from_str(&text).expect("a body");
        let has_advice = head.contains("\r\nRetry-After: ");
        on_response(match status {
            200 => describe_body(&response),
            503 => format!("refused{}", if has_advice { ", with advice" } else { "" }),
            502 => "failed".to_owned(),
            504 => "time up".to_owned(),
            400 => format!("invalid: {}", response["error"].as_str().unwrap_or_default()),
            other => format!("status {other:?}"),
        });
    });
    Box::new(move || closer.shutdown(Shutdown::Both).expect("shut down the socket"))
}

/// Decides how a scripted backend answers a part, from the backend's number, the query's id, the shard and the
/// query's text: an outcome and a value, or `None` for no answer.
pub type FrameScript =
    std::sync::Arc<dyn Fn(usize, &str, u32, &str) -> Option<(String, String)> + Send + Sync>;

/// Starts a backend that speaks frames and answers by a script.
pub fn scripted_frame_backend(
    number: usize,
    script: FrameScript,
    attempts: crate::columns::AttemptCounts,
) -> SocketAddr {
    let (listener, addr) = listener();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (script, attempts) = (script.clone(), attempts.clone());
            std::thread::spawn(move || answer_all(number, socket, &script, &attempts));
        }
    });
    addr
}

/// Answers every part of a connection by the script, and every health check.
fn answer_all(
    number: usize,
    mut socket: TcpStream,
    script: &FrameScript,
    attempts: &crate::columns::AttemptCounts,
) -> Option<()> {
    loop {
        let (letter, text) = read_frame(&mut socket)?;
        if letter == b'o' {
            socket.write_all(&frame(b'o', "good")).ok()?;
        }
        let mut text = if letter == b'm' { text.as_str() } else { "" };
        while let Some((line, rest)) = text.split_once('\n') {
            let words: Vec<&str> = line.split(' ').collect();
            let (id, shard) = (words[0], words[1].parse::<u32>().ok()?);
            let (carried, after) = rest.split_at(words[3].parse().ok()?);
            text = after;
            let query = id.rsplit_once('.')?.0;
            *attempts.lock().ok()?.entry((query.to_owned(), shard)).or_default() += 1;
            if let Some((outcome, value)) = script(number, query, shard, carried) {
                socket.write_all(&frame(b'q', &format!("{id} {outcome} 0 util=0.5\n{value}"))).ok()?;
            }
        }
    }
}
