//! The inputs of the takeover manager on behalf of clients, and its actions.

use std::sync::Arc;

use super::messages::Message;
use super::outcome::QueryEnd;
use crate::register::QueryId;
use crate::{Micros, PeerId};

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: PeerId,
        /// The message.
        message: Box<Message>,
    },
    /// A permit was granted or denied: send the attempt, or never send it.
    PermitDecided {
        /// The query.
        id: QueryId,
        /// The part.
        part: u32,
        /// The attempt.
        attempt: u32,
        /// Whether it may be sent.
        granted: bool,
    },
    /// Report the outcome of a query to its clients here.
    QueryEnded {
        /// The query.
        id: QueryId,
        /// How it ended.
        end: QueryEnd,
    },
    /// Another instance acts for this query: stop running it here, and keep its clients waiting for the
    /// outcome.
    OwnedByPeer {
        /// The query.
        id: QueryId,
    },
    /// A different request was submitted under the same id.
    RequestIdConflict {
        /// The query.
        id: QueryId,
    },
    /// Run a query here: none of its attempts was executed.
    TakeOver {
        /// The query.
        id: QueryId,
        /// The client's request.
        payload: Arc<[u8]>,
        /// Microseconds since this process learned of the query.
        age: Micros,
    },
    /// The outcome is unknown: no majority of the query's acceptors was reached in time.
    OutcomeUnknown {
        /// The query.
        id: QueryId,
        /// No attempt was executed, and none will be: the query may be reported as rejected.
        not_executed: bool,
    },
}

/// A query that a client submitted to this instance.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The query.
    pub id: &'a QueryId,
    /// The request, as another instance needs it, preceded by an eight-byte digest.
    pub payload: &'a Arc<[u8]>,
    /// The client's deadline.
    pub deadline: Micros,
    /// The client declares that it has not submitted the query before, so no other instance has seen it.
    pub is_first_attempt: bool,
}

/// The state of a query at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// This process does nothing for it.
    Unknown,
    /// This process runs it, for a client here or after a takeover.
    Running,
    /// It is being taken over, or its outcome is awaited; no attempt may be sent for it.
    AwaitingOutcome,
}
