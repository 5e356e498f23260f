//! Backends, discovery and clients that the test drives by hand. The test sends and awaits every byte, so it
//! decides the order of concurrent events instead of the scheduler. Nothing here runs in the background.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_ins::endpoint;
use crate::{config, Program, TEST_TIMEOUT};

/// A TCP connection to the program, from either side.
pub struct Connection(pub TcpStream);

/// A listener on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("bind to a free port")
}

/// Accepts the next connection that the program opens to this listener; panics if none comes in time.
pub fn accept(listener: &TcpListener) -> Connection {
    accept_within(listener, TEST_TIMEOUT).expect("the program connects")
}

/// Accepts the next connection, if one comes within this time.
pub fn accept_within(listener: &TcpListener, timeout: Duration) -> Option<Connection> {
    listener.set_nonblocking(true).expect("set the blocking mode");
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        match listener.accept() {
            Ok((socket, _)) => return Some(Connection::of(socket)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_millis(2)),
            Err(e) => panic!("accept failed: {e}"),
        }
    }
    None
}

impl Connection {
    fn of(socket: TcpStream) -> Self {
        socket.set_nonblocking(false).expect("set the blocking mode");
        socket.set_nodelay(true).expect("set TCP_NODELAY");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        Self(socket)
    }

    /// Connects as a client.
    pub fn connect(addr: SocketAddr) -> Self {
        Self::of(TcpStream::connect(addr).expect("connect"))
    }

    /// Sends all bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.write_all(bytes.as_ref()).expect("the program reads");
    }

    /// As [`Connection::send`], to a peer that may close the connection before it has read everything. Returns
    /// whether it did.
    pub fn send_until_closed(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        match self.0.write_all(bytes.as_ref()) {
            Err(e) if matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => true,
            result => {
                result.expect("the program reads");
                false
            }
        }
    }

    /// Reads up to and including the next empty line; panics if the connection ends first.
    pub fn head(&mut self) -> String {
        self.try_read_head().expect("a complete head")
    }

    /// As [`Connection::head`]; `None` if the connection ends first.
    pub fn try_read_head(&mut self) -> Option<String> {
        let (mut text, mut byte) = (Vec::new(), [0]);
        while !text.ends_with(b"\r\n\r\n") {
            match self.0.read(&mut byte) {
                Ok(1) => text.push(byte[0]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    panic!("timed out reading a head; received so far: {text:?}")
                }
                _ => return None,
            }
        }
        Some(String::from_utf8(text).expect("text"))
    }

    /// Reads a response with a `Content-Length`: its status and body. `None` if the connection ends before it is
    /// complete.
    pub fn response(&mut self) -> Option<(u16, String)> {
        let head = self.try_read_head()?;
        let length = head.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
        let mut body = vec![0; length.map_or(0, |(length, _)| length.parse().expect("a length"))];
        self.0.read_exact(&mut body).ok()?;
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
        Some((status.expect("a status"), String::from_utf8(body).expect("text")))
    }

    /// Reads the next frame: its kind letter and its payload. `None` if the connection ends before it is complete.
    pub fn frame(&mut self) -> Option<(u8, String)> {
        let mut head = [0; 5];
        self.0
            .read_exact(&mut head)
            .map_err(|e| assert!(e.kind() != ErrorKind::WouldBlock, "timed out reading a frame"))
            .ok()?;
        let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
        self.0.read_exact(&mut rest).ok()?;
        Some((head[4], String::from_utf8(rest).expect("text")))
    }

    /// Reads frames up to the next one with parts and returns those. Answers health checks; ignores all else.
    pub fn next_parts(&mut self) -> Vec<Part> {
        loop {
            match self.frame().expect("a frame with parts") {
                (b'm', text) => return parts(&text),
                (b'o', _) => self.send(frame(b'o', "good")),
                _ => {}
            }
        }
    }

    /// Answers a part with an outcome and a value.
    pub fn answer_part(&mut self, part: &Part, outcome: &str, value: &str) {
        self.send(frame(b'q', &format!("{} {outcome} 0 util=0.5\n{value}", part.id)));
    }

    /// Waits for the peer to close or reset the connection. `false` if bytes come instead, or nothing in time.
    pub fn is_closed_by_peer(&mut self) -> bool {
        match self.0.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    /// Closes the connection with a reset instead of a clean end.
    pub fn reset(self) {
        let linger = Some(Duration::ZERO);
        socket2::SockRef::from(&self.0).set_linger(linger).expect("set SO_LINGER");
    }

    /// Answers a discovery request with these endpoints, as a snapshot or as a delta.
    pub fn send_endpoint_list(&mut self, generation: u64, snapshot: bool, endpoints: &[Value]) {
        let body = endpoint_list(generation, snapshot, endpoints);
        self.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
}

/// An endpoint list in discovery's format, as a snapshot or as a delta.
pub fn endpoint_list(generation: u64, snapshot: bool, endpoints: &[Value]) -> String {
    json!({"generation": generation, "reset": snapshot, "instances": endpoints}).to_string()
}

/// A part as a backend received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The query's id, a dot and the shard.
    pub id: String,
    pub shard: u32,
    /// The time left for the part that the program announced, in milliseconds.
    pub timeout_ms: u64,
}

/// Encodes a frame with this kind letter and payload.
pub fn frame(letter: u8, payload: &str) -> Vec<u8> {
    let length = u32::try_from(payload.len() + 1).expect("a short frame");
    [&length.to_be_bytes()[..], &[letter], payload.as_bytes()].concat()
}

/// Serves a backend's connections in the background: each part is answered with this value after this time, each health
/// check at once.
pub fn answer_all_parts(listener: &TcpListener, work: Duration, value: String) {
    let listener = listener.try_clone().expect("clone the listener");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let value = value.clone();
            std::thread::spawn(move || answer_parts(Connection(socket), work, &value));
        }
    });
}

fn answer_parts(mut connection: Connection, work: Duration, value: &str) {
    while let Some((kind, text)) = connection.frame() {
        let mut answers = Connection(connection.0.try_clone().expect("clone the socket"));
        let frames: Vec<u8> = match kind {
            b'm' => {
                let answer = |part: &Part| frame(b'q', &format!("{} good 0 util=0.5\n{value}", part.id));
                parts(&text).iter().flat_map(answer).collect()
            }
            b'o' => frame(b'o', "good"),
            _ => continue,
        };
        std::thread::spawn(move || {
            std::thread::sleep(if kind == b'm' { work } else { Duration::ZERO });
            answers.send_until_closed(frames);
        });
    }
}

/// Decodes the parts of a frame.
fn parts(mut text: &str) -> Vec<Part> {
    let mut all = Vec::new();
    while let Some((line, rest)) = text.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let timeout_ms = words[2].strip_prefix("d=").and_then(|ms| ms.parse().ok()).expect("a timeout");
        all.push(Part { id: words[0].to_owned(), shard: words[1].parse().expect("a shard"), timeout_ms });
        text = &rest[words[3].parse::<usize>().expect("a length")..];
    }
    all
}

/// A query as an HTTP request that keeps the connection open.
pub fn query(id: &str, kind: &str, ms: u64, shards: &[u32]) -> String {
    query_with_text(id, kind, ms, shards, "c41e77d0")
}

/// As [`query`], with this text for the backends.
pub fn query_with_text(id: &str, kind: &str, ms: u64, shards: &[u32], text: &str) -> String {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> = shards.iter().map(|s| json!({"range": s, "portion": portion})).collect();
    let body = json!({"ranges": ranges, "predicate": text}).to_string();
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n\
         Req-Deadline-Ms: {ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// TCP states in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";
const SYN_RECV: &str = "03";
const FIN_WAIT: &str = "04";
const FIN_WAIT_2: &str = "05";

/// A program whose backends and discovery are listeners that the test drives.
pub struct TestBed {
    pub program: Program,
    pub backends: Vec<TcpListener>,
    pub discovery: TcpListener,
}

impl TestBed {
    /// Starts the program with this many backends in its cached endpoint list. `change` edits its configuration last.
    pub fn start(backends: usize, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with_descriptors(backends, 1024, change)
    }

    /// As [`TestBed::start`], with this limit of descriptors.
    pub fn start_with_descriptors(
        backends: usize,
        descriptors: u32,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": []}});
        Self::start_with(backends, descriptors, &operator, change)
    }

    /// As [`TestBed::start`], without an operator's file, as on the platform.
    pub fn start_without_flight(backends: usize, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with(backends, 1024, &json!({}), change)
    }

    /// As [`TestBed::start`], with backends that the program reaches over Flight.
    pub fn start_with_flight(backends: usize, change: impl FnOnce(&mut Value)) -> Self {
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": "all"}});
        Self::start_with(backends, 1024, &operator, change)
    }

    fn start_with(
        backends: usize,
        descriptors: u32,
        operator: &Value,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let backends: Vec<TcpListener> = (0..backends).map(|_| listener()).collect();
        let discovery = listener();
        let addrs: Vec<SocketAddr> = backends.iter().map(addr).collect();
        let mut file = config(&addrs, addr(&discovery));
        change(&mut file);
        Self { program: Program::start(&file, operator, descriptors), backends, discovery }
    }

    /// The entry of a backend in the endpoint list.
    pub fn endpoint(&self, backend: usize, state: &str) -> Value {
        endpoint(backend, addr(&self.backends[backend]), state)
    }

    /// The entries of all backends, each in this state.
    pub fn endpoints(&self, state: &str) -> Vec<Value> {
        (0..self.backends.len()).map(|backend| self.endpoint(backend, state)).collect()
    }

    /// Connects a client over HTTP.
    pub fn client(&self) -> Connection {
        Connection::connect(self.program.http)
    }

    /// Waits until the program has logged a line with this text; panics if none comes in time.
    pub fn wait_for_log(&self, text: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.has_logged(text) {
            assert!(Instant::now() < deadline, "no log line contains {text}: {:#?}", self.program.log.lock());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns whether the program has logged a line with this text so far.
    pub fn has_logged(&self, text: &str) -> bool {
        self.program.log.lock().expect("lock is not poisoned").iter().any(|line| line.contains(text))
    }

    /// Waits until the program exits, and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.program.child.wait().expect("an exit code").code()
    }
}

/// The address of a listener.
pub fn addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("local address")
}

/// A listener whose backlog is full, so that connect attempts stay unanswered until [`StalledListener::release`].
pub struct StalledListener<'a> {
    listener: &'a TcpListener,
    /// Occupies the only slot of the backlog.
    _filler: TcpStream,
}

impl<'a> StalledListener<'a> {
    /// Fills the listener's backlog.
    pub fn stall(listener: &'a TcpListener) -> Self {
        socket2::SockRef::from(listener).listen(0).expect("set the backlog");
        let filler = TcpStream::connect(addr(listener)).expect("connect");
        Self { listener, _filler: filler }
    }

    /// Waits until exactly this many connect attempts are pending.
    pub fn wait_for_attempts(&self, attempts: usize) {
        let port = format!(":{:04X}", addr(self.listener).port());
        // Columns: index, local address, remote address, state. State 02 is SYN_SENT.
        let is_pending = |line: &&str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            words[2].ends_with(&port) && words[3] == "02"
        };
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the connection table");
            if sockets.lines().filter(is_pending).count() == attempts {
                return;
            }
            assert!(Instant::now() < deadline, "expected {attempts} pending connect attempts: {sockets}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Lets connect attempts succeed and accepts the first. It comes with the next retransmission of a SYN, up to a
    /// second later.
    pub fn release(self) -> Connection {
        drop(accept(self.listener));
        socket2::SockRef::from(self.listener).listen(128).expect("set the backlog");
        accept(self.listener)
    }
}

impl Connection {
    /// Reads a Flight connection up to its first stream; returns the headers of that stream.
    pub fn read_first_stream_headers(&mut self) -> Vec<(String, String)> {
        let mut read = |length: usize| {
            let mut bytes = vec![0; length];
            self.0.read_exact(&mut bytes).expect("the program writes HTTP/2");
            bytes
        };
        assert!(read(24).starts_with(b"PRI * HTTP/2.0"));
        loop {
            let head = read(9);
            let mut payload = read(u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize);
            if head[3] == crate::raw_http2::HEADERS {
                let mut headers = Vec::new();
                httlib_hpack::Decoder::default()
                    .decode(&mut payload, &mut headers)
                    .expect("decode the headers");
                let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
                return headers.into_iter().map(|(name, value, _)| (text(name), text(value))).collect();
            }
        }
    }
}

/// Gives connections to this listener a small receive buffer, so that unread bytes soon block the sender.
pub fn limit_receive_buffer(listener: &TcpListener) {
    socket2::SockRef::from(listener).set_recv_buffer_size(4096).expect("set the receive buffer size");
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Clean,
    Reset,
}

impl Connection {
    /// Reads to the end of the connection; returns the text and how the connection ended.
    pub fn read_to_end(&mut self) -> (String, ConnectionEnd) {
        let mut bytes = Vec::new();
        let end = match self.0.read_to_end(&mut bytes) {
            Ok(_) => ConnectionEnd::Clean,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                panic!("the connection did not end; received {} bytes so far", bytes.len())
            }
            Err(_) => ConnectionEnd::Reset,
        };
        (String::from_utf8(bytes).expect("text"), end)
    }

    /// Closes the sending side only.
    pub fn shut_down_writing(&self) {
        self.0.shutdown(std::net::Shutdown::Write).expect("shut down the socket");
    }

    /// Connects as a client with a receive buffer of a few KB, so that unread responses soon block the program.
    pub fn connect_with_small_buffer(addr: SocketAddr) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_recv_buffer_size(4096).expect("set the receive buffer size");
        socket.connect(&addr.into()).expect("connect");
        Self::of(socket.into())
    }
}

impl TestBed {
    /// Stops the program with SIGSTOP, so that everything sent until [`TestBed::resume`] is ready in the same
    /// event-loop iteration.
    pub fn pause(&self) {
        self.program.signal(libc::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.program.child.id());
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !std::fs::read_to_string(&stat).expect("the process runs").contains(") T ") {
            assert!(Instant::now() < deadline, "the program does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Continues the program once everything sent to it has arrived: a busy machine delivers late even on loopback.
    pub fn resume(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.all_delivered() {
            assert!(Instant::now() < deadline, "bytes are still in transit");
            std::thread::sleep(Duration::from_millis(1));
        }
        self.program.signal(libc::SIGCONT);
    }

    /// Returns whether no bytes, FINs or resets are in transit to the program, according to `/proc/net/tcp`.
    fn all_delivered(&self) -> bool {
        let fds =
            std::fs::read_dir(format!("/proc/{}/fd", self.program.child.id())).expect("the process runs");
        let links = fds.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        let sockets: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the connection table");
        let rows: Vec<Vec<&str>> = table.lines().skip(1).map(|l| l.split_whitespace().collect()).collect();
        let client_port = format!(":{:04X}", self.program.http.port());
        // Columns: 1 local address, 2 remote address, 3 state, 4 send and receive queues, 9 inode.
        let belongs_to_program = |row: &&Vec<&str>| {
            row[1].ends_with(&client_port) || sockets.contains(&format!("socket:[{}]", row[9]))
        };
        rows.iter().filter(belongs_to_program).all(|row| {
            let peer = rows.iter().find(|peer| (peer[1], peer[2]) == (row[2], row[1]));
            match peer {
                Some(peer) => row[3] != SYN_RECV && peer[3] != FIN_WAIT && peer[4].starts_with("00000000:"),
                None => row[3] != ESTABLISHED && row[3] != SYN_RECV,
            }
        })
    }

    /// Waits until the program has closed its sending side of this client's connection, according to
    /// `/proc/net/tcp`.
    pub fn wait_for_half_close(&self, client: SocketAddr) {
        let (deadline, remote_port) = (Instant::now() + TEST_TIMEOUT, format!(":{:04X}", client.port()));
        let is_half_closed = |line: &str| {
            let row: Vec<&str> = line.split_whitespace().collect();
            row[2].ends_with(&remote_port) && [FIN_WAIT, FIN_WAIT_2].contains(&row[3])
        };
        while !std::fs::read_to_string("/proc/net/tcp")
            .expect("the connection table")
            .lines()
            .skip(1)
            .any(is_half_closed)
        {
            assert!(Instant::now() < deadline, "the program did not close its sending side");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns how many descriptors the program holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.program.child.id())).expect("the process runs").count()
    }

    /// Waits until the program holds at most this many descriptors.
    pub fn wait_for_descriptors(&self, most: usize) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.descriptors() > most {
            assert!(Instant::now() < deadline, "{} descriptors, expected at most {most}", self.descriptors());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// What a backend receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendInput {
    /// A part, and the index of the backend's connection on which it came.
    Part(usize, Part),
    /// The cancellation of the part with this id.
    Cancelled(String),
}

/// A backend with all connections that the program opens to it. It answers health checks itself.
pub struct ManualBackend {
    listener: TcpListener,
    connections: Vec<Option<Connection>>,
    inputs: std::collections::VecDeque<BackendInput>,
}

impl ManualBackend {
    pub fn new(listener: TcpListener) -> Self {
        Self { listener, connections: Vec::new(), inputs: std::collections::VecDeque::new() }
    }

    /// Reads what has arrived; returns whether any connection is open.
    pub fn poll(&mut self) -> bool {
        let accepted = accept_within(&self.listener, Duration::from_millis(1));
        self.connections.extend(accepted.map(Some));
        for (index, slot) in self.connections.iter_mut().enumerate() {
            let Some(connection) = slot else { continue };
            connection.0.set_nonblocking(true).expect("set the blocking mode");
            let peeked = connection.0.peek(&mut [0]);
            connection.0.set_nonblocking(false).expect("set the blocking mode");
            match peeked {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(1) => match connection.frame() {
                    Some((b'm', text)) => {
                        self.inputs
                            .extend(parts(&text).into_iter().map(|part| BackendInput::Part(index, part)));
                    }
                    Some((b'n', id)) => self.inputs.push_back(BackendInput::Cancelled(id)),
                    Some((b'o', _)) => connection.send(frame(b'o', "good")),
                    Some(_) => {}
                    None => *slot = None,
                },
                _ => *slot = None,
            }
        }
        self.connections.iter().any(Option::is_some)
    }

    /// Waits for the next input; panics if none comes in time.
    pub fn next_input(&mut self) -> BackendInput {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(input) = self.inputs.pop_front() {
                return input;
            }
            assert!(Instant::now() < deadline, "the backend receives nothing");
            self.poll();
        }
    }

    /// Waits for the next input; `None` once the program has closed all connections.
    pub fn next_input_or_end(&mut self) -> Option<BackendInput> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.inputs.is_empty() && (self.poll() || self.connections.is_empty()) {
            assert!(Instant::now() < deadline, "the program keeps its connections open");
        }
        self.inputs.pop_front()
    }

    /// Waits for the next part and the index of its connection; panics if another input comes first.
    pub fn next_part(&mut self) -> (usize, Part) {
        match self.next_input() {
            BackendInput::Part(index, part) => (index, part),
            other => panic!("expected a part, got {other:?}"),
        }
    }

    /// Answers a part on its connection.
    pub fn answer_part(&mut self, (index, part): &(usize, Part), outcome: &str, value: &str) {
        self.connections[*index].as_mut().expect("an open connection").answer_part(part, outcome, value);
    }

    /// Waits for the next part and answers it with this value.
    pub fn answer_next_part(&mut self, value: &str) -> Part {
        let part = self.next_part();
        self.answer_part(&part, "good", value);
        part.1
    }

    /// Returns all further inputs until the program has closed all connections.
    pub fn remaining_inputs(mut self) -> Vec<BackendInput> {
        self.poll();
        if self.connections.is_empty() && self.inputs.is_empty() {
            return Vec::new();
        }
        std::iter::from_fn(|| self.next_input_or_end()).collect()
    }
}
