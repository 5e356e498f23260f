//! What instances send each other about queries. postcard writes it by the order of variants and fields: that
//! order never changes, new ones go to the end (`tests/stored_format.rs` holds the bytes).

use serde::{Deserialize, Serialize};

use crate::register::{AcceptorReply, ProposerRequest, QueryId, StateTransfer};
use crate::Incarnation;

/// Between two instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To an acceptor.
    Request(ProposerRequest),
    /// From an acceptor.
    Reply(AcceptorReply),
    /// An acceptor that has restarted announces its incarnation and asks for the records of queries after
    /// this one.
    TransferRequest {
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The last query that it has; `None` for the first page.
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
    /// Whether the receiver, or a client, waits for it. A chosen outcome or an epoch only lets others forget;
    /// whoever asks for these meanwhile is answered all the same.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        !matches!(self, Self::Request(ProposerRequest::Chosen { .. }) | Self::Epoch { .. })
    }
}
