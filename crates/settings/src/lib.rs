//! What the programs are told: the platform's file and settings, the operator's file. All of it is checked
//! here, and what is wrong is said with file and key.

mod config;
mod fleet;
pub mod hosts;
mod operator;
mod site;

pub use config::{Config, Links};
pub use fleet::{Fleet, Peer};
pub use operator::{Flight, HostTls, LogFormat, Operator, ServerTls};
pub use site::{small, zone, Section, Site};
