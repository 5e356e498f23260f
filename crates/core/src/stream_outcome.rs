//! The outcome of an attempt that was sent as an HTTP/2 stream, for each way in which the stream can end.
//!
//! What matters most is whether a non-idempotent part can have been executed. Three ends of a stream prove that
//! it was not: the request was never handed to a connection, the backend refused the stream before it looked
//! at it, or the backend's GOAWAY names a lower stream as its last. In a fourth the backend says so itself: a
//! status that says `LATER`. Everything else leaves it possibly executed: a reset for any other reason, a
//! connection that broke while the request may have been in the socket, an incomplete table.

use mallowgauge_router::Outcome;

/// How far a stream has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamStage {
    /// It waits for a connection, or for a place on one; nothing was handed over.
    Queued,
    /// The request was handed to the connection, and may have reached the backend.
    Sent,
    /// The backend's response has begun.
    Answering,
    /// A complete table was received, and its status was not.
    Complete,
}

/// What ended a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The backend's status was OK.
    Ok,
    /// The backend's status says in its details that it rejected the part unseen.
    RetryLaterStatus,
    /// The backend's status says that the deadline was exceeded.
    DeadlineStatus,
    /// Any other status, or none where one should be.
    Status,
    /// REFUSED_STREAM from the backend.
    RefusedStream,
    /// The backend's GOAWAY names a lower stream as its last.
    AboveGoAway,
    /// Any other reset, from either side.
    Reset,
    /// The connection ended or broke.
    ConnectionLost,
    /// What was received is no table, is for another part, is too large, or is compressed in an unknown way.
    Malformed,
    /// A message that had begun was not completed in time.
    Stalled,
    /// Nobody waits for it any more.
    Cancelled,
}

/// The attempt's outcome, for the router.
#[must_use]
pub fn classify(stage: StreamStage, end: StreamEnd) -> Outcome {
    match (stage, end) {
        // Nothing was handed over, whatever ended it.
        (StreamStage::Queued, StreamEnd::Cancelled) => Outcome::Cancelled,
        (StreamStage::Queued, _) => Outcome::ConnectFailed,
        (StreamStage::Complete, StreamEnd::Ok) => Outcome::Succeeded,
        // OK without a complete table is no response.
        (_, StreamEnd::Ok) => Outcome::ConnectionLost,
        // A backend that has begun its response has looked at the part: a rejection then proves nothing.
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

/// Whether an outcome proves that the part was not executed.
#[must_use]
pub fn not_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
