//! The core: open queries, their parts and attempts, deadlines, and what limits them. It knows no wire and
//! does no I/O; every time is an argument.
//!
//! Frontends hand it typed requests, backend connections hand it typed outcomes, discovery hands it endpoint
//! updates. [`Core`] collects these, gives them to the [`Router`](mallowgauge_router::Router) in one batch
//! and turns the router's actions into [`Action`]s:
//!
//! 1. [`Core::submit`] checks a request ([`ValidationError`]) and opens its query.
//! 2. [`Core::poll_timeout`] says when the next batch is due, and [`Core::run_batch`] runs it.
//! 3. [`Core::attempt_completed`] takes the outcome of each attempt that a batch sent.
//! 4. A later batch ends the query with [`Action::Respond`], or with [`Action::ReplicateOutcome`] if its class
//!    is non-idempotent and permits are required ([`Core::require_permits`]).
//!
//! The other modules are decisions of their own, which the frontends and backend connections use.

pub mod connection_limits;
pub mod polled_queries;
pub mod query_stream;
pub mod sessions;
pub mod stream_admission;
pub mod stream_outcome;
pub mod table_memory;
pub mod two_phase;

mod attempts;
mod core;
mod open_queries;
mod planned_queries;
mod query;
mod router_actions;
mod submission;
mod validation;
mod value;

pub use crate::core::{Core, CoreLimits};
pub use planned_queries::TwoPhaseSettings;
pub use query::{
    Action, AttemptId, AttemptRequest, CompletedQuery, Failure, PartRequest, PlanRequest, QueryRequest,
    QueryResponse, ResponseHandle,
};
pub use validation::ValidationError;
pub use value::{Message, Table, Value};
