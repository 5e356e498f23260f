//! The messages between proposers and acceptors of one query. The postcard encoding depends on the order of
//! variants and fields: the order must never change, and new ones are appended (`tests/stored_format.rs`
//! checks the bytes).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ballot::{Ballot, Epochs, Incarnations, OpenedAt, QueryId};
use super::record::{Proposal, Record};
use crate::Incarnation;

/// A request from a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposerRequest {
    /// Opens a query under a ballot of round 0, without a prepare phase, and proposes its first version.
    /// Reply: `Accepted`, `Rejected` or `Abstained`.
    Open {
        /// The query.
        id: QueryId,
        /// The ballot, of round 0.
        ballot: Ballot,
        /// The acceptor incarnations that the proposal relies on.
        incarnations: Incarnations,
        /// The acceptors' epochs, as the opener knew them when the client submitted the query.
        epochs: Epochs,
        /// The client's request, as a process that takes over needs it.
        payload: Arc<[u8]>,
        /// The cumulative proposal.
        proposal: Proposal,
        /// The version of the proposal.
        version: u32,
    },
    /// Paxos phase 2a (accept): proposes a version under a ballot that was promised or opened. Reply:
    /// `Accepted`, `Rejected` or `Abstained`.
    Accept {
        /// The query.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The acceptor incarnations that the proposal relies on.
        incarnations: Incarnations,
        /// The cumulative proposal.
        proposal: Proposal,
        /// The version of the proposal.
        version: u32,
    },
    /// Paxos phase 1a (prepare): asks for a promise, to take the query over. Reply: `Promised`, `Rejected` or
    /// `Abstained`.
    Prepare {
        /// The query.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// When the query was opened.
        opened_at: OpenedAt,
    },
    /// A majority has accepted this outcome; from now on the record is kept only to report it. No reply.
    Chosen {
        /// The query.
        id: QueryId,
        /// The outcome.
        outcome: Arc<[u8]>,
    },
    /// Asks for the acceptor's record. Reply: `RecordRead`.
    ReadRecord {
        /// The query.
        id: QueryId,
    },
}

impl ProposerRequest {
    /// Returns the query that the message is about.
    #[must_use]
    pub fn id(&self) -> &QueryId {
        match self {
            Self::Open { id, .. }
            | Self::Accept { id, .. }
            | Self::Prepare { id, .. }
            | Self::Chosen { id, .. }
            | Self::ReadRecord { id } => id,
        }
    }
}

/// A reply from an acceptor to a proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// This version of the proposal was accepted under this ballot.
    Accepted {
        /// The query.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The version that was accepted.
        version: u32,
        /// The acceptor's incarnation.
        incarnation: Incarnation,
    },
    /// The ballot is promised: nothing under a lower one is accepted any more.
    Promised {
        /// The query.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The acceptor's incarnation.
        incarnation: Incarnation,
        /// The acceptor's record; `None` if it has never had one.
        record: Option<Record>,
    },
    /// Another ballot is promised, or the query was opened under another one.
    Rejected {
        /// The query.
        id: QueryId,
        /// The ballot that was rejected.
        rejected: Ballot,
        /// The acceptor's record.
        record: Record,
    },
    /// The acceptor neither accepts nor rejects.
    Abstained {
        /// The query.
        id: QueryId,
        /// The ballot of the request.
        ballot: Ballot,
        /// Why it abstains.
        reason: AbstainReason,
        /// The acceptor's incarnation.
        incarnation: Incarnation,
    },
    /// The acceptor's record, in reply to `ReadRecord`.
    RecordRead {
        /// The query.
        id: QueryId,
        /// The record, if there is one.
        record: Option<Record>,
        /// There is no record, and one may have been lost in a restart.
        possibly_forgotten: bool,
    },
}

impl AcceptorReply {
    /// Returns the query that the message is about.
    #[must_use]
    pub fn id(&self) -> &QueryId {
        match self {
            Self::Accepted { id, .. }
            | Self::Promised { id, .. }
            | Self::Rejected { id, .. }
            | Self::Abstained { id, .. }
            | Self::RecordRead { id, .. } => id,
        }
    }
}

/// Why an acceptor abstains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AbstainReason {
    /// It has restarted, and has not yet received the records of enough other acceptors.
    Recovering,
    /// The proposal relies on an incarnation, of this acceptor or another one, that has ended.
    StaleIncarnation,
    /// It has no record: the query was never opened here, or it ended and its record was removed.
    UnknownQuery,
    /// Its record table is full, and no record may be removed yet.
    CapacityExhausted,
}
