//! Requests, responses and actions of the core, and the ids that connect them.

use std::rc::Rc;

use mallowgauge_router::{BackendId, ClassId, Micros, PartId, ShardId};

use crate::table_memory::TableQueryId;
use crate::two_phase::{PlanSpec, Ranked};
use crate::validation::ValidationError;
use crate::value::Value;

/// One part of a query, as requested by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// The shard to query.
    pub shard: ShardId,
    /// The part's fraction of the complete response; the weights of a query add up to 1.
    pub weight: f64,
}

/// A query as decoded by a frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's id of the query, which is also sent to backends.
    pub id: Rc<str>,
    /// The query's class.
    pub class: ClassId,
    /// The client's remaining time, in microseconds.
    pub expires_in: Micros,
    /// Whether the client marked the query as a retry.
    pub retry: bool,
    /// The expected work of all parts in microseconds, if every part stated it.
    pub work_hint: Option<Micros>,
    /// The body that is sent to the backend of each part, unchanged.
    pub body: Rc<[u8]>,
    /// The parts; of a two-phase query, its blocks.
    pub parts: Vec<PartRequest>,
    /// The plan of a two-phase query.
    pub plan: Option<PlanRequest>,
}

impl QueryRequest {
    /// Returns the bytes of its texts and parts.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let scout = self.plan.as_ref().map_or(0, |plan| plan.scout.len());
        self.body.len() + scout + self.parts.len() * size_of::<PartRequest>()
    }
}

/// The two-phase plan of a query, as decoded by a frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanRequest {
    /// Which blocks are queried and how many rows are returned.
    pub spec: PlanSpec,
    /// The body that is sent to the backend of each scout, unchanged.
    pub scout: Rc<[u8]>,
}

/// The destination of a final response, by a number that its frontend assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseHandle {
    /// An exchange of the HTTP frontend.
    Http(u64),
    /// A stream of the Flight frontend.
    Flight(u64),
    /// A query taken over from another instance; it has no client here.
    TakenOver(u64),
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request is invalid; nothing was sent.
    Invalid(ValidationError),
    /// Required parts failed, and some may have been executed.
    PartsFailed,
    /// The query's deadline was exceeded.
    DeadlineExceeded,
    /// The memory for tables is exhausted, and parts of the query may have been executed.
    MemoryExhausted,
}

/// The final response to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryResponse {
    /// The received values.
    Completed {
        /// Whether the response counts as complete.
        complete: bool,
        /// The values as the backends returned them.
        values: Vec<(ShardId, Value)>,
    },
    /// The best rows of a two-phase query, or the result of its non-idempotent part.
    Ranked(Rc<Ranked>),
    /// Rejected: a retry is safe.
    Rejected {
        /// When the client may retry, in microseconds; 0 if unspecified.
        retry_after: Micros,
        /// Whether it is proved that no part of the query was executed.
        not_executed: bool,
    },
    /// Failed; parts may or may not have been executed.
    Failed(Failure),
}

impl From<Failure> for QueryResponse {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl From<ValidationError> for QueryResponse {
    fn from(error: ValidationError) -> Self {
        Self::Failed(Failure::Invalid(error))
    }
}

/// The id of one attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The part.
    pub part: PartId,
    /// The attempt's number within the part, from 0.
    pub number: u32,
}

/// An attempt to be sent to a backend. All instants are on the caller's clock, in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client's id of the query.
    pub request_id: Rc<str>,
    /// The core's number of the query: the lower, the older.
    pub table_query: TableQueryId,
    /// The shard to query.
    pub shard: ShardId,
    /// When the attempt times out. The request may be written long after the batch that sent it, so the
    /// backend is sent the time remaining at the time of writing.
    pub deadline: Micros,
    /// Time from which the attempt must not start any more. It can be earlier than `deadline`, while a
    /// response could still arrive in time.
    pub start_by: Micros,
    /// The request body.
    pub body: Rc<[u8]>,
}

impl AttemptRequest {
    /// Returns the time remaining until the deadline, in microseconds.
    #[must_use]
    pub fn remaining(&self, now: Micros) -> Micros {
        self.deadline.saturating_sub(now)
    }

    /// Returns whether the attempt may still start.
    #[must_use]
    pub fn may_start(&self, now: Micros) -> bool {
        now < self.start_by
    }
}

/// The final state of a query that requires permits, as known to this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedQuery {
    /// The request.
    pub request: QueryRequest,
    /// The deadline of the client.
    pub deadline: Micros,
    /// The client that sent the query, and its coalesced waiters.
    pub response_handles: Vec<ResponseHandle>,
    /// The final response.
    pub response: QueryResponse,
    /// Whether a part of the query may have been executed.
    pub possibly_executed: bool,
}

/// An action that the caller of the core has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send these attempts to one backend, in as few calls as possible.
    SendBatch(BackendId, Vec<AttemptRequest>),
    /// Cancel this attempt: its result is no longer needed.
    CancelAttempt(BackendId, AttemptId),
    /// Drop this attempt if it was not sent yet. The backend is not notified.
    RevokeUnsent(BackendId, AttemptId),
    /// Send this final response.
    Respond(ResponseHandle, QueryResponse),
    /// Request a permit for this non-idempotent attempt, which must not be sent without one.
    RequestPermit(BackendId, AttemptRequest),
    /// Replicate the outcome of a query that requires permits, and then answer its clients.
    ReplicateOutcome(Box<CompletedQuery>),
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Send a health check to a backend.
    HealthCheck(BackendId),
}
