//! The statuses of gRPC for what a call or a query can come to.

use std::borrow::Cow;

use mallowgauge_core::polled_queries::RejectReason;
use mallowgauge_core::{Failure, QueryResponse};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;

/// When a client whose query finds no place may come back, in microseconds.
const FULL_RETRY_AFTER: Micros = 250_000;

/// The request is malformed.
pub fn invalid_argument(words: impl Into<Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, words)
}

/// A response could not be encoded.
pub fn internal_error() -> Status {
    Status::new(Code::Internal, "the answer could not be written")
}

/// The server shuts down and begins nothing new.
pub fn draining() -> Status {
    Status::new(Code::Unavailable, "this gatherer ends").with_reason("DRAINING").with_retry_after(1)
}

/// The status of a query that was rejected or failed; `None` for one that was answered.
///
/// Standard clients may repeat a call that ends with `UNAVAILABLE`, so that code is only used where nothing can have
/// been executed.
pub fn failure_status(answer: &QueryResponse) -> Option<Status> {
    Some(match answer {
        QueryResponse::Completed { .. } | QueryResponse::Ranked(_) => return None,
        QueryResponse::Rejected { retry_after, not_executed } => {
            let code = if *not_executed { Code::Unavailable } else { Code::ResourceExhausted };
            Status::new(code, "refused").with_reason("REFUSED").with_retry_after(*retry_after)
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

/// Why a query under an id is not run.
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
