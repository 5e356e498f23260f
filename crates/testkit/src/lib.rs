//! The scenario language. A scenario is a text of one step a line, played against the real program on
//! loopback sockets; what its `expect` lines see is the transcript.
//!
//! ```text
//! send NAME KIND MS SHARD...      a client sends a query
//! send part SHARD good VALUE      a host answers the part that was expected last (or: bad, later; or
//!                                 nonsense, which is no answer at all; stray, an answer to another part;
//!                                 half, which never becomes whole; on Flight also refused, a reset; in
//!                                 frames also good ones: twice, with a second copy; noisy, with an
//!                                 unreadable report and noise behind)
//!                                 a value `big` stands for one of 60,000 bytes
//! send roster HOST STATE          discovery tells that a host is now in that state; `dead` says
//!                                 that it is active, at an address where nobody listens
//! send roster fail                discovery answers 503
//! send raw TEXT                   a client sends these bytes, in Rust's escapes
//! send term                       the program gets SIGTERM
//! send stop                       the program is halted, until `send cont`
//! send reload                     the program gets SIGHUP, with a file that names a new discovery;
//!                                 `send reload bad`: with one that makes no sense
//! send more TEXT                  the same client sends these, once it has its answer
//! send crowd N                    so many clients connect and say nothing
//! send asked N                    so many clients ask something, one after the other, and stay
//! expect staying                  how many of the crowd the program has not closed
//! expect part SHARD               a host has got the part
//! expect cancel SHARD             a host was told that nobody waits for the part
//! expect NAME                     the client's answer
//! expect closed                   a host's connection was closed by the program
//! expect probe                    a host has got a probe, and `send probe` answers it
//! expect runs SHARD               how many times the part was sent so far
//! expect hosts                    the hosts that have been sent anything so far
//! expect raw                      the status of the answer, and whether the connection was closed
//! expect no log TEXT              the program has written no such line so far
//! expect exit                     the program's exit code
//! expect log TEXT                 the program writes such a line
//! close part SHARD                the host cuts the connection; on Flight, halfway through the answer
//! close NAME                      the client goes away; `crowd` for the crowd
//! wait MS
//! ```
#![allow(missing_docs)] // The language above is the documentation

pub mod columns;
pub mod core_scenario;
pub mod fault_injection;
pub mod flight;
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

/// Longer than any step may take on a slow machine; only a failing test waits for it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
pub const BACKENDS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Http,
    Flight,
    /// As Flight, but the first connection to any host ends with a GOAWAY that names this stream as the
    /// last one that the host has looked at.
    FlightGoAway(u32),
}

/// What a host does about a part.
#[derive(Clone, Debug)]
pub enum BackendReply {
    Outcome(String, String),
    Disconnect,
}

pub enum Event {
    Part(usize, u32, Box<dyn Fn(BackendReply) + Send>),
    Cancel(u32),
    ConnectionClosed,
    HealthCheck(Box<dyn Fn() + Send>),
    Response(String, String),
}

/// A client's query.
#[derive(Clone)]
pub struct Query {
    pub id: String,
    pub kind: String,
    pub deadline_ms: u64,
    pub body: Value,
}

pub struct Program {
    pub child: Child,
    pub http: SocketAddr,
    pub flight: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    config: PathBuf,
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str, late: f64| {
        json!({"Name": name, "AimUs": 1_500_000, "DeadlineUs": 4_000_000, "LateValue": late,
               "Semantics": effect, "WindowUs": 5_000_000, "Worth": 1.0})
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

pub fn config(hosts: &[SocketAddr], discovery: SocketAddr) -> Value {
    let instance = |(i, addr): (usize, &SocketAddr)| stand_ins::endpoint(i, *addr, "active");
    let known: Vec<Value> = hosts.iter().enumerate().map(instance).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"generation": 1, "reset": true, "instances": known}, "settings": settings()})
}

/// The program, started with these files and so many descriptors, and where its own file stands;
/// `stdout` is its log.
pub fn spawn(config: &Value, operator: &Value, descriptors: u32) -> (Child, PathBuf) {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = |what: &str, value: &Value| {
        let name = format!("mallowgauge-{}-{number}-{what}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, value.to_string()).expect("a file in the temporary folder");
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

/// The program under test: `MALLOWGAUGE` names it, or else it stands beside or above this one.
pub fn program_path() -> PathBuf {
    let named = std::env::var_os("MALLOWGAUGE").map(PathBuf::from);
    named.unwrap_or_else(|| {
        let this = std::env::current_exe().expect("a path");
        let name = "mallowgauge";
        let mut places = this.ancestors().skip(1).take(2).map(|folder| folder.join(name));
        places.find(|path| path.is_file()).expect("the program is built")
    })
}

impl Program {
    pub fn start(file: &Value, operator: &Value, descriptors: u32) -> Self {
        let (mut child, config) = spawn(file, operator, descriptors);
        let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let mut listens = |what: &str| loop {
            let line = lines.next().expect("the program goes on").expect("text");
            if let Some((_, addr)) = line.split_once(what) {
                return addr.trim().parse().expect("an address");
            }
        };
        let name = file["name"].as_str().expect("a name");
        let (http, flight) = (listens(&format!("{name} listens on ")), listens("Flight listens on "));
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().expect("a sound lock").push(line);
            }
        });
        Self { child, http, flight, log, config }
    }

    /// Changes its configuration and has it read again.
    pub fn reconfigure(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.config).expect("its file");
        let mut file = serde_json::from_str(&text).expect("JSON");
        change(&mut file);
        std::fs::write(&self.config, file.to_string()).expect("its file");
        self.signal(libc::SIGHUP);
    }

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

/// A program with hosts that play a script.
pub struct Deployment {
    pub program: Program,
    pub attempts: columns::AttemptCounts,
    pub discovery: stand_ins::DiscoveryStandIn,
    pub backends: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts it; `flight` is what the operator's file says beside `listen` and `hosts`, and `change` has the
    /// last word on the platform's file.
    pub fn start(script: columns::Script, flight: Value, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with_tls(script, flight, None, change)
    }

    /// The same with hosts that speak TLS.
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
        let program = Program::start(&file, &json!({"flight": flight, "phases": phases}), 1024);
        Self { program, attempts, discovery, backends }
    }

    /// Starts it with queries in two phases.
    pub fn start_two_phase(script: columns::Script, phases: Value) -> Self {
        Self::start_with(script, json!({"listen": "127.0.0.1:0", "hosts": "all"}), phases, None, |_| {})
    }

    /// How often the parts of a query were run, by shard.
    pub fn attempts_by_shard(&self, query: &str) -> Vec<(u32, u32)> {
        let attempts = self.attempts.lock().expect("a sound lock");
        attempts
            .iter()
            .filter(|((id, _), _)| id == query)
            .map(|((_, shard), count)| (*shard, *count))
            .collect()
    }

    /// Waits until the program has written such a line.
    pub fn wait_for_log(&self, text: &str) -> bool {
        (0..TEST_TIMEOUT.as_millis() / 10).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            self.program.log.lock().expect("a sound lock").iter().any(|line| line.contains(text))
        })
    }
}

struct ScenarioRunner {
    wire: Protocol,
    program: Program,
    roster: stand_ins::DiscoveryStandIn,
    hosts: Vec<SocketAddr>,
    sender: Sender<Event>,
    events: Receiver<Event>,
    seen: Vec<Event>,
    replies: BTreeMap<u32, Box<dyn Fn(BackendReply) + Send>>,
    runs: BTreeMap<u32, u32>,
    used: BTreeSet<usize>,
    clients: BTreeMap<String, Box<dyn FnOnce()>>,
    probe: Option<Box<dyn Fn() + Send>>,
    raw: Option<TcpStream>,
    crowd: Vec<TcpStream>,
    next: u32,
}

impl ScenarioRunner {
    fn new(wire: Protocol, told: u32, descriptors: u32, probes: bool) -> Self {
        let (sender, events) = channel();
        let away =
            Arc::new(Mutex::new(if let Protocol::FlightGoAway(last) = wire { Some(last) } else { None }));
        let host = |i| match wire {
            Protocol::Http => stand_ins::frame_backend(i, sender.clone(), probes),
            Protocol::Flight | Protocol::FlightGoAway(_) => {
                flight::backend(i, sender.clone(), Arc::clone(&away))
            }
        };
        let hosts: Vec<SocketAddr> = (0..BACKENDS).map(host).collect();
        let roster = stand_ins::DiscoveryStandIn::start();
        let offers = if wire == Protocol::Http { json!([]) } else { json!("all") };
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": offers}});
        let mut file = config(&hosts, roster.addr);
        file["limits"]["sockets"] = json!(told);
        let program = Program::start(&file, &operator, descriptors);
        Self {
            wire,
            program,
            roster,
            hosts,
            sender,
            events,
            seen: Vec::new(),
            replies: BTreeMap::new(),
            runs: BTreeMap::new(),
            used: BTreeSet::new(),
            clients: BTreeMap::new(),
            probe: None,
            raw: None,
            crowd: Vec::new(),
            next: 0,
        }
    }

    /// The first event that `pick` takes, now or later.
    fn event<T>(&mut self, what: &str, pick: impl Fn(&Event) -> Option<T>) -> (T, Event) {
        let mut at = 0;
        loop {
            if let Some(found) = self.seen.get(at).and_then(&pick) {
                return (found, self.seen.remove(at));
            }
            at += 1;
            if at >= self.seen.len() {
                let event = self.events.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| {
                    panic!("no {what}; log: {:#?}", self.program.log.lock().expect("a sound lock"))
                });
                if let Event::Part(host, shard, _) = &event {
                    self.used.insert(*host);
                    *self.runs.entry(*shard).or_default() += 1;
                }
                self.seen.push(event);
                at = self.seen.len() - 1;
            }
        }
    }

    fn step(&mut self, line: &str) -> Option<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |at: usize| words[at].parse::<u32>().expect("a number");
        match words[..] {
            ["send", "part", _, end, ..] => {
                let value = words.get(4).copied().unwrap_or_default();
                let value = if value == "big" { "x".repeat(60_000) } else { value.to_owned() };
                self.replies[&number(2)](BackendReply::Outcome(end.to_owned(), value));
            }
            ["send", "probe"] => self.probe.as_ref().expect("a probe")(),
            ["send", "roster", "fail"] => self.roster.fail(),
            ["send", "roster", _, state] => {
                let host = number(2) as usize;
                let nobody = "127.0.0.1:1".parse().expect("an address");
                self.roster.publish(&match state {
                    "dead" => stand_ins::endpoint(host, nobody, "active"),
                    state => stand_ins::endpoint(host, self.hosts[host], state),
                });
            }
            ["send", "raw", ..] => {
                let mut raw = TcpStream::connect(self.program.http).expect("a connection");
                raw.write_all(&raw_bytes(line, "raw ")).expect("room in the socket");
                self.raw = Some(raw);
            }
            ["send", "more", ..] => {
                let raw = self.raw.as_mut().expect("raw bytes were sent");
                // A connection that the program has closed shows when its answer is expected.
                drop(raw.write_all(&raw_bytes(line, "more ")));
            }
            ["send", "crowd", _] => {
                let connect = |_| TcpStream::connect(self.program.http).expect("a connection");
                self.crowd.extend((0..number(2)).map(connect));
            }
            ["send", "reload", ..] => {
                let fresh = stand_ins::DiscoveryStandIn::start();
                let file = match words.get(2) {
                    None => config(&self.hosts, fresh.addr).to_string(),
                    Some(_) => "{".to_owned(),
                };
                std::fs::write(&self.program.config, file).expect("a file in the temporary folder");
                if words.len() == 2 {
                    self.roster = fresh;
                }
                self.program.signal(libc::SIGHUP);
            }
            ["send", "asked", _] => {
                for _ in 0..number(2) {
                    let mut socket = TcpStream::connect(self.program.http).expect("a connection");
                    socket.write_all(b"GET /nothing HTTP/1.1\r\n\r\n").expect("room in the socket");
                    while !socket.read(&mut [0; 512]).is_ok_and(|n| n > 0) {}
                    socket.set_nonblocking(true).expect("a socket");
                    self.crowd.push(socket);
                }
            }
            ["expect", "staying"] => {
                let stays = |mut socket: &TcpStream| !socket.read(&mut [0; 512]).is_ok_and(|n| n == 0);
                return Some(format!(
                    "staying {}",
                    self.crowd.iter().filter(|&socket| stays(socket)).count()
                ));
            }
            ["send", "stop"] => {
                self.program.signal(libc::SIGSTOP);
                let stat = format!("/proc/{}/stat", self.program.child.id());
                while !std::fs::read_to_string(&stat).expect("a process").contains(") T ") {}
            }
            ["send", "cont"] => self.program.signal(libc::SIGCONT),
            ["send", "term"] => self.program.signal(libc::SIGTERM),
            ["send", name, kind, ms, ..] => {
                let shards = &words[4..];
                let share = 1.0 / shards.len() as f64;
                let range = |s: &&str| json!({"range": s.parse::<u32>().unwrap_or(99), "portion": share});
                let ranges: Vec<Value> = shards.iter().map(range).collect();
                self.next += 1;
                let query = Query {
                    id: format!("{:016x}", self.next),
                    kind: kind.to_owned(),
                    deadline_ms: ms.parse().expect("a number"),
                    body: json!({"ranges": ranges, "predicate": "c41e77d0"}),
                };
                let (name, sender) = (name.to_owned(), self.sender.clone());
                let answer = move |text: String| drop(sender.send(Event::Response(name.clone(), text)));
                let close = match self.wire {
                    Protocol::Http => stand_ins::send_query(self.program.http, query, answer),
                    Protocol::Flight | Protocol::FlightGoAway(_) => {
                        flight::send_query(self.program.flight, query, answer)
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
                return Some(format!("runs {}: {}", words[2], self.runs.get(&number(2)).unwrap_or(&0)));
            }
            ["expect", "closed"] => {
                self.event(line, |e| matches!(e, Event::ConnectionClosed).then_some(()));
                return Some("closed".to_owned());
            }
            ["expect", "probe"] => {
                let pick = |e: &Event| matches!(e, Event::HealthCheck(_)).then_some(());
                if let (_, Event::HealthCheck(reply)) = self.event(line, pick) {
                    self.probe = Some(reply);
                }
                return Some("probe".to_owned());
            }
            ["expect", "hosts"] => return Some(format!("hosts {:?}", self.used)),
            ["expect", "raw"] => {
                let mut raw = self.raw.take().expect("raw bytes were sent");
                raw.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                let mut text = String::new();
                let mut byte = [0];
                while !text.ends_with("\r\n\r\n") && raw.read_exact(&mut byte).is_ok() {
                    text.push(byte[0].into());
                }
                let length = text.split_once("Content-Length: ").and_then(|(_, rest)| rest.split_once('\r'));
                let length = length.and_then(|(length, _)| length.parse().ok()).unwrap_or(0);
                drop(raw.read_exact(&mut vec![0; length]));
                let status = text.split(' ').nth(1).unwrap_or("none");
                let closes = text.contains("Connection: close");
                let closed = closes && raw.read_to_end(&mut Vec::new()).is_ok();
                self.raw = (!closes).then_some(raw);
                return Some(format!("raw {status}{}", if closed { ", closed" } else { "" }));
            }
            ["expect", "exit"] => {
                let status = self.program.child.wait().expect("an exit code");
                return Some(format!("exit {:?}", status.code()));
            }
            ["expect", "no", "log", ..] => {
                let text = line.split_once("log ").expect("a text").1;
                let log = self.program.log.lock().expect("a sound lock");
                assert!(!log.iter().any(|line| line.contains(text)), "{log:#?}");
            }
            ["expect", "log", ..] => {
                let text = line.split_once("log ").expect("a text").1;
                let written =
                    || self.program.log.lock().expect("a sound lock").iter().any(|l| l.contains(text));
                let tries = (0..TEST_TIMEOUT.as_millis() / 20).any(|_| {
                    std::thread::sleep(Duration::from_millis(20));
                    written()
                });
                assert!(tries, "no line {text}");
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
            ["close", name] => self.clients.remove(name).expect("such a client")(),
            ["wait", _] => std::thread::sleep(Duration::from_millis(number(1).into())),
            _ => panic!("no such step: {line}"),
        }
        None
    }
}

/// Plays a scenario on one wire and returns its transcript.
pub fn play(wire: Protocol, scenario: &str) -> String {
    play_with_descriptors(wire, 1024, 1024, scenario)
}

fn raw_bytes(line: &str, word: &str) -> Vec<u8> {
    let text = line.split_once(word).expect("bytes").1;
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}

/// Plays a scenario with a program that is told so many descriptors and may hold so many.
pub fn play_with_descriptors(wire: Protocol, told: u32, descriptors: u32, scenario: &str) -> String {
    let mut world = ScenarioRunner::new(wire, told, descriptors, scenario.contains("expect probe"));
    transcript(scenario, |line| world.step(line))
}

fn transcript(scenario: &str, step: impl FnMut(&str) -> Option<String>) -> String {
    let steps = scenario.lines().map(str::trim).filter(|line| !line.is_empty());
    steps.filter_map(step).collect::<Vec<_>>().join("\n")
}

/// Plays a scenario on both wires; the transcripts have to be the same.
pub fn play_on_both(scenario: &str) -> String {
    let (http, flight) = (play(Protocol::Http, scenario), play(Protocol::Flight, scenario));
    assert_eq!(http, flight, "the wires differ");
    http
}
