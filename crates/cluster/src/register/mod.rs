//! A replicated register for each non-idempotent query. It decides which process may send the query's
//! attempts, and which outcome the query has.
//!
//! # The invariant
//!
//! *A part with a side effect is permitted under two ballots only if the proposer of the second one learned
//! of the first attempt in its prepare phase; and all outcomes that are ever reported to clients of one query
//! are the same.*
//!
//! The invariant does not depend on clocks, timeouts or membership views. These only decide when and to whom
//! requests are sent, and when to stop waiting for replies.
//!
//! # How it holds
//!
//! A query has an odd number of *acceptors*, found by hashing its id over the fixed list of peers
//! ([`acceptors_for`]). A process that acts for the query is a *proposer* and holds a unique [`Ballot`]. An
//! acceptor accepts a proposal only if its ballot is the one that the acceptor promised last. An attempt may
//! be sent once a majority has accepted its *intent*. An *outcome* is chosen, and may be reported to clients,
//! once a majority has accepted it.
//!
//! A process that takes a query over first has a majority promise a higher ballot, and each promise carries
//! the acceptor's record. Two majorities share an acceptor: it either accepted the former owner's intent
//! before the promise, and reports it, or promised first, and rejects the intent from then on. So the promise
//! fences the former owner, however long that one was paused.
//!
//! An acceptor that restarts has lost its promises. It *abstains* until it has announced its new incarnation
//! to the other acceptors of a query and has received their records ([`Acceptor::receive_transfer`]). A
//! proposal names the acceptor incarnations that it relies on, and an acceptor abstains from a proposal that
//! relies on an incarnation known to have ended. So no majority ever includes a reply that its acceptor has
//! forgotten.
//!
//! If all acceptors restart at once, none of them remembers anything, and they abstain for twice the longest
//! lifetime of a query. This is the register's only wait. It protects against a query that is submitted
//! *again* under its old id (a client must not retry later than that), not against side effects of former
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
