//! Configuration errors. Each names the file and the key and states what was expected; its `Display` text is the line
//! that operators read.

use std::fmt;
use std::io;

use mallowgauge_router::SettingsError;

/// Length limit of an error text, in bytes, since it quotes input of any length.
const MAX_TEXT_BYTES: usize = 500;

/// Wraps an error so that its text is one line without control characters, truncated to 500 bytes and an ellipsis.
#[derive(Debug)]
pub struct OneLine<E>(pub E);

impl<E: fmt::Display> fmt::Display for OneLine<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut line = String::new();
        for c in self.0.to_string().chars() {
            if c.is_control() {
                line.extend(c.escape_default());
            } else {
                line.push(c);
            }
            if line.len() > MAX_TEXT_BYTES {
                line.truncate(line.floor_char_boundary(MAX_TEXT_BYTES));
                line.push('…');
                break;
            }
        }
        f.write_str(&line)
    }
}

impl<E: fmt::Debug + fmt::Display> std::error::Error for OneLine<E> {}

impl<E> From<E> for OneLine<E> {
    fn from(error: E) -> Self {
        Self(error)
    }
}

/// Why [`crate::Config::load`] fails.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable for the platform's file is not set.
    #[error("RELAY_CONFIG is not set")]
    NoPlatformFile,
    /// A file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A file is not valid JSON; the parser's error names line and column.
    #[error("{file}: {source}")]
    NotJson {
        /// The path of the file.
        file: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The platform's file is invalid.
    #[error("{file}: {source}")]
    Platform {
        /// The path of the file.
        file: String,
        /// What is invalid.
        source: PlatformError,
    },
    /// The operator's file is invalid.
    #[error(transparent)]
    OperatorSettings(#[from] OperatorError),
    /// The platform's limits are too low for this number of peers.
    #[error("{file}: fleet.peers.list is too long: {reason}")]
    TooManyPeers {
        /// The path of the platform's file, which has the limits.
        file: String,
        /// The limit that is too low, and what the peers need.
        reason: mallowgauge_cluster::connections::LimitsError,
    },
    /// Takeover and Flight backends are both configured, but takeover records cannot hold tables.
    #[error("fleet.handover is set beside flight.hosts: records hold no tables yet")]
    TakeoverWithFlight,
}

/// What is invalid in the platform's file.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// A key is missing, and no environment variable replaces it.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A key of the `settings` object is invalid.
    #[error("settings{0}")]
    Site(#[from] SiteError),
    /// The router rejects the settings.
    #[error(transparent)]
    Router(#[from] SettingsError),
    /// A count is zero or does not fit into a `usize`.
    #[error("settings.{section}.{key} is zero or far too large")]
    Count {
        /// The section of `settings`.
        section: &'static str,
        /// The key in it.
        key: &'static str,
    },
    /// The number of shards does not fit into 32 bits.
    #[error(transparent)]
    Shards(#[from] std::num::TryFromIntError),
    /// A limit is not a whole number below 2^32.
    #[error("limits.{0} is not a small whole number")]
    Limit(&'static str),
    /// The limit is below the number of descriptors that the process needs.
    #[error("limits.sockets is below {0}")]
    TooFewSockets(usize),
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed is not hex digits")]
    Seed,
    /// The cached endpoint list is invalid.
    #[error("known: {0}")]
    EndpointList(#[from] OneLine<EndpointListError>),
    /// An address is invalid.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// A value that is neither an address with a port nor a name that resolves to one.
#[derive(Debug, thiserror::Error)]
#[error("{key} {text} is not an address with a port")]
pub struct AddressError {
    /// The key that has the value.
    pub key: &'static str,
    /// The value.
    pub text: String,
}

/// What is invalid in the `settings` object. The text is appended to the object's name, so it begins with a dot and the
/// path of the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteError {
    /// The value is not an object.
    #[error(" is not an object")]
    NotAnObject,
    /// A key is missing.
    #[error(".{path} is missing; it should be {expected}")]
    Missing {
        /// The path of the key, such as `Limits.MaxOpen`.
        path: String,
        /// The expected type or value.
        expected: &'static str,
    },
    /// A key has a value of another type, or one that is not allowed.
    #[error(".{path} is not {expected}")]
    Unexpected {
        /// The path of the key, such as `Limits.MaxOpen`.
        path: String,
        /// The expected type or value.
        expected: &'static str,
    },
}

/// What is invalid in an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// A key of the list is missing or of another type.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// An entry has no id.
    #[error("an instance has no instanceId")]
    MissingId,
    /// An entry's state is unknown.
    #[error("{id}: lifecycle is none of active, leaving, left")]
    UnknownState {
        /// The entry's id.
        id: String,
    },
    /// An entry that is not removed has no valid address or ring position.
    #[error("{id}: hostPort or cell makes no sense")]
    InvalidAddress {
        /// The entry's id.
        id: String,
    },
}

/// What is invalid in the operator's file.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {key} {problem}")]
pub struct OperatorError {
    /// The path of the file.
    pub file: String,
    /// The path of the key, such as `flight.listen`.
    pub key: String,
    /// What is invalid about it.
    pub problem: Problem,
}

/// What is invalid about a key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A section is not an object.
    #[error("is not an object")]
    NotAnObject,
    /// The section has no such key.
    #[error("is not known; there is {}", .known.join(", "))]
    Unknown {
        /// The keys that the section may have.
        known: &'static [&'static str],
    },
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// A key is missing that is required together with another one.
    #[error("is missing beside its {0}")]
    MissingBeside(&'static str),
    /// A value has another type, or is not one of the allowed values.
    #[error("{0}")]
    Unexpected(&'static str),
    /// A number is not whole, or is outside its range.
    #[error("is not a whole number from {least} to {most}")]
    OutOfRange {
        /// The smallest allowed number.
        least: u64,
        /// The largest allowed number.
        most: u64,
    },
    /// A number is not whole, or is too large.
    #[error("is not a whole number up to {most}")]
    TooLarge {
        /// The largest allowed number.
        most: u64,
    },
    /// A value is not an address.
    #[error("{text} is not an address with a port")]
    Address {
        /// The value.
        text: String,
    },
    /// The file that the key names cannot be read.
    #[error("cannot be read: {name}: {source}")]
    Unreadable {
        /// The file's name, as in the configuration.
        name: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A line of the users' file is invalid.
    #[error("line {line}: {problem}")]
    UserLine {
        /// The line number, from 1.
        line: usize,
        /// What is invalid about it.
        problem: &'static str,
    },
    /// The list of peers is empty or too long.
    #[error("holds {found}, not 1 to {most} peers")]
    PeerCount {
        /// The number of peers in the list.
        found: usize,
        /// The largest allowed number.
        most: usize,
    },
    /// An entry of the list of peers is invalid.
    #[error("of entry {index} {problem}")]
    PeerEntry {
        /// The index of the entry, from 0.
        index: usize,
        /// What is invalid about the key of this entry.
        problem: PeerProblem,
    },
    /// This instance is not in the list of peers.
    #[error("is {name:?}, not in the list")]
    NotListed {
        /// The instance's name.
        name: String,
    },
    /// The number of acceptors is even, which tolerates no more failures than the next lower odd number.
    #[error("is {group}, not an odd number")]
    EvenGroupSize {
        /// The number of acceptors.
        group: usize,
    },
    /// The number of acceptors exceeds the number of peers.
    #[error("is {group}, larger than the list of {peers}")]
    GroupTooLarge {
        /// The number of acceptors.
        group: usize,
        /// The number of peers.
        peers: usize,
    },
    /// The listen address for peers is publicly reachable.
    #[error("is neither loopback nor private; \"anywhere\": true allows it")]
    NotPrivate,
}

/// What is invalid about a key of an entry in the list of peers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerProblem {
    /// The name is missing, empty or too long.
    #[error("is not a text of 1 to 64 bytes")]
    Name,
    /// The key is missing.
    #[error("is missing")]
    Missing,
    /// The address is publicly reachable.
    #[error(
        "is {address}, neither loopback nor private; links are neither signed nor \
         encrypted, \"anywhere\": true allows it all the same"
    )]
    NotPrivate {
        /// The address, as in the configuration.
        address: String,
    },
    /// An earlier entry has the same value.
    #[error("is {value}, which an entry before it has")]
    Repeated {
        /// The value; a name is quoted.
        value: String,
    },
}
