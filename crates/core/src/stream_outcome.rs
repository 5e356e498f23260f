//! Classification of the end of an HTTP/2 stream as the outcome of the attempt that was sent on it.
//!
//! The main question is whether a non-idempotent part can have been executed. Three ends prove that it was
//! not: the request was never handed to a connection, the backend refused the stream before processing it, or
//! the backend's GOAWAY names a lower stream as its last. In a fourth case the backend states it: a status
//! with the reason `LATER`. Everything else leaves the part possibly executed: a reset for any other reason,
//! a connection that broke while the request may have been in the socket, an incomplete table.

use mallowgauge_router::Outcome;

/// The progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamStage {
    /// The request waits for a connection or for capacity on one; nothing was handed over.
    Queued,
    /// The request was handed to the connection, and may have reached the backend.
    Sent,
    /// The backend's response has started.
    Answering,
    /// A complete table was received, but not the status.
    Complete,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The backend's status was OK.
    Ok,
    /// The backend's status states in its details that it rejected the part without executing it.
    RetryLaterStatus,
    /// The backend's status is DEADLINE_EXCEEDED.
    DeadlineStatus,
    /// Any other status, or a missing one.
    Status,
    /// REFUSED_STREAM from the backend.
    RefusedStream,
    /// The backend's GOAWAY names a lower stream as its last.
    AboveGoAway,
    /// Any other reset, from either side.
    Reset,
    /// The connection ended or broke.
    ConnectionLost,
    /// The response is no table, is for another part, is too large, or has an unknown compression.
    Malformed,
    /// A message was not completed in time.
    Stalled,
    /// The attempt was cancelled.
    Cancelled,
}

/// Returns the attempt's outcome for the router.
#[must_use]
pub fn classify(stage: StreamStage, end: StreamEnd) -> Outcome {
    match (stage, end) {
        // Whatever the end, nothing was handed over.
        (StreamStage::Queued, StreamEnd::Cancelled) => Outcome::Cancelled,
        (StreamStage::Queued, _) => Outcome::ConnectFailed,
        (StreamStage::Complete, StreamEnd::Ok) => Outcome::Succeeded,
        // OK without a complete table is not a valid response.
        (_, StreamEnd::Ok) => Outcome::ConnectionLost,
        // A backend that has started its response has processed the part: a rejection then proves nothing.
        (
            StreamStage::Sent,
            StreamEnd::RetryLaterStatus | StreamEnd::RefusedStream | StreamEnd::AboveGoAway,
        ) => Outcome::Rejected,
        (_, StreamEnd::RetryLaterStatus) => Outcome::BackendError,
        (_, StreamEnd::DeadlineStatus) => Outcome::TimedOut,
        (_, StreamEnd::Status) => Outcome::BackendError,
        (_, StreamEnd::Cancelled) => Outcome::Cancelled,
        (
            _,
            StreamEnd::RefusedStream
            | StreamEnd::AboveGoAway
            | StreamEnd::Reset
            | StreamEnd::ConnectionLost
            | StreamEnd::Malformed
            | StreamEnd::Stalled,
        ) => Outcome::ConnectionLost,
    }
}

/// Returns whether an outcome proves that the part was not executed.
#[must_use]
pub fn not_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
