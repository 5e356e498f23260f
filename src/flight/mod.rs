//! What both sides of Arrow Flight share: HTTP/2 on the event loop, gRPC's framing, Flight's tables.

pub mod grpc;
pub mod io;
pub mod table;
