//! The actions and events of membership, and its timeouts.

use super::messages::{MemberUpdate, Message};
use crate::{Incarnation, Micros, PeerId};

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message, if the peer is connected.
    Send(PeerId, Message),
    /// Replace the connection to a member that has not answered several pings in a row.
    Reconnect(PeerId),
    /// Log this and act on it.
    Notify(Event),
}

/// A change that the program logs and acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member's state or incarnation has changed in this process's view.
    MemberChanged(MemberUpdate),
    /// This process was suspect or dead in a peer's view, and has refuted that with this refutation number.
    Refuted(u32),
    /// Another process is alive under this process's name in this later incarnation: this one takes no
    /// further part in the cluster.
    Superseded(Incarnation),
    /// This process continues under this incarnation: peers knew an earlier one of its name, or a later one
    /// has ended.
    IncarnationRaised(Incarnation),
}

/// The protocol's intervals and timeouts, in microseconds. All but the interval grow with the local health
/// multiplier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTiming {
    /// Time between the starts of two probes.
    pub probe_interval: Micros,
    /// Time to wait for the ack to a direct ping; an indirect probe waits twice as long.
    pub ack_timeout: Micros,
    /// Time until a member is dead that only one peer suspects.
    pub suspicion_timeout: Micros,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self { probe_interval: 200_000, ack_timeout: 100_000, suspicion_timeout: 1_500_000 }
    }
}
