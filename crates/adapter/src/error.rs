//! Why a line of the simulator is rejected. The texts go to standard error and name fields by the wire's words.

use mallowgauge_router::SettingsError;

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is no JSON value.
    #[error("not valid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The value is not an array.
    #[error("not an array")]
    NotAnArray,
    /// The array does not begin with a name.
    #[error("no message name")]
    NoMessageName,
    /// A field of a message is not there.
    #[error("{message}: {field} is missing")]
    MissingField {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
    },
    /// A field of a message has a value of another kind.
    #[error("{message}: {field} is not {expected}")]
    InvalidField {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
        /// What it has to be.
        expected: &'static str,
    },
    /// A query's class is not in the settings.
    #[error("Incoming: class {0} is unknown")]
    UnknownClass(String),
    /// An attempt ended in a way that there is not.
    #[error("Outcome: Rc {0} is unknown")]
    UnknownOutcome(String),
    /// An endpoint update is of a kind that there is not.
    #[error("Sync: Mode {0} is unknown")]
    UnknownUpdateMode(String),
    /// An endpoint's state is none of those that there are.
    #[error("Register: Phase is none of ready, draining, gone")]
    UnknownEndpointState,
    /// A request id is not hexadecimal.
    #[error("Job {0} is not a request id")]
    InvalidRequestId(String),
    /// A request id would be written in another way than it was read.
    #[error("Job {0} is not a request id in its canonical form")]
    NotCanonicalRequestId(String),
    /// An update refers to an endpoint list that was not sent.
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
    /// A batch begins inside another.
    #[error("Turn: the batch before it has no Commit")]
    NestedBatch,
    /// A batch is earlier than the one before it.
    #[error("Turn: the clock runs backwards")]
    ClockRunsBackwards,
    /// Another message than a batch's first comes outside a batch.
    #[error("{0}: outside a batch")]
    OutsideBatch(String),
    /// The settings of an instance cannot be read; the text begins with the path in them.
    #[error("Begin: Env{0}")]
    UnreadableSettings(String),
    /// The settings of an instance make no sense.
    #[error("Begin: Env: {0}")]
    InvalidSettings(#[from] SettingsError),
}

/// Why the adapter stops early.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line cannot be read.
    #[error("line {line}: {source}")]
    Read {
        /// Number of the line, from 1.
        line: u64,
        /// What the system says.
        source: std::io::Error,
    },
    /// A line is rejected.
    #[error("line {line}: {source}")]
    Rejected {
        /// Number of the line, from 1.
        line: u64,
        /// What is wrong with it.
        source: WireError,
    },
    /// The input ends before its last batch does.
    #[error("line {line}: input ends inside a batch")]
    UnfinishedBatch {
        /// Number of the line after the last, from 1.
        line: u64,
    },
    /// A reply cannot be written.
    #[error(transparent)]
    Write(#[from] std::io::Error),
}
