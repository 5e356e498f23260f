//! What both sides of Arrow Flight share: gRPC's framing, Flight's tables.

pub mod grpc;
pub mod table;
