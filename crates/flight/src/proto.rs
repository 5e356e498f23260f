//! The protobuf messages of Arrow Flight, of gRPC health checks and of gRPC error details, after their public
//! definitions. They are written by hand so that the build does not need `protoc`.

use std::collections::HashMap;

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};
use prost_types::{Any, Duration, Timestamp};

/// `arrow.flight.protocol.HandshakeRequest` and `HandshakeResponse`, which have the same fields.
#[derive(Clone, PartialEq, Message)]
pub struct Handshake {
    /// The protocol version; currently 0.
    #[prost(uint64, tag = "1")]
    pub protocol_version: u64,
    /// Application-defined handshake data.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: Bytes,
}

/// `arrow.flight.protocol.BasicAuth`
#[derive(Clone, PartialEq, Message)]
pub struct BasicAuth {
    /// The user name.
    #[prost(string, tag = "2")]
    pub username: String,
    /// The password.
    #[prost(string, tag = "3")]
    pub password: String,
}

/// `arrow.flight.protocol.Criteria`
#[derive(Clone, PartialEq, Message)]
pub struct Criteria {
    /// The filter expression; empty to list all flights.
    #[prost(bytes = "bytes", tag = "1")]
    pub expression: Bytes,
}

/// `arrow.flight.protocol.FlightDescriptor`
#[derive(Clone, PartialEq, Message)]
pub struct FlightDescriptor {
    /// The type: [`DESCRIPTOR_PATH`] or [`DESCRIPTOR_COMMAND`].
    #[prost(int32, tag = "1")]
    pub r#type: i32,
    /// The command, if the type is [`DESCRIPTOR_COMMAND`].
    #[prost(bytes = "bytes", tag = "2")]
    pub cmd: Bytes,
    /// The path, if the type is [`DESCRIPTOR_PATH`].
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
}

/// The type of a descriptor that holds a path.
pub const DESCRIPTOR_PATH: i32 = 1;
/// The type of a descriptor that holds a command.
pub const DESCRIPTOR_COMMAND: i32 = 2;

impl FlightDescriptor {
    /// Creates a descriptor with a command.
    #[must_use]
    pub fn command(cmd: Bytes) -> Self {
        Self { r#type: DESCRIPTOR_COMMAND, cmd, path: Vec::new() }
    }
}

/// `arrow.flight.protocol.Ticket`
#[derive(Clone, PartialEq, Message)]
pub struct Ticket {
    /// Opaque data that the server issued.
    #[prost(bytes = "bytes", tag = "1")]
    pub ticket: Bytes,
}

/// `arrow.flight.protocol.Location`
#[derive(Clone, PartialEq, Message)]
pub struct Location {
    /// The URI of the server.
    #[prost(string, tag = "1")]
    pub uri: String,
}

/// `arrow.flight.protocol.FlightEndpoint`; without a location the ticket is for the same service.
#[derive(Clone, PartialEq, Message)]
pub struct FlightEndpoint {
    /// The ticket to fetch the data with.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<Ticket>,
    /// The servers that accept the ticket.
    #[prost(message, repeated, tag = "2")]
    pub location: Vec<Location>,
    /// The time at which the ticket expires.
    #[prost(message, optional, tag = "3")]
    pub expiration_time: Option<Timestamp>,
    /// Application-defined metadata.
    #[prost(bytes = "bytes", tag = "4")]
    pub app_metadata: Bytes,
}

/// `arrow.flight.protocol.FlightInfo`
#[derive(Clone, PartialEq, Message)]
pub struct FlightInfo {
    /// The schema, as an encapsulated IPC message.
    #[prost(bytes = "bytes", tag = "1")]
    pub schema: Bytes,
    /// The descriptor that was requested.
    #[prost(message, optional, tag = "2")]
    pub flight_descriptor: Option<FlightDescriptor>,
    /// The endpoints that hold the data.
    #[prost(message, repeated, tag = "3")]
    pub endpoint: Vec<FlightEndpoint>,
    /// The number of rows; -1 if unknown.
    #[prost(int64, tag = "4")]
    pub total_records: i64,
    /// The size of the data in bytes; -1 if unknown.
    #[prost(int64, tag = "5")]
    pub total_bytes: i64,
    /// Whether the endpoints' data is in order.
    #[prost(bool, tag = "6")]
    pub ordered: bool,
    /// Application-defined metadata.
    #[prost(bytes = "bytes", tag = "7")]
    pub app_metadata: Bytes,
}

/// `arrow.flight.protocol.PollInfo`
#[derive(Clone, PartialEq, Message)]
pub struct PollInfo {
    /// The results available so far.
    #[prost(message, optional, tag = "1")]
    pub info: Option<FlightInfo>,
    /// The descriptor for the next poll; none if the query has finished.
    #[prost(message, optional, tag = "2")]
    pub flight_descriptor: Option<FlightDescriptor>,
    /// The progress, from 0 to 1.
    #[prost(double, optional, tag = "3")]
    pub progress: Option<f64>,
    /// The time at which the descriptor expires.
    #[prost(message, optional, tag = "4")]
    pub expiration_time: Option<Timestamp>,
}

/// `arrow.flight.protocol.SchemaResult`
#[derive(Clone, PartialEq, Message)]
pub struct SchemaResult {
    /// The schema, as an encapsulated IPC message.
    #[prost(bytes = "bytes", tag = "1")]
    pub schema: Bytes,
}

/// `arrow.flight.protocol.ActionType`
#[derive(Clone, PartialEq, Message)]
pub struct ActionType {
    /// The name of the action.
    #[prost(string, tag = "1")]
    pub r#type: String,
    /// A description of the action.
    #[prost(string, tag = "2")]
    pub description: String,
}

/// `arrow.flight.protocol.Action`
#[derive(Clone, PartialEq, Message)]
pub struct Action {
    /// The name of the action.
    #[prost(string, tag = "1")]
    pub r#type: String,
    /// The argument of the action.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// `arrow.flight.protocol.Result`
#[derive(Clone, PartialEq, Message)]
pub struct ActionResult {
    /// The result of the action.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: Bytes,
}

/// `arrow.flight.protocol.PutResult`
#[derive(Clone, PartialEq, Message)]
pub struct PutResult {
    /// Application-defined metadata.
    #[prost(bytes = "bytes", tag = "1")]
    pub app_metadata: Bytes,
}

/// `arrow.flight.protocol.FlightData`
#[derive(Clone, PartialEq, Message)]
pub struct FlightData {
    /// The descriptor, on the first message of a `DoPut` or `DoExchange` stream.
    #[prost(message, optional, tag = "1")]
    pub flight_descriptor: Option<FlightDescriptor>,
    /// The header of the IPC message.
    #[prost(bytes = "bytes", tag = "2")]
    pub data_header: Bytes,
    /// Application-defined metadata.
    #[prost(bytes = "bytes", tag = "3")]
    pub app_metadata: Bytes,
    /// The body of the IPC message.
    #[prost(bytes = "bytes", tag = "1000")]
    pub data_body: Bytes,
}

/// `arrow.flight.protocol.CancelFlightInfoRequest`
#[derive(Clone, PartialEq, Message)]
pub struct CancelFlightInfoRequest {
    /// The flight to cancel.
    #[prost(message, optional, tag = "1")]
    pub info: Option<FlightInfo>,
}

/// `arrow.flight.protocol.CancelStatus`
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum CancelStatus {
    /// The status is unknown.
    Unspecified = 0,
    /// The flight was cancelled.
    Cancelled = 1,
    /// Cancellation is in progress.
    Cancelling = 2,
    /// The flight cannot be cancelled.
    NotCancellable = 3,
}

/// `arrow.flight.protocol.CancelFlightInfoResult`
#[derive(Clone, PartialEq, Message)]
pub struct CancelFlightInfoResult {
    /// The outcome of the cancellation.
    #[prost(enumeration = "CancelStatus", tag = "1")]
    pub status: i32,
}

/// `arrow.flight.protocol.RenewFlightEndpointRequest`
#[derive(Clone, PartialEq, Message)]
pub struct RenewFlightEndpointRequest {
    /// The endpoint whose expiration time is to be extended.
    #[prost(message, optional, tag = "1")]
    pub endpoint: Option<FlightEndpoint>,
}

/// `arrow.flight.protocol.SessionOptionValue`
#[derive(Clone, PartialEq, Message)]
pub struct SessionOptionValue {
    /// The value; none to unset the option.
    #[prost(oneof = "OptionValue", tags = "1, 2, 3, 4, 5")]
    pub option_value: Option<OptionValue>,
}

/// The value of a session option.
#[derive(Clone, PartialEq, Oneof)]
pub enum OptionValue {
    /// A string.
    #[prost(string, tag = "1")]
    String(String),
    /// A boolean.
    #[prost(bool, tag = "2")]
    Bool(bool),
    /// A signed 64-bit integer.
    #[prost(sfixed64, tag = "3")]
    Int64(i64),
    /// A double-precision number.
    #[prost(double, tag = "4")]
    Double(f64),
    /// A list of strings.
    #[prost(message, tag = "5")]
    StringList(StringListValue),
}

/// `arrow.flight.protocol.SessionOptionValue.StringListValue`
#[derive(Clone, PartialEq, Message)]
pub struct StringListValue {
    /// The strings.
    #[prost(string, repeated, tag = "1")]
    pub values: Vec<String>,
}

/// `arrow.flight.protocol.SetSessionOptionsRequest` and `GetSessionOptionsResult`, which have the same
/// fields.
#[derive(Clone, PartialEq, Message)]
pub struct SessionOptions {
    /// The options by name.
    #[prost(map = "string, message", tag = "1")]
    pub session_options: HashMap<String, SessionOptionValue>,
}

/// `arrow.flight.protocol.SetSessionOptionsResult.Error`
#[derive(Clone, PartialEq, Message)]
pub struct SessionError {
    /// 1: invalid name; 2: invalid value; 3: the option could not be set.
    #[prost(int32, tag = "1")]
    pub value: i32,
}

/// `arrow.flight.protocol.SetSessionOptionsResult`
#[derive(Clone, PartialEq, Message)]
pub struct SetSessionOptionsResult {
    /// The errors of the options that were not set, by name.
    #[prost(map = "string, message", tag = "1")]
    pub errors: HashMap<String, SessionError>,
}

/// `arrow.flight.protocol.CloseSessionResult`
#[derive(Clone, PartialEq, Message)]
pub struct CloseSessionResult {
    /// 1: closed; 2: closing; 3: not closeable.
    #[prost(int32, tag = "1")]
    pub status: i32,
}

/// `grpc.health.v1.HealthCheckRequest`
#[derive(Clone, PartialEq, Message)]
pub struct HealthCheckRequest {
    /// The service name; empty for the whole server.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// `grpc.health.v1.HealthCheckResponse`
#[derive(Clone, PartialEq, Message)]
pub struct HealthCheckResponse {
    /// 1: serving; 2: not serving; 3: unknown service (used only by `Watch`).
    #[prost(int32, tag = "1")]
    pub status: i32,
}

/// `google.rpc.RetryInfo`
#[derive(Clone, PartialEq, Message)]
pub struct RetryInfo {
    /// The delay after which the client should retry.
    #[prost(message, optional, tag = "1")]
    pub retry_delay: Option<Duration>,
}

/// `google.rpc.ErrorInfo`
#[derive(Clone, PartialEq, Message)]
pub struct ErrorInfo {
    /// The machine-readable reason.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// The domain that defines the reason.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Additional details.
    #[prost(map = "string, string", tag = "3")]
    pub metadata: HashMap<String, String>,
}

/// `google.rpc.Status`
#[derive(Clone, PartialEq, Message)]
pub struct RpcStatus {
    /// The gRPC status code.
    #[prost(int32, tag = "1")]
    pub code: i32,
    /// The message for people.
    #[prost(string, tag = "2")]
    pub message: String,
    /// The machine-readable details.
    #[prost(message, repeated, tag = "3")]
    pub details: Vec<Any>,
}
