//! A replicated register for each query with side effects: who may send its attempts, and how the query
//! ended.
//!
//! # The invariant
//!
//! *Of all processes that ever act for a query, a part with a side effect is permitted under two ballots only
//! if the proposer of the second one learned of the first attempt in its prepare phase; and all outcomes that
//! are ever told to a client of one query are the same.*
//!
//! No clock, no time-out and no membership view takes part in it. These only choose when to send requests, to
//! whom, and when to stop waiting for replies.
//!
//! # How it holds
//!
//! A query has an odd number of *acceptors*, found by hashing its id over the fixed list of peers
//! ([`acceptors_for`]). A process that acts for the query is a *proposer* and holds a [`Ballot`] that no
//! other proposer has. An acceptor accepts a proposal only if its ballot is the very one that it promised
//! last. An attempt may be sent once a majority has accepted its *intent*. An *outcome* is chosen, and may be
//! told to clients, once a majority has accepted it.
//!
//! A process that takes a query over first has a majority promise a higher ballot, and each promise carries
//! the acceptor's record. Two majorities share an acceptor: it either accepted the former owner's intent
//! before it promised, and reports it, or it promised first, and rejects the intent from then on. That
//! promise is the fence, and it holds however long the former owner was paused.
//!
//! An acceptor that restarts has lost its promises. It *abstains* until it has told the other acceptors of a
//! query its new incarnation and has received their records ([`Acceptor::receive_transfer`]). A proposal
//! names the incarnations of the acceptors that it counts on, and an acceptor abstains from a proposal that
//! counts on an incarnation known to be over. So no majority ever counts a reply that its acceptor has
//! forgotten.
//!
//! If all acceptors restart at once, nobody remembers, and they abstain for twice the longest lifetime of a
//! query. That is the only wait in here. It protects against a query that is submitted *again* under its old
//! id (a client that retries later than that breaks its contract), not against side effects of former
//! proposers: these are fenced by incarnations.

mod acceptor;
mod ballot;
mod messages;
mod proposer;
mod record;
mod recovery;

pub use acceptor::{Acceptor, AcceptorLimits, AcceptorUsage};
pub use ballot::{acceptors_for, AttemptRef, Ballot, Epochs, Incarnations, OpenedAt, QueryId};
pub use messages::{AbstainReason, AcceptorReply, ProposerRequest};
pub use proposer::{Proposer, ProposerPhase};
pub use record::{Proposal, Record, RecordedOutcome};
pub use recovery::{PendingTransfer, StateTransfer, TransferredRecord};

pub(crate) use record::payload_digest;
