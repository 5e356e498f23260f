//! Lets `h2` read and write a socket of the event loop, in the clear or through TLS. No runtime: a connection
//! polls `h2` when its socket is ready, and again for as long as `h2` asks for that.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

use mallowgauge_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::tls::{Session, ALPN};

/// Says whether `h2` wants to be polled again.
#[derive(Debug, Default)]
pub struct Flag(AtomicBool);

impl Flag {
    /// A flag and the waker that raises it.
    #[must_use]
    pub fn waker() -> (Arc<Self>, Waker) {
        let flag = Arc::new(Self::default());
        (Arc::clone(&flag), Waker::from(flag))
    }

    /// Lowers the flag and says whether it was up.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Read from a socket at a time.
const READ: usize = 64 * 1024;

/// A socket as `h2` sees it.
pub struct Wire {
    socket: Socket,
    tls: Option<Session>,
}

/// The socket as rustls sees it.
struct Socket {
    stream: Rc<Stream>,
    heard: Arc<AtomicBool>,
}

impl Read for Socket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.read_once(buffer) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => {
                    self.heard.fetch_or(read.as_ref().is_ok_and(|&n| n > 0), Ordering::Relaxed);
                    return read;
                }
            }
        }
    }
}

impl Write for Socket {
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

fn blocked<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        Err(e) if e.kind() == ErrorKind::WouldBlock => Poll::Pending,
        result => Poll::Ready(result),
    }
}

macro_rules! either {
    ($session:expr, $inner:ident => $act:expr) => {
        match $session {
            Session::Server($inner) => $act,
            Session::Client($inner) => $act,
        }
    };
}

impl Session {
    /// Sends what is encrypted and waits; `true` once nothing does.
    fn flush(&mut self, socket: &mut Socket) -> io::Result<bool> {
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

    /// Takes what has come; 0 once the other side has closed.
    fn receive(&mut self, socket: &mut Socket) -> io::Result<usize> {
        let came = either!(self, session => session.read_tls(socket))?;
        let taken = either!(self, session => session.process_new_packets().map(|_| ()));
        // What there is to say, an alert for what was wrong included, goes out first.
        self.flush(socket)?;
        taken.map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        let agreed = either!(self, session => {
            session.is_handshaking() || session.alpn_protocol() == Some(ALPN)
        });
        if !agreed {
            return Err(io::Error::new(ErrorKind::InvalidData, "no agreement on h2"));
        }
        Ok(came)
    }

    fn handshake(&mut self, socket: &mut Socket) -> io::Result<()> {
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

    fn read(&mut self, socket: &mut Socket, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            let plain = either!(self, session => session.reader().read(buffer));
            match plain {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                // A side that ends without saying so has been cut off; what HTTP/2 needs to know of its
                // streams it knows from them.
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(0),
                plain => return plain,
            }
            if self.receive(socket)? == 0 {
                return Ok(0);
            }
        }
    }

    fn write(&mut self, socket: &mut Socket, bytes: &[u8]) -> io::Result<usize> {
        let taken = either!(self, session => session.writer().write(bytes))?;
        let empty = self.flush(socket)?;
        if taken > 0 || bytes.is_empty() {
            return Ok(taken);
        }
        // The buffer was full; with all of it out there is room again.
        if empty {
            return either!(self, session => session.writer().write(bytes));
        }
        Err(ErrorKind::WouldBlock.into())
    }
}

impl Wire {
    /// Wraps a connected socket; the flag says that bytes have come since it was last lowered.
    #[must_use]
    pub fn new(stream: Rc<Stream>, tls: Option<Session>) -> (Self, Arc<AtomicBool>) {
        let heard = Arc::new(AtomicBool::new(false));
        let socket = Socket { stream, heard: Arc::clone(&heard) };
        (Self { socket, tls }, heard)
    }
}

impl Wire {
    /// Whether both sides have agreed on TLS; at once where there is none.
    pub fn handshake(&mut self) -> Poll<io::Result<()>> {
        let Self { socket, tls } = self;
        blocked(tls.as_mut().map_or(Ok(()), |session| session.handshake(socket)))
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { socket, tls } = &mut *self;
        // Room is made ready by being zeroed; more than a socket gives at once would be zeroed in vain.
        let room = buffer.initialize_unfilled_to(buffer.remaining().min(READ));
        let read = match tls {
            None => socket.read(room),
            Some(session) => session.read(socket, room),
        };
        blocked(read.map(|n| buffer.advance(n)))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Self { socket, tls } = &mut *self;
        blocked(match tls {
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

    /// In the clear a frame's head and its payload go out in one call.
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
        socket.stream.finish();
        Poll::Ready(Ok(()))
    }
}
