//! Stand-ins on the platform's own wires: a host that takes frames, discovery, and an HTTP client.

use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

use serde_json::{json, Value};

use super::{BackendReply, Event, Query, TEST_TIMEOUT};

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let length = u32::try_from(rest.len() + 1).expect("a short frame");
    [&length.to_be_bytes()[..], &[letter], rest.as_bytes()].concat()
}

/// A host that takes frames; whether it leaves probes to the scenario.
pub fn frame_backend(number: usize, events: Sender<Event>, probes: bool) -> SocketAddr {
    let (listener, addr) = listener();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let events = events.clone();
            std::thread::spawn(move || {
                serve(number, socket, &events, probes);
                drop(events.send(Event::ConnectionClosed));
            });
        }
    });
    addr
}

/// The next frame: its letter and the rest.
fn read_frame(socket: &mut TcpStream) -> Option<(u8, String)> {
    let mut head = [0; 5];
    socket.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut rest = vec![0; length - 1];
    socket.read_exact(&mut rest).ok()?;
    Some((head[4], String::from_utf8(rest).expect("text")))
}

fn serve(number: usize, mut socket: TcpStream, events: &Sender<Event>, probes: bool) -> Option<()> {
    loop {
        let (letter, text) = read_frame(&mut socket)?;
        match letter {
            b'm' => call(number, &text, &socket, events),
            b'n' => {
                let shard = text.rsplit('.').next().and_then(|s| s.parse().ok());
                drop(events.send(Event::Cancel(shard.expect("a part's id"))));
            }
            b'o' if probes => {
                let socket = socket.try_clone().ok()?;
                let reply = move || (&socket).write_all(&frame(b'o', "good")).expect("a connection");
                drop(events.send(Event::HealthCheck(Box::new(reply))));
            }
            b'o' => socket.write_all(&frame(b'o', "good")).ok()?,
            letter => panic!("a frame {letter}"),
        }
    }
}

fn call(number: usize, mut text: &str, socket: &TcpStream, events: &Sender<Event>) {
    while let Some((line, rest)) = text.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { panic!("a line {line}") };
        assert!(id.ends_with(&format!(".{shard}")) && list.starts_with("d="), "{line}");
        let (carried, after) = rest.split_at(length.parse().expect("a length"));
        assert_eq!(carried, "c41e77d0", "the query's text goes on unchanged");
        text = after;
        let (id, socket) = (id.to_owned(), socket.try_clone().expect("a socket"));
        let reply = move |reply: BackendReply| match reply {
            BackendReply::Outcome(end, _) if end == "nonsense" => {
                (&socket).write_all(&frame(b'z', "")).expect("room")
            }
            BackendReply::Outcome(end, value) => {
                let good = frame(b'q', &format!("{id} good 0 util=0.5\n{value}"));
                let answer = match &*end {
                    "stray" => frame(b'q', &format!("x{id} good 0 util=0.5\n{value}")),
                    "half" => good[..good.len() - 1].to_vec(),
                    "twice" => [good.clone(), good].concat(),
                    "noisy" => {
                        let report = [&b"=\xff= "[..], b"\n", value.as_bytes()].concat();
                        let line = format!("q{id} good 0 ").into_bytes();
                        let length = u32::try_from(line.len() + report.len()).expect("a short frame");
                        [&length.to_be_bytes()[..], &line, &report, b"\0\0\x01\0q"].concat()
                    }
                    end => frame(b'q', &format!("{id} {end} 0 util=0.5\n{value}")),
                };
                (&socket).write_all(&answer).expect("a connection");
            }
            BackendReply::Disconnect => socket.shutdown(Shutdown::Both).expect("a connection"),
        };
        drop(events.send(Event::Part(number, shard.parse().expect("a shard"), Box::new(reply))));
    }
}

pub fn endpoint(host: usize, addr: SocketAddr, state: &str) -> Value {
    json!({"instanceId": format!("s-{host}"), "hostPort": addr.to_string(), "zone": "regina-dc1",
           "machineType": "m2", "cell": host, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

/// Discovery: holds each watch until there is something to tell.
pub struct DiscoveryStandIn {
    pub addr: SocketAddr,
    news: Sender<String>,
    asked: Receiver<()>,
    asked_again: Cell<bool>,
    generation: Cell<u64>,
}

impl DiscoveryStandIn {
    pub fn start() -> Self {
        let (listener, addr) = listener();
        let (news, told) = channel::<String>();
        let (ask, asked) = channel();
        std::thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let mut lines = BufReader::new(socket.try_clone().expect("a socket")).lines();
                // A head ends with an empty line; nothing follows a GET.
                while lines.by_ref().map_while(Result::ok).any(|line| line.is_empty()) {
                    ask.send(()).expect("a test");
                    let Ok(answer) = told.recv() else { return };
                    if socket.write_all(answer.as_bytes()).is_err() {
                        break;
                    }
                }
            }
        });
        Self { addr, news, asked, asked_again: Cell::new(false), generation: Cell::new(1) }
    }

    pub fn publish(&self, endpoint: &Value) {
        self.generation.set(self.generation.get() + 1);
        let list = json!({"generation": self.generation.get(), "reset": false, "instances": [endpoint]});
        self.answer("200 OK", &list.to_string());
    }

    pub fn fail(&self) {
        self.answer("503 Service Unavailable", "");
    }

    /// Answers the watch. The program has read that once it asks again.
    fn answer(&self, status: &str, body: &str) {
        if !self.asked_again.replace(true) {
            self.asked.recv_timeout(TEST_TIMEOUT).expect("a watch");
        }
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        self.news.send(head + body).expect("discovery runs");
        self.asked.recv_timeout(TEST_TIMEOUT).expect("the next watch");
    }
}

/// What a transcript says of an answer's body.
pub fn describe_body(body: &Value) -> String {
    let mark = if body["total"] == true { "whole" } else { "partial" };
    let value = |a: &Value| match a["blob"].as_str().unwrap_or_default() {
        long if long.len() > 100 => format!(" {}=({} bytes)", a["range"], long.len()),
        blob => format!(" {}={blob}", a["range"]),
    };
    let values: Vec<String> = body["answers"].as_array().into_iter().flatten().map(value).collect();
    mark.to_owned() + &values.concat()
}

/// Sends a request and reads the response: its status, head and body. `None` if the connection breaks.
pub fn exchange(mut socket: &TcpStream, request: &str) -> Option<(u16, String, String)> {
    socket.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_owned(), body.to_owned()))
}

/// A query as an HTTP request.
pub fn http_request(query: &Query) -> String {
    let (Query { id, kind, deadline_ms: ms, .. }, body) = (query, query.body.to_string());
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n\
         Req-Deadline-Ms: {ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// An HTTP client; the returned call makes it go away.
pub fn send_query(
    addr: SocketAddr,
    query: Query,
    answer: impl Fn(String) + Send + 'static,
) -> Box<dyn FnOnce()> {
    let socket = TcpStream::connect(addr).expect("a connection");
    let closer = socket.try_clone().expect("a socket");
    std::thread::spawn(move || {
        let Some((status, head, got)) = exchange(&socket, &http_request(&query)) else { return };
        let got: Value = serde_json::from_str(&got).expect("a body");
        let advice = head.contains("\r\nRetry-After: ");
        answer(match status {
            200 => describe_body(&got),
            503 => format!("refused{}", if advice { ", with advice" } else { "" }),
            502 => "failed".to_owned(),
            504 => "time up".to_owned(),
            400 => format!("invalid: {}", got["error"].as_str().unwrap_or_default()),
            other => format!("status {other:?}"),
        });
    });
    Box::new(move || closer.shutdown(Shutdown::Both).expect("a connection"))
}

/// What a host by script answers to a part: its end and value; `None` for silence.
pub type FrameScript =
    std::sync::Arc<dyn Fn(usize, &str, u32, &str) -> Option<(String, String)> + Send + Sync>;

/// A host on frames that answers by a script, which is given its number, the query, the shard and the text.
pub fn scripted_frame_backend(
    number: usize,
    script: FrameScript,
    runs: crate::columns::AttemptCounts,
) -> SocketAddr {
    let (listener, addr) = listener();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (script, runs) = (script.clone(), runs.clone());
            std::thread::spawn(move || answer_all(number, socket, &script, &runs));
        }
    });
    addr
}

fn answer_all(
    number: usize,
    mut socket: TcpStream,
    script: &FrameScript,
    runs: &crate::columns::AttemptCounts,
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
            *runs.lock().ok()?.entry((query.to_owned(), shard)).or_default() += 1;
            if let Some((end, value)) = script(number, query, shard, carried) {
                socket.write_all(&frame(b'q', &format!("{id} {end} 0 util=0.5\n{value}"))).ok()?;
            }
        }
    }
}
