//! The platform's frames between an instance and a backend: what is written, and what is read.
//!
//! A frame is its length in four bytes, most significant first, one byte that says its kind, and what the kind
//! requires. This table holds the names on the wire; the code uses them nowhere else:
//!
//! | kind | direction | meaning |
//! | --- | --- | --- |
//! | `m` | to the backend | call: parts to work on |
//! | `n` | to the backend | a part is cancelled |
//! | `o` | both | health check, and its answer: `good` or `bad` |
//! | `q` | from the backend | a part has ended: `good`, `bad` or `later` (rejected) |
//! | `r` | from the backend | a frame could not be used; the connection is about to close |

use std::fmt::Write;

use mallowgauge_core::AttemptRequest;
use mallowgauge_router::{Micros, Outcome};

const CALL: u8 = b'm';
const CANCEL: u8 = b'n';
const HEALTH_CHECK: u8 = b'o';
const PART_ENDED: u8 = b'q';
const FRAME_REJECTED: u8 = b'r';

/// Longest frame that a backend may send, in bytes: a value has to fit into a body of 64 KiB.
pub const LONGEST: usize = 65 * 1024;
/// Longest first line of an answer, in bytes.
const LONGEST_LINE: usize = 1024;
/// Most of a backend's reason for closing that is logged, in bytes.
const LONGEST_REASON: usize = 200;
/// Bytes of the longer answer to a health check.
const LONGEST_HEALTH: usize = 4;

/// What is wrong with a frame; the text goes to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its length is zero, or more than [`LONGEST`].
    #[error("a frame of no use or too long")]
    Length,
    /// Its kind is none that a backend sends.
    #[error("a frame of an unknown letter")]
    UnknownKind,
    /// An answer to a health check that is longer than any.
    #[error("an answer to a probe that is too long")]
    HealthTooLong,
    /// An answer to a health check that says neither of the two words.
    #[error("an answer to a probe with an unknown end")]
    UnknownHealth,
    /// An answer whose first line does not end, or is too long.
    #[error("an answer whose line does not end")]
    EndlessLine,
    /// An answer whose first line lacks a field, or holds one of another form.
    #[error("an answer with an unreadable line")]
    MalformedLine,
    /// An answer that says none of the three words.
    #[error("an answer with an unknown end")]
    UnknownOutcome,
    /// A value that is not UTF-8.
    #[error("a value that is not text")]
    ValueNotText,
}

fn frame(kind: u8, content: &[u8]) -> Vec<u8> {
    let length = u32::try_from(content.len() + 1).unwrap_or(u32::MAX);
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(content);
    bytes
}

/// The name of an attempt's part on this wire.
#[must_use]
pub fn part_name(attempt: &AttemptRequest) -> String {
    format!("{}.{}", attempt.request_id, attempt.shard.0)
}

/// One call with these attempts, as it is written at `now`.
#[must_use]
pub fn call(now: Micros, attempts: &[AttemptRequest]) -> Vec<u8> {
    let mut content = Vec::new();
    for attempt in attempts {
        let mut line = part_name(attempt);
        // Rounded down to milliseconds: the backend has to know that nobody waits any more.
        let left = (attempt.remaining(now) / 1000).max(1);
        let done = writeln!(line, " {} d={left} {}", attempt.shard.0, attempt.body.len());
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
        content.extend_from_slice(line.as_bytes());
        content.extend_from_slice(&attempt.body);
    }
    frame(CALL, &content)
}

/// Cancels the part of this name.
#[must_use]
pub fn cancel(part: &str) -> Vec<u8> {
    frame(CANCEL, part.as_bytes())
}

/// Asks for the backend's health.
#[must_use]
pub fn health_check() -> Vec<u8> {
    frame(HEALTH_CHECK, b"")
}

/// What a backend sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// A part has ended.
    PartEnded {
        /// Its name.
        part: String,
        /// How it ended.
        outcome: Outcome,
        /// Its value; of no meaning unless it succeeded.
        value: String,
    },
    /// A health check passed, or did not.
    HealthChecked(bool),
    /// A frame could not be used, for this reason; the connection is about to close.
    FrameRejected(String),
}

/// The first complete frame in `input`, with the bytes that it takes up; `None` while there is none.
///
/// # Errors
/// What has come is no such frame. That is said as soon as it shows, before the rest of the frame has come.
pub fn read(input: &[u8]) -> Result<Option<(BackendMessage, usize)>, FrameError> {
    let Some((head, body)) = input.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > LONGEST {
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
    Ok(message.map(|message| (message, 4 + length)))
}

/// The outcome that a word of the wire stands for.
fn outcome(word: &[u8]) -> Option<Outcome> {
    match word {
        b"good" => Some(Outcome::Succeeded),
        b"bad" => Some(Outcome::BackendError),
        b"later" => Some(Outcome::Rejected),
        _ => None,
    }
}

fn read_health(content: &[u8], complete: bool) -> Result<Option<BackendMessage>, FrameError> {
    if !complete {
        return if content.len() < LONGEST_HEALTH { Ok(None) } else { Err(FrameError::HealthTooLong) };
    }
    match outcome(content) {
        Some(Outcome::Succeeded) => Ok(Some(BackendMessage::HealthChecked(true))),
        Some(Outcome::BackendError) => Ok(Some(BackendMessage::HealthChecked(false))),
        _ => Err(FrameError::UnknownHealth),
    }
}

/// A backend's reason for closing, in one line of the log.
fn printable_reason(content: &[u8]) -> String {
    let reason = String::from_utf8_lossy(&content[..content.len().min(LONGEST_LINE)]);
    let mut reason = reason.escape_debug().to_string();
    reason.truncate(reason.floor_char_boundary(LONGEST_REASON));
    reason
}

/// An answer: a line of the part's name, its outcome, a score and a load report, then the value.
fn read_part_ended(content: &[u8], complete: bool) -> Result<Option<BackendMessage>, FrameError> {
    let Some(line_end) = content.iter().take(LONGEST_LINE).position(|&byte| byte == b'\n') else {
        let endless = complete || content.len() >= LONGEST_LINE;
        return if endless { Err(FrameError::EndlessLine) } else { Ok(None) };
    };
    let mut words = content[..line_end].splitn(4, |&byte| byte == b' ');
    let part = words.next().and_then(|word| std::str::from_utf8(word).ok());
    let part = part.ok_or(FrameError::MalformedLine)?;
    let outcome = words.next().and_then(outcome).ok_or(FrameError::UnknownOutcome)?;
    let score = words.next().and_then(|word| std::str::from_utf8(word).ok());
    let has_score = score.is_some_and(|word| word.parse::<f64>().is_ok());
    // The load report is not used, so one that is malformed takes nothing from the answer; it has to be there.
    if words.next().is_none() || (outcome == Outcome::Succeeded && !has_score) {
        return Err(FrameError::MalformedLine);
    }
    if !complete {
        return Ok(None);
    }
    let value = std::str::from_utf8(&content[line_end + 1..]).map_err(|_| FrameError::ValueNotText)?;
    Ok(Some(BackendMessage::PartEnded { part: part.to_owned(), outcome, value: value.to_owned() }))
}
