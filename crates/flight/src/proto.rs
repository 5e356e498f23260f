//! The messages of Arrow Flight, of gRPC's health checks and of its error details, from the public
//! definitions. They are written by hand so that no build step needs `protoc`.

use std::collections::HashMap;

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};
use prost_types::{Any, Duration, Timestamp};

/// `arrow.flight.protocol.HandshakeRequest` and `HandshakeResponse`, which are alike.
#[derive(Clone, PartialEq, Message)]
pub struct Handshake {
    /// 0 today.
    #[prost(uint64, tag = "1")]
    pub protocol_version: u64,
    /// What the two sides agree on.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: Bytes,
}

/// `arrow.flight.protocol.BasicAuth`
#[derive(Clone, PartialEq, Message)]
pub struct BasicAuth {
    /// The user.
    #[prost(string, tag = "2")]
    pub username: String,
    /// The password.
    #[prost(string, tag = "3")]
    pub password: String,
}

/// `arrow.flight.protocol.Criteria`
#[derive(Clone, PartialEq, Message)]
pub struct Criteria {
    /// What is looked for; empty for all.
    #[prost(bytes = "bytes", tag = "1")]
    pub expression: Bytes,
}

/// `arrow.flight.protocol.FlightDescriptor`
#[derive(Clone, PartialEq, Message)]
pub struct FlightDescriptor {
    /// 1 for a path, 2 for a command.
    #[prost(int32, tag = "1")]
    pub r#type: i32,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub cmd: Bytes,
    /// A path.
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
}

/// The type of a descriptor that holds a path.
pub const DESCRIPTOR_PATH: i32 = 1;
/// The type of a descriptor that holds a command.
pub const DESCRIPTOR_COMMAND: i32 = 2;

impl FlightDescriptor {
    /// A descriptor with a command.
    #[must_use]
    pub fn command(cmd: Bytes) -> Self {
        Self { r#type: DESCRIPTOR_COMMAND, cmd, path: Vec::new() }
    }
}

/// `arrow.flight.protocol.Ticket`
#[derive(Clone, PartialEq, Message)]
pub struct Ticket {
    /// What the server made of it.
    #[prost(bytes = "bytes", tag = "1")]
    pub ticket: Bytes,
}

/// `arrow.flight.protocol.Location`
#[derive(Clone, PartialEq, Message)]
pub struct Location {
    /// Where.
    #[prost(string, tag = "1")]
    pub uri: String,
}

/// `arrow.flight.protocol.FlightEndpoint`; without a location it means the same service.
#[derive(Clone, PartialEq, Message)]
pub struct FlightEndpoint {
    /// What to ask for there.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<Ticket>,
    /// Where.
    #[prost(message, repeated, tag = "2")]
    pub location: Vec<Location>,
    /// Until when.
    #[prost(message, optional, tag = "3")]
    pub expiration_time: Option<Timestamp>,
    /// The application's own words.
    #[prost(bytes = "bytes", tag = "4")]
    pub app_metadata: Bytes,
}

/// `arrow.flight.protocol.FlightInfo`
#[derive(Clone, PartialEq, Message)]
pub struct FlightInfo {
    /// The schema, as an encapsulated IPC message.
    #[prost(bytes = "bytes", tag = "1")]
    pub schema: Bytes,
    /// What was asked.
    #[prost(message, optional, tag = "2")]
    pub flight_descriptor: Option<FlightDescriptor>,
    /// Where to get it.
    #[prost(message, repeated, tag = "3")]
    pub endpoint: Vec<FlightEndpoint>,
    /// -1 for unknown.
    #[prost(int64, tag = "4")]
    pub total_records: i64,
    /// -1 for unknown.
    #[prost(int64, tag = "5")]
    pub total_bytes: i64,
    /// The endpoints' data is in order.
    #[prost(bool, tag = "6")]
    pub ordered: bool,
    /// The application's own words.
    #[prost(bytes = "bytes", tag = "7")]
    pub app_metadata: Bytes,
}

/// `arrow.flight.protocol.PollInfo`
#[derive(Clone, PartialEq, Message)]
pub struct PollInfo {
    /// What is there so far.
    #[prost(message, optional, tag = "1")]
    pub info: Option<FlightInfo>,
    /// What to poll with next; none once it is over.
    #[prost(message, optional, tag = "2")]
    pub flight_descriptor: Option<FlightDescriptor>,
    /// From 0 to 1.
    #[prost(double, optional, tag = "3")]
    pub progress: Option<f64>,
    /// Until when the descriptor counts.
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
    /// Its name.
    #[prost(string, tag = "1")]
    pub r#type: String,
    /// What it does.
    #[prost(string, tag = "2")]
    pub description: String,
}

/// `arrow.flight.protocol.Action`
#[derive(Clone, PartialEq, Message)]
pub struct Action {
    /// Its name.
    #[prost(string, tag = "1")]
    pub r#type: String,
    /// What it is about.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// `arrow.flight.protocol.Result`
#[derive(Clone, PartialEq, Message)]
pub struct ActionResult {
    /// What came of it.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: Bytes,
}

/// `arrow.flight.protocol.PutResult`
#[derive(Clone, PartialEq, Message)]
pub struct PutResult {
    /// What came of it.
    #[prost(bytes = "bytes", tag = "1")]
    pub app_metadata: Bytes,
}

/// `arrow.flight.protocol.FlightData`
#[derive(Clone, PartialEq, Message)]
pub struct FlightData {
    /// On the first message of a stream that needs one.
    #[prost(message, optional, tag = "1")]
    pub flight_descriptor: Option<FlightDescriptor>,
    /// An IPC message without its body.
    #[prost(bytes = "bytes", tag = "2")]
    pub data_header: Bytes,
    /// The application's own words.
    #[prost(bytes = "bytes", tag = "3")]
    pub app_metadata: Bytes,
    /// The body of the IPC message.
    #[prost(bytes = "bytes", tag = "1000")]
    pub data_body: Bytes,
}

/// `arrow.flight.protocol.CancelFlightInfoRequest`
#[derive(Clone, PartialEq, Message)]
pub struct CancelFlightInfoRequest {
    /// What is to be cancelled.
    #[prost(message, optional, tag = "1")]
    pub info: Option<FlightInfo>,
}

/// `arrow.flight.protocol.CancelStatus`
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum CancelStatus {
    /// Not known.
    Unspecified = 0,
    /// Done.
    Cancelled = 1,
    /// Under way.
    Cancelling = 2,
    /// It cannot be.
    NotCancellable = 3,
}

/// `arrow.flight.protocol.CancelFlightInfoResult`
#[derive(Clone, PartialEq, Message)]
pub struct CancelFlightInfoResult {
    /// What came of it.
    #[prost(enumeration = "CancelStatus", tag = "1")]
    pub status: i32,
}

/// `arrow.flight.protocol.RenewFlightEndpointRequest`
#[derive(Clone, PartialEq, Message)]
pub struct RenewFlightEndpointRequest {
    /// What is to be kept for longer.
    #[prost(message, optional, tag = "1")]
    pub endpoint: Option<FlightEndpoint>,
}

/// `arrow.flight.protocol.SessionOptionValue`
#[derive(Clone, PartialEq, Message)]
pub struct SessionOptionValue {
    /// The value; none to unset it.
    #[prost(oneof = "OptionValue", tags = "1, 2, 3, 4, 5")]
    pub option_value: Option<OptionValue>,
}

/// The kinds of values.
#[derive(Clone, PartialEq, Oneof)]
pub enum OptionValue {
    /// A text.
    #[prost(string, tag = "1")]
    String(String),
    /// True or false.
    #[prost(bool, tag = "2")]
    Bool(bool),
    /// A whole number.
    #[prost(sfixed64, tag = "3")]
    Int64(i64),
    /// A number.
    #[prost(double, tag = "4")]
    Double(f64),
    /// Texts.
    #[prost(message, tag = "5")]
    StringList(StringListValue),
}

/// `arrow.flight.protocol.SessionOptionValue.StringListValue`
#[derive(Clone, PartialEq, Message)]
pub struct StringListValue {
    /// The texts.
    #[prost(string, repeated, tag = "1")]
    pub values: Vec<String>,
}

/// `arrow.flight.protocol.SetSessionOptionsRequest` and `GetSessionOptionsResult`, which are alike.
#[derive(Clone, PartialEq, Message)]
pub struct SessionOptions {
    /// The options by name.
    #[prost(map = "string, message", tag = "1")]
    pub session_options: HashMap<String, SessionOptionValue>,
}

/// `arrow.flight.protocol.SetSessionOptionsResult.Error`
#[derive(Clone, PartialEq, Message)]
pub struct SessionError {
    /// 1: no such option; 2: no such value; 3: it could not be set.
    #[prost(int32, tag = "1")]
    pub value: i32,
}

/// `arrow.flight.protocol.SetSessionOptionsResult`
#[derive(Clone, PartialEq, Message)]
pub struct SetSessionOptionsResult {
    /// What was not set, by name.
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
    /// The service; empty for the whole server.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// `grpc.health.v1.HealthCheckResponse`
#[derive(Clone, PartialEq, Message)]
pub struct HealthCheckResponse {
    /// 1: serving; 2: not serving; 3: no such service (of `Watch` alone).
    #[prost(int32, tag = "1")]
    pub status: i32,
}

/// `google.rpc.RetryInfo`
#[derive(Clone, PartialEq, Message)]
pub struct RetryInfo {
    /// How long to wait.
    #[prost(message, optional, tag = "1")]
    pub retry_delay: Option<Duration>,
}

/// `google.rpc.ErrorInfo`
#[derive(Clone, PartialEq, Message)]
pub struct ErrorInfo {
    /// A constant that programs can compare.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Whose constants these are.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// More.
    #[prost(map = "string, string", tag = "3")]
    pub metadata: HashMap<String, String>,
}

/// `google.rpc.Status`
#[derive(Clone, PartialEq, Message)]
pub struct RpcStatus {
    /// The number of the status.
    #[prost(int32, tag = "1")]
    pub code: i32,
    /// Words for people.
    #[prost(string, tag = "2")]
    pub message: String,
    /// Details for programs.
    #[prost(message, repeated, tag = "3")]
    pub details: Vec<Any>,
}
