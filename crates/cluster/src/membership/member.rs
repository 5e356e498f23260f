//! The state of one member, and of this process's own name.

use std::collections::BTreeMap;

use super::messages::{MemberState, SuspicionEvidence};
use crate::{Incarnation, Micros, PeerId};

/// Whether this process is the latest incarnation of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Identity {
    /// No peer has connected to it yet: it raises its incarnation above every one that it learns of.
    Unconfirmed,
    /// At least one peer has connected to it.
    Confirmed,
    /// A later incarnation of the name is alive.
    Superseded,
}

/// One member, as this process knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Member {
    /// The key of the highest update; `None` if no update about the member has arrived.
    pub(super) update: Option<(Incarnation, u32, MemberState)>,
    pub(super) connected: bool,
    /// The last connection broke, and none has been established since.
    pub(super) connection_lost: bool,
    /// Peers that suspect it on their own evidence, in this incarnation and refutation number.
    pub(super) suspectors: BTreeMap<PeerId, SuspicionEvidence>,
    /// When it became suspect; unused in other states.
    pub(super) suspected_at: Micros,
    /// Consecutive pings on the connection without an ack.
    pub(super) unanswered_pings: u32,
    /// When it was last sent a full view, or the suspicion about itself.
    pub(super) last_informed_at: Option<Micros>,
}

impl Member {
    pub(super) fn state(&self) -> Option<MemberState> {
        self.update.map(|(_, _, state)| state)
    }

    pub(super) fn is(&self, state: MemberState) -> bool {
        self.state() == Some(state)
    }

    /// Whether it was last informed less than `interval` microseconds ago.
    pub(super) fn was_informed_within(&self, now: Micros, interval: Micros) -> bool {
        self.last_informed_at.is_some_and(|at| now.saturating_sub(at) < interval)
    }
}
