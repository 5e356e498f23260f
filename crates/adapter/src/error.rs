//! Errors in the simulator's input. The texts go to standard error and use the field names of the wire.

use mallowgauge_router::SettingsError;

/// An invalid message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not a JSON value.
    #[error("not valid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The value is not an array.
    #[error("not an array")]
    NotAnArray,
    /// The array does not begin with a name.
    #[error("no message name")]
    NoMessageName,
    /// A field of a message is missing.
    #[error("{message}: {field} is missing")]
    MissingField {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
    },
    /// A field of a message has a value of the wrong type.
    #[error("{message}: {field} is not {expected}")]
    InvalidField {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
        /// The expected type.
        expected: &'static str,
    },
    /// A query's class is not in the settings.
    #[error("Incoming: class {0} is unknown")]
    UnknownClass(String),
    /// The outcome of an attempt is unknown.
    #[error("Outcome: Rc {0} is unknown")]
    UnknownOutcome(String),
    /// The kind of an endpoint update is unknown.
    #[error("Sync: Mode {0} is unknown")]
    UnknownUpdateMode(String),
    /// The state of an endpoint is unknown.
    #[error("Register: Phase is none of ready, draining, gone")]
    UnknownEndpointState,
    /// A request id is not hexadecimal.
    #[error("Job {0} is not a request id")]
    InvalidRequestId(String),
    /// A request id is not in its canonical form, so that it would be written back differently.
    #[error("Job {0} is not a request id in its canonical form")]
    NotCanonicalRequestId(String),
    /// An update refers to an unknown endpoint list.
    #[error("Sync: no list {0}")]
    UnknownEndpointList(u64),
    /// A message is for an instance that is not running.
    #[error("{message}: no instance {instance}")]
    UnknownInstance {
        /// The message's name.
        message: String,
        /// The instance's number.
        instance: u64,
    },
    /// A batch begins before the previous one has ended.
    #[error("Turn: the batch before it has no Commit")]
    NestedBatch,
    /// A batch is earlier than the one before it.
    #[error("Turn: the clock runs backwards")]
    ClockRunsBackwards,
    /// A message other than the start of a batch arrives outside a batch.
    #[error("{0}: outside a batch")]
    OutsideBatch(String),
    /// The settings of an instance cannot be read. The text begins with the path within the settings.
    #[error("Begin: Env{0}")]
    UnreadableSettings(String),
    /// The settings of an instance are invalid.
    #[error("Begin: Env: {0}")]
    InvalidSettings(#[from] SettingsError),
}

/// Why the adapter stops early.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// Number of the line, from 1.
        line: u64,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A line is invalid.
    #[error("line {line}: {source}")]
    Rejected {
        /// Number of the line, from 1.
        line: u64,
        /// Why it is invalid.
        source: WireError,
    },
    /// The input ends inside a batch.
    #[error("line {line}: input ends inside a batch")]
    UnfinishedBatch {
        /// Number of the line after the last, from 1.
        line: u64,
    },
    /// A reply could not be written.
    #[error(transparent)]
    Write(#[from] std::io::Error),
}
