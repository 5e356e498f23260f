//! Connections between peers: the handshake, the schedule of dials, and the limits of connections.
//!
//! Each pair of peers has one connection. The peer earlier in the list dials and the later one listens, so
//! that a pair never opens two.

mod dial_scheduler;
mod handshake;
mod limits;

pub use dial_scheduler::DialScheduler;
pub use handshake::{verify_incarnation, HandshakeError, Hello, PeerList, MAJOR, MINOR};
pub use limits::{LimitsError, PeerConnectionLimits};
