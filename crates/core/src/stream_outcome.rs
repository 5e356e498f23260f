//! What may be said of an attempt that went out as a stream of HTTP/2, at each point at which it can end.
//!
//! The one question that matters for a part with an effect is whether it can have run. Only three endings
//! prove that it did not: it was never handed to a connection, the host refused its stream before looking
//! at it, or the host's GOAWAY lies below it. And one is the host's own word: a status that says `LATER`.
//! Everything else leaves it open, however it looks: a reset with any other reason, a connection that broke
//! while the request may have been in the socket, a table that stopped short.

use mallowgauge_router::Outcome;

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamStage {
    /// Waits for a connection to come up or for a place on it; nothing was handed over.
    Queued,
    /// The request was handed to the connection, and may be in the socket or beyond.
    Sent,
    /// The host's answer has begun.
    Answering,
    /// A whole table is in, and its status is not.
    Complete,
}

/// What ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The host's status was OK.
    Ok,
    /// The host's status says in its details that it turned the part away unseen.
    RetryLaterStatus,
    /// The host's status says that time ran out.
    DeadlineStatus,
    /// Any other status, or none where one should be.
    Status,
    /// REFUSED_STREAM from the host.
    RefusedStream,
    /// The host's GOAWAY names a stream below this one as its last.
    AboveGoAway,
    /// Any other reset, from either side.
    Reset,
    /// The connection ended or broke.
    ConnectionLost,
    /// What came cannot be read: no table, no such part, more than is taken, or compressed in an unknown way.
    Malformed,
    /// A message that had begun did not become whole in time.
    Stalled,
    /// Nobody waits for it any more.
    Cancelled,
}

/// What the router is told of the attempt.
#[must_use]
pub fn classify(stage: StreamStage, end: StreamEnd) -> Outcome {
    match (stage, end) {
        // Nothing was handed over, whatever happened then.
        (StreamStage::Queued, StreamEnd::Cancelled) => Outcome::Cancelled,
        (StreamStage::Queued, _) => Outcome::ConnectFailed,
        (StreamStage::Complete, StreamEnd::Ok) => Outcome::Succeeded,
        // OK with no table behind it answers no part.
        (_, StreamEnd::Ok) => Outcome::ConnectionLost,
        // A host that has begun to answer has looked at the part: what it says then proves nothing.
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

/// Whether an outcome proves that the part never ran.
#[must_use]
pub fn not_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
