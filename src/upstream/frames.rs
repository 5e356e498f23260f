//! The platform's frames to hosts: `m n o p q r`.

use std::fmt::Write;

use crate::core::Send;
use crate::interface::Outcome;

/// Longest frame taken from a host: a value has to fit into a body of 64 KiB.
pub const LONGEST: usize = 65 * 1024;

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let length = u32::try_from(rest.len() + 1).unwrap_or(u32::MAX);
    let mut out = length.to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

/// What a part is called on this wire.
#[must_use]
pub fn part_name(send: &Send) -> String {
    format!("{}.{}", send.query, send.shard.0)
}

/// One call.
#[must_use]
pub fn call(sends: &[Send]) -> Vec<u8> {
    let mut rest = Vec::new();
    for send in sends {
        let mut line = part_name(send);
        // The wait is rounded down: the host has to know that nobody listens any more.
        let done = writeln!(line, " {} d={} {}", send.shard.0, (send.wait / 1000).max(1), send.text.len());
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
        rest.extend_from_slice(line.as_bytes());
        rest.extend_from_slice(&send.text);
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

/// The first whole frame in `input`, with the bytes that it takes up; `None` while there is none.
///
/// # Errors
/// What has come is no such frame.
pub fn read(input: &[u8]) -> Result<Option<(Said, usize)>, &'static str> {
    let Some(head) = input.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > LONGEST {
        return Err("a frame of no use or too long");
    }
    let Some(body) = input.get(4..4 + length) else { return Ok(None) };
    let text = || std::str::from_utf8(&body[1..]).map_err(|_| "a frame that is not text");
    let said = match body[0] {
        b'q' => end(text()?)?,
        b'o' => Said::Probe(text()? == "good"),
        b'r' => Said::Useless(text()?.to_owned()),
        _ => return Err("a frame of an unknown letter"),
    };
    Ok(Some((said, 4 + length)))
}

fn end(text: &str) -> Result<Said, &'static str> {
    let (line, value) = text.split_once('\n').ok_or("an answer without a line")?;
    let mut words = line.split(' ');
    let (part, end) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let outcome = match end {
        "good" => Outcome::Served,
        "bad" => Outcome::Fault,
        "later" => Outcome::NoRoom,
        _ => return Err("an answer with an unknown end"),
    };
    Ok(Said::End(part.to_owned(), outcome, value.to_owned()))
}
