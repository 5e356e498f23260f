//! What can be wrong with a configuration. Each error names the file and the key, and says what was expected; its
//! `Display` is the line that an operator reads.

use std::fmt;
use std::io;

use mallowgauge_router::SettingsError;

/// Longest text of an error, in bytes: what it quotes is chosen by whoever wrote the input.
const LONGEST_TEXT: usize = 500;

/// An error whose text is one line without control characters, at most 500 bytes and an ellipsis long.
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
            if line.len() > LONGEST_TEXT {
                line.truncate(line.floor_char_boundary(LONGEST_TEXT));
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

/// Why [`crate::Config::load`] gives no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no platform file.
    #[error("RELAY_CONFIG is not set")]
    NoPlatformFile,
    /// A file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// A file is not JSON; the error names line and column.
    #[error("{file}: {source}")]
    NotJson {
        /// The path of the file.
        file: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The platform's file is wrong.
    #[error("{file}: {source}")]
    Platform {
        /// The path of the file.
        file: String,
        /// What is wrong with it.
        source: PlatformError,
    },
    /// The operator's file is wrong.
    #[error(transparent)]
    OperatorSettings(#[from] OperatorError),
    /// The limits that the platform sets do not suffice for so many peers.
    #[error("{file}: fleet.peers.list is too long: {reason}")]
    TooManyPeers {
        /// The path of the platform's file, which sets the limits.
        file: String,
        /// The limit that is too low, and what is needed.
        reason: mallowgauge_cluster::connections::LimitsError,
    },
    /// Takeover records cannot hold the tables of backends that are reached over Flight.
    #[error("fleet.handover is set beside flight.hosts: records hold no tables yet")]
    TakeoverWithFlight,
}

/// What is wrong with the platform's file.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// A key is missing, and the environment does not stand in for it.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A key of the `settings` object is wrong.
    #[error("settings{0}")]
    Site(#[from] SiteError),
    /// The settings do not make sense together.
    #[error(transparent)]
    Router(#[from] SettingsError),
    /// A count that has to be positive and to fit into a `usize`.
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
    /// Fewer descriptors than the process needs.
    #[error("limits.sockets is below {0}")]
    TooFewSockets(usize),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed is not hex digits")]
    Seed,
    /// The cached endpoint list is wrong.
    #[error("known: {0}")]
    EndpointList(#[from] OneLine<EndpointListError>),
    /// An address is wrong.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// A text that is neither an address with a port nor a name that resolves to one.
#[derive(Debug, thiserror::Error)]
#[error("{key} {text} is not an address with a port")]
pub struct AddressError {
    /// The key that holds the text.
    pub key: &'static str,
    /// The text.
    pub text: String,
}

/// What is wrong with the `settings` object. The text begins with what follows the object's own name, a dot and the path
/// of the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteError {
    /// It is not an object.
    #[error(" is not an object")]
    NotAnObject,
    /// A key is missing.
    #[error(".{path} is missing; it should be {expected}")]
    Missing {
        /// The path of the key, such as `Limits.MaxOpen`.
        path: String,
        /// What it should hold.
        expected: &'static str,
    },
    /// A key holds something else than it should.
    #[error(".{path} is not {expected}")]
    Unexpected {
        /// The path of the key, such as `Limits.MaxOpen`.
        path: String,
        /// What it should hold.
        expected: &'static str,
    },
}

/// What is wrong with an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// A key of the list is missing or of another type.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// An entry has no id.
    #[error("an instance has no instanceId")]
    NoId,
    /// An entry's state is unknown.
    #[error("{id}: lifecycle is none of active, leaving, left")]
    State {
        /// The entry's id.
        id: String,
    },
    /// An entry that may get parts has no usable address or ring position.
    #[error("{id}: hostPort or cell makes no sense")]
    Place {
        /// The entry's id.
        id: String,
    },
}

/// What is wrong with the operator's file.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {key} {problem}")]
pub struct OperatorError {
    /// The path of the file.
    pub file: String,
    /// The path of the key, such as `flight.listen`.
    pub key: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with a key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A section is something else than an object.
    #[error("is not an object")]
    NotAnObject,
    /// The section has no such key.
    #[error("is not known; there is {}", .known.join(", "))]
    Unknown {
        /// The keys that the section has.
        known: &'static [&'static str],
    },
    /// A key that is needed.
    #[error("is missing")]
    Missing,
    /// One of a pair of keys.
    #[error("is missing beside its {0}")]
    MissingBeside(&'static str),
    /// A value of another type, or none of the values that are allowed.
    #[error("{0}")]
    Unexpected(&'static str),
    /// A number that is not whole or outside its range.
    #[error("is not a whole number from {least} to {most}")]
    OutOfRange {
        /// The least number that is allowed.
        least: u64,
        /// The greatest number that is allowed.
        most: u64,
    },
    /// A number that is not whole or too large.
    #[error("is not a whole number up to {most}")]
    TooLarge {
        /// The greatest number that is allowed.
        most: u64,
    },
    /// A text that is no address.
    #[error("{text} is not an address with a port")]
    Address {
        /// The text.
        text: String,
    },
    /// A file that the key names cannot be read.
    #[error("cannot be read: {name}: {source}")]
    Unreadable {
        /// The file's name, as the key has it.
        name: String,
        /// The system's error.
        source: io::Error,
    },
    /// A line of the users' file.
    #[error("line {line}: {problem}")]
    UserLine {
        /// The number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// No peers, or too many.
    #[error("holds {found}, not 1 to {most} peers")]
    PeerCount {
        /// How many there are.
        found: usize,
        /// How many are allowed.
        most: usize,
    },
    /// An entry in the list of peers.
    #[error("of entry {index} {problem}")]
    PeerEntry {
        /// The index of the entry, from 0.
        index: usize,
        /// What is wrong with the key of this entry.
        problem: PeerProblem,
    },
    /// This instance is not in the list of peers.
    #[error("is {name:?}, not in the list")]
    NotListed {
        /// The instance's name.
        name: String,
    },
    /// A majority of an even number of acceptors needs as many as one of the next odd number.
    #[error("is {group}, not an odd number")]
    EvenGroup {
        /// The number of acceptors.
        group: usize,
    },
    /// More acceptors than there are peers.
    #[error("is {group}, larger than the list of {peers}")]
    GroupTooLarge {
        /// The number of acceptors.
        group: usize,
        /// The number of peers.
        peers: usize,
    },
    /// The address for peers can be reached from outside.
    #[error("is neither loopback nor private; \"anywhere\": true allows it")]
    NotPrivate,
}

/// What is wrong with a key of an entry in the list of peers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerProblem {
    /// The name is missing, empty or too long.
    #[error("is not a text of 1 to 64 bytes")]
    Name,
    /// The key is missing.
    #[error("is missing")]
    Missing,
    /// The address can be reached from outside.
    #[error(
        "is {address}, neither loopback nor private; links are neither signed nor \
         encrypted, \"anywhere\": true allows it all the same"
    )]
    NotPrivate {
        /// The address as the file has it.
        address: String,
    },
    /// The value stands in an earlier entry as well.
    #[error("is {value}, which an entry before it has")]
    Repeated {
        /// The value; a name is quoted.
        value: String,
    },
}
