//! Accepts clients on both listeners, and pauses while no further connection can be accepted.

use std::io;
use std::net::{SocketAddr, TcpStream};

use mallowgauge_net::{Handle, Listener};
use mallowgauge_router::Micros;

use super::{Server, ServerError};
use crate::token::SocketKind;

/// How long accepting pauses when no file descriptor or connection slot is free, in microseconds. Clients stay in
/// the backlog meanwhile.
const ACCEPT_PAUSE: Micros = 20_000;

/// The listeners that clients connect to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Frontend {
    Http,
    Flight,
}

/// The open listeners; `None` once the server has stopped accepting.
pub(super) struct Listeners {
    http: Option<Listener>,
    flight: Option<Listener>,
    /// Accepting is paused until this time.
    paused_until: Option<Micros>,
}

impl Listeners {
    /// Listens for HTTP and, where an address is configured, for Flight.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub(super) fn bind(
        handle: &Handle,
        http: SocketAddr,
        flight: Option<SocketAddr>,
    ) -> Result<Self, ServerError> {
        let listen = |addr, kind: SocketKind| {
            Listener::bind(handle, addr, kind.token(0)).map_err(|source| ServerError::Listen { addr, source })
        };
        let http = Some(listen(http, SocketKind::HttpListener)?);
        let flight = flight.map(|addr| listen(addr, SocketKind::FlightListener)).transpose()?;
        Ok(Self { http, flight, paused_until: None })
    }

    /// The address of a listener, if it is open.
    ///
    /// # Errors
    /// The operating system's error.
    pub(super) fn address(&self, frontend: Frontend) -> io::Result<Option<SocketAddr>> {
        self.listener(frontend).map(Listener::local_addr).transpose()
    }

    /// Whether clients can still connect.
    pub(super) fn is_open(&self) -> bool {
        self.http.is_some()
    }

    /// When accepting resumes after a pause.
    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        self.paused_until
    }

    /// Ends a pause that is over. Returns `true` if it has just ended and the listeners have to be polled.
    fn resume(&mut self, now: Micros) -> bool {
        let ended = self.paused_until.is_some_and(|until| until <= now);
        if ended {
            self.paused_until = None;
        }
        ended
    }

    /// Pauses accepting; clients stay in the backlog.
    fn pause(&mut self, now: Micros, reason: &dyn std::fmt::Display) {
        if self.paused_until.is_none() {
            tracing::warn!("accepting client connections is paused: {reason}");
            self.paused_until = Some(now + ACCEPT_PAUSE);
        }
    }

    /// Accepts the next pending client, unless accepting is paused.
    fn accept(&mut self, now: Micros, frontend: Frontend) -> Option<TcpStream> {
        if self.paused_until.is_some() {
            return None;
        }
        match self.listener(frontend)?.accept() {
            Ok(socket) => socket,
            Err(error) => {
                self.pause(now, &error);
                None
            }
        }
    }

    /// Closes both listeners, except during a pause: clients may be in the backlog, and closing would reset them.
    fn close(&mut self) {
        if self.paused_until.is_none() {
            (self.http, self.flight) = (None, None);
        }
    }

    fn listener(&self, frontend: Frontend) -> Option<&Listener> {
        match frontend {
            Frontend::Http => self.http.as_ref(),
            Frontend::Flight => self.flight.as_ref(),
        }
    }
}

impl Server {
    /// Accepts the pending HTTP clients, up to the connection limit.
    pub(super) fn accept_http(&mut self) {
        loop {
            let now = self.clock.now();
            if !self.http.ensure_capacity(now, &mut self.core) {
                return self.listeners.pause(now, &"HTTP connection limit reached");
            }
            let Some(socket) = self.listeners.accept(now, Frontend::Http) else { return };
            self.lifecycle.connection_accepted(now);
            self.http.accept(now, &self.handle, socket);
        }
    }

    /// Accepts the pending Flight clients, up to the connection limit.
    pub(super) fn accept_flight(&mut self) {
        if self.listeners.flight.is_none() {
            return;
        }
        loop {
            let now = self.clock.now();
            if !self.flight.ensure_capacity() {
                return self.listeners.pause(now, &"Flight connection limit reached");
            }
            let Some(socket) = self.listeners.accept(now, Frontend::Flight) else { return };
            self.lifecycle.connection_accepted(now);
            self.flight.accept(now, &self.handle, socket);
        }
    }

    /// Resumes accepting once a pause is over.
    pub(super) fn resume_accepting(&mut self, now: Micros) {
        if self.listeners.resume(now) {
            self.accept_http();
            self.accept_flight();
        }
    }

    /// Accepts all pending clients, then closes the listeners: closing one resets the connections in its backlog.
    pub(super) fn stop_accepting(&mut self) {
        if self.listeners.is_open() {
            self.accept_http();
            self.accept_flight();
            self.listeners.close();
        }
    }
}
