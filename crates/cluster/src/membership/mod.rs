//! Which peers are held to be there: advice, which may be wrong at any time and never permits anything.
//!
//! The protocol is SWIM with Lifeguard's suspicion, over connections that exist anyway. Each process pings
//! one peer after the other and, where no ack comes, asks others to ping it (an indirect probe). A peer that
//! nobody reaches is *suspect*. Everybody hears of that, the suspect too, which refutes it with a higher
//! refutation number. A suspicion that is not refuted makes the peer *dead*, sooner the more peers suspect it
//! on their own evidence. A lost connection is evidence that makes this process probe at once, and never a
//! proof.
//!
//! What is known of a peer is a [`MemberUpdate`]. Updates about one peer are totally ordered by (incarnation,
//! refutation, state) and the highest one counts, so that all who have received the same updates, in whatever
//! order and however often, hold the same view. Only the peer itself raises its incarnation or refutation
//! number.
//!
//! A process that was paused does not know it. One whose own timers fire late takes that for a fault of its
//! own: it begins its open probes anew, and its time-outs grow with the local health multiplier.

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
