//! The outcome of a query, and its encoding in records.

use std::sync::Arc;

/// How a query ended. Every client that submitted it gets the same end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// With this response, in the caller's encoding.
    Answered(Arc<[u8]>),
    /// Without a response, while an attempt may have been executed: its instance was lost or gave up.
    PossiblyExecuted,
    /// No attempt was executed, and none will be.
    NotExecuted,
}

/// First bytes of the stored encodings.
const ANSWERED: u8 = 0;
const POSSIBLY_EXECUTED: u8 = 1;
const NOT_EXECUTED: u8 = 2;

impl QueryEnd {
    /// Returns the encoding for records.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<[u8]> {
        match self {
            Self::Answered(response) => [&[ANSWERED], &response[..]].concat().into(),
            Self::PossiblyExecuted => [POSSIBLY_EXECUTED].into(),
            Self::NotExecuted => [NOT_EXECUTED].into(),
        }
    }

    /// Decodes the encoding of records; an unknown one is read as `PossiblyExecuted`.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        match bytes.split_first() {
            Some((&ANSWERED, response)) => Self::Answered(response.into()),
            Some((&NOT_EXECUTED, [])) => Self::NotExecuted,
            _ => Self::PossiblyExecuted,
        }
    }
}
