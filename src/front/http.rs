//! The HTTP front: connections of clients on the platform's protocol.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::core::{Answer, Asker, Core, Failure};
use crate::front::http1::{self, Bad, Body, Head};
use crate::front::query::{self, Frame};
use crate::gatherer::Gatherer;
use crate::interface::Micros;
use crate::net::{Handle, ReadEnd, Stream};

/// Read ahead from a client while its request is in work.
const LONGEST_INPUT: usize = http1::LONGEST_HEAD + http1::LONGEST_BODY;
/// Time for a request that has begun to become whole, and for an answer to be taken.
const SLOWEST: Micros = 20_000_000;
/// A connection without a request is kept for so long.
const LONGEST_IDLE: Micros = 120_000_000;

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
    /// The last answer is written, but the client may still be sending: a close now would reset the
    /// connection and could take the answer with it.
    Lingering,
}

struct Connection {
    stream: Stream,
    input: Vec<u8>,
    output: Vec<u8>,
    state: State,
    /// The client wants the connection closed after this answer.
    close: bool,
    /// The client may still be sending when the last answer is written.
    linger: bool,
    /// A request has begun to come in.
    begun: bool,
    /// When the present wait for the client began.
    since: Micros,
}

/// The connections of the HTTP front.
pub struct Front {
    connections: BTreeMap<u64, Connection>,
    next: u64,
    most: usize,
    draining: bool,
}

impl Front {
    /// A front for at most `most` connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { connections: BTreeMap::new(), next: 1, most, draining: false }
    }

    /// Whether one more connection fits; an idle one is closed to make room.
    pub fn has_room(&mut self) -> bool {
        if self.connections.len() >= self.most {
            let idle =
                |c: &Connection| matches!(c.state, State::Idle) && c.input.is_empty() && c.output.is_empty();
            let oldest = self.connections.iter().filter(|(_, c)| idle(c)).min_by_key(|(_, c)| c.since);
            if let Some(id) = oldest.map(|(&id, _)| id) {
                self.connections.remove(&id);
            }
        }
        self.connections.len() < self.most
    }

    /// Takes an accepted connection.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: std::net::TcpStream) {
        let id = self.next;
        self.next += 1;
        match Stream::accepted(handle, socket, move |g: &mut Gatherer| g.http_ready(id)) {
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
                        linger: false,
                        begun: false,
                        since: now,
                    },
                );
            }
            Err(e) => tracing::warn!("connection not taken: {e}"),
        }
    }

    /// A connection's socket is ready.
    pub fn ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.ready(now, id, core, self.draining) {
            if matches!(connection.state, State::Asked) {
                core.gone(Asker::Http(id));
            }
            self.connections.remove(&id);
        }
    }

    /// The core has decided.
    pub fn answer(&mut self, now: Micros, id: u64, answer: &Answer, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.answer(now, answer, self.draining);
        // What the client sent ahead is looked at now; a readiness for it will not come again.
        self.ready(now, id, core);
    }

    /// Whether an answer is owed or being written.
    #[must_use]
    pub fn busy(&self) -> bool {
        let owes =
            |c: &Connection| !matches!(c.state, State::Idle | State::Lingering) || !c.output.is_empty();
        self.connections.values().any(owes)
    }

    /// From now on every answer asks the client to go elsewhere.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Closes connections without a request, after a last look for one.
    pub fn close_idle(&mut self, now: Micros, core: &mut Core) {
        let all: Vec<u64> = self.connections.keys().copied().collect();
        for id in all {
            self.ready(now, id, core);
            let idle = |c: &Connection| matches!(c.state, State::Idle) && c.output.is_empty();
            if self.connections.get(&id).is_some_and(idle) {
                self.connections.remove(&id);
            }
        }
    }

    /// When the first client has kept it waiting for too long.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.connections.values().filter_map(Connection::deadline).min()
    }

    /// Cuts off clients that have kept it waiting for too long.
    pub fn expire(&mut self, now: Micros) {
        self.connections.retain(|_, c| match c.deadline() {
            Some(at) if at <= now && c.begun => {
                c.refuse_input(now, Bad(408, "the request did not come in time"));
                c.flush()
            }
            Some(at) => at > now,
            None => true,
        });
    }
}

impl Connection {
    /// When the client has kept it waiting for too long.
    fn deadline(&self) -> Option<Micros> {
        match self.state {
            State::Asked if self.output.is_empty() => None,
            State::Idle if !self.begun && self.output.is_empty() => Some(self.since + LONGEST_IDLE),
            _ => Some(self.since + SLOWEST),
        }
    }

    /// Goes on as far as the socket lets it; `false` when the connection is over.
    fn ready(&mut self, now: Micros, id: u64, core: &mut Core, draining: bool) -> bool {
        if !self.flush() {
            return false;
        }
        loop {
            let end = self.stream.read(&mut self.input, LONGEST_INPUT);
            let mut moved = false;
            if matches!(self.state, State::Lingering) {
                self.input.clear();
                moved = true;
            }
            while matches!(self.state, State::Idle | State::Body(..)) {
                match self.step(now, id, core, draining) {
                    Ok(true) => moved = true,
                    Ok(false) => break,
                    Err(bad) => {
                        self.refuse_input(now, bad);
                        moved = true;
                    }
                }
            }
            let begun = matches!(self.state, State::Body(..))
                || (matches!(self.state, State::Idle) && !self.input.is_empty());
            if begun && !self.begun {
                self.since = now;
            }
            self.begun = begun;
            if !self.flush() || end == ReadEnd::Closed {
                return false;
            }
            if end == ReadEnd::Blocked || !moved {
                return true;
            }
        }
    }

    /// Takes the next piece of a request; `false` when more has to come first.
    fn step(&mut self, now: Micros, id: u64, core: &mut Core, draining: bool) -> Result<bool, Bad> {
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
                if let State::Body(head, _) = std::mem::replace(&mut self.state, State::Asked) {
                    self.close = head.close;
                    if let Err(reply) = route(now, id, &head, &body, core, draining) {
                        self.reply(now, reply, draining);
                    }
                }
                Ok(true)
            }
            State::Asked | State::Closing | State::Lingering => Ok(false),
        }
    }

    fn answer(&mut self, now: Micros, answer: &Answer, draining: bool) {
        if matches!(self.state, State::Asked) {
            self.reply(now, render(answer), draining);
        }
    }

    fn reply(&mut self, now: Micros, Reply(status, extra, body): Reply, draining: bool) {
        let close = self.close || draining;
        self.output.extend(http1::write(status, &extra, &body, close));
        self.state = if close { State::Closing } else { State::Idle };
        self.since = now;
    }

    /// Framing is lost, so nothing more can be read from this client.
    fn refuse_input(&mut self, now: Micros, Bad(status, words): Bad) {
        tracing::debug!("bad request: {words}");
        self.output.extend(http1::write(status, &[], &error(words), true));
        self.state = State::Closing;
        (self.linger, self.begun, self.since) = (true, false, now);
    }

    /// Writes what the socket takes; `false` when the connection is over.
    fn flush(&mut self) -> bool {
        match self.stream.write(&self.output) {
            Ok(done) => drop(self.output.drain(..done)),
            Err(_) => return false,
        }
        if self.output.is_empty() && matches!(self.state, State::Closing) {
            if !self.linger {
                return false;
            }
            self.stream.finish();
            self.state = State::Lingering;
        }
        true
    }
}

struct Reply(u16, Vec<(&'static str, String)>, String);

fn error(words: &str) -> String {
    json!({ "error": words }).to_string()
}

/// What the front's wire makes of a final answer.
fn render(answer: &Answer) -> Reply {
    match answer {
        Answer::Served { whole, values } => Reply(200, vec![], query::answer(*whole, values).to_string()),
        Answer::Refused { retry_after, .. } => {
            let seconds = *retry_after as f64 / 1e6;
            let advice = (*retry_after > 0).then(|| ("Retry-After", format!("{seconds:.3}")));
            Reply(503, advice.into_iter().collect(), error("refused"))
        }
        Answer::Failed(Failure::Invalid(words)) => Reply(400, vec![], error(words)),
        Answer::Failed(Failure::Parts) => Reply(502, vec![], error("parts could not be had")),
        Answer::Failed(Failure::TimeUp) => Reply(504, vec![], error("time ran out")),
    }
}

/// Answers a request, or hands its query to the core.
fn route(
    now: Micros,
    id: u64,
    head: &Head,
    body: &[u8],
    core: &mut Core,
    draining: bool,
) -> Result<(), Reply> {
    let method = |wanted: &'static str| {
        if head.method == wanted {
            Ok(())
        } else {
            Err(Reply(405, vec![("Allow", wanted.into())], error("method")))
        }
    };
    match head.path.as_str() {
        "/healthz" => {
            method("GET")?;
            Err(if draining {
                Reply(503, vec![], "draining\n".into())
            } else {
                Reply(200, vec![], "ok\n".into())
            })
        }
        "/api" => {
            method("POST")?;
            let bad = |words: &str| Reply(400, vec![], error(words));
            let ask = ask(head, body, core).map_err(bad)?;
            core.ask(now, Asker::Http(id), ask).map_err(|answer| render(&answer))
        }
        _ => Err(Reply(404, vec![], error("there is nothing here"))),
    }
}

fn ask(head: &Head, body: &[u8], core: &Core) -> Result<crate::core::Ask, &'static str> {
    let req_id = head.header("req-id").filter(|id| query::is_id(id)).ok_or("Req-Id is missing or odd")?;
    let class = head.header("req-kind").and_then(|name| core.class(name)).ok_or("the class is unknown")?;
    let wait = head.header("req-deadline-ms").and_then(|ms| ms.parse::<u32>().ok());
    let expires_in = Micros::from(wait.ok_or("Req-Deadline-Ms is missing or odd")?) * 1000;
    let retry = head.header("req-retry") == Some("1");
    let body: Value = serde_json::from_slice(body).map_err(|_| "the body is not JSON")?;
    query::read(Frame { id: req_id.into(), class, expires_in, retry }, &body)
}
