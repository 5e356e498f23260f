//! What the takeover manager is asked to do for clients, and what it wants done.

use std::sync::Arc;

use super::messages::Message;
use super::outcome::QueryEnd;
use crate::register::QueryId;
use crate::{Micros, PeerId};

/// What is to be done by the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: PeerId,
        /// The message.
        message: Box<Message>,
    },
    /// An attempt may be sent, or never may be.
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
    /// Tell the clients that wait here how a query ended.
    QueryEnded {
        /// The query.
        id: QueryId,
        /// How it ended.
        end: QueryEnd,
    },
    /// Another instance acts for this query: do nothing more for it here, and keep its clients until it has
    /// ended.
    OwnedByPeer {
        /// The query.
        id: QueryId,
    },
    /// Another request was submitted under the same id.
    RequestIdConflict {
        /// The query.
        id: QueryId,
    },
    /// Run a query here: none of its attempts was executed.
    TakeOver {
        /// The query.
        id: QueryId,
        /// The request.
        payload: Arc<[u8]>,
        /// Microseconds since this process learned of the query.
        age: Micros,
    },
    /// No majority of the query's acceptors was reached in the time that its clients have.
    OutcomeUnknown {
        /// The query.
        id: QueryId,
        /// No attempt was executed, and none will be: clients may be told that it was rejected.
        not_executed: bool,
    },
}

/// A query that a client has submitted here.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The query.
    pub id: &'a QueryId,
    /// The request, as another instance needs it to run it; begins with an eight-byte digest of it.
    pub payload: &'a Arc<[u8]>,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// The client says that it has not submitted the query before, so that no other instance has seen it.
    pub is_first_attempt: bool,
}

/// What is being done here for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Nothing.
    Unknown,
    /// This process runs it: for a client of its own, or taken over.
    Running,
    /// It is being taken over, or its outcome is awaited; nothing may be run for it.
    AwaitingOutcome,
}
