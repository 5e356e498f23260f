//! Takeover of queries whose instance is lost.
//!
//! # Who may act for a query, and why that is safe
//!
//! The instance that a client submitted a query to opens it in the register and acts for it. If membership
//! reports that instance as suspect, dead or left, or it has restarted or relinquished its ballot, the
//! query's acceptors try to take it over. They try one after the other, in the query's own order of
//! acceptors, so that usually only one does. A query without an outcome at the end of its lifetime is taken
//! over as well, since its instance may be partitioned from the acceptors.
//!
//! An acceptor that takes a query over becomes a proposer with a higher ballot. It may propose nothing before
//! a majority has promised that ballot. From then on no majority accepts anything under the former ballot:
//! the former instance gets no further attempt permitted and no outcome chosen, even if it is alive after
//! all. The promises report every attempt that may have been sent to the new owner:
//!
//! - if an outcome is found, that one is proposed again, since it may have been reported to a client;
//! - if any attempt may have been executed, nothing is run again, and the outcome is `PossiblyExecuted`;
//! - otherwise the query is run here within its remaining time.
//!
//! If two instances try at the same time, that costs a round of messages, never a second execution. Timers
//! and membership only decide when to resend, when to try a takeover, and when to report to a client that the
//! outcome is unknown; they never permit anything. Only [`crate::register`] decides what is permitted.

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
