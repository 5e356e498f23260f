//! The Flight front: clients that speak Arrow Flight, which is gRPC over HTTP/2.
//!
//! `GetFlightInfo` checks a command and gives it back as a ticket; `DoGet` runs the query of a ticket.
//! The command is the platform's body with what stands in its headers beside it: `id`, `kind`, `retry`.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Request, Response};
use prost::Message;
use serde_json::{json, Value};

use crate::front::http1::LONGEST_BODY;
use crate::front::query::{self, Frame};
use crate::token;
use crate::wire::{Flag, Wire};
use mallowgauge_core::{Answer, Ask, Asker, Core, Failure};
use mallowgauge_flight::grpc::{self, Code, Deframer, FlightDescriptor, FlightEndpoint, FlightInfo};
use mallowgauge_flight::grpc::{Status, Ticket};
use mallowgauge_flight::table;
use mallowgauge_net::{Handle, Stream, Token};
use mallowgauge_router::Micros;

/// Most streams of a connection that are open at a time.
const MOST_STREAMS: u32 = 16;
/// Longest list of header lines.
const LONGEST_HEAD: u32 = 16 * 1024;
/// A client that keeps the front waiting for longer than this is cut off: for a handshake or a request
/// to become whole, for more of an answer to be taken, for a connection to be used.
const SLOWEST_REQUEST: Micros = 2_000_000;
const SLOWEST_ANSWER: Micros = 10_000_000;
const LONGEST_IDLE: Micros = 120_000_000;

type Handshake = Pin<Box<dyn Future<Output = Result<server::Connection<Wire, Bytes>, h2::Error>>>>;

enum State {
    Handshake(Handshake),
    Up(Box<server::Connection<Wire, Bytes>>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    GetFlightInfo,
    DoGet,
}

enum Stage {
    /// The request is coming in.
    Reading(RecvStream, Deframer),
    /// The core has the query.
    Asked,
    /// The answer goes out as fast as the client takes it: what is left of it, and its status.
    Writing(SendStream<Bytes>, Bytes, HeaderMap),
    Done,
}

struct Call {
    method: Method,
    timeout: Option<Micros>,
    arrived: Micros,
    since: Micros,
    respond: SendResponse<Bytes>,
    stage: Stage,
}

struct Connection {
    state: State,
    flag: Arc<Flag>,
    waker: Waker,
    calls: BTreeMap<u64, Call>,
    draining: bool,
    since: Micros,
}

/// The connections of the Flight front.
pub struct Front {
    connections: BTreeMap<u64, Connection>,
    /// Which connection a call is on.
    homes: BTreeMap<u64, u64>,
    next: u64,
    most: usize,
    rng: fastrand::Rng,
}

/// What a step of a connection has to share with it.
struct Desk<'a> {
    core: &'a mut Core,
    homes: &'a mut BTreeMap<u64, u64>,
    next: &'a mut u64,
    rng: &'a mut fastrand::Rng,
    home: u64,
    now: Micros,
}

impl Front {
    /// A front for at most `most` connections.
    #[must_use]
    pub fn new(most: usize, seed: u64) -> Self {
        let (connections, homes) = (BTreeMap::new(), BTreeMap::new());
        Self { connections, homes, next: 1, most, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Whether one more connection fits; the one that has had no call for longest goes to make room.
    pub fn has_room(&mut self) -> bool {
        if self.connections.len() >= self.most {
            let idle = self.connections.iter().filter(|(_, c)| c.calls.is_empty());
            if let Some(id) = idle.min_by_key(|(_, c)| c.since).map(|(&id, _)| id) {
                self.connections.remove(&id);
            }
        }
        self.connections.len() < self.most
    }

    /// Takes an accepted connection.
    pub fn accept(&mut self, now: Micros, handle: &Handle, socket: std::net::TcpStream) {
        let id = self.next;
        self.next += 1;
        match Stream::accepted(handle, socket, Token { kind: token::FLIGHT, id }) {
            Ok(stream) => {
                let (wire, _) = Wire::new(Rc::new(stream));
                let mut builder = server::Builder::new();
                builder.max_concurrent_streams(MOST_STREAMS).max_header_list_size(LONGEST_HEAD);
                let state = State::Handshake(Box::pin(builder.handshake(wire)));
                let (flag, waker) = Flag::waker();
                let calls = BTreeMap::new();
                self.connections
                    .insert(id, Connection { state, flag, waker, calls, draining: false, since: now });
            }
            Err(e) => tracing::warn!("connection not taken: {e}"),
        }
    }

    /// A connection's socket is ready, or something of it has to go out.
    pub fn ready(&mut self, now: Micros, id: u64, core: &mut Core) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (homes, next, rng) = (&mut self.homes, &mut self.next, &mut self.rng);
        let mut desk = Desk { core, homes, next, rng, home: id, now };
        if !connection.ready(&mut desk) {
            self.close(id, core);
        }
    }

    fn close(&mut self, id: u64, core: &mut Core) {
        for (call, held) in self.connections.remove(&id).into_iter().flat_map(|c| c.calls) {
            self.homes.remove(&call);
            if matches!(held.stage, Stage::Asked) {
                core.gone(Asker::Flight(call));
            }
        }
    }

    /// The core has decided.
    pub fn answer(&mut self, now: Micros, call: u64, answer: &Answer, core: &mut Core) {
        let Some(&home) = self.homes.get(&call) else { return };
        let held = self.connections.get_mut(&home).and_then(|c| c.calls.get_mut(&call));
        held.into_iter().for_each(|held| held.answer(now, answer));
        self.ready(now, home, core);
    }

    /// Whether an answer is owed or being written.
    #[must_use]
    pub fn busy(&self) -> bool {
        !self.homes.is_empty()
    }

    /// Asks every client to take new calls elsewhere.
    pub fn drain(&mut self, now: Micros, core: &mut Core) {
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            if let Some(Connection { state: State::Up(up), draining, .. }) = self.connections.get_mut(&id) {
                if !std::mem::replace(draining, true) {
                    up.graceful_shutdown();
                }
            }
            self.ready(now, id, core);
        }
    }

    /// When the first client has kept it waiting for too long.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        let calls = self.connections.values().flat_map(|c| c.calls.values());
        let idle = self.connections.values().filter_map(Connection::idle_until);
        calls.filter_map(Call::deadline).chain(idle).min()
    }

    /// Cuts off calls and connections whose clients have kept it waiting for too long.
    pub fn expire(&mut self, now: Micros, core: &mut Core) {
        let late = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let (mut idle, mut moved) = (Vec::new(), Vec::new());
        for (&id, connection) in &mut self.connections {
            if late(connection.idle_until()) {
                idle.push(id);
            }
            let before = connection.calls.len();
            connection.calls.retain(|call, held| {
                let stays = !late(held.deadline());
                if !stays {
                    self.homes.remove(call);
                }
                stays
            });
            if connection.calls.len() < before {
                connection.since = now;
                moved.push(id);
            }
        }
        idle.into_iter().for_each(|id| self.close(id, core));
        // The resets of the calls that were cut off have to go out.
        moved.into_iter().for_each(|id| self.ready(now, id, core));
    }
}

impl Connection {
    /// How long it is kept while there is no call on it.
    fn idle_until(&self) -> Option<Micros> {
        let rest = if matches!(self.state, State::Handshake(_)) { SLOWEST_REQUEST } else { LONGEST_IDLE };
        self.calls.is_empty().then_some(self.since + rest)
    }

    /// Goes on as far as the socket lets it; `false` when the connection is over.
    fn ready(&mut self, desk: &mut Desk<'_>) -> bool {
        loop {
            self.flag.take();
            let waker = self.waker.clone();
            let alive = self.drive(&mut Context::from_waker(&waker), desk);
            if !alive || !self.flag.take() {
                return alive;
            }
        }
    }

    fn drive(&mut self, cx: &mut Context<'_>, desk: &mut Desk<'_>) -> bool {
        if let State::Handshake(handshake) = &mut self.state {
            match handshake.as_mut().poll(cx) {
                Poll::Pending => return true,
                Poll::Ready(Err(e)) => {
                    tracing::debug!("client speaks no HTTP/2: {e}");
                    return false;
                }
                Poll::Ready(Ok(connection)) => self.state = State::Up(Box::new(connection)),
            }
        }
        let State::Up(connection) = &mut self.state else { return true };
        let mut over = false;
        loop {
            match connection.poll_accept(cx) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok((request, respond)))) => {
                    if let Some(call) = Call::accept(desk.now, request, respond) {
                        let id = *desk.next;
                        *desk.next += 1;
                        desk.homes.insert(id, desk.home);
                        self.calls.insert(id, call);
                    }
                }
                Poll::Ready(_) => {
                    over = true;
                    break;
                }
            }
        }
        let mut moved = false;
        self.calls.retain(|&id, call| {
            let stays = call.drive(id, cx, desk);
            if !stays {
                desk.homes.remove(&id);
                moved = true;
            }
            stays
        });
        if moved {
            self.since = desk.now;
        }
        !over
    }
}

impl Call {
    /// When its client has kept it waiting for too long.
    fn deadline(&self) -> Option<Micros> {
        match self.stage {
            Stage::Reading(..) => Some(self.since + SLOWEST_REQUEST),
            Stage::Asked => None,
            Stage::Writing(..) | Stage::Done => Some(self.since + SLOWEST_ANSWER),
        }
    }

    /// Takes a stream; `None` if it is answered at once.
    fn accept(now: Micros, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Option<Self> {
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        if head.method != http::Method::POST
            || !text("content-type").is_some_and(|kind| kind.starts_with(grpc::CONTENT_TYPE))
        {
            let response = Response::builder().status(415).body(()).ok()?;
            let _ = respond.send_response(response, true);
            return None;
        }
        let method = match head.uri.path().strip_prefix(grpc::SERVICE) {
            Some("GetFlightInfo") => Ok(Method::GetFlightInfo),
            Some("DoGet") => Ok(Method::DoGet),
            _ => Err(Status::new(Code::Unimplemented, "there is no such method here")),
        };
        let timeout = text("grpc-timeout").map(grpc::read_timeout);
        let method = match (method, timeout) {
            (Ok(_), Some(None)) => Err(Status::new(Code::InvalidArgument, "grpc-timeout makes no sense")),
            (method, _) => method,
        };
        let frames = Deframer::new(LONGEST_BODY);
        let stage = Stage::Reading(body, frames);
        let mut call = Self {
            method: *method.as_ref().unwrap_or(&Method::DoGet),
            timeout: timeout.flatten(),
            arrived: now,
            since: now,
            respond,
            stage,
        };
        match method {
            Ok(_) => Some(call),
            Err(status) => {
                call.finish(&status);
                None
            }
        }
    }

    /// Goes on as far as it can; `false` when the call is over.
    fn drive(&mut self, id: u64, cx: &mut Context<'_>, desk: &mut Desk<'_>) -> bool {
        if let Stage::Reading(..) = self.stage {
            match self.read(cx) {
                Poll::Pending => {}
                Poll::Ready(Err(status)) => self.finish(&status),
                Poll::Ready(Ok(message)) => {
                    if let Err(status) = self.start(id, &message, desk) {
                        self.finish(&status);
                    }
                }
            }
        }
        if matches!(self.stage, Stage::Asked) && self.respond.poll_reset(cx).is_ready() {
            desk.core.gone(Asker::Flight(id));
            return false;
        }
        self.write(cx, desk.now)
    }

    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, Status>> {
        let bad = |words| Poll::Ready(Err(Status::new(Code::InvalidArgument, words)));
        let Stage::Reading(body, frames) = &mut self.stage else { return Poll::Pending };
        loop {
            match body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(bytes))) => {
                    let _ = body.flow_control().release_capacity(bytes.len());
                    frames.push(&bytes);
                    if frames.len() > LONGEST_BODY + 5 {
                        return bad("the message is too long");
                    }
                }
                Poll::Ready(Some(Err(_))) => return bad("the request broke off"),
                Poll::Ready(None) => break,
            }
        }
        match frames.take() {
            Ok(Some(message)) if frames.is_empty() => Poll::Ready(Ok(message)),
            Ok(_) => bad("the request is not one message"),
            Err(words) => bad(words),
        }
    }

    /// The request is in.
    fn start(&mut self, id: u64, message: &Bytes, desk: &mut Desk<'_>) -> Result<(), Status> {
        let bad = |words| Status::new(Code::InvalidArgument, words);
        let now = desk.now;
        match self.method {
            Method::GetFlightInfo => {
                let descriptor = FlightDescriptor::decode(message.clone());
                let descriptor = descriptor.map_err(|_| bad("this is no descriptor"))?;
                if descriptor.r#type != grpc::COMMAND {
                    return Err(bad("the descriptor holds no command"));
                }
                let mut command: Value =
                    serde_json::from_slice(&descriptor.cmd).map_err(|_| bad("the command is not JSON"))?;
                if let Some(fields) = command.as_object_mut() {
                    // A client that names no id is given one, so that its ticket is a query of its own.
                    let fresh = || json!(format!("{:016x}", desk.rng.u64(..)));
                    fields.entry("id").or_insert_with(fresh);
                }
                ask(&command, Some(1), desk.core).map_err(bad)?;
                let ticket = Some(Ticket { ticket: command.to_string().into() });
                let info = FlightInfo {
                    schema: table::schema_message().map_err(|_| internal())?,
                    flight_descriptor: Some(descriptor),
                    endpoint: vec![FlightEndpoint { ticket }],
                    total_records: -1,
                    total_bytes: -1,
                };
                self.send(now, grpc::frame(&info).into());
            }
            Method::DoGet => {
                let ticket = Ticket::decode(message.clone()).map_err(|_| bad("this is no ticket"))?;
                let command = serde_json::from_slice(&ticket.ticket).map_err(|_| bad("a bad ticket"))?;
                // The time that the client waits began with its request.
                let spent = now.saturating_sub(self.arrived);
                let left = self.timeout.map(|wait| wait.saturating_sub(spent));
                let ask = ask(&command, left, desk.core).map_err(bad)?;
                self.stage = Stage::Asked;
                if let Err(answer) = desk.core.ask(now, Asker::Flight(id), ask) {
                    self.answer(now, &answer);
                }
            }
        }
        Ok(())
    }

    fn answer(&mut self, now: Micros, answer: &Answer) {
        if !matches!(self.stage, Stage::Asked) {
            return;
        }
        match render(answer) {
            Ok(bytes) => self.send(now, bytes),
            Err(status) => self.finish(&status),
        }
    }

    fn send(&mut self, now: Micros, bytes: Bytes) {
        self.since = now;
        let response = Response::builder().header("content-type", grpc::CONTENT_TYPE).body(());
        let sent = response.ok().and_then(|response| self.respond.send_response(response, false).ok());
        let trailers = Status::new(Code::Ok, "").trailers();
        self.stage = sent.map_or(Stage::Done, |stream| Stage::Writing(stream, bytes, trailers));
    }

    /// Ends the call with a status alone.
    fn finish(&mut self, status: &Status) {
        let mut response = Response::builder().header("content-type", grpc::CONTENT_TYPE);
        if let Some(headers) = response.headers_mut() {
            headers.extend(status.trailers());
        }
        let _ = response.body(()).map(|response| self.respond.send_response(response, true));
        self.stage = Stage::Done;
    }

    /// Writes as much as the client's window takes; `false` when the call is over.
    fn write(&mut self, cx: &mut Context<'_>, now: Micros) -> bool {
        let Stage::Writing(stream, bytes, trailers) = &mut self.stage else {
            return !matches!(self.stage, Stage::Done);
        };
        while !bytes.is_empty() {
            stream.reserve_capacity(bytes.len());
            match stream.poll_capacity(cx) {
                Poll::Pending => return !matches!(stream.poll_reset(cx), Poll::Ready(_)),
                Poll::Ready(Some(Ok(room))) => {
                    let piece = bytes.split_to(room.min(bytes.len()));
                    self.since = now;
                    if stream.send_data(piece, false).is_err() {
                        return false;
                    }
                }
                Poll::Ready(_) => return false,
            }
        }
        let _ = stream.send_trailers(std::mem::take(trailers));
        false
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // A call that ends without a status must not look whole: dropped streams are reset by `h2`, with
        // a reason that clients know.
        if let Stage::Writing(stream, bytes, _) = &mut self.stage {
            if !bytes.is_empty() {
                stream.send_reset(Reason::CANCEL);
            }
        }
    }
}

fn internal() -> Status {
    Status::new(Code::Internal, "the answer could not be written")
}

/// What the front's wire makes of a final answer. Standard clients may by themselves repeat a call that
/// ends with UNAVAILABLE, so that is only said where nothing can have run.
fn render(answer: &Answer) -> Result<Bytes, Status> {
    match answer {
        Answer::Served { whole, values } => {
            table::answer(*whole, values).map(Bytes::from).map_err(|_| internal())
        }
        Answer::Refused { retry_after, untouched } => {
            let code = if *untouched { Code::Unavailable } else { Code::ResourceExhausted };
            Err(Status { code, words: "refused", retry_after: Some(*retry_after) })
        }
        Answer::Failed(Failure::Invalid(words)) => Err(Status::new(Code::InvalidArgument, words)),
        Answer::Failed(Failure::Parts) => Err(Status::new(Code::Internal, "parts could not be had")),
        Answer::Failed(Failure::TimeUp) => Err(Status::new(Code::DeadlineExceeded, "time ran out")),
    }
}

/// Reads a command. A client that states no time waits for as long as its class allows.
fn ask(command: &Value, wait: Option<Micros>, core: &Core) -> Result<Ask, &'static str> {
    let text = |key| command.get(key).and_then(Value::as_str);
    let id = text("id").filter(|id| query::is_id(id)).ok_or("id is missing or odd")?;
    let class = text("kind").and_then(|name| core.class(name)).ok_or("the class is unknown")?;
    let retry = command.get("retry").and_then(Value::as_bool).unwrap_or(false);
    let expires_in = wait.unwrap_or_else(|| core.deadline(class));
    query::read(Frame { id: id.into(), class, expires_in, retry }, command)
}
