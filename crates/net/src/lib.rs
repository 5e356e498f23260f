//! What every connection stands on: non-blocking TCP sockets in an event loop, and the clock.
//!
//! A socket is registered under a [`Token`]; when it is ready, the event loop's own data is told so by that token
//! ([`EventHandler::ready`]). What a token stands for is known to whoever registered it alone.

mod clock;
mod event_loop;
mod listener;
mod stream;

pub use clock::Clock;
pub use event_loop::{EventHandler, Handle, Token};
pub use listener::Listener;
pub use stream::{ReadEnd, Stream};

/// Microseconds: a length of time, or an instant as those since the beginning of Unix time.
pub type Micros = u64;
