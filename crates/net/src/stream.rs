//! Connected sockets.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::event_loop::Registration;
use crate::{Handle, Token};

/// Why reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All received bytes are read.
    Blocked,
    /// The buffer has reached its limit; the socket may hold more bytes.
    Full,
    /// The other side has closed the connection, and all that it sent is read.
    Closed,
    /// The connection failed: bytes in transit are lost, and the received bytes may be incomplete.
    Broken,
}

impl ReadEnd {
    /// Whether no more bytes will be received.
    #[must_use]
    pub fn is_over(self) -> bool {
        matches!(self, ReadEnd::Closed | ReadEnd::Broken)
    }
}

/// A connected socket, or one that is being connected.
pub struct Stream {
    socket: Rc<TcpStream>,
    /// Whether a read or write has failed, so that further input may be incomplete.
    broken: Cell<bool>,
    _registration: Registration,
}

/// Bytes reserved in a buffer before a socket is read.
const READ_RESERVE_BYTES: usize = 16 * 1024;

impl Stream {
    /// Registers an accepted socket.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn from_accepted(handle: &Handle, socket: TcpStream, token: Token) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let registration = Registration::new(handle, socket.clone(), token)?;
        Ok(Self { socket, broken: Cell::new(false), _registration: registration })
    }

    /// Starts to connect. Once the socket is ready, [`Stream::connected`] returns the result.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn connect(handle: &Handle, addr: SocketAddr, token: Token) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&addr.into()) {
            Ok(()) => {}
            // EINPROGRESS has no stable `ErrorKind`.
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::from_accepted(handle, socket.into(), token)
    }

    /// Whether the connection is established; `None` while it is being opened, `Some(false)` if that failed.
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

    /// Reads received bytes until the socket blocks or `buffer` holds `max_length` bytes.
    pub fn read(&self, buffer: &mut Vec<u8>, max_length: usize) -> ReadEnd {
        if self.broken.get() {
            return ReadEnd::Broken;
        }
        let capacity = max_length.saturating_sub(buffer.len());
        if capacity == 0 {
            return ReadEnd::Full;
        }
        // Unlike a slice to read into, reserved capacity is not zeroed for each read.
        buffer.reserve(READ_RESERVE_BYTES.min(capacity));
        match (&*self.socket).take(capacity as u64).read_to_end(buffer) {
            Ok(_) if buffer.len() >= max_length => ReadEnd::Full,
            Ok(_) => ReadEnd::Closed,
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadEnd::Blocked,
            Err(_) => {
                self.broken.set(true);
                ReadEnd::Broken
            }
        }
    }

    /// Whether the other side has closed the connection, or it has failed, though received bytes may be unread. A close
    /// behind bytes that the kernel has no memory to receive is not known yet.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut descriptors = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let no_wait = Timespec::default();
        // An error of poll says nothing about the connection.
        poll(&mut descriptors, Some(&no_wait)).is_ok_and(|ready| ready > 0)
    }

    /// Reads once into `buffer`; 0 means that the other side has closed.
    ///
    /// # Errors
    /// `WouldBlock` if no bytes are available; any other error means that the connection has failed.
    pub fn read_once(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.socket).read(buffer)
    }

    /// Limits the kernel's send buffer to approximately this many bytes.
    pub fn limit_send_buffer(&self, bytes: usize) {
        // If it cannot be set, the system's default applies.
        let _ = socket2::SockRef::from(&*self.socket).set_send_buffer_size(bytes);
    }

    /// Makes closing reset the connection, which discards bytes that were not delivered yet.
    pub fn reset_on_close(&self) {
        // If it cannot be set, the kernel discards the remaining bytes after a timeout.
        let _ = socket2::SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Shuts down the write side of the connection.
    pub fn shutdown_write(&self) {
        // An error means that the connection has ended already.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Writes several buffers in one system call, as far as the socket accepts them; returns the bytes written.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn write_vectored(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize> {
        loop {
            match (&*self.socket).write_vectored(buffers) {
                Ok(0) if buffers.iter().any(|buffer| !buffer.is_empty()) => {
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

    /// Writes until the socket blocks; returns the bytes written.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            match (&*self.socket).write(&bytes[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    self.broken.set(true);
                    return Err(e);
                }
            }
        }
        Ok(written)
    }
}
