//! What both sides of Arrow Flight share: gRPC's framing, Flight's messages, tables as they lie.

pub mod answer;
pub mod grpc;
pub mod ipc;
pub mod proto;
pub mod rows;
pub mod schema;
pub mod seal;
