//! Listening sockets.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use crate::event_loop::Registration;
use crate::{Handle, Token};

/// Maximum number of connections in the backlog. A connection attempt beyond it is retried only after a second.
const BACKLOG: i32 = 1024;

/// A listening socket.
pub struct Listener {
    socket: Rc<TcpListener>,
    _registration: Registration,
}

impl Listener {
    /// Binds a listening socket to this address and registers it.
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
        let registration = Registration::new(handle, socket.clone(), token)?;
        Ok(Self { socket, _registration: registration })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts the next pending connection; `None` if there is none.
    ///
    /// # Errors
    /// No further connection can be accepted now (such as EMFILE); the connection stays in the backlog.
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
