//! The HTTP front: connections of clients on the platform's protocol.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::front::http1::{self, Bad, Body, Head};
use crate::front::query::{self, Frame};
use crate::lifecycle::Phase;
use crate::token::SocketKind;
use mallowgauge_core::{Core, Failure, QueryResponse, ResponseHandle};
use mallowgauge_net::{Handle, ReadEnd, Stream};
use mallowgauge_router::Micros;

/// Where the platform's front asks whether the program takes queries.
const HEALTH: &str = "/healthz";
/// Read from a client at a time: a whole head fits, and of a body what has come is taken off at once.
const LONGEST_INPUT: usize = http1::LONGEST_HEAD;
/// Read from a client that waits for its answer: the end of what it sends, by which it leaves, is seen behind
/// one more request of the largest size. One that sends more than that is cut off.
const LONGEST_AHEAD: usize = LONGEST_INPUT + http1::LONGEST_BODY;
/// Time for a request to become whole, from when its connection was opened or its first bytes came.
const SLOWEST_REQUEST: Micros = 2_000_000;
/// Time for a client to take something more of its answer.
const SLOWEST_ANSWER: Micros = 10_000_000;
/// A connection that has had an answer is kept for so long without another request.
const KEEP_ALIVE: Micros = 10_000_000;
/// A client that was cut off may go on sending for so long, and so much, before the close.
const LINGER: Micros = 500_000;
const LINGER_BYTES: usize = 256 * 1024;
/// A client's first request follows its connection at once: with no room left, one that has kept silent
/// for longer than this goes first.
const FIRST_BYTES: Micros = 50_000;
/// While the program finishes, a new connection's first request is waited for as long as this.
const FIRST_REQUEST: Micros = 250_000;
/// A connection that was in use so short a while ago makes no room for a crowd.
const KEPT: Micros = 2_000_000;
/// A client that has more to say waits after so many rounds until others have had their turn.
const ROUNDS: usize = 16;
/// The most bytes that a connection can hold of what its client sent: a head or what was read last, and a body;
/// or what was sent ahead of an answer.
pub const LARGEST: usize = LONGEST_AHEAD;

#[derive(Debug)]
enum State {
    /// Waits for a request, or for the rest of its head.
    Idle,
    /// The head is in, the body not yet.
    Body(Box<Head>, Body),
    /// The core has the query.
    Asked,
    /// The last answer is being written.
    Closing,
    /// Nothing more will be written, and the client has been told so; what it still sends is passed over until
    /// it closes too. A close over unread bytes would reset the connection and could take the answer with it.
    Lingering,
}

struct Connection {
    stream: Stream,
    input: Vec<u8>,
    output: Vec<u8>,
    state: State,
    /// The client wants the connection closed after this answer.
    close: bool,
    /// So much of what the client sends after the last answer is passed over.
    linger: usize,
    /// No request of this client has become whole yet.
    fresh: bool,
    /// A request has begun to come in.
    begun: bool,
    /// When the present wait for the client began.
    since: Micros,
    /// How many of its requests were bad since that was last asked, and the last one's status.
    bad: (u64, u16),
}

/// How a connection goes on.
enum Next {
    Wait,
    /// There is more to read; others come first.
    Again,
    Over,
}

/// The connections of the HTTP front.
pub struct Front {
    connections: BTreeMap<u64, Connection>,
    next: u64,
    most: usize,
    /// Where the program is between start and exit.
    phase: Phase,
    /// Connections that have more to read.
    again: Vec<u64>,
    /// Bad requests so far.
    bad: u64,
}

impl Front {
    /// A front for at most `most` connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        let (connections, again) = (BTreeMap::new(), Vec::new());
        Self { connections, next: 1, most, phase: Phase::Starting, again, bad: 0 }
    }

    /// Whether one more connection fits. To make room one goes that has had its last answer, or else one
    /// idle for long, or else one that has kept silent since it was opened, or else one idle for less; but
    /// while many are too new to tell a crowd from clients whose request is on its way, those that were in
    /// use a short while ago are kept, and others wait.
    ///
    /// At most a quarter of the places are kept idle, the newest: clients that ask once and stay would
    /// else use up what the platform's front lets through to one gatherer, long before it is full here.
    pub fn has_room(&mut self, now: Micros, core: &mut Core) -> bool {
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle());
        if idle.clone().count() > self.most / 4 {
            if let Some(id) = idle.min_by_key(|(_, c)| c.since).map(|(&id, _)| id) {
                self.let_go(now, id, core);
            }
        }
        while self.connections.len() >= self.most {
            let Some(id) = self.first_to_go(now) else { return false };
            self.let_go(now, id, core);
        }
        true
    }

    fn first_to_go(&self, now: Micros) -> Option<u64> {
        let is_new = |c: &&Connection| c.fresh && c.since + FIRST_BYTES > now;
        let crowd = self.connections.values().filter(is_new).count() > self.most / 4;
        let rank = |c: &Connection| {
            let age = now.saturating_sub(c.since);
            match c.state {
                State::Lingering => Some(0),
                _ if !c.output.is_empty() => None,
                State::Idle | State::Body(..) if c.fresh && age < FIRST_BYTES => None,
                State::Idle | State::Body(..) if c.fresh => Some(2),
                State::Idle if !c.input.is_empty() => None,
                State::Idle if age >= KEPT => Some(1),
                State::Idle if !crowd => Some(3),
                _ => None,
            }
        };
        let ranked = self.connections.iter().filter_map(|(&id, c)| Some((rank(c)?, c.since, id)));
        ranked.min().map(|(_, _, id)| id)
    }

    /// Closes a connection after a last look for a request, which may have come in the same moment.
    fn let_go(&mut self, now: Micros, id: u64, core: &mut Core) {
        self.ready(now, id, core);
        let owes = |c: &Connection| matches!(c.state, State::Asked) || !c.output.is_empty();
        if !self.connections.get(&id).is_some_and(owes) {
            self.shut(now, id, core);
            self.connections.remove(&id);
        }
    }

    /// Tells a client that nothing more will be written, and only then reads what it has sent until then: a
    /// request among that was not answered, and its client sends it again elsewhere.
    fn shut(&mut self, now: Micros, id: u64, core: &mut Core) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.shut(now);
            self.ready(now, id, core);
        }
    }

    /// Takes an accepted connection.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: std::net::TcpStream) {
        let id = self.next;
        self.next += 1;
        match Stream::accepted(handle, socket, SocketKind::HttpClient.token(id)) {
            Ok(stream) => {
                let (input, output) = (Vec::new(), Vec::new());
                let state = State::Idle;
                self.connections.insert(
                    id,
                    Connection {
                        stream,
                        input,
                        output,
                        state,
                        close: false,
                        linger: LINGER_BYTES,
                        fresh: true,
                        begun: false,
                        since: now,
                        bad: (0, 0),
                    },
                );
            }
            Err(e) => tracing::warn!("connection not taken: {e}"),
        }
    }

    /// A connection's socket is ready.
    pub fn ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let next = connection.ready(now, id, core, self.phase);
        let (count, status) = std::mem::take(&mut connection.bad);
        let before = self.bad;
        self.bad += count;
        // Whoever sends them does not fill the log: each doubling is worth a line.
        if before.checked_ilog2() != self.bad.checked_ilog2() {
            tracing::warn!("bad requests: {} so far, the last was answered {status}", self.bad);
        }
        match next {
            Next::Wait => {}
            Next::Again => self.again.push(id),
            Next::Over => {
                if matches!(connection.state, State::Asked) {
                    core.client_disconnected(ResponseHandle::Http(id));
                }
                self.connections.remove(&id);
            }
        }
    }

    /// The core has decided.
    pub fn answer(&mut self, now: Micros, id: u64, answer: &QueryResponse, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.answer(now, answer, self.phase);
        // What the client sent ahead is looked at now; a readiness for it will not come again.
        self.ready(now, id, core);
    }

    /// Whether any client is still connected. Each wait for one is bounded, and while the program finishes
    /// those that rest are not waited for.
    #[must_use]
    pub fn busy(&self) -> bool {
        !self.connections.is_empty()
    }

    /// The program's phase has changed. While it drains, connections stay open: a client that is sent
    /// away before the front knows of another gatherer has nowhere to go.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// When the first client has kept it waiting for too long, or has more to read.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        if !self.again.is_empty() {
            return Some(0);
        }
        self.connections.values().filter_map(|c| c.deadline(self.phase)).min()
    }

    /// Goes on where there was more to read, and ends connections whose clients have kept it waiting for too
    /// long, after a last look at what they have sent.
    pub fn expire(&mut self, now: Micros, core: &mut Core) {
        for id in std::mem::take(&mut self.again) {
            self.ready(now, id, core);
        }
        let phase = self.phase;
        let late = |c: &Connection| c.deadline(phase).is_some_and(|at| at <= now);
        let all: Vec<u64> = self.connections.iter().filter(|(_, c)| late(c)).map(|(&id, _)| id).collect();
        for id in all {
            self.ready(now, id, core);
            let Some(connection) = self.connections.get_mut(&id).filter(|c| late(c)) else { continue };
            if connection.rests() {
                self.shut(now, id, core);
            } else if connection.begun && connection.output.is_empty() {
                connection.refuse_input(now, Bad(408, "the request did not come in time"));
                self.ready(now, id, core);
            } else {
                self.connections.remove(&id);
            }
        }
    }
}

impl Connection {
    /// It has had an answer, and nothing of another request has come.
    fn is_idle(&self) -> bool {
        self.rests() && !self.fresh
    }

    /// Nothing of a request has come, and no answer is owed.
    fn rests(&self) -> bool {
        matches!(self.state, State::Idle) && self.input.is_empty() && self.output.is_empty()
    }

    /// When the client has kept it waiting for too long.
    fn deadline(&self, phase: Phase) -> Option<Micros> {
        let wait = match self.state {
            State::Asked => return None,
            State::Lingering => LINGER,
            _ if !self.output.is_empty() => SLOWEST_ANSWER,
            State::Idle if !self.begun && phase == Phase::Finishing => match self.fresh {
                true => FIRST_REQUEST,
                false => 0,
            },
            State::Idle if !self.begun && !self.fresh => KEEP_ALIVE,
            _ => SLOWEST_REQUEST,
        };
        Some(self.since + wait)
    }

    /// Tells the client that nothing more will be written.
    fn shut(&mut self, now: Micros) {
        self.stream.finish();
        (self.state, self.since, self.begun) = (State::Lingering, now, false);
    }

    /// Goes on as far as the socket lets it, within reason.
    fn ready(&mut self, now: Micros, id: u64, core: &mut Core, phase: Phase) -> Next {
        for _ in 0..ROUNDS {
            if !self.flush(now) {
                return Next::Over;
            }
            let waits = matches!(self.state, State::Asked);
            let end = self.stream.read(&mut self.input, if waits { LONGEST_AHEAD } else { LONGEST_INPUT });
            let (held, mut moved) = (self.input.len(), false);
            if waits && end == ReadEnd::Full {
                core.client_disconnected(ResponseHandle::Http(id));
                self.refuse_input(now, Bad(413, "too much came ahead of an answer"));
                continue;
            }
            if matches!(self.state, State::Lingering) {
                let Some(left) = self.linger.checked_sub(held) else { return Next::Over };
                self.linger = left;
                self.input.clear();
            }
            // A client that does not take its answers gets no more of them.
            while matches!(self.state, State::Idle | State::Body(..)) && self.output.is_empty() {
                match self.step(now, id, core, phase) {
                    Ok(true) => moved = true,
                    Ok(false) => break,
                    Err(bad) => {
                        self.refuse_input(now, bad);
                        moved = true;
                    }
                }
                if !self.flush(now) {
                    return Next::Over;
                }
            }
            moved |= self.input.len() < held;
            let begun = matches!(self.state, State::Body(..))
                || (matches!(self.state, State::Idle) && !self.input.is_empty());
            if begun && !self.begun && !self.fresh {
                self.since = now;
            }
            self.begun = begun;
            if self.input.is_empty() {
                // Idle clients hold no buffers.
                self.input = Vec::new();
            }
            if end.is_over() {
                return Next::Over;
            }
            if end == ReadEnd::Blocked || !moved {
                return Next::Wait;
            }
        }
        Next::Again
    }

    /// Takes the next piece of a request; `false` when more has to come first.
    fn step(&mut self, now: Micros, id: u64, core: &mut Core, phase: Phase) -> Result<bool, Bad> {
        match &mut self.state {
            State::Idle => {
                let Some((head, body)) = http1::request(&mut self.input)? else { return Ok(false) };
                if head.expects && self.input.is_empty() {
                    self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                self.state = State::Body(Box::new(head), body);
                Ok(true)
            }
            State::Body(_, body) => {
                let Some(body) = body.take(&mut self.input)? else { return Ok(false) };
                self.fresh = false;
                if let State::Body(head, _) = std::mem::replace(&mut self.state, State::Asked) {
                    // Who looks after its health has nothing more to ask, and its place is wanted.
                    self.close = head.close || head.path == HEALTH;
                    if let Err(reply) = route(now, id, &head, &body, core, phase) {
                        self.reply(now, reply, phase);
                    }
                }
                Ok(true)
            }
            State::Asked | State::Closing | State::Lingering => Ok(false),
        }
    }

    fn answer(&mut self, now: Micros, answer: &QueryResponse, phase: Phase) {
        if matches!(self.state, State::Asked) {
            self.reply(now, render(answer), phase);
        }
    }

    fn reply(&mut self, now: Micros, Reply(status, extra, body): Reply, phase: Phase) {
        self.count(status);
        let close = self.close || phase == Phase::Finishing;
        self.output.extend(http1::write(status, &extra, &body, close));
        self.state = if close { State::Closing } else { State::Idle };
        self.since = now;
    }

    /// Takes note of a bad request.
    fn count(&mut self, status: u16) {
        if (400..500).contains(&status) {
            self.bad = (self.bad.0 + 1, status);
        }
    }

    /// Framing is lost, so nothing more can be read from this client.
    fn refuse_input(&mut self, now: Micros, Bad(status, words): Bad) {
        tracing::debug!("bad request: {words}");
        self.count(status);
        self.output.extend(http1::write(status, &[], &error(words), true));
        self.state = State::Closing;
        (self.begun, self.since) = (false, now);
        self.input = Vec::new();
    }

    /// Writes what the socket takes; `false` when the connection is over.
    fn flush(&mut self, now: Micros) -> bool {
        if !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => {}
                Ok(done) => {
                    self.output.drain(..done);
                    self.since = now;
                }
                Err(_) => return false,
            }
        }
        if self.output.is_empty() {
            self.output = Vec::new();
        }
        if self.output.is_empty() && matches!(self.state, State::Closing) {
            self.shut(now);
        }
        true
    }
}

struct Reply(u16, Vec<(&'static str, String)>, String);

fn error(words: &str) -> String {
    json!({ "error": words }).to_string()
}

/// What the front's wire makes of a final answer.
fn render(answer: &QueryResponse) -> Reply {
    match answer {
        QueryResponse::Completed { complete: whole, values } => match query::answer(*whole, values) {
            Ok(body) => Reply(200, vec![], body.to_string()),
            Err(why) => {
                tracing::warn!("an answer could not be written: {why}");
                Reply(500, vec![], error("the answer could not be written"))
            }
        },
        QueryResponse::Ranked(ranked) => Reply(200, vec![], query::ranked(ranked).to_string()),
        QueryResponse::Rejected { retry_after, .. } => {
            let seconds = *retry_after as f64 / 1e6;
            let advice = (*retry_after > 0).then(|| ("Retry-After", format!("{seconds:.3}")));
            Reply(503, advice.into_iter().collect(), error("refused"))
        }
        QueryResponse::Failed(Failure::Invalid(why)) => Reply(400, vec![], error(why.message())),
        QueryResponse::Failed(Failure::PartsFailed) => Reply(502, vec![], error("parts could not be had")),
        QueryResponse::Failed(Failure::MemoryExhausted) => {
            Reply(502, vec![], error("the tables found no room"))
        }
        QueryResponse::Failed(Failure::DeadlineExceeded) => Reply(504, vec![], error("time ran out")),
    }
}

/// Answers a request, or hands its query to the core.
fn route(now: Micros, id: u64, head: &Head, body: &[u8], core: &mut Core, phase: Phase) -> Result<(), Reply> {
    let method = |wanted: &'static str| {
        if head.method == wanted {
            Ok(())
        } else {
            Err(Reply(405, vec![("Allow", wanted.into())], error("method")))
        }
    };
    match head.path.as_str() {
        HEALTH => {
            method("GET")?;
            Err(match phase {
                Phase::Starting => Reply(503, vec![], "starting\n".into()),
                Phase::Serving => Reply(200, vec![], "ok\n".into()),
                _ => Reply(503, vec![], "draining\n".into()),
            })
        }
        "/api" => {
            method("POST")?;
            let bad = |words: &str| Reply(400, vec![], error(words));
            let ask = ask(head, body, core).map_err(bad)?;
            core.submit(now, ResponseHandle::Http(id), ask).map_err(|answer| render(&answer))
        }
        _ => Err(Reply(404, vec![], error("there is nothing here"))),
    }
}

fn ask(head: &Head, body: &[u8], core: &Core) -> Result<mallowgauge_core::QueryRequest, &'static str> {
    let req_id = head.header("req-id").filter(|id| query::is_id(id)).ok_or("Req-Id is missing or odd")?;
    let class = head.header("req-kind").and_then(|name| core.class_id(name)).ok_or("the class is unknown")?;
    let digits = head.header("req-deadline-ms").filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
    let wait = digits.and_then(|ms| ms.parse::<u32>().ok());
    let expires_in = Micros::from(wait.ok_or("Req-Deadline-Ms is missing or odd")?) * 1000;
    let retry = head.header("req-retry") == Some("1");
    let body: Value = serde_json::from_slice(body).map_err(|_| "the body is not JSON")?;
    query::read(Frame { id: req_id.into(), class, expires_in, retry }, &body)
}
