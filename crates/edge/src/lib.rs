//! The server: frontends, connections to backends and peers, discovery, the phases of the process, and the event loop
//! that owns them. Decisions about queries are made in the core and the router.

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
