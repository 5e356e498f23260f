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
pub enum Stage {
    /// Waits for a connection to come up or for a place on it; nothing was handed over.
    Queued,
    /// The request was handed to the connection, and may be in the socket or beyond.
    Sent,
    /// The host's answer has begun.
    Answering,
    /// A whole table is in, and its status is not.
    Whole,
}

/// What ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The host's status was OK.
    Ok,
    /// The host's status says in its details that it turned the part away unseen.
    Later,
    /// The host's status says that time ran out.
    Deadline,
    /// Any other status, or none where one should be.
    Status,
    /// REFUSED_STREAM from the host.
    Refused,
    /// The host's GOAWAY names a stream below this one as its last.
    Above,
    /// Any other reset, from either side.
    Reset,
    /// The connection ended or broke.
    Broken,
    /// What came cannot be read: no table, no such part, more than is taken, or compressed in an unknown way.
    Spoilt,
    /// A message that had begun did not become whole in time.
    Stalled,
    /// Nobody waits for it any more.
    GivenUp,
}

/// What the router is told of the attempt.
#[must_use]
pub fn verdict(stage: Stage, end: End) -> Outcome {
    match (stage, end) {
        // Nothing was handed over, whatever happened then.
        (Stage::Queued, End::GivenUp) => Outcome::Cancelled,
        (Stage::Queued, _) => Outcome::NoRoute,
        (Stage::Whole, End::Ok) => Outcome::Served,
        // OK with no table behind it answers no part.
        (_, End::Ok) => Outcome::Cut,
        // A host that has begun to answer has looked at the part: what it says then proves nothing.
        (Stage::Sent, End::Later | End::Refused | End::Above) => Outcome::NoRoom,
        (_, End::Later) => Outcome::Fault,
        (_, End::Deadline) => Outcome::TimedOut,
        (_, End::Status) => Outcome::Fault,
        (_, End::GivenUp) => Outcome::Cancelled,
        (_, End::Refused | End::Above | End::Reset | End::Broken | End::Spoilt | End::Stalled) => {
            Outcome::Cut
        }
    }
}

/// Whether an outcome proves that the part never ran.
#[must_use]
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::NoRoom | Outcome::NoRoute | Outcome::NeverSent)
}
