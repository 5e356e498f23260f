//! What every connection stands on: a non-blocking socket that calls back into the [`Gatherer`].

use std::cell::Cell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};

use crate::gatherer::Gatherer;
use crate::interface::Micros;

/// The event loop, as connections see it.
pub type Handle = LoopHandle<'static, Gatherer>;

/// The clock: Unix time in microseconds that never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that reads the system's time once and counts on from there.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Self { unix, start: Instant::now() }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

/// A socket's place in the event loop, given up when dropped.
struct Watch {
    handle: Handle,
    token: RegistrationToken,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

/// Calls back at each new readiness; what is ready has to be used up (edge-triggered).
fn watch<F: AsFd + 'static>(
    handle: &Handle,
    fd: F,
    mut callback: impl FnMut(&mut Gatherer) + 'static,
) -> io::Result<Watch> {
    let source = Generic::new(fd, Interest::BOTH, Mode::Edge);
    let ready = move |_, _: &mut _, gatherer: &mut Gatherer| {
        callback(gatherer);
        Ok(PostAction::Continue)
    };
    let token = handle.insert_source(source, ready).map_err(|e| io::Error::other(e.error))?;
    Ok(Watch { handle: handle.clone(), token })
}

/// Clients that wait to be accepted; one more than that would have to dial again a second later.
const BACKLOG: i32 = 1024;

/// A listening socket.
pub struct Listener {
    socket: Rc<TcpListener>,
    _watch: Watch,
}

impl Listener {
    /// Listens on this address only.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(
        handle: &Handle,
        addr: SocketAddr,
        callback: impl FnMut(&mut Gatherer) + 'static,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let watch = watch(handle, Rc::clone(&socket), callback)?;
        Ok(Self { socket, _watch: watch })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// As the system says.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next connection; `None` when none waits.
    ///
    /// # Errors
    /// Those that say that no more can be held now, such as EMFILE; the connection stays in the backlog.
    pub fn accept(&self) -> io::Result<Option<TcpStream>> {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => return Ok(Some(socket)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// What reading came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All that had come is read.
    Blocked,
    /// The buffer holds all that it may; more can wait in the socket.
    Full,
    /// The other side has closed, or the connection broke.
    Closed,
}

/// A connection's socket.
pub struct Stream {
    socket: Rc<TcpStream>,
    broken: Cell<bool>,
    _watch: Watch,
}

/// Read from a socket at a time.
const READ: usize = 16 * 1024;

impl Stream {
    /// Takes an accepted socket.
    ///
    /// # Errors
    /// As the system says.
    pub fn accepted(
        handle: &Handle,
        socket: TcpStream,
        callback: impl FnMut(&mut Gatherer) + 'static,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let watch = watch(handle, Rc::clone(&socket), callback)?;
        Ok(Self { socket, broken: Cell::new(false), _watch: watch })
    }

    /// Begins to connect. The first readiness tells how that went; see [`Stream::connected`].
    ///
    /// # Errors
    /// As the system says.
    pub fn dial(
        handle: &Handle,
        addr: SocketAddr,
        callback: impl FnMut(&mut Gatherer) + 'static,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&addr.into()) {
            Ok(()) => {}
            // The system's word for "under way" has no kind of its own.
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::accepted(handle, socket.into(), callback)
    }

    /// Whether the connection is up; `None` while it is under way.
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

    /// Reads what has come, until `buffer` holds `most`.
    pub fn read(&self, buffer: &mut Vec<u8>, most: usize) -> ReadEnd {
        if self.broken.get() {
            return ReadEnd::Closed;
        }
        loop {
            let held = buffer.len();
            if held >= most {
                return ReadEnd::Full;
            }
            buffer.resize((held + READ).min(most), 0);
            let read = (&*self.socket).read(&mut buffer[held..]);
            buffer.truncate(held + read.as_ref().map_or(0, |&n| n));
            match read {
                Ok(0) => return ReadEnd::Closed,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadEnd::Blocked,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.broken.set(true);
                    return ReadEnd::Closed;
                }
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

    /// Says to the other side that nothing more will be written.
    pub fn finish(&self) {
        // An error means that the other side has gone already.
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Writes what the socket takes now and says how much that was.
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
