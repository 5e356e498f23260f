//! The statuses of gRPC for what a call or a query can come to.

use std::borrow::Cow;

use mallowgauge_core::polled_queries::RejectReason;
use mallowgauge_core::{Failure, QueryResponse};
use mallowgauge_flight::grpc::{Code, Status};

pub fn invalid_argument(words: impl Into<Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, words)
}

pub fn internal_error() -> Status {
    Status::new(Code::Internal, "the answer could not be written")
}

/// What the front's wire makes of a final answer that is none to be shown. Standard clients may by themselves
/// repeat a call that ends with UNAVAILABLE, so that is only said where nothing can have run.
pub fn failure_status(answer: &QueryResponse) -> Option<Status> {
    Some(match answer {
        QueryResponse::Completed { .. } | QueryResponse::Ranked(_) => return None,
        QueryResponse::Rejected { retry_after, not_executed } => {
            let code = if *not_executed { Code::Unavailable } else { Code::ResourceExhausted };
            Status::new(code, "refused").because("REFUSED").retry(*retry_after)
        }
        QueryResponse::Failed(Failure::Invalid(words)) => Status::new(Code::InvalidArgument, *words),
        QueryResponse::Failed(Failure::PartsFailed) => Status::new(Code::Internal, "parts could not be had"),
        QueryResponse::Failed(Failure::MemoryExhausted) => {
            Status::new(Code::Internal, "the tables found no room").because("NO_ROOM")
        }
        QueryResponse::Failed(Failure::DeadlineExceeded) => {
            Status::new(Code::DeadlineExceeded, "time ran out")
        }
    })
}

/// RejectReason a flight is not run, in the wire's words.
pub fn rejection_status(why: RejectReason) -> Status {
    match why {
        RejectReason::DifferentBody => {
            Status::new(Code::AlreadyExists, "the id stands for another query").because("ID_IN_USE")
        }
        RejectReason::Forgotten => {
            Status::new(Code::FailedPrecondition, "it may have run, and its outcome is forgotten")
                .because("OUTCOME_FORGOTTEN")
        }
        RejectReason::Cancelled => Status::new(Code::Cancelled, "it was cancelled").because("CANCELLED"),
        RejectReason::Full => {
            let status = Status::new(Code::Unavailable, "too many flights run");
            status.because("FULL").retry(250_000)
        }
    }
}
