//! The parts of gRPC over HTTP/2 that Flight needs: message framing and compression, timeouts and statuses.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::{Read, Write};

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use bytes::{Bytes, BytesMut};
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use http::{HeaderMap, HeaderValue};
use mallowgauge_router::Micros;
use prost::Message;
use prost_types::Any;

use crate::proto::{ErrorInfo, RetryInfo, RpcStatus};

/// The path prefix of the Flight service's methods.
pub const FLIGHT_SERVICE_PATH: &str = "/arrow.flight.protocol.FlightService/";
/// The path prefix of the health service's methods.
pub const HEALTH_SERVICE_PATH: &str = "/grpc.health.v1.Health/";
/// The content type of gRPC requests and responses.
pub const CONTENT_TYPE: &str = "application/grpc";

/// The gRPC status codes that this program uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Code {
    /// Success.
    Ok = 0,
    /// The call was cancelled.
    Cancelled = 1,
    /// The request is invalid.
    InvalidArgument = 3,
    /// The deadline expired.
    DeadlineExceeded = 4,
    /// The requested item does not exist or is no longer kept.
    NotFound = 5,
    /// The id or tag is already in use for another query.
    AlreadyExists = 6,
    /// The user is not allowed to do this.
    PermissionDenied = 7,
    /// Rejected, but possibly executed in part.
    ResourceExhausted = 8,
    /// Possibly executed before, and therefore not executed again.
    FailedPrecondition = 9,
    /// The call was aborted.
    Aborted = 10,
    /// The method or the message encoding is not supported.
    Unimplemented = 12,
    /// Failed, possibly executed.
    Internal = 13,
    /// Rejected, not executed.
    Unavailable = 14,
    /// The client is not authenticated.
    Unauthenticated = 16,
}

/// The domain of the reasons in error details.
pub const ERROR_DOMAIN: &str = "mallowgauge";
/// The reason with which a backend reports that it rejected a part without executing it.
pub const REASON_LATER: &str = "LATER";

/// The final status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The status code.
    pub code: Code,
    /// The message for people.
    pub message: Cow<'static, str>,
    /// The machine-readable reason.
    pub reason: Option<&'static str>,
    /// The delay after which the client should retry.
    pub retry_after: Option<Micros>,
}

impl Status {
    /// Creates a status without a reason or a retry delay.
    #[must_use]
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into(), reason: None, retry_after: None }
    }

    /// Sets the machine-readable reason.
    #[must_use]
    pub fn with_reason(self, reason: &'static str) -> Self {
        Self { reason: Some(reason), ..self }
    }

    /// Sets the delay after which the client should retry.
    #[must_use]
    pub fn with_retry_after(self, delay: Micros) -> Self {
        Self { retry_after: Some(delay), ..self }
    }

    /// Encodes the status as HTTP/2 trailers.
    #[must_use]
    pub fn trailers(&self) -> HeaderMap {
        let mut map = HeaderMap::new();
        map.insert("grpc-status", HeaderValue::from(self.code as u32));
        if self.code == Code::Ok {
            return map;
        }
        if let Ok(value) = HeaderValue::from_str(&percent_encode(&self.message)) {
            map.insert("grpc-message", value);
        }
        let mut details = Vec::new();
        if let Some(wait) = self.retry_after {
            let (seconds, nanos) = ((wait / 1_000_000) as i64, (wait % 1_000_000) as i32 * 1000);
            let info = RetryInfo { retry_delay: Some(prost_types::Duration { seconds, nanos }) };
            details.push(Any { type_url: RETRY_INFO.to_owned(), value: info.encode_to_vec() });
        }
        if let Some(reason) = self.reason {
            let (reason, domain) = (reason.to_owned(), ERROR_DOMAIN.to_owned());
            let info = ErrorInfo { reason, domain, metadata: HashMap::new() };
            details.push(Any { type_url: ERROR_INFO.to_owned(), value: info.encode_to_vec() });
        }
        if !details.is_empty() {
            let status = RpcStatus { code: self.code as i32, message: self.message.to_string(), details };
            if let Ok(value) = HeaderValue::from_str(&STANDARD_NO_PAD.encode(status.encode_to_vec())) {
                map.insert("grpc-status-details-bin", value);
            }
        }
        map
    }
}

const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";
const ERROR_INFO: &str = "type.googleapis.com/google.rpc.ErrorInfo";

/// Percent-encodes a status message for the `grpc-message` header.
fn percent_encode(message: &str) -> String {
    let is_unescaped = |b: &u8| (0x20..=0x7e).contains(b) && *b != b'%';
    let escape = |b: &u8| if is_unescaped(b) { char::from(*b).to_string() } else { format!("%{b:02X}") };
    message.as_bytes().iter().map(escape).collect()
}

/// Decodes the error details of a status: the reason, if its domain is [`ERROR_DOMAIN`], and the retry delay.
#[must_use]
pub fn error_details(map: &HeaderMap) -> (Option<String>, Option<Micros>) {
    let text = map.get("grpc-status-details-bin").and_then(|value| value.to_str().ok());
    let bytes = text.and_then(|text| STANDARD_NO_PAD.decode(text.trim_end_matches('=')).ok());
    let status = bytes.and_then(|bytes| RpcStatus::decode(bytes.as_slice()).ok()).unwrap_or_default();
    let find = |url: &str| status.details.iter().find(|any| any.type_url == url);
    let reason = find(ERROR_INFO).and_then(|any| ErrorInfo::decode(any.value.as_slice()).ok());
    let retry = find(RETRY_INFO).and_then(|any| RetryInfo::decode(any.value.as_slice()).ok()?.retry_delay);
    let wait = |d: prost_types::Duration| d.seconds.max(0) as u64 * 1_000_000 + d.nanos.max(0) as u64 / 1000;
    (reason.filter(|info| info.domain == ERROR_DOMAIN).map(|info| info.reason), retry.map(wait))
}

/// Returns the status code in headers or trailers.
#[must_use]
pub fn status_code(map: &HeaderMap) -> Option<u32> {
    map.get("grpc-status")?.to_str().ok()?.parse().ok()
}

/// Parses a `grpc-timeout` header. Returns `None` if it is invalid.
#[must_use]
pub fn parse_timeout(text: &str) -> Option<Micros> {
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

/// Formats a `grpc-timeout` header, which may have at most eight digits.
#[must_use]
pub fn format_timeout(timeout: Micros) -> String {
    if timeout < 100_000_000 {
        format!("{timeout}u")
    } else {
        format!("{}S", (timeout / 1_000_000).min(99_999_999))
    }
}

/// The compression of gRPC messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Encoding {
    /// No compression.
    #[default]
    Identity,
    /// gzip.
    Gzip,
}

/// The value of `grpc-accept-encoding`.
pub const ACCEPTED_ENCODINGS: &str = "identity,gzip";

impl Encoding {
    /// Returns the encoding with this name in `grpc-encoding`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "identity" => Some(Self::Identity),
            "gzip" => Some(Self::Gzip),
            _ => None,
        }
    }
}

/// The minimum size of a message to compress, in bytes; for shorter ones compression is not worth its cost.
const MIN_COMPRESSED_BYTES: usize = 512;

/// The length of the prefix before each message: a compression flag and the message's length.
pub(crate) const PREFIX_BYTES: usize = 5;

/// Encodes the prefix of a message.
fn prefix(compressed: bool, length: usize) -> [u8; PREFIX_BYTES] {
    let length = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
    [u8::from(compressed), length[0], length[1], length[2], length[3]]
}

/// Encodes a message with its gRPC prefix.
#[must_use]
pub fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut out = Vec::with_capacity(PREFIX_BYTES + length);
    out.extend_from_slice(&prefix(false, length));
    // Encoding into a vector cannot fail, since its capacity grows.
    let result = message.encode(&mut out);
    debug_assert!(result.is_ok());
    out
}

/// Adds the gRPC prefix to a message that consists of several pieces. The pieces are not copied, except for
/// short leading ones and for compression.
#[must_use]
pub fn frame_pieces(pieces: Vec<Bytes>, encoding: Encoding) -> Vec<Bytes> {
    frame_with_reserved_prefix(vec![0; PREFIX_BYTES], pieces, encoding)
}

/// Leading pieces shorter than this, in bytes, are copied into the piece that holds the prefix.
const MAX_COPIED_BYTES: usize = 4096;

/// Adds the gRPC prefix to a message whose first piece starts with five reserved bytes for it.
#[must_use]
pub fn frame_with_reserved_prefix(mut first: Vec<u8>, rest: Vec<Bytes>, encoding: Encoding) -> Vec<Bytes> {
    let length = first.len() - PREFIX_BYTES + rest.iter().map(Bytes::len).sum::<usize>();
    if encoding == Encoding::Gzip && length >= MIN_COMPRESSED_BYTES {
        // The prefix is filled in once the compressed length is known.
        let mut gzip = GzEncoder::new(vec![0; PREFIX_BYTES], Compression::fast());
        let written = gzip.write_all(&first[PREFIX_BYTES..]);
        let written = written.and_then(|()| rest.iter().try_for_each(|piece| gzip.write_all(piece)));
        if let (Ok(()), Ok(mut packed)) = (written, gzip.finish()) {
            let size = packed.len() - PREFIX_BYTES;
            packed[..PREFIX_BYTES].copy_from_slice(&prefix(true, size));
            return vec![packed.into()];
        }
    }
    first[..PREFIX_BYTES].copy_from_slice(&prefix(false, length));
    let mut out = Vec::with_capacity(1 + rest.len());
    for piece in rest {
        if piece.len() < MAX_COPIED_BYTES && out.is_empty() {
            first.extend_from_slice(&piece);
        } else {
            out.push(piece);
        }
    }
    out.insert(0, first.into());
    out
}

/// The reason why received bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The message exceeds the size limit, as received or decompressed.
    TooLong,
    /// The compression flag is set without `grpc-encoding`, or is not a valid flag.
    CompressionFlag,
    /// The message cannot be decompressed.
    Corrupt,
}

impl FrameError {
    /// Returns the status that is sent to the client.
    #[must_use]
    pub fn status(self) -> Status {
        match self {
            FrameError::TooLong => Status::new(Code::ResourceExhausted, "the message is too long")
                .with_reason("MESSAGE_TOO_LONG"),
            FrameError::CompressionFlag => {
                Status::new(Code::Internal, "a compressed message without grpc-encoding")
            }
            FrameError::Corrupt => {
                Status::new(Code::Internal, "a compressed message that cannot be inflated")
            }
        }
    }
}

/// Extracts messages from a stream of gRPC frames.
#[derive(Debug)]
pub struct Deframer {
    buffer: BytesMut,
    max_message_bytes: usize,
    encoding: Encoding,
}

impl Deframer {
    /// Creates a deframer for messages of at most `max_message_bytes` bytes, as received and decompressed.
    #[must_use]
    pub fn new(max_message_bytes: usize) -> Self {
        Self { buffer: BytesMut::new(), max_message_bytes, encoding: Encoding::Identity }
    }

    /// Sets the encoding that compressed messages use.
    #[must_use]
    pub fn with_encoding(self, encoding: Encoding) -> Self {
        Self { encoding, ..self }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if let Some(length) = self.length().filter(|&length| length <= self.max_message_bytes) {
            // Reserves space for the whole message, so that the buffer is not reallocated for each chunk.
            self.buffer.reserve((PREFIX_BYTES + length).saturating_sub(self.buffer.len()).max(bytes.len()));
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that were not returned as messages.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the length of the next message, as its prefix states it.
    fn length(&self) -> Option<usize> {
        let prefix = self.buffer.first_chunk::<PREFIX_BYTES>()?;
        Some(u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]) as usize)
    }

    /// Removes and returns the next complete message, decompressed; `None` if more bytes are needed.
    ///
    /// # Errors
    /// The message is invalid or too long. An invalid prefix is reported as soon as it is received.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(length) = self.length() else { return Ok(None) };
        let compressed = match self.buffer[0] {
            0 => false,
            1 if self.encoding == Encoding::Gzip => true,
            _ => return Err(FrameError::CompressionFlag),
        };
        if length > self.max_message_bytes {
            return Err(FrameError::TooLong);
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        let message = self.buffer.split_to(PREFIX_BYTES + length).freeze().slice(PREFIX_BYTES..);
        if self.buffer.is_empty() {
            // The returned message owns the allocation; the empty buffer does not keep a reference to it.
            self.buffer = BytesMut::new();
        }
        if compressed {
            return inflate(&message, self.max_message_bytes).map(Some);
        }
        Ok(Some(message))
    }
}

/// Decompresses a message. Stops at the size limit, which guards against decompression bombs.
fn inflate(message: &[u8], max_bytes: usize) -> Result<Bytes, FrameError> {
    let mut out = Vec::new();
    let mut gzip = GzDecoder::new(message).take(max_bytes as u64 + 1);
    gzip.read_to_end(&mut out).map_err(|_| FrameError::Corrupt)?;
    if out.len() > max_bytes {
        return Err(FrameError::TooLong);
    }
    Ok(out.into())
}
