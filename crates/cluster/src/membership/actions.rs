//! What membership wants done, and its time-outs.

use super::messages::{MemberUpdate, Message};
use crate::{Incarnation, Micros, PeerId};

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message, if there is a connection.
    Send(PeerId, Message),
    /// Replace a connection on which a member that is there has answered nothing for long.
    Reconnect(PeerId),
    /// Log this and act on it.
    Notify(Event),
}

/// A change that the program logs and acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is held to be in another state or incarnation.
    MemberChanged(MemberUpdate),
    /// This process was suspected or held to be dead, and has refuted it with this number.
    Refuted(u32),
    /// A later process, of this incarnation, is alive under this one's name: this one takes part in nothing
    /// any more.
    Superseded(Incarnation),
    /// This process goes on under this incarnation: an earlier one of its name was known, or a later one has
    /// ended.
    IncarnationRaised(Incarnation),
}

/// The protocol's intervals and time-outs, in microseconds. All but the interval grow with the local health
/// multiplier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTiming {
    /// Between the starts of two probes.
    pub probe_interval: Micros,
    /// An ack is awaited for so long, and twice as long through others.
    pub ack_timeout: Micros,
    /// A suspicion that no other peer shares lasts for so long before its member is dead.
    pub suspicion_timeout: Micros,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self { probe_interval: 200_000, ack_timeout: 100_000, suspicion_timeout: 1_500_000 }
    }
}
