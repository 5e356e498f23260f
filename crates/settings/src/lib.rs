//! Reads and validates the configuration: the platform's file with the site's settings ([`Config`], [`Site`]), endpoint
//! lists ([`endpoint_list`]) and the operator's file ([`OperatorSettings`], [`FlightSettings`], [`PeerSettings`]).
//!
//! Errors are typed ([`error`]) and name the file and the key. This crate opens no sockets.

pub mod endpoint_list;
pub mod error;
mod flight;
mod operator;
mod peers;
mod platform;
mod section;
mod site;

pub use flight::{BackendTls, FlightSettings, ServerTls};
pub use operator::{LogFormat, OperatorSettings};
pub use peers::{Peer, PeerSettings};
pub use platform::{Config, ConnectionSettings};
pub use site::{find_zone, parse_u32, Section, Site};
