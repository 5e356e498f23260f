//! gRPC over HTTP/2 as far as Flight needs it: message framing, time-outs, statuses, and the messages.

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use prost::Message;

use mallowgauge_router::Micros;

/// Where the methods of Flight live.
pub const SERVICE: &str = "/arrow.flight.protocol.FlightService/";
/// The content type of gRPC.
pub const CONTENT_TYPE: &str = "application/grpc";

/// The statuses that are used here, by their numbers in gRPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Code {
    /// Done.
    Ok = 0,
    /// The request makes no sense.
    InvalidArgument = 3,
    /// The time ran out.
    DeadlineExceeded = 4,
    /// Refused, though other work for it may have run.
    ResourceExhausted = 8,
    /// There is no such method here.
    Unimplemented = 12,
    /// It failed, and may have had an effect.
    Internal = 13,
    /// Refused before anything was done.
    Unavailable = 14,
}

/// A final status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its number.
    pub code: Code,
    /// Words for people.
    pub words: &'static str,
    /// When to come back.
    pub retry_after: Option<Micros>,
}

impl Status {
    /// A status without advice.
    #[must_use]
    pub fn new(code: Code, words: &'static str) -> Self {
        Self { code, words, retry_after: None }
    }

    /// Writes it as trailers.
    #[must_use]
    pub fn trailers(&self) -> HeaderMap {
        let mut map = HeaderMap::new();
        map.insert("grpc-status", HeaderValue::from(self.code as u32));
        if self.code != Code::Ok {
            map.insert("grpc-message", HeaderValue::from_static(self.words));
        }
        if let Some(wait) = self.retry_after {
            let delay =
                Duration { seconds: (wait / 1_000_000) as i64, nanos: (wait % 1_000_000) as i32 * 1000 };
            let info = RetryInfo { retry_delay: Some(delay) }.encode_to_vec();
            let details = vec![Any { type_url: RETRY_INFO.to_owned(), value: info }];
            let status = RpcStatus { code: self.code as i32, message: self.words.to_owned(), details };
            let text = STANDARD_NO_PAD.encode(status.encode_to_vec());
            if let Ok(value) = HeaderValue::from_str(&text) {
                map.insert("grpc-status-details-bin", value);
            }
        }
        map
    }
}

const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";

/// The number of a status in headers or trailers.
#[must_use]
pub fn status_of(map: &HeaderMap) -> Option<u32> {
    map.get("grpc-status")?.to_str().ok()?.parse().ok()
}

/// Reads a `grpc-timeout`.
#[must_use]
pub fn read_timeout(text: &str) -> Option<Micros> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let count: Micros = digits.parse().ok()?;
    Some(match unit {
        "H" => count * 3_600_000_000,
        "M" => count * 60_000_000,
        "S" => count * 1_000_000,
        "m" => count * 1_000,
        "u" => count,
        "n" => count / 1_000,
        _ => return None,
    })
}

/// Writes a `grpc-timeout`; at most eight digits are allowed.
#[must_use]
pub fn write_timeout(wait: Micros) -> String {
    if wait < 100_000_000 {
        format!("{wait}u")
    } else {
        format!("{}S", (wait / 1_000_000).min(99_999_999))
    }
}

/// Puts a message into gRPC's frame.
#[must_use]
pub fn frame(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let mut out = vec![0];
    out.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

/// Takes messages out of gRPC's frames.
#[derive(Debug)]
pub struct Deframer {
    held: Vec<u8>,
    most: usize,
}

impl Deframer {
    /// For messages of at most `most` bytes.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { held: Vec::new(), most }
    }

    /// Adds what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// How much is held that is no whole message yet, or has not been taken.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is left over.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The next whole message.
    ///
    /// # Errors
    /// It is compressed, which was not agreed on, or too long.
    pub fn take(&mut self) -> Result<Option<Bytes>, &'static str> {
        let Some(head) = self.held.first_chunk::<5>() else { return Ok(None) };
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if head[0] != 0 {
            return Err("a compressed message");
        }
        if length > self.most {
            return Err("a message that is too long");
        }
        if self.held.len() < 5 + length {
            return Ok(None);
        }
        let rest = self.held.split_off(5 + length);
        let whole = std::mem::replace(&mut self.held, rest);
        Ok(Some(Bytes::from(whole).slice(5..)))
    }
}

/// `arrow.flight.protocol.FlightDescriptor`
#[derive(Clone, PartialEq, Message)]
pub struct FlightDescriptor {
    /// 2 for a command.
    #[prost(int32, tag = "1")]
    pub r#type: i32,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub cmd: Bytes,
    /// A path, which is not used here.
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
}

/// The type of a descriptor that holds a command.
pub const COMMAND: i32 = 2;

/// `arrow.flight.protocol.Ticket`
#[derive(Clone, PartialEq, Message)]
pub struct Ticket {
    /// What the server made of it.
    #[prost(bytes = "bytes", tag = "1")]
    pub ticket: Bytes,
}

/// `arrow.flight.protocol.FlightEndpoint`; without a location it means the same service.
#[derive(Clone, PartialEq, Message)]
pub struct FlightEndpoint {
    /// What to ask for there.
    #[prost(message, optional, tag = "1")]
    pub ticket: Option<Ticket>,
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
}

/// `arrow.flight.protocol.FlightData`
#[derive(Clone, PartialEq, Message)]
pub struct FlightData {
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

#[derive(Clone, PartialEq, Message)]
struct Duration {
    #[prost(int64, tag = "1")]
    seconds: i64,
    #[prost(int32, tag = "2")]
    nanos: i32,
}

#[derive(Clone, PartialEq, Message)]
struct RetryInfo {
    #[prost(message, optional, tag = "1")]
    retry_delay: Option<Duration>,
}

#[derive(Clone, PartialEq, Message)]
struct Any {
    #[prost(string, tag = "1")]
    type_url: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct RpcStatus {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<Any>,
}
