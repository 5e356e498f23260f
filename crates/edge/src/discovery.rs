//! Discovery: one HTTP/1.1 connection that watches the list of hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mallowgauge_net::{Handle, ReadEnd, Stream, Token};
use mallowgauge_router::*;
use mallowgauge_settings::hosts::{parse, Host, List};
use serde_json::Value;

use crate::front::http1;
use crate::token;

/// How long a watch may wait for a change.
const WATCH_WAIT: Micros = 10_000_000;
/// Silence after the end of that wait that means failure. What was not told counts as told after 2 s.
const SILENCE: Micros = 1_800_000;
/// A call that need not wait gets this long; its turn may come late. The limit there is 6 s.
const PATIENCE: Micros = 5_000_000;
/// Longest answer taken, for a list of some thousands of hosts.
const LONGEST: usize = 1024 * 1024;

/// The names of hosts, with the numbers that the router knows them by.
#[derive(Debug, Default)]
pub struct Roster {
    ids: BTreeMap<String, ServerId>,
    next: u32,
}

impl Roster {
    /// The hosts of a list with their numbers, and the numbers that are forgotten with it: of those that
    /// have left, and of those that a whole list lacks. A number is never given out twice.
    pub fn take<'a>(&mut self, list: &'a List) -> (Vec<(ServerId, &'a Host)>, Vec<ServerId>) {
        let mut hosts = Vec::new();
        for host in &list.hosts {
            match self.ids.get(&host.name) {
                Some(&id) => hosts.push((id, host)),
                None if host.phase == Phase::Gone => {}
                None => {
                    let id = ServerId(self.next);
                    self.next += 1;
                    tracing::info!("host {} is number {}", host.name, id.0);
                    self.ids.insert(host.name.clone(), id);
                    hosts.push((id, host));
                }
            }
        }
        let named: BTreeSet<ServerId> = hosts.iter().map(|(id, _)| *id).collect();
        let left = hosts.iter().filter(|(_, host)| host.phase == Phase::Gone).map(|(id, _)| *id);
        let mut gone: BTreeSet<ServerId> = left.collect();
        gone.extend(self.ids.values().filter(|id| list.reset && !named.contains(id)));
        self.ids.retain(|_, id| !gone.contains(id));
        (hosts, gone.into_iter().collect())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Watch,
    Fetch,
}

/// What a step of discovery came to.
#[derive(Debug, PartialEq)]
pub enum News {
    /// A list came.
    List(List),
    /// The call failed, or the watch ended.
    Failed,
}

/// The connection to discovery, with at most one call on it.
pub struct Discovery {
    addr: SocketAddr,
    stream: Option<Stream>,
    input: Vec<u8>,
    output: Vec<u8>,
    call: Option<Call>,
    until: Micros,
    generation: u64,
    /// A watch has been answered, so the next one has to follow at once.
    watching: bool,
    fetch: bool,
    /// No list has come from the present address yet: versions need not go on from those of the one
    /// before, so the whole list is asked for first.
    moved: bool,
}

impl Discovery {
    /// No call is made before the router asks for one.
    #[must_use]
    pub fn new(addr: SocketAddr, generation: u64) -> Self {
        Self {
            addr,
            stream: None,
            input: Vec::new(),
            output: Vec::new(),
            call: None,
            until: 0,
            generation,
            watching: false,
            fetch: false,
            moved: false,
        }
    }

    /// The router asks for changes from now on.
    pub fn watch(&mut self, now: Micros, handle: &Handle) -> Option<News> {
        if self.call.is_some() {
            None
        } else {
            self.begin(now, handle, Call::Watch)
        }
    }

    /// The router asks for the whole list once.
    pub fn fetch(&mut self, now: Micros, handle: &Handle) -> Option<News> {
        if self.call.is_some() {
            self.fetch = true;
            return None;
        }
        self.begin(now, handle, Call::Fetch)
    }

    /// Asks at another address from now on, at once; what the old one still owes is not waited for.
    pub fn relocate(&mut self, now: Micros, handle: &Handle, addr: SocketAddr) -> Option<News> {
        if addr == self.addr {
            return None;
        }
        (self.addr, self.stream, self.moved) = (addr, None, true);
        self.begin(now, handle, Call::Watch)
    }

    /// When silence means failure.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.call.map(|_| self.until)
    }

    /// Looks at the clock.
    pub fn expire(&mut self, now: Micros) -> Option<News> {
        self.due().filter(|&until| until <= now).map(|_| self.fail("silent for too long"))
    }

    fn begin(&mut self, now: Micros, handle: &Handle, call: Call) -> Option<News> {
        let call = if self.moved { Call::Fetch } else { call };
        let ask = match call {
            Call::Watch => format!("?index={}&wait={}", self.generation, WATCH_WAIT / 1000),
            Call::Fetch => String::new(),
        };
        self.call = Some(call);
        self.until = now + if call == Call::Watch { WATCH_WAIT + SILENCE } else { PATIENCE };
        self.output = format!("GET /v1/servers{ask} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr).into_bytes();
        self.input.clear();
        if self.stream.is_none() {
            match Stream::dial(handle, self.addr, Token { kind: token::DISCOVERY, id: 0 }) {
                Ok(stream) => self.stream = Some(stream),
                Err(e) => return Some(self.fail(&e.to_string())),
            }
        }
        self.flush()
    }

    fn flush(&mut self) -> Option<News> {
        let stream = self.stream.as_ref()?;
        match stream.connected() {
            None => return None,
            Some(false) => return Some(self.fail("no connection")),
            Some(true) => {}
        }
        match stream.write(&self.output) {
            Ok(done) => drop(self.output.drain(..done)),
            Err(e) => return Some(self.fail(&e.to_string())),
        }
        None
    }

    fn fail(&mut self, why: &str) -> News {
        tracing::warn!("discovery failed: {why}");
        self.stream = None;
        self.call = None;
        self.watching = false;
        News::Failed
    }

    /// The socket is ready: the answer is read, and the next watch goes out at once.
    pub fn ready(&mut self, now: Micros, handle: &Handle) -> Vec<News> {
        let mut news = Vec::new();
        if let Some(failed) = self.flush() {
            return vec![failed];
        }
        let Some(stream) = &self.stream else { return news };
        if stream.connected() != Some(true) {
            return news;
        }
        let end = stream.read(&mut self.input, LONGEST);
        match http1::response(&self.input, end == ReadEnd::Closed) {
            Ok(None) if end == ReadEnd::Blocked => {}
            Ok(Some(response)) if self.call.is_some() => {
                let list = (response.status == 200)
                    .then(|| serde_json::from_slice(&response.body).ok())
                    .flatten()
                    .and_then(|value: Value| {
                        parse(&value).map_err(|e| tracing::warn!("discovery: {e}")).ok()
                    });
                let Some(list) = list else {
                    news.push(self.fail(&format!("answer {}", response.status)));
                    return news;
                };
                if response.close || end == ReadEnd::Closed {
                    self.stream = None;
                }
                self.generation = list.generation;
                let was = self.call.take();
                self.watching |= was == Some(Call::Watch) || std::mem::take(&mut self.moved);
                news.push(News::List(list));
                let next = if std::mem::take(&mut self.fetch) {
                    Some(Call::Fetch)
                } else {
                    self.watching.then_some(Call::Watch)
                };
                news.extend(next.and_then(|call| self.begin(now, handle, call)));
            }
            _ if self.call.is_some() => news.push(self.fail("the connection broke")),
            _ => self.stream = None,
        }
        news
    }
}
