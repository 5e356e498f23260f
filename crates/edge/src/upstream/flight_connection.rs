//! A backend connection that uses Arrow Flight. Each part is a separate `DoGet`, so a part that hangs does not delay
//! the others. A part has succeeded only once its stream has ended with status OK.
//!
//! [`stream_outcome`] derives an attempt's outcome from the end of its stream. [`TableMemory`] limits how much a
//! backend may send: beyond a stream's initial window, flow control admits only bytes for which there is memory.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use h2::client::{self, SendRequest};
use h2::{Ping, PingPong};
use mallowgauge_core::stream_outcome::{self, StreamEnd, StreamStage};
use mallowgauge_core::table_memory::{StreamId, TableMemory};
use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_net::Stream;
use mallowgauge_router::{BackendId, Micros, Outcome};

use super::connection::BackendConnection;
use super::flight_stream::{CallInfo, PartStream};
use super::{drop_expired, drop_unsent, UpstreamEvent, MESSAGE_TIMEOUT};
use crate::http2_socket::{Http2Socket, Turn, WakeFlag};
use crate::tls::{Connector, Session};

/// Range of the HTTP/2 maximum frame size, in bytes; larger frames cost less per byte.
const MAX_FRAME_SIZE_RANGE: std::ops::RangeInclusive<u32> = 16 * 1024..=256 * 1024;
/// Upper limit of a connection's flow-control window, in bytes.
const MAX_CONNECTION_WINDOW: u32 = 1 << 30;

/// Options of all Flight connections to backends, with the limits on what backends may send.
#[derive(Clone)]
pub struct FlightOptions {
    /// The memory budget for tables, which all connections share.
    pub table_memory: TableMemory,
    /// Initial flow-control window of a stream, in bytes.
    pub initial_window: u32,
    /// Largest table of one part, in bytes.
    pub max_table_bytes: usize,
    /// Most concurrent streams of a connection.
    pub max_streams: usize,
    /// The TLS connector, if TLS is configured.
    pub tls: Option<Connector>,
}

type Http2Connection = client::Connection<Http2Socket, Bytes>;
type Http2Handshake = Pin<Box<dyn Future<Output = Result<(SendRequest<Bytes>, Http2Connection), h2::Error>>>>;

/// The state of a connection.
enum State {
    Connecting,
    /// Nothing is sent before the TLS handshake is complete, so nothing can have been executed if it fails.
    TlsHandshake(Http2Socket),
    Http2Handshake(Http2Handshake),
    Open(OpenConnection),
}

/// The `h2` handles of an open connection.
struct OpenConnection {
    connection: Box<Http2Connection>,
    sender: SendRequest<Bytes>,
    pings: PingPong,
}

/// A health check in progress: an HTTP/2 ping.
struct HealthCheck {
    deadline: Micros,
    sent: bool,
}

/// A backend connection that uses Arrow Flight.
pub(super) struct FlightConnection {
    backend: BackendId,
    stream: Rc<Stream>,
    addr: SocketAddr,
    options: FlightOptions,
    state: State,
    /// When opening the connection, handshakes included, times out.
    connect_deadline: Micros,
    /// Set when bytes are received.
    bytes_received: Arc<AtomicBool>,
    /// Set when `h2` asks to be polled again.
    poll_requested: Arc<WakeFlag>,
    waker: Waker,
    /// Bounds what is read before other connections are served.
    turn: Turn,
    /// Calls of which nothing was passed to `h2`.
    queue: VecDeque<Vec<AttemptRequest>>,
    streams: Vec<PartStream>,
    /// Number of calls so far, which numbers the calls in tickets.
    call_count: u64,
    health_check: Option<HealthCheck>,
    /// Whether the connection accepts no new streams.
    closing: bool,
    last_received: Micros,
    last_used: Micros,
}

impl BackendConnection for FlightConnection {
    fn in_flight(&self, _: Micros) -> usize {
        self.queue.iter().map(Vec::len).sum::<usize>() + self.streams.len()
    }

    fn accepts(&self, _: &[AttemptRequest]) -> bool {
        !self.closing
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.streams.is_empty() && self.health_check.is_none()
    }

    fn is_connecting_unused(&self) -> bool {
        !self.is_open() && self.queue.is_empty() && self.health_check.is_none()
    }

    /// Streams that wait for memory are skipped: their window is closed, so the backend cannot send.
    fn silent_since(&self) -> Option<Micros> {
        let expected = self.streams.iter().filter(|stream| !stream.waits_for_memory());
        expected.map(|stream| stream.sent_at.max(self.last_received)).min()
    }

    fn last_used(&self) -> Micros {
        self.last_used
    }

    fn has_more_to_read(&self) -> bool {
        self.turn.has_ended()
    }

    /// Its buffers are accounted as table memory.
    fn buffered_bytes(&self) -> usize {
        0
    }

    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros> {
        if !self.is_open() {
            return Some(self.connect_deadline);
        }
        let idle_at = self.streams.is_empty().then_some(self.last_used + idle_timeout);
        let expected = self.streams.iter().filter(|stream| !stream.waits_for_memory());
        let message_at =
            expected.filter_map(|stream| stream.partial_since).min().map(|at| at + MESSAGE_TIMEOUT);
        let check_at = self.health_check.as_ref().map(|check| check.deadline);
        check_at.into_iter().chain(idle_at).chain(message_at).min()
    }

    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool {
        self.last_used = now;
        self.queue.push_back(attempts);
        self.handle_ready(now, events)
    }

    fn revoke_unsent(
        &mut self,
        predicate: impl Fn(&AttemptRequest) -> bool,
        events: &mut Vec<UpstreamEvent>,
    ) {
        for attempts in &mut self.queue {
            drop_unsent(attempts, &predicate, events);
        }
        self.queue.retain(|attempts| !attempts.is_empty());
    }

    /// Resets the stream. Ignores the silence timeout, since writing the reset shows whether the backend is alive.
    fn cancel(
        &mut self,
        now: Micros,
        _: Micros,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        self.revoke_unsent(|request| request.attempt == attempt, events);
        let before = self.streams.len();
        let memory = &self.options.table_memory;
        self.streams.retain_mut(|stream| {
            let cancelled = stream.attempt == attempt;
            if cancelled {
                stream.reset();
                memory.close(stream.id);
            }
            !cancelled
        });
        before == self.streams.len() || self.handle_ready(now, events)
    }

    /// Sends a ping, unless a health check is in progress.
    fn health_check(&mut self, now: Micros, deadline: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        self.last_used = now;
        self.health_check.get_or_insert(HealthCheck { deadline, sent: false });
        self.handle_ready(now, events)
    }

    fn handle_ready(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        self.turn.begin();
        match self.establish() {
            Poll::Pending => return true,
            Poll::Ready(false) => return false,
            Poll::Ready(true) => {}
        }
        while self.turn.count_poll() {
            self.poll_requested.take();
            let waker = self.waker.clone();
            let alive = self.drive(&mut Context::from_waker(&waker), now, events);
            if self.bytes_received.swap(false, Ordering::Relaxed) {
                (self.last_received, self.last_used) = (now, now);
            }
            if !alive || !self.poll_requested.take() {
                return alive;
            }
        }
        true
    }

    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if !self.is_open() && self.connect_deadline <= now {
            return false;
        }
        if self.health_check.as_ref().is_some_and(|check| check.deadline <= now) {
            // The pong may still come, and would be taken for that of the next health check.
            self.health_check = None;
            self.closing = true;
            events.push(UpstreamEvent::HealthCheckCompleted(self.backend, false));
        }
        let alive = !self.end_stalled_streams(now, events) || self.handle_ready(now, events);
        alive && (!self.streams.is_empty() || self.last_used + idle_timeout > now)
    }

    fn close(&mut self, events: &mut Vec<UpstreamEvent>) {
        let unsent = self.queue.drain(..).flatten();
        let outcome = stream_outcome::classify(StreamStage::Queued, StreamEnd::ConnectionLost);
        events.extend(unsent.map(|request| UpstreamEvent::AttemptEnded(request.attempt, outcome, None)));
        for mut stream in self.streams.drain(..) {
            events.push(stream.end(StreamEnd::ConnectionLost, &self.options.table_memory));
        }
        let check = self.health_check.take();
        events.extend(check.map(|_| UpstreamEvent::HealthCheckCompleted(self.backend, false)));
    }
}

impl FlightConnection {
    /// Creates a connection for a socket that is connecting until `connect_deadline`.
    pub(super) fn new(
        backend: BackendId,
        stream: Stream,
        now: Micros,
        connect_deadline: Micros,
        addr: SocketAddr,
        options: FlightOptions,
    ) -> Self {
        let (poll_requested, waker) = WakeFlag::waker();
        Self {
            backend,
            stream: Rc::new(stream),
            addr,
            options,
            state: State::Connecting,
            connect_deadline,
            bytes_received: Arc::default(),
            poll_requested,
            waker,
            turn: Turn::default(),
            queue: VecDeque::new(),
            streams: Vec::new(),
            call_count: 0,
            health_check: None,
            closing: false,
            last_received: now,
            last_used: now,
        }
    }

    /// Grants `bytes` of table memory to a stream. Returns `None` if the stream is not on this connection, otherwise
    /// whether the connection stays open.
    pub(super) fn grant_memory(
        &mut self,
        now: Micros,
        stream: StreamId,
        bytes: usize,
        events: &mut Vec<UpstreamEvent>,
    ) -> Option<bool> {
        let stream = self.streams.iter_mut().find(|other| other.id == stream)?;
        stream.release(bytes);
        Some(self.handle_ready(now, events))
    }

    fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Advances the connect and the TLS handshake. Ready with `true` once the HTTP/2 handshake has started, and with
    /// `false` if the connection has failed.
    fn establish(&mut self) -> Poll<bool> {
        if matches!(self.state, State::Connecting) {
            match self.stream.connected() {
                None => return Poll::Pending,
                Some(false) => return Poll::Ready(false),
                Some(true) => {}
            }
            let tls = self.options.tls.as_ref();
            let session = match tls.map(|tls| tls.connect(self.addr)).transpose() {
                Ok(session) => session.map(Session::Client),
                Err(error) => {
                    tracing::warn!("backend {}: TLS handshake failed: {error}", self.backend.0);
                    return Poll::Ready(false);
                }
            };
            let (socket, bytes_received) =
                Http2Socket::new(Rc::clone(&self.stream), session, self.turn.clone());
            self.bytes_received = bytes_received;
            self.state = State::TlsHandshake(socket);
        }
        let State::TlsHandshake(socket) = &mut self.state else { return Poll::Ready(true) };
        match socket.handshake() {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(error)) => {
                tracing::warn!("backend {}: TLS handshake failed: {error}", self.backend.0);
                return Poll::Ready(false);
            }
            Poll::Ready(Ok(())) => {}
        }
        let State::TlsHandshake(socket) = std::mem::replace(&mut self.state, State::Connecting) else {
            return Poll::Ready(false);
        };
        self.state = State::Http2Handshake(Box::pin(self.http2_settings().handshake(socket)));
        Poll::Ready(true)
    }

    fn http2_settings(&self) -> client::Builder {
        let window = self.options.initial_window;
        // A stream that waits for memory keeps its bytes of the connection's window, so the connection's window has
        // space for all streams and the others can proceed.
        let streams = u32::try_from(self.options.max_streams).unwrap_or(u32::MAX);
        let connection_window = window.saturating_mul(streams + 1).min(MAX_CONNECTION_WINDOW);
        let mut builder = client::Builder::new();
        builder.initial_window_size(window).initial_connection_window_size(connection_window);
        builder.max_frame_size(window.clamp(*MAX_FRAME_SIZE_RANGE.start(), *MAX_FRAME_SIZE_RANGE.end()));
        builder.enable_push(false);
        builder
    }

    /// Polls `h2` once, which reads and writes. Returns `false` if the connection is closed.
    fn drive(&mut self, cx: &mut Context<'_>, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        if let State::Http2Handshake(handshake) = &mut self.state {
            match handshake.as_mut().poll(cx) {
                Poll::Pending => return true,
                Poll::Ready(Err(error)) => {
                    tracing::warn!("backend {}: HTTP/2 handshake failed: {error}", self.backend.0);
                    return false;
                }
                Poll::Ready(Ok((sender, mut connection))) => {
                    let Some(pings) = connection.ping_pong() else { return false };
                    self.state =
                        State::Open(OpenConnection { connection: Box::new(connection), sender, pings });
                }
            }
        }
        self.open_streams(cx, now, events);
        let State::Open(open) = &mut self.state else { return true };
        if let Some(check) = self.health_check.as_mut().filter(|check| !check.sent) {
            check.sent = open.pings.send_ping(Ping::opaque()).is_ok();
        }
        let is_closed = Pin::new(&mut open.connection).poll(cx).is_ready();
        if self.health_check.is_some() && matches!(open.pings.poll_pong(cx), Poll::Ready(Ok(_))) {
            self.health_check = None;
            events.push(UpstreamEvent::HealthCheckCompleted(self.backend, true));
        }
        self.closing |= matches!(open.sender.poll_ready(cx), Poll::Ready(Err(_)));
        self.poll_streams(cx, now, events);
        !is_closed
    }

    /// Passes the queued attempts to `h2`, each as a separate stream.
    fn open_streams(&mut self, cx: &mut Context<'_>, now: Micros, events: &mut Vec<UpstreamEvent>) {
        let State::Open(open) = &mut self.state else { return };
        while let Some(mut attempts) = self.queue.pop_front() {
            drop_expired(now, &mut attempts, events);
            self.call_count += 1;
            let call = CallInfo { number: self.call_count, parts: attempts.len() };
            for attempt in &attempts {
                let sender = &mut open.sender;
                match PartStream::open(self.backend, attempt, call, now, self.addr, sender, &self.options, cx)
                {
                    Ok(stream) => self.streams.push(stream),
                    Err(error) => {
                        // No byte of the attempt was written.
                        tracing::info!("backend {}: connection is closing: {error}", self.backend.0);
                        self.closing = true;
                        let failed = Outcome::ConnectFailed;
                        events.push(UpstreamEvent::AttemptEnded(attempt.attempt, failed, None));
                    }
                }
            }
        }
    }

    /// Reads from each stream, and removes those that have ended.
    fn poll_streams(&mut self, cx: &mut Context<'_>, now: Micros, events: &mut Vec<UpstreamEvent>) {
        let memory = &self.options.table_memory;
        self.streams.retain_mut(|stream| match stream.poll(cx, memory) {
            Poll::Pending => {
                stream.update_partial_since(now);
                true
            }
            Poll::Ready(end) => {
                events.push(stream.end(end, memory));
                false
            }
        });
    }

    /// Ends the streams on which a message has timed out incomplete. Returns whether there were any.
    fn end_stalled_streams(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        let (backend, memory) = (self.backend, &self.options.table_memory);
        let before = self.streams.len();
        self.streams.retain_mut(|stream| {
            let stalled = stream.is_stalled(now);
            if stalled {
                tracing::warn!("backend {}: incomplete message timed out", backend.0);
                stream.reset();
                events.push(stream.end(StreamEnd::Stalled, memory));
            }
            !stalled
        });
        before != self.streams.len()
    }
}

impl Drop for FlightConnection {
    fn drop(&mut self) {
        self.streams.iter().for_each(|stream| self.options.table_memory.close(stream.id));
    }
}
