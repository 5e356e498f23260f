//! One connection of a Flight client: its HTTP/2 state, its calls, and its lingering close.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use h2::server;
use mallowgauge_core::Core;
use mallowgauge_net::{ReadEnd, Stream};
use mallowgauge_router::Micros;

use super::call::Call;
use super::service::FlightService;
use super::stream_accept::accept;
use crate::http2_socket::{Http2Socket, Turn, WakeFlag};

/// Timeout of the TLS and HTTP/2 handshakes together, in microseconds.
pub const HANDSHAKE_TIMEOUT: Micros = 2_000_000;
/// How long a connection without a call is kept open, in microseconds.
pub const CONNECTION_IDLE_TIME: Micros = 120_000_000;
/// How long a client's input is read and dropped after the last output was written, in microseconds. Closing a socket
/// with unread input would reset the connection, and the client could lose the last response.
pub const LINGER_TIME: Micros = 500_000;
/// Maximum number of bytes that are dropped in a lingering close.
pub const LINGER_BYTES: usize = 256 * 1024;

type Handshake = Pin<Box<dyn Future<Output = Result<server::Connection<Http2Socket, Bytes>, h2::Error>>>>;

/// The state of a connection.
pub enum State {
    /// The TLS and HTTP/2 handshakes are in progress.
    Handshake(Handshake),
    /// Streams are accepted.
    Open(Box<server::Connection<Http2Socket, Bytes>>),
}

/// A client's connection.
pub struct Connection {
    /// The socket.
    pub stream: Rc<Stream>,
    /// The HTTP/2 state.
    pub state: State,
    /// Set when the connection has to be driven again.
    pub flag: Arc<WakeFlag>,
    /// Sets `flag`.
    pub waker: Waker,
    /// Bounds what is read before other connections are served.
    pub turn: Turn,
    /// The open calls, by id.
    pub calls: BTreeMap<u64, Call>,
    /// A GOAWAY was sent to the client.
    pub draining: bool,
    /// When the connection was accepted, or its last call ended.
    pub idle_since: Micros,
}

/// A connection in a lingering close: its write side is shut down, and its client has not closed it yet.
pub struct Lingering {
    /// The socket.
    pub stream: Rc<Stream>,
    /// When the connection is closed unconditionally.
    pub closes_at: Micros,
    /// How many more bytes from the client are dropped.
    pub remaining_bytes: usize,
}

impl Lingering {
    /// Drops received bytes; `false` once the client has closed too, or has sent too much.
    pub fn discard_input(&mut self) -> bool {
        let mut dropped = Vec::new();
        match self.stream.read(&mut dropped, self.remaining_bytes) {
            ReadEnd::Blocked => {
                self.remaining_bytes -= dropped.len();
                self.remaining_bytes > 0
            }
            ReadEnd::Full | ReadEnd::Closed | ReadEnd::Broken => false,
        }
    }
}

impl Connection {
    /// Returns when the connection is closed as idle; `None` while a call is open.
    pub fn idle_until(&self, finishing: bool) -> Option<Micros> {
        let idle_time = match self.state {
            _ if finishing => LINGER_TIME,
            State::Handshake(_) => HANDSHAKE_TIMEOUT,
            State::Open(_) => CONNECTION_IDLE_TIME,
        };
        self.calls.is_empty().then_some(self.idle_since + idle_time)
    }

    /// Drives the connection and its calls until the socket blocks or its turn ends; `false` when the connection has
    /// ended.
    pub fn handle_ready(
        &mut self,
        now: Micros,
        id: u64,
        service: &mut FlightService,
        core: &mut Core,
    ) -> bool {
        if self.stream.is_closed_by_peer() {
            // The client has left: calls that are not read yet must not begin.
            return false;
        }
        self.turn.begin();
        while self.turn.count_poll() {
            self.flag.take();
            let waker = self.waker.clone();
            let alive = self.drive(now, id, &mut Context::from_waker(&waker), service, core);
            if !alive || !self.flag.take() {
                return alive;
            }
        }
        true
    }

    fn drive(
        &mut self,
        now: Micros,
        id: u64,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) -> bool {
        if let State::Handshake(handshake) = &mut self.state {
            match handshake.as_mut().poll(context) {
                Poll::Pending => return true,
                Poll::Ready(Err(e)) => {
                    tracing::debug!("client does not speak HTTP/2: {e}");
                    return false;
                }
                Poll::Ready(Ok(connection)) => self.state = State::Open(Box::new(connection)),
            }
        }
        let open = self.accept_streams(now, id, context, service);
        self.drive_calls(now, context, service, core);
        open
    }

    /// Accepts the streams that the client has opened; `false` when the client cannot open more.
    fn accept_streams(
        &mut self,
        now: Micros,
        id: u64,
        context: &mut Context<'_>,
        service: &mut FlightService,
    ) -> bool {
        let State::Open(connection) = &mut self.state else { return true };
        loop {
            match connection.poll_accept(context) {
                Poll::Pending => return true,
                Poll::Ready(Some(Ok((request, respond)))) => {
                    if let Some(call) = accept(now, request, respond, service) {
                        let call_id = service.next_id();
                        service.connection_of_call.insert(call_id, id);
                        self.calls.insert(call_id, call);
                    }
                }
                Poll::Ready(_) => return false,
            }
        }
    }

    fn drive_calls(
        &mut self,
        now: Micros,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) {
        let open_before = self.calls.len();
        self.calls.retain(|&call_id, call| {
            call.drive(now, call_id, context, service, core);
            if call.is_finished() {
                service.connection_of_call.remove(&call_id);
                service.admission.call_ended();
            }
            !call.is_finished()
        });
        if self.calls.len() < open_before {
            self.idle_since = now;
        }
    }
}
