//! Non-blocking TCP sockets in an event loop, and the clock.
//!
//! A socket is registered under a [`Token`]. When it is ready, the event loop's data is notified with that token
//! ([`EventHandler::ready`]). Tokens are assigned and interpreted by the caller.

mod clock;
mod event_loop;
mod listener;
mod stream;

pub use clock::Clock;
pub use event_loop::{EventHandler, Handle, Token};
pub use listener::Listener;
pub use stream::{ReadEnd, Stream};

/// Microseconds: a duration, or a Unix time.
pub type Micros = u64;
