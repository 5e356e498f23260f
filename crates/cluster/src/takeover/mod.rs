//! Who takes a query over after its instance is lost, and what may be done for it here.
//!
//! # Who may act for a query, and why that is safe
//!
//! The instance that a client submitted a query to opens it in the register and acts for it. If membership
//! holds that instance to be suspect, dead or gone, or it has restarted or relinquished its ballot, the query's
//! acceptors try to take it over: each one later than the one before it in the query's own order, so that
//! mostly a single one does. A query that nobody ends within its lifetime is tried for as well, since its
//! instance may be cut off from the acceptors.
//!
//! An acceptor that tries becomes a proposer with a higher ballot. It may do nothing before a majority has
//! promised that ballot, and from then on no majority accepts anything under the former one: the former
//! instance gets no further attempt permitted and no outcome chosen, even if it is alive and only seemed
//! lost. The promises tell the new owner every attempt that may have been sent:
//!
//! - if an outcome is found, that one is proposed again, since a client may have been told it;
//! - if any attempt may have been executed, nothing is run again, and the outcome is `PossiblyExecuted`;
//! - otherwise the query is run here with what is left of its client's time.
//!
//! Two instances that try at once cost a round of messages, never a second execution. All timers and all
//! membership knowledge in here choose when to send again, when to try, and when to tell a client that
//! nothing can be known; none of them permits anything. What is permitted is decided in [`crate::register`]
//! alone.

mod actions;
mod candidates;
mod client_requests;
mod decisions;
mod manager;
mod messages;
mod outcome;
mod proposals;
mod query_state;
mod timers;

pub use actions::{Action, ClientRequest, RequestState};
pub use manager::{TakeoverConfig, TakeoverManager, TakeoverUsage};
pub use messages::Message;
pub use outcome::QueryEnd;
