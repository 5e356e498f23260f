//! What the platform and the operator configure, checked: the platform's file with the settings of its site
//! ([`Config`], [`Site`]), endpoint lists ([`endpoint_list`]) and the operator's file ([`OperatorSettings`], [`FlightSettings`], [`PeerSettings`]).
//!
//! Whatever is wrong is a typed error ([`error`]) that names the file and the key. No socket is opened here.

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
pub use site::{small, zone, Section, Site};
