//! Lets `h2` read and write a socket of the event loop, in plaintext or through TLS.
//!
//! There is no async runtime: a connection polls `h2` when its socket is ready, and again for as long as `h2` wakes
//! the [`WakeFlag`]. A [`Turn`] bounds what is read meanwhile: a peer that sends without pause must not keep the event loop
//! from the others.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

use mallowgauge_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::tls::{Session, ALPN};

/// Set when `h2` wants to be polled again.
#[derive(Debug, Default)]
pub struct WakeFlag(AtomicBool);

impl WakeFlag {
    /// Creates a cleared flag and the waker that sets it.
    #[must_use]
    pub fn waker() -> (Arc<Self>, Waker) {
        let flag = Arc::new(Self::default());
        (Arc::clone(&flag), Waker::from(flag))
    }

    /// Clears the flag and returns whether it was set.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Maximum number of bytes read from a socket in one call.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Bytes that are read from one socket before other connections are served.
const TURN_BYTES: usize = 64 * 1024;
/// How often `h2` is polled for one connection before other connections are served.
const TURN_POLLS: usize = 64;

/// What one connection may do before other connections are served. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Turn(Rc<TurnState>);

#[derive(Debug, Default)]
struct TurnState {
    bytes_left: Cell<usize>,
    polls_left: Cell<usize>,
    ended: Cell<bool>,
}

impl Turn {
    /// Begins the next turn.
    pub fn begin(&self) {
        self.0.bytes_left.set(TURN_BYTES);
        self.0.polls_left.set(TURN_POLLS);
        self.0.ended.set(false);
    }

    /// Counts a poll of `h2`. Returns `false` if the turn has ended instead.
    pub fn count_poll(&self) -> bool {
        let polls_left = self.0.polls_left.get();
        self.0.polls_left.set(polls_left.saturating_sub(1));
        self.0.ended.set(self.0.ended.get() || polls_left == 0);
        polls_left > 0
    }

    /// Returns whether the turn ended before the socket blocked: its readiness is not reported again.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.0.ended.get()
    }

    /// Returns how many bytes may be read; the turn ends if there are none.
    fn readable(&self) -> usize {
        let bytes_left = self.0.bytes_left.get();
        self.0.ended.set(self.0.ended.get() || bytes_left == 0);
        bytes_left
    }

    fn count_bytes(&self, bytes: usize) {
        self.0.bytes_left.set(self.0.bytes_left.get().saturating_sub(bytes));
    }
}

/// A socket with the interface that `h2` uses.
pub struct Http2Socket {
    socket: PlainSocket,
    tls: Option<Session>,
}

/// The underlying socket, which rustls reads and writes.
struct PlainSocket {
    stream: Rc<Stream>,
    /// Set when bytes arrive.
    bytes_received: Arc<AtomicBool>,
    turn: Turn,
}

impl Read for PlainSocket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let readable = buffer.len().min(self.turn.readable());
        if readable == 0 && !buffer.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        loop {
            match self.stream.read_once(&mut buffer[..readable]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => {
                    self.turn.count_bytes(read.as_ref().copied().unwrap_or(0));
                    self.bytes_received.fetch_or(read.as_ref().is_ok_and(|&n| n > 0), Ordering::Relaxed);
                    return read;
                }
            }
        }
    }
}

impl Write for PlainSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.write(bytes) {
            Ok(0) if !bytes.is_empty() => Err(ErrorKind::WouldBlock.into()),
            done => done,
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Converts `WouldBlock` to `Pending`.
fn pending_if_blocked<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        Err(e) if e.kind() == ErrorKind::WouldBlock => Poll::Pending,
        result => Poll::Ready(result),
    }
}

/// Evaluates an expression on the server's or the client's side of a session.
macro_rules! either {
    ($session:expr, $inner:ident => $act:expr) => {
        match $session {
            Session::Server($inner) => $act,
            Session::Client($inner) => $act,
        }
    };
}

impl Session {
    /// Writes pending encrypted bytes. Returns `true` once all are written.
    fn flush(&mut self, socket: &mut PlainSocket) -> io::Result<bool> {
        either!(self, session => {
            while session.wants_write() {
                match session.write_tls(socket) {
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                    Err(e) => return Err(e),
                }
            }
            Ok(true)
        })
    }

    /// Reads and decrypts the received bytes. Returns 0 once the other side has closed.
    fn receive(&mut self, socket: &mut PlainSocket) -> io::Result<usize> {
        let received = either!(self, session => session.read_tls(socket))?;
        let decrypted = either!(self, session => session.process_new_packets().map(|_| ()));
        // Sends the TLS alert before the error ends the connection.
        self.flush(socket)?;
        decrypted.map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        let protocol_agreed = either!(self, session => {
            session.is_handshaking() || session.alpn_protocol() == Some(ALPN)
        });
        if !protocol_agreed {
            return Err(io::Error::new(ErrorKind::InvalidData, "ALPN did not negotiate h2"));
        }
        Ok(received)
    }

    fn handshake(&mut self, socket: &mut PlainSocket) -> io::Result<()> {
        loop {
            self.flush(socket)?;
            if !either!(self, session => session.is_handshaking()) {
                return Ok(());
            }
            if self.receive(socket)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read(&mut self, socket: &mut PlainSocket, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            let plain = either!(self, session => session.reader().read(buffer));
            match plain {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                // The connection ended without close_notify. HTTP/2 knows which of its streams were complete.
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(0),
                plain => return plain,
            }
            if self.receive(socket)? == 0 {
                return Ok(0);
            }
        }
    }

    fn write(&mut self, socket: &mut PlainSocket, bytes: &[u8]) -> io::Result<usize> {
        let accepted = either!(self, session => session.writer().write(bytes))?;
        let empty = self.flush(socket)?;
        if accepted > 0 || bytes.is_empty() {
            return Ok(accepted);
        }
        // The buffer was full. Once all of it is written, it accepts bytes again.
        if empty {
            return either!(self, session => session.writer().write(bytes));
        }
        Err(ErrorKind::WouldBlock.into())
    }
}

impl Http2Socket {
    /// Wraps a connected socket, which is read within `turn`. The returned flag is set when bytes arrive.
    #[must_use]
    pub fn new(stream: Rc<Stream>, tls: Option<Session>, turn: Turn) -> (Self, Arc<AtomicBool>) {
        let bytes_received = Arc::new(AtomicBool::new(false));
        let socket = PlainSocket { stream, bytes_received: Arc::clone(&bytes_received), turn };
        (Self { socket, tls }, bytes_received)
    }

    /// Continues the TLS handshake; ready at once without TLS.
    pub fn handshake(&mut self) -> Poll<io::Result<()>> {
        let Self { socket, tls } = self;
        pending_if_blocked(tls.as_mut().map_or(Ok(()), |session| session.handshake(socket)))
    }
}

impl AsyncRead for Http2Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { socket, tls } = &mut *self;
        // The destination is zeroed first, so it is limited to about what a socket returns at once.
        let unfilled = buffer.initialize_unfilled_to(buffer.remaining().min(MAX_READ_BYTES));
        let read = match tls {
            None => socket.read(unfilled),
            Some(session) => session.read(socket, unfilled),
        };
        pending_if_blocked(read.map(|n| buffer.advance(n)))
    }
}

impl AsyncWrite for Http2Socket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Self { socket, tls } = &mut *self;
        pending_if_blocked(match tls {
            None => socket.write(bytes),
            Some(session) => session.write(socket, bytes),
        })
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.tls.is_some() {
            let first = pieces.iter().find(|piece| !piece.is_empty()).map_or(&[][..], |piece| piece);
            return self.poll_write(cx, first);
        }
        match self.socket.stream.write_vectored(pieces) {
            Ok(0) if pieces.iter().any(|piece| !piece.is_empty()) => Poll::Pending,
            done => Poll::Ready(done),
        }
    }

    /// In plaintext a frame's header and its payload are written in one system call.
    fn is_write_vectored(&self) -> bool {
        self.tls.is_none()
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { socket, tls } = &mut *self;
        match tls.as_mut().map_or(Ok(true), |session| session.flush(socket)) {
            Ok(true) => Poll::Ready(Ok(())),
            Ok(false) => Poll::Pending,
            Err(e) => Poll::Ready(Err(e)),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { socket, tls } = &mut *self;
        if let Some(session) = tls {
            either!(session, inner => inner.send_close_notify());
            if !matches!(session.flush(socket), Ok(true) | Err(_)) {
                return Poll::Pending;
            }
        }
        socket.stream.shutdown_write();
        Poll::Ready(Ok(()))
    }
}
