//! One connection of a Flight client: its HTTP/2 state, the calls on it, and how it ends.

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
use crate::wire::{Flag, Wire};

/// A handshake has to be over by then.
pub const HANDSHAKE_TIMEOUT: Micros = 2_000_000;
/// A connection without a call is kept for so long.
pub const CONNECTION_IDLE_TIME: Micros = 120_000_000;
/// A client that goes on sending behind the end of its connection is listened to for so long, and so much: a close
/// over unread bytes would reset the connection and could take the last answer with it.
pub const LINGER_TIME: Micros = 500_000;
pub const LINGER_BYTES: usize = 256 * 1024;

pub type Handshake = Pin<Box<dyn Future<Output = Result<server::Connection<Wire, Bytes>, h2::Error>>>>;

pub enum State {
    Handshake(Handshake),
    Up(Box<server::Connection<Wire, Bytes>>),
}

pub struct Connection {
    pub stream: Rc<Stream>,
    pub state: State,
    pub flag: Arc<Flag>,
    pub waker: Waker,
    pub calls: BTreeMap<u64, Call>,
    pub draining: bool,
    pub idle_since: Micros,
}

/// A connection that has ended here and not yet at its client.
pub struct Lingering {
    pub stream: Rc<Stream>,
    pub closes_at: Micros,
    /// So much more of what its client sends is passed over.
    pub remaining_bytes: usize,
}

impl Lingering {
    /// Passes over what has come; `false` once the client has closed too, or sends too much.
    pub fn discard_input(&mut self) -> bool {
        let mut passed = Vec::new();
        match self.stream.read(&mut passed, self.remaining_bytes) {
            ReadEnd::Blocked => {
                self.remaining_bytes -= passed.len();
                self.remaining_bytes > 0
            }
            ReadEnd::Full | ReadEnd::Closed | ReadEnd::Broken => false,
        }
    }
}

impl Connection {
    /// How long it is kept while there is no call on it.
    pub fn idle_until(&self, finishing: bool) -> Option<Micros> {
        let rest = match self.state {
            _ if finishing => LINGER_TIME,
            State::Handshake(_) => HANDSHAKE_TIMEOUT,
            State::Up(_) => CONNECTION_IDLE_TIME,
        };
        self.calls.is_empty().then_some(self.idle_since + rest)
    }

    /// Goes on as far as the socket lets it; `false` when the connection is over.
    pub fn ready(
        &mut self,
        now: Micros,
        id: u64,
        homes: &mut BTreeMap<u64, u64>,
        service: &mut FlightService,
        core: &mut Core,
    ) -> bool {
        loop {
            self.flag.take();
            let waker = self.waker.clone();
            let alive = self.drive(now, id, &mut Context::from_waker(&waker), homes, service, core);
            if !alive || !self.flag.take() {
                return alive;
            }
        }
    }

    pub fn drive(
        &mut self,
        now: Micros,
        home: u64,
        context: &mut Context<'_>,
        homes: &mut BTreeMap<u64, u64>,
        service: &mut FlightService,
        core: &mut Core,
    ) -> bool {
        if let State::Handshake(handshake) = &mut self.state {
            match handshake.as_mut().poll(context) {
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
            match connection.poll_accept(context) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok((request, respond)))) => {
                    if let Some(call) = accept(now, request, respond, service) {
                        let id = service.next_id();
                        homes.insert(id, home);
                        self.calls.insert(id, call);
                    }
                }
                Poll::Ready(_) => {
                    over = true;
                    break;
                }
            }
        }
        let mut active = false;
        self.calls.retain(|&id, call| {
            call.drive(now, id, context, service, core);
            if call.is_finished() {
                homes.remove(&id);
                service.admission.call_over();
                active = true;
            }
            !call.is_finished()
        });
        if active {
            self.idle_since = now;
        }
        !over
    }
}
