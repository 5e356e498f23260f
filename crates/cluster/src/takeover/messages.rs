//! The messages between instances about queries. The postcard encoding depends on the order of variants and
//! fields: the order must never change, and new ones are appended (`tests/stored_format.rs` checks the
//! bytes).

use serde::{Deserialize, Serialize};

use crate::register::{AcceptorReply, ProposerRequest, QueryId, StateTransfer};
use crate::Incarnation;

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request to an acceptor.
    Request(ProposerRequest),
    /// An acceptor's reply.
    Reply(AcceptorReply),
    /// A restarted acceptor announces its incarnation and requests the next page of records.
    TransferRequest {
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The last query on the previous page; `None` for the first page.
        after: Option<QueryId>,
    },
    /// A page of records.
    StateTransfer(StateTransfer),
    /// An acceptor has begun a new epoch.
    Epoch {
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// Its epoch.
        epoch: u64,
    },
}

impl Message {
    /// Whether the receiver or a client waits for the message. Nobody waits for a chosen outcome or
    /// an epoch: they only let acceptors remove records, and acceptors answer requests correctly without them.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        !matches!(self, Self::Request(ProposerRequest::Chosen { .. }) | Self::Epoch { .. })
    }
}
