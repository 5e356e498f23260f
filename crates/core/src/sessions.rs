//! Sessions of a front: options that a client has set for all its calls, kept for as long as it comes back.
//!
//! A session is known by a number that its client carries (a cookie or a field of its token). Memory is
//! bounded: when all places are taken, the session that has rested longest goes, and its client finds its
//! options gone the way they would be after a restart; it is told so, and sets them anew.

use std::collections::BTreeMap;

use mallowgauge_router::Micros;

/// A session, by the number that its client carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionId(pub u128);

/// How the bodies of tables are compressed that are made here.
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

/// What a session can set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// How tables that are made here are compressed.
    pub compression: Compression,
    /// The longest that its queries are waited for, where a call states no time.
    pub timeout: Option<Micros>,
    /// Only whole answers: a partial one counts as a failure.
    pub whole_only: bool,
}

/// Why an option is not set, in the words of Flight's `SetSessionOptionsResult`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// There is no such option.
    Name,
    /// The option takes no such value.
    Value,
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

impl Options {
    /// Sets one option.
    ///
    /// # Errors
    /// There is no such option or value.
    pub fn set(&mut self, name: &str, value: &Setting) -> Result<(), Bad> {
        match (name, value) {
            ("compression", Setting::Unset) => self.compression = Compression::None,
            ("compression", Setting::Text(text)) => {
                self.compression = match text.as_str() {
                    "none" => Compression::None,
                    "lz4" => Compression::Lz4,
                    "zstd" => Compression::Zstd,
                    _ => return Err(Bad::Value),
                }
            }
            ("timeout_ms", Setting::Unset) => self.timeout = None,
            ("timeout_ms", Setting::Whole(ms)) => {
                let ms = u64::try_from(*ms).ok().filter(|&ms| ms > 0 && ms <= 86_400_000);
                self.timeout = Some(ms.ok_or(Bad::Value)? * 1000);
            }
            ("whole_only", Setting::Unset) => self.whole_only = false,
            ("whole_only", Setting::Flag(flag)) => self.whole_only = *flag,
            ("compression" | "timeout_ms" | "whole_only", _) => return Err(Bad::Value),
            _ => return Err(Bad::Name),
        }
        Ok(())
    }

    /// All options with their values.
    #[must_use]
    pub fn all(&self) -> Vec<(&'static str, Setting)> {
        let compression = match self.compression {
            Compression::None => "none",
            Compression::Lz4 => "lz4",
            Compression::Zstd => "zstd",
        };
        let timeout =
            self.timeout.map_or(Setting::Unset, |t| Setting::Whole(i64::try_from(t / 1000).unwrap_or(0)));
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
    until: Micros,
}

/// The sessions that are open.
#[derive(Debug)]
pub struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
    most: usize,
    rest: Micros,
}

impl Sessions {
    /// At most `most`, each kept for `rest` after its last call.
    #[must_use]
    pub fn new(most: usize, rest: Micros) -> Self {
        Self { sessions: BTreeMap::new(), most, rest }
    }

    /// The options that count for a call of this session; `None` if it is not open.
    pub fn touch(&mut self, now: Micros, id: SessionId) -> Option<Options> {
        let session = self.sessions.get_mut(&id).filter(|session| session.until > now)?;
        session.until = now + self.rest;
        Some(session.options)
    }

    /// The session's options, to be changed; it is opened if it is not.
    pub fn open(&mut self, now: Micros, id: SessionId) -> &mut Options {
        if !self.sessions.contains_key(&id) {
            self.sessions.retain(|_, session| session.until > now);
            while self.sessions.len() >= self.most.max(1) {
                let first = self.sessions.iter().min_by_key(|(_, s)| s.until).map(|(&id, _)| id);
                if let Some(id) = first {
                    self.sessions.remove(&id);
                }
            }
        }
        let until = now + self.rest;
        let fresh = || Session { options: Options::default(), until };
        let session = self.sessions.entry(id).or_insert_with(fresh);
        if session.until <= now {
            session.options = Options::default();
        }
        session.until = until;
        &mut session.options
    }

    /// Closes a session; `false` if it was not open.
    pub fn close(&mut self, id: SessionId) -> bool {
        self.sessions.remove(&id).is_some()
    }

    /// How many are kept.
    #[must_use]
    pub fn held(&self) -> usize {
        self.sessions.len()
    }
}
