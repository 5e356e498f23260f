//! The gRPC statuses of rejected and failed calls and queries.

use std::borrow::Cow;

use mallowgauge_core::polled_queries::RejectReason;
use mallowgauge_core::{Failure, QueryResponse, ValidationError};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;

/// How long a client should wait before a retry when too many queries are open, in microseconds.
const FULL_RETRY_AFTER: Micros = 250_000;

/// Returns the status of a malformed request.
pub fn invalid_argument(message: impl Into<Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, message)
}

/// Returns the status of a query whose response cannot be encoded.
pub fn internal_error() -> Status {
    Status::new(Code::Internal, "the answer could not be written")
}

/// Returns the status of a batch stream whose rows find no memory. Queries of its earlier rows may have been executed.
pub fn batch_memory_exhausted() -> Status {
    let status = Status::new(Code::ResourceExhausted, "too many rows wait here");
    status.with_reason("FULL").with_retry_after(FULL_RETRY_AFTER)
}

/// Returns the status of a query that arrives during a graceful shutdown.
pub fn draining() -> Status {
    Status::new(Code::Unavailable, "this gatherer ends").with_reason("DRAINING").with_retry_after(1)
}

/// Returns the status of a query that was rejected or failed; `None` if it was answered.
///
/// Standard clients may retry a call that ends with `UNAVAILABLE`, so that code is used only if the query was not
/// executed.
pub fn failure_status(response: &QueryResponse) -> Option<Status> {
    Some(match response {
        QueryResponse::Completed { .. } | QueryResponse::Ranked(_) => return None,
        QueryResponse::Rejected { retry_after, not_executed } => {
            let code = if *not_executed { Code::Unavailable } else { Code::ResourceExhausted };
            Status::new(code, "refused").with_reason("REFUSED").with_retry_after(*retry_after)
        }
        QueryResponse::Failed(Failure::Invalid(
            error @ (ValidationError::IdInUse | ValidationError::IdInUseWithDifferentBody),
        )) => Status::new(Code::AlreadyExists, error.message()).with_reason("ID_IN_USE"),
        QueryResponse::Failed(Failure::Invalid(ValidationError::MayHaveBeenExecuted)) => {
            rejection_status(RejectReason::Forgotten)
        }
        QueryResponse::Failed(Failure::Invalid(error)) => Status::new(Code::InvalidArgument, error.message()),
        QueryResponse::Failed(Failure::PartsFailed) => Status::new(Code::Internal, "parts could not be had"),
        QueryResponse::Failed(Failure::MemoryExhausted) => {
            Status::new(Code::Internal, "the tables found no room").with_reason("NO_ROOM")
        }
        QueryResponse::Failed(Failure::DeadlineExceeded) => {
            Status::new(Code::DeadlineExceeded, "time ran out")
        }
    })
}

/// Returns the status of a query that is rejected because of the state of its id.
pub fn rejection_status(reason: RejectReason) -> Status {
    match reason {
        RejectReason::DifferentBody => {
            Status::new(Code::AlreadyExists, "the id stands for another query").with_reason("ID_IN_USE")
        }
        RejectReason::Forgotten => {
            Status::new(Code::FailedPrecondition, "it may have run, and its outcome is forgotten")
                .with_reason("OUTCOME_FORGOTTEN")
        }
        RejectReason::Cancelled => Status::new(Code::Cancelled, "it was cancelled").with_reason("CANCELLED"),
        RejectReason::Full => {
            let status = Status::new(Code::Unavailable, "too many flights run");
            status.with_reason("FULL").with_retry_after(FULL_RETRY_AFTER)
        }
    }
}
