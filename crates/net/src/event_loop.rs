//! How a socket gets into the event loop and out of it, and who is told that it is ready.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};

/// What a socket is registered under: a kind that the event handler gave out, and a number within that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// Which part of the event handler looks after it.
    pub kind: u8,
    /// Which of that part's sockets it is.
    pub id: u64,
}

/// The event loop's own data, which is told of events.
pub trait EventHandler: 'static {
    /// The socket under this token is newly readable or writable. That is said once (edge-triggered), so it has to
    /// be read and written until it blocks.
    fn ready(&mut self, token: Token);
}

/// Registers sockets in an event loop, whatever the loop's data is.
#[derive(Clone)]
pub struct Handle(Rc<dyn Register>);

impl Handle {
    /// Registers sockets in the loop with that handle.
    #[must_use]
    pub fn new<D: EventHandler>(handle: LoopHandle<'static, D>) -> Self {
        Self(Rc::new(handle))
    }
}

/// Hides the type of the event loop's data.
trait Register {
    /// Registers a socket, and gives back what removes it again.
    fn register(&self, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Box<dyn FnOnce()>>;
}

impl<D: EventHandler> Register for LoopHandle<'static, D> {
    fn register(&self, fd: Rc<dyn AsFd>, token: Token) -> io::Result<Box<dyn FnOnce()>> {
        let source = Generic::new(Fd(fd), Interest::BOTH, Mode::Edge);
        let ready = move |_, _: &mut _, handler: &mut D| {
            handler.ready(token);
            Ok(PostAction::Continue)
        };
        let registered = self.insert_source(source, ready).map_err(|e| io::Error::other(e.error))?;
        let handle = self.clone();
        Ok(Box::new(move || handle.remove(registered)))
    }
}

/// A shared descriptor, in the form that the event loop takes.
struct Fd(Rc<dyn AsFd>);

impl AsFd for Fd {
    fn as_fd(&self) -> BorrowedFd<'_> {
        (*self.0).as_fd()
    }
}

/// A socket in the event loop, for as long as this is held.
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
