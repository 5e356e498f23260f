//! What every connection stands on: a non-blocking socket in the event loop, and the clock.
//!
//! A socket is registered under a [`Token`]; when it is ready, the loop's own data hears so by that token
//! ([`Owner::ready`]). Nothing here knows what the token stands for.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};

/// Microseconds; of the clock, those since the beginning of Unix time.
pub type Micros = u64;

/// What a socket is registered under: a kind that its owner gave out, and a number within that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// Which part of the owner looks after it.
    pub kind: u8,
    /// Which of that part's sockets it is.
    pub id: u64,
}

/// Who is called back: the event loop's own data.
pub trait Owner: 'static {
    /// The socket under this token is newly ready; what is ready has to be used up (edge-triggered).
    fn ready(&mut self, token: Token);
}

/// The event loop as connections see it, whoever owns it.
#[derive(Clone)]
pub struct Handle(Rc<dyn Register>);

impl Handle {
    /// The loop with that handle.
    #[must_use]
    pub fn new<D: Owner>(handle: LoopHandle<'static, D>) -> Self {
        Self(Rc::new(handle))
    }
}

/// Takes a socket into a loop and gives back what takes it out again.
trait Register {
    fn watch(&self, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Box<dyn FnOnce()>>;
}

impl<D: Owner> Register for LoopHandle<'static, D> {
    fn watch(&self, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Box<dyn FnOnce()>> {
        let source = Generic::new(Fd(fd), Interest::BOTH, Mode::Edge);
        let ready = move |_, _: &mut _, owner: &mut D| {
            owner.ready(token);
            Ok(PostAction::Continue)
        };
        let place = self.insert_source(source, ready).map_err(|e| io::Error::other(e.error))?;
        let handle = self.clone();
        Ok(Box::new(move || handle.remove(place)))
    }
}

/// A shared descriptor, as the loop wants it.
struct Fd(Rc<dyn AsFd>);

impl AsFd for Fd {
    fn as_fd(&self) -> BorrowedFd<'_> {
        (*self.0).as_fd()
    }
}

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
struct Watch(Option<Box<dyn FnOnce()>>);

impl Watch {
    fn new(handle: &Handle, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Self> {
        Ok(Self(Some(handle.0.watch(fd, token)?)))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(|leave| leave());
    }
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
    pub fn bind(handle: &Handle, addr: SocketAddr, token: Token) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let watch = Watch::new(handle, socket.clone(), token)?;
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
    /// The other side has ended the connection, after all that it had to say.
    Closed,
    /// The connection broke: what was on its way is lost, and what came need not be whole.
    Broken,
}

impl ReadEnd {
    /// Nothing more will come.
    #[must_use]
    pub fn is_over(self) -> bool {
        matches!(self, ReadEnd::Closed | ReadEnd::Broken)
    }
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
    pub fn accepted(handle: &Handle, socket: TcpStream, token: Token) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let watch = Watch::new(handle, socket.clone(), token)?;
        Ok(Self { socket, broken: Cell::new(false), _watch: watch })
    }

    /// Begins to connect. The first readiness tells how that went; see [`Stream::connected`].
    ///
    /// # Errors
    /// As the system says.
    pub fn dial(handle: &Handle, addr: SocketAddr, token: Token) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&addr.into()) {
            Ok(()) => {}
            // The system's word for "under way" has no kind of its own.
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::accepted(handle, socket.into(), token)
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
            return ReadEnd::Broken;
        }
        let room = most.saturating_sub(buffer.len());
        if room == 0 {
            return ReadEnd::Full;
        }
        // Room that is there is not zeroed for each read, which cost an unoptimised build more than all else of it.
        buffer.reserve(READ.min(room));
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

    /// Lets the system hold about so many bytes at most that the other side has not taken.
    pub fn hold_back(&self, bytes: usize) {
        // Where it cannot be set, the system's own bound holds.
        let _ = socket2::SockRef::from(&*self.socket).set_send_buffer_size(bytes);
    }

    /// Closing is a reset from now on: what the other side has not taken is dropped, and not held for it.
    pub fn abort(&self) {
        // Where it cannot be set, the system gives the rest up by itself after a while.
        let _ = socket2::SockRef::from(&*self.socket).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Says to the other side that nothing more will be written.
    pub fn finish(&self) {
        // An error means that the other side has gone already.
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Writes pieces that lie apart in one call, as far as the socket takes them now.
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
