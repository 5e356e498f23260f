//! The interface between the connection pool and a backend connection, which both protocols implement.

use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_router::Micros;

use super::flight_connection::FlightConnection;
use super::frame_connection::FrameConnection;
use super::UpstreamEvent;

/// One connection to a backend, from the start of the connect onwards.
///
/// Each attempt that is passed to [`send`](Self::send) ends in exactly one event, unless it is cancelled:
///
/// * `NotSent`: it was revoked, or its latest start time passed, before its first byte was written;
/// * `ConnectFailed`: the connection was lost or evicted before the attempt was written completely. It was not
///   executed and may be sent again;
/// * `ConnectionLost`: the connection was lost or evicted after that. The attempt was possibly executed, so the
///   router sends it again only if it is idempotent;
/// * `Rejected`: the backend reports that it did not execute the attempt, which may be sent again;
/// * `Succeeded` or `BackendError`: the backend has responded.
///
/// A connection never retries by itself. Methods that return a `bool` return whether the connection stays open;
/// after `false` the caller has to [`close`](Self::close) it.
pub(super) trait BackendConnection {
    /// Number of attempts that are queued for the backend or that it works on; they count against its limit.
    fn in_flight(&self, now: Micros) -> usize;

    /// Whether these attempts may be sent on this connection.
    fn accepts(&self, attempts: &[AttemptRequest]) -> bool;

    /// Whether nothing is in flight, queued or being read.
    fn is_idle(&self) -> bool;

    /// Whether it is still being opened while nothing waits for it any more.
    fn is_connecting_unused(&self) -> bool;

    /// Start of the time in which the backend has sent nothing although a response is due; `None` if none is due.
    fn silent_since(&self) -> Option<Micros>;

    /// Time of the last traffic in either direction.
    fn last_used(&self) -> Micros;

    /// Whether reading was stopped before the socket blocked: its readiness is not reported again.
    fn has_more_to_read(&self) -> bool;

    /// Bytes in its buffers; 0 if they are accounted as table memory.
    fn buffered_bytes(&self) -> usize;

    /// When [`handle_timeout`](Self::handle_timeout) has to be called next; `idle_timeout` is in microseconds.
    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros>;

    /// Sends these attempts in one call, as soon as the socket is writable.
    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Removes the attempts that match `predicate` and of which no byte is written.
    fn revoke_unsent(&mut self, predicate: impl Fn(&AttemptRequest) -> bool, events: &mut Vec<UpstreamEvent>);

    /// Cancels an attempt: removes it if it is unsent, otherwise sends a cancellation to the backend. Only an unsent
    /// attempt ends in an event. Closes a connection that has been silent for `silent_timeout` microseconds and has
    /// nothing else in flight, since it may be dead.
    fn cancel(
        &mut self,
        now: Micros,
        silent_timeout: Micros,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool;

    /// Starts a health check, which fails if there is no response by `deadline`.
    fn health_check(&mut self, now: Micros, deadline: Micros, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Reads and writes until the socket would block, or until other connections have to be served.
    fn handle_ready(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Ends whatever has timed out, and the connection if it has been idle for `idle_timeout` microseconds.
    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool;

    /// Ends everything that is queued or in flight; the caller drops the connection after that.
    fn close(&mut self, events: &mut Vec<UpstreamEvent>);
}

/// A connection in the protocol that its backend speaks.
#[allow(clippy::large_enum_variant)] // There are dozens of connections, not thousands
pub(super) enum ProtocolConnection {
    /// The platform's frames.
    Frames(FrameConnection),
    /// Arrow Flight.
    Flight(FlightConnection),
}

macro_rules! dispatch {
    ($self:expr, $connection:ident => $call:expr) => {
        match $self {
            ProtocolConnection::Frames($connection) => $call,
            ProtocolConnection::Flight($connection) => $call,
        }
    };
}

impl BackendConnection for ProtocolConnection {
    fn in_flight(&self, now: Micros) -> usize {
        dispatch!(self, connection => connection.in_flight(now))
    }

    fn accepts(&self, attempts: &[AttemptRequest]) -> bool {
        dispatch!(self, connection => connection.accepts(attempts))
    }

    fn is_idle(&self) -> bool {
        dispatch!(self, connection => connection.is_idle())
    }

    fn is_connecting_unused(&self) -> bool {
        dispatch!(self, connection => connection.is_connecting_unused())
    }

    fn silent_since(&self) -> Option<Micros> {
        dispatch!(self, connection => connection.silent_since())
    }

    fn last_used(&self) -> Micros {
        dispatch!(self, connection => connection.last_used())
    }

    fn has_more_to_read(&self) -> bool {
        dispatch!(self, connection => connection.has_more_to_read())
    }

    fn buffered_bytes(&self) -> usize {
        dispatch!(self, connection => connection.buffered_bytes())
    }

    fn poll_timeout(&self, idle_timeout: Micros) -> Option<Micros> {
        dispatch!(self, connection => connection.poll_timeout(idle_timeout))
    }

    fn send(&mut self, now: Micros, attempts: Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) -> bool {
        dispatch!(self, connection => connection.send(now, attempts, events))
    }

    fn revoke_unsent(
        &mut self,
        predicate: impl Fn(&AttemptRequest) -> bool,
        events: &mut Vec<UpstreamEvent>,
    ) {
        dispatch!(self, connection => connection.revoke_unsent(predicate, events))
    }

    fn cancel(
        &mut self,
        now: Micros,
        silent_timeout: Micros,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        dispatch!(self, connection => connection.cancel(now, silent_timeout, attempt, events))
    }

    fn health_check(&mut self, now: Micros, deadline: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        dispatch!(self, connection => connection.health_check(now, deadline, events))
    }

    fn handle_ready(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        dispatch!(self, connection => connection.handle_ready(now, events))
    }

    fn handle_timeout(&mut self, now: Micros, idle_timeout: Micros, events: &mut Vec<UpstreamEvent>) -> bool {
        dispatch!(self, connection => connection.handle_timeout(now, idle_timeout, events))
    }

    fn close(&mut self, events: &mut Vec<UpstreamEvent>) {
        dispatch!(self, connection => connection.close(events))
    }
}
