//! The core: open queries with their parts, attempts, deadlines and limits. It does no I/O and depends on no
//! wire format; the time is always an argument.
//!
//! Frontends pass it typed requests, backend connections typed outcomes, and discovery endpoint updates.
//! [`Core`] collects these, passes them to the [`Router`](mallowgauge_router::Router) in one batch and turns
//! the router's actions into [`Action`]s:
//!
//! 1. [`Core::submit`] validates a request ([`ValidationError`]) and opens its query.
//! 2. [`Core::poll_timeout`] returns when the next batch is due, and [`Core::run_batch`] runs it.
//! 3. [`Core::attempt_completed`] handles the outcome of each attempt that a batch sent.
//! 4. A later batch ends the query with [`Action::Respond`], or with [`Action::ReplicateOutcome`] if its
//!    class is non-idempotent and permits are required ([`Core::require_permits`]).
//!
//! The other modules make separate decisions for the frontends and backend connections.

pub mod client_memory;
pub mod connection_limits;
pub mod memory_budget;
pub mod polled_queries;
pub mod query_stream;
pub mod sessions;
pub mod stream_admission;
pub mod stream_outcome;
pub mod table_memory;
pub mod two_phase;

mod attempts;
mod core;
mod executed_requests;
mod open_queries;
mod planned_queries;
mod postponed;
mod query;
mod router_actions;
mod submission;
mod validation;
mod value;

pub use crate::core::{Core, CoreLimits};
pub use planned_queries::TwoPhaseSettings;
pub use postponed::ClientId;
pub use query::{
    Action, AttemptId, AttemptRequest, CompletedQuery, Failure, PartRequest, PlanRequest, QueryRequest,
    QueryResponse, ResponseHandle,
};
pub use validation::ValidationError;
pub use value::{Message, Table, Value};
