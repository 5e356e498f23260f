//! How a query ended, and the bytes in which records hold it.

use std::sync::Arc;

/// How a query ended; the same for every client that asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// With this response, in the form of the program's own.
    Answered(Arc<[u8]>),
    /// Its instance was lost, or gave up, while an attempt may have been executed.
    PossiblyExecuted,
    /// No attempt was executed, and none will be.
    NotExecuted,
}

/// First bytes of the stored forms.
const ANSWERED: u8 = 0;
const POSSIBLY_EXECUTED: u8 = 1;
const NOT_EXECUTED: u8 = 2;

impl QueryEnd {
    /// The form that records hold.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<[u8]> {
        match self {
            Self::Answered(response) => [&[ANSWERED], &response[..]].concat().into(),
            Self::PossiblyExecuted => [POSSIBLY_EXECUTED].into(),
            Self::NotExecuted => [NOT_EXECUTED].into(),
        }
    }

    /// Reads the form that records hold; what is unknown may have been executed.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        match bytes.split_first() {
            Some((&ANSWERED, response)) => Self::Answered(response.into()),
            Some((&NOT_EXECUTED, [])) => Self::NotExecuted,
            _ => Self::PossiblyExecuted,
        }
    }
}
