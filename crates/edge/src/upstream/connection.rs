//! What the pool asks of a connection to a backend, in either protocol.

use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_router::Micros;

use super::flight_connection::FlightConnection;
use super::frame_connection::FrameConnection;
use super::UpstreamEvent;

/// One connection to a backend, from the moment it is being opened.
///
/// Each attempt that is handed to [`send`](Self::send) ends in exactly one event, unless it is cancelled:
///
/// * not a byte of it was written and it is revoked, or its time to begin has passed: `NotSent`;
/// * the connection is lost or evicted before it was handed over completely: `ConnectFailed`. It was not executed
///   and may be sent again;
/// * the connection is lost or evicted after that: `ConnectionLost`. It may have been executed, so only an
///   idempotent attempt is sent again, which the router decides;
/// * the backend says that it has not executed it: `Rejected`, which may be sent again;
/// * the backend has answered: `Succeeded` or `BackendError`.
///
/// A connection itself never sends anything twice. Methods that return a `bool` say whether the connection stays
/// open; after `false` the caller has to [`close`](Self::close) it.
pub(super) trait BackendConnection {
    /// Attempts that the backend works on or will be sent, which count against its limit.
    fn in_flight(&self, now: Micros) -> usize;

    /// Whether these attempts may go out on this connection.
    fn accepts(&self, attempts: &[AttemptRequest]) -> bool;

    /// Nothing is in flight, queued or being read.
    fn is_idle(&self) -> bool;

    /// It is still being opened, and nothing waits for it any more.
    fn opens_for_nothing(&self) -> bool;

    /// Since when the backend has sent nothing though an answer is due.
    fn silent_since(&self) -> Option<Micros>;

    /// When something last went either way.
    fn last_used(&self) -> Micros;

    /// Bytes that its buffers hold; none where they are counted as memory for tables.
    fn buffered_bytes(&self) -> usize;

    /// When [`handle_timeout`](Self::handle_timeout) has something to do; `idle_timeout` is in microseconds.
    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros>;

    /// Sends these attempts in one call, as soon as the socket takes it.
    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Drops those chosen by `which` of the attempts of which not a byte is written.
    fn revoke_unsent(&mut self, which: impl Fn(&AttemptRequest) -> bool, events: &mut Vec<UpstreamEvent>);

    /// Nobody waits for this attempt any more: it is not sent, or the backend is told. It ends in no event, unless
    /// it was not sent. A connection that has been silent for `silent_timeout` microseconds and has nothing else in
    /// flight may be dead, and closes.
    fn cancel(
        &mut self,
        now: Micros,
        silent_timeout: Micros,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool;

    /// Checks the backend's health, which has failed at `deadline`.
    fn health_check(&mut self, now: Micros, deadline: Micros, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Reads and writes as far as the socket lets it.
    fn handle_ready(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Gives up what takes too long, and the connection if it has been idle for `idle_timeout` microseconds.
    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Ends everything that is in flight; the connection is dropped after that.
    fn close(&mut self, events: &mut Vec<UpstreamEvent>);
}

/// A connection in the protocol that its backend speaks.
#[allow(clippy::large_enum_variant)] // There are dozens of these, not thousands
pub(super) enum ProtocolConnection {
    /// The platform's frames.
    Frames(FrameConnection),
    /// Arrow Flight.
    Flight(FlightConnection),
}

macro_rules! in_either {
    ($self:expr, $connection:ident => $call:expr) => {
        match $self {
            ProtocolConnection::Frames($connection) => $call,
            ProtocolConnection::Flight($connection) => $call,
        }
    };
}

impl BackendConnection for ProtocolConnection {
    fn in_flight(&self, now: Micros) -> usize {
        in_either!(self, connection => connection.in_flight(now))
    }

    fn accepts(&self, attempts: &[AttemptRequest]) -> bool {
        in_either!(self, connection => connection.accepts(attempts))
    }

    fn is_idle(&self) -> bool {
        in_either!(self, connection => connection.is_idle())
    }

    fn opens_for_nothing(&self) -> bool {
        in_either!(self, connection => connection.opens_for_nothing())
    }

    fn silent_since(&self) -> Option<Micros> {
        in_either!(self, connection => connection.silent_since())
    }

    fn last_used(&self) -> Micros {
        in_either!(self, connection => connection.last_used())
    }

    fn buffered_bytes(&self) -> usize {
        in_either!(self, connection => connection.buffered_bytes())
    }

    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros> {
        in_either!(self, connection => connection.poll_timeout(idle_timeout))
    }

    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool {
        in_either!(self, connection => connection.send(now, attempts, events))
    }

    fn revoke_unsent(&mut self, which: impl Fn(&AttemptRequest) -> bool, events: &mut Vec<UpstreamEvent>) {
        in_either!(self, connection => connection.revoke_unsent(which, events))
    }

    fn cancel(
        &mut self,
        now: Micros,
        silent_timeout: Micros,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        in_either!(self, connection => connection.cancel(now, silent_timeout, attempt, events))
    }

    fn health_check(&mut self, now: Micros, deadline: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        in_either!(self, connection => connection.health_check(now, deadline, events))
    }

    fn handle_ready(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        in_either!(self, connection => connection.handle_ready(now, events))
    }

    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        in_either!(self, connection => connection.handle_timeout(now, idle_timeout, events))
    }

    fn close(&mut self, events: &mut Vec<UpstreamEvent>) {
        in_either!(self, connection => connection.close(events))
    }
}
