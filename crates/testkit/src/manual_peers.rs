//! Peers by hand: hosts, discovery and clients whose every byte is sent and waited for by the test, so that two
//! events cross in the order that it says and not as the machine has it. Nothing here runs by itself.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_ins::endpoint;
use crate::{config, Program, TEST_TIMEOUT};

/// One end of a connection.
pub struct Connection(pub TcpStream);

/// A listener on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// The next connection that the program opens to this listener.
pub fn accept(listener: &TcpListener) -> Connection {
    accept_within(listener, TEST_TIMEOUT).expect("the program connects")
}

/// The next connection, if one comes within that time.
pub fn accept_within(listener: &TcpListener, time: Duration) -> Option<Connection> {
    listener.set_nonblocking(true).expect("a listener");
    let until = Instant::now() + time;
    while Instant::now() < until {
        match listener.accept() {
            Ok((socket, _)) => return Some(Connection::of(socket)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_millis(2)),
            Err(e) => panic!("accepting: {e}"),
        }
    }
    None
}

impl Connection {
    fn of(socket: TcpStream) -> Self {
        socket.set_nonblocking(false).expect("a socket");
        socket.set_nodelay(true).expect("a socket");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Self(socket)
    }

    /// A client's connection.
    pub fn connect(addr: SocketAddr) -> Self {
        Self::of(TcpStream::connect(addr).expect("a connection"))
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.write_all(bytes.as_ref()).expect("the program reads");
    }

    /// As [`Connection::send`] to a side that may close the connection before it has read everything: whether it did.
    pub fn send_until_closed(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        match self.0.write_all(bytes.as_ref()) {
            Err(e) if matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => true,
            sent => {
                sent.expect("the program reads");
                false
            }
        }
    }

    /// Reads up to and with the next empty line; panics if the connection ends before.
    pub fn head(&mut self) -> String {
        self.try_read_head().expect("a whole head")
    }

    /// As [`Connection::head`]; `None` if the connection ends before.
    pub fn try_read_head(&mut self) -> Option<String> {
        let (mut text, mut byte) = (Vec::new(), [0]);
        while !text.ends_with(b"\r\n\r\n") {
            match self.0.read(&mut byte) {
                Ok(1) => text.push(byte[0]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => panic!("nothing came; so far {text:?}"),
                _ => return None,
            }
        }
        Some(String::from_utf8(text).expect("text"))
    }

    /// Reads a response with a length: its status and body. `None` if the connection ends before it is whole.
    pub fn response(&mut self) -> Option<(u16, String)> {
        let head = self.try_read_head()?;
        let length = head.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
        let mut body = vec![0; length.map_or(0, |(length, _)| length.parse().expect("a length"))];
        self.0.read_exact(&mut body).ok()?;
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
        Some((status.expect("a status"), String::from_utf8(body).expect("text")))
    }

    /// The next frame: its letter and the rest. `None` if the connection ends before it is whole.
    pub fn frame(&mut self) -> Option<(u8, String)> {
        let mut head = [0; 5];
        self.0
            .read_exact(&mut head)
            .map_err(|e| assert!(e.kind() != ErrorKind::WouldBlock, "no frame"))
            .ok()?;
        let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
        self.0.read_exact(&mut rest).ok()?;
        Some((head[4], String::from_utf8(rest).expect("text")))
    }

    /// The next call's parts; anything else that comes first is passed over.
    pub fn next_parts(&mut self) -> Vec<Part> {
        loop {
            match self.frame().expect("a call") {
                (b'm', text) => return parts(&text),
                (b'o', _) => self.send(frame(b'o', "good")),
                _ => {}
            }
        }
    }

    /// Ends a part.
    pub fn answer_part(&mut self, part: &Part, outcome: &str, value: &str) {
        self.send(frame(b'q', &format!("{} {outcome} 0 util=0.5\n{value}", part.id)));
    }

    /// Whether the other side closes or resets the connection, with nothing more to read before that.
    pub fn is_closed_by_peer(&mut self) -> bool {
        match self.0.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    /// Ends the connection with a reset, not a clean end.
    pub fn reset(self) {
        let linger = Some(Duration::ZERO);
        socket2::SockRef::from(&self.0).set_linger(linger).expect("a socket");
    }

    /// Answers a call for the list with these hosts.
    pub fn send_endpoint_list(&mut self, generation: u64, snapshot: bool, instances: &[Value]) {
        let body = endpoint_list(generation, snapshot, instances);
        self.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
}

/// A list of hosts as discovery words it.
pub fn endpoint_list(generation: u64, snapshot: bool, instances: &[Value]) -> String {
    json!({"generation": generation, "reset": snapshot, "instances": instances}).to_string()
}

/// A part as a host got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The query's id, a dot and the shard.
    pub id: String,
    pub shard: u32,
    /// How long the program said that it waits, in milliseconds.
    pub timeout_ms: u64,
}

/// A frame as a host writes it.
pub fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let length = u32::try_from(rest.len() + 1).expect("a short frame");
    [&length.to_be_bytes()[..], &[letter], rest.as_bytes()].concat()
}

fn parts(mut text: &str) -> Vec<Part> {
    let mut all = Vec::new();
    while let Some((line, rest)) = text.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let wait = words[2].strip_prefix("d=").and_then(|ms| ms.parse().ok()).expect("a wait");
        all.push(Part {
            id: words[0].to_owned(),
            shard: words[1].parse().expect("a shard"),
            timeout_ms: wait,
        });
        text = &rest[words[3].parse::<usize>().expect("a length")..];
    }
    all
}

/// A query as an HTTP request on a connection that stays.
pub fn query(id: &str, kind: &str, ms: u64, shards: &[u32]) -> String {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> = shards.iter().map(|s| json!({"range": s, "portion": portion})).collect();
    let body = json!({"ranges": ranges, "predicate": "c41e77d0"}).to_string();
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n\
         Req-Deadline-Ms: {ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// States in the system's table of connections.
const ESTABLISHED: &str = "01";
const SYN_RECV: &str = "03";
const FIN_WAIT: &str = "04";
const FIN_WAIT_2: &str = "05";

/// A program whose hosts and discovery are in the test's hands.
pub struct TestBed {
    pub program: Program,
    pub backends: Vec<TcpListener>,
    pub discovery: TcpListener,
}

impl TestBed {
    /// Starts it with so many hosts in the saved list; `change` has the last word on its configuration.
    pub fn start(hosts: usize, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with_descriptors(hosts, 1024, change)
    }

    /// The same with so many descriptors.
    pub fn start_with_descriptors(hosts: usize, descriptors: u32, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with(hosts, descriptors, &json!([]), change)
    }

    /// The same with hosts that are spoken to by Flight.
    pub fn start_with_flight(hosts: usize, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with(hosts, 1024, &json!("all"), change)
    }

    fn start_with(hosts: usize, descriptors: u32, flight: &Value, change: impl FnOnce(&mut Value)) -> Self {
        let hosts: Vec<TcpListener> = (0..hosts).map(|_| listener()).collect();
        let discovery = listener();
        let addrs: Vec<SocketAddr> = hosts.iter().map(addr).collect();
        let mut file = config(&addrs, addr(&discovery));
        change(&mut file);
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": flight}});
        Self { program: Program::start(&file, &operator, descriptors), backends: hosts, discovery }
    }

    /// A host as discovery tells it.
    pub fn endpoint(&self, host: usize, state: &str) -> Value {
        endpoint(host, addr(&self.backends[host]), state)
    }

    /// All hosts in one state.
    pub fn endpoints(&self, state: &str) -> Vec<Value> {
        (0..self.backends.len()).map(|host| self.endpoint(host, state)).collect()
    }

    pub fn client(&self) -> Connection {
        Connection::connect(self.program.http)
    }

    /// Waits until the program has written such a line.
    pub fn wait_for_log(&self, text: &str) {
        let until = Instant::now() + TEST_TIMEOUT;
        while !self.has_logged(text) {
            assert!(Instant::now() < until, "no line {text}: {:#?}", self.program.log.lock());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether it has written such a line so far.
    pub fn has_logged(&self, text: &str) -> bool {
        self.program.log.lock().expect("a sound lock").iter().any(|line| line.contains(text))
    }

    /// Whether the program has ended with this code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.program.child.wait().expect("an exit code").code()
    }
}

/// Where a listener stands.
pub fn addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// Dials to a listener that go unanswered until the test lets them come up.
pub struct StalledListener<'a> {
    listener: &'a TcpListener,
    /// Takes the only place in the backlog.
    _filler: TcpStream,
}

impl<'a> StalledListener<'a> {
    /// From now on nobody gets through to this listener.
    pub fn stall(listener: &'a TcpListener) -> Self {
        socket2::SockRef::from(listener).listen(0).expect("a listener");
        let filler = TcpStream::connect(addr(listener)).expect("the only place");
        Self { listener, _filler: filler }
    }

    /// Waits until so many dials hang.
    pub fn wait_for_attempts(&self, dials: usize) {
        let port = format!(":{:04X}", addr(self.listener).port());
        // Of each socket: a number, its own address, the other's, and its state; 02 is a SYN that was sent.
        let hangs = |line: &&str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            words[2].ends_with(&port) && words[3] == "02"
        };
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets");
            if sockets.lines().filter(hangs).count() == dials {
                return;
            }
            assert!(Instant::now() < until, "{dials} dials should hang: {sockets}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Lets dials come up, and gives the first; a SYN is sent again a second after the last one.
    pub fn release(self) -> Connection {
        drop(accept(self.listener));
        socket2::SockRef::from(self.listener).listen(128).expect("a listener");
        accept(self.listener)
    }
}

impl Connection {
    /// Reads a Flight connection up to its first stream: the header lines of that.
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
                let mut lines = Vec::new();
                httlib_hpack::Decoder::default().decode(&mut payload, &mut lines).expect("header lines");
                let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
                return lines.into_iter().map(|(name, value, _)| (text(name), text(value))).collect();
            }
        }
    }
}

/// Connections to this listener take few bytes that nobody reads.
pub fn limit_receive_buffer(listener: &TcpListener) {
    socket2::SockRef::from(listener).set_recv_buffer_size(4096).expect("a listener");
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Clean,
    Reset,
}

impl Connection {
    /// Reads to the end of the connection: what came, and how it ended.
    pub fn read_to_end(&mut self) -> (String, ConnectionEnd) {
        let mut bytes = Vec::new();
        let end = match self.0.read_to_end(&mut bytes) {
            Ok(_) => ConnectionEnd::Clean,
            Err(e) if e.kind() == ErrorKind::WouldBlock => panic!("no end; so far {} bytes", bytes.len()),
            Err(_) => ConnectionEnd::Reset,
        };
        (String::from_utf8(bytes).expect("text"), end)
    }

    /// Ends the sending side alone.
    pub fn shut_down_writing(&self) {
        self.0.shutdown(std::net::Shutdown::Write).expect("a connection");
    }

    /// A client's connection that takes no more than a few KB before it is read.
    pub fn connect_with_small_buffer(addr: SocketAddr) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a socket");
        socket.connect(&addr.into()).expect("a connection");
        Self::of(socket.into())
    }
}

impl TestBed {
    /// Halts the program, so that all that comes until [`TestBed::go_on`] is ready in one turn.
    pub fn pause(&self) {
        self.program.signal(libc::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.program.child.id());
        let until = Instant::now() + TEST_TIMEOUT;
        while !std::fs::read_to_string(&stat).expect("a process").contains(") T ") {
            assert!(Instant::now() < until, "it does not halt");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Lets it go on, once all that was sent to it has come: a busy system hands things over late.
    pub fn resume(&self) {
        let until = Instant::now() + TEST_TIMEOUT;
        while !self.all_has_come() {
            assert!(Instant::now() < until, "something is still on its way");
            std::thread::sleep(Duration::from_millis(1));
        }
        self.program.signal(libc::SIGCONT);
    }

    /// Whether no bytes, ends or resets are on their way to the program, by the system's table of connections.
    fn all_has_come(&self) -> bool {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", self.program.child.id())).expect("a process");
        let links = fds.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        let own: Vec<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table");
        let rows: Vec<Vec<&str>> = table.lines().skip(1).map(|l| l.split_whitespace().collect()).collect();
        let front = format!(":{:04X}", self.program.http.port());
        // Columns: 1 here, 2 there, 3 state, 4 bytes to be sent and read, 9 inode.
        let is_own =
            |row: &&Vec<&str>| row[1].ends_with(&front) || own.contains(&format!("socket:[{}]", row[9]));
        rows.iter().filter(is_own).all(|row| {
            let other = rows.iter().find(|other| (other[1], other[2]) == (row[2], row[1]));
            match other {
                Some(other) => {
                    row[3] != SYN_RECV && other[3] != FIN_WAIT && other[4].starts_with("00000000:")
                }
                None => row[3] != ESTABLISHED && row[3] != SYN_RECV,
            }
        })
    }

    /// Waits until the program has said to this client that nothing more will come, by the system's table.
    pub fn wait_for_half_close(&self, client: SocketAddr) {
        let (until, there) = (Instant::now() + TEST_TIMEOUT, format!(":{:04X}", client.port()));
        let is_shut = |line: &str| {
            let row: Vec<&str> = line.split_whitespace().collect();
            row[2].ends_with(&there) && [FIN_WAIT, FIN_WAIT_2].contains(&row[3])
        };
        while !std::fs::read_to_string("/proc/net/tcp").expect("the table").lines().skip(1).any(is_shut) {
            assert!(Instant::now() < until, "the connection is not shut");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// How many descriptors the program holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.program.child.id())).expect("a process").count()
    }

    /// Waits until the program holds no more descriptors than this.
    pub fn wait_for_descriptors(&self, most: usize) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.descriptors() > most {
            assert!(Instant::now() < until, "{} descriptors, not {most}", self.descriptors());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// What a host hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendInput {
    /// A part, and on which of the host's connections it came.
    Part(usize, Part),
    /// The id of a part that was given up.
    Cancelled(String),
}

/// One host with all connections that the program opens to it; probes pass.
pub struct ManualBackend {
    listener: TcpListener,
    wires: Vec<Option<Connection>>,
    heard: std::collections::VecDeque<BackendInput>,
}

impl ManualBackend {
    pub fn new(listener: TcpListener) -> Self {
        Self { listener, wires: Vec::new(), heard: std::collections::VecDeque::new() }
    }

    /// Takes what has come, and says whether any connection is open.
    pub fn poll(&mut self) -> bool {
        let come = accept_within(&self.listener, Duration::from_millis(1));
        self.wires.extend(come.map(Some));
        for (at, place) in self.wires.iter_mut().enumerate() {
            let Some(wire) = place else { continue };
            wire.0.set_nonblocking(true).expect("a socket");
            let come = wire.0.peek(&mut [0]);
            wire.0.set_nonblocking(false).expect("a socket");
            match come {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(1) => match wire.frame() {
                    Some((b'm', text)) => {
                        self.heard.extend(parts(&text).into_iter().map(|part| BackendInput::Part(at, part)));
                    }
                    Some((b'n', id)) => self.heard.push_back(BackendInput::Cancelled(id)),
                    Some((b'o', _)) => wire.send(frame(b'o', "good")),
                    Some(_) => {}
                    None => *place = None,
                },
                _ => *place = None,
            }
        }
        self.wires.iter().any(Option::is_some)
    }

    /// What it hears next.
    pub fn next_input(&mut self) -> BackendInput {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(heard) = self.heard.pop_front() {
                return heard;
            }
            assert!(Instant::now() < until, "the host hears nothing");
            self.poll();
        }
    }

    /// What it hears next; `None` once the program has closed all connections.
    pub fn next_input_or_end(&mut self) -> Option<BackendInput> {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.heard.is_empty() && (self.poll() || self.wires.is_empty()) {
            assert!(Instant::now() < until, "the program goes on");
        }
        self.heard.pop_front()
    }

    /// The next part; panics if something else comes first.
    pub fn next_part(&mut self) -> (usize, Part) {
        match self.next_input() {
            BackendInput::Part(at, part) => (at, part),
            other => panic!("{other:?} came first"),
        }
    }

    /// Ends a part.
    pub fn answer_part(&mut self, (at, part): &(usize, Part), outcome: &str, value: &str) {
        self.wires[*at].as_mut().expect("an open connection").answer_part(part, outcome, value);
    }

    /// Takes the next part and answers it.
    pub fn answer_next_part(&mut self, value: &str) -> Part {
        let part = self.next_part();
        self.answer_part(&part, "good", value);
        part.1
    }

    /// What else it hears until the program has closed all connections.
    pub fn remaining_inputs(mut self) -> Vec<BackendInput> {
        self.poll();
        if self.wires.is_empty() && self.heard.is_empty() {
            return Vec::new();
        }
        std::iter::from_fn(|| self.next_input_or_end()).collect()
    }
}
