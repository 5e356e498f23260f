//! Connected sockets.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use crate::event_loop::Registration;
use crate::{Handle, Token};

/// Why reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All that has come is read.
    Blocked,
    /// The buffer holds all that it may; the socket may hold more.
    Full,
    /// The other side has ended the connection, and all that it sent is read.
    Closed,
    /// The connection broke: what was on its way is lost, and what came may be incomplete.
    Broken,
}

impl ReadEnd {
    /// Nothing more will come.
    #[must_use]
    pub fn is_over(self) -> bool {
        matches!(self, ReadEnd::Closed | ReadEnd::Broken)
    }
}

/// A connected socket, or one that is being connected.
pub struct Stream {
    socket: Rc<TcpStream>,
    /// A read or write has failed: what is still to be read may be incomplete.
    broken: Cell<bool>,
    _registration: Registration,
}

/// Bytes of room that a buffer has at least when a socket is read.
const READ_RESERVE: usize = 16 * 1024;

impl Stream {
    /// Takes an accepted socket.
    ///
    /// # Errors
    /// The system's own.
    pub fn from_accepted(handle: &Handle, socket: TcpStream, token: Token) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let registration = Registration::new(handle, socket.clone(), token)?;
        Ok(Self { socket, broken: Cell::new(false), _registration: registration })
    }

    /// Begins to connect. Once the socket is ready, [`Stream::connected`] says how that went.
    ///
    /// # Errors
    /// The system's own.
    pub fn connect(handle: &Handle, addr: SocketAddr, token: Token) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&addr.into()) {
            Ok(()) => {}
            // "In progress" has no `ErrorKind` of its own.
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::from_accepted(handle, socket.into(), token)
    }

    /// Whether the connection is up; `None` while it is being opened, `Some(false)` once that has failed.
    pub fn connected(&self) -> Option<bool> {
        match self.socket.take_error() {
            Ok(None) => match self.socket.peer_addr() {
                Ok(_) => Some(true),
                Err(e) if e.kind() == ErrorKind::NotConnected => None,
                Err(_) => Some(false),
            },
            _ => Some(false),
        }
    }

    /// Reads what has come, until `buffer` holds `most` bytes.
    pub fn read(&self, buffer: &mut Vec<u8>, most: usize) -> ReadEnd {
        if self.broken.get() {
            return ReadEnd::Broken;
        }
        let room = most.saturating_sub(buffer.len());
        if room == 0 {
            return ReadEnd::Full;
        }
        // Reserved room is not zeroed for each read, as a slice would have to be.
        buffer.reserve(READ_RESERVE.min(room));
        match (&*self.socket).take(room as u64).read_to_end(buffer) {
            Ok(_) if buffer.len() >= most => ReadEnd::Full,
            Ok(_) => ReadEnd::Closed,
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadEnd::Blocked,
            Err(_) => {
                self.broken.set(true);
                ReadEnd::Broken
            }
        }
    }

    /// Reads once into `buffer`; 0 means that the other side has closed.
    ///
    /// # Errors
    /// `WouldBlock` when nothing has come, and any that means that the connection is broken.
    pub fn read_once(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.socket).read(buffer)
    }

    /// Bounds the bytes that the system holds until the other side takes them, at about so many.
    pub fn limit_send_buffer(&self, bytes: usize) {
        // Where it cannot be set, the system's own bound holds.
        let _ = socket2::SockRef::from(&*self.socket).set_send_buffer_size(bytes);
    }

    /// Makes the close a reset: what the other side has not taken by then is dropped.
    pub fn reset_on_close(&self) {
        // Where it cannot be set, the system gives the rest up by itself after a while.
        let _ = socket2::SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Ends this side of the connection: nothing more will be written.
    pub fn shutdown_write(&self) {
        // An error means that the connection has ended already.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Writes separate pieces in one system call, as far as the socket takes them now; returns the bytes written.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write_vectored(&self, pieces: &[IoSlice<'_>]) -> io::Result<usize> {
        loop {
            match (&*self.socket).write_vectored(pieces) {
                Ok(0) if pieces.iter().any(|piece| !piece.is_empty()) => {
                    return Err(ErrorKind::WriteZero.into())
                }
                Ok(n) => return Ok(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(0),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.broken.set(true);
                    return Err(e);
                }
            }
        }
    }

    /// Writes as far as the socket takes it now; returns the bytes written.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut done = 0;
        while done < bytes.len() {
            match (&*self.socket).write(&bytes[done..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.broken.set(true);
                    return Err(e);
                }
            }
        }
        Ok(done)
    }
}
