//! The fronts: each turns its wire's requests into typed queries and final answers back into its wire.

pub mod flight;
pub mod http;
pub mod http1;
pub mod query;
