//! Lets `h2` read and write a socket of the event loop. No runtime: a connection polls `h2` when its
//! socket is ready, and again for as long as `h2` asks for that.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use mallowgauge_net::Stream;

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

/// A socket as `h2` sees it.
pub struct Wire {
    stream: Rc<Stream>,
    heard: Arc<AtomicBool>,
}

impl Wire {
    /// Wraps a connected socket; the flag says that bytes have come since it was last lowered.
    #[must_use]
    pub fn new(stream: Rc<Stream>) -> (Self, Arc<AtomicBool>) {
        let heard = Arc::new(AtomicBool::new(false));
        (Self { stream, heard: Arc::clone(&heard) }, heard)
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.stream.read_once(buffer.initialize_unfilled()) {
                Ok(n) => {
                    self.heard.fetch_or(n > 0, Ordering::Relaxed);
                    buffer.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Poll::Pending,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.stream.write(bytes) {
            Ok(0) if !bytes.is_empty() => Poll::Pending,
            done => Poll::Ready(done),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.finish();
        Poll::Ready(Ok(()))
    }
}
