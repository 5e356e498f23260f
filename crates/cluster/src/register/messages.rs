//! What proposers and acceptors send each other about one query. postcard writes these by the order of
//! variants and fields: that order never changes, new ones go to the end (`tests/stored_format.rs` holds the
//! bytes).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ballot::{Ballot, Epochs, Incarnations, OpenedAt, QueryId};
use super::record::{Proposal, Record};
use crate::Incarnation;

/// From a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposerRequest {
    /// Opens a query under a ballot of round 0, without a prepare phase, and proposes its first version.
    /// Reply: `Accepted`, `Rejected` or `Abstained`.
    Open {
        /// The query.
        id: QueryId,
        /// The ballot, of round 0.
        ballot: Ballot,
        /// The incarnations of acceptors that the proposal counts on.
        incarnations: Incarnations,
        /// Each acceptor's epoch, as it was known when the client submitted the query.
        epochs: Epochs,
        /// The request, as a process that takes over needs it.
        payload: Arc<[u8]>,
        /// All that is proposed so far.
        proposal: Proposal,
        /// The version of the proposal.
        version: u32,
    },
    /// Paxos's accept: a version of the proposal under a ballot that was promised or opened. Reply:
    /// `Accepted`, `Rejected` or `Abstained`.
    Accept {
        /// The query.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The incarnations of acceptors that the proposal counts on.
        incarnations: Incarnations,
        /// All that is proposed so far.
        proposal: Proposal,
        /// The version of the proposal.
        version: u32,
    },
    /// Paxos's prepare: asks for a promise, to take the query over. Reply: `Promised`, `Rejected` or
    /// `Abstained`.
    Prepare {
        /// The query.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// When the query was opened.
        opened_at: OpenedAt,
    },
    /// A majority has accepted this outcome: the record is kept only to tell it. No reply.
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
    /// The query that it is about.
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

/// From an acceptor to a proposer.
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
    /// Another ballot is promised, or the query was opened by another one.
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
    /// The record that was asked for.
    RecordRead {
        /// The query.
        id: QueryId,
        /// The record, if there is one.
        record: Option<Record>,
        /// There is none, and it may have been lost in a restart.
        possibly_forgotten: bool,
    },
}

impl AcceptorReply {
    /// The query that it is about.
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
    /// It has restarted, and has not received the records of enough other acceptors.
    Recovering,
    /// The proposal counts on an incarnation, this acceptor's own or another's, that is over.
    StaleIncarnation,
    /// It has no record: the query was never opened here, or has ended and was forgotten.
    UnknownQuery,
    /// It is full of records of queries that have not ended.
    CapacityExhausted,
}
