//! The server: frontends, connections to backends, discovery, the phases of the process, and the event loop that
//! owns them. It decides nothing about queries: that is the core's and the router's.

pub mod backend_registry;
pub mod discovery;
pub mod front;
pub mod http2_socket;
pub mod lifecycle;
pub mod peers;
pub mod server;
pub mod takeover;
pub mod tls;
mod token;
pub mod upstream;
