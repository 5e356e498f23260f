//! The platform's frames to hosts: `m n o p q r`.

use std::fmt::Write;

use mallowgauge_core::AttemptRequest;
use mallowgauge_router::{Micros, Outcome};

/// Longest frame taken from a host: a value has to fit into a body of 64 KiB.
pub const LONGEST: usize = 65 * 1024;

/// Longest first line of an answer.
const LONGEST_LINE: usize = 1024;

/// Most of a host's last words that is kept.
const LONGEST_WORDS: usize = 200;

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let length = u32::try_from(rest.len() + 1).unwrap_or(u32::MAX);
    let mut out = length.to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

/// What a part is called on this wire.
#[must_use]
pub fn part_name(send: &AttemptRequest) -> String {
    format!("{}.{}", send.query, send.shard.0)
}

/// One call, written now.
#[must_use]
pub fn call(now: Micros, sends: &[AttemptRequest]) -> Vec<u8> {
    let mut rest = Vec::new();
    for send in sends {
        let mut line = part_name(send);
        // The wait is rounded down: the host has to know that nobody listens any more.
        let left = (send.remaining(now) / 1000).max(1);
        let done = writeln!(line, " {} d={left} {}", send.shard.0, send.body.len());
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
        rest.extend_from_slice(line.as_bytes());
        rest.extend_from_slice(&send.body);
    }
    frame(b'm', &rest)
}

/// Gives up a part.
#[must_use]
pub fn give_up(part: &str) -> Vec<u8> {
    frame(b'n', part.as_bytes())
}

/// A probe.
#[must_use]
pub fn probe() -> Vec<u8> {
    frame(b'o', b"")
}

/// What a host says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// How a part ended, and its value.
    End(String, Outcome, String),
    /// A probe passed, or did not.
    Probe(bool),
    /// The frame before could not be used; the connection is about to close.
    Useless(String),
}

/// The first whole frame in `input`, with the bytes that it takes up; `None` while there is none. What is
/// already wrong with a frame is said before the rest of it has come.
///
/// # Errors
/// What has come is no such frame.
pub fn read(input: &[u8]) -> Result<Option<(Said, usize)>, &'static str> {
    let Some((head, body)) = input.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > LONGEST {
        return Err("a frame of no use or too long");
    }
    let come = &body[..body.len().min(length)];
    let Some((letter, rest)) = come.split_first() else { return Ok(None) };
    let whole = come.len() == length;
    let said = match letter {
        b'q' => end(rest, whole)?,
        b'o' if !whole && rest.len() < 4 => None,
        b'o' if !whole => return Err("an answer to a probe that is too long"),
        b'o' => Some(Said::Probe(match rest {
            b"good" => true,
            b"bad" => false,
            _ => return Err("an answer to a probe with an unknown end"),
        })),
        b'r' => whole.then(|| Said::Useless(last_words(rest))),
        _ => return Err("a frame of an unknown letter"),
    };
    Ok(said.map(|said| (said, 4 + length)))
}

/// What a host says last, for one line of the log.
fn last_words(rest: &[u8]) -> String {
    let words = String::from_utf8_lossy(&rest[..rest.len().min(LONGEST_LINE)]);
    let mut words = words.escape_debug().to_string();
    words.truncate(words.floor_char_boundary(LONGEST_WORDS));
    words
}

fn end(rest: &[u8], whole: bool) -> Result<Option<Said>, &'static str> {
    let Some(at) = rest.iter().take(LONGEST_LINE).position(|&b| b == b'\n') else {
        let endless = whole || rest.len() >= LONGEST_LINE;
        return if endless { Err("an answer whose line does not end") } else { Ok(None) };
    };
    let unreadable = "an answer with an unreadable line";
    let mut words = rest[..at].splitn(4, |&b| b == b' ').map(std::str::from_utf8);
    let part = words.next().and_then(Result::ok).ok_or(unreadable)?;
    let outcome = match words.next() {
        Some(Ok("good")) => Outcome::Succeeded,
        Some(Ok("bad")) => Outcome::BackendError,
        Some(Ok("later")) => Outcome::Rejected,
        _ => return Err("an answer with an unknown end"),
    };
    let score = words.next().and_then(Result::ok).is_some_and(|word| word.parse::<f64>().is_ok());
    // The report is for nobody here, so one that cannot be read takes nothing from the answer.
    if words.next().is_none() || (outcome == Outcome::Succeeded && !score) {
        return Err(unreadable);
    }
    if !whole {
        return Ok(None);
    }
    let value = std::str::from_utf8(&rest[at + 1..]).map_err(|_| "a value that is not text")?;
    Ok(Some(Said::End(part.to_owned(), outcome, value.to_owned())))
}
