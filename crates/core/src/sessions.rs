//! Sessions of the Flight frontend: options that a client sets once for all its calls, kept until an idle
//! timeout.
//!
//! A session is identified by a number that its client sends (a cookie or a field of its token). Memory is
//! bounded: beyond the limit the session that was idle longest is evicted. As after a restart, its client is
//! notified that the options were lost, and sets them again.

use std::collections::BTreeMap;

use mallowgauge_router::Micros;

/// A session, by the number that its client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u128);

/// Compression of the table bodies that this instance writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Compression {
    /// No compression.
    #[default]
    None,
    /// LZ4 frames.
    Lz4,
    /// Zstandard.
    Zstd,
}

/// The options of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Compression of the tables that this instance writes.
    pub compression: Compression,
    /// Client timeout of queries whose call states none, in microseconds.
    pub timeout: Option<Micros>,
    /// Whether only complete responses are accepted: a partial one counts as a failure.
    pub complete_only: bool,
}

/// Why an option was not set, as Flight's `SetSessionOptionsResult` distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OptionError {
    /// No option has this name.
    UnknownName,
    /// The option does not accept this value.
    InvalidValue,
}

/// The value of an option.
#[derive(Clone, Debug, PartialEq)]
pub enum Setting {
    /// Resets the option to its default.
    Unset,
    /// A string.
    Text(String),
    /// A boolean.
    Flag(bool),
    /// An integer.
    Integer(i64),
}

/// Timeouts that a session can set, in milliseconds: up to a day.
const TIMEOUT_MS: std::ops::RangeInclusive<u64> = 1..=86_400_000;
const MICROS_PER_MS: Micros = 1000;

impl Options {
    /// Sets one option, by its name on the wire.
    ///
    /// # Errors
    /// No option has this name, or it does not accept this value.
    pub fn set(&mut self, name: &str, value: &Setting) -> Result<(), OptionError> {
        match (name, value) {
            ("compression", Setting::Unset) => self.compression = Compression::None,
            ("compression", Setting::Text(text)) => {
                self.compression = match text.as_str() {
                    "none" => Compression::None,
                    "lz4" => Compression::Lz4,
                    "zstd" => Compression::Zstd,
                    _ => return Err(OptionError::InvalidValue),
                }
            }
            ("timeout_ms", Setting::Unset) => self.timeout = None,
            ("timeout_ms", Setting::Integer(ms)) => {
                let ms = u64::try_from(*ms).ok().filter(|ms| TIMEOUT_MS.contains(ms));
                self.timeout = Some(ms.ok_or(OptionError::InvalidValue)? * MICROS_PER_MS);
            }
            ("whole_only", Setting::Unset) => self.complete_only = false,
            ("whole_only", Setting::Flag(flag)) => self.complete_only = *flag,
            ("compression" | "timeout_ms" | "whole_only", _) => return Err(OptionError::InvalidValue),
            _ => return Err(OptionError::UnknownName),
        }
        Ok(())
    }

    /// Returns all options by their names on the wire, with their values.
    #[must_use]
    pub fn all(&self) -> Vec<(&'static str, Setting)> {
        let compression = match self.compression {
            Compression::None => "none",
            Compression::Lz4 => "lz4",
            Compression::Zstd => "zstd",
        };
        let timeout = self
            .timeout
            .map_or(Setting::Unset, |t| Setting::Integer(i64::try_from(t / MICROS_PER_MS).unwrap_or(0)));
        vec![
            ("compression", Setting::Text(compression.to_owned())),
            ("timeout_ms", timeout),
            ("whole_only", Setting::Flag(self.complete_only)),
        ]
    }
}

#[derive(Debug)]
struct Session {
    options: Options,
    expires_at: Micros,
}

/// The open sessions.
#[derive(Debug)]
pub struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
    limit: usize,
    idle_timeout: Micros,
}

impl Sessions {
    /// Creates a table of at most `limit` sessions, each closed after `idle_timeout` microseconds without a
    /// call.
    #[must_use]
    pub fn new(limit: usize, idle_timeout: Micros) -> Self {
        Self { sessions: BTreeMap::new(), limit: limit.max(1), idle_timeout }
    }

    /// Returns the options for a call of this session and restarts its idle timeout; `None` if it is not
    /// open.
    pub fn touch(&mut self, now: Micros, id: SessionId) -> Option<Options> {
        let session = self.sessions.get_mut(&id).filter(|session| session.expires_at > now)?;
        session.expires_at = now + self.idle_timeout;
        Some(session.options)
    }

    /// Returns the session's options for changes, and opens the session if necessary.
    pub fn open(&mut self, now: Micros, id: SessionId) -> &mut Options {
        if !self.sessions.contains_key(&id) {
            self.evict_to_limit(now);
        }
        let opened = Session { options: Options::default(), expires_at: Micros::MAX };
        let session = self.sessions.entry(id).or_insert(opened);
        if session.expires_at <= now {
            session.options = Options::default();
        }
        session.expires_at = now + self.idle_timeout;
        &mut session.options
    }

    /// Closes expired sessions, then evicts those that were idle longest until one more fits.
    fn evict_to_limit(&mut self, now: Micros) {
        self.sessions.retain(|_, session| session.expires_at > now);
        while self.sessions.len() >= self.limit {
            let idle_longest = self.sessions.iter().min_by_key(|(_, session)| session.expires_at);
            let Some(id) = idle_longest.map(|(&id, _)| id) else { return };
            self.sessions.remove(&id);
        }
    }

    /// Closes a session. Returns `false` if it was not open.
    pub fn close(&mut self, id: SessionId) -> bool {
        self.sessions.remove(&id).is_some()
    }

    /// Returns the number of sessions that are open, or expired and not yet closed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.sessions.len()
    }
}
