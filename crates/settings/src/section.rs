//! Sections of the operator's file, and functions to read their values.

use std::net::{SocketAddr, ToSocketAddrs};
use std::ops::RangeInclusive;
use std::path::Path;

use mallowgauge_router::Micros;
use serde_json::{Map, Value};

use crate::error::{AddressError, OperatorError, Problem};

/// Longest lifetime that can be configured, in seconds: 30 days.
const MAX_LIFETIME_S: u64 = 30 * 86_400;

/// Parses an address with a port; resolves a host name.
pub(crate) fn address(text: &str, key: &'static str) -> Result<SocketAddr, AddressError> {
    let found = text.to_socket_addrs().ok().and_then(|mut all| all.next());
    found.ok_or_else(|| AddressError { key, text: text.to_owned() })
}

/// A section, with the file and the key that it is read from.
pub(crate) struct OperatorSection<'a> {
    fields: &'a Map<String, Value>,
    file: &'a str,
    name: &'static str,
}

impl<'a> OperatorSection<'a> {
    /// Creates the section `name`, which may only have the keys `known`.
    pub(crate) fn new(
        value: &'a Value,
        file: &'a str,
        name: &'static str,
        known: &'static [&'static str],
    ) -> Result<Self, OperatorError> {
        let error = |key: String, problem| OperatorError { file: file.to_owned(), key, problem };
        let fields = value.as_object().ok_or_else(|| error(name.to_owned(), Problem::NotAnObject))?;
        if let Some(key) = fields.keys().find(|key| !known.contains(&key.as_str())) {
            return Err(error(format!("{name}.{key}"), Problem::Unknown { known }));
        }
        Ok(Self { fields, file, name })
    }

    /// Creates an error for a key of this section.
    pub(crate) fn error(&self, key: &str, problem: Problem) -> OperatorError {
        OperatorError { file: self.file.to_owned(), key: format!("{}.{key}", self.name), problem }
    }

    /// Returns the value of a key, which may be `null`.
    pub(crate) fn raw(&self, key: &str) -> Option<&'a Value> {
        self.fields.get(key)
    }

    /// Returns the value of a key; `null` counts as absent.
    pub(crate) fn value(&self, key: &str) -> Option<&'a Value> {
        self.fields.get(key).filter(|value| !value.is_null())
    }

    /// Reads a string, if present.
    pub(crate) fn text(&self, key: &str) -> Result<Option<&'a str>, OperatorError> {
        match self.fields.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.error(key, Problem::Unexpected("is not a text"))),
        }
    }

    /// Reads an address with a port, if present.
    pub(crate) fn address(&self, key: &str) -> Result<Option<SocketAddr>, OperatorError> {
        let Some(text) = self.text(key)? else { return Ok(None) };
        let found = text.to_socket_addrs().ok().and_then(|mut all| all.next());
        let error = || self.error(key, Problem::Address { text: text.to_owned() });
        found.map(Some).ok_or_else(error)
    }

    /// Reads the file that a key names, if present; its name is relative to the folder of the operator's file.
    pub(crate) fn file(&self, key: &str) -> Result<Option<Vec<u8>>, OperatorError> {
        let Some(name) = self.text(key)? else { return Ok(None) };
        let folder = Path::new(self.file).parent().unwrap_or(Path::new(""));
        let unreadable = |source| self.error(key, Problem::Unreadable { name: name.to_owned(), source });
        std::fs::read(folder.join(name)).map(Some).map_err(unreadable)
    }

    /// Reads the file that a required key names.
    pub(crate) fn required_file(&self, key: &str) -> Result<Vec<u8>, OperatorError> {
        self.file(key)?.ok_or_else(|| self.error(key, Problem::Missing))
    }

    /// Reads a whole number in a range; `default` if it is absent. Without a default, the key is required.
    pub(crate) fn number(
        &self,
        key: &str,
        default: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> Result<u64, OperatorError> {
        let value = self.value(key).map_or(default, Value::as_u64).filter(|n| range.contains(n));
        value.ok_or_else(|| {
            let (least, most) = range.into_inner();
            self.error(key, Problem::OutOfRange { least, most })
        })
    }

    /// Reads a whole number up to `most`; `default` if it is absent.
    pub(crate) fn number_up_to(&self, key: &str, default: u64, most: u64) -> Result<u64, OperatorError> {
        let value = self.raw(key).map_or(Some(default), Value::as_u64).filter(|&n| n <= most);
        value.ok_or_else(|| self.error(key, Problem::TooLarge { most }))
    }

    /// Reads a lifetime in seconds and returns it in microseconds; `default` is in seconds.
    pub(crate) fn seconds(&self, key: &str, default: u64) -> Result<Micros, OperatorError> {
        let value = self.raw(key).map_or(Some(default), Value::as_u64);
        let value = value.filter(|s| (1..=MAX_LIFETIME_S).contains(s));
        let problem = Problem::Unexpected("is not a whole number of seconds up to 30 days");
        value.map(|s| s * 1_000_000).ok_or_else(|| self.error(key, problem))
    }
}
