//! The server: fronts, host connections, discovery, the program's phases, and the loop that owns them.

pub mod discovery;
pub mod front;
pub mod lifecycle;
pub mod peers;
pub mod server;
pub mod takeover;
pub mod tls;
pub mod upstream;
pub mod wire;

/// The kinds of tokens that sockets are registered under, one for each part of the gatherer.
mod token {
    pub const DISCOVERY: u8 = 0;
    pub const HTTP_LISTENER: u8 = 1;
    pub const FLIGHT_LISTENER: u8 = 2;
    pub const HTTP: u8 = 3;
    pub const FLIGHT: u8 = 4;
    pub const HOST: u8 = 5;
    pub const PEER_LISTENER: u8 = 6;
    pub const PEER: u8 = 7;
}
