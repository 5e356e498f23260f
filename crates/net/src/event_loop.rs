//! Registers sockets in the event loop, and notifies the loop's data when they are ready.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};

/// Identifies a registered socket: a kind assigned by the event handler, and an id within that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// The kind, which determines the component that handles the socket.
    pub kind: u8,
    /// The socket's id within its kind.
    pub id: u64,
}

/// The event loop's data, which handles events.
pub trait EventHandler: 'static {
    /// Handles a socket that has become readable or writable. Events are edge-triggered, so the socket has to be read
    /// and written until it blocks.
    fn ready(&mut self, token: Token);
}

/// A handle to an event loop with any type of data, to register sockets.
#[derive(Clone)]
pub struct Handle(Rc<dyn Register>);

impl Handle {
    /// Wraps the handle of an event loop.
    #[must_use]
    pub fn new<D: EventHandler>(handle: LoopHandle<'static, D>) -> Self {
        Self(Rc::new(handle))
    }
}

/// Abstracts over the type of the event loop's data.
trait Register {
    /// Registers a socket, and returns a function that removes it.
    fn register(&self, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Box<dyn FnOnce()>>;
}

impl<D: EventHandler> Register for LoopHandle<'static, D> {
    fn register(&self, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Box<dyn FnOnce()>> {
        let source = Generic::new(SharedFd(fd), Interest::BOTH, Mode::Edge);
        let ready = move |_, _: &mut _, handler: &mut D| {
            handler.ready(token);
            Ok(PostAction::Continue)
        };
        let registered = self.insert_source(source, ready).map_err(|e| io::Error::other(e.error))?;
        let handle = self.clone();
        Ok(Box::new(move || handle.remove(registered)))
    }
}

/// A shared file descriptor that implements `AsFd`, as the event loop requires.
struct SharedFd(Rc<dyn AsFd>);

impl AsFd for SharedFd {
    fn as_fd(&self) -> BorrowedFd<'_> {
        (*self.0).as_fd()
    }
}

/// Keeps a socket registered in the event loop until it is dropped.
pub(crate) struct Registration(Option<Box<dyn FnOnce()>>);

impl Registration {
    pub(crate) fn new(handle: &Handle, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Self> {
        Ok(Self(Some(handle.0.register(fd, token)?)))
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(|remove| remove());
    }
}
