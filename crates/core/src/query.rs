//! What a client asks of the core and what it is answered: requests, responses and the ids between them.

use std::rc::Rc;

use mallowgauge_router::{BackendId, ClassId, Micros, PartId, ShardId};

use crate::table_memory::TableQueryId;
use crate::two_phase::{PlanSpec, Ranked};
use crate::validation::ValidationError;
use crate::value::Value;

/// One part of a query, as a client requests it.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// The shard that is queried.
    pub shard: ShardId,
    /// The part's fraction of the complete response; the weights of a query add up to 1.
    pub weight: f64,
}

/// A query as a frontend decoded it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's id of the query, which backends are shown.
    pub id: Rc<str>,
    /// The query's class.
    pub class: ClassId,
    /// How long the client still waits, in microseconds.
    pub expires_in: Micros,
    /// Whether the client marked the query as a retry.
    pub retry: bool,
    /// The expected work of all parts in microseconds, if every part stated it.
    pub work_hint: Option<Micros>,
    /// What each part carries to its backend, unchanged.
    pub body: Rc<[u8]>,
    /// The parts; of a two-phase query, its blocks.
    pub parts: Vec<PartRequest>,
    /// How the query is executed in two phases, if it is.
    pub plan: Option<PlanRequest>,
}

/// The two-phase plan of a query, as a frontend decoded it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanRequest {
    /// Which blocks are queried and how many rows are returned.
    pub spec: PlanSpec,
    /// What each scout carries to its backend, unchanged.
    pub scout: Rc<[u8]>,
}

/// Where a final response goes: a number that the frontend behind it gave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseHandle {
    /// An exchange of the HTTP frontend.
    Http(u64),
    /// A stream of the Flight frontend.
    Flight(u64),
    /// No client of this instance: the query was taken over from another instance.
    TakenOver(u64),
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request is invalid; nothing was sent.
    Invalid(ValidationError),
    /// Required parts failed, and some may have been executed.
    PartsFailed,
    /// The query's time ran out.
    DeadlineExceeded,
    /// The memory for tables is exhausted, and parts of the query may have been executed.
    MemoryExhausted,
}

/// The final response to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryResponse {
    /// The values that were received.
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
        /// When the client may retry, in microseconds; 0 for no advice.
        retry_after: Micros,
        /// No part of the query can have been executed.
        not_executed: bool,
    },
    /// Failed, with nothing promised about what was executed.
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

/// One attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The part.
    pub part: PartId,
    /// The attempt's number within the part, from 0.
    pub number: u32,
}

/// An attempt on its way to a backend. All instants are on the caller's clock, in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client's id of the query.
    pub request_id: Rc<str>,
    /// The core's number of the query: the lower, the older.
    pub call: TableQueryId,
    /// The shard that is queried.
    pub shard: ShardId,
    /// When the response is no longer waited for. The request may be written long after the batch that sent
    /// it, so the backend is told what is left by then.
    pub deadline: Micros,
    /// From when on the attempt may not start any more, though its response might still come in time.
    pub start_by: Micros,
    /// What the part carries.
    pub body: Rc<[u8]>,
}

impl AttemptRequest {
    /// How long the response is still waited for, in microseconds.
    #[must_use]
    pub fn remaining(&self, now: Micros) -> Micros {
        self.deadline.saturating_sub(now)
    }

    /// Whether the attempt may still start.
    #[must_use]
    pub fn may_start(&self, now: Micros) -> bool {
        now < self.start_by
    }
}

/// How a query that requires permits ended, as far as this instance knows.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedQuery {
    /// The request.
    pub request: QueryRequest,
    /// When its client's time is up.
    pub deadline: Micros,
    /// Who sent it, and who sent it again meanwhile.
    pub response_handles: Vec<ResponseHandle>,
    /// The final response.
    pub response: QueryResponse,
    /// A part of the query may have been executed.
    pub possibly_executed: bool,
}

/// What the caller of the core has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send these attempts to one backend, in as few calls as they fit in.
    SendBatch(BackendId, Vec<AttemptRequest>),
    /// Nobody waits for this attempt any more.
    CancelAttempt(BackendId, AttemptId),
    /// If this attempt has not started, it must not; its backend is not notified.
    RevokeUnsent(BackendId, AttemptId),
    /// Send this final response.
    Respond(ResponseHandle, QueryResponse),
    /// A non-idempotent attempt: it may be sent once a permit is given, and not before.
    RequestPermit(BackendId, AttemptRequest),
    /// A query that requires permits has ended: its clients are answered once that is recorded.
    ReplicateOutcome(Box<CompletedQuery>),
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Send a health check to a backend.
    HealthCheck(BackendId),
}
