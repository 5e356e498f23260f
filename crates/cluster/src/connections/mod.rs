//! Connections between peers: who may be connected, who dials whom and when, and what connections may hold.
//!
//! There is one connection a pair: the peer earlier in the list dials, the later one waits, so that two never
//! open two.

mod dial_scheduler;
mod handshake;
mod limits;

pub use dial_scheduler::DialScheduler;
pub use handshake::{verify_incarnation, HandshakeError, Hello, PeerList, MAJOR, MINOR};
pub use limits::{LimitsError, PeerConnectionLimits};
