//! Discovery: one HTTP/1.1 connection that watches the list of hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mallowgauge_net::{Handle, ReadEnd, Stream, Token};
use mallowgauge_router::*;
use mallowgauge_settings::hosts::{parse, Host, List};
use serde_json::Value;

use crate::front::http1::{Response, ResponseReader};
use crate::token;

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls in
// between. So of any two calls in a row the first has to be given up, and the second answered, within that:
//
//     silent watch    WATCH_WAIT 2.2 + WATCH_GRACE 1.3 + back-off 1.4 + the answer to the next call   = 4.9 s + answer
//     silent call     CALL_TIMEOUT 2.4                 + back-off 2.6 + the answer to the next call   = 5.0 s + answer
//     silent dial     DIAL_TIMEOUT 1.0                 + back-off 2.6 + the answer to the next call   = 3.6 s + answer
//
// (back-off: the router's; 0.7 to 1.4 s after the first failure, up to 2.6 s later: a third of that after the first fed the
// overload of a discovery that a hundred restarted gatherers ask at once.) Discovery itself ends a call that has waited
// 2 s for its turn. What it costs: 27 calls a minute and gatherer with nothing to tell, where a wait of 10 s made 6.
// Not held: a watch that falls silent as the next call after a refusal, at the longest back-off, takes 6.1 s.

/// How long a watch may wait for a change.
const WATCH_WAIT: Micros = 2_200_000;
/// Silence after the end of that wait that means failure.
const WATCH_GRACE: Micros = 1_300_000;
/// A call that need not wait gets this long.
const CALL_TIMEOUT: Micros = 2_400_000;
/// A connection that is not up by then is given up.
const DIAL_TIMEOUT: Micros = 1_000_000;
/// Longest answer taken, for a list of some thousands of hosts.
const LONGEST: usize = 1024 * 1024;

/// The names of hosts, with the numbers that the router knows them by.
#[derive(Debug, Default)]
pub struct Roster {
    ids: BTreeMap<String, BackendId>,
    next: u32,
}

impl Roster {
    /// The hosts of a list with their numbers, and the numbers that are forgotten with it: of those that
    /// have left, and of those that a whole list lacks. A number is never given out twice.
    pub fn take<'a>(&mut self, list: &'a List) -> (Vec<(BackendId, &'a Host)>, Vec<BackendId>) {
        let mut hosts = Vec::new();
        for host in &list.hosts {
            match self.ids.get(&host.name) {
                Some(&id) => hosts.push((id, host)),
                None if host.phase == EndpointState::Removed => {}
                None => {
                    let id = BackendId(self.next);
                    self.next += 1;
                    tracing::info!("host {} is number {}", host.name, id.0);
                    self.ids.insert(host.name.clone(), id);
                    hosts.push((id, host));
                }
            }
        }
        let named: BTreeSet<BackendId> = hosts.iter().map(|(id, _)| *id).collect();
        let left = hosts.iter().filter(|(_, host)| host.phase == EndpointState::Removed).map(|(id, _)| *id);
        let mut gone: BTreeSet<BackendId> = left.collect();
        gone.extend(self.ids.values().filter(|id| list.reset && !named.contains(id)));
        self.ids.retain(|_, id| !gone.contains(id));
        (hosts, gone.into_iter().collect())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    /// What has changed; where nothing has, the answer waits.
    Watch,
    /// What has changed so far, told at once.
    Check,
    /// The whole list.
    Fetch,
}

impl Call {
    /// How long its answer may take.
    fn time(self) -> Micros {
        match self {
            Call::Watch => WATCH_WAIT + WATCH_GRACE,
            Call::Check | Call::Fetch => CALL_TIMEOUT,
        }
    }
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
    reader: ResponseReader,
    call: Option<Call>,
    /// The connection for the call is still being opened.
    dialing: bool,
    until: Micros,
    generation: u64,
    /// A watch has been answered, so the next one has to follow at once.
    watching: bool,
    fetch: bool,
    /// The versions that discovery counts need not go on from the present one: it has moved, or told of an older
    /// one. The whole list is asked for first, and taken whatever its version.
    anew: bool,
    /// The next watch begins with a call that need not wait: the saved list has to be held against discovery's
    /// before it is used, or the call before was silent. Silence shows sooner there than on one watch after the other.
    unchecked: bool,
}

impl Discovery {
    /// No call is made before one is asked for. `unchecked`: the first answer has to say at once what the saved
    /// list, of that version, does not.
    #[must_use]
    pub fn new(addr: SocketAddr, generation: u64, unchecked: bool) -> Self {
        Self {
            addr,
            stream: None,
            input: Vec::new(),
            output: Vec::new(),
            reader: ResponseReader::new(LONGEST),
            call: None,
            dialing: false,
            until: 0,
            generation,
            watching: false,
            fetch: false,
            anew: false,
            unchecked,
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
        (self.addr, self.stream, self.anew) = (addr, None, true);
        self.begin(now, handle, Call::Watch)
    }

    /// When silence means failure.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.call.map(|_| self.until)
    }

    /// Looks at the clock.
    pub fn expire(&mut self, now: Micros) -> Option<News> {
        let why = if self.dialing { "no connection in time" } else { "silent for too long" };
        self.due().filter(|&until| until <= now)?;
        // One silent watch after the other would take too long; a call that was answered, if only with a
        // refusal, is not followed by two: a herd of gatherers at a busy discovery feels that.
        self.unchecked = true;
        Some(self.fail(why))
    }

    fn begin(&mut self, now: Micros, handle: &Handle, call: Call) -> Option<News> {
        let call = match call {
            _ if self.anew => Call::Fetch,
            Call::Watch if self.unchecked => Call::Check,
            call => call,
        };
        let ask = match call {
            Call::Check => format!("?index={}&wait=1", self.generation),
            Call::Watch => format!("?index={}&wait={}", self.generation, WATCH_WAIT / 1000),
            Call::Fetch => String::new(),
        };
        self.call = Some(call);
        self.until = now + call.time();
        self.output = format!("GET /v1/servers{ask} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr).into_bytes();
        (self.input, self.reader) = (Vec::new(), ResponseReader::new(LONGEST));
        if self.stream.is_none() {
            match Stream::dial(handle, self.addr, Token { kind: token::DISCOVERY, id: 0 }) {
                Ok(stream) => self.stream = Some(stream),
                Err(e) => return Some(self.fail(&e.to_string())),
            }
            (self.dialing, self.until) = (true, now + DIAL_TIMEOUT);
        }
        self.flush(now)
    }

    fn flush(&mut self, now: Micros) -> Option<News> {
        let stream = self.stream.as_ref()?;
        match stream.connected() {
            None => return None,
            Some(false) => return Some(self.fail("no connection")),
            Some(true) => {}
        }
        if std::mem::take(&mut self.dialing) {
            self.until = now + self.call.map_or(0, Call::time);
        }
        match stream.write(&self.output) {
            Ok(done) => drop(self.output.drain(..done)),
            Err(e) => return Some(self.fail(&e.to_string())),
        }
        None
    }

    fn fail(&mut self, why: &str) -> News {
        tracing::warn!("discovery failed: {why}");
        (self.stream, self.dialing) = (None, false);
        (self.input, self.output) = (Vec::new(), Vec::new());
        self.call = None;
        self.watching = false;
        News::Failed
    }

    /// The socket is ready: the answer is read, and the next watch goes out at once.
    pub fn ready(&mut self, now: Micros, handle: &Handle) -> Vec<News> {
        if let Some(failed) = self.flush(now) {
            return vec![failed];
        }
        loop {
            let Some(stream) = self.stream.as_ref().filter(|_| !self.dialing) else { return Vec::new() };
            let end = stream.read(&mut self.input, LONGEST);
            if self.call.is_none() {
                // Nothing was asked, so what comes is the end of the connection or nothing that counts.
                if end != ReadEnd::Blocked || !self.input.is_empty() {
                    (self.stream, self.input) = (None, Vec::new());
                }
                return Vec::new();
            }
            let held = self.input.len();
            match self.reader.take(&mut self.input, end == ReadEnd::Closed) {
                Ok(Some(response)) => {
                    // Bytes behind the answer belong to no call; they must not be taken for the next one's.
                    if response.close || end.is_over() || !self.input.is_empty() {
                        self.stream = None;
                    }
                    return self.answered(now, handle, &response);
                }
                // What was taken off made room: there may be more in the socket.
                Ok(None) if end == ReadEnd::Full && self.input.len() < held => {}
                Ok(None) if end == ReadEnd::Blocked => return Vec::new(),
                Ok(None) if end == ReadEnd::Full => return vec![self.fail("an answer without end")],
                Ok(None) => return vec![self.fail("the connection broke")],
                Err(bad) => return vec![self.fail(bad.1)],
            }
        }
    }

    /// An answer is in, whole.
    fn answered(&mut self, now: Micros, handle: &Handle, response: &Response) -> Vec<News> {
        if response.status != 200 {
            return vec![self.fail(&format!("answer {}", response.status))];
        }
        let list = serde_json::from_slice(&response.body).map_err(|e| e.to_string());
        let list = match list.and_then(|value: Value| parse(&value).map_err(|e| e.to_string())) {
            Ok(list) => list,
            Err(e) => return vec![self.fail(&format!("no list: {e}"))],
        };
        if list.generation < self.generation && !self.anew {
            // A host that has left since would be taken to be there again.
            self.anew = true;
            return vec![self.fail("a list older than the present one")];
        }
        self.generation = list.generation;
        let was = self.call.take();
        self.unchecked = false;
        self.watching |= was != Some(Call::Fetch) || std::mem::take(&mut self.anew);
        let mut news = vec![News::List(list)];
        let next = if std::mem::take(&mut self.fetch) {
            Some(Call::Fetch)
        } else {
            self.watching.then_some(Call::Watch)
        };
        news.extend(next.and_then(|call| self.begin(now, handle, call)));
        news
    }
}
