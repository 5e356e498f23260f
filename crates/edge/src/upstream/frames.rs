//! Encoding and decoding of the platform's frames between an instance and a backend.
//!
//! A frame is a length of four bytes in big-endian order, one byte for its kind, and a payload that depends on the
//! kind. The length counts the kind and the payload. This table lists the kinds; no other code uses
//! these bytes:
//!
//! | kind | direction | meaning |
//! | --- | --- | --- |
//! | `m` | to the backend | call: parts to execute |
//! | `n` | to the backend | cancellation of a part |
//! | `o` | both | health check, and its response: `good` or `bad` |
//! | `q` | from the backend | response to a part: `good`, `bad` or `later` (rejected) |
//! | `r` | from the backend | a frame was invalid; the backend is about to close the connection |

use std::fmt::Write;

use mallowgauge_core::AttemptRequest;
use mallowgauge_router::{Micros, Outcome};

const CALL: u8 = b'm';
const CANCEL: u8 = b'n';
const HEALTH_CHECK: u8 = b'o';
const PART_ENDED: u8 = b'q';
const FRAME_REJECTED: u8 = b'r';

/// Largest frame that a backend may send, in bytes: a value has to fit into a body of 64 KiB.
pub const MAX_FRAME_BYTES: usize = 65 * 1024;
/// Number of bytes that show whether a frame begins: its length and its kind.
pub const HEAD_BYTES: usize = LENGTH_BYTES + 1;
const LENGTH_BYTES: usize = 4;
/// Longest header line of a response, in bytes.
const MAX_HEADER_LINE_BYTES: usize = 1024;
/// Length to which a backend's reason for closing is truncated in the log, in bytes.
const MAX_REASON_BYTES: usize = 200;
/// Length of the longest response to a health check, `good`, in bytes.
const MAX_HEALTH_BYTES: usize = 4;

/// Why a frame cannot be decoded. The messages are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is zero, or more than [`MAX_FRAME_BYTES`].
    #[error("frame length is zero or exceeds the limit")]
    Length,
    /// The kind is none that a backend sends.
    #[error("unknown frame kind")]
    UnknownKind,
    /// A response to a health check that is longer than any valid one.
    #[error("health check response is too long")]
    HealthTooLong,
    /// A response to a health check that is neither `good` nor `bad`.
    #[error("health check response has an unknown status")]
    UnknownHealth,
    /// A response whose header line has no end, or is too long.
    #[error("response header line is unterminated or too long")]
    UnterminatedLine,
    /// A response whose header line lacks a field, or has one that is malformed.
    #[error("response header line is malformed")]
    MalformedLine,
    /// A response whose outcome is none of `good`, `bad` and `later`.
    #[error("response has an unknown outcome")]
    UnknownOutcome,
    /// A value that is not UTF-8.
    #[error("value is not valid UTF-8")]
    ValueNotUtf8,
}

fn frame(kind: u8, content: &[u8]) -> Vec<u8> {
    let length = u32::try_from(content.len() + 1).unwrap_or(u32::MAX);
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(content);
    bytes
}

/// Returns the name of an attempt's part on the wire.
#[must_use]
pub fn part_name(attempt: &AttemptRequest) -> String {
    format!("{}.{}", attempt.request_id, attempt.shard.0)
}

/// Encodes a call with these attempts and the time that each has left at `now`.
#[must_use]
pub fn call(now: Micros, attempts: &[AttemptRequest]) -> Vec<u8> {
    let mut content = Vec::new();
    for attempt in attempts {
        let mut line = part_name(attempt);
        // Rounded down to milliseconds, so that the backend does not execute the part beyond the deadline.
        let remaining_ms = (attempt.remaining(now) / 1000).max(1);
        let done = writeln!(line, " {} d={remaining_ms} {}", attempt.shard.0, attempt.body.len());
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
        content.extend_from_slice(line.as_bytes());
        content.extend_from_slice(&attempt.body);
    }
    frame(CALL, &content)
}

/// Encodes the cancellation of the part of this name.
#[must_use]
pub fn cancel(part: &str) -> Vec<u8> {
    frame(CANCEL, part.as_bytes())
}

/// Encodes a health check.
#[must_use]
pub fn health_check() -> Vec<u8> {
    frame(HEALTH_CHECK, b"")
}

/// A decoded frame from a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// The response to a part.
    PartEnded {
        /// The part's name.
        part: String,
        /// The part's outcome.
        outcome: Outcome,
        /// The part's value; meaningless unless it succeeded.
        value: String,
    },
    /// A health check passed (`true`) or failed.
    HealthChecked(bool),
    /// The backend rejected a frame for this reason and is about to close the connection.
    FrameRejected(String),
}

/// Decodes the first frame in `input`. Returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// The frame is invalid. This is reported as early as possible, before the rest of the frame is received.
pub fn read(input: &[u8]) -> Result<Option<(BackendMessage, usize)>, FrameError> {
    let Some((head, body)) = input.split_first_chunk::<LENGTH_BYTES>() else {
        return read_partial_length(input).map(|()| None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::Length);
    }
    let received = &body[..body.len().min(length)];
    let Some((&kind, content)) = received.split_first() else { return Ok(None) };
    let complete = received.len() == length;
    let message = match kind {
        PART_ENDED => read_part_ended(content, complete)?,
        HEALTH_CHECK => read_health(content, complete)?,
        FRAME_REJECTED => complete.then(|| BackendMessage::FrameRejected(printable_reason(content))),
        _ => return Err(FrameError::UnknownKind),
    };
    Ok(message.map(|message| (message, LENGTH_BYTES + length)))
}

/// Checks the first bytes of a length: the smallest length that begins with them must not exceed the limit.
fn read_partial_length(received: &[u8]) -> Result<(), FrameError> {
    let mut smallest = [0; LENGTH_BYTES];
    smallest[..received.len()].copy_from_slice(received);
    if u32::from_be_bytes(smallest) as usize > MAX_FRAME_BYTES {
        return Err(FrameError::Length);
    }
    Ok(())
}

/// Decodes an outcome.
fn parse_outcome(field: &[u8]) -> Option<Outcome> {
    match field {
        b"good" => Some(Outcome::Succeeded),
        b"bad" => Some(Outcome::BackendError),
        b"later" => Some(Outcome::Rejected),
        _ => None,
    }
}

fn read_health(content: &[u8], complete: bool) -> Result<Option<BackendMessage>, FrameError> {
    if !complete {
        return if content.len() < MAX_HEALTH_BYTES { Ok(None) } else { Err(FrameError::HealthTooLong) };
    }
    match parse_outcome(content) {
        Some(Outcome::Succeeded) => Ok(Some(BackendMessage::HealthChecked(true))),
        Some(Outcome::BackendError) => Ok(Some(BackendMessage::HealthChecked(false))),
        _ => Err(FrameError::UnknownHealth),
    }
}

/// Escapes and truncates a backend's reason for closing, so that it is one short line in the log.
fn printable_reason(content: &[u8]) -> String {
    let reason = String::from_utf8_lossy(&content[..content.len().min(MAX_HEADER_LINE_BYTES)]);
    let mut reason = reason.escape_debug().to_string();
    reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
    reason
}

/// Decodes a response to a part: a header line with the part's name, outcome, score and load report, then the value.
fn read_part_ended(content: &[u8], complete: bool) -> Result<Option<BackendMessage>, FrameError> {
    let Some(line_end) = content.iter().take(MAX_HEADER_LINE_BYTES).position(|&byte| byte == b'\n') else {
        let unterminated = complete || content.len() >= MAX_HEADER_LINE_BYTES;
        return if unterminated { Err(FrameError::UnterminatedLine) } else { Ok(None) };
    };
    let mut fields = content[..line_end].splitn(4, |&byte| byte == b' ');
    let part = fields.next().and_then(|field| std::str::from_utf8(field).ok());
    let part = part.ok_or(FrameError::MalformedLine)?;
    let outcome = fields.next().and_then(parse_outcome).ok_or(FrameError::UnknownOutcome)?;
    let score = fields.next().and_then(|field| std::str::from_utf8(field).ok());
    let has_score = score.is_some_and(|field| field.parse::<f64>().is_ok());
    // The load report is unused, so a malformed one does not invalidate the response, but it has to be present.
    if fields.next().is_none() || (outcome == Outcome::Succeeded && !has_score) {
        return Err(FrameError::MalformedLine);
    }
    if !complete {
        return Ok(None);
    }
    let value = std::str::from_utf8(&content[line_end + 1..]).map_err(|_| FrameError::ValueNotUtf8)?;
    Ok(Some(BackendMessage::PartEnded { part: part.to_owned(), outcome, value: value.to_owned() }))
}
