//! The scenario language. A scenario is a text with one step per line. It is played against the real program
//! over loopback sockets, and the results of its `expect` steps form the transcript.
//!
//! ```text
//! send NAME KIND MS SHARD...      client NAME sends a query of this kind, with a timeout of MS
//! send part SHARD good VALUE      a backend answers the part of this shard that was expected last.
//!                                 Instead of `good`: `bad` or `later` (outcomes); `nonsense` (not an
//!                                 answer at all); `stray` (an answer to another part); `half` (an answer
//!                                 that stays incomplete); on Flight `refused` (a stream reset); in frames
//!                                 also `twice` (the answer and a duplicate) and `noisy` (an answer with
//!                                 an unreadable load report and garbage after it).
//!                                 The value `big` stands for 60,000 bytes.
//! send roster HOST STATE          discovery reports this state of a backend; `dead` reports it as
//!                                 active at an address where nothing listens
//! send roster fail                discovery answers 503
//! send raw TEXT                   a client sends these bytes; `\r` and `\n` are escapes
//! send term                       the program gets SIGTERM
//! send stop                       the program is stopped (SIGSTOP) until `send cont`
//! send reload                     the program gets SIGHUP with a configuration that names a new discovery
//!                                 address; `send reload bad`: with an invalid configuration
//! send more TEXT                  the raw client sends more bytes, after it has received its response
//! send crowd N                    N clients connect and send nothing
//! send asked N                    N clients connect in turn, get one response each and stay connected
//! expect staying                  the number of these connections that the program has not closed
//! expect part SHARD               a backend has received the part
//! expect cancel SHARD             a backend has received the part's cancellation
//! expect NAME                     the client's response
//! expect closed                   the program has closed a connection to a backend
//! expect probe                    a backend has received a health check; `send probe` answers it
//! expect runs SHARD               how many attempts of the part were sent so far
//! expect hosts                    the backends that have received any part so far
//! expect raw                      the response's status, and whether the connection was closed
//! expect no log TEXT              the program's log has no line with this text so far
//! expect exit                     the program's exit code
//! expect log TEXT                 the program logs a line with this text
//! close part SHARD                the backend closes the connection; on Flight, halfway through the answer
//! close NAME                      the client disconnects; `close crowd`: the crowd does
//! wait MS
//! ```
#![allow(missing_docs)] // The scenario language above is the main documentation

pub mod columns;
pub mod core_scenario;
pub mod fault_injection;
pub mod flight;
pub mod hostile_tables;
pub mod manual_peers;
pub mod raw_http2;
pub mod stand_ins;
pub mod tls;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};

/// Upper limit for any single step on a slow machine. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Limit of descriptors of a deployment's programs.
const DESCRIPTORS: u32 = 1024;
/// Number of stand-in backends.
pub const BACKENDS: usize = 3;

/// The protocol that the clients and backends of a scenario speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 to clients, frames to backends.
    Http,
    /// Arrow Flight to both.
    Flight,
    /// As `Flight`, but the first connection to any backend ends with a GOAWAY whose last processed stream is
    /// this one.
    FlightGoAway(u32),
}

/// How a stand-in backend responds to a part.
#[derive(Clone, Debug)]
pub enum BackendReply {
    /// Answers with an outcome and a value.
    Outcome(String, String),
    /// Closes the connection.
    Disconnect,
}

/// What the stand-ins report to a scenario.
pub enum Event {
    /// A backend received a part: the backend, the shard, and the function that answers.
    Part(usize, u32, Box<dyn Fn(BackendReply) + Send>),
    /// A backend received the cancellation of a part of this shard.
    Cancel(u32),
    /// A connection to a backend ended.
    ConnectionClosed,
    /// A backend received a health check; the function answers it.
    HealthCheck(Box<dyn Fn() + Send>),
    /// The named client received this response.
    Response(String, String),
}

/// A query as a stand-in client sends it.
#[derive(Clone)]
pub struct Query {
    pub id: String,
    pub kind: String,
    pub deadline_ms: u64,
    pub body: Value,
}

/// A running process of the program under test.
pub struct Program {
    pub child: Child,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Where it serves Arrow Flight; the address of HTTP if it does not.
    pub flight: SocketAddr,
    /// The lines that it has logged since it began to listen.
    pub log: Arc<Mutex<Vec<String>>>,
    config: PathBuf,
}

/// The `settings` section of the platform's configuration.
pub fn settings() -> Value {
    let class = |name: &str, semantics: &str, late_value: f64| {
        json!({"Name": name, "AimUs": 1_500_000, "DeadlineUs": 4_000_000, "LateValue": late_value,
               "Semantics": semantics, "WindowUs": 5_000_000, "Worth": 1.0})
    };
    json!({
        "Az": "regina-dc1", "Azs": ["regina-dc1"], "Instances": 1, "TickUs": 5000,
        "MembershipMode": "subscribe",
        "Classes": [class("search", "free", 0.3), class("place-hold", "single_shot", 0.1),
                    class("sales-report", "free", 0.1)],
        "FamilyInfo": {"ClassFloor": [1.0, 1.0, 0.8], "ClassPartial": [0.9, 0.9, 0.9],
            "CompleteFrom": [1.0, 1.0, 1.0], "FollowUp": [0, 0, 0], "OverheadUs": 48000,
            "PartsACall": 16, "Places": BACKENDS, "Shards": 10, "Width": BACKENDS},
        "Limits": {"Cancel": true, "ConnIdleUs": 1_000_000, "DialTimeoutUs": 250_000, "MaxAttempts": 3,
            "MaxOpen": 20, "MaxRetryAfterUs": 2_000_000, "MaxStreams": 32, "Probing": true,
            "RetryAfter": true, "SecondCopies": true},
        "Safety": {"AskWithinUs": 10_000_000, "ColdFrom": 0.16, "FallUs": 1_000_000, "TipMultiple": 3.0,
            "WarmWithinUs": 17_000_000}
    })
}

/// The platform's configuration file, with these backends in the cached endpoint list.
pub fn config(backends: &[SocketAddr], discovery: SocketAddr) -> Value {
    let endpoint = |(i, addr): (usize, &SocketAddr)| stand_ins::endpoint(i, *addr, "active");
    let known: Vec<Value> = backends.iter().enumerate().map(endpoint).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"generation": 1, "reset": true, "instances": known}, "settings": settings()})
}

/// Starts the program with these two configuration files and this limit of descriptors. Returns the process, whose
/// `stdout` is its log, and the path of the platform's configuration file.
pub fn spawn(config: &Value, operator: &Value, descriptors: u32) -> (Child, PathBuf) {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = |what: &str, value: &Value| {
        let name = format!("mallowgauge-{}-{number}-{what}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, value.to_string()).expect("write a temporary file");
        path
    };
    let config = file("config", config);
    let child = Command::new("sh")
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" \"$1\"")])
        .arg(program_path())
        .arg(file("operator", operator))
        .env("RELAY_CONFIG", &config)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    (child, config)
}

/// The path of the program under test: the value of `MALLOWGAUGE`, or else the binary in the folder of this
/// executable or in the folder above.
pub fn program_path() -> PathBuf {
    let named = std::env::var_os("MALLOWGAUGE").map(PathBuf::from);
    named.unwrap_or_else(|| {
        let executable = std::env::current_exe().expect("path of this executable");
        let name = "mallowgauge";
        let mut candidates = executable.ancestors().skip(1).take(2).map(|folder| folder.join(name));
        candidates.find(|path| path.is_file()).expect("the program is built")
    })
}

impl Program {
    /// Starts the program and waits until it listens.
    pub fn start(file: &Value, operator: &Value, descriptors: u32) -> Self {
        let (mut child, config) = spawn(file, operator, descriptors);
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let mut listen_address = |what: &str| loop {
            let line = lines.next().expect("the program keeps running").expect("text");
            if let Some((_, addr)) = line.split_once(what) {
                return addr.trim().parse().expect("an address");
            }
        };
        let name = file["name"].as_str().expect("a name");
        let http = listen_address(&format!("{name} listens on "));
        let has_flight = operator.pointer("/flight/listen").is_some();
        let flight = if has_flight { listen_address("Flight listens on ") } else { http };
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_writer = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                log_writer.lock().expect("lock is not poisoned").push(line);
            }
        });
        Self { child, http, flight, log, config }
    }

    /// Changes the configuration file and sends SIGHUP, which makes the program reload it.
    pub fn reconfigure(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.config).expect("the configuration file");
        let mut file = serde_json::from_str(&text).expect("JSON");
        change(&mut file);
        std::fs::write(&self.config, file.to_string()).expect("the configuration file");
        self.signal(libc::SIGHUP);
    }

    /// Returns the peak resident memory of the process, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        let line = text.lines().find(|line| line.starts_with("VmHWM:")).expect("a line");
        line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: libc::c_int) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{signal}"), pid]).status().expect("kill runs");
        assert!(sent.success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A program with scripted Flight backends and stand-in discovery.
pub struct Deployment {
    pub program: Program,
    /// How often each part was sent.
    pub attempts: columns::AttemptCounts,
    pub discovery: stand_ins::DiscoveryStandIn,
    pub backends: Vec<SocketAddr>,
    /// The platform's configuration file.
    config: Value,
    /// The operator's file.
    operator: Value,
}

impl Deployment {
    /// Starts the deployment. `flight` holds entries of the operator file's `flight` section that are added to or
    /// replace `listen` and `hosts`; `change` edits the platform's configuration file last.
    pub fn start(script: columns::Script, flight: Value, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with_tls(script, flight, None, change)
    }

    /// As [`Deployment::start`], with backends that speak TLS.
    pub fn start_with_tls(
        script: columns::Script,
        flight: Value,
        tls: Option<Arc<rustls::ServerConfig>>,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let mut operator = json!({"listen": "127.0.0.1:0", "hosts": "all"});
        for (key, value) in flight.as_object().into_iter().flatten() {
            operator[key] = value.clone();
        }
        Self::start_with(script, operator, Value::Null, tls, change)
    }

    fn start_with(
        script: columns::Script,
        flight: Value,
        phases: Value,
        tls: Option<Arc<rustls::ServerConfig>>,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let attempts = columns::AttemptCounts::default();
        let backend =
            |i| columns::scripted_backend(i, Arc::clone(&script), Arc::clone(&attempts), tls.clone());
        let backends: Vec<SocketAddr> = (0..BACKENDS).map(backend).collect();
        let discovery = stand_ins::DiscoveryStandIn::start();
        let mut file = config(&backends, discovery.addr);
        file["settings"]["Limits"]["MaxOpen"] = json!(400);
        change(&mut file);
        let operator = json!({"flight": flight, "phases": phases});
        let program = Program::start(&file, &operator, DESCRIPTORS);
        Self { program, attempts, discovery, backends, config: file, operator }
    }

    /// Returns the peak resident memory of the program, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.program.peak_memory_kb()
    }

    /// Starts another instance with the same files, on ports of its own.
    pub fn start_instance(&self) -> Program {
        Program::start(&self.config, &self.operator, DESCRIPTORS)
    }

    /// Restarts the program as planned: SIGTERM, and a new start with the same files once it has ended.
    pub fn restart(&mut self) {
        self.program.signal(libc::SIGTERM);
        let status = self.program.child.wait().expect("an exit status");
        assert!(status.success(), "{status}");
        self.program = self.start_instance();
    }

    /// As [`Deployment::start`], with two-phase queries.
    pub fn start_two_phase(script: columns::Script, phases: Value) -> Self {
        Self::start_with(script, json!({"listen": "127.0.0.1:0", "hosts": "all"}), phases, None, |_| {})
    }

    /// How many attempts each part of a query had: pairs of shard and count.
    pub fn attempts_by_shard(&self, query: &str) -> Vec<(u32, u32)> {
        let attempts = self.attempts.lock().expect("lock is not poisoned");
        attempts
            .iter()
            .filter(|((id, _), _)| id == query)
            .map(|((_, shard), count)| (*shard, *count))
            .collect()
    }

    /// Waits until the program has logged a line with this text; `false` if none came in time.
    pub fn wait_for_log(&self, text: &str) -> bool {
        (0..TEST_TIMEOUT.as_millis() / 10).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            self.program.log.lock().expect("lock is not poisoned").iter().any(|line| line.contains(text))
        })
    }
}

/// Plays the steps of a scenario, and keeps the state that later steps refer to.
struct ScenarioRunner {
    protocol: Protocol,
    program: Program,
    discovery: stand_ins::DiscoveryStandIn,
    backends: Vec<SocketAddr>,
    sender: Sender<Event>,
    events: Receiver<Event>,
    /// Events that were received and not yet expected.
    pending: Vec<Event>,
    replies: BTreeMap<u32, Box<dyn Fn(BackendReply) + Send>>,
    attempts: BTreeMap<u32, u32>,
    used_backends: BTreeSet<usize>,
    clients: BTreeMap<String, Box<dyn FnOnce()>>,
    health_check: Option<Box<dyn Fn() + Send>>,
    raw: Option<TcpStream>,
    crowd: Vec<TcpStream>,
    last_query: u32,
}

impl ScenarioRunner {
    fn new(protocol: Protocol, sockets: u32, descriptors: u32, manual_health_checks: bool) -> Self {
        let (sender, events) = channel();
        let last_stream = match protocol {
            Protocol::FlightGoAway(last) => Some(last),
            Protocol::Http | Protocol::Flight => None,
        };
        let last_stream = Arc::new(Mutex::new(last_stream));
        let backend = |i| match protocol {
            Protocol::Http => stand_ins::frame_backend(i, sender.clone(), manual_health_checks),
            Protocol::Flight | Protocol::FlightGoAway(_) => {
                flight::backend(i, sender.clone(), Arc::clone(&last_stream))
            }
        };
        let backends: Vec<SocketAddr> = (0..BACKENDS).map(backend).collect();
        let discovery = stand_ins::DiscoveryStandIn::start();
        let flight_backends = if protocol == Protocol::Http { json!([]) } else { json!("all") };
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": flight_backends}});
        let mut file = config(&backends, discovery.addr);
        file["limits"]["sockets"] = json!(sockets);
        let program = Program::start(&file, &operator, descriptors);
        Self {
            protocol,
            program,
            discovery,
            backends,
            sender,
            events,
            pending: Vec::new(),
            replies: BTreeMap::new(),
            attempts: BTreeMap::new(),
            used_backends: BTreeSet::new(),
            clients: BTreeMap::new(),
            health_check: None,
            raw: None,
            crowd: Vec::new(),
            last_query: 0,
        }
    }

    /// Removes and returns the first event that `pick` accepts; waits for one if there is none yet.
    fn event<T>(&mut self, what: &str, pick: impl Fn(&Event) -> Option<T>) -> (T, Event) {
        let mut index = 0;
        loop {
            if let Some(found) = self.pending.get(index).and_then(&pick) {
                return (found, self.pending.remove(index));
            }
            index += 1;
            if index >= self.pending.len() {
                let event = self.events.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| {
                    panic!(
                        "timed out waiting for {what}; log: {:#?}",
                        self.program.log.lock().expect("lock is not poisoned")
                    )
                });
                if let Event::Part(backend, shard, _) = &event {
                    self.used_backends.insert(*backend);
                    *self.attempts.entry(*shard).or_default() += 1;
                }
                self.pending.push(event);
                index = self.pending.len() - 1;
            }
        }
    }

    /// Plays one step; returns its line of the transcript, if it has one.
    fn step(&mut self, line: &str) -> Option<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |index: usize| words[index].parse::<u32>().expect("a number");
        match words[..] {
            ["send", "part", _, outcome, ..] => {
                let value = words.get(4).copied().unwrap_or_default();
                let value = if value == "big" { "x".repeat(60_000) } else { value.to_owned() };
                self.replies[&number(2)](BackendReply::Outcome(outcome.to_owned(), value));
            }
            ["send", "probe"] => self.health_check.as_ref().expect("a health check was expected before")(),
            ["send", "roster", "fail"] => self.discovery.fail(),
            ["send", "roster", _, state] => {
                let backend = number(2) as usize;
                let closed_port = "127.0.0.1:1".parse().expect("an address");
                self.discovery.publish(&match state {
                    "dead" => stand_ins::endpoint(backend, closed_port, "active"),
                    state => stand_ins::endpoint(backend, self.backends[backend], state),
                });
            }
            ["send", "raw", ..] => {
                let mut raw = TcpStream::connect(self.program.http).expect("connect");
                raw.write_all(&raw_bytes(line, "raw ")).expect("write to the program");
                self.raw = Some(raw);
            }
            ["send", "more", ..] => {
                let raw = self.raw.as_mut().expect("`send raw` came before");
                // If the program has closed the connection, the next `expect raw` shows it.
                drop(raw.write_all(&raw_bytes(line, "more ")));
            }
            ["send", "crowd", _] => {
                let connect = |_| TcpStream::connect(self.program.http).expect("connect");
                self.crowd.extend((0..number(2)).map(connect));
            }
            ["send", "reload", ..] => {
                let new_discovery = stand_ins::DiscoveryStandIn::start();
                let file = match words.get(2) {
                    None => config(&self.backends, new_discovery.addr).to_string(),
                    Some(_) => "{".to_owned(),
                };
                std::fs::write(&self.program.config, file).expect("write a temporary file");
                if words.len() == 2 {
                    self.discovery = new_discovery;
                }
                self.program.signal(libc::SIGHUP);
            }
            ["send", "asked", _] => {
                for _ in 0..number(2) {
                    let mut socket = TcpStream::connect(self.program.http).expect("connect");
                    socket.write_all(b"GET /nothing HTTP/1.1\r\n\r\n").expect("write to the program");
                    while !socket.read(&mut [0; 512]).is_ok_and(|n| n > 0) {}
                    socket.set_nonblocking(true).expect("set the blocking mode");
                    self.crowd.push(socket);
                }
            }
            ["expect", "staying"] => {
                let is_open = |mut socket: &TcpStream| !socket.read(&mut [0; 512]).is_ok_and(|n| n == 0);
                return Some(format!(
                    "staying {}",
                    self.crowd.iter().filter(|&socket| is_open(socket)).count()
                ));
            }
            ["send", "stop"] => {
                self.program.signal(libc::SIGSTOP);
                let stat = format!("/proc/{}/stat", self.program.child.id());
                while !std::fs::read_to_string(&stat).expect("the process runs").contains(") T ") {}
            }
            ["send", "cont"] => self.program.signal(libc::SIGCONT),
            ["send", "term"] => self.program.signal(libc::SIGTERM),
            ["send", name, kind, ms, ..] => {
                let shards = &words[4..];
                let share = 1.0 / shards.len() as f64;
                let range = |s: &&str| json!({"range": s.parse::<u32>().unwrap_or(99), "portion": share});
                let ranges: Vec<Value> = shards.iter().map(range).collect();
                self.last_query += 1;
                let query = Query {
                    id: format!("{:016x}", self.last_query),
                    kind: kind.to_owned(),
                    deadline_ms: ms.parse().expect("a number"),
                    body: json!({"ranges": ranges, "predicate": "c41e77d0"}),
                };
                let (name, sender) = (name.to_owned(), self.sender.clone());
                let on_response = move |text: String| drop(sender.send(Event::Response(name.clone(), text)));
                let close = match self.protocol {
                    Protocol::Http => stand_ins::send_query(self.program.http, query, on_response),
                    Protocol::Flight | Protocol::FlightGoAway(_) => {
                        flight::send_query(self.program.flight, query, on_response)
                    }
                };
                self.clients.insert(words[1].to_owned(), close);
            }
            ["expect", "part", _] => {
                let shard = number(2);
                let pick = |e: &Event| matches!(e, Event::Part(_, s, _) if *s == shard).then_some(());
                if let (_, Event::Part(_, _, reply)) = self.event(line, pick) {
                    self.replies.insert(shard, reply);
                }
                return Some(format!("part {shard}"));
            }
            ["expect", "cancel", _] => {
                let shard = number(2);
                self.event(line, |e| matches!(e, Event::Cancel(s) if *s == shard).then_some(()));
                return Some(format!("cancel {shard}"));
            }
            ["expect", "runs", _] => {
                return Some(format!("runs {}: {}", words[2], self.attempts.get(&number(2)).unwrap_or(&0)));
            }
            ["expect", "closed"] => {
                self.event(line, |e| matches!(e, Event::ConnectionClosed).then_some(()));
                return Some("closed".to_owned());
            }
            ["expect", "probe"] => {
                let pick = |e: &Event| matches!(e, Event::HealthCheck(_)).then_some(());
                if let (_, Event::HealthCheck(reply)) = self.event(line, pick) {
                    self.health_check = Some(reply);
                }
                return Some("probe".to_owned());
            }
            ["expect", "hosts"] => return Some(format!("hosts {:?}", self.used_backends)),
            ["expect", "raw"] => {
                let mut raw = self.raw.take().expect("`send raw` came before");
                raw.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
                let mut text = String::new();
                let mut byte = [0];
                while !text.ends_with("\r\n\r\n") && raw.read_exact(&mut byte).is_ok() {
                    text.push(byte[0].into());
                }
                let length = text.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
                let length = length.and_then(|(length, _)| length.parse().ok()).unwrap_or(0);
                drop(raw.read_exact(&mut vec![0; length]));
                let status = text.split(' ').nth(1).unwrap_or("none");
                let announces_close = text.contains("Connection: close");
                let closed = announces_close && raw.read_to_end(&mut Vec::new()).is_ok();
                self.raw = (!announces_close).then_some(raw);
                return Some(format!("raw {status}{}", if closed { ", closed" } else { "" }));
            }
            ["expect", "exit"] => {
                let status = self.program.child.wait().expect("an exit code");
                return Some(format!("exit {:?}", status.code()));
            }
            ["expect", "no", "log", ..] => {
                let text = line.split_once("log ").expect("a text").1;
                let log = self.program.log.lock().expect("lock is not poisoned");
                assert!(!log.iter().any(|line| line.contains(text)), "{log:#?}");
            }
            ["expect", "log", ..] => {
                let text = line.split_once("log ").expect("a text").1;
                let is_logged = || {
                    self.program.log.lock().expect("lock is not poisoned").iter().any(|l| l.contains(text))
                };
                let found = (0..TEST_TIMEOUT.as_millis() / 20).any(|_| {
                    std::thread::sleep(Duration::from_millis(20));
                    is_logged()
                });
                assert!(found, "no log line contains {text}");
                return Some(format!("log {text}"));
            }
            ["expect", name] => {
                let pick = |e: &Event| match e {
                    Event::Response(n, text) if n == name => Some(text.clone()),
                    _ => None,
                };
                return Some(format!("{name}: {}", self.event(line, pick).0));
            }
            ["close", "crowd"] => self.crowd.clear(),
            ["close", "part", _] => self.replies[&number(2)](BackendReply::Disconnect),
            ["close", name] => self.clients.remove(name).expect("a client of this name")(),
            ["wait", _] => std::thread::sleep(Duration::from_millis(number(1).into())),
            _ => panic!("unknown step: {line}"),
        }
        None
    }
}

/// Plays a scenario over one protocol and returns its transcript.
pub fn play(protocol: Protocol, scenario: &str) -> String {
    play_with_descriptors(protocol, 1024, 1024, scenario)
}

/// The bytes that follow `word` in a step, with `\r` and `\n` unescaped.
fn raw_bytes(line: &str, word: &str) -> Vec<u8> {
    let text = line.split_once(word).expect("bytes").1;
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}

/// Plays a scenario against a program whose configuration allows `sockets` sockets and whose process may hold
/// `descriptors` descriptors.
pub fn play_with_descriptors(protocol: Protocol, sockets: u32, descriptors: u32, scenario: &str) -> String {
    let mut runner = ScenarioRunner::new(protocol, sockets, descriptors, scenario.contains("expect probe"));
    transcript(scenario, |line| runner.step(line))
}

fn transcript(scenario: &str, step: impl FnMut(&str) -> Option<String>) -> String {
    let steps = scenario.lines().map(str::trim).filter(|line| !line.is_empty());
    steps.filter_map(step).collect::<Vec<_>>().join("\n")
}

/// Plays a scenario over both protocols, asserts that the transcripts are equal, and returns them.
pub fn play_on_both(scenario: &str) -> String {
    let (http, flight) = (play(Protocol::Http, scenario), play(Protocol::Flight, scenario));
    assert_eq!(http, flight, "the transcripts of the two protocols differ");
    http
}
