//! gRPC over HTTP/2 as far as Flight needs it: message framing and compression, time-outs, statuses.

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

/// Where the methods of Flight live.
pub const FLIGHT_SERVICE_PATH: &str = "/arrow.flight.protocol.FlightService/";
/// Where health is asked for.
pub const HEALTH_SERVICE_PATH: &str = "/grpc.health.v1.Health/";
/// The content type of gRPC.
pub const CONTENT_TYPE: &str = "application/grpc";

/// The statuses of gRPC, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Code {
    /// Done.
    Ok = 0,
    /// The call was cancelled.
    Cancelled = 1,
    /// The request makes no sense.
    InvalidArgument = 3,
    /// The time ran out.
    DeadlineExceeded = 4,
    /// What is asked for is not, or no longer, known.
    NotFound = 5,
    /// It is known under this name, as something else.
    AlreadyExists = 6,
    /// The user may not.
    PermissionDenied = 7,
    /// Refused, though other work for it may have run.
    ResourceExhausted = 8,
    /// It may have been done before, and is not done again.
    FailedPrecondition = 9,
    /// It was given up.
    Aborted = 10,
    /// There is no such method here, or no such encoding.
    Unimplemented = 12,
    /// It failed, and may have had an effect.
    Internal = 13,
    /// Refused before anything was done.
    Unavailable = 14,
    /// Who asks is not known.
    Unauthenticated = 16,
}

/// Whose reasons the details of a status name.
pub const ERROR_DOMAIN: &str = "mallowgauge";
/// The reason with which a host says that it turned a part away unseen.
pub const REASON_LATER: &str = "LATER";

/// A final status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its number.
    pub code: Code,
    /// Words for people.
    pub message: Cow<'static, str>,
    /// A constant for programs.
    pub reason: Option<&'static str>,
    /// When to come back.
    pub retry_after: Option<Micros>,
}

impl Status {
    /// A status without advice.
    #[must_use]
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into(), reason: None, retry_after: None }
    }

    /// The same with a reason for programs.
    #[must_use]
    pub fn with_reason(self, reason: &'static str) -> Self {
        Self { reason: Some(reason), ..self }
    }

    /// The same with advice when to come back.
    #[must_use]
    pub fn with_retry_after(self, after: Micros) -> Self {
        Self { retry_after: Some(after), ..self }
    }

    /// Writes it as trailers.
    #[must_use]
    pub fn trailers(&self) -> HeaderMap {
        let mut map = HeaderMap::new();
        map.insert("grpc-status", HeaderValue::from(self.code as u32));
        if self.code == Code::Ok {
            return map;
        }
        if let Ok(value) = HeaderValue::from_str(&percent(&self.message)) {
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

/// The words of a status as a header line: what is not printable is escaped.
fn percent(words: &str) -> String {
    let plain = |b: &u8| (0x20..=0x7e).contains(b) && *b != b'%';
    let escape = |b: &u8| if plain(b) { char::from(*b).to_string() } else { format!("%{b:02X}") };
    words.as_bytes().iter().map(escape).collect()
}

/// The details of a status: the reason, if it is one of ours, and the advice when to come back.
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

/// The number of a status in headers or trailers.
#[must_use]
pub fn status_code(map: &HeaderMap) -> Option<u32> {
    map.get("grpc-status")?.to_str().ok()?.parse().ok()
}

/// Reads a `grpc-timeout`.
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

/// Writes a `grpc-timeout`; at most eight digits are allowed.
#[must_use]
pub fn format_timeout(wait: Micros) -> String {
    if wait < 100_000_000 {
        format!("{wait}u")
    } else {
        format!("{}S", (wait / 1_000_000).min(99_999_999))
    }
}

/// How messages are compressed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Encoding {
    /// Not at all.
    #[default]
    Identity,
    /// By gzip.
    Gzip,
}

/// What is said to be understood.
pub const ACCEPTED_ENCODINGS: &str = "identity,gzip";

impl Encoding {
    /// The encoding of that name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "identity" => Some(Self::Identity),
            "gzip" => Some(Self::Gzip),
            _ => None,
        }
    }
}

/// Messages shorter than this are not worth compressing.
const MIN_COMPRESSED_BYTES: usize = 512;

/// The five bytes in front of a message.
fn head(compressed: bool, length: usize) -> [u8; 5] {
    let length = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
    [u8::from(compressed), length[0], length[1], length[2], length[3]]
}

/// Puts a message into gRPC's frame.
#[must_use]
pub fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut out = Vec::with_capacity(5 + length);
    out.extend_from_slice(&head(false, length));
    // A vector takes all that is put into it.
    let done = message.encode(&mut out);
    debug_assert!(done.is_ok());
    out
}

/// Puts a message that lies in pieces into gRPC's frame; the pieces are not copied unless they are
/// compressed.
#[must_use]
pub fn frame_pieces(pieces: Vec<Bytes>, encoding: Encoding) -> Vec<Bytes> {
    frame_with_reserved_prefix(vec![0; 5], pieces, encoding)
}

/// Pieces shorter than this are put together with the one before.
const SHORT: usize = 4096;

/// The same for a message whose first piece has room for the frame's five bytes in front.
#[must_use]
pub fn frame_with_reserved_prefix(mut first: Vec<u8>, rest: Vec<Bytes>, encoding: Encoding) -> Vec<Bytes> {
    let length = first.len() - 5 + rest.iter().map(Bytes::len).sum::<usize>();
    if encoding == Encoding::Gzip && length >= MIN_COMPRESSED_BYTES {
        // The frame's length is known only afterwards.
        let mut gzip = GzEncoder::new(vec![0; 5], Compression::fast());
        let written = gzip.write_all(&first[5..]);
        let written = written.and_then(|()| rest.iter().try_for_each(|piece| gzip.write_all(piece)));
        if let (Ok(()), Ok(mut packed)) = (written, gzip.finish()) {
            let size = packed.len() - 5;
            packed[..5].copy_from_slice(&head(true, size));
            return vec![packed.into()];
        }
    }
    first[..5].copy_from_slice(&head(false, length));
    let mut out = Vec::with_capacity(1 + rest.len());
    for piece in rest {
        if piece.len() < SHORT && out.is_empty() {
            first.extend_from_slice(&piece);
        } else {
            out.push(piece);
        }
    }
    out.insert(0, first.into());
    out
}

/// Why what has come is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than is taken, as it stands or inflated.
    TooLong,
    /// Compressed, though that was not said, or with a flag that means nothing.
    CompressionFlag,
    /// It cannot be inflated.
    Corrupt,
}

impl FrameError {
    /// The status that a client is given for it.
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

/// Takes messages out of gRPC's frames.
#[derive(Debug)]
pub struct Deframer {
    held: BytesMut,
    most: usize,
    encoding: Encoding,
}

impl Deframer {
    /// For messages of at most `most` bytes, once they are inflated.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { held: BytesMut::new(), most, encoding: Encoding::Identity }
    }

    /// For messages that may be compressed in this way.
    #[must_use]
    pub fn with_encoding(self, encoding: Encoding) -> Self {
        Self { encoding, ..self }
    }

    /// Adds what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        if let Some(length) = self.length().filter(|&length| length <= self.most) {
            // The whole message in one piece, so that it need not be moved again.
            self.held.reserve((5 + length).saturating_sub(self.held.len()).max(bytes.len()));
        }
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

    fn length(&self) -> Option<usize> {
        let head = self.held.first_chunk::<5>()?;
        Some(u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize)
    }

    /// The next whole message.
    ///
    /// # Errors
    /// What has come is none, which shows as soon as its first bytes are there.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(length) = self.length() else { return Ok(None) };
        let compressed = match self.held[0] {
            0 => false,
            1 if self.encoding == Encoding::Gzip => true,
            _ => return Err(FrameError::CompressionFlag),
        };
        if length > self.most {
            return Err(FrameError::TooLong);
        }
        if self.held.len() < 5 + length {
            return Ok(None);
        }
        let message = self.held.split_to(5 + length).freeze().slice(5..);
        if self.held.is_empty() {
            // What was taken keeps the memory; a rest of it is not kept as well.
            self.held = BytesMut::new();
        }
        if compressed {
            return inflate(&message, self.most).map(Some);
        }
        Ok(Some(message))
    }
}

/// Inflates a message up to a bound: what claims to be small and is not ends there.
fn inflate(message: &[u8], most: usize) -> Result<Bytes, FrameError> {
    let mut out = Vec::new();
    let mut gzip = GzDecoder::new(message).take(most as u64 + 1);
    gzip.read_to_end(&mut out).map_err(|_| FrameError::Corrupt)?;
    if out.len() > most {
        return Err(FrameError::TooLong);
    }
    Ok(out.into())
}
