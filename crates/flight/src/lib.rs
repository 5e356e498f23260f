//! Arrow Flight code that the server's frontend and its backend connections share: gRPC framing, Flight
//! messages, undecoded record batches, and signed tickets and tokens.

pub mod answer;
mod batch_validator;
pub mod grpc;
pub mod ipc;
pub mod json_size;
pub mod proto;
pub mod rows;
pub mod schema;
pub mod seal;
