//! Arrow Flight to hosts that offer it: each part is a `DoGet` of its own, so that one that hangs holds
//! up no other. The tickets of one call name it, so that a host can do its common work once. A part is
//! in only once its stream has ended with OK.
//!
//! What may be said of an attempt whose stream ends is decided in `core::truth`, and how much a host may send
//! in `core::budget`: bytes beyond a stream's first window are let come only as far as the budget goes.

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
use mallowgauge_core::stream_outcome::{self, StreamEnd, StreamStage};
use mallowgauge_core::table_memory::{CallId, StreamId, TableMemory, WindowGrant};
use mallowgauge_core::{AttemptId, AttemptRequest, Table, Value};
use mallowgauge_flight::grpc::{self, Code, Deframer, Encoding};
use mallowgauge_flight::ipc::Collector;
use mallowgauge_flight::proto::{FlightData, Ticket};
use mallowgauge_flight::rows;
use mallowgauge_net::Stream;
use mallowgauge_router::*;
use prost::Message;
use serde_json::json;

use crate::tls::{Connector, Session};
use crate::upstream::{drop_late, Report, SLOWEST_FRAME};
use crate::wire::{Flag, Wire};

/// The bounds of what hosts may send.
#[derive(Clone)]
pub struct Terms {
    /// The budget for tables.
    pub budget: TableMemory,
    /// The first window of a stream.
    pub window: u32,
    /// Most bytes of one part's table.
    pub most: usize,
    /// Most streams of a connection.
    pub streams: usize,
    /// TLS, where it is set.
    pub tls: Option<Connector>,
}

type Handshake =
    Pin<Box<dyn Future<Output = Result<(SendRequest<Bytes>, client::Connection<Wire, Bytes>), h2::Error>>>>;

enum State {
    Dialling,
    /// TLS is being agreed on: nothing is handed over before, so that nothing can have run if it fails.
    Securing(Wire),
    Handshake(Handshake),
    Up(Box<client::Connection<Wire, Bytes>>, SendRequest<Bytes>, PingPong),
}

/// A part that somebody still waits for.
struct Call {
    attempt: AttemptId,
    query: CallId,
    stream: StreamId,
    shard: ShardId,
    sent: Micros,
    request: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    body: Option<RecvStream>,
    frames: Deframer,
    /// Bytes that have come and whose place in the window was not given back.
    held: usize,
    /// Of these, so many wait for the budget.
    waits: usize,
    /// Since when a message has come in part.
    partial: Option<Micros>,
    columns: Option<Collector>,
    stage: StreamStage,
    window: usize,
    /// The query's tables have outgrown their bound.
    overrun: bool,
    /// Why what came cannot be used.
    why: String,
}

/// A connection that speaks Flight.
pub struct FlightLink {
    server: BackendId,
    stream: Rc<Stream>,
    addr: SocketAddr,
    terms: Terms,
    state: State,
    /// A connection that is not up by then is given up.
    until: Micros,
    /// Bytes have come since the last look.
    bytes_came: Arc<AtomicBool>,
    flag: Arc<Flag>,
    waker: Waker,
    queue: VecDeque<Vec<AttemptRequest>>,
    calls: Vec<Call>,
    next_call: u64,
    probe: Option<(Micros, bool)>,
    /// The host takes no more streams on this connection.
    closing: bool,
    heard: Micros,
    used: Micros,
}

/// The ticket of a part, with the number of its call and how many parts that has.
fn ticket(send: &AttemptRequest, call: u64, parts: usize) -> Ticket {
    let text = String::from_utf8_lossy(&send.body);
    let ticket = json!({"query": *send.query, "range": send.shard.0, "predicate": text,
                        "call": call, "parts": parts});
    Ticket { ticket: ticket.to_string().into() }
}

impl FlightLink {
    /// A connection that is being dialled.
    #[must_use]
    pub fn new(
        server: BackendId,
        stream: Stream,
        now: Micros,
        until: Micros,
        addr: SocketAddr,
        terms: Terms,
    ) -> Self {
        let (flag, waker) = Flag::waker();
        Self {
            server,
            stream: Rc::new(stream),
            addr,
            terms,
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

    /// Nothing is out or on its way.
    #[must_use]
    pub fn rests(&self) -> bool {
        self.load() == 0 && self.probe.is_none()
    }

    /// It is not up yet, and would have nothing to carry.
    #[must_use]
    pub fn dials_in_vain(&self) -> bool {
        !matches!(self.state, State::Up(..)) && self.queue.is_empty() && self.probe.is_none()
    }

    /// Takes back those of the parts that wait here that were not handed over.
    pub fn take_back(&mut self, which: impl Fn(&AttemptRequest) -> bool, reports: &mut Vec<Report>) {
        for sends in &mut self.queue {
            let taken = sends.extract_if(.., |send| which(send));
            reports.extend(taken.map(|send| Report::Ended(send.attempt, Outcome::NotSent, None)));
        }
        self.queue.retain(|sends| !sends.is_empty());
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

    /// Since when something has been out with nothing heard. A host whose window is shut has nothing to say.
    #[must_use]
    pub fn silent_since(&self) -> Option<Micros> {
        let speaks = self.calls.iter().filter(|call| call.waits == 0);
        speaks.map(|call| call.sent.max(self.heard)).min()
    }

    /// Sends a call; `false` when the connection is over.
    pub fn call(&mut self, now: Micros, sends: Vec<AttemptRequest>, reports: &mut Vec<Report>) -> bool {
        self.used = now;
        self.queue.push_back(sends);
        self.ready(now, reports)
    }

    /// Nobody waits for an attempt any more. A stream that nobody waits for is reset.
    pub fn abandon(&mut self, now: Micros, attempt: AttemptId, reports: &mut Vec<Report>) -> bool {
        self.take_back(|send| send.attempt == attempt, reports);
        let before = self.calls.len();
        let budget = &self.terms.budget;
        self.calls.retain_mut(|call| {
            if call.attempt == attempt {
                call.request.send_reset(Reason::CANCEL);
                budget.close(call.stream);
            }
            call.attempt != attempt
        });
        before == self.calls.len() || self.ready(now, reports)
    }

    /// The budget lets a stream go on; `None` if it is not one of this connection's.
    pub fn grant(
        &mut self,
        now: Micros,
        stream: StreamId,
        bytes: usize,
        reports: &mut Vec<Report>,
    ) -> Option<bool> {
        let call = self.calls.iter_mut().find(|call| call.stream == stream)?;
        call.release(bytes);
        Some(self.ready(now, reports))
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
            let session = match self.terms.tls.as_ref().map(|tls| tls.connect(self.addr)).transpose() {
                Ok(session) => session.map(Session::Client),
                Err(e) => {
                    tracing::warn!("host {}: no TLS: {e}", self.server.0);
                    return false;
                }
            };
            let (wire, bytes_came) = Wire::new(Rc::clone(&self.stream), session);
            self.bytes_came = bytes_came;
            self.state = State::Securing(wire);
        }
        if let State::Securing(wire) = &mut self.state {
            match wire.handshake() {
                Poll::Pending => return true,
                Poll::Ready(Err(e)) => {
                    tracing::warn!("host {}: no TLS: {e}", self.server.0);
                    return false;
                }
                Poll::Ready(Ok(())) => {}
            }
            let State::Securing(wire) = std::mem::replace(&mut self.state, State::Dialling) else {
                return false;
            };
            let window = self.terms.window;
            // A stream that waits for the budget keeps its window's bytes; the others go on beside it.
            let all = window.saturating_mul(u32::try_from(self.terms.streams).unwrap_or(u32::MAX) + 1);
            let mut builder = client::Builder::new();
            builder.initial_window_size(window).initial_connection_window_size(all.min(1 << 30));
            // Larger frames cost less; none is larger than what the window lets come.
            builder.max_frame_size(window.clamp(16_384, 256 * 1024));
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
        while let Some(mut sends) = self.queue.pop_front() {
            drop_late(now, &mut sends, reports);
            self.next_call += 1;
            for send in &sends {
                let place = (self.next_call, sends.len());
                match Call::begin(send, place, now, self.addr, sender, &self.terms, cx) {
                    Ok(call) => self.calls.push(call),
                    Err(e) => {
                        // Nothing of it was written.
                        tracing::info!("host {} takes no more here: {e}", self.server.0);
                        self.closing = true;
                        reports.push(Report::Ended(send.attempt, Outcome::ConnectFailed, None));
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
        let (server, terms) = (self.server, &self.terms);
        self.calls.retain_mut(|call| match call.poll(cx, &terms.budget) {
            Poll::Pending => {
                // A host that may not send more is not the one that keeps a message from becoming whole.
                let waits = call.waits > 0;
                let since = if waits { now } else { call.partial.unwrap_or(now) };
                call.partial = (!call.frames.is_empty()).then_some(since);
                true
            }
            Poll::Ready(end) => {
                call.report(server, end, &terms.budget, reports);
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
        let comes = self.calls.iter().filter(|call| call.waits == 0);
        let partial = comes.filter_map(|call| call.partial).min().map(|at| at + SLOWEST_FRAME);
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
        let (server, budget) = (self.server, &self.terms.budget);
        let before = self.calls.len();
        self.calls.retain_mut(|call| {
            let stays = call.waits > 0 || call.partial.is_none_or(|at| at + SLOWEST_FRAME > now);
            if !stays {
                tracing::warn!("host {}: a message that does not become whole", server.0);
                call.request.send_reset(Reason::CANCEL);
                call.report(server, StreamEnd::Stalled, budget, reports);
            }
            stays
        });
        let alive = before == self.calls.len() || self.ready(now, reports);
        alive && (!self.calls.is_empty() || self.used + idle > now)
    }

    /// The connection is over: calls that were not begun have never run, the rest may have.
    pub fn end(&mut self, reports: &mut Vec<Report>) {
        let never = self.queue.drain(..).flatten().map(|send| send.attempt);
        let outcome = stream_outcome::classify(StreamStage::Queued, StreamEnd::ConnectionLost);
        reports.extend(never.map(|id| Report::Ended(id, outcome, None)));
        for mut call in self.calls.drain(..) {
            call.report(self.server, StreamEnd::ConnectionLost, &self.terms.budget, reports);
        }
        reports.extend(self.probe.take().map(|_| Report::Probed(self.server, false)));
    }
}

impl Drop for FlightLink {
    fn drop(&mut self) {
        self.calls.iter().for_each(|call| self.terms.budget.close(call.stream));
    }
}

/// Numbers for streams, of all connections.
fn next_stream() -> StreamId {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(1);
    StreamId(NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Call {
    fn begin(
        send: &AttemptRequest,
        (call, parts): (u64, usize),
        now: Micros,
        addr: SocketAddr,
        sender: &mut SendRequest<Bytes>,
        terms: &Terms,
        cx: &mut Context<'_>,
    ) -> Result<Self, h2::Error> {
        if let Poll::Ready(Err(e)) = sender.poll_ready(cx) {
            return Err(e);
        }
        let scheme = if terms.tls.is_some() { "https" } else { "http" };
        let request = http::Request::post(format!("{scheme}://{addr}{}DoGet", grpc::SERVICE))
            .header("content-type", grpc::CONTENT_TYPE)
            .header("te", "trailers")
            .header("grpc-timeout", grpc::write_timeout(send.remaining(now)))
            .header("grpc-accept-encoding", grpc::ACCEPTED)
            .body(())
            .map_err(|_| Reason::INTERNAL_ERROR)?;
        let (response, mut request) = sender.send_request(request, false)?;
        request.send_data(grpc::frame(&ticket(send, call, parts)).into(), true)?;
        let stream = next_stream();
        terms.budget.open(stream, send.call);
        Ok(Self {
            attempt: send.attempt,
            query: send.call,
            stream,
            shard: send.shard,
            sent: now,
            request,
            response: Some(response),
            body: None,
            frames: Deframer::new(terms.most),
            held: 0,
            waits: 0,
            partial: None,
            columns: Some(Collector::new(terms.most.saturating_mul(4))),
            stage: StreamStage::Sent,
            window: terms.window as usize,
            overrun: false,
            why: String::new(),
        })
    }

    /// Lets the host send so many bytes more.
    fn release(&mut self, bytes: usize) {
        self.held -= bytes.min(self.held);
        self.waits = self.waits.saturating_sub(bytes);
        if let Some(body) = &mut self.body {
            let _ = body.flow_control().release_capacity(bytes);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>, budget: &TableMemory) -> Poll<StreamEnd> {
        if let Some(response) = &mut self.response {
            match Pin::new(response).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(e)) => return Poll::Ready(of_error(&e)),
                Poll::Ready(Ok(response)) => {
                    if response.status() != http::StatusCode::OK {
                        return Poll::Ready(StreamEnd::Status);
                    }
                    if let Some(end) = of_status(response.headers()) {
                        return Poll::Ready(end);
                    }
                    self.stage = StreamStage::Answering;
                    let encoding = response.headers().get("grpc-encoding").and_then(|v| v.to_str().ok());
                    let Some(encoding) = encoding.map_or(Some(Encoding::Identity), Encoding::named) else {
                        return Poll::Ready(StreamEnd::Malformed);
                    };
                    let frames = std::mem::replace(&mut self.frames, Deframer::new(0));
                    self.frames = frames.encoded(encoding);
                    self.response = None;
                    self.body = Some(response.into_body());
                }
            }
        }
        loop {
            let Some(body) = &mut self.body else { return Poll::Ready(StreamEnd::Status) };
            match body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Err(e))) => return Poll::Ready(of_error(&e)),
                Poll::Ready(Some(Ok(bytes))) => {
                    self.held += bytes.len();
                    self.frames.push(&bytes);
                    if let Err(why) = self.take() {
                        self.why = why;
                        return Poll::Ready(StreamEnd::Malformed);
                    }
                    if !self.draw(budget) {
                        return Poll::Ready(StreamEnd::Malformed);
                    }
                }
                Poll::Ready(None) => break,
            }
        }
        let Some(body) = &mut self.body else { return Poll::Ready(StreamEnd::Status) };
        match body.poll_trailers(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(e)) => Poll::Ready(of_error(&e)),
            // Without trailers or with half a message the stream was cut short, whatever it held.
            Poll::Ready(Ok(map)) => Poll::Ready(match map.as_ref().and_then(of_status) {
                Some(StreamEnd::Ok) if self.frames.is_empty() => {
                    self.stage = StreamStage::Complete;
                    StreamEnd::Ok
                }
                Some(StreamEnd::Ok) => {
                    self.why = "it ends within a message".to_owned();
                    StreamEnd::Malformed
                }
                Some(end) => end,
                None => StreamEnd::Reset,
            }),
        }
    }

    /// Draws from the budget for what the host may send beyond its first window; `false` where the query's
    /// tables outgrow their bound. Nothing is drawn before half of the first window has come: most answers
    /// are smaller than that.
    fn draw(&mut self, budget: &TableMemory) -> bool {
        let fresh = self.held - self.waits;
        if fresh < self.window / 2 {
            return true;
        }
        match budget.request_window(self.stream, fresh) {
            WindowGrant::Granted => {
                // What waited before is part of the grant.
                let all = fresh + self.waits;
                self.release(all);
                true
            }
            WindowGrant::Queued => {
                self.waits += fresh;
                true
            }
            WindowGrant::Exceeded => {
                self.overrun = true;
                false
            }
        }
    }

    fn take(&mut self) -> Result<(), String> {
        while let Some(message) = self.frames.take().map_err(|bad| format!("{bad:?}"))? {
            let data = FlightData::decode(message).map_err(|e| e.to_string())?;
            self.columns.as_mut().ok_or("nothing more is due")?.take(data)?;
            // What comes next is another message, with a time of its own.
            self.partial = None;
        }
        Ok(())
    }

    /// Says how the part ended.
    fn report(&mut self, server: BackendId, end: StreamEnd, budget: &TableMemory, reports: &mut Vec<Report>) {
        let mut outcome = stream_outcome::classify(self.stage, end);
        let mut value = None;
        if outcome == Outcome::Succeeded {
            match self.value(budget) {
                Ok((said, found)) => (outcome, value) = (said, found),
                Err(Some(why)) => {
                    tracing::warn!("host {}: no answer for shard {}: {why}", server.0, self.shard.0);
                    outcome = Outcome::ConnectionLost;
                }
                Err(None) => self.overrun = true,
            }
        } else if end == StreamEnd::Malformed {
            // The stream goes on; nobody listens to it any more.
            self.request.send_reset(Reason::CANCEL);
            if !self.overrun {
                tracing::warn!("host {}: no answer for shard {}: {}", server.0, self.shard.0, self.why);
            }
        }
        budget.close(self.stream);
        reports.push(if self.overrun {
            Report::Overrun(self.query, Some(self.attempt))
        } else {
            Report::Ended(self.attempt, outcome, value)
        });
    }

    /// The part's value: of the simple form, or a table that is kept as it is. `None` for no room.
    fn value(&mut self, budget: &TableMemory) -> Result<(Outcome, Option<Value>), Option<String>> {
        let columns = self.columns.take().ok_or_else(|| Some("nothing came".to_owned()))?;
        let simple = columns.schema().is_some_and(rows::is_simple);
        let table = columns.finish().ok_or_else(|| Some("no table came".to_owned()))?;
        if simple {
            let rows = rows::read(&table.schema, &table.messages).map_err(Some)?;
            let [row] = rows.as_slice() else { return Err(Some("not one row".to_owned())) };
            if row.shard != self.shard {
                return Err(Some("a row of another shard".to_owned()));
            }
            let value = (row.outcome == Outcome::Succeeded).then(|| Value::Text(Rc::clone(&row.value)));
            return Ok((row.outcome, value));
        }
        let lease = budget.retain(self.stream, table.bytes).ok_or(None)?;
        let (schema, messages, rows) = (table.schema, table.messages, table.rows);
        Ok((Outcome::Succeeded, Some(Value::Table(Rc::new(Table { schema, messages, rows, lease })))))
    }
}

/// What a status says, if there is one. A status proves nothing about the part but where it says `LATER`.
fn of_status(map: &http::HeaderMap) -> Option<StreamEnd> {
    let code = grpc::status_of(map)?;
    Some(if code == Code::Ok as u32 {
        StreamEnd::Ok
    } else if code == Code::DeadlineExceeded as u32 {
        StreamEnd::DeadlineStatus
    } else if grpc::details_of(map).0.as_deref() == Some(grpc::LATER) {
        StreamEnd::RetryLaterStatus
    } else {
        StreamEnd::Status
    })
}

/// Only a stream that the host has refused, or one above the last that its GOAWAY names, has never run.
/// `h2` gives the host's GOAWAY as the reason to those above it alone: it ends them while it reads the
/// frame, and ends the others with the connection's own error.
fn of_error(e: &h2::Error) -> StreamEnd {
    if e.is_reset() && e.is_remote() && e.reason() == Some(Reason::REFUSED_STREAM) {
        StreamEnd::RefusedStream
    } else if e.is_go_away() && e.is_remote() {
        StreamEnd::AboveGoAway
    } else if e.is_reset() {
        StreamEnd::Reset
    } else {
        StreamEnd::ConnectionLost
    }
}
