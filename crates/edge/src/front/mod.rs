//! The frontends. Each translates the requests of its protocol into typed queries, and final responses back into its
//! protocol.

pub mod flight;
pub mod http;
pub mod http1;
pub mod query;
