//! Failure detection: which peers are believed to be alive. This is advice, which may be wrong at any time
//! and never permits anything.
//!
//! The protocol is SWIM with Lifeguard's suspicion, over the connections between peers. Each process pings
//! one peer after the other and, if no ack arrives, asks others to ping it (an indirect probe). A peer that
//! no process reaches is *suspect*. The suspicion is gossiped to all members, including the suspect, which
//! refutes it with a higher refutation number. A suspicion that is not refuted makes the peer *dead*, sooner
//! the more peers suspect it on their own evidence. A lost connection triggers a probe at once; it is
//! evidence of a failure, never proof.
//!
//! The state of a peer is a [`MemberUpdate`]. Updates about one peer are totally ordered by (incarnation,
//! refutation, state) and the highest one wins, so processes that have received the same updates, in any
//! order and any number of times, have the same view. Only the peer itself raises its incarnation or
//! refutation number.
//!
//! A process cannot tell directly that it was paused. If its own timers fire late, it assumes a local fault:
//! it restarts its open probes, and its timeouts grow with the local health multiplier.

mod actions;
mod dissemination;
mod member;
mod messages;
mod probes;
mod timers;
mod updates;
mod view;

pub use actions::{Action, Event, ProbeTiming};
pub use messages::{MemberState, MemberUpdate, Message, ProbeResult, SuspicionEvidence};
pub use view::Membership;
