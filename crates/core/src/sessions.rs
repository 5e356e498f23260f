//! Sessions of the Flight frontend: options that a client has set for all its calls, kept until it has been
//! idle for too long.
//!
//! A session is known by a number that its client sends (a cookie or a field of its token). Memory is bounded:
//! beyond the limit the session that was idle longest is evicted. Its client finds its options gone as after a
//! restart, is told so, and sets them again.

use std::collections::BTreeMap;

use mallowgauge_router::Micros;

/// A session, by the number that its client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u128);

/// How the bodies of tables are compressed that this instance writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Compression {
    /// Not at all.
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
    /// How tables are compressed that this instance writes.
    pub compression: Compression,
    /// The client time-out of its queries in microseconds, where a call states none.
    pub timeout: Option<Micros>,
    /// Only complete responses: a partial one counts as a failure.
    pub whole_only: bool,
}

/// Why an option is not set, in the words of Flight's `SetSessionOptionsResult`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OptionError {
    /// There is no such option.
    UnknownName,
    /// The option takes no such value.
    InvalidValue,
}

/// A value of an option.
#[derive(Clone, Debug, PartialEq)]
pub enum Setting {
    /// Back to the default.
    Unset,
    /// A text.
    Text(String),
    /// True or false.
    Flag(bool),
    /// A whole number.
    Whole(i64),
}

/// Time-outs that a session can set, in milliseconds: up to a day.
const TIMEOUT_MS: std::ops::RangeInclusive<u64> = 1..=86_400_000;
const MICROS_PER_MS: Micros = 1000;

impl Options {
    /// Sets one option, by its name on the wire.
    ///
    /// # Errors
    /// There is no such option or value.
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
            ("timeout_ms", Setting::Whole(ms)) => {
                let ms = u64::try_from(*ms).ok().filter(|ms| TIMEOUT_MS.contains(ms));
                self.timeout = Some(ms.ok_or(OptionError::InvalidValue)? * MICROS_PER_MS);
            }
            ("whole_only", Setting::Unset) => self.whole_only = false,
            ("whole_only", Setting::Flag(flag)) => self.whole_only = *flag,
            ("compression" | "timeout_ms" | "whole_only", _) => return Err(OptionError::InvalidValue),
            _ => return Err(OptionError::UnknownName),
        }
        Ok(())
    }

    /// All options by their names on the wire, with their values.
    #[must_use]
    pub fn all(&self) -> Vec<(&'static str, Setting)> {
        let compression = match self.compression {
            Compression::None => "none",
            Compression::Lz4 => "lz4",
            Compression::Zstd => "zstd",
        };
        let timeout = self
            .timeout
            .map_or(Setting::Unset, |t| Setting::Whole(i64::try_from(t / MICROS_PER_MS).unwrap_or(0)));
        vec![
            ("compression", Setting::Text(compression.to_owned())),
            ("timeout_ms", timeout),
            ("whole_only", Setting::Flag(self.whole_only)),
        ]
    }
}

#[derive(Debug)]
struct Session {
    options: Options,
    expires_at: Micros,
}

/// The sessions that are open.
#[derive(Debug)]
pub struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
    limit: usize,
    idle_timeout: Micros,
}

impl Sessions {
    /// At most `limit` sessions, each closed when it was idle for `idle_timeout` microseconds.
    #[must_use]
    pub fn new(limit: usize, idle_timeout: Micros) -> Self {
        Self { sessions: BTreeMap::new(), limit: limit.max(1), idle_timeout }
    }

    /// The options for a call of this session; `None` if it is not open.
    pub fn touch(&mut self, now: Micros, id: SessionId) -> Option<Options> {
        let session = self.sessions.get_mut(&id).filter(|session| session.expires_at > now)?;
        session.expires_at = now + self.idle_timeout;
        Some(session.options)
    }

    /// The session's options, to be changed; it is opened if it is not.
    pub fn open(&mut self, now: Micros, id: SessionId) -> &mut Options {
        if !self.sessions.contains_key(&id) {
            self.make_room(now);
        }
        let opened = Session { options: Options::default(), expires_at: Micros::MAX };
        let session = self.sessions.entry(id).or_insert(opened);
        if session.expires_at <= now {
            session.options = Options::default();
        }
        session.expires_at = now + self.idle_timeout;
        &mut session.options
    }

    /// Closes sessions that have expired, and evicts the one that was idle longest while there are too many.
    fn make_room(&mut self, now: Micros) {
        self.sessions.retain(|_, session| session.expires_at > now);
        while self.sessions.len() >= self.limit {
            let idle_longest = self.sessions.iter().min_by_key(|(_, session)| session.expires_at);
            let Some(id) = idle_longest.map(|(&id, _)| id) else { return };
            self.sessions.remove(&id);
        }
    }

    /// Closes a session; `false` if it was not open.
    pub fn close(&mut self, id: SessionId) -> bool {
        self.sessions.remove(&id).is_some()
    }

    /// How many are open or expired and not yet closed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.sessions.len()
    }
}
