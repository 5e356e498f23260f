//! Arrow Flight to hosts that offer it: each part is a `DoGet` of its own, so that one that hangs holds
//! up no other. The tickets of one call name it, so that a host can do its common work once. A part is
//! in only once its stream has ended with OK.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use h2::client::{self, ResponseFuture, SendRequest};
use h2::{Ping, PingPong, Reason, RecvStream, SendStream};
use prost::Message;
use serde_json::json;

use crate::upstream::{Report, SLOWEST_FRAME};
use crate::wire::{Flag, Wire};
use mallowgauge_core::{AttemptId, Send};
use mallowgauge_flight::grpc::{self, Code, Deframer, FlightData, Ticket};
use mallowgauge_flight::table::{Reader, Row};
use mallowgauge_net::Stream;
use mallowgauge_router::*;

/// Longest answer to a part that is taken from a host.
const LONGEST: usize = 256 * 1024;

type Handshake =
    Pin<Box<dyn Future<Output = Result<(SendRequest<Bytes>, client::Connection<Wire, Bytes>), h2::Error>>>>;

enum State {
    Dialling,
    Handshake(Handshake),
    Up(Box<client::Connection<Wire, Bytes>>, SendRequest<Bytes>, PingPong),
}

/// A part that somebody still waits for.
struct Call {
    attempt: AttemptId,
    shard: ShardId,
    sent: Micros,
    request: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    frames: Deframer,
    taken: usize,
    /// Since when a message has come in part.
    partial: Option<Micros>,
    reader: Reader,
    rows: Vec<Row>,
}

/// A connection that speaks Flight.
pub struct FlightLink {
    server: ServerId,
    stream: Rc<Stream>,
    addr: SocketAddr,
    state: State,
    /// A connection that is not up by then is given up.
    until: Micros,
    /// Bytes have come since the last look.
    bytes_came: Arc<AtomicBool>,
    flag: Arc<Flag>,
    waker: Waker,
    queue: VecDeque<Vec<Send>>,
    calls: Vec<Call>,
    next_call: u64,
    probe: Option<(Micros, bool)>,
    /// The host takes no more streams on this connection.
    closing: bool,
    heard: Micros,
    used: Micros,
}

/// How a stream ended: with OK, so that its row counts, or otherwise.
#[derive(Clone, Copy)]
enum End {
    Row,
    Other(Outcome),
}

/// The ticket of a part, with the number of its call and how many parts that has.
fn ticket(send: &Send, call: u64, parts: usize) -> Ticket {
    let text = String::from_utf8_lossy(&send.text);
    let ticket = json!({"query": *send.query, "range": send.shard.0, "predicate": text,
                        "call": call, "parts": parts});
    Ticket { ticket: ticket.to_string().into() }
}

impl FlightLink {
    /// A connection that is being dialled.
    #[must_use]
    pub fn new(server: ServerId, stream: Stream, now: Micros, until: Micros, addr: SocketAddr) -> Self {
        let (flag, waker) = Flag::waker();
        Self {
            server,
            stream: Rc::new(stream),
            addr,
            state: State::Dialling,
            until,
            bytes_came: Arc::default(),
            flag,
            waker,
            queue: VecDeque::new(),
            calls: Vec::new(),
            next_call: 0,
            probe: None,
            closing: false,
            heard: now,
            used: now,
        }
    }

    /// Parts out on it.
    #[must_use]
    pub fn load(&self) -> usize {
        self.queue.iter().map(Vec::len).sum::<usize>() + self.calls.len()
    }

    /// When it was last of use.
    #[must_use]
    pub fn used(&self) -> Micros {
        self.used
    }

    /// Whether new parts may go out on it.
    #[must_use]
    pub fn usable(&self) -> bool {
        !self.closing
    }

    /// Since when something has been out with nothing heard.
    #[must_use]
    pub fn silent_since(&self) -> Option<Micros> {
        self.calls.iter().map(|call| call.sent.max(self.heard)).min()
    }

    /// Sends a call; `false` when the connection is over.
    pub fn call(&mut self, now: Micros, sends: Vec<Send>, reports: &mut Vec<Report>) -> bool {
        self.used = now;
        self.queue.push_back(sends);
        self.ready(now, reports)
    }

    /// Nobody waits for an attempt any more. A stream that nobody waits for is reset.
    pub fn abandon(&mut self, now: Micros, attempt: AttemptId, reports: &mut Vec<Report>) -> bool {
        self.queue.iter_mut().for_each(|sends| sends.retain(|send| send.attempt != attempt));
        self.queue.retain(|sends| !sends.is_empty());
        let before = self.calls.len();
        self.calls.retain_mut(|call| {
            if call.attempt == attempt {
                call.request.send_reset(Reason::CANCEL);
            }
            call.attempt != attempt
        });
        before == self.calls.len() || self.ready(now, reports)
    }

    /// Probes the host with a ping of HTTP/2.
    pub fn probe(&mut self, now: Micros, until: Micros, reports: &mut Vec<Report>) -> bool {
        self.used = now;
        if self.probe.is_none() {
            self.probe = Some((until, false));
        }
        self.ready(now, reports)
    }

    /// Goes on as far as the socket lets it; `false` when the connection is over.
    pub fn ready(&mut self, now: Micros, reports: &mut Vec<Report>) -> bool {
        if matches!(self.state, State::Dialling) {
            match self.stream.connected() {
                None => return true,
                Some(false) => return false,
                Some(true) => {}
            }
            let (wire, bytes_came) = Wire::new(Rc::clone(&self.stream));
            self.bytes_came = bytes_came;
            let mut builder = client::Builder::new();
            builder.initial_window_size(LONGEST as u32).initial_connection_window_size(2 * LONGEST as u32);
            builder.enable_push(false);
            self.state = State::Handshake(Box::pin(builder.handshake(wire)));
        }
        loop {
            self.flag.take();
            let waker = self.waker.clone();
            let alive = self.drive(&mut Context::from_waker(&waker), now, reports);
            if self.bytes_came.swap(false, Ordering::Relaxed) {
                (self.heard, self.used) = (now, now);
            }
            if !alive || !self.flag.take() {
                return alive;
            }
        }
    }

    fn drive(&mut self, cx: &mut Context<'_>, now: Micros, reports: &mut Vec<Report>) -> bool {
        if let State::Handshake(handshake) = &mut self.state {
            match handshake.as_mut().poll(cx) {
                Poll::Pending => return true,
                Poll::Ready(Err(e)) => {
                    tracing::warn!("host {}: no HTTP/2: {e}", self.server.0);
                    return false;
                }
                Poll::Ready(Ok((sender, mut connection))) => {
                    let Some(pings) = connection.ping_pong() else { return false };
                    self.state = State::Up(Box::new(connection), sender, pings);
                }
            }
        }
        let State::Up(connection, sender, pings) = &mut self.state else { return true };
        while let Some(sends) = self.queue.pop_front() {
            self.next_call += 1;
            for send in &sends {
                match Call::begin(send, (self.next_call, sends.len()), now, self.addr, sender, cx) {
                    Ok(call) => self.calls.push(call),
                    Err(e) => {
                        // Nothing of it was written.
                        tracing::info!("host {} takes no more here: {e}", self.server.0);
                        self.closing = true;
                        reports.push(Report::Ended(send.attempt, Outcome::NoRoute, None));
                    }
                }
            }
        }
        if let Some((_, sent @ false)) = &mut self.probe {
            *sent = pings.send_ping(Ping::opaque()).is_ok();
        }
        let over = Pin::new(connection).poll(cx).is_ready();
        if self.probe.is_some() && matches!(pings.poll_pong(cx), Poll::Ready(Ok(_))) {
            self.probe = None;
            reports.push(Report::Probed(self.server, true));
        }
        self.closing |= matches!(sender.poll_ready(cx), Poll::Ready(Err(_)));
        let server = self.server;
        self.calls.retain_mut(|call| match call.poll(cx) {
            Poll::Pending => {
                call.partial = (!call.frames.is_empty()).then(|| call.partial.unwrap_or(now));
                true
            }
            Poll::Ready(end) => {
                call.report(server, end, reports);
                false
            }
        });
        !over
    }

    /// When it has to be looked at.
    #[must_use]
    pub fn due(&self, idle: Micros) -> Option<Micros> {
        if !matches!(self.state, State::Up(..)) {
            return Some(self.until);
        }
        let rest = self.calls.is_empty().then_some(self.used + idle);
        let partial = self.calls.iter().filter_map(|call| call.partial).min().map(|at| at + SLOWEST_FRAME);
        self.probe.map(|(until, _)| until).into_iter().chain(rest).chain(partial).min()
    }

    /// Looks at the clock; `false` when the connection is over.
    pub fn expire(&mut self, now: Micros, idle: Micros, reports: &mut Vec<Report>) -> bool {
        if !matches!(self.state, State::Up(..)) && self.until <= now {
            return false;
        }
        if self.probe.is_some_and(|(until, _)| until <= now) {
            // The pong may still come, and would be taken for the next one's.
            self.probe = None;
            self.closing = true;
            reports.push(Report::Probed(self.server, false));
        }
        let server = self.server;
        let before = self.calls.len();
        self.calls.retain_mut(|call| {
            let stays = call.partial.is_none_or(|at| at + SLOWEST_FRAME > now);
            if !stays {
                tracing::warn!("host {}: a message that does not become whole", server.0);
                call.request.send_reset(Reason::CANCEL);
                call.report(server, End::Other(Outcome::Cut), reports);
            }
            stays
        });
        let alive = before == self.calls.len() || self.ready(now, reports);
        alive && (!self.calls.is_empty() || self.used + idle > now)
    }

    /// The connection is over: calls that were not begun have never run, the rest may have.
    pub fn end(&mut self, reports: &mut Vec<Report>) {
        let never = self.queue.drain(..).flatten().map(|send| send.attempt);
        reports.extend(never.map(|id| Report::Ended(id, Outcome::NoRoute, None)));
        for call in self.calls.drain(..) {
            call.report(self.server, End::Other(Outcome::Cut), reports);
        }
        reports.extend(self.probe.take().map(|_| Report::Probed(self.server, false)));
    }
}

impl Call {
    fn begin(
        send: &Send,
        (call, parts): (u64, usize),
        now: Micros,
        addr: SocketAddr,
        sender: &mut SendRequest<Bytes>,
        cx: &mut Context<'_>,
    ) -> Result<Self, h2::Error> {
        if let Poll::Ready(Err(e)) = sender.poll_ready(cx) {
            return Err(e);
        }
        let request = http::Request::post(format!("http://{addr}{}DoGet", grpc::SERVICE))
            .header("content-type", grpc::CONTENT_TYPE)
            .header("te", "trailers")
            .header("grpc-timeout", grpc::write_timeout(send.wait))
            .body(())
            .map_err(|_| Reason::INTERNAL_ERROR)?;
        let (response, mut request) = sender.send_request(request, false)?;
        request.send_data(grpc::frame(&ticket(send, call, parts)).into(), true)?;
        Ok(Self {
            attempt: send.attempt,
            shard: send.shard,
            sent: now,
            request,
            response: Some(response),
            body: None,
            frames: Deframer::new(LONGEST),
            taken: 0,
            partial: None,
            reader: Reader::default(),
            rows: Vec::new(),
        })
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        let fault = Poll::Ready(End::Other(Outcome::Fault));
        if let Some(response) = &mut self.response {
            match Pin::new(response).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(e)) => return Poll::Ready(End::Other(of_error(&e))),
                Poll::Ready(Ok(response)) => {
                    if response.status() != http::StatusCode::OK {
                        return fault;
                    }
                    if let Some(code) = grpc::status_of(response.headers()) {
                        return Poll::Ready(of_status(code));
                    }
                    self.response = None;
                    self.body = Some(response.into_body());
                }
            }
        }
        loop {
            let Some(body) = &mut self.body else { return fault };
            match body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Err(e))) => return Poll::Ready(End::Other(of_error(&e))),
                Poll::Ready(Some(Ok(bytes))) => {
                    // What is released here is what the host may send next.
                    let _ = body.flow_control().release_capacity(bytes.len());
                    self.taken += bytes.len();
                    self.frames.push(&bytes);
                    if self.taken > LONGEST || self.take().is_err() {
                        return Poll::Ready(End::Other(Outcome::Cut));
                    }
                }
                Poll::Ready(None) => break,
            }
        }
        let Some(body) = &mut self.body else { return fault };
        match body.poll_trailers(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(e)) => Poll::Ready(End::Other(of_error(&e))),
            // Without trailers or with half a message the stream was cut short, whatever it held.
            Poll::Ready(Ok(map)) => match map.as_ref().and_then(grpc::status_of) {
                Some(code) if self.frames.is_empty() => Poll::Ready(of_status(code)),
                _ => Poll::Ready(End::Other(Outcome::Cut)),
            },
        }
    }

    fn take(&mut self) -> Result<(), String> {
        while let Some(message) = self.frames.take()? {
            let data = FlightData::decode(message).map_err(|e| e.to_string())?;
            self.rows.extend(self.reader.take(&data)?);
        }
        Ok(())
    }

    fn report(&self, server: ServerId, end: End, reports: &mut Vec<Report>) {
        let (outcome, value) = match (end, self.rows.as_slice()) {
            (End::Other(outcome), _) => (outcome, None),
            (End::Row, [row]) if row.shard == self.shard => (row.outcome, Some(Rc::clone(&row.value))),
            (End::Row, _) => {
                tracing::warn!("host {}: not one row for shard {}", server.0, self.shard.0);
                (Outcome::Cut, None)
            }
        };
        let value = value.filter(|_| outcome == Outcome::Served);
        reports.push(Report::Ended(self.attempt, outcome, value));
    }
}

/// A status proves nothing about the part: one that failed may have run.
fn of_status(code: u32) -> End {
    if code == Code::Ok as u32 {
        End::Row
    } else if code == Code::DeadlineExceeded as u32 {
        End::Other(Outcome::TimedOut)
    } else {
        End::Other(Outcome::Fault)
    }
}

/// Only a stream that the host has refused, or one above the last that its GOAWAY names, has never run.
/// `h2` gives the host's GOAWAY as the reason to those above it alone: it ends them while it reads the
/// frame, and ends the others with the connection's own error.
fn of_error(e: &h2::Error) -> Outcome {
    let refused = e.is_reset() && e.is_remote() && e.reason() == Some(Reason::REFUSED_STREAM);
    let above = e.is_go_away() && e.is_remote();
    if refused || above {
        Outcome::NoRoom
    } else {
        Outcome::Cut
    }
}
